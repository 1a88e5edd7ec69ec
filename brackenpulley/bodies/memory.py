"""Accounts for the memory of all long bodies, in both directions, and of short answers that are not complete yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .spool import SpoolFolder

MIN_WINDOW_BYTES, MAX_WINDOW_BYTES = 8 << 10, 256 << 10  # bounds of what one body may hold ahead of its reader
MAX_KEPT_BODY_BYTES = 1 << 20  # of one body, kept in memory for another attempt


class BodyMemory:
    """Divides a memory limit between incomplete short answers, bodies kept for another attempt, and open bodies.

    The bytes of open bodies are not counted. Each may run ahead of its reader by an equal part of the limit for all of
    them, so that their sum stays within it; with very many bodies it is `MIN_WINDOW_BYTES` for each instead.
    """

    __slots__ = (
        "max_answer_bytes",
        "max_kept_bytes",
        "max_open_bytes",
        "answer_bytes",
        "kept_bytes",
        "open_bodies",
        "folder",
        "window_bytes",
    )

    def __init__(self, total: int, folder: SpoolFolder | None = None) -> None:
        """`total` is in bytes. `folder` takes kept bodies that do not fit in memory; without it they are not kept."""
        self.max_answer_bytes, self.max_kept_bytes, self.max_open_bytes = total // 2, total // 4, total // 4
        self.answer_bytes = self.kept_bytes = self.open_bodies = 0
        self.folder = folder
        self.window_bytes = 0  # by which each body may run ahead of its reader
        self._update_window()

    def _update_window(self) -> None:
        self.window_bytes = min(
            MAX_WINDOW_BYTES, max(MIN_WINDOW_BYTES, self.max_open_bytes // max(1, self.open_bodies))
        )

    def open_body(self) -> None:
        """Counts a new body."""
        self.open_bodies += 1
        self._update_window()

    def close_body(self) -> None:
        """Stops counting a body."""
        self.open_bodies -= 1
        self._update_window()

    def keep(self, size: int, body_size: int) -> bool:
        """Counts `size` more bytes kept of a body that has `body_size` bytes by now.

        Returns False, and counts nothing, if the body must not be kept in memory.
        """
        if body_size > MAX_KEPT_BODY_BYTES or self.kept_bytes + size > self.max_kept_bytes:
            return False
        self.kept_bytes += size
        return True

    def keepable_bytes(self, body_size: int) -> int:
        """Returns how many more bytes of a body that has `body_size` bytes would be kept."""
        return min(MAX_KEPT_BODY_BYTES - body_size, self.max_kept_bytes - self.kept_bytes)

    def release(self, size: int) -> None:
        """Stops counting `size` kept bytes."""
        self.kept_bytes -= size

    def adjust_answer_bytes(self, change: int) -> bool:
        """Adds `change` to the bytes of incomplete short answers. Returns False if they exceed their limit."""
        self.answer_bytes += change
        return self.answer_bytes <= self.max_answer_bytes
