"""Where on the line each row's limit is passed, found by the fits alone. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from .line import At, Measured
from .sheet import Row

STEPS = 40


@dataclass(slots=True, frozen=True)
class Passed:
    row: Row
    f: float


def passes(row: Row, measured: Measured) -> float | None:
    """The part of the line at which the need is over the limit; None where it never is, or is not known."""
    if row.start:
        return 0.0
    if row.need is None or row.limit is None:
        return None

    def over(f: float) -> bool:
        assert row.need is not None and row.limit is not None
        need = row.need(At(measured, f))
        return int(need + 1e-9) > row.limit if row.counted else need > row.limit

    if over(0.0):
        return 0.0
    if not over(1.0):
        return None
    low, high = 0.0, 1.0
    for _ in range(STEPS):
        middle = (low + high) / 2
        low, high = (low, middle) if over(middle) else (middle, high)
    return high


def walk(rows: list[Row], measured: Measured) -> list[Passed]:
    """In order; at one place those of which nothing is there come first, then the letter's limits."""
    found = [Passed(row, f) for row in rows if (f := passes(row, measured)) is not None]
    order = {"letter": 0, "issue": 1, "platform": 2, "program": 3, "assumption": 4}
    return sorted(
        found, key=lambda one: (round(one.f, 4), one.row.mechanism != "none", order[one.row.source], one.row.what)
    )


def deciding(found: list[Passed]) -> list[Passed]:
    """Those whose limit the letter, the issue, the platform or the program itself names."""
    return [one for one in found if one.row.source != "assumption"]


def following(found: list[Passed], count: int) -> list[Passed]:
    """The first rows of the next parts of the program, the first of all left out."""
    seen, rows = {found[0].row.part} if found else set(), []
    for one in found:
        if one.row.part not in seen:
            seen.add(one.row.part)
            rows.append(one)
    return rows[:count]
