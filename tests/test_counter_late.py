"""Late replies of the counter: a distant, overloaded or silent counter; duplicates; a new name; a lost connection."""

from __future__ import annotations

import copy
from collections import deque

import pytest

from brackenpulley.policy.interface import (
    AddToCounter,
    CounterResult,
    LateCounterResult,
    Outcome,
    PlansChanged,
    PlanSpec,
    Send,
    TimerFired,
)

from .rig import Rig, rig
from .test_link import SETTINGS
from .util import Driver, select

CALL_TIMEOUT_SECONDS = 0.03
START_SECONDS = 1005.0  # far enough from the expiry of a counter name that none expires within a short test


def make_drive(start: float = START_SECONDS) -> Driver:
    drive = Driver(servers=20, start=start, counter_timeout=CALL_TIMEOUT_SECONDS)
    drive.decision_module.started_at = start
    return drive


def make_first_call(drive: Driver, count: int = 8) -> AddToCounter:
    """Use so much of a firm's quota that the counter is called, and return the call."""
    for _ in range(count):
        drive.send_message(spread=3)
    (call,) = select(AddToCounter, drive.actions)
    drive.actions.clear()
    return call


def make_next_call(drive: Driver, after: float = 1.0) -> AddToCounter:
    """Return the next call, after `after` seconds and a few more messages."""
    drive.now += after
    drive.actions.clear()
    for request_number in range(20):
        if request_number >= 4 and select(AddToCounter, drive.actions):
            break
        for send in select(Send, drive.send_message(spread=3)):
            drive.handle(Outcome(send.id, send.server, 0, "ok", 0.05, closed=True))
    for _ in range(40):
        if not select(AddToCounter, drive.actions):
            drive.now += 0.05
            drive.handle(TimerFired(drive.decision_module.timer_token))
    (call,) = select(AddToCounter, drive.actions)
    drive.actions.clear()
    return call


def time_out(drive: Driver, call: AddToCounter) -> None:
    drive.now += CALL_TIMEOUT_SECONDS
    drive.handle(CounterResult(call.name, "timeout", 0.0, CALL_TIMEOUT_SECONDS))


def deliver_late(drive: Driver, call: AddToCounter, total: float, after: float = 0.025) -> None:
    drive.now += after
    drive.handle(LateCounterResult(call.call, "ok", total, CALL_TIMEOUT_SECONDS + after))


def test_a_late_total_is_a_reading_as_of_the_time_its_call_was_sent() -> None:
    """Guards against discarding late totals: where 376 of 377 calls timed out first, the level was never corrected."""
    drive = make_drive()
    call, sent = make_first_call(drive), drive.now
    time_out(drive, call)
    firm = drive.decision_module.firms[1]
    before = firm.level
    deliver_late(drive, call, call.amount + 2.0)
    assert (firm.reading_at, firm.counter_total, firm.pending_calls) == (sent, call.amount + 2.0, [])
    assert firm.level > before + 5  # refilled at the whole known rate, no longer at this ingress's share alone


def test_a_call_records_the_units_granted_before_it() -> None:
    """Guards against a double grant: units not recorded by the call would be granted again by its reading."""
    drive = make_drive()
    make_first_call(drive)
    firm = drive.decision_module.firms[1]
    firm.unreported, at = 5.0, firm.filled_at
    drive.decision_module.firms.set_due(firm, True)
    drive.now += 0.7
    (call,) = select(AddToCounter, drive.handle(TimerFired(drive.decision_module.timer_token)))
    assert firm.filled_at == drive.now > at and firm.pending_calls[-1].serial == call.call
    assert firm.pending_calls[-1].granted == firm.granted > 0


@pytest.mark.parametrize("after", [0.025, 0.4])
def test_units_granted_and_used_while_a_total_is_in_flight_are_kept(after: float) -> None:
    """A total leads to the same level in time or late, since it is a reading as of the time of its call."""
    levels = []
    for round_trip in (0.0, after):
        drive = make_drive()
        first = make_first_call(drive)
        drive.handle(CounterResult(first.name, "ok", first.amount, 0.0))
        call = make_next_call(drive)
        if not round_trip:
            drive.handle(CounterResult(call.name, "ok", first.amount + call.amount + 6.0, 0.0))
        drive.now += CALL_TIMEOUT_SECONDS
        if round_trip:
            drive.handle(CounterResult(call.name, "timeout", 0.0, CALL_TIMEOUT_SECONDS))
        drive.send_message(spread=3, units=2.0)  # own use since the call, not use by others
        drive.now += after
        drive.decision_module.fill_bucket(drive.now, firm := drive.decision_module.firms[1])
        if round_trip:
            drive.handle(
                LateCounterResult(call.call, "ok", first.amount + call.amount + 6.0, CALL_TIMEOUT_SECONDS + after)
            )
        levels.append((firm.level, firm.reading_at, firm.counter_total))
    (prompt, *same), (after_all, *also) = levels
    assert same == also
    # The tolerance is the refill in between, whose rate differed.
    assert after_all == pytest.approx(prompt, abs=10.0 * (CALL_TIMEOUT_SECONDS + after))


