"""Discovery's list in an ingress: bytes, processor time, longest hold, memory; and what a message costs beside it."""

from __future__ import annotations

import heapq
import json
import random
from typing import Any

from benchmarks.module_cost import micros
from brackenpulley.net.inventory import MAX_LIST_BYTES, Inventory
from brackenpulley.net.objects import JsonObjectSplitter
from brackenpulley.policy import interface as i
from brackenpulley.policy.brain import DecisionModule
from brackenpulley.settings import decode_settings as decode
from brackenpulley.standins.settings import build_settings

from ..measure import REPEATS, Slope, cpu, memory, slope

SIZES = (60, 1000, 3000, 6000, 12000)
MESSAGES = (10, 100, 1000, 4000, 12000)
PART = 65536  # bytes read at a time


def entries(servers: int, seed: int = 1) -> list[dict[str, Any]]:
    """In the form of the protocol page; three regions of four zones."""
    rng = random.Random(seed)
    return [
        {
            "instanceId": f"s-{rng.getrandbits(32):08x}",
            "hostPort": f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:8000",
            "zone": f"r{n % 3}-z{n % 12}",
            "machineType": f"m{n % 4}",
            "cell": n // 12 % 100,
            "lifecycle": "SERVING",
            "weight": 1.0,
            "startedAtMs": 1764651600000 + n,
        }
        for n in range(servers)
    ]


def whole(rows: list[dict[str, Any]]) -> bytes:
    return json.dumps({"generation": 7, "reset": True, "instances": rows}, separators=(",", ":")).encode()


class Listed:
    """An inventory before a decision module, fed with bytes as `Discovery` feeds it."""

    def __init__(self) -> None:
        self.now, self.serial = 1000.0, 0
        self.timers: list[tuple[float, int, int]] = []
        self.gateway = DecisionModule(decode(build_settings(40, 0)), 1, self.now)
        self.inventory = Inventory(self.tell)
        self.objects = JsonObjectSplitter(MAX_LIST_BYTES)

    def tell(self, event: i.Event) -> None:
        for action in self.gateway.handle(self.now, event):
            if isinstance(action, i.SetTimer):
                self.serial += 1
                heapq.heappush(self.timers, (self.now + action.delay, self.serial, action.token))

    def told(self, data: bytes) -> None:
        """The last turn: the part that ends the list, and the list taken."""
        for found in self.objects.feed(data):
            self.inventory.apply_object(json.loads(found))

    def takes(self, data: bytes) -> bytes:
        """All parts but the last one, which is returned."""
        for at in range(0, len(data) - PART, PART):
            assert not list(self.objects.feed(data[at : at + PART]))
        return data[max(0, (len(data) - 1) // PART * PART) :]

    def rest(self, seconds: float) -> None:
        """The module's own timers and no messages."""
        until = self.now + seconds
        while self.timers and self.timers[0][0] <= until:
            self.now, _, token = heapq.heappop(self.timers)
            self.tell(i.TimerFired(token))


def of(servers: int, seed: int) -> tuple[dict[str, float], Listed]:
    rows = entries(servers, seed)
    data = whole(rows)
    kept, highest, made = memory(lambda: taken(Listed(), data))
    fresh = Listed()
    parts = cpu(lambda: None) if len(data) <= PART else cpu(lambda: fresh.takes(data))
    last = data[max(0, (len(data) - 1) // PART * PART) :]
    hold = cpu(lambda: fresh.told(last))
    changed = [
        whole([{**rows[n % len(rows)], "lifecycle": "DRAINING"}]).replace(b'"reset":true', b'"reset":false')
        for n in range(8)
    ]
    turn = iter(changed)
    change = cpu(lambda: fresh.told(next(turn)), len(changed))
    rest = cpu(lambda: fresh.rest(5.0)) / 5.0
    return {
        "bytes": len(data),
        "cpu": parts + hold,
        "hold": hold * 1000,
        "memory": kept / 1e6,
        "highest": highest / 1e6,
        "change": change * 1000,
        "rest": rest * 100,
        "changeBytes": len(changed[0]),
    }, fresh


def taken(made: Listed, data: bytes) -> Listed:
    made.told(made.takes(data))
    return made


def measured(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    found = {n: [of(n, seed + k)[0] for k in range(REPEATS)] for n in sizes}

    def rows(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [one[name] for one in ran]) for n, ran in found.items()]

    return [
        slope("list.bytes", "a whole list as discovery tells it", "servers", "bytes", rows("bytes"), seed=seed),
        slope("list.change_bytes", "one change of one server", "servers", "bytes", rows("changeBytes"), seed=seed),
        slope("list.cpu", "processor time to take a whole list", "servers", "s", rows("cpu"), "least", seed=seed),
        slope("list.hold", "the turn in which a whole list ends", "servers", "ms", rows("hold"), "least", seed=seed),
        slope("list.change", "processor time of one change", "servers", "ms", rows("change"), "least", seed=seed),
        slope(
            "list.rest", "the module's timers, no messages", "servers", "% of a core", rows("rest"), "least", seed=seed
        ),
        slope(
            "list.memory", "a list that is held, with the module's records", "servers", "MB", rows("memory"), seed=seed
        ),
        slope(
            "list.highest",
            "the same at its highest point, while it is taken",
            "servers",
            "MB",
            rows("highest"),
            seed=seed,
        ),
    ]


def message(seed: int, sizes: tuple[int, ...] = MESSAGES, messages: int = 1500) -> list[Slope]:
    return [
        slope(
            "module.message",
            "a message in the decision module, 500 a second",
            "servers",
            "us",
            [(n, [micros(n, messages, seed + k) for k in range(REPEATS)]) for n in sizes],
            "least",
            seed=seed,
        )
    ]
