"""State machine tests: random legal orders of events; the rules of the decision module are checked after each."""

from typing import Any

import hypothesis.strategies as st
from hypothesis import settings as hsettings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from brackenpulley.policy.interface import (
    Cancel,
    ClientGone,
    CounterResult,
    Fail,
    LateCounterResult,
    Outcome,
    PeerNote,
    ProbeResult,
    Refuse,
    Send,
    ServerEntry,
    ServerList,
    TimerFired,
)

from .util import Driver, select

NOT_RUN_STATUSES = ("full", "connect_failed", "moot")
EFFECTS = {"check": "safe", "push": "keyed", "blast": "unsafe"}


class HostileMachine(RuleBasedStateMachine):
    """One of three ingresses before six servers."""

    size: dict[str, Any] = {}

    def __init__(self) -> None:
        super().__init__()
        self.driver = Driver(servers=6, **self.size)
        self.zone = {f"s{number}": number % 2 for number in range(6)}
        self.state = {f"s{number}": "up" for number in range(6)}
        self.classes: dict[str, str] = {}
        self.in_flight: dict[str, Send] = {}
        self.attempts: dict[str, int] = {}
        self.first_runs: dict[str, tuple[float, str]] = {}
        self.sent_at: dict[str, float] = {}
        self.answers: dict[str, int] = {}

    def check_actions(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                assert action.id not in self.in_flight and not self.answers[action.id]
                assert self.state[action.server] == "up"
                if action.id in self.first_runs:
                    at, server = self.first_runs[action.id]
                    effect = EFFECTS[self.classes[action.id]]
                    assert effect != "unsafe"
                    if effect == "keyed":
                        assert self.zone[server] == self.zone[action.server] and self.driver.now <= at + 8.0
                self.in_flight[action.id], self.sent_at[action.id] = action, self.driver.now
                self.attempts[action.id] = self.attempts.get(action.id, 0) + 1
                assert self.attempts[action.id] <= 3
            elif isinstance(action, Refuse | Fail):
                assert action.id not in self.in_flight
                self.answers[action.id] += 1
                if isinstance(action, Refuse):
                    assert action.id not in self.first_runs or EFFECTS[self.classes[action.id]] == "safe"
            elif isinstance(action, Cancel):
                assert action.attempt < self.attempts[action.id]

    @rule(cls=st.sampled_from(sorted(EFFECTS)), firm=st.integers(1, 4), time_left=st.floats(0.01, 12.0))
    def message(self, cls: str, firm: int, time_left: float) -> None:
        message_id = f"{self.driver.serial + 1:016x}"
        self.classes[message_id], self.answers[message_id] = cls, 0
        self.check_actions(self.driver.send_message(cls, firm, time_left=time_left, spread=1 + firm % 3))
        assert (message_id in self.in_flight) != bool(self.answers[message_id])

    @rule(
        pick=st.integers(0, 99),
        closed=st.booleans(),
        status=st.sampled_from(["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"]),
    )
    def outcome(self, pick: int, status: str, closed: bool) -> None:
        if not self.in_flight:
            return
        message_id = sorted(self.in_flight)[pick % len(self.in_flight)]
        action = self.in_flight.pop(message_id)
        if status not in NOT_RUN_STATUSES:
            self.first_runs.setdefault(message_id, (self.sent_at[message_id], action.server))
        if self.answers[message_id]:
            closed = True
        if status == "ok" or closed:
            self.answers[message_id] = 1
            closed = True
        before = self.answers[message_id]
        self.check_actions(
            self.driver.handle(Outcome(message_id, action.server, self.attempts[message_id] - 1, status, 0.1, closed))
        )
        if closed:
            assert self.answers[message_id] == before
        else:
            assert (message_id in self.in_flight) != (self.answers[message_id] == 1)

    @rule(pick=st.integers(0, 99))
    def gone(self, pick: int) -> None:
        waiting = [r for r in sorted(self.in_flight) if not self.answers[r]]
        if waiting:
            message_id = waiting[pick % len(waiting)]
            self.answers[message_id] = 1
            self.check_actions(self.driver.handle(ClientGone(message_id)))

    @rule(number=st.integers(0, 5), state=st.sampled_from(["up", "draining", "gone"]), is_restarted=st.booleans())
    def server(self, number: int, state: str, is_restarted: bool) -> None:
        self.state[f"s{number}"] = state
        entry = ServerEntry(
            f"s{number}", "ab"[number % 2], number % 2, state=state, started=self.driver.now if is_restarted else 0.0
        )
        self.check_actions(self.driver.handle(ServerList("changes", [entry])))

    @rule(step=st.floats(0.001, 3.0))
    def wait(self, step: float) -> None:
        self.driver.now += step
        self.check_actions(self.driver.handle(TimerFired(self.driver.decision_module.timer_token)))

    @rule(name=st.integers(0, 1 << 60), status=st.sampled_from(["ok", "timeout", "full"]), total=st.floats(0, 50))
    def count(self, name: int, status: str, total: float) -> None:
        self.check_actions(self.driver.handle(CounterResult(name, status, total)))

    @rule(call=st.integers(0, 12), status=st.sampled_from(["ok", "full"]), total=st.floats(0, 50))
    def late(self, call: int, status: str, total: float) -> None:
        self.check_actions(self.driver.handle(LateCounterResult(call, status, total, 0.06)))

    @rule(data=st.text(max_size=40))
    def peer(self, data: str) -> None:
        self.check_actions(self.driver.handle(PeerNote(1, data)))

    @invariant()
    def check_balance(self) -> None:
        assert set(self.driver.decision_module.messages) == set(self.in_flight)
        assert all(c.in_flight >= 0 for c in self.driver.decision_module.firms.values())
        assert sum(c.in_flight for c in self.driver.decision_module.firms.values()) == len(
            select(Send, list(self.in_flight.values()))
        )


class LargeHostileMachine(HostileMachine):
    """One of 300 ingresses, with peer notes, counter results and probes."""

    size = dict(gateways=300, probes=True, peers=True, peer_per_s=40.0, report_fields=["queue"])

    @rule(
        number=st.integers(0, 9),
        status=st.sampled_from(["ok", "timeout", "full"]),
        load=st.lists(st.floats(0, 99), max_size=2),
    )
    def probed(self, number: int, status: str, load: list[float]) -> None:
        self.check_actions(self.driver.handle(ProbeResult(f"s{number}", status, 0.01, load)))


MACHINE_SETTINGS = hsettings(derandomize=True, deadline=None, max_examples=60, stateful_step_count=40, database=None)
HostileMachine.TestCase.settings = LargeHostileMachine.TestCase.settings = MACHINE_SETTINGS
TestHostileMachine, TestLargeHostileMachine = HostileMachine.TestCase, LargeHostileMachine.TestCase
