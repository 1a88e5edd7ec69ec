"""Small facts that each member tells of itself, known to all: gossiped, and repaired by full exchanges. No I/O.

A record is (owner, kind, key), its value and a serial that grows with each change its owner makes; the greatest serial
stands. An owner is one life, so what a new life says never meets what an old one said. What becomes of it:

    its owner                     | a record                 | a record of a kind whose silence frees nothing
    ------------------------------+--------------------------+------------------------------------------------
    alive, suspected              | stands                   | stands
    dead                          | forgotten                | stands
    left (its own word)           | forgotten                | forgotten
    `ended` (word from elsewhere) | forgotten                | forgotten
    never heard of as a member    | stands for `STRANGE` s   | stands for `STRANGE` s

Bounds: `RECORDS` records a member, `VALUE` bytes each, `RATE` bytes a second that one member gossips, whatever the size
of the fleet; a change is told TIMES * log10(n + 1) times by each. A kind that nobody here knows is kept and told on."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .gossip import Queue
from .wire import Digest, Record, Records, encoded_size

RECORDS, VALUE, NAME = 64, 600, 64  # a member; bytes of one value; of a kind, of a key
RATE, SAVED = 800.0, 2200.0  # bytes a second of records in datagrams; and what may be saved up
STREAM_BYTES = 800_000  # of one exchange; what is left out comes with the next one
STRANGE = 60.0  # s

Heard = Callable[[Record], None]


class RecordError(ValueError):
    """It cannot be told; the text says why."""


@dataclass(slots=True)
class Owner:
    since: float  # heard of first
    rows: dict[tuple[str, str], Record] = field(default_factory=dict)
    mark: bytes = b""  # of all of them; b"" = to be made anew

    def digest(self) -> bytes:
        if not self.mark:
            made = hashlib.blake2b(digest_size=8)
            for (kind, key), row in sorted(self.rows.items()):
                made.update(f"{kind}\0{key}\0{row.serial}\0".encode())
            self.mark = made.digest()
        return self.mark


class Table:
    """What one member knows of all, itself too."""

    def __init__(self, me: str, rng: random.Random, now: float) -> None:
        self.me, self.rng, self.now = me, rng, now
        self.sticky: set[str] = set()  # kinds whose silence frees nothing
        self.heard: dict[str, list[Heard]] = {}  # by kind: who is called with each change
        self.owners: dict[str, Owner] = {me: Owner(now)}
        self.queue: Queue[tuple[str, str, str], Record] = Queue()
        self.counts: dict[str, int] = {}
        self._serial = 0
        self._saved, self._saved_at = SAVED, now
        self._over: set[str] = set()  # lives that are over
        self._dead: set[str] = set()  # and those that are only silent
        self._withdrawn: dict[tuple[str, str], float] = {}  # of this member's own: since when

    # What this member says itself.

    def publish(self, kind: str, key: str, value: bytes) -> None:
        """Raises RecordError. The same value again is nothing new."""
        mine = self.owners[self.me].rows
        if not kind or len(kind) > NAME or len(key) > NAME:
            raise RecordError(f"{kind!r} {key!r}: names of 1 to {NAME} characters")
        if len(value) > VALUE:
            raise RecordError(f"{kind} {key}: {len(value)} bytes, {VALUE} at most")
        old = mine.get((kind, key))
        if old is not None and old.value == value and not old.gone:
            return
        if old is None and len(mine) >= RECORDS:
            self._drop_withdrawn()
            if len(mine) >= RECORDS:
                raise RecordError(f"{kind} {key}: {RECORDS} records at most")
        self._say(kind, key, value, False)

    def withdraw(self, kind: str, key: str) -> None:
        old = self.owners[self.me].rows.get((kind, key))
        if old is not None and not old.gone:
            self._withdrawn[kind, key] = self.now
            self._say(kind, key, b"", True)

    def _say(self, kind: str, key: str, value: bytes, gone: bool) -> None:
        self._serial += 1
        self._take(Record(self.me, kind, key, self._serial, value, gone))

    def _drop_withdrawn(self) -> None:
        """Room for new keys: all have heard by now that these are gone."""
        owner = self.owners[self.me]
        for name, since in list(self._withdrawn.items()):
            if not owner.rows[name].gone:
                del self._withdrawn[name]
            elif self.now - since > STRANGE:
                del owner.rows[name], self._withdrawn[name]
                owner.mark = b""

    # What is known.

    def of(self, kind: str) -> Iterator[Record]:
        for owner in self.owners.values():
            for row in owner.rows.values():
                if row.kind == kind and not row.gone:
                    yield row

    def get(self, owner: str, kind: str, key: str) -> bytes | None:
        found = self.owners.get(owner)
        row = found.rows.get((kind, key)) if found is not None else None
        return None if row is None or row.gone else row.value

    # What is heard.

    def receive(self, now: float, word: Records) -> None:
        self.now = max(self.now, now)
        for row in word.rows:
            if (
                row.owner == self.me
                or row.owner in self._over
                or (row.owner in self._dead and row.kind not in self.sticky)
            ):
                continue
            if len(row.value) > VALUE or len(row.kind) > NAME or len(row.key) > NAME:
                self._count("too_long")
                continue
            owner = self.owners.get(row.owner)
            if owner is not None and len(owner.rows) >= RECORDS and (row.kind, row.key) not in owner.rows:
                self._count("too_many")
                continue
            self._take(row)

    def _take(self, row: Record) -> None:
        owner = self.owners.setdefault(row.owner, Owner(self.now))
        old = owner.rows.get((row.kind, row.key))
        if old is not None and old.serial >= row.serial:
            return
        owner.rows[row.kind, row.key], owner.mark = row, b""
        self.queue.add((row.owner, row.kind, row.key), row, encoded_size(row))
        for call in self.heard.get(row.kind, ()):
            call(row)

    # Members come and go.

    def alive(self, member: str) -> None:
        self._dead.discard(member)

    def dead(self, member: str) -> None:
        """Silence alone: some kinds stand."""
        self._dead.add(member)
        self._forget(member, keep=self.sticky)

    def ended(self, member: str) -> None:
        """Word that this life is over: its own, or of who saw its process end."""
        self._over.add(member)
        self._forget(member, keep=set())

    def _forget(self, member: str, keep: set[str]) -> None:
        owner = self.owners.get(member)
        if owner is None or member == self.me:
            return
        for name, row in list(owner.rows.items()):
            if row.kind not in keep:
                del owner.rows[name]
                self.queue.drop((member, *name))
                gone = Record(row.owner, row.kind, row.key, row.serial, b"", True)
                for call in self.heard.get(row.kind, ()) if not row.gone else ():
                    call(gone)
        owner.mark = b""
        if not owner.rows:
            del self.owners[member]

    def sweep(self, now: float, known: Callable[[str], bool]) -> None:
        """`known`: it is a member, dead ones that are remembered too."""
        self.now = max(self.now, now)
        for name, owner in list(self.owners.items()):
            if name != self.me and self.now - owner.since > STRANGE and not known(name):
                self.dead(name)
        for names in (self._over, self._dead):
            names.difference_update([name for name in names if not known(name) and name not in self.owners])

    # What goes out.

    def news(self, now: float, members: int, room: int) -> Records | None:
        """For one datagram, within what one member may send a second."""
        self.now = max(self.now, now)
        self._saved = min(SAVED, self._saved + RATE * (self.now - self._saved_at))
        self._saved_at = self.now
        rows, size = self.queue.take(min(room, int(self._saved)), members)
        if not rows:
            return None
        self._saved -= size
        return Records(rows)

    def digest(self, address: str, answer: bool = False) -> Digest:
        return Digest(address, [(name, owner.digest()) for name, owner in self.owners.items()], answer)

    def compare(self, word: Digest) -> Records | None:
        """What the other one lacks, or holds otherwise."""
        theirs = dict(word.rows)
        names = [name for name, owner in self.owners.items() if theirs.get(name) != owner.digest()]
        self.rng.shuffle(names)
        rows: list[Record] = []
        size = 0
        for name in names:
            for row in self.owners[name].rows.values():
                size += encoded_size(row)
                if size > STREAM_BYTES:
                    self._count("exchanges_cut")
                    return Records(rows)
                rows.append(row)
        return Records(rows) if rows else None

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
