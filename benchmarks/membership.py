"""Membership in virtual time: deaths found, false deaths, bytes, by size of the fleet.

    python -m benchmarks.membership                      50, 200 and 500 members
    python -m benchmarks.membership --sizes 50 --seconds 60

The protocol is the one that serves; the network stands here: delay, loss, duplicates, partitions in one direction or
both, members that stand still. SWIM's authors report that detection takes a constant number of protocol periods and
that a member's load does not grow with the group; Lifeguard's that false positives fall by a large factor at the same
settings (probe 1 s, answer 0.5 s, suspicion 4 to 24 times log10 n). Their testbeds are not rebuilt here: the same
figures of this implementation are printed beside the expectation that the formula gives."""

from __future__ import annotations

import argparse
import heapq
import json
import math
import random
import statistics
import sys
from collections.abc import Callable
from typing import Any

from rich.console import Console
from rich.progress import Progress

from brackenpulley.members.keys import OVERHEAD_BYTES
from brackenpulley.members.protocol import Changed, Effect, Protocol, Send, Timing
from brackenpulley.members.suspicion import MAX_TIMEOUT_MULTIPLIER, min_suspicion_timeout
from brackenpulley.members.wire import ALIVE, DEAD, Envelope, Message, _encode


class Net:
    """Datagrams take a random time, get lost or come twice; streams arrive whole or not at all."""

    def __init__(self, seed: int, loss: float = 0.0, double: float = 0.0, measure: bool = False) -> None:
        self.rng, self.loss, self.double, self.measure = random.Random(seed), loss, double, measure
        self.now = 1000.0
        self.members: dict[str, Protocol] = {}  # by address
        self.blocked: Callable[[str, str], bool] = lambda a, b: False
        self.paused: dict[str, list[tuple[str, Message]]] = {}
        self.heard: list[tuple[float, str, str, str]] = []  # (when, who, of whom, state)
        self.bytes: dict[str, int] = {}
        self.longest = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self._ticks: dict[str, float] = {}

    def at(self, when: float, call: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._queue, (when, self._serial, call))

    def add(self, ident: str, address: str, seeds: list[str], timing: Timing | None = None) -> Protocol:
        made = Protocol(ident, address, random.Random(self.rng.random()), self.now, timing or Timing())
        self.members[address] = made
        self.do(made, made.join(seeds))
        return made

    def kill(self, address: str) -> None:
        del self.members[address]
        self._ticks.pop(address, None)
        self.paused.pop(address, None)

    def pause(self, address: str) -> None:
        self.paused[address] = []

    def resume(self, address: str) -> None:
        """What came meanwhile stands in its socket's buffer, as far as that goes."""
        waiting, member = self.paused.pop(address), self.members[address]
        self.do(member, member.tick(self.now))
        for source, body in waiting[-200:]:
            self.do(member, member.receive(self.now, source, body))

    def do(self, member: Protocol, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Changed):
                self.heard.append((self.now, member.id, effect.id, effect.state))
            else:
                self._send(member, effect)
        self._wake(member)

    def _wake(self, member: Protocol) -> None:
        when = max(self.now, member.next_tick())  # one that stood still still lives in its own past
        if self._ticks.get(member.address, math.inf) <= when:
            return
        self._ticks[member.address] = when

        def tick() -> None:
            if self.members.get(member.address) is member and self._ticks.get(member.address) == when:
                del self._ticks[member.address]
                if member.address not in self.paused:  # else it goes on when it is let go
                    self.do(member, member.tick(self.now))

        self.at(when, tick)

    def _send(self, member: Protocol, send: Send) -> None:
        if self.measure:
            size = len(_encode(Envelope(member.id, 1, 1, send.body))) + OVERHEAD_BYTES
            self.bytes[member.address] = self.bytes.get(member.address, 0) + size
            if not send.stream:
                self.longest = max(self.longest, size)
        times = 1
        if not send.stream:
            times = 0 if self.rng.random() < self.loss else 2 if self.rng.random() < self.double else 1
        for _ in range(times):
            delay = 0.0005 + self.rng.expovariate(1 / 0.002) * (3 if send.stream else 1)
            self.at(self.now + delay, lambda: self._arrive(member.address, send))

    def _arrive(self, source: str, send: Send) -> None:
        target = self.members.get(send.to)
        if target is None or self.blocked(source, send.to) or send.stream and self.blocked(send.to, source):
            return
        if send.to in self.paused:
            self.paused[send.to].append((source, send.body))
            return
        self.do(target, target.receive(self.now, source, send.body))

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    def agree(self) -> bool:
        """Each one thinks of all the others that they are there, and of nobody else."""
        there = {m.id for m in self.members.values()}
        return all({x.id for x in m.alive_members()} | {m.id} == there for m in self.members.values())


