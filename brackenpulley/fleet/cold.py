"""By how many a cold server's budget is divided, whatever each instance believes of the others. No I/O.

The module gives a cold server a least rate, since without any work it would never be known what it can do; that least
is for all ingresses together. Instances that start at the same instant, or were cut off from each other, each believe
what they were told last. So the divisor is the greatest of

    what the supervisor says and what membership sees;
    the most instances there may be (`most` in [members]), while this one is young: it cannot know yet;
    what servers report: a server with twelve attempts in hand, two of them ours, has six such as we.

No single one of them may be trusted to be there: a supervisor may be gone, membership off, servers may report nothing.
The jitter of the start is the module's own: its budget begins at a random part of one attempt."""

from __future__ import annotations

import math
from collections import deque

YOUNG = 30.0  # s for which an instance takes the fleet for as large as it may be
HEARD = 15.0  # s for which a report speaks
MOST = 10_000


class Crowd:
    """`bound`: the most instances there may be, 0 where nobody says."""

    def __init__(self, born: float, bound: int = 0) -> None:
        self.born, self.bound = born, bound
        self._reports: deque[tuple[float, int]] = deque()  # falling counts

    def reported(self, now: float, in_hand: float, own: int) -> None:
        """A cold server had `in_hand` attempts, `own` of them from here, the one just answered among them."""
        count = min(MOST, math.ceil(in_hand / max(1, own)))
        while self._reports and self._reports[-1][1] <= count:
            self._reports.pop()
        self._reports.append((now, count))

    def count(self, now: float, told: int) -> int:
        while self._reports and self._reports[0][0] < now - HEARD:
            self._reports.popleft()
        seen = self._reports[0][1] if self._reports else 0
        return max(1, told, seen, self.bound if now < self.born + YOUNG else 0)
