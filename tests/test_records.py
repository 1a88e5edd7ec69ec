"""Records by gossip: what stands, what is forgotten, what one member may tell; and stations over a net that loses."""

from __future__ import annotations

import random

import pytest

from brackenpulley.members.protocol import Send, Timing
from brackenpulley.members.records import RATE, RECORDS, SAVED, VALUE, RecordError, Table
from brackenpulley.members.station import Station
from brackenpulley.members.wire import Carry, Digest, Record, Records, encoded_size
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.world import Host, World

QUICK = Timing(probe=0.5, answer=0.2, sync=5.0)


def table(me: str = "me@1") -> Table:
    return Table(me, random.Random(1), 100.0)


def tell(t: Table, *rows: Record) -> None:
    t.receive(100.0, Records(list(rows)))


def row(serial: int, value: bytes = b"x", owner: str = "a@1", kind: str = "k", gone: bool = False) -> Record:
    return Record(owner, kind, "n", serial, value, gone)


@pytest.mark.parametrize(
    ("first", "second", "stands"),
    [
        (row(1, b"old"), row(2, b"new"), b"new"),
        (row(2, b"new"), row(1, b"old"), b"new"),
        (row(2), row(2, b"y"), b"x"),
        (row(2), row(3, gone=True), None),
        (row(3, gone=True), row(2), None),
    ],
)
def test_the_greatest_serial_of_a_life_stands(first: Record, second: Record, stands: bytes | None) -> None:
    t = table()
    tell(t, first, second)
    assert t.get("a@1", "k", "n") == stands


@pytest.mark.parametrize(("word", "plain", "sticky"), [("dead", None, b"s"), ("ended", None, None)])
def test_what_a_life_said_is_forgotten_unless_silence_frees_nothing(word: str, plain: object, sticky: object) -> None:
    t = table()
    t.sticky.add("s")
    heard: list[Record] = []
    t.heard["k"] = [heard.append]
    tell(t, row(1), row(2, b"s", kind="s"), row(9, b"new", owner="a@2"))
    getattr(t, word)("a@1")
    assert (t.get("a@1", "k", "n"), t.get("a@1", "s", "n")) == (plain, sticky)
    assert t.get("a@2", "k", "n") == b"new"  # another life says for itself
    assert [r.gone for r in heard if r.owner == "a@1"] == [False, True]
    tell(t, row(7))  # late gossip of it does not bring it back
    assert t.get("a@1", "k", "n") is None
    t.alive("a@1")
    tell(t, row(8))
    assert (t.get("a@1", "k", "n") is not None) == (word == "dead")


def test_bounds_of_what_one_member_says_and_is_believed() -> None:
    t = table()
    for n in range(RECORDS):
        t.publish("k", str(n), b"v")
    for bad in (("k", "more", b"v"), ("k", "0", b"v" * (VALUE + 1)), ("k" * 65, "0", b""), ("", "0", b"")):
        with pytest.raises(RecordError):
            t.publish(*bad)
    t.withdraw("k", "0")
    with pytest.raises(RecordError):  # others may still have to hear that it is gone
        t.publish("k", "more", b"v")
    t.now += 61.0
    t.publish("k", "more", b"v")
    other = table("b@1")
    tell(other, *(Record("a@1", "k", str(n), n + 1, b"") for n in range(200)), Record("a@1", "z", "z", 999, b"x" * 700))
    assert len(other.owners["a@1"].rows) == RECORDS and other.counts["too_many"] == 200 - RECORDS
    assert other.counts["too_long"] == 1


def test_what_is_told_a_second_does_not_grow_with_what_there_is_to_tell() -> None:
    t = table()
    for n in range(RECORDS):
        tell(t, *(Record(f"m{m}@1", "k", str(n), n + 1, b"v" * 200) for m in range(20)))
    sent, now = 0, 100.0
    for _ in range(300):  # a minute
        now += 0.2
        for _ in range(3):
            if (news := t.news(now, 200, 1100)) is not None:
                sent += sum(encoded_size(r) for r in news.rows)
    assert sent < SAVED + RATE * 60


