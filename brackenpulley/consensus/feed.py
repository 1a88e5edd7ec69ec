"""Who does not vote follows: it asks one voter for what is committed, and gets what comes after for some seconds.

    follower  | asks one voter, in turn another where nothing comes; each question names what it holds
    voter     | answers at once with what is missing, and while `SUBSCRIPTION_SECONDS` lasts sends on what is committed

A voter's load is its part of the followers, each entry once; a question a follower every `POLL_INTERVAL_SECONDS` s. Lost words cost one
`POLL_INTERVAL_SECONDS`. What a voter calls committed is committed, whoever leads now, so any voter will do."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

from .raft import Node
from .wire import Entry, LogUpdate, Snapshot, Subscribe, VoterAddresses

POLL_INTERVAL_SECONDS, SUBSCRIPTION_SECONDS, ANSWER_TIMEOUT_SECONDS = (
    1.0,
    3.5,
    1.2,
)  # s: between questions, that one holds, without an answer until another is asked


@dataclass(slots=True)
class Subscription:
    expires_at: float
    sent_index: int  # index up to which it has been update


class Source:
    """A voter's side. `tell` is called with what goes to whom."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.subscriptions: dict[str, Subscription] = {}

    def subscribe(self, now: float, follower: str, payload: Subscribe) -> LogUpdate:
        update = self._build_update(payload.after_index)
        sent_index = (
            update.entries[-1].index
            if update.entries
            else update.snapshot.index
            if update.snapshot
            else payload.after_index
        )
        self.subscriptions[follower] = Subscription(now + SUBSCRIPTION_SECONDS, sent_index)
        return update

    def take_updates(self, now: float) -> list[tuple[str, LogUpdate]]:
        """What has been committed since goes to those that wait for it."""
        updates = []
        for follower, subscription in list(self.subscriptions.items()):
            if now >= subscription.expires_at:
                del self.subscriptions[follower]
            elif subscription.sent_index < self.node.commit:
                update = self._build_update(subscription.sent_index)
                if update.entries:
                    subscription.sent_index = update.entries[-1].index
                    updates.append((follower, update))
        return updates

    def _build_update(self, after_index: int) -> LogUpdate:
        node = self.node
        snapshot = node.snapshot if after_index < node.snapshot.index else None
        entries = [
            entry for entry in node.entries_after(max(after_index, node.snapshot.index)) if entry.index <= node.commit
        ]
        return LogUpdate(node.commit, entries, snapshot, node.leader)


@dataclass(slots=True)
class Follower:
    """Of the voters named here; `index` is what it holds."""

    rng: random.Random
    voters: VoterAddresses
    now: float
    index: int = 0
    commit: int = 0
    leader: str = ""
    voter: str = ""
    heard_at: float = -inf
    leader_heard_at: float = (
        -inf
    )  # when a voter last answered that knows a leader: one that is cut off itself answers as well
    _poll_at: float = 0.0
    _rotation: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._poll_at = self.now

    def tick(self, now: float) -> tuple[str, Subscribe] | None:
        """Whom to ask."""
        self.now = max(self.now, now)
        if self._poll_at > self.now or not self.voters:
            return None
        if not self.voter or self.voter not in self.voters or self.now - self.heard_at > ANSWER_TIMEOUT_SECONDS:
            self.voter = self._next_voter()
        self._poll_at = self.now + POLL_INTERVAL_SECONDS * (0.8 + 0.4 * self.rng.random())
        return self.voter, Subscribe(self.index)

    def next_tick(self) -> float:
        return max(self.now, self._poll_at) if self.voters else inf

    def receive(self, now: float, source: str, payload: LogUpdate) -> tuple[Snapshot | None, Sequence[Entry]]:
        """What is new of it, in order. A gap means that something was lost: asked for at once."""
        self.now = max(self.now, now)
        if source == self.voter:
            self.heard_at = self.now
            if payload.leader:
                self.leader_heard_at = self.now
        self.commit, self.leader = max(self.commit, payload.commit), payload.leader or self.leader
        snapshot = payload.snapshot if payload.snapshot is not None and payload.snapshot.index > self.index else None
        if snapshot is not None:
            self.index = snapshot.index
        new_entries = [entry for entry in payload.entries if entry.index > self.index]
        if new_entries and new_entries[0].index != self.index + 1:
            self._poll_at = self.now
            return snapshot, []
        if new_entries:
            self.index = new_entries[-1].index
        if self.index < self.commit and source == self.voter and (new_entries or snapshot):
            self._poll_at = self.now  # there is more than one message holds
        return snapshot, new_entries

    def _next_voter(self) -> str:
        self._rotation = [name for name in self._rotation if name in self.voters and name != self.voter]
        if not self._rotation:
            self._rotation = [name for name in self.voters if name != self.voter] or list(self.voters)
            self.rng.shuffle(self._rotation)
        return self._rotation.pop()
