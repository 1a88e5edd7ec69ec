"""The agreed log in virtual time: thousands of seeds with faults, a model check, planted faults, and what it costs.

    python -m benchmarks.agreement                          all parts, 10,000 seeds
    python -m benchmarks.agreement --seeds 200 --jobs 2     a short form
    python -m benchmarks.agreement --plant vote_forgotten   one planted fault: the seed that finds it
    python -m benchmarks.agreement --seed 37                one run, its script and what broke

The code is the one that serves (consensus/); net, disks and clocks are those of simulation/. Exits 1 where an invariant
is broken, a plant is not found, or a bound of the costs is passed."""

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
from brackenpulley.maintenance.permits import encode as pack_command
from brackenpulley.simulation.disk import Disk
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.script import parse
from brackenpulley.simulation.voters import Cluster, RunResult, run

SECONDS, EVERY = 24.0, 1.0  # of one run; between faults on average
PLANT_SEEDS, MODEL_STATES = 150, 30_000
BYTES_A_FOLLOWER = 3000.0  # a second at most over all voters, at ten entries of 100 bytes a second, a packet each

# Planted faults: single changes, each as (of what, name of the member, what stands in its place).


def _vote_forgotten(self: Disk, step: Persist) -> bool:
    return _store(
        self,
        raft.Persist(step.term, "", step.is_unverified, step.log_floor, step.first_index, step.entries, step.snapshot),
    )


def _answered_before_sync(self: Disk, step: Persist) -> bool:
    """What is written now reaches the disk with the next step: a crash loses the last one."""
    late = _LATE.setdefault(id(self), [])
    late.append(step)
    if len(late) > 1:
        _store(self, late.pop(0))
    return True


_LATE: dict[int, list[Persist]] = {}
_store = Disk.store


def _commit_of_older_term(self: Node) -> None:
    matches = sorted(
        (self.last_index if name == self.name else self.peers[name].match_index for name in self.config.voters),
        reverse=True,
    )
    self._commit_to(max(self.commit, matches[self.config.majority - 1]))


def _kept_conflicts(self: Node, entries: list[Entry]) -> None:
    """What conflicts stays; only what is beyond the end is added."""
    for entry in entries:
        if entry.index == self.last_index + 1:
            self._first_unsaved = self._first_unsaved or entry.index
            self.entries.append(entry)
            self._note_config(entry)


def _old_reading(self: Node, now: float) -> bool:
    return self.role == LEADER and not self.is_halted and self.commit >= self._term_start_index


def _sure_at_once(self: Node) -> bool:
    return True


def _gap_taken(self: Follower, now: float, source: str, word: Any) -> tuple[Any, Any]:
    self.heard_at = now
    self.commit, self.leader = max(self.commit, word.commit), word.leader
    snapshot = word.snapshot if word.snapshot is not None and word.snapshot.index > self.index else None
    fresh = [entry for entry in word.entries if entry.index > self.index]
    if snapshot is not None:
        self.index = snapshot.index
    if fresh:
        self.index = fresh[-1].index
    return snapshot, [
        Entry(self.index - len(fresh) + 1 + at, e.term, e.kind, e.data, e.timestamp) for at, e in enumerate(fresh)
    ]


def _done_again(self: StateMachine, entry: Entry) -> Any:
    self._answers.clear()
    return _apply(self, entry)


def _askers_forgotten(self: StateMachine, snapshot: Snapshot) -> None:
    _restore(self, snapshot)
    self._answers.clear()


