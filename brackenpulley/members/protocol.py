"""The membership protocol of one member, as a state machine without I/O.

Messages come in through `receive` and time through `tick`; each call returns the effects that the driver (`station`,
`benchmarks/membership`) has to carry out.

SWIM (Das, Gupta, Motivala 2002): in each interval one member is probed, directly and then through other members. A
member that does not answer is suspected, and declared dead at the deadline of its suspicion. States of a member as
others see it, and the updates that change them:

    state    | alive, higher incarnation | suspect, same or higher | dead, same or higher | timeout
    ---------+---------------------------+-------------------------+----------------------+----------
    alive    | alive                     | suspect                 | dead                 |
    suspect  | alive                     | confirmed, or restarted | dead                 | dead
    dead     | alive                     |                         |                      | forgotten
    left     | alive                     |                         |                      | forgotten

Only a member itself raises its incarnation, which it does when it receives an update that calls it suspect or dead. An
id belongs to one process at one address: a restarted process has a new id and takes over the address of the old one,
which is declared dead."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .awareness import Awareness
from .gossip import Gossip
from .suspicion import Suspicion, min_suspicion_timeout
from .wire import ALIVE, DEAD, LEFT, SUSPECT, Ack, Ask, Message, Nack, Ping, Sync, Tell, Update, update_size

SYNC_REFERENCE_SIZE = 32  # members up to which `Timing.sync_interval` holds
MAX_UPDATES_BYTES = 1100  # in one datagram, beside its message and the overhead of sealing


@dataclass(slots=True, frozen=True)
class Timing:
    """Intervals and timeouts in seconds, and fan-outs.

    The defaults are those of memberlist for a local network, with which Lifeguard was evaluated."""

    probe_interval: float = 1.0
    ack_timeout: float = 0.5  # of a direct probe, before indirect probes are sent
    gossip_interval: float = 0.2
    fanout: int = 3  # members that gossip is sent to in each interval
    indirect_probes: int = 3  # members asked for an indirect probe
    sync_interval: float = 30.0  # between full exchanges over a stream
    dead_retention: float = 60.0  # the dead are remembered that long, so that stale gossip does not revive them
    rejoin_interval: float = 10.0  # between attempts to reach a dead member, which heal a partition


@dataclass(slots=True, frozen=True)
class Send:
    """Effect: send a message to an address as a datagram or, where `stream` is set, over a connection."""

    to: str
    body: Message
    stream: bool = False


@dataclass(slots=True, frozen=True)
class Changed:
    """Effect: the local view of another member's state changed to alive, suspect, dead or left."""

    id: str
    address: str
    state: str


Effect = Send | Changed


@dataclass(slots=True)
class Member:
    """Local view of another member; `changed_at` is the time of its last change of state."""

    id: str
    address: str
    incarnation: int
    state: str
    changed_at: float
    suspicion: Suspicion | None = None


@dataclass(slots=True)
class Probe:
    """The probe in flight."""

    target: str  # id
    started_at: float
    indirect_at: float  # time at which indirect probes are sent
    deadline: float
    asked: int = 0  # members asked for an indirect probe
    nacks: int = 0  # of those, the ones that answered with a Nack
    indirect_sent: bool = False


@dataclass(slots=True)
class IndirectProbe:
    """A probe sent on behalf of another member."""

    requester: str  # address
    seq: int  # the requester's number
    deadline: float


