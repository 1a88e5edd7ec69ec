"""Whether what was billed is what ran, and by how much firms passed their allowance. No I/O.

What a try must have been charged follows from the sim servers' record alone: its true cost where a server answered it
well, else its guess where a server had it whole (PROTOCOL: a try takes its units then), else nothing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..plans.book import Book
from .clients import Try
from .servers import Ran

Key = tuple[int, str, int]  # firm, plan, revision
MICRO = 1_000_000


@dataclass(slots=True)
class Due:
    """What one try must have been charged, in micro-units, and under which plan."""

    key: Key
    units: int


def due(ran: Iterable[Ran]) -> dict[str, Due]:
    found: dict[str, Due] = {}
    for one in sorted(ran, key=lambda row: row.at):
        units = round((one.cost if one.said == "ok" else one.guess) * MICRO)
        if one.id not in found:
            found[one.id] = Due((one.firm, one.plan, one.revision), units)
        elif one.said == "ok":
            found[one.id].units = units
    return found


@dataclass(slots=True)
class Verdict:
    faults: list[str] = field(default_factory=list)
    ran: int = 0  # micro-units that ran and whose answer left
    unanswered: int = 0  # tries that ran in an ingress that was killed before their answer left
    counted: int = 0
    billed: int = 0

    @property
    def agree(self) -> bool:
        return not self.faults


def reconcile(
    ran: Iterable[Ran], killed: dict[str, set[str]], counted: dict[Key, int], billed: dict[Key, int]
) -> Verdict:
    """`killed`: for each kill a name, and the ids that were out at that moment and that its ledger had not counted."""
    verdict = Verdict(counted=sum(counted.values()), billed=sum(billed.values()))
    lost = set().union(*killed.values()) if killed else set()
    must: dict[Key, int] = {}
    for ident, one in due(ran).items():
        if ident in lost:
            verdict.unanswered += 1
            continue
        must[one.key] = must.get(one.key, 0) + one.units
        verdict.ran += one.units
    for name, told in (("counted", counted), ("billed", billed)):
        for key in sorted(must.keys() | told.keys()):
            if must.get(key, 0) != told.get(key, 0):
                verdict.faults.append(
                    f"firm {key[0]:016x}, plan {key[1]}, revision {key[2]}: ran "
                    f"{must.get(key, 0) / MICRO:g} units, {name} {told.get(key, 0) / MICRO:g}"
                )
    return verdict


def answered_once(tries: Iterable[Try], down: set[int]) -> list[str]:
    """Tries that a living ingress took and that did not get exactly one answer."""
    return [
        f"try {one.id}: taken by ingress {one.ingress}, {one.answers} answers"
        for one in tries
        if one.taken and one.answers != 1 and one.ingress not in down
    ]


@dataclass(slots=True)
class Excess:
    """One firm's use against its allowance (integral of the rate and the burst it began with), in units."""

    firm: int
    used: float = 0.0
    allowed: float = 0.0
    over: float = 0.0

    @property
    def share(self) -> float:
        return self.over / self.allowed if self.allowed else 0.0


def excess(ran: Iterable[Ran], book: Book, told: dict[int, str], begin: float, end: float) -> list[Excess]:
    """Plays each firm's store over the servers' record: a try that is let in where the store lacks its units is over
    by what was lacking, which then counts as excess once and is not taken from the store. True costs settle with the
    try, as the quota counts them in the end."""
    firms: dict[int, list[Ran]] = {}
    seen: set[str] = set()
    rows = sorted(ran, key=lambda row: row.at)
    final = due(rows)
    for one in rows:
        if one.id not in seen:
            seen.add(one.id)
            firms.setdefault(one.firm, []).append(one)
    found = []
    for firm, tries in sorted(firms.items()):
        result, debt, at = Excess(firm), 0.0, begin
        plan = book.find_spec(book.plan_of(firm, begin, told[firm])[0], begin)
        result.allowed = (plan[1].burst if plan else 0.0) + book.integrate_rate(firm, told[firm], begin, end)
        for one in tries:
            debt = max(0.0, debt - book.integrate_rate(firm, told[firm], at, one.at))
            at = max(at, one.at)
            figures = book.find_spec(book.plan_of(firm, one.at, told[firm])[0], one.at)
            burst = figures[1].burst if figures else 0.0
            over = min(one.guess, max(0.0, debt + one.guess - burst))
            result.over += over
            cost = final[one.id].units / MICRO
            result.used += cost
            debt += cost - over
        found.append(result)
    return found
