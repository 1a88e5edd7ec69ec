"""The operators' console: HTTP/1.1, one call a connection, answered in the turn its head is whole.

It owns its listener and its callers. A caller that is slow is closed at its deadline, never waited for, and nothing
here waits on the data path: each call reads what the daemon holds and answers at once."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from ..address import Address
from . import sockets
from .loop import READ, WRITE, Loop
from .requests import encode

HEAD = 4096  # bytes of a call's head at most
DEADLINE = 1.0  # s from connecting until the caller is closed, whole or not
CALLERS = 32  # at once; the oldest makes room for a new one
TEXT = b"text/plain; charset=utf-8"

Call = Callable[[], tuple[int, bytes, bytes]]  # status, body, its content type


class Caller:
    __slots__ = ("sock", "head", "out", "timer", "answered")

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.head, self.out = sock, b"", b""
        self.timer: Any = None
        self.answered = False


def reply(status: int, body: bytes, kind: bytes = TEXT, more: list[tuple[bytes, bytes]] | None = None) -> bytes:
    return encode(status, body, False, headers=[(b"Content-Type", kind), *(more or [])])


class Console:
    def __init__(self, loop: Loop, routes: dict[bytes, dict[bytes, Call]], log: Any) -> None:
        self.loop, self.routes, self.log = loop, routes, log
        self.callers: dict[Caller, None] = {}  # oldest first
        self.listener: socket.socket | None = None

    def listen(self, at: Address) -> Address:
        self.listener = sockets.listen(at, 64)
        self.loop.register(self.listener, READ, self._acceptable, urgent=True)
        bound = self.listener.getsockname()
        return bound[0], bound[1]

    def _acceptable(self, events: int) -> None:
        for _ in range(CALLERS):
            if self.listener is None:
                return
            try:
                sock = sockets.accept(self.listener)
            except BlockingIOError:
                return
            except OSError:  # out of descriptors or the caller left: the next one may fare better
                if self.callers:
                    self.close(next(iter(self.callers)))
                continue
            if len(self.callers) >= CALLERS:
                self.close(next(iter(self.callers)))
            caller = Caller(sock)
            self.callers[caller] = None
            caller.timer = self.loop.call_in(DEADLINE, lambda c=caller: self.close(c))  # type: ignore[misc]
            self.loop.register(
                sock,
                READ,
                lambda events, c=caller: self._event(c, events),  # type: ignore[misc]
                urgent=True,
            )

    def _event(self, caller: Caller, events: int) -> None:
        if events & READ:
            self._readable(caller)
        if events & WRITE and caller in self.callers:
            self._flush(caller)

    def _readable(self, caller: Caller) -> None:
        try:
            data = caller.sock.recv(HEAD)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close(caller)
            return
        if caller.answered:  # what stands behind the call is read and dropped, so the answer is not reset
            return
        caller.head += data
        end = caller.head.find(b"\r\n\r\n")
        if end < 0 and len(caller.head) < HEAD:
            return
        caller.answered = True
        caller.out = self._answer(caller.head[:end] if 0 <= end < HEAD else b"")
        self._flush(caller)

    def _answer(self, head: bytes) -> bytes:
        words = head.split(b"\r\n", 1)[0].split(b" ")
        if len(words) != 3 or not words[2].startswith(b"HTTP/1."):
            return reply(400, b"head: not a request line of HTTP/1.1 within 4096 bytes\n")
        method, target = words[0], words[1].split(b"?", 1)[0]
        calls = self.routes.get(target)
        if calls is None:
            return reply(404, b"path: no call " + target[:80] + b"\n")
        call = calls.get(method)
        if call is None:
            allowed = b", ".join(calls)
            return reply(405, b"method: " + target[:80] + b" takes " + allowed + b"\n", more=[(b"Allow", allowed)])
        status, body, kind = call()
        return reply(status, body, kind)

    def _flush(self, caller: Caller) -> None:
        try:
            sent = caller.sock.send(caller.out)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close(caller)
            return
        caller.out = caller.out[sent:]
        if caller.out:
            self.loop.want(caller.sock, READ | WRITE, lambda events: self._event(caller, events))
            return
        try:
            caller.sock.shutdown(socket.SHUT_WR)  # the caller reads to the end; its own end closes it here
        except OSError:
            self.close(caller)
            return
        self.loop.want(caller.sock, READ, lambda events: self._event(caller, events))

    def close(self, caller: Caller) -> None:
        """The one place where a caller's connection is given back."""
        if caller not in self.callers:
            return
        del self.callers[caller]
        caller.timer.cancel()
        self.loop.forget(caller.sock)
        caller.sock.close()

    def stop(self) -> None:
        if self.listener is not None:
            self.loop.forget(self.listener)
            self.listener.close()
            self.listener = None
        for caller in list(self.callers):
            self.close(caller)