@dataclass(slots=True)
class Protocol:
    """State machine of one member."""

    id: str
    address: str
    rng: random.Random
    now: float
    timing: Timing = field(default_factory=Timing)
    incarnation: int = 1
    is_leaving: bool = False
    members: dict[str, Member] = field(
        default_factory=dict
    )  # by id, without this one; the dead and those that left for `dead_retention`
    awareness: Awareness = field(default_factory=Awareness)
    gossip: Gossip = field(default_factory=Gossip)
    counts: dict[str, int] = field(default_factory=dict)
    _pending_effects: list[Effect] = field(default_factory=list)
    _alive: dict[str, Member] = field(default_factory=dict)  # subset of `members`: alive or suspected
    _suspected: dict[str, Member] = field(default_factory=dict)
    _departed: dict[str, Member] = field(default_factory=dict)  # subset of `members`: dead or left
    _probe: Probe | None = None
    _indirect_probes: dict[int, IndirectProbe] = field(default_factory=dict)
    _probe_order: list[str] = field(default_factory=list)
    _seq: int = 0
    _probe_seq: int = 0
    _probe_at: float = 0.0
    _gossip_at: float = 0.0
    _sync_at: float = 0.0
    _rejoin_at: float = 0.0

    def __post_init__(self) -> None:
        fraction = self.rng.random()
        self._probe_at = (
            self.now + self.timing.probe_interval * fraction
        )  # a random phase, so that members are not in step
        self._gossip_at = self.now + self.timing.gossip_interval * fraction
        self._sync_at = self.now + self.timing.sync_interval * fraction
        self._rejoin_at = self.now + self.timing.rejoin_interval * (1 + fraction)
        self._enqueue(self.self_update())

    def self_update(self) -> Update:
        """Return this member's update about itself."""
        return Update(self.id, self.address, self.incarnation, LEFT if self.is_leaving else ALIVE)

    def alive_members(self) -> list[Member]:
        """Return the other members counted as alive, with the suspected ones until their deadline."""
        return list(self._alive.values())

    @property
    def size(self) -> int:
        """Members counted as alive, with this one."""
        return len(self._alive) + 1

    # Input.

    def join(self, seeds: list[str]) -> list[Effect]:
        """Start a full exchange with each of the addresses."""
        for seed in seeds:
            if seed != self.address:
                self._send(seed, Sync(self._full_state()), stream=True)
        return self._take_effects()

    def leave(self) -> list[Effect]:
        """Announce that this member leaves, so that no other one comes to suspect it."""
        self.is_leaving = True
        self.incarnation += 1
        update = self.self_update()
        self._enqueue(update)
        for member in self.sample(self.timing.fanout * 2):
            self._send(member.address, Tell([update]))
        return self._take_effects()

    def receive(self, now: float, source: str, body: Message) -> list[Effect]:
        """Handle a message from the address `source`."""
        self.now = max(self.now, now)
        if isinstance(body, Sync):
            for update in body.updates:
                self._apply_update(update)
            if not body.is_reply:
                self._send(source, Sync(self._full_state(), is_reply=True), stream=True)
            return self._take_effects()
        if isinstance(body, Ping | Ack | Ask | Tell):
            for update in body.updates:
                self._apply_update(update)
        if isinstance(body, Ping):
            if body.target == self.id:
                self._send(source, Ack(body.seq, self._next_updates()))
        elif isinstance(body, Ask):
            seq = self._next_seq()
            self._indirect_probes[seq] = IndirectProbe(source, body.seq, self.now + self.timing.ack_timeout)
            self._send(body.address, Ping(seq, body.target, self._next_updates()))
        elif isinstance(body, Ack):
            self._handle_ack(body.seq)
        elif isinstance(body, Nack) and self._probe is not None and body.seq == self._probe_seq:
            self._probe.nacks += 1
        return self._take_effects()

    def tick(self, now: float) -> list[Effect]:
        """Handle all timeouts up to `now`; to be called again by `next_tick`."""
        self.now = max(self.now, now)
        for member in list(self._suspected.values()):
            if member.suspicion is not None and member.suspicion.deadline <= self.now:
                self._count("deaths")
                self._set_state(member, member.incarnation, DEAD)
                self._enqueue(Update(member.id, member.address, member.incarnation, DEAD, self.id))
        cutoff = self.now - self.timing.dead_retention
        for ident in [m.id for m in self._departed.values() if m.changed_at < cutoff]:
            del self.members[ident], self._departed[ident]
        for seq, indirect in [(s, p) for s, p in self._indirect_probes.items() if p.deadline <= self.now]:
            del self._indirect_probes[seq]
            self._send(indirect.requester, Nack(indirect.seq))
        self._run_probes()
        if self._gossip_at <= self.now:
            self._gossip_at = self.now + self.timing.gossip_interval
            if len(self.gossip):
                for member in self.sample(self.timing.fanout):
                    if updates := self._next_updates():
                        self._send(member.address, Tell(updates))
        if self._sync_at <= self.now:
            # An exchange grows with the fleet, so its interval does too: the bytes a second stay the same.
            growth = max(1.0, self.size / SYNC_REFERENCE_SIZE)
            self._sync_at = self.now + self.timing.sync_interval * growth * (0.75 + 0.5 * self.rng.random())
            for member in self.sample(1):
                self._send(member.address, Sync(self._full_state()), stream=True)
        if self._rejoin_at <= self.now:
            self._rejoin_at = self.now + self.timing.rejoin_interval * (0.75 + 0.5 * self.rng.random())
            dead = [m for m in self._departed.values() if m.state == DEAD]
            if dead and not self.is_leaving:
                self._send(self.rng.choice(dead).address, Sync(self._full_state()), stream=True)
        return self._take_effects()

    def next_tick(self) -> float:
        """Return the time by which `tick` must be called."""
        deadlines = [
            self._gossip_at,
            self._sync_at,
            self._rejoin_at,
            *(indirect.deadline for indirect in self._indirect_probes.values()),
            *(m.suspicion.deadline for m in self._suspected.values() if m.suspicion is not None),
        ]
        if self._probe is not None:
            deadlines.append(self._probe.deadline if self._probe.indirect_sent else self._probe.indirect_at)
        elif not self.is_leaving:
            deadlines.append(self._probe_at)
        return max(self.now, min(deadlines))

    # Probing.

    def _run_probes(self) -> None:
        probe = self._probe
        if probe is not None and not probe.indirect_sent and probe.indirect_at <= self.now:
            probe.indirect_sent = True
            target = self.members.get(probe.target)
            if target is not None:
                others = [m for m in self.alive_members() if m.id != probe.target]
                for member in self.rng.sample(others, min(self.timing.indirect_probes, len(others))):
                    probe.asked += 1
                    self._send(member.address, Ask(self._probe_seq, target.id, target.address, self._next_updates()))
        if probe is not None and probe.deadline <= self.now:
            self._probe = None
            self.awareness.record_probe_failure(probe.asked, probe.nacks)
            if (target := self.members.get(probe.target)) and target.state in (ALIVE, SUSPECT):
                self._count("probes_failed")
                self._suspect(target, target.incarnation, self.id)
        if self._probe is None and self._probe_at <= self.now and not self.is_leaving:
            interval = self.awareness.scale(self.timing.probe_interval)
            self._probe_at = self.now + interval
            if (next_target := self._next_target()) is not None:
                self._probe_seq = self._next_seq()
                timeout = self.awareness.scale(self.timing.ack_timeout)
                self._probe = Probe(next_target.id, self.now, self.now + timeout, self.now + max(interval, 2 * timeout))
                updates = self._next_updates()
                if next_target.state == SUSPECT:  # tell it of its suspicion first, so that it can refute it
                    updates = [
                        Update(next_target.id, next_target.address, next_target.incarnation, SUSPECT, self.id),
                        *updates[:-1],
                    ]
                self._send(next_target.address, Ping(self._probe_seq, next_target.id, updates))

    def _next_target(self) -> Member | None:
        """Return the next member in a round robin that is shuffled each round: a death is found within two rounds."""
        while True:
            if not self._probe_order:
                self._probe_order = [m.id for m in self.alive_members()]
                self.rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            member = self.members.get(self._probe_order.pop())
            if member is not None and member.state in (ALIVE, SUSPECT):
                return member

    def _handle_ack(self, seq: int) -> None:
        if (indirect := self._indirect_probes.pop(seq, None)) is not None:
            self._send(indirect.requester, Ack(indirect.seq, self._next_updates()))
        elif self._probe is not None and seq == self._probe_seq:
            self._probe = None
            self.awareness.record_probe_success()

    # Updates about members.

    def _apply_update(self, update: Update) -> None:
        if update.id == self.id:
            if update.state in (SUSPECT, DEAD) and update.incarnation >= self.incarnation and not self.is_leaving:
                self.incarnation = update.incarnation + 1
                self.awareness.record_refutation()
                self._count("refuted")
                self._enqueue(self.self_update())
            return
        member = self.members.get(update.id)
        if (
            member is not None
            and update.state in (SUSPECT, DEAD)
            and update.incarnation < member.incarnation
            and (member.state == ALIVE)
        ):
            # The sender missed the refutation and would declare the member dead: send the refutation again.
            self._enqueue(Update(member.id, member.address, member.incarnation, ALIVE))
            return
        if update.state == ALIVE:
            self._is_alive(member, update)
        elif member is None:
            if update.state != SUSPECT:  # an unknown member: remembered, so that stale gossip does not add it
                member = Member(update.id, update.address, update.incarnation, update.state, self.now)
                self.members[update.id] = self._departed[update.id] = member
        elif update.state == SUSPECT:
            self._suspect(member, update.incarnation, update.by)
        elif update.incarnation >= member.incarnation and member.state in (ALIVE, SUSPECT):
            self._set_state(member, update.incarnation, update.state)
            self._enqueue(update)

    def _is_alive(self, member: Member | None, update: Update) -> None:
        if member is not None and update.incarnation <= member.incarnation:
            return
        if update.address == self.address:
            return  # an earlier process at the address of this one
        for other in self.alive_members():
            if other.address == update.address and other.id != update.id:
                self._set_state(other, other.incarnation, DEAD)
                self._enqueue(Update(other.id, other.address, other.incarnation, DEAD, self.id))
        if member is None:
            member = self.members[update.id] = Member(update.id, update.address, update.incarnation, "", self.now)
            position = self.rng.randrange(len(self._probe_order) + 1)
            self._probe_order.insert(position, update.id)
        member.address = update.address
        self._set_state(member, update.incarnation, ALIVE)
        self._enqueue(update)

    def _suspect(self, member: Member, incarnation: int, by: str) -> None:
        if incarnation < member.incarnation or member.state not in (ALIVE, SUSPECT):
            return
        if member.suspicion is not None and incarnation == member.suspicion.incarnation:
            if member.suspicion.confirm(by):
                self._enqueue(Update(member.id, member.address, incarnation, SUSPECT, by))
            return
        min_timeout = min_suspicion_timeout(self.size, self.timing.probe_interval)
        self._set_state(member, incarnation, SUSPECT)
        member.suspicion = Suspicion(incarnation, by, self.now, min_timeout, self.size)
        self._count("suspected")
        self._enqueue(Update(member.id, member.address, incarnation, SUSPECT, by))

    def _set_state(self, member: Member, incarnation: int, state: str) -> None:
        is_changed = member.state != state
        member.incarnation, member.state, member.suspicion = incarnation, state, None
        for index, states in (
            (self._alive, (ALIVE, SUSPECT)),
            (self._suspected, (SUSPECT,)),
            (self._departed, (DEAD, LEFT)),
        ):
            if state in states:
                index[member.id] = member
            else:
                index.pop(member.id, None)
        if is_changed:
            member.changed_at = self.now
            self._pending_effects.append(Changed(member.id, member.address, state))

    # Output.

    def _full_state(self) -> list[Update]:
        return [
            self.self_update(),
            *(Update(m.id, m.address, m.incarnation, m.state, self.id) for m in self.members.values()),
        ]

    def sample(self, count: int) -> list[Member]:
        """Return up to `count` random members of those alive."""
        alive = self.alive_members()
        return self.rng.sample(alive, min(count, len(alive)))

    def _next_updates(self) -> list[Update]:
        return self.gossip.next_updates(MAX_UPDATES_BYTES, self.size)

    def _enqueue(self, update: Update) -> None:
        self.gossip.enqueue(update, update_size(update))

    def _next_seq(self) -> int:
        self._seq += 1
        return self._seq

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _send(self, to: str, body: Message, stream: bool = False) -> None:
        self._pending_effects.append(Send(to, body, stream))

    def _take_effects(self) -> list[Effect]:
        effects, self._pending_effects = self._pending_effects, []
        return effects
