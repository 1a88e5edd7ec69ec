"""Connection limits: the table of commands, fleets in virtual time whose sum never passes a limit, waves of a roll."""

from __future__ import annotations

import itertools
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.consensus.agreement import KIND, Agreement
from brackenpulley.consensus.machine import Machine
from brackenpulley.drains.holder import MACHINE_PART, Holder
from brackenpulley.drains.limits import Command, Demand, Enter, Leave, Limits, SetLimits, encode
from brackenpulley.drains.schedule import Ingress, Rules, find_unschedulable, fits, plan_waves, total_seconds
from brackenpulley.policy.interface import Refuse, RelayLimitsChanged, Send
from brackenpulley.simulation.faults import Faults
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.script import drawn
from brackenpulley.simulation.world import Bare, Host, World

from .rig import rig
from .util import Driver, select


class Log:
    def __init__(self, limit: int = 10, lives: int = 2) -> None:
        self.limits, self.serial = Limits(), 0
        for n in range(lives):
            self.do(Enter(f"n{n}@1", f"a{n}"))
        self.do(SetLimits({"s": limit}))

    def do(self, command: Command) -> Any:
        return self.limits.apply(0.0, encode(command))

    def want(self, life: str, many: int) -> int:
        self.serial += 1
        answer = self.do(Demand(life, self.serial, {"s": many}))
        return int(answer["parts"]["s"]) if "parts" in answer else -1


def test_widened_as_far_as_there_is_room_and_narrowed_at_once() -> None:
    log = Log()  # 10, of which one is kept for those that start
    assert log.want("n0@1", 4) == 4 and log.want("n0@1", 8) == 8
    assert log.want("n0@1", 20) == 9  # the reserve is not for one that holds something
    assert log.want("n1@1", 5) == 1  # it starts: with the reserve
    assert log.limits.target_share("s", "n0@1") == 4 and log.limits.target_share("s", "n1@1") == 1  # n1 is short
    assert log.want("n0@1", 20) == 9  # nothing more while others wait
    assert log.want("n0@1", 4) == 4 and log.want("n1@1", 5) == 5
    assert log.limits.short["s"] == set() and log.limits.target_share("s", "n0@1") == 4


def test_silence_frees_nothing_a_next_life_and_a_word_do() -> None:
    log = Log()
    assert log.want("n0@1", 9) == 9
    assert log.do(Enter("n0@0", "a0"))["field"] == "life"  # of an older life, late
    assert log.limits.get_share("s", "n0@1") == 9
    log.do(Enter("n0@2", "a0"))  # the same address: the old process is over
    assert log.limits.get_share("s", "n0@1") == 0 and log.want("n0@2", 3) == 3
    assert log.want("n0@1", 3) == -1
    log.do(Enter("other@9", "a9"))  # beside it, at another address: both hold
    assert log.limits.get_share("s", "n0@2") == 3
    log.do(Leave("n0@2"))
    assert log.limits.count_held("s") == 0


def test_a_late_want_changes_nothing() -> None:
    """A narrower part that was proposed and given up may be agreed after a wider one: what is open would pass it."""
    log = Log()
    log.do(Demand("n0@1", 5, {"s": 6}))
    assert log.do(Demand("n0@1", 4, {"s": 2}))["field"] == "serial" and log.limits.get_share("s", "n0@1") == 6


def test_a_limit_lowered_a_server_gone_and_a_snapshot() -> None:
    log = Log()
    log.want("n0@1", 6)
    log.want("n1@1", 3)
    log.do(SetLimits({"s": 4}))
    assert log.want("n1@1", 5) == 3 and log.limits.target_share("s", "n0@1") == 1
    log.want("n0@1", 1)
    assert log.limits.count_held("s") == 4
    other = Limits()
    other.load(log.limits.dump())
    assert other.dump() == log.limits.dump()
    log.do(SetLimits({}, ["s"]))
    assert log.limits.count_held("s") == 0 and log.do(Demand("n0@1", 99, {"s": 3})) == {"parts": {}}
    other.load(None)
    assert other.limits == {}


