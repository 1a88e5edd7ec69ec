"""Uploads the ledger of a stopped daemon to billing, by the daemon's rules but with blocking calls.

Used by the `ledger push` command.
"""

from __future__ import annotations

import http.client
import random
import time
from collections.abc import Iterator

from ..lock import FileLock
from .store import LedgerError, Store
from .upload import CONTENT, Rules, batch

TIMEOUT_SECONDS = 10.0


def push(store: Store, at: tuple[str, int], path: str, size: int, patience: float) -> Iterator[tuple[int, str]]:
    """Send all unacknowledged entries; yields (entries acknowledged so far, error text or empty) for each batch.

    Holds the export lock, so that a concurrent exporter fails with the name of the holder. Gives up `patience`
    seconds after the last acknowledgement. Raises LedgerError.
    """
    lock = FileLock(store.path / "export.lock", "ledger push", LedgerError)
    try:
        heads, _, _, _ = store.begin()
        rules, acknowledged_count, last_progress = Rules(size, 5.0, random.Random()), 0, time.monotonic()
        while True:
            entries = list(store.entries(max(heads.acked + 1, heads.first), rules.size))
            if heads.replay > heads.acked:
                entries = entries[: heads.replay - heads.acked]
            if not entries:
                return
            first, last = entries[0].seq, entries[-1].seq
            status, retry_after, body = _post_batch(at, path, batch(entries))
            ruling = rules.answered(first, last, status, retry_after, body)
            if ruling.acked >= first:
                heads.acked = ruling.acked
                store.acknowledge(heads, first, ruling.acked, first <= heads.replay)
                acknowledged_count, last_progress = acknowledged_count + ruling.acked - first + 1, time.monotonic()
            yield acknowledged_count, ruling.fault
            if ruling.fault and time.monotonic() - last_progress + ruling.wait > patience:
                raise LedgerError(f"billing: {ruling.fault}; {heads.backlog} entries remain unacknowledged")
            time.sleep(ruling.wait)
    finally:
        lock.close()


def _post_batch(at: tuple[str, int], path: str, body: bytes) -> tuple[int, float, bytes]:
    connection = http.client.HTTPConnection(*at, timeout=TIMEOUT_SECONDS)
    try:
        connection.request("POST", path, body, {"Content-Type": CONTENT})
        response = connection.getresponse()
        retry_after = response.getheader("Retry-After", "")
        return response.status, float(retry_after) if retry_after.isdigit() else 0.0, response.read()
    except (OSError, http.client.HTTPException):
        return 0, 0.0, b""
    finally:
        connection.close()
