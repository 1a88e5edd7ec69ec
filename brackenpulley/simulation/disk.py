"""Simulated disk of a voter, held in memory, with the faults it can suffer: full, wiped, rolled back, power loss."""

from __future__ import annotations

from copy import deepcopy
from dataclasses import dataclass, field

from ..consensus.raft import Persist, PersistentState
from ..consensus.wire import Snapshot


@dataclass(slots=True)
class Disk:
    """Implements the disk interface of consensus/agreement.py in memory.

    `seal` is the number of the last write, kept apart from the disk as in consensus/store.py: it survives the process,
    but not a power loss of the host. None means that the number is unknown."""

    stored: PersistentState = field(default_factory=PersistentState)
    write_count: int = 0
    seal: int | None = None
    is_full: bool = False
    backups: list[tuple[PersistentState, int]] = field(default_factory=list)

    def load(self) -> tuple[PersistentState, bool]:
        """Returns a copy of the stored state, and whether no later write is known to be missing from it."""
        return deepcopy(self.stored), self.seal is not None and self.write_count >= self.seal

    def store(self, step: Persist) -> bool:
        """Writes one step. Returns False and changes nothing if the disk is full."""
        if self.is_full:
            return False
        stored = self.stored
        stored.term, stored.vote, stored.is_unverified, stored.log_floor = (
            step.term,
            step.vote,
            step.is_unverified,
            step.log_floor,
        )
        if step.snapshot is not None:
            stored.snapshot = step.snapshot
        stored.entries = [e for e in stored.entries if stored.snapshot.index < e.index < step.first_index]
        stored.entries += step.entries
        self.write_count += 1
        self.seal = self.write_count
        return True

    def back_up(self) -> None:
        """Takes a backup for a later `restore_backup`."""
        self.backups.append((deepcopy(self.stored), self.write_count))

    def restore_backup(self) -> None:
        """Replaces the state with the latest backup, or with an empty disk if there is none."""
        self.stored, self.write_count = (
            deepcopy(self.backups[-1]) if self.backups else (PersistentState(snapshot=Snapshot()), 0)
        )

    def wipe(self) -> None:
        """Replaces the state with an empty disk. The seal remains."""
        self.stored, self.write_count = PersistentState(snapshot=Snapshot()), 0

    def lose_power(self) -> None:
        """Simulates a power loss of the host: synced writes remain, the seal is lost."""
        self.seal = None
