"""One revision for all: seeds with faults, how long until it is in force at sizes, real processes, what it costs.

    python -m benchmarks.configuration                      all parts, 200 seeds
    python -m benchmarks.configuration --only seeds --seeds 200 [--jobs 2]
    python -m benchmarks.configuration --seed 37            one run, its script and what broke
    python -m benchmarks.configuration --only sizes --sizes 50,100,200,400,890
    python -m benchmarks.configuration --only tenants       44,000 firms: memory, bytes, how long a turn is held
    python -m benchmarks.configuration --only compaction    what followers are sent when the log becomes a snapshot
    python -m benchmarks.configuration --only processes     three voters and two followers with relays between them
    python -m benchmarks.configuration --only cost          CPU of a real process, without, with, and with changes

The code is the one that serves (configuration/, consensus/); net, disks and clocks are those of simulation/. Exits 1
where an invariant is broken, or a change is not in force at 99 in 100 within 5 s and at all that can be reached within
14 s."""

from __future__ import annotations

import argparse
import gc
import json
import multiprocessing
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from benchmarks.work_order import Fleet as WorkFleet
from brackenpulley.configuration.force import Here, InForce, log_here
from brackenpulley.configuration.revisions import PART, Revisions
from brackenpulley.configuration.rules import Change, ChangeError, Content, check, encoded
from brackenpulley.configuration.wire import WireError, pack, pack_change, seal, unpack, unseal
from brackenpulley.consensus.agreement import KIND, Agreement
from brackenpulley.consensus.machine import Machine, Outcome
from brackenpulley.consensus.wire import Between, Config, Entry, Snapshot, Told
from brackenpulley.consensus.wire import encode as encode_word
from brackenpulley.members.protocol import Send
from brackenpulley.members.wire import Carry
from brackenpulley.plans.book import Figures
from brackenpulley.simulation.faults import Faults
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.script import Line, drawn
from brackenpulley.simulation.voters import Broken, Register, Voters
from brackenpulley.simulation.world import Bare, Host, World

FLEET = "trial"
SECONDS, EVERY, LOOK = 24.0, 1.2, 0.2
SOON, LATE = 5.0, 14.0  # s: 99 in 100, and all that can be reached
KNOWN = 60.0  # s: two exchanges of records, which alone tell one that was cut off what the others said meanwhile
STREAMS = 64  # at once, of members/transport
ENVELOPE = 90  # bytes around a word: sender, life, number, kind, address, seal
STREAM = 1 << 20  # bytes: the longest word that members/transport carries
BAD = ("torn", "oversized", "other_fleet", "other_format", "conflict", "unfit", "again")


def drawn_change(rng: random.Random, base: int, content: Content, by: str, most: int = 6) -> Change:
    """A few entries, so that they meet each other often."""
    plans: dict[str, Figures | None] = {}
    firms: dict[int, str | None] = {}
    for _ in range(rng.randint(1, most)):
        name = f"p{rng.randrange(4)}"
        what = rng.random()
        if what < 0.4 or not content.plans and not plans:
            plans[name] = Figures(rng.randint(1, 50), rng.randint(1, 90))
        elif what < 0.9:
            firms[rng.randrange(40) << rng.randrange(28)] = rng.choice([*content.plans, *plans])
        elif firms:
            firms[next(iter(firms))] = None
        else:
            plans.setdefault(name, Figures(rng.randint(1, 50), 1.0))
    addresses: dict[str, str | None] = {"discovery": f"10.0.0.{rng.randint(1, 9)}:80"} if rng.random() < 0.2 else {}
    return Change(base, by, plans, firms, addresses)


