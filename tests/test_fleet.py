"""Fleet description, instance state machine, back-off, rolling restarts, shares and log lines of a supervisor."""

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

VALID_DESCRIPTION: dict[str, Any] = {
    "fleet": {"name": "hall", "run": "/run/hall", "config": "c.json", "listen": "127.0.0.1:9100-9103", "instances": 3}
}
TIMES, RESTART_POLICY = Times(10.0, 5.0, 1.0, 4.0), RestartPolicy(0.5, 8.0, 0.5, 3, 60.0)


def test_a_description_gives_each_instance_an_address() -> None:
    spec = decode(VALID_DESCRIPTION)
    assert spec.parse_listen_addresses() == [("127.0.0.1", port) for port in (9100, 9101, 9102, 9103)]
    assert spec.control == "/run/hall/supervisor.sock"


@pytest.mark.parametrize(
    "table, key, value, message",
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
def test_an_invalid_description_is_reported_in_one_line_that_names_the_field(
    table: str, key: str, value: Any, message: str
) -> None:
    raw = {**VALID_DESCRIPTION, table: {**VALID_DESCRIPTION.get(table, {}), key: value}}
    with pytest.raises(ConfigError) as error:
        decode(raw)
    assert str(error.value).startswith(message)


# State machine of one instance.


def make_starting_instance(now: float = 0.0) -> Instance:
    instance = Instance(0, TIMES, RESTART_POLICY, random.Random(1))
    instance.start(now)
    instance.record_spawn(now, 100)
    return instance


def make_ready_instance(now: float = 0.0) -> Instance:
    instance = make_starting_instance(now)
    instance.record_notification(now, {"READY": "1"})
    instance.record_probe(now, True)
    return instance


def test_ready_needs_the_notification_and_a_successful_probe() -> None:
    instance = make_starting_instance()
    instance.record_probe(1.0, True)
    assert instance.state == STARTING  # another program may answer /ready at its address
    instance.record_notification(1.0, {"READY": "1"})
    assert instance.state == STARTING
    instance.record_probe(1.1, True)
    assert instance.state == READY


def test_a_start_that_never_becomes_ready_is_killed_and_counts_as_a_failure() -> None:
    instance = make_starting_instance()
    assert instance.tick(9.9) == []
    assert instance.tick(10.0) == [Signal(signal.SIGKILL, "not ready within 10 s")]
    assert instance.tick(11.0) == []
    instance.record_end(11.0, "SIGKILL")
    assert (instance.state, instance.reason) == (WAITING, "not ready within 10 s")


def test_an_instance_is_killed_once_its_watchdog_notifications_stop() -> None:
    instance = make_ready_instance()
    instance.record_notification(3.0, {"WATCHDOG": "1"})
    assert instance.next_tick() == 7.0
    assert instance.tick(6.9) == []
    assert instance.tick(7.0) == [Signal(signal.SIGKILL, "no life sign for 4 s")]
    instance.record_end(7.1, "SIGKILL")
    assert instance.state == WAITING


def test_an_unready_instance_is_not_killed() -> None:
    instance = make_ready_instance()
    for number in range(3):
        assert instance.state == READY
        instance.record_probe(1.0 + number, False)
    assert instance.state == STARTING
    for number in range(100):  # a live process is not killed, however long it is unready
        instance.record_notification(4.0 + number, {"WATCHDOG": "1"})
        assert instance.tick(4.0 + number) == []
    instance.record_probe(200.0, True)
    assert instance.state == READY


def test_stop_drains_then_sends_sigterm_then_sigkill() -> None:
    instance = make_ready_instance()
    assert instance.stop(5.0) == [Drain()]
    assert instance.state == DRAINING
    assert instance.tick(5.9) == []
    assert instance.tick(6.0) == [Signal(signal.SIGTERM, "stop")]
    assert instance.state == STOPPING
    assert instance.tick(11.0) == [Signal(signal.SIGKILL, "not gone 5 s after SIGTERM")]
    instance.record_end(11.1, "SIGKILL")
    assert instance.state == DOWN


def test_a_restart_starts_a_new_process_unless_a_stop_follows() -> None:
    instance = make_ready_instance()
    instance.restart(1.0)
    instance.tick(2.0)
    instance.record_end(2.5, "exit 0")
    assert instance.state == DUE
    instance = make_ready_instance()
    instance.restart(1.0)
    instance.stop(1.5)
    instance.tick(2.0)
    instance.record_end(2.5, "exit 0")
    assert instance.state == DOWN


def test_a_crash_loop_is_not_restarted_until_the_operator_starts_it() -> None:
    instance = make_starting_instance()
    for number in range(2):
        instance.record_end(float(number), "exit 2")
        assert instance.state == WAITING
        instance.tick(number + 0.99)
        assert instance.state == DUE
        instance.record_spawn(number + 0.99, 101 + number)
    instance.record_end(3.0, "exit 2")
    assert instance.state == CRASHED
    assert instance.next_tick() == inf
    instance.start(100.0)
    assert instance.state == DUE
    instance.record_spawn(100.0, 200)
    instance.record_end(100.1, "exit 2")
    assert instance.state == WAITING


@given(st.integers(0, 2**32), st.lists(st.floats(0.0, 59.0), max_size=80))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_back_off_doubles_within_its_jitter_up_to_the_longest_delay(seed: int, uptimes: list[float]) -> None:
    backoff, now = Backoff(RestartPolicy(0.5, 8.0, 0.5, 1000, 60.0), random.Random(seed)), 0.0
    for index, uptime in enumerate(uptimes):
        wait = backoff.record_end(now, uptime)
        full_delay = min(8.0, 0.5 * 2**index)
        assert wait is not None and full_delay / 2 <= wait <= full_delay
        now += uptime + wait
    backoff.record_end(now, 60.0)
    assert backoff.consecutive_ends == 1


EVENT_LISTS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "start",
                "stop",
                "restart",
                "ended",
                "READY",
                "watchdog",
                "probe succeeded",
                "probe failed",
                "tick",
                "late",
            ]
        ),
        st.floats(0.0, 3.0),
    ),
    max_size=60,
)


