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
            |                                         | the word of every other voter
    fresh   | the disk holds nothing                  | such a leader; or no founder is beyond the first configuration

Why that is enough: what a lost or older disk has forgotten are votes and what it said it held. A leader confirmed by a
majority without this voter has a term at least that of any that this voter voted in or answered to, and holds whatever
was committed by its word; its own answers from now on are true again. The word of all the others gives the term (and
no vote in it) and how long a log a candidate must have, provided that not two disks are older at once. More of this in
docs/design/consensus.md.

What goes out is in the order in which it has to be done: first `Store`, synced, then all that rests on it. Where
storing fails the voter is `halted`: what it thinks is ahead of its disk, so it says nothing until made anew from it."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from math import inf

from .wire import (
    Append,
    Appended,
    AskVote,
    Config,
    Entry,
    Found,
    Here,
    Install,
    Message,
    Now,
    Seats,
    Snapshot,
    Vote,
    Where,
    pack_config,
    unpack_config,
)

FOLLOWER, ASKING, CANDIDATE, LEADER = "follower", "asking", "candidate", "leader"
NOBODY = "-"  # a vote that can't be given any more
UNKNOWN, NEVER = -1, -2  # terms: of an entry that is not here, and one that no entry has
BATCH, BATCH_BYTES = 64, 60_000  # entries of one message
ROUNDS = 256  # that a leader remembers the time of
INSTALL_AGAIN = 1.0  # s between two tries to send a snapshot
PERSIST = 3  # beats between two questions of a voter that is unsure


@dataclass(slots=True, frozen=True)
class Timing:
    """Seconds. `drift`: part of `election` by which clocks may differ over that time."""

    beat: float = 0.2
    election: float = 1.0  # without a leader's word, to twice as long
    drift: float = 0.1


@dataclass(slots=True)
class Kept:
    """What the disk holds. `unsure` and `floor` outlive a restart: nothing was proved by it."""

    term: int = 0
    vote: str = ""
    unsure: bool = False
    floor: tuple[int, int] = (0, 0)
    snapshot: Snapshot = Snapshot()
    entries: list[Entry] = field(default_factory=list)  # those after the snapshot, without a gap


@dataclass(slots=True, frozen=True)
class Store:
    """To be on disk before anything that stands behind it: entries from `first` on are replaced by these."""

    term: int
    vote: str
    unsure: bool
    floor: tuple[int, int]
    first: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None  # entries up to its index are no longer needed


@dataclass(slots=True, frozen=True)
class Send:
    to: str
    word: Message


@dataclass(slots=True, frozen=True)
class Apply:
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class Restore:
    """Everything applied so far is replaced."""

    snapshot: Snapshot


Effect = Store | Send | Apply | Restore


@dataclass(slots=True)
class Progress:
    """What a leader knows of another one."""

    next: int
    match: int = 0
    heard: float = -inf
    confirmed: float = -inf  # when the last round that it answered was sent
    round: int = 0  # that one
    installing: float = -inf
    life: int = 0
    nonce: int = 0  # of one that is unsure: what it has to be shown
    nonce_round: int = 0
    nonce_index: int = 0
    cleared: int = 0


