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
import json
import multiprocessing
import random
import sys
import time
from collections.abc import Callable
from typing import Any

from benchmarks.configuration_processes import cost, processes
from benchmarks.configuration_sizes import FLEET, LOOK, compaction, size_run, tenants
from brackenpulley.configuration.active import ActiveRevision, log_state
from brackenpulley.configuration.revisions import PART, Revisions
from brackenpulley.configuration.rules import Change, ChangeError, Content, check, encode_msgpack
from brackenpulley.configuration.wire import WireError, pack, pack_change, seal, unpack, unseal
from brackenpulley.consensus.agreement import KIND, Agreement
from brackenpulley.consensus.machine import Outcome, StateMachine
from brackenpulley.consensus.wire import Entry
from brackenpulley.plans.book import Figures
from brackenpulley.simulation.faults import FaultInjector
from brackenpulley.simulation.script import Fault, draw_faults
from brackenpulley.simulation.voters import Cluster, InvariantError, Register
from brackenpulley.simulation.world import Host, StandaloneParts

SECONDS, EVERY = 24.0, 1.2
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


class Fleet(Cluster):
    """The log's cluster with the configuration as one more part, operators that change it, and its own invariants."""

    def __init__(self, seed: int, voters: int = 3, followers: int = 3, every: float = 0.6, **more: Any) -> None:
        self.logs: dict[str, Revisions] = {}
        self.force: dict[str, ActiveRevision] = {}
        self.copies: dict[str, list[bytes]] = {}  # the file of a host, newest last
        self.lives: dict[str, int] = {}
        self.reference = StateMachine({"register": Register(), PART: Revisions(FLEET)})
        self.marks: dict[int, bytes] = {0: b""}  # by number, as first agreed
        self.contents: dict[bytes, bytes] = {b"": pack(Content())}
        self.answers: dict[int, bytes] = {}  # numbers told as taken, with the change
        self.counts: dict[str, int] = {}
        self.every, self.changing, self.reverts = every, True, 0
        super().__init__(seed, voters, followers, 0.5, **more)
        self.world.schedule(self.world.now + 1.0, self._operate)

    # Processes.

    def _make_process(self, host: Host) -> StandaloneParts:
        register, log = Register(), Revisions(FLEET)

        def machine() -> StateMachine:
            self.registers[host.name], self.logs[host.name] = register, log
            return self._machine_class({"register": register, PART: log})

        part = self._agreement_class(
            f"{host.name}@{host.incarnation}",
            host.name,
            self.voter_addresses,
            machine,
            random.Random(self.rng.random()),
            host.to_local_time(self.world.now),
            host.disk if host.name.startswith("v") else None,
            self.timing,
        )
        part.on_applied = lambda entry: self._entry(host, part, entry, register)
        part.on_restored = lambda: self._snapshot(host, part, register)
        self.force[host.name] = ActiveRevision(host.to_local_time(self.world.now))
        self._own_copy(host)
        life = host.incarnation

        def look() -> None:
            if host.incarnation == life and host.process is not None:
                self.world.schedule(self.world.now + LOOK, look)
                if not host.is_suspended:
                    self._look(host, part)

        self.world.schedule(self.world.now + 0.01, look)
        return StandaloneParts(host.address, {KIND: part})

    def _own_copy(self, host: Host) -> None:
        """The file may be the last one, one of those before it, or spoilt."""
        copies = self.copies.get(host.name)
        if not copies or self.rng.random() < 0.3:
            return
        data = copies[-1] if self.rng.random() < 0.5 else self.rng.choice(copies)
        if self.rng.random() < 0.3:
            data = data[: self.rng.randrange(len(data))]
        try:
            number, at, mark, content = _copy.decode(unseal(data, FLEET))
        except (WireError, ValueError):
            self._count("copy_torn")
            return
        self.force[host.name].start(number, at, mark, unpack(content))

    def _entry(self, host: Host, part: Agreement, entry: Entry, register: Register) -> None:
        self._check_applied(host, part, entry, register)
        if entry.index == self.reference.index + 1:
            self._agreed(entry)
        log = self.logs[host.name]
        if self.marks.get(log.number) != log.digest:
            raise InvariantError(f"{host.name} holds another revision {log.number} after entry {entry.index}")
        force = self.force[host.name]
        if pack(force.content) != self.contents[force.digest]:
            raise InvariantError(f"{host.name} has in force what the log is only about to hold")
        self._look(host, part)

    def _agreed(self, entry: Entry) -> None:
        """The first to apply it: what it may bring about, by a second reckoning."""
        log = self.reference.parts[PART]
        assert isinstance(log, Revisions)
        before, old = log.number, dict(log.content.plans)
        self.reference.apply(entry)
        if log.number == before:
            if log.content.plans != old:
                raise InvariantError(f"entry {entry.index} changed revision {before}")
            return
        if log.number != before + 1:
            raise InvariantError(f"revision {log.number} after {before}")
        for firm, plan in log.content.firms.items():
            if plan not in log.content.plans:
                raise InvariantError(f"revision {log.number}: firm {firm} is on {plan}, which is not there")
        self.marks[log.number] = log.digest
        self.contents[log.digest] = pack(log.content)

    def _snapshot(self, host: Host, part: Agreement, register: Register) -> None:
        self._check_restored(part, register)
        log = self.logs[host.name]
        if part.machine.index > self.reference.index and not log.number and max(self.marks) == 0:
            self.reference.index = part.machine.index  # the log's founding, which is no entry
        if self.marks.get(log.number) != log.digest or pack(log.content) != self.contents[log.digest]:
            raise InvariantError(f"{host.name} has another revision {log.number} by a snapshot")

    def _look(self, host: Host, part: Agreement) -> None:
        now, force = host.to_local_time(self.world.now), self.force[host.name]
        before = force.number
        if force.update(now, self.logs[host.name], log_state(part, now)) is None:
            return
        if force.number < before:
            self._count("went_back")
        if pack(force.content) != self.contents.get(force.digest) or self.marks.get(force.number) != force.digest:
            raise InvariantError(f"{host.name} has what was not agreed in force as {force.number}, after {before}")
        data = seal(_copy.encode((force.number, force.agreed_at, force.digest, pack(force.content))), FLEET)
        self.copies.setdefault(host.name, []).append(data)

    # Operators.

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _operate(self) -> None:
        if not self.changing:
            return
        self.world.schedule(self.world.now + self.rng.expovariate(1 / self.every), self._operate)
        there = [host for host in self.world.hosts.values() if host.process is not None and not host.is_suspended]
        for host in self.rng.sample(there, min(len(there), self.rng.choice((1, 1, 2)))):  # two at once, often
            self._change(host)

    def _change(self, host: Host) -> None:
        log, rng = self.logs[host.name], self.rng
        if log.number and rng.random() < 0.2:
            to = log.number - rng.randint(1, min(5, log.number))
            try:
                change = log.revert_change(to, host.name)
                check(change, log.content)
            except ChangeError:
                self._count("no_way_back")
                return
            if change.entry_count:
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
                    raise InvariantError(f"two changes were told that they are revision {number}")
                if number != change.base + 1:
                    raise InvariantError(f"a change on {change.base} became {number}")
                if back_to >= 0:
                    self.reverts += 1
                    if self.contents[self.marks[number]] != self.contents[self.marks[back_to]]:
                        raise InvariantError(f"revision {number} is not {back_to} again")
                self._count("taken")

        self._say(host, data, done)

    def _propose_bad(self, host: Host, kind: str, change: Change, data: bytes) -> None:
        """As a process with a fault would; nothing of it may ever hold."""
        rng = self.rng
        if kind == "torn":
            at = rng.randrange(len(data))
            data = data[:at] if rng.random() < 0.5 else data[:at] + bytes((data[at] ^ 0x55,)) + data[at + 1 :]
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
                raise InvariantError(f"{kind} was taken as {outcome.answer}")

        self._say(host, data, done)

    def _say(self, host: Host, data: bytes, done: Any) -> None:
        part = self.find_agreement(host)
        if part is not None and part.propose(host.to_local_time(self.world.now), PART, data, 8.0, done):
            self.world.apply_effects(host, host.process.said())  # type: ignore[union-attr]

    def in_force(self) -> bool:
        """All have the last one that was agreed, and of its content."""
        mark = self.marks[max(self.marks)]
        return all(
            force.digest == mark and pack(force.content) == self.contents[mark]
            for name, force in self.force.items()
            if self.world.find_host(name).process is not None
        )


