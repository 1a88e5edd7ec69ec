"""What a request asks for, and how the fault proxy treats its answer and its body. Drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

LONG_BYTES = 65536  # longer answers are timed by their first byte (DAYS)
FRAMINGS = ("length", "chunked", "close")
CLASSES = ("load-sim", "submit-result", "measure-once")  # safe, keyed and unsafe


class Fault(Enum):
    """What happens to the answer of a request, or to its body."""

    NONE = "none"
    LATE_BODY = "late body"  # the head at once, then a pause, then the body in pieces
    SLOW_BODY = "slow body"  # small pieces at a steady pace
    LUMPS = "lumps"  # large pieces with long pauses
    HEAD_IN_PIECES = "head in pieces"
    SLOW_READ = "slow read"  # the request's body is read slowly
    HANG = "hang"  # no answer at all
    RESET = "reset"  # the connection breaks in the middle of the answer

    @property
    def is_sound(self) -> bool:
        """Whether the answer comes whole in the end."""
        return self not in (Fault.HANG, Fault.RESET)


WEIGHTS = {
    Fault.NONE: 55,
    Fault.LATE_BODY: 14,
    Fault.SLOW_BODY: 8,
    Fault.LUMPS: 6,
    Fault.HEAD_IN_PIECES: 5,
    Fault.SLOW_READ: 6,
    Fault.HANG: 3,
    Fault.RESET: 3,
}


@dataclass(frozen=True, slots=True)
class Piece:
    """A part of an answer, `size` bytes of its body, that leaves `pause_s` seconds after the one before it."""

    pause_s: float
    size: int


@dataclass(slots=True)
class Plan:
    """One request. Times are seconds, sizes bytes."""

    message_id: str
    priority_class: str
    wait_s: float
    fault: Fault
    framing: str = "length"
    size: int = 200
    request_size: int = 0
    read_bytes_per_second: float = 0.0  # of the request's body; 0 for as fast as it comes
    head_cut: int = 0  # bytes of the head in its first piece; 0 for a whole head
    pieces: list[Piece] = field(default_factory=list)

    @property
    def is_long(self) -> bool:
        """Whether the answer is timed by its first byte."""
        return self.size > LONG_BYTES


def draw_plan(rng: random.Random, message_id: str) -> Plan:
    """Draw a request and what happens to it."""
    fault = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    plan = Plan(message_id, rng.choice(CLASSES), rng.uniform(1.2, 3.0), fault)
    if fault is Fault.SLOW_READ:
        plan.request_size = rng.randrange(100_000, 8_000_000)
        plan.read_bytes_per_second = rng.choice((0.0, 60_000.0, 300_000.0, 1e6)) or 1.0
        return plan
    if fault in (Fault.NONE, Fault.HANG):
        return plan
    plan.framing, plan.size = rng.choice(FRAMINGS), rng.randrange(70_000, 280_000)
    if fault is Fault.HEAD_IN_PIECES:
        plan.head_cut = rng.randrange(1, 40)
        plan.pieces = [Piece(rng.uniform(0.01, 0.4), 0), Piece(0.0, plan.size)]
        return plan
    if fault is Fault.LATE_BODY or fault is Fault.RESET:
        pauses, sizes = (0.3, 3.0), (10, 50_000)
    elif fault is Fault.LUMPS:
        pauses, sizes = (0.2, 4.0), (20_000, 90_000)
    else:
        pauses, sizes = (0.02, 0.1), (400, 6_000)
    left = plan.size
    while left:
        size = min(left, rng.randrange(*sizes))
        if len(plan.pieces) >= 30:
            size = left
        plan.pieces.append(Piece(rng.uniform(*pauses) if len(plan.pieces) < 4 or pauses[1] < 0.2 else 0.05, size))
        left -= size
    return plan


def body_of(message_id: str, size: int) -> bytes:
    """Return the body that answers a message."""
    return random.Random(message_id).randbytes(size)
