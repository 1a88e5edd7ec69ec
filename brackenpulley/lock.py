"""Lock files, which keep a second process from using the same data."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path


class FileLock:
    """An exclusive lock on a file, whose text names the holder.

    It is held until `close` or until the process ends in any way, since the kernel then releases it (flock).
    """

    def __init__(self, path: Path, holder: str, error: type[Exception]) -> None:
        """Take the lock at `path`. Raises `error`, with the name of the holder, where another process has it."""
        self.path = path
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o644)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            current_holder = os.read(self._descriptor, 200).decode("utf-8", "replace").strip()
            os.close(self._descriptor)
            raise error(f"{path}: held by {current_holder or 'another process'}") from None
        try:
            os.ftruncate(self._descriptor, 0)
            os.write(self._descriptor, f"{holder}, process {os.getpid()}\n".encode())
        except OSError:
            pass  # a full disk: the lock is held all the same, without the holder's name

    def close(self) -> None:
        """Release the lock. Further calls have no effect."""
        if self._descriptor >= 0:
            with contextlib.suppress(OSError):
                os.ftruncate(self._descriptor, 0)
            os.close(self._descriptor)
            self._descriptor = -1
