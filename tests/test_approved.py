"""Approved transcripts: one story each, compared with what was read line by line and approved (tests/approved/)."""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import pytest
from syrupy.assertion import SnapshotAssertion
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode
from syrupy.location import PyTestLocation

from brackenpulley.control.api import PendingReply, Routes, work_routes
from brackenpulley.maintenance.permits import Enter, Permits, Said, Step, encode
from brackenpulley.members.protocol import Timing
from brackenpulley.members.station import Station
from brackenpulley.net.counter import encode_add as counter_call
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.voters import Voters
from brackenpulley.simulation.world import START, Host, World

from .rig import Peer, Rig, rig
from .test_maintenance import BOUNDS, FACTS
from .test_platform import chunk
from .transcripts import Transcript

STILL = Links(Link(delay=0.01, spread=0.0))


class Story(SingleFileSnapshotExtension):
    """tests/approved/STORY.txt"""

    _write_mode = WriteMode.TEXT
    file_extension = "txt"

    @classmethod
    def dirname(cls, *, test_location: PyTestLocation) -> str:
        return str(Path(test_location.filepath).parent / "approved")

    @classmethod
    def get_snapshot_name(cls, *, test_location: PyTestLocation, index: Any = 0) -> str:
        return test_location.methodname


@pytest.fixture
def approved(snapshot: SnapshotAssertion) -> SnapshotAssertion:
    return snapshot.use_extension(Story)


def cluster(seed: int, followers: int = 0) -> Voters:
    made = Voters(seed, 3, followers, links=Links(Link(delay=0.01, spread=0.0)), skew=0.0)
    made.proposing = False
    return made


def ask(made: Voters, name: str, body: bytes, told: Transcript) -> None:
    host = made.world.host(name)
    part = made.part(host)
    assert part is not None
    told.say(f"{made.world.now - START:7.3f} {name} proposes {body.decode()}")
    part.propose(
        made.world.now,
        "register",
        body,
        9.0,
        lambda outcome: told.say(
            f"{made.world.now - START:7.3f} {name} is told {outcome.answer if outcome else 'nothing'}"
        ),
    )
    made.world.do(host, host.driven.said())  # type: ignore[union-attr]


def test_three_founders_begin_a_log_and_a_follower_proposes(approved: SnapshotAssertion) -> None:
    told, made = Transcript(), cluster(3, followers=1)
    told.title("nobody has a disk with anything on it: each asks where the others are, the first one founds")
    told.watch(made.world)
    made.world.run(made.world.now + 0.1)
    told.title("nobody has heard a leader for long enough: one asks beforehand, stands and leads")
    assert made.world.until(lambda: bool(made.leader()) and made.truth.commit >= 2, 5.0)
    told.title("the process without a vote proposes: its voter passes it on to the leader, and it sees it done")
    ask(made, "f0", b"first", told)
    assert made.world.until(lambda: "is told" in told.lines[-1], 3.0)
    assert told.text() == approved


def test_a_leader_dies_and_its_unfinished_entry_is_replaced(approved: SnapshotAssertion) -> None:
    told, made = Transcript(), cluster(4)
    world = made.world
    assert world.until(lambda: bool(made.leader()) and made.truth.commit >= 2, 5.0)
    world.run(world.now + 0.3)
    first = made.leader()
    told.title(f"{first} leads; it is cut off from both others with an entry that reaches nobody")
    told.watch(world)
    world.links.part({world.host(first).address}, {a for a in made.seats.values() if a != world.host(first).address})
    ask(made, first, b"unheard", told)
    world.run(world.now + 0.15)
    told.title(f"{first} is killed; the others agree on the next one")
    world.kill(world.host(first))
    world.links.heal()
    assert world.until(lambda: made.leader() not in ("", first) and made.truth.commit >= 3, 6.0)
    told.title(f"{first} comes back with its disk: what it alone held gives way")
    world.start(world.host(first))
    assert world.until(lambda: made.agreed() and made.part(world.host(first)).machine.index >= 3, 4.0)  # type: ignore
    assert told.text() == approved


