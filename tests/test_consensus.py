"""The replicated log: roles, verification of disks, storage, state machine, followers and injected faults."""

from __future__ import annotations

import os
import random
import subprocess
import sys
from pathlib import Path

import pytest

import benchmarks.agreement as bench
from brackenpulley.consensus import raft
from brackenpulley.consensus.feed import Follower, Source
from brackenpulley.consensus.machine import MAX_ANSWERS, Command, StateMachine, encode
from brackenpulley.consensus.raft import VOTE_SPENT, Node, Persist, PersistentState, Send
from brackenpulley.consensus.store import LogStore, StoreError
from brackenpulley.consensus.wire import (
    AppendEntries,
    AppendReply,
    Bootstrap,
    Config,
    Entry,
    LogUpdate,
    RaftMessage,
    RequestVote,
    Snapshot,
    StateQuery,
    StateReply,
    TimeoutNow,
    VoteReply,
)
from brackenpulley.simulation.script import ScriptError, parse
from brackenpulley.simulation.voters import Cluster, Register, run

VOTERS = {"a": "1", "b": "2", "c": "3"}
FIRST_SNAPSHOT = Snapshot(1, 1, Config(VOTERS))


def make_node(name: str = "a", is_verified: bool = True, **kept: object) -> Node:
    state = {"term": 1, "vote": VOTE_SPENT, "snapshot": FIRST_SNAPSHOT, **kept}
    return Node(name, PersistentState(**state), random.Random(1), 100.0, is_verified=is_verified, initial_voters=VOTERS)  # type: ignore[arg-type]


def payloads_to(effects: list[raft.Effect], name: str) -> list[RaftMessage]:
    return [effect.payload for effect in effects if isinstance(effect, Send) and effect.to == name]


def elect(node: Node) -> Node:
    node.tick(102.1)
    node.receive(102.1, "b", VoteReply(node.term + 1, True, True))
    node.receive(102.1, "b", VoteReply(node.term, True))
    assert node.role == raft.LEADER
    return node


def make_entry(index: int, term: int, data: bytes = b"x") -> Entry:
    return Entry(index, term, "op", data)


@pytest.mark.parametrize(
    ("state", "event", "role"),
    [
        ("follower", "time", "asking"),
        ("follower", "term", "follower"),
        ("asking", "time", "asking"),
        ("asking", "term", "follower"),
        ("asking", "majority", "candidate"),
        ("asking", "leader", "follower"),
        ("candidate", "time", "asking"),
        ("candidate", "term", "follower"),
        ("candidate", "majority", "leader"),
        ("candidate", "leader", "follower"),
        ("leader", "time", "leader"),
        ("leader", "term", "follower"),
        ("leader", "alone", "follower"),
    ],
)
def test_role_transitions(state: str, event: str, role: str) -> None:
    node = make_node()
    if state != "follower":
        node.tick(102.1)
    if state in ("candidate", "leader"):
        node.receive(102.1, "b", VoteReply(node.term + 1, True, True))
    if state == "leader":
        node.receive(102.1, "b", VoteReply(node.term, True))
    assert node.role == state
    if event == "time":
        node.tick(node.next_tick())
    elif event == "alone":
        node.tick(104.0)
    elif event == "term":
        node.receive(102.2, "c", AppendReply(node.term + 5, False, 0, 0, 1))
        assert node.term == 7 if state in ("candidate", "leader") else 6
    elif event == "majority":
        node.receive(102.2, "c", VoteReply(node.term + (state == "asking"), True, state == "asking"))
    else:
        node.receive(102.2, "c", AppendEntries(node.term, 1, 1, [], 1, 1))
    assert node.role == role


def test_a_vote_is_persisted_before_it_is_sent() -> None:
    effects = make_node().receive(103.0, "b", RequestVote(2, 1, 1))
    assert isinstance(effects[0], Persist) and (effects[0].term, effects[0].vote) == (2, "b")
    assert payloads_to(effects, "b") == [VoteReply(2, True)]


