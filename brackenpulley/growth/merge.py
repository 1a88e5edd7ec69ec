"""Logs of many ingresses as one count of the whole fleet: per second, per sim server, per ingress. No I/O.

A log may be cut off in mid-line, interleaved with other output, or carry a time in front of each line; what is no
record is counted and the first one of each log is named, and nothing of it is fatal."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

MARK = "event=second"
BAD_KEPT = 100  # characters of a line that is no record


@dataclass(slots=True)
class Second:
    """What all ingresses counted in one second."""

    counts: Counter[str] = field(default_factory=Counter)
    servers: dict[str, Counter[str]] = field(default_factory=dict)
    ingresses: dict[str, Counter[str]] = field(default_factory=dict)
    aside: Counter[str] = field(default_factory=Counter)  # number of servers that an ingress has set aside
    out: int = 0  # attempts out, in all


@dataclass(slots=True)
class Log:
    """What one log gave."""

    records: int = 0
    other: int = 0  # the program's other lines, and whoever else wrote there
    bad: int = 0  # lines that should be records and are none
    first_bad: str = ""


class BadRecord(ValueError):
    pass


def record(line: str) -> tuple[int, dict[str, Any]]:
    """The second and the tally of one line. Raises BadRecord."""
    _, found, rest = line.partition(" at=")
    at, _, rest = rest.partition(" tally=")
    try:
        if not found:
            raise BadRecord("no second")
        tally, _ = json.JSONDecoder().raw_decode(rest.strip())
        if isinstance(tally, str):  # the log's writer quotes what has quotes in it
            tally = json.loads(tally)
        counts, servers, now = tally["counts"], tally["servers"], tally["now"]
        numbers = [*counts.values(), *(n for row in servers.values() for n in row.values()), now["aside"], now["out"]]
        if not all(isinstance(n, int) for n in numbers):
            raise BadRecord("a count that is no whole number")
        return int(at), tally
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise BadRecord(str(error)) from None


class Merged:
    def __init__(self) -> None:
        self.seconds: dict[int, Second] = {}
        self.logs: dict[str, Log] = {}

    def add(self, name: str, lines: Iterable[str]) -> Log:
        log = self.logs[name] = Log()
        for line in lines:
            if MARK not in line:
                log.other += 1
                continue
            try:
                at, tally = record(line)
            except BadRecord:
                log.bad += 1
                log.first_bad = log.first_bad or line.strip()[:BAD_KEPT]
                continue
            log.records += 1
            self._count(name, self.seconds.setdefault(at, Second()), tally)
        return log

    def _count(self, name: str, second: Second, tally: dict[str, Any]) -> None:
        second.counts.update(tally["counts"])
        for server, counts in tally["servers"].items():
            second.servers.setdefault(server, Counter()).update(counts)
        second.ingresses.setdefault(name, Counter()).update(tally["counts"])
        second.aside[name] = tally["now"]["aside"]
        second.out += tally["now"]["out"]

    def table(self) -> list[dict[str, Any]]:
        """A row a second, the first one is 0."""
        if not self.seconds:
            return []
        start = min(self.seconds)
        return [
            {
                "second": at - start,
                "ingresses": len(s.ingresses),
                **{key: s.counts[name] for key, name in COLUMNS},
                "out": s.out,
                "aside": sum(s.aside.values()),
                "servers": sum(c["relays"] > 0 for c in s.servers.values()),
                "most": max((c["relays"] for c in s.servers.values()), default=0),
            }
            for at, s in sorted(self.seconds.items())
        ]

    def by(self, what: str) -> list[dict[str, Any]]:
        """A row a sim server or an ingress, over all seconds; the busiest first."""
        found: dict[str, Counter[str]] = {}
        for second in self.seconds.values():
            for name, counts in (second.servers if what == "server" else second.ingresses).items():
                found.setdefault(name, Counter()).update(counts)
        rows = [{what: name, **{key: counts[counter] for key, counter in COLUMNS}} for name, counts in found.items()]
        return sorted(rows, key=lambda row: -row.get("relays", 0))

    def whole(self) -> dict[str, Any]:
        total: Counter[str] = Counter()
        for second in self.seconds.values():
            total.update(second.counts)
        return {
            "seconds": self.table(),
            "servers": self.by("server"),
            "ingresses": self.by("ingress"),
            "counters": dict(sorted(total.items())),
            "logs": {
                name: {"records": log.records, "other": log.other, "bad": log.bad, "first_bad": log.first_bad}
                for name, log in self.logs.items()
            },
        }


COLUMNS = (
    ("messages", "messages"),
    ("relays", "relays"),
    ("served", "served"),
    ("connects", "connects"),
    ("errors", "relay_error"),
    ("full", "relay_full"),
    ("timeouts", "relay_timeout"),
    ("resets", "relay_reset"),
    ("unreached", "relay_connect_failed"),
    ("taken_back", "relay_cancelled"),
    ("no_quota", "refused_quota"),
    ("no_rate", "refused_rate"),
    ("no_time", "refused_haste"),
    ("no_room", "refused_room"),
    ("no_server", "refused_servers"),
    ("gone", "gone"),
    ("lists", "lists"),
    ("breaks", "watch_breaks"),
    ("calls", "counts"),
    ("answered", "count_ok"),
    ("late", "count_timeout"),
    ("turned_away", "count_full"),
)
