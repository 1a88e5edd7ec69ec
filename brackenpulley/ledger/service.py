"""The ledger on the daemon's event loop: commits, period closing and uploads to billing.

Owns the store and the connection to billing. The daemon creates the service, and the ingress charges use to it.
"""

from __future__ import annotations

import email.utils
import random
import socket
import time
from collections.abc import Callable
from typing import Any

from ..core.exchange import Answer
from ..lock import FileLock
from ..metrics import Metrics
from ..net import sockets
from ..net.answers import MalformedResponseError, ResponseReader
from ..net.loop import READ, WRITE, Loop, Timer
from ..net.pool import Pool
from ..operator import ExportOptions, LedgerOptions
from ..policy import interface as i
from .store import LedgerError, Store, Use
from .tally import MICRO_UNITS_PER_UNIT, Entry, Tally, UsageSum, to_milliseconds
from .upload import CONTENT_TYPE, UploadOutcome, UploadPolicy, encode_batch

STORE_RETRY_SECONDS = 1.0  # between checkpoints while the store fails
MAX_ENTRIES_PER_DELETION = 2000
LOCK_RETRY_SECONDS = 5.0  # while another process holds the export lock
IDLE_SECONDS = 5.0  # between checks for entries to send


class LedgerService:
    """Counts use, stores it before the answers of its turn are sent, and closes periods into entries."""

    def __init__(
        self, loop: Loop, pool: Pool, options: LedgerOptions, ingress: str, metrics: Metrics, log: Any
    ) -> None:
        """Raises LedgerError if the store cannot be opened or recovered."""
        self.loop, self.options, self.metrics, self.log = loop, options, metrics, log
        self.failure = ""  # why the store fails, or empty
        self.has_unstored_uses = False  # use of the last turn is in memory only
        self.uploader: Uploader | None = None
        self.store = Store(options.path, ingress, options.max_store_bytes, options.sync_interval_seconds)
        try:
            state, sums, turns, notice = self.store.recover()
            self.tally = Tally(
                state,
                to_milliseconds(options.period_seconds),
                to_milliseconds(options.grace_seconds),
                options.max_backlog,
                sums,
            )
            self.pending_uses: list[Use] = []  # counted in this turn
            self.last_ids: list[str] = []  # ids of the last turn counted
            self.unstored_entries: list[Entry] = []  # closed but not stored yet
            for uses in turns:
                for _, firm, plan, revision, units, since in uses:
                    self.tally.charge(firm, plan, revision, units, since)
                self.last_ids = [use[0] for use in uses]
            state.turn = max(state.turn, self.store.newest_turn)
            self._write_checkpoint()
        except LedgerError:
            self.store.close()
            raise
        if notice:
            log.info("ledger", said=notice)
        self.pending_answers: list[tuple[Callable[[Answer], None], Answer]] = []
        self._is_turn_scheduled = False
        if options.export is not None:
            self.uploader = Uploader(self, pool, options.export)

    def start(self) -> None:
        """Starts the timers for checkpoints and period closing, and the uploader."""
        self._close_periods()
        self.loop.call_in(self.store.checkpoint_interval_seconds, self._run_checkpoint)
        if self.uploader is not None:
            self.uploader.start()

    # Counting. Use is committed once per turn, before the answers of that turn are sent.

    def charge(self, action: i.Charge) -> None:
        """Counts use, to be stored at the end of this turn."""
        self.tally.charge(action.firm, action.plan, action.revision, action.units, action.since)
        self.pending_uses.append((action.id, action.firm, action.plan, action.revision, action.units, action.since))
        self._schedule_turn_end()

    def answer(self, reply: Callable[[Answer], None], answer: Answer) -> None:
        """Sends an answer at the end of this turn, after the use of the turn is stored."""
        self.pending_answers.append((reply, answer))
        self._schedule_turn_end()

    def _schedule_turn_end(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            self.loop.call_soon(self._finish_turn)

    def _finish_turn(self) -> None:
        self._is_turn_scheduled = False
        if self.pending_uses:
            self.commit()
        answers, self.pending_answers = self.pending_answers, []
        for reply, answer in answers:
            reply(answer)

    def commit(self) -> None:
        """Appends the use of this turn to the log. While that fails, only the sums in memory hold it."""
        uses, self.pending_uses = self.pending_uses, []
        state = self.tally.state
        state.turn += 1
        self.last_ids = [use[0] for use in uses]
        try:
            self.store.append(state.turn, uses)
        except LedgerError:  # the log is full: write a checkpoint instead
            self.has_unstored_uses = True
            self.checkpoint()
            return
        self.metrics.add("ledger_commits")

    def checkpoint(self) -> bool:
        """Writes a checkpoint and returns whether it succeeded. After a failure the sums stay in memory for a retry."""
        # Called from a timer: the use counted so far needs a turn number, or recovery would count it again.
        if self.pending_uses:
            self.commit()
        if not self.tally.changed_keys and not self.unstored_entries and not self.failure:
            return True
        began = time.monotonic()
        try:
            self._write_checkpoint()
        except LedgerError as error:
            self._handle_store_failure(str(error))
            return False
        self.metrics.record_maximum("ledger_fold_us", int((time.monotonic() - began) * 1e6))
        if self.failure:
            self.log.info("ledger", said="the store accepts writes again")
            self.failure, self.tally.is_stalled = "", False
        self.has_unstored_uses = False
        return True

    def _write_checkpoint(self) -> None:
        tally = self.tally
        changed: dict[Any, UsageSum | None] = {key: tally.open_sums.get(key) for key in tally.changed_keys}
        self.store.checkpoint(tally.state, changed, self.unstored_entries, self.last_ids)
        tally.changed_keys.clear()
        if self.unstored_entries:
            self.metrics.add("ledger_entries", len(self.unstored_entries))
            self.unstored_entries = []
            if self.uploader is not None:
                self.uploader.notify_entries()

    def _handle_store_failure(self, reason: str) -> None:
        self.metrics.add("ledger_failures")
        if not self.failure:
            self.log.error("ledger", error=reason, mode="refuse" if self.options.refuse_on_failure else "serve")
        self.failure, self.tally.is_stalled = reason, True

    def _run_checkpoint(self) -> None:
        self.checkpoint()
        self.loop.call_in(
            STORE_RETRY_SECONDS if self.failure else self.store.checkpoint_interval_seconds, self._run_checkpoint
        )

    @property
    def refuses(self) -> bool:
        """Whether messages must be refused: use cannot be stored, and the operator chose to refuse then."""
        return self.has_unstored_uses and self.options.refuse_on_failure

    # Period closing.

    def _close_periods(self) -> None:
        now = self.loop.clock()
        if not self.failure:
            self.unstored_entries += self.tally.close(now)
            if self.unstored_entries:
                self.checkpoint()
            self._delete_acknowledged()
        self.loop.call_at(self.tally.compute_next_close(now), self._close_periods)

    def _delete_acknowledged(self) -> None:
        state = self.tally.state
        until = state.acked_seq - self.options.kept_entries
        if until >= state.first_seq:
            try:
                self.store.drop(state, min(until, state.first_seq + MAX_ENTRIES_PER_DELETION - 1))
            except LedgerError as error:
                self._handle_store_failure(str(error))

    def replay(self, first: int) -> None:
        """Sends the entries from `first` on again. Raises LedgerError."""
        self.store.replay(self.tally.state, first)
        if self.uploader is not None:
            self.uploader.restart()

    def status(self) -> dict[str, Any]:
        """Returns the status that the control API reports."""
        state, uploader = self.tally.state, self.uploader
        return {
            "ingress": state.ingress,
            "epoch": state.epoch,
            "countedUnits": state.counted_micro_units / MICRO_UNITS_PER_UNIT,
            "tries": state.charge_count,
            "openUnits": self.tally.sum_open_units() / MICRO_UNITS_PER_UNIT,
            "openSums": len(self.tally.open_sums),
            "nextEntry": state.next_seq,
            "acknowledged": state.acked_seq,
            "backlog": state.backlog,
            "firstKept": state.first_seq,
            "periodSeconds": self.tally.compute_period_ms() / 1000,
            "bytes": self.store.used_bytes(),
            "failing": self.failure,
            "mode": "refuse" if self.options.refuse_on_failure else "serve",
            "export": uploader.status() if uploader is not None else None,
        }

    def stop(self) -> None:
        """Stops the uploader, writes a last checkpoint and closes the store."""
        if self.uploader is not None:
            self.uploader.stop()
        self.checkpoint()
        self.store.close()


class Uploader:
    """Sends closed entries to billing, one batch at a time. Owns its connection, which only `_close` closes."""

    def __init__(self, service: LedgerService, pool: Pool, options: ExportOptions) -> None:
        self.service, self.pool, self.options = service, pool, options
        self.loop, self.metrics, self.log = service.loop, service.metrics, service.log
        self.policy = UploadPolicy(options.batch_size, options.max_backoff_seconds, random.Random())
        self.lock: FileLock | None = None
        self._socket: socket.socket | None = None
        self._unsent = b""
        self._response: ResponseReader | None = None
        self._sent_range = (0, 0)
        self._timeout_timer: Timer | None = None
        self._send_timer: Timer | None = None
        self._last_error = ""
        self._is_stopped = False

    def start(self) -> None:
        """Takes the export lock and starts to send; retries while another process holds the lock."""
        if self._is_stopped:
            return
        try:
            self.lock = FileLock(
                self.service.store.path / "export.lock", f"ingress {self.service.store.ingress}", LedgerError
            )
        except (LedgerError, OSError) as error:
            self._log_error_change(str(error))
            self.loop.call_in(LOCK_RETRY_SECONDS, self.start)
            return
        self._send()

    def notify_entries(self) -> None:
        """Schedules a send for new entries, unless one is pending or in flight."""
        if self._socket is None and self._send_timer is None and self.lock is not None:
            self._schedule_send(0.0)

    def restart(self) -> None:
        """Aborts the batch in flight and sends from the current position, which a replay has changed."""
        if self._socket is not None:
            self._close()
        self._schedule_send(0.0)

    def _schedule_send(self, seconds: float) -> None:
        if self._send_timer is not None:
            self._send_timer.cancel()
        self._send_timer = self.loop.call_in(seconds, self._send)

    def _send(self) -> None:
        self._send_timer = None
        state = self.service.tally.state
        if self._is_stopped or self._socket is not None or self.lock is None:
            return
        max_count = self.policy.batch_size
        if (
            state.replay_until_seq > state.acked_seq
        ):  # a batch does not cross the end of a replay, so that `verify` can tell replayed entries apart
            max_count = min(max_count, state.replay_until_seq - state.acked_seq)
        entries = list(self.service.store.read_entries(max(state.acked_seq + 1, state.first_seq), max_count))
        if not entries:
            return
        self._sent_range = entries[0].seq, entries[-1].seq
        body = encode_batch(entries)
        address = self.options.address
        host = f"[{address[0]}]" if ":" in address[0] else address[0]
        self._unsent = (
            f"POST {self.options.path} HTTP/1.1\r\nHost: {host}:{address[1]}\r\nContent-Type: {CONTENT_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        ).encode() + body
        self._response = ResponseReader()
        self.metrics.add("export_sends")
        try:
            self._socket = sockets.connect(address)
        except OSError:
            self._handle_response(0, 0.0, b"")
            return
        self.loop.register(self._socket, WRITE, self._handle_socket_event)
        self._timeout_timer = self.loop.call_in(
            self.options.timeout_seconds, lambda: self._handle_response(0, 0.0, b"")
        )

    def _handle_socket_event(self, events: int) -> None:
        sock, reply = self._socket, self._response
        assert sock is not None and reply is not None
        try:
            if self._unsent:
                if sockets.connect_error(sock):
                    raise OSError("connect")
                self._unsent = self._unsent[sock.send(self._unsent) :]
                self.loop.set_interest(sock, READ | WRITE if self._unsent else READ, self._handle_socket_event)
                if self._unsent or not events & READ:
                    return
            buffer = self.pool.acquire()
            try:
                count = sock.recv_into(buffer)
                if count:
                    reply.feed(bytes(memoryview(buffer)[:count]))
                else:
                    reply.handle_eof()
            finally:
                self.pool.release(buffer)
        except BlockingIOError:
            return
        except (OSError, MalformedResponseError):
            self._handle_response(0, 0.0, b"")
            return
        if reply.is_complete:
            self._handle_response(reply.status, retry_after(reply), reply.body)
        elif not count:
            self._handle_response(0, 0.0, b"")

    def _handle_response(self, status: int, retry_after_seconds: float, body: bytes) -> None:
        self._close()
        first, last = self._sent_range
        outcome = self.policy.handle_response(first, last, status, retry_after_seconds, body)
        state = self.service.tally.state
        if outcome.acked_seq >= first and not self._acknowledge(first, outcome):
            return
        if outcome.error:
            self.metrics.add("export_faults")
            self._log_error_change(outcome.error)
        if state.backlog > 0:
            self._schedule_send(outcome.delay_seconds)

    def _acknowledge(self, first: int, outcome: UploadOutcome) -> bool:
        state = self.service.tally.state
        old_acked_seq, state.acked_seq = state.acked_seq, outcome.acked_seq
        try:
            self.service.store.acknowledge(state, first, outcome.acked_seq, first <= state.replay_until_seq)
        except (
            LedgerError
        ) as error:  # billing has the entries, but that is not stored: send them again, under the same ids
            state.acked_seq = old_acked_seq
            self.metrics.add("export_faults")
            self._log_error_change(str(error))
            self._schedule_send(self.options.max_backoff_seconds)
            return False
        self.metrics.add("export_entries", outcome.acked_seq - first + 1)
        if self._last_error and not outcome.error:
            self._log_error_change("")
        return True

    def _log_error_change(self, text: str) -> None:
        """Logs an error when it changes, rather than once per retry."""
        if text != self._last_error:
            self._last_error = text
            if text:
                self.log.error("export", error=text)
            else:
                self.log.info("export", said="billing accepts entries again")

    def status(self) -> dict[str, Any]:
        """Returns the part of the status about the export."""
        return {
            "to": f"{self.options.address[0]}:{self.options.address[1]}{self.options.path}",
            "batch": self.policy.batch_size,
            "failures": self.policy.failures,
            "fault": self._last_error,
        }

    def _close(self) -> None:
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
            self._timeout_timer = None
        if self._socket is not None:
            self.loop.unregister(self._socket)
            self._socket.close()
            self._socket = None

    def stop(self) -> None:
        """Closes the connection and releases the export lock."""
        self._is_stopped = True
        self._close()
        if self._send_timer is not None:
            self._send_timer.cancel()
            self._send_timer = None
        if self.lock is not None:
            self.lock.close()
            self.lock = None


def retry_after(reply: ResponseReader) -> float:
    """Returns the seconds of Retry-After (RFC 9110, 10.2.3: a number or a date), or 0 without a valid one."""
    for name, value in reply.headers:
        if name == b"retry-after":
            text = value.decode("ascii", "replace").strip()
            if text.isdigit():
                return float(text)
            try:
                return max(0.0, email.utils.parsedate_to_datetime(text).timestamp() - time.time())
            except (ValueError, TypeError):
                return 0.0
    return 0.0
