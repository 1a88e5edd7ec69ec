"""Approval tests: each scenario renders a transcript and compares it with the reviewed one in tests/approved/."""

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
from brackenpulley.maintenance.permits import Cleared, Enter, Permits, Step, encode
from brackenpulley.members.protocol import Timing
from brackenpulley.members.station import Station
from brackenpulley.net.counter import encode_add as counter_call
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.voters import Cluster
from brackenpulley.simulation.world import START_SECONDS, Host, World

from .rig import Peer, Rig, rig
from .test_maintenance import BOUNDS, FLEET
from .test_platform import chunk
from .transcripts import Transcript

STEADY_LINKS = Links(Link(delay=0.01, jitter=0.0))


class ApprovedTranscript(SingleFileSnapshotExtension):
    """Stores the transcript of a test as tests/approved/TEST_FUNCTION.txt."""

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
    return snapshot.use_extension(ApprovedTranscript)


def make_cluster(seed: int, followers: int = 0) -> Cluster:
    cluster = Cluster(seed, 3, followers, links=Links(Link(delay=0.01, jitter=0.0)), skew=0.0)
    cluster.is_proposing = False
    return cluster


def propose(cluster: Cluster, name: str, body: bytes, transcript: Transcript) -> None:
    host = cluster.world.find_host(name)
    agreement = cluster.find_agreement(host)
    assert agreement is not None
    transcript.add_line(f"{cluster.world.now - START_SECONDS:7.3f} {name} proposes {body.decode()}")
    agreement.propose(
        cluster.world.now,
        "register",
        body,
        9.0,
        lambda outcome: transcript.add_line(
            f"{cluster.world.now - START_SECONDS:7.3f} {name} is told {outcome.answer if outcome else 'nothing'}"
        ),
    )
    cluster.world.apply_effects(host, host.process.said())  # type: ignore[union-attr]


def test_three_founders_begin_a_log_and_a_follower_proposes(approved: SnapshotAssertion) -> None:
    transcript, cluster = Transcript(), make_cluster(3, followers=1)
    transcript.add_title("nobody has a disk with anything on it: each asks where the others are, the first one founds")
    transcript.record_sends(cluster.world)
    cluster.world.run(cluster.world.now + 0.1)
    transcript.add_title("nobody has heard a leader for long enough: one asks beforehand, stands and leads")
    assert cluster.world.run_until(lambda: bool(cluster.find_leader()) and cluster.observations.commit_index >= 2, 5.0)
    transcript.add_title(
        "the process without a vote proposes: its voter passes it on to the leader, and it sees it done"
    )
    propose(cluster, "f0", b"first", transcript)
    assert cluster.world.run_until(lambda: "is told" in transcript.lines[-1], 3.0)
    assert transcript.render() == approved


def test_a_leader_dies_and_its_unfinished_entry_is_replaced(approved: SnapshotAssertion) -> None:
    transcript, cluster = Transcript(), make_cluster(4)
    world = cluster.world
    assert world.run_until(lambda: bool(cluster.find_leader()) and cluster.observations.commit_index >= 2, 5.0)
    world.run(world.now + 0.3)
    first = cluster.find_leader()
    transcript.add_title(f"{first} leads; it is cut off from both others with an entry that reaches nobody")
    transcript.record_sends(world)
    world.links.partition(
        {world.find_host(first).address},
        {a for a in cluster.voter_addresses.values() if a != world.find_host(first).address},
    )
    propose(cluster, first, b"unheard", transcript)
    world.run(world.now + 0.15)
    transcript.add_title(f"{first} is killed; the others agree on the next one")
    world.kill(world.find_host(first))
    world.links.heal()
    assert world.run_until(
        lambda: cluster.find_leader() not in ("", first) and cluster.observations.commit_index >= 3, 6.0
    )
    transcript.add_title(f"{first} comes back with its disk: what it alone held gives way")
    world.start(world.find_host(first))
    assert world.run_until(
        lambda: cluster.has_converged() and cluster.find_agreement(world.find_host(first)).machine.index >= 3,  # type: ignore
        4.0,
    )
    assert transcript.render() == approved


def test_a_voter_whose_disk_is_lost_votes_again_once_a_leader_shows_it_all(approved: SnapshotAssertion) -> None:
    transcript, cluster = Transcript(), make_cluster(5)
    world = cluster.world
    assert world.run_until(lambda: bool(cluster.find_leader()) and cluster.observations.commit_index >= 2, 5.0)
    propose(cluster, cluster.find_leader(), b"kept", transcript)
    world.run(world.now + 0.5)
    lost = next(name for name in cluster.voter_names if name != cluster.find_leader())
    transcript.add_title(f"{cluster.find_leader()} leads; {lost} is killed and its disk is empty when it comes back")
    world.kill(world.find_host(lost))
    world.find_host(lost).disk.wipe()
    transcript.record_sends(world)
    world.start(world.find_host(lost))

    def may_vote() -> bool:
        return any(host.name == lost and node.is_verified for host, node in cluster.list_running_nodes())

    assert world.run_until(may_vote, 4.0)
    transcript.add_title(f"{lost} may vote again")
    assert transcript.render() == approved


