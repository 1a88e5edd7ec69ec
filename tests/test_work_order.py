"""Maintenance and rolling restarts of real processes, with network faults injected by relays between them."""

from __future__ import annotations

from math import inf
from pathlib import Path
from typing import Any

import pytest

from benchmarks.rolling_drains import compare_schedules
from benchmarks.rolling_drains import run_trial as run_rolling_restart
from benchmarks.work_order import Fleet, run_trial, running_seconds
from brackenpulley.address import ConfigError
from brackenpulley.operator import decode, load

from .rig import rig

SCRIPTS = {
    "a leader killed, its disk kept, then the next one's lost": """
        1 kill leader
        4 start n0 kept
        4 start n1 kept
        4 start n2 kept
        7 kill leader
        9 start n0 lost
        9 start n1 lost
        9 start n2 lost""",
    "a leader stopped and let go on, while others are killed": """
        1 stop leader
        3 kill n4
        5 go n0
        5 go n1
        5 go n2
        6 start n4 kept""",
    "a partition that moves, one-way links, stalls and losses": """
        0.5 part n0,n3 n1,n2,n4
        3 heal
        3 part n1,n4 n0,n2,n3
        5.5 heal
        5.5 cut n2 n0
        6 stall n0 n1 1.5
        7 loss * 0.3
        9 heal""",
}


@pytest.mark.parametrize("name", list(SCRIPTS))
def test_machines_are_taken_out_in_the_agreed_order_under_faults(name: str) -> None:
    report = run_trial(5, 4, 15.0, 1, SCRIPTS[name])
    assert report["wrong"] == []
    assert report["tokens"] == 5 and report["served"] > 150


def test_late_relays_are_judged_by_the_agreed_time_of_return_not_by_when_it_was_observed() -> None:
    fleet = Fleet(3, 1, 1)
    try:

        def observe(state: str, since: float, token: int = 4) -> None:
            fleet._record_permits(
                fleet.processes[0],
                9,
                [{"id": "h0", "state": state, "token": token, "since": fleet.offset + since, "zone": "z"}],
            )

        fleet.arrivals_while_out = [("s-0", "h0", 4, 100.0, when) for when in (100.2, 103.14, 103.2)]
        observe("at work", 102.0)
        assert fleet.longest_late_arrivals()["s-0"] == pytest.approx(
            3.2
        )  # no return was observed, so every later relay counts as late
        observe("done", 104.15)
        assert fleet.longest_late_arrivals()["s-0"] == pytest.approx(3.14)  # it returned 1 s before it was done
        observe("returning", 103.1)
        assert fleet.longest_late_arrivals()["s-0"] == pytest.approx(0.2)
        fleet.arrivals_while_out.append(("s-0", "h0", 4, 100.0, 103.09))
        assert fleet.longest_late_arrivals()["s-0"] == pytest.approx(3.09)
        fleet.arrivals_while_out.append(
            ("s-0", "h0", 5, 105.0, 109.0)
        )  # another permit, which the observed return does not end
        assert fleet.longest_late_arrivals()["s-0"] == pytest.approx(4.0)
    finally:
        fleet.close()


@pytest.mark.parametrize(
    ("pauses", "expected"),
    [
        ([], 4.0),
        ([(0.0, 9.0)], 4.0),
        ([(10.1, 14.1)], 0.1),
        ([(12.0, inf)], 2.0),
        ([(10.5, 11.0), (13.0, 13.5)], 3.0),
        ([(11.0, 13.0), (10.0, 12.0)], 1.0),
        ([(10.0, 13.0), (11.0, 12.0)], 1.0),
        ([(14.0, 15.0)], 4.0),
    ],
)
def test_running_time_excludes_pauses(pauses: list[tuple[float, float]], expected: float) -> None:
    assert running_seconds(10.0, 14.0, pauses) == pytest.approx(expected)


def test_rolling_restart_with_faults_never_exceeds_a_servers_limit() -> None:
    """A short run of benchmarks/rolling_drains: real ingresses, and servers that count their connections."""
    report = run_rolling_restart(6, 2, 12, 1, baseline_seconds=2.0, min_served_ratio=0.8)
    assert report["wrong"] == [] and report["beyond"] == 0 and report["lost"] == 0
    assert max(report["mostAtAServer"]) >= 6


