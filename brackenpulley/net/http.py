"""What both sides know of HTTP: the payload that passes through, its limits, and the headers of a single hop."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from ..bodies.body import Body

BODY, HEAD = 65536, 16384  # most bytes of a body that is taken whole, and of all headers
LONGEST = 32 << 20  # bytes of a longer one, unless the operator's file says otherwise
HOP = frozenset(
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
KEPT = frozenset((b"x-request-id", b"idempotency-key"))  # these pass through whatever else is said


def pass_on(body: Body, out: deque[bytes | memoryview], chunked: bool) -> bool:
    """The next slice of a body and, where it was the last one, its end, framed; False where there is nothing yet."""
    slices = body.take()
    if slices and chunked:
        out.append(b"%x\r\n" % sum(map(len, slices)))
    out.extend(slices)
    if slices and chunked:
        out.append(b"\r\n")
    if body.is_complete and chunked:
        out.append(b"0\r\n\r\n")
    return bool(out)


@dataclass(slots=True)
class Payload:
    """What passes through to a sim server unchanged."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    stream: Body | None = None  # in place of the body where that is long: it may still be coming
    old: bool = False  # asked in HTTP/1.0: its answer cannot be chunked
    expects: bool = False  # its body comes once it is asked for by 100 Continue
