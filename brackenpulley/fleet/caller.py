"""One HTTP call on the loop, to an address or a Unix socket. Owns its socket and gives it back in `_end`."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ..address import Address
from ..net import sockets
from ..net.answers import MalformedResponseError, ResponseReader
from ..net.loop import READ, WRITE, Loop

Done = Callable[[int, bytes], None]


class Call:
    """`done` is called once with the status and the body; status 0 where there was no answer within `patience` s."""

    def __init__(
        self, loop: Loop, at: Address | str, method: str, path: str, body: bytes, patience: float, done: Done
    ) -> None:
        self.loop, self._done = loop, done
        self._out = (
            f"{method} {path} HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self._reply = ResponseReader()
        self._up = False
        self._sock: socket.socket | None = None
        self._timer = loop.call_in(patience, self._end)
        try:
            self._sock = self._connected(at)
        except OSError:  # told in a later turn, as any other end
            self._timer.cancel()
            loop.call_soon(self._end)
            return
        loop.register(self._sock, WRITE, self._event)

    @staticmethod
    def _connected(at: Address | str) -> socket.socket:
        if not isinstance(at, str):
            return sockets.connect(at)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.connect(at)
        except OSError:
            sock.close()
            raise
        return sock

    def _event(self, events: int) -> None:
        assert self._sock is not None
        try:
            if not self._up:
                if sockets.connect_error(self._sock):
                    raise OSError("connect")
                self._up = True
            if self._out:
                self._out = self._out[self._sock.send(self._out) :]
                if not self._out:
                    self.loop.set_interest(self._sock, READ, self._event)
                return
            data = self._sock.recv(65536)
            if data:
                self._reply.feed(data)
            else:
                self._reply.handle_eof()
            if self._reply.is_complete or not data:
                self._end()
        except BlockingIOError:
            return
        except (OSError, MalformedResponseError):
            self._end()

    def _end(self) -> None:
        if self._sock is not None:
            self.loop.set_interest(self._sock, 0, self._event)
            self._sock.close()
            self._sock = None
        self._timer.cancel()
        done, self._done = self._done, lambda status, body: None
        done(self._reply.status if self._reply.is_complete else 0, self._reply.body)

    def drop(self) -> None:
        """Nobody waits for it any more."""
        self._done = lambda status, body: None
        self._end()
