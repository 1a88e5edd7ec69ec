"""Count of ingresses that an instance uses, from its supervisor and from membership, passed to the decision module.

Built by `extras`; the control API delivers the supervisor's counts and `members` the number of live members."""

from __future__ import annotations

import math
import time
from typing import Any

from ..core.ingress import Ingress
from ..metrics import Metrics
from ..net.loop import Loop, Timer
from ..policy import interface
from .cold import IngressCountEstimate
from .sharing import CountLease

UPDATE_INTERVAL_SECONDS = 1.0


class GatewaysService:
    """Keeps the ingress count of the decision module.

    The count is the supervisor's count divided by this group's fraction of the fleet, and at least the number of live
    members. A larger membership reduces this instance's share at once; a smaller one never raises it above what the
    supervisor allows."""

    def __init__(self, loop: Loop, ingress: Ingress, floor: int, max_instances: int, metrics: Metrics) -> None:
        self.loop, self.ingress, self.metrics = loop, ingress, metrics
        self.count_lease = CountLease(floor)  # counts instances of this group only
        self.group_fraction = 1.0
        self.live_members = 0  # including suspected ones
        self.published_counts = (
            floor,
            0,
        )  # (all ingresses, divisor for cold servers) last passed to the decision module
        self.count_estimate = IngressCountEstimate(loop.clock(), max_instances)
        ingress.load_observer = self
        self._timer: Timer | None = None

    def receive_count(self, serial: int, count: int, until: float, group_fraction: float) -> bool:
        """Apply a count from the supervisor, leased until `until` (s, monotonic). Returns False for an old serial."""
        is_new = self.count_lease.update(serial, count, until)
        if is_new:
            self.group_fraction = group_fraction
            self.metrics.add("shares_heard")
            if self._timer is not None:
                self._timer.cancel()
            seconds_left = until - time.monotonic()
            self._timer = self.loop.call_in(seconds_left, self._handle_lease_end) if seconds_left > 0 else None
            self._publish()
        return is_new

    def fence(self, serial: int) -> dict[str, Any]:
        """Reject counts up to `serial`, for a new supervisor, and return the status."""
        self.count_lease.fence(serial)
        return self.status()

    def set_live_members(self, live_members: int) -> None:
        """Set the number of members that membership sees alive or suspected."""
        self.live_members = live_members
        self._publish()

    def _handle_lease_end(self) -> None:
        self._timer = None
        self.metrics.add("shares_lapsed")
        self._publish()

    def _publish(self) -> None:
        count = max(math.ceil(self.count_lease.get_count(time.monotonic()) / self.group_fraction), self.live_members)
        counts = (count, self.count_estimate.get_count(self.loop.clock(), count))
        if counts != self.published_counts:
            self.published_counts = counts
            self.ingress.notify(interface.IngressCountChanged(*counts))

    def start(self) -> None:
        """Publish the count now and every second: server reports and the start phase expire without an event."""
        self._publish()
        self.loop.call_in(UPDATE_INTERVAL_SECONDS, self.start)

    def reported(self, server: str, load: list[float]) -> None:
        """Use the relays in flight that a server reports, while it is cold."""
        settings = self.ingress.decision_module.settings
        cold_server = self.ingress.decision_module.servers.get(server)
        now = self.loop.clock()
        if cold_server is not None and cold_server.compute_warmth(now, settings) < 1:
            for name, value in zip(settings.report_fields, load, strict=False):
                if name == "inflight":
                    self.count_estimate.record_report(now, value, len(cold_server.relays))
                    self._publish()

    def status(self) -> dict[str, Any]:
        """Return the counts in use, for the control API."""
        return {
            "gateways": self.published_counts[0],
            "cold": self.published_counts[1],
            "floor": self.count_lease.floor,
            "count": self.count_lease.get_count(time.monotonic()),
            "until": self.count_lease.until if math.isfinite(self.count_lease.until) else 0.0,
            "members": self.live_members,
        }
