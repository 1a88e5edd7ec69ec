"""The customer quota: fill, readings, none, a counter that returns empty, late answers."""

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


def passes(d: Driver, count: int, **more: object) -> int:
    return sum(len(select(Send, d.send_message(**more))) for _ in range(count))


def settle(d: Driver) -> None:
    for s in select(Send, d.actions):
        d.handle(Outcome(s.id, s.server, 0, "ok", 0.1, closed=True))


def test_burst_then_rate_for_a_customer_of_this_gateway_alone() -> None:
    d = Driver(servers=20)
    assert passes(d, 30) == 20
    settle(d)
    d.now += 1.0
    assert passes(d, 30) == 10


@pytest.mark.parametrize(
    ("cost", "worth", "tries", "units"),
    [
        (1.2, 0.0, 1, 1.0),
        (1.0, 0.0, 1, 1.0),
        (0.5, 0.0, 1, 1.0),
        (0.25, 0.0, 2, 1.0),
        (0.0, 0.1, 4, 1.0),
        (2.0, 0.0, 1, 4.0),
    ],
)
def test_what_each_of_many_gateways_grants_before_it_knows_follows_what_a_wrong_try_costs(
    cost: float, worth: float, tries: int, units: float
) -> None:
    """Each of two hundred granted the largest request; a firm that asks three times its rate comes to nearly all of
    them for the first time. What is right to grant is the first try, whatever its size."""
    plan = PlanSpec("gold", rate=10.0, burst=20.0, over_cost=cost, over_worth=worth)
    sent = 0
    for me in range(50):
        d = Driver(servers=20, gateways=200, me=me, plans=[plan], counter=False)
        for _ in range(6):
            sent += passes(d, 1, spread=200, units=units)
            settle(d)
    assert sent == 50 * tries


def dear(cost: float = 1.0, spread: int = 200, rate: float = 4.0) -> Driver:
    """One gateway of a large fleet; a firm's set has `spread` of them."""
    return Driver(servers=20, gateways=200, plans=[PlanSpec("gold", rate=rate, burst=16.0, over_cost=cost)])


def test_a_marked_retry_of_a_firm_that_nothing_is_known_of_is_not_let_in_where_it_may_cost() -> None:
    """It was refused elsewhere: of 277 such tries on a calm day 47 % were beyond quotas, of first tries 28 %."""
    assert passes(dear(), 1, spread=200, units=2.0, retry=True) == 0
    assert passes(dear(), 1, spread=200, units=2.0) == 1
    assert passes(dear(cost=0.0), 1, spread=200, units=2.0, retry=True) == 1  # it can cost nothing
    assert passes(dear(), 1, spread=3, units=2.0, retry=True) == 1  # three know the firm soon
    d = dear()
    assert passes(d, 1, spread=200, units=2.0, retry=True) == 0
    assert passes(d, 1, spread=200, units=2.0) == 1  # the firm's own next try is a first one here


def elsewhere(d: Driver, used: float) -> None:
    """A first try here, and its call's answer: the others have used so much in the 10 s of this number so far."""
    assert passes(d, 1, spread=200, units=2.0) == 1
    settle(d)
    (call,) = select(AddToCounter, d.actions)
    d.handle(CounterResult(call.name, "ok", used + call.amount, 0.001))


@pytest.mark.parametrize(
    ("used", "cost", "sent"),
    [(0.0, 1.0, 1), (8.0, 1.0, 1), (26.0, 1.0, 0), (40.0, 1.0, 0), (26.0, 0.1, 1), (40.0, 0.0, 1), (120.0, 0.0, 0)],
)
def test_a_firm_that_uses_much_elsewhere_is_held_back_by_what_a_wrong_try_costs(
    used: float, cost: float, sent: int
) -> None:
    """The store of one that uses two thirds of its rate is empty now and then, and each gateway of its set that
    has read room in it lets one more in: of those tries 42 to 65 % were beyond quotas on a calm day."""
    d = dear(cost)
    d.now = 1030.0  # 10 s of the 30 that one number serves
    elsewhere(d, used)
    d.decision_module.firms[1].level = 3.0 if used < 100 else 0.0  # what this gateway reckons that it may use
    assert passes(d, 1, spread=200, units=2.0) == sent


