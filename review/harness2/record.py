"""The record of a case: what was sent, answered and run, a line an event, in `record.txt` beside the case."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any


class Record:
    """Writes events with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def note(self, event: str, **fields: Any) -> None:
        """Write one event."""
        more = "".join(f" {name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._started_at:9.3f} {event}{more}\n")

    def say(self, event: str, **fields: Any) -> None:
        """Write one event, and print it."""
        self.note(event, **fields)
        print(event, *(f"{name}={value}" for name, value in fields.items()), flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
