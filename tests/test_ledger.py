"""Counted use: sums, closing, corrections; a store that fails, is killed, damaged, taken over; export to files."""

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

T0 = 1_700_000_000.0


def tally(**more: Any) -> Tally:
    return Tally(LedgerState("n0", "e"), 60_000, 10_000, 100, **more)


def test_use_is_added_up_and_closed_once_its_period_has_been_over_for_the_grace() -> None:
    t = tally()
    for n in range(3):
        t.charge(1, "school", 0, 2.5, T0 + n)
    t.charge(1, "school", 4, 1.0, T0)
    end = (int(T0) // 60 + 1) * 60
    assert not t.close(end + 9.9)
    made = t.close(end + 10.0)
    assert [(e.seq, e.id, e.units, e.charge_count, e.key.revision) for e in made] == [
        (1, "n0/e/1", 7_500_000, 3, 0),
        (2, "n0/e/2", 1_000_000, 1, 4),
    ]
    assert t.open_sums == {} and t.state.counted_micro_units == 8_500_000 and t.state.closed_until_ms == end * 1000


def test_use_told_after_its_period_closed_is_a_correction_and_no_edit() -> None:
    t = tally()
    t.charge(1, "school", 0, 1.0, T0)
    t.close(T0 + 100)
    t.charge(1, "school", 0, 4.0, T0)
    (entry,) = t.close(T0 + 170)
    assert entry.key.kind == "correction" and entry.seq == 2 and entry.units == 4 * MICRO_UNITS_PER_UNIT
    assert entry.key.start_ms <= T0 * 1000 < entry.key.end_ms


@pytest.mark.parametrize("step", [-7200.0, 7200.0])
def test_a_date_that_steps_over_periods_loses_nothing_and_leaves_no_gap(step: float) -> None:
    """The clock of a process never steps; that of its next life may."""
    t = tally()
    t.charge(1, "school", 0, 1.0, T0)
    made = t.close(T0 + 100)
    t.charge(1, "school", 0, 1.0, T0 + 130 + step)
    for n in range(400):
        made += t.close(T0 + 130 + step + n * 60)
    assert [e.seq for e in made] == [1, 2] and sum(e.units for e in made) == t.state.counted_micro_units


def test_without_billing_periods_grow_and_nothing_is_dropped() -> None:
    """An hour at 500 firms: bounded by adding up."""
    t = tally()
    t.backlog_per_doubling = 1000
    made: list[Entry] = []
    for minute in range(600):
        for firm in range(500):
            t.charge(firm, "school", 0, 1.0, T0 + minute * 60)
        made += t.close(T0 + minute * 60 + 59)
    assert t.compute_period_ms() >= 8 * 60_000 and len(made) < 15_000
    assert (
        sum(e.units for e in made) + t.sum_open_units() == t.state.counted_micro_units == 300_000 * MICRO_UNITS_PER_UNIT
    )
    spans = sorted({(e.key.start_ms, e.key.end_ms) for e in made})
    assert all(first[1] <= second[0] for first, second in zip(spans, spans[1:], strict=False))


class Life:
    """The ledger's service on a loop whose clock the test moves; `crash` ends it as kill -9 would."""

    def __init__(self, folder: str, now: float) -> None:
        self.now, self.folder = now, folder
        self.loop = Loop(lambda: self.now, Metrics(), None)
        part = LedgerOptions(folder, 1.0, 0.5, 8 << 20, 1.0, False, 50, 1000, None)
        self.service = LedgerService(self.loop, Pool(), part, "n0", self.loop.metrics, Silent())
        self.service.start()

    def charge(self, firm: int, units: float, since: float, answered: list[float]) -> None:
        self.service.charge(Charge(f"{firm}", firm, "p", 0, units, since))
        self.service.answer(lambda answer: answered.append(units), Answer("served", 200))

    def turn(self) -> None:
        self.loop.run_once(0)

    def crash(self, torn: bytes) -> None:
        store = self.service.store
        assert store.lock is not None and store._log is not None
        store._log[store._log_used_bytes : store._log_used_bytes + len(torn)] = (
            torn  # a record that the process was writing when it died
        )
        store._log.close()
        store.env.close()
        store.lock.close()
        self.loop.close()


class Silent:
    def info(self, event: str, **more: Any) -> None:
        pass

    error = exception = info


KINDS = ["charge", "charge", "late", "turn", "turn", "pass", "ack", "crash", "torn"]
STEPS = st.lists(st.tuples(st.sampled_from(KINDS), st.integers(1, 3), st.integers(1, 9)), max_size=60)


@given(STEPS)
@settings(derandomize=True, deadline=None, max_examples=40)
def test_counted_is_entries_and_open_and_no_answered_use_is_lost_through_crashes(steps: list[Any]) -> None:
    with tempfile.TemporaryDirectory() as folder:
        life, answered, turned = Life(folder, T0), list[float](), 0
        for kind, firm, amount in steps:
            life.now += 0.05
            if kind in ("charge", "late"):
                life.charge(firm, float(amount), life.now - 5.0 * (kind == "late"), answered)
            elif kind == "turn":
                life.turn()
                turned = life.service.tally.state.counted_micro_units
                assert sum(answered) * MICRO_UNITS_PER_UNIT == turned
            elif kind == "ack":
                state = life.service.tally.state
                stored = life.service.store.read_state().next_seq - 1
                if state.acked_seq < stored:
                    first, state.acked_seq = state.acked_seq + 1, stored
                    life.service.store.acknowledge(state, first, stored, False)
            elif kind == "pass":
                life.now += 0.4 * amount
                life.turn()
                turned = life.service.tally.state.counted_micro_units
            else:
                life.crash(b"\x30\0\0\0torn" if kind == "torn" else b"")
                life = Life(folder, life.now)
                assert life.service.tally.state.counted_micro_units == turned == sum(answered) * MICRO_UNITS_PER_UNIT
            assert faults(life.service.store) == []
        life.turn()
        life.service.stop()
        store = Store(folder)
        assert store.read_state().counted_micro_units == sum(answered) * MICRO_UNITS_PER_UNIT and faults(store) == []
        store.close()
        life.loop.close()


def test_a_turn_that_is_missing_from_the_log_does_not_make_the_one_behind_it_count_twice(tmp_path: Path) -> None:
    """A large turn found no room and a small one behind it did; then the process died twice."""
    store = Store(str(tmp_path), "n0", 8 << 20)
    state, _, _, _ = store.recover()
    store.checkpoint(state, {}, [], [])
    for turn in (1, 3):
        store.append(turn, [("i", 1, "p", 0, 1.0, T0)])
    store.close()
    for _ in range(2):
        life = Life(str(tmp_path), T0 + 1)
        assert life.service.tally.state.counted_micro_units == 2 * MICRO_UNITS_PER_UNIT
        life.crash(b"")


def fold(store: Store, t: Tally, made: list[Entry]) -> None:
    store.checkpoint(t.state, {key: t.open_sums.get(key) for key in t.changed_keys}, made, [])
    t.changed_keys.clear()


def filled(folder: Path, periods: int = 4, firms: int = 3) -> tuple[Store, Tally]:
    store = Store(str(folder), "n0", 32 << 20)
    state, sums, _, _ = store.recover()
    t = Tally(state, 60_000, 0, 10_000, sums)
    for period in range(periods):
        for firm in range(firms):
            t.charge(firm, "school", 0, 1.5, T0 + period * 60)
        made = t.close(T0 + period * 60 + 60)
        fold(store, t, made)
    return store, t


def faults(store: Store) -> list[str]:
    return [fault for fault, _ in store.verify() if fault]


@pytest.mark.parametrize(
    ("damage", "said"),
    [
        ("gap", "sequence: 6 where 5 should be"),
        ("units", "entries hold"),
        ("id", "does not belong to it"),
        ("open", "sum: counted"),
        ("ack twice", "entries 3 to 4: exported twice"),
        ("ack gap", "entries 5 to 6: never"),
    ],
)
def test_verify_names_the_first_fault(tmp_path: Path, damage: str, said: str) -> None:
    store, t = filled(tmp_path)
    store.acknowledge(t.state, 1, 4, False)
    assert faults(store) == []
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
    assert said in faults(store)[0]
    store.close()
    run = subprocess.run(
        [sys.executable, "-m", "brackenpulley", "ledger", "verify", "--path", str(tmp_path)],
        capture_output=True,
        text=True,
        check=False,
    )
    assert run.returncode == 1 and said in run.stderr


def test_a_replay_is_not_taken_for_a_second_export_and_keeps_its_ids(tmp_path: Path) -> None:
    store, t = filled(tmp_path)
    before = [build_event(e) for e in store.read_entries()]
    store.acknowledge(t.state, 1, 12, False)
    t.state.acked_seq = 12
    with pytest.raises(LedgerError, match="from: 13 is not among"):
        store.replay(t.state, 13)
    store.replay(t.state, 5)
    assert (t.state.acked_seq, t.state.replay_until_seq) == (4, 12) and [
        build_event(e) for e in store.read_entries()
    ] == before
    t.state.acked_seq = 12
    store.acknowledge(t.state, 5, 12, True)
    assert faults(store) == []
    assert store.drop(t.state, 6) == 6 and t.state.first_seq == 7 and faults(store) == []
    store.close()


def test_a_taken_over_ledger_keeps_the_ids_of_its_entries_and_begins_an_epoch(tmp_path: Path) -> None:
    store, t = filled(tmp_path, 1)
    before = [e.id for e in store.read_entries()]
    store.close()
    store = Store(str(tmp_path), "n7", 32 << 20)
    state, sums, _, said = store.recover()
    assert said == "taken over from ingress n0" and state.next_seq == 4 and sums == {}
    assert state.epoch not in before[0] and [e.id for e in store.read_entries()] == before and faults(store) == []
    with pytest.raises(LedgerError, match=f"held by ingress n7, process {os.getpid()}"):
        Store(str(tmp_path), "n8")
    store.close()


def test_a_full_store_takes_nothing_and_loses_nothing(tmp_path: Path) -> None:
    store = Store(str(tmp_path), "n0", 1 << 17)
    state, sums, _, _ = store.recover()
    t = Tally(state, 60_000, 0, 10_000, sums)
    stored = 0
    with pytest.raises(LedgerError, match="MDB_MAP_FULL"):
        for n in range(10_000):
            t.charge(n, "school", 0, 1.0, T0)
            fold(store, t, [])
            stored = t.state.counted_micro_units
    assert store.read_state().counted_micro_units == stored and faults(store) == []
    store.env.set_mapsize(1 << 24)  # room again: what was kept in memory goes in
    fold(store, t, [])
    assert store.read_state().counted_micro_units == t.state.counted_micro_units and faults(store) == []
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


def test_kill_9_loses_no_use_whose_answer_left(tmp_path: Path) -> None:
    """The line that a real process prints after each commit stands for the answer."""
    for _ in range(4):
        with subprocess.Popen([sys.executable, "-c", WRITER, str(tmp_path)], stdout=subprocess.PIPE, text=True) as run:
            assert run.stdout is not None
            lines = [run.stdout.readline() for _ in range(180)]
            run.send_signal(signal.SIGKILL)
            lines += run.stdout.read().splitlines()
        store = Store(str(tmp_path))
        state, answered = store.read_state(), int(lines[-1])
        kept = state.charge_count + sum(len(uses) for uses in store.read_turns(state.turn))
        assert kept - answered in (0, 1) and store.read_last_turn_ids() == [str(kept - 1)] and faults(store) == []
        store.close()


@pytest.mark.parametrize("cut", [1, 7, 9, 30])
def test_a_record_that_was_cut_off_ends_the_log_and_old_ones_behind_it_do_not_count(tmp_path: Path, cut: int) -> None:
    store = Store(str(tmp_path), "n0", 8 << 20)
    state, _, _, _ = store.recover()
    for turn in range(1, 6):
        store.append(turn, [("i" * 16, 1, "p", 0, float(turn), T0)])
    size = store._log_used_bytes // 5
    state.turn = 5
    store.checkpoint(state, {}, [], [])
    for turn in (6, 7):
        store.append(turn, [("i" * 16, 1, "p", 0, float(turn), T0)])
    assert [uses[0][4] for uses in store.read_turns(5)] == [6.0, 7.0]  # 3, 4 and 5 still stand behind them
    assert store._log is not None
    store._log[size + cut : 2 * size] = b"\xff" * (size - cut)
    assert [uses[0][4] for uses in store.read_turns(5)] == [6.0]
    store.close()


@pytest.mark.parametrize("kind", ["jsonl", "csv"])
def test_an_interrupted_export_is_gone_on_with(tmp_path: Path, kind: str) -> None:
    store, t = filled(tmp_path / "l", 200)
    whole, cut = str(tmp_path / "whole"), str(tmp_path / "cut")
    assert list(files.export(store, whole, kind))[-1] == 600
    data = Path(whole).read_bytes()
    for size in (len(data) // 3, len(data) // 2 + 7, len(data) - 1, 40 if kind == "csv" else 0):
        Path(cut).write_bytes(data[:size])
        list(files.export(store, cut, kind))
        assert Path(cut).read_bytes() == data
    assert list(files.export(store, cut, kind)) == [0]
    if kind == "jsonl":
        assert [json.loads(line)["data"]["seq"] for line in data.splitlines()] == list(range(1, 601))
    else:
        rows = list(csv.DictReader(data.decode().splitlines()))
        assert sum(float(row["units"]) for row in rows) == t.state.counted_micro_units / MICRO_UNITS_PER_UNIT
    Path(cut).write_bytes(b"something else\n")
    with pytest.raises(LedgerError, match=f"is no {kind} export"):
        list(files.export(store, cut, kind))
    store.close()


def test_a_million_entries_worth_of_checking_grows_in_proportion() -> None:
    """Counted, not timed: each entry is looked at once."""
    seen = 0

    def rows(count: int) -> Any:
        nonlocal seen
        for n in range(1, count + 1):
            seen += 1
            yield Entry(n, f"n0/e/{n}", UsageKey("use", 0, 1, 5, "p", 0), 1, 1)

    state = LedgerState("n0", "e", 20_001, 0, 0, 1, 20_000, 20_000)
    began = time.process_time()
    assert [fault for fault, _ in check_ledger(state, {}, rows(20_000), {(5, "p", 0): 20_000}, []) if fault] == []
    assert seen == 20_000 and time.process_time() - began < 20 and MAX_PERIOD_MS == 3_600_000