@given(
    st.lists(
        st.tuples(st.sampled_from(["want", "leave", "enter", "limit"]), st.integers(0, 4), st.integers(0, 15)),
        max_size=60,
    )
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_no_order_of_words_passes_a_limit(rows: list[tuple[str, int, int]]) -> None:
    log, lives = Log(12, 0), {n: 1 for n in range(5)}
    for what, n, many in rows:
        life, before = f"n{n}@{lives[n]}", log.limits.count_held("s")
        if what == "want":
            log.want(life, many)
        elif what == "leave":
            log.do(Leave(life))
        elif what == "enter":
            lives[n] += many % 2
            log.do(Enter(f"n{n}@{lives[n]}", f"a{n}"))
        else:
            log.do(SetLimits({"s": many}))
        assert log.limits.count_held("s") <= max(log.limits.limits["s"], before)
        assert all(part > 0 for part in log.limits.shares.get("s", {}).values())


# Fleets in virtual time.

SERVERS = ("s0", "s1", "s2")
LIMIT = 12


class South:
    """Connections that open and close with a demand that wanders."""

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self.fleet, self.host = fleet, host
        self.most: dict[str, int] = {}
        self.now_open = dict.fromkeys(SERVERS, 0)
        self.now_busy = dict.fromkeys(SERVERS, 0)
        self.blocked = dict.fromkeys(SERVERS, 0)

    def count_open(self, server: str) -> int:
        return self.now_open[server]

    def count_in_use(self, server: str) -> int:
        return self.now_busy[server]

    def take_rejections(self, server: str) -> int:
        found, self.blocked[server] = self.blocked[server], 0
        return found

    def close_unused(self, server: str, most: int) -> None:
        self.now_open[server] = max(self.now_busy[server], min(self.now_open[server], most))

    def set_limits(self, limits: dict[str, int]) -> None:
        self.most = limits

    def list_limits(self) -> dict[str, int]:
        return dict.fromkeys(SERVERS, LIMIT)

    def attempt(self) -> None:
        world, rng = self.fleet.world, self.fleet.rng
        if self.fleet.ports.get(self.host.name) is not self or self.host.driven is None:
            return
        world.at(world.now + rng.expovariate(self.fleet.rate), self.attempt)
        if self.host.stopped:
            return
        server = rng.choice(SERVERS)
        if self.now_busy[server] == self.now_open[server]:
            if self.now_open[server] >= self.most.get(server, 0):
                self.blocked[server] += 1
                return
            self.now_open[server] += 1
        self.now_busy[server] += 1
        self.fleet.served += 1
        life = self.host.life

        def over() -> None:
            if self.host.life == life and self.fleet.ports.get(self.host.name) is self:
                self.now_busy[server] -= 1

        world.at(world.now + rng.expovariate(2.0), over)


class Fleet:
    def __init__(self, seed: int, size: int = 6, rate: float = 10.0) -> None:
        self.world, self.rng = World(seed, Links(Link(spread=0.003, loss=0.02, double=0.02))), random.Random(seed)
        self.names, self.rate, self.served = [f"v{n}" for n in range(size)], rate, 0
        self.seats = {name: f"a-{name}" for name in self.names[:3]}
        self.ports: dict[str, South] = {}
        self.holders: dict[str, Holder] = {}
        self.wrong: list[str] = []
        self.most = 0
        for name in self.names:
            self.world.add(name, f"a-{name}", self.make)
        self.world.checks.append(self.check)

    def make(self, host: Host) -> Bare:
        part = Agreement(
            f"{host.name}@{host.life}",
            host.name,
            self.seats,
            lambda: Machine({MACHINE_PART: Limits()}),
            random.Random(self.rng.random()),
            self.world.now,
            host.disk if host.name in self.seats else None,
        )
        port = self.ports[host.name] = South(self, host)
        holder = self.holders[host.name] = Holder(
            host.address, part, lambda: part.machine.parts[MACHINE_PART], port, self.world.now
        )  # type: ignore
        life = host.life

        def look() -> None:
            if host.life == life and host.driven is not None:
                self.world.at(self.world.now + 0.1, look)
                if not host.stopped:
                    holder.tick(self.world.now)
                    self.world.do(host, host.driven.said())  # type: ignore[attr-defined]

        self.world.at(self.world.now + 0.01, look)
        self.world.at(self.world.now + 0.5, port.attempt)
        return Bare(host.address, {KIND: part})

    def check(self) -> None:
        for server in SERVERS:
            total = sum(
                self.ports[host.name].now_open[server] for host in self.world.hosts.values() if host.driven is not None
            )  # a stopped one's stand; a killed one's are gone with it
            self.most = max(self.most, total)
            if total > LIMIT:
                self.wrong.append(f"{self.world.now:.2f}: {total} at {server}")


@pytest.mark.parametrize("seed", range(6))
def test_the_sum_of_all_connections_never_passes_a_limit_whatever_fails(seed: int) -> None:
    fleet = Fleet(seed)
    world = fleet.world
    Faults(
        world,
        [
            line
            for line in drawn(fleet.rng, fleet.names, 30.0, 2.0, 3)
            if line.what != "start" or line.words[1] in ("kept", "power")
        ],
    )
    world.run(world.now + 30.0)
    assert not fleet.wrong, fleet.wrong[:3]
    assert fleet.most >= LIMIT - 3 and fleet.served > 200  # the limit was wanted, and used
    for host in world.hosts.values():
        if host.driven is None:
            world.start(host)
        elif host.stopped:
            world.go_on(host)
    served = fleet.served
    assert world.until(lambda: all(h.has_entered and h.get_limit("s0") > 0 for h in fleet.holders.values()), 25.0)
    world.run(world.now + 5.0)
    assert fleet.served > served and not fleet.wrong


def test_a_roll_of_all_ingresses_stays_under_the_limit_and_a_new_one_gets_room() -> None:
    fleet = Fleet(3, rate=20.0)
    world = fleet.world
    world.run(world.now + 8.0)
    for name in fleet.names[::-1]:
        host = world.host(name)
        fleet.holders[name].leave(world.now)
        world.do(host, host.driven.said())  # type: ignore[union-attr]
        world.run(world.now + 0.3)
        world.kill(host)
        world.run(world.now + 0.2)
        world.start(host)
        assert world.until(lambda name=name: fleet.holders[name].get_limit("s0") > 0, 8.0), name  # type: ignore[misc]
        world.run(world.now + 1.0)
    assert not fleet.wrong and fleet.most >= LIMIT - 1


def test_shares_follow_demand_slowly_and_none_starves() -> None:
    fleet = Fleet(5, rate=3.0)
    fleet.world.run(fleet.world.now + 6.0)
    fleet.rate = 40.0
    fleet.world.run(fleet.world.now + 15.0)
    parts = [fleet.holders[name].get_limit("s1") for name in fleet.names]
    assert sum(parts) <= LIMIT and min(parts) >= 1 and not fleet.wrong


# The ingress: what the module sees as room, and what the south side opens.


def test_the_module_sends_no_more_to_a_server_than_its_share() -> None:
    drive = Driver(2)
    drive.handle(RelayLimitsChanged({"s0": 1, "s1": 0}))
    assert [act.server for act in select(Send, drive.send_message())] == ["s0"]
    refused = drive.send_message()
    assert not select(Send, refused) and select(Refuse, refused)
    drive.handle(RelayLimitsChanged({"s0": 1, "s1": 1}))
    assert [act.server for act in select(Send, drive.send_message())] == ["s1"]
    drive.handle(RelayLimitsChanged({}))
    assert select(Send, drive.send_message())


def test_nothing_is_opened_beyond_the_share_and_what_is_open_is_counted() -> None:
    with rig() as r:
        south = r.daemon.south
        south.connection_limits = {"s-0": 1}
        first = r.send_request(1)
        _, server = r.accept_relay()
        server.read_http()
        assert south.open_connections == {"s-0": 1} and south.count_busy("s-0") == 1
        second = r.send_request(2)  # the module knows of no share: the south side refuses, and nothing was sent
        assert second.read_http()[0] in (429, 503) and r.count("south_over_share") >= 1
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert first.read_http()[0] == 200
        assert south.count_busy("s-0") == 0 and south.open_connections == {"s-0": 1}
        south.close_idle("s-0", 0)
        assert south.open_connections == {} and server.wait_closed()


# The schedule.


@pytest.mark.parametrize(
    ("wave", "place", "good"),
    [([], 0, True), ([0], 1, False), ([0], 2, True), ([0, 2], 4, False), ([1], 0, False), ([5], 0, False)],
)
def test_each_rule_of_a_wave(wave: list[int], place: int, good: bool) -> None:
    rules = Rules(max_away=2, max_away_in_zone=2, set_size=2, place_count=6)
    assert fits([Ingress(n) for n in wave], Ingress(place), rules) == good
    assert not fits([Ingress(3, "z"), Ingress(5, "z")], Ingress(1, "z"), Rules(9, 2, 2, 6))


def test_waves_take_all_and_a_set_of_one_is_left_out() -> None:
    rules = Rules(max_away=3, max_away_in_zone=9, set_size=2, place_count=12)
    rows = [Ingress(n, duration=1.0 + n % 3) for n in range(12)]
    found = plan_waves(rows, rules)
    assert sorted(one.place for wave in found for one in wave) == list(range(12))
    assert total_seconds(found) <= 9.0 and not find_unschedulable(rows, rules)
    assert len(find_unschedulable(rows, Rules(3, 9, 1, 12))) == 12 and plan_waves(rows, Rules(3, 9, 1, 12)) == []
    for wave in found:
        assert all((a.place - b.place) % 12 not in (1, 11) for a, b in itertools.combinations(wave, 2))
