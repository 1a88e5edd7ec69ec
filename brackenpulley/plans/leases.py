"""The exact mode: parts of a firm's allowance are leased through the counter and held before they are used. No I/O.

The platform's counter can only add. For each firm and each `EPOCH` seconds one number V holds what all ingresses have
leased, as a debt that the plan's rate pays off: D = max(0, V - R), with R the integral of the rate since the epoch
began. A lease of L is granted where D + L stays within the burst; what was asked for in vain is given back at once. So
whatever the order of calls, the leases granted in any span of time never pass the integral of the rate plus the
burst, and use never passes the leases (but for true costs above the guess, which are leased afterwards).

- Below nothing there is no debt: where R has run ahead of V (an idle firm), the gap is added along with the lease, or
  it could be used up later in one go. Two that add the gap at once see it in the totals, and the later one takes it
  back.
- A new epoch starts at 0. Whoever comes first to a firm reads the old number, and adds the debt that is left to the
  new one; a second number tells who was first, and the others take theirs back.
- A call whose answer is lost may have been added: those units are gone for this epoch. Likewise what a killed ingress
  held. The error is always towards the firm using less, and ends with the debt that it is.

A number lives for 60 s at most, so a plan's burst may be worth at most `EPOCH` seconds of its rate."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

EPOCH = 20.0  # s
TTL = 59.0  # s that a number lives; the platform's most is 60
KINDS = {"debt": 1, "flag": 2}
SMALL = 1e-6  # units below which a difference is rounding
GAP, GIVE = 2.0, 2.0  # units that may wait for the next call: used here and not told, and not used and not told
AGAIN = 0.25  # s until a firm whose call failed is asked for again
FORGET = 30.0  # s without use or a held lease after which a firm's state is let go
RECENT = 1.0  # s over which use is averaged

Rates = Callable[[int, str, float, float], float]  # firm, plan as told, from, to: integral of the rate
Burst = Callable[[int, str, float], float]


def name_of(kind: str, epoch: int, firm: int) -> int:
    return (KINDS[kind] << 62) | (epoch % (1 << 28)) << 33 | firm


@dataclass(slots=True)
class Call:
    """To be made at the counter; its answer goes to `Keeper.answered` under the same name."""

    name: int
    amount: float
    ttl: float = TTL


@dataclass(slots=True)
class Grant:
    """These units may be used here now (below 0: they may not any more)."""

    firm: int
    plan: str
    units: float
    spread: int
    first: int


@dataclass(slots=True)
class Free:
    """Whoever waits for this firm's lease may be decided on."""

    firm: int


Effect = Call | Grant | Free


@dataclass(slots=True)
class Firm:
    key: int
    plan: str
    spread: int
    first: int
    told: str  # the plan as the client names it, for when the book does not know the firm
    epoch: int = -1  # the one that `total` belongs to
    total: float = 0.0  # V as last answered
    stage: str = ""  # of the call that is out: "" none, old, carry, flag, undo, lease, back
    name: int = 0  # that it goes to
    asked: float = 0.0  # units of the lease that is asked for
    spill: float = 0.0  # and what was added for the gap
    settled: float = 0.0  # and what of it settles what was owed before
    amount: float = 0.0  # of the call that is out
    sent_at: float = 0.0
    carried: float = 0.0  # what this ingress carried over into the epoch
    owed: float = 0.0  # to be added with the next call: gaps found too small (+), or units to be given back (-)
    wanted: float = 0.0  # units that are waited for
    blocked: float = 0.0  # no call before this time: nothing is left, or the last one failed
    rate: float = 0.0  # recent use here, units a second
    used_at: float = 0.0
    rate_at: float = 0.0


