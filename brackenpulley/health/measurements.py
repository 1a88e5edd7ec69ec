"""Health measurements of a daemon and the thresholds above which they are problems. No I/O.

A daemon is alive while its loop turns, and ready while it may be sent messages. Without a list of servers it is alive
but not ready. A daemon whose loop is blocked is neither, which only the process that watches it can detect.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Seconds over which the largest lag is reported.
LAG_WINDOW_SECONDS = 10.0


class LoopLag:
    """Lag of the loop's timers in seconds: the largest of the last `LAG_WINDOW_SECONDS`."""

    def __init__(self) -> None:
        # Times and lags; the lags fall, so that the first one is the largest.
        self._lags: deque[tuple[float, float]] = deque()

    def record(self, now: float, lag: float) -> None:
        """Add the lag of a timer that fired at `now`."""
        lag = max(0.0, lag)
        while self._lags and self._lags[-1][1] <= lag:
            self._lags.pop()
        self._lags.append((now, lag))

    def max_lag(self, now: float) -> float:
        """Return the largest lag of the window that ends at `now`, in seconds."""
        while self._lags and self._lags[0][0] < now - LAG_WINDOW_SECONDS:
            self._lags.popleft()
        return self._lags[0][1] if self._lags else 0.0


@dataclass(slots=True, frozen=True)
class Thresholds:
    """Values above which a measurement is reported as a problem."""

    lag_seconds: float = 0.5
    resource_fraction: float = 0.9  # of the descriptors or the memory
    list_age_seconds: float = 10.0  # discovery sends something every 2 s


@dataclass(slots=True, frozen=True)
class Measurements:
    """The health of a daemon at one time."""

    lag_seconds: float
    descriptors: int
    max_descriptors: int
    memory_mb: float
    max_memory_mb: float
    list_age_seconds: float | None  # None = no list of servers has been received

    def describe_problems(self, thresholds: Thresholds) -> list[str]:
        """Return one text for each measurement above its threshold."""
        found = []
        if self.lag_seconds > thresholds.lag_seconds:
            found.append(f"the loop was held for {self.lag_seconds:.2f} s")
        if self.descriptors > thresholds.resource_fraction * self.max_descriptors:
            found.append(f"{self.descriptors} of {self.max_descriptors} descriptors")
        if self.memory_mb > thresholds.resource_fraction * self.max_memory_mb:
            found.append(f"{self.memory_mb:.0f} of {self.max_memory_mb:.0f} MB")
        if self.list_age_seconds is None:
            found.append("no list of servers yet")
        elif self.list_age_seconds > thresholds.list_age_seconds:
            found.append(f"the list is {self.list_age_seconds:.0f} s old")
        return found

    def as_dict(self, thresholds: Thresholds) -> dict[str, object]:
        """Return the measurements and the problems as the control API and the supervisor read them."""
        return {
            "lagMs": round(self.lag_seconds * 1000, 1),
            "descriptors": self.descriptors,
            "mostDescriptors": self.max_descriptors,
            "memoryMb": round(self.memory_mb, 1),
            "mostMemoryMb": round(self.max_memory_mb, 1),
            "listSeconds": None if self.list_age_seconds is None else round(self.list_age_seconds, 2),
            "troubles": self.describe_problems(thresholds),
        }
