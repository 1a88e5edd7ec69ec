"""Maintenance: state transitions, bounds and order of permits, and simulated fleets in virtual time."""

from __future__ import annotations

import base64
import contextlib
import os
import random
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from brackenpulley.consensus.agreement import KIND, Agreement
from brackenpulley.consensus.machine import StateMachine
from brackenpulley.maintenance.agent import MACHINE_PART, MaintenanceAgent
from brackenpulley.maintenance.order import MAX_TIMES_PASSED, Bounds, Candidate, FleetState, Server, find_obstacle, plan
from brackenpulley.maintenance.permits import (
    Ask,
    Begin,
    Cleared,
    Command,
    Enter,
    Finish,
    Leave,
    Override,
    Permits,
    Step,
    Withdraw,
    encode,
)
from brackenpulley.simulation.faults import FaultInjector
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.script import draw_faults, parse
from brackenpulley.simulation.world import Host, StandaloneParts, World

from .rig import Rig, rig
from .test_control import call

SERVERS = {f"s{n}": Server("ab"[n % 2], "m1" if n < 4 else "m2", 1.0, True) for n in range(6)}
FLEET = FleetState(SERVERS, 4.0, [True] * 4, 2)
BOUNDS = Bounds(max_out=2, max_out_in_zone=1, load_reserve=0.25, relays_per_size=2.0)


class Log:
    """Applies commands to `Permits` at increasing times."""

    def __init__(self) -> None:
        self.permits, self.now = Permits(), 100.0
        for name in ("x", "y"):
            self.apply(Enter(name, name + "@1"))

    def apply(self, command: Command, after: float = 1.0) -> Any:
        self.now += after
        return self.permits.apply(self.now, encode(command))

    def step(self, after: float = 1.0, fleet: FleetState = FLEET, carried: list[str] = []) -> Any:  # noqa: B006
        return self.apply(Step(fleet, BOUNDS, 5.0, 30.0, carried), after)

    def confirm(self, name: str = "h", incarnations: tuple[str, ...] = ("x@1", "y@1")) -> Any:
        job = self.permits.jobs[name]
        for incarnation in incarnations:
            answer = self.apply(Cleared(name, job.token, incarnation[0], incarnation))
        return answer

    def bring_to(self, state: str) -> Log:
        """Add a machine `h` and bring it into the given state."""
        self.apply(Ask("h", "ann", ["s0"], zone="a"))
        steps = {"asked": 0, "waiting": 1, "clearing": 2, "clear": 3, "at work": 4, "returning": 5, "done": 6}
        call_count = steps.get(state, 2 if state == "stuck" else 0)
        calls = [
            lambda: self.step(fleet=FLEET if call_count != 1 else FleetState(SERVERS, lost_zones=["b"])),
            lambda: None,
            self.confirm,
            lambda: self.apply(Begin("h", self.permits.jobs["h"].token)),
            lambda: self.apply(Finish("h", self.permits.jobs["h"].token)),
            lambda: self.step(9.0, carried=["h"]),
        ]
        for step in calls[:call_count]:
            step()
        if state == "stuck":
            self.step(31.0)
        if state == "withdrawn":
            self.apply(Withdraw("h", "ann"))
        assert self.permits.jobs["h"].state == state
        return self


TABLE = {  # command: {state before: state after}; any other state refuses the command
    "withdraw": {
        "asked": "withdrawn",
        "waiting": "withdrawn",
        "clearing": "returning",
        "clear": "returning",
        "returning": "returning",
        "stuck": "returning",
    },
    "begin": {"clear": "at work", "at work": "at work"},
    "finish": {"at work": "returning", "returning": "returning"},
    "override": {"clearing": "clear", "stuck": "clear"},
}
STATES = ("asked", "waiting", "clearing", "clear", "at work", "returning", "done", "withdrawn", "stuck")


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("command", list(TABLE))
def test_state_transitions(state: str, command: str) -> None:
    log = Log().bring_to(state)
    token = log.permits.jobs["h"].token
    made: dict[str, Command] = {
        "withdraw": Withdraw("h", "ann"),
        "begin": Begin("h", token),
        "finish": Finish("h", token),
        "override": Override("h", "bob"),
    }
    answer = log.apply(made[command])
    after = TABLE[command].get(state)
    assert log.permits.jobs["h"].state == (after or state)
    assert ("error" in answer) == (after is None)
    if after is None:
        assert answer["field"] == "state" and state in answer["error"]


