"""Plain records that the decision module keeps and their bookkeeping: nothing is decided here."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from math import exp, inf

from .calls import Call
from .interface import ClassSpec, PlanSpec, Request, ServerEntry, Settings

NEVER = -1e18


class ClassRecord:
    """One class: its bucket, and the latencies of its attempts. Times are seconds, `rate` is messages a second."""

    def __init__(self, spec: ClassSpec, now: float, rate: float, keep: int) -> None:
        """At most `keep` latencies are held."""
        self.spec, self.target, self.less = spec, spec.aim, 0.0  # part of the room that is withheld
        self.long = 1.0  # its attempts' time against the usual one, 1 at most: what is shorter takes less of the room
        self.rate = self.tokens = rate
        self.at = self.run_at = now
        self.cur = self.admitted = 0.0  # smoothed percentile of latencies; smoothed messages let in a second
        self.mean = spec.aim / 8  # latency of the good answers
        self.count = self.fresh = self.sent = 0  # runs in vain; samples and messages let in since the last run
        self.barred = self.busy = False
        self.samples: deque[tuple[float, float]] = deque(maxlen=keep)

    def fill(self, now: float) -> None:
        """The bucket holds what one second gives."""
        self.tokens = min(max(self.rate, 1.0), self.tokens + self.rate * (now - self.at))
        self.at = now

    def turn(self, now: float, least: float) -> None:
        """A run begins, at least `least` after the last: what was let in since is counted into `admitted`."""
        dt = max(now - self.run_at, least)
        self.admitted += min(1.0, dt / 2) * (self.sent / dt - self.admitted)
        self.run_at, self.sent, self.fresh = now, 0, 0

    def high(self, since: float, more: list[float]) -> float:
        """The 90th percentile of the latencies `since` then and of `more`; 0 with neither."""
        while self.samples and self.samples[0][0] < since:
            self.samples.popleft()
        seen = sorted([s for _, s in self.samples] + more)
        return seen[int(0.9 * (len(seen) - 1))] if seen else 0.0


@dataclass(slots=True)
class Customer:
    key: int
    plan: PlanSpec
    spread: int
    first: int
    share: float  # the burst this gateway may use on its own
    level: float  # units the quota store is held to have
    at: float  # when the level was brought up to date
    born: float
    seen_at: float
    next_call: float
    granted: float = 0.0  # filled in all
    granted_read: float = 0.0  # of it, up to the last reading
    own: float = 0.0  # recent use here, units a second
    others: float = 0.0  # recent use elsewhere, units a second
    unsaid: float = 0.0  # used here, not yet reported
    used: float = 0.0  # used here in all
    told: tuple[int, int] = (0, 0)  # used in all and attempts out, as the peers were told last
    read_at: float = NEVER  # the time that the last reading speaks of
    name: int = -1  # counter name in use
    total: float = 0.0  # last total under that name
    calls: list[Call] = field(default_factory=list)  # under that name, in their order, without a total so far
    open: int = 0
    others_open: dict[int, float] = field(default_factory=dict)
    told_by: dict[int, int] = field(default_factory=dict)  # peer: its use in all, as told last
    tries: int = 0
    ceil: float = 0.0
    ceil_at: float = NEVER
    left: str = ""  # the plan it was on before
    moved_at: float = NEVER

    def take(self, units: float) -> None:
        self.level, self.used, self.unsaid = self.level - units, self.used + units, self.unsaid + units

    def fill(self, rate: float, cap: float, dt: float) -> None:
        """The store fills at this rate, up to `cap`, and never loses by it."""
        new = min(cap, self.level + max(0.0, rate) * dt)
        self.level, self.granted = new, self.granted + new - self.level

    def read(self, at: float, granted: float, used: float, dt: float, told: bool) -> None:
        """The others used this much in `dt` up to `at`: the store is put right, below nothing by own use alone.

        `granted` is what had been filled in all by then: what was granted or used here since is not in question.
        `told`: there was a reading not long before, so that only what was granted since it is in question."""
        least = min(0.0, self.level)
        if told:
            self.level += self.plan.rate * dt - used - (granted - self.granted_read)
        else:
            self.level += self.plan.burst - self.share - max(0.0, used - self.plan.rate * dt)
        self.level, self.granted_read, self.read_at = min(self.plan.burst, max(least, self.level)), granted, at

    def likely(self, now: float, fade: float) -> float:
        """Units that the whole store holds on average, by its use elsewhere as last read; that fades in `fade` s."""
        return self.plan.burst * (1 - self.others / self.plan.rate * exp((self.read_at - now) / fade))

    def moved(self, now: float, plan: PlanSpec, share: float, told: bool, leased: bool) -> None:
        """Another plan, or other figures of the same: what is missing from the full store goes on missing."""
        old, old_share, self.plan, self.share, self.moved_at = self.plan, self.share, plan, share, now
        if not old.rate:  # there was no store that anything could be missing from
            self.level = 0.0 if leased else plan.burst if told else share
        elif not leased:
            self.level += plan.burst - old.burst if told else share - old_share
        if told:  # the next reading fills at the new rate since the last one: before now it was the old rate
            self.granted += (plan.rate - old.rate) * (now - self.read_at)
            for call in self.calls:  # its total may still come, and speaks of then
                call.granted += (plan.rate - old.rate) * max(0.0, call.at - self.read_at)
        if old.ceiling_rate and plan.ceiling_rate:
            self.ceil += (plan.ceiling_room - old.ceiling_room) / self.spread
        else:
            self.ceil, self.ceil_at = 0.0, now

    def under_ceiling(self, now: float, born: float) -> float:
        """Units left in this gateway's part of the second store, which fills from `born` on."""
        rate, room = self.plan.ceiling_rate / self.spread, self.plan.ceiling_room / self.spread
        self.ceil = min(room, self.ceil + rate * (now - max(self.ceil_at, born)))
        self.ceil_at = now
        return self.ceil

    def heard(self, peer: int, used: int, out: int) -> float:
        """A peer told its use in all and its attempts out; what is new of the use."""
        last, self.told_by[peer] = self.told_by.get(peer), used
        self.others_open[peer] = (self.others_open.get(peer, out) + out) / 2
        if last is None:  # first told: all of it is new, unless over a burst: that is an older story
            return float(used) if used <= self.plan.burst else 0.0
        return float(used if used < last else used - last)  # less than last: the peer began anew

    def called(self, call: Call, again: float) -> None:
        """What is not reported yet is on its way with this call, and nothing more before `again`."""
        if call.name != self.name:  # totals under the name before are history
            self.name, self.total, self.calls = call.name, 0.0, []
        call.amount, call.granted, self.unsaid, self.next_call = self.unsaid, self.granted, 0.0, again
        self.calls.append(call)

    def answered(self, call: Call, total: float) -> float | None:
        """The call's total, in time or late: what others added between the last one and this.

        Answers come in the order of the calls, so a call before it that has no total will never have one, and may have
        been added or not. None where this is no reading: told before, of a name no longer in use, or below what is
        known to have been added, which says that the counter came back empty."""
        if call not in self.calls:
            return None
        at = self.calls.index(call)
        unsure = sum(x.amount for x in self.calls[:at])
        del self.calls[: at + 1]
        others = total - self.total - call.amount
        others -= min(max(0.0, others), unsure)
        self.total = total
        return max(0.0, others) if others > -0.5 else None

    def unadded(self, call: Call) -> None:
        """The call was turned away: its amount is to be told again."""
        if call in self.calls:
            self.calls.remove(call)
            self.unsaid += call.amount


