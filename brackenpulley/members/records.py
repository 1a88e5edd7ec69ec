"""Replicated records: small facts that each member publishes about itself and that all members hold. No I/O.

Records are gossiped, and repaired by full exchanges. A record is identified by (owner, kind, key) and has a value and a
serial that grows with each change its owner makes; the highest serial wins. The owner is one generation of a member, so
records of a restarted process never meet those of its predecessor. What happens to a record:

    its owner                          | a record                             | a record of a sticky kind
    -----------------------------------+--------------------------------------+--------------------------------------
    alive, suspected                   | kept                                 | kept
    dead                               | dropped                              | kept
    left (announced by itself)         | dropped                              | dropped
    `mark_ended` (reported by others)  | dropped                              | dropped
    unknown as a member                | kept for `UNKNOWN_OWNER_RETENTION_S` | kept for `UNKNOWN_OWNER_RETENTION_S`

A kind is sticky where the silence of an owner must not free what its records stand for. Bounds: `MAX_RECORDS` records
for each member, `MAX_VALUE_BYTES` for each value, and `GOSSIP_BYTES_PER_S` that one member gossips whatever the size of
the fleet; each member sends a change RETRANSMIT_MULTIPLIER * log10(n + 1) times. Records of an unknown kind are kept
and passed on. Used by `station`."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .gossip import TransmitQueue
from .wire import Digest, Record, Records, encoded_size

MAX_RECORDS = 64  # of one member
MAX_VALUE_BYTES = 600
MAX_NAME_LENGTH = 64  # characters of a kind or a key
GOSSIP_BYTES_PER_S = 800.0  # of records in datagrams
MAX_CREDIT_BYTES = 2200.0  # that may accumulate while less is sent
MAX_EXCHANGE_BYTES = 800_000  # of one full exchange; the rest follows with the next one
UNKNOWN_OWNER_RETENTION_S = 60.0

RecordCallback = Callable[[Record], None]


class RecordError(ValueError):
    """A record that cannot be published; the message gives the reason."""


@dataclass(slots=True)
class Owner:
    """The records of one owner."""

    first_seen: float
    records: dict[tuple[str, str], Record] = field(default_factory=dict)  # by kind and key
    cached_digest: bytes = b""  # of all records; b"" = to be computed

    def digest(self) -> bytes:
        """Return a hash of kinds, keys and serials of all records."""
        if not self.cached_digest:
            hasher = hashlib.blake2b(digest_size=8)
            for (kind, key), record in sorted(self.records.items()):
                hasher.update(f"{kind}\0{key}\0{record.serial}\0".encode())
            self.cached_digest = hasher.digest()
        return self.cached_digest


class RecordTable:
    """The records that one member holds of all members, with its own."""

    def __init__(self, own_id: str, rng: random.Random, now: float) -> None:
        self.own_id, self.rng, self.now = own_id, rng, now
        self.sticky_kinds: set[str] = set()  # kinds whose records outlive a dead owner
        self.subscribers: dict[str, list[RecordCallback]] = {}  # by kind: called with each change
        self.owners: dict[str, Owner] = {own_id: Owner(now)}
        self.queue: TransmitQueue[tuple[str, str, str], Record] = TransmitQueue()
        self.counts: dict[str, int] = {}
        self._serial = 0
        self._credit, self._credit_at = MAX_CREDIT_BYTES, now
        self._ended: set[str] = set()  # owners that left or whose process has ended
        self._dead: set[str] = set()  # owners declared dead
        self._withdrawn: dict[tuple[str, str], float] = {}  # own deleted records: time of deletion

    # Own records.

    def publish(self, kind: str, key: str, value: bytes) -> None:
        """Set an own record; publishing an unchanged value has no effect.

        Raises RecordError where a name or the value is too long, or there are too many records."""
        own_records = self.owners[self.own_id].records
        if not kind or len(kind) > MAX_NAME_LENGTH or len(key) > MAX_NAME_LENGTH:
            raise RecordError(
                f"record {kind!r} {key!r}: the kind must have 1 to {MAX_NAME_LENGTH} characters, the key no more"
            )
        if len(value) > MAX_VALUE_BYTES:
            raise RecordError(
                f"record {kind} {key}: a value of {len(value)} bytes, at most {MAX_VALUE_BYTES} are allowed"
            )
        current = own_records.get((kind, key))
        if current is not None and current.value == value and not current.is_deleted:
            return
        if current is None and len(own_records) >= MAX_RECORDS:
            self._purge_withdrawn()
            if len(own_records) >= MAX_RECORDS:
                raise RecordError(f"record {kind} {key}: a member has at most {MAX_RECORDS} records")
        self._publish_own(kind, key, value, False)

    def withdraw(self, kind: str, key: str) -> None:
        """Delete an own record, if there is one."""
        current = self.owners[self.own_id].records.get((kind, key))
        if current is not None and not current.is_deleted:
            self._withdrawn[kind, key] = self.now
            self._publish_own(kind, key, b"", True)

    def _publish_own(self, kind: str, key: str, value: bytes, is_deleted: bool) -> None:
        self._serial += 1
        self._store(Record(self.own_id, kind, key, self._serial, value, is_deleted))

    def _purge_withdrawn(self) -> None:
        """Remove own deleted records, once the deletion has had time to reach all members."""
        owner = self.owners[self.own_id]
        for name, since in list(self._withdrawn.items()):
            if not owner.records[name].is_deleted:
                del self._withdrawn[name]
            elif self.now - since > UNKNOWN_OWNER_RETENTION_S:
                del owner.records[name], self._withdrawn[name]
                owner.cached_digest = b""

    # Queries.

    def iter_kind(self, kind: str) -> Iterator[Record]:
        """Yield all records of a kind that are not deleted."""
        for owner in self.owners.values():
            for record in owner.records.values():
                if record.kind == kind and not record.is_deleted:
                    yield record

    def get(self, owner: str, kind: str, key: str) -> bytes | None:
        """Return the value of a record, or None."""
        found = self.owners.get(owner)
        record = found.records.get((kind, key)) if found is not None else None
        return None if record is None or record.is_deleted else record.value

    # Records of other members.

    def receive(self, now: float, batch: Records) -> None:
        """Store the records of a message, except those of ended owners and those over the bounds."""
        self.now = max(self.now, now)
        for record in batch.rows:
            if (
                record.owner == self.own_id
                or record.owner in self._ended
                or (record.owner in self._dead and record.kind not in self.sticky_kinds)
            ):
                continue
            if (
                len(record.value) > MAX_VALUE_BYTES
                or len(record.kind) > MAX_NAME_LENGTH
                or len(record.key) > MAX_NAME_LENGTH
            ):
                self._count("too_long")
                continue
            owner = self.owners.get(record.owner)
            if (
                owner is not None
                and len(owner.records) >= MAX_RECORDS
                and (record.kind, record.key) not in owner.records
            ):
                self._count("too_many")
                continue
            self._store(record)

    def _store(self, record: Record) -> None:
        owner = self.owners.setdefault(record.owner, Owner(self.now))
        current = owner.records.get((record.kind, record.key))
        if current is not None and current.serial >= record.serial:
            return
        owner.records[record.kind, record.key], owner.cached_digest = record, b""
        self.queue.add((record.owner, record.kind, record.key), record, encoded_size(record))
        for callback in self.subscribers.get(record.kind, ()):
            callback(record)

    # Changes of membership.

    def mark_alive(self, member: str) -> None:
        """Accept records of an owner again that was declared dead."""
        self._dead.discard(member)

    def mark_dead(self, member: str) -> None:
        """Drop the records of an owner declared dead, except those of sticky kinds."""
        self._dead.add(member)
        self._forget(member, keep=self.sticky_kinds)

    def mark_ended(self, member: str) -> None:
        """Drop all records of an owner that left, or whose process was seen to end."""
        self._ended.add(member)
        self._forget(member, keep=set())

    def _forget(self, member: str, keep: set[str]) -> None:
        owner = self.owners.get(member)
        if owner is None or member == self.own_id:
            return
        for name, record in list(owner.records.items()):
            if record.kind not in keep:
                del owner.records[name]
                self.queue.drop((member, *name))
                deletion = Record(record.owner, record.kind, record.key, record.serial, b"", True)
                for callback in self.subscribers.get(record.kind, ()) if not record.is_deleted else ():
                    callback(deletion)
        owner.cached_digest = b""
        if not owner.records:
            del self.owners[member]

    def sweep(self, now: float, known: Callable[[str], bool]) -> None:
        """Expire the owners that are not known as members; `known` is also true of dead members still remembered."""
        self.now = max(self.now, now)
        for name, owner in list(self.owners.items()):
            if name != self.own_id and self.now - owner.first_seen > UNKNOWN_OWNER_RETENTION_S and not known(name):
                self.mark_dead(name)
        for names in (self._ended, self._dead):
            names.difference_update([name for name in names if not known(name) and name not in self.owners])

    # Output.

    def next_batch(self, now: float, members: int, max_bytes: int) -> Records | None:
        """Return the records for the next datagram, within `max_bytes` and the rate limit, or None."""
        self.now = max(self.now, now)
        self._credit = min(MAX_CREDIT_BYTES, self._credit + GOSSIP_BYTES_PER_S * (self.now - self._credit_at))
        self._credit_at = self.now
        rows, size = self.queue.take(min(max_bytes, int(self._credit)), members)
        if not rows:
            return None
        self._credit -= size
        return Records(rows)

    def digest(self, address: str, is_reply: bool = False) -> Digest:
        """Return the message with which a full exchange starts or, as a reply, goes on."""
        return Digest(address, [(name, owner.digest()) for name, owner in self.owners.items()], is_reply)

    def compare(self, remote: Digest) -> Records | None:
        """Return the records of all owners whose digest differs from the remote one, or None."""
        remote_digests = dict(remote.rows)
        names = [name for name, owner in self.owners.items() if remote_digests.get(name) != owner.digest()]
        self.rng.shuffle(names)
        rows: list[Record] = []
        size = 0
        for name in names:
            for record in self.owners[name].records.values():
                size += encoded_size(record)
                if size > MAX_EXCHANGE_BYTES:
                    self._count("exchanges_cut")
                    return Records(rows)
                rows.append(record)
        return Records(rows) if rows else None

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
