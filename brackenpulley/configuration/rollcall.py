"""Who has which revision, as the members' records say: counted by revision, the silent named with their age. No I/O.

A record is the process's name, the revision in force there and since when. Names outlive lives, so a new life's word
takes the place of the old one's. Silence takes nobody off the list for `REMEMBERED` s: who is cut off goes on with what
it had, and that is what the list says of it. Who leaves by its own word is gone from it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

KIND = "configuration"  # of records
REMEMBERED, MOST = 86400.0, 4000  # s, and processes
NAMED = 20  # silent ones in one answer


class Has(msgspec.Struct, frozen=True, array_like=True):
    name: str
    number: int
    mark: bytes  # the first four bytes of it
    since: float  # Unix time
    born: float = 0.0  # Unix time: an older life's word comes late and counts for nothing
    times: int = 0  # that it has come back: a record is told again only where it is another one


_has = msgspec.msgpack.Decoder(Has).decode
_encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class Row:
    owner: str
    has: Has
    silent: float = 0.0  # since when; 0 = it is there


def pack(name: str, number: int, mark: bytes, since: float, born: float = 0.0, times: int = 0) -> bytes:
    return _encode(Has(name, number, mark[:4], round(since, 3), round(born, 3), times))


class RollCall:
    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}  # by name
        self.unread = 0

    def told(self, owner: str, value: bytes) -> None:
        try:
            has = _has(value)
        except msgspec.MsgspecError:
            self.unread += 1
            return
        old = self.rows.get(has.name)
        if old is None and len(self.rows) < MOST or old is not None and old.has.born <= has.born:
            self.rows[has.name] = Row(owner, has)

    def gone(self, now: float, owner: str, left: bool) -> None:
        """Its record is: `left` by its own word, else it is only silent."""
        for name, row in list(self.rows.items()):
            if row.owner == owner:
                if left:
                    del self.rows[name]
                else:
                    row.silent = row.silent or now

    def sweep(self, now: float) -> None:
        for name, row in list(self.rows.items()):
            if row.silent and now - row.silent > REMEMBERED:
                del self.rows[name]

    def status(self, now: float) -> dict[str, Any]:
        self.sweep(now)
        there: dict[int, int] = {}
        for row in self.rows.values():
            if not row.silent:
                there[row.has.number] = there.get(row.has.number, 0) + 1
        silent = sorted((row.silent, name) for name, row in self.rows.items() if row.silent)
        return {
            "byRevision": {str(number): there[number] for number in sorted(there)},
            "silent": len(silent),
            "silentNamed": [
                {
                    "name": name,
                    "revision": self.rows[name].has.number,
                    "silentS": round(now - since, 1),
                    "revisionAgeS": round(now - self.rows[name].has.since, 1),
                }
                for since, name in silent[:NAMED]
            ],
        }
