"""The client of an external authorisation service (authoriser).

It makes one Check call for each message, over one HTTP/2 connection, and returns exactly one verdict unless the call
is dropped. The ingress uses it.
"""

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
from .convert import CHECK_PATH, decode_check_response, encode_check_request
from .http2 import FramingError, Http2Connection, decode_headers

MAX_PENDING_CALLS = 512  # waiting for a connection or a stream; further calls get the verdict "unknown"
RECONNECT_DELAY_SECONDS = 0.1  # between a failed connection and the next attempt to connect
UNKNOWN_VERDICT = Verdict("unknown")


class CheckCall:
    """One Check call."""

    __slots__ = (
        "client",
        "request",
        "deadline",
        "on_done",
        "connection",
        "stream_id",
        "response",
        "timer",
        "is_retry",
        "grpc_status",
        "sent_at",
    )

    def __init__(
        self, client: AuthorisationClient, request: bytes, deadline: float, on_done: Callable[[Verdict], None]
    ) -> None:
        self.client, self.request, self.deadline = client, request, deadline
        self.on_done: Callable[[Verdict], None] | None = on_done
        self.connection: AuthoriserConnection | None = None
        self.stream_id = 0
        self.response = bytearray()
        self.timer: Timer | None = None
        self.is_retry = False  # the authoriser refused it unprocessed once, and it is sent a second time
        self.grpc_status = ""
        self.sent_at = 0.0

    def drop(self) -> None:
        """Give up the call: its stream is reset, and a late response is ignored."""
        self.on_done = None
        self.client.release(self)


class AuthoriserConnection:
    """A connection to the authoriser. Once it is going away, it completes its calls and accepts no new ones."""

    def __init__(self, client: AuthorisationClient, sock: socket.socket) -> None:
        self.client, self.calls = client, dict[int, CheckCall]()
        self.is_going_away = False
        self.transport = Http2Connection(
            client.loop, client.pool, sock, True, 1, self._on_event, self._on_closed, self._on_goaway
        )

    @property
    def has_capacity(self) -> bool:
        """Whether the connection can open another stream."""
        protocol = self.transport.protocol
        return (
            not self.is_going_away
            and not self.transport.is_closed
            and protocol.highest_outbound_stream_id < http2.MAX_STREAM_ID - 2
            and protocol.open_outbound_streams < protocol.remote_settings.max_concurrent_streams
        )

    def send(self, call: CheckCall) -> None:
        """Send a call on a new stream."""
        call.connection, call.stream_id = self, self.transport.protocol.get_next_available_stream_id()
        call.sent_at = self.client.loop.clock()
        call.response.clear()
        self.calls[call.stream_id] = call
        timeout_ms = max(1, int(1000 * (call.deadline - self.client.loop.clock())))
        self.transport.send(
            call.stream_id,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", CHECK_PATH),
                (":authority", self.client.authority),
                ("te", "trailers"),
                ("content-type", "application/grpc"),
                ("grpc-timeout", f"{timeout_ms}m"),
            ],
            call.request,
        )

    def _on_event(self, event: h2.events.Event) -> None:
        if isinstance(event, h2.events.RemoteSettingsChanged):
            self.client.send_pending()
            return
        call = self.calls.get(getattr(event, "stream_id", 0) or 0)
        if call is None:  # a late response to a call that was given up
            return
        if isinstance(event, h2.events.ResponseReceived | h2.events.TrailersReceived):
            headers = decode_headers(event.headers)
            call.grpc_status = headers.get("grpc-status", call.grpc_status)
            if headers.get(":status", "200") != "200":
                self.client.finish(call, UNKNOWN_VERDICT)
        elif isinstance(event, h2.events.DataReceived):
            call.response += event.data
            if len(call.response) > http2.MAX_MESSAGE_BYTES:
                self.client.finish(call, UNKNOWN_VERDICT)
        elif isinstance(event, h2.events.StreamEnded):
            verdict = None
            if call.grpc_status == "0":
                try:
                    verdict = decode_check_response(http2.unframe_message(bytes(call.response)))
                except FramingError:
                    pass
            self._finish(call, verdict or UNKNOWN_VERDICT)
        elif isinstance(event, h2.events.StreamReset):
            if event.error_code == h2.errors.ErrorCodes.REFUSED_STREAM:
                self.client.retry_unprocessed(call)
            else:
                self._finish(call, UNKNOWN_VERDICT)

    def _finish(self, call: CheckCall, verdict: Verdict) -> None:
        """Finish a call whose stream has ended, so that it is not reset."""
        self.client.detach(call)
        self.client.finish(call, verdict)

    def _on_goaway(self, last_stream_id: int) -> None:
        """Retry the calls on streams after the last one that the GOAWAY names, as they were not processed."""
        self.is_going_away = True
        for stream_id in [s for s in self.calls if s > last_stream_id]:
            self.client.retry_unprocessed(self.calls[stream_id])
        self.close_if_drained()

    def close_if_drained(self) -> None:
        """Close a connection that is going away and has no calls left."""
        if self.is_going_away and not self.calls:
            self.client.loop.call_soon(self.transport.close)

    def _on_closed(self) -> None:
        self.client.on_connection_closed(self)
        for call in list(self.calls.values()):
            self.client.finish(call, UNKNOWN_VERDICT)


