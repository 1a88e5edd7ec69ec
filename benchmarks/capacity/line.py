"""The line from today's days to the size, and what stands at a point of it: each quantity in proportion. No I/O."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass
from typing import Any

from .fits import FAR, Fit, fit

TODAY = {
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
SIZE = {
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

ASSUMED: dict[str, tuple[float, str, str]] = {
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


def value(point: dict[str, Any], take: str) -> float:
    values = point["values"]
    return float({"least": min, "most": max, "median": statistics.median}[take](values))


def fitted(row: dict[str, Any]) -> Fit:
    points = [(float(p["n"]), value(p, row["take"])) for p in row["points"]]
    return fit(points, spread(row))


def spread(row: dict[str, Any]) -> float:
    """The part by which repeats of one size differ, the median over sizes."""
    parts = [
        (max(p["values"]) - min(p["values"])) / statistics.median(p["values"])
        for p in row["points"]
        if statistics.median(p["values"])
    ]
    return statistics.median(parts) if parts else 0.0


@dataclass(slots=True)
class Use:
    """What a need has looked at: the slope, and the size that it was asked for."""

    key: str
    size: float
    fit: Fit

    @property
    def far(self) -> bool:
        return self.fit.stretched(self.size) > FAR


class Measured:
    """The file of results, with its fits made once."""

    def __init__(self, raw: dict[str, Any]) -> None:
        self.raw = raw
        self.rows: dict[str, dict[str, Any]] = {row["key"]: row for row in raw["slopes"]}
        self.fits = {key: fitted(row) for key, row in self.rows.items()}

    def second(self, key: str, size: float) -> dict[str, Any] | None:
        """The second source nearest to that size; one that would itself be stretched too far is none, nor is a run
        that went wrong."""
        rows = [
            row
            for row in self.raw.get("source2", [])
            if row["key"] == key and size / row["n"] <= FAR and not row.get("wrong")
        ]
        return min(rows, key=lambda row: (abs(row["n"] - size), row["source"]), default=None)


class At:
    """The fleet at the part `f` of the line."""

    def __init__(self, measured: Measured, f: float) -> None:
        self.measured, self.f = measured, f
        self.used: dict[str, Use] = {}

    def __getattr__(self, name: str) -> float:
        try:
            return TODAY[name] + self.f * (SIZE[name] - TODAY[name])
        except KeyError:
            raise AttributeError(name) from None

    def slope(self, key: str, size: float) -> float:
        """The figure by its fit; a size under the first measured counts as that one."""
        found = self.measured.fits[key]
        self.used[key] = Use(key, size, found)
        least = min(p["n"] for p in self.measured.rows[key]["points"])
        return found.at(max(size, least) if found.form != "constant" else size)

    @staticmethod
    def assumed(name: str) -> float:
        return ASSUMED[name][0]

    # What follows from these.

    @property
    def each(self) -> float:
        """Requests a second of an ingress."""
        return self.requests / self.ingresses

    @property
    def met(self) -> float:
        """Firms that an ingress has met within the last minute, all alike."""
        firms = self.tenants * self.assumed("spread")
        return firms * (1 - math.exp(-self.each * self.assumed("minute") / firms)) if firms else 0.0

    @property
    def pace(self) -> float:
        """Tries a second of a firm at one ingress, all alike."""
        return self.requests / self.tenants / self.ingresses

    @property
    def restarted(self) -> float:
        """Servers among the machines that restart in a day."""
        return self.restarts * self.servers / (self.servers + self.ingresses)
