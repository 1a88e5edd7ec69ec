"""A listener on the loop that reads whole HTTP requests and lets its owner answer at any later time, or never.

The other stand-ins build on it. One that speaks another protocol replaces `Listener.feed`."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from ..bodies.memory import BodyMemory
from ..net import sockets
from ..net.http import DEFAULT_MAX_BODY_BYTES, Payload
from ..net.loop import READ, WRITE, Loop
from ..net.requests import RequestError, RequestReader

RECEIVE_CHUNK_BYTES = 1 << 18
RequestCallback = Callable[["Connection", Payload], None]


class Connection:
    """One accepted connection. Received bytes go to the listener's `feed`; `send` may be called at any later time."""

    def __init__(self, listener: Listener, sock: socket.socket) -> None:
        self.listener, self.sock = listener, sock
        self.reader = RequestReader(listener.body_memory, DEFAULT_MAX_BODY_BYTES)
        self.received = b""  # unparsed bytes, for listeners that do not speak HTTP
        self.unsent: bytes | memoryview = b""
        self.on_drained: Callable[[], None] | None = None  # called once when everything passed to `send` is written
        self.is_open = True
        listener.loop.register(sock, READ, self._handle_events)

    def _handle_events(self, events: int) -> None:
        if events & WRITE:
            self.send(b"")
        if not events & READ or not self.is_open:
            return
        try:
            data = self.sock.recv(RECEIVE_CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self.listener.feed(self, data)

    def send(self, data: bytes) -> None:
        """Write `data`, and keep in `unsent` what the socket does not accept yet. Does nothing once closed."""
        if not self.is_open:
            return
        self.unsent = bytes(self.unsent) + data if self.unsent else data
        try:
            while self.unsent:
                self.unsent = memoryview(self.unsent)[self.sock.send(self.unsent) :]
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        self.listener.loop.set_interest(self.sock, READ | WRITE if self.unsent else READ, self._handle_events)
        if not self.unsent and self.on_drained is not None:
            callback, self.on_drained = self.on_drained, None
            self.listener.loop.call_soon(callback)

    def answer(self, status: int, body: bytes = b"", headers: str = "") -> None:
        """Send an HTTP response. `headers` are extra header lines, each with its CRLF."""
        self.send(f"HTTP/1.1 {status} Answer\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body)

    def reset(self) -> None:
        """Close so that the peer sees a connection reset."""
        sockets.reset_on_close(self.sock)
        self.close()

    def close(self) -> None:
        """Close the socket and remove the connection from its listener. May be called more than once."""
        if self.is_open:
            self.is_open = False
            self.listener.loop.set_interest(self.sock, 0, self._handle_events)
            self.sock.close()
            self.listener.connections.discard(self)


class Listener:
    """A listening socket and its open connections.

    Port 0 takes a free port, and `address` is where it listens. After `stop`, `listen` opens the same address again."""

    def __init__(
        self,
        loop: Loop,
        on_request: RequestCallback | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        body_memory: BodyMemory | None = None,
    ) -> None:
        """With `body_memory`, a request with a long body is reported while its body still arrives."""
        self.loop, self.on_request, self.body_memory = loop, on_request, body_memory
        self.connections: set[Connection] = set()
        self.sock: socket.socket | None = None
        self.address = (host, port)
        self.listen()

    def listen(self) -> None:
        """Open the listening socket and accept connections."""
        self.sock = sockets.listen(self.address, 256)
        host, port = self.sock.getsockname()[:2]
        self.address = (host, port)
        self.loop.register(self.sock, READ, self._accept_connections)

    @property
    def address_text(self) -> str:
        """The address as `host:port`."""
        return f"{self.address[0]}:{self.address[1]}"

    def _accept_connections(self, events: int) -> None:
        for _ in range(64):
            if self.sock is None:
                return
            try:
                sock = sockets.accept(self.sock)
            except OSError:
                return
            self.connections.add(Connection(self, sock))

    def feed(self, connection: Connection, data: bytes) -> None:
        """Parse received bytes as HTTP and report each complete request. Malformed requests get an error answer."""
        try:
            connection.reader.feed(memoryview(data))
        except RequestError as error:
            connection.answer(error.status, headers="Connection: close\r\n")
            connection.close()
            return
        while connection.reader.complete and connection.is_open and self.on_request is not None:
            self.on_request(connection, connection.reader.complete.popleft()[0])

    def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self.sock is not None:
            self.loop.set_interest(self.sock, 0, lambda events: None)
            self.sock.close()
            self.sock = None
        for connection in list(self.connections):
            connection.close()


def find_header(payload: Payload, name: bytes, default: Any = b"") -> Any:
    """Return the first value of the header `name` (in lower case), or `default` where it is absent."""
    return next((value for found, value in payload.headers if found == name), default)