class Fleet(Voters):
    """The log's cluster with the configuration as one more part, operators that change it, and its own invariants."""

    def __init__(self, seed: int, voters: int = 3, followers: int = 3, every: float = 0.6, **more: Any) -> None:
        self.logs: dict[str, Revisions] = {}
        self.force: dict[str, InForce] = {}
        self.copies: dict[str, list[bytes]] = {}  # the file of a host, newest last
        self.lives: dict[str, int] = {}
        self.reference = Machine({"register": Register(), PART: Revisions(FLEET)})
        self.marks: dict[int, bytes] = {0: b""}  # by number, as first agreed
        self.contents: dict[bytes, bytes] = {b"": pack(Content())}
        self.answers: dict[int, bytes] = {}  # numbers told as taken, with the change
        self.counts: dict[str, int] = {}
        self.every, self.changing, self.reverts = every, True, 0
        super().__init__(seed, voters, followers, 0.5, **more)
        self.world.at(self.world.now + 1.0, self._operate)

    # Processes.

    def _make(self, host: Host) -> Bare:
        register, log = Register(), Revisions(FLEET)

        def machine() -> Machine:
            self.registers[host.name], self.logs[host.name] = register, log
            return self._machine({"register": register, PART: log})
        part = self._agreement(
            f"{host.name}@{host.life}", host.name, self.seats, machine, random.Random(self.rng.random()),
            host.clock(self.world.now), host.disk if host.name.startswith("v") else None, self.timing)
        part.applied = lambda entry: self._entry(host, part, entry, register)
        part.restored = lambda: self._snapshot(host, part, register)
        self.force[host.name] = InForce(host.clock(self.world.now))
        self._own_copy(host)
        life = host.life

        def look() -> None:
            if host.life == life and host.driven is not None:
                self.world.at(self.world.now + LOOK, look)
                if not host.stopped:
                    self._look(host, part)
        self.world.at(self.world.now + 0.01, look)
        return Bare(host.address, {KIND: part})

    def _own_copy(self, host: Host) -> None:
        """The file may be the last one, one of those before it, or spoilt."""
        copies = self.copies.get(host.name)
        if not copies or self.rng.random() < 0.3:
            return
        data = copies[-1] if self.rng.random() < 0.5 else self.rng.choice(copies)
        if self.rng.random() < 0.3:
            data = data[:self.rng.randrange(len(data))]
        try:
            number, at, mark, content = _copy.decode(unseal(data, FLEET))
        except (WireError, ValueError):
            self._count("copy_torn")
            return
        self.force[host.name].start(number, at, mark, unpack(content))

    def _entry(self, host: Host, part: Agreement, entry: Entry, register: Register) -> None:
        self._applied(host, part, entry, register)
        if entry.index == self.reference.index + 1:
            self._agreed(entry)
        log = self.logs[host.name]
        if self.marks.get(log.number) != log.mark:
            raise Broken(f"{host.name} holds another revision {log.number} after entry {entry.index}")
        force = self.force[host.name]
        if pack(force.content) != self.contents[force.mark]:
            raise Broken(f"{host.name} has in force what the log is only about to hold")
        self._look(host, part)

    def _agreed(self, entry: Entry) -> None:
        """The first to apply it: what it may bring about, by a second reckoning."""
        log = self.reference.parts[PART]
        assert isinstance(log, Revisions)
        before, old = log.number, dict(log.content.plans)
        self.reference.apply(entry)
        if log.number == before:
            if log.content.plans != old:
                raise Broken(f"entry {entry.index} changed revision {before}")
            return
        if log.number != before + 1:
            raise Broken(f"revision {log.number} after {before}")
        for firm, plan in log.content.firms.items():
            if plan not in log.content.plans:
                raise Broken(f"revision {log.number}: firm {firm} is on {plan}, which is not there")
        self.marks[log.number] = log.mark
        self.contents[log.mark] = pack(log.content)

    def _snapshot(self, host: Host, part: Agreement, register: Register) -> None:
        self._restored(part, register)
        log = self.logs[host.name]
        if part.machine.index > self.reference.index and not log.number and max(self.marks) == 0:
            self.reference.index = part.machine.index  # the log's founding, which is no entry
        if self.marks.get(log.number) != log.mark or pack(log.content) != self.contents[log.mark]:
            raise Broken(f"{host.name} has another revision {log.number} by a snapshot")

    def _look(self, host: Host, part: Agreement) -> None:
        now, force = host.clock(self.world.now), self.force[host.name]
        before = force.number
        if force.look(now, self.logs[host.name], log_here(part, now)) is None:
            return
        if force.number < before:
            self._count("went_back")
        if pack(force.content) != self.contents.get(force.mark) or self.marks.get(force.number) != force.mark:
            raise Broken(f"{host.name} has what was not agreed in force as {force.number}, after {before}")
        data = seal(_copy.encode((force.number, force.at, force.mark, pack(force.content))), FLEET)
        self.copies.setdefault(host.name, []).append(data)

    # Operators.

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _operate(self) -> None:
        if not self.changing:
            return
        self.world.at(self.world.now + self.rng.expovariate(1 / self.every), self._operate)
        there = [host for host in self.world.hosts.values() if host.driven is not None and not host.stopped]
        for host in self.rng.sample(there, min(len(there), self.rng.choice((1, 1, 2)))):  # two at once, often
            self._change(host)

    def _change(self, host: Host) -> None:
        log, rng = self.logs[host.name], self.rng
        if log.number and rng.random() < 0.2:
            to = log.number - rng.randint(1, min(5, log.number))
            try:
                change = log.way_back(to, host.name)
                check(change, log.content)
            except ChangeError:
                self._count("no_way_back")
                return
            if change.entries:
                self._propose_change(host, change, pack_change(change, FLEET), to)
            return
        change = drawn_change(rng, log.number, log.content, host.name)
        try:
            check(change, log.content)
        except ChangeError:
            self._count("refused_before")
            return
        data = pack_change(change, FLEET)
        if rng.random() < 0.25:
            self._propose_bad(host, rng.choice(BAD), change, data)
        self._propose_change(host, change, data)

    def _propose_change(self, host: Host, change: Change, data: bytes, back_to: int = -1) -> None:
        def done(outcome: Outcome | None) -> None:
            answer = None if outcome is None else outcome.answer
            if answer is None:
                self._count("no_answer")
            elif "error" in answer:
                self._count("refused_" + answer["field"])
            else:
                number = answer["revision"]
                if self.answers.setdefault(number, data) != data:
                    raise Broken(f"two changes were told that they are revision {number}")
                if number != change.base + 1:
                    raise Broken(f"a change on {change.base} became {number}")
                if back_to >= 0:
                    self.reverts += 1
                    if self.contents[self.marks[number]] != self.contents[self.marks[back_to]]:
                        raise Broken(f"revision {number} is not {back_to} again")
                self._count("taken")
        self._say(host, data, done)

    def _propose_bad(self, host: Host, kind: str, change: Change, data: bytes) -> None:
        """As a process with a fault would; nothing of it may ever hold."""
        rng = self.rng
        if kind == "torn":
            at = rng.randrange(len(data))
            data = data[:at] if rng.random() < 0.5 else data[:at] + bytes((data[at] ^ 0x55,)) + data[at + 1:]
        elif kind == "oversized":
            data = data + b"x" * 40_000
        elif kind == "other_fleet":
            data = pack_change(change, "other")
        elif kind == "other_format":
            data = data.replace(b"\x94\x01", b"\x94\x00", 1)
        elif kind == "conflict":
            data = pack_change(Change(change.base + rng.choice((-1, 1000)), "late", change.plans, change.firms), FLEET)
        elif kind == "unfit":
            data = pack_change(Change(change.base, "blind", {}, {7: "nowhere"}), FLEET)
        self._count("bad_" + kind)
        wrong = kind != "again"

        def done(outcome: Outcome | None) -> None:
            if outcome is not None and wrong and "error" not in outcome.answer:
                raise Broken(f"{kind} was taken as {outcome.answer}")
        self._say(host, data, done)

    def _say(self, host: Host, data: bytes, done: Any) -> None:
        part = self.part(host)
        if part is not None and part.propose(host.clock(self.world.now), PART, data, 8.0, done):
            self.world.do(host, host.driven.said())  # type: ignore[union-attr]

    def in_force(self) -> bool:
        """All have the last one that was agreed, and of its content."""
        mark = self.marks[max(self.marks)]
        return all(force.mark == mark and pack(force.content) == self.contents[mark]
                   for name, force in self.force.items() if self.world.host(name).driven is not None)