def test_totals_with_a_long_round_trip_credit_at_most_the_rate_and_lose_nothing() -> None:
    """A total counted as of its arrival, not of its call, would credit the round trip of each call again."""
    drive = make_drive(start=1000.0 * 30)
    call, at = make_first_call(drive), drive.now
    total = call.amount
    time_out(drive, call)
    deliver_late(drive, call, total)
    firm = drive.decision_module.firms[1]
    for _ in range(12):
        level = firm.level
        call = make_next_call(drive, 0.5)
        total += call.amount + 5.0
        sent, used = drive.now, firm.used
        time_out(drive, call)
        deliver_late(drive, call, total, 0.085)
        assert firm.reading_at == sent
        # Refilled for a part of the time since, at the whole rate at most; the others took the rest.
        assert firm.level <= level - (firm.used - used) + 10.0 * (drive.now - at) + 1e-6
        at = sent
    assert -5 <= firm.level <= 20


def test_own_amounts_sent_since_do_not_count_as_use_by_others() -> None:
    drive = make_drive()
    first = make_first_call(drive)
    time_out(drive, first)
    second = make_next_call(drive, 0.2)
    firm = drive.decision_module.firms[1]
    assert second.amount >= 3
    deliver_late(drive, first, first.amount, 0.005)  # while the second one is in flight
    assert (
        firm.others_rate == 0
        and firm.counter_total == first.amount
        and [x.serial for x in firm.pending_calls] == [second.call]
    )
    time_out(drive, second)
    deliver_late(drive, second, first.amount + second.amount)
    assert firm.others_rate == 0 and firm.counter_total == first.amount + second.amount and not firm.pending_calls
    third = make_next_call(drive)
    drive.handle(CounterResult(third.name, "ok", firm.counter_total + third.amount + 4.0, 0.01))
    assert firm.others_rate > 0


def test_a_call_without_a_total_may_have_been_added_or_not() -> None:
    """Its connection broke. In either case no own unit counts as use by others."""
    for added in (True, False):
        drive = make_drive()
        first = make_first_call(drive)
        drive.handle(CounterResult(first.name, "ok", first.amount, 0.001))
        second = make_next_call(drive)
        time_out(drive, second)
        third = make_next_call(drive)
        time_out(drive, third)
        firm = drive.decision_module.firms[1]
        deliver_late(drive, third, first.amount + second.amount * added + third.amount)
        assert firm.others_rate == 0 and not firm.pending_calls and not drive.decision_module.counter_calls.timed_out
        deliver_late(drive, second, first.amount + second.amount)  # out of order, so it is ignored
        assert firm.counter_total == first.amount + second.amount * added + third.amount


def test_a_duplicated_late_reply_counts_once() -> None:
    drive = make_drive()
    call = make_first_call(drive)
    time_out(drive, call)
    deliver_late(drive, call, call.amount + 9.0)
    firm = drive.decision_module.firms[1]
    before = (
        firm.level,
        firm.granted,
        firm.reading_at,
        firm.counter_total,
        firm.others_rate,
        drive.decision_module.counter_calls.interval,
    )
    drive.handle(LateCounterResult(call.call, "ok", call.amount + 9.0, CALL_TIMEOUT_SECONDS + 0.025))
    drive.handle(LateCounterResult(call.call, "ok", call.amount + 30.0, CALL_TIMEOUT_SECONDS + 0.025))
    drive.handle(LateCounterResult(call.call, "full", 0.0, CALL_TIMEOUT_SECONDS + 0.025))
    drive.handle(LateCounterResult(99, "ok", 1.0, 0.1))
    assert (
        firm.level,
        firm.granted,
        firm.reading_at,
        firm.counter_total,
        firm.others_rate,
        drive.decision_module.counter_calls.interval,
    ) == before


