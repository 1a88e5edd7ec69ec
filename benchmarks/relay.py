"""What a message costs the whole daemon, against a bare relay: selectors and httptools, no decision, nothing kept.

    python -m benchmarks.relay                      16 kept connections, turns of a second each
    python -m benchmarks.relay --profile FILE       the daemon under cProfile instead

Both run at once before the same sim servers and take turns, so that a noisy machine is noisy for both. CPU is the
process's own, user and system, over the messages answered. Exits 1 where the daemon takes more than `MOST` times the
relay's."""

from __future__ import annotations

import argparse
import cProfile
import json
import os
import pstats
import random
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import httptools
import structlog

from benchmarks.daemon_process import ROOT, find_free_ports, read_cpu_seconds
from benchmarks.ledger_cost import Process
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import READ, Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.servers import Discovery
from brackenpulley.standins.servers import SimServer as Slow
from brackenpulley.standins.wire import Connection, find_header

CONNECTIONS, SERVERS, MOST = 16, 10, 4.0


class SimServer(Slow):
    """Answers at once: the cost of what stands before it is asked for."""

    def _handle_request(self, line: Connection, payload: Any) -> None:
        line.answer(200, find_header(payload, b"x-request-id"), "X-True-Cost: 1\r\n")


class Half:
    """One side of the bare relay's pair of connections."""

    def __init__(self, sock: socket.socket, kind: Any) -> None:
        self.sock, self.other, self.data, self.whole = sock, self, b"", False
        self.kind = kind
        self.parser = kind(self)

    def on_message_complete(self) -> None:
        self.whole = True


def bare(port: int, to: int) -> None:
    """Each client's connection has one to the sim server; whole messages are passed on as they came."""
    selector = selectors.DefaultSelector()
    listener = socket.create_server(("127.0.0.1", port))
    selector.register(listener, selectors.EVENT_READ)
    while True:
        for key, _ in selector.select():
            half = key.data
            if half is None:
                client = Half(listener.accept()[0], httptools.HttpRequestParser)
                server = Half(socket.create_connection(("127.0.0.1", to)), httptools.HttpResponseParser)
                client.other, server.other = server, client
                for one in (client, server):
                    one.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    selector.register(one.sock, selectors.EVENT_READ, one)
                continue
            data = half.sock.recv(65536)
            if not data:
                for one in (half, half.other):
                    selector.unregister(one.sock)
                    one.sock.close()
                break  # the other's event of this turn may be stale
            half.parser.feed_data(data)
            half.data += data
            if half.whole:
                half.other.sock.sendall(half.data)
                half.data, half.whole = b"", False
                if half.kind is httptools.HttpResponseParser:
                    half.parser = half.kind(half)


class Closed:
    """Closed loop: each connection asks again as soon as it is answered."""

    def __init__(self, loop: Loop, port: int, seed: int) -> None:
        self.loop, self.rng, self.answers, self.good = loop, random.Random(seed), 0, 0
        self.running = False
        self.socks = [socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)]
        self.seen = [b""] * CONNECTIONS
        self.out = 0
        for n, sock in enumerate(self.socks):
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            loop.register(sock, READ, lambda events, n=n: self._readable(n))  # type: ignore[misc]

    def start(self) -> None:
        self.running = True
        for n in range(CONNECTIONS):
            self._ask(n)

    def _ask(self, n: int) -> None:
        ident = f"{self.rng.getrandbits(64):016x}"
        self.out += 1
        self.socks[n].send(
            (
                f"GET /load-sim/{1 + n:016x} HTTP/1.1\r\nHost: sims\r\nX-Request-ID: {ident}\r\n"
                "X-Priority-Class: load-sim\r\nX-Tariff: county\r\nX-Timeout: 4000m\r\n"
                "X-Weight: units=1,spread=1,first=0\r\n\r\n"
            ).encode()
        )

    def _readable(self, n: int) -> None:
        data = self.socks[n].recv(65536)
        if not data:
            raise ConnectionError("the connection ended")
        self.seen[n] += data
        head, end, body = self.seen[n].partition(b"\r\n\r\n")
        if not end:
            return
        rows = [row for row in head.lower().split(b"\r\n") if row.startswith(b"content-length")]
        size = int(rows[0].split(b":")[1]) if rows else 0
        if len(body) < size:
            return
        self.seen[n] = b""
        self.out -= 1
        self.answers += 1
        self.good += head.startswith(b"HTTP/1.1 200")
        if self.running:
            self._ask(n)


