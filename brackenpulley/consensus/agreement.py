"""Voter or follower, with the machine that the log is applied to: one part of a `members` station. No I/O.

A voter has a `Disk`; a process without one follows. Whoever proposes hears what came of it when its own machine has
applied it: whatever it reads then holds it. A proposal goes to the leader as far as that is known, else to a voter that
passes it on, and again every `AGAIN` s until it is seen in the log or its time is over; the machine takes it once."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import inf
from typing import Protocol

import msgspec

from ..members.protocol import Changed
from .feed import Follower, Source
from .machine import Command, Machine, Outcome, encode
from .raft import LEADER, Apply, Effect, Kept, Node, Restore, Send, Store, Timing
from .wire import Between, Config, Entry, Follow, Propose, Seats, Told, Word, unpack_config
from .wire import decode as decode_word
from .wire import encode as encode_word

KIND = "agree"  # of a station's part
AGAIN = 0.5  # s
COMPACT = 1000  # entries that the log holds before they become a snapshot
OUT = 16  # from the oldest proposal of a process that is out to the newest

Done = Callable[[Outcome | None], None]


class Disk(Protocol):
    """A voter's part on disk."""

    def load(self) -> tuple[Kept, bool]:
        """What it holds, and whether it is sure that nothing written since is missing."""

    def store(self, store: Store) -> bool:
        """True once it is synced; False where it can't be, and then nothing of it counts."""


@dataclass(slots=True)
class Pending:
    data: bytes
    until: float
    again: float
    done: Done


