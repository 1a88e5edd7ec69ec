"""Membership in virtual time: detection of deaths, false positives and bytes sent, by size of the fleet.

    python -m benchmarks.membership                      50, 200 and 500 members
    python -m benchmarks.membership --sizes 50 --seconds 60

The protocol under test is that of production (members/); the network is simulated, with delay, loss, duplicates,
one-way and two-way partitions and paused members. The SWIM paper reports detection in a constant number of protocol
periods and a load per member that does not grow with the group; the Lifeguard paper reports far fewer false positives
at the same settings (probe interval 1 s, probe timeout 0.5 s, suspicion timeout of 4 to 24 times log10 n). Their
testbeds are not reproduced: the same figures of this implementation are printed beside the expected suspicion timeouts.
The simulated network is also used by tests/test_members and benchmarks/capacity."""

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


class SimulatedNetwork:
    """Simulated network: datagrams are delayed, lost or duplicated; streams arrive whole or not at all."""

    def __init__(self, seed: int, loss: float = 0.0, duplication: float = 0.0, is_measuring: bool = False) -> None:
        self.rng, self.loss, self.duplication, self.is_measuring = random.Random(seed), loss, duplication, is_measuring
        self.now = 1000.0
        self.members: dict[str, Protocol] = {}  # by address
        self.is_blocked: Callable[[str, str], bool] = lambda a, b: False
        self.queued_while_paused: dict[str, list[tuple[str, Message]]] = {}
        self.state_changes: list[tuple[float, str, str, str]] = []  # (time, observer, member, state)
        self.sent_bytes: dict[str, int] = {}
        self.max_datagram_bytes = 0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self._ticks: dict[str, float] = {}

    def schedule(self, when: float, call: Callable[[], None]) -> None:
        """Schedules a call at a virtual time."""
        self._serial += 1
        heapq.heappush(self._queue, (when, self._serial, call))

    def add(self, ident: str, address: str, seeds: list[str], timing: Timing | None = None) -> Protocol:
        """Adds a member that joins through its seeds."""
        member = Protocol(ident, address, random.Random(self.rng.random()), self.now, timing or Timing())
        self.members[address] = member
        self.apply_effects(member, member.join(seeds))
        return member

    def kill(self, address: str) -> None:
        """Removes a member without notice."""
        del self.members[address]
        self._ticks.pop(address, None)
        self.queued_while_paused.pop(address, None)

    def pause(self, address: str) -> None:
        """Suspends a member; its messages are queued."""
        self.queued_while_paused[address] = []

    def resume(self, address: str) -> None:
        """Resumes a member, which gets the newest 200 of the queued messages, as from a socket's buffer."""
        queued, member = self.queued_while_paused.pop(address), self.members[address]
        self.apply_effects(member, member.tick(self.now))
        for source, body in queued[-200:]:
            self.apply_effects(member, member.receive(self.now, source, body))

    def apply_effects(self, member: Protocol, effects: list[Effect]) -> None:
        """Executes the effects of a member's step and schedules its next tick."""
        for effect in effects:
            if isinstance(effect, Changed):
                self.state_changes.append((self.now, member.id, effect.id, effect.state))
            else:
                self._send(member, effect)
        self._wake(member)

    def _wake(self, member: Protocol) -> None:
        when = max(self.now, member.next_tick())  # the next tick of a resumed member may lie in the past
        if self._ticks.get(member.address, math.inf) <= when:
            return
        self._ticks[member.address] = when

        def tick() -> None:
            if self.members.get(member.address) is member and self._ticks.get(member.address) == when:
                del self._ticks[member.address]
                if member.address not in self.queued_while_paused:  # a paused member ticks when it is resumed
                    self.apply_effects(member, member.tick(self.now))

        self.schedule(when, tick)

    def _send(self, member: Protocol, send: Send) -> None:
        if self.is_measuring:
            size = len(_encode(Envelope(member.id, 1, 1, send.body))) + OVERHEAD_BYTES
            self.sent_bytes[member.address] = self.sent_bytes.get(member.address, 0) + size
            if not send.stream:
                self.max_datagram_bytes = max(self.max_datagram_bytes, size)
        copies = 1
        if not send.stream:
            copies = 0 if self.rng.random() < self.loss else 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            delay = 0.0005 + self.rng.expovariate(1 / 0.002) * (3 if send.stream else 1)
            self.schedule(self.now + delay, lambda: self._arrive(member.address, send))

    def _arrive(self, source: str, send: Send) -> None:
        target = self.members.get(send.to)
        if target is None or self.is_blocked(source, send.to) or send.stream and self.is_blocked(send.to, source):
            return
        if send.to in self.queued_while_paused:
            self.queued_while_paused[send.to].append((source, send.body))
            return
        self.apply_effects(target, target.receive(self.now, source, send.body))

    def run(self, until: float) -> None:
        """Runs scheduled calls until a virtual time."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = until

    def has_converged(self) -> bool:
        """Reports whether every member considers exactly the members that exist alive."""
        existing = {m.id for m in self.members.values()}
        return all({x.id for x in m.alive_members()} | {m.id} == existing for m in self.members.values())


def build_network(size: int, seed: int, timing: Timing | None = None, **options: Any) -> SimulatedNetwork:
    """Returns a network of `size` members that joined through the first and agree on who is alive.

    Raises RuntimeError if they don't within a minute."""
    net = SimulatedNetwork(seed, **options)
    for n in range(size):
        net.add(f"m{n}", f"a{n}", ["a0"], timing)
        net.run(net.now + 0.01)
    for _ in range(300):
        if net.has_converged():
            return net
        net.run(net.now + 0.2)
    raise RuntimeError(f"{size} members do not agree on who is alive after a minute")


