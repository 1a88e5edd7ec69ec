"""The membership protocol of one member: everything that its state depends on comes in through `receive` and `tick`.

SWIM (Das, Gupta, Motivala 2002): each interval one member is probed, directly and then through others; who does not
answer is suspected, and dead once its suspicion ends. States of a member as others see it, and what changes them:

    state    | alive, higher incarnation | suspect, same or higher | dead, same or higher | its time is over
    ---------+---------------------------+-------------------------+----------------------+-----------------
    alive    | alive                     | suspect                 | dead                 |
    suspect  | alive                     | confirmed, or restarted | dead                 | dead
    dead     | alive                     |                         |                      | forgotten
    left     | alive                     |                         |                      | forgotten

Only a member itself raises its incarnation, and it does so when it hears itself called suspect or dead. An id belongs
to one life at one address: a process that starts anew has a new id, and takes over the address of the old one, which
is then dead."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .awareness import Awareness
from .gossip import Gossip
from .suspicion import Suspicion, shortest
from .wire import ALIVE, DEAD, LEFT, SUSPECT, Ack, Ask, Message, Nack, Ping, Sync, Tell, Update, size_of

SYNC_SIZE = 32  # members up to which full exchanges come at the time set
ROOM = 1100  # bytes of updates in one datagram, beside its message and the seal


@dataclass(slots=True, frozen=True)
class Timing:
    """Seconds. The figures are memberlist's for a local network, which Lifeguard's authors measured with."""

    probe: float = 1.0  # between probes
    answer: float = 0.5  # for a direct answer, before others are asked
    gossip: float = 0.2  # between sends of what is still to be told
    fanout: int = 3
    relays: int = 3
    sync: float = 30.0  # between full exchanges over a stream
    forget: float = 60.0  # for which the dead are remembered, so that old news does not bring them back
    rejoin: float = 10.0  # between tries to reach one that is dead: the two sides of a healed partition


@dataclass(slots=True, frozen=True)
class Send:
    """A datagram, or where `stream` a message over a connection."""

    to: str
    body: Message
    stream: bool = False


@dataclass(slots=True, frozen=True)
class Changed:
    """What this member now thinks of another: alive, suspect, dead or left."""

    id: str
    address: str
    state: str


Effect = Send | Changed


@dataclass(slots=True)
class Member:
    id: str
    address: str
    incarnation: int
    state: str
    since: float
    suspicion: Suspicion | None = None


@dataclass(slots=True)
class Probe:
    target: str
    began: float
    relay_at: float
    until: float
    asked: int = 0
    nacks: int = 0
    relayed: bool = False


@dataclass(slots=True)
class Helping:
    """A ping for somebody else."""

    to: str  # who asked
    seq: int  # under their number
    until: float


@dataclass(slots=True)
class Protocol:
    id: str
    address: str
    rng: random.Random
    now: float
    timing: Timing = field(default_factory=Timing)
    incarnation: int = 1
    leaving: bool = False
    members: dict[str, Member] = field(default_factory=dict)  # the others, dead ones too for a while
    awareness: Awareness = field(default_factory=Awareness)
    gossip: Gossip = field(default_factory=Gossip)
    counts: dict[str, int] = field(default_factory=dict)
    _out: list[Effect] = field(default_factory=list)
    _alive: dict[str, Member] = field(default_factory=dict)  # of the members: alive or suspected
    _suspected: dict[str, Member] = field(default_factory=dict)
    _over: dict[str, Member] = field(default_factory=dict)  # dead or left
    _probe: Probe | None = None
    _helping: dict[int, Helping] = field(default_factory=dict)
    _order: list[str] = field(default_factory=list)
    _seq: int = 0
    _seq_of_probe: int = 0
    _probe_at: float = 0.0
    _gossip_at: float = 0.0
    _sync_at: float = 0.0
    _rejoin_at: float = 0.0

    def __post_init__(self) -> None:
        part = self.rng.random()
        self._probe_at = self.now + self.timing.probe * part  # never in step with the others
        self._gossip_at = self.now + self.timing.gossip * part
        self._sync_at = self.now + self.timing.sync * part
        self._rejoin_at = self.now + self.timing.rejoin * (1 + part)
        self._say(self.self_update())

    def self_update(self) -> Update:
        return Update(self.id, self.address, self.incarnation, LEFT if self.leaving else ALIVE)

    def alive(self) -> list[Member]:
        """Those that count as there: the suspected are, until their time is over."""
        return list(self._alive.values())

    @property
    def size(self) -> int:
        return len(self._alive) + 1

    # What comes in.

    def join(self, seeds: list[str]) -> list[Effect]:
        for seed in seeds:
            if seed != self.address:
                self._send(seed, Sync(self._everything()), stream=True)
        return self._effects()

    def leave(self) -> list[Effect]:
        """The others hear it from us, and none of them suspects us."""
        self.leaving = True
        self.incarnation += 1
        update = self.self_update()
        self._say(update)
        for member in self.some(self.timing.fanout * 2):
            self._send(member.address, Tell([update]))
        return self._effects()

    def receive(self, now: float, source: str, body: Message) -> list[Effect]:
        """`source` is the address that it came from."""
        self.now = max(self.now, now)
        if isinstance(body, Sync):
            for update in body.updates:
                self._heard(update)
            if not body.answer:
                self._send(source, Sync(self._everything(), answer=True), stream=True)
            return self._effects()
        if isinstance(body, Ping | Ack | Ask | Tell):
            for update in body.updates:
                self._heard(update)
        if isinstance(body, Ping):
            if body.target == self.id:
                self._send(source, Ack(body.seq, self._news()))
        elif isinstance(body, Ask):
            seq = self._next()
            self._helping[seq] = Helping(source, body.seq, self.now + self.timing.answer)
            self._send(body.address, Ping(seq, body.target, self._news()))
        elif isinstance(body, Ack):
            self._acknowledged(body.seq)
        elif isinstance(body, Nack) and self._probe is not None and body.seq == self._seq_of_probe:
            self._probe.nacks += 1
        return self._effects()

    def tick(self, now: float) -> list[Effect]:
        """To be called again by `next_tick`."""
        self.now = max(self.now, now)
        for member in list(self._suspected.values()):
            if member.suspicion is not None and member.suspicion.until <= self.now:
                self._count("deaths")
                self._set(member, member.incarnation, DEAD)
                self._say(Update(member.id, member.address, member.incarnation, DEAD, self.id))
        old = self.now - self.timing.forget
        for ident in [m.id for m in self._over.values() if m.since < old]:
            del self.members[ident], self._over[ident]
        for seq, helping in [(s, h) for s, h in self._helping.items() if h.until <= self.now]:
            del self._helping[seq]
            self._send(helping.to, Nack(helping.seq))
        self._probing()
        if self._gossip_at <= self.now:
            self._gossip_at = self.now + self.timing.gossip
            if len(self.gossip):
                for member in self.some(self.timing.fanout):
                    if news := self._news():
                        self._send(member.address, Tell(news))
        if self._sync_at <= self.now:
            # An exchange grows with the fleet, so it comes as much less often: what it costs a second stays the same.
            grown = max(1.0, self.size / SYNC_SIZE)
            self._sync_at = self.now + self.timing.sync * grown * (0.75 + 0.5 * self.rng.random())
            for member in self.some(1):
                self._send(member.address, Sync(self._everything()), stream=True)
        if self._rejoin_at <= self.now:
            self._rejoin_at = self.now + self.timing.rejoin * (0.75 + 0.5 * self.rng.random())
            dead = [m for m in self._over.values() if m.state == DEAD]
            if dead and not self.leaving:
                self._send(self.rng.choice(dead).address, Sync(self._everything()), stream=True)
        return self._effects()

    def next_tick(self) -> float:
        times = [
            self._gossip_at,
            self._sync_at,
            self._rejoin_at,
            *(h.until for h in self._helping.values()),
            *(m.suspicion.until for m in self._suspected.values() if m.suspicion is not None),
        ]
        if self._probe is not None:
            times.append(self._probe.until if self._probe.relayed else self._probe.relay_at)
        elif not self.leaving:
            times.append(self._probe_at)
        return max(self.now, min(times))

    # Probes.

    def _probing(self) -> None:
        probe = self._probe
        if probe is not None and not probe.relayed and probe.relay_at <= self.now:
            probe.relayed = True
            target = self.members.get(probe.target)
            if target is not None:
                others = [m for m in self.alive() if m.id != probe.target]
                for member in self.rng.sample(others, min(self.timing.relays, len(others))):
                    probe.asked += 1
                    self._send(member.address, Ask(self._seq_of_probe, target.id, target.address, self._news()))
        if probe is not None and probe.until <= self.now:
            self._probe = None
            self.awareness.probe_failed(probe.asked, probe.nacks)
            if (target := self.members.get(probe.target)) and target.state in (ALIVE, SUSPECT):
                self._count("probes_failed")
                self._suspect(target, target.incarnation, self.id)
        if self._probe is None and self._probe_at <= self.now and not self.leaving:
            interval = self.awareness.scale(self.timing.probe)
            self._probe_at = self.now + interval
            if (turn := self._turn()) is not None:
                self._seq_of_probe = self._next()
                wait = self.awareness.scale(self.timing.answer)
                self._probe = Probe(turn.id, self.now, self.now + wait, self.now + max(interval, 2 * wait))
                news = self._news()
                if turn.state == SUSPECT:  # it hears of it from us first of all, and can say that it lives
                    news = [Update(turn.id, turn.address, turn.incarnation, SUSPECT, self.id), *news[:-1]]
                self._send(turn.address, Ping(self._seq_of_probe, turn.id, news))

    def _turn(self) -> Member | None:
        """Round robin in an order shuffled anew each time, so that a death is met within two rounds."""
        while True:
            if not self._order:
                self._order = [m.id for m in self.alive()]
                self.rng.shuffle(self._order)
                if not self._order:
                    return None
            member = self.members.get(self._order.pop())
            if member is not None and member.state in (ALIVE, SUSPECT):
                return member

    def _acknowledged(self, seq: int) -> None:
        if (helping := self._helping.pop(seq, None)) is not None:
            self._send(helping.to, Ack(helping.seq, self._news()))
        elif self._probe is not None and seq == self._seq_of_probe:
            self._probe = None
            self.awareness.probe_answered()

    # What is heard of members.

    def _heard(self, update: Update) -> None:
        if update.id == self.id:
            if update.state in (SUSPECT, DEAD) and update.incarnation >= self.incarnation and not self.leaving:
                self.incarnation = update.incarnation + 1
                self.awareness.had_to_refute()
                self._count("refuted")
                self._say(self.self_update())
            return
        member = self.members.get(update.id)
        if (
            member is not None
            and update.state in (SUSPECT, DEAD)
            and update.incarnation < member.incarnation
            and (member.state == ALIVE)
        ):
            # Whoever says so has missed that it was refuted, and would declare it dead: it is told again.
            self._say(Update(member.id, member.address, member.incarnation, ALIVE))
            return
        if update.state == ALIVE:
            self._is_alive(member, update)
        elif member is None:
            if update.state != SUSPECT:  # one that we never knew, remembered so that old news does not bring it in
                member = Member(update.id, update.address, update.incarnation, update.state, self.now)
                self.members[update.id] = self._over[update.id] = member
        elif update.state == SUSPECT:
            self._suspect(member, update.incarnation, update.by)
        elif update.incarnation >= member.incarnation and member.state in (ALIVE, SUSPECT):
            self._set(member, update.incarnation, update.state)
            self._say(update)

    def _is_alive(self, member: Member | None, update: Update) -> None:
        if member is not None and update.incarnation <= member.incarnation:
            return
        if update.address == self.address:
            return  # an id of a life before ours at this address
        for other in self.alive():
            if other.address == update.address and other.id != update.id:
                self._set(other, other.incarnation, DEAD)
                self._say(Update(other.id, other.address, other.incarnation, DEAD, self.id))
        if member is None:
            member = self.members[update.id] = Member(update.id, update.address, update.incarnation, "", self.now)
            place = self.rng.randrange(len(self._order) + 1)
            self._order.insert(place, update.id)
        member.address = update.address
        self._set(member, update.incarnation, ALIVE)
        self._say(update)

    def _suspect(self, member: Member, incarnation: int, by: str) -> None:
        if incarnation < member.incarnation or member.state not in (ALIVE, SUSPECT):
            return
        if member.suspicion is not None and incarnation == member.suspicion.incarnation:
            if member.suspicion.confirm(by):
                self._say(Update(member.id, member.address, incarnation, SUSPECT, by))
            return
        least = shortest(self.size, self.timing.probe)
        self._set(member, incarnation, SUSPECT)
        member.suspicion = Suspicion(incarnation, by, self.now, least, self.size)
        self._count("suspected")
        self._say(Update(member.id, member.address, incarnation, SUSPECT, by))

    def _set(self, member: Member, incarnation: int, state: str) -> None:
        changed = member.state != state
        member.incarnation, member.state, member.suspicion = incarnation, state, None
        for index, states in (
            (self._alive, (ALIVE, SUSPECT)),
            (self._suspected, (SUSPECT,)),
            (self._over, (DEAD, LEFT)),
        ):
            if state in states:
                index[member.id] = member
            else:
                index.pop(member.id, None)
        if changed:
            member.since = self.now
            self._out.append(Changed(member.id, member.address, state))

    # What goes out.

    def _everything(self) -> list[Update]:
        return [
            self.self_update(),
            *(Update(m.id, m.address, m.incarnation, m.state, self.id) for m in self.members.values()),
        ]

    def some(self, count: int) -> list[Member]:
        alive = self.alive()
        return self.rng.sample(alive, min(count, len(alive)))

    def _news(self) -> list[Update]:
        return self.gossip.some(ROOM, self.size)

    def _say(self, update: Update) -> None:
        self.gossip.tell(update, size_of(update))

    def _next(self) -> int:
        self._seq += 1
        return self._seq

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def _send(self, to: str, body: Message, stream: bool = False) -> None:
        self._out.append(Send(to, body, stream))

    def _effects(self) -> list[Effect]:
        out, self._out = self._out, []
        return out
