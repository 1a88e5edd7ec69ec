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

from brackenpulley.address import ConfigError, address
from brackenpulley.config import decode
from brackenpulley.net import sockets

from .rig import Peer, Rig, Wire, rig
from .test_link import SETTINGS
from .test_platform import OK, chunk


def orderly(wire: Wire) -> bool:
    """The other side has ended the connection by an end, not by a reset that may take the last answer with it."""
    found: list[bytes] = []

    def there() -> bool:
        try:
            found.append(wire.sock.recv(1 << 16))
        except BlockingIOError:
            return False
        except ConnectionResetError:
            found.append(b"reset")
        wire.seen += found[-1]
        return found[-1] in (b"", b"reset")

    wire.rig.until(there)
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
        wire = r.ask(1)
        _, server = r.served()
        server.answer()
        wire.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
        wire.send(GONE[how]).close()
        r.until(lambda: not r.daemon.north.clients)
        r.turn()
        assert r.count("gone") == 1 and r.count("relays") == 1 and not r.daemon.ingress.held
        assert server.ended()


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_leaves_while_nothing_of_its_long_body_is_read_is_noticed(reset: bool) -> None:
    with rig() as r:
        wire = r.client().send(head(1, "Content-Length: 30000000\r\n", "POST"))
        server: list[Wire] = []

        def stuck() -> bool:
            """Sent until there is no room here, and no more than the system holds for us."""
            if not server and (found := r.peers["s-0"].connected()):
                server.append(found)
            if not r.daemon.north.unread:
                try:
                    wire.sock.send(b"x" * 60000)
                except BlockingIOError:
                    return False
            return bool(r.daemon.north.unread)

        r.until(stuck)
        wire.reset() if reset else wire.close()
        r.until(lambda: not r.daemon.north.clients)
        assert not r.daemon.north.unread and not r.daemon.ingress.held


def test_a_client_that_left_while_it_waited_to_be_accepted_is_not_sent_on() -> None:
    with rig() as r:
        for number in (1, 2):
            r.ask(number).close()
        stays = r.ask(3)
        _, server = r.served()
        assert f"x-request-id: {3:016x}".encode() in server.answer()[1]
        server.send(OK)
        assert stays.answer()[0] == 200
        assert r.count("messages") == 1 and r.count("gone_unheard") == 2


def test_a_client_that_left_during_a_long_turn_is_not_sent_on() -> None:
    with rig() as r:
        wire = r.client().send(b"GET /ready HTTP/1.1\r\n\r\n")
        assert wire.answer()[0] == 200
        r.freeze()

        def long_turn() -> None:
            r.ask(1, wire=wire).close()
            r.skipped += 0.4

        r.daemon.loop.call_soon(long_turn)
        r.until(lambda: not r.daemon.north.clients)
        assert r.count("messages") == 0 and r.count("gone_unheard") == 1


# Every connection is ended in one way: our side shut down, then read and lost, then closed.


def test_bytes_behind_the_last_message_do_not_take_its_answer_with_them() -> None:
    with rig() as r:
        wire = r.ask(1, more="Connection: close\r\n")
        _, server = r.served()
        server.answer()
        wire.send(head(2) + b"x" * 300000)
        server.send(OK)
        r.until(lambda: bool(r.daemon.north.ended))
        assert orderly(wire) and wire.seen.startswith(b"HTTP/1.1 200") and r.count("relays") == 1
        wire.close()
        r.until(lambda: not r.daemon.north.clients)


