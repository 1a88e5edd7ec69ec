"""Whether a connection to a sim server that was idle may carry another relay. No I/O."""

from __future__ import annotations

FRESH_IDLE_SECONDS = 0.1  # a connection idle for less than this is always reused
MAX_FAILURE_RATE = 0.1  # of reused connections, from which on those idle for longer are not reused
TRIAL_INTERVAL = 16  # every n-th refused reuse is allowed all the same, see IdleReusePolicy
FAILURE_RATE_WEIGHT = 0.05  # of the newest sample in the moving average of failures


class IdleReusePolicy:
    """Decides whether connections that were idle for long may be reused: some sim servers close them unnoticed.

    A request on such a connection is reset and may have been processed, so a new connection is cheaper as soon as the
    share MAX_FAILURE_RATE of those idle for FRESH_IDLE_SECONDS or more break before a byte of the response. One in
    TRIAL_INTERVAL is reused all the same, to detect that the failures are over."""

    def __init__(self) -> None:
        self.failure_rate = 0.0
        self._skipped_count = 0

    def allows_reuse(self, idle_seconds: float) -> bool:
        """Tell whether a connection that was idle for so long may be reused."""
        if idle_seconds < FRESH_IDLE_SECONDS or self.failure_rate < MAX_FAILURE_RATE:
            return True
        self._skipped_count = (self._skipped_count + 1) % TRIAL_INTERVAL
        return not self._skipped_count

    def record(self, idle_seconds: float, is_broken: bool) -> None:
        """Add the result of a reuse after `idle_seconds` to the failure rate."""
        if idle_seconds >= FRESH_IDLE_SECONDS:
            self.failure_rate += FAILURE_RATE_WEIGHT * (is_broken - self.failure_rate)
