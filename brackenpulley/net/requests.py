"""HTTP/1.1 server codec: parses a client's bytes into messages and encodes responses.

The north side uses all of it; the control API and the stand-ins use the reader and the encoders.
"""

from __future__ import annotations

import sys
from collections import deque

import httptools

from ..bodies.body import Body
from ..bodies.memory import BodyMemory
from ..core.message import CONTROL_HEADERS, Message, MessageError, decode
from .http import (
    DEFAULT_MAX_BODY_BYTES,
    END_TO_END_HEADERS,
    HOP_BY_HOP_HEADERS,
    MAX_BUFFERED_BODY_BYTES,
    MAX_HEADER_BYTES,
    MAX_HEADER_FIELDS,
    Payload,
    append_part,
)
from .input_memory import FIELD_OVERHEAD_BYTES, REQUEST_OVERHEAD_BYTES

MAX_TARGET_BYTES = 8192
MAX_WIRE_BYTES = 8 * MAX_BUFFERED_BODY_BYTES  # one request as received, including its chunk framing
# Headers that decide how the body is framed and whether the connection persists.
FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding", b"connection", b"expect"))
# Headers that the ingress interprets; all others are only forwarded.
INTERPRETED_HEADERS = {name.encode(): name for name in (*CONTROL_HEADERS, "x-retried", "x-reservation", "connection")}
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    403: b"Forbidden",
    404: b"Not Found",
    408: b"Request Timeout",
    405: b"Method Not Allowed",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class RequestError(Exception):
    """A request that cannot be parsed or exceeds a limit; `status` is the HTTP status to respond with."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class RequestReader:
    """Incremental parser of the requests on one connection; every part of a request is bounded.

    A request is appended to `complete` once its last byte has arrived. If its body exceeds MAX_BUFFERED_BODY_BYTES and
    `shares` were given, it is appended as soon as that is known; its body then arrives through the payload's `stream`,
    which is also `open_body` until it ends.

    At most `max_queued` requests are kept in `complete`. One that ends while it is full is only counted,
    in `unqueued_count`, however many arrive in one read.
    """

    def __init__(
        self,
        shares: BodyMemory | None = None,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        max_queued: int = sys.maxsize,
    ) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.complete: deque[tuple[Payload, bool]] = deque()  # with whether the connection persists after the request
        self.unqueued_count = 0
        self._ended_count = 0  # requests whose last byte has arrived
        self._max_queued = max_queued
        self.open_body: Body | None = None
        self.awaits_continue = False
        self._shares, self._max_body_bytes = (
            shares,
            max_body_bytes if shares is not None else MAX_BUFFERED_BODY_BYTES,
        )
        self._clear()

    def _clear(self) -> None:
        self.is_partial = self.has_headers = False
        self.body_bytes = 0  # received so far
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._framing_headers: list[tuple[bytes, bytes]] = []  # those of `_headers` that are in FRAMING_HEADERS
        self._body: bytes | bytearray = b""
        self._field_count = 0
        self._header_bytes = self._fed_bytes = 0
        self._content_length = -1  # -1 if not declared

    def feed(self, data: memoryview) -> None:
        """Parse received bytes. Raises RequestError; requests that ended before the error are in `complete`."""
        assert self._parser is not None
        ended_before = self._ended_count
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise RequestError(400) from None
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise RequestError(cause.status if isinstance(cause, RequestError) else 400) from None
        except httptools.HttpParserError:
            raise RequestError(400) from None
        if self.is_partial and self._ended_count == ended_before:
            # httptools buffers an unfinished header or trailer internally, so the bytes fed to it are counted here.
            # Data that also ends a previous request is not counted: most of it may be that request's body.
            self._fed_bytes += len(data)
            if self._fed_bytes > (MAX_WIRE_BYTES if self.has_headers else MAX_HEADER_BYTES):
                raise RequestError(413 if self.has_headers else 431)

    @property
    def is_full(self) -> bool:
        """Whether no further request is kept until one of `complete` is taken."""
        return len(self.complete) >= self._max_queued

    @property
    def held_bytes(self) -> int:
        """Memory of the unfinished request and of the queued ones, without the bodies that are streamed."""
        held = len(self._body) + self._fed_bytes + self._field_count * FIELD_OVERHEAD_BYTES
        for payload, _ in self.complete:
            held += len(payload.body) + len(payload.headers) * FIELD_OVERHEAD_BYTES + REQUEST_OVERHEAD_BYTES
        return held

    def discard_input(self) -> None:
        """Release what has been received and is not answered. Nothing may be fed after that."""
        has_headers = self.has_headers  # North discards more behind a valid head than behind none
        self.close()
        self._clear()
        self.has_headers = has_headers

    def count_queued_bytes(self) -> int:
        """Return the number of body bytes in the complete requests that are still queued."""
        return sum(len(payload.body) for payload, _ in self.complete)

    def close(self) -> None:
        """Release the bodies and break the reference cycle with the parser, which would need the garbage collector."""
        self._parser = None
        if self.open_body is not None:
            self.open_body.abort()
            self.open_body = None
        for payload, _ in self.complete:
            if payload.stream is not None:
                payload.stream.drop()
        self.complete.clear()

    def on_message_begin(self) -> None:
        """Handle the start of a request (callback of httptools)."""
        self.is_partial = True

    def on_url(self, part: bytes) -> None:
        """Handle a part of the request target (callback of httptools)."""
        self._target += part
        if len(self._target) > MAX_TARGET_BYTES:
            raise RequestError(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header or a trailer (callback of httptools)."""
        if self.has_headers:  # a trailer must not be taken for a header
            return
        self._header_bytes += len(name) + len(value)
        self._field_count += 1
        if self._header_bytes > MAX_HEADER_BYTES or self._field_count > MAX_HEADER_FIELDS:
            raise RequestError(431)
        if value and value[-1] <= 32:
            value = value.strip(b" \t")  # optional white space around the value; httptools leaves it at the end
        header = name.lower(), value
        self._headers.append(header)
        if header[0] in FRAMING_HEADERS:
            self._framing_headers.append(header)

    def on_headers_complete(self) -> None:
        """Check the framing headers (callback of httptools)."""
        self.has_headers = True
        if not self._framing_headers:
            return
        names = [name for name, _ in self._framing_headers]
        lengths, codings = names.count(b"content-length"), names.count(b"transfer-encoding")
        if lengths + codings > 1:  # conflicting framings allow request smuggling, so nothing is forwarded
            raise RequestError(400)
        for name, value in self._framing_headers:
            if name == b"content-length" and (length := int(value)) > 0:
                self._content_length = length
                if length > self._max_body_bytes:
                    raise RequestError(413)
            if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                raise RequestError(400)
            if name == b"expect":
                self.awaits_continue = True
        if (
            self.awaits_continue
            and self._shares is not None
            and (codings or self._content_length > 0)
            and not self.is_full
        ):
            self._start_streaming(expects_continue=True)  # the message is decided on before its body is requested

    def on_body(self, part: bytes) -> None:
        """Handle a part of the body (callback of httptools)."""
        self.body_bytes += len(part)
        if self.body_bytes > self._max_body_bytes:
            raise RequestError(413)
        if self.open_body is not None:
            self._fed_bytes = 0  # only the bytes between body data are limited: chunk extensions and trailers
            self.open_body.put(part)
            return
        if self.is_full:
            return
        self._body = append_part(self._body, part)
        if self.body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._start_streaming()

    def _start_streaming(self, expects_continue: bool = False) -> None:
        """Queue the request now and pass the rest of its body through a stream."""
        assert self._shares is not None and self._parser is not None
        self.open_body = Body(self._shares, self._content_length, keep=True)
        self.open_body.put(bytes(self._body))
        self._body = b""
        self._queue(
            Payload(
                self._parser.get_method(),
                self._target,
                self._headers,
                b"",
                self.open_body,
                expects_continue=expects_continue,
            )
        )

    def _queue(self, payload: Payload) -> None:
        assert self._parser is not None
        if self.complete and len(self.complete) >= self._max_queued:
            self.unqueued_count += 1
            return
        keep_alive = self._parser.should_keep_alive()
        if self._framing_headers or not keep_alive:  # otherwise it is HTTP/1.1, which persists by default
            payload.is_http10 = self._parser.get_http_version() == "1.0"
        self.complete.append((payload, keep_alive))
        self.awaits_continue = False

    def on_message_complete(self) -> None:
        """Queue the request or end its stream (callback of httptools)."""
        assert self._parser is not None
        self._ended_count += 1
        if self.open_body is not None:
            body, self.open_body = self.open_body, None
            self._clear()
            body.end()
            return
        buffered = bytes(self._body) if self._body else b""
        self._queue(Payload(self._parser.get_method(), self._target, self._headers, buffered))
        self._clear()


