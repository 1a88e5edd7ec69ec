"""Replicated configuration: seeded runs with faults, propagation time by fleet size, real processes, and costs.

    python -m benchmarks.configuration                      all parts, 200 seeds
    python -m benchmarks.configuration --only seeds --seeds 200 [--jobs 2]
    python -m benchmarks.configuration --seed 37            one run with its faults and violations
    python -m benchmarks.configuration --only sizes --sizes 50,100,200,400,890
    python -m benchmarks.configuration --only tenants       44,000 firms: memory, bytes, time the event loop is blocked
    python -m benchmarks.configuration --only compaction    bytes to followers after the log is compacted
    python -m benchmarks.configuration --only processes     three voters, two followers, network proxies between them
    python -m benchmarks.configuration --only cost          CPU of a real process without, with, and with changes

The code under test is that of production (configuration/, consensus/); network, disks and clocks are simulated
(simulation/). Exits 1 if an invariant is violated, or a change is not in force at 99 % of the processes within 5 s and
at all that can be reached within 14 s. Also used by tests/test_configuration."""

from __future__ import annotations

import argparse
import json
import multiprocessing
import random
import sys
import time
from collections.abc import Callable
from typing import Any

from benchmarks.configuration_processes import measure_cost, run_processes
from benchmarks.configuration_sizes import FLEET, POLL_INTERVAL_SECONDS, measure_compaction, measure_firms, measure_size
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

RUN_SECONDS = 24.0
MEAN_FAULT_INTERVAL_SECONDS = 1.2
INVALID_CHANGES = ("torn", "oversized", "other_fleet", "other_format", "conflict", "unfit", "again")


def draw_change(rng: random.Random, base: int, content: Content, by: str, max_entries: int = 6) -> Change:
    """Draws a change of a few entries, from few names, so that changes often conflict."""
    plans: dict[str, Figures | None] = {}
    firms: dict[int, str | None] = {}
    for _ in range(rng.randint(1, max_entries)):
        name = f"p{rng.randrange(4)}"
        choice = rng.random()
        if choice < 0.4 or not content.plans and not plans:
            plans[name] = Figures(rng.randint(1, 50), rng.randint(1, 90))
        elif choice < 0.9:
            firms[rng.randrange(40) << rng.randrange(28)] = rng.choice([*content.plans, *plans])
        elif firms:
            firms[next(iter(firms))] = None
        else:
            plans.setdefault(name, Figures(rng.randint(1, 50), 1.0))
    addresses: dict[str, str | None] = {"discovery": f"10.0.0.{rng.randint(1, 9)}:80"} if rng.random() < 0.2 else {}
    return Change(base, by, plans, firms, addresses)


