"""Tests of operating an ingress: a new version beside the old one, the operators' console, taking it out of service."""

from __future__ import annotations

import socket
import time

from benchmarks.console import run

from .rig import RawConnection, Rig, rig


def test_a_new_process_binds_the_clients_address_while_the_old_one_serves() -> None:
    with rig() as old:
        new = Rig(listen=f"{old.address[0]}:{old.address[1]}")
        try:
            assert new.address == old.address
            wire = new.send_request(1)
            for ingress in (old, new):
                ingress.run_once()
            assert old.count("accepted") + new.count("accepted") == 1
            wire.close()
        finally:
            new.close()


def call_console(ingress: Rig, method: str, path: str, raw_request: bytes = b"") -> tuple[int, bytes, bytes]:
    """Call the console and read its answer to the end of the connection."""
    assert ingress.daemon.console is not None and ingress.daemon.console.listener is not None
    wire = RawConnection(ingress, socket.create_connection(ingress.daemon.console.listener.getsockname()))
    wire.send(raw_request or f"{method} {path} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
    wire.wait_closed()
    status, head, body = wire.read_http()
    return status, head, body


def test_the_console_answers_at_once_while_other_callers_stall() -> None:
    with rig(console="127.0.0.1:0") as ingress:
        assert ingress.daemon.console is not None and ingress.daemon.console.listener is not None
        address = ingress.daemon.console.listener.getsockname()
        stalled = [socket.create_connection(address) for _ in range(40)]
        for sock in stalled:
            sock.sendall(b"GET /control/ready HTTP/1.1\r\nHo")
        began = time.monotonic()
        assert call_console(ingress, "GET", "/control/ready")[0] == 200
        assert call_console(ingress, "GET", "/nothing")[0] == 404
        status, head, _ = call_console(ingress, "POST", "/control/ready")
        assert status == 405 and b"allow: get" in head.lower()
        assert call_console(ingress, "GET", "", b"GARBAGE\r\n\r\n")[0] == 400
        assert call_console(ingress, "GET", "", b"GET /" + b"x" * 5000 + b" HTTP/1.1\r\n\r\n")[0] == 400
        assert time.monotonic() - began < 1.0
        ingress.advance_clock(1.5)  # past their deadline the stalled callers are closed
        assert not ingress.daemon.console.connections
        for sock in stalled:
            sock.close()


def test_counters_match_the_messages_served() -> None:
    with rig(console="127.0.0.1:0") as ingress:
        for number in (1, 2, 3):
            wire = ingress.send_request(number)
            _, server = ingress.accept_relay()
            server.read_until(b"\r\n\r\n")
            server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            assert wire.read_http()[0] == 200
            wire.close()
            server.close()
        status, head, body = call_console(ingress, "GET", "/control/counters")
        assert status == 200 and b"text/plain" in head
        samples = {
            line.split(b" ")[0]: float(line.split(b" ")[1])
            for line in body.splitlines()
            if line and not line.startswith(b"#")
        }
        assert samples[b'app_ok{kind="a"}'] == 3 and samples[b'app_tries{kind="a"}'] == 3
        assert samples[b"app_active"] == 0 and samples[b"app_pool_size"] == 1 and samples[b"app_pool_ejected"] == 0
        assert b'\napp_ok{kind="a"} 3\n' in body and b"\napp_active 0\n" in body


def test_out_of_service_refuses_readiness_closes_idle_connections_and_finishes_messages_in_flight() -> None:
    with rig(console="127.0.0.1:0") as ingress:
        idle, busy = ingress.connect(), ingress.send_request(1)
        _, server = ingress.accept_relay()
        server.read_until(b"\r\n\r\n")
        assert call_console(ingress, "PUT", "/control/out-of-service")[0] == 200
        assert call_console(ingress, "GET", "/control/ready")[0] == 503
        probe = ingress.connect().send(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert probe.read_http()[0] == 503
        assert idle.wait_closed()
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        status, head, _ = busy.read_http()
        assert status == 200 and b"connection: close" in head.lower() and busy.wait_closed()
        assert call_console(ingress, "PUT", "/control/in-service")[0] == 200
        assert call_console(ingress, "GET", "/control/ready")[0] == 200


def test_messages_before_the_first_readiness_are_refused_at_once() -> None:
    """A restarted ingress receives messages that clients held for its predecessor, whose age it cannot know."""
    with rig(discovery="127.0.0.1:1") as ingress:  # nothing listens there: after a while the configured list is used
        status, head, _ = ingress.send_request(1).read_http()
        assert status == 429 and b"retry-after" in head.lower() and ingress.count("relays") == 0
        ingress.advance_clock(2.0)
        wire = ingress.send_request(2)
        _, server = ingress.accept_relay()
        server.read_until(b"\r\n\r\n")
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert wire.read_http()[0] == 200 and ingress.count("refused_unopened") == 1


def test_an_answer_that_arrives_in_pieces_over_seconds_is_relayed() -> None:
    with rig() as ingress:
        ingress.freeze_clock()
        wire = ingress.send_request(1, timeout="20000m")
        _, server = ingress.accept_relay()
        server.read_until(b"\r\n\r\n")
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na")
        for piece in (b"b", b"c", b"d"):
            ingress.step_clock(1.5)  # each piece comes within 2 s of the one before it, the whole over 4.5 s
            server.send(piece)
            for _ in range(3):
                ingress.step_clock(0)
        status, _, body = wire.read_http()
        assert status == 200 and body == b"abcd"


def test_an_answer_that_stalls_for_2_s_is_abandoned() -> None:
    with rig() as ingress:
        ingress.freeze_clock()
        wire = ingress.send_request(1, timeout="20000m")
        _, server = ingress.accept_relay()
        server.read_until(b"\r\n\r\n")
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab")
        for _ in range(3):
            ingress.step_clock(0)
        ingress.step_clock(2.1)  # nothing for longer than 2 s: the relay is abandoned, though the message may have run
        for _ in range(3):
            ingress.step_clock(0)
        assert (
            ingress.count("answers_stalled") == 1 and not wire.received
        )  # the client has no answer yet, since a retry is pending


def test_the_console_answers_and_the_drain_completes_under_load() -> None:
    """A short run of benchmarks/console; a call of 1 s or more is closed by the console and counts as failed."""
    report = run(2.0, 40, 8, seed=1)
    assert report["calls"] > 20 and report["failed"] == 0 and report["code"] == 0
    assert report["flowingAtDrain"] > 0 and report["long"]["whole"] > 0
    assert report["lost"] == 0 and report["wrong"] == 0
