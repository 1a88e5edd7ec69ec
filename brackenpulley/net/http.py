"""HTTP definitions that both sides share: size limits, hop-by-hop headers and the forwarded payload."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..bodies.body import Body

MAX_BUFFERED_BODY_BYTES = 65536  # a longer body is streamed
MAX_HEADER_BYTES = 16384  # all headers together
MAX_HEADER_FIELDS = 100  # of one message: a field of a few bytes costs some 150 bytes in memory
DEFAULT_MAX_BODY_BYTES = 32 << 20  # limit of a streamed body unless the operator's file sets another
# Headers that are not forwarded; x-timeout is among them because every relay gets a value of its own.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"transfer-encoding",
        b"content-length",
        b"te",
        b"trailer",
        b"upgrade",
        b"proxy-connection",
        b"host",
        b"expect",
        b"x-timeout",
    )
)
# Forwarded even if the client's Connection header names them.
END_TO_END_HEADERS = frozenset((b"x-request-id", b"idempotency-key"))


def append_body_slice(body: Body, buffers: deque[bytes | memoryview], chunked: bool) -> bool:
    """Append the next available slice of a body, framed, to `buffers`, and the end marker after the last slice.

    Returns False if `buffers` is empty afterwards, that is, if there is nothing to send yet.
    """
    slices = body.take()
    if slices and chunked:
        buffers.append(b"%x\r\n" % sum(map(len, slices)))
    buffers.extend(slices)
    if slices and chunked:
        buffers.append(b"\r\n")
    if body.is_complete and chunked:
        buffers.append(b"0\r\n\r\n")
    return bool(buffers)


def append_part(buffered: bytes | bytearray, part: bytes) -> bytes | bytearray:
    """Return `buffered` with `part` behind it, in one piece: parts of a few bytes would cost many times their size."""
    if not buffered:
        return part
    if not isinstance(buffered, bytearray):
        buffered = bytearray(buffered)
    buffered += part
    return buffered


@dataclass(slots=True)
class Payload:
    """The part of a client's request that is forwarded to a sim server unchanged."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    stream: Body | None = None  # replaces `body` if it is streamed; it may still be incomplete
    is_http10: bool = False  # an HTTP/1.0 client: its response cannot be chunked
    expects_continue: bool = False  # the client sends the body only after 100 Continue