class _Copy:
    """The four of a process's own copy."""

    @staticmethod
    def encode(rows: tuple[int, float, bytes, bytes]) -> bytes:
        return encoded(rows)

    @staticmethod
    def decode(data: bytes) -> tuple[int, float, bytes, bytes]:
        import msgspec
        return msgspec.msgpack.decode(data, type=tuple[int, float, bytes, bytes])


_copy = _Copy()


def run(seed: int, lines: list[Line] | None = None, seconds: float = SECONDS) -> dict[str, Any]:
    """One run with faults drawn from the seed; at the end all is well, and then all must have the last revision."""
    import brackenpulley.consensus.agreement as agreement
    compact, agreement.COMPACT = agreement.COMPACT, 15 if seed % 2 else agreement.COMPACT
    fleet, broken = Fleet(seed), ""
    world = fleet.world
    try:
        told = drawn(fleet.rng, [host.name for host in world.hosts.values()], seconds, EVERY * (0.4 + seed % 3 * 0.5),
                     2) if lines is None else lines
        faults = Faults(world, told, fleet.leader, fleet.may_spoil)
        world.run(world.now + seconds)
        for host in world.hosts.values():
            if host.driven is None:
                world.start(host)
            elif host.stopped:
                world.go_on(host)
        fleet.proposing = fleet.changing = False
        if not world.until(lambda: bool(fleet.leader()) and fleet.agreed() and fleet.in_force(), 40.0):
            raise Broken(f"not the same 40 s after the last fault: "
                         f"{[(name, force.number, force.source) for name, force in fleet.force.items()]}, "
                         f"agreed {max(fleet.marks)}")
        fleet.once()
    except Broken as error:
        broken = str(error)
    except AssertionError as error:
        broken = f"assertion: {error}"
    finally:
        agreement.COMPACT = compact
    refused: dict[str, int] = {}
    log = fleet.reference.parts[PART]
    assert isinstance(log, Revisions)
    for cause, count in log.counts.items():
        refused[cause] = count
    return {"seed": seed, "events": world.events, "revisions": max(fleet.marks), "reverts": fleet.reverts,
            "counts": fleet.counts, "refused": refused, "faults": len(told), "lines": faults.done if broken else [],
            "broken": broken}


def seeds(first: int, count: int, jobs: int) -> dict[str, Any]:
    began = time.monotonic()
    if jobs > 1:
        with multiprocessing.Pool(jobs) as pool:
            rows = pool.map(run, range(first, first + count), chunksize=5)
    else:
        rows = [run(seed) for seed in range(first, first + count)]
    total: dict[str, int] = {}
    for row in rows:
        for name, number in [*row["counts"].items(), *((f"log_{k}", v) for k, v in row["refused"].items())]:
            total[name] = total.get(name, 0) + number
    return {"seeds": count, "broken": [(row["seed"], row["broken"]) for row in rows if row["broken"]],
            "revisions": sum(row["revisions"] for row in rows), "reverts": sum(row["reverts"] for row in rows),
            "faults": sum(row["faults"] for row in rows), "events": sum(row["events"] for row in rows),
            "counts": dict(sorted(total.items())), "wallS": round(time.monotonic() - began, 1)}


