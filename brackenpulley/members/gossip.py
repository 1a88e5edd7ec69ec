"""What is still to be told: each update goes out a bounded number of times, the least told first.

SWIM's dissemination: with some `TIMES` * log10(n + 1) sends of each update by each member all hear of it with high
probability, and what one member sends does not grow with the fleet."""

from __future__ import annotations

import math
from typing import Generic, TypeVar

from .wire import Update

TIMES = 4
K = TypeVar("K")
V = TypeVar("V")


class Queue(Generic[K, V]):
    """A newer value under the same key takes the place of an older one."""

    def __init__(self) -> None:
        self._waiting: dict[K, tuple[int, int, V, int]] = {}  # key: (sent, serial, value, size)
        self._serial = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, key: K, value: V, size: int) -> None:
        self._serial += 1
        self._waiting[key] = 0, -self._serial, value, size

    def drop(self, key: K) -> None:
        self._waiting.pop(key, None)

    def take(self, room: int, members: int) -> tuple[list[V], int]:
        """Values that fit into so many bytes, and their size; counted as sent."""
        limit = TIMES * math.ceil(math.log10(members + 1))
        taken, used = [], 0
        for key, (sent, serial, value, size) in sorted(self._waiting.items(), key=lambda item: item[1][:2]):
            if size > room - used:
                continue
            used += size
            taken.append(value)
            if sent + 1 >= limit:
                del self._waiting[key]
            else:
                self._waiting[key] = sent + 1, serial, value, size
        return taken, used


class Gossip(Queue[str, Update]):
    """Updates about members, one each."""

    def tell(self, update: Update, size: int) -> None:
        self.add(update.id, update, size)

    def some(self, room: int, members: int) -> list[Update]:
        return self.take(room, members)[0]
