"""The ring of keys under which members talk: AES-GCM (RFC 5116), the fleet's name authenticated along with each packet.

A key is brought in without dropping a member in three steps, each on all members before the next: add it, use it,
remove the old one. Packets are sealed under the key in use and opened under any on the ring."""

from __future__ import annotations

import hashlib
import os

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

NONCE, MARK = 12, 4  # bytes
VERSION = b"\x01"
OVERHEAD = len(VERSION) + MARK + NONCE + 16
SIZES = (16, 24, 32)


class PacketError(ValueError):
    """A packet that is dropped; `cause` is the end of a counter's name."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class RingError(ValueError):
    """The ring does not allow that; the text says why."""


def mark_of(key: bytes) -> bytes:
    """A key's public mark, so that a packet says under which it was sealed and nothing of the key itself."""
    return hashlib.sha256(b"brackenpulley members key " + key).digest()[:MARK]


class KeyRing:
    def __init__(self, fleet: str, first: bytes) -> None:
        self._name = fleet.encode()
        self._keys: dict[bytes, AESGCM] = {}
        self._used = self.add(first)

    @property
    def marks(self) -> list[str]:
        """The one in use first."""
        return [self._used.hex(), *sorted(mark.hex() for mark in self._keys if mark != self._used)]

    def add(self, key: bytes) -> bytes:
        """Its mark. A key that is there already is left as it is."""
        if len(key) not in SIZES:
            raise RingError(f"a key of {len(key)} bytes; 16, 24 or 32")
        mark = mark_of(key)
        self._keys.setdefault(mark, AESGCM(key))
        return mark

    def use(self, mark: bytes) -> None:
        if mark not in self._keys:
            raise RingError(f"no key {mark.hex()} on the ring: add it on all members first")
        self._used = mark

    def remove(self, mark: bytes) -> None:
        if mark == self._used:
            raise RingError(f"key {mark.hex()} is in use: use another one first")
        self._keys.pop(mark, None)

    def seal(self, data: bytes) -> bytes:
        nonce = os.urandom(NONCE)
        return VERSION + self._used + nonce + self._keys[self._used].encrypt(nonce, data, self._name)

    def unseal(self, data: bytes) -> bytes:
        """Raises PacketError: truncated, version, unknown_key (retired ones too), or forged (another fleet's too)."""
        if len(data) < OVERHEAD:
            raise PacketError("truncated")
        if data[:1] != VERSION:
            raise PacketError("version")
        key = self._keys.get(data[1 : 1 + MARK])
        if key is None:
            raise PacketError("unknown_key")
        nonce = data[1 + MARK : 1 + MARK + NONCE]
        try:
            return key.decrypt(nonce, data[1 + MARK + NONCE :], self._name)
        except InvalidTag:
            raise PacketError("forged") from None


class Replays:
    """Numbers already seen, by sender and life: a window of `WIDTH` behind the highest, as in RFC 4303, 3.4.3."""

    WIDTH = 1024

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, int, int]] = {}  # sender: (life, highest, bits of those below it)

    def fresh(self, sender: str, life: int, number: int) -> bool:
        known = self._seen.get(sender)
        if known is None or life > known[0]:
            self._seen[sender] = life, number, 0
            return True
        _, highest, bits = known
        if life < known[0] or number <= highest - self.WIDTH:
            return False
        if number > highest:
            shift = number - highest
            bits = ((bits << shift) | (1 << (shift - 1))) & ((1 << self.WIDTH) - 1)
            self._seen[sender] = life, number, bits
            return True
        bit = 1 << (highest - number - 1) if number < highest else 0
        if not bit or bits & bit:
            return False
        self._seen[sender] = life, highest, bits | bit
        return True

    def forget(self, senders: set[str]) -> None:
        """Keep only these."""
        self._seen = {sender: row for sender, row in self._seen.items() if sender in senders}
