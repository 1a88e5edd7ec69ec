"""Merges the per-second records in the logs of many ingresses into counts of the whole fleet. Does no I/O.

It counts per second, per sim server and per ingress, for the `growth count` command. A log may be cut off in mid-line,
be interleaved with other output, or have a timestamp in front of each line. Invalid records are not fatal: they are
counted, and the first one of each log is kept for the report.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

RECORD_MARKER = "event=second"  # only lines that contain it are parsed as records
MAX_KEPT_CHARACTERS = 100  # of an invalid line


@dataclass(slots=True)
class SecondCounts:
    """Sums over the records of all ingresses for one second."""

    counts: Counter[str] = field(default_factory=Counter)
    servers: dict[str, Counter[str]] = field(default_factory=dict)
    ingresses: dict[str, Counter[str]] = field(default_factory=dict)
    ejected: Counter[str] = field(default_factory=Counter)  # number of ejected servers, by ingress
    relays_in_flight: int = 0  # at the end of the second


@dataclass(slots=True)
class LogSummary:
    """Numbers of lines in one log, by kind."""

    records: int = 0
    other_lines: int = 0  # other log lines of the program, and output of other programs
    invalid_lines: int = 0  # lines with the marker that are not valid records
    first_invalid_line: str = ""  # cut to MAX_KEPT_CHARACTERS


class InvalidRecordError(ValueError):
    """A log line that has the marker of a record but cannot be parsed as one."""

    pass


def parse_record(line: str) -> tuple[int, dict[str, Any]]:
    """Returns the Unix time in seconds and the tally of one log line. Raises InvalidRecordError."""
    _, separator, rest = line.partition(" at=")
    second, _, rest = rest.partition(" tally=")
    try:
        if not separator:
            raise InvalidRecordError("the record has no field `at`")
        tally, _ = json.JSONDecoder().raw_decode(rest.strip())
        if isinstance(tally, str):  # the log writer quotes values that contain quotes
            tally = json.loads(tally)
        counts, servers, now = tally["counts"], tally["servers"], tally["now"]
        numbers = [*counts.values(), *(n for row in servers.values() for n in row.values()), now["aside"], now["out"]]
        if not all(isinstance(n, int) for n in numbers):
            raise InvalidRecordError("a count is not a whole number")
        return int(second), tally
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise InvalidRecordError(str(error)) from None


class MergedLogs:
    """Counts of all logs added so far: `seconds` by Unix time, `logs` by name of the ingress."""

    def __init__(self) -> None:
        self.seconds: dict[int, SecondCounts] = {}
        self.logs: dict[str, LogSummary] = {}

    def add_log(self, name: str, lines: Iterable[str]) -> LogSummary:
        """Adds the lines of one ingress's log. Its summary replaces an earlier one of the same name; counts add up."""
        log = self.logs[name] = LogSummary()
        for line in lines:
            if RECORD_MARKER not in line:
                log.other_lines += 1
                continue
            try:
                time, tally = parse_record(line)
            except InvalidRecordError:
                log.invalid_lines += 1
                log.first_invalid_line = log.first_invalid_line or line.strip()[:MAX_KEPT_CHARACTERS]
                continue
            log.records += 1
            self._add_record(name, self.seconds.setdefault(time, SecondCounts()), tally)
        return log

    def _add_record(self, name: str, second: SecondCounts, tally: dict[str, Any]) -> None:
        second.counts.update(tally["counts"])
        for server, counts in tally["servers"].items():
            second.servers.setdefault(server, Counter()).update(counts)
        second.ingresses.setdefault(name, Counter()).update(tally["counts"])
        second.ejected[name] = tally["now"]["aside"]
        second.relays_in_flight += tally["now"]["out"]

    def build_timeline(self) -> list[dict[str, Any]]:
        """Returns one row per second that has records, in order and numbered from 0 at the earliest."""
        if not self.seconds:
            return []
        start = min(self.seconds)
        return [
            {
                "second": time - start,
                "ingresses": len(s.ingresses),
                **{key: s.counts[name] for key, name in COLUMNS},
                "out": s.relays_in_flight,
                "aside": sum(s.ejected.values()),
                "servers": sum(c["relays"] > 0 for c in s.servers.values()),
                "most": max((c["relays"] for c in s.servers.values()), default=0),
            }
            for time, s in sorted(self.seconds.items())
        ]

    def build_totals(self, group: str) -> list[dict[str, Any]]:
        """Returns one row per sim server or ingress over all seconds, the one with the most relays first.

        `group` is "server" or "ingress".
        """
        totals: dict[str, Counter[str]] = {}
        for second in self.seconds.values():
            for name, counts in (second.servers if group == "server" else second.ingresses).items():
                totals.setdefault(name, Counter()).update(counts)
        rows = [{group: name, **{key: counts[counter] for key, counter in COLUMNS}} for name, counts in totals.items()]
        return sorted(rows, key=lambda row: -row.get("relays", 0))

    def build_report(self) -> dict[str, Any]:
        """Returns the content of the JSON output of `growth count`."""
        totals: Counter[str] = Counter()
        for second in self.seconds.values():
            totals.update(second.counts)
        return {
            "seconds": self.build_timeline(),
            "servers": self.build_totals("server"),
            "ingresses": self.build_totals("ingress"),
            "counters": dict(sorted(totals.items())),
            "logs": {
                name: {
                    "records": log.records,
                    "other": log.other_lines,
                    "bad": log.invalid_lines,
                    "first_bad": log.first_invalid_line,
                }
                for name, log in self.logs.items()
            },
        }


# Key in a row of the output, and the counter of the tally that it shows.
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
