"""The plan book and reservations on the daemon's loop: what holds from now on goes to the module as events."""

from __future__ import annotations

from typing import Any

from ..core.ingress import Ingress
from ..core.message import Message
from ..metrics import Metrics
from ..net.loop import Loop, Timer
from ..operator import ReservationsOptions
from ..policy import interface as i
from . import snapshot
from .book import Book, Change, PlanChangeError, format_firm, parse_firm
from .reservations import Reservation, ReservationError, Reservations


class PlanService:
    """Owns the book and its one file."""

    def __init__(
        self, loop: Loop, ingress: Ingress, plans: list[i.PlanSpec], path: str, metrics: Metrics, log: Any
    ) -> None:
        """Raises SnapshotError."""
        self.loop, self.ingress, self.path, self.metrics, self.log = loop, ingress, path, metrics, log
        self.book = Book(plans)
        for line in snapshot.load(path, self.book, loop.clock()):
            log.error("plans", error=line)
        self._until = loop.clock()  # what took effect up to here the module has been told
        self._timer: Timer | None = None

    def start(self) -> None:
        self._tell(self.book.changes, self.loop.clock())
        self._wait()

    def plan_of(self, customer: int, told: str) -> tuple[str, int]:
        return self.book.plan_of(customer, self.loop.clock(), told)

    def change(self, change: Change) -> bool:
        """False where it was taken before. Raises PlanChangeError; then, and where the file can't be written, all is as
        it was."""
        now = self.loop.clock()
        if not self.book.validate(change, now):
            self.metrics.add("plan_changes_repeated")
            return False
        try:
            snapshot.save(self.path, [*self.book.changes, change])
        except OSError as error:
            self.metrics.add("snapshot_failures")
            raise PlanChangeError(503, "snapshot", f"{self.path}: {error.strerror}; nothing was changed") from None
        self.book.apply(change, now)
        self.metrics.add("plan_changes")
        if change.kind != "withdraw":
            late = now - change.since
            self.log.info(
                "plan change",
                revision=change.revision,
                kind=change.kind,
                plan=change.plan,
                firm=change.firm,
                in_s=round(-late, 3),
            )
            if late >= 0:
                self.metrics.add("plan_changes_late" if late > 0.05 else "plan_changes_at_once")
                self._tell([change], now)
        elif (old := self.book.changes[change.of - 1]).since <= now:
            # Withdrawn in time, but heard of late: what holds instead is told.
            self._tell([old], now)
        self._wait()
        return True

    def _wait(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self.book.next_due(self._until)
        if due is not None:
            self._timer = self.loop.call_at(due, self._effect)

    def _effect(self) -> None:
        now = self.loop.clock()
        self._tell(self.book.list_effective(self._until, now), now)
        self._until = now
        self._wait()

    def _tell(self, changes: list[Change], now: float) -> None:
        """The module hears what the book says now of everything that these changes are about."""
        plans = {change.plan: None for change in changes if change.kind == "set"}
        found = [held[1] for plan in plans if (held := self.book.find_spec(plan, now))]
        changed: list[int] = []
        if found:
            names = {plan.name for plan in found}
            changed += [key for key, c in self.ingress.decision_module.firms.items() if c.plan.name in names]
            self.ingress.notify(i.PlansChanged(found))
        for firm in {parse_firm(change.firm): None for change in changes if change.kind == "move"}:
            name, _ = self.book.plan_of(firm, now)
            if name:
                changed.append(firm)
                self.ingress.notify(i.FirmMoved(firm, name))
        if self.ingress.leases is not None:
            self.ingress.leases.moved(changed)

    def status(self) -> dict[str, Any]:
        now = self.loop.clock()
        due = self.book.next_due(now)
        return {
            "revision": self.book.revision,
            "firms": len(self.book.firms),
            "plans": self.book.plans,
            "nextChangeIn": None if due is None else round(due - now, 3),
            "snapshot": self.path,
        }


class ReservationService:
    """Owns the table of reservations; the module holds the units."""

    def __init__(self, loop: Loop, ingress: Ingress, part: ReservationsOptions, metrics: Metrics) -> None:
        self.loop, self.ingress, self.part, self.metrics = loop, ingress, part, metrics
        self.table = Reservations(part.max_reservations, part.max_lifetime_seconds)
        self._timer: Timer | None = None
        self._at = 0.0

    def reserve(
        self, ident: str, firm: int, plan: str, units: float, lifetime: float, spread: int = 1, first: int = 0
    ) -> tuple[Reservation | None, float]:
        """The reservation, or None and when to come back (s). Raises ReservationError."""
        now = self.loop.clock()
        old = self.table.check(ident, firm, units, lifetime, now)
        if old is not None:
            return old, 0.0
        settings, revision = self.ingress.decision_module.settings, 0
        if units > settings.most_units:
            raise ReservationError(400, "units", f"{units:g} is more than the {settings.most_units:g} of one request")
        if not 1 <= spread <= settings.places or not 0 <= first < settings.places:
            raise ReservationError(400, "spread", f"{spread} from {first} is no set of {settings.places}")
        if self.ingress.plans is not None:
            plan, revision = self.ingress.plans.plan_of(firm, plan)
        if plan not in self.ingress.decision_module.plans:
            raise ReservationError(400, "plan", f"no plan {plan[:40]!r}")
        answer = self.ingress.reserve(i.Reserve(ident, firm, plan, units, spread, first))
        if isinstance(answer, i.Refuse):
            self.metrics.add("reservations_refused")
            return None, answer.retry_after
        one = Reservation(ident, firm, plan, revision, units, now, now + lifetime)
        self._hold(one)
        return one, 0.0

    def _hold(self, one: Reservation) -> None:
        self.table.hold(one)
        self.metrics.add("reservations_" + one.kind)
        self._wait()

    def commit(self, ident: str, units: float) -> Reservation:
        """Raises ReservationError."""
        if units > 1e6:
            raise ReservationError(400, "units", f"{units:g} is no amount up to 1000000")
        if (one := self.table.commit(ident, units, self.loop.clock())) is not None:
            self._settle(one, units, "committed")
        found = self.table.known(ident)
        assert found is not None
        return found

    def release(self, ident: str) -> Reservation:
        """Raises ReservationError."""
        if (one := self.table.release(ident, self.loop.clock())) is not None:
            self._settle(one, 0.0, "released")
        found = self.table.known(ident)
        assert found is not None
        return found

    def _settle(self, one: Reservation, units: float, how: str) -> None:
        self.metrics.add("reservations_" + how)
        one.settled = units
        self.ingress.notify(i.Settle(one.id, one.firm, one.plan, one.revision, one.units, units, one.made))
        if self.ingress.leases is not None:
            self.ingress.leases.settled(one.firm)

    def _wait(self) -> None:
        due = self.table.next_due()
        if due is None or self._timer is not None and self._at <= due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._at = due
        self._timer = self.loop.call_at(due, self._ended)

    def _ended(self) -> None:
        self._timer = None
        for one in self.table.due(self.loop.clock()):
            charged = one.kind == "granted" and self.part.charge_grants
            self._settle(one, one.units if charged else 0.0, "expired")
        self._wait()

    # What the core asks.

    def pays(self, message: Message) -> float:
        one = self.table.use(message.reservation, message.firm, self.loop.clock())
        return one.units if one is not None else 0.0

    def used(self, message: Message) -> None:
        if self.pays(message):
            self.metrics.add("reservations_used")
            self.table.used(message.reservation, self.loop.clock())

    def granted(self, message: Message) -> bool:
        if not self.part.grant_lifetime_seconds or len(self.table) >= self.table.most or self.table.known(message.id):
            return False
        now = self.loop.clock()
        self._hold(
            Reservation(
                message.id,
                message.firm,
                message.plan,
                message.revision,
                message.units,
                now,
                now + self.part.grant_lifetime_seconds,
                "granted",
            )
        )
        return True

    def status(self) -> dict[str, Any]:
        return {"held": len(self.table), "units": self.table.units_held(), "most": self.table.most}


def row(one: Reservation, now: float) -> dict[str, Any]:
    return {
        "id": one.id,
        "firm": format_firm(one.firm),
        "plan": one.plan,
        "revision": one.revision,
        "units": one.units,
        "state": one.state,
        "kind": one.kind,
        "charged": one.settled,
        "endsIn": round(max(0.0, one.until - now), 3) if one.state == "held" else 0.0,
    }
