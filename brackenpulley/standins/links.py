"""Ways between real processes that lose, delay, cut, stall and reset: a relay before each process's membership address.

A process listens at an address of its own in 127.0.0.0/8 and advertises its relay's. What it sends comes from its own
address, so the relay knows from whom it is; it passes it on from the sender's relay, so that answers come back the same
way. Datagrams and streams alike; rules by ordered pair, the same as in simulation/links."""

from __future__ import annotations

import random
import socket
import time

from ..address import Address
from ..net import sockets
from ..net.loop import READ, WRITE, Loop
from ..simulation.links import Link, Links

CHUNK = 65536


class Pipe:
    """One direction of a stream: what is read on one side is written on the other, after the way's delay."""

    def __init__(self, stream: Stream, source: socket.socket, to: socket.socket, names: tuple[str, str]) -> None:
        self.stream, self.source, self.to, self.names = stream, source, to, names
        self.out = b""
        self.over = False

    def readable(self) -> None:
        try:
            data = self.source.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            self.stream.close()
            return
        relays = self.stream.relays
        if not data:
            relays.later(*self.names, self.finish)
        elif relays.links.find(*self.names).is_cut:
            return  # swallowed: the other side waits in vain
        else:
            relays.later(*self.names, lambda: self.write(data))

    def write(self, data: bytes = b"") -> None:
        if self.stream.closed:
            return
        self.out += data
        try:
            while self.out:
                self.out = self.out[self.to.send(self.out) :]
        except BlockingIOError:
            pass
        except OSError:
            self.stream.close()
            return
        if self.over and not self.out:
            sockets.shutdown_write(self.to)
        self.stream.want()

    def finish(self) -> None:
        self.over = True
        self.write()


class Stream:
    def __init__(self, relays: Relays, accepted: socket.socket, connected: socket.socket, a: str, b: str) -> None:
        self.relays, self.closed, self.up = relays, False, False
        self.pair = (a, b)
        self.accepted, self.connected = accepted, connected
        self.there, self.back = Pipe(self, accepted, connected, (a, b)), Pipe(self, connected, accepted, (b, a))
        relays.streams.add(self)
        relays.loop.register(accepted, READ, lambda events: self.event(self.there, self.back, events))
        relays.loop.register(connected, READ | WRITE, lambda events: self.event(self.back, self.there, events))

    def event(self, reads: Pipe, writes: Pipe, events: int) -> None:
        if events & WRITE and not self.closed:
            self.up = True
            writes.write()
        if events & READ and not self.closed:
            reads.readable()

    def want(self) -> None:
        loop = self.relays.loop
        for sock, reads, writes in ((self.accepted, self.there, self.back), (self.connected, self.back, self.there)):
            coming_up = sock is self.connected and not self.up
            events = (0 if reads.over else READ) | (WRITE if writes.out or coming_up else 0)
            loop.set_interest(sock, events, lambda events, r=reads, w=writes: self.event(r, w, events))  # type: ignore[misc]
        if self.there.over and self.back.over and not self.there.out and not self.back.out:
            self.close()

    def close(self, reset: bool = False) -> None:
        if self.closed:
            return
        self.closed = True
        self.relays.streams.discard(self)
        for sock in (self.accepted, self.connected):
            self.relays.loop.set_interest(sock, 0, lambda events: None)
            if reset:
                sockets.reset_on_close(sock)
            sock.close()


class Relays:
    """`add` a process: its name, where it listens; gives the address to advertise."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self.loop, self.rng, self.links = loop, random.Random(seed), Links(Link(delay=0.0, jitter=0.0))
        self.streams: set[Stream] = set()
        self.real: dict[str, Address] = {}
        self.lost = self.passed = 0
        self._sockets: dict[str, socket.socket] = {}
        self._listeners: dict[str, socket.socket] = {}
        self._names: dict[str, str] = {}  # by the host that a process listens on

    def add(self, name: str, listens: Address) -> str:
        self.real[name], self._names[listens[0]] = listens, name
        listener = self._listeners[name] = sockets.listen(("127.0.0.1", 0), 64)
        at = listener.getsockname()
        datagrams = self._sockets[name] = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.setblocking(False)
        datagrams.bind(at)
        self.loop.register(listener, READ, lambda events: self._acceptable(name))
        self.loop.register(datagrams, READ, lambda events: self._readable(name))
        return f"{at[0]}:{at[1]}"

    def _readable(self, to: str) -> None:
        for _ in range(64):
            try:
                data, source = self._sockets[to].recvfrom(CHUNK)
            except OSError:
                return
            a = self._names.get(source[0])
            if a is None:
                continue
            now = time.monotonic()
            times = self.links.draw_arrival_times(self.rng, now, a, to, stream=False)
            self.lost += not times
            for when in times:
                self.loop.call_in(max(0.0, when - now), lambda a=a, data=data: self._pass(a, to, data))  # type: ignore

    def _pass(self, a: str, to: str, data: bytes) -> None:
        if a in self._sockets and to in self._sockets and not self.links.find(a, to).is_cut:
            self.passed += 1
            try:
                self._sockets[a].sendto(data, self.real[to])
            except OSError:  # nobody is there now
                self.lost += 1

    def _acceptable(self, to: str) -> None:
        try:
            sock, source = self._listeners[to].accept()
        except OSError:
            return
        sock.setblocking(False)
        a = self._names.get(source[0])
        link = self.links.find(a or "", to)
        if a is None or link.is_cut or self.links.find(to, a).is_cut:
            sockets.reset_on_close(sock)
            sock.close()
            return
        try:
            connected = sockets.connect(self.real[to])
        except OSError:
            sock.close()
            return
        Stream(self, sock, connected, a, to)

    def later(self, a: str, b: str, call: object) -> None:
        """After the way's delay and its stall; in order."""
        link = self.links.find(a, b)
        self.loop.call_in(max(link.delay, link.stalled_until - time.monotonic()), call)  # type: ignore[arg-type]

    def reset(self, a: str, b: str) -> None:
        for stream in [one for one in self.streams if set(one.pair) == {a, b}]:
            stream.close(reset=True)

    def stop(self) -> None:
        for stream in list(self.streams):
            stream.close()
        for sock in (*self._sockets.values(), *self._listeners.values()):
            self.loop.set_interest(sock, 0, lambda events: None)
            sock.close()
        self._sockets.clear()
        self._listeners.clear()
