"""Distribution of committed log entries to processes without a vote.

    follower  | subscribes at one voter and turns to another one when no answer comes; each poll names its last index
    voter     | answers at once with what is missing, and sends on what is committed until the subscription expires

Followers spread over the voters, and each entry goes to each follower once, plus one poll per follower every
`POLL_INTERVAL_SECONDS`. A lost message delays a follower by one such interval. A commit index reported by any voter is
final, whichever voter leads, so a follower may subscribe at any of them.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

from .raft import Node
from .wire import Entry, LogUpdate, Snapshot, Subscribe, VoterAddresses

POLL_INTERVAL_SECONDS = 1.0  # between two Subscribe messages of a follower, before jitter
SUBSCRIPTION_SECONDS = 3.5  # lease of a subscription
ANSWER_TIMEOUT_SECONDS = 1.2  # without an answer before the follower turns to another voter


@dataclass(slots=True)
class Subscription:
    """Follower that a voter sends committed entries to."""

    expires_at: float
    sent_index: int  # last index sent to the follower


class Source:
    """Voter side of the feed: tracks subscriptions and builds updates from the log of `node`."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.subscriptions: dict[str, Subscription] = {}

    def subscribe(self, now: float, follower: str, payload: Subscribe) -> LogUpdate:
        """Start or renew the subscription of a follower and return its first update."""
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
        """Return newly committed entries as (follower, update) pairs and drop expired subscriptions."""
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
    """Follower side of the feed: polls one of `voters` and checks that entries arrive without a gap."""

    rng: random.Random
    voters: VoterAddresses
    now: float
    index: int = 0  # last index received
    commit: int = 0  # greatest commit index reported by any voter
    leader: str = ""
    voter: str = ""  # the voter subscribed to, "" before the first poll
    heard_at: float = -inf  # when `voter` last answered
    # When a voter that knows a leader last answered: a voter that is cut off from the quorum answers as well.
    leader_heard_at: float = -inf
    _poll_at: float = 0.0
    _rotation: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._poll_at = self.now

    def tick(self, now: float) -> tuple[str, Subscribe] | None:
        """Return the voter to poll and the message for it, or None when no poll is due."""
        self.now = max(self.now, now)
        if self._poll_at > self.now or not self.voters:
            return None
        if not self.voter or self.voter not in self.voters or self.now - self.heard_at > ANSWER_TIMEOUT_SECONDS:
            self.voter = self._next_voter()
        self._poll_at = self.now + POLL_INTERVAL_SECONDS * (0.8 + 0.4 * self.rng.random())
        return self.voter, Subscribe(self.index)

    def next_tick(self) -> float:
        """Return the time at which `tick` is due, or infinity without voters."""
        return max(self.now, self._poll_at) if self.voters else inf

    def receive(self, now: float, source: str, payload: LogUpdate) -> tuple[Snapshot | None, Sequence[Entry]]:
        """Process an update and return its new snapshot and its new entries, in order.

        A gap in the entries means that an update was lost: they are dropped and requested again at the next tick.
        """
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
            self._poll_at = self.now  # the update was cut at the size limit of a message
        return snapshot, new_entries

    def _next_voter(self) -> str:
        self._rotation = [name for name in self._rotation if name in self.voters and name != self.voter]
        if not self._rotation:
            self._rotation = [name for name in self.voters if name != self.voter] or list(self.voters)
            self.rng.shuffle(self._rotation)
        return self._rotation.pop()
