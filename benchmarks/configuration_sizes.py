"""Replicated configuration in virtual time: propagation by fleet size, many firms, log compaction.

Parts of benchmarks/configuration; also used by tests/test_configuration and benchmarks/capacity."""

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
from brackenpulley.consensus.wire import encode as encode_message
from brackenpulley.members.protocol import Send
from brackenpulley.members.wire import Carry
from brackenpulley.plans.book import Figures
from brackenpulley.simulation.links import Link, Links
from brackenpulley.simulation.world import Host, StandaloneParts, World

FLEET = "trial"  # name of the fleet
POLL_INTERVAL_SECONDS = 0.2
MAX_P99_ACTIVATION_SECONDS = 5.0  # from a change to in force, 99th percentile
MAX_ACTIVATION_SECONDS = 14.0  # the same for all processes that can be reached
MAX_STREAMS = 64  # concurrent per process, as in members/transport
ENVELOPE_BYTES = 90  # per payload: sender, incarnation, sequence number, kind, address, authentication tag
MAX_STREAM_BYTES = 1 << 20  # longest message that members/transport carries


class StreamLimitedWorld(World):
    """World that drops messages beyond the concurrent streams that members/transport allows per process."""

    def __init__(self, seed: int, links: Links) -> None:
        super().__init__(seed, links)
        self.stream_ends: dict[str, list[float]] = {}
        self.dropped_streams = 0

    def _send(self, host: Host, send: Send) -> None:
        if send.stream:
            ends = self.stream_ends[host.address] = [
                end for end in self.stream_ends.get(host.address, []) if end > self.now
            ]
            if len(ends) >= MAX_STREAMS:
                self.dropped_streams += 1
                return
            ends.append(self.now + 3 * self.links.find(host.address, send.to).delay + 0.005)
        super()._send(host, send)


class RegionalCluster:
    """Cluster of three voters and `size` followers spread over three regions, without membership."""

    def __init__(self, size: int, seed: int) -> None:
        links = Links(Link(delay=0.0005, jitter=0.001, loss=0.005, duplication=0.002))
        self.world, self.rng = StreamLimitedWorld(seed, links), random.Random(seed)
        self.logs: dict[str, Revisions] = {}
        self.active_revisions: dict[str, ActiveRevision] = {}
        self.reached: dict[int, dict[str, float]] = {}  # by revision and host: time it came into force
        self.sent_bytes: dict[str, int] = {}
        self.snapshots = 0
        self.voter_addresses = {f"v{n}": f"a-v{n}" for n in range(3)}
        self.names = [*self.voter_addresses, *(f"f{n}" for n in range(size))]
        for number, name in enumerate(self.names):
            links.sites[f"a-{name}"] = f"r{number % 3}"
        for origin in range(3):
            for other in range(3):
                if origin != other:
                    links.site_links[f"r{origin}", f"r{other}"] = Link(
                        delay=0.04, jitter=0.005, loss=0.01, duplication=0.002
                    )
        self.links = links
        for name in self.names:
            self.world.add_host(name, f"a-{name}", self._make)
        self.world.on_send = self._count

    def _count(self, host: Host, send: Send) -> None:
        if isinstance(send.body, Carry):
            size = len(send.body.data) + ENVELOPE_BYTES
            self.sent_bytes[host.name] = self.sent_bytes.get(host.name, 0) + size
            self.sent_bytes["to " + send.to[2:]] = self.sent_bytes.get("to " + send.to[2:], 0) + size

    def region(self, name: str) -> int:
        """Returns the number of a process's region."""
        return self.names.index(name) % 3

    def _make(self, host: Host) -> StandaloneParts:
        log = Revisions(FLEET)
        agreement = Agreement(
            f"{host.name}@{host.incarnation}",
            host.name,
            self.voter_addresses,
            lambda: StateMachine({PART: log}),
            random.Random(self.rng.random()),
            self.world.now,
            host.disk if host.name in self.voter_addresses else None,
        )
        self.logs[host.name] = log
        active = self.active_revisions[host.name] = ActiveRevision(self.world.now)

        def poll() -> None:
            now = self.world.now
            if active.update(now, log, log_state(agreement, now)) is not None:
                self.reached.setdefault(active.number, {}).setdefault(host.name, now)

        def on_restored() -> None:
            self.snapshots += 1
            poll()

        agreement.on_applied, agreement.on_restored = lambda entry: poll(), on_restored
        incarnation = host.incarnation

        def tick() -> None:
            if host.incarnation == incarnation and host.process is not None:
                self.world.schedule(self.world.now + POLL_INTERVAL_SECONDS * 2, tick)
                poll()

        self.world.schedule(self.world.now + 0.01 + POLL_INTERVAL_SECONDS * self.rng.random(), tick)
        return StandaloneParts(host.address, {KIND: agreement})

    def agreement(self, name: str) -> Agreement:
        """Returns the consensus part of a process."""
        return self.world.find_host(name).process.parts[KIND]  # type: ignore

    def change(self, name: str, change: Change) -> None:
        """Proposes a change at a process, again until it is answered."""
        host = self.world.find_host(name)
        data = pack_change(change, FLEET)

        def done(outcome: Outcome | None) -> None:
            if outcome is None:
                self.change(name, change)

        self.agreement(name).propose(self.world.now, PART, data, 5.0, done)
        self.world.apply_effects(host, host.process.said())  # type: ignore[union-attr]

    def cut(self, region: int) -> None:
        """Cuts all links between a region and the others."""
        for origin in range(3):
            for source, target in ((origin, region), (region, origin)):
                if source != target:
                    link = self.links.site_links[f"r{source}", f"r{target}"]
                    self.links.site_links[f"r{source}", f"r{target}"] = replace(link, is_cut=True)

    def heal(self) -> None:
        """Restores all links between regions."""
        for pair, link in list(self.links.site_links.items()):
            self.links.site_links[pair] = replace(link, is_cut=False)


