"""Sends long bodies through one daemon and checks their outcomes, memory, CPU and the latency of short messages.

    python -m benchmarks.bodies --seconds 60 [--memory-mb 80] [--seed 1]

Clients request and send bodies of 1 KB to 32 MB: fast, at 64 kB/s, in small pieces, with an abort, or without reading;
sim servers do the same. Both ends compare digests. Then the daemon and a bare relay transfer the same bodies in turns,
which gives the CPU time per megabyte. Short messages are timed alone and beside the bodies. Exits with 1 if a body is
wrong or lost, or if memory exceeds its limit.
"""

from __future__ import annotations

import argparse
import json
import random
import selectors
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs

import structlog
import xxhash

from benchmarks.daemon_process import ROOT, find_free_ports, read_cpu_seconds
from benchmarks.ledger_cost import Process
from brackenpulley.bodies.memory import BodyMemory
from brackenpulley.metrics import Metrics
from brackenpulley.net.http import Payload
from brackenpulley.net.loop import READ, WRITE, Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.servers import Discovery, SimServer
from brackenpulley.standins.wire import Connection

PIECE_BYTES = 65536
SLOW_BYTES_PER_SECOND = 64_000
SLOW_INTERVAL_S = 0.1  # between two pieces of a slow transfer
SIZES_BYTES = [1 << 10, 30 << 10, 65 << 10, 300 << 10, 1 << 20, 4 << 20, 32 << 20]
WEIGHTS = [20, 10, 10, 10, 8, 6, 1]
# An exchange may take EXCHANGE_TIMEOUT_S plus the time of both bodies at the slow rate.
FRAMINGS, CLIENT_COUNT, SERVER_COUNT, EXCHANGE_TIMEOUT_S = ("length", "chunked", "close"), 40, 4, 20.0
MAX_MEMORY_MB = 24.0  # resident, above the idle daemon
NOISE = random.Random(7).randbytes(1 << 20)


def make_piece(offset: int, size: int, seed: int) -> bytes:
    """Returns a part of the endless pseudo-random body that `seed` selects."""
    start = (offset + seed * 4099) % len(NOISE)
    return NOISE[start : start + size] + NOISE[: max(0, start + size - len(NOISE))]


def compute_digest(size: int, seed: int) -> str:
    """Returns the digest of the first `size` bytes of a body."""
    digest = xxhash.xxh3_64()
    for offset in range(0, size, PIECE_BYTES):
        digest.update(make_piece(offset, min(PIECE_BYTES, size - offset), seed))
    return digest.hexdigest()


@dataclass
class Plan:
    """One exchange: the sizes of the request and response bodies, and how either side behaves."""

    up: int
    down: int
    seed: int
    up_form: str = "length"
    down_form: str = "length"
    up_pace: str = "fast"  # fast, slow, pieces
    down_pace: str = "fast"  # at which the server writes
    take: str = "fast"  # how the client reads: fast, slow, never
    up_cut: int = -1  # offset at which the client aborts, or -1
    down_cut: int = -1  # offset at which the server aborts, or -1

    def query(self) -> str:
        """Returns the query string that tells the sim server how to answer and which digest to expect."""
        return (
            f"size={self.down}&seed={self.seed}&form={self.down_form}&pace={self.down_pace}&cut={self.down_cut}"
            f"&up={compute_digest(self.up, self.seed + 1) if self.up_cut < 0 and self.up else ''}"
        )


class Writer:
    """Writes a body at a pace and stops at the offset `cut`, if that is not negative."""

    def __init__(
        self,
        loop: Loop,
        send: Callable[[bytes], None],
        drained: Callable[[Callable[[], None]], None],
        size: int,
        seed: int,
        form: str,
        pace: str,
        cut: int,
        end: Callable[[bool], None],
    ) -> None:
        self.loop, self.send, self.drained, self.size, self.seed = loop, send, drained, size, seed
        self.form, self.pace, self.cut, self.end, self.offset = form, pace, cut, end, 0
        self.rng = random.Random(seed)

    def write_next(self) -> None:
        """Writes the next piece, or reports the end: True if complete, False if cut off."""
        piece_bytes = {
            "fast": PIECE_BYTES,
            "slow": int(SLOW_BYTES_PER_SECOND * SLOW_INTERVAL_S),
            "pieces": self.rng.choice((1, 7, 1000, 30_000)),
        }[self.pace]
        if self.offset >= self.size:
            if self.form == "chunked":
                self.send(b"0\r\n\r\n")
            self.end(True)
            return
        if 0 <= self.cut <= self.offset:
            self.end(False)
            return
        part = make_piece(self.offset, min(piece_bytes, self.size - self.offset), self.seed)
        self.offset += len(part)
        self.drained(self._on_drained)
        self.send(b"%x\r\n%s\r\n" % (len(part), part) if self.form == "chunked" else part)

    def _on_drained(self) -> None:
        if self.pace == "fast":
            self.write_next()
        else:
            self.loop.call_in(SLOW_INTERVAL_S if self.pace == "slow" else self.rng.random() * 0.01, self.write_next)