def compare(seconds: int) -> dict[str, Any]:
    """CPU a message of each, us, in turns of a second; the first of each warms up."""
    loop = Loop(wall_clock(), Metrics(), structlog.get_logger())
    servers = [SimServer(loop, f"s-{n}", random.Random(n)) for n in range(SERVERS)]
    discovery = Discovery(loop, [*servers])
    with tempfile.TemporaryDirectory(prefix="bracken-relay-") as name:
        ports = find_free_ports(2)
        daemon = Process(Path(name), "daemon", ports[0], discovery.listener.address_text, "127.0.0.1:1", "")
        relay = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.relay",
                "--bare",
                str(ports[1]),
                "--to",
                str(servers[0].listener.address[1]),
            ],
            cwd=ROOT,
        )
        try:
            end = time.monotonic() + 4.0
            while time.monotonic() < end:
                loop.run_once(0.05)
            pids = [daemon.process.pid, relay.pid]
            loads = [Closed(loop, port, 1) for port in ports]
            used, count, good = [0.0, 0.0], [0, 0], [0, 0]
            for turn in range(2 * seconds + 2):
                which = turn % 2
                load, before = loads[which], read_cpu_seconds(pids[which])
                answers, served = load.answers, load.good
                load.start()
                end = time.monotonic() + 1.0
                while time.monotonic() < end:
                    loop.run_once(0.01)
                load.running = False
                while load.out:
                    loop.run_once(0.01)
                if turn > 1:
                    used[which] += read_cpu_seconds(pids[which]) - before
                    count[which] += load.answers - answers
                    good[which] += load.good - served
        finally:
            for process in (daemon.process, relay):
                process.terminate()
                process.wait()
    us = [used[n] / count[n] * 1e6 for n in (0, 1)]
    return {
        "messages": count,
        "served": good,
        "daemonUs": round(us[0], 1),
        "bareUs": round(us[1], 1),
        "ratio": round(us[0] / us[1], 2),
    }


def profile(path: str, seconds: float) -> None:
    """The daemon's loop in this process under the profiler; the load and the servers in another one."""
    from brackenpulley.config import decode
    from brackenpulley.serve import Daemon
    from brackenpulley.standins.settings import build_settings

    ready, told = socket.socketpair()
    child = os.fork()
    if not child:
        loop = Loop(wall_clock(), Metrics(), structlog.get_logger())
        servers = [SimServer(loop, f"s-{n}", random.Random(n)) for n in range(SERVERS)]
        discovery = Discovery(loop, [*servers])
        told.send(discovery.listener.address_text.encode())
        told.setblocking(False)
        load: Closed | None = None
        while True:
            loop.run_once(0.01)
            if load is None:
                try:
                    load = Closed(loop, int(told.recv(16)), 1)
                    load.start()
                except BlockingIOError:
                    continue
    raw = build_settings(1, has_counter=False)
    for plan in raw["TiersOfService"]:
        plan.update(QuotaRate=1e6, Burst=1e6)
    daemon = Daemon(
        decode(
            {"name": "profiled", "listen": "127.0.0.1:0", "discovery": ready.recv(64).decode(), "settings": raw}, {}
        ),
        structlog.get_logger(),
    )
    daemon.start(signals=False)
    assert daemon.north.listener is not None
    until = time.monotonic() + 1.0
    while time.monotonic() < until:
        daemon.loop.run_once(0.05)
    ready.send(str(daemon.north.listener.getsockname()[1]).encode())
    profiler = cProfile.Profile()

    def turns() -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            daemon.loop.run_once(0.05)

    profiler.runcall(turns)
    os.kill(child, signal.SIGKILL)
    os.waitpid(child, 0)
    stats = pstats.Stats(profiler)
    if path != "-":
        stats.dump_stats(path)
    print(f"{daemon.metrics.counts['served']} served")
    stats.sort_stats("tottime").print_stats(45)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=int, default=6, help="for each of the two")
    parser.add_argument("--profile", default="", help="a file for the profile; - for none")
    parser.add_argument("--bare", type=int, default=0, help=argparse.SUPPRESS)
    parser.add_argument("--to", type=int, default=0, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.bare:
        bare(told.bare, told.to)
    if told.profile:
        profile(told.profile, float(told.seconds))
        return 0
    report = compare(told.seconds)
    print(json.dumps(report, indent=1))
    return int(report["ratio"] > MOST)


if __name__ == "__main__":
    raise SystemExit(main())
