"""Tests the core without sockets: exchanges, a failing decision module, decoding of headers, and its imports."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path
from typing import Any

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from brackenpulley.core.answer_progress import AnswerProgress
from brackenpulley.core.exchange import Answer, Exchange, ExchangeError, RelayResult, Verdict
from brackenpulley.core.ingress import Ingress
from brackenpulley.core.message import Message, MessageError, decode, parse_duration, parse_weight
from brackenpulley.metrics import Metrics
from brackenpulley.policy.brain import DecisionModule
from brackenpulley.policy.interface import MessageReceived, Outcome, SetTimer

from .test_machine import MACHINE_SETTINGS
from .util import server_list, settings

ROOT = Path(__file__).parent.parent


class Ports:
    """A clock, timers, a counter, a log and a south side in one object."""

    def __init__(self) -> None:
        self.now, self.timers, self.callbacks, self.answers = 1000.0, list[Any](), list[Any](), list[Answer]()
        self.is_written, self.is_unsent = True, False

    def call_at(self, when: float, callback: Any) -> Any:
        self.timers.append(callback)
        return self

    def cancel(self) -> None: ...
    def add(self, name: int, amount: float, ttl: float) -> None: ...
    def info(self, event: str, **more: Any) -> None: ...
    def exception(self, event: str, **more: Any) -> None: ...

    def drop(self) -> bool:
        return self.is_written

    def recall(self) -> bool:
        return self.is_unsent

    def stream_now(self) -> bool:
        return False

    def answer_progress(self) -> AnswerProgress:
        return AnswerProgress()

    def start(
        self, message: Message, server: str, timeout: float, on_done: Any, on_streaming: Any, on_begun: Any
    ) -> Any:
        self.callbacks.append(on_done)
        return self


def make(**more: Any) -> tuple[Ports, Ingress]:
    ports = Ports()
    ingress = Ingress(DecisionModule(settings(**more), 1, ports.now), lambda: ports.now, ports, ports, Metrics(), ports)
    ingress.update_servers(server_list())
    return ports, ingress


def ask(ports: Ports, ingress: Ingress, ident: str = "1") -> Exchange:
    message = Message(ident, "check", "gold", 7, 5.0, 1.0, 1, 0, False)
    exchange = ingress.accept(message, ports.answers.append, ports)
    assert exchange is not None
    return exchange


def test_an_exchange_lets_one_relay_out_and_one_answer_through() -> None:
    ports, ingress = make()
    exchange = ask(ports, ingress)
    with pytest.raises(ExchangeError):
        exchange.relay(
            "s1",
            0.0,
            1.0,
            lambda exchange, attempt, result: None,
            lambda exchange, attempt, result: None,
            lambda exchange, attempt: None,
        )
    ports.callbacks[0](RelayResult("ok", (b"", [])))
    with pytest.raises(ExchangeError):
        exchange.answer(Answer("failed", 502))
    ports.callbacks[0](RelayResult("ok", (b"", [])))  # a second result of the same relay is ignored
    assert [a.status for a in ports.answers] == [200] and not ingress.exchanges


def test_an_end_after_giving_up_is_not_heard() -> None:
    ports, ingress = make()
    exchange = ask(ports, ingress)
    ingress.disconnect(exchange)
    ports.callbacks[0](RelayResult("ok", (b"", [])))
    assert not ports.answers and not ingress.exchanges and ingress.metrics.counts["relay_cancelled"] == 1


@pytest.mark.parametrize(("is_written", "status"), [(True, "timeout"), (False, "connect_failed")])
def test_giving_up_tells_whether_it_may_have_run(is_written: bool, status: str) -> None:
    ports, ingress = make()
    ports.is_written = is_written
    ask(ports, ingress)
    ports.now += 5.0
    ports.timers[-1]()
    assert ingress.metrics.counts["relay_" + status] == 1 and len(ports.answers) == 1


@pytest.mark.parametrize(("is_written", "status"), [(True, "cancelled"), (False, "moot")])
def test_a_client_that_leaves_tells_whether_it_may_have_run(is_written: bool, status: str) -> None:
    ports, ingress = make()
    ports.is_written = is_written
    ingress.disconnect(ask(ports, ingress))
    assert ingress.metrics.counts["relay_" + status] == 1 and not ports.answers and not ingress.exchanges


@pytest.mark.parametrize("kind", [MessageReceived, Outcome])
def test_a_module_that_fails_still_leaves_an_answer(kind: type) -> None:
    ports, ingress = make()
    handle = ingress.decision_module.handle

    def failing(now: float, event: Any) -> Any:
        if isinstance(event, kind):
            raise RuntimeError("planted failure")
        return handle(now, event)

    ingress.decision_module.handle = failing  # type: ignore[method-assign]
    ask(ports, ingress)
    for report in ports.callbacks:
        report(RelayResult("error"))
    assert [a.status for a in ports.answers] == [500] and not ingress.exchanges


def test_a_module_that_decides_nothing_still_leaves_an_answer() -> None:
    ports, ingress = make()
    ingress.decision_module.handle = lambda now, event: [SetTimer(1, 1.0)]  # type: ignore[method-assign, assignment]
    ask(ports, ingress)
    assert [a.status for a in ports.answers] == [500]


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("480m", 0.48),
        ("2500u", 0.0025),
        ("99999999999S", 3600.0),
        ("", None),
        ("m", None),
        ("1.5m", None),
        ("-1m", None),
        ("5x", None),
        ("٣m", None),
    ],
)
def test_durations(text: str, seconds: float | None) -> None:
    if seconds is None:
        with pytest.raises(MessageError):
            parse_duration(text)
    else:
        assert parse_duration(text) == pytest.approx(seconds)


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("units=2,spread=3,first=1", (2.0, 3, 1)),
        (" first=1, units=8 ", (8.0, 1, 1)),
        ("", (1.0, 1, 0)),
        ("new=x,units=4", (4.0, 1, 0)),
        ("spread=0", (1.0, 0, 0)),
        ("units=1,units=2", None),
        ("units=", None),
        ("units=1e9", None),
    ],
)
def test_weights(text: str, found: Any) -> None:
    if found is None:
        with pytest.raises(MessageError):
            parse_weight(text)
    else:
        assert parse_weight(text) == found


@pytest.mark.parametrize(
    ("path", "firm"),
    [
        ("/check/00000000b4d65521", 0xB4D65521),
        ("/check/x/00000001ffffffff?a=/b", 0x1FFFFFFFF),
        ("/check/0000000200000000", -1),
        ("/", -1),
        ("/check/-1", -1),
        ("/check/0x1", -1),
        ("/check/1_0", -1),
    ],
)
def test_firms(path: str, firm: int) -> None:
    headers = {"x-request-id": "1", "x-timeout": "480m"}
    if firm < 0:
        with pytest.raises(MessageError):
            decode(headers, path)
    else:
        found = decode(headers, path)
        assert (found.firm, found.priority_class, found.timeout) == (firm, "check", pytest.approx(0.45))


class ArbitraryEvents(RuleBasedStateMachine):
    """Messages, relay results, disconnecting clients, verdicts and timers in any order.

    Each message gets one answer, has at most one relay in flight, and its exchange is released in the end.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now, self.serial, self.timers = 1000.0, 0, list[tuple[float, Any]]()
        self.relays: dict[str, list[Any]] = {}
        self.answers: dict[str, list[Answer]] = {}
        self.disconnected: set[str] = set()
        self.pending_verdicts: dict[str, Any] = {}
        self.ingress = Ingress(DecisionModule(settings(), 1, self.now), lambda: self.now, self, self, Metrics(), self)
        self.ingress.update_servers(server_list(6))

    # Stands in for the timers, the counter, the log, the south side and the authoriser.
    def call_at(self, when: float, callback: Any) -> Any:
        entry = [callback]
        self.timers.append((when, entry))
        return Handle(entry.clear)

    def add(self, name: int, amount: float, ttl: float) -> None: ...
    def info(self, event: str, **more: Any) -> None: ...

    def exception(self, event: str, **more: Any) -> None:
        raise AssertionError(event)

    def start(
        self, message: Message, server: str, timeout: float, on_done: Any, on_streaming: Any, on_begun: Any
    ) -> Any:
        assert message.id not in self.relays, "two relays in flight"
        self.relays[message.id] = [on_done]
        if server == "s0":  # fails before start returns
            del self.relays[message.id]
            on_done(RelayResult("connect_failed"))
        return Handle(lambda: self.relays.pop(message.id, None))

    def ask(self, message: Message, timeout: float, on_done: Any) -> Any:
        self.pending_verdicts[message.id] = on_done
        return Handle(lambda: self.pending_verdicts.pop(message.id, None))

    # The events.
    @rule(
        priority_class=st.sampled_from(["check", "push", "blast"]),
        timeout=st.sampled_from([0.0, 3.0, 9.0, 9.0]),
        is_authorised=st.booleans(),
        units=st.integers(1, 3),
    )
    def message(self, priority_class: str, timeout: float, is_authorised: bool, units: int) -> None:
        self.serial += 1
        ident = str(self.serial)
        self.ingress.authoriser = self if is_authorised else None
        self.answers[ident] = []
        message = Message(ident, priority_class, "gold", self.serial % 20, timeout, units, 1, 0, False)
        exchange = self.ingress.accept(message, self.answers[ident].append, self)
        assert exchange is not None
        if ident in self.ingress.exchanges:
            assert self.ingress.accept(message, self.answers[ident].append, self) is None

    @rule(pick=st.integers(0, 99), kind=st.sampled_from(["allow", "deny", "unknown"]), fail_open=st.booleans())
    def verdict(self, pick: int, kind: str, fail_open: bool) -> None:
        if self.pending_verdicts:
            self.ingress.fail_open = fail_open
            self.pending_verdicts.pop(sorted(self.pending_verdicts)[pick % len(self.pending_verdicts)])(
                Verdict(kind, 403)
            )

    @rule(
        pick=st.integers(0, 99), status=st.sampled_from(["ok", "error", "full", "reset", "connect_failed", "granted"])
    )
    def end(self, pick: int, status: str) -> None:
        if self.relays:
            (report,) = self.relays.pop(sorted(self.relays)[pick % len(self.relays)])
            report(RelayResult(status, (b"", [])))
            report(RelayResult("ok", (b"", [])))  # a second result is ignored

    @rule(pick=st.integers(0, 99))
    def leave(self, pick: int) -> None:
        if self.ingress.exchanges:
            exchange = self.ingress.exchanges[sorted(self.ingress.exchanges)[pick % len(self.ingress.exchanges)]]
            self.disconnected.add(exchange.message.id)
            self.ingress.disconnect(exchange)

    @rule(step=st.sampled_from([0.05, 0.5, 4.0]))
    def wait(self, step: float) -> None:
        self.now += step
        for entry in [entry for when, entry in self.timers if when <= self.now]:
            if entry:
                entry.pop()()
        self.timers = [(when, entry) for when, entry in self.timers if entry]

    @invariant()
    def one_answer_each(self) -> None:
        for ident, answers in self.answers.items():
            is_pending = ident in self.relays or ident in self.pending_verdicts
            assert len(answers) <= 1 and (answers or is_pending or ident in self.disconnected), ident
            assert is_pending == (ident in self.ingress.exchanges), ident
        assert set(self.ingress.decision_module.messages) <= set(self.relays)
        # One timer for each relay, and that of the decision module.
        assert sum(bool(entry) for _, entry in self.timers) <= len(self.relays) + 1


