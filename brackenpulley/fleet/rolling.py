"""Rolling restart: a few instances at a time, ended early if one does not become ready again. No I/O.

An instance counts as restarted once its new process has been ready for the notice period, so that the front uses it
again before the next ones stop."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .instance import ALIVE, CRASHED, READY, WAITING, Instance


def space_out(numbers: list[int], at_once: int) -> list[int]:
    """Return an order in which instances that are down together have distant numbers.

    A firm is assigned to neighbouring numbers (`spread` and `first` of the protocol); if all of these are down at once,
    the firm has no ingress."""
    stride = max(1, len(numbers) // at_once)
    return [numbers[position] for offset in range(stride) for position in range(offset, len(numbers), stride)]


@dataclass(slots=True)
class RollingRestart:
    """Progress of one rolling restart."""

    remaining: list[int]  # not restarted yet, in order
    at_once: int
    notice_seconds: float
    began: float
    in_progress: dict[int, int] = field(default_factory=dict)  # number -> generation that was stopped
    restarted: list[int] = field(default_factory=list)
    failure: str = ""
    ended: float = 0.0

    @property
    def is_over(self) -> bool:
        """Whether the restart is complete or has failed."""
        return bool(self.ended)

    def step(self, now: float, get_instance: Callable[[int], Instance]) -> list[int]:
        """Return the numbers to restart now. `get_instance` raises KeyError for an instance that was scaled away."""
        if self.is_over:
            return []
        for number, generation in list(self.in_progress.items()):
            try:
                instance = get_instance(number)
            except KeyError:  # scaled away in the meantime
                del self.in_progress[number]
                continue
            if instance.state in (WAITING, CRASHED) or instance.generation > generation + 1:
                self.failure = self.failure or f"instance {number}: {instance.reason or 'ended again'}"
                del self.in_progress[number]
            elif (
                instance.generation == generation + 1
                and instance.state == READY
                and now - instance.ready_at >= self.notice_seconds
            ):
                del self.in_progress[number]
                self.restarted.append(number)
        if self.failure or not self.remaining:
            if not self.in_progress:
                self.ended = now
            return []
        to_restart = []
        while self.remaining and len(self.in_progress) < self.at_once:
            number = self.remaining.pop(0)
            try:
                instance = get_instance(number)
            except KeyError:
                continue
            if instance.state not in ALIVE:  # no process to replace
                continue
            self.in_progress[number] = instance.generation
            to_restart.append(number)
        return to_restart

    def status(self) -> dict[str, object]:
        """Return the progress, for the control API."""
        return {
            "underWay": sorted(self.in_progress),
            "done": self.restarted,
            "left": self.remaining,
            "failed": self.failure or None,
            "over": self.is_over,
        }
