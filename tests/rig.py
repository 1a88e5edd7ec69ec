"""Test rig: one ingress on loopback sockets in the test's thread, with a clock that the test can advance.

The test plays the clients, the sim servers and the counter. Nothing sleeps: waiting runs the ingress's event loop.
"""

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

TIMEOUT_SECONDS = 10.0  # of real time, after which a wait fails the test


class RawConnection:
    """The test's end of a connection, as client or as server."""

    def __init__(self, rig: Rig, sock: socket.socket) -> None:
        self.rig, self.sock, self.received = rig, sock, b""
        sock.setblocking(False)

    def send(self, data: bytes) -> RawConnection:
        """Send all of `data`, running the loop while the socket is full."""
        while data:
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                self.rig.run_once()
        return self

    def receive(self) -> bool:
        """Append what has arrived to `received`; return False once the peer has closed or reset the connection."""
        try:
            data = self.sock.recv(1 << 20)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.received += data
        return bool(data)

    def read_until(self, text: bytes) -> bytes:
        """Wait for `text` and return the input up to and including it; the rest stays in `received`."""

        def has_arrived() -> bool:
            return text in self.received or not self.receive()

        self.rig.run_until(has_arrived)
        assert text in self.received, self.received
        head, self.received = self.received.split(text, 1)
        return head + text

    def read_http(self) -> tuple[int, bytes, bytes]:
        """Read one response or request with a Content-Length; return its status (0 for a request), head and body."""
        head = self.read_until(b"\r\n\r\n")
        fields = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line)
        size = int(fields.get(b"content-length", b"0"))
        self.rig.run_until(lambda: len(self.received) >= size or not self.receive())
        body, self.received = self.received[:size], self.received[size:]
        words = head.split(b" ")
        return int(words[1]) if words[0].startswith(b"HTTP") else 0, head, body

    def wait_closed(self) -> bool:
        """Wait until the peer has closed or reset the connection."""
        self.rig.run_until(lambda: not self.receive())
        return True

    def close(self) -> None:
        self.sock.close()

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


class Peer:
    """A listening socket that stands for a server; the test speaks its protocol."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.sock = rig, socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"

    def try_accept(self) -> RawConnection | None:
        """Return the next connection, or None if there is none."""
        try:
            return RawConnection(self.rig, self.sock.accept()[0])
        except OSError:  # no connection yet, or the listener is closed
            return None

    def accept(self) -> RawConnection:
        """Wait for the next connection."""
        found: list[RawConnection] = []

        def has_connected() -> bool:
            if connection := self.try_accept():
                found.append(connection)
            return bool(found)

        self.rig.run_until(has_connected)
        return found[0]


class Rig:
    """One ingress with its sim servers and counter."""

    def __init__(
        self, servers: int = 1, counter: bool = False, effect: str = "free", operator: Any = None, **config: Any
    ) -> None:
        self.clock_offset, self.frozen_at = 0.0, 0.0
        self.servers = {f"s-{n}": Peer(self) for n in range(servers)}
        settings: dict[str, Any] = copy.deepcopy(SETTINGS)
        settings["Classes"][0].update(Objective=8.0, GiveUp=20.0, Idempotency=effect, Group="all", Window=4.0)
        settings["Extra"] = {"MayCount": counter, "CountWait": 0.03, "Settles": True, "MostUnits": 8}
        settings["Limits"].update(AttemptsCap=3, MayCancel=True, RetryAfter=True, MaxRetryAfter=2.0)
        self.counter = Peer(self)
        raw = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": "127.0.0.1:1",
            "counter": self.counter.address,
            "settings": settings,
            "known": self.make_listing(),
            **config,
        }
        conf = decode(raw, {}, operator_of(operator or {}))
        if "discovery" not in config:
            conf.discovery = None
        clock_start = time.time() - time.monotonic()
        self.log = structlog.wrap_logger(structlog.PrintLogger())
        self.daemon = Daemon(
            conf, self.log, lambda: clock_start + (self.frozen_at or time.monotonic()) + self.clock_offset
        )
        self.daemon.start(signals=False)
        listener = self.daemon.north.listener
        assert listener is not None
        self.address = listener.getsockname()

    def make_listing(self, **state: str) -> dict[str, Any]:
        """Return discovery's list of the servers; `s_0="DRAINING"` sets the state of server s-0."""
        rows = [
            {
                "instanceId": k,
                "hostPort": p.address,
                "zone": "z",
                "lifecycle": state.get(k.replace("-", "_"), "SERVING"),
            }
            for k, p in self.servers.items()
        ]
        return {"generation": 7, "reset": True, "instances": rows}

    def run_once(self) -> None:
        """Run one iteration of the ingress's loop."""
        self.daemon.loop.run_once(0.005)

    def run_until(self, done: Callable[[], bool]) -> None:
        """Run the loop until `done` returns True; fail after TIMEOUT_SECONDS."""
        end = time.monotonic() + TIMEOUT_SECONDS
        while not done():
            assert time.monotonic() < end, f"condition not met within {TIMEOUT_SECONDS} s"
            self.run_once()

    def advance_clock(self, seconds: float) -> None:
        """Advance the ingress's clock and run the loop, so that timers that are due fire."""
        self.clock_offset += seconds
        for _ in range(3):
            self.run_once()

    def freeze_clock(self) -> None:
        """Stop the ingress's clock: from now on only `advance_clock` and `step_clock` move it."""
        self.frozen_at = time.monotonic()

    def step_clock(self, seconds: float) -> None:
        """Advance the ingress's clock and run one iteration that does not wait."""
        self.clock_offset += seconds
        self.daemon.loop.run_once(0)

    def connect(self) -> RawConnection:
        """Open a client connection to the ingress."""
        return RawConnection(self, socket.create_connection(self.address))

    def send_request(
        self,
        number: int = 1,
        timeout: str = "9000m",
        more: str = "",
        method: str = "GET",
        body: bytes = b"",
        wire: RawConnection | None = None,
        ident: int = 0,
    ) -> RawConnection:
        """Send a request of firm `number` on `wire` or on a new connection.

        `more` are further header lines; `ident` is the request id, by default `number`.
        """
        if wire is not None:  # a reused client connection: the pause lets the ingress reuse its server connection too
            self.clock_offset += REUSE_DELAY_SECONDS
        head = (
            f"{method} /a/{number:016x}?q=1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: {ident or number:016x}\r\n"
            f"X-Priority-Class: a\r\nX-Tariff: p\r\nX-Timeout: {timeout}\r\n{more}"
        )
        head += f"Content-Length: {len(body)}\r\n" if body else ""
        return (wire or self.connect()).send(head.encode() + b"\r\n" + body)

    def accept_relay(self) -> tuple[str, RawConnection]:
        """Wait for the next new connection to any sim server; return the server's name and the connection."""
        found: list[tuple[str, RawConnection]] = []

        def has_connected() -> bool:
            for name, peer in self.servers.items():
                if not found and (connection := peer.try_accept()):
                    found.append((name, connection))
            return bool(found)

        self.run_until(has_connected)
        return found[0]

    def count(self, name: str) -> int:
        """Return the value of a metrics counter."""
        return self.daemon.metrics.counts[name]

    def close(self) -> None:
        """Close the ingress."""
        self.daemon.close()


@contextmanager
def rig(servers: int = 1, **more: Any) -> Iterator[Rig]:
    """Provide a rig, and check that no callback failed and no buffer leaked."""
    running = Rig(servers, **more)
    try:
        yield running
        assert running.count("faults") == 0 and running.daemon.pool.in_use == 0
    finally:
        running.close()
