"""Discovery's stream: splitting it into JSON objects, and the timeouts of a watch in virtual time."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.net.objects import JsonObjectSplitter
from brackenpulley.net.watching import (
    BACKOFFS_SECONDS,
    CONNECT_TIMEOUT_SECONDS,
    MISSED_CHANGE_DEADLINE_SECONDS,
    OPEN_TIMEOUTS_SECONDS,
    SILENCE_TIMEOUT_SECONDS,
    WatchSchedule,
)

from .rig import Peer, Rig, rig
from .test_platform import chunk

SAMPLE_LIST: dict[str, Any] = {
    "generation": 3,
    "reset": True,
    "instances": [{"instanceId": 's-"{1}\\', "hostPort": "10.0.0.1:1", "zone": "é}", "cell": 0, "weight": 1.0}],
}
LAYOUTS = [
    json.dumps(SAMPLE_LIST).encode(),
    json.dumps(SAMPLE_LIST, indent=2).encode(),
    json.dumps(SAMPLE_LIST, indent="\t").encode(),
    json.dumps(SAMPLE_LIST, ensure_ascii=False, indent=1).encode(),
]


def split_objects(parts: list[bytes], most: int = 1 << 20) -> list[Any]:
    found = JsonObjectSplitter(most)
    taken = [json.loads(data) for part in parts for data in found.feed(part)]
    found.finish()
    return taken


@pytest.mark.parametrize("layout", LAYOUTS)
def test_an_object_split_at_any_byte_is_parsed_once(layout: bytes) -> None:
    for cut in range(len(layout) + 1):
        assert split_objects([layout[:cut], layout[cut:]]) == [SAMPLE_LIST]
    assert split_objects([bytes([byte]) for byte in layout]) == [SAMPLE_LIST]


def test_several_objects_in_one_read_with_empty_lines_between_them() -> None:
    data = b"\n\r\n" + b"\n \n".join(LAYOUTS) + b"\n\n" + b"".join(LAYOUTS)
    assert split_objects([data]) == [SAMPLE_LIST] * 8
    assert split_objects([data[at : at + 7] for at in range(0, len(data), 7)]) == [SAMPLE_LIST] * 8


@pytest.mark.parametrize(
    "parts",
    [
        [b'{"a":1} x'],
        [b"[1]"],
        [b"x {}"],
        [b'"{}"'],
        [b"null\n", b"{}"],
        [b"}"],
        [b"{}", b"}"],
        [b'{"a":[{}]'],
        [b'{"a":"}'],
        [b'{"a":"', b"}}}}"],
        [b'{"a":"' + b"x" * 60, b"x" * 60 + b'"}'],
        [b'{"never closed":'] * 9,
    ],
)
def test_invalid_too_long_and_truncated_objects_are_rejected(parts: list[bytes]) -> None:
    with pytest.raises(ValueError, match="object"):
        split_objects(parts, most=100)


@given(
    st.recursive(
        st.text() | st.integers() | st.none(),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
        max_leaves=8,
    ),
    st.booleans(),
    st.lists(st.integers(0, 300), max_size=5),
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_any_object_split_into_any_parts(inner: Any, plain: bool, cuts: list[int]) -> None:
    data = json.dumps({"x": inner}, ensure_ascii=plain, indent=None if plain else 1).encode(errors="surrogatepass")
    data += b"\n" + json.dumps({"y": inner}).encode()
    at = [0, *sorted(cuts), len(data)]
    assert split_objects([data[a:b] for a, b in zip(at, at[1:], strict=False)]) == [{"x": inner}, {"y": inner}]


def test_a_long_object_costs_the_same_in_many_parts() -> None:
    """Guards against rescanning the object from its start with each part, which is quadratic."""
    scanned_bytes = 0

    class CountedBytes(bytes):
        def __getitem__(self, place: Any) -> Any:
            nonlocal scanned_bytes
            part = super().__getitem__(place)
            scanned_bytes += len(part) if isinstance(place, slice) else 1
            return part

    data = json.dumps({"instances": [SAMPLE_LIST] * 500}, indent=1).encode()
    found = JsonObjectSplitter(1 << 22)
    whole = [x for at in range(0, len(data), 64) for x in found.feed(CountedBytes(data[at : at + 64]))]
    assert whole == [data] and scanned_bytes < 1.5 * len(data)


# Timeouts and back-off, against a discovery in virtual time.

ListDelay = Callable[[int, float], float]  # (n-th call, s since silence) -> s from the call to its list; 99 = never


def seconds_until_list(
    list_delay: ListDelay, seed: int, short_watches: int = 0, whole: bool = False, is_up: bool = True
) -> tuple[float, int]:
    """Return the seconds from a watch's last byte to the next list, and the number of calls that it took.

    `is_up`: a call without a list connects all the same. `short_watches`: watches before that opened and ended."""
    watch, now = WatchSchedule(random.Random(seed)), 100.0
    for _ in range(short_watches):  # opens, receives a byte and ends again without a change
        watch.start_call(now, False)
        watch.record_byte(now + 0.01)
        now += 0.02 + watch.record_failure(now + 0.02)
    watch.start_call(now, whole)
    last = now
    if not whole:
        watch.record_byte(now + 0.01)
        last = now + 0.01
    now = watch.next_deadline()
    for call in range(1, 60):
        now += watch.record_failure(now)
        watch.start_call(now, whole)
        delay = list_delay(call, now - last)
        if is_up or delay < 99.0:
            watch.set_connected()
        if now + delay < watch.next_deadline():
            watch.record_list()
            return now + delay - last, call
        now = watch.next_deadline()
    raise AssertionError("no list within 60 calls")


SEEDS = range(60)


@pytest.mark.parametrize("short_watches", [0, 1, 3, 10])
def test_two_calls_fit_between_silence_and_the_deadline_of_a_missed_change(short_watches: int) -> None:
    """The first call never connects or gets no byte; the second one gets the list in time."""
    for seed in SEEDS:
        assert seconds_until_list(lambda call, _: 0.05 if call == 1 else 99.0, seed, short_watches)[0] < 3.4
        after, calls = seconds_until_list(lambda call, _: 99.0 if call == 1 else 0.9, seed, short_watches)
        assert calls == 2 and after < MISSED_CHANGE_DEADLINE_SECONDS - 0.4
    assert (
        SILENCE_TIMEOUT_SECONDS
        + BACKOFFS_SECONDS[0]
        + OPEN_TIMEOUTS_SECONDS[0]
        + BACKOFFS_SECONDS[1]
        + OPEN_TIMEOUTS_SECONDS[1]
        <= MISSED_CHANGE_DEADLINE_SECONDS - 0.5
    )


def test_an_unanswered_list_request_is_repeated_in_time() -> None:
    assert (
        max(seconds_until_list(lambda call, _: 99.0 if call == 1 else 0.9, seed, whole=True)[0] for seed in SEEDS) < 3.5
    )


@pytest.mark.parametrize(("is_up", "most"), [(True, OPEN_TIMEOUTS_SECONDS[-1]), (False, CONNECT_TIMEOUT_SECONDS)])
def test_calls_recover_soon_and_spread_out_after_an_outage_of_8_s(is_up: bool, most: float) -> None:
    found = [seconds_until_list(lambda call, since: 0.05 if since > 8.0 else 99.0, seed, is_up=is_up) for seed in SEEDS]
    assert max(after for after, _ in found) < 8.0 + most + BACKOFFS_SECONDS[-1] + 0.1
    assert max(calls for _, calls in found) <= 7  # in 8 s; with 200 ingresses more would overload discovery
    times = sorted(after for after, _ in found)
    assert max(sum(at <= other < at + 0.1 for other in times) for at in times) < len(times) / 4


def test_an_overloaded_slow_discovery_still_delivers_its_list() -> None:
    for seed in SEEDS:
        assert seconds_until_list(lambda call, _: 2.4, seed)[1] == 4


def test_a_watch_that_opens_and_ends_at_once_is_backed_off() -> None:
    for seed in SEEDS:
        watch, now = WatchSchedule(random.Random(seed)), 0.0
        for _ in range(40):
            watch.start_call(now, False)
            watch.record_byte(now + 0.01)
            now += 0.02 + watch.record_failure(now + 0.02)
        assert now > 20.0


def test_a_discovery_that_sends_no_head_before_its_first_line_gets_a_longer_timeout() -> None:
    watch = WatchSchedule(random.Random(1))
    watch.start_call(10.0, False)
    watch.set_connected()
    assert watch.next_deadline() == 11.0
    watch.record_byte(12.0)  # two seconds late: the head came only with an empty line
    watch.record_failure(15.0)
    watch.start_call(15.1, False)
    watch.set_connected()
    assert watch.next_deadline() == pytest.approx(15.1 + SILENCE_TIMEOUT_SECONDS)


@pytest.mark.parametrize("indent", [None, 2])
def test_an_indented_list_makes_an_ingress_ready_and_an_indented_change_is_applied(indent: int | None) -> None:
    setup_rig = Rig()
    source = Peer(setup_rig)
    setup_rig.close()
    with rig(discovery=source.address, known={}) as harness:
        source.rig = harness
        wire = source.accept()
        wire.read_until(b"\r\n\r\n")
        body = json.dumps(harness.make_listing(), indent=indent).encode()
        wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        wire = source.accept()
        wire.read_until(b"\r\n\r\n")
        wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        assert harness.daemon.is_ready()
        change = json.dumps(
            {**harness.make_listing(s_0="DRAINING"), "reset": False, "generation": 8}, indent=indent
        ).encode()
        for part in (change[:40], change[40:] + b"\n\n"):  # one change in two chunks
            wire.send(b"%x\r\n%s\r\n" % (len(part), part))
        harness.run_until(lambda: not harness.daemon.inventory.is_usable("s-0"))
        # An object without a list makes the ingress request the whole list.
        wire.send(chunk({"generation": 9})[:-2] + b"\r\n")
        assert source.accept().read_until(b"\r\n\r\n").startswith(b"GET /v1/endpoints HTTP/1.1")


def test_a_silent_watch_is_reopened_twice_before_the_deadline_of_a_missed_change() -> None:
    setup_rig = Rig()
    source = Peer(setup_rig)
    setup_rig.close()
    with rig(discovery=source.address) as harness:
        source.rig = harness
        wire = source.accept()
        wire.read_until(b"\r\n\r\n")
        harness.freeze_clock()
        wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(harness.make_listing()))
        harness.run_until(lambda: harness.daemon.discovery.heard)
        last = harness.daemon.clock()
        calls: list[Any] = []  # no call is ever answered
        while len(calls) < 2 and harness.daemon.clock() < last + MISSED_CHANGE_DEADLINE_SECONDS:
            harness.step_clock(0.05)
            calls += [call] if (call := source.try_accept()) is not None else []
        assert len(calls) == 2 and harness.daemon.clock() < last + 4.7


FAILURE_DELAYS: dict[str, Callable[[int], float]] = {  # s until the n-th call fails; 0 = at its timeout
    "silent": lambda call: 0.0,
    "refused": lambda call: 0.001,
    "answered 503": lambda call: 0.05,
    "alternating": lambda call: 0.001 if call % 2 else 0.0,
}


@pytest.mark.parametrize("failure", FAILURE_DELAYS)
@pytest.mark.parametrize("slow", [False, True])
def test_a_recovered_discovery_is_reached_within_5_s_whatever_failed_before(failure: str, slow: bool) -> None:
    """The call in flight at the recovery is never answered, the next one never connects, the third one is answered."""
    for seed in SEEDS:
        for failures_before in range(12):
            watch, now = WatchSchedule(random.Random(seed)), 100.0
            watch.start_call(now, False)
            watch.set_connected()
            watch.record_byte(now + (2.0 if slow else 0.1))
            now += 3.0
            now += watch.record_failure(now)
            for call in range(failures_before + 1):
                watch.start_call(now, False)
                watch.set_connected()
                recovered_at = now + 0.001  # discovery recovers right after the start of the last call
                now = now + failure_delay if (failure_delay := FAILURE_DELAYS[failure](call)) else watch.next_deadline()
                now += watch.record_failure(now)
            watch.start_call(now, False)  # never connects
            now = watch.next_deadline()
            now += watch.record_failure(now)
            assert now + 0.05 - recovered_at < 5.0


def test_a_slow_list_and_an_unfinished_object_time_out() -> None:
    watch = WatchSchedule(random.Random(1))
    watch.start_call(10.0, True)
    watch.set_connected()
    for step in range(12):
        watch.record_byte(10.1 + step * 0.25)  # a byte every 0.25 s
    assert watch.next_deadline() == pytest.approx(13.0)
    watch.start_call(20.0, False)
    watch.set_connected()
    for at in (20.1, 22.0, 24.0, 26.0):  # empty lines, all but the first inside an object
        watch.record_byte(at)
        watch.set_object_open(at >= 22.0, at)
    assert watch.next_deadline() == pytest.approx(23.0)
    watch.set_object_open(False, 26.0)
    assert watch.next_deadline() == pytest.approx(26.0 + SILENCE_TIMEOUT_SECONDS)
    assert (
        SILENCE_TIMEOUT_SECONDS
        + BACKOFFS_SECONDS[0]
        + OPEN_TIMEOUTS_SECONDS[0]
        + BACKOFFS_SECONDS[1]
        + OPEN_TIMEOUTS_SECONDS[1]
        < 5.0
    )
