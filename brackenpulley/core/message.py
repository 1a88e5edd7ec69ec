"""A message (one client request) and its decoding from headers, the same for every front."""

from __future__ import annotations

from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass
from functools import lru_cache
from math import inf
from typing import Any

from ..policy.interface import Settings

MARGIN = 0.03  # s kept back of a client's time: it counts from its sending, and our answer has a way to go
UNITS = {"m": 1e-3, "u": 1e-6, "S": 1.0, "M": 60.0, "H": 3600.0, "n": 1e-9}  # gRPC's letters, of which we use m and u
LONGEST = 3600.0
SHORT = 64  # characters of a header whose reading is remembered
HEX = frozenset("0123456789abcdefABCDEF")
CONTROL = frozenset(("x-request-id", "x-priority-class", "x-tariff", "x-timeout", "x-weight", "idempotency-key"))


class MessageError(ValueError):
    """The message is malformed; the text names the header."""


def _always() -> bool:
    return True


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
    reservation: str = ""  # whose units pay for it
    revision: int = 0  # of the plan book, when it was decided on
    told: str = ""  # the plan as the client named it
    coming: bool = False  # its body is long and still comes: its time begins with the last byte
    again: Callable[[], bool] = _always  # whether its body can be sent once more
    before: float = inf  # the attempt that goes out next must be written whole by then, or is none: a repeat's window


def duration(text: str, name: str = "x-timeout") -> float:
    """'480m' or '2500u' in seconds."""
    digits, unit = text[:-1], text[-1:]
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 12 and unit in UNITS):
        raise MessageError(f"{name}: {text[:40]!r} is no duration")
    return min(LONGEST, int(digits) * UNITS[unit])


def weight(text: str) -> tuple[float, int, int]:
    """'units=2,spread=3,first=1'; what is not named keeps its usual value."""
    return _usual(text) if len(text) <= SHORT else _weight(text)


def _weight(text: str) -> tuple[float, int, int]:
    found: dict[str, int] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name in ("units", "spread", "first"):
            if name in found or not (value.isascii() and value.isdigit() and len(value) <= 6):
                raise MessageError(f"x-weight: {name} is {value[:40]!r}")
            found[name] = int(value)
    return float(found.get("units", 1)), found.get("spread", 1), found.get("first", 0)


_usual = lru_cache(1024)(_weight)  # clients say few different things


def check(m: Message, s: Settings, plans: Container[str]) -> None:
    """What the settings leave no room for never reaches the module: it would spoil a customer's quota and estimates."""
    for c in s.classes:
        if c.name == m.cls:
            break
    else:
        raise MessageError(f"x-priority-class: no class {m.cls[:40]!r}")
    if s.plans and m.plan not in plans:
        raise MessageError(f"x-tariff: no plan {m.plan[:40]!r}")
    if not 1 <= m.units <= s.most_units:
        raise MessageError(f"x-weight: units is {m.units:g}, not from 1 to {s.most_units:g}")
    if not 1 <= m.spread <= s.places or not 0 <= m.first < s.places:
        raise MessageError(f"x-weight: {m.spread} from {m.first} is no set of {s.places}")


def decode(headers: Mapping[str, str], path: str, payload: Any = None) -> Message:
    """Headers by lower-case name, and the path with or without its query."""
    parts = path.partition("?")[0].strip("/").split("/")
    ident, cls = headers.get("x-request-id", ""), headers.get("x-priority-class") or parts[0]
    if cls != parts[0]:  # it would be decided on as the one and run as the other
        raise MessageError("x-priority-class: not the path's class")
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
    return Message(
        ident,
        cls,
        headers.get("x-tariff", ""),
        customer,
        left,
        units,
        spread,
        first,
        retry,
        payload,
        headers.get("x-reservation", ""),
        told=headers.get("x-tariff", ""),
    )
