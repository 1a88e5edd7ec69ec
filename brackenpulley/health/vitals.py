"""What is measured of a daemon, and what of it is trouble. No I/O.

Alive means that the loop turns; ready means that a front may send messages. A daemon without a list is alive and not
ready; one whose loop stands still is neither, and only its watcher can say so."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

WINDOW = 10.0  # s over which the worst lag is told


class Lag:
    """How much later than asked for the loop calls back: the worst of the last `WINDOW` s, in s."""

    def __init__(self) -> None:
        self._seen: deque[tuple[float, float]] = deque()  # falling lags, so that the first is the worst

    def note(self, now: float, lag: float) -> None:
        lag = max(0.0, lag)
        while self._seen and self._seen[-1][1] <= lag:
            self._seen.pop()
        self._seen.append((now, lag))

    def worst(self, now: float) -> float:
        while self._seen and self._seen[0][0] < now - WINDOW:
            self._seen.popleft()
        return self._seen[0][1] if self._seen else 0.0


@dataclass(slots=True, frozen=True)
class Bounds:
    """From where on it is trouble."""

    lag: float = 0.5  # s
    part: float = 0.9  # of the descriptors or the memory
    list_age: float = 10.0  # s; discovery says something every 2 s


@dataclass(slots=True, frozen=True)
class Vitals:
    lag: float  # s
    descriptors: int
    most_descriptors: int
    memory_mb: float
    most_memory_mb: float
    list_age: float | None  # s; None = no list has come from its source

    def troubles(self, bounds: Bounds) -> list[str]:
        found = []
        if self.lag > bounds.lag:
            found.append(f"the loop was held for {self.lag:.2f} s")
        if self.descriptors > bounds.part * self.most_descriptors:
            found.append(f"{self.descriptors} of {self.most_descriptors} descriptors")
        if self.memory_mb > bounds.part * self.most_memory_mb:
            found.append(f"{self.memory_mb:.0f} of {self.most_memory_mb:.0f} MB")
        if self.list_age is None:
            found.append("no list of servers yet")
        elif self.list_age > bounds.list_age:
            found.append(f"the list is {self.list_age:.0f} s old")
        return found

    def row(self, bounds: Bounds) -> dict[str, object]:
        return {
            "lagMs": round(self.lag * 1000, 1),
            "descriptors": self.descriptors,
            "mostDescriptors": self.most_descriptors,
            "memoryMb": round(self.memory_mb, 1),
            "mostMemoryMb": round(self.most_memory_mb, 1),
            "listSeconds": None if self.list_age is None else round(self.list_age, 2),
            "troubles": self.troubles(bounds),
        }
