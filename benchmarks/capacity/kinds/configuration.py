"""Measures the agreed configuration: how long a change takes to all followers, and the state and turns of one process.

The fleets are those of `benchmarks.configuration`; `[configuration]` is off unless a fleet's file enables it."""

from __future__ import annotations

import statistics
from typing import Any

from benchmarks.configuration_sizes import RegionalCluster, measure_firms, measure_size
from brackenpulley.configuration.rules import Change
from brackenpulley.plans.book import Figures

from ..measure import REPEATS, Slope, make_slope

FOLLOWERS, FIRMS = (50, 100, 200, 400, 890), (1000, 4000, 11000, 44000)
CHANGES = 8  # of `size_run`, which requests six of them: two before a region is cut off, four meanwhile
IDLE_SECONDS = 5.0  # observed without changes
CHANGE_SECONDS = 5.0  # observed for each change
COUNTED_CHANGES = 3
FIRMS_PER_CHANGE = 5


def measure_delays(followers: int, seed: int) -> dict[str, float]:
    """Returns the times until a change is in force, in s, while ingresses restart and a region is cut off.

    A change that takes too long still counts; a follower that never applies it raises AssertionError."""
    run = measure_size(followers, seed, CHANGES, FIRMS_PER_CHANGE)
    left_out = [line for line in run["wrong"] if not line.startswith("99 in 100")]
    assert not left_out, left_out
    return {"soon": run["of99In100"], "all": run["all"]}


def make_change(number: int) -> Change:
    """Returns a change of one plan and its firms, as `size_run` makes them."""
    return Change(
        number - 1,
        "trial",
        {"p": Figures(float(number), 9.0)},
        {number << 20 | firm: "p" for firm in range(FIRMS_PER_CHANGE)},
    )


def measure_traffic(followers: int, seed: int) -> dict[str, float]:
    """Returns the bytes per second that an idle ingress receives, and the bytes that a change adds.

    No ingress restarts and no link is cut."""
    fleet = RegionalCluster(followers, seed)
    world = fleet.world
    assert world.run_until(lambda: all(force.caught_up for force in fleet.active_revisions.values()), 30.0)
    world.run(world.now + 2.0)

    def count_bytes(seconds: float) -> float:
        fleet.sent_bytes.clear()
        world.run(world.now + seconds)
        return statistics.mean(fleet.sent_bytes.get(f"to f{n}", 0) for n in range(followers))

    idle_rate = count_bytes(IDLE_SECONDS) / IDLE_SECONDS
    added_bytes = []
    for number in range(1, COUNTED_CHANGES + 1):
        fleet.change("f0", make_change(number))
        added_bytes.append(count_bytes(CHANGE_SECONDS) - idle_rate * CHANGE_SECONDS)
        assert all(force.number == number for force in fleet.active_revisions.values()), number
    return {"rest": idle_rate, "change": statistics.mean(added_bytes)}


def measure_tenants(firms: int, seed: int) -> dict[str, float]:
    """Measures one process with so many firms on plans. Times are wall time, the median of five."""
    run: dict[str, Any] = measure_firms(firms, seed)
    return {
        "memory": run["memoryMb"],
        "start": float(run["wordBytes"]),
        "begin": run["loadMs"] + run["firstInForceMs"],
        "copy": run["ownCopyMs"],
        "dump": run["dumpMs"],
    }


def measure_slopes(seed: int, sizes: tuple[int, ...] = FOLLOWERS, firms: tuple[int, ...] = FIRMS) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    seeds = range(seed, seed + REPEATS)
    runs = {n: [{**measure_delays(n, one), **measure_traffic(n, one)} for one in seeds] for n in sizes}
    tenant_runs = {n: [measure_tenants(n, one) for one in seeds] for n in firms}

    def collect_points(measurements: dict[int, list[dict[str, float]]], name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in repeats]) for n, repeats in measurements.items()]

    virtual = "virtual time"
    return [
        make_slope(
            "configuration.soon",
            "a change in force at 99 in 100 of those that can be reached",
            "followers",
            "s",
            collect_points(runs, "soon"),
            "most",
            virtual,
            seed,
        ),
        make_slope(
            "configuration.all",
            "the same at all that can be reached, restarted ones too",
            "followers",
            "s",
            collect_points(runs, "all"),
            "most",
            virtual,
            seed,
        ),
        make_slope(
            "configuration.rest",
            "bytes a second of the log that an ingress hears at rest",
            "followers",
            "bytes/s",
            collect_points(runs, "rest"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "configuration.change",
            f"bytes that a change of a plan and {FIRMS_PER_CHANGE} firms adds at an ingress",
            "followers",
            "bytes",
            collect_points(runs, "change"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "configuration.memory",
            "the log's part and what is in force",
            "firms on plans",
            "MB",
            collect_points(tenant_runs, "memory"),
            seed=seed,
        ),
        make_slope(
            "configuration.start",
            "bytes that one who starts is told",
            "firms on plans",
            "bytes",
            collect_points(tenant_runs, "start"),
            seed=seed,
        ),
        make_slope(
            "configuration.begin",
            "the turn of a start: a snapshot taken and in force, wall time",
            "firms on plans",
            "ms",
            collect_points(tenant_runs, "begin"),
            "least",
            seed=seed,
        ),
        make_slope(
            "configuration.copy",
            "the own copy made, wall time",
            "firms on plans",
            "ms",
            collect_points(tenant_runs, "copy"),
            "least",
            seed=seed,
        ),
        make_slope(
            "configuration.dump",
            "a voter's snapshot of it made, wall time",
            "firms on plans",
            "ms",
            collect_points(tenant_runs, "dump"),
            "least",
            seed=seed,
        ),
    ]
