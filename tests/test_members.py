"""Membership: keys and packets, the table of states, and fleets in virtual time."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.membership import Net, fleet, study
from brackenpulley.members.awareness import WORST, Awareness
from brackenpulley.members.gossip import TIMES, Gossip, Queue
from brackenpulley.members.keys import OVERHEAD, KeyRing, PacketError, Replays, RingError
from brackenpulley.members.protocol import Protocol, Send, Timing
from brackenpulley.members.suspicion import Suspicion, shortest
from brackenpulley.members.wire import (
    ALIVE,
    DEAD,
    LARGEST,
    LEFT,
    SUSPECT,
    Ack,
    Ask,
    Envelope,
    Ping,
    Tell,
    Update,
    seal,
    size_of,
    unseal,
)

OLD, NEW = b"o" * 16, b"n" * 32
ENVELOPE = Envelope("m1", 1, 7, Ping(3, "m2", [Update("m3", "127.0.0.1:9", 4, SUSPECT, "m1")]))


def test_a_packet_is_what_was_sealed_and_shows_nothing_of_it() -> None:
    ring = KeyRing("east", OLD)
    data = seal(ENVELOPE, ring)
    assert unseal(data, ring) == ENVELOPE and b"127.0.0.1" not in data and data != seal(ENVELOPE, ring)


@pytest.mark.parametrize(
    ("spoil", "cause"),
    [
        (lambda d: d[: OVERHEAD - 1], "truncated"),
        (lambda d: d[:-1], "forged"),
        (lambda d: b"", "truncated"),
        (lambda d: b"\x02" + d[1:], "version"),
        (lambda d: d[:-1] + bytes([d[-1] ^ 1]), "forged"),
        (lambda d: d + b"x" * 65536, "too_long"),
        (lambda d: d[:1] + b"zzzz" + d[5:], "unknown_key"),
        (lambda d: seal(ENVELOPE, KeyRing("west", OLD)), "forged"),
        (lambda d: seal(ENVELOPE, KeyRing("east", NEW)), "unknown_key"),
        (lambda d: KeyRing("east", OLD).seal(b"\x93no message"), "malformed"),
    ],
)
def test_a_packet_that_is_not_ours_is_named_and_dropped(spoil: object, cause: str) -> None:
    with pytest.raises(PacketError) as error:
        unseal(spoil(seal(ENVELOPE, KeyRing("east", OLD))), KeyRing("east", OLD))  # type: ignore[operator]
    assert error.value.cause == cause


def test_a_key_is_changed_in_service_without_a_packet_lost() -> None:
    rings = [KeyRing("east", OLD) for _ in range(3)]

    def all_hear() -> bool:
        return all(unseal(seal(ENVELOPE, a), b) == ENVELOPE for a in rings for b in rings)

    for step in ("add", "use", "remove"):
        for ring in rings:  # one after the other: some are a step ahead
            if step == "add":
                mark = ring.add(NEW)
            elif step == "use":
                ring.use(mark)
            else:
                ring.remove(bytes.fromhex(KeyRing("east", OLD).marks[0]))
            assert all_hear()
    with pytest.raises(PacketError, match="unknown_key"):  # a retired key opens nothing
        unseal(seal(ENVELOPE, KeyRing("east", OLD)), rings[0])
    with pytest.raises(RingError, match="is in use"):
        rings[0].remove(mark)
    with pytest.raises(RingError, match="add it on all members first"):
        rings[0].use(b"none")
    with pytest.raises(RingError, match="16, 24 or 32"):
        rings[0].add(b"short")


@given(st.lists(st.tuples(st.integers(1, 2), st.integers(1, 3000)), max_size=80))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_no_packet_is_taken_twice(rows: list[tuple[int, int]]) -> None:
    seen, taken, highest = Replays(), set[tuple[int, int]](), {1: 0, 2: 0}
    life = 0
    for row in rows:
        fresh = seen.fresh("m", *row)
        assert not (fresh and row in taken)
        if not fresh:
            assert row in taken or row[0] < life or row[1] <= highest[row[0]] - Replays.WIDTH
        else:
            taken.add(row)
            life, highest[row[0]] = max(life, row[0]), max(highest[row[0]], row[1])


def test_suspicion_ends_sooner_with_each_independent_confirmation() -> None:
    s = Suspicion(1, "a", 100.0, 4.0, 50)
    ends = [s.until]
    for by in ("a", "b", "c", "d", "e"):
        s.confirm(by)
        ends.append(s.until)
    assert ends[0] == ends[1] == 124.0 and ends[2:] == sorted(ends[2:], reverse=True) and ends[-1] == 104.0
    assert ends[2] == pytest.approx(100 + 24 - 20 * math.log(2) / math.log(4))
    assert Suspicion(1, "a", 100.0, 4.0, 3).until == 104.0 and shortest(1000, 1.0) == 12.0


def test_awareness_slows_a_member_that_hears_badly() -> None:
    a = Awareness()
    a.probe_failed(3, 3)  # all relays are well and say so: the target it is
    assert a.score == 0
    for _ in range(9):
        a.probe_failed(3, 0)
    assert a.score == WORST and a.scale(1.0) == 9.0
    a.probe_answered()
    a.had_to_refute()
    assert a.score == WORST


def test_each_update_is_told_a_bounded_number_of_times_the_least_told_first() -> None:
    g = Gossip()
    updates = [Update(f"m{n}", "a", 1, ALIVE) for n in range(30)]
    for update in updates:
        g.tell(update, size_of(update))
    told = [u.id for _ in range(200) for u in g.some(100, 99)]
    limit = TIMES * 2
    assert all(told.count(u.id) == limit for u in updates) and len(g) == 0
    assert len(set(told[:30])) == 30  # nobody twice before everybody once
    g.tell(Update("m0", "a", 1, ALIVE), 20)
    g.tell(Update("m0", "a", 1, SUSPECT), 20)
    assert [u.state for u in g.some(1000, 5)] == [SUSPECT]


def knows(state: str, incarnation: int = 5) -> Protocol:
    p = Protocol("me", "a0", random.Random(1), 100.0)
    p.receive(100.0, "a1", Tell([Update("x", "a1", incarnation, ALIVE)]))
    if state != ALIVE:
        p.receive(100.0, "a2", Tell([Update("x", "a1", incarnation, state, "y")]))
    return p


@pytest.mark.parametrize(
    ("state", "said", "incarnation", "then"),
    [
        (ALIVE, ALIVE, 5, ALIVE),
        (ALIVE, SUSPECT, 4, ALIVE),
        (ALIVE, SUSPECT, 5, SUSPECT),
        (ALIVE, SUSPECT, 6, SUSPECT),
        (ALIVE, DEAD, 4, ALIVE),
        (ALIVE, DEAD, 5, DEAD),
        (ALIVE, LEFT, 6, LEFT),
        (SUSPECT, ALIVE, 5, SUSPECT),
        (SUSPECT, ALIVE, 6, ALIVE),
        (SUSPECT, SUSPECT, 4, SUSPECT),
        (SUSPECT, DEAD, 5, DEAD),
        (SUSPECT, LEFT, 6, LEFT),
        (DEAD, ALIVE, 5, DEAD),
        (DEAD, SUSPECT, 9, DEAD),
        (DEAD, ALIVE, 6, ALIVE),
        (LEFT, ALIVE, 5, LEFT),
        (LEFT, DEAD, 9, LEFT),
    ],
)
def test_what_is_heard_of_a_member(state: str, said: str, incarnation: int, then: str) -> None:
    p = knows(state)
    p.receive(101.0, "a2", Tell([Update("x", "a1", incarnation, said, "z")]))
    assert p.members["x"].state == then


def test_who_is_called_dead_says_that_it_lives_and_a_ping_for_another_life_gets_no_answer() -> None:
    p = knows(ALIVE)
    p.receive(101.0, "a1", Tell([Update("me", "a0", 1, DEAD, "x")]))
    assert p.incarnation == 2 and p.counts["refuted"] == 1
    assert not [e for e in p.receive(101.0, "a1", Ping(1, "an older one")) if isinstance(e, Send)]
    (answer,) = [e.body for e in p.receive(101.0, "a1", Ping(1, "me")) if isinstance(e, Send)]
    assert isinstance(answer, Ack) and answer.updates[0].incarnation == 2


def test_a_relay_passes_the_answer_on_or_says_that_there_was_none() -> None:
    p = knows(ALIVE)
    (ping,) = [e for e in p.receive(101.0, "a9", Ask(40, "x", "a1")) if isinstance(e, Send)]
    assert ping.to == "a1" and isinstance(ping.body, Ping)
    (back,) = [e for e in p.receive(101.1, "a1", Ack(ping.body.seq)) if isinstance(e, Send)]
    assert (back.to, back.body.seq) == ("a9", 40)  # type: ignore[union-attr]
    p.receive(101.2, "a9", Ask(41, "x", "a1"))
    late = [e for e in p.tick(101.8) if isinstance(e, Send) and e.to == "a9"]
    assert type(late[0].body).__name__ == "Nack"


def test_half_of_a_fleet_dies_and_the_rest_knows_it() -> None:
    net = fleet(40, 3, loss=0.02, double=0.05)
    for n in range(20, 40):
        net.kill(f"a{n}")
    net.run(net.now + 60.0)
    assert net.agree()


def test_nobody_dies_of_a_lossy_network() -> None:
    net = fleet(60, 4)
    net.loss, net.double = 0.2, 0.1
    net.heard.clear()
    net.run(net.now + 40.0)
    assert not [row for row in net.heard if row[3] == DEAD]


def test_a_partition_heals_by_itself() -> None:
    net = fleet(20, 5)
    net.blocked = lambda a, b: (int(a[1:]) < 10) != (int(b[1:]) < 10)
    net.run(net.now + 50.0)
    sides = [{m.id for m in p.alive()} | {p.id} for p in net.members.values()]
    assert all(len(side) == 10 for side in sides)
    net.blocked = lambda a, b: False
    net.run(net.now + 60.0)
    assert net.agree()


def test_one_that_is_heard_by_nobody_but_relays_stays() -> None:
    """One way between two members is cut: the others carry the probes."""
    net = fleet(12, 6)
    net.blocked = lambda a, b: (a, b) in (("a1", "a2"), ("a2", "a1"), ("a3", "a2"))
    net.heard.clear()
    net.run(net.now + 60.0)
    assert not [row for row in net.heard if row[3] == DEAD] and net.agree()


def test_one_that_stood_still_comes_back_without_calling_the_others_dead() -> None:
    """SIGSTOP for 40 s: it wakes with every probe of its own overdue."""
    net = fleet(20, 7)
    net.pause("a5")
    net.run(net.now + 40.0)
    assert all(m.members["m5"].state == DEAD for m in net.members.values() if m.id != "m5")
    net.heard.clear()
    net.resume("a5")
    net.run(net.now + 40.0)
    assert net.agree() and not [row for row in net.heard if row[3] == DEAD and row[2] != "m5"]


def test_a_new_process_takes_an_old_ones_address_and_a_seed_may_be_down() -> None:
    net = fleet(10, 8)
    net.kill("a4")
    net.add("new", "a4", ["a99", "a4", "a2"])
    net.run(net.now + 5.0)
    assert net.agree()
    assert all(m.members["m4"].state == DEAD for m in net.members.values() if m.id != "new" and "m4" in m.members)


def test_one_that_leaves_in_order_is_neither_suspected_nor_dead() -> None:
    net = fleet(15, 9)
    net.heard.clear()
    leaver = net.members["a7"]
    net.do(leaver, leaver.leave())
    net.run(net.now + 1.0)
    net.kill("a7")
    net.run(net.now + 30.0)
    assert {row[3] for row in net.heard if row[2] == "m7"} == {LEFT} and net.agree()


def test_no_datagram_is_longer_than_is_read_and_load_is_flat_in_the_size() -> None:
    from rich.progress import Progress

    rows = [study(size, 5.0, 1, 2, Progress(disable=True)) for size in (20, 80)]
    assert max(row["longestDatagram"] for row in rows) <= LARGEST
    assert rows[1]["bytesAMemberASecond"] < 2 * rows[0]["bytesAMemberASecond"]
    assert all(row["missed"] == 0 and row["falseDeathsAtLoss"]["0.05"]["deaths"] == 0 for row in rows)


def test_twenty_at_once_find_each_other() -> None:
    net = Net(10)
    for n in range(20):
        net.add(f"m{n}", f"a{n}", ["a0", "a1"], Timing(sync=5.0))
    net.run(net.now + 8.0)
    assert net.agree()


def test_a_queue_takes_what_sorting_all_that_waits_would_take() -> None:
    """The least told first, the newest of these first, whatever fits; against a sort anew with each take."""
    rng = random.Random(5)
    queue, waiting, serial = Queue[int, int](), dict[int, tuple[int, int, int, int]](), 0
    for step in range(4000):
        key, what = rng.randrange(60), rng.random()
        if what < 0.4:
            serial += 1
            size = rng.randrange(20, 200)
            queue.add(key, step, size)
            waiting[key] = 0, -serial, step, size
        elif what < 0.5:
            queue.drop(key)
            waiting.pop(key, None)
        else:
            room, wanted, used = rng.randrange(0, 600), [], 0
            for key, (sent, number, value, size) in sorted(waiting.items(), key=lambda item: item[1][:2]):
                if size > room - used:
                    continue
                used += size
                wanted.append(value)
                if sent + 1 >= TIMES * 2:
                    del waiting[key]
                else:
                    waiting[key] = sent + 1, number, value, size
            assert queue.take(room, 50) == (wanted, used)
        assert len(queue) == len(waiting)
