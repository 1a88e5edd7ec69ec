"""Voter or follower, with the machine that the log is applied to: one part of a `members` station. No I/O.

A voter has a `Disk`; a process without one follows. Whoever proposes hears what came of it when its own machine has
applied it: whatever it reads then holds it. A proposal goes to the leader as far as that is known, else to a voter that
passes it on, and again every `PROPOSAL_RETRY_SECONDS` s until it is seen in the log or its time is over; the machine takes it once."""

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
from .machine import Command, Outcome, StateMachine, encode
from .raft import LEADER, Apply, Effect, Node, Persist, PersistentState, Restore, Send, Timing
from .wire import (
    AddressedPayload,
    Config,
    Entry,
    LogUpdate,
    Payload,
    Proposal,
    Subscribe,
    VoterAddresses,
    unpack_config,
)
from .wire import decode as decode_payload
from .wire import encode as encode_payload

KIND = "agree"  # of a station's part
PROPOSAL_RETRY_SECONDS = 0.5  # s
COMPACTION_ENTRIES = 1000  # entries that the log holds before they become a snapshot
MAX_OUTSTANDING = 16  # from the oldest proposal of a process that is out to the newest

OutcomeCallback = Callable[[Outcome | None], None]


class Disk(Protocol):
    """A voter's part on disk."""

    def load(self) -> tuple[PersistentState, bool]:
        """What it holds, and whether it is is_verified that nothing written since is missing."""

    def store(self, store: Persist) -> bool:
        """True once it is synced; False where it can't be, and then nothing of it counts."""


@dataclass(slots=True)
class Pending:
    data: bytes
    expires_at: float
    retry_at: float
    callback: OutcomeCallback


