"""When a client may have sent the last byte of a body that waits for its server. No I/O; times are passed in.

A message's time runs from the moment in which its client has written the last byte. A body that is read no faster than
its server takes it waits in the sockets, in part in the client's send buffer, where this process cannot see it. Such a
client may have sent everything at any moment since which it always had bytes waiting, unless more was still to come
than a send buffer holds.
"""

from __future__ import annotations

MAX_UNSEEN_BYTES = 4 << 20  # in a client's send buffer: the default maximum of Linux (net.ipv4.tcp_wmem)
SAMPLE_BYTES = MAX_UNSEEN_BYTES // 64  # that arrive between two samples


class Backlog:
    """Samples of how much of one body had arrived, since its client has had bytes waiting without a break."""

    __slots__ = ("_samples",)

    def __init__(self, now: float, arrived_bytes: int) -> None:
        self._samples = [(now, arrived_bytes)]  # oldest first, at most one for each SAMPLE_BYTES

    def record(self, now: float, arrived_bytes: int, total_bytes: int) -> None:
        """Records that `arrived_bytes` of a body of `total_bytes` have arrived; -1 where its length is unknown."""
        if arrived_bytes - self._samples[-1][1] >= SAMPLE_BYTES:
            self._samples.append((now, arrived_bytes))
        unsent_before = max(total_bytes, arrived_bytes) - MAX_UNSEEN_BYTES
        is_sample_too_early = [size < unsent_before for _, size in self._samples]
        del self._samples[: sum(is_sample_too_early)]
        if not self._samples:
            self._samples.append((now, arrived_bytes))

    def sent_since(self) -> float:
        """Return the first moment in which the client may have sent everything."""
        return self._samples[0][0]
