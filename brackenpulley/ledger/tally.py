"""Aggregates use into sums, and closes these into ledger entries. No I/O; the time is passed in.

Use is summed by firm, plan, revision and period while the period is open. Once a period has been over for the grace
time it is closed: each sum becomes an entry under the next sequence number and is never changed again. Use that is
reported later (a true cost, a long reservation) becomes a correction: an entry of its own that names the period it
corrects. So counted = open + entries always holds, and sequence numbers have no gaps.

The store is kept small by aggregation, never by dropping use: each `backlog_per_doubling` entries that billing has not
acknowledged double the length of the periods that begin from then on, up to `MAX_PERIOD_MS`.

Amounts are whole micro-units, so that sums are exact in any order. The ledger service uses this module, and so do the
commands.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

MICRO_UNITS_PER_UNIT = 1_000_000
MAX_PERIOD_MS = 3_600_000
MAX_DOUBLINGS = 12  # of the period length


class UsageKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """What use is summed by. `kind` is "use" or "correction"; times are in milliseconds of Unix time."""

    kind: str
    start_ms: int
    end_ms: int
    firm: int
    plan: str
    revision: int


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One line of the ledger. `id` never changes, also when the entry is sent again or the ledger is taken over."""

    seq: int
    id: str
    key: UsageKey
    units: int  # micro-units
    charge_count: int


class UsageSum(msgspec.Struct, array_like=True):
    """The open sum of one key, in micro-units."""

    units: int = 0
    charge_count: int = 0


@dataclass(slots=True)
class LedgerState:
    """The ledger's counters and positions."""

    ingress: str
    epoch: str  # new for each store, and when another ingress takes it over
    next_seq: int = 1
    acked_seq: int = 0  # billing has acknowledged all entries up to this one
    closed_until_ms: int = 0  # end of the last closed period
    first_seq: int = 1  # the oldest retained entry
    counted_micro_units: int = 0
    charge_count: int = 0
    dropped_micro_units: int = 0  # of deleted entries
    replay_until_seq: int = 0  # end of the entries that an operator asked to send again
    turn: int = 0  # the last turn counted

    @property
    def backlog(self) -> int:
        """The number of entries that billing has not acknowledged."""
        return self.next_seq - 1 - self.acked_seq


def to_micro_units(units: float) -> int:
    """Rounds units to whole micro-units."""
    return round(units * MICRO_UNITS_PER_UNIT)


def to_milliseconds(seconds: float) -> int:
    """Converts seconds to whole milliseconds, rounded towards zero."""
    return int(seconds * 1000)


