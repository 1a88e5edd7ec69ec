"""Measures membership and records in virtual time, and the turns of the loop that take a whole exchange."""

from __future__ import annotations

import random
import statistics
import time
from typing import Any

from benchmarks.membership import SimulatedNetwork, build_network
from brackenpulley.members.keys import OVERHEAD_BYTES
from brackenpulley.members.protocol import Protocol
from brackenpulley.members.records import RecordTable
from brackenpulley.members.wire import ALIVE, DEAD, Digest, Envelope, Sync, Update, _encode

from ..measure import REPEATS, Slope, make_slope, measure_cpu, measure_memory

SIZES = (50, 100, 200, 400)
LARGE_SIZES = (100, 200, 400, 890)
IDLE_SECONDS = 10.0  # of one observed span
DEATH_TIMEOUT_SECONDS = 60  # until a death must be known to all


class CountingNet(SimulatedNetwork):
    """A network that also counts the messages sent."""

    messages = 0

    def _send(self, member: Protocol, send: Any) -> None:
        self.messages += 1
        super()._send(member, send)


def measure_idle(size: int, seed: int) -> list[dict[str, float]]:
    """Measures a fleet in which all join: spans without changes, then deaths of members.

    All spans precede the deaths, because members probe the dead for a while and that costs bytes."""
    started = time.thread_time()
    net = build_network(size, seed)
    join_cpu = time.thread_time() - started
    net.__class__ = CountingNet
    assert isinstance(net, CountingNet)
    net.run(net.now + 12.0)  # until the news of joining is spread
    measurements: list[dict[str, float]] = []
    for _ in range(REPEATS):
        net.is_measuring, net.messages = True, 0
        net.sent_bytes.clear()
        started = time.thread_time()
        net.run(net.now + IDLE_SECONDS)
        spent = time.thread_time() - started
        measurements.append(
            {
                "bytes": statistics.mean(net.sent_bytes.values()) / IDLE_SECONDS,
                "messages": net.messages / size / IDLE_SECONDS,
                "cpu": spent / size / IDLE_SECONDS * 100,
                "joined": join_cpu,
                "death": float(DEATH_TIMEOUT_SECONDS),
            }
        )
    net.is_measuring = False
    for number, figures in enumerate(measurements):
        victim, when = f"a{size - 1 - number}", net.now
        name = net.members[victim].id
        net.state_changes.clear()
        net.kill(victim)
        for _ in range(2 * DEATH_TIMEOUT_SECONDS):
            net.run(net.now + 0.5)
            times = [
                heard_at - when for heard_at, _, whom, state in net.state_changes if whom == name and state == DEAD
            ]
            if len(times) >= len(net.members):
                figures["death"] = max(times)
                break
    return measurements


def make_updates(size: int) -> list[Update]:
    """Returns an update for each of so many members."""
    return [
        Update(f"ingress-{n}@1764651600{n:03d}", f"10.0.{n >> 8}.{n & 255}:9300", 1, ALIVE, "") for n in range(size)
    ]


def measure_exchange(size: int) -> dict[str, float]:
    """Measures a member that joins and takes all that another one knows in one turn."""
    body = Sync(make_updates(size))

    def join() -> Protocol:
        made = Protocol("me@1", "10.9.9.9:1", random.Random(1), 1000.0)
        made.receive(1000.0, "x", body)
        return made

    retained, _, made = measure_memory(join)
    return {
        "hold": measure_cpu(join) * 1000,
        "again": measure_cpu(lambda: made.receive(1001.0, "x", body)) * 1000,
        "bytes": len(_encode(Envelope("me@1", 1, 1, body))) + OVERHEAD_BYTES,
        "memory": retained / 1e6,
    }


