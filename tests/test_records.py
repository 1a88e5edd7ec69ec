"""Replicated records: conflicts, expiry and bounds; and whole stations over a lossy network in virtual time."""

from __future__ import annotations

import random

import pytest

from brackenpulley.members.protocol import Send, Timing
from brackenpulley.members.records import (
    GOSSIP_BYTES_PER_S,
    MAX_CREDIT_BYTES,
    MAX_RECORDS,
    MAX_VALUE_BYTES,
    RecordError,
    RecordTable,
)
from brackenpulley.members.station import Station
from brackenpulley.members.wire import Carry, Digest, Record, Records, encoded_size
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.world import Host, World

QUICK = Timing(probe_interval=0.5, ack_timeout=0.2, sync_interval=5.0)


def table(own_id: str = "me@1") -> RecordTable:
    return RecordTable(own_id, random.Random(1), 100.0)


def receive(records: RecordTable, *rows: Record) -> None:
    records.receive(100.0, Records(list(rows)))


def record(serial: int, value: bytes = b"x", owner: str = "a@1", kind: str = "k", is_deleted: bool = False) -> Record:
    return Record(owner, kind, "n", serial, value, is_deleted)


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (record(1, b"old"), record(2, b"new"), b"new"),
        (record(2, b"new"), record(1, b"old"), b"new"),
        (record(2), record(2, b"y"), b"x"),
        (record(2), record(3, is_deleted=True), None),
        (record(3, is_deleted=True), record(2), None),
    ],
)
def test_the_highest_serial_of_a_generation_wins(first: Record, second: Record, expected: bytes | None) -> None:
    records = table()
    receive(records, first, second)
    assert records.get("a@1", "k", "n") == expected


@pytest.mark.parametrize(("method", "plain", "sticky"), [("mark_dead", None, b"s"), ("mark_ended", None, None)])
def test_records_of_a_dead_owner_are_dropped_unless_sticky(method: str, plain: object, sticky: object) -> None:
    records = table()
    records.sticky_kinds.add("s")
    changes: list[Record] = []
    records.subscribers["k"] = [changes.append]
    receive(records, record(1), record(2, b"s", kind="s"), record(9, b"new", owner="a@2"))
    getattr(records, method)("a@1")
    assert (records.get("a@1", "k", "n"), records.get("a@1", "s", "n")) == (plain, sticky)
    assert records.get("a@2", "k", "n") == b"new"  # records of another generation stay
    assert [r.is_deleted for r in changes if r.owner == "a@1"] == [False, True]
    receive(records, record(7))  # late gossip does not bring it back
    assert records.get("a@1", "k", "n") is None
    records.mark_alive("a@1")
    receive(records, record(8))
    assert (records.get("a@1", "k", "n") is not None) == (method == "mark_dead")


def test_records_of_one_member_are_bounded_on_both_sides() -> None:
    records = table()
    for n in range(MAX_RECORDS):
        records.publish("k", str(n), b"v")
    for bad in (("k", "more", b"v"), ("k", "0", b"v" * (MAX_VALUE_BYTES + 1)), ("k" * 65, "0", b""), ("", "0", b"")):
        with pytest.raises(RecordError):
            records.publish(*bad)
    records.withdraw("k", "0")
    with pytest.raises(RecordError):  # the deletion may not have reached all members yet
        records.publish("k", "more", b"v")
    records.now += 61.0
    records.publish("k", "more", b"v")
    other = table("b@1")
    receive(
        other, *(Record("a@1", "k", str(n), n + 1, b"") for n in range(200)), Record("a@1", "z", "z", 999, b"x" * 700)
    )
    assert len(other.owners["a@1"].records) == MAX_RECORDS and other.counts["too_many"] == 200 - MAX_RECORDS
    assert other.counts["too_long"] == 1


def test_gossip_rate_does_not_grow_with_the_number_of_records() -> None:
    records = table()
    for n in range(MAX_RECORDS):
        receive(records, *(Record(f"m{m}@1", "k", str(n), n + 1, b"v" * 200) for m in range(20)))
    sent, now = 0, 100.0
    for _ in range(300):  # a minute
        now += 0.2
        for _ in range(3):
            if (batch := records.next_batch(now, 200, 1100)) is not None:
                sent += sum(encoded_size(r) for r in batch.rows)
    assert sent < MAX_CREDIT_BYTES + GOSSIP_BYTES_PER_S * 60


