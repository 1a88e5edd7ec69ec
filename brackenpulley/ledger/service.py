"""The ledger on the daemon's loop: commits, closing of periods, uploads. Owns the store and the way to billing."""

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
from .tally import MICRO, Entry, Sum, Tally, ms
from .upload import CONTENT, Rules, Ruling, batch

RETRY = 1.0  # s until a store that took nothing is tried again
DROP_AT_ONCE = 2000  # entries that are let go in one step
LOCK_AGAIN = 5.0  # s
IDLE = 5.0  # s between looks for something to send


class LedgerService:
    def __init__(self, loop: Loop, pool: Pool, part: LedgerOptions, ingress: str, metrics: Metrics, log: Any) -> None:
        """Raises LedgerError."""
        self.loop, self.part, self.metrics, self.log = loop, part, metrics, log
        self.failing = ""  # why the last fold or commit failed
        self.unstored = False  # the last turn's use is in memory alone
        self.uploader: Uploader | None = None
        self.store = Store(part.path, ingress, part.max_store_bytes, part.sync_interval_seconds)
        try:
            heads, sums, turns, said = self.store.begin()
            self.tally = Tally(heads, ms(part.period_seconds), ms(part.grace_seconds), part.max_backlog, sums)
            self.uses: list[Use] = []  # counted in this turn
            self.last: list[str] = []  # ids of the last turn that is stored
            self.made: list[Entry] = []  # closed, and not stored yet
            for uses in turns:
                for _, firm, plan, revision, units, since in uses:
                    self.tally.charge(firm, plan, revision, units, since)
                self.last = [use[0] for use in uses]
            heads.turn = max(heads.turn, self.store.newest)
            self._store()
        except LedgerError:
            self.store.end()
            raise
        if said:
            log.info("ledger", said=said)
        self.answers: list[tuple[Callable[[Answer], None], Answer]] = []
        self._turn = False
        if part.export is not None:
            self.uploader = Uploader(self, pool, part.export)

    def start(self) -> None:
        self._closing()
        self.loop.call_in(self.store.fold_every, self._folding)
        if self.uploader is not None:
            self.uploader.start()

    # Counting: once a turn, before the answers of that turn leave.

    def charge(self, a: i.Charge) -> None:
        self.tally.charge(a.firm, a.plan, a.revision, a.units, a.since)
        self.uses.append((a.id, a.firm, a.plan, a.revision, a.units, a.since))
        self._soon()

    def answer(self, reply: Callable[[Answer], None], answer: Answer) -> None:
        """An answer leaves after the use of its turn is stored."""
        self.answers.append((reply, answer))
        self._soon()

    def _soon(self) -> None:
        if not self._turn:
            self._turn = True
            self.loop.call_soon(self._end_of_turn)

    def _end_of_turn(self) -> None:
        self._turn = False
        if self.uses:
            self.commit()
        answers, self.answers = self.answers, []
        for reply, answer in answers:
            reply(answer)

    def commit(self) -> None:
        """Store what this turn has counted. While that fails it is in memory alone, added up."""
        uses, self.uses = self.uses, []
        heads = self.tally.heads
        heads.turn += 1
        self.last = [use[0] for use in uses]
        try:
            self.store.append(heads.turn, uses)
        except LedgerError:  # the log is full: all of it goes into the store at once
            self.unstored = True
            self.fold()
            return
        self.metrics.add("ledger_commits")

    def fold(self) -> bool:
        """Bring all into the store. What cannot be stored stays in memory, added up, and is tried again."""
        if self.uses:  # a timer's turn: what is counted already must stand under a turn, or it would be counted again
            self.commit()
        if not self.tally.changed and not self.made and not self.failing:
            return True
        began = time.monotonic()
        try:
            self._store()
        except LedgerError as error:
            self._failed(str(error))
            return False
        self.metrics.record_maximum("ledger_fold_us", int((time.monotonic() - began) * 1e6))
        if self.failing:
            self.log.info("ledger", said="the store takes entries again")
            self.failing, self.tally.stalled = "", False
        self.unstored = False
        return True

    def _store(self) -> None:
        tally = self.tally
        changed: dict[Any, Sum | None] = {key: tally.open.get(key) for key in tally.changed}
        self.store.fold(tally.heads, changed, self.made, self.last)
        tally.changed.clear()
        if self.made:
            self.metrics.add("ledger_entries", len(self.made))
            self.made = []
            if self.uploader is not None:
                self.uploader.more()

    def _failed(self, why: str) -> None:
        self.metrics.add("ledger_failures")
        if not self.failing:
            self.log.error("ledger", error=why, mode="refuse" if self.part.refuse_on_failure else "serve")
        self.failing, self.tally.stalled = why, True

    def _folding(self) -> None:
        self.fold()
        self.loop.call_in(RETRY if self.failing else self.store.fold_every, self._folding)

    @property
    def refuses(self) -> bool:
        """The operator wants nothing served that cannot be stored."""
        return self.unstored and self.part.refuse_on_failure

    # Closing of periods.

    def _closing(self) -> None:
        now = self.loop.clock()
        if not self.failing:
            self.made += self.tally.close(now)
            if self.made:
                self.fold()
            self._let_go()
        self.loop.call_at(self.tally.next_close(now), self._closing)

    def _let_go(self) -> None:
        heads = self.tally.heads
        until = heads.acked - self.part.kept_entries
        if until >= heads.first:
            try:
                self.store.drop(heads, min(until, heads.first + DROP_AT_ONCE - 1))
            except LedgerError as error:
                self._failed(str(error))

    def replay(self, first: int) -> None:
        """Send all from this entry on again. Raises LedgerError."""
        self.store.replay(self.tally.heads, first)
        if self.uploader is not None:
            self.uploader.again()

    def status(self) -> dict[str, Any]:
        heads, uploader = self.tally.heads, self.uploader
        return {
            "ingress": heads.ingress,
            "epoch": heads.epoch,
            "countedUnits": heads.counted / MICRO,
            "tries": heads.tries,
            "openUnits": self.tally.open_units() / MICRO,
            "openSums": len(self.tally.open),
            "nextEntry": heads.next_seq,
            "acknowledged": heads.acked,
            "backlog": heads.backlog,
            "firstKept": heads.first,
            "periodSeconds": self.tally.length() / 1000,
            "bytes": self.store.used_bytes(),
            "failing": self.failing,
            "mode": "refuse" if self.part.refuse_on_failure else "serve",
            "export": uploader.status() if uploader is not None else None,
        }

    def stop(self) -> None:
        """Commits what is left; the store is given back."""
        if self.uploader is not None:
            self.uploader.stop()
        self.fold()
        self.store.end()


