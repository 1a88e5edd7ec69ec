"""The lease service: carries out the lease manager's effects on the daemon's loop.

Calls go to the shared counter, grants to the decision module. The ingress asks it before it decides on a message.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..core.ingress import Counter, Ingress
from ..core.message import Message
from ..metrics import Metrics
from ..net.loop import Loop
from ..operator import LeasesOptions
from ..policy import interface
from .book import Book
from .leases import EPOCH_SECONDS, CounterCall, Effect, LeaseFinished, LeaseGrant, LeaseManager

SWEEP_SECONDS = 0.25
COUNTER_LOST_SECONDS = 1.0  # without a reply, after which the counter is regarded as lost


class WaitingMessage:
    """A message that waits for a lease."""

    __slots__ = ("service", "firm", "done")

    def __init__(self, service: LeaseService, firm: int, done: Callable[[], None]) -> None:
        self.service, self.firm, self.done = service, firm, done

    def drop(self) -> None:
        """Stop waiting; `done` is not called any more."""
        self.service.waiting_by_firm.get(self.firm, {}).pop(self, None)


class LeaseService:
    """Leases units for the firms of waiting messages, and tracks whether the counter replies."""

    def __init__(
        self,
        loop: Loop,
        ingress: Ingress,
        counter: Counter,
        book: Book,
        options: LeasesOptions,
        metrics: Metrics,
        log: Any,
    ) -> None:
        self.loop, self.ingress, self.counter, self.book = loop, ingress, counter, book
        self.options, self.metrics, self.log = options, metrics, log
        self.manager = LeaseManager(book.integrate_rate, self._burst, options.prefetch_seconds, options.idle_seconds)
        self.waiting_by_firm: dict[int, dict[WaitingMessage, None]] = {}
        self.last_reply_at = loop.clock()
        self.unanswered_since = 0.0  # time of the first call since the last reply; 0 = none
        self.is_counter_lost = False
        self._shared_at: dict[int, float] = {}  # by firm: when its share was last granted

    def start(self) -> None:
        """Start the periodic sweep."""
        self.loop.call_in(SWEEP_SECONDS, self._sweep)

    def _burst(self, firm: int, requested_plan: str, when: float) -> float:
        found = self.book.find_spec(self.book.plan_of(firm, when, requested_plan)[0], when)
        return found[1].burst if found else 0.0

    def find_level(self, firm: int) -> float:
        """Return the units that the decision module holds for a firm."""
        record = self.ingress.decision_module.firms.get(firm)
        return record.level if record is not None else 0.0

    def ask(self, message: Message, done: Callable[[], None]) -> WaitingMessage | None:
        """Request units for a message; returns a handle where it must wait, and then calls `done` after the lease."""
        now, firm = self.loop.clock(), message.firm
        plan = self.ingress.decision_module.plans.get(message.plan)
        if plan is None or not plan.rate:
            return None
        if self.is_counter_lost and self.options.share_on_counter_loss:
            self._share_rate(now, message, plan)
        waits, effects = self.manager.request(
            now,
            firm,
            message.plan,
            message.units,
            message.spread,
            message.first,
            self.find_level(firm),
            message.requested_plan,
        )
        waiting = WaitingMessage(self, firm, done) if waits else None
        if waiting is not None:
            self.metrics.add("lease_waits")
            self.waiting_by_firm.setdefault(firm, {})[waiting] = None
        self._apply_effects(effects)
        return waiting

    def _share_rate(self, now: float, message: Message, plan: interface.PlanSpec) -> None:
        """Grant this ingress an equal share of the firm's rate, at most one second's at once.

        Used while the counter is lost and the operator chose to share then.
        """
        since = self._shared_at.get(message.firm, now - 1.0)
        units = min(1.0, now - since) * plan.rate / message.spread
        max_units = max(plan.rate / message.spread, message.units) - self.find_level(message.firm)
        if (units := min(units, max_units)) > 0:
            self._shared_at[message.firm] = now
            self.metrics.add("lease_shares")
            self.ingress.notify(
                interface.LeaseGranted(message.firm, message.plan, units, message.spread, message.first)
            )

    def counted(self, event: interface.CounterResult) -> None:
        """Handle the end of a counter call."""
        now = self.loop.clock()
        if event.status == "ok":
            self.last_reply_at, self.unanswered_since = now, 0.0
            if self.is_counter_lost:
                self.is_counter_lost = False
                self._shared_at.clear()
                self.log.info("leases", said="the counter answers again")
        elif not self.is_counter_lost and self.unanswered_since and now - self.unanswered_since > COUNTER_LOST_SECONDS:
            self.is_counter_lost = True
            self.metrics.add("lease_counter_lost")
            self.log.error(
                "leases",
                error="the counter does not answer",
                mode="share" if self.options.share_on_counter_loss else "refuse",
            )
        self._apply_effects(self.manager.handle_reply(now, event.name, event.status, event.total))

    def settled(self, firm: int) -> None:
        """Lease what the true cost of a message took beyond the units held for the firm."""
        self._apply_effects(self.manager.lease_overdraft(self.loop.clock(), firm, self.find_level(firm)))

    def moved(self, firms: Iterable[int]) -> None:
        """Return the leases of firms whose plan or figures changed."""
        for firm in firms:
            self._apply_effects(self.manager.return_units(self.loop.clock(), firm, self.find_level(firm)))

    def _apply_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, CounterCall):
                self.metrics.add("lease_calls")
                self.unanswered_since = self.unanswered_since or self.loop.clock()
                self.counter.add(effect.name, effect.amount, effect.ttl)
            elif isinstance(effect, LeaseGrant):
                self.ingress.notify(
                    interface.LeaseGranted(effect.firm, effect.plan, effect.units, effect.spread, effect.first)
                )
            elif isinstance(effect, LeaseFinished):
                for waiting in list(self.waiting_by_firm.pop(effect.firm, {})):
                    waiting.done()

    def _sweep(self) -> None:
        self._apply_effects(self.manager.sweep(self.loop.clock(), self.find_level))
        self.loop.call_in(SWEEP_SECONDS, self._sweep)

    def return_all_leases(self) -> None:
        """Return all held units at shutdown; calls that are not sent before the end are lost."""
        self._apply_effects(self.manager.sweep(self.loop.clock(), self.find_level, return_all=True))

    def status(self) -> dict[str, Any]:
        """Return the lease figures shown by the control API."""
        return {
            "firms": len(self.manager.firms),
            "calls": self.manager.calls_by_stage,
            "refused": self.manager.refused_count,
            "unitsLost": round(self.manager.lost_units, 3),
            "counterLost": self.is_counter_lost,
            "epochSeconds": EPOCH_SECONDS,
        }
