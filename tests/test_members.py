"""Membership without sockets: keys and packets, the table of states, and whole fleets in virtual time."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.membership import SimulatedNetwork, build_network, measure_size
from brackenpulley.members.awareness import MAX_SCORE, Awareness
from brackenpulley.members.gossip import RETRANSMIT_MULTIPLIER, Gossip, TransmitQueue
from brackenpulley.members.keys import OVERHEAD_BYTES, KeyRing, PacketError, ReplayWindow, RingError
from brackenpulley.members.protocol import Protocol, Send, Timing
from brackenpulley.members.suspicion import Suspicion, min_suspicion_timeout
from brackenpulley.members.wire import (
    ALIVE,
    DEAD,
    LEFT,
    MAX_DATAGRAM_BYTES,
    SUSPECT,
    Ack,
    Ask,
    Envelope,
    Ping,
    Tell,
    Update,
    seal,
    unseal,
    update_size,
)

OLD, NEW = b"o" * 16, b"n" * 32
ENVELOPE = Envelope("m1", 1, 7, Ping(3, "m2", [Update("m3", "127.0.0.1:9", 4, SUSPECT, "m1")]))


def test_a_sealed_packet_is_encrypted_and_opens_to_its_content() -> None:
    ring = KeyRing("east", OLD)
    data = seal(ENVELOPE, ring)
    assert unseal(data, ring) == ENVELOPE and b"127.0.0.1" not in data and data != seal(ENVELOPE, ring)


@pytest.mark.parametrize(
    ("corrupt", "cause"),
    [
        (lambda packet: packet[: OVERHEAD_BYTES - 1], "truncated"),
        (lambda packet: packet[:-1], "forged"),
        (lambda packet: b"", "truncated"),
        (lambda packet: b"\x02" + packet[1:], "version"),
        (lambda packet: packet[:-1] + bytes([packet[-1] ^ 1]), "forged"),
        (lambda packet: packet + b"x" * 65536, "too_long"),
        (lambda packet: packet[:1] + b"zzzz" + packet[5:], "unknown_key"),
        (lambda packet: seal(ENVELOPE, KeyRing("west", OLD)), "forged"),
        (lambda packet: seal(ENVELOPE, KeyRing("east", NEW)), "unknown_key"),
        (lambda packet: KeyRing("east", OLD).seal(b"\x93no message"), "malformed"),
    ],
)
def test_an_invalid_packet_is_rejected_with_its_cause(corrupt: object, cause: str) -> None:
    with pytest.raises(PacketError) as error:
        unseal(corrupt(seal(ENVELOPE, KeyRing("east", OLD))), KeyRing("east", OLD))  # type: ignore[operator]
    assert error.value.cause == cause


def test_a_key_rotation_in_service_loses_no_packet() -> None:
    rings = [KeyRing("east", OLD) for _ in range(3)]

    def all_can_unseal() -> bool:
        return all(unseal(seal(ENVELOPE, a), b) == ENVELOPE for a in rings for b in rings)

    for step in ("add", "use", "remove"):
        for ring in rings:  # one after the other: members are at different steps
            if step == "add":
                mark = ring.add(NEW)
            elif step == "use":
                ring.use(mark)
            else:
                ring.remove(bytes.fromhex(KeyRing("east", OLD).marks[0]))
            assert all_can_unseal()
    with pytest.raises(PacketError, match="unknown_key"):  # a removed key opens no packet
        unseal(seal(ENVELOPE, KeyRing("east", OLD)), rings[0])
    with pytest.raises(RingError, match="is in use"):
        rings[0].remove(mark)
    with pytest.raises(RingError, match="add it on all members first"):
        rings[0].use(b"none")
    with pytest.raises(RingError, match="16, 24 or 32"):
        rings[0].add(b"short")


@given(st.lists(st.tuples(st.integers(1, 2), st.integers(1, 3000)), max_size=80))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_no_packet_is_accepted_twice(rows: list[tuple[int, int]]) -> None:
    window, accepted, highest = ReplayWindow(), set[tuple[int, int]](), {1: 0, 2: 0}
    generation = 0
    for row in rows:
        is_new = window.accept("m", *row)
        assert not (is_new and row in accepted)
        if not is_new:
            assert row in accepted or row[0] < generation or row[1] <= highest[row[0]] - ReplayWindow.WIDTH
        else:
            accepted.add(row)
            generation, highest[row[0]] = max(generation, row[0]), max(highest[row[0]], row[1])


def test_suspicion_ends_sooner_with_each_independent_confirmation() -> None:
    suspicion = Suspicion(1, "a", 100.0, 4.0, 50)
    deadlines = [suspicion.deadline]
    for by in ("a", "b", "c", "d", "e"):
        suspicion.confirm(by)
        deadlines.append(suspicion.deadline)
    assert (
        deadlines[0] == deadlines[1] == 124.0
        and deadlines[2:] == sorted(deadlines[2:], reverse=True)
        and deadlines[-1] == 104.0
    )
    assert deadlines[2] == pytest.approx(100 + 24 - 20 * math.log(2) / math.log(4))
    assert Suspicion(1, "a", 100.0, 4.0, 3).deadline == 104.0 and min_suspicion_timeout(1000, 1.0) == 12.0


def test_awareness_slows_the_probes_of_an_unhealthy_member() -> None:
    awareness = Awareness()
    awareness.record_probe_failure(3, 3)  # all indirect probes brought a Nack: the fault is on the side of the target
    assert awareness.score == 0
    for _ in range(9):
        awareness.record_probe_failure(3, 0)
    assert awareness.score == MAX_SCORE and awareness.scale(1.0) == 9.0
    awareness.record_probe_success()
    awareness.record_refutation()
    assert awareness.score == MAX_SCORE


def test_each_update_is_sent_a_bounded_number_of_times_the_least_sent_first() -> None:
    gossip = Gossip()
    updates = [Update(f"m{n}", "a", 1, ALIVE) for n in range(30)]
    for update in updates:
        gossip.enqueue(update, update_size(update))
    sent = [u.id for _ in range(200) for u in gossip.next_updates(100, 99)]
    limit = RETRANSMIT_MULTIPLIER * 2
    assert all(sent.count(u.id) == limit for u in updates) and len(gossip) == 0
    assert len(set(sent[:30])) == 30  # each update once before any is sent again
    gossip.enqueue(Update("m0", "a", 1, ALIVE), 20)
    gossip.enqueue(Update("m0", "a", 1, SUSPECT), 20)
    assert [u.state for u in gossip.next_updates(1000, 5)] == [SUSPECT]


def protocol_knowing(state: str, incarnation: int = 5) -> Protocol:
    protocol = Protocol("me", "a0", random.Random(1), 100.0)
    protocol.receive(100.0, "a1", Tell([Update("x", "a1", incarnation, ALIVE)]))
    if state != ALIVE:
        protocol.receive(100.0, "a2", Tell([Update("x", "a1", incarnation, state, "y")]))
    return protocol


@pytest.mark.parametrize(
    ("state", "reported", "incarnation", "expected"),
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
def test_an_update_changes_the_state_of_a_member(state: str, reported: str, incarnation: int, expected: str) -> None:
    protocol = protocol_knowing(state)
    protocol.receive(101.0, "a2", Tell([Update("x", "a1", incarnation, reported, "z")]))
    assert protocol.members["x"].state == expected


def test_a_member_refutes_its_death_and_ignores_a_ping_for_another_id() -> None:
    protocol = protocol_knowing(ALIVE)
    protocol.receive(101.0, "a1", Tell([Update("me", "a0", 1, DEAD, "x")]))
    assert protocol.incarnation == 2 and protocol.counts["refuted"] == 1
    assert not [e for e in protocol.receive(101.0, "a1", Ping(1, "an older one")) if isinstance(e, Send)]
    (answer,) = [e.body for e in protocol.receive(101.0, "a1", Ping(1, "me")) if isinstance(e, Send)]
    assert isinstance(answer, Ack) and answer.updates[0].incarnation == 2


def test_an_indirect_probe_is_answered_with_an_ack_or_a_nack() -> None:
    protocol = protocol_knowing(ALIVE)
    (ping,) = [e for e in protocol.receive(101.0, "a9", Ask(40, "x", "a1")) if isinstance(e, Send)]
    assert ping.to == "a1" and isinstance(ping.body, Ping)
    (back,) = [e for e in protocol.receive(101.1, "a1", Ack(ping.body.seq)) if isinstance(e, Send)]
    assert (back.to, back.body.seq) == ("a9", 40)  # type: ignore[union-attr]
    protocol.receive(101.2, "a9", Ask(41, "x", "a1"))
    late = [e for e in protocol.tick(101.8) if isinstance(e, Send) and e.to == "a9"]
    assert type(late[0].body).__name__ == "Nack"


def test_the_death_of_half_a_fleet_is_detected_by_the_rest() -> None:
    net = build_network(40, 3, loss=0.02, duplication=0.05)
    for n in range(20, 40):
        net.kill(f"a{n}")
    net.run(net.now + 60.0)
    assert net.has_converged()


def test_a_lossy_network_causes_no_false_death() -> None:
    net = build_network(60, 4)
    net.loss, net.duplication = 0.2, 0.1
    net.state_changes.clear()
    net.run(net.now + 40.0)
    assert not [row for row in net.state_changes if row[3] == DEAD]


def test_a_partition_heals_by_itself() -> None:
    net = build_network(20, 5)
    net.is_blocked = lambda a, b: (int(a[1:]) < 10) != (int(b[1:]) < 10)
    net.run(net.now + 50.0)
    sides = [{m.id for m in member.alive_members()} | {member.id} for member in net.members.values()]
    assert all(len(side) == 10 for side in sides)
    net.is_blocked = lambda a, b: False
    net.run(net.now + 60.0)
    assert net.has_converged()


def test_a_member_reached_only_by_indirect_probes_stays_alive() -> None:
    """The path between two members is cut: indirect probes through the others keep them alive."""
    net = build_network(12, 6)
    net.is_blocked = lambda a, b: (a, b) in (("a1", "a2"), ("a2", "a1"), ("a3", "a2"))
    net.state_changes.clear()
    net.run(net.now + 60.0)
    assert not [row for row in net.state_changes if row[3] == DEAD] and net.has_converged()


def test_a_resumed_member_rejoins_without_declaring_the_others_dead() -> None:
    """After SIGSTOP for 40 s a member resumes with all its own probes overdue, and must not declare the others dead."""
    net = build_network(20, 7)
    net.pause("a5")
    net.run(net.now + 40.0)
    assert all(m.members["m5"].state == DEAD for m in net.members.values() if m.id != "m5")
    net.state_changes.clear()
    net.resume("a5")
    net.run(net.now + 40.0)
    assert net.has_converged() and not [row for row in net.state_changes if row[3] == DEAD and row[2] != "m5"]


def test_a_new_process_takes_over_an_address_and_a_seed_may_be_down() -> None:
    net = build_network(10, 8)
    net.kill("a4")
    net.add("new", "a4", ["a99", "a4", "a2"])
    net.run(net.now + 5.0)
    assert net.has_converged()
    assert all(m.members["m4"].state == DEAD for m in net.members.values() if m.id != "new" and "m4" in m.members)


def test_a_leaving_member_is_neither_suspected_nor_declared_dead() -> None:
    net = build_network(15, 9)
    net.state_changes.clear()
    leaver = net.members["a7"]
    net.apply_effects(leaver, leaver.leave())
    net.run(net.now + 1.0)
    net.kill("a7")
    net.run(net.now + 30.0)
    assert {row[3] for row in net.state_changes if row[2] == "m7"} == {LEFT} and net.has_converged()


def test_datagrams_stay_within_the_limit_and_load_is_constant_in_the_size() -> None:
    from rich.progress import Progress

    rows = [measure_size(size, 5.0, 1, 2, Progress(disable=True)) for size in (20, 80)]
    assert max(row["longestDatagram"] for row in rows) <= MAX_DATAGRAM_BYTES
    assert rows[1]["bytesAMemberASecond"] < 2 * rows[0]["bytesAMemberASecond"]
    assert all(row["missed"] == 0 and row["falseDeathsAtLoss"]["0.05"]["deaths"] == 0 for row in rows)


def test_twenty_members_that_start_together_find_each_other() -> None:
    net = SimulatedNetwork(10)
    for n in range(20):
        net.add(f"m{n}", f"a{n}", ["a0", "a1"], Timing(sync_interval=5.0))
    net.run(net.now + 8.0)
    assert net.has_converged()


def test_the_queue_takes_the_same_values_as_a_sorting_model() -> None:
    """Compares the queue with a model that sorts on each take: the least sent first, of these the newest that fit."""
    rng = random.Random(5)
    queue, pending, serial = TransmitQueue[int, int](), dict[int, tuple[int, int, int, int]](), 0
    for step in range(4000):
        key, action = rng.randrange(60), rng.random()
        if action < 0.4:
            serial += 1
            size = rng.randrange(20, 200)
            queue.add(key, step, size)
            pending[key] = 0, -serial, step, size
        elif action < 0.5:
            queue.drop(key)
            pending.pop(key, None)
        else:
            max_bytes, expected, used = rng.randrange(0, 600), [], 0
            for key, (sent, number, value, size) in sorted(pending.items(), key=lambda item: item[1][:2]):
                if size > max_bytes - used:
                    continue
                used += size
                expected.append(value)
                if sent + 1 >= RETRANSMIT_MULTIPLIER * 2:
                    del pending[key]
                else:
                    pending[key] = sent + 1, number, value, size
            assert queue.take(max_bytes, 50) == (expected, used)
        assert len(queue) == len(pending)
