"""The server of the external authorisation API: answers Check calls with the endpoint of a chosen sim server.

Messages that arrive over HTTP/1.1 and over Check calls share one ingress and one decision module.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

import h2.errors
import h2.events

from ..address import Address
from ..core.answer_progress import AnswerProgress
from ..core.exchange import Answer, Exchange, RelayResult
from ..core.ingress import Ingress
from ..core.message import SECONDS_PER_UNIT, Message, MessageError
from ..metrics import Metrics
from ..net import sockets
from ..net.inventory import Inventory
from ..net.loop import READ, Loop, Timer
from ..net.pool import Pool
from . import http2
from .convert import CHECK_PATH, decode_check_request, encode_check_response
from .http2 import FramingError, Headers, Http2Connection, build_status_headers, decode_headers

MAX_CONNECTIONS = 32  # open at the same time
MAX_BUFFERED_BYTES = 16 << 20  # received for all calls that are open, over all connections
DEFAULT_TIMEOUT_SECONDS = 10.0  # for a call without a deadline, to be received and answered
NO_ERROR, REFUSED_STREAM = h2.errors.ErrorCodes.NO_ERROR, h2.errors.ErrorCodes.REFUSED_STREAM
RESPONSE_HEADERS: Headers = [(":status", "200"), ("content-type", "application/grpc")]


def parse_timeout(text: str | None) -> float:
    """Return the value of a grpc-timeout header in seconds. Raises MessageError."""
    if text is None:
        return DEFAULT_TIMEOUT_SECONDS
    digits, unit = text[:-1], text[-1:]
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 8 and unit in SECONDS_PER_UNIT):
        raise MessageError(f"grpc-timeout: {text[:20]!r} is no time")
    return float(int(digits) * SECONDS_PER_UNIT[unit])


class GrantingSouth:
    """The south side for Check calls: it relays nothing, as the caller itself sends to the chosen endpoint."""

    def __init__(self, inventory: Inventory) -> None:
        self.inventory = inventory

    def start(
        self,
        message: Message,
        server: str,
        timeout: float,
        on_done: Callable[[RelayResult], None],
        on_streaming: Callable[[RelayResult], None],
        on_begun: Callable[[], None],
    ) -> GrantingSouth:
        """Report the server as granted, or the relay as failed if the server is no longer usable."""
        # The answer is sent now, so the inventory is checked now: a server that has begun to drain is not granted.
        on_done(RelayResult("granted" if self.inventory.is_usable(server) else "connect_failed"))
        return self

    def drop(self) -> bool:
        """Return False: there is nothing to abort."""
        return False  # `start` reports the result before it returns

    def recall(self) -> bool:
        """Return False: there is nothing to take back."""
        return False

    def stream_now(self) -> bool:
        """Return False: no answer comes through here."""
        return False

    def answer_progress(self) -> AnswerProgress:
        """Return no progress: no answer comes through here."""
        return AnswerProgress()


class Call:
    """A Check call, from the headers of its stream until its answer is sent."""

    __slots__ = ("stream_id", "data", "deadline", "timer", "exchange", "is_answered", "is_complete")

    def __init__(self, stream_id: int, deadline: float) -> None:
        self.stream_id, self.deadline = stream_id, deadline
        self.data = bytearray()
        self.timer: Timer | None = None
        self.exchange: Exchange | None = None
        self.is_answered = self.is_complete = False


class CheckConnection:
    """A connection of a client of the API, and its calls."""

    def __init__(self, front: Front, sock: socket.socket) -> None:
        self.front, self.calls = front, dict[int, Call]()
        self.last_stream_id = 0  # the highest that was accepted
        self.is_draining = False
        self.transport = Http2Connection(
            front.loop, front.pool, sock, False, front.max_streams, self._on_event, self._on_closed
        )

    def _on_event(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.RequestReceived):
            self._start_call(event.stream_id, decode_headers(event.headers))
        elif isinstance(event, h2.events.DataReceived):
            if call := self.calls.get(event.stream_id):
                self._add_data(call, event.data)
        elif isinstance(event, h2.events.StreamEnded):
            if (call := self.calls.get(event.stream_id)) and not call.is_answered:
                call.is_complete = True
                self._accept_message(call)
        elif isinstance(event, h2.events.StreamReset):
            if call := self.calls.get(event.stream_id):
                self.front.metrics.add("check_cancelled")
                self._release(call)
        elif isinstance(event, h2.events.WindowUpdated | h2.events.RemoteSettingsChanged):
            for call in [
                c for c in self.calls.values() if c.is_answered and not self.transport.is_blocked(c.stream_id)
            ]:
                self._release(call)

    def _start_call(self, stream_id: int, headers: dict[str, str]) -> None:
        if self.is_draining or len(self.calls) >= self.front.max_streams:
            self.transport.reset(stream_id, REFUSED_STREAM)  # not processed: the client may retry elsewhere
            return
        self.last_stream_id = max(self.last_stream_id, stream_id)
        self.front.metrics.add("checks")
        call = self.calls[stream_id] = Call(stream_id, 0.0)
        if not headers.get("content-type", "").startswith("application/grpc") or headers.get(":method") != "POST":
            self.transport.send(stream_id, [(":status", "415")])
            self._finish_response(call)
            return
        if headers.get(":path") != CHECK_PATH:
            self._send_error(call, http2.UNIMPLEMENTED, f"no method {headers.get(':path', '')[:100]}")
            return
        try:
            timeout = parse_timeout(headers.get("grpc-timeout"))
        except MessageError as error:
            self._send_error(call, http2.INVALID_ARGUMENT, str(error))
            return
        call.deadline = self.front.loop.clock() + timeout
        call.timer = self.front.loop.call_at(call.deadline, lambda: self._on_deadline(call))

    def _add_data(self, call: Call, data: bytes) -> None:
        if call.is_answered:
            return
        call.data += data
        self.front.buffered_bytes += len(data)
        if len(call.data) > http2.MAX_MESSAGE_BYTES or self.front.buffered_bytes > MAX_BUFFERED_BYTES:
            self._send_error(call, http2.RESOURCE_EXHAUSTED, "the message is too large")

    def _accept_message(self, call: Call) -> None:
        try:
            timeout = max(0.0, call.deadline - self.front.loop.clock())
            message = decode_check_request(http2.unframe_message(bytes(call.data)), timeout)
            exchange = self.front.ingress.accept(
                message, lambda answer: self._send_answer(call, answer), self.front.south
            )
        except FramingError as error:
            self._send_error(call, error.status, str(error))
            return
        except MessageError as error:
            self.front.metrics.add("malformed")
            self._send_error(call, http2.INVALID_ARGUMENT, str(error))
            return
        if exchange is None:
            self._send_error(call, http2.ALREADY_EXISTS, "x-request-id: in hand already")
        elif not exchange.is_finished:
            call.exchange = exchange

    def _send_answer(self, call: Call, answer: Answer) -> None:
        call.exchange = None
        if self.calls.get(call.stream_id) is not call or call.is_answered:
            return
        address = self.front.inventory.find_address(answer.server) if answer.server else None
        host = f"[{address[0]}]" if address and ":" in address[0] else address[0] if address else ""
        data = encode_check_response(answer, f"{host}:{address[1]}" if address else "", self.front.endpoint_header)
        call.is_answered = True  # set before the write: if it fails, no second answer may follow
        self.transport.send(call.stream_id, RESPONSE_HEADERS, data, [("grpc-status", "0")])
        self._finish_response(call)

    def _send_error(self, call: Call, status: int, text: str) -> None:
        call.is_answered = True
        self.front.metrics.add("check_errors")
        self.transport.send(call.stream_id, RESPONSE_HEADERS + build_status_headers(status, text))
        self._finish_response(call)

    def _finish_response(self, call: Call) -> None:
        call.is_answered = True
        if not call.is_complete:
            self.transport.reset(call.stream_id, NO_ERROR)  # the rest of the request is not needed
        if not self.transport.is_blocked(call.stream_id):
            self._release(call)

    def _on_deadline(self, call: Call) -> None:
        """End a call at its deadline: it is not answered yet, or flow control blocks its answer."""
        if not call.is_answered:
            self._send_error(call, http2.DEADLINE_EXCEEDED, "no answer in time")
        else:
            self.transport.reset(call.stream_id, h2.errors.ErrorCodes.CANCEL)
        self._release(call)

    def _release(self, call: Call) -> None:
        """Release what a call holds. Every call ends here."""
        if self.calls.pop(call.stream_id, None) is None:
            return
        self.front.buffered_bytes -= len(call.data)
        if call.timer is not None:
            call.timer.cancel()
        if call.exchange is not None:
            exchange, call.exchange = call.exchange, None
            self.front.ingress.disconnect(exchange)
        if self.is_draining and not self.calls:
            self.front.loop.call_soon(self.close_if_idle)

    def drain(self) -> None:
        """Complete the open calls, and refuse new ones as not processed."""
        self.is_draining = True
        self.transport.go_away(self.last_stream_id)
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection if it has no calls and nothing left to write."""
        if not self.calls and not self.transport.is_closed and self.transport.is_idle:
            self.transport.close()

    def _on_closed(self) -> None:
        for call in list(self.calls.values()):
            self._release(call)
        self.front.remove_connection(self)


