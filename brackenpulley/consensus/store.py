"""A voter's part on disk: term, vote, snapshot and log in LMDB, each step one transaction, synced before it counts.

Beside it stands the seal, in a folder of its own: how many steps were stored, on which disk, in which boot of the host.
It is not synced, so it outlives the process and not the host, and it is no part of a backup of the store. A store that
has fewer steps than its seal is an older one; one without a seal of this boot may be. Either way `load` says that it is
not sure, and the voter finds out from the others (see raft.py)."""

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
from .raft import Kept, Store
from .wire import Entry, Snapshot

FORMAT = 1
BOOT = Path("/proc/sys/kernel/random/boot_id")
SEAL = struct.Struct("<16s16sQ")  # boot, disk, steps
packed = msgspec.msgpack.Encoder().encode


class StoreError(RuntimeError):
    """The store cannot be used; the text says why and what to do."""


class Meta(msgspec.Struct, array_like=True):
    format: int
    name: str
    disk: bytes
    steps: int
    term: int = 0
    vote: str = ""
    unsure: bool = False
    floor: tuple[int, int] = (0, 0)


_meta = msgspec.msgpack.Decoder(Meta).decode
_entry = msgspec.msgpack.Decoder(Entry).decode
_snapshot = msgspec.msgpack.Decoder(Snapshot).decode


def number(index: int) -> bytes:
    return index.to_bytes(8, "big")


class LogStore:
    """Owns the environment, the writer's lock and the seal's map; all are given back in `end`."""

    def __init__(self, path: str, seal: str, name: str, size: int = 64 << 20, boot: bytes | None = None) -> None:
        """Raises StoreError."""
        self.path, self.name = Path(path), name
        self.failed = ""  # why the last step could not be stored
        self._boot = (BOOT.read_bytes() if boot is None else boot).replace(b"-", b"").strip()[:16].ljust(16, b"0")
        self._lock: FileLock | None = None
        try:
            self.path.mkdir(parents=True, exist_ok=True)
            self._lock = FileLock(self.path / "writer.lock", f"voter {name}", StoreError)
            self._seal = self._map(Path(seal))
            self._env = lmdb.open(str(self.path), map_size=size, max_dbs=2, readahead=False, meminit=False)
            self._meta_db, self._log_db = (self._env.open_db(db) for db in (b"meta", b"log"))
        except (OSError, lmdb.Error) as error:
            if self._lock is not None:
                self._lock.close()
            raise StoreError(f"{path}: {error}") from None
        with self._env.begin() as txn:
            data = txn.get(b"hard", db=self._meta_db)
        self._meta = Meta(FORMAT, name, secrets.token_bytes(16), 0) if data is None else self._checked(data)

    def _checked(self, data: bytes) -> Meta:
        try:
            meta = _meta(data)
        except msgspec.MsgspecError as error:
            self.end()
            raise StoreError(
                f"{self.path}: damaged: {error}; empty the folder, the other voters bring this one up again"
            ) from None
        if meta.format != FORMAT or meta.name != self.name:
            self.end()
            raise StoreError(
                f"{self.path}: of voter {meta.name}, format {meta.format}; this is {self.name}, format {FORMAT}"
            )
        return meta

    def _map(self, path: Path) -> mmap.mmap:
        path.parent.mkdir(parents=True, exist_ok=True)
        file = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            os.posix_fallocate(file, 0, SEAL.size)
            return mmap.mmap(file, SEAL.size)
        finally:
            os.close(file)

    def load(self) -> tuple[Kept, bool]:
        """What it holds, and whether that is all that was ever stored. Raises StoreError where it can't be read."""
        boot, disk, steps = SEAL.unpack(self._seal[:])
        sure = (boot, disk) == (self._boot, self._meta.disk) and self._meta.steps >= steps
        try:
            with self._env.begin() as txn:
                told = txn.get(b"snapshot", db=self._meta_db)
                snapshot = _snapshot(told) if told is not None else Snapshot()
                entries = [_entry(value) for value in txn.cursor(db=self._log_db).iternext(keys=False, values=True)]
        except (lmdb.Error, msgspec.MsgspecError) as error:
            raise StoreError(f"{self.path}: damaged: {error}") from None
        for at, entry in enumerate(entries):
            if entry.index != snapshot.index + 1 + at:
                raise StoreError(
                    f"{self.path}: entry {snapshot.index + 1 + at} is missing; empty the folder, the "
                    "other voters bring this one up again"
                )
        meta = self._meta
        return Kept(meta.term, meta.vote, meta.unsure, meta.floor, snapshot, entries), sure

    def store(self, step: Store) -> bool:
        """False where the disk takes nothing: then nothing of it is stored."""
        meta = Meta(
            FORMAT, self.name, self._meta.disk, self._meta.steps + 1, step.term, step.vote, step.unsure, step.floor
        )
        try:
            with self._env.begin(write=True) as txn:
                if step.snapshot is not None:
                    txn.put(b"snapshot", packed(step.snapshot), db=self._meta_db)
                    self._drop(txn, 0, step.snapshot.index)
                self._drop(txn, step.first, 1 << 62)
                for entry in step.entries:
                    txn.put(number(entry.index), packed(entry), db=self._log_db, append=True)
                txn.put(b"hard", packed(meta), db=self._meta_db)
        except (lmdb.Error, OSError) as error:
            self.failed = f"{self.path}: {error}"
            return False
        self.failed, self._meta = "", meta
        self._seal[:] = SEAL.pack(self._boot, meta.disk, meta.steps)
        return True

    def _drop(self, txn: Any, first: int, last: int) -> None:
        """Entries from one to the other, both included."""
        cursor = txn.cursor(db=self._log_db)
        more = cursor.set_range(number(first))
        while more and int.from_bytes(cursor.key(), "big") <= last:
            more = cursor.delete()  # on to the next one

    def status(self) -> dict[str, Any]:
        info, stat = self._env.info(), self._env.stat()
        return {
            "path": str(self.path),
            "steps": self._meta.steps,
            "failed": self.failed,
            "bytes": int((info["last_pgno"] + 1) * stat["psize"]),
        }

    def end(self) -> None:
        """The one place where the store is given back."""
        self._env.close()
        self._seal.close()
        if self._lock is not None:
            self._lock.close()
            self._lock = None