class Agreement:
    def __init__(
        self,
        ident: str,
        name: str,
        voters: Seats,
        machine: Callable[[], Machine],
        rng: random.Random,
        now: float,
        disk: Disk | None = None,
        timing: Timing | None = None,
    ) -> None:
        """`ident` is of this life, `name` outlives it; `voters` are those of the settings."""
        self.id, self.name, self.voters, self.rng, self.now = ident, name, voters, rng, now
        self.timing, self._disk, self._make = timing or Timing(), disk, machine
        self.machine = machine()
        self.node: Node | None = None
        self.source: Source | None = None
        self.follower: Follower | None = None
        self.applied: Callable[[Entry], None] = lambda entry: None
        self.restored: Callable[[], None] = lambda: None
        self.advanced: Callable[[], None] = lambda: None  # after all that came at once is applied, or restored
        self._pending: dict[int, Pending] = {}
        self._number = 0
        self._out: list[tuple[str, bytes]] = []
        self._todo: deque[Effect] = deque()
        self._doing = False
        self._addresses: dict[str, str] = {}  # of those that follow
        self._restart_at = inf
        if disk is not None:
            self._open()
        else:
            self.follower = Follower(rng, dict(voters), now)

    def _open(self) -> None:
        assert self._disk is not None
        kept, sure = self._disk.load()
        self.machine = self._make()
        self.machine.restore(kept.snapshot)
        # Those of the settings count as founders only with this one among them: another one comes by a change.
        founders = self.voters if self.name in self.voters else {}
        self.node = Node(self.name, kept, self.rng, self.now, self.timing, sure, founders)
        self.source = Source(self.node)
        self._restart_at = inf
        self.restored()
        self.advanced()

    # What it knows.

    @property
    def leader(self) -> str:
        """As far as it knows; "" for nobody."""
        if self.node is not None:
            return self.node.leader
        return self.follower.leader if self.follower is not None else ""

    @property
    def leads(self) -> bool:
        return self.node is not None and self.node.role == LEADER and not self.node.halted

    def current(self, now: float) -> bool:
        """What is read here now is all that was agreed before: this one leads by a confirmed lease."""
        return self.node is not None and self.node.current(now)

    def seats(self) -> Seats:
        """Voters as they are, with those of the settings until a configuration is known."""
        config = self._config()
        return {**config.voters, **config.learners} or self.voters

    def _config(self) -> Config:
        return self.node.config if self.node is not None else Config({})

    def address(self, name: str) -> str:
        return self.seats().get(name) or self.voters.get(name, "")

    # What comes in.

    def propose(self, now: float, part: str, body: bytes, patience: float, done: Done) -> bool:
        """False where too many are out already."""
        self.now = max(self.now, now)
        if self._pending and self._number - min(self._pending) >= OUT - 1:
            return False
        self._number += 1
        data = encode(Command(self.id, self._number, part, body))
        self._pending[self._number] = Pending(data, self.now + patience, self.now, done)
        self._try()
        return True

    def change(self, now: float, name: str, address: str = "") -> str:
        """A voter comes or goes; only where this one leads. Says why not, or ""."""
        if self.node is None:
            return "this process has no vote"
        said, effects = self.node.change(now, name, address)
        self._do(effects)
        return said

    def trust(self, now: float) -> bool:
        """An operator's word that this voter's disk is as it was left."""
        if self.node is None or self.node.proved:
            return False
        self._do(self.node.trust(now))
        return self.node.proved

    def resign(self, now: float) -> None:
        if self.node is not None:
            self._do(self.node.resign(now))

    def receive(self, now: float, address: str, data: bytes) -> None:
        self.now = max(self.now, now)
        try:
            told = decode_word(data)
        except msgspec.MsgspecError:
            return
        word, source = told.word, told.source
        if isinstance(word, Told):
            if self.follower is not None and told.to == self.id:
                self._followed(source, word)
        elif told.to != self.name or self.node is None or self.node.halted:
            return
        elif isinstance(word, Follow):
            assert self.source is not None
            self._say(address, source, self.source.asked(self.now, source, word))
            self._addresses[source] = address
        elif isinstance(word, Propose):
            index, effects = self.node.propose(self.now, word.data)
            self._do(effects)
            if not index and not word.passed and self.node.leader not in ("", self.name):
                self._say(self.address(self.node.leader), self.node.leader, Propose(word.data, True))
        else:
            self._do(self.node.receive(self.now, source, word))
        self._feed()

    def tick(self, now: float) -> None:
        self.now = max(self.now, now)
        if self.now >= self._restart_at:
            self._open()
        if self.node is not None and self.node.next_tick() <= self.now:
            self._do(self.node.tick(self.now))
        if self.follower is not None and (ask := self.follower.tick(self.now)) is not None:
            name, word = ask
            self._say(self.voters[name], name, word)
        self._feed()
        self._try()

    def next_tick(self) -> float:
        times = [self._restart_at, *(min(p.again, p.until) for p in self._pending.values())]
        if self.node is not None:
            times.append(self.node.next_tick())
        if self.follower is not None:
            times.append(self.follower.next_tick())
        return max(self.now, min(times))

    def changed(self, now: float, change: Changed) -> None:
        """Membership says nothing of who votes."""

    def take(self) -> list[tuple[str, bytes]]:
        out, self._out = self._out, []
        return out

    # What goes out.

    def _say(self, address: str, to: str, word: Word) -> None:
        if address:
            source = self.name if self.node is not None else self.id
            self._out.append((address, encode_word(Between(source, to, word))))

    def _do(self, effects: list[Effect]) -> None:
        """In order, also where something done here brings more about; what can't be stored is followed by nothing."""
        self._todo.extend(effects)
        if self._doing:
            return
        self._doing = True
        try:
            self._do_all()
        finally:
            self._doing = False
        node = self.node
        if node is not None and not node.halted and len(node.entries) > COMPACT and node.applied > node.base.index:
            self._do(node.compact(node.applied, self.machine.dump()))

    def _do_all(self) -> None:
        while self._todo:
            effect = self._todo.popleft()
            if isinstance(effect, Store):
                assert self._disk is not None and self.node is not None
                if not self._disk.store(effect):
                    self.node.halted = True
                    self._restart_at = self.now + self.timing.election
                    self._todo.clear()
            elif isinstance(effect, Send):
                self._say(self.address(effect.to), effect.to, effect.word)
            elif isinstance(effect, Apply):
                self._apply(effect.entries)
            elif isinstance(effect, Restore):
                self.machine.restore(effect.snapshot)
                self.restored()
                self.advanced()

    def _feed(self) -> None:
        if self.source is not None and self.node is not None and not self.node.halted:
            for who, told in self.source.more(self.now):
                self._say(self._addresses.get(who, ""), who, told)

    def _followed(self, source: str, word: Told) -> None:
        assert self.follower is not None
        snapshot, entries = self.follower.told(self.now, source, word)
        if snapshot is not None:
            self.machine.restore(snapshot)
            if snapshot.config.voters:
                self._seated(snapshot.config)
            self.restored()
            self.advanced()
        self._apply(entries)

    def _seated(self, config: Config) -> None:
        if self.follower is not None:
            self.follower.voters = dict(config.voters)
            self.voters = {**self.voters, **config.voters}

    def _apply(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.kind == "seats":
                self._seated(unpack_config(entry.data))
            outcome = self.machine.apply(entry)
            self.applied(entry)
            if outcome is not None and outcome.asker == self.id:
                self._over(outcome.number, outcome)
        if entries:
            self.advanced()

    def _over(self, number: int, outcome: Outcome | None) -> None:
        if (pending := self._pending.pop(number, None)) is not None:
            pending.done(outcome)

    def _try(self) -> None:
        for number, pending in list(self._pending.items()):
            if pending.until <= self.now:
                self._over(number, None)
            elif (found := self.machine.outcome(self.id, number)) is not None:
                self._over(number, found)  # it came with a snapshot
            elif pending.again <= self.now:
                pending.again = self.now + AGAIN
                self._propose(pending.data)

    def _propose(self, data: bytes) -> None:
        if self.node is not None and not self.node.halted:
            index, effects = self.node.propose(self.now, data)
            self._do(effects)
            if index:
                return
        to = self.leader if self.leader not in ("", self.name) else ""
        if not to and (others := [name for name in self.seats() if name != self.name]):
            to = self.rng.choice(sorted(others))
        if to:
            self._say(self.address(to), to, Propose(data))
