"""Counters of what is taken in, sent and answered."""

from __future__ import annotations

from collections import defaultdict


class Metrics:
    def __init__(self) -> None:
        self.counts: defaultdict[str, int] = defaultdict(int)

    def add(self, name: str, amount: int = 1) -> None:
        self.counts[name] += amount

    def most(self, name: str, value: int) -> None:
        if value > self.counts[name]:
            self.counts[name] = value

    def table(self) -> dict[str, int]:
        return dict(sorted(self.counts.items()))
