"""Summaries of a scale benchmark by kind of process, and the check of the limits for control traffic. No I/O."""

from __future__ import annotations

import re
import statistics
from collections import Counter as Tally
from collections.abc import Iterable
from typing import Any

# Limits on what control traffic may cost a real ingress.
MAX_CPU_PERCENT = 2.0  # of one core
MAX_MEMORY_MB = 32.0
MAX_CONTROL_BYTES_PER_SECOND = 14_000.0
MAX_RELATIVE_DIFFERENCE = 0.10  # between hollow and real ingresses, as a fraction
MIN_MESSAGES_PER_SECOND = 0.5  # lower rates are dominated by chance
MEMBERSHIP_COUNTER = re.compile(r"members_(sent|heard)_([a-z_]+?)(_bytes)?")
GROUPS = ("hollow", "real", "voter")


def subtract_counts(before: dict[str, int], after: dict[str, int]) -> Tally[str]:
    """Returns by how much each counter grew from `before` to `after`."""
    return Tally({key: value - before.get(key, 0) for key, value in after.items()})


def summarize(values: Iterable[float]) -> dict[str, float]:
    """Returns minimum, median, 99th percentile, maximum and number of the values; empty if there are none."""
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


def compute_membership_rates(counts: Tally[str], seconds: float, processes: int) -> dict[str, dict[str, float]]:
    """Returns by kind of membership message the messages and bytes per second of one process, sent and received."""
    result: dict[str, dict[str, float]] = {}
    for name, value in counts.items():
        if (match := MEMBERSHIP_COUNTER.fullmatch(name)) and match[2] != "bytes" and value:
            metric = ("out" if match[1] == "sent" else "in") + ("Bytes" if match[3] else "Messages")
            result.setdefault(match[2], {})[metric] = round(value / seconds / processes, 3)
    return dict(sorted(result.items()))


def compute_service_rates(
    counts: Tally[str], group: str, seconds: float, processes: int
) -> dict[str, dict[str, float]]:
    """Returns rates per second of one process of a group, by kind, from the counts of discovery or the counter."""
    result: dict[str, dict[str, float]] = {}
    for name, value in counts.items():
        if name.startswith(group + " ") and value:
            kind, _, size = name.removeprefix(group + " ").partition("_")
            result.setdefault(kind, {})["bytes" if size else "messages"] = round(value / seconds / processes, 3)
    return dict(sorted(result.items()))


def sum_control_bytes(row: dict[str, Any]) -> float:
    """Returns the bytes per second of all control traffic of a group."""
    kinds = [*row["members"].values(), *row["discovery"].values(), *row["counter"].values()]
    return round(sum(value for kind in kinds for name, value in kind.items() if "ytes" in name), 1)


