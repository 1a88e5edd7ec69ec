"""The core without any wire: its two guards, its way with a failing module, and what it may import."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path
from typing import Any

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from brackenpulley.core.exchange import Answer, Exchange, ExchangeError, RelayEnd, Verdict
from brackenpulley.core.ingress import Ingress
from brackenpulley.core.message import Message, MessageError, decode, duration, weight
from brackenpulley.metrics import Metrics
from brackenpulley.policy.brain import DecisionModule
from brackenpulley.policy.interface import MessageReceived, Outcome, SetTimer

from .test_machine import MACHINE_SETTINGS
from .util import server_list, settings

ROOT = Path(__file__).parent.parent


class Ports:
    """Clock, timers, counter, log and south side in one."""

    def __init__(self) -> None:
        self.now, self.timers, self.ends, self.answers = 1000.0, list[Any](), list[Any](), list[Answer]()
        self.written, self.waits = True, False

    def call_at(self, when: float, call: Any) -> Any:
        self.timers.append(call)
        return self

    def cancel(self) -> None: ...
    def add(self, name: int, amount: float, ttl: float) -> None: ...
    def info(self, event: str, **more: Any) -> None: ...
    def exception(self, event: str, **more: Any) -> None: ...

    def drop(self) -> bool:
        return self.written

    def recall(self) -> bool:
        return self.waits

    def start(self, message: Message, server: str, left: float, done: Any, began: Any) -> Any:
        self.ends.append(done)
        return self


def make(**more: Any) -> tuple[Ports, Ingress]:
    ports = Ports()
    ingress = Ingress(DecisionModule(settings(**more), 1, ports.now), lambda: ports.now, ports, ports, Metrics(), ports)
    ingress.members(server_list())
    return ports, ingress


def ask(ports: Ports, ingress: Ingress, ident: str = "1") -> Exchange:
    message = Message(ident, "check", "gold", 7, 5.0, 1.0, 1, 0, False)
    exchange = ingress.take(message, ports.answers.append, ports)
    assert exchange is not None
    return exchange


def test_an_exchange_lets_one_relay_out_and_one_answer_through() -> None:
    ports, ingress = make()
    exchange = ask(ports, ingress)
    with pytest.raises(ExchangeError):
        exchange.relay("s1", 0.0, 1.0, lambda e, n, end: None, lambda e, n, end: None)
    ports.ends[0](RelayEnd("ok", (b"", [])))
    with pytest.raises(ExchangeError):
        exchange.answer(Answer("failed", 502))
    ports.ends[0](RelayEnd("ok", (b"", [])))  # an end that is told twice is heard once
    assert [a.status for a in ports.answers] == [200] and not ingress.held


def test_an_end_after_giving_up_is_not_heard() -> None:
    ports, ingress = make()
    exchange = ask(ports, ingress)
    ingress.leave(exchange)
    ports.ends[0](RelayEnd("ok", (b"", [])))
    assert not ports.answers and not ingress.held and ingress.metrics.counts["relay_cancelled"] == 1


@pytest.mark.parametrize(("written", "status"), [(True, "timeout"), (False, "connect_failed")])
def test_giving_up_tells_whether_it_may_have_run(written: bool, status: str) -> None:
    ports, ingress = make()
    ports.written = written
    ask(ports, ingress)
    ports.now += 5.0
    ports.timers[-1]()
    assert ingress.metrics.counts["relay_" + status] == 1 and len(ports.answers) == 1


@pytest.mark.parametrize(("written", "status"), [(True, "cancelled"), (False, "moot")])
def test_a_client_that_leaves_tells_whether_it_may_have_run(written: bool, status: str) -> None:
    ports, ingress = make()
    ports.written = written
    ingress.leave(ask(ports, ingress))
    assert ingress.metrics.counts["relay_" + status] == 1 and not ports.answers and not ingress.held


@pytest.mark.parametrize("kind", [MessageReceived, Outcome])
def test_a_module_that_fails_still_leaves_an_answer(kind: type) -> None:
    ports, ingress = make()
    handle = ingress.gateway.handle

    def failing(now: float, event: Any) -> Any:
        if isinstance(event, kind):
            raise RuntimeError("no")
        return handle(now, event)

    ingress.gateway.handle = failing  # type: ignore[method-assign]
    ask(ports, ingress)
    for done in ports.ends:
        done(RelayEnd("error"))
    assert [a.status for a in ports.answers] == [500] and not ingress.held


def test_a_module_that_decides_nothing_still_leaves_an_answer() -> None:
    ports, ingress = make()
    ingress.gateway.handle = lambda now, event: [SetTimer(1, 1.0)]  # type: ignore[method-assign, assignment]
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
            duration(text)
    else:
        assert duration(text) == pytest.approx(seconds)


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
            weight(text)
    else:
        assert weight(text) == found


@pytest.mark.parametrize(
    ("path", "customer"),
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
def test_customers(path: str, customer: int) -> None:
    headers = {"x-request-id": "1", "x-timeout": "480m"}
    if customer < 0:
        with pytest.raises(MessageError):
            decode(headers, path)
    else:
        found = decode(headers, path)
        assert (found.customer, found.cls, found.left) == (customer, "check", pytest.approx(0.45))


class Hostile(RuleBasedStateMachine):
    """Any order of messages, ends, leaving clients, verdicts and time: one answer each, one relay out, none kept."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.serial, self.due = 1000.0, 0, list[tuple[float, Any]]()
        self.out: dict[str, list[Any]] = {}
        self.answered: dict[str, list[Answer]] = {}
        self.left: set[str] = set()
        self.verdicts: dict[str, Any] = {}
        self.ingress = Ingress(DecisionModule(settings(), 1, self.now), lambda: self.now, self, self, Metrics(), self)
        self.ingress.members(server_list(6))

    # The ports.
    def call_at(self, when: float, call: Any) -> Any:
        entry = [call]
        self.due.append((when, entry))
        return Handle(entry.clear)

    def add(self, name: int, amount: float, ttl: float) -> None: ...
    def info(self, event: str, **more: Any) -> None: ...

    def exception(self, event: str, **more: Any) -> None:
        raise AssertionError(event)

    def start(self, message: Message, server: str, left: float, done: Any, began: Any) -> Any:
        assert message.id not in self.out, "two relays out"
        self.out[message.id] = [done]
        if server == "s0":  # refused before start returns
            del self.out[message.id]
            done(RelayEnd("connect_failed"))
        return Handle(lambda: self.out.pop(message.id, None))

    def ask(self, message: Message, left: float, done: Any) -> Any:
        self.verdicts[message.id] = done
        return Handle(lambda: self.verdicts.pop(message.id, None))

    # What happens.
    @rule(
        cls=st.sampled_from(["check", "push", "blast"]),
        left=st.sampled_from([0.0, 3.0, 9.0, 9.0]),
        asked=st.booleans(),
        units=st.integers(1, 3),
    )
    def message(self, cls: str, left: float, asked: bool, units: int) -> None:
        self.serial += 1
        rid = str(self.serial)
        self.ingress.authoriser = self if asked else None
        self.answered[rid] = []
        message = Message(rid, cls, "gold", self.serial % 20, left, units, 1, 0, False)
        exchange = self.ingress.take(message, self.answered[rid].append, self)
        assert exchange is not None
        if rid in self.ingress.held:
            assert self.ingress.take(message, self.answered[rid].append, self) is None

    @rule(pick=st.integers(0, 99), kind=st.sampled_from(["allow", "deny", "unknown"]), open_=st.booleans())
    def verdict(self, pick: int, kind: str, open_: bool) -> None:
        if self.verdicts:
            self.ingress.fail_open = open_
            self.verdicts.pop(sorted(self.verdicts)[pick % len(self.verdicts)])(Verdict(kind, 403))

    @rule(
        pick=st.integers(0, 99), status=st.sampled_from(["ok", "error", "full", "reset", "connect_failed", "granted"])
    )
    def end(self, pick: int, status: str) -> None:
        if self.out:
            (done,) = self.out.pop(sorted(self.out)[pick % len(self.out)])
            done(RelayEnd(status, (b"", [])))
            done(RelayEnd("ok", (b"", [])))  # told a second time: not heard

    @rule(pick=st.integers(0, 99))
    def leave(self, pick: int) -> None:
        if self.ingress.held:
            exchange = self.ingress.held[sorted(self.ingress.held)[pick % len(self.ingress.held)]]
            self.left.add(exchange.message.id)
            self.ingress.leave(exchange)

    @rule(step=st.sampled_from([0.05, 0.5, 4.0]))
    def wait(self, step: float) -> None:
        self.now += step
        for entry in [e for when, e in self.due if when <= self.now]:
            if entry:
                entry.pop()()
        self.due = [(when, e) for when, e in self.due if e]

    @invariant()
    def one_answer_each(self) -> None:
        for rid, answers in self.answered.items():
            waits = rid in self.out or rid in self.verdicts
            assert len(answers) <= 1 and (answers or waits or rid in self.left), rid
            assert waits == (rid in self.ingress.held), rid
        assert set(self.ingress.gateway.messages) <= set(self.out)
        assert sum(bool(entry) for _, entry in self.due) <= len(self.out) + 1  # each relay's, and the module's own


class Handle:
    """What a port hands back: it can be cancelled, or dropped."""

    def __init__(self, call: Any) -> None:
        self._call = call

    def cancel(self) -> None:
        self._call()

    def drop(self) -> bool:
        self._call()
        return True

    def recall(self) -> bool:
        return False


Hostile.TestCase.settings = MACHINE_SETTINGS
TestHostile = Hostile.TestCase


def imports(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            names.add("." * node.level + (node.module or ""))
    return names


@pytest.mark.parametrize("name", ["exchange", "ingress", "message"])
def test_the_core_imports_no_wire(name: str) -> None:
    allowed = {
        "__future__",
        "collections",
        "collections.abc",
        "dataclasses",
        "functools",
        "math",
        "typing",
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
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert done.stdout.strip() == "[]", done.stdout + done.stderr
