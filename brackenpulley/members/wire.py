"""Messages between members as bytes: msgpack inside, AES-GCM around it, at most `LARGEST` bytes a datagram."""

from __future__ import annotations

import msgspec

from .keys import KeyRing, PacketError

LARGEST = 1400  # bytes of a datagram; what arrives longer is dropped unread
ALIVE, SUSPECT, DEAD, LEFT = "alive", "suspect", "dead", "left"


class Update(msgspec.Struct, frozen=True, array_like=True):
    """What somebody says of a member. `by` counts for suspicions: who suspects it."""

    id: str
    address: str
    incarnation: int
    state: str
    by: str = ""


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="p"):
    seq: int
    target: str  # the id that is meant: a new member at an old address does not answer for the one before
    updates: list[Update] = []


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    seq: int
    updates: list[Update] = []


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """A relay is well itself and has not heard from the target."""

    seq: int


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="k"):
    """Ping the target for me."""

    seq: int
    target: str
    address: str
    updates: list[Update] = []


class Tell(msgspec.Struct, frozen=True, array_like=True, tag="t"):
    updates: list[Update] = []


class Sync(msgspec.Struct, frozen=True, array_like=True, tag="s"):
    """All that the sender knows, over a stream; `answer` where it is one and wants none."""

    updates: list[Update]
    answer: bool = False


class Record(msgspec.Struct, frozen=True, array_like=True):
    """See records.py. `owner` is a member's id, `serial` grows with each change that it makes."""

    owner: str
    kind: str
    key: str
    serial: int
    value: bytes
    gone: bool = False


class Records(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    rows: list[Record]


class Digest(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """The sender's records by owner as a mark each; `answer` where it is one and wants none."""

    address: str
    rows: list[tuple[str, bytes]]
    answer: bool = False


class Carry(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """What a part of the program says to its like elsewhere: `kind` names the part, `address` is the sender's."""

    kind: str
    address: str
    data: bytes


Message = Ping | Ack | Nack | Ask | Tell | Sync | Records | Digest | Carry


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """`number` grows with each packet of a sender's life, so that a replayed one is known."""

    sender: str
    life: int
    number: int
    body: Message


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Envelope).decode


def kind_of(body: Message) -> str:
    """As counters name it: the message's type, and for a part's word the part."""
    return f"carry_{body.kind}" if isinstance(body, Carry) else type(body).__name__.lower()


def size_of(update: Update) -> int:
    return encoded_size(update)


def encoded_size(part: Update | Record) -> int:
    """Bytes of it in a message."""
    return len(_encode(part)) + 1


def seal(envelope: Envelope, ring: KeyRing) -> bytes:
    return ring.seal(_encode(envelope))


def unseal(data: bytes, ring: KeyRing, most: int = LARGEST) -> Envelope:
    """Raises PacketError with the cause as a counter's name."""
    if len(data) > most:
        raise PacketError("too_long")
    try:
        return _decode(ring.unseal(data))
    except msgspec.MsgspecError:
        raise PacketError("malformed") from None
