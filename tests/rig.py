"""One ingress on real loopback sockets in the test's own thread; the clock can be moved on, nothing sleeps."""

from __future__ import annotations

import copy
import socket
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import structlog

from brackenpulley.config import decode
from brackenpulley.net.south import REUSE_DELAY_SECONDS
from brackenpulley.operator import decode as operator_of
from brackenpulley.serve import Daemon

from .test_link import SETTINGS

PATIENCE = 10.0  # real s until a test that waits in vain fails


class Wire:
    """The test's end of a connection."""

    def __init__(self, rig: Rig, sock: socket.socket) -> None:
        self.rig, self.sock, self.seen = rig, sock, b""
        sock.setblocking(False)

    def send(self, data: bytes) -> Wire:
        while data:
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                self.rig.turn()
        return self

    def _more(self) -> bool:
        """False once the other side has ended it."""
        try:
            data = self.sock.recv(1 << 20)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.seen += data
        return bool(data)

    def until(self, text: bytes) -> bytes:
        """All up to and with this text; the rest stays."""

        def there() -> bool:
            return text in self.seen or not self._more()

        self.rig.until(there)
        assert text in self.seen, self.seen
        head, self.seen = self.seen.split(text, 1)
        return head + text

    def answer(self) -> tuple[int, bytes, bytes]:
        """Status, head and body of one answer or message that names its length."""
        head = self.until(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
        size = int(fields.get(b"content-length", b"0"))
        self.rig.until(lambda: len(self.seen) >= size or not self._more())
        body, self.seen = self.seen[:size], self.seen[size:]
        first = head.split(b" ")
        return int(first[1]) if first[0].startswith(b"HTTP") else 0, head, body

    def ended(self) -> bool:
        self.rig.until(lambda: not self._more())
        return True

    def close(self) -> None:
        self.sock.close()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


class Peer:
    """A stand-in that listens; the test speaks for it."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.sock = rig, socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.at = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def connected(self) -> Wire | None:
        try:
            return Wire(self.rig, self.sock.accept()[0])
        except OSError:  # nobody yet, or it listens no more
            return None

    def accept(self) -> Wire:
        found: list[Wire] = []

        def there() -> bool:
            if wire := self.connected():
                found.append(wire)
            return bool(found)

        self.rig.until(there)
        return found[0]


class Rig:
    def __init__(
        self, servers: int = 1, counter: bool = False, effect: str = "free", operator: Any = None, **config: Any
    ) -> None:
        self.skipped, self.frozen = 0.0, 0.0
        self.peers = {f"s-{n}": Peer(self) for n in range(servers)}
        told: dict[str, Any] = copy.deepcopy(SETTINGS)
        told["Classes"][0].update(Objective=8.0, GiveUp=20.0, Idempotency=effect, Group="all", Window=4.0)
        told["Extra"] = {"MayCount": counter, "CountWait": 0.03, "Settles": True, "MostUnits": 8}
        told["Limits"].update(AttemptsCap=3, MayCancel=True, RetryAfter=True, MaxRetryAfter=2.0)
        self.counter = Peer(self)
        raw = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "counter": self.counter.at,
            "settings": told,
            "known": self.listing(),
            **config,
        }
        conf = decode(raw, {}, operator_of(operator or {}))
        if "discovery" not in config:
            conf.discovery = None
        start = time.time() - time.monotonic()
        self.log = structlog.wrap_logger(structlog.PrintLogger())
        self.daemon = Daemon(conf, self.log, lambda: start + (self.frozen or time.monotonic()) + self.skipped)
        self.daemon.start(signals=False)
        listener = self.daemon.north.listener
        assert listener is not None
        self.at = listener.getsockname()

    def listing(self, **state: str) -> dict[str, Any]:
        rows = [
            {"instanceId": k, "hostPort": p.at, "zone": "z", "lifecycle": state.get(k.replace("-", "_"), "SERVING")}
            for k, p in self.peers.items()
        ]
        return {"generation": 7, "reset": True, "instances": rows}

    def turn(self) -> None:
        self.daemon.loop.turn(0.005)

    def until(self, done: Callable[[], bool]) -> None:
        end = time.monotonic() + PATIENCE
        while not done():
            assert time.monotonic() < end, "waited in vain"
            self.turn()

    def skip(self, seconds: float) -> None:
        """The ingress's clock moves on; what is due then happens."""
        self.skipped += seconds
        for _ in range(3):
            self.turn()

    def freeze(self) -> None:
        """From now on the ingress's clock moves by `skip` and `step` alone."""
        self.frozen = time.monotonic()

    def step(self, seconds: float) -> None:
        self.skipped += seconds
        self.daemon.loop.turn(0)

    def client(self) -> Wire:
        return Wire(self, socket.create_connection(self.at))

    def ask(
        self,
        number: int = 1,
        timeout: str = "9000m",
        more: str = "",
        method: str = "GET",
        body: bytes = b"",
        wire: Wire | None = None,
        ident: int = 0,
    ) -> Wire:
        if wire is not None:  # a client thinks for as long as the connection to the server rests
            self.skipped += REUSE_DELAY_SECONDS
        head = (
            f"{method} /a/{number:016x}?q=1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: {ident or number:016x}\r\n"
            f"X-Priority-Class: a\r\nX-Tariff: p\r\nX-Timeout: {timeout}\r\n{more}"
        )
        head += f"Content-Length: {len(body)}\r\n" if body else ""
        return (wire or self.client()).send(head.encode() + b"\r\n" + body)

    def served(self) -> tuple[str, Wire]:
        """The next new connection at any sim server."""
        found: list[tuple[str, Wire]] = []

        def there() -> bool:
            for name, peer in self.peers.items():
                if not found and (wire := peer.connected()):
                    found.append((name, wire))
            return bool(found)

        self.until(there)
        return found[0]

    def count(self, name: str) -> int:
        return self.daemon.metrics.counts[name]

    def close(self) -> None:
        self.daemon.close()


@contextmanager
def rig(servers: int = 1, **more: Any) -> Iterator[Rig]:
    made = Rig(servers, **more)
    try:
        yield made
        assert made.count("faults") == 0 and made.daemon.pool.lent == 0
    finally:
        made.close()
