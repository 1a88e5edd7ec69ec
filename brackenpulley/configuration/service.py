"""The configuration as a part of a daemon: what is in force goes to the ingress in one turn, between two messages.

A message's plan and revision are named in the step in which the module hears of it (`core/ingress`), and nothing of a
later revision is charged to it. Owns the file of the own copy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..address import Address, parse_address
from ..consensus.service import AgreementService
from ..core.ingress import Ingress
from ..members.records import RATE, Table
from ..members.service import DaemonMembers
from ..members.wire import LEFT, Record
from ..metrics import Metrics
from ..net.loop import Loop, Timer
from ..operator import ConfigurationOptions
from ..plans.book import firm_of, firm_text, spec_of
from ..policy import interface as i
from . import store
from .force import InForce, Taken, log_here
from .revisions import PART, Revisions
from .rollcall import KIND, RollCall
from .rollcall import pack as pack_row
from .rules import Change, ChangeError, Limits, check
from .wire import WireError, pack_change

LOOK = 0.2  # s between looks
SAVE, SAVE_EACH = 5.0, 0.001  # s from a change to the own copy of it, and more an entry: it holds the loop
CUT, BACK = 3.0, 30.0  # s of the log's silence after which others may have forgotten what this process told of
# itself; and after its return in which members come to know each other again
ROW = 100.0  # bytes of one process's record as it is gossiped


class Parts(Protocol):
    """What it needs of the daemon."""

    loop: Loop
    ingress: Ingress
    metrics: Metrics
    log: Any
    members: DaemonMembers
    discovery: Any
    counter: Any
    config: Any


class ConfigurationService:
    def __init__(self, daemon: Parts, told: ConfigurationOptions, agreement: AgreementService) -> None:
        self.daemon, self.told, self.agreement = daemon, told, agreement
        self.loop, self.metrics, self.log = daemon.loop, daemon.metrics, daemon.log
        self.fleet = daemon.members.part.fleet
        self.limits = Limits(told.max_entries, told.max_snapshot_bytes, told.max_change_bytes)
        self.force = InForce(self.loop.clock())
        self.roll = RollCall()
        self._file = {plan.name: plan for plan in daemon.config.settings.plans}
        self._addresses: dict[str, Address | None] = {
            "discovery": daemon.config.discovery,
            "counter": daemon.config.counter,
        }
        self._gone: set[str] = set()  # plans that neither the file nor the revision in force has
        self._told_at, self._told, self._times = -1e9, b"", 0
        self._returned_at, self._size = -1e9, 0
        self._saving: Timer | None = None
        self._going = False
        agreement.parts[PART] = lambda: Revisions(self.fleet, self._refused)

    def _refused(self, cause: str) -> None:
        self.metrics.add("configuration_" + cause)

    @property
    def revisions(self) -> Revisions:
        assert self.agreement.agreement is not None
        part = self.agreement.agreement.machine.parts[PART]
        assert isinstance(part, Revisions)
        return part

    def start(self) -> None:
        """The agreed log is there; nothing is served before this turn is over."""
        agreement, station = self.agreement.agreement, self.daemon.members.service.station
        assert agreement is not None and station is not None
        self._going = True
        self._own_copy()
        agreement.applied = lambda entry: self._look()
        agreement.restored = self._look
        station.records.heard.setdefault(KIND, []).append(self._heard)
        self._tick()

    def _own_copy(self) -> None:
        if not self.told.copy_path:
            return
        try:
            found = store.load(self.told.copy_path, self.fleet)
        except WireError as error:
            self.metrics.add("configuration_copy_" + error.cause)
            self.log.error("configuration", copy=f"{self.told.copy_path}: {error}; the start goes on without it")
            return
        except OSError as error:
            self.metrics.add("configuration_copy_unread")
            self.log.error("configuration", copy=f"{self.told.copy_path}: {error.strerror}")
            return
        if found is not None:
            kept, content = found
            self.force.start(kept.number, kept.at, kept.mark, content)
            self._put(Taken(list(content.plans), [], list(content.addresses)))

    # In force.

    def _tick(self) -> None:
        if not self._going:
            return
        self._look()
        self._tell()
        self.loop.call_in(LOOK, self._tick)

    def _look(self) -> None:
        agreement = self.agreement.agreement
        if agreement is None or not self._going:
            return
        now = self.loop.clock()
        silent = self.force.silent(now)
        taken = self.force.look(now, self.revisions, log_here(agreement, now))
        if silent > CUT and self.force.silent(now) < CUT:
            self._returned_at = now
        if taken is None:
            return
        self._put(taken)
        self.metrics.add("configuration_taken")
        self.log.info(
            "configuration",
            revision=self.force.number,
            plans=len(taken.plans),
            firms=len(taken.firms),
            agreed_s=round(now - self.force.at, 3),
        )
        if self.told.copy_path and self._saving is None:
            self._saving = self.loop.call_in(SAVE + SAVE_EACH * self.force.content.entries, self._save)

    def _put(self, taken: Taken) -> None:
        """All of one revision in one go: the ingress takes no message meanwhile."""
        content, ingress, daemon = self.force.content, self.daemon.ingress, self.daemon
        found = []
        for name in taken.plans:
            figures = content.plans.get(name)
            plan = self._file.get(name) if figures is None else spec_of(name, figures)
            (self._gone.add if plan is None else self._gone.discard)(name)
            if plan is not None:
                found.append(plan)
        if found:
            ingress.notify(i.PlansChanged(found))
        for firm in taken.firms:  # one that is not met yet hears its plan with its first message
            if firm in ingress.decision_module.firms and (name := content.firms.get(firm, "")):
                ingress.notify(i.FirmMoved(firm, name))
        if taken.addresses:
            discovery, counter = self.addresses(self._addresses["discovery"], self._addresses["counter"])
            if discovery is not None and "discovery" in taken.addresses and hasattr(daemon.discovery, "move"):
                daemon.discovery.move(discovery)
            if counter is not None and "counter" in taken.addresses and daemon.counter is not None:
                daemon.counter.move(counter)

    def plan_of(self, customer: int, told: str) -> tuple[str, int]:
        """The port of `core/ingress`: its plan, and the revision in force that says so. A plan that went is none."""
        plan = self.force.content.firms.get(customer, told)
        return "" if plan in self._gone else plan, self.force.number

    def addresses(self, discovery: Address | None, counter: Address | None) -> tuple[Address | None, Address | None]:
        """Those of the file, or of the revision in force where it names them."""
        self._addresses = {"discovery": discovery, "counter": counter}
        found = {
            name: parse_address(told, name) if (told := self.force.content.addresses.get(name)) else file
            for name, file in self._addresses.items()
        }
        return found["discovery"], found["counter"]

    def _save(self) -> None:
        self._saving, force = None, self.force
        try:
            store.save(self.told.copy_path, self.fleet, force.number, force.at, force.mark, force.content)
        except OSError as error:
            self.metrics.add("configuration_unsaved")
            self.log.error("configuration", copy=f"{self.told.copy_path}: {error.strerror}")

    # Who has which.

    def _records(self) -> Table | None:
        station = self.daemon.members.service.station
        return None if station is None else station.records

    def _tell(self) -> None:
        """No oftener than all records of this kind can go round by what one member may gossip a second."""
        records, protocol, now = self._records(), self.daemon.members.service.protocol, self.loop.clock()
        if records is None or protocol is None:
            return
        if now < self._returned_at + BACK and protocol.size > self._size:
            self._times += 1  # what it said while these counted it as dead was not heard
        self._size = protocol.size
        if now < self._told_at + ROW * protocol.size / RATE:
            return
        value = pack_row(
            self.daemon.config.name, self.force.number, self.force.mark, self.force.since, self.force.born, self._times
        )
        if value != self._told:
            self._told_at, self._told = now, value
            records.publish(KIND, "", value)

    def _heard(self, row: Record) -> None:
        if not row.gone:
            self.roll.told(row.owner, row.value)
            return
        protocol = self.daemon.members.service.protocol
        member = None if protocol is None else protocol.members.get(row.owner)
        self.roll.gone(self.loop.clock(), row.owner, member is not None and member.state == LEFT)

    # Operators.

    def propose(self, change: Change, done: Callable[[Any], None], patience: float) -> None:
        """Raises ChangeError where it is wrong as far as can be seen here; `done` as maintenance/agent's."""
        agreement = self.agreement.agreement
        if agreement is None:
            done(None)
            return
        log = self.revisions
        if change.base > log.number:
            raise ChangeError("base", f"{change.base} is not the revision in force, {log.number}")
        if change.base == log.number:
            check(change, log.content, self.limits)
            self._check_here(change)

        def over(outcome: Any) -> None:
            done(None if outcome is None else outcome.answer)

        if not agreement.propose(self.loop.clock(), PART, pack_change(change, self.fleet), patience, over):
            done({"error": "too many calls at once", "field": "base"})
        self.agreement.said()

    def _check_here(self, change: Change) -> None:
        """What contradicts this process's own settings, as those of the fleet are alike."""
        config = self.daemon.config
        if change.plans and not self._file:
            raise ChangeError("plans", "the settings have no plans, so no quota is kept here")
        if change.addresses.get("counter") and config.counter is None:
            raise ChangeError("addresses.counter", "the settings allow no counting")
        if change.addresses.get("discovery") and config.discovery is None:
            raise ChangeError("addresses.discovery", "[xds] tells the servers here")

    def revert(self, to: int, by: str, done: Callable[[Any], None], patience: float) -> None:
        """Raises ChangeError."""
        change = self.revisions.way_back(to, by)
        if not change.entries:
            done({"revision": self.revisions.number, "taken": "before"})
            return
        self.propose(change, done, patience)

    def firm(self, text: str) -> dict[str, Any]:
        """Raises BookError."""
        number = firm_of(text)
        return {"firm": firm_text(number), "plan": self.force.content.firms.get(number), "revision": self.force.number}

    def shown(self) -> dict[str, Any]:
        content = self.force.content
        return {
            **self.status(),
            "plans": content.plans,
            "addresses": content.addresses,
            "limits": {"entries": self.limits.entries, "bytes": self.limits.size, "change": self.limits.change},
        }

    def history(self) -> list[dict[str, Any]]:
        if self.agreement.agreement is None:
            return []
        return [
            {"revision": row.number, "at": row.at, "by": row.by, "note": row.note, "entries": row.undo.entries}
            for row in self.revisions.history
        ]

    def status(self) -> dict[str, Any]:
        now, force, agreement = self.loop.clock(), self.force, self.agreement.agreement
        found: dict[str, Any] = {
            "revision": force.number,
            "mark": force.mark.hex(),
            "from": force.source,
            "agreedAt": force.at,
            "since": round(force.since, 3),
            "logSilentS": round(force.silent(now), 1),
            "firms": len(force.content.firms),
            "entries": force.content.entries,
            "bytes": force.content.size,
        }
        if agreement is not None:
            found["inLog"] = self.revisions.number
            if self.revisions.spoilt:
                found["spoilt"] = "the log's snapshot cannot be read here: start a version that can"
        return {**found, **self.roll.status(now)}

    def knows(self) -> bool:
        return self._going and self.force.knows(self.loop.clock())

    def stop(self) -> None:
        self._going = False
        if self._saving is not None:
            self._saving.cancel()
            self._save()
