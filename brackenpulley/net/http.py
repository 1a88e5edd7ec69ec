"""What both sides know of HTTP: the payload that passes through, its limits, and the headers of a single hop."""

from __future__ import annotations

from dataclasses import dataclass

from ..bodies.body import Body

BODY, HEAD = 65536, 16384  # most bytes of a body that is taken whole, and of all headers
LONGEST = 32 << 20  # bytes of a longer one, unless the operator's file says otherwise
HOP = frozenset((b"connection", b"keep-alive", b"transfer-encoding", b"content-length", b"te", b"trailer", b"upgrade",
                 b"proxy-connection", b"host", b"expect", b"x-timeout"))
KEPT = frozenset((b"x-request-id", b"idempotency-key"))  # these pass through whatever else is said


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
