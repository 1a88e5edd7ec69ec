"""The counter's late answers: far, loaded, silent; doubled, after a new name, a new connection, an emptied counter."""

from __future__ import annotations

import copy
from collections import deque

import pytest

from brackenpulley.policy.interface import Count, Counted, Outcome, PlanFigures, PlanSpec, Send, Timer, Total

from .rig import Rig, rig
from .test_link import SETTINGS
from .util import Drive, of

WAIT = 0.03  # s, the time-out of a call
START = 1005.0  # a while into the life of a counter's name, so that none ends within a short test


def drive(start: float = START) -> Drive:
    d = Drive(servers=20, start=start, counter_timeout=WAIT)
    d.g.born = start
    return d


def busy(d: Drive, count: int = 8) -> Count:
    """A customer takes so much that it is told; the call."""
    for _ in range(count):
        d.ask(spread=3)
    (call,) = of(Count, d.log)
    d.log.clear()
    return call


def again(d: Drive, after: float = 1.0) -> Count:
    """The next call, after this time and a few more tries."""
    d.now += after
    d.log.clear()
    for tries in range(20):
        if tries >= 4 and of(Count, d.log):
            break
        for send in of(Send, d.ask(spread=3)):
            d.do(Outcome(send.id, send.server, 0, "ok", 0.05, closed=True))
    for _ in range(40):
        if not of(Count, d.log):
            d.now += 0.05
            d.do(Timer(d.g.token))
    (call,) = of(Count, d.log)
    d.log.clear()
    return call


def lost(d: Drive, call: Count) -> None:
    d.now += WAIT
    d.do(Counted(call.name, "timeout", 0.0, WAIT))


def late(d: Drive, call: Count, total: float, after: float = 0.025) -> None:
    d.now += after
    d.do(Total(call.call, "ok", total, WAIT + after))


def test_a_late_total_is_a_reading_as_of_the_time_its_call_was_sent() -> None:
    """Of 377 calls of one day 376 were answered after their time-out, and nothing was learned all day."""
    d = drive()
    call, sent = busy(d), d.now
    lost(d, call)
    c = d.g.customers[1]
    before = c.level
    late(d, call, call.amount + 2.0)
    assert (c.read_at, c.total, c.calls) == (sent, call.amount + 2.0, [])
    assert c.level > before + 5  # all of the store is known of now, not this gateway's share alone


def test_what_was_granted_up_to_a_call_is_known_when_it_is_sent() -> None:
    """Else a part of it counts as granted after the call, and the reading grants it a second time."""
    d = drive()
    busy(d)
    c = d.g.customers[1]
    c.unsaid, at = 5.0, c.at
    d.g.customers.to_tell(c, True)
    d.now += 0.7
    (call,) = of(Count, d.do(Timer(d.g.token)))
    assert c.at == d.now > at and c.calls[-1].serial == call.call
    assert c.calls[-1].granted == c.granted > 0


@pytest.mark.parametrize("after", [0.025, 0.4])
def test_what_is_granted_and_used_while_the_total_is_on_its_way_is_left_as_it_is(after: float) -> None:
    """In time or late, a total says the same, and then the same of the store at the time of the call."""
    levels = []
    for way in (0.0, after):
        d = drive()
        first = busy(d)
        d.do(Counted(first.name, "ok", first.amount, 0.0))
        call = again(d)
        if not way:
            d.do(Counted(call.name, "ok", first.amount + call.amount + 6.0, 0.0))
        d.now += WAIT
        if way:
            d.do(Counted(call.name, "timeout", 0.0, WAIT))
        d.ask(spread=3, units=2.0)  # own use since is not the others'
        d.now += after
        d.g.fill(d.now, c := d.g.customers[1])
        if way:
            d.do(Total(call.call, "ok", first.amount + call.amount + 6.0, WAIT + after))
        levels.append((c.level, c.read_at, c.total))
    (prompt, *same), (after_all, *also) = levels
    assert same == also
    assert after_all == pytest.approx(prompt, abs=10.0 * (WAIT + after))  # but for what the pace of filling was since


def test_a_far_total_credits_no_more_than_the_rate_and_loses_nothing_over_many_readings() -> None:
    """The bound is the sending: a total counted as of its arrival would credit the way of each call anew."""
    d = drive(start=1000.0 * 30)
    call, at = busy(d), d.now
    total = call.amount
    lost(d, call)
    late(d, call, total)
    c = d.g.customers[1]
    for _ in range(12):
        level = c.level
        call = again(d, 0.5)
        total += call.amount + 5.0
        sent, used = d.now, c.used
        lost(d, call)
        late(d, call, total, 0.085)
        assert c.read_at == sent
        # Filled for a part of the time since, by the whole rate at most; the others took the rest.
        assert c.level <= level - (c.used - used) + 10.0 * (d.now - at) + 1e-6
        at = sent
    assert -5 <= c.level <= 20


