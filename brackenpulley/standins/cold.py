"""A sim server with a cold start that fails under overload, after rule 4 of the platform's wire specification.

The fleet benchmark uses it to see whether ingresses ramp up the load of a new server slowly enough."""

from __future__ import annotations

import random
from collections import deque

from ..net.http import Payload
from ..net.loop import Loop
from .servers import SimServer
from .wire import Connection


class ColdServer(SimServer):
    """Sim server whose capacity grows linearly after its start, and which goes down when overloaded on the way.

    It serves `warm_rate` relays a second when warm, and starts at the fraction `cold_from` of that for a warm-up of
    `warm_up_s` seconds. During the warm-up it goes down, and stays down, once the arrivals of `overload_window_s`
    seconds exceed `overload_multiple` times its capacity. Relays beyond its capacity wait in a queue, whose length it
    reports with each answer unless `reports_load` is False."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        rng: random.Random,
        warm_rate: float,
        cold_from: float,
        warm_up_s: float,
        overload_multiple: float,
        overload_window_s: float,
        reports_load: bool = True,
    ) -> None:
        super().__init__(loop, name, rng)
        self.warm_rate, self.cold_from, self.warm_up_s = warm_rate, cold_from, warm_up_s
        self.overload_multiple = overload_multiple
        self.overload_window_s = overload_window_s
        self.reports_load = reports_load
        self.started_at = loop.clock() if warm_up_s else 0.0
        self.is_down = False
        self.max_overload_ratio = 0.0  # highest ratio of a window's arrivals to those that take the server down
        self.arrival_times: list[float] = []
        self._window: deque[float] = deque()
        self._free_at = 0.0

    def compute_capacity(self, at: float) -> float:
        """Return the capacity at the time `at`, in relays a second."""
        progress = (at - self.started_at) / self.warm_up_s if self.warm_up_s and self.started_at else 1.0
        return self.warm_rate * (self.cold_from + (1 - self.cold_from) * min(1.0, max(0.0, progress)))

    def start(self) -> None:
        """Restart as a new process: up, and cold again."""
        self.started_at, self.is_down = self.loop.clock(), False
        self._window.clear()

    def _handle_request(self, connection: Connection, payload: Payload) -> None:
        now = self.loop.clock()
        self.arrival_times.append(now)
        self._window.append(now)
        while self._window[0] <= now - self.overload_window_s:
            self._window.popleft()
        if now < self.started_at + self.warm_up_s:  # the rule does not apply to a warm server, which has headroom
            ratio = len(self._window) / (
                self.overload_multiple
                * self.compute_capacity(now - self.overload_window_s / 2)
                * self.overload_window_s
            )
            self.max_overload_ratio = max(self.max_overload_ratio, ratio)
            self.is_down = self.is_down or ratio > 1 and len(self._window) > 1
        if self.is_down:
            connection.reset()
            return
        super()._handle_request(connection, payload)

    def _complete(self, connection: Connection, message_id: str, cost: float, outcome: str) -> None:
        # Queues the relay behind those before it, and answers once the current capacity has worked it off.
        now = self.loop.clock()
        self._free_at = max(now, self._free_at) + 1 / self.compute_capacity(now)
        load_header = (
            f"X-Server-Load: TEXT busy_reqs={round((self._free_at - now) * self.compute_capacity(now))}\r\n"
            * self.reports_load
        )
        self.loop.call_at(
            self._free_at,
            lambda: connection.answer(200, message_id.encode(), f"X-True-Cost: {cost:g}\r\n{load_header}"),
        )
