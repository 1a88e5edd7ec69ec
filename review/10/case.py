"""Clients that send hundreds of requests at once, beside usual ones, and the memory limit of the ingress."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness2.clients import Client, encode_get
from review.harness2.ingress import Ingress, join, settings
from review.harness2.main import TROUBLE, NotRunError, run
from review.harness2.platform import Counter, Discovery, SimServer
from review.harness2.record import Record

MEMORY_MB, SOCKETS = 64, 512  # of 32 to 192 MB and 256 to 1,024 descriptors
BAD_CLIENTS = 140
REQUESTS_AT_ONCE = 300
USUAL_CLIENTS = 6
SECONDS = 20.0
BAD_AT_SECONDS = 4.0


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0.0
    return next((int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS")), 0.0)


async def case(record: Record, folder: Path) -> list[str]:
    """Serve usual clients, let the bad ones come, and kill the ingress once it is over its limit."""
    server = SimServer("s-1", record, work=0.05)
    await server.open()
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
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "settings": settings(school={"QuotaRate": 3.0, "Burst": 16.0}),
        },
    )
    statuses: dict[int, int] = {}
    most_mb, killed_at = 0.0, 0.0

    async def usual(number: int, until: float) -> None:
        client = Client(ingress.listen, record)
        while time.monotonic() < until and not killed_at:
            status = (await client.ask(0x1000 + number, "school")).status
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(0.4)
        client.close()

    async def bad(number: int) -> None:
        """Send the requests in one go, and read what is sent to it."""
        count = REQUESTS_AT_ONCE if TROUBLE else 1
        data = b"".join(encode_get(os.urandom(8).hex(), 0x2000 + number, "school") for _ in range(count))
        received = 0
        try:
            async with asyncio.timeout(8.0):
                reader, writer = await asyncio.open_connection(*ingress.listen)
                writer.write(data)
                if not TROUBLE:
                    writer.write_eof()
                while part := await reader.read(65536):
                    received += len(part)
                writer.close()
        except (OSError, TimeoutError):
            pass
        record.note("bad client", number=number, requests=count, sent=len(data), received=received)

    async def watch(until: float) -> None:
        """Do what the platform does: over its memory the ingress is killed."""
        nonlocal most_mb, killed_at
        while time.monotonic() < until:
            now_mb = resident_mb(ingress.pid)
            if now_mb > most_mb + 1.0:
                record.note("memory", mb=round(now_mb, 1))
            most_mb = max(most_mb, now_mb)
            if now_mb > MEMORY_MB and not killed_at:
                killed_at = time.monotonic()
                record.say("killed", why=f"{now_mb:.1f} MB of {MEMORY_MB}")
                ingress.kill()
                return
            await asyncio.sleep(0.005)

    try:
        ingress.start()
        if not await ingress.wait_ready():
            raise NotRunError(f"the ingress is not ready: {ingress.log()[-500:]}")
        started_at = time.monotonic()
        tasks = [asyncio.create_task(usual(n, started_at + SECONDS)) for n in range(USUAL_CLIENTS)]
        tasks.append(asyncio.create_task(watch(started_at + SECONDS)))
        await asyncio.sleep(BAD_AT_SECONDS)
        record.say("before the bad clients", mb=round(most_mb, 1))
        if most_mb > 0.75 * MEMORY_MB:
            raise NotRunError("the ingress takes most of its memory without any bad client here")
        tasks += [asyncio.create_task(bad(n)) for n in range(BAD_CLIENTS)]
        await asyncio.gather(*tasks)
        ended = ingress.process is not None and ingress.process.poll() is not None
    finally:
        ingress.kill()
        for stand in (server, discovery, counter):
            await stand.close()
    record.say("counted", most_mb=round(most_mb, 1), statuses=dict(sorted(statuses.items())))
    if killed_at:
        return [
            f"the ingress passed its {MEMORY_MB} MB and was killed; "
            f"{statuses.get(0, 0)} requests of usual clients have no answer"
        ]
    return ["the ingress ended by itself"] if ended else []


if __name__ == "__main__":
    run(case, __file__)
