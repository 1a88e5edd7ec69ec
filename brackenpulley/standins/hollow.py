"""Hollow ingresses: complete ingresses without client and server connections, many of them on one event loop.

A hollow ingress is a `Daemon` as `serve` builds it, on sockets of its own: inventory, quota counter, core and decision
module, membership, records, follower of the agreed log, and whatever the operator's file enables. In place of clients,
`Traffic` draws messages and passes them to the core. In place of connections to sim servers, each relay is answered
after a random time. Left out are the parsing and writing of requests and answers, connections to sim servers, the
control API, and log lines. All hollow ingresses of a process share the interpreter's memory and one event loop. The
scale benchmark runs them next to real ingresses.

`OPERATOR_SECTIONS` lists the sections of the operator's file that a run may enable, for hollow and real ingresses
alike."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from ..config import decode
from ..consensus.wire import Entry
from ..core.answer_progress import AnswerProgress
from ..core.exchange import Answer, RelayResult
from ..core.message import Message
from ..members.protocol import Changed
from ..members.wire import DEAD
from ..metrics import Metrics
from ..net.loop import EventCallback, Loop, Selectable, Timer
from ..operator import decode as decode_operator
from ..serve import Daemon

MEAN_ANSWER_SECONDS = 0.02
MESSAGE_TIMEOUT_SECONDS = 4.0


@dataclass(slots=True, frozen=True)
class ProcessSpec:
    """One ingress of the fleet, hollow or real: its name, number, files and addresses."""

    name: str
    number: int
    folder: str  # for its own files
    listen: str  # membership address
    advertise: str  # membership address for the others, where its link proxy listens
    seeds: tuple[str, ...]
    keys: str  # file with the membership keys
    voters: tuple[tuple[str, str], ...]  # name and address of each voter of the agreed log

    @property
    def is_voter(self) -> bool:
        """Whether this process votes in consensus."""
        return self.name in dict(self.voters)


def _build_consensus_table(spec: ProcessSpec) -> dict[str, Any]:
    disk = {"path": f"{spec.folder}/log"} if spec.is_voter else {}
    return {**disk, "voters": dict(spec.voters)}


OPERATOR_SECTIONS: dict[str, Callable[[ProcessSpec], dict[str, Any]]] = {
    "members": lambda spec: {
        "fleet": "scale",
        "listen": spec.listen,
        "advertise": spec.advertise,
        "seeds": list(spec.seeds),
        "keys": spec.keys,
    },
    "consensus": _build_consensus_table,
    "maintenance": lambda spec: {"out": 2, "zone": 1, "reserve": 0.0, "settle_s": 1.0, "late_s": 120.0},
    "drains": lambda spec: {"limit": 64},
    "plans": lambda spec: {"snapshot": f"{spec.folder}/plans"},
    "leases": lambda spec: {},
}
DEFAULT_SECTIONS = ("members", "consensus", "maintenance", "plans", "leases")


def build_operator_tables(spec: ProcessSpec, sections: Iterable[str]) -> dict[str, Any]:
    """Return the operator's file with these sections, as its parsed tables."""
    return {name: OPERATOR_SECTIONS[name](spec) for name in sections}


