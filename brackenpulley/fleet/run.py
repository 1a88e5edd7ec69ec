"""Builds and runs a supervisor, for the command `fleet run`."""

from __future__ import annotations

import signal
import time

from ..address import ConfigError
from ..metrics import Metrics
from ..net.loop import Loop
from ..serve import make_logger
from .files import SharedConfig
from .lines import LineHistory
from .spec import Fleet
from .stream import Stream
from .supervisor import Supervisor


class Sink:
    """File-like object that writes the supervisor's own log lines to the stream of its instances' lines."""

    def __init__(self, stream: Stream, history: LineHistory) -> None:
        self._stream, self._history = stream, history

    def write(self, text: str) -> None:
        """Append each non-empty line of `text`."""
        for line in text.splitlines():
            if line:
                self._history.add(-1, line)
                self._stream.put(line)

    def flush(self) -> None:
        """Do nothing: the stream writes on its own."""
        pass


def supervise(path: str, spec: Fleet) -> int:
    """Run the fleet until it has ended and return the exit status. Raises ConfigError before anything is started."""
    shared_config = SharedConfig.read(spec)
    metrics = Metrics()
    loop = Loop(time.monotonic, metrics, None)
    try:
        stream = Stream(loop, metrics, spec.log.path)
    except OSError as error:
        raise ConfigError(f"log.path: {spec.log.path}: {error.strerror}") from None
    history = LineHistory(spec.log.keep)
    loop.log = log = make_logger(Sink(stream, history))
    try:
        supervisor = Supervisor(path, shared_config, loop, log, stream, history)
    except OSError as error:
        raise ConfigError(f"fleet.run: {spec.fleet.run}: {error.strerror}") from None
    loop.add_signal_handler(signal.SIGTERM, supervisor.end)
    loop.add_signal_handler(signal.SIGINT, supervisor.end)
    loop.add_signal_handler(signal.SIGHUP, supervisor.reload_by_signal)
    try:
        supervisor.start()
        loop.run()
    finally:
        supervisor.close()
    return 0
