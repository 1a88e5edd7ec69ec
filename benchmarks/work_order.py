"""Maintenance of machines by real ingress processes under network faults, crashes, pauses and restarts.

    python -m benchmarks.work_order --seconds 60 [--instances 5] [--machines 6] [--seed 1] [--json]

Each ingress is a process; the first three are voters (five in fleets of nine or more). A network proxy (standins/links)
between every ordered pair of processes cuts, stalls, delays or drops traffic by a schedule drawn from the seed;
processes get SIGKILL (with the disk kept or lost), SIGSTOP and SIGCONT. Simulated operators request maintenance from
any live process, workers begin permits that are clear and finish them, and clients send messages throughout. The sim
servers record relays that reach a machine under maintenance. Exits 1 if a bound is exceeded:

    machines out beyond the limit, in total or in a zone    0
    two tokens in use for one machine                       0
    new relays over 1 s after the sender saw the clearing   0
    work on a machine that was not clear                    0
    permits not done 10 s after a quorum is connected       0
    messages accepted and not answered                      0, except those in flight in a killed process and those
                                                            whose client left while the process was stopped
    median time from a leader's death to the next grant     3 s

The fleet and its processes are also used by rolling_drains and configuration_processes."""

from __future__ import annotations

import argparse
import base64
import json
import os
import random
import shutil
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import Any

import structlog

from benchmarks.daemon_process import read_cpu_seconds, read_resident_kb, start_daemon
from brackenpulley.fleet.caller import Call
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.simulation.script import Fault, draw_faults, parse
from brackenpulley.standins.clients import Firm, Load
from brackenpulley.standins.links import LinkProxies
from brackenpulley.standins.servers import Counter, Discovery, SimServer
from brackenpulley.standins.settings import build_settings

MAX_MACHINES_OUT = 2
MAX_MACHINES_OUT_IN_ZONE = 1
SETTLE_SECONDS = 1.0
MAX_LATE_RELAY_SECONDS = 1.0  # after the sender saw the clearing
# A message must be answered once its ingress and this process have both run for this long.
ANSWER_SECONDS = 0.5
PAUSE_THRESHOLD_SECONDS = 0.1  # a longer turn of the loop means that this process was not scheduled
MAX_MEDIAN_GRANT_SECONDS = 3.0
MAX_IDLE_CPU_RATIO = 1.5  # against membership alone
MESSAGES_PER_SECOND = 40.0  # over all ingresses
ZONES = ("hall-a", "hall-b", "hall-c")