def test_members_find_each_other_and_one_dies(approved: SnapshotAssertion) -> None:
    transcript, world = Transcript(), World(6, STEADY_LINKS)
    short_timing = Timing(probe_interval=0.5, ack_timeout=0.2, sync_interval=99.0, rejoin_interval=99.0)

    def make_station(host: Host) -> Station:
        return Station(
            f"{host.name}@{host.incarnation}", host.address, random.Random(host.name), world.now, short_timing
        )

    transcript.add_title("three join through the first")
    for name in ("m0", "m1", "m2"):
        world.add_host(name, f"a-{name}", make_station)
    transcript.record_sends(world)
    world.on_member_change = lambda host, change: transcript.add_line(
        f"{world.now - START_SECONDS:7.3f} {host.name}: {change.id} is {change.state}"
    )
    for name in ("m1", "m2"):
        host = world.find_host(name)
        world.apply_effects(host, host.process.join(["a-m0"]))  # type: ignore[union-attr]
    world.run(world.now + 0.3)
    transcript.add_title("m1 tells something of itself")
    station = world.find_host("m1").process
    assert isinstance(station, Station)
    station.records.publish("load", "", b"7")
    world.apply_effects(world.find_host("m1"), station.said())
    world.run(world.now + 0.25)
    transcript.add_title("m2 dies")
    world.kill(world.find_host("m2"))
    world.run(world.now + 3.2)
    assert transcript.render() == approved


class UnreplicatedPermits:
    """Stands in for the replicated permits: applies each command at once, without agreement."""

    def __init__(self) -> None:
        self.permits, self.now = Permits(), 1000.0
        for name in ("x", "y"):
            self.permits.apply(self.now, encode(Enter(name, name + "@1")))

    def propose(self, command: Any, done: Any, patience: float) -> None:
        done(self.permits.apply(self.now, encode(command)))

    def plan(self) -> list[Any]:
        return []


def test_a_machine_goes_out_for_work_over_the_control_api(approved: SnapshotAssertion) -> None:
    transcript, permits_service, routes = Transcript(), UnreplicatedPermits(), Routes()
    work_routes(routes, permits_service)

    def call(method: str, path: str, body: Any = None) -> None:
        reply = routes.answer(method, path, json.dumps(body).encode() if body is not None else b"")
        assert not isinstance(reply, PendingReply)
        transcript.add_line(f"{method} {path} {json.dumps(body) if body is not None else ''}".rstrip())
        transcript.add_line(f"  {reply.status} {reply.body.decode().rstrip()}")

    def step(seconds: float, carrying_load: list[str]) -> None:
        permits_service.now += seconds
        answer = permits_service.permits.apply(
            permits_service.now, encode(Step(FLEET, BOUNDS, 5.0, 30.0, carrying_load))
        )
        transcript.add_line(f"-- {seconds:g} s later whoever leads steps: {json.dumps(answer)}")

    transcript.add_title("asked for, and what makes no sense")
    call("POST", "/v1/work", {"id": "host-7", "by": "ann", "servers": ["s0"], "zone": "a"})
    call("POST", "/v1/work", {"id": "host-7", "by": "ann", "servers": ["s0"], "zone": "a"})
    call("POST", "/v1/work", {"id": "host-8", "by": "ann", "servers": ["s0"], "zone": "a"})
    call("POST", "/v1/work", {"id": "host-9", "by": "ann"})
    call("POST", "/v1/work", {"id": "host-9", "by": "", "servers": ["s1"]})
    call("POST", "/v1/work", {"id": "host-9", "by": "ann", "servers": ["s1"], "hurry": True})
    call("GET", "/v1/work/host-9")
    transcript.add_title("granted; one ingress has cleared it, the other has not")
    step(1.0, [])
    permits_service.permits.apply(permits_service.now, encode(Cleared("host-7", 1, "x", "x@1")))
    call("GET", "/v1/work/host-7")
    call("POST", "/v1/work/host-7/begin", {"token": 1})
    transcript.add_title("cleared by all: work begins, with its token alone")
    permits_service.permits.apply(permits_service.now, encode(Cleared("host-7", 1, "y", "y@1")))
    call("POST", "/v1/work/host-7/begin", {"token": 0})
    call("POST", "/v1/work/host-7/begin", {"token": 1})
    call("POST", "/v1/work/host-7/withdraw", {"by": "ann"})
    call("POST", "/v1/work/host-7/finish", {"token": 1})
    transcript.add_title("it carries load again")
    step(9.0, ["host-7"])
    call("GET", "/v1/work/host-7")
    transcript.add_title("the next one: an ingress says nothing, until an operator does")
    call("POST", "/v1/work", {"id": "host-8", "by": "bob", "servers": ["s1"], "zone": "b", "urgency": 3})
    step(1.0, [])
    step(31.0, [])
    call("GET", "/v1/work/host-8")
    call("POST", "/v1/work/host-8/override", {"by": "carla"})
    call("GET", "/v1/work/host-8")
    assert transcript.render() == approved


