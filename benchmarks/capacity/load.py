"""The current and the target load of the fleet, the assumptions, and estimates at any point between the two loads.

Every quantity grows in proportion from one load to the other. Performs no I/O; `rows`, `page` and `crossings` use
it."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass
from typing import Any

from .fits import MAX_EXTRAPOLATION, Fit, fit

CURRENT_LOAD = {
    "ingresses": 40.0,
    "servers": 60.0,
    "services": 1.0,
    "requests": 500.0,
    "routes": 1.0,
    "tenants": 374.0,
    "regions": 1.0,
    "zones": 3.0,
    "changes": 0.0,
    "failures": 0.0,
    "restarts": 0.0,
}
TARGET_LOAD = {
    "ingresses": 890.0,
    "servers": 12000.0,
    "services": 260.0,
    "requests": 130000.0,
    "routes": 3500.0,
    "tenants": 44000.0,
    "regions": 3.0,
    "zones": 12.0,
    "changes": 2400.0,
    "failures": 32.0,
    "restarts": 3700.0,
}

ASSUMPTIONS: dict[str, tuple[float, str, str]] = {  # value, what it is, reason
    "route": (
        200.0,
        "bytes of a route in a configuration",
        "a name, a path, a service, some four figures; nothing holds one yet",
    ),
    "told": (3.0, "entries that a restart of a server tells", "it drains, is gone, serves again"),
    "release": (
        60.0,
        "s in which a zone's restart tells all of them",
        "'at once' in the letter; a drain and a start take some 30 s each",
    ),
    "window": (
        60.0,
        "s over which 14 KB a second is a mean",
        "the letter names no span; a minute of use is what a meter shows",
    ),
    "minute": (
        60.0,
        "s for which the module remembers a firm",
        "twice its COUNTER_NAME_SECONDS of 30 s: counted by the code",
    ),
    "spread": (
        1.0,
        "part of all ingresses that a tenant's requests come in through",
        "on today's days 20 to 40 of 40: an ingress may meet each firm",
    ),
    "calls": (
        450.0,
        "calls a second that the counter bears",
        "the most seen on a day (docs/operators/growth.md); the letter names none",
    ),
    "link": (125e6, "bytes a second of a control machine's or discovery's link", "a gigabit; the letter names none"),
    "server": (
        1000.0,
        "connections that a sim server holds",
        "not in the letter; `drains.limit` is the operators' own figure",
    ),
    "fresh": (
        10.0,
        "s that a word of what an ingress carries may be old",
        "not in the letter; work on servers is weighed by these words",
    ),
    "known": (
        30.0,
        "s until a death is known to all",
        "not in the letter; a part is widened 2 s after the supervisor sees it",
    ),
    "hand": (1.0, "s that a message is in hand", "classes' aims are 2 to 3 s; an answer takes less"),
    "rack": (40.0, "machines of a rack", "not in the letter; 12,890 machines in 12 zones, some 27 racks each"),
    "back": (
        300.0,
        "s in which whoever was cut off for an hour has all again",
        "not in the letter; under a tenth of the hour",
    ),
    "revision": (
        700000.0,
        "bytes of a whole configuration",
        "3,500 routes of 200 bytes; a revision of `configuration/` holds 184 KB and knows no route",
    ),
    "firms": (
        374.0,
        "tenants of today's days",
        "those of a day at size in benchmarks/vast; the bench's own are not told",
    ),
    "asked": (
        500.0,
        "requests a second of today's days",
        "450 to 520 tries a second in all (docs/operators/growth.md)",
    ),
    "group": (8.0, "instances of one host group", "deploy/fleet-group.toml"),
}


def select_value(point: dict[str, Any], take: str) -> float:
    """Returns the least, the median or the most of a point's repeats. Raises KeyError for another `take`."""
    values = point["values"]
    return float({"least": min, "most": max, "median": statistics.median}[take](values))


def fit_row(row: dict[str, Any]) -> Fit:
    """Fits the points of a row of the results."""
    points = [(float(p["n"]), select_value(p, row["take"])) for p in row["points"]]
    return fit(points, compute_spread(row))


def compute_spread(row: dict[str, Any]) -> float:
    """Returns the relative difference between repeats of one size, as the median over sizes."""
    spreads = [
        (max(p["values"]) - min(p["values"])) / statistics.median(p["values"])
        for p in row["points"]
        if statistics.median(p["values"])
    ]
    return statistics.median(spreads) if spreads else 0.0


@dataclass(slots=True)
class SlopeUse:
    """A slope that an estimate used, and the size that it was evaluated at."""

    key: str
    size: float
    fit: Fit

    @property
    def is_extrapolated(self) -> bool:
        """Whether the size is so far beyond the measured ones that a second source is needed."""
        return self.fit.get_extrapolation(self.size) > MAX_EXTRAPOLATION


class MeasuredSlopes:
    """The rows of the results file by key, with the fit of each."""

    def __init__(self, results: dict[str, Any]) -> None:
        self.results = results
        self.rows: dict[str, dict[str, Any]] = {row["key"]: row for row in results["slopes"]}
        self.fits = {key: fit_row(row) for key, row in self.rows.items()}

    def find_second_source(self, key: str, size: float) -> dict[str, Any] | None:
        """Returns the second source nearest to the size; None if there is none.

        A source that would itself be extrapolated too far does not count, nor does a run that went wrong."""
        rows = [
            row
            for row in self.results.get("source2", [])
            if row["key"] == key and size / row["n"] <= MAX_EXTRAPOLATION and not row.get("wrong")
        ]
        return min(rows, key=lambda row: (abs(row["n"] - size), row["source"]), default=None)


class LoadPoint:
    """The fleet at a fraction of the way from the current load (0) to the target load (1).

    Every quantity of `CURRENT_LOAD` is an attribute. Collects the slopes that estimates use."""

    def __init__(self, measured: MeasuredSlopes, fraction: float) -> None:
        self.measured, self.fraction = measured, fraction
        self.used_slopes: dict[str, SlopeUse] = {}

    def __getattr__(self, name: str) -> float:
        try:
            return CURRENT_LOAD[name] + self.fraction * (TARGET_LOAD[name] - CURRENT_LOAD[name])
        except KeyError:
            raise AttributeError(name) from None

    def estimate(self, key: str, size: float) -> float:
        """Returns the fitted figure at a size; a size below the smallest measured one counts as that one."""
        slope_fit = self.measured.fits[key]
        self.used_slopes[key] = SlopeUse(key, size, slope_fit)
        smallest_size = min(p["n"] for p in self.measured.rows[key]["points"])
        return slope_fit.evaluate(max(size, smallest_size) if slope_fit.form != "constant" else size)

    @staticmethod
    def get_assumption(name: str) -> float:
        """Returns the value of an assumption."""
        return ASSUMPTIONS[name][0]

    @property
    def requests_per_ingress(self) -> float:
        """Requests per second of one ingress."""
        return self.requests / self.ingresses

    @property
    def firms_met(self) -> float:
        """Firms that an ingress has seen within the last minute, if all firms send alike."""
        firms = self.tenants * self.get_assumption("spread")
        return (
            firms * (1 - math.exp(-self.requests_per_ingress * self.get_assumption("minute") / firms)) if firms else 0.0
        )

    @property
    def requests_per_firm(self) -> float:
        """Requests per second of one firm at one ingress, if all firms send alike."""
        return self.requests / self.tenants / self.ingresses

    @property
    def server_restarts(self) -> float:
        """Restarts of servers per day, of the restarts of all machines."""
        return self.restarts * self.servers / (self.servers + self.ingresses)
