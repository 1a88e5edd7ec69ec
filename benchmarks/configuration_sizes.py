"""The agreed configuration at sizes in virtual time, and for many firms; see configuration.py."""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from brackenpulley.configuration.active import ActiveRevision, LogState, log_state
from brackenpulley.configuration.revisions import PART, Revisions
from brackenpulley.configuration.rules import Change
from brackenpulley.configuration.wire import pack, pack_change, seal
from brackenpulley.consensus.agreement import KIND, Agreement
from brackenpulley.consensus.machine import Outcome, StateMachine
from brackenpulley.consensus.wire import AddressedPayload, Config, LogUpdate, Snapshot
from brackenpulley.consensus.wire import encode as encode_word
from brackenpulley.members.protocol import Send
from brackenpulley.members.wire import Carry
from brackenpulley.plans.book import Figures
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.world import Host, StandaloneParts, World

FLEET, LOOK = "trial", 0.2
SOON, LATE = 5.0, 14.0  # s: 99 in 100, and all that can be reached
STREAMS = 64  # at once, of members/transport
ENVELOPE = 90  # bytes around a word: sender, life, number, kind, address, seal
STREAM = 1 << 20  # bytes: the longest word that members/transport carries


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
            ends.append(self.now + 3 * self.links.find(host.address, send.to).delay + 0.005)
        super()._send(host, send)


class Regions:
    """`size` ingresses that follow and three voters, spread over three regions; no membership, which tells nobody."""

    def __init__(self, size: int, seed: int) -> None:
        links = Links(Link(delay=0.0005, jitter=0.001, loss=0.005, duplication=0.002))
        self.world, self.rng = Streams(seed, links), random.Random(seed)
        self.logs: dict[str, Revisions] = {}
        self.force: dict[str, ActiveRevision] = {}
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
                    links.site_links[f"r{one}", f"r{other}"] = Link(
                        delay=0.04, jitter=0.005, loss=0.01, duplication=0.002
                    )
        self.links = links
        for name in self.names:
            self.world.add_host(name, f"a-{name}", self._make)
        self.world.on_send = self._count

    def _count(self, host: Host, send: Send) -> None:
        if isinstance(send.body, Carry):
            size = len(send.body.data) + ENVELOPE
            self.sent[host.name] = self.sent.get(host.name, 0) + size
            self.sent["to " + send.to[2:]] = self.sent.get("to " + send.to[2:], 0) + size

    def region(self, name: str) -> int:
        return self.names.index(name) % 3

    def _make(self, host: Host) -> StandaloneParts:
        log = Revisions(FLEET)
        part = Agreement(
            f"{host.name}@{host.incarnation}",
            host.name,
            self.seats,
            lambda: StateMachine({PART: log}),
            random.Random(self.rng.random()),
            self.world.now,
            host.disk if host.name in self.seats else None,
        )
        self.logs[host.name] = log
        force = self.force[host.name] = ActiveRevision(self.world.now)

        def look() -> None:
            now = self.world.now
            if force.update(now, log, log_state(part, now)) is not None:
                self.reached.setdefault(force.number, {}).setdefault(host.name, now)

        def told() -> None:
            self.snapshots += 1
            look()

        part.on_applied, part.on_restored = lambda entry: look(), told
        life = host.incarnation

        def tick() -> None:
            if host.incarnation == life and host.process is not None:
                self.world.schedule(self.world.now + LOOK * 2, tick)
                look()

        self.world.schedule(self.world.now + 0.01 + LOOK * self.rng.random(), tick)
        return StandaloneParts(host.address, {KIND: part})

    def agreement(self, name: str) -> Agreement:
        return self.world.find_host(name).process.parts[KIND]  # type: ignore

    def change(self, name: str, change: Change) -> None:
        """Of whoever proposes: again until it is taken."""
        host = self.world.find_host(name)
        data = pack_change(change, FLEET)

        def done(outcome: Outcome | None) -> None:
            if outcome is None:
                self.change(name, change)

        self.agreement(name).propose(self.world.now, PART, data, 5.0, done)
        self.world.apply_effects(host, host.process.said())  # type: ignore[union-attr]

    def cut(self, region: int) -> None:
        for one in range(3):
            for a, b in ((one, region), (region, one)):
                if a != b:
                    way = self.links.site_links[f"r{a}", f"r{b}"]
                    self.links.site_links[f"r{a}", f"r{b}"] = replace(way, is_cut=True)

    def heal(self) -> None:
        for pair, way in list(self.links.site_links.items()):
            self.links.site_links[pair] = replace(way, is_cut=False)


