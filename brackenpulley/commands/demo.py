"""One daemon among stand-ins in one process: what it served, counted and exported, and whether that agrees."""

from __future__ import annotations

import contextlib
import json
import random
import socket
import sys
import tempfile
import time
from collections.abc import Callable
from typing import Any

import msgspec
import structlog

from ..config import decode
from ..metrics import Metrics
from ..net.loop import Loop
from ..operator import decode as decode_operator
from ..plans.book import Change, firm_text
from ..serve import Daemon, wall_clock
from ..standins import audit
from ..standins.billing import Billing
from ..standins.clients import Firm, Load
from ..standins.servers import Counter, Discovery, SimServer
from ..standins.settings import PLANS, build_settings
from .common import show

FIRMS, SERVERS, PERIOD = 6, 3, 1.0


class Quiet:
    """The summary is what people look at: only faults are printed."""

    def info(self, event: str, **more: Any) -> None:
        pass

    def error(self, event: str, **more: Any) -> None:
        structlog.get_logger().error(event, **more)

    def exception(self, event: str, **more: Any) -> None:
        structlog.get_logger().exception(event, **more)


def _post(path: str, target: str, body: bytes, turn_until: Callable[[Any, float], bool]) -> int:
    """The status of a call to the daemon's control API, which answers in this same thread."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(path)
        sock.setblocking(False)
        sock.sendall(f"POST {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        answer = bytearray()

        def there() -> bool:
            with contextlib.suppress(BlockingIOError):
                answer.extend(sock.recv(4096))
            return b"\r\n\r\n" in answer

        return int(answer.split(b" ")[1]) if turn_until(there, 5) else 0


def run(seconds: float, seed: int, as_json: bool) -> int:
    """0 where served, counted and exported use agree."""
    rng, clock = random.Random(seed), wall_clock()
    log = Quiet()
    outside = Loop(clock, Metrics(), log)  # what stands around the daemon has a loop of its own, turned beside it
    servers = [SimServer(outside, f"s-{n}", random.Random(seed + n)) for n in range(SERVERS)]
    discovery, counter, billing = Discovery(outside, servers), Counter(outside), Billing(outside)
    with tempfile.TemporaryDirectory(prefix="bracken-demo-") as folder:
        operator = decode_operator(
            {
                "control": {"listen": f"unix:{folder}/control.sock"},
                "plans": {"snapshot": f"{folder}/plans"},
                "reservations": {},
                "ledger": {
                    "path": f"{folder}/ledger",
                    "period_s": PERIOD,
                    "grace_s": 0.5,
                    "export": {"url": f"http://{billing.listener.address_text}/use"},
                },
            }
        )
        config = decode(
            {
                "name": "demo",
                "listen": "127.0.0.1:0",
                "discovery": discovery.listener.address_text,
                "counter": counter.listener.address_text,
                "settings": build_settings(),
            },
            {},
            operator,
        )
        daemon = Daemon(config, log, clock)
        daemon.start(signals=False)
        assert daemon.north.listener is not None
        host, port = daemon.north.listener.getsockname()[:2]
        firms = [Firm(0xB4D60000 + n, "school", 8.0 if n == 0 else 1.5, 1, 0) for n in range(FIRMS)]
        load = Load(outside, [(host, port)], firms, rng)

        def turn_until(done: Any, longest: float) -> bool:
            end = time.monotonic() + longest
            while not done():
                if time.monotonic() > end:
                    return False
                outside.run_once(0.002)
                daemon.loop.run_once(0.002)
            return True

        faults = [] if turn_until(daemon.is_ready, 10) else ["the daemon was not ready in time"]
        begin = clock()
        moved = firm_text(firms[0].key)
        load.start()
        turn_until(lambda: clock() >= begin + seconds / 2, seconds + 5)
        change = Change(1, "move", at=clock(), since=clock(), plan="county", firm=moved)
        if (status := _post(f"{folder}/control.sock", "/v1/changes", msgspec.json.encode(change), turn_until)) != 201:
            faults.append(f"the control API answered {status} to the change of plan")
        middle = len(load.messages)
        turn_until(lambda: clock() >= begin + seconds, seconds + 5)
        load.stop()
        end = clock()
        if not turn_until(lambda: load.in_flight == 0, 10):
            faults.append("messages without an answer")
        if not turn_until(lambda: daemon.ledger.status()["openSums"] + daemon.ledger.status()["backlog"] == 0, 15):
            faults.append("use that was not exported")
        counted = daemon.ledger.store.totals()
        faults += [fault for fault, _ in daemon.ledger.store.verify() if fault]
        ran = [row for server in servers for row in server.received_relays]
        verdict = audit.reconcile(ran, {}, counted, billing.sum_micro_units())
        faults += verdict.faults + audit.find_wrong_answer_counts(load.messages, set())
        over = audit.compute_excess(ran, daemon.plans.book, {firm.key: firm.plan for firm in firms}, begin, end)
        load.close()
        daemon.close()
        for listener in (discovery.listener, counter.listener, billing.listener, *(s.listener for s in servers)):
            listener.stop()
        outside.close()
    if not ran:
        faults.append("nothing was served")

    def part(tries: list[Any]) -> str:
        mine = [one for one in tries if one.firm == firms[0].key]
        return f"{sum(one.status == 200 for one in mine)} of {len(mine)}"

    summary = {
        "seconds": round(end - begin, 1),
        "tries": len(load.messages),
        "served": sum(one.status == 200 for one in load.messages),
        "refused": sum(one.status in (429, 503) for one in load.messages),
        "firmMoved": moved,
        "servedOnSchool": part(load.messages[:middle]),
        "servedOnCounty": part(load.messages[middle:]),
        "ranUnits": verdict.ran / audit.MICRO_UNITS_PER_UNIT,
        "countedUnits": verdict.counted / audit.MICRO_UNITS_PER_UNIT,
        "exportedUnits": verdict.billed / audit.MICRO_UNITS_PER_UNIT,
        "exportedEvents": len(billing.events),
        "unitsOverAllowance": round(sum(one.over for one in over), 2),
        "agree": not faults,
        "faults": faults,
    }
    show(
        summary,
        as_json,
        ["", ""],
        [[name, value] for name, value in summary.items() if name != "faults"],
        f"{SERVERS} sim servers, {FIRMS} firms; {json.dumps(PLANS)}",
    )
    for fault in faults:
        print(f"brackenpulley: {fault}", file=sys.stderr)
    return 1 if faults else 0
