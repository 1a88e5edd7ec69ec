"""Who does not vote follows: it asks one voter for what is committed, and gets what comes after for some seconds.

    follower  | asks one voter, in turn another where nothing comes; each question names what it holds
    voter     | answers at once with what is missing, and while `LEASE` lasts sends on what is committed

A voter's load is its part of the followers, each entry once; a question a follower every `AGAIN` s. Lost words cost one
`AGAIN`. What a voter calls committed is committed, whoever leads now, so any voter will do."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from math import inf

from .raft import Node
from .wire import Entry, Follow, Seats, Snapshot, Told

AGAIN, LEASE, PATIENCE = 1.0, 3.5, 1.2  # s: between questions, that one holds, without an answer until another is asked


@dataclass(slots=True)
class Followed:
    until: float
    sent: int  # index up to which it has been told


class Source:
    """A voter's side. `tell` is called with what goes to whom."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.followers: dict[str, Followed] = {}

    def asked(self, now: float, who: str, word: Follow) -> Told:
        found = self._told(word.after)
        sent = found.entries[-1].index if found.entries else found.snapshot.index if found.snapshot else word.after
        self.followers[who] = Followed(now + LEASE, sent)
        return found

    def more(self, now: float) -> list[tuple[str, Told]]:
        """What has been committed since goes to those that wait for it."""
        out = []
        for who, one in list(self.followers.items()):
            if now >= one.until:
                del self.followers[who]
            elif one.sent < self.node.commit:
                told = self._told(one.sent)
                if told.entries:
                    one.sent = told.entries[-1].index
                    out.append((who, told))
        return out

    def _told(self, after: int) -> Told:
        node = self.node
        snapshot = node.base if after < node.base.index else None
        entries = [e for e in node.after(max(after, node.base.index)) if e.index <= node.commit]
        return Told(node.commit, entries, snapshot, node.leader)


@dataclass(slots=True)
class Follower:
    """Of the voters named here; `index` is what it holds."""

    rng: random.Random
    voters: Seats
    now: float
    index: int = 0
    commit: int = 0
    leader: str = ""
    asked: str = ""
    heard: float = -inf
    led: float = -inf  # when a voter last answered that knows a leader: one that is cut off itself answers as well
    _ask_at: float = 0.0
    _order: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._ask_at = self.now

    def tick(self, now: float) -> tuple[str, Follow] | None:
        """Whom to ask."""
        self.now = max(self.now, now)
        if self._ask_at > self.now or not self.voters:
            return None
        if not self.asked or self.asked not in self.voters or self.now - self.heard > PATIENCE:
            self.asked = self._turn()
        self._ask_at = self.now + AGAIN * (0.8 + 0.4 * self.rng.random())
        return self.asked, Follow(self.index)

    def next_tick(self) -> float:
        return max(self.now, self._ask_at) if self.voters else inf

    def told(self, now: float, source: str, word: Told) -> tuple[Snapshot | None, Sequence[Entry]]:
        """What is new of it, in order. A gap means that something was lost: asked for at once."""
        self.now = max(self.now, now)
        if source == self.asked:
            self.heard = self.now
            if word.leader:
                self.led = self.now
        self.commit, self.leader = max(self.commit, word.commit), word.leader or self.leader
        snapshot = word.snapshot if word.snapshot is not None and word.snapshot.index > self.index else None
        if snapshot is not None:
            self.index = snapshot.index
        fresh = [entry for entry in word.entries if entry.index > self.index]
        if fresh and fresh[0].index != self.index + 1:
            self._ask_at = self.now
            return snapshot, []
        if fresh:
            self.index = fresh[-1].index
        if self.index < self.commit and source == self.asked and (fresh or snapshot):
            self._ask_at = self.now  # there is more than one message holds
        return snapshot, fresh

    def _turn(self) -> str:
        self._order = [name for name in self._order if name in self.voters and name != self.asked]
        if not self._order:
            self._order = [name for name in self.voters if name != self.asked] or list(self.voters)
            self.rng.shuffle(self._order)
        return self._order.pop()
