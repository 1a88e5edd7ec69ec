"""Long answers and bodies whose server is slow, against the time of their client, over real sockets."""

from __future__ import annotations

import contextlib
import copy
import socket
from typing import Any

import pytest

from brackenpulley.address import Address
from brackenpulley.bodies.backlog import MAX_UNSEEN_BYTES, SAMPLE_BYTES
from brackenpulley.bodies.pace import DRAINED_SECONDS, Pace
from brackenpulley.core.answer_progress import LONG_STALL_TIMEOUT_SECONDS, STALL_TIMEOUT_SECONDS
from brackenpulley.net import sockets, south
from brackenpulley.net.http import MAX_BUFFERED_BODY_BYTES
from brackenpulley.policy import interface

from .rig import RawConnection, Rig, rig
from .test_bodies import chunked, noise
from .test_link import SETTINGS

CLIENT_TIMEOUT_SECONDS = 9.0
LEFT_SECONDS = 0.5  # of the client's time, when its answer begins
LONG_BYTES = 190_000
BEGUN_BYTES = 40_000  # less than what is buffered: nothing says yet that the answer is long
STEP_SECONDS = 0.1
LATE_BODY_SECONDS = 1.5  # from the head of an answer to its body
PAUSE_SECONDS = 3.0  # of a server in the middle of its answer
HELD_BACK_SECONDS = 2.0  # for which nothing that has come may be held back (DAYS)
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


