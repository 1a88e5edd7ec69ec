"""Quota leases: an ingress leases parts of a firm's quota through the shared counter before it uses them. No I/O.

The counter can only add. For each firm and each epoch of `EPOCH_SECONDS`, one number V holds the units that all
ingresses leased, as a debt that the plan's rate pays off: D = max(0, V - R), with R the integral of the rate since the
start of the epoch. A lease of L units is granted where D + L stays within the burst; units added without a grant are
returned at once. Whatever the order of calls, the leases granted in any span therefore never exceed the integral of the
rate plus the burst, and use never exceeds the leases, except for true costs above the estimate, which are leased
afterwards.

- Debt cannot be negative. Where R exceeds V (an idle firm), the gap is added to V along with the lease; otherwise the
  firm could later use it in one burst. Where two ingresses add the gap at once, the later one sees it in its total and
  subtracts its own.
- A new epoch starts at 0. The first ingress to use a firm in it reads the previous number and adds the remaining debt
  to the new one. A second number, the flag, shows who was first; the others subtract what they added.
- A call without a reply may have been added: its units are lost for this epoch, as are those that a killed ingress
  held. Both errors reduce what the firm may use and disappear as the debt is paid off.

A number expires after 60 s at most, so a plan's burst may be worth at most `EPOCH_SECONDS` of its rate.

`LeaseManager` returns effects that `leasing.LeaseService` carries out.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

EPOCH_SECONDS = 20.0
COUNTER_TTL_SECONDS = 59.0  # expiry of a number; the platform allows at most 60
KIND_BITS = {"debt": 1, "flag": 2}  # top two bits of a counter name
ROUNDING_UNITS = 1e-6  # smaller differences are rounding errors
MAX_UNREPORTED_UNITS = 2.0  # missing from the number; a larger amount is added without waiting for the next lease
MAX_UNRETURNED_UNITS = 2.0  # too many in the number; a larger amount is returned without waiting for the next lease
RETRY_SECONDS = 0.25  # delay after a failed call, and between probes of a counter that does not reply
FIRM_EXPIRY_SECONDS = 30.0  # without use or held units, after which a firm's state is deleted
RATE_WINDOW_SECONDS = 1.0  # over which use is averaged

RateIntegral = Callable[[int, str, float, float], float]  # firm, requested plan, from, to: units
BurstLookup = Callable[[int, str, float], float]  # firm, requested plan, time: units


def build_counter_name(kind: str, epoch: int, firm: int) -> int:
    """Build the 64-bit name of a number at the counter from its kind, epoch and firm."""
    return (KIND_BITS[kind] << 62) | (epoch % (1 << 28)) << 33 | firm


@dataclass(slots=True)
class CounterCall:
    """An addition to make at the counter; its reply goes to `LeaseManager.handle_reply` under the same name."""

    name: int
    amount: float
    ttl: float = COUNTER_TTL_SECONDS


@dataclass(slots=True)
class LeaseGrant:
    """Units added to those that this ingress may use; negative where they are taken away."""

    firm: int
    plan: str
    units: float
    spread: int
    first: int


@dataclass(slots=True)
class LeaseFinished:
    """The messages that wait for this firm's lease may be decided."""

    firm: int


Effect = CounterCall | LeaseGrant | LeaseFinished


@dataclass(slots=True)
class FirmLease:
    """The lease state of one firm at this ingress."""

    key: int
    plan: str
    spread: int
    first: int
    requested_plan: str  # the plan named by the client; used where the book has no assignment of the firm
    epoch: int = -1  # the epoch of `total`; -1 before the first one
    total: float = 0.0  # V in the last reply
    stage: str = ""  # of the call in flight: "" none, old, carry, flag, undo, lease, back, probe
    call_name: int = 0  # counter name of the call in flight
    requested_units: float = 0.0  # units of the lease requested
    gap_units: float = 0.0  # units added with the lease to close the gap between R and V
    settled_units: float = 0.0  # units added with the lease that settle `owed_units`
    call_units: float = 0.0  # units added by the call in flight
    sent_at: float = 0.0
    carried_units: float = 0.0  # debt that this ingress carried over into the epoch
    owed_units: float = 0.0  # units to add with the next call; negative to return units
    wanted_units: float = 0.0  # units that waiting messages lack
    blocked_until: float = 0.0  # no call before this time: the quota is used up or the last call failed
    use_rate: float = 0.0  # recent use at this ingress, units per second
    used_at: float = 0.0
    rate_updated_at: float = 0.0


