"""HTTP server of the control API, on the loop of a daemon or of the fleet supervisor.

It owns its listener, the accepted connections, and the socket file where it listens on a Unix socket.
"""

from __future__ import annotations

import contextlib
import os
import socket
import stat
from pathlib import Path

from ..address import Address, ConfigError
from ..metrics import Metrics
from ..net import sockets
from ..net.loop import READ, WRITE, Loop
from ..net.pool import Pool
from ..net.requests import RequestError, RequestReader, encode_head, encode_response
from .api import NO_CONTENT, ApiError, PendingReply, Reply, Routes, error_reply

MAX_CONNECTIONS = 16  # at a time; the oldest is closed to make room for a new one
IDLE_TIMEOUT_SECONDS = 30.0  # without input from the client, and without progress of its answer
LINGER_TIMEOUT_SECONDS = 2.0  # for the client to close its side after the last response
SWEEP_INTERVAL_SECONDS = 1.0
JSON_HEADERS = [(b"Content-Type", b"application/json")]


class Connection:
    """State of one accepted connection."""

    __slots__ = ("sock", "reader", "output", "keep_alive", "active_at", "is_closing", "pending_reply")

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock, self.reader, self.active_at = sock, RequestReader(), now  # last input, late reply or sent output
        self.output = b""
        self.keep_alive = True
        self.pending_reply: PendingReply | None = None  # not known yet; later requests wait for it
        self.is_closing = False  # the last response is sent; further input is read and discarded