def test_a_late_total_does_not_end_the_call_in_flight() -> None:
    """One call is in flight at a time, under the same counter name as the late one."""
    drive = make_drive()
    first = make_first_call(drive)
    time_out(drive, first)
    second = make_next_call(drive, 0.2)
    deliver_late(drive, first, first.amount, 0.0)
    assert (
        drive.decision_module.counter_calls.current is not None
        and drive.decision_module.counter_calls.current.serial == second.call
    )
    drive.now += 0.001
    for customer in (2, 3):
        for _ in range(8):
            drive.send_message(firm=customer, spread=3)
    assert not select(AddToCounter, drive.actions)


def test_a_late_total_of_an_expired_counter_name_is_ignored() -> None:
    drive = make_drive(start=1019.9)  # the counter name expires at 1020
    first = make_first_call(drive)
    time_out(drive, first)
    drive.now = 1020.05
    drive.actions.clear()
    second = make_next_call(drive, 0.0)
    assert second.name != first.name
    firm = drive.decision_module.firms[1]
    before = (firm.level, firm.counter_total, firm.reading_at, len(firm.pending_calls))
    deliver_late(drive, first, 500.0, 0.0)
    assert (firm.level, firm.counter_total, firm.reading_at, len(firm.pending_calls)) == before
    time_out(drive, second)
    deliver_late(drive, second, second.amount)
    assert firm.counter_total == second.amount and firm.others_rate == 0


def test_a_late_total_for_a_firm_that_was_evicted_and_came_back_is_ignored() -> None:
    drive = make_drive()
    call = make_first_call(drive)
    time_out(drive, call)
    del drive.decision_module.firms[1]
    deliver_late(drive, call, 30.0)
    drive.send_message(spread=3)
    deliver_late(drive, call, 30.0)
    assert drive.decision_module.firms[1].counter_total == 0 and drive.decision_module.firms[1].reading_at < 0


def test_a_late_total_below_the_known_one_means_that_the_counter_was_reset() -> None:
    drive = make_drive()
    first = make_first_call(drive)
    drive.handle(CounterResult(first.name, "ok", first.amount + 30, 0.001))
    firm = drive.decision_module.firms[1]
    read_at = firm.reading_at
    second = make_next_call(drive)
    time_out(drive, second)
    deliver_late(drive, second, second.amount)
    assert (
        firm.reading_at == read_at and firm.counter_total == second.amount
    )  # no reading, but the base of the next one
    third = make_next_call(drive)
    time_out(drive, third)
    deliver_late(drive, third, second.amount + third.amount)
    assert firm.reading_at > read_at and firm.counter_total == second.amount + third.amount


def test_an_amount_rejected_late_is_sent_again() -> None:
    drive = make_drive()
    call = make_first_call(drive)
    time_out(drive, call)
    firm = drive.decision_module.firms[1]
    before, gap = firm.unreported, drive.decision_module.counter_calls.interval
    drive.now += 0.02
    drive.handle(LateCounterResult(call.call, "full", 0.0, 0.05))
    assert firm.unreported == before + call.amount and not firm.pending_calls
    assert drive.decision_module.counter_calls.interval == gap  # the time-out has slowed the calls down already


def test_a_plan_change_while_a_total_is_in_flight_costs_nothing() -> None:
    """The old rate applies up to the call, whenever its total comes."""
    levels = []
    for is_plan_first in (False, True):
        drive = make_drive()
        first = make_first_call(drive)
        drive.handle(CounterResult(first.name, "ok", first.amount, 0.0))
        call = make_next_call(drive)
        time_out(drive, call)
        change = PlansChanged([PlanSpec("gold", rate=40.0, burst=20.0)])
        if is_plan_first:
            drive.handle(change)
        drive.handle(LateCounterResult(call.call, "ok", first.amount + call.amount + 4.0, CALL_TIMEOUT_SECONDS))
        if not is_plan_first:
            drive.handle(change)
        levels.append(drive.decision_module.firms[1].level)
    assert levels[0] == pytest.approx(levels[1])


class DistantCounter:
    """A counter with a round trip and a time per call, in seconds, that serves calls in order.

    While `is_silent`, it accepts calls and never replies."""

    def __init__(self, round_trip: float, service_time: float = 0.001) -> None:
        self.round_trip, self.service_time, self.free_at, self.is_silent = round_trip, service_time, 0.0, False
        self.totals: dict[int, float] = {}
        self.pending_replies = deque[tuple[float, float, AddToCounter, float]]()  # (reply due at, sent at, call, total)
        self.calls = self.late_count = 0

    def receive(self, now: float, call: AddToCounter) -> None:
        self.calls += 1
        if not self.is_silent:
            self.free_at = max(self.free_at, now + self.round_trip / 2) + self.service_time
            self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
            self.pending_replies.append((self.free_at + self.round_trip / 2, now, call, self.totals[call.name]))


