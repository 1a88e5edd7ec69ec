"""Choice of the active revision in one process, and how long the replicated log has been silent.

Used by `service`. Does no I/O; the clock is passed in.

    replicated log here                       | active revision
    ------------------------------------------+---------------------------------------------------------------
    nothing heard yet                         | the copy on this host's disk, else the file's settings (number 0)
    behind the commit index                   | unchanged; a restarting process skips all intermediate revisions
    caught up, later revision                 | that revision, at once, with or without a leader: it is committed
    caught up, earlier or diverging revision  | unchanged until the log has had a leader for
                                              | `ROLLBACK_DELAY_SECONDS`, since a voter's disk may be behind what it
                                              | knew; then the log's revision: the fleet has another log
    silent, for however long                  | unchanged; the status shows how long the log has been silent

The active content is a copy, so that entries the log applies later never show through.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from ..consensus.agreement import Agreement
from .revisions import Revisions
from .rules import Change, Content

ROLLBACK_DELAY_SECONDS = 10.0  # of a log with a leader, before an earlier or diverging revision is adopted
LEADER_VALID_SECONDS = 3.0  # how long a follower trusts the last news of a leader; spans several polls of a voter
STARTUP_WAIT_SECONDS = 8.0  # after which a process serves with what it has; the same as in maintenance/agent


@dataclass(slots=True, frozen=True)
class LogState:
    """State of the replicated log as this process sees it."""

    caught_up: bool  # everything is applied that any voter reported as committed
    last_heard: float = -inf  # when a leader was last heard of
    has_leader: bool = False  # a leader is known now


def log_state(agreement: Agreement, now: float) -> LogState:
    """Return the state of the replicated log on a voter or a follower."""
    node, follower = agreement.node, agreement.follower
    if node is not None:
        has_leader = not node.is_halted and node.leader != ""
        return LogState(
            not node.is_halted and agreement.machine.index >= node.commit, now if has_leader else -inf, has_leader
        )
    if follower is None:
        return LogState(False)
    return LogState(
        follower.heard_at > -inf and agreement.machine.index >= follower.commit,
        follower.leader_heard_at,
        now - follower.leader_heard_at < LEADER_VALID_SECONDS,
    )


@dataclass(slots=True)
class ChangedEntries:
    """Keys of the entries that differ between two revisions."""

    plans: list[str] = field(default_factory=list)
    firms: list[int] = field(default_factory=list)
    addresses: list[str] = field(default_factory=list)


class ActiveRevision:
    """The revision that applies in this process, and where it came from."""

    def __init__(self, now: float) -> None:
        self.number = 0
        self.agreed_at = 0.0  # Unix time
        self.digest = b""
        self.since = now  # active here
        self.content = Content()
        self.source = "file"  # or copy, log
        self.last_heard = -inf  # when a leader of the log was last heard of
        self.started = now
        self.caught_up = False  # with a log that had a leader, at least once since the start
        self._rollback_since = inf

    def start(self, number: int, agreed_at: float, digest: bytes, content: Content) -> None:
        """Adopt the copy that an earlier run of this process stored."""
        self.number, self.agreed_at, self.digest, self.content, self.source = (
            number,
            agreed_at,
            digest,
            content,
            "copy",
        )

    def update(self, now: float, log: Revisions, state: LogState) -> ChangedEntries | None:
        """Adopt the log's revision if the rules allow it; return the changed entries, or None if nothing changed."""
        self.last_heard = max(self.last_heard, state.last_heard)
        if not state.caught_up or log.is_unreadable:
            self._rollback_since = inf
            return None
        self.caught_up = self.caught_up or state.has_leader
        if log.digest == self.digest:
            self._rollback_since = inf
            self.source = "log" if log.number else "file"
            return None
        if log.number <= self.number and (
            not state.has_leader or now < min(self._rollback_since, now) + ROLLBACK_DELAY_SECONDS
        ):
            self._rollback_since = min(self._rollback_since, now) if state.has_leader else inf
            return None
        self._rollback_since = inf
        return self._adopt(now, log)

    def _adopt(self, now: float, log: Revisions) -> ChangedEntries:
        change = log.changed_since(self.digest)
        changed = _differences(self.content, log.content) if change is None else _changed_keys(change)
        if change is None:
            self.content = log.content.copy()
        else:
            new = log.content
            self.content.apply(
                Change(
                    self.number,
                    "",
                    {name: new.plans.get(name) for name in changed.plans},
                    {firm: new.firms.get(firm) for firm in changed.firms},
                    {name: new.addresses.get(name) for name in changed.addresses},
                )
            )
        self.number, self.agreed_at, self.digest, self.since = log.number, log.agreed_at, log.digest, now
        self.source = "log" if log.number else "file"
        return changed

    def silence(self, now: float) -> float:
        """Return the seconds since a leader of the log was heard of, or since the start if none ever was."""
        return now - max(self.last_heard, self.started)

    def is_settled(self, now: float) -> bool:
        """Tell whether the process has caught up with the log, or has waited for it long enough."""
        return self.caught_up or now >= self.started + STARTUP_WAIT_SECONDS


def _changed_keys(change: Change) -> ChangedEntries:
    return ChangedEntries(list(change.plans), list(change.firms), list(change.addresses))


def _differences(old: Content, new: Content) -> ChangedEntries:
    names = [name for name in {**old.plans, **new.plans} if old.plans.get(name) != new.plans.get(name)]
    firms = (
        list(new.firms)
        if not old.firms
        else [firm for firm in old.firms.keys() | new.firms.keys() if old.firms.get(firm) != new.firms.get(firm)]
    )
    addresses = [
        name for name in {**old.addresses, **new.addresses} if old.addresses.get(name) != new.addresses.get(name)
    ]
    return ChangedEntries(names, firms, addresses)
