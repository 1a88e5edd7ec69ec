"""Explicit reservations: units held for a later message. A state table without I/O; the caller passes the time.

    held --commit(units)--> committed      charged with the true units
    held --release--------> released       all units returned
    held --lifetime over--> expired        all units returned; grants of the authorization service charged if set
    held --relay----------> used           a message names it and takes over its units; the message is charged by itself

A repeated call gets the result of the first one. A call that does not fit the state changes nothing: commit or release
after expiry gives 410; release after commit, commit after release, and a second commit with other units give 409.
Ended reservations are remembered for `RETENTION_SECONDS`; later calls give 404, as for an unknown id.

`service.ReservationService` owns the table.
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict
from dataclasses import dataclass

RETENTION_SECONDS = 600.0  # after the end of a reservation
ENDED_STATUS = {"expired": 410}


class ReservationError(ValueError):
    """A rejected call; `status` is an HTTP status, and the text starts with the field."""

    def __init__(self, status: int, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.status, self.field, self.text = status, field, text


@dataclass(slots=True)
class Reservation:
    """Units held for a firm, their expiry and how the reservation ended."""

    id: str
    firm: int
    plan: str
    revision: int
    units: float
    reserved_at: float
    expires_at: float
    kind: str = "asked"  # "asked" by the control API, "granted" by the authorization service
    state: str = "held"
    ended_at: float = 0.0
    charged_units: float = 0.0


class ReservationTable:
    """All reservations, held and recently ended.

    At most `max_held` are held at once; `max_lifetime` is in seconds.
    """

    def __init__(self, max_held: int, max_lifetime: float) -> None:
        self.max_held, self.max_lifetime = max_held, max_lifetime
        self._held: dict[str, Reservation] = {}
        self._past: OrderedDict[str, Reservation] = OrderedDict()
        self._expiries: list[tuple[float, str]] = []  # a heap; includes reservations that ended otherwise

    def __len__(self) -> int:
        return len(self._held)

    def find(self, ident: str) -> Reservation | None:
        """Return a reservation that is held or was held recently."""
        return self._held.get(ident) or self._past.get(ident)

    def list_held(self) -> list[Reservation]:
        """Return the reservations held, in order of expiry."""
        return sorted(self._held.values(), key=lambda reservation: (reservation.expires_at, reservation.id))

    def sum_held_units(self) -> float:
        """Return the units of all reservations held."""
        return sum(reservation.units for reservation in self._held.values())

    def check_new(self, ident: str, firm: int, units: float, lifetime: float, now: float) -> Reservation | None:
        """Check a new reservation; returns the existing one where the call is a repeat, else None.

        Raises ReservationError where an argument is invalid, the id is taken or the table is full.
        """
        if not 0 < len(ident) <= 64 or not ident.isascii() or not ident.isprintable() or "/" in ident or " " in ident:
            raise ReservationError(
                400, "id", f"{ident[:70]!r} is not an id: 1 to 64 printable characters, no space or /"
            )
        if not math.isfinite(units) or units <= 0:
            raise ReservationError(400, "units", f"{units!r} is not a finite number over 0")
        if not math.isfinite(lifetime) or not 0 < lifetime <= self.max_lifetime:
            raise ReservationError(400, "lifetime", f"{lifetime!r} s is not over 0 and at most {self.max_lifetime:g}")
        existing = self.find(ident)
        if existing is not None:
            if (existing.firm, existing.units) != (firm, units):
                raise ReservationError(409, "id", f"{ident} is a reservation of other units or another firm")
            return existing
        if len(self._held) >= self.max_held:
            raise ReservationError(503, "id", f"{self.max_held} reservations are held, the maximum")
        return None

    def add(self, reservation: Reservation) -> None:
        """Add a reservation that `check_new` allowed."""
        self._held[reservation.id] = reservation
        heapq.heappush(self._expiries, (reservation.expires_at, reservation.id))

    def commit(self, ident: str, units: float, now: float) -> Reservation | None:
        """End a reservation as committed; returns it to be charged with `units`, or None for a repeated call.

        Raises ReservationError where it cannot be committed.
        """
        if not math.isfinite(units) or units < 0:
            raise ReservationError(400, "units", f"{units!r} is not a finite number from 0")
        reservation = self._require(ident, now)
        if reservation.state == "committed" and reservation.charged_units == units:
            return None
        if reservation.state != "held":
            raise ReservationError(ENDED_STATUS.get(reservation.state, 409), "id", self._describe_state(reservation))
        return self._end(reservation, "committed", units, now)

    def release(self, ident: str, now: float) -> Reservation | None:
        """End a reservation as released; returns it to return its units, or None for a repeated call.

        Raises ReservationError where it cannot be released.
        """
        reservation = self._require(ident, now)
        if reservation.state == "released":
            return None
        if reservation.state != "held":
            raise ReservationError(ENDED_STATUS.get(reservation.state, 409), "id", self._describe_state(reservation))
        return self._end(reservation, "released", 0.0, now)

    def find_usable(self, ident: str, firm: int, now: float) -> Reservation | None:
        """Return the reservation if it is held for this firm; `mark_used` follows once the message is relayed."""
        reservation = self._held.get(ident)
        return (
            reservation
            if reservation is not None and reservation.firm == firm and now < reservation.expires_at
            else None
        )

    def mark_used(self, ident: str, now: float) -> None:
        """End a reservation as used by a message."""
        if reservation := self._held.get(ident):
            self._end(reservation, "used", 0.0, now)

    def expire_due(self, now: float) -> list[Reservation]:
        """End the reservations whose lifetime is over and return them, the earliest first."""
        ended = []
        while (expiry := self.next_expiry()) is not None and expiry <= now:
            reservation = self._held[heapq.heappop(self._expiries)[1]]
            ended.append(self._end(reservation, "expired", 0.0, now))
        while self._past and next(iter(self._past.values())).ended_at + RETENTION_SECONDS <= now:
            self._past.popitem(last=False)
        return ended

    def next_expiry(self) -> float | None:
        """Return the earliest expiry of a held reservation."""
        while self._expiries:
            expires_at, ident = self._expiries[0]
            if (reservation := self._held.get(ident)) and reservation.expires_at == expires_at:
                return expires_at
            heapq.heappop(self._expiries)
        return None

    def _require(self, ident: str, now: float) -> Reservation:
        reservation = self.find(ident)
        if reservation is None:
            raise ReservationError(404, "id", f"no reservation {ident[:70]}")
        if reservation.state == "held" and reservation.expires_at <= now:
            raise ReservationError(410, "id", f"{ident} ended {now - reservation.expires_at:.3f} s ago")
        return reservation

    def _describe_state(self, reservation: Reservation) -> str:
        more = f" with {reservation.charged_units:g} units" if reservation.state == "committed" else ""
        return f"{reservation.id} is {reservation.state}{more}"

    def _end(self, reservation: Reservation, state: str, settled: float, now: float) -> Reservation:
        del self._held[reservation.id]
        reservation.state, reservation.charged_units, reservation.ended_at = state, settled, now
        self._past[reservation.id] = reservation
        return reservation
