"""The quota counter's client: RESP2, pipelined over one connection, with replies matched to calls in order."""

from __future__ import annotations

import re
import socket
from collections import deque
from collections.abc import Callable
from math import inf

from ..address import Address
from ..metrics import Metrics
from ..policy import interface
from . import sockets
from .loop import READ, WRITE, Loop, Timer
from .pool import Pool

MAX_PIPELINED_CALLS = 256  # pending at once; further calls fail
# A connection without the reply to its oldest call for the longer of these two is taken for dead.
DEAD_AFTER_SECONDS = 0.1
DEAD_AFTER_TIMEOUTS = 4  # multiple of the timeout of a call
MAX_IDLE_SECONDS = 3.0  # after which a connection is not reused; the counter closes it at about 10 s or less
RECONNECT_DELAY_SECONDS = 0.05  # after a failed connect
MAX_REPLY_BYTES = 4096  # of one reply
DECIMAL_PATTERN = re.compile(rb"[+-]?\d+(\.\d*)?([eE][+-]?\d+)?")


class ReplyParser:
    """Parses RESP2 replies: a total as a float, a rejection by the counter as text. Anything else is malformed."""

    def __init__(self) -> None:
        self._buffer = b""
        self._replies: list[float | str] = []

    def feed(self, data: bytes) -> bool:
        """Parse the next bytes; False once they are malformed. Replies before that can still be taken."""
        self._buffer += data
        try:
            while (reply := self._parse_one()) is not None:
                self._replies.append(reply)
        except ValueError:
            return False
        return len(self._buffer) <= MAX_REPLY_BYTES

    def take_replies(self) -> list[float | str]:
        """Return the replies parsed since the last call."""
        replies, self._replies = self._replies, []
        return replies

    def _parse_one(self) -> float | str | None:
        line_end = self._buffer.find(b"\r\n")
        if line_end < 0:
            return None
        kind, text, reply_end = self._buffer[:1], self._buffer[1:line_end], line_end + 2
        if kind == b"-":
            # Only these two errors say that nothing was added; after any other one the call may have been executed.
            if text.partition(b" ")[0] not in (b"BUSY", b"ERR"):
                raise ValueError("error reply is neither BUSY nor ERR")
            reply: float | str = text.decode("ascii", "replace")
        elif kind == b":":
            reply = _parse_total(text)
        elif kind == b"$":
            size = _parse_length(text)
            if len(self._buffer) < reply_end + size + 2:
                return None
            if self._buffer[reply_end + size : reply_end + size + 2] != b"\r\n":
                raise ValueError("bulk string does not end with CRLF")
            reply, reply_end = _parse_total(self._buffer[reply_end : reply_end + size]), reply_end + size + 2
        else:
            raise ValueError(f"reply type {kind!r} is not one of '-', ':', '$'")
        self._buffer = self._buffer[reply_end:]
        return reply


def _parse_length(text: bytes) -> int:
    if not (text.isdigit() and int(text) <= MAX_REPLY_BYTES):
        raise ValueError(f"bulk string length {text!r} is not a number up to {MAX_REPLY_BYTES}")
    return int(text)


def _parse_total(text: bytes) -> float:
    """Accept plain decimals alone: float() would also take nan, inf, blanks and underscores."""
    number = float(text) if DECIMAL_PATTERN.fullmatch(text) else inf
    if not abs(number) < inf:
        raise ValueError(f"total {text!r} is not a finite decimal")
    return number


def encode_add(name: int, amount: float, ttl: float) -> bytes:
    """Encode the call that adds `amount` to the counter `name`, which expires `ttl` seconds later."""
    number = f"{amount:.6f}".rstrip("0").rstrip(".").encode()
    parts = (b"CNT.ADD", b"%d" % name, number, b"%d" % max(1, round(ttl * 1000)))
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(p), p) for p in parts)


