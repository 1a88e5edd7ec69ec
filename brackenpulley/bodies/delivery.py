"""Tells a peer that reads slowly from one that has stopped reading. Times are passed in, and no socket is touched.

A sender never sees its peer read. It sees two traces of it, and both come late:

| trace                        | comes late by                                                             |
| ---------------------------- | ------------------------------------------------------------------------- |
| the socket takes more        | up to a third of its send buffer, which must be free before it does so    |
| the peer's system            | up to half of the peer's receive buffer: a receiver may keep the window   |
| acknowledges what it got     | closed until then (RFC 9293, section 3.8.6.2.2)                           |

The send buffer can hold megabytes, so only acknowledgements count here. The size of the peer's receive buffer is
unknown, but it holds no more than was acknowledged and could not yet be read at the slowest pace that is promised. A
peer that reads faster leaves that bound far too high, so it ends at the size that systems give a buffer by themselves.
"""

from __future__ import annotations

# A client may take a body at this pace.
PROMISED_BYTES_PER_SECOND = 64_000
# Largest receive buffer that a peer is taken to have: the default upper bound of Linux (net.ipv4.tcp_rmem).
MAX_RECEIVE_BUFFER_BYTES = 6 << 20
# Part of its receive buffer that a peer may read before its system acknowledges more.
UNACKNOWLEDGED_READ_SHARE = 0.5


class Delivery:
    """How far a peer has come with the data that it is sent. Sizes are in bytes, times in seconds."""

    __slots__ = ("acknowledged_bytes", "last_progress_at", "unread_bytes")

    def __init__(self, now: float, acknowledged_bytes: int) -> None:
        """`acknowledged_bytes` were acknowledged on the connection by now, and are taken as read."""
        self.acknowledged_bytes = acknowledged_bytes
        self.last_progress_at = now
        self.unread_bytes = 0.0  # acknowledged and not yet read by a peer of the promised pace

    def record(self, now: float, acknowledged_bytes: int) -> None:
        """Record how much has been acknowledged on the connection by now."""
        gained = acknowledged_bytes - self.acknowledged_bytes
        if gained <= 0:
            return
        read = PROMISED_BYTES_PER_SECOND * (now - self.last_progress_at)
        self.unread_bytes = min(MAX_RECEIVE_BUFFER_BYTES, max(0.0, self.unread_bytes - read) + gained)
        self.acknowledged_bytes, self.last_progress_at = acknowledged_bytes, now

    def has_stalled(self, now: float, last_write_at: float, timeout: float) -> bool:
        """Return whether the peer has stopped reading.

        That is so if neither the socket took anything (`last_write_at`) nor the peer acknowledged anything for
        `timeout` seconds, or for longer where a peer of the promised pace could have been silent for longer.
        """
        longest_silence = UNACKNOWLEDGED_READ_SHARE * self.unread_bytes / PROMISED_BYTES_PER_SECOND
        return now - max(last_write_at, self.last_progress_at) > max(timeout, longest_silence)
