"""Two events that cross, on real sockets. The one is held back until the other has happened: no sleep, no luck.

Each test fails without the mend that it stands for; docs/design/crossings.md has the table."""

from __future__ import annotations

import contextlib
import copy
import json
import socket
from collections.abc import Iterator
from typing import Any

import pytest

from brackenpulley.address import ConfigError, parse_address
from brackenpulley.config import decode
from brackenpulley.net import sockets

from .rig import Peer, RawConnection, Rig, rig
from .test_link import SETTINGS
from .test_platform import OK, chunk


def orderly(wire: RawConnection) -> bool:
    """The other side has ended the connection by an end, not by a reset that may take the last answer with it."""
    found: list[bytes] = []

    def there() -> bool:
        try:
            found.append(wire.sock.recv(1 << 16))
        except BlockingIOError:
            return False
        except ConnectionResetError:
            found.append(b"reset")
        wire.received += found[-1]
        return found[-1] in (b"", b"reset")

    wire.rig.run_until(there)
    return found[-1] == b""


def head(number: int, more: str = "", method: str = "GET") -> bytes:
    return (
        f"{method} /a/{number:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {number:016x}\r\nX-Tariff: p\r\n"
        f"X-Timeout: 9000m\r\n{more}\r\n"
    ).encode()


# A client that has gone is noticed from whatever state, and nothing is begun for it after.

GONE = {
    "another message behind": head(2),
    "a crowd behind": b"".join(head(n) for n in range(2, 40)),
    "what is no message behind": b"\0 nothing\r\n\r\n",
    "half a message behind": head(2)[:40],
    "two bodies behind": b"".join(head(n, "Content-Length: 60000\r\n", "POST") + b"x" * 60000 for n in (2, 3)),
    "a flood behind": b"\0" * (2 << 20),
}


@pytest.mark.parametrize("how", GONE)
def test_a_client_that_leaves_while_more_of_it_waits_is_noticed(how: str) -> None:
    with rig() as r:
        wire = r.send_request(1)
        _, server = r.accept_relay()
        server.read_http()
        wire.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
        wire.send(GONE[how]).close()
        r.run_until(lambda: not r.daemon.north.clients)
        r.run_once()
        assert r.count("gone") == 1 and r.count("relays") == 1 and not r.daemon.ingress.exchanges
        assert server.wait_closed()


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_leaves_while_nothing_of_its_long_body_is_read_is_noticed(reset: bool) -> None:
    with rig() as r:
        wire = r.connect().send(head(1, "Content-Length: 30000000\r\n", "POST"))
        server: list[RawConnection] = []

        def stuck() -> bool:
            """Sent until there is no room here, and no more than the system holds for us."""
            if not server and (found := r.servers["s-0"].try_accept()):
                server.append(found)
            if not r.daemon.north.read_paused:
                try:
                    wire.sock.send(b"x" * 60000)
                except BlockingIOError:
                    return False
            return bool(r.daemon.north.read_paused)

        r.run_until(stuck)
        wire.reset() if reset else wire.close()
        r.run_until(lambda: not r.daemon.north.clients)
        assert not r.daemon.north.read_paused and not r.daemon.ingress.exchanges


def test_a_client_that_left_while_it_waited_to_be_accepted_is_not_sent_on() -> None:
    with rig() as r:
        for number in (1, 2):
            r.send_request(number).close()
        stays = r.send_request(3)
        _, server = r.accept_relay()
        assert f"x-request-id: {3:016x}".encode() in server.read_http()[1]
        server.send(OK)
        assert stays.read_http()[0] == 200
        assert r.count("messages") == 1 and r.count("gone_unheard") == 2


def test_a_client_that_left_during_a_long_turn_is_not_sent_on() -> None:
    with rig() as r:
        wire = r.connect().send(b"GET /ready HTTP/1.1\r\n\r\n")
        assert wire.read_http()[0] == 200
        r.freeze_clock()

        def long_turn() -> None:
            r.send_request(1, wire=wire).close()
            r.clock_offset += 0.4

        r.daemon.loop.call_soon(long_turn)
        r.run_until(lambda: not r.daemon.north.clients)
        assert r.count("messages") == 0 and r.count("gone_unheard") == 1


