"""Bytes of a client to messages, and answers to bytes."""

from __future__ import annotations

from collections import deque

import httptools

from ..bodies.body import Body
from ..bodies.memory import BodyMemory
from ..core.message import CONTROL_HEADERS, Message, MessageError, decode
from .http import BODY, HEAD, HOP, KEPT, LONGEST, Payload

TARGET = 8192  # most bytes of a message's target
WIRE = 8 * BODY  # and of all it takes on the wire, however it is cut into chunks
NOTED = frozenset((b"content-length", b"transfer-encoding", b"connection", b"expect"))  # what is read before its body
READ = {
    name.encode(): name for name in (*CONTROL_HEADERS, "x-retried", "x-reservation", "connection")
}  # the rest passes by
REASON = {
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


class Fault(Exception):
    """Bytes that get an error answer; carries the status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class Reader:
    """Bytes of one connection to messages; every part is bounded.

    A message stands in `whole` once it is there, or, where its body is longer than `BODY` and there are `shares` for
    it, once it is plain that it is; its body then comes through its `stream`, which is also `coming` until its end."""

    def __init__(self, shares: BodyMemory | None = None, longest: int = LONGEST) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self.whole: deque[tuple[Payload, bool]] = deque()  # and whether the connection is kept after it
        self.coming: Body | None = None
        self.waits_to_continue = False
        self._shares, self._longest = shares, longest if shares is not None else BODY
        self._clear()

    def _clear(self) -> None:
        self.partial = self.headed = False
        self.size = 0  # of the body so far
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._noted: list[tuple[bytes, bytes]] = []  # of these, what says how the message goes on
        self._parts: list[bytes] = []
        self._head = self._fed = 0
        self._length = -1  # of the body, where it is told

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
            if self._fed > (WIRE if self.headed else HEAD):
                raise Fault(413 if self.headed else 431)

    def waiting(self) -> int:
        """Bytes of the bodies of what is whole and waits."""
        return sum(len(payload.body) for payload, _ in self.whole)

    def close(self) -> None:
        """The parser holds this object: together they would wait for the garbage collector."""
        self._parser = None
        if self.coming is not None:
            self.coming.abort()
            self.coming = None
        for payload, _ in self.whole:
            if payload.stream is not None:
                payload.stream.drop()
        self.whole.clear()

    def on_message_begin(self) -> None:
        self.partial = True

    def on_url(self, part: bytes) -> None:
        self._target += part
        if len(self._target) > TARGET:
            raise Fault(431)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:  # a trailer: it must not pass for a header
            return
        self._head += len(name) + len(value)
        if self._head > HEAD:
            raise Fault(431)
        if value and value[-1] <= 32:
            value = value.strip(b" \t")  # white space round a value is no part of it; the parser leaves what is behind
        header = name.lower(), value
        self._headers.append(header)
        if header[0] in NOTED:
            self._noted.append(header)

    def on_headers_complete(self) -> None:
        self.headed = True
        if not self._noted:
            return
        named = [name for name, _ in self._noted]
        lengths, codings = named.count(b"content-length"), named.count(b"transfer-encoding")
        if lengths + codings > 1:  # two framings may hide a message in a body; nothing of it is passed on
            raise Fault(400)
        for name, value in self._noted:
            if name == b"content-length" and (length := int(value)) > 0:
                self._length = length
                if length > self._longest:
                    raise Fault(413)
            if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
                raise Fault(400)
            if name == b"expect":
                self.waits_to_continue = True
        if self.waits_to_continue and self._shares is not None and (codings or self._length > 0):
            self._stream(expects=True)  # the message is decided on before its body is asked for

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > self._longest:
            raise Fault(413)
        if self.coming is not None:
            self._fed = 0  # what is counted is what comes between bytes of the body: extensions, trailers
            self.coming.put(part)
            return
        self._parts.append(part)
        if self.size > BODY:
            self._stream()

    def _stream(self, expects: bool = False) -> None:
        """From here on the body passes through, and its message stands in `whole`."""
        assert self._shares is not None and self._parser is not None
        self.coming = Body(self._shares, self._length, keep=True)
        for held in self._parts:
            self.coming.put(held)
        self._parts = []
        self._found(Payload(self._parser.get_method(), self._target, self._headers, b"", self.coming, expects=expects))

    def _found(self, payload: Payload) -> None:
        assert self._parser is not None
        keep = self._parser.should_keep_alive()
        if self._noted or not keep:  # without a word on it HTTP/1.1 keeps, and HTTP/1.0 does not
            payload.old = self._parser.get_http_version() == "1.0"
        self.whole.append((payload, keep))
        self.waits_to_continue = False

    def on_message_complete(self) -> None:
        assert self._parser is not None
        if self.coming is not None:
            body, self.coming = self.coming, None
            self._clear()
            body.end()
            return
        held = b"".join(self._parts) if self._parts else b""
        self._found(Payload(self._parser.get_method(), self._target, self._headers, held))
        self._clear()


def message(payload: Payload) -> Message:
    named: dict[str, str] = {}
    headers: list[tuple[bytes, bytes]] = []
    for header in payload.headers:
        field, value = header
        if not (value.isascii() and field.isascii()):
            raise MessageError("headers: not ASCII")
        if field in READ:
            name = READ[field]
            if name in named and name in CONTROL_HEADERS:  # two readers of it could take two different ones
                raise MessageError(f"{name}: twice")
            named[name] = value.decode("ascii")
        if field not in HOP:
            headers.append(header)
    if not payload.target.isascii():
        raise MessageError("headers: not ASCII")
    if "connection" in named:  # what it names is this hop's own
        own = {part.strip().encode() for part in named["connection"].lower().split(",")}
        headers = [h for h in headers if h[0] not in own or h[0] in KEPT]
    payload.headers = headers
    return decode(named, payload.target.decode("ascii"), payload)


def encode(
    status: int,
    body: bytes,
    keep: bool,
    after: float = 0.0,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> bytes:
    return begin(status, b"Content-Length: %d\r\n" % len(body), keep, after, headers) + body


def begin(
    status: int,
    framing: bytes,
    keep: bool,
    after: float = 0.0,
    headers: list[tuple[bytes, bytes]] | None = None,
) -> bytes:
    """The head of an answer; `framing` is the line that says how its body ends, or none."""
    head = b"HTTP/1.1 %d %s\r\n%s" % (status, REASON.get(status, b"Answer"), framing)
    if after > 0:
        head += b"Retry-After: %.3f\r\n" % after
    if not keep:
        head += b"Connection: close\r\n"
    if headers:
        head += b"".join([b"%s: %s\r\n" % header for header in headers])
    return head + b"\r\n"
