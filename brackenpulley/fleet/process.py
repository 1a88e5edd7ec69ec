"""Processes of a fleet: started, found again after their supervisor's end, watched to theirs."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

from ..net.loop import READ, Loop
from .lines import Splitter

FLEET, PLACE, MARK = "BRACKENPULLEY_FLEET", "BRACKENPULLEY_INSTANCE", "BRACKENPULLEY_MARK"
CLOCK, PLACES = "BRACKENPULLEY_CLOCK", "BRACKENPULLEY_PLACES"
HOME = Path(__file__).resolve().parents[2]  # where `-m brackenpulley` finds this very program
READS = 16  # of a pipe in a turn, 64 KiB each: one that never stops writing must not keep the others waiting


class Descriptor:
    """A file descriptor that the loop can watch."""

    def __init__(self, number: int) -> None:
        self._number = number

    def fileno(self) -> int:
        return self._number

    def close(self) -> None:
        if self._number >= 0:
            os.close(self._number)
            self._number = -1


@dataclass(slots=True, frozen=True)
class Found:
    """A process that carries a fleet's mark in its environment."""

    pid: int
    place: int
    mark: str


def search(run: Path) -> list[Found]:
    """Instances of the fleet in this folder, whoever started them, oldest first. The environment is the record: a
    process has it from its first instant, so that no end of a supervisor can leave one unrecorded."""
    wanted, found = os.fsencode(str(run)), []
    for name in os.listdir("/proc"):
        if not name.isdigit():
            continue
        try:
            env = dict(part.partition(b"=")[::2] for part in Path(f"/proc/{name}/environ").read_bytes().split(b"\0"))
            state = Path(f"/proc/{name}/stat").read_text().rpartition(")")[2].split()
        except (OSError, IndexError):  # gone meanwhile, or another user's
            continue
        place = env.get(PLACE.encode(), b"")
        if env.get(FLEET.encode()) == wanted and place.isdigit() and state[0] not in "ZX":
            started = int(state[19])
            found.append((started, Found(int(name), int(place), env.get(MARK.encode(), b"").decode())))
    return [one for _, one in sorted(found, key=lambda row: row[0])]


def how(status: int) -> str:
    """A wait status in words."""
    if os.WIFSIGNALED(status):
        number = os.WTERMSIG(status)
        with contextlib.suppress(ValueError):
            return signal.Signals(number).name
        return f"signal {number}"
    return f"exit {os.waitstatus_to_exitcode(status)}"


class Output:
    """An instance's named pipe. Named, so that a later supervisor reads on where this one ended; opened by the
    instance for writing without waiting, so that a supervisor that does not read holds nobody up."""

    def __init__(self, loop: Loop, path: Path, heard: Callable[[str], None]) -> None:
        self.loop, self.path, self._heard = loop, path, heard
        self._lines = Splitter()
        if not path.is_fifo():
            path.unlink(missing_ok=True)
            os.mkfifo(path, 0o600)
        # For reading and writing: with a writer of our own there is no end of file between two instances.
        self._pipe = Descriptor(os.open(path, os.O_RDWR | os.O_NONBLOCK | os.O_CLOEXEC))
        loop.register(self._pipe, READ, lambda events: self.read())

    def writer(self) -> int:
        """A descriptor for a process to write to; the caller closes it."""
        return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)

    def read(self, reads: int = READS) -> None:
        for _ in range(reads):
            try:
                data = os.read(self._pipe.fileno(), 65536)
            except OSError:
                return
            for line in self._lines.feed(data):
                self._heard(line)

    def close(self) -> None:
        if self._pipe.fileno() >= 0:
            self.loop.unregister(self._pipe)
            self._pipe.close()


class Process:
    """Watched by its pidfd (pidfd_open(2)), which also works for one that is no child of ours."""

    def __init__(
        self, loop: Loop, pid: int, mark: str, child: subprocess.Popen[bytes] | None, ended: Callable[[str], None]
    ) -> None:
        """Raises ProcessLookupError."""
        self.loop, self.pid, self.mark, self._child, self._ended = loop, pid, mark, child, ended
        self._watch = Descriptor(os.pidfd_open(pid))
        loop.register(self._watch, READ, self._event)

    @property
    def adopted(self) -> bool:
        return self._child is None

    def _event(self, events: int) -> None:
        if self._child is None:
            said = "ended"
        else:
            _, status = os.waitpid(self.pid, os.WNOHANG)
            self._child.returncode = os.waitstatus_to_exitcode(status)
            said = how(status)
        self.close()
        self._ended(said)

    def send(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError, ValueError):
            signal.pidfd_send_signal(self._watch.fileno(), number)

    def close(self) -> None:
        """No longer watched; it goes on."""
        if self._watch.fileno() >= 0:
            self.loop.unregister(self._watch)
            self._watch.close()


def spawn(env: Mapping[str, str], output: Output) -> subprocess.Popen[bytes]:
    """`serve` in a session of its own: what a terminal sends to the supervisor is not sent to it. Raises OSError."""
    writer = output.writer()
    try:
        return subprocess.Popen(
            [sys.executable, "-m", "brackenpulley", "serve"],
            env=dict(env),
            cwd=HOME,
            stdin=subprocess.DEVNULL,
            stdout=writer,
            stderr=writer,
            start_new_session=True,
        )
    finally:
        os.close(writer)
