"""Which revision is in force at one process, and how old that is. No I/O; the clock is passed in.

    the log here                              | in force
    ------------------------------------------+---------------------------------------------------------------
    nothing heard yet                         | the copy on the own disk, else the file's: number 0
    not caught up with what is committed      | what was; a process that starts anew passes none of the way by
    caught up, a later revision               | that one, at once, led or not: what is committed is committed
    caught up, an earlier or another one      | what was, for `BACK` s of a log that is led: a voter's disk may be
                                              | behind what it knew; then the log's: the fleet has another log
    silent, for however long                  | what was; it says how long the log has been silent

What is in force is a copy of its own: what the log's machine is about to hold never shows through."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ..consensus.agreement import Agreement
from .revisions import Revisions
from .rules import Change, Content

BACK = 10.0  # s
LED = 3.0  # s that a follower's word of a leader is good for: some questions to a voter
BLIND = 8.0  # s after which a process serves with what it has though nothing was heard, as maintenance/agent


@dataclass(slots=True, frozen=True)
class Here:
    """The log as this process has it."""

    caught_up: bool  # all is applied that it knows to be committed, by the word of any voter
    heard: float = -inf  # when it last heard of a leader
    led: bool = False  # that is now


def log_here(agreement: Agreement, now: float) -> Here:
    node, follower = agreement.node, agreement.follower
    if node is not None:
        led = not node.halted and node.leader != ""
        return Here(not node.halted and agreement.machine.index >= node.commit, now if led else -inf, led)
    if follower is None:
        return Here(False)
    return Here(
        follower.heard > -inf and agreement.machine.index >= follower.commit, follower.led, now - follower.led < LED
    )


@dataclass(slots=True)
class Taken:
    """What a step to another revision changed."""

    plans: list[str] = field(default_factory=list)
    firms: list[int] = field(default_factory=list)
    addresses: list[str] = field(default_factory=list)


class InForce:
    def __init__(self, now: float) -> None:
        self.number, self.at, self.mark = 0, 0.0, b""  # `at`: when it was agreed, Unix time
        self.since = now  # in force here
        self.content = Content()
        self.source = "file"  # or copy, log
        self.heard = -inf  # when the log was last heard of
        self.born = now
        self.caught_up = False  # with a log that was led, once in this life
        self._back_since = inf

    def start(self, number: int, at: float, mark: bytes, content: Content) -> None:
        """A copy of an earlier life."""
        self.number, self.at, self.mark, self.content, self.source = number, at, mark, content, "copy"

    def look(self, now: float, log: Revisions, here: Here) -> Taken | None:
        """What changes now, if anything; it is in force from here on."""
        self.heard = max(self.heard, here.heard)
        if not here.caught_up or log.spoilt:
            self._back_since = inf
            return None
        self.caught_up = self.caught_up or here.led
        if log.mark == self.mark:
            self._back_since = inf
            self.source = "log" if log.number else "file"
            return None
        if log.number <= self.number and (not here.led or now < min(self._back_since, now) + BACK):
            self._back_since = min(self._back_since, now) if here.led else inf
            return None
        self._back_since = inf
        return self._take(now, log)

    def _take(self, now: float, log: Revisions) -> Taken:
        told = log.touched(self.mark)
        taken = _differences(self.content, log.content) if told is None else _named(told)
        if told is None:
            self.content = log.content.copy()
        else:
            new = log.content
            self.content.apply(
                Change(
                    self.number,
                    "",
                    {name: new.plans.get(name) for name in taken.plans},
                    {firm: new.firms.get(firm) for firm in taken.firms},
                    {name: new.addresses.get(name) for name in taken.addresses},
                )
            )
        self.number, self.at, self.mark, self.since = log.number, log.at, log.mark, now
        self.source = "log" if log.number else "file"
        return taken

    def silent(self, now: float) -> float:
        """s since the log was heard of; since the start where it never was."""
        return now - max(self.heard, self.born)

    def knows(self, now: float) -> bool:
        """The log's word has come, or was waited for in vain."""
        return self.caught_up or now >= self.born + BLIND


def _named(told: Change) -> Taken:
    return Taken(list(told.plans), list(told.firms), list(told.addresses))


def _differences(old: Content, new: Content) -> Taken:
    names = [name for name in {**old.plans, **new.plans} if old.plans.get(name) != new.plans.get(name)]
    firms = (
        list(new.firms)
        if not old.firms
        else [firm for firm in old.firms.keys() | new.firms.keys() if old.firms.get(firm) != new.firms.get(firm)]
    )
    addresses = [
        name for name in {**old.addresses, **new.addresses} if old.addresses.get(name) != new.addresses.get(name)
    ]
    return Taken(names, firms, addresses)
