"""Bytes of a client to messages, and answers to bytes."""

from __future__ import annotations

from collections import deque

import httptools

from ..core.message import CONTROL, Message, MessageError, decode
from .http import BODY, HEAD, HOP, KEPT, Payload

TARGET = 8192  # most bytes of a message's target
WIRE = 8 * BODY  # and of all it takes on the wire, however it is cut into chunks
READ = {name.encode(): name for name in (*CONTROL, "x-retried", "x-reservation", "connection")}  # the rest passes by
REASON = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 408: "Request Timeout",
          405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large", 429: "Too Many Requests",
          431: "Request Header Fields Too Large", 500: "Internal Server Error", 502: "Bad Gateway",
          503: "Service Unavailable", 504: "Gateway Timeout"}


class Fault(Exception):
    """Bytes that get an error answer; carries the status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Reader:
    """Bytes of one connection to whole messages; every part is bounded."""

    def __init__(self) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.whole: deque[tuple[Payload, bool]] = deque()  # and whether the connection is kept after it
        self.waits_to_continue = False
        self._clear()

    def _clear(self) -> None:
        self.partial = False
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._parts: list[bytes] = []
        self._size = self._fed = 0
        self._headed = False

    def feed(self, data: memoryview) -> None:
        """Raises Fault. What came whole before the fault stands in `whole`."""
        assert self._parser is not None
        before = len(self.whole)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise Fault(400) from None
        except httptools.HttpParserCallbackError as error:
            cause = error.__context__
            raise Fault(cause.status if isinstance(cause, Fault) else 400) from None
        except httptools.HttpParserError:
            raise Fault(400) from None
        if self.partial and len(self.whole) == before:
            # httptools keeps an unfinished header or trailer to itself, so the bytes fed are counted, but for a piece
            # that also holds the end of the message before: most of it may be that one's body.
            self._fed += len(data)
            if self._fed > (WIRE if self._headed else HEAD):
                raise Fault(413 if self._headed else 431)

    def close(self) -> None:
        """The parser holds this object: together they would wait for the garbage collector."""
        self.whole.clear()
        self._parser = None

    def on_message_begin(self) -> None:
        self._clear()
        self.partial = True

    def on_url(self, part: bytes) -> None:
        self._target += part
        if len(self._target) > TARGET:
            raise Fault(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._headed:  # a trailer: it must not pass for a header
            return
        self._size += len(name) + len(value)
        if self._size > HEAD:
            raise Fault(431)
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._headed, self._size = True, 0
        named = [name for name, _ in self._headers]
        lengths, codings = named.count(b"content-length"), named.count(b"transfer-encoding")
        if lengths + codings > 1:  # two framings may hide a message in a body; nothing of it is passed on
            raise Fault(400)
        for name, value in self._headers:
            if name == b"content-length" and int(value) > BODY:
                raise Fault(413)
            if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                raise Fault(400)
            if name == b"expect":
                self.waits_to_continue = True

    def on_body(self, part: bytes) -> None:
        self._size += len(part)
        if self._size > BODY:
            raise Fault(413)
        self._parts.append(part)

    def on_message_complete(self) -> None:
        assert self._parser is not None
        found = Payload(self._parser.get_method(), self._target, self._headers, b"".join(self._parts))
        self.whole.append((found, self._parser.should_keep_alive()))
        self.waits_to_continue = False
        self._clear()


def message(payload: Payload) -> Message:
    named: dict[str, str] = {}
    for field, value in payload.headers:
        if not (value.isascii() and field.isascii()):
            raise MessageError("headers: not ASCII")
        if name := READ.get(field):
            if name in named and name in CONTROL:  # two readers of it could take two different ones
                raise MessageError(f"{name}: twice")
            named[name] = value.decode("ascii")
    if not payload.target.isascii():
        raise MessageError("headers: not ASCII")
    headers = [h for h in payload.headers if h[0] not in HOP]
    if "connection" in named:  # what it names is this hop's own
        own = {part.strip().encode() for part in named["connection"].lower().split(",")}
        headers = [h for h in headers if h[0] not in own or h[0] in KEPT]
    payload.headers = headers
    return decode(named, payload.target.decode("ascii"), payload)


def encode(status: int, body: bytes, keep: bool, after: float = 0.0, headers: list[tuple[bytes, bytes]] | None = None,
           ) -> bytes:
    lines = [f"HTTP/1.1 {status} {REASON.get(status, 'Answer')}\r\nContent-Length: {len(body)}\r\n"]
    if after > 0:
        lines.append(f"Retry-After: {after:.3f}\r\n")
    if not keep:
        lines.append("Connection: close\r\n")
    head = "".join(lines).encode()
    for name, value in headers or ():
        head += name + b": " + value + b"\r\n"
    return head + b"\r\n" + body
