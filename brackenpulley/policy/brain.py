"""All decisions of one gateway: quota and ceiling, class bucket, room, server; else refused at once."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from . import interface as i
from .calls import Call, Calls
from .state import NEVER, ClassRecord, Customer, Customers, Held, Server, Servers

# Latency loop: the paper's figure 4 and section 3.3.
RUN_SAMPLES, RUN_SECONDS, KEEP, ERR_UP, CUT, RISE, RISE_ZERO = 100, 1.0, 0.7, -0.5, 1.2, 2.0, 0.1
CUT_LOWER, CUT_OWN_AFTER, RATE_MIN, RATE_MAX = 10.0, 20, 0.05, 5000.0
AIM_LOW, AIM_TOP, PART_LOW = 0.5, 0.8, 0.55  # target / aim, lowest to highest worth; its part of the room
BEAT, STALE = 0.1, 3.0  # s between looks at health, calls and notes; s that a reading speaks for the others
EPOCH = 30.0  # s one counter name serves; its life, and an idle customer's, is twice that
GAP, NOTE_GAP = 0.12, 0.2  # s between calls for one customer, at least, and between notes to peers
PACE_MIN, PACE_MAX, CALL_SLOW = 0.03, 0.6, 0.8  # s between calls from here; part of the time-out that is slow
FIRST_CALLS = 250.0  # calls a second, over all gateways, until the answers tell the pace
FASTER, SLOWER, BACK = 0.85, 1.15, 1.5  # what a quick, a slow and a lost answer make of that pace
CALL_PART, CALL_LOW = 0.45, 0.75  # time for a call: so much of the burst unreported by all, or a store so low
HASTE = 3.0  # usual latencies that a client must still wait: what it gives up on is work for nothing
BEYOND = 0.6  # part of a firm's next tries where nothing is known of it (calm days, 196 gateways)
TOGETHER = 4.0  # bursts that all gateways of a set may let in before they know; more is as above
ROOM, LEFT = 6.0, 0.75  # times what a try may lose, and part of the burst, that are to be left for it there
SAVED = 2.0  # largest requests of its even share that a gateway saves up
GAIN, FADE = 0.2, 5.0  # weight of a new latency or error in a server's record; s in which slowness fades
ASIDE_ERR, ASIDE_SIZE = 0.35, 0.5  # error share that sets a server aside; part of the fleet that may be
DRAINS = 2  # messages turned away with none answered between: it drains, whatever the list says
ASIDE_MIN, ASIDE_MAX = 1.0, 8.0  # s until a single trial, doubled each time it fails
SILENT = 4.0  # usual latencies without any answer: silent; twice that summed over what is out there
LOOK, LOOK_ASKED, LOOK_MOST = 10.0, 2.0, 24  # servers looked at beside its part of three; most in all
CORES = 3.0  # what a server works on at a time
FRESH = 1.6  # handicap, among many gateways, of a server that needs a handshake: that costs it work
CROSS = 1.1  # handicap of a server in another zone
COLD_PART = 0.6  # of the multiple that fells a cold server, over what it can do at least
FEW = 6.0  # attempts out a server, over all gateways, that are let in whatever the pace
CROWD = 0.3  # of the shortest aim that the queue ahead may take: held work makes servers less able
PACE, STEADY = 2.0, 8.0  # s, and answers where they are few, over which the pace of good ones is taken
NOT_RUN = ("full", "connect_failed", "moot")  # these prove that the attempt never ran
NOT_REACHED = ("connect_failed", "moot")  # and these that it never reached a server whole: it takes no units


class Loop(ClassRecord):
    """The rate of one class, tuned on the smoothed 90th percentile of its attempts' latencies."""

    def __init__(self, spec: i.ClassSpec, now: float) -> None:
        super().__init__(spec, now, RATE_MAX, RUN_SAMPLES)
        self.lower = list[Loop]()

    def cut(self, by: float) -> None:
        self.rate = max(RATE_MIN, min(self.rate, max(self.admitted, 1.0)) / by)  # an idle rate eats cuts

    def run(self, now: float, ages: list[float]) -> None:
        """One run; `ages` are of attempts still out that are past the target: proven to be slow already."""
        self.turn(now, BEAT)
        self.cur = KEEP * self.cur + (1 - KEEP) * self.high(now - max(RUN_SECONDS, self.spec.aim), ages)
        aim = min(self.spec.deadline, self.target + self.spec.aim_stretch * self.mean)  # own work is not told
        err = (self.cur - aim) / aim if self.busy else -1.0  # with little out slow samples speak of servers
        barred, self.barred, self.busy = self.barred, False, False
        if err > 0:
            yielding = [x for x in self.lower if x.rate > RATE_MIN]
            for x in self.lower:
                x.barred = True
                x.cut(CUT_LOWER)
            self.count += not yielding
            if not self.lower or not yielding and self.count >= CUT_OWN_AFTER:
                self.cut(CUT)
        elif err < ERR_UP and not barred:
            self.count, self.rate = 0, min(RATE_MAX, self.rate - (err + RISE_ZERO) * RISE)


