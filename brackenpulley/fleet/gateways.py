"""An instance's side of the shares: what the supervisor says, what membership sees, what the module is told."""

from __future__ import annotations

import math
import time
from typing import Any

from ..core.ingress import Ingress
from ..metrics import Metrics
from ..net.loop import Loop, Timer
from ..policy import interface as i
from .cold import IngressCountEstimate
from .sharing import Told

AGAIN = 1.0  # s


class GatewaysService:
    """The count that the module goes by: the supervisor's word over this group's part of the whole, and never less
    than the members that are seen alive. A view that grows narrows at once; one that shrinks widens nothing."""

    def __init__(self, loop: Loop, ingress: Ingress, floor: int, bound: int, metrics: Metrics) -> None:
        self.loop, self.ingress, self.metrics = loop, ingress, metrics
        self.told = Told(floor)  # in the words of the supervisor: of this group
        self.part = 1.0
        self.members = 0  # seen alive, the suspected too
        self.now = (floor, 0)  # as the module knows it
        self.count_estimate = IngressCountEstimate(loop.clock(), bound)
        ingress.load_observer = self
        self._timer: Timer | None = None

    def hear(self, serial: int, count: int, until: float, part: float) -> bool:
        fresh = self.told.hear(serial, count, until)
        if fresh:
            self.part = part
            self.metrics.add("shares_heard")
            if self._timer is not None:
                self._timer.cancel()
            left = until - time.monotonic()
            self._timer = self.loop.call_in(left, self._over) if left > 0 else None
            self._apply()
        return fresh

    def fence(self, serial: int) -> dict[str, Any]:
        self.told.fence(serial)
        return self.status()

    def seen(self, members: int) -> None:
        self.members = members
        self._apply()

    def _over(self) -> None:
        self._timer = None
        self.metrics.add("shares_lapsed")
        self._apply()

    def _apply(self) -> None:
        count = max(math.ceil(self.told.count(time.monotonic()) / self.part), self.members)
        now = (count, self.count_estimate.get_count(self.loop.clock(), count))
        if now != self.now:
            self.now = now
            self.ingress.notify(i.IngressCountChanged(*now))

    def start(self) -> None:
        """Reports and youth end by themselves."""
        self._apply()
        self.loop.call_in(AGAIN, self.start)

    def reported(self, server: str, load: list[float]) -> None:
        """A server's own words, for as long as it is cold."""
        settings = self.ingress.decision_module.settings
        known = self.ingress.decision_module.servers.get(server)
        now = self.loop.clock()
        if known is not None and known.compute_warmth(now, settings) < 1:
            for name, value in zip(settings.report_fields, load, strict=False):
                if name == "inflight":
                    self.count_estimate.record_report(now, value, len(known.relays))
                    self._apply()

    def status(self) -> dict[str, Any]:
        return {
            "gateways": self.now[0],
            "cold": self.now[1],
            "floor": self.told.floor,
            "count": self.told.count(time.monotonic()),
            "until": self.told.until if math.isfinite(self.told.until) else 0.0,
            "members": self.members,
        }
