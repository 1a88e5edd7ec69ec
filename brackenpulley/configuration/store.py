"""Copy of the active revision on the process's own disk: one file, replaced atomically. Used by `service`.

The copy speeds up a start and is never required: a file that is torn, too large, or of another fleet or format is
counted, and the process starts without it.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from .rules import Content
from .wire import MAX_BODY_BYTES, WireError, pack, seal, unpack, unseal


class StoredRevision(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of the active revision in the file."""

    number: int
    agreed_at: float  # Unix time
    digest: bytes
    content: bytes


_decode = msgspec.msgpack.Decoder(StoredRevision).decode


def save(path: str, fleet: str, number: int, agreed_at: float, digest: bytes, content: Content) -> None:
    """Write the file. Raises OSError and keeps the old file if that fails."""
    data = seal(msgspec.msgpack.encode(StoredRevision(number, agreed_at, digest, pack(content))), fleet)
    temporary = Path(path + ".new")
    try:
        temporary.write_bytes(data)  # no fsync: the digest reveals a file torn by a power failure
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise


def load(path: str, fleet: str) -> tuple[StoredRevision, Content] | None:
    """Read the file, or return None if there is none. Raises WireError for bad content and OSError for a read error."""
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_BODY_BYTES + 1000)
    except FileNotFoundError:
        return None
    try:
        stored = _decode(unseal(data, fleet))
    except msgspec.MsgspecError as error:
        raise WireError("torn", str(error)) from None
    return stored, unpack(stored.content)