def measure_slopes(
    seed: int, sizes: tuple[int, ...] = SIZES, large_sizes: tuple[int, ...] = LARGE_SIZES
) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    runs = {n: measure_idle(n, seed) for n in sizes}
    exchanges = {n: [measure_exchange(n) for _ in range(REPEATS)] for n in large_sizes}

    def collect_points(measurements: dict[int, list[dict[str, float]]], name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    virtual = "virtual time"
    return [
        make_slope(
            "members.bytes",
            "bytes a second a member sends, in a calm fleet",
            "members",
            "bytes/s",
            collect_points(runs, "bytes"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "members.messages",
            "messages a second a member sends",
            "members",
            "/s",
            collect_points(runs, "messages"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "members.cpu",
            "processor time of the protocol without sockets and seals",
            "members",
            "% of a core",
            collect_points(runs, "cpu"),
            "least",
            virtual,
            seed,
        ),
        make_slope(
            "members.death",
            "a death known to all",
            "members",
            "s",
            collect_points(runs, "death"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "members.trial",
            "processor time of a trial in which all join one after another",
            "members",
            "s",
            collect_points(runs, "joined"),
            "least",
            virtual,
            seed,
        ),
        make_slope(
            "members.hold",
            "the turn in which one that joins takes the whole exchange",
            "members",
            "ms",
            collect_points(exchanges, "hold"),
            "least",
            seed=seed,
        ),
        make_slope(
            "members.again",
            "the turn of a later exchange",
            "members",
            "ms",
            collect_points(exchanges, "again"),
            "least",
            seed=seed,
        ),
        make_slope(
            "members.exchange",
            "bytes of a whole exchange, one way",
            "members",
            "bytes",
            collect_points(exchanges, "bytes"),
            seed=seed,
        ),
        make_slope(
            "members.memory",
            "what a member holds of the others",
            "members",
            "MB",
            collect_points(exchanges, "memory"),
            seed=seed,
        ),
    ]


def measure_records(size: int) -> dict[str, float]:
    """Measures a table with one record of each member, as `maintenance` publishes it."""
    value = b"\x95\xa9ingress-1\xcd\x01\x02\xc3\xcb@\x10\x00\x00\x00\x00\x00\x00\xce\x00\x01\x02\x03"
    rng = random.Random(1)

    def make() -> tuple[RecordTable, RecordTable]:
        mine, other = RecordTable("me@1", rng, 1000.0), RecordTable("me@2", rng, 1000.0)
        for n in range(size):
            owner = RecordTable(f"ingress-{n}@1764651600{n:03d}", rng, 1000.0)
            owner.publish("ingress", "", value)
            for row in owner.iter_kind("ingress"):
                mine._store(row)
        return mine, other

    retained, _, (mine, other) = measure_memory(make)
    digest = mine.digest("10.0.0.1:9300")
    empty = Digest("10.0.0.2:9300", [])
    missing = mine.compare(empty)
    assert missing is not None
    return {
        "memory": retained / 1e6,
        "digest": len(_encode(Envelope("me@1", 1, 1, digest))) + OVERHEAD_BYTES,
        "all": len(_encode(Envelope("me@1", 1, 1, missing))) + OVERHEAD_BYTES,
        "compare": measure_cpu(lambda: mine.compare(digest)) * 1000,
        "take": measure_cpu(lambda: other.receive(1000.0, missing)) * 1000,
        "news": measure_cpu(lambda: mine.queue.take(1100, size)) * 1000,
    }


def measure_record_slopes(seed: int, sizes: tuple[int, ...] = LARGE_SIZES) -> list[Slope]:
    """Measures records and returns their slopes."""
    measurements = {n: [measure_records(n) for _ in range(REPEATS)] for n in sizes}

    def collect_points(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    return [
        make_slope("records.memory", "one record of each member", "members", "MB", collect_points("memory"), seed=seed),
        make_slope(
            "records.digest",
            "bytes of a table's digest, one way",
            "members",
            "bytes",
            collect_points("digest"),
            seed=seed,
        ),
        make_slope(
            "records.all",
            "bytes of all records, told to one who holds none",
            "members",
            "bytes",
            collect_points("all"),
            seed=seed,
        ),
        make_slope(
            "records.take",
            "the turn that takes all records",
            "members",
            "ms",
            collect_points("take"),
            "least",
            seed=seed,
        ),
        make_slope(
            "records.news",
            "records for one datagram while all wait to be told",
            "members",
            "ms",
            collect_points("news"),
            "least",
            seed=seed,
        ),
    ]
