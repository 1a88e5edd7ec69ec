"""What a supervisor decides: descriptions, one instance's life, back-off, rolling restarts, shares, log lines."""

from __future__ import annotations

import random
import signal
from fractions import Fraction
from math import ceil, inf
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.address import ConfigError
from brackenpulley.fleet import notify
from brackenpulley.fleet.backoff import Backoff, RestartPolicy
from brackenpulley.fleet.cold import REPORT_LIFETIME_SECONDS, STARTUP_SECONDS, IngressCountEstimate
from brackenpulley.fleet.instance import (
    CRASHED,
    DOWN,
    DRAINING,
    DUE,
    READY,
    STARTING,
    STOPPING,
    WAITING,
    Drain,
    Instance,
    Signal,
    Times,
)
from brackenpulley.fleet.lines import Backlog, LineHistory, Splitter, add_instance_fields
from brackenpulley.fleet.rolling import RollingRestart, space_out
from brackenpulley.fleet.sharing import LEASE_MARGIN_SECONDS, CountLease, Sharing
from brackenpulley.fleet.spec import decode
from brackenpulley.health.measurements import LAG_WINDOW_SECONDS, LoopLag, Measurements, Thresholds

GOOD: dict[str, Any] = {
    "fleet": {"name": "hall", "run": "/run/hall", "config": "c.json", "listen": "127.0.0.1:9100-9103", "instances": 3}
}
TIMES, RESTART_POLICY = Times(10.0, 5.0, 1.0, 4.0), RestartPolicy(0.5, 8.0, 0.5, 3, 60.0)


def test_a_description_gives_each_instance_an_address() -> None:
    spec = decode(GOOD)
    assert spec.parse_listen_addresses() == [("127.0.0.1", port) for port in (9100, 9101, 9102, 9103)]
    assert spec.control == "/run/hall/supervisor.sock"


@pytest.mark.parametrize(
    "table, key, value, said",
    [
        ("fleet", "instances", 5, "fleet.instances: 5, and fleet.listen has 4 addresses"),
        ("fleet", "instances", 0, "fleet.instances: Expected `int` >= 1"),
        ("fleet", "instance", 3, "fleet.instance: no such field"),
        ("fleet", "run", "hall", "fleet.run: 'hall' is no absolute path of at most 80 bytes"),
        ("fleet", "listen", "127.0.0.1:9103-9100", "fleet.listen: '127.0.0.1:9103-9100' is no range"),
        ("fleet", "listen", ["127.0.0.1:1", "host:2"], "fleet.listen[1]: 'host:2' is no address:port"),
        ("fleet", "listen", ["127.0.0.1:1"] * 3, "fleet.listen: an address twice"),
        ("fleet", "members", "127.0.0.1:9300", "fleet.instances: 3, and fleet.members has 1 addresses"),
        ("fleet", "part", 0, "fleet.part: Expected `float` > 0.0"),
        ("restart", "jitter", 1.5, "restart.jitter: Expected `float` <= 1.0"),
        ("start", "ready_s", "soon", "start.ready_s: Expected `float`, got `str`"),
        ("environment", "NOTIFY_SOCKET", "/x", "environment.NOTIFY_SOCKET: set by the supervisor itself"),
    ],
)
def test_a_wrong_description_is_one_line_that_names_the_field(table: str, key: str, value: Any, said: str) -> None:
    raw = {**GOOD, table: {**GOOD.get(table, {}), key: value}}
    with pytest.raises(ConfigError) as error:
        decode(raw)
    assert str(error.value).startswith(said)


# One instance.


def started(now: float = 0.0) -> Instance:
    one = Instance(0, TIMES, RESTART_POLICY, random.Random(1))
    one.start(now)
    one.record_spawn(now, 100)
    return one


def ready(now: float = 0.0) -> Instance:
    one = started(now)
    one.record_notification(now, {"READY": "1"})
    one.record_probe(now, True)
    return one


def test_ready_needs_the_datagram_and_the_answer() -> None:
    one = started()
    one.record_probe(1.0, True)
    assert one.state == STARTING  # /ready alone may be another program at its address
    one.record_notification(1.0, {"READY": "1"})
    assert one.state == STARTING
    one.record_probe(1.1, True)
    assert one.state == READY


