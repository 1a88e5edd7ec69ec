"""Membership and records in virtual time, and the turns that take a whole exchange."""

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

from ..measure import REPEATS, Slope, cpu, memory, slope

SIZES = (50, 100, 200, 400)
WIDE = (100, 200, 400, 890)
CALM, PATIENCE = 10.0, 60  # s looked at, and for a death


class Counted(SimulatedNetwork):
    """Counts what is sent, too."""

    messages = 0

    def _send(self, member: Protocol, send: Any) -> None:
        self.messages += 1
        super()._send(member, send)


def calm(size: int, seed: int) -> list[dict[str, float]]:
    """One fleet that joins, and some times a calm span and a death."""
    began = time.thread_time()
    net = build_network(size, seed)
    joined = time.thread_time() - began
    net.__class__ = Counted
    assert isinstance(net, Counted)
    net.run(net.now + 12.0)  # what the joining left to be told
    found: list[dict[str, float]] = []
    for _ in range(REPEATS):
        net.is_measuring, net.messages = True, 0
        net.sent_bytes.clear()
        began = time.thread_time()
        net.run(net.now + CALM)
        spent = time.thread_time() - began
        found.append(
            {
                "bytes": statistics.mean(net.sent_bytes.values()) / CALM,
                "messages": net.messages / size / CALM,
                "cpu": spent / size / CALM * 100,
                "joined": joined,
                "death": float(PATIENCE),
            }
        )
    net.is_measuring = False
    for number, told in enumerate(found):  # after the calm: the dead are looked for a while, and that costs bytes
        victim, when = f"a{size - 1 - number}", net.now
        name = net.members[victim].id
        net.state_changes.clear()
        net.kill(victim)
        for _ in range(2 * PATIENCE):
            net.run(net.now + 0.5)
            times = [at - when for at, _, whom, state in net.state_changes if whom == name and state == DEAD]
            if len(times) >= len(net.members):
                told["death"] = max(times)
                break
    return found


def updates(size: int) -> list[Update]:
    return [
        Update(f"ingress-{n}@1764651600{n:03d}", f"10.0.{n >> 8}.{n & 255}:9300", 1, ALIVE, "") for n in range(size)
    ]


def exchange(size: int) -> dict[str, float]:
    """One who joins takes all that another knows, in one turn."""
    body = Sync(updates(size))

    def joins() -> Protocol:
        made = Protocol("me@1", "10.9.9.9:1", random.Random(1), 1000.0)
        made.receive(1000.0, "x", body)
        return made

    kept, _, made = memory(joins)
    return {
        "hold": cpu(joins) * 1000,
        "again": cpu(lambda: made.receive(1001.0, "x", body)) * 1000,
        "bytes": len(_encode(Envelope("me@1", 1, 1, body))) + OVERHEAD_BYTES,
        "memory": kept / 1e6,
    }


def measured(seed: int, sizes: tuple[int, ...] = SIZES, wide: tuple[int, ...] = WIDE) -> list[Slope]:
    ran = {n: calm(n, seed) for n in sizes}
    large = {n: [exchange(n) for _ in range(REPEATS)] for n in wide}

    def rows(found: dict[int, list[dict[str, float]]], name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in some]) for n, some in found.items()]

    virtual = "virtual time"
    return [
        slope(
            "members.bytes",
            "bytes a second a member sends, in a calm fleet",
            "members",
            "bytes/s",
            rows(ran, "bytes"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "members.messages",
            "messages a second a member sends",
            "members",
            "/s",
            rows(ran, "messages"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "members.cpu",
            "processor time of the protocol without sockets and seals",
            "members",
            "% of a core",
            rows(ran, "cpu"),
            "least",
            virtual,
            seed,
        ),
        slope("members.death", "a death known to all", "members", "s", rows(ran, "death"), source=virtual, seed=seed),
        slope(
            "members.trial",
            "processor time of a trial in which all join one after another",
            "members",
            "s",
            rows(ran, "joined"),
            "least",
            virtual,
            seed,
        ),
        slope(
            "members.hold",
            "the turn in which one that joins takes the whole exchange",
            "members",
            "ms",
            rows(large, "hold"),
            "least",
            seed=seed,
        ),
        slope(
            "members.again", "the turn of a later exchange", "members", "ms", rows(large, "again"), "least", seed=seed
        ),
        slope(
            "members.exchange",
            "bytes of a whole exchange, one way",
            "members",
            "bytes",
            rows(large, "bytes"),
            seed=seed,
        ),
        slope("members.memory", "what a member holds of the others", "members", "MB", rows(large, "memory"), seed=seed),
    ]


def table(size: int) -> dict[str, float]:
    """Each member tells one record of what it carries, as `maintenance` does."""
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

    kept, _, (mine, other) = memory(make)
    digest = mine.digest("10.0.0.1:9300")
    empty = Digest("10.0.0.2:9300", [])
    found = mine.compare(empty)
    assert found is not None
    return {
        "memory": kept / 1e6,
        "digest": len(_encode(Envelope("me@1", 1, 1, digest))) + OVERHEAD_BYTES,
        "all": len(_encode(Envelope("me@1", 1, 1, found))) + OVERHEAD_BYTES,
        "compare": cpu(lambda: mine.compare(digest)) * 1000,
        "take": cpu(lambda: other.receive(1000.0, found)) * 1000,
        "news": cpu(lambda: mine.queue.take(1100, size)) * 1000,
    }


def records(seed: int, sizes: tuple[int, ...] = WIDE) -> list[Slope]:
    found = {n: [table(n) for _ in range(REPEATS)] for n in sizes}

    def rows(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in some]) for n, some in found.items()]

    return [
        slope("records.memory", "one record of each member", "members", "MB", rows("memory"), seed=seed),
        slope("records.digest", "bytes of a table's digest, one way", "members", "bytes", rows("digest"), seed=seed),
        slope(
            "records.all",
            "bytes of all records, told to one who holds none",
            "members",
            "bytes",
            rows("all"),
            seed=seed,
        ),
        slope("records.take", "the turn that takes all records", "members", "ms", rows("take"), "least", seed=seed),
        slope(
            "records.news",
            "records for one datagram while all wait to be told",
            "members",
            "ms",
            rows("news"),
            "least",
            seed=seed,
        ),
    ]
