"""Changes plans under load and checks that counted use, exported use and the units that ran are equal.

    python -m benchmarks.plan_changes --minutes 10          the full run
    python -m benchmarks.plan_changes --seconds 20          the short run, which the tests use

Daemons are killed, the billing service fails and the counter is silent meanwhile. Three daemons are real processes on
loopback; all other services run in this process. Exits with 1 if the units do not match, or if a firm got more than 2 %
above its allowance.
"""

from __future__ import annotations

import argparse
import json
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

from benchmarks.daemon_process import find_free_ports, read_resident_kb, start_daemon
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

INGRESS_COUNT = 3
SERVER_COUNT = 4
FIRM_COUNT = 12
MAX_EXCESS = 0.02  # of its allowance, for one firm
# Behaviour of the billing service in turn, as `Billing.mode` names it.
BILLING_MODES = ("takes", "lost", "409", "part", "500", "413", "takes", "429", "lost")


class IngressProcess:
    """One daemon as a child process, with its files and its control socket."""

    def __init__(self, trial: Trial, number: int, port: int) -> None:
        self.trial, self.number, self.address = trial, number, ("127.0.0.1", port)
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
            "settings": build_settings(INGRESS_COUNT, number),
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "operator.toml").write_text(
            f'[control]\nlisten = "unix:{self.folder}/control.sock"\n'
            f'[plans]\nsnapshot = "{self.folder}/plans"\n[reservations]\n'
            + ("[leases]\n" if trial.has_leases else "")
            + f'[ledger]\npath = "{self.folder}/ledger"\nperiod_s = {trial.period_s}\ngrace_s = 1.0\n'
            f'[ledger.export]\nurl = "http://{trial.billing.listener.address_text}/use"\nlongest_wait_s = 1.0\n'
            "timeout_s = 1.0\nbatch = 40\n"
        )

    def start(self) -> None:
        """Starts the daemon."""
        self.process = start_daemon(self.folder / "config.json", self.folder / "operator.toml", self.folder / "log")

    def is_ready(self) -> bool:
        """Tells whether the daemon answers on its control socket and is ready."""
        try:
            return bool(self.control.call("GET", "/v1/status")["ready"])
        except ControlError:
            return False

    def read_status(self) -> dict[str, Any]:
        """Returns the status from the control socket."""
        status: dict[str, Any] = self.control.call("GET", "/v1/status")
        return status

    def catch_up(self, changes: list[Change]) -> None:
        """Sends the changes that the daemon does not know yet, in order."""
        known_revision = self.control.call("GET", "/v1/plans")["revision"]
        for change in changes[known_revision:]:
            self.send_change(change)

    def send_change(self, change: Change) -> None:
        """Submits one change on the control socket."""
        import msgspec

        self.control.call("POST", "/v1/changes", msgspec.to_builtins(change))

    def read_memory_kb(self) -> int:
        """Returns the resident memory in KB, or 0 if the process has ended."""
        assert self.process is not None
        return read_resident_kb(self.process.pid)