def test_what_was_read_of_a_firms_use_elsewhere_fades() -> None:
    """Held back by an old reading for good it would never be asked about again."""
    d = dear()
    d.now = 1030.0
    elsewhere(d, 38.0)
    d.decision_module.firms[1].level = 3.0
    assert passes(d, 1, spread=200, units=2.0) == 0
    d.now += 12.0
    assert passes(d, 1, spread=200, units=2.0) == 1


def test_few_gateways_grant_the_largest_request_whatever_a_wrong_try_costs() -> None:
    """Three let in no more together than a burst and a half; on small days the strict grant cost 0.04 of the worth."""
    d = Driver(servers=20, counter=False, plans=[PlanSpec("gold", rate=1.0, burst=9.0, over_cost=2.0)])
    assert passes(d, 6, spread=3) == 4


def test_no_reading_gives_the_even_share() -> None:
    d = Driver(servers=20, counter=False)
    assert passes(d, 30, spread=3) == 6  # 20 / 3
    settle(d)
    d.now += 3.0  # 10 earned; saved up to two of the largest requests, 4 units each
    assert passes(d, 30, spread=3) == 8


def test_reading_opens_the_whole_store_and_subtracts_the_others() -> None:
    d = Driver(servers=20)
    passes(d, 2, spread=3)
    for _ in range(8):
        d.send_message(spread=3)
    (call,) = select(AddToCounter, d.actions)
    d.handle(CounterResult(call.name, "ok", call.amount))
    level = d.decision_module.firms[1].level
    assert level > 12
    d.now += 1.0
    d.send_message(spread=3)
    d.handle(TimerFired(d.decision_module.timer_token))
    d.now += 0.1
    for _ in range(6):
        d.send_message(spread=3)
    calls = select(AddToCounter, d.actions)
    if len(calls) == 1:
        d.handle(TimerFired(d.decision_module.timer_token))
        calls = select(AddToCounter, d.actions)
    d.handle(CounterResult(calls[-1].name, "ok", call.amount + calls[-1].amount + 15))
    assert d.decision_module.firms[1].level < level - 10
    assert d.decision_module.firms[1].others_rate > 0


def test_counter_that_came_back_empty_is_no_reading() -> None:
    d = Driver(servers=20)
    for _ in range(8):
        d.send_message(spread=3)
    (call,) = select(AddToCounter, d.actions)
    d.handle(CounterResult(call.name, "ok", call.amount + 30))
    c = d.decision_module.firms[1]
    c.next_call_at = d.now
    c.unreported = 6.0
    c.admitted = 5
    d.decision_module.schedule_report(d.now, c)
    d.now += 1.0
    (again,) = select(AddToCounter, d.handle(TimerFired(d.decision_module.timer_token)))
    before, read_at = c.level, c.reading_at
    d.now += 0.01
    d.handle(CounterResult(again.name, "ok", again.amount))
    assert (c.reading_at, c.counter_total) == (read_at, again.amount) and c.level <= before + 0.2


def test_refused_call_is_told_again_and_unanswered_one_is_not() -> None:
    for status, left in (("connect_failed", True), ("timeout", False)):
        d = Driver(servers=20)
        for _ in range(8):
            d.send_message(spread=3)
        (call,) = select(AddToCounter, d.actions)
        before = d.decision_module.firms[1].unreported
        d.handle(CounterResult(call.name, status))
        assert (d.decision_module.firms[1].unreported == before + call.amount) is left


def test_answers_never_asked_for_are_ignored() -> None:
    d = Driver()
    assert d.handle(CounterResult(12345, "ok", 9.0)) == []
    assert d.handle(PeerNote(1, "n,zz:1:x,,:")) == []


def test_a_customer_seen_once_costs_no_call() -> None:
    d = Driver(servers=20)
    for k in range(100):
        d.send_message(firm=1000 + k, spread=3)
    d.now += 0.2
    d.handle(TimerFired(d.decision_module.timer_token))
    assert not select(AddToCounter, d.actions)


def test_peer_notes_stand_in_for_readings() -> None:
    a, b = Driver(servers=20, peers=True, peer_per_s=40.0, me=0), Driver(servers=20, peers=True, peer_per_s=40.0, me=1)
    for d in (a, b):
        d.send_message(spread=3)
    passes(a, 5, spread=3)
    for d in (a, b):
        d.now += 0.6
    for note in select(SendPeerNote, a.handle(TimerFired(a.decision_module.timer_token))):
        assert len(note.data) <= 256
        b.handle(PeerNote(0, note.data))
    assert b.decision_module.firms[1].reading_at == b.now
    assert not select(AddToCounter, b.actions)


