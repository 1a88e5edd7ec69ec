"""The snapshot file of the plan book: replaced atomically, verified when it is read.

The first line is a header with the format, the number of changes and the xxh64 of the rest; each further line is one
change in JSON. The previous file is kept as `NAME.last` and is used where the current one is damaged.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path

import msgspec
import xxhash

from .book import Book, Change, PlanChangeError

FORMAT = "brackenpulley-plans-1"
MAX_FILE_BYTES = 64 << 20


class SnapshotError(ValueError):
    """The snapshot cannot be used; the text names the file and the reason."""


def encode(changes: list[Change]) -> bytes:
    """Encode changes as the content of a snapshot file."""
    body = b"".join(msgspec.json.encode(change) + b"\n" for change in changes)
    return f"{FORMAT} {len(changes)} {xxhash.xxh64_hexdigest(body)}\n".encode() + body


def decode(data: bytes, name: str) -> list[Change]:
    """Decode and verify the content of the snapshot file `name`. Raises SnapshotError."""
    header, _, body = data.partition(b"\n")
    fields = header.decode("ascii", "replace").split(" ")
    if len(fields) != 3 or fields[0] != FORMAT:
        raise SnapshotError(f"{name}: no snapshot of plans: the header is not valid")
    if fields[2] != xxhash.xxh64_hexdigest(body):
        raise SnapshotError(f"{name}: damaged: the checksum does not match")
    try:
        changes = [msgspec.json.decode(line, type=Change) for line in body.splitlines()]
    except msgspec.MsgspecError as error:
        raise SnapshotError(f"{name}: {error}") from None
    if fields[1] != str(len(changes)):
        raise SnapshotError(f"{name}: {len(changes)} changes, but the header says {fields[1]}")
    return changes


def save(path: str, changes: list[Change]) -> None:
    """Write the snapshot and replace the old one. Raises OSError, and then the old file is unchanged."""
    target = Path(path)
    new_file = target.with_name(target.name + ".new")
    with open(new_file, "wb") as file:
        file.write(encode(changes))
        file.flush()
        os.fsync(file.fileno())
    if target.exists():
        last_file = target.with_name(target.name + ".last")
        last_file.unlink(missing_ok=True)
        os.link(target, last_file)
    os.replace(new_file, target)
    # The new file is in place and would be loaded; a failed sync of the directory is no longer an error.
    directory = os.open(target.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        with contextlib.suppress(OSError):
            os.fsync(directory)
    finally:
        os.close(directory)


def load(path: str, book: Book) -> list[str]:
    """Fill an empty book from the file or, where that is damaged, from the previous one; returns messages to log.

    Without any file the book stays empty. Raises SnapshotError where files exist but none can be used.
    """
    messages: list[str] = []
    for name in (path, path + ".last"):
        try:
            with open(name, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            continue
        except OSError as error:
            messages.append(f"{name}: {error.strerror}")
            continue
        try:
            changes = decode(data, name)
            _replay(changes, book, name)
        except SnapshotError as error:
            messages.append(str(error))
            continue
        if messages:
            messages.append(f"{name}: used in its place, {len(changes)} changes")
        return messages
    if messages:
        raise SnapshotError("; ".join(messages))
    return messages


def _replay(changes: list[Change], book: Book, name: str) -> None:
    for change in changes:
        try:
            book.apply(change, None)  # it was accepted once, and may have become older than a submitted one may be
        except PlanChangeError as error:
            raise SnapshotError(f"{name}: revision {change.revision}: {error}") from None
