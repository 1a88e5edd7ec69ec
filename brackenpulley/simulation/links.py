"""The ways between processes: delay, spread, loss, doubles, cuts in one direction, stalls. No I/O.

A word over a stream comes whole or not at all; it needs both directions. A stall holds what is sent and lets it go at
its end, as a socket's buffer does; a cut loses it."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from math import inf


@dataclass(slots=True, frozen=True)
class Link:
    """One direction. Seconds, and chances from 0 to 1."""

    delay: float = 0.0005
    spread: float = 0.002  # mean of what is added to each, exponential: so words overtake each other
    loss: float = 0.0
    double: float = 0.0
    cut: bool = False
    held: float = -inf  # until when it stalls


@dataclass(slots=True)
class Links:
    """A rule for a pair of addresses goes before that for the pair of their sites, and that before `usual`."""

    usual: Link = Link()
    rules: dict[tuple[str, str], Link] = field(default_factory=dict)
    sites: dict[str, str] = field(default_factory=dict)  # of an address
    ways: dict[tuple[str, str], Link] = field(default_factory=dict)  # from site to site

    def of(self, a: str, b: str) -> Link:
        found = self.rules.get((a, b))
        return found if found is not None else self.way(a, b)

    def way(self, a: str, b: str) -> Link:
        if not self.sites:
            return self.usual
        return self.ways.get((self.sites.get(a, ""), self.sites.get(b, "")), self.usual)

    def change(self, a: str, b: str, **what: object) -> None:
        self.rules[a, b] = replace(self.of(a, b), **what)  # type: ignore[arg-type]

    def part(self, side: set[str], rest: set[str], both: bool = True) -> None:
        """Nothing goes from the one side to the other, nor back where `both`."""
        for a in side:
            for b in rest:
                self.change(a, b, cut=True)
                if both:
                    self.change(b, a, cut=True)

    def heal(self) -> None:
        self.rules.clear()

    def times(self, rng: random.Random, now: float, a: str, b: str, stream: bool) -> list[float]:
        """When a word sent now arrives: nothing, once, or twice."""
        link = self.of(a, b)
        if link.cut or stream and self.of(b, a).cut:
            return []
        count = 1
        if not stream:
            count = 0 if rng.random() < link.loss else 2 if rng.random() < link.double else 1
        begin = max(now, link.held)
        return [
            begin + link.delay + (rng.expovariate(1 / link.spread) * (3 if stream else 1) if link.spread else 0.0)
            for _ in range(count)
        ]
