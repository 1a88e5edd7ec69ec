"""A process of the run and its two ends: one JSON line in for each question, one out for each answer.

The child ends when its standard input does, so that nothing is left where the run itself is killed."""

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
CHUNK = 1 << 20


class Silent:
    """A log that nobody reads."""

    def info(self, event: str, **more: Any) -> None: ...

    def error(self, event: str, **more: Any) -> None: ...

    def exception(self, event: str, **more: Any) -> None:
        structlog.PrintLogger(sys.stderr).msg(f"{event} {more} {sys.exc_info()[1]!r}")


class Lines:
    """A descriptor that brings lines."""

    def __init__(self, loop: Loop, number: int, heard: Callable[[Any], None], ended: Callable[[], None]) -> None:
        self.loop, self.number, self.heard, self.ended, self.data = loop, number, heard, ended, b""
        os.set_blocking(number, False)
        loop.register(self, READ, self._readable)

    def fileno(self) -> int:
        return self.number

    def _readable(self, events: int) -> None:
        try:
            data = os.read(self.number, CHUNK)
        except BlockingIOError:
            return
        if not data:
            self.loop.unregister(self)
            self.ended()
            return
        self.data += data
        *whole, self.data = self.data.split(b"\n")
        for line in whole:
            self.heard(json.loads(line))


class Role:
    """What a child does. A question is a method's name with `ask_` before it, and the words that it takes."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.told, self.metrics = told, Metrics()
        self.loop = Loop(wall_clock(), self.metrics, Silent())

    def ask_longest(self) -> int:
        """us of the longest turn since this was asked last."""
        return self.metrics.counts.pop("longest_turn_us", 0)

    def run(self) -> None:
        def heard(line: Any) -> None:
            number, name, words = line
            answer = getattr(self, "ask_" + name)(**words)
            if number:
                out.write(json.dumps([number, answer]).encode() + b"\n")
                out.flush()

        out = os.fdopen(os.dup(1), "wb")
        os.dup2(2, 1)
        Lines(self.loop, 0, heard, self.loop.stop)
        self.loop.run()


class Child:
    """The run's end of it."""

    def __init__(
        self, loop: Loop, folder: Path, kind: str, name: str, told: dict[str, Any], descriptors: tuple[int, ...] = ()
    ) -> None:
        self.loop, self.kind, self.name = loop, kind, name
        self.answers: dict[int, Any] = {}
        self.asked: deque[int] = deque()
        self.number = 0
        self.ended = False
        self.errors = folder / f"{name}.txt"
        file = folder / f"{name}.json"
        file.write_text(json.dumps(told))
        with open(self.errors, "wb") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.scale.roles", kind, str(file)],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
                pass_fds=descriptors,
            )
        assert self.process.stdout is not None
        Lines(loop, self.process.stdout.fileno(), self._heard, self._over)

    def _heard(self, line: Any) -> None:
        self.answers[line[0]] = line[1]

    def _over(self) -> None:
        self.ended = True

    def send(self, name: str, /, **words: Any) -> None:
        """Nobody waits for an answer."""
        self._write(0, name, words)

    def tell(self, name: str, /, **words: Any) -> None:
        """Its answer is waited for by `answer`, in the order of the questions."""
        self.number += 1
        self.asked.append(self.number)
        self._write(self.number, name, words)

    def _write(self, number: int, name: str, words: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps([number, name, words]).encode() + b"\n")
        self.process.stdin.flush()

    def ask(self, name: str, /, patience: float = 60.0, **words: Any) -> Any:
        """The run's loop goes on meanwhile. Raises RuntimeError where no answer comes."""
        self.tell(name, **words)
        return self.answer(name, patience)

    def answer(self, name: str, patience: float = 60.0) -> Any:
        number, until = self.asked.popleft(), time.monotonic() + patience
        while number not in self.answers:
            if self.ended or time.monotonic() > until:
                raise RuntimeError(f"{self.name}: no answer to {name}: {self.errors.read_text()[-1500:]}")
            self.loop.run_once(0.02)
        return self.answers.pop(number)

    def close(self) -> None:
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.close()
        try:
            self.process.wait(5.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.process.stdout.close()


def used(pid: int) -> tuple[float, float]:
    """s of CPU so far, and MB resident."""
    text = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(text[11]) + int(text[12])) / os.sysconf("SC_CLK_TCK"), int(text[21]) * os.sysconf("SC_PAGE_SIZE") / 1e6
