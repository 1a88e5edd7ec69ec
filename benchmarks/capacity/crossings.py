"""Finds where on the way from the current to the target load each row's limit is exceeded.

It uses the fits alone and performs no I/O; `page` shows the result."""

from __future__ import annotations

from dataclasses import dataclass

from .load import LoadPoint, MeasuredSlopes
from .rows import Row

BISECTION_STEPS = 40  # halvings of the interval from 0 to 1


@dataclass(slots=True, frozen=True)
class Crossing:
    """A row whose limit is exceeded, and the fraction of the way to the target load at which that happens."""

    row: Row
    fraction: float


def find_crossing(row: Row, measured: MeasuredSlopes) -> float | None:
    """Returns the fraction of the way at which the need exceeds the limit.

    Returns None if it never does or is not measured."""
    if row.is_missing_today:
        return 0.0
    if row.need is None or row.limit is None:
        return None

    def exceeds_limit(fraction: float) -> bool:
        assert row.need is not None and row.limit is not None
        need = row.need(LoadPoint(measured, fraction))
        return int(need + 1e-9) > row.limit if row.is_counted else need > row.limit

    if exceeds_limit(0.0):
        return 0.0
    if not exceeds_limit(1.0):
        return None
    lower, upper = 0.0, 1.0
    for _ in range(BISECTION_STEPS):
        middle = (lower + upper) / 2
        lower, upper = (lower, middle) if exceeds_limit(middle) else (middle, upper)
    return upper


def list_crossings(rows: list[Row], measured: MeasuredSlopes) -> list[Crossing]:
    """Returns the crossings in order of their fraction. At the same fraction rows without a mechanism come first, then
    those whose limit the operators set."""
    crossings = [Crossing(row, fraction) for row in rows if (fraction := find_crossing(row, measured)) is not None]
    source_order = {"letter": 0, "issue": 1, "platform": 2, "program": 3, "assumption": 4}
    return sorted(
        crossings,
        key=lambda crossing: (
            round(crossing.fraction, 4),
            crossing.row.mechanism != "none",
            source_order[crossing.row.limit_source],
            crossing.row.what,
        ),
    )


def select_deciding(crossings: list[Crossing]) -> list[Crossing]:
    """Returns the crossings whose limit is not an assumption."""
    return [crossing for crossing in crossings if crossing.row.limit_source != "assumption"]


def select_next_parts(crossings: list[Crossing], count: int) -> list[Crossing]:
    """Returns the first crossing of each further part of the program, without the part that comes first of all."""
    seen_parts, rows = {crossings[0].row.part} if crossings else set(), []
    for crossing in crossings:
        if crossing.row.part not in seen_parts:
            seen_parts.add(crossing.row.part)
            rows.append(crossing)
    return rows[:count]
