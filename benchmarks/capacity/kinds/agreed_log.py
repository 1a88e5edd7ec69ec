"""Measures the agreed log: traffic of voters and followers, and the cost of applying entries and of snapshots."""

from __future__ import annotations

from collections import Counter
from typing import Any

from brackenpulley.consensus.machine import Command, StateMachine, encode
from brackenpulley.consensus.wire import Entry, Snapshot
from brackenpulley.maintenance.permits import Enter, Permits
from brackenpulley.maintenance.permits import encode as encode_permit
from brackenpulley.members.keys import OVERHEAD_BYTES
from brackenpulley.members.wire import Envelope, _encode
from brackenpulley.simulation.voters import Cluster, Register, take_effects
from brackenpulley.simulation.world import Host

from ..measure import REPEATS, Slope, make_slope, measure_cpu, measure_memory

FOLLOWERS = (25, 50, 100, 250)
ASKERS = (100, 200, 400, 890)
IDLE_SECONDS = 10.0  # observed without commands
BUSY_SECONDS = 10.0  # observed with commands
COMMANDS_PER_SECOND = 2.0
COMMAND_BYTES = 200
TIMED_COMMANDS = 5  # commands that are timed until all have applied them


def measure_followers(followers: int, seed: int) -> dict[str, float]:
    """Runs three voters with so many followers, first idle, then at a constant rate of commands.

    Returns rates in bytes or messages per second, and the longest time until all have applied a command, in s."""
    cluster = Cluster(seed, 3, followers, 1.0, skew=0.0)
    cluster.world.checks.clear()
    cluster.is_proposing = False
    world = cluster.world
    assert world.run_until(lambda: bool(cluster.find_leader()) and cluster.has_converged(), 60.0)
    world.run(world.now + 5.0)
    bytes_sent: Counter[str] = Counter()
    messages_sent: Counter[str] = Counter()

    def count(host: Host, send: Any) -> None:
        bytes_sent[host.name] += len(_encode(Envelope(host.name, 1, 1, send.body))) + OVERHEAD_BYTES
        messages_sent[host.name] += 1

    world.on_send = count
    world.run(world.now + IDLE_SECONDS)
    idle_bytes, idle_messages = Counter(bytes_sent), Counter(messages_sent)
    bytes_sent.clear()
    leader = world.find_host(cluster.find_leader())
    agreement = cluster.find_agreement(leader)
    assert agreement is not None

    def propose_command(body: bytes) -> None:
        cluster.proposed[body] = world.now
        agreement.propose(leader.to_local_time(world.now), "register", body, 20.0, lambda outcome: None)
        world.apply_effects(leader, take_effects(leader))

    started_at = world.now
    for n in range(int(BUSY_SECONDS * COMMANDS_PER_SECOND)):
        body = n.to_bytes(4, "big") * (COMMAND_BYTES // 4)
        proposed_at = world.now
        propose_command(body)
        world.run(proposed_at + 1 / COMMANDS_PER_SECOND)
    span, busy_bytes = world.now - started_at, Counter(bytes_sent)
    delays: list[float] = []
    for n in range(TIMED_COMMANDS):
        assert world.run_until(cluster.has_converged, 20.0)
        proposed_at, count_before = world.now, max(register.count for register in cluster.registers.values())
        propose_command(b"told %d" % n)
        assert world.run_until(
            lambda: min(register.count for register in cluster.registers.values()) > count_before,  # noqa: B023
            20.0,
        )
        delays.append(world.now - proposed_at)
    voters, follower_names = cluster.voter_names, [f"f{n}" for n in range(followers)]
    heard_rate = sum(busy_bytes[v] for v in voters) / followers / span
    return {
        "rest": max(idle_bytes[v] for v in voters) / IDLE_SECONDS,
        "busy": max(busy_bytes[v] for v in voters) / span,
        "words": max(idle_messages[v] for v in voters) / IDLE_SECONDS,
        "follower": sum(idle_bytes[f] for f in follower_names) / followers / IDLE_SECONDS,
        "heard": heard_rate,
        "all": max(delays),
    }


def measure_snapshot(askers: int) -> dict[str, float]:
    """Measures a snapshot for which each asker has entered the roster and sent 32 commands."""

    def make() -> StateMachine:
        machine = StateMachine({"permits": Permits()})
        index = 0
        for n in range(askers):
            for number in range(32):
                index += 1
                machine.apply(
                    Entry(
                        index,
                        1,
                        "op",
                        encode(
                            Command(
                                f"ingress-{n}@1764651600{n:03d}",
                                number + 1,
                                "permits",
                                encode_permit(Enter(f"ingress-{n}", f"ingress-{n}@1764651600{n:03d}")),
                            )
                        ),
                        1000.0,
                    )
                )
        return machine

    retained, _, machine = measure_memory(make)
    data = machine.dump()
    fresh = StateMachine({"permits": Permits()})
    return {
        "memory": retained / 1e6,
        "bytes": len(data),
        "dump": measure_cpu(machine.dump) * 1000,
        "restore": measure_cpu(lambda: fresh.restore(Snapshot(index=1, term=1, data=data))) * 1000,
    }


def measure_entry(askers: int) -> float:
    """Returns the processor time of applying one command with so many askers remembered, in us."""
    machine = StateMachine({"register": Register()})
    entries = [
        Entry(n + 1, 1, "op", encode(Command(f"i{n % askers}", n + 1, "register", b"x" * COMMAND_BYTES)), 1000.0)
        for n in range(2 * askers + 500)
    ]
    remaining_entries = iter(entries)
    return measure_cpu(lambda: machine.apply(next(remaining_entries)), len(entries)) * 1e6


def measure_slopes(seed: int, sizes: tuple[int, ...] = FOLLOWERS, askers: tuple[int, ...] = ASKERS) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    runs = {n: [measure_followers(n, seed + k) for k in range(REPEATS)] for n in sizes}
    snapshots = {n: [measure_snapshot(n) for _ in range(REPEATS)] for n in askers}

    def collect_points(measurements: dict[int, list[dict[str, float]]], name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    virtual = "virtual time"
    return [
        make_slope(
            "log.rest",
            "bytes a second that the voter with most followers sends at rest",
            "followers",
            "bytes/s",
            collect_points(runs, "rest"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "log.busy",
            f"the same at {COMMANDS_PER_SECOND:g} commands of {COMMAND_BYTES} bytes a second",
            "followers",
            "bytes/s",
            collect_points(runs, "busy"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "log.words",
            "messages a second that this voter sends at rest",
            "followers",
            "/s",
            collect_points(runs, "words"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "log.follower",
            "bytes a second that a follower sends",
            "followers",
            "bytes/s",
            collect_points(runs, "follower"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "log.heard",
            f"bytes a second that a follower hears at {COMMANDS_PER_SECOND:g} commands of {COMMAND_BYTES} bytes",
            "followers",
            "bytes/s",
            collect_points(runs, "heard"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "log.all",
            "a command applied by all, the slowest",
            "followers",
            "s",
            collect_points(runs, "all"),
            source=virtual,
            seed=seed,
        ),
        make_slope(
            "log.entry",
            "processor time of one command applied",
            "askers",
            "us",
            [(n, [measure_entry(n) for _ in range(REPEATS)]) for n in askers],
            "least",
            seed=seed,
        ),
        make_slope(
            "log.snapshot",
            "a snapshot with the roster and 32 answers of each asker",
            "askers",
            "bytes",
            collect_points(snapshots, "bytes"),
            seed=seed,
        ),
        make_slope(
            "log.dump",
            "the turn that makes a snapshot",
            "askers",
            "ms",
            collect_points(snapshots, "dump"),
            "least",
            seed=seed,
        ),
        make_slope(
            "log.restore",
            "the turn that takes a snapshot",
            "askers",
            "ms",
            collect_points(snapshots, "restore"),
            "least",
            seed=seed,
        ),
        make_slope("log.memory", "the machine's state", "askers", "MB", collect_points(snapshots, "memory"), seed=seed),
    ]
