"""The quota counter's client: RESP2, pipelined over one connection, answers matched in order."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

from ..address import Address
from ..metrics import Metrics
from ..policy import interface as i
from . import sockets
from .loop import READ, WRITE, Loop, Timer
from .pool import Pool

MOST = 256  # calls out at once; further ones are not made
DEAF = 1.0  # s without the answer to the oldest call: the connection is taken for dead
UNUSED = 3.0  # s after which a connection is not trusted any more; the counter closes it at about 10 s or less
AGAIN = 0.05  # s between connects that fail
LONGEST = 4096  # bytes of one answer at most


class ReplyError(ValueError):
    """The counter wrote what is no RESP2."""


class Replies:
    """Bytes to answers: a bulk string or an integer as a float, an error or a simple string as text."""

    def __init__(self) -> None:
        self._data = b""

    def feed(self, data: bytes) -> list[float | str]:
        self._data += data
        found: list[float | str] = []
        while (answer := self._one()) is not None:
            found.append(answer)
        if len(self._data) > LONGEST:
            raise ReplyError("an answer too long")
        return found

    def _one(self) -> float | str | None:
        end = self._data.find(b"\r\n")
        if end < 0:
            return None
        kind, text, rest = self._data[:1], self._data[1:end], end + 2
        try:
            if kind in (b"+", b"-"):
                answer: float | str = kind.decode() + text.decode("ascii", "replace")
            elif kind == b":":
                answer = float(int(text))
            elif kind == b"$":
                size = int(text)
                if not 0 <= size <= LONGEST:
                    raise ReplyError(f"a bulk string of {size}")
                if len(self._data) < rest + size + 2:
                    return None
                if self._data[rest + size:rest + size + 2] != b"\r\n":
                    raise ReplyError("a bulk string without its end")
                answer, rest = float(self._data[rest:rest + size]), rest + size + 2
            else:
                raise ReplyError(f"kind {kind!r}")
        except ValueError as error:
            raise ReplyError(str(error)) from None
        self._data = self._data[rest:]
        return answer


def encode(name: int, amount: float, ttl: float) -> bytes:
    number = f"{amount:.6f}".rstrip("0").rstrip(".").encode()
    parts = (b"CNT.ADD", b"%d" % name, number, b"%d" % max(1, round(ttl * 1000)))
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)


class Call:
    __slots__ = ("name", "data", "at", "timer", "open")

    def __init__(self, name: int, data: bytes, at: float) -> None:
        self.name, self.data, self.at = name, data, at
        self.timer: Timer | None = None
        self.open = True  # the module has not been told yet how it ended


class CounterClient:
    """Owns the connection, closed in `_close` alone. Every call is told exactly one end."""

    def __init__(self, loop: Loop, pool: Pool, at: Address, timeout: float, metrics: Metrics,
                 tell: Callable[[i.Counted], None]) -> None:
        self.loop, self.pool, self.at, self.timeout, self.metrics = loop, pool, at, timeout, metrics
        self.tell = tell
        self._sock: socket.socket | None = None
        self._up = False
        self._replies = Replies()
        self._waiting: deque[Call] = deque()  # not written yet
        self._out: deque[Call] = deque()  # written whole, in order, late ones included
        self._part = 0  # bytes of the first waiting call that are written
        self._used = self._failed = -1e9

    def add(self, name: int, amount: float, ttl: float) -> None:
        now = self.loop.clock()
        call = Call(name, encode(name, amount, ttl), now)
        if len(self._waiting) + len(self._out) >= MOST:
            self.loop.call_soon(lambda: self._end(call, "connect_failed"))
            return
        if self._sock is not None and self._up and not self._out and not self._waiting:
            if now - self._used > UNUSED or sockets.waiting(self._sock) is not None:
                self._close()
        if self._sock is None and not self._open(now):
            self.loop.call_soon(lambda: self._end(call, "connect_failed"))
            return
        call.timer = self.loop.call_in(self.timeout, lambda: self._late(call))
        self._waiting.append(call)
        if self._up:
            self._write()

    def _open(self, now: float) -> bool:
        if now - self._failed < AGAIN:
            return False
        try:
            sock = sockets.connect(self.at)
        except OSError:
            self._failed = now
            return False
        self._sock, self._up, self._replies, self._part, self._used = sock, False, Replies(), 0, now
        self.loop.register(sock, WRITE, self._event)
        return True

    def _event(self, events: int) -> None:
        assert self._sock is not None
        if not self._up:
            if sockets.failed(self._sock):
                self._broken()
                return
            self._up = True
            self._write()
            return
        if events & READ:
            self._read()
        if events & WRITE and self._sock is not None:
            self._write()

    def _write(self) -> None:
        assert self._sock is not None
        while self._waiting:
            call = self._waiting[0]
            try:
                self._part += self._sock.send(call.data[self._part:])
            except BlockingIOError:
                break
            except OSError:
                self._broken()
                return
            if self._part < len(call.data):
                break
            self._part, self._used = 0, self.loop.clock()
            self._out.append(self._waiting.popleft())
        self.loop.want(self._sock, READ | WRITE if self._waiting else READ, self._event)

    def _read(self) -> None:
        assert self._sock is not None
        buffer = self.pool.take()
        try:
            count = self._sock.recv_into(buffer)
            answers = self._replies.feed(bytes(buffer[:count])) if count else None
        except BlockingIOError:
            return
        except (OSError, ReplyError):
            answers = None
        finally:
            self.pool.give(buffer)
        if answers is None:
            self._broken()
            return
        self._used = self.loop.clock()
        for answer in answers:
            if not self._out:  # an answer to nothing
                self._broken()
                return
            call = self._out.popleft()
            if isinstance(answer, float):
                self._end(call, "ok", answer)
            else:  # -BUSY and -ERR alike: nothing was added
                self._end(call, "full")

    def _late(self, call: Call) -> None:
        """Written whole, it may yet be added; else it is taken back, unless a part of it is out already."""
        if call in self._waiting:
            if call is self._waiting[0] and self._part:
                self._broken()
                return
            self._waiting.remove(call)
            self._end(call, "connect_failed")
            if not self._up:
                self._broken()
            return
        self._end(call, "timeout")
        if self._out and self.loop.clock() - self._out[0].at > DEAF:
            self._broken()

    def _end(self, call: Call, status: str, total: float = 0.0) -> None:
        if not call.open:  # the answer to a call given up on: matched in order and dropped
            self.metrics.add("count_late")
            return
        call.open = False
        if call.timer is not None:
            call.timer.cancel()
        self.metrics.add("count_" + status)
        self.tell(i.Counted(call.name, status, total, self.loop.clock() - call.at))

    def _broken(self) -> None:
        """What was written whole may have been added; what was not has not."""
        out, waiting = self._out, self._waiting
        self._out, self._waiting, self._failed = deque(), deque(), self.loop.clock()
        self._close()
        for call in out:
            self._end(call, "timeout")
        for call in waiting:
            self._end(call, "connect_failed")

    def _close(self) -> None:
        if self._sock is not None:
            self.loop.forget(self._sock)
            self._sock.close()
        self._sock, self._up = None, False

    def stop(self) -> None:
        self._broken()