# Real processes, with relays between them.


class Trial:
    """Three voters and followers as processes (benchmarks/work_order); every answer of theirs is looked at."""

    def __init__(self, followers: int, seed: int) -> None:
        self.fleet = WorkFleet(3 + followers, seed, 3, more="[configuration]\n")
        self.wrong: list[str] = []
        self.marks: dict[int, str] = {}
        self.seen: dict[tuple[str, int], int] = {}  # process and life: its revision
        self.since: dict[tuple[str, int], float] = {}  # process and revision: s from agreed to in force there
        self.told: dict[str, float] = {}

    def look(self) -> None:
        """Called again and again: one order, one content a number, never back within a life."""
        for one in self.fleet.processes:
            shown = one.status.get("configuration")
            if not shown or "inLog" not in shown:
                continue
            number, mark = shown["revision"], shown["mark"]
            if self.marks.setdefault(number, mark) != mark:
                self.wrong.append(f"{one.name} has another revision {number}")
            if number < self.seen.get((one.name, one.lives), 0):
                self.wrong.append(f"{one.name} went back from {self.seen[one.name, one.lives]} to {number}")
            self.seen[one.name, one.lives] = number
            if number:
                self.since.setdefault((one.name, number), shown["since"] - shown["agreedAt"])

    def until(self, what: str, done: Callable[[], bool], patience: float = 20.0) -> float:
        """s until it was so."""
        begin = time.monotonic()

        def looked() -> bool:
            self.look()
            return done()
        if not self.fleet.until(looked, patience):
            rows = [(one.name, one.status.get("configuration", {})) for one in self.fleet.processes]
            self.wrong.append(f"{what}: not within {patience:g} s: " + str([(
                name, row.get("revision"), row.get("byRevision"), row.get("silentNamed")) for name, row in rows]))
        self.told[what] = round(time.monotonic() - begin, 2)
        return self.told[what]

    def post(self, which: int, path: str, body: Any) -> list[tuple[int, Any]]:
        """What came of it: filled when it is answered."""
        found: list[tuple[int, Any]] = []
        self.fleet.processes[which].call("POST", path, body, lambda status, answer: found.append((status, answer)), 6.0)
        return found

    def change(self, which: int, base: int, **more: Any) -> None:
        """Proposed again until it is taken, as an operator would."""
        body = {"base": base, "by": "trial", **more}
        path = "/v1/configuration" if "to" not in more else "/v1/configuration/revert"
        if "to" in more:
            del body["base"]
        state = {"out": self.post(which, path, body), "again": 0}

        def taken() -> bool:
            out = state["out"]
            if out and out[0][0] in (0, 503):  # nothing was agreed in its time
                state["out"], state["again"] = self.post(which, path, body), state["again"] + 1
            return bool(out) and out[0][0] not in (0, 503)
        self.until(f"revision {base + 1} proposed", taken)
        if state["out"] and state["out"][0] not in ((200, {"revision": base + 1, "taken": "now"}), (
                200, {"revision": base + 1, "taken": "before"})):
            self.wrong.append(f"revision {base + 1}: {state['out'][0]}")

    def has(self, number: int, names: list[int]) -> bool:
        return all(self.fleet.processes[which].status.get("configuration", {}).get("revision") == number
                   for which in names)

    def served(self, which: int) -> int:
        return sum(one.ingress == which and one.status == 200 for one in self.fleet.load.tries)


def figures(rate: float) -> dict[str, Any]:
    return {"new": {"rate": rate, "burst": rate}, "county": {"rate": 1e6, "burst": 1e6}}


