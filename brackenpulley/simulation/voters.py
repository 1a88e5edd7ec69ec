"""Voters and followers of one log in virtual time, those that propose to it, and what must always hold.

Checked after each event: one leader a term; whoever leads holds all that was committed; what is applied at an index is
the same everywhere and stays so; a command is applied once; who says that its reading is current has read all that was
committed before; what a proposer was told came of its command is what came of it."""

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
from .faults import Faults
from .links import Link, Links
from .script import Line, drawn
from .world import Bare, Host, World


class Broken(AssertionError):
    """Something that must always hold does not; the text says what."""


class Register:
    """The plainest state: a list of what came, told by its length and a mark of all of it."""

    def __init__(self) -> None:
        self.mark, self.count = b"", 0

    def apply(self, at: float, body: bytes) -> Any:
        self.mark = hashlib.blake2b(self.mark + body, digest_size=8).digest()
        self.count += 1
        return self.count

    def dump(self) -> Any:
        return [self.mark, self.count]

    def load(self, dumped: Any) -> None:
        self.mark, self.count = dumped if dumped else (b"", 0)


@dataclass(slots=True)
class Truth:
    """What was seen to be so anywhere."""

    leaders: dict[int, str] = field(default_factory=dict)  # by term
    terms: dict[int, int] = field(default_factory=dict)  # of what is committed, by index
    applied: dict[int, tuple[bytes, int]] = field(default_factory=dict)  # the register's state after an index
    bodies: dict[bytes, int] = field(default_factory=dict)  # index at which a command counted
    commit: int = 0


class Voters:
    """`voters` with disks and `followers` without; each proposes `rate` commands a second to its own process."""

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
        self.world = World(seed, links or Links(Link(spread=0.004, loss=0.01, double=0.01)), traced)
        self.rng, self.truth, self.timing = random.Random(seed + 1), Truth(), timing or Timing()
        self.rate, self._agreement, self._machine = rate, agreement, machine
        self.names = [f"v{n}" for n in range(voters)]
        self.seats = {name: f"a-{name}" for name in self.names}
        self.asked: dict[bytes, float] = {}  # what was proposed, and when
        self.told: dict[bytes, int] = {}  # of that: the index that its proposer was told
        self.lost = 0  # proposals that their proposer gave up
        self.proposing = True
        self.registers: dict[str, Register] = {}
        for name in [*self.names, *(f"f{n}" for n in range(followers))]:
            host = self.world.add(name, f"a-{name}", self._make, start=False)
            host.rate = 1.0 + self.rng.uniform(-skew, skew)
            self.world.start(host)
            self._propose_later(host)
        self.world.checks.append(self.check)

    def _make(self, host: Host) -> Bare:
        register = Register()

        def machine() -> StateMachine:
            self.registers[host.name] = register
            return self._machine({"register": register})

        part = self._agreement(
            f"{host.name}@{host.life}",
            host.name,
            self.seats,
            machine,
            random.Random(self.rng.random()),
            host.clock(self.world.now),
            host.disk if host.name.startswith("v") else None,
            self.timing,
        )
        part.on_applied = lambda entry: self._applied(host, part, entry, register)
        part.on_restored = lambda: self._restored(part, register)
        return Bare(host.address, {KIND: part})

    def part(self, host: Host) -> Agreement | None:
        return None if host.driven is None else host.driven.parts[KIND]  # type: ignore[attr-defined]

    def nodes(self) -> list[tuple[Host, Node]]:
        found = []
        for host in self.world.hosts.values():
            part = self.part(host)
            if part is not None and part.node is not None and not part.node.is_halted:
                found.append((host, part.node))
        return found

    def leader(self) -> str:
        led = [(node.term, host.name) for host, node in self.nodes() if node.role == LEADER and not host.stopped]
        return max(led)[1] if led else ""

    def may_spoil(self, host: Host) -> bool:
        """All the others are sure of their disks and hold what is committed."""
        others = {h.name: node for h, node in self.nodes() if h is not host and h.name in self.names}
        return len(others) == len(self.names) - 1 and all(
            node.is_verified and node.last_index >= self.truth.commit for node in others.values()
        )

    # Those that propose.

    def _propose_later(self, host: Host) -> None:
        self.world.at(self.world.now + self.rng.expovariate(self.rate), lambda: self._propose(host))

    def _propose(self, host: Host) -> None:
        if not self.proposing:
            return
        self._propose_later(host)
        part = self.part(host)
        if part is None or host.stopped:
            return
        body = f"{part.id} {len(self.asked)}".encode()
        now = self.world.now

        def done(outcome: Outcome | None) -> None:
            if outcome is None:
                self.lost += 1
            else:
                self.told[body] = outcome.index

        if part.propose(host.clock(now), "register", body, 20.0, done):
            self.asked[body] = now
            self.world.do(host, part_effects(host))

    # What must hold.

    def _applied(self, host: Host, part: Agreement, entry: Entry, register: Register) -> None:
        truth = self.truth
        if truth.terms.setdefault(entry.index, entry.term) != entry.term:
            raise Broken(
                f"{host.name} applies an entry of term {entry.term} at {entry.index}, where one of term "
                f"{truth.terms[entry.index]} was"
            )
        state = register.mark, register.count
        if truth.applied.setdefault(entry.index, state) != state:
            raise Broken(f"{host.name} is another one after {entry.index}")
        truth.commit = max(truth.commit, entry.index)

    def _restored(self, part: Agreement, register: Register) -> None:
        index, state = part.machine.index, (register.mark, register.count)
        if self.truth.applied.setdefault(index, state) != state:
            raise Broken(f"{part.name} is another one after a snapshot of {index}")

    def check(self) -> None:
        now = self.world.now
        for host, node in self.nodes():
            if node.role != LEADER:
                continue
            known = self.truth.leaders.get(node.term)
            if known is None:
                self.truth.leaders[node.term] = host.name
                self._complete(host, node)
            elif known != host.name:
                raise Broken(f"{known} and {host.name} lead in term {node.term}")
            if not host.stopped and node.commit < self.truth.commit and node.is_current(host.clock(now)):
                raise Broken(f"{host.name} calls {node.commit} current, {self.truth.commit} is committed")
        for body, index in list(self.told.items()):
            count = self.truth.applied.get(index)
            if count is None:
                raise Broken(f"{body!r} was told to be at {index}, where nothing is")

    def _complete(self, host: Host, node: Node) -> None:
        for index in range(node.snapshot.index + 1, self.truth.commit + 1):
            if node.term_at(index) != self.truth.terms.get(index, node.term_at(index)):
                raise Broken(f"{host.name} leads in term {node.term} without entry {index}")

    def once(self) -> None:
        """Each command that was told as done counted once, and nothing counted that nobody proposed."""
        counts = {
            register.count for name, register in self.registers.items() if self.world.host(name).driven is not None
        }
        most = max(counts, default=0)
        if most > len(self.asked):
            raise Broken(f"{most} commands counted, {len(self.asked)} were proposed")
        if len(set(self.told.values())) != len(self.told):
            raise Broken("two commands were told to be at the same index")

    def agreed(self) -> bool:
        """All that run have applied the same, and it is all that was committed."""
        states = {
            (part.machine.index, self.registers[host.name].mark)
            for host in self.world.hosts.values()
            if (part := self.part(host)) is not None
        }
        return len(states) == 1 and next(iter(states))[0] >= self.truth.commit