def run_load(drive: Driver, counter: DistantCounter, seconds: float) -> None:
    """Send messages of 40 firms, all with use to report, in steps of 5 ms of virtual time."""
    ended: set[int] = set()
    out: list[tuple[float, AddToCounter]] = []
    last_timer = drive.now
    for step in range(round(seconds / 0.005)):
        drive.now += 0.005
        drive.actions.clear()
        while counter.pending_replies and counter.pending_replies[0][0] <= drive.now:
            _, sent, call, total = counter.pending_replies.popleft()
            if drive.now - sent <= CALL_TIMEOUT_SECONDS:
                ended.add(call.call)
                drive.handle(CounterResult(call.name, "ok", total, drive.now - sent))
            else:
                counter.late_count += 1
                drive.handle(LateCounterResult(call.call, "ok", total, drive.now - sent))
        for sent, call in list(out):
            if call.call not in ended and drive.now - sent >= CALL_TIMEOUT_SECONDS:
                ended.add(call.call)
                drive.handle(CounterResult(call.name, "timeout", 0.0, CALL_TIMEOUT_SECONDS))
        out = [(sent, call) for sent, call in out if call.call not in ended]
        for send in select(Send, drive.send_message(firm=step % 40, spread=3, units=2.0)):
            drive.handle(Outcome(send.id, send.server, 0, "ok", 0.05, closed=True))
        if drive.now >= last_timer + 0.1:
            last_timer = drive.now
            drive.handle(TimerFired(drive.decision_module.timer_token))
        for count in select(AddToCounter, drive.actions):
            counter.receive(drive.now, count)
            out.append((drive.now, count))


def test_a_distant_idle_counter_is_called_as_often_as_a_near_one() -> None:
    """Guards against backing off for a long round trip alone: 1.6 calls/s were left though all were answered."""
    calls_made = {}
    for round_trip in (0.004, 0.06):
        drive, counter = make_drive(), DistantCounter(round_trip)
        run_load(drive, counter, 8.0)
        calls_made[round_trip] = counter.calls
        known = [firm for firm in drive.decision_module.firms.values() if drive.now - firm.reading_at <= 3.0]
        assert len(known) > 30
    assert calls_made[0.06] > calls_made[0.004] * 0.5 and calls_made[0.06] > 60


def test_a_counter_whose_latency_rises_is_called_less_often_near_or_distant() -> None:
    for round_trip in (0.004, 0.06):
        drive, counter = make_drive(), DistantCounter(round_trip)
        run_load(drive, counter, 4.0)
        gap_before = drive.decision_module.counter_calls.interval
        counter.free_at = drive.now + 60.0  # a long queue of calls by others, which grows as fast as it is served
        for _ in range(12):
            counter.free_at = max(counter.free_at, drive.now) - counter.free_at + drive.now + 0.05 + round_trip / 2
            run_load(drive, counter, 0.1)
        assert drive.decision_module.counter_calls.interval > 2 * gap_before


def test_a_silent_counter_is_called_less_often_and_recovers_near_or_distant() -> None:
    for round_trip in (0.004, 0.06):
        drive, counter = make_drive(), DistantCounter(round_trip)
        run_load(drive, counter, 4.0)
        gap_before, calls_made = drive.decision_module.counter_calls.interval, counter.calls
        counter.is_silent = True
        run_load(drive, counter, 6.0)
        assert drive.decision_module.counter_calls.interval == 0.6 > 4 * gap_before and counter.calls - calls_made < 20
        counter.is_silent = False
        run_load(drive, counter, 6.0)
        assert drive.decision_module.counter_calls.interval < 0.2


def test_the_call_rate_recovers_within_seconds_after_the_round_trip_grows() -> None:
    drive, counter = make_drive(), DistantCounter(0.004)
    run_load(drive, counter, 4.0)
    counter.round_trip = 0.08
    run_load(drive, counter, 16.0)
    assert drive.decision_module.counter_calls.interval < 0.12


def test_the_number_of_calls_without_a_reply_is_bounded() -> None:
    drive, counter = make_drive(), DistantCounter(0.004)
    counter.is_silent = True
    run_load(drive, counter, 400.0)
    assert len(drive.decision_module.counter_calls.timed_out) <= 256 and all(
        len(firm.pending_calls) < 100 for firm in drive.decision_module.firms.values()
    )


