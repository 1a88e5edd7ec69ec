"""The south side: relays to sim servers over pooled keep-alive connections. It never retries a relay by itself."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

from ..address import Address
from ..bodies.body import Body, SpoolReadError, State
from ..bodies.memory import BodyMemory
from ..core.answer_progress import AnswerProgress, AnswerStage
from ..core.exchange import RelayResult
from ..core.message import Message
from ..metrics import Metrics
from . import sockets
from .answers import MalformedResponseError, ResponseReader, ResponseTooLargeError, to_relay_end
from .http import DEFAULT_MAX_BODY_BYTES, Payload, append_body_slice
from .idle_reuse import IdleReusePolicy
from .inventory import Inventory
from .loop import READ, WRITE, Loop
from .pool import BUFFER_BYTES, Pool
from .server_relay import ServerConnection, ServerKey, ServerRelay

# Share of the server's keep-alive timeout after which an idle connection is closed here: a request must never cross
# the server's own close.
IDLE_RETIRE_FRACTION = 0.6
SWEEP_INTERVAL_SECONDS = 1.0  # between two removals of expired idle connections
REUSE_DELAY_SECONDS = 0.01  # idle time before reuse: a duplicate of the last response may still come
SEND_STALL_TIMEOUT_SECONDS = 2.0  # without progress in sending a long body
SEND_CHECK_INTERVAL_SECONDS = 0.25  # between two looks at what a server has acknowledged of a long body


class Southside:
    """Runs relays to sim servers, and owns the connections to them.

    `max_connections` bounds them in all. `server_idle_timeout` is the servers' keep-alive timeout and
    `connect_timeout` that of a connect, both in seconds. `load_fields` are the values of a load report, in order."""

    def __init__(
        self,
        loop: Loop,
        pool: Pool,
        inventory: Inventory,
        metrics: Metrics,
        max_connections: int,
        server_idle_timeout: float,
        connect_timeout: float,
        load_fields: Sequence[str],
        shares: BodyMemory,
    ) -> None:
        self.loop, self.pool, self.inventory, self.metrics = loop, pool, inventory, metrics
        self.max_connections, self.max_idle_seconds, self.connect_timeout, self.load_fields = (
            max_connections,
            server_idle_timeout * IDLE_RETIRE_FRACTION,
            connect_timeout,
            load_fields,
        )
        self.idle_connections: dict[ServerKey, list[ServerConnection]] = {}  # the most recently used is last
        self.connection_count = 0
        self.shares = shares
        self.reuse_policy = IdleReusePolicy()
        self.connection_limits: dict[str, int] | None = None  # of open connections by server; None = no limit
        self.open_connections: dict[str, int] = {}  # number by server
        self.limit_rejections: dict[str, int] = {}  # relays refused by the limit, by server; the reader resets it
        loop.call_in(SWEEP_INTERVAL_SECONDS, self._sweep)

    def start(
        self,
        message: Message,
        server: str,
        left: float,
        done: Callable[[RelayResult], None],
        began: Callable[[RelayResult], None],
        on_begun: Callable[[], None],
    ) -> ServerRelay:
        """Start a relay that has `left` seconds until its deadline.

        `done` is called once with its end unless the relay is dropped, possibly before this returns. Before that
        `on_begun` is called when the head of a response has come that is long or may be, and `began` if it is streamed.
        """
        now = self.loop.clock()
        relay = ServerRelay(self, message, server, now + left, done, began, on_begun)
        address = self.inventory.find_address(server)
        if address is None or not self.inventory.is_usable(server):
            self._finish(relay, RelayResult("connect_failed", reason="server drains or is gone"))
            return relay
        connection = self._take_idle((server, address), now) or self._open_connection((server, address), now)
        if connection is None:
            self._finish(relay, RelayResult("connect_failed", reason="no connection"))
            return relay
        connection.relay, relay.connection = relay, connection
        if connection.is_connected:
            self._send(connection, relay)
        else:
            relay.timer = self.loop.call_in(self.connect_timeout, lambda: self._fail(connection, "connect timed out"))
        return relay

    def _take_idle(self, key: ServerKey, now: float) -> ServerConnection | None:
        """Take an idle connection that is past the reuse delay, still open and not idle for too long."""
        idle = self.idle_connections.get(key)
        while idle:
            connection = idle[-1]
            connection.idle_seconds = now - connection.idle_since
            # Reused at once, it could deliver a duplicate of its last response as the response to the next request.
            if connection.idle_seconds < REUSE_DELAY_SECONDS:
                rested = next(
                    (other for other in reversed(idle) if now - other.idle_since >= REUSE_DELAY_SECONDS), None
                )
                if rested is None:
                    return None
                connection, rested.idle_seconds = rested, now - rested.idle_since
            idle.remove(connection)
            if (
                connection.idle_seconds < self.max_idle_seconds
                and self.reuse_policy.allows_reuse(connection.idle_seconds)
                and (sockets.peek(connection.sock) is None)
            ):  # else it is closed by the server, or has unexpected bytes
                return connection
            self.close(connection)
        return None

    def _open_connection(self, key: ServerKey, now: float) -> ServerConnection | None:
        if (
            self.connection_limits is not None
            and self.idle_connections.get(key)
            and self.open_connections[key[0]] == self.connection_limits.get(key[0], 0)
        ):
            self.close(self.idle_connections[key][0])  # still within its reuse delay: a new connection replaces it
        if self.connection_limits is not None and self.open_connections.get(key[0], 0) >= self.connection_limits.get(
            key[0], 0
        ):
            self.limit_rejections[key[0]] = self.limit_rejections.get(key[0], 0) + 1
            self.metrics.add("south_over_share")
            return None
        if self.connection_count >= self.max_connections and not self._evict_idle():
            self.metrics.add("south_full")
            return None
        try:
            sock = sockets.connect(key[1])
        except OSError as error:
            if sockets.is_out_of_descriptors(error):
                self.metrics.add("out_of_descriptors")
                self._evict_idle()
            return None
        connection = ServerConnection(sock, key, now)
        self.connection_count += 1
        self.open_connections[key[0]] = self.open_connections.get(key[0], 0) + 1
        self.metrics.add_for_server("connects", key[0])
        self.loop.register(sock, WRITE, lambda events: self._handle_event(connection, events))
        return connection

    def close_idle(self, server: str, max_open: int) -> None:
        """Close idle connections to `server` until at most `max_open` connections are open, as far as possible."""
        for key, idle in list(self.idle_connections.items()):
            while key[0] == server and idle and self.open_connections.get(server, 0) > max_open:
                self.close(idle[0])

    def count_busy(self, server: str) -> int:
        """Count the connections to `server` that carry a relay or are being opened for one."""
        return self.open_connections.get(server, 0) - sum(
            len(idle) for key, idle in self.idle_connections.items() if key[0] == server
        )

    def _evict_idle(self) -> bool:
        for idle in self.idle_connections.values():
            if idle:
                self.close(idle[0])
                return True
        return False

    def _handle_event(self, connection: ServerConnection, events: int) -> None:
        if not connection.is_connected:
            if sockets.connect_error(connection.sock):
                self._fail(connection, "connect failed")
                return
            connection.is_connected = True
            if connection.relay is None:
                self.close(connection)
                return
            if connection.relay.timer is not None:
                connection.relay.timer.cancel()
            self._handle_connected(connection, connection.relay)
            return
        if events & READ:
            self._handle_readable(connection)
        elif events & WRITE and connection.relay is not None:
            self._write(connection, connection.relay)

    def _handle_connected(self, connection: ServerConnection, relay: ServerRelay) -> None:
        """Send the relay on a connection that was just established, perhaps late."""
        # The inventory may have changed since the decision module chose: nothing is sent to a server that drains or
        # was removed meanwhile.
        if not self.inventory.is_usable(relay.server) or self.inventory.find_address(relay.server) != connection.key[1]:
            self.metrics.add("drained_before_send")
            self._return_to_idle(connection)
            self._finish(relay, RelayResult("connect_failed", reason="server drains or is gone"))
        else:
            self._send(connection, relay)

    def _send(self, connection: ServerConnection, relay: ServerRelay) -> None:
        if self.loop.clock() >= relay.message.write_deadline:
            self.metrics.add("window_over")
            self._return_to_idle(connection)
            self._finish(relay, RelayResult("connect_failed", reason="window over"))
            return
        payload: Payload = relay.message.payload
        connection.response = ResponseReader(DEFAULT_MAX_BODY_BYTES, has_no_body=payload.method == b"HEAD")
        if payload.stream is not None and not self._start_request_stream(connection, relay, payload.stream):
            self._return_to_idle(connection)
            self._finish(relay, RelayResult("connect_failed"))
            return
        relay.send_queue.append(self._encode_request(relay, connection.key[1]))
        self._write(connection, relay)

    def _start_request_stream(self, connection: ServerConnection, relay: ServerRelay, stream: Body) -> bool:
        """Read a long body from its first byte on; False if its beginning is no longer held."""
        if not stream.begin():
            return False
        relay.request_stream, relay.is_body_queued = stream, False
        relay.is_chunked = stream.length < 0 and stream.state is not State.ENDED
        relay.last_progress = self.loop.clock()
        relay.acknowledged_bytes = sockets.acknowledged_bytes(connection.sock)

        # Deferred, never called from within the read that added to the body: a failure here would end that read too.
        stream.on_change = self.loop.coalesce(lambda: self._resume_request_stream(connection, relay))
        self._schedule_send_check(connection, relay)
        return True

    def _schedule_send_check(self, connection: ServerConnection, relay: ServerRelay) -> None:
        relay.timer = self.loop.call_in(SEND_CHECK_INTERVAL_SECONDS, lambda: self._check_send_stall(connection, relay))

    def _resume_request_stream(self, connection: ServerConnection, relay: ServerRelay) -> None:
        if relay.connection is connection and not relay.is_written:
            self._write(connection, relay)

    def _check_send_stall(self, connection: ServerConnection, relay: ServerRelay) -> None:
        """Fail a relay whose server reads none of the queued bytes; an empty queue is no stall of the server."""
        if relay.connection is not connection or relay.is_written:
            return
        now, acknowledged = self.loop.clock(), sockets.acknowledged_bytes(connection.sock)
        # A full send buffer takes nothing until a third of it is free, however steadily the server reads.
        if not relay.send_queue or acknowledged > relay.acknowledged_bytes:
            relay.last_progress, relay.acknowledged_bytes = now, acknowledged
        if now - relay.last_progress >= SEND_STALL_TIMEOUT_SECONDS:
            self.metrics.add("sends_stalled")
            self._fail(connection, "server reads nothing")
            return
        self._schedule_send_check(connection, relay)

    def _encode_request(self, relay: ServerRelay, address: Address) -> bytes:
        message = relay.message
        payload: Payload = message.payload
        timeout_ms = max(1, int(1000 * (relay.deadline - self.loop.clock())))
        lines = [
            b"%s %s HTTP/1.1\r\nHost: %s:%d\r\nX-Timeout: %dm\r\n"
            % (payload.method, payload.target, address[0].encode(), address[1], timeout_ms)
        ]
        if message.revision:  # the plan book decides the plan, whatever X-Tariff says
            lines.append(b"X-Plan: %s; revision=%d\r\n" % (message.plan.encode(), message.revision))
        lines += [b"%s: %s\r\n" % header for header in payload.headers]
        if relay.is_chunked:
            lines.append(b"Transfer-Encoding: chunked\r\n")
        elif payload.stream is not None:
            content_length = payload.stream.length if payload.stream.length >= 0 else payload.stream.size
            lines.append(b"Content-Length: %d\r\n" % content_length)
        elif payload.body or payload.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d\r\n" % len(payload.body))
        lines += [b"\r\n", payload.body]
        return b"".join(lines)

    def _write(self, connection: ServerConnection, relay: ServerRelay) -> None:
        # The last byte is not sent, so the server hasn't started on the message.
        if relay.has_begun and self.loop.clock() >= relay.message.write_deadline:
            self.metrics.add("window_over")
            self._fail(connection, "window over")
            return
        try:
            while relay.send_queue or not relay.is_body_queued and self._queue_slice(relay):
                if sockets.write(connection.sock, relay.send_queue):
                    relay.has_begun = True
                    if relay.request_stream is not None:
                        relay.last_progress = self.loop.clock()
                if relay.send_queue:
                    break
        except SpoolReadError:
            self.metrics.add("spool_holes")
            self._fail(connection, "body no longer held")
            return
        except OSError:
            # A response sent before the server closed may say that it rejected the message.
            self._handle_readable(connection)
            if relay.connection is connection:
                self._fail(connection, "connection broke")
            return
        if relay.is_body_queued and not relay.send_queue and not relay.is_written:
            relay.is_written = True
            self.metrics.add_for_class("tries", relay.message.priority_class)
            if relay.request_stream is not None:
                relay.written_at = self.loop.clock()
                if relay.timer is not None:
                    relay.timer.cancel()
        self.loop.set_interest(
            connection.sock,
            READ | WRITE if relay.send_queue else READ,
            lambda events: self._handle_event(connection, events),
        )

    def _queue_slice(self, relay: ServerRelay) -> bool:
        """Queue the next slice of a long body; False if none is available yet."""
        assert relay.request_stream is not None
        is_queued = append_body_slice(relay.request_stream, relay.send_queue, relay.is_chunked)
        relay.is_body_queued = relay.request_stream.is_complete
        return is_queued

    def _handle_readable(self, connection: ServerConnection) -> None:
        relay, response = connection.relay, connection.response
        stream = relay.response_stream if relay is not None else None
        space = BUFFER_BYTES if stream is None else min(BUFFER_BYTES, stream.available_space())
        if not space:  # backpressure: the client has not read what is buffered
            self.loop.set_interest(connection.sock, 0, lambda events: None)
            return
        is_local_failure, is_memory_full, reason = False, False, "connection broke"
        try:
            count = len(data := self._receive(connection.sock, space, stream is not None))
            if response is None:  # an idle connection was closed by the server, or has unexpected bytes
                count = -1
            elif count:
                response.feed(data)
                is_memory_full = not response.is_complete and not self._account_buffered(connection, response)
                if is_memory_full and not (relay is not None and relay.is_written and response.may_be_long):
                    raise ResponseTooLargeError
            else:
                response.handle_eof()
        except BlockingIOError:
            return
        except OSError:
            count = -1
        except ResponseTooLargeError:
            self.metrics.add("answers_over_memory")
            count, is_local_failure, reason = -1, True, "answer over memory"
        except MalformedResponseError:
            self.metrics.add("answers_spoilt")
            count, reason = -1, "answer spoilt"
        if response is None or relay is None:
            if count <= 0:
                self._fail(connection, reason)
            return
        if count <= 0 or response.is_complete:
            self.reuse_policy.record(connection.idle_seconds, count <= 0 and not response.is_partial)
        if response.is_complete:
            self._handle_complete(connection, relay, response, count > 0)
            return
        if count <= 0:
            self._fail(connection, reason, is_local_failure)
            return
        relay.last_progress = self.loop.clock()
        if response.is_partial and relay.is_written:
            self._watch_response(connection, relay, response)
        if response.may_be_long and relay.is_written and not relay.has_response_begun:
            relay.has_response_begun = True
            relay.on_response_begun()
        must_stream = is_memory_full or response.is_long and relay.is_written
        if must_stream and relay.response_stream is None and relay.connection is connection:
            self.start_response_stream(connection, relay, response)

    def _receive(self, sock: socket.socket, space: int, is_streaming: bool) -> bytes:
        """Read available bytes. A streamed slice goes to the client as it is, so it is read into its own bytes."""
        if is_streaming:
            return sock.recv(space)
        buffer = self.pool.acquire()
        try:
            return bytes(memoryview(buffer)[: sock.recv_into(buffer, space)])
        finally:
            self.pool.release(buffer)

    def _account_buffered(self, connection: ServerConnection, response: ResponseReader) -> bool:
        """Enter the buffered bytes of an incomplete response in the memory account; False if it is exceeded."""
        change, connection.accounted_bytes = (
            response.buffered_bytes - connection.accounted_bytes,
            response.buffered_bytes,
        )
        return not change or self.shares.adjust_answer_bytes(change)

    def _handle_complete(
        self, connection: ServerConnection, relay: ServerRelay, response: ResponseReader, is_open: bool
    ) -> None:
        relay_end = to_relay_end(response, self.load_fields)
        if not relay.is_written and relay_end.status != "full":
            # A server starts at the last byte, so this is no response to the message.
            relay_end = RelayResult("connect_failed")
        if is_open and relay.is_written and response.keep_alive:
            self._return_to_idle(connection)
        else:
            if response.has_surplus:
                self.metrics.add("answers_surplus")
            relay.connection = connection.relay = None
            self.close(connection)
        self._finish(relay, relay_end)

    def start_response_stream(self, connection: ServerConnection, relay: ServerRelay, response: ResponseReader) -> None:
        """Stream a response to the client that is longer than what is buffered whole."""
        relay.response_stream = stream = Body(self.shares, response.content_length)
        relay.held_since = 0.0

        def resume_reading() -> None:
            if relay.connection is connection:
                relay.last_progress = self.loop.clock()
                self.loop.set_interest(connection.sock, READ, lambda events: self._handle_event(connection, events))

        stream.on_space = resume_reading
        response.stream_to(stream)
        self._account_buffered(connection, response)
        relay_end = to_relay_end(response, self.load_fields)
        relay_end.written_at = relay.written_at
        relay.on_stream_start(relay_end)

    def _watch_response(self, connection: ServerConnection, relay: ServerRelay, response: ResponseReader) -> None:
        """Set the timer of a response that has begun, and once more when its body begins."""
        is_held_now = response.stage is AnswerStage.BODY and not relay.held_since and relay.response_stream is None
        if is_held_now:
            relay.held_since = self.loop.clock()
        if is_held_now or not relay.has_stall_timer:
            relay.has_stall_timer = True
            if relay.timer is not None:
                relay.timer.cancel()
            self._schedule_response_check(connection, relay)

    def _schedule_response_check(self, connection: ServerConnection, relay: ServerRelay) -> None:
        """Set the timer for the next check of a response that has begun."""
        delay = relay.answer_progress().next_check_seconds
        relay.timer = self.loop.call_in(delay, lambda: self._check_response(connection, relay))

    def _check_response(self, connection: ServerConnection, relay: ServerRelay) -> None:
        """Fail a relay whose server gives no more of its response, and stream what was held for too long."""
        response = connection.response
        if relay.connection is not connection or response is None:
            return
        if relay.response_stream is not None and relay.response_stream.is_writer_blocked:
            relay.last_progress = self.loop.clock()  # reading is paused by the client's pace, not by the server
        progress = relay.answer_progress()
        if progress.has_stalled:
            self.metrics.add("answers_stalled")
            self._fail(connection, "answer stalled")
            return
        if progress.must_pass_on and relay.response_stream is None:
            self.start_response_stream(connection, relay, response)
        if relay.connection is connection:
            self._schedule_response_check(connection, relay)

    def _return_to_idle(self, connection: ServerConnection) -> None:
        if connection.relay is not None:
            connection.relay.connection = None
        connection.relay = None
        self._discard_response(connection)
        connection.idle_since = self.loop.clock()
        self.idle_connections.setdefault(connection.key, []).append(connection)
        self.loop.set_interest(connection.sock, READ, lambda events: self._handle_event(connection, events))

    def _fail(self, connection: ServerConnection, reason: str, is_local_failure: bool = False) -> None:
        """Close a broken connection and end its relay. `reason` is for the log.

        `is_local_failure`: the server is not at fault, and the same would happen again."""
        relay, progress = connection.relay, AnswerProgress()
        if relay is not None:
            progress = relay.answer_progress()
            relay.connection = connection.relay = None
            if relay.response_stream is not None:
                relay.response_stream.abort()
        self.close(connection)
        if relay is not None:  # the message may have run only if its last byte was sent
            status = "cancelled" if is_local_failure else "reset" if relay.is_written else "connect_failed"
            result = RelayResult(status, is_permanent=is_local_failure, reason=reason, progress=progress)
            self._finish(relay, result)

    def _finish(self, relay: ServerRelay, relay_end: RelayResult) -> None:
        if relay.timer is not None:
            relay.timer.cancel()
        relay_end.written_at = relay.written_at
        relay.on_end(relay_end)

    def close(self, connection: ServerConnection) -> None:
        """Close a connection, the only place where one to a sim server is released."""
        if connection.sock.fileno() < 0:
            return
        idle = self.idle_connections.get(connection.key)
        if idle and connection in idle:
            idle.remove(connection)
        self._discard_response(connection)
        self.loop.set_interest(connection.sock, 0, lambda events: None)
        connection.sock.close()
        self.connection_count -= 1
        self.open_connections[connection.key[0]] -= 1
        if not self.open_connections[connection.key[0]]:
            del self.open_connections[connection.key[0]]

    def _discard_response(self, connection: ServerConnection) -> None:
        """Return a response's bytes to the memory account, the only place where that happens."""
        if connection.accounted_bytes:
            self.shares.adjust_answer_bytes(-connection.accounted_bytes)
        connection.response, connection.accounted_bytes = None, 0

    def stop(self) -> None:
        """Close all idle connections."""
        for idle in list(self.idle_connections.values()):
            for connection in list(idle):
                self.close(connection)

    def _sweep(self) -> None:
        oldest = self.loop.clock() - self.max_idle_seconds
        for key in list(self.idle_connections):
            server, address = key
            is_gone = self.inventory.find_address(server) != address or not self.inventory.is_usable(server)
            for connection in [c for c in self.idle_connections[key] if is_gone or c.idle_since < oldest]:
                self.close(connection)
            if not self.idle_connections[key]:
                del self.idle_connections[key]
        self.loop.call_in(SWEEP_INTERVAL_SECONDS, self._sweep)
