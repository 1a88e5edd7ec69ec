"""Logs one record per second: what the ingress counted in it, in total and by sim server.

`merge` reads these records. The operator's file turns them on with `[log] seconds`.
"""

from __future__ import annotations

import json
from collections import defaultdict
from typing import Any

from ..metrics import Metrics
from ..net.loop import Loop
from ..policy.brain import DecisionModule

INTERVAL_SECONDS = 1.0
MAXIMA = ("longest_turn_us",)  # counters that hold a maximum instead of a sum, so that differences mean nothing


class TallyLogger:
    """Writes the log event `second` at every full second, from its construction on.

    It turns on the counting by sim server in `metrics`.
    """

    def __init__(self, loop: Loop, metrics: Metrics, decision_module: DecisionModule, log: Any) -> None:
        self.loop, self.metrics, self.decision_module, self.log = loop, metrics, decision_module, log
        self.previous_counters: dict[str, int] = {}
        metrics.server_counts = defaultdict(int)
        self._schedule_next()

    def _schedule_next(self) -> None:
        """Schedules the next record for a full second, so that the records of all ingresses cover the same seconds."""
        now = self.loop.clock()
        self.loop.call_at(now - now % INTERVAL_SECONDS + INTERVAL_SECONDS, self._log_record)

    def _log_record(self) -> None:
        at = round(self.loop.clock()) - 1
        counters = self.metrics.as_dict()
        counts = {name: n - self.previous_counters.get(name, 0) for name, n in counters.items() if name not in MAXIMA}
        self.previous_counters = counters
        counts_by_server: dict[str, dict[str, int]] = {}
        for (name, server), number in (self.metrics.server_counts or {}).items():
            counts_by_server.setdefault(server, {})[name] = number
        self.metrics.server_counts = defaultdict(int)
        self.log.info(
            "second",
            at=at,
            tally=json.dumps(
                {
                    "counts": {name: n for name, n in counts.items() if n},
                    "servers": counts_by_server,
                    "now": self.current_state(),
                },
                separators=(",", ":"),
            ),
        )
        self._schedule_next()

    def current_state(self) -> dict[str, Any]:
        """Returns the current values of the decision module that are logged as `now`.

        `up`, `aside` and `out` are the numbers of servers that are up, of ejected ones among them, and of relays in
        flight. `pace` is the rate of successful answers per second, `gap` the interval between counter calls in
        seconds, `firms` the number of known firms, and `rates` the limit of each rate controller.
        """
        module = self.decision_module
        return {
            "up": len(module.servers.up),
            "aside": module.servers.count_ejected_up(),
            "out": sum(len(s.relays) for s in module.servers.with_relays.values()),
            "pace": round(module.answer_rate, 2),
            "gap": round(module.counter_calls.interval, 3),
            "firms": len(module.firms),
            "rates": {name: round(controller.rate, 2) for name, controller in module.rate_controllers.items()},
        }
