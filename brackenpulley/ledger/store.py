"""The ledger on disk: a log of turns, folded into LMDB. One writer at a time, which the lock's file names.

Each turn of the loop that counted something is one record in `turns.log`, a mapped file whose room is taken at the
start: what was copied there survives kill -9. Now and then all that was added up since goes into LMDB in one
transaction, written through to the disk, and the log begins anew; what still stands in it from before is known by its
turn. A start folds what is in the log; a record cut off was of a turn whose answers had not left. A commit of LMDB in
each turn was measured first (1.15 to 1.20 of the CPU a message), then a log that grows by write (1.09 to 1.14).

A loss of power costs what the log holds, so at most the time between two folds; none where `sync` is 0 and each record
is written through."""

from __future__ import annotations

import mmap
import os
import secrets
import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import lmdb
import msgspec
import xxhash

from ..lock import FileLock
from .tally import Entry, Heads, Key, Sum

FORMAT = 1
LOG = 1 << 20  # bytes of the log
FOLD = 1.0  # s between folds where each record is written through
RECORD = struct.Struct("<II")  # length and xxh32 of what follows
Use = tuple[str, int, str, int, float, float]  # id, firm, plan, revision, units, since: see Tally.charge
Totals = dict[tuple[int, str, int], int]
packed = msgspec.msgpack.Encoder().encode
_key = msgspec.msgpack.Decoder(Key)
_sum = msgspec.msgpack.Decoder(Sum)
_entry = msgspec.msgpack.Decoder(Entry)
_any = msgspec.msgpack.Decoder()


class LedgerError(RuntimeError):
    """The ledger cannot be used; the text says why and what to do."""


def number(seq: int) -> bytes:
    return seq.to_bytes(8, "big")