def test_own_amounts_sent_since_are_not_taken_for_others_use() -> None:
    d = drive()
    first = busy(d)
    lost(d, first)
    second = again(d, 0.2)
    c = d.g.customers[1]
    assert second.amount >= 3
    late(d, first, first.amount, 0.005)  # while the second is out
    assert c.others == 0 and c.total == first.amount and [x.serial for x in c.calls] == [second.call]
    lost(d, second)
    late(d, second, first.amount + second.amount)
    assert c.others == 0 and c.total == first.amount + second.amount and not c.calls
    third = again(d)
    d.do(Counted(third.name, "ok", c.total + third.amount + 4.0, 0.01))
    assert c.others > 0


def test_a_call_whose_total_never_came_may_have_been_added_or_not() -> None:
    """Its connection broke. Whichever it was, no own unit counts as the others'."""
    for added in (True, False):
        d = drive()
        first = busy(d)
        d.do(Counted(first.name, "ok", first.amount, 0.001))
        second = again(d)
        lost(d, second)
        third = again(d)
        lost(d, third)
        c = d.g.customers[1]
        late(d, third, first.amount + second.amount * added + third.amount)
        assert c.others == 0 and not c.calls and not d.g.calls.late
        late(d, second, first.amount + second.amount)  # cannot be: it would be out of turn
        assert c.total == first.amount + second.amount * added + third.amount


def test_a_doubled_late_answer_counts_once() -> None:
    d = drive()
    call = busy(d)
    lost(d, call)
    late(d, call, call.amount + 9.0)
    c = d.g.customers[1]
    before = (c.level, c.granted, c.read_at, c.total, c.others, d.g.calls.gap)
    d.do(Total(call.call, "ok", call.amount + 9.0, WAIT + 0.025))
    d.do(Total(call.call, "ok", call.amount + 30.0, WAIT + 0.025))
    d.do(Total(call.call, "full", 0.0, WAIT + 0.025))
    d.do(Total(99, "ok", 1.0, 0.1))
    assert (c.level, c.granted, c.read_at, c.total, c.others, d.g.calls.gap) == before


def test_a_late_total_never_answers_the_call_that_is_out() -> None:
    """It ends nothing: one call is out at a time, under the same name as the late one."""
    d = drive()
    first = busy(d)
    lost(d, first)
    second = again(d, 0.2)
    late(d, first, first.amount, 0.0)
    assert d.g.calls.out is not None and d.g.calls.out.serial == second.call
    d.now += 0.001
    for customer in (2, 3):
        for _ in range(8):
            d.ask(customer=customer, spread=3)
    assert not of(Count, d.log)


def test_a_late_total_of_a_name_that_is_no_longer_in_use_is_no_reading() -> None:
    d = drive(start=1019.9)  # the name's life ends at 1020
    first = busy(d)
    lost(d, first)
    d.now = 1020.05
    d.log.clear()
    second = again(d, 0.0)
    assert second.name != first.name
    c = d.g.customers[1]
    before = (c.level, c.total, c.read_at, len(c.calls))
    late(d, first, 500.0, 0.0)
    assert (c.level, c.total, c.read_at, len(c.calls)) == before
    lost(d, second)
    late(d, second, second.amount)
    assert c.total == second.amount and c.others == 0


def test_a_late_total_for_a_customer_that_was_forgotten_and_came_back_is_no_reading() -> None:
    d = drive()
    call = busy(d)
    lost(d, call)
    del d.g.customers[1]
    late(d, call, 30.0)
    d.ask(spread=3)
    late(d, call, 30.0)
    assert d.g.customers[1].total == 0 and d.g.customers[1].read_at < 0


def test_a_late_total_below_what_is_known_says_that_the_counter_came_back_empty() -> None:
    d = drive()
    first = busy(d)
    d.do(Counted(first.name, "ok", first.amount + 30, 0.001))
    c = d.g.customers[1]
    read_at = c.read_at
    second = again(d)
    lost(d, second)
    late(d, second, second.amount)
    assert c.read_at == read_at and c.total == second.amount  # no reading, and the next one starts from it
    third = again(d)
    lost(d, third)
    late(d, third, second.amount + third.amount)
    assert c.read_at > read_at and c.total == second.amount + third.amount


