"""How old what members tell of themselves is elsewhere: whole stations in virtual time, a record each, told anew."""

from __future__ import annotations

import random
import statistics

from brackenpulley.members.station import Station
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.world import Host, World

from ..measure import REPEATS, Slope, slope

SIZES = (20, 40, 80, 160)
TOLD, SETTLE, LOOKS = 2.0, 30.0, 5  # s between two words of each, as `maintenance`; s before looks; looks, a s apart
BYTES = 30  # of a value


def told(size: int, seed: int) -> list[dict[str, float]]:
    """One fleet, looked at in spans one after another."""
    world = World(seed, Links(Link()))
    rng = random.Random(seed)

    def make(host: Host) -> Station:
        return Station(f"{host.name}@{host.incarnation}", host.address, random.Random(rng.random()), world.now)

    hosts = [world.add_host(f"i{n}", f"a{n}", make) for n in range(size)]
    first = hosts[0].address

    def publish(host: Host) -> None:
        station = host.process
        assert isinstance(station, Station)
        station.records.publish("ingress", "", f"{world.now:.6f}".encode().ljust(BYTES))
        world.apply_effects(host, station.said())
        world.schedule(world.now + TOLD, lambda: publish(host))

    for host in hosts:
        station = host.process
        assert isinstance(station, Station)
        world.apply_effects(host, station.join([first]))
        world.run(world.now + 0.02)
    world.run(world.now + 5.0)
    for host in hosts:
        world.schedule(world.now + TOLD * rng.random(), lambda host=host: publish(host))  # type: ignore[misc]
    world.run(world.now + SETTLE)
    found = []
    for _ in range(REPEATS):
        ages: list[float] = []
        for _ in range(LOOKS):
            world.run(world.now + 1.0)
            for host in rng.sample(hosts, min(10, size)):
                station = host.process
                assert isinstance(station, Station)
                ages += [world.now - float(row.value) for row in station.records.iter_kind("ingress")]
        found.append({"median": statistics.median(ages), "late": sorted(ages)[int(0.99 * len(ages))]})
    return found


def measured(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    found = {n: told(n, seed) for n in sizes}

    def rows(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in some]) for n, some in found.items()]

    virtual = "virtual time"
    return [
        slope(
            "news.late",
            "age of what a member is known to carry, 99 in 100",
            "members",
            "s",
            rows("late"),
            source=virtual,
            seed=seed,
        ),
        slope("news.median", "the same, median", "members", "s", rows("median"), source=virtual, seed=seed),
    ]
