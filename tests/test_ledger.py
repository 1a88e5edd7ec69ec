"""The ledger: sums, period closing, corrections; a store that fails, crashes, is damaged or taken over; file export."""

from __future__ import annotations

import csv
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.core.exchange import Answer
from brackenpulley.ledger import files
from brackenpulley.ledger.service import LedgerService
from brackenpulley.ledger.store import LedgerError, Store, encode, encode_seq
from brackenpulley.ledger.tally import (
    MAX_PERIOD_MS,
    MICRO_UNITS_PER_UNIT,
    Entry,
    LedgerState,
    Tally,
    UsageKey,
    UsageSum,
    check_ledger,
)
from brackenpulley.ledger.upload import build_event
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.net.pool import Pool
from brackenpulley.operator import LedgerOptions
from brackenpulley.policy.interface import Charge

START_TIME = 1_700_000_000.0


def make_tally(**options: Any) -> Tally:
    return Tally(LedgerState("n0", "e"), 60_000, 10_000, 100, **options)


def test_use_is_summed_and_closed_after_the_grace_time_of_its_period() -> None:
    tally = make_tally()
    for n in range(3):
        tally.charge(1, "school", 0, 2.5, START_TIME + n)
    tally.charge(1, "school", 4, 1.0, START_TIME)
    end = (int(START_TIME) // 60 + 1) * 60
    assert not tally.close(end + 9.9)
    closed_entries = tally.close(end + 10.0)
    assert [(e.seq, e.id, e.units, e.charge_count, e.key.revision) for e in closed_entries] == [
        (1, "n0/e/1", 7_500_000, 3, 0),
        (2, "n0/e/2", 1_000_000, 1, 4),
    ]
    assert (
        tally.open_sums == {}
        and tally.state.counted_micro_units == 8_500_000
        and tally.state.closed_until_ms == end * 1000
    )


def test_use_reported_after_its_period_closed_becomes_a_correction() -> None:
    tally = make_tally()
    tally.charge(1, "school", 0, 1.0, START_TIME)
    tally.close(START_TIME + 100)
    tally.charge(1, "school", 0, 4.0, START_TIME)
    (entry,) = tally.close(START_TIME + 170)
    assert entry.key.kind == "correction" and entry.seq == 2 and entry.units == 4 * MICRO_UNITS_PER_UNIT
    assert entry.key.start_ms <= START_TIME * 1000 < entry.key.end_ms


@pytest.mark.parametrize("step", [-7200.0, 7200.0])
def test_a_clock_step_over_periods_loses_nothing_and_leaves_no_gap(step: float) -> None:
    """The clock of one process never steps, but it may have stepped when the next process starts."""
    tally = make_tally()
    tally.charge(1, "school", 0, 1.0, START_TIME)
    closed_entries = tally.close(START_TIME + 100)
    tally.charge(1, "school", 0, 1.0, START_TIME + 130 + step)
    for n in range(400):
        closed_entries += tally.close(START_TIME + 130 + step + n * 60)
    assert [e.seq for e in closed_entries] == [1, 2] and sum(
        e.units for e in closed_entries
    ) == tally.state.counted_micro_units


def test_without_billing_periods_grow_and_nothing_is_dropped() -> None:
    """Ten hours of use by 500 firms: the number of entries is bounded by summing over longer periods."""
    tally = make_tally()
    tally.backlog_per_doubling = 1000
    closed_entries: list[Entry] = []
    for minute in range(600):
        for firm in range(500):
            tally.charge(firm, "school", 0, 1.0, START_TIME + minute * 60)
        closed_entries += tally.close(START_TIME + minute * 60 + 59)
    assert tally.compute_period_ms() >= 8 * 60_000 and len(closed_entries) < 15_000
    assert (
        sum(e.units for e in closed_entries) + tally.sum_open_units()
        == tally.state.counted_micro_units
        == 300_000 * MICRO_UNITS_PER_UNIT
    )
    spans = sorted({(e.key.start_ms, e.key.end_ms) for e in closed_entries})
    assert all(first[1] <= second[0] for first, second in zip(spans, spans[1:], strict=False))


class LedgerProcess:
    """A ledger service on a loop whose clock the test moves. `crash` ends it as kill -9 would."""

    def __init__(self, directory: str, now: float) -> None:
        self.now, self.directory = now, directory
        self.loop = Loop(lambda: self.now, Metrics(), None)
        options = LedgerOptions(directory, 1.0, 0.5, 8 << 20, 1.0, False, 50, 1000, None)
        self.service = LedgerService(self.loop, Pool(), options, "n0", self.loop.metrics, NullLog())
        self.service.start()

    def charge(self, firm: int, units: float, since: float, answered: list[float]) -> None:
        self.service.charge(Charge(f"{firm}", firm, "p", 0, units, since))
        self.service.answer(lambda answer: answered.append(units), Answer("served", 200))

    def run_turn(self) -> None:
        self.loop.run_once(0)

    def crash(self, torn: bytes) -> None:
        store = self.service.store
        assert store.lock is not None and store._log is not None
        store._log[store._log_used_bytes : store._log_used_bytes + len(torn)] = torn  # a record that was being written
        store._log.close()
        store.env.close()
        store.lock.close()
        self.loop.close()


class NullLog:
    def info(self, event: str, **options: Any) -> None:
        pass

    error = exception = info


KINDS = ["charge", "charge", "late", "turn", "turn", "pass", "ack", "crash", "torn"]
STEPS = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(1, 3), st.integers(1, 9)), max_size=60)