class Customers(dict[int, Customer]):
    """The customers by key, and whose use is to be told to the counter."""

    def __init__(self) -> None:
        super().__init__()
        self.due = dict[int, Customer]()

    def to_tell(self, c: Customer, is_so: bool) -> None:
        """Returned units, which are told as well, wait behind the others."""
        if c.unsaid <= 0 or not is_so:
            self.due.pop(c.key, None)
        if is_so:
            self.due[c.key] = c

    def callable(self, now: float) -> list[Customer]:
        """Those due whose last call was long enough ago."""
        return [c for c in self.due.values() if now >= c.next_call]

    def age(self, since: float) -> None:
        """Who was not seen since then, with nothing out, is forgotten."""
        for key in [key for key, c in self.items() if c.seen_at < since and not c.open]:
            del self[key]
            self.due.pop(key, None)

    def news(self) -> list[str]:
        """Use in all and attempts out, where they changed since they were last told, as notes for the peers."""
        rows = [c for c in self.values() if c.spread > 1 and c.told != (round(c.used), c.open)]
        for c in rows:
            c.told = (round(c.used), c.open)
        return pack_note((c.key, *c.told) for c in rows)

    def heard(self, peer: int, note: str) -> dict[int, float]:
        """What is new of the customers' use in a peer's note."""
        return {key: self[key].heard(peer, used, out) for key, used, out in unpack_note(note) if key in self}


