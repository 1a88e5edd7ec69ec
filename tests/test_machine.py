"""Legal but hostile event orders; the rules are checked after each step."""

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

PROOF = ("full", "connect_failed", "moot")
EFFECTS = {"check": "safe", "push": "keyed", "blast": "unsafe"}


class Hostile(RuleBasedStateMachine):
    size: dict[str, Any] = {}

    def __init__(self) -> None:
        super().__init__()
        self.d = Driver(servers=6, **self.size)
        self.zone = {f"s{n}": n % 2 for n in range(6)}
        self.state = {f"s{n}": "up" for n in range(6)}
        self.cls: dict[str, str] = {}
        self.out: dict[str, Send] = {}
        self.tries: dict[str, int] = {}
        self.ran: dict[str, tuple[float, str]] = {}
        self.sent_at: dict[str, float] = {}
        self.answers: dict[str, int] = {}

    def see(self, acts: list[Any]) -> None:
        for a in acts:
            if isinstance(a, Send):
                assert a.id not in self.out and not self.answers[a.id]
                assert self.state[a.server] == "up"
                if a.id in self.ran:
                    at, server = self.ran[a.id]
                    effect = EFFECTS[self.cls[a.id]]
                    assert effect != "unsafe"
                    if effect == "keyed":
                        assert self.zone[server] == self.zone[a.server] and self.d.now <= at + 8.0
                self.out[a.id], self.sent_at[a.id] = a, self.d.now
                self.tries[a.id] = self.tries.get(a.id, 0) + 1
                assert self.tries[a.id] <= 3
            elif isinstance(a, Refuse | Fail):
                assert a.id not in self.out
                self.answers[a.id] += 1
                if isinstance(a, Refuse):
                    assert a.id not in self.ran or EFFECTS[self.cls[a.id]] == "safe"
            elif isinstance(a, Cancel):
                assert a.attempt < self.tries[a.id]

    @rule(cls=st.sampled_from(sorted(EFFECTS)), customer=st.integers(1, 4), left=st.floats(0.01, 12.0))
    def request(self, cls: str, customer: int, left: float) -> None:
        rid = f"{self.d.serial + 1:016x}"
        self.cls[rid], self.answers[rid] = cls, 0
        self.see(self.d.send_message(cls, customer, time_left=left, spread=1 + customer % 3))
        assert (rid in self.out) != bool(self.answers[rid])

    @rule(
        pick=st.integers(0, 99),
        closed=st.booleans(),
        status=st.sampled_from(["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"]),
    )
    def outcome(self, pick: int, status: str, closed: bool) -> None:
        if not self.out:
            return
        rid = sorted(self.out)[pick % len(self.out)]
        a = self.out.pop(rid)
        if status not in PROOF:
            self.ran.setdefault(rid, (self.sent_at[rid], a.server))
        if self.answers[rid]:
            closed = True
        if status == "ok" or closed:
            self.answers[rid] = 1
            closed = True
        before = self.answers[rid]
        self.see(self.d.handle(Outcome(rid, a.server, self.tries[rid] - 1, status, 0.1, closed)))
        if closed:
            assert self.answers[rid] == before
        else:
            assert (rid in self.out) != (self.answers[rid] == 1)

    @rule(pick=st.integers(0, 99))
    def gone(self, pick: int) -> None:
        live = [r for r in sorted(self.out) if not self.answers[r]]
        if live:
            rid = live[pick % len(live)]
            self.answers[rid] = 1
            self.see(self.d.handle(ClientGone(rid)))

    @rule(n=st.integers(0, 5), state=st.sampled_from(["up", "draining", "gone"]), fresh=st.booleans())
    def server(self, n: int, state: str, fresh: bool) -> None:
        self.state[f"s{n}"] = state
        entry = ServerEntry(f"s{n}", "ab"[n % 2], n % 2, state=state, started=self.d.now if fresh else 0.0)
        self.see(self.d.handle(ServerList("changes", [entry])))

    @rule(step=st.floats(0.001, 3.0))
    def wait(self, step: float) -> None:
        self.d.now += step
        self.see(self.d.handle(TimerFired(self.d.decision_module.timer_token)))

    @rule(name=st.integers(0, 1 << 60), status=st.sampled_from(["ok", "timeout", "full"]), total=st.floats(0, 50))
    def count(self, name: int, status: str, total: float) -> None:
        self.see(self.d.handle(CounterResult(name, status, total)))

    @rule(call=st.integers(0, 12), status=st.sampled_from(["ok", "full"]), total=st.floats(0, 50))
    def late(self, call: int, status: str, total: float) -> None:
        self.see(self.d.handle(LateCounterResult(call, status, total, 0.06)))

    @rule(data=st.text(max_size=40))
    def peer(self, data: str) -> None:
        self.see(self.d.handle(PeerNote(1, data)))

    @invariant()
    def books_balance(self) -> None:
        assert set(self.d.decision_module.messages) == set(self.out)
        assert all(c.in_flight >= 0 for c in self.d.decision_module.firms.values())
        assert sum(c.in_flight for c in self.d.decision_module.firms.values()) == len(
            select(Send, list(self.out.values()))
        )


class HostileLarge(Hostile):
    """One of hundreds, where peers may talk, the counter answers and probes are allowed."""

    size = dict(gateways=300, probes=True, peers=True, peer_per_s=40.0, report_fields=["queue"])

    @rule(
        n=st.integers(0, 9),
        status=st.sampled_from(["ok", "timeout", "full"]),
        load=st.lists(st.floats(0, 99), max_size=2),
    )
    def probed(self, n: int, status: str, load: list[float]) -> None:
        self.see(self.d.handle(ProbeResult(f"s{n}", status, 0.01, load)))


RUN = hsettings(derandomize=True, deadline=None, max_examples=60, stateful_step_count=40, database=None)
Hostile.TestCase.settings = HostileLarge.TestCase.settings = RUN
TestHostile, TestHostileLarge = Hostile.TestCase, HostileLarge.TestCase