@given(STEPS)
@settings(derandomize=True, deadline=None, max_examples=40)
def test_counted_is_entries_and_open_and_no_answered_use_is_lost_through_crashes(steps: list[Any]) -> None:
    with tempfile.TemporaryDirectory() as directory:
        process, answered, counted_after_turn = LedgerProcess(directory, START_TIME), list[float](), 0
        for kind, firm, amount in steps:
            process.now += 0.05
            if kind in ("charge", "late"):
                process.charge(firm, float(amount), process.now - 5.0 * (kind == "late"), answered)
            elif kind == "turn":
                process.run_turn()
                counted_after_turn = process.service.tally.state.counted_micro_units
                assert sum(answered) * MICRO_UNITS_PER_UNIT == counted_after_turn
            elif kind == "ack":
                state = process.service.tally.state
                stored = process.service.store.read_state().next_seq - 1
                if state.acked_seq < stored:
                    first, state.acked_seq = state.acked_seq + 1, stored
                    process.service.store.acknowledge(state, first, stored, False)
            elif kind == "pass":
                process.now += 0.4 * amount
                process.run_turn()
                counted_after_turn = process.service.tally.state.counted_micro_units
            else:
                process.crash(b"\x30\0\0\0torn" if kind == "torn" else b"")
                process = LedgerProcess(directory, process.now)
                assert (
                    process.service.tally.state.counted_micro_units
                    == counted_after_turn
                    == sum(answered) * MICRO_UNITS_PER_UNIT
                )
            assert find_faults(process.service.store) == []
        process.run_turn()
        process.service.stop()
        store = Store(directory)
        assert (
            store.read_state().counted_micro_units == sum(answered) * MICRO_UNITS_PER_UNIT and find_faults(store) == []
        )
        store.close()
        process.loop.close()


def test_a_turn_missing_from_the_log_does_not_make_the_next_one_count_twice(tmp_path: Path) -> None:
    """Guards against double counting when a turn too large for the log is followed by a smaller one that fits.

    The process then crashes twice.
    """
    store = Store(str(tmp_path), "n0", 8 << 20)
    state, _, _, _ = store.recover()
    store.checkpoint(state, {}, [], [])
    for turn in (1, 3):
        store.append(turn, [("i", 1, "p", 0, 1.0, START_TIME)])
    store.close()
    for _ in range(2):
        process = LedgerProcess(str(tmp_path), START_TIME + 1)
        assert process.service.tally.state.counted_micro_units == 2 * MICRO_UNITS_PER_UNIT
        process.crash(b"")


