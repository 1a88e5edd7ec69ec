"""Discrete-event simulation: virtual time, the hosts and their processes, and delivery of messages between them.

Events run one after another, and every registered check runs after each of them."""

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

START_SECONDS = 1000.0  # virtual time at which every simulation begins
MAX_EVENTS_AT_ONE_TIME = 20_000  # more than this without time passing is taken for a process that wakes forever
MAX_BUFFERED_MESSAGES = 200  # messages that a suspended process receives when it resumes


class Process(Protocol):
    """A station or a single protocol: what `members/transport` runs on sockets."""

    def receive(self, now: float, source: str, body: Message) -> list[Effect]:
        """Handles a message from the address `source` and returns the effects."""
        ...

    def tick(self, now: float) -> list[Effect]:
        """Runs what is due and returns the effects."""
        ...

    def next_tick(self) -> float:
        """Returns the time at which `tick` is due; infinity for never."""
        ...


class StandaloneParts:
    """Runs parts without membership, which makes simulations of a single part much cheaper."""

    def __init__(self, address: str, parts: dict[str, Part]) -> None:
        self.address, self.parts = address, parts

    def receive(self, now: float, source: str, body: Message) -> list[Effect]:
        """Hands a carried message to its part and returns what the parts send."""
        if isinstance(body, Carry) and (part := self.parts.get(body.kind)) is not None:
            part.receive(now, body.address, body.data)
        return self.said()

    def tick(self, now: float) -> list[Effect]:
        """Ticks the parts that are due and returns what the parts send."""
        for part in self.parts.values():
            if part.next_tick() <= now:
                part.tick(now)
        return self.said()

    def next_tick(self) -> float:
        """Returns the earliest time at which a part is due."""
        return min(part.next_tick() for part in self.parts.values())

    def said(self) -> list[Effect]:
        """Takes the messages that the parts have queued."""
        return [
            Send(address, Carry(kind, self.address, data), stream=len(data) > MAX_DATAGRAM_PAYLOAD)
            for kind, part in self.parts.items()
            for address, data in part.take()
        ]


@dataclass(slots=True)
class Host:
    """A host, with what outlives its process. Its clock runs `clock_rate` times as fast as virtual time."""

    name: str
    address: str
    make_process: Callable[[Host], Process]
    disk: Disk = field(default_factory=Disk)
    clock_rate: float = 1.0
    incarnation: int = 0  # number of starts
    process: Process | None = None  # None while it does not run
    is_suspended: bool = False
    buffered: list[tuple[str, Message]] = field(default_factory=list)  # (source, message) received while suspended
    wake_at: float = inf  # virtual time of the scheduled tick

    def to_local_time(self, now: float) -> float:
        """Converts virtual time to the time of the host's clock."""
        return START_SECONDS + (now - START_SECONDS) * self.clock_rate

    def to_world_time(self, local_time: float) -> float:
        """Converts a time of the host's clock to virtual time, plus 1 us: rounding must not wake it too early."""
        return START_SECONDS + (local_time - START_SECONDS) / self.clock_rate + 1e-6 if local_time < inf else inf