def apply_event(instance: Instance, event: str, now: float) -> list[Any] | None:
    if event in ("tick", "late"):
        return instance.tick(now + 100 * (event == "late"))
    if event in ("start", "stop", "restart"):
        return getattr(instance, event)(now)
    if instance.pid:
        {
            "ended": lambda: instance.record_end(now, "exit 1"),
            "READY": lambda: instance.record_notification(now, {"READY": "1"}),
            "watchdog": lambda: instance.record_notification(now, {"WATCHDOG": "1"}),
            "probe succeeded": lambda: instance.record_probe(now, True),
            "probe failed": lambda: instance.record_probe(now, False),
        }[event]()
    return None


@given(EVENT_LISTS)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_no_order_of_events_leaves_a_process_without_a_timeout(steps: list[tuple[str, float]]) -> None:
    """A process runs only in the states that have one, and a signal is sent only to a running process.

    Every transitional state has a timeout set, unless SIGKILL was sent already or the instance was ready before."""
    instance, now, pid = Instance(0, TIMES, RESTART_POLICY, random.Random(1)), 0.0, 100
    for event, pause in steps:
        now += pause
        actions = apply_event(instance, event, now)
        signals = [d for d in actions or [] if isinstance(d, Signal)]
        assert not signals or instance.pid
        if instance.state == DUE:
            pid += 1
            instance.record_spawn(now, pid)
        assert (instance.pid > 0) == (instance.state in (STARTING, READY, DRAINING, STOPPING))
        if instance.state in (DRAINING, STOPPING, WAITING) and not instance._kill_reason:
            assert instance.next_tick() < inf
        if instance.state == STARTING and not instance._kill_reason:
            assert instance.next_tick() < inf or instance.ready_at > -inf


# Rolling restarts.


