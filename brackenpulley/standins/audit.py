"""Audit of a run: whether the billed units are those that ran, and by how much firms exceeded their allowance.

Works on records in memory, without I/O. The demo command and the plan change benchmark use it.

The expected charge of a message follows from the sim servers' records alone. It is the true cost where a server
answered with success, and the estimate where a server received the whole request without answering so, because the
protocol takes the units at that point. A message that no server received is charged nothing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..plans.book import Book
from .clients import SentMessage
from .servers import ReceivedRelay

Key = tuple[int, str, int]  # firm, plan, revision
MICRO_UNITS_PER_UNIT = 1_000_000


@dataclass(slots=True)
class ExpectedCharge:
    """What one message must have been charged, in micro-units, and under which firm, plan and plan revision."""

    key: Key
    units: int


def compute_expected_charges(ran: Iterable[ReceivedRelay]) -> dict[str, ExpectedCharge]:
    """Return the expected charge of each message by message id, from the sim servers' records."""
    charges: dict[str, ExpectedCharge] = {}
    for row in sorted(ran, key=lambda row: row.at):
        units = round((row.cost if row.outcome == "ok" else row.estimate) * MICRO_UNITS_PER_UNIT)
        if row.id not in charges:
            charges[row.id] = ExpectedCharge((row.firm, row.plan, row.revision), units)
        elif row.outcome == "ok":
            charges[row.id].units = units
    return charges


@dataclass(slots=True)
class Reconciliation:
    """Totals in micro-units of what ran, was counted and was billed, and the differences found between them."""

    faults: list[str] = field(default_factory=list)
    ran: int = 0  # micro-units of messages that ran, without the unanswered ones
    unanswered: int = 0  # messages that ran for an ingress that was killed before their answer left
    counted: int = 0
    billed: int = 0

    @property
    def is_consistent(self) -> bool:
        """Whether the counted and the billed units both equal the units that ran, for each key."""
        return not self.faults


def reconcile(
    ran: Iterable[ReceivedRelay], killed: dict[str, set[str]], counted: dict[Key, int], billed: dict[Key, int]
) -> Reconciliation:
    """Compare the units that ran with those that the ledgers counted and those that billing received.

    `killed` maps the name of each kill to the ids of the messages that were in flight at that moment and that the
    ledger of the killed ingress had not counted. `counted` and `billed` are in micro-units."""
    result = Reconciliation(counted=sum(counted.values()), billed=sum(billed.values()))
    lost = set().union(*killed.values()) if killed else set()
    expected: dict[Key, int] = {}
    for message_id, charge in compute_expected_charges(ran).items():
        if message_id in lost:
            result.unanswered += 1
            continue
        expected[charge.key] = expected.get(charge.key, 0) + charge.units
        result.ran += charge.units
    for name, reported in (("counted", counted), ("billed", billed)):
        for key in sorted(expected.keys() | reported.keys()):
            if expected.get(key, 0) != reported.get(key, 0):
                result.faults.append(
                    f"firm {key[0]:016x}, plan {key[1]}, revision {key[2]}: ran "
                    f"{expected.get(key, 0) / MICRO_UNITS_PER_UNIT:g} units, "
                    f"{name} {reported.get(key, 0) / MICRO_UNITS_PER_UNIT:g}"
                )
    return result


def find_wrong_answer_counts(messages: Iterable[SentMessage], down: set[int]) -> list[str]:
    """Describe each message that an ingress took and did not answer exactly once, without the ingresses in `down`."""
    return [
        f"message {message.id}: taken by ingress {message.ingress}, {message.answer_count} answers"
        for message in messages
        if message.is_written and message.answer_count != 1 and message.ingress not in down
    ]


@dataclass(slots=True)
class Excess:
    """One firm's use against its allowance (the integral of the rate plus the initial burst), in units."""

    firm: int
    used: float = 0.0
    allowed: float = 0.0
    over: float = 0.0

    @property
    def over_ratio(self) -> float:
        """Units over the allowance as a fraction of the allowance, 0 where nothing was allowed."""
        return self.over / self.allowed if self.allowed else 0.0


def compute_excess(
    ran: Iterable[ReceivedRelay], book: Book, requested_plans: dict[int, str], begin: float, end: float
) -> list[Excess]:
    """Replay each firm's token bucket over the sim servers' records from `begin` to `end`.

    A message admitted while the bucket lacks its units exceeds the allowance by the missing units. These count as
    excess once and are not taken from the bucket. The true cost settles together with the message, because the quota
    counts true costs in the end. `requested_plans` maps a firm to the plan that its clients send."""
    firms: dict[int, list[ReceivedRelay]] = {}
    seen: set[str] = set()
    rows = sorted(ran, key=lambda row: row.at)
    charges = compute_expected_charges(rows)
    for row in rows:
        if row.id not in seen:
            seen.add(row.id)
            firms.setdefault(row.firm, []).append(row)
    results = []
    for firm, firm_rows in sorted(firms.items()):
        result, debt, at = Excess(firm), 0.0, begin
        plan = book.find_spec(book.plan_of(firm, begin, requested_plans[firm])[0], begin)
        result.allowed = (plan[1].burst if plan else 0.0) + book.integrate_rate(firm, requested_plans[firm], begin, end)
        for row in firm_rows:
            debt = max(0.0, debt - book.integrate_rate(firm, requested_plans[firm], at, row.at))
            at = max(at, row.at)
            figures = book.find_spec(book.plan_of(firm, row.at, requested_plans[firm])[0], row.at)
            burst = figures[1].burst if figures else 0.0
            over = min(row.estimate, max(0.0, debt + row.estimate - burst))
            result.over += over
            cost = charges[row.id].units / MICRO_UNITS_PER_UNIT
            result.used += cost
            debt += cost - over
        results.append(result)
    return results
