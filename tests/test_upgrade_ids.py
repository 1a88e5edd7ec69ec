"""Two processes at one address during an upgrade, and a request that comes to both."""

from __future__ import annotations

import asyncio
from pathlib import Path

from brackenpulley.net.id_claims import CLAIM_COUNT, IdClaims

from .live import LiveIngress, SimServer, live, read_body, read_head

WORK_SECONDS = 1.5
COPIES = 24  # connections with the same id at once: the system spreads them over both processes
IDENT, LEFT_IDENT = "00000000000000a1", "00000000000000a2"
FRESH = 8


async def work(server: SimServer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection, each request for WORK_SECONDS."""
    while True:
        head = await read_head(reader)
        await read_body(reader, head)
        server.ran.append(head.ident)
        await asyncio.sleep(WORK_SECONDS)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def test_an_id_does_not_run_at_both_processes_of_an_upgrade(tmp_path: Path) -> None:
    """Guards against a second run: neither process knew which ids the other one has in hand, or was left with."""

    async def run() -> tuple[list[str], list[int]]:
        servers = [SimServer(f"s-{n}") for n in range(2)]
        for server in servers:
            server.handler = lambda reader, writer, server=server: work(server, reader, writer)
        async with live(tmp_path, servers) as old:
            (tmp_path / "new").mkdir()
            left = asyncio.create_task(old.ask(LEFT_IDENT, seconds=WORK_SECONDS / 2))  # before the other one is there
            new = LiveIngress(tmp_path / "new", servers)
            new.port, new.environment = old.port, old.environment  # they share $TMPDIR, as a page says
            try:
                new.start()
                while "event=listening" not in new.log():
                    await asyncio.sleep(0.05)
                await asyncio.sleep(WORK_SECONDS)  # until it serves by the list that it knows
                assert (await left)[0] == 0
                copies = [old.ask(ident) for ident in (IDENT, LEFT_IDENT) for _ in range(COPIES)]
                answers = await asyncio.gather(*copies)
                fresh = await asyncio.gather(*(old.ask(f"{number:016x}") for number in range(1, FRESH + 1)))
            finally:
                new.kill()
        assert [status for status, _ in fresh] == [200] * FRESH
        ran = [ident for server in servers for ident in server.ran if ident in (IDENT, LEFT_IDENT)]
        return sorted(ran), [status for status, _ in answers]

    ran, statuses = asyncio.run(run())
    assert ran == [IDENT, LEFT_IDENT], f"{statuses.count(200)} answers 200, {statuses.count(409)} answers 409"
    assert statuses.count(200) == 1 and statuses.count(409) == 2 * COPIES - 1


def test_claims_hold_between_processes_until_they_are_released_or_over(tmp_path: Path) -> None:
    now = [1000.0]
    first, second = (IdClaims(tmp_path / "ids", lambda: now[0]) for _ in range(2))
    assert not first.beat() and second.beat() and first.beat()
    assert first.claim("a") and first.claim("a") and not second.claim("a")
    second.release("a")  # it is not the second one's
    assert not second.claim("a")
    first.release("a")
    assert second.claim("a", seconds=5.0) and not first.claim("a")
    now[0] += 5.0
    assert first.claim("a")
    assert not first.beat()  # the second one has not beaten for a while
    assert second.beat()
    second.close()
    assert not first.beat() and (tmp_path / "ids").exists()
    first.close()
    assert not (tmp_path / "ids").exists()


def test_many_claims_at_once_are_told_apart(tmp_path: Path) -> None:
    first, second = (IdClaims(tmp_path / "ids", lambda: 1000.0) for _ in range(2))
    idents = [f"{number:016x}" for number in range(CLAIM_COUNT // 8)]
    assert all(first.claim(ident) for ident in idents)
    assert not any(second.claim(ident) for ident in idents)
    assert all(second.claim("other" + ident) for ident in idents)
    first.close()
    second.close()
