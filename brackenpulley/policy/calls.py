"""The calls to the quota counter: which are out and late, and how far away it is. Nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

WINDOW = 5.0  # s; the distance is the least time that a call took in this window and the one before it
MOST = 256  # calls kept whose answers may still come; without any answer the oldest are let go


@dataclass(slots=True, eq=False)
class Call:
    """One call: what it adds for a customer, and when it was sent."""

    serial: int
    name: int
    at: float
    amount: float = 0.0
    granted: float = 0.0  # what the customer's store had been granted in all by then

    @property
    def key(self) -> int:
        """The customer's, of which the name of its number at the counter is made."""
        return self.name % (1 << 33)


class Calls:
    """One call is out at a time. `gap` is s between calls; one call's end comes once, its total with it or later."""

    def __init__(self, now: float, gap: float) -> None:
        self.gap = gap
        self.next_at = self.sent_at = now
        self.out: Call | None = None
        self.late = dict[int, Call]()  # ended by the time-out, in their order: the total may still come
        self._serial = 0
        self._least, self._before, self._turned = inf, inf, now

    def begin(self, now: float, epoch: int, key: int, wait: float) -> Call:
        """A call for a customer goes out; the next one after `wait` s, should its end never be told."""
        self._serial += 1
        self.sent_at, self.next_at = now, now + wait
        name = epoch % (1 << 29) << 33 | key % (1 << 33)
        self.out = Call(self._serial, name, now)
        return self.out

    def end(self, name: int, lost: bool) -> Call | None:
        """The call that is out is over; None where it is not this one. `lost`: by the time-out."""
        call = self.out
        if call is None or call.name != name:
            return None
        self.out = None
        if lost:
            self.late[call.serial] = call
            if len(self.late) > MOST:
                del self.late[next(iter(self.late))]
        else:
            self._forget(call)
        return call

    def heard(self, serial: int) -> Call | None:
        """A late answer; None where none is awaited under this number: it was told already, or came out of turn."""
        if (call := self.late.pop(serial, None)) is not None:
            self._forget(call)
        return call

    def _forget(self, call: Call) -> None:
        """Answers come in the order of the calls: those before this one are lost for good."""
        while self.late and (first := next(iter(self.late))) < call.serial:
            del self.late[first]

    def waited(self, now: float, latency: float) -> float:
        """How much longer this answer took than the least of late: the counter's load, without its distance."""
        if now - self._turned >= WINDOW:
            stale = now - self._turned >= 2 * WINDOW
            self._before, self._least, self._turned = inf if stale else self._least, inf, now
        self._least = min(self._least, latency)
        return latency - min(self._least, self._before)
