"""Long bodies through one daemon: whole, told as cut off, refused, wrong or lost; memory, CPU, short messages beside.

    python -m benchmarks.bodies --seconds 60 [--memory-mb 80] [--seed 1]

Clients ask for bodies of 1 KB to 32 MB and send such, fast, at 64 kB/s, in pieces, breaking off, or never reading; sim
servers do the same on their side. Both ends compare digests. Then the same bodies go through the daemon and through a
bare relay in turns, for the CPU of a megabyte, and short messages beside them are timed against short ones alone. Exits
1 where a body is wrong or lost, or where memory passes its bound."""

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

from benchmarks.ledger_cost import Process
from benchmarks.plan_changes import ROOT, find_free_ports
from benchmarks.relay import usage
from brackenpulley.bodies.memory import BodyMemory
from brackenpulley.metrics import Metrics
from brackenpulley.net.http import Payload
from brackenpulley.net.loop import READ, WRITE, Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.servers import Discovery, SimServer
from brackenpulley.standins.wire import Line

PIECE, SLOW, TICK = 65536, 64_000, 0.1  # bytes at once; bytes a second; s between pieces of a slow one
SIZES = [1 << 10, 30 << 10, 65 << 10, 300 << 10, 1 << 20, 4 << 20, 32 << 20]
WEIGHTS = [20, 10, 10, 10, 8, 6, 1]
FORMS, CLIENTS, SERVERS, PATIENCE = ("length", "chunked", "close"), 40, 4, 20.0
MOST_MB = 24.0  # resident, over the idle daemon
NOISE = random.Random(7).randbytes(1 << 20)


def piece(at: int, size: int, seed: int) -> bytes:
    """Bytes of the endless body `seed`, from `at` on."""
    start = (at + seed * 4099) % len(NOISE)
    return NOISE[start : start + size] + NOISE[: max(0, start + size - len(NOISE))]


def digest(size: int, seed: int) -> str:
    made = xxhash.xxh3_64()
    for at in range(0, size, PIECE):
        made.update(piece(at, min(PIECE, size - at), seed))
    return made.hexdigest()


@dataclass
class Plan:
    """One exchange: what goes up and what comes down, and how either side behaves."""

    up: int
    down: int
    seed: int
    up_form: str = "length"
    down_form: str = "length"
    up_pace: str = "fast"  # fast, slow, pieces
    down_pace: str = "fast"  # of the server's writing
    take: str = "fast"  # fast, slow, never
    up_cut: int = -1  # the client breaks off there
    down_cut: int = -1  # the server does

    def query(self) -> str:
        return (
            f"size={self.down}&seed={self.seed}&form={self.down_form}&pace={self.down_pace}&cut={self.down_cut}"
            f"&up={digest(self.up, self.seed + 1) if self.up_cut < 0 and self.up else ''}"
        )


class Writer:
    """Writes a body to a line at a pace, and breaks off where it is told to."""

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
        self.form, self.pace, self.cut, self.end, self.at = form, pace, cut, end, 0
        self.rng = random.Random(seed)

    def go(self) -> None:
        many = {"fast": PIECE, "slow": int(SLOW * TICK), "pieces": self.rng.choice((1, 7, 1000, 30_000))}[self.pace]
        if self.at >= self.size:
            if self.form == "chunked":
                self.send(b"0\r\n\r\n")
            self.end(True)
            return
        if 0 <= self.cut <= self.at:
            self.end(False)
            return
        part = piece(self.at, min(many, self.size - self.at), self.seed)
        self.at += len(part)
        self.drained(self._again)
        self.send(b"%x\r\n%s\r\n" % (len(part), part) if self.form == "chunked" else part)

    def _again(self) -> None:
        if self.pace == "fast":
            self.go()
        else:
            self.loop.call_in(TICK if self.pace == "slow" else self.rng.random() * 0.01, self.go)


class Sim(SimServer):
    """A sim server that answers with the body the path asks for, once what came has the digest the path names."""

    def __init__(self, loop: Loop, name: str, wrong: Counter[str]) -> None:
        super().__init__(loop, name, random.Random(1))
        self.wrong = wrong
        self.listener.shares = BodyMemory(1 << 30)

    def _heard(self, line: Line, payload: Payload) -> None:
        stream = payload.stream
        if stream is None:
            self._answer(line, payload, xxhash.xxh3_64(payload.body).hexdigest() if payload.body else "")
            return
        seen = xxhash.xxh3_64()

        def more() -> None:
            for part in stream.take(1 << 30):
                seen.update(part)
            if stream.is_complete:
                stream.drop()
                self._answer(line, payload, seen.hexdigest())

        stream.begin()
        stream.on_change = more
        more()

    def _answer(self, line: Line, payload: Payload, seen: str) -> None:
        told = {k: v[0] for k, v in parse_qs(payload.target.decode().partition("?")[2], keep_blank_values=True).items()}
        if told["up"] and told["up"] != seen:
            self.wrong["a server got a wrong body"] += 1
        size, form = int(told["size"]), told["form"]
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
                line.drained = line.close
                line.send(b"")

        Writer(
            self.loop,
            line.send,
            lambda call: setattr(line, "drained", call),
            size,
            int(told["seed"]),
            form,
            told["pace"],
            int(told["cut"]),
            end,
        ).go()


