"""Sim servers, the discovery service and the shared quota counter, as PROTOCOL specifies them.

The demo, the benchmarks and the tests place them around real ingresses and check their records afterwards."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from dataclasses import dataclass

from ..core.message import parse_weight
from ..net.http import Payload
from ..net.loop import Loop
from .wire import Connection, Listener, find_header

HEARTBEAT_SECONDS = 2.0  # between the empty lines that discovery sends to its watchers


@dataclass(slots=True)
class ReceivedRelay:
    """One relay that a sim server received whole, with its estimated and its true cost in units."""

    at: float
    id: str  # of the message
    firm: int
    estimate: float
    cost: float
    plan: str  # under which the ingress admitted it
    revision: int  # of the plan book at admission
    outcome: str  # what the server did: ok, error, full, reset or silent, whether or not the ingress saw it


class SimServer:
    """Back end that serves any number of relays at once, each for an exponential time with mean `mean_service_s`.

    `script` picks the outcome of each relay: ok, error, full, reset, or silent for no answer."""

    def __init__(
        self, loop: Loop, name: str, rng: random.Random, mean_service_s: float = 0.02, max_units: int = 8
    ) -> None:
        self.loop, self.name, self.rng, self.mean_service_s, self.max_units = loop, name, rng, mean_service_s, max_units
        self.listener = Listener(loop, self._handle_request)
        self.received_relays: list[ReceivedRelay] = []
        self.state = "SERVING"  # lifecycle state in discovery
        self.weight = 1.0  # capacity relative to the other servers
        self.started_at = 0.0  # Unix time, 0 for a server that started long ago
        self.current_message_id = ""  # message that `script` is deciding on
        self.script: Callable[[random.Random], str] = lambda rng: "ok"

    def _handle_request(self, connection: Connection, payload: Payload) -> None:
        message_id = find_header(payload, b"x-request-id").decode()
        firm = int(payload.target.partition(b"?")[0].rsplit(b"/", 1)[-1], 16)
        estimate = parse_weight(find_header(payload, b"x-weight").decode())[0]
        cost = float(max(1, min(self.max_units, estimate + self.rng.choice((-1, 0, 0, 0, 1)))))
        self.current_message_id = message_id
        outcome = self.script(self.rng)
        plan, _, revision = (
            find_header(payload, b"x-plan", find_header(payload, b"x-tariff")).decode().partition("; revision=")
        )
        self.received_relays.append(
            ReceivedRelay(self.loop.clock(), message_id, firm, estimate, cost, plan, int(revision or 0), outcome)
        )
        if outcome == "full":
            connection.answer(503, headers="X-Not-Processed: 1\r\n")
        elif outcome == "reset":
            connection.reset()
        elif outcome != "silent":
            self.loop.call_in(
                self.rng.expovariate(1 / self.mean_service_s),
                lambda: self._complete(connection, message_id, cost, outcome),
            )

    def _complete(self, connection: Connection, message_id: str, cost: float, outcome: str) -> None:
        if outcome == "error":
            connection.answer(500)
        else:
            connection.answer(
                200, message_id.encode(), f"X-True-Cost: {cost:g}\r\nX-Server-Load: TEXT latency_ms=20\r\n"
            )


class Discovery:
    """Discovery service: answers with the whole list of servers and streams changes to watchers."""

    def __init__(self, loop: Loop, servers: list[SimServer]) -> None:
        self.loop, self.servers, self.generation = loop, servers, 1
        self.watchers: list[Connection] = []
        self.listener = Listener(loop, self._handle_request)
        loop.call_in(HEARTBEAT_SECONDS, self._send_heartbeat)

    def _list_instances(self, servers: list[SimServer]) -> list[dict[str, object]]:
        return [
            {
                "instanceId": server.name,
                "hostPort": server.listener.address_text,
                "zone": "hall-a",
                "cell": 0,
                "weight": server.weight,
                "lifecycle": server.state,
                "startedAtMs": int(server.started_at * 1000),
            }
            for server in servers
        ]

    def _handle_request(self, connection: Connection, payload: Payload) -> None:
        snapshot = {"generation": self.generation, "reset": True, "instances": self._list_instances(self.servers)}
        if b"watch=1" not in payload.target:
            connection.answer(200, json.dumps(snapshot).encode())
            return
        self.watchers.append(connection)
        connection.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._send_update(connection, snapshot)

    def _send_update(self, connection: Connection, update: object) -> None:
        data = (json.dumps(update) if update else "").encode() + b"\n"
        connection.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def set_state(self, server: SimServer, state: str) -> None:
        """Set a server's lifecycle state and send the change to all watchers as a new generation."""
        self.generation += 1
        server.state = state
        for connection in self.watchers:
            self._send_update(
                connection,
                {"generation": self.generation, "reset": False, "instances": self._list_instances([server])},
            )

    def _send_heartbeat(self) -> None:
        self.watchers = [connection for connection in self.watchers if connection.is_open]
        for connection in self.watchers:
            self._send_update(connection, None)
        if self.listener.sock is not None:
            self.loop.call_in(HEARTBEAT_SECONDS, self._send_heartbeat)


class Counter:
    """Shared quota counter service: adds to named totals that expire.

    `mode` is one of:

    - answers: adds and answers
    - silent: withholds the answers of calls; `adds_while_silent` tells whether the calls are added nevertheless
    - busy: answers that it is busy and adds nothing"""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.mode, self.adds_while_silent = loop, "answers", True
        self.totals: dict[bytes, tuple[float, float]] = {}  # name: (total, when it expires)
        self.calls = 0
        self.withheld_answers: list[tuple[Connection, bytes]] = []
        self.listener = Listener(loop)
        self.listener.feed = self._handle_data  # type: ignore[method-assign]

    def _handle_data(self, connection: Connection, data: bytes) -> None:
        connection.received += data
        while (command := self._parse_command(connection.received)) is not None:
            arguments, connection.received = command
            self.calls += 1
            if self.mode == "busy":
                connection.send(b"-BUSY later\r\n")
            elif self.mode == "silent":
                answer = self._add(arguments) if self.adds_while_silent else b"-BUSY later\r\n"
                self.withheld_answers.append((connection, answer))
            else:
                connection.send(self._add(arguments))

    def _parse_command(self, data: bytes) -> tuple[list[bytes], bytes] | None:
        arguments: list[bytes] = []
        head, end, rest = data.partition(b"\r\n")
        if not end:
            return None
        for _ in range(int(head[1:])):
            size, end, rest = rest.partition(b"\r\n")
            if not end or len(rest) < int(size[1:]) + 2:
                return None
            arguments.append(rest[: int(size[1:])])
            rest = rest[int(size[1:]) + 2 :]
        return arguments, rest

    def _add(self, arguments: list[bytes]) -> bytes:
        name, now = arguments[1], self.loop.clock()
        total, expires_at = self.totals.get(name, (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + min(60_000, int(arguments[3])) / 1000
        total += float(arguments[2])
        self.totals[name] = (total, expires_at)
        text = f"{total:.6f}".encode()
        return b"$%d\r\n%s\r\n" % (len(text), text)

    def set_mode(self, mode: str) -> None:
        """Switch the mode. `empty` drops all totals and then answers; withheld answers are sent on `answers`."""
        self.mode = mode
        if mode == "empty":
            self.totals.clear()
            self.mode = "answers"
        if self.mode == "answers":
            withheld, self.withheld_answers = self.withheld_answers, []
            for connection, answer in withheld:
                connection.send(answer)
