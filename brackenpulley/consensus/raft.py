"""One voter of the log: everything that its state depends on comes in through `receive`, `tick`, `propose`, `change`.

Raft (Ongaro and Ousterhout 2014), with pre-vote, check-quorum, leases and one-at-a-time changes of voters as in
Ongaro's dissertation (2014, chapters 3, 4, 6 and 9). Who leads and who votes:

    role      | its time is over       | a greater term         | a majority grants | a leader of its term speaks
    ----------+------------------------+------------------------+-------------------+----------------------------
    follower  | asks beforehand        | follower               |                   | follows it
    asking    | asks again             | follower               | candidate         | follower
    candidate | asks beforehand        | follower               | leader            | follower
    leader    | beat; without majority | follower               |                   | (there is no other)
              | for a time: follower   |                        |                   |

Whether it may vote:

    proof   | begins with                             | becomes `proved` by
    --------+-----------------------------------------+----------------------------------------------------------------
    proved  | the seal says that the disk is as left  |
    unsure  | no seal, or one of another disk or boot | a leader that a majority without this voter confirmed after the
            |                                         | question, once all that it held then is here; or without one,
            |                                         | the payload of every other voter
    fresh   | the disk holds nothing                  | such a leader; or no founder is beyond the first configuration

Why that is enough: what a lost or older disk has forgotten are votes and what it said it held. A leader confirmed by a
majority without this voter has a term at least that of any that this voter voted in or answered to, and holds whatever
was committed by its payload; its own answers from now on are true again. The payload of all the others gives the term (and
no vote in it) and how long a log a candidate must have, provided that not two disks are older at once. More of this in
docs/design/consensus.md.

What goes out is in the order in which it has to be done: first `Persist`, synced, then all that rests on it. StateQuery
storing fails the voter is `halted`: what it thinks is ahead of its disk, so it says nothing until made anew from it."""

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

FOLLOWER, PRE_CANDIDATE, CANDIDATE, LEADER = "follower", "asking", "candidate", "leader"
VOTE_SPENT = "-"  # a vote that can't be given any more
UNKNOWN_TERM, IMPOSSIBLE_TERM = -1, -2  # terms: of an entry that is not here, and one that no entry has
MAX_BATCH_ENTRIES, MAX_BATCH_BYTES = 64, 60_000  # entries of one message
MAX_TRACKED_ROUNDS = 256  # that a leader remembers the time of
INSTALL_RETRY_SECONDS = 1.0  # s between two tries to send a snapshot
QUERY_INTERVAL_HEARTBEATS = 3  # beats between two questions of a voter that is unsure


@dataclass(slots=True, frozen=True)
class Timing:
    """Seconds. `drift`: part of `election` by which clocks may differ over that time."""

    heartbeat: float = 0.2
    election_timeout: float = 1.0  # without a leader's payload, to twice as long
    clock_drift: float = 0.1


@dataclass(slots=True)
class PersistentState:
    """What the disk holds. `unsure` and `floor` outlive a restart: nothing was proved by it."""

    term: int = 0
    vote: str = ""
    is_unverified: bool = False
    log_floor: tuple[int, int] = (0, 0)
    snapshot: Snapshot = Snapshot()
    entries: list[Entry] = field(default_factory=list)  # those after the snapshot, without a gap


@dataclass(slots=True, frozen=True)
class Persist:
    """To be on disk before anything that stands behind it: entries from `first` on are replaced by these."""

    term: int
    vote: str
    is_unverified: bool
    log_floor: tuple[int, int]
    first_index: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None  # entries up to its index are no longer needed


@dataclass(slots=True, frozen=True)
class Send:
    to: str
    payload: RaftMessage


@dataclass(slots=True, frozen=True)
class Apply:
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Restore:
    """Everything applied so far is replaced."""

    snapshot: Snapshot


Effect = Persist | Send | Apply | Restore


@dataclass(slots=True)
class Progress:
    """What a leader knows of another one."""

    next_index: int
    match_index: int = 0
    heard_at: float = -inf
    confirmed_at: float = -inf  # when the last round that it answered was sent
    confirmed_round: int = 0  # that one
    snapshot_sent_at: float = -inf
    incarnation: int = 0
    nonce: int = 0  # of one that is unsure: what it has to be shown
    nonce_round: int = 0
    nonce_index: int = 0
    verified_nonce: int = 0


