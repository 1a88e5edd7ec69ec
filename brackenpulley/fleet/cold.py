"""Estimate of how many ingresses share a cold server's budget. Used by `gateways`. No I/O.

The decision module gives a cold server a minimum rate, since a server without any work would never show what it can
do. That minimum is meant for all ingresses together. Instances that start at the same moment, or are partitioned from
each other, each rely on what they learned last. So the budget is divided by the greatest of

    the count from the supervisor and the count of live members;
    the largest possible number of instances (`most` in [members]) while this one is starting and cannot know better;
    the count that servers imply: one with twelve relays in flight, two of them from here, serves six such ingresses.

None of these sources is always available: a supervisor may be down, membership off, and servers may report nothing.
Start jitter is up to the decision module: its budget begins at a random part of one relay."""

from __future__ import annotations

import math
from collections import deque

STARTUP_SECONDS = 30.0  # for so long after its start an instance assumes the largest possible fleet
REPORT_LIFETIME_SECONDS = 15.0  # for so long a server report counts
MAX_REPORTED_COUNT = 10_000


class IngressCountEstimate:
    """Estimates the number of ingresses. `max_count` is the largest possible number of instances; 0 if unknown."""

    def __init__(self, started_at: float, max_count: int = 0) -> None:
        self.started_at, self.max_count = started_at, max_count
        self._reports: deque[tuple[float, int]] = deque()  # (time, count), counts strictly decreasing

    def record_report(self, now: float, in_flight: float, own: int) -> None:
        """Record that a cold server had `in_flight` relays, `own` of them from here, the one just answered included."""
        count = min(MAX_REPORTED_COUNT, math.ceil(in_flight / max(1, own)))
        while self._reports and self._reports[-1][1] <= count:
            self._reports.pop()
        self._reports.append((now, count))

    def get_count(self, now: float, known_count: int) -> int:
        """Return the divisor of a cold server's budget; `known_count` comes from the supervisor and membership."""
        while self._reports and self._reports[0][0] < now - REPORT_LIFETIME_SECONDS:
            self._reports.popleft()
        reported_count = self._reports[0][1] if self._reports else 0
        return max(1, known_count, reported_count, self.max_count if now < self.started_at + STARTUP_SECONDS else 0)
