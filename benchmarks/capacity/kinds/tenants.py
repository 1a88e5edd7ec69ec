"""Firms that an ingress holds: memory, and what its timers cost by them."""

from __future__ import annotations

from brackenpulley.policy import interface as i
from brackenpulley.policy.brain import DecisionModule
from brackenpulley.settings import decode_settings as decode
from brackenpulley.standins.settings import build_settings

from ..measure import REPEATS, Slope, cpu, memory, slope
from .lists import Listed

SIZES = (1000, 4000, 11000, 44000)


class Firms(Listed):
    """Each firm sends one message, which is answered at once."""

    def __init__(self, places: int = 40) -> None:
        super().__init__()
        self.gateway = DecisionModule(decode(build_settings(places, 0)), 1, self.now)
        self.calls = 0
        self.tell(i.ServerList("full", [i.ServerEntry(f"s{n}", "hall-a", n % 7) for n in range(20)]))

    def tell(self, event: i.Event) -> None:
        for action in self.gateway.handle(self.now, event):
            if isinstance(action, i.Send):
                self.tell(i.Outcome(action.id, action.server, 0, "ok", 0.02, True))
            elif isinstance(action, i.AddToCounter):
                self.calls += 1
                self.tell(i.CounterResult(action.name, "ok", action.amount, 0.005))
            elif isinstance(action, i.SetTimer):
                self.serial += 1
                self.timers.append((self.now + action.delay, self.serial, action.token))
                self.timers.sort()

    def meet(self, firms: int) -> None:
        for n in range(firms):
            self.now += 30.0 / firms
            while self.timers and self.timers[0][0] <= self.now:
                self.tell(i.TimerFired(self.timers.pop(0)[2]))
            self.tell(i.MessageReceived(f"m{n}", "load-sim", "county", n + 1, 4.0, 1.0, 2, n % 40))


def of(firms: int) -> list[dict[str, float]]:
    def make() -> Firms:
        made = Firms()
        made.meet(firms)
        return made

    kept, _, made = memory(make)
    found = []
    for _ in range(REPEATS):
        rest = cpu(lambda: made.rest(2.0)) / 2.0
        found.append(
            {
                "memory": kept / 1e6,
                "rest": rest * 100,
                "hold": cpu(lambda: made.gateway.firms.expire(made.now - 60.0)) * 1000,
            }
        )
    return found


def measured(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    found = {n: of(n) for n in sizes}

    def rows(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in ran]) for n, ran in found.items()]

    return [
        slope("tenants.memory", "firms met within the last minute", "firms held", "MB", rows("memory"), seed=seed),
        slope(
            "tenants.rest",
            "the module's timers with so many firms",
            "firms held",
            "% of a core",
            rows("rest"),
            "least",
            seed=seed,
        ),
        slope("tenants.hold", "the turn that lets old firms go", "firms held", "ms", rows("hold"), "least", seed=seed),
    ]
