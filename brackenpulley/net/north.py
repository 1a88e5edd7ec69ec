"""The north side: clients' connections. It reads messages, and writes the one answer that the exchange lets through."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from ..address import Address
from ..core.exchange import Answer, Exchange, South
from ..core.ingress import Ingress
from ..core.message import MessageError
from ..metrics import Metrics
from ..policy.drain import Drain
from . import sockets
from .loop import READ, WRITE, Loop
from .pool import Pool
from .requests import Fault, Reader, encode, message

ACCEPTS_A_TURN = 64
PARTIAL = 2.0  # s from connecting, or from a message's first byte, until the message is whole
UNTAKEN = 10.0  # s for an answer to be taken
UNTAKEN_AT_END = 3.0  # the same after SIGTERM, so that no client keeps the program from ending in time
IDLE = 120.0  # s after which a connection without a message is closed
SWEEP = 0.25
NEW = 0.05  # s in which a message is on its way for sure; after that a stranger is the first to make room
PAUSE = 0.01  # s without accepting where nothing can make room


class Client:
    """One connection of the north side; owned by North, closed in North.close alone."""

    __slots__ = ("sock", "reader", "exchange", "busy", "keep", "out", "since", "reading", "closing", "serial",
                 "crowded")

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock, self.reader = sock, Reader()
        self.exchange: Exchange | None = None
        self.busy = False  # a message of it is in hand, its answer not yet written
        self.keep = True
        self.out: bytes | memoryview = b""  # of the answer, what the socket has not taken yet
        self.since = now
        self.reading = True
        self.closing = False
        self.serial = 0
        self.crowded = False  # the next message came before the one in front of it was answered


class North:
    def __init__(self, loop: Loop, pool: Pool, ingress: Ingress, south: South, metrics: Metrics, log: Any,
                 most: int, ready: Callable[[], bool], drain: Drain) -> None:
        self.loop, self.pool, self.ingress, self.south = loop, pool, ingress, south
        self.metrics, self.log, self.most, self.ready = metrics, log, most, ready
        self.clients: dict[Client, None] = {}  # the longest unused first
        self.strangers: dict[Client, None] = {}  # of these, those that have not sent a whole message yet; oldest first
        self.listener: socket.socket | None = None
        self.accepting = False
        self.drain = drain

    @property
    def draining(self) -> bool:
        return self.drain.draining

    def listen(self, at: Address) -> Address:
        self.listener = sock = sockets.listen(at, 1024, shared=True)
        self._accept_on()
        self.loop.call_in(SWEEP, self._sweep)
        bound = sock.getsockname()
        return bound[0], bound[1]

    def _accept_on(self) -> None:
        if self.listener and not self.accepting:
            self.accepting = True
            self.loop.register(self.listener, READ, self._acceptable)

    def _accept_off(self) -> None:
        if self.listener and self.accepting:
            self.accepting = False
            self.loop.forget(self.listener)

    def _acceptable(self, events: int) -> None:
        self.accept(ACCEPTS_A_TURN)

    def accept(self, count: int, at_end: bool = False) -> None:
        for _ in range(count):
            if self.listener is None:
                return
            try:
                sock = sockets.accept(self.listener)
            except BlockingIOError:
                return
            except OSError as error:
                if sockets.out_of_descriptors(error):
                    self.metrics.add("out_of_descriptors")
                    if not self._evict():
                        self._pause()
                        return
                continue
            client = Client(sock, self.loop.clock())
            self.clients[client] = self.strangers[client] = None
            self.metrics.add("accepted")
            self.loop.register(sock, READ, lambda events, c=client: self._event(c, events))  # type: ignore[misc]
            self._readable(client)
            # What waits in the backlog counts as taken: unused connections make room before anything waits there.
            if len(self.clients) > self.most and not self._evict() and not at_end:
                self._pause()
                return

    def _pause(self) -> None:
        self._accept_off()
        self.loop.call_in(PAUSE, self._resume)

    def _resume(self) -> None:
        if len(self.clients) <= self.most or self._evict():
            self._accept_on()
        else:
            self._pause()

    def _evict(self) -> bool:
        """Close the oldest stranger that sends no whole message, or the longest unused that has nothing to say."""
        old = self.loop.clock() - NEW
        for client in self.strangers:  # a crowd of them must not shut out those who come to ask
            if client.since > old:
                break
            if not client.busy and not client.out and (client.reader.partial or not self._spoke(client)):
                self.metrics.add("strangers_closed")
                self.close(client)
                return True
        for client in self.clients:
            if client.serial and not client.busy and not client.reader.partial and not client.out and (
                    not self._spoke(client)):
                self.close(client)
                return True
        return False

    def _spoke(self, client: Client) -> bool:
        """Something has come that is not read yet: closing now would lose a message."""
        return bool(sockets.waiting(client.sock))

    def _event(self, client: Client, events: int) -> None:
        if events & WRITE:
            self._flush(client)
        if events & READ and client.reading and client in self.clients:
            self._readable(client)

    def _readable(self, client: Client) -> None:
        buffer, partial = self.pool.take(), client.reader.partial
        fault = 0
        try:
            count = client.sock.recv_into(buffer)
            if count:
                client.reader.feed(memoryview(buffer)[:count])
        except BlockingIOError:
            return
        except OSError:
            count = 0
        except Fault as error:
            fault = error.status
        finally:
            self.pool.give(buffer)
        if fault:
            self._fault(client, fault)
            return
        if not count:
            self.close(client)
            return
        if client.reader.waits_to_continue and not client.out and not client.busy:
            client.reader.waits_to_continue = False
            self._write(client, b"HTTP/1.1 100 Continue\r\n\r\n")
        if client.serial and (not client.reader.partial or not partial):
            # A message has its time from its first byte, the first one from connecting, however it drips in.
            client.since = self.loop.clock()
        if not client.busy:
            self._next(client)
        if client.reader.whole and client in self.clients:
            self._interest(client)

    def _fault(self, client: Client, status: int) -> None:
        self.metrics.add("malformed")
        client.reading, client.keep = False, False
        if client.busy:  # the answer to the message before it goes first, then the connection ends
            client.closing = True
            self._interest(client)
        else:
            client.busy = True
            self._reply(client, status)

    def _next(self, client: Client) -> None:
        """One message of this connection; the one before it has been answered."""
        if client not in self.clients or client.busy or not client.reader.whole:
            return
        payload, keep = client.reader.whole.popleft()
        crowded, client.crowded = client.crowded, bool(client.reader.whole)
        client.busy = True
        client.serial += 1
        self.strangers.pop(client, None)
        client.keep = client.keep and keep
        del self.clients[client]  # used last: now at the end
        self.clients[client] = None
        if payload.method == b"GET" and payload.target == b"/ready":
            self._reply(client, 200 if self.drain.ready(self.ready()) else 503)
            return
        serial = client.serial
        try:
            if crowded:
                raise MessageError("one message at a time on a connection")
            asked = message(payload)
            exchange = self.ingress.take(asked, lambda answer: self._answer(client, serial, answer), self.south,
                                         self.drain.tries(self.ready))
        except MessageError as error:
            self.metrics.add("malformed")
            client.keep = bool(client.reader.whole)  # whoever sends the same thing again connects again
            self._reply(client, 400, str(error).encode("ascii", "replace"))
            return
        if exchange is None:
            self._reply(client, 409, b"x-request-id: in hand already")
        elif client.busy and client.serial == serial and not exchange.over:
            client.exchange = exchange

    def _answer(self, client: Client, serial: int, answer: Answer) -> None:
        if client in self.clients and client.busy and client.serial == serial:
            client.exchange = None
            body, headers = answer.payload or (b"", None)
            self._reply(client, answer.status, body, answer.after, headers)

    def _reply(self, client: Client, status: int, body: bytes = b"", after: float = 0.0,
               headers: list[tuple[bytes, bytes]] | None = None) -> None:
        client.keep = client.keep and not self.draining
        client.since = self.loop.clock()
        self._write(client, encode(status, body, client.keep, after, headers))

    def _write(self, client: Client, data: bytes) -> None:
        client.out = data if not client.out else bytes(client.out) + data
        self._flush(client)

    def _flush(self, client: Client) -> None:
        if client.out:
            try:
                sent = client.sock.send(client.out)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.close(client)
                return
            client.out = memoryview(client.out)[sent:] if sent < len(client.out) else b""
        if client.out:
            self._interest(client)
            return
        if client.busy and client.exchange is None:
            self._done(client)
        else:
            self._interest(client)

    def _done(self, client: Client) -> None:
        """The answer is out whole."""
        client.busy, client.since = False, self.loop.clock()
        if not client.keep or client.closing:
            self.close(client)
        elif client.reader.whole:
            self.loop.call_soon(lambda: self._next(client))
        else:
            self._interest(client)

    def _interest(self, client: Client) -> None:
        """Read unless messages wait that came too early; write while something waits to be written."""
        wanted = (READ if client.reading and not (client.busy and client.reader.whole) else 0) | (
            WRITE if client.out else 0)
        self.loop.want(client.sock, wanted, lambda events: self._event(client, events))

    def close(self, client: Client) -> None:
        """The one place where a client's connection is given back."""
        if client not in self.clients:
            return
        del self.clients[client]
        self.strangers.pop(client, None)
        self.loop.want(client.sock, 0, lambda events: None)
        client.sock.close()
        self.metrics.add("closed")
        if client.exchange is not None:
            exchange, client.exchange = client.exchange, None
            self.ingress.leave(exchange)
        client.reader.close()
        if len(self.clients) < self.most:
            self._accept_on()

    def _sweep(self) -> None:
        """Connections that stand still: half a message, an answer nobody takes, no message for long."""
        now = self.loop.clock()
        untaken = UNTAKEN_AT_END if self.draining else UNTAKEN
        for client in list(self.clients):
            still = now - client.since
            if client.out:
                if still > untaken:
                    self.close(client)
            elif not client.busy and client.reader.partial and still > PARTIAL:
                client.busy = True
                client.keep = client.reading = False
                self._reply(client, 408)
            elif not client.busy and not client.reader.partial and not self._spoke(client) and (
                    self.draining or still > (IDLE if client.serial else PARTIAL)):
                self.close(client)
        if self.listener is not None or self.clients:
            self.loop.call_in(SWEEP, self._sweep)

    def stop_listening(self) -> None:
        """What has reached the backlog is taken in first."""
        self.accept(4096, at_end=True)
        self._accept_off()
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def stop(self) -> None:
        if self.listener is not None:
            self._accept_off()
            self.listener.close()
            self.listener = None
        for client in list(self.clients):
            self.close(client)

    def close_unused(self) -> None:
        for client in list(self.clients):
            if not client.busy and not client.reader.partial and not client.out and not self._spoke(client):
                self.close(client)