class Node:
    """`initial_voters` are those of the settings; they count only while all of them are fresh."""

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
        sure = is_verified and not persisted.is_unverified and persisted.snapshot.index > 0
        self.nonce = 0 if sure else rng.getrandbits(62) + 1
        self.incarnation = rng.getrandbits(62)
        self.log_floor = persisted.log_floor  # (term, index) that a candidate's log must reach, whatever ours is
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
        self._leader_heard_at = now  # a leader's payload; at the start too, since one may have been promised time
        self._election_deadline = 0.0
        self._heartbeat_at = self._query_at = now
        self._round = 0
        self._round_sent_at: dict[int, float] = {}
        self._term_start_index = 0  # index of this leader's first entry
        self._saved_state = (self.term, self.vote, persisted.is_unverified, self.log_floor)
        self._first_unsaved = 0  # of the entries that are still to be stored; 0 = none
        self._unsaved_snapshot: Snapshot | None = None
        self._pending_effects: list[Effect] = []
        self._reset_election_timer()

    # What it is.

    @property
    def is_verified(self) -> bool:
        return not self.nonce

    @property
    def is_empty(self) -> bool:
        """No leader was ever heard of either."""
        return not self.term and not self.snapshot.index

    @property
    def config(self) -> Config:
        return self._configs[-1][1]

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def is_settled(self) -> bool:
        """No change of voters is under way."""
        return self._configs[-1][0] <= self.commit

    def term_at(self, index: int) -> int:
        """UNKNOWN_TERM where it is not here any more, or not yet."""
        if index == self.snapshot.index:
            return self.snapshot.term
        at = index - self.snapshot.index - 1
        return self.entries[at].term if 0 <= at < len(self.entries) else UNKNOWN_TERM

    def entries_after(self, index: int, limit: int = MAX_BATCH_ENTRIES) -> list[Entry]:
        """Entries from the one after `index` on."""
        begin = max(0, index - self.snapshot.index)
        found: list[Entry] = []
        size = 0
        for entry in self.entries[begin : begin + limit]:
            size += len(entry.data) + 40
            if found and size > MAX_BATCH_BYTES:
                break
            found.append(entry)
        return found

    def is_current(self, now: float) -> bool:
        """What is applied here is all that is committed anywhere: it leads, a majority said so so lately that no other
        one can lead yet, and an entry of its own term is committed."""
        if self.role != LEADER or self.is_halted or self.commit < self._term_start_index or self.applied < self.commit:
            return False
        times = sorted(
            [now if name == self.name else self.peers[name].confirmed_at for name in self.config.voters], reverse=True
        )
        since = times[self.config.majority - 1]
        return now < since + self.timing.election_timeout * (1 - self.timing.clock_drift)

    # What comes in.

    def receive(self, now: float, source: str, payload: RaftMessage) -> list[Effect]:
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
        """To be called again by `next_tick`."""
        self.now = max(self.now, now)
        if self.is_halted:
            return []
        if self.nonce and self._query_at <= self.now:
            self._query_at = self.now + self.timing.heartbeat * QUERY_INTERVAL_HEARTBEATS * (
                0.75 + 0.5 * self.rng.random()
            )
            self._try_verify()  # a lone voter has nobody to wait for
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
        times = [self._heartbeat_at if self.role == LEADER else self._election_deadline]
        if self.nonce:
            times.append(self._query_at)
        return inf if self.is_halted else max(self.now, min(times))

    def propose(self, now: float, data: bytes) -> tuple[int, list[Effect]]:
        """The index that it will have if it is committed; 0 where this voter does not lead."""
        self.now = max(self.now, now)
        if self.role != LEADER or self.is_halted:
            return 0, []
        index = self._append_entry("op", data)
        self._replicate()
        return index, self._take_effects()

    def change_voter(self, now: float, name: str, address: str = "") -> tuple[str, list[Effect]]:
        """One voter comes, first as one that only listens, or goes where no address is told. Says why not, or ""."""
        self.now = max(self.now, now)
        config = self.config
        if self.role != LEADER or self.is_halted:
            return "this voter does not lead", []
        if not self.is_settled or self.commit < self._term_start_index:
            return "another change is under way", []
        if address:
            if name in config.voters or name in config.learners:
                return f"{name} is one already", []
            made = Config(config.voters, {**config.learners, name: address})
        else:
            if name not in config.voters and name not in config.learners:
                return f"no voter {name}", []
            if len(config.voters) == 1 and name in config.voters:
                return "the last voter cannot go", []
            made = Config(
                *({n: at for n, at in addresses.items() if n != name} for addresses in (config.voters, config.learners))
            )
        self._append_entry("seats", pack_config(made))
        self._replicate()
        return "", self._take_effects()

    def resign(self, now: float) -> list[Effect]:
        """It goes, and asks the one whose log is longest to lead: nobody waits for a time-out."""
        self.now = max(self.now, now)
        if self.role == LEADER and not self.is_halted:
            others = [
                (p.match_index, name)
                for name, p in self.peers.items()
                if name in self.config.voters and self.now - p.heard_at < self.timing.election_timeout
            ]
            term = self.term
            self._become_follower(term, "")
            self._leader_heard_at = self.now  # it does not stand itself before the other one could
            if others:
                self._send(max(others)[1], TimeoutNow(term))
        return self._take_effects()

    def compact(self, index: int, data: bytes) -> list[Effect]:
        """All up to `index`, which is applied, is in `data` and leaves the log."""
        if self.snapshot.index < index <= self.applied and not self.is_halted:
            config = [c for at, c in self._configs if at <= index][-1]
            entry = self.entries[index - self.snapshot.index - 1]
            made = Snapshot(index, entry.term, config, data, entry.timestamp)
            del self.entries[: index - self.snapshot.index]
            self.snapshot = self._unsaved_snapshot = made
            self._configs = [(index, config), *((at, c) for at, c in self._configs if at > index)]
        return self._take_effects()

    def trust_store(self, now: float) -> list[Effect]:
        """An operator's payload that this disk is as it was left."""
        self.now = max(self.now, now)
        if self.snapshot.index:
            self.nonce = 0
        return self._take_effects()

    # Elections.

    def _reset_election_timer(self) -> None:
        """A new time to wait, never in step with the others."""
        self._election_deadline = self.now + self.timing.election_timeout * (1 + self.rng.random())

    def _has_live_leader(self) -> bool:
        """A leader was heard so lately that it counts on not being replaced."""
        if self.role == LEADER:
            return self._has_recent_quorum()
        return self.now < self._leader_heard_at + self.timing.election_timeout

    def _is_log_behind(self, last_term: int, last_index: int) -> bool:
        """That log may lack what ours has, or what ours had."""
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
        asked = (
            self.role == PRE_CANDIDATE
            and payload.is_pre_vote
            and payload.term == self.term + 1
            or self.role == CANDIDATE
            and not payload.is_pre_vote
            and payload.term == self.term
        )
        if asked and payload.granted and source in self.config.voters:
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

    # A leader.

    def _update_peers(self) -> None:
        wanted = [name for name in (*self.config.voters, *self.config.learners) if name != self.name]
        # In the order of the configuration: that of a set differs from process to process, and so would runs.
        self.peers = {name: self.peers.get(name) or Progress(self.last_index + 1) for name in wanted}

    def _has_recent_quorum(self) -> bool:
        heard = sum(
            name == self.name or self.now - self.peers[name].heard_at < self.timing.election_timeout
            for name in self.config.voters
        )
        return heard >= self.config.majority

    def _send_heartbeats(self) -> None:
        if not self._has_recent_quorum():
            self._become_follower(self.term, "")  # cut off from the rest, who may have another one by now
            return
        self._heartbeat_at = self.now + self.timing.heartbeat
        self._replicate(include_current=True)

    def _replicate(self, include_current: bool = False) -> None:
        """To those who lack something; to all where it is time."""
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
            elif (
                self._heartbeat_at > self.now + self.timing.heartbeat * 0.99
            ):  # a sign of life meanwhile, and only with the beat
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
        peer.next_index += len(entries)  # lost ones are met by the answer to what follows

    def _handle_append_reply(self, source: str, payload: AppendReply) -> None:
        peer = self.peers.get(source)
        if self.role != LEADER or payload.term != self.term or peer is None:
            return
        peer.heard_at = self.now
        if payload.round > peer.confirmed_round and payload.round in self._round_sent_at:
            peer.confirmed_round, peer.confirmed_at = payload.round, self._round_sent_at[payload.round]
        if (payload.incarnation, payload.nonce) != (peer.incarnation, peer.nonce):
            if payload.incarnation != peer.incarnation:
                peer.match_index = 0  # another disk, maybe, under the same name: what it said it held counts no more
            peer.incarnation, peer.nonce, peer.verified_nonce = payload.incarnation, payload.nonce, 0
            if payload.nonce:
                peer.nonce_round, peer.nonce_index = self._round + 1, self.last_index
        if not payload.ok:
            peer.next_index = max(peer.match_index + 1, min(payload.match_index + 1, self.last_index + 1))
            self._send_entries(source, peer)
            return
        # A snapshot's answer may name what the log no longer holds; beyond our last nothing is ours.
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
            learners = {name: at for name, at in self.config.learners.items() if name != source}
            self._append_entry("seats", pack_config(Config(voters, learners)))
            self._replicate()
        elif self.role == LEADER and peer.next_index <= self.last_index:
            self._send_entries(source, peer)

    def _verify_peer(self, source: str, peer: Progress) -> None:
        """One that was unsure may vote again: a majority without it confirmed us after it asked, and it holds what we
        held then."""
        if not peer.nonce or peer.verified_nonce or peer.match_index < peer.nonce_index:
            return
        sure = sum(
            name == self.name or self.peers[name].confirmed_round >= peer.nonce_round
            for name in self.config.voters
            if name != source
        )
        if sure >= self.config.majority:
            peer.verified_nonce = peer.nonce
            self._count("cleared")

    def _advance_commit(self) -> None:
        matches = sorted(
            (self.last_index if name == self.name else self.peers[name].match_index for name in self.config.voters),
            reverse=True,
        )
        reached = matches[self.config.majority - 1]
        if reached > self.commit and self.term_at(reached) == self.term:
            self._commit_to(reached)
            if self.is_settled and self.name not in self.config.voters:
                self._become_follower(self.term, "")

    # A follower.

    def _handle_append(self, source: str, payload: AppendEntries) -> None:
        if payload.term < self.term:
            self._send(source, AppendReply(self.term, False, 0, payload.round, self.incarnation, self.nonce))
            return
        self._note_leader(source)
        if payload.prev_index < self.snapshot.index:  # it holds that already, applied
            entries = [entry for entry in payload.entries if entry.index > self.snapshot.index]
            if not entries or entries[0].index != self.snapshot.index + 1:
                self._send(
                    source, AppendReply(self.term, True, self.commit, payload.round, self.incarnation, self.nonce)
                )
                return
        else:
            entries = payload.entries
            if self.term_at(payload.prev_index) != payload.prev_term:
                worth = self.last_index if payload.prev_index > self.last_index else self.commit
                self._send(source, AppendReply(self.term, False, worth, payload.round, self.incarnation, self.nonce))
                return
        for at, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                self._replace_suffix(entries[at:])
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
        told = payload.snapshot
        if told.index > self.commit:
            if self.term_at(told.index) == told.term:
                self._commit_to(told.index)
            else:
                self.snapshot = self._unsaved_snapshot = told
                self.entries, self._first_unsaved = [], 0
                self._configs = [(told.index, told.config)]
                self.commit = self.applied = told.index
                self._pending_effects.append(Restore(told))
        self._send(source, AppendReply(self.term, True, told.index, payload.round, self.incarnation, self.nonce))

    def _note_leader(self, source: str) -> None:
        if self.role != FOLLOWER:
            self._become_follower(self.term, source)
        self.leader, self._leader_heard_at = source, self.now
        self._reset_election_timer()

    def _replace_suffix(self, entries: list[Entry]) -> None:
        """These follow what is held; what stood there is of a leader that has lost."""
        first = entries[0].index
        assert first > self.commit, "what is committed is never replaced"
        del self.entries[first - self.snapshot.index - 1 :]
        self._configs = [(at, config) for at, config in self._configs if at < first]
        self._first_unsaved = min(self._first_unsaved or first, first)
        for entry in entries:
            self.entries.append(entry)
            self._note_config(entry)

    # Whether the disk is as it was left.

    def _other_voters(self) -> list[str]:
        addresses = self.config.voters or self.initial_voters
        return [name for name in addresses if name != self.name]

    def _handle_state_reply(self, source: str, payload: StateReply) -> None:
        if self.nonce and payload.query_nonce == self.nonce:
            self._state_replies[source] = payload
            self._try_verify()

    def _try_verify(self) -> None:
        """All the others have said where they are, since this life began."""
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
            self._bootstrap(config)  # some have founded it, and nobody has gone on from there: payload of it was lost
        elif self.name == min(self.initial_voters):
            for name in others:
                self._send(name, Bootstrap(config, {other: self._state_replies[other].nonce for other in others}))
            self._bootstrap(config)

    def _mark_verified(self, term: int, vote: str) -> None:
        """It may vote again, but not in this term for anybody else."""
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

    # Small things.

    def _note_config(self, entry: Entry) -> None:
        if entry.kind == "seats":
            self._configs.append((entry.index, unpack_config(entry.data)))

    def _append_entry(self, kind: str, data: bytes) -> int:
        before = self.entries[-1].timestamp if self.entries else self.snapshot.timestamp
        entry = Entry(self.last_index + 1, self.term, kind, data, max(self.now, before))
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
        out, self._pending_effects = self._pending_effects, []
        now = (self.term, self.vote, bool(self.nonce), self.log_floor)
        if now != self._saved_state or self._first_unsaved or self._unsaved_snapshot is not None:
            first = self._first_unsaved or self.last_index + 1
            entries = tuple(self.entries[max(0, first - self.snapshot.index - 1) :])
            out.insert(0, Persist(*now, first, entries, self._unsaved_snapshot))
            self._saved_state, self._first_unsaved, self._unsaved_snapshot = now, 0, None
        return out