def test_a_start_that_never_gets_ready_is_killed_and_counts_as_a_failure() -> None:
    one = started()
    assert one.tick(9.9) == []
    assert one.tick(10.0) == [Signal(signal.SIGKILL, "not ready within 10 s")]
    assert one.tick(11.0) == []
    one.record_end(11.0, "SIGKILL")
    assert (one.state, one.reason) == (WAITING, "not ready within 10 s")


def test_silence_of_the_watchdog_kills_and_a_sign_puts_it_off() -> None:
    one = ready()
    one.record_notification(3.0, {"WATCHDOG": "1"})
    assert one.next_tick() == 7.0
    assert one.tick(6.9) == []
    assert one.tick(7.0) == [Signal(signal.SIGKILL, "no life sign for 4 s")]
    one.record_end(7.1, "SIGKILL")
    assert one.state == WAITING


def test_unready_is_not_dead() -> None:
    one = ready()
    for n in range(3):
        assert one.state == READY
        one.record_probe(1.0 + n, False)
    assert one.state == STARTING
    for n in range(100):  # for as long as it lives it is left alone
        one.record_notification(4.0 + n, {"WATCHDOG": "1"})
        assert one.tick(4.0 + n) == []
    one.record_probe(200.0, True)
    assert one.state == READY


def test_stop_drains_then_terms_then_kills() -> None:
    one = ready()
    assert one.stop(5.0) == [Drain()]
    assert one.state == DRAINING
    assert one.tick(5.9) == []
    assert one.tick(6.0) == [Signal(signal.SIGTERM, "stop")]
    assert one.state == STOPPING
    assert one.tick(11.0) == [Signal(signal.SIGKILL, "not gone 5 s after SIGTERM")]
    one.record_end(11.1, "SIGKILL")
    assert one.state == DOWN


def test_restart_ends_in_a_new_process_and_stop_after_it_does_not() -> None:
    one = ready()
    one.restart(1.0)
    one.tick(2.0)
    one.record_end(2.5, "exit 0")
    assert one.state == DUE
    one = ready()
    one.restart(1.0)
    one.stop(1.5)
    one.tick(2.0)
    one.record_end(2.5, "exit 0")
    assert one.state == DOWN


def test_a_crash_loop_is_given_up_until_the_operator_starts_it() -> None:
    one = started()
    for n in range(2):
        one.record_end(float(n), "exit 2")
        assert one.state == WAITING
        one.tick(n + 0.99)
        assert one.state == DUE
        one.record_spawn(n + 0.99, 101 + n)
    one.record_end(3.0, "exit 2")
    assert one.state == CRASHED
    assert one.next_tick() == inf
    one.start(100.0)
    assert one.state == DUE
    one.record_spawn(100.0, 200)
    one.record_end(100.1, "exit 2")
    assert one.state == WAITING


@given(st.integers(0, 2**32), st.lists(st.floats(0.0, 59.0), max_size=80))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_back_off_doubles_within_its_jitter_and_stays_under_the_longest(seed: int, lives: list[float]) -> None:
    backoff, now = Backoff(RestartPolicy(0.5, 8.0, 0.5, 1000, 60.0), random.Random(seed)), 0.0
    for row, lived in enumerate(lives):
        wait = backoff.record_end(now, lived)
        full = min(8.0, 0.5 * 2**row)
        assert wait is not None and full / 2 <= wait <= full
        now += lived + wait
    backoff.record_end(now, 60.0)
    assert backoff.consecutive_ends == 1


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["start", "stop", "restart", "ended", "READY", "sign", "yes", "no", "tick", "late"]),
        st.floats(0.0, 3.0),
    ),
    max_size=60,
)


def operate(one: Instance, what: str, now: float) -> list[Any] | None:
    if what in ("tick", "late"):
        return one.tick(now + 100 * (what == "late"))
    if what in ("start", "stop", "restart"):
        return getattr(one, what)(now)
    if one.pid:
        {
            "ended": lambda: one.record_end(now, "exit 1"),
            "READY": lambda: one.record_notification(now, {"READY": "1"}),
            "sign": lambda: one.record_notification(now, {"WATCHDOG": "1"}),
            "yes": lambda: one.record_probe(now, True),
            "no": lambda: one.record_probe(now, False),
        }[what]()
    return None


