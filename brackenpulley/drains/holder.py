"""One ingress's share of the connection limits: what it may open at each server, and what it asks for. No I/O.

The effective limit is the lower of the share in the log and of any smaller share that this ingress has proposed itself:
a reduction holds from the moment it is proposed, whether or not it is ever committed, an increase only once it is seen
in the log. An ingress asks for more when a relay was rejected for lack of a connection or when it uses its whole share.
It gives connections back after `SHRINK_DELAY_SECONDS` without use, or at once where other ingresses are short of them;
idle connections are closed first."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..consensus.agreement import Agreement
from ..consensus.machine import Outcome
from .limits import Command, Demand, Enter, Leave, Limits, SetLimits, encode

MACHINE_PART = "limits"  # name of this part of the replicated state machine
TICK_INTERVAL_SECONDS = 0.25
PROPOSAL_TIMEOUT_SECONDS = 5.0
SHRINK_DELAY_SECONDS = 10.0  # how long demand must stay below its recent peak before the share shrinks
SPARE_CONNECTIONS = 1  # requested beyond those in use


class ConnectionPool(Protocol):
    """Connections of this ingress to the sim servers."""

    def count_open(self, server: str) -> int:
        """Return the number of connections to the server, including those still being established."""

    def count_in_use(self, server: str) -> int:
        """Return the number of open connections that carry a relay."""

    def take_rejections(self, server: str) -> int:
        """Return how many relays found no connection since the last call."""

    def close_unused(self, server: str, most: int) -> None:
        """Close idle connections until at most `most` remain or none is idle."""

    def set_limits(self, limits: dict[str, int]) -> None:
        """Set the maximum number of connections to each server."""

    def list_limits(self) -> dict[str, int]:
        """Return the limit of each server in the inventory."""


class Holder:
    """Requests, applies and gives back one ingress's share of the connection limits."""

    def __init__(
        self, address: str, agreement: Agreement, limits: Callable[[], Limits], pool: ConnectionPool, now: float
    ) -> None:
        self.address, self.agreement, self._limits, self.pool = address, agreement, limits, pool
        self.has_entered = self.is_leaving = False
        self._proposed_shares: dict[str, int] = {}  # reductions that were proposed and are not in the log yet
        self._peak_demand: dict[str, tuple[int, float]] = {}  # server: recent peak, time since which demand is lower
        self._applied_limits: dict[str, int] = {}
        self._pending_proposals: set[str] = set()
        self._demand_serial = 0
        self._next_tick = now

    @property
    def limits(self) -> Limits:
        """The replicated limits as applied by this process."""
        return self._limits()

    def get_limit(self, server: str) -> int:
        """Return how many connections this ingress may have to the server now."""
        share = self.limits.get_share(server, self.agreement.id)
        return min(share, self._proposed_shares.get(server, share))

    def tick(self, now: float) -> None:
        """Apply the current limits and propose changed demand, at most once per `TICK_INTERVAL_SECONDS`."""
        if now < self._next_tick or self.is_leaving:
            return
        self._next_tick = now + TICK_INTERVAL_SECONDS
        limits, incarnation = self.limits, self.agreement.id
        self.has_entered = limits.addresses.get(incarnation) == self.address
        if not self.has_entered:
            self._propose_once(now, "enter", Enter(incarnation, self.address))
        listed = self.pool.list_limits()
        if self.agreement.is_leader:
            self._propose_limits(now, listed)
        demands: dict[str, int] = {}
        for server in listed:
            current = self.get_limit(server)
            demand = self._compute_demand(now, server, current)
            target = limits.target_share(server, incarnation)
            if target < current:
                demand = min(demand, target)
            if demand < current:
                self.pool.close_unused(server, demand)
                demand = max(demand, self.pool.count_open(server))  # connections in use cannot be given back yet
            if demand != current and self.has_entered and server in limits.limits:
                demands[server] = demand
        if demands and "want" not in self._pending_proposals:
            for server, demand in demands.items():
                if demand < self.get_limit(server):
                    self._proposed_shares[server] = demand
            self._apply_limits(listed)  # a reduction must hold before it is proposed
            self._demand_serial += 1
            self._propose(
                now,
                "want",
                Demand(incarnation, self._demand_serial, demands),
                lambda answer: self._on_demand_answer(demands, answer),
            )
        self._apply_limits(listed)

    def _apply_limits(self, listed: dict[str, int]) -> None:
        current_limits = {server: self.get_limit(server) for server in listed}
        if current_limits != self._applied_limits:
            self._applied_limits = current_limits
            self.pool.set_limits(current_limits)

    def _compute_demand(self, now: float, server: str, current: int) -> int:
        """Return the connections in use plus spare ones; a recent peak stays in demand for `SHRINK_DELAY_SECONDS`."""
        in_use, rejections = self.pool.count_in_use(server), self.pool.take_rejections(server)
        # Growth per request is bounded, so that other ingresses get connections as well.
        demand = max(1, in_use + SPARE_CONNECTIONS) + min(rejections, 2 + current // 4)
        peak, since = self._peak_demand.get(server, (0, now))
        if demand >= peak or now - since > SHRINK_DELAY_SECONDS:
            self._peak_demand[server] = (demand, now)
            return demand
        return peak

    def _on_demand_answer(self, demands: dict[str, int], answer: Any) -> None:
        """Drop proposed reductions once answered: committed or refused, the shares in the log hold again.

        A proposal without an answer may still be committed later, so its reductions stay in force."""
        if answer is not None:
            for server in demands:
                self._proposed_shares.pop(server, None)

    def _propose_limits(self, now: float, listed: dict[str, int]) -> None:
        known = self.limits.limits
        changed = {server: limit for server, limit in listed.items() if known.get(server) != limit}
        removed = sorted(known.keys() - listed.keys())
        if changed or removed and listed:
            self._propose_once(now, "limit", SetLimits(changed, removed))

    def leave(self, now: float) -> None:
        """Open no more connections and release all shares; called when all are closed or the process is ending."""
        self.is_leaving = True
        self.pool.set_limits({server: 0 for server in self._applied_limits})
        self._propose_once(now, "leave", Leave(self.agreement.id))

    def _propose_once(self, now: float, name: str, command: Command) -> None:
        if name not in self._pending_proposals:
            self._propose(now, name, command, lambda answer: None)

    def _propose(self, now: float, name: str, command: Command, on_answer: Callable[[Any], None]) -> None:
        self._pending_proposals.add(name)

        def on_outcome(outcome: Outcome | None) -> None:
            self._pending_proposals.discard(name)
            on_answer(None if outcome is None else outcome.answer)

        if not self.agreement.propose(now, MACHINE_PART, encode(command), PROPOSAL_TIMEOUT_SECONDS, on_outcome):
            self._pending_proposals.discard(name)
