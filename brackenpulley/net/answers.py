"""Incremental parsing of HTTP responses, and their conversion to relay ends.

The south side reads sim servers' responses with it; the ledger's exporter and the fleet's HTTP client use the reader
alone."""

from __future__ import annotations

from collections.abc import Sequence

import httptools

from ..bodies.body import Body
from ..core.answer_progress import LONG_STAGES, AnswerStage
from ..core.exchange import RelayResult
from .http import HOP_BY_HOP_HEADERS, MAX_BUFFERED_BODY_BYTES, MAX_HEADER_BYTES, MAX_HEADER_FIELDS, append_part

MAX_INTERIM_RESPONSES = 16  # 1xx responses before one final response
MAX_PLAUSIBLE_BYTES = 1 << 30  # a larger Content-Length is taken for a corrupt header, not for a long body
STREAM_MIN_BYTES = 16384  # of a body declared long, before it is streamed: most corrupt responses end before this


class MalformedResponseError(Exception):
    """The bytes are no valid response. The request may have been processed all the same."""


class ResponseTooLargeError(MalformedResponseError):
    """The response may be valid but exceeds our own limit, so it doesn't count against the server."""


class ResponseReader:
    """Parses the bytes of one response; bytes behind its end are never parsed.

    A body of up to `buffer_limit` bytes is buffered until `is_complete`. The rest of a longer body with status 200 goes
    to the stream passed to `stream_to`. A longer body with another status is cut off there, since nobody reads it.
    Raises ResponseTooLargeError past `max_bytes` of body. `has_no_body`: the request was a HEAD."""

    def __init__(
        self,
        max_bytes: int = MAX_BUFFERED_BODY_BYTES,
        buffer_limit: int = MAX_BUFFERED_BODY_BYTES,
        has_no_body: bool = False,
    ) -> None:
        self.max_bytes = max_bytes
        self._buffer_limit = buffer_limit
        self._has_no_body = has_no_body
        self.stream: Body | None = None
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.is_complete = False
        self.has_head = False
        self.keep_alive = False
        self.has_surplus = False  # bytes came behind the end of the response
        self.status = 0
        self._head_bytes = b""  # received part of a head that is not complete yet
        self._buffered: bytes | bytearray = b""
        self.body_size = 0
        self._interim_count = 0
        self.content_length = -1  # -1 = not declared
        self._is_chunked = False
        self._parser: httptools.HttpResponseParser | None = None

    def feed(self, data: bytes) -> None:
        """Parse the next bytes. Raises MalformedResponseError."""
        while not self.has_head:
            # The head is cut off at its empty line before it is parsed, so that the parser never sees a byte behind
            # this response: it would take a duplicated response for a continuation of the first.
            data, self._head_bytes = self._head_bytes + data, b""
            head_end = data.find(b"\r\n\r\n") + 4
            if (head_end if head_end > 3 else len(data)) > MAX_HEADER_BYTES:
                raise MalformedResponseError
            if head_end < 4:
                self._head_bytes = data
                return
            self._read_head(data[:head_end])
            data = data[head_end:]
        if self._is_chunked:
            self._parse(data)
        else:
            self._read_unchunked(data)
        if self.is_complete:
            self._parser = None  # breaks the reference cycle with this object, which would need the garbage collector

    def _read_head(self, head: bytes) -> None:
        self.headers, self._parser = [], httptools.HttpResponseParser(self)
        self._parse(head)
        status = self._parser.get_status_code()
        if status == 101 or status < 100:  # no protocol upgrade was requested
            raise MalformedResponseError
        if status < 200:  # an interim response: the final one follows
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise MalformedResponseError
            return
        lengths = [v for n, v in self.headers if n == b"content-length"]
        codings = [v for n, v in self.headers if n == b"transfer-encoding"]
        if len(lengths) + len(codings) > 1 or codings and codings[0].strip().lower() != b"chunked":
            raise MalformedResponseError
        self.has_head, self.status, self._is_chunked = True, status, bool(codings)
        if lengths:
            self.content_length = int(lengths[0]) if lengths[0].strip().isdigit() else MAX_PLAUSIBLE_BYTES + 1
            if self.content_length > self.max_bytes:  # rejected at once, without waiting for the body
                raise MalformedResponseError if self.content_length > MAX_PLAUSIBLE_BYTES else ResponseTooLargeError
        if status in (204, 304) or self._has_no_body:
            self.content_length, self._is_chunked = 0, False
        self.keep_alive = (bool(codings) or self.content_length >= 0) and not any(
            n == b"connection" and b"close" in v.lower() for n, v in self.headers
        )

    def _parse(self, data: bytes) -> None:
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.is_complete:
                raise MalformedResponseError from None
            self._note_surplus()  # the invalid bytes are behind a complete response

    def _read_unchunked(self, data: bytes) -> None:
        remaining = self.content_length - self.body_size if self.content_length >= 0 else self.max_bytes + 1
        self._add_body(data[:remaining])
        if self.body_size == self.content_length:
            self._complete()
            if len(data) > remaining:
                self._note_surplus()

    def _note_surplus(self) -> None:
        """Bytes follow the response, so the connection can't be reused."""
        self.has_surplus, self.keep_alive = True, False

    def _add_body(self, part: bytes) -> None:
        self.body_size += len(part)
        if self.body_size > self.max_bytes:
            raise ResponseTooLargeError
        if self.stream is not None:
            self.stream.put(part)
        elif self.status == 200 or self.body_size <= self._buffer_limit:
            self._buffered = append_part(self._buffered, part)
        else:  # a failed response's body beyond the buffer limit is discarded
            self._complete()
            self._note_surplus()

    @property
    def is_long(self) -> bool:
        """Whether this is a successful response whose body exceeds the buffer limit and should be streamed."""
        is_declared_long = self.content_length > self._buffer_limit and self.body_size >= STREAM_MIN_BYTES
        return self.status == 200 and not self.is_complete and (is_declared_long or self.body_size > self._buffer_limit)

    @property
    def stage(self) -> AnswerStage:
        """How far the response has come."""
        if not self.has_head:
            return AnswerStage.PARTIAL_HEAD if self._head_bytes else AnswerStage.NONE
        is_declared_short = 0 <= self.content_length <= self._buffer_limit
        if self.status != 200 or self.is_complete or is_declared_short:
            return AnswerStage.SHORT
        return AnswerStage.BODY if self.body_size else AnswerStage.HEAD

    @property
    def may_be_long(self) -> bool:
        """Whether this is a successful response that has begun and is not known to be a short one."""
        return self.stage in LONG_STAGES

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the body that are buffered here."""
        return 0 if self.stream is not None else self.body_size

    def stream_to(self, stream: Body) -> None:
        """Move the buffered body to `stream`, and send the rest there as it comes."""
        stream.put(bytes(self._buffered))
        self.stream, self._buffered = stream, b""

    def _complete(self) -> None:
        if self.is_complete:
            return
        self.is_complete, self.body, self._buffered = True, bytes(self._buffered), b""
        if self.stream is not None:
            self.stream.end()

    @property
    def is_partial(self) -> bool:
        """Whether a part of the response has come, but not all of it."""
        return not self.is_complete and (self.has_head or bool(self._head_bytes))

    def handle_eof(self) -> None:
        """Record the connection's end, which completes a response without framing and truncates any other."""
        self.keep_alive = False
        if self.has_head and not self.is_complete and not self._is_chunked and self.content_length < 0:
            self._complete()

    # Callbacks of the parser, which is fed a head or a chunked body.

    def on_message_begin(self) -> None:
        """Note a second response directly behind this one."""
        if self.is_complete:
            self._note_surplus()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field. Raises MalformedResponseError past MAX_HEADER_FIELDS."""
        if self.has_head:  # a trailer
            return
        if value and value[-1] <= 32:
            value = value.strip(b" \t")  # the parser leaves the trailing white space, which is not part of the value
        self.headers.append((name.lower(), value))
        if len(self.headers) > MAX_HEADER_FIELDS:
            raise MalformedResponseError

    def on_body(self, part: bytes) -> None:
        """Add a piece of a chunked body."""
        if not self.is_complete:
            self._add_body(part)

    def on_message_complete(self) -> None:
        """Complete the response, unless only its head was parsed."""
        if self.has_head and not self.is_complete:
            self._complete()


def to_relay_end(response: ResponseReader, load_fields: Sequence[str]) -> RelayResult:
    """Convert a response to the relay end that the core expects. Headers that can't be parsed are ignored."""
    relay_end = RelayResult("error")
    forwarded: list[tuple[bytes, bytes]] = []
    is_not_processed = False
    for name, value in response.headers:
        if name == b"x-allowance-used":
            relay_end.used = max(0, 1 + int(_parse_number(value, -1.0)))
        elif name == b"x-true-cost":
            relay_end.cost = max(0.0, _parse_number(value, 0.0))
        elif name == b"x-server-load":
            relay_end.load = parse_load_report(value, load_fields)
        elif name == b"x-not-processed":
            is_not_processed = value == b"1"
        elif name not in HOP_BY_HOP_HEADERS:
            forwarded.append((name, value))
    if response.status == 200:
        relay_end.status, relay_end.payload = "ok", (response.stream or response.body, forwarded)
    elif response.status in (503, 504) and is_not_processed:
        relay_end.status = "full"
    return relay_end


def _parse_number(value: bytes, default: float) -> float:
    try:
        number = float(value)
    except ValueError:
        return default
    return number if abs(number) < 1e9 else default  # also excludes inf and nan


def parse_load_report(value: bytes, fields: Sequence[str]) -> list[float]:
    """Parse 'TEXT inflight=7, util=0.61' into the values of `fields`, in their order; empty unless all are present."""
    found: dict[str, float] = {}
    for part in value.decode("ascii", "replace").removeprefix("TEXT").split(","):
        name, _, number = part.strip().partition("=")
        found[name] = _parse_number(number.encode(), -1.0)
    return [found[f] for f in fields] if fields and all(found.get(f, -1.0) >= 0 for f in fields) else []
