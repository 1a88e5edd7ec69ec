"""A restart of many, a few at a time, that stops where one does not come back. No I/O.

An instance is through once a new process of it has been ready for the notice's time, so that the front uses it again
before the next ones go."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .instance import ALIVE, CRASHED, READY, WAITING, Instance


def spaced(numbers: list[int], at_once: int) -> list[int]:
    """An order in which those that are away together are far from each other: a firm's set is neighbouring numbers
    (PROTOCOL, spread and first), and a set that is away as a whole leaves its firm without an ingress."""
    stride = max(1, len(numbers) // at_once)
    return [numbers[place] for offset in range(stride) for place in range(offset, len(numbers), stride)]


@dataclass(slots=True)
class Rolling:
    left: list[int]  # not touched yet, in order
    at_once: int
    notice: float  # s
    began: float
    under_way: dict[int, int] = field(default_factory=dict)  # number: the life that was ended
    done: list[int] = field(default_factory=list)
    failed: str = ""
    ended: float = 0.0

    @property
    def over(self) -> bool:
        return bool(self.ended)

    def step(self, now: float, look: Callable[[int], Instance]) -> list[int]:
        """Those to restart now. `look` raises KeyError for one that is no longer there."""
        if self.over:
            return []
        for number, life in list(self.under_way.items()):
            try:
                one = look(number)
            except KeyError:  # scaled away meanwhile
                del self.under_way[number]
                continue
            if one.state in (WAITING, CRASHED) or one.generation > life + 1:
                self.failed = self.failed or f"instance {number}: {one.reason or 'ended again'}"
                del self.under_way[number]
            elif one.generation == life + 1 and one.state == READY and now - one.ready_at >= self.notice:
                del self.under_way[number]
                self.done.append(number)
        if self.failed or not self.left:
            if not self.under_way:
                self.ended = now
            return []
        begin = []
        while self.left and len(self.under_way) < self.at_once:
            number = self.left.pop(0)
            try:
                one = look(number)
            except KeyError:
                continue
            if one.state not in ALIVE:  # nothing runs there that could be replaced
                continue
            self.under_way[number] = one.generation
            begin.append(number)
        return begin

    def status(self) -> dict[str, object]:
        return {
            "underWay": sorted(self.under_way),
            "done": self.done,
            "left": self.left,
            "failed": self.failed or None,
            "over": self.over,
        }
