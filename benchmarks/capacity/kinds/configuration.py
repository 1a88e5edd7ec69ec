"""The agreed configuration: a change on its way to all by followers, and one process's state and turns by firms.

Sizes and firms are those of `benchmarks.configuration`; `[configuration]` is off unless a fleet's file has it."""

from __future__ import annotations

import statistics
from typing import Any

from benchmarks.configuration_sizes import RegionalCluster, measure_firms, measure_size
from brackenpulley.configuration.rules import Change
from brackenpulley.plans.book import Figures

from ..measure import REPEATS, Slope, slope

FOLLOWERS, FIRMS = (50, 100, 200, 400, 890), (1000, 4000, 11000, 44000)
CHANGES = 8  # of `size_run`, of which six are asked for: two before a region is cut off, four meanwhile
CALM, SPAN, TOLD, ENTRIES = 5.0, 5.0, 3, 5  # s at rest; s for a change; changes counted; firms of each


def spread(followers: int, seed: int) -> dict[str, float]:
    """s until a change is in force, with restarts and a region cut off. A bound that is passed is a figure of the
    page; one that is left out has none, and raises."""
    ran = measure_size(followers, seed, CHANGES, ENTRIES)
    left_out = [line for line in ran["wrong"] if not line.startswith("99 in 100")]
    assert not left_out, left_out
    return {"soon": ran["of99In100"], "all": ran["all"]}


def change(number: int) -> Change:
    """A plan and its firms, as `size_run` makes them."""
    return Change(
        number - 1, "trial", {"p": Figures(float(number), 9.0)}, {number << 20 | firm: "p" for firm in range(ENTRIES)}
    )


def heard(followers: int, seed: int) -> dict[str, float]:
    """Bytes that an ingress hears at rest, a second, and what a change adds; nobody restarts, no link is cut."""
    fleet = RegionalCluster(followers, seed)
    world = fleet.world
    assert world.run_until(lambda: all(force.caught_up for force in fleet.active_revisions.values()), 30.0)
    world.run(world.now + 2.0)

    def told(seconds: float) -> float:
        fleet.sent_bytes.clear()
        world.run(world.now + seconds)
        return statistics.mean(fleet.sent_bytes.get(f"to f{n}", 0) for n in range(followers))

    rest = told(CALM) / CALM
    found = []
    for number in range(1, TOLD + 1):
        fleet.change("f0", change(number))
        found.append(told(SPAN) - rest * SPAN)
        assert all(force.number == number for force in fleet.active_revisions.values()), number
    return {"rest": rest, "change": statistics.mean(found)}


def of(firms: int, seed: int) -> dict[str, float]:
    """One process with so many firms on plans: wall time of its turns, the middle one of five."""
    ran: dict[str, Any] = measure_firms(firms, seed)
    return {
        "memory": ran["memoryMb"],
        "start": float(ran["wordBytes"]),
        "begin": ran["loadMs"] + ran["firstInForceMs"],
        "copy": ran["ownCopyMs"],
        "dump": ran["dumpMs"],
    }


def measured(seed: int, sizes: tuple[int, ...] = FOLLOWERS, firms: tuple[int, ...] = FIRMS) -> list[Slope]:
    seeds = range(seed, seed + REPEATS)
    ran = {n: [{**spread(n, one), **heard(n, one)} for one in seeds] for n in sizes}
    held = {n: [of(n, one) for one in seeds] for n in firms}

    def rows(found: dict[int, list[dict[str, float]]], name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in some]) for n, some in found.items()]

    virtual = "virtual time"
    return [
        slope(
            "configuration.soon",
            "a change in force at 99 in 100 of those that can be reached",
            "followers",
            "s",
            rows(ran, "soon"),
            "most",
            virtual,
            seed,
        ),
        slope(
            "configuration.all",
            "the same at all that can be reached, restarted ones too",
            "followers",
            "s",
            rows(ran, "all"),
            "most",
            virtual,
            seed,
        ),
        slope(
            "configuration.rest",
            "bytes a second of the log that an ingress hears at rest",
            "followers",
            "bytes/s",
            rows(ran, "rest"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "configuration.change",
            f"bytes that a change of a plan and {ENTRIES} firms adds at an ingress",
            "followers",
            "bytes",
            rows(ran, "change"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "configuration.memory",
            "the log's part and what is in force",
            "firms on plans",
            "MB",
            rows(held, "memory"),
            seed=seed,
        ),
        slope(
            "configuration.start",
            "bytes that one who starts is told",
            "firms on plans",
            "bytes",
            rows(held, "start"),
            seed=seed,
        ),
        slope(
            "configuration.begin",
            "the turn of a start: a snapshot taken and in force, wall time",
            "firms on plans",
            "ms",
            rows(held, "begin"),
            "least",
            seed=seed,
        ),
        slope(
            "configuration.copy",
            "the own copy made, wall time",
            "firms on plans",
            "ms",
            rows(held, "copy"),
            "least",
            seed=seed,
        ),
        slope(
            "configuration.dump",
            "a voter's snapshot of it made, wall time",
            "firms on plans",
            "ms",
            rows(held, "dump"),
            "least",
            seed=seed,
        ),
    ]
