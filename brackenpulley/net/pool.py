"""Pool of fixed-size read buffers, shared by all connections of a process."""

from __future__ import annotations

BUFFER_BYTES = 65536
MAX_FREE_BUFFERS = 8


class Pool:
    """Reuses read buffers. A buffer is released in the same read operation that acquired it."""

    def __init__(self) -> None:
        self._free: list[bytearray] = []
        self.in_use = 0

    def acquire(self) -> bytearray:
        """Return a buffer of BUFFER_BYTES with arbitrary content."""
        self.in_use += 1
        return self._free.pop() if self._free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer to the pool."""
        self.in_use -= 1
        if len(self._free) < MAX_FREE_BUFFERS:
            self._free.append(buffer)
