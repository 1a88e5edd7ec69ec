"""Discovery's list: objects told apart by their own syntax, and the clock of a watch in virtual time."""

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

LIST: dict[str, Any] = {
    "generation": 3,
    "reset": True,
    "instances": [{"instanceId": 's-"{1}\\', "hostPort": "10.0.0.1:1", "zone": "é}", "cell": 0, "weight": 1.0}],
}
LAYOUTS = [
    json.dumps(LIST).encode(),
    json.dumps(LIST, indent=2).encode(),
    json.dumps(LIST, indent="\t").encode(),
    json.dumps(LIST, ensure_ascii=False, indent=1).encode(),
]


def objects(parts: list[bytes], most: int = 1 << 20) -> list[Any]:
    found = JsonObjectSplitter(most)
    taken = [json.loads(data) for part in parts for data in found.feed(part)]
    found.finish()
    return taken


@pytest.mark.parametrize("layout", LAYOUTS)
def test_an_object_cut_at_every_byte_is_taken_once(layout: bytes) -> None:
    for cut in range(len(layout) + 1):
        assert objects([layout[:cut], layout[cut:]]) == [LIST]
    assert objects([bytes([byte]) for byte in layout]) == [LIST]


def test_several_objects_a_read_and_empty_lines_between_them() -> None:
    data = b"\n\r\n" + b"\n \n".join(LAYOUTS) + b"\n\n" + b"".join(LAYOUTS)
    assert objects([data]) == [LIST] * 8
    assert objects([data[at : at + 7] for at in range(0, len(data), 7)]) == [LIST] * 8


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
def test_what_is_no_object_or_too_long_or_cut_off_is_refused(parts: list[bytes]) -> None:
    with pytest.raises(ValueError, match="object"):
        objects(parts, most=100)


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
def test_any_object_in_any_parts(inner: Any, plain: bool, cuts: list[int]) -> None:
    data = json.dumps({"x": inner}, ensure_ascii=plain, indent=None if plain else 1).encode(errors="surrogatepass")
    data += b"\n" + json.dumps({"y": inner}).encode()
    at = [0, *sorted(cuts), len(data)]
    assert objects([data[a:b] for a, b in zip(at, at[1:], strict=False)]) == [{"x": inner}, {"y": inner}]


def test_a_long_object_costs_the_same_in_many_parts() -> None:
    """Parsed again from the start with each part, it would be looked at thousands of times."""
    looked = 0

    class Counted(bytes):
        def __getitem__(self, place: Any) -> Any:
            nonlocal looked
            part = super().__getitem__(place)
            looked += len(part) if isinstance(place, slice) else 1
            return part

    data = json.dumps({"instances": [LIST] * 500}, indent=1).encode()
    found = JsonObjectSplitter(1 << 22)
    whole = [x for at in range(0, len(data), 64) for x in found.feed(Counted(data[at : at + 64]))]
    assert whole == [data] and looked < 1.5 * len(data)


# The clock. A discovery in virtual time: what it does with the n-th call after its silence began, at `now`.

Does = Callable[[int, float], float]  # seconds from the call to the list; more than a call may last: never


def told_after(does: Does, seed: int, breaks: int = 0, whole: bool = False, up: bool = True) -> tuple[float, int]:
    """Seconds from a watch's last byte to the next list, and the calls that it took. `up`: a call that gets no list
    has a connection that came up."""
    watch, now = WatchSchedule(random.Random(seed)), 100.0
    for _ in range(breaks):  # opened and ended again, with nothing changed
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
        takes = does(call, now - last)
        if up or takes < 99.0:
            watch.set_connected()
        if now + takes < watch.next_deadline():
            watch.record_list()
            return now + takes - last, call
        now = watch.next_deadline()
    raise AssertionError("never told")


SEEDS = range(60)


@pytest.mark.parametrize("breaks", [0, 1, 3, 10])
def test_after_silence_two_calls_fit_into_the_time_that_counts_as_told(breaks: int) -> None:
    """The first call never comes up, or comes up and says nothing: the second one is told in time."""
    for seed in SEEDS:
        assert told_after(lambda call, _: 0.05 if call == 1 else 99.0, seed, breaks)[0] < 3.4
        after, calls = told_after(lambda call, _: 99.0 if call == 1 else 0.9, seed, breaks)
        assert calls == 2 and after < MISSED_CHANGE_DEADLINE_SECONDS - 0.4
    assert (
        SILENCE_TIMEOUT_SECONDS
        + BACKOFFS_SECONDS[0]
        + OPEN_TIMEOUTS_SECONDS[0]
        + BACKOFFS_SECONDS[1]
        + OPEN_TIMEOUTS_SECONDS[1]
        <= MISSED_CHANGE_DEADLINE_SECONDS - 0.5
    )


def test_a_list_that_is_silent_from_the_start_is_asked_for_again_in_time() -> None:
    assert max(told_after(lambda call, _: 99.0 if call == 1 else 0.9, seed, whole=True)[0] for seed in SEEDS) < 3.5


@pytest.mark.parametrize(("up", "most"), [(True, OPEN_TIMEOUTS_SECONDS[-1]), (False, CONNECT_TIMEOUT_SECONDS)])
def test_a_discovery_that_was_down_for_8_s_is_heard_soon_after_and_not_in_step(up: bool, most: float) -> None:
    found = [told_after(lambda call, since: 0.05 if since > 8.0 else 99.0, seed, up=up) for seed in SEEDS]
    assert max(after for after, _ in found) < 8.0 + most + BACKOFFS_SECONDS[-1] + 0.1
    assert max(calls for _, calls in found) <= 7  # over 8 s, and 200 ask
    times = sorted(after for after, _ in found)
    assert max(sum(at <= other < at + 0.1 for other in times) for at in times) < len(times) / 4