def format_toml(tables: dict[str, Any], prefix: str = "") -> str:
    """Format tables as TOML, with `prefix` before the name of each.

    Values must be strings, numbers or lists of strings. A table's own values precede its nested tables."""
    lines = []
    for name, table in tables.items():
        lines.append(f"[{prefix}{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items() if not isinstance(value, dict)]
        nested = {key: value for key, value in table.items() if isinstance(value, dict)}
        lines += [format_toml(nested, f"{prefix}{name}.")] if nested else []
    return "\n".join(lines) + "\n"


class IngressLoop(Loop):
    """One hollow ingress's view of the shared event loop. Tracks its sockets and the time that its callbacks take.

    `close` acts like the end of a process: its sockets are closed, and none of its callbacks runs any more."""

    def __init__(self, loop: Loop, metrics: Metrics, on_stop: Callable[[], None]) -> None:
        # Loop.__init__ is not called, as the selector and the heap of timers are those of `loop`.
        self.loop, self.clock, self.log, self.metrics, self.on_stop = loop, loop.clock, loop.log, metrics, on_stop
        self.is_open, self.is_lagging, self.running = True, False, True
        self.busy_seconds = 0.0  # total run time of its callbacks
        self._sockets: set[Selectable] = set()

    def _wrap_callback(self, callback: Callable[[], None]) -> Callable[[], None]:
        def run() -> None:
            if self.is_open:
                started_at = time.perf_counter()
                try:
                    callback()
                finally:
                    self._record_run_time(time.perf_counter() - started_at)

        return run

    def _record_run_time(self, seconds: float) -> None:
        self.busy_seconds += seconds
        self.metrics.record_maximum("longest_turn_us", int(seconds * 1e6))

    def _wrap_event_callback(self, callback: EventCallback) -> EventCallback:
        def run(events: int) -> None:
            if self.is_open:
                started_at = time.perf_counter()
                try:
                    callback(events)
                finally:
                    self._record_run_time(time.perf_counter() - started_at)

        return run

    def register(self, sock: Selectable, events: int, callback: EventCallback, urgent: bool = False) -> None:
        """Register a socket with the shared loop, and track it for `close`."""
        self._sockets.add(sock)
        self.loop.register(sock, events, self._wrap_event_callback(callback), urgent)

    def set_interest(self, sock: Selectable, events: int, callback: EventCallback) -> None:
        """Change the events that a socket waits for; 0 unregisters it."""
        if sock.fileno() >= 0:
            (self._sockets.add if events else self._sockets.discard)(sock)
        self.loop.set_interest(sock, events, self._wrap_event_callback(callback))

    def unregister(self, sock: Selectable) -> None:
        """Remove a socket from the shared loop."""
        self._sockets.discard(sock)
        self.loop.unregister(sock)

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback that runs unless this loop is closed before."""
        return self.loop.call_at(when, self._wrap_callback(callback))

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Defer a callback that runs unless this loop is closed before."""
        self.loop.call_soon(self._wrap_callback(callback))

    def stop(self) -> None:
        """Call `on_stop` from the shared loop, which keeps running."""
        self.loop.call_soon(self.on_stop)

    def close(self) -> None:
        """Close the ingress's sockets and disable its callbacks."""
        self.is_open = False
        for sock in self._sockets:
            if sock.fileno() >= 0:
                self.loop.unregister(sock)
                sock.close()  # type: ignore[attr-defined]
        self._sockets.clear()


class TimedRelay:
    """A relay of a hollow ingress that a timer answers."""

    def __init__(self, timer: Timer) -> None:
        self.timer = timer

    def drop(self) -> bool:
        """Cancel the relay. Returns True, as the sim server may have run it."""
        self.timer.cancel()
        return True

    def recall(self) -> bool:
        """Return False: the relay counts as sent from its start, so that it cannot be recalled."""
        return False

    def stream_now(self) -> bool:
        """Return False: each answer comes whole."""
        return False

    def answer_progress(self) -> AnswerProgress:
        """Return no progress: each answer comes whole."""
        return AnswerProgress()


class TimedSouthside:
    """Replaces `Southside`: each relay succeeds after an exponential time of mean `mean_s`, at its estimated cost."""

    def __init__(self, loop: Loop, rng: random.Random, mean_s: float = MEAN_ANSWER_SECONDS) -> None:
        self.loop, self.rng, self.mean_s = loop, rng, mean_s

    def start(
        self,
        message: Message,
        server: str,
        timeout: float,
        on_done: Callable[[RelayResult], None],
        on_streaming: Callable[[RelayResult], None],
        on_begun: Callable[[], None],
    ) -> TimedRelay:
        """Start one relay. `timeout`, `on_streaming` and `on_begun` are not used."""
        result = RelayResult("ok", cost=message.units)
        return TimedRelay(self.loop.call_in(self.rng.expovariate(1 / self.mean_s), lambda: on_done(result)))


@dataclass(slots=True, frozen=True)
class Firm:
    """A firm whose clients send messages to `spread` ingresses, from number `first` on."""

    key: int
    plan: str
    rate: float  # messages a second at each of its ingresses
    spread: int
    first: int


@dataclass(slots=True)
class Traffic:
    """Messages of firms at one hollow ingress, as independent Poisson arrivals."""

    daemon: Daemon
    rng: random.Random
    firms: list[Firm] = field(default_factory=list)
    message_count: int = 0
    served_count: int = 0
    is_running: bool = False
    _serial: int = 0

    def start(self) -> None:
        """Start the arrivals of all firms. Does nothing while they run."""
        if self.is_running:
            return
        self.is_running, self._serial = True, self.rng.getrandbits(40) << 20
        for firm in self.firms:
            self._schedule_next(firm)

    def stop(self) -> None:
        """Stop the arrivals. Messages in flight go on."""
        self.is_running = False

    def _schedule_next(self, firm: Firm) -> None:
        if firm.rate > 0:
            self.daemon.loop.call_in(self.rng.expovariate(firm.rate), lambda: self._arrive(firm))

    def _arrive(self, firm: Firm) -> None:
        if not self.is_running:
            return
        self._schedule_next(firm)
        self._serial += 1
        self.message_count += 1
        classes = self.daemon.config.settings.classes
        units = float(self.rng.choice((1, 1, 1, 2, 2, 3)))
        message = Message(
            f"{self._serial:016x}",
            classes[self._serial % len(classes)].name,
            firm.plan,
            firm.key,
            MESSAGE_TIMEOUT_SECONDS,
            units,
            firm.spread,
            firm.first,
            False,
            requested_plan=firm.plan,
        )
        self.daemon.ingress.accept(message, self._handle_answer, TimedSouthside(self.daemon.loop, self.rng))

    def _handle_answer(self, answer: Answer) -> None:
        self.served_count += answer.kind == "served"


class HollowIngress:
    """One hollow ingress, with the interface of a process: start, graceful shutdown and kill.

    Calls `on_end` after a shutdown, `on_member_dead` with the id of each member that it considers dead, and
    `on_applied` with each log entry that it has applied."""

    def __init__(
        self,
        loop: Loop,
        spec: ProcessSpec,
        config: dict[str, Any],
        operator_tables: dict[str, Any],
        firms: list[Firm],
        log: Any,
        seed: int,
    ) -> None:
        """Build the daemon. `config` and `operator_tables` are what a real ingress would read from its two files.

        Raises ConfigError where one of them is invalid."""
        self.spec, self.is_alive = spec, True
        self.on_end: Callable[[], None] = lambda: None
        self.on_member_dead: Callable[[str], None] = lambda member_id: None
        self.on_applied: Callable[[Entry], None] = lambda entry: None
        self.ingress_loop = IngressLoop(loop, Metrics(), self._finish_shutdown)
        self.daemon = Daemon(decode(config, {}, decode_operator(operator_tables)), log, loop.clock, self.ingress_loop)
        self.ingress_loop.metrics = self.daemon.metrics
        self.traffic = Traffic(self.daemon, random.Random(seed), firms)

    def start(self) -> None:
        """Start the daemon, and observe its membership and its agreed log. The traffic is started apart."""
        self.daemon.start(signals=False)
        if self.daemon.members is not None:
            service = self.daemon.members.service
            daemon_callback = service.on_change

            def handle_change(change: Changed) -> None:
                daemon_callback(change)
                if change.state == DEAD:
                    self.on_member_dead(change.id)

            service.on_change = handle_change
        if self.daemon.agreement is not None:
            self.daemon.agreement.agreement.on_applied = lambda entry: self.on_applied(entry)

    @property
    def member_count(self) -> int:
        """Number of members that it knows, itself included."""
        return self.daemon.members.service.protocol.size if self.daemon.members is not None else 1

    @property
    def applied_index(self) -> int:
        """Index of the last entry of the agreed log that it has applied, 0 without a log."""
        return self.daemon.agreement.agreement.machine.index if self.daemon.agreement is not None else 0

    def shut_down(self) -> None:
        """Begin a graceful shutdown, as SIGTERM does. `on_end` is called once it is complete."""
        self.traffic.stop()
        self.daemon.begin_shutdown()

    def _finish_shutdown(self) -> None:
        if self.is_alive:
            self.is_alive = False
            self.daemon.close()
            self.on_end()

    def kill(self) -> None:
        """End at once, as SIGKILL does: no other member is told."""
        self.is_alive = False
        self.traffic.stop()
        self.ingress_loop.close()
