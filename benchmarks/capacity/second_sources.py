"""Second sources for fits that are extrapolated more than four times, derived from the code or read from a hollow run.

The command line in `__main__` stores them beside the slopes."""

from __future__ import annotations

import math
from typing import Any

from brackenpulley.members.service import SEEK
from brackenpulley.policy.brain import CALL_INTERVAL_MAX_SECONDS

from .kinds import shares
from .kinds.members import measure_exchange
from .load import TARGET_LOAD

# Ingresses and servers at 0.15 of the way to the target load. Shows whether the cost of one server times their number
# holds for many servers.
WHOLE_FLEET = (168, 1851)


def count_second_sources() -> list[dict[str, Any]]:
    """Returns rows derived from the program's constants.

    A slope that is measured for one server is checked by a run with many servers."""
    ingresses, servers = int(TARGET_LOAD["ingresses"]), int(TARGET_LOAD["servers"])
    repeats = shares.measure_size(*WHOLE_FLEET)
    rows = [
        {
            "key": f"shares.{name}",
            "source": "run",
            "n": float(WHOLE_FLEET[0]),
            "value": float(f"{min(repeat[name] for repeat in repeats):.4g}"),
            "how": f"{WHOLE_FLEET[0]} ingresses at {WHOLE_FLEET[1]} servers in one, divided by these: "
            "a point of the line",
        }
        for name in ("memory", "look", "rest", "bytes", "dump", "load")
    ]
    requests_per_server = TARGET_LOAD["requests"] / servers * 10.0
    rows.append(
        {
            "key": "connections.server",
            "source": "counting",
            "n": TARGET_LOAD["ingresses"],
            "value": round(ingresses * (1 - math.exp(-requests_per_server / ingresses)), 1),
            "how": "ingresses that a server's requests of 10 s come from, each drawn at random",
        }
    )
    rows.append(
        {
            "key": "connections.calls",
            "source": "counting",
            "n": TARGET_LOAD["ingresses"],
            "value": round(ingresses / CALL_INTERVAL_MAX_SECONDS, 1),
            "how": f"one call of each in CALL_INTERVAL_MAX_SECONDS = {CALL_INTERVAL_MAX_SECONDS} s, its slowest pace; "
            "the page takes the greater",
        }
    )
    rows.append(
        {
            "key": "news.late",
            "source": "counting",
            "n": TARGET_LOAD["ingresses"],
            "value": round(20.0 * ingresses / 32, 1),
            "how": "REPAIR = 20 s for 32 members, longer in proportion: from one full exchange to the next",
        }
    )
    exchange_bytes = measure_exchange(ingresses)["bytes"]
    rows.append(
        {
            "key": "apart.took",
            "source": "counting",
            "n": TARGET_LOAD["ingresses"],
            "value": round(30.0 * ingresses / 32, 1),
            "how": "`sync_interval` = 30 s for 32 members, longer in proportion: "
            "until the next exchange of who missed it",
        }
    )
    rows.append(
        {
            "key": "apart.most",
            "source": "counting",
            "n": TARGET_LOAD["ingresses"],
            "value": round(SEEK + ingresses / 3 * 12 * exchange_bytes / ingresses / (15 * 1100), 1),
            "how": "`SEEK`, then a third of all as news, each told 12 times by each, 15 datagrams a second",
        }
    )
    rows.append(
        {
            "key": "apart.bytes",
            "source": "counting",
            "n": TARGET_LOAD["ingresses"],
            "value": round(ingresses * 2 / 3 * exchange_bytes),
            "how": "at most: the seed of the third is asked by two thirds of all, a whole exchange each",
        }
    )
    return rows


MEMBERSHIP_KINDS = ("ack", "ask", "nack", "ping", "sync", "tell")  # messages of the membership protocol itself


def read_hollow_run(report: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns rows from the output of `benchmarks.scale --json`.

    That is a report, or an object whose "slopes" are rows already; raises KeyError if it is neither. A run that reports
    faults of its own is named as such in `how` and is `wrong`: it is shown, but is no second source for a fit."""
    if "slopes" in report:
        return [
            {
                "key": str(row["key"]),
                "source": "hollow",
                "n": float(row["n"]),
                "value": float(row["value"]),
                "how": str(row.get("how", "benchmarks.scale")),
            }
            for row in report["slopes"]
        ]
    followers = float(report["hollow"] + report["real"])
    member_count, idle, times = followers + report["voters"], report["calm"], report["times"]
    sent_by_hollow, real = idle["hollow"]["members"], idle["real"]

    def sum_kinds(rows: dict[str, dict[str, float]], kinds: tuple[str, ...], what: str) -> float:
        return sum(rows.get(kind, {}).get(what, 0.0) for kind in kinds)

    figures = {
        "members.bytes": (member_count, sum_kinds(sent_by_hollow, MEMBERSHIP_KINDS, "outBytes")),
        "members.messages": (member_count, sum_kinds(sent_by_hollow, MEMBERSHIP_KINDS, "outMessages")),
        "members.death": (member_count, max((row["most"] for row in times["deathKnown"]), default=0.0)),
        "log.follower": (followers, sum_kinds(sent_by_hollow, ("carry_agree",), "outBytes")),
        "log.rest": (followers, sum_kinds(idle["voter"]["members"], ("carry_agree",), "outBytes")),
        "log.all": (followers, max((row["most"] for row in times["agreedToAll"]), default=0.0)),
        "process.start": (float(report["servers"]), times["readyReal"]["most"]),
        "control.bytes": (member_count, real["controlBytesASecond"]),
        "control.cpu": (member_count, real["cpuPercent"]["median"]),
        "control.resident": (member_count, real["residentMb"]["median"]),
        "control.hold": (member_count, real["longestHoldMs"]["least"]),
    }
    how = (
        f"{report['hollow']} hollow and {report['real']} real ingresses, {report['voters']} voters, "
        f"{report['servers']} servers, seed {report['seed']}"
    )
    wrong = [str(line).partition(": [")[0] for line in report.get("wrong", [])]
    if wrong:
        how += f"; not a settled fleet: {', '.join(wrong)}"
    return [
        {
            "key": key,
            "source": "hollow",
            "n": size,
            "value": float(f"{value:.4g}"),
            "how": how,
            **({"wrong": True} if wrong else {}),
        }
        for key, (size, value) in figures.items()
        if value
    ]
