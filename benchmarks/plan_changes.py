"""Plans changing under load: counted use = exported use = what ran, with kills, a failing billing and a silent counter.

    python -m benchmarks.plan_changes --minutes 10          the proof
    python -m benchmarks.plan_changes --seconds 20          its short form, which the tests run

Three daemons are real processes on loopback, everything around them stands in this one. Exits 1 where anything does
not match, or a firm was let in for more than 2 % beyond its allowance."""

from __future__ import annotations

import argparse
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from typing import Any

import structlog
from rich.console import Console
from rich.progress import Progress

from brackenpulley.control.client import ControlClient, ControlError
from brackenpulley.ledger.store import Store
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.plans.book import Book, Change, Figures, format_firm
from brackenpulley.plans.snapshot import load
from brackenpulley.serve import wall_clock
from brackenpulley.settings import decode_settings
from brackenpulley.standins import audit
from brackenpulley.standins.billing import Billing
from brackenpulley.standins.clients import Firm, Load
from brackenpulley.standins.servers import Counter, Discovery, ReceivedRelay, SimServer
from brackenpulley.standins.settings import PLANS, build_settings

ROOT = Path(__file__).resolve().parent.parent
GATEWAYS, SERVERS, FIRMS = 3, 4, 12
MOST_OVER = 0.02
BILLING = ("takes", "lost", "409", "part", "500", "413", "takes", "429", "lost")


class Ingress:
    """One daemon as a process, its files, its control socket."""

    def __init__(self, trial: Trial, number: int, port: int) -> None:
        self.trial, self.number, self.at = trial, number, ("127.0.0.1", port)
        self.folder = trial.folder / f"n{number}"
        self.folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self.control = ControlClient(f"unix:{self.folder}/control.sock")
        config = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{port}",
            "discovery": trial.discovery.listener.address_text,
            "counter": trial.counter.listener.address_text,
            "seed": f"{trial.seed + number:x}",
            "settings": build_settings(GATEWAYS, number),
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "operator.toml").write_text(
            f'[control]\nlisten = "unix:{self.folder}/control.sock"\n'
            f'[plans]\nsnapshot = "{self.folder}/plans"\n[reservations]\n'
            + ("[leases]\n" if trial.exact else "")
            + f'[ledger]\npath = "{self.folder}/ledger"\nperiod_s = {trial.period}\ngrace_s = 1.0\n'
            f'[ledger.export]\nurl = "http://{trial.billing.listener.address_text}/use"\nlongest_wait_s = 1.0\n'
            "timeout_s = 1.0\nbatch = 40\n"
        )

    def start(self) -> None:
        env = {k: v for k, v in os.environ.items() if not k.startswith("BALANCER_")}
        with open(self.folder / "log", "ab") as log:
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
                env=env,
                stdout=log,
                stderr=log,
            )

    def up(self) -> bool:
        try:
            return bool(self.control.call("GET", "/v1/status")["ready"])
        except ControlError:
            return False

    def status(self) -> dict[str, Any]:
        found: dict[str, Any] = self.control.call("GET", "/v1/status")
        return found

    def catch_up(self, changes: list[Change]) -> None:
        """What the operators decided while it was away, in order."""
        known = self.control.call("GET", "/v1/plans")["revision"]
        for change in changes[known:]:
            self.tell(change)

    def tell(self, change: Change) -> None:
        import msgspec

        self.control.call("POST", "/v1/changes", msgspec.to_builtins(change))

    def memory_kb(self) -> int:
        assert self.process is not None
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        return next((int(line.split()[1]) for line in text.splitlines() if line.startswith("VmRSS")), 0)