def decode_message(payload: Payload) -> Message:
    """Build a message from a request and remove the hop-by-hop headers from `payload`. Raises MessageError."""
    interpreted: dict[str, str] = {}
    forwarded: list[tuple[bytes, bytes]] = []
    for header in payload.headers:
        field, value = header
        if not (value.isascii() and field.isascii()):
            raise MessageError("headers: not ASCII")
        if field in INTERPRETED_HEADERS:
            name = INTERPRETED_HEADERS[field]
            if name in interpreted and name in CONTROL_HEADERS:  # two recipients could each pick a different one
                raise MessageError(f"{name}: twice")
            interpreted[name] = value.decode("ascii")
        if field not in HOP_BY_HOP_HEADERS:
            forwarded.append(header)
    if not payload.target.isascii():
        raise MessageError("headers: not ASCII")
    if "connection" in interpreted:  # the headers it names are hop-by-hop too
        hop_by_hop = {part.strip().encode() for part in interpreted["connection"].lower().split(",")}
        forwarded = [h for h in forwarded if h[0] not in hop_by_hop or h[0] in END_TO_END_HEADERS]
    payload.headers = forwarded
    return decode(interpreted, payload.target.decode("ascii"), payload)


def encode_response(
    status: int,
    body: bytes,
    keep_alive: bool,
    retry_after: float = 0.0,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> bytes:
    """Encode a whole response. `retry_after` is in seconds; 0 leaves the header out."""
    return encode_head(status, b"Content-Length: %d\r\n" % len(body), keep_alive, retry_after, headers) + body


def encode_head(
    status: int,
    framing: bytes,
    keep_alive: bool,
    retry_after: float = 0.0,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> bytes:
    """Encode the head of a response; `framing` is the header line that tells where the body ends, or empty."""
    head = b"HTTP/1.1 %d %s\r\n%s" % (status, REASON_PHRASES.get(status, b"Answer"), framing)
    if retry_after > 0:
        head += b"Retry-After: %.3f\r\n" % retry_after
    if not keep_alive:
        head += b"Connection: close\r\n"
    if headers:
        head += b"".join([b"%s: %s\r\n" % header for header in headers])
    return head + b"\r\n"
