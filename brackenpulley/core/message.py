"""A message (one client request) and its decoding from headers, the same for every front."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

MARGIN = 0.03  # s kept back of a client's time: it counts from its sending, and our answer has a way to go
UNITS = {"m": 1e-3, "u": 1e-6, "S": 1.0, "M": 60.0, "H": 3600.0, "n": 1e-9}  # gRPC's letters, of which we use m and u
LONGEST = 3600.0
HEX = frozenset("0123456789abcdefABCDEF")
CONTROL = frozenset(("x-request-id", "x-priority-class", "x-tariff", "x-timeout", "x-weight", "idempotency-key"))


class MessageError(ValueError):
    """The message is malformed; the text names the header."""


@dataclass(slots=True)
class Message:
    id: str
    cls: str
    plan: str
    customer: int
    left: float  # s within which the answer must have left
    units: float
    spread: int
    first: int
    retry: bool
    payload: Any = None  # what a relay passes on; the core does not look inside


def duration(text: str, name: str = "x-timeout") -> float:
    """'480m' or '2500u' in seconds."""
    digits, unit = text[:-1], text[-1:]
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 12 and unit in UNITS):
        raise MessageError(f"{name}: {text[:40]!r} is no duration")
    return min(LONGEST, int(digits) * UNITS[unit])


def weight(text: str) -> tuple[float, int, int]:
    """'units=2,spread=3,first=1'; what is not named keeps its usual value."""
    found = {"units": 1, "spread": 1, "first": 0}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name in found:
            if not (value.isascii() and value.isdigit() and len(value) <= 6):
                raise MessageError(f"x-weight: {name} is {value[:40]!r}")
            found[name] = int(value)
    return float(found["units"]), max(1, found["spread"]), found["first"]


def decode(headers: Mapping[str, str], path: str, payload: Any = None) -> Message:
    """Headers by lower-case name, and the path with or without its query."""
    parts = path.partition("?")[0].strip("/").split("/")
    ident, cls = headers.get("x-request-id", ""), headers.get("x-priority-class") or parts[0]
    if not 0 < len(ident) <= 64 or not ident.isascii() or not ident.isprintable() or " " in ident:
        raise MessageError("x-request-id: missing or not usable")
    customer = int(parts[-1], 16) if 0 < len(parts[-1]) <= 16 and HEX.issuperset(parts[-1]) else -1
    if not 0 <= customer < 1 << 33:
        raise MessageError("path: the last part names no customer")
    if "x-timeout" not in headers:
        raise MessageError("x-timeout: missing")
    units, spread, first = weight(headers.get("x-weight", ""))
    left = max(0.0, duration(headers["x-timeout"]) - MARGIN)
    retry = headers.get("x-retried") == "1"
    return Message(ident, cls, headers.get("x-tariff", ""), customer, left, units, spread, first, retry, payload)
