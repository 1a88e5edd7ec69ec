"""Key ring that encrypts packets between members with AES-GCM (RFC 5116), and protection against replayed packets.

The fleet's name is authenticated with each packet as associated data. A key is rotated without dropping a member in
three steps, each completed on all members before the next: add the new key, use it, remove the old one. Packets are
sealed under the key in use and opened under any key on the ring. Used by `wire`, `transport` and `service`."""

from __future__ import annotations

import hashlib
import os

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

NONCE_BYTES = 12
MARK_BYTES = 4
VERSION = b"\x01"
OVERHEAD_BYTES = len(VERSION) + MARK_BYTES + NONCE_BYTES + 16  # of sealing, with the tag of 16 bytes
KEY_SIZES = (16, 24, 32)  # bytes


class PacketError(ValueError):
    """A packet that must be dropped; `cause` is the ending of a counter's name."""

    def __init__(self, cause: str) -> None:
        super().__init__(cause)
        self.cause = cause


class RingError(ValueError):
    """A change that the key ring does not allow, or a key that is not valid; the message gives the reason."""


def mark_of(key: bytes) -> bytes:
    """Return a key's mark: a public identifier that names the key in a packet and reveals nothing of it."""
    return hashlib.sha256(b"brackenpulley members key " + key).digest()[:MARK_BYTES]


class KeyRing:
    """The keys of one fleet, one of them in use for sealing."""

    def __init__(self, fleet: str, first_key: bytes) -> None:
        self._associated_data = fleet.encode()
        self._ciphers: dict[bytes, AESGCM] = {}
        self._mark_in_use = self.add(first_key)

    @property
    def marks(self) -> list[str]:
        """The marks of all keys in hexadecimal, that of the key in use first."""
        return [self._mark_in_use.hex(), *sorted(mark.hex() for mark in self._ciphers if mark != self._mark_in_use)]

    def add(self, key: bytes) -> bytes:
        """Add a key and return its mark; a key already on the ring is left as it is.

        Raises RingError where the key's length is not valid."""
        if len(key) not in KEY_SIZES:
            raise RingError(f"key of {len(key)} bytes is not valid; expected 16, 24 or 32")
        mark = mark_of(key)
        self._ciphers.setdefault(mark, AESGCM(key))
        return mark

    def use(self, mark: bytes) -> None:
        """Seal under the key with this mark from now on. Raises RingError where it is not on the ring."""
        if mark not in self._ciphers:
            raise RingError(f"no key {mark.hex()} on the ring: add it on all members first")
        self._mark_in_use = mark

    def remove(self, mark: bytes) -> None:
        """Remove the key with this mark, if it is on the ring. Raises RingError where it is in use."""
        if mark == self._mark_in_use:
            raise RingError(f"key {mark.hex()} is in use: use another one first")
        self._ciphers.pop(mark, None)

    def seal(self, data: bytes) -> bytes:
        """Return the packet that carries `data`, encrypted under the key in use."""
        nonce = os.urandom(NONCE_BYTES)
        return (
            VERSION
            + self._mark_in_use
            + nonce
            + self._ciphers[self._mark_in_use].encrypt(nonce, data, self._associated_data)
        )

    def unseal(self, data: bytes) -> bytes:
        """Return the content of a packet.

        Raises PacketError with the cause `truncated`, `version`, `unknown_key` (a removed key as well) or `forged`
        (a packet of another fleet as well)."""
        if len(data) < OVERHEAD_BYTES:
            raise PacketError("truncated")
        if data[:1] != VERSION:
            raise PacketError("version")
        cipher = self._ciphers.get(data[1 : 1 + MARK_BYTES])
        if cipher is None:
            raise PacketError("unknown_key")
        nonce = data[1 + MARK_BYTES : 1 + MARK_BYTES + NONCE_BYTES]
        try:
            return cipher.decrypt(nonce, data[1 + MARK_BYTES + NONCE_BYTES :], self._associated_data)
        except InvalidTag:
            raise PacketError("forged") from None


class ReplayWindow:
    """Packet numbers already received, by sender and generation.

    The window covers `WIDTH` numbers behind the highest one, as in RFC 4303, section 3.4.3."""

    WIDTH = 1024

    def __init__(self) -> None:
        self._windows: dict[str, tuple[int, int, int]] = {}  # sender: (generation, highest, bitmap of those below it)

    def accept(self, sender: str, generation: int, number: int) -> bool:
        """Return whether the packet is new, and record it; one older than the window counts as a replay."""
        known = self._windows.get(sender)
        if known is None or generation > known[0]:
            self._windows[sender] = generation, number, 0
            return True
        _, highest, bitmap = known
        if generation < known[0] or number <= highest - self.WIDTH:
            return False
        if number > highest:
            shift = number - highest
            bitmap = ((bitmap << shift) | (1 << (shift - 1))) & ((1 << self.WIDTH) - 1)
            self._windows[sender] = generation, number, bitmap
            return True
        bit = 1 << (highest - number - 1) if number < highest else 0
        if not bit or bitmap & bit:
            return False
        self._windows[sender] = generation, highest, bitmap | bit
        return True

    def retain(self, senders: set[str]) -> None:
        """Forget all senders but these."""
        self._windows = {sender: window for sender, window in self._windows.items() if sender in senders}
