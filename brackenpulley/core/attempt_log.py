"""Logs and counts attempts that end without a whole answer, and what becomes of their messages.

One message leaves one line for each such attempt, one for each retry, and one for the final answer if that is not a
served one. The lines are limited, so that an outage does not fill the log; the counters are not."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ..metrics import Metrics
from .exchange import Answer, Exchange, RelayResult

LINES_PER_SECOND = 10.0
MAX_BURST_LINES = 100.0


class Log(Protocol):
    """A structured logger."""

    def info(self, event: str, **more: Any) -> Any:
        """Logs an event."""
        ...


class AttemptLog:
    """Writes the lines. `clock` returns seconds."""

    def __init__(self, log: Log, metrics: Metrics, clock: Callable[[], float]) -> None:
        self._log, self._metrics, self._clock = log, metrics, clock
        self._available_lines = MAX_BURST_LINES
        self._filled_at = clock()
        self._omitted_lines = 0

    def attempt_ended(self, exchange: Exchange, result: RelayResult) -> None:
        """Records the end of an attempt whose result is not "ok"."""
        progress = result.progress
        self._metrics.add_attempt_end(result.status, progress.stage.value)
        self._write(
            "attempt ended",
            id=exchange.message.id,
            cls=exchange.message.priority_class,
            server=exchange.server,
            attempt=exchange.attempt,
            outcome=result.status,
            reason=result.reason or "none",
            answer=progress.stage.value,
            body_bytes=progress.body_bytes,
            quiet_ms=round(1000 * progress.quiet_seconds),
            elapsed_ms=round(1000 * (self._clock() - exchange.sent_at)),
            is_streamed=exchange.is_streaming,
        )

    def retry_started(self, exchange: Exchange, server: str) -> None:
        """Records that a message is sent to a server once more."""
        self._write("retry", id=exchange.message.id, server=server, attempt=exchange.attempt + 1)

    def message_ended(self, exchange: Exchange, answer: Answer, reason: str) -> None:
        """Records the final answer to a message whose attempts brought no whole answer."""
        self._write(
            "message ended",
            id=exchange.message.id,
            kind=answer.kind,
            status=answer.status,
            reason=reason or "none",
            attempts=exchange.attempt + 1,
            left_ms=round(1000 * (exchange.deadline - self._clock())) if exchange.deadline < float("inf") else -1,
        )

    def _write(self, event: str, **fields: Any) -> None:
        now = self._clock()
        refill = LINES_PER_SECOND * (now - self._filled_at)
        self._available_lines, self._filled_at = min(MAX_BURST_LINES, self._available_lines + refill), now
        if self._available_lines < 1:
            self._omitted_lines += 1
            self._metrics.add("log_lines_omitted")
            return
        self._available_lines -= 1
        if self._omitted_lines:
            fields["omitted_before"], self._omitted_lines = self._omitted_lines, 0
        self._log.info(event, **fields)
