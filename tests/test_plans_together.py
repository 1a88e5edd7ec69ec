"""Plans, reservations and ledger together: an ingress without sockets in virtual time, and a daemon that is killed."""

from __future__ import annotations

import random
import tempfile
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.daemon_process import find_free_ports
from benchmarks.ledger_cost import Process
from brackenpulley.core.answer_progress import AnswerProgress
from brackenpulley.core.exchange import RelayResult
from brackenpulley.core.ingress import Ingress
from brackenpulley.core.message import Message
from brackenpulley.ledger.service import LedgerService
from brackenpulley.ledger.store import Store
from brackenpulley.ledger.tally import MICRO_UNITS_PER_UNIT
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.net.pool import Pool
from brackenpulley.operator import LedgerOptions, ReservationsOptions
from brackenpulley.plans.book import Change, Figures, format_firm
from brackenpulley.plans.reservations import ReservationError
from brackenpulley.plans.service import PlanService, ReservationService
from brackenpulley.policy.brain import DecisionModule
from brackenpulley.policy.interface import PlanSpec, ServerEntry, ServerList
from brackenpulley.standins.billing import Billing
from brackenpulley.standins.servers import Counter, Discovery, SimServer

from . import util
from .rig import rig
from .test_authz import make_check, open_stub, wait_for_result
from .test_control import call, operator_options
from .test_ledger import START_TIME, NullLog, fill_store, find_faults

PLANS = [PlanSpec("school", rate=3.0, burst=8.0), PlanSpec("county", rate=7.0, burst=32.0)]


class ControlledRelay:
    def __init__(self, south: ControlledSouth, message: Message, done: Any) -> None:
        self.south, self.message, self.done = south, message, done

    def drop(self) -> bool:
        """Abandon the relay after it was written whole, so that the server may have run it."""
        self.south.in_flight.remove(self)
        self.south.reached.add(self.message.id)
        return True

    def recall(self) -> bool:
        return False

    def stream_now(self) -> bool:
        return False

    def answer_progress(self) -> AnswerProgress:
        return AnswerProgress()


class ControlledSouth:
    """South side whose relays end as the test decides; computes the units that must be charged."""

    def __init__(self) -> None:
        self.in_flight: list[ControlledRelay] = []
        self.reached: set[str] = set()
        self.costs: dict[str, float] = {}
        self.pending: dict[str, Message] = {}

    def start(self, message: Message, server: str, left: float, done: Any, began: Any, head: Any) -> ControlledRelay:
        self.in_flight.append(ControlledRelay(self, message, done))
        return self.in_flight[-1]

    def end(self, relay: ControlledRelay, status: str, cost: float) -> None:
        self.in_flight.remove(relay)
        if status != "connect_failed":
            self.reached.add(relay.message.id)
        if status == "ok":
            self.costs[relay.message.id] = cost
        relay.done(RelayResult(status, cost=cost if status == "ok" else 0.0))

    def settle_finished(self, exchanges: Any) -> float:
        """Return the units of messages finished since: the true cost, or the estimate if a server received it."""
        left = [ident for ident in self.pending if ident not in exchanges]
        units = 0.0
        for message in [self.pending.pop(ident) for ident in left]:
            units += self.costs.get(message.id, message.units if message.id in self.reached else 0.0)
        return units


