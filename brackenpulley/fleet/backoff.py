"""Restart delays of an instance that ended by itself, and the detection of crash loops. Used by `instance`."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RestartPolicy:
    """Delays in seconds and limits of automatic restarts: the table [restart] of a fleet description."""

    first_delay: float = 0.2  # before the first restart
    longest_delay: float = 30.0
    jitter: float = 0.5  # random part of each delay, so that instances that ended together do not restart together
    crash_limit: int = 5  # ends within `crash_window` that make a crash loop
    crash_window: float = 60.0  # seconds


class Backoff:
    """Exponential back-off with jitter. After `crash_window` s of being ready it starts over."""

    def __init__(self, policy: RestartPolicy, rng: random.Random) -> None:
        self.policy, self._rng = policy, rng
        self._end_times: deque[float] = deque(maxlen=policy.crash_limit)
        self._consecutive_ends = 0  # since the last process that was ready for `crash_window` s

    @property
    def consecutive_ends(self) -> int:
        """Number of ends since the last reset or the last long-lived process."""
        return self._consecutive_ends

    def record_end(self, now: float, uptime: float) -> float | None:
        """Record that the process ended by itself, `uptime` s after it became ready.

        Returns the seconds to wait before the restart, or None for a crash loop."""
        if uptime >= self.policy.crash_window:
            self._consecutive_ends = 0
            self._end_times.clear()
        self._consecutive_ends += 1
        self._end_times.append(now)
        if len(self._end_times) == self.policy.crash_limit and now - self._end_times[0] <= self.policy.crash_window:
            return None
        # The exponent is capped: after a week of restarts the power of two would overflow a float.
        delay = min(self.policy.longest_delay, self.policy.first_delay * 2.0 ** min(self._consecutive_ends - 1, 60))
        return delay * (1 - self.policy.jitter * self._rng.random())

    def reset(self) -> None:
        """Forget all earlier ends, after the operator has started the instance by hand."""
        self._consecutive_ends = 0
        self._end_times.clear()