def test_a_voter_whose_disk_is_lost_votes_again_once_a_leader_shows_it_all(approved: SnapshotAssertion) -> None:
    told, made = Transcript(), cluster(5)
    world = made.world
    assert world.until(lambda: bool(made.leader()) and made.truth.commit >= 2, 5.0)
    ask(made, made.leader(), b"kept", told)
    world.run(world.now + 0.5)
    lost = next(name for name in made.names if name != made.leader())
    told.title(f"{made.leader()} leads; {lost} is killed and its disk is empty when it comes back")
    world.kill(world.host(lost))
    world.host(lost).disk.lose()
    told.watch(world)
    world.start(world.host(lost))

    def sure() -> bool:
        return any(host.name == lost and node.proved for host, node in made.nodes())

    assert world.until(sure, 4.0)
    told.title(f"{lost} may vote again")
    assert told.text() == approved


def test_members_find_each_other_and_one_dies(approved: SnapshotAssertion) -> None:
    told, world = Transcript(), World(6, STILL)
    quick = Timing(probe=0.5, answer=0.2, sync=99.0, rejoin=99.0)

    def make(host: Host) -> Station:
        return Station(f"{host.name}@{host.life}", host.address, random.Random(host.name), world.now, quick)

    told.title("three join through the first")
    for name in ("m0", "m1", "m2"):
        world.add(name, f"a-{name}", make)
    told.watch(world)
    world.changed = lambda host, change: told.say(
        f"{world.now - START:7.3f} {host.name}: {change.id} is {change.state}"
    )
    for name in ("m1", "m2"):
        host = world.host(name)
        world.do(host, host.driven.join(["a-m0"]))  # type: ignore[union-attr]
    world.run(world.now + 0.3)
    told.title("m1 tells something of itself")
    station = world.host("m1").driven
    assert isinstance(station, Station)
    station.records.publish("load", "", b"7")
    world.do(world.host("m1"), station.said())
    world.run(world.now + 0.25)
    told.title("m2 dies")
    world.kill(world.host("m2"))
    world.run(world.now + 3.2)
    assert told.text() == approved


class Desk:
    """The agreed state without agreement: each command is applied at once."""

    def __init__(self) -> None:
        self.permits, self.now = Permits(), 1000.0
        for name in ("x", "y"):
            self.permits.apply(self.now, encode(Enter(name, name + "@1")))

    def propose(self, command: Any, done: Any, patience: float) -> None:
        done(self.permits.apply(self.now, encode(command)))

    def plan(self) -> list[Any]:
        return []


def test_a_machine_goes_out_for_work_over_the_control_api(approved: SnapshotAssertion) -> None:
    told, desk, routes = Transcript(), Desk(), Routes()
    work_routes(routes, desk)

    def call(method: str, path: str, body: Any = None) -> None:
        reply = routes.answer(method, path, json.dumps(body).encode() if body is not None else b"")
        assert not isinstance(reply, PendingReply)
        told.say(f"{method} {path} {json.dumps(body) if body is not None else ''}".rstrip())
        told.say(f"  {reply.status} {reply.body.decode().rstrip()}")

    def step(after: float, carried: list[str]) -> None:
        desk.now += after
        answer = desk.permits.apply(desk.now, encode(Step(FACTS, BOUNDS, 5.0, 30.0, carried)))
        told.say(f"-- {after:g} s later whoever leads steps: {json.dumps(answer)}")

    told.title("asked for, and what makes no sense")
    call("POST", "/v1/work", {"id": "host-7", "by": "ann", "servers": ["s0"], "zone": "a"})
    call("POST", "/v1/work", {"id": "host-7", "by": "ann", "servers": ["s0"], "zone": "a"})
    call("POST", "/v1/work", {"id": "host-8", "by": "ann", "servers": ["s0"], "zone": "a"})
    call("POST", "/v1/work", {"id": "host-9", "by": "ann"})
    call("POST", "/v1/work", {"id": "host-9", "by": "", "servers": ["s1"]})
    call("POST", "/v1/work", {"id": "host-9", "by": "ann", "servers": ["s1"], "hurry": True})
    call("GET", "/v1/work/host-9")
    told.title("granted; one ingress has cleared it, the other has not")
    step(1.0, [])
    desk.permits.apply(desk.now, encode(Said("host-7", 1, "x", "x@1")))
    call("GET", "/v1/work/host-7")
    call("POST", "/v1/work/host-7/begin", {"token": 1})
    told.title("cleared by all: work begins, with its token alone")
    desk.permits.apply(desk.now, encode(Said("host-7", 1, "y", "y@1")))
    call("POST", "/v1/work/host-7/begin", {"token": 0})
    call("POST", "/v1/work/host-7/begin", {"token": 1})
    call("POST", "/v1/work/host-7/withdraw", {"by": "ann"})
    call("POST", "/v1/work/host-7/finish", {"token": 1})
    told.title("it carries load again")
    step(9.0, ["host-7"])
    call("GET", "/v1/work/host-7")
    told.title("the next one: an ingress says nothing, until an operator does")
    call("POST", "/v1/work", {"id": "host-8", "by": "bob", "servers": ["s1"], "zone": "b", "urgency": 3})
    step(1.0, [])
    step(31.0, [])
    call("GET", "/v1/work/host-8")
    call("POST", "/v1/work/host-8/override", {"by": "carla"})
    call("GET", "/v1/work/host-8")
    assert told.text() == approved