@pytest.mark.parametrize("begun", ["nothing", "stalled head", "short", "stalled"])
def test_an_answer_that_does_not_flow_or_is_short_still_ends_in_time(begun: str) -> None:
    with rig() as harness:
        client, server = ask(harness)
        if begun == "stalled head":
            give(harness, server, HEADS["chunked"])
            harness.clock_offset += LONG_STALL_TIMEOUT_SECONDS
        elif begun == "short":
            head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_BUFFERED_BODY_BYTES
            give(harness, server, head + bytes(BEGUN_BYTES))
        elif begun == "stalled":
            give(harness, server, HEADS["chunked"] + encode_part("chunked", bytes(10)))
            harness.clock_offset += LONG_STALL_TIMEOUT_SECONDS
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


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
@pytest.mark.parametrize("effect", ["free", "guarded"])
def test_a_long_answer_whose_body_comes_late_is_passed_on_when_its_time_ends(form: str, effect: str) -> None:
    """Guards against the cut of an answer of which the head alone has come when the client's time is over."""
    body = noise(LONG_BYTES)
    with rig(servers=2, effect=effect) as harness:
        client, server = ask(harness)
        give(harness, server, HEADS[form])
        harness.step_clock(LEFT_SECONDS)
        harness.run_until(lambda: bool(client.receive() and client.received))
        harness.step_clock(LATE_BODY_SECONDS)
        server.send(encode_part(form, body))
        end_answer(form, server)
        assert read_answer(form, client) == body
        assert harness.count("relays") == 1


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
@pytest.mark.parametrize("effect", ["free", "guarded"])
@pytest.mark.parametrize("begun_bytes", [0, 10])
def test_servers_that_have_begun_long_answers_are_not_ejected_as_silent(
    form: str, effect: str, begun_bytes: int
) -> None:
    """Guards against a sound answer that is cut because its server gives nothing for a while after the head."""
    body, clients, servers = noise(LONG_BYTES), list[RawConnection](), list[RawConnection]()
    with rig(servers=3, settings=settings_for_short_times(effect)) as harness:
        for number in range(1, 7):
            clients.append(harness.send_request(number, timeout="8000m"))
            servers.append(harness.accept_relay()[1])
            servers[-1].read_http()
            servers[-1].send(HEADS[form] + (encode_part(form, body[:begun_bytes]) if begun_bytes else b""))
        harness.freeze_clock()
        for _ in range(int(LATE_BODY_SECONDS / STEP_SECONDS)):
            harness.step_clock(STEP_SECONDS)
            harness.step_clock(0.0)
        assert not harness.daemon.ingress.decision_module.servers.ejected
        for server in servers:
            server.send(encode_part(form, body[begun_bytes:]))
            end_answer(form, server)
        assert all(read_answer(form, client) == body for client in clients)
        assert harness.count("relays") == len(clients)


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
@pytest.mark.parametrize("begun_bytes", [0, 10])
def test_a_long_answer_that_pauses_is_not_cut_within_its_time(form: str, begun_bytes: int) -> None:
    """Guards against a sound answer that is cut for a pause of its server, where its connection is sound."""
    body = noise(LONG_BYTES)
    with rig(servers=2) as harness:
        client = harness.send_request(1, timeout=f"{CLIENT_TIMEOUT_SECONDS * 1000:.0f}m")
        _, server = harness.accept_relay()
        server.read_http()
        server.send(HEADS[form] + (encode_part(form, body[:begun_bytes]) if begun_bytes else b""))
        harness.run_once()
        harness.freeze_clock()
        for _ in range(int(PAUSE_SECONDS / STEP_SECONDS)):
            harness.step_clock(STEP_SECONDS)
        server.send(encode_part(form, body[begun_bytes:]))
        end_answer(form, server)
        assert read_answer(form, client) == body
        assert harness.count("relays") == 1


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
def test_what_has_come_of_a_long_answer_is_not_held_back(form: str) -> None:
    """Guards against the first part of a slow answer that stays in the ingress until much more of it has come."""
    body = noise(LONG_BYTES)
    with rig(servers=2) as harness:
        client = harness.send_request(1, timeout=f"{CLIENT_TIMEOUT_SECONDS * 1000:.0f}m")
        _, server = harness.accept_relay()
        server.read_http()
        harness.freeze_clock()
        give(harness, server, HEADS[form] + encode_part(form, body[:500]))
        for sent in range(500, 500 * int(HELD_BACK_SECONDS / STEP_SECONDS), 500):
            harness.step_clock(STEP_SECONDS)
            give(harness, server, encode_part(form, body[sent : sent + 500]))
        client.receive()
        assert body[:500] in client.received


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
def test_a_time_out_of_an_attempt_does_not_cut_a_long_answer_that_has_begun(form: str) -> None:
    """Guards against the same cut where attempts must not be cancelled and have a time-out of their own."""
    body, settings = noise(LONG_BYTES), settings_for_short_times("free")
    settings["Limits"]["MayCancel"] = False
    with rig(servers=3, settings=settings) as harness:
        client = harness.send_request(1, timeout="8000m")
        _, server = harness.accept_relay()
        server.read_http()
        harness.freeze_clock()
        give(harness, server, HEADS[form])
        for _ in range(int(LATE_BODY_SECONDS / STEP_SECONDS)):
            harness.step_clock(STEP_SECONDS)
        server.send(encode_part(form, body))
        end_answer(form, server)
        assert read_answer(form, client) == body
        assert harness.count("relays") == 1


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
def test_long_answers_that_have_begun_are_passed_on_rather_than_cut_for_lack_of_memory(form: str) -> None:
    """Guards against a sound answer that is cut because many others have begun and wait in the ingress."""
    body = noise(LONG_BYTES)
    with rig(servers=2) as harness:
        client, server = ask(harness)
        harness.daemon.shares.max_answer_bytes = BEGUN_BYTES // 8
        give(harness, server, HEADS[form] + encode_part(form, body[: BEGUN_BYTES // 4]))
        server.send(encode_part(form, body[BEGUN_BYTES // 4 :]))
        end_answer(form, server)
        assert read_answer(form, client) == body
        assert harness.count("answers_over_memory") == 0 and harness.daemon.shares.answer_bytes == 0


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
def test_an_answer_whose_head_is_on_its_way_at_the_end_of_its_time_is_not_cut(form: str) -> None:
    """Guards against the cut of an answer that comes in pieces, in the middle of its head."""
    body = noise(LONG_BYTES)
    with rig(servers=2) as harness:
        client, server = ask(harness)
        harness.step_clock(LEFT_SECONDS - STEP_SECONDS)
        give(harness, server, HEADS[form][:20])
        harness.step_clock(STEP_SECONDS)
        give(harness, server, HEADS[form][20:])
        server.send(encode_part(form, body))
        end_answer(form, server)
        assert read_answer(form, client) == body
        assert harness.count("relays") == 1


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
def test_an_answer_is_not_asked_for_elsewhere_in_the_middle_of_its_head(form: str) -> None:
    """Guards against the cut of an answer whose head comes in pieces, by a server that is taken for a silent one."""
    body, clients, servers = noise(LONG_BYTES), list[RawConnection](), list[RawConnection]()
    with rig(servers=3, settings=settings_for_short_times("free")) as harness:
        for number in range(1, 7):
            clients.append(harness.send_request(number, timeout="8000m"))
            servers.append(harness.accept_relay()[1])
            servers[-1].read_http()
            servers[-1].send(HEADS[form][:20])
        harness.run_once()
        harness.freeze_clock()
        for _ in range(int(LATE_BODY_SECONDS / STEP_SECONDS)):
            harness.step_clock(STEP_SECONDS)
        for server in servers:
            server.send(HEADS[form][20:] + encode_part(form, body))
            end_answer(form, server)
        assert all(read_answer(form, client) == body for client in clients)
        assert harness.count("relays") == len(clients)


def test_a_head_that_stands_still_is_asked_for_elsewhere() -> None:
    with rig(servers=2) as harness:
        client = harness.send_request(1, timeout=f"{CLIENT_TIMEOUT_SECONDS * 1000:.0f}m")
        harness.accept_relay()[1].send(HEADS["length"][:20])
        harness.run_once()
        harness.advance_clock(STALL_TIMEOUT_SECONDS + STEP_SECONDS)
        _, server = harness.accept_relay()
        server.read_http()
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert client.read_http()[2] == b"ok"


def end_answer(form: str, server: RawConnection) -> None:
    """End the body of an answer as its framing has it."""
    if form == "chunked":
        server.send(b"0\r\n\r\n")
    elif form == "close":
        server.close()


def read_answer(form: str, client: RawConnection) -> bytes:
    """Read a whole answer with status 200 and return its body."""
    if form == "length":
        status, _, received = client.read_http()
        assert status == 200
        return received
    assert b" 200 " in client.read_until(b"\r\n\r\n")
    return chunked(client)


CONNECT = sockets.connect
SHORT_TIMEOUT_SECONDS = 1.0
LATE_SECONDS = 0.5  # by which an answer may come after its time without being lost
UPLOAD_STEP_SECONDS = 0.05


def settings_for_short_times(effect: str) -> dict[str, Any]:
    """Settings of a class whose messages are let in though they have little time."""
    settings: dict[str, Any] = copy.deepcopy(SETTINGS)
    settings["Classes"][0].update(Objective=0.2, GiveUp=20.0, Idempotency=effect, Group="all", Window=4.0)
    settings["Extra"] = {"MayCount": False, "Settles": True, "MostUnits": 8}
    settings["Limits"].update(AttemptsCap=3, MayCancel=True, RetryAfter=True, MaxRetryAfter=2.0)
    return settings


@pytest.mark.parametrize("form", ["length", "chunked"])
@pytest.mark.parametrize(
    ("size", "server_bytes_per_second"),
    [(400_000, 0), (800_000, 0), (3_000_000, 0), (12_000_000, 0), (400_000, 60_000), (800_000, 60_000)],
)
def test_a_body_that_its_server_does_not_read_in_time_is_answered_in_time(
    form: str, size: int, server_bytes_per_second: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a message whose time does not begin because its server reads nothing, or slowly."""
    measure_upload(form, size, server_bytes_per_second, monkeypatch)


@pytest.mark.parametrize("form", ["length", "chunked"])
def test_a_body_too_long_to_be_kept_that_is_read_slowly_is_answered_in_time(
    form: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against the same where the body is not read ahead: its last byte waits for the server."""
    measure_upload(form, 3_000_000, 60_000, monkeypatch)


def test_a_client_may_have_sent_everything_unless_more_was_to_come_than_a_send_buffer_holds() -> None:
    """Guards against an upload that is given up while its client is surely still sending."""
    pace = Pace(10.0)
    pace.set_paused(11.0, True, 100_000)
    pace.record_arrived(12.0, 200_000, 100_000, MAX_UNSEEN_BYTES + 100_000)
    assert pace.sent_since == 11.0  # all the rest may be in the client's send buffer
    pace.record_arrived(13.0, 300_000, 100_000, 3 * MAX_UNSEEN_BYTES)
    assert pace.sent_since == 13.0  # too much is still to come
    pace.record_arrived(14.0, 2 * MAX_UNSEEN_BYTES, 100_000, 3 * MAX_UNSEEN_BYTES)
    pace.record_arrived(15.0, 2 * MAX_UNSEEN_BYTES + SAMPLE_BYTES, 100_000, 3 * MAX_UNSEEN_BYTES)
    assert pace.sent_since == 14.0
    pace.set_paused(16.0, False)
    pace.record_arrived(16.0, 3 * MAX_UNSEEN_BYTES, 0, 3 * MAX_UNSEEN_BYTES)
    assert pace.sent_since == 14.0  # more may be on its way
    pace.record_input(16.0 + DRAINED_SECONDS)
    assert pace.sent_since == 0.0  # everything that came was read: the client was the slower one


def test_a_body_of_unknown_length_is_not_given_up_while_it_flows_fast() -> None:
    """Guards against the same where only hindsight tells that the client was still sending."""
    pace = Pace(10.0)
    pace.set_paused(11.0, True, 0)
    for step in range(1, 80):
        pace.record_arrived(11.0 + step / 4, step * MAX_UNSEEN_BYTES // 4, 100_000, -1)
        assert pace.sent_since >= 11.0 + step / 4 - 1.25


def measure_upload(form: str, size: int, server_bytes_per_second: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a client send a body to servers that read it at that pace, and check when it is answered."""
    monkeypatch.setattr(south.sockets, "connect", connect_with_small_buffer)
    with rig(servers=3, settings=settings_for_short_times("guarded")) as harness:
        for peer in harness.servers.values():
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        more = "Transfer-Encoding: chunked\r\n" if form == "chunked" else f"Content-Length: {size}\r\n"
        body = noise(size)
        framed = encode_part(form, body) + b"0\r\n\r\n" if form == "chunked" else body
        timeout = f"{SHORT_TIMEOUT_SECONDS * 1000:.0f}m"
        client = harness.send_request(1, timeout=timeout, method="POST", more=more)
        harness.freeze_clock()
        waited, servers = 0.0, list[RawConnection]()  # seconds since the client could write something last
        while not client.received and waited < 20:
            unsent = len(framed)
            framed = send_what_fits(client, framed)
            waited = waited + UPLOAD_STEP_SECONDS if len(framed) == unsent else 0.0
            servers += [wire for peer in harness.servers.values() if (wire := peer.try_accept())]
            for server in servers:
                read_up_to(server, int(server_bytes_per_second * UPLOAD_STEP_SECONDS))
            harness.clock_offset += UPLOAD_STEP_SECONDS
            for _ in range(20):
                harness.step_clock(0.0)
            client.receive()
        assert client.received[9:12] == b"503"
        assert waited <= SHORT_TIMEOUT_SECONDS + LATE_SECONDS


def connect_with_small_buffer(address: Address) -> socket.socket:
    """Connect to a server through a send buffer that does not take the whole body."""
    sock = CONNECT(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8192)
    return sock


def send_what_fits(client: RawConnection, data: bytes) -> bytes:
    """Send as much as the socket takes now and return the rest."""
    try:
        return data[client.sock.send(data) :] if data else data
    except BlockingIOError:
        return data


def read_up_to(server: RawConnection, size: int) -> None:
    """Read that many bytes at most."""
    with contextlib.suppress(OSError):
        server.sock.recv(size)