def test_one_vote_per_term_and_none_for_a_shorter_log_or_during_a_lease() -> None:
    node = make_node(entries=[make_entry(2, 1), make_entry(3, 1)])
    # The log of the candidate is shorter.
    assert payloads_to(node.receive(103.0, "b", RequestVote(2, 2, 1)), "b") == [VoteReply(2, False)]
    assert payloads_to(node.receive(103.0, "b", RequestVote(3, 3, 1)), "b") == [VoteReply(3, True)]
    assert payloads_to(node.receive(103.0, "c", RequestVote(3, 9, 1)), "c") == [VoteReply(3, False)]
    node.receive(104.0, "b", AppendEntries(3, 3, 1, [], 1, 1))
    assert not node.receive(104.5, "c", RequestVote(9, 9, 9)) and node.term == 3  # the leader's lease holds
    # The lease does not hold when the leader itself resigned.
    assert payloads_to(node.receive(104.5, "c", RequestVote(9, 9, 9, is_leadership_transfer=True)), "c") == [
        VoteReply(9, True)
    ]


def test_conflicting_entries_are_replaced_and_a_gap_is_rejected() -> None:
    node = make_node(entries=[make_entry(2, 1, b"lost"), make_entry(3, 1, b"lost")])
    effects = node.receive(101.0, "b", AppendEntries(2, 5, 1, [], 1, 1))
    assert payloads_to(effects, "b") == [AppendReply(2, False, 3, 1, node.incarnation)]
    effects = node.receive(101.0, "b", AppendEntries(2, 1, 1, [make_entry(2, 2, b"kept")], 2, 2))
    assert [e.data for e in node.entries] == [b"kept"] and node.commit == 2
    assert isinstance(effects[0], Persist) and effects[0].first_index == 2 and len(effects[0].entries) == 1
    # Duplicate: nothing to persist.
    effects = node.receive(101.0, "b", AppendEntries(2, 1, 1, [make_entry(2, 2, b"kept")], 2, 3))
    assert not [e for e in effects if isinstance(e, Persist)]


def test_an_entry_of_an_older_term_is_committed_only_with_one_of_the_current_term() -> None:
    node = elect(make_node(entries=[make_entry(2, 1)]))
    node.receive(102.2, "b", AppendReply(node.term, True, 2, 1, 7))
    assert node.commit == 1
    node.receive(102.2, "b", AppendReply(node.term, True, 3, 1, 7))
    assert node.commit == 3


def test_a_read_is_current_only_while_a_majority_confirms_the_lease() -> None:
    node = elect(make_node())
    assert not node.is_current(102.1)
    node.receive(102.3, "b", AppendReply(node.term, True, 2, node._round, 7))
    # 0.9 s after the round was sent.
    assert node.is_current(102.3) and node.is_current(102.9) and not node.is_current(103.1)
    node.resign(102.4)
    assert not node.is_current(102.4)


def test_a_resigning_leader_asks_the_voter_with_the_longest_log() -> None:
    node = elect(make_node())
    node.receive(102.2, "b", AppendReply(node.term, True, 1, 1, 7))
    node.receive(102.2, "c", AppendReply(node.term, True, 2, 1, 8))
    assert payloads_to(node.resign(102.3), "c")[-1] == TimeoutNow(node.term) and node.role == raft.FOLLOWER
    successor = make_node("c", term=node.term, vote="a", entries=[make_entry(2, node.term)])
    requests = payloads_to(successor.receive(102.3, "a", TimeoutNow(node.term)), "b")
    assert requests == [RequestVote(node.term + 1, 2, node.term, is_leadership_transfer=True)]


def test_a_halted_voter_is_silent() -> None:
    node = make_node()
    node.is_halted = True
    assert (
        not node.receive(103.0, "b", RequestVote(2, 1, 1))
        and not node.tick(110.0)
        and node.propose(110.0, b"x")[0] == 0
    )


