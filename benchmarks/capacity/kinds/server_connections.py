"""Measures the connections that one ingress keeps to sim servers, and how many attempts need a new one.

The decision module runs alone in virtual time. Each number of servers has the requests and ingresses of that point
between the current and the target load."""

from __future__ import annotations

import random

from brackenpulley.policy import interface
from brackenpulley.policy.brain import DecisionModule
from brackenpulley.settings import decode_settings as decode
from brackenpulley.standins.settings import build_settings

from ..load import CURRENT_LOAD, TARGET_LOAD
from ..measure import REPEATS, Slope, make_slope
from .lists import ModuleWithInventory

SIZES = (60, 1000, 4000, 12000)
IDLE_TIMEOUT_SECONDS = 30.0  # for which an idle connection is kept
ANSWER_SECONDS = 0.1  # latency of a server
RUN_SECONDS = 45.0
OBSERVED_SECONDS = 15.0  # at the end of the run


class ModuleWithConnections(ModuleWithInventory):
    """A decision module whose relays use an idle connection where there is one and open a new one otherwise."""

    def __init__(self, servers: int, ingresses: int, seed: int) -> None:
        super().__init__()
        raw = build_settings(ingresses, 0, has_counter=False)
        for plan in raw["TiersOfService"]:
            plan.update(QuotaRate=1e6, Burst=1e6)
        self.decision_module = DecisionModule(decode(raw), seed, self.now)
        self.idle_connections: dict[str, list[float]] = {}  # by server: since when each is idle
        self.relays_in_flight: list[tuple[float, str, str, bool]] = []
        self.attempts = self.new_connections = 0
        self.handle_event(
            interface.ServerList(
                "full", [interface.ServerEntry(f"s{n}", f"r{n % 3}-z{n % 12}", n // 12 % 100) for n in range(servers)]
            )
        )

    def handle_event(self, event: interface.Event) -> None:
        """Passes an event to the decision module and applies its actions."""
        for action in self.decision_module.handle(self.now, event):
            if isinstance(action, interface.SetTimer):
                self.serial += 1
                self.timers.append((self.now + action.delay, self.serial, action.token))
                self.timers.sort()
            elif isinstance(action, interface.Send):
                self.attempts += 1
                idle_since = [
                    since
                    for since in self.idle_connections.get(action.server, [])
                    if self.now - since < IDLE_TIMEOUT_SECONDS
                ]
                self.new_connections += not idle_since
                self.idle_connections[action.server] = idle_since[:-1]
                self.relays_in_flight.append((self.now + ANSWER_SECONDS, action.id, action.server, True))

    def run_until(self, when: float) -> None:
        """Runs timers and ends relays in order until a point in time."""
        while (
            self.timers and self.timers[0][0] <= when or self.relays_in_flight and self.relays_in_flight[0][0] <= when
        ):
            if self.relays_in_flight and (not self.timers or self.relays_in_flight[0][0] <= self.timers[0][0]):
                self.now, ident, server, _ = self.relays_in_flight.pop(0)
                self.idle_connections.setdefault(server, []).append(self.now)
                self.handle_event(interface.Outcome(ident, server, 0, "ok", ANSWER_SECONDS, True))
            else:
                self.now, _, token = self.timers.pop(0)
                self.handle_event(interface.TimerFired(token))
        self.now = when

    def count_held(self) -> int:
        """Returns the connections that are in use or idle."""
        return len(self.relays_in_flight) + sum(
            self.now - since < IDLE_TIMEOUT_SECONDS
            for idle_since in self.idle_connections.values()
            for since in idle_since
        )


def measure_size(servers: int, seed: int) -> dict[str, float]:
    """Returns the connections held with so many servers, and the fraction of attempts that open one."""
    fraction = (servers - CURRENT_LOAD["servers"]) / (TARGET_LOAD["servers"] - CURRENT_LOAD["servers"])
    ingresses = round(CURRENT_LOAD["ingresses"] + fraction * (TARGET_LOAD["ingresses"] - CURRENT_LOAD["ingresses"]))
    rate = (CURRENT_LOAD["requests"] + fraction * (TARGET_LOAD["requests"] - CURRENT_LOAD["requests"])) / ingresses
    module, rng = ModuleWithConnections(servers, ingresses, seed), random.Random(seed)
    started_at, serial, seen_before = module.now, 0, (0, 0)
    when = started_at
    while when < started_at + RUN_SECONDS:
        when += rng.expovariate(rate)
        module.run_until(when)
        if when < started_at + RUN_SECONDS - OBSERVED_SECONDS:
            seen_before = module.attempts, module.new_connections
        serial += 1
        module.handle_event(
            interface.MessageReceived(
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
    return {
        "held": module.count_held(),
        "new": (module.new_connections - seen_before[1]) / max(1, module.attempts - seen_before[0]),
    }


def measure_slopes(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    measurements = {n: [measure_size(n, seed + k) for k in range(REPEATS)] for n in sizes}

    def collect_points(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    return [
        make_slope(
            "kept.held",
            "connections that an ingress holds, at the line's requests for so many servers",
            "servers",
            "connections",
            collect_points("held"),
            source="virtual time",
            seed=seed,
        ),
        make_slope(
            "kept.new",
            "part of its attempts that need a handshake",
            "servers",
            "part",
            collect_points("new"),
            source="virtual time",
            seed=seed,
        ),
    ]
