"""What is counted, and how it becomes entries. No I/O; the time is passed in.

Use is added up by firm, plan, revision and period while the period is open. Once a period has been over for `grace`
seconds it is closed: each sum becomes an entry under the next sequence number and is never touched again. Use that is
told later (a true cost, a reservation that lasted) becomes a correction: an entry of its own that names the period it
corrects. So counted = open + entries, always, and sequence numbers have no gaps.

The store stays small by adding up, never by dropping: each `backlog` entries that billing has not acknowledged double
the length of the periods that begin from then on, up to `LONGEST`.

Amounts are whole micro-units, so that sums are exact in any order."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

MICRO = 1_000_000
LONGEST = 3_600_000  # ms of a period at most
DOUBLINGS = 12


class Key(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What use is added up by. `kind` is "use" or "correction"; times in ms of Unix time."""

    kind: str
    start: int
    end: int
    firm: int
    plan: str
    revision: int


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One line of the ledger. `id` is made once, here, and stays the same wherever the entry is sent or taken."""

    seq: int
    id: str
    key: Key
    units: int  # micro-units
    tries: int


class Sum(msgspec.Struct, array_like=True):
    units: int = 0
    tries: int = 0


@dataclass(slots=True)
class Heads:
    """Where the ledger stands."""

    ingress: str
    epoch: str  # made anew with each store and each taking over by another ingress
    next_seq: int = 1
    acked: int = 0  # billing has all up to this one
    closed: int = 0  # ms: the end of the last closed period
    first: int = 1  # the oldest entry that is still kept
    counted: int = 0  # micro-units in all
    tries: int = 0
    dropped: int = 0  # micro-units of entries that are no longer kept
    replay: int = 0  # up to here entries are sent again because somebody asked for it
    turn: int = 0  # the last turn that is counted

    @property
    def backlog(self) -> int:
        return self.next_seq - 1 - self.acked


def micro(units: float) -> int:
    return round(units * MICRO)


def ms(seconds: float) -> int:
    return int(seconds * 1000)


@dataclass(slots=True)
class Tally:
    heads: Heads
    period: int  # ms
    grace: int  # ms
    backlog: int  # entries without acknowledgement that double the periods
    open: dict[Key, Sum] = field(default_factory=dict)
    changed: set[Key] = field(default_factory=set)
    _near: dict[tuple[int, str, int], tuple[Key, Sum]] = field(default_factory=dict)  # the last open sum of each
    stalled: bool = False  # the store takes nothing: what is open is kept in memory, in periods as long as can be

    def length(self) -> int:
        """ms of the periods that begin now."""
        if self.stalled:
            return max(self.period, LONGEST)
        doublings = min(DOUBLINGS, self.heads.backlog // max(1, self.backlog))
        return max(self.period, min(LONGEST, self.period << doublings))

    def charge(self, firm: int, plan: str, revision: int, units: float, since: float) -> None:
        """Count use that began at `since` (Unix s)."""
        at, amount, heads = ms(since), micro(units), self.heads
        heads.counted += amount
        heads.tries += 1
        found = self._near.get((firm, plan, revision))
        if found is None or not found[0].start <= at < found[0].end:
            found = self._find(at, firm, plan, revision)
        key, total = found
        total.units += amount
        total.tries += 1
        self.changed.add(key)

    def _find(self, at: int, firm: int, plan: str, revision: int) -> tuple[Key, Sum]:
        """The open sum that use of this moment (ms) belongs to."""
        length = self.length()
        end = (at // length + 1) * length
        if at < self.heads.closed:
            length = self.period
            start = at // length * length
            key = Key("correction", start, start + length, firm, plan, revision)
        else:
            key = Key("use", max(end - length, self.heads.closed), end, firm, plan, revision)
        found = key, self.open.setdefault(key, Sum())
        if key.kind == "use":
            self._near[firm, plan, revision] = found
        return found

    def due(self, now: float) -> list[Key]:
        """Sums of periods that have been over for the time of grace; corrections go with the first close."""
        until = ms(now) - self.grace
        ended = [key for key in self.open if key.kind == "use" and key.end <= until]
        corrections = [key for key in self.open if key.kind == "correction"]
        if not ended and not (corrections and ms(now) - self.heads.closed >= self.period):
            return []
        return sorted(ended) + sorted(corrections)

    def close(self, now: float) -> list[Entry]:
        """Turn what is due into entries. The caller stores them together with what else has changed."""
        made = []
        self._near.clear()
        for key in self.due(now):
            total = self.open.pop(key)
            self.changed.add(key)
            heads = self.heads
            made.append(
                Entry(heads.next_seq, f"{heads.ingress}/{heads.epoch}/{heads.next_seq}", key, total.units, total.tries)
            )
            heads.next_seq += 1
            if key.kind == "use":
                heads.closed = max(heads.closed, key.end)
        return made

    def next_close(self, now: float) -> float:
        """Unix s at which something may be due next."""
        ends = [key.end for key in self.open if key.kind == "use"]
        after = min(ends, default=ms(now) + self.period) + self.grace
        return max(now + 0.05, after / 1000)

    def open_units(self) -> int:
        return sum(total.units for total in self.open.values())


def check(
    heads: Heads,
    sums: dict[Key, Sum],
    entries: Iterator[Entry],
    totals: dict[tuple[int, str, int], int],
    acknowledged: list[tuple[int, int, bool]],
) -> Iterator[tuple[str, int]]:
    """Walk the whole ledger; yields (fault, or nothing, and the entries seen so far).

    `totals` are kept units of entries by firm, plan and revision; `acknowledged` the ranges that billing took, each
    with whether it was a replay that somebody asked for."""
    seen: dict[tuple[int, str, int], int] = {}
    ids: set[int] = set()
    expected, count, closed = heads.first, 0, 0
    for entry in entries:
        count += 1
        if entry.seq != expected:
            yield f"sequence: {entry.seq} where {expected} should be", count
        if entry.id.rpartition("/")[2] != str(entry.seq) or hash(entry.id) in ids:
            yield f"entry {entry.seq}: id {entry.id} does not belong to it or stands twice", count
        ids.add(hash(entry.id))
        if entry.units < 0 or entry.tries <= 0:
            yield f"entry {entry.seq}: {entry.units} micro-units in {entry.tries} tries", count
        key = (entry.key.firm, entry.key.plan, entry.key.revision)
        seen[key] = seen.get(key, 0) + entry.units
        closed += entry.units
        expected = entry.seq + 1
        yield "", count
    if expected != heads.next_seq:
        yield f"sequence: ends at {expected - 1}, and the next one is {heads.next_seq}", count
    for key in sorted(seen.keys() | totals.keys()):
        if seen.get(key, 0) != totals.get(key, 0):
            yield (
                (
                    f"firm {key[0]:016x}, plan {key[1]}, revision {key[2]}: entries hold {seen.get(key, 0)} "
                    f"micro-units, and their kept sum is {totals.get(key, 0)}"
                ),
                count,
            )
    still = sum(total.units for total in sums.values())
    if heads.counted != closed + heads.dropped + still:
        yield (
            (
                f"sum: counted {heads.counted} micro-units; entries {closed}, no longer kept {heads.dropped}, "
                f"open {still}"
            ),
            count,
        )
    if not 0 <= heads.acked < heads.next_seq:
        yield f"acknowledged: {heads.acked}, and the next entry is {heads.next_seq}", count
    until = 0
    for first, last, replay in acknowledged:
        if not replay and first <= until:
            yield f"entries {first} to {min(last, until)}: exported twice", count
        elif not replay and first != until + 1:
            yield f"entries {until + 1} to {first - 1}: never exported", count
        until = max(until, last)