def find_free_ports(host: str, count: int) -> list[int]:
    """Returns distinct free ports of a host; a port free on 127.0.0.1 may be taken on another loopback address."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [int(listener.getsockname()[1]) for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


def running_seconds(begin: float, end: float, pauses: list[tuple[float, float]]) -> float:
    """Returns the seconds of an interval outside all pauses; pauses may overlap."""
    total, covered_until = end - begin, begin
    for start, stop in sorted(pauses):
        start, stop = max(start, covered_until), min(stop, end)
        if stop > start:
            total, covered_until = total - (stop - start), stop
    return total


class Process:
    """One ingress process with its files, addresses and latest status."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"n{number}"
        # A loopback address per process and run: on 127.0.0.1 a port found free may be taken by any outgoing
        # connection before the process starts.
        self.host = f"127.{10 + number // 200}.{1 + number % 200}.{1 + os.getpid() % 250}"
        control_port, listen_port, members_port = find_free_ports(self.host, 3)
        self.control_address, self.listen_address = (self.host, control_port), (self.host, listen_port)
        self.members_address = fleet.relays.add(self.name, (self.host, members_port))
        self.popen: subprocess.Popen[bytes] | None = None
        self.is_stopped = False
        self.pauses: list[tuple[float, float]] = []  # (start, end) while stopped; end is inf until SIGCONT
        self.status: dict[str, Any] = {}
        self.start_count = 0

    @property
    def folder(self) -> Path:
        """Directory of its configuration, disk and log."""
        return self.fleet.folder / self.name

    def write_files(self) -> None:
        """Writes its settings; seeds and voters are known only once all processes have addresses."""
        fleet = self.fleet
        self.folder.mkdir()
        policy_settings = build_settings(fleet.size, self.number)
        for plan in policy_settings["TiersOfService"]:
            plan.update(QuotaRate=1e6, Burst=1e6)
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{self.listen_address[0]}:{self.listen_address[1]}",
                    "discovery": fleet.discovery.listener.address_text,
                    "counter": fleet.counter.listener.address_text,
                    "settings": policy_settings,
                }
            )
        )
        seeds = [process.members_address for process in fleet.processes[:3]]
        voters = "\n".join(
            f'{process.name} = "{process.members_address}"' for process in fleet.processes[: fleet.voter_count]
        )
        disk = f'path = "{self.folder}/log"\n' if self.number < fleet.voter_count else ""
        consensus_text = (
            f"[consensus]\n{disk}[consensus.voters]\n{voters}\n"
            f"[maintenance]\nout = {MAX_MACHINES_OUT}\nzone = {MAX_MACHINES_OUT_IN_ZONE}\n"
            f"reserve = 0.0\nsettle_s = {SETTLE_SECONDS}\nlate_s = 120.0\n"
        )
        (self.folder / "operator.toml").write_text(
            f'[control]\nlisten = "{self.control_address[0]}:{self.control_address[1]}"\n'
            f'[members]\nfleet = "trial"\nlisten = "{self.host}:{self.fleet.relays.process_addresses[self.name][1]}"\n'
            f'advertise = "{self.members_address}"\nseeds = {json.dumps(seeds)}\nkeys = "{fleet.folder}/keys"\n'
            + (consensus_text if fleet.has_consensus else "")
            + fleet.operator_extra
        )

    def read_usage(self) -> tuple[float, int]:
        """Returns CPU seconds used so far and resident memory in KB."""
        assert self.popen is not None
        return read_cpu_seconds(self.popen.pid), read_resident_kb(self.popen.pid)

    def start(self, how: str = "kept") -> None:
        """Starts the process unless it runs; `how` is the state of its disk, kept or lost."""
        if self.popen is not None and self.popen.poll() is None:
            return
        if how == "lost" and self.fleet.may_lose_disk(self):
            shutil.rmtree(self.folder / "log", ignore_errors=True)
        self.start_count += 1
        self.status = {}  # what is known is of the life before
        self.popen = start_daemon(
            self.folder / "config.json",
            self.folder / "operator.toml",
            self.folder / "log.txt",
            BRACKENPULLEY_CLOCK=repr(self.fleet.offset),
        )
        self.is_stopped = False

    def kill(self) -> None:
        """Sends SIGKILL and waits for the exit."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()
            self.fleet.killed.append((time.monotonic(), self.number))
            self.status = {}

    def signal(self, number: int) -> None:
        """Sends a signal if the process runs and records pauses by SIGSTOP and SIGCONT."""
        if self.popen is not None and self.popen.poll() is None:
            os.kill(self.popen.pid, number)
            if number == signal.SIGSTOP and not self.is_stopped:
                self.pauses.append((time.monotonic(), inf))
            elif number == signal.SIGCONT and self.is_stopped:
                self.pauses[-1] = (self.pauses[-1][0], time.monotonic())
            self.is_stopped = number == signal.SIGSTOP

    def call(self, method: str, path: str, body: Any, done: Callable[[int, Any], None], timeout: float = 5.0) -> None:
        """Calls its control API; `done` gets status and decoded body, or status 0 on failure or invalid JSON."""

        def on_response(status: int, data: bytes) -> None:
            try:
                done(status, json.loads(data) if status else {})
            except ValueError:
                done(0, {})

        Call(
            self.fleet.loop,
            self.control_address,
            method,
            path,
            json.dumps(body).encode() if body else b"",
            timeout,
            on_response,
        )


class Fleet:
    """Ingress processes, sim servers, clients and network proxies of one trial, with the checks of its bounds."""

    def __init__(
        self,
        size: int,
        seed: int,
        machines: int,
        has_consensus: bool = True,
        operator_extra: str = "",
        rate: float = MESSAGES_PER_SECOND,
        mean_service_seconds: float = 0.02,
    ) -> None:
        """Creates all parts and files; start the processes one by one.

        `has_consensus` adds consensus and maintenance to membership, `operator_extra` is appended to the operator's
        file, `mean_service_seconds` is the mean service time of a relay."""
        self.has_consensus, self.operator_extra = has_consensus, operator_extra
        self.size, self.rng, self.voter_count = size, random.Random(seed), 5 if size >= 9 else 3
        self.folder = Path(tempfile.mkdtemp(prefix="bracken-work-"))
        (self.folder / "keys").write_text(base64.b64encode(b"w" * 32).decode() + "\n")
        (self.folder / "keys").chmod(0o600)
        self.offset = time.time() - time.monotonic()  # shared by all, to compare times in the log with ours
        self.clock = lambda: time.monotonic() + self.offset
        self.loop = Loop(self.clock, Metrics(), structlog.get_logger())
        self.relays = LinkProxies(self.loop, seed)
        self.servers = [
            SimServer(self.loop, f"s-{n}", random.Random(seed + n), mean_service_seconds) for n in range(machines)
        ]
        self.discovery, self.counter = Discovery(self.loop, self.servers), Counter(self.loop)
        rows = self.discovery._list_instances
        self.discovery._list_instances = (
            lambda servers: [  # type: ignore[method-assign]
                {**row, "zone": ZONES[int(str(row["instanceId"])[2:]) % 3]} for row in rows(servers)
            ]
        )
        self.processes: list[Process] = []
        for number in range(size):
            self.processes.append(Process(self, number))
        for process in self.processes:
            process.write_files()
        firms = [Firm(n + 1, "county", rate / 20, size, 0) for n in range(20)]
        self.load = Load(self.loop, [process.listen_address for process in self.processes], firms, self.rng)
        self.killed: list[tuple[float, int]] = []
        self.violations: list[str] = []
        # (start, end) when this process, with clients and servers, was not scheduled.
        self.pauses: list[tuple[float, float]] = []
        self.jobs: dict[str, dict[str, Any]] = {}  # latest row of each permit
        self.index = 0
        # By machine, token and ingress: when that ingress first reported the clearing.
        self.clearing_reported_at: dict[tuple[str, int, int], float] = {}
        self.begun_permits: set[tuple[str, int]] = set()
        self.worked_permits: set[tuple[str, int]] = set()
        # Relays to a server that is out: (server, machine, token, when its sender reported the clearing, arrival).
        self.arrivals_while_out: list[tuple[str, str, int, float, float]] = []
        # By machine and token: time of the log entry that returned the machine.
        self.returned_at: dict[tuple[str, int], float] = {}
        self.tokens_under_work: dict[str, int] = {}  # token by server under work
        self.grant_delays: list[float] = []  # seconds from a leader's death to the next token
        self._leader_killed_at = 0.0
        self.leader = ""
        self.is_polling = True

    def find_process(self, name: str) -> Process:
        """Returns the process of that name; `leader` is the current leader."""
        return next(
            process for process in self.processes if process.name == (self.leader if name == "leader" else name)
        )

    def may_lose_disk(self, voter: Process) -> bool:
        """Reports whether all other voters take part and have verified their disks."""
        others = [
            process.status.get("agreement", {})
            for process in self.processes[: self.voter_count]
            if process is not voter
        ]
        return all(row.get("proved") and row.get("role") in ("leader", "follower") for row in others)

    # Polling of the processes.

    def start_polling(self) -> None:
        """Starts polling status and permits of every process."""
        for process in self.processes:
            self._poll(process)

    def _poll(self, process: Process) -> None:
        if not self.is_polling:
            return

        start_count = process.start_count

        def on_status(status: int, body: Any) -> None:
            if process.start_count != start_count:  # the answer of a life that has ended meanwhile
                self._poll(process)
            elif status == 200:
                process.status = body
                agreed = body.get("agreement", {})
                if agreed.get("role") == "leader" and agreed.get("current"):
                    self.leader = process.name
                process.call("GET", "/v1/work", None, on_permits)
            else:
                self.loop.call_in(0.15, lambda: self._poll(process))

        def on_permits(status: int, body: Any) -> None:
            if status == 200:
                self._record_permits(process, body["index"], body["machines"])
            self.loop.call_in(0.15, lambda: self._poll(process))

        process.call("GET", "/v1/status", None, on_status, 2.0)

    def _record_permits(self, process: Process, index: int, rows: list[dict[str, Any]]) -> None:
        now = time.monotonic()
        for row in rows:
            if row["state"] == "clearing" and row["token"]:
                self.clearing_reported_at.setdefault((row["id"], row["token"], process.number), now)
            elif row["state"] == "returning":
                self.returned_at[row["id"], row["token"]] = row["since"] - self.offset
            elif row["state"] == "done":
                # A return that was not observed was agreed at least the settling time earlier.
                self.returned_at.setdefault((row["id"], row["token"]), row["since"] - self.offset - SETTLE_SECONDS)
        if index < self.index:
            return
        self.index = index
        out_rows = [row for row in rows if row["state"] in ("clearing", "clear", "at work", "returning", "stuck")]
        zones = [row["zone"] for row in out_rows]
        if (
            len(out_rows) > MAX_MACHINES_OUT
            or max([0, *(zones.count(zone) for zone in zones)]) > MAX_MACHINES_OUT_IN_ZONE
        ):
            self.violations.append(
                f"too many machines out: {[(row['id'], row['state'], row['zone']) for row in out_rows]}"
            )
        for row in rows:
            old = self.jobs.get(row["id"])
            if old is not None and row["token"] < old["token"]:
                self.violations.append(f"{row['id']}: token {row['token']} after {old['token']}")
            if old is not None and row["token"] > old["token"] and self._leader_killed_at:
                self.grant_delays.append(now - self._leader_killed_at)
                self._leader_killed_at = 0.0
            self.jobs[row["id"]] = row

    # Simulated operators and workers.

    def post_until(self, path: str, body: Any, done: Callable[[], bool]) -> None:
        """Posts to a random live process again and again until `done` holds."""
        if done() or not self.is_polling:
            return
        running = [
            process
            for process in self.processes
            if not process.is_stopped and process.popen and process.popen.poll() is None
        ]
        retry = lambda status, answer: self.loop.call_in(0.2, lambda: self.post_until(path, body, done))  # noqa: E731
        if running:
            self.rng.choice(running).call("POST", path, body, retry)
        else:
            retry(0, None)

    def request_work(self, number: int) -> None:
        """Requests maintenance of one machine, which is one sim server."""
        name = f"h{number}"
        self.post_until(
            "/v1/work",
            {"id": name, "by": "trial", "servers": [f"s-{number}"], "zone": ZONES[number % 3], "urgency": number % 2},
            lambda: name in self.jobs,
        )

    def run_workers(self) -> None:
        """Begins clear permits and works on those begun; runs again every 0.1 s."""
        for name, row in list(self.jobs.items()):
            if not row["servers"]:
                continue  # permit of an ingress: see cycle_ingress
            server = row["servers"][0]
            if row["state"] == "clear" and (name, row["token"]) not in self.begun_permits:
                self.begun_permits.add((name, row["token"]))
                self.post_until(
                    f"/v1/work/{name}/begin",
                    {"token": row["token"]},
                    lambda name=name: self.jobs[name]["state"] != "clear",
                )  # type: ignore[misc]
            elif row["state"] == "at work" and (name, row["token"]) not in self.worked_permits:
                self.worked_permits.add((name, row["token"]))
                self._occupy_server(name, server, row["token"])
        if self.is_polling:
            self.loop.call_in(0.1, self.run_workers)

    def _occupy_server(self, name: str, server: str, token: int) -> None:
        """Marks the server as under work for 0.8 s, in which no relay may reach it; then finishes the permit."""
        self.tokens_under_work[server] = token

        def finish() -> None:
            self.tokens_under_work.pop(server, None)
            self.post_until(f"/v1/work/{name}/finish", {"token": token}, lambda: self.jobs[name]["state"] != "at work")

        self.loop.call_in(0.8, finish)

    def record_arrivals(self) -> None:
        """Makes the sim servers record every relay that reaches them while they are out."""
        for server in self.servers:

            def script(rng: random.Random, server: SimServer = server) -> str:
                now = time.monotonic()
                if server.name in self.tokens_under_work:
                    self.violations.append(f"{server.name} got a relay while under work")
                row = self.jobs.get("h" + server.name[2:])
                if row is not None and row["state"] in ("clearing", "clear", "at work"):
                    sender = next(
                        (
                            message.ingress
                            for message in reversed(self.load.messages)
                            if message.id == server.current_message_id
                        ),
                        -1,
                    )
                    reported_at = self.clearing_reported_at.get((row["id"], row["token"], sender), now)
                    self.arrivals_while_out.append((server.name, row["id"], row["token"], reported_at, now))
                return "ok"

            server.script = script

    def longest_late_arrivals(self) -> dict[str, float]:
        """Returns by server the longest delay in seconds from the sender's report of the clearing to a relay.

        Relays after the agreed time of return (that of the log entry) don't count: senders learn of the return before
        this process polls it, and longer before if this process was not scheduled. A machine whose return was not
        observed counts as out for good."""
        delays: dict[str, float] = {}
        for server, name, token, reported_at, arrived_at in self.arrivals_while_out:
            if arrived_at < self.returned_at.get((name, token), inf):
                delays[server] = max(delays.get(server, 0.0), arrived_at - reported_at)
        return delays

    # Faults.

    def inject(self, fault: Fault) -> None:
        """Injects one fault of the schedule."""
        arguments, links = fault.arguments, self.relays.links
        if fault.action == "heal":
            links.heal()
            links.default = type(links.default)(delay=0.0, jitter=0.0)
        elif fault.action in ("loss", "double"):
            probability = float(arguments[1])
            links.default = type(links.default)(
                0.0,
                0.0,
                probability if fault.action == "loss" else 0.0,
                probability if fault.action == "double" else 0.0,
            )
        elif fault.action == "part":
            sides = [{self.find_process(name).name for name in side.split(",")} for side in arguments]
            links.partition(sides[0], sides[1])
        elif fault.action in ("cut", "stall", "slow"):
            source, target = self.find_process(arguments[0]).name, self.find_process(arguments[1]).name
            if fault.action == "cut":
                links.override(source, target, is_cut=True)
            elif fault.action == "stall":
                links.override(source, target, stalled_until=time.monotonic() + float(arguments[2]))
            else:
                links.override(source, target, delay=float(arguments[2]))
        else:
            process = self.find_process(arguments[0])
            if fault.action == "kill":
                if process.name == self.leader:
                    self._leader_killed_at = time.monotonic()
                process.kill()
                self.load.unavailable_ingresses.add(process.number)
            elif fault.action == "start":
                process.start(arguments[1])
            elif fault.action in ("stop", "go"):
                process.signal(signal.SIGSTOP if fault.action == "stop" else signal.SIGCONT)

    def _run_once(self) -> None:
        begin = time.monotonic()
        self.loop.run_once(0.01)
        if time.monotonic() > begin + PAUSE_THRESHOLD_SECONDS:
            self.pauses.append((begin, time.monotonic()))

    def run_for(self, seconds: float) -> None:
        """Runs the loop for some seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._run_once()

    def run_until(self, done: Callable[[], bool], timeout: float) -> bool:
        """Runs the loop until `done` holds; returns False on timeout."""
        end = time.monotonic() + timeout
        while not done():
            if time.monotonic() > end:
                return False
            self._run_once()
        return True

    def have_all_entered(self) -> bool:
        """Reports whether every process is ready and registered for maintenance."""
        return all(
            process.status.get("maintenance", {}).get("entered") and process.status.get("ready")
            for process in self.processes
        )

    def update_front(self) -> None:
        """Acts as the load balancer in front: sends to ready ingresses and notices dead ones late, every 0.2 s."""
        for process in self.processes:
            ready = bool(process.status.get("ready")) and process.popen is not None and process.popen.poll() is None
            (self.load.unavailable_ingresses.discard if ready else self.load.unavailable_ingresses.add)(process.number)
        if self.is_polling:
            self.loop.call_in(0.2, self.update_front)

    def close(self, keep: bool = False) -> None:
        """Kills the processes and closes all sockets; `keep` leaves the files."""
        self.is_polling = False
        self.load.stop()
        for process in self.processes:
            if process.popen is not None and process.popen.poll() is None:
                process.popen.kill()
                process.popen.wait()
        self.load.close()
        self.relays.stop()
        for listener in (self.discovery.listener, self.counter.listener, *(s.listener for s in self.servers)):
            listener.stop()
        self.loop.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def cycle_ingress(fleet: Fleet, place: int) -> float:
    """Takes one ingress out under load: drains it, ends it, restarts it and returns it.

    Returns the seconds from the request to done, 0 if the permit is not cleared."""
    process, begin = fleet.processes[place], time.monotonic()
    fleet.post_until(
        "/v1/work",
        {"id": "ingress", "by": "trial", "ingress": process.name, "place": place, "zone": "hosts"},
        lambda: "ingress" in fleet.jobs,
    )

    def state() -> str:
        return str(fleet.jobs.get("ingress", {}).get("state", ""))

    def token() -> dict[str, int]:
        return {"token": fleet.jobs["ingress"]["token"]}

    if not fleet.run_until(lambda: state() == "clear", 15.0):
        fleet.violations.append(f"ingress did not become clear: {fleet.jobs.get('ingress')}")
        return 0.0
    fleet.post_until("/v1/work/ingress/begin", token(), lambda: state() != "clear")
    fleet.run_until(lambda: state() == "at work", 5.0)
    assert process.popen is not None
    before = sum(attempted.ingress == place for attempted in fleet.load.messages if attempted.status == 200)
    process.popen.terminate()
    if not fleet.run_until(lambda: process.popen is not None and process.popen.poll() is not None, 15.0):
        fleet.violations.append("ingress did not exit within 15 s of SIGTERM")
    if process.popen.returncode:
        fleet.violations.append(f"ingress exited with status {process.popen.returncode}")
    process.status = {}
    process.start()
    fleet.run_until(lambda: bool(process.status.get("maintenance", {}).get("entered")), 15.0)
    if process.status.get("ready"):
        fleet.violations.append("ingress is ready while its host is at work")
    fleet.post_until("/v1/work/ingress/finish", token(), lambda: state() != "at work")
    if not fleet.run_until(lambda: state() == "done", 20.0):
        fleet.violations.append(f"ingress did not return: {fleet.jobs['ingress']}")
    fleet.run_until(
        lambda: (
            sum(attempted.ingress == place for attempted in fleet.load.messages if attempted.status == 200) > before
        ),
        5.0,
    )
    return time.monotonic() - begin


