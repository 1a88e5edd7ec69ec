"""A change and a content as bytes: for the log, its snapshots and a process's own disk. Bounded, and checked whole.

An envelope has the format, the fleet and a mark of the rest: what is torn, too large, of another fleet or of another
format is told apart by name, so that each can be counted. Firms go as ascending numbers by plan, compressed differences
of 4 bytes: some 3 bytes a firm at 44,000 of them."""

from __future__ import annotations

import hashlib
import zlib
from array import array
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable
from itertools import accumulate
from operator import sub

import msgspec

from ..plans.book import Figures
from .rules import HARD, MOST_BYTES, MOST_ENTRIES, Change, Content

FORMAT = 1
LARGEST = 2 * MOST_BYTES  # bytes of anything here
HALF = 1 << 32  # firms from here on stand in a row of their own, so that a difference has 4 bytes


class WireError(ValueError):
    """It cannot be taken; `cause` is a counter's name: torn, oversized, other_fleet, other_format."""

    def __init__(self, cause: str, text: str) -> None:
        super().__init__(text)
        self.cause = cause


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    format: int
    fleet: str
    mark: bytes
    body: bytes


class Row(msgspec.Struct, frozen=True, array_like=True):
    """Firms on one plan; `base` is added to each."""

    plan: str
    base: int
    count: int
    packed: bytes


class Packed(msgspec.Struct, frozen=True, array_like=True):
    plans: dict[str, Figures]
    addresses: dict[str, str]
    firms: list[Row]


_encode = msgspec.msgpack.Encoder().encode
_envelope = msgspec.msgpack.Decoder(Envelope).decode
_change = msgspec.msgpack.Decoder(Change).decode
_packed = msgspec.msgpack.Decoder(Packed).decode


def mark_of(*parts: bytes) -> bytes:
    return hashlib.blake2b(b"\0".join(parts), digest_size=8).digest()


def seal(body: bytes, fleet: str) -> bytes:
    return _encode(Envelope(FORMAT, fleet, mark_of(fleet.encode(), body), body))


def unseal(data: bytes, fleet: str, most: int = LARGEST) -> bytes:
    """Raises WireError."""
    if len(data) > most + 200:
        raise WireError("oversized", f"{len(data)} bytes, {most} at most")
    try:
        told = _envelope(data)
    except msgspec.MsgspecError:
        raise WireError("torn", "cannot be read") from None
    if told.format != FORMAT:
        raise WireError("other_format", f"of format {told.format}, this is {FORMAT}")
    if told.fleet != fleet:
        raise WireError("other_fleet", f"of fleet {told.fleet[:64]!r}, this is {fleet!r}")
    if told.mark != mark_of(fleet.encode(), told.body):
        raise WireError("torn", "its mark does not hold")
    return told.body


def pack_change(change: Change, fleet: str) -> bytes:
    return seal(_encode(change), fleet)


def unpack_change(data: bytes, fleet: str) -> Change:
    """Raises WireError."""
    try:
        return _change(unseal(data, fleet, HARD.change))
    except msgspec.MsgspecError as error:
        raise WireError("torn", str(error)) from None


def pack(content: Content) -> bytes:
    """The same bytes for the same entries, in whatever order they came."""
    groups: defaultdict[str, list[int]] = defaultdict(list)
    for firm, plan in content.firms.items():
        groups[plan].append(firm)
    rows = []
    for plan in sorted(groups):
        firms = sorted(groups[plan])
        split = bisect_left(firms, HALF)
        rows += [
            Row(plan, base, len(part), _squeezed(part, base))
            for base, part in ((0, firms[:split]), (HALF, firms[split:]))
            if part
        ]
    return _encode(Packed(dict(sorted(content.plans.items())), dict(sorted(content.addresses.items())), rows))


def unpack(data: bytes) -> Content:
    """Raises WireError."""
    try:
        told = _packed(data)
        firms: dict[int, str] = {}
        for row in told.firms:
            firms.update(dict.fromkeys(_widened(row), row.plan))
    except (msgspec.MsgspecError, zlib.error, ValueError) as error:
        raise WireError("torn", str(error)) from None
    found = Content(dict(told.plans), firms, dict(told.addresses))
    found.count()
    return found


def _squeezed(firms: list[int], base: int) -> bytes:
    """Ascending ones."""
    return zlib.compress(array("I", map(sub, firms, [base, *firms[:-1]])).tobytes(), 1)


def _widened(row: Row) -> Iterable[int]:
    if not 0 <= row.count <= MOST_ENTRIES:
        raise ValueError(f"{row.count} firms")
    data = zlib.decompressobj().decompress(row.packed, 4 * row.count + 1)  # no more than was said
    if len(data) != 4 * row.count:
        raise ValueError("firms are cut short")
    steps = array("I")
    steps.frombytes(data)
    found = accumulate(steps, initial=row.base)
    next(found)
    return found
