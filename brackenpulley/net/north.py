"""The north side: client connections of an ingress.

`North` accepts connections, reads requests, hands them as messages to the core and writes the final answer of each.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from ..address import Address
from ..bodies.body import Body, State
from ..bodies.delivery import Delivery
from ..bodies.memory import BodyMemory
from ..core.exchange import Answer, South
from ..core.ingress import Ingress
from ..core.message import MessageError
from ..metrics import Metrics
from ..policy.drain import DrainState
from . import sockets
from .client_connection import ClientConnection
from .http import DEFAULT_MAX_BODY_BYTES, append_body_slice
from .input_memory import MIN_RELIEF_BYTES, InputMemory
from .loop import READ, WRITE, Loop, Timer
from .pool import BUFFER_BYTES, Pool
from .requests import RequestError, RequestReader, decode_message, encode_head, encode_response

MAX_ACCEPTS_PER_ITERATION = 64
WRITE_TIMEOUT_SECONDS = 10.0  # for a client that has stopped reading its response
DRAIN_WRITE_TIMEOUT_SECONDS = 3.0  # the same after SIGTERM, so that no client delays the exit of the process
# After a half close, input is read and discarded for this long: closing with unread input would reset the connection,
# and the client could lose the last response.
LINGER_SECONDS = 2.0
# The same for the rest of a request that was answered early. The connection is kept for the next message.
DISCARD_SECONDS = 30.0
DRAIN_LINGER_SECONDS = 0.3  # replaces LINGER_SECONDS after SIGTERM: no client delays the exit by not closing its side
# Limits of the discarded input of one connection; the second one applies if no valid head was parsed before it.
MAX_DISCARDED_BYTES, MAX_DISCARDED_UNPARSED_BYTES = 64 << 20, 1 << 20
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_PIPELINED_MESSAGES = 8  # queued behind the one in progress; beyond that all queued ones are rejected
# Kept of what one read brings: one to be taken up, those queued behind it, and one that shows that they are too many.
MAX_QUEUED_REQUESTS = MAX_PIPELINED_MESSAGES + 2
PIPELINE_OVERFLOW_TEXT = f"more than {MAX_PIPELINED_MESSAGES} messages at a time on a connection"
MAX_QUEUED_BODY_BYTES = 1 << 16  # of pipelined messages; reading pauses above it
MEMORY_RETRY_SECONDS = 0.5  # told with a refusal for lack of memory
PEER_CHECK_INTERVAL_SECONDS = 0.05  # how often connections whose reading is paused are checked for a closed peer
LINGERING_DIVISOR = 8  # one in eight connections is reserved for half-closed ones
FIRST_MESSAGE_TIMEOUT_SECONDS = 2.0  # from accepting a connection, if the client sends nothing
IDLE_TIMEOUT_SECONDS = 120.0  # without a message on a connection that has had one
SWEEP_INTERVAL_SECONDS = 0.25
# A new connection is not evicted for this long, because its first message is likely to be on its way. After that,
# connections without a complete message are evicted before all others.
NEW_CONNECTION_GRACE_SECONDS = 0.05
ACCEPT_PAUSE_SECONDS = 0.01  # if no connection can be evicted


class North:
    """Accepts and serves client connections."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        ingress: Ingress,
        south: South,
        metrics: Metrics,
        log: Any,
        max_connections: int,
        is_ready: Callable[[], bool],
        drain: DrainState,
        shares: BodyMemory,
        input_memory: InputMemory,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    ) -> None:
        self.loop, self.pool, self.ingress, self.south = loop, pool, ingress, south
        self.metrics, self.log, self.is_ready = metrics, log, is_ready
        self.max_lingering = max(2, max_connections // LINGERING_DIVISOR)
        self.max_active = max_connections - self.max_lingering
        self.half_closed: dict[ClientConnection, None] = {}  # waiting for the client to close; oldest first
        self.read_paused: dict[ClientConnection, None] = {}  # input not read for lack of room
        self.clients: dict[ClientConnection, None] = {}  # least recently used first
        # Those of `clients` that have not sent a complete message yet; oldest first.
        self.unproven: dict[ClientConnection, None] = {}
        self.listener: socket.socket | None = None
        self.is_accepting = False
        self.drain, self.shares, self.max_body_bytes = drain, shares, max_body_bytes
        self.input_memory = input_memory
        self.discarding: dict[ClientConnection, None] = {}  # evicted before all others; oldest first
        self.streaming_responses = 0  # number of streamed responses in progress
        self._resume_timer: Timer | None = None
        self._peer_check_timer: Timer | None = None

    @property
    def is_draining(self) -> bool:
        """Whether new work should go to other ingresses: /ready answers 503, and connections close when idle."""
        return self.drain.is_draining

    def listen(self, address: Address) -> Address:
        """Start to accept connections and return the bound address. Raises OSError."""
        self.listener = sock = sockets.listen(address, 1024, shared=True)
        self._start_accepting()
        self.loop.call_in(SWEEP_INTERVAL_SECONDS, self._sweep)
        bound = sock.getsockname()
        return bound[0], bound[1]

    def _start_accepting(self) -> None:
        if self.listener and not self.is_accepting:
            self.is_accepting = True
            self.loop.register(self.listener, READ, self._on_acceptable)

    def _stop_accepting(self) -> None:
        if self.listener and self.is_accepting:
            self.is_accepting = False
            self.loop.unregister(self.listener)

    def _on_acceptable(self, events: int) -> None:
        self.accept_connections(MAX_ACCEPTS_PER_ITERATION)

    def accept_connections(self, limit: int, is_final: bool = False) -> None:
        """Accept up to `limit` connections; with `is_final` even if that exceeds the connection limit."""
        for _ in range(limit):
            if self.listener is None:
                return
            try:
                sock = sockets.accept(self.listener)
            except BlockingIOError:
                return
            except OSError as error:
                if sockets.is_out_of_descriptors(error):
                    self.metrics.add("out_of_descriptors")
                    if not self._free_descriptor():
                        self._pause_accepting()
                        return
                continue
            reader = RequestReader(self.shares, self.max_body_bytes, MAX_QUEUED_REQUESTS)
            client = ClientConnection(sock, self.loop.clock(), reader)
            self.clients[client] = self.unproven[client] = None
            self.metrics.add("accepted")
            self._trim_half_closed()
            self.loop.register(sock, READ, lambda events, c=client: self._on_event(c, events))  # type: ignore[misc]
            self._on_readable(client)
            # Evict as soon as the limit is reached, so that new connections do not have to wait in the backlog.
            if self._is_full() and not self._evict() and not is_final:
                self._pause_accepting()
                return

    def _is_full(self) -> bool:
        return len(self.clients) - len(self.half_closed) > self.max_active

    def _pause_accepting(self) -> None:
        self._stop_accepting()
        if self._resume_timer is None:
            self._resume_timer = self.loop.call_in(ACCEPT_PAUSE_SECONDS, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self._resume_timer = None
        if not self._is_full() or self._evict():
            self._start_accepting()
        else:
            self._pause_accepting()

    def _evict(self) -> bool:
        """Evict one connection and return whether one was found.

        Candidates are, in this order: connections that are discarding input, the oldest one without a complete message,
        and the least recently used idle one. The latter two are half-closed, so their descriptors are released when
        the client closes its side, or when `_trim_half_closed` needs the room.
        """
        grace_start = self.loop.clock() - NEW_CONNECTION_GRACE_SECONDS
        for client in self.discarding:  # already answered
            self.close(client)
            return True
        for client in self.unproven:  # connections that send nothing must not shut out clients with messages
            if client.last_progress > grace_start:
                break
            if client.is_awaiting_rest or client.is_idle and not self._has_unread_input(client):
                self.metrics.add("strangers_closed")
                self._half_close(client)
                return True
        for client in self.clients:
            if client.message_number and client.is_idle and not self._has_unread_input(client):
                self._half_close(client)
                return True
        return False

    def _free_descriptor(self) -> bool:
        """Release a descriptor, half-closed connections first; return whether one was found.

        Closing a half-closed connection releases its descriptor at once.
        """
        for client in self.half_closed:
            self.close(client)
            return True
        return self._evict()

    def _has_unread_input(self, client: ClientConnection) -> bool:
        """Return whether data has arrived that was not read yet: closing now would lose a message."""
        return bool(sockets.peek(client.sock))

    def _on_event(self, client: ClientConnection, events: int) -> None:
        if events & WRITE:
            self._flush(client)
        if events & READ and client.is_reading and client in self.clients:
            self._on_readable(client)

    def _readable_bytes(self, client: ClientConnection, open_body: Body) -> int:
        """Return how many bytes may be read now: backpressure limits a streamed body to the speed of its server."""
        if client.is_unparsed:
            return BUFFER_BYTES
        if not (room := open_body.available_space()):
            client.pace.set_paused(self.loop.clock(), True, open_body.size)
        return min(BUFFER_BYTES, room)

    def _on_readable(self, client: ClientConnection) -> None:
        open_body = client.reader.open_body
        if not (
            room := self.input_memory.max_read_bytes if open_body is None else self._readable_bytes(client, open_body)
        ):
            self._update_interest(client)
            return
        buffer, was_partial = self.pool.acquire(), client.reader.is_partial
        error_status = 0
        try:
            count = client.sock.recv_into(buffer, room)
            if count and not client.is_unparsed:
                client.reader.feed(memoryview(buffer)[:count])
        except BlockingIOError:
            return
        except OSError:
            count = 0
        except RequestError as error:
            error_status = error.status
        finally:
            self.pool.release(buffer)
        if not count:
            self.close(client)
            return
        reader = client.reader
        sent_since = 0.0
        if open_body is not None:
            client.pace.record_input(self.loop.clock())
            sent_since = client.pace.sent_since
        # The read that brings the end of a discarded body may bring the next messages too: those are not discarded.
        if client.is_unparsed or client.discard_until and reader.open_body is client.request_body:
            client.discarded_bytes += count
            if error_status or client.discarded_bytes > (
                MAX_DISCARDED_BYTES if reader.has_headers else MAX_DISCARDED_UNPARSED_BYTES
            ):
                if client.discard_until:
                    self.close(client)
                else:  # a message is in progress: `_check_peers` watches for the end of the connection
                    client.is_reading = False
                    self._update_interest(client)
                return
        if error_status:
            if client.discard_until:
                self._on_request_body_complete(client)
            self._reject_malformed(client, error_status)
            return
        if client.is_unparsed:
            return
        if reader.awaits_continue:
            self._request_next_body(client)
        if client.message_number and (not reader.is_partial or not was_partial):
            # The time limit of a message runs from its first byte, that of the first message from accepting the
            # connection, however slowly the bytes arrive.
            client.last_progress = self.loop.clock()
            client.pace.begin_message(client.last_progress)
        if reader.is_partial and reader.has_headers:
            client.pace.receive_body(self.loop.clock())
        if client.request_body is not None and reader.open_body is not client.request_body:
            self._on_request_body_complete(client, sent_since)
        if client.is_busy:
            self._limit_pipelining(client)
        else:
            self._start_next_message(client)
        if reader.is_partial or reader.complete or client.held_bytes or client.payload_bytes:
            self._account_input(client)
            self._relieve_memory()
        if client in self.clients and (reader.complete or reader.open_body is not None):
            self._update_interest(client)

    def _account_input(self, client: ClientConnection) -> None:
        """Enter what a connection holds now in the account; nothing once it is closed or answers no more."""
        held = client.measure_input() if client in self.clients and client not in self.half_closed else 0
        self.input_memory.change(held - client.held_bytes)
        client.held_bytes = held

    def _relieve_memory(self) -> None:
        """Refuse requests that are not whole while the account is exceeded, those first whose bytes came longest ago.

        No server has run them, so their clients may repeat them.
        """
        if not self.input_memory.is_exceeded:
            return
        candidates = [c for c in self.clients if c.held_bytes >= MIN_RELIEF_BYTES and c.is_receiving]
        for client in sorted(candidates, key=lambda c: c.last_input_at):
            if not self.input_memory.is_exceeded:
                return
            self.metrics.add("refused_memory")
            client.keep_alive = False
            if client.exchange is not None:
                self._abandon(client, 503)
            else:
                client.is_busy = True
                self._respond(client, 503, retry_after=self._retry_delay())

    def _retry_delay(self) -> float:
        """Return the seconds to name in a refusal for lack of memory; 0 where the settings allow none."""
        return MEMORY_RETRY_SECONDS if self.ingress.decision_module.settings.retry_after else 0.0

    def _limit_pipelining(self, client: ClientConnection) -> None:
        """Stop parsing if too many messages are queued behind the one in progress; the queued ones are rejected."""
        if len(client.reader.complete) > MAX_PIPELINED_MESSAGES:
            client.has_pipeline_overflow = client.is_unparsed = True

    def _request_next_body(self, client: ClientConnection) -> None:
        """Send 100 Continue for the next message once the previous one is answered."""
        if not client.outgoing and not client.is_busy:
            client.reader.awaits_continue = False
            self._send(client, CONTINUE_RESPONSE)

    def _on_request_body_complete(self, client: ClientConnection, sent_since: float = 0.0) -> None:
        """Handle the end of a streamed request body: tell the core, or finish discarding it."""
        if client.exchange is not None:
            if client.exchange.message.is_body_pending:
                client.exchange.message.is_body_pending = False
                self.ingress.complete_body(client.exchange, sent_since)
            return
        client.request_body = None  # released when its message was answered
        if client.discard_until:
            client.discard_until, client.discarded_bytes = 0.0, 0
            self.discarding.pop(client, None)
            self._finish_response(client)

    def _reject_malformed(self, client: ClientConnection, status: int) -> None:
        """Respond with an error to unparsable input, after the response to the message in progress."""
        self.metrics.add("malformed")
        # The end of a malformed message cannot be found, so all further input is discarded.
        client.is_unparsed, client.keep_alive = True, False
        if client.request_body is not None and client.exchange is not None and client.exchange.message.is_body_pending:
            self._abandon(client, status)
        elif client.is_busy:  # the message in progress is answered first, then the connection is closed
            client.close_after_response = True
            self._update_interest(client)
        else:
            client.is_busy = True
            self._respond(client, status)

    def _abandon(self, client: ClientConnection, status: int) -> None:
        """Drop the message in progress because its body will stay incomplete; no server has run it or will."""
        exchange, client.exchange = client.exchange, None
        if exchange is not None:
            self.ingress.disconnect(exchange)
        self._respond(client, status)

    def _release_request_body(self, client: ClientConnection) -> None:
        """Release the streamed body of the message in progress; no other code does."""
        if client.request_body is not None:
            client.request_body.drop()
            if client.reader.open_body is not client.request_body:
                client.request_body = None

    def _start_next_message(self, client: ClientConnection) -> None:
        """Take up the next queued message; the previous one has been answered."""
        if client not in self.clients or client.is_busy:
            return
        if not client.reader.complete:
            if client.reader.unqueued_count:
                self._reject_unqueued(client)
            return
        if sockets.has_peer_closed(client.sock):
            self.metrics.add("gone_unheard")  # the client disconnected before its message was taken up
            self.close(client)
            return
        payload, keep_alive = client.reader.complete.popleft()
        if client.reader.complete:
            self._limit_pipelining(client)
        client.is_busy, client.is_http10 = True, payload.is_http10
        if (stream := payload.stream) is not None:
            client.request_body = stream
            stream.on_space = lambda: self._on_body_space(client)
        client.message_number += 1
        self.unproven.pop(client, None)
        client.keep_alive = client.keep_alive and keep_alive
        del self.clients[client]  # re-inserted at the end, as the most recently used
        self.clients[client] = None
        if payload.method == b"GET" and payload.target == b"/ready":
            self._respond(client, 200 if self.drain.is_ready(self.is_ready()) else 503)
            return
        if payload.body:
            client.payload_bytes = len(payload.body)
            if client.payload_bytes >= MIN_RELIEF_BYTES and self.input_memory.is_exceeded:
                self.metrics.add("refused_memory")
                self._respond(client, 503, retry_after=self._retry_delay())
                return
        number = client.message_number
        try:
            if client.has_pipeline_overflow:
                raise MessageError(PIPELINE_OVERFLOW_TEXT)
            message = decode_message(payload)
            if stream is not None:
                message.is_body_pending, message.can_resend = stream.is_open, stream.can_restart
            exchange = self.ingress.accept(
                message,
                lambda answer: self._on_answer(client, number, answer),
                self.south,
                self.drain.accepts(self.is_ready),
            )
        except MessageError as error:
            self.metrics.add("malformed")
            # A client that repeats it has to reconnect.
            client.keep_alive = bool(client.reader.complete or client.reader.unqueued_count)
            self._respond(client, 400, str(error).encode("ascii", "replace"))
            return
        if exchange is None:
            self._respond(client, 409, b"x-request-id: in hand already")
        elif client.is_busy and client.message_number == number and not exchange.is_finished:
            client.exchange = exchange
            if payload.expects_continue and stream is not None and stream.is_open and not stream.size:
                self._send(client, CONTINUE_RESPONSE)

    def _reject_unqueued(self, client: ClientConnection) -> None:
        """Respond to a request that came when too many were queued and was not kept."""
        client.reader.unqueued_count -= 1
        client.is_busy, client.keep_alive = True, client.reader.unqueued_count > 0
        self.metrics.add("malformed")
        self._respond(client, 400, PIPELINE_OVERFLOW_TEXT.encode())

    def _on_body_space(self, client: ClientConnection) -> None:
        """Resume reading: the streamed body has room again, or is no longer wanted."""
        if client in self.clients:
            client.pace.set_paused(self.loop.clock(), False)
            self._update_interest(client)

    def _on_answer(self, client: ClientConnection, number: int, answer: Answer) -> None:
        if not (client in self.clients and client.is_busy and client.message_number == number):
            if answer.is_streaming:
                answer.payload[0].drop()
            return
        if answer.is_streaming:
            self._start_streaming(client, answer.status, *answer.payload)
            return
        body, headers = answer.payload or (b"", None)
        client.exchange = None
        self._respond(client, answer.status, body, answer.retry_after, headers)

    def _start_streaming(
        self, client: ClientConnection, status: int, body: Body, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of a streamed response; the body follows as it arrives and as the client reads it."""
        self._release_request_body(client)
        client.response_body, client.is_chunked = body, body.length < 0 and not client.is_http10
        self.streaming_responses += 1
        framing = b"Content-Length: %d\r\n" % body.length if body.length >= 0 else b""
        if client.is_chunked:
            framing = b"Transfer-Encoding: chunked\r\n"
        client.keep_alive = (
            client.keep_alive
            and (bool(client.reader.complete or client.reader.unqueued_count) or not self.is_draining)
            and bool(framing)
        )
        client.last_progress = self.loop.clock()
        client.delivery = Delivery(client.last_progress, sockets.acknowledged_bytes(client.sock))

        body.begin()
        body.on_change = self.loop.coalesce(lambda: self._on_body_progress(client, body))
        self._send(client, encode_head(status, framing, client.keep_alive, 0.0, headers))

    def _on_body_progress(self, client: ClientConnection, body: Body) -> None:
        if client.response_body is body and client in self.clients:
            self._flush(client)

    def _append_body_slice(self, client: ClientConnection) -> bool:
        """Queue the next slice of a streamed response and return whether there was one.

        Closes the connection if the response was cut off.
        """
        body = client.response_body
        assert body is not None
        has_data = append_body_slice(body, client.outgoing, client.is_chunked)
        if body.is_complete:
            self._release_response_body(client)
        elif not has_data and body.state is State.ABORTED:
            # Without a length or chunks the close marks the end of the body; only a reset shows that it is incomplete.
            if not client.is_chunked and body.length < 0:
                sockets.reset_on_close(client.sock)
            self.close(client)
        return has_data

    def _release_response_body(self, client: ClientConnection) -> None:
        """Release a streamed response; no other code does."""
        if client.response_body is not None:
            body, client.response_body, client.exchange = client.response_body, None, None
            body.drop()
            self.streaming_responses -= 1

    def _respond(
        self,
        client: ClientConnection,
        status: int,
        body: bytes = b"",
        retry_after: float = 0.0,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        is_body_unrequested = (
            client.request_body is not None
            and client.request_body is client.reader.open_body
            and not client.request_body.size
        )
        if client.request_body is not None:
            self._release_request_body(client)
        # Without 100 Continue a client may still send the body or not, so what follows could not be told from the next
        # message: the connection is not kept. While draining, messages that were already read are still served.
        client.keep_alive = (
            client.keep_alive
            and (bool(client.reader.complete or client.reader.unqueued_count) or not self.is_draining)
            and not is_body_unrequested
        )
        self._send(client, encode_response(status, body, client.keep_alive, retry_after, headers))
        if client.outgoing:
            client.last_progress = self.loop.clock()

    def _send(self, client: ClientConnection, data: bytes) -> None:
        client.outgoing.append(data)
        self._flush(client)

    def _flush(self, client: ClientConnection) -> None:
        try:
            while client.outgoing or client.response_body is not None and self._append_body_slice(client):
                if sockets.write(client.sock, client.outgoing) and (
                    client.outgoing or client.response_body is not None
                ):
                    client.last_progress = self.loop.clock()  # the client is slow, but reads
                if client.outgoing:
                    break
        except OSError:
            self.close(client)
        if client not in self.clients:
            return
        if client.is_busy and client.exchange is None and client.response_body is None and not client.outgoing:
            self._finish_response(client)
        else:
            self._update_interest(client)

    def _finish_response(self, client: ClientConnection) -> None:
        """Go on after a response was fully written: discard, close, or take up the next message."""
        if client.discard_until:
            return
        if client.request_body is not None and client.reader.open_body is client.request_body:
            self._discard_rest(client)
            return
        client.request_body = client.delivery = None
        client.is_busy, client.last_progress = False, self.loop.clock()
        client.payload_bytes = 0
        if client.held_bytes:
            self._account_input(client)
        if not client.keep_alive or client.close_after_response:
            self._half_close(client)
        elif client.reader.complete or client.reader.unqueued_count:
            self.loop.call_soon(lambda: self._start_next_message(client))
        elif client.is_unparsed:
            self._half_close(client)
        else:
            if client.reader.awaits_continue:
                self._request_next_body(client)
            self._update_interest(client)

    def _discard_rest(self, client: ClientConnection) -> None:
        """Discard the rest of a request that was answered early; a close could destroy the response by a reset."""
        if not client.keep_alive or client.is_unparsed:
            self._half_close(client)
            return
        self.discarding[client] = None
        client.discard_until = self.loop.clock() + DISCARD_SECONDS
        self._update_interest(client)

    def _half_close(self, client: ClientConnection) -> None:
        """End a connection: shut down the sending side, and discard input until the client closes its side.

        Nothing that is read after this is forwarded, so the client can safely repeat it on another connection.
        """
        if client in self.half_closed:
            return
        self.half_closed[client] = None
        self.unproven.pop(client, None)
        self.discarding.pop(client, None)
        client.is_busy = client.is_unparsed = client.is_reading = True
        client.keep_alive, client.discarded_bytes = False, 0
        client.discard_until = self.loop.clock() + (DRAIN_LINGER_SECONDS if self.drain.is_ending else LINGER_SECONDS)
        sockets.shutdown_write(client.sock)
        client.reader.discard_input()
        self._account_input(client)
        self._update_interest(client)
        self._trim_half_closed()
        if not self._is_full():
            self._start_accepting()

    def _trim_half_closed(self) -> None:
        """Close half-closed connections beyond the descriptors reserved for them."""
        while self.half_closed and len(self.clients) > self.max_active + self.max_lingering:
            self.close(next(iter(self.half_closed)))

    def _update_interest(self, client: ClientConnection) -> None:
        """Wait for input while there is room for it, and for writability while there is output."""
        reader, events = client.reader, WRITE if client.outgoing else 0
        open_body = reader.open_body
        if client.is_reading and (
            client.is_unparsed
            or client.discard_until
            or not (client.is_busy and open_body is None and self.input_memory.is_exceeded)
            and not (client.is_busy and reader.complete and reader.count_queued_bytes() > MAX_QUEUED_BODY_BYTES)
            and (open_body is None or self._readable_bytes(client, open_body))
        ):
            events |= READ
            if self.read_paused:
                self.read_paused.pop(client, None)
        else:
            self.read_paused[client] = None
            if self._peer_check_timer is None:
                self._peer_check_timer = self.loop.call_in(PEER_CHECK_INTERVAL_SECONDS, self._check_peers)
        self.loop.set_interest(client.sock, events, lambda events: self._on_event(client, events))

    def _check_peers(self) -> None:
        """Close connections whose clients left while reading was paused, so that no work is started for them."""
        self._peer_check_timer = None
        for client in list(self.read_paused):
            if not client.is_reading:  # the end may be behind unread input: discard some of it
                self._discard_input(client)
            if client in self.clients and sockets.has_peer_closed(client.sock):
                self.close(client)
        if self.read_paused:
            self._peer_check_timer = self.loop.call_in(PEER_CHECK_INTERVAL_SECONDS, self._check_peers)

    def _discard_input(self, client: ClientConnection) -> None:
        """Read and discard one buffer of input."""
        buffer = self.pool.acquire()
        try:
            if not client.sock.recv_into(buffer):
                self.close(client)
        except BlockingIOError:
            pass
        except OSError:
            self.close(client)
        finally:
            self.pool.release(buffer)

    def close(self, client: ClientConnection) -> None:
        """Close a connection and release all it holds; no other code closes one."""
        if client not in self.clients:
            return
        del self.clients[client]
        for group in (self.unproven, self.discarding, self.half_closed, self.read_paused):
            group.pop(client, None)
        self.loop.set_interest(client.sock, 0, lambda events: None)
        client.sock.close()
        self.metrics.add("closed")
        if client.exchange is not None:
            exchange, client.exchange = client.exchange, None
            self.ingress.disconnect(exchange)
        self._release_response_body(client)
        client.reader.close()
        self._release_request_body(client)
        self._account_input(client)
        if not self._is_full():
            self._start_accepting()

    def _sweep(self) -> None:
        """Time out stalled connections: partial messages, unread responses, and idle connections."""
        now = self.loop.clock()
        for client in list(self.clients):
            stalled_for = now - client.last_progress
            if client.discard_until:
                if (
                    now > client.discard_until
                    or not client.is_unparsed
                    and client.pace.has_timed_out(now, client.reader.body_bytes)
                ):
                    self.close(client)
            elif client.outgoing:
                if self._has_stopped_reading(client, now):
                    self.close(client)
            elif client.is_awaiting_rest and client.pace.has_timed_out(now, client.reader.body_bytes):
                client.is_busy, client.keep_alive = True, False
                self._respond(client, 408)
            elif (
                client.is_busy
                and client.exchange is not None
                and client.exchange.message.is_body_pending
                and (client.pace.has_timed_out(now, client.reader.body_bytes))
            ):
                client.keep_alive = False
                self._abandon(client, 408)
            elif (
                client.exchange is not None
                and client.exchange.message.is_body_pending
                and self._is_body_overdue(client, now)
            ):
                self.metrics.add("bodies_not_taken")
                self.ingress.expire_body(client.exchange)
            elif (
                client.is_idle
                and not self._has_unread_input(client)
                and (
                    self.drain.closes_idle
                    or stalled_for > (IDLE_TIMEOUT_SECONDS if client.message_number else FIRST_MESSAGE_TIMEOUT_SECONDS)
                )
            ):
                self._half_close(client)
        if self.listener is not None or self.clients:
            self.loop.call_in(SWEEP_INTERVAL_SECONDS, self._sweep)

    def _is_body_overdue(self, client: ClientConnection, now: float) -> bool:
        """Return whether the client's time is over, or may be, while its server does not take the body."""
        body, pace = client.request_body, client.pace
        if body is None or client.exchange is None or pace.backlog is None:
            return False
        timeout = client.exchange.message.timeout
        pace.record_taken(now, body.taken_bytes)
        waiting_bytes = sockets.unread_bytes(client.sock)
        pace.record_arrived(now, body.size + waiting_bytes, waiting_bytes, body.length)
        is_over = bool(pace.sent_since) and now - pace.sent_since >= timeout
        return is_over or pace.has_server_stalled(now, timeout)

    def _has_stopped_reading(self, client: ClientConnection, now: float) -> bool:
        """Return whether the client, for which output is pending, reads nothing any more."""
        acknowledged = sockets.acknowledged_bytes(client.sock)
        if client.delivery is None:
            client.delivery = Delivery(now, acknowledged)
        client.delivery.record(now, acknowledged)
        timeout = DRAIN_WRITE_TIMEOUT_SECONDS if self.drain.is_ending else WRITE_TIMEOUT_SECONDS
        return client.delivery.has_stalled(now, client.last_progress, timeout)

    def stop_listening(self) -> None:
        """Close the listener after accepting all connections in its backlog."""
        self.accept_connections(4096, is_final=True)
        self._stop_accepting()
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def stop(self) -> None:
        """Close the listener and all connections at once."""
        if self.listener is not None:
            self._stop_accepting()
            self.listener.close()
            self.listener = None
        for client in list(self.clients):
            self.close(client)

    def close_idle(self) -> None:
        """Half-close all idle connections."""
        for client in list(self.clients):
            if client.is_idle and not self._has_unread_input(client):
                self._half_close(client)

    def reject_partial_requests(self) -> None:
        """Respond 408 to partial requests, which could no longer be answered before the process is killed."""
        for client in list(self.clients):
            if client.is_awaiting_rest and self._has_unread_input(client):
                self._on_readable(client)  # the rest may have arrived
            if client in self.clients and client.is_awaiting_rest:
                client.is_busy, client.keep_alive = True, False
                self._respond(client, 408)
