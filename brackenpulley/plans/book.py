"""The plan book: an append-only, versioned history of plan figures and of each firm's plan.

Each `Change` has the next revision number, the time from which it is effective (`since`) and the time at which it was
decided (`at`). Whether it is valid depends on earlier changes and on these two times, not on the clock of the ingress
that receives it. A change that an operator submits is also held against wide bounds that catch mistyped times; one that
is part of a book already, in a snapshot or on another ingress, is not, however old it has become. Ingresses that
applied the same revisions therefore hold the same book, and a change is effective at the same time on all of them, even
where one receives it late.

The entry effective at a given time is the one with the latest `since` up to that time; with equal `since`, the one with
the higher revision. An entry that was withdrawn before it took effect is never effective.

The daemon's `PlanService` owns the book; audits and benchmarks read it to price past use.
"""

from __future__ import annotations

import math
from bisect import insort
from typing import Any, Literal

import msgspec

from ..policy.interface import PlanSpec, SettingsError

FIRM_LIMIT = 1 << 33  # exclusive upper bound of firm numbers
MAX_LEAD_SECONDS = 366 * 86400.0  # how far in the future a change may take effect
MAX_AGE_SECONDS = 366 * 86400.0  # how far in the past `at` and `since` may be
MAX_CLOCK_SKEW_SECONDS = 5.0  # how far `at` may be ahead of the local clock
SINCE_ALWAYS = -math.inf  # `since` of the plans in the settings

Text = msgspec.Meta(min_length=1, max_length=64)


class Figures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The figures of one plan: `rate` in units per second for each firm, `burst` in units."""

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
    """One revision of the plan book.

    `set` gives `plan` its `figures`; `move` assigns `firm` to `plan`; `withdraw` cancels revision `of`.
    """

    revision: int
    kind: Literal["set", "move", "withdraw"]
    at: float  # Unix time of the decision
    since: float = 0.0  # Unix time from which it is effective; unused by `withdraw`
    plan: str = ""
    firm: str = ""
    figures: Figures | None = None
    of: int = 0
    note: str = ""


class PlanChangeError(ValueError):
    """A rejected change or an invalid firm number.

    `status` is an HTTP status: 400 for an invalid field, 409 for a conflict with the book.
    """

    def __init__(self, status: int, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.status, self.field, self.text = status, field, text


def parse_firm(text: str, field: str = "firm") -> int:
    """Parse a hexadecimal firm number such as '00000000b4d65521'.

    Raises PlanChangeError that names `field` for anything but 1 to 16 hexadecimal digits below FIRM_LIMIT.
    """
    try:
        number = int(text, 16) if 0 < len(text) <= 16 and text.isalnum() else -1
    except ValueError:
        number = -1
    if not 0 <= number < FIRM_LIMIT:
        raise PlanChangeError(
            400, field, f"{text[:40]!r} is not a firm: 1 to 16 hexadecimal digits, a number under 2^33"
        )
    return number


def format_firm(number: int) -> str:
    """Format a firm number as 16 hexadecimal digits."""
    return f"{number:016x}"


def build_plan_spec(plan: str, figures: Figures) -> PlanSpec:
    """Build the decision module's form of a plan. Raises PlanChangeError that names the invalid figure."""
    for name in figures.__struct_fields__:
        value = getattr(figures, name)
        if not math.isfinite(value) or value < 0:
            # The agreed log stores this text as the reason of a refusal: it must be the same in all versions.
            raise PlanChangeError(400, f"figures.{name}", f"{value!r} is no figure from 0")
    try:
        return PlanSpec(plan, **msgspec.structs.asdict(figures))
    except SettingsError as error:
        raise PlanChangeError(400, "figures", str(error)) from None


class _Timeline:
    """The values of one firm or one plan over time: (since, revision) entries in order of time."""

    __slots__ = ("entries", "values")

    def __init__(self) -> None:
        self.entries: list[tuple[float, int]] = []
        self.values: dict[int, Any] = {}

    def add(self, since: float, revision: int, value: Any) -> None:
        insort(self.entries, (since, revision))
        self.values[revision] = value

    def remove(self, revision: int) -> None:
        self.entries = [entry for entry in self.entries if entry[1] != revision]
        del self.values[revision]

    def find_effective(self, when: float) -> tuple[int, Any] | None:
        """Return the revision effective at this time and its value."""
        found = None
        for since, revision in reversed(self.entries):
            if since <= when:
                found = revision, self.values[revision]
                break
        return found