def run_trial(size: int, machines: int, seconds: float, seed: int, script: str = "") -> dict[str, Any]:
    """Runs one trial and returns its report; `script` replaces the faults drawn from the seed (simulation/script)."""
    fleet = Fleet(size, seed, machines)
    violations = fleet.violations
    try:
        for process in fleet.processes:
            process.start()
        fleet.start_polling()
        if not fleet.run_until(fleet.have_all_entered, 30.0):
            violations.append(
                f"not all processes entered in 30 s: {[process.status.get('agreement') for process in fleet.processes]}"
            )
        fleet.record_arrivals()
        fleet.update_front()
        fleet.load.start()
        names = [process.name for process in fleet.processes]
        faults = (
            parse(script)
            if script
            else [
                fault
                for fault in draw_faults(fleet.rng, names, seconds, 3.0, size - 1)
                if fault.action in ("kill", "start", "stop", "go", "cut", "part", "stall", "loss", "heal")
            ]
        )
        begin = time.monotonic()
        for fault in faults:
            fleet.loop.call_in(fault.at_seconds, lambda fault=fault: fleet.inject(fault))  # type: ignore[misc]
        for number in range(machines):
            fleet.loop.call_in(0.2 + 0.4 * number, lambda number=number: fleet.request_work(number))  # type: ignore[misc]
        fleet.run_workers()
        fleet.run_for(seconds * 2 / 3)
        for process in fleet.processes:
            if process.popen is not None and process.popen.poll() is not None:
                process.start()
            elif process.is_stopped:
                process.signal(signal.SIGCONT)
        faults_ended = time.monotonic()

        def done() -> bool:
            return len(fleet.jobs) == machines and all(row["state"] == "done" for row in fleet.jobs.values())

        if not fleet.run_until(done, max(20.0, 6.0 * machines)):
            violations.append(
                f"permits not done: "
                f"{[(row['id'], row['state'], row['why'], row['missing']) for row in fleet.jobs.values()]}"
            )
        completion_seconds = time.monotonic() - faults_ended
        cycle_seconds = cycle_ingress(fleet, size - 1) if not violations else 0.0
        fleet.load.stop()
        fleet.run_until(lambda: not fleet.load.in_flight, 12.0)
        # A killed process loses its messages in flight and those sent to it until the front notices the death.
        killed = [(when - 8.0 - begin, number) for when, number in fleet.killed]
        lost = [
            message
            for message in fleet.load.messages
            if not message.status and message.is_written and not any(number == message.ingress for _, number in killed)
        ]
        # A client that left before its message could be read gets no answer: see ANSWER_SECONDS.
        abandoned = [
            message
            for message in lost
            if running_seconds(
                message.sent_at - fleet.offset,
                message.ended_at - fleet.offset,
                [*fleet.pauses, *fleet.processes[message.ingress].pauses],
            )
            < ANSWER_SECONDS
        ]
        if len(lost) > len(abandoned):
            violations.append(f"{len(lost) - len(abandoned)} messages lost at ingresses that were not killed")
        delays = fleet.longest_late_arrivals()
        late = {name: round(delay, 2) for name, delay in delays.items() if delay > MAX_LATE_RELAY_SECONDS + 0.5}
        if late:
            violations.append(f"new relays after the clearing was reported, in s: {late}")
        grants = [round(delay, 2) for delay in fleet.grant_delays]
        if len(grants) >= 3 and statistics.median(grants) > MAX_MEDIAN_GRANT_SECONDS:
            violations.append(f"time from a leader's death to the next grant, in s: {grants}")
        return {
            "seed": seed,
            "instances": size,
            "machines": machines,
            "script": [str(fault) for fault in faults],
            "tokens": sum(row["token"] > 0 for row in fleet.jobs.values()),
            "doneAfterCalmS": round(completion_seconds, 1),
            "ingressOutAndBackS": round(cycle_seconds, 1),
            "killed": len(fleet.killed),
            "grantsAfterDeathS": grants,
            "latestWorkS": round(max(delays.values(), default=0.0), 2),
            "tries": len(fleet.load.messages),
            "leftWhileStopped": len(abandoned),
            "served": sum(message.status == 200 for message in fleet.load.messages),
            "relayed": fleet.relays.forwarded_datagrams,
            "relaysLost": fleet.relays.lost_datagrams,
            "wrong": violations,
        }
    finally:
        fleet.close(keep=bool(violations))


