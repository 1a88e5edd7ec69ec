"""The agreed log as a part of a daemon: its store, its place in the station, and what operators ask of it."""

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
from .machine import Machine, Part
from .store import LogStore, StoreError

Parts = Callable[[], dict[str, Part]]


class AgreementService:
    """`parts` are added by whoever keeps an agreed state, before `start`."""

    def __init__(
        self, loop: Loop, told: ConsensusOptions, name: str, members: DaemonMembers, metrics: Metrics, log: Any
    ) -> None:
        """Raises ConfigError."""
        self.loop, self.told, self.name, self.members = loop, told, name, members
        self.metrics, self.log = metrics, log
        self.parts: dict[str, Callable[[], Part]] = {}
        self.agreement: Agreement | None = None
        self.store: LogStore | None = None
        self._led = ""
        if told.directory:
            try:
                self.store = LogStore(
                    told.directory,
                    told.seal_path or str(Path(told.directory).with_suffix(".seal")),
                    name,
                    told.max_store_bytes,
                )
            except StoreError as error:
                raise ConfigError(f"consensus.path: {error}") from None

    def start(self) -> None:
        """Membership listens by now."""
        try:
            self.agreement = Agreement(
                self.members.service.id,
                self.name,
                dict(self.told.voters),
                self._machine,
                random.Random(),
                self.loop.clock(),
                self.store,
            )
        except StoreError as error:
            raise ConfigError(f"consensus.path: {error}") from None
        self.members.attach(KIND, self.agreement)
        self._watch()

    def _machine(self) -> Machine:
        return Machine({name: make() for name, make in self.parts.items()})

    def _watch(self) -> None:
        """Who leads is worth a line, and the counters of a voter are told with the others."""
        agreement = self.agreement
        if agreement is None:
            return
        if agreement.leader != self._led:
            self._led = agreement.leader
            self.log.info("agreement", leader=self._led or "nobody", index=agreement.machine.index)
        if self.store is not None and self.store.failed:
            self.log.error("agreement", error=self.store.failed)
            self.metrics.add("agreement_unstored")
        self.loop.call_in(1.0, self._watch)

    def said(self) -> None:
        """It has something to say that no message and no time brought about."""
        self.members.service.send_pending()

    def status(self) -> dict[str, Any]:
        agreement = self.agreement
        if agreement is None:
            return {"voter": bool(self.told.directory), "leader": ""}
        found: dict[str, Any] = {
            "voter": agreement.node is not None,
            "leader": agreement.leader,
            "index": agreement.machine.index,
            "voters": agreement.seats(),
        }
        node = agreement.node
        if node is not None and self.store is not None:
            found.update(
                role="halted" if node.halted else node.role,
                term=node.term,
                commit=node.commit,
                proved=node.proved,
                current=agreement.current(self.loop.clock()),
                counts=node.counts,
                store=self.store.status(),
            )
        return found

    def change(self, name: str, address: str) -> str:
        """Says why not, or ""."""
        if self.agreement is None:
            return "not started"
        said = self.agreement.change(self.loop.clock(), name, address)
        self.said()
        return said

    def trust(self) -> bool:
        if self.agreement is None or not self.agreement.trust(self.loop.clock()):
            return False
        self.log.info("agreement", trusted=self.name)
        self.said()
        return True

    def ending(self) -> None:
        """A leader that goes hands on before it does."""
        if self.agreement is not None:
            self.agreement.resign(self.loop.clock())
            self.said()

    def stop(self) -> None:
        self.agreement = None
        if self.store is not None:
            self.store.end()
            self.store = None
