"""Fits how a measured figure grows with size: constant, log n, n or n squared. Performs no I/O.

Each fit is a least-squares fit of `a + b * form(n)` to relative errors, so that small sizes count as much as large
ones. A constant is chosen where its residual is at most `CONSTANT_TOLERANCE`, or at most half the spread of repeats as
far as that is under `NOISY_CONSTANT_TOLERANCE`; otherwise the form with the smallest residual is chosen."""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

CONSTANT_TOLERANCE = 0.08  # relative residual up to which points count as constant
NOISY_CONSTANT_TOLERANCE = 0.15  # the same with noisy repeats; beyond it only growth explains the points
MAX_EXTRAPOLATION = 4.0  # multiple of the largest measured size beyond which a fit needs a second source
FORMS: dict[str, Callable[[float], float]] = {
    "constant": lambda n: 0.0,
    "log n": lambda n: math.log(max(1.0, n)),
    "n": lambda n: n,
    "n squared": lambda n: n * n,
}


@dataclass(slots=True, frozen=True)
class Fit:
    """A fitted curve `intercept + slope * form(size)`."""

    form: str
    intercept: float
    slope: float
    residual: float  # (measured - fitted) / measured at the largest size; above 0 where more was measured
    largest_size: float  # that was measured

    def evaluate(self, size: float) -> float:
        """Returns the figure at a size, not below 0."""
        return max(0.0, self.intercept + self.slope * FORMS[self.form](size))

    def get_extrapolation(self, size: float) -> float:
        """Returns the size as a multiple of the largest measured size."""
        return size / self.largest_size

    def format(self, digits: int = 3) -> str:
        """Returns the curve as a formula."""
        if self.form == "constant":
            return f"{self.intercept:.{digits}g}"
        return f"{self.intercept:.{digits}g} {'+' if self.slope >= 0 else '-'} {abs(self.slope):.{digits}g} {self.form}"


def _fit_line(points: Sequence[tuple[float, float]], form: str) -> tuple[float, float]:
    transform = FORMS[form]
    weighted = [(1 / max(abs(y), 1e-12) ** 2, transform(n), y) for n, y in points]
    total = sum(w for w, _, _ in weighted)
    mean_x, mean_y = sum(w * x for w, x, _ in weighted) / total, sum(w * y for w, _, y in weighted) / total
    variance = sum(w * (x - mean_x) ** 2 for w, x, _ in weighted)
    slope = sum(w * (x - mean_x) * (y - mean_y) for w, x, y in weighted) / variance if variance else 0.0
    return mean_y - slope * mean_x, slope


def _compute_residual(points: Sequence[tuple[float, float]], form: str) -> float:
    intercept, slope = _fit_line(points, form)
    return math.sqrt(
        statistics.mean(((intercept + slope * FORMS[form](n) - y) / max(abs(y), 1e-12)) ** 2 for n, y in points)
    )


def fit(points: Sequence[tuple[float, float]], spread: float = 0.0) -> Fit:
    """Fits (size, figure) points of at least four sizes.

    `spread` is the relative difference between repeats of one size. Raises ValueError if there are fewer sizes."""
    if len({n for n, _ in points}) < 4:
        raise ValueError(f"{len(points)} points: four sizes at least")
    points = sorted(points)
    residuals = {form: _compute_residual(points, form) for form in FORMS}
    form = (
        "constant"
        if residuals["constant"] <= max(CONSTANT_TOLERANCE, min(NOISY_CONSTANT_TOLERANCE, spread / 2))
        else min((name for name in FORMS if name != "constant"), key=lambda name: residuals[name])
    )
    intercept, slope = _fit_line(points, form)
    largest_size, last_value = points[-1]
    fitted_value = intercept + slope * FORMS[form](largest_size)
    return Fit(form, intercept, slope, (last_value - fitted_value) / last_value if last_value else 0.0, largest_size)
