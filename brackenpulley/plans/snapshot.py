"""The book's one file: written whole beside the old one and put in its place, checked when it is read.

First line a header with the format and the xxh64 of the rest, then one change a line. The file before it is kept as
`NAME.last`: a damaged one is one line in the log, and the last good one is used."""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec
import xxhash

from .book import Book, Change, PlanChangeError

FORMAT = "brackenpulley-plans-1"
LARGEST = 64 << 20  # bytes


class SnapshotError(ValueError):
    """The file cannot be used; the text says which and why."""


def encode(changes: list[Change]) -> bytes:
    body = b"".join(msgspec.json.encode(change) + b"\n" for change in changes)
    return f"{FORMAT} {len(changes)} {xxhash.xxh64_hexdigest(body)}\n".encode() + body


def decode(data: bytes, name: str) -> list[Change]:
    head, _, body = data.partition(b"\n")
    words = head.decode("ascii", "replace").split(" ")
    if len(words) != 3 or words[0] != FORMAT:
        raise SnapshotError(f"{name}: no snapshot of plans")
    if words[2] != xxhash.xxh64_hexdigest(body):
        raise SnapshotError(f"{name}: damaged: its checksum does not hold")
    try:
        changes = [msgspec.json.decode(line, type=Change) for line in body.splitlines()]
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"{name}: {error}") from None
    if words[1] != str(len(changes)):
        raise SnapshotError(f"{name}: {len(changes)} changes, not {words[1]}")
    return changes


def save(path: str, changes: list[Change]) -> None:
    """Raises OSError; then the old file is as it was."""
    target = Path(path)
    fresh = target.with_name(target.name + ".new")
    with open(fresh, "wb") as file:
        file.write(encode(changes))
        file.flush()
        os.fsync(file.fileno())
    if target.exists():
        last = target.with_name(target.name + ".last")
        last.unlink(missing_ok=True)
        os.link(target, last)
    os.replace(fresh, target)
    # From here on the change is in the file that a start would read, whatever becomes of this last step.
    folder = os.open(target.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        with contextlib.suppress(OSError):
            os.fsync(folder)
    finally:
        os.close(folder)


def load(path: str, book: Book, now: float) -> list[str]:
    """Fill an empty book from the file, or from the last good one; the lines to log. Raises SnapshotError.

    No file at all is a book that nobody has changed yet."""
    said: list[str] = []
    for name in (path, path + ".last"):
        try:
            with open(name, "rb") as file:
                data = file.read(LARGEST + 1)
        except FileNotFoundError:
            continue
        except OSError as error:
            said.append(f"{name}: {error.strerror}")
            continue
        try:
            changes = decode(data, name)
            _replay(changes, book, now, name)
        except SnapshotError as error:
            said.append(str(error))
            continue
        if said:
            said.append(f"{name}: used in its place, {len(changes)} changes")
        return said
    if said:
        raise SnapshotError("; ".join(said))
    return said


def _replay(changes: list[Change], book: Book, now: float, name: str) -> None:
    for change in changes:
        try:
            book.apply(change, max(now, change.at))
        except PlanChangeError as error:
            raise SnapshotError(f"{name}: revision {change.revision}: {error}") from None
