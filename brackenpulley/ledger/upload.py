"""What is sent to billing, what its response means, and when to retry. No I/O; clock and randomness are passed in.

Delivery is at least once. The id of an entry never changes, so a receiver that drops known ids counts each entry once.

    200, 202, 204                 the batch is accepted; a body {"acked": N} acknowledges only the entries up to N
    409                           accepted before; {"acked": N} says up to where, without it the whole batch was
    413                           the batch size is halved; a single entry that is too large is retried after
                                  `OVERSIZED_RETRY_DELAY_SECONDS`
    429, 503 with Retry-After     waits for that time
    anything else, or nothing     sends the same again after an exponential back-off with jitter, limited to
                                  `max_delay_seconds`

An acknowledgement below an earlier one, or beyond what was sent, is ignored: billing was restored from an older state
or is a different service, and an operator decides (`ledger replay`). The daemon's uploader and the `ledger push`
command use these rules.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import msgspec

from .tally import MICRO_UNITS_PER_UNIT, Entry

FIRST_RETRY_DELAY_SECONDS = 0.2
OVERSIZED_RETRY_DELAY_SECONDS = 600.0  # for a single entry that billing calls too large
MAX_RETRY_AFTER_SECONDS = 3600.0  # longer Retry-After values are limited to this
EVENT_TYPE = "org.brackenpulley.use.v1"
CONTENT_TYPE = "application/cloudevents-batch+json"


def build_event(entry: Entry) -> dict[str, Any]:
    """Returns an entry as a CloudEvents 1.0 event; units are decimal text, so that no reader rounds them."""
    key = entry.key
    source, _, _ = entry.id.rpartition("/")
    return {
        "specversion": "1.0",
        "id": entry.id,
        "source": f"/brackenpulley/{source}",
        "type": EVENT_TYPE,
        "subject": f"{key.firm:016x}",
        "time": format_timestamp(key.end_ms),
        "datacontenttype": "application/json",
        "data": {
            "seq": entry.seq,
            "kind": key.kind,
            "firm": f"{key.firm:016x}",
            "plan": key.plan,
            "planRevision": key.revision,
            "from": format_timestamp(key.start_ms),
            "to": format_timestamp(key.end_ms),
            "units": format_units(entry.units),
            "tries": entry.charge_count,
        },
    }


def format_units(units: int) -> str:
    """Formats micro-units as decimal units."""
    whole, rest = divmod(units, MICRO_UNITS_PER_UNIT)
    return f"{whole}.{rest:06d}"


def format_timestamp(timestamp_ms: int) -> str:
    """Formats milliseconds of Unix time as RFC 3339."""
    import datetime

    utc_time = datetime.datetime.fromtimestamp(timestamp_ms // 1000, datetime.UTC)
    return f"{utc_time:%Y-%m-%dT%H:%M:%S}.{timestamp_ms % 1000:03d}Z"


def encode_batch(entries: list[Entry]) -> bytes:
    """Encodes entries as a CloudEvents JSON batch."""
    return msgspec.json.encode([build_event(entry) for entry in entries])


@dataclass(slots=True)
class UploadOutcome:
    """What a response means: the last acknowledged entry, and the delay until the next send."""

    acked_seq: int
    delay_seconds: float
    error: str = ""


class UploadPolicy:
    """Decides after each response. `batch_size` is the number of entries to send next."""

    def __init__(self, max_batch_size: int, max_delay_seconds: float, rng: random.Random) -> None:
        self.max_batch_size, self.max_delay_seconds, self.rng = max_batch_size, max_delay_seconds, rng
        self.batch_size, self.failures = max_batch_size, 0

    def handle_response(self, first: int, last: int, status: int, retry_after: float, body: bytes) -> UploadOutcome:
        """Handles the response to entries `first` to `last`.

        `status` is 0 without a response; `retry_after` is in seconds, 0 if the response has none.
        """
        if status in (200, 202, 204, 409):
            return self._handle_acknowledgement(first, last, body)
        if status == 413:
            if first == last:
                return UploadOutcome(
                    first - 1, OVERSIZED_RETRY_DELAY_SECONDS, f"entry {first} is too large for billing"
                )
            self.batch_size = max(1, (last - first + 1) // 2)
            return UploadOutcome(first - 1, 0.0, f"too large for billing, {self.batch_size} at a time from now on")
        self.failures += 1
        delay_seconds = min(self.max_delay_seconds, FIRST_RETRY_DELAY_SECONDS * 2.0 ** min(30, self.failures - 1)) * (
            0.5 + self.rng.random() / 2
        )
        if status in (429, 503) and retry_after > 0:
            delay_seconds = min(MAX_RETRY_AFTER_SECONDS, retry_after)
        return UploadOutcome(
            first - 1, delay_seconds, f"billing answers {status}" if status else "billing does not answer"
        )

    def _handle_acknowledgement(self, first: int, last: int, body: bytes) -> UploadOutcome:
        acked_seq = last
        if body.strip():
            try:
                decoded = msgspec.json.decode(body)
            except msgspec.MsgspecError:
                decoded = None
            acked_value = decoded.get("acked") if isinstance(decoded, dict) else None
            if isinstance(acked_value, int) and not isinstance(acked_value, bool):
                acked_seq = acked_value
        if not first - 1 <= acked_seq <= last:
            self.failures += 1
            return UploadOutcome(
                first - 1, self.max_delay_seconds, f"billing acknowledges {acked_seq}, and {first} to {last} were sent"
            )
        if acked_seq < first:
            self.failures += 1
            return UploadOutcome(
                acked_seq,
                min(self.max_delay_seconds, FIRST_RETRY_DELAY_SECONDS * 2.0 ** min(30, self.failures - 1)),
                "billing took nothing",
            )
        self.failures = 0
        self.batch_size = min(self.max_batch_size, self.batch_size * 2)
        return UploadOutcome(acked_seq, 0.0)
