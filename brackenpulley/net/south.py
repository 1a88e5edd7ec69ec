"""The south side: relays to sim servers over kept connections. It never sends anything a second time."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

import httptools

from ..address import Address
from ..core.exchange import RelayEnd
from ..core.message import Message
from ..metrics import Metrics
from . import sockets
from .inventory import Inventory
from .loop import READ, WRITE, Loop, Timer
from .north import HOP, Payload
from .pool import Pool

BODY, HEAD = 65536, 16384
RETIRE = 0.6  # of the time after which a sim server closes an unused connection: a message must never cross that
SWEEP = 1.0
METER = frozenset((b"x-allowance-used", b"x-true-cost", b"x-server-load"))


class Malformed(Exception):
    pass


class Reply:
    """Bytes of one answer; `whole` once it is all there."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.whole = self.headed = self.keep = False
        self._parts: list[bytes] = []
        self._size = 0
        self._framed = False

    def feed(self, data: memoryview) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            raise Malformed from None
        if not self.headed:
            self._size += len(data)
            if self._size > HEAD:
                raise Malformed

    def end(self) -> None:
        """The connection ended: that is the end of an answer with no framing of its own, and breaks any other."""
        if self.headed and not self.whole and not self._framed:
            self.on_message_complete()

    @property
    def status(self) -> int:
        return int(self._parser.get_status_code())

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))
        if len(self.headers) > 100:
            raise Malformed

    def on_headers_complete(self) -> None:
        self.headed, self._size = True, 0
        self._framed = any(n in (b"content-length", b"transfer-encoding") for n, _ in self.headers)

    def on_body(self, part: bytes) -> None:
        self._size += len(part)
        if self._size > BODY:
            raise Malformed
        self._parts.append(part)

    def on_message_complete(self) -> None:
        if self.status < 200:  # an interim answer: the real one follows
            self.headers.clear()
            self.headed = False
            return
        self.whole, self.body = True, b"".join(self._parts)
        # Asked here and not later: once the message is over, the parser says no for every connection.
        self.keep = self._framed and bool(self._parser.should_keep_alive())


def outcome(reply: Reply, fields: Sequence[str]) -> RelayEnd:
    """An answer in the module's words. What cannot be read in a header is passed over."""
    end = RelayEnd("error")
    passed: list[tuple[bytes, bytes]] = []
    not_run = False
    for name, value in reply.headers:
        if name == b"x-allowance-used":
            end.used = max(0, 1 + int(_number(value, -1.0)))
        elif name == b"x-true-cost":
            end.cost = max(0.0, _number(value, 0.0))
        elif name == b"x-server-load":
            end.load = report(value, fields)
        elif name == b"x-not-processed":
            not_run = value == b"1"
        elif name not in HOP:
            passed.append((name, value))
    if reply.status == 200:
        end.status, end.payload = "ok", (reply.body, passed)
    elif reply.status in (503, 504) and not_run:
        end.status = "full"
    return end


def _number(value: bytes, default: float) -> float:
    try:
        number = float(value)
    except ValueError:
        return default
    return number if abs(number) < 1e9 else default  # also passes over inf and nan


def report(value: bytes, fields: Sequence[str]) -> list[float]:
    """'TEXT inflight=7, util=0.61' in the order of the settings' fields; empty unless all are there."""
    found: dict[str, float] = {}
    for part in value.decode("ascii", "replace").removeprefix("TEXT").split(","):
        name, _, number = part.strip().partition("=")
        found[name] = _number(number.encode(), -1.0)
    return [found[f] for f in fields] if fields and all(found.get(f, -1.0) >= 0 for f in fields) else []


class Conn:
    """A connection to one sim server: one relay at a time. Owned by Southside, closed in Southside.close alone."""

    __slots__ = ("sock", "at", "relay", "reply", "since", "up")

    def __init__(self, sock: socket.socket, at: Address, now: float) -> None:
        self.sock, self.at, self.since = sock, at, now
        self.relay: Attempt | None = None
        self.reply: Reply | None = None
        self.up = False


class Attempt:
    """One relay. `drop` gives it up by closing its connection."""

    __slots__ = ("south", "message", "server", "until", "done", "conn", "out", "written", "timer")

    def __init__(self, south: Southside, message: Message, server: str, until: float,
                 done: Callable[[RelayEnd], None]) -> None:
        self.south, self.message, self.server, self.until, self.done = south, message, server, until, done
        self.conn: Conn | None = None
        self.out = b""
        self.written = False
        self.timer: Timer | None = None

    def drop(self) -> bool:
        if self.conn is not None:
            conn, self.conn = self.conn, None
            conn.relay = None
            self.south.close(conn)
        if self.timer is not None:
            self.timer.cancel()
        return self.written


