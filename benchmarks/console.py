"""The operators' console under load: 500 clients and 50 long bodies in hand, then the drain.

    python -m benchmarks.console --seconds 20 [--clients 500] [--bodies 50] [--seed 1]

One daemon before sim servers. Clients ask again and again, each on a new connection; bodies of 400 KB to 4 MB flow both
ways, some as slow as 64 kB/s. Beside them the console is asked every 50 ms, each call timed from connecting to its end.
At the end it is asked to go out of service and, `GRACE` s later, ended by SIGTERM: each body must be whole, or its
client must be told. Exits 1 where a call takes a second or more, fails, or where a body is wrong or lost."""

from __future__ import annotations

import argparse
import json
import random
import signal
import socket
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.bodies import Client, Plan, Trial
from benchmarks.daemon_process import find_free_ports
from benchmarks.ledger_cost import Process
from brackenpulley.net.loop import READ, Loop

GAP, LONGEST, GRACE, THINK = 0.05, 1.0, 1.0, 0.4  # s
PATHS = ("GET /control/ready", "GET /control/counters")


class Calls:
    """Calls to the console, one every `GAP` s whether or not the one before has ended."""

    def __init__(self, loop: Loop, port: int) -> None:
        self.loop, self.port, self.times, self.failed, self.count = loop, port, list[float](), 0, 0
        self.out: dict[socket.socket, float] = {}
        self.going = True
        self._next()

    def _next(self) -> None:
        if self.going:
            self.call(PATHS[self.count % len(PATHS)])
            self.loop.call_in(GAP, self._next)

    def call(self, line: str) -> None:
        self.count += 1
        began, sock = self.loop.clock(), socket.create_connection(("127.0.0.1", self.port))
        sock.setblocking(False)
        sock.send(f"{line} HTTP/1.1\r\nHost: c\r\n\r\n".encode())
        self.out[sock], seen = began, bytearray()

        def heard(events: int) -> None:
            try:
                data = sock.recv(65536)
            except OSError:
                data = b""
            seen.extend(data)
            if data:
                return
            self.loop.unregister(sock)
            sock.close()
            del self.out[sock]
            self.times.append(self.loop.clock() - began)
            self.failed += not seen.startswith(b"HTTP/1.1 200") and line.startswith("PUT") or not seen

        self.loop.register(sock, READ, heard)

    def worst(self) -> float:
        """s, with those that still wait."""
        return max([*self.times, *(self.loop.clock() - began for began in self.out.values())], default=0.0)


class Load:
    """So many clients with short messages, so many with long bodies."""

    def __init__(self, trial: Trial, at: tuple[str, int], clients: int, bodies: int, seed: int) -> None:
        self.trial, self.at, self.rng, self.going = trial, at, random.Random(seed), True
        self.short, self.long = Counter[str](), Counter[str]()
        self.flowing: set[Client] = set()
        for _ in range(clients):
            trial.loop.call_in(self.rng.random() * THINK, self._ask)
        for _ in range(bodies):
            self._flow()

    def _ask(self) -> None:
        def done(one: Client, word: str) -> None:
            self.short[word] += 1
            self.trial.loop.call_in(THINK, self._ask)

        if self.going:
            self.trial.send(self.at, Plan(0, 200, self.trial.last_id), done)

    def _flow(self) -> None:
        def done(one: Client, word: str) -> None:
            self.flowing.discard(one)
            self.long[word] += 1
            self._flow()

        if not self.going:
            return
        slow, seed = self.rng.random() < 0.3, self.rng.randrange(1 << 20)
        size = self.rng.randrange(300_000, 400_000) if slow else self.rng.randrange(1 << 20, 4 << 20)
        pace = "slow" if slow else "fast"
        plan = Plan(size, 200, seed, up_pace=pace) if self.rng.random() < 0.5 else Plan(0, size, seed, take=pace)
        self.flowing.add(self.trial.send(self.at, plan, done))


def run(seconds: float, clients: int, bodies: int, seed: int) -> dict[str, Any]:
    trial = Trial(80)
    with tempfile.TemporaryDirectory(prefix="bracken-console-") as name:
        ports = find_free_ports(2)
        daemon = Process(
            Path(name),
            "daemon",
            ports[0],
            trial.discovery.listener.address_text,
            "127.0.0.1:1",
            "",
            limits={"memory_mb": 80, "sockets": 1500},
            console=f"127.0.0.1:{ports[1]}",
        )
        try:
            trial.run_for(3.0)
            load, calls = Load(trial, ("127.0.0.1", ports[0]), clients, bodies, seed), Calls(trial.loop, ports[1])
            trial.run_for(seconds)
            loaded, most = calls.worst(), len(load.flowing)
            load.going, at_end = False, len(load.flowing)
            calls.call("PUT /control/out-of-service")
            trial.run_for(GRACE)
            calls.going = False
            trial.run_for(0.2)
            began = time.monotonic()
            daemon.process.send_signal(signal.SIGTERM)
            while daemon.process.poll() is None and time.monotonic() < began + 60.0:
                trial.loop.run_once(0.01)
            ended = time.monotonic() - began
            trial.run_for(1.0)
        finally:
            daemon.process.kill()
            daemon.process.wait()
        last = [row for row in Path(name, "daemon.log").read_text().splitlines() if "longest_turn_us=" in row][-1:]
    turn_ms = int(last[0].partition("longest_turn_us=")[2].split()[0]) / 1000 if last else -1.0
    return {
        "calls": calls.count,
        "failed": calls.failed + len(calls.out),
        "worstMs": round(loaded * 1000, 1),
        "worstInDrainMs": round(calls.worst() * 1000, 1),
        "short": dict(load.short),
        "long": dict(load.long),
        "flowing": most,
        "flowingAtDrain": at_end,
        "lost": len(load.flowing) + load.long["lost"],
        "wrong": load.long["wrong"] + sum(trial.wrong.values()),
        "endedInS": round(ended, 2),
        "code": daemon.process.returncode,
        "longestTurnMs": round(turn_ms, 2),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--clients", type=int, default=500)
    parser.add_argument("--bodies", type=int, default=50)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    report = run(told.seconds, told.clients, told.bodies, told.seed)
    print(json.dumps(report, indent=1))
    late = max(report["worstMs"], report["worstInDrainMs"]) >= LONGEST * 1000
    return int(late or bool(report["failed"] or report["lost"] or report["wrong"]) or report["code"] != 0)


if __name__ == "__main__":
    raise SystemExit(main())
