"""Stand-in for a client: one request at a time on a connection that it keeps."""

from __future__ import annotations

import asyncio

from .http import Response, read_response


def encode_get(
    request_id: str, cls: str, plan: str, firm: int, timeout_ms: int, spread: int = 1, first: int = 0
) -> bytes:
    """Encode a request of a class that is safe to repeat, one unit."""
    return (
        f"GET /{cls}/{firm:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {request_id}\r\n"
        f"X-Priority-Class: {cls}\r\nX-Tariff: {plan}\r\nX-Timeout: {timeout_ms}m\r\n"
        f"X-Weight: units=1,spread={spread},first={first}\r\n\r\n"
    ).encode()


class Client:
    """A client with one kept connection to an ingress."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def ask(self, request: bytes, seconds: float) -> Response | None:
        """Send a request and return its answer, or None without a whole one in time.

        A request that crosses the end of a kept connection is sent once more on a new one.
        """
        for is_last in (False, True):
            is_fresh = self._writer is None
            try:
                if self._reader is None or self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(*self.address)
                self._writer.write(request)
                response = await asyncio.wait_for(read_response(self._reader), seconds)
            except (TimeoutError, OSError, asyncio.IncompleteReadError):
                self.close()
                if is_fresh or is_last:
                    return None
                continue
            if response.headers.get("connection", "").lower() == "close":
                self.close()
            return response
        return None

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
