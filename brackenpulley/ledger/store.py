"""The ledger on disk: a write-ahead log of event-loop turns, checkpointed into LMDB.

A lock file names the one process that may write. The daemon's ledger service writes the store; the commands read it,
and write it while no daemon runs.

Each turn of the loop that counted use is one record in `turns.log`, a memory-mapped file that is preallocated at the
start: what was copied into the mapping survives kill -9. A periodic checkpoint writes the sums changed since the last
one to LMDB in one durable transaction, and the log restarts at its beginning; older records behind the new ones are
recognised by their turn number. Recovery replays the log. A truncated record belongs to a turn whose answers had not
been sent. An LMDB commit in each turn cost 1.15 to 1.20 times the CPU per message, and a log that grows by write() 1.09
to 1.14 times.

A power failure loses what is in the log, at most the use between two checkpoints; nothing is lost if
`sync_interval_seconds` is 0, as each record is then flushed to disk.
"""

from __future__ import annotations

import mmap
import os
import secrets
import struct
from collections.abc import Iterator
from itertools import islice
from pathlib import Path
from typing import Any

import lmdb
import msgspec
import xxhash

from ..lock import FileLock
from .tally import Entry, LedgerState, UsageKey, UsageSum

FORMAT_VERSION = 1
LOG_BYTES = 1 << 20
ENTRIES_PER_SNAPSHOT = 500  # read at a time
DEFAULT_CHECKPOINT_INTERVAL_SECONDS = 1.0  # if each record is flushed to disk
RECORD_HEADER = struct.Struct("<II")  # length and xxh32 checksum of the body that follows
Use = tuple[str, int, str, int, float, float]  # id, firm, plan, revision, units, since; see Tally.charge
Totals = dict[tuple[int, str, int], int]
encode = msgspec.msgpack.Encoder().encode
_key_decoder = msgspec.msgpack.Decoder(UsageKey)
_sum_decoder = msgspec.msgpack.Decoder(UsageSum)
_entry_decoder = msgspec.msgpack.Decoder(Entry)
_any_decoder = msgspec.msgpack.Decoder()


class LedgerError(RuntimeError):
    """The ledger cannot be used; the message gives the cause and, where there is one, the remedy."""


def encode_seq(seq: int) -> bytes:
    """Encodes a sequence number as a key that sorts in numeric order."""
    return seq.to_bytes(8, "big")