def measure_size(size: int, seed: int = 1, changes: int = 12, firms: int = 5) -> dict[str, Any]:
    """Measures propagation with a change every 2 s.

    1 % of the followers restart with each change; in the middle half of the changes one region is cut off."""
    wall_start = time.monotonic()
    cluster = RegionalCluster(size, seed)
    world, rng = cluster.world, cluster.rng
    all_names = set(cluster.names)
    if not world.run_until(lambda: all(active.caught_up for active in cluster.active_revisions.values()), 30.0):
        return {"size": size, "wrong": ["not all processes caught up with the log in 30 s"]}
    cluster.sent_bytes.clear()
    world.run(world.now + 10.0)
    idle_rates = {name: count / 10.0 for name, count in cluster.sent_bytes.items()}
    proposer = next(name for name in cluster.names if name.startswith("f") and cluster.region(name) == 0)
    proposed_at: dict[int, float] = {}
    cut_off_at: dict[int, set[str]] = {}
    cut_off: set[str] = set()
    violations: list[str] = []
    cluster.sent_bytes.clear()
    snapshots, begin = cluster.snapshots, world.now
    for number in range(1, changes + 1):
        if number == changes // 4 + 1:
            cluster.cut(2)
            cut_off = {name for name in all_names if cluster.region(name) == 2}
        elif number == changes * 3 // 4 + 1:
            break
        restarts = rng.sample(
            [name for name in cluster.names if name[0] == "f" and name != proposer], max(1, size // 100)
        )
        for name in restarts:
            host = world.find_host(name)
            world.kill(host)
            world.schedule(world.now + 0.5 + 2.0 * rng.random(), lambda host=host: world.start(host))  # type: ignore[misc]
        proposed_at[number], cut_off_at[number] = world.now, set(cut_off)
        plans: dict[str, Figures | None] = {"p": Figures(float(number), 9.0)}
        cluster.change(
            proposer, Change(number - 1, "trial", plans, {number << 20 | firm: "p" for firm in range(firms)})
        )
        if not world.run_until(
            lambda number=number, apart=cut_off_at[number]: (
                len(  # type: ignore[misc]
                    cluster.reached.get(number, {}).keys() - apart
                )
                >= len(all_names) - len(apart)
            ),
            MAX_ACTIVATION_SECONDS + 10.0,
        ):
            skipped = all_names - cut_off_at[number] - cluster.reached.get(number, {}).keys()
            if any(cluster.active_revisions[name].number < number for name in skipped):
                violations.append(f"revision {number} not in force at {len(skipped)} in time")
        world.run(max(world.now, proposed_at[number] + 2.0))
    world.run(world.now + 6.0)  # a process restarted in the cut-off region reaches one voter, and has tried all by now
    elapsed, last = world.now - begin, max(proposed_at)
    active_rates = {name: count / elapsed for name, count in cluster.sent_bytes.items()}
    silence = world.now - max((cluster.active_revisions[name].last_heard for name in cut_off), default=0.0)
    revisions = {name: cluster.active_revisions[name].number for name in cut_off}
    cluster.sent_bytes.clear()
    healed_at = world.now
    cluster.heal()
    if not world.run_until(
        lambda: all(active.number == last for active in cluster.active_revisions.values()),
        MAX_ACTIVATION_SECONDS + 10.0,
    ):
        violations.append("not all processes caught up after the region returned")
    catch_up_seconds = world.now - healed_at
    return_bytes = sum(count for name, count in cluster.sent_bytes.items() if name[:3] == "to " and name[3:] in cut_off)
    times = sorted(
        cluster.reached[number][name] - when
        for number, when in proposed_at.items()
        for name in all_names - cut_off_at[number]
        if name in cluster.reached[number]
    )
    p99, longest = times[int(len(times) * 0.99)], times[-1]
    if p99 > MAX_P99_ACTIVATION_SECONDS or longest > MAX_ACTIVATION_SECONDS:
        violations.append(f"99 % within {p99:.2f} s, all within {longest:.2f} s")
    followers = [name for name in cluster.names if name[0] == "f"]

    def mean(rows: dict[str, float], names: list[str], prefix: str) -> float:
        return round(sum(rows.get(prefix + name, 0.0) for name in names) / len(names), 1)

    change_data = pack_change(
        Change(0, "trial", {"p": Figures(1.0, 9.0)}, {1 << 20 | n: "p" for n in range(firms)}), FLEET
    )
    return {
        "size": size,
        "changes": last,
        "changeBytes": len(change_data),
        "median": round(times[len(times) // 2], 3),
        "of99In100": round(p99, 3),
        "all": round(longest, 3),
        "cutOff": len(cut_off),
        "cutOffHave": sorted(set(revisions.values())),
        "cutOffSayOldS": round(silence, 1),
        "caughtUpS": round(catch_up_seconds, 2),
        "returnBytesEach": round(return_bytes / max(1, len(cut_off))),
        "restBytesASecondIn": mean(idle_rates, followers, "to "),
        "restBytesASecondOut": mean(idle_rates, followers, ""),
        "bytesASecondIn": mean(active_rates, followers, "to "),
        "voterBytesASecondOut": mean(active_rates, list(cluster.voter_addresses), ""),
        "snapshots": cluster.snapshots - snapshots,
        "streamsFull": world.dropped_streams,
        "events": world.event_count,
        "wallS": round(time.monotonic() - wall_start, 1),
        "wrong": violations,
    }


def measure_firms(firms: int, seed: int = 1) -> dict[str, Any]:
    """Measures one process with many firms: memory, snapshot size, and time that the event loop is blocked."""
    rng = random.Random(seed)
    plans = [f"plan-{n}" for n in range(20)]
    log = Revisions(FLEET)
    numbers = rng.sample(range(1 << 33), firms)

    def median_ms(call: Callable[[], Any], repeats: int = 5) -> float:
        durations = []
        for _ in range(repeats):
            begin = time.perf_counter()
            call()
            durations.append(time.perf_counter() - begin)
        return round(sorted(durations)[repeats // 2] * 1000, 2)

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
    active = ActiveRevision(0.0)
    active.update(1.0, log, LogState(True, 1.0, True))
    gc.collect()
    held_bytes = tracemalloc.get_traced_memory()[0] - begin
    tracemalloc.stop()
    machine = StateMachine({PART: log})
    dumped = machine.dump()
    message = encode_message(AddressedPayload("v0", "f0@1", LogUpdate(1, [], Snapshot(1, 1, Config({}), dumped))))
    other = Revisions(FLEET)
    dump = log.dump()
    restore = median_ms(lambda: other.load(dump))
    first_force = median_ms(lambda: ActiveRevision(0.0).update(1.0, log, LogState(True, 1.0, True)))
    apply_seconds, activate_seconds = [], []
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
        active.update(2.0, log, LogState(True, 2.0, True))
        apply_seconds.append(middle - start)
        activate_seconds.append(time.perf_counter() - middle)
    assert len(message) < MAX_STREAM_BYTES, "longer than a stream carries"
    return {
        "firms": firms,
        "changesToLoad": loads,
        "memoryMb": round(held_bytes / 1e6, 2),
        "countedBytes": log.content.size_bytes,
        "snapshotBytes": len(pack(log.content)),
        "historyBytes": sum(row.undo_bytes for row in log.history),
        "wordBytes": len(message),
        "secondsAt14KB": round(len(message) / 14_000, 1),
        "dumpMs": median_ms(log.dump),
        "loadMs": restore,
        "firstInForceMs": first_force,
        "applyMs": round(sorted(apply_seconds)[20] * 1000, 3),
        "inForceMs": round(sorted(activate_seconds)[20] * 1000, 3),
        "ownCopyMs": median_ms(lambda: seal(pack(active.content), FLEET)),
    }


def measure_compaction(size: int, firms: int) -> dict[str, Any]:
    """Measures bytes sent when a region that was cut off returns after the voters compacted their log.

    Returning followers get the whole snapshot, not the difference; the others are sent only the changes."""
    import brackenpulley.consensus.agreement as agreement

    compaction_entries, agreement.COMPACTION_ENTRIES = agreement.COMPACTION_ENTRIES, 10
    try:
        cluster = RegionalCluster(size, 1)
        world, rng = cluster.world, random.Random(1)
        world.run_until(lambda: all(active.caught_up for active in cluster.active_revisions.values()), 30.0)
        numbers, number = rng.sample(range(1 << 33), firms), 0
        apart = {name for name in cluster.names if cluster.region(name) == 2}
        loads = max(1, -(-firms // 600))
        while number < loads + 12:
            if number == loads:
                cluster.cut(2)
                cluster.sent_bytes.clear()
                snapshots = cluster.snapshots
            plans: dict[str, Figures | None] = {"p": Figures(1.0 + number, 9.0)}
            rows: dict[int, str | None] = {firm: "p" for firm in numbers[number * 600 : number * 600 + 600]}
            cluster.change("f0", Change(number, "t", plans, rows))
            number += 1
            reachable = [
                active for name, active in cluster.active_revisions.items() if number <= loads or name not in apart
            ]
            world.run_until(
                lambda number=number, reachable=reachable: all(  # type: ignore[misc]
                    active.number == number for active in reachable
                ),
                20.0,
            )
        follower_bytes = [
            cluster.sent_bytes.get(f"to {name}", 0) for name in cluster.names if name[0] == "f" and name not in apart
        ]
        snapshots_while_following, before = cluster.snapshots - snapshots, cluster.snapshots
        cluster.sent_bytes.clear()
        begin = world.now
        cluster.heal()
        done = world.run_until(
            lambda: all(active.number == number for active in cluster.active_revisions.values()), 30.0
        )
        returned_bytes = [cluster.sent_bytes.get(f"to {name}", 0) for name in apart if name[0] == "f"]
        return {
            "followers": size,
            "firms": firms,
            "changes": number,
            "snapshotsWhileFollowing": snapshots_while_following,
            "bytesEachWhileFollowing": round(sum(follower_bytes) / len(follower_bytes)),
            "returned": len(returned_bytes),
            "snapshotsAtReturn": cluster.snapshots - before,
            "bytesEachAtReturn": round(sum(returned_bytes) / len(returned_bytes)),
            "caughtUpS": round(world.now - begin, 2),
            "streamsFull": world.dropped_streams,
            "wrong": [] if done else ["not all processes caught up"],
        }
    finally:
        agreement.COMPACTION_ENTRIES = compaction_entries
