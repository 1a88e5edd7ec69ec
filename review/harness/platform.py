"""Stand-ins for the platform: discovery and the quota counter, as the protocol page specifies them."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any

from .record import Record

HEARTBEAT_SECONDS = 2.0


class Discovery:
    """Discovery: answers the whole list, and watches with the changes since a version.

    `answer_delay` is how long it takes to begin an answer to a call; a change is written to open watches at once.
    """

    def __init__(self, record: Record) -> None:
        self.record, self.address = record, ("", 0)
        self.entries: dict[str, dict[str, Any]] = {}
        self.generation = 1
        self.answer_delay = 0.0
        self._changes: list[tuple[int, str]] = []
        self._watches: dict[asyncio.StreamWriter, int] = {}  # open watches, with the last version written to them
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def add(self, name: str, address: tuple[str, int], cell: int = 0, zone: str = "hall-a") -> None:
        """List a server before the start of the run."""
        self.entries[name] = {
            "instanceId": name,
            "hostPort": f"{address[0]}:{address[1]}",
            "zone": zone,
            "machineType": "std-3core",
            "cell": cell,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def whole(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        entries = [dict(entry) for entry in self.entries.values()]
        return {"generation": self.generation, "reset": True, "instances": entries}

    async def set_lifecycle(self, name: str, lifecycle: str) -> None:
        """Change the lifecycle of a server and tell it to all open watches."""
        self.generation += 1
        self.entries[name]["lifecycle"] = lifecycle
        self._changes.append((self.generation, name))
        self.record.write("discovery", f"has generation {self.generation}: {name} is {lifecycle}")
        for writer in list(self._watches):
            await self._tell(writer)

    async def _tell(self, writer: asyncio.StreamWriter) -> None:
        since = self._watches[writer]
        names = list(dict.fromkeys(name for generation, name in self._changes if generation > since))
        if names:
            change = {"generation": self.generation, "reset": False, "instances": [self.entries[n] for n in names]}
            self._watches[writer] = self.generation
            await self._write_chunk(writer, json.dumps(change).encode() + b"\n")
            self.record.write("discovery", f"wrote generation {self.generation} to a watch")

    async def _write_chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        with contextlib.suppress(OSError):
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                target = head.split(" ")[1]
                self.record.write("discovery", f"call {target}")
                if self.answer_delay:
                    closes_at = self.record.now() + self.answer_delay
                    while self.record.now() < closes_at:
                        await asyncio.sleep(0.02)
                        if reader.at_eof():
                            self.record.write("discovery", "the caller has closed before its answer")
                            return
                if "watch=1" not in target:
                    body = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                    await writer.drain()
                    self.record.write("discovery", f"wrote the whole list, generation {self.generation}")
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self._watches[writer] = int(target.partition("from=")[2].partition("&")[0])
                await self._tell(writer)
                await self._write_chunk(writer, b"\n")
                ended = asyncio.ensure_future(reader.read())
                while not ended.done():
                    await asyncio.wait([ended], timeout=HEARTBEAT_SECONDS)
                    await self._write_chunk(writer, b"\n")
                return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self._watches.pop(writer, None)
            writer.close()


class Counter:
    """The quota counter: adds an amount to a named number and answers the total."""

    def __init__(self) -> None:
        self.address = ("", 0)
        self._totals: dict[bytes, float] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                words = []
                for _ in range(int((await reader.readline())[1:])):
                    size = int((await reader.readline())[1:])
                    words.append((await reader.readexactly(size + 2))[:-2])
                if words[0].upper() == b"PING":
                    writer.write(b"+PONG\r\n")
                elif words[0].upper() == b"CNT.ADD":
                    total = self._totals[words[1]] = self._totals.get(words[1], 0.0) + float(words[2])
                    text = b"%g" % total
                    writer.write(b"$%d\r\n%s\r\n" % (len(text), text))
                else:
                    writer.write(b"+OK\r\n")
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()