class Trial:
    """Daemons, stand-in services and clients of one run, and the events scheduled in it."""

    def __init__(self, seconds: float, has_leases: bool, seed: int, change_interval_s: float, plot: str = "") -> None:
        self.plot = plot
        self.seconds, self.has_leases, self.seed, self.change_interval_s = seconds, has_leases, seed, change_interval_s
        self.period_s = 2.0 if seconds < 120 else 10.0
        self.rng = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="bracken-plans-"))
        self.clock = wall_clock()
        self.metrics = Metrics()
        self.loop = Loop(self.clock, self.metrics, structlog.get_logger())
        self.servers = [SimServer(self.loop, f"s-{n}", random.Random(seed + n), 0.06) for n in range(SERVER_COUNT)]
        for server in self.servers:
            server.script = self._draw_outcome
        self.discovery, self.counter = Discovery(self.loop, self.servers), Counter(self.loop)
        self.billing = Billing(self.loop)
        self.has_faults = False
        ports = find_free_ports(INGRESS_COUNT)
        self.ingresses = [IngressProcess(self, n, ports[n]) for n in range(INGRESS_COUNT)]
        names = sorted(PLANS)
        # A third of the firms ask for more than their plan allows, the others for less.
        self.firms = [
            Firm(
                0xB4D60000 + n,
                names[n % 2],
                (PLANS[names[n % 2]]["QuotaRate"] / 1.7) * (1.6 if n % 3 == 0 else 0.5),
                2 + n % 2,
                n % INGRESS_COUNT,
            )
            for n in range(FIRM_COUNT)
        ]
        self.load = Load(self.loop, [ingress.address for ingress in self.ingresses], self.firms, self.rng)
        self.changes: list[Change] = []
        self.killed: dict[str, set[str]] = {}
        self.down_once: set[int] = set()
        self.memory: list[list[int]] = []
        self.notes: list[str] = []

    def _draw_outcome(self, rng: random.Random) -> str:
        """Draws the outcome of a relay; a few in a hundred fail while faults are enabled."""
        if not self.has_faults:
            return "ok"
        return rng.choices(("ok", "error", "full", "reset"), (94, 2, 3, 1))[0]

    def wait_until(self, condition: Any, timeout_s: float, description: str) -> None:
        """Runs the event loop until the condition holds; exits with a message after `timeout_s` seconds."""
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                raise SystemExit(f"timed out waiting for {description}; logs are in {self.folder}")
            self.loop.run_once(0.02)

    def run(self, progress: Progress) -> dict[str, Any]:
        """Runs the trial to its end and returns the report."""
        for ingress in self.ingresses:
            ingress.start()
        last_check = [0.0]

        def are_all_ready() -> bool:
            if time.monotonic() - last_check[0] < 0.2:
                return False
            last_check[0] = time.monotonic()
            return all(ingress.is_ready() for ingress in self.ingresses)

        self.wait_until(are_all_ready, 30, "the daemons")
        begin = self.clock()
        task = progress.add_task("plan changes", total=self.seconds)
        self.load.start()
        self.has_faults = True
        self._schedule_events(begin)
        while (now := self.clock()) < begin + self.seconds:
            self.loop.run_once(0.05)
            progress.update(task, completed=now - begin)
        self.load.stop()
        end = self.clock()
        self.wait_until(lambda: self.load.in_flight == 0, 15, "the last responses")
        self.has_faults = False
        self.billing.mode = "takes"
        self.counter.set_mode("answers")
        self.wait_until(self._is_exported, 60, "the export of the remaining entries")
        return self._build_report(begin, end)

    def _is_exported(self) -> bool:
        if time.monotonic() - getattr(self, "_last_check", 0.0) < 0.3:
            return False
        self._last_check = time.monotonic()
        ledgers = [ingress.read_status()["ledger"] for ingress in self.ingresses]
        return all(t["openSums"] == 0 and t["backlog"] == 0 for t in ledgers)

    def _schedule_events(self, begin: float) -> None:
        def at(when: float, call: Any) -> None:
            self.loop.call_at(begin + when, call)

        change_interval_s = self.change_interval_s
        number, when = 0, change_interval_s / 2
        while when < self.seconds - change_interval_s / 4:
            at(when, partial(self._change, number))
            number, when = number + 1, when + change_interval_s

        def speak(mode: str) -> None:
            self.billing.mode = mode

        for n in range(int(self.seconds / change_interval_s * 2)):
            at(n * change_interval_s / 2, partial(speak, BILLING_MODES[n % len(BILLING_MODES)]))
        at(self.seconds * 0.35, lambda: self._kill(1))
        at(self.seconds * 0.35 + min(3.0, change_interval_s / 2), lambda: self._restart(1))
        for part in (0.2, 0.6):  # the counter does not answer while a change takes effect
            at(self.seconds * part, lambda: self.counter.set_mode("silent"))
            at(self.seconds * part + min(2.0, change_interval_s / 3), lambda: self.counter.set_mode("answers"))
        for n in range(20):
            at(self.seconds * n / 20, self._sample_memory)

    def _sample_memory(self) -> None:
        self.memory.append([ingress.read_memory_kb() for ingress in self.ingresses])

    def _change(self, number: int) -> None:
        """Makes one of five kinds of change: moves, new figures, a late change, two at one instant, one withdrawn."""
        now, firm = self.clock(), self.rng.choice(self.firms)
        lead = min(5.0, self.change_interval_s / 3)
        kind = number % 5
        plan = self.rng.choice([name for name in PLANS if name != firm.plan])
        if kind in (0, 1):
            self._apply_change(kind="move", firm=format_firm(firm.key), plan=plan, since=now + lead, at=now)
            if kind == 1:  # two moves at the same instant: the later revision applies
                self._apply_change(kind="move", firm=format_firm(firm.key), plan=firm.plan, since=now + lead, at=now)
        elif kind == 2:
            name = self.rng.choice(sorted(PLANS))
            figures = Figures(
                rate=PLANS[name]["QuotaRate"] * self.rng.choice((0.8, 1.0, 1.25)), burst=PLANS[name]["Burst"]
            )
            self._apply_change(kind="set", plan=name, figures=figures, since=now + lead, at=now)
        elif kind == 3:  # in force since a second ago, but applied where it arrives
            self._apply_change(kind="move", firm=format_firm(firm.key), plan="county", since=now - 1.0, at=now)
        else:
            self._apply_change(kind="move", firm=format_firm(firm.key), plan=plan, since=now + lead, at=now)
            self._apply_change(kind="withdraw", of=len(self.changes), at=now)

    def _apply_change(self, **fields: Any) -> None:
        change = Change(revision=len(self.changes) + 1, **fields)
        self.changes.append(change)
        delay_s = min(5.0, self.change_interval_s / 3) * 0.9  # ingress 0 gets each change this much later
        for ingress in self.ingresses:
            if ingress.number == 0:
                self.loop.call_in(delay_s, partial(self._send_change, ingress))
            else:
                self._send_change(ingress)

    def _send_change(self, ingress: IngressProcess) -> None:
        if ingress.process is None or ingress.number in self.load.unavailable_ingresses:
            return
        try:
            ingress.catch_up(self.changes)
        except ControlError as error:
            self.notes.append(f"n{ingress.number}: {error}")

    def _kill(self, number: int) -> None:
        ingress = self.ingresses[number]
        assert ingress.process is not None
        in_flight = {t.id for t in self.load.messages if t.ingress == number and not t.ended_at}
        ingress.process.send_signal(signal.SIGKILL)
        ingress.process.wait()
        self.load.unavailable_ingresses.add(number)
        self.down_once.add(number)
        store = Store(str(ingress.folder / "ledger"))
        counted = set(store.read_last_turn_ids())
        store.close()
        # Responses counted in its last turn may or may not have been sent; those not counted were not sent.
        self.loop.call_in(0.5, lambda: self._after_kill(number, in_flight, counted))

    def _after_kill(self, number: int, in_flight: set[str], counted: set[str]) -> None:
        unanswered = {t.id for t in self.load.messages if t.id in in_flight and t.status == 0}
        self.killed[f"n{number}"] = unanswered - counted

    def _restart(self, number: int) -> None:
        ingress = self.ingresses[number]
        ingress.start()

        def ready() -> None:
            if ingress.is_ready():
                ingress.catch_up(self.changes)
                self.load.unavailable_ingresses.discard(number)
            else:
                self.loop.call_in(0.1, ready)

        ready()

    def _build_report(self, begin: float, end: float) -> dict[str, Any]:
        statuses = [ingress.read_status() for ingress in self.ingresses]
        counters = [ingress.control.call("GET", "/v1/counters") for ingress in self.ingresses]
        for ingress in self.ingresses:
            assert ingress.process is not None
            ingress.process.send_signal(signal.SIGTERM)
        self.wait_until(
            lambda: all(
                ingress.process is not None and ingress.process.poll() is not None for ingress in self.ingresses
            ),
            20,
            "the daemons to end",
        )
        exit_codes = [ingress.process.returncode for ingress in self.ingresses if ingress.process is not None]
        counted: dict[audit.Key, int] = {}
        faults = [f"n{n} exited with code {code}" for n, code in enumerate(exit_codes) if code]
        entries = 0
        for ingress in self.ingresses:
            store = Store(str(ingress.folder / "ledger"))
            faults += [f"n{ingress.number}: {fault}" for fault, _ in store.verify() if fault]
            for key, units in store.read_totals().items():
                counted[key] = counted.get(key, 0) + units
            entries += store.read_state().next_seq - 1
            store.close()
        book = Book(decode_settings(build_settings(INGRESS_COUNT)).plans)
        load(str(self.ingresses[2].folder / "plans"), book)
        if book.revision != len(self.changes):
            faults.append(f"book: revision {book.revision}, expected {len(self.changes)}")
        ran = [row for server in self.servers for row in server.received_relays]
        verdict = audit.reconcile(ran, self.killed, counted, self.billing.sum_micro_units())
        faults += verdict.faults + self.billing.faults
        faults += audit.find_wrong_answer_counts(self.load.messages, self.down_once)
        excesses = audit.compute_excess(ran, book, {firm.key: firm.plan for firm in self.firms}, begin, end)
        faults += [
            f"firm {excess.firm:016x}: {excess.over:.1f} units above an allowance of {excess.allowed:.0f}"
            for excess in excesses
            if excess.over_ratio > MAX_EXCESS
        ]
        if self.plot:
            self._draw_plot(ran, book, begin, end)
        statuses_now = [t.status for t in self.load.messages]
        return {
            "seconds": round(end - begin, 1),
            "exact": self.has_leases,
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
                f"{excess.firm:016x}": [round(excess.over, 2), round(excess.used, 1), round(excess.allowed, 1)]
                for excess in excesses
            },
            "mostExcess": round(max((excess.over_ratio for excess in excesses), default=0.0), 4),
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

    def _draw_plot(self, ran: list[ReceivedRelay], book: Book, begin: float, end: float) -> None:
        """Plots use against allowance over the run for four firms, moved ones and high rates first."""
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
        plotted_firms = sorted(self.firms, key=lambda firm: (not moves[firm.key], -firm.rate))[:4]
        figure, axes = pyplot.subplots(2, 2, figsize=(13, 8), sharex=True)
        final_costs = audit.compute_expected_charges(ran)
        for firm, axis in zip(plotted_firms, axes.flat, strict=False):
            first = {row.id: row for row in sorted(ran, key=lambda row: -row.at) if row.firm == firm.key}
            firm_rows = sorted(first.values(), key=lambda row: row.at)
            times, used, total = [0.0], [0.0], 0.0
            for row in firm_rows:
                total += final_costs[row.id].units / audit.MICRO_UNITS_PER_UNIT
                times.append(row.at - begin)
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
            # Of two changes at one instant, the later one counts.
            for change in {change.since: change for change in moves[firm.key]}.values():
                axis.axvline(change.since - begin, color="grey", linewidth=0.8, linestyle=":")
                axis.annotate(change.plan, (change.since - begin, 0), rotation=90, fontsize=8, va="bottom")
            axis.set_title(f"firm {format_firm(firm.key)}, initially on {firm.plan}", fontsize=10)
            axis.set_ylabel("units")
            axis.legend(loc="upper left", fontsize=8)
        for axis in axes[-1]:
            axis.set_xlabel("seconds")
        figure.suptitle("Use against allowance while plans change")
        figure.tight_layout()
        figure.savefig(self.plot, dpi=90)
        pyplot.close(figure)

    def close(self) -> None:
        """Kills the daemons that still run and closes all sockets."""
        for ingress in self.ingresses:
            if ingress.process is not None and ingress.process.poll() is None:
                ingress.process.kill()
                ingress.process.wait()
        self.load.close()
        for listener in (
            self.discovery.listener,
            self.counter.listener,
            self.billing.listener,
            *(server.listener for server in self.servers),
        ):
            listener.stop()
        self.loop.close()