def fleet(size: int, seed: int, timing: Timing | None = None, **more: Any) -> Net:
    """All joined through the first; run until they agree."""
    net = Net(seed, **more)
    for n in range(size):
        net.add(f"m{n}", f"a{n}", ["a0"], timing)
        net.run(net.now + 0.01)
    for _ in range(300):
        if net.agree():
            return net
        net.run(net.now + 0.2)
    raise RuntimeError(f"{size} members have not found each other in a minute")


def study(size: int, seconds: float, deaths: int, seed: int, progress: Progress) -> dict[str, Any]:
    task = progress.add_task(f"{size} members", total=2 + deaths)
    net = fleet(size, seed, measure=True)
    joined = round(net.now - 1000.0 - size * 0.01, 2)
    net.run(net.now + 30.0)  # what the joining left to be told
    net.bytes.clear()
    begin = net.now
    net.run(begin + 20.0)
    calm = [sent / 20.0 for sent in net.bytes.values()]
    progress.update(task, advance=1)
    times: list[float] = []
    for n in range(deaths):
        victim = f"a{size - 1 - n}"
        name, when = net.members[victim].id, net.now
        net.heard.clear()
        net.kill(victim)
        for _ in range(400):
            net.run(net.now + 0.5)
            known = [at - when for at, _, whom, state in net.heard if whom == name and state == DEAD]
            if len(known) >= len(net.members):
                break
        times += known
        progress.update(task, advance=1)
    false: dict[str, Any] = {}
    for loss in (0.05, 0.2):
        lossy = fleet(size, seed + 1)
        lossy.loss = loss
        lossy.heard.clear()
        lossy.run(lossy.now + seconds)
        false[f"{loss:g}"] = {
            "deaths": sum(state == DEAD for *_, state in lossy.heard),
            "suspected": sum(m.counts.get("suspected", 0) for m in lossy.members.values()),
            "memberSeconds": round(size * seconds),
        }
    progress.update(task, advance=1)
    least = min_suspicion_timeout(size, 1.0)
    return {
        "members": size,
        "joinedAfter": joined,
        "allKnowMedian": round(statistics.median(times), 2),
        "allKnow99th": round(sorted(times)[int(0.99 * (len(times) - 1))], 2),
        "missed": size * deaths - sum(range(1, deaths + 1)) - len(times),
        "suspicionFrom": round(least, 2),
        "suspicionTo": round(least * MAX_TIMEOUT_MULTIPLIER, 2),
        "bytesAMemberASecond": round(statistics.mean(calm), 1),
        "mostBytes": round(max(calm), 1),
        "longestDatagram": net.longest,
        "falseDeathsAtLoss": false,
    }


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--sizes", default="50,200,500")
    words.add_argument("--seconds", type=float, default=60.0)
    words.add_argument("--deaths", type=int, default=3)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--out", default="")
    told = words.parse_args()
    with Progress(console=Console(stderr=True)) as progress:
        rows = [study(int(size), told.seconds, told.deaths, told.seed, progress) for size in told.sizes.split(",")]
    text = json.dumps(rows, indent=1)
    print(text)
    if told.out:
        with open(told.out, "w", encoding="utf-8") as file:
            file.write(text + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())


__all__ = ["ALIVE", "Net", "fleet", "study"]
