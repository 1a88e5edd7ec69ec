"""Buffers of one size, used again. Whoever takes one gives it back in the same read."""

from __future__ import annotations

SIZE = 65536
KEEP = 8


class Pool:
    def __init__(self) -> None:
        self._free: list[bytearray] = []
        self.lent = 0

    def take(self) -> bytearray:
        self.lent += 1
        return self._free.pop() if self._free else bytearray(SIZE)

    def give(self, buffer: bytearray) -> None:
        self.lent -= 1
        if len(self._free) < KEEP:
            self._free.append(buffer)
