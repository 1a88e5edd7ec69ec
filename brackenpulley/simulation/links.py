"""Model of the network links between processes: delay, jitter, loss, duplication, one-way cuts and stalls. No I/O.

A message over a stream arrives whole or not at all, and needs both directions. A stall holds what is sent and releases
it at its end, as a socket buffer does; a cut drops it."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from math import inf


@dataclass(slots=True, frozen=True)
class Link:
    """One direction between two processes. Times are in seconds, probabilities from 0 to 1."""

    delay: float = 0.0005
    jitter: float = 0.002  # mean of an exponential delay added to each message, so that messages can be reordered
    loss: float = 0.0
    duplication: float = 0.0
    is_cut: bool = False
    stalled_until: float = -inf  # time at which a stall ends


@dataclass(slots=True)
class Links:
    """Links of a network. An override for two addresses precedes the link of their sites, and that the default."""

    default: Link = Link()
    overrides: dict[tuple[str, str], Link] = field(default_factory=dict)  # by (source, destination) address
    sites: dict[str, str] = field(default_factory=dict)  # site by address
    site_links: dict[tuple[str, str], Link] = field(default_factory=dict)  # by (source, destination) site

    def find(self, source: str, destination: str) -> Link:
        """Returns the link in force from one address to another."""
        found = self.overrides.get((source, destination))
        return found if found is not None else self.find_without_overrides(source, destination)

    def find_without_overrides(self, source: str, destination: str) -> Link:
        """Returns the link between the sites of two addresses, or the default."""
        if not self.sites:
            return self.default
        return self.site_links.get((self.sites.get(source, ""), self.sites.get(destination, "")), self.default)

    def override(self, source: str, destination: str, **changes: object) -> None:
        """Sets fields of the link from one address to another until the next `heal`."""
        self.overrides[source, destination] = replace(self.find(source, destination), **changes)  # type: ignore[arg-type]

    def partition(self, side: set[str], rest: set[str], both: bool = True) -> None:
        """Cuts all links from `side` to `rest`, and those back if `both`."""
        for source in side:
            for destination in rest:
                self.override(source, destination, is_cut=True)
                if both:
                    self.override(destination, source, is_cut=True)

    def heal(self) -> None:
        """Drops all overrides."""
        self.overrides.clear()

    def draw_arrival_times(
        self, rng: random.Random, now: float, source: str, destination: str, stream: bool
    ) -> list[float]:
        """Draws when a message sent now arrives: no time if it is lost, two if it is duplicated."""
        link = self.find(source, destination)
        if link.is_cut or stream and self.find(destination, source).is_cut:
            return []
        count = 1
        if not stream:
            count = 0 if rng.random() < link.loss else 2 if rng.random() < link.duplication else 1
        begin = max(now, link.stalled_until)
        return [
            begin + link.delay + (rng.expovariate(1 / link.jitter) * (3 if stream else 1) if link.jitter else 0.0)
            for _ in range(count)
        ]
