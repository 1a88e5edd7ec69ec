"""Measures connections shared by the agreed log (`drains`).

Every process holds a cell for each ingress at each server."""

from __future__ import annotations

from typing import Any

import msgspec

from brackenpulley.drains.holder import TICK_INTERVAL_SECONDS, Holder
from brackenpulley.drains.limits import Demand, Enter, Limits, SetLimits, encode

from ..measure import REPEATS, Slope, make_slope, measure_cpu, measure_memory

# The code processes servers one by one, so that the cost is measured per server, by the number of ingresses.
INGRESSES, SERVERS = (40, 160, 400, 890), 60
DEMAND_SIZES = (60, 250, 1000, 2000)
CONNECTION_LIMIT = 1000  # of a server


class IdleConnectionPool:
    """A pool without connections in use, so that only the holder's own cost is measured."""

    def __init__(self, servers: dict[str, int]) -> None:
        self._servers = servers

    def count_open(self, server: str) -> int:
        """Returns 1."""
        return 1

    def count_in_use(self, server: str) -> int:
        """Returns 0."""
        return 0

    def take_rejections(self, server: str) -> int:
        """Returns 0."""
        return 0

    def close_unused(self, server: str, most: int) -> None:
        """Does nothing."""
        return None

    def set_limits(self, limits: dict[str, int]) -> None:
        """Does nothing."""
        return None

    def list_limits(self) -> dict[str, int]:
        """Returns the limits that the pool was made with."""
        return dict(self._servers)


class SilentAgreement:
    """Stands in for the agreed log and proposes nothing."""

    id, is_leader = "ingress-0@1764651600000", False

    def propose(self, *arguments: Any) -> bool:
        """Returns False."""
        return False


def make_server_names(servers: int) -> list[str]:
    """Returns the names of so many servers."""
    return [f"s-{n * 2654435761 % (1 << 32):08x}" for n in range(servers)]


def make_limits(ingresses: int, servers: int) -> Limits:
    """Returns limits where each ingress holds one connection at each server.

    That is what `Holder` demands from its first tick on."""
    made, server_names = Limits(0.1), make_server_names(servers)
    for begin in range(0, servers, 1000):
        made.apply(0.0, encode(SetLimits(dict.fromkeys(server_names[begin : begin + 1000], CONNECTION_LIMIT))))
    for n in range(ingresses):
        incarnation = f"ingress-{n}@1764651600{n:03d}"
        made.apply(0.0, encode(Enter(incarnation, f"10.0.{n >> 8}.{n & 255}:9300")))
        for serial, begin in enumerate(range(0, servers, 1000)):
            made.apply(
                0.0, encode(Demand(incarnation, serial + 1, dict.fromkeys(server_names[begin : begin + 1000], 1)))
            )
    return made


def measure_size(ingresses: int, servers: int = SERVERS) -> list[dict[str, float]]:
    """Returns the cost per server."""
    made = make_limits(ingresses, servers)
    data = msgspec.msgpack.encode(made.dump())

    def load_limits() -> Limits:
        fresh = Limits(0.1)
        fresh.load(msgspec.msgpack.decode(data))
        return fresh

    retained = measure_memory(load_limits)[0]
    holder = Holder(
        "10.0.0.0:9300",
        SilentAgreement(),
        lambda: made,
        IdleConnectionPool(  # type: ignore[arg-type]
            dict.fromkeys(make_server_names(servers), CONNECTION_LIMIT)
        ),
        0.0,
    )
    clock = iter(range(10_000))

    def tick() -> None:
        holder.tick(float(next(clock)))

    tick()
    measurements = []
    for _ in range(REPEATS):
        tick_cpu = measure_cpu(tick, 8) / servers
        measurements.append(
            {
                "memory": retained / 1e6 / servers,
                "look": tick_cpu * 1000,
                "rest": tick_cpu / TICK_INTERVAL_SECONDS * 100,
                "bytes": len(data) / servers,
                "dump": measure_cpu(made.dump, 4) * 1000 / servers,
                "load": measure_cpu(load_limits, 4) * 1000 / servers,
            }
        )
    return measurements


def measure_slopes(seed: int, sizes: tuple[int, ...] = INGRESSES) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    measurements = {n: measure_size(n) for n in sizes}

    def collect_points(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    size_name = "ingresses"
    wants = [
        (
            n,
            [float(len(encode(Demand("ingress-0@1764651600000", 1, dict.fromkeys(make_server_names(n), 1)))))]
            * REPEATS,
        )
        for n in DEMAND_SIZES
    ]
    return [
        make_slope(
            "shares.memory",
            "the parts at one server that every process holds, as taken from a snapshot",
            size_name,
            "MB",
            collect_points("memory"),
            seed=seed,
        ),
        make_slope(
            "shares.look",
            "one look of the holder, for one server",
            size_name,
            "ms",
            collect_points("look"),
            "least",
            seed=seed,
        ),
        make_slope(
            "shares.rest",
            "its looks, four a second, for one server",
            size_name,
            "% of a core",
            collect_points("rest"),
            "least",
            seed=seed,
        ),
        make_slope(
            "shares.bytes",
            "the parts at one server in a snapshot",
            size_name,
            "bytes",
            collect_points("bytes"),
            seed=seed,
        ),
        make_slope(
            "shares.dump",
            "the turn that makes a snapshot, for one server",
            size_name,
            "ms",
            collect_points("dump"),
            "least",
            seed=seed,
        ),
        make_slope(
            "shares.load",
            "the turn that takes a snapshot, for one server",
            size_name,
            "ms",
            collect_points("load"),
            "least",
            seed=seed,
        ),
        make_slope(
            "shares.want",
            "what an ingress that starts asks for, as one command",
            "servers",
            "bytes",
            wants,
            source="counting",
            seed=seed,
        ),
    ]