def size_run(size: int, seed: int = 1, changes: int = 12, firms: int = 5) -> dict[str, Any]:
    """Changes every 2 s; a hundredth restart with each, and in the middle half of them one region is cut off."""
    began = time.monotonic()
    fleet = Regions(size, seed)
    world, rng = fleet.world, fleet.rng
    everyone = set(fleet.names)
    if not world.run_until(lambda: all(force.caught_up for force in fleet.force.values()), 30.0):
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
        restarts = rng.sample(
            [name for name in fleet.names if name[0] == "f" and name != proposer], max(1, size // 100)
        )
        for name in restarts:
            host = world.find_host(name)
            world.kill(host)
            world.schedule(world.now + 0.5 + 2.0 * rng.random(), lambda host=host: world.start(host))  # type: ignore[misc]
        asked[number], apart[number] = world.now, set(cut_off)
        plans: dict[str, Figures | None] = {"p": Figures(float(number), 9.0)}
        fleet.change(proposer, Change(number - 1, "trial", plans, {number << 20 | firm: "p" for firm in range(firms)}))
        if not world.run_until(
            lambda number=number, apart=apart[number]: (
                len(  # type: ignore[misc]
                    fleet.reached.get(number, {}).keys() - apart
                )
                >= len(everyone) - len(apart)
            ),
            LATE + 10.0,
        ):
            skipped = everyone - apart[number] - fleet.reached.get(number, {}).keys()
            if any(fleet.force[name].number < number for name in skipped):
                wrong.append(f"revision {number} not in force at {len(skipped)} in time")
        world.run(max(world.now, asked[number] + 2.0))
    world.run(world.now + 6.0)  # who started anew there has asked each voter by now, of which it reaches one
    lasted, last = world.now - begin, max(asked)
    told = {name: count / lasted for name, count in fleet.sent.items()}
    old = world.now - max((fleet.force[name].last_heard for name in cut_off), default=0.0)
    served = {name: fleet.force[name].number for name in cut_off}
    fleet.sent.clear()
    heal = world.now
    fleet.heal()
    if not world.run_until(lambda: all(force.number == last for force in fleet.force.values()), LATE + 10.0):
        wrong.append("not all caught up after the return")
    caught = world.now - heal
    back = sum(count for name, count in fleet.sent.items() if name[:3] == "to " and name[3:] in cut_off)
    times = sorted(
        fleet.reached[number][name] - when
        for number, when in asked.items()
        for name in everyone - apart[number]
        if name in fleet.reached[number]
    )
    worst, most = times[int(len(times) * 0.99)], times[-1]
    if worst > SOON or most > LATE:
        wrong.append(f"99 in 100 within {worst:.2f} s, all within {most:.2f} s")
    followers = [name for name in fleet.names if name[0] == "f"]

    def mean(rows: dict[str, float], names: list[str], side: str) -> float:
        return round(sum(rows.get(side + name, 0.0) for name in names) / len(names), 1)

    each = pack_change(Change(0, "trial", {"p": Figures(1.0, 9.0)}, {1 << 20 | n: "p" for n in range(firms)}), FLEET)
    return {
        "size": size,
        "changes": last,
        "changeBytes": len(each),
        "median": round(times[len(times) // 2], 3),
        "of99In100": round(worst, 3),
        "all": round(most, 3),
        "cutOff": len(cut_off),
        "cutOffHave": sorted(set(served.values())),
        "cutOffSayOldS": round(old, 1),
        "caughtUpS": round(caught, 2),
        "returnBytesEach": round(back / max(1, len(cut_off))),
        "restBytesASecondIn": mean(rest, followers, "to "),
        "restBytesASecondOut": mean(rest, followers, ""),
        "bytesASecondIn": mean(told, followers, "to "),
        "voterBytesASecondOut": mean(told, list(fleet.seats), ""),
        "snapshots": fleet.snapshots - snapshots,
        "streamsFull": world.full,
        "events": world.event_count,
        "wallS": round(time.monotonic() - began, 1),
        "wrong": wrong,
    }


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
        rows: dict[int, str | None] = {firm: rng.choice(plans) for firm in numbers[first : first + 600]}
        answer = log.apply(1.0, pack_change(Change(log.number, "t", {}, rows), FLEET))
        assert "revision" in answer, answer
        loads += 1
    del numbers[firms:]
    force = ActiveRevision(0.0)
    force.update(1.0, log, LogState(True, 1.0, True))
    gc.collect()
    held = tracemalloc.get_traced_memory()[0] - begin
    tracemalloc.stop()
    whole = StateMachine({PART: log})
    dumped = whole.dump()
    told = encode_word(AddressedPayload("v0", "f0@1", LogUpdate(1, [], Snapshot(1, 1, Config({}), dumped))))
    other = Revisions(FLEET)
    dump = log.dump()
    restore = took(lambda: other.load(dump))
    first_force = took(lambda: ActiveRevision(0.0).update(1.0, log, LogState(True, 1.0, True)))
    apply, look = [], []
    for number in range(40):
        change = Change(
            log.number,
            "t",
            {"plan-1": Figures(2.0 + number, 9.0)},
            {firm: plans[number % 20] for firm in numbers[number * 5 : number * 5 + 5]},
        )
        data = pack_change(change, FLEET)
        start = time.perf_counter()
        log.apply(2.0, data)
        middle = time.perf_counter()
        force.update(2.0, log, LogState(True, 2.0, True))
        apply.append(middle - start)
        look.append(time.perf_counter() - middle)
    assert len(told) < STREAM, "longer than a stream's word"
    return {
        "firms": firms,
        "changesToLoad": loads,
        "memoryMb": round(held / 1e6, 2),
        "countedBytes": log.content.size_bytes,
        "snapshotBytes": len(pack(log.content)),
        "historyBytes": sum(row.undo_bytes for row in log.history),
        "wordBytes": len(told),
        "secondsAt14KB": round(len(told) / 14_000, 1),
        "dumpMs": took(log.dump),
        "loadMs": restore,
        "firstInForceMs": first_force,
        "applyMs": round(sorted(apply)[20] * 1000, 3),
        "inForceMs": round(sorted(look)[20] * 1000, 3),
        "ownCopyMs": took(lambda: seal(pack(force.content), FLEET)),
    }


def compaction(size: int, firms: int) -> dict[str, Any]:
    """A region that was cut off returns after the voters' log has become a snapshot: all of it is told, not the
    difference. Those that followed meanwhile are told nothing more than the changes."""
    import brackenpulley.consensus.agreement as agreement

    compact, agreement.COMPACTION_ENTRIES = agreement.COMPACTION_ENTRIES, 10
    try:
        fleet = Regions(size, 1)
        world, rng = fleet.world, random.Random(1)
        world.run_until(lambda: all(force.caught_up for force in fleet.force.values()), 30.0)
        numbers, number = rng.sample(range(1 << 33), firms), 0
        apart = {name for name in fleet.names if fleet.region(name) == 2}
        loads = max(1, -(-firms // 600))
        while number < loads + 12:
            if number == loads:
                fleet.cut(2)
                fleet.sent.clear()
                snapshots = fleet.snapshots
            plans: dict[str, Figures | None] = {"p": Figures(1.0 + number, 9.0)}
            rows: dict[int, str | None] = {firm: "p" for firm in numbers[number * 600 : number * 600 + 600]}
            fleet.change("f0", Change(number, "t", plans, rows))
            number += 1
            there = [force for name, force in fleet.force.items() if number <= loads or name not in apart]
            world.run_until(
                lambda number=number, there=there: all(  # type: ignore[misc]
                    force.number == number for force in there
                ),
                20.0,
            )
        near = [fleet.sent.get(f"to {name}", 0) for name in fleet.names if name[0] == "f" and name not in apart]
        followed, before = fleet.snapshots - snapshots, fleet.snapshots
        fleet.sent.clear()
        begin = world.now
        fleet.heal()
        done = world.run_until(lambda: all(force.number == number for force in fleet.force.values()), 30.0)
        far = [fleet.sent.get(f"to {name}", 0) for name in apart if name[0] == "f"]
        return {
            "followers": size,
            "firms": firms,
            "changes": number,
            "snapshotsWhileFollowing": followed,
            "bytesEachWhileFollowing": round(sum(near) / len(near)),
            "returned": len(far),
            "snapshotsAtReturn": fleet.snapshots - before,
            "bytesEachAtReturn": round(sum(far) / len(far)),
            "caughtUpS": round(world.now - begin, 2),
            "streamsFull": world.full,
            "wrong": [] if done else ["not all caught up"],
        }
    finally:
        agreement.COMPACTION_ENTRIES = compact
