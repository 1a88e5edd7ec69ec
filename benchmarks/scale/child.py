"""Child processes of the scale benchmark and the line protocol between them and the parent.

Each request and each response is one line of JSON, on standard input and output of the child. The child exits when
its standard input is closed, so that no process is left behind when the parent is killed.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

import structlog

from brackenpulley.metrics import Metrics
from brackenpulley.net.loop import READ, Loop
from brackenpulley.serve import wall_clock

ROOT = Path(__file__).resolve().parents[2]
READ_SIZE_BYTES = 1 << 20


class NullLogger:
    """Logger that discards everything but exceptions, which it prints to standard error."""

    def info(self, event: str, **fields: Any) -> None:
        """Discards the event."""
        ...

    def error(self, event: str, **fields: Any) -> None:
        """Discards the event."""
        ...

    def exception(self, event: str, **fields: Any) -> None:
        """Prints the event with the exception being handled."""
        structlog.PrintLogger(sys.stderr).msg(f"{event} {fields} {sys.exc_info()[1]!r}")


class LineReader:
    """Reads lines of JSON from a file descriptor registered with the event loop."""

    def __init__(self, loop: Loop, descriptor: int, on_line: Callable[[Any], None], on_end: Callable[[], None]) -> None:
        self.loop, self.descriptor, self.on_line, self.on_end, self.buffer = loop, descriptor, on_line, on_end, b""
        os.set_blocking(descriptor, False)
        loop.register(self, READ, self._readable)

    def fileno(self) -> int:
        """Returns the file descriptor."""
        return self.descriptor

    def _readable(self, events: int) -> None:
        try:
            data = os.read(self.descriptor, READ_SIZE_BYTES)
        except BlockingIOError:
            return
        if not data:
            self.loop.unregister(self)
            self.on_end()
            return
        self.buffer += data
        *lines, self.buffer = self.buffer.split(b"\n")
        for line in lines:
            self.on_line(json.loads(line))


class Role:
    """Base class of what a child process runs. A request `name` with arguments calls the method `ask_<name>`."""

    def __init__(self, options: dict[str, Any]) -> None:
        self.options, self.metrics = options, Metrics()
        self.loop = Loop(wall_clock(), self.metrics, NullLogger())

    def ask_longest(self) -> int:
        """Returns the longest turn of the event loop since the previous call, in microseconds."""
        return self.metrics.counts.pop("longest_turn_us", 0)

    def run(self) -> None:
        """Serves requests until standard input is closed. Standard output is reserved for the responses."""

        def handle(line: Any) -> None:
            number, name, arguments = line
            answer = getattr(self, "ask_" + name)(**arguments)
            if number:
                output.write(json.dumps([number, answer]).encode() + b"\n")
                output.flush()

        output = os.fdopen(os.dup(1), "wb")
        os.dup2(2, 1)
        LineReader(self.loop, 0, handle, self.loop.stop)
        self.loop.run()


class Child:
    """Starts a child process and is the parent's end of its line protocol."""

    def __init__(
        self, loop: Loop, folder: Path, kind: str, name: str, options: dict[str, Any], descriptors: tuple[int, ...] = ()
    ) -> None:
        self.loop, self.kind, self.name = loop, kind, name
        self.answers: dict[int, Any] = {}
        self.pending: deque[int] = deque()
        self.number = 0
        self.has_exited = False
        self.error_path = folder / f"{name}.txt"
        options_path = folder / f"{name}.json"
        options_path.write_text(json.dumps(options))
        with open(self.error_path, "wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.scale.roles", kind, str(options_path)],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
                pass_fds=descriptors,
            )
        assert self.process.stdout is not None
        LineReader(loop, self.process.stdout.fileno(), self._on_line, self._on_end)

    def _on_line(self, line: Any) -> None:
        self.answers[line[0]] = line[1]

    def _on_end(self) -> None:
        self.has_exited = True

    def notify(self, name: str, /, **arguments: Any) -> None:
        """Sends a request that gets no response."""
        self._write(0, name, arguments)

    def submit(self, name: str, /, **arguments: Any) -> None:
        """Sends a request without waiting; `collect` returns the responses in the order of the requests."""
        self.number += 1
        self.pending.append(self.number)
        self._write(self.number, name, arguments)

    def _write(self, number: int, name: str, arguments: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps([number, name, arguments]).encode() + b"\n")
        self.process.stdin.flush()

    def ask(self, name: str, /, timeout_s: float = 60.0, **arguments: Any) -> Any:
        """Sends a request and returns its response while the event loop keeps running.

        Raises RuntimeError if the child exits or does not answer within `timeout_s` seconds.
        """
        self.submit(name, **arguments)
        return self.collect(name, timeout_s)

    def collect(self, name: str, timeout_s: float = 60.0) -> Any:
        """Returns the response to the oldest submitted request; raises RuntimeError as `ask` does."""
        number, deadline = self.pending.popleft(), time.monotonic() + timeout_s
        while number not in self.answers:
            if self.has_exited or time.monotonic() > deadline:
                raise RuntimeError(f"{self.name}: no answer to request {name}: {self.error_path.read_text()[-1500:]}")
            self.loop.run_once(0.02)
        return self.answers.pop(number)

    def close(self) -> None:
        """Closes the child's standard input and waits for its exit; kills it after 5 s."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.close()
        try:
            self.process.wait(5.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


def measure_process(pid: int) -> tuple[float, float]:
    """Returns the CPU time in seconds that a process has used and its resident memory in MB."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK"), int(stat[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
