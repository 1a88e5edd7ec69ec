"""A gateway with small settings, and a driver that keeps the clock."""

from __future__ import annotations

from typing import Any

from brackenpulley.policy.brain import DecisionModule
from brackenpulley.policy.interface import (
    Action,
    ClassSpec,
    Event,
    MessageReceived,
    PlanSpec,
    ServerEntry,
    ServerList,
    Settings,
)

CLASSES = [
    ClassSpec("check", aim=2.0, deadline=5.0, worth=1.0, effect="safe"),
    ClassSpec("push", aim=4.0, deadline=12.0, worth=3.0, effect="keyed", group="cell", window=8.0),
    ClassSpec("blast", aim=5.0, deadline=12.0, worth=5.0, effect="unsafe"),
]
PLAN = PlanSpec("gold", rate=10.0, burst=20.0)


def settings(**more: Any) -> Settings:
    base: dict[str, Any] = dict(
        classes=CLASSES,
        plans=[PLAN],
        gateways=3,
        zone="a",
        max_attempts=3,
        cancel=True,
        counter=True,
        cold_from=0.2,
        cold_time=10.0,
        fall_multiple=3.0,
        fall_time=2.0,
        drain_grace=1.0,
        most_units=4,
    )
    return Settings(**{**base, **more})


def fleet(count: int = 4, **more: Any) -> ServerList:
    return ServerList("full", [ServerEntry(f"s{n}", zone="ab"[n % 2], cell=n % 2, **more) for n in range(count)])


class Drive:
    def __init__(self, servers: int = 4, start: float = 1000.0, **more: Any) -> None:
        self.now, self.serial = start, 0
        self.decision_module = DecisionModule(settings(**more), 7, start)
        self.timer = 0
        self.log: list[Action] = []
        if servers:
            self.do(fleet(servers))

    def do(self, event: Event) -> list[Action]:
        acts = self.decision_module.handle(self.now, event)
        self.log += acts
        return acts

    def ask(self, cls: str = "check", customer: int = 1, **more: Any) -> list[Action]:
        self.serial += 1
        args: dict[str, Any] = dict(plan="gold", time_left=5.0, units=1.0, spread=1)
        return self.do(MessageReceived(f"{self.serial:016x}", cls, firm=customer, **{**args, **more}))


def of(kind: type, acts: list[Action]) -> list[Any]:
    return [a for a in acts if isinstance(a, kind)]
