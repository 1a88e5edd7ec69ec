"""Counters of what is taken in, sent and answered."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

OUTCOMES = {"served": "ok", "granted": "ok", "back-off": "shed", "failed": "errors", "denied": "errors"}


class Metrics:
    def __init__(self) -> None:
        self.counts: defaultdict[str, int] = defaultdict(int)
        self.classes: defaultdict[tuple[str, str], int] = defaultdict(int)  # by name and class: ok, shed, errors, tries
        self.servers: defaultdict[tuple[str, str], int] | None = None  # by name and sim server, where that is wanted

    def add(self, name: str, amount: int = 1) -> None:
        self.counts[name] += amount

    def at(self, name: str, server: str) -> None:
        """The same, and by sim server where a tally is kept."""
        self.counts[name] += 1
        if self.servers is not None:
            self.servers[name, server] += 1

    def of(self, name: str, cls: str) -> None:
        self.classes[name, cls] += 1

    def most(self, name: str, value: int) -> None:
        if value > self.counts[name]:
            self.counts[name] = value

    def table(self) -> dict[str, int]:
        return dict(sorted(self.counts.items()))


def exposition(metrics: Metrics, gauges: dict[str, int]) -> bytes:
    """The counters by class and the gauges in Prometheus' text format."""
    from prometheus_client.core import GaugeMetricFamily, UnknownMetricFamily
    from prometheus_client.exposition import generate_latest
    from prometheus_client.registry import CollectorRegistry

    class Figures:
        def collect(self) -> Any:
            families = {
                name: UnknownMetricFamily(f"app_{name}", f"requests {what} since the start, by class", labels=["kind"])
                for name, what in (
                    ("ok", "served"),
                    ("shed", "refused"),
                    ("errors", "failed"),
                    ("tries", "written whole to sim servers, attempts"),
                )
            }
            for (name, cls), count in sorted(metrics.classes.items()):
                families[name].add_metric([cls], count)
            yield from families.values()
            for name, value in gauges.items():
                yield GaugeMetricFamily(f"app_{name}", name.replace("_", " "), value=value)

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Figures())
    # All of them are counts; the library writes every value as a float.
    return generate_latest(registry).replace(b".0\n", b"\n")