def checkpoint(store: Store, tally: Tally, closed_entries: list[Entry]) -> None:
    store.checkpoint(tally.state, {key: tally.open_sums.get(key) for key in tally.changed_keys}, closed_entries, [])
    tally.changed_keys.clear()


def fill_store(directory: Path, periods: int = 4, firms: int = 3) -> tuple[Store, Tally]:
    store = Store(str(directory), "n0", 32 << 20)
    state, sums, _, _ = store.recover()
    tally = Tally(state, 60_000, 0, 10_000, sums)
    for period in range(periods):
        for firm in range(firms):
            tally.charge(firm, "school", 0, 1.5, START_TIME + period * 60)
        closed_entries = tally.close(START_TIME + period * 60 + 60)
        checkpoint(store, tally, closed_entries)
    return store, tally


READ_UNTIL_KILLED = """
import sys
from brackenpulley.ledger.store import Store
store = Store(sys.argv[1])
with store.env.begin() as transaction:
    transaction.get(b"heads", db=store._meta_db)
    print("reading", flush=True)
    sys.stdin.read()
"""


def test_a_reader_that_was_killed_does_not_make_the_store_grow(tmp_path: Path) -> None:
    """Guards against review case 9: the snapshot of an export that was killed kept every page that was freed since."""
    store, tally = fill_store(tmp_path, firms=200)
    command = [sys.executable, "-c", READ_UNTIL_KILLED, str(tmp_path)]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as reader:
        assert reader.stdout is not None and reader.stdout.readline() == b"reading\n"
        reader.send_signal(signal.SIGKILL)
    for turn in range(20):
        for firm in range(200):
            tally.charge(firm, "school", 0, 1.0, START_TIME + 300)
        checkpoint(store, tally, [])
        if turn == 4:
            settled_bytes = store.used_bytes()
    assert store.used_bytes() <= settled_bytes
    store.close()


def test_a_reader_that_pauses_between_entries_holds_no_snapshot(tmp_path: Path) -> None:
    """Guards against the same by an export that is slow or stopped."""
    store, tally = fill_store(tmp_path, periods=8, firms=200)
    entries = store.read_entries(1)
    seen = [next(entries).seq]
    for turn in range(20):
        for firm in range(200):
            tally.charge(firm, "school", 0, 1.0, START_TIME + 600)
        checkpoint(store, tally, [])
        if turn == 4:
            settled_bytes = store.used_bytes()
    assert store.used_bytes() <= settled_bytes
    seen += [entry.seq for entry in entries]
    assert seen == list(range(1, 1601)) and [e.seq for e in store.read_entries(700, 601)] == list(range(700, 1301))
    store.close()


def test_an_export_tells_of_entries_that_are_deleted_while_it_runs(tmp_path: Path) -> None:
    store, tally = fill_store(tmp_path / "store", periods=8, firms=200)
    path = str(tmp_path / "use.jsonl")
    running = files.export(store, path, "jsonl")
    assert next(running) == 500
    tally.state.acked_seq = 900
    store.drop(tally.state, 900)
    with pytest.raises(LedgerError, match="entries 501 to 900 were deleted"):
        list(running)
    store.close()


def find_faults(store: Store) -> list[str]:
    return [fault for fault, _ in store.verify() if fault]