@dataclass(slots=True)
class Server:
    e: ServerEntry
    out: dict[tuple[str, int], float] = field(default_factory=dict)  # attempts out, oldest first
    slow: float = 1.0  # latency against the usual one
    err: float = 0.0  # recent share of errors
    answered: float = NEVER
    queue: float = 0.0  # last told
    told_at: float = NEVER
    aside: bool = False
    counted: bool = False  # its attempts out are in Servers.held
    turned: int = 0  # messages turned away since it last answered one
    trial_at: float = 0.0
    wait: float = 0.0  # until the next trial; 0 = not set aside of late
    tokens: float = 0.0  # cold budget
    tokens_at: float = NEVER
    cold: bool = True  # for all that is known
    part: float = 1.0  # the average size over its own
    most: int = -1  # attempts out that there may be; -1 = no bound

    def oldest(self) -> float:
        """When the oldest attempt that is out was sent."""
        for at in self.out.values():
            return at
        return inf

    def unheard(self) -> float:
        """The same where nothing has been answered since: one attempt that hangs does not make a server silent."""
        for at in self.out.values():
            return at if at > self.answered else inf
        return inf

    def recent(self, late: float) -> int:
        """Attempts out that are not overdue."""
        overdue = 0
        for at in self.out.values():
            if at > late:
                break
            overdue += 1
        return len(self.out) - overdue

    def warmth(self, now: float, settings: Settings) -> float:
        """The least share of its capacity that it has by now."""
        if not self.cold:
            return 1.0
        age = (now - self.e.started) / settings.cold_time if self.e.started and settings.cold_time else 1.0
        self.cold = age < 1
        return min(1.0, settings.cold_from + (1 - settings.cold_from) * max(0.0, age)) if age < 1 else 1.0

    def budget(self, now: float, rate: float, most: float, first: float) -> float:
        """Attempts that a cold server may get now, at `rate` a second up to `most`, beginning with `first`."""
        if self.tokens_at == NEVER:
            self.tokens, self.tokens_at = first, now
        self.tokens = min(most, self.tokens + rate * (now - self.tokens_at))
        self.tokens_at = now
        return self.tokens

    def mate(self, other: Server, group: str) -> bool:
        """The other one drops a repeat of what ran here."""
        return group == "all" or (self.e.zone == other.e.zone if group == "zone" else self.e.cell == other.e.cell)


