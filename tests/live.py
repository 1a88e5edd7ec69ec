"""One ingress as a process among stand-ins on asyncio: for faults that only show in memory, time and real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import subprocess
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

from benchmarks.daemon_process import find_free_ports, read_resident_kb, start_daemon
from tests.test_link import SETTINGS

HOST = "127.0.0.1"
READY_SECONDS = 20.0
SMALLEST_MEMORY_MB = 32  # that a page names
Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Head:
    """Start line and fields of a request or an answer."""

    def __init__(self, data: bytes) -> None:
        first, *lines = data.decode("latin-1").split("\r\n")
        self.words = first.split(" ")
        self.fields = {
            name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines if line)
        }

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.words[1])

    @property
    def ident(self) -> str:
        """The id of a request."""
        return self.fields.get("x-request-id", "")


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read up to the empty line. Raises IncompleteReadError at the end of the connection."""
    return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read the body that a head announces, by length or in chunks."""
    if head.fields.get("transfer-encoding") != "chunked":
        return await reader.readexactly(int(head.fields.get("content-length", "0")))
    parts = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append((await reader.readexactly(size + 2))[:-2])
    await reader.readexactly(2)
    return b"".join(parts)


class SimServer:
    """A sim server that answers each request at once; `handler` replaces what it does with a connection."""

    def __init__(self, name: str, handler: Handler | None = None) -> None:
        self.name, self.handler = name, handler or self.serve
        self.ran: list[str] = []  # ids of the requests whose last byte arrived
        self.port = 0
        self._server: asyncio.Server | None = None

    async def open(self, port: int = 0) -> None:
        """Listen on a port, by default a free one."""
        self._server = await asyncio.start_server(self._accept, HOST, port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.handler(reader, writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer each request of a connection."""
        while True:
            head = await read_head(reader)
            await read_body(reader, head)
            self.ran.append(head.ident)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            await writer.drain()

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def describe(self) -> dict[str, Any]:
        """Return the entry of discovery's list."""
        return {"instanceId": self.name, "hostPort": f"{HOST}:{self.port}", "zone": "z", "lifecycle": "SERVING"}


class LiveIngress:
    """The process, its limits and what it used at most."""

    def __init__(self, folder: Path, servers: list[SimServer], **config: Any) -> None:
        self.folder, self.servers = folder, servers
        self.port = find_free_ports(1)[0]
        self.most_kb = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.limits = {"cores": 1.0, "memory_mb": SMALLEST_MEMORY_MB, "sockets": 1024}
        self.config = config
        self.environment: dict[str, str] = {"TMPDIR": str(folder)}

    def start(self, effect: str = "free", operator: str = "") -> None:
        """Start the process with a class `a` of that effect, a plan `p` and the servers' list as known."""
        settings = json.loads(json.dumps(SETTINGS))
        settings["Classes"][0].update(Objective=8.0, GiveUp=20.0, Idempotency=effect, Group="all", Window=4.0)
        settings["TiersOfService"][0].update(QuotaRate=5000.0, Burst=50000.0)
        settings["Extra"] = {"MayCount": False, "Settles": True, "MostUnits": 8}
        settings["Limits"].update(AttemptsCap=3, MayCancel=True, RetryAfter=True, MaxRetryAfter=2.0)
        known = {"generation": 7, "reset": True, "instances": [server.describe() for server in self.servers]}
        raw = {"name": "n0", "listen": f"{HOST}:{self.port}", "known": known, "settings": settings}
        raw["discovery"] = f"{HOST}:1"  # nobody is there: the known list holds
        (self.folder / "config.json").write_text(json.dumps({**raw, "limits": self.limits, **self.config}))
        (self.folder / "operator.toml").write_text(operator)
        self.process = start_daemon(
            self.folder / "config.json", self.folder / "operator.toml", self.folder / "log", **self.environment
        )

    @property
    def pid(self) -> int:
        """The id of the process."""
        assert self.process is not None
        return self.process.pid

    async def connect(self, **options: Any) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client's connection."""
        return await asyncio.open_connection(HOST, self.port, **options)

    async def ask(self, ident: str, seconds: float = 5.0, firm: int = 1, more: str = "") -> tuple[int, float]:
        """Send one request on a new connection; return its status (0 without an answer) and the seconds it took.

        As PROTOCOL has it, a request whose connection ended before a byte of an answer goes out once more on a new one.
        """
        started_at, status = time.monotonic(), 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while not status:
                    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                        reader, writer = await self.connect()
                        writer.write(encode_request(ident, firm=firm, more=more))
                        head = await read_head(reader)
                        await read_body(reader, head)
                        status = head.status
                        writer.close()
        return status, time.monotonic() - started_at

    async def wait_ready(self) -> None:
        """Wait until /ready says yes."""
        until = time.monotonic() + READY_SECONDS
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await self.connect()
                writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head.status == 200:
                    return
            await asyncio.sleep(0.05)
        raise AssertionError(f"not ready: {self.log()[-500:]}")

    async def watch_memory(self) -> None:
        """Keep the most memory that was resident, until cancelled."""
        while True:
            self.most_kb = max(self.most_kb, read_resident_kb(self.pid))
            await asyncio.sleep(0.005)

    def log(self) -> str:
        """Return what the process wrote."""
        return (self.folder / "log").read_text()

    def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


def encode_request(
    ident: str, method: str = "GET", firm: int = 1, timeout_ms: int = 4000, more: str = "", path: str = "a"
) -> bytes:
    """Encode the head of a request; `more` are further header lines, each with its end."""
    return (
        f"{method} /{path}/{firm:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {ident}\r\nX-Priority-Class: a\r\n"
        f"X-Tariff: p\r\nX-Timeout: {timeout_ms}m\r\n{more}\r\n"
    ).encode()


@contextlib.asynccontextmanager
async def live(
    folder: Path, servers: list[SimServer], effect: str = "free", **config: Any
) -> AsyncIterator[LiveIngress]:
    """Provide an ingress that is ready, before these servers, and watch its memory."""
    for server in servers:
        await server.open()
    ingress = LiveIngress(folder, servers, **config)
    try:
        ingress.start(effect)
        await ingress.wait_ready()
        watching = asyncio.create_task(ingress.watch_memory())
        yield ingress
        watching.cancel()
    finally:
        ingress.kill()
        for server in servers:
            server.close()
