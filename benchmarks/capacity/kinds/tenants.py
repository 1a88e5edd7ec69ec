"""Measures the firms that an ingress holds: their memory, and the cost of its timers by their number."""

from __future__ import annotations

from brackenpulley.policy import interface
from brackenpulley.policy.brain import DecisionModule
from brackenpulley.settings import decode_settings as decode
from brackenpulley.standins.settings import build_settings

from ..measure import REPEATS, Slope, make_slope, measure_cpu, measure_memory
from .lists import ModuleWithInventory

SIZES = (1000, 4000, 11000, 44000)


class ModuleWithFirms(ModuleWithInventory):
    """A decision module to which each firm sends one message, answered at once."""

    def __init__(self, ingresses: int = 40) -> None:
        super().__init__()
        self.decision_module = DecisionModule(decode(build_settings(ingresses, 0)), 1, self.now)
        self.calls = 0
        self.handle_event(
            interface.ServerList("full", [interface.ServerEntry(f"s{n}", "hall-a", n % 7) for n in range(20)])
        )

    def handle_event(self, event: interface.Event) -> None:
        """Passes an event to the decision module and applies its actions."""
        for action in self.decision_module.handle(self.now, event):
            if isinstance(action, interface.Send):
                self.handle_event(interface.Outcome(action.id, action.server, 0, "ok", 0.02, True))
            elif isinstance(action, interface.AddToCounter):
                self.calls += 1
                self.handle_event(interface.CounterResult(action.name, "ok", action.amount, 0.005))
            elif isinstance(action, interface.SetTimer):
                self.serial += 1
                self.timers.append((self.now + action.delay, self.serial, action.token))
                self.timers.sort()

    def meet_firms(self, firms: int) -> None:
        """Sends one message of each firm, all within 30 s."""
        for n in range(firms):
            self.now += 30.0 / firms
            while self.timers and self.timers[0][0] <= self.now:
                self.handle_event(interface.TimerFired(self.timers.pop(0)[2]))
            self.handle_event(interface.MessageReceived(f"m{n}", "load-sim", "county", n + 1, 4.0, 1.0, 2, n % 40))


def measure_size(firms: int) -> list[dict[str, float]]:
    """Measures a module that holds so many firms."""

    def make() -> ModuleWithFirms:
        made = ModuleWithFirms()
        made.meet_firms(firms)
        return made

    retained, _, made = measure_memory(make)
    measurements = []
    for _ in range(REPEATS):
        rest = measure_cpu(lambda: made.run_timers(2.0)) / 2.0
        measurements.append(
            {
                "memory": retained / 1e6,
                "rest": rest * 100,
                "hold": measure_cpu(lambda: made.decision_module.firms.expire(made.now - 60.0)) * 1000,
            }
        )
    return measurements


def measure_slopes(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    measurements = {n: measure_size(n) for n in sizes}

    def collect_points(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    return [
        make_slope(
            "tenants.memory",
            "firms met within the last minute",
            "firms held",
            "MB",
            collect_points("memory"),
            seed=seed,
        ),
        make_slope(
            "tenants.rest",
            "the module's timers with so many firms",
            "firms held",
            "% of a core",
            collect_points("rest"),
            "least",
            seed=seed,
        ),
        make_slope(
            "tenants.hold",
            "the turn that lets old firms go",
            "firms held",
            "ms",
            collect_points("hold"),
            "least",
            seed=seed,
        ),
    ]
