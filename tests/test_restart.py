"""A real ingress ends while fifty kept connections go on sending: what it took is answered, the rest is not taken."""

from __future__ import annotations

import random
import signal
import time
from pathlib import Path

import pytest
import structlog

from benchmarks.ledger_cost import Process
from benchmarks.plan_changes import free_ports
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.clients import Firm, Load, Try
from brackenpulley.standins.servers import Counter, Discovery, SimServer

KEPT = 50


@pytest.mark.parametrize(("seed", "mean"), [(1, 0.02), (2, 0.3)])
def test_clients_that_send_through_the_whole_end_lose_no_message(seed: int, mean: float, tmp_path: Path) -> None:
    loop = Loop(wall_clock(), Metrics(), structlog.get_logger())
    servers = [SimServer(loop, f"s-{n}", random.Random(seed + n), mean) for n in range(4)]
    discovery, counter = Discovery(loop, servers), Counter(loop)
    port = free_ports(1)[0]
    daemon = Process(tmp_path, "n0", port, discovery.listener.text, counter.listener.text, "")
    firm = Firm(1, "county", 0.0, 1, 0)
    load = Load(loop, [("127.0.0.1", port)], [firm], random.Random(seed))

    def until(done: object, patience: float = 30.0) -> None:
        end = time.monotonic() + patience
        while not done():  # type: ignore[operator]
            assert time.monotonic() < end
            loop.run_once(0.01)

    def again(one: Try) -> None:
        """Each client sends its next message at once, on the connection it has, for as long as there is one."""
        if one.status:
            loop.call_soon(lambda: load.ask(firm))

    log = tmp_path / "n0.log"
    try:
        until(lambda: "event=listening" in log.read_text())
        until(lambda: discovery.watchers)
        for _ in range(KEPT):
            load.ask(firm)
        load.heard = again
        until(lambda: sum(one.status == 200 for one in load.tries) > 4 * KEPT)
        daemon.process.send_signal(signal.SIGTERM)
        sent, since = time.monotonic(), loop.clock()
        until(lambda: daemon.process.poll() is not None)
        lasted = time.monotonic() - sent
        until(lambda: not load.out)
    finally:
        daemon.process.kill()
        daemon.process.wait()
        load.close()
        for one in (discovery.listener, counter.listener, *(server.listener for server in servers)):
            one.stop()
        loop.close()
    assert daemon.process.returncode == 0 and lasted < 4.0
    counts = dict(word.split("=", 1) for word in log.read_text().splitlines()[-1].split() if "=" in word)
    answered = [one for one in load.tries if one.status]
    assert int(counts["messages"]) == len(answered) and all(one.answers == 1 for one in answered)
    assert sum(one.sent > since for one in answered) >= KEPT / 2  # they did go on sending
    left = [one for one in load.tries if not one.status]
    assert len(left) <= KEPT and not {one.id for one in left} & {ran.id for s in servers for ran in s.ran}
