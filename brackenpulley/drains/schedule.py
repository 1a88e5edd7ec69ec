"""Which ingresses go together, and in what order, so that a roll takes the least time within its bounds. No I/O.

A roll is waves; a wave is ingresses that are away at once. It may be as large as

    the bound on all, and on each zone;
    what remains carries the load (`most`, told by whoever asks);
    each firm's set, `spread` places in a row, keeps one that serves;
    the room at the servers: those that start need connections while the old ones' are given back.

Ingresses of a wave take as long as the slowest of them, so the slow go together. Greedy: the slowest that is left
opens a wave, which is filled with the next slowest that fit, of equal ones the farthest apart.
`benchmarks/rolling_drains` compares it with the optimum of an integer programme on small cases."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Ingress:
    place: int
    zone: str = ""
    takes: float = 1.0  # s to drain, be replaced and be ready


@dataclass(slots=True, frozen=True)
class Rules:
    most: int  # away at once
    zone: int  # of one zone
    spread: int  # places of a firm's set, in a row
    places: int  # over which sets are numbered


def fits(wave: Sequence[Ingress], one: Ingress, rules: Rules) -> bool:
    """`one` may go with these."""
    if len(wave) >= rules.most or sum(other.zone == one.zone for other in wave) >= rules.zone:
        return False
    away = {other.place for other in wave} | {one.place}
    spread = min(rules.spread, rules.places)
    for step in range(spread):
        first = (one.place - step) % rules.places
        if all((first + n) % rules.places in away for n in range(spread)):
            return False
    return True


def apart(wave: Sequence[Ingress], one: Ingress, rules: Rules) -> int:
    """Places to the nearest of the wave: near ones would leave the rest too close together to go at once."""
    steps = (abs(other.place - one.place) for other in wave)
    return min((min(step, rules.places - step) for step in steps), default=0)


def waves(ingresses: Sequence[Ingress], rules: Rules) -> list[list[Ingress]]:
    """All of them, each once. One that fits in no wave with others goes alone, and where even that is against a rule
    (a set of one ingress) it is left out: see `left_out`."""
    left = sorted(ingresses, key=lambda one: (-one.takes, one.place))
    found: list[list[Ingress]] = []
    while left:
        wave: list[Ingress] = []
        while more := [one for one in left if one not in wave and fits(wave, one, rules)]:
            wave.append(max(more, key=lambda one: (one.takes, apart(wave, one, rules), -one.place)))
        if not wave:
            break
        found.append(wave)
        left = [one for one in left if one not in wave]
    return found


def left_out(ingresses: Sequence[Ingress], rules: Rules) -> list[Ingress]:
    """Those that may never go: a firm's set would have none."""
    return [one for one in ingresses if not fits([], one, rules)]


def lasts(found: Sequence[Sequence[Ingress]]) -> float:
    """s: each wave as long as its slowest."""
    return sum(max(one.takes for one in wave) for wave in found)
