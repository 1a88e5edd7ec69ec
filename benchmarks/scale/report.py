"""What a scale run counted, by kind of process, and whether the letter's limits for control are kept. No I/O."""

from __future__ import annotations

import re
import statistics
from collections import Counter as Tally
from collections.abc import Iterable
from typing import Any

CPU, MEMORY, BYTES = 2.0, 32.0, 14_000.0  # % of a core, MB, bytes a second: what control may cost a real ingress
NEAR, LEAST = 0.10, 0.5  # part by which hollow and real may differ; messages a second under which chance decides
MEMBERS = re.compile(r"members_(sent|heard)_([a-z_]+?)(_bytes)?")
GROUPS = ("hollow", "real", "voter")


def delta(before: dict[str, int], after: dict[str, int]) -> Tally[str]:
    return Tally({key: value - before.get(key, 0) for key, value in after.items()})


def spread(values: Iterable[float]) -> dict[str, float]:
    """Least, median, 99 in 100, most."""
    rows = sorted(values)
    if not rows:
        return {}
    return {
        "least": round(rows[0], 3),
        "median": round(statistics.median(rows), 3),
        "most99": round(rows[int(0.99 * (len(rows) - 1))], 3),
        "most": round(rows[-1], 3),
        "of": len(rows),
    }


def messages(counts: Tally[str], seconds: float, processes: int) -> dict[str, dict[str, float]]:
    """Of membership, by kind: messages and bytes a second of one process, out and in."""
    found: dict[str, dict[str, float]] = {}
    for name, value in counts.items():
        if (match := MEMBERS.fullmatch(name)) and match[2] != "bytes" and value:
            way = ("out" if match[1] == "sent" else "in") + ("Bytes" if match[3] else "Messages")
            found.setdefault(match[2], {})[way] = round(value / seconds / processes, 3)
    return dict(sorted(found.items()))


def asked(counts: Tally[str], group: str, seconds: float, processes: int) -> dict[str, dict[str, float]]:
    """Of discovery or the counter, as these counted it: by kind, for one process of that group."""
    found: dict[str, dict[str, float]] = {}
    for name, value in counts.items():
        if name.startswith(group + " ") and value:
            kind, _, size = name.removeprefix(group + " ").partition("_")
            found.setdefault(kind, {})["bytes" if size else "messages"] = round(value / seconds / processes, 3)
    return dict(sorted(found.items()))


def total_bytes(row: dict[str, Any]) -> float:
    kinds = [*row["members"].values(), *row["discovery"].values(), *row["counter"].values()]
    return round(sum(value for kind in kinds for name, value in kind.items() if "ytes" in name), 1)