def test_idle_customers_age_out() -> None:
    d = Driver(servers=20)
    d.send_message()
    settle(d)
    d.now += 70.0
    d.handle(TimerFired(d.decision_module.timer_token))
    assert not d.decision_module.firms


def test_beyond_quota_never_drains_class_tokens() -> None:
    d = Driver(servers=20)
    passes(d, 20)
    loop = d.decision_module.rate_controllers["check"]
    loop.rate, loop.tokens = 5.0, 5.0
    before = loop.tokens
    assert select(Refuse, d.send_message()) and loop.tokens == before


def test_calls_go_one_at_a_time_the_most_unsaid_first() -> None:
    # Guards against 20 calls in one beat: they waited behind each other until all but two were given up.
    d = Driver(servers=20)
    for n in range(1, 7):
        for _ in range(4):
            d.send_message(firm=n, spread=3, units=1.0 + (n == 5))
    d.now += 0.3
    (first,) = select(AddToCounter, d.actions)
    (second,) = select(
        AddToCounter,
        d.handle(CounterResult(first.name, "ok", first.amount)) + d.handle(TimerFired(d.decision_module.timer_token)),
    )
    assert second.name % (1 << 33) == 5
    assert not select(AddToCounter, d.handle(CounterResult(first.name, "ok", 1.0)))  # an answer to no call that is out


def test_slow_and_lost_answers_slow_the_calls_down() -> None:
    paces = []
    for status, latency in (("ok", 0.001), ("ok", 0.045), ("timeout", 0.05)):
        d = Driver(counter_timeout=0.05)
        d.decision_module.counter_calls.compute_wait(d.now, 0.001)  # it is near: an answer came quickly before
        for _ in range(9):
            d.send_message(spread=3)
        (call,) = select(AddToCounter, d.actions)
        d.handle(CounterResult(call.name, status, call.amount, latency))
        paces.append(d.decision_module.counter_calls.interval)
    assert paces == sorted(paces) and len(set(paces)) == 3


def test_a_counter_that_turns_calls_away_is_asked_less_often() -> None:
    """With a crowded counter nine calls of ten were turned away, and all were repeated at once."""
    d = Driver(servers=20)
    start = d.decision_module.counter_calls.interval
    for _ in range(8):
        d.send_message(spread=3)
    for _ in range(20):
        for call in select(AddToCounter, d.actions):
            d.handle(CounterResult(call.name, "full"))
        d.actions.clear()
        d.now += 1.6
        d.send_message(spread=3)
    assert d.decision_module.counter_calls.interval > 5 * start
    for call in select(AddToCounter, d.actions):
        grown = d.decision_module.counter_calls.interval
        d.handle(CounterResult(call.name, "ok", 100.0))
        assert d.decision_module.counter_calls.interval < grown


def test_open_cap_is_shared_and_leaves_one_for_what_the_peers_sent_since() -> None:
    """Ten gateways let one in each at a cap of five: a sixth of what was sent on was beyond it."""
    plan = PlanSpec("gold", rate=100.0, burst=100.0, open=5)
    d = Driver(servers=20, peers=True, me=0, peer_per_s=40.0, plans=[plan])
    assert passes(d, 5, spread=3) == 2  # no word yet: the even share, rounded up
    d.handle(PeerNote(1, "n,1:0:2"))
    assert passes(d, 5, spread=3) == 0  # 2 here, 2 there, 1 spare
    d.handle(PeerNote(1, "n,1:0:0"))
    d.handle(PeerNote(1, "n,1:0:0"))
    d.handle(PeerNote(1, "n,1:0:0"))
    assert passes(d, 5, spread=3) >= 2
    d.handle(PeerNote(1, "n,1:0:50"))
    settle(d)
    assert passes(d, 5, spread=3) == 0


def test_true_units_settle_the_guess() -> None:
    d = Driver(servers=3, settles=True)
    (first,) = select(Send, d.send_message(units=2.0))
    before = d.decision_module.firms[1].level
    d.handle(Outcome(first.id, first.server, 0, "ok", 0.1, closed=True, cost=5.0))
    assert d.decision_module.firms[1].level == before - 3.0