class ConfigurationCluster(Cluster):
    """Cluster whose log also holds the configuration, with operators that change it and further invariants."""

    def __init__(
        self, seed: int, voters: int = 3, followers: int = 3, mean_change_interval: float = 0.6, **options: Any
    ) -> None:
        self.logs: dict[str, Revisions] = {}
        self.active_revisions: dict[str, ActiveRevision] = {}
        self.local_copies: dict[str, list[bytes]] = {}  # by host: versions of its local copy, newest last
        self.life_counts: dict[str, int] = {}
        self.reference = StateMachine({"register": Register(), PART: Revisions(FLEET)})
        self.digests: dict[int, bytes] = {0: b""}  # digest by revision number, as first committed
        self.contents: dict[bytes, bytes] = {b"": pack(Content())}
        self.acknowledged_changes: dict[int, bytes] = {}  # change by revision number acknowledged to its operator
        self.counts: dict[str, int] = {}
        self.mean_change_interval, self.is_changing, self.reverts = mean_change_interval, True, 0
        super().__init__(seed, voters, followers, 0.5, **options)
        self.world.schedule(self.world.now + 1.0, self._operate)

    # Processes.

    def _make_process(self, host: Host) -> StandaloneParts:
        register, log = Register(), Revisions(FLEET)

        def make_state_machine() -> StateMachine:
            self.registers[host.name], self.logs[host.name] = register, log
            return self._machine_class({"register": register, PART: log})

        agreement = self._agreement_class(
            f"{host.name}@{host.incarnation}",
            host.name,
            self.voter_addresses,
            make_state_machine,
            random.Random(self.rng.random()),
            host.to_local_time(self.world.now),
            host.disk if host.name.startswith("v") else None,
            self.timing,
        )
        agreement.on_applied = lambda entry: self._on_applied(host, agreement, entry, register)
        agreement.on_restored = lambda: self._on_restored(host, agreement, register)
        self.active_revisions[host.name] = ActiveRevision(host.to_local_time(self.world.now))
        self._load_local_copy(host)
        incarnation = host.incarnation

        def poll() -> None:
            if host.incarnation == incarnation and host.process is not None:
                self.world.schedule(self.world.now + POLL_INTERVAL_SECONDS, poll)
                if not host.is_suspended:
                    self._update_active(host, agreement)

        self.world.schedule(self.world.now + 0.01, poll)
        return StandaloneParts(host.address, {KIND: agreement})

    def _load_local_copy(self, host: Host) -> None:
        """Loads a host's local copy, which may be the latest, an older one, truncated or missing."""
        copies = self.local_copies.get(host.name)
        if not copies or self.rng.random() < 0.3:
            return
        data = copies[-1] if self.rng.random() < 0.5 else self.rng.choice(copies)
        if self.rng.random() < 0.3:
            data = data[: self.rng.randrange(len(data))]
        try:
            number, committed_at, digest, content = _local_copy_codec.decode(unseal(data, FLEET))
        except (WireError, ValueError):
            self._count("copy_torn")
            return
        self.active_revisions[host.name].start(number, committed_at, digest, unpack(content))

    def _on_applied(self, host: Host, agreement: Agreement, entry: Entry, register: Register) -> None:
        self._check_applied(host, agreement, entry, register)
        if entry.index == self.reference.index + 1:
            self._apply_to_reference(entry)
        log = self.logs[host.name]
        if self.digests.get(log.number) != log.digest:
            raise InvariantError(f"{host.name} holds another revision {log.number} after entry {entry.index}")
        active = self.active_revisions[host.name]
        if pack(active.content) != self.contents[active.digest]:
            raise InvariantError(f"{host.name} has content in force that differs from its revision")
        self._update_active(host, agreement)

    def _apply_to_reference(self, entry: Entry) -> None:
        """Applies a newly committed entry to the reference state machine and checks its effect."""
        log = self.reference.parts[PART]
        assert isinstance(log, Revisions)
        before, old_plans = log.number, dict(log.content.plans)
        self.reference.apply(entry)
        if log.number == before:
            if log.content.plans != old_plans:
                raise InvariantError(f"entry {entry.index} changed revision {before}")
            return
        if log.number != before + 1:
            raise InvariantError(f"revision {log.number} after {before}")
        for firm, plan in log.content.firms.items():
            if plan not in log.content.plans:
                raise InvariantError(f"revision {log.number}: firm {firm} has plan {plan}, which does not exist")
        self.digests[log.number] = log.digest
        self.contents[log.digest] = pack(log.content)

    def _on_restored(self, host: Host, agreement: Agreement, register: Register) -> None:
        self._check_restored(agreement, register)
        log = self.logs[host.name]
        if agreement.machine.index > self.reference.index and not log.number and max(self.digests) == 0:
            self.reference.index = agreement.machine.index  # the initial snapshot of the log, which is no entry
        if self.digests.get(log.number) != log.digest or pack(log.content) != self.contents[log.digest]:
            raise InvariantError(f"{host.name} has another revision {log.number} after a snapshot")

    def _update_active(self, host: Host, agreement: Agreement) -> None:
        now, active = host.to_local_time(self.world.now), self.active_revisions[host.name]
        before = active.number
        if active.update(now, self.logs[host.name], log_state(agreement, now)) is None:
            return
        if active.number < before:
            self._count("went_back")
        if pack(active.content) != self.contents.get(active.digest) or self.digests.get(active.number) != active.digest:
            raise InvariantError(
                f"{host.name} has uncommitted content in force as revision {active.number}, after {before}"
            )
        data = seal(
            _local_copy_codec.encode((active.number, active.agreed_at, active.digest, pack(active.content))), FLEET
        )
        self.local_copies.setdefault(host.name, []).append(data)

    # Simulated operators.

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _operate(self) -> None:
        if not self.is_changing:
            return
        self.world.schedule(self.world.now + self.rng.expovariate(1 / self.mean_change_interval), self._operate)
        running = [host for host in self.world.hosts.values() if host.process is not None and not host.is_suspended]
        # Often two processes propose concurrently.
        for host in self.rng.sample(running, min(len(running), self.rng.choice((1, 1, 2)))):
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
        change = draw_change(rng, log.number, log.content, host.name)
        try:
            check(change, log.content)
        except ChangeError:
            self._count("refused_before")
            return
        data = pack_change(change, FLEET)
        if rng.random() < 0.25:
            self._propose_invalid(host, rng.choice(INVALID_CHANGES), change, data)
        self._propose_change(host, change, data)

    def _propose_change(self, host: Host, change: Change, data: bytes, revert_to: int = -1) -> None:
        def done(outcome: Outcome | None) -> None:
            answer = None if outcome is None else outcome.answer
            if answer is None:
                self._count("no_answer")
            elif "error" in answer:
                self._count("refused_" + answer["field"])
            else:
                number = answer["revision"]
                if self.acknowledged_changes.setdefault(number, data) != data:
                    raise InvariantError(f"two changes were acknowledged as revision {number}")
                if number != change.base + 1:
                    raise InvariantError(f"a change based on revision {change.base} became {number}")
                if revert_to >= 0:
                    self.reverts += 1
                    if self.contents[self.digests[number]] != self.contents[self.digests[revert_to]]:
                        raise InvariantError(f"revision {number} does not restore {revert_to}")
                self._count("taken")

        self._propose_data(host, data, done)

    def _propose_invalid(self, host: Host, kind: str, change: Change, data: bytes) -> None:
        """Proposes an invalid change as a faulty process would; it must be rejected."""
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
        must_fail = kind != "again"

        def done(outcome: Outcome | None) -> None:
            if outcome is not None and must_fail and "error" not in outcome.answer:
                raise InvariantError(f"{kind} was accepted as {outcome.answer}")

        self._propose_data(host, data, done)

    def _propose_data(self, host: Host, data: bytes, done: Any) -> None:
        agreement = self.find_agreement(host)
        if agreement is not None and agreement.propose(host.to_local_time(self.world.now), PART, data, 8.0, done):
            self.world.apply_effects(host, host.process.said())  # type: ignore[union-attr]

    def has_latest_revision(self) -> bool:
        """Reports whether all processes have the latest committed revision and its content in force."""
        digest = self.digests[max(self.digests)]
        return all(
            active.digest == digest and pack(active.content) == self.contents[digest]
            for name, active in self.active_revisions.items()
            if self.world.find_host(name).process is not None
        )


