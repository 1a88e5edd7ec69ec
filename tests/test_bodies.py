"""Long bodies: the state machine, its account and pace as tables and properties, then both ways over real sockets."""

from __future__ import annotations

import errno
import os
import select
import socket
from pathlib import Path
from typing import Any

import hypothesis.strategies as st
import pytest
import xxhash
from hypothesis import given
from hypothesis import settings as hypothesis_settings

from brackenpulley.address import ConfigError
from brackenpulley.bodies import pace, shares
from brackenpulley.bodies.body import SLICE, Body, Hole, State
from brackenpulley.bodies.pace import Pace
from brackenpulley.bodies.shares import Shares
from brackenpulley.bodies.spool import Folder
from brackenpulley.net import north
from brackenpulley.net.answers import STREAM_MIN_BYTES, ResponseReader
from brackenpulley.net.http import BODY
from brackenpulley.net.requests import Reader
from brackenpulley.operator import decode

from .rig import Rig, Wire, rig
from .test_platform import H200, OK

TOTAL = 16 << 20


def noise(size: int, seed: int = 1) -> bytes:
    return b"".join(xxhash.xxh3_128_digest(b"%d %d" % (seed, n)) for n in range(size // 16 + 1))[:size]


# The state machine.


@pytest.mark.parametrize(
    ("first", "then", "state"),
    [
        ("", "", State.WAITING),
        ("begin", "", State.FLOWING),
        ("begin", "end", State.ENDED),
        ("begin", "cut", State.CUT),
        ("", "end", State.ENDED),
        ("", "cut", State.CUT),
        ("end", "cut", State.ENDED),
        ("cut", "end", State.CUT),
        ("end", "drop", State.DROPPED),
        ("cut", "drop", State.DROPPED),
        ("drop", "end", State.DROPPED),
        ("drop", "cut", State.DROPPED),
    ],
)
def test_states(first: str, then: str, state: State) -> None:
    body = Body(Shares(TOTAL))
    for step in (first, then):
        if step:
            getattr(body, step)()
    assert body.state is state and body.shares.flows == (0 if state is State.DROPPED else 1)


STEPS = st.one_of(
    st.binary(min_size=1, max_size=40), st.integers(1, 60), st.sampled_from(["again", "end", "full", "drop"])
)


@given(st.lists(STEPS, max_size=40), st.booleans())
def test_what_a_reader_takes_is_what_was_put_in(steps: list[bytes | int | str], keep: bool) -> None:
    """Against a plain string; kept, let go in the middle of keeping, read again, dropped."""
    account = Shares(TOTAL)
    body = Body(account, keep=keep)
    put, taken, kept = b"", b"", keep
    assert body.begin()
    for step in steps:
        if isinstance(step, bytes) and body.coming:
            body.put(step)
            put += step
            kept = kept and account.kept_most > 0
        elif isinstance(step, int):
            taken += b"".join(body.take(step))
        elif step == "again" and body.state is not State.DROPPED:
            could = body.again()
            assert could or not kept
            if could:
                assert body.begin()
                taken = b""
        elif step == "end":
            body.end()
        elif step == "full":
            account.kept_most = 0  # others took the room: from the next byte on it is not kept
        elif step == "drop":
            body.drop()
        if body.state is not State.DROPPED:
            assert put.startswith(taken) and body.ahead == len(put) - len(taken)
            assert account.kept == (body.held if body.kept else 0)
    body.drop()
    assert (account.kept, account.flows, body.held) == (0, 0, 0)


def test_a_writer_without_room_is_woken_though_it_asked_in_between() -> None:
    """Seen on a rough day: a look at the room while some was there again took back the promise to wake the writer."""
    body, woken = Body(Shares(TOTAL)), list[int]()
    body.eased = lambda: woken.append(body.ahead)
    body.begin()
    window = body.shares.window
    body.put(b"x" * window)
    assert not body.space()
    body.take(window // 4)
    assert body.space() and not woken
    while body.ahead:
        body.take(window // 4)
    assert woken == [window // 2]


def test_a_dropped_body_takes_what_still_comes_and_holds_nothing() -> None:
    body, woken = Body(Shares(TOTAL), keep=True), list[int]()
    body.eased = lambda: woken.append(1)
    body.put(b"x" * 300_000)
    body.drop()
    body.put(b"y")
    body.end()
    assert body.space() == SLICE and not body.held and woken == [1] and body.state is State.DROPPED


def test_shares_bound_the_sum_whatever_the_number_of_bodies() -> None:
    account = Shares(8 << 20)
    for count in (1, 8, 50, 200):
        bodies = [Body(account) for _ in range(count)]
        assert count * account.window <= max(account.flow_most, count * shares.LEAST)
        assert shares.LEAST <= account.window <= shares.MOST
        for body in bodies:
            body.drop()
    assert account.keep(shares.KEPT_MOST, shares.KEPT_MOST) and not account.keep(1, shares.KEPT_MOST + 1)
    assert account.keep(1 << 20, 1 << 20) and not account.keep(1, 1) and account.kept == account.kept_most
    assert account.gathered(account.held_most) and not account.gathered(1)


HALF = 32 << 10


@pytest.mark.parametrize(
    ("said", "given_up"),
    [
        # (seconds, what came: head, body bytes so far, hold, free), in order; then whether it is given up and when
        ([(0, "begin")], pace.HEAD),
        ([(0, "begin"), (2.0, "head")], 2.0 + pace.STANDS),
        ([(0, "begin"), (0.1, "head"), (1.9, HALF), (3.7, 2 * HALF)], 3.7 + pace.STANDS),
        ([(0, "begin"), (0.1, "head"), (0.2, HALF), (0.3, "hold")], None),
        ([(0, "begin"), (0.1, "head"), (0.2, HALF), (0.3, "hold"), (9.0, "free")], 9.0 + pace.STANDS),
        ([(0, "begin"), *((0.1 + n, 1000 * n) for n in range(40))], pace.GRACE + 0.1),
        ([(0, "begin"), *((0.1 + n, 64_000 * n) for n in range(400))], 399.1 + pace.STANDS),
        ([(0, "connect")], pace.HEAD),
        ([(0, "connect"), (0.1, "head")], 0.1 + pace.STANDS),
        ([(0, "connect"), (0.9, "head")], pace.HEAD),
        ([(0, "connect"), (1.5, "head")], 1.5 + pace.STANDS_FIRST),
        ([(0, "connect"), (0.1, "head"), (1.0, HALF), (1.9, 2 * HALF), (2.8, 3 * HALF)], 2.8 + pace.STANDS_FIRST),
    ],
)
def test_pace(said: list[tuple[float, str | int]], given_up: float | None) -> None:
    one, size, steps = Pace(0.0), 0, list(said)
    when = None
    for tick in range(45_000):
        now = tick / 100
        while steps and steps[0][0] <= now:
            what = steps.pop(0)[1]
            if what == "begin":
                one.begin(now)
            elif what in ("hold", "free"):
                one.hold(now, what == "hold")
            elif what != "connect":
                size = what if isinstance(what, int) else size
                one.body(now)
        if one.stands(now, size):
            when = now
            break
    assert when == (None if given_up is None else pytest.approx(given_up, abs=0.03))


# Every form, in any pieces.

BODIES = st.one_of(st.integers(0, 300), st.sampled_from([BODY - 1, BODY, BODY + 1, BODY + 70_000]))


def forms(body: bytes, form: str, cut: int) -> bytes:
    """A body as it stands on the wire."""
    if form == "length":
        return b"Content-Length: %d\r\n\r\n" % len(body) + body
    if form == "close":
        return b"\r\n" + body
    parts = [body[:cut], body[cut:]]
    chunks = b"".join(b'%x;ext="a;b"\r\n%s\r\n' % (len(part), part) for part in parts if part)
    return b"Transfer-Encoding:  chunked \r\n\r\n" + chunks + b"0\r\nX-Trailer: t\r\n\r\n"


@given(
    BODIES, st.sampled_from(["length", "chunked"]), st.integers(1, 70_000), st.integers(1, 2000), st.integers(0, 300)
)
@hypothesis_settings(max_examples=60, deadline=None)
def test_a_message_in_any_form_and_pieces(size: int, form: str, cut: int, step: int, behind: int) -> None:
    body, account = noise(size), Shares(TOTAL)
    data = b"POST /a/1 HTTP/1.1\r\nX-Tariff:  p \r\n" + forms(body, form, cut)
    data += b"GET /b HTTP/1.1\r\n\r\n"
    reader, at = Reader(account), 0
    first = data[: len(data) - behind]  # the first piece may end anywhere in the last few hundred bytes
    for piece in [first] if step > 1000 else [data[i : i + step * 40] for i in range(0, len(data), step * 40)]:
        reader.feed(memoryview(piece))
        at += len(piece)
    reader.feed(memoryview(data[at:]))
    (one, _), (two, _) = reader.whole
    found = one.body if one.stream is None else b"".join(one.stream.take(1 << 30))
    assert found == body and (one.stream is not None) == (size > BODY) and two.target == b"/b"
    assert (b"x-tariff", b"p") in one.headers  # white space round a value is no part of it
    reader.close()
    assert not account.flows and not account.kept


@given(BODIES, st.sampled_from(["length", "chunked", "close"]), st.integers(1, 70_000), st.integers(1, 9000))
@hypothesis_settings(max_examples=60, deadline=None)
def test_an_answer_in_any_form_and_pieces(size: int, form: str, cut: int, step: int) -> None:
    body, account = noise(size), Shares(TOTAL)
    data = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + forms(body, form, cut)
    reply, stream = ResponseReader(32 << 20), None
    for i in range(0, len(data), step):
        reply.feed(data[i : i + step])
        if reply.is_long and stream is None:
            stream = Body(account, reply.content_length)
            reply.stream_to(stream)
    reply.handle_eof()
    assert reply.is_complete and (stream.take(1 << 30) if stream else [reply.body])
    assert stream is None or size > BODY or reply.content_length > BODY
    if stream is not None:
        stream.begin()


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
def test_an_answer_cut_at_any_byte_is_never_whole(form: str) -> None:
    data = b"HTTP/1.1 200 OK\r\n" + forms(noise(40), form, 17)
    for end in range(len(data) - 1):
        reply = ResponseReader()
        reply.feed(data[:end])
        reply.handle_eof()
        closes = form == "close" and end >= data.index(b"\r\n\r\n") + 4  # its end is the connection's: none can tell
        assert reply.is_complete == closes


# Answers, over sockets.


def asked(r: Rig, body: bytes = b"", method: str = "GET") -> tuple[Wire, Wire]:
    client = r.ask(1, method=method, body=body)
    _, server = r.served()
    server.answer()
    return client, server


def chunked(client: Wire) -> bytes:
    body = b""
    while size := int(client.until(b"\r\n"), 16):
        client.rig.until(lambda size=size: len(client.seen) >= size + 2 or not client._more())  # type: ignore[misc]
        body, client.seen = body + client.seen[:size], client.seen[size + 2 :]
    client.until(b"\r\n")
    return body


@pytest.mark.parametrize("form", ["length", "chunked", "close"])
def test_a_long_answer_flows_in_each_form(form: str) -> None:
    body = noise(3_000_000)
    with rig() as r:
        client, server = asked(r)
        server.send(b"HTTP/1.1 200 OK\r\nX-True-Cost: 1\r\n" + forms(body, form, 1_000_000)[:200_000])
        r.until(lambda: r.count("flowed") == 1)
        r.skip(0.9)  # its first bytes are what is timed
        assert r.daemon.gauges()["active"] == 1 and not r.daemon.ingress.gateway.servers["s-0"].out
        server.send(forms(body, form, 1_000_000)[200_000:])
        if form == "close":
            server.close()
        if form == "length":
            assert client.answer()[2] == body
        else:
            assert b"chunked" in client.until(b"\r\n\r\n") and chunked(client) == body
        assert r.daemon.metrics.classes["ok", "a"] == 1 and not r.daemon.ingress.held and not r.daemon.shares.flows
        assert r.daemon.gauges()["active"] == 0 and r.daemon.ingress.gateway.servers["s-0"].err == 0
        if form != "close":
            r.ask(2, wire=client)
            assert b"x-request-id" in server.answer()[1]  # both connections are kept
            server.send(OK)
            assert client.answer()[0] == 200


@pytest.mark.parametrize("form", ["length", "chunked"])
@pytest.mark.parametrize("how", ["reset", "close", "stall"])
def test_a_long_answer_that_breaks_off_is_told_as_not_whole_and_not_tried_again(form: str, how: str) -> None:
    with rig(servers=2) as r:
        client, server = asked(r)
        server.send(b"HTTP/1.1 200 OK\r\n" + forms(noise(500_000), form, 250_000)[:200_000])
        r.until(lambda: r.count("flowed") == 1)
        if how == "stall":
            r.skip(4.0)
            assert r.count("cut_off") == 0
            r.skip(2.0)
        else:
            getattr(server, how)()
        assert client.ended() and client.seen.startswith(b"HTTP/1.1 200")
        assert len(client.seen) < 500_000 and not client.seen.endswith(b"0\r\n\r\n")
        assert r.count("cut_off") == 1 and r.daemon.metrics.classes["errors", "a"] == 1 and r.count("relays") == 1
        assert not r.daemon.ingress.held and not r.daemon.shares.flows


def test_a_close_delimited_answer_to_an_old_client_ends_with_the_connection_or_a_reset() -> None:
    for cut in (False, True):
        with rig() as r:
            client = r.client().send(b"GET /a/1 HTTP/1.0\r\nX-Request-ID: 1\r\nX-Tariff: p\r\nX-Timeout: 9000m\r\n\r\n")
            _, server = r.served()
            server.answer()
            server.send(b"HTTP/1.1 200 OK\r\n" + forms(noise(300_000), "chunked", 100)[: 280_000 if cut else None])
            r.until(lambda: r.count("flowed") == 1)
            server.close()
            r.until(lambda: r.count("closed") == 1)
            try:
                while data := client.sock.recv(1 << 20):
                    client.seen += data
                ended = "close"
            except ConnectionResetError:
                ended = "reset"
            assert ended == ("reset" if cut else "close")
            if not cut:
                assert client.seen.split(b"\r\n\r\n", 1)[1] == noise(300_000) and b"chunked" not in client.seen[:200]


def test_a_client_that_does_not_take_stops_its_server_from_being_read_and_is_not_held_against_it() -> None:
    body = noise(24 << 20)
    with rig() as r:
        client, server = asked(r)
        data = H200 + b"Content-Length: %d\r\n\r\n" % len(body) + body
        sent, still = 0, 0
        # Until neither the two sockets nor the account take more. What is under way between two sockets is on another
        # clock than the ingress: while there is room for it the server may seem to stand still.
        while still < 50 or not all(flow.full for flow in flows(r)):
            r.turn()
            try:
                sent, still = sent + server.sock.send(data[sent : sent + 65536]), 0
            except BlockingIOError:
                still += 1
        assert sent < len(data) and max(conn.ahead for conn in flows(r)) <= shares.MOST
        r.skip(6.0)  # longer than a server may stand still, not than a client may
        assert r.count("cut_off") == 0
        seen = 0
        while seen < len(body):
            if sent < len(data):
                try:
                    sent += server.sock.send(data[sent : sent + 65536])
                except BlockingIOError:
                    pass
            r.turn()
            client._more()
            seen = len(client.seen)
        assert client.answer()[2] == body and r.daemon.metrics.classes["ok", "a"] == 1


def test_a_client_that_takes_little_at_a_time_is_not_held_against_its_server() -> None:
    """Half of its share must be free before the server is read again: until then it stands still by our will."""
    body = noise(900_000)
    with rig() as r:
        client, server = asked(r)
        (ours,) = r.daemon.north.clients
        ours.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        data = H200 + b"Content-Length: %d\r\n\r\n" % len(body) + body
        sent = 0
        while sent < len(data) or not flows(r) or not flows(r)[0].full:
            r.turn()
            try:
                sent += server.sock.send(data[sent:])
            except BlockingIOError:
                pass
        (flow,) = flows(r)
        while flow.ahead == shares.MOST:
            r.turn()
            client.seen += client.sock.recv(4096) if select.select([client.sock], [], [], 0)[0] else b""
        assert flow.full and 0 < flow.space() < shares.MOST // 2
        r.skip(6.0)
        assert r.count("answers_stalled") == r.count("cut_off") == 0
        assert client.answer()[2] == body


def flows(r: Rig) -> list[Body]:
    return [c.flow for c in r.daemon.north.clients if c.flow is not None]


def test_a_client_that_leaves_a_long_answer_ends_its_relay() -> None:
    with rig() as r:
        client, server = asked(r)
        server.send(H200 + b"Content-Length: 900000\r\n\r\n" + noise(200_000))
        r.until(lambda: r.count("flowed") == 1)
        client.reset()
        assert server.ended() and not r.daemon.ingress.held and not r.daemon.shares.flows
        assert r.daemon.ingress.gateway.servers["s-0"].err == 0 and r.count("relay_cancelled") == 1


@pytest.mark.parametrize(("told", "status", "tries"), [((32 << 20) + 1, 503, 1), (3 << 30, 503, 3)])
def test_an_answer_longer_than_we_can_take_speaks_against_no_server(told: int, status: int, tries: int) -> None:
    """Over the limit it is ours: not tried again, nobody judged. Said to have 3 GB it is spoilt, as it always was."""
    with rig(servers=3) as r:
        client = r.ask(1)
        for _ in range(tries):
            _, server = r.served()
            server.answer()
            server.send(H200 + b"Content-Length: %d\r\n\r\n" % told + noise(STREAM_MIN_BYTES))
        assert client.answer()[0] == status and r.count("relays") == tries
        assert any(s.err for s in r.daemon.ingress.gateway.servers.values()) == (tries > 1)


# Clients' bodies, over sockets.


def post(size: int) -> bytes:
    return (
        f"POST /a/1 HTTP/1.1\r\nX-Request-ID: 1\r\nX-Tariff: p\r\nX-Timeout: 4000m\r\nContent-Length: {size}\r\n\r\n"
    ).encode()


def test_a_long_body_flows_and_its_time_begins_with_its_last_byte() -> None:
    body = noise(2_000_000)
    with rig() as r:
        client = r.client().send(post(len(body)) + body[:100_000])
        _, server = r.served()
        server.until(b"\r\n\r\n")
        gateway = r.daemon.ingress.gateway
        for n in range(1, 19):  # over three times what the client waits for its answer
            r.skip(0.7)
            client.send(body[n * 100_000 : (n + 1) * 100_000])
        assert not gateway.servers["s-0"].out and r.daemon.metrics.classes["tries", "a"] == 0
        client.send(body[1_900_000:])
        r.until(lambda: r.daemon.metrics.classes["tries", "a"] == 1 or not server._more())
        r.until(lambda: len(server.seen) >= len(body) or not server._more())
        assert server.seen == body and gateway.servers["s-0"].out
        r.skip(3.0)
        server.send(OK)
        assert client.answer()[0] == 200 and gateway.loops["a"].mean < 4.0 and not r.daemon.shares.kept
        assert not r.daemon.shares.flows and not r.daemon.ingress.held


def test_a_long_body_whose_answer_does_not_come_is_given_up_in_its_time() -> None:
    with rig() as r:
        client = r.client().send(post(200_000) + noise(200_000))
        _, server = r.served()
        r.until(lambda: len(server.seen) >= 200_000 or not server._more())
        r.skip(3.98)
        assert client.answer()[0] in (502, 503) and server.ended()


def test_a_server_that_breaks_before_the_last_byte_has_run_nothing_and_the_body_is_sent_again() -> None:
    body = noise(400_000)
    with rig(servers=2, effect="single_shot") as r:
        client = r.client().send(post(len(body)) + body[:300_000])
        _, first = r.served()
        first.until(b"\r\n\r\n")
        first.reset()
        client.send(body[300_000:])
        _, second = r.served()
        assert b"content-length: 400000" in second.until(b"\r\n\r\n").lower()
        r.until(lambda: len(second.seen) >= len(body) or not second._more())
        assert xxhash.xxh3_64(second.seen).digest() == xxhash.xxh3_64(body).digest()
        second.send(OK)
        assert client.answer()[0] == 200 and r.count("relay_connect_failed") == 1 and not r.daemon.shares.kept


def test_a_body_too_long_to_be_kept_is_refused_when_its_server_breaks_and_the_connection_goes_on() -> None:
    """Nothing ran, so a back-off answer is true; what still comes is read and lost, and the next message is served."""
    size = shares.KEPT_MOST + 600_000
    with rig(servers=2, effect="single_shot") as r:
        client = r.client().send(post(size))
        r.until(lambda: bool(r.daemon.north.clients))
        sent, server = 0, None
        while sent < shares.KEPT_MOST + 300_000:
            client.send(noise(100_000))
            sent += 100_000
            r.turn()
            if server is None:
                server = next((w for p in r.peers.values() if (w := p.connected())), None)
            elif server._more():
                pass
        assert server is not None
        r.until(lambda: len(server.seen) > shares.KEPT_MOST or not server._more())
        server.reset()
        client.send(noise(size - sent))
        status, head, _ = client.answer()
        assert status == 503 and b"retry-after" in head.lower() and r.count("relays") == 1
        r.ask(2, wire=client)
        _, other = r.served()
        other.answer()
        other.send(OK)
        assert client.answer()[0] == 200


def test_a_refusal_before_the_end_of_a_body_is_answered_at_once_and_the_rest_is_lost() -> None:
    with rig(servers=0) as r:  # no server at all: refused as soon as it is asked about
        client = r.client().send(post(300_000) + noise(100_000))
        assert client.answer()[0] == 429
        client.send(noise(200_000)).send(b"GET /ready HTTP/1.1\r\n\r\n")
        assert client.answer()[0] == 503 and not r.daemon.shares.flows


def test_what_still_flows_after_a_refusal_is_read_for_as_long_as_it_flows() -> None:
    """Seen on a rough day: 11 clients that sent on at 500 kB/s were cut off 2 s after their 429."""
    with rig(servers=0) as r:
        client = r.client().send(post(900_000) + noise(100_000))
        assert client.answer()[0] == 429
        for _ in range(8):
            r.skip(1.0)
            client.send(noise(100_000))
        r.ask(2, wire=client)
        assert client.answer()[0] == 429
        client = r.client().send(post(900_000) + noise(100_000))
        assert client.answer()[0] == 429
        r.skip(pace.STANDS + pace.HEAD)
        assert client.ended()


def test_what_was_lost_of_one_body_does_not_count_against_the_next(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(north, "LINGER_MOST", 320_000)
    with rig(servers=0) as r:
        client = r.client()
        for _ in range(3):
            client.send(post(300_000) + noise(300_000))
            assert client.answer()[0] == 429


def expecting(size: int) -> bytes:
    return post(size).replace(b"Content-Length", b"Expect: 100-continue\r\nContent-Length")


def test_a_body_is_asked_for_once_its_message_is_let_in_and_not_before() -> None:
    with rig() as r:
        client = r.client().send(expecting(1000))
        assert client.until(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n" and r.count("relays") == 1
        client.send(noise(1000))
        _, server = r.served()
        assert server.answer()[2] == noise(1000)
        server.send(OK)
        assert client.answer()[0] == 200
        r.ask(2, wire=client)  # and the connection is kept
        server.answer()
        server.send(OK)
        assert client.answer()[0] == 200


@pytest.mark.parametrize(("servers", "size", "status"), [(0, 1000, 429), (1, (32 << 20) + 1, 413)])
def test_a_body_that_is_not_wanted_is_never_asked_for(servers: int, size: int, status: int) -> None:
    with rig(servers=servers) as r:
        client = r.client().send(expecting(size))
        found, head, _ = client.answer()
        assert found == status and b"connection: close" in head.lower()
        client.close()
        r.until(lambda: not r.daemon.north.clients)
        assert not r.daemon.shares.flows


def test_a_body_that_stands_still_gets_408_and_its_relay_is_given_up() -> None:
    with rig() as r:
        client = r.client().send(post(300_000) + noise(100_000))
        _, server = r.served()
        r.skip(3.0)
        assert client.answer()[0] == 408 and server.ended() and not r.daemon.ingress.held
        assert not r.daemon.shares.flows and r.daemon.ingress.gateway.servers["s-0"].err == 0


@pytest.mark.parametrize("tail", [b"", b"not a chunk\r\n"])
def test_a_client_that_breaks_off_in_a_long_body_ends_its_relay(tail: bytes) -> None:
    with rig() as r:
        head = post(0).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        client = r.client().send(head + b"15f90\r\n" + noise(90_000) + b"\r\n")
        _, server = r.served()
        if tail:
            client.send(tail)
            assert client.answer()[0] == 400
        else:
            client.reset()
        assert server.ended() and not r.daemon.ingress.held and not r.daemon.shares.flows
        assert r.daemon.metrics.classes["tries", "a"] == 0


def test_a_chunked_body_is_passed_on_chunked_and_whole() -> None:
    body = noise(250_000)
    with rig() as r:
        head = post(0).replace(b"Content-Length: 0\r\n\r\n", b"")
        client = r.client().send(head + forms(body, "chunked", 70_000))
        _, server = r.served()
        assert b"transfer-encoding: chunked" in server.until(b"\r\n\r\n").lower()
        assert chunked(server) == body
        server.send(OK)
        assert client.answer()[0] == 200


def test_a_server_that_turns_a_body_away_before_its_end_is_heard() -> None:
    with rig() as r:
        client = r.client().send(post(400_000) + noise(100_000))
        for _ in range(2):
            _, server = r.served()
            server.until(b"\r\n\r\n")
            server.send(b"HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        assert client.answer()[0] == 503 and r.count("relay_full") == 2


def test_a_body_over_the_limit_gets_413_that_the_client_can_read_after_sending_all_of_it() -> None:
    with rig() as r:
        r.daemon.north.longest = 200_000
        client = r.client().send(post(900_000) + noise(900_000))
        assert client.answer()[0] == 413 and client.ended() and r.count("relays") == 0
        head = post(0).replace(b"Content-Length: 0\r\n\r\n", b"")
        client = r.client().send(head + forms(noise(900_000), "chunked", 300_000))
        assert client.answer()[0] == 413 and client.ended()
        assert r.daemon.metrics.classes["tries", "a"] == 0 and not r.daemon.shares.flows


def test_many_long_bodies_hold_no_more_than_their_account() -> None:
    with rig(limits={"memory_mb": 32}, servers=12) as r:
        account = r.daemon.shares
        pairs = []
        for n in range(12):
            client = r.ask(n + 1)
            _, server = r.served()
            server.answer()
            server.send(H200 + b"Content-Length: 8000000\r\n\r\n")
            pairs.append((client, server, bytearray()))
        for _ in range(400):
            for _, server, _ in pairs:
                try:
                    server.sock.send(b"x" * 65536)
                except BlockingIOError:
                    pass
            r.turn()
        ahead = sum(body.ahead for body in flows(r))
        assert len(flows(r)) == 12 and ahead <= account.flow_most and account.held <= account.held_most


# Kept in files.


def spooled(path: str, most: int = 1 << 30) -> tuple[Body, list[str]]:
    errors = list[str]()
    account = Shares(TOTAL, Folder(path, most, errors.append))
    account.kept_most = 100_000
    return Body(account, keep=True), errors


def through(body: Body, data: bytes) -> bytes:
    """In and taken, slice by slice."""
    taken = b""
    for at in range(0, len(data), 30_000):
        body.put(data[at : at + 30_000])
        taken += b"".join(body.take())
    return taken


def test_what_memory_has_no_room_for_is_read_again_from_a_file(tmp_path: Path) -> None:
    body, errors = spooled(str(tmp_path))
    body.begin()
    data = noise(700_000)
    assert through(body, data) == data and body.again() and not body.kept and body.held < 30_000
    assert body.begin()
    first = b"".join(body.take(123_456))  # the second attempt breaks too, in the middle of the file
    assert first == data[:SLICE] or first == data[:123_456]
    assert body.begin()
    again = b""
    while part := b"".join(body.take()):
        again += part
    body.put(b"the rest")
    body.end()
    assert again == data and b"".join(body.take()) == b"the rest" and body.whole
    folder = body.shares.folder
    assert folder is not None and folder.used == len(data) + 8
    body.drop()
    assert folder.used == 0 and not errors and not list(tmp_path.iterdir())


def test_a_writer_that_waits_is_woken_when_the_file_has_been_read_again(tmp_path: Path) -> None:
    body, _ = spooled(str(tmp_path))
    woken = list[int]()
    body.eased = lambda: woken.append(body.ahead)
    body.begin()
    through(body, noise(700_000))  # all of it is in the file, and nothing in memory
    assert body.begin() and not body.space()
    while body.ahead:
        assert body.take()
    assert len(woken) == 1


@pytest.mark.parametrize("how", ["disk full", "short write", "account full", "no folder"])
def test_a_file_that_cannot_take_it_is_the_next_lower_step_and_loses_nothing(
    how: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    real, calls = os.pwrite, [0]

    def full(number: int, data: memoryview, at: int) -> int:
        calls[0] += 1
        if calls[0] > 5:
            if how == "disk full" or calls[0] > 6:
                raise OSError(errno.ENOSPC, "No space left on device")
            return real(number, data[:100], at)
        return real(number, data, at)

    if how in ("disk full", "short write"):
        monkeypatch.setattr(os, "pwrite", full)
    body, errors = spooled(
        str(tmp_path / "gone" if how == "no folder" else tmp_path), 200_000 if how == "account full" else 1 << 30
    )
    body.begin()
    data = noise(600_000)
    assert through(body, data) == data  # the attempt that is out goes on
    assert not body.again() and not body.begin()  # and is the last
    assert len(errors) == (how != "account full")
    body.drop()
    assert body.shares.folder is not None and body.shares.folder.used == 0


def test_a_file_that_was_cut_short_ends_the_attempt_and_is_never_sent_as_if_whole(tmp_path: Path) -> None:
    body, _ = spooled(str(tmp_path))
    body.begin()
    through(body, noise(400_000))
    assert body._spool is not None and body.begin()
    os.ftruncate(body._spool._file.fileno(), 100_000)
    taken = b""
    with pytest.raises(Hole):
        while True:
            taken += b"".join(body.take())
    assert taken == noise(400_000)[:100_000] and not body.again()


def test_a_body_over_what_memory_keeps_is_sent_again_from_its_file(tmp_path: Path) -> None:
    body = noise(shares.KEPT_MOST + 700_000)
    with rig(servers=2, effect="single_shot", operator={"bodies": {"spool": str(tmp_path)}}) as r:
        client = r.client().send(post(len(body)))
        sent, first = 0, None
        while first is None or len(first.seen) < shares.KEPT_MOST + 100_000:
            if sent < shares.KEPT_MOST + 600_000:
                client.send(body[sent : sent + 100_000])
                sent += 100_000
            r.turn()
            if first is None:
                first = next((w for p in r.peers.values() if (w := p.connected())), None)
            else:
                first._more()
        first.reset()
        client.send(body[sent:])
        _, second = r.served()
        second.until(b"\r\n\r\n")
        r.until(lambda: len(second.seen) >= len(body) or not second._more())
        assert xxhash.xxh3_64(second.seen).digest() == xxhash.xxh3_64(body).digest()
        second.send(OK)
        assert client.answer()[0] == 200 and r.count("relays") == 2
        folder = r.daemon.shares.folder
        assert folder is not None and folder.used == 0


@pytest.mark.parametrize(
    ("told", "field"),
    [
        ({"longest_mb": 0}, "bodies.longest_mb"),
        ({"longest_mb": "x"}, "bodies.longest_mb"),
        ({"spool": 7}, "bodies.spool"),
        ({"spool_mb": 5}, "bodies.spool"),
        ({"spool": "/x", "spool_mb": 0}, "bodies.spool_mb"),
        ({"most": 1}, "bodies.most"),
    ],
)
def test_a_bad_setting_is_named(told: dict[str, Any], field: str) -> None:
    with pytest.raises(ConfigError, match=field):
        decode({"bodies": told})


# Many at once, as `python -m benchmarks.bodies` plays it in full.


def test_a_short_trial_of_many_bodies_loses_none_and_spoils_none() -> None:
    from benchmarks.bodies import run

    report = run(4.0, 80, 3, rounds=1)
    assert (report["wrong"], report["lost"], report["cutOffForNothing"]) == (0, 0, 0), report
    assert report["outcomes"]["whole"] > 50 and report["outcomes"]["told as cut off"] > 0, report
    assert report["peakOverIdleMb"] < 30, report