def test_a_rolling_restart_continues_once_the_last_ones_were_ready_for_the_notice_period() -> None:
    fleet = {number: make_ready_instance() for number in range(5)}
    rolling_restart = RollingRestart(list(range(5)), 2, 1.0, 0.0)
    assert rolling_restart.step(0.0, fleet.__getitem__) == [0, 1]
    for number in (0, 1):
        fleet[number].restart(0.0)
        fleet[number].tick(1.0)
        fleet[number].record_end(1.5, "exit 0")
        fleet[number].record_spawn(1.5, 300 + number)
    assert rolling_restart.step(2.0, fleet.__getitem__) == []
    fleet[0].record_notification(2.0, {"READY": "1"})
    fleet[0].record_probe(2.0, True)
    assert rolling_restart.step(2.5, fleet.__getitem__) == []  # the front may not use the instance again yet
    assert rolling_restart.step(3.0, fleet.__getitem__) == [2]
    assert rolling_restart.restarted == [0]


def test_a_rolling_restart_stops_at_the_first_failure_and_reports_what_remains() -> None:
    fleet = {number: make_ready_instance() for number in range(4)}
    rolling_restart = RollingRestart(list(range(4)), 1, 1.0, 0.0)
    assert rolling_restart.step(0.0, fleet.__getitem__) == [0]
    fleet[0].restart(0.0)
    fleet[0].tick(1.0)
    fleet[0].record_end(1.5, "exit 0")
    fleet[0].record_spawn(1.5, 300)
    fleet[0].record_end(1.6, "exit 2: listen: taken")
    assert rolling_restart.step(2.0, fleet.__getitem__) == []
    assert rolling_restart.is_over and rolling_restart.remaining == [1, 2, 3]
    assert rolling_restart.failure == "instance 0: exit 2: listen: taken"


