"""Stand-ins for the platform: sim servers, discovery's agent, the quota counter and billing."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from .http import Message, read_message
from .record import Record

LOOPBACK = "127.0.0.1"
Address = tuple[str, int]


class Stand:
    """A listener and its open connections."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address: Address = (LOOPBACK, 0)

    async def open(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0, backlog=1024)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            await self.serve(reader, writer)
        self._tasks.discard(task)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


class SimServer(Stand):
    """A sim server that runs each request for `work` seconds and tells its true cost as the client's guess."""

    def __init__(self, name: str, record: Record, work: float = 0.02) -> None:
        super().__init__()
        self.name, self.record, self.work = name, record, work
        self.ran: list[Message] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while (request := await read_message(reader)) is not None:
            self.ran.append(request)
            self.record.note("run", server=self.name, id=request.headers.get("x-request-id", ""))
            await asyncio.sleep(self.work)
            units = request.headers.get("x-weight", "units=1").partition("units=")[2].partition(",")[0] or "1"
            body = f"{request.headers.get('x-request-id', '')} on {self.name}".encode()
            writer.write(
                f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nX-True-Cost: {units}\r\n\r\n".encode() + body
            )
            await writer.drain()

    def entry(self) -> dict[str, Any]:
        """Return the server's entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{self.address[0]}:{self.address[1]}",
            "zone": "hall-a",
            "machineType": "std-3core",
            "cell": 1,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }


class Discovery(Stand):
    """Discovery's agent: the whole list, then a watch with an empty line every 2 s."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        super().__init__()
        self.entries = entries

    def listed(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"generation": 1, "reset": True, "instances": self.entries}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while (request := await read_message(reader)) is not None:
            if "watch=1" not in request.target:
                body = json.dumps(self.listed()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
                await asyncio.sleep(2.0)


class Counter(Stand):
    """The quota counter: adds to named numbers and returns the totals."""

    def __init__(self) -> None:
        super().__init__()
        self.totals: dict[bytes, float] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while line := await reader.readline():
            parts = []
            for _ in range(int(line[1:])):
                size = int((await reader.readline())[1:])
                parts.append((await reader.readexactly(size + 2))[:-2])
            if parts[0].upper() != b"CNT.ADD":
                writer.write(b"+PONG\r\n" if parts[0].upper() == b"PING" else b"+OK\r\n")
                continue
            total = self.totals[parts[1]] = self.totals.get(parts[1], 0.0) + float(parts[2])
            text = f"{total:.7g}".encode()
            writer.write(b"$%d\r\n%s\r\n" % (len(text), text))


class Billing(Stand):
    """Billing: takes batches of CloudEvents, keeps each event once by its id, and answers 204."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record, self.events = record, dict[str, dict[str, Any]]()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while (request := await read_message(reader)) is not None:
            for event in json.loads(request.body):
                self.record.note("billed", id=event["id"], firm=event["subject"], units=event["data"]["units"])
                self.events.setdefault(event["id"], event)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            await writer.drain()

    def sum_units(self) -> dict[str, float]:
        """Return the billed units by firm."""
        found: dict[str, float] = {}
        for event in self.events.values():
            found[event["subject"]] = found.get(event["subject"], 0.0) + float(event["data"]["units"])
        return found
