"""A fleet of real daemons under a real supervisor, under open-loop load, with a sim server that starts cold.

    python -m benchmarks.fleet --instances 40 --plot fleet.png
    python -m benchmarks.fleet --cold            twenty that start at once against a small cold server
    python -m benchmarks.fleet --idle            memory and CPU of idle instances, with and without membership

Half of the instances start while the cold server does; then the other half at once, and the server is cold again; half
are killed with SIGKILL in mid-load; one is stopped with SIGSTOP; all are restarted, a few at a time; the supervisor is
killed and a new one takes over. Each try that an instance took which was not killed must have exactly one answer, and
no window of the cold server's arrivals may pass what it bears. Exits 1 where that does not hold."""

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

from benchmarks.plan_changes import ROOT, free_ports
from brackenpulley.control.client import ControlClient, ControlError
from brackenpulley.fleet.caller import Call
from brackenpulley.fleet.files import SharedConfig
from brackenpulley.fleet.process import find_processes
from brackenpulley.fleet.spec import load as spec_of
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.clients import Firm, Load, SentMessage
from brackenpulley.standins.cold import ColdServer
from brackenpulley.standins.servers import Counter, Discovery, SimServer
from brackenpulley.standins.settings import build_settings

LOOK = 0.25  # s between the front's looks at /ready
TICK = os.sysconf("SC_CLK_TCK")
BUSY = 0.75  # of what the servers can do when warm
COLD_FROM, COLD, MULTIPLE, FALL = 0.17, 12.0, 2.5, 3.0  # in the wire page's words; shorter than there
KEY = "c29tZSBzZWNyZXQgb2YgMzIgYnl0ZXMgaGVyZSwgbm8="


class Front:
    """What sends to the instances: looks at /ready and passes over those that say no."""

    def __init__(self, loop: Loop, load: Load) -> None:
        self.loop, self.load = loop, load
        self.up: set[int] = set()
        self.load.unavailable_ingresses = set(range(len(load.ingresses)))
        self.running = True
        self._look()

    def _look(self) -> None:
        for place, at in enumerate(self.load.ingresses):
            Call(self.loop, at, "GET", "/ready", b"", LOOK, lambda status, body, n=place: self._heard(n, status))
        if self.running:
            self.loop.call_in(LOOK, self._look)

    def _heard(self, place: int, status: int) -> None:
        if status == 200:
            self.load.unavailable_ingresses.discard(place)
        else:
            self.load.unavailable_ingresses.add(place)


