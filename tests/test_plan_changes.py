"""The module's own part of plans: changes, units returned, reservations, charges."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.policy.interface import (
    AddToCounter,
    Charge,
    CounterResult,
    FirmMoved,
    LeaseGranted,
    Outcome,
    PlansChanged,
    PlanSpec,
    Refuse,
    Reserve,
    Reserved,
    Send,
    Settle,
    TimerFired,
)

from .util import Driver, select

SCHOOL = PlanSpec("school", rate=3.0, burst=8.0)
COUNTY = PlanSpec("county", rate=7.0, burst=32.0)


def drive(**more: Any) -> Driver:
    return Driver(servers=20, plans=[SCHOOL, COUNTY], charges=True, **more)


def ask(d: Driver, plan: str, count: int = 1, **more: Any) -> int:
    """How many pass; each is served at once."""
    passed = 0
    for _ in range(count):
        for send in select(Send, d.send_message(plan=plan, **more)):
            passed += 1
            d.handle(Outcome(send.id, send.server, 0, "ok", 0.1, closed=True))
    return passed


def test_a_firm_moved_up_has_the_larger_store_less_what_it_used() -> None:
    """Guards against a record that held the first plan until a minute of idleness: one send, five refusals."""
    d = drive()
    assert ask(d, "school", 6, units=2.0) == 4
    d.now += 1.0
    assert ask(d, "county", 30, units=1.0) == 32 - 8 + 3  # what came back in that second was school's 3 units


def test_debt_survives_a_move_down_and_back() -> None:
    d = drive()
    assert ask(d, "county", 40) == 32
    d.handle(FirmMoved(1, "school"))
    assert d.decision_module.firms[1].level == 8 - 32
    d.handle(FirmMoved(1, "county"))
    assert d.decision_module.firms[1].level == 0 and ask(d, "county") == 0


def test_a_reading_does_not_forgive_what_is_owed() -> None:
    d = drive()
    ask(d, "county", 40, spread=3)
    (call,) = select(AddToCounter, d.actions)
    d.handle(CounterResult(call.name, "ok", call.amount))
    d.handle(FirmMoved(1, "school"))
    owed = d.decision_module.firms[1].level
    assert owed < 0
    d.decision_module.firms[1].unreported, d.decision_module.firms[1].next_call_at = 8.0, d.now
    d.decision_module.schedule_report(d.now, d.decision_module.firms[1])
    d.now += 1.0
    (again,) = select(AddToCounter, d.handle(TimerFired(d.decision_module.timer_token)))
    d.handle(CounterResult(again.name, "ok", call.amount + again.amount))
    assert d.decision_module.firms[1].level < owed + 3.5


def test_an_older_clients_retry_does_not_take_the_plan_back() -> None:
    d = drive()
    ask(d, "school")
    ask(d, "county")
    ask(d, "school", retry=True)
    assert d.decision_module.firms[1].plan is COUNTY
    d.now += 5.0
    ask(d, "school")  # a retry that is not marked: its first try may be this old
    assert d.decision_module.firms[1].plan is COUNTY
    d.now += 8.0
    ask(d, "school")  # nobody waits that long: the firm has been moved back
    assert d.decision_module.firms[1].plan is SCHOOL


def test_new_figures_hold_for_all_on_the_plan() -> None:
    d = drive()
    ask(d, "school", 8)
    d.handle(PlansChanged([PlanSpec("school", rate=6.0, burst=12.0)]))
    assert ask(d, "school", 9) == 4
    d.now += 1.0
    assert ask(d, "school", 9) == 6


@pytest.mark.parametrize(
    ("status", "returned"),
    [("connect_failed", True), ("moot", True), ("full", False), ("timeout", False), ("reset", False), ("error", False)],
)
def test_a_try_that_reached_no_server_whole_has_its_units_returned(status: str, returned: bool) -> None:
    """A server that turns a try away has had it whole: PROTOCOL counts it."""
    d = drive(max_attempts=1)
    (send,) = select(Send, d.send_message(plan="school", units=4.0))
    assert d.decision_module.firms[1].level == 4.0
    acts = d.handle(Outcome(send.id, send.server, 0, status, 0.1))
    assert select(Refuse, acts) or not returned
    assert d.decision_module.firms[1].level == (8.0 if returned else 4.0)
    assert [c.units for c in select(Charge, acts)] == ([] if returned else [4.0])


def test_units_returned_after_they_were_told_are_told_back() -> None:
    d = drive(max_attempts=1)
    ask(d, "school", 1, spread=3, units=2.0)
    (send,) = select(Send, d.send_message(plan="school", spread=3, units=2.0))
    d.now += 0.3
    d.handle(TimerFired(d.decision_module.timer_token))
    for call in select(AddToCounter, d.actions):
        d.handle(CounterResult(call.name, "ok", call.amount))
    d.now += 0.3
    d.handle(TimerFired(d.decision_module.timer_token))
    assert sum(call.amount for call in select(AddToCounter, d.actions)) == 4.0
    for call in select(AddToCounter, d.actions)[1:]:
        d.handle(CounterResult(call.name, "ok", 4.0))
    d.actions.clear()
    d.handle(Outcome(send.id, send.server, 0, "connect_failed"))
    d.now += 1.0
    d.handle(TimerFired(d.decision_module.timer_token))
    assert [call.amount for call in select(AddToCounter, d.actions)] == [-2.0]


def test_the_true_cost_is_charged_once_and_under_the_plan_it_was_let_in_on() -> None:
    d = drive(settles=True)
    (send,) = select(Send, d.send_message(plan="school", units=2.0))
    d.handle(FirmMoved(1, "county"))
    (charge,) = select(Charge, d.handle(Outcome(send.id, send.server, 0, "ok", 0.1, closed=True, cost=5.0)))
    assert (charge.plan, charge.units, charge.firm, charge.since) == ("school", 5.0, 1, d.now)
    assert d.decision_module.firms[1].level == 32 - 5


def test_a_reservation_holds_until_it_is_settled() -> None:
    d = drive()
    assert select(Reserved, d.handle(Reserve("r1", 1, "school", 6.0)))
    (refusal,) = select(Refuse, d.handle(Reserve("r2", 1, "school", 4.0)))
    assert refusal.id == "r2"
    assert ask(d, "school", 5) == 2
    assert select(Charge, d.handle(Settle("r1", 1, "school", 3, 6.0, 1.0, d.now)))[0].units == 1.0
    assert d.decision_module.firms[1].level == 5.0
    d.handle(Reserve("r3", 1, "school", 5.0))
    assert not d.handle(Settle("r3", 1, "school", 3, 5.0, 0.0, d.now)) and d.decision_module.firms[1].level == 5.0


def test_a_try_that_a_reservation_pays_for_takes_nothing_more() -> None:
    d = drive()
    d.handle(Reserve("r1", 1, "school", 8.0))
    assert ask(d, "school") == 0
    assert ask(d, "school", units=8.0, reserved_units=8.0) == 1
    assert d.decision_module.firms[1].level == 0.0


def test_a_leased_store_is_filled_by_leases_alone() -> None:
    d = drive(leased=True)
    assert ask(d, "school", spread=3) == 0
    d.handle(LeaseGranted(1, "school", 3.0, spread=3))
    d.now += 10.0
    assert ask(d, "school", 9, spread=3) == 3 and not select(AddToCounter, d.actions)


STEP = st.tuples(
    st.sampled_from(["school", "county"]), st.integers(1, 12), st.sampled_from([0.0, 0.1, 0.7, 3.0]), st.booleans()
)


@given(st.lists(STEP, max_size=40))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_no_sequence_of_changes_gains_anything(steps: list[tuple[str, int, float, bool]]) -> None:
    """In every span of time: no more than the integral of the rate and the largest burst in force."""
    d = drive()
    ask(d, "school", 0)
    sends: list[float] = []
    rates: list[tuple[float, float]] = []
    for plan, tries, wait, by_book in steps:
        if by_book:
            d.handle(FirmMoved(1, plan))
        for _ in range(tries):
            sends += [d.now] * ask(d, plan)
        spec = d.decision_module.firms[1].plan
        rates.append((wait, spec.rate))
        d.now += wait

    def earned(since: float, until: float) -> float:
        at, total = 1000.0, 0.0
        for wait, rate in rates:
            total += rate * max(0.0, min(until, at + wait) - max(since, at))
            at += wait
        return total

    for n, first in enumerate(sends):
        for m in range(n, len(sends)):
            assert m - n + 1 <= 32 + earned(first, sends[m]) + 1e-6