class Core:
    """Ingress, decision module, plan book, reservations and ledger of one process; the test sets the clock."""

    def __init__(self, folder: str, now: float) -> None:
        self.now = now
        self.loop = Loop(lambda: self.now, Metrics(), NullLog())
        decision_module = DecisionModule(
            util.settings(plans=PLANS, counter=False, settles=True, charges=True, most_units=8), 7, now
        )
        self.ingress = Ingress(decision_module, lambda: self.now, self.loop, None, self.loop.metrics, NullLog())  # type: ignore
        options = LedgerOptions(f"{folder}/ledger", 2.0, 0.5, 16 << 20, 1.0, False, 100, 10_000, None)
        self.ledger = self.ingress.ledger = LedgerService(
            self.loop, Pool(), options, "n0", self.loop.metrics, NullLog()
        )
        self.plans = PlanService(self.loop, self.ingress, PLANS, f"{folder}/plans", self.loop.metrics, NullLog())
        self.ingress.plans = self.plans
        self.reservation_service = self.ingress.reservations = ReservationService(
            self.loop, self.ingress, ReservationsOptions(100, 60.0, 3.0, True), self.loop.metrics
        )
        self.ledger.start()
        self.plans.start()
        self.ingress.update_servers(ServerList("full", [ServerEntry(f"s{n}") for n in range(4)]))
        self.south = ControlledSouth()

    def crash(self) -> None:
        store = self.ledger.store
        assert store.lock is not None and store._log is not None
        store._log.close()
        store.env.close()
        store.lock.close()
        self.loop.close()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["ask", "ask", "end", "end", "move", "figures", "reserve", "commit", "release", "pay", "pass", "crash"]
        ),
        st.integers(1, 3),
        st.integers(1, 8),
    ),
    min_size=40,
    max_size=120,
)


@given(STEPS)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_charged_units_match_the_ledger_across_crashes(steps: list[tuple[str, int, int]]) -> None:
    """Guards against lost or double charges across crashes.

    The expected total is the true cost of served messages and the estimate of those that a server received.
    """
    with tempfile.TemporaryDirectory() as folder:
        core, expected_units, serial, rng = Core(folder, START_TIME), 0.0, 0, random.Random(len(steps))
        for kind, firm, number in steps:
            core.now += 0.02
            serial += 1
            known = core.reservation_service.table.list_held()
            name = rng.choice(known).id if known and kind != "reserve" and rng.random() < 0.8 else f"r{serial % 50}"
            if kind == "pay" and (held := core.reservation_service.table.find(name)) is not None:
                firm = held.firm
            if kind in ("ask", "pay"):
                message = Message(
                    f"m{serial}",
                    "check",
                    "school",
                    firm,
                    4.0,
                    float(number),
                    3,
                    0,
                    False,
                    None,
                    name if kind == "pay" else "",
                    requested_plan="school",
                )
                core.south.pending[message.id] = message
                core.ingress.accept(message, lambda answer: None, core.south)
            elif kind == "end" and core.south.in_flight:
                status = ("ok", "ok", "error", "connect_failed")[number % 4]
                core.south.end(rng.choice(core.south.in_flight), status, float(1 + number % 5))
            elif kind == "move":
                core.plans.change(
                    Change(
                        core.plans.book.revision + 1,
                        "move",
                        at=core.now,
                        firm=format_firm(firm),
                        since=core.now + number / 10 - 0.3,
                        plan=("school", "county")[number % 2],
                    )
                )
            elif kind == "figures":
                core.plans.change(
                    Change(
                        core.plans.book.revision + 1,
                        "set",
                        at=core.now,
                        since=core.now + firm / 10,
                        plan="school",
                        figures=Figures(rate=float(number), burst=8.0),
                    )
                )
            elif kind in ("reserve", "commit", "release"):
                expected_units += call_reservation(core, kind, name, firm, float(number))
            elif kind == "pass":
                core.now += number / 2
            elif kind == "crash":
                core.loop.run_once(0)
                expected_units += core.south.settle_finished(core.ingress.exchanges)
                core.crash()
                core = Core(folder, core.now)
            core.loop.run_once(0)
            expected_units += core.south.settle_finished(core.ingress.exchanges)
            heads, store = core.ledger.tally.state, core.ledger.store
            closed = sum(entry.units for entry in store.read_entries())
            assert heads.counted_micro_units == expected_units * MICRO_UNITS_PER_UNIT
            assert (
                heads.counted_micro_units
                == closed + sum(e.units for e in core.ledger.unstored_entries) + core.ledger.tally.sum_open_units()
            )
            assert find_faults(store) == [] and core.loop.metrics.counts["faults"] == 0
        core.ledger.stop()
        core.loop.close()