def record_events(harness: Rig) -> list[tuple[str, int, str, float]]:
    client = harness.daemon.counter
    assert client is not None
    events: list[tuple[str, int, str, float]] = []

    def record_event(event: CounterResult | LateCounterResult) -> None:
        events.append(
            ("end", event.name, event.status, event.total)
            if isinstance(event, CounterResult)
            else ("total", event.call, event.status, event.total)
        )

    client.on_event = record_event
    return events


def test_late_replies_on_the_wire_are_matched_to_their_calls_in_order_once_each() -> None:
    with rig(counter=True) as harness:
        events, client = record_events(harness), harness.daemon.counter
        assert client is not None
        harness.freeze_clock()
        client.add(5, 1, 4.0, 11)
        wire = harness.counter.accept()
        wire.read_until(b"4000\r\n")
        harness.step_clock(0.04)
        client.add(5, 2, 4.0, 12)
        wire.read_until(b"4000\r\n")
        wire.send(b"$1\r\n1\r\n")  # the late reply, while the second call is in flight under the same name
        harness.run_until(lambda: len(events) == 2)
        assert events == [("end", 5, "timeout", 0.0), ("total", 11, "ok", 1.0)]
        harness.step_clock(0.04)
        client.add(6, 3, 4.0, 13)
        wire.read_until(b"4000\r\n")
        wire.send(b"-BUSY\r\n$1\r\n7\r\n")
        harness.run_until(lambda: len(events) == 5)
        assert events[2:] == [("end", 5, "timeout", 0.0), ("total", 12, "full", 0.0), ("end", 6, "ok", 7.0)]
        assert harness.count("count_late") == 2


def test_calls_lost_with_their_connection_report_no_total() -> None:
    with rig(counter=True) as harness:
        events, client = record_events(harness), harness.daemon.counter
        assert client is not None
        harness.freeze_clock()
        client.add(5, 1, 4.0, 11)
        wire = harness.counter.accept()
        wire.read_until(b"4000\r\n")
        harness.step_clock(0.04)
        wire.reset()
        harness.run_until(lambda: client._connection is None)
        client.add(5, 2, 4.0, 12)
        wire = harness.counter.accept()
        wire.read_until(b"4000\r\n")
        wire.send(b"$1\r\n2\r\n")
        harness.run_until(lambda: len(events) == 2)
        assert events == [("end", 5, "timeout", 0.0), ("end", 5, "ok", 2.0)] and harness.count("count_late") == 0


def test_leases_receive_ends_but_no_totals() -> None:
    """Leases would take a late total for the reply to the call in flight under the same name."""
    received: list[CounterResult | LateCounterResult] = []

    class Leases:
        counted = received.append

    with rig(counter=True) as harness:
        harness.daemon.ingress.leases = Leases()  # type: ignore[assignment]
        harness.daemon.ingress.handle_counter_answer(end := CounterResult(5, "timeout"))
        harness.daemon.ingress.handle_counter_answer(LateCounterResult(0, "ok", 3.0, 0.05))
        harness.daemon.ingress.leases = None
    assert received == [end]


def test_an_ingress_corrects_a_firm_by_a_counter_whose_replies_are_all_late() -> None:
    """End to end: the call times out, its total comes late, and the firm's token bucket is corrected by it."""
    raw_settings = copy.deepcopy(SETTINGS)
    raw_settings["Extra"] = {"MayCount": True, "CountWait": CALL_TIMEOUT_SECONDS, "MostUnits": 8}
    with rig(counter=True, settings={**raw_settings, "NInstances": 3}) as harness:
        harness.freeze_clock()
        decision_module = harness.daemon.ingress.decision_module
        clients = [
            harness.send_request(77, more="X-Weight: units=1,spread=3,first=0\r\n", ident=n) for n in range(1, 9)
        ]
        harness.run_until(lambda: harness.count("accepted") == len(clients) and harness.count("counts") == 1)
        wire = harness.counter.accept()
        wire.read_until(b"60000\r\n")
        (firm,) = decision_module.firms.values()
        (call,) = firm.pending_calls
        assert call.amount > 0 and firm.reading_at < 0
        harness.step_clock(0.035)
        assert harness.count("count_timeout") == 1 and firm.reading_at < 0 and firm.pending_calls == [call]
        harness.step_clock(0.02)
        wire.send(b"$2\r\n40\r\n")
        harness.run_until(lambda: harness.count("count_late") == 1)
        assert (
            firm.reading_at == call.sent_at
            and firm.counter_total == 40.0
            and firm.others_rate > 0
            and not firm.pending_calls
        )
