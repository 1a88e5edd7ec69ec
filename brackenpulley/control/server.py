"""The control API on the daemon's loop. Owns its listener and callers' connections; the Unix socket's file too."""

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
from ..net.requests import RequestError, RequestReader, encode_response
from .api import PendingReply, Reply, Routes

MOST = 16  # connections at once; the longest unused makes room
IDLE = 30.0  # s without a byte after which a connection is closed
LINGER = 2.0  # s for a caller to end its side after its last answer
SWEEP = 1.0
JSON = [(b"Content-Type", b"application/json")]


class Caller:
    __slots__ = ("sock", "reader", "out", "keep", "since", "ended", "later")

    def __init__(self, sock: socket.socket, now: float) -> None:
        self.sock, self.reader, self.since = sock, RequestReader(), now
        self.out = b""
        self.keep = True
        self.later: PendingReply | None = None  # an answer that is still to come; what was asked after it waits
        self.ended = False  # its last answer is out; what it still sends is read away


class ControlServer:
    def __init__(self, loop: Loop, pool: Pool, routes: Routes, metrics: Metrics) -> None:
        self.loop, self.pool, self.routes, self.metrics = loop, pool, routes, metrics
        self.callers: dict[Caller, None] = {}
        self.listener: socket.socket | None = None
        self._path = ""

    def listen(self, at: Address | str) -> str:
        """Where it listens, as a command would name it. Raises OSError or ConfigError."""
        if isinstance(at, str):
            self.listener = self._unix(at)
            self._path, said = at, f"unix:{at}"
        else:
            self.listener = sockets.listen(at, 16)
            host, port = self.listener.getsockname()[:2]
            said = f"{host}:{port}"
        self.loop.register(self.listener, READ, self._acceptable)
        self.loop.call_in(SWEEP, self._sweep)
        return said

    def _unix(self, path: str) -> socket.socket:
        """A socket's file that nobody listens on any more is taken away; any other file is not."""
        with contextlib.suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.stat(path).st_mode):
                raise ConfigError(f"control.listen: {path}: a file that is no socket")
            with socket.socket(socket.AF_UNIX) as trial:
                try:
                    trial.connect(path)
                except OSError:
                    Path(path).unlink(missing_ok=True)
                else:
                    raise ConfigError(f"control.listen: {path}: another process answers there")
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        old = os.umask(0o177)  # its owner alone
        try:
            sock.bind(path)
        finally:
            os.umask(old)
        sock.listen(16)
        sock.setblocking(False)
        return sock

    def _acceptable(self, events: int) -> None:
        assert self.listener is not None
        try:
            sock, _ = self.listener.accept()
        except OSError:
            return
        sock.setblocking(False)
        if len(self.callers) >= MOST:
            self.close(next(iter(self.callers)))
        caller = Caller(sock, self.loop.clock())
        self.callers[caller] = None
        self.loop.register(sock, READ, lambda events: self._event(caller, events))

    def _event(self, caller: Caller, events: int) -> None:
        if events & WRITE:
            self._flush(caller)
        if events & READ and caller in self.callers and not caller.out:
            self._readable(caller)

    def _readable(self, caller: Caller) -> None:
        buffer = self.pool.acquire()
        status = 0
        try:
            count = caller.sock.recv_into(buffer)
            if count and not caller.ended:
                caller.reader.feed(memoryview(buffer)[:count])
        except BlockingIOError:
            return
        except OSError:
            count = 0
        except RequestError as error:
            status = error.status
        finally:
            self.pool.release(buffer)
        if not count:
            self.close(caller)
            return
        if caller.ended:
            return
        caller.since = self.loop.clock()
        if caller.reader.awaits_continue:
            caller.reader.awaits_continue = False
            caller.out += b"HTTP/1.1 100 Continue\r\n\r\n"
        self._answer_all(caller)
        if status and caller.keep:
            caller.keep = False
            text = b'{"error":{"field":"body","text":"over 64 KiB"}}\n' if status == 413 else b""
            caller.out += encode_response(status, text, False, 0.0, JSON if text else None)
        self._flush(caller)

    def _answer_all(self, caller: Caller) -> None:
        """One after the other, until one has to be waited for."""
        while caller.reader.complete and caller.keep and caller.later is None:
            payload, caller.keep = caller.reader.complete.popleft()
            self.metrics.add("control_calls")
            answer = self.routes.answer(
                payload.method.decode("ascii", "replace"), payload.target.decode("ascii", "replace"), payload.body
            )
            if isinstance(answer, PendingReply):
                keep, caller.later, caller.keep = caller.keep, answer, True
                answer.on_reply = lambda reply, keep=keep: self._later(caller, reply, keep)  # type: ignore[misc]
            else:
                self._reply(caller, answer)

    def _reply(self, caller: Caller, reply: Reply) -> None:
        if reply.status >= 400:
            self.metrics.add("control_faults")
        caller.out += encode_response(reply.status, reply.body, caller.keep, reply.after, JSON)

    def _later(self, caller: Caller, reply: Reply, keep: bool) -> None:
        if caller in self.callers:
            caller.later, caller.keep, caller.since = None, keep, self.loop.clock()
            self._reply(caller, reply)
            self._answer_all(caller)
            self._flush(caller)

    def _flush(self, caller: Caller) -> None:
        try:
            while caller.out:
                caller.out = caller.out[caller.sock.send(caller.out) :]
        except BlockingIOError:
            pass
        except OSError:
            self.close(caller)
            return
        if not caller.out and not caller.keep:
            if not caller.ended:
                self._end(caller)
        else:
            self.loop.set_interest(
                caller.sock, WRITE if caller.out else READ, lambda events: self._event(caller, events)
            )

    def _end(self, caller: Caller) -> None:
        """Closing now with something unread would send a reset, which could overtake the answer."""
        caller.ended = True
        with contextlib.suppress(OSError):
            caller.sock.shutdown(socket.SHUT_WR)
        self.loop.set_interest(caller.sock, READ, lambda events: self._event(caller, events))

    def close(self, caller: Caller) -> None:
        """The one place where a caller's connection is given back."""
        if caller in self.callers:
            del self.callers[caller]
            self.loop.set_interest(caller.sock, 0, lambda events: None)
            caller.sock.close()
            caller.reader.close()

    def _sweep(self) -> None:
        now = self.loop.clock()
        for caller in [one for one in self.callers if now - one.since > (LINGER if one.ended else IDLE)]:
            self.close(caller)
        if self.listener is not None:
            self.loop.call_in(SWEEP, self._sweep)

    def stop(self) -> None:
        if self.listener is not None:
            self.loop.set_interest(self.listener, 0, lambda events: None)
            self.listener.close()
            self.listener = None
            if self._path:
                Path(self._path).unlink(missing_ok=True)
        for caller in list(self.callers):
            self.close(caller)
