"""Work on machines as a part of a daemon: its clerk, the ingress that the clerk speaks to, and what operators ask."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from ..consensus.service import AgreementService
from ..members.records import RECORDS, VALUE, Table
from ..operator import MaintenanceOptions
from .clerk import PART, Clerk
from .order import Bounds, Facts, Server, Wanted, plan
from .permits import WAITING, Command, Leave, Permits

if TYPE_CHECKING:
    from ..serve import Daemon

LOOK, TOLD = 0.2, 2.0  # s between looks of the clerk, and between two records of what this ingress holds
SHORT = 10  # one of so many servers set aside at once is chance; more are a fleet that is short
KIND, AWAY = "ingress", "away"  # of records


class Holds(msgspec.Struct, frozen=True, array_like=True):
    """What an ingress tells of itself by record."""

    name: str
    place: int
    ready: bool
    attempts: float
    served: int  # messages taken since its start


_holds = msgspec.msgpack.Decoder(Holds).decode


class IngressPort:
    """What the clerk asks, answered from the daemon."""

    def __init__(self, daemon: Daemon, told: MaintenanceOptions) -> None:
        self.daemon, self.told = daemon, told
        self.smoothed = 0.0

    def away(self, servers: frozenset[str]) -> None:
        self.daemon.inventory.set_cordoned(servers)
        self.daemon.log.info("maintenance", away=",".join(sorted(servers)) or "none")

    def attempts(self, servers: list[str]) -> int:
        known = self.daemon.ingress.decision_module.servers
        return sum(len(known[name].relays) for name in servers if name in known)

    def drain(self, on: bool) -> None:
        self.daemon.drain.out_for_maintenance = on
        if on:
            self.daemon.north.close_idle()
        self.daemon.log.info("maintenance", drains=on)

    def held(self) -> int:
        return len(self.daemon.ingress.exchanges)

    def look(self) -> None:
        busy = sum(len(server.relays) for server in self.daemon.ingress.decision_module.servers.with_relays.values())
        self.smoothed += 0.2 * (busy - self.smoothed)

    def holds(self) -> Holds:
        daemon = self.daemon
        return Holds(
            daemon.config.name,
            daemon.config.settings.me,
            daemon.drain.is_ready(daemon.is_ready()),
            round(self.smoothed, 1),
            daemon.metrics.counts["messages"],
        )

    def others(self) -> list[Holds]:
        station = self.daemon.members.service.station
        found = [] if station is None else list(station.records.of(KIND))
        rows = []
        for record in found:
            try:
                rows.append(_holds(record.value))
            except msgspec.MsgspecError:
                continue
        return rows

    def rumoured(self) -> frozenset[str]:
        station = self.daemon.members.service.station
        found: set[str] = set()
        for record in station.records.of(AWAY) if station is not None else ():
            found.update(record.value.decode("utf-8", "replace").split())
        return frozenset(found)

    def facts(self) -> Facts:
        daemon, apart = self.daemon, self.daemon.ingress.decision_module.servers.ejected
        entries = daemon.inventory.list_entries()
        away = daemon.inventory.cordoned
        servers = {e.server: Server(e.zone, e.kind, e.size, e.state == "up" and e.server not in apart) for e in entries}
        zones: dict[str, list[bool]] = {}
        for e in entries:
            if e.state == "up" and e.server not in away:
                zones.setdefault(e.zone, []).append(e.server in apart)
        lost = [zone for zone, bad in zones.items() if zone and len(bad) > 1 and sum(bad) * 2 > len(bad)]
        missing = sum(sum(bad) for bad in zones.values())
        rows = self.others()
        places = [False] * max([daemon.config.settings.places, *(row.place + 1 for row in rows)])
        for row in rows:
            places[row.place] = places[row.place] or row.ready
        return Facts(
            servers,
            sum(row.attempts for row in rows),
            places,
            self.told.min_spread,
            lost,
            missing if missing > 1 and missing * SHORT > len(servers) else 0,
        )

    def group(self, whole: str) -> list[str]:
        """Servers of "zone:NAME" or "cell:NUMBER", as listed here now."""
        kind, _, name = whole.partition(":")
        return [
            e.server
            for e in self.daemon.inventory.list_entries()
            if (e.zone if kind == "zone" else str(e.cell)) == name
        ]

    def carries(self, servers: list[str], ingress: str) -> bool:
        if ingress:
            return any(row.name == ingress and row.ready for row in self.others())
        known = self.daemon.ingress.decision_module.servers
        return all(
            self.daemon.inventory.is_usable(name) and name in known and not known[name].is_ejected for name in servers
        )


class MaintenanceService:
    def __init__(self, daemon: Daemon, told: MaintenanceOptions, agreement: AgreementService) -> None:
        self.daemon, self.told, self.agreement = daemon, told, agreement
        self.loop, self.metrics = daemon.loop, daemon.metrics
        self.port = IngressPort(daemon, told)
        self.clerk: Clerk | None = None
        self._told_at = 0.0
        self._parts = 0
        agreement.parts[PART] = Permits

    @property
    def permits(self) -> Permits:
        assert self.agreement.agreement is not None
        part = self.agreement.agreement.machine.parts[PART]
        assert isinstance(part, Permits)
        return part

    @property
    def index(self) -> int:
        """Of the log, up to which this process has applied it."""
        assert self.agreement.agreement is not None
        return self.agreement.agreement.machine.index

    def start(self) -> None:
        told, agreement = self.told, self.agreement.agreement
        assert agreement is not None
        bounds = Bounds(
            told.max_machines_out, told.max_machines_out_per_zone, told.load_reserve, told.attempts_per_server
        )
        self.clerk = Clerk(
            self.daemon.config.name,
            agreement,
            lambda: self.permits,
            self.port,
            bounds,
            told.settle_seconds,
            told.stuck_after_seconds,
            self.loop.clock(),
        )
        agreement.advanced = self.clerk.heard
        self._look()

    def _look(self) -> None:
        if self.clerk is None or self.agreement.agreement is None:
            return
        now = self.loop.clock()
        self.port.look()
        if now >= self._told_at:
            self._told_at = now + TOLD
            station = self.daemon.members.service.station
            if station is not None:
                station.records.publish(KIND, "", msgspec.msgpack.encode(self.port.holds()))
                self._tell_away(station.records)
        self.clerk.tick(now)
        self.agreement.said()
        self.loop.call_in(LOOK, self._look)

    def _tell_away(self, records: Table) -> None:
        """For those that start while nothing can be agreed: as many names as a record holds, a record each part."""
        names, parts = sorted(self.permits.away()), list[str]()
        for name in names:
            if not parts or len(parts[-1].encode()) + len(name.encode()) + 1 > VALUE:
                parts.append(name)
            else:
                parts[-1] += f" {name}"
        for number in range(max(len(parts), self._parts)):
            if number < len(parts) and number < RECORDS // 2:
                records.publish(AWAY, str(number), parts[number].encode())
            else:
                records.withdraw(AWAY, str(number))
        self._parts = len(parts)

    def propose(self, command: Command, done: Callable[[Any], None], patience: float) -> None:
        if self.clerk is None:
            done(None)
            return
        self.clerk.propose(self.loop.clock(), command, done, patience)
        self.agreement.said()

    def plan(self) -> list[dict[str, Any]]:
        """What goes when, and why each waits, as this process sees the fleet."""
        permits, told = self.permits, self.told
        waiting: list[Wanted] = [job.wanted() for job in permits.jobs.values() if job.state in ("asked", WAITING)]
        out = [job.wanted() for job in permits.out()]
        rows = plan(
            waiting,
            out,
            self.port.facts(),
            Bounds(told.max_machines_out, told.max_machines_out_per_zone, told.load_reserve, told.attempts_per_server),
        )
        return [{"id": one.id, "state": permits.jobs[one.id].state, "why": why or "goes next"} for one, why in rows]

    def status(self) -> dict[str, Any]:
        if self.agreement.agreement is None:
            return {"entered": False}
        permits = self.permits
        states: dict[str, int] = {}
        for job in permits.jobs.values():
            states[job.state] = states.get(job.state, 0) + 1
        return {
            "entered": self.clerk is not None and self.clerk.entered,
            "states": states,
            "away": permits.away(),
            "ingresses": len(permits.roster),
            "waitsFor": {job.id: missing for job in permits.out() if (missing := permits.missing(job))},
        }

    def knows(self) -> bool:
        return self.clerk is not None and self.clerk.knows(self.loop.clock())

    def leave(self) -> None:
        """The last message is answered: this process has nothing at any machine, and nobody need wait for it. Not
        before: what it has out when SIGTERM comes runs on."""
        if self.clerk is not None and not self.clerk.leaving:
            self.clerk.leave(self.loop.clock())
            self.agreement.said()

    def has_left(self) -> bool:
        """It is agreed that it has left."""
        agreement = self.agreement.agreement
        return agreement is None or agreement.id not in self.permits.roster.values()

    def remove_ended(self, name: str, life: str, done: Callable[[Any], None], patience: float) -> None:
        """An operator saw that process end."""
        self.propose(Leave(name, life), done, patience)

    def stop(self) -> None:
        self.clerk = None
