"""Plans a rolling restart: which ingresses are replaced together and in what order, in the least time. No I/O.

A rolling restart is a sequence of waves; a wave is a set of ingresses that are away at once. Its size is bounded by

    the limits on ingresses away in all and in each zone;
    capacity: the rest must carry the load (`max_away`, given by the caller);
    the set of each firm, `set_size` consecutive places, of which one must keep serving;
    free connections at the servers: new processes need some before the old ones have given theirs back.

A wave takes as long as its slowest ingress, so slow ones are put together. The algorithm is greedy: the slowest
remaining ingress starts a wave, which is filled with the next slowest that fit, of equal ones the farthest apart.
`benchmarks/rolling_drains` compares the result with the optimum of an integer program on small cases."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Ingress:
    """An ingress to be replaced."""

    place: int
    zone: str = ""
    duration: float = 1.0  # seconds to drain, be replaced and become ready


@dataclass(slots=True, frozen=True)
class Rules:
    """Bounds on the waves."""

    max_away: int  # ingresses at once
    max_away_in_zone: int  # ingresses of one zone at once
    set_size: int  # consecutive places in a firm's set
    place_count: int  # places over which the sets are numbered


def fits(wave: Sequence[Ingress], candidate: Ingress, rules: Rules) -> bool:
    """Return whether `candidate` may be away together with the ingresses of `wave`."""
    if len(wave) >= rules.max_away or sum(other.zone == candidate.zone for other in wave) >= rules.max_away_in_zone:
        return False
    away = {other.place for other in wave} | {candidate.place}
    set_size = min(rules.set_size, rules.place_count)
    for step in range(set_size):
        first = (candidate.place - step) % rules.place_count
        if all((first + n) % rules.place_count in away for n in range(set_size)):
            return False
    return True


def distance(wave: Sequence[Ingress], candidate: Ingress, rules: Rules) -> int:
    """Return the number of places to the nearest ingress of the wave.

    Close ones would leave the remaining ingresses too close together to be away at once."""
    steps = (abs(other.place - candidate.place) for other in wave)
    return min((min(step, rules.place_count - step) for step in steps), default=0)


def plan_waves(ingresses: Sequence[Ingress], rules: Rules) -> list[list[Ingress]]:
    """Return waves that contain each ingress once.

    An ingress that fits in no wave with others is away alone. One that may not be away even alone (it is the whole set
    of a firm) is omitted: see `find_unschedulable`."""
    remaining = sorted(ingresses, key=lambda ingress: (-ingress.duration, ingress.place))
    waves: list[list[Ingress]] = []
    while remaining:
        wave: list[Ingress] = []
        while candidates := [ingress for ingress in remaining if ingress not in wave and fits(wave, ingress, rules)]:
            wave.append(
                max(candidates, key=lambda ingress: (ingress.duration, distance(wave, ingress, rules), -ingress.place))
            )
        if not wave:
            break
        waves.append(wave)
        remaining = [ingress for ingress in remaining if ingress not in wave]
    return waves


def find_unschedulable(ingresses: Sequence[Ingress], rules: Rules) -> list[Ingress]:
    """Return the ingresses that may never be away because a firm's set would be empty."""
    return [ingress for ingress in ingresses if not fits([], ingress, rules)]


def total_seconds(waves: Sequence[Sequence[Ingress]]) -> float:
    """Return the duration of all waves in seconds; each takes as long as its slowest ingress."""
    return sum(max(ingress.duration for ingress in wave) for wave in waves)
