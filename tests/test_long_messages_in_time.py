"""Long answers and bodies whose server is slow, against the time of their client, over real sockets."""

from __future__ import annotations

import pytest

from brackenpulley.net.http import MAX_BUFFERED_BODY_BYTES
from brackenpulley.net.south import STALL_TIMEOUT_SECONDS
from brackenpulley.policy import interface

from .rig import RawConnection, Rig, rig
from .test_bodies import chunked, noise

CLIENT_TIMEOUT_SECONDS = 9.0
LEFT_SECONDS = 0.5  # of the client's time, when its answer begins
LONG_BYTES = 190_000
BEGUN_BYTES = 40_000  # less than what is buffered: nothing says yet that the answer is long
STEP_SECONDS = 0.1
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG_BYTES,
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\n\r\n",
}


def encode_part(form: str, part: bytes) -> bytes:
    """Encode a part of a body in a framing."""
    return b"%x\r\n%s\r\n" % (len(part), part) if form == "chunked" else part


def ask(harness: Rig) -> tuple[RawConnection, RawConnection]:
    """Let a client ask, and most of its time pass; return its connection and its server's, which has the request."""
    client = harness.send_request(1, timeout=f"{CLIENT_TIMEOUT_SECONDS * 1000:.0f}m")
    _, server = harness.accept_relay()
    server.read_http()
    harness.freeze_clock()
    harness.step_clock(CLIENT_TIMEOUT_SECONDS - LEFT_SECONDS)
    return client, server


def give(harness: Rig, server: RawConnection, data: bytes) -> None:
    """Send bytes of an answer and let the ingress read them."""
    server.send(data)
    for _ in range(3):
        harness.step_clock(0.0)


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
@pytest.mark.parametrize("begun_bytes", [10, BEGUN_BYTES])
@pytest.mark.parametrize("effect", ["free", "guarded"])
def test_a_long_answer_that_flows_at_the_end_of_its_time_is_passed_on(form: str, begun_bytes: int, effect: str) -> None:
    """Guards against a sound answer that is cut off: its first bytes are timed, and they had come in time."""
    body = noise(LONG_BYTES)
    with rig(servers=2, effect=effect) as harness:
        client, server = ask(harness)
        give(harness, server, HEADS[form] + encode_part(form, body[:begun_bytes]))
        harness.step_clock(LEFT_SECONDS)
        harness.run_until(lambda: bool(client.receive() and client.received))
        sent = begun_bytes
        while sent < LONG_BYTES:
            harness.step_clock(STEP_SECONDS)
            give(harness, server, encode_part(form, body[sent : sent + 20_000]))
            sent += 20_000
        if form == "chunked":
            server.send(b"0\r\n\r\n")
        elif form == "close":
            server.close()
        if form == "length":
            status, _, received = client.read_http()
            assert (status, received) == (200, body)
        else:
            assert b"200" in client.read_until(b"\r\n\r\n") and chunked(client) == body
        assert harness.count("relays") == 1 and harness.count("relay_timeout") == 0


@pytest.mark.parametrize("begun", ["nothing", "head", "short", "stalled"])
def test_an_answer_that_does_not_flow_or_is_short_still_ends_in_time(begun: str) -> None:
    with rig() as harness:
        client, server = ask(harness)
        if begun == "head":
            give(harness, server, HEADS["chunked"])
        elif begun == "short":
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_BUFFERED_BODY_BYTES
            give(harness, server, head + bytes(BEGUN_BYTES))
        elif begun == "stalled":
            give(harness, server, HEADS["chunked"] + encode_part("chunked", bytes(10)))
            harness.clock_offset += STALL_TIMEOUT_SECONDS
        harness.step_clock(LEFT_SECONDS)
        assert client.read_http()[0] in (502, 503, 504) and not harness.count("flowed")


def test_a_server_that_gives_a_long_answer_is_not_taken_for_a_silent_one() -> None:
    """Guards against the same cut by the decision module, which hears of an answer once it is whole or streamed."""
    body = noise(LONG_BYTES)
    with rig(servers=2) as harness:
        client, server = ask(harness)
        give(harness, server, HEADS["chunked"] + encode_part("chunked", body[:BEGUN_BYTES]))
        message_id = next(iter(harness.daemon.ingress.exchanges))
        harness.daemon.ingress._handle_cancel(interface.Cancel(message_id, 0))
        server.send(encode_part("chunked", body[BEGUN_BYTES:]) + b"0\r\n\r\n")
        assert b"200" in client.read_until(b"\r\n\r\n") and chunked(client) == body
        assert harness.count("relays") == 1 and harness.count("relay_cancelled") == 0
