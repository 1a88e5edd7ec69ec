"""One ingress's side of what goes out: it enters the roster, clears what it is told to, says so, and leaves. No I/O.

A new life knows nothing of what is away, so it serves only once it has entered, or after `BLIND` s: a side that can
agree on nothing must serve all the same. It then goes by what the others tell by record (`rumoured`), which is what
was agreed before. While this process leads the log it also steps it, with the fleet as it sees it, every `STEP` s."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..consensus.agreement import Agreement
from ..consensus.machine import Outcome
from .order import Bounds, Facts
from .permits import CLEAR, CLEARING, RETURNING, STUCK, WORK, Command, Enter, Leave, Permits, Said, Step, encode

PART = "permits"  # of the machine
STEP, AGAIN, PATIENCE = 1.0, 0.2, 5.0  # s: between steps, between looks, for a proposal
BLIND = 8.0  # s


class Port(Protocol):
    """What a clerk asks of its ingress."""

    def away(self, servers: frozenset[str]) -> None:
        """These get no new work from now on, and no others."""

    def attempts(self, servers: list[str]) -> int:
        """Out at these."""

    def drain(self, on: bool) -> None:
        """The ingress itself goes, or stays after all."""

    def held(self) -> int:
        """Messages that the ingress has in hand."""

    def rumoured(self) -> frozenset[str]:
        """Servers that others say are away."""

    def facts(self) -> Facts: ...

    def carries(self, servers: list[str], ingress: str) -> bool:
        """All of these, or that ingress, carry load."""


class Clerk:
    def __init__(
        self,
        name: str,
        agreement: Agreement,
        permits: Callable[[], Permits],
        port: Port,
        bounds: Bounds,
        settle: float,
        late: float,
        now: float,
    ) -> None:
        self.name, self.agreement, self._permits, self.port = name, agreement, permits, port
        self.bounds, self.settle, self.late = bounds, settle, late
        self.entered = self.leaving = False
        self._blind_until = now + BLIND
        self._index = 0  # of the newest state that was acted on
        self._away: frozenset[str] = frozenset()
        self._drains = False
        self._busy: set[str] = set()  # proposals that are out
        self._look_at = now
        self._step_at = now

    @property
    def permits(self) -> Permits:
        return self._permits()

    def propose(self, now: float, command: Command, done: Callable[[Any], None], patience: float = PATIENCE) -> None:
        """`done` gets the answer, or None where nothing was agreed in that time (it may be later)."""

        def over(outcome: Outcome | None) -> None:
            done(None if outcome is None else outcome.answer)

        if not self.agreement.propose(now, PART, encode(command), patience, over):
            done({"error": "too many calls at once", "field": ""})

    def heard(self) -> None:
        """Something was applied here. Acted on at once: a process that is stopped after a word and before its next look
        would, once it goes on, send what has come meanwhile to a server that it knows to be away."""
        index = self.agreement.machine.index
        if index < self._index:  # a voter made anew from its disk begins with an older state: what it did stands
            return
        self._index = index
        permits = self.permits
        self.entered = permits.roster.get(self.name) == self.agreement.id
        away = frozenset(permits.away())
        if not self.entered:
            away |= self.port.rumoured()
        if away != self._away:
            self._away = away
            self.port.away(away)
        mine = [job for job in permits.out() if job.ingress == self.name]
        drains = any(
            job.state in (CLEARING, CLEAR, WORK) or job.state == STUCK and job.was != RETURNING for job in mine
        )
        if drains != self._drains:
            self._drains = drains
            self.port.drain(drains)

    def tick(self, now: float) -> None:
        if now < self._look_at:
            return
        self._look_at = now + AGAIN
        permits = self.permits
        if not self.leaving and permits.roster.get(self.name) != self.agreement.id:
            self._once(now, "enter", Enter(self.name, self.agreement.id))
        self.heard()
        for job in permits.out():
            if self.name in permits.missing(job) and self.entered:
                left = self.port.held() if job.ingress else self.port.attempts(job.servers)
                if not left:
                    self._once(now, job.id, Said(job.id, job.token, self.name, self.agreement.id))
        if self.agreement.is_leader and now >= self._step_at:
            self._step(now)

    def knows(self, now: float) -> bool:
        """What is away is known here, or was waited for in vain."""
        return self.entered or now >= self._blind_until

    def _step(self, now: float) -> None:
        """Only where there is something to do: an idle log stays as it is."""
        jobs = [job for job in self.permits.jobs.values() if job.state not in ("done", "withdrawn")]
        if not jobs:
            return
        self._step_at = now + STEP
        carried = [job.id for job in jobs if job.state == RETURNING and self.port.carries(job.servers, job.ingress)]
        self._once(now, "step", Step(self.port.facts(), self.bounds, self.settle, self.late, carried))

    def leave(self, now: float) -> None:
        """The process ends. Nobody waits for it any more."""
        self.leaving = True
        self._once(now, "leave", Leave(self.name, self.agreement.id))

    def _once(self, now: float, name: str, command: Command) -> None:
        if name in self._busy:
            return
        self._busy.add(name)
        self.propose(now, command, lambda answer: self._busy.discard(name))