def test_a_crowded_discovery_that_takes_long_is_heard_all_the_same() -> None:
    for seed in SEEDS:
        assert told_after(lambda call, _: 2.4, seed)[1] == 4


def test_a_watch_that_opens_and_ends_at_once_is_not_asked_for_without_a_pause() -> None:
    for seed in SEEDS:
        watch, now = WatchSchedule(random.Random(seed)), 0.0
        for _ in range(40):
            watch.start_call(now, False)
            watch.record_byte(now + 0.01)
            now += 0.02 + watch.record_failure(now + 0.02)
        assert now > 20.0


def test_a_discovery_whose_answer_begins_with_its_first_line_is_given_the_time_of_a_line() -> None:
    watch = WatchSchedule(random.Random(1))
    watch.start_call(10.0, False)
    watch.set_connected()
    assert watch.next_deadline() == 11.0
    watch.record_byte(12.0)  # the caller looked late, or the head came with an empty line
    watch.record_failure(15.0)
    watch.start_call(15.1, False)
    watch.set_connected()
    assert watch.next_deadline() == pytest.approx(15.1 + SILENCE_TIMEOUT_SECONDS)


@pytest.mark.parametrize("indent", [None, 2])
def test_an_indented_list_makes_an_ingress_ready_and_an_indented_change_is_heard(indent: int | None) -> None:
    scout = Rig()
    source = Peer(scout)
    scout.close()
    with rig(discovery=source.at, known={}) as r:
        source.rig = r
        wire = source.accept()
        wire.until(b"\r\n\r\n")
        body = json.dumps(r.listing(), indent=indent).encode()
        wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        wire = source.accept()
        wire.until(b"\r\n\r\n")
        wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        assert r.daemon.ready()
        change = json.dumps({**r.listing(s_0="DRAINING"), "reset": False, "generation": 8}, indent=indent).encode()
        for part in (change[:40], change[40:] + b"\n\n"):  # a change in two chunks
            wire.send(b"%x\r\n%s\r\n" % (len(part), part))
        r.until(lambda: not r.daemon.inventory.is_usable("s-0"))
        wire.send(chunk({"generation": 9})[:-2] + b"\r\n")  # no list: the whole one is asked for
        assert source.accept().until(b"\r\n\r\n").startswith(b"GET /v1/endpoints HTTP/1.1")


def test_a_silent_watch_is_asked_for_again_twice_before_what_it_missed_counts_as_told() -> None:
    scout = Rig()
    source = Peer(scout)
    scout.close()
    with rig(discovery=source.at) as r:
        source.rig = r
        wire = source.accept()
        wire.until(b"\r\n\r\n")
        r.freeze()
        wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(r.listing()))
        r.until(lambda: r.daemon.discovery.heard)
        last = r.daemon.clock()
        calls: list[Any] = []  # none of them is ever answered
        while len(calls) < 2 and r.daemon.clock() < last + MISSED_CHANGE_DEADLINE_SECONDS:
            r.step(0.05)
            calls += [call] if (call := source.connected()) is not None else []
        assert len(calls) == 2 and r.daemon.clock() < last + 4.7


FAILS: dict[str, Callable[[int], float]] = {  # seconds until the n-th call has failed; 0 = not until it is given up
    "silent": lambda call: 0.0,
    "refused": lambda call: 0.001,
    "answered 503": lambda call: 0.05,
    "one and the other": lambda call: 0.001 if call % 2 else 0.0,
}


@pytest.mark.parametrize("how", FAILS)
@pytest.mark.parametrize("slow", [False, True])
def test_from_its_return_on_discovery_is_heard_within_5_s_whatever_failed_before(how: str, slow: bool) -> None:
    """The call that is out at the return is never answered, the next one never comes up, the third one is answered."""
    for seed in SEEDS:
        for before in range(12):
            watch, now = WatchSchedule(random.Random(seed)), 100.0
            watch.start_call(now, False)
            watch.set_connected()
            watch.record_byte(now + (2.0 if slow else 0.1))
            now += 3.0
            now += watch.record_failure(now)
            for call in range(before + 1):
                watch.start_call(now, False)
                watch.set_connected()
                back = now + 0.001  # discovery is back right after the last of these was begun
                now = now + took if (took := FAILS[how](call)) else watch.next_deadline()
                now += watch.record_failure(now)
            watch.start_call(now, False)  # does not come up
            now = watch.next_deadline()
            now += watch.record_failure(now)
            assert now + 0.05 - back < 5.0


def test_a_list_that_trickles_and_an_object_that_stays_open_are_given_up_in_time() -> None:
    watch = WatchSchedule(random.Random(1))
    watch.start_call(10.0, True)
    watch.set_connected()
    for step in range(12):
        watch.record_byte(10.1 + step * 0.25)  # never a second without a byte
    assert watch.next_deadline() == pytest.approx(13.0)
    watch.start_call(20.0, False)
    watch.set_connected()
    for at in (20.1, 22.0, 24.0, 26.0):  # empty lines, the last three of them inside an object
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