@pytest.mark.parametrize(
    ("damage", "message"),
    [
        ("gap", "sequence: 6 where 5 should be"),
        ("units", "entries hold"),
        ("id", "does not belong to it"),
        ("open", "sum: counted"),
        ("ack twice", "entries 3 to 4: exported twice"),
        ("ack gap", "entries 5 to 6: never"),
    ],
)
def test_verify_names_the_first_fault(tmp_path: Path, damage: str, message: str) -> None:
    store, tally = fill_store(tmp_path)
    store.acknowledge(tally.state, 1, 4, False)
    assert find_faults(store) == []
    fifth = next(store.read_entries(5, 1))
    with store.env.begin(write=True) as txn:
        if damage == "gap":
            txn.delete(encode_seq(5), db=store._entries_db)
        elif damage == "units":
            txn.put(encode_seq(5), encode(Entry(5, fifth.id, fifth.key, fifth.units + 1, 1)), db=store._entries_db)
        elif damage == "id":
            txn.put(encode_seq(5), encode(Entry(5, "n0/x/4", fifth.key, fifth.units, 1)), db=store._entries_db)
        elif damage == "open":
            txn.put(encode(UsageKey("use", 0, 1, 9, "p", 0)), encode(UsageSum(5, 1)), db=store._open_db)
        elif damage == "ack twice":
            txn.put(encode_seq(9), encode([3, 8, False]), db=store._acks_db)
        else:
            txn.put(encode_seq(9), encode([7, 8, False]), db=store._acks_db)
    assert message in find_faults(store)[0]
    store.close()
    completed = subprocess.run(
        [sys.executable, "-m", "brackenpulley", "ledger", "verify", "--path", str(tmp_path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 1 and message in completed.stderr


def test_a_replay_is_no_duplicate_export_and_keeps_its_ids(tmp_path: Path) -> None:
    store, tally = fill_store(tmp_path)
    before = [build_event(e) for e in store.read_entries()]
    store.acknowledge(tally.state, 1, 12, False)
    tally.state.acked_seq = 12
    with pytest.raises(LedgerError, match="from: 13 is not among"):
        store.replay(tally.state, 13)
    store.replay(tally.state, 5)
    assert (tally.state.acked_seq, tally.state.replay_until_seq) == (4, 12) and [
        build_event(e) for e in store.read_entries()
    ] == before
    tally.state.acked_seq = 12
    store.acknowledge(tally.state, 5, 12, True)
    assert find_faults(store) == []
    assert store.drop(tally.state, 6) == 6 and tally.state.first_seq == 7 and find_faults(store) == []
    store.close()


def test_a_taken_over_ledger_keeps_its_entry_ids_and_begins_an_epoch(tmp_path: Path) -> None:
    store, tally = fill_store(tmp_path, 1)
    before = [e.id for e in store.read_entries()]
    store.close()
    store = Store(str(tmp_path), "n7", 32 << 20)
    state, sums, _, message = store.recover()
    assert message == "taken over from ingress n0" and state.next_seq == 4 and sums == {}
    assert state.epoch not in before[0] and [e.id for e in store.read_entries()] == before and find_faults(store) == []
    with pytest.raises(LedgerError, match=f"held by ingress n7, process {os.getpid()}"):
        Store(str(tmp_path), "n8")
    store.close()


def test_a_full_store_rejects_writes_and_loses_nothing(tmp_path: Path) -> None:
    store = Store(str(tmp_path), "n0", 1 << 17)
    state, sums, _, _ = store.recover()
    tally = Tally(state, 60_000, 0, 10_000, sums)
    stored = 0
    with pytest.raises(LedgerError, match="MDB_MAP_FULL"):
        for n in range(10_000):
            tally.charge(n, "school", 0, 1.0, START_TIME)
            checkpoint(store, tally, [])
            stored = tally.state.counted_micro_units
    assert store.read_state().counted_micro_units == stored and find_faults(store) == []
    store.env.set_mapsize(1 << 24)  # there is space again: the sums in memory are stored
    checkpoint(store, tally, [])
    assert store.read_state().counted_micro_units == tally.state.counted_micro_units and find_faults(store) == []
    store.close()


WRITER = """
import sys
from brackenpulley.ledger.store import Store
from brackenpulley.ledger.tally import Tally
store = Store(sys.argv[1], "n0", 64 << 20, 1.0)
state, sums, turns, _ = store.recover()
tally = Tally(state, 20, 0, 10_000, sums)
for uses in turns:
    state.turn += 1
    for _, *use in uses:
        tally.charge(*use)
n = state.charge_count
while True:
    use = (str(n), n % 7, "p", 0, 1.0, 1.7e9 + n / 1000)
    tally.charge(*use[1:])
    n += 1
    state.turn += 1
    store.append(state.turn, [use])
    if n % 50 == 0:
        closed_entries = tally.close(1.7e9 + n / 1000)
        store.checkpoint(state, {key: tally.open_sums.get(key) for key in tally.changed_keys}, closed_entries, [use[0]])
        tally.changed_keys.clear()
    print(n, flush=True)
"""


def test_kill_9_loses_no_use_whose_answer_was_sent(tmp_path: Path) -> None:
    """A real process prints a line after each commit; the line stands for the answer."""
    for _ in range(4):
        with subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path)], stdout=subprocess.PIPE, text=True
        ) as writer:
            assert writer.stdout is not None
            lines = [writer.stdout.readline() for _ in range(180)]
            writer.send_signal(signal.SIGKILL)
            lines += writer.stdout.read().splitlines()
        store = Store(str(tmp_path))
        state, answered = store.read_state(), int(lines[-1])
        kept = state.charge_count + sum(len(uses) for uses in store.read_turns(state.turn))
        assert kept - answered in (0, 1) and store.read_last_turn_ids() == [str(kept - 1)] and find_faults(store) == []
        store.close()