class Trial:
    """A folder, stand-ins, a load with a front, and room for a supervisor; `run` starts it."""

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
        count = warm or max(2, math.ceil(rate / full / BUSY) - 1)  # so that the cold one is needed, too
        self.servers: list[SimServer] = [
            ColdServer(self.loop, f"s-{n}", random.Random(seed + n), full, 1.0, 0.0, MULTIPLE, FALL)
            for n in range(count)
        ]
        self.cold = ColdServer(self.loop, "cold", random.Random(seed), full, COLD_FROM, COLD, MULTIPLE, FALL)
        self.discovery, self.counter = Discovery(self.loop, [*self.servers, self.cold]), Counter(self.loop)
        ports = free_ports(2 * instances)
        self.at = [("127.0.0.1", port) for port in ports[:instances]]
        self.members = [f"127.0.0.1:{port}" for port in ports[instances:]] if members else []
        firms = [Firm(n + 1, "county", rate / 60, 3, n % instances) for n in range(60)]
        self.load = Load(self.loop, self.at, firms, self.rng)
        self.front = Front(self.loop, self.load)
        self.killed: list[tuple[int, float, float]] = []  # place, from, to
        self.marks: list[tuple[float, str]] = []
        self.colds: list[dict[str, Any]] = []
        self.ready: list[tuple[float, int]] = []
        self.supervisor: subprocess.Popen[bytes] | None = None
        self.file = self.folder / "fleet.toml"
        self._write(instances // 2 or 1, watchdog)
        self.control = ControlClient(f"unix:{self.folder}/run/supervisor.sock")

    def _write(self, count: int, watchdog: float) -> None:
        raw = build_settings(1)
        raw["Invariants"].update(ColdFrom=COLD_FROM, Cold=COLD, OverloadFactor=MULTIPLE, TipAfter=FALL)
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
            f"instances = {count}\nlisten = {json.dumps([f'{h}:{p}' for h, p in self.at])}\n"
        )
        if self.members:
            (self.folder / "keys").write_text(KEY + "\n")
            (self.folder / "keys").chmod(0o600)
            (self.folder / "operator.toml").write_text(
                f'[members]\nfleet = "trial"\nlisten = "{{member}}"\nseeds = [{{seeds}}]\nkeys = "{self.folder}/keys"\n'
            )
            text += f'operator = "operator.toml"\nmembers = {json.dumps(self.members)}\n'
        text += (
            "[start]\nready_s = 30.0\nat_once = 100\n[stop]\nnotice_s = 1.0\ndeadline_s = 10.0\n"
            f"[watch]\nwatchdog_s = {watchdog}\n[restart]\ncrashes = 10\n"
        )
        self.file.write_text(text)

    # Steps.

    def mark(self, what: str) -> None:
        self.marks.append((self.clock(), what))

    def run(self) -> None:
        log = open(self.folder / "log", "ab")
        self.supervisor = subprocess.Popen(
            [sys.executable, "-m", "brackenpulley", "fleet", "run", str(self.file)], cwd=ROOT, stdout=log, stderr=log
        )
        log.close()

    def ask(self, method: str, path: str, body: Any = None) -> Any:
        """The supervisor does not depend on this process's loop, so a blocking call is short."""
        return self.control.call(method, path, body)

    def status(self) -> dict[str, Any]:
        try:
            found: dict[str, Any] = self.ask("GET", "/v1/fleet")
        except ControlError:
            return {"ready": 0, "places": [], "rolling": None}
        self.ready.append((self.clock(), found["ready"]))
        return found

    def until(self, done: Callable[[dict[str, Any]], bool], longest: float, what: str) -> float:
        """s that it took. Raises TimeoutError."""
        begin = time.monotonic()
        while True:
            found = self.status()
            if done(found):
                return time.monotonic() - begin
            if time.monotonic() - begin > longest:
                rows = [(r["instance"], r["state"], r["why"]) for r in found["places"] if r["state"] != "ready"]
                raise TimeoutError(f"{what}: not within {longest:g} s: {rows[:5]}")
            self.turn(0.1)

    def turn(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            self.loop.run_once(min(left, 0.02))

    def all_ready(self, count: int, longest: float, what: str) -> float:
        return self.until(lambda s: s["ready"] == count and len(s["places"]) == count, longest, what)

    def chill(self, what: str) -> None:
        """The cold server starts anew; the last start's figures are kept."""
        self.warm()
        self.cold.start()
        self.cold.max_overload_ratio, self.cold.arrival_times = 0.0, []
        self.discovery.set_state(self.cold, "SERVING")
        self.colds.append({"what": what, "at": self.clock()})

    def warm(self) -> None:
        if self.colds and "worst" not in self.colds[-1]:
            self.colds[-1].update(
                worst=round(self.cold.max_overload_ratio, 3),
                arrivals=len(self.cold.arrival_times),
                fell=self.cold.is_down,
                seen=list(self.cold.arrival_times),
            )

    def kill(self, places: list[int]) -> None:
        """SIGKILL, all within a few ms."""
        pids = {row["instance"]: row["pid"] for row in self.status()["places"]}
        at = self.clock()
        for place in places:
            os.kill(pids[place], signal.SIGKILL)
        self.killed += [(place, at, math.inf) for place in places]

    def back(self, places: list[int]) -> None:
        """From now on what these take counts again."""
        now = self.clock()
        self.killed = [(p, a, now if p in places and b == math.inf else b) for p, a, b in self.killed]

    def faults(self) -> list[str]:
        """Tries that a living instance took without exactly one answer."""

        def lost(one: SentMessage) -> bool:
            return any(
                place == one.ingress and one.sent_at < until and one.ended_at >= since - 0.01
                for place, since, until in self.killed
            )

        zero = self.marks[0][0]
        return [
            f"try {one.id}: taken by instance {one.ingress} at {one.sent_at - zero:.2f} s, {one.answer_count} answers, "
            f"ended at {one.ended_at - zero:.2f} s"
            for one in self.load.messages
            if one.is_written and one.answer_count != 1 and not lost(one)
        ]

    def close(self) -> None:
        """Nothing of it is left running, whatever went wrong."""
        self.front.running = False
        self.load.close()
        if self.supervisor is not None and self.supervisor.poll() is None:
            self.supervisor.terminate()
            try:
                self.supervisor.wait(30)
            except subprocess.TimeoutExpired:
                self.supervisor.kill()
        for one in find_processes(self.folder / "run"):
            os.kill(one.pid, signal.SIGKILL)
        for listener in (
            self.discovery.listener,
            self.counter.listener,
            *(s.listener for s in self.servers),
            self.cold.listener,
        ):
            listener.stop()
        self.loop.close()


def trial(
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
    """One run through all steps; the report that is also printed."""
    made = Trial(instances, seed, rate or 8.0 * instances, full, members)
    half, found = instances // 2, {}
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
                made.mark(name)
                progress.update(task, description=name, advance=1)

            step(steps[0])
            made.load.start()  # clients do not wait for the fleet
            made.run()
            made.chill(steps[0])
            found["halfReadySeconds"] = made.all_ready(half, 60, "start")
            made.turn(pause)
            step(steps[1])
            made.ask("POST", "/v1/fleet/scale", {"instances": instances})
            made.chill(steps[1])
            found["allReadySeconds"] = made.all_ready(instances, 60, "scale")
            made.turn(pause)
            step(steps[2])
            victims = sorted(made.rng.sample(range(instances), half))
            made.kill(victims)
            made.chill(steps[2])
            made.turn(0.3)
            found["halfBackSeconds"] = made.all_ready(instances, 60, "back after SIGKILL")
            made.turn(2 * LOOK)
            made.back(victims)
            made.turn(pause)
            step(steps[3])
            stopped = made.rng.randrange(instances)
            pid = next(r["pid"] for r in made.status()["places"] if r["instance"] == stopped)
            made.killed.append((stopped, made.clock(), math.inf))
            os.kill(pid, signal.SIGSTOP)
            found["stoppedSeenSeconds"] = made.until(
                lambda s: any(r["instance"] == stopped and r["pid"] not in (pid,) for r in s["places"]), 30, "watchdog"
            )
            made.all_ready(instances, 60, "back after SIGSTOP")
            made.turn(2 * LOOK)
            made.back([stopped])
            step(steps[4])
            lives = {r["instance"]: r["life"] for r in made.status()["places"]}
            made.ask("POST", "/v1/fleet/restart", {"atOnce": at_once or max(1, instances // 5)})
            found["rollingSeconds"] = made.until(lambda s: bool(s["rolling"] and s["rolling"]["over"]), 180, "restart")
            rolled = made.status()
            found["rolled"] = sum(r["life"] == lives[r["instance"]] + 1 for r in rolled["places"])
            found["rollingFailed"] = rolled["rolling"]["failed"]
            step(steps[5])
            assert made.supervisor is not None
            before = {r["instance"]: r["pid"] for r in made.status()["places"]}
            made.supervisor.kill()
            made.supervisor.wait()
            made.turn(1.0)
            made.run()
            made.until(lambda s: s["ready"] == instances, 60, "taken over")
            after = made.status()
            found["adopted"] = sum(r["adopted"] and r["pid"] == before[r["instance"]] for r in after["places"])
            made.turn(1.0)
            step(steps[6])
            made.load.stop()
            end = time.monotonic() + 15
            while made.load.in_flight and time.monotonic() < end:
                made.turn(0.05)
            made.warm()
            found["health"] = [r["health"] for r in made.status()["places"]][:3]
            made.supervisor.terminate()
            found["exit"] = made.supervisor.wait(30)
            found["orphans"] = len(find_processes(made.folder / "run"))
        faults = made.faults()
        faults += [f"{n} tries taken for malformed" for n in [sum(t.status == 400 for t in made.load.messages)] if n]
        faults += [f"cold server, {c['what']}: {c['worst']:.2f} of what it bears" for c in made.colds if c["fell"]]
        for name, wanted in (
            ("rolled", instances),
            ("adopted", instances),
            ("orphans", 0),
            ("exit", 0),
            ("rollingFailed", None),
        ):
            if found[name] != wanted:
                faults.append(f"{name}: {found[name]}, not {wanted}")
        statuses = [one.status for one in made.load.messages]
        found = {
            "instances": instances,
            **{k: round(v, 2) if isinstance(v, float) else v for k, v in found.items()},
            "tries": len(statuses),
            "served": statuses.count(200),
            "refused": statuses.count(429) + statuses.count(503),
            "failed": statuses.count(502),
            "misread": statuses.count(400),
            "unanswered": statuses.count(0),
            "takenUnanswered": sum(t.is_written and not t.answer_count for t in made.load.messages),
            "cold": [{k: v for k, v in c.items() if k not in ("seen", "at")} for c in made.colds],
            "faults": faults,
        }
        if plot:
            draw(made, plot)
        return found
    finally:
        made.close()


def cold_start(
    instances: int,
    seed: int,
    believes: int = 0,
    reports: bool = False,
    starts: int = 1,
    small: float = 4.0,
    warm: float = 0.0,
    load: float = 40.0,
    seconds: float = 9.0,
) -> dict[str, Any]:
    """All instances start at the same instant as a small server, beside one warm server that can't do it all, or alone
    (`warm` 0). With `believes` they have no supervisor and are told of so many ingresses, as before there was one;
    with `reports` they heed what the server says of itself. The fullest window of the small one's arrivals, over what
    it bears, for each of so many starts of it."""
    made = Trial(2 * instances, seed, load, small, warm=1)
    if warm:
        made.servers[0].full = warm  # type: ignore[attr-defined]
        made.cold.weight = small / warm
    else:
        made.servers[0].listener.stop()
        made.discovery.servers.remove(made.servers.pop())
    processes: list[subprocess.Popen[bytes]] = []
    found = []
    try:
        made.load.firms = [Firm(n + 1, "county", load / instances, 1, n) for n in range(instances)]
        made.load.start()
        if believes:
            made.load.ingress_count = believes
            base = SharedConfig.read(spec_of(str(made.file)))
            (made.folder / "run").mkdir()
            with open(made.folder / "log", "ab") as log:
                for number in range(instances):
                    base.write_instance_files(number, instances)
                    path = made.folder / "run" / f"{number}.json"
                    raw = json.loads(path.read_text())
                    raw["settings"].update(NInstances=believes, MyNumber=number % believes)
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
            made.run()
        made.chill("start")
        end = time.monotonic() + 30
        while len(made.front.load.unavailable_ingresses) > 1.02 * instances and time.monotonic() < end:
            made.turn(0.05)
        for number in range(starts):
            made.chill(f"start {number + 1}")
            made.turn(seconds)
            made.warm()
            found.append(made.colds[-1]["worst"])
        return {
            "instances": instances,
            "believe": believes or "told",
            "reports": reports,
            "worst": found,
            "fell": sum(c["fell"] for c in made.colds),
            "arrivals": [c["arrivals"] for c in made.colds[1:]],
            "served": sum(t.status == 200 for t in made.load.messages),
            "refused": sum(t.status in (429, 503) for t in made.load.messages),
            "failed": sum(t.status == 502 for t in made.load.messages),
            "tries": len(made.load.messages),
        }
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait(20)
        made.close()


def draw(made: Trial, path: str) -> None:
    """Instances ready, answers a second and the cold server's arrivals against what it bears, over the run."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    zero = made.marks[0][0]
    figure, (top, middle, low) = pyplot.subplots(3, 1, figsize=(12, 9), sharex=True)
    top.step([t - zero for t, _ in made.ready], [n for _, n in made.ready], where="post", color="tab:blue")
    top.set_ylabel("instances ready")
    seconds = int(made.marks[-1][0] - zero) + 1
    for name, wanted, colour in (
        ("served", (200,), "tab:green"),
        ("turned away", (429, 503), "tab:orange"),
        ("no answer", (0,), "tab:red"),
    ):
        counts = [0] * (seconds + 20)
        for one in made.load.messages:
            if one.status in wanted:
                counts[min(seconds + 19, int(one.ended_at - zero))] += 1
        middle.plot(counts[:seconds], label=name, color=colour)
    middle.set_ylabel("tries ended a second")
    middle.legend(loc="upper left")
    for cold in made.colds:
        begin = cold["at"]
        times = [begin + n * 0.25 for n in range(int(4 * COLD))]
        bears = [
            MULTIPLE
            * FALL
            * made.cold.warm_rate
            * (COLD_FROM + (1 - COLD_FROM) * max(0.0, t - FALL / 2 - begin) / COLD)
            for t in times
        ]
        seen = [sum(t - FALL < a <= t for a in cold.get("seen", [])) for t in times]
        low.plot([t - zero for t in times], bears, color="tab:red", label="bears" if cold is made.colds[0] else None)
        low.plot([t - zero for t in times], seen, color="tab:blue", label="sent" if cold is made.colds[0] else None)
    low.set_ylabel(f"cold server, in {FALL:g} s")
    low.legend(loc="upper left")
    low.set_xlabel("s")
    for axis in (top, middle, low):
        for at, what in made.marks[:-1]:
            axis.axvline(at - zero, color="grey", linewidth=0.7)
            if axis is top:
                axis.text(at - zero, made.instances * 0.03, " " + what, rotation=90, fontsize=8, va="bottom")
    figure.suptitle(f"{made.instances} instances, one supervisor")
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def usage(pid: int) -> tuple[float, int]:
    """CPU s so far, and resident KB."""
    text = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    return (int(text[11]) + int(text[12])) / TICK, next(
        int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS")
    )


def idle(instances: int, seconds: float) -> dict[str, Any]:
    """Fleets without and with membership, and lone ingresses, beside each other: means of an idle instance."""
    from benchmarks.ledger_cost import Process

    fleets = [Trial(instances, 1, 0.0, 40.0, members) for members in (False, True)]
    lone = [
        Process(
            fleets[0].folder,
            f"lone-{n}",
            port,
            fleets[0].discovery.listener.address_text,
            fleets[0].counter.listener.address_text,
            "",
        )
        for n, port in enumerate(free_ports(4))
    ]
    try:
        for made in fleets:
            made.run()

        def wait(span: float) -> None:
            end = time.monotonic() + span
            while time.monotonic() < end:
                for made in fleets:
                    made.loop.run_once(0.01)

        wait(3.0)
        for made in fleets:
            made.ask("POST", "/v1/fleet/scale", {"instances": instances})
        wait(10.0)
        for made in fleets:
            made.front.running = False
        kinds = {"lone": [p.process.pid for p in lone]}
        for name, made in zip(("fleet", "members"), fleets, strict=True):
            kinds[name] = [r["pid"] for r in made.status()["places"] if r["state"] == "ready"]
            kinds["supervisor of " + name] = [made.supervisor.pid] if made.supervisor else []
        before = {name: [usage(pid) for pid in pids] for name, pids in kinds.items()}
        wait(seconds)
        found: dict[str, Any] = {"instances": instances, "seconds": seconds}
        for name, pids in kinds.items():
            now = [usage(pid) for pid in pids]
            spent = sum(a[0] - b[0] for a, b in zip(now, before[name], strict=True)) / len(pids) / seconds
            found[name] = {
                "cpuPercent": round(100 * spent, 3),
                "residentMb": round(sum(a[1] for a in now) / len(pids) / 1024, 1),
            }
        for name in ("fleet", "members"):
            found[f"{name}ToLone"] = {
                key: round(found[name][key] / max(1e-9, found["lone"][key]), 2) for key in ("cpuPercent", "residentMb")
            }
        return found
    finally:
        for p in lone:
            p.process.terminate()
        for made in fleets:
            made.close()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--instances", type=int, default=40)
    parser.add_argument("--seed", type=int, default=3)
    parser.add_argument("--rate", type=float, default=0.0, help="tries a second; else 8 an instance")
    parser.add_argument("--full", type=float, default=40.0, help="of the cold server: attempts a second when warm")
    parser.add_argument("--members", action="store_true", help="membership between the instances")
    parser.add_argument("--idle", action="store_true")
    parser.add_argument("--cold", action="store_true", help="twenty that start at once, told of three and of twenty")
    parser.add_argument("--seconds", type=float, default=20.0, help="of --idle")
    parser.add_argument("--plot", default="", help="a picture of the run")
    parser.add_argument("--json", default="", help="a file for the report")
    told = parser.parse_args()
    if told.cold:
        report = {
            "pairs": [
                cold_start(20, told.seed, believes, reports, starts=5)
                for believes, reports in ((3, False), (3, True), (0, True))
            ]
        }
        report["faults"] = [f"fell {pair['fell']} times" for pair in report["pairs"][2:] if pair["fell"]]
    elif told.idle:
        report = idle(min(told.instances, 12), told.seconds)
    else:
        report = trial(told.instances, told.seed, told.rate, told.full, members=told.members, plot=told.plot)
    text = json.dumps(report, indent=1)
    print(text)
    if told.json:
        Path(told.json).write_text(text + "\n")
    return 1 if report.get("faults") else 0


if __name__ == "__main__":
    raise SystemExit(main())