def test_machine_is_taken_out_and_returns() -> None:
    log = Log().bring_to("clearing")
    assert log.permits.list_cordoned() == {"s0": 1} and log.permits.list_unconfirmed(log.permits.jobs["h"]) == [
        "x",
        "y",
    ]
    log.confirm(incarnations=("x@1",))
    assert log.permits.list_unconfirmed(log.permits.jobs["h"]) == ["y"]
    assert log.confirm(incarnations=("y@1",))["state"] == "clear"
    log.apply(Begin("h", 1))
    log.apply(Finish("h", 1))
    assert log.permits.list_cordoned() == {}  # gets work again; out until it has carried load for a while
    log.step(2.0, carried=["h"])
    assert log.permits.jobs["h"].state == "returning"
    log.step(9.0)
    assert log.permits.jobs["h"].state == "returning"
    log.step(carried=["h"])
    assert log.permits.jobs["h"].state == "done"


def test_command_with_an_older_token_is_refused() -> None:
    log = Log().bring_to("clear")
    log.apply(Withdraw("h", "ann"))
    log.step(9.0, carried=["h"])
    log.apply(Ask("h", "ann", ["s0"], zone="a"))
    log.step()
    assert log.permits.jobs["h"].token == 2
    for command in (Begin("h", 1), Finish("h", 1), Cleared("h", 1, "x", "x@1")):
        assert log.apply(command)["field"] == "token"


def test_only_confirmation_leave_or_override_clears_a_machine() -> None:
    for command, is_clear in ((Leave("y", "y@1"), True), (Leave("y", "y@0"), False), (Enter("z", "z@1"), False)):
        log = Log().bring_to("clearing")
        log.confirm(incarnations=("x@1",))
        log.apply(command)
        assert (log.permits.jobs["h"].state == "clear") == is_clear
    log = Log().bring_to("clearing")
    log.confirm()
    log = Log().bring_to("clearing")
    log.confirm(incarnations=("x@1",))
    log.apply(Enter("y", "y@2"))  # a new incarnation must confirm for itself
    assert log.permits.list_unconfirmed(log.permits.jobs["h"]) == ["y"]
    assert log.apply(Cleared("h", 1, "y", "y@1"))["state"] == "clearing"
    assert log.apply(Cleared("h", 1, "y", "y@2"))["state"] == "clear"
    log = Log().bring_to("stuck")
    assert log.permits.jobs["h"].reason == "no word of x, y" and log.permits.list_cordoned() == {"s0": 1}
    log.apply(Override("h", "bob"))
    assert log.permits.jobs["h"].overrides[0].startswith("bob at") and "x, y" in log.permits.jobs["h"].overrides[0]


def test_stopping_ingress_leaves_only_after_its_last_message_is_answered() -> None:
    """If it left at SIGTERM, work on a machine could begin under relays that are still in flight."""
    with rig() as r:
        calls: list[str] = []

        class RecordedService:
            def leave(self) -> None:
                calls.append("closed")

            def has_left(self) -> bool:
                return len(calls) > 3 or bool(calls.append("asked"))

            def knows(self) -> bool:
                return True

            def stop(self) -> None:
                calls.append("stopped")

        r.daemon.maintenance = RecordedService()
        client = r.send_request(1)
        _, server = r.accept_relay()
        server.read_http()
        r.daemon.loop.running = True
        r.daemon.begin_shutdown()
        r.advance_clock(0.6)
        assert calls == [] and r.daemon.loop.running
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assert client.read_http()[0] == 200
        r.run_until(lambda: not r.daemon.loop.running)
        assert calls == ["closed", "asked", "asked", "asked"]


def test_job_for_an_ingress_awaits_only_that_ingress() -> None:
    log = Log()
    log.apply(Ask("ing", "ann", ingress="x", place=1))
    log.step()
    assert log.permits.list_unconfirmed(log.permits.jobs["ing"]) == ["x"]
    log.apply(Leave("x", "x@1"))  # its process has ended, so nothing is left to clear
    assert log.permits.jobs["ing"].state == "clear"