def test_a_kind_that_nobody_knows_here_is_passed_on() -> None:
    t = table()
    tell(t, row(1, kind="of a later version"))
    news = t.news(101.0, 10, 1100)
    assert news is not None and news.rows[0].kind == "of a later version"


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


def test_all_hear_of_a_change_over_a_net_that_loses_a_fifth() -> None:
    world = fleet(30, 2, Link(loss=0.2, duplication=0.1))
    assert world.run_until(lambda: all(s.protocol.size == 30 for s in stations(world)), 30.0)
    for n, s in enumerate(stations(world)):
        s.records.publish("load", "x", str(n).encode())
    for host in world.hosts.values():
        world.apply_effects(host, host.process.said())  # type: ignore[union-attr]

    def told(value: bytes) -> bool:
        return all(
            len(list(s.records.of("load"))) == 30 and s.records.get("m3@1", "load", "x") == value
            for s in stations(world)
        )

    assert world.run_until(lambda: told(b"3"), 30.0)
    stations(world)[3].records.publish("load", "x", b"news")
    assert world.run_until(lambda: told(b"news"), 10.0)


def test_two_sides_of_a_partition_have_the_same_records_after_it_by_full_exchange() -> None:
    world = fleet(8, 3, Link())
    assert world.run_until(lambda: all(s.protocol.size == 8 for s in stations(world)), 20.0)
    sides = {f"a{n}" for n in range(4)}, {f"a{n}" for n in range(4, 8)}
    world.links.partition(*sides)
    world.run(world.now + 25.0)
    for s in stations(world):
        s.records.publish("k", "x", s.id.encode())
    world.run(world.now + 20.0)  # gossip has told it as often as it does, on each side alone
    assert all(len(list(s.records.of("k"))) == 4 for s in stations(world))
    world.links.heal()
    assert world.run_until(lambda: all(len(list(s.records.of("k"))) == 8 for s in stations(world)), 90.0)


def test_a_word_for_a_part_arrives_over_either_way_and_one_for_nobody_is_counted() -> None:
    class Echo:
        def __init__(self) -> None:
            self.got: list[tuple[str, bytes]] = []
            self.out: list[tuple[str, bytes]] = []

        def receive(self, now: float, address: str, data: bytes) -> None:
            self.got.append((address, data))

        def tick(self, now: float) -> None: ...

        def next_tick(self) -> float:
            return 1e9

        def changed(self, now: float, change: object) -> None: ...

        def take(self) -> list[tuple[str, bytes]]:
            out, self.out = self.out, []
            return out

    world = fleet(2, 4, Link())
    one, two = stations(world)
    a, b = Echo(), Echo()
    one.parts["echo"], two.parts["echo"] = a, b
    a.out = [("a1", b"short"), ("a1", b"l" * 5000)]
    effects = one.said()
    assert [e.stream for e in effects if isinstance(e, Send)] == [False, True]
    world.apply_effects(world.hosts["a0"], effects)
    assert world.run_until(lambda: sorted(b.got) == [("a0", b"l" * 5000), ("a0", b"short")], 5.0)
    two.receive(world.now, "a0", Carry("of another version", "a0", b""))
    assert two.counts["unknown_kind"] == 1


def test_the_exchange_is_answered_once() -> None:
    one = Station("a@1", "a0", random.Random(1), 100.0)
    sent = [e for e in one.receive(100.0, "", Digest("b0", [("b@1", b"?")])) if isinstance(e, Send)]
    assert [e.to for e in sent] == ["b0"] and isinstance(sent[0].body, Digest) and sent[0].body.answer
    assert not [e for e in one.receive(100.0, "", sent[0].body) if isinstance(e, Send)]
