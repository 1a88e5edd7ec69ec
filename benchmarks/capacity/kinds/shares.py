"""Connections shared by the agreed log (`drains`): a cell for each ingress at each server, held by every process."""

from __future__ import annotations

from typing import Any

import msgspec

from brackenpulley.drains.holder import TICK_INTERVAL_SECONDS, Holder
from brackenpulley.drains.limits import Demand, Enter, Limits, SetLimits, encode

from ..measure import REPEATS, Slope, cpu, memory, slope

INGRESSES, SERVERS = (40, 160, 400, 890), 60  # the code goes over servers one by one: what one costs, by ingresses
WANTS = (60, 250, 1000, 2000)
LIMIT = 1000  # connections a server


class Port:
    """Nothing in use: the holder's own cost."""

    def __init__(self, servers: dict[str, int]) -> None:
        self._servers = servers

    def count_open(self, server: str) -> int:
        return 1

    def count_in_use(self, server: str) -> int:
        return 0

    def take_rejections(self, server: str) -> int:
        return 0

    def close_unused(self, server: str, most: int) -> None:
        return None

    def set_limits(self, limits: dict[str, int]) -> None:
        return None

    def list_limits(self) -> dict[str, int]:
        return dict(self._servers)


class Agreed:
    """Stands for the log: nothing is proposed."""

    id, is_leader = "ingress-0@1764651600000", False

    def propose(self, *told: Any) -> bool:
        return False


def names(servers: int) -> list[str]:
    return [f"s-{n * 2654435761 % (1 << 32):08x}" for n in range(servers)]


def filled(ingresses: int, servers: int) -> Limits:
    """Each ingress holds a connection at each server, as `Holder` asks from the first turn on."""
    made, listed = Limits(0.1), names(servers)
    for begin in range(0, servers, 1000):
        made.apply(0.0, encode(SetLimits(dict.fromkeys(listed[begin : begin + 1000], LIMIT))))
    for n in range(ingresses):
        life = f"ingress-{n}@1764651600{n:03d}"
        made.apply(0.0, encode(Enter(life, f"10.0.{n >> 8}.{n & 255}:9300")))
        for serial, begin in enumerate(range(0, servers, 1000)):
            made.apply(0.0, encode(Demand(life, serial + 1, dict.fromkeys(listed[begin : begin + 1000], 1))))
    return made


def of(ingresses: int, servers: int = SERVERS) -> list[dict[str, float]]:
    """For one server, of so many."""
    made = filled(ingresses, servers)
    data = msgspec.msgpack.encode(made.dump())

    def loaded() -> Limits:
        fresh = Limits(0.1)
        fresh.load(msgspec.msgpack.decode(data))
        return fresh

    kept = memory(loaded)[0]
    holder = Holder(
        "10.0.0.0:9300",
        Agreed(),
        lambda: made,
        Port(  # type: ignore[arg-type]
            dict.fromkeys(names(servers), LIMIT)
        ),
        0.0,
    )
    clock = iter(range(10_000))

    def tick() -> None:
        holder.tick(float(next(clock)))

    tick()
    found = []
    for _ in range(REPEATS):
        look = cpu(tick, 8) / servers
        found.append(
            {
                "memory": kept / 1e6 / servers,
                "look": look * 1000,
                "rest": look / TICK_INTERVAL_SECONDS * 100,
                "bytes": len(data) / servers,
                "dump": cpu(made.dump, 4) * 1000 / servers,
                "load": cpu(loaded, 4) * 1000 / servers,
            }
        )
    return found


def measured(seed: int, sizes: tuple[int, ...] = INGRESSES) -> list[Slope]:
    found = {n: of(n) for n in sizes}

    def rows(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in some]) for n, some in found.items()]

    by = "ingresses"
    wants = [
        (n, [float(len(encode(Demand("ingress-0@1764651600000", 1, dict.fromkeys(names(n), 1)))))] * REPEATS)
        for n in WANTS
    ]
    return [
        slope(
            "shares.memory",
            "the parts at one server that every process holds, as taken from a snapshot",
            by,
            "MB",
            rows("memory"),
            seed=seed,
        ),
        slope("shares.look", "one look of the holder, for one server", by, "ms", rows("look"), "least", seed=seed),
        slope(
            "shares.rest",
            "its looks, four a second, for one server",
            by,
            "% of a core",
            rows("rest"),
            "least",
            seed=seed,
        ),
        slope("shares.bytes", "the parts at one server in a snapshot", by, "bytes", rows("bytes"), seed=seed),
        slope(
            "shares.dump", "the turn that makes a snapshot, for one server", by, "ms", rows("dump"), "least", seed=seed
        ),
        slope(
            "shares.load", "the turn that takes a snapshot, for one server", by, "ms", rows("load"), "least", seed=seed
        ),
        slope(
            "shares.want",
            "what an ingress that starts asks for, as one command",
            "servers",
            "bytes",
            wants,
            source="counting",
            seed=seed,
        ),
    ]
