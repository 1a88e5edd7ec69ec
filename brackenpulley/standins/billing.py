"""Billing: takes CloudEvents batches, drops ids that it has, and fails on a script."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

from ..net.http import Payload
from ..net.loop import Loop
from ..net.requests import RequestError
from .wire import Line, Listener, header

LARGEST = 8 << 20


class Billing:
    """`mode`: takes, lost (takes and breaks before its answer), taken
    silently (takes and never answers), part (takes the first half), 409 (says all is there),
    413 (takes at most `room` events), 429, 500, silent. `had` counts how often each event came."""

    def __init__(self, loop: Loop, room: int = 10) -> None:
        self.loop, self.mode, self.room = loop, "takes", room
        self.events: dict[str, dict[str, Any]] = {}
        self.had: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.faults: list[str] = []
        self.listener = Listener(loop, self._heard)
        self.listener.feed = self._feed  # type: ignore[method-assign]

    def _feed(self, line: Line, data: bytes) -> None:
        """Batches are larger than what the ingress's own reader takes."""
        line.data += data
        head, end, body = line.data.partition(b"\r\n\r\n")
        if not end:
            return
        size = next(
            (int(row.split(b":")[1]) for row in head.split(b"\r\n") if row.lower().startswith(b"content-length")), 0
        )
        if size > LARGEST:
            raise RequestError(413)
        if len(body) >= size:
            line.data = body[size:]
            headers = [
                (name.strip().lower(), value.strip())
                for row in head.split(b"\r\n")[1:]
                for name, _, value in [row.partition(b":")]
            ]
            self._heard(line, Payload(b"POST", b"/use", headers, body[:size]))

    def _heard(self, line: Line, payload: Payload) -> None:
        self.answers[self.mode] += 1
        if self.mode in ("429", "500"):
            line.answer(int(self.mode), headers="Retry-After: 1\r\n" if self.mode == "429" else "")
            return
        if self.mode == "silent":
            return
        if header(payload, b"content-type") != b"application/cloudevents-batch+json":
            self.faults.append("content type")
        told = json.loads(payload.body)
        if self.mode == "413" and len(told) > self.room:
            line.answer(413)
            return
        taken = told[: max(1, len(told) // 2)] if self.mode == "part" else told
        for event in taken:
            self._take(event)
        if self.mode == "taken silently":
            return
        if self.mode == "lost":
            line.reset()
        elif self.mode == "part":
            line.answer(200, json.dumps({"acked": taken[-1]["data"]["seq"]}).encode())
        elif self.mode == "409":
            line.answer(409, json.dumps({"acked": told[-1]["data"]["seq"]}).encode())
        else:
            line.answer(204)

    def _take(self, event: dict[str, Any]) -> None:
        ident = event["id"]
        self.had[ident] += 1
        if ident in self.events and self.events[ident] != event:
            self.faults.append(f"{ident}: came again with other content")
        self.events.setdefault(ident, event)

    def restore(self, until: int) -> None:
        """Billing comes back from a backup that ends with this sequence number of each ingress."""
        self.events = {ident: e for ident, e in self.events.items() if e["data"]["seq"] <= until}

    def units(self) -> dict[tuple[int, str, int], int]:
        """micro-units by firm, plan and plan revision."""
        found: dict[tuple[int, str, int], int] = {}
        for event in self.events.values():
            data = event["data"]
            whole, _, rest = data["units"].partition(".")
            key = (int(data["firm"], 16), data["plan"], data["planRevision"])
            found[key] = found.get(key, 0) + int(whole) * 1_000_000 + int(rest)
        return found
