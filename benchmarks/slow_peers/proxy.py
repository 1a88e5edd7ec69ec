"""A sim server, and the fault proxy before it that writes answers and reads requests as the plan of each says."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

from .plans import Fault, Plan, body_of

HOST = "127.0.0.1"
READ_STEP_SECONDS = 0.05
HANG_SECONDS = 30.0
SMALL_BUFFER_BYTES = 8192  # receive buffer of the proxy: a request that it does not read stays at the ingress


@dataclass(slots=True)
class Attempt:
    """What the proxy saw of one attempt. Times are on the loop's clock."""

    plan: Plan
    server: str
    began_at: float
    head_at: float = 0.0  # the head of the answer was given whole
    given: list[tuple[float, int]] = field(default_factory=list)  # when how many bytes of the body had been given
    is_whole: bool = False
    closed_at: float = 0.0  # by the ingress, before the answer was whole


def framed(plan: Plan) -> tuple[bytes, bytes]:
    """Return the head and the body of a plan's answer."""
    head = {
        "length": f"Content-Length: {plan.size}\r\n",
        "chunked": "Transfer-Encoding: chunked\r\n",
        "close": "Connection: close\r\n",
    }[plan.framing]
    return f"HTTP/1.1 200 OK\r\n{head}\r\n".encode(), body_of(plan.message_id, plan.size)


class FaultProxy:
    """Listens in a sim server's place. `plans` by message id is filled by the clients."""

    def __init__(self, name: str, plans: dict[str, Plan]) -> None:
        self.name, self.plans, self.attempts = name, plans, list[Attempt]()
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen on a free port, with a small receive buffer."""
        sock = socket.create_server((HOST, 0), backlog=256)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        self._server = await asyncio.start_server(self._accept, sock=sock, limit=SMALL_BUFFER_BYTES)
        self.port = sock.getsockname()[1]

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the ingress closed it, or the run is over
        finally:
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request; False where the connection ends with it."""
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
        plan = self.plans[fields["x-request-id"]]
        attempt = Attempt(plan, self.name, asyncio.get_running_loop().time())
        self.attempts.append(attempt)
        await self._read_body(reader, plan, fields)
        watching = asyncio.create_task(self._watch(reader, attempt))
        try:
            await self._answer(writer, attempt)
        finally:
            watching.cancel()
            await asyncio.gather(watching, return_exceptions=True)
        if plan.fault is Fault.RESET:
            linger = struct.pack("ii", 1, 0)  # a close resets the connection
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        return plan.framing != "close" and plan.fault is not Fault.RESET

    async def _read_body(self, reader: asyncio.StreamReader, plan: Plan, fields: dict[str, str]) -> None:
        """Read the request's body at the plan's pace."""
        if fields.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                await self._read_paced(reader, size, plan.read_bytes_per_second)
                await reader.readexactly(2)
            await reader.readexactly(2)
            return
        await self._read_paced(reader, int(fields.get("content-length", "0")), plan.read_bytes_per_second)

    async def _read_paced(self, reader: asyncio.StreamReader, size: int, bytes_per_second: float) -> None:
        while size:
            data = await reader.read(min(size, max(1, int(bytes_per_second * READ_STEP_SECONDS)) or size))
            if not data:
                raise asyncio.IncompleteReadError(b"", size)
            size -= len(data)
            if bytes_per_second:
                await asyncio.sleep(READ_STEP_SECONDS)

    async def _watch(self, reader: asyncio.StreamReader, attempt: Attempt) -> None:
        """Note when the ingress closes the connection under the answer."""
        with contextlib.suppress(OSError):
            if await reader.read(1):
                return
        if not attempt.is_whole:
            attempt.closed_at = asyncio.get_running_loop().time()

    async def _answer(self, writer: asyncio.StreamWriter, attempt: Attempt) -> None:
        plan, loop = attempt.plan, asyncio.get_running_loop()
        if plan.fault is Fault.HANG:
            await asyncio.sleep(HANG_SECONDS)
            return
        head, body = framed(plan)
        offset, pieces = 0, list(plan.pieces)
        if plan.head_cut:
            writer.write(head[: plan.head_cut])
            await asyncio.sleep(pieces.pop(0).pause_s)
        writer.write(head[plan.head_cut :])
        attempt.head_at = loop.time()
        if not pieces:
            self._give(writer, attempt, body)
        for piece in pieces:
            await asyncio.sleep(piece.pause_s)
            if plan.fault is Fault.RESET and offset > plan.size // 3:
                return
            self._give(writer, attempt, body[offset : offset + piece.size])
            await writer.drain()
            offset += piece.size
        if plan.framing == "chunked":
            writer.write(b"0\r\n\r\n")
        attempt.is_whole = not attempt.closed_at

    def _give(self, writer: asyncio.StreamWriter, attempt: Attempt, part: bytes) -> None:
        """Write a part of the body."""
        writer.write(b"%x\r\n%s\r\n" % (len(part), part) if attempt.plan.framing == "chunked" else part)
        given = attempt.given[-1][1] if attempt.given else 0
        attempt.given.append((asyncio.get_running_loop().time(), given + len(part)))
