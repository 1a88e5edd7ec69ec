"""Log lines of many processes as one stream, whatever becomes of its readers. No I/O.

Nothing here waits: a line has a greatest length, what can be looked back on and what waits for the reader are bounded,
and what does not fit is dropped, oldest first, and counted in the stream itself."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

import structlog

LONGEST = 8192  # bytes of a line; the rest of a longer one is dropped
CHUNK = 4096  # bytes: a write of so many to a pipe that can be written to never blocks (PIPE_BUF, pipe(7))
_render = structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], bool_as_flag=False)


class Splitter:
    """Bytes of one pipe to lines."""

    def __init__(self) -> None:
        self._rest = b""
        self._over = False

    def feed(self, data: bytes) -> list[str]:
        *whole, self._rest = (self._rest + data).split(b"\n")
        found = []
        for line in whole:
            if not self._over and line:
                found.append(line[:LONGEST].decode("utf-8", "replace"))
            self._over = False
        if len(self._rest) > LONGEST:
            if not self._over:
                found.append(self._rest[:LONGEST].decode("utf-8", "replace"))
            self._rest, self._over = b"", True
        return found

    def end(self) -> list[str]:
        """What stands there without its end."""
        return self.feed(b"\n") if self._rest else []


def merged(line: str, timestamp: str, instance: int, pid: int) -> str:
    """An instance's line with its number and process; what is no line of a log becomes the text of one."""
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
    serial: int
    instance: int  # -1 = the supervisor
    text: str


class Ring:
    """The last lines, for those who look back."""

    def __init__(self, keep: int) -> None:
        self._lines: deque[Line] = deque(maxlen=keep)
        self.serial = 0

    def add(self, instance: int, text: str) -> None:
        self.serial += 1
        self._lines.append(Line(self.serial, instance, text))

    def after(self, serial: int, most: int, instance: int | None = None) -> tuple[list[Line], int]:
        """Up to `most` of the oldest lines after this one, and how many between were already let go."""
        first = self._lines[0].serial if self._lines else self.serial + 1
        found = []
        for line in self._lines:
            if line.serial > serial and (instance is None or line.instance == instance):
                found.append(line)
                if len(found) == most:
                    break
        return found, max(0, first - 1 - serial)

    def last(self, most: int, instance: int | None = None) -> list[Line]:
        lines = [line for line in self._lines if instance is None or line.instance == instance]
        return lines[-most:]


class Backlog:
    """What waits for one reader: at most `size` bytes, whole lines."""

    def __init__(self, size: int = 1 << 20) -> None:
        self.size, self.dropped, self._said = size, 0, 0
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._part = b""  # of the line under way: never dropped, or two lines would run together

    def __len__(self) -> int:
        return self._bytes + len(self._part)

    def put(self, text: str) -> None:
        data = text.encode() + b"\n"
        self._lines.append(data)
        self._bytes += len(data)
        while self._bytes > self.size:
            self._bytes -= len(self._lines.popleft())
            self.dropped += 1

    def next(self) -> bytes:
        """At most CHUNK bytes; b"" = nothing waits."""
        if not self._part and self.dropped > self._said:
            self._part = f'level=warning event="log lines dropped" lines={self.dropped - self._said}\n'.encode()
            self._said = self.dropped
        while len(self._part) < CHUNK and self._lines:
            line = self._lines.popleft()
            self._bytes -= len(line)
            self._part += line
        return self._part[:CHUNK]

    def written(self, count: int) -> None:
        self._part = self._part[count:]