def part_effects(host: Host) -> list[Any]:
    """What the parts of a host want said now."""
    return host.driven.said() if host.driven is not None else []  # type: ignore[attr-defined]


@dataclass(slots=True)
class Ran:
    seed: int
    events: int
    told: int
    lost: int
    elections: int
    lines: list[Line]
    trace: str
    broken: str = ""


def run(
    seed: int,
    seconds: float = 24.0,
    voters: int = 3,
    followers: int = 2,
    every: float = 1.5,
    rate: float = 2.0,
    traced: bool = False,
    lines: list[Line] | None = None,
    prepare: Callable[[Voters], None] | None = None,
    spoil: bool = False,
    **more: Any,
) -> Ran:
    """One run with faults drawn from the seed, or those of `lines`, where a disk is lost whoever else lacks something
    if `spoil`; at the end all is well, and then all must agree."""
    cluster = Voters(seed, voters, followers, rate, traced=traced, **more)
    if prepare is not None:
        prepare(cluster)
    drawn_lines = drawn(cluster.rng, cluster.names, seconds, every, (voters + 1) // 2) if lines is None else lines
    faults = Faults(cluster.world, drawn_lines, cluster.leader, (lambda host: True) if spoil else cluster.may_spoil)
    world, broken = cluster.world, ""
    try:
        world.run(world.now + seconds)
        for host in world.hosts.values():
            if host.driven is None:
                world.start(host)
            elif host.stopped:
                world.go_on(host)
        cluster.proposing = False
        if not world.until(lambda: bool(cluster.leader()) and cluster.agreed(), 30.0):
            found = [(h.name, n.role, n.term, n.commit, n.is_verified) for h, n in cluster.nodes()]
            raise Broken(f"no agreement 30 s after the last fault: {found}")
        cluster.once()
    except Broken as error:
        broken = str(error)
    except AssertionError as error:
        broken = f"assertion: {error}"
    return Ran(
        seed,
        world.events,
        len(cluster.told),
        cluster.lost,
        len(cluster.truth.leaders),
        faults.done,
        world.trace.hexdigest() if world.trace is not None else "",
        broken,
    )
