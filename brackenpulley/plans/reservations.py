"""Explicit reservations: units held for a request to come. A table of states; no I/O, the clock is passed in.

    held --commit(units)--> committed      the units are the true ones, charged
    held --release--------> released       all returned
    held --its end--------> expired        all returned; a grant of the second front is charged where so set
    held --a try names it-> used           the try takes its units over and is charged by itself

A call that is repeated gets the answer that the first one got. What does not fit any more says so and changes nothing:
commit or release after the end: 410; release after commit, commit after release, other units in a second commit: 409.
What is over is remembered for `KEPT` seconds, and then as little known as what never was: 404."""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict
from dataclasses import dataclass

KEPT = 600.0  # s for which the end of a reservation is remembered
GONE = {"expired": 410}


class ReservationError(ValueError):
    """`status` as in HTTP; the text starts with the field."""

    def __init__(self, status: int, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.status, self.field, self.text = status, field, text


@dataclass(slots=True)
class Reservation:
    id: str
    firm: int
    plan: str
    revision: int
    units: float
    made: float
    until: float
    kind: str = "asked"  # "asked" over the control API, "granted" by the second front
    state: str = "held"
    ended: float = 0.0
    settled: float = 0.0  # units charged in the end


class Reservations:
    """Owns every reservation. At most `most` are held; ends are told in order of time by `due`."""

    def __init__(self, most: int, longest: float) -> None:
        self.most, self.longest = most, longest
        self._held: dict[str, Reservation] = {}
        self._over: OrderedDict[str, Reservation] = OrderedDict()
        self._ends: list[tuple[float, str]] = []  # a heap; also of those that ended in another way since

    def __len__(self) -> int:
        return len(self._held)

    def known(self, ident: str) -> Reservation | None:
        return self._held.get(ident) or self._over.get(ident)

    def held(self) -> list[Reservation]:
        return sorted(self._held.values(), key=lambda one: (one.until, one.id))

    def units_held(self) -> float:
        return sum(one.units for one in self._held.values())

    def check(self, ident: str, firm: int, units: float, lifetime: float, now: float) -> Reservation | None:
        """Whether one like this may be made: None where it may, the one there is where the call is a repeat."""
        if not 0 < len(ident) <= 64 or not ident.isascii() or not ident.isprintable() or "/" in ident or " " in ident:
            raise ReservationError(400, "id", f"{ident[:70]!r} is no id: 1 to 64 printable characters, no space or /")
        if not math.isfinite(units) or units <= 0:
            raise ReservationError(400, "units", f"{units!r} is no amount over 0")
        if not math.isfinite(lifetime) or not 0 < lifetime <= self.longest:
            raise ReservationError(400, "lifetime", f"{lifetime!r} s is not over 0 and up to {self.longest:g}")
        old = self.known(ident)
        if old is not None:
            if (old.firm, old.units) != (firm, units):
                raise ReservationError(409, "id", f"{ident} is a reservation of other units or another firm")
            return old
        if len(self._held) >= self.most:
            raise ReservationError(503, "id", f"{self.most} reservations are held, which is the most")
        return None

    def hold(self, one: Reservation) -> None:
        self._held[one.id] = one
        heapq.heappush(self._ends, (one.until, one.id))

    def commit(self, ident: str, units: float, now: float) -> Reservation | None:
        """The one to settle with its true units; None where that was done before."""
        if not math.isfinite(units) or units < 0:
            raise ReservationError(400, "units", f"{units!r} is no amount from 0")
        one = self._find(ident, now)
        if one.state == "committed" and one.settled == units:
            return None
        if one.state != "held":
            raise ReservationError(GONE.get(one.state, 409), "id", self._says(one))
        return self._end(one, "committed", units, now)

    def release(self, ident: str, now: float) -> Reservation | None:
        one = self._find(ident, now)
        if one.state == "released":
            return None
        if one.state != "held":
            raise ReservationError(GONE.get(one.state, 409), "id", self._says(one))
        return self._end(one, "released", 0.0, now)

    def use(self, ident: str, firm: int, now: float) -> Reservation | None:
        """The one that pays for a try of this firm, as long as it is held; its end is `used` once the try went out."""
        one = self._held.get(ident)
        return one if one is not None and one.firm == firm and now < one.until else None

    def used(self, ident: str, now: float) -> None:
        if one := self._held.get(ident):
            self._end(one, "used", 0.0, now)

    def due(self, now: float) -> list[Reservation]:
        """Those whose time is over, the earliest first; each is told once."""
        ended = []
        while (when := self.next_due()) is not None and when <= now:
            one = self._held[heapq.heappop(self._ends)[1]]
            ended.append(self._end(one, "expired", 0.0, now))
        while self._over and next(iter(self._over.values())).ended + KEPT <= now:
            self._over.popitem(last=False)
        return ended

    def next_due(self) -> float | None:
        while self._ends:
            until, ident = self._ends[0]
            if (one := self._held.get(ident)) and one.until == until:
                return until
            heapq.heappop(self._ends)
        return None

    def _find(self, ident: str, now: float) -> Reservation:
        one = self.known(ident)
        if one is None:
            raise ReservationError(404, "id", f"no reservation {ident[:70]}")
        if one.state == "held" and one.until <= now:
            raise ReservationError(410, "id", f"{ident} ended {now - one.until:.3f} s ago")
        return one

    def _says(self, one: Reservation) -> str:
        more = f" with {one.settled:g} units" if one.state == "committed" else ""
        return f"{one.id} is {one.state}{more}"

    def _end(self, one: Reservation, state: str, settled: float, now: float) -> Reservation:
        del self._held[one.id]
        one.state, one.settled, one.ended = state, settled, now
        self._over[one.id] = one
        return one