class CounterCall:
    """One call of the counter. `number` is the caller's own, which comes back with a late total."""

    __slots__ = ("name", "number", "data", "started_at", "timer", "is_pending")

    def __init__(self, name: int, number: int, data: bytes, started_at: float) -> None:
        self.name, self.number, self.data, self.started_at = name, number, data, started_at
        self.timer: Timer | None = None
        self.is_pending = True  # its end has not been reported to the decision module yet


class CounterConnection:
    """One connection to the counter, and the calls on it in order. Closed in `close` alone."""

    def __init__(self, client: CounterClient, sock: socket.socket, now: float) -> None:
        self.client, self.sock, self.last_used_at = client, sock, now
        self.is_connected = False
        self.is_closed = False
        self.is_retired = False  # the counter has moved: the connection is closed once no call on it is pending
        self.parser = ReplyParser()
        self.unsent: deque[CounterCall] = deque()  # not written, or only a part of the first one
        self.in_flight: deque[CounterCall] = deque()  # written whole, in order, timed-out calls included
        self.sent_bytes = 0  # of the first unsent call
        client.loop.register(sock, WRITE, self._handle_event)

    @property
    def is_idle(self) -> bool:
        """Whether no call is unsent or in flight."""
        return not self.in_flight and not self.unsent

    def send(self, call: CounterCall) -> None:
        """Queue a call and write it as soon as the connection is established."""
        self.unsent.append(call)
        if self.is_connected:
            self._write()

    def _handle_event(self, events: int) -> None:
        if not self.is_connected:
            if sockets.connect_error(self.sock):
                self.fail()
                return
            self.is_connected = True
            self._write()
            return
        if events & READ:
            self._read()
        if events & WRITE and not self.is_closed:
            self._write()

    def _write(self) -> None:
        while self.unsent:
            call = self.unsent[0]
            try:
                self.sent_bytes += self.sock.send(call.data[self.sent_bytes :])
            except BlockingIOError:
                break
            except OSError:
                self.fail()
                return
            if self.sent_bytes < len(call.data):
                break
            self.sent_bytes, self.last_used_at = 0, self.client.loop.clock()
            self.in_flight.append(self.unsent.popleft())
        self.client.loop.set_interest(self.sock, READ | WRITE if self.unsent else READ, self._handle_event)

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
        self.last_used_at = self.client.loop.clock()
        # Valid replies before a malformed one still count. The malformed one's call may have been added, like all
        # calls behind it.
        is_valid = bool(data) and self.parser.feed(data)
        for reply in self.parser.take_replies():
            if not self.in_flight:  # a reply without a call
                is_valid = False
                break
            call = self.in_flight.popleft()
            if isinstance(reply, float):
                self.client.handle_reply(call, "ok", reply)
            else:  # -BUSY and -ERR alike: nothing was added
                self.client.handle_reply(call, "full")
        if not is_valid:
            self.client.metrics.add("count_spoilt" if data else "count_ends")
            self.fail()
        else:
            self.close_if_drained()

    def handle_timeout(self, call: CounterCall) -> None:
        """End a call that timed out: as `timeout` if it was written whole, since it may still be added.

        An unwritten call is withdrawn; one written in part breaks the connection."""
        if call in self.unsent:
            if not self.is_connected or call is self.unsent[0] and self.sent_bytes:
                self.fail()
                return
            self.unsent.remove(call)
            self.client.end_call(call, "connect_failed")
            return
        self.client.end_call(call, "timeout")
        if self.in_flight and self.client.loop.clock() - self.in_flight[0].started_at > max(
            DEAD_AFTER_SECONDS, DEAD_AFTER_TIMEOUTS * self.client.timeout
        ):
            self.fail()
        else:
            self.close_if_drained()

    def close_if_drained(self) -> None:
        """Close a retired connection without pending calls."""
        if (
            self.is_retired
            and not self.is_closed
            and not self.unsent
            and not any(call.is_pending for call in self.in_flight)
        ):
            self.fail()

    def fail(self) -> None:
        """Close, and end all calls: those written whole may have been added, the others were not."""
        in_flight, unsent = self.in_flight, self.unsent
        self.in_flight, self.unsent = deque(), deque()
        self.close()
        for call in in_flight:
            self.client.end_call(call, "timeout")
        for call in unsent:
            self.client.end_call(call, "connect_failed")

    def close(self) -> None:
        """Close the socket, once."""
        if not self.is_closed:
            self.is_closed = True
            self.client.loop.unregister(self.sock)
            self.sock.close()
            self.client.handle_closed(self)


