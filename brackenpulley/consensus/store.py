"""Persistent state of a voter: term, vote, snapshot and log in LMDB, one synced transaction for each step.

A seal file in a directory of its own records the number of steps written, the identity of the disk and the boot of the
host. It is never synced, so it survives the process but not the host, and it is not part of a backup of the store. A
store with fewer steps than its seal is an older copy; one without a seal from this boot may be one. In both cases
`load` reports that the state is unverified, and the voter asks the others (see raft.py).
"""

from __future__ import annotations

import mmap
import os
import secrets
import struct
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from ..lock import FileLock
from .raft import Persist, PersistentState
from .wire import Entry, Snapshot

FORMAT_VERSION = 1
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
SEAL_STRUCT = struct.Struct("<16s16sQ")  # boot id, disk id, number of writes
_pack = msgspec.msgpack.Encoder().encode


class StoreError(RuntimeError):
    """The store cannot be used; the message gives the reason and the remedy."""


class Meta(msgspec.Struct, array_like=True):
    """Persistent state other than log and snapshot, with the identity of the store and its number of writes."""

    format: int
    name: str
    disk: bytes
    write_count: int
    term: int = 0
    vote: str = ""
    is_unverified: bool = False
    log_floor: tuple[int, int] = (0, 0)


_unpack_meta = msgspec.msgpack.Decoder(Meta).decode
_unpack_entry = msgspec.msgpack.Decoder(Entry).decode
_unpack_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


def encode_index(index: int) -> bytes:
    """Encode a log index as a key that sorts in numeric order."""
    return index.to_bytes(8, "big")


class LogStore:
    """Persistent state of a voter in an LMDB environment.

    Owns the environment, the lock file and the mapping of the seal until `close`.
    """

    def __init__(self, path: str, seal: str, name: str, map_size: int = 64 << 20, boot_id: bytes | None = None) -> None:
        """Raises StoreError where the store is damaged, in use, or of another voter or format."""
        self.path, self.name = Path(path), name
        self.last_error = ""  # of the last write; "" where it succeeded
        self._boot_id = (
            (BOOT_ID_PATH.read_bytes() if boot_id is None else boot_id).replace(b"-", b"").strip()[:16].ljust(16, b"0")
        )
        self._lock: FileLock | None = None
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            self._lock = FileLock(self.path / "writer.lock", f"voter {name}", StoreError)
            self._seal = self._map_seal(Path(seal))
            self._env = lmdb.open(str(self.path), map_size=map_size, max_dbs=2, readahead=False, meminit=False)
            self._meta_db, self._log_db = (self._env.open_db(db) for db in (b"meta", b"log"))
        except (OSError, lmdb.Error) as error:
            if self._lock is not None:
                self._lock.close()
            raise StoreError(f"{path}: {error}") from None
        with self._env.begin() as txn:
            data = txn.get(b"hard", db=self._meta_db)
        self._meta = Meta(FORMAT_VERSION, name, secrets.token_bytes(16), 0) if data is None else self._check_meta(data)

    def _check_meta(self, data: bytes) -> Meta:
        try:
            meta = _unpack_meta(data)
        except msgspec.MsgspecError as error:
            self.close()
            raise StoreError(
                f"{self.path}: damaged: {error}; empty the directory, and the other voters restore this one"
            ) from None
        if meta.format != FORMAT_VERSION or meta.name != self.name:
            self.close()
            raise StoreError(
                f"{self.path}: store of voter {meta.name}, format {meta.format}; "
                f"expected {self.name}, format {FORMAT_VERSION}"
            )
        return meta

    def _map_seal(self, path: Path) -> mmap.mmap:
        path.parent.mkdir(parents=True, exist_ok=True)
        file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            os.posix_fallocate(file, 0, SEAL_STRUCT.size)
            return mmap.mmap(file, SEAL_STRUCT.size)
        finally:
            os.close(file)

    def load(self) -> tuple[PersistentState, bool]:
        """Return the persisted state and whether the seal confirms that it includes every write.

        Raises StoreError where the data is damaged.
        """
        boot_id, disk, write_count = SEAL_STRUCT.unpack(self._seal[:])
        is_verified = (boot_id, disk) == (self._boot_id, self._meta.disk) and self._meta.write_count >= write_count
        try:
            with self._env.begin() as txn:
                data = txn.get(b"snapshot", db=self._meta_db)
                snapshot = _unpack_snapshot(data) if data is not None else Snapshot()
                entries = [
                    _unpack_entry(value) for value in txn.cursor(db=self._log_db).iternext(keys=False, values=True)
                ]
        except (lmdb.Error, msgspec.MsgspecError) as error:
            raise StoreError(f"{self.path}: damaged: {error}") from None
        for at, entry in enumerate(entries):
            if entry.index != snapshot.index + 1 + at:
                raise StoreError(
                    f"{self.path}: entry {snapshot.index + 1 + at} is missing; empty the directory, "
                    "and the other voters restore this one"
                )
        meta = self._meta
        return PersistentState(meta.term, meta.vote, meta.is_unverified, meta.log_floor, snapshot, entries), is_verified

    def store(self, step: Persist) -> bool:
        """Write all changes of a step in one synced transaction; return False where none was written."""
        meta = Meta(
            FORMAT_VERSION,
            self.name,
            self._meta.disk,
            self._meta.write_count + 1,
            step.term,
            step.vote,
            step.is_unverified,
            step.log_floor,
        )
        try:
            with self._env.begin(write=True) as txn:
                if step.snapshot is not None:
                    txn.put(b"snapshot", _pack(step.snapshot), db=self._meta_db)
                    self._delete_range(txn, 0, step.snapshot.index)
                self._delete_range(txn, step.first_index, 1 << 62)
                for entry in step.entries:
                    txn.put(encode_index(entry.index), _pack(entry), db=self._log_db, append=True)
                txn.put(b"hard", _pack(meta), db=self._meta_db)
        except (lmdb.Error, OSError) as error:
            self.last_error = f"{self.path}: {error}"
            return False
        self.last_error, self._meta = "", meta
        self._seal[:] = SEAL_STRUCT.pack(self._boot_id, meta.disk, meta.write_count)
        return True

    def _delete_range(self, txn: Any, first: int, last: int) -> None:
        """Delete log entries from `first` to `last`, both included."""
        cursor = txn.cursor(db=self._log_db)
        has_entry = cursor.set_range(encode_index(first))
        while has_entry and int.from_bytes(cursor.key(), "big") <= last:
            has_entry = cursor.delete()  # moves the cursor to the next entry

    def status(self) -> dict[str, Any]:
        """Return path, number of writes, last error and size for the status of the log."""
        info, stat = self._env.info(), self._env.stat()
        return {
            "path": str(self.path),
            "steps": self._meta.write_count,
            "failed": self.last_error,
            "bytes": int((info["last_pgno"] + 1) * stat["psize"]),
        }

    def close(self) -> None:
        """Close the environment and the seal and release the lock."""
        self._env.close()
        self._seal.close()
        if self._lock is not None:
            self._lock.close()
            self._lock = None
