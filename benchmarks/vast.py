"""A day at size in virtual time: many decision modules, sim servers, a counter of small capacity, firms of all habits.

    python -m benchmarks.vast --seed 3 --trouble join

Everything that the modules hear and do goes through their own events and actions; nothing waits in real time. The
world knows each firm's true store, so that it tells what no ingress can see: work let in beyond quotas, and refusals
with room.
"""

from __future__ import annotations

import argparse
import heapq
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from brackenpulley.policy import interface as i
from brackenpulley.policy.brain import DecisionModule

CLASSES = [
    ("load-sim", 2.9, 4.0, 2.0, "safe"),
    ("save-progress", 2.9, 7.5, 2.0, "safe"),
    ("submit-result", 2.9, 7.5, 6.0, "keyed"),
]
PLANS = [
    ("starter", 1.7, 16.0, 0.5, 0.6, 0.25),
    ("school", 2.9, 16.0, 0.8, 1.2, 0.34),
    ("county", 8.6, 33.0, 1.2, 0.5, 0.23),
    ("national", 18.0, 23.0, 1.6, 0.0, 0.18),
]
WORK, UNIT, CORES, WAY = 0.33, 0.157, 3, 0.001  # s of work: a request on average, a unit; cores; s one way
SLOTS, WAITING = 18, 45  # a server's slots and its waiting room


@dataclass(slots=True)
class Firm:
    key: int
    plan: i.PlanSpec
    kind: str
    use: float  # of its rate
    spread: int
    first: int
    weights: list[float]
    store: float = 0.0
    at: float = 0.0
    ideal: float = 0.0  # the store of one gateway that sees all first tries
    ideal_at: float = 0.0
    spike: float = 1.0

    def fill(self, now: float) -> float:
        self.store = min(self.plan.burst, self.store + self.plan.rate * (now - self.at))
        self.at = now
        return self.store


@dataclass(slots=True)
class Server:
    name: str
    zone: str
    started: float = 0.0
    state: str = "up"
    dead: bool = False
    work: int = 0
    queue: list[Any] = field(default_factory=list)
    conns: set[int] = field(default_factory=set)

    def power(self, now: float) -> float:
        age = (now - self.started) / 14.0 if self.started else 1.0
        return min(1.0, 0.25 + 0.75 * age)


@dataclass(slots=True)
class Ask:
    firm: Firm
    cls: int
    units: int
    true: float
    work: float
    until: float
    born: float
    gateway: int
    tries: int = 0
    inside: bool = False
    sent: bool = False


