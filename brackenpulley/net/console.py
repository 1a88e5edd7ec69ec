"""The operators' console: an HTTP/1.1 server that handles one request a connection.

It owns its listener and its connections. A request is answered in the loop iteration in which its head is complete. A
slow connection is closed at its deadline, and no handler waits for the data path: each reads the daemon's state and
responds at once.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from ..address import Address
from . import sockets
from .loop import READ, WRITE, Loop
from .requests import encode_response

MAX_HEAD_BYTES = 4096
CONNECTION_DEADLINE_SECONDS = 1.0  # from accepting a connection until it is closed, whether or not it was answered
MAX_CONNECTIONS = 32  # at a time; the oldest is closed to make room for a new one
TEXT_PLAIN = b"text/plain; charset=utf-8"

Handler = Callable[[], tuple[int, bytes, bytes]]  # returns status, body and content type


class Connection:
    """State of one accepted connection."""

    __slots__ = ("sock", "head", "output", "timer", "is_answered")

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.head, self.output = sock, b"", b""
        self.timer: Any = None
        self.is_answered = False


def build_response(
    status: int, body: bytes, content_type: bytes = TEXT_PLAIN, extra_headers: list[tuple[bytes, bytes]] | None = None
) -> bytes:
    """Encode a response after which the connection is closed."""
    return encode_response(status, body, False, headers=[(b"Content-Type", content_type), *(extra_headers or [])])


class Console:
    """Serves `routes`, a map from path and method to handler."""

    def __init__(self, loop: Loop, routes: dict[bytes, dict[bytes, Handler]], log: Any) -> None:
        self.loop, self.routes, self.log = loop, routes, log
        self.connections: dict[Connection, None] = {}  # oldest first
        self.listener: socket.socket | None = None

    def listen(self, address: Address) -> Address:
        """Start to listen and return the bound address. Raises OSError."""
        self.listener = sockets.listen(address, 64)
        self.loop.register(self.listener, READ, self._on_acceptable, urgent=True)
        bound = self.listener.getsockname()
        return bound[0], bound[1]

    def _on_acceptable(self, events: int) -> None:
        for _ in range(MAX_CONNECTIONS):
            if self.listener is None:
                return
            try:
                sock = sockets.accept(self.listener)
            except BlockingIOError:
                return
            except OSError:  # out of descriptors, or the client has gone: the next accept may succeed
                if self.connections:
                    self.close(next(iter(self.connections)))
                continue
            if len(self.connections) >= MAX_CONNECTIONS:
                self.close(next(iter(self.connections)))
            connection = Connection(sock)
            self.connections[connection] = None
            connection.timer = self.loop.call_in(CONNECTION_DEADLINE_SECONDS, lambda c=connection: self.close(c))  # type: ignore[misc]
            self.loop.register(
                sock,
                READ,
                lambda events, c=connection: self._on_event(c, events),  # type: ignore[misc]
                urgent=True,
            )

    def _on_event(self, connection: Connection, events: int) -> None:
        if events & READ:
            self._on_readable(connection)
        if events & WRITE and connection in self.connections:
            self._flush(connection)

    def _on_readable(self, connection: Connection) -> None:
        try:
            data = connection.sock.recv(MAX_HEAD_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close(connection)
            return
        if connection.is_answered:  # further input is discarded: closing with unread data would reset the connection
            return
        connection.head += data
        end = connection.head.find(b"\r\n\r\n")
        if end < 0 and len(connection.head) < MAX_HEAD_BYTES:
            return
        connection.is_answered = True
        connection.output = self._respond(connection.head[:end] if 0 <= end < MAX_HEAD_BYTES else b"")
        self._flush(connection)

    def _respond(self, head: bytes) -> bytes:
        words = head.split(b"\r\n", 1)[0].split(b" ")
        if len(words) != 3 or not words[2].startswith(b"HTTP/1."):
            return build_response(400, b"head: not a request line of HTTP/1.1 within 4096 bytes\n")
        method, target = words[0], words[1].split(b"?", 1)[0]
        handlers = self.routes.get(target)
        if handlers is None:
            return build_response(404, b"path: no call " + target[:80] + b"\n")
        handler = handlers.get(method)
        if handler is None:
            allowed = b", ".join(handlers)
            return build_response(
                405, b"method: " + target[:80] + b" takes " + allowed + b"\n", extra_headers=[(b"Allow", allowed)]
            )
        status, body, content_type = handler()
        return build_response(status, body, content_type)

    def _flush(self, connection: Connection) -> None:
        try:
            sent = connection.sock.send(connection.output)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close(connection)
            return
        connection.output = connection.output[sent:]
        if connection.output:
            self.loop.set_interest(connection.sock, READ | WRITE, lambda events: self._on_event(connection, events))
            return
        try:
            connection.sock.shutdown(socket.SHUT_WR)  # the client reads to the end; its own end closes the connection
        except OSError:
            self.close(connection)
            return
        self.loop.set_interest(connection.sock, READ, lambda events: self._on_event(connection, events))

    def close(self, connection: Connection) -> None:
        """Close a connection and release all it holds; no other code closes one."""
        if connection not in self.connections:
            return
        del self.connections[connection]
        connection.timer.cancel()
        self.loop.unregister(connection.sock)
        connection.sock.close()

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self.listener is not None:
            self.loop.unregister(self.listener)
            self.listener.close()
            self.listener = None
        for connection in list(self.connections):
            self.close(connection)
