"""How far the answer to a relay has come, and whether its server is still giving it. No I/O.

| stage        | what has come of the answer                                                                     |
| ------------ | ----------------------------------------------------------------------------------------------- |
| NONE         | not a byte, or the request was not written whole, so that what came is no answer to it          |
| PARTIAL_HEAD | a part of its head                                                                              |
| SHORT        | its head: it is no success, or its length is one that is buffered whole                         |
| HEAD         | its head, and no byte of its body: it is a success that is long, or may be                      |
| BODY         | the same, and a part of its body                                                                |

Of a long answer only the first bytes are timed, and one that its server is still giving must not be cut off. So an
answer that is underway is neither cancelled nor ended by the time-out of its attempt. In HEAD or BODY it is passed on
from what has come when it is known to be long, when its message's time is over, or when a part of its body has been
held for MAX_HOLD_SECONDS. In PARTIAL_HEAD nothing can be passed on yet, so it gets HEAD_GRACE_SECONDS more.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

STALL_TIMEOUT_SECONDS = 2.0  # without a byte of an answer that has begun
LONG_STALL_TIMEOUT_SECONDS = 5.0  # the same for one that may be long: servers take seconds to write
MAX_HOLD_SECONDS = 1.5  # for which the first bytes of a long answer's body may be held; 2 s are a break
HEAD_GRACE_SECONDS = 0.3  # after a message's time for the rest of a head; an answer 0.5 s late is lost


class AnswerStage(Enum):
    """How far an answer has come. The table at the head of the module has the meanings."""

    NONE = "none"
    PARTIAL_HEAD = "partial-head"
    SHORT = "short"
    HEAD = "head"
    BODY = "body"


LONG_STAGES = frozenset((AnswerStage.HEAD, AnswerStage.BODY))


@dataclass(frozen=True, slots=True)
class AnswerProgress:
    """What has come of an answer."""

    stage: AnswerStage = AnswerStage.NONE
    body_bytes: int = 0
    quiet_seconds: float = 0.0  # since the relay's last byte in either direction; 0 if there was none
    held_seconds: float = -1.0  # since the first byte of the body came, if it is not passed on; else negative

    @property
    def stall_timeout(self) -> float:
        """Seconds without a byte after which the server gives nothing any more."""
        return LONG_STALL_TIMEOUT_SECONDS if self.stage in LONG_STAGES else STALL_TIMEOUT_SECONDS

    @property
    def has_stalled(self) -> bool:
        """Whether the server gives nothing any more."""
        return self.quiet_seconds >= self.stall_timeout

    @property
    def must_pass_on(self) -> bool:
        """Whether what has come of the answer must be passed on now."""
        return self.held_seconds >= MAX_HOLD_SECONDS

    @property
    def next_check_seconds(self) -> float:
        """Seconds after which the answer must be passed on, or has stalled, unless more of it comes."""
        until_stalled = self.stall_timeout - self.quiet_seconds
        return min(until_stalled, MAX_HOLD_SECONDS - self.held_seconds) if self.held_seconds >= 0 else until_stalled

    @property
    def is_underway(self) -> bool:
        """Whether the server has begun the answer and is still giving it."""
        return self.stage is not AnswerStage.NONE and not self.has_stalled

    @property
    def can_pass_on(self) -> bool:
        """Whether the answer may be a long one that its server is still giving."""
        return self.stage in LONG_STAGES and not self.has_stalled

    @property
    def grace_seconds(self) -> float:
        """Seconds for which the answer may go on once its message's time is over, although it is not passed on."""
        return HEAD_GRACE_SECONDS if self.stage is AnswerStage.PARTIAL_HEAD and not self.has_stalled else 0.0
