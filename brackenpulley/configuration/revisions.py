"""The agreed configuration: a part of the log's machine, the same on every process. No I/O.

    a change that comes                          | what becomes of it
    ---------------------------------------------+---------------------------------------------------------
    stands on the revision in the log            | checked whole; the next revision, or refused by its field
    stands on an older one and was taken as that | answered as the first time: it came twice
    stands on any other                          | a conflict: who was first has won
    torn, too large, of another fleet or format  | refused, counted; the last good one stands

Each revision keeps what takes it back, as far as `HISTORY` bytes go: so the way to an earlier one is a computed change,
proposed as a new revision, and who was cut off by little is told which entries to look at."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from .rules import MOST_CHANGE, Change, ChangeError, Content, check, encoded
from .wire import WireError, mark_of, pack, unpack, unpack_change

PART = "configuration"  # of the machine
HISTORY, ROWS = MOST_CHANGE, 200  # bytes and revisions that can be gone back over


class Revision(msgspec.Struct, frozen=True, array_like=True):
    number: int
    at: float  # Unix time of its entry in the log
    by: str
    note: str
    mark: bytes  # of this and all before it
    said: bytes  # mark of the change as proposed, to know one that comes again
    undo: Change
    size: int  # bytes of `undo`


class Dumped(msgspec.Struct, array_like=True):
    number: int
    at: float
    mark: bytes
    history: list[Revision]
    content: bytes


_dumped = msgspec.msgpack.Decoder(Dumped).decode


class Revisions:
    """`number` 0 is the file's own."""

    def __init__(self, fleet: str, counted: Callable[[str], None] = lambda cause: None) -> None:
        self.fleet, self.counted = fleet, counted
        self.counts: dict[str, int] = {}  # by cause: what was refused here
        self._empty()

    @property
    def spoilt(self) -> bool:
        """A snapshot came that cannot be read: what stood before it stands, and nothing is applied on it."""
        return self._spoilt is not None

    def _empty(self) -> None:
        self._spoilt: Any = None
        self.number, self.at, self.mark = 0, 0.0, b""
        self.content = Content()
        self.history: deque[Revision] = deque()

    # Commands.

    def apply(self, at: float, body: bytes) -> Any:
        if self.spoilt:
            return self._refused("spoilt", "change", "the snapshot before it cannot be read here")
        try:
            change = unpack_change(body, self.fleet)
        except WireError as error:
            return self._refused(error.cause, "change", str(error))
        said = mark_of(encoded(change))
        if change.base != self.number:
            if (row := self.row(change.base + 1)) is not None and row.said == said:
                self._count("repeated")
                return {"revision": row.number, "taken": "before"}
            return self._refused("conflict", "base", f"{change.base} is not the revision in force, {self.number}")
        try:
            check(change, self.content)
        except ChangeError as error:
            return self._refused("unfit", error.field, error.text)
        undo = self.content.undo(change)
        self.content.apply(change)
        self.number, self.at, self.mark = self.number + 1, at, mark_of(self.mark, said)
        self.history.append(
            Revision(self.number, at, change.by, change.note, self.mark, said, undo, len(encoded(undo)))
        )
        held = sum(row.size for row in self.history)
        while held > HISTORY or len(self.history) > ROWS:
            held -= self.history.popleft().size
        return {"revision": self.number, "taken": "now"}

    def _refused(self, cause: str, field: str, text: str) -> Any:
        self._count(cause)
        return {"error": text, "field": field}

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1
        self.counted(cause)

    # What it is asked.

    def row(self, number: int) -> Revision | None:
        first = self.history[0].number if self.history else self.number + 1
        return self.history[number - first] if first <= number <= self.number else None

    def way_back(self, number: int, by: str) -> Change:
        """The change that makes the content that of revision `number` again. Raises ChangeError."""
        oldest = self.history[0].number - 1 if self.history else self.number
        if not oldest <= number < self.number:
            there = f"{oldest} to {self.number - 1} can be gone back to" if oldest < self.number else "there is none"
            raise ChangeError("to", f"no way back to revision {number}; {there}")
        plans: dict[str, Any] = {}
        firms: dict[int, Any] = {}
        addresses: dict[str, Any] = {}
        for row in reversed(self.history):
            if row.number > number:
                plans.update(row.undo.plans)
                firms.update(row.undo.firms)
                addresses.update(row.undo.addresses)
        now = self.content
        return Change(
            self.number,
            by,
            {k: v for k, v in plans.items() if now.plans.get(k) != v},
            {k: v for k, v in firms.items() if now.firms.get(k) != v},
            {k: v for k, v in addresses.items() if now.addresses.get(k) != v},
            f"back to revision {number}",
        )

    def touched(self, mark: bytes) -> Change | None:
        """Entries that changed after the revision of that mark, by name; None where that is too long ago."""
        found = Change(self.number, "")
        if mark == self.mark:
            return found
        for row in reversed(self.history):
            found.plans.update(row.undo.plans)
            found.firms.update(row.undo.firms)
            found.addresses.update(row.undo.addresses)
            before = self.row(row.number - 1)
            if before.mark == mark if before is not None else row.number == 1 and mark == b"":
                return found
        return None

    # Kept in snapshots.

    def dump(self) -> Any:
        if self.spoilt:
            return self._spoilt
        return encoded(Dumped(self.number, self.at, self.mark, list(self.history), pack(self.content)))

    def load(self, dumped: Any) -> None:
        """One that cannot be read is counted, and told on as it came."""
        if not dumped:
            self._empty()
            return
        try:
            told = _dumped(dumped)
            content = unpack(told.content)
        except (msgspec.MsgspecError, WireError, TypeError):
            self._count("torn")
            self._spoilt = dumped
            return
        self._spoilt = None
        self.number, self.at, self.mark, self.content = told.number, told.at, told.mark, content
        self.history = deque(told.history)