def window(before: dict[str, Any], after: dict[str, Any], kinds: dict[str, list[str]], hollow: int) -> dict[str, Any]:
    """Between two of `World.counts`; `kinds`: the daemons' names by kind."""
    seconds = after["at"] - before["at"]
    lists, adds = (delta(before[name][0], after[name][0]) for name in ("discovery", "counter"))
    found: dict[str, Any] = {"seconds": round(seconds, 2)}

    def row(kind: str, counts: Tally[str], cpu: list[float], memory: list[float], count: int) -> dict[str, Any]:
        made: dict[str, Any] = {
            "processes": count,
            "members": messages(counts, seconds, count),
            "discovery": asked(lists, kind, seconds, count),
            "counter": asked(adds, kind, seconds, count),
            "triesASecond": round(counts["messages"] / seconds / count, 2),
            "leaseCallsASecond": round(counts["lease_calls"] / seconds / count, 2),
            "cpuPercent": spread(cpu),
            "residentMb": spread(memory),
            "streamsFull": counts["members_streams_full"],
            "dropped": sum(value for name, value in counts.items() if name.startswith("members_dropped_")),
        }
        made["controlBytesASecond"] = total_bytes(made)
        return made

    for kind, names in kinds.items():
        if not names:
            continue
        sums: Tally[str] = Tally()
        cpu, memory, holds, grown = [], [], [], 0
        for name in names:
            old, new = before["daemons"][name], after["daemons"][name]
            sums.update(delta(old[0], new[0]))
            cpu.append((new[1] - old[1]) / seconds * 100)
            memory.append(new[2])
            holds.append(new[0]["longest_turn_us"] / 1000)
            grown += new[0]["longest_turn_us"] > old[0]["longest_turn_us"]
        found[kind] = row(kind, sums, cpu, memory, len(names))
        found[kind]["longestHoldMs"] = {**spread(holds), "since": "start", "grewHere": grown}
    if hollow:
        sums, cpu, memory, holds, busy = Tally(), 0.0, 0.0, [], 0.0
        for name, (counted, used, resident) in after["hosts"].items():
            old = before["hosts"][name]
            sums.update(delta(old[0]["counts"], counted["counts"]))
            cpu, memory, busy = cpu + used - old[1], memory + resident, busy + counted["busy"] - old[0]["busy"]
            holds += [hold / 1000 for hold in counted["holds"]]
        found["hollow"] = row("hollow", sums, [cpu / seconds * 100 / hollow], [memory / hollow], hollow)
        found["hollow"]["ownCallsPercent"] = round(busy / seconds * 100 / hollow, 3)
        found["hollow"]["longestHoldMs"] = {**spread(holds), "since": "window, one call of one ingress"}
    for name in ("discovery", "counter", "links"):
        counted, used, resident, longest = after[name]
        found[name] = {
            "cpuPercent": round((used - before[name][1]) / seconds * 100, 2),
            "residentMb": round(resident, 1),
            "longestHoldMs": longest / 1000,
        }
    for name, sums in (("discovery", lists), ("counter", adds)):
        out: dict[str, float] = {}
        for key, value in sums.items():
            kind = key.rpartition(" ")[2]
            out[kind] = out.get(kind, 0.0) + value / seconds
        found[name]["aSecond"] = {key: round(value, 2) for key, value in sorted(out.items())}
    found["links"]["aSecond"] = {
        key: round(value / seconds, 1) for key, value in delta(before["links"][0], after["links"][0]).items()
    }
    return found


def limits(calm: dict[str, Any], loaded: dict[str, Any], bare: dict[str, Any]) -> list[str]:
    """Which of the letter's limits a real ingress passes. CPU without clients, so that all of it is control's; bytes
    with and without; memory over that of a daemon with nothing switched on and few servers."""
    passed = []
    if (cpu := calm["real"]["cpuPercent"]["most"]) > CPU:
        passed.append(f"control takes {cpu:.2f} % of a core, {CPU:g} allowed")
    memory = calm["real"]["residentMb"]["most"] - bare["residentMb"]["most"]
    if memory > MEMORY:
        passed.append(f"control holds {memory:.1f} MB, {MEMORY:g} allowed")
    for name, part in (("calm", calm), ("loaded", loaded)):
        if (size := part["real"]["controlBytesASecond"]) > BYTES:
            passed.append(f"control takes {size:.0f} bytes a second ({name}), {BYTES:.0f} allowed")
    return passed


def compared(part: dict[str, Any]) -> list[dict[str, Any]]:
    """Hollow against real, by kind of message: `near` within NEAR, or None where there are too few to tell."""
    rows = []
    for where in ("members", "discovery", "counter"):
        kinds = sorted({*part["real"][where], *part["hollow"][where]})
        for kind in kinds:
            real, hollow = (part[group][where].get(kind, {}) for group in ("real", "hollow"))
            for way in sorted({*real, *hollow}):
                a, b = real.get(way, 0.0), hollow.get(way, 0.0)
                few = (
                    part["seconds"]
                    * part["real"]["processes"]
                    * max(value for name, value in {**hollow, **real}.items() if "essages" in name)
                    < 400
                    if any("essages" in name for name in {**hollow, **real})
                    else False
                )
                rows.append(
                    {
                        "kind": f"{where} {kind}",
                        "what": way,
                        "real": a,
                        "hollow": b,
                        "ratio": round(b / a, 3) if a else None,
                        "near": None if few else bool(a and abs(b / a - 1) <= NEAR),
                    }
                )
    return rows
