"""Quotas of firms: filling, readings of the counter and of peer notes, no readings, a counter that lost its state."""

import pytest

from brackenpulley.policy.brain import DecisionModule
from brackenpulley.policy.interface import (
    AddToCounter,
    CounterResult,
    MessageReceived,
    Outcome,
    PeerNote,
    PlanSpec,
    Refuse,
    Send,
    SendPeerNote,
    SetTimer,
    TimerFired,
)

from .util import Driver, select, server_list, settings


def count_sent(driver: Driver, count: int, **more: object) -> int:
    return sum(len(select(Send, driver.send_message(**more))) for _ in range(count))


def answer_all(driver: Driver) -> None:
    for send in select(Send, driver.actions):
        driver.handle(Outcome(send.id, send.server, 0, "ok", 0.1, closed=True))


def test_burst_then_rate_for_a_firm_of_this_ingress_alone() -> None:
    driver = Driver(servers=20)
    assert count_sent(driver, 30) == 20
    answer_all(driver)
    driver.now += 1.0
    assert count_sent(driver, 30) == 10


@pytest.mark.parametrize(
    ("cost", "worth", "granted", "units"),
    [
        (1.2, 0.0, 1, 1.0),
        (1.0, 0.0, 1, 1.0),
        (0.5, 0.0, 1, 1.0),
        (0.25, 0.0, 2, 1.0),
        (0.0, 0.1, 4, 1.0),
        (2.0, 0.0, 1, 4.0),
    ],
)
def test_the_grant_without_a_reading_follows_the_cost_of_a_message_beyond_the_quota(
    cost: float, worth: float, granted: int, units: float
) -> None:
    """Each of 200 ingresses granted the largest message, and a firm at three times its rate reaches nearly all of them
    for the first time. Only the first message must be granted, whatever its size."""
    plan = PlanSpec("gold", rate=10.0, burst=20.0, over_cost=cost, over_worth=worth)
    sent = 0
    for index in range(50):
        driver = Driver(servers=20, gateways=200, me=index, plans=[plan], counter=False)
        for _ in range(6):
            sent += count_sent(driver, 1, spread=200, units=units)
            answer_all(driver)
    assert sent == 50 * granted


def make_driver(cost: float = 1.0, spread: int = 200, rate: float = 4.0) -> Driver:
    """One ingress of a large fleet, with a plan where units beyond the quota cost `cost`."""
    return Driver(servers=20, gateways=200, plans=[PlanSpec("gold", rate=rate, burst=16.0, over_cost=cost)])


def test_a_marked_retry_without_a_reading_is_refused_where_it_may_cost() -> None:
    """It was refused elsewhere: of 277 such messages on a calm day 47 % were beyond quotas, of first ones 28 %."""
    assert count_sent(make_driver(), 1, spread=200, units=2.0, retry=True) == 0
    assert count_sent(make_driver(), 1, spread=200, units=2.0) == 1
    assert count_sent(make_driver(cost=0.0), 1, spread=200, units=2.0, retry=True) == 1  # it can cost nothing
    assert count_sent(make_driver(), 1, spread=3, units=2.0, retry=True) == 1  # three ingresses soon have readings
    driver = make_driver()
    assert count_sent(driver, 1, spread=200, units=2.0, retry=True) == 0
    assert count_sent(driver, 1, spread=200, units=2.0) == 1  # the firm's next message is a first attempt here


def read_use_elsewhere(driver: Driver, used: float) -> None:
    """Sends one message here; the answer to its counter call says that the others have used so much in 10 s."""
    assert count_sent(driver, 1, spread=200, units=2.0) == 1
    answer_all(driver)
    (call,) = select(AddToCounter, driver.actions)
    driver.handle(CounterResult(call.name, "ok", used + call.amount, 0.001))


@pytest.mark.parametrize(
    ("used", "cost", "sent"),
    [(0.0, 1.0, 1), (8.0, 1.0, 1), (26.0, 1.0, 0), (40.0, 1.0, 0), (26.0, 0.1, 1), (40.0, 0.0, 1), (120.0, 0.0, 0)],
)
def test_a_firm_with_much_use_elsewhere_is_limited_by_the_cost_of_a_message_beyond_the_quota(
    used: float, cost: float, sent: int
) -> None:
    """The bucket of a firm at two thirds of its rate is empty at times, and each of its ingresses with an older reading
    admits one more message: 42 to 65 % of those were beyond quotas on a calm day."""
    driver = make_driver(cost)
    driver.now = 1030.0  # 10 s into the 30 s of a counter name
    read_use_elsewhere(driver, used)
    driver.decision_module.firms[1].level = 3.0 if used < 100 else 0.0  # the local estimate
    assert count_sent(driver, 1, spread=200, units=2.0) == sent