class Servers(dict[str, Server]):
    """The sim servers by name, with what each message would else have to look for in all of them."""

    def __init__(self) -> None:
        super().__init__()
        self.up = list[Server]()  # told as up
        self.sizes = list[float]()  # running sums of their sizes
        self.busy = dict[str, Server]()  # with attempts out
        self.apart = dict[str, Server]()  # set aside
        self.size = 1.0  # of all, on average
        self.in_use = self.held = 0  # servers up, not set aside and heard; their attempts out that are not overdue
        self.late = NEVER  # what was sent by then is overdue
        self.stale = True  # these are to be counted anew
        self.queue = 0.0  # as servers told it, smoothed over all
        self.warm_sent, self.warm_rate, self.warm_at = 0, 0.0, NEVER  # to warm ones; a second and size; since when
        self.most = dict[str, int]()  # attempts out at each, where they are bounded

    def told(self, whole: bool, entries: Iterable[ServerEntry]) -> None:
        """The list, `whole` or what changed in it. A server that started anew has a new record and its old attempts."""
        entries = list(entries)
        for name in self.keys() - {x.server for x in entries} if whole else ():
            self[name].e.state = "gone"
        for x in entries:
            old = self.get(x.server)
            if old is None or x.started != old.e.started:
                self[x.server] = Server(x, old.out if old else {}, most=self.most.get(x.server, -1))
            self[x.server].e = x
        for name in [name for name, s in self.items() if s.e.state == "gone" and not s.out]:
            del self[name]
        self.up = [s for s in self.values() if s.e.state == "up"]
        self.sizes = list(accumulate(max(s.e.size, 0.01) for s in self.up))
        self.busy = {name: s for name, s in self.items() if s.out}
        self.apart = {name: s for name, s in self.items() if s.aside}
        self.size, self.stale = sum(s.e.size for s in self.values()) / max(1, len(self)), True
        for s in self.values():
            s.part = self.size / max(s.e.size, 0.01)

    def bound(self, most: dict[str, int]) -> None:
        self.most = most
        for name, s in self.items():
            s.most = most.get(name, -1)

    def count(self, late: float) -> None:
        """Attempts sent by `late` are overdue, and a server of which nothing has been heard since is not in use."""
        self.late, self.stale, self.held, self.in_use = late, False, 0, len(self.up) - self.aside_up()
        for s in self.busy.values():
            s.counted = False
            if s.e.state == "up" and not s.aside:
                s.counted = s.unheard() > late
                self.in_use -= not s.counted
                self.held += s.recent(late) if s.counted else 0

    def warm_pace(self, now: float, settings: Settings, gain: float) -> None:
        """What warm servers get a second and size, taken in with weight `gain`; unchanged where none is warm."""
        if size := sum(s.e.size for s in self.up if s.warmth(now, settings) == 1):
            self.warm_rate += gain * (self.warm_sent / size / (now - self.warm_at) - self.warm_rate)
        self.warm_sent, self.warm_at = 0, now

    def reported(self, s: Server, now: float, fields: Iterable[str], values: list[float], queue: float = -1.0) -> None:
        """What a server said of its queue; without a word on it `queue` counts, and where that is below 0 nothing."""
        for name, value in zip(fields, values, strict=False):
            if name in ("queue", "inflight"):
                queue = value
        if queue >= 0:  # none told is not idle
            s.queue, s.told_at = queue, now
            self.queue += 0.1 * (queue - self.queue)

    def sent(self, s: Server, attempt: tuple[str, int], now: float, warm: bool) -> None:
        self.warm_sent += warm
        if not s.out:
            self.busy[s.e.server] = s
            s.counted = not s.aside
        s.out[attempt] = now
        self.held += s.counted

    def ended(self, s: Server, attempt: tuple[str, int]) -> None:
        at = s.out.pop(attempt, None)
        if at is not None:
            self.held -= s.counted and at > self.late
            if not s.out:
                del self.busy[s.e.server]

    def aside(self, s: Server, is_so: bool) -> None:
        s.aside, self.stale = is_so, True
        if is_so:
            self.apart[s.e.server] = s
        else:
            del self.apart[s.e.server]

    def aside_up(self) -> int:
        return sum(s.e.state == "up" for s in self.apart.values())


@dataclass(slots=True)
class Held:
    """A request in hand."""

    r: Request
    loop: ClassRecord
    cust: Customer | None
    until: float
    tries: int = 0
    ran: float | None = None  # when the first attempt that may have run was sent
    ran_on: Server | None = None
    server: Server | None = None
    sent: float = 0.0
    out: bool = False
    bound: bool = False  # a stream flows
    ended: bool = False
    first: float = 0.0  # when the first attempt was sent
    reached: bool = False  # an attempt may have reached a server whole: the units are taken
    cost: float = 0.0  # true units, once told
    plan: str = ""  # the customer's when it was let in

    @property
    def coming(self) -> bool:
        """Its body is not whole: `until` is not known yet, and nothing of it is work at a server."""
        return self.until == inf

    def went(self, s: Server, now: float) -> None:
        """An attempt goes out."""
        self.first = self.first or now
        self.server, self.sent, self.out = s, inf if self.coming else now, True
        self.tries += 1
        if self.cust:
            self.cust.open += 1

    def came(self, reached: bool, ran: bool) -> None:
        """It is over: whether it reached a server whole, and whether it may have run."""
        self.out = False
        self.reached = self.reached or reached
        if ran and self.ran is None:
            self.ran, self.ran_on = self.sent, self.server


def pack_note(rows: Iterable[tuple[int, int, int]]) -> list[str]:
    """Notes of 256 bytes at most that carry customer, use in all and attempts out; one note at least."""
    notes = ["n"]
    for key, used, out in rows:
        item = f",{key:x}:{used}:{out}"
        if len(notes[-1]) + len(item) > 256:
            notes.append("n")
        notes[-1] += item
    return notes


def unpack_note(data: str) -> Iterator[tuple[int, int, int]]:
    for item in data.split(",")[1:]:
        try:
            key, used, out = item.split(":")
            row = int(key, 16), int(used), int(out)
        except ValueError:
            continue
        yield row
