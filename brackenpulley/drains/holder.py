"""One ingress's side of the limits: how many connections it may have at each server now, and what it asks for. No I/O.

What it may have is the least of what the log says and of what it has said itself since: a narrower part that was
proposed holds from then on, whether or not it was ever agreed; a wider one only once it is seen in the log. It asks for
more when an attempt found no room, or would have with one more; it gives back slowly, after `KEEP` s without use, or at
once where others are short (connections that stand unused are closed first)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..consensus.agreement import Agreement
from ..consensus.machine import Outcome
from .limits import Command, Enter, Leave, Limit, Limits, Want, encode

PART = "limits"  # of the machine
AGAIN, PATIENCE = 0.25, 5.0  # s between looks, and for a proposal
KEEP = 10.0  # s
SPARE = 1  # connections beyond those in use that are asked for


class Port(Protocol):
    """What a holder asks of its ingress."""

    def open(self, server: str) -> int:
        """Connections that it has there, those that are coming up too."""

    def busy(self, server: str) -> int:
        """Of these, with an attempt on them."""

    def refused(self, server: str) -> int:
        """Attempts that found no room there, since the last time it was asked."""

    def shrink(self, server: str, most: int) -> None:
        """Close unused connections there until there are no more than that, as far as that goes."""

    def caps(self, caps: dict[str, int]) -> None:
        """From now on at most so many."""

    def servers(self) -> dict[str, int]:
        """Those that are listed, and their limits."""


class Holder:
    def __init__(
        self, address: str, agreement: Agreement, limits: Callable[[], Limits], port: Port, now: float
    ) -> None:
        self.address, self.agreement, self._limits, self.port = address, agreement, limits, port
        self.entered = self.leaving = False
        self._said: dict[str, int] = {}  # narrower parts that were proposed and are not seen in the log yet
        self._used: dict[str, tuple[int, float]] = {}  # the most in use of late, and since when it is less
        self._caps: dict[str, int] = {}
        self._busy: set[str] = set()
        self._serial = 0
        self._look_at = now

    @property
    def limits(self) -> Limits:
        return self._limits()

    def cap(self, server: str) -> int:
        part = self.limits.part(server, self.agreement.id)
        return min(part, self._said.get(server, part))

    def tick(self, now: float) -> None:
        if now < self._look_at or self.leaving:
            return
        self._look_at = now + AGAIN
        limits, life = self.limits, self.agreement.id
        self.entered = limits.lives.get(life) == self.address
        if not self.entered:
            self._once(now, "enter", Enter(life, self.address))
        listed = self.port.servers()
        if self.agreement.is_leader:
            self._tell(now, listed)
        wants: dict[str, int] = {}
        for server in listed:
            cap = self.cap(server)
            want = self._wanted(now, server, cap)
            back = limits.asked_back(server, life)
            if back < cap:
                want = min(want, back)
            if want < cap:
                self.port.shrink(server, want)
                want = max(want, self.port.open(server))  # what is in use can't be given back yet
            if want != cap and self.entered and server in limits.limits:
                wants[server] = want
        if wants and "want" not in self._busy:
            for server, want in wants.items():
                if want < self.cap(server):
                    self._said[server] = want
            self._bound(listed)  # before it is said
            self._serial += 1
            self._propose(now, "want", Want(life, self._serial, wants), lambda answer: self._answered(wants, answer))
        self._bound(listed)

    def _bound(self, listed: dict[str, int]) -> None:
        caps = {server: self.cap(server) for server in listed}
        if caps != self._caps:
            self._caps = caps
            self.port.caps(caps)

    def _wanted(self, now: float, server: str, cap: int) -> int:
        """In use and one more; what was in use stays wanted for a while."""
        busy, refused = self.port.busy(server), self.port.refused(server)
        wish = max(1, busy + SPARE) + min(refused, 2 + cap // 4)  # not in great steps: others want as well
        most, since = self._used.get(server, (0, now))
        if wish >= most or now - since > KEEP:
            self._used[server] = (wish, now)
            return wish
        return most

    def _answered(self, wants: dict[str, int], answer: Any) -> None:
        """Agreed or refused: either way what the log says holds again. Without an answer it may still come."""
        if answer is not None:
            for server in wants:
                self._said.pop(server, None)

    def _tell(self, now: float, listed: dict[str, int]) -> None:
        known = self.limits.limits
        changed = {server: limit for server, limit in listed.items() if known.get(server) != limit}
        gone = sorted(known.keys() - listed.keys())
        if changed or gone and listed:
            self._once(now, "limit", Limit(changed, gone))

    def leave(self, now: float) -> None:
        """All its connections are closed, or it is about to end: nothing new is opened."""
        self.leaving = True
        self.port.caps({server: 0 for server in self._caps})
        self._once(now, "leave", Leave(self.agreement.id))

    def _once(self, now: float, name: str, command: Command) -> None:
        if name not in self._busy:
            self._propose(now, name, command, lambda answer: None)

    def _propose(self, now: float, name: str, command: Command, done: Callable[[Any], None]) -> None:
        self._busy.add(name)

        def over(outcome: Outcome | None) -> None:
            self._busy.discard(name)
            done(None if outcome is None else outcome.answer)

        if not self.agreement.propose(now, PART, encode(command), PATIENCE, over):
            self._busy.discard(name)
