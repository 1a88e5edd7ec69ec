"""A listener on the loop whose connections bring whole HTTP messages; answers may come later, or never."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from ..bodies.memory import BodyMemory
from ..net import sockets
from ..net.http import DEFAULT_MAX_BODY_BYTES, Payload
from ..net.loop import READ, WRITE, Loop
from ..net.requests import RequestError, RequestReader

CHUNK = 1 << 18
Heard = Callable[["Line", Payload], None]


class Line:
    """One accepted connection. `feed` of the server sees its bytes; `send` may be called at any later time."""

    def __init__(self, server: Listener, sock: socket.socket) -> None:
        self.server, self.sock = server, sock
        self.reader = RequestReader(server.shares, DEFAULT_MAX_BODY_BYTES)
        self.data = b""  # for listeners that speak no HTTP
        self.out: bytes | memoryview = b""
        self.drained: Callable[[], None] | None = None  # called when all that was sent has gone
        self.open = True
        server.loop.register(sock, READ, self._event)

    def _event(self, events: int) -> None:
        if events & WRITE:
            self.send(b"")
        if not events & READ or not self.open:
            return
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self.server.feed(self, data)

    def send(self, data: bytes) -> None:
        if not self.open:
            return
        self.out = bytes(self.out) + data if self.out else data
        try:
            while self.out:
                self.out = memoryview(self.out)[self.sock.send(self.out) :]
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        self.server.loop.set_interest(self.sock, READ | WRITE if self.out else READ, self._event)
        if not self.out and self.drained is not None:
            call, self.drained = self.drained, None
            self.server.loop.call_soon(call)

    def answer(self, status: int, body: bytes = b"", headers: str = "") -> None:
        """`headers` as lines, each with its end."""
        self.send(f"HTTP/1.1 {status} Answer\r\nContent-Length: {len(body)}\r\n{headers}\r\n".encode() + body)

    def reset(self) -> None:
        """Break: the other side sees a reset where something of it is unread or unanswered."""
        sockets.reset_on_close(self.sock)
        self.close()

    def close(self) -> None:
        if self.open:
            self.open = False
            self.server.loop.set_interest(self.sock, 0, self._event)
            self.sock.close()
            self.server.lines.discard(self)


class Listener:
    """Port 0 takes a free one; `at` is where it listens. `stop` and `listen` again make it go and come back."""

    def __init__(
        self,
        loop: Loop,
        heard: Heard | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        shares: BodyMemory | None = None,
    ) -> None:
        """`shares`: for long bodies, which are heard of while they come."""
        self.loop, self.heard, self.shares = loop, heard, shares
        self.lines: set[Line] = set()
        self.sock: socket.socket | None = None
        self.at = (host, port)
        self.listen()

    def listen(self) -> None:
        self.sock = sockets.listen(self.at, 256)
        host, port = self.sock.getsockname()[:2]
        self.at = (host, port)
        self.loop.register(self.sock, READ, self._acceptable)

    @property
    def text(self) -> str:
        return f"{self.at[0]}:{self.at[1]}"

    def _acceptable(self, events: int) -> None:
        for _ in range(64):
            if self.sock is None:
                return
            try:
                sock = sockets.accept(self.sock)
            except OSError:
                return
            self.lines.add(Line(self, sock))

    def feed(self, line: Line, data: bytes) -> None:
        """HTTP; a stand-in with another protocol has its own."""
        try:
            line.reader.feed(memoryview(data))
        except RequestError as error:
            line.answer(error.status, headers="Connection: close\r\n")
            line.close()
            return
        while line.reader.complete and line.open and self.heard is not None:
            self.heard(line, line.reader.complete.popleft()[0])

    def stop(self) -> None:
        if self.sock is not None:
            self.loop.set_interest(self.sock, 0, lambda events: None)
            self.sock.close()
            self.sock = None
        for line in list(self.lines):
            line.close()


def header(payload: Payload, name: bytes, default: Any = b"") -> Any:
    return next((value for found, value in payload.headers if found == name), default)