class Store:
    """Owns the environment and the writer's lock. `ingress` empty = for reading alone."""

    def __init__(self, path: str, ingress: str = "", size: int = 256 << 20, sync: float = 1.0) -> None:
        self.path, self.ingress, self.sync = Path(path), ingress, sync
        self.lock: FileLock | None = None
        if ingress:
            try:
                self.path.mkdir(parents=True, exist_ok=True)
                self.lock = FileLock(self.path / "writer.lock", f"ingress {ingress}", LedgerError)
            except OSError as error:
                raise LedgerError(f"{path}: {error.strerror}") from None
        elif not (self.path / "data.mdb").is_file():
            raise LedgerError(f"{path}: no ledger")
        try:
            self._log = self._map() if ingress else None
            self._size = 0  # bytes of the log that hold records since the last fold
            self.newest = 0  # the last turn that `turns` has met: one that found no room may be missing before it
            self.env = lmdb.open(
                str(self.path), map_size=size, max_dbs=5, readonly=not ingress, readahead=False, meminit=False
            )
            self._open, self._entries, self._meta, self._totals, self._acks = (
                self.env.open_db(name, create=bool(ingress)) for name in (b"open", b"entry", b"meta", b"total", b"ack")
            )
        except (lmdb.Error, OSError) as error:
            if self.lock is not None:
                self.lock.close()
            raise LedgerError(f"{path}: {error}") from None

    @property
    def fold_every(self) -> float:
        """Seconds between two folds."""
        return self.sync or FOLD

    def begin(self) -> tuple[Heads, dict[Key, Sum], list[list[Use]], str]:
        """Take the store over for writing: where it stands, what is open, the turns that are still to be counted, and
        a line to log or nothing. The caller counts these and folds."""
        said = ""
        with self.env.begin() as txn:
            found, _ = self._heads(txn)
        heads = found or Heads(self.ingress, secrets.token_hex(4))
        turns = list(self.turns(heads.turn))
        if turns:
            said = f"{len(turns)} turns folded"
        if heads.ingress != self.ingress:
            said = f"taken over from ingress {heads.ingress}"
            heads.ingress, heads.epoch = self.ingress, secrets.token_hex(4)
        return heads, self.sums(), turns, said

    def _map(self) -> mmap.mmap:
        file = os.open(self.path / "turns.log", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            os.posix_fallocate(file, 0, LOG)  # a disk that fills up later cannot make a copy into it fail
            return mmap.mmap(file, LOG)
        finally:
            os.close(file)

    def turns(self, after: int) -> Iterator[list[Use]]:
        """What the log holds behind turn `after`, up to the first record that is not whole. What stands there from
        before a fold has turns up to `after`."""
        with open(self.path / "turns.log", "rb") as file:
            data = file.read()
        self._size = 0
        while self._size + RECORD.size <= len(data):
            length, checksum = RECORD.unpack_from(data, self._size)
            begin = self._size + RECORD.size
            body = data[begin : begin + length]
            if not length or len(body) < length or xxhash.xxh32_intdigest(body) != checksum:
                return
            self._size = begin + length
            turn, uses = _any.decode(body)
            self.newest = max(self.newest, turn)
            if turn > after:
                yield [tuple(use) for use in uses]

    def append(self, turn: int, uses: list[Use]) -> None:
        """What this turn has counted. Raises LedgerError, and then nothing of it is stored."""
        body = packed((turn, uses))
        record = RECORD.pack(len(body), xxhash.xxh32_intdigest(body)) + body
        end = self._size + len(record)
        if end > LOG or self._log is None:
            raise LedgerError(f"{self.path}: the log is full")
        self._log[self._size : end] = record
        if not self.sync:
            try:
                self._log.flush()
            except OSError as error:
                raise LedgerError(f"{self.path}: {error.strerror}") from None
        self._size = end

    def heads(self) -> Heads:
        """Where the store stood at its last fold. Raises LedgerError."""
        with self.env.begin() as txn:
            heads, _ = self._heads(txn)
        if heads is None:
            raise LedgerError(f"{self.path}: no ledger")
        return heads

    def _heads(self, txn: Any) -> tuple[Heads | None, list[str]]:
        """Also the ids of the last turn in them."""
        data = txn.get(b"heads", db=self._meta)
        if data is None:
            return None, []
        meta = _any.decode(data)
        if meta.get("format") != FORMAT:
            raise LedgerError(f"{self.path}: format {meta.get('format')}, this program reads {FORMAT}")
        heads = Heads(
            meta["ingress"],
            meta["epoch"],
            meta["next"],
            meta["acked"],
            meta["closed"],
            meta["first"],
            meta["counted"],
            meta["tries"],
            meta["dropped"],
            meta["replay"],
            meta["turn"],
        )
        return heads, meta["last"]

    def last_turn(self) -> list[str]:
        """Ids of what was counted last: what a crash right after it may not have answered."""
        with self.env.begin() as txn:
            heads, last = self._heads(txn)
        turns = list(self.turns(heads.turn if heads else 0))
        return [use[0] for use in turns[-1]] if turns else last

    def _change_heads(self, txn: Any, heads: Heads) -> None:
        """Where the entries stand; what is counted stays as it was folded."""
        meta = _any.decode(txn.get(b"heads", db=self._meta))
        meta.update(acked=heads.acked, first=heads.first, dropped=heads.dropped, replay=heads.replay)
        txn.put(b"heads", packed(meta), db=self._meta)

    def _put_heads(self, txn: Any, heads: Heads, last: list[str]) -> None:
        txn.put(
            b"heads",
            packed(
                {
                    "format": FORMAT,
                    "ingress": heads.ingress,
                    "epoch": heads.epoch,
                    "next": heads.next_seq,
                    "acked": heads.acked,
                    "closed": heads.closed,
                    "first": heads.first,
                    "dropped": heads.dropped,
                    "replay": heads.replay,
                    "counted": heads.counted,
                    "tries": heads.tries,
                    "turn": heads.turn,
                    "last": last,
                }
            ),
            db=self._meta,
        )

    def fold(self, heads: Heads, changed: dict[Key, Sum | None], made: list[Entry], last: list[str]) -> None:
        """All that was counted since the last fold, and entries of periods closed since. A sum leaves the open ones
        (None) in the step that makes it an entry. Raises LedgerError, and then nothing of it is stored."""
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
                self._put_heads(txn, heads, last)
            self._size = 0
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
                self._change_heads(txn, heads)
        except (lmdb.Error, OSError) as error:
            raise LedgerError(f"{self.path}: {error}") from None

    def replay(self, heads: Heads, first: int) -> None:
        """Entries from this one on go to billing again. Raises LedgerError."""
        if not heads.first <= first <= heads.acked:
            raise LedgerError(
                f"from: {first} is not among the acknowledged entries that are kept, {heads.first} to {heads.acked}"
            )
        old = heads.acked, heads.replay
        heads.replay, heads.acked = max(heads.replay, heads.acked), first - 1
        try:
            with self.env.begin(write=True) as txn:
                self._change_heads(txn, heads)
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
                self._change_heads(txn, heads)
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
            heads, _ = self._heads(txn)
            if heads is None:
                raise LedgerError(f"{self.path}: no ledger")
            sums, totals, acks = self._sums(txn), self._read_totals(txn), self._read_acks(txn)
            rows = (_entry.decode(value) for _, value in txn.cursor(db=self._entries))
            yield from check(heads, sums, rows, totals, acks)

    def used_bytes(self) -> int:
        """Bytes of pages in use; what is free inside the file is used again before it grows."""
        info, stat = self.env.info(), self.env.stat()
        return int((info["last_pgno"] + 1) * stat["psize"])

    def end(self) -> None:
        """The one place where the store is given back."""
        self.env.close()
        if self._log is not None:
            self._log.close()
            self._log = None
        if self.lock is not None:
            self.lock.close()
            self.lock = None
