"""Division of the fleet's quotas among a group's instances; the sum of the shares never exceeds the whole. No I/O.

An instance with a count of n uses a share of 1/n. A smaller count raises its share and is sent only when the shares of
all processes that may still be running leave room for it; a greater one reduces its share and is sent at once. A new
process starts with a count that fits beside what the others may be using, so those are first reduced, and have
acknowledged that, before it starts. The share that an instance may be using is the largest of

    the count that it was started with, or a greater one that it acknowledged (its floor);
    any count sent to it since the last one it acknowledged, until the lease of that count has expired.

A count below the floor is leased: without a newer update the instance returns to its floor by itself. Updates carry a
serial number, and the end of the lease as a time of the host's monotonic clock, so that an update that arrives late or
twice has no effect.

A share is released only when the kernel reports that the process has ended. An instance that is silent, stopped or
unreachable keeps its share: no view of which instances respond ever raises another one's share."""

from __future__ import annotations

from dataclasses import dataclass
from fractions import Fraction
from math import inf

LEASE_MARGIN_SECONDS = 1.0  # for so long after its end a lease is still assumed to be in use


@dataclass(slots=True)
class InstanceShare:
    """What the supervisor knows of one instance's count."""

    floor: int
    sent_count: int  # last count that was sent
    least_pending_count: int  # least of the last acknowledged count and those sent since
    lease_end: float = -inf  # latest end of any lease that was sent
    sent_at: float = -inf  # when the last update was sent
    serial: int = 0  # of the last update
    is_pending: bool = False  # whether the last update is not acknowledged yet

    def get_least_count(self, now: float) -> int:
        """Return the least count that the instance may be using."""
        return (
            min(self.floor, self.sent_count, self.least_pending_count)
            if now < self.lease_end + LEASE_MARGIN_SECONDS
            else self.floor
        )


@dataclass(slots=True, frozen=True)
class CountUpdate:
    """A count to send to one instance; below the instance's floor it is leased until `until` (s, monotonic)."""

    number: int
    serial: int
    count: int
    until: float


class Sharing:
    """Tracks the counts of all instances.

    `serial` must exceed any serial of an earlier supervisor; nanoseconds of the monotonic clock do. `lease` is in
    seconds."""

    def __init__(self, lease: float, serial: int = 0) -> None:
        self.lease, self.fence, self._serial = lease, serial, serial
        self._shares: dict[int, InstanceShare] = {}

    def record_start(self, number: int, count: int) -> None:
        """Record that a process was started with this count."""
        self._shares[number] = InstanceShare(count, count, count)

    def record_adoption(self, number: int, floor: int, count: int, until: float) -> None:
        """Record the count of a process of an earlier supervisor, which now rejects that supervisor's updates.

        A process that does not respond is recorded with a count of 1: the whole."""
        self._shares[number] = InstanceShare(floor, count, count, until)

    def record_end(self, number: int) -> None:
        """Release the share of a process that has ended."""
        self._shares.pop(number, None)

    def record_acknowledgement(self, number: int, serial: int) -> None:
        """Record that the instance applied the update `serial`; older serials are ignored."""
        share = self._shares.get(number)
        if share is not None and serial == share.serial and share.is_pending:
            share.least_pending_count, share.is_pending = share.sent_count, False
            share.floor = max(share.floor, share.sent_count)

    def get_counts(self, now: float) -> dict[int, int]:
        """Return the least count that each instance may be using."""
        return {number: share.get_least_count(now) for number, share in self._shares.items()}

    def compute_used(self, now: float, excluded: int = -1) -> Fraction:
        """Return the largest sum of shares that may be in use, without that of instance `excluded`."""
        return sum(
            (Fraction(1, share.get_least_count(now)) for number, share in self._shares.items() if number != excluded),
            Fraction(0),
        )

    def has_room(self, now: float, count: int) -> bool:
        """Return whether a new process may start with this count."""
        return self.compute_used(now) + Fraction(1, count) <= 1

    def prepare_updates(self, now: float, target: int) -> list[CountUpdate]:
        """Return the updates to send now on the way to `target` instances; leases are renewed after a third of them."""
        updates = []
        for number, share in self._shares.items():
            wanted = target
            if wanted < share.get_least_count(now) and self.compute_used(now, number) + Fraction(1, wanted) > 1:
                # There is no room yet: renew the present count.
                wanted = min(max(share.sent_count, share.least_pending_count), share.floor)
            is_leased = wanted < share.floor
            resend_after = self.lease / 9 if share.is_pending else self.lease / 3 if is_leased else inf
            if (
                wanted == share.sent_count
                and (share.is_pending or is_leased or wanted == share.floor)
                and now < share.sent_at + resend_after
            ):
                continue
            if wanted == share.sent_count == share.floor and not share.is_pending:
                continue
            self._serial += 1
            share.least_pending_count = (
                min(share.least_pending_count, share.sent_count) if share.is_pending else share.least_pending_count
            )
            share.sent_count, share.sent_at, share.serial, share.is_pending = wanted, now, self._serial, True
            if is_leased:
                share.lease_end = max(share.lease_end, now + self.lease)
            updates.append(CountUpdate(number, share.serial, wanted, now + self.lease if is_leased else now))
        return updates


class CountLease:
    """The instance's side: its present count. `floor` begins as the count it was started with."""

    def __init__(self, floor: int) -> None:
        self.floor = self._count = floor
        self.serial, self.until = 0, -inf

    def update(self, serial: int, count: int, until: float) -> bool:
        """Apply an update. Returns False if one with the same or a later serial was applied before."""
        if serial <= self.serial:
            return False
        self.serial, self._count, self.until = serial, count, until
        self.floor = max(self.floor, count)
        return True

    def fence(self, serial: int) -> None:
        """Reject updates up to `serial`: those that the last supervisor sent and that have not arrived yet."""
        self.serial = max(self.serial, serial)

    def get_count(self, now: float) -> int:
        """Return the count to use at `now` (s, monotonic)."""
        return self._count if now < self.until else self.floor
