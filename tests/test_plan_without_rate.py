"""Tests firms that move to and from plans without a quota on the rate, with the counter and with leases."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.policy.interface import (
    AddToCounter,
    CounterResult,
    Event,
    FirmMoved,
    LateCounterResult,
    MessageReceived,
    Outcome,
    PlansChanged,
    PlanSpec,
    Send,
    SetTimer,
    TimerFired,
)

from .util import Driver, select

NATIONAL = PlanSpec("national", rate=20.0, burst=40.0)
SCHOOL = PlanSpec("school", rate=3.0, burst=16.0)
UNLIMITED = PlanSpec("unlimited")
CAPPED = PlanSpec("capped", open=8)
CEILING = PlanSpec("ceiling", ceiling_rate=38.0, ceiling_burst=90.0)
PLANS = [NATIONAL, SCHOOL, UNLIMITED, CAPPED, CEILING]
PLANS_WITHOUT_RATE = [plan for plan in PLANS if not plan.rate]
SPREAD = 3


def make_driver(**more: Any) -> Driver:
    return Driver(servers=40, plans=list(PLANS), gateways=SPREAD, **more)


def serve(driver: Driver, plan: str, count: int, firm: int = 1, **more: Any) -> int:
    """Send `count` messages of a firm, each served at once, and return how many passed."""
    passed = 0
    for _ in range(count):
        for send in select(Send, driver.send_message(plan=plan, firm=firm, spread=SPREAD, **more)):
            passed += 1
            driver.handle(Outcome(send.id, send.server, 0, "ok", 0.1, closed=True))
    return passed


def make_due(driver: Driver, plan: str = "national") -> None:
    """Let firm 1 use so much that a report to the counter is due, and none may be made yet."""
    driver.decision_module.counter_calls.next_at = driver.now + 0.5
    serve(driver, plan, 20)
    assert 1 in driver.decision_module.firms.due_reports


@pytest.mark.parametrize("plan", PLANS_WITHOUT_RATE, ids=lambda plan: plan.name)
@pytest.mark.parametrize("way", ["message", "moved", "plan changed"])
def test_a_firm_that_is_due_and_loses_its_quota_stops_nobody(plan: PlanSpec, way: str) -> None:
    """Guards against review case 2: a report was due for a firm whose burst had become 0, and nothing was sent on."""
    driver = make_driver()
    make_due(driver)
    name = plan.name
    if way == "moved":
        driver.handle(FirmMoved(1, name))
    elif way == "plan changed":
        name = "national"
        driver.handle(
            PlansChanged([PlanSpec(name, open=plan.open, ceiling_rate=plan.ceiling_rate, ceiling_burst=90.0)])
        )
    else:
        serve(driver, name, 1)  # a ceiling begins empty, so this one may be refused
    driver.now += 1.0
    assert serve(driver, name, 3) == 3
    assert serve(driver, "school", 2, firm=2) == 2
    (timer,) = select(SetTimer, driver.handle(TimerFired(driver.decision_module.timer_token)))
    driver.now += timer.delay
    assert select(SetTimer, driver.handle(TimerFired(timer.token)))
    assert not driver.decision_module.messages


def test_other_firms_are_reported_after_a_firm_lost_its_quota() -> None:
    """Guards against a firm without a quota that holds the one call to the counter for itself."""
    driver = make_driver()
    make_due(driver)
    driver.handle(FirmMoved(1, "unlimited"))
    driver.now += 1.0
    driver.actions.clear()
    serve(driver, "school", 6, firm=2)
    assert {call.name % (1 << 33) for call in select(AddToCounter, driver.actions)} == {2}


def test_what_a_firm_uses_without_a_quota_is_not_held_against_it_afterwards() -> None:
    """Guards against units that no quota limited being reported as use of a quota once the firm has one again."""
    driver = make_driver()
    make_due(driver)
    driver.handle(FirmMoved(1, "unlimited"))
    serve(driver, "unlimited", 300)
    driver.handle(FirmMoved(1, "national"))
    firm = driver.decision_module.firms[1]
    assert firm.unreported == 0 and firm.level >= NATIONAL.burst / SPREAD
    driver.now += 1.0
    driver.actions.clear()
    used = serve(driver, "national", 12)
    assert sum(call.amount for call in select(AddToCounter, driver.actions)) + firm.unreported == used == 12


def test_true_costs_without_a_quota_leave_no_debt_to_be_leased() -> None:
    """Guards the same with leases: a negative level without a quota was leased from the quota of the next plan."""
    driver = Driver(servers=40, plans=list(PLANS), leased=True, settles=True)
    for send in select(Send, driver.send_message(plan="unlimited", spread=SPREAD)):
        driver.handle(Outcome(send.id, send.server, 0, "ok", 0.1, closed=True, cost=5.0))
    assert driver.decision_module.firms[1].level == 0


EVENTS = st.one_of(
    st.tuples(st.just("message"), st.integers(1, 3), st.sampled_from(PLANS), st.integers(1, 4)),
    st.tuples(st.just("move"), st.integers(1, 3), st.sampled_from(PLANS), st.just(0)),
    st.tuples(st.just("figures"), st.just(0), st.sampled_from(PLANS), st.sampled_from([0, 1, 5])),
    st.tuples(st.just("time"), st.integers(1, 40), st.just(UNLIMITED), st.just(0)),
    st.tuples(st.sampled_from(["ok", "timeout", "full", "late"]), st.integers(0, 30), st.just(UNLIMITED), st.just(0)),
)


@settings(max_examples=150, deadline=None)
@given(st.lists(EVENTS, max_size=60))
def test_firms_move_among_plans_with_and_without_a_rate_in_any_order(
    steps: list[tuple[str, int, PlanSpec, int]],
) -> None:
    """Guards against any order of moves, changed figures and the counter's answers that raises or leaves a firm due."""
    driver = make_driver(settles=True)
    module, late = driver.decision_module, list[AddToCounter]()

    def handle(event: Event) -> None:
        for send in select(Send, driver.handle(event)):
            driver.handle(Outcome(send.id, send.server, 0, "ok", 0.1, closed=True, cost=float(len(send.id) % 3)))
        assert all(firm.plan.rate and firm.plan.burst for firm in module.firms.due_reports.values())

    for serial, (kind, number, plan, units) in enumerate(steps):
        if kind == "message":
            handle(MessageReceived(f"{serial:016x}", "check", plan.name, number, 5.0, units, SPREAD))
        elif kind == "move":
            handle(FirmMoved(number, plan.name))
        elif kind == "figures":
            handle(PlansChanged([PlanSpec(plan.name, rate=units, burst=2 * units)]))
        elif kind == "time":
            driver.now += number / 10
            handle(TimerFired(module.timer_token))
        elif kind == "late" and late:
            handle(LateCounterResult(late.pop(0).call, "ok", float(number), 0.2))
        elif module.counter_calls.current is not None:
            call = select(AddToCounter, driver.actions)[-1]
            if kind == "timeout":
                late.append(call)
            handle(CounterResult(call.name, "ok" if kind == "late" else kind, float(number), 0.01))
    assert not module.messages
