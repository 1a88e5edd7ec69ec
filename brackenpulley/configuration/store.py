"""The last revision in force on a process's own disk: one file, written whole beside the old one and put in its place.

It is a help at the start and never a need: one that is torn, too large, of another fleet or format is counted, and the
start goes on as without it."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec

from .rules import Content
from .wire import LARGEST, WireError, pack, seal, unpack, unseal


class Kept(msgspec.Struct, frozen=True, array_like=True):
    number: int
    at: float
    mark: bytes
    content: bytes


_kept = msgspec.msgpack.Decoder(Kept).decode


def save(path: str, fleet: str, number: int, at: float, mark: bytes, content: Content) -> None:
    """Raises OSError; then the old one stands."""
    data = seal(msgspec.msgpack.encode(Kept(number, at, mark, pack(content))), fleet)
    beside = Path(path + ".new")
    try:
        beside.write_bytes(data)  # not synced: one that a loss of power tears is known by its mark
        os.replace(beside, path)
    except OSError:
        with contextlib.suppress(OSError):
            beside.unlink()
        raise


def load(path: str, fleet: str) -> tuple[Kept, Content] | None:
    """None where there is none. Raises WireError, and OSError where it cannot be read."""
    try:
        with open(path, "rb") as file:
            data = file.read(LARGEST + 1000)
    except FileNotFoundError:
        return None
    try:
        kept = _kept(unseal(data, fleet))
    except msgspec.MsgspecError as error:
        raise WireError("torn", str(error)) from None
    return kept, unpack(kept.content)
