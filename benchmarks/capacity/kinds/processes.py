"""Measures real processes: an ingress at its start, idle and relaying messages, and a supervisor with its instances."""

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

from benchmarks.daemon_process import find_free_ports
from benchmarks.fleet import Trial, measure_process
from benchmarks.ledger_cost import Process
from benchmarks.relay import Closed, SimServer
from brackenpulley.fleet.caller import Call
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.servers import Discovery

from ..measure import REPEATS, Slope, make_slope
from .lists import make_entries

SIZES, REAL_SERVERS = (60, 1000, 4000, 12000), 5  # entries of the list; those with a server behind them
INSTANCES = (1, 2, 4, 8)


class LargeDiscovery(Discovery):
    """A discovery service with some real servers and entries without a server behind them.

    Those entries are set to draining before messages are sent."""

    def __init__(self, loop: Loop, servers: list[Any], size: int) -> None:
        super().__init__(loop, servers)
        self.unserved_rows = make_entries(size)[len(servers) :]

    def drain(self) -> None:
        """Sets all entries without a server to draining."""
        self.generation += 1
        self.unserved_rows = [{**row, "lifecycle": "DRAINING"} for row in self.unserved_rows]
        for line in self.watchers:
            self._send_update(line, {"generation": self.generation, "reset": False, "instances": self.unserved_rows})

    def _list_instances(self, servers: list[Any]) -> list[dict[str, object]]:
        return [*super()._list_instances(servers), *(self.unserved_rows if len(servers) > 1 else [])]


def read_cpu_seconds(pid: int) -> float:
    """Returns a process's CPU time from the scheduler's statistics, which are finer than the ticks of `stat`."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def wait_until(loop: Loop, condition: Callable[[], bool], timeout: float) -> float:
    """Runs the loop until a condition holds and returns the time taken, in s. Raises TimeoutError."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout:
            raise TimeoutError(f"condition not met within {timeout:g} s")
        loop.run_once(0.005)
    return time.monotonic() - started


