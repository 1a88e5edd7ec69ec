"""The north side: clients' connections. It reads messages, and writes the one answer that the exchange lets through."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from ..address import Address
from ..bodies.body import Body, State
from ..bodies.memory import BodyMemory
from ..bodies.pace import Pace
from ..core.exchange import Answer, Exchange, South
from ..core.ingress import Ingress
from ..core.message import MessageError
from ..metrics import Metrics
from ..policy.drain import DrainState
from . import sockets
from .http import LONGEST, pass_on
from .loop import READ, WRITE, Loop, Timer
from .pool import SIZE, Pool
from .requests import Fault, Reader, begin, encode, message

ACCEPTS_A_TURN = 64
UNTAKEN = 10.0  # s for an answer to be taken
UNTAKEN_AT_END = 3.0  # the same after SIGTERM, so that no client keeps the program from ending in time
LINGER = 2.0  # s for which what still comes is read and lost, so that an answer before its end reaches the client
SHED = 30.0  # the same where it can be parsed and still flows: its connection is good for the next message
LINGER_AT_END = 0.3  # s of it after SIGTERM: the process is not held up by a client that does not end its side
LINGER_MOST, LINGER_BAD = 64 << 20, 1 << 20  # bytes of that; behind what is no head, or a crowd
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
PIPELINED = 8  # messages that may wait behind the one in hand; more at once are a crowd, and get errors
WAITING = 1 << 16  # bytes of their bodies; with more there, no more is read
LOOK = 0.05  # s between looks at whether a client that is not read is still there
LINGERING = 8  # one part of the connections may be such that only wait for their client's end
SILENT = 2.0  # s from connecting, for a client that says nothing at all
IDLE = 120.0  # s after which a connection without a message is closed
SWEEP = 0.25
NEW = 0.05  # s in which a message is on its way for sure; after that a stranger is the first to make room
PAUSE = 0.01  # s without accepting where nothing can make room


class Client:
    """One connection of the north side; owned by North, closed in North.close alone.

    | it is      | `busy` | what else                                           | reads                      |
    | ---------- | ------ | --------------------------------------------------- | -------------------------- |
    | unused     | no     | nothing partial                                     | yes                        |
    | being told | no     | the reader holds a part of a message                | yes                        |
    | in hand    | yes    | `exchange`                                          | while what waits fits      |
    | taking     | yes    | the same, and `upload`: its long body               | while the body has room    |
    | answered   | yes    | `out`, or `flow`: its long answer                   | as in hand                 |
    | shedding   | yes    | `shed_by`: answered before the end of what it sends | yes, and all of it is lost |
    | ending     | yes    | no `keep`: ended once its answer is out             | as in hand                 |
    | ended      | yes    | `shed_by` and `raw`: our side is shut down          | yes, and all of it is lost |

    What is not parsed any more (`raw`) is read all the same, so that a close is noticed in every state; where it is not
    read, since there is no room, `North._look` asks the socket. Every connection that we end goes through `ended`: a
    close over bytes that are not read is a reset, which takes the last answer with it.
    """

    __slots__ = (
        "sock",
        "reader",
        "exchange",
        "busy",
        "keep",
        "out",
        "since",
        "reading",
        "closing",
        "serial",
        "crowded",
        "pace",
        "upload",
        "flow",
        "chunked",
        "old",
        "shed_by",
        "shed",
        "raw",
    )

    def __init__(self, sock: socket.socket, now: float, reader: Reader) -> None:
        self.sock, self.reader = sock, reader
        self.exchange: Exchange | None = None
        self.busy = False  # a message of it is in hand, its answer not yet written
        self.keep = True
        self.out: deque[bytes | memoryview] = deque()  # of the answer, what the socket has not taken yet
        self.since = now  # it was unused from then on, or its answer moved
        self.pace = Pace(now)
        self.reading = True
        self.closing = False
        self.serial = 0
        self.crowded = False  # too many messages came at once
        self.upload: Body | None = None  # of the message in hand
        self.flow: Body | None = None  # of its answer
        self.chunked = False  # how that is framed
        self.old = False  # the message in hand came in HTTP/1.0
        self.shed_by = 0.0  # until when what still comes is read and lost; 0 = it is not
        self.shed = 0  # bytes of that
        self.raw = False  # what comes is not parsed any more


class North:
    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        ingress: Ingress,
        south: South,
        metrics: Metrics,
        log: Any,
        most: int,
        ready: Callable[[], bool],
        drain: DrainState,
        shares: BodyMemory,
        longest: int = LONGEST,
    ) -> None:
        self.loop, self.pool, self.ingress, self.south = loop, pool, ingress, south
        self.metrics, self.log, self.ready = metrics, log, ready
        self.lingering = max(2, most // LINGERING)
        self.most = most - self.lingering
        self.ended: dict[Client, None] = {}  # these wait for their client's end alone; the oldest first
        self.unread: dict[Client, None] = {}  # nothing is read of these, for want of room
        self.clients: dict[Client, None] = {}  # the longest unused first
        self.strangers: dict[Client, None] = {}  # of these, those that have not sent a whole message yet; oldest first
        self.listener: socket.socket | None = None
        self.accepting = False
        self.drain, self.shares, self.longest = drain, shares, longest
        self.shedding: dict[Client, None] = {}  # these make room before all others; oldest first
        self.flowing = 0  # clients with a long answer on its way
        self._paused: Timer | None = None
        self._looks: Timer | None = None

    @property
    def draining(self) -> bool:
        return self.drain.is_draining

    def listen(self, at: Address) -> Address:
        self.listener = sock = sockets.listen(at, 1024, shared=True)
        self._accept_on()
        self.loop.call_in(SWEEP, self._sweep)
        bound = sock.getsockname()
        return bound[0], bound[1]

    def _accept_on(self) -> None:
        if self.listener and not self.accepting:
            self.accepting = True
            self.loop.register(self.listener, READ, self._acceptable)

    def _accept_off(self) -> None:
        if self.listener and self.accepting:
            self.accepting = False
            self.loop.forget(self.listener)

    def _acceptable(self, events: int) -> None:
        self.accept(ACCEPTS_A_TURN)

    def accept(self, count: int, at_end: bool = False) -> None:
        for _ in range(count):
            if self.listener is None:
                return
            try:
                sock = sockets.accept(self.listener)
            except BlockingIOError:
                return
            except OSError as error:
                if sockets.out_of_descriptors(error):
                    self.metrics.add("out_of_descriptors")
                    if not self._make_room():
                        self._pause()
                        return
                continue
            client = Client(sock, self.loop.clock(), Reader(self.shares, self.longest))
            self.clients[client] = self.strangers[client] = None
            self.metrics.add("accepted")
            self._trim()
            self.loop.register(sock, READ, lambda events, c=client: self._event(c, events))  # type: ignore[misc]
            self._readable(client)
            # What waits in the backlog counts as taken: unused connections make room before anything waits there.
            if self._full() and not self._evict() and not at_end:
                self._pause()
                return

    def _full(self) -> bool:
        return len(self.clients) - len(self.ended) > self.most

    def _pause(self) -> None:
        self._accept_off()
        if self._paused is None:
            self._paused = self.loop.call_in(PAUSE, self._resume)

    def _resume(self) -> None:
        self._paused = None
        if not self._full() or self._evict():
            self._accept_on()
        else:
            self._pause()

    def _evict(self) -> bool:
        """End the oldest stranger that sends no whole message, or the longest unused that has nothing to say.

        What it holds is free once another has to make room for it among those that ended."""
        old = self.loop.clock() - NEW
        for client in self.shedding:  # these have had their answer
            self.close(client)
            return True
        for client in self.strangers:  # a crowd of them must not shut out those who come to ask
            if client.since > old:
                break
            if not client.busy and not client.out and (client.reader.partial or not self._spoke(client)):
                self.metrics.add("strangers_closed")
                self._end(client)
                return True
        for client in self.clients:
            if (
                client.serial
                and not client.busy
                and not client.reader.partial
                and not client.out
                and (not self._spoke(client))
            ):
                self._end(client)
                return True
        return False

    def _make_room(self) -> bool:
        """A descriptor at once: those that have ended go before all others."""
        for client in self.ended:
            self.close(client)
            return True
        return self._evict()

    def _spoke(self, client: Client) -> bool:
        """Something has come that is not read yet: closing now would lose a message."""
        return bool(sockets.waiting(client.sock))

    def _event(self, client: Client, events: int) -> None:
        if events & WRITE:
            self._flush(client)
        if events & READ and client.reading and client in self.clients:
            self._readable(client)

    def _room(self, client: Client, coming: Body) -> int:
        """Bytes of it that may be read now: a long body is taken no faster than its server takes it."""
        if client.raw:
            return SIZE
        if not (room := coming.available_space()):
            client.pace.set_paused(self.loop.clock(), True)
        return min(SIZE, room)

    def _readable(self, client: Client) -> None:
        coming = client.reader.coming
        if not (room := SIZE if coming is None else self._room(client, coming)):
            self._interest(client)
            return
        buffer, partial = self.pool.take(), client.reader.partial
        fault = 0
        try:
            count = client.sock.recv_into(buffer, room)
            if count and not client.raw:
                client.reader.feed(memoryview(buffer)[:count])
        except BlockingIOError:
            return
        except OSError:
            count = 0
        except Fault as error:
            fault = error.status
        finally:
            self.pool.give(buffer)
        if not count:
            self.close(client)
            return
        if client.shed_by or client.raw:
            client.shed += count
            if fault or client.shed > (LINGER_MOST if client.reader.headed else LINGER_BAD):
                if client.shed_by:
                    self.close(client)
                else:  # one is in hand still: its end is looked for without reading
                    client.reading = False
                    self._interest(client)
                return
        if fault:
            self._fault(client, fault)
            return
        if client.raw:
            return
        reader = client.reader
        if reader.waits_to_continue:
            self._continue(client)
        if client.serial and (not reader.partial or not partial):
            # A message has its time from its first byte, the first one from connecting, however it drips in.
            client.since = self.loop.clock()
            client.pace.begin_message(client.since)
        if reader.partial and reader.headed:
            client.pace.receive_body(self.loop.clock())
        if client.upload is not None and reader.coming is not client.upload:
            self._taken(client)
        if client.busy:
            self._crowd(client)
        else:
            if reader.whole and (self.loop.late or not client.serial) and sockets.waiting(client.sock) == b"":
                self.metrics.add("gone_unheard")  # it waited unread, and its client has left meanwhile
                self.close(client)
                return
            self._next(client)
        if client in self.clients and (reader.whole or reader.coming is not None):
            self._interest(client)

    def _crowd(self, client: Client) -> None:
        """Too many messages wait behind the one in hand: no more of them are read, and these get errors."""
        if len(client.reader.whole) > PIPELINED:
            client.crowded = client.raw = True

    def _continue(self, client: Client) -> None:
        """The body of the next message is asked for, once the one before it has its answer."""
        if not client.out and not client.busy:
            client.reader.waits_to_continue = False
            self._write(client, CONTINUE)

    def _taken(self, client: Client) -> None:
        """The long body of the message in hand is all there."""
        if client.exchange is not None:
            if client.exchange.message.is_body_pending:
                client.exchange.message.is_body_pending = False
                self.ingress.complete_body(client.exchange)
            return
        client.upload = None  # it was let go when its message was answered
        if client.shed_by:
            client.shed_by, client.shed = 0.0, 0
            self.shedding.pop(client, None)
            self._done(client)

    def _fault(self, client: Client, status: int) -> None:
        self.metrics.add("malformed")
        # Where what has an error ends cannot be told any more: it is read on, and lost.
        client.raw, client.keep = True, False
        if client.upload is not None and client.exchange is not None and client.exchange.message.is_body_pending:
            self._give_up(client, status)
        elif client.busy:  # the answer to the message before it goes first, then the connection ends
            client.closing = True
            self._interest(client)
        else:
            client.busy = True
            self._reply(client, status)

    def _give_up(self, client: Client, status: int) -> None:
        """The body of the message in hand will never be whole: nothing has run, and nothing will."""
        exchange, client.exchange = client.exchange, None
        if exchange is not None:
            self.ingress.disconnect(exchange)
        self._reply(client, status)

    def _let_go(self, client: Client) -> None:
        """The one place where the long body of the message in hand is given back."""
        if client.upload is not None:
            client.upload.drop()
            if client.reader.coming is not client.upload:
                client.upload = None

    def _next(self, client: Client) -> None:
        """One message of this connection; the one before it has been answered."""
        if client not in self.clients or client.busy or not client.reader.whole:
            return
        payload, keep = client.reader.whole.popleft()
        if client.reader.whole:
            self._crowd(client)
        client.busy, client.old = True, payload.old
        if (stream := payload.stream) is not None:
            client.upload = stream
            stream.on_space = lambda: self._eased(client)
        client.serial += 1
        self.strangers.pop(client, None)
        client.keep = client.keep and keep
        del self.clients[client]  # used last: now at the end
        self.clients[client] = None
        if payload.method == b"GET" and payload.target == b"/ready":
            self._reply(client, 200 if self.drain.is_ready(self.ready()) else 503)
            return
        serial = client.serial
        try:
            if client.crowded:
                raise MessageError(f"more than {PIPELINED} messages at a time on a connection")
            asked = message(payload)
            if stream is not None:
                asked.is_body_pending, asked.can_resend = stream.is_open, stream.can_restart
            exchange = self.ingress.accept(
                asked, lambda answer: self._answer(client, serial, answer), self.south, self.drain.accepts(self.ready)
            )
        except MessageError as error:
            self.metrics.add("malformed")
            client.keep = bool(client.reader.whole)  # whoever sends the same thing again connects again
            self._reply(client, 400, str(error).encode("ascii", "replace"))
            return
        if exchange is None:
            self._reply(client, 409, b"x-request-id: in hand already")
        elif client.busy and client.serial == serial and not exchange.is_finished:
            client.exchange = exchange
            if payload.expects and stream is not None and stream.is_open and not stream.size:
                self._write(client, CONTINUE)

    def _eased(self, client: Client) -> None:
        """There is room in its long body again, or nobody wants it any more."""
        if client in self.clients:
            client.pace.set_paused(self.loop.clock(), False)
            self._interest(client)

    def _answer(self, client: Client, serial: int, answer: Answer) -> None:
        if not (client in self.clients and client.busy and client.serial == serial):
            if answer.is_streaming:
                answer.payload[0].drop()
            return
        if answer.is_streaming:
            self._flow(client, answer.status, *answer.payload)
            return
        body, headers = answer.payload or (b"", None)
        client.exchange = None
        self._reply(client, answer.status, body, answer.retry_after, headers)

    def _flow(self, client: Client, status: int, body: Body, headers: list[tuple[bytes, bytes]]) -> None:
        """A long answer: its head now, the rest as it comes and as the client takes it."""
        self._let_go(client)
        client.flow, client.chunked = body, body.length < 0 and not client.old
        self.flowing += 1
        framing = b"Content-Length: %d\r\n" % body.length if body.length >= 0 else b""
        if client.chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        client.keep = client.keep and (bool(client.reader.whole) or not self.draining) and bool(framing)
        client.since = self.loop.clock()

        body.begin()
        body.on_change = self.loop.once_a_turn(lambda: self._woken(client, body))
        self._write(client, begin(status, framing, client.keep, 0.0, headers))

    def _woken(self, client: Client, body: Body) -> None:
        if client.flow is body and client in self.clients:
            self._flush(client)

    def _refill(self, client: Client) -> bool:
        """The next slice of a long answer; False where there is none, and the client's connection may be closed."""
        body = client.flow
        assert body is not None
        more = pass_on(body, client.out, client.chunked)
        if body.is_complete:
            self._flowed(client)
        elif not more and body.state is State.ABORTED:
            if not client.chunked and body.length < 0:  # it ends with its connection: only a reset tells that it broke
                sockets.reset(client.sock)
            self.close(client)
        return more

    def _flowed(self, client: Client) -> None:
        """The one place where a long answer is given back."""
        if client.flow is not None:
            body, client.flow, client.exchange = client.flow, None, None
            body.drop()
            self.flowing -= 1

    def _reply(
        self,
        client: Client,
        status: int,
        body: bytes = b"",
        after: float = 0.0,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        unasked = client.upload is not None and client.upload is client.reader.coming and not client.upload.size
        if client.upload is not None:
            self._let_go(client)
        # Refused before its body was asked for: whether that comes all the same cannot be told from a next message.
        # Once no new work is wanted, what has been read and waits behind this one is taken, and answered.
        client.keep = client.keep and (bool(client.reader.whole) or not self.draining) and not unasked
        self._write(client, encode(status, body, client.keep, after, headers))
        if client.out:
            client.since = self.loop.clock()

    def _write(self, client: Client, data: bytes) -> None:
        client.out.append(data)
        self._flush(client)

    def _flush(self, client: Client) -> None:
        try:
            while client.out or client.flow is not None and self._refill(client):
                if sockets.write(client.sock, client.out) and (client.out or client.flow is not None):
                    client.since = self.loop.clock()  # slowly, but it takes
                if client.out:
                    break
        except OSError:
            self.close(client)
        if client not in self.clients:
            return
        if client.busy and client.exchange is None and client.flow is None and not client.out:
            self._done(client)
        else:
            self._interest(client)

    def _done(self, client: Client) -> None:
        """The answer is out whole."""
        if client.shed_by:
            return
        if client.upload is not None and client.reader.coming is client.upload:
            self._shed(client)
            return
        client.upload = None
        client.busy, client.since = False, self.loop.clock()
        if not client.keep or client.closing:
            self._end(client)
        elif client.reader.whole:
            self.loop.call_soon(lambda: self._next(client))
        elif client.raw:
            self._end(client)
        else:
            if client.reader.waits_to_continue:
                self._continue(client)
            self._interest(client)

    def _shed(self, client: Client) -> None:
        """Answered before the end of what it sends: the rest is read and lost, else a reset would take the answer."""
        if not client.keep or client.raw:
            self._end(client)
            return
        self.shedding[client] = None
        client.shed_by = self.loop.clock() + SHED
        self._interest(client)

    def _end(self, client: Client) -> None:
        """The one way in which we end a connection: our side is shut down, and what still comes is read and lost until
        the client ends its own. Nothing that is read after this is sent on: the client asks again elsewhere."""
        if client in self.ended:
            return
        self.ended[client] = None
        self.strangers.pop(client, None)
        self.shedding.pop(client, None)
        client.busy = client.raw = client.reading = True
        client.keep, client.shed = False, 0
        client.shed_by = self.loop.clock() + (LINGER_AT_END if self.drain.is_ending else LINGER)
        sockets.finish(client.sock)
        self._interest(client)
        self._trim()
        if not self._full():
            self._accept_on()

    def _trim(self) -> None:
        """What only waits for its client's end takes no more descriptors than are spare for it."""
        while self.ended and len(self.clients) > self.most + self.lingering:
            self.close(next(iter(self.ended)))

    def _interest(self, client: Client) -> None:
        """Read unless what waits already is all there is room for; write while something waits to be written."""
        reader, wanted = client.reader, WRITE if client.out else 0
        coming = reader.coming
        if client.reading and (
            client.raw
            or client.shed_by
            or not (client.busy and reader.whole and reader.waiting() > WAITING)
            and (coming is None or self._room(client, coming))
        ):
            wanted |= READ
            if self.unread:
                self.unread.pop(client, None)
        else:
            self.unread[client] = None
            if self._looks is None:
                self._looks = self.loop.call_in(LOOK, self._look)
        self.loop.want(client.sock, wanted, lambda events: self._event(client, events))

    def _look(self) -> None:
        """A client whose bytes are not read can be gone all the same: nothing is begun for it then."""
        self._looks = None
        for client in list(self.unread):
            if not client.reading:  # its end may wait behind what has no room here: a little is read, and lost
                self._lose(client)
            if client in self.clients and sockets.left(client.sock):
                self.close(client)
        if self.unread:
            self._looks = self.loop.call_in(LOOK, self._look)

    def _lose(self, client: Client) -> None:
        buffer = self.pool.take()
        try:
            if not client.sock.recv_into(buffer):
                self.close(client)
        except BlockingIOError:
            pass
        except OSError:
            self.close(client)
        finally:
            self.pool.give(buffer)

    def close(self, client: Client) -> None:
        """The one place where a client's connection is given back."""
        if client not in self.clients:
            return
        del self.clients[client]
        for kind in (self.strangers, self.shedding, self.ended, self.unread):
            kind.pop(client, None)
        self.loop.want(client.sock, 0, lambda events: None)
        client.sock.close()
        self.metrics.add("closed")
        if client.exchange is not None:
            exchange, client.exchange = client.exchange, None
            self.ingress.disconnect(exchange)
        self._flowed(client)
        client.reader.close()
        self._let_go(client)
        if not self._full():
            self._accept_on()

    def _sweep(self) -> None:
        """Connections that stand still: half a message, an answer nobody takes, no message for long."""
        now = self.loop.clock()
        untaken = UNTAKEN_AT_END if self.draining else UNTAKEN
        for client in list(self.clients):
            still = now - client.since
            if client.shed_by:
                if now > client.shed_by or not client.raw and client.pace.has_timed_out(now, client.reader.size):
                    self.close(client)
            elif client.out:
                if still > untaken:
                    self.close(client)
            elif not client.busy and client.reader.partial and client.pace.has_timed_out(now, client.reader.size):
                client.busy, client.keep = True, False
                self._reply(client, 408)
            elif (
                client.busy
                and client.exchange is not None
                and client.exchange.message.is_body_pending
                and (client.pace.has_timed_out(now, client.reader.size))
            ):
                client.keep = False
                self._give_up(client, 408)
            elif (
                not client.busy
                and not client.reader.partial
                and not self._spoke(client)
                and (self.draining or still > (IDLE if client.serial else SILENT))
            ):
                self._end(client)
        if self.listener is not None or self.clients:
            self.loop.call_in(SWEEP, self._sweep)

    def stop_listening(self) -> None:
        """What has reached the backlog is taken in first."""
        self.accept(4096, at_end=True)
        self._accept_off()
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def stop(self) -> None:
        if self.listener is not None:
            self._accept_off()
            self.listener.close()
            self.listener = None
        for client in list(self.clients):
            self.close(client)

    def close_unused(self) -> None:
        for client in list(self.clients):
            if not client.busy and not client.reader.partial and not client.out and not self._spoke(client):
                self._end(client)

    def give_up_halves(self) -> None:
        """What is not whole by now could not be answered any more before the process is killed."""
        for client in list(self.clients):
            if not client.busy and client.reader.partial and self._spoke(client):
                self._readable(client)  # its end may be here already
            if client in self.clients and not client.busy and client.reader.partial:
                client.busy, client.keep = True, False
                self._reply(client, 408)
