"""Machines taken out for work by real processes while links drop, processes die, stand still and come back.

    python -m benchmarks.work_order --seconds 60 [--instances 5] [--machines 6] [--seed 1] [--json]

Each ingress is a process of its own; the first three (five from nine on) vote. Between every ordered pair stands a
relay (standins/links) that the script of the seed cuts, stalls, slows and lets lose; processes get SIGKILL (their disk
kept, or lost), SIGSTOP and SIGCONT. Operators ask whichever process answers, workers begin what is clear and finish
it, and clients keep on sending. The sim servers count by themselves what reaches a machine that is away. Exits 1 where
a bound is broken:

    more machines out than allowed, in all or in a zone     0
    two tokens in use for one machine                       0
    new work over 1 s after the sending ingress has the word  0
    work on a machine that was not clear                    0
    a request not done once a quorum could talk for 10 s    0
    messages that were taken and not answered               0, but for those in hand where a process was killed, and
                                                            those whose client left while it stood still
    leader killed to the next grant, median                 3 s"""

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

from benchmarks.plan_changes import ROOT
from brackenpulley.fleet.caller import Call
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.simulation.script import Fault, draw_faults, parse
from brackenpulley.standins.clients import Firm, Load
from brackenpulley.standins.links import LinkProxies
from brackenpulley.standins.servers import Counter, Discovery, SimServer
from brackenpulley.standins.settings import build_settings

OUT, ZONE, SETTLE = 2, 1, 1.0
SLACK = 1.0  # s after the word
ANSWERED = 0.5  # s that a message has while its ingress and this process run: with more it has to be answered
STOOD = 0.1  # s of a turn of ours, from which on we were not scheduled
GRANT = 3.0  # s, median
IDLE = 1.5  # times the CPU of membership alone
RATE = 40.0  # messages a second over all ingresses
ZONES = ("hall-a", "hall-b", "hall-c")


def free_at(host: str, count: int) -> list[int]:
    """Different ports that can be listened on there: those of 127.0.0.1 say nothing of another address."""
    socks = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def running(begin: float, end: float, still: list[tuple[float, float]]) -> float:
    """s of that time without those in which something stood still; these may overlap."""
    ran, at = end - begin, begin
    for a, b in sorted(still):
        a, b = max(a, at), min(b, end)
        if b > a:
            ran, at = ran - (b - a), b
    return ran


