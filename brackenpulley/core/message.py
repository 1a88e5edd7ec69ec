"""Defines a message (one client request) and decodes it from headers, in the same way for every front."""

from __future__ import annotations

from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass
from functools import lru_cache
from math import inf
from typing import Any

from ..policy.interface import Settings

# Subtracted from a client's timeout: it runs from the client's sending, and the answer needs time to reach the client.
ANSWER_MARGIN_SECONDS = 0.03
SECONDS_PER_UNIT = {
    "m": 1e-3,
    "u": 1e-6,
    "S": 1.0,
    "M": 60.0,
    "H": 3600.0,
    "n": 1e-9,
}  # as in grpc-timeout; x-timeout uses "m" and "u"
MAX_TIMEOUT_SECONDS = 3600.0
MAX_CACHED_WEIGHT_CHARACTERS = 64  # a longer x-weight header is parsed without the cache
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
CONTROL_HEADERS = frozenset(
    ("x-request-id", "x-priority-class", "x-tariff", "x-timeout", "x-weight", "idempotency-key")
)


class MessageError(ValueError):
    """A malformed message. The text names the header that is wrong."""


def _always() -> bool:
    return True


@dataclass(slots=True)
class Message:
    """One client request as the core and the decision module see it."""

    id: str
    priority_class: str
    plan: str
    firm: int
    timeout: float  # seconds within which the answer must be sent
    units: float
    spread: int  # number of ingresses that serve the firm
    first: int  # index of the first of them; the indices wrap around
    is_retry: bool
    payload: Any = None  # what a relay forwards; the core does not inspect it
    reservation: str = ""  # id of the reservation whose units pay for the message
    revision: int = 0  # of the plan book, when the message was decided on
    requested_plan: str = ""  # the plan that the client named
    is_body_pending: bool = False  # a long body is still being received; the timeout runs from its last byte
    can_resend: Callable[[], bool] = _always  # whether the body can be sent once more
    # When the next attempt must be completely written, or it counts as not made: the end of the window for a repeat.
    write_deadline: float = inf


def parse_duration(text: str, name: str = "x-timeout") -> float:
    """Converts a duration such as "480m" or "2500u" to seconds, at most `MAX_TIMEOUT_SECONDS`.

    Raises MessageError, which names the header `name`.
    """
    digits, unit = text[:-1], text[-1:]
    if not (digits.isascii() and digits.isdigit() and len(digits) <= 12 and unit in SECONDS_PER_UNIT):
        raise MessageError(f"{name}: {text[:40]!r} is no duration")
    return min(MAX_TIMEOUT_SECONDS, int(digits) * SECONDS_PER_UNIT[unit])


def parse_weight(text: str) -> tuple[float, int, int]:
    """Parses a header such as "units=2,spread=3,first=1" to units, spread and first.

    A field that is missing has its default (1, 1, 0). Unknown fields are ignored. Raises MessageError.
    """
    return _cached_weight(text) if len(text) <= MAX_CACHED_WEIGHT_CHARACTERS else _parse_weight(text)


def _parse_weight(text: str) -> tuple[float, int, int]:
    found: dict[str, int] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name in ("units", "spread", "first"):
            if name in found or not (value.isascii() and value.isdigit() and len(value) <= 6):
                raise MessageError(f"x-weight: {name} is {value[:40]!r}")
            found[name] = int(value)
    return float(found.get("units", 1)), found.get("spread", 1), found.get("first", 0)


_cached_weight = lru_cache(1024)(_parse_weight)  # clients send few different weights


def check_message(message: Message, settings: Settings, plans: Container[str]) -> None:
    """Raises MessageError for a message that the settings do not allow.

    Such a message must not reach the decision module, where it would distort a firm's quota and the estimates.
    """
    for known_class in settings.classes:
        if known_class.name == message.priority_class:
            break
    else:
        raise MessageError(f"x-priority-class: no class {message.priority_class[:40]!r}")
    if settings.plans and message.plan not in plans:
        raise MessageError(f"x-tariff: no plan {message.plan[:40]!r}")
    if not 1 <= message.units <= settings.most_units:
        raise MessageError(f"x-weight: units is {message.units:g}, not from 1 to {settings.most_units:g}")
    if not 1 <= message.spread <= settings.places or not 0 <= message.first < settings.places:
        raise MessageError(f"x-weight: {message.spread} from {message.first} is no set of {settings.places}")


def decode(headers: Mapping[str, str], path: str, payload: Any = None) -> Message:
    """Builds a message from headers, keyed by lower-case name, and the path, whose query is ignored.

    Raises MessageError.
    """
    parts = path.partition("?")[0].strip("/").split("/")
    ident, priority_class = headers.get("x-request-id", ""), headers.get("x-priority-class") or parts[0]
    if priority_class != parts[0]:  # the message would be decided on as one class and run as another
        raise MessageError("x-priority-class: not the path's class")
    if not 0 < len(ident) <= 64 or not ident.isascii() or not ident.isprintable() or " " in ident:
        raise MessageError("x-request-id: missing or not usable")
    firm = int(parts[-1], 16) if 0 < len(parts[-1]) <= 16 and HEX_DIGITS.issuperset(parts[-1]) else -1
    if not 0 <= firm < 1 << 33:
        raise MessageError("path: the last part names no customer")
    if "x-timeout" not in headers:
        raise MessageError("x-timeout: missing")
    units, spread, first = parse_weight(headers.get("x-weight", ""))
    timeout = max(0.0, parse_duration(headers["x-timeout"]) - ANSWER_MARGIN_SECONDS)
    is_retry = headers.get("x-retried") == "1"
    return Message(
        ident,
        priority_class,
        headers.get("x-tariff", ""),
        firm,
        timeout,
        units,
        spread,
        first,
        is_retry,
        payload,
        headers.get("x-reservation", ""),
        requested_plan=headers.get("x-tariff", ""),
    )
