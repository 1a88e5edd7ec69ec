"""Just enough HTTP/1.1 for the stand-ins: whole messages with a length, or chunked where a server writes so."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(slots=True)
class Message:
    """A request or an answer as it came: first line, headers by lower-case name, body."""

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first_line.split(" ")[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split(" ")[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message. Returns None at the end of the connection; raises OSError or IncompleteReadError in between."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines if line)
    }
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first_line, headers, body)


async def call(
    address: tuple[str, int] | str, method: str, target: str, body: bytes = b"", timeout: float = 5.0, **headers: str
) -> Message | None:
    """Make one request on a connection of its own to a TCP address or a Unix socket; None without a whole answer."""

    async def exchange() -> Message | None:
        reader, writer = await (
            asyncio.open_unix_connection(address) if isinstance(address, str) else asyncio.open_connection(*address)
        )
        try:
            lines = [f"{method} {target} HTTP/1.1", "Host: stand-in", f"Content-Length: {len(body)}"]
            lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
            writer.write("\r\n".join([*lines, "Connection: close", "", ""]).encode() + body)
            return await read_message(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return None
