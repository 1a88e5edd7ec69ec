"""An export that is interrupted (ended by a signal) and retried, and the use that is counted after it."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness2.clients import Client
from review.harness2.ingress import ROOT, Ingress, command, join, settings
from review.harness2.main import TROUBLE, NotRunError, run
from review.harness2.platform import Billing, Counter, Discovery, SimServer
from review.harness2.record import Record

FIRMS = 400
CLIENTS = 12
BEFORE_SECONDS = 8.0  # of load, before the export
AFTER_SECONDS = 55.0  # of load, from the retried export on
PERIOD_SECONDS, GRACE_SECONDS, SYNC_SECONDS = 1.0, 0.5, 0.5
STORE_MB = 5  # the same load without the interruption uses 2.3 MB


async def wait_for(process: subprocess.Popen[bytes], seconds: float) -> int:
    """Wait for the end of an export and return its exit code."""
    until = time.monotonic() + seconds
    while process.poll() is None:
        if time.monotonic() > until:
            raise NotRunError("an export did not end")
        await asyncio.sleep(0.01)
    return int(process.returncode)


async def case(record: Record, folder: Path) -> list[str]:
    """Interrupt an export and retry it, serve on, restart in order, and compare what ran with what was billed."""
    server, billing = SimServer("s-1", record, work=0.002), Billing(record)
    await server.open()
    await billing.open()
    discovery, counter = Discovery([server.entry()]), Counter()
    await discovery.open()
    await counter.open()
    ingress = Ingress(
        folder,
        record,
        "n0",
        {
            "discovery": join(discovery.address),
            "counter": join(counter.address),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(school={"QuotaRate": 20.0, "Burst": 60.0}),
        },
        f"""
[ledger]
path = "{folder}/ledger"
period_s = {PERIOD_SECONDS}
grace_s = {GRACE_SECONDS}
sync_s = {SYNC_SECONDS}
size_mb = {STORE_MB}
[ledger.export]
url = "http://{join(billing.address)}/use"
longest_wait_s = 1.0
""",
    )
    exports: list[subprocess.Popen[bytes]] = []

    def export(out: Path) -> subprocess.Popen[bytes]:
        process = subprocess.Popen(
            command("ledger", "export", "--path", f"{folder}/ledger", "--out", str(out)),
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.STDOUT,
        )
        exports.append(process)
        return process

    async def interrupt() -> None:
        """Begin an export and end it by SIGTERM in its middle; again from the start if it was over before."""
        for attempt in range(20):
            out = folder / f"use-{attempt}.jsonl"
            process = export(out)
            until = time.monotonic() + 10.0
            while (not out.exists() or not out.stat().st_size) and time.monotonic() < until:
                await asyncio.sleep(0.0005)
            process.send_signal(signal.SIGTERM)
            code = await wait_for(process, 5.0)
            record.say("export", interrupted=code == -signal.SIGTERM, bytes=out.stat().st_size if out.exists() else 0)
            if code == -signal.SIGTERM:
                record.say("retried", exit=await wait_for(export(out), 20.0), lines=out.read_bytes().count(b"\n"))
                return
        raise NotRunError("every export was over before its interruption")

    served: set[str] = set()

    async def load(first: int, until: float) -> None:
        client, firm = Client(ingress.listen, record), first
        while time.monotonic() < until:
            outcome = await client.ask(0x1000 + firm % FIRMS, "school")
            if outcome.status == 200:
                served.add(outcome.id)
            firm += 7
            await asyncio.sleep(0.004)
        client.close()

    try:
        ingress.start()
        if not await ingress.wait_ready():
            raise NotRunError(f"the ingress is not ready: {ingress.log()[-500:]}")
        until = time.monotonic() + BEFORE_SECONDS
        await asyncio.gather(*(load(n * 11, until) for n in range(CLIENTS)))
        tasks = [asyncio.create_task(load(n * 11, time.monotonic() + AFTER_SECONDS)) for n in range(CLIENTS)]
        if TROUBLE:
            await interrupt()
        else:
            record.say("exported", exit=await wait_for(export(folder / "use.jsonl"), 20.0))
        await asyncio.gather(*tasks)
        await asyncio.sleep(2 * (PERIOD_SECONDS + GRACE_SECONDS))
        record.say("billed", units=sum(billing.sum_units().values()), ran=len(server.ran))
        ingress.signal(signal.SIGTERM)  # a planned restart, with and without the interruption
        if await ingress.wait_end(8.2) != 0:
            raise NotRunError("the ingress did not end in order")
        store_bytes = (folder / "ledger/data.mdb").stat().st_size
        ingress.start()
        if not await ingress.wait_ready():
            raise NotRunError("the ingress is not ready again")
        until, last = time.monotonic() + 25.0, -1
        while time.monotonic() < until:  # until billing has all, or has heard nothing new for 8 s
            if len(billing.events) != last:
                last, quiet_since = len(billing.events), time.monotonic()
            if round(sum(billing.sum_units().values())) == len(server.ran) or time.monotonic() > quiet_since + 8.0:
                break
            await asyncio.sleep(0.5)
    finally:
        for process in exports:
            if process.poll() is None:
                process.kill()
            process.wait()
        ingress.kill()
        for stand in (server, billing, discovery, counter):
            await stand.close()
    for line in ingress.log().splitlines():
        if "event=ledger" in line:
            record.note("log", line=line)
    record.say("store", bytes=store_bytes)
    billed, ran = round(sum(billing.sum_units().values())), len(server.ran)
    record.say("counted", served=len(served), units_that_ran=ran, units_billed=billed)
    return [f"{len(served)} served requests ran {ran} units, and billing was told of {billed}"] if billed != ran else []


if __name__ == "__main__":
    run(case, __file__)
