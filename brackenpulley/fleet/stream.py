"""The one stream of log lines: to standard output, or to a file. Nobody waits for it: see `lines.Backlog`."""

from __future__ import annotations

import os
from typing import Any

from ..metrics import Metrics
from ..net.loop import WRITE, Loop
from .lines import Backlog
from .process import Descriptor

AGAIN = 1.0  # s until a file that took nothing is tried again


class Stream:
    """Owns the file where there is one; standard output stays open."""

    def __init__(self, loop: Loop, metrics: Metrics, path: str = "") -> None:
        """Raises OSError where the file cannot be opened at the start."""
        self.loop, self.metrics, self.path = loop, metrics, path
        self.backlog = Backlog()
        self.failing = ""
        self._out = Descriptor(1)
        self._waits = self._timed = self._closed = False
        if path:
            self._out = Descriptor(self._opened())

    def _opened(self) -> int:
        return os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o640)

    def reopen(self) -> None:
        """The file has been moved away (logrotate): on into a new one."""
        if self.path:
            fresh = self._opened()
            os.close(self._out.fileno())
            self._out = Descriptor(fresh)

    def put(self, text: str) -> None:
        if not self._closed:
            self.backlog.put(text)
            if not self._waits and not self._timed:
                self._pump(0)

    def _pump(self, events: int) -> None:
        """A pipe that is not full takes a chunk without waiting, and is asked again; a file takes all."""
        while data := self.backlog.next_chunk():
            if not self.path and not events and not self._wait():
                return
            try:
                self.backlog.mark_written(os.write(self._out.fileno(), data))
                self.failing = ""
            except OSError as error:  # a full disk, or a reader that is gone: the lines wait, the oldest fall out
                self.failing = error.strerror or str(error)
                self.metrics.add("log_writes_failed")
                self._rest()
                self._later()
                return
            events = 0
        self._rest()

    def _wait(self) -> bool:
        """True where the output can't be waited for, so that it may be written to at once: a regular file."""
        if not self._waits:
            try:
                self.loop.register(self._out, WRITE, self._pump)
            except (OSError, ValueError):
                return True
            self._waits = True
        return False

    def _rest(self) -> None:
        if self._waits:
            self._waits = False
            self.loop.unregister(self._out)

    def _later(self) -> None:
        self._timed = True

        def again() -> None:
            self._timed = False
            if not self._closed:
                self._pump(0)

        self.loop.call_in(AGAIN, again)

    def status(self) -> dict[str, Any]:
        return {
            "to": self.path or "standard output",
            "waiting": len(self.backlog),
            "dropped": self.backlog.dropped,
            "failing": self.failing or None,
        }

    def close(self) -> None:
        """What waits still goes out where that needs no waiting."""
        if self._closed:
            return
        self._rest()
        self._closed = True
        if self.path:
            while data := self.backlog.next_chunk():
                try:
                    self.backlog.mark_written(os.write(self._out.fileno(), data))
                except OSError:
                    break
            os.close(self._out.fileno())
            return
        import select

        poll = select.poll()
        poll.register(1, select.POLLOUT)
        while (data := self.backlog.next_chunk()) and poll.poll(0):
            try:
                self.backlog.mark_written(os.write(1, data))
            except OSError:
                break