class World:
    """Event queue, hosts and links of one simulation.

    `on_member_change` and `on_send` are called for each membership change and each message sent."""

    def __init__(self, seed: int, links: Links | None = None, traced: bool = False) -> None:
        self.rng, self.links, self.now = random.Random(seed), links or Links(), START_SECONDS
        self.hosts: dict[str, Host] = {}  # by address
        self.checks: list[Callable[[], None]] = []  # run after each event; raise on a violation
        self.on_member_change: Callable[[Host, Changed], None] = lambda host, change: None
        self.on_send: Callable[[Host, Send], None] = lambda host, send: None
        self.event_count = self._events_at_now = 0
        self.trace = hashlib.blake2b(digest_size=16) if traced else None
        self._queue: list[tuple[float, int, Callable[[], None]]] = []  # heap of (time, sequence number, callback)
        self._last_sequence = 0

    # Processes.

    def add_host(self, name: str, address: str, make_process: Callable[[Host], Process], start: bool = True) -> Host:
        """Adds a host, and starts its process if `start`."""
        host = self.hosts[address] = Host(name, address, make_process)
        if start:
            self.start(host)
        return host

    def find_host(self, name: str) -> Host:
        """Returns the host of that name. Raises StopIteration if there is none."""
        return next(host for host in self.hosts.values() if host.name == name)

    def start(self, host: Host) -> None:
        """Starts a new process on a host where none runs."""
        assert host.process is None, f"a process already runs on host {host.name}"
        host.incarnation += 1
        host.is_suspended = False
        host.process = host.make_process(host)
        self._schedule_tick(host)

    def kill(self, host: Host) -> None:
        """Ends the process at once, as SIGKILL does, and drops its buffered messages."""
        host.process, host.wake_at, host.is_suspended = None, inf, False
        host.buffered.clear()

    def suspend(self, host: Host) -> None:
        """Suspends the process, as SIGSTOP does. Messages to it are buffered."""
        host.is_suspended = True

    def resume(self, host: Host) -> None:
        """Resumes a suspended process: it ticks, then receives the latest buffered messages."""
        host.is_suspended = False
        buffered, host.buffered = host.buffered[-MAX_BUFFERED_MESSAGES:], []
        self._tick(host)
        for source, body in buffered:
            self._receive(host, source, body)

    def apply_effects(self, host: Host, effects: list[Effect]) -> None:
        """Applies the effects that a call of the host's process returned."""
        for effect in effects:
            if isinstance(effect, Changed):
                self.on_member_change(host, effect)
            else:
                self._send(host, effect)
        self._schedule_tick(host)

    # Time.

    def schedule(self, when: float, callback: Callable[[], None]) -> None:
        """Calls `callback` at the virtual time `when`; events of the same time run in the order of scheduling."""
        self._last_sequence += 1
        heapq.heappush(self._queue, (when, self._last_sequence, callback))

    def step(self) -> None:
        """Runs the next event and all checks."""
        when, _, callback = heapq.heappop(self._queue)
        self._events_at_now = 0 if when > self.now else self._events_at_now + 1
        assert self._events_at_now < MAX_EVENTS_AT_ONE_TIME, (
            f"{MAX_EVENTS_AT_ONE_TIME} events at time {when}: a process keeps asking for a tick in its past"
        )
        self.now = when
        self.event_count += 1
        callback()
        for check in self.checks:
            check()

    def run(self, until: float) -> None:
        """Runs all events up to and including the virtual time `until`."""
        while self._queue and self._queue[0][0] <= until:
            self.step()
        self.now = until

    def run_until(self, condition: Callable[[], bool], timeout: float) -> bool:
        """Runs until `condition` holds. Returns False if it does not within `timeout` seconds."""
        end = self.now + timeout
        while not condition():
            if not self._queue or self._queue[0][0] > end:
                self.now = max(self.now, end)
                return condition()
            self.step()
        return True

    def _schedule_tick(self, host: Host) -> None:
        if host.process is None:
            return
        # A process that was suspended may ask for a tick in the past.
        wake_at = max(self.now, host.to_world_time(host.process.next_tick()))
        if wake_at >= host.wake_at or wake_at == inf:
            return
        host.wake_at = wake_at

        def tick() -> None:
            if host.wake_at == wake_at and host.process is not None:
                host.wake_at = inf
                if not host.is_suspended:
                    self._tick(host)

        self.schedule(wake_at, tick)

    def _tick(self, host: Host) -> None:
        if host.process is not None:
            self._record_trace("tick", host.name, "")
            self.apply_effects(host, host.process.tick(host.to_local_time(self.now)))

    def _send(self, host: Host, send: Send) -> None:
        self.on_send(host, send)
        for when in self.links.draw_arrival_times(self.rng, self.now, host.address, send.to, send.stream):
            self.schedule(when, lambda: self._deliver(host.address, send))

    def _deliver(self, source: str, send: Send) -> None:
        host = self.hosts.get(send.to)
        link = self.links.find(source, send.to)
        if (
            host is None
            or host.process is None
            or link.is_cut
            or send.stream
            and self.links.find(send.to, source).is_cut
        ):
            return
        if link.stalled_until > self.now:  # the stall began while the message was in flight
            self.schedule(link.stalled_until, lambda: self._deliver(source, send))
        elif host.is_suspended:
            host.buffered.append((source, send.body))
        else:
            self._receive(host, source, send.body)

    def _receive(self, host: Host, source: str, body: Message) -> None:
        if host.process is not None:
            self._record_trace(type(body).__name__, source, host.name)
            self.apply_effects(host, host.process.receive(host.to_local_time(self.now), source, body))

    def _record_trace(self, event: str, source: str, destination: str) -> None:
        if self.trace is not None:
            self.trace.update(f"{self.now!r} {event} {source} {destination}\n".encode())
