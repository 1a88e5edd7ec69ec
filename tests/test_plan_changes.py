"""Plans in the decision module: changes of plan, returned units, reservations, charges."""

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


def make_driver(**more: Any) -> Driver:
    return Driver(servers=20, plans=[SCHOOL, COUNTY], charges=True, **more)


def count_passed(driver: Driver, plan: str, count: int = 1, **more: Any) -> int:
    """Send `count` messages, each served at once, and return how many passed."""
    passed = 0
    for _ in range(count):
        for send in select(Send, driver.send_message(plan=plan, **more)):
            passed += 1
            driver.handle(Outcome(send.id, send.server, 0, "ok", 0.1, closed=True))
    return passed


def test_a_firm_moved_up_has_the_larger_burst_less_the_units_it_used() -> None:
    """Guards against a firm record that kept its first plan until it was idle for a minute: one send, five refusals."""
    driver = make_driver()
    assert count_passed(driver, "school", 6, units=2.0) == 4
    driver.now += 1.0
    assert (
        count_passed(driver, "county", 30, units=1.0) == 32 - 8 + 3
    )  # the 3 units refilled in that second are at the rate of school


def test_debt_survives_a_move_down_and_back() -> None:
    driver = make_driver()
    assert count_passed(driver, "county", 40) == 32
    driver.handle(FirmMoved(1, "school"))
    assert driver.decision_module.firms[1].level == 8 - 32
    driver.handle(FirmMoved(1, "county"))
    assert driver.decision_module.firms[1].level == 0 and count_passed(driver, "county") == 0


def test_a_counter_reading_does_not_cancel_debt() -> None:
    driver = make_driver()
    count_passed(driver, "county", 40, spread=3)
    (call,) = select(AddToCounter, driver.actions)
    driver.handle(CounterResult(call.name, "ok", call.amount))
    driver.handle(FirmMoved(1, "school"))
    debt = driver.decision_module.firms[1].level
    assert debt < 0
    driver.decision_module.firms[1].unreported, driver.decision_module.firms[1].next_call_at = 8.0, driver.now
    driver.decision_module.schedule_report(driver.now, driver.decision_module.firms[1])
    driver.now += 1.0
    (again,) = select(AddToCounter, driver.handle(TimerFired(driver.decision_module.timer_token)))
    driver.handle(CounterResult(again.name, "ok", call.amount + again.amount))
    assert driver.decision_module.firms[1].level < debt + 3.5


def test_a_retry_under_the_former_plan_does_not_revert_the_plan() -> None:
    driver = make_driver()
    count_passed(driver, "school")
    count_passed(driver, "county")
    count_passed(driver, "school", retry=True)
    assert driver.decision_module.firms[1].plan is COUNTY
    driver.now += 5.0
    count_passed(driver, "school")  # it may be an unmarked retry of a message that is this old
    assert driver.decision_module.firms[1].plan is COUNTY
    driver.now += 8.0
    count_passed(driver, "school")  # no client waits that long, so the firm has been moved back
    assert driver.decision_module.firms[1].plan is SCHOOL


def test_new_figures_apply_to_all_firms_on_the_plan() -> None:
    driver = make_driver()
    count_passed(driver, "school", 8)
    driver.handle(PlansChanged([PlanSpec("school", rate=6.0, burst=12.0)]))
    assert count_passed(driver, "school", 9) == 4
    driver.now += 1.0
    assert count_passed(driver, "school", 9) == 6


@pytest.mark.parametrize(
    ("status", "returned"),
    [("connect_failed", True), ("moot", True), ("full", False), ("timeout", False), ("reset", False), ("error", False)],
)
def test_a_relay_that_reached_no_server_whole_has_its_units_returned(status: str, returned: bool) -> None:
    """A server that refuses a relay has received it whole, so the protocol counts it."""
    driver = make_driver(max_attempts=1)
    (send,) = select(Send, driver.send_message(plan="school", units=4.0))
    assert driver.decision_module.firms[1].level == 4.0
    actions = driver.handle(Outcome(send.id, send.server, 0, status, 0.1))
    assert select(Refuse, actions) or not returned
    assert driver.decision_module.firms[1].level == (8.0 if returned else 4.0)
    assert [charge.units for charge in select(Charge, actions)] == ([] if returned else [4.0])


