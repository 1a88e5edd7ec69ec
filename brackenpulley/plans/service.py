"""The plan and reservation services: the plan book and the reservation table on the daemon's loop.

Both notify the decision module by events; the control API and the ingress call them.
"""

from __future__ import annotations

from typing import Any

from ..core.ingress import Ingress
from ..core.message import Message
from ..metrics import Metrics
from ..net.loop import Loop, Timer
from ..operator import ReservationsOptions
from ..policy import interface
from . import snapshot
from .book import Book, Change, PlanChangeError, format_firm, parse_firm
from .reservations import Reservation, ReservationError, ReservationTable


class PlanService:
    """Owns the plan book and its snapshot file; tells the decision module of changes when they take effect."""

    def __init__(
        self, loop: Loop, ingress: Ingress, plans: list[interface.PlanSpec], path: str, metrics: Metrics, log: Any
    ) -> None:
        """Load the snapshot. Raises SnapshotError where no usable file is left."""
        self.loop, self.ingress, self.path, self.metrics, self.log = loop, ingress, path, metrics, log
        self.book = Book(plans)
        for line in snapshot.load(path, self.book):
            log.error("plans", error=line)
        self._notified_until = loop.clock()  # the module was notified of changes effective up to here
        self._timer: Timer | None = None

    def start(self) -> None:
        """Notify the module of the loaded changes and schedule the next one."""
        self._notify_changes(self.book.changes, self.loop.clock())
        self._schedule()

    def plan_of(self, firm: int, requested_plan: str) -> tuple[str, int]:
        """Return the current plan of a firm, and the revision of the book that set it or its figures."""
        return self.book.plan_of(firm, self.loop.clock(), requested_plan)

    def change(self, change: Change, is_history: bool = False) -> bool:
        """Store and apply a change; returns False where it was applied before.

        `is_history`: another daemon's book holds it already, so its times are not checked against the clock.
        Raises PlanChangeError where it is rejected or the snapshot cannot be written; nothing is changed then.
        """
        now = self.loop.clock()
        checked_against = None if is_history else now
        if not self.book.validate(change, checked_against):
            self.metrics.add("plan_changes_repeated")
            return False
        try:
            snapshot.save(self.path, [*self.book.changes, change])
        except OSError as error:
            self.metrics.add("snapshot_failures")
            raise PlanChangeError(503, "snapshot", f"{self.path}: {error.strerror}; nothing was changed") from None
        self.book.apply(change, checked_against)
        self.metrics.add("plan_changes")
        if change.kind != "withdraw":
            lateness = now - change.since
            self.log.info(
                "plan change",
                revision=change.revision,
                kind=change.kind,
                plan=change.plan,
                firm=change.firm,
                in_s=round(-lateness, 3),
            )
            if lateness >= 0:
                self.metrics.add("plan_changes_late" if lateness > 0.05 else "plan_changes_at_once")
                self._notify_changes([change], now)
        elif (previous := self.book.changes[change.of - 1]).since <= now:
            # Withdrawn in time but received late: notify the module of what is effective instead.
            self._notify_changes([previous], now)
        self._schedule()
        return True

    def _schedule(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        next_due = self.book.next_due(self._notified_until)
        if next_due is not None:
            self._timer = self.loop.call_at(next_due, self._apply_due)

    def _apply_due(self) -> None:
        now = self.loop.clock()
        self._notify_changes(self.book.list_effective(self._notified_until, now), now)
        self._notified_until = now
        self._schedule()

    def _notify_changes(self, changes: list[Change], now: float) -> None:
        """Notify the module of the current figures and assignments that these changes concern."""
        plans = {change.plan: None for change in changes if change.kind == "set"}
        found = [held[1] for plan in plans if (held := self.book.find_spec(plan, now))]
        changed: list[int] = []
        if found:
            names = {plan.name for plan in found}
            changed += [key for key, record in self.ingress.decision_module.firms.items() if record.plan.name in names]
            self.ingress.notify(interface.PlansChanged(found))
        for firm in {parse_firm(change.firm): None for change in changes if change.kind == "move"}:
            name, _ = self.book.plan_of(firm, now)
            if name:
                changed.append(firm)
                self.ingress.notify(interface.FirmMoved(firm, name))
        if self.ingress.leases is not None:
            self.ingress.leases.moved(changed)

    def status(self) -> dict[str, Any]:
        """Return the state of the plan book shown by the control API."""
        now = self.loop.clock()
        next_due = self.book.next_due(now)
        return {
            "revision": self.book.revision,
            "firms": len(self.book.firms),
            "plans": self.book.plans,
            "nextChangeIn": None if next_due is None else round(next_due - now, 3),
            "snapshot": self.path,
        }


class ReservationService:
    """Owns the table of reservations; the decision module holds their units."""

    def __init__(self, loop: Loop, ingress: Ingress, options: ReservationsOptions, metrics: Metrics) -> None:
        self.loop, self.ingress, self.options, self.metrics = loop, ingress, options, metrics
        self.table = ReservationTable(options.max_reservations, options.max_lifetime_seconds)
        self._timer: Timer | None = None
        self._timer_at = 0.0

    def reserve(
        self, ident: str, firm: int, plan: str, units: float, lifetime: float, spread: int = 1, first: int = 0
    ) -> tuple[Reservation | None, float]:
        """Reserve units; returns the reservation, or None and seconds until a retry. Raises ReservationError."""
        now = self.loop.clock()
        previous = self.table.check_new(ident, firm, units, lifetime, now)
        if previous is not None:
            return previous, 0.0
        settings, revision = self.ingress.decision_module.settings, 0
        if units > settings.most_units:
            raise ReservationError(
                400, "units", f"{units:g} is more than {settings.most_units:g}, the maximum of one request"
            )
        if not 1 <= spread <= settings.places or not 0 <= first < settings.places:
            raise ReservationError(400, "spread", f"{spread} from {first} is not a range of {settings.places} places")
        if self.ingress.plans is not None:
            plan, revision = self.ingress.plans.plan_of(firm, plan)
        if plan not in self.ingress.decision_module.plans:
            raise ReservationError(400, "plan", f"no plan {plan[:40]!r}")
        answer = self.ingress.reserve(interface.Reserve(ident, firm, plan, units, spread, first))
        if isinstance(answer, interface.Refuse):
            self.metrics.add("reservations_refused")
            return None, answer.retry_after
        reservation = Reservation(ident, firm, plan, revision, units, now, now + lifetime)
        self._add(reservation)
        return reservation, 0.0

    def _add(self, reservation: Reservation) -> None:
        self.table.add(reservation)
        self.metrics.add("reservations_" + reservation.kind)
        self._schedule()

    def commit(self, ident: str, units: float) -> Reservation:
        """Charge a reservation with its true units. Raises ReservationError."""
        if units > 1e6:
            raise ReservationError(400, "units", f"{units:g} is more than 1000000")
        if (reservation := self.table.commit(ident, units, self.loop.clock())) is not None:
            self._settle(reservation, units, "committed")
        found = self.table.find(ident)
        assert found is not None
        return found

    def release(self, ident: str) -> Reservation:
        """Return the units of a reservation. Raises ReservationError."""
        if (reservation := self.table.release(ident, self.loop.clock())) is not None:
            self._settle(reservation, 0.0, "released")
        found = self.table.find(ident)
        assert found is not None
        return found

    def _settle(self, reservation: Reservation, units: float, outcome: str) -> None:
        self.metrics.add("reservations_" + outcome)
        reservation.charged_units = units
        self.ingress.notify(
            interface.Settle(
                reservation.id,
                reservation.firm,
                reservation.plan,
                reservation.revision,
                reservation.units,
                units,
                reservation.reserved_at,
            )
        )
        if self.ingress.leases is not None:
            self.ingress.leases.settled(reservation.firm)

    def _schedule(self) -> None:
        next_due = self.table.next_expiry()
        if next_due is None or self._timer is not None and self._timer_at <= next_due:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = next_due
        self._timer = self.loop.call_at(next_due, self._expire_due)

    def _expire_due(self) -> None:
        self._timer = None
        for reservation in self.table.expire_due(self.loop.clock()):
            charged = reservation.kind == "granted" and self.options.charge_grants
            self._settle(reservation, reservation.units if charged else 0.0, "expired")
        self._schedule()

    def pays(self, message: Message) -> float:
        """Return the units that the message's reservation holds for it, or 0."""
        reservation = self.table.find_usable(message.reservation, message.firm, self.loop.clock())
        return reservation.units if reservation is not None else 0.0

    def used(self, message: Message) -> None:
        """End the message's reservation once the message is relayed."""
        if self.pays(message):
            self.metrics.add("reservations_used")
            self.table.mark_used(message.reservation, self.loop.clock())

    def granted(self, message: Message) -> bool:
        """Hold the units of a message that the authorization service allowed; returns whether they are held."""
        if (
            not self.options.grant_lifetime_seconds
            or len(self.table) >= self.table.max_held
            or self.table.find(message.id)
        ):
            return False
        now = self.loop.clock()
        self._add(
            Reservation(
                message.id,
                message.firm,
                message.plan,
                message.revision,
                message.units,
                now,
                now + self.options.grant_lifetime_seconds,
                "granted",
            )
        )
        return True

    def status(self) -> dict[str, Any]:
        """Return the totals of reservations shown by the control API."""
        return {"held": len(self.table), "units": self.table.sum_held_units(), "most": self.table.max_held}


def describe_reservation(reservation: Reservation, now: float) -> dict[str, Any]:
    """Return a reservation as shown by the control API."""
    return {
        "id": reservation.id,
        "firm": format_firm(reservation.firm),
        "plan": reservation.plan,
        "revision": reservation.revision,
        "units": reservation.units,
        "state": reservation.state,
        "kind": reservation.kind,
        "charged": reservation.charged_units,
        "endsIn": round(max(0.0, reservation.expires_at - now), 3) if reservation.state == "held" else 0.0,
    }
