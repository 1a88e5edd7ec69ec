"""One line of the log a second: what the ingress counted in it, in all and by sim server."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import Any

from ..metrics import Metrics
from ..net.loop import Loop
from ..policy.brain import DecisionModule

SECOND = 1.0
PEAKS = ("longest_turn_us",)  # greatest values, not sums


class Tally:
    def __init__(self, loop: Loop, metrics: Metrics, gateway: DecisionModule, log: Any) -> None:
        self.loop, self.metrics, self.gateway, self.log = loop, metrics, gateway, log
        self.last: dict[str, int] = {}
        metrics.server_counts = defaultdict(int)
        self._next()

    def _next(self) -> None:
        """At the full second, so that the lines of many ingresses speak of the same one."""
        now = self.loop.clock()
        self.loop.call_at(now - now % SECOND + SECOND, self._tell)

    def _tell(self) -> None:
        at = round(self.loop.clock()) - 1
        table = self.metrics.as_dict()
        counts = {name: n - self.last.get(name, 0) for name, n in table.items() if name not in PEAKS}
        self.last = table
        by: dict[str, dict[str, int]] = {}
        for (name, server), n in (self.metrics.server_counts or {}).items():
            by.setdefault(server, {})[name] = n
        self.metrics.server_counts = defaultdict(int)
        self.log.info(
            "second",
            at=at,
            tally=json.dumps(
                {"counts": {name: n for name, n in counts.items() if n}, "servers": by, "now": self.now()},
                separators=(",", ":"),
            ),
        )
        self._next()

    def now(self) -> dict[str, Any]:
        """What the module holds by now."""
        g = self.gateway
        return {
            "up": len(g.servers.up),
            "aside": g.servers.count_ejected_up(),
            "out": sum(len(s.relays) for s in g.servers.with_relays.values()),
            "pace": round(g.answer_rate, 2),
            "gap": round(g.counter_calls.interval, 3),
            "firms": len(g.firms),
            "rates": {name: round(x.rate, 2) for name, x in g.rate_controllers.items()},
        }