@given(st.integers(1, 100), st.integers(1, 30))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_instances_that_are_down_together_have_distant_numbers(count: int, at_once: int) -> None:
    order = space_out(list(range(count)), at_once)
    assert sorted(order) == list(range(count))
    stride = max(1, count // at_once)
    for start in range(len(order)):  # for every window of instances that may be down together
        down_together = sorted(order[start : start + at_once])
        assert all(b - a >= stride - 1 for a, b in zip(down_together, down_together[1:], strict=False))


# Shares.


class SharingSimulation:
    """The sharing of a supervisor and the leases of its instances, over a network that drops, repeats and delays."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.now, self.serial = rng, 0.0, 0
        self.sharing = Sharing(9.0)
        self.live_leases: dict[int, CountLease] = {}
        self.network: list[tuple[str, int, CountLease, Any]] = []
        self.next_number = 0

    def check_sum(self) -> None:
        used_share = sum((Fraction(1, lease.get_count(self.now)) for lease in self.live_leases.values()), Fraction(0))
        assert used_share <= 1, (used_share, self.now)

    def start(self, target: int) -> None:
        if self.sharing.has_room(self.now, target):
            self.live_leases[self.next_number] = CountLease(target)
            self.sharing.record_start(self.next_number, target)
            self.next_number += 1

    def end(self) -> None:
        if self.live_leases:
            number = self.rng.choice(sorted(self.live_leases))
            del self.live_leases[number]
            self.sharing.record_end(number)

    def send_updates(self, target: int) -> None:
        for update in self.sharing.prepare_updates(self.now, target):
            for _ in range(self.rng.choice((0, 1, 1, 1, 2))):
                self.network.append(("update", update.number, self.live_leases[update.number], update))

    def deliver(self) -> None:
        if not self.network:
            return
        kind, number, lease, payload = self.network.pop(self.rng.randrange(len(self.network)))
        if self.live_leases.get(number) is not lease:
            return
        if kind == "acknowledgement":
            self.sharing.record_acknowledgement(number, payload)
        elif lease.update(payload.serial, payload.count, payload.until):
            self.network += [("acknowledgement", number, lease, payload.serial)] * self.rng.choice((0, 1, 1))

    def replace_supervisor(self) -> None:
        """Replace a killed supervisor: the new one queries the live instances, or assumes that they use the whole."""
        self.serial += 1_000_000
        self.sharing = Sharing(9.0, self.serial)
        for number, lease in self.live_leases.items():
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
                "send_updates",
                "send_updates",
                "send_updates",
                "deliver",
                "deliver",
                "deliver",
                "deliver",
                "wait",
                "long",
                "replace_supervisor",
            ]
        ),
        min_size=30,
        max_size=150,
    ),
)
@settings(derandomize=True, deadline=None, max_examples=300)
def test_the_shares_never_exceed_the_whole_whatever_is_lost_late_or_killed(seed: int, steps: list[str]) -> None:
    simulation = SharingSimulation(random.Random(seed))
    for step in steps:
        target = max(1, len(simulation.live_leases) + simulation.rng.choice((0, 0, 1, 2)))
        if step == "wait":
            simulation.now += simulation.rng.random() * 2
        elif step == "long":
            simulation.now += simulation.rng.random() * 15
        elif step in ("start", "send_updates"):
            getattr(simulation, step)(target)
        else:
            {"end": simulation.end, "deliver": simulation.deliver, "replace_supervisor": simulation.replace_supervisor}[
                step
            ]()
        simulation.check_sum()


def test_an_update_from_before_the_last_fence_is_rejected() -> None:
    lease = CountLease(4)
    assert lease.update(1_000_001, 8, 0.0)
    assert not lease.update(5, 2, inf)
    assert lease.get_count(0.0) == 8


def test_shares_grow_after_an_end_and_shrink_before_a_start() -> None:
    simulation = SharingSimulation(random.Random(1))
    simulation.rng.choice = lambda options: 1 if options in ((0, 1, 1, 1, 2), (0, 1, 1)) else options[0]  # type: ignore
    for _ in range(4):
        simulation.start(4)
    simulation.end()
    simulation.end()
    for _ in range(3):  # a share grows to a half only once the others have acknowledged shares that leave room for it
        simulation.send_updates(2)
        for _ in range(10):
            simulation.deliver()
    assert [lease.get_count(simulation.now) for lease in simulation.live_leases.values()] == [2, 2]
    simulation.now += 9.1  # the leases end without a newer update
    assert [lease.get_count(simulation.now) for lease in simulation.live_leases.values()] == [4, 4]
    simulation.now += LEASE_MARGIN_SECONDS
    simulation.send_updates(2)
    assert not simulation.sharing.has_room(simulation.now, 3)
    for _ in range(3):
        simulation.send_updates(3)
        for _ in range(10):
            simulation.deliver()
    assert simulation.sharing.has_room(simulation.now, 3)


def test_a_silent_instance_keeps_its_share() -> None:
    sharing = Sharing(9.0)
    sharing.record_start(0, 2)
    sharing.record_start(1, 2)
    for now in range(0, 1000, 7):
        assert all(update.number >= 0 and update.count >= 2 for update in sharing.prepare_updates(float(now), 1))
    sharing.record_end(1)
    assert [update.count for update in sharing.prepare_updates(1000.0, 1)] == [1]


# Cold servers.


@pytest.mark.parametrize(
    "now, known_count, report, expected",
    [
        (0.0, 3, None, 40),  # shortly after its start: the largest count possible
        (STARTUP_SECONDS + 1, 3, None, 3),
        (STARTUP_SECONDS + 1, 20, None, 20),
        (STARTUP_SECONDS + 1, 3, (12.0, 2), 6),  # the report of the server
        (STARTUP_SECONDS + 1, 3, (12.0, 0), 12),
        (STARTUP_SECONDS + REPORT_LIFETIME_SECONDS + 2, 3, (12.0, 2), 3),  # the report has expired
    ],
)
def test_a_cold_server_is_divided_by_the_largest_ingress_count_reported(
    now: float, known_count: int, report: tuple[float, int] | None, expected: int
) -> None:
    estimate = IngressCountEstimate(0.0, 40)
    if report:
        estimate.record_report(STARTUP_SECONDS + 1, *report)
    assert estimate.get_count(now, known_count) == expected


@given(st.lists(st.tuples(st.floats(0.0, 5.0), st.integers(0, 50), st.integers(0, 5)), min_size=1, max_size=60))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_a_report_counts_until_its_lifetime_ends(rows: list[tuple[float, int, int]]) -> None:
    estimate, now = IngressCountEstimate(-STARTUP_SECONDS - 1), 0.0
    seen: list[tuple[float, int]] = []
    for pause, in_flight, own in rows:
        now += pause
        estimate.record_report(now, in_flight, own)
        seen.append((now, ceil(in_flight / max(1, own))))
        assert estimate.get_count(now, 1) == max(
            1, *(number for at, number in seen if at >= now - REPORT_LIFETIME_SECONDS)
        )


# Notifications, log lines and health.


@pytest.mark.parametrize(
    "data, fields",
    [
        (b"READY=1\nSTATUS=well; 3 of 4\n", {"READY": "1", "STATUS": "well; 3 of 4"}),
        (b"WATCHDOG=1\nnonsense\nA=b=c", {"WATCHDOG": "1", "A": "b=c"}),
        (b"", {}),
        (b"\xff\xfe=1", {"\ufffd\ufffd": "1"}),
    ],
)
def test_notifications_are_parsed_as_systemd_parses_them(data: bytes, fields: dict[str, str]) -> None:
    assert notify.parse_fields(data) == fields


def test_lines_are_joined_truncated_and_given_the_instance() -> None:
    splitter = Splitter()
    assert splitter.feed(b"timestamp=1 event=a\ntimest") == ["timestamp=1 event=a"]
    assert splitter.feed(b"amp=2 event=b\n") == ["timestamp=2 event=b"]
    found = splitter.feed(b"x" * 20_000 + b"\nnext\n")
    assert found == ["x" * 8192, "next"]
    assert add_instance_fields("timestamp=1 event=a", "now", 3, 77) == "timestamp=1 event=a instance=3 pid=77"
    assert add_instance_fields("Traceback (x):", "now", 3, 77) == (
        'timestamp=now level=info event=output text="Traceback (x):" instance=3 pid=77'
    )


def test_the_backlog_of_a_stalled_reader_is_bounded_and_reports_dropped_lines() -> None:
    backlog = Backlog(1000)
    for number in range(1000):
        backlog.put(f"line {number}")
        assert len(backlog) <= 1100
    out = b""
    while data := backlog.next_chunk():
        backlog.mark_written(min(len(data), 7))
        out += data[:7]
    lines = out.decode().splitlines()
    assert f'level=warning event="log lines dropped" lines={backlog.dropped}' in lines
    assert lines[-1] == "line 999"
    assert all(line.startswith(("line ", "level=")) for line in lines)


def test_the_line_history_reports_how_many_lines_it_dropped() -> None:
    history = LineHistory(10)
    for number in range(25):
        history.add(number % 2, str(number))
    lines, missed = history.lines_after(3, 4)
    assert [line.text for line in lines] == ["15", "16", "17", "18"] and missed == 12
    assert [line.text for line in history.last_lines(2, 1)] == ["21", "23"]
    assert history.lines_after(25, 5) == ([], 0)


@given(st.lists(st.tuples(st.floats(0.0, 4.0), st.floats(0.0, 2.0)), min_size=1, max_size=80))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_the_largest_lag_is_that_of_the_window(rows: list[tuple[float, float]]) -> None:
    lag, now = LoopLag(), 0.0
    seen: list[tuple[float, float]] = []
    for pause, lateness in rows:
        now += pause
        lag.record(now, lateness)
        seen.append((now, lateness))
        assert lag.max_lag(now) == max(lateness for at, lateness in seen if at >= now - LAG_WINDOW_SECONDS)


@pytest.mark.parametrize(
    "change, problems",
    [
        ({}, []),
        ({"lag_seconds": 0.6}, ["the loop was held for 0.60 s"]),
        ({"descriptors": 240}, ["240 of 256 descriptors"]),
        ({"memory_mb": 31.0}, ["31 of 32 MB"]),
        ({"list_age_seconds": 11.0}, ["the list is 11 s old"]),
        ({"list_age_seconds": None}, ["no list of servers yet"]),
    ],
)
def test_problems_are_described(change: dict[str, Any], problems: list[str]) -> None:
    healthy = {
        "lag_seconds": 0.01,
        "descriptors": 30,
        "max_descriptors": 256,
        "memory_mb": 20.0,
        "max_memory_mb": 32.0,
        "list_age_seconds": 1.0,
    }
    assert Measurements(**{**healthy, **change}).describe_problems(Thresholds()) == problems