class Trial:
    def __init__(self, seconds: float, exact: bool, seed: int, every: float, plot: str = "") -> None:
        self.plot = plot
        self.seconds, self.exact, self.seed, self.every = seconds, exact, seed, every
        self.period = 2.0 if seconds < 120 else 10.0
        self.rng = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="bracken-plans-"))
        self.clock = wall_clock()
        self.metrics = Metrics()
        self.loop = Loop(self.clock, self.metrics, structlog.get_logger())
        self.servers = [SimServer(self.loop, f"s-{n}", random.Random(seed + n), 0.06) for n in range(SERVERS)]
        for server in self.servers:
            server.script = self._script
        self.discovery, self.counter = Discovery(self.loop, self.servers), Counter(self.loop)
        self.billing = Billing(self.loop)
        self.rough = False
        ports = free_ports(GATEWAYS)
        self.ingresses = [Ingress(self, n, ports[n]) for n in range(GATEWAYS)]
        names = sorted(PLANS)
        # A third of the firms ask for more than their plan lets in, the others stay under it.
        self.firms = [
            Firm(
                0xB4D60000 + n,
                names[n % 2],
                (PLANS[names[n % 2]]["QuotaRate"] / 1.7) * (1.6 if n % 3 == 0 else 0.5),
                2 + n % 2,
                n % GATEWAYS,
            )
            for n in range(FIRMS)
        ]
        self.load = Load(self.loop, [one.at for one in self.ingresses], self.firms, self.rng)
        self.changes: list[Change] = []
        self.killed: dict[str, set[str]] = {}
        self.down_once: set[int] = set()
        self.memory: list[list[int]] = []
        self.notes: list[str] = []

    def _script(self, rng: random.Random) -> str:
        """A few attempts in a hundred go wrong while it is rough."""
        if not self.rough:
            return "ok"
        return rng.choices(("ok", "error", "full", "reset"), (94, 2, 3, 1))[0]

    def turn_until(self, done: Any, longest: float, what: str) -> None:
        end = time.monotonic() + longest
        while not done():
            if time.monotonic() > end:
                raise SystemExit(f"waited in vain for {what}; logs in {self.folder}")
            self.loop.run_once(0.02)

    def run(self, progress: Progress) -> dict[str, Any]:
        for one in self.ingresses:
            one.start()
        asked = [0.0]

        def all_up() -> bool:
            if time.monotonic() - asked[0] < 0.2:
                return False
            asked[0] = time.monotonic()
            return all(one.up() for one in self.ingresses)

        self.turn_until(all_up, 30, "the daemons")
        begin = self.clock()
        task = progress.add_task("plans changing", total=self.seconds)
        self.load.start()
        self.rough = True
        self._plan_script(begin)
        while (now := self.clock()) < begin + self.seconds:
            self.loop.run_once(0.05)
            progress.update(task, completed=now - begin)
        self.load.stop()
        end = self.clock()
        self.turn_until(lambda: self.load.in_flight == 0, 15, "the last answers")
        self.rough = False
        self.billing.mode = "takes"
        self.counter.set_mode("answers")
        self.turn_until(self._exported, 60, "the export of what is left")
        return self._verdict(begin, end)

    def _exported(self) -> bool:
        if time.monotonic() - getattr(self, "_asked", 0.0) < 0.3:
            return False
        self._asked = time.monotonic()
        told = [one.status()["ledger"] for one in self.ingresses]
        return all(t["openSums"] == 0 and t["backlog"] == 0 for t in told)

    def _plan_script(self, begin: float) -> None:
        def at(when: float, call: Any) -> None:
            self.loop.call_at(begin + when, call)

        every = self.every
        number, when = 0, every / 2
        while when < self.seconds - every / 4:
            at(when, partial(self._change, number))
            number, when = number + 1, when + every

        def speak(mode: str) -> None:
            self.billing.mode = mode

        for n in range(int(self.seconds / every * 2)):
            at(n * every / 2, partial(speak, BILLING[n % len(BILLING)]))
        at(self.seconds * 0.35, lambda: self._kill(1))
        at(self.seconds * 0.35 + min(3.0, every / 2), lambda: self._restart(1))
        for part in (0.2, 0.6):  # the counter says nothing while a change takes effect
            at(self.seconds * part, lambda: self.counter.set_mode("silent"))
            at(self.seconds * part + min(2.0, every / 3), lambda: self.counter.set_mode("answers"))
        for n in range(20):
            at(self.seconds * n / 20, self._look)

    def _look(self) -> None:
        self.memory.append([one.memory_kb() for one in self.ingresses])

    def _change(self, number: int) -> None:
        """Moves to and fro, new figures, a change due later, two at one instant, one that is withdrawn."""
        now, firm = self.clock(), self.rng.choice(self.firms)
        lead = min(5.0, self.every / 3)
        kind = number % 5
        plan = self.rng.choice([name for name in PLANS if name != firm.plan])
        if kind in (0, 1):
            self._decide(kind="move", firm=format_firm(firm.key), plan=plan, since=now + lead, at=now)
            if kind == 1:  # a second one for the same instant: the later revision holds
                self._decide(kind="move", firm=format_firm(firm.key), plan=firm.plan, since=now + lead, at=now)
        elif kind == 2:
            name = self.rng.choice(sorted(PLANS))
            figures = Figures(
                rate=PLANS[name]["QuotaRate"] * self.rng.choice((0.8, 1.0, 1.25)), burst=PLANS[name]["Burst"]
            )
            self._decide(kind="set", plan=name, figures=figures, since=now + lead, at=now)
        elif kind == 3:  # comes late: it holds since a second ago, and takes effect where it is heard
            self._decide(kind="move", firm=format_firm(firm.key), plan="county", since=now - 1.0, at=now)
        else:
            self._decide(kind="move", firm=format_firm(firm.key), plan=plan, since=now + lead, at=now)
            self._decide(kind="withdraw", of=len(self.changes), at=now)

    def _decide(self, **told: Any) -> None:
        change = Change(revision=len(self.changes) + 1, **told)
        self.changes.append(change)
        late = min(5.0, self.every / 3) * 0.9  # ingress 0 hears of each change so much later than the others
        for one in self.ingresses:
            if one.number == 0:
                self.loop.call_in(late, partial(self._tell, one))
            else:
                self._tell(one)

    def _tell(self, one: Ingress) -> None:
        if one.process is None or one.number in self.load.unavailable_ingresses:
            return
        try:
            one.catch_up(self.changes)
        except ControlError as error:
            self.notes.append(f"n{one.number}: {error}")

    def _kill(self, number: int) -> None:
        one = self.ingresses[number]
        assert one.process is not None
        out = {t.id for t in self.load.messages if t.ingress == number and not t.ended_at}
        one.process.send_signal(signal.SIGKILL)
        one.process.wait()
        self.load.unavailable_ingresses.add(number)
        self.down_once.add(number)
        store = Store(str(one.folder / "ledger"))
        counted = set(store.read_last_turn_ids())
        store.close()
        # What it had counted in its last turn may have left or not; what it had not counted has not left.
        self.loop.call_in(0.5, lambda: self._after_kill(number, out, counted))

    def _after_kill(self, number: int, out: set[str], counted: set[str]) -> None:
        unanswered = {t.id for t in self.load.messages if t.id in out and t.status == 0}
        self.killed[f"n{number}"] = unanswered - counted

    def _restart(self, number: int) -> None:
        one = self.ingresses[number]
        one.start()

        def ready() -> None:
            if one.up():
                one.catch_up(self.changes)
                self.load.unavailable_ingresses.discard(number)
            else:
                self.loop.call_in(0.1, ready)

        ready()

    def _verdict(self, begin: float, end: float) -> dict[str, Any]:
        statuses = [one.status() for one in self.ingresses]
        counters = [one.control.call("GET", "/v1/counters") for one in self.ingresses]
        for one in self.ingresses:
            assert one.process is not None
            one.process.send_signal(signal.SIGTERM)
        self.turn_until(
            lambda: all(one.process is not None and one.process.poll() is not None for one in self.ingresses),
            20,
            "the daemons to end",
        )
        codes = [one.process.returncode for one in self.ingresses if one.process is not None]
        counted: dict[audit.Key, int] = {}
        faults = [f"n{n} ended with {code}" for n, code in enumerate(codes) if code]
        entries = 0
        for one in self.ingresses:
            store = Store(str(one.folder / "ledger"))
            faults += [f"n{one.number}: {fault}" for fault, _ in store.verify() if fault]
            for key, units in store.read_totals().items():
                counted[key] = counted.get(key, 0) + units
            entries += store.read_state().next_seq - 1
            store.close()
        book = Book(decode_settings(build_settings(GATEWAYS)).plans)
        load(str(self.ingresses[2].folder / "plans"), book, self.clock())
        if book.revision != len(self.changes):
            faults.append(f"book: revision {book.revision}, and {len(self.changes)} were decided")
        ran = [row for server in self.servers for row in server.received_relays]
        verdict = audit.reconcile(ran, self.killed, counted, self.billing.sum_micro_units())
        faults += verdict.faults + self.billing.faults
        faults += audit.find_wrong_answer_counts(self.load.messages, self.down_once)
        over = audit.compute_excess(ran, book, {firm.key: firm.plan for firm in self.firms}, begin, end)
        faults += [
            f"firm {one.firm:016x}: {one.over:.1f} units over an allowance of {one.allowed:.0f}"
            for one in over
            if one.over_ratio > MOST_OVER
        ]
        if self.plot:
            self._draw(ran, book, begin, end)
        statuses_now = [t.status for t in self.load.messages]
        return {
            "seconds": round(end - begin, 1),
            "exact": self.exact,
            "changes": len(self.changes),
            "tries": len(self.load.messages),
            "served": statuses_now.count(200),
            "refused": statuses_now.count(429) + statuses_now.count(503),
            "unanswered": statuses_now.count(0),
            "ranUnits": verdict.ran / audit.MICRO_UNITS_PER_UNIT,
            "countedUnits": verdict.counted / audit.MICRO_UNITS_PER_UNIT,
            "exportedUnits": verdict.billed / audit.MICRO_UNITS_PER_UNIT,
            "ranButNeverAnswered": verdict.unanswered,
            "killed": {name: len(ids) for name, ids in self.killed.items()},
            "entries": entries,
            "eventsSent": sum(self.billing.delivery_counts.values()),
            "eventsTwice": sum(1 for count in self.billing.delivery_counts.values() if count > 1),
            "billingAnswers": dict(self.billing.answer_counts),
            "firms": {
                f"{one.firm:016x}": [round(one.over, 2), round(one.used, 1), round(one.allowed, 1)] for one in over
            },
            "mostExcess": round(max((one.over_ratio for one in over), default=0.0), 4),
            "counterCalls": self.counter.calls,
            "callsATry": round(self.counter.calls / max(1, len(ran)), 3),
            "memoryKb": self.memory,
            "ledgerBytes": [s["ledger"]["bytes"] for s in statuses],
            "leases": [s.get("leases") for s in statuses],
            "revisions": [s["plans"]["revision"] for s in statuses],
            "longestTurnUs": [c.get("longest_turn_us", 0) for c in counters],
            "notes": self.notes,
            "faults": faults,
        }

    def _draw(self, ran: list[ReceivedRelay], book: Book, begin: float, end: float) -> None:
        """Use of the firms whose plans changed most, against what their plans let in, over the run."""
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        moves = {
            firm.key: [
                c
                for c in book.list_history(firm=format_firm(firm.key))
                if c.kind == "move" and c.revision not in book.withdrawn
            ]
            for firm in self.firms
        }
        shown = sorted(self.firms, key=lambda firm: (not moves[firm.key], -firm.rate))[:4]
        figure, axes = pyplot.subplots(2, 2, figsize=(13, 8), sharex=True)
        final = audit.compute_expected_charges(ran)
        for firm, axis in zip(shown, axes.flat, strict=False):
            first = {one.id: one for one in sorted(ran, key=lambda row: -row.at) if one.firm == firm.key}
            rows = sorted(first.values(), key=lambda row: row.at)
            times, used, total = [0.0], [0.0], 0.0
            for one in rows:
                total += final[one.id].units / audit.MICRO_UNITS_PER_UNIT
                times.append(one.at - begin)
                used.append(total)
            grid = [begin + (end - begin) * n / 400 for n in range(401)]
            plan = book.find_spec(book.plan_of(firm.key, begin, firm.plan)[0], begin)
            burst = plan[1].burst if plan else 0.0
            axis.plot(
                [t - begin for t in grid],
                [burst + book.integrate_rate(firm.key, firm.plan, begin, t) for t in grid],
                color="tab:orange",
                label="burst and integral of the rate",
            )
            axis.step(times, used, where="post", color="tab:blue", label="units that ran")
            for change in {change.since: change for change in moves[firm.key]}.values():  # at one instant the later
                axis.axvline(change.since - begin, color="grey", linewidth=0.8, linestyle=":")
                axis.annotate(change.plan, (change.since - begin, 0), rotation=90, fontsize=8, va="bottom")
            axis.set_title(f"firm {format_firm(firm.key)}, began on {firm.plan}", fontsize=10)
            axis.set_ylabel("units")
            axis.legend(loc="upper left", fontsize=8)
        for axis in axes[-1]:
            axis.set_xlabel("seconds")
        figure.suptitle("Use against allowance while plans change")
        figure.tight_layout()
        figure.savefig(self.plot, dpi=90)
        pyplot.close(figure)

    def close(self) -> None:
        for one in self.ingresses:
            if one.process is not None and one.process.poll() is None:
                one.process.kill()
                one.process.wait()
        self.load.close()
        for listener in (
            self.discovery.listener,
            self.counter.listener,
            self.billing.listener,
            *(server.listener for server in self.servers),
        ):
            listener.stop()
        self.loop.close()


