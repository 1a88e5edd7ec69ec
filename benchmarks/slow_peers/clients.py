"""Clients: each sends one request at a time, keeps its connection while it is open, and records what comes."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

import httptools

from .plans import Plan

HOST = "127.0.0.1"
GIVE_UP_SECONDS = 40.0  # after which a request counts as never ended


@dataclass(slots=True)
class Outcome:
    """What the client of one request saw. Times are on the loop's clock, 0 where a thing did not happen."""

    plan: Plan
    node: str
    sent_at: float = 0.0  # its last byte was written
    is_new_connection: bool = True
    status: int = 0
    first_byte_at: float = 0.0
    ended_at: float = 0.0
    received: list[tuple[float, int]] = field(default_factory=list)  # when how many bytes of the body had come
    body: bytes = b""
    is_whole: bool = False
    repeats: int = 0  # on a new connection, since a kept one was closed before a byte of the answer


class AnswerReader:
    """Takes the bytes of one answer."""

    def __init__(self, outcome: Outcome) -> None:
        self.outcome, self.parser = outcome, httptools.HttpResponseParser(self)
        self.parts: list[bytes] = []
        self.size = 0
        self.now = 0.0

    def feed(self, data: bytes, now: float) -> None:
        """Parse the next bytes, which came at `now`."""
        self.outcome.first_byte_at, self.now = self.outcome.first_byte_at or now, now
        self.parser.feed_data(data)

    def on_headers_complete(self) -> None:
        """Note the status."""
        self.outcome.status = self.parser.get_status_code()

    def on_body(self, part: bytes) -> None:
        """Note a part of the body."""
        self.parts.append(part)
        self.size += len(part)
        self.outcome.received.append((self.now, self.size))

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        self.outcome.is_whole = True


class Client:
    """One client of one node."""

    def __init__(self, node: str, port: int) -> None:
        self.node, self.port = node, port
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, plan: Plan, may_connect: bool) -> Outcome | None:
        """Send a request and read its answer; None where no connection is open and none may be opened."""
        if self.streams is None and not may_connect:
            return None
        outcome = Outcome(plan, self.node)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GIVE_UP_SECONDS):
                while True:
                    outcome.is_new_connection = self.streams is None
                    try:
                        await self._ask_once(outcome)
                    except (OSError, httptools.HttpParserError, asyncio.IncompleteReadError):
                        pass
                    if outcome.status and outcome.is_whole and self.streams is not None:
                        break
                    self.close()
                    if outcome.first_byte_at or outcome.is_new_connection or outcome.repeats or not may_connect:
                        break
                    outcome.repeats += 1
        if not outcome.is_whole:
            self.close()
        outcome.ended_at = asyncio.get_running_loop().time()
        return outcome

    async def _ask_once(self, outcome: Outcome) -> None:
        loop, plan = asyncio.get_running_loop(), outcome.plan
        if self.streams is None:
            self.streams = await asyncio.open_connection(HOST, self.port)
        reader, writer = self.streams
        body = bytes(plan.request_size)
        method = "POST" if plan.request_size or plan.priority_class != "load-sim" else "GET"
        key = f"Idempotency-Key: {plan.message_id}\r\n" if plan.priority_class == "submit-result" else ""
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        writer.write(
            (
                f"{method} /{plan.priority_class}/{int(plan.message_id, 16) % 4:016x} HTTP/1.1\r\nHost: h\r\n"
                f"X-Request-ID: {plan.message_id}\r\nX-Priority-Class: {plan.priority_class}\r\nX-Tariff: county\r\n"
                f"X-Timeout: {plan.wait_s * 1000:.0f}m\r\n{key}{length}\r\n"
            ).encode()
            + body
        )
        await writer.drain()
        outcome.sent_at = loop.time()
        answer = AnswerReader(outcome)
        while not outcome.is_whole:
            data = await reader.read(1 << 16)
            if not data:
                self.close()
                break
            answer.feed(data, loop.time())
        outcome.body = b"".join(answer.parts)
        if outcome.is_whole and not answer.parser.should_keep_alive():
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None
