"""The plan book: figures of each plan, and which firm is on which plan, from when. Nothing in it is ever edited.

Everything that changes the book is a `Change` under the next revision. A change names the instant from which it holds
(`since`) and the one at which it was decided (`at`); whether it is valid follows from the changes before it and from
these two alone, never from the clock of the ingress that hears it (but for bounds of a year that catch slips). So all
ingresses that took the same revisions hold the same book and apply each change at the same instant, however late one
of them hears of it.

Which entry holds at an instant: among those with `since` up to then the one with the latest `since`; at the same
`since` the one with the higher revision. An entry that was withdrawn before it took effect never holds."""

from __future__ import annotations

import math
from bisect import insort
from typing import Any, Literal

import msgspec

from ..policy.interface import PlanSpec, SettingsError

FIRM_MOST = 1 << 33  # a firm is a number under this, written in hexadecimal
EARLY = 366 * 86400.0  # s ahead that a change may be due at most
OLD = 366 * 86400.0  # and ago
AHEAD = 5.0  # s by which the clock of whoever decided may be ahead of ours
ALWAYS = -math.inf

Text = msgspec.Meta(min_length=1, max_length=64)


class Figures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of one plan; `rate` in units a second for each firm, `burst` in units."""

    rate: float
    burst: float
    open: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """One change of the book.

    `set` gives `plan` its `figures`; `move` puts `firm` on `plan`; `withdraw` takes back revision `of`."""

    revision: int
    kind: Literal["set", "move", "withdraw"]
    at: float  # Unix time at which it was decided
    since: float = 0.0  # Unix time from which it holds; for `withdraw` not used
    plan: str = ""
    firm: str = ""
    figures: Figures | None = None
    of: int = 0
    note: str = ""


class BookError(ValueError):
    """The change cannot be taken. `status` as in HTTP: 400 for what is wrong in itself, 409 for what does not fit."""

    def __init__(self, status: int, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.status, self.field, self.text = status, field, text


def firm_of(text: str, field: str = "firm") -> int:
    """'00000000b4d65521' as a number. Raises BookError."""
    try:
        number = int(text, 16) if 0 < len(text) <= 16 and text.isalnum() else -1
    except ValueError:
        number = -1
    if not 0 <= number < FIRM_MOST:
        raise BookError(400, field, f"{text[:40]!r} is no firm: 1 to 16 hexadecimal digits, a number under 2^33")
    return number


def firm_text(number: int) -> str:
    return f"{number:016x}"


def spec_of(plan: str, figures: Figures) -> PlanSpec:
    """Raises BookError that names the figure."""
    for name in figures.__struct_fields__:
        value = getattr(figures, name)
        if not math.isfinite(value) or value < 0:
            raise BookError(400, f"figures.{name}", f"{value!r} is no figure from 0")
    try:
        return PlanSpec(plan, **msgspec.structs.asdict(figures))
    except SettingsError as error:
        raise BookError(400, "figures", str(error)) from None


class _Line:
    """What holds from when, for one firm or one plan: rows (since, revision), in order."""

    __slots__ = ("rows", "values")

    def __init__(self) -> None:
        self.rows: list[tuple[float, int]] = []
        self.values: dict[int, Any] = {}

    def add(self, since: float, revision: int, value: Any) -> None:
        insort(self.rows, (since, revision))
        self.values[revision] = value

    def drop(self, revision: int) -> None:
        self.rows = [row for row in self.rows if row[1] != revision]
        del self.values[revision]

    def holds(self, when: float) -> tuple[int, Any] | None:
        """The revision that holds at this instant and its value."""
        found = None
        for since, revision in reversed(self.rows):
            if since <= when:
                found = revision, self.values[revision]
                break
        return found


class Book:
    """Starts with the plans of the settings as revision 0, which holds since always."""

    def __init__(self, plans: list[PlanSpec]) -> None:
        self.changes: list[Change] = []
        self.withdrawn: set[int] = set()
        self._plans: dict[str, _Line] = {}
        self._firms: dict[int, _Line] = {}
        self._due: list[tuple[float, int]] = []  # (since, revision) of all that are not withdrawn
        for plan in plans:
            line = self._plans[plan.name] = _Line()
            line.add(ALWAYS, 0, plan)

    @property
    def revision(self) -> int:
        return len(self.changes)

    @property
    def plans(self) -> list[str]:
        return sorted(self._plans)

    @property
    def firms(self) -> list[int]:
        return sorted(self._firms)

    def examine(self, change: Change, now: float) -> bool:
        """Whether the change can be taken: False where it was taken before. Raises BookError. Changes nothing."""
        if 1 <= change.revision <= self.revision:
            if self.changes[change.revision - 1] == change:
                return False
            raise BookError(409, "revision", f"{change.revision} is another change; the next is {self.revision + 1}")
        if change.revision != self.revision + 1:
            raise BookError(409, "revision", f"{change.revision} is not the next one, {self.revision + 1}")
        self._check(change, now)
        if change.kind == "withdraw":
            self._check_withdrawal(change)
        return True

    def apply(self, change: Change, now: float) -> bool:
        """Take the change in; False where it was taken before. Raises BookError, and then nothing is changed."""
        if not self.examine(change, now):
            return False
        if change.kind == "withdraw":
            self._withdraw(change)
        elif change.kind == "set":
            assert change.figures is not None
            line = self._plans.setdefault(change.plan, _Line())
            line.add(change.since, change.revision, spec_of(change.plan, change.figures))
        else:
            line = self._firms.setdefault(firm_of(change.firm), _Line())
            line.add(change.since, change.revision, change.plan)
        if change.kind != "withdraw":
            insort(self._due, (change.since, change.revision))
        self.changes.append(change)
        return True

    def _check(self, change: Change, now: float) -> None:
        if not now - OLD <= change.at <= now + AHEAD:
            raise BookError(400, "at", f"{change.at!r} is not the time of a decision made by now ({now:.3f})")
        if change.kind == "withdraw":
            if change.plan or change.firm or change.figures or change.since:
                raise BookError(400, "of", "a withdrawal names a revision and nothing else")
            return
        if change.of:
            raise BookError(400, "of", f"goes with withdraw, not with {change.kind}")
        if not now - OLD <= change.since <= now + EARLY:
            raise BookError(400, "since", f"{change.since!r} is not within a year of now ({now:.3f})")
        if not 0 < len(change.plan) <= 64 or not change.plan.isprintable():
            raise BookError(400, "plan", f"{change.plan[:40]!r} is no plan's name")
        if change.kind == "set":
            if change.figures is None:
                raise BookError(400, "figures", "missing")
            if change.firm:
                raise BookError(400, "firm", "goes with move, not with set")
            spec_of(change.plan, change.figures)
            return
        if change.figures is not None:
            raise BookError(400, "figures", "goes with set, not with move")
        firm_of(change.firm)
        line = self._plans.get(change.plan)
        if line is None or line.holds(change.since) is None:
            raise BookError(409, "plan", f"no plan {change.plan!r} at that time; there are {', '.join(self.plans)}")

    def _check_withdrawal(self, change: Change) -> None:
        if not 1 <= change.of <= self.revision or self.changes[change.of - 1].kind == "withdraw":
            raise BookError(409, "of", f"no set or move under revision {change.of}")
        if change.of in self.withdrawn:
            raise BookError(409, "of", f"revision {change.of} is withdrawn already")
        old = self.changes[change.of - 1]
        if old.since <= change.at:
            raise BookError(409, "of", f"revision {change.of} is in effect; set or move again instead")
        if old.kind == "move":
            return
        rest = [since for since, revision in self._plans[old.plan].rows if revision != change.of]
        for later in self.changes:
            if (
                later.kind == "move"
                and later.plan == old.plan
                and later.revision not in self.withdrawn
                and (not rest or rest[0] > later.since)
            ):
                raise BookError(409, "of", f"revision {later.revision} moves a firm to that plan")

    def _withdraw(self, change: Change) -> None:
        old = self.changes[change.of - 1]
        if old.kind == "set":
            self._plans[old.plan].drop(change.of)
            if not self._plans[old.plan].rows:
                del self._plans[old.plan]
        else:
            firm = firm_of(old.firm)
            self._firms[firm].drop(change.of)
            if not self._firms[firm].rows:
                del self._firms[firm]
        self._due.remove((old.since, change.of))
        self.withdrawn.add(change.of)

    def figures(self, plan: str, when: float) -> tuple[int, PlanSpec] | None:
        """The revision and figures in force at any moment, so that use of that moment can be priced."""
        line = self._plans.get(plan)
        return line.holds(when) if line else None

    def plan_of(self, firm: int, when: float, told: str = "") -> tuple[str, int]:
        """The plan of a firm at that moment, and the revision that speaks for it and its figures together.

        A firm that the book does not know is on the plan that it `told`."""
        line = self._firms.get(firm)
        found = line.holds(when) if line else None
        name, moved = (found[1], found[0]) if found else (told, 0)
        figures = self.figures(name, when)
        return name, max(moved, figures[0] if figures else 0)

    def integral(self, firm: int, told: str, since: float, until: float) -> float:
        """Units that the firm's plan, whichever it was, lets in by its rate in this span."""
        total, at = 0.0, since
        line = self._firms.get(firm)
        moves = [row[0] for row in line.rows] if line else []
        while at < until:
            name = self.plan_of(firm, at, told)[0]
            plan = self._plans.get(name)
            ends = [row[0] for row in plan.rows] if plan else []
            end = min((when for when in moves + ends if when > at), default=until)
            found = self.figures(name, at)
            total += (found[1].rate if found else 0.0) * (min(end, until) - at)
            at = end
        return total

    def takes_effect(self, after: float, until: float) -> list[Change]:
        """What begins to hold after the one instant and up to the other, in order."""
        return [self.changes[revision - 1] for since, revision in self._due if after < since <= until]

    def next_due(self, after: float) -> float | None:
        """The first instant after this one from which something else holds."""
        for since, _ in self._due:
            if since > after:
                return since
        return None

    def history(self, plan: str = "", firm: str = "") -> list[Change]:
        number = firm_of(firm) if firm else -1
        return [c for c in self.changes if self._about(c, plan, number)]

    def _about(self, change: Change, plan: str, firm: int) -> bool:
        if change.kind == "withdraw":
            return self._about(self.changes[change.of - 1], plan, firm)
        if firm >= 0:
            return change.kind == "move" and firm_of(change.firm) == firm
        return not plan or change.plan == plan