def free_ports(count: int) -> list[int]:
    import socket

    socks = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def trial(
    seconds: float, exact: bool = True, seed: int = 7, every: float = 30.0, quiet: bool = False, plot: str = ""
) -> dict[str, Any]:
    """One run; the report that is also printed. The folder is kept where something did not match."""
    made = Trial(seconds, exact, seed, every, plot)
    try:
        with Progress(console=Console(stderr=True), disable=quiet) as progress:
            report = made.run(progress)
    finally:
        made.close()
    if report["faults"]:
        report["folder"] = str(made.folder)
    else:
        shutil.rmtree(made.folder, ignore_errors=True)
    return report


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--minutes", type=float, default=0.0)
    words.add_argument("--seconds", type=float, default=0.0)
    words.add_argument("--estimate", action="store_true", help="without leases: the platform's estimating counter")
    words.add_argument("--seed", type=int, default=7)
    words.add_argument("--out", default="", help="also write the report as JSON to this file")
    words.add_argument("--plot", default="", help="a picture of use against allowance, as PNG")
    told = words.parse_args()
    seconds = told.minutes * 60 + told.seconds or 20.0
    report = trial(seconds, not told.estimate, told.seed, 30.0 if seconds >= 120 else 3.0, plot=told.plot)
    text = json.dumps(report, indent=1)
    print(text)
    if told.out:
        Path(told.out).write_text(text + "\n")
    return 1 if report["faults"] else 0


if __name__ == "__main__":
    sys.exit(main())
