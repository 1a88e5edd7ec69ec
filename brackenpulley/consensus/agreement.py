"""Voter or follower with the state machine of the log, as one part of a `members` station. No I/O.

A process with a `Disk` is a voter, one without follows. A proposer learns the outcome of its command when its own state
machine has applied it, so what it reads afterwards includes the command. A proposal goes to the leader if that is
known, else to a voter that forwards it, and again every `PROPOSAL_RETRY_SECONDS` until it appears in the log or times
out; the state machine applies it once.
"""

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

KIND = "agree"  # kind of the station's part
PROPOSAL_RETRY_SECONDS = 0.5
COMPACTION_ENTRIES = 1000  # log length beyond which applied entries are compacted into a snapshot
MAX_OUTSTANDING = 16  # span of numbers from the oldest outstanding proposal of a process to the newest

OutcomeCallback = Callable[[Outcome | None], None]


class Disk(Protocol):
    """Persistent storage of a voter."""

    def load(self) -> tuple[PersistentState, bool]:
        """Return the persisted state and whether it is certain to include every write."""

    def store(self, store: Persist) -> bool:
        """Write and sync; return False on failure, in which case nothing was written."""


@dataclass(slots=True)
class Pending:
    """Proposal whose outcome is not known yet."""

    data: bytes
    expires_at: float
    retry_at: float
    callback: OutcomeCallback


class Agreement:
    """Voter or follower with its state machine, as one part of a `members` station."""

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
        """`ident` is unique to this incarnation, `name` is stable; `voters` are those of the settings."""
        self.id, self.name, self.voters, self.rng, self.now = ident, name, voters, rng, now
        self.timing, self._disk, self._make_machine = timing or Timing(), disk, machine
        self.machine = machine()
        self.node: Node | None = None
        self.log_source: Source | None = None
        self.follower: Follower | None = None
        self.on_applied: Callable[[Entry], None] = lambda entry: None
        self.on_restored: Callable[[], None] = lambda: None
        self.on_advanced: Callable[[], None] = lambda: None  # after each batch of entries or snapshot
        self._pending: dict[int, Pending] = {}
        self._last_number = 0
        self._outbox: list[tuple[str, bytes]] = []
        self._effects: deque[Effect] = deque()
        self._is_running_effects = False
        self._follower_addresses: dict[str, str] = {}  # by identity of the subscribed follower
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
        # A voter that the settings do not list joins by a configuration change and never bootstraps a log.
        initial_voters = self.voters if self.name in self.voters else {}
        self.node = Node(self.name, persisted, self.rng, self.now, self.timing, is_verified, initial_voters)
        self.log_source = Source(self.node)
        self._restart_at = inf
        self.on_restored()
        self.on_advanced()

    # State.

    @property
    def leader(self) -> str:
        """Return the name of the leader as far as it is known, else ""."""
        if self.node is not None:
            return self.node.leader
        return self.follower.leader if self.follower is not None else ""

    @property
    def is_leader(self) -> bool:
        """Return whether this process leads the log."""
        return self.node is not None and self.node.role == LEADER and not self.node.is_halted

    def is_current(self, now: float) -> bool:
        """Return whether local reads reflect every committed entry: this voter leads with a confirmed lease."""
        return self.node is not None and self.node.is_current(now)

    def voter_addresses(self) -> VoterAddresses:
        """Return voters and learners, or the voters of the settings until a configuration is known."""
        config = self._config()
        return {**config.voters, **config.learners} or self.voters

    def _config(self) -> Config:
        return self.node.config if self.node is not None else Config({})

    def address(self, name: str) -> str:
        """Return the address of a voter, or "" for an unknown one."""
        return self.voter_addresses().get(name) or self.voters.get(name, "")

    # Input.

    def propose(self, now: float, part: str, body: bytes, timeout: float, callback: OutcomeCallback) -> bool:
        """Propose a command for `part` and call `callback` with its outcome.

        The callback gets None after `timeout` seconds without an outcome. Returns False without proposing where too
        many proposals are outstanding.
        """
        self.now = max(self.now, now)
        if self._pending and self._last_number - min(self._pending) >= MAX_OUTSTANDING - 1:
            return False
        self._last_number += 1
        data = encode(Command(self.id, self._last_number, part, body))
        self._pending[self._last_number] = Pending(data, self.now + timeout, self.now, callback)
        self._retry_pending()
        return True

    def change_voter(self, now: float, name: str, address: str = "") -> str:
        """Add a voter, or remove it where `address` is empty; only the leader can.

        Returns the reason for a rejection, or "".
        """
        if self.node is None:
            return "this process has no vote"
        problem, effects = self.node.change_voter(now, name, address)
        self._run_effects(effects)
        return problem

    def trust_store(self, now: float) -> bool:
        """Accept this voter's disk as complete on an operator's word.

        Returns whether the voter was unverified and is verified now.
        """
        if self.node is None or self.node.is_verified:
            return False
        self._run_effects(self.node.trust_store(now))
        return self.node.is_verified

    def resign(self, now: float) -> None:
        """Give up leadership, if held, and ask another voter to take over."""
        if self.node is not None:
            self._run_effects(self.node.resign(now))

    def receive(self, now: float, address: str, data: bytes) -> None:
        """Process one encoded payload; malformed data and payloads for another process are dropped."""
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
        """Run all timers that are due."""
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
        """Return the time at which `tick` is due."""
        times = [self._restart_at, *(min(pending.retry_at, pending.expires_at) for pending in self._pending.values())]
        if self.node is not None:
            times.append(self.node.next_tick())
        if self.follower is not None:
            times.append(self.follower.next_tick())
        return max(self.now, min(times))

    def changed(self, now: float, change: Changed) -> None:
        """Ignore changes of membership: voters change only through the log."""

    def take(self) -> list[tuple[str, bytes]]:
        """Return and clear the outbox of (address, data) pairs."""
        out, self._outbox = self._outbox, []
        return out

    # Output.

    def _queue(self, address: str, to: str, payload: Payload) -> None:
        if address:
            source = self.name if self.node is not None else self.id
            self._outbox.append((address, encode_payload(AddressedPayload(source, to, payload))))

    def _run_effects(self, effects: list[Effect]) -> None:
        """Run effects in order, including those they cause; a failed write discards all that follow it."""
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
            elif (known_outcome := self.machine.outcome(self.id, number)) is not None:
                self._finish(number, known_outcome)  # applied as part of a snapshot
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
