"""The quota counter's client: RESP2, pipelined over one connection, answers matched in order."""

from __future__ import annotations

import re
import socket
from collections import deque
from collections.abc import Callable
from math import inf

from ..address import Address
from ..metrics import Metrics
from ..policy import interface as i
from . import sockets
from .loop import READ, WRITE, Loop, Timer
from .pool import Pool

MOST = 256  # calls out at once; further ones are not made
DEAF, DEAF_TIMES = 0.1, 4  # s, and time-outs, without the answer to the oldest call: the connection is taken for dead
UNUSED = 3.0  # s after which a connection is not trusted any more; the counter closes it at about 10 s or less
AGAIN = 0.05  # s between connects that fail
LONGEST = 4096  # bytes of one answer at most
PLAIN = re.compile(rb"[+-]?\d+(\.\d*)?([eE][+-]?\d+)?")


class Replies:
    """Bytes to answers: a total as a float, a turning away as text. Anything else is spoilt."""

    def __init__(self) -> None:
        self._data = b""
        self._found: list[float | str] = []

    def feed(self, data: bytes) -> bool:
        """False once something is spoilt; the answers in front of it can still be taken."""
        self._data += data
        try:
            while (answer := self._one()) is not None:
                self._found.append(answer)
        except ValueError:
            return False
        return len(self._data) <= LONGEST

    def taken(self) -> list[float | str]:
        found, self._found = self._found, []
        return found

    def _one(self) -> float | str | None:
        end = self._data.find(b"\r\n")
        if end < 0:
            return None
        kind, text, rest = self._data[:1], self._data[1:end], end + 2
        if kind == b"-":
            # Only these two say that nothing was added; whatever else is written there, the call may have run.
            if text.partition(b" ")[0] not in (b"BUSY", b"ERR"):
                raise ValueError("an error of no known kind")
            answer: float | str = text.decode("ascii", "replace")
        elif kind == b":":
            answer = _total(text)
        elif kind == b"$":
            size = _whole(text)
            if len(self._data) < rest + size + 2:
                return None
            if self._data[rest + size : rest + size + 2] != b"\r\n":
                raise ValueError("a bulk string without its end")
            answer, rest = _total(self._data[rest : rest + size]), rest + size + 2
        else:
            raise ValueError(f"kind {kind!r}")
        self._data = self._data[rest:]
        return answer


def _whole(text: bytes) -> int:
    if not (text.isdigit() and int(text) <= LONGEST):
        raise ValueError("no length of a bulk string")
    return int(text)


def _total(text: bytes) -> float:
    """Plain decimals alone: float() would also take nan, inf, blanks and underscores."""
    number = float(text) if PLAIN.fullmatch(text) else inf
    if not abs(number) < inf:
        raise ValueError("no total")
    return number


def encode(name: int, amount: float, ttl: float) -> bytes:
    number = f"{amount:.6f}".rstrip("0").rstrip(".").encode()
    parts = (b"CNT.ADD", b"%d" % name, number, b"%d" % max(1, round(ttl * 1000)))
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)


class Call:
    __slots__ = ("name", "number", "data", "at", "timer", "open")

    def __init__(self, name: int, number: int, data: bytes, at: float) -> None:
        self.name, self.number, self.data, self.at = name, number, data, at
        self.timer: Timer | None = None
        self.open = True  # the module has not been told yet how it ended


