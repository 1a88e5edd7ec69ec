"""State of the calls to the quota counter: the current call, those that timed out, and the round trip.

The decision module decides when to call; this module only keeps the records.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

ROUND_TRIP_WINDOW_SECONDS = 5.0  # the round trip is the minimum latency in this window and the one before it
MAX_TIMED_OUT_CALLS = 256  # calls that may still be answered; without any answer the oldest are dropped


@dataclass(slots=True, eq=False)
class CounterCall:
    """One call: the amount that it adds for a firm and when it was sent."""

    serial: int
    name: int
    sent_at: float
    amount: float = 0.0
    granted: float = 0.0  # units granted to the firm's token bucket in all until then

    @property
    def key(self) -> int:
        """Key of the firm, the low 33 bits of the number's name at the counter."""
        return self.name % (1 << 33)


class CounterCalls:
    """At most one call is current. Its end is reported once; its total comes with the end or later."""

    def __init__(self, now: float, interval: float) -> None:
        """`interval` is the time between calls, s."""
        self.interval = interval
        self.next_at = self.sent_at = now
        self.current: CounterCall | None = None
        self.timed_out = dict[int, CounterCall]()  # by serial, in order of sending: their totals may still come
        self._serial = 0
        self._window_minimum, self._previous_minimum, self._window_started_at = inf, inf, now

    def begin(self, now: float, epoch: int, key: int, timeout: float) -> CounterCall:
        """Starts a call for a firm. The next one may start after `timeout` s, even if the end is never reported."""
        self._serial += 1
        self.sent_at, self.next_at = now, now + timeout
        name = epoch % (1 << 29) << 33 | key % (1 << 33)
        self.current = CounterCall(self._serial, name, now)
        return self.current

    def end(self, name: int, timed_out: bool) -> CounterCall | None:
        """Ends the current call; returns None if it has another name."""
        call = self.current
        if call is None or call.name != name:
            return None
        self.current = None
        if timed_out:
            self.timed_out[call.serial] = call
            if len(self.timed_out) > MAX_TIMED_OUT_CALLS:
                del self.timed_out[next(iter(self.timed_out))]
        else:
            self._discard_older(call)
        return call

    def take_late(self, serial: int) -> CounterCall | None:
        """Returns the timed-out call that a late answer is for; None if it was answered before or is out of order."""
        if (call := self.timed_out.pop(serial, None)) is not None:
            self._discard_older(call)
        return call

    def _discard_older(self, call: CounterCall) -> None:
        """Answers come in the order of the calls: those before this one will not be answered any more."""
        while self.timed_out and (first := next(iter(self.timed_out))) < call.serial:
            del self.timed_out[first]

    def compute_wait(self, now: float, latency: float) -> float:
        """Returns the latency above the recent minimum: the time queued at the counter, without the round trip."""
        if now - self._window_started_at >= ROUND_TRIP_WINDOW_SECONDS:
            is_outdated = now - self._window_started_at >= 2 * ROUND_TRIP_WINDOW_SECONDS
            self._previous_minimum, self._window_minimum, self._window_started_at = (
                inf if is_outdated else self._window_minimum,
                inf,
                now,
            )
        self._window_minimum = min(self._window_minimum, latency)
        return latency - min(self._window_minimum, self._previous_minimum)
