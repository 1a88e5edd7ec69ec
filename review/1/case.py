"""A twelfth server is switched on before four ingresses; afterwards they must still forward what they get."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness.case import NotRunError, has_trouble, run  # noqa: E402
from harness.clients import Client, encode_get  # noqa: E402
from harness.ingress import IngressProcess  # noqa: E402
from harness.judge import Seen, judge_forwarding  # noqa: E402
from harness.platform import Counter, Discovery  # noqa: E402
from harness.record import Record  # noqa: E402
from harness.servers import SimServer  # noqa: E402
from harness.settings import build_register_settings  # noqa: E402

INGRESSES = 4  # the site file's largest day: 2 to 4
SERVERS = 11  # the page: 11 to 17 on the busiest days
WORK_SECONDS = 0.17
JOIN_AT_SECONDS = 10.0  # after the ingresses are ready
END_AT_SECONDS = 35.0
FIRMS = range(1, 9)  # half of them on each tariff; a client of each at each ingress
PAUSE_SECONDS = 0.3  # of a client between an answer and its next request


async def play(record: Record, ingresses: list[IngressProcess], seen: dict[str, Seen], owner: dict[str, str]) -> None:
    """Let clients send to all ingresses until the end of the run."""
    began = record.now()
    serial = 0

    async def be_client(ingress: IngressProcess, firm: int) -> None:
        nonlocal serial
        client, plan = Client(ingress.address), "league-full" if firm % 2 else "club-basic"
        while record.now() < began + END_AT_SECONDS:
            serial += 1
            request_id = f"{serial:016x}"
            owner[request_id] = ingress.name
            record.write("client", f"sends {request_id} firm {firm} to {ingress.name}")
            response = await client.ask(encode_get(request_id, "standings-read", plan, firm, 3000, INGRESSES), 4.0)
            status = response.status if response else 0
            record.write("client", f"got {status} for {request_id}")
            phase = "before" if record.now() < began + JOIN_AT_SECONDS else "after"
            seen[ingress.name].add_answer(record.now(), status, phase)
            await asyncio.sleep(PAUSE_SECONDS)
        client.close()

    await asyncio.gather(*[be_client(ingress, firm) for ingress in ingresses for firm in FIRMS])


async def switch_on(discovery: Discovery, server: SimServer) -> None:
    """Start one more server and have discovery tell it."""
    await asyncio.sleep(JOIN_AT_SECONDS)
    await server.start()
    discovery.add(server.name, server.address)
    discovery.entries[server.name]["startedAtMs"] = int(time.time() * 1000)
    await discovery.set_lifecycle(server.name, "SERVING")


async def scenario(record: Record) -> str:
    """Start the deployment, play the run and judge each ingress."""
    discovery, counter = Discovery(record), Counter()
    await discovery.start()
    await counter.start()
    servers = [SimServer(f"node-{n}", record, work=WORK_SECONDS) for n in range(SERVERS + 1)]
    for server in servers[:SERVERS]:
        await server.start()
        discovery.add(server.name, server.address)
    ingresses = [
        IngressProcess(record, f"n{number}", build_register_settings(INGRESSES, number), discovery, counter)
        for number in range(INGRESSES)
    ]
    seen = {ingress.name: Seen() for ingress in ingresses}
    owner: dict[str, str] = {}
    try:
        for ingress in ingresses:
            ingress.start()
        for ingress in ingresses:
            if not await ingress.wait_ready():
                raise NotRunError(f"{ingress.name} did not get ready")
        joining = switch_on(discovery, servers[SERVERS]) if has_trouble() else asyncio.sleep(0.0)
        await asyncio.gather(play(record, ingresses, seen, owner), joining)
    finally:
        for ingress in ingresses:
            ingress.end()
    for server in servers:
        for at, request in server.received:
            seen[owner[request.id]].forwarded.append(at)
    return judge_forwarding(record, seen)


if __name__ == "__main__":
    run(FOLDER, scenario)