class Asker:
    """One client with one plan: what became of it is one word."""

    def __init__(
        self, loop: Loop, at: tuple[str, int], plan: Plan, ident: int, done: Callable[[Asker, str], None]
    ) -> None:
        self.loop, self.plan, self.done, self.began = loop, plan, done, loop.clock()
        self.sock = socket.create_connection(at)
        self.sock.setblocking(False)
        self.out: deque[bytes] = deque()
        self.drained: Callable[[], None] | None = None
        self.seen, self.head, self.size, self.left = xxhash.xxh3_64(), b"", 0, -1
        self.data, self.chunked, self.ended, self.first = b"", False, False, 0.0
        self.taking = plan.take != "never"
        loop.register(self.sock, READ, self._event)
        framing = f"Content-Length: {plan.up}\r\n" if plan.up_form == "length" else "Transfer-Encoding: chunked\r\n"
        self.send(
            (
                f"{'POST' if plan.up else 'GET'} /{'submit-result' if plan.up else 'load-sim'}/{ident:016x}"
                f"?{plan.query()} HTTP/1.1\r\nHost: sims\r\nX-Request-ID: {ident:016x}\r\nX-Tariff: county\r\n"
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
                lambda whole: None if whole else self._end("left"),
            ).go()
        self.timer = loop.call_in(PATIENCE + (plan.up + plan.down) / SLOW, lambda: self._end("lost"))
        if not self.taking:
            loop.call_in(3.0, lambda: self._end("left"))

    def send(self, data: bytes) -> None:
        if self.ended:
            return
        if data:
            self.out.append(data)
        try:
            while self.out:
                sent = self.sock.send(self.out[0])
                if sent < len(self.out[0]):
                    self.out[0] = self.out[0][sent:]
                else:
                    self.out.popleft()
        except BlockingIOError:
            pass
        except OSError:
            self.out.clear()  # the answer tells why
            self.drained = None
        self._want()
        if not self.out and self.drained is not None:
            call, self.drained = self.drained, None
            self.loop.call_soon(lambda: None if self.ended else call())

    def _want(self) -> None:
        if not self.ended:
            self.loop.set_interest(self.sock, (READ if self.taking else 0) | (WRITE if self.out else 0), self._event)

    def _event(self, events: int) -> None:
        if events & WRITE:
            self.send(b"")
        if not events & READ or self.ended:
            return
        try:
            data = self.sock.recv(int(SLOW * TICK) if self.plan.take == "slow" else PIECE * 4)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if self.plan.take == "slow" and data:
            self.taking = False
            self.loop.call_in(TICK, self._take)
        self._fed(data)

    def _take(self) -> None:
        self.taking = True
        self._want()

    def _fed(self, data: bytes) -> None:
        self.data += data
        if not self.head:
            head, end, rest = self.data.partition(b"\r\n\r\n")
            if not end:
                return self._end("lost" if self.plan.up_cut < 0 else "left") if not data else self._want()
            self.head, self.data, self.first = head, rest, self.loop.clock() - self.began
            fields = dict(row.lower().split(b": ", 1) for row in head.split(b"\r\n")[1:])
            self.chunked = b"transfer-encoding" in fields
            self.left = int(fields.get(b"content-length", b"-1"))
            if not self.head.startswith(b"HTTP/1.1 200"):
                status = self.head[9:12].decode()
                return self._end("refused" if status in ("429", "503") else f"failed {status}")
        if self.chunked:
            whole = self._chunks()
        else:
            self.seen.update(self.data)
            self.size, self.data = self.size + len(self.data), b""
            whole = self.size == self.left
        if whole:
            good = self.size == self.plan.down and self.seen.hexdigest() == digest(self.plan.down, self.plan.seed)
            self._end("whole" if good else "wrong")
        elif not data:
            self._end("told as cut off" if self.plan.down_cut >= 0 else "cut off for nothing")
        else:
            self._want()

    def _chunks(self) -> bool:
        while True:
            if self.left > 0:
                part, self.data = self.data[: self.left], self.data[self.left :]
                self.seen.update(part)
                self.size, self.left = self.size + len(part), self.left - len(part)
                if self.left:
                    return False
                self.left = -2  # its line's end comes
            if self.left == -2:
                if len(self.data) < 2:
                    return False
                self.data, self.left = self.data[2:], -1
            row, end, rest = self.data.partition(b"\r\n")
            if not end:
                return False
            self.data, self.left = rest, int(row, 16)
            if not self.left:
                return True

    def _end(self, word: str) -> None:
        if not self.ended:
            self.ended = True
            self.timer.cancel()
            self.loop.set_interest(self.sock, 0, self._event)
            self.sock.close()
            self.done(self, word)


def drawn(rng: random.Random, seed: int) -> Plan:
    """A plan of the mix; a slow one stays small enough to end."""
    size = rng.choices(SIZES, WEIGHTS)[0]
    up = rng.random() < 0.4
    plan = Plan(size if up else 0, 200 if up else size, seed, rng.choice(FORMS[:2]), rng.choice(FORMS))
    odd = rng.random()
    slow = min(size, 400_000)
    if odd < 0.15:
        plan.up, plan.down = (slow, 200) if up else (0, slow)
        plan.up_pace = plan.down_pace = "slow"
    elif odd < 0.3:
        plan.up, plan.down = (slow, 200) if up else (0, slow)
        plan.take = "slow"
    elif odd < 0.4:
        plan.up, plan.down = (min(size, 60_000), 200) if up else (0, min(size, 60_000))
        plan.up_pace = plan.down_pace = "pieces"
    elif odd < 0.5 and size > PIECE:
        plan.up_cut, plan.down_cut = (size // 2, -1) if up else (-1, size // 2)
    elif odd < 0.55 and not up:
        plan.take = "never"
    return plan


@dataclass
class Trial:
    """A daemon, its sim servers and a mix of clients."""

    memory_mb: int
    words: Counter[str] = field(default_factory=Counter)
    wrong: Counter[str] = field(default_factory=Counter)
    ident: int = 0

    def __post_init__(self) -> None:
        self.loop = Loop(wall_clock(), Metrics(), structlog.get_logger())
        self.servers = [Sim(self.loop, f"s-{n}", self.wrong) for n in range(SERVERS)]
        self.discovery = Discovery(self.loop, [*self.servers])

    def turn(self, seconds: float, each: Callable[[], None] = lambda: None) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.loop.run_once(0.01)
            each()

    def ask(self, at: tuple[str, int], plan: Plan, done: Callable[[Asker, str], None]) -> Asker:
        self.ident += 1
        return Asker(self.loop, at, plan, self.ident, done)

    def mix(self, at: tuple[str, int], seconds: float, seed: int, short: Callable[[], None]) -> None:
        """`CLIENTS` plans at a time for so long, and then until all have ended."""
        rng, out = random.Random(seed), set[Asker]()
        end = time.monotonic() + seconds

        def done(one: Asker, word: str) -> None:
            out.discard(one)
            self.words[word] += 1

        def each() -> None:
            while len(out) < CLIENTS and time.monotonic() < end:
                out.add(self.ask(at, drawn(rng, rng.randrange(1 << 20)), done))
            short()

        self.turn(seconds, each)
        last = time.monotonic() + 40.0
        while out and time.monotonic() < last:
            self.loop.run_once(0.01)
        self.words["lost"] += len(out)


class Shorts:
    """Short messages at an even pace; their times from the first byte sent to the last one read."""

    def __init__(self, trial: Trial, at: tuple[str, int], rate: float) -> None:
        self.trial, self.at, self.gap = trial, at, 1 / rate
        self.next, self.times = 0.0, list[float]()

    def __call__(self) -> None:
        now = self.trial.loop.clock()
        if now < self.next:
            return
        self.next = now + self.gap

        def done(one: Asker, word: str) -> None:
            if word == "whole":
                self.times.append(self.trial.loop.clock() - one.began)

        self.trial.ask(self.at, Plan(0, 200, self.trial.ident), done)

    def high(self) -> float:
        """99th percentile, ms."""
        return sorted(self.times)[int(0.99 * (len(self.times) - 1))] * 1000 if self.times else 0.0


def bare(port: int, to: int) -> None:
    """Bytes as they come, each way, with one slice in hand: what a relay costs that looks at nothing."""
    selector = selectors.DefaultSelector()
    listener = socket.create_server(("127.0.0.1", port))
    selector.register(listener, selectors.EVENT_READ)
    buffer = bytearray(PIECE)
    while True:
        for key, events in selector.select():
            if key.data is None:
                pair = [listener.accept()[0], socket.create_connection(("127.0.0.1", to))]
                for one, other in (pair, pair[::-1]):
                    one.setblocking(False)
                    selector.register(one, selectors.EVENT_READ, [other, b""])
                continue
            here: Any = key.fileobj
            there, waiting = key.data
            if events & selectors.EVENT_READ:
                try:
                    count = here.recv_into(buffer)
                except OSError:
                    count = 0
                if not count:
                    for one in (here, there):
                        selector.unregister(one)
                        one.close()
                    break
                data = bytes(memoryview(buffer)[:count])
                try:
                    data = data[there.send(data) :]
                except BlockingIOError:
                    pass
                except OSError:
                    data = b""
                if data:  # nothing more is read from here until the other side has taken this
                    back = selector.get_key(there)
                    selector.modify(there, back.events | selectors.EVENT_WRITE, [back.data[0], data])
                    selector.unregister(here)
            elif events & selectors.EVENT_WRITE:
                data = waiting[here.send(waiting) :]
                if not data:
                    selector.modify(here, selectors.EVENT_READ, [there, b""])
                    selector.register(there, selectors.EVENT_READ, [here, b""])
                else:
                    selector.modify(here, events, [there, data])


def cost(trial: Trial, pids: list[int], ports: list[int], rounds: int) -> list[float]:
    """CPU ms a megabyte of the daemon and of the bare relay, the same bodies in turns."""
    used, moved = [0.0, 0.0], [0, 0]
    for turn in range(2 * rounds + 2):
        which = turn % 2
        before, left = usage(pids[which]), [8]

        def done(one: Asker, word: str, left: list[int] = left) -> None:
            left[0] -= 1
            trial.words["relayed" if word == "whole" else f"relayed {word}"] += 1

        for n in range(left[0]):
            size = 4 << 20
            plan = Plan(size, 200, n) if n % 2 else Plan(0, size, n)
            trial.ask(("127.0.0.1", ports[which]), plan, done)
        while left[0]:
            trial.loop.run_once(0.01)
        time.sleep(0.02)  # the kernel's account of CPU is in ticks
        if turn > 1:
            used[which] += usage(pids[which]) - before
            moved[which] += 32
    return [1000 * used[n] / moved[n] for n in (0, 1)]


def run(seconds: float, memory_mb: int, seed: int, rounds: int = 6) -> dict[str, Any]:
    trial = Trial(memory_mb)
    with tempfile.TemporaryDirectory(prefix="bracken-bodies-") as name:
        ports = find_free_ports(2)
        daemon = Process(
            Path(name),
            "daemon",
            ports[0],
            trial.discovery.listener.text,
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
                str(trial.servers[0].listener.at[1]),
            ],
            cwd=ROOT,
        )
        try:
            trial.turn(3.0)
            at = ("127.0.0.1", ports[0])
            alone, beside = Shorts(trial, at, 50), Shorts(trial, at, 50)
            trial.turn(max(2.0, seconds / 6), alone)
            trial.turn(0.5)
            idle, peak = daemon.read_resident_kb(), [0]

            def watched() -> None:
                beside()
                peak[0] = max(peak[0], daemon.read_resident_kb()) if len(beside.times) % 5 == 0 else peak[0]

            trial.mix(at, seconds, seed, watched)
            mixed = dict(trial.words)
            per_mb = cost(trial, [daemon.process.pid, relay.pid], ports, rounds)
        finally:
            for process in (daemon.process, relay):
                process.terminate()
                process.wait()
        last = [row for row in Path(name, "daemon.log").read_text().splitlines() if "longest_turn_us=" in row][-1:]
    turn_ms = int(last[0].partition("longest_turn_us=")[2].split()[0]) / 1000 if last else -1.0
    return {
        "seconds": seconds,
        "memoryMb": memory_mb,
        "outcomes": mixed,
        "wrong": mixed.get("wrong", 0) + sum(trial.wrong.values()),
        "lost": mixed.get("lost", 0),
        "cutOffForNothing": mixed.get("cut off for nothing", 0),
        "idleMb": round(idle / 1024, 1),
        "peakOverIdleMb": round((peak[0] - idle) / 1024, 1),
        "longestTurnMs": round(turn_ms, 2),
        "cpuMsAMegabyte": [round(ms, 3) for ms in per_mb],
        "ratio": round(per_mb[0] / per_mb[1], 2) if per_mb[1] else 0.0,
        "shortP99Ms": [round(alone.high(), 2), round(beside.high(), 2)],
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--memory-mb", type=int, default=80)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--bare", type=int, default=0, help=argparse.SUPPRESS)
    parser.add_argument("--to", type=int, default=0, help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.bare:
        bare(told.bare, told.to)
    report = run(told.seconds, told.memory_mb, told.seed)
    print(json.dumps(report, indent=1))
    bad = report["wrong"] or report["lost"] or report["cutOffForNothing"]
    return int(bool(bad) or report["peakOverIdleMb"] > MOST_MB)


if __name__ == "__main__":
    raise SystemExit(main())
