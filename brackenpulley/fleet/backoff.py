"""When an instance that ended is started again, and when it is no longer tried."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Pace:
    """Seconds and counts; the table [restart] of a fleet's description."""

    first: float = 0.2  # before the first restart
    longest: float = 30.0
    jitter: float = 0.5  # part of each wait that is random, so that what ended together does not start in step
    crashes: int = 5  # within `within` s: a crash loop
    within: float = 60.0


class Backoff:
    """Exponential, with jitter; an instance that stayed up for `within` s starts from the beginning again."""

    def __init__(self, pace: Pace, rng: random.Random) -> None:
        self.pace, self._rng = pace, rng
        self._ends: deque[float] = deque(maxlen=pace.crashes)
        self._row = 0  # ends in a row, none of them after a long life

    @property
    def row(self) -> int:
        return self._row

    def ended(self, now: float, lived: float) -> float | None:
        """It ended by itself after `lived` s of being ready: s to wait, or None where it is a crash loop."""
        if lived >= self.pace.within:
            self._row = 0
            self._ends.clear()
        self._row += 1
        self._ends.append(now)
        if len(self._ends) == self.pace.crashes and now - self._ends[0] <= self.pace.within:
            return None
        # The exponent is bounded: two to the power of a week of restarts is no float.
        wait = min(self.pace.longest, self.pace.first * 2.0 ** min(self._row - 1, 60))
        return wait * (1 - self.pace.jitter * self._rng.random())

    def forget(self) -> None:
        """The operator has started it by hand."""
        self._row = 0
        self._ends.clear()
