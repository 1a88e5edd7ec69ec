"""Runs maintenance in a daemon: connects the agent to the ingress and answers the control API."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from ..consensus.service import AgreementService
from ..members.records import MAX_RECORDS, MAX_VALUE_BYTES, RecordTable
from ..operator import MaintenanceOptions
from .agent import MACHINE_PART, MaintenanceAgent
from .order import Bounds, Candidate, FleetState, Server, plan
from .permits import WAITING, Command, Leave, Permits

if TYPE_CHECKING:
    from ..serve import Daemon

TICK_INTERVAL_SECONDS = 0.2  # of the agent
RECORD_INTERVAL_SECONDS = 2.0  # between updates of the records that this ingress publishes
SHORTAGE_DIVISOR = 10  # one in ten servers ejected at once is chance; more mean that the fleet is short of servers
STATUS_RECORD = "ingress"  # kind of record: an IngressStatus
CORDON_RECORD = "away"  # kind of record: names of servers out of service


class IngressStatus(msgspec.Struct, frozen=True, array_like=True):
    """What an ingress publishes about itself in a record."""

    name: str
    place: int
    is_ready: bool
    relays: float  # in flight, moving average
    accepted: int  # messages since its start


_decode_status = msgspec.msgpack.Decoder(IngressStatus).decode


class DaemonAdapter:
    """Gives the agent access to the ingress of a daemon."""

    def __init__(self, daemon: Daemon, options: MaintenanceOptions) -> None:
        self.daemon, self.options = daemon, options
        self.average_relays = 0.0

    def set_cordoned(self, servers: frozenset[str]) -> None:
        """Give no new work to these servers; all others may get work."""
        self.daemon.inventory.set_cordoned(servers)
        self.daemon.log.info("maintenance: servers out of service changed", away=",".join(sorted(servers)) or "none")

    def count_relays(self, servers: list[str]) -> int:
        """Return the number of relays to these servers that have not ended.

        The decision module's account would leave out a message whose answer streams or whose body is still received.
        """
        names = frozenset(servers)
        return sum(exchange.server in names for exchange in self.daemon.ingress.exchanges.values())

    def set_draining(self, on: bool) -> None:
        """Take the ingress itself out of service, or back into service."""
        self.daemon.drain.out_for_maintenance = on
        if on:
            self.daemon.north.close_idle()
        self.daemon.log.info("maintenance: draining of this ingress changed", drains=on)

    def count_messages(self) -> int:
        """Return the number of messages that are not answered, or whose answer is not delivered yet."""
        unread = sum(bool(client.outgoing) or client.is_busy for client in self.daemon.north.clients)
        return max(len(self.daemon.ingress.exchanges), unread)

    def update_average(self) -> None:
        """Update the moving average of relays in flight."""
        in_flight = sum(
            len(server.relays) for server in self.daemon.ingress.decision_module.servers.with_relays.values()
        )
        self.average_relays += 0.2 * (in_flight - self.average_relays)

    def make_status(self) -> IngressStatus:
        """Return the status that this ingress publishes."""
        daemon = self.daemon
        return IngressStatus(
            daemon.config.name,
            daemon.config.settings.me,
            daemon.drain.is_ready(daemon.is_ready()),
            round(self.average_relays, 1),
            daemon.metrics.counts["messages"],
        )

    def list_statuses(self) -> list[IngressStatus]:
        """Return the published statuses of all ingresses; records that cannot be decoded are skipped."""
        station = self.daemon.members.service.station
        records = [] if station is None else list(station.records.iter_kind(STATUS_RECORD))
        statuses = []
        for record in records:
            try:
                statuses.append(_decode_status(record.value))
            except msgspec.MsgspecError:
                continue
        return statuses

    def list_published_cordons(self) -> frozenset[str]:
        """Return the servers that other ingresses publish as out of service."""
        station = self.daemon.members.service.station
        servers: set[str] = set()
        for record in station.records.iter_kind(CORDON_RECORD) if station is not None else ():
            servers.update(record.value.decode("utf-8", "replace").split())
        return frozenset(servers)

    def observe_fleet(self) -> FleetState:
        """Return the state of the fleet as this ingress sees it."""
        daemon, ejected = self.daemon, self.daemon.ingress.decision_module.servers.ejected
        entries = daemon.inventory.list_entries()
        cordoned = daemon.inventory.cordoned
        servers = {
            entry.server: Server(
                entry.zone, entry.kind, entry.size, entry.state == "up" and entry.server not in ejected
            )
            for entry in entries
        }
        zones: dict[str, list[bool]] = {}
        for entry in entries:
            if entry.state == "up" and entry.server not in cordoned:
                zones.setdefault(entry.zone, []).append(entry.server in ejected)
        lost_zones = [
            zone
            for zone, is_ejected in zones.items()
            if zone and len(is_ejected) > 1 and sum(is_ejected) * 2 > len(is_ejected)
        ]
        missing_servers = sum(sum(is_ejected) for is_ejected in zones.values())
        statuses = self.list_statuses()
        serving = [False] * max([daemon.config.settings.places, *(status.place + 1 for status in statuses)])
        for status in statuses:
            serving[status.place] = serving[status.place] or status.is_ready
        return FleetState(
            servers,
            sum(status.relays for status in statuses),
            serving,
            self.options.min_spread,
            lost_zones,
            missing_servers if missing_servers > 1 and missing_servers * SHORTAGE_DIVISOR > len(servers) else 0,
        )

    def list_group(self, group: str) -> list[str]:
        """Return the servers of "zone:NAME" or "cell:NUMBER" in the inventory."""
        kind, _, name = group.partition(":")
        return [
            entry.server
            for entry in self.daemon.inventory.list_entries()
            if (entry.zone if kind == "zone" else str(entry.cell)) == name
        ]

    def is_carrying_load(self, servers: list[str], ingress: str) -> bool:
        """Return whether all of these servers, or that ingress, carry load."""
        if ingress:
            return any(status.name == ingress and status.is_ready for status in self.list_statuses())
        known = self.daemon.ingress.decision_module.servers
        return all(
            self.daemon.inventory.is_usable(name) and name in known and not known[name].is_ejected for name in servers
        )


class MaintenanceService:
    """Runs the agent of this ingress, publishes its records and answers operators about maintenance."""

    def __init__(self, daemon: Daemon, options: MaintenanceOptions, agreement: AgreementService) -> None:
        self.daemon, self.options, self.agreement = daemon, options, agreement
        self.loop, self.metrics = daemon.loop, daemon.metrics
        self.adapter = DaemonAdapter(daemon, options)
        self.agent: MaintenanceAgent | None = None
        self._next_record = 0.0
        self._record_count = 0
        agreement.parts[MACHINE_PART] = Permits

    @property
    def permits(self) -> Permits:
        """The replicated permits as applied by this process."""
        assert self.agreement.agreement is not None
        permits = self.agreement.agreement.machine.parts[MACHINE_PART]
        assert isinstance(permits, Permits)
        return permits

    @property
    def index(self) -> int:
        """The log index up to which this process has applied the log."""
        assert self.agreement.agreement is not None
        return self.agreement.agreement.machine.index

    def start(self) -> None:
        """Start the agent; the agreement must be running."""
        options, agreement = self.options, self.agreement.agreement
        assert agreement is not None
        bounds = Bounds(
            options.max_machines_out,
            options.max_machines_out_per_zone,
            options.load_reserve,
            options.attempts_per_server,
        )
        self.agent = MaintenanceAgent(
            self.daemon.config.name,
            agreement,
            lambda: self.permits,
            self.adapter,
            bounds,
            options.settle_seconds,
            options.stuck_after_seconds,
            self.loop.clock(),
        )
        agreement.on_advanced = self.agent.on_applied
        self._tick()

    def _tick(self) -> None:
        if self.agent is None or self.agreement.agreement is None:
            return
        now = self.loop.clock()
        self.adapter.update_average()
        if now >= self._next_record:
            self._next_record = now + RECORD_INTERVAL_SECONDS
            station = self.daemon.members.service.station
            if station is not None:
                station.records.publish(STATUS_RECORD, "", msgspec.msgpack.encode(self.adapter.make_status()))
                self._publish_cordoned(station.records)
        self.agent.tick(now)
        self.agreement.send_pending()
        self.loop.call_in(TICK_INTERVAL_SECONDS, self._tick)

    def _publish_cordoned(self, records: RecordTable) -> None:
        """Publish the servers out of service, for ingresses that start while there is no quorum.

        Each record holds as many names as fit."""
        names, chunks = sorted(self.permits.list_cordoned()), list[str]()
        for name in names:
            if not chunks or len(chunks[-1].encode()) + len(name.encode()) + 1 > MAX_VALUE_BYTES:
                chunks.append(name)
            else:
                chunks[-1] += f" {name}"
        for number in range(max(len(chunks), self._record_count)):
            if number < len(chunks) and number < MAX_RECORDS // 2:
                records.publish(CORDON_RECORD, str(number), chunks[number].encode())
            else:
                records.withdraw(CORDON_RECORD, str(number))
        self._record_count = len(chunks)

    def propose(self, command: Command, on_answer: Callable[[Any], None], timeout: float) -> None:
        """Propose a command; `on_answer` gets its answer, or None if nothing was agreed within `timeout` seconds."""
        if self.agent is None:
            on_answer(None)
            return
        self.agent.propose(self.loop.clock(), command, on_answer, timeout)
        self.agreement.send_pending()

    def plan(self) -> list[dict[str, Any]]:
        """Return the order in which machines will be taken out and why each waits, as this process sees the fleet."""
        permits, options = self.permits, self.options
        waiting: list[Candidate] = [
            job.to_candidate() for job in permits.jobs.values() if job.state in ("asked", WAITING)
        ]
        out = [job.to_candidate() for job in permits.list_out()]
        planned = plan(
            waiting,
            out,
            self.adapter.observe_fleet(),
            Bounds(
                options.max_machines_out,
                options.max_machines_out_per_zone,
                options.load_reserve,
                options.attempts_per_server,
            ),
        )
        return [
            {"id": candidate.id, "state": permits.jobs[candidate.id].state, "why": reason or "goes next"}
            for candidate, reason in planned
        ]

    def status(self) -> dict[str, Any]:
        """Return counts of jobs by state and whom they wait for, for the control API."""
        if self.agreement.agreement is None:
            return {"entered": False}
        permits = self.permits
        states: dict[str, int] = {}
        for job in permits.jobs.values():
            states[job.state] = states.get(job.state, 0) + 1
        return {
            "entered": self.agent is not None and self.agent.has_entered,
            "states": states,
            "away": permits.list_cordoned(),
            "ingresses": len(permits.incarnations),
            "waitsFor": {
                job.id: unconfirmed for job in permits.list_out() if (unconfirmed := permits.list_unconfirmed(job))
            },
        }

    def knows(self) -> bool:
        """Return whether this ingress may serve: it knows the servers out of service, or has waited long enough."""
        return self.agent is not None and self.agent.may_serve(self.loop.clock())

    def leave(self) -> None:
        """Leave once the last message is answered, so that no confirmation of this process is awaited any more.

        Not at SIGTERM: relays in flight at that time go on, and work on a machine must not begin under them."""
        if self.agent is not None and not self.agent.is_leaving:
            self.agent.leave(self.loop.clock())
            self.agreement.send_pending()

    def has_left(self) -> bool:
        """Return whether it is agreed that this process has left."""
        agreement = self.agreement.agreement
        return agreement is None or agreement.id not in self.permits.incarnations.values()

    def remove_ended(self, name: str, incarnation: str, on_answer: Callable[[Any], None], timeout: float) -> None:
        """Remove an ingress whose process an operator saw end."""
        self.propose(Leave(name, incarnation), on_answer, timeout)

    def stop(self) -> None:
        """Stop the agent."""
        self.agent = None