def test_meter_on_answers_is_a_reading() -> None:
    d = Driver(servers=3, counter=False, meter_period=1.0)
    (first,) = select(Send, d.send_message(spread=3))
    d.now += 0.5
    d.handle(Outcome(first.id, first.server, 0, "ok", 0.5, closed=True, quota_used=181))
    c = d.decision_module.firms[1]
    assert c.reading_at == d.now and c.others_rate > 5.0


def test_notes_on_customers_never_seen_here_leave_nothing_behind() -> None:
    d = Driver(servers=3, peers=True, me=0, peer_per_s=40.0)
    d.send_message(spread=3)
    for k in range(500):
        d.handle(PeerNote(1, f"n,{k + 10:x}:3:1"))
    assert set(d.decision_module.firms) == {1} and not any(
        isinstance(v, dict) and len(v) > 10 for v in vars(d.decision_module).values()
    )


def test_notes_that_would_be_stale_leave_the_counter_in_use() -> None:
    """A peer takes in 40 notes a second: from 240 of them each could tell every nine seconds."""
    few, many = (Driver(servers=20, peers=True, peer_per_s=40.0, gateways=n) for n in (3, 240))
    for d in (few, many):
        for _ in range(8):
            d.send_message(spread=3)
    assert not select(AddToCounter, few.actions) and select(AddToCounter, many.actions)


def test_gateways_do_not_call_in_step() -> None:
    """Beats at the same instant everywhere left two calls of five unanswered at a counter half used."""
    delays = {
        select(SetTimer, DecisionModule(settings(), seed, 0.0).handle(0.0, server_list(1)))[0].delay
        for seed in range(20)
    }
    assert len(delays) == 20


def pass_of(gateways: list[DecisionModule], plan: str, seconds: float, each_s: float, spread: int) -> int:
    """What all of them send on of one customer's requests, asked of each in turn, with no counter answering."""
    sent, serial = 0, 0
    for step in range(int(seconds / 0.5)):
        for g in gateways:
            for _ in range(int(each_s / 2)):
                serial += 1
                now = 1000.0 + step * 0.5
                for s in select(
                    Send, g.handle(now, MessageReceived(f"{serial:016x}", "check", plan, 1, 5.0, 1.0, spread))
                ):
                    sent += 1
                    g.handle(now, Outcome(s.id, s.server, 0, "ok", 0.05, closed=True))
    return sent


def large(plan: PlanSpec, **more: object) -> list[DecisionModule]:
    made = [
        DecisionModule(settings(gateways=300, me=me, plans=[plan], most_units=1, **more), me, 1000.0)
        for me in range(300)
    ]
    for g in made:
        g.handle(1000.0, server_list(4))
    return made


def test_without_a_reading_300_gateways_hold_a_customer_to_its_rate_but_for_the_first_ones() -> None:
    """A first request at each gateway is granted (most customers are inside); after it the even share holds."""
    sent = pass_of(large(PlanSpec("gold", rate=10.0, burst=20.0), counter=False), "gold", 30.0, 4.0, 300)
    assert 300 <= sent <= 300 + 10 * 30 + 20


def test_a_ceiling_holds_over_100_gateways_without_any_reading() -> None:
    plan = PlanSpec("gold", rate=900.0, burst=900.0, ceiling_rate=100.0, ceiling_burst=200.0)
    sent = pass_of(large(plan)[:100], "gold", 10.0, 8.0, 100)
    assert 800 <= sent <= 100 * 10 + 200


def test_many_gateways_that_begin_at_once_do_not_call_more_than_a_counter_bears() -> None:
    """Forty with firms to tell of made up to 640 calls in their first second, and most answers came too late."""
    calls = 0
    for me in range(40):
        d = Driver(60, gateways=40)
        d.decision_module.rng.seed(me)
        for step in range(100):
            d.now += 0.01
            acts = d.send_message(firm=step % 30, spread=20, units=4.0)
            for send in select(Send, acts):
                d.handle(Outcome(send.id, send.server, 0, "ok", 0.1, closed=True))
            for count in select(AddToCounter, acts):
                calls += 1
                d.handle(CounterResult(count.name, "timeout", 0.0, 0.03))
    assert 40 <= calls < 100  # 117 from a pace of 0.06 s
