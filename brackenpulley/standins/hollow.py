"""Hollow ingresses: daemons put together from the parts that serve, many on one loop, without clients or sim servers.

A hollow one is a `Daemon` as `serve` builds it (list, counter, core and decision module, members, records, follower of
the agreed log, whatever the operator's file switches on), on sockets of its own. In place of clients it has tries that
`Traffic` draws, which go through the core as any message; in place of connections to sim servers an answer after a
drawn time. Left out: reading and writing of requests and answers, connections to sim servers, the control API, and
lines of the log. One process holds many, so that its interpreter's memory and the turns of its loop are shared.

`PARTS` is the table of what the operator's file may switch on, a row each, for hollow and real ones alike."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from ..config import decode
from ..consensus.wire import Entry
from ..core.exchange import Answer, RelayResult
from ..core.message import Message
from ..members.protocol import Changed
from ..members.wire import DEAD
from ..metrics import Metrics
from ..net.loop import EventCallback, Loop, Selectable, Timer
from ..operator import decode as decode_operator
from ..serve import Daemon

MEAN = 0.02  # s that an answer takes
PATIENCE = 4.0  # s that a try waits


@dataclass(slots=True, frozen=True)
class Place:
    """One process of the fleet, hollow or not."""

    name: str
    number: int
    folder: str  # of its own files
    listen: str  # of membership
    advertise: str  # where its link stands
    seeds: tuple[str, ...]
    keys: str
    voters: tuple[tuple[str, str], ...]

    @property
    def votes(self) -> bool:
        return self.name in dict(self.voters)


def _consensus(place: Place) -> dict[str, Any]:
    disk = {"path": f"{place.folder}/log"} if place.votes else {}
    return {**disk, "voters": dict(place.voters)}


PARTS: dict[str, Callable[[Place], dict[str, Any]]] = {
    "members": lambda place: {
        "fleet": "scale",
        "listen": place.listen,
        "advertise": place.advertise,
        "seeds": list(place.seeds),
        "keys": place.keys,
    },
    "consensus": _consensus,
    "maintenance": lambda place: {"out": 2, "zone": 1, "reserve": 0.0, "settle_s": 1.0, "late_s": 120.0},
    "drains": lambda place: {"limit": 64},
    "plans": lambda place: {"snapshot": f"{place.folder}/plans"},
    "leases": lambda place: {},
}
USUAL = ("members", "consensus", "maintenance", "plans", "leases")


def operator(place: Place, parts: Iterable[str]) -> dict[str, Any]:
    """The operator's file, as read."""
    return {name: PARTS[name](place) for name in parts}


