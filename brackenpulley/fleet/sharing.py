"""Which part of the whole each instance of a group may use; the sum never passes the whole. No I/O.

An instance that was told a count of n uses 1/n. A smaller count widens its part, and it is told only where the parts
of all that may still be running leave the room for it; a greater one narrows it and is told at once. A new process
starts with a count that fits beside what the others may be using then, so those are narrowed, and have said so, before
it is started. What an instance may be using is the widest of

    the count that it was started with, or a greater one that it acknowledged (its floor);
    any count that it was told since the last one it acknowledged, until that one's lease is over.

A count under the floor is leased: without a newer word the instance goes back to its floor by itself. Words carry a
serial number, and the lease's end as an instant of the host's monotonic clock, so that a word that arrives late, or
twice, changes nothing.

Only the kernel's word that a process has ended gives its part free. One that is silent, stopped or out of reach keeps
it: no view of who answers ever widens anything."""

from __future__ import annotations

from dataclasses import dataclass
from fractions import Fraction
from math import inf

MARGIN = 1.0  # s after the end of a lease for which it is still held to be in use


@dataclass(slots=True)
class Held:
    floor: int
    told: int  # the last count that went out
    sure: int  # the least of those that it may have taken since, and the last one acknowledged
    until: float = -inf  # the latest end of a lease that went out
    asked: float = -inf  # when the last word went out
    serial: int = 0  # of the last word
    waits: bool = False  # for its acknowledgement

    def least(self, now: float) -> int:
        """The least count that it may be using."""
        return min(self.floor, self.told, self.sure) if now < self.until + MARGIN else self.floor


@dataclass(slots=True, frozen=True)
class Word:
    """Tell this instance its count; where that is under its floor, good until `until` (s, monotonic)."""

    number: int
    serial: int
    count: int
    until: float


class Sharing:
    """`serial` is greater than any that an earlier supervisor used: nanoseconds of the monotonic clock will do."""

    def __init__(self, lease: float, serial: int = 0) -> None:
        self.lease, self.fence, self._serial = lease, serial, serial
        self._held: dict[int, Held] = {}

    def begun(self, number: int, count: int) -> None:
        """A process was started with this count."""
        self._held[number] = Held(count, count, count)

    def found(self, number: int, floor: int, count: int, until: float) -> None:
        """A process of an earlier supervisor says what it uses, fenced against that one's words; or it does not
        answer, and counts as using the whole."""
        self._held[number] = Held(floor, count, count, until)

    def ended(self, number: int) -> None:
        self._held.pop(number, None)

    def acknowledged(self, number: int, serial: int) -> None:
        held = self._held.get(number)
        if held is not None and serial == held.serial and held.waits:
            held.sure, held.waits = held.told, False
            held.floor = max(held.floor, held.told)

    def counts(self, now: float) -> dict[int, int]:
        """The least count that each may be using."""
        return {number: held.least(now) for number, held in self._held.items()}

    def used(self, now: float, without: int = -1) -> Fraction:
        """What all of them may be using, at most."""
        return sum(
            (Fraction(1, held.least(now)) for number, held in self._held.items() if number != without), Fraction(0)
        )

    def room(self, now: float, count: int) -> bool:
        """A new process may start with this count."""
        return self.used(now) + Fraction(1, count) <= 1

    def words(self, now: float, target: int) -> list[Word]:
        """What to tell whom on the way to a fleet of `target`; leases are renewed at a third of their time."""
        found = []
        for number, held in self._held.items():
            want = target
            if want < held.least(now) and self.used(now, number) + Fraction(1, want) > 1:
                want = min(max(held.told, held.sure), held.floor)  # no room yet: what it has, for longer
            leased = want < held.floor
            again = self.lease / 9 if held.waits else self.lease / 3 if leased else inf
            if want == held.told and (held.waits or leased or want == held.floor) and now < held.asked + again:
                continue
            if want == held.told == held.floor and not held.waits:
                continue
            self._serial += 1
            held.sure = min(held.sure, held.told) if held.waits else held.sure
            held.told, held.asked, held.serial, held.waits = want, now, self._serial, True
            if leased:
                held.until = max(held.until, now + self.lease)
            found.append(Word(number, held.serial, want, now + self.lease if leased else now))
        return found


class Told:
    """The instance's side: its count now. `floor` is the count it was started with."""

    def __init__(self, floor: int) -> None:
        self.floor = self._count = floor
        self.serial, self.until = 0, -inf

    def hear(self, serial: int, count: int, until: float) -> bool:
        """False where a newer word has been heard already."""
        if serial <= self.serial:
            return False
        self.serial, self._count, self.until = serial, count, until
        self.floor = max(self.floor, count)
        return True

    def fence(self, serial: int) -> None:
        """A new supervisor asks: what its predecessor sent and has not arrived yet counts for nothing."""
        self.serial = max(self.serial, serial)

    def count(self, now: float) -> int:
        return self._count if now < self.until else self.floor