class Line:
    """One connection, and the calls on it in their order. Closed in `close` alone."""

    def __init__(self, client: CounterClient, sock: socket.socket, now: float) -> None:
        self.client, self.sock, self.used = client, sock, now
        self.up = self.closed = False
        self.retired = False  # the counter is elsewhere by now: it is closed once no call is open on it
        self.replies = Replies()
        self.waiting: deque[Call] = deque()  # not written yet
        self.out: deque[Call] = deque()  # written whole, in order, late ones included
        self.part = 0  # bytes of the first waiting call that are written
        client.loop.register(sock, WRITE, self._event)

    @property
    def idle(self) -> bool:
        return not self.out and not self.waiting

    def add(self, call: Call) -> None:
        self.waiting.append(call)
        if self.up:
            self._write()

    def _event(self, events: int) -> None:
        if not self.up:
            if sockets.connect_error(self.sock):
                self.broken()
                return
            self.up = True
            self._write()
            return
        if events & READ:
            self._read()
        if events & WRITE and not self.closed:
            self._write()

    def _write(self) -> None:
        while self.waiting:
            call = self.waiting[0]
            try:
                self.part += self.sock.send(call.data[self.part :])
            except BlockingIOError:
                break
            except OSError:
                self.broken()
                return
            if self.part < len(call.data):
                break
            self.part, self.used = 0, self.client.loop.clock()
            self.out.append(self.waiting.popleft())
        self.client.loop.set_interest(self.sock, READ | WRITE if self.waiting else READ, self._event)

    def _read(self) -> None:
        buffer = self.client.pool.acquire()
        try:
            count = self.sock.recv_into(buffer)
            data = bytes(memoryview(buffer)[:count])
        except BlockingIOError:
            return
        except OSError:
            data = b""
        finally:
            self.client.pool.release(buffer)
        self.used = self.client.loop.clock()
        # Good answers in front of a spoilt one still count; what is spoilt may have been added, like all behind it.
        good = bool(data) and self.replies.feed(data)
        for answer in self.replies.taken():
            if not self.out:  # an answer to nothing
                good = False
                break
            call = self.out.popleft()
            if isinstance(answer, float):
                self.client.answered(call, "ok", answer)
            else:  # -BUSY and -ERR alike: nothing was added
                self.client.answered(call, "full")
        if not good:
            self.client.metrics.add("count_spoilt" if data else "count_ends")
            self.broken()
        else:
            self.retire_if_done()

    def late(self, call: Call) -> None:
        """Written whole, it may yet be added; else it is taken back, unless a part of it is out already."""
        if call in self.waiting:
            if not self.up or call is self.waiting[0] and self.part:
                self.broken()
                return
            self.waiting.remove(call)
            self.client.end(call, "connect_failed")
            return
        self.client.end(call, "timeout")
        if self.out and self.client.loop.clock() - self.out[0].at > max(DEAF, DEAF_TIMES * self.client.timeout):
            self.broken()
        else:
            self.retire_if_done()

    def retire_if_done(self) -> None:
        if self.retired and not self.closed and not self.waiting and not any(call.open for call in self.out):
            self.broken()

    def broken(self) -> None:
        """What was written whole may have been added; what was not has not."""
        out, waiting = self.out, self.waiting
        self.out, self.waiting = deque(), deque()
        self.close()
        for call in out:
            self.client.end(call, "timeout")
        for call in waiting:
            self.client.end(call, "connect_failed")

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.client.loop.unregister(self.sock)
            self.sock.close()
            self.client.lost(self)


class CounterClient:
    """Every call is told exactly one end; one that ended with `timeout` may be told a Total after it, once."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        at: Address,
        timeout: float,
        metrics: Metrics,
        tell: Callable[[i.CounterResult | i.LateCounterResult], None],
    ) -> None:
        self.loop, self.pool, self.at, self.timeout, self.metrics = loop, pool, at, timeout, metrics
        self.tell = tell
        self._line: Line | None = None
        self._retired: set[Line] = set()
        self._failed = -1e9

    def add(self, name: int, amount: float, ttl: float, number: int = 0) -> None:
        now = self.loop.clock()
        call = Call(name, number, encode(name, amount, ttl), now)
        line = self._line
        if line is not None and line.up and line.idle:
            if now - line.used > UNUSED or sockets.peek(line.sock) is not None:
                line.close()
                line = None
        if line is None:
            line = self._open(now)
        if line is None or len(line.waiting) + len(line.out) >= MOST:
            self.loop.call_soon(lambda: self.end(call, "connect_failed"))
            return
        call.timer = self.loop.call_in(self.timeout, lambda: line.late(call))
        line.add(call)

    def move(self, at: Address) -> None:
        """From now on calls go elsewhere; those that are out may still be answered where they were made."""
        if at == self.at:
            return
        self.at, self._failed = at, -1e9
        if (line := self._line) is not None:
            self._line = None
            self._retired.add(line)
            line.retired = True
            line.retire_if_done()

    def _open(self, now: float) -> Line | None:
        if now - self._failed < AGAIN:
            return None
        try:
            sock = sockets.connect(self.at)
        except OSError:
            self._failed = now
            return None
        self._line = Line(self, sock, now)
        return self._line

    def lost(self, line: Line) -> None:
        self._retired.discard(line)
        if line is self._line:
            self._line = None
            if not line.up:  # refused, or never came up: it is not tried again at once
                self._failed = self.loop.clock()

    def answered(self, call: Call, status: str, total: float = 0.0) -> None:
        if call.open:
            self.end(call, status, total)
        else:  # it was given up on, and its answer came all the same
            self.metrics.add("count_late")
            self.tell(i.LateCounterResult(call.number, status, total, self.loop.clock() - call.at))

    def end(self, call: Call, status: str, total: float = 0.0) -> None:
        if not call.open:  # given up on, and lost with its connection: nothing more is known of it
            return
        call.open = False
        if call.timer is not None:
            call.timer.cancel()
        self.metrics.add("count_" + status)
        self.tell(i.CounterResult(call.name, status, total, self.loop.clock() - call.at))

    def stop(self) -> None:
        for line in [*self._retired, *([self._line] if self._line else [])]:
            line.broken()