class Process:
    def __init__(self, fleet: Fleet, number: int) -> None:
        self.fleet, self.number, self.name = fleet, number, f"n{number}"
        # Hardly ever of another run: at 127.0.0.1 a free port may be anybody's connection when its process starts.
        self.host = f"127.{10 + number // 200}.{1 + number % 200}.{1 + os.getpid() % 250}"
        control, at, members = free_at(self.host, 3)
        self.control, self.at = (self.host, control), (self.host, at)
        self.address = fleet.relays.add(self.name, (self.host, members))
        self.process: subprocess.Popen[bytes] | None = None
        self.stopped = False
        self.still: list[tuple[float, float]] = []  # from and to, monotonic, inf while it goes on: stopped
        self.status: dict[str, Any] = {}
        self.lives = 0

    @property
    def folder(self) -> Path:
        return self.fleet.folder / self.name

    def write(self) -> None:
        """Its files; who seeds and who votes is known once all have their relays."""
        fleet = self.fleet
        self.folder.mkdir()
        raw = build_settings(fleet.size, self.number)
        for plan in raw["TiersOfService"]:
            plan.update(QuotaRate=1e6, Burst=1e6)
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": f"{self.at[0]}:{self.at[1]}",
                    "discovery": fleet.discovery.listener.address_text,
                    "counter": fleet.counter.listener.address_text,
                    "settings": raw,
                }
            )
        )
        seeds = [one.address for one in fleet.processes[:3]]
        voters = "\n".join(f'{one.name} = "{one.address}"' for one in fleet.processes[: fleet.voters])
        disk = f'path = "{self.folder}/log"\n' if self.number < fleet.voters else ""
        agreed = (
            f"[consensus]\n{disk}[consensus.voters]\n{voters}\n[maintenance]\nout = {OUT}\nzone = {ZONE}\n"
            f"reserve = 0.0\nsettle_s = {SETTLE}\nlate_s = 120.0\n"
        )
        (self.folder / "operator.toml").write_text(
            f'[control]\nlisten = "{self.control[0]}:{self.control[1]}"\n'
            f'[members]\nfleet = "trial"\nlisten = "{self.host}:{self.fleet.relays.process_addresses[self.name][1]}"\n'
            f'advertise = "{self.address}"\nseeds = {json.dumps(seeds)}\nkeys = "{fleet.folder}/keys"\n'
            + (agreed if fleet.agrees else "")
            + fleet.more
        )

    def used(self) -> tuple[float, int]:
        """s of CPU so far, and KB resident."""
        assert self.process is not None
        text = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        resident = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
        return (int(text[11]) + int(text[12])) / os.sysconf("SC_CLK_TCK"), resident

    def start(self, how: str = "kept") -> None:
        if self.process is not None and self.process.poll() is None:
            return
        if how == "lost" and self.fleet.may_lose(self):
            shutil.rmtree(self.folder / "log", ignore_errors=True)
        self.lives += 1
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "brackenpulley",
                    "serve",
                    "--config",
                    str(self.folder / "config.json"),
                    "--operator",
                    str(self.folder / "operator.toml"),
                ],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "BRACKENPULLEY_CLOCK": repr(self.fleet.offset)},
            )
        self.stopped = False

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.fleet.killed.append((time.monotonic(), self.number))
            self.status = {}

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)
            if number == signal.SIGSTOP and not self.stopped:
                self.still.append((time.monotonic(), inf))
            elif number == signal.SIGCONT and self.stopped:
                self.still[-1] = (self.still[-1][0], time.monotonic())
            self.stopped = number == signal.SIGSTOP

    def call(self, method: str, path: str, body: Any, done: Callable[[int, Any], None], patience: float = 5.0) -> None:
        def heard(status: int, data: bytes) -> None:
            try:
                done(status, json.loads(data) if status else {})
            except ValueError:
                done(0, {})

        Call(self.fleet.loop, self.control, method, path, json.dumps(body).encode() if body else b"", patience, heard)


