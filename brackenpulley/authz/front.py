"""The second front: answers external authorisation's Check calls out of the same core, with the same module."""

from __future__ import annotations

import socket
from collections.abc import Callable

import h2.errors
import h2.events

from ..address import Address
from ..core.exchange import Answer, Exchange, RelayResult
from ..core.ingress import Ingress
from ..core.message import SECONDS_PER_UNIT, Message, MessageError
from ..metrics import Metrics
from ..net import sockets
from ..net.inventory import Inventory
from ..net.loop import READ, Loop, Timer
from ..net.pool import Pool
from . import http2
from .convert import CHECK, message_of, response_of
from .http2 import FramingError, Headers, Http2, status_headers, text_of

PEERS = 32  # connections at once
BUFFERED = 16 << 20  # bytes of messages not yet whole, over all connections
UNTIMED = 10.0  # s that a call without a deadline may take to come in and to be answered
NO_ERROR, REFUSED = h2.errors.ErrorCodes.NO_ERROR, h2.errors.ErrorCodes.REFUSED_STREAM
RESPONSE: Headers = [(":status", "200"), ("content-type", "application/grpc")]


def timeout(text: str | None) -> float:
    """grpc-timeout in seconds. Raises MessageError."""
    if text is None:
        return UNTIMED
    digits, unit = text[:-1], text[-1:]
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 8 and unit in SECONDS_PER_UNIT):
        raise MessageError(f"grpc-timeout: {text[:20]!r} is no time")
    return float(int(digits) * SECONDS_PER_UNIT[unit])


class Grant:
    """The south side of this front: the chosen endpoint is named, and whoever asked sends to it."""

    def __init__(self, inventory: Inventory) -> None:
        self.inventory = inventory

    def start(
        self,
        message: Message,
        server: str,
        left: float,
        done: Callable[[RelayResult], None],
        began: Callable[[RelayResult], None],
    ) -> Grant:
        # The answer is written now, so this is where the list counts: what drains by now is not named any more.
        done(RelayResult("granted" if self.inventory.is_usable(server) else "connect_failed"))
        return self

    def drop(self) -> bool:
        return False  # its end is reported before start returns

    def recall(self) -> bool:
        return False


class Call:
    """One stream, from its headers until its answer is out."""

    __slots__ = ("id", "data", "until", "timer", "exchange", "answered", "whole")

    def __init__(self, ident: int, until: float) -> None:
        self.id, self.until = ident, until
        self.data = bytearray()
        self.timer: Timer | None = None
        self.exchange: Exchange | None = None
        self.answered = self.whole = False


