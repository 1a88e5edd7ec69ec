"""Connection limits: commands of the replicated state, simulated fleets in virtual time, waves of a rolling restart."""

from __future__ import annotations

import itertools
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.consensus.agreement import KIND, Agreement
from brackenpulley.consensus.machine import StateMachine
from brackenpulley.drains.holder import MACHINE_PART, Holder
from brackenpulley.drains.limits import Command, Demand, Enter, Leave, Limits, SetLimits, encode
from brackenpulley.drains.schedule import Ingress, Rules, find_unschedulable, fits, plan_waves, total_seconds
from brackenpulley.policy.interface import Refuse, RelayLimitsChanged, Send
from brackenpulley.simulation.faults import FaultInjector
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.script import draw_faults
from brackenpulley.simulation.world import Host, StandaloneParts, World

from .rig import rig
from .util import Driver, select


class Log:
    """Applies commands to `Limits` in order."""

    def __init__(self, limit: int = 10, incarnations: int = 2) -> None:
        self.limits, self.serial = Limits(), 0
        for n in range(incarnations):
            self.apply(Enter(f"n{n}@1", f"a{n}"))
        self.apply(SetLimits({"s": limit}))

    def apply(self, command: Command) -> Any:
        return self.limits.apply(0.0, encode(command))

    def demand(self, incarnation: str, connections: int) -> int:
        self.serial += 1
        answer = self.apply(Demand(incarnation, self.serial, {"s": connections}))
        return int(answer["parts"]["s"]) if "parts" in answer else -1


def test_share_grows_while_connections_are_free_and_shrinks_at_once() -> None:
    log = Log()  # limit 10, of which one connection is the startup reserve
    assert log.demand("n0@1", 4) == 4 and log.demand("n0@1", 8) == 8
    assert log.demand("n0@1", 20) == 9  # an incarnation with a share cannot use the startup reserve
    assert log.demand("n1@1", 5) == 1  # its first share comes from the startup reserve
    # n1 got less than it wants, so n0 is asked to shrink to the fair share.
    assert log.limits.target_share("s", "n0@1") == 4 and log.limits.target_share("s", "n1@1") == 1
    assert log.demand("n0@1", 20) == 9  # no share grows while others are short
    assert log.demand("n0@1", 4) == 4 and log.demand("n1@1", 5) == 5
    assert log.limits.short["s"] == set() and log.limits.target_share("s", "n0@1") == 4


def test_only_a_new_incarnation_or_a_leave_frees_shares() -> None:
    log = Log()
    assert log.demand("n0@1", 9) == 9
    assert log.apply(Enter("n0@0", "a0"))["field"] == "life"  # from an older incarnation, delivered late
    assert log.limits.get_share("s", "n0@1") == 9
    log.apply(Enter("n0@2", "a0"))  # the same address: the old process has ended
    assert log.limits.get_share("s", "n0@1") == 0 and log.demand("n0@2", 3) == 3
    assert log.demand("n0@1", 3) == -1
    log.apply(Enter("other@9", "a9"))  # at another address: the shares of both stay
    assert log.limits.get_share("s", "n0@2") == 3
    log.apply(Leave("n0@2"))
    assert log.limits.count_held("s") == 0


def test_a_late_demand_changes_nothing() -> None:
    """A smaller share whose proposal timed out may be committed after a larger one, which is in use by then."""
    log = Log()
    log.apply(Demand("n0@1", 5, {"s": 6}))
    assert log.apply(Demand("n0@1", 4, {"s": 2}))["field"] == "serial" and log.limits.get_share("s", "n0@1") == 6


def test_lowered_limit_removed_server_and_snapshot() -> None:
    log = Log()
    log.demand("n0@1", 6)
    log.demand("n1@1", 3)
    log.apply(SetLimits({"s": 4}))
    assert log.demand("n1@1", 5) == 3 and log.limits.target_share("s", "n0@1") == 1
    log.demand("n0@1", 1)
    assert log.limits.count_held("s") == 4
    other = Limits()
    other.load(log.limits.dump())
    assert other.dump() == log.limits.dump()
    log.apply(SetLimits({}, ["s"]))
    assert log.limits.count_held("s") == 0 and log.apply(Demand("n0@1", 99, {"s": 3})) == {"parts": {}}
    other.load(None)
    assert other.limits == {}


