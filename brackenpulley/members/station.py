"""One member with all that builds on membership: the protocol, the records and the parts by kind. No I/O.

A driver (`transport` on sockets, `simulation` in virtual time) passes in received messages and the time, and carries
out the effects that are returned. A new part of the program adds an entry to `parts` and depends neither on sockets nor
on the other parts."""

from __future__ import annotations

import random
from typing import Protocol as Interface

from .protocol import Changed, Effect, Protocol, Send, Timing
from .records import RecordTable
from .wire import DEAD, LEFT, Carry, Digest, Message, Records

MAX_RECORDS_BYTES = 1100  # of records in one datagram
MAX_DATAGRAM_PAYLOAD = 1150  # bytes of a part's payload; a longer one is sent over a stream
REPAIR = 20.0  # s between full exchanges of records with up to `REPAIR_REFERENCE_SIZE` members; more in proportion
REPAIR_REFERENCE_SIZE = 32  # members
MIN_TICK_S = 0.05  # until the next attempt to send records that the rate limit held back


class Part(Interface):
    """A part of the program that exchanges payloads with the part of the same kind on other members."""

    def receive(self, now: float, address: str, data: bytes) -> None:
        """Handle a payload from the member at `address`."""
        ...

    def tick(self, now: float) -> None:
        """Handle all timeouts up to `now`."""
        ...

    def next_tick(self) -> float:
        """Return the time by which `tick` must be called."""
        ...

    def changed(self, now: float, change: Changed) -> None:
        """Handle a change of another member's state."""
        ...

    def take(self) -> list[tuple[str, bytes]]:
        """Return the pending payloads as (address, data) and clear them."""
        ...


class Station:
    """State machine of one member: dispatches messages and ticks to the protocol, the records and the parts."""

    def __init__(self, ident: str, address: str, rng: random.Random, now: float, timing: Timing | None = None) -> None:
        self.protocol = Protocol(ident, address, rng, now, timing or Timing())
        self.records = RecordTable(ident, rng, now)
        self.parts: dict[str, Part] = {}
        self.id, self.address, self.rng, self.now = ident, address, rng, now
        self.counts: dict[str, int] = {}
        self._gossip_at = now
        self._repair_at = now + REPAIR * rng.random()

    def join(self, seeds: list[str]) -> list[Effect]:
        """Join the fleet through the members at these addresses."""
        return self._complete(self.protocol.join(seeds))

    def leave(self) -> list[Effect]:
        """Announce that this member leaves."""
        return self._complete(self.protocol.leave())

    def receive(self, now: float, source: str, body: Message) -> list[Effect]:
        """Handle a message; `source` is the sender's address, over a stream the one that the message names."""
        self.now = max(self.now, now)
        if isinstance(body, Records):
            self.records.receive(now, body)
            return self._complete([])
        if isinstance(body, Digest):
            return self._complete(self._answer_digest(body))
        if isinstance(body, Carry):
            if (part := self.parts.get(body.kind)) is None:
                self.counts["unknown_kind"] = self.counts.get("unknown_kind", 0) + 1
            else:
                part.receive(self.now, body.address, body.data)
            return self._complete([])
        return self._complete(self.protocol.receive(now, source, body))

    def tick(self, now: float) -> list[Effect]:
        """Handle all timeouts up to `now`; to be called again by `next_tick`."""
        self.now = max(self.now, now)
        effects = self.protocol.tick(now)
        for part in self.parts.values():
            if part.next_tick() <= self.now:
                part.tick(self.now)
        if self._gossip_at <= self.now and len(self.records.queue):
            self._gossip_at = self.now + self.protocol.timing.gossip_interval
            for member in self.protocol.sample(self.protocol.timing.fanout):
                if (batch := self.records.next_batch(self.now, self.protocol.size, MAX_RECORDS_BYTES)) is not None:
                    effects.append(Send(member.address, batch))
        if self._repair_at <= self.now:
            growth = max(1.0, self.protocol.size / REPAIR_REFERENCE_SIZE)
            self._repair_at = self.now + REPAIR * growth * (0.75 + 0.5 * self.rng.random())
            self.records.sweep(self.now, lambda name: name in self.protocol.members)
            for member in self.protocol.sample(1):
                effects.append(Send(member.address, self.records.digest(self.address), stream=True))
        return self._complete(effects)

    def said(self) -> list[Effect]:
        """Return the pending payloads of the parts as effects."""
        return self._complete([])

    def next_tick(self) -> float:
        """Return the time by which `tick` must be called."""
        deadlines = [self.protocol.next_tick(), self._repair_at, *(part.next_tick() for part in self.parts.values())]
        if len(self.records.queue):
            deadlines.append(max(self._gossip_at, self.now + MIN_TICK_S))
        return max(self.now, min(deadlines))

    def _answer_digest(self, body: Digest) -> list[Effect]:
        effects: list[Effect] = []
        if (missing := self.records.compare(body)) is not None:
            effects.append(Send(body.address, missing, stream=True))
        if not body.is_reply:
            effects.append(Send(body.address, self.records.digest(self.address, is_reply=True), stream=True))
        return effects

    def _complete(self, effects: list[Effect]) -> list[Effect]:
        """Report changes of membership to records and parts, and append the pending payloads of the parts."""
        for effect in effects:
            if isinstance(effect, Changed):
                if effect.state == LEFT:
                    self.records.mark_ended(effect.id)
                elif effect.state == DEAD:
                    self.records.mark_dead(effect.id)
                else:
                    self.records.mark_alive(effect.id)
                for part in self.parts.values():
                    part.changed(self.now, effect)
        for kind, part in self.parts.items():
            for address, data in part.take():
                effects.append(Send(address, Carry(kind, self.address, data), stream=len(data) > MAX_DATAGRAM_PAYLOAD))
        return effects