def summarize_window(
    before: dict[str, Any], after: dict[str, Any], kinds: dict[str, list[str]], hollow: int
) -> dict[str, Any]:
    """Summarizes the time between two results of `World.counts`; `kinds` has the names of the daemons by kind."""
    seconds = after["at"] - before["at"]
    discovery_counts, counter_counts = (
        subtract_counts(before[name][0], after[name][0]) for name in ("discovery", "counter")
    )
    result: dict[str, Any] = {"seconds": round(seconds, 2)}

    def summarize_group(
        kind: str, counts: Tally[str], cpu: list[float], memory: list[float], count: int
    ) -> dict[str, Any]:
        group: dict[str, Any] = {
            "processes": count,
            "members": compute_membership_rates(counts, seconds, count),
            "discovery": compute_service_rates(discovery_counts, kind, seconds, count),
            "counter": compute_service_rates(counter_counts, kind, seconds, count),
            "triesASecond": round(counts["messages"] / seconds / count, 2),
            "leaseCallsASecond": round(counts["lease_calls"] / seconds / count, 2),
            "cpuPercent": summarize(cpu),
            "residentMb": summarize(memory),
            "streamsFull": counts["members_streams_full"],
            "dropped": sum(value for name, value in counts.items() if name.startswith("members_dropped_")),
        }
        group["controlBytesASecond"] = sum_control_bytes(group)
        return group

    for kind, names in kinds.items():
        if not names:
            continue
        sums: Tally[str] = Tally()
        cpu, memory, longest_turns, increased_count = [], [], [], 0
        for name in names:
            old, new = before["daemons"][name], after["daemons"][name]
            sums.update(subtract_counts(old[0], new[0]))
            cpu.append((new[1] - old[1]) / seconds * 100)
            memory.append(new[2])
            longest_turns.append(new[0]["longest_turn_us"] / 1000)
            increased_count += new[0]["longest_turn_us"] > old[0]["longest_turn_us"]
        result[kind] = summarize_group(kind, sums, cpu, memory, len(names))
        result[kind]["longestHoldMs"] = {**summarize(longest_turns), "since": "start", "grewHere": increased_count}
    if hollow:
        sums, cpu, memory, longest_turns, busy = Tally(), 0.0, 0.0, [], 0.0
        for name, (counted, used, resident) in after["hosts"].items():
            old = before["hosts"][name]
            sums.update(subtract_counts(old[0]["counts"], counted["counts"]))
            cpu, memory, busy = cpu + used - old[1], memory + resident, busy + counted["busy"] - old[0]["busy"]
            longest_turns += [turn_us / 1000 for turn_us in counted["holds"]]
        result["hollow"] = summarize_group("hollow", sums, [cpu / seconds * 100 / hollow], [memory / hollow], hollow)
        result["hollow"]["ownCallsPercent"] = round(busy / seconds * 100 / hollow, 3)
        result["hollow"]["longestHoldMs"] = {**summarize(longest_turns), "since": "window, one call of one ingress"}
    for name in ("discovery", "counter", "links"):
        counted, used, resident, longest = after[name]
        result[name] = {
            "cpuPercent": round((used - before[name][1]) / seconds * 100, 2),
            "residentMb": round(resident, 1),
            "longestHoldMs": longest / 1000,
        }
    for name, sums in (("discovery", discovery_counts), ("counter", counter_counts)):
        out: dict[str, float] = {}
        for key, value in sums.items():
            kind = key.rpartition(" ")[2]
            out[kind] = out.get(kind, 0.0) + value / seconds
        result[name]["aSecond"] = {key: round(value, 2) for key, value in sorted(out.items())}
    result["links"]["aSecond"] = {
        key: round(value / seconds, 1) for key, value in subtract_counts(before["links"][0], after["links"][0]).items()
    }
    return result


def find_exceeded_limits(calm: dict[str, Any], loaded: dict[str, Any], bare: dict[str, Any]) -> list[str]:
    """Describes each limit that a real ingress exceeds.

    CPU is taken without clients, so that all of it is for control traffic. Bytes are taken with and without clients.
    Memory is the excess over a daemon with all features off and few servers.
    """
    exceeded = []
    if (cpu_percent := calm["real"]["cpuPercent"]["most"]) > MAX_CPU_PERCENT:
        exceeded.append(f"control takes {cpu_percent:.2f} % of a core, {MAX_CPU_PERCENT:g} allowed")
    memory = calm["real"]["residentMb"]["most"] - bare["residentMb"]["most"]
    if memory > MAX_MEMORY_MB:
        exceeded.append(f"control holds {memory:.1f} MB, {MAX_MEMORY_MB:g} allowed")
    for name, part in (("calm", calm), ("loaded", loaded)):
        if (size := part["real"]["controlBytesASecond"]) > MAX_CONTROL_BYTES_PER_SECOND:
            exceeded.append(
                f"control takes {size:.0f} bytes a second ({name}), {MAX_CONTROL_BYTES_PER_SECOND:.0f} allowed"
            )
    return exceeded


def compare_hollow_with_real(part: dict[str, Any]) -> list[dict[str, Any]]:
    """Compares hollow with real ingresses by kind of message.

    `near` tells whether the two differ by at most MAX_RELATIVE_DIFFERENCE, or is None for too few messages to tell.
    """
    rows = []
    for where in ("members", "discovery", "counter"):
        kinds = sorted({*part["real"][where], *part["hollow"][where]})
        for kind in kinds:
            real, hollow = (part[group][where].get(kind, {}) for group in ("real", "hollow"))
            for metric in sorted({*real, *hollow}):
                real_rate, hollow_rate = real.get(metric, 0.0), hollow.get(metric, 0.0)
                has_too_few = (
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
                        "what": metric,
                        "real": real_rate,
                        "hollow": hollow_rate,
                        "ratio": round(hollow_rate / real_rate, 3) if real_rate else None,
                        "near": None
                        if has_too_few
                        else bool(real_rate and abs(hollow_rate / real_rate - 1) <= MAX_RELATIVE_DIFFERENCE),
                    }
                )
    return rows
