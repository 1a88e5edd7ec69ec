"""`fleet run`: the parts of a supervisor put together."""

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
    """The supervisor's own lines, into the same stream as its instances'."""

    def __init__(self, stream: Stream, history: LineHistory) -> None:
        self._stream, self._history = stream, history

    def write(self, text: str) -> None:
        for line in text.splitlines():
            if line:
                self._history.add(-1, line)
                self._stream.put(line)

    def flush(self) -> None:
        pass


def supervise(path: str, spec: Fleet) -> int:
    """Until the fleet has ended. Raises ConfigError before anything was started."""
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
