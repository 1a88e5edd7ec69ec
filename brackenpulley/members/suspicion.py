"""How long a suspect has to say that it lives (Lifeguard, section IV.B: dynamic suspicion timeouts).

It begins with the longest time and shrinks with each other member that suspects it too, down to the shortest:

    timeout = max - (max - min) * log(c + 1) / log(k + 1)

with c the independent confirmations so far and k those that are needed for the shortest."""

from __future__ import annotations

import math

MULTIPLE = 4.0  # of the probe interval and log10 of the members: the shortest time
LONGEST = 6.0  # of the shortest
CONFIRMATIONS = 3


def shortest(members: int, interval: float) -> float:
    return MULTIPLE * max(1.0, math.log10(max(1, members))) * interval


class Suspicion:
    def __init__(self, incarnation: int, by: str, since: float, least: float, members: int) -> None:
        self.incarnation, self.since, self.least = incarnation, since, least
        self.most = least * LONGEST
        self.needed = CONFIRMATIONS if members - 2 >= CONFIRMATIONS else 0  # too few to confirm: the shortest at once
        self.by = {by}

    def confirm(self, by: str) -> bool:
        """True where this is news: another one suspects it, and the end may come sooner."""
        if by in self.by or len(self.by) > self.needed:
            return False
        self.by.add(by)
        return True

    @property
    def until(self) -> float:
        if not self.needed:
            return self.since + self.least
        part = math.log(len(self.by)) / math.log(self.needed + 1)
        return self.since + max(self.least, self.most - (self.most - self.least) * part)
