"""Divides the memory that the process may use between client connections, their input, bodies that flow, and firms."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from pathlib import Path

# Kept free for everything that is not divided here: one in this many parts of the limit.
RESERVE_DIVISOR = 32
# What is divided is no less than one in this many parts of the limit, even where the program itself takes more.
LEAST_SHARE_DIVISOR = 8
SHARES = 4  # connections, their input, bodies, and firms get one each
CONNECTION_BYTES = 4096  # of an idle connection
FIRM_BYTES = 1024  # of the decision module's record of a firm
KERNEL_PAGE_BYTES = resource.getpagesize()


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """The shares: `connections` and `firms` are numbers, the others are in bytes."""

    connections: int
    firms: int
    input_bytes: int
    body_bytes: int


def read_resident_bytes() -> int:
    """Return the memory of this process that is resident; 0 where the system does not tell."""
    try:
        return int(Path("/proc/self/statm").read_text().split()[1]) * KERNEL_PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def divide(limit_bytes: int, resident_bytes: int) -> MemoryBudget:
    """Divide what the program, with `resident_bytes` before it serves, leaves of its limit."""
    left = limit_bytes - resident_bytes - limit_bytes // RESERVE_DIVISOR
    share = max(left, limit_bytes // LEAST_SHARE_DIVISOR) // SHARES
    return MemoryBudget(share // CONNECTION_BYTES, share // FIRM_BYTES, share, share)
