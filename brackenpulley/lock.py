"""A file that at most one process holds; the text in it says who."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path


class Lock:
    """Held until `close` or the process's end, whatever ends it: the kernel lets go of it (flock)."""

    def __init__(self, path: Path, holder: str, error: type[Exception]) -> None:
        """Raises `error`, with the holder's name, where another process has it."""
        self.path = path
        self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            said = os.read(self._file, 200).decode("utf-8", "replace").strip()
            os.close(self._file)
            raise error(f"{path}: held by {said or 'another process'}") from None
        try:
            os.ftruncate(self._file, 0)
            os.write(self._file, f"{holder}, process {os.getpid()}\n".encode())
        except OSError:
            pass  # a full disk: the lock holds all the same, it only does not say whose it is

    def close(self) -> None:
        if self._file >= 0:
            with contextlib.suppress(OSError):
                os.ftruncate(self._file, 0)
            os.close(self._file)
            self._file = -1
