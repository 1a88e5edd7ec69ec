"""The calls to the quota counter: which are out and late, and how far away it is. Nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

WINDOW = 5.0  # s; the distance is the least time that a call took in this window and the one before it
MOST = 256  # calls kept whose answers may still come; without any answer the oldest are let go


@dataclass(slots=True, eq=False)
class CounterCall:
    """One call: what it adds for a customer, and when it was sent."""

    serial: int
    name: int
    sent_at: float
    amount: float = 0.0
    granted: float = 0.0  # what the customer's store had been granted in all by then

    @property
    def key(self) -> int:
        """The customer's, of which the name of its number at the counter is made."""
        return self.name % (1 << 33)


class CounterCalls:
    """One call is out at a time. `gap` is s between calls; one call's end comes once, its total with it or later."""

    def __init__(self, now: float, gap: float) -> None:
        self.interval = gap
        self.next_at = self.sent_at = now
        self.current: CounterCall | None = None
        self.timed_out = dict[int, CounterCall]()  # ended by the time-out, in their order: the total may still come
        self._serial = 0
        self._window_minimum, self._previous_minimum, self._window_started_at = inf, inf, now

    def begin(self, now: float, epoch: int, key: int, wait: float) -> CounterCall:
        """A call for a customer goes out; the next one after `wait` s, should its end never be told."""
        self._serial += 1
        self.sent_at, self.next_at = now, now + wait
        name = epoch % (1 << 29) << 33 | key % (1 << 33)
        self.current = CounterCall(self._serial, name, now)
        return self.current

    def end(self, name: int, lost: bool) -> CounterCall | None:
        """The call that is out is over; None where it is not this one. `lost`: by the time-out."""
        call = self.current
        if call is None or call.name != name:
            return None
        self.current = None
        if lost:
            self.timed_out[call.serial] = call
            if len(self.timed_out) > MOST:
                del self.timed_out[next(iter(self.timed_out))]
        else:
            self._discard_older(call)
        return call

    def take_late(self, serial: int) -> CounterCall | None:
        """A late answer; None where none is awaited under this number: it was told already, or came out of turn."""
        if (call := self.timed_out.pop(serial, None)) is not None:
            self._discard_older(call)
        return call

    def _discard_older(self, call: CounterCall) -> None:
        """Answers come in the order of the calls: those before this one are lost for good."""
        while self.timed_out and (first := next(iter(self.timed_out))) < call.serial:
            del self.timed_out[first]

    def compute_wait(self, now: float, latency: float) -> float:
        """How much longer this answer took than the least of late: the counter's load, without its distance."""
        if now - self._window_started_at >= WINDOW:
            stale = now - self._window_started_at >= 2 * WINDOW
            self._previous_minimum, self._window_minimum, self._window_started_at = (
                inf if stale else self._window_minimum,
                inf,
                now,
            )
        self._window_minimum = min(self._window_minimum, latency)
        return latency - min(self._window_minimum, self._previous_minimum)
