"""Machines out for work: the table of states, the bounds, the order, and a fleet in virtual time that keeps it."""

from __future__ import annotations

import base64
import os
import random
import socket
from pathlib import Path
from typing import Any

import pytest

from brackenpulley.consensus.agreement import KIND, Agreement
from brackenpulley.consensus.machine import Machine
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
from brackenpulley.simulation.faults import Faults
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.script import drawn, parse
from brackenpulley.simulation.world import Bare, Host, World

from .rig import rig

SERVERS = {f"s{n}": Server("ab"[n % 2], "m1" if n < 4 else "m2", 1.0, True) for n in range(6)}
FACTS = FleetState(SERVERS, 4.0, [True] * 4, 2)
BOUNDS = Bounds(max_out=2, max_out_in_zone=1, load_reserve=0.25, relays_per_size=2.0)


class Log:
    """Commands at times that only grow."""

    def __init__(self) -> None:
        self.permits, self.now = Permits(), 100.0
        for name in ("x", "y"):
            self.do(Enter(name, name + "@1"))

    def do(self, command: Command, after: float = 1.0) -> Any:
        self.now += after
        return self.permits.apply(self.now, encode(command))

    def step(self, after: float = 1.0, facts: FleetState = FACTS, carried: list[str] = []) -> Any:  # noqa: B006
        return self.do(Step(facts, BOUNDS, 5.0, 30.0, carried), after)

    def say(self, name: str = "h", lives: tuple[str, ...] = ("x@1", "y@1")) -> Any:
        job = self.permits.jobs[name]
        for life in lives:
            answer = self.do(Cleared(name, job.token, life[0], life))
        return answer

    def to(self, state: str) -> Log:
        """A machine `h` in that state."""
        self.do(Ask("h", "ann", ["s0"], zone="a"))
        steps = {"asked": 0, "waiting": 1, "clearing": 2, "clear": 3, "at work": 4, "returning": 5, "done": 6}
        many = steps.get(state, 2 if state == "stuck" else 0)
        calls = [
            lambda: self.step(facts=FACTS if many != 1 else FleetState(SERVERS, lost_zones=["b"])),
            lambda: None,
            self.say,
            lambda: self.do(Begin("h", self.permits.jobs["h"].token)),
            lambda: self.do(Finish("h", self.permits.jobs["h"].token)),
            lambda: self.step(9.0, carried=["h"]),
        ]
        for call in calls[:many]:
            call()
        if state == "stuck":
            self.step(31.0)
        if state == "withdrawn":
            self.do(Withdraw("h", "ann"))
        assert self.permits.jobs["h"].state == state
        return self