# Verification of the disk.


def test_an_unverified_voter_grants_no_vote_until_all_others_have_replied() -> None:
    node = make_node(is_verified=False, entries=[make_entry(2, 1)])
    assert not payloads_to(node.receive(103.0, "b", RequestVote(2, 9, 9)), "b")
    effects = node.tick(103.0)
    assert payloads_to(effects, "b") == payloads_to(effects, "c") == [StateQuery(node.nonce)]
    node.receive(103.1, "b", StateReply(node.nonce, 0, False, 4, 7, 3))
    node.receive(103.1, "c", StateReply(node.nonce + 1, 0, False, 9, 9, 9))  # nonce of an earlier incarnation
    assert not node.is_verified
    node.receive(103.2, "c", StateReply(node.nonce, 0, False, 2, 5, 3))
    assert node.is_verified and (node.term, node.vote, node.log_floor) == (4, VOTE_SPENT, (3, 7))
    # May lack entries acknowledged here.
    assert payloads_to(node.receive(105.0, "c", RequestVote(5, 6, 3)), "c") == [VoteReply(5, False)]
    assert payloads_to(node.receive(105.0, "b", RequestVote(6, 7, 3)), "b") == [VoteReply(6, True)]


def test_a_leader_verifies_a_voter_once_a_majority_without_it_has_confirmed_and_it_holds_all_entries() -> None:
    node = elect(make_node())
    node.receive(102.2, "b", AppendReply(node.term, True, 2, 1, 7))
    node.receive(102.3, "c", AppendReply(node.term, True, 2, 1, 8, nonce=55))
    assert not node.peers["c"].verified_nonce  # no round since the nonce arrived
    node.tick(node.next_tick())
    node.receive(102.6, "c", AppendReply(node.term, True, 2, node._round, 8, nonce=55))
    assert not node.peers["c"].verified_nonce  # its own reply does not count
    node.receive(102.6, "b", AppendReply(node.term, True, 2, node._round, 7))
    node.receive(102.7, "c", AppendReply(node.term, True, 2, node._round, 8, nonce=55))
    assert node.peers["c"].verified_nonce == 55
    unverified = make_node("c", is_verified=False)
    unverified.receive(103.0, "a", AppendEntries(5, 1, 1, [], 1, 1, verified_nonce=unverified.nonce + 1))
    assert not unverified.is_verified
    effects = unverified.receive(103.0, "a", AppendEntries(5, 1, 1, [], 1, 1, verified_nonce=unverified.nonce))
    assert unverified.is_verified and unverified.vote == "a"
    assert isinstance(effects[0], Persist) and not effects[0].is_unverified


def test_being_unverified_and_the_log_floor_survive_a_restart() -> None:
    node = make_node(is_verified=False)
    step = node.receive(103.0, "b", AppendEntries(4, 1, 1, [make_entry(2, 4)], 1, 1))[0]
    assert isinstance(step, Persist) and step.is_unverified
    assert not Node("a", PersistentState(4, "", True, (3, 3), FIRST_SNAPSHOT), random.Random(1), 100.0).is_verified


def test_a_new_incarnation_resets_the_match_index() -> None:
    """Guards against a leader that keeps the match index of a lost disk: all its appends are rejected (seed 37)."""
    node = elect(make_node())
    node.receive(102.2, "c", AppendReply(node.term, True, 2, 1, 8))
    assert node.peers["c"].match_index == 2
    node.receive(102.3, "c", AppendReply(node.term, False, 1, 1, 9))
    assert node.peers["c"].match_index == 0 and node.peers["c"].next_index == 3  # missing entries are sent at once


def make_empty_node(name: str, seed: int) -> Node:
    return Node(name, PersistentState(), random.Random(seed), 100.0, initial_voters=VOTERS)