class CounterClient:
    """Calls the counter service at one address, with a timeout in seconds for each call.

    `on_event` receives exactly one Counted for each call. After one with `timeout` it may receive one Total, from a
    late reply."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        address: Address,
        timeout: float,
        metrics: Metrics,
        on_event: Callable[[interface.CounterResult | interface.LateCounterResult], None],
    ) -> None:
        self.loop, self.pool, self.address, self.timeout, self.metrics = loop, pool, address, timeout, metrics
        self.on_event = on_event
        self._connection: CounterConnection | None = None
        self._retired_connections: set[CounterConnection] = set()
        self._last_failure_at = -1e9

    def add(self, name: int, amount: float, ttl: float, number: int = 0) -> None:
        """Add `amount` to the counter `name`, which expires `ttl` seconds later."""
        now = self.loop.clock()
        call = CounterCall(name, number, encode_add(name, amount, ttl), now)
        connection = self._connection
        if connection is not None and connection.is_connected and connection.is_idle:
            if now - connection.last_used_at > MAX_IDLE_SECONDS or sockets.peek(connection.sock) is not None:
                connection.close()
                connection = None
        if connection is None:
            connection = self._connect(now)
        if connection is None or len(connection.unsent) + len(connection.in_flight) >= MAX_PIPELINED_CALLS:
            self.loop.call_soon(lambda: self.end_call(call, "connect_failed"))
            return
        call.timer = self.loop.call_in(self.timeout, lambda: connection.handle_timeout(call))
        connection.send(call)

    def move(self, address: Address) -> None:
        """Send further calls to another address; pending calls may still be answered on the old connection."""
        if address == self.address:
            return
        self.address, self._last_failure_at = address, -1e9
        if (connection := self._connection) is not None:
            self._connection = None
            self._retired_connections.add(connection)
            connection.is_retired = True
            connection.close_if_drained()

    def _connect(self, now: float) -> CounterConnection | None:
        if now - self._last_failure_at < RECONNECT_DELAY_SECONDS:
            return None
        try:
            sock = sockets.connect(self.address)
        except OSError:
            self._last_failure_at = now
            return None
        self._connection = CounterConnection(self, sock, now)
        return self._connection

    def handle_closed(self, connection: CounterConnection) -> None:
        """Forget a closed connection."""
        self._retired_connections.discard(connection)
        if connection is self._connection:
            self._connection = None
            if not connection.is_connected:  # the connect failed: it is not repeated at once
                self._last_failure_at = self.loop.clock()

    def handle_reply(self, call: CounterCall, status: str, total: float = 0.0) -> None:
        """End a call with its reply, or report the reply as a Total if the call has ended by timeout."""
        if call.is_pending:
            self.end_call(call, status, total)
        else:  # a late reply
            self.metrics.add("count_late")
            self.on_event(interface.LateCounterResult(call.number, status, total, self.loop.clock() - call.started_at))

    def end_call(self, call: CounterCall, status: str, total: float = 0.0) -> None:
        """Report the end of a call, unless that was done before."""
        if not call.is_pending:  # timed out, then lost with its connection: nothing more is known of it
            return
        call.is_pending = False
        if call.timer is not None:
            call.timer.cancel()
        self.metrics.add("count_" + status)
        self.on_event(interface.CounterResult(call.name, status, total, self.loop.clock() - call.started_at))

    def stop(self) -> None:
        """Close all connections, ending their calls."""
        for connection in [*self._retired_connections, *([self._connection] if self._connection else [])]:
            connection.fail()
