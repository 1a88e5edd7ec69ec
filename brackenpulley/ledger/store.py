"""The ledger on disk: LMDB. One writer at a time, which the lock's file names; readers need no lock.

A commit is one transaction: it is there whole or not at all, whenever the process is killed. `sync` says what a loss of
power may cost: 0 writes through at each commit, else all but the last `sync` seconds are safe, and a store whose
machine went down without a word is checked whole before it is used again."""

from __future__ import annotations

import contextlib
import fcntl
import os
import secrets
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import lmdb
import msgspec

from .tally import Entry, Heads, Key, Sum

FORMAT = 1
BOOT = "/proc/sys/kernel/random/boot_id"
Totals = dict[tuple[int, str, int], int]
packed = msgspec.msgpack.Encoder().encode
_key = msgspec.msgpack.Decoder(Key)
_sum = msgspec.msgpack.Decoder(Sum)
_entry = msgspec.msgpack.Decoder(Entry)
_any = msgspec.msgpack.Decoder()


class LedgerError(RuntimeError):
    """The ledger cannot be used; the text says why and what to do."""


class Lock:
    """A file lock that names its holder; the kernel gives it back whatever becomes of the holder."""

    def __init__(self, path: Path, holder: str) -> None:
        self.path = path
        self._file = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            said = os.read(self._file, 200).decode("utf-8", "replace").strip()
            os.close(self._file)
            raise LedgerError(f"{path}: held by {said or 'another process'}") from None
        try:
            os.ftruncate(self._file, 0)
            os.write(self._file, f"{holder}, process {os.getpid()}\n".encode())
        except OSError:
            pass  # a full disk: the lock holds all the same, it only does not say whose it is

    def close(self) -> None:
        if self._file >= 0:
            with contextlib.suppress(OSError):
                os.ftruncate(self._file, 0)
            os.close(self._file)
            self._file = -1


def number(seq: int) -> bytes:
    return seq.to_bytes(8, "big")