@given(STEPS)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_any_order_leaves_no_process_without_a_way_out(steps: list[tuple[str, float]]) -> None:
    """Where a process runs, either its end is waited for with a time set, or it is ready and watched; where none runs
    nothing is signalled. A stopped one, once its time is over, has been asked to end."""
    one, now, pid = Instance(0, TIMES, RESTART_POLICY, random.Random(1)), 0.0, 100
    for what, pause in steps:
        now += pause
        done = operate(one, what, now)
        signals = [d for d in done or [] if isinstance(d, Signal)]
        assert not signals or one.pid
        if one.state == DUE:
            pid += 1
            one.record_spawn(now, pid)
        assert (one.pid > 0) == (one.state in (STARTING, READY, DRAINING, STOPPING))
        if one.state in (DRAINING, STOPPING, WAITING) and not one._kill_reason:
            assert one.next_tick() < inf
        if one.state == STARTING and not one._kill_reason:
            assert one.next_tick() < inf or one.ready_at > -inf


# Rolling restarts.


def test_rolling_goes_on_only_when_the_last_ones_are_ready_and_noticed() -> None:
    fleet = {n: ready() for n in range(5)}
    roll = RollingRestart(list(range(5)), 2, 1.0, 0.0)
    assert roll.step(0.0, fleet.__getitem__) == [0, 1]
    for n in (0, 1):
        fleet[n].restart(0.0)
        fleet[n].tick(1.0)
        fleet[n].record_end(1.5, "exit 0")
        fleet[n].record_spawn(1.5, 300 + n)
    assert roll.step(2.0, fleet.__getitem__) == []
    fleet[0].record_notification(2.0, {"READY": "1"})
    fleet[0].record_probe(2.0, True)
    assert roll.step(2.5, fleet.__getitem__) == []  # the front may not have noticed
    assert roll.step(3.0, fleet.__getitem__) == [2]
    assert roll.restarted == [0]


def test_rolling_stops_at_the_first_failure_and_says_what_is_left() -> None:
    fleet = {n: ready() for n in range(4)}
    roll = RollingRestart(list(range(4)), 1, 1.0, 0.0)
    assert roll.step(0.0, fleet.__getitem__) == [0]
    fleet[0].restart(0.0)
    fleet[0].tick(1.0)
    fleet[0].record_end(1.5, "exit 0")
    fleet[0].record_spawn(1.5, 300)
    fleet[0].record_end(1.6, "exit 2: listen: taken")
    assert roll.step(2.0, fleet.__getitem__) == []
    assert roll.is_over and roll.remaining == [1, 2, 3]
    assert roll.failure == "instance 0: exit 2: listen: taken"


