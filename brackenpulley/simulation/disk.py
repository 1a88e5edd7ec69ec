"""A voter's disk in memory, and what may befall it: full, lost, an older copy, a host that loses power."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass, field

from ..consensus.raft import Persist, PersistentState
from ..consensus.wire import Snapshot


@dataclass(slots=True)
class Disk:
    """`seal` stands apart from it, as in consensus/store.py: it outlives the process, and not the host's power."""

    kept: PersistentState = field(default_factory=PersistentState)
    steps: int = 0
    seal: int | None = None
    full: bool = False
    copies: list[tuple[PersistentState, int]] = field(default_factory=list)

    def load(self) -> tuple[PersistentState, bool]:
        return deepcopy(self.kept), self.seal is not None and self.steps >= self.seal

    def store(self, step: Persist) -> bool:
        if self.full:
            return False
        kept = self.kept
        kept.term, kept.vote, kept.is_unverified, kept.log_floor = (
            step.term,
            step.vote,
            step.is_unverified,
            step.log_floor,
        )
        if step.snapshot is not None:
            kept.snapshot = step.snapshot
        kept.entries = [e for e in kept.entries if kept.snapshot.index < e.index < step.first_index]
        kept.entries += step.entries
        self.steps += 1
        self.seal = self.steps
        return True

    def copy(self) -> None:
        self.copies.append((deepcopy(self.kept), self.steps))

    def older(self) -> None:
        """A copy is put back; without one, nothing is on it."""
        self.kept, self.steps = deepcopy(self.copies[-1]) if self.copies else (PersistentState(snapshot=Snapshot()), 0)

    def lose(self) -> None:
        self.kept, self.steps = PersistentState(snapshot=Snapshot()), 0

    def power(self) -> None:
        """The host went down: what was synced stands, the seal says nothing any more."""
        self.seal = None