class World:
    def __init__(
        self,
        seed: int,
        gateways: int = 40,
        servers: int = 60,
        load: float = 0.55,
        seconds: float = 25.0,
        counter: float = 220.0,
        trouble: str = "",
    ) -> None:
        self.rng, self.now, self.seconds = random.Random(seed), 1000.0 + seed % 17, seconds
        self.start, self.serial = self.now, 0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.count: Counter[str] = Counter()
        self.worth: Counter[str] = Counter()
        plans = [i.PlanSpec(n, r, b, 0, p, 0.0, o) for n, r, b, p, o, _ in PLANS]
        classes = [
            i.ClassSpec(n, a, d, w, e, "cell" if e == "keyed" else "all", 4.0 if e == "keyed" else 0.0)
            for n, a, d, w, e in CLASSES
        ]
        self.classes = classes
        self.servers = {f"s{n}": Server(f"s{n}", "abc"[n % 3]) for n in range(servers)}
        self.gateways = [
            DecisionModule(
                i.Settings(
                    classes,
                    plans,
                    me=n,
                    gateways=gateways,
                    zone="abc"[n % 3],
                    tick=0.002,
                    max_attempts=6,
                    cancel=True,
                    counter=True,
                    retry_after=True,
                    max_retry_after=2.0,
                    drain_grace=1.0,
                    cold_from=0.17,
                    cold_time=18.0,
                    fall_multiple=2.5,
                    fall_time=3.0,
                    counter_timeout=0.03,
                    meter_period=2.0,
                    most_units=8,
                    settles=True,
                    report_fields=["latency_ms"],
                    report_via="answers",
                ),
                seed * 1000 + n,
                self.now,
            )
            for n in range(gateways)
        ]
        self.held: list[dict[str, Ask]] = [{} for _ in range(gateways)]
        self.out: dict[tuple[int, str], tuple[Server, int, float]] = {}
        self.parts = [0.0, 0.0]  # when each part of the counter is free
        self.each = len(self.parts) / counter
        self.totals: Counter[int] = Counter()
        self.meter: dict[tuple[int, int], float] = {}
        asked = load * servers * CORES / WORK * 2.2  # units a second inside the quotas
        self.firms: list[Firm] = []
        for plan, (*_, share) in zip(plans, PLANS, strict=True):
            for _ in range(max(1, round(asked * share / (plan.rate * 0.53)))):
                kind = self.rng.choices(("calm", "full", "heavy", "spiky"), (0.62, 0.14, 0.08, 0.16))[0]
                use = {"full": 0.95, "heavy": self.rng.uniform(2.5, 4.9)}.get(kind, self.rng.uniform(0.17, 0.49))
                spread = self.rng.randint(gateways // 2, gateways)
                skew = 0.9
                weights = [1 / (k + 1) ** skew for k in range(spread)]
                self.rng.shuffle(weights)
                self.firms.append(
                    Firm(
                        self.rng.getrandbits(32),
                        plan,
                        kind,
                        use,
                        spread,
                        self.rng.randrange(gateways),
                        weights,
                        plan.burst,
                        self.now,
                        plan.burst,
                        self.now,
                    )
                )
        for n in range(gateways):
            self.tell(n, i.ServerList("full", [self.entry(s) for s in self.servers.values()]))
        for firm in self.firms:
            self.at(self.now + self.rng.expovariate(self.rate(firm)), lambda f=firm: self.arrive(f))
            if firm.kind == "spiky":
                self.at(self.now + self.rng.uniform(0, 16), lambda f=firm: self.spiking(f))
        if trouble == "join":
            self.at(self.start + 6, self.join)
        if trouble == "zone":
            self.at(self.start + 6, self.lose)

    def entry(self, s: Server) -> i.ServerEntry:
        return i.ServerEntry(s.name, zone=s.zone, cell=int(s.name[1:]) // 4, state=s.state, started=s.started)

    def at(self, when: float, call: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (when, self.serial, call))

    def run(self) -> None:
        while self.heap and self.now < self.start + self.seconds + 10:
            self.now, _, call = heapq.heappop(self.heap)
            call()

    # Firms

    def rate(self, firm: Firm) -> float:
        return firm.use * firm.spike * firm.plan.rate / 2.2

    def spiking(self, firm: Firm) -> None:
        firm.spike = self.rng.uniform(2, 7.6) / firm.use / 2
        length = self.rng.uniform(1, 4.4)
        self.at(self.now + length, lambda: setattr(firm, "spike", 1.0))
        self.at(self.now + self.rng.uniform(11, 21), lambda: self.spiking(firm))
        self.at(self.now + self.rng.expovariate(self.rate(firm)) % length, lambda: self.arrive(firm, False))

    def arrive(self, firm: Firm, again: bool = True) -> None:
        if self.now > self.start + self.seconds:
            return
        if again or firm.spike > 1:
            self.at(self.now + self.rng.expovariate(self.rate(firm)), lambda: self.arrive(firm, again))
        if not again and firm.spike == 1:
            return
        cls = self.rng.randrange(3)
        units = min(8, max(1, round(self.rng.lognormvariate(0.55, 0.7))))
        firm.ideal = min(firm.plan.burst, firm.ideal + firm.plan.rate * (self.now - firm.ideal_at))
        firm.ideal_at = self.now
        wanted = firm.ideal >= units
        firm.ideal -= units * wanted
        spec = self.classes[cls]
        worth = spec.worth * firm.plan.price * units
        self.worth["asked"] += worth * wanted
        self.worth["asked " + firm.plan.name] += worth * wanted
        self.count["asked"] += 1
        true = max(0.2, units * self.rng.lognormvariate(-0.1, 0.45))
        ask = Ask(firm, cls, units, true, UNIT * true, self.now + spec.deadline * self.rng.uniform(0.5, 1), self.now, 0)
        self.offer(ask)

    def offer(self, ask: Ask) -> None:
        place = self.rng.choices(range(ask.firm.spread), ask.firm.weights)[0]
        ask.gateway = (ask.firm.first + place) % len(self.gateways)
        self.serial += 1
        rid = f"{self.serial:x}"
        ask.sent = False
        ask.tries = 0
        self.held[ask.gateway][rid] = ask
        self.count["tries"] += 1
        self.tell(
            ask.gateway,
            i.MessageReceived(
                rid,
                self.classes[ask.cls].name,
                ask.firm.plan.name,
                ask.firm.key,
                ask.until - self.now,
                ask.units,
                ask.firm.spread,
                ask.firm.first,
            ),
        )

    # The module's actions

    def tell(self, n: int, event: i.Event) -> None:
        for a in self.gateways[n].handle(self.now, event):
            if isinstance(a, i.Send):
                self.send(n, a)
            elif isinstance(a, i.Refuse):
                self.refuse(n, a)
            elif isinstance(a, i.Fail):
                self.held[n].pop(a.id, None)
                self.count["failed"] += 1
            elif isinstance(a, i.SetTimer):
                self.at(self.now + a.delay, lambda t=a.token: self.tell(n, i.TimerFired(t)))
            elif isinstance(a, i.AddToCounter):
                self.call(n, a)
            elif isinstance(a, i.Cancel):
                self.end(n, a.id, a.attempt, "cancelled")

    def refuse(self, n: int, a: i.Refuse) -> None:
        ask = self.held[n].pop(a.id)
        self.count["refused"] += 1
        self.count["refused " + a.reason] += 1
        firm = ask.firm
        if a.reason == "quota":
            self.count["quota of " + firm.kind] += 1
        if firm.fill(self.now) >= firm.plan.burst / 2:
            self.count["refused with room"] += 1
            self.count["with room: " + a.reason] += 1
        if ask.tries >= 0 and self.rng.random() < 0.6:
            wait = a.retry_after if a.retry_after and self.rng.random() < 0.8 else self.rng.uniform(0.1, 0.8)
            if self.now + wait < ask.until - 0.5:
                self.at(self.now + wait, lambda: self.again(ask))

    def again(self, ask: Ask) -> None:
        self.offer(ask)
        ask.tries = -1

    def send(self, n: int, a: i.Send) -> None:
        ask, s = self.held[n][a.id], self.servers[a.server]
        attempt = ask.tries = max(0, ask.tries) + (ask.sent and 1)
        if not ask.sent:
            ask.sent, firm = True, ask.firm
            ask.inside = firm.fill(self.now) >= ask.units
            worth = self.classes[ask.cls].worth * firm.plan.price * ask.units
            if ask.inside:
                firm.store -= ask.units
            else:
                self.worth["over"] += worth * firm.plan.over_cost
                self.count["over"] += 1
                self.count["over of " + firm.kind] += 1
            self.count["units"] += ask.units
            self.count["units over"] += ask.units * (not ask.inside)
            key = (firm.key, int(self.now // 2))
            self.meter[key] = self.meter.get(key, 0.0) + ask.units
        self.count["sends"] += 1
        new = n not in s.conns
        s.conns.add(n)
        self.count["connects"] += new
        self.out[n, a.id] = (s, attempt, self.now)
        until = min(ask.until, self.now + a.timeout) if a.timeout else ask.until
        self.at(until, lambda: self.end(n, a.id, attempt, "timeout"))
        if s.dead:
            return
        self.at(self.now + WAY * (1 + 2 * new), lambda: self.reach(n, a.id, attempt, s, ask))

    def reach(self, n: int, rid: str, attempt: int, s: Server, ask: Ask) -> None:
        if self.out.get((n, rid), (None, -1))[:2] != (s, attempt) or s.dead:
            return
        if s.work + len(s.queue) >= SLOTS + WAITING:
            self.end(n, rid, attempt, "full")
            return
        s.queue.append((n, rid, attempt, ask))
        self.work(s)

    def work(self, s: Server) -> None:
        while s.queue and s.work < CORES:
            n, rid, attempt, ask = s.queue.pop(0)
            if self.out.get((n, rid), (None, -1))[:2] != (s, attempt):
                continue
            s.work += 1
            self.at(self.now + ask.work / s.power(self.now), lambda x=(n, rid, attempt): self.worked(s, x))

    def worked(self, s: Server, x: tuple[int, str, int]) -> None:
        s.work -= 1
        if not s.dead:
            self.end(*x, "ok")
            self.work(s)

    def end(self, n: int, rid: str, attempt: int, status: str) -> None:
        got = self.out.get((n, rid))
        if got is None or got[1] != attempt:
            return
        s, _, sent = self.out.pop((n, rid))
        ask = self.held[n][rid]
        event = i.Outcome(rid, s.name, attempt, status, self.now - sent)
        if status == "ok":
            self.held[n].pop(rid)
            event.closed, event.cost = True, ask.true
            firm = ask.firm
            period = int((self.now - 0.8) // 2) - 1
            event.quota_used = round(1 + 100 * self.meter.get((firm.key, period), 0.0) / (2 * firm.plan.rate))
            if ask.inside:
                firm.fill(self.now)
                firm.store += ask.units - ask.true
            worth = self.classes[ask.cls].worth * firm.plan.price * ask.units
            self.count["ok"] += 1
            if self.now - ask.born <= self.classes[ask.cls].aim and ask.inside:
                self.worth["served"] += worth
                self.worth["served " + firm.plan.name] += worth
                self.worth["served of " + ask.firm.kind] += worth
            elif self.now - ask.born > self.classes[ask.cls].aim:
                self.count["late"] += 1
        self.tell(n, event)

    # The counter

    def call(self, n: int, a: i.AddToCounter) -> None:
        self.count["calls"] += 1
        part = (a.name * 2654435761 >> 7) % len(self.parts)
        done = max(self.parts[part], self.now + 0.005) + self.each
        self.parts[part] = done
        answer, sent = done + 0.005, self.now

        def add() -> None:
            self.totals[a.name] += a.amount
            total = self.totals[a.name]
            if answer - sent <= PATIENCE:
                self.at(answer, lambda: self.tell(n, i.CounterResult(a.name, "ok", total, answer - sent)))

        self.at(done, add)
        if answer - sent > PATIENCE:
            self.count["calls late"] += 1
            self.at(sent + PATIENCE, lambda: self.tell(n, i.CounterResult(a.name, "timeout", 0.0, PATIENCE)))

    # Troubles

    def list_all(self, entries: list[Server]) -> None:
        for n in range(len(self.gateways)):
            change = i.ServerList("changes", [self.entry(s) for s in entries])
            self.at(self.now + self.rng.uniform(0.2, 1.5), lambda n=n, change=change: self.tell(n, change))

    def join(self) -> None:
        old = self.rng.sample(list(self.servers.values()), len(self.servers) * 6 // 10)
        for k, s in enumerate(old):
            self.at(self.now + 7 * k / len(old), lambda s=s: self.replace(s))

    def replace(self, s: Server) -> None:
        new = Server(f"s{len(self.servers)}", s.zone, self.now)
        self.servers[new.name] = new
        s.state = "draining"
        self.list_all([new, s])

    def lose(self) -> None:
        gone = [s for s in self.servers.values() if s.zone == "a"]
        for s in gone:
            s.dead = True

        def told() -> None:
            for s in gone:
                s.state = "gone"
            self.list_all(gone)

        def back() -> None:
            for s in gone:
                s.dead, s.state, s.started, s.work, s.queue, s.conns = False, "up", self.now, 0, [], set()
            self.list_all(gone)

        self.at(self.now + 4, told)
        self.at(self.now + 10, back)

    def report(self) -> dict[str, Any]:
        w, c = self.worth, self.count
        plans = {n: round(w["served " + n] / w["asked " + n], 3) for n, *_ in PLANS}
        whole = w["served"] / w["asked"]
        price = w["over"] / w["asked"]
        counter = 0.02 * c["calls"] / c["asked"]
        return {
            "g": round(0.75 * whole + 0.25 * min(plans.values()) - price - counter, 4),
            "whole": round(whole, 4),
            "over": round(price, 4),
            "counter": round(counter, 4),
            "plans": plans,
            "counts": dict(sorted(c.items())),
        }


PATIENCE = 0.03


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--gateways", type=int, default=40)
    words.add_argument("--servers", type=int, default=60)
    words.add_argument("--load", type=float, default=0.55)
    words.add_argument("--counter", type=float, default=220.0, help="calls a second that it bears")
    words.add_argument("--trouble", choices=["", "join", "zone"], default="")
    told = words.parse_args()
    world = World(told.seed, told.gateways, told.servers, told.load, counter=told.counter, trouble=told.trouble)
    world.run()
    print(json.dumps(world.report(), indent=1))


if __name__ == "__main__":
    main()
