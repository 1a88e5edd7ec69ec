"""How a measured figure grows: constant, log n, n or n squared, chosen by what is left over. No I/O.

Least squares of `a + b * form(n)`, each point weighed by its own size, so that small sizes count as much as large ones.
A constant is taken where it leaves no more than `FLAT`, or than half of what repeats differ by as far as that is under
`LOOSE`; else the form that leaves least."""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

FLAT = 0.08  # part by which points may differ from a constant
LOOSE = 0.15  # and where repeats differ by more than this, it is a slope that has to explain them
FAR = 4.0  # times the largest size measured: beyond it a second source is wanted
FORMS: dict[str, Callable[[float], float]] = {
    "constant": lambda n: 0.0,
    "log n": lambda n: math.log(max(1.0, n)),
    "n": lambda n: n,
    "n squared": lambda n: n * n,
}


@dataclass(slots=True, frozen=True)
class Fit:
    form: str
    base: float
    slope: float
    over: float  # part of the largest size's figure that the fit misses it by: above 0 where more was measured
    largest: float  # size measured

    def at(self, size: float) -> float:
        return max(0.0, self.base + self.slope * FORMS[self.form](size))

    def stretched(self, size: float) -> float:
        """How many times the largest size measured."""
        return size / self.largest

    def text(self, digits: int = 3) -> str:
        if self.form == "constant":
            return f"{self.base:.{digits}g}"
        return f"{self.base:.{digits}g} {'+' if self.slope >= 0 else '-'} {abs(self.slope):.{digits}g} {self.form}"


def _line(points: Sequence[tuple[float, float]], form: str) -> tuple[float, float]:
    shape = FORMS[form]
    rows = [(1 / max(abs(y), 1e-12) ** 2, shape(n), y) for n, y in points]
    total = sum(w for w, _, _ in rows)
    mean_x, mean_y = sum(w * x for w, x, _ in rows) / total, sum(w * y for w, _, y in rows) / total
    wide = sum(w * (x - mean_x) ** 2 for w, x, _ in rows)
    slope = sum(w * (x - mean_x) * (y - mean_y) for w, x, y in rows) / wide if wide else 0.0
    return mean_y - slope * mean_x, slope


def _left(points: Sequence[tuple[float, float]], form: str) -> float:
    base, slope = _line(points, form)
    return math.sqrt(
        statistics.mean(((base + slope * FORMS[form](n) - y) / max(abs(y), 1e-12)) ** 2 for n, y in points)
    )


def fit(points: Sequence[tuple[float, float]], spread: float = 0.0) -> Fit:
    """`points`: (size, figure), four sizes at least. `spread`: part by which repeats of one size differ."""
    if len({n for n, _ in points}) < 4:
        raise ValueError(f"{len(points)} points: four sizes at least")
    points = sorted(points)
    left = {form: _left(points, form) for form in FORMS}
    form = (
        "constant"
        if left["constant"] <= max(FLAT, min(LOOSE, spread / 2))
        else min((name for name in FORMS if name != "constant"), key=lambda name: left[name])
    )
    base, slope = _line(points, form)
    largest, seen = points[-1]
    told = base + slope * FORMS[form](largest)
    return Fit(form, base, slope, (seen - told) / seen if seen else 0.0, largest)
