"""Calls to the counter by leases, and connections at the sim servers by the number of ingresses."""

from __future__ import annotations

import heapq
import random

from benchmarks.vast import World
from brackenpulley.plans.leases import CounterCall, LeaseFinished, LeaseGrant, LeaseManager

from ..measure import REPEATS, Slope, slope

RATES = (0.003, 0.02, 0.1, 0.5, 2.0, 8.0)  # tries a second of one firm at one ingress
PLACES = ((10, 15), (20, 30), (40, 60), (80, 120))
ANSWER, FIRMS = 0.005, 20  # s of a call; firms looked at
SECONDS = 40.0


def leased(rate: float, seed: int) -> float:
    """Counter calls a try: Poisson tries of a unit, firms well inside their quota, leases as in deploy's settings."""
    rng = random.Random(seed)
    keeper = LeaseManager(
        lambda firm, told, since, until: 60.0 * (until - since), lambda firm, told, when: 120.0, 1.0, 5.0
    )
    numbers: dict[int, float] = {}
    levels: dict[int, float] = {}
    heap: list[tuple[float, int, str, float]] = []
    serial = tries = calls = 0

    def push(when: float, what: str, value: float) -> None:
        nonlocal serial
        serial += 1
        heapq.heappush(heap, (when, serial, what, value))

    def do(now: float, effects: list[CounterCall | LeaseGrant | LeaseFinished]) -> None:
        nonlocal calls
        for effect in effects:
            if isinstance(effect, CounterCall):
                calls += 1
                numbers[effect.name] = numbers.get(effect.name, 0.0) + effect.amount
                push(now + ANSWER, "answer", effect.name)
            elif isinstance(effect, LeaseGrant):
                levels[effect.firm] = levels.get(effect.firm, 0.0) + effect.units

    begin = 1000.0
    for firm in range(1, FIRMS + 1):
        push(begin + rng.expovariate(rate), "try", firm)
    push(begin + 0.25, "sweep", 0.0)
    span = max(SECONDS, 6.0 / rate)
    while heap and heap[0][0] < begin + span:
        now, _, what, value = heapq.heappop(heap)
        if what == "try":
            firm = int(value)
            tries += 1
            do(now, keeper.request(now, firm, "county", 1.0, 3, 0, levels.get(firm, 0.0))[1])
            push(now + 2 * ANSWER, "use", firm)
            push(now + rng.expovariate(rate), "try", firm)
        elif what == "use":
            levels[int(value)] = levels.get(int(value), 0.0) - 1.0
        elif what == "answer":
            do(now, keeper.handle_reply(now, int(value), "ok", numbers[int(value)]))
        else:
            do(now, keeper.sweep(now, lambda key: levels.get(key, 0.0)))
            push(now + 0.25, "sweep", 0.0)
    return calls / max(1, tries)


def measured(seed: int, rates: tuple[float, ...] = RATES) -> list[Slope]:
    return [
        slope(
            "counter.leased",
            "counter calls a try of a leased firm",
            "tries a second of a firm at an ingress",
            "calls",
            [(rate, [leased(rate, seed + k) for k in range(REPEATS)]) for rate in rates],
            source="virtual time",
            seed=seed,
        )
    ]


def connections(seed: int, places: tuple[tuple[int, int], ...] = PLACES, seconds: float = 10.0) -> list[Slope]:
    """A day at size, three servers for two ingresses: requests a server stay the same."""
    found: dict[int, list[dict[str, float]]] = {}
    for gateways, servers in places:
        for k in range(REPEATS):
            world = World(seed + k, gateways, servers, seconds=seconds)
            world.run()
            told = world.count
            found.setdefault(gateways, []).append(
                {"kept": sum(len(s.conns) for s in world.servers.values()) / servers, "calls": told["calls"] / seconds}
            )

    def rows(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in some]) for n, some in found.items()]

    virtual = "virtual time"
    return [
        slope(
            "connections.server",
            f"ingresses that a server has a connection from after {seconds:g} s",
            "ingresses",
            "connections",
            rows("kept"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "connections.calls",
            "counter calls a second of all ingresses, quotas by shares",
            "ingresses",
            "calls/s",
            rows("calls"),
            source=virtual,
            seed=seed,
        ),
    ]