@given(
    st.lists(
        st.tuples(st.sampled_from(["want", "leave", "enter", "limit"]), st.integers(0, 4), st.integers(0, 15)),
        max_size=60,
    )
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_no_order_of_commands_exceeds_a_limit(steps: list[tuple[str, int, int]]) -> None:
    log, incarnations = Log(12, 0), {n: 1 for n in range(5)}
    for kind, n, count in steps:
        incarnation, before = f"n{n}@{incarnations[n]}", log.limits.count_held("s")
        if kind == "want":
            log.demand(incarnation, count)
        elif kind == "leave":
            log.apply(Leave(incarnation))
        elif kind == "enter":
            incarnations[n] += count % 2
            log.apply(Enter(f"n{n}@{incarnations[n]}", f"a{n}"))
        else:
            log.apply(SetLimits({"s": count}))
        assert log.limits.count_held("s") <= max(log.limits.limits["s"], before)
        assert all(share > 0 for share in log.limits.shares.get("s", {}).values())


# Simulated fleets in virtual time.

SERVERS = ("s0", "s1", "s2")
LIMIT = 12


class SimulatedConnections:
    """Simulated connections of one ingress, opened and closed at random times."""

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self.fleet, self.host = fleet, host
        self.limits: dict[str, int] = {}
        self.open_count = dict.fromkeys(SERVERS, 0)
        self.busy_count = dict.fromkeys(SERVERS, 0)
        self.rejected = dict.fromkeys(SERVERS, 0)

    def count_open(self, server: str) -> int:
        return self.open_count[server]

    def count_in_use(self, server: str) -> int:
        return self.busy_count[server]

    def take_rejections(self, server: str) -> int:
        found, self.rejected[server] = self.rejected[server], 0
        return found

    def close_unused(self, server: str, most: int) -> None:
        self.open_count[server] = max(self.busy_count[server], min(self.open_count[server], most))

    def set_limits(self, limits: dict[str, int]) -> None:
        self.limits = limits

    def list_limits(self) -> dict[str, int]:
        return dict.fromkeys(SERVERS, LIMIT)

    def send_relay(self) -> None:
        world, rng = self.fleet.world, self.fleet.rng
        if self.fleet.pools.get(self.host.name) is not self or self.host.process is None:
            return
        world.schedule(world.now + rng.expovariate(self.fleet.rate), self.send_relay)
        if self.host.is_suspended:
            return
        server = rng.choice(SERVERS)
        if self.busy_count[server] == self.open_count[server]:
            if self.open_count[server] >= self.limits.get(server, 0):
                self.rejected[server] += 1
                return
            self.open_count[server] += 1
        self.busy_count[server] += 1
        self.fleet.served += 1
        life = self.host.incarnation

        def end_relay() -> None:
            if self.host.incarnation == life and self.fleet.pools.get(self.host.name) is self:
                self.busy_count[server] -= 1

        world.schedule(world.now + rng.expovariate(2.0), end_relay)


class Fleet:
    """Simulated ingresses that share the limits; records each time when the sum at a server exceeds its limit."""

    def __init__(self, seed: int, size: int = 6, rate: float = 10.0) -> None:
        self.world, self.rng = World(seed, Links(Link(jitter=0.003, loss=0.02, duplication=0.02))), random.Random(seed)
        self.names, self.rate, self.served = [f"v{n}" for n in range(size)], rate, 0
        self.voters = {name: f"a-{name}" for name in self.names[:3]}
        self.pools: dict[str, SimulatedConnections] = {}
        self.holders: dict[str, Holder] = {}
        self.violations: list[str] = []
        self.max_total = 0
        for name in self.names:
            self.world.add_host(name, f"a-{name}", self.make_agreement)
        self.world.checks.append(self.check)

    def make_agreement(self, host: Host) -> StandaloneParts:
        agreement = Agreement(
            f"{host.name}@{host.incarnation}",
            host.name,
            self.voters,
            lambda: StateMachine({MACHINE_PART: Limits()}),
            random.Random(self.rng.random()),
            self.world.now,
            host.disk if host.name in self.voters else None,
        )
        pool = self.pools[host.name] = SimulatedConnections(self, host)
        holder = self.holders[host.name] = Holder(
            host.address, agreement, lambda: agreement.machine.parts[MACHINE_PART], pool, self.world.now
        )  # type: ignore
        life = host.incarnation

        def tick() -> None:
            if host.incarnation == life and host.process is not None:
                self.world.schedule(self.world.now + 0.1, tick)
                if not host.is_suspended:
                    holder.tick(self.world.now)
                    self.world.apply_effects(host, host.process.said())  # type: ignore[attr-defined]

        self.world.schedule(self.world.now + 0.01, tick)
        self.world.schedule(self.world.now + 0.5, pool.send_relay)
        return StandaloneParts(host.address, {KIND: agreement})

    def check(self) -> None:
        for server in SERVERS:
            # Connections of a stopped process stay open, those of a killed one are closed.
            total = sum(
                self.pools[host.name].open_count[server]
                for host in self.world.hosts.values()
                if host.process is not None
            )
            self.max_total = max(self.max_total, total)
            if total > LIMIT:
                self.violations.append(f"{self.world.now:.2f}: {total} at {server}")


@pytest.mark.parametrize("seed", range(6))
def test_connections_of_all_never_exceed_a_limit_under_faults(seed: int) -> None:
    fleet = Fleet(seed)
    world = fleet.world
    FaultInjector(
        world,
        [
            line
            for line in draw_faults(fleet.rng, fleet.names, 30.0, 2.0, 3)
            if line.action != "start" or line.arguments[1] in ("kept", "power")
        ],
    )
    world.run(world.now + 30.0)
    assert not fleet.violations, fleet.violations[:3]
    assert fleet.max_total >= LIMIT - 3 and fleet.served > 200  # the test is void unless the limit was nearly reached
    for host in world.hosts.values():
        if host.process is None:
            world.start(host)
        elif host.is_suspended:
            world.resume(host)
    served = fleet.served
    assert world.run_until(lambda: all(h.has_entered and h.get_limit("s0") > 0 for h in fleet.holders.values()), 25.0)
    world.run(world.now + 5.0)
    assert fleet.served > served and not fleet.violations


def test_rolling_restart_stays_under_the_limit_and_new_processes_get_connections() -> None:
    fleet = Fleet(3, rate=20.0)
    world = fleet.world
    world.run(world.now + 8.0)
    for name in fleet.names[::-1]:
        host = world.find_host(name)
        fleet.holders[name].leave(world.now)
        world.apply_effects(host, host.process.said())  # type: ignore[union-attr]
        world.run(world.now + 0.3)
        world.kill(host)
        world.run(world.now + 0.2)
        world.start(host)
        assert world.run_until(lambda name=name: fleet.holders[name].get_limit("s0") > 0, 8.0), name  # type: ignore[misc]
        world.run(world.now + 1.0)
    assert not fleet.violations and fleet.max_total >= LIMIT - 1


def test_shares_follow_demand_and_no_ingress_starves() -> None:
    fleet = Fleet(5, rate=3.0)
    fleet.world.run(fleet.world.now + 6.0)
    fleet.rate = 40.0
    fleet.world.run(fleet.world.now + 15.0)
    shares = [fleet.holders[name].get_limit("s1") for name in fleet.names]
    assert sum(shares) <= LIMIT and min(shares) >= 1 and not fleet.violations


# The ingress: what the decision module may send, and what the south side opens.


def test_decision_module_sends_no_more_to_a_server_than_the_share() -> None:
    drive = Driver(2)
    drive.handle(RelayLimitsChanged({"s0": 1, "s1": 0}))
    assert [act.server for act in select(Send, drive.send_message())] == ["s0"]
    refused = drive.send_message()
    assert not select(Send, refused) and select(Refuse, refused)
    drive.handle(RelayLimitsChanged({"s0": 1, "s1": 1}))
    assert [act.server for act in select(Send, drive.send_message())] == ["s1"]
    drive.handle(RelayLimitsChanged({}))
    assert select(Send, drive.send_message())


def test_south_side_opens_no_connection_beyond_the_share() -> None:
    with rig() as r:
        south = r.daemon.south
        south.connection_limits = {"s-0": 1}
        first = r.send_request(1)
        _, server = r.accept_relay()
        server.read_http()
        assert south.open_connections == {"s-0": 1} and south.count_busy("s-0") == 1
        second = r.send_request(
            2
        )  # the decision module was not told of the share, so the south side rejects the relay before sending
        assert second.read_http()[0] in (429, 503) and r.count("south_over_share") >= 1
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert first.read_http()[0] == 200
        assert south.count_busy("s-0") == 0 and south.open_connections == {"s-0": 1}
        south.close_idle("s-0", 0)
        assert south.open_connections == {} and server.wait_closed()


# The schedule.


@pytest.mark.parametrize(
    ("wave", "place", "is_allowed"),
    [([], 0, True), ([0], 1, False), ([0], 2, True), ([0, 2], 4, False), ([1], 0, False), ([5], 0, False)],
)
def test_rules_of_a_wave(wave: list[int], place: int, is_allowed: bool) -> None:
    rules = Rules(max_away=2, max_away_in_zone=2, set_size=2, place_count=6)
    assert fits([Ingress(n) for n in wave], Ingress(place), rules) == is_allowed
    assert not fits([Ingress(3, "z"), Ingress(5, "z")], Ingress(1, "z"), Rules(9, 2, 2, 6))


def test_waves_contain_every_ingress_except_sets_of_one() -> None:
    rules = Rules(max_away=3, max_away_in_zone=9, set_size=2, place_count=12)
    ingresses = [Ingress(n, duration=1.0 + n % 3) for n in range(12)]
    planned = plan_waves(ingresses, rules)
    assert sorted(ingress.place for wave in planned for ingress in wave) == list(range(12))
    assert total_seconds(planned) <= 9.0 and not find_unschedulable(ingresses, rules)
    assert (
        len(find_unschedulable(ingresses, Rules(3, 9, 1, 12))) == 12 and plan_waves(ingresses, Rules(3, 9, 1, 12)) == []
    )
    for wave in planned:
        assert all((a.place - b.place) % 12 not in (1, 11) for a, b in itertools.combinations(wave, 2))