class _Copy:
    """The four of a process's own copy."""

    @staticmethod
    def encode(rows: tuple[int, float, bytes, bytes]) -> bytes:
        return encode_msgpack(rows)

    @staticmethod
    def decode(data: bytes) -> tuple[int, float, bytes, bytes]:
        import msgspec

        return msgspec.msgpack.decode(data, type=tuple[int, float, bytes, bytes])


_copy = _Copy()


def run(seed: int, lines: list[Fault] | None = None, seconds: float = SECONDS) -> dict[str, Any]:
    """One run with faults drawn from the seed; at the end all is well, and then all must have the last revision."""
    import brackenpulley.consensus.agreement as agreement

    compact, agreement.COMPACTION_ENTRIES = (
        agreement.COMPACTION_ENTRIES,
        15 if seed % 2 else agreement.COMPACTION_ENTRIES,
    )
    fleet, broken = Fleet(seed), ""
    world = fleet.world
    try:
        told = (
            draw_faults(
                fleet.rng, [host.name for host in world.hosts.values()], seconds, EVERY * (0.4 + seed % 3 * 0.5), 2
            )
            if lines is None
            else lines
        )
        faults = FaultInjector(world, told, fleet.find_leader, fleet.may_damage_disk)
        world.run(world.now + seconds)
        for host in world.hosts.values():
            if host.process is None:
                world.start(host)
            elif host.is_suspended:
                world.resume(host)
        fleet.is_proposing = fleet.changing = False
        if not world.run_until(lambda: bool(fleet.find_leader()) and fleet.has_converged() and fleet.in_force(), 40.0):
            raise InvariantError(
                f"not the same 40 s after the last fault: "
                f"{[(name, force.number, force.source) for name, force in fleet.force.items()]}, "
                f"agreed {max(fleet.marks)}"
            )
        fleet.check_applied_once()
    except InvariantError as error:
        broken = str(error)
    except AssertionError as error:
        broken = f"assertion: {error}"
    finally:
        agreement.COMPACTION_ENTRIES = compact
    refused: dict[str, int] = {}
    log = fleet.reference.parts[PART]
    assert isinstance(log, Revisions)
    for cause, count in log.counts.items():
        refused[cause] = count
    return {
        "seed": seed,
        "events": world.event_count,
        "revisions": max(fleet.marks),
        "reverts": fleet.reverts,
        "counts": fleet.counts,
        "refused": refused,
        "faults": len(told),
        "lines": faults.applied if broken else [],
        "broken": broken,
    }


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
    return {
        "seeds": count,
        "broken": [(row["seed"], row["broken"]) for row in rows if row["broken"]],
        "revisions": sum(row["revisions"] for row in rows),
        "reverts": sum(row["reverts"] for row in rows),
        "faults": sum(row["faults"] for row in rows),
        "events": sum(row["events"] for row in rows),
        "counts": dict(sorted(total.items())),
        "wallS": round(time.monotonic() - began, 1),
    }


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
        "tenants": lambda: [
            tenants(firms) for firms in (told.firms // 44, told.firms // 8, told.firms // 4, told.firms)
        ],
        "compaction": lambda: [compaction(size, 10_000) for size in (30, 60, 120, 240)],
        "processes": lambda: [processes()],
        "cost": lambda: [cost(30.0)],
    }
    wrong = False
    for name, play in parts.items():
        if told.only in ("", name):
            for row in play():
                print(json.dumps({name: row}), flush=True)
                wrong = wrong or bool(row.get("broken") or row.get("wrong"))
    return int(wrong)


if __name__ == "__main__":
    sys.exit(main())
