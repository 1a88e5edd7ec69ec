"""State of one connection to a sim server, and of one relay on it. `south.Southside` owns and drives both."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from ..address import Address
from ..bodies.body import Body
from ..core.answer_progress import AnswerProgress
from ..core.exchange import RelayResult
from ..core.message import Message
from .answers import ResponseReader
from .loop import Loop, Timer

ServerKey = tuple[str, Address]  # id and address: a new sim server may reuse the address of a removed one


class RelayOwner(Protocol):
    """What a relay needs of the south side."""

    loop: Loop

    def close(self, connection: ServerConnection) -> None:
        """Close a connection."""

    def start_response_stream(self, connection: ServerConnection, relay: ServerRelay, response: ResponseReader) -> None:
        """Stream a response to the client."""


class ServerConnection:
    """A connection to one sim server, which carries one relay at a time.

    Owned by Southside and closed in `Southside.close` alone."""

    __slots__ = ("sock", "key", "relay", "response", "accounted_bytes", "idle_since", "is_connected", "idle_seconds")

    def __init__(self, sock: socket.socket, key: ServerKey, now: float) -> None:
        self.sock, self.key, self.idle_since = sock, key, now
        self.relay: ServerRelay | None = None
        self.response: ResponseReader | None = None
        self.accounted_bytes = 0  # buffered bytes of the response that are entered in the memory account
        self.is_connected = False
        self.idle_seconds = 0.0  # how long it had been idle when its current relay took it


class ServerRelay:
    """One relay of a message to a sim server. `drop` cancels it by closing its connection.

    Times are those of the loop's clock, in seconds."""

    __slots__ = (
        "south",
        "message",
        "server",
        "deadline",
        "on_end",
        "on_stream_start",
        "on_response_begun",
        "has_response_begun",
        "held_since",
        "connection",
        "send_queue",
        "request_stream",
        "is_chunked",
        "is_body_queued",
        "has_begun",
        "is_written",
        "timer",
        "has_stall_timer",
        "last_progress",
        "acknowledged_bytes",
        "response_stream",
        "written_at",
    )

    def __init__(
        self,
        south: RelayOwner,
        message: Message,
        server: str,
        deadline: float,
        on_end: Callable[[RelayResult], None],
        on_stream_start: Callable[[RelayResult], None],
        on_response_begun: Callable[[], None],
    ) -> None:
        self.south, self.message, self.server, self.deadline, self.on_end = south, message, server, deadline, on_end
        self.on_stream_start, self.on_response_begun = on_stream_start, on_response_begun
        self.held_since = 0.0  # when the first byte came of a body that may be long and is buffered; 0 = none is
        self.has_response_begun = False  # the head of a response that is long or may be has come, and was reported
        self.connection: ServerConnection | None = None
        self.send_queue: deque[bytes | memoryview] = deque()  # bytes that the socket has not accepted yet
        self.request_stream: Body | None = None  # body of a message too long to be buffered
        self.is_chunked = False  # framing of the request stream
        self.is_body_queued = True  # the whole message is in the send queue or sent
        self.has_begun = False  # the first byte is sent
        self.is_written = False  # the last byte is sent
        self.has_stall_timer = False  # a response has begun, and its progress is checked
        self.last_progress = 0.0  # when bytes were last sent or received, or seen to be acknowledged
        self.acknowledged_bytes = 0  # on the connection, as last seen while sending a request stream
        self.written_at = 0.0  # when the last byte of a request stream was sent; 0 = no request stream
        self.response_stream: Body | None = None  # body of a response too long to be buffered
        self.timer: Timer | None = None

    def drop(self) -> bool:
        """Cancel the relay without reporting an end; True if its last byte was sent, so it may have run."""
        if self.connection is not None:
            connection, self.connection = self.connection, None
            connection.relay = None
            self.south.close(connection)
        if self.timer is not None:
            self.timer.cancel()
        if self.response_stream is not None:
            self.response_stream.drop()
        return self.is_written

    def recall(self) -> bool:
        """Cancel the relay if none of its bytes is sent yet; True if it was cancelled."""
        if self.has_begun or self.connection is None:
            return False
        self.drop()
        return True

    def stream_now(self) -> bool:
        """Stream a response that has begun and may be a long one, if its server still sends it; True if it does."""
        connection = self.connection
        if connection is None or connection.response is None or self.response_stream is not None:
            return False
        if not self.answer_progress().can_pass_on:
            return False
        self.south.start_response_stream(connection, self, connection.response)
        return True

    def answer_progress(self) -> AnswerProgress:
        """Return how far the response has come."""
        connection = self.connection
        if connection is None or connection.response is None or not self.is_written:
            return AnswerProgress()
        now, response = self.south.loop.clock(), connection.response
        quiet_seconds = now - self.last_progress if self.last_progress else 0.0
        held_seconds = now - self.held_since if self.held_since else -1.0
        return AnswerProgress(response.stage, response.body_size, quiet_seconds, held_seconds)
