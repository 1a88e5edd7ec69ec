"""State of one client connection, which `north.North` owns."""

from __future__ import annotations

import socket
from collections import deque

from ..bodies.body import Body
from ..bodies.delivery import Delivery
from ..bodies.pace import Pace
from ..core.exchange import Exchange
from .requests import RequestReader


class ClientConnection:
    """State of one client connection. `North` owns it, and `North.close` alone closes it.

    | state       | `is_busy` | further attributes                                       | reads input                |
    | ----------- | --------- | -------------------------------------------------------- | -------------------------- |
    | idle        | no        | no partial request                                       | yes                        |
    | receiving   | no        | `reader` holds a partial request                         | yes                        |
    | in progress | yes       | `exchange`                                               | while the queue has room   |
    | uploading   | yes       | also `request_body`, which is streamed                   | while the body has room    |
    | responding  | yes       | `outgoing`, or `response_body` if streamed               | as in progress             |
    | discarding  | yes       | `discard_until`: answered before the end of its request  | yes, and discards it       |
    | closing     | yes       | `keep_alive` is false: half-closed after the response    | as in progress             |
    | half-closed | yes       | `discard_until`, `is_unparsed`: sending side is shut     | yes, and discards it       |

    Input that is no longer parsed (`is_unparsed`) is still read, so that the end of the connection is noticed in every
    state. While reading is paused for lack of room, `North._check_peers` queries the socket instead. Every connection
    that the ingress ends is half-closed first: a close with unread input is a reset, which can destroy the last
    response.
    """

    __slots__ = (
        "sock",
        "reader",
        "exchange",
        "is_busy",
        "keep_alive",
        "outgoing",
        "last_progress",
        "delivery",
        "is_reading",
        "close_after_response",
        "message_number",
        "has_pipeline_overflow",
        "pace",
        "request_body",
        "response_body",
        "is_chunked",
        "is_http10",
        "discard_until",
        "discarded_bytes",
        "is_unparsed",
        "held_bytes",
        "payload_bytes",
    )

    def __init__(self, sock: socket.socket, now: float, reader: RequestReader) -> None:
        self.sock, self.reader = sock, reader
        self.exchange: Exchange | None = None
        self.is_busy = False  # a message is in progress or its response is not fully written
        self.keep_alive = True
        self.outgoing: deque[bytes | memoryview] = deque()  # response data that the socket has not accepted yet
        self.last_progress = now  # when it became idle, or last wrote response data
        self.delivery: Delivery | None = None  # of a response that the socket did not accept at once
        self.pace = Pace(now)
        self.is_reading = True
        self.close_after_response = False
        self.message_number = 0  # of the latest message, counted from 1
        self.has_pipeline_overflow = False  # more than MAX_PIPELINED_MESSAGES were queued
        self.request_body: Body | None = None  # streamed body of the message in progress
        self.response_body: Body | None = None  # streamed body of its response
        self.is_chunked = False  # framing of `response_body`
        self.is_http10 = False  # of the message in progress
        self.discard_until = 0.0  # input is read and discarded until then; 0 if it is not
        self.discarded_bytes = 0
        self.is_unparsed = False  # input is no longer parsed
        self.held_bytes = 0  # as entered in the account of input memory
        self.payload_bytes = 0  # of the buffered body of the message in progress

    def measure_input(self) -> int:
        """Return the memory that unanswered input of this connection holds."""
        body = self.request_body or self.reader.open_body
        return self.reader.held_bytes + self.payload_bytes + (body.held_bytes if body is not None else 0)

    @property
    def is_free(self) -> bool:
        """Whether no request is in progress or queued and no response is left to be written.

        Between two queued requests a connection is not busy for a moment, and not free either.
        """
        return not (self.is_busy or self.reader.complete or self.reader.unqueued_count or self.outgoing)

    @property
    def is_idle(self) -> bool:
        """Whether it is free and nothing of a next request has been received."""
        return self.is_free and not self.reader.is_partial

    @property
    def is_awaiting_rest(self) -> bool:
        """Whether it is free but for a request that has been received in part."""
        return self.is_free and self.reader.is_partial

    @property
    def is_receiving(self) -> bool:
        """Whether a request is not whole yet and nothing but its rest is waited for, so that it can be refused."""
        if self.exchange is not None:
            return self.exchange.message.is_body_pending
        return self.is_awaiting_rest

    @property
    def last_input_at(self) -> float:
        """When bytes of the request that is being received came last."""
        return max(self.pace.last_progress_at, self.pace.message_started_at)
