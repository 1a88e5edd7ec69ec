"""Reload of the fleet description at run time, applied by all instances or by none. Used by the supervisor."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from ..address import ConfigError
from .files import SharedConfig
from .spec import load

if TYPE_CHECKING:
    from .supervisor import Supervisor

RELOAD_TIMEOUT_SECONDS = 5.0  # for the instances to report that they applied their files


class Reload:
    """One reload: the description is validated as a whole, then each instance reads its new files.

    If an instance fails or does not report in time, all return to the old files. What an instance reads only at its
    start waits for a restart; until then the instance is shown as old."""

    def __init__(self, supervisor: Supervisor, old: SharedConfig, new: SharedConfig) -> None:
        self._supervisor, self._old, self._new = supervisor, old, new
        self.deadline = supervisor.loop.clock() + RELOAD_TIMEOUT_SECONDS
        self.pending: dict[int, int] = {}  # instance number -> pid of the process that was signalled
        self.failure = ""

    @classmethod
    def begin(cls, supervisor: Supervisor) -> Reload:
        """Validate the description, write the files and signal the instances.

        Raises ConfigError, before any instance was signalled."""
        spec = load(supervisor.path)
        current = supervisor.spec.fleet
        for name in ("name", "run"):
            if getattr(spec.fleet, name) != getattr(current, name):
                raise ConfigError(f"fleet.{name}: {getattr(spec.fleet, name)!r} cannot be changed in service")
        reload = cls(supervisor, supervisor.shared_config, SharedConfig.read(spec))
        reload._apply(reload._new)
        for number, slot in supervisor.slots.items():
            if slot.process is not None and slot.instance.is_notified_ready:
                reload.pending[number] = slot.instance.pid
                slot.process.send_signal(signal.SIGHUP)
        return reload

    def _apply(self, shared_config: SharedConfig) -> None:
        """Write the files of all running instances. Raises ConfigError and restores the old files if that fails."""
        supervisor = self._supervisor
        running = [number for number, slot in supervisor.slots.items() if slot.process is not None]
        try:
            for number in running:
                if number < len(shared_config.listen_addresses):
                    shared_config.write_instance_files(number, supervisor.spec.fleet.instances)
        except OSError as error:
            for number in running:
                try:
                    self._old.write_instance_files(number, supervisor.spec.fleet.instances)
                except OSError:
                    break  # each file is whole, old or new, and no instance was signalled
            raise ConfigError(f"fleet.run: {error.strerror or error}") from None
        supervisor.shared_config = shared_config

    def record_result(self, number: int, outcome: str) -> None:
        """Record the X_RELOAD notification of an instance: `ok` or an error."""
        if self.pending.pop(number, None) is not None and outcome != "ok":
            self.failure = self.failure or f"instance {number}: {outcome}"

    def step(self, now: float) -> bool:
        """Complete or revert the reload once its outcome is known. Returns whether it is over."""
        supervisor = self._supervisor
        for number, pid in list(self.pending.items()):
            slot = supervisor.slots.get(number)
            if slot is None or slot.instance.pid != pid:  # it ended; its next process reads the new file
                del self.pending[number]
        if self.pending and now >= self.deadline:
            self.failure = (
                self.failure or f"instance {min(self.pending)}: did not answer within {RELOAD_TIMEOUT_SECONDS:g} s"
            )
        if self.pending and not self.failure:
            return False
        if self.failure:
            supervisor.metrics.add("reloads_failed")
            supervisor.log.error("reload", error=self.failure, taken="by nobody")
            try:
                self._apply(self._old)
            except ConfigError as error:
                supervisor.log.error("reload", error=str(error))
            for slot in supervisor.slots.values():
                if slot.process is not None:
                    slot.process.send_signal(signal.SIGHUP)
            supervisor.reload_error = self.failure
            return True
        supervisor.metrics.add("reloads")
        supervisor.reload_error = ""
        supervisor.stream.reopen()
        if self._new.spec.fleet.instances != supervisor.saved_state.described:
            supervisor.saved_state.described = self._new.spec.fleet.instances
            supervisor.scale(supervisor.saved_state.described)
        supervisor.log.info(
            "reloaded",
            old=[
                number
                for number, slot in sorted(supervisor.slots.items())
                if slot.process is not None and slot.process.start_digest != supervisor.shared_config.start_digest
            ],
        )
        return True