class _LocalCopyCodec:
    """Codec of the four fields of a local copy: revision, commit time, digest, content."""

    @staticmethod
    def encode(fields: tuple[int, float, bytes, bytes]) -> bytes:
        return encode_msgpack(fields)

    @staticmethod
    def decode(data: bytes) -> tuple[int, float, bytes, bytes]:
        import msgspec

        return msgspec.msgpack.decode(data, type=tuple[int, float, bytes, bytes])


_local_copy_codec = _LocalCopyCodec()


def run_seed(seed: int, schedule: list[Fault] | None = None, seconds: float = RUN_SECONDS) -> dict[str, Any]:
    """Runs one seed, with given or drawn faults; once they are repaired, all processes must get the latest revision."""
    import brackenpulley.consensus.agreement as agreement

    compaction_entries, agreement.COMPACTION_ENTRIES = (
        agreement.COMPACTION_ENTRIES,
        15 if seed % 2 else agreement.COMPACTION_ENTRIES,
    )
    cluster, violation = ConfigurationCluster(seed), ""
    world = cluster.world
    try:
        faults = (
            draw_faults(
                cluster.rng,
                [host.name for host in world.hosts.values()],
                seconds,
                MEAN_FAULT_INTERVAL_SECONDS * (0.4 + seed % 3 * 0.5),
                2,
            )
            if schedule is None
            else schedule
        )
        injector = FaultInjector(world, faults, cluster.find_leader, cluster.may_damage_disk)
        world.run(world.now + seconds)
        for host in world.hosts.values():
            if host.process is None:
                world.start(host)
            elif host.is_suspended:
                world.resume(host)
        cluster.is_proposing = cluster.is_changing = False
        if not world.run_until(
            lambda: bool(cluster.find_leader()) and cluster.has_converged() and cluster.has_latest_revision(), 40.0
        ):
            raise InvariantError(
                f"not converged 40 s after the last fault: "
                f"{[(name, active.number, active.source) for name, active in cluster.active_revisions.items()]}, "
                f"agreed {max(cluster.digests)}"
            )
        cluster.check_applied_once()
    except InvariantError as error:
        violation = str(error)
    except AssertionError as error:
        violation = f"assertion: {error}"
    finally:
        agreement.COMPACTION_ENTRIES = compaction_entries
    refused: dict[str, int] = {}
    log = cluster.reference.parts[PART]
    assert isinstance(log, Revisions)
    for cause, count in log.counts.items():
        refused[cause] = count
    return {
        "seed": seed,
        "events": world.event_count,
        "revisions": max(cluster.digests),
        "reverts": cluster.reverts,
        "counts": cluster.counts,
        "refused": refused,
        "faults": len(faults),
        "lines": injector.applied if violation else [],
        "broken": violation,
    }