def _half(self: Config) -> int:
    return max(1, len(self.voters) // 2)


def _cleared_by_one(self: Node, source: str, peer: raft.Progress) -> None:
    if peer.nonce:
        peer.verified_nonce = peer.nonce


def _told_before_committed(self: Agreement, entries: Any) -> None:
    _apply_all(self, entries)
    node = self.node
    if node is not None and node.role == LEADER:
        ahead = [e for e in node.entries if e.index > self.machine.index]
        node.applied = node.commit = max(node.commit, ahead[-1].index if ahead else 0)
        _apply_all(self, ahead)


_apply, _restore, _apply_all = StateMachine.apply, StateMachine.restore, Agreement._apply_entries

PLANTS: dict[str, tuple[Any, str, Any]] = {
    "vote_forgotten": (Disk, "store", _vote_forgotten),
    "answered_before_sync": (Disk, "store", _answered_before_sync),
    "log_not_compared": (Node, "_is_log_behind", lambda self, term, index: False),
    "commit_of_older_term": (Node, "_advance_commit", _commit_of_older_term),
    "conflicts_kept": (Node, "_replace_suffix", _kept_conflicts),
    "stale_leader_reads": (Node, "is_current", _old_reading),
    "votes_while_unsure": (Node, "is_verified", property(_sure_at_once)),
    "gap_taken": (Follower, "receive", _gap_taken),
    "done_again": (StateMachine, "apply", _done_again),
    "askers_forgotten": (StateMachine, "restore", _askers_forgotten),
    "half_is_enough": (Config, "majority", property(_half)),
    "votes_under_a_lease": (Node, "_has_live_leader", lambda self: False),
    "told_before_committed": (Agreement, "_apply_entries", _told_before_committed),
}


@contextmanager
def planted(name: str) -> Iterator[None]:
    """The one change, taken back at the end."""
    owner, member, change = PLANTS[name]
    before = owner.__dict__[member]
    setattr(owner, member, change)
    try:
        yield
    finally:
        setattr(owner, member, before)
        _LATE.clear()


# What chance seldom brings about: each runs before the seeds do.
SCRIPTS = {
    "the only other holder loses its disk": """
        3 part v0,v1 v2
        6 kill v1
        6.05 kill v0
        6.1 start v1 lost
        6.2 heal
        12 start v0 kept""",
    "the only other holder comes back as it was": """
        2 copy v1
        3 part v0,v1 v2
        6 kill v1
        6.05 kill v0
        6.1 start v1 old
        6.2 heal
        12 start v0 kept""",
    "a leader stands still through an election": """
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


QUIET = {"one voter does not hear the leader, the other hears both"}  # with much to say, its log is soon too short


def scripted(name: str, seed: int) -> RunResult:
    rate = 0.2 if name in QUIET else 20.0
    return run(
        seed,
        16.0,
        faults=parse(SCRIPTS[name]),
        rate=rate,
        allow_any_disk_damage=True,
        skew=0.04,
        links=Links(Link(delay=0.02, jitter=0.01)),
    )


def one(seed: int) -> RunResult:
    """Three voters, or five; faults come thick, in the phases of elections too. Some have slow ways and much to say."""
    if seed % 10 == 7:
        return run(
            seed,
            SECONDS,
            voters=5,
            mean_fault_interval=0.4,
            rate=12.0,
            skew=0.04,
            links=Links(Link(delay=0.03, jitter=0.02, loss=0.02, duplication=0.02)),
        )
    return run(
        seed,
        SECONDS,
        voters=3 if seed % 2 else 5,
        mean_fault_interval=EVERY * (0.3 + seed % 3 * 0.6),
        rate=3.0,
        skew=0.04,
        prepare=small_log if seed % 4 == 0 else None,
    )


def small_log(cluster: Cluster) -> None:
    """Snapshots every few entries."""
    import brackenpulley.consensus.agreement as agreement

    agreement.COMPACTION_ENTRIES = 20


def _seed(seed: int) -> dict[str, Any]:
    import brackenpulley.consensus.agreement as agreement

    try:
        ran = one(seed)
    finally:
        agreement.COMPACTION_ENTRIES = COMPACTION_ENTRIES
    return {
        "seed": seed,
        "events": ran.event_count,
        "told": ran.acknowledged,
        "lost": ran.abandoned,
        "elections": ran.elections,
        "broken": ran.violation,
    }


def seeds(first: int, count: int, jobs: int) -> dict[str, Any]:
    began = time.monotonic()
    if jobs > 1:
        with multiprocessing.Pool(jobs) as pool:
            rows = pool.map(_seed, range(first, first + count), chunksize=10)
    else:
        rows = [_seed(seed) for seed in range(first, first + count)]
    return {
        "seeds": count,
        "broken": [(row["seed"], row["broken"]) for row in rows if row["broken"]],
        "events": sum(row["events"] for row in rows),
        "told": sum(row["told"] for row in rows),
        "elections": sum(row["elections"] for row in rows),
        "wallS": round(time.monotonic() - began, 1),
    }


def _find(name: str) -> dict[str, Any]:
    with planted(name):
        if wrong := figure_8():
            return {"plant": name, "seed": "figure 8", "broken": wrong[:120]}
        for script in SCRIPTS:
            for seed in range(6):
                if wrong := scripted(script, seed).violation:
                    return {"plant": name, "seed": f"{script}, {seed}", "broken": wrong[:120]}
        if wrong := model_check(most=MODEL_STATES)["broken"]:
            return {"plant": name, "seed": "model", "broken": wrong[:120]}
        for seed in range(PLANT_SEEDS):
            found = _seed(seed)
            if found["broken"]:
                return {"plant": name, "seed": seed, "broken": found["broken"][:120]}
        return {"plant": name, "seed": "", "broken": ""}


def plants(names: list[str], jobs: int) -> list[dict[str, Any]]:
    if jobs > 1:
        with multiprocessing.Pool(jobs) as pool:
            return pool.map(_find, names, chunksize=1)
    return [_find(name) for name in names]


# The model check: every order of messages, losses, doubles, elections and one crash, at a small scope.


class Still:
    """Randomness that is none."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, count: int) -> int:
        return 0


NAMES = ("a", "b", "c")
FIRST = Snapshot(1, 1, Config({name: name for name in NAMES}))
Sent = tuple[str, str, bytes]


class Model:
    """Three voters, a set of words that were sent (each may arrive never, once, or again), what is on their disks."""

    __slots__ = ("nodes", "disks", "sent", "committed", "crashes", "asked")

    def __init__(self) -> None:
        self.nodes = {name: Node(name, PersistentState(1, "-", snapshot=FIRST), Still(), 0.0) for name in NAMES}  # type: ignore[arg-type]
        self.disks = {name: Disk(PersistentState(1, "-", snapshot=FIRST)) for name in NAMES}
        self.sent: frozenset[Sent] = frozenset()
        self.committed: tuple[tuple[int, int], ...] = ()  # (index, term)
        self.crashes = self.asked = 0

    def copy(self, name: str) -> Model:
        """With a copy of its own of what one step of this voter can change."""
        made = Model.__new__(Model)
        made.nodes, made.disks = dict(self.nodes), dict(self.disks)
        old, node = self.nodes[name], Node.__new__(Node)
        node.__dict__.update(old.__dict__)
        node.entries, node.votes, node._configs = list(old.entries), set(old.votes), list(old._configs)
        node.peers = {peer: raft.Progress(p.next_index, p.match_index, 0.0) for peer, p in old.peers.items()}
        node.counts, node._pending_effects = {}, []
        disk = self.disks[name].stored
        made.nodes[name] = node
        made.disks[name] = Disk(
            PersistentState(disk.term, disk.vote, False, (0, 0), disk.snapshot, list(disk.entries)), 1, 1
        )
        made.sent, made.committed, made.crashes, made.asked = self.sent, self.committed, self.crashes, self.asked
        node._round, node._round_sent_at, node._leader_heard_at = 0, {}, -9.0  # time stands: no lease protects anybody
        return made

    def do(self, name: str, effects: list[raft.Effect]) -> str:
        """Done in order; what must not be is told."""
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
                        return f"{name} commits term {entry.term} at {entry.index}, where {known[entry.index]} was"
                self.committed = tuple(sorted(known.items()))
        if node.role == LEADER:
            for other in self.nodes.values():
                if other is not node and other.role == LEADER and other.term == node.term:
                    return f"{name} and {other.name} lead in term {node.term}"
            for index, term in self.committed:
                if term < node.term and node.term_at(index) not in (term, FIRST.term):
                    return f"{name} leads in term {node.term} without {index}"
        return ""

    def key(self) -> Any:
        rows = []
        for name in NAMES:
            n, d = self.nodes[name], self.disks[name].stored
            rows.append(
                (
                    n.role,
                    n.term,
                    n.vote,
                    n.commit,
                    n.leader,
                    frozenset(n.votes),
                    tuple((e.term, e.kind) for e in n.entries),
                    tuple((p, n.peers[p].next_index, n.peers[p].match_index) for p in sorted(n.peers)),
                    d.term,
                    d.vote,
                    tuple((e.term, e.kind) for e in d.entries),
                )
            )
        return tuple(rows), self.sent, self.crashes, self.asked


Move = tuple[str, str, Callable[[Node], Any]]


def steps(model: Model, terms: int, crashes: int, commands: int, beats: bool) -> Iterator[Move]:
    for name, node in model.nodes.items():
        if node.role != LEADER and node.term < terms:
            yield name, f"{name} stands", lambda n: (n._start_election(), n._take_effects())[1]
        if node.role == LEADER and model.asked < commands:
            yield name, f"{name} adds", lambda n: n.propose(0.0, b"x")[1]
        if node.role == LEADER and beats:
            yield name, f"{name} beats", lambda n: (n._replicate(include_current=True), n._take_effects())[1]
        if model.crashes < crashes and (node.role != FOLLOWER or node.entries or node.term > 1):
            yield name, f"{name} crashes", lambda n: None
    for source, to, data in model.sent:
        word = decode(data).payload
        yield to, f"{to} gets {word}", lambda n, source=source, word=word: n.receive(0.0, source, word)  # type: ignore


# (greatest term, crashes, commands, whether leaders beat): each alone small enough to be looked at whole, or nearly.
SCOPES = ((2, 1, 0, False), (2, 0, 1, False), (3, 0, 0, False), (3, 1, 1, True))


def model_check(most: int = 200_000) -> dict[str, Any]:
    """Every scope, up to `most` states each."""
    rows = [explore(*scope, most=most) for scope in SCOPES]
    broken = next((row for row in rows if row["broken"]), None)
    return {
        "states": sum(row["states"] for row in rows),
        "whole": [row["whole"] for row in rows],
        "depth": [row["depth"] for row in rows],
        "broken": broken["broken"] if broken else "",
        "path": broken["path"] if broken else [],
    }


def explore(terms: int, crashes: int, commands: int, beats: bool, most: int) -> dict[str, Any]:
    """Breadth first, so that what is found is shortest. `whole` where nothing was left to look at."""
    first = Model()
    seen = {first.key()}
    layer: list[tuple[Model, tuple[str, ...]]] = [(first, ())]
    depth = 0
    while layer and len(seen) < most:
        depth += 1
        after: list[tuple[Model, tuple[str, ...]]] = []
        for model, path in layer:
            for name, what, call in steps(model, terms, crashes, commands, beats):
                made = model.copy(name)
                made.asked += what.endswith("adds")
                if what.endswith("crashes"):
                    made.crashes += 1
                    made.nodes[name] = Node(name, made.disks[name].load()[0], Still(), 0.0)  # type: ignore[arg-type]
                    wrong = ""
                else:
                    wrong = made.do(name, call(made.nodes[name]))
                if wrong:
                    return {"states": len(seen), "depth": depth, "whole": False, "broken": wrong, "path": [*path, what]}
                key = made.key()
                if key not in seen:
                    seen.add(key)
                    after.append((made, (*path, what)))
                    if len(seen) >= most:
                        break
            if len(seen) >= most:
                break
        layer = after
    return {"states": len(seen), "depth": depth, "whole": not layer, "broken": "", "path": []}


def permits_check(most: int = 100_000) -> dict[str, Any]:
    """Every order of commands, doubles and older tokens too: two machines of one zone, one may be out; two ingresses,
    one of which may be started anew. Time stands, so that nothing is late."""
    server = Server("a", "m", 1.0, True)
    facts, bounds = FleetState({f"s{n}": server for n in range(3)}, 0.0, [True, True], 1), Bounds(1, 1)
    lives = ("x@1", "y@1", "y@2")
    fixed: list[Command] = [
        Ask("p", "o", ["s0"], zone="a"),
        Ask("q", "o", ["s1"], zone="a", urgency=1),
        Step(facts, bounds, 0.0, 9e9, ["p", "q"]),
        Enter("y", "y@2"),
        Leave("x", "x@1"),
    ]
    first = Permits()
    for name in ("x", "y"):
        first.apply(0.0, pack_command(Enter(name, f"{name}@1")))
    seen, layer, depth = {pack_state(first)}, [first], 0
    while layer and len(seen) < most:
        depth, after = depth + 1, list[Permits]()
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
                made = Permits()
                made.load(state.dump())
                made.apply(0.0, pack_command(command))
                if wrong := permits_wrong(state, made, command):
                    return {"states": len(seen), "depth": depth, "whole": False, "broken": wrong}
                if made.token <= 3 and (key := pack_state(made)) not in seen:
                    seen.add(key)
                    after.append(made)
        layer = after
    return {"states": len(seen), "depth": depth, "whole": not layer, "broken": ""}


def permits_wrong(old: Permits, new: Permits, command: Command) -> str:
    """What must hold over each command; "" where it does."""
    if len(new.list_out()) > 1:
        return f"out at once: {[job.id for job in new.list_out()]}"
    for job in new.jobs.values():
        before = old.jobs.get(job.id)
        if before is None or before.state in ("done", "withdrawn"):
            continue
        if job.token != before.token and not old.token < job.token <= new.token:
            return f"{job.id}: token {job.token} after {before.token} of {old.token}"
        if job.state == "at work" and before.state not in ("clear", "at work"):
            return f"{job.id} is worked on and was {before.state}"
        missing = [life for life in new.incarnations.values() if life not in job.cleared_by]
        if (
            job.state == "clear"
            and before.state == "clearing"
            and missing
            and len(job.overrides) == len(before.overrides)
        ):
            return f"{job.id} is clear without the word of {missing}"
        shown = isinstance(command, Begin | Finish | Cleared) and command.id == job.id
        if shown and command.token != before.token and job != before:  # type: ignore[union-attr]
            return f"{command} moved {job.id}, whose token is {before.token}"
    return ""


def pack_state(permits: Permits) -> bytes:
    """What tells states apart: not how often one was passed over."""
    rows = [
        (job.id, job.state, job.token, sorted(job.cleared_by), job.stuck_from, len(job.overrides))
        for job in permits.jobs.values()
    ]
    return msgspec.msgpack.encode((permits.token, rows, sorted(permits.incarnations.items())))


def figure_8() -> str:
    """Ongaro and Ousterhout's figure 8 at three voters, an entry a message: an entry of an older term is held by a
    majority, and its leader may not count it. What broke, or ""."""
    names, before = list(NAMES), Node.entries_after.__defaults__
    nodes = {name: Node(name, PersistentState(1, "-", snapshot=FIRST), Still(), 0.0) for name in names}  # type: ignore[arg-type]
    committed: dict[int, int] = {}
    wrong = ""

    def do(name: str, effects: list[raft.Effect]) -> list[tuple[str, Any]]:
        nonlocal wrong
        for effect in effects:
            if isinstance(effect, raft.Apply):
                for entry in effect.entries:
                    if committed.setdefault(entry.index, entry.term) != entry.term:
                        wrong = f"{name} commits term {entry.term} at {entry.index}, not {committed[entry.index]}"
        return [(effect.to, effect.payload) for effect in effects if isinstance(effect, raft.Send)]

    def between(source: str, to: str, sent: list[tuple[str, Any]], words: int) -> None:
        """So many words of what was sent to that one, with the answers."""
        for _ in range(words):
            there = [word for whom, word in sent if whom == to]
            back = [word for word in there for whom, word in do(to, nodes[to].receive(0.0, source, word))]
            sent = [pair for word in back for pair in do(source, nodes[source].receive(0.0, to, word))]

    def stand(name: str, voter: str) -> list[tuple[str, Any]]:
        for node in nodes.values():
            node._leader_heard_at = -9.0
        node, asked = nodes[name], nodes[voter]
        node._start_election()
        votes = [word for whom, word in do(name, node._take_effects()) if whom == voter]
        answers = [word for vote in votes for whom, word in do(voter, asked.receive(0.0, name, vote))]
        return [pair for answer in answers for pair in do(name, node.receive(0.0, voter, answer))]

    Node.entries_after.__defaults__ = (1,)
    try:
        stand("a", "b")  # its first entry reaches nobody
        nodes["c"].term = nodes["a"].term
        stand("c", "b")  # the same, a term later
        nodes["a"].receive(0.0, "c", raft.AppendReply(nodes["c"].term, False, 0, 0, 1))
        between("a", "b", stand("a", "b"), 2)  # its entry of the older term is with two of three now
        nodes["c"].receive(0.0, "a", raft.AppendReply(nodes["a"].term, False, 0, 0, 1))
        for voter in ("b", "a"):
            between("c", voter, stand("c", voter), 3)
            if nodes["c"].role == LEADER:
                between(
                    "c", voter, do("c", (nodes["c"]._replicate(include_current=True), nodes["c"]._take_effects())[1]), 3
                )
    finally:
        Node.entries_after.__defaults__ = before
    return wrong


def costs(followers: int, seconds: float = 20.0, rate: float = 10.0) -> dict[str, Any]:
    """Five voters and so many followers, no faults: bytes a second, and how long a command takes."""
    cluster = Cluster(1, 5, followers, 0.0001, links=Links(Link(jitter=0.002)))
    sent: dict[str, int] = {}

    def count(host: Any, send: Any) -> None:
        sent[host.name] = sent.get(host.name, 0) + len(send.body.data) + 60  # the envelope and its seal

    cluster.is_proposing = False
    world = cluster.world
    world.run_until(lambda: bool(cluster.find_leader()) and cluster.has_converged(), 20.0)
    world.on_send = count
    took: list[float] = []
    begin = world.now
    asker = world.find_host("f0")

    def ask(number: int) -> None:
        part, when = cluster.find_agreement(asker), world.now
        assert part is not None
        part.propose(
            asker.to_local_time(when),
            "register",
            b"x" * 80 + str(number).encode(),
            10.0,
            lambda outcome: took.append(world.now - when),
        )
        world.apply_effects(asker, asker.process.said())  # type: ignore[union-attr]

    for number in range(int(seconds * rate)):
        world.schedule(begin + number / rate, lambda number=number: ask(number))  # type: ignore[misc]
    world.run(begin + seconds + 2.0)
    took.sort()
    voters = [sent.get(name, 0) / seconds for name in cluster.voter_names]
    told = [sent.get(f"f{n}", 0) / seconds for n in range(followers)]
    return {
        "followers": followers,
        "entriesASecond": rate,
        "done": len(took),
        "medianMs": round(took[len(took) // 2] * 1000, 1),
        "mostMs": round(took[-1] * 1000, 1),
        "voterBytesASecond": round(max(voters)),
        "followerBytesASecond": round(max(told)),
        "bytesAFollower": round(sum(voters) / followers),
    }


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seeds", type=int, default=10_000)
    words.add_argument("--seed", type=int, default=-1)
    words.add_argument("--jobs", type=int, default=max(1, multiprocessing.cpu_count() - 1))
    words.add_argument("--plant", choices=sorted(PLANTS), default="")
    words.add_argument("--states", type=int, default=200_000)
    words.add_argument("--json", action="store_true")
    told = words.parse_args()
    if told.seed >= 0:
        ran = one(told.seed)
        print("\n".join(map(str, ran.faults)))
        print(json.dumps(_seed(told.seed)))
        return int(bool(ran.violation))
    if told.plant:
        found = _find(told.plant)
        print(json.dumps(found))
        return int(not found["broken"])
    report: dict[str, Any] = {
        "seeds": seeds(0, told.seeds, told.jobs),
        "stories": [
            (name, seed, wrong) for name in SCRIPTS for seed in range(20) if (wrong := scripted(name, seed).violation)
        ],
        "figure8": figure_8(),
        "model": model_check(most=told.states),
        "permits": permits_check(told.states),
        "plants": plants(sorted(PLANTS), told.jobs),
        "costs": [costs(40), costs(200)],
    }
    print(json.dumps(report, indent=None if told.json else 1))
    wrong = (
        report["seeds"]["broken"]
        or report["stories"]
        or report["figure8"]
        or report["model"]["broken"]
        or report["permits"]["broken"]
        or any(not row["broken"] for row in report["plants"])
        or any(row["bytesAFollower"] > BYTES_A_FOLLOWER for row in report["costs"])
    )
    return int(bool(wrong))


if __name__ == "__main__":
    sys.exit(main())