def measure_idle(size: int, seconds: float) -> dict[str, Any]:
    """Measures CPU and memory of an idle process, with membership alone and with consensus and maintenance."""
    result: dict[str, Any] = {"instances": size}
    for name, has_consensus in (("members", False), ("agreed", True)):
        fleet = Fleet(size, 1, 3, has_consensus)
        try:
            for process in fleet.processes:
                process.start()
            fleet.start_polling()
            fleet.run_until(
                lambda fleet=fleet: all(  # type: ignore[misc]
                    process.status.get("members", {}).get("members") == size for process in fleet.processes
                ),
                30.0,
            )
            if has_consensus:
                fleet.run_until(fleet.have_all_entered, 30.0)
            fleet.is_polling = False  # stops the polling
            fleet.run_for(3.0)
            before = [process.read_usage() for process in fleet.processes]
            fleet.run_for(seconds)
            after = [process.read_usage() for process in fleet.processes]
        finally:
            fleet.close()
        cpu = [(end[0] - start[0]) / seconds * 100 for start, end in zip(before, after, strict=True)]
        result[name] = {
            "cpuPercent": round(statistics.mean(cpu), 2),
            "mostCpuPercent": round(max(cpu), 2),
            "residentMb": round(statistics.mean(end[1] for end in after) / 1024, 1),
        }
    result["cpuRatio"] = round(result["agreed"]["cpuPercent"] / result["members"]["cpuPercent"], 2)
    result["memoryRatio"] = round(result["agreed"]["residentMb"] / result["members"]["residentMb"], 2)
    return result


def main() -> int:
    """Runs a trial or the idle measurement and prints its report; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--instances", type=int, default=5)
    parser.add_argument("--machines", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--script", default="", help="file with a fault schedule, instead of one drawn from the seed")
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--idle", action="store_true", help="measure CPU and memory without load instead")
    options = parser.parse_args()
    if options.idle:
        result = measure_idle(options.instances, options.seconds)
        print(json.dumps(result, indent=None if options.json else 1))
        return int(result["cpuRatio"] > MAX_IDLE_CPU_RATIO)
    report = run_trial(
        options.instances,
        options.machines,
        options.seconds,
        options.seed,
        Path(options.script).read_text() if options.script else "",
    )
    print(json.dumps(report, indent=None if options.json else 1))
    return int(bool(report["wrong"]))


if __name__ == "__main__":
    sys.exit(main())
