"""Measures a daemon on its own loop and notifies its supervisor by sd_notify(3).

The watchdog messages come from a timer of that loop, so they stop by themselves when the loop is blocked.
"""

from __future__ import annotations

import json
import os
import resource
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..fleet.notify import Notifier, watchdog_timeout
from .measurements import LoopLag, Measurements, Thresholds

if TYPE_CHECKING:
    from ..serve import Daemon

# Seconds between ticks once the daemon has been ready.
TICK_SECONDS = 0.25
# Seconds between ticks before that, so that readiness is reported at once.
STARTUP_TICK_SECONDS = 0.02
# Seconds between samples of descriptors and memory, and between their reports.
SAMPLE_SECONDS = 2.0
# Size of a memory page.
PAGE_MB = resource.getpagesize() / (1 << 20)


class HealthService:
    """Samples the health of `daemon` and reports readiness, watchdog messages and status where it is watched."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon, self.loop = daemon, daemon.loop
        self.notifier = Notifier(os.environ)
        watchdog_seconds = watchdog_timeout(os.environ)
        self.tick_seconds = min(TICK_SECONDS, watchdog_seconds / 4) if watchdog_seconds else TICK_SECONDS
        self.sends_watchdog = watchdog_seconds > 0
        self.lag, self.thresholds = LoopLag(), Thresholds()
        self.is_ready = False  # as last reported
        self._descriptor_count, self._memory_mb, self._sampled_at = 0, 0.0, -SAMPLE_SECONDS
        self._tick_due = 0.0
        self._is_stopped = False

    def start(self) -> None:
        """Start the ticks."""
        self._tick_due = self.loop.clock()
        self._tick()

    def _tick(self) -> None:
        if self._is_stopped:
            return
        now = self.loop.clock()
        self.lag.record(now, now - self._tick_due)
        fields: dict[str, str | int] = {"WATCHDOG": 1} if self.sends_watchdog else {}
        is_ready = self.daemon.is_ready() and not self.daemon.is_ending
        if is_ready != self.is_ready:
            self.is_ready = is_ready
            if is_ready:
                fields["READY"] = 1
        if now - self._sampled_at >= SAMPLE_SECONDS:
            self._sample(now)
            if self.notifier.is_enabled:
                status = self.status()
                fields["STATUS"] = "; ".join(status["troubles"]) or "well"
                fields["X_HEALTH"] = json.dumps(status)
        if fields:
            self.notifier.notify(**fields)
        wait = self.tick_seconds if self.is_ready or now - self.daemon.started_at > 5.0 else STARTUP_TICK_SECONDS
        self._tick_due = now + wait
        self.loop.call_in(wait, self._tick)

    def _sample(self, now: float) -> None:
        self._sampled_at = now
        self._descriptor_count = len(os.listdir("/proc/self/fd")) - 1  # without the one open for this listing
        self._memory_mb = int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_MB

    def measure(self) -> Measurements:
        """Return the current lag and list age with the last sample of descriptors and memory."""
        now = self.loop.clock()
        list_received_at = self.daemon.discovery.heard_at if self.daemon.discovery is not None else 0.0
        max_descriptors = min(self.daemon.config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        return Measurements(
            self.lag.max_lag(now),
            self._descriptor_count,
            max_descriptors,
            self._memory_mb,
            float(self.daemon.config.memory_mb),
            now - list_received_at if list_received_at else None,
        )

    def status(self) -> dict[str, Any]:
        """Return the measurements as the control API shows them."""
        return dict(self.measure().as_dict(self.thresholds))

    def notify_reloaded(self, outcome: str) -> None:
        """Notify the supervisor of a reload; `outcome` is "ok" or the error."""
        self.notifier.notify(RELOADING=1)
        self.notifier.notify(READY=1, X_RELOAD=outcome)

    def notify_stopping(self) -> None:
        """Notify the supervisor that shutdown has begun."""
        self.notifier.notify(STOPPING=1)

    def stop(self) -> None:
        """Stop the ticks and close the notification socket."""
        self._is_stopped = True
        self.notifier.close()