@pytest.mark.parametrize("cut", [1, 7, 9, 30])
def test_a_truncated_record_ends_the_log_and_older_records_after_it_do_not_count(tmp_path: Path, cut: int) -> None:
    store = Store(str(tmp_path), "n0", 8 << 20)
    state, _, _, _ = store.recover()
    for turn in range(1, 6):
        store.append(turn, [("i" * 16, 1, "p", 0, float(turn), START_TIME)])
    size = store._log_used_bytes // 5
    state.turn = 5
    store.checkpoint(state, {}, [], [])
    for turn in (6, 7):
        store.append(turn, [("i" * 16, 1, "p", 0, float(turn), START_TIME)])
    assert [uses[0][4] for uses in store.read_turns(5)] == [6.0, 7.0]  # turns 3, 4 and 5 still follow them in the file
    assert store._log is not None
    store._log[size + cut : 2 * size] = b"\xff" * (size - cut)
    assert [uses[0][4] for uses in store.read_turns(5)] == [6.0]
    store.close()


@pytest.mark.parametrize("kind", ["jsonl", "csv"])
def test_an_interrupted_export_is_resumed(tmp_path: Path, kind: str) -> None:
    store, tally = fill_store(tmp_path / "l", 200)
    complete_path, interrupted_path = str(tmp_path / "whole"), str(tmp_path / "cut")
    assert list(files.export(store, complete_path, kind))[-1] == 600
    data = Path(complete_path).read_bytes()
    for size in (len(data) // 3, len(data) // 2 + 7, len(data) - 1, 40 if kind == "csv" else 0):
        Path(interrupted_path).write_bytes(data[:size])
        list(files.export(store, interrupted_path, kind))
        assert Path(interrupted_path).read_bytes() == data
    assert list(files.export(store, interrupted_path, kind)) == [0]
    if kind == "jsonl":
        assert [json.loads(line)["data"]["seq"] for line in data.splitlines()] == list(range(1, 601))
    else:
        rows = list(csv.DictReader(data.decode().splitlines()))
        assert sum(float(row["units"]) for row in rows) == tally.state.counted_micro_units / MICRO_UNITS_PER_UNIT
    Path(interrupted_path).write_bytes(b"something else\n")
    with pytest.raises(LedgerError, match=f"is no {kind} export"):
        list(files.export(store, interrupted_path, kind))
    store.close()


def test_verification_reads_each_entry_once() -> None:
    """Guards against a check whose cost grows faster than the number of entries: each entry is read once."""
    seen = 0

    def rows(count: int) -> Any:
        nonlocal seen
        for n in range(1, count + 1):
            seen += 1
            yield Entry(n, f"n0/e/{n}", UsageKey("use", 0, 1, 5, "p", 0), 1, 1)

    state = LedgerState("n0", "e", 20_001, 0, 0, 1, 20_000, 20_000)
    started_at = time.process_time()
    assert [fault for fault, _ in check_ledger(state, {}, rows(20_000), {(5, "p", 0): 20_000}, []) if fault] == []
    assert seen == 20_000 and time.process_time() - started_at < 20 and MAX_PERIOD_MS == 3_600_000