class BodyServer(SimServer):
    """Sim server that checks the digest of the request body and answers with the body described by the query."""

    def __init__(self, loop: Loop, name: str, wrong: Counter[str]) -> None:
        super().__init__(loop, name, random.Random(1))
        self.wrong = wrong
        self.listener.body_memory = BodyMemory(1 << 30)

    def _handle_request(self, line: Connection, payload: Payload) -> None:
        stream = payload.stream
        if stream is None:
            self._answer(line, payload, xxhash.xxh3_64(payload.body).hexdigest() if payload.body else "")
            return
        received = xxhash.xxh3_64()

        def read_available() -> None:
            for part in stream.take(1 << 30):
                received.update(part)
            if stream.is_complete:
                stream.drop()
                self._answer(line, payload, received.hexdigest())

        stream.begin()
        stream.on_change = read_available
        read_available()

    def _answer(self, line: Connection, payload: Payload, received: str) -> None:
        query = {
            k: v[0] for k, v in parse_qs(payload.target.decode().partition("?")[2], keep_blank_values=True).items()
        }
        if query["up"] and query["up"] != received:
            self.wrong["a server received a wrong body"] += 1
        size, form = int(query["size"]), query["form"]
        head = {
            "length": f"Content-Length: {size}\r\n",
            "chunked": "Transfer-Encoding: chunked\r\n",
            "close": "Connection: close\r\n",
        }[form]
        line.send(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())

        def end(whole: bool) -> None:
            if not whole:
                line.reset()
            elif form == "close":
                line.on_drained = line.close
                line.send(b"")

        Writer(
            self.loop,
            line.send,
            lambda call: setattr(line, "on_drained", call),
            size,
            int(query["seed"]),
            form,
            query["pace"],
            int(query["cut"]),
            end,
        ).write_next()