@pytest.mark.parametrize(
    ("ask", "field"),
    [
        (Ask("", "a", ["s1"]), "id"),
        (Ask("n", "a"), "id"),
        (Ask("n", "a", ["s1"], "x"), "id"),
        (Ask("n", "a", [f"s{n}" for n in range(300)]), "servers"),
        (Ask("n", "a", ["s0"]), "servers"),
        (Ask("h", "a", ["s3"]), "id"),
    ],
)
def test_invalid_ask_is_refused(ask: Ask, field: str) -> None:
    log = Log().bring_to("waiting")
    before = log.permits.dump()
    assert log.apply(ask)["field"] == field and log.permits.dump() == before


def test_repeated_ask_passed_deadline_and_snapshot() -> None:
    log = Log().bring_to("clearing")
    assert log.apply(Ask("h", "ann", ["s0"], zone="a")) == {"state": "clearing", "token": 1}
    log.apply(Ask("late", "ann", ["s1"], zone="a", deadline=log.now + 2.5))  # zone a has a machine out
    log.step()
    assert log.permits.jobs["late"].reason == "1 machines of zone a are out, 1 at most"
    log.step(5.0)
    assert (log.permits.jobs["late"].state, log.permits.jobs["late"].reason) == ("withdrawn", "its deadline has passed")
    other = Permits()
    other.load(log.permits.dump())
    assert other.dump() == log.permits.dump() and other.token == 1
    other.load(None)
    assert other.jobs == {} and other.token == 0


def candidate(
    name: str,
    *servers: str,
    place: int = -1,
    zone: str = "a",
    urgency: int = 0,
    requested_at: float = 0.0,
    times_passed: int = 0,
) -> Candidate:
    return Candidate(name, frozenset(servers), place, zone, urgency, requested_at, times_passed)


@pytest.mark.parametrize(
    ("machine", "out", "fleet", "reason"),
    [
        (candidate("h", "s0"), [], FLEET, ""),
        (candidate("h", "s0"), [], FleetState(SERVERS, lost_zones=["b"]), "zone b is lost"),
        (candidate("h", "s0"), [], FleetState(SERVERS, missing_servers=2), "2 servers are missing"),
        (
            candidate("h", "s0"),
            [candidate("p", "s1", zone="b"), candidate("q", "s3", zone="c")],
            FLEET,
            "2 machines are out, 2 at most",
        ),
        (candidate("h", "s0"), [candidate("p", "s2")], FLEET, "1 machines of zone a are out, 1 at most"),
        (candidate("h", "zz"), [], FLEET, "server zz is not known"),
        (candidate("h", "s4", "s5"), [], FLEET, "s4 is of the last of machine type m2"),
        (candidate("h", "s4"), [candidate("p", "s5", zone="b")], FLEET, "s4 is of the last of machine type m2"),
        (candidate("h", "s0"), [], FleetState(SERVERS, 9.0), "what is left carries 10 attempts, 11 are needed"),
        (candidate("h", place=1), [], FLEET, ""),
        (candidate("h", place=9), [], FLEET, "ingress 9 is not known"),
        (
            candidate("h", place=1),
            [candidate("p", place=2, zone="b")],
            FLEET,
            "all ingresses of a set from 1 would be away",
        ),
        (candidate("h", place=1), [candidate("p", place=3, zone="b")], FLEET, ""),
        (
            candidate("h", place=1),
            [],
            FleetState(serving=[True, True, False, True], set_size=2),
            "all ingresses of a set from 1 would be away",
        ),
    ],
)
def test_each_bound_delays_a_machine(machine: Candidate, out: list[Candidate], fleet: FleetState, reason: str) -> None:
    assert find_obstacle(machine, out, fleet, BOUNDS) == reason


