"""The record of one run: what was sent, answered and run, in the order of time."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes one line for each event to `record.txt`; times are seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self._started_at

    def write(self, source: str, text: str) -> None:
        """Write one line; ignored after `close`."""
        if not self._file.closed:
            self._file.write(f"{self.now():8.3f} {source:<12} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