@dataclass(slots=True)
class Tally:
    """Sums use by key and period, and closes ended periods into entries."""

    state: LedgerState
    period_ms: int
    grace_ms: int
    backlog_per_doubling: int  # unacknowledged entries that double the period
    open_sums: dict[UsageKey, UsageSum] = field(default_factory=dict)
    changed_keys: set[UsageKey] = field(default_factory=set)
    # By firm, plan and revision.
    _latest_sums: dict[tuple[int, str, int], tuple[UsageKey, UsageSum]] = field(default_factory=dict)
    is_stalled: bool = False  # the store fails: sums stay in memory, in periods of the maximum length

    def compute_period_ms(self) -> int:
        """Returns the length of a period that begins now."""
        if self.is_stalled:
            return max(self.period_ms, MAX_PERIOD_MS)
        doublings = min(MAX_DOUBLINGS, self.state.backlog // max(1, self.backlog_per_doubling))
        return max(self.period_ms, min(MAX_PERIOD_MS, self.period_ms << doublings))

    def charge(self, firm: int, plan: str, revision: int, units: float, since: float) -> None:
        """Counts use that began at `since`, in seconds of Unix time."""
        at_ms, amount, state = to_milliseconds(since), to_micro_units(units), self.state
        state.counted_micro_units += amount
        state.charge_count += 1
        found = self._latest_sums.get((firm, plan, revision))
        if found is None or not found[0].start_ms <= at_ms < found[0].end_ms:
            found = self._find_sum(at_ms, firm, plan, revision)
        key, total = found
        total.units += amount
        total.charge_count += 1
        self.changed_keys.add(key)

    def _find_sum(self, at_ms: int, firm: int, plan: str, revision: int) -> tuple[UsageKey, UsageSum]:
        """Returns the open sum that use at `at_ms` belongs to, and creates it if there is none."""
        length = self.compute_period_ms()
        end = (at_ms // length + 1) * length
        if at_ms < self.state.closed_until_ms:
            length = self.period_ms
            start = at_ms // length * length
            key = UsageKey("correction", start, start + length, firm, plan, revision)
        else:
            key = UsageKey("use", max(end - length, self.state.closed_until_ms), end, firm, plan, revision)
        found = key, self.open_sums.setdefault(key, UsageSum())
        if key.kind == "use":
            self._latest_sums[firm, plan, revision] = found
        return found

    def list_due_keys(self, now: float) -> list[UsageKey]:
        """Returns the keys of periods past their grace time; corrections are closed along with them."""
        until = to_milliseconds(now) - self.grace_ms
        ended = [key for key in self.open_sums if key.kind == "use" and key.end_ms <= until]
        corrections = [key for key in self.open_sums if key.kind == "correction"]
        if not ended and not (corrections and to_milliseconds(now) - self.state.closed_until_ms >= self.period_ms):
            return []
        return sorted(ended) + sorted(corrections)

    def close(self, now: float) -> list[Entry]:
        """Closes the due sums and returns their entries. The caller stores these along with all other changes."""
        closed_entries = []
        self._latest_sums.clear()
        for key in self.list_due_keys(now):
            total = self.open_sums.pop(key)
            self.changed_keys.add(key)
            state = self.state
            closed_entries.append(
                Entry(
                    state.next_seq,
                    f"{state.ingress}/{state.epoch}/{state.next_seq}",
                    key,
                    total.units,
                    total.charge_count,
                )
            )
            state.next_seq += 1
            if key.kind == "use":
                state.closed_until_ms = max(state.closed_until_ms, key.end_ms)
        return closed_entries

    def compute_next_close(self, now: float) -> float:
        """Returns the time, in seconds of Unix time, at which a period may be due next."""
        ends = [key.end_ms for key in self.open_sums if key.kind == "use"]
        after = min(ends, default=to_milliseconds(now) + self.period_ms) + self.grace_ms
        return max(now + 0.05, after / 1000)

    def sum_open_units(self) -> int:
        """Returns the micro-units of all open sums."""
        return sum(total.units for total in self.open_sums.values())


def check_ledger(
    state: LedgerState,
    sums: dict[UsageKey, UsageSum],
    entries: Iterator[Entry],
    totals: dict[tuple[int, str, int], int],
    acknowledged: list[tuple[int, int, bool]],
) -> Iterator[tuple[str, int]]:
    """Checks a whole ledger; yields (fault or empty string, entries checked so far).

    `totals` are the stored micro-units of entries by firm, plan and revision; `acknowledged` the ranges that billing
    has, each with whether it was a replay that an operator asked for.
    """
    totals_seen: dict[tuple[int, str, int], int] = {}
    ids: set[int] = set()
    expected, count, closed = state.first_seq, 0, 0
    for entry in entries:
        count += 1
        if entry.seq != expected:
            yield f"sequence: {entry.seq} where {expected} should be", count
        if entry.id.rpartition("/")[2] != str(entry.seq) or hash(entry.id) in ids:
            yield f"entry {entry.seq}: id {entry.id} does not belong to it or occurs twice", count
        ids.add(hash(entry.id))
        if entry.units < 0 or entry.charge_count <= 0:
            yield f"entry {entry.seq}: {entry.units} micro-units in {entry.charge_count} tries", count
        key = (entry.key.firm, entry.key.plan, entry.key.revision)
        totals_seen[key] = totals_seen.get(key, 0) + entry.units
        closed += entry.units
        expected = entry.seq + 1
        yield "", count
    if expected != state.next_seq:
        yield f"sequence: ends at {expected - 1}, and the next one is {state.next_seq}", count
    for key in sorted(totals_seen.keys() | totals.keys()):
        if totals_seen.get(key, 0) != totals.get(key, 0):
            yield (
                (
                    f"firm {key[0]:016x}, plan {key[1]}, revision {key[2]}: entries hold {totals_seen.get(key, 0)} "
                    f"micro-units, and their kept sum is {totals.get(key, 0)}"
                ),
                count,
            )
    open_total = sum(total.units for total in sums.values())
    if state.counted_micro_units != closed + state.dropped_micro_units + open_total:
        yield (
            (
                f"sum: counted {state.counted_micro_units} micro-units; entries {closed}, "
                f"no longer kept {state.dropped_micro_units}, open {open_total}"
            ),
            count,
        )
    if not 0 <= state.acked_seq < state.next_seq:
        yield f"acknowledged: {state.acked_seq}, and the next entry is {state.next_seq}", count
    until = 0
    for first, last, replay in acknowledged:
        if not replay and first <= until:
            yield f"entries {first} to {min(last, until)}: exported twice", count
        elif not replay and first != until + 1:
            yield f"entries {until + 1} to {first - 1}: never exported", count
        until = max(until, last)
