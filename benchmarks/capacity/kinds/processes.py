"""Real processes: an ingress at the start, at rest and under messages; a supervisor with its instances."""

from __future__ import annotations

import os
import random
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from benchmarks.fleet import Trial, measure_process
from benchmarks.ledger_cost import Process
from benchmarks.plan_changes import find_free_ports
from benchmarks.relay import Closed, SimServer
from brackenpulley.fleet.caller import Call
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.servers import Discovery

from ..measure import REPEATS, Slope, slope
from .lists import entries

SIZES, REAL = (60, 1000, 4000, 12000), 5
INSTANCES = (1, 2, 4, 8)


class Large(Discovery):
    """Some real servers, and the rest of the list without any: told as draining before messages come."""

    def __init__(self, loop: Loop, servers: list[Any], size: int) -> None:
        super().__init__(loop, servers)
        self.rest = entries(size)[len(servers) :]

    def drained(self) -> None:
        self.generation += 1
        self.rest = [{**row, "lifecycle": "DRAINING"} for row in self.rest]
        for line in self.watchers:
            self._tell(line, {"generation": self.generation, "reset": False, "instances": self.rest})

    def _rows(self, servers: list[Any]) -> list[dict[str, object]]:
        return [*super()._rows(servers), *(self.rest if len(servers) > 1 else [])]


def spent(pid: int) -> float:
    """s of processor time, by the scheduler's own count: finer than the ticks of `stat`."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def wait(loop: Loop, until: Callable[[], bool], patience: float) -> float:
    began = time.monotonic()
    while not until():
        if time.monotonic() - began > patience:
            raise TimeoutError(f"nothing within {patience:g} s")
        loop.run_once(0.005)
    return time.monotonic() - began


def spend(loop: Loop, seconds: float) -> None:
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        loop.run_once(0.02)


def one(size: int, seed: int) -> dict[str, float]:
    loop = Loop(wall_clock(), Metrics(), structlog.get_logger())
    servers = [SimServer(loop, f"real-{n}", random.Random(n)) for n in range(REAL)]
    discovery = Large(loop, [*servers], size)
    with tempfile.TemporaryDirectory(prefix="bracken-capacity-") as name:
        port = find_free_ports(1)[0]
        daemon = Process(Path(name), "daemon", port, discovery.listener.text, "127.0.0.1:1", "")
        try:
            state = {"ready": False, "out": False}

            def heard(status: int, body: bytes) -> None:
                state.update(ready=status == 200, out=False)

            def ready() -> bool:
                if not state["out"] and not state["ready"]:
                    state["out"] = True
                    Call(loop, ("127.0.0.1", port), "GET", "/ready", b"", 1.0, heard)
                return state["ready"]

            start = wait(loop, ready, 30.0)
            wait(loop, lambda: bool(discovery.watchers), 30.0)
            spend(loop, 0.7)  # until the list of the watch is taken
            pid = daemon.process.pid
            before, resident = spent(pid), measure_process(pid)[1]
            spend(loop, 1.5)
            rest = (spent(pid) - before) / 1.5
            discovery.drained()
            spend(loop, 0.7)
            load = Closed(loop, port, seed)
            load.start()
            spend(loop, 0.3)
            before, answers = spent(pid), load.answers
            spend(loop, 0.8)
            took, count = spent(pid) - before, load.answers - answers
            load.running = False
            wait(loop, lambda: not load.out, 10.0)
            return {"start": start, "rest": rest * 100, "resident": resident / 1024, "message": took / count * 1e6}
        finally:
            daemon.process.terminate()
            daemon.process.wait()


def ingress(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    found = {n: [one(n, seed + k) for k in range(REPEATS)] for n in sizes}

    def rows(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [ran[name] for ran in some]) for n, some in found.items()]

    return [
        slope("process.start", "from the start of the process to /ready", "servers", "s", rows("start"), seed=seed),
        slope("process.rest", "a daemon at rest", "servers", "% of a core", rows("rest"), "least", seed=seed),
        slope(
            "process.resident",
            "a daemon's resident memory after its list",
            "servers",
            "MB",
            rows("resident"),
            seed=seed,
        ),
        slope(
            "process.message",
            "a message relayed, closed loop of 16 connections",
            "servers",
            "us",
            rows("message"),
            "least",
            seed=seed,
        ),
    ]


def fleet(instances: int, repeats: int = REPEATS, seconds: float = 2.0) -> list[dict[str, float]]:
    """A supervisor with so many instances, membership on: some times at rest, then one of them killed."""
    made = Trial(instances, 1, 0.0, 40.0, True)

    def pids() -> list[int]:
        return [row["pid"] for row in made.read_status()["places"] if row["state"] == "ready"]

    found = []
    try:
        made.start_supervisor()
        made.wait_all_ready(max(1, instances // 2), 30.0, "the first")
        made.call_supervisor("POST", "/v1/fleet/scale", {"instances": instances})
        made.wait_all_ready(instances, 30.0, "all")
        assert made.supervisor is not None
        own = made.supervisor.pid
        for _ in range(repeats):
            spend(made.loop, 1.0)
            at = pids()
            before, mine = [spent(pid) for pid in at], spent(own)
            spend(made.loop, seconds)
            now, then = [spent(pid) for pid in at], spent(own)
            resident = sum(measure_process(pid)[1] for pid in at) / instances / 1024
            os.kill(at[0], signal.SIGKILL)
            began = time.monotonic()
            while at[0] in (ready := pids()) or len(ready) < instances:
                if time.monotonic() - began > 30.0:
                    raise TimeoutError("not started again")
                spend(made.loop, 0.05)
            found.append(
                {
                    "supervisor": (then - mine) / seconds * 100,
                    "memory": measure_process(own)[1] / 1024,
                    "again": time.monotonic() - began,
                    "resident": resident,
                    "instance": sum(b - a for a, b in zip(before, now, strict=True)) / instances / seconds * 100,
                }
            )
    finally:
        made.close()
    return found


def supervisor(seed: int, sizes: tuple[int, ...] = INSTANCES) -> list[Slope]:
    found = {n: fleet(n) for n in sizes}

    def rows(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [ran[name] for ran in some]) for n, some in found.items()]

    return [
        slope(
            "supervisor.rest",
            "a supervisor at rest",
            "instances",
            "% of a core",
            rows("supervisor"),
            "least",
            seed=seed,
        ),
        slope("supervisor.memory", "a supervisor's resident memory", "instances", "MB", rows("memory"), seed=seed),
        slope("supervisor.again", "a killed instance, to all ready again", "instances", "s", rows("again"), seed=seed),
        slope(
            "supervisor.instance",
            "an instance at rest, with membership",
            "instances",
            "% of a core",
            rows("instance"),
            "least",
            seed=seed,
        ),
        slope(
            "supervisor.resident",
            "an instance's resident memory, with membership",
            "instances",
            "MB",
            rows("resident"),
            seed=seed,
        ),
    ]
