"""Local health awareness of a member (Lifeguard, section IV.A), used by `protocol` to scale its probes.

A slow member takes others for dead. Each sign of slowness raises its score and each answered probe lowers it; with a
higher score its own probes are sent less often and wait longer for an answer."""

from __future__ import annotations

MAX_SCORE = 8


class Awareness:
    """Health score from 0 (healthy) to `MAX_SCORE`; probe intervals and timeouts are multiplied by `score` + 1."""

    def __init__(self) -> None:
        self.score = 0

    def record_probe_success(self) -> None:
        """Lower the score after an answered probe."""
        self._change(-1)

    def record_probe_failure(self, indirect_sent: int, nacks: int) -> None:
        """Raise the score by the indirect probes that brought no Nack, or by 1 where none was sent.

        Members asked for an indirect probe that do not answer at all are a sign of a fault on this member's side."""
        missing = indirect_sent - nacks
        self._change(missing if indirect_sent else 1)

    def record_refutation(self) -> None:
        """Raise the score after this member had to refute its own suspicion or death."""
        self._change(1)

    def _change(self, amount: int) -> None:
        self.score = min(MAX_SCORE, max(0, self.score + amount))

    def scale(self, seconds: float) -> float:
        """Return `seconds` multiplied by `score` + 1."""
        return seconds * (self.score + 1)
