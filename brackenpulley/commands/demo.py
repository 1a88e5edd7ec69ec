"""The `demo` command: one daemon between simulated clients, servers and billing in one process.

Reports what was served, counted and exported, and whether the three agree."""

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
from ..plans.book import Change, format_firm
from ..serve import Daemon, wall_clock
from ..standins import audit
from ..standins.billing import Billing
from ..standins.clients import Firm, Load
from ..standins.servers import Counter, Discovery, SimServer
from ..standins.settings import PLANS, build_settings
from .common import print_result

FIRM_COUNT = 6
SERVER_COUNT = 3
LEDGER_PERIOD_SECONDS = 1.0


class ErrorsOnlyLogger:
    """Logger that prints errors only, so that the summary stays readable."""

    def info(self, event: str, **fields: Any) -> None:
        """Drops the event."""
        pass

    def error(self, event: str, **fields: Any) -> None:
        """Logs the event as an error."""
        structlog.get_logger().error(event, **fields)

    def exception(self, event: str, **fields: Any) -> None:
        """Logs the event with the current traceback."""
        structlog.get_logger().exception(event, **fields)


def _post(path: str, target: str, body: bytes, run_until: Callable[[Any, float], bool]) -> int:
    """Posts to the control API and returns the status, or 0 after 5 s.

    The daemon runs in the same thread, so its loop has to be run while the response is awaited."""
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(path)
        sock.setblocking(False)
        sock.sendall(f"POST {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        response = bytearray()

        def has_response() -> bool:
            with contextlib.suppress(BlockingIOError):
                response.extend(sock.recv(4096))
            return b"\r\n\r\n" in response

        return int(response.split(b" ")[1]) if run_until(has_response, 5) else 0


def run(seconds: float, seed: int, as_json: bool) -> int:
    """Runs the demo, prints the summary and returns 0 if served, counted and exported use agree, else 1."""
    rng, clock = random.Random(seed), wall_clock()
    log = ErrorsOnlyLogger()
    outer_loop = Loop(clock, Metrics(), log)  # for the simulated peers; run alternately with the daemon's loop
    servers = [SimServer(outer_loop, f"s-{n}", random.Random(seed + n)) for n in range(SERVER_COUNT)]
    discovery, counter, billing = Discovery(outer_loop, servers), Counter(outer_loop), Billing(outer_loop)
    with tempfile.TemporaryDirectory(prefix="bracken-demo-") as folder:
        operator = decode_operator(
            {
                "control": {"listen": f"unix:{folder}/control.sock"},
                "plans": {"snapshot": f"{folder}/plans"},
                "reservations": {},
                "ledger": {
                    "path": f"{folder}/ledger",
                    "period_s": LEDGER_PERIOD_SECONDS,
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
        firms = [Firm(0xB4D60000 + n, "school", 8.0 if n == 0 else 1.5, 1, 0) for n in range(FIRM_COUNT)]
        load = Load(outer_loop, [(host, port)], firms, rng)

        def run_until(is_done: Any, timeout: float) -> bool:
            deadline = time.monotonic() + timeout
            while not is_done():
                if time.monotonic() > deadline:
                    return False
                outer_loop.run_once(0.002)
                daemon.loop.run_once(0.002)
            return True

        faults = [] if run_until(daemon.is_ready, 10) else ["the daemon was not ready in time"]
        begin = clock()
        moved_firm = format_firm(firms[0].key)
        load.start()
        run_until(lambda: clock() >= begin + seconds / 2, seconds + 5)
        plan_change = Change(1, "move", at=clock(), since=clock(), plan="county", firm=moved_firm)
        if (
            status := _post(f"{folder}/control.sock", "/v1/changes", msgspec.json.encode(plan_change), run_until)
        ) != 201:
            faults.append(f"the control API answered {status} to the change of plan")
        tries_before_move = len(load.messages)
        run_until(lambda: clock() >= begin + seconds, seconds + 5)
        load.stop()
        end = clock()
        if not run_until(lambda: load.in_flight == 0, 10):
            faults.append("messages without an answer")
        if not run_until(lambda: daemon.ledger.status()["openSums"] + daemon.ledger.status()["backlog"] == 0, 15):
            faults.append("use that was not exported")
        counted = daemon.ledger.store.read_totals()
        faults += [fault for fault, _ in daemon.ledger.store.verify() if fault]
        served_rows = [row for server in servers for row in server.received_relays]
        verdict = audit.reconcile(served_rows, {}, counted, billing.sum_micro_units())
        faults += verdict.faults + audit.find_wrong_answer_counts(load.messages, set())
        excesses = audit.compute_excess(
            served_rows, daemon.plans.book, {firm.key: firm.plan for firm in firms}, begin, end
        )
        load.close()
        daemon.close()
        for listener in (discovery.listener, counter.listener, billing.listener, *(s.listener for s in servers)):
            listener.stop()
        outer_loop.close()
    if not served_rows:
        faults.append("nothing was served")

    def served_of_total(client_tries: list[Any]) -> str:
        own = [row for row in client_tries if row.firm == firms[0].key]
        return f"{sum(row.status == 200 for row in own)} of {len(own)}"

    summary = {
        "seconds": round(end - begin, 1),
        "tries": len(load.messages),
        "served": sum(one.status == 200 for one in load.messages),
        "refused": sum(one.status in (429, 503) for one in load.messages),
        "firmMoved": moved_firm,
        "servedOnSchool": served_of_total(load.messages[:tries_before_move]),
        "servedOnCounty": served_of_total(load.messages[tries_before_move:]),
        "ranUnits": verdict.ran / audit.MICRO_UNITS_PER_UNIT,
        "countedUnits": verdict.counted / audit.MICRO_UNITS_PER_UNIT,
        "exportedUnits": verdict.billed / audit.MICRO_UNITS_PER_UNIT,
        "exportedEvents": len(billing.events),
        "unitsOverAllowance": round(sum(one.over for one in excesses), 2),
        "agree": not faults,
        "faults": faults,
    }
    print_result(
        summary,
        as_json,
        ["", ""],
        [[name, value] for name, value in summary.items() if name != "faults"],
        f"{SERVER_COUNT} sim servers, {FIRM_COUNT} firms; {json.dumps(PLANS)}",
    )
    for fault in faults:
        print(f"brackenpulley: {fault}", file=sys.stderr)
    return 1 if faults else 0
