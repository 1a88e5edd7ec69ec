"""Clients that close their connection while much is unread or under way, over real sockets."""

from __future__ import annotations

import contextlib

import pytest

from brackenpulley.core.ingress import LEFT_ID_SECONDS
from brackenpulley.policy.interface import Fail, Outcome, Refuse, Send

from .rig import RawConnection, rig
from .test_bodies import noise, post
from .test_platform import OK
from .util import Driver, select

PROMPT_SECONDS = 0.1  # after a close, from which on no attempt may begin
STEP_SECONDS = 0.02


def test_a_request_that_is_read_after_its_client_left_is_not_sent_on() -> None:
    """Guards against an attempt for a client that closed while the process had no turn, on a connection it knew."""
    with rig() as harness:
        client = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        server.send(OK)
        assert client.read_http()[0] == 200
        harness.send_request(2, wire=client)
        client.close()
        harness.clock_offset += 2 * PROMPT_SECONDS
        harness.run_until(lambda: harness.count("closed") == 1)
        assert harness.count("relays") == 1 and harness.count("gone_unheard") == 1


def test_queued_requests_of_a_client_that_left_are_not_sent_on() -> None:
    """Guards against the same for requests that wait behind one in hand, with unread input behind them."""
    with rig() as harness:
        client = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        for number in (2, 3, 4):
            harness.send_request(number, method="POST", body=noise(60_000), wire=client)
        harness.run_until(lambda: bool(harness.daemon.north.read_paused))
        client.close()
        harness.clock_offset += PROMPT_SECONDS
        server.send(OK)
        harness.run_until(lambda: harness.count("closed") == 1)
        assert harness.count("relays") == 1


@pytest.mark.parametrize(("size", "is_kept"), [(900_000, True), (400_000, False)])
def test_a_body_whose_client_left_does_not_become_whole(size: int, is_kept: bool) -> None:
    """Guards against a body that lies unread in the sockets and is passed on for seconds after its client closed."""
    with rig() as harness:
        if not is_kept:  # then reading keeps to the pace of the server
            harness.daemon.shares.max_kept_bytes = 0
        client = harness.connect().send(post(size) + noise(100_000))
        _, server = harness.accept_relay()
        server.read_until(b"\r\n\r\n")
        client.sock.setblocking(True)
        client.sock.settimeout(0.5)
        with contextlib.suppress(TimeoutError):
            client.sock.sendall(noise(size - 100_000 - 1))
        client.close()
        harness.freeze_clock()
        for _ in range(int(PROMPT_SECONDS / STEP_SECONDS)):
            harness.step_clock(STEP_SECONDS)
            for _ in range(10):
                harness.step_clock(0.0)
        assert not harness.daemon.north.clients and not harness.daemon.ingress.exchanges
        assert read_all(server) < size


def read_all(server: RawConnection) -> int:
    """Read until the ingress closes the connection, and return the number of bytes."""
    assert server.wait_closed()
    return len(server.received)


def test_an_id_that_comes_again_after_its_client_left_does_not_run_twice() -> None:
    """Guards against a second run: the first was forgotten once its client had left."""
    with rig(servers=2) as harness:
        client = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        client.close()
        harness.run_until(lambda: harness.count("gone") == 1 and not harness.daemon.ingress.exchanges)
        assert harness.send_request(1).read_http()[0] == 409 and harness.count("relays") == 1
        harness.clock_offset += LEFT_ID_SECONDS + 1
        again = harness.send_request(1)
        _, server = harness.accept_relay()
        server.read_http()
        server.send(OK)
        assert again.read_http()[0] == 200


def test_an_id_whose_client_left_before_it_was_sent_may_come_again() -> None:
    """What no server has seen is the client's to send once more, as PROTOCOL has it for connections that end."""
    with rig(servers=0) as harness:
        client = harness.send_request(1)
        assert client.read_http()[0] == 429
        client.close()
        assert harness.send_request(1).read_http()[0] == 429


@pytest.mark.parametrize("seed", range(20))
def test_a_repeat_does_not_go_to_the_address_where_a_connection_broke(seed: int) -> None:
    """Guards against a new process at the address of one that died, which is taken for it and repeats the message."""
    driver = Driver(servers=4)
    for _ in range(seed):
        driver.decision_module.rng.random()
    (first,) = select(Send, driver.send_message("push"))
    driver.now += 0.1
    (second,) = select(Send, driver.handle(Outcome(first.id, first.server, 0, "reset", 0.1)))
    assert second.server != first.server and int(second.server[1:]) % 2 == int(first.server[1:]) % 2
    driver.now += 0.1
    answers = driver.handle(Outcome(first.id, second.server, 1, "reset", 0.1))
    assert not select(Send, answers) and not select(Refuse, answers) and select(Fail, answers)