class Client:
    """Client that carries out one plan on a connection of its own and reports its outcome as one word."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], plan: Plan, message_id: int, done: Callable[[Client, str], None]
    ) -> None:
        self.loop, self.plan, self.done, self.started_at = loop, plan, done, loop.clock()
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)
        self.pending: deque[bytes] = deque()
        self.drained: Callable[[], None] | None = None
        self.digest, self.head, self.size, self.remaining = xxhash.xxh3_64(), b"", 0, -1
        self.buffer, self.is_chunked, self.has_ended, self.first_byte_s = b"", False, False, 0.0
        self.is_reading = plan.take != "never"
        loop.register(self.sock, READ, self._event)
        framing = f"Content-Length: {plan.up}\r\n" if plan.up_form == "length" else "Transfer-Encoding: chunked\r\n"
        self.send(
            (
                f"{'POST' if plan.up else 'GET'} /{'submit-result' if plan.up else 'load-sim'}/{message_id:016x}"
                f"?{plan.query()} HTTP/1.1\r\nHost: sims\r\nX-Request-ID: {message_id:016x}\r\nX-Tariff: county\r\n"
                f"X-Timeout: 7000m\r\n{framing if plan.up else ''}\r\n"
            ).encode()
        )
        if plan.up:
            Writer(
                loop,
                self.send,
                lambda call: setattr(self, "drained", call),
                plan.up,
                plan.seed + 1,
                plan.up_form,
                plan.up_pace,
                plan.up_cut,
                lambda whole: None if whole else self._finish("left"),
            ).write_next()
        self.timer = loop.call_in(
            EXCHANGE_TIMEOUT_S + (plan.up + plan.down) / SLOW_BYTES_PER_SECOND, lambda: self._finish("lost")
        )
        if not self.is_reading:
            loop.call_in(3.0, lambda: self._finish("left"))

    def send(self, data: bytes) -> None:
        """Queues data and writes as much as the socket takes; calls `drained` once all is written."""
        if self.has_ended:
            return
        if data:
            self.pending.append(data)
        try:
            while self.pending:
                sent = self.sock.send(self.pending[0])
                if sent < len(self.pending[0]):
                    self.pending[0] = self.pending[0][sent:]
                else:
                    self.pending.popleft()
        except BlockingIOError:
            pass
        except OSError:
            self.pending.clear()  # the response has the reason
            self.drained = None
        self._update_interest()
        if not self.pending and self.drained is not None:
            call, self.drained = self.drained, None
            self.loop.call_soon(lambda: None if self.has_ended else call())

    def _update_interest(self) -> None:
        if not self.has_ended:
            self.loop.set_interest(
                self.sock, (READ if self.is_reading else 0) | (WRITE if self.pending else 0), self._event
            )

    def _event(self, events: int) -> None:
        if events & WRITE:
            self.send(b"")
        if not events & READ or self.has_ended:
            return
        try:
            data = self.sock.recv(
                int(SLOW_BYTES_PER_SECOND * SLOW_INTERVAL_S) if self.plan.take == "slow" else PIECE_BYTES * 4
            )
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if self.plan.take == "slow" and data:
            self.is_reading = False
            self.loop.call_in(SLOW_INTERVAL_S, self._resume_reading)
        self._receive(data)

    def _resume_reading(self) -> None:
        self.is_reading = True
        self._update_interest()

    def _receive(self, data: bytes) -> None:
        self.buffer += data
        if not self.head:
            head, end, rest = self.buffer.partition(b"\r\n\r\n")
            if not end:
                return self._finish("lost" if self.plan.up_cut < 0 else "left") if not data else self._update_interest()
            self.head, self.buffer, self.first_byte_s = head, rest, self.loop.clock() - self.started_at
            fields = dict(row.lower().split(b": ", 1) for row in head.split(b"\r\n")[1:])
            self.is_chunked = b"transfer-encoding" in fields
            self.remaining = int(fields.get(b"content-length", b"-1"))
            if not self.head.startswith(b"HTTP/1.1 200"):
                status = self.head[9:12].decode()
                return self._finish("refused" if status in ("429", "503") else f"failed {status}")
        if self.is_chunked:
            whole = self._decode_chunks()
        else:
            self.digest.update(self.buffer)
            self.size, self.buffer = self.size + len(self.buffer), b""
            whole = self.size == self.remaining
        if whole:
            is_intact = self.size == self.plan.down and self.digest.hexdigest() == compute_digest(
                self.plan.down, self.plan.seed
            )
            self._finish("whole" if is_intact else "wrong")
        elif not data:
            self._finish("told as cut off" if self.plan.down_cut >= 0 else "cut off for nothing")
        else:
            self._update_interest()

    def _decode_chunks(self) -> bool:
        while True:
            if self.remaining > 0:
                part, self.buffer = self.buffer[: self.remaining], self.buffer[self.remaining :]
                self.digest.update(part)
                self.size, self.remaining = self.size + len(part), self.remaining - len(part)
                if self.remaining:
                    return False
                self.remaining = -2  # the line end after the chunk is next
            if self.remaining == -2:
                if len(self.buffer) < 2:
                    return False
                self.buffer, self.remaining = self.buffer[2:], -1
            row, end, rest = self.buffer.partition(b"\r\n")
            if not end:
                return False
            self.buffer, self.remaining = rest, int(row, 16)
            if not self.remaining:
                return True

    def _finish(self, outcome: str) -> None:
        if not self.has_ended:
            self.has_ended = True
            self.timer.cancel()
            self.loop.set_interest(self.sock, 0, self._event)
            self.sock.close()
            self.done(self, outcome)


def draw_plan(rng: random.Random, seed: int) -> Plan:
    """Draws a plan of the mix; slow ones are small enough to complete."""
    size = rng.choices(SIZES_BYTES, WEIGHTS)[0]
    up = rng.random() < 0.4
    plan = Plan(size if up else 0, 200 if up else size, seed, rng.choice(FRAMINGS[:2]), rng.choice(FRAMINGS))
    choice = rng.random()
    slow_size = min(size, 400_000)
    if choice < 0.15:
        plan.up, plan.down = (slow_size, 200) if up else (0, slow_size)
        plan.up_pace = plan.down_pace = "slow"
    elif choice < 0.3:
        plan.up, plan.down = (slow_size, 200) if up else (0, slow_size)
        plan.take = "slow"
    elif choice < 0.4:
        plan.up, plan.down = (min(size, 60_000), 200) if up else (0, min(size, 60_000))
        plan.up_pace = plan.down_pace = "pieces"
    elif choice < 0.5 and size > PIECE_BYTES:
        plan.up_cut, plan.down_cut = (size // 2, -1) if up else (-1, size // 2)
    elif choice < 0.55 and not up:
        plan.take = "never"
    return plan


@dataclass
class Trial:
    """The stand-in services for one daemon and a mix of clients."""

    memory_mb: int
    outcomes: Counter[str] = field(default_factory=Counter)
    wrong: Counter[str] = field(default_factory=Counter)
    last_id: int = 0

    def __post_init__(self) -> None:
        self.loop = Loop(wall_clock(), Metrics(), structlog.get_logger())
        self.servers = [BodyServer(self.loop, f"s-{n}", self.wrong) for n in range(SERVER_COUNT)]
        self.discovery = Discovery(self.loop, [*self.servers])

    def run_for(self, seconds: float, on_turn: Callable[[], None] = lambda: None) -> None:
        """Runs the event loop for that long and calls `on_turn` after each turn."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.loop.run_once(0.01)
            on_turn()

    def send(self, address: tuple[str, int], plan: Plan, done: Callable[[Client, str], None]) -> Client:
        """Starts a client; `done` gets its outcome."""
        self.last_id += 1
        return Client(self.loop, address, plan, self.last_id, done)

    def run_mix(self, address: tuple[str, int], seconds: float, seed: int, short_messages: Callable[[], None]) -> None:
        """Keeps CLIENT_COUNT clients busy for that long and then waits up to 40 s until all have ended."""
        rng, out = random.Random(seed), set[Client]()
        end = time.monotonic() + seconds

        def done(client: Client, outcome: str) -> None:
            out.discard(client)
            self.outcomes[outcome] += 1

        def on_turn() -> None:
            while len(out) < CLIENT_COUNT and time.monotonic() < end:
                out.add(self.send(address, draw_plan(rng, rng.randrange(1 << 20)), done))
            short_messages()

        self.run_for(seconds, on_turn)
        give_up_at = time.monotonic() + 40.0
        while out and time.monotonic() < give_up_at:
            self.loop.run_once(0.01)
        self.outcomes["lost"] += len(out)


