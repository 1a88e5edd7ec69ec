"""Bytes of a sim server to one answer, and an answer in the module's words."""

from __future__ import annotations

from collections.abc import Sequence

import httptools

from ..bodies.body import Body
from ..core.exchange import RelayResult
from .http import HOP_BY_HOP_HEADERS, MAX_BUFFERED_BODY_BYTES, MAX_HEADER_BYTES

INTERIM = 16  # 1xx answers in front of one answer at most
NOT_MEANT = 1 << 30  # a told length over this is a spoilt one, not a long answer
EARLY = 16384  # bytes of a body that is told to be long, until it counts as such: what is spoilt mostly ends before


class Malformed(Exception):
    """No answer can be made of these bytes; what was asked may have run."""


class TooMuch(Malformed):
    """The answer may be good, but is more than we can take: that speaks against no server."""


class Reply:
    """Bytes of one answer; `whole` once it is all there. What comes behind it is never looked into.

    A body of up to `held` bytes is held until then. Of a longer 200 the rest goes into `stream`, from the moment that
    it is asked to `flow`; the body of another status is not wanted by anybody, and is not held past there."""

    def __init__(
        self, most: int = MAX_BUFFERED_BODY_BYTES, held: int = MAX_BUFFERED_BODY_BYTES, bodiless: bool = False
    ) -> None:
        self.most, self._held, self._bodiless = most, held, bodiless  # bytes; the message was a HEAD
        self.stream: Body | None = None
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.whole = self.headed = self.keep = self.surplus = False
        self.status = 0
        self._head = b""  # what has come of the head
        self._parts: list[bytes] = []
        self.size = self._interim = 0
        self.length = -1  # of the body, where it is told
        self._chunked = False
        self._parser: httptools.HttpResponseParser | None = None

    def feed(self, data: bytes) -> None:
        """Raises Malformed."""
        while not self.headed:
            # The head is cut off by its empty line before it is parsed, so that the parser never sees a byte of
            # anything behind this answer: it would take a second copy for more of the first.
            data, self._head = self._head + data, b""
            end = data.find(b"\r\n\r\n") + 4
            if (end if end > 3 else len(data)) > MAX_HEADER_BYTES:
                raise Malformed
            if end < 4:
                self._head = data
                return
            self._read_head(data[:end])
            data = data[end:]
        if self._chunked:
            self._parse(data)
        else:
            self._take(data)
        if self.whole:
            self._parser = None  # it holds this object: together they would wait for the garbage collector

    def _read_head(self, head: bytes) -> None:
        self.headers, self._parser = [], httptools.HttpResponseParser(self)
        self._parse(head)
        status = self._parser.get_status_code()
        if status == 101 or status < 100:  # nobody asked for another protocol
            raise Malformed
        if status < 200:  # an interim answer: the real one follows
            self._interim += 1
            if self._interim > INTERIM:
                raise Malformed
            return
        lengths = [v for n, v in self.headers if n == b"content-length"]
        codings = [v for n, v in self.headers if n == b"transfer-encoding"]
        if len(lengths) + len(codings) > 1 or codings and codings[0].strip().lower() != b"chunked":
            raise Malformed
        self.headed, self.status, self._chunked = True, status, bool(codings)
        if lengths:
            self.length = int(lengths[0]) if lengths[0].strip().isdigit() else NOT_MEANT + 1
            if self.length > self.most:  # known at once: nothing of it needs to be waited for
                raise Malformed if self.length > NOT_MEANT else TooMuch
        if status in (204, 304) or self._bodiless:
            self.length, self._chunked = 0, False
        self.keep = (bool(codings) or self.length >= 0) and not any(
            n == b"connection" and b"close" in v.lower() for n, v in self.headers
        )

    def _parse(self, data: bytes) -> None:
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if not self.whole:
                raise Malformed from None
            self._more()  # it was behind a whole answer

    def _take(self, data: bytes) -> None:
        room = self.length - self.size if self.length >= 0 else self.most + 1
        self._add(data[:room])
        if self.size == self.length:
            self._complete()
            if len(data) > room:
                self._more()

    def _more(self) -> None:
        """Something stands behind the answer: the connection can't be trusted with another one."""
        self.surplus, self.keep = True, False

    def _add(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > self.most:
            raise TooMuch
        if self.stream is not None:
            self.stream.put(part)
        elif self.status == 200 or self.size <= self._held:
            self._parts.append(part)
        else:  # enough to know that it failed; what it goes on to say is wanted by nobody
            self._complete()
            self._more()

    @property
    def long(self) -> bool:
        """It is plain that it is longer than what is held whole, and it is the answer that was wanted."""
        told = self.length > self._held and self.size >= EARLY
        return self.status == 200 and not self.whole and (told or self.size > self._held)

    @property
    def gathered(self) -> int:
        """Bytes of the body that are held here."""
        return 0 if self.stream is not None else self.size

    def flow(self, stream: Body) -> None:
        """From now on the body goes there, beginning with what is held."""
        for part in self._parts:
            stream.put(part)
        self.stream, self._parts = stream, []

    def _complete(self) -> None:
        if self.whole:
            return
        self.whole, self.body, self._parts = True, b"".join(self._parts), []
        if self.stream is not None:
            self.stream.end()

    @property
    def begun(self) -> bool:
        """A part of the answer itself has come, and not the whole."""
        return not self.whole and (self.headed or bool(self._head))

    def end(self) -> None:
        """The connection ended: that is the end of an answer with no framing of its own, and breaks any other."""
        self.keep = False
        if self.headed and not self.whole and not self._chunked and self.length < 0:
            self._complete()

    # The parser's calls, about a head or a chunked body.

    def on_message_begin(self) -> None:
        if self.whole:  # a second answer right behind: nobody asked for it
            self._more()

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.headed:  # a trailer
            return
        if value and value[-1] <= 32:
            value = value.strip(b" \t")  # white space round a value is no part of it; the parser leaves what is behind
        self.headers.append((name.lower(), value))
        if len(self.headers) > 100:
            raise Malformed

    def on_body(self, part: bytes) -> None:
        if not self.whole:
            self._add(part)

    def on_message_complete(self) -> None:
        if self.headed and not self.whole:
            self._complete()


def outcome(reply: Reply, fields: Sequence[str]) -> RelayResult:
    """An answer in the module's words. What cannot be read in a header is passed over."""
    end = RelayResult("error")
    passed: list[tuple[bytes, bytes]] = []
    not_run = False
    for name, value in reply.headers:
        if name == b"x-allowance-used":
            end.used = max(0, 1 + int(_number(value, -1.0)))
        elif name == b"x-true-cost":
            end.cost = max(0.0, _number(value, 0.0))
        elif name == b"x-server-load":
            end.load = report(value, fields)
        elif name == b"x-not-processed":
            not_run = value == b"1"
        elif name not in HOP_BY_HOP_HEADERS:
            passed.append((name, value))
    if reply.status == 200:
        end.status, end.payload = "ok", (reply.stream or reply.body, passed)
    elif reply.status in (503, 504) and not_run:
        end.status = "full"
    return end


def _number(value: bytes, default: float) -> float:
    try:
        number = float(value)
    except ValueError:
        return default
    return number if abs(number) < 1e9 else default  # also passes over inf and nan


def report(value: bytes, fields: Sequence[str]) -> list[float]:
    """'TEXT inflight=7, util=0.61' in the order of the settings' fields; empty unless all are there."""
    found: dict[str, float] = {}
    for part in value.decode("ascii", "replace").removeprefix("TEXT").split(","):
        name, _, number = part.strip().partition("=")
        found[name] = _number(number.encode(), -1.0)
    return [found[f] for f in fields] if fields and all(found.get(f, -1.0) >= 0 for f in fields) else []