def test_order_is_by_urgency_then_age_and_passing_is_limited() -> None:
    rows = [
        candidate("old", "s0", requested_at=1.0),
        candidate("new", "s1", zone="b", requested_at=2.0),
        candidate("now", "s2", zone="c", urgency=5, requested_at=3.0),
    ]
    assert [(planned.id, reason) for planned, reason in plan(rows, [], FLEET, BOUNDS)] == [
        ("now", ""),
        ("old", ""),
        ("new", "2 machines are out, 2 at most"),
    ]
    taken = [candidate("p", "s3", zone="a")]
    rows = [candidate("old", "s0", requested_at=1.0), candidate("new", "s1", zone="b", requested_at=2.0)]
    assert [planned.id for planned, reason in plan(rows, taken, FLEET, BOUNDS) if not reason] == ["new"]
    rows[0] = candidate("old", "s0", requested_at=1.0, times_passed=MAX_TIMES_PASSED)
    assert [reason for _, reason in plan(rows, taken, FLEET, BOUNDS)][1] == (
        f"old was passed over {MAX_TIMES_PASSED} times and goes first"
    )
    log = Log().bring_to("clearing")
    log.apply(Ask("held", "ann", ["s2"], zone="a"))
    for n in range(MAX_TIMES_PASSED + 2):
        log.apply(Ask(f"n{n}", "ann", ["s1"], zone="b"))
        log.step()
        log.apply(Withdraw(f"n{n}", "ann"))
        log.step(9.0, carried=[f"n{n}"])
        log.apply(Withdraw(f"n{n}", "ann"))
    assert log.permits.jobs["held"].times_passed == MAX_TIMES_PASSED  # all others wait for it now
    assert log.permits.jobs[f"n{MAX_TIMES_PASSED + 1}"].state == "withdrawn"


# Simulated fleets in virtual time: invariants under faults.


class Ingress:
    """Simulated ingress that sends relays to servers that are not cordoned; each relay takes a random time."""

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self.fleet, self.host, self.cordoned = fleet, host, frozenset[str]()
        self.relays_at: dict[str, int] = {}
        self.is_draining = False

    def set_cordoned(self, servers: frozenset[str]) -> None:
        self.cordoned = servers

    def count_relays(self, servers: list[str]) -> int:
        return sum(self.relays_at.get(name, 0) for name in servers)

    def set_draining(self, on: bool) -> None:
        self.is_draining = on

    def count_messages(self) -> int:
        return sum(self.relays_at.values())

    def list_published_cordons(self) -> frozenset[str]:
        return frozenset()

    def observe_fleet(self) -> FleetState:
        return FleetState(SERVERS, 1.0, [True] * 5, 2)

    def is_carrying_load(self, servers: list[str], ingress: str) -> bool:
        return True

    def send_relay(self) -> None:
        """Start one relay to a server that is not cordoned, and schedule its end."""
        world, rng = self.fleet.world, self.fleet.rng
        names = [name for name in SERVERS if name not in self.cordoned]
        if self.host.is_suspended or self.host.process is None or self.fleet.ingresses.get(self.host.name) is not self:
            return
        world.schedule(world.now + rng.expovariate(5.0), self.send_relay)
        if not self.fleet.agents[self.host.name].has_entered:
            return
        name = rng.choice(names)
        self.fleet.check_relay(self.host, name)
        self.relays_at[name] = self.relays_at.get(name, 0) + 1
        life = self.host.incarnation

        def end_relay() -> None:
            if self.host.incarnation == life:
                self.relays_at[name] -= 1

        world.schedule(world.now + rng.expovariate(4.0), end_relay)


