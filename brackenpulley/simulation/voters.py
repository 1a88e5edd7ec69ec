"""Simulated cluster of voters and followers of one log, with processes that propose to it, and its invariants.

Checked after each event: a term has one leader; a leader holds every committed entry; the state after an index is the
same everywhere and never changes; a command is applied once; a leader that declares its reads current has every entry
committed before; and the outcome that a proposer was told is that of its command."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..consensus.agreement import KIND, Agreement
from ..consensus.machine import Outcome, StateMachine
from ..consensus.raft import LEADER, Node, Timing
from ..consensus.wire import Entry
from .faults import FaultInjector
from .links import Link, Links
from .script import Fault, draw_faults
from .world import Host, StandaloneParts, World


class InvariantError(AssertionError):
    """An invariant is violated; the text says which."""


class Register:
    """Minimal replicated state: the number of commands applied, and a running digest of them."""

    def __init__(self) -> None:
        self.digest, self.count = b"", 0

    def apply(self, at: float, body: bytes) -> Any:
        """Applies a command and returns its number."""
        self.digest = hashlib.blake2b(self.digest + body, digest_size=8).digest()
        self.count += 1
        return self.count

    def dump(self) -> Any:
        """Returns the state for a snapshot."""
        return [self.digest, self.count]

    def load(self, dumped: Any) -> None:
        """Replaces the state with that of a snapshot."""
        self.digest, self.count = dumped if dumped else (b"", 0)


@dataclass(slots=True)
class Observations:
    """What any process was seen to hold, against which all others are checked."""

    leaders: dict[int, str] = field(default_factory=dict)  # by term
    terms: dict[int, int] = field(default_factory=dict)  # of committed entries, by index
    states: dict[int, tuple[bytes, int]] = field(default_factory=dict)  # digest and count of the register, by index
    command_indexes: dict[bytes, int] = field(default_factory=dict)  # index at which a command was applied
    commit_index: int = 0


class Cluster:
    """Simulates `voters` with disks and `followers` without; each proposes `rate` commands a second to its process.

    The clock of each host is off by a random factor of up to `skew`."""

    def __init__(
        self,
        seed: int,
        voters: int = 3,
        followers: int = 2,
        rate: float = 2.0,
        timing: Timing | None = None,
        links: Links | None = None,
        traced: bool = False,
        skew: float = 0.02,
        agreement: type[Agreement] = Agreement,
        machine: type[StateMachine] = StateMachine,
    ) -> None:
        self.world = World(seed, links or Links(Link(jitter=0.004, loss=0.01, duplication=0.01)), traced)
        self.rng, self.observations, self.timing = random.Random(seed + 1), Observations(), timing or Timing()
        self.rate, self._agreement_class, self._machine_class = rate, agreement, machine
        self.voter_names = [f"v{n}" for n in range(voters)]
        self.voter_addresses = {name: f"a-{name}" for name in self.voter_names}
        self.proposed: dict[bytes, float] = {}  # time of each proposal, by command
        self.acknowledged: dict[bytes, int] = {}  # log index that the proposer was told, by command
        self.abandoned = 0  # proposals without an outcome
        self.is_proposing = True
        self.registers: dict[str, Register] = {}  # by host
        for name in [*self.voter_names, *(f"f{n}" for n in range(followers))]:
            host = self.world.add_host(name, f"a-{name}", self._make_process, start=False)
            host.clock_rate = 1.0 + self.rng.uniform(-skew, skew)
            self.world.start(host)
            self._schedule_proposal(host)
        self.world.checks.append(self.check)

    def _make_process(self, host: Host) -> StandaloneParts:
        register = Register()

        def machine() -> StateMachine:
            self.registers[host.name] = register
            return self._machine_class({"register": register})

        part = self._agreement_class(
            f"{host.name}@{host.incarnation}",
            host.name,
            self.voter_addresses,
            machine,
            random.Random(self.rng.random()),
            host.to_local_time(self.world.now),
            host.disk if host.name.startswith("v") else None,
            self.timing,
        )
        part.on_applied = lambda entry: self._check_applied(host, part, entry, register)
        part.on_restored = lambda: self._check_restored(part, register)
        return StandaloneParts(host.address, {KIND: part})

    def find_agreement(self, host: Host) -> Agreement | None:
        """Returns the agreement part of a host's process, or None if no process runs."""
        return None if host.process is None else host.process.parts[KIND]  # type: ignore[attr-defined]

    def list_running_nodes(self) -> list[tuple[Host, Node]]:
        """Returns the voters that run, suspended ones included, and have not halted."""
        found = []
        for host in self.world.hosts.values():
            part = self.find_agreement(host)
            if part is not None and part.node is not None and not part.node.is_halted:
                found.append((host, part.node))
        return found

    def find_leader(self) -> str:
        """Returns the name of the leader with the highest term, or "" if there is none; suspended ones don't count."""
        leaders = [
            (node.term, host.name)
            for host, node in self.list_running_nodes()
            if node.role == LEADER and not host.is_suspended
        ]
        return max(leaders)[1] if leaders else ""

    def may_damage_disk(self, host: Host) -> bool:
        """Returns whether all other voters run, trust their disks and hold every committed entry."""
        others = {h.name: node for h, node in self.list_running_nodes() if h is not host and h.name in self.voter_names}
        return len(others) == len(self.voter_names) - 1 and all(
            node.is_verified and node.last_index >= self.observations.commit_index for node in others.values()
        )

    # Proposals.

    def _schedule_proposal(self, host: Host) -> None:
        self.world.schedule(self.world.now + self.rng.expovariate(self.rate), lambda: self._propose(host))

    def _propose(self, host: Host) -> None:
        if not self.is_proposing:
            return
        self._schedule_proposal(host)
        part = self.find_agreement(host)
        if part is None or host.is_suspended:
            return
        body = f"{part.id} {len(self.proposed)}".encode()
        now = self.world.now

        def done(outcome: Outcome | None) -> None:
            if outcome is None:
                self.abandoned += 1
            else:
                self.acknowledged[body] = outcome.index

        if part.propose(host.to_local_time(now), "register", body, 20.0, done):
            self.proposed[body] = now
            self.world.apply_effects(host, take_effects(host))

    # Invariants.

    def _check_applied(self, host: Host, part: Agreement, entry: Entry, register: Register) -> None:
        observations = self.observations
        if observations.terms.setdefault(entry.index, entry.term) != entry.term:
            raise InvariantError(
                f"{host.name} applied an entry of term {entry.term} at index {entry.index}, where another process "
                f"applied one of term {observations.terms[entry.index]}"
            )
        state = register.digest, register.count
        if observations.states.setdefault(entry.index, state) != state:
            raise InvariantError(f"{host.name} has a different state after index {entry.index}")
        observations.commit_index = max(observations.commit_index, entry.index)

    def _check_restored(self, part: Agreement, register: Register) -> None:
        index, state = part.machine.index, (register.digest, register.count)
        if self.observations.states.setdefault(index, state) != state:
            raise InvariantError(f"{part.name} has a different state after restoring the snapshot of index {index}")

    def check(self) -> None:
        """Checks leaders, current reads and acknowledged proposals. Raises InvariantError."""
        now = self.world.now
        for host, node in self.list_running_nodes():
            if node.role != LEADER:
                continue
            known = self.observations.leaders.get(node.term)
            if known is None:
                self.observations.leaders[node.term] = host.name
                self._check_leader_completeness(host, node)
            elif known != host.name:
                raise InvariantError(f"term {node.term} has two leaders: {known} and {host.name}")
            if (
                not host.is_suspended
                and node.commit < self.observations.commit_index
                and node.is_current(host.to_local_time(now))
            ):
                raise InvariantError(
                    f"{host.name} declares reads at index {node.commit} current, but index "
                    f"{self.observations.commit_index} is committed"
                )
        for body, index in list(self.acknowledged.items()):
            count = self.observations.states.get(index)
            if count is None:
                raise InvariantError(f"{body!r} was acknowledged at index {index}, where no entry was applied")

    def _check_leader_completeness(self, host: Host, node: Node) -> None:
        for index in range(node.snapshot.index + 1, self.observations.commit_index + 1):
            if node.term_at(index) != self.observations.terms.get(index, node.term_at(index)):
                raise InvariantError(f"{host.name} leads in term {node.term} without the committed entry {index}")

    def check_applied_once(self) -> None:
        """Checks that acknowledged commands were applied once, and none that was not proposed.

        Raises InvariantError."""
        counts = {
            register.count
            for name, register in self.registers.items()
            if self.world.find_host(name).process is not None
        }
        most = max(counts, default=0)
        if most > len(self.proposed):
            raise InvariantError(f"{most} commands were applied, but only {len(self.proposed)} were proposed")
        if len(set(self.acknowledged.values())) != len(self.acknowledged):
            raise InvariantError("two commands were acknowledged at the same index")

    def has_converged(self) -> bool:
        """Returns whether all running processes have applied the same entries, up to the last committed one."""
        states = {
            (part.machine.index, self.registers[host.name].digest)
            for host in self.world.hosts.values()
            if (part := self.find_agreement(host)) is not None
        }
        return len(states) == 1 and next(iter(states))[0] >= self.observations.commit_index


