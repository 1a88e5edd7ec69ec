"""Time, and the processes in it. One event after another; after each, whatever was asked to be checked."""

from __future__ import annotations

import hashlib
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Protocol

from ..members.protocol import Changed, Effect, Send
from ..members.station import MAX_DATAGRAM_PAYLOAD, Part
from ..members.wire import Carry, Message
from .disk import Disk
from .links import Links

START = 1000.0
STILL = 20_000  # events at one time
BUFFER = 200  # words that a process which stands still finds when it goes on


class Driven(Protocol):
    """A station, or a lone protocol: what `members/transport` drives on sockets."""

    def receive(self, now: float, source: str, body: Message) -> list[Effect]: ...

    def tick(self, now: float) -> list[Effect]: ...

    def next_tick(self) -> float: ...


class Bare:
    """Parts without membership: whole runs of one part at a fraction of the cost."""

    def __init__(self, address: str, parts: dict[str, Part]) -> None:
        self.address, self.parts = address, parts

    def receive(self, now: float, source: str, body: Message) -> list[Effect]:
        if isinstance(body, Carry) and (part := self.parts.get(body.kind)) is not None:
            part.receive(now, body.address, body.data)
        return self.said()

    def tick(self, now: float) -> list[Effect]:
        for part in self.parts.values():
            if part.next_tick() <= now:
                part.tick(now)
        return self.said()

    def next_tick(self) -> float:
        return min(part.next_tick() for part in self.parts.values())

    def said(self) -> list[Effect]:
        return [
            Send(address, Carry(kind, self.address, data), stream=len(data) > MAX_DATAGRAM_PAYLOAD)
            for kind, part in self.parts.items()
            for address, data in part.take()
        ]


@dataclass(slots=True)
class Host:
    """A place where a process runs, and what outlives it. Its clock goes `rate` times as fast as the world's."""

    name: str
    address: str
    make: Callable[[Host], Driven]
    disk: Disk = field(default_factory=Disk)
    rate: float = 1.0
    life: int = 0
    driven: Driven | None = None
    stopped: bool = False
    waiting: list[tuple[str, Message]] = field(default_factory=list)
    due: float = inf

    def clock(self, now: float) -> float:
        return START + (now - START) * self.rate

    def when(self, clock: float) -> float:
        """The world's time of a time of its clock, and a little after it: rounding must not make it wake too soon."""
        return START + (clock - START) / self.rate + 1e-6 if clock < inf else inf


class World:
    def __init__(self, seed: int, links: Links | None = None, traced: bool = False) -> None:
        self.rng, self.links, self.now = random.Random(seed), links or Links(), START
        self.hosts: dict[str, Host] = {}  # by address
        self.checks: list[Callable[[], None]] = []  # after each event; raise where something does not hold
        self.changed: Callable[[Host, Changed], None] = lambda host, change: None
        self.sent: Callable[[Host, Send], None] = lambda host, send: None
        self.events = self._still = 0
        self.trace = hashlib.blake2b(digest_size=16) if traced else None
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0

    # Processes.

    def add(self, name: str, address: str, make: Callable[[Host], Driven], start: bool = True) -> Host:
        host = self.hosts[address] = Host(name, address, make)
        if start:
            self.start(host)
        return host

    def host(self, name: str) -> Host:
        return next(host for host in self.hosts.values() if host.name == name)

    def start(self, host: Host) -> None:
        assert host.driven is None, f"{host.name} runs"
        host.life += 1
        host.stopped = False
        host.driven = host.make(host)
        self._wake(host)

    def kill(self, host: Host) -> None:
        host.driven, host.due, host.stopped = None, inf, False
        host.waiting.clear()

    def stop(self, host: Host) -> None:
        """SIGSTOP: it stands still, and what comes waits as far as a buffer goes."""
        host.stopped = True

    def go_on(self, host: Host) -> None:
        host.stopped = False
        waiting, host.waiting = host.waiting[-BUFFER:], []
        self._tick(host)
        for source, body in waiting:
            self._receive(host, source, body)

    def do(self, host: Host, effects: list[Effect]) -> None:
        """What a call of a host's own brought about, outside of its messages and ticks."""
        for effect in effects:
            if isinstance(effect, Changed):
                self.changed(host, effect)
            else:
                self._send(host, effect)
        self._wake(host)

    # Time.

    def at(self, when: float, call: Callable[[], None]) -> None:
        self._serial += 1
        heapq.heappush(self._queue, (when, self._serial, call))

    def step(self) -> None:
        when, _, call = heapq.heappop(self._queue)
        self._still = 0 if when > self.now else self._still + 1
        assert self._still < STILL, f"no time passes at {when}: somebody asks to be woken in its own past"
        self.now = when
        self.events += 1
        call()
        for check in self.checks:
            check()

    def run(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            self.step()
        self.now = until

    def until(self, done: Callable[[], bool], patience: float) -> bool:
        """Run until that holds; False where it does not within so many s."""
        end = self.now + patience
        while not done():
            if not self._queue or self._queue[0][0] > end:
                self.now = max(self.now, end)
                return done()
            self.step()
        return True

    def _wake(self, host: Host) -> None:
        if host.driven is None:
            return
        due = max(self.now, host.when(host.driven.next_tick()))  # one that stood still still lives in its own past
        if due >= host.due or due == inf:
            return
        host.due = due

        def tick() -> None:
            if host.due == due and host.driven is not None:
                host.due = inf
                if not host.stopped:
                    self._tick(host)

        self.at(due, tick)

    def _tick(self, host: Host) -> None:
        if host.driven is not None:
            self._traced("tick", host.name, "")
            self.do(host, host.driven.tick(host.clock(self.now)))

    def _send(self, host: Host, send: Send) -> None:
        self.sent(host, send)
        for when in self.links.times(self.rng, self.now, host.address, send.to, send.stream):
            self.at(when, lambda: self._arrive(host.address, send))

    def _arrive(self, source: str, send: Send) -> None:
        host = self.hosts.get(send.to)
        link = self.links.of(source, send.to)
        if host is None or host.driven is None or link.cut or send.stream and self.links.of(send.to, source).cut:
            return
        if link.held > self.now:  # it began to stall while this was under way
            self.at(link.held, lambda: self._arrive(source, send))
        elif host.stopped:
            host.waiting.append((source, send.body))
        else:
            self._receive(host, source, send.body)

    def _receive(self, host: Host, source: str, body: Message) -> None:
        if host.driven is not None:
            self._traced(type(body).__name__, source, host.name)
            self.do(host, host.driven.receive(host.clock(self.now), source, body))

    def _traced(self, what: str, a: str, b: str) -> None:
        if self.trace is not None:
            self.trace.update(f"{self.now!r} {what} {a} {b}\n".encode())
