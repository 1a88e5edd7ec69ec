"""Sim servers, discovery and the counter, as PROTOCOL describes them."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass

from ..core.message import parse_weight
from ..net.http import Payload
from ..net.loop import Loop
from .wire import Line, Listener, header

HEARTBEAT = 2.0  # s between discovery's empty lines


@dataclass(slots=True)
class Ran:
    """One attempt that a sim server had whole."""

    at: float
    id: str
    firm: int
    guess: float
    cost: float
    plan: str  # as the ingress let it in, with the book's revision
    revision: int
    said: str  # ok, error, full, reset: what it answered, whatever became of that


class SimServer:
    """Works `mean` s (exponential) on each attempt, any number at a time. `script` picks what happens to an attempt."""

    def __init__(self, loop: Loop, name: str, rng: random.Random, mean: float = 0.02, most_units: int = 8) -> None:
        self.loop, self.name, self.rng, self.mean, self.most_units = loop, name, rng, mean, most_units
        self.listener = Listener(loop, self._heard)
        self.ran: list[Ran] = []
        self.state = "SERVING"
        self.weight = 1.0  # its size against the others
        self.born = 0.0  # Unix time; 0 = long ago
        self.hearing = ""  # the id of the attempt that `script` is asked about
        self.script: Callable[[random.Random], str] = lambda rng: "ok"

    def _heard(self, line: Line, payload: Payload) -> None:
        ident = header(payload, b"x-request-id").decode()
        firm = int(payload.target.partition(b"?")[0].rsplit(b"/", 1)[-1], 16)
        guess = parse_weight(header(payload, b"x-weight").decode())[0]
        cost = float(max(1, min(self.most_units, guess + self.rng.choice((-1, 0, 0, 0, 1)))))
        self.hearing = ident
        said = self.script(self.rng)
        plan, _, revision = header(payload, b"x-plan", header(payload, b"x-tariff")).decode().partition("; revision=")
        self.ran.append(Ran(self.loop.clock(), ident, firm, guess, cost, plan, int(revision or 0), said))
        if said == "full":
            line.answer(503, headers="X-Not-Processed: 1\r\n")
        elif said == "reset":
            line.reset()
        elif said != "silent":
            self.loop.call_in(self.rng.expovariate(1 / self.mean), lambda: self._done(line, ident, cost, said))

    def _done(self, line: Line, ident: str, cost: float, said: str) -> None:
        if said == "error":
            line.answer(500)
        else:
            line.answer(200, ident.encode(), f"X-True-Cost: {cost:g}\r\nX-Server-Load: TEXT latency_ms=20\r\n")


class Discovery:
    """Tells the list whole, and changes to those who watch."""

    def __init__(self, loop: Loop, servers: list[SimServer]) -> None:
        self.loop, self.servers, self.generation = loop, servers, 1
        self.watchers: list[Line] = []
        self.listener = Listener(loop, self._heard)
        loop.call_in(HEARTBEAT, self._beat)

    def _rows(self, servers: list[SimServer]) -> list[dict[str, object]]:
        return [
            {
                "instanceId": s.name,
                "hostPort": s.listener.text,
                "zone": "hall-a",
                "cell": 0,
                "weight": s.weight,
                "lifecycle": s.state,
                "startedAtMs": int(s.born * 1000),
            }
            for s in servers
        ]

    def _heard(self, line: Line, payload: Payload) -> None:
        whole = {"generation": self.generation, "reset": True, "instances": self._rows(self.servers)}
        if b"watch=1" not in payload.target:
            line.answer(200, json.dumps(whole).encode())
            return
        self.watchers.append(line)
        line.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._tell(line, whole)

    def _tell(self, line: Line, told: object) -> None:
        data = (json.dumps(told) if told else "").encode() + b"\n"
        line.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def change(self, server: SimServer, state: str) -> None:
        self.generation += 1
        server.state = state
        for line in self.watchers:
            self._tell(line, {"generation": self.generation, "reset": False, "instances": self._rows([server])})

    def _beat(self) -> None:
        self.watchers = [line for line in self.watchers if line.open]
        for line in self.watchers:
            self._tell(line, None)
        if self.listener.sock is not None:
            self.loop.call_in(HEARTBEAT, self._beat)


class Counter:
    """Adds. `mode`: answers, silent (calls wait; `late` says whether they are added all the same), busy, empty."""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.mode, self.late = loop, "answers", True
        self.numbers: dict[bytes, tuple[float, float]] = {}  # name: (total, when it ends)
        self.calls = 0
        self.held: list[tuple[Line, bytes]] = []
        self.listener = Listener(loop)
        self.listener.feed = self._feed  # type: ignore[method-assign]

    def _feed(self, line: Line, data: bytes) -> None:
        line.data += data
        while (found := self._parse(line.data)) is not None:
            parts, line.data = found
            self.calls += 1
            if self.mode == "busy":
                line.send(b"-BUSY later\r\n")
            elif self.mode == "silent":
                answer = self._add(parts) if self.late else b"-BUSY later\r\n"
                self.held.append((line, answer))
            else:
                line.send(self._add(parts))

    def _parse(self, data: bytes) -> tuple[list[bytes], bytes] | None:
        parts: list[bytes] = []
        head, end, rest = data.partition(b"\r\n")
        if not end:
            return None
        for _ in range(int(head[1:])):
            size, end, rest = rest.partition(b"\r\n")
            if not end or len(rest) < int(size[1:]) + 2:
                return None
            parts.append(rest[: int(size[1:])])
            rest = rest[int(size[1:]) + 2 :]
        return parts, rest

    def _add(self, parts: list[bytes]) -> bytes:
        name, now = parts[1], self.loop.clock()
        total, end = self.numbers.get(name, (0.0, 0.0))
        if now >= end:
            total, end = 0.0, now + min(60_000, int(parts[3])) / 1000
        total += float(parts[2])
        self.numbers[name] = (total, end)
        text = f"{total:.6f}".encode()
        return b"$%d\r\n%s\r\n" % (len(text), text)

    def speak(self, mode: str) -> None:
        """From now on; what was held back is answered where it speaks again."""
        self.mode = mode
        if mode == "empty":
            self.numbers.clear()
            self.mode = "answers"
        if self.mode == "answers":
            held, self.held = self.held, []
            for line, answer in held:
                line.send(answer)