def take_effects(host: Host) -> list[Any]:
    """Takes the messages that the parts of a host's process have queued."""
    return host.process.said() if host.process is not None else []  # type: ignore[attr-defined]


@dataclass(slots=True)
class RunResult:
    """Counts of one run, the faults applied, and the invariant that was violated, if any."""

    seed: int
    event_count: int
    acknowledged: int
    abandoned: int
    elections: int
    faults: list[Fault]
    trace: str  # digest of all events; empty if not traced
    violation: str = ""


def run(
    seed: int,
    seconds: float = 24.0,
    voters: int = 3,
    followers: int = 2,
    mean_fault_interval: float = 1.5,
    rate: float = 2.0,
    traced: bool = False,
    faults: list[Fault] | None = None,
    prepare: Callable[[Cluster], None] | None = None,
    allow_any_disk_damage: bool = False,
    **more: Any,
) -> RunResult:
    """Runs a cluster with faults drawn from the seed, or with `faults`, and then checks that all processes converge.

    Every process is started or resumed at the end of `seconds`. Disks are damaged only where the other voters can
    tolerate it, unless `allow_any_disk_damage`. `prepare` is called with the cluster before the run; `more` goes to
    Cluster."""
    cluster = Cluster(seed, voters, followers, rate, traced=traced, **more)
    if prepare is not None:
        prepare(cluster)
    schedule = (
        draw_faults(cluster.rng, cluster.voter_names, seconds, mean_fault_interval, (voters + 1) // 2)
        if faults is None
        else faults
    )
    injector = FaultInjector(
        cluster.world,
        schedule,
        cluster.find_leader,
        (lambda host: True) if allow_any_disk_damage else cluster.may_damage_disk,
    )
    world, violation = cluster.world, ""
    try:
        world.run(world.now + seconds)
        for host in world.hosts.values():
            if host.process is None:
                world.start(host)
            elif host.is_suspended:
                world.resume(host)
        cluster.is_proposing = False
        if not world.run_until(lambda: bool(cluster.find_leader()) and cluster.has_converged(), 30.0):
            found = [(h.name, n.role, n.term, n.commit, n.is_verified) for h, n in cluster.list_running_nodes()]
            raise InvariantError(f"no agreement 30 s after the last fault: {found}")
        cluster.check_applied_once()
    except InvariantError as error:
        violation = str(error)
    except AssertionError as error:
        violation = f"assertion: {error}"
    return RunResult(
        seed,
        world.event_count,
        len(cluster.acknowledged),
        cluster.abandoned,
        len(cluster.observations.leaders),
        injector.applied,
        world.trace.hexdigest() if world.trace is not None else "",
        violation,
    )
