"""Raft in virtual time: seeded runs with faults, model checks, mutation tests and measured costs.

    python -m benchmarks.agreement                          all parts, 10,000 seeds
    python -m benchmarks.agreement --seeds 200 --jobs 2     a short form
    python -m benchmarks.agreement --plant vote_forgotten   one planted fault and the check that finds it
    python -m benchmarks.agreement --seed 37                one run with its faults and violations

The code under test is that of production (consensus/, maintenance/permits); network, disks and clocks are simulated
(simulation/). Exits 1 if an invariant is violated, a planted fault is not found, or a cost exceeds its bound. Also used
by tests/test_consensus."""

from __future__ import annotations

import argparse
import json
import multiprocessing
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import msgspec

from brackenpulley.consensus import raft
from brackenpulley.consensus.agreement import COMPACTION_ENTRIES, Agreement
from brackenpulley.consensus.feed import Follower
from brackenpulley.consensus.machine import StateMachine
from brackenpulley.consensus.raft import FOLLOWER, LEADER, Node, Persist, PersistentState
from brackenpulley.consensus.wire import AddressedPayload, Config, Entry, Snapshot, decode, encode
from brackenpulley.maintenance.order import Bounds, FleetState, Server
from brackenpulley.maintenance.permits import (
    Ask,
    Begin,
    Cleared,
    Command,
    Enter,
    Finish,
    Leave,
    Override,
    Permits,
    Step,
    Withdraw,
)
from brackenpulley.maintenance.permits import encode as encode_command
from brackenpulley.simulation.disk import Disk
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.script import parse
from brackenpulley.simulation.voters import Cluster, RunResult, run

RUN_SECONDS = 24.0
MEAN_FAULT_INTERVAL_SECONDS = 1.0
PLANT_SEEDS = 150  # tried per planted fault
PLANT_MODEL_STATES = 30_000
# Bytes per second that all voters send per follower, at ten entries of 100 bytes per second, one packet each.
MAX_BYTES_PER_FOLLOWER = 3000.0

# Planted faults: each replaces one member of one class, as (class, name of the member, replacement).


def _forget_vote(self: Disk, step: Persist) -> bool:
    return _original_store(
        self,
        raft.Persist(step.term, "", step.is_unverified, step.log_floor, step.first_index, step.entries, step.snapshot),
    )


def _answer_before_sync(self: Disk, step: Persist) -> bool:
    """Writes each step only with the next one, so that a crash loses the last."""
    pending = _delayed_steps.setdefault(id(self), [])
    pending.append(step)
    if len(pending) > 1:
        _original_store(self, pending.pop(0))
    return True


_delayed_steps: dict[int, list[Persist]] = {}
_original_store = Disk.store


def _commit_older_term(self: Node) -> None:
    matches = sorted(
        (self.last_index if name == self.name else self.peers[name].match_index for name in self.config.voters),
        reverse=True,
    )
    self._commit_to(max(self.commit, matches[self.config.majority - 1]))


def _keep_conflicts(self: Node, entries: list[Entry]) -> None:
    """Keeps conflicting entries; appends only those beyond the end of the log."""
    for entry in entries:
        if entry.index == self.last_index + 1:
            self._first_unsaved = self._first_unsaved or entry.index
            self.entries.append(entry)
            self._note_config(entry)


def _read_as_stale_leader(self: Node, now: float) -> bool:
    return self.role == LEADER and not self.is_halted and self.commit >= self._term_start_index


def _verified_at_once(self: Node) -> bool:
    return True


def _accept_gap(self: Follower, now: float, source: str, update: Any) -> tuple[Any, Any]:
    self.heard_at = now
    self.commit, self.leader = max(self.commit, update.commit), update.leader
    snapshot = update.snapshot if update.snapshot is not None and update.snapshot.index > self.index else None
    fresh = [entry for entry in update.entries if entry.index > self.index]
    if snapshot is not None:
        self.index = snapshot.index
    if fresh:
        self.index = fresh[-1].index
    return snapshot, [
        Entry(self.index - len(fresh) + 1 + at, e.term, e.kind, e.data, e.timestamp) for at, e in enumerate(fresh)
    ]


def _apply_repeated_proposals(self: StateMachine, entry: Entry) -> Any:
    self._answers.clear()
    return _original_apply(self, entry)