def test_a_reading_of_use_elsewhere_decays() -> None:
    """A firm that an old reading holds back for ever would never cause another reading."""
    driver = make_driver()
    driver.now = 1030.0
    read_use_elsewhere(driver, 38.0)
    driver.decision_module.firms[1].level = 3.0
    assert count_sent(driver, 1, spread=200, units=2.0) == 0
    driver.now += 12.0
    assert count_sent(driver, 1, spread=200, units=2.0) == 1


def test_few_ingresses_grant_the_largest_message_whatever_it_costs_beyond_the_quota() -> None:
    """Three ingresses admit a burst and a half at most; a stricter grant cost 0.04 of the worth on small days."""
    driver = Driver(servers=20, counter=False, plans=[PlanSpec("gold", rate=1.0, burst=9.0, over_cost=2.0)])
    assert count_sent(driver, 6, spread=3) == 4


def test_no_reading_gives_the_even_share() -> None:
    driver = Driver(servers=20, counter=False)
    assert count_sent(driver, 30, spread=3) == 6  # 20 / 3
    answer_all(driver)
    driver.now += 3.0  # 10 filled, up to two of the largest messages, 4 units each
    assert count_sent(driver, 30, spread=3) == 8


def test_a_reading_opens_the_whole_bucket_and_subtracts_the_others_use() -> None:
    driver = Driver(servers=20)
    count_sent(driver, 2, spread=3)
    for _ in range(8):
        driver.send_message(spread=3)
    (call,) = select(AddToCounter, driver.actions)
    driver.handle(CounterResult(call.name, "ok", call.amount))
    level = driver.decision_module.firms[1].level
    assert level > 12
    driver.now += 1.0
    driver.send_message(spread=3)
    driver.handle(TimerFired(driver.decision_module.timer_token))
    driver.now += 0.1
    for _ in range(6):
        driver.send_message(spread=3)
    calls = select(AddToCounter, driver.actions)
    if len(calls) == 1:
        driver.handle(TimerFired(driver.decision_module.timer_token))
        calls = select(AddToCounter, driver.actions)
    driver.handle(CounterResult(calls[-1].name, "ok", call.amount + calls[-1].amount + 15))
    assert driver.decision_module.firms[1].level < level - 10
    assert driver.decision_module.firms[1].others_rate > 0


def test_a_counter_that_lost_its_state_is_no_reading() -> None:
    driver = Driver(servers=20)
    for _ in range(8):
        driver.send_message(spread=3)
    (call,) = select(AddToCounter, driver.actions)
    driver.handle(CounterResult(call.name, "ok", call.amount + 30))
    firm = driver.decision_module.firms[1]
    firm.next_call_at = driver.now
    firm.unreported = 6.0
    firm.admitted = 5
    driver.decision_module.schedule_report(driver.now, firm)
    driver.now += 1.0
    (again,) = select(AddToCounter, driver.handle(TimerFired(driver.decision_module.timer_token)))
    before, read_at = firm.level, firm.reading_at
    driver.now += 0.01
    driver.handle(CounterResult(again.name, "ok", again.amount))
    assert (firm.reading_at, firm.counter_total) == (read_at, again.amount) and firm.level <= before + 0.2


def test_a_refused_call_is_reported_again_and_an_unanswered_one_is_not() -> None:
    for status, left in (("connect_failed", True), ("timeout", False)):
        driver = Driver(servers=20)
        for _ in range(8):
            driver.send_message(spread=3)
        (call,) = select(AddToCounter, driver.actions)
        before = driver.decision_module.firms[1].unreported
        driver.handle(CounterResult(call.name, status))
        assert (driver.decision_module.firms[1].unreported == before + call.amount) is left


def test_unsolicited_answers_are_ignored() -> None:
    driver = Driver()
    assert driver.handle(CounterResult(12345, "ok", 9.0)) == []
    assert driver.handle(PeerNote(1, "n,zz:1:x,,:")) == []


def test_a_firm_seen_once_costs_no_call() -> None:
    driver = Driver(servers=20)
    for key in range(100):
        driver.send_message(firm=1000 + key, spread=3)
    driver.now += 0.2
    driver.handle(TimerFired(driver.decision_module.timer_token))
    assert not select(AddToCounter, driver.actions)


