"""Bodies kept in files where memory has no room: for installations with a disk, off on the platform.

Each body has a file of its own without a name: nobody can take it away, and nothing of it outlives the process."""

from __future__ import annotations

import os
import tempfile
from collections.abc import Callable
from typing import BinaryIO


class Folder:
    """Where the files are, and the account of them. Sizes are bytes; errors end in `failed`, one line each."""

    __slots__ = ("path", "most", "used", "failed")

    def __init__(self, path: str, most: int, failed: Callable[[str], None]) -> None:
        """`most`: of all files together."""
        self.path, self.most, self.used, self.failed = path, most, 0, failed

    def open(self) -> Spool | None:
        """None where no file can be had."""
        try:
            return Spool(self, tempfile.TemporaryFile(dir=self.path, buffering=0))
        except OSError as error:
            self.failed(f"{self.path}: {error.strerror}")
            return None


class Spool:
    """One body's bytes from the first on, for one reader."""

    __slots__ = ("_folder", "_file", "size")

    def __init__(self, folder: Folder, file: BinaryIO) -> None:
        self._folder, self._file, self.size = folder, file, 0

    def write(self, part: bytes) -> bool:
        """False, and the file is given back, where not all of it could be written."""
        if self._folder.used + len(part) > self._folder.most:
            self.drop()
            return False
        left = memoryview(part)
        try:
            while left:
                left = left[os.pwrite(self._file.fileno(), left, self.size + len(part) - len(left)) :]
        except OSError as error:
            self._folder.failed(f"{self._folder.path}: {error.strerror}")
            self.drop()
            return False
        self.size += len(part)
        self._folder.used += len(part)
        return True

    def read(self, at: int, most: int) -> bytes:
        """Empty where it cannot be read, or is shorter than what was written."""
        try:
            return os.pread(self._file.fileno(), most, at)
        except (OSError, ValueError) as error:
            self._folder.failed(f"{self._folder.path}: {error}")
            return b""

    def drop(self) -> None:
        """The one place where a file is given back."""
        if not self._file.closed:
            self._folder.used -= self.size
            self._file.close()