def test_what_is_turned_away_late_is_told_again() -> None:
    d = drive()
    call = busy(d)
    lost(d, call)
    c = d.g.customers[1]
    before, gap = c.unsaid, d.g.calls.gap
    d.now += 0.02
    d.do(Total(call.call, "full", 0.0, 0.05))
    assert c.unsaid == before + call.amount and not c.calls
    assert d.g.calls.gap == gap  # it was slowed down for the time-out already


def test_a_plan_that_changes_while_a_total_is_on_its_way_costs_nothing() -> None:
    """The rate was the old one up to the call, whenever its total comes."""
    levels = []
    for moved_first in (False, True):
        d = drive()
        first = busy(d)
        d.do(Counted(first.name, "ok", first.amount, 0.0))
        call = again(d)
        lost(d, call)
        change = PlanFigures([PlanSpec("gold", rate=40.0, burst=20.0)])
        if moved_first:
            d.do(change)
        d.do(Total(call.call, "ok", first.amount + call.amount + 4.0, WAIT))
        if not moved_first:
            d.do(change)
        levels.append(d.g.customers[1].level)
    assert levels[0] == pytest.approx(levels[1])


class Far:
    """A counter so far away, that serves so many calls a second in turn; `silent` while it takes and never answers."""

    def __init__(self, way: float, each: float = 0.001) -> None:
        self.way, self.each, self.free, self.silent = way, each, 0.0, False
        self.totals: dict[int, float] = {}
        self.due = deque[tuple[float, float, Count, float]]()  # answer's time, sending's, call, total
        self.calls = self.told = 0

    def take(self, now: float, call: Count) -> None:
        self.calls += 1
        if not self.silent:
            self.free = max(self.free, now + self.way / 2) + self.each
            self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
            self.due.append((self.free + self.way / 2, now, call, self.totals[call.name]))


def days(d: Drive, counter: Far, seconds: float) -> None:
    """Firms that all have something to tell, in steps of 5 ms of virtual time."""
    ended: set[int] = set()
    out: list[tuple[float, Count]] = []
    beat = d.now
    for step in range(round(seconds / 0.005)):
        d.now += 0.005
        d.log.clear()
        while counter.due and counter.due[0][0] <= d.now:
            _, sent, call, total = counter.due.popleft()
            if d.now - sent <= WAIT:
                ended.add(call.call)
                d.do(Counted(call.name, "ok", total, d.now - sent))
            else:
                counter.told += 1
                d.do(Total(call.call, "ok", total, d.now - sent))
        for sent, call in list(out):
            if call.call not in ended and d.now - sent >= WAIT:
                ended.add(call.call)
                d.do(Counted(call.name, "timeout", 0.0, WAIT))
        out = [(sent, call) for sent, call in out if call.call not in ended]
        for send in of(Send, d.ask(customer=step % 40, spread=3, units=2.0)):
            d.do(Outcome(send.id, send.server, 0, "ok", 0.05, closed=True))
        if d.now >= beat + 0.1:
            beat = d.now
            d.do(Timer(d.g.token))
        for count in of(Count, d.log):
            counter.take(d.now, count)
            out.append((d.now, count))


def test_a_far_and_idle_counter_is_asked_as_often_as_a_near_one() -> None:
    """It was asked ever less often, down to 1.6 calls a second, though it answered every call."""
    made = {}
    for way in (0.004, 0.06):
        d, counter = drive(), Far(way)
        days(d, counter, 8.0)
        made[way] = counter.calls
        known = [c for c in d.g.customers.values() if d.now - c.read_at <= 3.0]
        assert len(known) > 30
    assert made[0.06] > made[0.004] * 0.5 and made[0.06] > 60


def test_a_counter_whose_latency_rises_is_asked_less_often_near_or_far() -> None:
    for way in (0.004, 0.06):
        d, counter = drive(), Far(way)
        days(d, counter, 4.0)
        quick = d.g.calls.gap
        counter.free = d.now + 60.0  # others' calls: the queue there is long, and grows as fast as it is served
        for _ in range(12):
            counter.free = max(counter.free, d.now) - counter.free + d.now + 0.05 + way / 2
            days(d, counter, 0.1)
        assert d.g.calls.gap > 2 * quick


def test_a_counter_that_falls_silent_is_asked_less_often_near_or_far_and_found_again() -> None:
    for way in (0.004, 0.06):
        d, counter = drive(), Far(way)
        days(d, counter, 4.0)
        quick, made = d.g.calls.gap, counter.calls
        counter.silent = True
        days(d, counter, 6.0)
        assert d.g.calls.gap == 0.6 > 4 * quick and counter.calls - made < 20
        counter.silent = False
        days(d, counter, 6.0)
        assert d.g.calls.gap < 0.2


