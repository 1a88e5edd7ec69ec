"""The agreed log: what voters and followers send, a snapshot, and the turns that make and take one."""

from __future__ import annotations

from collections import Counter
from typing import Any

from brackenpulley.consensus.machine import Command, StateMachine, encode
from brackenpulley.consensus.wire import Entry, Snapshot
from brackenpulley.maintenance.permits import Enter, Permits
from brackenpulley.maintenance.permits import encode as pack
from brackenpulley.members.keys import OVERHEAD_BYTES
from brackenpulley.members.wire import Envelope, _encode
from brackenpulley.simulation.voters import Cluster, Register, take_effects
from brackenpulley.simulation.world import Host

from ..measure import REPEATS, Slope, cpu, memory, slope

FOLLOWERS = (25, 50, 100, 250)
ASKERS = (100, 200, 400, 890)
REST, BUSY, RATE, BODY = 10.0, 10.0, 2.0, 200  # s without and with commands; commands a second; bytes of one
TOLD = 5  # commands whose way to all is timed


def followed(followers: int, seed: int) -> dict[str, float]:
    """Three voters and so many followers, at rest and at `RATE` commands of `BODY` bytes a second."""
    made = Cluster(seed, 3, followers, 1.0, skew=0.0)
    made.world.checks.clear()
    made.is_proposing = False
    world = made.world
    assert world.run_until(lambda: bool(made.find_leader()) and made.has_converged(), 60.0)
    world.run(world.now + 5.0)
    sent: Counter[str] = Counter()
    words: Counter[str] = Counter()

    def count(host: Host, send: Any) -> None:
        sent[host.name] += len(_encode(Envelope(host.name, 1, 1, send.body))) + OVERHEAD_BYTES
        words[host.name] += 1

    world.on_send = count
    world.run(world.now + REST)
    rest, rest_words = Counter(sent), Counter(words)
    sent.clear()
    leader = world.find_host(made.find_leader())
    part = made.find_agreement(leader)
    assert part is not None

    def say(body: bytes) -> None:
        made.proposed[body] = world.now
        part.propose(leader.to_local_time(world.now), "register", body, 20.0, lambda outcome: None)
        world.apply_effects(leader, take_effects(leader))

    began = world.now
    for n in range(int(BUSY * RATE)):
        body = n.to_bytes(4, "big") * (BODY // 4)
        when = world.now
        say(body)
        world.run(when + 1 / RATE)
    span, busy = world.now - began, Counter(sent)
    late: list[float] = []
    for n in range(TOLD):
        assert world.run_until(made.has_converged, 20.0)
        when, before = world.now, max(one.count for one in made.registers.values())
        say(b"told %d" % n)
        assert world.run_until(lambda: min(one.count for one in made.registers.values()) > before, 20.0)  # noqa: B023
        late.append(world.now - when)
    voters, others = made.voter_names, [f"f{n}" for n in range(followers)]
    heard = sum(busy[v] for v in voters) / followers / span
    return {
        "rest": max(rest[v] for v in voters) / REST,
        "busy": max(busy[v] for v in voters) / span,
        "words": max(rest_words[v] for v in voters) / REST,
        "follower": sum(rest[f] for f in others) / followers / REST,
        "heard": heard,
        "all": max(late),
    }


def snapshot(askers: int) -> dict[str, float]:
    """Each ingress has entered and asked 32 times: what the machine remembers of it, and its place in the roster."""

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
                                pack(Enter(f"ingress-{n}", f"ingress-{n}@1764651600{n:03d}")),
                            )
                        ),
                        1000.0,
                    )
                )
        return machine

    kept, _, machine = memory(make)
    data = machine.dump()
    fresh = StateMachine({"permits": Permits()})
    return {
        "memory": kept / 1e6,
        "bytes": len(data),
        "dump": cpu(machine.dump) * 1000,
        "restore": cpu(lambda: fresh.restore(Snapshot(index=1, term=1, data=data))) * 1000,
    }


def entry(askers: int) -> float:
    """us of one command applied, with so many askers remembered."""
    machine = StateMachine({"register": Register()})
    entries = [
        Entry(n + 1, 1, "op", encode(Command(f"i{n % askers}", n + 1, "register", b"x" * BODY)), 1000.0)
        for n in range(2 * askers + 500)
    ]
    turn = iter(entries)
    return cpu(lambda: machine.apply(next(turn)), len(entries)) * 1e6


def measured(seed: int, sizes: tuple[int, ...] = FOLLOWERS, askers: tuple[int, ...] = ASKERS) -> list[Slope]:
    ran = {n: [followed(n, seed + k) for k in range(REPEATS)] for n in sizes}
    kept = {n: [snapshot(n) for _ in range(REPEATS)] for n in askers}

    def rows(found: dict[int, list[dict[str, float]]], name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in some]) for n, some in found.items()]

    virtual = "virtual time"
    return [
        slope(
            "log.rest",
            "bytes a second that the voter with most followers sends at rest",
            "followers",
            "bytes/s",
            rows(ran, "rest"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "log.busy",
            f"the same at {RATE:g} commands of {BODY} bytes a second",
            "followers",
            "bytes/s",
            rows(ran, "busy"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "log.words",
            "messages a second that this voter sends at rest",
            "followers",
            "/s",
            rows(ran, "words"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "log.follower",
            "bytes a second that a follower sends",
            "followers",
            "bytes/s",
            rows(ran, "follower"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "log.heard",
            f"bytes a second that a follower hears at {RATE:g} commands of {BODY} bytes",
            "followers",
            "bytes/s",
            rows(ran, "heard"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "log.all",
            "a command applied by all, the slowest",
            "followers",
            "s",
            rows(ran, "all"),
            source=virtual,
            seed=seed,
        ),
        slope(
            "log.entry",
            "processor time of one command applied",
            "askers",
            "us",
            [(n, [entry(n) for _ in range(REPEATS)]) for n in askers],
            "least",
            seed=seed,
        ),
        slope(
            "log.snapshot",
            "a snapshot with the roster and 32 answers of each asker",
            "askers",
            "bytes",
            rows(kept, "bytes"),
            seed=seed,
        ),
        slope("log.dump", "the turn that makes a snapshot", "askers", "ms", rows(kept, "dump"), "least", seed=seed),
        slope(
            "log.restore", "the turn that takes a snapshot", "askers", "ms", rows(kept, "restore"), "least", seed=seed
        ),
        slope("log.memory", "the machine's state", "askers", "MB", rows(kept, "memory"), seed=seed),
    ]
