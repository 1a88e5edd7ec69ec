"""Timeout after which a suspected member is declared dead (Lifeguard, section IV.B: dynamic suspicion timeouts).

It starts at the maximum and shrinks with each other member that suspects the same one, down to the minimum:

    timeout = max - (max - min) * log(c + 1) / log(k + 1)

with c the independent confirmations so far and k those that are needed for the minimum."""

from __future__ import annotations

import math

MIN_TIMEOUT_MULTIPLIER = 4.0  # minimum timeout in probe intervals, per log10 of the number of members
MAX_TIMEOUT_MULTIPLIER = 6.0  # maximum timeout in minimum timeouts
CONFIRMATIONS = 3  # independent confirmations after which the minimum timeout holds


def min_suspicion_timeout(members: int, interval: float) -> float:
    """Return the minimum suspicion timeout, in the unit of the probe `interval`."""
    return MIN_TIMEOUT_MULTIPLIER * max(1.0, math.log10(max(1, members))) * interval


class Suspicion:
    """Suspicion of one member at one incarnation, with the members that share it."""

    def __init__(self, incarnation: int, by: str, since: float, min_timeout: float, members: int) -> None:
        self.incarnation, self.since, self.min_timeout = incarnation, since, min_timeout
        self.max_timeout = min_timeout * MAX_TIMEOUT_MULTIPLIER
        # A fleet too small to bring that many confirmations uses the minimum timeout at once.
        self.confirmations_needed = CONFIRMATIONS if members - 2 >= CONFIRMATIONS else 0
        self.suspecting = {by}

    def confirm(self, by: str) -> bool:
        """Return True where this is a new confirmation, which may bring the deadline forward."""
        if by in self.suspecting or len(self.suspecting) > self.confirmations_needed:
            return False
        self.suspecting.add(by)
        return True

    @property
    def deadline(self) -> float:
        """The time at which the suspected member is declared dead."""
        if not self.confirmations_needed:
            return self.since + self.min_timeout
        fraction = math.log(len(self.suspecting)) / math.log(self.confirmations_needed + 1)
        return self.since + max(self.min_timeout, self.max_timeout - (self.max_timeout - self.min_timeout) * fraction)