class AuthorisationClient:
    """Asks an authoriser about messages; owns the connections and every call until its verdict.

    `timeout` is the longest that a verdict may take, in seconds.
    """

    def __init__(self, loop: Loop, pool: Pool, address: Address, timeout: float, metrics: Metrics) -> None:
        self.loop, self.pool, self.address, self.timeout, self.metrics = loop, pool, address, timeout, metrics
        self.authority = f"[{address[0]}]:{address[1]}" if ":" in address[0] else f"{address[0]}:{address[1]}"
        self.connection: AuthoriserConnection | None = None
        self.connections: set[AuthoriserConnection] = set()
        self._pending: deque[CheckCall] = deque()
        self._failed_at = -1e9
        self._is_stopped = False

    def ask(self, message: Message, timeout: float, on_done: Callable[[Verdict], None]) -> CheckCall:
        """Ask about a message; `on_done` receives the verdict within `timeout` seconds."""
        now = self.loop.clock()
        call = CheckCall(self, encode_check_request(message), now + min(timeout, self.timeout), on_done)
        self.metrics.add("asks")
        call.timer = self.loop.call_at(call.deadline, lambda: self._on_timeout(call))
        if len(self._pending) >= MAX_PENDING_CALLS:
            self.loop.call_soon(lambda: self.finish(call, UNKNOWN_VERDICT))
            return call
        self._pending.append(call)
        self.loop.call_soon(self.send_pending)
        return call

    def send_pending(self) -> None:
        """Send pending calls, as far as the connection has streams."""
        while self._pending:
            if self.connection is None or self.connection.is_going_away:
                if not self._connect():
                    return
            assert self.connection is not None
            if not self.connection.has_capacity:
                return
            self.connection.send(self._pending.popleft())

    def _connect(self) -> bool:
        if self._is_stopped or self.loop.clock() - self._failed_at < RECONNECT_DELAY_SECONDS:
            # The authoriser was unreachable a moment ago: fail now, as waiting for another connect would be in vain.
            for call in list(self._pending):
                self.finish(call, UNKNOWN_VERDICT)
            return False
        try:
            sock = sockets.connect(self.address)
        except OSError as error:
            self.metrics.add("out_of_descriptors" if sockets.is_out_of_descriptors(error) else "authoriser_lost")
            self._failed_at = self.loop.clock()
            return self._connect()
        self.connection = AuthoriserConnection(self, sock)
        self.connections.add(self.connection)
        return True

    def on_connection_closed(self, connection: AuthoriserConnection) -> None:
        """Forget a closed connection, and send pending calls on another."""
        self.connections.discard(connection)
        if self.connection is connection:
            self.connection = None
            if not connection.is_going_away:
                self._failed_at = self.loop.clock()
                self.metrics.add("authoriser_lost")
        if self._pending:
            self.loop.call_soon(self.send_pending)

    def retry_unprocessed(self, call: CheckCall) -> None:
        """Send a call that the authoriser did not process once more, on a connection that accepts calls."""
        if call.is_retry or self._is_stopped:
            self.finish(call, UNKNOWN_VERDICT)
            return
        call.is_retry = True
        self.detach(call)
        self._pending.append(call)
        self.loop.call_soon(self.send_pending)

    def _on_timeout(self, call: CheckCall) -> None:
        self.metrics.add("authoriser_stalled")
        connection = call.connection
        if connection is not None and connection.transport.received_at <= call.sent_at:
            # Nothing was received since the call was sent: the host may have vanished without closing the connection,
            # and further calls on it would be lost. Calls in flight may still be answered; new ones open another.
            connection.is_going_away = True
        self.finish(call, UNKNOWN_VERDICT)

    def finish(self, call: CheckCall, verdict: Verdict) -> None:
        """Release a call and report its verdict, unless it was dropped."""
        on_done, call.on_done = call.on_done, None
        self.release(call)
        if on_done is not None:
            on_done(verdict)

    def release(self, call: CheckCall) -> None:
        """Release what a call holds, and reset its stream if it is still open. Every call ends here."""
        if call.timer is not None:
            call.timer.cancel()
        if call in self._pending:
            self._pending.remove(call)
        connection = call.connection
        if connection is not None:
            stream_id = call.stream_id
            self.detach(call)
            connection.transport.reset(stream_id, h2.errors.ErrorCodes.CANCEL)

    def detach(self, call: CheckCall) -> None:
        """Remove a call from its connection, which frees a stream for a pending call."""
        if call.connection is not None:
            connection, call.connection = call.connection, None
            connection.calls.pop(call.stream_id, None)
            connection.close_if_drained()
            if self._pending:
                self.loop.call_soon(self.send_pending)

    def stop(self) -> None:
        """Close all connections and open no more."""
        self._is_stopped = True
        for connection in list(self.connections):
            connection.transport.close()