class ShortMessages:
    """Sends short messages at an even rate and records their times from connecting to the last byte."""

    def __init__(self, trial: Trial, address: tuple[str, int], rate: float) -> None:
        self.trial, self.address, self.interval_s = trial, address, 1 / rate
        self.next_at, self.times = 0.0, list[float]()

    def __call__(self) -> None:
        """Sends a message if one is due."""
        now = self.trial.loop.clock()
        if now < self.next_at:
            return
        self.next_at = now + self.interval_s

        def done(client: Client, outcome: str) -> None:
            if outcome == "whole":
                self.times.append(self.trial.loop.clock() - client.started_at)

        self.trial.send(self.address, Plan(0, 200, self.trial.last_id), done)

    def compute_p99_ms(self) -> float:
        """Returns the 99th percentile of the times in milliseconds."""
        return sorted(self.times)[int(0.99 * (len(self.times) - 1))] * 1000 if self.times else 0.0


def run_bare_relay(port: int, to: int) -> None:
    """Runs a relay that forwards bytes both ways unparsed, with one slice in memory, as the baseline for CPU."""
    selector = selectors.DefaultSelector()
    listener = socket.create_server(("127.0.0.1", port))
    selector.register(listener, selectors.EVENT_READ)
    buffer = bytearray(PIECE_BYTES)
    while True:
        for key, events in selector.select():
            if key.data is None:
                pair = [listener.accept()[0], socket.create_connection(("127.0.0.1", to))]
                for sock, other in (pair, pair[::-1]):
                    sock.setblocking(False)
                    selector.register(sock, selectors.EVENT_READ, [other, b""])
                continue
            source: Any = key.fileobj
            destination, unsent = key.data
            if events & selectors.EVENT_READ:
                try:
                    count = source.recv_into(buffer)
                except OSError:
                    count = 0
                if not count:
                    for sock in (source, destination):
                        selector.unregister(sock)
                        sock.close()
                    break
                data = bytes(memoryview(buffer)[:count])
                try:
                    data = data[destination.send(data) :]
                except BlockingIOError:
                    pass
                except OSError:
                    data = b""
                if data:  # stop reading here until the other side has taken this
                    destination_key = selector.get_key(destination)
                    selector.modify(
                        destination, destination_key.events | selectors.EVENT_WRITE, [destination_key.data[0], data]
                    )
                    selector.unregister(source)
            elif events & selectors.EVENT_WRITE:
                data = unsent[source.send(unsent) :]
                if not data:
                    selector.modify(source, selectors.EVENT_READ, [destination, b""])
                    selector.register(destination, selectors.EVENT_READ, [source, b""])
                else:
                    selector.modify(source, events, [destination, data])


