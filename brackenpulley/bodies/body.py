"""One body, from the peer that writes it to the peer that reads it.

| state   | means                                         | next                                                   |
| ------- | --------------------------------------------- | ------------------------------------------------------ |
| WAITING | nobody takes it yet; what came is held        | FLOWING at the first `begin`; CUT; DROPPED; ENDED      |
| FLOWING | a reader takes it while it comes              | ENDED, CUT, DROPPED                                    |
| ENDED   | all of it is in; the reader may still take    | DROPPED                                                |
| CUT     | its writer broke off: never whole             | DROPPED                                                |
| DROPPED | nobody wants it any more: what comes is lost  | none                                                   |

`whole` is ENDED with every byte taken by the reader. A body can be read from its first byte `again`, by another
attempt, while it is kept: in memory up to a size, then in a file where there is a folder for that, then not at all."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .shares import Shares
    from .spool import Spool

SLICE = 65536  # bytes handed to a reader at a time


class State(Enum):
    WAITING = "waiting"
    FLOWING = "flowing"
    ENDED = "ended"
    CUT = "cut off"
    DROPPED = "dropped"


WAITING, FLOWING, ENDED, CUT, DROPPED = State  # asked for with each slice, so without a look into the class


def _nothing() -> None: ...


class Hole(Exception):
    """What was kept in a file cannot be read any more: this attempt cannot go on, and no other can begin."""


class Body:
    """Owned by who makes it, until `drop`; `shares` counts what it holds. Sizes are bytes.

    `changed` is called when there is something new for the reader: bytes, the end, a cut. `eased` is called when the
    writer may put in more after it had no room. Neither is called from within a call of the same side."""

    __slots__ = (
        "shares",
        "length",
        "state",
        "size",
        "kept",
        "changed",
        "eased",
        "_parts",
        "_gone",
        "_at",
        "_index",
        "_offset",
        "full",
        "_spool",
    )

    def __init__(self, shares: Shares, length: int = -1, keep: bool = False) -> None:
        """`length`: of the whole, where its writer told it, else -1. `keep`: for another attempt, if there is room."""
        self.shares, self.length, self.kept = shares, length, keep
        self.state = WAITING
        self.size = 0  # put in so far
        self.changed: Callable[[], None] = _nothing
        self.eased: Callable[[], None] = _nothing
        self._parts: list[bytes] = []  # what is held, in order
        self._gone = 0  # let go in front of them
        self._at = 0  # taken by the reader, from the first byte on
        self._index = self._offset = 0  # where that is in the parts
        self.full = False  # the writer was told that there is no room, and waits until it is eased
        self._spool: Spool | None = None  # all of it so far, where it is kept in a file
        shares.begin()

    @property
    def held(self) -> int:
        return self.size - self._gone

    @property
    def ahead(self) -> int:
        """In, and not taken by the reader."""
        return self.size - self._at

    @property
    def coming(self) -> bool:
        """More may be put in."""
        return self.state is FLOWING or self.state is WAITING

    def again(self) -> bool:
        """It can be read from its first byte once more."""
        return (not self._gone or self._spool is not None) and self.state not in (CUT, DROPPED)

    @property
    def whole(self) -> bool:
        return self.state is ENDED and not self.ahead

    # The writer's side.

    def space(self) -> int:
        """How much may be put in now. A body that nobody wants takes everything, and holds nothing."""
        if self.state is DROPPED:
            return SLICE
        room = self.shares.window - (self.size - self._at)
        if room > 0:
            return room
        self.full = True  # until `eased` is called, whatever is asked in between
        return 0

    def put(self, part: bytes) -> None:
        """All of it, even past `space`: a parser may give more at once than was asked for."""
        if self.state is DROPPED or not part:
            return
        assert self.coming, self.state
        self._parts.append(part)
        self.size += len(part)
        if self.kept:
            if not self.shares.keep(len(part), self.size):
                self._forget()
        elif self._spool is not None and not self._spool.write(part):
            self._spool = None
        self.changed()

    def end(self) -> None:
        if self.coming:
            self.state = ENDED
            self.changed()

    def cut(self) -> None:
        """The writer broke off."""
        if self.coming:
            self.state = CUT
            self.changed()

    # The reader's side.

    def begin(self) -> bool:
        """Read from the first byte on; False where it is gone."""
        if not self.again():
            return False
        if self.state is WAITING:
            self.state = FLOWING
        self._at = self._index = self._offset = 0
        return True

    def take(self, most: int = SLICE) -> list[memoryview]:
        """Slices of what comes next, `most` bytes at most, which then counts as taken. Raises Hole."""
        found = self._from_file(most) if self._at < self._gone else self._from_memory(most)
        if found and self.full and self.coming and self.ahead <= self.shares.window // 2:
            self.full = False
            self.eased()
        return found

    def _from_file(self, most: int) -> list[memoryview]:
        """For an attempt after the first."""
        part = self._spool.read(self._at, min(most, self._gone - self._at)) if self._spool is not None else b""
        if not part:
            self._unspool()
            raise Hole
        self._at += len(part)
        return [memoryview(part)]

    def _from_memory(self, most: int) -> list[memoryview]:
        found: list[memoryview] = []
        while most > 0 and self._index < len(self._parts):
            part = memoryview(self._parts[self._index])[self._offset : self._offset + most]
            found.append(part)
            most -= len(part)
            self._at += len(part)
            self._offset += len(part)
            if self._offset == len(self._parts[self._index]):
                self._index, self._offset = self._index + 1, 0
        if not self.kept:
            self._let_go()
        return found

    def drop(self) -> None:
        """Nobody wants it any more; the one place where what it holds is given back."""
        if self.state is DROPPED:
            return
        coming, self.state = self.coming, DROPPED
        if self.kept:
            self.shares.forget(self.held)
        self._unspool()
        self.shares.end()
        self._parts, self._gone, self._at, self.kept = [], self.size, self.size, False
        self.changed = _nothing
        if coming:  # what still comes is read and lost
            self.eased()
        self.eased = _nothing

    def _forget(self) -> None:
        """Memory has no room to keep it: from here on it is in a file, or can be read once only."""
        self.kept = False
        self.shares.forget(self.held - len(self._parts[-1]))
        spool = self.shares.folder.open() if self.shares.folder is not None else None
        if spool is not None and all(map(spool.write, self._parts)):
            self._spool = spool
        self._let_go()

    def _unspool(self) -> None:
        if self._spool is not None:
            self._spool.drop()
            self._spool = None

    def _let_go(self) -> None:
        if self._index:
            self._gone += sum(map(len, self._parts[: self._index]))
            del self._parts[: self._index]
            self._index = 0
