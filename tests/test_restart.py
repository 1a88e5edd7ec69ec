"""An ingress process is shut down while fifty keep-alive connections go on sending.

Every message that it accepted is answered, and no other one reaches a server.
"""

from __future__ import annotations

import random
import signal
import time
from pathlib import Path

import pytest
import structlog

from benchmarks.daemon_process import find_free_ports
from benchmarks.ledger_cost import Process
from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.clients import Firm, Load, SentMessage
from brackenpulley.standins.servers import Counter, Discovery, SimServer

KEPT_CONNECTIONS = 50


@pytest.mark.parametrize(("seed", "mean"), [(1, 0.02), (2, 0.3)])
def test_clients_that_send_throughout_a_shutdown_lose_no_message(seed: int, mean: float, tmp_path: Path) -> None:
    loop = Loop(wall_clock(), Metrics(), structlog.get_logger())
    servers = [SimServer(loop, f"s-{n}", random.Random(seed + n), mean) for n in range(4)]
    discovery, counter = Discovery(loop, servers), Counter(loop)
    port = find_free_ports(1)[0]
    daemon = Process(tmp_path, "n0", port, discovery.listener.address_text, counter.listener.address_text, "")
    firm = Firm(1, "county", 0.0, 1, 0)
    load = Load(loop, [("127.0.0.1", port)], [firm], random.Random(seed))

    def wait_until(is_done: object, timeout: float = 30.0) -> None:
        end = time.monotonic() + timeout
        while not is_done():  # type: ignore[operator]
            assert time.monotonic() < end
            loop.run_once(0.01)

    def send_again(attempt: SentMessage) -> None:
        """Send a client's next message at once, on its connection while that lasts."""
        if attempt.status:
            loop.call_soon(lambda: load.send_message(firm))

    log_file = tmp_path / "n0.log"
    try:
        wait_until(lambda: "event=listening" in log_file.read_text())
        wait_until(lambda: discovery.watchers)
        for _ in range(KEPT_CONNECTIONS):
            load.send_message(firm)
        load.on_end = send_again
        wait_until(lambda: sum(attempt.status == 200 for attempt in load.messages) > 4 * KEPT_CONNECTIONS)
        daemon.process.send_signal(signal.SIGTERM)
        sigterm_monotonic, sigterm_at = time.monotonic(), loop.clock()
        wait_until(lambda: daemon.process.poll() is not None)
        shutdown_seconds = time.monotonic() - sigterm_monotonic
        wait_until(lambda: not load.in_flight)
    finally:
        daemon.process.kill()
        daemon.process.wait()
        load.close()
        for listener in (discovery.listener, counter.listener, *(server.listener for server in servers)):
            listener.stop()
        loop.close()
    assert daemon.process.returncode == 0 and shutdown_seconds < 4.0
    counts = dict(word.split("=", 1) for word in log_file.read_text().splitlines()[-1].split() if "=" in word)
    answered = [attempt for attempt in load.messages if attempt.status]
    assert int(counts["messages"]) == len(answered) and all(attempt.answer_count == 1 for attempt in answered)
    assert (
        sum(attempt.sent_at > sigterm_at for attempt in answered) >= KEPT_CONNECTIONS / 2
    )  # clients did go on sending
    unanswered = [attempt for attempt in load.messages if not attempt.status]
    assert len(unanswered) <= KEPT_CONNECTIONS and not {attempt.id for attempt in unanswered} & {
        ran.id for server in servers for ran in server.received_relays
    }
