"""Exports ledger entries to a JSON Lines or CSV file, and resumes an interrupted export.

Used by the `ledger export` command.
"""

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
from .upload import build_event, format_timestamp, format_units

COLUMNS = ("seq", "id", "kind", "firm", "plan", "revision", "from", "to", "units", "tries")
ENTRIES_PER_WRITE = 500
TAIL_BYTES = 65536  # the last line of a file is searched for in this many bytes


def csv_row(entry: Entry) -> list[Any]:
    """Returns the values of an entry in the order of `COLUMNS`."""
    key = entry.key
    return [
        entry.seq,
        entry.id,
        key.kind,
        f"{key.firm:016x}",
        key.plan,
        key.revision,
        format_timestamp(key.start_ms),
        format_timestamp(key.end_ms),
        format_units(entry.units),
        entry.charge_count,
    ]


def _encode_entry(entry: Entry, kind: str) -> bytes:
    if kind == "jsonl":
        return msgspec.json.encode(build_event(entry)) + b"\n"
    text = io.StringIO()
    csv.writer(text, lineterminator="\n").writerow(csv_row(entry))
    return text.getvalue().encode()


def _read_last_sequence(data: bytes, kind: str, path: str) -> int:
    """Returns the sequence number of the last line, or 0 if there is only a header. Raises LedgerError."""
    lines = data.splitlines()
    if not lines or lines == [",".join(COLUMNS).encode()]:
        return 0
    try:
        if kind == "jsonl":
            return int(json.loads(lines[-1])["data"]["seq"])
        return int(next(csv.reader([lines[-1].decode()]))[0])
    except (ValueError, KeyError, TypeError, StopIteration, IndexError):
        raise LedgerError(f"{path}: is no {kind} export of a ledger; choose another file") from None


def truncate_partial_line(path: str, kind: str) -> int:
    """Truncates a partial last line and returns the last sequence number in the file, or 0. Raises LedgerError."""
    try:
        size = os.path.getsize(path)
    except OSError:
        return 0
    with open(path, "rb+") as file:
        file.seek(max(0, size - TAIL_BYTES))
        tail = file.read()
        complete_lines = tail[: tail.rfind(b"\n") + 1]
        last = _read_last_sequence(complete_lines, kind, path)
        file.truncate(size - len(tail) + len(complete_lines))
    return last


def export(store: Store, path: str, kind: str, first: int = 0) -> Iterator[int]:
    """Appends all entries from `first` on, or from the end of an existing export; yields how many were written so far.

    Raises LedgerError if the file is no such export, or if entries would be missing from it.
    """
    last = truncate_partial_line(path, kind)
    if last and first and first > last + 1:
        raise LedgerError(f"{path}: ends with entry {last}; an export from entry {first} would leave a gap")
    start = last + 1 if last else max(1, first)
    state = store.read_state()
    if start < state.first_seq:
        raise LedgerError(f"from: entries before {state.first_seq} have been deleted; use --from {state.first_seq}")
    count = 0
    with open(path, "ab") as file:
        if not last and kind == "csv" and file.tell() == 0:
            file.write((",".join(COLUMNS) + "\n").encode())
        encoded_entries: list[bytes] = []
        for expected, entry in enumerate(store.read_entries(start), start):
            if entry.seq != expected:
                raise LedgerError(f"{path}: entries {expected} to {entry.seq - 1} were deleted during the export")
            encoded_entries.append(_encode_entry(entry, kind))
            count += 1
            if len(encoded_entries) == ENTRIES_PER_WRITE:
                file.write(b"".join(encoded_entries))
                encoded_entries.clear()
                yield count
        file.write(b"".join(encoded_entries))
        file.flush()
        os.fsync(file.fileno())
    yield count
