"""What a message costs the decision module by the number of sim servers: time, and lines run.

    python -m benchmarks.module_cost                    10, 100, 1,000 servers
    python -m benchmarks.module_cost --profile 1000     where the time goes

The module alone, in virtual time: a request is let in, sent, and answered some 20 ms later. Time is the machine's; the
count of lines run (sys.settrace) is the same on each, and is what the test holds: at most twice as many at 1,000
servers as at 10. Exits 1 where that does not hold."""

from __future__ import annotations

import argparse
import cProfile
import heapq
import json
import pstats
import random
import sys
import time
from typing import Any

from brackenpulley.policy import interface as i
from brackenpulley.policy.brain import DecisionModule
from brackenpulley.settings import decode_settings as decode
from brackenpulley.standins.settings import build_settings

RATE, LATENCY = 500.0, 0.02  # messages a second, s
MOST = 2.0  # times the cost at the fewest servers


class Drive:
    """One gateway, its timers, and servers that answer after a while."""

    def __init__(self, servers: int, seed: int = 1, gateways: int = 3) -> None:
        raw = build_settings(gateways, 0, has_counter=False)
        for plan in raw["TiersOfService"]:
            plan.update(QuotaRate=1e6, Burst=1e6)
        self.rng, self.now, self.serial = random.Random(seed), 1000.0, 0
        self.gateway = DecisionModule(decode(raw), seed, self.now)
        self.queue: list[tuple[float, int, i.Event]] = []
        self.sent = self.refused = 0
        self.put(i.ServerList("full", [i.ServerEntry(f"s{n}", "hall-a", n % 7) for n in range(servers)]))

    def put(self, event: i.Event) -> None:
        for a in self.gateway.handle(self.now, event):
            if isinstance(a, i.Send):
                self.sent += 1
                took = self.rng.expovariate(1 / LATENCY)
                self.at(took, i.Outcome(a.id, a.server, 0, "ok", took, True))
            elif isinstance(a, i.SetTimer):
                self.at(a.delay, i.TimerFired(a.token))
            elif isinstance(a, i.Refuse):
                self.refused += 1

    def at(self, delay: float, event: i.Event) -> None:
        self.serial += 1
        heapq.heappush(self.queue, (self.now + delay, self.serial, event))

    def run(self, messages: int) -> None:
        due = self.now
        for _ in range(messages):
            due += self.rng.expovariate(RATE)
            while self.queue and self.queue[0][0] <= due:
                self.now, _, event = heapq.heappop(self.queue)
                self.put(event)
            self.now = due
            self.serial += 1
            cls = ("load-sim", "save-progress", "submit-result")[self.serial % 3]
            self.put(
                i.MessageReceived(f"m{self.serial}", cls, "county", self.serial % 50, 4.0, 1.0, 2, self.serial % 3)
            )


def lines(servers: int, messages: int, seed: int = 1) -> float:
    """Lines of the module run for a message, after some time to settle: the same count on every machine."""
    drive = Drive(servers, seed)
    drive.run(messages)
    count = 0

    def line(frame: Any, event: str, what: Any) -> Any:
        nonlocal count
        count += event == "line"
        return line

    def call(frame: Any, event: str, what: Any) -> Any:
        return line(frame, "line", what) if "/policy/" in frame.f_code.co_filename else None

    before = sys.gettrace()
    sys.settrace(call)
    try:
        drive.run(messages)
    finally:
        sys.settrace(before)
    return count / messages


def micros(servers: int, messages: int, seed: int = 1) -> float:
    """Microseconds of this machine a message."""
    drive = Drive(servers, seed)
    drive.run(messages)
    began = time.process_time()
    drive.run(messages)
    return (time.process_time() - began) / messages * 1e6


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--servers", type=int, nargs="+", default=[10, 100, 1000])
    parser.add_argument("--messages", type=int, default=3000)
    parser.add_argument("--profile", type=int, default=0, help="of so many servers")
    told = parser.parse_args()
    if told.profile:
        drive = Drive(told.profile)
        drive.run(told.messages)
        profile = cProfile.Profile()
        profile.runcall(drive.run, told.messages)
        pstats.Stats(profile).sort_stats("tottime").print_stats(18)
        return 0
    rows = [
        {"servers": n, "us": round(micros(n, told.messages), 1), "lines": round(lines(n, told.messages // 3), 1)}
        for n in told.servers
    ]
    for row in rows:
        row["toFewest"] = round(row["lines"] / rows[0]["lines"], 2)
    print(json.dumps(rows, indent=1))
    return int(rows[-1]["toFewest"] > MOST)


if __name__ == "__main__":
    raise SystemExit(main())
