"""Messages between voters, and between voters and followers.

They are encoded as msgpack arrays and carried inside the encrypted packets of the `members` package.
"""

from __future__ import annotations

import msgspec

VoterAddresses = dict[str, str]  # voter name to the address on which its membership service listens


class Config(msgspec.Struct, frozen=True, array_like=True):
    """Voters, and learners, which receive the log but do not vote yet."""

    voters: VoterAddresses
    learners: VoterAddresses = {}

    @property
    def majority(self) -> int:
        """Return the number of voters that form a quorum."""
        return len(self.voters) // 2 + 1


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry.

    `kind` is "op" (a command), "open" (the empty first entry of a leader's term) or "seats" (a packed Config).
    `timestamp` is the leader's Unix time at creation, never less than that of the entry before; it is the only clock
    that a command may use, since it is the same on every process.
    """

    index: int
    term: int
    kind: str
    data: bytes = b""
    timestamp: float = 0.0


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State machine contents after all entries up to and including `index` were applied."""

    index: int = 0
    term: int = 0
    config: Config = Config({})
    data: bytes = b""
    timestamp: float = 0.0


class RequestVote(msgspec.Struct, frozen=True, array_like=True, tag="v"):
    """Request for a vote in `term`.

    With `is_pre_vote` the receiver only says whether it would grant the vote, and persists nothing. With
    `is_leadership_transfer` the current leader asked for this election, so its lease does not block it.
    """

    term: int
    last_index: int
    last_term: int
    is_pre_vote: bool = False
    is_leadership_transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag="V"):
    """Answer to RequestVote."""

    term: int
    granted: bool
    is_pre_vote: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Log entries or a heartbeat from the leader.

    `round` is echoed in the reply, which tells the leader how recently it was confirmed. `verified_nonce` is the nonce
    of an unverified voter that may vote again, or 0.
    """

    term: int
    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit: int
    round: int
    verified_nonce: int = 0


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag="A"):
    """Answer to AppendEntries and InstallSnapshot.

    `match_index` is the last index at which the logs agree or, where `ok` is false, the last one worth trying.
    `incarnation` is drawn anew at each start. `nonce` is not 0 while the voter has not verified that its disk holds
    everything it persisted.
    """

    term: int
    ok: bool
    match_index: int
    round: int
    incarnation: int
    nonce: int = 0


class InstallSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="i"):
    """Snapshot for a voter or learner that needs entries which the leader has compacted."""

    term: int
    snapshot: Snapshot
    round: int


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """Request of a resigning leader that this voter start an election at once."""

    term: int


class StateQuery(msgspec.Struct, frozen=True, array_like=True, tag="w"):
    """Request of an unverified voter for the term and log position of every other voter."""

    nonce: int


class StateReply(msgspec.Struct, frozen=True, array_like=True, tag="h"):
    """Answer to StateQuery.

    `query_nonce` is the nonce of the query, `nonce` that of the answering voter. `is_empty` says that its disk holds
    nothing.
    """

    query_nonce: int
    nonce: int
    is_empty: bool
    term: int
    last_index: int
    last_term: int


class Bootstrap(msgspec.Struct, frozen=True, array_like=True, tag="f"):
    """First configuration of the log, sent once all initial voters have reported an empty disk.

    `nonces` maps each receiver to the nonce of the incarnation that reported it.
    """

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
    """Request of a follower for entries committed after `after_index`, now and until the subscription expires."""

    after_index: int


class LogUpdate(msgspec.Struct, frozen=True, array_like=True, tag="T"):
    """Committed entries for a follower, in order.

    They start right after the requested index or after `snapshot`. `leader` is the leader that the sending voter knows,
    or "".
    """

    commit: int
    entries: list[Entry]
    snapshot: Snapshot | None = None
    leader: str = ""


class Proposal(msgspec.Struct, frozen=True, array_like=True, tag="P"):
    """Command proposed for the log.

    It may arrive more than once; the state machine applies it once. `is_forwarded` says that a voter which is not the
    leader passed it on, so that it is not forwarded again.
    """

    data: bytes
    is_forwarded: bool = False


Payload = RaftMessage | Subscribe | LogUpdate | Proposal


class AddressedPayload(msgspec.Struct, frozen=True, array_like=True):
    """Payload with sender and receiver.

    `to` is checked by the receiver, since another process may have taken over the address.
    """

    source: str
    to: str
    payload: Payload


_pack = msgspec.msgpack.Encoder().encode
_unpack_addressed = msgspec.msgpack.Decoder(AddressedPayload).decode
_unpack_config = msgspec.msgpack.Decoder(Config).decode


def encode(addressed: AddressedPayload) -> bytes:
    """Encode a payload with its sender and receiver."""
    return _pack(addressed)


def decode(data: bytes) -> AddressedPayload:
    """Decode a payload with its sender and receiver.

    Raises msgspec.MsgspecError for malformed data.
    """
    return _unpack_addressed(data)


def pack_config(config: Config) -> bytes:
    """Encode a configuration as the data of a log entry."""
    return _pack(config)


def unpack_config(data: bytes) -> Config:
    """Decode the configuration in the data of a log entry.

    Raises msgspec.MsgspecError for malformed data.
    """
    return _unpack_config(data)
