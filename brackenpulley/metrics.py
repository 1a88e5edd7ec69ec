"""Counters of one process, added to by all its parts and exposed by the console and the control API."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

# Name of the counter by class for each kind of answer to a client.
OUTCOME_COUNTERS = {"served": "ok", "granted": "ok", "back-off": "shed", "failed": "errors", "denied": "errors"}


class Metrics:
    """Counters by name, by name and class, and where a tally is kept by name and server."""

    def __init__(self) -> None:
        self.counts: defaultdict[str, int] = defaultdict(int)
        self.class_counts: defaultdict[tuple[str, str], int] = defaultdict(int)  # names are ok, shed, errors and tries
        # Attempts that ended without a whole answer, by outcome and by how far the answer had come.
        self.attempt_ends: defaultdict[tuple[str, str], int] = defaultdict(int)
        self.server_counts: defaultdict[tuple[str, str], int] | None = None  # set by the tally that reads it

    def add(self, name: str, amount: int = 1) -> None:
        """Add `amount` to a counter."""
        self.counts[name] += amount

    def add_for_server(self, name: str, server: str) -> None:
        """Add one to a counter, and to that of the server where counts by server are kept."""
        self.counts[name] += 1
        if self.server_counts is not None:
            self.server_counts[name, server] += 1

    def add_for_class(self, name: str, cls: str) -> None:
        """Add one to a counter of the class."""
        self.class_counts[name, cls] += 1

    def add_attempt_end(self, outcome: str, answer_stage: str) -> None:
        """Count an attempt that ended without a whole answer."""
        self.attempt_ends[outcome, answer_stage] += 1

    def record_maximum(self, name: str, value: int) -> None:
        """Raise a counter to `value` if it is lower: it holds the largest value seen."""
        if value > self.counts[name]:
            self.counts[name] = value

    def as_dict(self) -> dict[str, int]:
        """Return all counters, sorted by name."""
        return dict(sorted(self.counts.items()))


def render_exposition(metrics: Metrics, gauges: dict[str, int]) -> bytes:
    """Return the counters by class, the ends of attempts and the gauges in Prometheus' text format."""
    from prometheus_client.core import GaugeMetricFamily, UnknownMetricFamily
    from prometheus_client.exposition import generate_latest
    from prometheus_client.registry import CollectorRegistry

    class Collector:
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
            for (name, cls), count in sorted(metrics.class_counts.items()):
                families[name].add_metric([cls], count)
            yield from families.values()
            ends = UnknownMetricFamily(
                "app_attempts_ended",
                "attempts that ended without a whole answer since the start, by outcome and by what had come of it",
                labels=["outcome", "answer"],
            )
            for (outcome, answer_stage), count in sorted(metrics.attempt_ends.items()):
                ends.add_metric([outcome, answer_stage], count)
            yield ends
            for name, value in gauges.items():
                yield GaugeMetricFamily(f"app_{name}", name.replace("_", " "), value=value)

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Collector())
    # All values are integers, but the library writes them as floats.
    return generate_latest(registry).replace(b".0\n", b"\n")
