"""A minimal HTTP/1.1 reader for the stand-ins, which speak over asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Request:
    """A request as a sim server or discovery received it, whole."""

    method: str
    target: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def id(self) -> str:
        """The client's id of the request."""
        return self.headers.get("x-request-id", "")


@dataclass
class Response:
    """A response as a client received it, whole."""

    status: int
    headers: dict[str, str]
    body: bytes


async def _read_headers(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).strip() or b"0", 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read a whole request. Raises asyncio.IncompleteReadError or OSError at the end of the connection."""
    first, headers = await _read_headers(reader)
    method, target, _ = first.split(" ", 2)
    return Request(method, target, headers, await _read_body(reader, headers))


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a whole response with a length. Raises asyncio.IncompleteReadError or OSError if it is not whole."""
    first, headers = await _read_headers(reader)
    return Response(int(first.split(" ")[1]), headers, await _read_body(reader, headers))