def test_discovery_is_listed_watched_and_asked_again_after_silence(approved: SnapshotAssertion) -> None:
    told = Transcript()
    scout = Rig()
    source = Peer(scout)
    scout.close()
    with rig(discovery=source.address, known={}, seed="1") as r:
        source.rig = r
        begin = 0.0

        def heard(wire: Any) -> None:
            line = wire.read_until(b"\r\n").decode().splitlines()[0]
            told.say(f"{r.daemon.clock() - begin if begin else 0:6.1f} ingress: {line}")

        def say(wire: Any, data: bytes, text: str) -> None:
            told.say(f"{r.daemon.clock() - begin if begin else 0:6.1f} discovery: {text}")
            wire.send(data)

        wire = source.accept()
        heard(wire)
        body = json.dumps(r.make_listing(), indent=1).encode()
        say(wire, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body), "the whole list, indented")
        wire = source.accept()
        heard(wire)
        r.freeze_clock()
        begin = r.daemon.clock()
        change = {**r.make_listing(s_0="DRAINING"), "reset": False, "generation": 8}
        say(wire, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(change), "s-0 drains, version 8")
        r.run_until(lambda: not r.daemon.inventory.is_usable("s-0"))
        told.say(f"{0:6.1f} ingress: uses s-0: {r.daemon.inventory.is_usable('s-0')}")
        told.say("       discovery says nothing more")
        for _ in range(2):
            call = None
            while call is None:
                r.step_clock(0.1)
                call = source.try_accept()
            heard(call)
        say(
            call,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk({**r.make_listing(), "reset": False, "generation": 9}),
            "s-0 serves, version 9",
        )
        r.run_until(lambda: r.daemon.inventory.is_usable("s-0"))
        told.say(f"       ingress: uses s-0: {r.daemon.inventory.is_usable('s-0')}")
    assert told.text() == approved


def test_the_counter_is_asked_and_fails_in_each_way(approved: SnapshotAssertion) -> None:
    told = Transcript()
    with rig(counter=True) as r:
        ends: list[str] = []
        client = r.daemon.counter
        assert client is not None
        client.on_event = lambda event: ends.append(f"{event.status} {event.total:g}")

        def asked(name: int, amount: float) -> None:
            told.say("ingress: " + counter_call(name, amount, 4.0).decode().replace("\r\n", " "))
            client.add(name, amount, 4.0)  # type: ignore[union-attr]

        def heard(count: int, said: str) -> None:
            r.run_until(lambda: len(ends) == count)
            told.say(f"  {said}: {', '.join(ends[-1:])}")

        asked(5, 1.5)
        wire = r.counter.accept()
        wire.read_until(b"4000\r\n")
        wire.send(b"$3\r\n1.5\r\n")
        heard(1, "counter: 1.5")
        for reply in (b"-BUSY\r\n", b"-ERR no\r\n"):
            asked(6, 2)
            wire.read_until(b"4000\r\n")
            wire.send(reply)
            heard(len(ends) + 1, f"counter: {reply.decode().strip()}")
        asked(7, 1)
        wire.read_until(b"4000\r\n")
        r.advance_clock(0.04)
        heard(4, "counter says nothing in time")
        asked(8, 1)
        wire.read_until(b"4000\r\n")
        wire.reset()
        heard(5, "the connection breaks after the last byte")
    assert told.text() == approved