def test_records_of_an_unknown_kind_are_passed_on() -> None:
    records = table()
    receive(records, record(1, kind="of a later version"))
    batch = records.next_batch(101.0, 10, 1100)
    assert batch is not None and batch.rows[0].kind == "of a later version"


def station(host: Host, seeds: list[str], world: World) -> Station:
    return Station(f"{host.name}@{host.incarnation}", host.address, random.Random(world.rng.random()), world.now, QUICK)


def fleet(size: int, seed: int, link: Link) -> World:
    world = World(seed, Links(link))
    for n in range(size):
        host = world.add_host(f"m{n}", f"a{n}", lambda host: station(host, [], world))
        world.apply_effects(host, host.process.join(["a0"]))  # type: ignore[union-attr]
    return world


def stations(world: World) -> list[Station]:
    return [host.process for host in world.hosts.values() if isinstance(host.process, Station)]


def test_a_change_reaches_all_members_at_a_fifth_of_datagrams_lost() -> None:
    world = fleet(30, 2, Link(loss=0.2, duplication=0.1))
    assert world.run_until(lambda: all(s.protocol.size == 30 for s in stations(world)), 30.0)
    for n, one in enumerate(stations(world)):
        one.records.publish("load", "x", str(n).encode())
    for host in world.hosts.values():
        world.apply_effects(host, host.process.said())  # type: ignore[union-attr]

    def have_received(value: bytes) -> bool:
        return all(
            len(list(s.records.iter_kind("load"))) == 30 and s.records.get("m3@1", "load", "x") == value
            for s in stations(world)
        )

    assert world.run_until(lambda: have_received(b"3"), 30.0)
    stations(world)[3].records.publish("load", "x", b"news")
    assert world.run_until(lambda: have_received(b"news"), 10.0)


def test_a_full_exchange_merges_records_after_a_partition() -> None:
    world = fleet(8, 3, Link())
    assert world.run_until(lambda: all(s.protocol.size == 8 for s in stations(world)), 20.0)
    sides = {f"a{n}" for n in range(4)}, {f"a{n}" for n in range(4, 8)}
    world.links.partition(*sides)
    world.run(world.now + 25.0)
    for one in stations(world):
        one.records.publish("k", "x", one.id.encode())
    world.run(world.now + 20.0)  # long enough for each side to have used up its gossip sends
    assert all(len(list(s.records.iter_kind("k"))) == 4 for s in stations(world))
    world.links.heal()
    assert world.run_until(lambda: all(len(list(s.records.iter_kind("k"))) == 8 for s in stations(world)), 90.0)


def test_a_payload_arrives_by_datagram_or_stream_and_an_unknown_kind_is_counted() -> None:
    class Echo:
        def __init__(self) -> None:
            self.received: list[tuple[str, bytes]] = []
            self.pending: list[tuple[str, bytes]] = []

        def receive(self, now: float, address: str, data: bytes) -> None:
            self.received.append((address, data))

        def tick(self, now: float) -> None: ...

        def next_tick(self) -> float:
            return 1e9

        def changed(self, now: float, change: object) -> None: ...

        def take(self) -> list[tuple[str, bytes]]:
            pending, self.pending = self.pending, []
            return pending

    world = fleet(2, 4, Link())
    first, second = stations(world)
    first_echo, second_echo = Echo(), Echo()
    first.parts["echo"], second.parts["echo"] = first_echo, second_echo
    first_echo.pending = [("a1", b"short"), ("a1", b"l" * 5000)]
    effects = first.said()
    assert [e.stream for e in effects if isinstance(e, Send)] == [False, True]
    world.apply_effects(world.hosts["a0"], effects)
    assert world.run_until(lambda: sorted(second_echo.received) == [("a0", b"l" * 5000), ("a0", b"short")], 5.0)
    second.receive(world.now, "a0", Carry("of another version", "a0", b""))
    assert second.counts["unknown_kind"] == 1


def test_a_digest_is_answered_once() -> None:
    station_a = Station("a@1", "a0", random.Random(1), 100.0)
    sent = [e for e in station_a.receive(100.0, "", Digest("b0", [("b@1", b"?")])) if isinstance(e, Send)]
    assert [e.to for e in sent] == ["b0"] and isinstance(sent[0].body, Digest) and sent[0].body.is_reply
    assert not [e for e in station_a.receive(100.0, "", sent[0].body) if isinstance(e, Send)]
