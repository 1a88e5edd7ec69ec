"""The replicated log as a service of a process: its store, its part of the station, and calls of the control API."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..address import ConfigError
from ..members.service import DaemonMembers
from ..metrics import Metrics
from ..net.loop import Loop
from ..operator import ConsensusOptions
from .agreement import KIND, Agreement
from .machine import Part, StateMachine
from .store import LogStore, StoreError

PartFactory = Callable[[], dict[str, Part]]


class AgreementService:
    """The replicated log in a serving process.

    Other services add the factories of their replicated states to `parts` before `start`.
    """

    def __init__(
        self, loop: Loop, options: ConsensusOptions, name: str, members: DaemonMembers, metrics: Metrics, log: Any
    ) -> None:
        """Raises ConfigError where the store cannot be opened."""
        self.loop, self.options, self.name, self.members = loop, options, name, members
        self.metrics, self.log = metrics, log
        self.parts: dict[str, Callable[[], Part]] = {}
        self.agreement: Agreement | None = None
        self.store: LogStore | None = None
        self._logged_leader = ""
        if options.directory:
            try:
                self.store = LogStore(
                    options.directory,
                    options.seal_path or str(Path(options.directory).with_suffix(".seal")),
                    name,
                    options.max_store_bytes,
                )
            except StoreError as error:
                raise ConfigError(f"consensus.path: {error}") from None

    def start(self) -> None:
        """Join the log; the membership service must be listening.

        Raises ConfigError where the store cannot be read.
        """
        try:
            self.agreement = Agreement(
                self.members.service.id,
                self.name,
                dict(self.options.voters),
                self._make_machine,
                random.Random(),
                self.loop.clock(),
                self.store,
            )
        except StoreError as error:
            raise ConfigError(f"consensus.path: {error}") from None
        self.members.attach(KIND, self.agreement)
        self._monitor()

    def _make_machine(self) -> StateMachine:
        return StateMachine({name: make() for name, make in self.parts.items()})

    def _monitor(self) -> None:
        """Log changes of the leader and count failed writes, once a second."""
        agreement = self.agreement
        if agreement is None:
            return
        if agreement.leader != self._logged_leader:
            self._logged_leader = agreement.leader
            self.log.info("agreement", leader=self._logged_leader or "nobody", index=agreement.machine.index)
        if self.store is not None and self.store.last_error:
            self.log.error("agreement", error=self.store.last_error)
            self.metrics.add("agreement_unstored")
        self.loop.call_in(1.0, self._monitor)

    def send_pending(self) -> None:
        """Send the output of calls made outside a received message or a tick."""
        self.members.service.send_pending()

    def status(self) -> dict[str, Any]:
        """Return what the control API reports on the log."""
        agreement = self.agreement
        if agreement is None:
            return {"voter": bool(self.options.directory), "leader": ""}
        status: dict[str, Any] = {
            "voter": agreement.node is not None,
            "leader": agreement.leader,
            "index": agreement.machine.index,
            "voters": agreement.voter_addresses(),
        }
        node = agreement.node
        if node is not None and self.store is not None:
            status.update(
                role="halted" if node.is_halted else node.role,
                term=node.term,
                commit=node.commit,
                proved=node.is_verified,
                current=agreement.is_current(self.loop.clock()),
                counts=node.counts,
                store=self.store.status(),
            )
        return status

    def change_voter(self, name: str, address: str) -> str:
        """Add a voter, or remove it where `address` is empty.

        Returns the reason for a rejection, or "".
        """
        if self.agreement is None:
            return "not started"
        problem = self.agreement.change_voter(self.loop.clock(), name, address)
        self.send_pending()
        return problem

    def trust_store(self) -> bool:
        """Accept this voter's disk as complete; return False where it is no unverified voter."""
        if self.agreement is None or not self.agreement.trust_store(self.loop.clock()):
            return False
        self.log.info("agreement", trusted=self.name)
        self.send_pending()
        return True

    def hand_over(self) -> None:
        """Transfer leadership, if held, before the process shuts down."""
        if self.agreement is not None:
            self.agreement.resign(self.loop.clock())
            self.send_pending()

    def stop(self) -> None:
        """Leave the log and close the store."""
        self.agreement = None
        if self.store is not None:
            self.store.close()
            self.store = None
