"""Merging of the log lines of many processes into one stream, independent of its readers. No I/O.

Nothing here blocks: line length, history and backlog are bounded. Lines that do not fit are dropped, oldest first, and
their number is written to the stream itself."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

import structlog

MAX_LINE_BYTES = 8192  # the rest of a longer line is dropped
CHUNK_BYTES = 4096  # a write of PIPE_BUF bytes to a writable pipe never blocks, see pipe(7)
_render = structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], bool_as_flag=False)


class Splitter:
    """Splits the bytes of one pipe into lines."""

    def __init__(self) -> None:
        self._incomplete = b""
        self._is_truncating = False

    def feed(self, data: bytes) -> list[str]:
        """Add bytes and return the lines that they complete."""
        *complete, self._incomplete = (self._incomplete + data).split(b"\n")
        found = []
        for line in complete:
            if not self._is_truncating and line:
                found.append(line[:MAX_LINE_BYTES].decode("utf-8", "replace"))
            self._is_truncating = False
        if len(self._incomplete) > MAX_LINE_BYTES:
            if not self._is_truncating:
                found.append(self._incomplete[:MAX_LINE_BYTES].decode("utf-8", "replace"))
            self._incomplete, self._is_truncating = b"", True
        return found

    def flush(self) -> list[str]:
        """Return the last line if it has no line end."""
        return self.feed(b"\n") if self._incomplete else []


def add_instance_fields(line: str, timestamp: str, instance: int, pid: int) -> str:
    """Return the line with the instance's number and pid; other output becomes the text of an `output` event."""
    if line.startswith("timestamp="):
        return f"{line} instance={instance} pid={pid}"
    fields: dict[str, Any] = {
        "timestamp": timestamp,
        "level": "info",
        "event": "output",
        "text": line,
        "instance": instance,
        "pid": pid,
    }
    return str(_render(None, "", fields))


@dataclass(slots=True, frozen=True)
class Line:
    """A line of the merged log."""

    serial: int
    instance: int  # -1 = the supervisor
    text: str


class LineHistory:
    """The last `keep` lines, for `fleet logs`."""

    def __init__(self, keep: int) -> None:
        self._lines: deque[Line] = deque(maxlen=keep)
        self.serial = 0

    def add(self, instance: int, text: str) -> None:
        """Append a line; the oldest one is dropped when the history is full."""
        self.serial += 1
        self._lines.append(Line(self.serial, instance, text))

    def lines_after(self, serial: int, most: int, instance: int | None = None) -> tuple[list[Line], int]:
        """Return up to `most` of the oldest lines after `serial`, and how many after it were already dropped."""
        first = self._lines[0].serial if self._lines else self.serial + 1
        found = []
        for line in self._lines:
            if line.serial > serial and (instance is None or line.instance == instance):
                found.append(line)
                if len(found) == most:
                    break
        return found, max(0, first - 1 - serial)

    def last_lines(self, most: int, instance: int | None = None) -> list[Line]:
        """Return the `most` newest lines, of one instance if given."""
        lines = [line for line in self._lines if instance is None or line.instance == instance]
        return lines[-most:]


class Backlog:
    """Whole lines that wait for one reader, at most `max_bytes` in total."""

    def __init__(self, max_bytes: int = 1 << 20) -> None:
        self.max_bytes, self.dropped, self._reported_dropped = max_bytes, 0, 0
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._unwritten = b""  # of lines partly written: never dropped, or two lines would run together

    def __len__(self) -> int:
        return self._bytes + len(self._unwritten)

    def put(self, text: str) -> None:
        """Append a line and drop the oldest ones that no longer fit."""
        data = text.encode() + b"\n"
        self._lines.append(data)
        self._bytes += len(data)
        while self._bytes > self.max_bytes:
            self._bytes -= len(self._lines.popleft())
            self.dropped += 1

    def next_chunk(self) -> bytes:
        """Return up to CHUNK_BYTES bytes to write; b"" if nothing waits."""
        if not self._unwritten and self.dropped > self._reported_dropped:
            self._unwritten = (
                f'level=warning event="log lines dropped" lines={self.dropped - self._reported_dropped}\n'.encode()
            )
            self._reported_dropped = self.dropped
        while len(self._unwritten) < CHUNK_BYTES and self._lines:
            line = self._lines.popleft()
            self._bytes -= len(line)
            self._unwritten += line
        return self._unwritten[:CHUNK_BYTES]

    def mark_written(self, count: int) -> None:
        """Remove the first `count` bytes of the last chunk."""
        self._unwritten = self._unwritten[count:]
