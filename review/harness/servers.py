"""Stand-in for a sim server: takes one request at a time on a connection and answers it after its work."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from .http import Request, read_request
from .record import Record

Handler = Callable[["SimServer", Request, asyncio.StreamWriter], Awaitable[None]]


async def answer(writer: asyncio.StreamWriter, body: bytes, status: str = "200 OK", headers: str = "") -> None:
    """Write a whole answer."""
    writer.write(f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    await writer.drain()


class SimServer:
    """A sim server. `handler` does the work of a request and answers it; without one it takes `work` seconds."""

    def __init__(self, name: str, record: Record, work: float = 0.2, handler: Handler | None = None) -> None:
        self.name, self.record, self.work, self.handler = name, record, work, handler
        self.address = ("", 0)
        self.received: list[tuple[float, Request]] = []  # requests received whole, with the time of their first byte
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request.target in ("/health", "/status/load"):  # a probe, where the settings allow them
                    await answer(writer, b"TEXT queue=0, qps=1, inflight=0\n")
                    continue
                self.received.append((self.record.now(), request))
                self.record.write(self.name, f"received {request.id} X-Timeout={request.headers.get('x-timeout')}")
                if self.handler is not None:
                    await self.handler(self, request, writer)
                else:
                    await asyncio.sleep(self.work)
                    await answer(
                        writer, b"ran " + request.id.encode(), headers="X-Server-Load: TEXT latency_ms=200\r\n"
                    )
                self.record.write(self.name, f"answered {request.id}")
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError) as error:
            self.record.write(self.name, f"connection ended: {type(error).__name__}")
        finally:
            with contextlib.suppress(OSError):
                writer.close()
