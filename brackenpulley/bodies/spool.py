"""Keeps bodies in files where memory has no room, for installations with a disk. Off unless a folder is configured.

Each body has an unnamed file of its own: nothing else can remove it, and it disappears with the process.
"""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable
from typing import BinaryIO


class SpoolFolder:
    """The folder for spool files, and the account of their size in bytes."""

    __slots__ = ("path", "max_bytes", "used_bytes", "on_error")

    def __init__(self, path: str, max_bytes: int, on_error: Callable[[str], None]) -> None:
        """`max_bytes` limits all files together. `on_error` is called with one line of text for each error."""
        self.path, self.max_bytes, self.used_bytes, self.on_error = path, max_bytes, 0, on_error

    def open(self) -> Spool | None:
        """Creates a file; returns None if that fails."""
        try:
            return Spool(self, tempfile.TemporaryFile(dir=self.path, buffering=0))
        except OSError as error:
            self.on_error(f"{self.path}: {error.strerror}")
            return None


class Spool:
    """A file with the bytes of one body, from the first on, for one reader."""

    __slots__ = ("_folder", "_file", "size")

    def __init__(self, folder: SpoolFolder, file: BinaryIO) -> None:
        self._folder, self._file, self.size = folder, file, 0

    def write(self, part: bytes) -> bool:
        """Appends a part. Returns False, and closes the file, if not all of it could be written."""
        if self._folder.used_bytes + len(part) > self._folder.max_bytes:
            self.drop()
            return False
        left = memoryview(part)
        try:
            while left:
                left = left[os.pwrite(self._file.fileno(), left, self.size + len(part) - len(left)) :]
        except OSError as error:
            self._folder.on_error(f"{self._folder.path}: {error.strerror}")
            self.drop()
            return False
        self.size += len(part)
        self._folder.used_bytes += len(part)
        return True

    def read(self, offset: int, max_bytes: int) -> bytes:
        """Reads up to `max_bytes` at `offset`.

        Returns nothing if the file cannot be read or is shorter than what was written.
        """
        try:
            return os.pread(self._file.fileno(), max_bytes, offset)
        except (OSError, ValueError) as error:
            self._folder.on_error(f"{self._folder.path}: {error}")
            return b""

    def drop(self) -> None:
        """Closes the file. This is the only place that returns its space to the folder."""
        if not self._file.closed:
            self._folder.used_bytes -= self.size
            self._file.close()
