"""Membership on sockets: joining, invalid packets, key rotation, detection of death, announced leaving."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from brackenpulley.members.keys import KeyRing
from brackenpulley.members.protocol import Changed, Timing
from brackenpulley.members.transport import MemberService
from brackenpulley.members.wire import Envelope, Ping, seal
from brackenpulley.metrics import Metrics
from brackenpulley.net import sockets
from brackenpulley.net.loop import Loop

from .test_ledger import NullLog

KEY = b"k" * 32
QUICK = Timing(
    probe_interval=0.2,
    ack_timeout=0.1,
    gossip_interval=0.04,
    sync_interval=0.5,
    dead_retention=8.0,
    rejoin_interval=0.5,
)


class Fleet:
    def __init__(self, size: int) -> None:
        self.loop = Loop(time.monotonic, Metrics(), NullLog())
        self.changes: list[tuple[str, Changed]] = []
        self.members: list[MemberService] = []
        for _ in range(size):
            self.add()

    def add(self, at: tuple[str, int] = ("127.0.0.1", 0), fleet: str = "east") -> MemberService:
        name = f"m{len(self.members)}"
        seeds = [self.members[0].protocol.address] if self.members and self.members[0].protocol else []
        made = MemberService(
            self.loop,
            KeyRing(fleet, KEY),
            name,
            1,
            seeds,
            Metrics(),
            NullLog(),
            lambda change: self.changes.append((name, change)),
            QUICK,
        )
        made.listen(at)
        self.members.append(made)
        return made

    def until(self, done: Callable[[], bool]) -> None:
        end = time.monotonic() + 15
        while not done():
            assert time.monotonic() < end, [m.status() for m in self.members]
            self.loop.run_once(0.01)

    def agree(self, count: int) -> bool:
        return all(m.protocol is None or m.protocol.size == count for m in self.members)


@contextmanager
def fleet(size: int) -> Iterator[Fleet]:
    made = Fleet(size)
    try:
        made.until(lambda: made.agree(size))
        yield made
        assert made.loop.metrics.counts["faults"] == 0
    finally:
        for member in made.members:
            member.stop()
        made.loop.close()


def test_members_find_each_other_and_detect_a_death_and_a_leave() -> None:
    with fleet(6) as running:
        running.members[5].stop()
        running.until(lambda: running.agree(5))
        assert {change.state for _, change in running.changes if change.id == "m5"} >= {"alive", "dead"}
        running.members[4].leave()
        running.until(lambda: sum(change.id == "m4" and change.state == "left" for _, change in running.changes) == 4)
        running.members[4].stop()
        running.until(lambda: running.agree(4))
        assert not [change for _, change in running.changes if change.id == "m4" and change.state == "dead"]


@pytest.mark.parametrize(
    ("make", "cause"),
    [
        (lambda valid: valid, "replayed"),
        (lambda valid: b"x" * 65000, "too_long"),
        (lambda valid: valid[:20], "truncated"),
        (lambda valid: valid[:-1] + bytes([valid[-1] ^ 1]), "forged"),
        (lambda valid: seal(Envelope("z", 1, 1, Ping(1, "m0")), KeyRing("west", KEY)), "forged"),
        (lambda valid: seal(Envelope("z", 1, 1, Ping(1, "m0")), KeyRing("east", b"w" * 32)), "unknown_key"),
    ],
)
def test_an_invalid_packet_is_counted_and_not_answered(make: Any, cause: str) -> None:
    with fleet(2) as running, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.setblocking(False)
        assert running.members[0].protocol is not None
        host, _, port = running.members[0].protocol.address.rpartition(":")
        valid = seal(Envelope("m1", 1, 1, Ping(1, "m0")), KeyRing("east", KEY))  # m1 has already used this number
        running.until(lambda: running.members[0].metrics.counts["members_heard"] > 3)
        stranger.sendto(make(valid), (host, int(port)))
        running.until(lambda: running.members[0].metrics.counts["members_dropped_" + cause] >= 1)
        with pytest.raises(BlockingIOError):
            stranger.recv(100)
        assert running.agree(2)


def test_a_key_rotation_drops_no_member() -> None:
    with fleet(4) as running:
        running.changes.clear()
        new, old = b"n" * 32, bytes.fromhex(running.members[0].ring.marks[0])
        for step in ("add", "use", "remove"):
            for member in running.members:
                if step == "add":
                    mark = member.ring.add(new)
                elif step == "use":
                    member.ring.use(mark)
                else:
                    member.ring.remove(old)
                received = member.metrics.counts["members_heard"]
                running.until(
                    lambda service=member, before=received: service.metrics.counts["members_heard"] > before + 3
                )
        assert not [change for _, change in running.changes if change.state == "dead"] and running.agree(4)
        assert all(m.metrics.counts["members_dropped_unknown_key"] == 0 for m in running.members)


def test_a_member_of_another_fleet_does_not_join_through_the_same_seed() -> None:
    with fleet(2) as running:
        stranger = running.add(fleet="west")
        running.until(lambda: running.members[0].metrics.counts["members_dropped_forged"] >= 1)
        assert stranger.protocol is not None and stranger.protocol.size == 1
        assert all(m.protocol is not None and m.protocol.size == 2 for m in running.members[:2])


def test_a_port_in_use_raises_and_leaves_no_socket_open() -> None:
    with fleet(1) as running, socket.create_server(("127.0.0.1", 0)) as other:
        made = MemberService(
            running.loop, KeyRing("east", KEY), "x", 1, [], Metrics(), NullLog(), lambda change: None, QUICK
        )
        with pytest.raises(OSError):
            made.listen(other.getsockname())
        made.stop()


def test_the_port_of_a_closed_stream_can_be_listened_on() -> None:
    """Guards against a listener that fails while an outgoing stream's port is in TIME_WAIT, for about a minute.

    A process whose membership listens on that address and port could then not start."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        sock = sockets.connect(server.getsockname(), "127.0.0.1")
        address = sock.getsockname()
        accepted, _ = server.accept()
        sock.close()  # closed first, so that this side of the connection is the one in TIME_WAIT
        assert accepted.recv(1) == b""
        accepted.close()
        sockets.listen(address, 1).close()
