"""What is sent to billing, what its answer means, and when to try again. No I/O; clock and randomness are passed in.

On the wire each entry goes at least once; its id never changes, so a receiver that drops ids it has gets each once.

    200, 202, 204                 the batch is taken; a body {"acked": N} says that it was taken up to N only
    409                           taken before; {"acked": N} says up to where, without it the whole batch was
    413                           the batch is halved; a single entry that is too large waits `LATER` and is tried again
    429, 503 with Retry-After     waits for that time
    anything else, or nothing     waits, doubled each time up to `longest`, with jitter, and sends the same again

An acknowledgement below what was taken before, or beyond what was sent, is no acknowledgement: billing was restored
from an older state or is not ours, and a person decides (`ledger replay`)."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import msgspec

from .tally import MICRO, Entry

FIRST = 0.2  # s before the first repeat
LATER = 600.0  # s until a single entry that is too large is tried again
MOST_WAIT = 3600.0  # s of a Retry-After that is believed
TYPE = "org.brackenpulley.use.v1"
CONTENT = "application/cloudevents-batch+json"


def event(entry: Entry) -> dict[str, Any]:
    """CloudEvents 1.0, JSON format; units are decimal text so that no reader rounds them."""
    key = entry.key
    source, _, _ = entry.id.rpartition("/")
    return {
        "specversion": "1.0",
        "id": entry.id,
        "source": f"/brackenpulley/{source}",
        "type": TYPE,
        "subject": f"{key.firm:016x}",
        "time": instant(key.end),
        "datacontenttype": "application/json",
        "data": {
            "seq": entry.seq,
            "kind": key.kind,
            "firm": f"{key.firm:016x}",
            "plan": key.plan,
            "planRevision": key.revision,
            "from": instant(key.start),
            "to": instant(key.end),
            "units": decimal(entry.units),
            "tries": entry.tries,
        },
    }


def decimal(units: int) -> str:
    whole, rest = divmod(units, MICRO)
    return f"{whole}.{rest:06d}"


def instant(at: int) -> str:
    """ms of Unix time as RFC 3339."""
    import datetime

    moment = datetime.datetime.fromtimestamp(at // 1000, datetime.UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{at % 1000:03d}Z"


def batch(entries: list[Entry]) -> bytes:
    return msgspec.json.encode([event(entry) for entry in entries])


@dataclass(slots=True)
class Ruling:
    """What an answer means: all up to `acked` is taken, the next try comes `wait` s from now."""

    acked: int
    wait: float
    fault: str = ""


class Rules:
    """Decides after each answer. `size` is the number of entries to send next."""

    def __init__(self, most: int, longest: float, rng: random.Random) -> None:
        self.most, self.longest, self.rng = most, longest, rng
        self.size, self.failures = most, 0

    def answered(self, first: int, last: int, status: int, after: float, body: bytes) -> Ruling:
        """The answer to entries `first` to `last`; `status` 0 where none came, `after` from Retry-After or 0."""
        if status in (200, 202, 204, 409):
            return self._taken(first, last, body)
        if status == 413:
            if first == last:
                return Ruling(first - 1, LATER, f"entry {first} is too large for billing")
            self.size = max(1, (last - first + 1) // 2)
            return Ruling(first - 1, 0.0, f"too large for billing, {self.size} at a time from now on")
        self.failures += 1
        wait = min(self.longest, FIRST * 2.0 ** min(30, self.failures - 1)) * (0.5 + self.rng.random() / 2)
        if status in (429, 503) and after > 0:
            wait = min(MOST_WAIT, after)
        return Ruling(first - 1, wait, f"billing answers {status}" if status else "billing does not answer")

    def _taken(self, first: int, last: int, body: bytes) -> Ruling:
        acked = last
        if body.strip():
            try:
                told = msgspec.json.decode(body)
            except msgspec.MsgspecError:
                told = None
            part = told.get("acked") if isinstance(told, dict) else None
            if isinstance(part, int) and not isinstance(part, bool):
                acked = part
        if not first - 1 <= acked <= last:
            self.failures += 1
            return Ruling(first - 1, self.longest, f"billing acknowledges {acked}, and {first} to {last} were sent")
        if acked < first:
            self.failures += 1
            return Ruling(acked, min(self.longest, FIRST * 2.0 ** min(30, self.failures - 1)), "billing took nothing")
        self.failures = 0
        self.size = min(self.most, self.size * 2)
        return Ruling(acked, 0.0)
