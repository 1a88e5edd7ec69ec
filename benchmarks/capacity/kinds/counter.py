"""Measures calls to the counter for leases, and connections at the sim servers by the number of ingresses."""

from __future__ import annotations

import heapq
import random

from benchmarks.vast import World
from brackenpulley.plans.leases import CounterCall, LeaseFinished, LeaseGrant, LeaseManager

from ..measure import REPEATS, Slope, make_slope

RATES = (0.003, 0.02, 0.1, 0.5, 2.0, 8.0)  # requests per second of one firm at one ingress
FLEET_SIZES = ((10, 15), (20, 30), (40, 60), (80, 120))  # ingresses and servers
CALL_SECONDS = 0.005  # of a counter call
FIRMS = 20
MIN_RUN_SECONDS = 40.0  # longer at low rates, for six requests of a firm on average


def count_calls_per_attempt(rate: float, seed: int) -> float:
    """Returns the counter calls per request for a lease.

    Requests of one unit arrive as a Poisson process. Firms stay well inside their quota, and leases last as in the
    settings of the deploy file."""
    rng = random.Random(seed)
    leases = LeaseManager(
        lambda firm, plan, since, until: 60.0 * (until - since), lambda firm, plan, when: 120.0, 1.0, 5.0
    )
    counters: dict[int, float] = {}
    levels: dict[int, float] = {}
    heap: list[tuple[float, int, str, float]] = []
    serial = attempts = calls = 0

    def schedule(when: float, kind: str, value: float) -> None:
        nonlocal serial
        serial += 1
        heapq.heappush(heap, (when, serial, kind, value))

    def apply_effects(now: float, effects: list[CounterCall | LeaseGrant | LeaseFinished]) -> None:
        nonlocal calls
        for effect in effects:
            if isinstance(effect, CounterCall):
                calls += 1
                counters[effect.name] = counters.get(effect.name, 0.0) + effect.amount
                schedule(now + CALL_SECONDS, "answer", effect.name)
            elif isinstance(effect, LeaseGrant):
                levels[effect.firm] = levels.get(effect.firm, 0.0) + effect.units

    started_at = 1000.0
    for firm in range(1, FIRMS + 1):
        schedule(started_at + rng.expovariate(rate), "try", firm)
    schedule(started_at + 0.25, "sweep", 0.0)
    duration = max(MIN_RUN_SECONDS, 6.0 / rate)
    while heap and heap[0][0] < started_at + duration:
        now, _, kind, value = heapq.heappop(heap)
        if kind == "try":
            firm = int(value)
            attempts += 1
            apply_effects(now, leases.request(now, firm, "county", 1.0, 3, 0, levels.get(firm, 0.0))[1])
            schedule(now + 2 * CALL_SECONDS, "use", firm)
            schedule(now + rng.expovariate(rate), "try", firm)
        elif kind == "use":
            levels[int(value)] = levels.get(int(value), 0.0) - 1.0
        elif kind == "answer":
            apply_effects(now, leases.handle_reply(now, int(value), "ok", counters[int(value)]))
        else:
            apply_effects(now, leases.sweep(now, lambda key: levels.get(key, 0.0)))
            schedule(now + 0.25, "sweep", 0.0)
    return calls / max(1, attempts)


def measure_slopes(seed: int, rates: tuple[float, ...] = RATES) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    return [
        make_slope(
            "counter.leased",
            "counter calls a try of a leased firm",
            "tries a second of a firm at an ingress",
            "calls",
            [(rate, [count_calls_per_attempt(rate, seed + k) for k in range(REPEATS)]) for rate in rates],
            source="virtual time",
            seed=seed,
        )
    ]


def measure_connections(
    seed: int, fleet_sizes: tuple[tuple[int, int], ...] = FLEET_SIZES, seconds: float = 10.0
) -> list[Slope]:
    """Measures fleets with three servers for two ingresses, so that the requests per server stay the same."""
    measurements: dict[int, list[dict[str, float]]] = {}
    for ingresses, servers in fleet_sizes:
        for k in range(REPEATS):
            world = World(seed + k, ingresses, servers, seconds=seconds)
            world.run()
            counts = world.count
            measurements.setdefault(ingresses, []).append(
                {
                    "kept": sum(len(s.conns) for s in world.servers.values()) / servers,
                    "calls": counts["calls"] / seconds,
                }
            )

    def collect_points(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in repeats]) for n, repeats in measurements.items()]

    virtual = "virtual time"
    return [
        make_slope(
            "connections.server",
            f"ingresses that a server has a connection from after {seconds:g} s",
            "ingresses",
            "connections",
            collect_points("kept"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "connections.calls",
            "counter calls a second of all ingresses, quotas by shares",
            "ingresses",
            "calls/s",
            collect_points("calls"),
            source=virtual,
            seed=seed,
        ),
    ]
