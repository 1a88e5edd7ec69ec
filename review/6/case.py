"""A long body that is refused before its end, and the client's next request on the connection that was kept."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness2.clients import Client, encode_get
from review.harness2.http import read_message
from review.harness2.ingress import Ingress, join, settings
from review.harness2.main import TROUBLE, NotRunError, run
from review.harness2.platform import Counter, Discovery, SimServer
from review.harness2.record import Record

CLIENTS = 10
LONG_BYTES = 3_000_000  # of 32 MB at most
SHORT_BYTES = 60_000
TAIL_BYTES = 6_000  # of the body, which go out together with the next request
FIRM_BEYOND, FIRM_WITHIN = 0x1000, 0x2000


def encode_head(firm: int, length: int) -> bytes:
    """Encode the head of a request of the class that carries a key."""
    ident = os.urandom(8).hex()
    return (
        f"POST /submit-result/{firm:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {ident}\r\n"
        f"X-Priority-Class: submit-result\r\nX-Tariff: school\r\nX-Timeout: 7500m\r\n"
        f"Idempotency-Key: {os.urandom(16).hex()}\r\nX-Weight: units=8,spread=1,first=0\r\n"
        f"Content-Length: {length}\r\n\r\n"
    ).encode()


async def use_up(ingress: Ingress, record: Record, firm: int) -> None:
    """Use up a firm's quota: send requests until one is refused."""
    client = Client(ingress.listen, record)
    for _ in range(20):
        if (await client.ask(firm, "school", units=8)).status == 429:
            client.close()
            return
    raise NotRunError("the firm's quota does not end")


async def case(record: Record, folder: Path) -> list[str]:
    """Send bodies of a firm beyond its quota, end them after the refusal, and send a request behind each."""
    server = SimServer("s-1", record)
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
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(school={"QuotaRate": 3.0, "Burst": 16.0}),
        },
    )
    broken: list[str] = []
    size = LONG_BYTES if TROUBLE else SHORT_BYTES

    async def client(number: int) -> None:
        firm = FIRM_BEYOND + number
        await use_up(ingress, record, firm)
        reader, writer = await asyncio.open_connection(*ingress.listen)
        body = bytes(size)
        writer.write(encode_head(firm, size) + body[:-TAIL_BYTES])
        early = None
        if TROUBLE:  # the refusal comes before the end of the body
            async with asyncio.timeout(8.0):
                early = await read_message(reader)
            if early is None:
                raise NotRunError("the long body was not answered")
            if early.status != 429 or early.headers.get("connection", "").lower() == "close":
                raise NotRunError(
                    f"answered {early.first_line}, {early.headers}: no refusal on a connection that is kept"
                )
            async with asyncio.timeout(8.0):
                writer.transport.set_write_buffer_limits(high=0)
                await writer.drain()
            await asyncio.sleep(0.2)
        record.note("first answer", client=number, status=0 if early is None else early.status, sent=size - TAIL_BYTES)
        # The client's body ends here. Its request has its answer, so the next one may follow at once.
        ident = os.urandom(8).hex()
        if TROUBLE:
            writer.write(body[-TAIL_BYTES:] + encode_get(ident, FIRM_WITHIN + number, "school"))
        else:
            writer.write(body[-TAIL_BYTES:])
            async with asyncio.timeout(8.0):
                early = await read_message(reader)
            if early is None or early.status != 429 or early.headers.get("connection", "").lower() == "close":
                raise NotRunError("the short body was not refused on a connection that is kept")
            writer.write(encode_get(ident, FIRM_WITHIN + number, "school"))
        record.note("sent", client=number, id=ident)
        try:
            async with asyncio.timeout(4.5):
                answer = await read_message(reader)
            end = "ended without a byte" if answer is None else "answered"
        except (OSError, asyncio.IncompleteReadError) as error:
            answer, end = None, f"reset: {error!r}"
        except TimeoutError:
            answer, end = None, "silent"
        record.note("second answer", client=number, id=ident, status=0 if answer is None else answer.status, end=end)
        writer.close()
        if end in ("ended without a byte", "silent"):
            # A close over unread bytes resets the connection; this one ended in order, so the request had been read.
            broken.append(f"client {number}: request {ident} was read, and its connection {end}")
        elif end.startswith("reset"):  # not read: the client sends it once more on a new connection
            again = Client(ingress.listen, record)
            if not (await again.ask(FIRM_WITHIN + number, "school")).status:
                broken.append(f"client {number}: request {ident} has no answer on a new connection either")
            again.close()

    try:
        ingress.start()
        if not await ingress.wait_ready():
            raise NotRunError(f"the ingress is not ready: {ingress.log()[-500:]}")
        for number in range(CLIENTS):
            await client(number)
        ran = {request.headers.get("x-request-id", "") for request in server.ran}
        record.say("counted", clients=CLIENTS, lost=len(broken), ran=len(ran))
    finally:
        ingress.kill()
        for stand in (server, discovery, counter):
            await stand.close()
    return broken


if __name__ == "__main__":
    run(case, __file__)