@given(st.integers(1, 100), st.integers(1, 30))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_those_away_together_are_far_apart(count: int, at_once: int) -> None:
    order = space_out(list(range(count)), at_once)
    assert sorted(order) == list(range(count))
    stride = max(1, count // at_once)
    for start in range(len(order)):  # whichever ones of the order are under way
        away = sorted(order[start : start + at_once])
        assert all(b - a >= stride - 1 for a, b in zip(away, away[1:], strict=False))


# Shares.


class Group:
    """A supervisor's arithmetic and the instances' own, with a net between them that loses, doubles and delays."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.now, self.serial = rng, 0.0, 0
        self.sharing = Sharing(9.0)
        self.living: dict[int, CountLease] = {}
        self.net: list[tuple[str, int, CountLease, Any]] = []
        self.next = 0

    def check(self) -> None:
        used = sum((Fraction(1, lease.get_count(self.now)) for lease in self.living.values()), Fraction(0))
        assert used <= 1, (used, self.now)

    def start(self, target: int) -> None:
        if self.sharing.has_room(self.now, target):
            self.living[self.next] = CountLease(target)
            self.sharing.record_start(self.next, target)
            self.next += 1

    def end(self) -> None:
        if self.living:
            number = self.rng.choice(sorted(self.living))
            del self.living[number]
            self.sharing.record_end(number)

    def tell(self, target: int) -> None:
        for word in self.sharing.prepare_updates(self.now, target):
            for _ in range(self.rng.choice((0, 1, 1, 1, 2))):
                self.net.append(("word", word.number, self.living[word.number], word))

    def arrive(self) -> None:
        if not self.net:
            return
        kind, number, lease, what = self.net.pop(self.rng.randrange(len(self.net)))
        if self.living.get(number) is not lease:
            return
        if kind == "answer":
            self.sharing.record_acknowledgement(number, what)
        elif lease.update(what.serial, what.count, what.until):
            self.net += [("answer", number, lease, what.serial)] * self.rng.choice((0, 1, 1))

    def successor(self) -> None:
        """The supervisor is killed; the next one asks those that live, or takes them to use the whole."""
        self.serial += 1_000_000
        self.sharing = Sharing(9.0, self.serial)
        for number, lease in self.living.items():
            if self.rng.random() < 0.8:
                lease.fence(self.serial)
                self.sharing.record_adoption(number, lease.floor, lease.get_count(self.now), lease.until)
            else:
                self.sharing.record_adoption(number, 1, 1, 0.0)


@given(
    st.integers(0, 2**32),
    st.lists(
        st.sampled_from(
            [
                "start",
                "start",
                "end",
                "tell",
                "tell",
                "tell",
                "arrive",
                "arrive",
                "arrive",
                "arrive",
                "wait",
                "long",
                "heir",
            ]
        ),
        min_size=30,
        max_size=150,
    ),
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_the_parts_never_pass_the_whole_whatever_is_lost_late_or_killed(seed: int, steps: list[str]) -> None:
    group = Group(random.Random(seed))
    for step in steps:
        target = max(1, len(group.living) + group.rng.choice((0, 0, 1, 2)))
        if step == "wait":
            group.now += group.rng.random() * 2
        elif step == "long":
            group.now += group.rng.random() * 15
        elif step in ("start", "tell"):
            getattr(group, step)(target)
        else:
            {"end": group.end, "arrive": group.arrive, "heir": group.successor}[step]()
        group.check()


def test_a_word_from_before_the_last_supervisor_is_stale() -> None:
    lease = CountLease(4)
    assert lease.update(1_000_001, 8, 0.0)
    assert not lease.update(5, 2, inf)
    assert lease.get_count(0.0) == 8


def test_survivors_widen_after_an_end_and_narrow_before_a_start() -> None:
    group = Group(random.Random(1))
    group.rng.choice = lambda row: 1 if row in ((0, 1, 1, 1, 2), (0, 1, 1)) else row[0]  # type: ignore
    for _ in range(4):
        group.start(4)
    group.end()
    group.end()
    for _ in range(3):  # one cannot widen to a half before the others' words are known to fit beside it
        group.tell(2)
        for _ in range(10):
            group.arrive()
    assert [lease.get_count(group.now) for lease in group.living.values()] == [2, 2]
    group.now += 9.1  # without a newer word
    assert [lease.get_count(group.now) for lease in group.living.values()] == [4, 4]
    group.now += LEASE_MARGIN_SECONDS
    group.tell(2)
    assert not group.sharing.has_room(group.now, 3)
    for _ in range(3):
        group.tell(3)
        for _ in range(10):
            group.arrive()
    assert group.sharing.has_room(group.now, 3)


def test_a_silent_instance_keeps_its_part_for_ever() -> None:
    sharing = Sharing(9.0)
    sharing.record_start(0, 2)
    sharing.record_start(1, 2)
    for now in range(0, 1000, 7):
        assert all(word.number >= 0 and word.count >= 2 for word in sharing.prepare_updates(float(now), 1))
    sharing.record_end(1)
    assert [word.count for word in sharing.prepare_updates(1000.0, 1)] == [1]


# Cold servers.


@pytest.mark.parametrize(
    "now, told, report, expected",
    [
        (0.0, 3, None, 40),  # young: as large as it may be
        (STARTUP_SECONDS + 1, 3, None, 3),
        (STARTUP_SECONDS + 1, 20, None, 20),
        (STARTUP_SECONDS + 1, 3, (12.0, 2), 6),  # what the server says
        (STARTUP_SECONDS + 1, 3, (12.0, 0), 12),
        (STARTUP_SECONDS + REPORT_LIFETIME_SECONDS + 2, 3, (12.0, 2), 3),  # it said that too long ago
    ],
)
def test_a_cold_server_is_divided_by_the_most_that_anything_says(
    now: float, told: int, report: tuple[float, int] | None, expected: int
) -> None:
    estimate = IngressCountEstimate(0.0, 40)
    if report:
        estimate.record_report(STARTUP_SECONDS + 1, *report)
    assert estimate.get_count(now, told) == expected


@given(st.lists(st.tuples(st.floats(0.0, 5.0), st.integers(0, 50), st.integers(0, 5)), min_size=1, max_size=60))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_reports_count_for_their_time_and_no_longer(rows: list[tuple[float, int, int]]) -> None:
    estimate, now = IngressCountEstimate(-STARTUP_SECONDS - 1), 0.0
    seen: list[tuple[float, int]] = []
    for pause, in_hand, own in rows:
        now += pause
        estimate.record_report(now, in_hand, own)
        seen.append((now, ceil(in_hand / max(1, own))))
        assert estimate.get_count(now, 1) == max(1, *(n for at, n in seen if at >= now - REPORT_LIFETIME_SECONDS))


# Datagrams, lines, health.


@pytest.mark.parametrize(
    "data, fields",
    [
        (b"READY=1\nSTATUS=well; 3 of 4\n", {"READY": "1", "STATUS": "well; 3 of 4"}),
        (b"WATCHDOG=1\nnonsense\nA=b=c", {"WATCHDOG": "1", "A": "b=c"}),
        (b"", {}),
        (b"\xff\xfe=1", {"\ufffd\ufffd": "1"}),
    ],
)
def test_notices_are_read_as_systemd_reads_them(data: bytes, fields: dict[str, str]) -> None:
    assert notify.parse_fields(data) == fields


def test_lines_are_cut_joined_and_named() -> None:
    splitter = Splitter()
    assert splitter.feed(b"timestamp=1 event=a\ntimest") == ["timestamp=1 event=a"]
    assert splitter.feed(b"amp=2 event=b\n") == ["timestamp=2 event=b"]
    found = splitter.feed(b"x" * 20_000 + b"\nnext\n")
    assert found == ["x" * 8192, "next"]
    assert add_instance_fields("timestamp=1 event=a", "now", 3, 77) == "timestamp=1 event=a instance=3 pid=77"
    assert add_instance_fields("Traceback (x):", "now", 3, 77) == (
        'timestamp=now level=info event=output text="Traceback (x):" instance=3 pid=77'
    )


def test_a_reader_that_does_not_read_costs_a_bounded_place_and_is_told_what_it_missed() -> None:
    backlog = Backlog(1000)
    for n in range(1000):
        backlog.put(f"line {n}")
        assert len(backlog) <= 1100
    out = b""
    while data := backlog.next_chunk():
        backlog.mark_written(min(len(data), 7))
        out += data[:7]
    lines = out.decode().splitlines()
    assert f'level=warning event="log lines dropped" lines={backlog.dropped}' in lines
    assert lines[-1] == "line 999"
    assert all(line.startswith(("line ", "level=")) for line in lines)


def test_the_ring_says_what_it_let_go() -> None:
    history = LineHistory(10)
    for n in range(25):
        history.add(n % 2, str(n))
    lines, missed = history.lines_after(3, 4)
    assert [line.text for line in lines] == ["15", "16", "17", "18"] and missed == 12
    assert [line.text for line in history.last_lines(2, 1)] == ["21", "23"]
    assert history.lines_after(25, 5) == ([], 0)


@given(st.lists(st.tuples(st.floats(0.0, 4.0), st.floats(0.0, 2.0)), min_size=1, max_size=80))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_the_worst_lag_is_that_of_the_window(rows: list[tuple[float, float]]) -> None:
    lag, now = LoopLag(), 0.0
    seen: list[tuple[float, float]] = []
    for pause, late in rows:
        now += pause
        lag.record(now, late)
        seen.append((now, late))
        assert lag.max_lag(now) == max(late for at, late in seen if at >= now - LAG_WINDOW_SECONDS)


@pytest.mark.parametrize(
    "change, trouble",
    [
        ({}, []),
        ({"lag_seconds": 0.6}, ["the loop was held for 0.60 s"]),
        ({"descriptors": 240}, ["240 of 256 descriptors"]),
        ({"memory_mb": 31.0}, ["31 of 32 MB"]),
        ({"list_age_seconds": 11.0}, ["the list is 11 s old"]),
        ({"list_age_seconds": None}, ["no list of servers yet"]),
    ],
)
def test_troubles_are_named(change: dict[str, Any], trouble: list[str]) -> None:
    good = {
        "lag_seconds": 0.01,
        "descriptors": 30,
        "max_descriptors": 256,
        "memory_mb": 20.0,
        "max_memory_mb": 32.0,
        "list_age_seconds": 1.0,
    }
    assert Measurements(**{**good, **change}).describe_problems(Thresholds()) == trouble
