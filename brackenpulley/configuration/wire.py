"""Encoding of changes and contents for the log, its snapshots and the copy on disk. Sizes are bounded and checked.

An envelope holds the format, the fleet and a digest of the body, so that data that is torn, too large, of another fleet
or of another format is told apart and counted by cause. Firms are encoded by plan as ascending numbers: compressed
differences of 4 bytes, which take about 3 bytes a firm at 44,000 firms.
"""

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
from .rules import HARD_LIMITS, MAX_ENTRIES, MAX_SNAPSHOT_BYTES, Change, Content

FORMAT = 1
MAX_BODY_BYTES = 2 * MAX_SNAPSHOT_BYTES
UPPER_HALF = 1 << 32  # firms from this number on form a group of their own, so that a difference fits into 4 bytes


class WireError(ValueError):
    """The data cannot be used; `cause` is a counter's name: torn, oversized, other_fleet or other_format."""

    def __init__(self, cause: str, text: str) -> None:
        super().__init__(text)
        self.cause = cause


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A body with its format, fleet and digest."""

    format: int
    fleet: str
    digest: bytes
    body: bytes


class FirmGroup(msgspec.Struct, frozen=True, array_like=True):
    """Firms on one plan; the differences in `packed` start at `base`."""

    plan: str
    base: int
    count: int
    packed: bytes


class PackedContent(msgspec.Struct, frozen=True, array_like=True):
    """Encoded form of `Content`."""

    plans: dict[str, Figures]
    addresses: dict[str, str]
    firms: list[FirmGroup]


_encode = msgspec.msgpack.Encoder().encode
_decode_envelope = msgspec.msgpack.Decoder(Envelope).decode
_decode_change = msgspec.msgpack.Decoder(Change).decode
_decode_content = msgspec.msgpack.Decoder(PackedContent).decode


def digest_of(*parts: bytes) -> bytes:
    """Return the 8-byte digest of the parts."""
    return hashlib.blake2b(b"\0".join(parts), digest_size=8).digest()


def seal(body: bytes, fleet: str) -> bytes:
    """Put a body into an envelope."""
    return _encode(Envelope(FORMAT, fleet, digest_of(fleet.encode(), body), body))


def unseal(data: bytes, fleet: str, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Check an envelope and return its body. Raises WireError."""
    if len(data) > max_bytes + 200:
        raise WireError("oversized", f"{len(data)} bytes, {max_bytes} at most")
    try:
        envelope = _decode_envelope(data)
    except msgspec.MsgspecError:
        raise WireError("torn", "cannot be read") from None
    if envelope.format != FORMAT:
        raise WireError("other_format", f"of format {envelope.format}, this is {FORMAT}")
    if envelope.fleet != fleet:
        raise WireError("other_fleet", f"of fleet {envelope.fleet[:64]!r}, this is {fleet!r}")
    if envelope.digest != digest_of(fleet.encode(), envelope.body):
        raise WireError("torn", "its mark does not hold")
    return envelope.body


def pack_change(change: Change, fleet: str) -> bytes:
    """Encode a change in an envelope."""
    return seal(_encode(change), fleet)


def unpack_change(data: bytes, fleet: str) -> Change:
    """Decode a change from its envelope. Raises WireError."""
    try:
        return _decode_change(unseal(data, fleet, HARD_LIMITS.max_change_bytes))
    except msgspec.MsgspecError as error:
        raise WireError("torn", str(error)) from None


def pack(content: Content) -> bytes:
    """Encode a content: equal contents give equal bytes, whatever the order of their entries."""
    firms_by_plan: defaultdict[str, list[int]] = defaultdict(list)
    for firm, plan in content.firms.items():
        firms_by_plan[plan].append(firm)
    groups = []
    for plan in sorted(firms_by_plan):
        firms = sorted(firms_by_plan[plan])
        split = bisect_left(firms, UPPER_HALF)
        groups += [
            FirmGroup(plan, base, len(part), _compress_firms(part, base))
            for base, part in ((0, firms[:split]), (UPPER_HALF, firms[split:]))
            if part
        ]
    return _encode(PackedContent(dict(sorted(content.plans.items())), dict(sorted(content.addresses.items())), groups))


def unpack(data: bytes) -> Content:
    """Decode a content. Raises WireError."""
    try:
        packed = _decode_content(data)
        firms: dict[int, str] = {}
        for group in packed.firms:
            firms.update(dict.fromkeys(_decompress_firms(group), group.plan))
    except (msgspec.MsgspecError, zlib.error, ValueError) as error:
        raise WireError("torn", str(error)) from None
    content = Content(dict(packed.plans), firms, dict(packed.addresses))
    content.recount_firms()
    return content


def _compress_firms(firms: list[int], base: int) -> bytes:
    """Compress the differences of ascending numbers, the first one from `base`."""
    return zlib.compress(array("I", map(sub, firms, [base, *firms[:-1]])).tobytes(), 1)


def _decompress_firms(group: FirmGroup) -> Iterable[int]:
    if not 0 <= group.count <= MAX_ENTRIES:
        raise ValueError(f"{group.count} firms")
    # Bounded by the announced count, so that a small body cannot expand without limit.
    data = zlib.decompressobj().decompress(group.packed, 4 * group.count + 1)
    if len(data) != 4 * group.count:
        raise ValueError("firms are cut short")
    differences = array("I")
    differences.frombytes(data)
    firms = accumulate(differences, initial=group.base)
    next(firms)
    return firms