class Node:
    """`founders` are those of the settings; they count only while all of them are fresh."""

    def __init__(
        self,
        name: str,
        kept: Kept,
        rng: random.Random,
        now: float,
        timing: Timing | None = None,
        proved: bool = True,
        founders: Seats | None = None,
    ) -> None:
        self.name, self.rng, self.now, self.timing = name, rng, now, timing or Timing()
        self.term, self.vote, self.base, self.entries = kept.term, kept.vote, kept.snapshot, list(kept.entries)
        self.founders = dict(founders or {})
        sure = proved and not kept.unsure and kept.snapshot.index > 0
        self.nonce = 0 if sure else rng.getrandbits(62) + 1
        self.life = rng.getrandbits(62)
        self.floor = kept.floor  # (term, index) that a candidate's log must reach, whatever ours is
        self.halted = False
        self.role, self.leader = FOLLOWER, ""
        self.commit = self.applied = self.base.index
        self.votes: set[str] = set()
        self.peers: dict[str, Progress] = {}
        self.counts: dict[str, int] = {}
        self._heres: dict[str, Here] = {}
        self._configs: list[tuple[int, Config]] = [(self.base.index, self.base.config)]
        for entry in self.entries:
            self._note_config(entry)
        self._heard = now  # a leader's word; at the start too, since one may have been promised time
        self._deadline = 0.0
        self._beat_at = self._ask_at = now
        self._round = 0
        self._round_at: dict[int, float] = {}
        self._opened = 0  # index of this leader's first entry
        self._stored = (self.term, self.vote, kept.unsure, self.floor)
        self._first = 0  # of the entries that are still to be stored; 0 = none
        self._snapshot: Snapshot | None = None
        self._out: list[Effect] = []
        self._rest()

    # What it is.

    @property
    def proved(self) -> bool:
        return not self.nonce

    @property
    def fresh(self) -> bool:
        """No leader was ever heard of either."""
        return not self.term and not self.base.index

    @property
    def config(self) -> Config:
        return self._configs[-1][1]

    @property
    def last(self) -> int:
        return self.base.index + len(self.entries)

    @property
    def settled(self) -> bool:
        """No change of voters is under way."""
        return self._configs[-1][0] <= self.commit

    def term_at(self, index: int) -> int:
        """UNKNOWN where it is not here any more, or not yet."""
        if index == self.base.index:
            return self.base.term
        at = index - self.base.index - 1
        return self.entries[at].term if 0 <= at < len(self.entries) else UNKNOWN

    def after(self, index: int, most: int = BATCH) -> list[Entry]:
        """Entries from the one after `index` on."""
        begin = max(0, index - self.base.index)
        found: list[Entry] = []
        size = 0
        for entry in self.entries[begin : begin + most]:
            size += len(entry.data) + 40
            if found and size > BATCH_BYTES:
                break
            found.append(entry)
        return found

    def current(self, now: float) -> bool:
        """What is applied here is all that is committed anywhere: it leads, a majority said so so lately that no other
        one can lead yet, and an entry of its own term is committed."""
        if self.role != LEADER or self.halted or self.commit < self._opened or self.applied < self.commit:
            return False
        times = sorted(
            [now if name == self.name else self.peers[name].confirmed for name in self.config.voters], reverse=True
        )
        since = times[self.config.majority - 1]
        return now < since + self.timing.election * (1 - self.timing.drift)

    # What comes in.

    def receive(self, now: float, source: str, word: Message) -> list[Effect]:
        self.now = max(self.now, now)
        if self.halted:
            return []
        if isinstance(word, AskVote):
            self._asked(source, word)
        elif isinstance(word, Where):
            if source in self._known():
                self._send(
                    source, Here(word.nonce, self.nonce, self.fresh, self.term, self.last, self.term_at(self.last))
                )
        elif isinstance(word, Here):
            self._here(source, word)
        elif isinstance(word, Found):
            if self.fresh and word.nonces.get(self.name) == self.nonce:
                self._found(word.config)
        else:
            if word.term > self.term and not (isinstance(word, Vote) and word.pre):
                self._follow(word.term, "")
            if isinstance(word, Vote):
                self._granted(source, word)
            elif isinstance(word, Append):
                self._append(source, word)
            elif isinstance(word, Install):
                self._install(source, word)
            elif isinstance(word, Appended):
                self._appended(source, word)
            elif word.term == self.term and self.role == FOLLOWER and self.proved and self.name in self.config.voters:
                self._campaign(sent=True)
        return self._effects()

    def tick(self, now: float) -> list[Effect]:
        """To be called again by `next_tick`."""
        self.now = max(self.now, now)
        if self.halted:
            return []
        if self.nonce and self._ask_at <= self.now:
            self._ask_at = self.now + self.timing.beat * PERSIST * (0.75 + 0.5 * self.rng.random())
            self._clear()  # a lone voter has nobody to wait for
            if self.nonce:
                for name in self._known():
                    self._send(name, Where(self.nonce))
        if self.role == LEADER:
            if self._beat_at <= self.now:
                self._beat()
        elif self._deadline <= self.now:
            self._rest()
            if self.proved and self.name in self.config.voters:
                self._ask_beforehand()
        return self._effects()

    def next_tick(self) -> float:
        times = [self._beat_at if self.role == LEADER else self._deadline]
        if self.nonce:
            times.append(self._ask_at)
        return inf if self.halted else max(self.now, min(times))

    def propose(self, now: float, data: bytes) -> tuple[int, list[Effect]]:
        """The index that it will have if it is committed; 0 where this voter does not lead."""
        self.now = max(self.now, now)
        if self.role != LEADER or self.halted:
            return 0, []
        index = self._add("op", data)
        self._spread()
        return index, self._effects()

    def change(self, now: float, name: str, address: str = "") -> tuple[str, list[Effect]]:
        """One voter comes, first as one that only listens, or goes where no address is told. Says why not, or ""."""
        self.now = max(self.now, now)
        config = self.config
        if self.role != LEADER or self.halted:
            return "this voter does not lead", []
        if not self.settled or self.commit < self._opened:
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
                *({n: at for n, at in seats.items() if n != name} for seats in (config.voters, config.learners))
            )
        self._add("seats", pack_config(made))
        self._spread()
        return "", self._effects()

    def resign(self, now: float) -> list[Effect]:
        """It goes, and asks the one whose log is longest to lead: nobody waits for a time-out."""
        self.now = max(self.now, now)
        if self.role == LEADER and not self.halted:
            others = [
                (p.match, name)
                for name, p in self.peers.items()
                if name in self.config.voters and self.now - p.heard < self.timing.election
            ]
            term = self.term
            self._follow(term, "")
            self._heard = self.now  # it does not stand itself before the other one could
            if others:
                self._send(max(others)[1], Now(term))
        return self._effects()

    def compact(self, index: int, data: bytes) -> list[Effect]:
        """All up to `index`, which is applied, is in `data` and leaves the log."""
        if self.base.index < index <= self.applied and not self.halted:
            config = [c for at, c in self._configs if at <= index][-1]
            entry = self.entries[index - self.base.index - 1]
            made = Snapshot(index, entry.term, config, data, entry.at)
            del self.entries[: index - self.base.index]
            self.base = self._snapshot = made
            self._configs = [(index, config), *((at, c) for at, c in self._configs if at > index)]
        return self._effects()

    def trust(self, now: float) -> list[Effect]:
        """An operator's word that this disk is as it was left."""
        self.now = max(self.now, now)
        if self.base.index:
            self.nonce = 0
        return self._effects()

    # Elections.

    def _rest(self) -> None:
        """A new time to wait, never in step with the others."""
        self._deadline = self.now + self.timing.election * (1 + self.rng.random())

    def _led(self) -> bool:
        """A leader was heard so lately that it counts on not being replaced."""
        if self.role == LEADER:
            return self._majority_heard()
        return self.now < self._heard + self.timing.election

    def _behind(self, last_term: int, last_index: int) -> bool:
        """That log may lack what ours has, or what ours had."""
        return (last_term, last_index) < max((self.term_at(self.last), self.last), self.floor)

    def _asked(self, source: str, word: AskVote) -> None:
        if not self.proved or source not in self.config.voters and word.term <= self.term:
            return
        if self._led() and not word.sent:
            return
        if word.pre:
            if word.term > self.term:
                self._send(source, Vote(word.term, not self._behind(word.last_term, word.last_index), True))
            else:
                self._send(source, Vote(self.term, False))
            return
        if word.term > self.term:
            self._follow(word.term, "")
        granted = (
            word.term == self.term and self.vote in ("", source) and not self._behind(word.last_term, word.last_index)
        )
        if granted:
            self.vote = source
            self._rest()
        self._send(source, Vote(self.term, granted))

    def _ask_beforehand(self) -> None:
        self.role, self.leader, self.votes = ASKING, "", {self.name}
        self._count("asked_beforehand")
        self._ask_all(AskVote(self.term + 1, self.last, self.term_at(self.last), pre=True))

    def _campaign(self, sent: bool = False) -> None:
        self.term, self.vote = self.term + 1, self.name
        self.role, self.leader, self.votes = CANDIDATE, "", {self.name}
        self._count("elections")
        self._rest()
        self._ask_all(AskVote(self.term, self.last, self.term_at(self.last), sent=sent))

    def _ask_all(self, word: AskVote) -> None:
        for name in self.config.voters:
            if name != self.name:
                self._send(name, word)
        self._elected()

    def _granted(self, source: str, word: Vote) -> None:
        asked = (
            self.role == ASKING
            and word.pre
            and word.term == self.term + 1
            or self.role == CANDIDATE
            and not word.pre
            and word.term == self.term
        )
        if asked and word.granted and source in self.config.voters:
            self.votes.add(source)
            self._elected()

    def _elected(self) -> None:
        if len(self.votes) < self.config.majority:
            return
        if self.role == ASKING:
            self._campaign()
            return
        self.role, self.leader = LEADER, self.name
        self._count("led")
        self.peers = {}
        self._round_at = {}
        self._peer_up()
        for peer in self.peers.values():
            peer.heard = self.now
        self._opened = self._add("open", b"")
        self._beat()

    def _follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.vote = term, ""
        if self.role == LEADER:
            self._count("stepped_down")
        self.role, self.leader, self.votes, self.peers = FOLLOWER, leader, set(), {}
        self._rest()

    # A leader.

    def _peer_up(self) -> None:
        wanted = [name for name in (*self.config.voters, *self.config.learners) if name != self.name]
        # In the order of the configuration: that of a set differs from process to process, and so would runs.
        self.peers = {name: self.peers.get(name) or Progress(self.last + 1) for name in wanted}

    def _majority_heard(self) -> bool:
        heard = sum(
            name == self.name or self.now - self.peers[name].heard < self.timing.election for name in self.config.voters
        )
        return heard >= self.config.majority

    def _beat(self) -> None:
        if not self._majority_heard():
            self._follow(self.term, "")  # cut off from the rest, who may have another one by now
            return
        self._beat_at = self.now + self.timing.beat
        self._spread(all_of_them=True)

    def _spread(self, all_of_them: bool = False) -> None:
        """To those who lack something; to all where it is time."""
        if self.role != LEADER:
            return
        self._round += 1
        self._round_at[self._round] = self.now
        self._round_at.pop(self._round - ROUNDS, None)
        for name, peer in self.peers.items():
            if all_of_them or peer.next <= self.last:
                self._to(name, peer)
        self._advance()

    def _to(self, name: str, peer: Progress) -> None:
        if peer.next <= self.base.index:
            if self.now >= peer.installing + INSTALL_AGAIN:
                peer.installing = self.now
                self._send(name, Install(self.term, self.base, self._round))
            elif self._beat_at > self.now + self.timing.beat * 0.99:  # a sign of life meanwhile, and only with the beat
                self._send(name, Append(self.term, self.last + 1, NEVER, [], 0, self._round))
            return
        entries = self.after(peer.next - 1)
        self._send(
            name,
            Append(
                self.term, peer.next - 1, self.term_at(peer.next - 1), entries, self.commit, self._round, peer.cleared
            ),
        )
        peer.next += len(entries)  # lost ones are met by the answer to what follows

    def _appended(self, source: str, word: Appended) -> None:
        peer = self.peers.get(source)
        if self.role != LEADER or word.term != self.term or peer is None:
            return
        peer.heard = self.now
        if word.round > peer.round and word.round in self._round_at:
            peer.round, peer.confirmed = word.round, self._round_at[word.round]
        if (word.life, word.nonce) != (peer.life, peer.nonce):
            if word.life != peer.life:
                peer.match = 0  # another disk, maybe, under the same name: what it said it held counts no more
            peer.life, peer.nonce, peer.cleared = word.life, word.nonce, 0
            if word.nonce:
                peer.nonce_round, peer.nonce_index = self._round + 1, self.last
        if not word.ok:
            peer.next = max(peer.match + 1, min(word.match + 1, self.last + 1))
            self._to(source, peer)
            return
        # A snapshot's answer may name what the log no longer holds; beyond our last nothing is ours.
        peer.match = max(peer.match, min(word.match, self.last))
        peer.next = max(peer.next, peer.match + 1)
        self._advance()
        self._show(source, peer)
        if (
            self.role == LEADER
            and source in self.config.learners
            and not word.nonce
            and peer.match >= self.last
            and self.settled
        ):
            voters = {**self.config.voters, source: self.config.learners[source]}
            learners = {name: at for name, at in self.config.learners.items() if name != source}
            self._add("seats", pack_config(Config(voters, learners)))
            self._spread()
        elif self.role == LEADER and peer.next <= self.last:
            self._to(source, peer)

    def _show(self, source: str, peer: Progress) -> None:
        """One that was unsure may vote again: a majority without it confirmed us after it asked, and it holds what we
        held then."""
        if not peer.nonce or peer.cleared or peer.match < peer.nonce_index:
            return
        sure = sum(
            name == self.name or self.peers[name].round >= peer.nonce_round
            for name in self.config.voters
            if name != source
        )
        if sure >= self.config.majority:
            peer.cleared = peer.nonce
            self._count("cleared")

    def _advance(self) -> None:
        matches = sorted(
            (self.last if name == self.name else self.peers[name].match for name in self.config.voters), reverse=True
        )
        reached = matches[self.config.majority - 1]
        if reached > self.commit and self.term_at(reached) == self.term:
            self._commit_to(reached)
            if self.settled and self.name not in self.config.voters:
                self._follow(self.term, "")

    # A follower.

    def _append(self, source: str, word: Append) -> None:
        if word.term < self.term:
            self._send(source, Appended(self.term, False, 0, word.round, self.life, self.nonce))
            return
        self._led_by(source)
        if word.prev_index < self.base.index:  # it holds that already, applied
            entries = [entry for entry in word.entries if entry.index > self.base.index]
            if not entries or entries[0].index != self.base.index + 1:
                self._send(source, Appended(self.term, True, self.commit, word.round, self.life, self.nonce))
                return
        else:
            entries = word.entries
            if self.term_at(word.prev_index) != word.prev_term:
                worth = self.last if word.prev_index > self.last else self.commit
                self._send(source, Appended(self.term, False, worth, word.round, self.life, self.nonce))
                return
        for at, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                self._replace(entries[at:])
                break
        match = max(word.prev_index + len(word.entries), self.base.index)
        self._commit_to(min(word.commit, match))
        if word.cleared and word.cleared == self.nonce:
            self._prove(self.term, source)
        self._send(source, Appended(self.term, True, match, word.round, self.life, self.nonce))

    def _install(self, source: str, word: Install) -> None:
        if word.term < self.term:
            self._send(source, Appended(self.term, False, 0, word.round, self.life, self.nonce))
            return
        self._led_by(source)
        told = word.snapshot
        if told.index > self.commit:
            if self.term_at(told.index) == told.term:
                self._commit_to(told.index)
            else:
                self.base = self._snapshot = told
                self.entries, self._first = [], 0
                self._configs = [(told.index, told.config)]
                self.commit = self.applied = told.index
                self._out.append(Restore(told))
        self._send(source, Appended(self.term, True, told.index, word.round, self.life, self.nonce))

    def _led_by(self, source: str) -> None:
        if self.role != FOLLOWER:
            self._follow(self.term, source)
        self.leader, self._heard = source, self.now
        self._rest()

    def _replace(self, entries: list[Entry]) -> None:
        """These follow what is held; what stood there is of a leader that has lost."""
        first = entries[0].index
        assert first > self.commit, "what is committed is never replaced"
        del self.entries[first - self.base.index - 1 :]
        self._configs = [(at, config) for at, config in self._configs if at < first]
        self._first = min(self._first or first, first)
        for entry in entries:
            self.entries.append(entry)
            self._note_config(entry)

    # Whether the disk is as it was left.

    def _known(self) -> list[str]:
        seats = self.config.voters or self.founders
        return [name for name in seats if name != self.name]

    def _here(self, source: str, word: Here) -> None:
        if self.nonce and word.asked == self.nonce:
            self._heres[source] = word
            self._clear()

    def _clear(self) -> None:
        """All the others have said where they are, since this life began."""
        others = self._known()
        if any(name not in self._heres for name in others):
            return
        if self.base.index:
            heres = [self._heres[name] for name in others]
            self.floor = max([self.floor, *((h.last_term, h.last_index) for h in heres)])
            self._prove(max([self.term, *(h.term for h in heres)]), NOBODY)
            return
        heres = [self._heres[name] for name in others]
        if not self.fresh or not self.founders or any((h.term, h.last_index) > (1, 1) for h in heres):
            return
        config = Config(self.founders)
        if any(h.last_index for h in heres):
            self._found(config)  # some have founded it, and nobody has gone on from there: word of it was lost
        elif self.name == min(self.founders):
            for name in others:
                self._send(name, Found(config, {other: self._heres[other].nonce for other in others}))
            self._found(config)

    def _prove(self, term: int, vote: str) -> None:
        """It may vote again, but not in this term for anybody else."""
        self.nonce = 0
        if term > self.term:
            self._follow(term, "")
        self.vote = vote
        self._count("proved")

    def _found(self, config: Config) -> None:
        self.base = self._snapshot = Snapshot(1, 1, config)
        self.entries, self._configs = [], [(1, config)]
        self.commit = self.applied = 1
        self.term, self.vote, self.nonce = 1, NOBODY, 0
        self._out.append(Restore(self.base))
        self._rest()

    # Small things.

    def _note_config(self, entry: Entry) -> None:
        if entry.kind == "seats":
            self._configs.append((entry.index, unpack_config(entry.data)))

    def _add(self, kind: str, data: bytes) -> int:
        before = self.entries[-1].at if self.entries else self.base.at
        entry = Entry(self.last + 1, self.term, kind, data, max(self.now, before))
        self.entries.append(entry)
        self._first = self._first or entry.index
        self._note_config(entry)
        if kind == "seats":
            self._peer_up()
        return entry.index

    def _commit_to(self, index: int) -> None:
        if index > self.commit:
            self.commit = index
            ready = tuple(self.entries[self.applied - self.base.index : index - self.base.index])
            self.applied = index
            self._out.append(Apply(ready))

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _send(self, to: str, word: Message) -> None:
        self._out.append(Send(to, word))

    def _effects(self) -> list[Effect]:
        out, self._out = self._out, []
        now = (self.term, self.vote, bool(self.nonce), self.floor)
        if now != self._stored or self._first or self._snapshot is not None:
            first = self._first or self.last + 1
            entries = tuple(self.entries[max(0, first - self.base.index - 1) :])
            out.insert(0, Store(*now, first, entries, self._snapshot))
            self._stored, self._first, self._snapshot = now, 0, None
        return out