class Front:
    """Owns the listener and the connections of the server of the external authorisation API."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        ingress: Ingress,
        inventory: Inventory,
        metrics: Metrics,
        endpoint_header: str,
        max_streams: int,
    ) -> None:
        self.loop, self.pool, self.ingress, self.inventory, self.metrics = loop, pool, ingress, inventory, metrics
        self.endpoint_header, self.max_streams, self.south = endpoint_header, max_streams, GrantingSouth(inventory)
        self.connections: set[CheckConnection] = set()
        self.buffered_bytes = 0
        self.listener: socket.socket | None = None

    def listen(self, address: Address) -> Address:
        """Listen on an address and return the one that was bound. Raises OSError."""
        self.listener = sock = sockets.listen(address, 128)
        self.loop.register(sock, READ, self._on_acceptable)
        bound = sock.getsockname()
        return bound[0], bound[1]

    def _on_acceptable(self, events: int) -> None:
        assert self.listener is not None
        try:
            sock = sockets.accept(self.listener)
        except OSError as error:
            if sockets.is_out_of_descriptors(error):
                self.metrics.add("out_of_descriptors")
                self._pause_accepting(0.1)
            return
        if len(self.connections) >= MAX_CONNECTIONS:
            sock.close()
            return
        self.connections.add(CheckConnection(self, sock))

    def _pause_accepting(self, seconds: float) -> None:
        def resume() -> None:
            if self.listener is not None:
                self.loop.set_interest(self.listener, READ, self._on_acceptable)

        assert self.listener is not None
        self.loop.set_interest(self.listener, 0, self._on_acceptable)
        self.loop.call_in(seconds, resume)

    def remove_connection(self, connection: CheckConnection) -> None:
        """Forget a closed connection."""
        self.connections.discard(connection)

    def drain(self) -> None:
        """Stop listening, and send every client a GOAWAY."""
        self._stop_listening()
        for connection in list(self.connections):
            connection.drain()

    def _stop_listening(self) -> None:
        if self.listener is not None:
            self.loop.set_interest(self.listener, 0, self._on_acceptable)
            self.listener.close()
            self.listener = None

    def stop(self) -> None:
        """Stop listening and close all connections at once."""
        self._stop_listening()
        for connection in list(self.connections):
            connection.transport.close()
