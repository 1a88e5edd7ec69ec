"""Entries to a file, as JSON lines or CSV, and on from where an interrupted one ended."""

from __future__ import annotations

import csv
import io
import json
import os
from collections.abc import Iterator
from typing import Any

import msgspec

from .store import LedgerError, Store
from .tally import Entry
from .upload import decimal, event, instant

COLUMNS = ("seq", "id", "kind", "firm", "plan", "revision", "from", "to", "units", "tries")
STEP = 500  # entries between writes
TAIL = 65536  # bytes in which the last line of a file is looked for


def csv_row(entry: Entry) -> list[Any]:
    key = entry.key
    return [
        entry.seq,
        entry.id,
        key.kind,
        f"{key.firm:016x}",
        key.plan,
        key.revision,
        instant(key.start),
        instant(key.end),
        decimal(entry.units),
        entry.tries,
    ]


def _line(entry: Entry, kind: str) -> bytes:
    if kind == "jsonl":
        return msgspec.json.encode(event(entry)) + b"\n"
    text = io.StringIO()
    csv.writer(text, lineterminator="\n").writerow(csv_row(entry))
    return text.getvalue().encode()


def _last(data: bytes, kind: str, path: str) -> int:
    """The sequence number of the last whole line; 0 where there is only a head."""
    lines = data.splitlines()
    if not lines or lines == [",".join(COLUMNS).encode()]:
        return 0
    try:
        if kind == "jsonl":
            return int(json.loads(lines[-1])["data"]["seq"])
        return int(next(csv.reader([lines[-1].decode()]))[0])
    except (ValueError, KeyError, TypeError, StopIteration, IndexError):
        raise LedgerError(f"{path}: is no {kind} export of a ledger; name another file") from None


def resume(path: str, kind: str) -> int:
    """Cut a half-written line off an earlier file; the sequence number that it ends with, 0 for none."""
    try:
        size = os.path.getsize(path)
    except OSError:
        return 0
    with open(path, "rb+") as file:
        file.seek(max(0, size - TAIL))
        tail = file.read()
        whole = tail[: tail.rfind(b"\n") + 1]
        last = _last(whole, kind, path)
        file.truncate(size - len(tail) + len(whole))
    return last


def export(store: Store, path: str, kind: str, first: int = 0) -> Iterator[int]:
    """Write all from entry `first` on, or from where the file ends; yields how many have been written."""
    last = resume(path, kind)
    if last and first and first > last + 1:
        raise LedgerError(f"{path}: ends with entry {last}; from {first} on there would be a gap")
    start = last + 1 if last else max(1, first)
    heads = store.heads()
    if start < heads.first:
        raise LedgerError(f"from: entries before {heads.first} are no longer kept; give --from {heads.first}")
    count = 0
    with open(path, "ab") as file:
        if not last and kind == "csv" and file.tell() == 0:
            file.write((",".join(COLUMNS) + "\n").encode())
        parts: list[bytes] = []
        for entry in store.entries(start):
            parts.append(_line(entry, kind))
            count += 1
            if len(parts) == STEP:
                file.write(b"".join(parts))
                parts.clear()
                yield count
        file.write(b"".join(parts))
        file.flush()
        os.fsync(file.fileno())
    yield count
