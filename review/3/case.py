"""A client takes a long answer at 68 kB a second; it must get all of it while its sim server still gives it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness.case import NotRunError, has_trouble, run  # noqa: E402
from harness.clients import encode_get  # noqa: E402
from harness.http import Request  # noqa: E402
from harness.ingress import IngressProcess  # noqa: E402
from harness.platform import Counter, Discovery  # noqa: E402
from harness.record import Record  # noqa: E402
from harness.servers import SimServer  # noqa: E402
from harness.settings import build_settings  # noqa: E402

ANSWER_BYTES = 32_000_000  # the page: up to 32 MB
PIECE_BYTES = 68_000  # that the client takes each second; the page: it may take a body at 64 kB a second
RECEIVE_BUFFER_BYTES = 65536
WATCH_SECONDS = 100.0


class LongAnswer:
    """Handler of a sim server that gives a long answer as fast as it is taken."""

    def __init__(self, record: Record) -> None:
        self.record, self.given, self.is_cut_off = record, 0, False

    async def handle(self, server: SimServer, request: Request, writer: asyncio.StreamWriter) -> None:
        """Give the answer in pieces; note if the ingress ends the connection before it is whole."""
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n".encode())
        piece = b"x" * 40_000
        try:
            while self.given < ANSWER_BYTES:
                writer.write(piece)
                await writer.drain()
                self.given += len(piece)
        except OSError as error:
            self.is_cut_off = True
            self.record.write(server.name, f"cut off by the ingress after giving {self.given}: {type(error).__name__}")
            raise


async def take(record: Record, address: tuple[str, int]) -> tuple[int, bool]:
    """Ask, and take the answer; return how many bytes of it came, and whether the connection ended."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await loop.sock_connect(sock, address)
    await loop.sock_sendall(sock, encode_get("5b1f03aa5c7e2d41", "load-sim", "county", 7, 4000))
    record.write("client", "sent 5b1f03aa5c7e2d41")
    began, taken, head = record.now(), 0, b""
    try:
        while taken < ANSWER_BYTES and record.now() < began + WATCH_SECONDS:
            second, got = record.now(), 0
            while got < PIECE_BYTES and taken < ANSWER_BYTES:
                try:
                    data = await asyncio.wait_for(loop.sock_recv(sock, PIECE_BYTES - got), 20.0)
                except (TimeoutError, OSError):
                    data = b""
                if not data:
                    record.write("client", f"the connection ended after {taken} of {ANSWER_BYTES} bytes")
                    return taken, True
                got += len(data)
                if not head.endswith(b"\r\n\r\n"):
                    head, separator, data = (head + data).partition(b"\r\n\r\n")
                    head += separator
                    record.write("client", f"head: {head.splitlines()[0].decode()}")
                taken += len(data)
            if has_trouble():
                await asyncio.sleep(max(0.0, second + 1.0 - record.now()))
                if int(record.now()) % 10 == 0:
                    record.write("client", f"has taken {taken} bytes in {record.now() - began:.1f} s")
        record.write("client", f"has taken {taken} of {ANSWER_BYTES} bytes in {record.now() - began:.1f} s")
        return taken, False
    finally:
        sock.close()


async def scenario(record: Record) -> str:
    """Start one ingress before three servers, and take one long answer."""
    discovery, counter, answer = Discovery(record), Counter(), LongAnswer(record)
    await discovery.start()
    await counter.start()
    for number in range(3):
        server = SimServer(f"sim-{number}", record, handler=answer.handle)
        await server.start()
        discovery.add(server.name, server.address)
    ingress = IngressProcess(record, "n0", build_settings(), discovery, counter)
    try:
        ingress.start()
        if not await ingress.wait_ready():
            raise NotRunError("the ingress did not get ready")
        taken, has_ended = await take(record, ingress.address)
        is_cut_off = answer.is_cut_off
        with contextlib.suppress(OSError):
            record.write("verdict", f"given {answer.given}, taken {taken}, cut off {is_cut_off}, ended {has_ended}")
    finally:
        ingress.end()
    if taken < ANSWER_BYTES and (has_ended or is_cut_off):
        return f"the answer was cut off: its server had given {answer.given}, the client got {taken} of {ANSWER_BYTES}"
    return ""


if __name__ == "__main__":
    run(FOLDER, scenario)
