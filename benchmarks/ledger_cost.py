"""What the ledger costs: CPU a message with it on against off in one run; recovery, verify and export by size.

    python -m benchmarks.ledger_cost                 both parts
    python -m benchmarks.ledger_cost --entries 1000000 --seconds 20

Both daemons run at once beside the same stand-ins and take turns at the load, so that a noisy machine is noisy for
both. Exits 1 where a bound is passed."""

from __future__ import annotations

import argparse
import json
import os
import random
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import structlog
from rich.console import Console
from rich.progress import Progress

from benchmarks.plan_changes import ROOT, find_free_ports
from brackenpulley.ledger import files
from brackenpulley.ledger.store import Store
from brackenpulley.ledger.tally import Entry, Key, Tally
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.billing import Billing
from brackenpulley.standins.clients import Firm, Load
from brackenpulley.standins.servers import Counter, Discovery, SimServer
from brackenpulley.standins.settings import settings

MOST_RATIO, MOST_RECOVERY, LEAST_RATE = 1.10, 5.0, 20_000.0
TICK = os.sysconf("SC_CLK_TCK")


class Process:
    """A daemon of its own."""

    def __init__(
        self,
        folder: Path,
        name: str,
        port: int,
        discovery: str,
        counter: str,
        operator: str,
        limits: dict[str, int] | None = None,
        console: str = "",
    ) -> None:
        self.at = ("127.0.0.1", port)
        raw = settings(1)
        for plan in raw["TiersOfService"]:
            plan.update(QuotaRate=1e6, Burst=1e6)  # the cost is asked for, not the quota
        config = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "discovery": discovery,
            "counter": counter,
            "settings": raw,
            "limits": limits or {},
            "console": console,
        }
        (folder / f"{name}.json").write_text(json.dumps(config))
        (folder / f"{name}.toml").write_text(operator)
        with open(folder / f"{name}.log", "wb") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "brackenpulley",
                    "serve",
                    "--config",
                    str(folder / f"{name}.json"),
                    "--operator",
                    str(folder / f"{name}.toml"),
                ],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    def cpu(self) -> float:
        """Seconds so far, user and system."""
        text = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(text[11]) + int(text[12])) / TICK

    def resident_kb(self) -> int:
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in text.splitlines() if line.startswith("VmRSS"))


def cost(seconds: float, rate: float, progress: Progress) -> dict[str, Any]:
    """CPU a message at this load, `seconds` s for each of the two, in turns of a second."""
    clock = wall_clock()
    loop = Loop(clock, Metrics(), structlog.get_logger())
    servers = [SimServer(loop, f"s-{n}", random.Random(n), 0.002) for n in range(4)]
    discovery, counter, billing = Discovery(loop, servers), Counter(loop), Billing(loop)
    with tempfile.TemporaryDirectory(prefix="bracken-cost-") as name:
        folder, ports = Path(name), find_free_ports(2)
        told = (
            f'[ledger]\npath = "{folder}/ledger"\nperiod_s = 5.0\ngrace_s = 0.5\n[ledger.export]\n'
            f'url = "http://{billing.listener.text}/use"\n'
        )
        daemons = [
            Process(folder, "off", ports[0], discovery.listener.text, counter.listener.text, ""),
            Process(folder, "on", ports[1], discovery.listener.text, counter.listener.text, told),
        ]
        firms = [Firm(n + 1, "county", rate / 20, 1, 0) for n in range(20)]
        loads = [Load(loop, [d.at], firms, random.Random(5)) for d in daemons]
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            loop.run_once(0.05)
        used, taken, memory = [0.0, 0.0], [0, 0], [d.resident_kb() for d in daemons]
        task = progress.add_task(f"{rate:g} messages a second", total=2 * seconds)
        for turn in range(int(2 * seconds)):
            which = turn % 2
            load, daemon = loads[which], daemons[which]
            before, count = daemon.cpu(), len(load.tries)
            load.start()
            end = time.monotonic() + 1.0
            while time.monotonic() < end:
                loop.run_once(0.01)
            load.stop()
            while load.out:
                loop.run_once(0.01)
            if turn >= 2:  # the first turn of each warms up
                used[which] += daemon.cpu() - before
                taken[which] += len(load.tries) - count
            progress.update(task, advance=1)
        grown = [d.resident_kb() - kb for d, kb in zip(daemons, memory, strict=True)]
        served = [sum(one.status == 200 for one in load.tries) for load in loads]
        for daemon in daemons:
            daemon.process.terminate()
        while any(daemon.process.poll() is None for daemon in daemons):
            loop.run_once(0.02)
        for load in loads:
            load.close()
        for listener in (discovery.listener, counter.listener, billing.listener, *(s.listener for s in servers)):
            listener.stop()
        loop.close()
    off, on = (used[n] / taken[n] * 1e6 for n in (0, 1))
    return {
        "rate": rate,
        "messages": taken,
        "served": served,
        "offUs": round(off, 1),
        "onUs": round(on, 1),
        "ratio": round(on / off, 3),
        "grownKb": grown,
        "events": len(billing.events),
    }


