"""The agreed configuration as a part of a daemon: applies the active revision to the ingress in one event-loop turn.

A message's plan and revision are fixed in the step in which the decision module hears of it (`core/ingress`), so a
later revision never affects what that message is charged. Owns the file with the copy of the active revision.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..address import Address, parse_address
from ..consensus.service import AgreementService
from ..core.ingress import Ingress
from ..members.records import GOSSIP_BYTES_PER_S, RecordTable
from ..members.service import DaemonMembers
from ..members.wire import LEFT, Record
from ..metrics import Metrics
from ..net.loop import Loop, Timer
from ..operator import ConfigurationOptions
from ..plans.book import build_plan_spec, format_firm, parse_firm
from ..policy import interface as i
from . import store
from .active import ActiveRevision, ChangedEntries, log_state
from .adoption import KIND, AdoptionTracker
from .adoption import pack as pack_record
from .revisions import PART, Revisions
from .rules import Change, ChangeError, Limits, check
from .wire import WireError, pack_change

POLL_INTERVAL_SECONDS = 0.2  # of the log and the gossiped record
SAVE_DELAY_SECONDS = 5.0  # from a change to writing the copy of it
SAVE_DELAY_PER_ENTRY_SECONDS = 0.001  # more: writing blocks the event loop
DISCONNECTED_SECONDS = 3.0  # silence of the log after which other members may have dropped this process's record
REJOIN_SECONDS = 30.0  # after the log is heard again, in which members discover each other anew
RECORD_BYTES = 100.0  # of one process's record in gossip


class DaemonParts(Protocol):
    """The parts of the daemon that the service uses."""

    loop: Loop
    ingress: Ingress
    metrics: Metrics
    log: Any
    members: DaemonMembers
    discovery: Any
    counter: Any
    config: Any


class ConfigurationService:
    """Follows the agreed log, applies revisions to the ingress and serves the control API."""

    def __init__(self, daemon: DaemonParts, options: ConfigurationOptions, agreement: AgreementService) -> None:
        self.daemon, self.options, self.agreement = daemon, options, agreement
        self.loop, self.metrics, self.log = daemon.loop, daemon.metrics, daemon.log
        self.fleet = daemon.members.options.fleet
        self.limits = Limits(options.max_entries, options.max_snapshot_bytes, options.max_change_bytes)
        self.active = ActiveRevision(self.loop.clock())
        self.adoption = AdoptionTracker()
        self._file_plans = {plan.name: plan for plan in daemon.config.settings.plans}
        self._file_addresses: dict[str, Address | None] = {
            "discovery": daemon.config.discovery,
            "counter": daemon.config.counter,
        }
        self._removed_plans: set[str] = set()  # plans that neither the file nor the active revision has
        self._published_at = -1e9
        self._published = b""
        self._rejoins = 0
        self._reconnected_at = -1e9
        self._member_count = 0
        self._save_timer: Timer | None = None
        self._is_running = False
        agreement.parts[PART] = lambda: Revisions(self.fleet, self._count)

    def _count(self, cause: str) -> None:
        self.metrics.add("configuration_" + cause)

    @property
    def revisions(self) -> Revisions:
        """The revisions in the replicated log."""
        assert self.agreement.agreement is not None
        part = self.agreement.agreement.machine.parts[PART]
        assert isinstance(part, Revisions)
        return part

    def start(self) -> None:
        """Load the copy and follow the log, which must be running; the ingress serves nothing before this returns."""
        agreement, station = self.agreement.agreement, self.daemon.members.service.station
        assert agreement is not None and station is not None
        self._is_running = True
        self._load_copy()
        agreement.on_applied = lambda entry: self._update_active()
        agreement.on_restored = self._update_active
        station.records.subscribers.setdefault(KIND, []).append(self._on_record)
        self._tick()

    def _load_copy(self) -> None:
        if not self.options.copy_path:
            return
        try:
            found = store.load(self.options.copy_path, self.fleet)
        except WireError as error:
            self.metrics.add("configuration_copy_" + error.cause)
            self.log.error("configuration", copy=f"{self.options.copy_path}: {error}; starting without it")
            return
        except OSError as error:
            self.metrics.add("configuration_copy_unread")
            self.log.error("configuration", copy=f"{self.options.copy_path}: {error.strerror}")
            return
        if found is not None:
            stored, content = found
            self.active.start(stored.number, stored.agreed_at, stored.digest, content)
            self._apply_entries(ChangedEntries(list(content.plans), [], list(content.addresses)))

    # Active revision.

    def _tick(self) -> None:
        if not self._is_running:
            return
        self._update_active()
        self._publish()
        self.loop.call_in(POLL_INTERVAL_SECONDS, self._tick)

    def _update_active(self) -> None:
        agreement = self.agreement.agreement
        if agreement is None or not self._is_running:
            return
        now = self.loop.clock()
        silence = self.active.silence(now)
        changed = self.active.update(now, self.revisions, log_state(agreement, now))
        if silence > DISCONNECTED_SECONDS and self.active.silence(now) < DISCONNECTED_SECONDS:
            self._reconnected_at = now
        if changed is None:
            return
        self._apply_entries(changed)
        self.metrics.add("configuration_taken")
        self.log.info(
            "configuration",
            revision=self.active.number,
            plans=len(changed.plans),
            firms=len(changed.firms),
            agreed_s=round(now - self.active.agreed_at, 3),
        )
        if self.options.copy_path and self._save_timer is None:
            self._save_timer = self.loop.call_in(
                SAVE_DELAY_SECONDS + SAVE_DELAY_PER_ENTRY_SECONDS * self.active.content.entry_count, self._save
            )

    def _apply_entries(self, changed: ChangedEntries) -> None:
        """Apply all changed entries of a revision in one turn: the ingress handles no message meanwhile."""
        content, ingress, daemon = self.active.content, self.daemon.ingress, self.daemon
        plans = []
        for name in changed.plans:
            figures = content.plans.get(name)
            plan = self._file_plans.get(name) if figures is None else build_plan_spec(name, figures)
            (self._removed_plans.add if plan is None else self._removed_plans.discard)(name)
            if plan is not None:
                plans.append(plan)
        if plans:
            ingress.notify(i.PlansChanged(plans))
        for firm in changed.firms:  # a firm not seen yet gets its plan with its first message
            if firm in ingress.decision_module.firms and (name := content.firms.get(firm, "")):
                ingress.notify(i.FirmMoved(firm, name))
        if changed.addresses:
            discovery, counter = self.resolve_addresses(
                self._file_addresses["discovery"], self._file_addresses["counter"]
            )
            if discovery is not None and "discovery" in changed.addresses and hasattr(daemon.discovery, "move"):
                daemon.discovery.move(discovery)
            if counter is not None and "counter" in changed.addresses and daemon.counter is not None:
                daemon.counter.move(counter)

    def plan_of(self, firm: int, requested_plan: str) -> tuple[str, int]:
        """Return the firm's plan, "" if that plan was removed, and the number of the active revision.

        `core/ingress` calls this for each message.
        """
        plan = self.active.content.firms.get(firm, requested_plan)
        return "" if plan in self._removed_plans else plan, self.active.number

    def resolve_addresses(
        self, discovery: Address | None, counter: Address | None
    ) -> tuple[Address | None, Address | None]:
        """Return the file's discovery and counter addresses, overridden by those of the active revision."""
        self._file_addresses = {"discovery": discovery, "counter": counter}
        resolved = {
            name: parse_address(text, name) if (text := self.active.content.addresses.get(name)) else file_address
            for name, file_address in self._file_addresses.items()
        }
        return resolved["discovery"], resolved["counter"]

    def _save(self) -> None:
        self._save_timer, active = None, self.active
        try:
            store.save(
                self.options.copy_path, self.fleet, active.number, active.agreed_at, active.digest, active.content
            )
        except OSError as error:
            self.metrics.add("configuration_unsaved")
            self.log.error("configuration", copy=f"{self.options.copy_path}: {error.strerror}")

    # Adoption by other processes.

    def _record_table(self) -> RecordTable | None:
        station = self.daemon.members.service.station
        return None if station is None else station.records

    def _publish(self) -> None:
        """Publish this process's record, no more often than gossip at its allowed rate can spread all such records."""
        records, protocol, now = self._record_table(), self.daemon.members.service.protocol, self.loop.clock()
        if records is None or protocol is None:
            return
        if now < self._reconnected_at + REJOIN_SECONDS and protocol.size > self._member_count:
            self._rejoins += 1  # members that took this process for dead have ignored its last record
        self._member_count = protocol.size
        if now < self._published_at + RECORD_BYTES * protocol.size / GOSSIP_BYTES_PER_S:
            return
        value = pack_record(
            self.daemon.config.name,
            self.active.number,
            self.active.digest,
            self.active.since,
            self.active.started,
            self._rejoins,
        )
        if value != self._published:
            self._published_at, self._published = now, value
            records.publish(KIND, "", value)

    def _on_record(self, record: Record) -> None:
        if not record.is_deleted:
            self.adoption.update(record.owner, record.value)
            return
        protocol = self.daemon.members.service.protocol
        member = None if protocol is None else protocol.members.get(record.owner)
        self.adoption.remove(self.loop.clock(), record.owner, member is not None and member.state == LEFT)

    # Operators.

    def propose(self, change: Change, done: Callable[[Any], None], timeout: float) -> None:
        """Propose a change to the log; `done` gets the answer, or None if there is none within `timeout` seconds.

        Raises ChangeError for a change that is known here to be wrong.
        """
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

        def finish(outcome: Any) -> None:
            done(None if outcome is None else outcome.answer)

        if not agreement.propose(self.loop.clock(), PART, pack_change(change, self.fleet), timeout, finish):
            done({"error": "too many calls at once", "field": "base"})
        self.agreement.send_pending()

    def _check_here(self, change: Change) -> None:
        """Reject what contradicts this process's own settings, which are the same in the whole fleet."""
        config = self.daemon.config
        if change.plans and not self._file_plans:
            raise ChangeError("plans", "the settings have no plans, so no quota is kept here")
        if change.addresses.get("counter") and config.counter is None:
            raise ChangeError("addresses.counter", "the settings allow no counting")
        if change.addresses.get("discovery") and config.discovery is None:
            raise ChangeError("addresses.discovery", "[xds] tells the servers here")

    def revert(self, to: int, by: str, done: Callable[[Any], None], timeout: float) -> None:
        """Propose the change back to revision `to`, as `propose` does. Raises ChangeError."""
        change = self.revisions.revert_change(to, by)
        if not change.entry_count:
            done({"revision": self.revisions.number, "taken": "before"})
            return
        self.propose(change, done, timeout)

    def firm_status(self, text: str) -> dict[str, Any]:
        """Return the plan of a firm, given in hexadecimal, in the active revision. Raises BookError."""
        number = parse_firm(text)
        return {
            "firm": format_firm(number),
            "plan": self.active.content.firms.get(number),
            "revision": self.active.number,
        }

    def describe(self) -> dict[str, Any]:
        """Return the status with the active plans, the addresses and the limits."""
        content = self.active.content
        return {
            **self.status(),
            "plans": content.plans,
            "addresses": content.addresses,
            "limits": {
                "entries": self.limits.max_entries,
                "bytes": self.limits.max_snapshot_bytes,
                "change": self.limits.max_change_bytes,
            },
        }

    def history(self) -> list[dict[str, Any]]:
        """Return the revisions that the log's history holds, oldest first."""
        if self.agreement.agreement is None:
            return []
        return [
            {
                "revision": revision.number,
                "at": revision.agreed_at,
                "by": revision.by,
                "note": revision.note,
                "entries": revision.undo.entry_count,
            }
            for revision in self.revisions.history
        ]

    def status(self) -> dict[str, Any]:
        """Return the active revision, the state of the log and the adoption in the fleet."""
        now, active, agreement = self.loop.clock(), self.active, self.agreement.agreement
        status: dict[str, Any] = {
            "revision": active.number,
            "mark": active.digest.hex(),
            "from": active.source,
            "agreedAt": active.agreed_at,
            "since": round(active.since, 3),
            "logSilentS": round(active.silence(now), 1),
            "firms": len(active.content.firms),
            "entries": active.content.entry_count,
            "bytes": active.content.size_bytes,
        }
        if agreement is not None:
            status["inLog"] = self.revisions.number
            if self.revisions.is_unreadable:
                status["spoilt"] = "the log's snapshot cannot be read here: start a version that can"
        return {**status, **self.adoption.status(now)}

    def knows(self) -> bool:
        """Tell whether the active revision is settled, so that the daemon may report itself ready."""
        return self._is_running and self.active.is_settled(self.loop.clock())

    def stop(self) -> None:
        """Stop following the log and write a copy that is due."""
        self._is_running = False
        if self._save_timer is not None:
            self._save_timer.cancel()
            self._save()