def test_waves_are_near_the_optimum_of_an_integer_program() -> None:
    result = compare_schedules(12, 3)
    assert result["worst"] <= 1.3 and result["optimal"] >= 9


def test_cordoned_server_gets_no_relay_whatever_discovery_reports() -> None:
    with rig(2) as r:
        r.daemon.inventory.set_cordoned(frozenset({"s-0"}))
        assert not r.daemon.inventory.is_usable("s-0") and r.daemon.inventory.is_usable("s-1")
        assert {e.server: e.state for e in r.daemon.inventory.list_entries()} == {"s-0": "up", "s-1": "up"}
        # Listed again as serving, it stays cordoned.
        r.daemon.inventory.apply_object({**r.make_listing(), "generation": 8})
        assert not r.daemon.inventory.is_usable("s-0")
        for number in range(1, 4):
            client = r.send_request(number)
            name, server = r.accept_relay()
            server.read_http()
            server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            assert name == "s-1" and client.read_http()[0] == 200
        r.daemon.inventory.set_cordoned(frozenset())
        assert r.daemon.inventory.is_usable("s-0")
        r.daemon.inventory.apply_object(r.make_listing(s_0="DRAINING"))
        r.daemon.inventory.set_cordoned(frozenset({"s-0"}))
        r.daemon.inventory.set_cordoned(frozenset())
        assert not r.daemon.inventory.is_usable("s-0")  # discovery lists it as draining


MEMBERS = {"fleet": "f", "listen": "127.0.0.1:9300", "keys": "k"}
VOTERS = {"a": "127.0.0.1:9301", "b": "127.0.0.1:9302", "c": "127.0.0.1:9303"}


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        ({"consensus": {"voters": VOTERS}}, "consensus: needs [members]"),
        ({"members": MEMBERS, "consensus": {}}, "consensus.voters: None is no table"),
        (
            {"members": MEMBERS, "consensus": {"voters": {"a": "127.0.0.1:1", "b": "127.0.0.1:2"}}},
            "consensus.voters: 2; 1, 3 or 5",
        ),
        ({"members": MEMBERS, "consensus": {"voters": {**VOTERS, "c": "here"}}}, "consensus.voters.c: "),
        (
            {"members": MEMBERS, "consensus": {"voters": {**VOTERS, "c": VOTERS["a"]}}},
            "consensus.voters: an address twice",
        ),
        ({"members": MEMBERS, "consensus": {"voters": VOTERS, "size_mb": 0}}, "consensus.size_mb: 0"),
        ({"members": MEMBERS, "consensus": {"voters": VOTERS, "paths": ""}}, "consensus.paths: no such setting"),
        ({"maintenance": {}}, "maintenance: needs [consensus]"),
        ({"members": MEMBERS, "consensus": {"voters": VOTERS}, "maintenance": {"out": 0}}, "maintenance.out: 0"),
        (
            {"members": MEMBERS, "consensus": {"voters": VOTERS}, "maintenance": {"reserve": -1}},
            "maintenance.reserve: -1",
        ),
        ({"drains": {"limit": 5}}, "drains: needs [consensus]"),
        ({"members": MEMBERS, "consensus": {"voters": VOTERS}, "drains": {}}, "drains.limit: missing"),
        ({"members": MEMBERS, "consensus": {"voters": VOTERS}, "drains": {"limit": 1}}, "drains.limit: 1"),
        ({"members": {**MEMBERS, "advertise": "x"}}, "members.advertise: "),
    ],
)
def test_error_of_a_wrong_setting_is_one_line_that_names_it(raw: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError) as error:
        decode(raw)
    assert str(error.value).startswith(message) and "\n" not in str(error.value)


def test_file_with_every_setting_is_read() -> None:
    operator = load(str(Path(__file__).parent.parent / "deploy/together.toml"))
    assert operator.consensus is not None and len(operator.consensus.voters) == 3
    assert operator.drains is not None and operator.drains.connection_limit == 64
    assert operator.maintenance is not None and (
        operator.maintenance.max_machines_out,
        operator.maintenance.min_spread,
    ) == (1, 2)