class Agreement:
    def __init__(
        self,
        ident: str,
        name: str,
        voters: VoterAddresses,
        machine: Callable[[], StateMachine],
        rng: random.Random,
        now: float,
        disk: Disk | None = None,
        timing: Timing | None = None,
    ) -> None:
        """`ident` is of this life, `name` outlives it; `voters` are those of the settings."""
        self.id, self.name, self.voters, self.rng, self.now = ident, name, voters, rng, now
        self.timing, self._disk, self._make_machine = timing or Timing(), disk, machine
        self.machine = machine()
        self.node: Node | None = None
        self.log_source: Source | None = None
        self.follower: Follower | None = None
        self.on_applied: Callable[[Entry], None] = lambda entry: None
        self.on_restored: Callable[[], None] = lambda: None
        self.on_advanced: Callable[[], None] = lambda: None  # after all that came at once is applied, or restored
        self._pending: dict[int, Pending] = {}
        self._last_number = 0
        self._outbox: list[tuple[str, bytes]] = []
        self._effects: deque[Effect] = deque()
        self._is_running_effects = False
        self._follower_addresses: dict[str, str] = {}  # of those that follow
        self._restart_at = inf
        if disk is not None:
            self._open_node()
        else:
            self.follower = Follower(rng, dict(voters), now)

    def _open_node(self) -> None:
        assert self._disk is not None
        persisted, is_verified = self._disk.load()
        self.machine = self._make_machine()
        self.machine.restore(persisted.snapshot)
        # Those of the settings count as initial_voters only with this one among them: another one comes by a change.
        initial_voters = self.voters if self.name in self.voters else {}
        self.node = Node(self.name, persisted, self.rng, self.now, self.timing, is_verified, initial_voters)
        self.log_source = Source(self.node)
        self._restart_at = inf
        self.on_restored()
        self.on_advanced()

    # What it knows.

    @property
    def leader(self) -> str:
        """As far as it knows; "" for nobody."""
        if self.node is not None:
            return self.node.leader
        return self.follower.leader if self.follower is not None else ""

    @property
    def is_leader(self) -> bool:
        return self.node is not None and self.node.role == LEADER and not self.node.is_halted

    def is_current(self, now: float) -> bool:
        """What is read here now is all that was agreed before: this one leads by a confirmed lease."""
        return self.node is not None and self.node.is_current(now)

    def voter_addresses(self) -> VoterAddresses:
        """Voters as they are, with those of the settings until a configuration is known."""
        config = self._config()
        return {**config.voters, **config.learners} or self.voters

    def _config(self) -> Config:
        return self.node.config if self.node is not None else Config({})

    def address(self, name: str) -> str:
        return self.voter_addresses().get(name) or self.voters.get(name, "")

    # What comes in.

    def propose(self, now: float, part: str, body: bytes, timeout: float, callback: OutcomeCallback) -> bool:
        """False where too many are out already."""
        self.now = max(self.now, now)
        if self._pending and self._last_number - min(self._pending) >= MAX_OUTSTANDING - 1:
            return False
        self._last_number += 1
        data = encode(Command(self.id, self._last_number, part, body))
        self._pending[self._last_number] = Pending(data, self.now + timeout, self.now, callback)
        self._retry_pending()
        return True

    def change_voter(self, now: float, name: str, address: str = "") -> str:
        """A voter comes or goes; only where this one leads. Says why not, or ""."""
        if self.node is None:
            return "this process has no vote"
        problem, effects = self.node.change_voter(now, name, address)
        self._run_effects(effects)
        return problem

    def trust_store(self, now: float) -> bool:
        """An operator's payload that this voter's disk is as it was left."""
        if self.node is None or self.node.is_verified:
            return False
        self._run_effects(self.node.trust_store(now))
        return self.node.is_verified

    def resign(self, now: float) -> None:
        if self.node is not None:
            self._run_effects(self.node.resign(now))

    def receive(self, now: float, address: str, data: bytes) -> None:
        self.now = max(self.now, now)
        try:
            addressed = decode_payload(data)
        except msgspec.MsgspecError:
            return
        payload, source = addressed.payload, addressed.source
        if isinstance(payload, LogUpdate):
            if self.follower is not None and addressed.to == self.id:
                self._handle_update(source, payload)
        elif addressed.to != self.name or self.node is None or self.node.is_halted:
            return
        elif isinstance(payload, Subscribe):
            assert self.log_source is not None
            self._queue(address, source, self.log_source.subscribe(self.now, source, payload))
            self._follower_addresses[source] = address
        elif isinstance(payload, Proposal):
            index, effects = self.node.propose(self.now, payload.data)
            self._run_effects(effects)
            if not index and not payload.is_forwarded and self.node.leader not in ("", self.name):
                self._queue(self.address(self.node.leader), self.node.leader, Proposal(payload.data, True))
        else:
            self._run_effects(self.node.receive(self.now, source, payload))
        self._feed_followers()

    def tick(self, now: float) -> None:
        self.now = max(self.now, now)
        if self.now >= self._restart_at:
            self._open_node()
        if self.node is not None and self.node.next_tick() <= self.now:
            self._run_effects(self.node.tick(self.now))
        if self.follower is not None and (poll := self.follower.tick(self.now)) is not None:
            name, payload = poll
            self._queue(self.voters[name], name, payload)
        self._feed_followers()
        self._retry_pending()

    def next_tick(self) -> float:
        times = [self._restart_at, *(min(pending.retry_at, pending.expires_at) for pending in self._pending.values())]
        if self.node is not None:
            times.append(self.node.next_tick())
        if self.follower is not None:
            times.append(self.follower.next_tick())
        return max(self.now, min(times))

    def changed(self, now: float, change: Changed) -> None:
        """Membership says nothing of who votes."""

    def take(self) -> list[tuple[str, bytes]]:
        out, self._outbox = self._outbox, []
        return out

    # What goes out.

    def _queue(self, address: str, to: str, payload: Payload) -> None:
        if address:
            source = self.name if self.node is not None else self.id
            self._outbox.append((address, encode_payload(AddressedPayload(source, to, payload))))

    def _run_effects(self, effects: list[Effect]) -> None:
        """In order, also where something done here brings more about; what can't be stored is followed by nothing."""
        self._effects.extend(effects)
        if self._is_running_effects:
            return
        self._is_running_effects = True
        try:
            self._drain_effects()
        finally:
            self._is_running_effects = False
        node = self.node
        if (
            node is not None
            and not node.is_halted
            and len(node.entries) > COMPACTION_ENTRIES
            and node.applied > node.snapshot.index
        ):
            self._run_effects(node.compact(node.applied, self.machine.dump()))

    def _drain_effects(self) -> None:
        while self._effects:
            effect = self._effects.popleft()
            if isinstance(effect, Persist):
                assert self._disk is not None and self.node is not None
                if not self._disk.store(effect):
                    self.node.is_halted = True
                    self._restart_at = self.now + self.timing.election_timeout
                    self._effects.clear()
            elif isinstance(effect, Send):
                self._queue(self.address(effect.to), effect.to, effect.payload)
            elif isinstance(effect, Apply):
                self._apply_entries(effect.entries)
            elif isinstance(effect, Restore):
                self.machine.restore(effect.snapshot)
                self.on_restored()
                self.on_advanced()

    def _feed_followers(self) -> None:
        if self.log_source is not None and self.node is not None and not self.node.is_halted:
            for follower, update in self.log_source.take_updates(self.now):
                self._queue(self._follower_addresses.get(follower, ""), follower, update)

    def _handle_update(self, source: str, payload: LogUpdate) -> None:
        assert self.follower is not None
        snapshot, entries = self.follower.receive(self.now, source, payload)
        if snapshot is not None:
            self.machine.restore(snapshot)
            if snapshot.config.voters:
                self._adopt_config(snapshot.config)
            self.on_restored()
            self.on_advanced()
        self._apply_entries(entries)

    def _adopt_config(self, config: Config) -> None:
        if self.follower is not None:
            self.follower.voters = dict(config.voters)
            self.voters = {**self.voters, **config.voters}

    def _apply_entries(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.kind == "seats":
                self._adopt_config(unpack_config(entry.data))
            outcome = self.machine.apply(entry)
            self.on_applied(entry)
            if outcome is not None and outcome.proposer == self.id:
                self._finish(outcome.number, outcome)
        if entries:
            self.on_advanced()

    def _finish(self, number: int, outcome: Outcome | None) -> None:
        if (pending := self._pending.pop(number, None)) is not None:
            pending.callback(outcome)

    def _retry_pending(self) -> None:
        for number, pending in list(self._pending.items()):
            if pending.expires_at <= self.now:
                self._finish(number, None)
            elif (found := self.machine.outcome(self.id, number)) is not None:
                self._finish(number, found)  # it came with a snapshot
            elif pending.retry_at <= self.now:
                pending.retry_at = self.now + PROPOSAL_RETRY_SECONDS
                self._send_proposal(pending.data)

    def _send_proposal(self, data: bytes) -> None:
        if self.node is not None and not self.node.is_halted:
            index, effects = self.node.propose(self.now, data)
            self._run_effects(effects)
            if index:
                return
        to = self.leader if self.leader not in ("", self.name) else ""
        if not to and (others := [name for name in self.voter_addresses() if name != self.name]):
            to = self.rng.choice(sorted(others))
        if to:
            self._queue(self.address(to), to, Proposal(data))
