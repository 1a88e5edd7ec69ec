"""Ids of messages in hand, in a file that the two processes of an upgrade share.

While a new version starts beside the old one, both accept connections at one address. A message whose id comes to both
must run at one of them only. Each process tells the other by a heartbeat in the file that it is there, and only while
another one is does it claim ids: a message pays nothing for this at other times.

The file is a table of fixed size, mapped into memory. Two claims of one id within the same microseconds can both
succeed, since there is no lock; and a claim can be overwritten where the table is crowded.
"""

from __future__ import annotations

import hashlib
import mmap
import os
import struct
from collections.abc import Callable, Iterator
from pathlib import Path

HEARTBEAT = struct.Struct("<Qd")  # token of a process, time of its last heartbeat
CLAIM = struct.Struct("<QQd")  # digest of the id, token of the process, time until which it holds
MAX_PROCESSES = 8
CLAIM_COUNT = 4096
PROBE_COUNT = 16  # places where a claim may stand, from the one that its digest names
PRESENT_SECONDS = 2.0  # after its last heartbeat a process counts as present for this long
MAX_IN_HAND_SECONDS = 600.0  # then the claim of a process that died is void
CLAIMS_OFFSET = MAX_PROCESSES * HEARTBEAT.size
FILE_BYTES = CLAIMS_OFFSET + CLAIM_COUNT * CLAIM.size


class IdClaims:
    """The table of one address, as one process uses it. Times are Unix times in seconds."""

    def __init__(self, path: Path, clock: Callable[[], float]) -> None:
        """Open or create the file. Raises OSError."""
        self._clock, self._path = clock, path
        self._token = int.from_bytes(os.urandom(7), "big") + 1  # 0 marks an empty place
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.ftruncate(descriptor, FILE_BYTES)
            self._table = mmap.mmap(descriptor, FILE_BYTES)
        finally:
            os.close(descriptor)

    def beat(self) -> bool:
        """Tell the others that this process is there, and return whether another one is."""
        now, own_place, free_place, is_shared = self._clock(), -1, -1, False
        for place in range(0, CLAIMS_OFFSET, HEARTBEAT.size):
            token, seen_at = HEARTBEAT.unpack_from(self._table, place)
            if token == self._token:
                own_place = place
            elif token and now - seen_at < PRESENT_SECONDS:
                is_shared = True
            elif free_place < 0:
                free_place = place
        place = own_place if own_place >= 0 else free_place
        if place >= 0:
            HEARTBEAT.pack_into(self._table, place, self._token, now)
        return is_shared

    def claim(self, message_id: str, seconds: float = MAX_IN_HAND_SECONDS) -> bool:
        """Claim an id; returns False where another process has it."""
        now, digest = self._clock(), _digest(message_id)
        best_place, best_until = -1, 0.0
        for place in _list_places(digest):
            found, token, until = CLAIM.unpack_from(self._table, place)
            if found == digest and token != self._token and until > now:
                return False
            if found == digest:
                best_place = place
                break
            if best_place < 0 or until < best_until:
                best_place, best_until = place, until
        CLAIM.pack_into(self._table, best_place, digest, self._token, now + seconds)
        return True

    def release(self, message_id: str) -> None:
        """Give up the claim of an id, if this process has it."""
        digest = _digest(message_id)
        for place in _list_places(digest):
            found, token, _ = CLAIM.unpack_from(self._table, place)
            if found == digest and token == self._token:
                CLAIM.pack_into(self._table, place, 0, 0, 0.0)

    def close(self) -> None:
        """Take the heartbeat away and unmap the file, which is removed where no other process is there.

        Otherwise the claims stay: what they are for may still run.
        """
        is_shared = self.beat()
        for place in range(0, CLAIMS_OFFSET, HEARTBEAT.size):
            if HEARTBEAT.unpack_from(self._table, place)[0] == self._token:
                HEARTBEAT.pack_into(self._table, place, 0, 0.0)
        self._table.close()
        if not is_shared:
            self._path.unlink(missing_ok=True)


def _digest(message_id: str) -> int:
    return int.from_bytes(hashlib.blake2b(message_id.encode(), digest_size=8).digest(), "big") or 1


def _list_places(digest: int) -> Iterator[int]:
    for step in range(PROBE_COUNT):
        yield CLAIMS_OFFSET + (digest + step) % CLAIM_COUNT * CLAIM.size
