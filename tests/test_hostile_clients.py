"""Clients that send or hold more than usual ones, over real sockets: what is kept for them, and what others see."""

from __future__ import annotations

import asyncio
import tracemalloc
from pathlib import Path

from brackenpulley.net.north import MAX_QUEUED_REQUESTS
from brackenpulley.policy.interface import Outcome, PlanSpec, Refuse, Send, SetTimer, TimerFired

from .live import SMALLEST_MEMORY_MB, SimServer, encode_request, live, read_body, read_head
from .rig import Rig, rig
from .util import Driver, select

REQUESTS_AT_ONCE = 300
FLOOD_SECONDS = 5.0
AT_ONCE = 8  # requests of the flood
CONNECTIONS = 40


def encode_get(ident: int, firm: int = 1, more: str = "") -> bytes:
    """Encode a request without a body."""
    return (
        f"GET /a/{firm:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {ident:016x}\r\nX-Priority-Class: a\r\n"
        f"X-Tariff: p\r\nX-Timeout: 9000m\r\n{more}\r\n"
    ).encode()


def read_statuses(harness: Rig, data: bytes) -> list[int]:
    """Send `data` on one connection and return the statuses of all its answers."""
    wire = harness.connect().send(data)
    assert wire.wait_closed()
    return [int(part[:3]) for part in wire.received.split(b"HTTP/1.1 ")[1:]]


def test_hundreds_of_requests_in_one_write_are_all_rejected() -> None:
    """Guards against requests that are read, not kept and never answered."""
    with rig() as harness:
        statuses = read_statuses(harness, b"".join(encode_get(n) for n in range(1, REQUESTS_AT_ONCE + 1)))
        assert statuses == [400] * REQUESTS_AT_ONCE and harness.count("relays") == 0


def test_a_connection_that_sends_hundreds_of_requests_at_once_holds_few_of_them() -> None:
    """Guards against review case 10: all requests of a read were kept, 1.4 KB of objects for each of 200 bytes."""
    with rig() as harness:
        data = b"".join(encode_get(n) for n in range(1, REQUESTS_AT_ONCE + 1))
        wires = [harness.connect() for _ in range(CONNECTIONS)]
        harness.run_until(lambda: len(harness.daemon.north.clients) == CONNECTIONS)
        tracemalloc.start()
        try:
            before = tracemalloc.get_traced_memory()[0]
            for wire in wires:
                wire.sock.send(data)
            harness.run_once()
            held = tracemalloc.get_traced_memory()[1] - before
        finally:
            tracemalloc.stop()
        assert all(len(client.reader.complete) <= MAX_QUEUED_REQUESTS for client in harness.daemon.north.clients)
        assert held < CONNECTIONS * 64 * 1024, f"{held / CONNECTIONS / 1024:.0f} KB a connection"


def test_firms_beyond_the_limit_are_forgotten_and_one_that_used_up_its_quota_is_not() -> None:
    """Guards against memory that grows with each new name a client makes up, and against a quota reset by that."""
    driver = Driver(plans=[PlanSpec("gold", rate=0.5, burst=20.0)])
    firms = driver.decision_module.firms
    firms.max_count = 50
    while not select(Refuse, driver.send_message(firm=1, spread=3, units=4.0)):
        pass
    driver.now += 0.5
    for firm in range(2, 2000):
        driver.now += 0.001
        for send in select(Send, driver.send_message(firm=firm, spread=3)):
            driver.handle(Outcome(send.id, send.server, 0, "ok", 0.001, closed=True))
    timer = select(SetTimer, driver.actions)[-1]
    driver.now += 1.0
    driver.handle(TimerFired(timer.token))
    assert len(firms) <= 50 and 1 in firms
    assert select(Refuse, driver.send_message(firm=1, spread=3, units=4.0))


def test_a_client_under_ever_new_names_does_not_take_the_process_past_its_memory(tmp_path: Path) -> None:
    """Guards against the same in a process: 2 MB a second for as long as a minute."""

    async def run() -> tuple[float, list[tuple[int, float]]]:
        found: list[tuple[int, float]] = []
        async with live(tmp_path, [SimServer(f"s-{n}") for n in range(4)]) as ingress:
            loop = asyncio.get_running_loop()
            reader, writer = await ingress.connect()
            until, firm = loop.time() + FLOOD_SECONDS, 10
            while loop.time() < until:
                requests = (encode_request(f"{1 << 40 | firm + n:016x}", firm=firm + n) for n in range(AT_ONCE))
                writer.write(b"".join(requests))
                firm += AT_ONCE
                for _ in range(AT_ONCE):
                    await read_body(reader, await read_head(reader))
                if firm % 400 < AT_ONCE:
                    found.append(await ingress.ask(f"{1 << 41 | firm:016x}"))
            writer.close()
            return ingress.most_kb / 1024, found

    most_mb, found = asyncio.run(run())
    assert most_mb < SMALLEST_MEMORY_MB
    assert found and all(status and seconds < 1.0 for status, seconds in found)
