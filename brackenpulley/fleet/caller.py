"""A single HTTP/1.1 request on the event loop, to a TCP address or a Unix socket. Used by the supervisor."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ..address import Address
from ..net import sockets
from ..net.answers import MalformedResponseError, ResponseReader
from ..net.loop import READ, WRITE, Loop

ResponseCallback = Callable[[int, bytes], None]


class Call:
    """One request that closes its connection after the response.

    Calls `on_response` once with the status and the body; the status is 0 where no complete response came within
    `timeout` s."""

    def __init__(
        self,
        loop: Loop,
        address: Address | str,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        on_response: ResponseCallback,
    ) -> None:
        self.loop, self._on_response = loop, on_response
        self._unsent = (
            f"{method} {path} HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode() + body
        self._response = ResponseReader()
        self._is_connected = False
        self._sock: socket.socket | None = None
        self._timer = loop.call_in(timeout, self._finish)
        try:
            self._sock = self._connect(address)
        except OSError:  # reported from the loop, never from within the constructor
            self._timer.cancel()
            loop.call_soon(self._finish)
            return
        loop.register(self._sock, WRITE, self._handle_event)

    @staticmethod
    def _connect(address: Address | str) -> socket.socket:
        if not isinstance(address, str):
            return sockets.connect(address)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.setblocking(False)
        try:
            sock.connect(address)
        except OSError:
            sock.close()
            raise
        return sock

    def _handle_event(self, events: int) -> None:
        assert self._sock is not None
        try:
            if not self._is_connected:
                if sockets.connect_error(self._sock):
                    raise OSError("connect")
                self._is_connected = True
            if self._unsent:
                self._unsent = self._unsent[self._sock.send(self._unsent) :]
                if not self._unsent:
                    self.loop.set_interest(self._sock, READ, self._handle_event)
                return
            data = self._sock.recv(65536)
            if data:
                self._response.feed(data)
            else:
                self._response.handle_eof()
            if self._response.is_complete or not data:
                self._finish()
        except BlockingIOError:
            return
        except (OSError, MalformedResponseError):
            self._finish()

    def _finish(self) -> None:
        if self._sock is not None:
            self.loop.set_interest(self._sock, 0, self._handle_event)
            self._sock.close()
            self._sock = None
        self._timer.cancel()
        on_response, self._on_response = self._on_response, lambda status, body: None
        on_response(self._response.status if self._response.is_complete else 0, self._response.body)

    def cancel(self) -> None:
        """Close the connection without calling the callback."""
        self._on_response = lambda status, body: None
        self._finish()
