"""A body on its way from the peer that writes it to the peer that reads it.

| state   | meaning                                            | next states                                        |
| ------- | -------------------------------------------------- | -------------------------------------------------- |
| WAITING | no reader yet; what was received is held           | FLOWING at the first `begin`; ENDED, ABORTED,      |
|         |                                                    | DROPPED                                            |
| FLOWING | a reader takes the body while it is received       | ENDED, ABORTED, DROPPED                            |
| ENDED   | completely received; the reader may still take     | DROPPED                                            |
| ABORTED | the writer broke off; the body is never complete   | DROPPED                                            |
| DROPPED | no longer wanted; what is received is discarded    | none                                               |

A body is complete when it is ENDED and the reader has taken every byte. While it is kept, another attempt can read it
from its first byte. It is kept in memory up to a size, then in a file if a spool folder is configured, else not at all.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .memory import BodyMemory
    from .spool import Spool

MAX_SLICE_BYTES = 65536  # that a reader gets at a time
JOINED_PART_BYTES = 1024  # smaller parts are held as one: each would cost some 100 bytes beside its content


class State(Enum):
    """The state of a body. The table at the head of the module lists the transitions."""

    WAITING = "waiting"
    FLOWING = "flowing"
    ENDED = "ended"
    ABORTED = "cut off"
    DROPPED = "dropped"


WAITING, FLOWING, ENDED, ABORTED, DROPPED = State  # used for each slice, where the lookup in the class would cost time


def _no_op() -> None: ...


class SpoolReadError(Exception):
    """The part of a body that was kept in a file cannot be read.

    The current attempt cannot continue, and no other attempt can begin.
    """


class Body:
    """A buffer between one writer and one reader. Sizes are in bytes.

    Whoever creates a body owns it until `drop`; `memory` accounts for what it holds. `on_change` is called when there
    is something new for the reader: bytes, the end or an abort. `on_space` is called when a writer that was blocked may
    put in more. Neither is called during a call from the same side.
    """

    __slots__ = (
        "memory",
        "length",
        "state",
        "size",
        "is_kept",
        "on_change",
        "on_space",
        "_parts",
        "_released_bytes",
        "_position",
        "_part_index",
        "_part_offset",
        "is_writer_blocked",
        "_spool",
    )

    def __init__(self, memory: BodyMemory, length: int = -1, keep: bool = False) -> None:
        """`length` is the announced length, or -1. `keep` keeps the body for another attempt, if there is room."""
        self.memory, self.length, self.is_kept = memory, length, keep  # is_kept: all of it so far is in memory
        self.state = WAITING
        self.size = 0  # received so far
        self.on_change: Callable[[], None] = _no_op
        self.on_space: Callable[[], None] = _no_op
        self._parts: list[bytes] = []  # held in memory, in order
        self._released_bytes = 0  # in front of the parts, no longer in memory
        self._position = 0  # of the reader, from the first byte
        self._part_index = self._part_offset = 0  # of the reader, within the parts
        self.is_writer_blocked = False  # the writer got no space and waits for `on_space`
        self._spool: Spool | None = None  # holds all of it so far, where it is kept in a file
        memory.open_body()

    @property
    def held_bytes(self) -> int:
        """Bytes that are held in memory."""
        return self.size - self._released_bytes

    @property
    def taken_bytes(self) -> int:
        """Bytes that the current reader has taken."""
        return self._position

    @property
    def unread_bytes(self) -> int:
        """Bytes that were received and not taken by the reader."""
        return self.size - self._position

    @property
    def is_open(self) -> bool:
        """Whether more may be put in."""
        return self.state is FLOWING or self.state is WAITING

    def can_restart(self) -> bool:
        """Returns whether the body can be read from its first byte once more."""
        return (not self._released_bytes or self._spool is not None) and self.state not in (ABORTED, DROPPED)

    @property
    def is_complete(self) -> bool:
        """Whether the body has ended and the reader has taken all of it."""
        return self.state is ENDED and not self.unread_bytes

    # The writer's side.

    def available_space(self) -> int:
        """Returns how many bytes may be put in now; 0 blocks the writer until `on_space` is called.

        A dropped body accepts everything and holds nothing. One that is kept in memory may run ahead of its reader as
        far as it will be kept: it takes no more memory by that, and its end does not wait for a slow reader.
        """
        if self.state is DROPPED:
            return MAX_SLICE_BYTES
        space = self.memory.window_bytes - (self.size - self._position)
        if self.is_kept:
            space = max(space, self.memory.keepable_bytes(self.size))
        if space > 0:
            return space
        self.is_writer_blocked = True  # until `on_space` is called, even if a later call finds space
        return 0

    def put(self, part: bytes) -> None:
        """Appends a part, even beyond the available space: a parser may return more at once than was requested."""
        if self.state is DROPPED or not part:
            return
        assert self.is_open, self.state
        self._hold(part)
        self.size += len(part)
        if self.is_kept:
            if not self.memory.keep(len(part), self.size):
                self._stop_keeping(len(part))
        elif self._spool is not None and not self._spool.write(part):
            self._spool = None
        self.on_change()

    def _hold(self, part: bytes) -> None:
        """Adds a part in memory: to the last one, if both are small and the reader has not passed it."""
        if self._part_index < len(self._parts) and len(self._parts[-1]) + len(part) <= JOINED_PART_BYTES:
            self._parts[-1] += part
        else:
            self._parts.append(part)

    def end(self) -> None:
        """Marks the end of the body."""
        if self.is_open:
            self.state = ENDED
            self.on_change()

    def abort(self) -> None:
        """Marks that the writer broke off before the end."""
        if self.is_open:
            self.state = ABORTED
            self.on_change()

    # The reader's side.

    def begin(self) -> bool:
        """Starts to read from the first byte. Returns False if that is no longer held."""
        if not self.can_restart():
            return False
        if self.state is WAITING:
            self.state = FLOWING
        self._position = self._part_index = self._part_offset = 0
        return True

    def take(self, max_bytes: int = MAX_SLICE_BYTES) -> list[memoryview]:
        """Returns slices of the next `max_bytes` bytes at most, and counts them as taken.

        Raises SpoolReadError.
        """
        found = (
            self._take_from_file(max_bytes)
            if self._position < self._released_bytes
            else self._take_from_memory(max_bytes)
        )
        if found and self.is_writer_blocked and self.is_open and self.unread_bytes <= self.memory.window_bytes // 2:
            self.is_writer_blocked = False
            self.on_space()
        return found

    def _take_from_file(self, max_bytes: int) -> list[memoryview]:
        """Takes the next slice for an attempt after the first."""
        part = (
            self._spool.read(self._position, min(max_bytes, self._released_bytes - self._position))
            if self._spool is not None
            else b""
        )
        if not part:
            self._drop_spool()
            raise SpoolReadError
        self._position += len(part)
        return [memoryview(part)]

    def _take_from_memory(self, max_bytes: int) -> list[memoryview]:
        found: list[memoryview] = []
        while max_bytes > 0 and self._part_index < len(self._parts):
            part = memoryview(self._parts[self._part_index])[self._part_offset : self._part_offset + max_bytes]
            found.append(part)
            max_bytes -= len(part)
            self._position += len(part)
            self._part_offset += len(part)
            if self._part_offset == len(self._parts[self._part_index]):
                self._part_index, self._part_offset = self._part_index + 1, 0
        if not self.is_kept:
            self._release_taken()
        return found

    def drop(self) -> None:
        """Discards the body. This is the only place that returns the memory and the file that it holds."""
        if self.state is DROPPED:
            return
        was_open, self.state = self.is_open, DROPPED
        if self.is_kept:
            self.memory.release(self.held_bytes)
        self._drop_spool()
        self.memory.close_body()
        self._parts, self._released_bytes, self._position, self.is_kept = [], self.size, self.size, False
        self.on_change = _no_op
        if was_open:  # unblocks the writer; what it still puts in is discarded
            self.on_space()
        self.on_space = _no_op

    def _stop_keeping(self, newest_bytes: int) -> None:
        """Moves the body to a file, because memory has no room to keep it; without a file it can be read only once.

        `newest_bytes` are held and were not counted as kept.
        """
        self.is_kept = False
        self.memory.release(self.held_bytes - newest_bytes)
        spool = self.memory.folder.open() if self.memory.folder is not None else None
        if spool is not None and all(map(spool.write, self._parts)):
            self._spool = spool
        self._release_taken()

    def _drop_spool(self) -> None:
        if self._spool is not None:
            self._spool.drop()
            self._spool = None

    def _release_taken(self) -> None:
        if self._part_index:
            self._released_bytes += sum(map(len, self._parts[: self._part_index]))
            del self._parts[: self._part_index]
            self._part_index = 0
