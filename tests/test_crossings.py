"""Race conditions on real sockets. One event is held back until the other has happened, without sleeps.

Each test fails without the fix that it covers; docs/design/crossings.md lists them."""

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


def ended_cleanly(wire: RawConnection) -> bool:
    """Wait for the connection's end; True if it was a FIN, not a reset, which may discard the last answer."""
    found: list[bytes] = []

    def has_ended() -> bool:
        try:
            found.append(wire.sock.recv(1 << 16))
        except BlockingIOError:
            return False
        except ConnectionResetError:
            found.append(b"reset")
        wire.received += found[-1]
        return found[-1] in (b"", b"reset")

    wire.rig.run_until(has_ended)
    return found[-1] == b""


def request_head(number: int, more: str = "", method: str = "GET") -> bytes:
    return (
        f"{method} /a/{number:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {number:016x}\r\nX-Tariff: p\r\n"
        f"X-Timeout: 9000m\r\n{more}\r\n"
    ).encode()


# A client that has gone is detected in any state, and no relay is started for it afterwards.

TRAILING_BYTES = {
    "pipelined message": request_head(2),
    "many pipelined messages": b"".join(request_head(n) for n in range(2, 40)),
    "malformed bytes": b"\0 nothing\r\n\r\n",
    "partial message": request_head(2)[:40],
    "two messages with bodies": b"".join(
        request_head(n, "Content-Length: 60000\r\n", "POST") + b"x" * 60000 for n in (2, 3)
    ),
    "2 MB of zero bytes": b"\0" * (2 << 20),
}


@pytest.mark.parametrize("case", TRAILING_BYTES)
def test_a_client_that_leaves_with_unread_bytes_is_detected(case: str) -> None:
    with rig() as harness:
        wire = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        wire.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
        wire.send(TRAILING_BYTES[case]).close()
        harness.run_until(lambda: not harness.daemon.north.clients)
        harness.run_once()
        assert harness.count("gone") == 1 and harness.count("relays") == 1 and not harness.daemon.ingress.exchanges
        assert server.wait_closed()


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_leaves_while_its_long_body_is_paused_is_detected(reset: bool) -> None:
    with rig() as harness:
        wire = harness.connect().send(request_head(1, "Content-Length: 30000000\r\n", "POST"))
        server: list[RawConnection] = []

        def fill_buffers() -> bool:
            """Send until the ingress stops reading; the socket buffers bound how much that is."""
            if not server and (found := harness.servers["s-0"].try_accept()):
                server.append(found)
            if not harness.daemon.north.read_paused:
                try:
                    wire.sock.send(b"x" * 60000)
                except BlockingIOError:
                    return False
            return bool(harness.daemon.north.read_paused)

        harness.run_until(fill_buffers)
        wire.reset() if reset else wire.close()
        harness.run_until(lambda: not harness.daemon.north.clients)
        assert not harness.daemon.north.read_paused and not harness.daemon.ingress.exchanges


def test_a_client_that_left_before_it_was_accepted_is_not_relayed() -> None:
    with rig() as harness:
        for number in (1, 2):
            harness.send_request(number).close()
        stays = harness.send_request(3)
        _, server = harness.accept_relay()
        assert f"x-request-id: {3:016x}".encode() in server.read_http()[1]
        server.send(OK)
        assert stays.read_http()[0] == 200
        assert harness.count("messages") == 1 and harness.count("gone_unheard") == 2


def test_a_client_that_left_during_a_long_turn_is_not_relayed() -> None:
    with rig() as harness:
        wire = harness.connect().send(b"GET /ready HTTP/1.1\r\n\r\n")
        assert wire.read_http()[0] == 200
        harness.freeze_clock()

        def long_turn() -> None:
            harness.send_request(1, wire=wire).close()
            harness.clock_offset += 0.4

        harness.daemon.loop.call_soon(long_turn)
        harness.run_until(lambda: not harness.daemon.north.clients)
        assert harness.count("messages") == 0 and harness.count("gone_unheard") == 1


# Every connection is closed in the same way: shut down the write side, read and discard, close.


