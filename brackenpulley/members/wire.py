"""Messages between members and their encoding: msgpack, sealed with AES-GCM by the key ring.

The counters of messages take their names from the names of the message classes, in lower case. Used by all modules of
this package."""

from __future__ import annotations

import msgspec

from .keys import KeyRing, PacketError

MAX_DATAGRAM_BYTES = 1400  # a longer one is dropped without being opened
ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = "left"


class Update(msgspec.Struct, frozen=True, array_like=True):
    """A claim about the state of a member. In a suspicion `by` is the id of the member that suspects it."""

    id: str
    address: str
    incarnation: int
    state: str
    by: str = ""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    """Probe of a member."""

    seq: int
    target: str  # id of the probed member: a new member at an old address does not answer for its predecessor
    updates: list[Update] = []


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answer to a Ping, also one that was forwarded for an Ask."""

    seq: int
    updates: list[Update] = []


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Answer to an Ask whose target has not acknowledged in time; it shows that the member in between is healthy."""

    seq: int


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Request for an indirect probe: ping the target on behalf of the sender."""

    seq: int
    target: str
    address: str
    updates: list[Update] = []


class Tell(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    """Gossip that is not carried by a probe."""

    updates: list[Update] = []


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """The sender's full view of the fleet, over a stream; `is_reply` where it answers another Sync."""

    updates: list[Update]
    is_reply: bool = False


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A record of a member (see records.py); `serial` grows with each change that the owner makes."""

    owner: str
    kind: str
    key: str
    serial: int
    value: bytes
    is_deleted: bool = False


class Records(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """Records that are gossiped or repaired by a full exchange."""

    rows: list[Record]


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """One hash of the sender's records for each owner; `is_reply` where it answers another Digest."""

    address: str
    rows: list[tuple[str, bytes]]
    is_reply: bool = False


class Carry(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """A payload between two parts of the same `kind` on two members; `address` is that of the sender."""

    kind: str
    address: str
    data: bytes


Message = Ping | Ack | Nack | Ask | Tell | Sync | Records | Digest | Carry


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender; `number` grows with each packet of a generation, so that replays are recognised."""

    sender: str
    generation: int
    number: int
    body: Message


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode


def message_kind(body: Message) -> str:
    """Return the name of a message's type as counters have it; for a Carry, with the kind of its part."""
    return f"carry_{body.kind}" if isinstance(body, Carry) else type(body).__name__.lower()


def update_size(update: Update) -> int:
    """Return the bytes that an update takes in a message."""
    return encoded_size(update)


def encoded_size(item: Update | Record) -> int:
    """Return the bytes that an update or a record takes in a message."""
    return len(_encode(item)) + 1


def seal(envelope: Envelope, ring: KeyRing) -> bytes:
    """Return an envelope as a sealed packet."""
    return ring.seal(_encode(envelope))


def unseal(data: bytes, ring: KeyRing, max_bytes: int = MAX_DATAGRAM_BYTES) -> Envelope:
    """Return the envelope of a sealed packet. Raises PacketError, its cause the ending of a counter's name."""
    if len(data) > max_bytes:
        raise PacketError("too_long")
    try:
        return _decode(ring.unseal(data))
    except msgspec.MsgspecError:
        raise PacketError("malformed") from None
