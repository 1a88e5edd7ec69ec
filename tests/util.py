"""Settings for small decision modules, and a driver that supplies the clock and numbers the messages."""

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
    """Settings of one of three ingresses; `more` replaces single values."""
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


def server_list(count: int = 4, **more: Any) -> ServerList:
    """A full inventory of servers s0, s1, ... that alternate between two zones and cells."""
    return ServerList("full", [ServerEntry(f"s{n}", zone="ab"[n % 2], cell=n % 2, **more) for n in range(count)])


class Driver:
    """A decision module with a virtual clock and a record of its actions."""

    def __init__(self, servers: int = 4, start: float = 1000.0, **more: Any) -> None:
        self.now, self.serial = start, 0
        self.decision_module = DecisionModule(settings(**more), 7, start)
        self.timer = 0
        self.actions: list[Action] = []
        if servers:
            self.handle(server_list(servers))

    def handle(self, event: Event) -> list[Action]:
        actions = self.decision_module.handle(self.now, event)
        self.actions += actions
        return actions

    def send_message(self, cls: str = "check", firm: int = 1, **more: Any) -> list[Action]:
        self.serial += 1
        args: dict[str, Any] = dict(plan="gold", time_left=5.0, units=1.0, spread=1)
        return self.handle(MessageReceived(f"{self.serial:016x}", cls, firm=firm, **{**args, **more}))


def select(kind: type, actions: list[Action]) -> list[Any]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]
