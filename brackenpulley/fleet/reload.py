"""A description taken anew in service: all instances, or none."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from ..address import ConfigError
from .files import SharedConfig
from .spec import load

if TYPE_CHECKING:
    from .supervisor import Supervisor

PATIENCE = 5.0  # s for each instance to say that it took its file


class Reload:
    """Checked whole first; then each instance reads its file. One that can't, or does not say so in time, takes the
    others back with it. What an instance takes only at its start waits for a restart, and is shown as old till then."""

    def __init__(self, supervisor: Supervisor, old: SharedConfig, new: SharedConfig) -> None:
        self._supervisor, self._old, self._new = supervisor, old, new
        self.until = supervisor.loop.clock() + PATIENCE
        self.waits: dict[int, int] = {}  # instance: the process that was asked
        self.failed = ""

    @classmethod
    def begun(cls, supervisor: Supervisor) -> Reload:
        """Raises ConfigError; then nobody was asked anything."""
        spec = load(supervisor.path)
        held = supervisor.spec.fleet
        for name in ("name", "run"):
            if getattr(spec.fleet, name) != getattr(held, name):
                raise ConfigError(f"fleet.{name}: {getattr(spec.fleet, name)!r} cannot be changed in service")
        self = cls(supervisor, supervisor.shared_config, SharedConfig.read(spec))
        self._put(self._new)
        for number, place in supervisor.places.items():
            if place.process is not None and place.one.is_notified_ready:
                self.waits[number] = place.one.pid
                place.process.send_signal(signal.SIGHUP)
        return self

    def _put(self, shared_config: SharedConfig) -> None:
        """Raises ConfigError where the disk does not take it; then the old files stand."""
        supervisor = self._supervisor
        running = [number for number, place in supervisor.places.items() if place.process is not None]
        try:
            for number in running:
                if number < len(shared_config.listen_addresses):
                    shared_config.write_instance_files(number, supervisor.spec.fleet.instances)
        except OSError as error:
            for number in running:
                try:
                    self._old.write_instance_files(number, supervisor.spec.fleet.instances)
                except OSError:
                    break  # its file is the old one or the new one, whole; SIGHUP was sent to nobody
            raise ConfigError(f"fleet.run: {error.strerror or error}") from None
        supervisor.shared_config = shared_config

    def heard(self, number: int, said: str) -> None:
        if self.waits.pop(number, None) is not None and said != "ok":
            self.failed = self.failed or f"instance {number}: {said}"

    def step(self, now: float) -> bool:
        """Whether it is over."""
        s = self._supervisor
        for number, pid in list(self.waits.items()):
            place = s.places.get(number)
            if place is None or place.one.pid != pid:  # it ended: its next process reads the new file
                del self.waits[number]
        if self.waits and now >= self.until:
            self.failed = self.failed or f"instance {min(self.waits)}: did not answer within {PATIENCE:g} s"
        if self.waits and not self.failed:
            return False
        if self.failed:
            s.metrics.add("reloads_failed")
            s.log.error("reload", error=self.failed, taken="by nobody")
            try:
                self._put(self._old)
            except ConfigError as error:
                s.log.error("reload", error=str(error))
            for place in s.places.values():
                if place.process is not None:
                    place.process.send_signal(signal.SIGHUP)
            s.reloaded = self.failed
            return True
        s.metrics.add("reloads")
        s.reloaded = ""
        s.stream.reopen()
        if self._new.spec.fleet.instances != s.state.described:
            s.state.described = self._new.spec.fleet.instances
            s.scale(s.state.described)
        s.log.info(
            "reloaded",
            old=[
                n
                for n, place in sorted(s.places.items())
                if place.process is not None and place.process.start_digest != s.shared_config.start_digest
            ],
        )
        return True
