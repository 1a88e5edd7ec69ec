"""A sim server that starts cold and falls over where it is pushed, as the platform's wire page has it (rule 4)."""

from __future__ import annotations

import random
from collections import deque

from ..net.http import Payload
from ..net.loop import Loop
from .servers import SimServer
from .wire import Line


class ColdServer(SimServer):
    """Does `full` attempts a second when warm and `cold_from` of that at its start, growing evenly over `cold` s.
    Sent more than `multiple` times what it can do for `fall` s it falls over and stays down. Works on `cores` at a
    time, so that what is too much waits; tells what it has in hand with each answer."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        rng: random.Random,
        full: float,
        cold_from: float,
        cold: float,
        multiple: float,
        fall: float,
        reports: bool = True,
    ) -> None:
        super().__init__(loop, name, rng)
        self.full, self.cold_from, self.cold = full, cold_from, cold
        self.multiple, self.fall, self.reports = multiple, fall, reports
        self.born = loop.clock() if cold else 0.0
        self.down = False
        self.worst = 0.0  # arrivals of any window over what fells it
        self.arrivals: list[float] = []
        self._window: deque[float] = deque()
        self._free_at = 0.0

    def can(self, at: float) -> float:
        """Attempts a second at this instant."""
        age = (at - self.born) / self.cold if self.cold and self.born else 1.0
        return self.full * (self.cold_from + (1 - self.cold_from) * min(1.0, max(0.0, age)))

    def start(self) -> None:
        """A new process: cold again."""
        self.born, self.down = self.loop.clock(), False
        self._window.clear()

    def _heard(self, line: Line, payload: Payload) -> None:
        now = self.loop.clock()
        self.arrivals.append(now)
        self._window.append(now)
        while self._window[0] <= now - self.fall:
            self._window.popleft()
        if now < self.born + self.cold:  # a warm one has room enough, and no rule
            part = len(self._window) / (self.multiple * self.can(now - self.fall / 2) * self.fall)
            self.worst = max(self.worst, part)
            self.down = self.down or part > 1 and len(self._window) > 1
        if self.down:
            line.reset()
            return
        super()._heard(line, payload)

    def _done(self, line: Line, ident: str, cost: float, said: str) -> None:
        """Its own time instead of the even one: a queue that is worked off at what it can do now."""
        now = self.loop.clock()
        self._free_at = max(now, self._free_at) + 1 / self.can(now)
        report = f"X-Server-Load: TEXT busy_reqs={round((self._free_at - now) * self.can(now))}\r\n" * self.reports
        self.loop.call_at(self._free_at, lambda: line.answer(200, ident.encode(), f"X-True-Cost: {cost:g}\r\n{report}"))
