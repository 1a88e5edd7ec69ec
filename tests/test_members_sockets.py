"""Members on real sockets: they find each other, drop what is not theirs, change keys, notice a death and a leaving."""

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
QUICK = Timing(probe=0.2, answer=0.1, gossip=0.04, sync=0.5, forget=8.0, rejoin=0.5)


class Fleet:
    def __init__(self, size: int) -> None:
        self.loop = Loop(time.monotonic, Metrics(), NullLog())
        self.heard: list[tuple[str, Changed]] = []
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
            lambda change: self.heard.append((name, change)),
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


def test_members_find_each_other_and_notice_a_death_and_a_leaving() -> None:
    with fleet(6) as f:
        f.members[5].stop()
        f.until(lambda: f.agree(5))
        assert {c.state for _, c in f.heard if c.id == "m5"} >= {"alive", "dead"}
        f.members[4].leave()
        f.until(lambda: sum(c.id == "m4" and c.state == "left" for _, c in f.heard) == 4)
        f.members[4].stop()
        f.until(lambda: f.agree(4))
        assert not [c for _, c in f.heard if c.id == "m4" and c.state == "dead"]


@pytest.mark.parametrize(
    ("make", "cause"),
    [
        (lambda good: good, "replayed"),
        (lambda good: b"x" * 65000, "too_long"),
        (lambda good: good[:20], "truncated"),
        (lambda good: good[:-1] + bytes([good[-1] ^ 1]), "forged"),
        (lambda good: seal(Envelope("z", 1, 1, Ping(1, "m0")), KeyRing("west", KEY)), "forged"),
        (lambda good: seal(Envelope("z", 1, 1, Ping(1, "m0")), KeyRing("east", b"w" * 32)), "unknown_key"),
    ],
)
def test_a_packet_that_is_not_ours_is_counted_and_gets_no_answer(make: Any, cause: str) -> None:
    with fleet(2) as f, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.setblocking(False)
        assert f.members[0].protocol is not None
        host, _, port = f.members[0].protocol.address.rpartition(":")
        good = seal(Envelope("m1", 1, 1, Ping(1, "m0")), KeyRing("east", KEY))  # m1 has used that number
        f.until(lambda: f.members[0].metrics.counts["members_heard"] > 3)
        stranger.sendto(make(good), (host, int(port)))
        f.until(lambda: f.members[0].metrics.counts["members_dropped_" + cause] >= 1)
        with pytest.raises(BlockingIOError):
            stranger.recv(100)
        assert f.agree(2)


def test_keys_change_and_nobody_is_dropped() -> None:
    with fleet(4) as f:
        f.heard.clear()
        new, old = b"n" * 32, bytes.fromhex(f.members[0].ring.marks[0])
        for step in ("add", "use", "remove"):
            for member in f.members:
                if step == "add":
                    mark = member.ring.add(new)
                elif step == "use":
                    member.ring.use(mark)
                else:
                    member.ring.remove(old)
                heard = member.metrics.counts["members_heard"]
                f.until(lambda m=member, h=heard: m.metrics.counts["members_heard"] > h + 3)
        assert not [c for _, c in f.heard if c.state == "dead"] and f.agree(4)
        assert all(m.metrics.counts["members_dropped_unknown_key"] == 0 for m in f.members)


def test_another_fleet_at_the_same_seed_stays_another_fleet() -> None:
    with fleet(2) as f:
        stranger = f.add(fleet="west")
        f.until(lambda: f.members[0].metrics.counts["members_dropped_forged"] >= 1)
        assert stranger.protocol is not None and stranger.protocol.size == 1
        assert all(m.protocol is not None and m.protocol.size == 2 for m in f.members[:2])


def test_a_port_that_is_taken_is_said_and_nothing_is_left_open() -> None:
    with fleet(1) as f, socket.create_server(("127.0.0.1", 0)) as other:
        made = MemberService(f.loop, KeyRing("east", KEY), "x", 1, [], Metrics(), NullLog(), lambda change: None, QUICK)
        with pytest.raises(OSError):
            made.listen(other.getsockname())
        made.stop()


def test_the_port_of_a_closed_stream_can_be_listened_on() -> None:
    """It could not for a minute: a process whose membership listens at that address and port did not start."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        sock = sockets.connect(server.getsockname(), "127.0.0.1")
        at = sock.getsockname()
        there, _ = server.accept()
        sock.close()  # first, so that its side of the connection is the one that lingers
        assert there.recv(1) == b""
        there.close()
        sockets.listen(at, 1).close()
