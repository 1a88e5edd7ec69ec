"""State machine of one instance: takes the events of its process and returns the actions to carry out. No I/O.

    state    | meaning                                  | leaves it by
    ---------+------------------------------------------+----------------------------------------------------------
    down     | no process, none wanted                  | start
    due      | waits for its turn to be started         | spawned
    starting | a process that is not ready yet          | READY=1 and /ready: ready; timeout: killed; its end: waiting
    ready    | it takes messages                        | its end: waiting; /ready fails: starting; watchdog: killed
    draining | /ready fails so that the front notices   | end of the notice period: stopping
    stopping | SIGTERM was sent                         | its end: down or due; the deadline: SIGKILL
    waiting  | it ended by itself                       | end of the back-off: due
    crashed  | it ended too often: a crash loop         | start

The supervisor calls `record_end` for every end, whatever the state: only the kernel's report ends a process's life."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from math import inf

from .backoff import Backoff, RestartPolicy

DOWN = "down"
DUE = "due"
STARTING = "starting"
READY = "ready"
DRAINING = "draining"
STOPPING = "stopping"
WAITING = "waiting"
CRASHED = "crashed"
ALIVE = (STARTING, READY, DRAINING, STOPPING)
MAX_FAILED_PROBES = 3  # consecutive failed probes after which a ready instance counts as unready


@dataclass(slots=True, frozen=True)
class Times:
    """Time limits in seconds."""

    ready: float = 15.0  # from the start to being ready
    deadline: float = 15.0  # from SIGTERM to SIGKILL
    notice: float = 1.0  # between the start of the drain and SIGTERM, for the front to notice
    watchdog: float = 5.0  # without a notification; 0 = off


@dataclass(slots=True, frozen=True)
class Signal:
    """Send the signal `number` to the process."""

    number: int
    reason: str


@dataclass(slots=True, frozen=True)
class Drain:
    """Ask the instance to fail /ready while it still accepts messages."""


Action = Signal | Drain


class Instance:
    """One numbered place of the fleet and its process. `generation` counts its processes; 0 = none yet."""

    def __init__(self, number: int, times: Times, restart_policy: RestartPolicy, rng: random.Random) -> None:
        self.number, self.times = number, times
        self.backoff = Backoff(restart_policy, rng)
        self.state, self.since, self.reason = DOWN, 0.0, ""
        self.pid = self.generation = self.restarts = 0
        self.ready_at = -inf  # when it last became ready
        self.is_notified_ready = False  # whether READY=1 has come from this process
        self.status_text = ""  # last STATUS= of the process
        self._notified_at, self._deadline, self._failed_probes = 0.0, inf, 0
        self._restart_wanted = False  # start again once it has ended
        self._kill_reason = ""  # why SIGKILL was sent

    @property
    def is_starting(self) -> bool:
        """Whether a start is under way whose time limit still runs."""
        return self.state == STARTING and self._deadline < inf

    # Requests of the operator.

    def start(self, now: float) -> None:
        """Start the process, or start it again once the present stop is complete."""
        if self.state in (DOWN, CRASHED, WAITING):
            self.backoff.reset()
            self._enter(now, DUE)
        elif self.state in (DRAINING, STOPPING):
            self._restart_wanted = True

    def stop(self, now: float, drain: bool = True) -> list[Action]:
        """Stop the process: drain, then SIGTERM, then SIGKILL. `drain=False` skips the drain."""
        self._restart_wanted = False
        if self.state in (DOWN, DUE, WAITING, CRASHED):
            self._enter(now, DOWN)
        elif self.state == READY and drain and self.times.notice:
            self._enter(now, DRAINING)
            self._deadline = now + self.times.notice
            return [Drain()]
        elif self.state in (STARTING, READY) or self.state == DRAINING and not drain:
            return self._terminate(now)
        return []

    def restart(self, now: float) -> list[Action]:
        """Stop the process and start a new one afterwards."""
        if self.state not in ALIVE:
            self.start(now)
            return []
        actions = self.stop(now)
        self._restart_wanted = True
        return actions

    # Events of the process.

    def record_spawn(self, now: float, pid: int) -> None:
        """Record that a new process was started."""
        self.generation, self.pid, self.reason, self._kill_reason = self.generation + 1, pid, "", ""
        self.is_notified_ready, self.status_text, self._notified_at, self._failed_probes = False, "", now, 0
        self._enter(now, STARTING)
        self._deadline = now + self.times.ready

    def record_adoption(self, now: float, pid: int) -> None:
        """Record a process that an earlier supervisor started; it sent READY=1 to that one."""
        self.record_spawn(now, pid)
        self.is_notified_ready = True

    def record_spawn_failure(self, now: float, reason: str) -> None:
        """Record that the process could not be started at all."""
        self._record_failure(now, reason, 0.0)

    def record_notification(self, now: float, fields: dict[str, str]) -> None:
        """Record a notification datagram of the process."""
        self._notified_at = now
        if fields.get("READY") == "1":
            self.is_notified_ready = True
        if "STATUS" in fields:
            self.status_text = fields["STATUS"][:200]

    def record_probe(self, now: float, is_ready: bool) -> None:
        """Record the result of a probe of /ready; no response counts as not ready."""
        if is_ready and self.is_notified_ready and self.state == STARTING:
            self._failed_probes, self.ready_at = 0, now
            self._enter(now, READY)
            self._deadline = inf
        elif self.state == READY:
            self._failed_probes = 0 if is_ready else self._failed_probes + 1
            # Alive but of no use to the front: it has no inventory, or its listener cannot be reached.
            if self._failed_probes >= MAX_FAILED_PROBES:
                self.reason = "/ready says no"
                self._enter(now, STARTING)
                self._deadline = inf  # no time limit: it has been ready before, and the watchdog covers it

    def record_end(self, now: float, description: str) -> None:
        """Record that the process has ended; `description` is for example 'exit 2' or 'SIGKILL'."""
        uptime = now - self.ready_at if self.state in (READY, DRAINING) else 0.0
        state, self.pid = self.state, 0
        if state in (DRAINING, STOPPING):
            self._enter(now, DUE if self._restart_wanted else DOWN)
            self._restart_wanted = False
            self.reason = self._kill_reason
        elif state in ALIVE:
            self._record_failure(now, self._kill_reason or description, uptime)

    def tick(self, now: float) -> list[Action]:
        """Apply the timeouts that are due and return the actions they need."""
        if (
            self.state in (STARTING, READY)
            and self.times.watchdog
            and self.is_notified_ready
            and not self._kill_reason
            and (now - self._notified_at >= self.times.watchdog)
        ):
            return self._kill(now, f"no life sign for {self.times.watchdog:g} s")
        if now < self._deadline:
            return []
        if self.state == WAITING:
            self._enter(now, DUE)
        elif self.state == STARTING and not self._kill_reason:
            return self._kill(now, f"not ready within {self.times.ready:g} s")
        elif self.state == DRAINING:
            return self._terminate(now)
        elif self.state == STOPPING and not self._kill_reason:
            return self._kill(now, f"not gone {self.times.deadline:g} s after SIGTERM")
        return []

    def next_tick(self) -> float:
        """Return the time of the next timeout; infinity if none is set."""
        watchdog_end = inf
        if self.state in (STARTING, READY) and self.times.watchdog and self.is_notified_ready and not self._kill_reason:
            watchdog_end = self._notified_at + self.times.watchdog
        return min(self._deadline, watchdog_end)

    def _terminate(self, now: float) -> list[Action]:
        self._enter(now, STOPPING)
        self._deadline = now + self.times.deadline
        return [Signal(signal.SIGTERM, "stop")]

    def _kill(self, now: float, reason: str) -> list[Action]:
        self._kill_reason, self._deadline = reason, inf
        return [Signal(signal.SIGKILL, reason)]

    def _record_failure(self, now: float, reason: str, uptime: float) -> None:
        wait = self.backoff.record_end(now, uptime)
        self.restarts += 1
        self.reason = reason
        self._enter(now, CRASHED if wait is None else WAITING)
        if wait is not None:
            self._deadline = now + wait

    def _enter(self, now: float, state: str) -> None:
        self.state, self.since, self._deadline = state, now, inf