class Fleet:
    """Simulated ingresses with maintenance agents; records each violation of an invariant."""

    def __init__(self, seed: int, size: int = 5) -> None:
        self.world, self.rng = World(seed, Links(Link(jitter=0.003, loss=0.02, duplication=0.02))), random.Random(seed)
        self.names = [f"v{n}" for n in range(size)]
        self.voters = {name: f"a-{name}" for name in self.names[:3]}
        self.ingresses: dict[str, Ingress] = {}
        self.agents: dict[str, MaintenanceAgent] = {}
        self.worked_on: dict[str, int] = {}  # servers that are worked on, with the token of the job
        self.tokens: dict[str, int] = {}
        self.violations: list[str] = []
        self.checked_index = 0
        self.applied_index: dict[tuple[str, int], int] = {}  # by name and incarnation
        for name in self.names:
            self.world.add_host(name, f"a-{name}", self.make_agreement)
        self.world.checks.append(self.check)

    def make_agreement(self, host: Host) -> StandaloneParts:
        agreement = Agreement(
            f"{host.name}@{host.incarnation}",
            host.name,
            self.voters,
            lambda: StateMachine({MACHINE_PART: Permits()}),
            random.Random(self.rng.random()),
            self.world.now,
            host.disk if host.name in self.voters else None,
        )
        ingress = self.ingresses[host.name] = Ingress(self, host)
        agent = self.agents[host.name] = MaintenanceAgent(
            host.name,
            agreement,
            lambda: agreement.machine.parts[MACHINE_PART],
            ingress,
            Bounds(2, 1, 0.0, 0.0),
            2.0,  # type: ignore
            60.0,
            self.world.now,
        )
        agreement.on_advanced = agent.on_applied
        life = host.incarnation

        def tick() -> None:
            if host.incarnation == life and host.process is not None:
                self.world.schedule(self.world.now + 0.2, tick)
                if not host.is_suspended:
                    agent.tick(self.world.now)
                    self.world.apply_effects(host, host.process.said())  # type: ignore[attr-defined]

        self.world.schedule(self.world.now + 0.01, tick)
        self.world.schedule(self.world.now + 0.5, ingress.send_relay)
        return StandaloneParts(host.address, {KIND: agreement})

    def check_relay(self, host: Host, server: str) -> None:
        if server in self.worked_on:
            self.violations.append(f"{self.world.now:.2f}: {host.name} sends to {server}, which is worked on")

    def permits(self) -> Permits:
        """Return the state of the process that has applied most of the log."""
        agreements = [agent.agreement for agent in self.agents.values()]
        return max(agreements, key=lambda agreement: agreement.machine.index).machine.parts[MACHINE_PART]  # type: ignore[return-value]

    def check(self) -> None:
        for name, agent in self.agents.items():
            host, reached = (
                self.world.find_host(name),
                self.applied_index.get((name, self.world.find_host(name).incarnation), 0),
            )
            if host.process is None or not agent.has_entered or agent.agreement.machine.index < reached:
                continue  # not running, or restored from a disk with an older state
            self.applied_index[name, host.incarnation] = agent.agreement.machine.index
            if left := set(agent.permits.list_cordoned()) - self.ingresses[name].cordoned:
                self.violations.append(
                    f"{self.world.now:.3f}: {name} has applied the permit and may send to {sorted(left)}"
                )
        index = max(agent.agreement.machine.index for agent in self.agents.values())
        if index < self.checked_index:
            return  # the process that had applied most was killed, the others have an older state
        self.checked_index, permits = index, self.permits()
        out = permits.list_out()
        if len(out) > 2 or len({job.zone for job in out}) < len(out):
            self.violations.append(f"out: {[job.id for job in out]}")
        for job in permits.jobs.values():
            if job.token < self.tokens.get(job.id, 0):
                self.violations.append(f"{job.id}: token {job.token} after {self.tokens[job.id]}")
            self.tokens[job.id] = job.token
            for name in job.servers:
                if job.state == "at work":
                    self.worked_on[name] = job.token
                elif self.worked_on.get(name) == job.token:
                    del self.worked_on[name]

    def propose(self, command: Command) -> None:
        """Propose a command to any running process, and repeat that until it is agreed."""
        running = [
            n
            for n in self.names
            if self.world.find_host(n).process is not None and not self.world.find_host(n).is_suspended
        ]
        if not running:
            self.world.schedule(self.world.now + 1.0, lambda: self.propose(command))
            return
        host = self.world.find_host(self.rng.choice(running))

        def on_answer(answer: Any) -> None:
            if answer is None:
                self.world.schedule(self.world.now + 0.1, lambda: self.propose(command))

        self.agents[host.name].propose(self.world.now, command, on_answer, 3.0)
        self.world.schedule(self.world.now + 4.0, lambda: self.repeat_if_lost(command))
        self.world.apply_effects(host, host.process.said())  # type: ignore[union-attr]

    def repeat_if_lost(self, command: Command) -> None:
        if isinstance(command, Ask) and command.id not in self.permits().jobs:
            self.propose(command)

    def do_work(self) -> None:
        """Begin work on machines that are clear and finish it after a second."""
        for job in list(self.permits().jobs.values()):
            if job.state == "clear":
                self.propose(Begin(job.id, job.token))
            elif job.state == "at work" and self.world.now - job.state_since > 1.0:
                self.propose(Finish(job.id, job.token))
        self.world.schedule(self.world.now + 0.7, self.do_work)


