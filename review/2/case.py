"""Four firms move to another plan; afterwards the ingresses must still forward what they get."""

from __future__ import annotations

import asyncio
import sys
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
from harness.settings import PLAN_WITHOUT_RATE, build_settings  # noqa: E402

INGRESSES = 3
SERVERS = 9
WORK_SECONDS = 0.16
MOVE_AT_SECONDS = 10.0  # after the ingresses are ready
END_AT_SECONDS = 40.0
MOVING_FIRMS = range(1, 5)  # from `national` to the plan without a quota on the rate
STAYING_FIRMS = range(5, 9)  # on `school`, throughout
CLIENTS_OF_MOVING, CLIENTS_OF_STAYING = 3, 1  # of a firm, at each ingress
PAUSE_SECONDS = 0.1  # of a client between a served answer and its next request
PAUSE_AFTER_REJECTION_SECONDS = 0.3


async def play(record: Record, ingresses: list[IngressProcess], seen: dict[str, Seen], owner: dict[str, str]) -> None:
    """Let clients send to all ingresses until the end of the run."""
    began = record.now()
    move_at, end_at = began + MOVE_AT_SECONDS, began + END_AT_SECONDS
    serial = 0

    async def be_client(ingress: IngressProcess, firm: int) -> None:
        nonlocal serial
        client = Client(ingress.address)
        while record.now() < end_at:
            plan = "national" if firm in MOVING_FIRMS else "school"
            if firm in MOVING_FIRMS and has_trouble() and record.now() >= move_at:
                plan = PLAN_WITHOUT_RATE["Name"]
            serial += 1
            request_id = f"{serial:016x}"
            owner[request_id] = ingress.name
            record.write("client", f"sends {request_id} firm {firm} plan {plan} to {ingress.name}")
            response = await client.ask(encode_get(request_id, "load-sim", plan, firm, 4000, INGRESSES), 5.0)
            status = response.status if response else 0
            record.write("client", f"got {status} for {request_id}")
            seen[ingress.name].add_answer(record.now(), status, "before" if record.now() < move_at else "after")
            await asyncio.sleep(PAUSE_SECONDS if status == 200 else PAUSE_AFTER_REJECTION_SECONDS)
        client.close()

    firms = [(firm, CLIENTS_OF_MOVING) for firm in MOVING_FIRMS] + [
        (firm, CLIENTS_OF_STAYING) for firm in STAYING_FIRMS
    ]
    await asyncio.gather(
        *[be_client(ingress, firm) for ingress in ingresses for firm, clients in firms for _ in range(clients)]
    )


async def scenario(record: Record) -> str:
    """Start the deployment, play the run and judge each ingress."""
    discovery, counter = Discovery(record), Counter()
    await discovery.start()
    await counter.start()
    servers = [SimServer(f"sim-{n}", record, work=WORK_SECONDS) for n in range(SERVERS)]
    for number, server in enumerate(servers):
        await server.start()
        discovery.add(server.name, server.address, cell=number // 3)
    ingresses = []
    for number in range(INGRESSES):
        settings = build_settings(INGRESSES, number)
        settings["TiersOfService"].append(PLAN_WITHOUT_RATE)
        ingresses.append(IngressProcess(record, f"n{number}", settings, discovery, counter))
    seen = {ingress.name: Seen() for ingress in ingresses}
    owner: dict[str, str] = {}
    try:
        for ingress in ingresses:
            ingress.start()
        for ingress in ingresses:
            if not await ingress.wait_ready():
                raise NotRunError(f"{ingress.name} did not get ready")
        await play(record, ingresses, seen, owner)
    finally:
        for ingress in ingresses:
            ingress.end()
    for server in servers:
        for at, request in server.received:
            seen[owner[request.id]].forwarded.append(at)
    return judge_forwarding(record, seen)


if __name__ == "__main__":
    run(FOLDER, scenario)
