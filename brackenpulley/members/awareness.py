"""How well this instance itself does (Lifeguard, section IV.A: local health awareness).

An instance that is slow takes others for dead. Each sign of it raises the score, each good probe lowers it, and with
the score its own probes come less often and wait longer."""

from __future__ import annotations

WORST = 8


class Awareness:
    """`score` 0 (well) to `WORST`; times of probes are multiplied by `score` + 1."""

    def __init__(self) -> None:
        self.score = 0

    def probe_answered(self) -> None:
        self._change(-1)

    def probe_failed(self, relays_asked: int, relays_heard: int) -> None:
        """Relays that were asked to help and said nothing at all are a sign that it is we who hear badly."""
        missing = relays_asked - relays_heard
        self._change(missing if relays_asked else 1)

    def had_to_refute(self) -> None:
        self._change(1)

    def _change(self, by: int) -> None:
        self.score = min(WORST, max(0, self.score + by))

    def scale(self, seconds: float) -> float:
        return seconds * (self.score + 1)