JOBS = [Ask(f"h{n}", "ann", [f"s{n}"], zone="ab"[n % 2], urgency=n % 3) for n in range(5)]


@pytest.mark.parametrize("seed", range(6))
def test_fleet_keeps_the_bounds_and_finishes_every_job_under_faults(seed: int) -> None:
    fleet = Fleet(seed)
    world = fleet.world
    lines = [
        line
        for line in draw_faults(fleet.rng, fleet.names, 36.0, 3.0, 3)
        if line.action != "start" or line.arguments[1] in ("kept", "power")
    ]
    FaultInjector(world, lines)
    for at, job in enumerate(JOBS):
        world.schedule(world.now + 3.0 + at, lambda job=job: fleet.propose(job))  # type: ignore[misc]
    world.schedule(world.now + 4.0, fleet.do_work)
    world.run(world.now + 36.0)
    for host in world.hosts.values():
        if host.process is None:
            world.start(host)
        elif host.is_suspended:
            world.resume(host)
    done = world.run_until(lambda: [job.state for job in fleet.permits().jobs.values()] == ["done"] * len(JOBS), 90.0)
    assert not fleet.violations, fleet.violations[:3]
    assert done, [fleet.permits().describe(job) for job in fleet.permits().jobs.values()]


@pytest.mark.parametrize("seed", range(3))
def test_process_stopped_right_after_a_permit_sends_nothing_there_when_it_continues(seed: int) -> None:
    """Each process is stopped once, the leader too; messages that arrived meanwhile are sent before its next tick."""
    fleet = Fleet(seed)
    world, stopped = fleet.world, set[str]()
    world.run(world.now + 4.0)
    fleet.propose(JOBS[0])

    def go_on(name: str) -> None:
        host = world.find_host(name)
        world.resume(host)
        backlog = [name for name in SERVERS if name not in fleet.ingresses[host.name].cordoned]
        for name in backlog:
            fleet.check_relay(host, name)
            if name in fleet.agents[host.name].permits.list_cordoned():
                fleet.violations.append(f"{host.name} goes on with {name}, which is away")

    def stop() -> None:
        for name, agent in fleet.agents.items():
            if name not in stopped and agent.permits.list_cordoned():
                stopped.add(name)
                world.suspend(world.find_host(name))
                world.schedule(world.now + 4.0, lambda name=name: go_on(name))  # type: ignore[misc]

    world.checks.append(stop)
    assert world.run_until(lambda: [job.state for job in fleet.permits().jobs.values()] == ["clear"], 60.0)
    assert stopped == set(fleet.names) and not fleet.violations, fleet.violations[:3]


class FakeAgreement:
    """An agreement with a state set by the test, which answers no proposal."""

    id, is_leader = "x@1", False

    def __init__(self) -> None:
        self.machine = StateMachine({})

    def propose(self, now: float, part: str, body: bytes, patience: float, done: Any) -> bool:
        return True


def test_state_older_than_the_last_applied_one_changes_nothing() -> None:
    """A voter whose disk failed restarts from an older snapshot; servers taken out since must stay cordoned."""
    fleet = Fleet(1, 1)
    ingress, agreement = fleet.ingresses["v0"], FakeAgreement()
    newer, older = Log().bring_to("clearing").permits, Log().permits
    held = [newer]
    agent = MaintenanceAgent("x", agreement, lambda: held[0], ingress, Bounds(), 2.0, 60.0, 0.0)  # type: ignore[arg-type]
    agreement.machine.index = 9
    agent.tick(0.0)
    assert ingress.cordoned == {"s0"} and agent.has_entered
    held[0], agreement.machine.index = older, 3
    agent.on_applied()
    agent.tick(1.0)
    assert ingress.cordoned == {"s0"} and agent.has_entered
    agreement.machine.index = 10
    agent.tick(2.0)
    assert ingress.cordoned == frozenset()