def processes(followers: int = 2, seed: int = 1) -> dict[str, Any]:
    """Changes while links lose, a process is cut off, one stands still, a voter and a follower die and come back."""
    trial = Trial(followers, seed)
    fleet, size = trial.fleet, 3 + followers
    everyone, cut = list(range(size)), size - 1
    others = everyone[:-1]
    try:
        for one in fleet.processes:
            one.start()
        fleet.watch()
        trial.until("all ready", lambda: all(one.status.get("ready") and one.status["configuration"]["from"] == "file"
                                             for one in fleet.processes), 40.0)
        if trial.wrong:
            return {"seed": seed, "processes": size, "s": trial.told, "inForceS": {}, "served": 0, "wrong": trial.wrong}
        fleet.front()
        fleet.load.start()
        fleet.do(Line(0.0, "loss", ("*", "0.2")))
        trial.change(3, 0, plans=figures(1.0))
        trial.until("1 everywhere, a fifth of the words lost", lambda: trial.has(1, everyone))
        fleet.do(Line(0.0, "heal"))
        fleet.do(Line(0.0, "part", (f"n{cut}", ",".join(f"n{n}" for n in others))))
        before = trial.served(cut)
        trial.change(0, 1, plans=figures(2.0), firms={f"{7:016x}": "new"})
        trial.until("2 where it can be reached", lambda: trial.has(2, others))
        trial.until("the one cut off says how old it is and serves", lambda: trial.has(1, [cut]) and fleet.processes[
            cut].status["configuration"]["logSilentS"] > 2.0 and trial.served(cut) > before)
        fleet.do(Line(0.0, "stop", ("n3",)))
        running = [which for which in others if which != 3]
        trial.change(0, 2, plans=figures(3.0))
        trial.until("3 where nobody stands still", lambda: trial.has(3, running))
        if not trial.has(2, [3]):
            trial.wrong.append("n3 stood still and has 3")
        fleet.do(Line(0.0, "go", ("n3",)))
        trial.until("3 where one stood still", lambda: trial.has(3, others))
        leader = fleet.named("leader").number if fleet.leader else 0
        fleet.do(Line(0.0, "kill", (f"n{leader}",)))
        fleet.do(Line(0.0, "kill", ("n3",)))
        running = [which for which in others if which not in (3, leader)]
        trial.change(running[0], 3, plans=figures(4.0), firms={f"{9:016x}": "new"})
        trial.until("4 after the leader's death", lambda: trial.has(4, running))
        fleet.do(Line(0.0, "start", (f"n{leader}", "kept")))
        fleet.do(Line(0.0, "start", ("n3", "kept")))
        trial.until("4 at those that start anew", lambda: trial.has(4, others), 30.0)
        fleet.do(Line(0.0, "heal"))
        trial.until("4 at the one that was cut off", lambda: trial.has(4, everyone))
        out = [trial.post(which, "/v1/configuration", {"base": 4, "by": f"n{which}", "plans": figures(5.0 + which)})
               for which in (0, cut)]
        trial.until("two at once are answered", lambda: all(out))
        if sorted(found[0][0] for found in out) != [200, 409]:
            trial.wrong.append(f"two at once: {out}")
        trial.until("5 everywhere", lambda: trial.has(5, everyone))
        trial.change(1, 5, to=2)
        trial.until("2 again as 6, everywhere", lambda: trial.has(6, everyone))
        shown: list[Any] = []
        for one in fleet.processes:
            one.call("GET", "/v1/configuration", None, lambda status, body: shown.append(
                (body["plans"]["new"]["rate"], body["firms"])))
        trial.until("contents are told", lambda: len(shown) == size)
        if set(shown) != {(2.0, 1)}:
            trial.wrong.append(f"6 is not 2 again: {shown}")
        trial.until("who has which is known", lambda: all(
            one.status["configuration"]["byRevision"] == {"6": size} for one in fleet.processes), KNOWN)
        fleet.load.stop()
        fleet.until(lambda: not fleet.load.out, 12.0)
        killed = {number for _, number in fleet.killed}
        lost = [one for one in fleet.load.tries if not one.status and one.taken and one.ingress not in killed]
        if lost:
            trial.wrong.append(f"{len(lost)} messages lost at ingresses that were not killed")
        return {"seed": seed, "processes": size, "s": trial.told, "inForceS": {
            str(number): round(max(s for (_, n), s in trial.since.items() if n == number), 2)
            for number in sorted(trial.marks) if number}, "tries": len(fleet.load.tries),
            "served": sum(one.status == 200 for one in fleet.load.tries), "wrong": trial.wrong + fleet.wrong}
    finally:
        fleet.close(keep=bool(trial.wrong))


# At sizes, in virtual time: three regions, a voter in each.


class Streams(World):
    """With the bound of members/transport: a process sends over so many streams at once; what is beyond is dropped."""

    def __init__(self, seed: int, links: Links) -> None:
        super().__init__(seed, links)
        self.ends: dict[str, list[float]] = {}
        self.full = 0

    def _send(self, host: Host, send: Send) -> None:
        if send.stream:
            ends = self.ends[host.address] = [end for end in self.ends.get(host.address, []) if end > self.now]
            if len(ends) >= STREAMS:
                self.full += 1
                return
            ends.append(self.now + 3 * self.links.of(host.address, send.to).delay + 0.005)
        super()._send(host, send)