def measure_cost(trial: Trial, pids: list[int], ports: list[int], rounds: int) -> list[float]:
    """Returns the CPU milliseconds per megabyte of the daemon and of the bare relay, for the same bodies in turns."""
    cpu_seconds, megabytes = [0.0, 0.0], [0, 0]
    for turn in range(2 * rounds + 2):
        index = turn % 2
        cpu_before, remaining = read_cpu_seconds(pids[index]), [8]

        def done(client: Client, outcome: str, remaining: list[int] = remaining) -> None:
            remaining[0] -= 1
            trial.outcomes["relayed" if outcome == "whole" else f"relayed {outcome}"] += 1

        for n in range(remaining[0]):
            size = 4 << 20
            plan = Plan(size, 200, n) if n % 2 else Plan(0, size, n)
            trial.send(("127.0.0.1", ports[index]), plan, done)
        while remaining[0]:
            trial.loop.run_once(0.01)
        time.sleep(0.02)  # the kernel accounts CPU time in ticks
        if turn > 1:
            cpu_seconds[index] += read_cpu_seconds(pids[index]) - cpu_before
            megabytes[index] += 32
    return [1000 * cpu_seconds[n] / megabytes[n] for n in (0, 1)]


def run(seconds: float, memory_mb: int, seed: int, rounds: int = 6) -> dict[str, Any]:
    """Runs the benchmark and returns the report."""
    trial = Trial(memory_mb)
    with tempfile.TemporaryDirectory(prefix="bracken-bodies-") as name:
        ports = find_free_ports(2)
        daemon = Process(
            Path(name),
            "daemon",
            ports[0],
            trial.discovery.listener.address_text,
            "127.0.0.1:1",
            "",
            limits={"memory_mb": memory_mb, "sockets": 1024},
        )
        relay = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "benchmarks.bodies",
                "--bare",
                str(ports[1]),
                "--to",
                str(trial.servers[0].listener.address[1]),
            ],
            cwd=ROOT,
        )
        try:
            trial.run_for(3.0)
            address = ("127.0.0.1", ports[0])
            alone, under_load = ShortMessages(trial, address, 50), ShortMessages(trial, address, 50)
            trial.run_for(max(2.0, seconds / 6), alone)
            trial.run_for(0.5)
            idle_kb, peak_kb = daemon.read_resident_kb(), [0]

            def on_turn() -> None:
                under_load()
                peak_kb[0] = (
                    max(peak_kb[0], daemon.read_resident_kb()) if len(under_load.times) % 5 == 0 else peak_kb[0]
                )

            trial.run_mix(address, seconds, seed, on_turn)
            outcomes = dict(trial.outcomes)
            per_mb = measure_cost(trial, [daemon.process.pid, relay.pid], ports, rounds)
        finally:
            for process in (daemon.process, relay):
                process.terminate()
                process.wait()
        lines = [row for row in Path(name, "daemon.log").read_text().splitlines() if "longest_turn_us=" in row][-1:]
    turn_ms = int(lines[0].partition("longest_turn_us=")[2].split()[0]) / 1000 if lines else -1.0
    return {
        "seconds": seconds,
        "memoryMb": memory_mb,
        "outcomes": outcomes,
        "wrong": outcomes.get("wrong", 0) + sum(trial.wrong.values()),
        "lost": outcomes.get("lost", 0),
        "cutOffForNothing": outcomes.get("cut off for nothing", 0),
        "idleMb": round(idle_kb / 1024, 1),
        "peakOverIdleMb": round((peak_kb[0] - idle_kb) / 1024, 1),
        "longestTurnMs": round(turn_ms, 2),
        "cpuMsAMegabyte": [round(ms, 3) for ms in per_mb],
        "ratio": round(per_mb[0] / per_mb[1], 2) if per_mb[1] else 0.0,
        "shortP99Ms": [round(alone.compute_p99_ms(), 2), round(under_load.compute_p99_ms(), 2)],
    }


def main() -> int:
    """Runs the command line and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--memory-mb", type=int, default=80)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--bare", type=int, default=0, help=argparse.SUPPRESS)
    parser.add_argument("--to", type=int, default=0, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.bare:
        run_bare_relay(options.bare, options.to)
    report = run(options.seconds, options.memory_mb, options.seed)
    print(json.dumps(report, indent=1))
    has_failed = report["wrong"] or report["lost"] or report["cutOffForNothing"]
    return int(bool(has_failed) or report["peakOverIdleMb"] > MAX_MEMORY_MB)


if __name__ == "__main__":
    raise SystemExit(main())