def test_initial_voters_bootstrap_only_when_all_of_them_are_empty() -> None:
    voter_a, voter_b = make_empty_node("a", 1), make_empty_node("b", 2)
    voter_a.receive(100.0, "b", StateReply(voter_a.nonce, voter_b.nonce, True, 0, 0, 0))
    assert not voter_a.config.voters
    effects = voter_a.receive(100.0, "c", StateReply(voter_a.nonce, 77, True, 0, 0, 0))
    assert voter_a.config.voters == VOTERS and voter_a.is_verified and isinstance(effects[0], Persist)
    (bootstrap,) = payloads_to(effects, "b")
    assert isinstance(bootstrap, Bootstrap) and bootstrap.nonces == {"b": voter_b.nonce, "c": 77}
    later = make_empty_node("b", 3)
    later.receive(100.0, "a", bootstrap)
    assert not later.is_verified and not later.config.voters  # another incarnation reported it
    voter_b.receive(100.0, "a", bootstrap)
    assert voter_b.config.voters == VOTERS and voter_b.is_verified


@pytest.mark.parametrize(("beyond", "can_bootstrap"), [((1, 1), True), ((2, 1), False), ((1, 2), False)])
def test_a_voter_that_missed_the_bootstrap_joins_only_while_no_other_is_beyond_it(
    beyond: tuple[int, int], can_bootstrap: bool
) -> None:
    voter_b = make_empty_node("b", 2)
    voter_b.receive(100.0, "a", StateReply(voter_b.nonce, 0, False, *beyond, 1))
    voter_b.receive(100.0, "c", StateReply(voter_b.nonce, 9, True, 0, 0, 0))
    assert voter_b.is_verified == can_bootstrap


def test_voters_change_one_at_a_time_and_a_new_one_is_a_learner_first() -> None:
    node = elect(make_node())
    assert node.change_voter(102.2, "d", "4")[0] == "another change is under way"  # no entry of its term is committed
    node.receive(102.2, "b", AppendReply(node.term, True, 2, 1, 7))
    assert node.change_voter(102.2, "d", "4")[0] == "" and list(node.config.learners) == ["d"]
    assert node.change_voter(102.2, "e", "5")[0] == "another change is under way"
    node.receive(102.2, "b", AppendReply(node.term, True, 3, 1, 7))
    assert (
        node.change_voter(102.2, "b", "5")[0] == "b is one already" and node.change_voter(102.2, "z")[0] == "no voter z"
    )
    node.receive(102.3, "d", AppendReply(node.term, True, 3, 1, 4, nonce=5))
    assert "d" in node.config.learners  # not while unverified: it could not vote
    node.receive(102.3, "d", AppendReply(node.term, True, 3, 1, 4))
    assert "d" in node.config.voters and not node.is_settled
    for name in ("b", "c"):
        node.receive(102.4, name, AppendReply(node.term, True, 4, 1, 7))
    assert node.is_settled and node.change_voter(102.5, "b")[0] == "" and "b" not in node.config.voters


# Storage.


def test_a_store_keeps_its_data_and_detects_an_older_copy(tmp_path: Path) -> None:
    def opened() -> LogStore:
        return LogStore(str(tmp_path / "log"), str(tmp_path / "seal"), "a")

    store = opened()
    assert store.load()[0] == PersistentState()
    assert store.store(Persist(1, VOTE_SPENT, False, (0, 0), 2, (), FIRST_SNAPSHOT))
    assert store.store(Persist(3, "b", False, (1, 2), 2, (make_entry(2, 2), make_entry(3, 2), make_entry(4, 3))))
    assert store.store(Persist(3, "b", False, (1, 2), 3, (make_entry(3, 3),)))
    with pytest.raises(StoreError, match="held by voter a"):
        opened()
    store.close()
    copy = (tmp_path / "log" / "data.mdb").read_bytes()
    store = opened()
    kept, sure = store.load()
    assert sure and (kept.term, kept.vote, kept.log_floor) == (3, "b", (1, 2))
    assert [(e.index, e.term) for e in kept.entries] == [(2, 2), (3, 3)] and kept.snapshot == FIRST_SNAPSHOT
    made = Snapshot(2, 2, Config(VOTERS), b"all")
    assert store.store(Persist(4, "", False, (1, 2), 4, (), made))
    kept, _ = store.load()
    assert kept.snapshot == made and [e.index for e in kept.entries] == [3]
    store.close()
    (tmp_path / "log" / "data.mdb").write_bytes(copy)
    store = opened()
    assert not store.load()[1]  # the seal counts more writes
    store.close()
    store = LogStore(str(tmp_path / "log"), str(tmp_path / "other"), "a")
    assert not store.load()[1]
    store.close()
    with pytest.raises(StoreError, match="of voter a"):
        LogStore(str(tmp_path / "log"), str(tmp_path / "seal"), "b")