def test_a_counter_that_moves_farther_away_is_asked_as_often_as_before_within_seconds() -> None:
    d, counter = drive(), Far(0.004)
    days(d, counter, 4.0)
    counter.way = 0.08
    days(d, counter, 16.0)
    assert d.g.calls.gap < 0.12


def test_calls_whose_answers_never_come_are_not_kept_without_bound() -> None:
    d, counter = drive(), Far(0.004)
    counter.silent = True
    days(d, counter, 400.0)
    assert len(d.g.calls.late) <= 256 and all(len(c.calls) < 100 for c in d.g.customers.values())


def heard(r: Rig) -> list[tuple[str, int, str, float]]:
    client = r.daemon.counter
    assert client is not None
    told: list[tuple[str, int, str, float]] = []

    def tell(e: Counted | Total) -> None:
        told.append(
            ("end", e.name, e.status, e.total) if isinstance(e, Counted) else ("total", e.call, e.status, e.total)
        )

    client.on_event = tell
    return told


def test_late_answers_on_the_wire_go_to_their_calls_in_order_once_each() -> None:
    with rig(counter=True) as r:
        told, client = heard(r), r.daemon.counter
        assert client is not None
        r.freeze()
        client.add(5, 1, 4.0, 11)
        wire = r.counter.accept()
        wire.until(b"4000\r\n")
        r.step(0.04)
        client.add(5, 2, 4.0, 12)
        wire.until(b"4000\r\n")
        wire.send(b"$1\r\n1\r\n")  # the late one, while the second is out under the same name
        r.until(lambda: len(told) == 2)
        assert told == [("end", 5, "timeout", 0.0), ("total", 11, "ok", 1.0)]
        r.step(0.04)
        client.add(6, 3, 4.0, 13)
        wire.until(b"4000\r\n")
        wire.send(b"-BUSY\r\n$1\r\n7\r\n")
        r.until(lambda: len(told) == 5)
        assert told[2:] == [("end", 5, "timeout", 0.0), ("total", 12, "full", 0.0), ("end", 6, "ok", 7.0)]
        assert r.count("count_late") == 2


def test_no_total_is_told_of_calls_that_are_lost_with_their_connection() -> None:
    with rig(counter=True) as r:
        told, client = heard(r), r.daemon.counter
        assert client is not None
        r.freeze()
        client.add(5, 1, 4.0, 11)
        wire = r.counter.accept()
        wire.until(b"4000\r\n")
        r.step(0.04)
        wire.reset()
        r.until(lambda: client._connection is None)
        client.add(5, 2, 4.0, 12)
        wire = r.counter.accept()
        wire.until(b"4000\r\n")
        wire.send(b"$1\r\n2\r\n")
        r.until(lambda: len(told) == 2)
        assert told == [("end", 5, "timeout", 0.0), ("end", 5, "ok", 2.0)] and r.count("count_late") == 0


def test_leases_hear_of_ends_alone() -> None:
    """A late total would be taken for the answer to the call that is out under the same name."""
    heard_of: list[Counted | Total] = []

    class Leases:
        counted = heard_of.append

    with rig(counter=True) as r:
        r.daemon.ingress.leases = Leases()  # type: ignore[assignment]
        r.daemon.ingress.counted(end := Counted(5, "timeout"))
        r.daemon.ingress.counted(Total(0, "ok", 3.0, 0.05))
        r.daemon.ingress.leases = None
    assert heard_of == [end]


def test_an_ingress_knows_a_firm_by_a_counter_that_only_answers_late() -> None:
    """The whole way: the call times out, its total comes, and the store of the firm is put right by it."""
    told = copy.deepcopy(SETTINGS)
    told["Extra"] = {"MayCount": True, "CountWait": WAIT, "MostUnits": 8}
    with rig(counter=True, settings={**told, "NInstances": 3}) as r:
        r.freeze()
        gateway = r.daemon.ingress.gateway
        clients = [r.ask(77, more="X-Weight: units=1,spread=3,first=0\r\n", ident=n) for n in range(1, 9)]
        r.until(lambda: r.count("accepted") == len(clients) and r.count("counts") == 1)
        wire = r.counter.accept()
        wire.until(b"60000\r\n")
        (c,) = gateway.customers.values()
        (call,) = c.calls
        assert call.amount > 0 and c.read_at < 0
        r.step(0.035)
        assert r.count("count_timeout") == 1 and c.read_at < 0 and c.calls == [call]
        r.step(0.02)
        wire.send(b"$2\r\n40\r\n")
        r.until(lambda: r.count("count_late") == 1)
        assert c.read_at == call.at and c.total == 40.0 and c.others > 0 and not c.calls