def test_daemon_cordons_a_server_in_the_turn_that_applies_the_permit(tmp_path: Path) -> None:
    with rig(2, operator=make_operator(tmp_path)) as r:
        service = r.daemon.maintenance
        r.run_until(lambda: bool(service.agent.has_entered))
        service.propose(Ask("h", "ann", ["s-0"], zone="z"), lambda answer: None, 5.0)
        r.run_until(lambda: "s-0" in service.permits.list_cordoned())
        assert not r.daemon.inventory.is_usable("s-0") and r.daemon.inventory.is_usable("s-1")


HEAD_OF_LONG_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
HEAD_OF_LONG_BODY = (
    b"POST /a/0000000000000001 HTTP/1.1\r\nHost: h\r\nX-Request-ID: 0000000000000001\r\nX-Priority-Class: a\r\n"
    b"X-Tariff: p\r\nX-Timeout: 9000m\r\nContent-Length: %d\r\n\r\n"
)
LONG_BYTES = 3_000_000


def make_operator(tmp_path: Path) -> dict[str, Any]:
    """Settings of a single voter with maintenance and a control socket."""
    # An address of its own, so that no other process takes the port.
    host = f"127.{20 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}.1"
    with socket.create_server((host, 0)) as free:
        at = f"{host}:{free.getsockname()[1]}"
    (tmp_path / "keys").write_text(base64.b64encode(b"m" * 32).decode() + "\n")
    (tmp_path / "keys").chmod(0o600)
    return {
        "control": {"listen": f"unix:{tmp_path}/c"},
        "members": {"fleet": "f", "listen": at, "seeds": [], "keys": str(tmp_path / "keys")},
        "consensus": {"path": str(tmp_path / "log"), "voters": {"n0": at}},
        "maintenance": {"out": 1, "zone": 1, "reserve": 0.0, "settle_s": 1.0, "late_s": 60.0},
    }


def ask_for(r: Rig, tmp_path: Path, body: dict[str, Any]) -> Callable[[], dict[str, Any]]:
    """Ask for a host and wait until it is being cleared; return what reads its state."""

    def read() -> dict[str, Any]:
        return dict(call(r, tmp_path, "GET", "/v1/work/host")[1])

    assert call(r, tmp_path, "POST", "/v1/work", {"id": "host", "by": "ann", "zone": "z", **body})[0] == 200
    r.run_until(lambda: read()["state"] in ("clearing", "clear"))
    return read


def hold_for_looks(r: Rig, read: Callable[[], dict[str, Any]], seconds: float = 1.5) -> None:
    """Check that the host stays unclear for that long, several looks of the agent."""
    end = time.monotonic() + seconds
    r.run_until(lambda: time.monotonic() > end or read()["state"] != "clearing")
    assert read()["state"] == "clearing"


def wait_until_clear(r: Rig, tmp_path: Path, read: Callable[[], dict[str, Any]]) -> None:
    """Check that the host is clear within 1 s, and that work may begin then."""
    end = time.monotonic() + 1.0
    r.run_until(lambda: read()["state"] == "clear" or time.monotonic() > end)
    assert read()["state"] == "clear"
    assert call(r, tmp_path, "POST", "/v1/work/host/begin", {"token": read()["token"]})[0] == 200