class Gateway:
    def __init__(self, settings: i.Settings, seed: int, now: float) -> None:
        self.s, self.rng, self.born = settings, random.Random(seed), now
        self.loops = {c.name: Loop(c, now) for c in settings.classes}
        worths = sorted({c.worth for c in settings.classes})
        for x in self.loops.values():
            x.lower = [y for y in self.loops.values() if y.spec.worth < x.spec.worth]
            rank = worths.index(x.spec.worth) / (len(worths) - 1) if len(worths) > 1 else 1.0
            aim = min(y.spec.aim for y in self.loops.values() if y.spec.worth >= x.spec.worth)
            x.target, x.less = aim * (AIM_LOW + (AIM_TOP - AIM_LOW) * rank), (1 - PART_LOW) * (1 - rank)
        self.aim = min(c.aim for c in settings.classes)
        self.longest = max(c.deadline for c in settings.classes)
        self.trials_by = "safe" if any(c.effect == "safe" for c in settings.classes) else ""
        self.plans = {p.name: p for p in settings.plans}
        self.customers, self.servers, self.reqs = Customers(), Servers(), dict[str, Held]()
        self.note_gap = max(NOTE_GAP, 1.5 * (settings.gateways - 1) / max(settings.peer_per_s, 1.0))
        self.note_at = self.servers.warm_at = now
        self.by_notes = settings.peers and self.note_gap <= STALE / 5  # fresh against a burst
        self.pace = self.good = self.out = 0.0
        self.asked: deque[str] = deque(maxlen=3)  # names: a restart makes a new record
        self.token, self.watched, self.watch_at = 0, False, NEVER
        self.calls = Calls(now, min(PACE_MAX, max(GAP / 2, settings.gateways / FIRST_CALLS)))
        self.acts: list[i.Action] = []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.acts = []
        if not self.token:
            self.beat(now, i.Timer(0))
        DOES[type(event)](self, now, event)
        return self.acts

    def request(self, now: float, r: i.Request) -> None:
        loop, c = self.loops.get(r.cls), self.customer(now, r)
        if loop is None or c is None and self.plans:  # a class or plan that the settings do not know
            return self.refuse(r.id, 0.0, "unknown")
        loop.fill(now)
        after = self.over_quota(now, c, r.units - r.held, r.retry) if c and r.units > r.held else 0.0
        why = (
            "quota"
            if after > 0
            else "rate"
            if loop.tokens < 1
            else "haste"
            if r.left < HASTE * loop.mean
            else "room"
            if self.crowded(now, loop)
            else ""
        )
        if why or not self.send(now, q := Held(r, loop, c, math.inf if r.coming else now + r.left)):
            return self.refuse(r.id, max(after, (1 - loop.tokens) / loop.rate, loop.mean), why or "servers")
        loop.tokens, loop.sent, self.reqs[r.id] = loop.tokens - 1, loop.sent + 1, q
        if c:
            c.tries, q.plan = c.tries + 1, c.plan.name
            self.hold(now, c, r.units - r.held)
            self.call(now)

    def crowded(self, now: float, loop: Loop) -> bool:
        """What is out over the pace of answers tells a queue at once; few vary by chance and are smoothed."""
        up, held = self.at_work(now)
        few, out = FEW * up / self.s.gateways, self.out
        out += min(1.0, max(self.pace, held) * BEAT) * (held - out)
        loop.busy = loop.busy or out >= few / 2
        return out >= (1 - loop.less * loop.long) * max(few, self.pace * self.aim * CROWD)

    def refuse(self, rid: str, after: float, why: str) -> None:
        self.acts.append(i.Refuse(rid, min(after, self.s.max_retry_after) * self.s.retry_after, why))

    def send(self, now: float, q: Held) -> bool:
        spec, group, before = q.loop.spec, None, 0.0
        if q.ran is not None and spec.effect != "safe":
            # It may have run: unsafe never goes again, keyed only where and while repeats are dropped.
            if spec.effect == "unsafe" or now >= q.ran + spec.window - self.s.tick:
                return False
            group, before = q.ran_on, q.ran + spec.window - self.s.tick
        done = q.tries >= self.s.max_attempts or now >= q.until - self.s.tick
        if done or not (s := self.choose(now, q, group)):
            return False
        s.tokens -= 1
        if not (coming := q.coming):
            self.servers.sent(s, (q.r.id, q.tries), now, s.warmth(now, self.s) == 1)
        q.went(s, now)
        patience = max(spec.aim / 2, SILENT * q.loop.mean)
        timed = not (self.s.cancel or spec.stream or coming) and self.may_repeat(now + patience, q, s)
        self.acts.append(i.Send(q.r.id, s.e.server, patience * timed, before))
        return True

    def whole(self, now: float, e: i.Whole) -> None:
        """The body of a request is there: from now on its time runs, and an attempt of it is work out."""
        if (q := self.reqs.get(e.id)) and q.coming:
            q.until, q.sent = now + q.r.left, now
            if q.out and q.server:
                self.servers.sent(q.server, (e.id, q.tries - 1), now, q.server.warmth(now, self.s) == 1)

    def outcome(self, now: float, o: i.Outcome) -> None:
        q, s = self.reqs.get(o.id), self.servers.get(o.server)
        if s:
            self.servers.reported(s, now, self.s.report_fields, o.load)
            self.servers.ended(s, (o.id, o.attempt))
        if q is None or not q.out or o.attempt != q.tries - 1:
            return
        effect = q.loop.spec.effect
        q.came(o.status not in NOT_REACHED, o.status not in NOT_RUN)
        if c := q.cust:
            c.open -= 1
            if o.cost and self.s.settles:
                q.cost = o.cost
                c.take(o.cost - q.r.units)
                self.note_use(now, c)
            if o.used > 0 and self.s.meter_period and c.plan.rate and not (self.s.counter or self.by_notes):
                dt = min(now - c.read_at, STALE)
                self.learn(now, c, max(0.0, (o.used - 1) / 100 * c.plan.rate - c.own) * dt, now - dt)
        if s:
            self.judge(now, q, s, o)
        if o.closed or q.ended or o.status == "ok":
            self.over(now, q, o.pending)
        elif o.last or not self.send(now, q):
            self.over(now, q, False)
            # A refusal says that another try is harmless: if this one may have run, its class must allow it.
            if q.ran is None or effect == "safe" or effect == "keyed" and q.loop.spec.group == "all":
                self.refuse(o.id, q.loop.mean, "servers")
            else:
                self.acts.append(i.Fail(o.id))

    def over(self, now: float, q: Held, pending: bool) -> None:
        """The request is out of hand. A try that reached no server whole has its units returned."""
        del self.reqs[q.r.id]
        if not (c := q.cust) or pending:
            return
        if not q.reached:
            self.hold(now, c, -q.r.units)
        elif self.s.charges:
            self.acts.append(i.Charge(q.r.id, c.key, q.plan, q.r.revision, q.cost or q.r.units, q.first))

    def started(self, now: float, e: i.Started) -> None:
        q = self.reqs.get(e.id)
        if q and q.server and q.out and not q.bound and e.attempt == q.tries - 1:
            q.bound = True
            self.answered(now, q, q.server, e.latency)
            if e.work_done:
                self.servers.ended(q.server, (e.id, e.attempt))

    def gone(self, now: float, e: i.Gone) -> None:
        if (q := self.reqs.get(e.id)) and not q.ended:
            q.ended = True
            self.acts += [i.Cancel(e.id, q.tries - 1)] if self.s.cancel and not q.bound else []

    def customer(self, now: float, r: i.Request | i.Reserve | i.Allow) -> Customer | None:
        c, plan = self.customers.get(r.customer), self.plans.get(r.plan)
        if plan is None or c and c.plan is plan:
            return c
        if c is None:
            spread = max(1, r.spread)
            # Nothing is known of it yet: the first try, and more as far as wrong ones cost less than right
            # ones earn. Each gateway of its set grants that: with many, most of what goes beyond.
            lost = (plan.over_cost - plan.over_worth) * BEYOND / (1 - BEYOND)
            known = max(r.units, self.s.most_units * (1 - lost), TOGETHER * plan.burst / spread)
            level = 0.0 if self.s.leased else self.share(plan, spread, min(self.s.most_units, known))
            share = self.share(plan, spread, self.s.most_units * SAVED)
            self.customers[r.customer] = c = Customer(
                r.customer, plan, spread, r.first, share, level, now, now, now, now
            )
        elif not r.retry and (plan.name != c.left or now >= c.moved_at + self.longest):
            # A retry may still name the plan that its first try was on, and some are not marked as retries.
            self.move(now, c, plan, c.plan.name)
        return c

    def share(self, plan: i.PlanSpec, spread: int, least: float) -> float:
        return min(plan.burst, max(plan.burst / spread, least))

    def move(self, now: float, c: Customer, plan: i.PlanSpec, left: str = "") -> None:
        self.fill(now, c)
        c.left = left  # nobody names a plan that the book has ended
        share = self.share(plan, c.spread, self.s.most_units * SAVED)
        c.moved(now, plan, share, self.known(now, c), self.s.leased)

    def figures(self, now: float, e: i.PlanFigures) -> None:
        self.plans.update({plan.name: plan for plan in e.plans})
        for c in self.customers.values():
            if (plan := self.plans[c.plan.name]) is not c.plan:
                self.move(now, c, plan)

    def moved(self, now: float, e: i.Moved) -> None:
        c, plan = self.customers.get(e.customer), self.plans.get(e.plan)
        if c and plan and plan is not c.plan:
            self.move(now, c, plan)

    def reserve(self, now: float, r: i.Reserve) -> None:
        """Units for a costly request to come are held as if it were sent now."""
        c = self.customer(now, r)
        after = self.over_quota(now, c, r.units) if c else 0.0
        if c is None and self.plans or after > 0:
            return self.refuse(r.id, after, "quota")
        if c:
            self.hold(now, c, r.units)
        self.acts.append(i.Reserved(r.id))

    def hold(self, now: float, c: Customer, units: float) -> None:
        c.ceil, c.own, c.seen_at = c.ceil - max(0.0, units), max(0.0, c.own + units), now
        c.take(units)
        self.note_use(now, c)

    def settle(self, now: float, e: i.Settle) -> None:
        """Units that were held are known to be these: the difference is taken or returned."""
        if c := self.customers.get(e.customer):
            self.fill(now, c)
            c.take(e.units - e.held)
            self.note_use(now, c)
        if e.units and self.s.charges:
            self.acts.append(i.Charge(e.id, e.customer, e.plan, e.revision, e.units, e.since))

    def allow(self, now: float, e: i.Allow) -> None:
        """Leased through the counter, or given back to it: nothing else fills the store."""
        if c := self.customer(now, e):
            c.level += e.units

    def known(self, now: float, c: Customer) -> bool:  # a reading still speaks for its other gateways
        return now - c.read_at <= STALE

    def fill(self, now: float, c: Customer) -> None:
        """Own last use plus an even part of the room left by the last reading; with none, the even share."""
        dt, c.at, c.read_at = now - c.at, now, now if c.spread == 1 else c.read_at
        c.own *= math.exp(-dt)
        if self.s.leased:
            return
        if self.known(now, c):
            c.fill(c.own + (c.plan.rate - c.own - c.others) / c.spread, c.plan.burst, dt)
        else:
            c.fill(c.plan.rate / c.spread, c.share, dt)

    def learn(self, now: float, c: Customer, used: float, since: float, call: Call | None = None) -> None:
        """The others used this much since then, until now or until `call` went: put the store right."""
        self.fill(now, c)
        at, granted = (call.at, call.granted) if call else (now, c.granted)
        c.read(at, granted, used, dt := max(0.0, at - since), self.known(now, c))
        c.others += dt / (dt + 1.0) * (used / max(dt, BEAT) - c.others)

    def over_quota(self, now: float, c: Customer, units: float, retry: bool = False) -> float:
        """0 where the request may pass, else how long to wait."""
        p, lost = c.plan, units * (c.plan.over_cost - c.plan.over_worth)
        self.fill(now, c)
        # An earlier life may have spent the ceiling: this life's part starts empty and is its own alone.
        if p.ceiling_rate and (room := c.under_ceiling(now, self.born)) < units:
            return (units - room) * c.spread / p.ceiling_rate
        if p.open:
            told = self.known(now, c) and (self.by_notes or c.spread == 1)
            others = sum(c.others_open.values())  # as told; one more for what they sent on since
            cap = p.open - others - min(1.0, others) if told else math.ceil(p.open / c.spread)
            if c.open >= cap:
                return BEAT
        # Many gateways may each let one in: a retry was refused elsewhere, a firm may have spent its store.
        if (
            p.rate
            and lost > 0
            and TOGETHER * p.burst < units * c.spread
            and (retry and not self.known(now, c) or c.likely(now, FADE) < min(LEFT * p.burst, ROOM * lost))
        ):
            return units * c.spread / p.rate
        return (units - c.level) * c.spread / p.rate if p.rate and c.level < units else 0.0

    def note_use(self, now: float, c: Customer) -> None:
        """Use is told to the counter where the customer could come near its quota; nothing waits for it."""
        if not self.s.counter or self.by_notes or self.s.leased or c.spread == 1 or not c.plan.rate:
            return
        if c.unsaid <= 0:
            return self.customers.to_tell(c, c.unsaid <= -1)  # what was told and is returned is told too
        low = c.tries > 1 and c.level < CALL_LOW * (c.plan.burst if self.known(now, c) else c.share)
        if low or c.unsaid >= CALL_PART * c.plan.burst / c.spread:
            self.customers.to_tell(c, True)

    def call(self, now: float) -> None:
        """One call at a time, most unsaid first: many at once wait for each other until they are given up."""
        if now < self.calls.next_at or not (ready := self.customers.callable(now)):
            return
        self.customers.to_tell(c := max(ready, key=lambda c: abs(c.unsaid) / c.plan.burst), False)
        self.fill(now, c)  # its total speaks of now at the earliest: what was granted until then counts
        wait = max(self.calls.gap, 2 * self.s.counter_timeout)
        c.called(call := self.calls.begin(now, int(now // EPOCH), c.key, wait), now + GAP)
        self.acts.append(i.Count(call.name, call.amount, 2 * EPOCH, call.serial))

    def counted(self, now: float, e: i.Counted) -> None:
        if call := self.calls.end(e.name, e.status == "timeout"):
            self.paced(now, e, 1.0)
            self.told(now, call, e)

    def total(self, now: float, e: i.Total) -> None:
        if call := self.calls.heard(e.call):
            self.paced(now, e, BACK)  # it was not lost: that is taken back, and the answer judged as it is
            self.told(now, call, e)

    def paced(self, now: float, e: i.Counted | i.Total, back: float) -> None:
        """The pace follows what a call waits at the counter; the way there says nothing of its load."""
        wait = self.calls.waited(now, e.latency) / self.s.counter_timeout if e.status == "ok" else math.inf
        pace = (BACK if wait > 1 else SLOWER if wait > CALL_SLOW else FASTER) / back
        self.calls.gap = gap = min(PACE_MAX, max(PACE_MIN, self.calls.gap * pace))
        if not self.calls.out:
            self.calls.next_at = self.calls.sent_at + gap * (0.5 + self.rng.random())  # never into step

    def told(self, now: float, call: Call, e: i.Counted | i.Total) -> None:
        if c := self.customers.get(call.key):
            if e.status == "ok" and (used := c.answered(call, e.total)) is not None:
                self.learn(now, c, used, max(call.at - call.at % EPOCH, c.born - EPOCH, c.read_at), call)
            elif e.status not in ("ok", "timeout"):
                c.unadded(call)
            self.note_use(now, c)
        self.call(now)

    def note(self, now: float, e: i.PeerNote) -> None:
        heard = self.customers.heard(e.peer, e.data)
        for c in self.customers.values():
            if c.spread > 1 and (e.peer - c.first) % self.s.places < c.spread:
                self.learn(now, c, heard.get(c.key, 0.0), max(c.read_at, c.born, now - STALE))

    def members(self, now: float, e: i.ServerList) -> None:
        self.watched = e.how != "failed" and (self.watched or e.how != "stale")
        self.servers.told(e.how in ("full", "stale"), e.entries)

    def fleet(self, now: float, e: i.Gateways) -> None:
        self.s.gateways, self.s.cold_gateways = e.count, e.cold

    def shares(self, now: float, e: i.Shares) -> None:
        self.servers.bound(e.most)

    def at_work(self, now: float) -> tuple[int, int]:  # in use, and held; the overdue left out
        if self.servers.stale:  # counted anew each beat and where servers change, kept up in between
            self.servers.count(now - SILENT * max(x.mean for x in self.loops.values()))
        return self.servers.in_use, self.servers.held

    def probed(self, now: float, e: i.Probed) -> None:
        if s := self.servers.get(e.server):
            self.asked.append(e.server)  # with no report, a waiting probe's latency tells the queue
            waits = e.latency / max(x.mean for x in self.loops.values()) if e.status == "ok" else ASIDE_MAX
            self.servers.reported(s, now, self.s.report_fields, e.load, CORES * waits)

    def cold_room(self, now: float, s: Server, warm: float) -> bool:
        """A cold server falls over under a burst: a budget of this gateway's part of the least it can do."""
        can = self.s.fall_multiple * warm * self.servers.warm_rate * s.e.size
        rate = max(COLD_PART * can, 1.0 / self.s.fall_time / max(self.s.gateways, self.s.cold_gateways))
        first = self.rng.random() if s.tokens_at == NEVER else 0.0  # never in step with other gateways' first
        return s.budget(now, rate, max(1.0, rate * min(1.0, self.s.fall_time)), first) >= 1

    def choose(self, now: float, q: Held, group: Server | None) -> Server | None:
        """The best of a few drawn by size: the best of all would be the same for each of many gateways."""
        up, some = self.servers.up, list[Server]()
        look = LOOK_ASKED if self.s.probes else LOOK
        if (count := min(LOOK_MOST, math.ceil(look + len(up) * 3 / self.s.gateways))) < len(up):
            some = self.rng.choices(up, cum_weights=self.servers.sizes, k=count)
            if self.s.probes:  # too many to know from own attempts: look at those just asked
                asked = (self.servers.get(name) for name in dict.fromkeys(self.asked))
                some = [s for s in asked if s and s.e.state == "up"] + some[:1]
                self.acts.append(i.Probe(self.rng.choice(up).e.server))
        return some and self.best(now, q, group, some, FRESH) or self.best(now, q, group, up, 1.0)

    def best(self, now: float, q: Held, mate: Server | None, some: list[Server], new: float) -> Server | None:
        spec, best, least, several = q.loop.spec, None, math.inf, len(self.servers) > 1
        fresh, told = now - STALE, self.servers.queue
        idle, silent = now - self.s.conn_idle / 2, SILENT * q.loop.mean
        for s in some:
            warm = s.warmth(now, self.s) if s.cold else 1.0
            wrong = not mate.mate(s, spec.group) if mate else s is q.server and several
            wrong = wrong or s.most >= 0 and len(s.out) >= s.most
            if wrong or warm < 1 and not self.cold_room(now, s, warm):
                continue
            if s.aside:
                if self.trials_by in ("", spec.effect) and now >= s.trial_at and not s.out:
                    s.trial_at = now + s.wait
                    return s
                continue
            queue = (s.queue if s.told_at > fresh else told) / CORES
            wait = 1 + (len(s.out) + queue) * s.part  # a cold one's budget counts its warmth already
            slow = 1 + (s.slow - 1) * math.exp((s.answered - now) / FADE if s.answered < now else 0.0)
            if s.out and (unheard := (now - s.unheard()) / silent) > slow:
                slow = unheard
            wait *= slow / (1 - s.err) ** 2
            if s.out or s.answered <= idle:  # else it left a connection behind
                wait *= new
            wait *= (1.0 if s.e.zone == self.s.zone else CROSS) * (1 + 0.05 * self.rng.random())
            if wait < least:
                best, least = s, wait
        return best

    def answered(self, now: float, q: Held, s: Server, latency: float) -> None:
        loop, s.answered, s.err = q.loop, now, s.err * (1 - GAIN)
        loop.samples += [(now, loop.spec.deadline)] * s.turned + [(now, latency)]  # it is full, not draining
        s.turned, loop.fresh, self.good = 0, loop.fresh + 1, self.good + 1
        loop.mean += 0.05 * (latency - loop.mean)
        s.slow += GAIN * (min(10.0, latency / max(loop.mean, 1e-3)) - s.slow)
        s.trial_at = now  # a good answer earns the next trial, several the way back
        if s.aside and s.err < ASIDE_ERR / 2:
            s.wait, self.acts = 0.0, [*self.acts, i.Log(f"server back: {s.e.server}")]
            self.servers.aside(s, False)

    def judge(self, now: float, q: Held, s: Server, o: i.Outcome) -> None:
        if o.status == "ok" and not q.bound:
            self.answered(now, q, s, o.latency)
        if o.status == "timeout" and not s.aside:
            q.loop.samples.append((now, q.loop.spec.deadline))
        if o.status == "full":
            s.slow, s.turned = min(10.0, s.slow * 1.5), s.turned + 1
        elif o.status in ("error", "timeout", "connect_failed", "reset"):
            s.err += GAIN * (1 - s.err)
        if o.status != "ok" and s.err > ASIDE_ERR or s.turned >= DRAINS:
            self.set_aside(now, s)

    def set_aside(self, now: float, s: Server) -> None:
        """Out of the choice but for single trials. If most look bad the cause is shared."""
        if s.aside or self.servers.aside_up() < ASIDE_SIZE * len(self.servers.up):
            self.acts += [] if s.aside else [i.Log(f"server set aside: {s.e.server}")]
            self.servers.aside(s, True)
            s.wait = min(ASIDE_MAX, max(ASIDE_MIN, 2 * s.wait))
            s.trial_at = now + s.wait

    def silence(self, now: float) -> None:
        """Servers that take and do not answer, not one slow request. What may go again is taken back."""
        usual = max(x.mean for x in self.loops.values())
        for s in self.servers.busy.values():
            old = s.oldest()
            if (
                not s.aside
                and now - old > SILENT * usual
                and s.answered < old
                and sum(now - at for at in s.out.values()) > 2 * SILENT * usual
            ):
                self.set_aside(now, s)
            for (rid, n), sent in s.out.items() if s.aside and self.s.cancel else ():
                q = self.reqs.get(rid)
                if (
                    q
                    and q.out
                    and not q.ended
                    and not q.bound
                    and n == q.tries - 1
                    and s.answered < sent
                    and now - sent > SILENT * q.loop.mean
                    and self.may_repeat(now, q, s)
                ):
                    self.acts.append(i.Cancel(rid, n))

    def may_repeat(self, now: float, q: Held, s: Server) -> bool:
        """At that time what is out there may be taken back and sent elsewhere, and there is time for it."""
        loop = q.loop
        if q.tries >= self.s.max_attempts or loop.spec.effect == "unsafe" or q.until - now < 2 * loop.mean:
            return False
        first = q.sent if q.ran is None else q.ran
        return (
            loop.spec.effect == "safe"
            or now < first + loop.spec.window - self.s.tick
            and any(x is not s and not x.aside and s.mate(x, loop.spec.group) for x in self.servers.up)
        )

    def beat(self, now: float, e: i.Timer) -> None:
        if e.token != self.token:
            return
        self.token += 1
        self.acts.append(i.SetTimer(self.token, BEAT * (0.5 + self.rng.random())))  # never in step
        if self.s.discovery == "ask" and not self.watched and now - self.watch_at > self.s.ask_within / 10:
            self.watch_at, self.acts = now, [*self.acts, i.Watch(True)]
        self.servers.stale = True
        held, good, self.good = self.at_work(now)[1], self.good, 0
        self.pace += min(BEAT / PACE, max(self.pace * BEAT / STEADY, 0.01)) * (good / BEAT - self.pace)
        self.out += min(1.0, max(self.pace, 1.0) * BEAT) * (held - self.out)  # never frozen without answers
        self.silence(now)
        for x in self.loops.values():
            if now - x.run_at >= RUN_SECONDS or x.fresh >= RUN_SAMPLES:
                usual = sum(y.mean for y in self.loops.values()) / len(self.loops)
                x.long = min(1.0, x.mean / usual) if x.samples else 1.0
                x.run(
                    now,
                    [
                        now - q.sent
                        for q in self.reqs.values()
                        if q.loop is x
                        and q.out
                        and not q.bound
                        and now - q.sent > x.target
                        and q.server
                        and not q.server.aside
                    ],
                )
        if now - self.servers.warm_at >= RUN_SECONDS:
            self.servers.warm_pace(now, self.s, GAIN)
            self.customers.age(now - 2 * EPOCH)
        self.call(now)
        if self.by_notes and now - self.note_at >= self.note_gap:
            self.note_at = now
            self.acts += [i.Tell(-1, note) for note in self.customers.news()]


DOES: dict[type, Callable[[Gateway, float, Any], None]] = {
    i.Request: Gateway.request,
    i.Whole: Gateway.whole,
    i.Outcome: Gateway.outcome,
    i.Gone: Gateway.gone,
    i.Started: Gateway.started,
    i.ServerList: Gateway.members,
    i.Probed: Gateway.probed,
    i.Timer: Gateway.beat,
    i.Counted: Gateway.counted,
    i.Total: Gateway.total,
    i.PeerNote: Gateway.note,
    i.PlanFigures: Gateway.figures,
    i.Moved: Gateway.moved,
    i.Reserve: Gateway.reserve,
    i.Settle: Gateway.settle,
    i.Allow: Gateway.allow,
    i.Gateways: Gateway.fleet,
    i.Shares: Gateway.shares,
}