def test_bytes_behind_the_last_message_do_not_reset_its_answer() -> None:
    with rig() as harness:
        wire = harness.send_request(1, more="Connection: close\r\n")
        _, server = harness.accept_relay()
        server.read_http()
        wire.send(request_head(2) + b"x" * 300000)
        server.send(OK)
        harness.run_until(lambda: bool(harness.daemon.north.half_closed))
        assert ended_cleanly(wire) and wire.received.startswith(b"HTTP/1.1 200") and harness.count("relays") == 1
        wire.close()
        harness.run_until(lambda: not harness.daemon.north.clients)


@pytest.mark.parametrize("case", ["out of service", "idle", "evicted"])
def test_a_message_that_crosses_the_close_of_an_idle_connection_is_not_taken(
    case: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with rig() as harness:
        wire = harness.connect().send(b"GET /ready HTTP/1.1\r\n\r\n")
        assert wire.read_http()[0] == 200
        harness.freeze_clock()
        original_waiting = sockets.peek

        def send_during_check(sock: socket.socket) -> bytes | None:
            found = original_waiting(sock)
            if found is None and not harness.count("crossed"):
                harness.daemon.metrics.add("crossed")
                harness.send_request(1, wire=wire)  # between the check and the close
            return found

        monkeypatch.setattr(sockets, "peek", send_during_check)
        if case == "out of service":
            harness.daemon.north.close_idle()
        elif case == "evicted":
            assert harness.daemon.north._evict()
        else:
            harness.advance_clock(130.0)
        harness.run_until(lambda: bool(harness.daemon.north.half_closed))
        assert harness.count("crossed") == 1
        harness.step_clock(0.1)
        assert ended_cleanly(wire) and harness.count("messages") == 0
        wire.close()
        harness.run_until(lambda: not harness.daemon.north.clients)


def test_lingering_connections_are_closed_after_a_timeout_and_first_when_sockets_run_out() -> None:
    with rig() as harness:
        north, clients = harness.daemon.north, []
        north.max_active = 2
        for _ in range(north.max_lingering + 5):
            clients.append(harness.connect().send(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"))
            assert clients[-1].read_http()[0] == 200
        harness.run_until(lambda: len(north.half_closed) == north.max_lingering + 2 == len(north.clients))
        assert north._free_descriptor() and len(north.half_closed) == north.max_lingering + 1
        harness.advance_clock(2.3)
        harness.run_until(lambda: not north.clients)


def test_repeated_pauses_of_accepting_use_one_timer() -> None:
    with rig() as harness:
        north = harness.daemon.north
        for _ in range(50):
            north._pause_accepting()
            north._start_accepting()
        harness.advance_clock(0.02)
        assert harness.connect().send(b"GET /ready HTTP/1.1\r\n\r\n").read_http()[0] == 200
        harness.freeze_clock()
        assert sum(timer.callback == north._resume_accepting for _, _, timer in harness.daemon.loop._heap) == 0


# SIGTERM.


def send_sigterm(harness: Rig, *after: float) -> None:
    harness.daemon.loop.running = True
    harness.daemon.begin_shutdown()
    for seconds in after:
        harness.advance_clock(seconds)


def test_a_pipelined_message_at_sigterm_is_answered_too() -> None:
    with rig() as harness:
        wire = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        harness.send_request(2, wire=wire)
        harness.run_until(lambda: any(client.reader.complete for client in harness.daemon.north.clients))
        send_sigterm(harness, 0.6, 0.2)
        server.send(OK)
        status, first, _ = wire.read_http()
        assert status == 200 and b"Connection: close" not in first
        _, server = harness.accept_relay()
        server.read_http()
        server.send(OK)
        status, last, _ = wire.read_http()
        assert status == 200 and b"Connection: close" in last and ended_cleanly(wire)
        wire.close()
        harness.run_until(lambda: not harness.daemon.loop.running)


@pytest.mark.parametrize("behind", ["nothing", "a part of another"])
@pytest.mark.parametrize("what", ["close_idle", "sweep", "evict", "reject_partial_requests"])
def test_a_connection_between_two_queued_messages_is_not_taken_for_an_idle_one(what: str, behind: str) -> None:
    """Guards against review case 7: at SIGTERM messages that waited behind one in hand got no answer."""
    with rig() as harness:
        wire = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        harness.send_request(2, wire=wire)
        if behind == "a part of another":
            wire.send(request_head(3)[:30])
        harness.run_until(lambda: any(client.reader.complete for client in harness.daemon.north.clients))
        north = harness.daemon.north
        (client,) = north.clients
        start_next, north._start_next_message = north._start_next_message, lambda client: None  # type: ignore[method-assign]
        server.send(OK)
        assert wire.read_http()[0] == 200
        harness.run_until(lambda: not client.is_busy)
        harness.daemon.drain.is_ending = True
        north.unproven[client] = None  # whether or not it has proven itself
        harness.clock_offset += 10.0
        call = {"close_idle": north.close_idle, "sweep": north._sweep, "evict": north._evict}.get(what)
        (call or north.reject_partial_requests)()
        north._start_next_message = start_next  # type: ignore[method-assign]
        start_next(client)
        server.read_http()  # on the connection that the first one used
        server.send(OK)
        assert wire.read_http()[0] == 200


def test_a_partial_message_at_sigterm_times_out_before_sigkill() -> None:
    """With deadlines of half a second, SIGKILL comes 1.2 s after SIGTERM: a message complete at 1.1 s would be lost,
    one answered with an error at 0.7 s is not."""
    with rig() as harness:
        wire = harness.connect().send(request_head(1)[:30])
        harness.run_until(lambda: any(client.reader.is_partial for client in harness.daemon.north.clients))
        send_sigterm(harness, 0.55)
        assert not harness.daemon.north.half_closed
        harness.advance_clock(0.25)
        assert wire.read_http()[0] == 408
        wire.send(request_head(1)[30:])
        assert ended_cleanly(wire) and harness.count("messages") == 0
        wire.close()
        harness.run_until(lambda: not harness.daemon.loop.running)


def test_a_partial_message_whose_rest_is_in_the_socket_is_accepted() -> None:
    with rig() as harness:
        wire = harness.connect().send(request_head(1)[:30])
        harness.run_until(lambda: any(client.reader.is_partial for client in harness.daemon.north.clients))
        send_sigterm(harness, 0.55)
        harness.freeze_clock()
        harness.clock_offset += 0.2
        wire.send(request_head(1)[30:])
        harness.daemon.north.reject_partial_requests()  # as in a turn whose timer is due, before its sockets are read
        _, server = harness.accept_relay()
        server.read_http()
        server.send(OK)
        assert wire.read_http()[0] == 200


def test_many_idle_connections_are_all_closed_cleanly_at_sigterm() -> None:
    """Each has a message in flight when it is closed: none is reset, and no message is relayed."""
    with rig() as harness:
        wires = [
            harness.connect().send(b"GET /ready HTTP/1.1\r\n\r\n")
            for _ in range(3 * harness.daemon.north.max_lingering)
        ]
        assert [wire.read_http()[0] for wire in wires] == [200] * len(wires)
        send_sigterm(harness)
        harness.daemon.loop.call_soon(
            lambda: [harness.send_request(n, wire=wire) for n, wire in enumerate(wires, 1)] and None
        )
        harness.daemon.north.close_idle()
        harness.run_once()
        assert all(ended_cleanly(wire) for wire in wires) and harness.count("messages") == 0
        for wire in wires:
            wire.close()
        harness.run_until(lambda: not harness.daemon.north.clients)


def test_sigterm_twice_and_a_new_configuration_in_the_same_turn(tmp_path: Any) -> None:
    with rig() as harness:
        wire = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        harness.daemon.config.path = str(tmp_path / "none.json")
        send_sigterm(harness)
        harness.daemon.reload()  # the file does not exist: an error is logged, and nothing else happens
        harness.daemon.begin_shutdown()
        harness.advance_clock(0.6)
        server.send(OK)
        assert wire.read_http()[0] == 200
        wire.close()
        harness.run_until(lambda: not harness.daemon.loop.running)
        assert harness.count("reloads_failed") == 1 and harness.count("served") == 1


# Discovery.


@contextlib.contextmanager
def with_discovery(**more: Any) -> Iterator[tuple[Rig, Peer]]:
    with rig() as discovery_harness:
        discovery = Peer(discovery_harness)
        with rig(**more, discovery=discovery.address) as harness:
            discovery.rig = harness
            yield harness, discovery


def accept_call(discovery: Peer) -> tuple[RawConnection, bytes]:
    """Accept the next call to discovery and return it with its request line."""
    wire = discovery.accept()
    return wire, wire.read_until(b"\r\n\r\n").split(b"\r\n")[0]


def http_response(payload: Any, status: bytes = b"200 OK") -> bytes:
    body = json.dumps(payload).encode() if payload is not None else b""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


@pytest.mark.parametrize("end", [b"0\r\n\r\n", None])
def test_deferred_work_of_an_old_discovery_connection_does_not_affect_the_new_one(end: bytes | None) -> None:
    """The watch or the whole list ends in the turn in which a new configuration moves discovery."""
    with with_discovery(**{"known": {}} if end is None else {}) as (harness, discovery):
        wire, _ = accept_call(discovery)
        new = Peer(harness)
        at = parse_address(new.address, "new")
        harness.freeze_clock()
        # Runs before the work deferred by this turn.
        harness.daemon.loop.call_soon(lambda: harness.daemon.discovery.move(at))
        if end is None:
            wire.send(http_response(harness.make_listing()))
        else:
            wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + end)
        harness.run_once()
        assert harness.daemon.discovery.at == at
        wire, line = accept_call(new)
        assert line.startswith(b"GET /v1/endpoints HTTP") and harness.count("watch_breaks") == 0
        wire.send(http_response({**harness.make_listing(), "generation": 9}))
        harness.run_until(lambda: harness.daemon.inventory.version == 9)
        assert b"from=9 " in accept_call(new)[1]


@pytest.mark.parametrize(
    ("answer", "is_list_invalid"),
    [
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 90\r\n\r\nnot yet", False),  # and the rest never comes
        (b"HTTP/1.1 429 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", False),
        (b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", True),
        (b"HTTP/1.1 204 Nothing\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n<html", True),
        (b"not HTTP at all\r\n\r\n", False),
    ],
)
def test_any_answer_without_a_list_is_retried_at_once(answer: bytes, is_list_invalid: bool) -> None:
    """`is_list_invalid`: the list that is held may be outdated. The answer's end is not awaited."""
    with with_discovery() as (harness, discovery):
        wire, line = accept_call(discovery)
        assert b"?watch=1&from=7 " in line
        harness.freeze_clock()
        wire.send(answer)
        harness.run_until(lambda: harness.count("watch_breaks") == 1)
        harness.step_clock(0.21)
        wire, line = accept_call(discovery)
        assert (b"?watch" not in line) == is_list_invalid
        if is_list_invalid:  # an answer without a list does not count as the whole list either
            wire.send(http_response(None))
            harness.run_until(lambda: harness.count("watch_breaks") == 2)
            harness.step_clock(0.21)
            wire, line = accept_call(discovery)
            assert b"?watch" not in line
            wire.send(http_response({**harness.make_listing(), "generation": 9, "reset": False, "instances": []}))
            harness.run_until(lambda: harness.daemon.inventory.version == 9)
            assert (
                len(harness.daemon.inventory) == 0
            )  # it answers a request for the whole list, so it is one without `reset` too


def test_empty_lines_inside_an_unfinished_change_are_no_heartbeat() -> None:
    with with_discovery() as (harness, discovery):
        wire, _ = accept_call(discovery)
        wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        harness.run_until(lambda: harness.daemon.discovery.heard_at > 0)
        harness.freeze_clock()
        wire.send(b'd\r\n{"generation"\r\n')
        harness.run_until(lambda: harness.daemon.discovery._splitter.is_open)
        for _ in range(4):
            wire.send(b"1\r\n\n\r\n")
            harness.step_clock(0.3)
        harness.run_until(lambda: harness.count("watch_breaks") == 1)


UNREADABLE_FIELDS: list[dict[str, Any]] = [
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


@pytest.mark.parametrize("unreadable_field", UNREADABLE_FIELDS)
def test_an_unreadable_entry_disables_only_its_own_server(unreadable_field: dict[str, Any]) -> None:
    with with_discovery(servers=2) as (harness, discovery):
        wire, _ = accept_call(discovery)
        rows = harness.make_listing()["instances"]
        wire.send(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk({"generation": 8, "instances": [{**rows[0], **unreadable_field}, rows[1]]})
        )
        harness.run_until(lambda: harness.daemon.inventory.version == 8)
        assert not harness.daemon.inventory.is_usable("s-0") and harness.daemon.inventory.is_usable("s-1")
        assert harness.count("list_entries_unread") == 1 and harness.count("watch_breaks") == 0
        client = harness.send_request(1)
        name, server = harness.accept_relay()
        server.read_http()
        server.send(OK)
        assert name == "s-1" and client.read_http()[0] == 200


@pytest.mark.parametrize("case", ["drains", "gone", "left out", "elsewhere", "another there"])
def test_nothing_is_sent_to_a_server_that_drains_or_moves_during_the_connect(case: str) -> None:
    with rig(servers=1) as harness:
        other_peer = Peer(harness)
        row = harness.make_listing()["instances"][0]
        instances = {
            "drains": [{**row, "lifecycle": "DRAINING"}],
            "gone": [{"instanceId": "s-0", "lifecycle": "DELETED"}],
            "left out": [],
            "elsewhere": [{**row, "hostPort": other_peer.address}],
            "another there": [{**row, "lifecycle": "DELETED"}, {**row, "instanceId": "s-9"}],
        }[case]
        handle_connected = harness.daemon.south._handle_connected

        def change_list_first(connection: Any, relay: Any) -> None:
            if not harness.count("crossed"):  # the list changes in the turn in which the connect succeeds
                harness.daemon.metrics.add("crossed")
                harness.daemon.inventory.apply_object(
                    {"generation": 8, "reset": case == "left out", "instances": instances}
                )
            handle_connected(connection, relay)

        harness.daemon.south._handle_connected = change_list_first  # type: ignore[method-assign]
        client = harness.send_request(1)
        harness.run_until(lambda: harness.count("drained_before_send") == 1)
        first_connection = harness.servers["s-0"].accept()
        if case in ("elsewhere", "another there"):
            new_connection = other_peer.accept() if case == "elsewhere" else harness.servers["s-0"].accept()
            new_connection.read_http()
            new_connection.send(OK)
            assert client.read_http()[0] == 200
        else:
            assert client.read_http()[0] == 503
        harness.advance_clock(1.1)
        assert first_connection.wait_closed() and not first_connection.received  # the connection is not reused either


def test_idle_clients_exhaust_the_sockets_while_discovery_is_down() -> None:
    """Guards against running out of sockets: discovery's recovery is seen, /ready and a new message are answered."""
    with with_discovery(limits={"sockets": 64, "memory_mb": 32}, known={}) as (harness, discovery):
        north = harness.daemon.north
        idle_clients = [harness.connect() for _ in range(64)]
        harness.run_until(lambda: len(north.clients) >= north.max_active)
        unanswered, _ = accept_call(discovery)  # never answered, as discovery is down
        for _ in range(8):
            harness.advance_clock(0.5)
        calls: list[RawConnection] = []

        def has_recovered() -> bool:
            """Answer all calls from now on, also those made during the outage."""
            if wire := discovery.try_accept():
                calls.append(wire)
            for wire in calls:
                if wire.receive() and b"\r\n\r\n" in wire.received:
                    wire.received = b""
                    wire.send(http_response(harness.make_listing()))
            return bool(harness.daemon.discovery.heard)

        harness.run_until(has_recovered)
        assert harness.connect().send(b"GET /ready HTTP/1.1\r\n\r\n").read_http()[0] == 200
        client = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        server.send(OK)
        assert client.read_http()[0] == 200 and harness.count("out_of_descriptors") == 0
        assert len(north.clients) <= north.max_active + north.max_lingering + 1
        for one in idle_clients:
            one.close()
        unanswered.close()


# Relays and retries.


def test_a_late_duplicate_answer_is_not_taken_for_the_next_message() -> None:
    with rig() as harness:
        client = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        harness.freeze_clock()
        server.send(OK)
        assert client.read_http()[0] == 200
        harness.step_clock(0.005)
        other = harness.send_request(2)  # relayed before the duplicate answer comes
        _, fresh = harness.accept_relay()
        server.send(OK.replace(b"ok", b"no") if b"ok" in OK else OK)
        fresh.read_http()
        harness.run_until(lambda: server.wait_closed())
        assert harness.count("served") == 1 and not other.received
        fresh.send(OK)
        assert other.read_http()[0] == 200 and not fresh.received


def test_at_the_connection_limit_a_connection_in_its_reuse_delay_is_replaced() -> None:
    with rig() as harness:
        harness.daemon.south.connection_limits = {"s-0": 1}
        harness.freeze_clock()
        for number in (1, 2):
            client = harness.send_request(number)
            _, server = harness.accept_relay()
            server.read_http()
            server.send(OK)
            assert client.read_http()[0] == 200
        assert harness.daemon.south.connection_count == 1 and harness.count("south_over_share") == 0


def test_a_connection_past_its_reuse_delay_is_used_before_a_newer_one() -> None:
    with rig() as harness:
        harness.freeze_clock()
        clients = [harness.send_request(number) for number in (1, 2)]
        servers = [harness.accept_relay()[1] for _ in clients]
        for client, server in zip(clients, servers, strict=True):
            server.read_http()
            server.send(OK)
            assert client.read_http()[0] == 200
            harness.step_clock(0.008)  # the first one is past its reuse delay, the second one is not
        third = harness.send_request(3)
        servers[0].read_http()
        assert harness.count("connects") == 2 and not third.received


@pytest.mark.parametrize("effect", ["guarded", "single_shot"])
def test_a_retry_that_connects_after_the_window_is_not_sent(effect: str) -> None:
    """The connect takes so long that it succeeds only then."""
    with rig(servers=2, effect=effect) as harness:
        client = harness.send_request(1, method="POST", more="Idempotency-Key: k\r\n", body=b"x")
        name, server = harness.accept_relay()
        server.read_http()
        harness.freeze_clock()
        server.reset()
        harness.run_until(lambda: harness.count("relays") == 2 or bool(client.receive() and client.received))
        harness.advance_clock(4.0)
        status = client.read_http()[0]
        other = next(peer for key, peer in harness.servers.items() if key != name)
        wire = other.try_accept()
        assert harness.count("window_over") == (effect == "guarded") and (wire is None) == (effect == "single_shot")
        assert wire is None or not (wire.receive() and wire.received)
        # Where all servers drop duplicates, a retry by the client is harmless.
        assert status == (503 if effect == "guarded" else 502)


def test_a_relay_that_has_not_begun_is_dropped_when_its_client_leaves_without_cancellation() -> None:
    with rig() as harness:
        harness.daemon.ingress.decision_module.settings.cancel = False
        # Delays the connect.
        handle_event, harness.daemon.south._handle_event = (
            harness.daemon.south._handle_event,
            lambda connection, events: None,
        )
        client = harness.send_request(1)
        harness.run_until(lambda: harness.count("relays") == 1)
        client.close()
        harness.run_until(lambda: harness.count("gone") == 1)
        harness.daemon.south._handle_event = handle_event  # type: ignore[method-assign]
        wire = harness.servers["s-0"].accept()
        assert (
            wire.wait_closed()
            and not wire.received
            and not harness.daemon.ingress.exchanges
            and not harness.daemon.south.connection_count
        )


def test_a_relay_that_has_begun_goes_on_without_cancellation() -> None:
    with rig() as harness:
        harness.daemon.ingress.decision_module.settings.cancel = False
        client = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        client.close()
        harness.run_until(lambda: harness.count("gone") == 1)
        assert harness.daemon.south.connection_count == 1
        server.send(OK)
        harness.run_until(lambda: not harness.daemon.ingress.exchanges)


@pytest.mark.parametrize(
    ("answer", "proves_not_run"),
    [
        (b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n", True),
        (b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 9\r\n\r\ncut", False),
        (b"HTTP/1.1 503 Busy\r\nX-Not-Proc", False),
        (b"HTTP/1.1 200 OK\r\n\r\na part", False),
        (b"", False),
    ],
)
@pytest.mark.parametrize("effect", ["free", "single_shot"])
def test_only_a_complete_answer_proves_that_a_message_was_not_run(
    effect: str, answer: bytes, proves_not_run: bool
) -> None:
    with rig(servers=2, effect=effect) as harness:
        client = harness.send_request(1, method="POST", body=b"x")
        name, server = harness.accept_relay()
        server.read_http()
        if answer:
            server.send(answer)
            harness.run_once()
            harness.run_once()
        if not proves_not_run:
            server.reset()
        if proves_not_run or effect == "free":
            other, retry = harness.accept_relay()
            retry.read_http()
            retry.send(OK)
            assert other != name and client.read_http()[0] == 200
        else:
            assert client.read_http()[0] == 502 and harness.count("relays") == 1


def test_an_answer_in_the_turn_of_its_timeout_is_accepted() -> None:
    with rig(servers=2, effect="single_shot") as harness:
        client = harness.send_request(1, timeout="4030m", method="POST", body=b"x")
        _, server = harness.accept_relay()
        server.read_http()
        harness.freeze_clock()
        server.send(OK)
        harness.advance_clock(4.0)  # its bytes and its timeout are due in one turn
        assert client.read_http()[0] == 200 and harness.count("served") == 1 and harness.count("relays") == 1


# Settings with names that the program does not know, and invalid settings.


def change_setting(path: list[Any], value: Any) -> dict[str, Any]:
    raw_settings = copy.deepcopy(SETTINGS)
    container: Any = raw_settings
    for step in path[:-1]:
        container = container[step]
    if value is None and path[-1] == "GiveUp":
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return raw_settings


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
def test_invalid_settings_are_reported_in_one_line_with_the_field(path: list[Any], value: Any, field: str) -> None:
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "counter": "127.0.0.1:1",
        "settings": change_setting(path, value),
    }
    with pytest.raises(ConfigError) as found:
        decode(raw, {})
    assert str(found.value).startswith("settings." + field) and "\n" not in str(found.value)


@pytest.mark.parametrize(
    "effects", [["single_shot"], ["guarded", "single_shot"], ["free", "guarded", "single_shot", "free"]]
)
def test_classes_with_other_names_and_effects_are_served_and_retried_as_they_allow(
    effects: list[str],
) -> None:
    raw_settings = copy.deepcopy(SETTINGS)
    raw_settings["Classes"] = [
        {
            **raw_settings["Classes"][0],
            "Name": f"zx-{n}",
            "Idempotency": effect,
            "Group": "all",
            "Window": 5.0,
            "Objective": 8.0,
            "GiveUp": 20.0,
        }
        for n, effect in enumerate(effects)
    ]
    raw_settings["TiersOfService"] = [{"Name": "qq", "QuotaRate": 100.0, "Burst": 100.0}]
    raw_settings["Extra"] = {"MayCount": False, "MostUnits": 3}
    raw_settings["Limits"].update(AttemptsCap=2, MayCancel=False, RetryAfter=False)
    with rig(servers=4, settings=raw_settings) as harness:  # others are left after a server is ejected for its resets
        for number, effect in enumerate(effects, 1):
            client = harness.connect().send(
                (
                    f"POST /zx-{number - 1}/{number:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {number:016x}\r\n"
                    f"X-Tariff: qq\r\nX-Timeout: 19000m\r\nX-Weight: units=3\r\nContent-Length: 1\r\n\r\nx"
                ).encode()
            )
            _, server = harness.accept_relay()
            server.read_http()
            server.reset()
            if effect == "single_shot":
                assert client.read_http()[0] == 502  # it may have run, so a retry could be harmful
            else:
                _, retry = harness.accept_relay()
                retry.read_http()
                retry.send(OK)
                assert client.read_http()[0] == 200
                retry.close()
                harness.run_until(lambda: not harness.daemon.south.connection_count)  # else the next message reuses it
            harness.advance_clock(0.5)
        assert harness.count("relays") == sum(1 if effect == "single_shot" else 2 for effect in effects)


# A new process that has the previous list in its configuration.


def test_discovery_overrides_the_stored_list_from_the_first_message_on() -> None:
    with with_discovery(servers=2) as (harness, discovery):
        early = harness.send_request(1)  # before discovery has answered: not relayed by the stored list
        assert early.read_http()[0] == 429 and harness.count("relays") == 0
        wire, line = accept_call(discovery)
        assert b"?watch=1&from=7 " in line
        wire.send(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk({**harness.make_listing(s_0="DRAINING"), "reset": False, "generation": 8})
        )
        harness.run_until(lambda: harness.daemon.inventory.version == 8)
        harness.freeze_clock()  # no connection passes its reuse delay, so each message opens a new one
        for number in range(2, 8):
            client = harness.send_request(number)
            name, server = harness.accept_relay()
            server.read_http()
            server.send(OK)
            assert name == "s-1" and client.read_http()[0] == 200


@pytest.mark.parametrize("case", ["silent", "refused", "busy"])
def test_a_restarted_process_is_ready_within_2_s_whatever_discovery_does(case: str) -> None:
    with with_discovery() as (harness, discovery):
        if case == "refused":
            discovery.sock.close()
        for _ in range(18):
            harness.advance_clock(0.1)
            if case == "busy" and (wire := discovery.try_accept()):
                wire.send(http_response(None, b"503 Busy"))
        assert harness.connect().send(b"GET /ready HTTP/1.1\r\n\r\n").read_http()[0] == 200
        client = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        server.send(OK)
        assert client.read_http()[0] == 200
