"""Queues of pending gossip, used by `protocol` for member updates and by `records` for records.

Each value is sent a bounded number of times, the least often sent first. In SWIM's dissemination some
`RETRANSMIT_MULTIPLIER` * log10(n + 1) sends of each update by each member reach all members with high probability, and
the bytes that one member sends do not grow with the fleet."""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from typing import Generic, TypeVar

from .wire import Update

RETRANSMIT_MULTIPLIER = 4  # sends of one value per log10 of the number of members
KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


class TransmitQueue(Generic[KeyT, ValueT]):
    """Values to be sent a bounded number of times; a newer value replaces an older one under the same key.

    The order is maintained on each change and not sorted on each `take`: `take` is called many times a second, and the
    queue grows with the fleet."""

    def __init__(self) -> None:
        self._pending: dict[KeyT, tuple[int, int, ValueT, int]] = {}  # key: (sent, serial, value, size)
        self._order: list[tuple[int, int, KeyT]] = []  # (sent, serial, key), sorted; serials are unique
        self._min_size = 1 << 30  # bytes of the smallest value so far
        self._serial = 0

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, key: KeyT, value: ValueT, size: int) -> None:
        """Queue a value of `size` bytes in place of any value under the same key."""
        self.drop(key)
        self._serial += 1
        self._min_size = min(self._min_size, size)
        self._put(key, 0, -self._serial, value, size)

    def _put(self, key: KeyT, sent: int, serial: int, value: ValueT, size: int) -> None:
        self._pending[key] = sent, serial, value, size
        insort(self._order, (sent, serial, key))

    def drop(self, key: KeyT) -> None:
        """Remove the value under `key`, if there is one."""
        if (removed := self._pending.pop(key, None)) is not None:
            del self._order[bisect_left(self._order, removed[:2], key=lambda entry: entry[:2])]

    def take(self, max_bytes: int, members: int) -> tuple[list[ValueT], int]:
        """Return the values that fit into `max_bytes` and their total size, and count each as sent once more."""
        max_sends = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1))
        taken: list[tuple[int, KeyT]] = []  # with their positions in the order
        used = 0
        for position, (_, _, key) in enumerate(self._order):
            if max_bytes - used < self._min_size:
                break  # no pending value fits any more
            size = self._pending[key][3]
            if size <= max_bytes - used:
                used += size
                taken.append((position, key))
        for position, _ in reversed(taken):
            del self._order[position]
        values = []
        for _, key in taken:
            sent, serial, value, size = self._pending.pop(key)
            values.append(value)
            if sent + 1 < max_sends:
                self._put(key, sent + 1, serial, value, size)
        return values, used


class Gossip(TransmitQueue[str, Update]):
    """Pending updates about members, at most one for each member."""

    def enqueue(self, update: Update, size: int) -> None:
        """Queue an update of `size` bytes in place of any older one about the same member."""
        self.add(update.id, update, size)

    def next_updates(self, max_bytes: int, members: int) -> list[Update]:
        """Return the updates for the next message, within `max_bytes`."""
        return self.take(max_bytes, members)[0]
