"""Clients: an open-loop load from many firms over kept connections, with a record of what each try got."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from ..address import Address
from ..net import sockets
from ..net.loop import READ, WRITE, Loop, Timer

CLASSES = (("load-sim", "GET", 4000), ("save-progress", "POST", 7500), ("submit-result", "POST", 7500))


@dataclass(slots=True)
class Firm:
    key: int
    plan: str
    rate: float  # tries a second
    spread: int
    first: int


@dataclass(slots=True)
class Try:
    """`status` 0: no answer (the connection ended, or its time was over)."""

    id: str
    firm: int
    guess: int
    ingress: int
    sent: float
    status: int = 0
    ended: float = 0.0
    taken: bool = False  # written whole to a connection that was up
    answers: int = 0


class Client:
    """A connection to one ingress; one try at a time."""

    def __init__(self, load: Load, ingress: int, sock: socket.socket) -> None:
        self.load, self.ingress, self.sock = load, ingress, sock
        self.parser = httptools.HttpResponseParser(self)
        self.one: Try | None = None
        self.out = b""
        self.up = False
        self.timer: Timer | None = None
        load.loop.register(sock, WRITE, self._event)

    def ask(self, one: Try, data: bytes, wait: float) -> None:
        self.one, self.out = one, data
        self.timer = self.load.loop.call_in(wait, self._late)
        if self.up:
            self._write()

    def _event(self, events: int) -> None:
        if not self.up:
            if sockets.connect_error(self.sock):
                self.close()
                return
            self.up = True
        if events & READ:
            try:
                data = self.sock.recv(1 << 16)
            except BlockingIOError:
                return
            except OSError:
                data = b""
            if not data:
                self.close()
                return
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError:
                self.close()
                return
        if self.sock.fileno() >= 0 and self.out:
            self._write()
        elif self.sock.fileno() >= 0:
            self.load.loop.set_interest(self.sock, READ, self._event)

    def _write(self) -> None:
        try:
            self.out = self.out[self.sock.send(self.out) :]
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        if not self.out and self.one is not None:
            self.one.taken = True
        self.load.loop.set_interest(self.sock, READ | WRITE if self.out else READ, self._event)

    def on_message_complete(self) -> None:
        one, self.one = self.one, None
        if self.timer is not None:
            self.timer.cancel()
        if one is not None:
            self.load.ended(one, self.parser.get_status_code())
        if self.parser.should_keep_alive():
            self.load.idle.setdefault(self.ingress, []).append(self)
            self.parser = httptools.HttpResponseParser(self)
        else:
            self.load.loop.call_soon(self.close)

    def _late(self) -> None:
        self.close()

    def close(self) -> None:
        if self.sock.fileno() < 0:
            return
        self.load.loop.set_interest(self.sock, 0, self._event)
        self.sock.close()
        idle = self.load.idle.get(self.ingress, [])
        if self in idle:
            idle.remove(self)
        if self.timer is not None:
            self.timer.cancel()
        if (one := self.one) is not None:
            self.one = None
            self.load.ended(one, 0)


class Load:
    """Poisson arrivals of each firm, over the ingresses of its set, the first of them twice as often."""

    def __init__(self, loop: Loop, ingresses: list[Address], firms: list[Firm], rng: random.Random) -> None:
        self.loop, self.ingresses, self.firms, self.rng = loop, ingresses, firms, rng
        self.tries: list[Try] = []
        self.idle: dict[int, list[Client]] = {}
        self.out = 0
        self.numbers = len(ingresses)  # over which the ingresses number a firm's set
        self.running = False
        self.down: set[int] = set()  # ingresses that the front knows to be away
        self.heard: Callable[[Try], None] = lambda one: None
        self._serial = rng.getrandbits(40) << 20

    def start(self) -> None:
        self.running = True
        for firm in self.firms:
            self._next(firm)

    def _next(self, firm: Firm) -> None:
        if self.running and firm.rate > 0:
            self.loop.call_in(self.rng.expovariate(firm.rate), lambda: self._arrive(firm))

    def _arrive(self, firm: Firm) -> None:
        self._next(firm)
        if self.running:
            self.ask(firm)

    def ask(self, firm: Firm) -> None:
        places = [(firm.first + n) % len(self.ingresses) for n in range(firm.spread)]
        places = [place for place in [*places, places[0]] if place not in self.down] or places
        self._serial += 1
        name, method, wait = CLASSES[self._serial % 3]
        guess = self.rng.choice((1, 1, 1, 2, 2, 3))
        one = Try(f"{self._serial:016x}", firm.key, guess, self.rng.choice(places), self.loop.clock())
        self.tries.append(one)
        self.out += 1
        body = b"state" if method == "POST" else b""
        data = (
            f"{method} /{name}/{firm.key:016x} HTTP/1.1\r\nHost: sims\r\nX-Request-ID: {one.id}\r\n"
            f"X-Priority-Class: {name}\r\nX-Tariff: {firm.plan}\r\nX-Timeout: {wait}m\r\n"
            f"X-Weight: units={guess},spread={firm.spread},first={firm.first % self.numbers}\r\n"
        )
        if body:
            data += f"Idempotency-Key: {one.id}\r\nContent-Length: {len(body)}\r\n"
        client = self._client(one.ingress)
        if client is None:
            self.ended(one, 0)
        else:
            client.ask(one, data.encode() + b"\r\n" + body, wait / 1000)

    def _client(self, ingress: int) -> Client | None:
        while kept := self.idle.get(ingress):
            client = kept.pop()
            if sockets.peek(client.sock) is None:
                return client
            client.close()
        try:
            return Client(self, ingress, sockets.connect(self.ingresses[ingress]))
        except OSError:
            return None

    def ended(self, one: Try, status: int) -> None:
        one.status, one.ended = status, self.loop.clock()
        one.answers += status > 0
        self.out -= 1
        self.heard(one)

    def stop(self) -> None:
        self.running = False

    def close(self) -> None:
        for kept in list(self.idle.values()):
            for client in list(kept):
                client.close()
