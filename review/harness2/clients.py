"""Clients in the platform's form: they keep their connections and send one request at a time on each."""

from __future__ import annotations

import asyncio
import os
from dataclasses import dataclass

from .http import read_message
from .platform import Address
from .record import Record


@dataclass(slots=True)
class Outcome:
    """What a client saw of one request: the status, 0 for none."""

    id: str
    firm: int
    status: int
    body: bytes = b""


def encode_get(ident: str, firm: int, plan: str, units: int = 1, seconds: float = 4.0, more: str = "") -> bytes:
    """Encode a request of the class that is safe to repeat; `more` are whole header lines."""
    return (
        f"GET /load-sim/{firm:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {ident}\r\n"
        f"X-Priority-Class: load-sim\r\nX-Tariff: {plan}\r\nX-Timeout: {int(seconds * 1000)}m\r\n"
        f"X-Weight: units={units},spread=1,first=0\r\n{more}\r\n"
    ).encode()


class Client:
    """One client with one connection, which it opens again when the ingress has ended it."""

    def __init__(self, address: Address, record: Record) -> None:
        self.address, self.record = address, record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, firm: int, plan: str, units: int = 1, seconds: float = 4.0) -> Outcome:
        """Send a request and wait for its answer."""
        ident = os.urandom(8).hex()
        self.record.note("sent", id=ident, firm=f"{firm:016x}", units=units)
        try:
            async with asyncio.timeout(seconds + 0.5):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self.address)
                reader, writer = self._streams
                writer.write(encode_get(ident, firm, plan, units, seconds))
                answer = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        found = Outcome(ident, firm, 0 if answer is None else answer.status, b"" if answer is None else answer.body)
        self.record.note("answered", id=ident, status=found.status)
        return found

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