def sizes(entries: int, progress: Progress) -> dict[str, Any]:
    """Recovery, verify and export of a ledger of so many entries; a tenth of them as well, to see how it grows."""
    found: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="bracken-size-") as name:
        for count in (entries // 10, entries):
            folder = f"{name}/{count}"
            fill(folder, count, progress)
            began = time.perf_counter()
            store = Store(folder, "n0", 4 << 30)
            heads, _, _, _ = store.begin()
            recovery = time.perf_counter() - began
            began = time.perf_counter()
            task = progress.add_task("verify", total=count)
            faults = []
            for fault, seen in store.verify():
                if fault:
                    faults.append(fault)
                if seen % 5000 == 0:
                    progress.update(task, completed=seen)
            verify = time.perf_counter() - began
            rates = {}
            for kind in ("jsonl", "csv"):
                task = progress.add_task(kind, total=count)
                began = time.perf_counter()
                for done in files.export(store, f"{name}/{count}.{kind}", kind):
                    progress.update(task, completed=done)
                rates[kind] = round(count / (time.perf_counter() - began))
            found[str(count)] = {
                "recoverySeconds": round(recovery, 4),
                "verifyPerSecond": round(count / verify),
                "faults": faults,
                "bytesPerEntry": round(store.used_bytes() / count, 1),
                **{f"{kind}PerSecond": rate for kind, rate in rates.items()},
            }
            store.end()
    return found


def fill(folder: str, count: int, progress: Progress) -> None:
    store = Store(folder, "n0", 4 << 30)
    heads, _, _, _ = store.begin()
    tally = Tally(heads, 60_000, 0, 1 << 40)
    task = progress.add_task(f"{count} entries", total=count)
    while heads.next_seq <= count:
        first, most = heads.next_seq, min(20_000, count - heads.next_seq + 1)
        made = []
        for seq in range(first, first + most):
            key = Key("use", seq // 500 * 60_000, (seq // 500 + 1) * 60_000, seq % 500, "school", seq // 100_000)
            made.append(Entry(seq, f"n0/{heads.epoch}/{seq}", key, 1_500_000, 1))
        heads.next_seq += most
        heads.counted += most * 1_500_000
        heads.tries += most
        store.fold(tally.heads, {}, made, [])
        progress.update(task, advance=most)
    store.end()


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--entries", type=int, default=1_000_000)
    words.add_argument("--seconds", type=float, default=15.0)
    words.add_argument("--rates", default="60,300,900")
    words.add_argument("--out", default="")
    told = words.parse_args()
    with Progress(console=Console(stderr=True)) as progress:
        rates = [float(rate) for rate in told.rates.split(",") if rate]
        report: dict[str, Any] = {
            "cost": [cost(told.seconds, rate, progress) for rate in rates],
            "sizes": sizes(told.entries, progress) if told.entries else {},
        }
    text = json.dumps(report, indent=1)
    print(text)
    if told.out:
        Path(told.out).write_text(text + "\n")
    slow = [f"{one['rate']:g} a second: ratio {one['ratio']}" for one in report["cost"] if one["ratio"] > MOST_RATIO]
    for count, one in report["sizes"].items():
        if (
            one["recoverySeconds"] > MOST_RECOVERY
            or one["faults"]
            or min(one["verifyPerSecond"], one["jsonlPerSecond"], one["csvPerSecond"]) < LEAST_RATE
        ):
            slow.append(f"{count} entries: {one}")
    for line in slow:
        print(line, file=sys.stderr)
    return 1 if slow else 0


if __name__ == "__main__":
    sys.exit(main())
