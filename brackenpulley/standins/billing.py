"""Billing endpoint that accepts batches of CloudEvents, drops duplicate ids, and fails as its mode says.

The ledger's export sends to it in the demo, in benchmarks and in tests, which check its records against what ran."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from ..net.http import Payload
from ..net.loop import Loop
from ..net.requests import RequestError
from .wire import Connection, Listener, find_header

MAX_BATCH_BYTES = 8 << 20


class Billing:
    """Receives batches and keeps each event once, by id. `mode` decides how it treats the next batch:

    - takes: stores it and answers 204
    - lost: stores it and resets the connection before it answers
    - taken silently: stores it and never answers
    - part: stores the first half and acknowledges that
    - 409: answers that it has all of it already
    - 413: refuses a batch of more than `max_events` events
    - 429, 500: answers that status and stores nothing
    - silent: stores nothing and never answers

    `delivery_counts` counts how often each event arrived, and `answer_counts` the batches received in each mode."""

    def __init__(self, loop: Loop, max_events: int = 10) -> None:
        self.loop, self.mode, self.max_events = loop, "takes", max_events
        self.events: dict[str, dict[str, Any]] = {}
        self.delivery_counts: Counter[str] = Counter()
        self.answer_counts: Counter[str] = Counter()
        self.faults: list[str] = []
        self.listener = Listener(loop, self._handle_request)
        self.listener.feed = self._handle_data  # type: ignore[method-assign]

    def _handle_data(self, connection: Connection, data: bytes) -> None:
        # Batches are larger than what the ingress's own request reader accepts.
        connection.received += data
        head, end, body = connection.received.partition(b"\r\n\r\n")
        if not end:
            return
        size = next(
            (int(row.split(b":")[1]) for row in head.split(b"\r\n") if row.lower().startswith(b"content-length")), 0
        )
        if size > MAX_BATCH_BYTES:
            raise RequestError(413)
        if len(body) >= size:
            connection.received = body[size:]
            headers = [
                (name.strip().lower(), value.strip())
                for row in head.split(b"\r\n")[1:]
                for name, _, value in [row.partition(b":")]
            ]
            self._handle_request(connection, Payload(b"POST", b"/use", headers, body[:size]))

    def _handle_request(self, connection: Connection, payload: Payload) -> None:
        self.answer_counts[self.mode] += 1
        if self.mode in ("429", "500"):
            connection.answer(int(self.mode), headers="Retry-After: 1\r\n" if self.mode == "429" else "")
            return
        if self.mode == "silent":
            return
        if find_header(payload, b"content-type") != b"application/cloudevents-batch+json":
            self.faults.append("content type of a batch is not application/cloudevents-batch+json")
        batch = json.loads(payload.body)
        if self.mode == "413" and len(batch) > self.max_events:
            connection.answer(413)
            return
        accepted = batch[: max(1, len(batch) // 2)] if self.mode == "part" else batch
        for event in accepted:
            self._store_event(event)
        if self.mode == "taken silently":
            return
        if self.mode == "lost":
            connection.reset()
        elif self.mode == "part":
            connection.answer(200, json.dumps({"acked": accepted[-1]["data"]["seq"]}).encode())
        elif self.mode == "409":
            connection.answer(409, json.dumps({"acked": batch[-1]["data"]["seq"]}).encode())
        else:
            connection.answer(204)

    def _store_event(self, event: dict[str, Any]) -> None:
        event_id = event["id"]
        self.delivery_counts[event_id] += 1
        if event_id in self.events and self.events[event_id] != event:
            self.faults.append(f"{event_id}: received again with different content")
        self.events.setdefault(event_id, event)

    def restore(self, until: int) -> None:
        """Restore from a backup that ends with sequence number `until` of each ingress: later events are lost."""
        self.events = {event_id: event for event_id, event in self.events.items() if event["data"]["seq"] <= until}

    def sum_micro_units(self) -> dict[tuple[int, str, int], int]:
        """Return the billed micro-units by firm, plan and plan revision."""
        totals: dict[tuple[int, str, int], int] = {}
        for event in self.events.values():
            data = event["data"]
            whole, _, fraction = data["units"].partition(".")
            key = (int(data["firm"], 16), data["plan"], data["planRevision"])
            totals[key] = totals.get(key, 0) + int(whole) * 1_000_000 + int(fraction)
        return totals
