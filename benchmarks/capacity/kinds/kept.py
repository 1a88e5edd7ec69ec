"""Connections that one ingress keeps to sim servers, and how many attempts need a new one: the module alone, in virtual
time, at the line's requests and ingresses for so many servers."""

from __future__ import annotations

import random

from brackenpulley.policy import interface as i
from brackenpulley.policy.brain import DecisionModule
from brackenpulley.settings import decode_settings as decode
from brackenpulley.standins.settings import build_settings

from ..line import SIZE, TODAY
from ..measure import REPEATS, Slope, slope
from .lists import Listed

SIZES = (60, 1000, 4000, 12000)
IDLE, LATENCY, SPAN, LOOK = 30.0, 0.1, 45.0, 15.0  # s: kept unused, of an answer, looked at in all and at the end


class Sending(Listed):
    """A kept connection is used where there is one; a new one else."""

    def __init__(self, servers: int, gateways: int, seed: int) -> None:
        super().__init__()
        raw = build_settings(gateways, 0, has_counter=False)
        for plan in raw["TiersOfService"]:
            plan.update(QuotaRate=1e6, Burst=1e6)
        self.gateway = DecisionModule(decode(raw), seed, self.now)
        self.unused: dict[str, list[float]] = {}  # server: since when each has stood
        self.out: list[tuple[float, str, str, bool]] = []
        self.attempts = self.new = 0
        self.tell(
            i.ServerList("full", [i.ServerEntry(f"s{n}", f"r{n % 3}-z{n % 12}", n // 12 % 100) for n in range(servers)])
        )

    def tell(self, event: i.Event) -> None:
        for action in self.gateway.handle(self.now, event):
            if isinstance(action, i.SetTimer):
                self.serial += 1
                self.timers.append((self.now + action.delay, self.serial, action.token))
                self.timers.sort()
            elif isinstance(action, i.Send):
                self.attempts += 1
                stood = [since for since in self.unused.get(action.server, []) if self.now - since < IDLE]
                self.new += not stood
                self.unused[action.server] = stood[:-1]
                self.out.append((self.now + LATENCY, action.id, action.server, True))

    def until(self, when: float) -> None:
        while self.timers and self.timers[0][0] <= when or self.out and self.out[0][0] <= when:
            if self.out and (not self.timers or self.out[0][0] <= self.timers[0][0]):
                self.now, ident, server, _ = self.out.pop(0)
                self.unused.setdefault(server, []).append(self.now)
                self.tell(i.Outcome(ident, server, 0, "ok", LATENCY, True))
            else:
                self.now, _, token = self.timers.pop(0)
                self.tell(i.TimerFired(token))
        self.now = when

    def held(self) -> int:
        return len(self.out) + sum(self.now - since < IDLE for stood in self.unused.values() for since in stood)


def of(servers: int, seed: int) -> dict[str, float]:
    f = (servers - TODAY["servers"]) / (SIZE["servers"] - TODAY["servers"])
    ingresses = round(TODAY["ingresses"] + f * (SIZE["ingresses"] - TODAY["ingresses"]))
    rate = (TODAY["requests"] + f * (SIZE["requests"] - TODAY["requests"])) / ingresses
    made, rng = Sending(servers, ingresses, seed), random.Random(seed)
    begin, serial, seen = made.now, 0, (0, 0)
    when = begin
    while when < begin + SPAN:
        when += rng.expovariate(rate)
        made.until(when)
        if when < begin + SPAN - LOOK:
            seen = made.attempts, made.new
        serial += 1
        made.tell(
            i.MessageReceived(
                f"m{serial}",
                ("load-sim", "save-progress", "submit-result")[serial % 3],
                "county",
                serial % 500,
                4.0,
                1.0,
                1,
                0,
            )
        )
    return {"held": made.held(), "new": (made.new - seen[1]) / max(1, made.attempts - seen[0])}


def measured(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    found = {n: [of(n, seed + k) for k in range(REPEATS)] for n in sizes}

    def rows(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in some]) for n, some in found.items()]

    return [
        slope(
            "kept.held",
            "connections that an ingress holds, at the line's requests for so many servers",
            "servers",
            "connections",
            rows("held"),
            source="virtual time",
            seed=seed,
        ),
        slope(
            "kept.new",
            "part of its attempts that need a handshake",
            "servers",
            "part",
            rows("new"),
            source="virtual time",
            seed=seed,
        ),
    ]
