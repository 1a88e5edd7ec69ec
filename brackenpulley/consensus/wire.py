"""What voters say to each other and to those that follow them; msgpack, inside the sealed packets of `members`."""

from __future__ import annotations

import msgspec

VoterAddresses = dict[str, str]  # name of a voter, and the address where its membership listens


class Config(msgspec.Struct, frozen=True, array_like=True):
    """Who votes, and who is sent the log and does not vote yet."""

    voters: VoterAddresses
    learners: VoterAddresses = {}

    @property
    def majority(self) -> int:
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """`kind`: op (a command), open (a leader's first, which says nothing), seats (a Config). `at` is the leader's Unix
    time when it was made, never less than that of the entry before: the only clock that a command may go by."""

    index: int
    term: int
    kind: str
    data: bytes = b""
    timestamp: float = 0.0


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """All up to `index`, applied."""

    index: int = 0
    term: int = 0
    config: Config = Config({})
    data: bytes = b""
    timestamp: float = 0.0


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """`pre`: would you, in that term? Nothing is stored for it. `sent`: the leader itself asked for this election."""

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_leadership_transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="V"):
    term: int
    granted: bool
    is_pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """`round` is said back, so that a leader knows how lately it was one; `cleared` is the nonce of a voter that may
    vote again."""

    term: int
    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit: int
    round: int
    verified_nonce: int = 0


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    """`match`: up to where the logs agree, or where `ok` is false the last index worth trying. `life` is another one
    after each start; `nonce` is not 0 while this voter does not know whether its disk is as it left it."""

    term: int
    ok: bool
    match_index: int
    round: int
    incarnation: int
    nonce: int = 0


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    term: int
    snapshot: Snapshot
    round: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """A leader that goes asks this voter to be the next one."""

    term: int


class StateQuery(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """A voter that does not know whether its disk is as it left it asks all the others how far they are."""

    nonce: int


class StateReply(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """`asked` is the nonce of the question, `nonce` that of who answers; `fresh`: its disk holds nothing."""

    query_nonce: int
    nonce: int
    is_empty: bool
    term: int
    last_index: int
    last_term: int


class Bootstrap(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """All were fresh: this is the first configuration. `nonces` are of the lives that said so."""

    config: Config
    nonces: dict[str, int]


RaftMessage = (
    RequestVote
    | VoteReply
    | AppendEntries
    | AppendReply
    | InstallSnapshot
    | TimeoutNow
    | StateQuery
    | StateReply
    | Bootstrap
)


class Subscribe(msgspec.Struct, frozen=True, array_like=True, tag="F"):
    """Tell me what is committed after this index, and for some seconds whatever comes."""

    after_index: int


class LogUpdate(msgspec.Struct, frozen=True, array_like=True, tag="T"):
    """`entries` in order, from the one after what was asked for, or a snapshot first; `leader` as this voter knows."""

    commit: int
    entries: list[Entry]
    snapshot: Snapshot | None = None
    leader: str = ""


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag="P"):
    """A command for the log. It may come more than once; `machine` takes it once. `passed`: by a voter that does not
    lead, so it is not passed on again."""

    data: bytes
    is_forwarded: bool = False


Payload = RaftMessage | Subscribe | LogUpdate | Proposal


class AddressedPayload(msgspec.Struct, frozen=True, array_like=True):
    """`to` is the name that is meant: an address may have another process by now."""

    source: str
    to: str
    payload: Payload


_pack = msgspec.msgpack.Encoder().encode
_unpack_addressed = msgspec.msgpack.Decoder(AddressedPayload).decode
_unpack_config = msgspec.msgpack.Decoder(Config).decode


def encode(addressed: AddressedPayload) -> bytes:
    return _pack(addressed)


def decode(data: bytes) -> AddressedPayload:
    """Raises msgspec.MsgspecError."""
    return _unpack_addressed(data)


def pack_config(config: Config) -> bytes:
    return _pack(config)


def unpack_config(data: bytes) -> Config:
    return _unpack_config(data)