class Book:
    """All changes so far, and the timelines of plans and firms that follow from them.

    The plans of the settings are revision 0, which is effective from the beginning of time.
    """

    def __init__(self, plans: list[PlanSpec]) -> None:
        self.changes: list[Change] = []
        self.withdrawn: set[int] = set()
        self._plans: dict[str, _Timeline] = {}
        self._firms: dict[int, _Timeline] = {}
        self._due: list[tuple[float, int]] = []  # (since, revision) of changes that are not withdrawn
        for plan in plans:
            timeline = self._plans[plan.name] = _Timeline()
            timeline.add(SINCE_ALWAYS, 0, plan)

    @property
    def revision(self) -> int:
        """The latest revision applied; 0 before the first change."""
        return len(self.changes)

    @property
    def plans(self) -> list[str]:
        """Names of all plans, sorted."""
        return sorted(self._plans)

    @property
    def firms(self) -> list[int]:
        """Firms that were assigned a plan by a change, sorted."""
        return sorted(self._firms)

    def validate(self, change: Change, now: float | None) -> bool:
        """Check whether the change can be applied, without applying it.

        `now` bounds the times of a change that is submitted; None for one that is part of a book already.
        Returns False where it was applied before. Raises PlanChangeError where it is invalid or does not fit the book.
        """
        if 1 <= change.revision <= self.revision:
            if self.changes[change.revision - 1] == change:
                return False
            raise PlanChangeError(
                409, "revision", f"{change.revision} is another change; the next is {self.revision + 1}"
            )
        if change.revision != self.revision + 1:
            raise PlanChangeError(409, "revision", f"{change.revision} is not the next one, {self.revision + 1}")
        if now is not None:
            self._validate_times(change, now)
        self._validate_fields(change)
        if change.kind == "withdraw":
            self._validate_withdrawal(change)
        return True

    def apply(self, change: Change, now: float | None) -> bool:
        """Apply the change; returns False where it was applied before. `now` is as for `validate`.

        Raises PlanChangeError, and then the book is unchanged.
        """
        if not self.validate(change, now):
            return False
        if change.kind == "withdraw":
            self._withdraw(change)
        elif change.kind == "set":
            assert change.figures is not None
            timeline = self._plans.setdefault(change.plan, _Timeline())
            timeline.add(change.since, change.revision, build_plan_spec(change.plan, change.figures))
        else:
            timeline = self._firms.setdefault(parse_firm(change.firm), _Timeline())
            timeline.add(change.since, change.revision, change.plan)
        if change.kind != "withdraw":
            insort(self._due, (change.since, change.revision))
        self.changes.append(change)
        return True

    def _validate_times(self, change: Change, now: float) -> None:
        """Hold the times of a change that is submitted now against the bounds that catch mistyped ones."""
        if not now - MAX_AGE_SECONDS <= change.at <= now + MAX_CLOCK_SKEW_SECONDS:
            raise PlanChangeError(400, "at", f"{change.at!r} is in the future or over a year before now ({now:.3f})")
        is_near = now - MAX_AGE_SECONDS <= change.since <= now + MAX_LEAD_SECONDS
        if change.kind != "withdraw" and not is_near:
            raise PlanChangeError(400, "since", f"{change.since!r} is not within a year of now ({now:.3f})")

    def _validate_fields(self, change: Change) -> None:
        for name, when in (("at", change.at), ("since", change.since)):
            if not math.isfinite(when):
                raise PlanChangeError(400, name, f"{when!r} is no time")
        if change.kind == "withdraw":
            if change.plan or change.firm or change.figures or change.since:
                raise PlanChangeError(400, "of", "a withdrawal takes only the revision to withdraw")
            return
        if change.of:
            raise PlanChangeError(400, "of", f"only valid for withdraw, not for {change.kind}")
        if not 0 < len(change.plan) <= 64 or not change.plan.isprintable():
            raise PlanChangeError(400, "plan", f"{change.plan[:40]!r} is not a plan name: 1 to 64 printable characters")
        if change.kind == "set":
            if change.figures is None:
                raise PlanChangeError(400, "figures", "missing")
            if change.firm:
                raise PlanChangeError(400, "firm", "only valid for move, not for set")
            build_plan_spec(change.plan, change.figures)
            return
        if change.figures is not None:
            raise PlanChangeError(400, "figures", "only valid for set, not for move")
        parse_firm(change.firm)
        timeline = self._plans.get(change.plan)
        if timeline is None or timeline.find_effective(change.since) is None:
            raise PlanChangeError(
                409, "plan", f"no plan {change.plan!r} at that time; there are {', '.join(self.plans)}"
            )

    def _validate_withdrawal(self, change: Change) -> None:
        if not 1 <= change.of <= self.revision or self.changes[change.of - 1].kind == "withdraw":
            raise PlanChangeError(409, "of", f"no set or move under revision {change.of}")
        if change.of in self.withdrawn:
            raise PlanChangeError(409, "of", f"revision {change.of} is withdrawn already")
        old = self.changes[change.of - 1]
        if old.since <= change.at:
            raise PlanChangeError(409, "of", f"revision {change.of} is in effect; set or move again instead")
        if old.kind == "move":
            return
        remaining = [since for since, revision in self._plans[old.plan].entries if revision != change.of]
        for later in self.changes:
            if (
                later.kind == "move"
                and later.plan == old.plan
                and later.revision not in self.withdrawn
                and (not remaining or remaining[0] > later.since)
            ):
                raise PlanChangeError(409, "of", f"revision {later.revision} moves a firm to that plan")

    def _withdraw(self, change: Change) -> None:
        old = self.changes[change.of - 1]
        if old.kind == "set":
            self._plans[old.plan].remove(change.of)
            if not self._plans[old.plan].entries:
                del self._plans[old.plan]
        else:
            firm = parse_firm(old.firm)
            self._firms[firm].remove(change.of)
            if not self._firms[firm].entries:
                del self._firms[firm]
        self._due.remove((old.since, change.of))
        self.withdrawn.add(change.of)

    def find_spec(self, plan: str, when: float) -> tuple[int, PlanSpec] | None:
        """Return the revision and spec of a plan effective at any time, past or future, e.g. to price past use."""
        timeline = self._plans.get(plan)
        return timeline.find_effective(when) if timeline else None

    def plan_of(self, firm: int, when: float, requested_plan: str = "") -> tuple[str, int]:
        """Return a firm's plan at that time, and the higher of the revisions of its assignment and of its figures.

        A firm without an assignment in the book is on the plan `requested_plan`.
        """
        timeline = self._firms.get(firm)
        found = timeline.find_effective(when) if timeline else None
        name, moved = (found[1], found[0]) if found else (requested_plan, 0)
        figures = self.find_spec(name, when)
        return name, max(moved, figures[0] if figures else 0)

    def integrate_rate(self, firm: int, requested_plan: str, since: float, until: float) -> float:
        """Return the units that the firm's rate allows in this span, across changes of plan and figures."""
        total, start = 0.0, since
        timeline = self._firms.get(firm)
        moves = [entry[0] for entry in timeline.entries] if timeline else []
        while start < until:
            name = self.plan_of(firm, start, requested_plan)[0]
            plan_timeline = self._plans.get(name)
            ends = [entry[0] for entry in plan_timeline.entries] if plan_timeline else []
            end = min((when for when in moves + ends if when > start), default=until)
            found = self.find_spec(name, start)
            total += (found[1].rate if found else 0.0) * (min(end, until) - start)
            start = end
        return total

    def list_effective(self, after: float, until: float) -> list[Change]:
        """Return the changes that take effect after `after` and up to `until`, in order."""
        return [self.changes[revision - 1] for since, revision in self._due if after < since <= until]

    def next_due(self, after: float) -> float | None:
        """Return the next time after this one at which a change takes effect."""
        for since, _ in self._due:
            if since > after:
                return since
        return None

    def list_history(self, plan: str = "", firm: str = "") -> list[Change]:
        """Return the changes, with withdrawals, that concern a plan or a firm; all without arguments.

        Raises PlanChangeError where `firm` is not a firm number.
        """
        number = parse_firm(firm) if firm else -1
        return [change for change in self.changes if self._concerns(change, plan, number)]

    def _concerns(self, change: Change, plan: str, firm: int) -> bool:
        if change.kind == "withdraw":
            return self._concerns(self.changes[change.of - 1], plan, firm)
        if firm >= 0:
            return change.kind == "move" and parse_firm(change.firm) == firm
        return not plan or change.plan == plan
