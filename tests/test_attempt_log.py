"""Lines and counters of attempts that end without a whole answer."""

from __future__ import annotations

from typing import Any

import pytest

from brackenpulley.core.answer_progress import AnswerProgress, AnswerStage
from brackenpulley.core.attempt_log import LINES_PER_SECOND, MAX_BURST_LINES, AttemptLog
from brackenpulley.core.exchange import Exchange, RelayResult
from brackenpulley.core.message import Message
from brackenpulley.metrics import Metrics

from .rig import rig
from .test_operation import call_console

LONG_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"


def test_a_message_whose_attempts_break_leaves_its_id_and_the_reasons_in_the_log(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with rig(servers=2, console="127.0.0.1:0") as harness:
        client = harness.send_request(1)
        for part in (LONG_HEAD, b""):
            _, server = harness.accept_relay()
            server.read_http()
            server.send(part)
            harness.run_once()
            server.reset()
        third = harness.accept_relay()[1]
        third.read_http()
        third.reset()
        assert client.read_http()[0] == 503
        _, _, body = call_console(harness, "GET", "/control/counters")
    lines = [line for line in capsys.readouterr().out.splitlines() if f"{1:016x}" in line]
    ended = [line for line in lines if "attempt ended" in line]
    assert len(ended) == 3 and all("reason='connection broke'" in line for line in ended)
    assert "answer=head" in ended[0] and "answer=none" in ended[1] and "outcome=reset" in ended[2]
    assert sum("retry" in line for line in lines) == 2
    assert sum("message ended" in line and "status=503" in line for line in lines) == 1
    assert b'app_attempts_ended{answer="head",outcome="reset"} 1' in body
    assert b'app_attempts_ended{answer="none",outcome="reset"} 2' in body


class Lines:
    """Keeps the lines that are logged."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def info(self, event: str, **more: Any) -> None:
        self.lines.append({"event": event, **more})


def test_an_outage_does_not_fill_the_log_but_is_counted_in_full() -> None:
    now, log, metrics = 100.0, Lines(), Metrics()
    attempts = AttemptLog(log, metrics, lambda: now)
    message = Message(f"{1:016x}", "a", "p", 1, 1.0, 1.0, 1, 0, False)
    exchange = Exchange(message, 101.0, lambda answer: None, None)  # type: ignore[arg-type]
    result = RelayResult("timeout", progress=AnswerProgress(AnswerStage.BODY, 7, 0.5))
    for _ in range(1000):
        attempts.attempt_ended(exchange, result)
    assert len(log.lines) == MAX_BURST_LINES and metrics.attempt_ends["timeout", "body"] == 1000
    now += 1 / LINES_PER_SECOND + 0.001
    attempts.attempt_ended(exchange, result)
    assert log.lines[-1]["omitted_before"] == 1000 - MAX_BURST_LINES