class Fleet:
    def __init__(
        self,
        size: int,
        seed: int,
        machines: int,
        agrees: bool = True,
        more: str = "",
        rate: float = RATE,
        mean: float = 0.02,
    ) -> None:
        """`more` of the operator's file; `mean` s that a server works on an attempt."""
        self.agrees, self.more = agrees, more  # the log and the work are on, not membership alone
        self.size, self.rng, self.voters = size, random.Random(seed), 5 if size >= 9 else 3
        self.folder = Path(tempfile.mkdtemp(prefix="bracken-work-"))
        (self.folder / "keys").write_text(base64.b64encode(b"w" * 32).decode() + "\n")
        (self.folder / "keys").chmod(0o600)
        self.offset = time.time() - time.monotonic()  # one clock of all processes: times in the log are the trial's
        self.clock = lambda: time.monotonic() + self.offset
        self.loop = Loop(self.clock, Metrics(), structlog.get_logger())
        self.relays = LinkProxies(self.loop, seed)
        self.servers = [SimServer(self.loop, f"s-{n}", random.Random(seed + n), mean) for n in range(machines)]
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
        for one in self.processes:
            one.write()
        firms = [Firm(n + 1, "county", rate / 20, size, 0) for n in range(20)]
        self.load = Load(self.loop, [one.at for one in self.processes], firms, self.rng)
        self.killed: list[tuple[float, int]] = []
        self.wrong: list[str] = []
        self.still: list[tuple[float, float]] = []  # from and to: this process, that is clients and servers, did
        self.jobs: dict[str, dict[str, Any]] = {}  # the newest row of each machine that was seen
        self.index = 0
        # Machine, token and ingress: when that ingress first told of its clearing.
        self.words: dict[tuple[str, int, int], float] = {}
        self.begun: set[tuple[str, int]] = set()
        self.worked: set[tuple[str, int]] = set()
        # What came to a server that is away as far as was seen: server, machine, token, its sender's word, when.
        self.arrived: list[tuple[str, str, int, float, float]] = []
        self.returned: dict[tuple[str, int], float] = {}  # machine and token: when it was agreed that it returns
        self.working: dict[str, int] = {}  # servers that a worker works on, with the token
        self.grants: list[float] = []  # s from a leader's death to the next token
        self._leader_died = 0.0
        self.leader = ""
        self.going = True

    def named(self, name: str) -> Process:
        return next(one for one in self.processes if one.name == (self.leader if name == "leader" else name))

    def may_lose(self, which: Process) -> bool:
        """All other voters are there and sure of their disks."""
        others = [one.status.get("agreement", {}) for one in self.processes[: self.voters] if one is not which]
        return all(row.get("proved") and row.get("role") in ("leader", "follower") for row in others)

    # Watching.

    def watch(self) -> None:
        for one in self.processes:
            self._ask(one)

    def _ask(self, one: Process) -> None:
        if not self.going:
            return

        def heard(status: int, body: Any) -> None:
            if status == 200:
                one.status = body
                agreed = body.get("agreement", {})
                if agreed.get("role") == "leader" and agreed.get("current"):
                    self.leader = one.name
                one.call("GET", "/v1/work", None, rows)
            else:
                self.loop.call_in(0.15, lambda: self._ask(one))

        def rows(status: int, body: Any) -> None:
            if status == 200:
                self._seen(one, body["index"], body["machines"])
            self.loop.call_in(0.15, lambda: self._ask(one))

        one.call("GET", "/v1/status", None, heard, 2.0)

    def _seen(self, one: Process, index: int, rows: list[dict[str, Any]]) -> None:
        now = time.monotonic()
        for row in rows:
            if row["state"] == "clearing" and row["token"]:
                self.words.setdefault((row["id"], row["token"], one.number), now)
            elif row["state"] == "returning":
                self.returned[row["id"], row["token"]] = row["since"] - self.offset
            elif row["state"] == "done":  # where its return was not seen, it was agreed so long before at least
                self.returned.setdefault((row["id"], row["token"]), row["since"] - self.offset - SETTLE)
        if index < self.index:
            return
        self.index = index
        out = [row for row in rows if row["state"] in ("clearing", "clear", "at work", "returning", "stuck")]
        zones = [row["zone"] for row in out]
        if len(out) > OUT or max([0, *(zones.count(zone) for zone in zones)]) > ZONE:
            self.wrong.append(f"out at once: {[(row['id'], row['state'], row['zone']) for row in out]}")
        for row in rows:
            old = self.jobs.get(row["id"])
            if old is not None and row["token"] < old["token"]:
                self.wrong.append(f"{row['id']}: token {row['token']} after {old['token']}")
            if old is not None and row["token"] > old["token"] and self._leader_died:
                self.grants.append(now - self._leader_died)
                self._leader_died = 0.0
            self.jobs[row["id"]] = row

    # Operators and workers.

    def ask(self, path: str, body: Any, done: Callable[[], bool]) -> None:
        """Of whichever process is up, until it is so."""
        if done() or not self.going:
            return
        there = [one for one in self.processes if not one.stopped and one.process and one.process.poll() is None]
        again = lambda status, answer: self.loop.call_in(0.2, lambda: self.ask(path, body, done))  # noqa: E731
        if there:
            self.rng.choice(there).call("POST", path, body, again)
        else:
            again(0, None)

    def order(self, number: int) -> None:
        """A machine is one sim server; it comes again once it is done."""
        name = f"h{number}"
        self.ask(
            "/v1/work",
            {"id": name, "by": "trial", "servers": [f"s-{number}"], "zone": ZONES[number % 3], "urgency": number % 2},
            lambda: name in self.jobs,
        )

    def work(self) -> None:
        for name, row in list(self.jobs.items()):
            if not row["servers"]:
                continue  # an ingress's: see ingress_goes
            server = row["servers"][0]
            if row["state"] == "clear" and (name, row["token"]) not in self.begun:
                self.begun.add((name, row["token"]))
                self.ask(
                    f"/v1/work/{name}/begin",
                    {"token": row["token"]},
                    lambda name=name: self.jobs[name]["state"] != "clear",
                )  # type: ignore[misc]
            elif row["state"] == "at work" and (name, row["token"]) not in self.worked:
                self.worked.add((name, row["token"]))
                self._begin(name, server, row["token"])
        if self.going:
            self.loop.call_in(0.1, self.work)

    def _begin(self, name: str, server: str, token: int) -> None:
        """The machine is worked on: from now on nothing may reach it."""
        self.working[server] = token

        def over() -> None:
            self.working.pop(server, None)
            self.ask(f"/v1/work/{name}/finish", {"token": token}, lambda: self.jobs[name]["state"] != "at work")

        self.loop.call_in(0.8, over)

    def audit(self) -> None:
        """What reached a server while it was away, by the server's own count."""
        for server in self.servers:

            def script(rng: random.Random, server: SimServer = server) -> str:
                now = time.monotonic()
                if server.name in self.working:
                    self.wrong.append(f"{server.name} got work while it was worked on")
                row = self.jobs.get("h" + server.name[2:])
                if row is not None and row["state"] in ("clearing", "clear", "at work"):
                    sender = next(
                        (one.ingress for one in reversed(self.load.messages) if one.id == server.current_message_id), -1
                    )
                    since = self.words.get((row["id"], row["token"], sender), now)
                    self.arrived.append((server.name, row["id"], row["token"], since, now))
                return "ok"

            server.script = script

    def late(self) -> dict[str, float]:
        """By server: the longest after its sender's word that work still came. What came after the return was agreed
        (its entry's time) is the machine's again: senders know that before we see it, and later still where we were
        not scheduled. One that was not seen to return counts as away for good."""
        found: dict[str, float] = {}
        for server, name, token, since, when in self.arrived:
            if when < self.returned.get((name, token), inf):
                found[server] = max(found.get(server, 0.0), when - since)
        return found

    # Faults.

    def do(self, line: Fault) -> None:
        words, links = line.arguments, self.relays.links
        if line.action == "heal":
            links.heal()
            links.default = type(links.default)(delay=0.0, jitter=0.0)
        elif line.action in ("loss", "double"):
            part = float(words[1])
            links.default = type(links.default)(
                0.0, 0.0, part if line.action == "loss" else 0.0, part if line.action == "double" else 0.0
            )
        elif line.action == "part":
            sides = [{self.named(name).name for name in side.split(",")} for side in words]
            links.partition(sides[0], sides[1])
        elif line.action in ("cut", "stall", "slow"):
            a, b = self.named(words[0]).name, self.named(words[1]).name
            if line.action == "cut":
                links.override(a, b, is_cut=True)
            elif line.action == "stall":
                links.override(a, b, stalled_until=time.monotonic() + float(words[2]))
            else:
                links.override(a, b, delay=float(words[2]))
        else:
            one = self.named(words[0])
            if line.action == "kill":
                if one.name == self.leader:
                    self._leader_died = time.monotonic()
                one.kill()
                self.load.unavailable_ingresses.add(one.number)
            elif line.action == "start":
                one.start(words[1])
            elif line.action in ("stop", "go"):
                one.signal(signal.SIGSTOP if line.action == "stop" else signal.SIGCONT)

    def _turn(self) -> None:
        begin = time.monotonic()
        self.loop.run_once(0.01)
        if time.monotonic() > begin + STOOD:
            self.still.append((begin, time.monotonic()))

    def turn(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._turn()

    def until(self, done: Callable[[], bool], patience: float) -> bool:
        end = time.monotonic() + patience
        while not done():
            if time.monotonic() > end:
                return False
            self._turn()
        return True

    def entered(self) -> bool:
        return all(
            one.status.get("maintenance", {}).get("entered") and one.status.get("ready") for one in self.processes
        )

    def front(self) -> None:
        """As the platform's: it admits an ingress that says it is ready, and notices a dead one late."""
        for one in self.processes:
            ready = bool(one.status.get("ready")) and one.process is not None and one.process.poll() is None
            (self.load.unavailable_ingresses.discard if ready else self.load.unavailable_ingresses.add)(one.number)
        if self.going:
            self.loop.call_in(0.2, self.front)

    def close(self, keep: bool = False) -> None:
        self.going = False
        self.load.stop()
        for one in self.processes:
            if one.process is not None and one.process.poll() is None:
                one.process.kill()
                one.process.wait()
        self.load.close()
        self.relays.stop()
        for listener in (self.discovery.listener, self.counter.listener, *(s.listener for s in self.servers)):
            listener.stop()
        self.loop.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def ingress_goes(fleet: Fleet, place: int) -> float:
    """An ingress's host goes out under load: drained, ended, started anew, back. Seconds from asking to done."""
    one, begin = fleet.processes[place], time.monotonic()
    fleet.ask(
        "/v1/work",
        {"id": "ingress", "by": "trial", "ingress": one.name, "place": place, "zone": "hosts"},
        lambda: "ingress" in fleet.jobs,
    )

    def state() -> str:
        return str(fleet.jobs.get("ingress", {}).get("state", ""))

    def token() -> dict[str, int]:
        return {"token": fleet.jobs["ingress"]["token"]}

    if not fleet.until(lambda: state() == "clear", 15.0):
        fleet.wrong.append(f"the ingress is not clear: {fleet.jobs.get('ingress')}")
        return 0.0
    fleet.ask("/v1/work/ingress/begin", token(), lambda: state() != "clear")
    fleet.until(lambda: state() == "at work", 5.0)
    assert one.process is not None
    before = sum(try_.ingress == place for try_ in fleet.load.messages if try_.status == 200)
    one.process.terminate()
    if not fleet.until(lambda: one.process is not None and one.process.poll() is not None, 15.0):
        fleet.wrong.append("the ingress has not ended 15 s after SIGTERM")
    if one.process.returncode:
        fleet.wrong.append(f"the ingress ended with {one.process.returncode}")
    one.status = {}
    one.start()
    fleet.until(lambda: bool(one.status.get("maintenance", {}).get("entered")), 15.0)
    if one.status.get("ready"):
        fleet.wrong.append("the ingress is ready while its host is at work")
    fleet.ask("/v1/work/ingress/finish", token(), lambda: state() != "at work")
    if not fleet.until(lambda: state() == "done", 20.0):
        fleet.wrong.append(f"the ingress is not back: {fleet.jobs['ingress']}")
    fleet.until(lambda: sum(try_.ingress == place for try_ in fleet.load.messages if try_.status == 200) > before, 5.0)
    return time.monotonic() - begin


def trial(size: int, machines: int, seconds: float, seed: int, script: str = "") -> dict[str, Any]:
    """`script`: instead of what the seed draws; see simulation/script."""
    fleet = Fleet(size, seed, machines)
    wrong = fleet.wrong
    try:
        for one in fleet.processes:
            one.start()
        fleet.watch()
        if not fleet.until(fleet.entered, 30.0):
            wrong.append(f"not all entered in 30 s: {[one.status.get('agreement') for one in fleet.processes]}")
        fleet.audit()
        fleet.front()
        fleet.load.start()
        names = [one.name for one in fleet.processes]
        lines = (
            parse(script)
            if script
            else [
                line
                for line in draw_faults(fleet.rng, names, seconds, 3.0, size - 1)
                if line.action in ("kill", "start", "stop", "go", "cut", "part", "stall", "loss", "heal")
            ]
        )
        begin = time.monotonic()
        for line in lines:
            fleet.loop.call_in(line.at_seconds, lambda line=line: fleet.do(line))  # type: ignore[misc]
        for number in range(machines):
            fleet.loop.call_in(0.2 + 0.4 * number, lambda number=number: fleet.order(number))  # type: ignore[misc]
        fleet.work()
        fleet.turn(seconds * 2 / 3)
        for one in fleet.processes:
            if one.process is not None and one.process.poll() is not None:
                one.start()
            elif one.stopped:
                one.signal(signal.SIGCONT)
        calm = time.monotonic()

        def done() -> bool:
            return len(fleet.jobs) == machines and all(row["state"] == "done" for row in fleet.jobs.values())

        if not fleet.until(done, max(20.0, 6.0 * machines)):
            wrong.append(f"not done: {[(r['id'], r['state'], r['why'], r['missing']) for r in fleet.jobs.values()]}")
        finished = time.monotonic() - calm
        ingress = ingress_goes(fleet, size - 1) if not wrong else 0.0
        fleet.load.stop()
        fleet.until(lambda: not fleet.load.in_flight, 12.0)
        # A process that is killed takes what it had in hand with it, and what came to it until the front saw that.
        excused = [(when - 8.0 - begin, number) for when, number in fleet.killed]
        lost = [
            one
            for one in fleet.load.messages
            if not one.status and one.is_written and not any(number == one.ingress for _, number in excused)
        ]
        # Nobody answers a client that has left before its message could be read: see ANSWERED.
        left = [
            one
            for one in lost
            if running(
                one.sent_at - fleet.offset,
                one.ended_at - fleet.offset,
                [*fleet.still, *fleet.processes[one.ingress].still],
            )
            < ANSWERED
        ]
        if len(lost) > len(left):
            wrong.append(f"{len(lost) - len(left)} messages lost at ingresses that were not killed")
        afters = fleet.late()
        late = {name: round(after, 2) for name, after in afters.items() if after > SLACK + 0.5}
        if late:
            wrong.append(f"new work after the word, in s: {late}")
        grants = [round(after, 2) for after in fleet.grants]
        if len(grants) >= 3 and statistics.median(grants) > GRANT:
            wrong.append(f"leader killed to next grant: {grants}")
        return {
            "seed": seed,
            "instances": size,
            "machines": machines,
            "script": [str(line) for line in lines],
            "tokens": sum(row["token"] > 0 for row in fleet.jobs.values()),
            "doneAfterCalmS": round(finished, 1),
            "ingressOutAndBackS": round(ingress, 1),
            "killed": len(fleet.killed),
            "grantsAfterDeathS": grants,
            "latestWorkS": round(max(afters.values(), default=0.0), 2),
            "tries": len(fleet.load.messages),
            "leftWhileStopped": len(left),
            "served": sum(one.status == 200 for one in fleet.load.messages),
            "relayed": fleet.relays.forwarded_datagrams,
            "relaysLost": fleet.relays.lost_datagrams,
            "wrong": wrong,
        }
    finally:
        fleet.close(keep=bool(wrong))


def idle(size: int, seconds: float) -> dict[str, Any]:
    """CPU and memory of a process without load: membership alone, and with the log and the work on."""
    found: dict[str, Any] = {"instances": size}
    for name, agrees in (("members", False), ("agreed", True)):
        fleet = Fleet(size, 1, 3, agrees)
        try:
            for one in fleet.processes:
                one.start()
            fleet.watch()
            fleet.until(
                lambda fleet=fleet: all(  # type: ignore[misc]
                    one.status.get("members", {}).get("members") == size for one in fleet.processes
                ),
                30.0,
            )
            if agrees:
                fleet.until(fleet.entered, 30.0)
            fleet.going = False  # nobody asks any more
            fleet.turn(3.0)
            before = [one.used() for one in fleet.processes]
            fleet.turn(seconds)
            after = [one.used() for one in fleet.processes]
        finally:
            fleet.close()
        cpu = [(b[0] - a[0]) / seconds * 100 for a, b in zip(before, after, strict=True)]
        found[name] = {
            "cpuPercent": round(statistics.mean(cpu), 2),
            "mostCpuPercent": round(max(cpu), 2),
            "residentMb": round(statistics.mean(b[1] for b in after) / 1024, 1),
        }
    found["cpuRatio"] = round(found["agreed"]["cpuPercent"] / found["members"]["cpuPercent"], 2)
    found["memoryRatio"] = round(found["agreed"]["residentMb"] / found["members"]["residentMb"], 2)
    return found


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seconds", type=float, default=60.0)
    words.add_argument("--instances", type=int, default=5)
    words.add_argument("--machines", type=int, default=6)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--script", default="", help="a file with faults instead of those that the seed draws")
    words.add_argument("--json", action="store_true")
    words.add_argument("--idle", action="store_true", help="CPU and memory without load instead")
    told = words.parse_args()
    if told.idle:
        found = idle(told.instances, told.seconds)
        print(json.dumps(found, indent=None if told.json else 1))
        return int(found["cpuRatio"] > IDLE)
    report = trial(
        told.instances, told.machines, told.seconds, told.seed, Path(told.script).read_text() if told.script else ""
    )
    print(json.dumps(report, indent=None if told.json else 1))
    return int(bool(report["wrong"]))


if __name__ == "__main__":
    sys.exit(main())