# Every connection is ended in one way: our side shut down, then read and lost, then closed.


def test_bytes_behind_the_last_message_do_not_take_its_answer_with_them() -> None:
    with rig() as r:
        wire = r.send_request(1, more="Connection: close\r\n")
        _, server = r.accept_relay()
        server.read_http()
        wire.send(head(2) + b"x" * 300000)
        server.send(OK)
        r.run_until(lambda: bool(r.daemon.north.half_closed))
        assert orderly(wire) and wire.received.startswith(b"HTTP/1.1 200") and r.count("relays") == 1
        wire.close()
        r.run_until(lambda: not r.daemon.north.clients)


@pytest.mark.parametrize("how", ["out of service", "idle", "evicted"])
def test_a_message_that_crosses_the_end_of_a_resting_connection_is_left_to_its_client(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with rig() as r:
        wire = r.connect().send(b"GET /ready HTTP/1.1\r\n\r\n")
        assert wire.read_http()[0] == 200
        r.freeze_clock()
        look = sockets.peek

        def crossing(sock: socket.socket) -> bytes | None:
            found = look(sock)
            if found is None and not r.count("crossed"):
                r.daemon.metrics.add("crossed")
                r.send_request(1, wire=wire)  # in the very moment between the look and the end
            return found

        monkeypatch.setattr(sockets, "peek", crossing)
        if how == "out of service":
            r.daemon.north.close_idle()
        elif how == "evicted":
            assert r.daemon.north._evict()
        else:
            r.advance_clock(130.0)
        r.run_until(lambda: bool(r.daemon.north.half_closed))
        assert r.count("crossed") == 1
        r.step_clock(0.1)
        assert orderly(wire) and r.count("messages") == 0
        wire.close()
        r.run_until(lambda: not r.daemon.north.clients)


def test_what_never_ends_its_side_is_closed_after_a_bound_and_first_where_room_is_short() -> None:
    with rig() as r:
        north, clients = r.daemon.north, []
        north.max_active = 2
        for _ in range(north.max_lingering + 5):
            clients.append(r.connect().send(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"))
            assert clients[-1].read_http()[0] == 200
        r.run_until(lambda: len(north.half_closed) == north.max_lingering + 2 == len(north.clients))
        assert north._free_descriptor() and len(north.half_closed) == north.max_lingering + 1
        r.advance_clock(2.3)
        r.run_until(lambda: not north.clients)


def test_accepting_that_pauses_again_and_again_has_one_timer() -> None:
    with rig() as r:
        north = r.daemon.north
        for _ in range(50):
            north._pause_accepting()
            north._start_accepting()
        r.advance_clock(0.02)
        assert r.connect().send(b"GET /ready HTTP/1.1\r\n\r\n").read_http()[0] == 200
        r.freeze_clock()
        assert sum(timer.callback == north._resume_accepting for _, _, timer in r.daemon.loop._heap) == 0


# SIGTERM.


def ends(r: Rig, *after: float) -> None:
    r.daemon.loop.running = True
    r.daemon.begin_shutdown()
    for seconds in after:
        r.advance_clock(seconds)


def test_a_message_that_waits_behind_the_one_in_hand_at_sigterm_is_answered_too() -> None:
    with rig() as r:
        wire = r.send_request(1)
        _, server = r.accept_relay()
        server.read_http()
        r.send_request(2, wire=wire)
        r.run_until(lambda: any(client.reader.complete for client in r.daemon.north.clients))
        ends(r, 0.6, 0.2)
        server.send(OK)
        status, first, _ = wire.read_http()
        assert status == 200 and b"Connection: close" not in first
        _, server = r.accept_relay()
        server.read_http()
        server.send(OK)
        status, last, _ = wire.read_http()
        assert status == 200 and b"Connection: close" in last and orderly(wire)
        wire.close()
        r.run_until(lambda: not r.daemon.loop.running)


def test_half_a_message_is_given_up_before_its_answer_could_come_too_late() -> None:
    """Where deadlines are half a second, SIGKILL comes 1.2 s after SIGTERM: a message that is whole at 1.1 s would
    be lost, one that has its error at 0.7 s is not."""
    with rig() as r:
        wire = r.connect().send(head(1)[:30])
        r.run_until(lambda: any(client.reader.is_partial for client in r.daemon.north.clients))
        ends(r, 0.55)
        assert not r.daemon.north.half_closed
        r.advance_clock(0.25)
        assert wire.read_http()[0] == 408
        wire.send(head(1)[30:])
        assert orderly(wire) and r.count("messages") == 0
        wire.close()
        r.run_until(lambda: not r.daemon.loop.running)


def test_half_a_message_whose_rest_has_come_unread_is_taken() -> None:
    with rig() as r:
        wire = r.connect().send(head(1)[:30])
        r.run_until(lambda: any(client.reader.is_partial for client in r.daemon.north.clients))
        ends(r, 0.55)
        r.freeze_clock()
        r.clock_offset += 0.2
        wire.send(head(1)[30:])
        r.daemon.north.reject_partial_requests()  # in the turn whose timer is due, before its sockets are looked at
        _, server = r.accept_relay()
        server.read_http()
        server.send(OK)
        assert wire.read_http()[0] == 200


def test_many_resting_connections_all_end_in_order_at_sigterm() -> None:
    """Each has a message on its way in the moment of its end: none is reset, none is sent on."""
    with rig() as r:
        wires = [r.connect().send(b"GET /ready HTTP/1.1\r\n\r\n") for _ in range(3 * r.daemon.north.max_lingering)]
        assert [wire.read_http()[0] for wire in wires] == [200] * len(wires)
        ends(r)
        r.daemon.loop.call_soon(lambda: [r.send_request(n, wire=wire) for n, wire in enumerate(wires, 1)] and None)
        r.daemon.north.close_idle()
        r.run_once()
        assert all(orderly(wire) for wire in wires) and r.count("messages") == 0
        for wire in wires:
            wire.close()
        r.run_until(lambda: not r.daemon.north.clients)


def test_sigterm_twice_and_a_new_configuration_in_the_same_turn(tmp_path: Any) -> None:
    with rig() as r:
        wire = r.send_request(1)
        _, server = r.accept_relay()
        server.read_http()
        r.daemon.config.path = str(tmp_path / "none.json")
        ends(r)
        r.daemon.reload()  # a file that is gone: one line, nothing else
        r.daemon.begin_shutdown()
        r.advance_clock(0.6)
        server.send(OK)
        assert wire.read_http()[0] == 200
        wire.close()
        r.run_until(lambda: not r.daemon.loop.running)
        assert r.count("reloads_failed") == 1 and r.count("served") == 1


# Discovery.


@contextlib.contextmanager
def with_discovery(**more: Any) -> Iterator[tuple[Rig, Peer]]:
    with rig() as outside:
        place = Peer(outside)
        with rig(**more, discovery=place.address) as r:
            place.rig = r
            yield r, place


def asked(place: Peer) -> tuple[RawConnection, bytes]:
    """The next call to discovery, and its first line."""
    wire = place.accept()
    return wire, wire.read_until(b"\r\n\r\n").split(b"\r\n")[0]


def said(told: Any, status: bytes = b"200 OK") -> bytes:
    body = json.dumps(told).encode() if told is not None else b""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


@pytest.mark.parametrize("end", [b"0\r\n\r\n", None])
def test_what_was_put_off_for_an_old_connection_to_discovery_does_not_hit_the_new_one(end: bytes | None) -> None:
    """A watch ends, or the whole list does, in the turn in which a new configuration comes."""
    with with_discovery(**{"known": {}} if end is None else {}) as (r, place):
        wire, _ = asked(place)
        new = Peer(r)
        at = parse_address(new.address, "new")
        r.freeze_clock()
        r.daemon.loop.call_soon(lambda: r.daemon.discovery.move(at))  # runs before what this turn puts off
        if end is None:
            wire.send(said(r.make_listing()))
        else:
            wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + end)
        r.run_once()
        assert r.daemon.discovery.at == at
        wire, line = asked(new)
        assert line.startswith(b"GET /v1/endpoints HTTP") and r.count("watch_breaks") == 0
        wire.send(said({**r.make_listing(), "generation": 9}))
        r.run_until(lambda: r.daemon.inventory.version == 9)
        assert b"from=9 " in asked(new)[1]


@pytest.mark.parametrize(
    ("answer", "whole"),
    [
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 90\r\n\r\nnot yet", False),  # and never the rest
        (b"HTTP/1.1 429 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", False),
        (b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", True),
        (b"HTTP/1.1 204 Nothing\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n<html", True),
        (b"not HTTP at all\r\n\r\n", False),
    ],
)
def test_whatever_is_no_list_is_asked_for_again_at_once(answer: bytes, whole: bool) -> None:
    """`whole`: what is held may not be good any more. The answer's end is not waited for."""
    with with_discovery() as (r, place):
        wire, line = asked(place)
        assert b"?watch=1&from=7 " in line
        r.freeze_clock()
        wire.send(answer)
        r.run_until(lambda: r.count("watch_breaks") == 1)
        r.step_clock(0.21)
        wire, line = asked(place)
        assert (b"?watch" not in line) == whole
        if whole:  # nor is an answer without a list the whole list
            wire.send(said(None))
            r.run_until(lambda: r.count("watch_breaks") == 2)
            r.step_clock(0.21)
            wire, line = asked(place)
            assert b"?watch" not in line
            wire.send(said({**r.make_listing(), "generation": 9, "reset": False, "instances": []}))
            r.run_until(lambda: r.daemon.inventory.version == 9)
            assert len(r.daemon.inventory) == 0  # whatever it calls itself, it is the whole list


def test_a_change_that_is_never_whole_is_no_sign_of_life() -> None:
    with with_discovery() as (r, place):
        wire, _ = asked(place)
        wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        r.run_until(lambda: r.daemon.discovery.heard_at > 0)
        r.freeze_clock()
        wire.send(b'd\r\n{"generation"\r\n')
        r.run_until(lambda: r.daemon.discovery._objects.open)
        for _ in range(4):
            wire.send(b"1\r\n\n\r\n")
            r.step_clock(0.3)
        r.run_until(lambda: r.count("watch_breaks") == 1)


BAD: list[dict[str, Any]] = [
    {"hostPort": "nowhere"},
    {"hostPort": None},
    {"weight": "heavy"},
    {"weight": float("nan")},
    {"weight": -1},
    {"weight": float("inf")},
    {"startedAtMs": "yesterday"},
    {"cell": float("inf")},
    {"cell": None},
    {"weight": [1]},
]


@pytest.mark.parametrize("bad", BAD)
def test_an_entry_that_cannot_be_read_costs_its_server_alone(bad: dict[str, Any]) -> None:
    with with_discovery(servers=2) as (r, place):
        wire, _ = asked(place)
        rows = r.make_listing()["instances"]
        wire.send(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk({"generation": 8, "instances": [{**rows[0], **bad}, rows[1]]})
        )
        r.run_until(lambda: r.daemon.inventory.version == 8)
        assert not r.daemon.inventory.usable("s-0") and r.daemon.inventory.usable("s-1")
        assert r.count("list_entries_unread") == 1 and r.count("watch_breaks") == 0
        client = r.send_request(1)
        name, server = r.accept_relay()
        server.read_http()
        server.send(OK)
        assert name == "s-1" and client.read_http()[0] == 200


@pytest.mark.parametrize("how", ["drains", "gone", "left out", "elsewhere", "another there"])
def test_no_first_byte_goes_where_the_list_says_no_while_a_connection_comes_up(how: str) -> None:
    with rig(servers=1) as r:
        other = Peer(r)
        row = r.make_listing()["instances"][0]
        told = {
            "drains": [{**row, "lifecycle": "DRAINING"}],
            "gone": [{"instanceId": "s-0", "lifecycle": "DELETED"}],
            "left out": [],
            "elsewhere": [{**row, "hostPort": other.address}],
            "another there": [{**row, "lifecycle": "DELETED"}, {**row, "instanceId": "s-9"}],
        }[how]
        began = r.daemon.south._begin

        def crossing(conn: Any, attempt: Any) -> None:
            if not r.count("crossed"):  # it has come up in this turn; the list is told in the same one
                r.daemon.metrics.add("crossed")
                r.daemon.inventory.told({"generation": 8, "reset": how == "left out", "instances": told})
            began(conn, attempt)

        r.daemon.south._begin = crossing  # type: ignore[method-assign]
        client = r.send_request(1)
        r.run_until(lambda: r.count("drained_before_send") == 1)
        old = r.servers["s-0"].accept()
        if how in ("elsewhere", "another there"):
            new = other.accept() if how == "elsewhere" else r.servers["s-0"].accept()
            new.read_http()
            new.send(OK)
            assert client.read_http()[0] == 200
        else:
            assert client.read_http()[0] == 503
        r.advance_clock(1.1)
        assert old.wait_closed() and not old.received  # nor is the connection kept


def test_descriptors_full_of_idle_clients_while_discovery_is_down() -> None:
    """Its return is heard, servers are connected to, /ready and a new message are answered."""
    with with_discovery(limits={"sockets": 64, "memory_mb": 32}, known={}) as (r, place):
        north = r.daemon.north
        crowd = [r.connect() for _ in range(64)]
        r.run_until(lambda: len(north.clients) >= north.max_active)
        deaf, _ = asked(place)  # never answered: discovery is down
        for _ in range(8):
            r.advance_clock(0.5)
        calls: list[RawConnection] = []

        def back() -> bool:
            """It answers whatever comes from now on, and what came while it was down."""
            if wire := place.try_accept():
                calls.append(wire)
            for wire in calls:
                if wire.receive() and b"\r\n\r\n" in wire.received:
                    wire.received = b""
                    wire.send(said(r.make_listing()))
            return bool(r.daemon.discovery.heard)

        r.run_until(back)
        assert r.connect().send(b"GET /ready HTTP/1.1\r\n\r\n").read_http()[0] == 200
        client = r.send_request(1)
        _, server = r.accept_relay()
        server.read_http()
        server.send(OK)
        assert client.read_http()[0] == 200 and r.count("out_of_descriptors") == 0
        assert len(north.clients) <= north.max_active + north.max_lingering + 1
        for one in crowd:
            one.close()
        deaf.close()


# Attempts and repeats.


def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_messages() -> None:
    with rig() as r:
        client = r.send_request(1)
        _, server = r.accept_relay()
        server.read_http()
        r.freeze_clock()
        server.send(OK)
        assert client.read_http()[0] == 200
        r.step_clock(0.005)
        other = r.send_request(2)  # in hand before the second answer comes
        _, fresh = r.accept_relay()
        server.send(OK.replace(b"ok", b"no") if b"ok" in OK else OK)
        fresh.read_http()
        r.run_until(lambda: server.wait_closed())
        assert r.count("served") == 1 and not other.received
        fresh.send(OK)
        assert other.read_http()[0] == 200 and not fresh.received


def test_where_connections_are_bounded_one_that_has_not_rested_makes_room_for_a_new_one() -> None:
    with rig() as r:
        r.daemon.south.caps = {"s-0": 1}
        r.freeze_clock()
        for number in (1, 2):
            client = r.send_request(number)
            _, server = r.accept_relay()
            server.read_http()
            server.send(OK)
            assert client.read_http()[0] == 200
        assert r.daemon.south.count == 1 and r.count("south_over_share") == 0


def test_a_connection_that_has_rested_is_used_before_a_fresh_one() -> None:
    with rig() as r:
        r.freeze_clock()
        clients = [r.send_request(number) for number in (1, 2)]
        servers = [r.accept_relay()[1] for _ in clients]
        for client, server in zip(clients, servers, strict=True):
            server.read_http()
            server.send(OK)
            assert client.read_http()[0] == 200
            r.step_clock(0.008)  # the first one rests by now, the second one not yet
        third = r.send_request(3)
        servers[0].read_http()
        assert r.count("connects") == 2 and not third.received


@pytest.mark.parametrize("effect", ["guarded", "single_shot"])
def test_a_repeat_that_would_reach_its_server_after_the_window_is_none(effect: str) -> None:
    """Its connection comes up only then."""
    with rig(servers=2, effect=effect) as r:
        client = r.send_request(1, method="POST", more="Idempotency-Key: k\r\n", body=b"x")
        name, server = r.accept_relay()
        server.read_http()
        r.freeze_clock()
        server.reset()
        r.run_until(lambda: r.count("relays") == 2 or bool(client.receive() and client.received))
        r.advance_clock(4.0)
        status = client.read_http()[0]
        other = next(peer for key, peer in r.servers.items() if key != name)
        wire = other.try_accept()
        assert r.count("window_over") == (effect == "guarded") and (wire is None) == (effect == "single_shot")
        assert wire is None or not (wire.receive() and wire.received)
        assert status == (503 if effect == "guarded" else 502)  # where all drop repeats, another try is harmless


def test_an_attempt_that_has_not_begun_is_not_begun_for_a_client_that_left_though_none_is_cancelled() -> None:
    with rig() as r:
        r.daemon.ingress.decision_module.settings.cancel = False
        event, r.daemon.south._event = r.daemon.south._event, lambda conn, events: None  # it does not come up yet
        client = r.send_request(1)
        r.run_until(lambda: r.count("relays") == 1)
        client.close()
        r.run_until(lambda: r.count("gone") == 1)
        r.daemon.south._event = event  # type: ignore[method-assign]
        wire = r.servers["s-0"].accept()
        assert wire.wait_closed() and not wire.received and not r.daemon.ingress.exchanges and not r.daemon.south.count


def test_an_attempt_that_has_begun_goes_on_where_none_is_cancelled() -> None:
    with rig() as r:
        r.daemon.ingress.decision_module.settings.cancel = False
        client = r.send_request(1)
        _, server = r.accept_relay()
        server.read_http()
        client.close()
        r.run_until(lambda: r.count("gone") == 1)
        assert r.daemon.south.count == 1
        server.send(OK)
        r.run_until(lambda: not r.daemon.ingress.exchanges)


@pytest.mark.parametrize(
    ("answer", "never"),
    [
        (b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", True),
        (b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\ncut", False),
        (b"HTTP/1.1 503 Busy\r\nX-Not-Proc", False),
        (b"HTTP/1.1 200 OK\r\n\r\na part", False),
        (b"", False),
    ],
)
@pytest.mark.parametrize("effect", ["free", "single_shot"])
def test_a_reset_is_no_end_of_an_answer_and_only_a_whole_one_proves_that_nothing_ran(
    effect: str, answer: bytes, never: bool
) -> None:
    with rig(servers=2, effect=effect) as r:
        client = r.send_request(1, method="POST", body=b"x")
        name, server = r.accept_relay()
        server.read_http()
        if answer:
            server.send(answer)
            r.run_once()
            r.run_once()
        if not never:
            server.reset()
        if never or effect == "free":
            other, again = r.accept_relay()
            again.read_http()
            again.send(OK)
            assert other != name and client.read_http()[0] == 200
        else:
            assert client.read_http()[0] == 502 and r.count("relays") == 1


def test_an_answer_that_comes_in_the_turn_of_the_time_out_is_taken_or_may_have_run() -> None:
    with rig(servers=2, effect="single_shot") as r:
        client = r.send_request(1, timeout="4030m", method="POST", body=b"x")
        _, server = r.accept_relay()
        server.read_http()
        r.freeze_clock()
        server.send(OK)
        r.advance_clock(4.0)  # its bytes and its end are due in one turn
        assert client.read_http()[0] == 200 and r.count("served") == 1 and r.count("relays") == 1


# Settings of another customer: names that nothing in the program knows, and what cannot be meant.


def changed(path: list[Any], value: Any) -> dict[str, Any]:
    told = copy.deepcopy(SETTINGS)
    place: Any = told
    for step in path[:-1]:
        place = place[step]
    if value is None and path[-1] == "GiveUp":
        del place[path[-1]]
    else:
        place[path[-1]] = value
    return told


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        (["Classes", 0, "GiveUp"], None, "Classes[0].GiveUp: missing"),
        (["Classes", 0, "GiveUp"], "soon", "classes[a].deadline"),
        (["Classes", 0, "Idempotency"], "perhaps", "classes[a].effect"),
        (["Classes", 0, "Idempotency"], ["free"], "classes[a].effect"),
        (["Classes"], [], "classes: "),
        (["Classes"], None, "Classes: "),
        (["Classes", 0], 5, "Classes[0]: "),
        (["Limits", "AttemptsCap"], -1, "max_attempts"),
        (["Limits", "ConnectTimeout"], -1, "Limits.ConnectTimeout"),
        (["Limits", "ConnectTimeout"], "x", "Limits.ConnectTimeout"),
        (["Limits", "ConnIdle"], -3, "conn_idle"),
        (["Limits"], [], "Limits: "),
        (["TiersOfService"], None, "TiersOfService: "),
        (["Report"], None, "Report: "),
        (["Report", "Fields"], 3, "Report.Fields: "),
    ],
)
def test_settings_that_cannot_be_meant_are_one_line_that_names_the_field(
    path: list[Any], value: Any, field: str
) -> None:
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "counter": "127.0.0.1:1",
        "settings": changed(path, value),
    }
    with pytest.raises(ConfigError) as found:
        decode(raw, {})
    assert str(found.value).startswith("settings." + field) and "\n" not in str(found.value)


@pytest.mark.parametrize(
    "effects", [["single_shot"], ["guarded", "single_shot"], ["free", "guarded", "single_shot", "free"]]
)
def test_classes_with_names_and_effects_of_another_customer_are_served_and_repeated_as_they_allow(
    effects: list[str],
) -> None:
    told = copy.deepcopy(SETTINGS)
    told["Classes"] = [
        {
            **told["Classes"][0],
            "Name": f"zx-{n}",
            "Idempotency": effect,
            "Group": "all",
            "Window": 5.0,
            "Objective": 8.0,
            "GiveUp": 20.0,
        }
        for n, effect in enumerate(effects)
    ]
    told["TiersOfService"] = [{"Name": "qq", "QuotaRate": 100.0, "Burst": 100.0}]
    told["Extra"] = {"MayCount": False, "MostUnits": 3}
    told["Limits"].update(AttemptsCap=2, MayCancel=False, RetryAfter=False)
    with rig(servers=4, settings=told) as r:  # one that is set aside for its resets leaves others
        for number, effect in enumerate(effects, 1):
            client = r.connect().send(
                (
                    f"POST /zx-{number - 1}/{number:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {number:016x}\r\n"
                    f"X-Tariff: qq\r\nX-Timeout: 19000m\r\nX-Weight: units=3\r\nContent-Length: 1\r\n\r\nx"
                ).encode()
            )
            _, server = r.accept_relay()
            server.read_http()
            server.reset()
            if effect == "single_shot":
                assert client.read_http()[0] == 502  # it may have run: nothing says that another try is harmless
            else:
                _, again = r.accept_relay()
                again.read_http()
                again.send(OK)
                assert client.read_http()[0] == 200
                again.close()
                r.run_until(
                    lambda: not r.daemon.south.count
                )  # else the next message goes over it, to no new connection
            r.advance_clock(0.5)
        assert r.count("relays") == sum(1 if effect == "single_shot" else 2 for effect in effects)


# A new process, with the list that it last held in its configuration.


def test_what_the_agent_has_goes_before_the_old_list_from_the_first_message_on() -> None:
    with with_discovery(servers=2) as (r, place):
        early = r.send_request(1)  # before the agent has said a word: not sent by the old list
        assert early.read_http()[0] == 429 and r.count("relays") == 0
        wire, line = asked(place)
        assert b"?watch=1&from=7 " in line
        wire.send(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk({**r.make_listing(s_0="DRAINING"), "reset": False, "generation": 8})
        )
        r.run_until(lambda: r.daemon.inventory.version == 8)
        # no connection rests long enough to be used again: each message is seen to arrive at its server
        r.freeze_clock()
        for number in range(2, 8):
            client = r.send_request(number)
            name, server = r.accept_relay()
            server.read_http()
            server.send(OK)
            assert name == "s-1" and client.read_http()[0] == 200


@pytest.mark.parametrize("how", ["silent", "refused", "busy"])
def test_a_restarted_process_is_ready_within_2_s_whatever_discovery_does(how: str) -> None:
    with with_discovery() as (r, place):
        if how == "refused":
            place.sock.close()
        for _ in range(18):
            r.advance_clock(0.1)
            if how == "busy" and (wire := place.try_accept()):
                wire.send(said(None, b"503 Busy"))
        assert r.connect().send(b"GET /ready HTTP/1.1\r\n\r\n").read_http()[0] == 200
        client = r.send_request(1)
        _, server = r.accept_relay()
        server.read_http()
        server.send(OK)
        assert client.read_http()[0] == 200