@dataclass(slots=True)
class Keeper:
    """One call out for each firm at most. `integral` and `burst` speak for the plan book."""

    integral: Rates
    burst: Burst
    ahead: float  # s of recent use that a lease covers
    idle: float  # s
    firms: dict[int, Firm] = field(default_factory=dict)
    calls: dict[str, int] = field(default_factory=dict)  # made so far, by stage
    refused: int = 0
    lost: float = 0.0  # units that may have been leased by calls without an answer
    silent: bool = False  # a call had no answer: one at a time asks with nothing at stake until one has
    probe_at: float = 0.0

    def need(
        self, now: float, key: int, plan: str, units: float, spread: int, first: int, level: float, told: str = ""
    ) -> tuple[bool, list[Effect]]:
        """A try of so many units is here and `level` units are held. True where it has to wait for `Free`."""
        firm = self.firms.get(key)
        if firm is None:
            firm = self.firms[key] = Firm(key, plan, max(1, spread), first, told or plan, rate_at=now)
        firm.plan, firm.told, firm.used_at = plan, told or plan, now
        firm.rate += (units - firm.rate * min(RECENT, now - firm.rate_at)) / RECENT
        firm.rate = max(0.0, firm.rate)
        firm.rate_at = now
        enough = level >= units
        if enough and level - units >= firm.rate * self.ahead / 2:
            return False, []
        short = max(0.0, units - level)
        if firm.stage:
            firm.wanted = max(firm.wanted, short)
            return not enough, []
        if self.silent:
            return False, self._probe(now, firm)
        if now < firm.blocked:
            return False, []
        firm.wanted = short
        return not enough, self._begin(now, firm, level)

    def _probe(self, now: float, firm: Firm) -> list[Effect]:
        if now < self.probe_at:
            return []
        self.probe_at = now + AGAIN
        return [self._call(now, firm, "probe", name_of("debt", int(now // EPOCH), firm.key), 0.0)]

    def _probed(self, now: float, firm: Firm, total: float) -> list[Effect]:
        firm.blocked = now
        return [Free(firm.key)]

    def _begin(self, now: float, firm: Firm, level: float) -> list[Effect]:
        burst = self.burst(firm.key, firm.told, now)
        more = min(burst / (2 * firm.spread), firm.rate * self.ahead) - max(0.0, level)
        if firm.epoch == int(now // EPOCH):  # what is asked for in vain has to be given back: a call for nothing
            more = min(more, burst - max(0.0, firm.total - self._paid(firm, now)))
        firm.asked = max(firm.wanted, more, 0.0)
        if firm.asked <= SMALL and abs(firm.owed) <= SMALL:
            return []
        if firm.epoch != int(now // EPOCH):
            return [self._call(now, firm, "old", name_of("debt", int(now // EPOCH) - 1, firm.key), 0.0)]
        return [self._lease(now, firm)]

    def _call(self, now: float, firm: Firm, stage: str, name: int, amount: float) -> Call:
        firm.stage, firm.name, firm.amount, firm.sent_at = stage, name, amount, now
        self.calls[stage] = self.calls.get(stage, 0) + 1
        return Call(name, round(amount, 6))

    def _paid(self, firm: Firm, now: float) -> float:
        """R: what the rate has paid off in this epoch."""
        return self.integral(firm.key, firm.told, now // EPOCH * EPOCH, now)

    def _lease(self, now: float, firm: Firm) -> Call:
        firm.settled, firm.owed = firm.owed, 0.0
        firm.spill = max(0.0, self._paid(firm, now) - firm.total - firm.settled)
        amount = firm.asked + firm.spill + firm.settled
        return self._call(now, firm, "lease", name_of("debt", firm.epoch, firm.key), amount)

    def answered(self, now: float, name: int, status: str, total: float) -> list[Effect]:
        """The end of a call, in the module's words: ok, full, timeout, connect_failed."""
        firm = self.firms.get(name & ((1 << 33) - 1))
        if firm is None or not firm.stage or firm.name != name:
            return []
        if status != "ok":
            return self._failed(now, firm, status)
        stage, firm.stage, self.silent = firm.stage, "", False
        step = {
            "old": self._old,
            "carry": self._carried,
            "flag": self._flagged,
            "undo": self._undone,
            "lease": self._leased,
            "back": self._given_back,
            "probe": self._probed,
        }[stage]
        return step(now, firm, total)

    def _old(self, now: float, firm: Firm, total: float) -> list[Effect]:
        epoch = int(now // EPOCH)
        begin = epoch * EPOCH
        if firm.sent_at < begin:  # asked before the epoch began: the old number may have grown since
            return [self._call(now, firm, "old", name_of("debt", epoch - 1, firm.key), 0.0)]
        firm.epoch, firm.total = epoch, 0.0
        firm.carried = max(0.0, total - self.integral(firm.key, firm.told, begin - EPOCH, begin))
        if firm.carried <= SMALL:
            firm.carried = 0.0
            return [self._lease(now, firm)]
        return [self._call(now, firm, "carry", name_of("debt", epoch, firm.key), firm.carried)]

    def _carried(self, now: float, firm: Firm, total: float) -> list[Effect]:
        firm.total = total
        return [self._call(now, firm, "flag", name_of("flag", firm.epoch, firm.key), 1.0)]

    def _flagged(self, now: float, firm: Firm, total: float) -> list[Effect]:
        if total > 1.5:  # another one carried it before
            return [self._call(now, firm, "undo", name_of("debt", firm.epoch, firm.key), -firm.carried)]
        return self._go_on(now, firm)

    def _undone(self, now: float, firm: Firm, total: float) -> list[Effect]:
        firm.total = total
        return self._go_on(now, firm)

    def _go_on(self, now: float, firm: Firm) -> list[Effect]:
        if firm.epoch != int(now // EPOCH):
            return [self._call(now, firm, "old", name_of("debt", int(now // EPOCH) - 1, firm.key), 0.0)]
        return [self._lease(now, firm)]

    def _leased(self, now: float, firm: Firm, total: float) -> list[Effect]:
        if firm.epoch != int(now // EPOCH):
            # Added to the old number after others may have read it: as if it had not been, and asked for again.
            gone = firm.epoch != int(now // EPOCH) - 1  # so long ago that nobody reads that number any more
            return [
                self._call(
                    now, firm, "old", name_of("debt", int(now // EPOCH) - 1, firm.key), 0.0 if gone else -firm.asked
                )
            ]
        before = total - firm.asked - firm.spill  # with what was owed settled
        paid = self._paid(firm, firm.sent_at)
        firm.total = total
        firm.owed += max(0.0, paid - before) - firm.spill
        room = self.burst(firm.key, firm.told, now) - max(0.0, before - paid)
        granted = firm.asked if room >= firm.asked else room if room >= firm.wanted else 0.0
        granted = max(0.0, granted)
        effects: list[Effect] = []
        if granted < firm.asked - SMALL:
            firm.owed -= firm.asked - granted
        if granted > SMALL:
            effects.append(Grant(firm.key, firm.plan, granted, firm.spread, firm.first))
        if granted < firm.wanted - SMALL:
            self.refused += 1
            rate = self.integral(firm.key, firm.told, now, now + 1.0)
            firm.blocked = now + min(1.0, (firm.wanted - max(0.0, room)) / rate if rate > 0 else 1.0)
        firm.wanted = 0.0
        if firm.owed < -GIVE or firm.owed > GAP:
            effects.append(self._settle(now, firm))
        effects.append(Free(firm.key))
        return effects

    def _settle(self, now: float, firm: Firm) -> Call:
        amount, firm.owed = firm.owed, 0.0
        return self._call(now, firm, "back", name_of("debt", firm.epoch, firm.key), amount)

    def _given_back(self, now: float, firm: Firm, total: float) -> list[Effect]:
        if firm.epoch == int(now // EPOCH):
            firm.total = total
        if firm.wanted > SMALL and now >= firm.blocked:
            return self._begin(now, firm, 0.0) or [Free(firm.key)]
        return [Free(firm.key)]

    def _failed(self, now: float, firm: Firm, status: str) -> list[Effect]:
        stage, firm.stage, firm.wanted = firm.stage, "", 0.0
        firm.blocked = now + AGAIN
        if status == "timeout":
            self.silent, self.probe_at = True, now + AGAIN
        if stage == "lease":
            if status == "timeout":  # it may have been added: safe to take it as used
                self.lost += max(0.0, firm.asked)
            else:
                firm.owed += firm.amount - firm.asked - firm.spill
        elif stage == "back" and status != "timeout":
            firm.owed += firm.amount
        elif stage in ("carry", "flag", "undo"):
            firm.epoch = -1  # a carry too many is on the safe side, one too few is not: begun again
        return [Free(firm.key)]

    def settle(self, now: float, key: int, level: float) -> list[Effect]:
        """True costs above the guess have taken the held units below nothing: leased afterwards, with any room."""
        firm = self.firms.get(key)
        if firm is None or level >= 0:
            return []
        firm.owed -= level
        grant = Grant(key, firm.plan, -level, firm.spread, firm.first)
        if firm.stage or firm.epoch != int(now // EPOCH) or firm.owed <= GAP:
            return [grant]
        return [grant, self._settle(now, firm)]

    def moved(self, now: float, key: int, level: float) -> list[Effect]:
        """The firm's plan has changed: what was leased under the old one is given back and asked for under the new."""
        firm = self.firms.get(key)
        if firm is None or level <= SMALL:
            return []
        firm.owed -= level
        return [Grant(key, firm.plan, -level, firm.spread, firm.first)]

    def sweep(self, now: float, levels: Callable[[int], float], everything: bool = False) -> list[Effect]:
        """Give back what has not been used for a while, or all of it."""
        effects: list[Effect] = []
        for firm in list(self.firms.values()):
            if firm.stage or self.silent and not everything:
                continue
            unused = everything or now - firm.used_at > self.idle
            level = levels(firm.key)
            if unused and level > SMALL:
                effects.append(Grant(firm.key, firm.plan, -level, firm.spread, firm.first))
                firm.owed -= level
            if (
                abs(firm.owed) > SMALL
                and (unused or now >= firm.blocked)
                and (firm.epoch == int(now // EPOCH) or everything or firm.owed < 0)
            ):
                firm.epoch = firm.epoch if firm.epoch == int(now // EPOCH) else -1
                amount, firm.owed = firm.owed, 0.0
                effects.append(self._call(now, firm, "back", name_of("debt", int(now // EPOCH), firm.key), amount))
            elif now - firm.used_at > FORGET and level <= SMALL:
                del self.firms[firm.key]
        return effects
