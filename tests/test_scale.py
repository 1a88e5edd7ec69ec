"""A hollow ingress is a daemon without clients; a scale run in its short form; what its report makes of counts."""

from __future__ import annotations

import random
import time
from collections import Counter as Tally
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from benchmarks.scale.__main__ import build_parser, run_benchmark
from benchmarks.scale.child import NullLogger
from benchmarks.scale.report import compare_hollow_with_real, compute_membership_rates, find_exceeded_limits
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.operator import decode, decode_text
from brackenpulley.serve import wall_clock
from brackenpulley.standins.hollow import PARTS, USUAL, Firm, Hollow, Place, operator, toml
from brackenpulley.standins.servers import Counter, Discovery, SimServer
from brackenpulley.standins.settings import settings

PATIENCE = 15.0  # s until a test that waits in vain fails


class Rig:
    """Hollow ingresses on one loop, the first of them seed of the others; no log, so no voters."""

    def __init__(self, folder: Path, count: int) -> None:
        self.loop = Loop(wall_clock(), Metrics(), NullLogger())
        self.sims = [SimServer(self.loop, f"s-{n}", random.Random(n)) for n in range(2)]
        self.discovery, self.counter = Discovery(self.loop, self.sims), Counter(self.loop)
        (folder / "keys").write_text("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n")
        (folder / "keys").chmod(0o600)
        self.folder, self.count = folder, count
        self.there: list[Hollow] = []
        for number in range(count):
            self.start(number)

    def start(self, number: int) -> Hollow:
        name = f"h{number}"
        (self.folder / name).mkdir(exist_ok=True)
        place = Place(name, number, str(self.folder / name), "127.0.0.1:0", "", (), str(self.folder / "keys"), ())
        raw = {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.listener.text,
            "counter": self.counter.listener.text,
            "settings": settings(self.count, number),
        }
        tables = operator(place, ("members", "plans", "leases"))
        seeds = [one.daemon.members.service.protocol.address for one in self.there[:1]]
        tables["members"].update(seeds=seeds)
        del tables["members"]["advertise"]
        made = Hollow(self.loop, place, raw, tables, [Firm(7, "school", 20.0, self.count, 0)], NullLogger(), number)
        made.start()
        self.there.append(made)
        return made

    def until(self, done: Callable[[], bool]) -> None:
        end = time.monotonic() + PATIENCE
        while not done():
            assert time.monotonic() < end, "waited in vain"
            self.loop.run_once(0.01)

    def close(self) -> None:
        for one in self.there:
            if one.alive:
                one.kill()
        for listener in (self.discovery.listener, self.counter.listener, *(sim.listener for sim in self.sims)):
            listener.stop()
        self.loop.close()


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    made = Rig(tmp_path, 4)
    try:
        yield made
    finally:
        made.close()


def test_hollow_ones_find_each_other_and_serve_through_the_core(rig: Rig) -> None:
    rig.until(lambda: all(one.members == 4 and one.daemon.is_ready() for one in rig.there))
    for one in rig.there:
        one.traffic.start()
    rig.until(lambda: all(one.traffic.served > 5 for one in rig.there))
    counts = rig.there[1].daemon.metrics.counts
    assert counts["lease_calls"] > 0 and counts["relays"] > 0 and counts["faults"] == 0
    assert counts["members_sent_ping"] > 0 and counts["members_heard_ack_bytes"] > 0


def test_one_that_ends_says_so_and_one_that_is_killed_says_nothing(rig: Rig) -> None:
    rig.until(lambda: all(one.members == 4 for one in rig.there))
    dead: list[str] = []
    rig.there[0].dead = dead.append
    rig.there[3].end()
    rig.until(lambda: not rig.there[3].alive)
    rig.until(lambda: rig.there[0].members == 3)
    assert dead == []
    rig.there[2].kill()
    rig.until(lambda: rig.there[0].members == 2)
    assert [ident.partition("@")[0] for ident in dead] == ["h2"]


def test_nothing_of_a_killed_one_runs_on(rig: Rig) -> None:
    rig.until(lambda: all(one.members == 4 and one.daemon.is_ready() for one in rig.there))
    one = rig.there[3]
    one.traffic.start()
    rig.until(lambda: one.traffic.tries > 0)
    one.kill()
    before = dict(one.daemon.metrics.counts), one.traffic.tries, one.berth.busy
    rig.until(lambda: rig.there[0].members == 3)
    assert (dict(one.daemon.metrics.counts), one.traffic.tries, one.berth.busy) == before


