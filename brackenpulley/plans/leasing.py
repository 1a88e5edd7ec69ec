"""The exact mode on the daemon's loop: the keeper's calls go to the counter, its grants to the module."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..core.ingress import Counter, Ingress
from ..core.message import Message
from ..metrics import Metrics
from ..net.loop import Loop
from ..operator import LeasesOptions
from ..policy import interface as i
from .book import Book
from .leases import EPOCH_SECONDS, CounterCall, Effect, LeaseFinished, LeaseGrant, LeaseManager

SWEEP = 0.25  # s
LOST = 1.0  # s without an answer after which the counter counts as lost


class Waiting:
    """One message that waits for a lease."""

    __slots__ = ("service", "firm", "done")

    def __init__(self, service: LeaseService, firm: int, done: Callable[[], None]) -> None:
        self.service, self.firm, self.done = service, firm, done

    def drop(self) -> None:
        self.service.waiting.get(self.firm, {}).pop(self, None)


class LeaseService:
    def __init__(
        self,
        loop: Loop,
        ingress: Ingress,
        counter: Counter,
        book: Book,
        part: LeasesOptions,
        metrics: Metrics,
        log: Any,
    ) -> None:
        self.loop, self.ingress, self.counter, self.book = loop, ingress, counter, book
        self.part, self.metrics, self.log = part, metrics, log
        self.keeper = LeaseManager(book.integrate_rate, self._burst, part.prefetch_seconds, part.idle_seconds)
        self.waiting: dict[int, dict[Waiting, None]] = {}
        self.heard = loop.clock()
        self.asked = 0.0  # when the first call without an answer since was made; 0 = none
        self.lost = False
        self._shared: dict[int, float] = {}  # firm: when its share was last given out

    def start(self) -> None:
        self.loop.call_in(SWEEP, self._sweep)

    def _burst(self, firm: int, told: str, when: float) -> float:
        found = self.book.find_spec(self.book.plan_of(firm, when, told)[0], when)
        return found[1].burst if found else 0.0

    def level(self, firm: int) -> float:
        record = self.ingress.decision_module.firms.get(firm)
        return record.level if record is not None else 0.0

    def ask(self, message: Message, done: Callable[[], None]) -> Waiting | None:
        now, firm = self.loop.clock(), message.firm
        plan = self.ingress.decision_module.plans.get(message.plan)
        if plan is None or not plan.rate:
            return None
        if self.lost and self.part.share_on_counter_loss:
            self._share(now, message, plan)
        waits, effects = self.keeper.request(
            now,
            firm,
            message.plan,
            message.units,
            message.spread,
            message.first,
            self.level(firm),
            message.requested_plan,
        )
        waiting = Waiting(self, firm, done) if waits else None
        if waiting is not None:
            self.metrics.add("lease_waits")
            self.waiting.setdefault(firm, {})[waiting] = None
        self._do(effects)
        return waiting

    def _share(self, now: float, message: Message, plan: i.PlanSpec) -> None:
        """The counter is lost: each ingress of the firm's set lets in its even part of the rate, a second's at once."""
        since = self._shared.get(message.firm, now - 1.0)
        units = min(1.0, now - since) * plan.rate / message.spread
        most = max(plan.rate / message.spread, message.units) - self.level(message.firm)
        if (units := min(units, most)) > 0:
            self._shared[message.firm] = now
            self.metrics.add("lease_shares")
            self.ingress.notify(i.LeaseGranted(message.firm, message.plan, units, message.spread, message.first))

    def counted(self, event: i.CounterResult) -> None:
        now = self.loop.clock()
        if event.status == "ok":
            self.heard, self.asked = now, 0.0
            if self.lost:
                self.lost = False
                self._shared.clear()
                self.log.info("leases", said="the counter answers again")
        elif not self.lost and self.asked and now - self.asked > LOST:
            self.lost = True
            self.metrics.add("lease_counter_lost")
            self.log.error(
                "leases",
                error="the counter does not answer",
                mode="share" if self.part.share_on_counter_loss else "refuse",
            )
        self._do(self.keeper.handle_reply(now, event.name, event.status, event.total))

    def settled(self, customer: int) -> None:
        self._do(self.keeper.lease_overdraft(self.loop.clock(), customer, self.level(customer)))

    def moved(self, customers: Iterable[int]) -> None:
        for customer in customers:
            self._do(self.keeper.return_units(self.loop.clock(), customer, self.level(customer)))

    def _do(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, CounterCall):
                self.metrics.add("lease_calls")
                self.asked = self.asked or self.loop.clock()
                self.counter.add(effect.name, effect.amount, effect.ttl)
            elif isinstance(effect, LeaseGrant):
                self.ingress.notify(i.LeaseGranted(effect.firm, effect.plan, effect.units, effect.spread, effect.first))
            elif isinstance(effect, LeaseFinished):
                for waiting in list(self.waiting.pop(effect.firm, {})):
                    waiting.done()

    def _sweep(self) -> None:
        self._do(self.keeper.sweep(self.loop.clock(), self.level))
        self.loop.call_in(SWEEP, self._sweep)

    def give_back(self) -> None:
        """The end: what is held goes back to the others, as far as the calls get out."""
        self._do(self.keeper.sweep(self.loop.clock(), self.level, return_all=True))

    def status(self) -> dict[str, Any]:
        return {
            "firms": len(self.keeper.firms),
            "calls": self.keeper.calls_by_stage,
            "refused": self.keeper.refused_count,
            "unitsLost": round(self.keeper.lost_units, 3),
            "counterLost": self.lost,
            "epochSeconds": EPOCH_SECONDS,
        }