def test_peer_notes_replace_counter_readings() -> None:
    first, second = (
        Driver(servers=20, peers=True, peer_per_s=40.0, me=0),
        Driver(servers=20, peers=True, peer_per_s=40.0, me=1),
    )
    for driver in (first, second):
        driver.send_message(spread=3)
    count_sent(first, 5, spread=3)
    for driver in (first, second):
        driver.now += 0.6
    for note in select(SendPeerNote, first.handle(TimerFired(first.decision_module.timer_token))):
        assert len(note.data) <= 256
        second.handle(PeerNote(0, note.data))
    assert second.decision_module.firms[1].reading_at == second.now
    assert not select(AddToCounter, second.actions)


def test_idle_firms_expire() -> None:
    driver = Driver(servers=20)
    driver.send_message()
    answer_all(driver)
    driver.now += 70.0
    driver.handle(TimerFired(driver.decision_module.timer_token))
    assert not driver.decision_module.firms


def test_messages_beyond_the_quota_take_no_class_tokens() -> None:
    driver = Driver(servers=20)
    count_sent(driver, 20)
    controller = driver.decision_module.rate_controllers["check"]
    controller.rate, controller.tokens = 5.0, 5.0
    before = controller.tokens
    assert select(Refuse, driver.send_message()) and controller.tokens == before


def test_calls_go_one_at_a_time_with_the_most_unreported_first() -> None:
    # Guards against 20 calls in one tick, which queued until all but two timed out.
    driver = Driver(servers=20)
    for n in range(1, 7):
        for _ in range(4):
            driver.send_message(firm=n, spread=3, units=1.0 + (n == 5))
    driver.now += 0.3
    (first,) = select(AddToCounter, driver.actions)
    (second,) = select(
        AddToCounter,
        driver.handle(CounterResult(first.name, "ok", first.amount))
        + driver.handle(TimerFired(driver.decision_module.timer_token)),
    )
    assert second.name % (1 << 33) == 5
    assert not select(AddToCounter, driver.handle(CounterResult(first.name, "ok", 1.0)))  # not the current call


def test_slow_and_lost_answers_slow_the_calls_down() -> None:
    paces = []
    for status, latency in (("ok", 0.001), ("ok", 0.045), ("timeout", 0.05)):
        driver = Driver(counter_timeout=0.05)
        driver.decision_module.counter_calls.compute_wait(driver.now, 0.001)  # a short round trip
        for _ in range(9):
            driver.send_message(spread=3)
        (call,) = select(AddToCounter, driver.actions)
        driver.handle(CounterResult(call.name, status, call.amount, latency))
        paces.append(driver.decision_module.counter_calls.interval)
    assert paces == sorted(paces) and len(set(paces)) == 3


def test_a_counter_that_refuses_calls_gets_fewer() -> None:
    """An overloaded counter refused nine calls of ten, and all were repeated at once."""
    driver = Driver(servers=20)
    start = driver.decision_module.counter_calls.interval
    for _ in range(8):
        driver.send_message(spread=3)
    for _ in range(20):
        for call in select(AddToCounter, driver.actions):
            driver.handle(CounterResult(call.name, "full"))
        driver.actions.clear()
        driver.now += 1.6
        driver.send_message(spread=3)
    assert driver.decision_module.counter_calls.interval > 5 * start
    for call in select(AddToCounter, driver.actions):
        grown = driver.decision_module.counter_calls.interval
        driver.handle(CounterResult(call.name, "ok", 100.0))
        assert driver.decision_module.counter_calls.interval < grown


def test_the_in_flight_limit_is_shared_and_leaves_one_for_relays_since_the_last_note() -> None:
    """Ten ingresses admitted one message each at a limit of five: a sixth of the relays was beyond it."""
    plan = PlanSpec("gold", rate=100.0, burst=100.0, open=5)
    driver = Driver(servers=20, peers=True, me=0, peer_per_s=40.0, plans=[plan])
    assert count_sent(driver, 5, spread=3) == 2  # no note yet: the even share, rounded up
    driver.handle(PeerNote(1, "n,1:0:2"))
    assert count_sent(driver, 5, spread=3) == 0  # 2 here, 2 there, 1 spare
    driver.handle(PeerNote(1, "n,1:0:0"))
    driver.handle(PeerNote(1, "n,1:0:0"))
    driver.handle(PeerNote(1, "n,1:0:0"))
    assert count_sent(driver, 5, spread=3) >= 2
    driver.handle(PeerNote(1, "n,1:0:50"))
    answer_all(driver)
    assert count_sent(driver, 5, spread=3) == 0


def test_the_actual_cost_replaces_the_estimate() -> None:
    driver = Driver(servers=3, settles=True)
    (first,) = select(Send, driver.send_message(units=2.0))
    before = driver.decision_module.firms[1].level
    driver.handle(Outcome(first.id, first.server, 0, "ok", 0.1, closed=True, cost=5.0))
    assert driver.decision_module.firms[1].level == before - 3.0


