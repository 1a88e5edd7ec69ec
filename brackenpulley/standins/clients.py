"""Clients: an open-loop load from many firms over keep-alive connections, with a record of each message's answer.

The demo, the benchmarks and the tests drive real ingresses with it."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from ..address import Address
from ..net import sockets
from ..net.loop import READ, WRITE, Loop, Timer

# Class name, HTTP method and timeout in milliseconds; messages go through them in turn.
CLASSES = (("load-sim", "GET", 4000), ("save-progress", "POST", 7500), ("submit-result", "POST", 7500))


@dataclass(slots=True)
class Firm:
    """A firm whose clients send messages to `spread` ingresses, from number `first` on."""

    key: int
    plan: str
    rate: float  # messages a second, over all its ingresses
    spread: int
    first: int


@dataclass(slots=True)
class SentMessage:
    """One message and its end. `status` 0 means no answer: the connection ended or the timeout passed."""

    id: str
    firm: int
    estimate: int  # units
    ingress: int
    sent_at: float
    status: int = 0
    ended_at: float = 0.0
    is_written: bool = False  # whole, to an established connection
    answer_count: int = 0


class Client:
    """A connection to one ingress that carries one message at a time."""

    def __init__(self, load: Load, ingress: int, sock: socket.socket) -> None:
        self.load, self.ingress, self.sock = load, ingress, sock
        self.parser = httptools.HttpResponseParser(self)
        self.message: SentMessage | None = None
        self.unsent = b""
        self.is_connected = False
        self.timer: Timer | None = None
        load.loop.register(sock, WRITE, self._handle_events)

    def send(self, message: SentMessage, data: bytes, timeout_s: float) -> None:
        """Send the encoded request `data` of `message`, and close the connection if no answer comes in time."""
        self.message, self.unsent = message, data
        self.timer = self.load.loop.call_in(timeout_s, self._expire)
        if self.is_connected:
            self._write()

    def _handle_events(self, events: int) -> None:
        if not self.is_connected:
            if sockets.connect_error(self.sock):
                self.close()
                return
            self.is_connected = True
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
        if self.sock.fileno() >= 0 and self.unsent:
            self._write()
        elif self.sock.fileno() >= 0:
            self.load.loop.set_interest(self.sock, READ, self._handle_events)

    def _write(self) -> None:
        try:
            self.unsent = self.unsent[self.sock.send(self.unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        if not self.unsent and self.message is not None:
            self.message.is_written = True
        self.load.loop.set_interest(self.sock, READ | WRITE if self.unsent else READ, self._handle_events)

    def on_message_complete(self) -> None:
        """Record the answer, and keep the connection if the ingress does. Called by the response parser."""
        message, self.message = self.message, None
        if self.timer is not None:
            self.timer.cancel()
        if message is not None:
            self.load.record_end(message, self.parser.get_status_code())
        if self.parser.should_keep_alive():
            self.load.idle_clients.setdefault(self.ingress, []).append(self)
            self.parser = httptools.HttpResponseParser(self)
        else:
            self.load.loop.call_soon(self.close)

    def _expire(self) -> None:
        self.close()

    def close(self) -> None:
        """Close the connection; a message in flight ends without an answer. May be called more than once."""
        if self.sock.fileno() < 0:
            return
        self.load.loop.set_interest(self.sock, 0, self._handle_events)
        self.sock.close()
        idle = self.load.idle_clients.get(self.ingress, [])
        if self in idle:
            idle.remove(self)
        if self.timer is not None:
            self.timer.cancel()
        if (message := self.message) is not None:
            self.message = None
            self.load.record_end(message, 0)


class Load:
    """Open-loop load: Poisson arrivals of each firm, spread over its ingresses, the first of them twice as likely."""

    def __init__(self, loop: Loop, ingresses: list[Address], firms: list[Firm], rng: random.Random) -> None:
        self.loop, self.ingresses, self.firms, self.rng = loop, ingresses, firms, rng
        self.messages: list[SentMessage] = []
        self.idle_clients: dict[int, list[Client]] = {}  # keep-alive connections by ingress
        self.in_flight = 0
        self.ingress_count = len(ingresses)  # that the ingresses are configured with, for the X-Weight header
        self.is_running = False
        self.unavailable_ingresses: set[int] = set()  # as the load balancer in front of the ingresses knows them
        self.on_end: Callable[[SentMessage], None] = lambda message: None
        self._serial = rng.getrandbits(40) << 20

    def start(self) -> None:
        """Start the arrivals of all firms."""
        self.is_running = True
        for firm in self.firms:
            self._schedule_next(firm)

    def _schedule_next(self, firm: Firm) -> None:
        if self.is_running and firm.rate > 0:
            self.loop.call_in(self.rng.expovariate(firm.rate), lambda: self._arrive(firm))

    def _arrive(self, firm: Firm) -> None:
        self._schedule_next(firm)
        if self.is_running:
            self.send_message(firm)

    def send_message(self, firm: Firm) -> None:
        """Send one message of the firm to one of its available ingresses, or to any of them if none is available."""
        numbers = [(firm.first + n) % len(self.ingresses) for n in range(firm.spread)]
        numbers = [number for number in [*numbers, numbers[0]] if number not in self.unavailable_ingresses] or numbers
        self._serial += 1
        name, method, timeout_ms = CLASSES[self._serial % 3]
        estimate = self.rng.choice((1, 1, 1, 2, 2, 3))
        message = SentMessage(f"{self._serial:016x}", firm.key, estimate, self.rng.choice(numbers), self.loop.clock())
        self.messages.append(message)
        self.in_flight += 1
        body = b"state" if method == "POST" else b""
        data = (
            f"{method} /{name}/{firm.key:016x} HTTP/1.1\r\nHost: sims\r\nX-Request-ID: {message.id}\r\n"
            f"X-Priority-Class: {name}\r\nX-Tariff: {firm.plan}\r\nX-Timeout: {timeout_ms}m\r\n"
            f"X-Weight: units={estimate},spread={firm.spread},first={firm.first % self.ingress_count}\r\n"
        )
        if body:
            data += f"Idempotency-Key: {message.id}\r\nContent-Length: {len(body)}\r\n"
        client = self._get_client(message.ingress)
        if client is None:
            self.record_end(message, 0)
        else:
            client.send(message, data.encode() + b"\r\n" + body, timeout_ms / 1000)

    def _get_client(self, ingress: int) -> Client | None:
        while idle := self.idle_clients.get(ingress):
            client = idle.pop()
            if sockets.peek(client.sock) is None:
                return client
            client.close()
        try:
            return Client(self, ingress, sockets.connect(self.ingresses[ingress]))
        except OSError:
            return None

    def record_end(self, message: SentMessage, status: int) -> None:
        """Record the end of a message, with status 0 where no answer came, and call `on_end`."""
        message.status, message.ended_at = status, self.loop.clock()
        message.answer_count += status > 0
        self.in_flight -= 1
        self.on_end(message)

    def stop(self) -> None:
        """Stop the arrivals. Messages in flight go on."""
        self.is_running = False

    def close(self) -> None:
        """Close all idle connections."""
        for idle in list(self.idle_clients.values()):
            for client in list(idle):
                client.close()
