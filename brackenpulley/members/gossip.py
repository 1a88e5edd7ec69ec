"""What is still to be told: each update goes out a bounded number of times, the least told first.

SWIM's dissemination: with some `TIMES` * log10(n + 1) sends of each update by each member all hear of it with high
probability, and what one member sends does not grow with the fleet."""

from __future__ import annotations

import math

from .wire import Update

TIMES = 4


class Gossip:
    """A newer update about a member takes the place of an older one."""

    def __init__(self) -> None:
        self._waiting: dict[str, tuple[int, int, Update, int]] = {}  # member: (sent, serial, update, size)
        self._serial = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, update: Update, size: int) -> None:
        self._serial += 1
        self._waiting[update.id] = 0, -self._serial, update, size

    def take(self, room: int, members: int) -> list[Update]:
        """Updates that fit into so many bytes; counted as sent."""
        limit = TIMES * math.ceil(math.log10(members + 1))
        taken = []
        for ident, (sent, serial, update, size) in sorted(self._waiting.items(), key=lambda item: item[1][:2]):
            if size > room:
                continue
            room -= size
            taken.append(update)
            if sent + 1 >= limit:
                del self._waiting[ident]
            else:
                self._waiting[ident] = sent + 1, serial, update, size
        return taken
