"""Days in operation: a new version beside the old one, the operators' console, drain."""

from __future__ import annotations

import socket
import time

from benchmarks.console import run

from .rig import RawConnection, Rig, rig


def test_a_new_version_binds_the_clients_address_while_the_old_one_serves() -> None:
    with rig() as old:
        new = Rig(listen=f"{old.address[0]}:{old.address[1]}")
        try:
            assert new.address == old.address
            wire = new.send_request(1)
            for one in (old, new):
                one.run_once()
            assert old.count("accepted") + new.count("accepted") == 1
            wire.close()
        finally:
            new.close()


def call(one: Rig, method: str, path: str, head: bytes = b"") -> tuple[int, bytes, bytes]:
    """One call to the console, read to the end of its connection."""
    assert one.daemon.console is not None and one.daemon.console.listener is not None
    wire = RawConnection(one, socket.create_connection(one.daemon.console.listener.getsockname()))
    wire.send(head or f"{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
    wire.wait_closed()
    status, head_seen, body = wire.read_http()
    return status, head_seen, body


def test_the_console_answers_each_call_at_once_while_others_hold_half_a_call() -> None:
    with rig(console="127.0.0.1:0") as one:
        assert one.daemon.console is not None and one.daemon.console.listener is not None
        at = one.daemon.console.listener.getsockname()
        stalled = [socket.create_connection(at) for _ in range(40)]
        for sock in stalled:
            sock.sendall(b"GET /control/ready HTTP/1.1\r\nHo")
        began = time.monotonic()
        assert call(one, "GET", "/control/ready")[0] == 200
        assert call(one, "GET", "/nothing")[0] == 404
        status, head, _ = call(one, "POST", "/control/ready")
        assert status == 405 and b"allow: get" in head.lower()
        assert call(one, "GET", "", b"GARBAGE\r\n\r\n")[0] == 400
        assert call(one, "GET", "", b"GET /" + b"x" * 5000 + b" HTTP/1.1\r\n\r\n")[0] == 400
        assert time.monotonic() - began < 1.0
        one.advance_clock(1.5)  # past their deadline the slow callers are closed, not waited for
        assert not one.daemon.console.connections
        for sock in stalled:
            sock.close()


def test_counters_tell_what_crossed_the_sockets() -> None:
    with rig(console="127.0.0.1:0") as one:
        for number in (1, 2, 3):
            wire = one.send_request(number)
            _, server = one.accept_relay()
            server.read_until(b"\r\n\r\n")
            server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            assert wire.read_http()[0] == 200
            wire.close()
            server.close()
        status, head, body = call(one, "GET", "/control/counters")
        assert status == 200 and b"text/plain" in head
        seen = {
            line.split(b" ")[0]: float(line.split(b" ")[1])
            for line in body.splitlines()
            if line and not line.startswith(b"#")
        }
        assert seen[b'app_ok{kind="a"}'] == 3 and seen[b'app_tries{kind="a"}'] == 3
        assert seen[b"app_active"] == 0 and seen[b"app_pool_size"] == 1 and seen[b"app_pool_ejected"] == 0
        assert b'\napp_ok{kind="a"} 3\n' in body and b"\napp_active 0\n" in body


def test_out_of_service_says_no_closes_idle_connections_and_finishes_what_is_held() -> None:
    with rig(console="127.0.0.1:0") as one:
        idle, busy = one.connect(), one.send_request(1)
        _, server = one.accept_relay()
        server.read_until(b"\r\n\r\n")
        assert call(one, "PUT", "/control/out-of-service")[0] == 200
        assert call(one, "GET", "/control/ready")[0] == 503
        probe = one.connect().send(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert probe.read_http()[0] == 503
        assert idle.wait_closed()
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        status, head, _ = busy.read_http()
        assert status == 200 and b"connection: close" in head.lower() and busy.wait_closed()
        assert call(one, "PUT", "/control/in-service")[0] == 200
        assert call(one, "GET", "/control/ready")[0] == 200


def test_what_comes_before_the_process_could_first_serve_is_refused_at_once() -> None:
    """A restarted ingress gets what clients held for its predecessor, of an age that it cannot know."""
    with rig(discovery="127.0.0.1:1") as one:  # nobody there: the list from the file must do after a while
        status, head, _ = one.send_request(1).read_http()
        assert status == 429 and b"retry-after" in head.lower() and one.count("relays") == 0
        one.advance_clock(2.0)
        wire = one.send_request(2)
        _, server = one.accept_relay()
        server.read_until(b"\r\n\r\n")
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert wire.read_http()[0] == 200 and one.count("refused_unopened") == 1


def test_an_answer_written_in_pieces_over_seconds_is_passed_on() -> None:
    with rig() as one:
        one.freeze_clock()
        wire = one.send_request(1, timeout="20000m")
        _, server = one.accept_relay()
        server.read_until(b"\r\n\r\n")
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na")
        for piece in (b"b", b"c", b"d"):
            one.step_clock(1.5)  # each piece comes within 2 s of the one before it, the whole over 4.5 s
            server.send(piece)
            for _ in range(3):
                one.step_clock(0)
        status, _, body = wire.read_http()
        assert status == 200 and body == b"abcd"


def test_an_answer_that_stands_still_for_2_s_is_given_up() -> None:
    with rig() as one:
        one.freeze_clock()
        wire = one.send_request(1, timeout="20000m")
        _, server = one.accept_relay()
        server.read_until(b"\r\n\r\n")
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
        for _ in range(3):
            one.step_clock(0)
        one.step_clock(2.1)  # then nothing for longer than 2 s: it is given up, and it may have run
        for _ in range(3):
            one.step_clock(0)
        assert one.count("answers_stalled") == 1 and not wire.received  # its client still waits, for a retry


def test_the_console_answers_and_the_drain_ends_well_under_load() -> None:
    """The short form of benchmarks/console; a call that takes 1 s or more would be closed by the console itself."""
    report = run(2.0, 40, 8, seed=1)
    assert report["calls"] > 20 and report["failed"] == 0 and report["code"] == 0
    assert report["flowingAtDrain"] > 0 and report["long"]["whole"] > 0
    assert report["lost"] == 0 and report["wrong"] == 0
