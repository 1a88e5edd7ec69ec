"""Runs the connection limits in a daemon: connects the holder to the south side and answers the control API."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..consensus.service import AgreementService
from ..operator import DrainsOptions
from ..policy import interface as i
from .holder import MACHINE_PART, Holder
from .limits import Leave, Limits, encode
from .schedule import Ingress, Rules, find_unschedulable, plan_waves, total_seconds

if TYPE_CHECKING:
    from ..serve import Daemon

TICK_INTERVAL_SECONDS = 0.1  # of the holder, which limits its own rate further


class SouthConnectionPool:
    """The daemon's connections to the sim servers, as used by the holder."""

    def __init__(self, daemon: Daemon, options: DrainsOptions) -> None:
        self.daemon, self.options = daemon, options
        daemon.south.connection_limits = {}  # no connection is opened before a share is granted

    def count_open(self, server: str) -> int:
        """Return the number of connections to the server, including those still being established."""
        return self.daemon.south.open_connections.get(server, 0)

    def count_in_use(self, server: str) -> int:
        """Return the number of open connections that carry a relay."""
        return self.daemon.south.count_busy(server)

    def take_rejections(self, server: str) -> int:
        """Return how many relays found no connection since the last call."""
        return self.daemon.south.limit_rejections.pop(server, 0)

    def close_unused(self, server: str, most: int) -> None:
        """Close idle connections until at most `most` remain or none is idle."""
        self.daemon.south.close_idle(server, most)

    def set_limits(self, limits: dict[str, int]) -> None:
        """Set the maximum number of connections to each server, on the south side and in the decision module."""
        self.daemon.south.connection_limits = limits
        self.daemon.ingress.notify(i.RelayLimitsChanged(limits))

    def list_limits(self) -> dict[str, int]:
        """Return the configured limit for each server in the inventory."""
        return {entry.server: self.options.connection_limit for entry in self.daemon.inventory.list_entries()}


class DrainsService:
    """Runs the holder of this ingress and answers operators about connection limits and waves."""

    def __init__(self, daemon: Daemon, options: DrainsOptions, agreement: AgreementService) -> None:
        self.daemon, self.options, self.agreement = daemon, options, agreement
        self.loop, self.pool = daemon.loop, SouthConnectionPool(daemon, options)
        self.holder: Holder | None = None
        self._is_leaving = False
        agreement.parts[MACHINE_PART] = lambda: Limits(options.startup_reserve)

    @property
    def limits(self) -> Limits:
        """The replicated limits as applied by this process."""
        assert self.agreement.agreement is not None
        limits = self.agreement.agreement.machine.parts[MACHINE_PART]
        assert isinstance(limits, Limits)
        return limits

    def start(self) -> None:
        """Start the holder; the agreement must be running."""
        agreement, station = self.agreement.agreement, self.agreement.members.service.station
        assert agreement is not None and station is not None
        self.holder = Holder(station.address, agreement, lambda: self.limits, self.pool, self.loop.clock())
        self._tick()

    def _tick(self) -> None:
        if self.holder is None or self.agreement.agreement is None:
            return
        self.holder.tick(self.loop.clock())
        self.agreement.send_pending()
        self.loop.call_in(TICK_INTERVAL_SECONDS, self._tick)

    def knows(self) -> bool:
        """Return whether a connection to any server may be opened; before that no message can be served."""
        return self.holder is not None and any(self.holder.get_limit(server) for server in self.pool.list_limits())

    def plan_rolling_restart(self, duration: float = 1.0) -> dict[str, Any]:
        """Return the waves of a rolling restart of all ingresses, each of which takes `duration` seconds."""
        options, places = self.options, self.daemon.config.settings.places
        rules = Rules(options.max_ingresses_away, options.max_ingresses_away, options.min_spread, places)
        ingresses = [Ingress(place, duration=duration) for place in range(places)]
        waves = plan_waves(ingresses, rules)
        return {
            "waves": [sorted(ingress.place for ingress in wave) for wave in waves],
            "lasts": total_seconds(waves),
            "leftOut": [ingress.place for ingress in find_unschedulable(ingresses, rules)],
        }

    def status(self) -> dict[str, Any]:
        """Return the limits and shares at each server, for the control API."""
        if self.holder is None or self.agreement.agreement is None:
            return {"entered": False}
        limits = self.limits
        incarnation = self.agreement.agreement.id
        return {
            "entered": self.holder.has_entered,
            "processes": len(limits.addresses),
            "servers": {
                server: {
                    "limit": limit,
                    "held": limits.count_held(server),
                    "mine": self.holder.get_limit(server),
                    "open": self.pool.count_open(server),
                    "askedBack": limits.target_share(server, incarnation),
                }
                for server, limit in limits.limits.items()
            },
        }

    def leave(self) -> None:
        """Close all connections and release the shares, once the last message is answered."""
        if self.holder is not None and not self._is_leaving:
            self._is_leaving = True
            for server in list(self.daemon.south.open_connections):
                self.daemon.south.close_idle(server, 0)
            self.holder.leave(self.loop.clock())
            self.agreement.send_pending()

    def has_left(self) -> bool:
        """Return whether it is agreed that this process has left."""
        agreement = self.agreement.agreement
        return agreement is None or agreement.id not in self.limits.addresses

    def remove_ended(self, incarnation: str, on_answer: Callable[[Any], None], timeout: float) -> None:
        """Free the shares of a process that an operator saw end."""
        if self.agreement.agreement is None or not self.agreement.agreement.propose(
            self.loop.clock(),
            MACHINE_PART,
            encode(Leave(incarnation)),
            timeout,
            lambda outcome: on_answer(None if outcome is None else outcome.answer),
        ):
            on_answer(None)
        self.agreement.send_pending()

    def stop(self) -> None:
        """Stop the holder."""
        self.holder = None
