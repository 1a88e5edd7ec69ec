"""One member with all that rests on membership: the protocol, the records, and a table of parts by kind. No I/O.

Whoever drives it (`transport` on sockets, `simulation` in virtual time) hands in what arrives and the time, and does
what comes out. A new part of the program adds a row to `parts`, and knows neither sockets nor the parts beside it."""

from __future__ import annotations

import random
from typing import Protocol as Shape

from .protocol import Changed, Effect, Protocol, Send, Timing
from .records import Table
from .wire import DEAD, LEFT, Carry, Digest, Message, Records

ROOM = 1100  # bytes of records in one datagram
DATAGRAM = 1150  # bytes of a part's word up to which it goes as one; else over a stream
REPAIR, SIZE = 20.0, 32  # s between two full exchanges of records, for so many members; longer for more
SOON = 0.05  # s between two looks at a table that had more to tell than it might


class Part(Shape):
    """What rests on membership. `take` gives what it has to say, as (address, data), and empties it."""

    def receive(self, now: float, address: str, data: bytes) -> None: ...

    def tick(self, now: float) -> None: ...

    def next_tick(self) -> float: ...

    def changed(self, now: float, change: Changed) -> None: ...

    def take(self) -> list[tuple[str, bytes]]: ...


class Station:
    def __init__(self, ident: str, address: str, rng: random.Random, now: float, timing: Timing | None = None) -> None:
        self.protocol = Protocol(ident, address, rng, now, timing or Timing())
        self.records = Table(ident, rng, now)
        self.parts: dict[str, Part] = {}
        self.id, self.address, self.rng, self.now = ident, address, rng, now
        self.counts: dict[str, int] = {}
        self._gossip_at = now
        self._repair_at = now + REPAIR * rng.random()

    def join(self, seeds: list[str]) -> list[Effect]:
        return self._all(self.protocol.join(seeds))

    def leave(self) -> list[Effect]:
        return self._all(self.protocol.leave())

    def receive(self, now: float, source: str, body: Message) -> list[Effect]:
        """`source` is the address that it came from; over a stream, the one that the sender names."""
        self.now = max(self.now, now)
        if isinstance(body, Records):
            self.records.receive(now, body)
            return self._all([])
        if isinstance(body, Digest):
            return self._all(self._compared(body))
        if isinstance(body, Carry):
            if (part := self.parts.get(body.kind)) is None:
                self.counts["unknown_kind"] = self.counts.get("unknown_kind", 0) + 1
            else:
                part.receive(self.now, body.address, body.data)
            return self._all([])
        return self._all(self.protocol.receive(now, source, body))

    def tick(self, now: float) -> list[Effect]:
        """To be called again by `next_tick`."""
        self.now = max(self.now, now)
        out = self.protocol.tick(now)
        for part in self.parts.values():
            if part.next_tick() <= self.now:
                part.tick(self.now)
        if self._gossip_at <= self.now and len(self.records.queue):
            self._gossip_at = self.now + self.protocol.timing.gossip
            for member in self.protocol.some(self.protocol.timing.fanout):
                if (news := self.records.news(self.now, self.protocol.size, ROOM)) is not None:
                    out.append(Send(member.address, news))
        if self._repair_at <= self.now:
            grown = max(1.0, self.protocol.size / SIZE)
            self._repair_at = self.now + REPAIR * grown * (0.75 + 0.5 * self.rng.random())
            self.records.sweep(self.now, lambda name: name in self.protocol.members)
            for member in self.protocol.some(1):
                out.append(Send(member.address, self.records.digest(self.address), stream=True))
        return self._all(out)

    def said(self) -> list[Effect]:
        """What the parts want said now."""
        return self._all([])

    def next_tick(self) -> float:
        times = [self.protocol.next_tick(), self._repair_at, *(part.next_tick() for part in self.parts.values())]
        if len(self.records.queue):
            times.append(max(self._gossip_at, self.now + SOON))
        return max(self.now, min(times))

    def _compared(self, body: Digest) -> list[Effect]:
        out: list[Effect] = []
        if (rows := self.records.compare(body)) is not None:
            out.append(Send(body.address, rows, stream=True))
        if not body.answer:
            out.append(Send(body.address, self.records.digest(self.address, answer=True), stream=True))
        return out

    def _all(self, effects: list[Effect]) -> list[Effect]:
        """With what the parts want said, and who has come or gone told to all."""
        for effect in effects:
            if isinstance(effect, Changed):
                if effect.state == LEFT:
                    self.records.ended(effect.id)
                elif effect.state == DEAD:
                    self.records.dead(effect.id)
                else:
                    self.records.alive(effect.id)
                for part in self.parts.values():
                    part.changed(self.now, effect)
        for kind, part in self.parts.items():
            for address, data in part.take():
                effects.append(Send(address, Carry(kind, self.address, data), stream=len(data) > DATAGRAM))
        return effects