def test_a_hollow_one_and_a_real_one_have_the_same_operators_file() -> None:
    voters = (("v0", "127.0.0.1:9001"),)
    for name in ("n1", "v0"):
        place = Place(name, 1, "/tmp/x", "127.0.0.1:9300", "127.0.0.1:9400", ("127.0.0.1:9001",), "/tmp/keys", voters)
        for parts in (USUAL, PARTS):
            assert decode_text(toml(operator(place, parts)), "file") == decode(operator(place, parts))
        assert ("path" in operator(place, USUAL)["consensus"]) == (name == "v0")


def test_messages_by_kind_are_rates_of_one_process() -> None:
    counts = Tally(
        members_sent=9,
        members_sent_ping=8,
        members_sent_ping_bytes=800,
        members_heard_carry_agree=4,
        members_dropped_forged=3,
    )
    assert compute_membership_rates(counts, 2.0, 4) == {
        "ping": {"outMessages": 1.0, "outBytes": 100.0},
        "carry_agree": {"inMessages": 0.5},
    }


def _part(cpu: float, memory: float, size: float) -> dict[str, Any]:
    return {"real": {"cpuPercent": {"most": cpu}, "residentMb": {"most": memory}, "controlBytesASecond": size}}


def test_each_limit_that_is_passed_is_one_line() -> None:
    bare = {"residentMb": {"most": 30.0}}
    assert find_exceeded_limits(_part(2.0, 62.0, 14_000.0), _part(90.0, 62.0, 14_000.0), bare) == []
    assert [
        text.split()[2] for text in find_exceeded_limits(_part(2.1, 62.1, 14_001.0), _part(0.0, 0.0, 15_000.0), bare)
    ] == [
        "2.10",
        "32.1",
        "14001",
        "15000",
    ]


def test_hollow_is_unlike_real_beyond_a_tenth_and_few_messages_tell_nothing() -> None:
    def group(pings: float, syncs: float) -> dict[str, Any]:
        return {
            "processes": 10,
            "discovery": {},
            "counter": {},
            "members": {"ping": {"outMessages": pings, "outBytes": pings * 80}, "sync": {"outMessages": syncs}},
        }

    part = {"seconds": 100.0, "real": group(1.0, 0.1), "hollow": group(1.12, 0.3)}
    assert {(row["kind"], row["what"]): row["near"] for row in compare_hollow_with_real(part)} == {
        ("members ping", "outMessages"): False,
        ("members ping", "outBytes"): False,
        ("members sync", "outMessages"): None,
    }
    part["hollow"] = group(1.08, 0.3)
    assert all(row["near"] in (True, None) for row in compare_hollow_with_real(part))


def test_the_short_form() -> None:
    """60 hollow, 3 real, 3 voters. What its processor time is follows the machine, so that limit is not judged here."""
    told = build_parser().parse_args(
        [
            "--hollow",
            "60",
            "--real",
            "3",
            "--seconds",
            "6",
            "--servers",
            "200",
            "--rest",
            "1",
            "--changes",
            "1",
            "--patience",
            "60",
            "--seed",
            "3",
        ]
    )
    report = run_benchmark(told)
    assert report["wrong"] == []
    assert [text for text in report["limits"] if "core" not in text] == []
    assert report["times"]["agreedToAll"][0]["of"] == 60 and report["times"]["deathKnown"][0]["of"] == 59
    assert report["times"]["deathKnown"][0]["real"]["of"] == 3
    assert report["times"]["listWholeHollow"]["of"] == 60 and report["clients"]["served"] > 0
    for kind in ("hollow", "real", "voter"):
        row = report["loaded"][kind]
        assert row["members"]["ping"]["outMessages"] > 0 and row["members"]["carry_agree"]["inBytes"] > 0
        assert row["discovery"]["beat"]["messages"] > 0
    assert report["loaded"]["hollow"]["leaseCallsASecond"] > 0 and report["processes"] < 200
    assert not Path(report["folder"]).exists()