class Regions:
    """`size` ingresses that follow and three voters, spread over three regions; no membership, which tells nobody."""

    def __init__(self, size: int, seed: int) -> None:
        links = Links(Link(delay=0.0005, spread=0.001, loss=0.005, double=0.002))
        self.world, self.rng = Streams(seed, links), random.Random(seed)
        self.logs: dict[str, Revisions] = {}
        self.force: dict[str, InForce] = {}
        self.reached: dict[int, dict[str, float]] = {}  # by number and host: when it came into force
        self.sent: dict[str, int] = {}
        self.snapshots = 0
        self.seats = {f"v{n}": f"a-v{n}" for n in range(3)}
        self.names = [*self.seats, *(f"f{n}" for n in range(size))]
        for number, name in enumerate(self.names):
            links.sites[f"a-{name}"] = f"r{number % 3}"
        for one in range(3):
            for other in range(3):
                if one != other:
                    links.ways[f"r{one}", f"r{other}"] = Link(delay=0.04, spread=0.005, loss=0.01, double=0.002)
        self.links = links
        for name in self.names:
            self.world.add(name, f"a-{name}", self._make)
        self.world.sent = self._count

    def _count(self, host: Host, send: Send) -> None:
        if isinstance(send.body, Carry):
            size = len(send.body.data) + ENVELOPE
            self.sent[host.name] = self.sent.get(host.name, 0) + size
            self.sent["to " + send.to[2:]] = self.sent.get("to " + send.to[2:], 0) + size

    def region(self, name: str) -> int:
        return self.names.index(name) % 3

    def _make(self, host: Host) -> Bare:
        log = Revisions(FLEET)
        part = Agreement(f"{host.name}@{host.life}", host.name, self.seats, lambda: Machine({PART: log}),
                         random.Random(self.rng.random()), self.world.now,
                         host.disk if host.name in self.seats else None)
        self.logs[host.name] = log
        force = self.force[host.name] = InForce(self.world.now)

        def look() -> None:
            now = self.world.now
            if force.look(now, log, log_here(part, now)) is not None:
                self.reached.setdefault(force.number, {}).setdefault(host.name, now)

        def told() -> None:
            self.snapshots += 1
            look()
        part.applied, part.restored = lambda entry: look(), told
        life = host.life

        def tick() -> None:
            if host.life == life and host.driven is not None:
                self.world.at(self.world.now + LOOK * 2, tick)
                look()
        self.world.at(self.world.now + 0.01 + LOOK * self.rng.random(), tick)
        return Bare(host.address, {KIND: part})

    def agreement(self, name: str) -> Agreement:
        return self.world.host(name).driven.parts[KIND]  # type: ignore

    def change(self, name: str, change: Change) -> None:
        """Of whoever proposes: again until it is taken."""
        host = self.world.host(name)
        data = pack_change(change, FLEET)

        def done(outcome: Outcome | None) -> None:
            if outcome is None:
                self.change(name, change)
        self.agreement(name).propose(self.world.now, PART, data, 5.0, done)
        self.world.do(host, host.driven.said())  # type: ignore[union-attr]

    def cut(self, region: int) -> None:
        for one in range(3):
            for a, b in ((one, region), (region, one)):
                if a != b:
                    way = self.links.ways[f"r{a}", f"r{b}"]
                    self.links.ways[f"r{a}", f"r{b}"] = replace(way, cut=True)

    def heal(self) -> None:
        for pair, way in list(self.links.ways.items()):
            self.links.ways[pair] = replace(way, cut=False)