def call_reservation(core: Core, kind: str, ident: str, firm: int, units: float) -> float:
    """Make a call on a reservation and return the units that it must charge."""
    existing = core.reservation_service.table.find(ident)
    try:
        if kind == "reserve":
            core.reservation_service.reserve(ident, firm, "school", units, 1.0 + firm)
        elif kind == "release":
            core.reservation_service.release(ident)
        else:
            is_held = existing is not None and existing.state == "held"
            core.reservation_service.commit(ident, units)
            return units * is_held
    except ReservationError as error:
        assert error.status in (404, 409, 410)
    return 0.0


@pytest.mark.parametrize("end", ["committed", "released", "expired"])
def test_grant_holds_its_units_until_it_ends_or_expires(tmp_path: Path, end: str) -> None:
    operator_settings = operator_options(tmp_path, authz={"server": {"listen": "127.0.0.1:0"}})
    with rig(operator=operator_settings) as r, open_stub(r) as stub:
        assert wait_for_result(r, stub.Check.future(make_check(1, x_weight="units=4"), timeout=5)).status.code == 0
        name, heads = f"{1:016x}", r.daemon.ledger.tally.state
        level = r.daemon.ingress.decision_module.firms[7].level
        assert (
            call(r, tmp_path, "GET", f"/v1/reservations/{name}")[1]["kind"] == "granted"
            and heads.counted_micro_units == 0
        )
        if end == "committed":
            assert call(r, tmp_path, "POST", f"/v1/reservations/{name}/commit", {"units": 1.0})[0] == 200
        elif end == "released":
            assert call(r, tmp_path, "POST", f"/v1/reservations/{name}/release")[0] == 200
        else:
            r.advance_clock(2.1)
        assert heads.counted_micro_units == {"committed": 1, "released": 0, "expired": 4}[end] * MICRO_UNITS_PER_UNIT
        if end != "expired":
            assert r.daemon.ingress.decision_module.firms[7].level >= level + 3.0


def test_daemon_killed_before_the_acknowledgement_uploads_the_same_batch_again(tmp_path: Path) -> None:
    """Guards against double billing: a process is killed after billing took a batch, and the next one resends it."""
    store, tally = fill_store(tmp_path / "ledger", 8)
    store.close()
    loop = Loop(time.time, Metrics(), NullLog())
    servers = [SimServer(loop, "s-0", random.Random(1))]
    discovery, counter, billing = Discovery(loop, servers), Counter(loop), Billing(loop)
    operator_text = (
        f'[ledger]\npath = "{tmp_path}/ledger"\n[ledger.export]\nurl = "http://{billing.listener.address_text}/use"\n'
        "batch = 10\ntimeout_s = 30.0\n"
    )

    def start_process() -> Process:
        return Process(
            tmp_path,
            "n0",
            find_free_ports(1)[0],
            discovery.listener.address_text,
            counter.listener.address_text,
            operator_text,
        )

    def run_until(done: Any) -> None:
        end = time.monotonic() + 20
        while not done():
            assert time.monotonic() < end, (tmp_path / "n0.log").read_text()
            loop.run_once(0.02)

    billing.mode = "taken silently"
    first = start_process()
    run_until(lambda: len(billing.events) == 10)
    first.process.kill()
    first.process.wait()
    before = dict(billing.events)
    billing.mode = "takes"
    second = start_process()
    run_until(lambda: len(billing.events) == 24)
    run_until(lambda: billing.answer_counts["takes"] >= 3)
    second.process.terminate()
    run_until(lambda: second.process.poll() is not None)
    assert second.process.returncode == 0 and billing.faults == []
    assert {billing.delivery_counts[ident] for ident in before} == {2} and sum(
        billing.sum_micro_units().values()
    ) == tally.state.counted_micro_units
    last = Store(str(tmp_path / "ledger"))
    assert last.read_state().acked_seq == 24 and find_faults(last) == []
    last.close()
    for listener in (discovery.listener, counter.listener, billing.listener, servers[0].listener):
        listener.stop()
    loop.close()
