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
from .upload import CONTENT_TYPE, UploadPolicy, encode_batch

TIMEOUT_SECONDS = 10.0


def push(
    store: Store, address: tuple[str, int], path: str, batch_size: int, max_stall_seconds: float
) -> Iterator[tuple[int, str]]:
    """Sends all unacknowledged entries; yields (entries acknowledged so far, error text or empty) for each batch.

    Holds the export lock, so that a concurrent exporter fails with the name of the holder. Gives up `max_stall_seconds`
    after the last acknowledgement. Raises LedgerError.
    """
    lock = FileLock(store.path / "export.lock", "ledger push", LedgerError)
    try:
        state, _, _, _ = store.recover()
        policy, acknowledged_count, last_progress = UploadPolicy(batch_size, 5.0, random.Random()), 0, time.monotonic()
        while True:
            entries = list(store.read_entries(max(state.acked_seq + 1, state.first_seq), policy.batch_size))
            if state.replay_until_seq > state.acked_seq:
                entries = entries[: state.replay_until_seq - state.acked_seq]
            if not entries:
                return
            first, last = entries[0].seq, entries[-1].seq
            status, retry_after, body = _post_batch(address, path, encode_batch(entries))
            outcome = policy.handle_response(first, last, status, retry_after, body)
            if outcome.acked_seq >= first:
                state.acked_seq = outcome.acked_seq
                store.acknowledge(state, first, outcome.acked_seq, first <= state.replay_until_seq)
                acknowledged_count, last_progress = acknowledged_count + outcome.acked_seq - first + 1, time.monotonic()
            yield acknowledged_count, outcome.error
            if outcome.error and time.monotonic() - last_progress + outcome.delay_seconds > max_stall_seconds:
                raise LedgerError(f"billing: {outcome.error}; {state.backlog} entries remain unacknowledged")
            time.sleep(outcome.delay_seconds)
    finally:
        lock.close()


def _post_batch(address: tuple[str, int], path: str, body: bytes) -> tuple[int, float, bytes]:
    connection = http.client.HTTPConnection(*address, timeout=TIMEOUT_SECONDS)
    try:
        connection.request("POST", path, body, {"Content-Type": CONTENT_TYPE})
        response = connection.getresponse()
        retry_after = response.getheader("Retry-After", "")
        return response.status, float(retry_after) if retry_after.isdigit() else 0.0, response.read()
    except (OSError, http.client.HTTPException):
        return 0, 0.0, b""
    finally:
        connection.close()
