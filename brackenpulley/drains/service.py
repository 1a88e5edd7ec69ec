"""Connection limits as a part of a daemon: its holder, and the ingress that the holder speaks to."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..consensus.service import AgreementService
from ..operator import DrainsOptions
from ..policy import interface as i
from .holder import PART, Holder
from .limits import Leave, Limits, encode
from .schedule import Ingress, Rules, lasts, left_out, waves

if TYPE_CHECKING:
    from ..serve import Daemon

LOOK = 0.1  # s between looks of the holder


class SouthPort:
    def __init__(self, daemon: Daemon, told: DrainsOptions) -> None:
        self.daemon, self.told = daemon, told
        daemon.south.connection_limits = {}  # nothing is opened before something is held

    def open(self, server: str) -> int:
        return self.daemon.south.open_connections.get(server, 0)

    def busy(self, server: str) -> int:
        return self.daemon.south.count_busy(server)

    def refused(self, server: str) -> int:
        return self.daemon.south.limit_rejections.pop(server, 0)

    def shrink(self, server: str, most: int) -> None:
        self.daemon.south.close_idle(server, most)

    def caps(self, caps: dict[str, int]) -> None:
        self.daemon.south.connection_limits = caps
        self.daemon.ingress.notify(i.RelayLimitsChanged(caps))

    def servers(self) -> dict[str, int]:
        return {entry.server: self.told.connection_limit for entry in self.daemon.inventory.list_entries()}


class DrainsService:
    def __init__(self, daemon: Daemon, told: DrainsOptions, agreement: AgreementService) -> None:
        self.daemon, self.told, self.agreement = daemon, told, agreement
        self.loop, self.port = daemon.loop, SouthPort(daemon, told)
        self.holder: Holder | None = None
        self._ended = False
        agreement.parts[PART] = lambda: Limits(told.startup_reserve)

    @property
    def limits(self) -> Limits:
        assert self.agreement.agreement is not None
        part = self.agreement.agreement.machine.parts[PART]
        assert isinstance(part, Limits)
        return part

    def start(self) -> None:
        agreement, station = self.agreement.agreement, self.agreement.members.service.station
        assert agreement is not None and station is not None
        self.holder = Holder(station.address, agreement, lambda: self.limits, self.port, self.loop.clock())
        self._look()

    def _look(self) -> None:
        if self.holder is None or self.agreement.agreement is None:
            return
        self.holder.tick(self.loop.clock())
        self.agreement.send_pending()
        self.loop.call_in(LOOK, self._look)

    def knows(self) -> bool:
        """It may open a connection somewhere: before that it can serve nobody."""
        return self.holder is not None and any(self.holder.cap(server) for server in self.port.servers())

    def waves(self, takes: float = 1.0) -> dict[str, Any]:
        """How a roll of all ingresses would go."""
        told, places = self.told, self.daemon.config.settings.places
        rules = Rules(told.max_ingresses_away, told.max_ingresses_away, told.min_spread, places)
        rows = [Ingress(place, takes=takes) for place in range(places)]
        found = waves(rows, rules)
        return {
            "waves": [sorted(one.place for one in wave) for wave in found],
            "lasts": lasts(found),
            "leftOut": [one.place for one in left_out(rows, rules)],
        }

    def status(self) -> dict[str, Any]:
        if self.holder is None or self.agreement.agreement is None:
            return {"entered": False}
        limits = self.limits
        life = self.agreement.agreement.id
        return {
            "entered": self.holder.entered,
            "processes": len(limits.lives),
            "servers": {
                server: {
                    "limit": limit,
                    "held": limits.held(server),
                    "mine": self.holder.cap(server),
                    "open": self.port.open(server),
                    "askedBack": limits.asked_back(server, life),
                }
                for server, limit in limits.limits.items()
            },
        }

    def closed(self) -> None:
        """The last message is answered: its connections go, and their parts by its word."""
        if self.holder is not None and not self._ended:
            self._ended = True
            for server in list(self.daemon.south.open_connections):
                self.daemon.south.close_idle(server, 0)
            self.holder.leave(self.loop.clock())
            self.agreement.send_pending()

    def gone(self) -> bool:
        """It is agreed that it has left."""
        agreement = self.agreement.agreement
        return agreement is None or agreement.id not in self.limits.lives

    def ended(self, life: str, done: Callable[[Any], None], patience: float) -> None:
        """An operator saw that process end: its parts are free."""
        if self.agreement.agreement is None or not self.agreement.agreement.propose(
            self.loop.clock(),
            PART,
            encode(Leave(life)),
            patience,
            lambda outcome: done(None if outcome is None else outcome.answer),
        ):
            done(None)
        self.agreement.send_pending()

    def stop(self) -> None:
        self.holder = None