def test_another_boot_makes_the_store_unverified(tmp_path: Path) -> None:
    paths = str(tmp_path / "log"), str(tmp_path / "seal"), "a"
    store = LogStore(*paths, boot_id=b"one")
    store.store(Persist(1, "", False, (0, 0), 2, (), FIRST_SNAPSHOT))
    store.close()
    store = LogStore(*paths, boot_id=b"two")
    assert not store.load()[1]
    store.close()


def test_a_full_store_writes_nothing_of_a_step_and_reports_why(tmp_path: Path) -> None:
    store = LogStore(str(tmp_path / "log"), str(tmp_path / "seal"), "a", map_size=1 << 17)
    store.store(Persist(1, "", False, (0, 0), 2, (), FIRST_SNAPSHOT))
    index = 2
    while store.store(Persist(1, "a", False, (0, 0), index, (make_entry(index, 1, b"x" * 8000),))):
        index += 1
        assert index < 100
    assert "MDB_MAP_FULL" in store.last_error
    kept, sure = store.load()
    assert sure and [e.index for e in kept.entries] == list(range(2, index))
    store.close()


# State machine and followers.


def test_a_command_is_applied_once_and_its_answer_is_kept() -> None:
    machine = StateMachine({"register": Register()})
    commands = [encode(Command("me", number, "register", b"%d" % number)) for number in range(1, 50)]
    for index, data in enumerate([*commands[:5], commands[2], *commands[5:], commands[0], commands[45]], 1):
        machine.apply(Entry(index, 1, "op", data))
    assert machine.parts["register"].dump()[1] == 49
    assert machine.outcome("me", 47).answer == 47 and machine.outcome("me", 47 - MAX_ANSWERS) is None  # type: ignore
    other = StateMachine({"register": Register()})
    other.restore(Snapshot(machine.index, 1, FIRST_SNAPSHOT.config, machine.dump()))
    other.apply(Entry(machine.index + 1, 1, "op", commands[45]))
    assert other.parts["register"].dump() == machine.parts["register"].dump()


def test_the_state_of_an_unknown_part_is_kept_unchanged() -> None:
    machine, old = StateMachine({"register": Register()}), StateMachine({})
    machine.apply(Entry(1, 1, "op", encode(Command("me", 1, "register", b"x"))))
    old.restore(Snapshot(1, 1, FIRST_SNAPSHOT.config, machine.dump()))
    machine.restore(Snapshot(1, 1, FIRST_SNAPSHOT.config, old.dump()))
    assert machine.parts["register"].dump()[1] == 1
    assert old.apply(Entry(2, 1, "op", encode(Command("me", 2, "register", b"x")))).answer == {  # type: ignore
        "error": "no part register"
    }


