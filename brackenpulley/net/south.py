"""The south side: relays to sim servers over kept connections. It never sends anything a second time."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

from ..address import Address
from ..core.exchange import RelayEnd
from ..core.message import Message
from ..metrics import Metrics
from . import sockets
from .answers import Malformed, Reply, outcome
from .http import BODY, Payload
from .inventory import Inventory
from .loop import READ, WRITE, Loop, Timer
from .pool import Pool

RETIRE = 0.6  # of the time after which a sim server closes an unused connection: a message must never cross that
SWEEP = 1.0
LARGEST = 4 << 20  # bytes of one answer at most, however much memory there is
YOUNG, BAD_SHARE, TRIAL, NOTICE = 0.1, 0.1, 16, 0.05  # see Trust
STALLED = 2.0  # s without a byte of an answer that has begun: one that stands still is spoilt

Key = tuple[str, Address]  # id and address: a new sim server may have the address of one that is gone


class Conn:
    """A connection to one sim server: one relay at a time. Owned by Southside, closed in Southside.close alone."""

    __slots__ = ("sock", "key", "relay", "reply", "since", "up", "age")

    def __init__(self, sock: socket.socket, key: Key, now: float) -> None:
        self.sock, self.key, self.since = sock, key, now
        self.relay: Attempt | None = None
        self.reply: Reply | None = None
        self.up = False
        self.age = 0.0  # s that it had stood unused when its relay was given to it


class Trust:
    """Whether connections that stood unused for long can still be used: some sim servers end them unheard.

    A message on such a connection is reset and may have run, so a new one is cheaper as soon as BAD_SHARE of those
    older than YOUNG break before a byte of the answer. One in TRIAL is used all the same, to learn that it is over."""

    def __init__(self) -> None:
        self.bad, self._skipped = 0.0, 0

    def allows(self, age: float) -> bool:
        if age < YOUNG or self.bad < BAD_SHARE:
            return True
        self._skipped = (self._skipped + 1) % TRIAL
        return not self._skipped

    def learn(self, age: float, broke: bool) -> None:
        if age >= YOUNG:
            self.bad += NOTICE * (broke - self.bad)


class Attempt:
    """One relay. `drop` gives it up by closing its connection."""

    __slots__ = ("south", "message", "server", "until", "done", "conn", "out", "written", "timer",
                 "stalling", "heard")

    def __init__(self, south: Southside, message: Message, server: str, until: float,
                 done: Callable[[RelayEnd], None]) -> None:
        self.south, self.message, self.server, self.until, self.done = south, message, server, until, done
        self.conn: Conn | None = None
        self.out = b""
        self.written = self.stalling = False
        self.heard = 0.0  # when the last bytes of its answer came
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
                 connect: float, fields: Sequence[str], memory: int) -> None:
        self.loop, self.pool, self.inventory, self.metrics = loop, pool, inventory, metrics
        self.most, self.retire, self.connect, self.fields = most, idle * RETIRE, connect, fields
        self.unused: dict[Key, list[Conn]] = {}  # the last used at the end
        self.count = 0
        # Bytes of answers not passed on yet: no answer alone, nor all together, may take the memory.
        self.held, self.budget, self.largest = 0, memory, min(LARGEST, max(BODY, memory // 16))
        self.trust = Trust()
        loop.call_in(SWEEP, self._sweep)

    def start(self, message: Message, server: str, left: float, done: Callable[[RelayEnd], None]) -> Attempt:
        now = self.loop.clock()
        attempt = Attempt(self, message, server, now + left, done)
        at = self.inventory.address(server)
        if at is None or not self.inventory.usable(server):
            self._end(attempt, RelayEnd("connect_failed"))
            return attempt
        conn = self._kept((server, at), now) or self._open((server, at), now)
        if conn is None:
            self._end(attempt, RelayEnd("connect_failed"))
            return attempt
        conn.relay, attempt.conn = attempt, conn
        if conn.up:
            self._begin(conn, attempt)
        else:
            attempt.timer = self.loop.call_in(self.connect, lambda: self._broken(conn))
        return attempt

    def _kept(self, key: Key, now: float) -> Conn | None:
        """A kept connection that has not ended meanwhile and has not stood unused for long."""
        kept = self.unused.get(key)
        while kept:
            conn = kept.pop()
            conn.age = now - conn.since
            if conn.age < self.retire and self.trust.allows(conn.age) and self._quiet(conn):
                return conn
            self.close(conn)
        return None

    def _quiet(self, conn: Conn) -> bool:
        return sockets.waiting(conn.sock) is None  # else it has ended, or says what nobody asked for

    def _open(self, key: Key, now: float) -> Conn | None:
        if self.count >= self.most and not self._evict():
            self.metrics.add("south_full")
            return None
        try:
            sock = sockets.connect(key[1])
        except OSError as error:
            if sockets.out_of_descriptors(error):
                self.metrics.add("out_of_descriptors")
                self._evict()
            return None
        conn = Conn(sock, key, now)
        self.count += 1
        self.metrics.at("connects", key[0])
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
        if not self.inventory.usable(attempt.server) or self.inventory.address(attempt.server) != conn.key[1]:
            self.metrics.add("drained_before_send")
            self._keep(conn)
            self._end(attempt, RelayEnd("connect_failed"))
            return
        conn.reply = Reply(self.largest)
        attempt.out = self._encode(attempt, conn.key[1])
        self._write(conn, attempt)

    def _encode(self, attempt: Attempt, at: Address) -> bytes:
        message = attempt.message
        payload: Payload = message.payload
        wait = max(1, int(1000 * (attempt.until - self.loop.clock())))
        lines = [b"%s %s HTTP/1.1\r\nHost: %s:%d\r\nX-Timeout: %dm\r\n" % (
            payload.method, payload.target, at[0].encode(), at[1], wait)]
        if message.revision:  # the book speaks, whatever X-Tariff says
            lines.append(b"X-Plan: %s; revision=%d\r\n" % (message.plan.encode(), message.revision))
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
        if not attempt.out and not attempt.written:
            attempt.written = True
            self.metrics.of("tries", attempt.message.cls)
        self.loop.want(conn.sock, READ if attempt.written else READ | WRITE, lambda events: self._event(conn, events))

    def _readable(self, conn: Conn) -> None:
        buffer = self.pool.take()
        try:
            count = conn.sock.recv_into(buffer)
            if conn.reply is None:  # unused: it has ended, or says what nobody asked for
                count = -1
            elif count:
                size = conn.reply.size
                try:
                    conn.reply.feed(bytes(memoryview(buffer)[:count]))
                finally:
                    self.held += conn.reply.size - size
                if self.held > self.budget:
                    self.metrics.add("answers_over_memory")
                    raise Malformed
            else:
                conn.reply.end()
        except BlockingIOError:
            return
        except OSError:
            count = -1
        except Malformed:
            self.metrics.add("answers_spoilt")
            count = -1
        finally:
            self.pool.give(buffer)
        attempt, reply = conn.relay, conn.reply
        if attempt is not None and count > 0:
            attempt.heard = self.loop.clock()
        if reply is not None and attempt is not None and (count <= 0 or reply.whole):
            self.trust.learn(conn.age, count <= 0 and not reply.begun)
        if reply is not None and reply.whole and attempt is not None:
            end = outcome(reply, self.fields)
            if count > 0 and attempt.written and reply.keep:
                self._keep(conn)
            else:
                if reply.surplus:
                    self.metrics.add("answers_surplus")
                attempt.conn = conn.relay = None
                self.close(conn)
            self._end(attempt, end)
        elif count <= 0:
            self._broken(conn)
        elif reply is not None and reply.begun and attempt is not None and not attempt.stalling:
            attempt.stalling = True
            attempt.timer = self.loop.call_in(STALLED, lambda: self._stalled(conn))

    def _stalled(self, conn: Conn) -> None:
        attempt = conn.relay
        if attempt is not None and (still := self.loop.clock() - attempt.heard) < STALLED:
            # It came slowly but it still comes: a peer may write a long answer in pieces over seconds.
            attempt.timer = self.loop.call_in(STALLED - still, lambda: self._stalled(conn))
            return
        self.metrics.add("answers_stalled")
        self._broken(conn)

    def _keep(self, conn: Conn) -> None:
        if conn.relay is not None:
            conn.relay.conn = None
        conn.relay = None
        self._forget(conn)
        conn.since = self.loop.clock()
        self.unused.setdefault(conn.key, []).append(conn)
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
        kept = self.unused.get(conn.key)
        if kept and conn in kept:
            kept.remove(conn)
        self._forget(conn)
        self.loop.want(conn.sock, 0, lambda events: None)
        conn.sock.close()
        self.count -= 1

    def _forget(self, conn: Conn) -> None:
        """The one place where an answer's bytes are given back."""
        if conn.reply is not None:
            self.held -= conn.reply.size
            conn.reply = None

    def stop(self) -> None:
        for kept in list(self.unused.values()):
            for conn in list(kept):
                self.close(conn)

    def _sweep(self) -> None:
        old = self.loop.clock() - self.retire
        for key in list(self.unused):
            server, at = key
            gone = self.inventory.address(server) != at
            for conn in [c for c in self.unused[key] if gone or c.since < old]:
                self.close(conn)
            if not self.unused[key]:
                del self.unused[key]
        self.loop.call_in(SWEEP, self._sweep)
