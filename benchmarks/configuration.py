"""One revision for all, in virtual time: seeds with faults.

    python -m benchmarks.configuration --seeds 200 [--jobs 2]
    python -m benchmarks.configuration --seed 37            one run, its script and what broke

The code is the one that serves (configuration/, consensus/); net, disks and clocks are those of simulation/. Exits 1
where an invariant is broken."""

from __future__ import annotations

import argparse
import json
import multiprocessing
import random
import sys
import time
from collections.abc import Callable
from typing import Any

from benchmarks.work_order import Fleet as WorkFleet
from brackenpulley.configuration.force import InForce, log_here
from brackenpulley.configuration.revisions import PART, Revisions
from brackenpulley.configuration.rules import Change, ChangeError, Content, check, encoded
from brackenpulley.configuration.wire import WireError, pack, pack_change, seal, unpack, unseal
from brackenpulley.consensus.agreement import KIND, Agreement
from brackenpulley.consensus.machine import Machine, Outcome
from brackenpulley.consensus.wire import Entry
from brackenpulley.plans.book import Figures
from brackenpulley.simulation.faults import Faults
from brackenpulley.simulation.script import Line, drawn
from brackenpulley.simulation.voters import Broken, Register, Voters
from brackenpulley.simulation.world import Bare, Host

FLEET = "trial"
SECONDS, EVERY, LOOK = 24.0, 1.2, 0.2
SOON, LATE = 5.0, 14.0  # s: 99 in 100, and all that can be reached
KNOWN = 60.0  # s: two exchanges of records, which alone tell one that was cut off what the others said meanwhile
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
        if force.look(now, self.logs[host.name], *log_here(part, now)) is None:
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


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seeds", type=int, default=200)
    words.add_argument("--seed", type=int, default=-1)
    words.add_argument("--jobs", type=int, default=2)
    words.add_argument("--only", choices=("seeds", "processes"), default="seeds")
    told = words.parse_args()
    if told.seed >= 0:
        ran = run(told.seed)
        print("\n".join(map(str, ran.pop("lines"))))
        print(json.dumps(ran))
        return int(bool(ran["broken"]))
    if told.only == "processes":
        report = processes(2, 1)
        print(json.dumps(report, indent=1))
        return int(bool(report["wrong"]))
    report = seeds(0, told.seeds, told.jobs)
    print(json.dumps(report, indent=1))
    return int(bool(report["broken"]))


if __name__ == "__main__":
    sys.exit(main())