def test_units_returned_after_they_were_counted_are_subtracted_from_the_counter() -> None:
    driver = make_driver(max_attempts=1)
    count_passed(driver, "school", 1, spread=3, units=2.0)
    (send,) = select(Send, driver.send_message(plan="school", spread=3, units=2.0))
    driver.now += 0.3
    driver.handle(TimerFired(driver.decision_module.timer_token))
    for call in select(AddToCounter, driver.actions):
        driver.handle(CounterResult(call.name, "ok", call.amount))
    driver.now += 0.3
    driver.handle(TimerFired(driver.decision_module.timer_token))
    assert sum(call.amount for call in select(AddToCounter, driver.actions)) == 4.0
    for call in select(AddToCounter, driver.actions)[1:]:
        driver.handle(CounterResult(call.name, "ok", 4.0))
    driver.actions.clear()
    driver.handle(Outcome(send.id, send.server, 0, "connect_failed"))
    driver.now += 1.0
    driver.handle(TimerFired(driver.decision_module.timer_token))
    assert [call.amount for call in select(AddToCounter, driver.actions)] == [-2.0]


def test_the_true_cost_is_charged_once_and_under_the_plan_at_admission() -> None:
    driver = make_driver(settles=True)
    (send,) = select(Send, driver.send_message(plan="school", units=2.0))
    driver.handle(FirmMoved(1, "county"))
    (charge,) = select(Charge, driver.handle(Outcome(send.id, send.server, 0, "ok", 0.1, closed=True, cost=5.0)))
    assert (charge.plan, charge.units, charge.firm, charge.since) == ("school", 5.0, 1, driver.now)
    assert driver.decision_module.firms[1].level == 32 - 5


def test_a_reservation_holds_until_it_is_settled() -> None:
    driver = make_driver()
    assert select(Reserved, driver.handle(Reserve("r1", 1, "school", 6.0)))
    (refusal,) = select(Refuse, driver.handle(Reserve("r2", 1, "school", 4.0)))
    assert refusal.id == "r2"
    assert count_passed(driver, "school", 5) == 2
    assert select(Charge, driver.handle(Settle("r1", 1, "school", 3, 6.0, 1.0, driver.now)))[0].units == 1.0
    assert driver.decision_module.firms[1].level == 5.0
    driver.handle(Reserve("r3", 1, "school", 5.0))
    assert (
        not driver.handle(Settle("r3", 1, "school", 3, 5.0, 0.0, driver.now))
        and driver.decision_module.firms[1].level == 5.0
    )


def test_a_message_paid_by_a_reservation_takes_no_further_units() -> None:
    driver = make_driver()
    driver.handle(Reserve("r1", 1, "school", 8.0))
    assert count_passed(driver, "school") == 0
    assert count_passed(driver, "school", units=8.0, reserved_units=8.0) == 1
    assert driver.decision_module.firms[1].level == 0.0


def test_a_leased_token_bucket_is_filled_by_leases_only() -> None:
    driver = make_driver(leased=True)
    assert count_passed(driver, "school", spread=3) == 0
    driver.handle(LeaseGranted(1, "school", 3.0, spread=3))
    driver.now += 10.0
    assert count_passed(driver, "school", 9, spread=3) == 3 and not select(AddToCounter, driver.actions)


STEP = st.tuples(
    st.sampled_from(["school", "county"]), st.integers(1, 12), st.sampled_from([0.0, 0.1, 0.7, 3.0]), st.booleans()
)


@given(st.lists(STEP, max_size=40))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_no_sequence_of_plan_changes_gains_units(steps: list[tuple[str, int, float, bool]]) -> None:
    """In every interval no more units pass than the integral of the rate plus the largest burst in force."""
    driver = make_driver()
    count_passed(driver, "school", 0)
    sends: list[float] = []
    rates: list[tuple[float, float]] = []
    for plan, attempts, wait, by_book in steps:
        if by_book:
            driver.handle(FirmMoved(1, plan))
        for _ in range(attempts):
            sends += [driver.now] * count_passed(driver, plan)
        spec = driver.decision_module.firms[1].plan
        rates.append((wait, spec.rate))
        driver.now += wait

    def earned(since: float, until: float) -> float:
        at, total = 1000.0, 0.0
        for wait, rate in rates:
            total += rate * max(0.0, min(until, at + wait) - max(since, at))
            at += wait
        return total

    for first, start in enumerate(sends):
        for last in range(first, len(sends)):
            assert last - first + 1 <= 32 + earned(start, sends[last]) + 1e-6
