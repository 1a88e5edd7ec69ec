"""Raft voter without I/O: all input comes through the public methods of `Node`, all output is a list of effects.

Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum, leader leases and single-server configuration changes as
in Ongaro's dissertation (2014, chapters 3, 4, 6 and 9). The role "asking" is the pre-candidate. Transitions of roles:

    role      | timeout                | greater term | majority grants | message of a leader of its term
    ----------+------------------------+--------------+-----------------+--------------------------------
    follower  | asking                 | follower     |                 | follower
    asking    | asking                 | follower     | candidate       | follower
    candidate | asking                 | follower     | leader          | follower
    leader    | heartbeat; follower if | follower     |                 | (cannot occur)
              | no majority was heard  |              |                 |
              | for a timeout          |              |                 |

A voter whose disk may have lost writes must not vote until it is verified:

    disk       | state at start                          | verified by
    -----------+-----------------------------------------+-------------------------------------------------------------
    verified   | the seal confirms the last write        |
    unverified | no seal, or one of another disk or boot | a leader that a majority without this voter confirmed after
               |                                         | the query, once all its entries of that time are here; or,
               |                                         | without a leader, the replies of every other voter
    empty      | the disk holds nothing                  | such a leader; or a bootstrap, if no initial voter is beyond
               |                                         | the first configuration

A lost or older disk has forgotten votes and acknowledgements. A leader confirmed by a majority without this voter has a
term no less than any in which this voter voted or acknowledged, and holds every entry that was committed with its
acknowledgement; so acknowledgements are sound again from then on. The replies of all other voters give the term (with
the vote in it spent) and the log position that a candidate must reach, provided that no two disks are older copies at
once. See docs/design/consensus.md.

Effects must be run in order: `Persist` comes first and must be synced before the others. If it fails the node is
halted, since its memory is ahead of its disk, and stays silent until it is created anew from the disk.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from math import inf

from .wire import (
    AppendEntries,
    AppendReply,
    Bootstrap,
    Config,
    Entry,
    InstallSnapshot,
    RaftMessage,
    RequestVote,
    Snapshot,
    StateQuery,
    StateReply,
    TimeoutNow,
    VoterAddresses,
    VoteReply,
    pack_config,
    unpack_config,
)

FOLLOWER = "follower"
PRE_CANDIDATE = "asking"
CANDIDATE = "candidate"
LEADER = "leader"
VOTE_SPENT = "-"  # value of `vote` that grants no further vote in the term
UNKNOWN_TERM = -1  # term of an entry that is not in the log
IMPOSSIBLE_TERM = -2  # term that matches no entry, so that the receiver rejects the append
MAX_BATCH_ENTRIES = 64  # of one AppendEntries
MAX_BATCH_BYTES = 60_000  # of one AppendEntries; a single larger entry is still sent
MAX_TRACKED_ROUNDS = 256  # replication rounds whose send time a leader keeps
INSTALL_RETRY_SECONDS = 1.0  # between two transfers of a snapshot to the same peer
QUERY_INTERVAL_HEARTBEATS = 3  # heartbeat intervals between two StateQuery of an unverified voter


@dataclass(slots=True, frozen=True)
class Timing:
    """Intervals in seconds; `clock_drift` is the relative clock error assumed over an election timeout."""

    heartbeat: float = 0.2
    election_timeout: float = 1.0  # minimum; randomized up to twice this
    clock_drift: float = 0.1


@dataclass(slots=True)
class PersistentState:
    """What the disk of a voter holds.

    `is_unverified` and `log_floor` survive a restart, since a restart verifies nothing.
    """

    term: int = 0
    vote: str = ""
    is_unverified: bool = False
    log_floor: tuple[int, int] = (0, 0)
    snapshot: Snapshot = Snapshot()
    entries: list[Entry] = field(default_factory=list)  # contiguous, starting right after the snapshot


@dataclass(slots=True, frozen=True)
class Persist:
    """Write to disk, and sync, before any later effect: `entries` replace all from `first_index` on."""

    term: int
    vote: str
    is_unverified: bool
    log_floor: tuple[int, int]
    first_index: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None  # replaces all entries up to its index


@dataclass(slots=True, frozen=True)
class Send:
    """Send a payload to the voter `to`."""

    to: str
    payload: RaftMessage


@dataclass(slots=True, frozen=True)
class Apply:
    """Apply committed entries to the state machine."""

    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Restore:
    """Replace the state machine by a snapshot."""

    snapshot: Snapshot


Effect = Persist | Send | Apply | Restore


@dataclass(slots=True)
class Progress:
    """State of a voter or learner as its leader knows it."""

    next_index: int
    match_index: int = 0
    heard_at: float = -inf
    confirmed_at: float = -inf  # when the leader sent `confirmed_round`
    confirmed_round: int = 0  # latest round that the peer acknowledged
    snapshot_sent_at: float = -inf
    incarnation: int = 0
    nonce: int = 0  # of the peer's incarnation while it is unverified, else 0
    nonce_round: int = 0  # first round sent after the nonce arrived
    nonce_index: int = 0  # last index when the nonce arrived
    verified_nonce: int = 0  # the nonce, once the peer may vote again


class Node:
    """State of one voter.

    `initial_voters` are those of the settings. They are used only to bootstrap a new log, once all of them have
    reported an empty disk.
    """

    def __init__(
        self,
        name: str,
        persisted: PersistentState,
        rng: random.Random,
        now: float,
        timing: Timing | None = None,
        is_verified: bool = True,
        initial_voters: VoterAddresses | None = None,
    ) -> None:
        self.name, self.rng, self.now, self.timing = name, rng, now, timing or Timing()
        self.term, self.vote, self.snapshot, self.entries = (
            persisted.term,
            persisted.vote,
            persisted.snapshot,
            list(persisted.entries),
        )
        self.initial_voters = dict(initial_voters or {})
        is_trusted = is_verified and not persisted.is_unverified and persisted.snapshot.index > 0
        self.nonce = 0 if is_trusted else rng.getrandbits(62) + 1
        self.incarnation = rng.getrandbits(62)
        # (term, index) that a candidate's log must reach, even where this log is shorter
        self.log_floor = persisted.log_floor
        self.is_halted = False
        self.role, self.leader = FOLLOWER, ""
        self.commit = self.applied = self.snapshot.index
        self.votes: set[str] = set()
        self.peers: dict[str, Progress] = {}
        self.counts: dict[str, int] = {}
        self._state_replies: dict[str, StateReply] = {}
        self._configs: list[tuple[int, Config]] = [(self.snapshot.index, self.snapshot.config)]
        for entry in self.entries:
            self._note_config(entry)
        self._leader_heard_at = now  # also at start: this voter may have granted a lease
        self._election_deadline = 0.0
        self._heartbeat_at = self._query_at = now
        self._round = 0
        self._round_sent_at: dict[int, float] = {}
        self._term_start_index = 0  # index of this leader's first entry of its term
        self._saved_state = (self.term, self.vote, persisted.is_unverified, self.log_floor)
        self._first_unsaved = 0  # index of the first entry not persisted yet; 0 = none
        self._unsaved_snapshot: Snapshot | None = None
        self._pending_effects: list[Effect] = []
        self._reset_election_timer()

    # State.

    @property
    def is_verified(self) -> bool:
        """Whether the disk is known to include every write, without which this voter must not vote."""
        return not self.nonce

    @property
    def is_empty(self) -> bool:
        """Whether the disk holds nothing and no leader was ever heard of."""
        return not self.term and not self.snapshot.index

    @property
    def config(self) -> Config:
        """The latest configuration in the log, committed or not."""
        return self._configs[-1][1]

    @property
    def last_index(self) -> int:
        """Index of the last log entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def is_settled(self) -> bool:
        """Whether the latest configuration is committed."""
        return self._configs[-1][0] <= self.commit

    def term_at(self, index: int) -> int:
        """Return the term of an entry, or UNKNOWN_TERM where it is compacted or not in the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else UNKNOWN_TERM

    def entries_after(self, index: int, limit: int = MAX_BATCH_ENTRIES) -> list[Entry]:
        """Return entries following `index`, at most `limit` and about MAX_BATCH_BYTES."""
        begin = max(0, index - self.snapshot.index)
        entries: list[Entry] = []
        size = 0
        for entry in self.entries[begin : begin + limit]:
            size += len(entry.data) + 40
            if entries and size > MAX_BATCH_BYTES:
                break
            entries.append(entry)
        return entries

    def is_current(self, now: float) -> bool:
        """Return whether all entries committed anywhere are applied here.

        This holds for a leader whose lease a majority has confirmed recently enough that no other leader can exist,
        once an entry of its own term is committed.
        """
        if self.role != LEADER or self.is_halted or self.commit < self._term_start_index or self.applied < self.commit:
            return False
        times = sorted(
            [now if name == self.name else self.peers[name].confirmed_at for name in self.config.voters], reverse=True
        )
        since = times[self.config.majority - 1]
        return now < since + self.timing.election_timeout * (1 - self.timing.clock_drift)

    # Input.

    def receive(self, now: float, source: str, payload: RaftMessage) -> list[Effect]:
        """Process a payload from another voter."""
        self.now = max(self.now, now)
        if self.is_halted:
            return []
        if isinstance(payload, RequestVote):
            self._handle_vote_request(source, payload)
        elif isinstance(payload, StateQuery):
            if source in self._other_voters():
                self._send(
                    source,
                    StateReply(
                        payload.nonce,
                        self.nonce,
                        self.is_empty,
                        self.term,
                        self.last_index,
                        self.term_at(self.last_index),
                    ),
                )
        elif isinstance(payload, StateReply):
            self._handle_state_reply(source, payload)
        elif isinstance(payload, Bootstrap):
            if self.is_empty and payload.nonces.get(self.name) == self.nonce:
                self._bootstrap(payload.config)
        else:
            if payload.term > self.term and not (isinstance(payload, VoteReply) and payload.is_pre_vote):
                self._become_follower(payload.term, "")
            if isinstance(payload, VoteReply):
                self._handle_vote_reply(source, payload)
            elif isinstance(payload, AppendEntries):
                self._handle_append(source, payload)
            elif isinstance(payload, InstallSnapshot):
                self._handle_install(source, payload)
            elif isinstance(payload, AppendReply):
                self._handle_append_reply(source, payload)
            elif (
                payload.term == self.term
                and self.role == FOLLOWER
                and self.is_verified
                and self.name in self.config.voters
            ):
                self._start_election(is_leadership_transfer=True)
        return self._take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Run all timers that are due."""
        self.now = max(self.now, now)
        if self.is_halted:
            return []
        if self.nonce and self._query_at <= self.now:
            self._query_at = self.now + self.timing.heartbeat * QUERY_INTERVAL_HEARTBEATS * (
                0.75 + 0.5 * self.rng.random()
            )
            self._try_verify()  # a single voter needs no reply
            if self.nonce:
                for name in self._other_voters():
                    self._send(name, StateQuery(self.nonce))
        if self.role == LEADER:
            if self._heartbeat_at <= self.now:
                self._send_heartbeats()
        elif self._election_deadline <= self.now:
            self._reset_election_timer()
            if self.is_verified and self.name in self.config.voters:
                self._start_pre_vote()
        return self._take_effects()

    def next_tick(self) -> float:
        """Return the time at which `tick` is due, or infinity for a halted voter."""
        times = [self._heartbeat_at if self.role == LEADER else self._election_deadline]
        if self.nonce:
            times.append(self._query_at)
        return inf if self.is_halted else max(self.now, min(times))

    def propose(self, now: float, data: bytes) -> tuple[int, list[Effect]]:
        """Append a command and return the index it gets if it is committed, or 0 where this voter is not the leader."""
        self.now = max(self.now, now)
        if self.role != LEADER or self.is_halted:
            return 0, []
        index = self._append_entry("op", data)
        self._replicate()
        return index, self._take_effects()

    def change_voter(self, now: float, name: str, address: str = "") -> tuple[str, list[Effect]]:
        """Add a voter, first as a learner, or remove it where `address` is empty.

        Returns the reason for a rejection, or "", and the effects.
        """
        self.now = max(self.now, now)
        config = self.config
        if self.role != LEADER or self.is_halted:
            return "this voter does not lead", []
        if not self.is_settled or self.commit < self._term_start_index:
            return "another change is under way", []
        if address:
            if name in config.voters or name in config.learners:
                return f"{name} is one already", []
            new_config = Config(config.voters, {**config.learners, name: address})
        else:
            if name not in config.voters and name not in config.learners:
                return f"no voter {name}", []
            if len(config.voters) == 1 and name in config.voters:
                return "the last voter cannot go", []
            new_config = Config(
                *(
                    {other: peer_address for other, peer_address in addresses.items() if other != name}
                    for addresses in (config.voters, config.learners)
                )
            )
        self._append_entry("seats", pack_config(new_config))
        self._replicate()
        return "", self._take_effects()

    def resign(self, now: float) -> list[Effect]:
        """Step down and ask the reachable voter with the longest log to start an election without a timeout."""
        self.now = max(self.now, now)
        if self.role == LEADER and not self.is_halted:
            others = [
                (peer.match_index, name)
                for name, peer in self.peers.items()
                if name in self.config.voters and self.now - peer.heard_at < self.timing.election_timeout
            ]
            term = self.term
            self._become_follower(term, "")
            self._leader_heard_at = self.now  # gives the successor time to be elected first
            if others:
                self._send(max(others)[1], TimeoutNow(term))
        return self._take_effects()

    def compact(self, index: int, data: bytes) -> list[Effect]:
        """Replace the log up to `index`, which must be applied, by a snapshot with `data`."""
        if self.snapshot.index < index <= self.applied and not self.is_halted:
            config = [config for start, config in self._configs if start <= index][-1]
            entry = self.entries[index - self.snapshot.index - 1]
            snapshot = Snapshot(index, entry.term, config, data, entry.timestamp)
            del self.entries[: index - self.snapshot.index]
            self.snapshot = self._unsaved_snapshot = snapshot
            self._configs = [(index, config), *((start, later) for start, later in self._configs if start > index)]
        return self._take_effects()

    def trust_store(self, now: float) -> list[Effect]:
        """Accept the disk as complete on an operator's word."""
        self.now = max(self.now, now)
        if self.snapshot.index:
            self.nonce = 0
        return self._take_effects()

    # Elections.

    def _reset_election_timer(self) -> None:
        """Restart the election timeout, randomized so that voters do not time out together."""
        self._election_deadline = self.now + self.timing.election_timeout * (1 + self.rng.random())

    def _has_live_leader(self) -> bool:
        """Return whether a leader was heard so recently that it may rely on its lease."""
        if self.role == LEADER:
            return self._has_recent_quorum()
        return self.now < self._leader_heard_at + self.timing.election_timeout

    def _is_log_behind(self, last_term: int, last_index: int) -> bool:
        """Return whether a candidate's log may lack entries that this voter holds or has acknowledged."""
        return (last_term, last_index) < max((self.term_at(self.last_index), self.last_index), self.log_floor)

    def _handle_vote_request(self, source: str, payload: RequestVote) -> None:
        if not self.is_verified or source not in self.config.voters and payload.term <= self.term:
            return
        if self._has_live_leader() and not payload.is_leadership_transfer:
            return
        if payload.is_pre_vote:
            if payload.term > self.term:
                self._send(
                    source,
                    VoteReply(payload.term, not self._is_log_behind(payload.last_term, payload.last_index), True),
                )
            else:
                self._send(source, VoteReply(self.term, False))
            return
        if payload.term > self.term:
            self._become_follower(payload.term, "")
        granted = (
            payload.term == self.term
            and self.vote in ("", source)
            and not self._is_log_behind(payload.last_term, payload.last_index)
        )
        if granted:
            self.vote = source
            self._reset_election_timer()
        self._send(source, VoteReply(self.term, granted))

    def _start_pre_vote(self) -> None:
        self.role, self.leader, self.votes = PRE_CANDIDATE, "", {self.name}
        self._count("asked_beforehand")
        self._request_votes(
            RequestVote(self.term + 1, self.last_index, self.term_at(self.last_index), is_pre_vote=True)
        )

    def _start_election(self, is_leadership_transfer: bool = False) -> None:
        self.term, self.vote = self.term + 1, self.name
        self.role, self.leader, self.votes = CANDIDATE, "", {self.name}
        self._count("elections")
        self._reset_election_timer()
        self._request_votes(
            RequestVote(
                self.term, self.last_index, self.term_at(self.last_index), is_leadership_transfer=is_leadership_transfer
            )
        )

    def _request_votes(self, payload: RequestVote) -> None:
        for name in self.config.voters:
            if name != self.name:
                self._send(name, payload)
        self._check_votes()

    def _handle_vote_reply(self, source: str, payload: VoteReply) -> None:
        is_expected = (
            self.role == PRE_CANDIDATE
            and payload.is_pre_vote
            and payload.term == self.term + 1
            or self.role == CANDIDATE
            and not payload.is_pre_vote
            and payload.term == self.term
        )
        if is_expected and payload.granted and source in self.config.voters:
            self.votes.add(source)
            self._check_votes()

    def _check_votes(self) -> None:
        if len(self.votes) < self.config.majority:
            return
        if self.role == PRE_CANDIDATE:
            self._start_election()
            return
        self.role, self.leader = LEADER, self.name
        self._count("led")
        self.peers = {}
        self._round_sent_at = {}
        self._update_peers()
        for peer in self.peers.values():
            peer.heard_at = self.now
        self._term_start_index = self._append_entry("open", b"")
        self._send_heartbeats()

    def _become_follower(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
        if self.role == LEADER:
            self._count("stepped_down")
        self.role, self.leader, self.votes, self.peers = FOLLOWER, leader, set(), {}
        self._reset_election_timer()

    # Leader.

    def _update_peers(self) -> None:
        names = [name for name in (*self.config.voters, *self.config.learners) if name != self.name]
        # Configuration order keeps runs reproducible: the iteration order of a set of names differs between processes.
        self.peers = {name: self.peers.get(name) or Progress(self.last_index + 1) for name in names}

    def _has_recent_quorum(self) -> bool:
        heard_count = sum(
            name == self.name or self.now - self.peers[name].heard_at < self.timing.election_timeout
            for name in self.config.voters
        )
        return heard_count >= self.config.majority

    def _send_heartbeats(self) -> None:
        if not self._has_recent_quorum():
            self._become_follower(self.term, "")  # the majority may have elected another leader
            return
        self._heartbeat_at = self.now + self.timing.heartbeat
        self._replicate(include_current=True)

    def _replicate(self, include_current: bool = False) -> None:
        """Send missing entries to peers that lack some, or to all peers with `include_current`."""
        if self.role != LEADER:
            return
        self._round += 1
        self._round_sent_at[self._round] = self.now
        self._round_sent_at.pop(self._round - MAX_TRACKED_ROUNDS, None)
        for name, peer in self.peers.items():
            if include_current or peer.next_index <= self.last_index:
                self._send_entries(name, peer)
        self._advance_commit()

    def _send_entries(self, name: str, peer: Progress) -> None:
        if peer.next_index <= self.snapshot.index:
            if self.now >= peer.snapshot_sent_at + INSTALL_RETRY_SECONDS:
                peer.snapshot_sent_at = self.now
                self._send(name, InstallSnapshot(self.term, self.snapshot, self._round))
            elif self._heartbeat_at > self.now + self.timing.heartbeat * 0.99:
                # During a transfer an empty append serves as the heartbeat, sent only with the heartbeats.
                self._send(name, AppendEntries(self.term, self.last_index + 1, IMPOSSIBLE_TERM, [], 0, self._round))
            return
        entries = self.entries_after(peer.next_index - 1)
        self._send(
            name,
            AppendEntries(
                self.term,
                peer.next_index - 1,
                self.term_at(peer.next_index - 1),
                entries,
                self.commit,
                self._round,
                peer.verified_nonce,
            ),
        )
        peer.next_index += len(entries)  # if they are lost, the reply to a later append resets it

    def _handle_append_reply(self, source: str, payload: AppendReply) -> None:
        peer = self.peers.get(source)
        if self.role != LEADER or payload.term != self.term or peer is None:
            return
        peer.heard_at = self.now
        if payload.round > peer.confirmed_round and payload.round in self._round_sent_at:
            peer.confirmed_round, peer.confirmed_at = payload.round, self._round_sent_at[payload.round]
        if (payload.incarnation, payload.nonce) != (peer.incarnation, peer.nonce):
            if payload.incarnation != peer.incarnation:
                peer.match_index = 0  # possibly another disk: earlier acknowledgements are void
            peer.incarnation, peer.nonce, peer.verified_nonce = payload.incarnation, payload.nonce, 0
            if payload.nonce:
                peer.nonce_round, peer.nonce_index = self._round + 1, self.last_index
        if not payload.ok:
            peer.next_index = max(peer.match_index + 1, min(payload.match_index + 1, self.last_index + 1))
            self._send_entries(source, peer)
            return
        # A reply to a snapshot may name an index compacted since; what is beyond the last index is not this leader's.
        peer.match_index = max(peer.match_index, min(payload.match_index, self.last_index))
        peer.next_index = max(peer.next_index, peer.match_index + 1)
        self._advance_commit()
        self._verify_peer(source, peer)
        if (
            self.role == LEADER
            and source in self.config.learners
            and not payload.nonce
            and peer.match_index >= self.last_index
            and self.is_settled
        ):
            voters = {**self.config.voters, source: self.config.learners[source]}
            learners = {name: address for name, address in self.config.learners.items() if name != source}
            self._append_entry("seats", pack_config(Config(voters, learners)))
            self._replicate()
        elif self.role == LEADER and peer.next_index <= self.last_index:
            self._send_entries(source, peer)

    def _verify_peer(self, source: str, peer: Progress) -> None:
        """Allow an unverified peer to vote again once it holds everything up to `nonce_index`.

        A majority without the peer must have confirmed this leader since the nonce arrived.
        """
        if not peer.nonce or peer.verified_nonce or peer.match_index < peer.nonce_index:
            return
        confirmations = sum(
            name == self.name or self.peers[name].confirmed_round >= peer.nonce_round
            for name in self.config.voters
            if name != source
        )
        if confirmations >= self.config.majority:
            peer.verified_nonce = peer.nonce
            self._count("cleared")

    def _advance_commit(self) -> None:
        matches = sorted(
            (self.last_index if name == self.name else self.peers[name].match_index for name in self.config.voters),
            reverse=True,
        )
        quorum_index = matches[self.config.majority - 1]
        if quorum_index > self.commit and self.term_at(quorum_index) == self.term:
            self._commit_to(quorum_index)
            if self.is_settled and self.name not in self.config.voters:
                self._become_follower(self.term, "")

    # Follower.

    def _handle_append(self, source: str, payload: AppendEntries) -> None:
        if payload.term < self.term:
            self._send(source, AppendReply(self.term, False, 0, payload.round, self.incarnation, self.nonce))
            return
        self._note_leader(source)
        if payload.prev_index < self.snapshot.index:  # already applied here
            entries = [entry for entry in payload.entries if entry.index > self.snapshot.index]
            if not entries or entries[0].index != self.snapshot.index + 1:
                self._send(
                    source, AppendReply(self.term, True, self.commit, payload.round, self.incarnation, self.nonce)
                )
                return
        else:
            entries = payload.entries
            if self.term_at(payload.prev_index) != payload.prev_term:
                hint = self.last_index if payload.prev_index > self.last_index else self.commit
                self._send(source, AppendReply(self.term, False, hint, payload.round, self.incarnation, self.nonce))
                return
        for position, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                self._replace_suffix(entries[position:])
                break
        match = max(payload.prev_index + len(payload.entries), self.snapshot.index)
        self._commit_to(min(payload.commit, match))
        if payload.verified_nonce and payload.verified_nonce == self.nonce:
            self._mark_verified(self.term, source)
        self._send(source, AppendReply(self.term, True, match, payload.round, self.incarnation, self.nonce))

    def _handle_install(self, source: str, payload: InstallSnapshot) -> None:
        if payload.term < self.term:
            self._send(source, AppendReply(self.term, False, 0, payload.round, self.incarnation, self.nonce))
            return
        self._note_leader(source)
        snapshot = payload.snapshot
        if snapshot.index > self.commit:
            if self.term_at(snapshot.index) == snapshot.term:
                self._commit_to(snapshot.index)
            else:
                self.snapshot = self._unsaved_snapshot = snapshot
                self.entries, self._first_unsaved = [], 0
                self._configs = [(snapshot.index, snapshot.config)]
                self.commit = self.applied = snapshot.index
                self._pending_effects.append(Restore(snapshot))
        self._send(source, AppendReply(self.term, True, snapshot.index, payload.round, self.incarnation, self.nonce))

    def _note_leader(self, source: str) -> None:
        if self.role != FOLLOWER:
            self._become_follower(self.term, source)
        self.leader, self._leader_heard_at = source, self.now
        self._reset_election_timer()

    def _replace_suffix(self, entries: list[Entry]) -> None:
        """Append entries after dropping conflicting ones, which were never committed."""
        first = entries[0].index
        assert first > self.commit, "what is committed is never replaced"
        del self.entries[first - self.snapshot.index - 1 :]
        self._configs = [(start, config) for start, config in self._configs if start < first]
        self._first_unsaved = min(self._first_unsaved or first, first)
        for entry in entries:
            self.entries.append(entry)
            self._note_config(entry)

    # Verification of the disk.

    def _other_voters(self) -> list[str]:
        addresses = self.config.voters or self.initial_voters
        return [name for name in addresses if name != self.name]

    def _handle_state_reply(self, source: str, payload: StateReply) -> None:
        if self.nonce and payload.query_nonce == self.nonce:
            self._state_replies[source] = payload
            self._try_verify()

    def _try_verify(self) -> None:
        """Verify the disk, or bootstrap the log, once every other voter has answered this incarnation's query."""
        others = self._other_voters()
        if any(name not in self._state_replies for name in others):
            return
        if self.snapshot.index:
            replies = [self._state_replies[name] for name in others]
            self.log_floor = max([self.log_floor, *((reply.last_term, reply.last_index) for reply in replies)])
            self._mark_verified(max([self.term, *(reply.term for reply in replies)]), VOTE_SPENT)
            return
        replies = [self._state_replies[name] for name in others]
        if (
            not self.is_empty
            or not self.initial_voters
            or any((reply.term, reply.last_index) > (1, 1) for reply in replies)
        ):
            return
        config = Config(self.initial_voters)
        if any(reply.last_index for reply in replies):
            self._bootstrap(config)  # others have bootstrapped and not gone further: Bootstrap was lost
        elif self.name == min(self.initial_voters):
            for name in others:
                self._send(name, Bootstrap(config, {other: self._state_replies[other].nonce for other in others}))
            self._bootstrap(config)

    def _mark_verified(self, term: int, vote: str) -> None:
        """Allow this voter to vote again, except in the current term where `vote` is taken."""
        self.nonce = 0
        if term > self.term:
            self._become_follower(term, "")
        self.vote = vote
        self._count("proved")

    def _bootstrap(self, config: Config) -> None:
        self.snapshot = self._unsaved_snapshot = Snapshot(1, 1, config)
        self.entries, self._configs = [], [(1, config)]
        self.commit = self.applied = 1
        self.term, self.vote, self.nonce = 1, VOTE_SPENT, 0
        self._pending_effects.append(Restore(self.snapshot))
        self._reset_election_timer()

    # Helpers.

    def _note_config(self, entry: Entry) -> None:
        if entry.kind == "seats":
            self._configs.append((entry.index, unpack_config(entry.data)))

    def _append_entry(self, kind: str, data: bytes) -> int:
        previous = self.entries[-1].timestamp if self.entries else self.snapshot.timestamp
        entry = Entry(self.last_index + 1, self.term, kind, data, max(self.now, previous))
        self.entries.append(entry)
        self._first_unsaved = self._first_unsaved or entry.index
        self._note_config(entry)
        if kind == "seats":
            self._update_peers()
        return entry.index

    def _commit_to(self, index: int) -> None:
        if index > self.commit:
            self.commit = index
            ready = tuple(self.entries[self.applied - self.snapshot.index : index - self.snapshot.index])
            self.applied = index
            self._pending_effects.append(Apply(ready))

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _send(self, to: str, payload: RaftMessage) -> None:
        self._pending_effects.append(Send(to, payload))

    def _take_effects(self) -> list[Effect]:
        effects, self._pending_effects = self._pending_effects, []
        state = (self.term, self.vote, bool(self.nonce), self.log_floor)
        if state != self._saved_state or self._first_unsaved or self._unsaved_snapshot is not None:
            first = self._first_unsaved or self.last_index + 1
            entries = tuple(self.entries[max(0, first - self.snapshot.index - 1) :])
            effects.insert(0, Persist(*state, first, entries, self._unsaved_snapshot))
            self._saved_state, self._first_unsaved, self._unsaved_snapshot = state, 0, None
        return effects