class Peer:
    """A connection of an asker, and its calls."""

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front, self.calls = front, dict[int, Call]()
        self.last = 0  # highest stream taken in
        self.refusing = False
        self.wire = Http2(front.loop, front.pool, sock, False, front.streams, self._heard, self._ended)

    def _heard(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.RequestReceived):
            self._begin(event.stream_id, text_of(event.headers))
        elif isinstance(event, h2.events.DataReceived):
            if call := self.calls.get(event.stream_id):
                self._more(call, event.data)
        elif isinstance(event, h2.events.StreamEnded):
            if (call := self.calls.get(event.stream_id)) and not call.answered:
                call.whole = True
                self._take(call)
        elif isinstance(event, h2.events.StreamReset):
            if call := self.calls.get(event.stream_id):
                self.front.metrics.add("check_cancelled")
                self._forget(call)
        elif isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
            for call in [c for c in self.calls.values() if c.answered and not self.wire.blocked(c.id)]:
                self._forget(call)

    def _begin(self, stream: int, headers: dict[str, str]) -> None:
        if self.refusing or len(self.calls) >= self.front.streams:
            self.wire.reset(stream, REFUSED)  # not processed: the asker may ask elsewhere
            return
        self.last = max(self.last, stream)
        self.front.metrics.add("checks")
        call = self.calls[stream] = Call(stream, 0.0)
        if not headers.get("content-type", "").startswith("application/grpc") or headers.get(":method") != "POST":
            self.wire.send(stream, [(":status", "415")])
            self._answered(call)
            return
        if headers.get(":path") != CHECK:
            self._error(call, http2.UNIMPLEMENTED, f"no method {headers.get(':path', '')[:100]}")
            return
        try:
            left = timeout(headers.get("grpc-timeout"))
        except MessageError as error:
            self._error(call, http2.INVALID_ARGUMENT, str(error))
            return
        call.until = self.front.loop.clock() + left
        call.timer = self.front.loop.call_at(call.until, lambda: self._late(call))

    def _more(self, call: Call, data: bytes) -> None:
        if call.answered:
            return
        call.data += data
        self.front.buffered += len(data)
        if len(call.data) > http2.MESSAGE or self.front.buffered > BUFFERED:
            self._error(call, http2.RESOURCE_EXHAUSTED, "the message is too large")

    def _take(self, call: Call) -> None:
        try:
            left = max(0.0, call.until - self.front.loop.clock())
            message = message_of(http2.unframe(bytes(call.data)), left)
            exchange = self.front.ingress.accept(message, lambda answer: self._answer(call, answer), self.front.grant)
        except FramingError as error:
            self._error(call, error.status, str(error))
            return
        except MessageError as error:
            self.front.metrics.add("malformed")
            self._error(call, http2.INVALID_ARGUMENT, str(error))
            return
        if exchange is None:
            self._error(call, http2.ALREADY_EXISTS, "x-request-id: in hand already")
        elif not exchange.is_finished:
            call.exchange = exchange

    def _answer(self, call: Call, answer: Answer) -> None:
        call.exchange = None
        if self.calls.get(call.id) is not call or call.answered:
            return
        at = self.front.inventory.find_address(answer.server) if answer.server else None
        host = f"[{at[0]}]" if at and ":" in at[0] else at[0] if at else ""
        data = response_of(answer, f"{host}:{at[1]}" if at else "", self.front.header)
        call.answered = True  # before it is written: a failing write must not answer a second time
        self.wire.send(call.id, RESPONSE, data, [("grpc-status", "0")])
        self._answered(call)

    def _error(self, call: Call, status: int, text: str) -> None:
        call.answered = True
        self.front.metrics.add("check_errors")
        self.wire.send(call.id, RESPONSE + status_headers(status, text))
        self._answered(call)

    def _answered(self, call: Call) -> None:
        call.answered = True
        if not call.whole:
            self.wire.reset(call.id, NO_ERROR)  # the rest of what it sends is not wanted
        if not self.wire.blocked(call.id):
            self._forget(call)

    def _late(self, call: Call) -> None:
        """The asker's deadline: not whole yet, or its answer cannot be written for want of a window."""
        if not call.answered:
            self._error(call, http2.DEADLINE_EXCEEDED, "no answer in time")
        else:
            self.wire.reset(call.id, h2.errors.ErrorCodes.CANCEL)
        self._forget(call)

    def _forget(self, call: Call) -> None:
        """The one place where a call is given back."""
        if self.calls.pop(call.id, None) is None:
            return
        self.front.buffered -= len(call.data)
        if call.timer is not None:
            call.timer.cancel()
        if call.exchange is not None:
            exchange, call.exchange = call.exchange, None
            self.front.ingress.disconnect(exchange)
        if self.refusing and not self.calls:
            self.front.loop.call_soon(self.finish)

    def drain(self) -> None:
        """What is held is finished; what comes from now on is told that it was not processed."""
        self.refusing = True
        self.wire.go_away(self.last)
        self.finish()

    def finish(self) -> None:
        if not self.calls and not self.wire.closed and self.wire.idle:
            self.wire.close()

    def _ended(self) -> None:
        for call in list(self.calls.values()):
            self._forget(call)
        self.front.gone(self)


class Front:
    """Owns the listener and the askers' connections."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        ingress: Ingress,
        inventory: Inventory,
        metrics: Metrics,
        header: str,
        streams: int,
    ) -> None:
        self.loop, self.pool, self.ingress, self.inventory, self.metrics = loop, pool, ingress, inventory, metrics
        self.header, self.streams, self.grant = header, streams, Grant(inventory)
        self.peers: set[Peer] = set()
        self.buffered = 0
        self.listener: socket.socket | None = None

    def listen(self, at: Address) -> Address:
        self.listener = sock = sockets.listen(at, 128)
        self.loop.register(sock, READ, self._acceptable)
        bound = sock.getsockname()
        return bound[0], bound[1]

    def _acceptable(self, events: int) -> None:
        assert self.listener is not None
        try:
            sock = sockets.accept(self.listener)
        except OSError as error:
            if sockets.is_out_of_descriptors(error):
                self.metrics.add("out_of_descriptors")
                self._pause(0.1)
            return
        if len(self.peers) >= PEERS:
            sock.close()
            return
        self.peers.add(Peer(self, sock))

    def _pause(self, seconds: float) -> None:
        def again() -> None:
            if self.listener is not None:
                self.loop.set_interest(self.listener, READ, self._acceptable)

        assert self.listener is not None
        self.loop.set_interest(self.listener, 0, self._acceptable)
        self.loop.call_in(seconds, again)

    def gone(self, peer: Peer) -> None:
        self.peers.discard(peer)

    def drain(self) -> None:
        """New connections are no longer taken, and every asker is told to go elsewhere."""
        self._stop_listening()
        for peer in list(self.peers):
            peer.drain()

    def _stop_listening(self) -> None:
        if self.listener is not None:
            self.loop.set_interest(self.listener, 0, self._acceptable)
            self.listener.close()
            self.listener = None

    def stop(self) -> None:
        self._stop_listening()
        for peer in list(self.peers):
            peer.wire.close()
