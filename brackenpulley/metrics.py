"""Counters of what is taken in, sent and answered."""

from __future__ import annotations

from collections import defaultdict


class Metrics:
    def __init__(self) -> None:
        self.counts: defaultdict[str, int] = defaultdict(int)
        self.servers: defaultdict[tuple[str, str], int] | None = None  # by name and sim server, where that is wanted

    def add(self, name: str, amount: int = 1) -> None:
        self.counts[name] += amount

    def at(self, name: str, server: str) -> None:
        """The same, and by sim server where a tally is kept."""
        self.counts[name] += 1
        if self.servers is not None:
            self.servers[name, server] += 1

    def most(self, name: str, value: int) -> None:
        if value > self.counts[name]:
            self.counts[name] = value

    def table(self) -> dict[str, int]:
        return dict(sorted(self.counts.items()))
