"""Compares what clients and servers recorded with the operators' rules. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from .clients import Outcome
from .plans import body_of
from .proxy import Attempt

LATE_SECONDS = 0.5  # by which an answer may be late without being lost (STANDING)
HELD_BACK_SECONDS = 2.0  # for which nothing that a server gave may be held back (DAYS)
CLOCK_SLACK_SECONDS = 0.15  # an ingress may be held up for so long between its clock and its writing (STANDING)
TAKEN_AFTER_TERM_SECONDS = 0.7  # a request that came later after SIGTERM may be lost at SIGKILL (PROTOCOL)


@dataclass(frozen=True, slots=True)
class Shutdown:
    """SIGTERM and SIGKILL of a node."""

    node: str
    term_at: float
    kill_at: float

    def excuses(self, outcome: Outcome) -> bool:
        """Whether the request may be lost: it came too late, or its long answer still flowed at SIGKILL."""
        if outcome.node != self.node or outcome.ended_at < self.kill_at or outcome.sent_at > self.kill_at + 0.01:
            return False
        return outcome.sent_at > self.term_at + TAKEN_AFTER_TERM_SECONDS or outcome.status == 200


@dataclass(frozen=True, slots=True)
class Break:
    """A broken rule."""

    rule: str
    message_id: str
    details: str


def find_breaks(
    outcomes: Iterable[Outcome], attempts: dict[str, list[Attempt]], shutdowns: list[Shutdown]
) -> list[Break]:
    """Return every broken rule."""
    found = []
    for outcome in outcomes:
        if not outcome.sent_at or any(shutdown.excuses(outcome) for shutdown in shutdowns):
            continue  # one that was never written was not taken
        found += [
            Break(rule, outcome.plan.message_id, f"{details}; {describe(outcome, attempts)}")
            for rule, details in check(outcome, attempts.get(outcome.plan.message_id, []))
        ]
    return found


def check(outcome: Outcome, attempts: list[Attempt]) -> Iterable[tuple[str, str]]:
    """Yield the rules that one request broke."""
    plan = outcome.plan
    if not outcome.status:
        yield "lost", "no answer"
        return
    counts_until = outcome.first_byte_at if plan.is_long and outcome.status == 200 else outcome.ended_at
    if counts_until > outcome.sent_at + plan.wait_s + LATE_SECONDS:
        yield "late", f"answered {counts_until - outcome.sent_at:.3f} s after its last byte"
    if outcome.status == 200 and outcome.body != body_of(plan.message_id, plan.size)[: len(outcome.body)]:
        yield "wrong", "another body"
    if outcome.status == 200 and outcome.is_whole and len(outcome.body) != plan.size:
        yield "wrong", "a short body that seems whole"
    if plan.fault.is_sound and plan.is_long:
        for attempt in attempts:
            if attempt.head_at and attempt.closed_at:
                yield "cut", f"the answer of {attempt.server} was cut off"
        if outcome.status == 200 and not outcome.is_whole:
            yield "cut", "the answer ends early"
        yield from check_held(outcome, attempts)


def check_held(outcome: Outcome, attempts: list[Attempt]) -> Iterable[tuple[str, str]]:
    """Yield the first byte that a server gave and the client got too late."""
    if outcome.status != 200 or not attempts:
        return
    for given_at, offset in attempts[-1].given:
        due = given_at + HELD_BACK_SECONDS + CLOCK_SLACK_SECONDS
        had = max((size for at, size in outcome.received if at <= due), default=0)
        if had < offset and outcome.ended_at > due:
            yield "held", f"byte {offset} was held back for more than {HELD_BACK_SECONDS} s"
            return


def describe(outcome: Outcome, attempts: dict[str, list[Attempt]]) -> str:
    """Describe a request in the manner of the operators' reports; times count from its last byte."""
    plan, start = outcome.plan, outcome.sent_at
    text = (
        f"{plan.fault.value}, {plan.framing}, {plan.size} bytes, body of {plan.request_size}; class "
        f"{plan.priority_class} node {outcome.node} wait {plan.wait_s:.3f} status {outcome.status} first byte "
        f"{outcome.first_byte_at - start:.3f} ended {outcome.ended_at - start:.3f} with {len(outcome.body)}"
    )
    for attempt in attempts.get(plan.message_id, []):
        given = attempt.given[-1] if attempt.given else (start, 0)
        text += (
            f"; {attempt.server} head {attempt.head_at - start:.3f} gave {given[1]} by {given[0] - start:.3f}"
            f"{f' closed by the node {attempt.closed_at - start:.3f}' if attempt.closed_at else ''}"
        )
    return text
