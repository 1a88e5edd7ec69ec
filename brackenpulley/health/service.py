"""Measures a daemon on its own loop, and tells its watcher by sd_notify. The loop's own timer sends the life signs:
where the loop stands still they stop by themselves."""

from __future__ import annotations

import json
import os
import resource
from pathlib import Path
from typing import TYPE_CHECKING, Any

from ..fleet.notify import Notifier, watchdog
from .vitals import Bounds, Lag, Vitals

if TYPE_CHECKING:
    from ..serve import Daemon

BEAT, FIRST = 0.25, 0.02  # s between beats, and until it was ready for the first time
LOOK = 2.0  # s between looks at descriptors and memory, and between words of them
PAGE_MB = resource.getpagesize() / (1 << 20)


class HealthService:
    def __init__(self, daemon: Daemon) -> None:
        self.daemon, self.loop = daemon, daemon.loop
        self.notifier = Notifier(os.environ)
        patience = watchdog(os.environ)
        self.beat = min(BEAT, patience / 4) if patience else BEAT
        self.signs = patience > 0
        self.lag, self.bounds = Lag(), Bounds()
        self.ready = False  # as told last
        self._descriptors, self._memory, self._looked = 0, 0.0, -LOOK
        self._due = 0.0
        self._stopped = False

    def start(self) -> None:
        self._due = self.loop.clock()
        self._beat()

    def _beat(self) -> None:
        if self._stopped:
            return
        now = self.loop.clock()
        self.lag.note(now, now - self._due)
        fields: dict[str, str | int] = {"WATCHDOG": 1} if self.signs else {}
        ready = self.daemon.ready() and not self.daemon.ending
        if ready != self.ready:
            self.ready = ready
            if ready:
                fields["READY"] = 1
        if now - self._looked >= LOOK:
            self._look(now)
            if self.notifier.on:
                row = self.status()
                fields["STATUS"] = "; ".join(row["troubles"]) or "well"
                fields["X_HEALTH"] = json.dumps(row)
        if fields:
            self.notifier.say(**fields)
        wait = self.beat if self.ready or now - self.daemon.born > 5.0 else FIRST
        self._due = now + wait
        self.loop.call_in(wait, self._beat)

    def _look(self, now: float) -> None:
        self._looked = now
        self._descriptors = len(os.listdir("/proc/self/fd")) - 1  # less the one that lists them
        self._memory = int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_MB

    def vitals(self) -> Vitals:
        now = self.loop.clock()
        heard = self.daemon.discovery.heard_at if self.daemon.discovery is not None else 0.0
        most = min(self.daemon.config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        return Vitals(
            self.lag.worst(now),
            self._descriptors,
            most,
            self._memory,
            float(self.daemon.config.memory_mb),
            now - heard if heard else None,
        )

    def status(self) -> dict[str, Any]:
        return dict(self.vitals().row(self.bounds))

    def reloaded(self, said: str) -> None:
        """`said` is "ok" or what went wrong."""
        self.notifier.say(RELOADING=1)
        self.notifier.say(READY=1, X_RELOAD=said)

    def ending(self) -> None:
        self.notifier.say(STOPPING=1)

    def stop(self) -> None:
        self._stopped = True
        self.notifier.close()
