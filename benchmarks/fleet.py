"""Runs a fleet of real daemons and their supervisor under open-loop load, with a sim server that has cold starts.

    python -m benchmarks.fleet --instances 40 --plot fleet.png
    python -m benchmarks.fleet --cold            twenty ingresses that start at once beside a small cold server
    python -m benchmarks.fleet --idle            memory and CPU of idle instances, with and without membership

Half of the instances start together with the cold server; then the other half at once, with the server cold again. Half
of them are killed with SIGKILL under load, one is stopped with SIGSTOP, all are restarted a few at a time, and the
supervisor is killed and replaced by a new one. Each message that was accepted by an instance which was not killed must
get exactly one response, and the arrivals at the cold server must never exceed its capacity in any window. Exits with 1
if either is violated.
"""

from __future__ import annotations

import argparse
import json
import math
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog
from rich.console import Console
from rich.progress import Progress

from benchmarks.daemon_process import ROOT, find_free_ports, read_cpu_seconds, read_resident_kb
from brackenpulley.control.client import ControlClient, ControlError
from brackenpulley.fleet.caller import Call
from brackenpulley.fleet.files import SharedConfig
from brackenpulley.fleet.process import find_processes
from brackenpulley.fleet.spec import load as load_spec
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.clients import Firm, Load, SentMessage
from brackenpulley.standins.cold import ColdServer
from brackenpulley.standins.servers import Counter, Discovery, SimServer
from brackenpulley.standins.settings import build_settings

PROBE_INTERVAL_S = 0.25  # between readiness probes of the router
TARGET_UTILIZATION = 0.75  # fraction of the capacity of the warm servers
# Cold start and overload of the sim servers as the wire protocol defines them, with shorter times than there.
COLD_FRACTION = 0.17  # of the full rate, right after a start
COLD_START_S = 12.0
OVERLOAD_FACTOR = 2.5
OVERLOAD_WINDOW_S = 3.0
MEMBERSHIP_KEY = "c29tZSBzZWNyZXQgb2YgMzIgYnl0ZXMgaGVyZSwgbm8="


class ReadinessRouter:
    """Probes /ready of all instances and keeps the load away from those that are not ready."""

    def __init__(self, loop: Loop, load: Load) -> None:
        self.loop, self.load = loop, load
        self.ready_ingresses: set[int] = set()
        self.load.unavailable_ingresses = set(range(len(load.ingresses)))
        self.is_running = True
        self._probe()

    def _probe(self) -> None:
        for index, address in enumerate(self.load.ingresses):
            Call(
                self.loop,
                address,
                "GET",
                "/ready",
                b"",
                PROBE_INTERVAL_S,
                lambda status, body, n=index: self._on_response(n, status),
            )
        if self.is_running:
            self.loop.call_in(PROBE_INTERVAL_S, self._probe)

    def _on_response(self, place: int, status: int) -> None:
        if status == 200:
            self.load.unavailable_ingresses.discard(place)
        else:
            self.load.unavailable_ingresses.add(place)