def toml(tables: dict[str, Any], above: str = "") -> str:
    """As a file. Values are texts, numbers and lists of texts; a table's own values stand before the tables in it."""
    lines = []
    for name, table in tables.items():
        lines.append(f"[{above}{name}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in table.items() if not isinstance(value, dict)]
        inner = {key: value for key, value in table.items() if isinstance(value, dict)}
        lines += [toml(inner, f"{above}{name}.")] if inner else []
    return "\n".join(lines) + "\n"


class Berth(Loop):
    """One hollow ingress's part of a loop that many share: its sockets, its timers, and the time that its calls took.

    `close` is what the end of a process is: sockets are closed, nothing of it is called any more."""

    def __init__(self, loop: Loop, metrics: Metrics, ended: Callable[[], None]) -> None:
        # Not Loop's own: there is one selector and one heap of timers, those of `loop`.
        self.loop, self.clock, self.log, self.metrics, self.ended = loop, loop.clock, loop.log, metrics, ended
        self.open, self.is_lagging, self.running = True, False, True
        self.busy = 0.0  # s of its calls
        self._sockets: set[Selectable] = set()

    def _timed(self, call: Callable[[], None]) -> Callable[[], None]:
        def timed() -> None:
            if self.open:
                began = time.perf_counter()
                try:
                    call()
                finally:
                    self._took(time.perf_counter() - began)

        return timed

    def _took(self, seconds: float) -> None:
        self.busy += seconds
        self.metrics.record_maximum("longest_turn_us", int(seconds * 1e6))

    def _ready(self, ready: EventCallback) -> EventCallback:
        def timed(events: int) -> None:
            if self.open:
                began = time.perf_counter()
                try:
                    ready(events)
                finally:
                    self._took(time.perf_counter() - began)

        return timed

    def register(self, sock: Selectable, events: int, ready: EventCallback, urgent: bool = False) -> None:
        self._sockets.add(sock)
        self.loop.register(sock, events, self._ready(ready), urgent)

    def set_interest(self, sock: Selectable, events: int, ready: EventCallback) -> None:
        if sock.fileno() >= 0:
            (self._sockets.add if events else self._sockets.discard)(sock)
        self.loop.set_interest(sock, events, self._ready(ready))

    def unregister(self, sock: Selectable) -> None:
        self._sockets.discard(sock)
        self.loop.unregister(sock)

    def call_at(self, when: float, call: Callable[[], None]) -> Timer:
        return self.loop.call_at(when, self._timed(call))

    def call_soon(self, call: Callable[[], None]) -> None:
        self.loop.call_soon(self._timed(call))

    def stop(self) -> None:
        self.loop.call_soon(self.ended)

    def close(self) -> None:
        self.open = False
        for sock in self._sockets:
            if sock.fileno() >= 0:
                self.loop.unregister(sock)
                sock.close()  # type: ignore[attr-defined]
        self._sockets.clear()


class Due:
    """A relay of a hollow one: its answer comes by time alone."""

    def __init__(self, timer: Timer) -> None:
        self.timer = timer

    def drop(self) -> bool:
        self.timer.cancel()
        return True

    def recall(self) -> bool:
        return False


class Answers:
    """In place of `Southside`: each attempt ends well after an exponential time, and costs what was guessed."""

    def __init__(self, loop: Loop, rng: random.Random, mean: float = MEAN) -> None:
        self.loop, self.rng, self.mean = loop, rng, mean

    def start(
        self,
        message: Message,
        server: str,
        left: float,
        done: Callable[[RelayResult], None],
        began: Callable[[RelayResult], None],
    ) -> Due:
        end = RelayResult("ok", cost=message.units)
        return Due(self.loop.call_in(self.rng.expovariate(1 / self.mean), lambda: done(end)))


@dataclass(slots=True, frozen=True)
class Firm:
    """`rate`: tries a second at each ingress of its set."""

    key: int
    plan: str
    rate: float
    spread: int
    first: int


@dataclass(slots=True)
class Traffic:
    """Tries of firms at one hollow ingress, each by itself (Poisson)."""

    daemon: Daemon
    rng: random.Random
    firms: list[Firm] = field(default_factory=list)
    tries: int = 0
    served: int = 0
    going: bool = False
    _serial: int = 0

    def start(self) -> None:
        if self.going:
            return
        self.going, self._serial = True, self.rng.getrandbits(40) << 20
        for firm in self.firms:
            self._next(firm)

    def stop(self) -> None:
        self.going = False

    def _next(self, firm: Firm) -> None:
        if firm.rate > 0:
            self.daemon.loop.call_in(self.rng.expovariate(firm.rate), lambda: self._arrive(firm))

    def _arrive(self, firm: Firm) -> None:
        if not self.going:
            return
        self._next(firm)
        self._serial += 1
        self.tries += 1
        classes = self.daemon.config.settings.classes
        units = float(self.rng.choice((1, 1, 1, 2, 2, 3)))
        message = Message(
            f"{self._serial:016x}",
            classes[self._serial % len(classes)].name,
            firm.plan,
            firm.key,
            PATIENCE,
            units,
            firm.spread,
            firm.first,
            False,
            requested_plan=firm.plan,
        )
        self.daemon.ingress.accept(message, self._answered, Answers(self.daemon.loop, self.rng))

    def _answered(self, answer: Answer) -> None:
        self.served += answer.kind == "served"


class Hollow:
    """One of them. `dead` is told which member this one takes for dead, `applied` which entry of the log it has."""

    def __init__(
        self,
        loop: Loop,
        place: Place,
        raw: dict[str, Any],
        tables: dict[str, Any],
        firms: list[Firm],
        log: Any,
        seed: int,
    ) -> None:
        """`raw` and `tables`: its configuration and the operator's, as the files of a real one would hold them.
        Raises ConfigError."""
        self.place, self.alive = place, True
        self.ended: Callable[[], None] = lambda: None
        self.dead: Callable[[str], None] = lambda ident: None
        self.applied: Callable[[Entry], None] = lambda entry: None
        self.berth = Berth(loop, Metrics(), self._over)
        self.daemon = Daemon(decode(raw, {}, decode_operator(tables)), log, loop.clock, self.berth)
        self.berth.metrics = self.daemon.metrics
        self.traffic = Traffic(self.daemon, random.Random(seed), firms)

    def start(self) -> None:
        self.daemon.start(signals=False)
        if self.daemon.members is not None:
            service = self.daemon.members.service
            known = service.on_change

            def changed(change: Changed) -> None:
                known(change)
                if change.state == DEAD:
                    self.dead(change.id)

            service.on_change = changed
        if self.daemon.agreement is not None:
            self.daemon.agreement.agreement.on_applied = lambda entry: self.applied(entry)

    @property
    def members(self) -> int:
        """That it sees, itself too."""
        return self.daemon.members.service.protocol.size if self.daemon.members is not None else 1

    @property
    def index(self) -> int:
        """Of the agreed log, applied."""
        return self.daemon.agreement.agreement.machine.index if self.daemon.agreement is not None else 0

    def end(self) -> None:
        """As SIGTERM does; `ended` is called once it is over."""
        self.traffic.stop()
        self.daemon.begin_shutdown()

    def _over(self) -> None:
        if self.alive:
            self.alive = False
            self.daemon.close()
            self.ended()

    def kill(self) -> None:
        """As SIGKILL does: nobody is told."""
        self.alive = False
        self.traffic.stop()
        self.berth.close()