def run_trial(
    seconds: float,
    has_leases: bool = True,
    seed: int = 7,
    change_interval_s: float = 30.0,
    quiet: bool = False,
    plot: str = "",
) -> dict[str, Any]:
    """Runs one trial and returns the report; the folder is kept if a check failed."""
    trial = Trial(seconds, has_leases, seed, change_interval_s, plot)
    try:
        with Progress(console=Console(stderr=True), disable=quiet) as progress:
            report = trial.run(progress)
    finally:
        trial.close()
    if report["faults"]:
        report["folder"] = str(trial.folder)
    else:
        shutil.rmtree(trial.folder, ignore_errors=True)
    return report


def main() -> int:
    """Runs the command line and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--minutes", type=float, default=0.0)
    parser.add_argument("--seconds", type=float, default=0.0)
    parser.add_argument(
        "--estimate", action="store_true", help="disable leases, so that the counter is used by estimates"
    )
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--out", default="", help="file to which the report is also written as JSON")
    parser.add_argument("--plot", default="", help="PNG file for a plot of use against allowance")
    options = parser.parse_args()
    seconds = options.minutes * 60 + options.seconds or 20.0
    report = run_trial(seconds, not options.estimate, options.seed, 30.0 if seconds >= 120 else 3.0, plot=options.plot)
    text = json.dumps(report, indent=1)
    print(text)
    if options.out:
        Path(options.out).write_text(text + "\n")
    return 1 if report["faults"] else 0


if __name__ == "__main__":
    sys.exit(main())
