"""How long a client may take over a message: one that flows against one that stands. No clock: times are passed in.

| what has come                          | the message is given up (408) when                             |
| -------------------------------------- | -------------------------------------------------------------- |
| nothing, or a part of the head         | `HEAD` s have passed since its first byte (the first message:  |
|                                        | since connecting): a bad client is owed its answer within 3 s  |
| a part of the body, some of it lately  | it is slower on the whole than `SLOWEST`, after `GRACE` s      |
| a part of the body, none of it lately  | `STANDS` s have passed since the last byte of it; in the first |
|                                        | message `STANDS_FIRST`, once `HEAD` have since connecting      |
| a part of the body, which we hold back | never: what we do not read does not count against the client   |
"""

from __future__ import annotations

HEAD = 2.4  # s; a client may spend 2 s on a head, and the sweep finds it up to 0.25 s late
STANDS, STANDS_FIRST = 2.0, 1.0  # s
GRACE = 15.0  # s from the first byte of the body
SLOWEST = 16 << 10  # bytes a second; 64 kB a second is the least that clients are promised


class Pace:
    """The pace of one connection's messages. Times are of the caller's clock, in seconds."""

    __slots__ = ("since", "body_at", "last", "held_back", "first")

    def __init__(self, now: float) -> None:
        self.first = True  # the client's first message: a bad one has its answer by when it connected
        self.since = now  # the first byte of the message in hand, or when its client connected
        self.body_at = 0.0  # when the head was whole; 0 = it is not
        self.last = now  # byte of the body, or the end of the last time that it was held back
        self.held_back = 0.0  # since when nothing is read; 0 = it is

    def begin(self, now: float) -> None:
        """The first byte of a message."""
        self.since, self.body_at, self.held_back, self.first = now, 0.0, 0.0, False

    def body(self, now: float) -> None:
        """Bytes came and the head is whole."""
        self.body_at = self.body_at or now
        self.last = now

    def hold(self, now: float, back: bool) -> None:
        """We stop reading, or read again: the time between counts against nobody."""
        if back and not self.held_back:
            self.held_back = now
        elif not back and self.held_back:
            self.body_at += now - self.held_back
            self.last, self.held_back = now, 0.0

    def stands(self, now: float, size: int) -> bool:
        """The message is to be given up; `size` bytes of its body have come."""
        if self.held_back:
            return False
        if not self.body_at:
            return now - self.since > HEAD
        still = now - self.last
        if still > STANDS or self.first and still > STANDS_FIRST and now - self.since > HEAD:
            return True
        taken = now - self.body_at
        return taken > GRACE and size < SLOWEST * taken
