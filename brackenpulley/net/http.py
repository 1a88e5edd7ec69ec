"""What both sides know of HTTP: the payload that passes through, its limits, and the headers of a single hop."""

from __future__ import annotations

from dataclasses import dataclass

BODY, HEAD = 65536, 16384  # most bytes of a body, and of all headers
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
