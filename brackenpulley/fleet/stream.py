"""Non-blocking output of the merged log to standard output or to a file. Lines wait in `lines.Backlog`."""

from __future__ import annotations

import os
from typing import Any

from ..metrics import Metrics
from ..net.loop import WRITE, Loop
from .lines import Backlog
from .process import Descriptor

RETRY_SECONDS = 1.0  # after a failed write


class Stream:
    """Writes log lines to the file `path`, which it owns, or to standard output, which stays open."""

    def __init__(self, loop: Loop, metrics: Metrics, path: str = "") -> None:
        """Raises OSError if the file cannot be opened."""
        self.loop, self.metrics, self.path = loop, metrics, path
        self.backlog = Backlog()
        self.last_error = ""
        self._output = Descriptor(1)
        self._is_registered = self._is_retry_scheduled = self._is_closed = False
        if path:
            self._output = Descriptor(self._open())

    def _open(self) -> int:
        return os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o640)

    def reopen(self) -> None:
        """Open the file anew, after logrotate has moved it. Raises OSError."""
        if self.path:
            descriptor = self._open()
            os.close(self._output.fileno())
            self._output = Descriptor(descriptor)

    def put(self, text: str) -> None:
        """Append a line; ignored after `close`."""
        if not self._is_closed:
            self.backlog.put(text)
            if not self._is_registered and not self._is_retry_scheduled:
                self._write_waiting(0)

    def _write_waiting(self, events: int) -> None:
        """Write waiting lines: one chunk per event to a pipe, which cannot block then; all of them to a file."""
        while data := self.backlog.next_chunk():
            if not self.path and not events and not self._register():
                return
            try:
                self.backlog.mark_written(os.write(self._output.fileno(), data))
                self.last_error = ""
            except OSError as error:  # disk full or reader gone: lines wait and the oldest are dropped
                self.last_error = error.strerror or str(error)
                self.metrics.add("log_writes_failed")
                self._unregister()
                self._schedule_retry()
                return
            events = 0
        self._unregister()

    def _register(self) -> bool:
        """Wait for the output to be writable. Returns True for a regular file, which may be written to at once."""
        if not self._is_registered:
            try:
                self.loop.register(self._output, WRITE, self._write_waiting)
            except (OSError, ValueError):
                return True
            self._is_registered = True
        return False

    def _unregister(self) -> None:
        if self._is_registered:
            self._is_registered = False
            self.loop.unregister(self._output)

    def _schedule_retry(self) -> None:
        self._is_retry_scheduled = True

        def retry() -> None:
            self._is_retry_scheduled = False
            if not self._is_closed:
                self._write_waiting(0)

        self.loop.call_in(RETRY_SECONDS, retry)

    def status(self) -> dict[str, Any]:
        """Return the state of the output, for the control API."""
        return {
            "to": self.path or "standard output",
            "waiting": len(self.backlog),
            "dropped": self.backlog.dropped,
            "failing": self.last_error or None,
        }

    def close(self) -> None:
        """Write what can be written without blocking, and close the file."""
        if self._is_closed:
            return
        self._unregister()
        self._is_closed = True
        if self.path:
            while data := self.backlog.next_chunk():
                try:
                    self.backlog.mark_written(os.write(self._output.fileno(), data))
                except OSError:
                    break
            os.close(self._output.fileno())
            return
        import select

        poll = select.poll()
        poll.register(1, select.POLLOUT)
        while (data := self.backlog.next_chunk()) and poll.poll(0):
            try:
                self.backlog.mark_written(os.write(1, data))
            except OSError:
                break