class Trial:
    """A folder, stand-in services, a load with a router, and a supervisor, which `start_supervisor` starts."""

    def __init__(
        self,
        instances: int,
        seed: int,
        rate: float,
        full: float,
        members: bool = False,
        watchdog: float = 3.0,
        warm: int = 0,
    ) -> None:
        self.instances, self.rng = instances, random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="bracken-fleet-"))
        self.clock = wall_clock()
        self.loop = Loop(self.clock, Metrics(), structlog.get_logger())
        # One server fewer than the load needs, so that the cold server gets load too.
        count = warm or max(2, math.ceil(rate / full / TARGET_UTILIZATION) - 1)
        self.servers: list[SimServer] = [
            ColdServer(self.loop, f"s-{n}", random.Random(seed + n), full, 1.0, 0.0, OVERLOAD_FACTOR, OVERLOAD_WINDOW_S)
            for n in range(count)
        ]
        self.cold = ColdServer(
            self.loop,
            "cold",
            random.Random(seed),
            full,
            COLD_FRACTION,
            COLD_START_S,
            OVERLOAD_FACTOR,
            OVERLOAD_WINDOW_S,
        )
        self.discovery, self.counter = Discovery(self.loop, [*self.servers, self.cold]), Counter(self.loop)
        ports = find_free_ports(2 * instances)
        self.addresses = [("127.0.0.1", port) for port in ports[:instances]]
        self.members = [f"127.0.0.1:{port}" for port in ports[instances:]] if members else []
        firms = [Firm(n + 1, "county", rate / 60, 3, n % instances) for n in range(60)]
        self.load = Load(self.loop, self.addresses, firms, self.rng)
        self.router = ReadinessRouter(self.loop, self.load)
        self.killed_periods: list[tuple[int, float, float]] = []  # instance, since, until
        self.marks: list[tuple[float, str]] = []
        self.cold_starts: list[dict[str, Any]] = []
        self.ready_counts: list[tuple[float, int]] = []
        self.supervisor: subprocess.Popen[bytes] | None = None
        self.fleet_file = self.folder / "fleet.toml"
        self._write_files(instances // 2 or 1, watchdog)
        self.control = ControlClient(f"unix:{self.folder}/run/supervisor.sock")

    def _write_files(self, count: int, watchdog: float) -> None:
        raw = build_settings(1)
        raw["Invariants"].update(
            ColdFrom=COLD_FRACTION, Cold=COLD_START_S, OverloadFactor=OVERLOAD_FACTOR, TipAfter=OVERLOAD_WINDOW_S
        )
        raw["Report"] = {"Via": "piggyback", "Fields": ["busy_reqs"]}
        for plan in raw["TiersOfService"]:
            plan.update(QuotaRate=1e6, Burst=1e6)
        (self.folder / "ingress.json").write_text(
            json.dumps(
                {
                    "discovery": self.discovery.listener.address_text,
                    "counter": self.counter.listener.address_text,
                    "settings": raw,
                }
            )
        )
        text = (
            f'[fleet]\nname = "trial"\nrun = "{self.folder}/run"\nconfig = "ingress.json"\n'
            f"instances = {count}\nlisten = {json.dumps([f'{h}:{p}' for h, p in self.addresses])}\n"
        )
        if self.members:
            (self.folder / "keys").write_text(MEMBERSHIP_KEY + "\n")
            (self.folder / "keys").chmod(0o600)
            (self.folder / "operator.toml").write_text(
                f'[members]\nfleet = "trial"\nlisten = "{{member}}"\nseeds = [{{seeds}}]\nkeys = "{self.folder}/keys"\n'
            )
            text += f'operator = "operator.toml"\nmembers = {json.dumps(self.members)}\n'
        text += (
            "[start]\nready_s = 30.0\nat_once = 100\n[stop]\nnotice_s = 1.0\ndeadline_s = 10.0\n"
            f"[watch]\nwatchdog_s = {watchdog}\n[restart]\ncrashes = 10\n"
        )
        self.fleet_file.write_text(text)

    def mark_step(self, description: str) -> None:
        """Records the time at which a step begins."""
        self.marks.append((self.clock(), description))

    def start_supervisor(self) -> None:
        """Starts a supervisor for the fleet file."""
        log = open(self.folder / "log", "ab")
        self.supervisor = subprocess.Popen(
            [sys.executable, "-m", "brackenpulley", "fleet", "run", str(self.fleet_file)],
            cwd=ROOT,
            stdout=log,
            stderr=log,
        )
        log.close()

    def call_supervisor(self, method: str, path: str, body: Any = None) -> Any:
        """Calls the supervisor. Blocking is short, since its answer does not depend on this process's event loop."""
        return self.control.call(method, path, body)

    def read_status(self) -> dict[str, Any]:
        """Returns the status of the fleet, which is empty while no supervisor answers."""
        try:
            status: dict[str, Any] = self.call_supervisor("GET", "/v1/fleet")
        except ControlError:
            return {"ready": 0, "places": [], "rolling": None}
        self.ready_counts.append((self.clock(), status["ready"]))
        return status

    def wait_until(self, condition: Callable[[dict[str, Any]], bool], timeout_s: float, description: str) -> float:
        """Runs the loop until the condition on the status holds; returns the seconds taken, or raises TimeoutError."""
        started_at = time.monotonic()
        while True:
            status = self.read_status()
            if condition(status):
                return time.monotonic() - started_at
            if time.monotonic() - started_at > timeout_s:
                rows = [(r["instance"], r["state"], r["why"]) for r in status["places"] if r["state"] != "ready"]
                raise TimeoutError(f"{description}: not within {timeout_s:g} s: {rows[:5]}")
            self.run_for(0.1)

    def run_for(self, seconds: float) -> None:
        """Runs the event loop for that long."""
        end = time.monotonic() + seconds
        while (remaining := end - time.monotonic()) > 0:
            self.loop.run_once(min(remaining, 0.02))

    def wait_all_ready(self, count: int, timeout_s: float, description: str) -> float:
        """Waits until the fleet has `count` instances, all ready; returns the seconds taken."""
        return self.wait_until(lambda s: s["ready"] == count and len(s["places"]) == count, timeout_s, description)

    def restart_cold_server(self, description: str) -> None:
        """Starts the cold server anew, after recording the figures of its previous start."""
        self.record_cold_start()
        self.cold.start()
        self.cold.max_overload_ratio, self.cold.arrival_times = 0.0, []
        self.discovery.set_state(self.cold, "SERVING")
        self.cold_starts.append({"what": description, "at": self.clock()})

    def record_cold_start(self) -> None:
        """Records the figures of the latest start of the cold server, once."""
        if self.cold_starts and "worst" not in self.cold_starts[-1]:
            self.cold_starts[-1].update(
                worst=round(self.cold.max_overload_ratio, 3),
                arrivals=len(self.cold.arrival_times),
                fell=self.cold.is_down,
                seen=list(self.cold.arrival_times),
            )

    def kill(self, places: list[int]) -> None:
        """Sends SIGKILL to the instances, all within a few milliseconds."""
        pids = {row["instance"]: row["pid"] for row in self.read_status()["places"]}
        at = self.clock()
        for place in places:
            os.kill(pids[place], signal.SIGKILL)
        self.killed_periods += [(place, at, math.inf) for place in places]

    def mark_recovered(self, places: list[int]) -> None:
        """Counts the messages that these killed instances accept from now on."""
        now = self.clock()
        self.killed_periods = [(p, a, now if p in places and b == math.inf else b) for p, a, b in self.killed_periods]

    def find_faults(self) -> list[str]:
        """Describes the messages that a living instance accepted and that did not get exactly one response."""

        def is_lost(message: SentMessage) -> bool:
            return any(
                place == message.ingress and message.sent_at < until and message.ended_at >= since - 0.01
                for place, since, until in self.killed_periods
            )

        origin = self.marks[0][0]
        return [
            f"message {message.id}: accepted by instance {message.ingress} at {message.sent_at - origin:.2f} s, "
            f"{message.answer_count} responses, ended at {message.ended_at - origin:.2f} s"
            for message in self.load.messages
            if message.is_written and message.answer_count != 1 and not is_lost(message)
        ]

    def close(self) -> None:
        """Ends the supervisor and kills all instances that are left, whatever went wrong before."""
        self.router.is_running = False
        self.load.close()
        if self.supervisor is not None and self.supervisor.poll() is None:
            self.supervisor.terminate()
            try:
                self.supervisor.wait(30)
            except subprocess.TimeoutExpired:
                self.supervisor.kill()
        for process in find_processes(self.folder / "run"):
            os.kill(process.pid, signal.SIGKILL)
        for listener in (
            self.discovery.listener,
            self.counter.listener,
            *(s.listener for s in self.servers),
            self.cold.listener,
        ):
            listener.stop()
        self.loop.close()


def run_trial(
    instances: int = 40,
    seed: int = 3,
    rate: float = 0.0,
    full: float = 40.0,
    pause: float = 4.0,
    members: bool = False,
    quiet: bool = False,
    plot: str = "",
    at_once: int = 0,
) -> dict[str, Any]:
    """Runs all steps and returns the report."""
    trial = Trial(instances, seed, rate or 8.0 * instances, full, members)
    half_count, results = instances // 2, {}
    steps = (
        "half start cold",
        "the other half at once",
        "half killed",
        "one stopped",
        "all restarted",
        "supervisor killed",
        "end",
    )
    try:
        with Progress(console=Console(stderr=True), disable=quiet) as progress:
            task = progress.add_task("fleet", total=len(steps))

            def step(name: str) -> None:
                trial.mark_step(name)
                progress.update(task, description=name, advance=1)

            step(steps[0])
            trial.load.start()  # clients send before the fleet is ready
            trial.start_supervisor()
            trial.restart_cold_server(steps[0])
            results["halfReadySeconds"] = trial.wait_all_ready(half_count, 60, "start")
            trial.run_for(pause)
            step(steps[1])
            trial.call_supervisor("POST", "/v1/fleet/scale", {"instances": instances})
            trial.restart_cold_server(steps[1])
            results["allReadySeconds"] = trial.wait_all_ready(instances, 60, "scale")
            trial.run_for(pause)
            step(steps[2])
            victims = sorted(trial.rng.sample(range(instances), half_count))
            trial.kill(victims)
            trial.restart_cold_server(steps[2])
            trial.run_for(0.3)
            results["halfBackSeconds"] = trial.wait_all_ready(instances, 60, "back after SIGKILL")
            trial.run_for(2 * PROBE_INTERVAL_S)
            trial.mark_recovered(victims)
            trial.run_for(pause)
            step(steps[3])
            stopped = trial.rng.randrange(instances)
            pid = next(r["pid"] for r in trial.read_status()["places"] if r["instance"] == stopped)
            trial.killed_periods.append((stopped, trial.clock(), math.inf))
            os.kill(pid, signal.SIGSTOP)
            results["stoppedSeenSeconds"] = trial.wait_until(
                lambda s: any(r["instance"] == stopped and r["pid"] not in (pid,) for r in s["places"]), 30, "watchdog"
            )
            trial.wait_all_ready(instances, 60, "back after SIGSTOP")
            trial.run_for(2 * PROBE_INTERVAL_S)
            trial.mark_recovered([stopped])
            step(steps[4])
            previous_lives = {r["instance"]: r["life"] for r in trial.read_status()["places"]}
            trial.call_supervisor("POST", "/v1/fleet/restart", {"atOnce": at_once or max(1, instances // 5)})
            results["rollingSeconds"] = trial.wait_until(
                lambda s: bool(s["rolling"] and s["rolling"]["over"]), 180, "restart"
            )
            rolled = trial.read_status()
            results["rolled"] = sum(r["life"] == previous_lives[r["instance"]] + 1 for r in rolled["places"])
            results["rollingFailed"] = rolled["rolling"]["failed"]
            step(steps[5])
            assert trial.supervisor is not None
            previous = {r["instance"]: r["pid"] for r in trial.read_status()["places"]}
            trial.supervisor.kill()
            trial.supervisor.wait()
            trial.run_for(1.0)
            trial.start_supervisor()
            trial.wait_until(lambda s: s["ready"] == instances, 60, "taken over")
            status_after = trial.read_status()
            results["adopted"] = sum(
                r["adopted"] and r["pid"] == previous[r["instance"]] for r in status_after["places"]
            )
            trial.run_for(1.0)
            step(steps[6])
            trial.load.stop()
            end = time.monotonic() + 15
            while trial.load.in_flight and time.monotonic() < end:
                trial.run_for(0.05)
            trial.record_cold_start()
            results["health"] = [r["health"] for r in trial.read_status()["places"]][:3]
            trial.supervisor.terminate()
            results["exit"] = trial.supervisor.wait(30)
            results["orphans"] = len(find_processes(trial.folder / "run"))
        faults = trial.find_faults()
        faults += [f"{n} messages answered with 400" for n in [sum(t.status == 400 for t in trial.load.messages)] if n]
        faults += [
            f"cold server, {c['what']}: {c['worst']:.2f} of its capacity" for c in trial.cold_starts if c["fell"]
        ]
        for name, wanted in (
            ("rolled", instances),
            ("adopted", instances),
            ("orphans", 0),
            ("exit", 0),
            ("rollingFailed", None),
        ):
            if results[name] != wanted:
                faults.append(f"{name}: {results[name]}, expected {wanted}")
        statuses = [message.status for message in trial.load.messages]
        results = {
            "instances": instances,
            **{k: round(v, 2) if isinstance(v, float) else v for k, v in results.items()},
            "tries": len(statuses),
            "served": statuses.count(200),
            "refused": statuses.count(429) + statuses.count(503),
            "failed": statuses.count(502),
            "misread": statuses.count(400),
            "unanswered": statuses.count(0),
            "takenUnanswered": sum(t.is_written and not t.answer_count for t in trial.load.messages),
            "cold": [{k: v for k, v in c.items() if k not in ("seen", "at")} for c in trial.cold_starts],
            "faults": faults,
        }
        if plot:
            draw_plot(trial, plot)
        return results
    finally:
        trial.close()


def run_cold_start(
    instances: int,
    seed: int,
    believed_count: int = 0,
    reports: bool = False,
    starts: int = 1,
    small: float = 4.0,
    warm: float = 0.0,
    load: float = 40.0,
    seconds: float = 9.0,
) -> dict[str, Any]:
    """Starts all instances at the same instant as a small cold server and measures its overload.

    Beside it is one warm server that cannot take the whole load, or none if `warm` is 0. With `believed_count`, the
    ingresses have no supervisor and their settings name that many ingresses. With `reports`, they use the load reports
    of the server. `worst` in the report has, for each of `starts` starts of the server, the highest ratio of arrivals
    in a window to its capacity.
    """
    trial = Trial(2 * instances, seed, load, small, warm=1)
    if warm:
        trial.servers[0].full = warm  # type: ignore[attr-defined]
        trial.cold.weight = small / warm
    else:
        trial.servers[0].listener.stop()
        trial.discovery.servers.remove(trial.servers.pop())
    processes: list[subprocess.Popen[bytes]] = []
    results = []
    try:
        trial.load.firms = [Firm(n + 1, "county", load / instances, 1, n) for n in range(instances)]
        trial.load.start()
        if believed_count:
            trial.load.ingress_count = believed_count
            base = SharedConfig.read(load_spec(str(trial.fleet_file)))
            (trial.folder / "run").mkdir()
            with open(trial.folder / "log", "ab") as log:
                for number in range(instances):
                    base.write_instance_files(number, instances)
                    path = trial.folder / "run" / f"{number}.json"
                    raw = json.loads(path.read_text())
                    raw["settings"].update(NInstances=believed_count, MyNumber=number % believed_count)
                    path.write_text(json.dumps(raw))
                    env = {**os.environ, **({"BALANCER_CONTROL": f"unix:{path}.sock"} if reports else {})}
                    processes.append(
                        subprocess.Popen(
                            [sys.executable, "-m", "brackenpulley", "serve", "--config", str(path)],
                            cwd=ROOT,
                            stdout=log,
                            stderr=log,
                            env=env,
                        )
                    )
        else:
            trial.start_supervisor()
        trial.restart_cold_server("start")
        end = time.monotonic() + 30
        while len(trial.router.load.unavailable_ingresses) > 1.02 * instances and time.monotonic() < end:
            trial.run_for(0.05)
        for number in range(starts):
            trial.restart_cold_server(f"start {number + 1}")
            trial.run_for(seconds)
            trial.record_cold_start()
            results.append(trial.cold_starts[-1]["worst"])
        return {
            "instances": instances,
            "believe": believed_count or "told",
            "reports": reports,
            "worst": results,
            "fell": sum(c["fell"] for c in trial.cold_starts),
            "arrivals": [c["arrivals"] for c in trial.cold_starts[1:]],
            "served": sum(t.status == 200 for t in trial.load.messages),
            "refused": sum(t.status in (429, 503) for t in trial.load.messages),
            "failed": sum(t.status == 502 for t in trial.load.messages),
            "tries": len(trial.load.messages),
        }
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait(20)
        trial.close()


def draw_plot(trial: Trial, path: str) -> None:
    """Plots ready instances, responses per second, and arrivals at the cold server against its capacity over time."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    origin = trial.marks[0][0]
    figure, (top, middle, bottom) = pyplot.subplots(3, 1, figsize=(12, 9), sharex=True)
    top.step(
        [t - origin for t, _ in trial.ready_counts], [n for _, n in trial.ready_counts], where="post", color="tab:blue"
    )
    top.set_ylabel("instances ready")
    seconds = int(trial.marks[-1][0] - origin) + 1
    for name, wanted, colour in (
        ("served", (200,), "tab:green"),
        ("refused", (429, 503), "tab:orange"),
        ("no response", (0,), "tab:red"),
    ):
        counts = [0] * (seconds + 20)
        for message in trial.load.messages:
            if message.status in wanted:
                counts[min(seconds + 19, int(message.ended_at - origin))] += 1
        middle.plot(counts[:seconds], label=name, color=colour)
    middle.set_ylabel("messages ended per second")
    middle.legend(loc="upper left")
    for cold in trial.cold_starts:
        started_at = cold["at"]
        times = [started_at + n * 0.25 for n in range(int(4 * COLD_START_S))]
        capacities = [
            OVERLOAD_FACTOR
            * OVERLOAD_WINDOW_S
            * trial.cold.warm_rate
            * (COLD_FRACTION + (1 - COLD_FRACTION) * max(0.0, t - OVERLOAD_WINDOW_S / 2 - started_at) / COLD_START_S)
            for t in times
        ]
        arrival_counts = [sum(t - OVERLOAD_WINDOW_S < a <= t for a in cold.get("seen", [])) for t in times]
        bottom.plot(
            [t - origin for t in times],
            capacities,
            color="tab:red",
            label="capacity" if cold is trial.cold_starts[0] else None,
        )
        bottom.plot(
            [t - origin for t in times],
            arrival_counts,
            color="tab:blue",
            label="arrivals" if cold is trial.cold_starts[0] else None,
        )
    bottom.set_ylabel(f"cold server, per {OVERLOAD_WINDOW_S:g} s")
    bottom.legend(loc="upper left")
    bottom.set_xlabel("s")
    for axis in (top, middle, bottom):
        for at, description in trial.marks[:-1]:
            axis.axvline(at - origin, color="grey", linewidth=0.7)
            if axis is top:
                axis.text(at - origin, trial.instances * 0.03, " " + description, rotation=90, fontsize=8, va="bottom")
    figure.suptitle(f"{trial.instances} instances, one supervisor")
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def measure_process(pid: int) -> tuple[float, int]:
    """Returns the CPU time in seconds that a process has used and its resident memory in KB."""
    return read_cpu_seconds(pid), read_resident_kb(pid)


def measure_idle(instances: int, seconds: float) -> dict[str, Any]:
    """Measures idle instances of fleets without and with membership, and single daemons, all at the same time."""
    from benchmarks.ledger_cost import Process

    fleets = [Trial(instances, 1, 0.0, 40.0, members) for members in (False, True)]
    single_daemons = [
        Process(
            fleets[0].folder,
            f"lone-{n}",
            port,
            fleets[0].discovery.listener.address_text,
            fleets[0].counter.listener.address_text,
            "",
        )
        for n, port in enumerate(find_free_ports(4))
    ]
    try:
        for trial in fleets:
            trial.start_supervisor()

        def run_all_for(duration_s: float) -> None:
            end = time.monotonic() + duration_s
            while time.monotonic() < end:
                for trial in fleets:
                    trial.loop.run_once(0.01)

        run_all_for(3.0)
        for trial in fleets:
            trial.call_supervisor("POST", "/v1/fleet/scale", {"instances": instances})
        run_all_for(10.0)
        for trial in fleets:
            trial.router.is_running = False
        pids_by_kind = {"lone": [daemon.process.pid for daemon in single_daemons]}
        for name, trial in zip(("fleet", "members"), fleets, strict=True):
            pids_by_kind[name] = [r["pid"] for r in trial.read_status()["places"] if r["state"] == "ready"]
            pids_by_kind["supervisor of " + name] = [trial.supervisor.pid] if trial.supervisor else []
        previous = {name: [measure_process(pid) for pid in pids] for name, pids in pids_by_kind.items()}
        run_all_for(seconds)
        results: dict[str, Any] = {"instances": instances, "seconds": seconds}
        for name, pids in pids_by_kind.items():
            now = [measure_process(pid) for pid in pids]
            cpu_fraction = sum(a[0] - b[0] for a, b in zip(now, previous[name], strict=True)) / len(pids) / seconds
            results[name] = {
                "cpuPercent": round(100 * cpu_fraction, 3),
                "residentMb": round(sum(a[1] for a in now) / len(pids) / 1024, 1),
            }
        for name in ("fleet", "members"):
            results[f"{name}ToLone"] = {
                key: round(results[name][key] / max(1e-9, results["lone"][key]), 2)
                for key in ("cpuPercent", "residentMb")
            }
        return results
    finally:
        for daemon in single_daemons:
            daemon.process.terminate()
        for trial in fleets:
            trial.close()


def main() -> int:
    """Runs the command line and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--instances", type=int, default=40)
    parser.add_argument("--seed", type=int, default=3)
    parser.add_argument("--rate", type=float, default=0.0, help="messages per second; 0 = 8 per instance")
    parser.add_argument("--full", type=float, default=40.0, help="relays per second of the cold server when warm")
    parser.add_argument("--members", action="store_true", help="enable membership between the instances")
    parser.add_argument("--idle", action="store_true")
    parser.add_argument(
        "--cold", action="store_true", help="start twenty ingresses at once, configured as three and as twenty"
    )
    parser.add_argument("--seconds", type=float, default=20.0, help="duration of --idle")
    parser.add_argument("--plot", default="", help="file for a plot of the run")
    parser.add_argument("--json", default="", help="file for the report")
    options = parser.parse_args()
    if options.cold:
        report = {
            "pairs": [
                run_cold_start(20, options.seed, believed_count, reports, starts=5)
                for believed_count, reports in ((3, False), (3, True), (0, True))
            ]
        }
        report["faults"] = [
            f"the cold server failed {pair['fell']} times" for pair in report["pairs"][2:] if pair["fell"]
        ]
    elif options.idle:
        report = measure_idle(min(options.instances, 12), options.seconds)
    else:
        report = run_trial(
            options.instances, options.seed, options.rate, options.full, members=options.members, plot=options.plot
        )
    text = json.dumps(report, indent=1)
    print(text)
    if options.json:
        Path(options.json).write_text(text + "\n")
    return 1 if report.get("faults") else 0


if __name__ == "__main__":
    raise SystemExit(main())
