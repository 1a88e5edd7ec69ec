"""Timeouts for a client that sends a message: tells a slow client from a stalled one. Times are passed in.

| received so far                       | the message is given up (408) when                                      |
| ------------------------------------- | ----------------------------------------------------------------------- |
| nothing, or a part of the headers     | `HEAD_TIMEOUT_SECONDS` have passed since its first byte; for the first  |
|                                       | message since connecting: a bad client must get its answer within 3 s   |
| a part of the body, some of it lately | its average rate is below `MIN_BYTES_PER_SECOND`, after                 |
|                                       | `RATE_GRACE_SECONDS`                                                    |
| a part of the body, none of it lately | `STALL_TIMEOUT_SECONDS` have passed since its last byte; for the first  |
|                                       | message `FIRST_MESSAGE_STALL_TIMEOUT_SECONDS`, once                     |
|                                       | `HEAD_TIMEOUT_SECONDS` have passed since connecting                     |
| a part of the body, reading is paused | never: time in which this ingress does not read is not counted; but the |
|                                       | message's own time runs while its server takes nothing, and may run     |
|                                       | already where its client may have sent everything (see `backlog`)       |
"""

from __future__ import annotations

from .backlog import Backlog

HEAD_TIMEOUT_SECONDS = 2.4  # a client may take 2 s for its headers, and the sweep finds it up to 0.25 s late
STALL_TIMEOUT_SECONDS = 2.0  # without a byte of the body
FIRST_MESSAGE_STALL_TIMEOUT_SECONDS = 1.0  # the same for the first message of a connection
RATE_GRACE_SECONDS = 15.0  # from the first byte of the body, before its rate is checked
MIN_BYTES_PER_SECOND = 16 << 10  # clients are promised that 64 kB/s is fast enough
DRAINED_SECONDS = 0.1  # without input, after which a client has no bytes waiting; less may be the network


class Pace:
    """Measures how fast the messages of one connection arrive. Times are in seconds, on the caller's clock."""

    __slots__ = (
        "message_started_at",
        "body_started_at",
        "last_progress_at",
        "paused_at",
        "is_first_message",
        "taken_bytes",
        "taken_at",
        "backlog",
    )

    def __init__(self, now: float) -> None:
        self.is_first_message = True  # its timeout for the headers runs from the time of connecting
        self.message_started_at = now  # first byte of the current message, or the time of connecting
        self.body_started_at = 0.0  # when the headers were complete; 0 before that
        self.last_progress_at = now  # last byte of the body, or the end of the last pause
        self.paused_at = 0.0  # since when nothing is read; 0 while reading
        self.taken_bytes, self.taken_at = 0, now  # of the body by a server, and when that changed last
        self.backlog: Backlog | None = None  # while the client has had bytes waiting without a break

    def begin_message(self, now: float) -> None:
        """Records the first byte of a message."""
        self.message_started_at, self.body_started_at, self.paused_at, self.is_first_message = now, 0.0, 0.0, False
        self.backlog = None

    def receive_body(self, now: float) -> None:
        """Records that bytes were received and that the headers are complete."""
        self.body_started_at = self.body_started_at or now
        self.last_progress_at = now

    def set_paused(self, now: float, is_paused: bool, arrived_bytes: int = 0) -> None:
        """Records that reading is paused or resumed. The time of a pause is not counted.

        `arrived_bytes` are those of the body that were read before a pause.
        """
        if is_paused and not self.paused_at:
            self.paused_at = now
            self.backlog = self.backlog or Backlog(now, arrived_bytes)
        elif not is_paused and self.paused_at:
            self.body_started_at += now - self.paused_at
            self.last_progress_at, self.paused_at = now, 0.0

    def record_taken(self, now: float, taken_bytes: int) -> None:
        """Records how much of the body its server has taken."""
        if taken_bytes != self.taken_bytes:
            self.taken_bytes, self.taken_at = taken_bytes, now

    def has_server_stalled(self, now: float, timeout: float) -> bool:
        """Returns whether reading has been paused for `timeout` seconds by a server that took nothing."""
        return bool(self.paused_at) and now - max(self.paused_at, self.taken_at) > timeout

    def record_arrived(self, now: float, arrived_bytes: int, waiting_bytes: int, total_bytes: int) -> None:
        """Records that `arrived_bytes` of a body of `total_bytes` (-1: unknown) came, `waiting_bytes` are not read."""
        if not waiting_bytes:
            self.record_input(now)
        if self.backlog is not None:
            self.backlog.record(now, arrived_bytes, total_bytes)

    def record_input(self, now: float) -> None:
        """Ends the backlog if nothing came for a while before `now`, though it would have been read."""
        if not self.paused_at and now - self.last_progress_at >= DRAINED_SECONDS:
            self.backlog = None

    @property
    def sent_since(self) -> float:
        """When the client may have sent everything, if that may be long ago; else 0."""
        return 0.0 if self.backlog is None else self.backlog.sent_since()

    def has_timed_out(self, now: float, size: int) -> bool:
        """Returns whether the message must be given up; `size` is the number of bytes received of its body."""
        if self.paused_at:
            return False
        if not self.body_started_at:
            return now - self.message_started_at > HEAD_TIMEOUT_SECONDS
        stalled = now - self.last_progress_at
        if (
            stalled > STALL_TIMEOUT_SECONDS
            or self.is_first_message
            and stalled > FIRST_MESSAGE_STALL_TIMEOUT_SECONDS
            and now - self.message_started_at > HEAD_TIMEOUT_SECONDS
        ):
            return True
        elapsed = now - self.body_started_at
        return elapsed > RATE_GRACE_SECONDS and size < MIN_BYTES_PER_SECOND * elapsed
