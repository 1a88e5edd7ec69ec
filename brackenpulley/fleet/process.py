"""Processes of a fleet: start, output, discovery after a restart of the supervisor, and watch for their end."""

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

# Environment variables of an instance.
FLEET_VARIABLE = "BRACKENPULLEY_FLEET"  # the run folder, by which an instance is found again
INSTANCE_VARIABLE = "BRACKENPULLEY_INSTANCE"  # its number
DIGEST_VARIABLE = "BRACKENPULLEY_MARK"  # digest of what it was started with
CLOCK_VARIABLE = "BRACKENPULLEY_CLOCK"  # offset in seconds from the monotonic clock to the time of day
PLACES_VARIABLE = "BRACKENPULLEY_PLACES"  # number of places of the whole fleet
# Working folder in which `-m brackenpulley` runs this same program.
PROGRAM_FOLDER = Path(__file__).resolve().parents[2]
MAX_READS = 16  # of 64 KiB, per pipe and event: an instance that never stops writing must not starve the others


class Descriptor:
    """A file descriptor that the loop can watch."""

    def __init__(self, number: int) -> None:
        self._number = number

    def fileno(self) -> int:
        """Return the descriptor; -1 once closed."""
        return self._number

    def close(self) -> None:
        """Close the descriptor once."""
        if self._number >= 0:
            os.close(self._number)
            self._number = -1


@dataclass(slots=True, frozen=True)
class FoundProcess:
    """A process that has a fleet's variables in its environment."""

    pid: int
    number: int
    start_digest: str


def find_processes(run: Path) -> list[FoundProcess]:
    """Return the running instances of the fleet in folder `run`, oldest first, whichever supervisor started them.

    They are recognised by their environment: a process has it from its first moment, so that none is lost wherever a
    supervisor is killed."""
    wanted, found = os.fsencode(str(run)), []
    for name in os.listdir("/proc"):
        if not name.isdigit():
            continue
        try:
            env = dict(part.partition(b"=")[::2] for part in Path(f"/proc/{name}/environ").read_bytes().split(b"\0"))
            state = Path(f"/proc/{name}/stat").read_text().rpartition(")")[2].split()
        except (OSError, IndexError):  # gone meanwhile, or another user's
            continue
        number = env.get(INSTANCE_VARIABLE.encode(), b"")
        if env.get(FLEET_VARIABLE.encode()) == wanted and number.isdigit() and state[0] not in "ZX":
            started = int(state[19])
            found.append(
                (started, FoundProcess(int(name), int(number), env.get(DIGEST_VARIABLE.encode(), b"").decode()))
            )
    return [one for _, one in sorted(found, key=lambda row: row[0])]


def describe_status(status: int) -> str:
    """Return a wait status as text: `exit 2` or `SIGKILL`."""
    if os.WIFSIGNALED(status):
        number = os.WTERMSIG(status)
        with contextlib.suppress(ValueError):
            return signal.Signals(number).name
        return f"signal {number}"
    return f"exit {os.waitstatus_to_exitcode(status)}"


class OutputPipe:
    """The named pipe that an instance writes its output to.

    It is named so that the next supervisor can go on reading it. Instances write without blocking, so that a supervisor
    that does not read cannot stall them."""

    def __init__(self, loop: Loop, path: Path, on_line: Callable[[str], None]) -> None:
        self.loop, self.path, self._on_line = loop, path, on_line
        self._lines = Splitter()
        if not path.is_fifo():
            path.unlink(missing_ok=True)
            os.mkfifo(path, 0o600)
        # Open for reading and writing: with a writer held here there is no end of file between two processes.
        self._pipe = Descriptor(os.open(path, os.O_RDWR | os.O_NONBLOCK | os.O_CLOEXEC))
        loop.register(self._pipe, READ, lambda events: self.read())

    def open_writer(self) -> int:
        """Return a descriptor for a process to write to; the caller closes it."""
        return os.open(self.path, os.O_WRONLY | os.O_NONBLOCK | os.O_CLOEXEC)

    def read(self, reads: int = MAX_READS) -> None:
        """Read what is there, at most `reads` times, and pass on the complete lines."""
        for _ in range(reads):
            try:
                data = os.read(self._pipe.fileno(), 65536)
            except OSError:
                return
            for line in self._lines.feed(data):
                self._on_line(line)

    def close(self) -> None:
        """Stop reading; the pipe stays in the folder."""
        if self._pipe.fileno() >= 0:
            self.loop.unregister(self._pipe)
            self._pipe.close()


class Process:
    """A running instance, watched by a pidfd (pidfd_open(2)), which also works for adopted processes."""

    def __init__(
        self,
        loop: Loop,
        pid: int,
        start_digest: str,
        child: subprocess.Popen[bytes] | None,
        on_end: Callable[[str], None],
    ) -> None:
        """Raises ProcessLookupError."""
        self.loop, self.pid, self.start_digest, self._child, self._on_end = loop, pid, start_digest, child, on_end
        self._watch = Descriptor(os.pidfd_open(pid))
        loop.register(self._watch, READ, self._handle_event)

    @property
    def is_adopted(self) -> bool:
        """Whether an earlier supervisor started it, so that it is no child of this process."""
        return self._child is None

    def _handle_event(self, events: int) -> None:
        if self._child is None:
            description = "ended"
        else:
            _, status = os.waitpid(self.pid, os.WNOHANG)
            self._child.returncode = os.waitstatus_to_exitcode(status)
            description = describe_status(status)
        self.close()
        self._on_end(description)

    def send_signal(self, number: int) -> None:
        """Send signal `number`; a process that has ended is ignored."""
        with contextlib.suppress(ProcessLookupError, ValueError):
            signal.pidfd_send_signal(self._watch.fileno(), number)

    def close(self) -> None:
        """Stop watching the process; it keeps running."""
        if self._watch.fileno() >= 0:
            self.loop.unregister(self._watch)
            self._watch.close()


def spawn(env: Mapping[str, str], output: OutputPipe) -> subprocess.Popen[bytes]:
    """Start `serve` in a session of its own, out of reach of the supervisor's terminal signals. Raises OSError."""
    writer = output.open_writer()
    try:
        return subprocess.Popen(
            [sys.executable, "-m", "brackenpulley", "serve"],
            env=dict(env),
            cwd=PROGRAM_FOLDER,
            stdin=subprocess.DEVNULL,
            stdout=writer,
            stderr=writer,
            start_new_session=True,
        )
    finally:
        os.close(writer)