class Southside:
    def __init__(self, loop: Loop, pool: Pool, inventory: Inventory, metrics: Metrics, most: int, idle: float,
                 connect: float, fields: Sequence[str]) -> None:
        self.loop, self.pool, self.inventory, self.metrics = loop, pool, inventory, metrics
        self.most, self.retire, self.connect, self.fields = most, idle * RETIRE, connect, fields
        self.unused: dict[Address, list[Conn]] = {}  # the last used at the end
        self.count = 0
        loop.call_in(SWEEP, self._sweep)

    def start(self, message: Message, server: str, left: float, done: Callable[[RelayEnd], None]) -> Attempt:
        now = self.loop.clock()
        attempt = Attempt(self, message, server, now + left, done)
        at = self.inventory.address(server)
        if at is None or not self.inventory.usable(server):
            self._end(attempt, RelayEnd("connect_failed"))
            return attempt
        conn = self._kept(at, now) or self._open(at, now)
        if conn is None:
            self._end(attempt, RelayEnd("connect_failed"))
            return attempt
        conn.relay, attempt.conn = attempt, conn
        if conn.up:
            self._begin(conn, attempt)
        else:
            attempt.timer = self.loop.call_in(self.connect, lambda: self._broken(conn))
        return attempt

    def _kept(self, at: Address, now: float) -> Conn | None:
        """A kept connection that has not ended meanwhile and has not stood unused for long."""
        kept = self.unused.get(at)
        while kept:
            conn = kept.pop()
            if now - conn.since < self.retire and self._quiet(conn):
                return conn
            self.close(conn)
        return None

    def _quiet(self, conn: Conn) -> bool:
        return sockets.waiting(conn.sock) is None  # else it has ended, or says what nobody asked for

    def _open(self, at: Address, now: float) -> Conn | None:
        if self.count >= self.most and not self._evict():
            self.metrics.add("south_full")
            return None
        try:
            sock = sockets.connect(at)
        except OSError as error:
            if sockets.out_of_descriptors(error):
                self.metrics.add("out_of_descriptors")
                self._evict()
            return None
        conn = Conn(sock, at, now)
        self.count += 1
        self.metrics.add("connects")
        self.loop.register(sock, WRITE, lambda events: self._event(conn, events))
        return conn

    def _evict(self) -> bool:
        for kept in self.unused.values():
            if kept:
                self.close(kept[0])
                return True
        return False

    def _event(self, conn: Conn, events: int) -> None:
        if not conn.up:
            if sockets.failed(conn.sock):
                self._broken(conn)
                return
            conn.up = True
            if conn.relay is None:
                self.close(conn)
                return
            if conn.relay.timer is not None:
                conn.relay.timer.cancel()
            self._begin(conn, conn.relay)
            return
        if events & READ:
            self._readable(conn)
        elif events & WRITE and conn.relay is not None:
            self._write(conn, conn.relay)

    def _begin(self, conn: Conn, attempt: Attempt) -> None:
        # The list may have changed since the module chose: what drains or is gone gets no first byte any more.
        if not self.inventory.usable(attempt.server) or self.inventory.address(attempt.server) != conn.at:
            self.metrics.add("drained_before_send")
            self._keep(conn)
            self._end(attempt, RelayEnd("connect_failed"))
            return
        conn.reply = Reply()
        attempt.out = self._encode(attempt, conn.at)
        self._write(conn, attempt)

    def _encode(self, attempt: Attempt, at: Address) -> bytes:
        payload: Payload = attempt.message.payload
        wait = max(1, int(1000 * (attempt.until - self.loop.clock())))
        lines = [b"%s %s HTTP/1.1\r\nHost: %s:%d\r\nX-Timeout: %dm\r\n" % (
            payload.method, payload.target, at[0].encode(), at[1], wait)]
        lines += [b"%s: %s\r\n" % header for header in payload.headers]
        if payload.body or payload.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d\r\n" % len(payload.body))
        lines += [b"\r\n", payload.body]
        return b"".join(lines)

    def _write(self, conn: Conn, attempt: Attempt) -> None:
        try:
            sent = conn.sock.send(attempt.out)
        except BlockingIOError:
            sent = 0
        except OSError:
            self._broken(conn)
            return
        attempt.out = attempt.out[sent:]
        attempt.written = not attempt.out
        self.loop.want(conn.sock, READ if attempt.written else READ | WRITE, lambda events: self._event(conn, events))

    def _readable(self, conn: Conn) -> None:
        buffer = self.pool.take()
        try:
            count = conn.sock.recv_into(buffer)
            if conn.reply is None:  # unused: it has ended, or says what nobody asked for
                count = -1
            elif count:
                conn.reply.feed(memoryview(buffer)[:count])
            else:
                conn.reply.end()
        except BlockingIOError:
            return
        except (OSError, Malformed):
            count = -1
        finally:
            self.pool.give(buffer)
        attempt, reply = conn.relay, conn.reply
        if reply is not None and reply.whole and attempt is not None:
            end = outcome(reply, self.fields)
            if count > 0 and attempt.written and reply.keep:
                self._keep(conn)
            else:
                attempt.conn = conn.relay = None
                self.close(conn)
            self._end(attempt, end)
        elif count <= 0:
            self._broken(conn)

    def _keep(self, conn: Conn) -> None:
        if conn.relay is not None:
            conn.relay.conn = None
        conn.relay = conn.reply = None
        conn.since = self.loop.clock()
        self.unused.setdefault(conn.at, []).append(conn)
        self.loop.want(conn.sock, READ, lambda events: self._event(conn, events))

    def _broken(self, conn: Conn) -> None:
        attempt = conn.relay
        if attempt is not None:
            attempt.conn = conn.relay = None
        self.close(conn)
        if attempt is not None:  # the last byte written or not is what tells whether it may have run
            self._end(attempt, RelayEnd("reset" if attempt.written else "connect_failed"))

    def _end(self, attempt: Attempt, end: RelayEnd) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.done(end)

    def close(self, conn: Conn) -> None:
        """The one place where a connection to a sim server is given back."""
        if conn.sock.fileno() < 0:
            return
        kept = self.unused.get(conn.at)
        if kept and conn in kept:
            kept.remove(conn)
        self.loop.want(conn.sock, 0, lambda events: None)
        conn.sock.close()
        self.count -= 1

    def stop(self) -> None:
        for kept in list(self.unused.values()):
            for conn in list(kept):
                self.close(conn)

    def _sweep(self) -> None:
        old = self.loop.clock() - self.retire
        for at in list(self.unused):
            for conn in [c for c in self.unused[at] if c.since < old or not self.inventory.knows(at)]:
                self.close(conn)
            if not self.unused[at]:
                del self.unused[at]
        self.loop.call_in(SWEEP, self._sweep)