class Uploader:
    """Sends closed entries to billing, one batch at a time. Owns its connection, closed in `_close` alone."""

    def __init__(self, service: LedgerService, pool: Pool, part: ExportOptions) -> None:
        self.service, self.pool, self.part = service, pool, part
        self.loop, self.metrics, self.log = service.loop, service.metrics, service.log
        self.rules = Rules(part.batch_size, part.max_backoff_seconds, random.Random())
        self.lock: FileLock | None = None
        self._sock: socket.socket | None = None
        self._out = b""
        self._reply: ResponseReader | None = None
        self._range = (0, 0)
        self._timer: Timer | None = None
        self._next: Timer | None = None
        self._said = ""
        self._stopped = False

    def start(self) -> None:
        """Take the exporter's lock; another process may be at it."""
        if self._stopped:
            return
        try:
            self.lock = FileLock(
                self.service.store.path / "export.lock", f"ingress {self.service.store.ingress}", LedgerError
            )
        except (LedgerError, OSError) as error:
            self._say(str(error))
            self.loop.call_in(LOCK_AGAIN, self.start)
            return
        self._send()

    def more(self) -> None:
        """There are new entries."""
        if self._sock is None and self._next is None and self.lock is not None:
            self._wait(0.0)

    def again(self) -> None:
        """Where to go on has changed."""
        if self._sock is not None:
            self._close()
        self._wait(0.0)

    def _wait(self, seconds: float) -> None:
        if self._next is not None:
            self._next.cancel()
        self._next = self.loop.call_in(seconds, self._send)

    def _send(self) -> None:
        self._next = None
        heads = self.service.tally.heads
        if self._stopped or self._sock is not None or self.lock is None:
            return
        most = self.rules.size
        if heads.replay > heads.acked:  # a replay ends where it was asked to, so that `verify` can tell it apart
            most = min(most, heads.replay - heads.acked)
        entries = list(self.service.store.entries(max(heads.acked + 1, heads.first), most))
        if not entries:
            return
        self._range = entries[0].seq, entries[-1].seq
        body = batch(entries)
        at = self.part.address
        host = f"[{at[0]}]" if ":" in at[0] else at[0]
        self._out = (
            f"POST {self.part.path} HTTP/1.1\r\nHost: {host}:{at[1]}\r\nContent-Type: {CONTENT}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        ).encode() + body
        self._reply = ResponseReader()
        self.metrics.add("export_sends")
        try:
            self._sock = sockets.connect(at)
        except OSError:
            self._answered(0, 0.0, b"")
            return
        self.loop.register(self._sock, WRITE, self._event)
        self._timer = self.loop.call_in(self.part.timeout_seconds, lambda: self._answered(0, 0.0, b""))

    def _event(self, events: int) -> None:
        sock, reply = self._sock, self._reply
        assert sock is not None and reply is not None
        try:
            if self._out:
                if sockets.connect_error(sock):
                    raise OSError("connect")
                self._out = self._out[sock.send(self._out) :]
                self.loop.set_interest(sock, READ | WRITE if self._out else READ, self._event)
                if self._out or not events & READ:
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
            self._answered(0, 0.0, b"")
            return
        if reply.is_complete:
            self._answered(reply.status, retry_after(reply), reply.body)
        elif not count:
            self._answered(0, 0.0, b"")

    def _answered(self, status: int, after: float, body: bytes) -> None:
        self._close()
        first, last = self._range
        ruling = self.rules.answered(first, last, status, after, body)
        heads = self.service.tally.heads
        if ruling.acked >= first and not self._acknowledge(first, ruling):
            return
        if ruling.fault:
            self.metrics.add("export_faults")
            self._say(ruling.fault)
        if heads.backlog > 0:
            self._wait(ruling.wait)

    def _acknowledge(self, first: int, ruling: Ruling) -> bool:
        heads = self.service.tally.heads
        old, heads.acked = heads.acked, ruling.acked
        try:
            self.service.store.acknowledge(heads, first, ruling.acked, first <= heads.replay)
        except LedgerError as error:  # billing has them, we cannot note it: they go again under the same ids
            heads.acked = old
            self.metrics.add("export_faults")
            self._say(str(error))
            self._wait(self.part.max_backoff_seconds)
            return False
        self.metrics.add("export_entries", ruling.acked - first + 1)
        if self._said and not ruling.fault:
            self._say("")
        return True

    def _say(self, text: str) -> None:
        """A line where it changes, not one a try."""
        if text != self._said:
            self._said = text
            if text:
                self.log.error("export", error=text)
            else:
                self.log.info("export", said="billing takes entries again")

    def status(self) -> dict[str, Any]:
        return {
            "to": f"{self.part.address[0]}:{self.part.address[1]}{self.part.path}",
            "batch": self.rules.size,
            "failures": self.rules.failures,
            "fault": self._said,
        }

    def _close(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sock is not None:
            self.loop.unregister(self._sock)
            self._sock.close()
            self._sock = None

    def stop(self) -> None:
        self._stopped = True
        self._close()
        if self._next is not None:
            self._next.cancel()
            self._next = None
        if self.lock is not None:
            self.lock.close()
            self.lock = None


def retry_after(reply: ResponseReader) -> float:
    """Seconds of Retry-After (RFC 9110, 10.2.3: a number or a date); 0 where there is none."""
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