class Handle:
    """A timer or a call in progress, which can be cancelled or dropped."""

    def __init__(self, on_cancel: Any) -> None:
        self._on_cancel = on_cancel

    def cancel(self) -> None:
        self._on_cancel()

    def drop(self) -> bool:
        self._on_cancel()
        return True

    def recall(self) -> bool:
        return False

    def stream_now(self) -> bool:
        return False

    def answer_progress(self) -> AnswerProgress:
        return AnswerProgress()


ArbitraryEvents.TestCase.settings = MACHINE_SETTINGS
TestArbitraryEvents = ArbitraryEvents.TestCase


def imports(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add("." * node.level + (node.module or ""))
    return names


@pytest.mark.parametrize("name", ["answer_progress", "attempt_log", "exchange", "ingress", "message"])
def test_the_core_imports_no_wire(name: str) -> None:
    allowed = {
        "__future__",
        "collections",
        "collections.abc",
        "dataclasses",
        "enum",
        "functools",
        "math",
        "typing",
        ".answer_progress",
        ".attempt_log",
        ".exchange",
        ".message",
        "..metrics",
        "..policy",
        "..policy.brain",
        "..policy.interface",
    }
    assert imports(ROOT / "brackenpulley" / "core" / f"{name}.py") <= allowed


def test_nothing_of_ours_uses_asyncio_or_threads() -> None:
    found = {name for path in (ROOT / "brackenpulley").rglob("*.py") for name in imports(path)}
    assert "selectors" in found and not found & {"asyncio", "threading", "concurrent.futures", "multiprocessing"}


def test_the_platforms_program_loads_nothing_of_the_second_front() -> None:
    code = (
        "import sys, brackenpulley.serve, brackenpulley.cli\n"
        "print([m for m in sys.modules if m.split('.')[0] in ('h2', 'grpc', 'google', 'envoy')"
        " or m.startswith(('brackenpulley.authz', 'brackenpulley.xds'))])"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert result.stdout.strip() == "[]", result.stdout + result.stderr