class ControlServer:
    """Serves `routes` over HTTP/1.1 with keep-alive; the requests of a connection are answered in order."""

    def __init__(self, loop: Loop, pool: Pool, routes: Routes, metrics: Metrics) -> None:
        self.loop, self.pool, self.routes, self.metrics = loop, pool, routes, metrics
        self.connections: dict[Connection, None] = {}
        self.listener: socket.socket | None = None
        self._path = ""

    def listen(self, address: Address | str) -> str:
        """Starts to listen and returns the address in the form that commands take. Raises OSError or ConfigError."""
        if isinstance(address, str):
            self.listener = self._listen_unix(address)
            self._path, name = address, f"unix:{address}"
        else:
            self.listener = sockets.listen(address, 16)
            host, port = self.listener.getsockname()[:2]
            name = f"{host}:{port}"
        self.loop.register(self.listener, READ, self._on_acceptable)
        self.loop.call_in(SWEEP_INTERVAL_SECONDS, self._sweep)
        return name

    def _listen_unix(self, path: str) -> socket.socket:
        """Removes a socket file on which nothing listens any more, but no other file. Raises OSError or ConfigError."""
        with contextlib.suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.stat(path).st_mode):
                raise ConfigError(f"control.listen: {path}: the file exists and is not a socket")
            with socket.socket(socket.AF_UNIX) as probe:
                try:
                    probe.connect(path)
                except OSError:
                    Path(path).unlink(missing_ok=True)
                else:
                    raise ConfigError(f"control.listen: {path}: another process is listening on this socket")
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        previous_umask = os.umask(0o177)  # only the owner may connect
        try:
            sock.bind(path)
        finally:
            os.umask(previous_umask)
        sock.listen(16)
        sock.setblocking(False)
        return sock

    def _on_acceptable(self, events: int) -> None:
        assert self.listener is not None
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        if len(self.connections) >= MAX_CONNECTIONS:
            self.close(next(iter(self.connections)))
        connection = Connection(sock, self.loop.clock())
        self.connections[connection] = None
        self.loop.register(sock, READ, lambda events: self._on_events(connection, events))

    def _on_events(self, connection: Connection, events: int) -> None:
        if events & WRITE:
            self._flush(connection)
        if events & READ and connection in self.connections and not connection.output:
            self._on_readable(connection)

    def _on_readable(self, connection: Connection) -> None:
        buffer = self.pool.acquire()
        status = 0
        try:
            count = connection.sock.recv_into(buffer)
            if count and not connection.is_closing:
                connection.reader.feed(memoryview(buffer)[:count])
        except BlockingIOError:
            return
        except OSError:
            count = 0
        except RequestError as error:
            status = error.status
        finally:
            self.pool.release(buffer)
        if not count:
            self.close(connection)
            return
        if connection.is_closing:
            return
        connection.active_at = self.loop.clock()
        if connection.reader.awaits_continue:
            connection.reader.awaits_continue = False
            connection.output += b"HTTP/1.1 100 Continue\r\n\r\n"
        self._answer_requests(connection)
        if status and connection.keep_alive:
            connection.keep_alive = False
            body = b'{"error":{"field":"body","text":"over 64 KiB"}}\n' if status == 413 else b""
            connection.output += encode_response(status, body, False, 0.0, JSON_HEADERS if body else None)
        self._flush(connection)

    def _answer_requests(self, connection: Connection) -> None:
        """Answers complete requests in order, until one has a reply that is not known yet."""
        while connection.reader.complete and connection.keep_alive and connection.pending_reply is None:
            request, connection.keep_alive = connection.reader.complete.popleft()
            self.metrics.add("control_calls")
            method, target = request.method.decode("ascii", "replace"), request.target.decode("ascii", "replace")
            try:
                result = self.routes.answer(method, target, request.body)
            except Exception:  # the caller gets an answer, and later requests are served
                self.loop.report_exception()
                result = error_reply(ApiError(500, "path", f"{method} {target[:100]}: internal error, see the log"))
            if isinstance(result, PendingReply):
                keep_alive, connection.pending_reply, connection.keep_alive = connection.keep_alive, result, True
                result.on_reply = lambda reply, keep_alive=keep_alive: self._send_pending_reply(  # type: ignore[misc]
                    connection, reply, keep_alive
                )
            else:
                self._add_reply(connection, result)

    def _add_reply(self, connection: Connection, reply: Reply) -> None:
        if reply.status >= 400:
            self.metrics.add("control_faults")
        if reply.status == NO_CONTENT:  # ends with its head, and names no length
            connection.output += encode_head(reply.status, b"", connection.keep_alive)
            return
        connection.output += encode_response(reply.status, reply.body, connection.keep_alive, reply.after, JSON_HEADERS)

    def _send_pending_reply(self, connection: Connection, reply: Reply, keep_alive: bool) -> None:
        if connection in self.connections:
            connection.pending_reply, connection.keep_alive, connection.active_at = None, keep_alive, self.loop.clock()
            self._add_reply(connection, reply)
            self._answer_requests(connection)
            self._flush(connection)

    def _flush(self, connection: Connection) -> None:
        try:
            while connection.output:
                connection.output = connection.output[connection.sock.send(connection.output) :]
                connection.active_at = self.loop.clock()
        except BlockingIOError:
            pass
        except OSError:
            self.close(connection)
            return
        if not connection.output and not connection.keep_alive:
            if not connection.is_closing:
                self._shut_down(connection)
        else:
            self.loop.set_interest(
                connection.sock,
                WRITE if connection.output else READ,
                lambda events: self._on_events(connection, events),
            )

    def _shut_down(self, connection: Connection) -> None:
        """Ends the sending side only: closing with unread input sends a reset, which can overtake the response."""
        connection.is_closing = True
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_WR)
        self.loop.set_interest(connection.sock, READ, lambda events: self._on_events(connection, events))

    def close(self, connection: Connection) -> None:
        """Closes a connection and releases what it holds; does nothing where it is closed already."""
        if connection in self.connections:
            del self.connections[connection]
            self.loop.set_interest(connection.sock, 0, lambda events: None)
            connection.sock.close()
            connection.reader.close()

    def _sweep(self) -> None:
        """Closes idle connections, and closing ones whose client has not closed its side."""
        now = self.loop.clock()
        for connection in list(self.connections):
            timeout = LINGER_TIMEOUT_SECONDS if connection.is_closing else IDLE_TIMEOUT_SECONDS
            if connection.pending_reply is None and now - connection.active_at > timeout:
                self.close(connection)
        if self.listener is not None:
            self.loop.call_in(SWEEP_INTERVAL_SECONDS, self._sweep)

    def stop(self) -> None:
        """Closes the listener and all connections, and removes the socket file."""
        if self.listener is not None:
            self.loop.set_interest(self.listener, 0, lambda events: None)
            self.listener.close()
            self.listener = None
            if self._path:
                Path(self._path).unlink(missing_ok=True)
        for connection in list(self.connections):
            self.close(connection)
