"""Measures discovery's list in an ingress, and the cost of a message by the number of servers."""

from __future__ import annotations

import heapq
import json
import random
from typing import Any

from benchmarks.module_cost import micros
from brackenpulley.net.inventory import MAX_LIST_BYTES, Inventory
from brackenpulley.net.objects import JsonObjectSplitter
from brackenpulley.policy import interface
from brackenpulley.policy.brain import DecisionModule
from brackenpulley.settings import decode_settings as decode
from brackenpulley.standins.settings import build_settings

from ..measure import REPEATS, Slope, make_slope, measure_cpu, measure_memory

SIZES = (60, 1000, 3000, 6000, 12000)
MESSAGE_SIZES = (10, 100, 1000, 4000, 12000)
PART_BYTES = 65536  # read at a time


def make_entries(servers: int, seed: int = 1) -> list[dict[str, Any]]:
    """Returns entries of the list in the wire format, in three regions of four zones."""
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


def encode_list(rows: list[dict[str, Any]]) -> bytes:
    """Returns a whole list as discovery sends it."""
    return json.dumps({"generation": 7, "reset": True, "instances": rows}, separators=(",", ":")).encode()


class ModuleWithInventory:
    """An inventory in front of a decision module, fed with bytes as `Discovery` feeds it."""

    def __init__(self) -> None:
        self.now, self.serial = 1000.0, 0
        self.timers: list[tuple[float, int, int]] = []
        self.decision_module = DecisionModule(decode(build_settings(40, 0)), 1, self.now)
        self.inventory = Inventory(self.handle_event)
        self.objects = JsonObjectSplitter(MAX_LIST_BYTES)

    def handle_event(self, event: interface.Event) -> None:
        """Passes an event to the decision module and schedules its timers."""
        for action in self.decision_module.handle(self.now, event):
            if isinstance(action, interface.SetTimer):
                self.serial += 1
                heapq.heappush(self.timers, (self.now + action.delay, self.serial, action.token))

    def feed_last_part(self, data: bytes) -> None:
        """Feeds the part that completes the list and applies it, which is the last turn of the loop."""
        for encoded in self.objects.feed(data):
            self.inventory.apply_object(json.loads(encoded))

    def feed_leading_parts(self, data: bytes) -> bytes:
        """Feeds all parts but the last one and returns that one."""
        for start in range(0, len(data) - PART_BYTES, PART_BYTES):
            assert not list(self.objects.feed(data[start : start + PART_BYTES]))
        return data[max(0, (len(data) - 1) // PART_BYTES * PART_BYTES) :]

    def run_timers(self, seconds: float) -> None:
        """Runs the decision module's own timers for so many s, without messages."""
        until = self.now + seconds
        while self.timers and self.timers[0][0] <= until:
            self.now, _, token = heapq.heappop(self.timers)
            self.handle_event(interface.TimerFired(token))


def measure_size(servers: int, seed: int) -> tuple[dict[str, float], ModuleWithInventory]:
    """Measures a list of so many servers; also returns the module that holds it."""
    rows = make_entries(servers, seed)
    data = encode_list(rows)
    retained, peak, made = measure_memory(lambda: feed_list(ModuleWithInventory(), data))
    fresh = ModuleWithInventory()
    parts = (
        measure_cpu(lambda: None) if len(data) <= PART_BYTES else measure_cpu(lambda: fresh.feed_leading_parts(data))
    )
    last = data[max(0, (len(data) - 1) // PART_BYTES * PART_BYTES) :]
    hold = measure_cpu(lambda: fresh.feed_last_part(last))
    changed = [
        encode_list([{**rows[n % len(rows)], "lifecycle": "DRAINING"}]).replace(b'"reset":true', b'"reset":false')
        for n in range(8)
    ]
    turn = iter(changed)
    change = measure_cpu(lambda: fresh.feed_last_part(next(turn)), len(changed))
    idle_cpu = measure_cpu(lambda: fresh.run_timers(5.0)) / 5.0
    return {
        "bytes": len(data),
        "cpu": parts + hold,
        "hold": hold * 1000,
        "memory": retained / 1e6,
        "highest": peak / 1e6,
        "change": change * 1000,
        "rest": idle_cpu * 100,
        "changeBytes": len(changed[0]),
    }, fresh


def feed_list(module: ModuleWithInventory, data: bytes) -> ModuleWithInventory:
    """Feeds a whole list to the module and returns the module."""
    module.feed_last_part(module.feed_leading_parts(data))
    return module


def measure_slopes(seed: int, sizes: tuple[int, ...] = SIZES) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    measurements = {n: [measure_size(n, seed + k)[0] for k in range(REPEATS)] for n in sizes}

    def collect_points(name: str) -> list[tuple[float, list[float]]]:
        return [(n, [repeat[name] for repeat in repeats]) for n, repeats in measurements.items()]

    return [
        make_slope(
            "list.bytes", "a whole list as discovery tells it", "servers", "bytes", collect_points("bytes"), seed=seed
        ),
        make_slope(
            "list.change_bytes",
            "one change of one server",
            "servers",
            "bytes",
            collect_points("changeBytes"),
            seed=seed,
        ),
        make_slope(
            "list.cpu", "processor time to take a whole list", "servers", "s", collect_points("cpu"), "least", seed=seed
        ),
        make_slope(
            "list.hold",
            "the turn in which a whole list ends",
            "servers",
            "ms",
            collect_points("hold"),
            "least",
            seed=seed,
        ),
        make_slope(
            "list.change", "processor time of one change", "servers", "ms", collect_points("change"), "least", seed=seed
        ),
        make_slope(
            "list.rest",
            "the module's timers, no messages",
            "servers",
            "% of a core",
            collect_points("rest"),
            "least",
            seed=seed,
        ),
        make_slope(
            "list.memory",
            "a list that is held, with the module's records",
            "servers",
            "MB",
            collect_points("memory"),
            seed=seed,
        ),
        make_slope(
            "list.highest",
            "the same at its highest point, while it is taken",
            "servers",
            "MB",
            collect_points("highest"),
            seed=seed,
        ),
    ]


def measure_message(seed: int, sizes: tuple[int, ...] = MESSAGE_SIZES, messages: int = 1500) -> list[Slope]:
    """Measures a message in the decision module by the number of servers."""
    return [
        make_slope(
            "module.message",
            "a message in the decision module, 500 a second",
            "servers",
            "us",
            [(n, [micros(n, messages, seed + k) for k in range(REPEATS)]) for n in sizes],
            "least",
            seed=seed,
        )
    ]