def test_discovery_is_listed_watched_and_asked_again_after_silence(approved: SnapshotAssertion) -> None:
    transcript = Transcript()
    address_rig = Rig()
    source = Peer(address_rig)
    address_rig.close()
    with rig(discovery=source.address, known={}, seed="1") as daemon_rig:
        source.rig = daemon_rig
        begin = 0.0

        def record_request(wire: Any) -> None:
            line = wire.read_until(b"\r\n").decode().splitlines()[0]
            transcript.add_line(f"{daemon_rig.daemon.clock() - begin if begin else 0:6.1f} ingress: {line}")

        def send(wire: Any, data: bytes, text: str) -> None:
            transcript.add_line(f"{daemon_rig.daemon.clock() - begin if begin else 0:6.1f} discovery: {text}")
            wire.send(data)

        wire = source.accept()
        record_request(wire)
        body = json.dumps(daemon_rig.make_listing(), indent=1).encode()
        send(wire, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body), "the whole list, indented")
        wire = source.accept()
        record_request(wire)
        daemon_rig.freeze_clock()
        begin = daemon_rig.daemon.clock()
        change = {**daemon_rig.make_listing(s_0="DRAINING"), "reset": False, "generation": 8}
        send(wire, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(change), "s-0 drains, version 8")
        daemon_rig.run_until(lambda: not daemon_rig.daemon.inventory.is_usable("s-0"))
        transcript.add_line(f"{0:6.1f} ingress: uses s-0: {daemon_rig.daemon.inventory.is_usable('s-0')}")
        transcript.add_line("       discovery says nothing more")
        for _ in range(2):
            poll_wire = None
            while poll_wire is None:
                daemon_rig.step_clock(0.1)
                poll_wire = source.try_accept()
            record_request(poll_wire)
        send(
            poll_wire,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk({**daemon_rig.make_listing(), "reset": False, "generation": 9}),
            "s-0 serves, version 9",
        )
        daemon_rig.run_until(lambda: daemon_rig.daemon.inventory.is_usable("s-0"))
        transcript.add_line(f"       ingress: uses s-0: {daemon_rig.daemon.inventory.is_usable('s-0')}")
    assert transcript.render() == approved


def test_the_counter_is_asked_and_fails_in_each_way(approved: SnapshotAssertion) -> None:
    transcript = Transcript()
    with rig(counter=True) as daemon_rig:
        outcomes: list[str] = []
        client = daemon_rig.daemon.counter
        assert client is not None
        client.on_event = lambda event: outcomes.append(f"{event.status} {event.total:g}")

        def add(name: int, amount: float) -> None:
            transcript.add_line("ingress: " + counter_call(name, amount, 4.0).decode().replace("\r\n", " "))
            client.add(name, amount, 4.0)  # type: ignore[union-attr]

        def expect_outcome(count: int, cause: str) -> None:
            daemon_rig.run_until(lambda: len(outcomes) == count)
            transcript.add_line(f"  {cause}: {', '.join(outcomes[-1:])}")

        add(5, 1.5)
        wire = daemon_rig.counter.accept()
        wire.read_until(b"4000\r\n")
        wire.send(b"$3\r\n1.5\r\n")
        expect_outcome(1, "counter: 1.5")
        for reply in (b"-BUSY\r\n", b"-ERR no\r\n"):
            add(6, 2)
            wire.read_until(b"4000\r\n")
            wire.send(reply)
            expect_outcome(len(outcomes) + 1, f"counter: {reply.decode().strip()}")
        add(7, 1)
        wire.read_until(b"4000\r\n")
        daemon_rig.advance_clock(0.04)
        expect_outcome(4, "counter says nothing in time")
        add(8, 1)
        wire.read_until(b"4000\r\n")
        wire.reset()
        expect_outcome(5, "the connection breaks after the last byte")
    assert transcript.render() == approved
