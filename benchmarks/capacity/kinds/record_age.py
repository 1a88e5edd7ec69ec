"""Measures the age of what members publish about themselves when it reaches others.

Whole stations run in virtual time; each publishes one record again and again."""

from __future__ import annotations

import random
import statistics

from brackenpulley.members.station import Station
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.world import Host, World

from ..measure import REPEATS, Slope, make_slope

SIZES = (20, 40, 80, 160)
PUBLISH_INTERVAL_SECONDS = 2.0  # of each member, as in `maintenance`
SETTLE_SECONDS = 30.0  # before the first observation
OBSERVATIONS = 5  # of a span, one per second
VALUE_BYTES = 30  # of a record


def measure_ages(size: int, seed: int) -> list[dict[str, float]]:
    """Returns the median and the 99th percentile of the ages in s, for consecutive spans of one fleet."""
    world = World(seed, Links(Link()))
    rng = random.Random(seed)

    def make(host: Host) -> Station:
        return Station(f"{host.name}@{host.incarnation}", host.address, random.Random(rng.random()), world.now)

    hosts = [world.add_host(f"i{n}", f"a{n}", make) for n in range(size)]
    first = hosts[0].address

    def publish(host: Host) -> None:
        station = host.process
        assert isinstance(station, Station)
        station.records.publish("ingress", "", f"{world.now:.6f}".encode().ljust(VALUE_BYTES))
        world.apply_effects(host, station.said())
        world.schedule(world.now + PUBLISH_INTERVAL_SECONDS, lambda: publish(host))

    for host in hosts:
        station = host.process
        assert isinstance(station, Station)
        world.apply_effects(host, station.join([first]))
        world.run(world.now + 0.02)
    world.run(world.now + 5.0)
    for host in hosts:
        world.schedule(world.now + PUBLISH_INTERVAL_SECONDS * rng.random(), lambda host=host: publish(host))  # type: ignore[misc]
    world.run(world.now + SETTLE_SECONDS)
    measurements = []
    for _ in range(REPEATS):
        ages: list[float] = []
        for _ in range(OBSERVATIONS):
            world.run(world.now + 1.0)
            for host in rng.sample(hosts, min(10, size)):
                station = host.process
                assert isinstance(station, Station)
                ages += [world.now - float(row.value) for row in station.records.iter_kind("ingress")]
        measurements.append({"median": statistics.median(ages), "late": sorted(ages)[int(0.99 * len(ages))]})
    return measurements


def measure_slopes(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    measurements = {n: measure_ages(n, seed) for n in sizes}

    def collect_points(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    virtual = "virtual time"
    return [
        make_slope(
            "news.late",
            "age of what a member is known to carry, 99 in 100",
            "members",
            "s",
            collect_points("late"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "news.median", "the same, median", "members", "s", collect_points("median"), source=virtual, seed=seed
        ),
    ]