def measure_size(size: int, seconds: float, deaths: int, seed: int, progress: Progress) -> dict[str, Any]:
    """Measures joining, load without changes, detection of deaths, and false positives under loss, at one size."""
    task = progress.add_task(f"{size} members", total=2 + deaths)
    net = build_network(size, seed, is_measuring=True)
    join_seconds = round(net.now - 1000.0 - size * 0.01, 2)
    net.run(net.now + 30.0)  # until gossip about the joins has ended
    net.sent_bytes.clear()
    begin = net.now
    net.run(begin + 20.0)
    idle_rates = [sent / 20.0 for sent in net.sent_bytes.values()]
    progress.update(task, advance=1)
    detection_times: list[float] = []
    for n in range(deaths):
        victim = f"a{size - 1 - n}"
        name, when = net.members[victim].id, net.now
        net.state_changes.clear()
        net.kill(victim)
        for _ in range(400):
            net.run(net.now + 0.5)
            delays = [at - when for at, _, member, state in net.state_changes if member == name and state == DEAD]
            if len(delays) >= len(net.members):
                break
        detection_times += delays
        progress.update(task, advance=1)
    false_positives: dict[str, Any] = {}
    for loss in (0.05, 0.2):
        lossy = build_network(size, seed + 1)
        lossy.loss = loss
        lossy.state_changes.clear()
        lossy.run(lossy.now + seconds)
        false_positives[f"{loss:g}"] = {
            "deaths": sum(state == DEAD for *_, state in lossy.state_changes),
            "suspected": sum(m.counts.get("suspected", 0) for m in lossy.members.values()),
            "memberSeconds": round(size * seconds),
        }
    progress.update(task, advance=1)
    min_timeout = min_suspicion_timeout(size, 1.0)
    return {
        "members": size,
        "joinedAfter": join_seconds,
        "allKnowMedian": round(statistics.median(detection_times), 2),
        "allKnow99th": round(sorted(detection_times)[int(0.99 * (len(detection_times) - 1))], 2),
        "missed": size * deaths - sum(range(1, deaths + 1)) - len(detection_times),
        "suspicionFrom": round(min_timeout, 2),
        "suspicionTo": round(min_timeout * MAX_TIMEOUT_MULTIPLIER, 2),
        "bytesAMemberASecond": round(statistics.mean(idle_rates), 1),
        "mostBytes": round(max(idle_rates), 1),
        "longestDatagram": net.max_datagram_bytes,
        "falseDeathsAtLoss": false_positives,
    }


def main() -> int:
    """Measures each size and prints the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--sizes", default="50,200,500")
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--deaths", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", default="")
    arguments = parser.parse_args()
    with Progress(console=Console(stderr=True)) as progress:
        rows = [
            measure_size(int(size), arguments.seconds, arguments.deaths, arguments.seed, progress)
            for size in arguments.sizes.split(",")
        ]
    text = json.dumps(rows, indent=1)
    print(text)
    if arguments.out:
        with open(arguments.out, "w", encoding="utf-8") as file:
            file.write(text + "\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())


__all__ = ["ALIVE", "SimulatedNetwork", "build_network", "measure_size"]