@pytest.mark.parametrize("how", ["out of service", "idle", "evicted"])
def test_a_message_that_crosses_the_end_of_a_resting_connection_is_left_to_its_client(
    how: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with rig() as r:
        wire = r.client().send(b"GET /ready HTTP/1.1\r\n\r\n")
        assert wire.answer()[0] == 200
        r.freeze()
        look = sockets.waiting

        def crossing(sock: socket.socket) -> bytes | None:
            found = look(sock)
            if found is None and not r.count("crossed"):
                r.daemon.metrics.add("crossed")
                r.ask(1, wire=wire)  # in the very moment between the look and the end
            return found

        monkeypatch.setattr(sockets, "waiting", crossing)
        if how == "out of service":
            r.daemon.north.close_unused()
        elif how == "evicted":
            assert r.daemon.north._evict()
        else:
            r.skip(130.0)
        r.until(lambda: bool(r.daemon.north.ended))
        assert r.count("crossed") == 1
        r.step(0.1)
        assert orderly(wire) and r.count("messages") == 0
        wire.close()
        r.until(lambda: not r.daemon.north.clients)


def test_what_never_ends_its_side_is_closed_after_a_bound_and_first_where_room_is_short() -> None:
    with rig() as r:
        north, clients = r.daemon.north, []
        north.most = 2
        for _ in range(north.lingering + 5):
            clients.append(r.client().send(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n"))
            assert clients[-1].answer()[0] == 200
        r.until(lambda: len(north.ended) == north.lingering + 2 == len(north.clients))
        assert north._make_room() and len(north.ended) == north.lingering + 1
        r.skip(2.3)
        r.until(lambda: not north.clients)


def test_accepting_that_pauses_again_and_again_has_one_timer() -> None:
    with rig() as r:
        north = r.daemon.north
        for _ in range(50):
            north._pause()
            north._accept_on()
        r.skip(0.02)
        assert r.client().send(b"GET /ready HTTP/1.1\r\n\r\n").answer()[0] == 200
        r.freeze()
        assert sum(timer.call == north._resume for _, _, timer in r.daemon.loop._heap) == 0


# SIGTERM.


def ends(r: Rig, *after: float) -> None:
    r.daemon.loop.running = True
    r.daemon.end()
    for seconds in after:
        r.skip(seconds)


def test_a_message_that_waits_behind_the_one_in_hand_at_sigterm_is_answered_too() -> None:
    with rig() as r:
        wire = r.ask(1)
        _, server = r.served()
        server.answer()
        r.ask(2, wire=wire)
        r.until(lambda: any(client.reader.whole for client in r.daemon.north.clients))
        ends(r, 0.6, 0.2)
        server.send(OK)
        status, first, _ = wire.answer()
        assert status == 200 and b"Connection: close" not in first
        _, server = r.served()
        server.answer()
        server.send(OK)
        status, last, _ = wire.answer()
        assert status == 200 and b"Connection: close" in last and orderly(wire)
        wire.close()
        r.until(lambda: not r.daemon.loop.running)


def test_half_a_message_is_given_up_before_its_answer_could_come_too_late() -> None:
    """Where deadlines are half a second, SIGKILL comes 1.2 s after SIGTERM: a message that is whole at 1.1 s would
    be lost, one that has its error at 0.7 s is not."""
    with rig() as r:
        wire = r.client().send(head(1)[:30])
        r.until(lambda: any(client.reader.partial for client in r.daemon.north.clients))
        ends(r, 0.55)
        assert not r.daemon.north.ended
        r.skip(0.25)
        assert wire.answer()[0] == 408
        wire.send(head(1)[30:])
        assert orderly(wire) and r.count("messages") == 0
        wire.close()
        r.until(lambda: not r.daemon.loop.running)


def test_half_a_message_whose_rest_has_come_unread_is_taken() -> None:
    with rig() as r:
        wire = r.client().send(head(1)[:30])
        r.until(lambda: any(client.reader.partial for client in r.daemon.north.clients))
        ends(r, 0.55)
        r.freeze()
        r.skipped += 0.2
        wire.send(head(1)[30:])
        r.daemon.north.give_up_halves()  # in the turn whose timer is due, before its sockets are looked at
        _, server = r.served()
        server.answer()
        server.send(OK)
        assert wire.answer()[0] == 200


def test_many_resting_connections_all_end_in_order_at_sigterm() -> None:
    """Each has a message on its way in the moment of its end: none is reset, none is sent on."""
    with rig() as r:
        wires = [r.client().send(b"GET /ready HTTP/1.1\r\n\r\n") for _ in range(3 * r.daemon.north.lingering)]
        assert [wire.answer()[0] for wire in wires] == [200] * len(wires)
        ends(r)
        r.daemon.loop.call_soon(lambda: [r.ask(n, wire=wire) for n, wire in enumerate(wires, 1)] and None)
        r.daemon.north.close_unused()
        r.turn()
        assert all(orderly(wire) for wire in wires) and r.count("messages") == 0
        for wire in wires:
            wire.close()
        r.until(lambda: not r.daemon.north.clients)


def test_sigterm_twice_and_a_new_configuration_in_the_same_turn(tmp_path: Any) -> None:
    with rig() as r:
        wire = r.ask(1)
        _, server = r.served()
        server.answer()
        r.daemon.config.path = str(tmp_path / "none.json")
        ends(r)
        r.daemon.reload()  # a file that is gone: one line, nothing else
        r.daemon.end()
        r.skip(0.6)
        server.send(OK)
        assert wire.answer()[0] == 200
        wire.close()
        r.until(lambda: not r.daemon.loop.running)
        assert r.count("reloads_failed") == 1 and r.count("served") == 1


# Discovery.


@contextlib.contextmanager
def with_discovery(**more: Any) -> Iterator[tuple[Rig, Peer]]:
    with rig() as outside:
        place = Peer(outside)
        with rig(**more, discovery=place.at) as r:
            place.rig = r
            yield r, place


def asked(place: Peer) -> tuple[Wire, bytes]:
    """The next call to discovery, and its first line."""
    wire = place.accept()
    return wire, wire.until(b"\r\n\r\n").split(b"\r\n")[0]


def said(told: Any, status: bytes = b"200 OK") -> bytes:
    body = json.dumps(told).encode() if told is not None else b""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


@pytest.mark.parametrize("end", [b"0\r\n\r\n", None])
def test_what_was_put_off_for_an_old_connection_to_discovery_does_not_hit_the_new_one(end: bytes | None) -> None:
    """A watch ends, or the whole list does, in the turn in which a new configuration comes."""
    with with_discovery(**{"known": {}} if end is None else {}) as (r, place):
        wire, _ = asked(place)
        new = Peer(r)
        at = address(new.at, "new")
        r.freeze()
        r.daemon.loop.call_soon(lambda: r.daemon.discovery.move(at))  # runs before what this turn puts off
        if end is None:
            wire.send(said(r.listing()))
        else:
            wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + end)
        r.turn()
        assert r.daemon.discovery.at == at
        wire, line = asked(new)
        assert line.startswith(b"GET /v1/endpoints HTTP") and r.count("watch_breaks") == 0
        wire.send(said({**r.listing(), "generation": 9}))
        r.until(lambda: r.daemon.inventory.version == 9)
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
        r.freeze()
        wire.send(answer)
        r.until(lambda: r.count("watch_breaks") == 1)
        r.step(0.21)
        wire, line = asked(place)
        assert (b"?watch" not in line) == whole
        if whole:  # nor is an answer without a list the whole list
            wire.send(said(None))
            r.until(lambda: r.count("watch_breaks") == 2)
            r.step(0.21)
            wire, line = asked(place)
            assert b"?watch" not in line
            wire.send(said({**r.listing(), "generation": 9, "reset": False, "instances": []}))
            r.until(lambda: r.daemon.inventory.version == 9)
            assert len(r.daemon.inventory) == 0  # whatever it calls itself, it is the whole list


def test_a_change_that_is_never_whole_is_no_sign_of_life() -> None:
    with with_discovery() as (r, place):
        wire, _ = asked(place)
        wire.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        r.until(lambda: r.daemon.discovery.heard_at > 0)
        r.freeze()
        wire.send(b'd\r\n{"generation"\r\n')
        r.until(lambda: r.daemon.discovery._splitter.is_open)
        for _ in range(4):
            wire.send(b"1\r\n\n\r\n")
            r.step(0.3)
        r.until(lambda: r.count("watch_breaks") == 1)


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
        rows = r.listing()["instances"]
        wire.send(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk({"generation": 8, "instances": [{**rows[0], **bad}, rows[1]]})
        )
        r.until(lambda: r.daemon.inventory.version == 8)
        assert not r.daemon.inventory.is_usable("s-0") and r.daemon.inventory.is_usable("s-1")
        assert r.count("list_entries_unread") == 1 and r.count("watch_breaks") == 0
        client = r.ask(1)
        name, server = r.served()
        server.answer()
        server.send(OK)
        assert name == "s-1" and client.answer()[0] == 200


@pytest.mark.parametrize("how", ["drains", "gone", "left out", "elsewhere", "another there"])
def test_no_first_byte_goes_where_the_list_says_no_while_a_connection_comes_up(how: str) -> None:
    with rig(servers=1) as r:
        other = Peer(r)
        row = r.listing()["instances"][0]
        told = {
            "drains": [{**row, "lifecycle": "DRAINING"}],
            "gone": [{"instanceId": "s-0", "lifecycle": "DELETED"}],
            "left out": [],
            "elsewhere": [{**row, "hostPort": other.at}],
            "another there": [{**row, "lifecycle": "DELETED"}, {**row, "instanceId": "s-9"}],
        }[how]
        began = r.daemon.south._handle_connected

        def crossing(conn: Any, attempt: Any) -> None:
            if not r.count("crossed"):  # it has come up in this turn; the list is told in the same one
                r.daemon.metrics.add("crossed")
                r.daemon.inventory.apply_object({"generation": 8, "reset": how == "left out", "instances": told})
            began(conn, attempt)

        r.daemon.south._handle_connected = crossing  # type: ignore[method-assign]
        client = r.ask(1)
        r.until(lambda: r.count("drained_before_send") == 1)
        old = r.peers["s-0"].accept()
        if how in ("elsewhere", "another there"):
            new = other.accept() if how == "elsewhere" else r.peers["s-0"].accept()
            new.answer()
            new.send(OK)
            assert client.answer()[0] == 200
        else:
            assert client.answer()[0] == 503
        r.skip(1.1)
        assert old.ended() and not old.seen  # nor is the connection kept


def test_descriptors_full_of_idle_clients_while_discovery_is_down() -> None:
    """Its return is heard, servers are connected to, /ready and a new message are answered."""
    with with_discovery(limits={"sockets": 64, "memory_mb": 32}, known={}) as (r, place):
        north = r.daemon.north
        crowd = [r.client() for _ in range(64)]
        r.until(lambda: len(north.clients) >= north.most)
        deaf, _ = asked(place)  # never answered: discovery is down
        for _ in range(8):
            r.skip(0.5)
        calls: list[Wire] = []

        def back() -> bool:
            """It answers whatever comes from now on, and what came while it was down."""
            if wire := place.connected():
                calls.append(wire)
            for wire in calls:
                if wire._more() and b"\r\n\r\n" in wire.seen:
                    wire.seen = b""
                    wire.send(said(r.listing()))
            return bool(r.daemon.discovery.heard)

        r.until(back)
        assert r.client().send(b"GET /ready HTTP/1.1\r\n\r\n").answer()[0] == 200
        client = r.ask(1)
        _, server = r.served()
        server.answer()
        server.send(OK)
        assert client.answer()[0] == 200 and r.count("out_of_descriptors") == 0
        assert len(north.clients) <= north.most + north.lingering + 1
        for one in crowd:
            one.close()
        deaf.close()


# Attempts and repeats.


def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_messages() -> None:
    with rig() as r:
        client = r.ask(1)
        _, server = r.served()
        server.answer()
        r.freeze()
        server.send(OK)
        assert client.answer()[0] == 200
        r.step(0.005)
        other = r.ask(2)  # in hand before the second answer comes
        _, fresh = r.served()
        server.send(OK.replace(b"ok", b"no") if b"ok" in OK else OK)
        fresh.answer()
        r.until(lambda: server.ended())
        assert r.count("served") == 1 and not other.seen
        fresh.send(OK)
        assert other.answer()[0] == 200 and not fresh.seen


def test_where_connections_are_bounded_one_that_has_not_rested_makes_room_for_a_new_one() -> None:
    with rig() as r:
        r.daemon.south.connection_limits = {"s-0": 1}
        r.freeze()
        for number in (1, 2):
            client = r.ask(number)
            _, server = r.served()
            server.answer()
            server.send(OK)
            assert client.answer()[0] == 200
        assert r.daemon.south.connection_count == 1 and r.count("south_over_share") == 0


def test_a_connection_that_has_rested_is_used_before_a_fresh_one() -> None:
    with rig() as r:
        r.freeze()
        clients = [r.ask(number) for number in (1, 2)]
        servers = [r.served()[1] for _ in clients]
        for client, server in zip(clients, servers, strict=True):
            server.answer()
            server.send(OK)
            assert client.answer()[0] == 200
            r.step(0.008)  # the first one rests by now, the second one not yet
        third = r.ask(3)
        servers[0].answer()
        assert r.count("connects") == 2 and not third.seen


@pytest.mark.parametrize("effect", ["guarded", "single_shot"])
def test_a_repeat_that_would_reach_its_server_after_the_window_is_none(effect: str) -> None:
    """Its connection comes up only then."""
    with rig(servers=2, effect=effect) as r:
        client = r.ask(1, method="POST", more="Idempotency-Key: k\r\n", body=b"x")
        name, server = r.served()
        server.answer()
        r.freeze()
        server.reset()
        r.until(lambda: r.count("relays") == 2 or bool(client._more() and client.seen))
        r.skip(4.0)
        status = client.answer()[0]
        other = next(peer for key, peer in r.peers.items() if key != name)
        wire = other.connected()
        assert r.count("window_over") == (effect == "guarded") and (wire is None) == (effect == "single_shot")
        assert wire is None or not (wire._more() and wire.seen)
        assert status == (503 if effect == "guarded" else 502)  # where all drop repeats, another try is harmless


def test_an_attempt_that_has_not_begun_is_not_begun_for_a_client_that_left_though_none_is_cancelled() -> None:
    with rig() as r:
        r.daemon.ingress.gateway.s.cancel = False
        event, r.daemon.south._handle_event = (
            r.daemon.south._handle_event,
            lambda conn, events: None,
        )  # it does not come up yet
        client = r.ask(1)
        r.until(lambda: r.count("relays") == 1)
        client.close()
        r.until(lambda: r.count("gone") == 1)
        r.daemon.south._handle_event = event  # type: ignore[method-assign]
        wire = r.peers["s-0"].accept()
        assert wire.ended() and not wire.seen and not r.daemon.ingress.held and not r.daemon.south.connection_count


def test_an_attempt_that_has_begun_goes_on_where_none_is_cancelled() -> None:
    with rig() as r:
        r.daemon.ingress.gateway.s.cancel = False
        client = r.ask(1)
        _, server = r.served()
        server.answer()
        client.close()
        r.until(lambda: r.count("gone") == 1)
        assert r.daemon.south.connection_count == 1
        server.send(OK)
        r.until(lambda: not r.daemon.ingress.held)


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
        client = r.ask(1, method="POST", body=b"x")
        name, server = r.served()
        server.answer()
        if answer:
            server.send(answer)
            r.turn()
            r.turn()
        if not never:
            server.reset()
        if never or effect == "free":
            other, again = r.served()
            again.answer()
            again.send(OK)
            assert other != name and client.answer()[0] == 200
        else:
            assert client.answer()[0] == 502 and r.count("relays") == 1


def test_an_answer_that_comes_in_the_turn_of_the_time_out_is_taken_or_may_have_run() -> None:
    with rig(servers=2, effect="single_shot") as r:
        client = r.ask(1, timeout="4030m", method="POST", body=b"x")
        _, server = r.served()
        server.answer()
        r.freeze()
        server.send(OK)
        r.skip(4.0)  # its bytes and its end are due in one turn
        assert client.answer()[0] == 200 and r.count("served") == 1 and r.count("relays") == 1


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
            client = r.client().send(
                (
                    f"POST /zx-{number - 1}/{number:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {number:016x}\r\n"
                    f"X-Tariff: qq\r\nX-Timeout: 19000m\r\nX-Weight: units=3\r\nContent-Length: 1\r\n\r\nx"
                ).encode()
            )
            _, server = r.served()
            server.answer()
            server.reset()
            if effect == "single_shot":
                assert client.answer()[0] == 502  # it may have run: nothing says that another try is harmless
            else:
                _, again = r.served()
                again.answer()
                again.send(OK)
                assert client.answer()[0] == 200
                again.close()
                r.until(
                    lambda: not r.daemon.south.connection_count
                )  # else the next message goes over it, to no new connection
            r.skip(0.5)
        assert r.count("relays") == sum(1 if effect == "single_shot" else 2 for effect in effects)


# A new process, with the list that it last held in its configuration.


def test_what_the_agent_has_goes_before_the_old_list_from_the_first_message_on() -> None:
    with with_discovery(servers=2) as (r, place):
        early = r.ask(1)  # before the agent has said a word: not sent by the old list
        assert early.answer()[0] == 429 and r.count("relays") == 0
        wire, line = asked(place)
        assert b"?watch=1&from=7 " in line
        wire.send(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk({**r.listing(s_0="DRAINING"), "reset": False, "generation": 8})
        )
        r.until(lambda: r.daemon.inventory.version == 8)
        r.freeze()  # no connection rests long enough to be used again: each message is seen to arrive at its server
        for number in range(2, 8):
            client = r.ask(number)
            name, server = r.served()
            server.answer()
            server.send(OK)
            assert name == "s-1" and client.answer()[0] == 200


@pytest.mark.parametrize("how", ["silent", "refused", "busy"])
def test_a_restarted_process_is_ready_within_2_s_whatever_discovery_does(how: str) -> None:
    with with_discovery() as (r, place):
        if how == "refused":
            place.sock.close()
        for _ in range(18):
            r.skip(0.1)
            if how == "busy" and (wire := place.connected()):
                wire.send(said(None, b"503 Busy"))
        assert r.client().send(b"GET /ready HTTP/1.1\r\n\r\n").answer()[0] == 200
        client = r.ask(1)
        _, server = r.served()
        server.answer()
        server.send(OK)
        assert client.answer()[0] == 200
