"""One place of the fleet and the process in it: what happens to the process comes in, what to do comes out. No I/O.

    state    | meaning                                  | leaves it by
    ---------+------------------------------------------+----------------------------------------------------------
    down     | no process, none wanted                  | start
    due      | wanted; waits for its turn to be started | spawned
    starting | a process, not ready yet                 | READY=1 and /ready: ready; too late: killed; its end: waiting
    ready    | it takes messages                        | its end: waiting; /ready says no: starting; no sign: killed
    draining | /ready says no, for the front to notice  | the notice's end: stopping
    stopping | SIGTERM was sent                         | its end: down or due; the deadline: SIGKILL
    waiting  | it ended by itself                       | the back-off's end: due
    crashed  | it ended too often: a crash loop         | start

Whoever hears of an end calls `ended`, whatever the state: only the kernel's word ends a life."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from math import inf

from .backoff import Backoff, RestartPolicy

DOWN, DUE, STARTING, READY, DRAINING, STOPPING, WAITING, CRASHED = (
    "down",
    "due",
    "starting",
    "ready",
    "draining",
    "stopping",
    "waiting",
    "crashed",
)
ALIVE = (STARTING, READY, DRAINING, STOPPING)
UNREADY = 3  # looks in a row without a yes after which a ready one is none


@dataclass(slots=True, frozen=True)
class Times:
    """Seconds."""

    ready: float = 15.0
    deadline: float = 15.0
    notice: float = 1.0
    watchdog: float = 5.0  # 0 = off


@dataclass(slots=True, frozen=True)
class Signal:
    number: int
    why: str


@dataclass(slots=True, frozen=True)
class Drain:
    """Ask it to say no at /ready and to take what still comes."""


Do = Signal | Drain


class Instance:
    """`life` counts processes: 0 = none yet."""

    def __init__(self, number: int, times: Times, restart_policy: RestartPolicy, rng: random.Random) -> None:
        self.number, self.times = number, times
        self.backoff = Backoff(restart_policy, rng)
        self.state, self.since, self.why = DOWN, 0.0, ""
        self.pid = self.life = self.restarts = 0
        self.ready_at = -inf  # the start of its present time of being ready
        self.told = False  # READY=1 has come from this process
        self.said = ""  # its STATUS=
        self._sign, self._due, self._noes = 0.0, inf, 0
        self._again = False  # what is being stopped is to be started again
        self._ending = ""  # why we are ending it by force

    @property
    def beginning(self) -> bool:
        """A start is under way, for which its time still runs."""
        return self.state == STARTING and self._due < inf

    # The operator.

    def start(self, now: float) -> None:
        if self.state in (DOWN, CRASHED, WAITING):
            self.backoff.reset()
            self._to(now, DUE)
        elif self.state in (DRAINING, STOPPING):
            self._again = True

    def stop(self, now: float, drain: bool = True) -> list[Do]:
        """In order: drained, then SIGTERM, then SIGKILL."""
        self._again = False
        if self.state in (DOWN, DUE, WAITING, CRASHED):
            self._to(now, DOWN)
        elif self.state == READY and drain and self.times.notice:
            self._to(now, DRAINING)
            self._due = now + self.times.notice
            return [Drain()]
        elif self.state in (STARTING, READY) or self.state == DRAINING and not drain:
            return self._term(now)
        return []

    def restart(self, now: float) -> list[Do]:
        """The same, and a new process afterwards."""
        if self.state not in ALIVE:
            self.start(now)
            return []
        done = self.stop(now)
        self._again = True
        return done

    # The process.

    def spawned(self, now: float, pid: int) -> None:
        self.life, self.pid, self.why, self._ending = self.life + 1, pid, "", ""
        self.told, self.said, self._sign, self._noes = False, "", now, 0
        self._to(now, STARTING)
        self._due = now + self.times.ready

    def adopted(self, now: float, pid: int) -> None:
        """A process that an earlier supervisor started: it said that it is ready to that one."""
        self.spawned(now, pid)
        self.told = True

    def unspawned(self, now: float, why: str) -> None:
        """It could not be started at all."""
        self._failed(now, why, 0.0)

    def notified(self, now: float, fields: dict[str, str]) -> None:
        """A datagram of its process."""
        self._sign = now
        if fields.get("READY") == "1":
            self.told = True
        if "STATUS" in fields:
            self.said = fields["STATUS"][:200]

    def looked(self, now: float, yes: bool) -> None:
        """What /ready said; no answer is a no."""
        if yes and self.told and self.state == STARTING:
            self._noes, self.ready_at = 0, now
            self._to(now, READY)
            self._due = inf
        elif self.state == READY:
            self._noes = 0 if yes else self._noes + 1
            if self._noes >= UNREADY:  # alive, and nothing for the front: it has no list, or is not heard
                self.why = "/ready says no"
                self._to(now, STARTING)
                self._due = inf  # it may take its time: it has been ready, and the watchdog looks after it

    def ended(self, now: float, how: str) -> None:
        """The kernel says that the process is no more; `how` as in 'exit 2' or 'SIGKILL'."""
        lived = now - self.ready_at if self.state in (READY, DRAINING) else 0.0
        state, self.pid = self.state, 0
        if state in (DRAINING, STOPPING):
            self._to(now, DUE if self._again else DOWN)
            self._again = False
            self.why = self._ending
        elif state in ALIVE:
            self._failed(now, self._ending or how, lived)

    def tick(self, now: float) -> list[Do]:
        if (
            self.state in (STARTING, READY)
            and self.times.watchdog
            and self.told
            and not self._ending
            and (now - self._sign >= self.times.watchdog)
        ):
            return self._kill(now, f"no life sign for {self.times.watchdog:g} s")
        if now < self._due:
            return []
        if self.state == WAITING:
            self._to(now, DUE)
        elif self.state == STARTING and not self._ending:
            return self._kill(now, f"not ready within {self.times.ready:g} s")
        elif self.state == DRAINING:
            return self._term(now)
        elif self.state == STOPPING and not self._ending:
            return self._kill(now, f"not gone {self.times.deadline:g} s after SIGTERM")
        return []

    def next_tick(self) -> float:
        sign = inf
        if self.state in (STARTING, READY) and self.times.watchdog and self.told and not self._ending:
            sign = self._sign + self.times.watchdog
        return min(self._due, sign)

    def _term(self, now: float) -> list[Do]:
        self._to(now, STOPPING)
        self._due = now + self.times.deadline
        return [Signal(signal.SIGTERM, "stop")]

    def _kill(self, now: float, why: str) -> list[Do]:
        self._ending, self._due = why, inf
        return [Signal(signal.SIGKILL, why)]

    def _failed(self, now: float, why: str, lived: float) -> None:
        wait = self.backoff.record_end(now, lived)
        self.restarts += 1
        self.why = why
        self._to(now, CRASHED if wait is None else WAITING)
        if wait is not None:
            self._due = now + wait

    def _to(self, now: float, state: str) -> None:
        self.state, self.since, self._due = state, now, inf