def size_run(size: int, seed: int = 1, changes: int = 12, firms: int = 5) -> dict[str, Any]:
    """Changes every 2 s; a hundredth restart with each, and in the middle half of them one region is cut off."""
    began = time.monotonic()
    fleet = Regions(size, seed)
    world, rng = fleet.world, fleet.rng
    everyone = set(fleet.names)
    if not world.until(lambda: all(force.caught_up for force in fleet.force.values()), 30.0):
        return {"size": size, "wrong": ["not all heard of the log in 30 s"]}
    fleet.sent.clear()
    world.run(world.now + 10.0)
    rest = {name: count / 10.0 for name, count in fleet.sent.items()}
    proposer = next(name for name in fleet.names if name.startswith("f") and fleet.region(name) == 0)
    asked: dict[int, float] = {}
    apart: dict[int, set[str]] = {}
    cut_off: set[str] = set()
    wrong: list[str] = []
    fleet.sent.clear()
    snapshots, begin = fleet.snapshots, world.now
    for number in range(1, changes + 1):
        if number == changes // 4 + 1:
            fleet.cut(2)
            cut_off = {name for name in everyone if fleet.region(name) == 2}
        elif number == changes * 3 // 4 + 1:
            break
        restarts = rng.sample([name for name in fleet.names if name[0] == "f" and name != proposer],
                              max(1, size // 100))
        for name in restarts:
            host = world.host(name)
            world.kill(host)
            world.at(world.now + 0.5 + 2.0 * rng.random(), lambda host=host: world.start(host))  # type: ignore[misc]
        asked[number], apart[number] = world.now, set(cut_off)
        plans: dict[str, Figures | None] = {"p": Figures(float(number), 9.0)}
        fleet.change(proposer, Change(number - 1, "trial", plans, {
            number << 20 | firm: "p" for firm in range(firms)}))
        if not world.until(lambda number=number, apart=apart[number]: len(  # type: ignore[misc]
                fleet.reached.get(number, {}).keys() - apart) >= len(everyone) - len(apart), LATE + 10.0):
            skipped = everyone - apart[number] - fleet.reached.get(number, {}).keys()
            if any(fleet.force[name].number < number for name in skipped):
                wrong.append(f"revision {number} not in force at {len(skipped)} in time")
        world.run(max(world.now, asked[number] + 2.0))
    world.run(world.now + 6.0)  # who started anew there has asked each voter by now, of which it reaches one
    lasted, last = world.now - begin, max(asked)
    told = {name: count / lasted for name, count in fleet.sent.items()}
    old = world.now - max((fleet.force[name].heard for name in cut_off), default=0.0)
    served = {name: fleet.force[name].number for name in cut_off}
    fleet.sent.clear()
    heal = world.now
    fleet.heal()
    if not world.until(lambda: all(force.number == last for force in fleet.force.values()), LATE + 10.0):
        wrong.append("not all caught up after the return")
    caught = world.now - heal
    back = sum(count for name, count in fleet.sent.items() if name[:3] == "to " and name[3:] in cut_off)
    times = sorted(fleet.reached[number][name] - when for number, when in asked.items()
                   for name in everyone - apart[number] if name in fleet.reached[number])
    worst, most = times[int(len(times) * 0.99)], times[-1]
    if worst > SOON or most > LATE:
        wrong.append(f"99 in 100 within {worst:.2f} s, all within {most:.2f} s")
    followers = [name for name in fleet.names if name[0] == "f"]

    def mean(rows: dict[str, float], names: list[str], side: str) -> float:
        return round(sum(rows.get(side + name, 0.0) for name in names) / len(names), 1)
    each = pack_change(Change(0, "trial", {"p": Figures(1.0, 9.0)}, {1 << 20 | n: "p" for n in range(firms)}), FLEET)
    return {"size": size, "changes": last, "changeBytes": len(each), "median": round(times[len(times) // 2], 3),
        "of99In100": round(worst, 3), "all": round(most, 3), "cutOff": len(cut_off), "cutOffHave": sorted(set(
            served.values())), "cutOffSayOldS": round(old, 1), "caughtUpS": round(caught, 2),
        "returnBytesEach": round(back / max(1, len(cut_off))), "restBytesASecondIn": mean(rest, followers, "to "),
        "restBytesASecondOut": mean(rest, followers, ""), "bytesASecondIn": mean(told, followers, "to "),
        "voterBytesASecondOut": mean(told, list(fleet.seats), ""), "snapshots": fleet.snapshots - snapshots,
        "streamsFull": world.full, "events": world.events, "wallS": round(time.monotonic() - began, 1), "wrong": wrong}


# What 44,000 tenants cost.


def tenants(firms: int, seed: int = 1) -> dict[str, Any]:
    """One process's part of it: memory, bytes of a snapshot, how long a turn is held."""
    rng = random.Random(seed)
    plans = [f"plan-{n}" for n in range(20)]
    log = Revisions(FLEET)
    numbers = rng.sample(range(1 << 33), firms)

    def took(call: Callable[[], Any], times: int = 5) -> float:
        found = []
        for _ in range(times):
            begin = time.perf_counter()
            call()
            found.append(time.perf_counter() - begin)
        return round(sorted(found)[times // 2] * 1000, 2)
    gc.collect()
    tracemalloc.start()
    begin = tracemalloc.get_traced_memory()[0]
    log.apply(1.0, pack_change(Change(0, "t", {name: Figures(1.0, 9.0) for name in plans}), FLEET))
    loads = 0
    for first in range(0, firms, 600):
        rows: dict[int, str | None] = {firm: rng.choice(plans) for firm in numbers[first:first + 600]}
        answer = log.apply(1.0, pack_change(Change(log.number, "t", {}, rows), FLEET))
        assert "revision" in answer, answer
        loads += 1
    del numbers[firms:]
    force = InForce(0.0)
    force.look(1.0, log, Here(True, 1.0, True))
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - begin
    tracemalloc.stop()
    whole = Machine({PART: log})
    dumped = whole.dump()
    told = encode_word(Between("v0", "f0@1", Told(1, [], Snapshot(1, 1, Config({}), dumped))))
    other = Revisions(FLEET)
    dump = log.dump()
    restore = took(lambda: other.load(dump))
    first_force = took(lambda: InForce(0.0).look(1.0, log, Here(True, 1.0, True)))
    apply, look = [], []
    for number in range(40):
        change = Change(log.number, "t", {"plan-1": Figures(2.0 + number, 9.0)}, {
            firm: plans[number % 20] for firm in numbers[number * 5:number * 5 + 5]})
        data = pack_change(change, FLEET)
        start = time.perf_counter()
        log.apply(2.0, data)
        middle = time.perf_counter()
        force.look(2.0, log, Here(True, 2.0, True))
        apply.append(middle - start)
        look.append(time.perf_counter() - middle)
    assert len(told) < STREAM, "longer than a stream's word"
    return {"firms": firms, "changesToLoad": loads, "memoryMb": round(held / 1e6, 2), "countedBytes": log.content.size,
            "snapshotBytes": len(pack(log.content)), "historyBytes": sum(row.size for row in log.history),
            "wordBytes": len(told), "secondsAt14KB": round(len(told) / 14_000, 1), "dumpMs": took(log.dump),
            "loadMs": restore, "firstInForceMs": first_force, "applyMs": round(sorted(apply)[20] * 1000, 3),
            "inForceMs": round(sorted(look)[20] * 1000, 3),
            "ownCopyMs": took(lambda: seal(pack(force.content), FLEET))}


def compaction(size: int, firms: int) -> dict[str, Any]:
    """A region that was cut off returns after the voters' log has become a snapshot: all of it is told, not the
    difference. Those that followed meanwhile are told nothing more than the changes."""
    import brackenpulley.consensus.agreement as agreement
    compact, agreement.COMPACT = agreement.COMPACT, 10
    try:
        fleet = Regions(size, 1)
        world, rng = fleet.world, random.Random(1)
        world.until(lambda: all(force.caught_up for force in fleet.force.values()), 30.0)
        numbers, number = rng.sample(range(1 << 33), firms), 0
        apart = {name for name in fleet.names if fleet.region(name) == 2}
        loads = max(1, -(-firms // 600))
        while number < loads + 12:
            if number == loads:
                fleet.cut(2)
                fleet.sent.clear()
                snapshots = fleet.snapshots
            plans: dict[str, Figures | None] = {"p": Figures(1.0 + number, 9.0)}
            rows: dict[int, str | None] = {firm: "p" for firm in numbers[number * 600:number * 600 + 600]}
            fleet.change("f0", Change(number, "t", plans, rows))
            number += 1
            there = [force for name, force in fleet.force.items() if number <= loads or name not in apart]
            world.until(lambda number=number, there=there: all(  # type: ignore[misc]
                force.number == number for force in there), 20.0)
        near = [fleet.sent.get(f"to {name}", 0) for name in fleet.names if name[0] == "f" and name not in apart]
        followed, before = fleet.snapshots - snapshots, fleet.snapshots
        fleet.sent.clear()
        begin = world.now
        fleet.heal()
        done = world.until(lambda: all(force.number == number for force in fleet.force.values()), 30.0)
        far = [fleet.sent.get(f"to {name}", 0) for name in apart if name[0] == "f"]
        return {"followers": size, "firms": firms, "changes": number, "snapshotsWhileFollowing": followed,
                "bytesEachWhileFollowing": round(sum(near) / len(near)), "returned": len(far),
                "snapshotsAtReturn": fleet.snapshots - before, "bytesEachAtReturn": round(sum(far) / len(far)),
                "caughtUpS": round(world.now - begin, 2), "streamsFull": world.full,
                "wrong": [] if done else ["not all caught up"]}
    finally:
        agreement.COMPACT = compact


def cost(seconds: float, changes: int = 40) -> dict[str, Any]:
    """CPU and memory of a real process without load: with the log and the work on, with the configuration too, and
    with that and changes."""
    found: dict[str, Any] = {}
    for name, more in (("agreed", ""), ("configuration", "[configuration]\n")):
        fleet = WorkFleet(5, 1, 3, more=more)
        try:
            for one in fleet.processes:
                one.start()
            fleet.watch()
            fleet.until(fleet.entered, 40.0)
            fleet.going = False  # nobody asks any more
            fleet.turn(3.0)
            rows = [("", 0)] if not more else [("", 0), ("Changes", changes)]
            for what, count in rows:
                before = [one.used() for one in fleet.processes]
                answers: list[int] = []
                for number in range(count):
                    fleet.loop.call_in(seconds * number / count, lambda number=number, one=fleet.processes[3],  # type: ignore
                                       answers=answers: one.call(
                        "POST", "/v1/configuration", {"base": number, "by": "t", "plans": {
                            "new": {"rate": number + 1.0, "burst": 9.0}}},
                        lambda status, body: answers.append(status)))
                fleet.turn(seconds)
                after = [one.used() for one in fleet.processes]
                cpu = [(b[0] - a[0]) / seconds * 100 for a, b in zip(before, after, strict=True)]
                found[name + what] = {"voters": round(sum(cpu[:3]) / 3, 2), "followers": round(sum(cpu[3:]) / 2, 2),
                                      "residentMb": round(sum(b[1] for b in after) / 5 / 1024, 1),
                                      "taken": answers.count(200)}
        finally:
            fleet.close()
    return found


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--only", choices=("seeds", "sizes", "tenants", "compaction", "processes", "cost"), default="")
    words.add_argument("--seeds", type=int, default=200)
    words.add_argument("--seed", type=int, default=-1)
    words.add_argument("--sizes", default="50,100,200,400")
    words.add_argument("--firms", type=int, default=44_000)
    words.add_argument("--jobs", type=int, default=2)
    told = words.parse_args()
    if told.seed >= 0:
        ran = run(told.seed)
        print("\n".join(map(str, ran.pop("lines"))))
        print(json.dumps(ran))
        return int(bool(ran["broken"]))
    parts: dict[str, Callable[[], list[dict[str, Any]]]] = {
        "seeds": lambda: [seeds(0, told.seeds, told.jobs)],
        "sizes": lambda: [size_run(int(size)) for size in told.sizes.split(",")],
        "tenants": lambda: [tenants(firms) for firms in (told.firms // 44, told.firms // 8, told.firms // 4,
                                                         told.firms)],
        "compaction": lambda: [compaction(size, 10_000) for size in (30, 60, 120, 240)],
        "processes": lambda: [processes()], "cost": lambda: [cost(30.0)]}
    wrong = False
    for name, play in parts.items():
        if told.only in ("", name):
            for row in play():
                print(json.dumps({name: row}), flush=True)
                wrong = wrong or bool(row.get("broken") or row.get("wrong"))
    return int(wrong)


if __name__ == "__main__":
    sys.exit(main())