class Store:
    """Owns the environment and the writer's lock. `ingress` empty = for reading alone."""

    def __init__(self, path: str, ingress: str = "", size: int = 256 << 20, sync: float = 1.0) -> None:
        self.path, self.ingress, self.sync = Path(path), ingress, sync
        self.lock: Lock | None = None
        if ingress:
            try:
                self.path.mkdir(parents=True, exist_ok=True)
                self.lock = Lock(self.path / "writer.lock", f"ingress {ingress}")
            except OSError as error:
                raise LedgerError(f"{path}: {error.strerror}") from None
        elif not (self.path / "data.mdb").is_file():
            raise LedgerError(f"{path}: no ledger")
        try:
            self.env = lmdb.open(str(self.path), map_size=size, max_dbs=5, readonly=not ingress, sync=not sync,
                                 metasync=True, readahead=False, meminit=False)
            self._open, self._entries, self._meta, self._totals, self._acks = (
                self.env.open_db(name, create=bool(ingress)) for name in (b"open", b"entry", b"meta", b"total", b"ack"))
        except (lmdb.Error, OSError) as error:
            if self.lock is not None:
                self.lock.close()
            raise LedgerError(f"{path}: {error}") from None

    def begin(self) -> tuple[Heads, dict[Key, Sum], str]:
        """Take the store over for writing: where it stands, what is open, and a line to log or nothing."""
        said = ""
        with self.env.begin() as txn:
            found, boot, clean = self._heads(txn)
        heads = found or Heads(self.ingress, secrets.token_hex(4))
        if found is not None:
            if boot != _boot() and not clean:
                said = "the machine went down while the ledger was open: checked whole, good"
                for fault, _ in self.verify():
                    if fault:
                        raise LedgerError(f"{self.path}: after the machine went down: {fault}; see `ledger verify`")
            if heads.ingress != self.ingress:
                said = f"taken over from ingress {heads.ingress}"
                heads.ingress, heads.epoch = self.ingress, secrets.token_hex(4)
        sums = self.sums()
        with self.env.begin(write=True) as txn:
            self._put_heads(txn, heads, clean=False)
        self.env.sync(True)
        return heads, sums, said

    def heads(self) -> Heads:
        """Where the store stands. Raises LedgerError."""
        with self.env.begin() as txn:
            heads, _, _ = self._heads(txn)
        if heads is None:
            raise LedgerError(f"{self.path}: no ledger")
        return heads

    def _heads(self, txn: Any) -> tuple[Heads | None, str, bool]:
        """Also the machine's boot that wrote it, and whether it was ended in order."""
        data = txn.get(b"heads", db=self._meta)
        if data is None:
            return None, "", True
        meta = _any.decode(data)
        if meta.get("format") != FORMAT:
            raise LedgerError(f"{self.path}: format {meta.get('format')}, this program reads {FORMAT}")
        turn = _any.decode(txn.get(b"turn", db=self._meta) or packed([0, 0, []]))
        heads = Heads(meta["ingress"], meta["epoch"], meta["next"], meta["acked"], meta["closed"], meta["first"],
                      turn[0], turn[1], meta["dropped"], meta["replay"])
        return heads, meta["boot"], meta["clean"]

    def last_turn(self) -> list[tuple[str, int]]:
        """(id, micro-units) of what the last commit counted: what a crash right after it may not have answered."""
        with self.env.begin() as txn:
            turn = _any.decode(txn.get(b"turn", db=self._meta) or packed([0, 0, []]))
        return [(ident, units) for ident, units in turn[2]]

    def _put_heads(self, txn: Any, heads: Heads, clean: bool) -> None:
        txn.put(b"heads", packed({
            "format": FORMAT, "ingress": heads.ingress, "epoch": heads.epoch, "next": heads.next_seq,
            "acked": heads.acked, "closed": heads.closed, "first": heads.first, "dropped": heads.dropped,
            "replay": heads.replay, "boot": _boot(), "clean": clean}), db=self._meta)

    def commit(self, heads: Heads, changed: dict[Key, Sum | None], made: list[Entry],
               last: list[tuple[str, int]]) -> None:
        """What a turn of the loop has counted, and entries of periods closed in it. A sum leaves the open ones (None)
        in the step that makes it an entry. Raises LedgerError, and then nothing of it is stored."""
        try:
            with self.env.begin(write=True) as txn:
                for key, total in changed.items():
                    if total is None:
                        txn.delete(packed(key), db=self._open)
                    else:
                        txn.put(packed(key), packed(total), db=self._open)
                for entry in made:
                    txn.put(number(entry.seq), packed(entry), db=self._entries, append=True)
                    name = packed((entry.key.firm, entry.key.plan, entry.key.revision))
                    old = txn.get(name, db=self._totals)
                    txn.put(name, packed((_any.decode(old) if old else 0) + entry.units), db=self._totals)
                txn.put(b"turn", packed([heads.counted, heads.tries, last]), db=self._meta)
                if made:
                    self._put_heads(txn, heads, clean=False)
        except (lmdb.Error, OSError) as error:
            raise LedgerError(f"{self.path}: {error}") from None

    def acknowledge(self, heads: Heads, first: int, last: int, replay: bool) -> None:
        """Billing has these; kept beside the entries so that `verify` can tell what was exported twice."""
        try:
            with self.env.begin(write=True) as txn:
                cursor = txn.cursor(db=self._acks)
                end = cursor.last()
                place = int.from_bytes(cursor.key(), "big") if end else 0
                old = _any.decode(cursor.value()) if end else None
                if old and not replay and not old[2] and old[1] + 1 == first:
                    txn.put(number(place), packed([old[0], last, False]), db=self._acks)
                else:
                    txn.put(number(place + 1), packed([first, last, replay]), db=self._acks)
                self._put_heads(txn, heads, clean=False)
        except (lmdb.Error, OSError) as error:
            raise LedgerError(f"{self.path}: {error}") from None

    def replay(self, heads: Heads, first: int) -> None:
        """Entries from this one on go to billing again. Raises LedgerError."""
        if not heads.first <= first <= heads.acked:
            raise LedgerError(f"from: {first} is not among the acknowledged entries that are kept, "
                              f"{heads.first} to {heads.acked}")
        old = heads.acked, heads.replay
        heads.replay, heads.acked = max(heads.replay, heads.acked), first - 1
        try:
            with self.env.begin(write=True) as txn:
                self._put_heads(txn, heads, clean=False)
        except (lmdb.Error, OSError) as error:
            heads.acked, heads.replay = old
            raise LedgerError(f"{self.path}: {error}") from None

    def drop(self, heads: Heads, until: int) -> int:
        """Let go of acknowledged entries up to `until`; their sum is kept. Returns how many. Raises LedgerError."""
        old = heads.first, heads.dropped
        count = 0
        try:
            with self.env.begin(write=True) as txn:
                for seq in range(heads.first, min(until, heads.acked) + 1):
                    entry = _entry.decode(txn.pop(number(seq), db=self._entries) or b"")
                    name = packed((entry.key.firm, entry.key.plan, entry.key.revision))
                    rest = _any.decode(txn.get(name, db=self._totals) or packed(0)) - entry.units
                    txn.put(name, packed(rest), db=self._totals)
                    heads.dropped += entry.units
                    heads.first = seq + 1
                    count += 1
                self._put_heads(txn, heads, clean=False)
        except (lmdb.Error, OSError, msgspec.MsgspecError) as error:
            heads.first, heads.dropped = old
            raise LedgerError(f"{self.path}: {error}") from None
        return count

    def sums(self) -> dict[Key, Sum]:
        """What is open."""
        with self.env.begin() as txn:
            return self._sums(txn)

    def _sums(self, txn: Any) -> dict[Key, Sum]:
        return {_key.decode(key): _sum.decode(value) for key, value in txn.cursor(db=self._open)}

    def _read_totals(self, txn: Any) -> Totals:
        rows = ((_any.decode(key), _any.decode(value)) for key, value in txn.cursor(db=self._totals))
        return {(name[0], name[1], name[2]): units for name, units in rows}

    def _read_acks(self, txn: Any) -> list[tuple[int, int, bool]]:
        rows = (_any.decode(value) for _, value in txn.cursor(db=self._acks))
        return [(first, last, replay) for first, last, replay in rows]

    def entries(self, first: int = 1, most: int = 0) -> Iterator[Entry]:
        """From this sequence number on."""
        with self.env.begin() as txn:
            cursor = txn.cursor(db=self._entries)
            if cursor.set_range(number(first)):
                for count, value in enumerate(cursor.iternext(keys=False, values=True)):
                    if most and count >= most:
                        break
                    yield _entry.decode(value)

    def totals(self) -> Totals:
        """micro-units of the entries that are kept, by firm, plan and revision."""
        with self.env.begin() as txn:
            return self._read_totals(txn)

    def acknowledged(self) -> list[tuple[int, int, bool]]:
        """(first, last, whether it was a replay) of what billing took, in order."""
        with self.env.begin() as txn:
            return self._read_acks(txn)

    def verify(self) -> Iterator[tuple[str, int]]:
        """See `tally.check`. Reads while a daemon writes: all of it is one moment of the store."""
        from .tally import check
        with self.env.begin() as txn:
            heads, _, _ = self._heads(txn)
            if heads is None:
                raise LedgerError(f"{self.path}: no ledger")
            sums, totals, acks = self._sums(txn), self._read_totals(txn), self._read_acks(txn)
            rows = (_entry.decode(value) for _, value in txn.cursor(db=self._entries))
            yield from check(heads, sums, rows, totals, acks)

    def used_bytes(self) -> int:
        """Bytes of pages in use; what is free inside the file is used again before it grows."""
        info, stat = self.env.info(), self.env.stat()
        return int((info["last_pgno"] + 1) * stat["psize"])

    def flush(self) -> None:
        self.env.sync(True)

    def end(self, heads: Heads | None) -> None:
        """The one place where the store is given back."""
        if heads is not None and self.lock is not None:
            with contextlib.suppress(lmdb.Error, OSError):
                with self.env.begin(write=True) as txn:
                    self._put_heads(txn, heads, clean=True)
                self.env.sync(True)
        self.env.close()
        if self.lock is not None:
            self.lock.close()
            self.lock = None


def _boot() -> str:
    try:
        return Path(BOOT).read_text("ascii").strip()
    except OSError:
        return ""
