"""Upload of a ledger whose daemon does not run: the same rules as the daemon's, with blocking calls."""

from __future__ import annotations

import http.client
import random
import time
from collections.abc import Iterator

from ..lock import FileLock
from .store import LedgerError, Store
from .upload import CONTENT, Rules, batch

TIMEOUT = 10.0  # s


def push(store: Store, at: tuple[str, int], path: str, size: int, patience: float) -> Iterator[tuple[int, str]]:
    """Send what billing has not acknowledged; yields (entries taken so far, what went wrong or nothing).

    Takes the exporter's lock: a second one at once is told who holds it. Gives up after `patience` s without an
    entry taken. Raises LedgerError."""
    lock = FileLock(store.path / "export.lock", "ledger push", LedgerError)
    try:
        heads, _, _, _ = store.begin()
        rules, taken, since = Rules(size, 5.0, random.Random()), 0, time.monotonic()
        while True:
            entries = list(store.entries(max(heads.acked + 1, heads.first), rules.size))
            if heads.replay > heads.acked:
                entries = entries[: heads.replay - heads.acked]
            if not entries:
                return
            first, last = entries[0].seq, entries[-1].seq
            status, after, body = _post(at, path, batch(entries))
            ruling = rules.answered(first, last, status, after, body)
            if ruling.acked >= first:
                heads.acked = ruling.acked
                store.acknowledge(heads, first, ruling.acked, first <= heads.replay)
                taken, since = taken + ruling.acked - first + 1, time.monotonic()
            yield taken, ruling.fault
            if ruling.fault and time.monotonic() - since + ruling.wait > patience:
                raise LedgerError(f"billing: {ruling.fault}; {heads.backlog} entries are left")
            time.sleep(ruling.wait)
    finally:
        lock.close()


def _post(at: tuple[str, int], path: str, body: bytes) -> tuple[int, float, bytes]:
    conn = http.client.HTTPConnection(*at, timeout=TIMEOUT)
    try:
        conn.request("POST", path, body, {"Content-Type": CONTENT})
        answer = conn.getresponse()
        after = answer.getheader("Retry-After", "")
        return answer.status, float(after) if after.isdigit() else 0.0, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, 0.0, b""
    finally:
        conn.close()
