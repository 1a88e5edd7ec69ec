"""The client of an authoriser: one connection, one call a message, never more than one verdict each."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable

import h2.errors
import h2.events
import h2.exceptions

from ..address import Address
from ..core.exchange import Verdict
from ..core.message import Message
from ..metrics import Metrics
from ..net import sockets
from ..net.loop import Loop, Timer
from ..net.pool import Pool
from . import http2
from .convert import CHECK, request_of, verdict_of
from .http2 import FramingError, Http2, text_of

WAITING = 512  # calls that wait for a connection or a stream; further ones get no verdict
AGAIN = 0.1  # s between connects that fail
UNKNOWN = Verdict("unknown")


class Ask:
    """One call. `drop` gives it up: its stream is reset, and what still comes for it is not heard."""

    __slots__ = ("client", "data", "until", "done", "wire", "stream", "reply", "timer", "again", "status", "sent")

    def __init__(self, client: AuthorisationClient, data: bytes, until: float, done: Callable[[Verdict], None]) -> None:
        self.client, self.data, self.until = client, data, until
        self.done: Callable[[Verdict], None] | None = done
        self.wire: Link | None = None
        self.stream = 0
        self.reply = bytearray()
        self.timer: Timer | None = None
        self.again = False  # it was turned away unprocessed once and is asked a second time
        self.status = ""
        self.sent = 0.0

    def drop(self) -> None:
        self.done = None
        self.client.release(self)


class Link:
    """A connection to the authoriser. One that is going away finishes what it holds and takes nothing new."""

    def __init__(self, client: AuthorisationClient, sock: socket.socket) -> None:
        self.client, self.asks = client, dict[int, Ask]()
        self.going = False
        self.wire = Http2(client.loop, client.pool, sock, True, 1, self._heard, self._ended, self._going)

    @property
    def room(self) -> bool:
        wire = self.wire.h2
        return (
            not self.going
            and not self.wire.closed
            and wire.highest_outbound_stream_id < http2.LAST - 2
            and wire.open_outbound_streams < wire.remote_settings.max_concurrent_streams
        )

    def send(self, ask: Ask) -> None:
        ask.wire, ask.stream = self, self.wire.h2.get_next_available_stream_id()
        ask.sent = self.client.loop.clock()
        ask.reply.clear()
        self.asks[ask.stream] = ask
        left = max(1, int(1000 * (ask.until - self.client.loop.clock())))
        self.wire.send(
            ask.stream,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", CHECK),
                (":authority", self.client.authority),
                ("te", "trailers"),
                ("content-type", "application/grpc"),
                ("grpc-timeout", f"{left}m"),
            ],
            ask.data,
        )

    def _heard(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.RemoteSettingsChanged):
            self.client.push()
            return
        ask = self.asks.get(getattr(event, "stream_id", 0) or 0)
        if ask is None:  # a late reply to a call given up on
            return
        if isinstance(event, h2.events.ResponseReceived | h2.events.TrailersReceived):
            headers = text_of(event.headers)
            ask.status = headers.get("grpc-status", ask.status)
            if headers.get(":status", "200") != "200":
                self.client.end(ask, UNKNOWN)
        elif isinstance(event, h2.events.DataReceived):
            ask.reply += event.data
            if len(ask.reply) > http2.MESSAGE:
                self.client.end(ask, UNKNOWN)
        elif isinstance(event, h2.events.StreamEnded):
            verdict = None
            if ask.status == "0":
                try:
                    verdict = verdict_of(http2.unframe(bytes(ask.reply)))
                except FramingError:
                    pass
            self._over(ask, verdict or UNKNOWN)
        elif isinstance(event, h2.events.StreamReset):
            if event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM:
                self.client.unprocessed(ask)
            else:
                self._over(ask, UNKNOWN)

    def _over(self, ask: Ask, verdict: Verdict) -> None:
        """The stream has ended by itself: there is nothing to reset."""
        self.client.detach(ask)
        self.client.end(ask, verdict)

    def _going(self, last: int) -> None:
        """Calls after the last one that it names were never looked at."""
        self.going = True
        for stream in [s for s in self.asks if s > last]:
            self.client.unprocessed(self.asks[stream])
        self.spent()

    def spent(self) -> None:
        if self.going and not self.asks:
            self.client.loop.call_soon(self.wire.close)

    def _ended(self) -> None:
        self.client.lost(self)
        for ask in list(self.asks.values()):
            self.client.end(ask, UNKNOWN)


class AuthorisationClient:
    """Owns its links and every call from `ask` to its end."""

    def __init__(self, loop: Loop, pool: Pool, at: Address, timeout: float, metrics: Metrics) -> None:
        self.loop, self.pool, self.at, self.timeout, self.metrics = loop, pool, at, timeout, metrics
        self.authority = f"[{at[0]}]:{at[1]}" if ":" in at[0] else f"{at[0]}:{at[1]}"
        self.link: Link | None = None
        self.links: set[Link] = set()
        self._waiting: deque[Ask] = deque()
        self._failed = -1e9
        self._stopped = False

    def ask(self, message: Message, left: float, done: Callable[[Verdict], None]) -> Ask:
        now = self.loop.clock()
        ask = Ask(self, request_of(message), now + min(left, self.timeout), done)
        self.metrics.add("asks")
        ask.timer = self.loop.call_at(ask.until, lambda: self._stalled(ask))
        if len(self._waiting) >= WAITING:
            self.loop.call_soon(lambda: self.end(ask, UNKNOWN))
            return ask
        self._waiting.append(ask)
        self.loop.call_soon(self.push)
        return ask

    def push(self) -> None:
        """Send what waits, as far as the connection has streams."""
        while self._waiting:
            if self.link is None or self.link.going:
                if not self._connect():
                    return
            assert self.link is not None
            if not self.link.room:
                return
            self.link.send(self._waiting.popleft())

    def _connect(self) -> bool:
        if self._stopped or self.loop.clock() - self._failed < AGAIN:
            # Unreachable a moment ago: no verdict now is better than one more wait in vain.
            for ask in list(self._waiting):
                self.end(ask, UNKNOWN)
            return False
        try:
            sock = sockets.connect(self.at)
        except OSError as error:
            self.metrics.add("out_of_descriptors" if sockets.is_out_of_descriptors(error) else "authoriser_lost")
            self._failed = self.loop.clock()
            return self._connect()
        self.link = Link(self, sock)
        self.links.add(self.link)
        return True

    def lost(self, link: Link) -> None:
        self.links.discard(link)
        if self.link is link:
            self.link = None
            if not link.going:
                self._failed = self.loop.clock()
                self.metrics.add("authoriser_lost")
        if self._waiting:
            self.loop.call_soon(self.push)

    def unprocessed(self, ask: Ask) -> None:
        """The authoriser says that it never looked at the call: asked once more, on a connection that takes calls."""
        if ask.again or self._stopped:
            self.end(ask, UNKNOWN)
            return
        ask.again = True
        self.detach(ask)
        self._waiting.append(ask)
        self.loop.call_soon(self.push)

    def _stalled(self, ask: Ask) -> None:
        self.metrics.add("authoriser_stalled")
        link = ask.wire
        if link is not None and link.wire.heard_at <= ask.sent:
            # Not a word since the call was written: the machine may be gone without saying so, and a connection to it
            # would swallow every further call. What is out on it may still be answered; new calls open another.
            link.going = True
        self.end(ask, UNKNOWN)

    def end(self, ask: Ask, verdict: Verdict) -> None:
        done, ask.done = ask.done, None
        self.release(ask)
        if done is not None:
            done(verdict)

    def release(self, ask: Ask) -> None:
        """The one place where a call is given back; one that is still out is reset."""
        if ask.timer is not None:
            ask.timer.cancel()
        if ask in self._waiting:
            self._waiting.remove(ask)
        link = ask.wire
        if link is not None:
            stream = ask.stream
            self.detach(ask)
            link.wire.reset(stream, h2.errors.ErrorCodes.CANCEL)

    def detach(self, ask: Ask) -> None:
        if ask.wire is not None:
            link, ask.wire = ask.wire, None
            link.asks.pop(ask.stream, None)
            link.spent()
            if self._waiting:
                self.loop.call_soon(self.push)

    def stop(self) -> None:
        self._stopped = True
        for link in list(self.links):
            link.wire.close()
