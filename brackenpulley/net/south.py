"""The south side: relays to sim servers over kept connections. It never sends anything a second time."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable, Sequence

from ..address import Address
from ..bodies.body import Body, SpoolReadError, State
from ..bodies.memory import BodyMemory
from ..core.exchange import RelayResult
from ..core.message import Message
from ..metrics import Metrics
from . import sockets
from .answers import Malformed, Reply, TooMuch, outcome
from .http import DEFAULT_MAX_BODY_BYTES, Payload, append_body_slice
from .inventory import Inventory
from .loop import READ, WRITE, Loop, Timer
from .pool import BUFFER_BYTES, Pool

RETIRE = 0.6  # of the time after which a sim server closes an unused connection: a message must never cross that
SWEEP = 1.0
YOUNG, BAD_SHARE, TRIAL, NOTICE = 0.1, 0.1, 16, 0.05  # see Trust
REST = 0.01  # s for which a connection rests after an answer: a second one may come behind it, for nobody
STALLED = 2.0  # s without a byte of an answer that has begun, or taken of a long body: who stands still is given up
FLOW_STALLED = 5.0  # the same once the client has a part of it: no other attempt can take its place

Key = tuple[str, Address]  # id and address: a new sim server may have the address of one that is gone


class Conn:
    """A connection to one sim server: one relay at a time. Owned by Southside, closed in Southside.close alone."""

    __slots__ = ("sock", "key", "relay", "reply", "held", "since", "up", "age")

    def __init__(self, sock: socket.socket, key: Key, now: float) -> None:
        self.sock, self.key, self.since = sock, key, now
        self.relay: Attempt | None = None
        self.reply: Reply | None = None
        self.held = 0  # bytes of that, as the account has them
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

    __slots__ = (
        "south",
        "message",
        "server",
        "until",
        "done",
        "began",
        "conn",
        "out",
        "stream",
        "chunked",
        "ended",
        "begun",
        "written",
        "timer",
        "stalling",
        "moved",
        "flow",
        "since",
    )

    def __init__(
        self,
        south: Southside,
        message: Message,
        server: str,
        until: float,
        done: Callable[[RelayResult], None],
        began: Callable[[RelayResult], None],
    ) -> None:
        self.south, self.message, self.server, self.until, self.done = south, message, server, until, done
        self.began = began
        self.conn: Conn | None = None
        self.out: deque[bytes | memoryview] = deque()  # what the socket has not taken yet
        self.stream: Body | None = None  # the rest of the message, where its body is long
        self.chunked = False  # how that is framed
        self.ended = True  # all of the message has been put out
        self.begun = self.written = self.stalling = False  # a first byte is out; the last one; an answer has begun
        self.moved = 0.0  # when the last bytes went or came
        self.since = 0.0  # when the last byte of a long message was written
        self.flow: Body | None = None  # of its answer, where that is long
        self.timer: Timer | None = None

    def drop(self) -> bool:
        if self.conn is not None:
            conn, self.conn = self.conn, None
            conn.relay = None
            self.south.close(conn)
        if self.timer is not None:
            self.timer.cancel()
        if self.flow is not None:
            self.flow.drop()
        return self.written

    def recall(self) -> bool:
        if self.begun or self.conn is None:
            return False
        self.drop()
        return True


class Southside:
    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        inventory: Inventory,
        metrics: Metrics,
        most: int,
        idle: float,
        connect: float,
        fields: Sequence[str],
        shares: BodyMemory,
    ) -> None:
        self.loop, self.pool, self.inventory, self.metrics = loop, pool, inventory, metrics
        self.most, self.retire, self.connect, self.fields = most, idle * RETIRE, connect, fields
        self.unused: dict[Key, list[Conn]] = {}  # the last used at the end
        self.count = 0
        self.shares = shares
        self.trust = Trust()
        self.caps: dict[str, int] | None = None  # connections that may be open at each server; None = no bound
        self.opened: dict[str, int] = {}  # by server
        self.no_room: dict[str, int] = {}  # attempts that found none, by server, until somebody asks
        loop.call_in(SWEEP, self._sweep)

    def start(
        self,
        message: Message,
        server: str,
        left: float,
        done: Callable[[RelayResult], None],
        began: Callable[[RelayResult], None],
    ) -> Attempt:
        now = self.loop.clock()
        attempt = Attempt(self, message, server, now + left, done, began)
        at = self.inventory.address(server)
        if at is None or not self.inventory.usable(server):
            self._end(attempt, RelayResult("connect_failed"))
            return attempt
        conn = self._kept((server, at), now) or self._open((server, at), now)
        if conn is None:
            self._end(attempt, RelayResult("connect_failed"))
            return attempt
        conn.relay, attempt.conn = attempt, conn
        if conn.up:
            self._put_out(conn, attempt)
        else:
            attempt.timer = self.loop.call_in(self.connect, lambda: self._broken(conn))
        return attempt

    def _kept(self, key: Key, now: float) -> Conn | None:
        """A kept connection that has rested, has not ended meanwhile and has not stood unused for long."""
        kept = self.unused.get(key)
        while kept:
            conn = kept[-1]
            conn.age = now - conn.since
            if conn.age < REST:  # used again at once, it could bring a second answer as if it were the next one's
                rested = next((other for other in reversed(kept) if now - other.since >= REST), None)
                if rested is None:
                    return None
                conn, rested.age = rested, now - rested.since
            kept.remove(conn)
            if (
                conn.age < self.retire and self.trust.allows(conn.age) and (sockets.peek(conn.sock) is None)
            ):  # else it has ended, or says what nobody asked for
                return conn
            self.close(conn)
        return None

    def _open(self, key: Key, now: float) -> Conn | None:
        if self.caps is not None and self.unused.get(key) and self.opened[key[0]] == self.caps.get(key[0], 0):
            self.close(self.unused[key][0])  # it has not rested yet: a new one takes its place
        if self.caps is not None and self.opened.get(key[0], 0) >= self.caps.get(key[0], 0):
            self.no_room[key[0]] = self.no_room.get(key[0], 0) + 1
            self.metrics.add("south_over_share")
            return None
        if self.count >= self.most and not self._evict():
            self.metrics.add("south_full")
            return None
        try:
            sock = sockets.connect(key[1])
        except OSError as error:
            if sockets.is_out_of_descriptors(error):
                self.metrics.add("out_of_descriptors")
                self._evict()
            return None
        conn = Conn(sock, key, now)
        self.count += 1
        self.opened[key[0]] = self.opened.get(key[0], 0) + 1
        self.metrics.add_for_server("connects", key[0])
        self.loop.register(sock, WRITE, lambda events: self._event(conn, events))
        return conn

    def shrink(self, server: str, most: int) -> None:
        """Close unused connections there until there are no more than that, as far as that goes."""
        for key, kept in list(self.unused.items()):
            while key[0] == server and kept and self.opened.get(server, 0) > most:
                self.close(kept[0])

    def busy(self, server: str) -> int:
        """Connections there that carry an attempt, or come up for one."""
        return self.opened.get(server, 0) - sum(len(kept) for key, kept in self.unused.items() if key[0] == server)

    def _evict(self) -> bool:
        for kept in self.unused.values():
            if kept:
                self.close(kept[0])
                return True
        return False

    def _event(self, conn: Conn, events: int) -> None:
        if not conn.up:
            if sockets.connect_error(conn.sock):
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
        """The connection has come up, perhaps late."""
        # The list may have changed since the module chose: what drains or is gone gets no first byte any more.
        if not self.inventory.usable(attempt.server) or self.inventory.address(attempt.server) != conn.key[1]:
            self.metrics.add("drained_before_send")
            self._keep(conn)
            self._end(attempt, RelayResult("connect_failed"))
        else:
            self._put_out(conn, attempt)

    def _put_out(self, conn: Conn, attempt: Attempt) -> None:
        if self.loop.clock() >= attempt.message.write_deadline:
            self.metrics.add("window_over")
            self._keep(conn)
            self._end(attempt, RelayResult("connect_failed"))
            return
        payload: Payload = attempt.message.payload
        conn.reply = Reply(DEFAULT_MAX_BODY_BYTES, bodiless=payload.method == b"HEAD")
        if payload.stream is not None and not self._stream(conn, attempt, payload.stream):
            self._keep(conn)
            self._end(attempt, RelayResult("connect_failed"))
            return
        attempt.out.append(self._encode(attempt, conn.key[1]))
        self._write(conn, attempt)

    def _stream(self, conn: Conn, attempt: Attempt, stream: Body) -> bool:
        """A long body is read from its first byte on; False where that is gone."""
        if not stream.begin():
            return False
        attempt.stream, attempt.ended = stream, False
        attempt.chunked = stream.length < 0 and stream.state is not State.ENDED
        attempt.moved = self.loop.clock()

        # Never from within the read that brought it: what breaks here would end that one too.
        stream.on_change = self.loop.coalesce(lambda: self._woken(conn, attempt))
        attempt.timer = self.loop.call_in(STALLED, lambda: self._unsent(conn, attempt))
        return True

    def _woken(self, conn: Conn, attempt: Attempt) -> None:
        if attempt.conn is conn and not attempt.written:
            self._write(conn, attempt)

    def _unsent(self, conn: Conn, attempt: Attempt) -> None:
        """A server that takes nothing of what waits for it stands still; one for which nothing waits does not."""
        if attempt.conn is not conn or attempt.written:
            return
        still = self.loop.clock() - attempt.moved if attempt.out else 0.0
        if still >= STALLED:
            self.metrics.add("sends_stalled")
            self._broken(conn)
            return
        attempt.timer = self.loop.call_in(STALLED - still, lambda: self._unsent(conn, attempt))

    def _encode(self, attempt: Attempt, at: Address) -> bytes:
        message = attempt.message
        payload: Payload = message.payload
        wait = max(1, int(1000 * (attempt.until - self.loop.clock())))
        lines = [
            b"%s %s HTTP/1.1\r\nHost: %s:%d\r\nX-Timeout: %dm\r\n"
            % (payload.method, payload.target, at[0].encode(), at[1], wait)
        ]
        if message.revision:  # the book speaks, whatever X-Tariff says
            lines.append(b"X-Plan: %s; revision=%d\r\n" % (message.plan.encode(), message.revision))
        lines += [b"%s: %s\r\n" % header for header in payload.headers]
        if attempt.chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        elif payload.stream is not None:
            whole = payload.stream.length if payload.stream.length >= 0 else payload.stream.size
            lines.append(b"Content-Length: %d\r\n" % whole)
        elif payload.body or payload.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d\r\n" % len(payload.body))
        lines += [b"\r\n", payload.body]
        return b"".join(lines)

    def _write(self, conn: Conn, attempt: Attempt) -> None:
        if attempt.begun and self.loop.clock() >= attempt.message.write_deadline:  # its last byte is not out: it never ran
            self.metrics.add("window_over")
            self._broken(conn)
            return
        try:
            while attempt.out or not attempt.ended and self._refill(attempt):
                if sockets.write(conn.sock, attempt.out):
                    attempt.begun = True
                    if attempt.stream is not None:
                        attempt.moved = self.loop.clock()
                if attempt.out:
                    break
        except SpoolReadError:
            self.metrics.add("spool_holes")
            self._broken(conn)
            return
        except OSError:
            # What it said before it closed may be that it turned the message away.
            self._readable(conn)
            if attempt.conn is conn:
                self._broken(conn)
            return
        if attempt.ended and not attempt.out and not attempt.written:
            attempt.written = True
            self.metrics.add_for_class("tries", attempt.message.priority_class)
            if attempt.stream is not None:
                attempt.since = self.loop.clock()
                if attempt.timer is not None:
                    attempt.timer.cancel()
        self.loop.set_interest(
            conn.sock, READ | WRITE if attempt.out else READ, lambda events: self._event(conn, events)
        )

    def _refill(self, attempt: Attempt) -> bool:
        """The next slice of a long body; False where there is none yet."""
        assert attempt.stream is not None
        more = append_body_slice(attempt.stream, attempt.out, attempt.chunked)
        attempt.ended = attempt.stream.is_complete
        return more

    def _readable(self, conn: Conn) -> None:
        attempt, reply = conn.relay, conn.reply
        flow = attempt.flow if attempt is not None else None
        room = BUFFER_BYTES if flow is None else min(BUFFER_BYTES, flow.available_space())
        if not room:  # its client does not take what is there already
            self.loop.set_interest(conn.sock, 0, lambda events: None)
            return
        ours = False
        try:
            count = len(data := self._read(conn.sock, room, flow is not None))
            if reply is None:  # unused: it has ended, or says what nobody asked for
                count = -1
            elif count:
                reply.feed(data)
                if not (reply.whole or self._fits(conn, reply)):
                    raise TooMuch
            else:
                reply.end()
        except BlockingIOError:
            return
        except OSError:
            count = -1
        except TooMuch:
            self.metrics.add("answers_over_memory")
            count, ours = -1, True
        except Malformed:
            self.metrics.add("answers_spoilt")
            count = -1
        if reply is None or attempt is None:
            if count <= 0:
                self._broken(conn)
            return
        if count <= 0 or reply.whole:
            self.trust.learn(conn.age, count <= 0 and not reply.begun)
        if reply.whole:
            self._answered(conn, attempt, reply, count > 0)
            return
        if count <= 0:
            self._broken(conn, ours)
            return
        attempt.moved = self.loop.clock()
        if reply.begun and not attempt.stalling and attempt.written:
            attempt.stalling = True
            attempt.timer = self.loop.call_in(STALLED, lambda: self._stalled(conn))
        if reply.long and attempt.flow is None and attempt.conn is conn and attempt.written:
            self._begun(conn, attempt, reply)

    def _read(self, sock: socket.socket, room: int, flows: bool) -> bytes:
        """What has come. A slice that flows goes on to the client as it is, so it is read into bytes of its own."""
        if flows:
            return sock.recv(room)
        buffer = self.pool.acquire()
        try:
            return bytes(memoryview(buffer)[: sock.recv_into(buffer, room)])
        finally:
            self.pool.release(buffer)

    def _fits(self, conn: Conn, reply: Reply) -> bool:
        """What is held of an answer that is not whole yet is counted; False where all such are too much together."""
        change, conn.held = reply.gathered - conn.held, reply.gathered
        return not change or self.shares.adjust_answer_bytes(change)

    def _answered(self, conn: Conn, attempt: Attempt, reply: Reply, open_still: bool) -> None:
        end = outcome(reply, self.fields)
        if not attempt.written and end.status != "full":
            end = RelayResult("connect_failed")  # a server begins at the last byte: this is no answer to the message
        if open_still and attempt.written and reply.keep:
            self._keep(conn)
        else:
            if reply.surplus:
                self.metrics.add("answers_surplus")
            attempt.conn = conn.relay = None
            self.close(conn)
        self._end(attempt, end)

    def _begun(self, conn: Conn, attempt: Attempt, reply: Reply) -> None:
        """It is longer than what is held whole: from here on it flows to the client."""
        attempt.flow = flow = Body(self.shares, reply.length)

        def eased() -> None:
            if attempt.conn is conn:
                attempt.moved = self.loop.clock()
                self.loop.set_interest(conn.sock, READ, lambda events: self._event(conn, events))

        flow.on_space = eased
        reply.flow(flow)
        self._fits(conn, reply)
        end = outcome(reply, self.fields)
        end.written_at = attempt.since
        attempt.began(end)

    def _stalled(self, conn: Conn) -> None:
        attempt = conn.relay
        if attempt is not None and attempt.flow is not None and attempt.flow.is_writer_blocked:
            attempt.moved = self.loop.clock()  # we do not read: that is its client's pace
        longest = STALLED if attempt is None or attempt.flow is None else FLOW_STALLED
        if attempt is not None and (still := self.loop.clock() - attempt.moved) < longest:
            # It came slowly but it still comes: a peer may write a long answer in pieces over seconds.
            attempt.timer = self.loop.call_in(longest - still, lambda: self._stalled(conn))
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
        self.loop.set_interest(conn.sock, READ, lambda events: self._event(conn, events))

    def _broken(self, conn: Conn, ours: bool = False) -> None:
        """`ours`: it is not the server's fault, and would be so again."""
        attempt = conn.relay
        if attempt is not None:
            attempt.conn = conn.relay = None
            if attempt.flow is not None:
                attempt.flow.abort()
        self.close(conn)
        if attempt is not None:  # the last byte written or not is what tells whether it may have run
            status = "cancelled" if ours else "reset" if attempt.written else "connect_failed"
            self._end(attempt, RelayResult(status, is_permanent=ours))

    def _end(self, attempt: Attempt, end: RelayResult) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
        end.written_at = attempt.since
        attempt.done(end)

    def close(self, conn: Conn) -> None:
        """The one place where a connection to a sim server is given back."""
        if conn.sock.fileno() < 0:
            return
        kept = self.unused.get(conn.key)
        if kept and conn in kept:
            kept.remove(conn)
        self._forget(conn)
        self.loop.set_interest(conn.sock, 0, lambda events: None)
        conn.sock.close()
        self.count -= 1
        self.opened[conn.key[0]] -= 1
        if not self.opened[conn.key[0]]:
            del self.opened[conn.key[0]]

    def _forget(self, conn: Conn) -> None:
        """The one place where an answer's bytes are given back."""
        if conn.held:
            self.shares.adjust_answer_bytes(-conn.held)
        conn.reply, conn.held = None, 0

    def stop(self) -> None:
        for kept in list(self.unused.values()):
            for conn in list(kept):
                self.close(conn)

    def _sweep(self) -> None:
        old = self.loop.clock() - self.retire
        for key in list(self.unused):
            server, at = key
            gone = self.inventory.address(server) != at or not self.inventory.usable(server)
            for conn in [c for c in self.unused[key] if gone or c.since < old]:
                self.close(conn)
            if not self.unused[key]:
                del self.unused[key]
        self.loop.call_in(SWEEP, self._sweep)