@pytest.mark.parametrize("what", ["an answer streams", "a body streams"])
def test_a_host_is_clear_only_once_nothing_streams_from_it_or_to_it(tmp_path: Path, what: str) -> None:
    """Guards against a machine that is taken away while an answer flows from it or a body still goes to it."""
    with rig(2, operator=make_operator(tmp_path)) as r:
        r.run_until(lambda: bool(r.daemon.maintenance.agent.has_entered))
        if what == "an answer streams":
            client = r.send_request(1)
            name, server = r.accept_relay()
            server.read_http()
            server.send(HEAD_OF_LONG_ANSWER % LONG_BYTES + b"x" * 100_000)
            unsent, source = LONG_BYTES - 100_000, server
        else:
            client = r.connect().send(HEAD_OF_LONG_BODY % LONG_BYTES + b"x" * 100_000)
            name, server = r.accept_relay()
            server.read_until(b"\r\n\r\n")
            unsent, source = LONG_BYTES - 100_000, client
        read = ask_for(r, tmp_path, {"servers": [name]})
        hold_for_looks(r, read)
        assert call(r, tmp_path, "POST", "/v1/work/host/begin", {"token": read()["token"]})[0] == 409
        taken = len(client.received.partition(b"\r\n\r\n")[2]) if source is server else len(server.received)
        sink = client if source is server else server
        while taken < LONG_BYTES:
            with contextlib.suppress(BlockingIOError):
                unsent -= source.sock.send(b"x" * min(unsent, 65536)) if unsent else 0
            r.run_once()
            before = len(sink.received)
            sink.receive()
            taken += len(sink.received) - before
        if source is client:
            server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            assert client.read_http()[0] == 200
        wait_until_clear(r, tmp_path, read)


def test_the_host_of_an_ingress_is_clear_only_once_its_clients_have_their_answers(tmp_path: Path) -> None:
    """Guards the same at the ingress's own host: the server gave all of an answer, and its client has not read it."""
    with rig(2, operator=make_operator(tmp_path)) as r:
        r.run_until(lambda: bool(r.daemon.maintenance.agent.has_entered))
        client = r.send_request(1)
        _, server = r.accept_relay()
        (north_client,) = r.daemon.north.clients
        north_client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        server.read_http()
        size = 200_000  # fits into what the ingress holds of one answer
        server.send(HEAD_OF_LONG_ANSWER % size + b"x" * size)
        r.run_until(lambda: not r.daemon.ingress.exchanges)
        assert north_client.outgoing or north_client.response_body is not None
        # The only ingress is never taken out, so the count that its word rests on is asked for.
        adapter = r.daemon.maintenance.adapter
        assert adapter.count_messages() == 1
        assert len(client.read_http()[2]) == size
        r.run_until(lambda: adapter.count_messages() == 0)


def test_unreachable_ingress_delays_a_machine_and_is_named() -> None:
    fleet = Fleet(1)
    world = fleet.world
    world.run(world.now + 4.0)
    FaultInjector(world, parse("0 part v4 v0,v1,v2,v3"))
    world.run(world.now + 0.1)
    fleet.propose(JOBS[0])
    world.run(world.now + 20.0)
    job = fleet.permits().jobs["h0"]
    assert job.state == "clearing" and fleet.permits().list_unconfirmed(job) == ["v4"]
    fleet.propose(Override("h0", "bob"))
    assert world.run_until(lambda: fleet.permits().jobs["h0"].state == "clear", 10.0)
    assert "bob" in fleet.permits().jobs["h0"].overrides[0] and "v4" in fleet.permits().jobs["h0"].overrides[0]


def test_partition_without_a_quorum_grants_no_permit() -> None:
    fleet = Fleet(2)
    world = fleet.world
    world.run(world.now + 4.0)
    FaultInjector(world, parse("0 part v0,v3 v1,v2,v4"))
    world.run(world.now + 0.1)
    fleet.agents["v3"].propose(world.now, JOBS[0], lambda answer: None, 60.0)
    world.apply_effects(world.find_host("v3"), world.find_host("v3").process.said())  # type: ignore[union-attr]
    fleet.agents["v4"].propose(world.now, JOBS[1], lambda answer: None, 60.0)
    world.apply_effects(world.find_host("v4"), world.find_host("v4").process.said())  # type: ignore[union-attr]
    world.run(world.now + 15.0)
    sides = {name: set(fleet.agents[name].permits.jobs) for name in fleet.names}
    assert sides["v0"] == sides["v3"] == set() and sides["v1"] == sides["v4"] == {"h1"}
    assert fleet.permits().jobs["h1"].state == "clearing"  # ingresses in the other partition have not confirmed
    world.links.heal()
    assert world.run_until(
        lambda: all(
            set(c.permits.jobs) == {"h0", "h1"} and not c.permits.list_unconfirmed(c.permits.jobs["h1"])
            for c in fleet.agents.values()
        ),
        60.0,
    )
    assert not fleet.violations
