"""Second sources for fits that are stretched more than four times: counted by the code, or taken from a hollow run."""

from __future__ import annotations

import math
from typing import Any

from brackenpulley.members.service import SEEK
from brackenpulley.policy.brain import CALL_INTERVAL_MAX_SECONDS

from .kinds import shares
from .kinds.members import exchange
from .line import SIZE

WHOLE = (168, 1851)  # ingresses and servers at 0.15 of the line: do servers cost what one does, times their number?


def counted() -> list[dict[str, Any]]:
    """By the code's own figures; and where a slope is of one server, a run with many."""
    ingresses, servers = int(SIZE["ingresses"]), int(SIZE["servers"])
    found = shares.of(*WHOLE)
    rows = [
        {
            "key": f"shares.{name}",
            "source": "run",
            "n": float(WHOLE[0]),
            "value": float(f"{min(one[name] for one in found):.4g}"),
            "how": f"{WHOLE[0]} ingresses at {WHOLE[1]} servers in one, divided by these: a point of the line",
        }
        for name in ("memory", "look", "rest", "bytes", "dump", "load")
    ]
    draws = SIZE["requests"] / servers * 10.0
    rows.append(
        {
            "key": "connections.server",
            "source": "counting",
            "n": SIZE["ingresses"],
            "value": round(ingresses * (1 - math.exp(-draws / ingresses)), 1),
            "how": "ingresses that a server's requests of 10 s come from, each drawn at random",
        }
    )
    rows.append(
        {
            "key": "connections.calls",
            "source": "counting",
            "n": SIZE["ingresses"],
            "value": round(ingresses / CALL_INTERVAL_MAX_SECONDS, 1),
            "how": f"one call of each in CALL_INTERVAL_MAX_SECONDS = {CALL_INTERVAL_MAX_SECONDS} s, its slowest pace; "
            "the page takes the greater",
        }
    )
    rows.append(
        {
            "key": "news.late",
            "source": "counting",
            "n": SIZE["ingresses"],
            "value": round(20.0 * ingresses / 32, 1),
            "how": "REPAIR = 20 s for 32 members, longer in proportion: from one full exchange to the next",
        }
    )
    size = exchange(ingresses)["bytes"]
    rows.append(
        {
            "key": "apart.took",
            "source": "counting",
            "n": SIZE["ingresses"],
            "value": round(30.0 * ingresses / 32, 1),
            "how": "`sync_interval` = 30 s for 32 members, longer in proportion: until the next exchange of who missed it",
        }
    )
    rows.append(
        {
            "key": "apart.most",
            "source": "counting",
            "n": SIZE["ingresses"],
            "value": round(SEEK + ingresses / 3 * 12 * size / ingresses / (15 * 1100), 1),
            "how": "`SEEK`, then a third of all as news, each told 12 times by each, 15 datagrams a second",
        }
    )
    rows.append(
        {
            "key": "apart.bytes",
            "source": "counting",
            "n": SIZE["ingresses"],
            "value": round(ingresses * 2 / 3 * size),
            "how": "at most: the seed of the third is asked by two thirds of all, a whole exchange each",
        }
    )
    return rows


PROTOCOL = ("ack", "ask", "nack", "ping", "sync", "tell")  # what membership itself sends


def hollow(told: dict[str, Any]) -> list[dict[str, Any]]:
    """What `benchmarks.scale --json` prints as rows: a report, or an object whose "slopes" are rows already.

    A run that says of itself what went wrong is named as such in `how` and is `wrong`: shown, but no second source that
    a stretched fit may lean on. Raises KeyError where it is neither."""
    if "slopes" in told:
        return [
            {
                "key": str(row["key"]),
                "source": "hollow",
                "n": float(row["n"]),
                "value": float(row["value"]),
                "how": str(row.get("how", "benchmarks.scale")),
            }
            for row in told["slopes"]
        ]
    followers = float(told["hollow"] + told["real"])
    members, calm, times = followers + told["voters"], told["calm"], told["times"]
    sent, real = calm["hollow"]["members"], calm["real"]

    def out(rows: dict[str, dict[str, float]], kinds: tuple[str, ...], what: str) -> float:
        return sum(rows.get(kind, {}).get(what, 0.0) for kind in kinds)

    found = {
        "members.bytes": (members, out(sent, PROTOCOL, "outBytes")),
        "members.messages": (members, out(sent, PROTOCOL, "outMessages")),
        "members.death": (members, max((row["most"] for row in times["deathKnown"]), default=0.0)),
        "log.follower": (followers, out(sent, ("carry_agree",), "outBytes")),
        "log.rest": (followers, out(calm["voter"]["members"], ("carry_agree",), "outBytes")),
        "log.all": (followers, max((row["most"] for row in times["agreedToAll"]), default=0.0)),
        "process.start": (float(told["servers"]), times["readyReal"]["most"]),
        "control.bytes": (members, real["controlBytesASecond"]),
        "control.cpu": (members, real["cpuPercent"]["median"]),
        "control.resident": (members, real["residentMb"]["median"]),
        "control.hold": (members, real["longestHoldMs"]["least"]),
    }
    how = (
        f"{told['hollow']} hollow and {told['real']} real ingresses, {told['voters']} voters, "
        f"{told['servers']} servers, seed {told['seed']}"
    )
    wrong = [str(line).partition(": [")[0] for line in told.get("wrong", [])]
    if wrong:
        how += f"; not a settled fleet: {', '.join(wrong)}"
    return [
        {
            "key": key,
            "source": "hollow",
            "n": n,
            "value": float(f"{value:.4g}"),
            "how": how,
            **({"wrong": True} if wrong else {}),
        }
        for key, (n, value) in found.items()
        if value
    ]
