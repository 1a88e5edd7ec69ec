"""A plan change that has become a year old, and a planned restart."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness2.clients import Client
from review.harness2.http import call
from review.harness2.ingress import Ingress, join, settings
from review.harness2.main import TROUBLE, NotRunError, run
from review.harness2.platform import Counter, Discovery, SimServer
from review.harness2.record import Record

YEAR_SECONDS = 366 * 86400.0  # the age up to which the control API takes a change
LEFT_SECONDS = 12.0  # of that age, when the change is taken
FIRM = 0x1001


async def case(record: Record, folder: Path) -> list[str]:
    """Take a change that was decided almost a year ago, serve, let it become a year old, and restart in order."""
    server = SimServer("s-1", record)
    await server.open()
    discovery, counter = Discovery([server.entry()]), Counter()
    await discovery.open()
    await counter.open()
    control = str(folder / "n0.sock")
    ingress = Ingress(
        folder,
        record,
        "n0",
        {
            "discovery": join(discovery.address),
            "counter": join(counter.address),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(school={"QuotaRate": 3.0, "Burst": 16.0}, county={"QuotaRate": 10.0, "Burst": 40.0}),
        },
        f'[control]\nlisten = "unix:{control}"\n[plans]\nsnapshot = "{folder}/plans"\n',
    )

    async def change(**fields: object) -> None:
        answer = await call(control, "POST", "/v1/changes", json.dumps(fields).encode())
        status = 0 if answer is None else answer.status
        record.say("change", revision=fields["revision"], kind=fields["kind"], status=status)
        if status != 201:
            raise NotRunError(f"the change was not taken: {answer.body if answer is not None else None!r}")

    async def serve(count: int) -> int:
        """Send requests of usual clients and return how many were served."""
        client = Client(ingress.listen, record)
        found = 0
        for _ in range(count):
            found += (await client.ask(FIRM, "school", seconds=4.0)).status == 200
            await asyncio.sleep(0.2)
        client.close()
        return found

    broken: list[str] = []
    try:
        ingress.start()
        if not await ingress.wait_ready():
            raise NotRunError(f"the ingress is not ready: {ingress.log()[-500:]}")
        decided_at = time.time() - YEAR_SECONDS + LEFT_SECONDS
        # As `plans sync` brings it to a daemon that was installed now, in a fleet whose book was begun a year ago.
        await change(revision=1, kind="move", at=decided_at, since=decided_at, firm=f"{FIRM:016x}", plan="county")
        await change(
            revision=2, kind="move", at=time.time(), since=time.time() + 1, firm=f"{FIRM + 1:016x}", plan="school"
        )
        record.say("served before", count=await serve(10))
        while time.time() < decided_at + YEAR_SECONDS + 2.0:
            await asyncio.sleep(0.1)
        record.say("a year old", served=await serve(5))
        if TROUBLE:
            ingress.signal(signal.SIGTERM)
            if await ingress.wait_end(8.2) != 0:
                raise NotRunError("the ingress did not end in order")
            ingress.start()
            ready = await ingress.wait_ready(30.0)
            assert ingress.process is not None
            code = ingress.process.poll()
            record.say("restarted", ready=ready, exit=code)
            if not ready:
                broken.append(f"30 s after its planned restart the ingress is not ready; exit code {code}")
        answer = await call(control, "GET", f"/v1/firms/{FIRM:016x}")
        plan = "" if answer is None else json.loads(answer.body)["plan"]
        served = await serve(5)
        record.say("at the end", plan=plan, served=served)
        if plan != "county" or not served:
            broken.append(f"the firm is on plan {plan!r} and {served} of its 5 requests are served")
    finally:
        ingress.kill()
        for stand in (server, discovery, counter):
            await stand.close()
    for line in ingress.log().splitlines():
        if line.startswith("brackenpulley:"):
            record.say("said", line=line)
    return broken


if __name__ == "__main__":
    run(case, __file__)