TABLE = {  # command: {state before: state after}; what is not named is refused, and changes nothing
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
def test_the_table_of_states(state: str, command: str) -> None:
    log = Log().to(state)
    token = log.permits.jobs["h"].token
    made: dict[str, Command] = {
        "withdraw": Withdraw("h", "ann"),
        "begin": Begin("h", token),
        "finish": Finish("h", token),
        "override": Override("h", "bob"),
    }
    answer = log.do(made[command])
    after = TABLE[command].get(state)
    assert log.permits.jobs["h"].state == (after or state)
    assert ("error" in answer) == (after is None)
    if after is None:
        assert answer["field"] == "state" and state in answer["error"]


def test_a_machine_goes_out_and_comes_back() -> None:
    log = Log().to("clearing")
    assert log.permits.list_cordoned() == {"s0": 1} and log.permits.list_unconfirmed(log.permits.jobs["h"]) == [
        "x",
        "y",
    ]
    log.say(lives=("x@1",))
    assert log.permits.list_unconfirmed(log.permits.jobs["h"]) == ["y"]
    assert log.say(lives=("y@1",))["state"] == "clear"
    log.do(Begin("h", 1))
    log.do(Finish("h", 1))
    assert log.permits.list_cordoned() == {}  # it gets work again, and is out until it has carried load for a while
    log.step(2.0, carried=["h"])
    assert log.permits.jobs["h"].state == "returning"
    log.step(9.0)
    assert log.permits.jobs["h"].state == "returning"
    log.step(carried=["h"])
    assert log.permits.jobs["h"].state == "done"


def test_an_older_token_is_turned_away() -> None:
    log = Log().to("clear")
    log.do(Withdraw("h", "ann"))
    log.step(9.0, carried=["h"])
    log.do(Ask("h", "ann", ["s0"], zone="a"))
    log.step()
    assert log.permits.jobs["h"].token == 2
    for command in (Begin("h", 1), Finish("h", 1), Cleared("h", 1, "x", "x@1")):
        assert log.do(command)["field"] == "token"


def test_silence_frees_nothing_and_a_word_does() -> None:
    for word, clear in ((Leave("y", "y@1"), True), (Leave("y", "y@0"), False), (Enter("z", "z@1"), False)):
        log = Log().to("clearing")
        log.say(lives=("x@1",))
        log.do(word)
        assert (log.permits.jobs["h"].state == "clear") == clear
    log = Log().to("clearing")
    log.say()
    log = Log().to("clearing")
    log.say(lives=("x@1",))
    log.do(Enter("y", "y@2"))  # a new life says for itself
    assert log.permits.list_unconfirmed(log.permits.jobs["h"]) == ["y"]
    assert log.do(Cleared("h", 1, "y", "y@1"))["state"] == "clearing"
    assert log.do(Cleared("h", 1, "y", "y@2"))["state"] == "clear"
    log = Log().to("stuck")
    assert log.permits.jobs["h"].reason == "no word of x, y" and log.permits.list_cordoned() == {"s0": 1}
    log.do(Override("h", "bob"))
    assert log.permits.jobs["h"].overrides[0].startswith("bob at") and "x, y" in log.permits.jobs["h"].overrides[0]


def test_one_that_ends_is_waited_for_until_its_last_message_is_answered() -> None:
    """Its word at SIGTERM would have let work begin under what it still had out."""
    with rig() as r:
        calls: list[str] = []

        class Gone:
            def leave(self) -> None:
                calls.append("closed")

            def has_left(self) -> bool:
                return len(calls) > 3 or bool(calls.append("asked"))

            def knows(self) -> bool:
                return True

            def stop(self) -> None:
                calls.append("stopped")

        r.daemon.maintenance = Gone()
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


def test_an_ingress_clears_itself_alone() -> None:
    log = Log()
    log.do(Ask("ing", "ann", ingress="x", place=1))
    log.step()
    assert log.permits.list_unconfirmed(log.permits.jobs["ing"]) == ["x"]
    log.do(Leave("x", "x@1"))  # it has ended: nothing more to clear
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
def test_an_ask_that_makes_no_sense_is_refused(ask: Ask, field: str) -> None:
    log = Log().to("waiting")
    before = log.permits.dump()
    assert log.do(ask)["field"] == field and log.permits.dump() == before


def test_asking_twice_a_deadline_and_a_snapshot() -> None:
    log = Log().to("clearing")
    assert log.do(Ask("h", "ann", ["s0"], zone="a")) == {"state": "clearing", "token": 1}
    log.do(Ask("late", "ann", ["s1"], zone="a", deadline=log.now + 2.5))  # zone a is taken
    log.step()
    assert log.permits.jobs["late"].reason == "1 machines of zone a are out, 1 at most"
    log.step(5.0)
    assert (log.permits.jobs["late"].state, log.permits.jobs["late"].reason) == ("withdrawn", "its deadline has passed")
    other = Permits()
    other.load(log.permits.dump())
    assert other.dump() == log.permits.dump() and other.token == 1
    other.load(None)
    assert other.jobs == {} and other.token == 0


def want(
    name: str, *servers: str, place: int = -1, zone: str = "a", urgency: int = 0, asked: float = 0.0, passed: int = 0
) -> Candidate:
    return Candidate(name, frozenset(servers), place, zone, urgency, asked, passed)


@pytest.mark.parametrize(
    ("one", "out", "facts", "why"),
    [
        (want("h", "s0"), [], FACTS, ""),
        (want("h", "s0"), [], FleetState(SERVERS, lost_zones=["b"]), "zone b is lost"),
        (want("h", "s0"), [], FleetState(SERVERS, missing_servers=2), "2 servers are missing"),
        (
            want("h", "s0"),
            [want("p", "s1", zone="b"), want("q", "s3", zone="c")],
            FACTS,
            "2 machines are out, 2 at most",
        ),
        (want("h", "s0"), [want("p", "s2")], FACTS, "1 machines of zone a are out, 1 at most"),
        (want("h", "zz"), [], FACTS, "server zz is not known"),
        (want("h", "s4", "s5"), [], FACTS, "s4 is of the last of machine type m2"),
        (want("h", "s4"), [want("p", "s5", zone="b")], FACTS, "s4 is of the last of machine type m2"),
        (want("h", "s0"), [], FleetState(SERVERS, 9.0), "what is left carries 10 attempts, 11 are needed"),
        (want("h", place=1), [], FACTS, ""),
        (want("h", place=9), [], FACTS, "ingress 9 is not known"),
        (want("h", place=1), [want("p", place=2, zone="b")], FACTS, "all ingresses of a set from 1 would be away"),
        (want("h", place=1), [want("p", place=3, zone="b")], FACTS, ""),
        (
            want("h", place=1),
            [],
            FleetState(serving=[True, True, False, True], set_size=2),
            "all ingresses of a set from 1 would be away",
        ),
    ],
)
def test_each_bound_holds_a_machine_back(one: Candidate, out: list[Candidate], facts: FleetState, why: str) -> None:
    assert find_obstacle(one, out, facts, BOUNDS) == why


def test_the_order_is_by_urgency_then_age_and_nobody_is_passed_over_for_ever() -> None:
    rows = [
        want("old", "s0", asked=1.0),
        want("new", "s1", zone="b", asked=2.0),
        want("now", "s2", zone="c", urgency=5, asked=3.0),
    ]
    assert [(one.id, why) for one, why in plan(rows, [], FACTS, BOUNDS)] == [
        ("now", ""),
        ("old", ""),
        ("new", "2 machines are out, 2 at most"),
    ]
    taken = [want("p", "s3", zone="a")]
    rows = [want("old", "s0", asked=1.0), want("new", "s1", zone="b", asked=2.0)]
    assert [one.id for one, why in plan(rows, taken, FACTS, BOUNDS) if not why] == ["new"]
    rows[0] = want("old", "s0", asked=1.0, passed=MAX_TIMES_PASSED)
    assert [why for _, why in plan(rows, taken, FACTS, BOUNDS)][1] == (
        f"old was passed over {MAX_TIMES_PASSED} times and goes first"
    )
    log = Log().to("clearing")
    log.do(Ask("held", "ann", ["s2"], zone="a"))
    for n in range(MAX_TIMES_PASSED + 2):
        log.do(Ask(f"n{n}", "ann", ["s1"], zone="b"))
        log.step()
        log.do(Withdraw(f"n{n}", "ann"))
        log.step(9.0, carried=[f"n{n}"])
        log.do(Withdraw(f"n{n}", "ann"))
    assert log.permits.jobs["held"].times_passed == MAX_TIMES_PASSED  # from then on all wait for it
    assert log.permits.jobs[f"n{MAX_TIMES_PASSED + 1}"].state == "withdrawn"


# A fleet in virtual time: what must always hold, whoever dies.


class Ingress:
    """Sends to servers as its agent lets it; each attempt lasts a while."""

    def __init__(self, fleet: Fleet, host: Host) -> None:
        self.fleet, self.host, self.out = fleet, host, frozenset[str]()
        self.attempts_at: dict[str, int] = {}
        self.drains = False

    def set_cordoned(self, servers: frozenset[str]) -> None:
        self.out = servers

    def count_relays(self, servers: list[str]) -> int:
        return sum(self.attempts_at.get(name, 0) for name in servers)

    def set_draining(self, on: bool) -> None:
        self.drains = on

    def count_messages(self) -> int:
        return sum(self.attempts_at.values())

    def list_published_cordons(self) -> frozenset[str]:
        return frozenset()

    def observe_fleet(self) -> FleetState:
        return FleetState(SERVERS, 1.0, [True] * 5, 2)

    def is_carrying_load(self, servers: list[str], ingress: str) -> bool:
        return True

    def send(self) -> None:
        """One attempt to a server that is not away, which ends after a time."""
        world, rng = self.fleet.world, self.fleet.rng
        names = [name for name in SERVERS if name not in self.out]
        if self.host.stopped or self.host.driven is None or self.fleet.ports.get(self.host.name) is not self:
            return
        world.at(world.now + rng.expovariate(5.0), self.send)
        if not self.fleet.agents[self.host.name].has_entered:
            return
        name = rng.choice(names)
        self.fleet.sent(self.host, name)
        self.attempts_at[name] = self.attempts_at.get(name, 0) + 1
        life = self.host.life

        def ended() -> None:
            if self.host.life == life:
                self.attempts_at[name] -= 1

        world.at(world.now + rng.expovariate(4.0), ended)


class Fleet:
    def __init__(self, seed: int, size: int = 5) -> None:
        self.world, self.rng = World(seed, Links(Link(spread=0.003, loss=0.02, double=0.02))), random.Random(seed)
        self.names = [f"v{n}" for n in range(size)]
        self.seats = {name: f"a-{name}" for name in self.names[:3]}
        self.ports: dict[str, Ingress] = {}
        self.agents: dict[str, MaintenanceAgent] = {}
        self.worked: dict[str, int] = {}  # servers at work, with the token: what the workers hold
        self.tokens: dict[str, int] = {}
        self.wrong: list[str] = []
        self.seen = 0
        self.reached: dict[tuple[str, int], int] = {}  # by name and life: the newest state that it had
        for name in self.names:
            self.world.add(name, f"a-{name}", self.make)
        self.world.checks.append(self.check)

    def make(self, host: Host) -> Bare:
        part = Agreement(
            f"{host.name}@{host.life}",
            host.name,
            self.seats,
            lambda: Machine({MACHINE_PART: Permits()}),
            random.Random(self.rng.random()),
            self.world.now,
            host.disk if host.name in self.seats else None,
        )
        port = self.ports[host.name] = Ingress(self, host)
        agent = self.agents[host.name] = MaintenanceAgent(
            host.name,
            part,
            lambda: part.machine.parts[MACHINE_PART],
            port,
            Bounds(2, 1, 0.0, 0.0),
            2.0,  # type: ignore
            60.0,
            self.world.now,
        )
        part.advanced = agent.on_applied
        life = host.life

        def look() -> None:
            if host.life == life and host.driven is not None:
                self.world.at(self.world.now + 0.2, look)
                if not host.stopped:
                    agent.tick(self.world.now)
                    self.world.do(host, host.driven.said())  # type: ignore[attr-defined]

        self.world.at(self.world.now + 0.01, look)
        self.world.at(self.world.now + 0.5, port.send)
        return Bare(host.address, {KIND: part})

    def sent(self, host: Host, server: str) -> None:
        if server in self.worked:
            self.wrong.append(f"{self.world.now:.2f}: {host.name} sends to {server}, which is worked on")

    def permits(self) -> Permits:
        """As whoever has applied most sees them."""
        parts = [agent.agreement for agent in self.agents.values()]
        return max(parts, key=lambda part: part.machine.index).machine.parts[MACHINE_PART]  # type: ignore[return-value]

    def check(self) -> None:
        for name, agent in self.agents.items():
            host, reached = self.world.host(name), self.reached.get((name, self.world.host(name).life), 0)
            if host.driven is None or not agent.has_entered or agent.agreement.machine.index < reached:
                continue  # not there, or made anew from a disk that holds less
            self.reached[name, host.life] = agent.agreement.machine.index
            if left := set(agent.permits.list_cordoned()) - self.ports[name].out:
                self.wrong.append(f"{self.world.now:.3f}: {name} has the word and may send to {sorted(left)}")
        index = max(agent.agreement.machine.index for agent in self.agents.values())
        if index < self.seen:
            return  # whoever had applied most has died: what the rest knows is older
        self.seen, permits = index, self.permits()
        out = permits.list_out()
        if len(out) > 2 or len({job.zone for job in out}) < len(out):
            self.wrong.append(f"out: {[job.id for job in out]}")
        for job in permits.jobs.values():
            if job.token < self.tokens.get(job.id, 0):
                self.wrong.append(f"{job.id}: token {job.token} after {self.tokens[job.id]}")
            self.tokens[job.id] = job.token
            for name in job.servers:
                if job.state == "at work":
                    self.worked[name] = job.token
                elif self.worked.get(name) == job.token:
                    del self.worked[name]

    def ask(self, command: Command) -> None:
        """An operator asks any process that is there, again and again until something is agreed."""
        there = [n for n in self.names if self.world.host(n).driven is not None and not self.world.host(n).stopped]
        if not there:
            self.world.at(self.world.now + 1.0, lambda: self.ask(command))
            return
        host = self.world.host(self.rng.choice(there))

        def done(answer: Any) -> None:
            if answer is None:
                self.world.at(self.world.now + 0.1, lambda: self.ask(command))

        self.agents[host.name].propose(self.world.now, command, done, 3.0)
        self.world.at(self.world.now + 4.0, lambda: self.again(command))
        self.world.do(host, host.driven.said())  # type: ignore[union-attr]

    def again(self, command: Command) -> None:
        if isinstance(command, Ask) and command.id not in self.permits().jobs:
            self.ask(command)

    def work(self) -> None:
        """Workers begin what is clear and finish what is done."""
        for job in list(self.permits().jobs.values()):
            if job.state == "clear":
                self.ask(Begin(job.id, job.token))
            elif job.state == "at work" and self.world.now - job.state_since > 1.0:
                self.ask(Finish(job.id, job.token))
        self.world.at(self.world.now + 0.7, self.work)


JOBS = [Ask(f"h{n}", "ann", [f"s{n}"], zone="ab"[n % 2], urgency=n % 3) for n in range(5)]


@pytest.mark.parametrize("seed", range(6))
def test_a_fleet_with_faults_keeps_the_order_and_does_every_request(seed: int) -> None:
    fleet = Fleet(seed)
    world = fleet.world
    lines = [
        line
        for line in drawn(fleet.rng, fleet.names, 36.0, 3.0, 3)
        if line.what != "start" or line.words[1] in ("kept", "power")
    ]
    Faults(world, lines)
    for at, job in enumerate(JOBS):
        world.at(world.now + 3.0 + at, lambda job=job: fleet.ask(job))  # type: ignore[misc]
    world.at(world.now + 4.0, fleet.work)
    world.run(world.now + 36.0)
    for host in world.hosts.values():
        if host.driven is None:
            world.start(host)
        elif host.stopped:
            world.go_on(host)
    done = world.until(lambda: [job.state for job in fleet.permits().jobs.values()] == ["done"] * len(JOBS), 90.0)
    assert not fleet.wrong, fleet.wrong[:3]
    assert done, [fleet.permits().describe(job) for job in fleet.permits().jobs.values()]


@pytest.mark.parametrize("seed", range(3))
def test_one_that_is_stopped_right_after_a_word_sends_nothing_there_when_it_goes_on(seed: int) -> None:
    """Each process in turn, the leader too: what has come to it meanwhile is sent before its next look."""
    fleet = Fleet(seed)
    world, stopped = fleet.world, set[str]()
    world.run(world.now + 4.0)
    fleet.ask(JOBS[0])

    def go_on(name: str) -> None:
        host = world.host(name)
        world.go_on(host)
        backlog = [name for name in SERVERS if name not in fleet.ports[host.name].out]
        for name in backlog:
            fleet.sent(host, name)
            if name in fleet.agents[host.name].permits.list_cordoned():
                fleet.wrong.append(f"{host.name} goes on with {name}, which is away")

    def stop() -> None:
        for name, agent in fleet.agents.items():
            if name not in stopped and agent.permits.list_cordoned():
                stopped.add(name)
                world.stop(world.host(name))
                world.at(world.now + 4.0, lambda name=name: go_on(name))  # type: ignore[misc]

    world.checks.append(stop)
    assert world.until(lambda: [job.state for job in fleet.permits().jobs.values()] == ["clear"], 60.0)
    assert stopped == set(fleet.names) and not fleet.wrong, fleet.wrong[:3]


class Follows:
    """An agreement that holds what the test says, and takes no proposals."""

    id, leads = "x@1", False

    def __init__(self) -> None:
        self.machine = Machine({})

    def propose(self, now: float, part: str, body: bytes, patience: float, done: Any) -> bool:
        return True


def test_a_state_older_than_the_one_acted_on_changes_nothing() -> None:
    """A voter whose disk took nothing is made anew and begins with its snapshot: what is out since stays away."""
    fleet = Fleet(1, 1)
    port, agreement = fleet.ports["v0"], Follows()
    newer, older = Log().to("clearing").permits, Log().permits
    held = [newer]
    agent = MaintenanceAgent("x", agreement, lambda: held[0], port, Bounds(), 2.0, 60.0, 0.0)  # type: ignore[arg-type]
    agreement.machine.index = 9
    agent.tick(0.0)
    assert port.out == {"s0"} and agent.has_entered
    held[0], agreement.machine.index = older, 3
    agent.on_applied()
    agent.tick(1.0)
    assert port.out == {"s0"} and agent.has_entered
    agreement.machine.index = 10
    agent.tick(2.0)
    assert port.out == frozenset()


def test_a_daemon_takes_a_server_out_in_the_turn_that_brings_the_word(tmp_path: Path) -> None:
    host = f"127.{20 + os.getpid() % 200}.{1 + os.getpid() // 200 % 250}.1"  # its own: nobody else's ports
    with socket.create_server((host, 0)) as free:
        at = f"{host}:{free.getsockname()[1]}"
    (tmp_path / "keys").write_text(base64.b64encode(b"m" * 32).decode() + "\n")
    (tmp_path / "keys").chmod(0o600)
    operator = {
        "members": {"fleet": "f", "listen": at, "seeds": [], "keys": str(tmp_path / "keys")},
        "consensus": {"path": str(tmp_path / "log"), "voters": {"n0": at}},
        "maintenance": {"out": 1, "zone": 1, "reserve": 0.0, "settle_s": 1.0, "late_s": 60.0},
    }
    with rig(2, operator=operator) as r:
        service = r.daemon.maintenance
        r.run_until(lambda: bool(service.agent.has_entered))
        service.propose(Ask("h", "ann", ["s-0"], zone="z"), lambda answer: None, 5.0)
        r.run_until(lambda: "s-0" in service.permits.list_cordoned())
        assert not r.daemon.inventory.is_usable("s-0") and r.daemon.inventory.is_usable("s-1")


def test_an_ingress_that_cannot_be_reached_holds_a_machine_and_is_named() -> None:
    fleet = Fleet(1)
    world = fleet.world
    world.run(world.now + 4.0)
    Faults(world, parse("0 part v4 v0,v1,v2,v3"))
    world.run(world.now + 0.1)
    fleet.ask(JOBS[0])
    world.run(world.now + 20.0)
    job = fleet.permits().jobs["h0"]
    assert job.state == "clearing" and fleet.permits().list_unconfirmed(job) == ["v4"]
    fleet.ask(Override("h0", "bob"))
    assert world.until(lambda: fleet.permits().jobs["h0"].state == "clear", 10.0)
    assert "bob" in fleet.permits().jobs["h0"].overrides[0] and "v4" in fleet.permits().jobs["h0"].overrides[0]


def test_a_side_without_a_majority_grants_nothing() -> None:
    fleet = Fleet(2)
    world = fleet.world
    world.run(world.now + 4.0)
    Faults(world, parse("0 part v0,v3 v1,v2,v4"))
    world.run(world.now + 0.1)
    fleet.agents["v3"].propose(world.now, JOBS[0], lambda answer: None, 60.0)
    world.do(world.host("v3"), world.host("v3").driven.said())  # type: ignore[union-attr]
    fleet.agents["v4"].propose(world.now, JOBS[1], lambda answer: None, 60.0)
    world.do(world.host("v4"), world.host("v4").driven.said())  # type: ignore[union-attr]
    world.run(world.now + 15.0)
    sides = {name: set(fleet.agents[name].permits.jobs) for name in fleet.names}
    assert sides["v0"] == sides["v3"] == set() and sides["v1"] == sides["v4"] == {"h1"}
    assert fleet.permits().jobs["h1"].state == "clearing"  # the other side was not heard
    world.links.heal()
    assert world.until(
        lambda: all(
            set(c.permits.jobs) == {"h0", "h1"} and not c.permits.list_unconfirmed(c.permits.jobs["h1"])
            for c in fleet.agents.values()
        ),
        60.0,
    )
    assert not fleet.wrong
