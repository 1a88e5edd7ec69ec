"""What is still to be told: each update goes out a bounded number of times, the least told first.

SWIM's dissemination: with some `TIMES` * log10(n + 1) sends of each update by each member all hear of it with high
probability, and what one member sends does not grow with the fleet."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from typing import Generic, TypeVar

from .wire import Update

TIMES = 4
K = TypeVar("K")
V = TypeVar("V")


class Queue(Generic[K, V]):
    """A newer value under the same key takes the place of an older one.

    The order is kept and not made anew with each `take`: those come many times a second, and what waits grows with the
    fleet."""

    def __init__(self) -> None:
        self._waiting: dict[K, tuple[int, int, V, int]] = {}  # key: (sent, serial, value, size)
        self._order: list[tuple[int, int, K]] = []  # (sent, serial, key), sorted; no serial comes twice
        self._least = 1 << 30  # bytes of the smallest value so far
        self._serial = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, key: K, value: V, size: int) -> None:
        self.drop(key)
        self._serial += 1
        self._least = min(self._least, size)
        self._put(key, 0, -self._serial, value, size)

    def _put(self, key: K, sent: int, serial: int, value: V, size: int) -> None:
        self._waiting[key] = sent, serial, value, size
        insort(self._order, (sent, serial, key))

    def drop(self, key: K) -> None:
        if (found := self._waiting.pop(key, None)) is not None:
            del self._order[bisect_left(self._order, found[:2], key=lambda row: row[:2])]

    def take(self, room: int, members: int) -> tuple[list[V], int]:
        """Values that fit into so many bytes, and their size; counted as sent."""
        limit = TIMES * math.ceil(math.log10(members + 1))
        taken: list[tuple[int, K]] = []  # with their places in the order
        used = 0
        for place, (_, _, key) in enumerate(self._order):
            if room - used < self._least:
                break  # nothing that waits fits any more
            size = self._waiting[key][3]
            if size <= room - used:
                used += size
                taken.append((place, key))
        for place, _ in reversed(taken):
            del self._order[place]
        values = []
        for _, key in taken:
            sent, serial, value, size = self._waiting.pop(key)
            values.append(value)
            if sent + 1 < limit:
                self._put(key, sent + 1, serial, value, size)
        return values, used


class Gossip(Queue[str, Update]):
    """Updates about members, one each."""

    def tell(self, update: Update, size: int) -> None:
        self.add(update.id, update, size)

    def some(self, room: int, members: int) -> list[Update]:
        return self.take(room, members)[0]
