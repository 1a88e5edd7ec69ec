"""One ingress's part in maintenance: it enters, clears machines when told to, confirms that, and leaves. No I/O.

A new incarnation does not know which servers are out of service, so it serves only once it has entered. After
`ENTER_TIMEOUT_SECONDS` it serves all the same, because ingresses without a quorum must go on; it then avoids the
servers that other ingresses publish as out of service (`list_published_cordons`), which were agreed on before. While
this process leads the log it also proposes a step with the state of the fleet as it sees it, every
`STEP_INTERVAL_SECONDS`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..consensus.agreement import Agreement
from ..consensus.machine import Outcome
from .order import Bounds, FleetState
from .permits import AT_WORK, CLEAR, CLEARING, RETURNING, STUCK, Cleared, Command, Enter, Leave, Permits, Step, encode

MACHINE_PART = "permits"  # name of this part of the replicated state machine
STEP_INTERVAL_SECONDS = 1.0
TICK_INTERVAL_SECONDS = 0.2
PROPOSAL_TIMEOUT_SECONDS = 5.0
ENTER_TIMEOUT_SECONDS = 8.0


class IngressAdapter(Protocol):
    """What the agent reads from its ingress and changes in it."""

    def set_cordoned(self, servers: frozenset[str]) -> None:
        """Give no new work to these servers; all others may get work."""

    def count_relays(self, servers: list[str]) -> int:
        """Return the number of relays to these servers that have not ended, streamed ones among them."""

    def set_draining(self, on: bool) -> None:
        """Take the ingress itself out of service, or back into service."""

    def count_messages(self) -> int:
        """Return the number of messages that are not answered, or whose answer is not delivered yet."""

    def list_published_cordons(self) -> frozenset[str]:
        """Return the servers that other ingresses publish as out of service."""

    def observe_fleet(self) -> FleetState:
        """Return the state of the fleet as this ingress sees it."""
        ...

    def is_carrying_load(self, servers: list[str], ingress: str) -> bool:
        """Return whether all of these servers, or that ingress, carry load."""


class MaintenanceAgent:
    """Applies the agreed permits to one ingress and proposes its confirmations."""

    def __init__(
        self,
        name: str,
        agreement: Agreement,
        permits: Callable[[], Permits],
        adapter: IngressAdapter,
        bounds: Bounds,
        settle_seconds: float,
        stuck_after_seconds: float,
        now: float,
    ) -> None:
        self.name, self.agreement, self._permits, self.adapter = name, agreement, permits, adapter
        self.bounds, self.settle_seconds, self.stuck_after_seconds = bounds, settle_seconds, stuck_after_seconds
        self.has_entered = self.is_leaving = False
        self._enter_deadline = now + ENTER_TIMEOUT_SECONDS
        self._applied_index = 0  # log index of the newest state that was acted on
        self._cordoned: frozenset[str] = frozenset()
        self._is_draining = False
        self._pending_proposals: set[str] = set()
        self._next_tick = now
        self._next_step = now

    @property
    def permits(self) -> Permits:
        """The replicated permits as applied by this process."""
        return self._permits()

    def propose(
        self,
        now: float,
        command: Command,
        on_answer: Callable[[Any], None],
        timeout: float = PROPOSAL_TIMEOUT_SECONDS,
    ) -> None:
        """Propose a command; `on_answer` gets its answer.

        It gets None if nothing was agreed within `timeout` seconds; the command may still be committed later."""

        def on_outcome(outcome: Outcome | None) -> None:
            on_answer(None if outcome is None else outcome.answer)

        if not self.agreement.propose(now, MACHINE_PART, encode(command), timeout, on_outcome):
            on_answer({"error": "too many calls at once", "field": ""})

    def on_applied(self) -> None:
        """Act on the state after log entries were applied here.

        This cannot wait for the next tick: a process that is stopped (SIGSTOP) in between would, once it continues,
        send messages that arrived meanwhile to a server that it knows to be out of service."""
        index = self.agreement.machine.index
        if index < self._applied_index:
            # A voter restored from its disk starts with an older state; what was done for a newer one stays.
            return
        self._applied_index = index
        permits = self.permits
        self.has_entered = permits.incarnations.get(self.name) == self.agreement.id
        cordoned = frozenset(permits.list_cordoned())
        if not self.has_entered:
            cordoned |= self.adapter.list_published_cordons()
        if cordoned != self._cordoned:
            self._cordoned = cordoned
            self.adapter.set_cordoned(cordoned)
        own_jobs = [job for job in permits.list_out() if job.ingress == self.name]
        is_draining = any(
            job.state in (CLEARING, CLEAR, AT_WORK) or job.state == STUCK and job.stuck_from != RETURNING
            for job in own_jobs
        )
        if is_draining != self._is_draining:
            self._is_draining = is_draining
            self.adapter.set_draining(is_draining)

    def tick(self, now: float) -> None:
        """Enter, confirm cleared machines and step the log, at most once per `TICK_INTERVAL_SECONDS`."""
        if now < self._next_tick:
            return
        self._next_tick = now + TICK_INTERVAL_SECONDS
        permits = self.permits
        if not self.is_leaving and permits.incarnations.get(self.name) != self.agreement.id:
            self._propose_once(now, "enter", Enter(self.name, self.agreement.id))
        self.on_applied()
        for job in permits.list_out():
            if self.name in permits.list_unconfirmed(job) and self.has_entered:
                remaining = self.adapter.count_messages() if job.ingress else self.adapter.count_relays(job.servers)
                if not remaining:
                    self._propose_once(now, job.id, Cleared(job.id, job.token, self.name, self.agreement.id))
        if self.agreement.is_leader and now >= self._next_step:
            self._step(now)

    def may_serve(self, now: float) -> bool:
        """Return whether the servers out of service are known, or `ENTER_TIMEOUT_SECONDS` have passed."""
        return self.has_entered or now >= self._enter_deadline

    def _step(self, now: float) -> None:
        """Propose a step, but only while there are jobs in progress, so that an idle log does not grow."""
        jobs = [job for job in self.permits.jobs.values() if job.state not in ("done", "withdrawn")]
        if not jobs:
            return
        self._next_step = now + STEP_INTERVAL_SECONDS
        carrying_load = [
            job.id for job in jobs if job.state == RETURNING and self.adapter.is_carrying_load(job.servers, job.ingress)
        ]
        self._propose_once(
            now,
            "step",
            Step(
                self.adapter.observe_fleet(), self.bounds, self.settle_seconds, self.stuck_after_seconds, carrying_load
            ),
        )

    def leave(self, now: float) -> None:
        """Leave because the process ends; no confirmation of it is awaited any more."""
        self.is_leaving = True
        self._propose_once(now, "leave", Leave(self.name, self.agreement.id))

    def _propose_once(self, now: float, name: str, command: Command) -> None:
        if name in self._pending_proposals:
            return
        self._pending_proposals.add(name)
        self.propose(now, command, lambda answer: self._pending_proposals.discard(name))