def test_meter_on_answers_is_a_reading() -> None:
    driver = Driver(servers=3, counter=False, meter_period=1.0)
    (first,) = select(Send, driver.send_message(spread=3))
    driver.now += 0.5
    driver.handle(Outcome(first.id, first.server, 0, "ok", 0.5, closed=True, quota_used=181))
    firm = driver.decision_module.firms[1]
    assert firm.reading_at == driver.now and firm.others_rate > 5.0


def test_notes_on_unknown_firms_leave_nothing_behind() -> None:
    driver = Driver(servers=3, peers=True, me=0, peer_per_s=40.0)
    driver.send_message(spread=3)
    for key in range(500):
        driver.handle(PeerNote(1, f"n,{key + 10:x}:3:1"))
    assert set(driver.decision_module.firms) == {1} and not any(
        isinstance(v, dict) and len(v) > 10 for v in vars(driver.decision_module).values()
    )


def test_notes_that_would_be_stale_leave_the_counter_in_use() -> None:
    """A peer accepts 40 notes a second: of 240 ingresses each could send one every nine seconds."""
    few, many = (Driver(servers=20, peers=True, peer_per_s=40.0, gateways=n) for n in (3, 240))
    for driver in (few, many):
        for _ in range(8):
            driver.send_message(spread=3)
    assert not select(AddToCounter, few.actions) and select(AddToCounter, many.actions)


def test_ingresses_do_not_tick_at_the_same_time() -> None:
    """Simultaneous ticks left two calls of five unanswered at a counter with half its capacity free."""
    delays = {
        select(SetTimer, DecisionModule(settings(), seed, 0.0).handle(0.0, server_list(1)))[0].delay
        for seed in range(20)
    }
    assert len(delays) == 20


def count_sent_by_all(
    decision_modules: list[DecisionModule], plan: str, seconds: float, each_s: float, spread: int
) -> int:
    """How many messages of one firm all of them send, given to each in turn, while no counter answers."""
    sent, serial = 0, 0
    for step in range(int(seconds / 0.5)):
        for decision_module in decision_modules:
            for _ in range(int(each_s / 2)):
                serial += 1
                now = 1000.0 + step * 0.5
                for send in select(
                    Send,
                    decision_module.handle(now, MessageReceived(f"{serial:016x}", "check", plan, 1, 5.0, 1.0, spread)),
                ):
                    sent += 1
                    decision_module.handle(now, Outcome(send.id, send.server, 0, "ok", 0.05, closed=True))
    return sent


def make_decision_modules(plan: PlanSpec, **more: object) -> list[DecisionModule]:
    made = [
        DecisionModule(settings(gateways=300, me=index, plans=[plan], most_units=1, **more), index, 1000.0)
        for index in range(300)
    ]
    for decision_module in made:
        decision_module.handle(1000.0, server_list(4))
    return made


def test_without_a_reading_300_ingresses_hold_a_firm_to_its_rate_after_the_first_messages() -> None:
    """The first message at each ingress is granted, as most firms are within quota; then the even share holds."""
    sent = count_sent_by_all(
        make_decision_modules(PlanSpec("gold", rate=10.0, burst=20.0), counter=False), "gold", 30.0, 4.0, 300
    )
    assert 300 <= sent <= 300 + 10 * 30 + 20


def test_a_ceiling_holds_over_100_ingresses_without_any_reading() -> None:
    plan = PlanSpec("gold", rate=900.0, burst=900.0, ceiling_rate=100.0, ceiling_burst=200.0)
    sent = count_sent_by_all(make_decision_modules(plan)[:100], "gold", 10.0, 8.0, 100)
    assert 800 <= sent <= 100 * 10 + 200


def test_many_ingresses_that_start_together_do_not_overload_the_counter() -> None:
    """Forty ingresses made up to 640 calls in their first second, and most answers came too late."""
    calls = 0
    for index in range(40):
        driver = Driver(60, gateways=40)
        driver.decision_module.rng.seed(index)
        for step in range(100):
            driver.now += 0.01
            actions = driver.send_message(firm=step % 30, spread=20, units=4.0)
            for send in select(Send, actions):
                driver.handle(Outcome(send.id, send.server, 0, "ok", 0.1, closed=True))
            for count in select(AddToCounter, actions):
                calls += 1
                driver.handle(CounterResult(count.name, "timeout", 0.0, 0.03))
    assert 40 <= calls < 100  # 117 with an initial interval of 0.06 s