def _forget_proposal_answers(self: StateMachine, snapshot: Snapshot) -> None:
    _original_restore(self, snapshot)
    self._answers.clear()


def _half_of_voters(self: Config) -> int:
    return max(1, len(self.voters) // 2)


def _verify_by_one_peer(self: Node, source: str, peer: raft.Progress) -> None:
    if peer.nonce:
        peer.verified_nonce = peer.nonce


def _apply_before_commit(self: Agreement, entries: Any) -> None:
    _original_apply_entries(self, entries)
    node = self.node
    if node is not None and node.role == LEADER:
        ahead = [e for e in node.entries if e.index > self.machine.index]
        node.applied = node.commit = max(node.commit, ahead[-1].index if ahead else 0)
        _original_apply_entries(self, ahead)


_original_apply, _original_restore, _original_apply_entries = (
    StateMachine.apply,
    StateMachine.restore,
    Agreement._apply_entries,
)

PLANTS: dict[str, tuple[Any, str, Any]] = {
    "vote_forgotten": (Disk, "store", _forget_vote),
    "answered_before_sync": (Disk, "store", _answer_before_sync),
    "log_not_compared": (Node, "_is_log_behind", lambda self, term, index: False),
    "commit_of_older_term": (Node, "_advance_commit", _commit_older_term),
    "conflicts_kept": (Node, "_replace_suffix", _keep_conflicts),
    "stale_leader_reads": (Node, "is_current", _read_as_stale_leader),
    "votes_while_unsure": (Node, "is_verified", property(_verified_at_once)),
    "gap_taken": (Follower, "receive", _accept_gap),
    "done_again": (StateMachine, "apply", _apply_repeated_proposals),
    "askers_forgotten": (StateMachine, "restore", _forget_proposal_answers),
    "half_is_enough": (Config, "majority", property(_half_of_voters)),
    "votes_under_a_lease": (Node, "_has_live_leader", lambda self: False),
    "told_before_committed": (Agreement, "_apply_entries", _apply_before_commit),
}


@contextmanager
def apply_plant(name: str) -> Iterator[None]:
    """Applies one planted fault and reverts it at the end."""
    owner, member, replacement = PLANTS[name]
    before = owner.__dict__[member]
    setattr(owner, member, replacement)
    try:
        yield
    finally:
        setattr(owner, member, before)
        _delayed_steps.clear()


# Schedules that random faults seldom produce; run before the seeds.
SCRIPTS = {
    "the only other holder loses its disk": """
        3 part v0,v1 v2
        6 kill v1
        6.05 kill v0
        6.1 start v1 lost
        6.2 heal
        12 start v0 kept""",
    "the only other holder restarts from an old disk": """
        2 copy v1
        3 part v0,v1 v2
        6 kill v1
        6.05 kill v0
        6.1 start v1 old
        6.2 heal
        12 start v0 kept""",
    "a leader is stopped through an election": """
        4 stop leader
        7 go v0
        7 go v1
        7 go v2
        9 stop leader
        11 go v0
        11 go v1
        11 go v2""",
    "one voter does not hear the leader, the other hears both": """
        3 part leader v1
        6 heal
        7 part leader v2
        10 heal
        11 part leader v0
        14 heal""",
}


# Run at a low rate: at a high one the log of the voter that does not hear the leader is soon too short.
LOW_RATE_SCRIPTS = {"one voter does not hear the leader, the other hears both"}


def run_script(name: str, seed: int) -> RunResult:
    """Runs one schedule of SCRIPTS."""
    rate = 0.2 if name in LOW_RATE_SCRIPTS else 20.0
    return run(
        seed,
        16.0,
        faults=parse(SCRIPTS[name]),
        rate=rate,
        allow_any_disk_damage=True,
        skew=0.04,
        links=Links(Link(delay=0.02, jitter=0.01)),
    )


def run_seed(seed: int) -> RunResult:
    """Runs one seed with three or five voters and frequent faults, also during elections.

    Some seeds have slow, lossy links and a high rate of proposals."""
    if seed % 10 == 7:
        return run(
            seed,
            RUN_SECONDS,
            voters=5,
            mean_fault_interval=0.4,
            rate=12.0,
            skew=0.04,
            links=Links(Link(delay=0.03, jitter=0.02, loss=0.02, duplication=0.02)),
        )
    return run(
        seed,
        RUN_SECONDS,
        voters=3 if seed % 2 else 5,
        mean_fault_interval=MEAN_FAULT_INTERVAL_SECONDS * (0.3 + seed % 3 * 0.6),
        rate=3.0,
        skew=0.04,
        prepare=compact_often if seed % 4 == 0 else None,
    )


def compact_often(cluster: Cluster) -> None:
    """Lowers the threshold for compaction, so that a run takes many snapshots."""
    import brackenpulley.consensus.agreement as agreement

    agreement.COMPACTION_ENTRIES = 20


def _summarize_seed(seed: int) -> dict[str, Any]:
    import brackenpulley.consensus.agreement as agreement

    try:
        result = run_seed(seed)
    finally:
        agreement.COMPACTION_ENTRIES = COMPACTION_ENTRIES
    return {
        "seed": seed,
        "events": result.event_count,
        "told": result.acknowledged,
        "lost": result.abandoned,
        "elections": result.elections,
        "broken": result.violation,
    }


def run_seeds(first: int, count: int, jobs: int) -> dict[str, Any]:
    """Runs consecutive seeds in parallel and sums up their results."""
    start = time.monotonic()
    if jobs > 1:
        with multiprocessing.Pool(jobs) as pool:
            rows = pool.map(_summarize_seed, range(first, first + count), chunksize=10)
    else:
        rows = [_summarize_seed(seed) for seed in range(first, first + count)]
    return {
        "seeds": count,
        "broken": [(row["seed"], row["broken"]) for row in rows if row["broken"]],
        "events": sum(row["events"] for row in rows),
        "told": sum(row["told"] for row in rows),
        "elections": sum(row["elections"] for row in rows),
        "wallS": round(time.monotonic() - start, 1),
    }


def _detect_plant(name: str) -> dict[str, Any]:
    with apply_plant(name):
        if violation := figure_8():
            return {"plant": name, "seed": "figure 8", "broken": violation[:120]}
        for script in SCRIPTS:
            for seed in range(6):
                if violation := run_script(script, seed).violation:
                    return {"plant": name, "seed": f"{script}, {seed}", "broken": violation[:120]}
        if violation := model_check(max_states=PLANT_MODEL_STATES)["broken"]:
            return {"plant": name, "seed": "model", "broken": violation[:120]}
        for seed in range(PLANT_SEEDS):
            summary = _summarize_seed(seed)
            if summary["broken"]:
                return {"plant": name, "seed": seed, "broken": summary["broken"][:120]}
        return {"plant": name, "seed": "", "broken": ""}


def detect_plants(names: list[str], jobs: int) -> list[dict[str, Any]]:
    """Runs the checks against each planted fault; `broken` is the violation found, "" if none."""
    if jobs > 1:
        with multiprocessing.Pool(jobs) as pool:
            return pool.map(_detect_plant, names, chunksize=1)
    return [_detect_plant(name) for name in names]


# Model check: explores all orders of messages, losses, duplicates, elections and one crash in a small scope.


class FixedRandom:
    """Random generator that returns constants."""

    def random(self) -> float:
        """Returns 0.5."""
        return 0.5

    def getrandbits(self, count: int) -> int:
        """Returns 0."""
        return 0


VOTER_NAMES = ("a", "b", "c")
FIRST_SNAPSHOT = Snapshot(1, 1, Config({name: name for name in VOTER_NAMES}))
SentMessage = tuple[str, str, bytes]


class Model:
    """State of three voters, their disks and the set of messages sent; each may arrive never, once or repeatedly."""

    __slots__ = ("nodes", "disks", "sent", "committed", "crash_count", "proposal_count")

    def __init__(self) -> None:
        self.nodes = {
            name: Node(name, PersistentState(1, "-", snapshot=FIRST_SNAPSHOT), FixedRandom(), 0.0)  # type: ignore[arg-type]
            for name in VOTER_NAMES
        }
        self.disks = {name: Disk(PersistentState(1, "-", snapshot=FIRST_SNAPSHOT)) for name in VOTER_NAMES}
        self.sent: frozenset[SentMessage] = frozenset()
        self.committed: tuple[tuple[int, int], ...] = ()  # (index, term)
        self.crash_count = self.proposal_count = 0

    def copy(self, name: str) -> Model:
        """Returns a copy in which everything that a step of this voter can change is separate."""
        copy = Model.__new__(Model)
        copy.nodes, copy.disks = dict(self.nodes), dict(self.disks)
        old, node = self.nodes[name], Node.__new__(Node)
        node.__dict__.update(old.__dict__)
        node.entries, node.votes, node._configs = list(old.entries), set(old.votes), list(old._configs)
        node.peers = {peer: raft.Progress(p.next_index, p.match_index, 0.0) for peer, p in old.peers.items()}
        node.counts, node._pending_effects = {}, []
        disk = self.disks[name].stored
        copy.nodes[name] = node
        copy.disks[name] = Disk(
            PersistentState(disk.term, disk.vote, False, (0, 0), disk.snapshot, list(disk.entries)), 1, 1
        )
        copy.sent, copy.committed, copy.crash_count, copy.proposal_count = (
            self.sent,
            self.committed,
            self.crash_count,
            self.proposal_count,
        )
        # Time stands still, so no leader lease is valid.
        node._round, node._round_sent_at, node._leader_heard_at = 0, {}, -9.0
        return copy

    def apply_effects(self, name: str, effects: list[raft.Effect]) -> str:
        """Executes effects in order; returns a violated invariant, "" if none."""
        node = self.nodes[name]
        for effect in effects:
            if isinstance(effect, Persist):
                self.disks[name].store(effect)
            elif isinstance(effect, raft.Send):
                self.sent |= {(name, effect.to, encode(AddressedPayload(name, effect.to, effect.payload)))}
            elif isinstance(effect, raft.Apply):
                known = dict(self.committed)
                for entry in effect.entries:
                    if known.setdefault(entry.index, entry.term) != entry.term:
                        return f"{name} commits term {entry.term} at {entry.index}, not {known[entry.index]}"
                self.committed = tuple(sorted(known.items()))
        if node.role == LEADER:
            for other in self.nodes.values():
                if other is not node and other.role == LEADER and other.term == node.term:
                    return f"{name} and {other.name} lead in term {node.term}"
            for index, term in self.committed:
                if term < node.term and node.term_at(index) not in (term, FIRST_SNAPSHOT.term):
                    return f"{name} leads in term {node.term} without committed entry {index}"
        return ""

    def key(self) -> Any:
        """Returns a hashable key that identifies the state."""
        rows = []
        for name in VOTER_NAMES:
            node, disk = self.nodes[name], self.disks[name].stored
            rows.append(
                (
                    node.role,
                    node.term,
                    node.vote,
                    node.commit,
                    node.leader,
                    frozenset(node.votes),
                    tuple((e.term, e.kind) for e in node.entries),
                    tuple((p, node.peers[p].next_index, node.peers[p].match_index) for p in sorted(node.peers)),
                    disk.term,
                    disk.vote,
                    tuple((e.term, e.kind) for e in disk.entries),
                )
            )
        return tuple(rows), self.sent, self.crash_count, self.proposal_count


Move = tuple[str, str, Callable[[Node], Any]]


def list_moves(
    model: Model, max_term: int, max_crashes: int, max_commands: int, sends_heartbeats: bool
) -> Iterator[Move]:
    """Yields all moves from a state, as (voter, description, call on its node)."""
    for name, node in model.nodes.items():
        if node.role != LEADER and node.term < max_term:
            yield name, f"{name} starts an election", lambda n: (n._start_election(), n._take_effects())[1]
        if node.role == LEADER and model.proposal_count < max_commands:
            yield name, f"{name} proposes", lambda n: n.propose(0.0, b"x")[1]
        if node.role == LEADER and sends_heartbeats:
            yield name, f"{name} sends heartbeats", lambda n: (n._replicate(include_current=True), n._take_effects())[1]
        if model.crash_count < max_crashes and (node.role != FOLLOWER or node.entries or node.term > 1):
            yield name, f"{name} crashes", lambda n: None
    for source, to, data in model.sent:
        payload = decode(data).payload
        yield to, f"{to} receives {payload}", lambda n, source=source, payload=payload: n.receive(0.0, source, payload)  # type: ignore


# (highest term, crashes, commands, whether leaders send heartbeats), each small enough to explore fully, or nearly.
SCOPES = ((2, 1, 0, False), (2, 0, 1, False), (3, 0, 0, False), (3, 1, 1, True))


def model_check(max_states: int = 200_000) -> dict[str, Any]:
    """Explores every scope, up to `max_states` states each."""
    rows = [explore(*scope, max_states=max_states) for scope in SCOPES]
    broken = next((row for row in rows if row["broken"]), None)
    return {
        "states": sum(row["states"] for row in rows),
        "whole": [row["whole"] for row in rows],
        "depth": [row["depth"] for row in rows],
        "broken": broken["broken"] if broken else "",
        "path": broken["path"] if broken else [],
    }


def explore(
    max_term: int, max_crashes: int, max_commands: int, sends_heartbeats: bool, max_states: int
) -> dict[str, Any]:
    """Explores one scope breadth first, so that a violation comes with a shortest path.

    `whole` is true if no state was left unexplored."""
    first = Model()
    seen = {first.key()}
    layer: list[tuple[Model, tuple[str, ...]]] = [(first, ())]
    depth = 0
    while layer and len(seen) < max_states:
        depth += 1
        next_layer: list[tuple[Model, tuple[str, ...]]] = []
        for model, path in layer:
            for name, description, call in list_moves(model, max_term, max_crashes, max_commands, sends_heartbeats):
                copy = model.copy(name)
                copy.proposal_count += description.endswith("proposes")
                if description.endswith("crashes"):
                    copy.crash_count += 1
                    copy.nodes[name] = Node(name, copy.disks[name].load()[0], FixedRandom(), 0.0)  # type: ignore[arg-type]
                    violation = ""
                else:
                    violation = copy.apply_effects(name, call(copy.nodes[name]))
                if violation:
                    return {
                        "states": len(seen),
                        "depth": depth,
                        "whole": False,
                        "broken": violation,
                        "path": [*path, description],
                    }
                key = copy.key()
                if key not in seen:
                    seen.add(key)
                    next_layer.append((copy, (*path, description)))
                    if len(seen) >= max_states:
                        break
            if len(seen) >= max_states:
                break
        layer = next_layer
    return {"states": len(seen), "depth": depth, "whole": not layer, "broken": "", "path": []}


def permits_check(max_states: int = 100_000) -> dict[str, Any]:
    """Explores all orders of permit commands, with duplicates and stale tokens.

    Two machines share a zone in which one may be out; of two ingresses one may restart. Time stands still, so that no
    permit is late."""
    server = Server("a", "m", 1.0, True)
    fleet_state, bounds = FleetState({f"s{n}": server for n in range(3)}, 0.0, [True, True], 1), Bounds(1, 1)
    lives = ("x@1", "y@1", "y@2")
    fixed: list[Command] = [
        Ask("p", "o", ["s0"], zone="a"),
        Ask("q", "o", ["s1"], zone="a", urgency=1),
        Step(fleet_state, bounds, 0.0, 9e9, ["p", "q"]),
        Enter("y", "y@2"),
        Leave("x", "x@1"),
    ]
    first = Permits()
    for name in ("x", "y"):
        first.apply(0.0, encode_command(Enter(name, f"{name}@1")))
    seen, layer, depth = {encode_state(first)}, [first], 0
    while layer and len(seen) < max_states:
        depth, next_layer = depth + 1, list[Permits]()
        for state in layer:
            commands = list(fixed)
            for name, job in state.jobs.items():
                commands.append(Withdraw(name, "o"))
                commands += [Override(name, "o")] if not job.overrides else []
                for token in {job.token, max(1, job.token - 1)} if job.token else ():
                    commands += [
                        Begin(name, token),
                        Finish(name, token),
                        *(Cleared(name, token, life[0], life) for life in lives),
                    ]
            for command in commands:
                copy = Permits()
                copy.load(state.dump())
                copy.apply(0.0, encode_command(command))
                if violation := find_permit_violation(state, copy, command):
                    return {"states": len(seen), "depth": depth, "whole": False, "broken": violation}
                if copy.token <= 3 and (key := encode_state(copy)) not in seen:
                    seen.add(key)
                    next_layer.append(copy)
        layer = next_layer
    return {"states": len(seen), "depth": depth, "whole": not layer, "broken": ""}


def find_permit_violation(old: Permits, new: Permits, command: Command) -> str:
    """Returns the invariant that a command violates, "" if none."""
    if len(new.list_out()) > 1:
        return f"too many machines out: {[job.id for job in new.list_out()]}"
    for job in new.jobs.values():
        before = old.jobs.get(job.id)
        if before is None or before.state in ("done", "withdrawn"):
            continue
        if job.token != before.token and not old.token < job.token <= new.token:
            return f"{job.id}: token {job.token} after {before.token} of {old.token}"
        if job.state == "at work" and before.state not in ("clear", "at work"):
            return f"{job.id} is at work and was {before.state}"
        missing = [life for life in new.incarnations.values() if life not in job.cleared_by]
        if (
            job.state == "clear"
            and before.state == "clearing"
            and missing
            and len(job.overrides) == len(before.overrides)
        ):
            return f"{job.id} is clear without confirmation by {missing}"
        names_job = isinstance(command, Begin | Finish | Cleared) and command.id == job.id
        if names_job and command.token != before.token and job != before:  # type: ignore[union-attr]
            return f"{command} moved {job.id}, whose token is {before.token}"
    return ""


def encode_state(permits: Permits) -> bytes:
    """Encodes what distinguishes states; how often a permit was passed over does not."""
    rows = [
        (job.id, job.state, job.token, sorted(job.cleared_by), job.stuck_from, len(job.overrides))
        for job in permits.jobs.values()
    ]
    return msgspec.msgpack.encode((permits.token, rows, sorted(permits.incarnations.items())))


def figure_8() -> str:
    """Replays figure 8 of Ongaro and Ousterhout's Raft paper with three voters and one entry per message.

    A majority holds an entry of an older term, which the leader must not count as committed. Returns the violation,
    "" if none."""
    names, before = list(VOTER_NAMES), Node.entries_after.__defaults__
    nodes = {name: Node(name, PersistentState(1, "-", snapshot=FIRST_SNAPSHOT), FixedRandom(), 0.0) for name in names}  # type: ignore[arg-type]
    committed: dict[int, int] = {}
    violation = ""

    def apply_effects(name: str, effects: list[raft.Effect]) -> list[tuple[str, Any]]:
        nonlocal violation
        for effect in effects:
            if isinstance(effect, raft.Apply):
                for entry in effect.entries:
                    if committed.setdefault(entry.index, entry.term) != entry.term:
                        violation = f"{name} commits term {entry.term} at {entry.index}, not {committed[entry.index]}"
        return [(effect.to, effect.payload) for effect in effects if isinstance(effect, raft.Send)]

    def exchange(source: str, to: str, sent: list[tuple[str, Any]], rounds: int) -> None:
        """Delivers messages and replies between two voters for some rounds."""
        for _ in range(rounds):
            delivered = [payload for receiver, payload in sent if receiver == to]
            replies = [
                payload
                for payload in delivered
                for receiver, payload in apply_effects(to, nodes[to].receive(0.0, source, payload))
            ]
            sent = [
                pair for payload in replies for pair in apply_effects(source, nodes[source].receive(0.0, to, payload))
            ]

    def elect(name: str, voter: str) -> list[tuple[str, Any]]:
        for node in nodes.values():
            node._leader_heard_at = -9.0
        node, peer = nodes[name], nodes[voter]
        node._start_election()
        votes = [payload for receiver, payload in apply_effects(name, node._take_effects()) if receiver == voter]
        answers = [
            payload for vote in votes for receiver, payload in apply_effects(voter, peer.receive(0.0, name, vote))
        ]
        return [pair for answer in answers for pair in apply_effects(name, node.receive(0.0, voter, answer))]

    Node.entries_after.__defaults__ = (1,)
    try:
        elect("a", "b")  # its first entry reaches no other voter
        nodes["c"].term = nodes["a"].term
        elect("c", "b")  # the same, a term later
        nodes["a"].receive(0.0, "c", raft.AppendReply(nodes["c"].term, False, 0, 0, 1))
        exchange("a", "b", elect("a", "b"), 2)  # two of three now hold its entry of the older term
        nodes["c"].receive(0.0, "a", raft.AppendReply(nodes["a"].term, False, 0, 0, 1))
        for voter in ("b", "a"):
            exchange("c", voter, elect("c", voter), 3)
            if nodes["c"].role == LEADER:
                exchange(
                    "c",
                    voter,
                    apply_effects("c", (nodes["c"]._replicate(include_current=True), nodes["c"]._take_effects())[1]),
                    3,
                )
    finally:
        Node.entries_after.__defaults__ = before
    return violation


def measure_costs(followers: int, seconds: float = 20.0, rate: float = 10.0) -> dict[str, Any]:
    """Measures bytes per second and the duration of a command with five voters and no faults."""
    cluster = Cluster(1, 5, followers, 0.0001, links=Links(Link(jitter=0.002)))
    sent: dict[str, int] = {}

    def count_bytes(host: Any, send: Any) -> None:
        sent[host.name] = sent.get(host.name, 0) + len(send.body.data) + 60  # the envelope with its authentication tag

    cluster.is_proposing = False
    world = cluster.world
    world.run_until(lambda: bool(cluster.find_leader()) and cluster.has_converged(), 20.0)
    world.on_send = count_bytes
    durations: list[float] = []
    begin = world.now
    follower = world.find_host("f0")

    def propose(number: int) -> None:
        agreement, when = cluster.find_agreement(follower), world.now
        assert agreement is not None
        agreement.propose(
            follower.to_local_time(when),
            "register",
            b"x" * 80 + str(number).encode(),
            10.0,
            lambda outcome: durations.append(world.now - when),
        )
        world.apply_effects(follower, follower.process.said())  # type: ignore[union-attr]

    for number in range(int(seconds * rate)):
        world.schedule(begin + number / rate, lambda number=number: propose(number))  # type: ignore[misc]
    world.run(begin + seconds + 2.0)
    durations.sort()
    voter_rates = [sent.get(name, 0) / seconds for name in cluster.voter_names]
    follower_rates = [sent.get(f"f{n}", 0) / seconds for n in range(followers)]
    return {
        "followers": followers,
        "entriesASecond": rate,
        "done": len(durations),
        "medianMs": round(durations[len(durations) // 2] * 1000, 1),
        "mostMs": round(durations[-1] * 1000, 1),
        "voterBytesASecond": round(max(voter_rates)),
        "followerBytesASecond": round(max(follower_rates)),
        "bytesAFollower": round(sum(voter_rates) / followers),
    }


def main() -> int:
    """Runs all parts or a single seed or planted fault and prints JSON; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=-1)
    parser.add_argument("--jobs", type=int, default=max(1, multiprocessing.cpu_count() - 1))
    parser.add_argument("--plant", choices=sorted(PLANTS), default="")
    parser.add_argument("--states", type=int, default=200_000)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if options.seed >= 0:
        result = run_seed(options.seed)
        print("\n".join(map(str, result.faults)))
        print(json.dumps(_summarize_seed(options.seed)))
        return int(bool(result.violation))
    if options.plant:
        detection = _detect_plant(options.plant)
        print(json.dumps(detection))
        return int(not detection["broken"])
    report: dict[str, Any] = {
        "seeds": run_seeds(0, options.seeds, options.jobs),
        "stories": [
            (name, seed, violation)
            for name in SCRIPTS
            for seed in range(20)
            if (violation := run_script(name, seed).violation)
        ],
        "figure8": figure_8(),
        "model": model_check(max_states=options.states),
        "permits": permits_check(options.states),
        "plants": detect_plants(sorted(PLANTS), options.jobs),
        "costs": [measure_costs(40), measure_costs(200)],
    }
    print(json.dumps(report, indent=None if options.json else 1))
    has_failed = (
        report["seeds"]["broken"]
        or report["stories"]
        or report["figure8"]
        or report["model"]["broken"]
        or report["permits"]["broken"]
        or any(not row["broken"] for row in report["plants"])
        or any(row["bytesAFollower"] > MAX_BYTES_PER_FOLLOWER for row in report["costs"])
    )
    return int(bool(has_failed))


if __name__ == "__main__":
    sys.exit(main())
