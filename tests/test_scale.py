"""Hollow ingresses, a short run of the scale benchmark, and the figures that its report derives from counts."""

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
from brackenpulley.standins.hollow import (
    DEFAULT_SECTIONS,
    OPERATOR_SECTIONS,
    Firm,
    HollowIngress,
    ProcessSpec,
    build_operator_tables,
    format_toml,
)
from brackenpulley.standins.servers import Counter, Discovery, SimServer
from brackenpulley.standins.settings import build_settings

WAIT_TIMEOUT_SECONDS = 15.0


class Rig:
    """Hollow ingresses on one loop. The first is the seed of the others; there is no agreed log, hence no voter."""

    def __init__(self, folder: Path, count: int) -> None:
        self.loop = Loop(wall_clock(), Metrics(), NullLogger())
        self.sims = [SimServer(self.loop, f"s-{n}", random.Random(n)) for n in range(2)]
        self.discovery, self.counter = Discovery(self.loop, self.sims), Counter(self.loop)
        (folder / "keys").write_text("AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\n")
        (folder / "keys").chmod(0o600)
        self.folder, self.count = folder, count
        self.ingresses: list[HollowIngress] = []
        for number in range(count):
            self.start(number)

    def start(self, number: int) -> HollowIngress:
        name = f"h{number}"
        (self.folder / name).mkdir(exist_ok=True)
        spec = ProcessSpec(name, number, str(self.folder / name), "127.0.0.1:0", "", (), str(self.folder / "keys"), ())
        config = {
            "name": name,
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.listener.address_text,
            "counter": self.counter.listener.address_text,
            "settings": build_settings(self.count, number),
        }
        tables = build_operator_tables(spec, ("members", "plans", "leases"))
        seeds = [ingress.daemon.members.service.protocol.address for ingress in self.ingresses[:1]]
        tables["members"].update(seeds=seeds)
        del tables["members"]["advertise"]
        ingress = HollowIngress(
            self.loop, spec, config, tables, [Firm(7, "school", 20.0, self.count, 0)], NullLogger(), number
        )
        ingress.start()
        self.ingresses.append(ingress)
        return ingress

    def run_until(self, condition: Callable[[], bool]) -> None:
        end = time.monotonic() + WAIT_TIMEOUT_SECONDS
        while not condition():
            assert time.monotonic() < end, "condition not met before the timeout"
            self.loop.run_once(0.01)

    def close(self) -> None:
        for ingress in self.ingresses:
            if ingress.is_alive:
                ingress.kill()
        for listener in (self.discovery.listener, self.counter.listener, *(sim.listener for sim in self.sims)):
            listener.stop()
        self.loop.close()


@pytest.fixture
def rig(tmp_path: Path) -> Iterator[Rig]:
    rig = Rig(tmp_path, 4)
    try:
        yield rig
    finally:
        rig.close()


def test_hollow_ingresses_discover_each_other_and_serve_messages(rig: Rig) -> None:
    rig.run_until(lambda: all(ingress.member_count == 4 and ingress.daemon.is_ready() for ingress in rig.ingresses))
    for ingress in rig.ingresses:
        ingress.traffic.start()
    rig.run_until(lambda: all(ingress.traffic.served_count > 5 for ingress in rig.ingresses))
    counts = rig.ingresses[1].daemon.metrics.counts
    assert counts["lease_calls"] > 0 and counts["relays"] > 0 and counts["faults"] == 0
    assert counts["members_sent_ping"] > 0 and counts["members_heard_ack_bytes"] > 0


def test_shutdown_is_announced_to_the_members_and_a_kill_is_not(rig: Rig) -> None:
    rig.run_until(lambda: all(ingress.member_count == 4 for ingress in rig.ingresses))
    dead: list[str] = []
    rig.ingresses[0].on_member_dead = dead.append
    rig.ingresses[3].shut_down()
    rig.run_until(lambda: not rig.ingresses[3].is_alive)
    rig.run_until(lambda: rig.ingresses[0].member_count == 3)
    assert dead == []
    rig.ingresses[2].kill()
    rig.run_until(lambda: rig.ingresses[0].member_count == 2)
    assert [member_id.partition("@")[0] for member_id in dead] == ["h2"]


def test_killed_ingress_runs_no_more_callbacks(rig: Rig) -> None:
    rig.run_until(lambda: all(ingress.member_count == 4 and ingress.daemon.is_ready() for ingress in rig.ingresses))
    ingress = rig.ingresses[3]
    ingress.traffic.start()
    rig.run_until(lambda: ingress.traffic.message_count > 0)
    ingress.kill()
    before = dict(ingress.daemon.metrics.counts), ingress.traffic.message_count, ingress.ingress_loop.busy_seconds
    rig.run_until(lambda: rig.ingresses[0].member_count == 3)
    assert (
        dict(ingress.daemon.metrics.counts),
        ingress.traffic.message_count,
        ingress.ingress_loop.busy_seconds,
    ) == before


def test_hollow_and_real_ingresses_read_the_same_operator_settings() -> None:
    voters = (("v0", "127.0.0.1:9001"),)
    for name in ("n1", "v0"):
        spec = ProcessSpec(
            name, 1, "/tmp/x", "127.0.0.1:9300", "127.0.0.1:9400", ("127.0.0.1:9001",), "/tmp/keys", voters
        )
        for parts in (DEFAULT_SECTIONS, OPERATOR_SECTIONS):
            assert decode_text(format_toml(build_operator_tables(spec, parts)), "file") == decode(
                build_operator_tables(spec, parts)
            )
        assert ("path" in build_operator_tables(spec, DEFAULT_SECTIONS)["consensus"]) == (name == "v0")


def test_message_rates_are_per_process_and_by_kind() -> None:
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


def build_part(cpu_percent: float, resident_mb: float, bytes_per_second: float) -> dict[str, Any]:
    return {
        "real": {
            "cpuPercent": {"most": cpu_percent},
            "residentMb": {"most": resident_mb},
            "controlBytesASecond": bytes_per_second,
        }
    }


def test_each_exceeded_limit_is_reported_as_one_line() -> None:
    bare = {"residentMb": {"most": 30.0}}
    assert find_exceeded_limits(build_part(2.0, 62.0, 14_000.0), build_part(90.0, 62.0, 14_000.0), bare) == []
    assert [
        text.split()[2]
        for text in find_exceeded_limits(build_part(2.1, 62.1, 14_001.0), build_part(0.0, 0.0, 15_000.0), bare)
    ] == [
        "2.10",
        "32.1",
        "14001",
        "15000",
    ]


def test_hollow_and_real_rates_differ_beyond_a_tenth_unless_messages_are_too_few() -> None:
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


def test_short_scale_run() -> None:
    """60 hollow ingresses, 3 real ones and 3 voters. The CPU limit depends on the machine, so it is not checked."""
    arguments = build_parser().parse_args(
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
    report = run_benchmark(arguments)
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