@dataclass(slots=True)
class LeaseManager:
    """Manages the leases of all firms at this ingress, with at most one call in flight for each.

    `integrate_rate` and `find_burst` read the plan book.
    """

    integrate_rate: RateIntegral
    find_burst: BurstLookup
    prefetch_seconds: float  # recent use that a lease covers
    idle_seconds: float  # without use, after which held units are returned
    firms: dict[int, FirmLease] = field(default_factory=dict)
    calls_by_stage: dict[str, int] = field(default_factory=dict)  # calls made so far, by stage
    refused_count: int = 0
    lost_units: float = 0.0  # units that may have been leased by calls without a reply
    is_counter_silent: bool = False  # a call timed out: only probes that add 0 until one has a reply
    next_probe_at: float = 0.0

    def request(
        self,
        now: float,
        key: int,
        plan: str,
        units: float,
        spread: int,
        first: int,
        level: float,
        requested_plan: str = "",
    ) -> tuple[bool, list[Effect]]:
        """Request units for a message, with `level` units held.

        Returns whether the message must wait for `LeaseFinished`, and the effects to carry out.
        """
        firm = self.firms.get(key)
        if firm is None:
            firm = self.firms[key] = FirmLease(
                key, plan, max(1, spread), first, requested_plan or plan, rate_updated_at=now
            )
        firm.plan, firm.requested_plan, firm.used_at = plan, requested_plan or plan, now
        firm.use_rate += (
            units - firm.use_rate * min(RATE_WINDOW_SECONDS, now - firm.rate_updated_at)
        ) / RATE_WINDOW_SECONDS
        firm.use_rate = max(0.0, firm.use_rate)
        firm.rate_updated_at = now
        is_covered = level >= units
        if is_covered and level - units >= firm.use_rate * self.prefetch_seconds / 2:
            return False, []
        missing_units = max(0.0, units - level)
        if firm.stage:
            firm.wanted_units = max(firm.wanted_units, missing_units)
            return not is_covered, []
        if self.is_counter_silent:
            return False, self._probe(now, firm)
        if now < firm.blocked_until:
            return False, []
        firm.wanted_units = missing_units
        return not is_covered, self._start_lease(now, firm, level)

    def _probe(self, now: float, firm: FirmLease) -> list[Effect]:
        if now < self.next_probe_at:
            return []
        self.next_probe_at = now + RETRY_SECONDS
        return [
            self._make_call(now, firm, "probe", build_counter_name("debt", int(now // EPOCH_SECONDS), firm.key), 0.0)
        ]

    def _handle_probe(self, now: float, firm: FirmLease, total: float) -> list[Effect]:
        firm.blocked_until = now
        return [LeaseFinished(firm.key)]

    def _start_lease(self, now: float, firm: FirmLease, level: float) -> list[Effect]:
        burst = self.find_burst(firm.key, firm.requested_plan, now)
        extra_units = min(burst / (2 * firm.spread), firm.use_rate * self.prefetch_seconds) - max(0.0, level)
        if firm.epoch == int(now // EPOCH_SECONDS):  # units without a grant cost another call to return
            extra_units = min(extra_units, burst - max(0.0, firm.total - self._integrate_paid(firm, now)))
        firm.requested_units = max(firm.wanted_units, extra_units, 0.0)
        if firm.requested_units <= ROUNDING_UNITS and abs(firm.owed_units) <= ROUNDING_UNITS:
            return []
        if firm.epoch != int(now // EPOCH_SECONDS):
            return [
                self._make_call(
                    now, firm, "old", build_counter_name("debt", int(now // EPOCH_SECONDS) - 1, firm.key), 0.0
                )
            ]
        return [self._request_lease(now, firm)]

    def _make_call(self, now: float, firm: FirmLease, stage: str, name: int, amount: float) -> CounterCall:
        firm.stage, firm.call_name, firm.call_units, firm.sent_at = stage, name, amount, now
        self.calls_by_stage[stage] = self.calls_by_stage.get(stage, 0) + 1
        return CounterCall(name, round(amount, 6))

    def _integrate_paid(self, firm: FirmLease, now: float) -> float:
        """Return R: the units that the rate paid off so far in this epoch."""
        return self.integrate_rate(firm.key, firm.requested_plan, now // EPOCH_SECONDS * EPOCH_SECONDS, now)

    def _request_lease(self, now: float, firm: FirmLease) -> CounterCall:
        firm.settled_units, firm.owed_units = firm.owed_units, 0.0
        firm.gap_units = max(0.0, self._integrate_paid(firm, now) - firm.total - firm.settled_units)
        amount = firm.requested_units + firm.gap_units + firm.settled_units
        return self._make_call(now, firm, "lease", build_counter_name("debt", firm.epoch, firm.key), amount)

    def handle_reply(self, now: float, name: int, status: str, total: float) -> list[Effect]:
        """Handle the end of a call; `status` is ok, full, timeout or connect_failed."""
        firm = self.firms.get(name & ((1 << 33) - 1))
        if firm is None or not firm.stage or firm.call_name != name:
            return []
        if status != "ok":
            return self._handle_failure(now, firm, status)
        stage, firm.stage, self.is_counter_silent = firm.stage, "", False
        handler = {
            "old": self._handle_previous_total,
            "carry": self._handle_carried,
            "flag": self._handle_flag,
            "undo": self._handle_undone,
            "lease": self._handle_lease,
            "back": self._handle_returned,
            "probe": self._handle_probe,
        }[stage]
        return handler(now, firm, total)

    def _handle_previous_total(self, now: float, firm: FirmLease, total: float) -> list[Effect]:
        epoch = int(now // EPOCH_SECONDS)
        begin = epoch * EPOCH_SECONDS
        if firm.sent_at < begin:  # sent before the epoch began: the previous number may have grown since
            return [self._make_call(now, firm, "old", build_counter_name("debt", epoch - 1, firm.key), 0.0)]
        firm.epoch, firm.total = epoch, 0.0
        firm.carried_units = max(
            0.0, total - self.integrate_rate(firm.key, firm.requested_plan, begin - EPOCH_SECONDS, begin)
        )
        if firm.carried_units <= ROUNDING_UNITS:
            firm.carried_units = 0.0
            return [self._request_lease(now, firm)]
        return [self._make_call(now, firm, "carry", build_counter_name("debt", epoch, firm.key), firm.carried_units)]

    def _handle_carried(self, now: float, firm: FirmLease, total: float) -> list[Effect]:
        firm.total = total
        return [self._make_call(now, firm, "flag", build_counter_name("flag", firm.epoch, firm.key), 1.0)]

    def _handle_flag(self, now: float, firm: FirmLease, total: float) -> list[Effect]:
        if total > 1.5:  # another ingress carried it over before
            return [
                self._make_call(
                    now, firm, "undo", build_counter_name("debt", firm.epoch, firm.key), -firm.carried_units
                )
            ]
        return self._continue_lease(now, firm)

    def _handle_undone(self, now: float, firm: FirmLease, total: float) -> list[Effect]:
        firm.total = total
        return self._continue_lease(now, firm)

    def _continue_lease(self, now: float, firm: FirmLease) -> list[Effect]:
        if firm.epoch != int(now // EPOCH_SECONDS):
            return [
                self._make_call(
                    now, firm, "old", build_counter_name("debt", int(now // EPOCH_SECONDS) - 1, firm.key), 0.0
                )
            ]
        return [self._request_lease(now, firm)]

    def _handle_lease(self, now: float, firm: FirmLease, total: float) -> list[Effect]:
        if firm.epoch != int(now // EPOCH_SECONDS):
            # Added to the previous number after others may have read it: treated as not added, and requested again.
            is_obsolete = firm.epoch != int(now // EPOCH_SECONDS) - 1  # of an epoch that is no longer read
            return [
                self._make_call(
                    now,
                    firm,
                    "old",
                    build_counter_name("debt", int(now // EPOCH_SECONDS) - 1, firm.key),
                    0.0 if is_obsolete else -firm.requested_units,
                )
            ]
        before = total - firm.requested_units - firm.gap_units  # V before this lease, with `owed_units` settled
        paid = self._integrate_paid(firm, firm.sent_at)
        firm.total = total
        firm.owed_units += max(0.0, paid - before) - firm.gap_units
        available = self.find_burst(firm.key, firm.requested_plan, now) - max(0.0, before - paid)
        granted = (
            firm.requested_units
            if available >= firm.requested_units
            else available
            if available >= firm.wanted_units
            else 0.0
        )
        granted = max(0.0, granted)
        effects: list[Effect] = []
        if granted < firm.requested_units - ROUNDING_UNITS:
            firm.owed_units -= firm.requested_units - granted
        if granted > ROUNDING_UNITS:
            effects.append(LeaseGrant(firm.key, firm.plan, granted, firm.spread, firm.first))
        if granted < firm.wanted_units - ROUNDING_UNITS:
            self.refused_count += 1
            rate = self.integrate_rate(firm.key, firm.requested_plan, now, now + 1.0)
            firm.blocked_until = now + min(1.0, (firm.wanted_units - max(0.0, available)) / rate if rate > 0 else 1.0)
        firm.wanted_units = 0.0
        if firm.owed_units < -MAX_UNRETURNED_UNITS or firm.owed_units > MAX_UNREPORTED_UNITS:
            effects.append(self._settle_owed(now, firm))
        effects.append(LeaseFinished(firm.key))
        return effects

    def _settle_owed(self, now: float, firm: FirmLease) -> CounterCall:
        amount, firm.owed_units = firm.owed_units, 0.0
        return self._make_call(now, firm, "back", build_counter_name("debt", firm.epoch, firm.key), amount)

    def _handle_returned(self, now: float, firm: FirmLease, total: float) -> list[Effect]:
        if firm.epoch == int(now // EPOCH_SECONDS):
            firm.total = total
        if firm.wanted_units > ROUNDING_UNITS and now >= firm.blocked_until:
            return self._start_lease(now, firm, 0.0) or [LeaseFinished(firm.key)]
        return [LeaseFinished(firm.key)]

    def _handle_failure(self, now: float, firm: FirmLease, status: str) -> list[Effect]:
        stage, firm.stage, firm.wanted_units = firm.stage, "", 0.0
        firm.blocked_until = now + RETRY_SECONDS
        if status == "timeout":
            self.is_counter_silent, self.next_probe_at = True, now + RETRY_SECONDS
        if stage == "lease":
            if status == "timeout":  # it may have been added: counted as used, which never exceeds the quota
                self.lost_units += max(0.0, firm.requested_units)
            else:
                firm.owed_units += firm.call_units - firm.requested_units - firm.gap_units
        elif stage == "back" and status != "timeout":
            firm.owed_units += firm.call_units
        elif stage in ("carry", "flag", "undo"):
            firm.epoch = -1  # start again: debt carried over twice is safe, debt not carried over is not
        return [LeaseFinished(firm.key)]

    def lease_overdraft(self, now: float, key: int, level: float) -> list[Effect]:
        """Lease the units by which true costs above the estimate made the level negative, whatever quota is left."""
        firm = self.firms.get(key)
        if firm is None or level >= 0:
            return []
        firm.owed_units -= level
        grant = LeaseGrant(key, firm.plan, -level, firm.spread, firm.first)
        if firm.stage or firm.epoch != int(now // EPOCH_SECONDS) or firm.owed_units <= MAX_UNREPORTED_UNITS:
            return [grant]
        return [grant, self._settle_owed(now, firm)]

    def return_units(self, now: float, key: int, level: float) -> list[Effect]:
        """Return the units leased under a firm's previous plan after the plan changed."""
        firm = self.firms.get(key)
        if firm is None or level <= ROUNDING_UNITS:
            return []
        firm.owed_units -= level
        return [LeaseGrant(key, firm.plan, -level, firm.spread, firm.first)]

    def sweep(self, now: float, find_level: Callable[[int], float], return_all: bool = False) -> list[Effect]:
        """Return the units of firms without recent use, or of all firms, and delete the state of idle firms."""
        effects: list[Effect] = []
        for firm in list(self.firms.values()):
            if firm.stage or self.is_counter_silent and not return_all:
                continue
            is_unused = return_all or now - firm.used_at > self.idle_seconds
            level = find_level(firm.key)
            if is_unused and level > ROUNDING_UNITS:
                effects.append(LeaseGrant(firm.key, firm.plan, -level, firm.spread, firm.first))
                firm.owed_units -= level
            if (
                abs(firm.owed_units) > ROUNDING_UNITS
                and (is_unused or now >= firm.blocked_until)
                and (firm.epoch == int(now // EPOCH_SECONDS) or return_all or firm.owed_units < 0)
            ):
                firm.epoch = firm.epoch if firm.epoch == int(now // EPOCH_SECONDS) else -1
                amount, firm.owed_units = firm.owed_units, 0.0
                effects.append(
                    self._make_call(
                        now, firm, "back", build_counter_name("debt", int(now // EPOCH_SECONDS), firm.key), amount
                    )
                )
            elif now - firm.used_at > FIRM_EXPIRY_SECONDS and level <= ROUNDING_UNITS:
                del self.firms[firm.key]
        return effects
