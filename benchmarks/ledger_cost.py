"""Measures the cost of the ledger: CPU per message with and without it; recovery, verification and export by size.

    python -m benchmarks.ledger_cost                 both parts
    python -m benchmarks.ledger_cost --entries 1000000 --seconds 20

Both daemons run at the same time with the same stand-in services and get the load in turns, so that noise of the
machine affects both alike. Exits with 1 if a limit is exceeded.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import structlog
from rich.console import Console
from rich.progress import Progress

from benchmarks.daemon_process import find_free_ports, read_cpu_seconds, read_resident_kb, start_daemon
from brackenpulley.ledger import files
from brackenpulley.ledger.store import Store
from brackenpulley.ledger.tally import Entry, Tally, UsageKey
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.billing import Billing
from brackenpulley.standins.clients import Firm, Load
from brackenpulley.standins.servers import Counter, Discovery, SimServer
from brackenpulley.standins.settings import build_settings

MAX_COST_RATIO = 1.10  # CPU per message with the ledger to that without
MAX_RECOVERY_S = 5.0
MIN_ENTRIES_PER_SECOND = 20_000.0  # of verification and export


class Process:
    """A single daemon as a child process, with its configuration and log in a folder."""

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
        self.address = ("127.0.0.1", port)
        raw = build_settings(1)
        for plan in raw["TiersOfService"]:
            plan.update(QuotaRate=1e6, Burst=1e6)  # quotas must not limit the load
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
        self.process = start_daemon(folder / f"{name}.json", folder / f"{name}.toml", folder / f"{name}.log")

    def read_cpu_seconds(self) -> float:
        """Returns the CPU time in seconds that the daemon has used so far, user and system."""
        return read_cpu_seconds(self.process.pid)

    def read_resident_kb(self) -> int:
        """Returns the resident memory in KB."""
        return read_resident_kb(self.process.pid)


def measure_message_cost(seconds: float, rate: float, progress: Progress) -> dict[str, Any]:
    """Measures CPU time per message at a load, `seconds` seconds each with and without ledger, in turns of a second."""
    clock = wall_clock()
    loop = Loop(clock, Metrics(), structlog.get_logger())
    servers = [SimServer(loop, f"s-{n}", random.Random(n), 0.002) for n in range(4)]
    discovery, counter, billing = Discovery(loop, servers), Counter(loop), Billing(loop)
    with tempfile.TemporaryDirectory(prefix="bracken-cost-") as name:
        folder, ports = Path(name), find_free_ports(2)
        operator_text = (
            f'[ledger]\npath = "{folder}/ledger"\nperiod_s = 5.0\ngrace_s = 0.5\n[ledger.export]\n'
            f'url = "http://{billing.listener.address_text}/use"\n'
        )
        daemons = [
            Process(folder, "off", ports[0], discovery.listener.address_text, counter.listener.address_text, ""),
            Process(
                folder, "on", ports[1], discovery.listener.address_text, counter.listener.address_text, operator_text
            ),
        ]
        firms = [Firm(n + 1, "county", rate / 20, 1, 0) for n in range(20)]
        loads = [Load(loop, [daemon.address], firms, random.Random(5)) for daemon in daemons]
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            loop.run_once(0.05)
        cpu_seconds, message_counts, memory = [0.0, 0.0], [0, 0], [daemon.read_resident_kb() for daemon in daemons]
        task = progress.add_task(f"{rate:g} messages per second", total=2 * seconds)
        for turn in range(int(2 * seconds)):
            index = turn % 2
            load, daemon = loads[index], daemons[index]
            cpu_before, count_before = daemon.read_cpu_seconds(), len(load.messages)
            load.start()
            end = time.monotonic() + 1.0
            while time.monotonic() < end:
                loop.run_once(0.01)
            load.stop()
            while load.in_flight:
                loop.run_once(0.01)
            if turn >= 2:  # the first turn of each is a warm-up
                cpu_seconds[index] += daemon.read_cpu_seconds() - cpu_before
                message_counts[index] += len(load.messages) - count_before
            progress.update(task, advance=1)
        memory_growth = [daemon.read_resident_kb() - kb for daemon, kb in zip(daemons, memory, strict=True)]
        served = [sum(message.status == 200 for message in load.messages) for load in loads]
        for daemon in daemons:
            daemon.process.terminate()
        while any(daemon.process.poll() is None for daemon in daemons):
            loop.run_once(0.02)
        for load in loads:
            load.close()
        for listener in (discovery.listener, counter.listener, billing.listener, *(s.listener for s in servers)):
            listener.stop()
        loop.close()
    off_us, on_us = (cpu_seconds[n] / message_counts[n] * 1e6 for n in (0, 1))
    return {
        "rate": rate,
        "messages": message_counts,
        "served": served,
        "offUs": round(off_us, 1),
        "onUs": round(on_us, 1),
        "ratio": round(on_us / off_us, 3),
        "grownKb": memory_growth,
        "events": len(billing.events),
    }


def measure_sizes(entries: int, progress: Progress) -> dict[str, Any]:
    """Measures recovery, verification and export of ledgers of that many entries and of a tenth, to show the growth."""
    results: dict[str, Any] = {}
    with tempfile.TemporaryDirectory(prefix="bracken-size-") as name:
        for count in (entries // 10, entries):
            folder = f"{name}/{count}"
            fill_ledger(folder, count, progress)
            started_at = time.perf_counter()
            store = Store(folder, "n0", 4 << 30)
            heads, _, _, _ = store.recover()
            recovery = time.perf_counter() - started_at
            started_at = time.perf_counter()
            task = progress.add_task("verify", total=count)
            faults = []
            for fault, seen in store.verify():
                if fault:
                    faults.append(fault)
                if seen % 5000 == 0:
                    progress.update(task, completed=seen)
            verify = time.perf_counter() - started_at
            rates = {}
            for kind in ("jsonl", "csv"):
                task = progress.add_task(kind, total=count)
                started_at = time.perf_counter()
                for exported_count in files.export(store, f"{name}/{count}.{kind}", kind):
                    progress.update(task, completed=exported_count)
                rates[kind] = round(count / (time.perf_counter() - started_at))
            results[str(count)] = {
                "recoverySeconds": round(recovery, 4),
                "verifyPerSecond": round(count / verify),
                "faults": faults,
                "bytesPerEntry": round(store.used_bytes() / count, 1),
                **{f"{kind}PerSecond": rate for kind, rate in rates.items()},
            }
            store.close()
    return results


def fill_ledger(folder: str, count: int, progress: Progress) -> None:
    """Writes a ledger with that many entries."""
    store = Store(folder, "n0", 4 << 30)
    heads, _, _, _ = store.recover()
    tally = Tally(heads, 60_000, 0, 1 << 40)
    task = progress.add_task(f"{count} entries", total=count)
    while heads.next_seq <= count:
        first_seq, batch_size = heads.next_seq, min(20_000, count - heads.next_seq + 1)
        entries = []
        for seq in range(first_seq, first_seq + batch_size):
            key = UsageKey("use", seq // 500 * 60_000, (seq // 500 + 1) * 60_000, seq % 500, "school", seq // 100_000)
            entries.append(Entry(seq, f"n0/{heads.epoch}/{seq}", key, 1_500_000, 1))
        heads.next_seq += batch_size
        heads.counted_micro_units += batch_size * 1_500_000
        heads.charge_count += batch_size
        store.checkpoint(tally.state, {}, entries, [])
        progress.update(task, advance=batch_size)
    store.close()


def main() -> int:
    """Runs the command line and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--entries", type=int, default=1_000_000)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--rates", default="60,300,900")
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    with Progress(console=Console(stderr=True)) as progress:
        rates = [float(rate) for rate in options.rates.split(",") if rate]
        report: dict[str, Any] = {
            "cost": [measure_message_cost(options.seconds, rate, progress) for rate in rates],
            "sizes": measure_sizes(options.entries, progress) if options.entries else {},
        }
    text = json.dumps(report, indent=1)
    print(text)
    if options.out:
        Path(options.out).write_text(text + "\n")
    failures = [
        f"{row['rate']:g} messages per second: ratio {row['ratio']}"
        for row in report["cost"]
        if row["ratio"] > MAX_COST_RATIO
    ]
    for count, row in report["sizes"].items():
        if (
            row["recoverySeconds"] > MAX_RECOVERY_S
            or row["faults"]
            or min(row["verifyPerSecond"], row["jsonlPerSecond"], row["csvPerSecond"]) < MIN_ENTRIES_PER_SECOND
        ):
            failures.append(f"{count} entries: {row}")
    for line in failures:
        print(line, file=sys.stderr)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