def run_loop(loop: Loop, seconds: float) -> None:
    """Runs the loop for so many s."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        loop.run_once(0.02)


def measure_ingress(size: int, seed: int) -> dict[str, float]:
    """Measures a daemon with a list of so many servers."""
    loop = Loop(wall_clock(), Metrics(), structlog.get_logger())
    servers = [SimServer(loop, f"real-{n}", random.Random(n)) for n in range(REAL_SERVERS)]
    discovery = LargeDiscovery(loop, [*servers], size)
    with tempfile.TemporaryDirectory(prefix="bracken-capacity-") as name:
        port = find_free_ports(1)[0]
        daemon = Process(Path(name), "daemon", port, discovery.listener.address_text, "127.0.0.1:1", "")
        try:
            state = {"ready": False, "out": False}

            def handle_ready(status: int, body: bytes) -> None:
                state.update(ready=status == 200, out=False)

            def is_ready() -> bool:
                if not state["out"] and not state["ready"]:
                    state["out"] = True
                    Call(loop, ("127.0.0.1", port), "GET", "/ready", b"", 1.0, handle_ready)
                return state["ready"]

            start = wait_until(loop, is_ready, 30.0)
            wait_until(loop, lambda: bool(discovery.watchers), 30.0)
            run_loop(loop, 0.7)  # until the list from the watch is applied
            pid = daemon.process.pid
            before, resident = read_cpu_seconds(pid), measure_process(pid)[1]
            run_loop(loop, 1.5)
            rest = (read_cpu_seconds(pid) - before) / 1.5
            discovery.drain()
            run_loop(loop, 0.7)
            load = Closed(loop, port, seed)
            load.start()
            run_loop(loop, 0.3)
            before, answers = read_cpu_seconds(pid), load.answers
            run_loop(loop, 0.8)
            cpu_used, count = read_cpu_seconds(pid) - before, load.answers - answers
            load.running = False
            wait_until(loop, lambda: not load.out, 10.0)
            return {"start": start, "rest": rest * 100, "resident": resident / 1024, "message": cpu_used / count * 1e6}
        finally:
            daemon.process.terminate()
            daemon.process.wait()


def measure_ingress_slopes(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    """Measures daemons and returns their slopes."""
    measurements = {n: [measure_ingress(n, seed + k) for k in range(REPEATS)] for n in sizes}

    def collect_points(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    return [
        make_slope(
            "process.start",
            "from the start of the process to /ready",
            "servers",
            "s",
            collect_points("start"),
            seed=seed,
        ),
        make_slope(
            "process.rest", "a daemon at rest", "servers", "% of a core", collect_points("rest"), "least", seed=seed
        ),
        make_slope(
            "process.resident",
            "a daemon's resident memory after its list",
            "servers",
            "MB",
            collect_points("resident"),
            seed=seed,
        ),
        make_slope(
            "process.message",
            "a message relayed, closed loop of 16 connections",
            "servers",
            "us",
            collect_points("message"),
            "least",
            seed=seed,
        ),
    ]


def measure_fleet(instances: int, repeats: int = REPEATS, seconds: float = 2.0) -> list[dict[str, float]]:
    """Measures a supervisor with so many instances and membership on: idle, then after one of them is killed."""
    trial = Trial(instances, 1, 0.0, 40.0, True)

    def pids() -> list[int]:
        return [row["pid"] for row in trial.read_status()["places"] if row["state"] == "ready"]

    measurements = []
    try:
        trial.start_supervisor()
        trial.wait_all_ready(max(1, instances // 2), 30.0, "the first")
        trial.call_supervisor("POST", "/v1/fleet/scale", {"instances": instances})
        trial.wait_all_ready(instances, 30.0, "all")
        assert trial.supervisor is not None
        own = trial.supervisor.pid
        for _ in range(repeats):
            run_loop(trial.loop, 1.0)
            at = pids()
            before, mine = [read_cpu_seconds(pid) for pid in at], read_cpu_seconds(own)
            run_loop(trial.loop, seconds)
            now, then = [read_cpu_seconds(pid) for pid in at], read_cpu_seconds(own)
            resident = sum(measure_process(pid)[1] for pid in at) / instances / 1024
            os.kill(at[0], signal.SIGKILL)
            started = time.monotonic()
            while at[0] in (ready := pids()) or len(ready) < instances:
                if time.monotonic() - started > 30.0:
                    raise TimeoutError("killed instance not restarted within 30 s")
                run_loop(trial.loop, 0.05)
            measurements.append(
                {
                    "supervisor": (then - mine) / seconds * 100,
                    "memory": measure_process(own)[1] / 1024,
                    "again": time.monotonic() - started,
                    "resident": resident,
                    "instance": sum(b - a for a, b in zip(before, now, strict=True)) / instances / seconds * 100,
                }
            )
    finally:
        trial.close()
    return measurements


def measure_supervisor_slopes(seed: int, sizes: tuple[int, ...] = INSTANCES) -> list[Slope]:
    """Measures supervisors and returns their slopes."""
    measurements = {n: measure_fleet(n) for n in sizes}

    def collect_points(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    return [
        make_slope(
            "supervisor.rest",
            "a supervisor at rest",
            "instances",
            "% of a core",
            collect_points("supervisor"),
            "least",
            seed=seed,
        ),
        make_slope(
            "supervisor.memory",
            "a supervisor's resident memory",
            "instances",
            "MB",
            collect_points("memory"),
            seed=seed,
        ),
        make_slope(
            "supervisor.again",
            "a killed instance, to all ready again",
            "instances",
            "s",
            collect_points("again"),
            seed=seed,
        ),
        make_slope(
            "supervisor.instance",
            "an instance at rest, with membership",
            "instances",
            "% of a core",
            collect_points("instance"),
            "least",
            seed=seed,
        ),
        make_slope(
            "supervisor.resident",
            "an instance's resident memory, with membership",
            "instances",
            "MB",
            collect_points("resident"),
            seed=seed,
        ),
    ]