class Store:
    """Owns the LMDB environment, the log and the writer lock. Read-only if `ingress` is empty."""

    def __init__(
        self, path: str, ingress: str = "", max_bytes: int = 256 << 20, sync_interval_seconds: float = 1.0
    ) -> None:
        self.path, self.ingress, self.sync_interval_seconds = Path(path), ingress, sync_interval_seconds
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
            self._log = self._map_log() if ingress else None
            self._log_used_bytes = 0  # bytes of the log that hold records since the last checkpoint
            # The highest turn in the log. Earlier ones may be missing, as a turn that did not fit is not logged.
            self.newest_turn = 0
            self.env = lmdb.open(
                str(self.path), map_size=max_bytes, max_dbs=5, readonly=not ingress, readahead=False, meminit=False
            )
            self._open_db, self._entries_db, self._meta_db, self._totals_db, self._acks_db = (
                self.env.open_db(name, create=bool(ingress)) for name in (b"open", b"entry", b"meta", b"total", b"ack")
            )
        except (lmdb.Error, OSError) as error:
            if self.lock is not None:
                self.lock.close()
            raise LedgerError(f"{path}: {error}") from None

    @property
    def checkpoint_interval_seconds(self) -> float:
        """Seconds between two checkpoints."""
        return self.sync_interval_seconds or DEFAULT_CHECKPOINT_INTERVAL_SECONDS

    def recover(self) -> tuple[LedgerState, dict[UsageKey, UsageSum], list[list[Use]], str]:
        """Loads the store for writing after a start.

        Returns the state, the open sums, the logged turns that are not checkpointed yet, and a line to log or an empty
        string. The caller counts these turns and writes a checkpoint. Raises LedgerError.
        """
        notice = ""
        with self.env.begin() as transaction:
            stored_state, _ = self._read_state(transaction)
        state = stored_state or LedgerState(self.ingress, secrets.token_hex(4))
        turns = list(self.read_turns(state.turn))
        if turns:
            notice = f"{len(turns)} turns recovered from the log"
        if state.ingress != self.ingress:
            notice = f"taken over from ingress {state.ingress}"
            state.ingress, state.epoch = self.ingress, secrets.token_hex(4)
        return state, self.read_open_sums(), turns, notice

    def _map_log(self) -> mmap.mmap:
        file = os.open(self.path / "turns.log", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            os.posix_fallocate(file, 0, LOG_BYTES)  # a disk that fills up later cannot fail a write to the mapping
            return mmap.mmap(file, LOG_BYTES)
        finally:
            os.close(file)

    def read_turns(self, after: int) -> Iterator[list[Use]]:
        """Yields the uses of each logged turn later than `after`, up to the first truncated or corrupt record.

        Records that remain from before the last checkpoint have turns up to `after`.
        """
        with open(self.path / "turns.log", "rb") as file:
            data = file.read()
        self._log_used_bytes = 0
        while self._log_used_bytes + RECORD_HEADER.size <= len(data):
            length, checksum = RECORD_HEADER.unpack_from(data, self._log_used_bytes)
            body_start = self._log_used_bytes + RECORD_HEADER.size
            body = data[body_start : body_start + length]
            if not length or len(body) < length or xxhash.xxh32_intdigest(body) != checksum:
                return
            self._log_used_bytes = body_start + length
            turn, uses = _any_decoder.decode(body)
            self.newest_turn = max(self.newest_turn, turn)
            if turn > after:
                yield [tuple(use) for use in uses]

    def append(self, turn: int, uses: list[Use]) -> None:
        """Appends the uses of a turn to the log. Raises LedgerError, and then none of them is stored."""
        body = encode((turn, uses))
        record = RECORD_HEADER.pack(len(body), xxhash.xxh32_intdigest(body)) + body
        end = self._log_used_bytes + len(record)
        if end > LOG_BYTES or self._log is None:
            raise LedgerError(f"{self.path}: the log is full")
        self._log[self._log_used_bytes : end] = record
        if not self.sync_interval_seconds:
            try:
                self._log.flush()
            except OSError as error:
                raise LedgerError(f"{self.path}: {error.strerror}") from None
        self._log_used_bytes = end

    def read_state(self) -> LedgerState:
        """Returns the state as of the last checkpoint. Raises LedgerError."""
        with self.env.begin() as transaction:
            state, _ = self._read_state(transaction)
        if state is None:
            raise LedgerError(f"{self.path}: no ledger")
        return state

    def _read_state(self, transaction: Any) -> tuple[LedgerState | None, list[str]]:
        """Returns the stored state, and the ids of the last turn that it includes."""
        data = transaction.get(b"heads", db=self._meta_db)
        if data is None:
            return None, []
        meta = _any_decoder.decode(data)
        if meta.get("format") != FORMAT_VERSION:
            raise LedgerError(f"{self.path}: format {meta.get('format')}, this program reads {FORMAT_VERSION}")
        state = LedgerState(
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
        return state, meta["last"]

    def read_last_turn_ids(self) -> list[str]:
        """Returns the ids of the last counted turn, whose answers a crash may have prevented."""
        with self.env.begin() as transaction:
            state, last = self._read_state(transaction)
        turns = list(self.read_turns(state.turn if state else 0))
        return [use[0] for use in turns[-1]] if turns else last

    def _update_positions(self, transaction: Any, state: LedgerState) -> None:
        """Writes the positions among the entries; the counts stay as of the last checkpoint."""
        meta = _any_decoder.decode(transaction.get(b"heads", db=self._meta_db))
        meta.update(
            acked=state.acked_seq,
            first=state.first_seq,
            dropped=state.dropped_micro_units,
            replay=state.replay_until_seq,
        )
        transaction.put(b"heads", encode(meta), db=self._meta_db)

    def _write_state(self, transaction: Any, state: LedgerState, last_ids: list[str]) -> None:
        transaction.put(
            b"heads",
            encode(
                {
                    "format": FORMAT_VERSION,
                    "ingress": state.ingress,
                    "epoch": state.epoch,
                    "next": state.next_seq,
                    "acked": state.acked_seq,
                    "closed": state.closed_until_ms,
                    "first": state.first_seq,
                    "dropped": state.dropped_micro_units,
                    "replay": state.replay_until_seq,
                    "counted": state.counted_micro_units,
                    "tries": state.charge_count,
                    "turn": state.turn,
                    "last": last_ids,
                }
            ),
            db=self._meta_db,
        )

    def checkpoint(
        self,
        state: LedgerState,
        changed_sums: dict[UsageKey, UsageSum | None],
        closed_entries: list[Entry],
        last_ids: list[str],
    ) -> None:
        """Stores the sums changed and the periods closed since the last checkpoint, in one transaction.

        A changed sum of None has become an entry and is deleted from the open sums. The log is empty afterwards.
        Raises LedgerError, and then nothing is stored.
        """
        try:
            # The snapshot of a process that died while it read keeps all pages freed since, until this is done.
            self.env.reader_check()
            with self.env.begin(write=True) as transaction:
                for key, total in changed_sums.items():
                    if total is None:
                        transaction.delete(encode(key), db=self._open_db)
                    else:
                        transaction.put(encode(key), encode(total), db=self._open_db)
                for entry in closed_entries:
                    transaction.put(encode_seq(entry.seq), encode(entry), db=self._entries_db, append=True)
                    name = encode((entry.key.firm, entry.key.plan, entry.key.revision))
                    old = transaction.get(name, db=self._totals_db)
                    transaction.put(
                        name, encode((_any_decoder.decode(old) if old else 0) + entry.units), db=self._totals_db
                    )
                self._write_state(transaction, state, last_ids)
            self._log_used_bytes = 0
        except (lmdb.Error, OSError) as error:
            raise LedgerError(f"{self.path}: {error}") from None

    def acknowledge(self, state: LedgerState, first: int, last: int, replay: bool) -> None:
        """Records that billing has entries `first` to `last`, so that `verify` finds duplicate exports.

        `replay` is True for entries that an operator asked to send again. Raises LedgerError.
        """
        try:
            with self.env.begin(write=True) as transaction:
                cursor = transaction.cursor(db=self._acks_db)
                end = cursor.last()
                place = int.from_bytes(cursor.key(), "big") if end else 0
                old = _any_decoder.decode(cursor.value()) if end else None
                if old and not replay and not old[2] and old[1] + 1 == first:
                    transaction.put(encode_seq(place), encode([old[0], last, False]), db=self._acks_db)
                else:
                    transaction.put(encode_seq(place + 1), encode([first, last, replay]), db=self._acks_db)
                self._update_positions(transaction, state)
        except (lmdb.Error, OSError) as error:
            raise LedgerError(f"{self.path}: {error}") from None

    def replay(self, state: LedgerState, first: int) -> None:
        """Marks the acknowledged entries from `first` on to be sent again. Raises LedgerError."""
        if not state.first_seq <= first <= state.acked_seq:
            raise LedgerError(
                f"from: {first} is not among the acknowledged entries that are kept, "
                f"{state.first_seq} to {state.acked_seq}"
            )
        old = state.acked_seq, state.replay_until_seq
        state.replay_until_seq, state.acked_seq = max(state.replay_until_seq, state.acked_seq), first - 1
        try:
            with self.env.begin(write=True) as transaction:
                self._update_positions(transaction, state)
        except (lmdb.Error, OSError) as error:
            state.acked_seq, state.replay_until_seq = old
            raise LedgerError(f"{self.path}: {error}") from None

    def drop(self, state: LedgerState, until: int) -> int:
        """Deletes acknowledged entries up to `until`, keeps their sum, and returns their number. Raises LedgerError."""
        old = state.first_seq, state.dropped_micro_units
        count = 0
        try:
            with self.env.begin(write=True) as transaction:
                for seq in range(state.first_seq, min(until, state.acked_seq) + 1):
                    entry = _entry_decoder.decode(transaction.pop(encode_seq(seq), db=self._entries_db) or b"")
                    name = encode((entry.key.firm, entry.key.plan, entry.key.revision))
                    rest = _any_decoder.decode(transaction.get(name, db=self._totals_db) or encode(0)) - entry.units
                    transaction.put(name, encode(rest), db=self._totals_db)
                    state.dropped_micro_units += entry.units
                    state.first_seq = seq + 1
                    count += 1
                self._update_positions(transaction, state)
        except (lmdb.Error, OSError, msgspec.MsgspecError) as error:
            state.first_seq, state.dropped_micro_units = old
            raise LedgerError(f"{self.path}: {error}") from None
        return count

    def read_open_sums(self) -> dict[UsageKey, UsageSum]:
        """Returns the open sums."""
        with self.env.begin() as transaction:
            return self._read_open_sums(transaction)

    def _read_open_sums(self, transaction: Any) -> dict[UsageKey, UsageSum]:
        return {
            _key_decoder.decode(key): _sum_decoder.decode(value) for key, value in transaction.cursor(db=self._open_db)
        }

    def _read_totals(self, transaction: Any) -> Totals:
        rows = (
            (_any_decoder.decode(key), _any_decoder.decode(value))
            for key, value in transaction.cursor(db=self._totals_db)
        )
        return {(name[0], name[1], name[2]): units for name, units in rows}

    def _read_acks(self, transaction: Any) -> list[tuple[int, int, bool]]:
        rows = (_any_decoder.decode(value) for _, value in transaction.cursor(db=self._acks_db))
        return [(first, last, replay) for first, last, replay in rows]

    def read_entries(self, first: int = 1, max_count: int = 0) -> Iterator[Entry]:
        """Yields entries from sequence number `first` on, at most `max_count` of them; 0 for no limit.

        No snapshot is held while an entry is used: that would keep the pages which a daemon frees meanwhile. Entries
        that are deleted in between are left out.
        """
        count = 0
        while True:
            left = max_count - count if max_count else ENTRIES_PER_SNAPSHOT
            batch = self._read_batch(first, min(left, ENTRIES_PER_SNAPSHOT))
            yield from batch
            count += len(batch)
            if len(batch) < ENTRIES_PER_SNAPSHOT:
                return
            first = batch[-1].seq + 1

    def _read_batch(self, first: int, max_count: int) -> list[Entry]:
        with self.env.begin() as transaction:
            cursor = transaction.cursor(db=self._entries_db)
            if not cursor.set_range(encode_seq(first)):
                return []
            values = islice(cursor.iternext(keys=False, values=True), max_count)
            return [_entry_decoder.decode(value) for value in values]

    def read_totals(self) -> Totals:
        """Returns the micro-units of the retained entries by firm, plan and revision."""
        with self.env.begin() as transaction:
            return self._read_totals(transaction)

    def read_acknowledged(self) -> list[tuple[int, int, bool]]:
        """Returns (first, last, whether it was a replay) of each acknowledged range, in order."""
        with self.env.begin() as transaction:
            return self._read_acks(transaction)

    def verify(self) -> Iterator[tuple[str, int]]:
        """Yields what `tally.check_ledger` finds. Reads one snapshot, so a daemon may write meanwhile.

        Raises LedgerError.
        """
        from .tally import check_ledger

        with self.env.begin() as transaction:
            state, _ = self._read_state(transaction)
            if state is None:
                raise LedgerError(f"{self.path}: no ledger")
            sums, totals, acks = (
                self._read_open_sums(transaction),
                self._read_totals(transaction),
                self._read_acks(transaction),
            )
            rows = (_entry_decoder.decode(value) for _, value in transaction.cursor(db=self._entries_db))
            yield from check_ledger(state, sums, rows, totals, acks)

    def used_bytes(self) -> int:
        """Returns the size of all pages up to the last in use; free pages are reused before the file grows."""
        info, stat = self.env.info(), self.env.stat()
        return int((info["last_pgno"] + 1) * stat["psize"])

    def close(self) -> None:
        """Closes the environment and the log, and releases the writer lock."""
        self.env.close()
        if self._log is not None:
            self._log.close()
            self._log = None
        if self.lock is not None:
            self.lock.close()
            self.lock = None
