"""The agreed configuration as a part of the replicated state machine, identical on every process. Does no I/O.

    proposed change                              | outcome
    ---------------------------------------------+---------------------------------------------------------
    based on the latest revision of the log      | checked as a whole; becomes the next revision, or is
                                                 | rejected with the name of the wrong field
    based on an older one, already applied there | a duplicate: answered as the first time
    based on any other revision                  | a conflict: the first proposal has won
    torn, too large, of another fleet or format  | rejected and counted; the last good revision stays

Each revision keeps the change that undoes it, up to `MAX_HISTORY_BYTES` in all. The change back to an earlier revision
is computed from these and proposed as a new revision; a process that missed only a few revisions learns from them which
entries to compare.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from .rules import MAX_CHANGE_BYTES, Change, ChangeError, Content, check, encode_msgpack
from .wire import WireError, digest_of, pack, unpack, unpack_change

PART = "configuration"  # name of this part of the replicated state machine
MAX_HISTORY_BYTES = MAX_CHANGE_BYTES  # of undo changes
MAX_HISTORY_REVISIONS = 200


class Revision(msgspec.Struct, frozen=True, array_like=True):
    """One applied change, with what is needed to undo it."""

    number: int
    agreed_at: float  # Unix time of its entry in the log
    by: str
    note: str
    digest: bytes  # of this change and all before it
    change_digest: bytes  # of the change as proposed, to recognise a duplicate
    undo: Change
    undo_bytes: int  # encoded size of `undo`


class SnapshotState(msgspec.Struct, array_like=True):
    """Encoded form of `Revisions` in a snapshot of the log."""

    number: int
    agreed_at: float
    digest: bytes
    history: list[Revision]
    content: bytes


_decode_snapshot = msgspec.msgpack.Decoder(SnapshotState).decode


class Revisions:
    """The latest agreed revision and its history; number 0 is the file's own settings."""

    def __init__(self, fleet: str, on_event: Callable[[str], None] = lambda cause: None) -> None:
        self.fleet, self.on_event = fleet, on_event
        self.counts: dict[str, int] = {}  # rejected and repeated changes and unreadable snapshots, by cause
        self._reset()

    @property
    def is_unreadable(self) -> bool:
        """Whether the last snapshot could not be read: the state before it stays, and no change is applied to it."""
        return self._unreadable_snapshot is not None

    def _reset(self) -> None:
        self._unreadable_snapshot: Any = None
        self.number = 0
        self.agreed_at = 0.0
        self.digest = b""
        self.content = Content()
        self.history: deque[Revision] = deque()

    # Commands of the log.

    def apply(self, at: float, body: bytes) -> Any:
        """Apply a change that was committed at Unix time `at`; return the new revision, or the error and its field."""
        if self.is_unreadable:
            return self._reject("spoilt", "change", "the snapshot before it cannot be read here")
        try:
            change = unpack_change(body, self.fleet)
        except WireError as error:
            return self._reject(error.cause, "change", str(error))
        change_digest = digest_of(encode_msgpack(change))
        if change.base != self.number:
            if (revision := self.revision(change.base + 1)) is not None and revision.change_digest == change_digest:
                self._count("repeated")
                return {"revision": revision.number, "taken": "before"}
            return self._reject("conflict", "base", f"{change.base} is not the revision in force, {self.number}")
        try:
            check(change, self.content)
        except ChangeError as error:
            return self._reject("unfit", error.field, error.text)
        undo = self.content.undo(change)
        self.content.apply(change)
        self.number, self.agreed_at, self.digest = self.number + 1, at, digest_of(self.digest, change_digest)
        self.history.append(
            Revision(
                self.number, at, change.by, change.note, self.digest, change_digest, undo, len(encode_msgpack(undo))
            )
        )
        history_bytes = sum(revision.undo_bytes for revision in self.history)
        while history_bytes > MAX_HISTORY_BYTES or len(self.history) > MAX_HISTORY_REVISIONS:
            history_bytes -= self.history.popleft().undo_bytes
        return {"revision": self.number, "taken": "now"}

    def _reject(self, cause: str, field: str, text: str) -> Any:
        self._count(cause)
        return {"error": text, "field": field}

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1
        self.on_event(cause)

    # Queries.

    def revision(self, number: int) -> Revision | None:
        """Return the revision of that number, or None if the history does not hold it."""
        first = self.history[0].number if self.history else self.number + 1
        return self.history[number - first] if first <= number <= self.number else None

    def revert_change(self, number: int, by: str) -> Change:
        """Return the change that restores the content of revision `number`. Raises ChangeError."""
        oldest = self.history[0].number - 1 if self.history else self.number
        if not oldest <= number < self.number:
            available = (
                f"{oldest} to {self.number - 1} can be gone back to" if oldest < self.number else "there is none"
            )
            raise ChangeError("to", f"no way back to revision {number}; {available}")
        plans: dict[str, Any] = {}
        firms: dict[int, Any] = {}
        addresses: dict[str, Any] = {}
        for revision in reversed(self.history):
            if revision.number > number:
                plans.update(revision.undo.plans)
                firms.update(revision.undo.firms)
                addresses.update(revision.undo.addresses)
        current = self.content
        return Change(
            self.number,
            by,
            {k: v for k, v in plans.items() if current.plans.get(k) != v},
            {k: v for k, v in firms.items() if current.firms.get(k) != v},
            {k: v for k, v in addresses.items() if current.addresses.get(k) != v},
            f"back to revision {number}",
        )

    def changed_since(self, digest: bytes) -> Change | None:
        """Return the entries changed since the revision with that digest, or None if the history is too short.

        Only the keys count: the values are older ones.
        """
        changed = Change(self.number, "")
        if digest == self.digest:
            return changed
        for revision in reversed(self.history):
            changed.plans.update(revision.undo.plans)
            changed.firms.update(revision.undo.firms)
            changed.addresses.update(revision.undo.addresses)
            previous = self.revision(revision.number - 1)
            if previous.digest == digest if previous is not None else revision.number == 1 and digest == b"":
                return changed
        return None

    # Snapshots of the log.

    def dump(self) -> Any:
        """Return the encoded state; an unreadable snapshot is passed on unchanged."""
        if self.is_unreadable:
            return self._unreadable_snapshot
        return encode_msgpack(
            SnapshotState(self.number, self.agreed_at, self.digest, list(self.history), pack(self.content))
        )

    def load(self, dumped: Any) -> None:
        """Replace the state by that of a snapshot; one that cannot be read is counted and kept for `dump`."""
        if not dumped:
            self._reset()
            return
        try:
            state = _decode_snapshot(dumped)
            content = unpack(state.content)
        except (msgspec.MsgspecError, WireError, TypeError):
            self._count("torn")
            self._unreadable_snapshot = dumped
            return
        self._unreadable_snapshot = None
        self.number, self.agreed_at, self.digest, self.content = state.number, state.agreed_at, state.digest, content
        self.history = deque(state.history)