def run_seeds(first: int, count: int, jobs: int) -> dict[str, Any]:
    """Runs consecutive seeds in parallel and sums up their results."""
    start = time.monotonic()
    if jobs > 1:
        with multiprocessing.Pool(jobs) as pool:
            rows = pool.map(run_seed, range(first, first + count), chunksize=5)
    else:
        rows = [run_seed(seed) for seed in range(first, first + count)]
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
        "wallS": round(time.monotonic() - start, 1),
    }


def main() -> int:
    """Runs the chosen parts or a single seed and prints JSON lines; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--only", choices=("seeds", "sizes", "tenants", "compaction", "processes", "cost"), default="")
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--seed", type=int, default=-1)
    parser.add_argument("--sizes", default="50,100,200,400")
    parser.add_argument("--firms", type=int, default=44_000)
    parser.add_argument("--jobs", type=int, default=2)
    options = parser.parse_args()
    if options.seed >= 0:
        result = run_seed(options.seed)
        print("\n".join(map(str, result.pop("lines"))))
        print(json.dumps(result))
        return int(bool(result["broken"]))
    parts: dict[str, Callable[[], list[dict[str, Any]]]] = {
        "seeds": lambda: [run_seeds(0, options.seeds, options.jobs)],
        "sizes": lambda: [measure_size(int(size)) for size in options.sizes.split(",")],
        "tenants": lambda: [
            measure_firms(firms)
            for firms in (options.firms // 44, options.firms // 8, options.firms // 4, options.firms)
        ],
        "compaction": lambda: [measure_compaction(size, 10_000) for size in (30, 60, 120, 240)],
        "processes": lambda: [run_processes()],
        "cost": lambda: [measure_cost(30.0)],
    }
    has_failed = False
    for name, run_part in parts.items():
        if options.only in ("", name):
            for row in run_part():
                print(json.dumps({name: row}), flush=True)
                has_failed = has_failed or bool(row.get("broken") or row.get("wrong"))
    return int(has_failed)


if __name__ == "__main__":
    sys.exit(main())
