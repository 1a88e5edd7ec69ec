"""Which process runs which revision, from the gossiped records of the members. Used by `service`. Does no I/O.

A record holds the process's name, its active revision and the time since when it is active. Names stay the same over
restarts, so a record of the restarted process replaces the one from before. A silent process stays listed for
`RETENTION_SECONDS`, because a process that is cut off goes on serving with its last revision; a process that leaves
the membership deliberately is removed at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

KIND = "configuration"  # of gossiped records
RETENTION_SECONDS = 86400.0  # of silent processes
MAX_PROCESSES = 4000
MAX_SILENT_NAMED = 20  # silent processes named in one status


class AdoptionRecord(msgspec.Struct, frozen=True, array_like=True):
    """The gossiped record of one process."""

    name: str
    number: int
    digest: bytes  # first four bytes of the revision's digest
    since: float  # Unix time
    started: float = 0.0  # Unix time: a late record from before a restart is ignored
    rejoins: int = 0  # changes the record after a rejoin, because gossip repeats a record only if its bytes differ


_decode = msgspec.msgpack.Decoder(AdoptionRecord).decode
_encode = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class TrackedProcess:
    """The last record of one process and the member that published it."""

    owner: str
    record: AdoptionRecord
    silent_since: float = 0.0  # 0 while the member is reachable


def pack(name: str, number: int, digest: bytes, since: float, started: float = 0.0, rejoins: int = 0) -> bytes:
    """Encode the record of this process."""
    return _encode(AdoptionRecord(name, number, digest[:4], round(since, 3), round(started, 3), rejoins))


class AdoptionTracker:
    """Counts processes by active revision and names the silent ones."""

    def __init__(self) -> None:
        self.processes: dict[str, TrackedProcess] = {}  # by name
        self.unreadable = 0  # records that could not be decoded

    def update(self, owner: str, value: bytes) -> None:
        """Take in a record published by the member `owner`."""
        try:
            record = _decode(value)
        except msgspec.MsgspecError:
            self.unreadable += 1
            return
        old = self.processes.get(record.name)
        if (
            old is None
            and len(self.processes) < MAX_PROCESSES
            or old is not None
            and old.record.started <= record.started
        ):
            self.processes[record.name] = TrackedProcess(owner, record)

    def remove(self, now: float, owner: str, has_left: bool) -> None:
        """Note that the member's record is gone: it left deliberately if `has_left`, otherwise it is only silent."""
        for name, process in list(self.processes.items()):
            if process.owner == owner:
                if has_left:
                    del self.processes[name]
                else:
                    process.silent_since = process.silent_since or now

    def expire(self, now: float) -> None:
        """Drop processes that have been silent for longer than `RETENTION_SECONDS`."""
        for name, process in list(self.processes.items()):
            if process.silent_since and now - process.silent_since > RETENTION_SECONDS:
                del self.processes[name]

    def status(self, now: float) -> dict[str, Any]:
        """Return the processes counted by revision, and the silent ones with their age in seconds, longest first."""
        self.expire(now)
        reachable: dict[int, int] = {}
        for process in self.processes.values():
            if not process.silent_since:
                reachable[process.record.number] = reachable.get(process.record.number, 0) + 1
        silent = sorted(
            (process.silent_since, name) for name, process in self.processes.items() if process.silent_since
        )
        return {
            "byRevision": {str(number): reachable[number] for number in sorted(reachable)},
            "silent": len(silent),
            "silentNamed": [
                {
                    "name": name,
                    "revision": self.processes[name].record.number,
                    "silentS": round(now - since, 1),
                    "revisionAgeS": round(now - self.processes[name].record.since, 1),
                }
                for since, name in silent[:MAX_SILENT_NAMED]
            ],
        }