def test_a_follower_polls_again_after_a_gap_and_turns_to_another_voter_without_an_answer() -> None:
    node = elect(make_node())
    for number in range(3):
        node.propose(102.1, b"%d" % number)
    node.receive(102.2, "b", AppendReply(node.term, True, 5, 1, 7))
    source, follower = Source(node), Follower(random.Random(1), dict(VOTERS), 100.0)
    poll = follower.tick(100.0)
    assert poll is not None
    update = source.subscribe(102.3, "f", poll[1])
    snapshot, entries = follower.receive(100.1, poll[0], update)
    assert snapshot == FIRST_SNAPSHOT and [e.index for e in entries] == [2, 3, 4, 5]
    assert follower.receive(100.2, poll[0], LogUpdate(9, [make_entry(8, 2)]))[1] == []  # a gap
    assert follower.tick(100.2) is not None
    node.propose(102.4, b"more")
    node.receive(102.4, "b", AppendReply(node.term, True, 6, 1, 7))
    assert [(who, [e.index for e in t.entries]) for who, t in source.take_updates(102.5)] == [("f", [6])]
    # The subscription has expired.
    assert not source.take_updates(102.5) and not source.take_updates(110.0) and not source.subscriptions
    silent = follower.tick(103.0)
    assert silent is not None and silent[0] != poll[0]


# Simulated runs.


@pytest.mark.parametrize("first", range(0, 60, 15))
def test_invariants_hold_under_injected_faults(first: int) -> None:
    result = bench.run_seeds(first, 15, 1)
    assert result["broken"] == [] and result["told"] > 500


@pytest.mark.parametrize("seed", [37, 138, 352])
def test_seeds_that_once_failed_pass(seed: int) -> None:
    assert bench._summarize_seed(seed)["broken"] == ""


def test_the_same_seed_is_the_same_run() -> None:
    assert run(5, 8.0, traced=True) == run(5, 8.0, traced=True)
    assert run(5, 8.0, traced=True).trace != run(6, 8.0, traced=True).trace


def test_the_same_seed_is_the_same_run_in_another_process() -> None:
    """Guards against sending in the iteration order of a set of names, which differs between processes."""
    code = "from brackenpulley.simulation.voters import run; print(run(5, 8.0, traced=True).trace)"
    result = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": str(seed)},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in (1, 2, 3)
    }
    assert len(result) == 1


def test_a_small_model_holds_in_every_order() -> None:
    result = bench.model_check(max_states=4000)
    assert result["broken"] == "" and result["states"] >= 4000


def test_permits_hold_in_every_order_of_commands() -> None:
    result = bench.permits_check(max_states=3000)
    assert result["broken"] == "" and result["states"] >= 3000


def test_quick_checks_find_planted_faults() -> None:
    """One fault of each kind; the benchmark runs all thirteen."""
    for name in ("done_again", "votes_while_unsure", "commit_of_older_term"):
        assert bench._detect_plant(name)["broken"], name


def test_a_killed_leader_is_replaced_within_3_s() -> None:
    durations = []
    for seed in range(15):
        cluster = Cluster(seed, 3, 1)
        world = cluster.world
        assert world.run_until(lambda c=cluster: bool(c.find_leader()) and c.observations.commit_index > 5, 10.0)  # type: ignore[misc]
        world.kill(world.find_host(cluster.find_leader()))
        since, commit = world.now, cluster.observations.commit_index
        assert world.run_until(lambda c=cluster, at=commit: c.observations.commit_index > at + 2, 10.0)  # type: ignore[misc]
        durations.append(world.now - since)
    assert sorted(durations)[7] < 3.0


@pytest.mark.parametrize(
    ("text", "expected_message"),
    [
        ("x kill a", "line 1: 'x' is no time in s"),
        ("1 fly a", "line 1: no fly"),
        ("\n1 kill", "line 2: kill takes 1"),
        ("1 start a gone", "line 1: 'gone' is none of"),
        ("1 loss * much", "line 1: 'much' is no number"),
    ],
)
def test_a_script_names_the_line_that_is_wrong(text: str, expected_message: str) -> None:
    with pytest.raises(ScriptError, match=expected_message):
        parse(text)
