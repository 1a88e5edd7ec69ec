"""All decisions of one gateway: quota and ceiling, class bucket, room, server; else refused at once."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from . import interface as i
from .calls import CounterCall, CounterCalls
from .state import NEVER, ClassState, Firm, FirmTable, PendingMessage, Server, ServerTable

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


class RateController(ClassState):
    """The rate of one class, tuned on the smoothed 90th percentile of its attempts' latencies."""

    def __init__(self, spec: i.ClassSpec, now: float) -> None:
        super().__init__(spec, now, RATE_MAX, RUN_SAMPLES)
        self.lower_worth = list[RateController]()

    def cut(self, by: float) -> None:
        self.rate = max(RATE_MIN, min(self.rate, max(self.admitted_rate, 1.0)) / by)  # an idle rate eats cuts

    def run(self, now: float, ages: list[float]) -> None:
        """One run; `ages` are of attempts still out that are past the target: proven to be slow already."""
        self.begin_run(now, BEAT)
        self.smoothed_latency = KEEP * self.smoothed_latency + (1 - KEEP) * self.compute_percentile(
            now - max(RUN_SECONDS, self.spec.aim), ages
        )
        aim = min(self.spec.deadline, self.target + self.spec.aim_stretch * self.mean_latency)  # own work is not told
        err = (
            (self.smoothed_latency - aim) / aim if self.is_busy else -1.0
        )  # with little out slow samples speak of servers
        barred, self.is_rise_barred, self.is_busy = self.is_rise_barred, False, False
        if err > 0:
            yielding = [x for x in self.lower_worth if x.rate > RATE_MIN]
            for x in self.lower_worth:
                x.is_rise_barred = True
                x.cut(CUT_LOWER)
            self.ineffective_runs += not yielding
            if not self.lower_worth or not yielding and self.ineffective_runs >= CUT_OWN_AFTER:
                self.cut(CUT)
        elif err < ERR_UP and not barred:
            self.ineffective_runs, self.rate = 0, min(RATE_MAX, self.rate - (err + RISE_ZERO) * RISE)


class DecisionModule:
    def __init__(self, settings: i.Settings, seed: int, now: float) -> None:
        self.settings, self.rng, self.started_at = settings, random.Random(seed), now
        self.rate_controllers = {c.name: RateController(c, now) for c in settings.classes}
        worths = sorted({c.worth for c in settings.classes})
        for x in self.rate_controllers.values():
            x.lower_worth = [y for y in self.rate_controllers.values() if y.spec.worth < x.spec.worth]
            rank = worths.index(x.spec.worth) / (len(worths) - 1) if len(worths) > 1 else 1.0
            aim = min(y.spec.aim for y in self.rate_controllers.values() if y.spec.worth >= x.spec.worth)
            x.target, x.withheld_share = aim * (AIM_LOW + (AIM_TOP - AIM_LOW) * rank), (1 - PART_LOW) * (1 - rank)
        self.shortest_aim = min(c.aim for c in settings.classes)
        self.longest_deadline = max(c.deadline for c in settings.classes)
        self.trial_effect = "safe" if any(c.effect == "safe" for c in settings.classes) else ""
        self.plans = {p.name: p for p in settings.plans}
        self.firms, self.servers, self.messages = FirmTable(), ServerTable(), dict[str, PendingMessage]()
        self.note_interval = max(NOTE_GAP, 1.5 * (settings.gateways - 1) / max(settings.peer_per_s, 1.0))
        self.last_note_at = self.servers.warm_since = now
        self.uses_peer_notes = settings.peers and self.note_interval <= STALE / 5  # fresh against a burst
        self.answer_rate = self.good_answers = self.smoothed_in_flight = 0.0
        self.recently_probed: deque[str] = deque(maxlen=3)  # names: a restart makes a new record
        self.timer_token, self.is_watching, self.watch_requested_at = 0, False, NEVER
        self.counter_calls = CounterCalls(now, min(PACE_MAX, max(GAP / 2, settings.gateways / FIRST_CALLS)))
        self.actions: list[i.Action] = []

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        self.actions = []
        if not self.timer_token:
            self.handle_tick(now, i.TimerFired(0))
        DOES[type(event)](self, now, event)
        return self.actions

    def admit_message(self, now: float, r: i.MessageReceived) -> None:
        loop, c = self.rate_controllers.get(r.cls), self.find_firm(now, r)
        if loop is None or c is None and self.plans:  # a class or plan that the settings do not know
            return self.refuse(r.id, 0.0, "unknown")
        loop.fill(now)
        after = (
            self.compute_quota_delay(now, c, r.units - r.reserved_units, r.retry)
            if c and r.units > r.reserved_units
            else 0.0
        )
        why = (
            "quota"
            if after > 0
            else "rate"
            if loop.tokens < 1
            else "haste"
            if r.time_left < HASTE * loop.mean_latency
            else "room"
            if self.is_overloaded(now, loop)
            else ""
        )
        if why or not self.send_relay(
            now, q := PendingMessage(r, loop, c, math.inf if r.body_pending else now + r.time_left)
        ):
            return self.refuse(r.id, max(after, (1 - loop.tokens) / loop.rate, loop.mean_latency), why or "servers")
        loop.tokens, loop.admitted_since_run, self.messages[r.id] = loop.tokens - 1, loop.admitted_since_run + 1, q
        if c:
            c.admitted, q.plan = c.admitted + 1, c.plan.name
            self.take_units(now, c, r.units - r.reserved_units)
            self.call_counter(now)

    def is_overloaded(self, now: float, loop: RateController) -> bool:
        """What is out over the pace of answers tells a queue at once; few vary by chance and are smoothed."""
        up, held = self.count_active(now)
        few, out = FEW * up / self.settings.gateways, self.smoothed_in_flight
        out += min(1.0, max(self.answer_rate, held) * BEAT) * (held - out)
        loop.is_busy = loop.is_busy or out >= few / 2
        return out >= (1 - loop.withheld_share * loop.relative_duration) * max(
            few, self.answer_rate * self.shortest_aim * CROWD
        )

    def refuse(self, rid: str, after: float, why: str) -> None:
        self.actions.append(i.Refuse(rid, min(after, self.settings.max_retry_after) * self.settings.retry_after, why))

    def send_relay(self, now: float, q: PendingMessage) -> bool:
        spec, group, before = q.rate_controller.spec, None, 0.0
        if q.first_run_at is not None and spec.effect != "safe":
            # It may have run: unsafe never goes again, keyed only where and while repeats are dropped.
            if spec.effect == "unsafe" or now >= q.first_run_at + spec.window - self.settings.tick:
                return False
            group, before = q.first_run_server, q.first_run_at + spec.window - self.settings.tick
        done = q.attempts >= self.settings.max_attempts or now >= q.deadline - self.settings.tick
        if done or not (s := self.choose_server(now, q, group)):
            return False
        s.tokens -= 1
        if not (coming := q.body_pending):
            self.servers.record_sent(s, (q.message.id, q.attempts), now, s.compute_warmth(now, self.settings) == 1)
        q.record_sent(s, now)
        patience = max(spec.aim / 2, SILENT * q.rate_controller.mean_latency)
        timed = not (self.settings.cancel or spec.stream or coming) and self.may_retry(now + patience, q, s)
        self.actions.append(i.Send(q.message.id, s.entry.server, patience * timed, before))
        return True

    def complete_body(self, now: float, e: i.BodyComplete) -> None:
        """The body of a request is there: from now on its time runs, and an attempt of it is work out."""
        if (q := self.messages.get(e.id)) and q.body_pending:
            q.deadline, q.sent_at = now + q.message.time_left, now
            if q.is_in_flight and q.server:
                self.servers.record_sent(
                    q.server, (e.id, q.attempts - 1), now, q.server.compute_warmth(now, self.settings) == 1
                )

    def handle_outcome(self, now: float, o: i.Outcome) -> None:
        q, s = self.messages.get(o.id), self.servers.get(o.server)
        if s:
            self.servers.record_report(s, now, self.settings.report_fields, o.load)
            self.servers.record_ended(s, (o.id, o.attempt))
        if q is None or not q.is_in_flight or o.attempt != q.attempts - 1:
            return
        effect = q.rate_controller.spec.effect
        q.record_ended(o.status not in NOT_REACHED, o.status not in NOT_RUN)
        if c := q.firm:
            c.in_flight -= 1
            if o.cost and self.settings.settles:
                q.cost = o.cost
                c.take(o.cost - q.message.units)
                self.schedule_report(now, c)
            if (
                o.quota_used > 0
                and self.settings.meter_period
                and c.plan.rate
                and not (self.settings.counter or self.uses_peer_notes)
            ):
                dt = min(now - c.reading_at, STALE)
                self.apply_reading(now, c, max(0.0, (o.quota_used - 1) / 100 * c.plan.rate - c.own_rate) * dt, now - dt)
        if s:
            self.record_outcome(now, q, s, o)
        if o.closed or q.client_gone or o.status == "ok":
            self.finish_message(now, q, o.settles_later)
        elif o.no_retry or not self.send_relay(now, q):
            self.finish_message(now, q, False)
            # A refusal says that another try is harmless: if this one may have run, its class must allow it.
            if (
                q.first_run_at is None
                or effect == "safe"
                or effect == "keyed"
                and q.rate_controller.spec.group == "all"
            ):
                self.refuse(o.id, q.rate_controller.mean_latency, "servers")
            else:
                self.actions.append(i.Fail(o.id))

    def finish_message(self, now: float, q: PendingMessage, pending: bool) -> None:
        """The request is out of hand. A try that reached no server whole has its units returned."""
        del self.messages[q.message.id]
        if not (c := q.firm) or pending:
            return
        if not q.reached_server:
            self.take_units(now, c, -q.message.units)
        elif self.settings.charges:
            self.actions.append(
                i.Charge(q.message.id, c.key, q.plan, q.message.revision, q.cost or q.message.units, q.first_sent_at)
            )

    def start_stream(self, now: float, e: i.StreamStarted) -> None:
        q = self.messages.get(e.id)
        if q and q.server and q.is_in_flight and not q.is_streaming and e.attempt == q.attempts - 1:
            q.is_streaming = True
            self.record_answer(now, q, q.server, e.latency)
            if e.work_done:
                self.servers.record_ended(q.server, (e.id, e.attempt))

    def handle_client_gone(self, now: float, e: i.ClientGone) -> None:
        if (q := self.messages.get(e.id)) and not q.client_gone:
            q.client_gone = True
            self.actions += [i.Cancel(e.id, q.attempts - 1)] if self.settings.cancel and not q.is_streaming else []

    def find_firm(self, now: float, r: i.MessageReceived | i.Reserve | i.LeaseGranted) -> Firm | None:
        c, plan = self.firms.get(r.firm), self.plans.get(r.plan)
        if plan is None or c and c.plan is plan:
            return c
        if c is None:
            spread = max(1, r.spread)
            # Nothing is known of it yet: the first try, and more as far as wrong ones cost less than right
            # ones earn. Each gateway of its set grants that: with many, most of what goes beyond.
            lost = (plan.over_cost - plan.over_worth) * BEYOND / (1 - BEYOND)
            known = max(r.units, self.settings.most_units * (1 - lost), TOGETHER * plan.burst / spread)
            level = (
                0.0
                if self.settings.leased
                else self.compute_burst_share(plan, spread, min(self.settings.most_units, known))
            )
            share = self.compute_burst_share(plan, spread, self.settings.most_units * SAVED)
            self.firms[r.firm] = c = Firm(r.firm, plan, spread, r.first, share, level, now, now, now, now)
        elif not r.retry and (plan.name != c.previous_plan or now >= c.plan_changed_at + self.longest_deadline):
            # A retry may still name the plan that its first try was on, and some are not marked as retries.
            self.change_plan(now, c, plan, c.plan.name)
        return c

    def compute_burst_share(self, plan: i.PlanSpec, spread: int, least: float) -> float:
        return min(plan.burst, max(plan.burst / spread, least))

    def change_plan(self, now: float, c: Firm, plan: i.PlanSpec, left: str = "") -> None:
        self.fill_bucket(now, c)
        c.previous_plan = left  # nobody names a plan that the book has ended
        share = self.compute_burst_share(plan, c.spread, self.settings.most_units * SAVED)
        c.change_plan(now, plan, share, self.has_recent_reading(now, c), self.settings.leased)

    def update_plans(self, now: float, e: i.PlansChanged) -> None:
        self.plans.update({plan.name: plan for plan in e.plans})
        for c in self.firms.values():
            if (plan := self.plans[c.plan.name]) is not c.plan:
                self.change_plan(now, c, plan)

    def move_firm(self, now: float, e: i.FirmMoved) -> None:
        c, plan = self.firms.get(e.firm), self.plans.get(e.plan)
        if c and plan and plan is not c.plan:
            self.change_plan(now, c, plan)

    def reserve_units(self, now: float, r: i.Reserve) -> None:
        """Units for a costly request to come are held as if it were sent now."""
        c = self.find_firm(now, r)
        after = self.compute_quota_delay(now, c, r.units) if c else 0.0
        if c is None and self.plans or after > 0:
            return self.refuse(r.id, after, "quota")
        if c:
            self.take_units(now, c, r.units)
        self.actions.append(i.Reserved(r.id))

    def take_units(self, now: float, c: Firm, units: float) -> None:
        c.ceiling_level, c.own_rate, c.seen_at = c.ceiling_level - max(0.0, units), max(0.0, c.own_rate + units), now
        c.take(units)
        self.schedule_report(now, c)

    def settle_units(self, now: float, e: i.Settle) -> None:
        """Units that were held are known to be these: the difference is taken or returned."""
        if c := self.firms.get(e.firm):
            self.fill_bucket(now, c)
            c.take(e.units - e.held)
            self.schedule_report(now, c)
        if e.units and self.settings.charges:
            self.actions.append(i.Charge(e.id, e.firm, e.plan, e.revision, e.units, e.since))

    def add_leased_units(self, now: float, e: i.LeaseGranted) -> None:
        """Leased through the counter, or given back to it: nothing else fills the store."""
        if c := self.find_firm(now, e):
            c.level += e.units

    def has_recent_reading(self, now: float, c: Firm) -> bool:  # a reading still speaks for its other gateways
        return now - c.reading_at <= STALE

    def fill_bucket(self, now: float, c: Firm) -> None:
        """Own last use plus an even part of the room left by the last reading; with none, the even share."""
        dt, c.filled_at, c.reading_at = now - c.filled_at, now, now if c.spread == 1 else c.reading_at
        c.own_rate *= math.exp(-dt)
        if self.settings.leased:
            return
        if self.has_recent_reading(now, c):
            c.fill(c.own_rate + (c.plan.rate - c.own_rate - c.others_rate) / c.spread, c.plan.burst, dt)
        else:
            c.fill(c.plan.rate / c.spread, c.burst_share, dt)

    def apply_reading(self, now: float, c: Firm, used: float, since: float, call: CounterCall | None = None) -> None:
        """The others used this much since then, until now or until `call` went: put the store right."""
        self.fill_bucket(now, c)
        at, granted = (call.sent_at, call.granted) if call else (now, c.granted)
        c.apply_reading(at, granted, used, dt := max(0.0, at - since), self.has_recent_reading(now, c))
        c.others_rate += dt / (dt + 1.0) * (used / max(dt, BEAT) - c.others_rate)

    def compute_quota_delay(self, now: float, c: Firm, units: float, retry: bool = False) -> float:
        """0 where the request may pass, else how long to wait."""
        p, lost = c.plan, units * (c.plan.over_cost - c.plan.over_worth)
        self.fill_bucket(now, c)
        # An earlier life may have spent the ceiling: this life's part starts empty and is its own alone.
        if p.ceiling_rate and (room := c.fill_ceiling(now, self.started_at)) < units:
            return (units - room) * c.spread / p.ceiling_rate
        if p.open:
            told = self.has_recent_reading(now, c) and (self.uses_peer_notes or c.spread == 1)
            others = sum(c.peers_in_flight.values())  # as told; one more for what they sent on since
            cap = p.open - others - min(1.0, others) if told else math.ceil(p.open / c.spread)
            if c.in_flight >= cap:
                return BEAT
        # Many gateways may each let one in: a retry was refused elsewhere, a firm may have spent its store.
        if (
            p.rate
            and lost > 0
            and TOGETHER * p.burst < units * c.spread
            and (
                retry
                and not self.has_recent_reading(now, c)
                or c.estimate_total_level(now, FADE) < min(LEFT * p.burst, ROOM * lost)
            )
        ):
            return units * c.spread / p.rate
        return (units - c.level) * c.spread / p.rate if p.rate and c.level < units else 0.0

    def schedule_report(self, now: float, c: Firm) -> None:
        """Use is told to the counter where the customer could come near its quota; nothing waits for it."""
        if (
            not self.settings.counter
            or self.uses_peer_notes
            or self.settings.leased
            or c.spread == 1
            or not c.plan.rate
        ):
            return
        if c.unreported <= 0:
            return self.firms.set_due(c, c.unreported <= -1)  # what was told and is returned is told too
        low = c.admitted > 1 and c.level < CALL_LOW * (
            c.plan.burst if self.has_recent_reading(now, c) else c.burst_share
        )
        if low or c.unreported >= CALL_PART * c.plan.burst / c.spread:
            self.firms.set_due(c, True)

    def call_counter(self, now: float) -> None:
        """One call at a time, most unsaid first: many at once wait for each other until they are given up."""
        if now < self.counter_calls.next_at or not (ready := self.firms.list_ready(now)):
            return
        self.firms.set_due(c := max(ready, key=lambda c: abs(c.unreported) / c.plan.burst), False)
        self.fill_bucket(now, c)  # its total speaks of now at the earliest: what was granted until then counts
        wait = max(self.counter_calls.interval, 2 * self.settings.counter_timeout)
        c.begin_call(call := self.counter_calls.begin(now, int(now // EPOCH), c.key, wait), now + GAP)
        self.actions.append(i.AddToCounter(call.name, call.amount, 2 * EPOCH, call.serial))

    def handle_counter_result(self, now: float, e: i.CounterResult) -> None:
        if call := self.counter_calls.end(e.name, e.status == "timeout"):
            self.adjust_call_interval(now, e, 1.0)
            self.apply_counter_result(now, call, e)

    def handle_late_result(self, now: float, e: i.LateCounterResult) -> None:
        if call := self.counter_calls.take_late(e.call):
            self.adjust_call_interval(
                now, e, BACK
            )  # it was not lost: that is taken back, and the answer judged as it is
            self.apply_counter_result(now, call, e)

    def adjust_call_interval(self, now: float, e: i.CounterResult | i.LateCounterResult, back: float) -> None:
        """The pace follows what a call waits at the counter; the way there says nothing of its load."""
        wait = (
            self.counter_calls.compute_wait(now, e.latency) / self.settings.counter_timeout
            if e.status == "ok"
            else math.inf
        )
        pace = (BACK if wait > 1 else SLOWER if wait > CALL_SLOW else FASTER) / back
        self.counter_calls.interval = gap = min(PACE_MAX, max(PACE_MIN, self.counter_calls.interval * pace))
        if not self.counter_calls.current:
            self.counter_calls.next_at = self.counter_calls.sent_at + gap * (0.5 + self.rng.random())  # never into step

    def apply_counter_result(self, now: float, call: CounterCall, e: i.CounterResult | i.LateCounterResult) -> None:
        if c := self.firms.get(call.key):
            if e.status == "ok" and (used := c.apply_total(call, e.total)) is not None:
                self.apply_reading(
                    now, c, used, max(call.sent_at - call.sent_at % EPOCH, c.created_at - EPOCH, c.reading_at), call
                )
            elif e.status not in ("ok", "timeout"):
                c.return_call(call)
            self.schedule_report(now, c)
        self.call_counter(now)

    def handle_peer_note(self, now: float, e: i.PeerNote) -> None:
        heard = self.firms.apply_note(e.peer, e.data)
        for c in self.firms.values():
            if c.spread > 1 and (e.peer - c.first) % self.settings.places < c.spread:
                self.apply_reading(now, c, heard.get(c.key, 0.0), max(c.reading_at, c.created_at, now - STALE))

    def update_servers(self, now: float, e: i.ServerList) -> None:
        self.is_watching = e.kind != "failed" and (self.is_watching or e.kind != "stale")
        self.servers.update_entries(e.kind in ("full", "stale"), e.entries)

    def update_ingress_count(self, now: float, e: i.IngressCountChanged) -> None:
        self.settings.gateways, self.settings.cold_ingresses = e.count, e.cold_count

    def limit_relays(self, now: float, e: i.RelayLimitsChanged) -> None:
        self.servers.set_relay_limits(e.limits)

    def count_active(self, now: float) -> tuple[int, int]:  # in use, and held; the overdue left out
        if self.servers.is_stale:  # counted anew each beat and where servers change, kept up in between
            self.servers.recount(now - SILENT * max(x.mean_latency for x in self.rate_controllers.values()))
        return self.servers.in_use, self.servers.in_flight

    def handle_probe_result(self, now: float, e: i.ProbeResult) -> None:
        if s := self.servers.get(e.server):
            self.recently_probed.append(e.server)  # with no report, a waiting probe's latency tells the queue
            waits = (
                e.latency / max(x.mean_latency for x in self.rate_controllers.values())
                if e.status == "ok"
                else ASIDE_MAX
            )
            self.servers.record_report(s, now, self.settings.report_fields, e.load, CORES * waits)

    def has_cold_budget(self, now: float, s: Server, warm: float) -> bool:
        """A cold server falls over under a burst: a budget of this gateway's part of the least it can do."""
        can = self.settings.fall_multiple * warm * self.servers.warm_rate * s.entry.size
        rate = max(
            COLD_PART * can, 1.0 / self.settings.fall_time / max(self.settings.gateways, self.settings.cold_ingresses)
        )
        first = self.rng.random() if s.tokens_filled_at == NEVER else 0.0  # never in step with other gateways' first
        return s.fill_budget(now, rate, max(1.0, rate * min(1.0, self.settings.fall_time)), first) >= 1

    def choose_server(self, now: float, q: PendingMessage, group: Server | None) -> Server | None:
        """The best of a few drawn by size: the best of all would be the same for each of many gateways."""
        up, some = self.servers.up, list[Server]()
        look = LOOK_ASKED if self.settings.probes else LOOK
        if (count := min(LOOK_MOST, math.ceil(look + len(up) * 3 / self.settings.gateways))) < len(up):
            some = self.rng.choices(up, cum_weights=self.servers.cumulative_sizes, k=count)
            if self.settings.probes:  # too many to know from own attempts: look at those just asked
                asked = (self.servers.get(name) for name in dict.fromkeys(self.recently_probed))
                some = [s for s in asked if s and s.entry.state == "up"] + some[:1]
                self.actions.append(i.Probe(self.rng.choice(up).entry.server))
        return some and self.pick_best(now, q, group, some, FRESH) or self.pick_best(now, q, group, up, 1.0)

    def pick_best(
        self, now: float, q: PendingMessage, mate: Server | None, some: list[Server], new: float
    ) -> Server | None:
        spec, best, least, several = q.rate_controller.spec, None, math.inf, len(self.servers) > 1
        fresh, told = now - STALE, self.servers.mean_queue
        idle, silent = now - self.settings.conn_idle / 2, SILENT * q.rate_controller.mean_latency
        for s in some:
            warm = s.compute_warmth(now, self.settings) if s.may_be_cold else 1.0
            wrong = not mate.deduplicates_with(s, spec.group) if mate else s is q.server and several
            wrong = wrong or s.relay_limit >= 0 and len(s.relays) >= s.relay_limit
            if wrong or warm < 1 and not self.has_cold_budget(now, s, warm):
                continue
            if s.is_ejected:
                if self.trial_effect in ("", spec.effect) and now >= s.trial_at and not s.relays:
                    s.trial_at = now + s.trial_delay
                    return s
                continue
            queue = (s.queue if s.reported_at > fresh else told) / CORES
            wait = 1 + (len(s.relays) + queue) * s.size_ratio  # a cold one's budget counts its warmth already
            slow = 1 + (s.slowness - 1) * math.exp((s.answered_at - now) / FADE if s.answered_at < now else 0.0)
            if s.relays and (unheard := (now - s.get_unanswered_since()) / silent) > slow:
                slow = unheard
            wait *= slow / (1 - s.error_rate) ** 2
            if s.relays or s.answered_at <= idle:  # else it left a connection behind
                wait *= new
            wait *= (1.0 if s.entry.zone == self.settings.zone else CROSS) * (1 + 0.05 * self.rng.random())
            if wait < least:
                best, least = s, wait
        return best

    def record_answer(self, now: float, q: PendingMessage, s: Server, latency: float) -> None:
        loop, s.answered_at, s.error_rate = q.rate_controller, now, s.error_rate * (1 - GAIN)
        loop.samples += [(now, loop.spec.deadline)] * s.refusals + [(now, latency)]  # it is full, not draining
        s.refusals, loop.new_samples, self.good_answers = 0, loop.new_samples + 1, self.good_answers + 1
        loop.mean_latency += 0.05 * (latency - loop.mean_latency)
        s.slowness += GAIN * (min(10.0, latency / max(loop.mean_latency, 1e-3)) - s.slowness)
        s.trial_at = now  # a good answer earns the next trial, several the way back
        if s.is_ejected and s.error_rate < ASIDE_ERR / 2:
            s.trial_delay, self.actions = 0.0, [*self.actions, i.Log(f"server back: {s.entry.server}")]
            self.servers.set_ejected(s, False)

    def record_outcome(self, now: float, q: PendingMessage, s: Server, o: i.Outcome) -> None:
        if o.status == "ok" and not q.is_streaming:
            self.record_answer(now, q, s, o.latency)
        if o.status == "timeout" and not s.is_ejected:
            q.rate_controller.samples.append((now, q.rate_controller.spec.deadline))
        if o.status == "full":
            s.slowness, s.refusals = min(10.0, s.slowness * 1.5), s.refusals + 1
        elif o.status in ("error", "timeout", "connect_failed", "reset"):
            s.error_rate += GAIN * (1 - s.error_rate)
        if o.status != "ok" and s.error_rate > ASIDE_ERR or s.refusals >= DRAINS:
            self.eject(now, s)

    def eject(self, now: float, s: Server) -> None:
        """Out of the choice but for single trials. If most look bad the cause is shared."""
        if s.is_ejected or self.servers.count_ejected_up() < ASIDE_SIZE * len(self.servers.up):
            self.actions += [] if s.is_ejected else [i.Log(f"server set aside: {s.entry.server}")]
            self.servers.set_ejected(s, True)
            s.trial_delay = min(ASIDE_MAX, max(ASIDE_MIN, 2 * s.trial_delay))
            s.trial_at = now + s.trial_delay

    def eject_silent(self, now: float) -> None:
        """Servers that take and do not answer, not one slow request. What may go again is taken back."""
        usual = max(x.mean_latency for x in self.rate_controllers.values())
        for s in self.servers.with_relays.values():
            old = s.get_oldest_sent_at()
            if (
                not s.is_ejected
                and now - old > SILENT * usual
                and s.answered_at < old
                and sum(now - at for at in s.relays.values()) > 2 * SILENT * usual
            ):
                self.eject(now, s)
            for (rid, n), sent in s.relays.items() if s.is_ejected and self.settings.cancel else ():
                q = self.messages.get(rid)
                if (
                    q
                    and q.is_in_flight
                    and not q.client_gone
                    and not q.is_streaming
                    and n == q.attempts - 1
                    and s.answered_at < sent
                    and now - sent > SILENT * q.rate_controller.mean_latency
                    and self.may_retry(now, q, s)
                ):
                    self.actions.append(i.Cancel(rid, n))

    def may_retry(self, now: float, q: PendingMessage, s: Server) -> bool:
        """At that time what is out there may be taken back and sent elsewhere, and there is time for it."""
        loop = q.rate_controller
        if (
            q.attempts >= self.settings.max_attempts
            or loop.spec.effect == "unsafe"
            or q.deadline - now < 2 * loop.mean_latency
        ):
            return False
        first = q.sent_at if q.first_run_at is None else q.first_run_at
        return (
            loop.spec.effect == "safe"
            or now < first + loop.spec.window - self.settings.tick
            and any(
                x is not s and not x.is_ejected and s.deduplicates_with(x, loop.spec.group) for x in self.servers.up
            )
        )

    def handle_tick(self, now: float, e: i.TimerFired) -> None:
        if e.token != self.timer_token:
            return
        self.timer_token += 1
        self.actions.append(i.SetTimer(self.timer_token, BEAT * (0.5 + self.rng.random())))  # never in step
        if (
            self.settings.discovery == "ask"
            and not self.is_watching
            and now - self.watch_requested_at > self.settings.ask_within / 10
        ):
            self.watch_requested_at, self.actions = now, [*self.actions, i.Watch(True)]
        self.servers.is_stale = True
        held, good, self.good_answers = self.count_active(now)[1], self.good_answers, 0
        self.answer_rate += min(BEAT / PACE, max(self.answer_rate * BEAT / STEADY, 0.01)) * (
            good / BEAT - self.answer_rate
        )
        self.smoothed_in_flight += min(1.0, max(self.answer_rate, 1.0) * BEAT) * (
            held - self.smoothed_in_flight
        )  # never frozen without answers
        self.eject_silent(now)
        for x in self.rate_controllers.values():
            if now - x.last_run_at >= RUN_SECONDS or x.new_samples >= RUN_SAMPLES:
                usual = sum(y.mean_latency for y in self.rate_controllers.values()) / len(self.rate_controllers)
                x.relative_duration = min(1.0, x.mean_latency / usual) if x.samples else 1.0
                x.run(
                    now,
                    [
                        now - q.sent_at
                        for q in self.messages.values()
                        if q.rate_controller is x
                        and q.is_in_flight
                        and not q.is_streaming
                        and now - q.sent_at > x.target
                        and q.server
                        and not q.server.is_ejected
                    ],
                )
        if now - self.servers.warm_since >= RUN_SECONDS:
            self.servers.update_warm_rate(now, self.settings, GAIN)
            self.firms.expire(now - 2 * EPOCH)
        self.call_counter(now)
        if self.uses_peer_notes and now - self.last_note_at >= self.note_interval:
            self.last_note_at = now
            self.actions += [i.SendPeerNote(-1, note) for note in self.firms.make_notes()]


DOES: dict[type, Callable[[DecisionModule, float, Any], None]] = {
    i.MessageReceived: DecisionModule.admit_message,
    i.BodyComplete: DecisionModule.complete_body,
    i.Outcome: DecisionModule.handle_outcome,
    i.ClientGone: DecisionModule.handle_client_gone,
    i.StreamStarted: DecisionModule.start_stream,
    i.ServerList: DecisionModule.update_servers,
    i.ProbeResult: DecisionModule.handle_probe_result,
    i.TimerFired: DecisionModule.handle_tick,
    i.CounterResult: DecisionModule.handle_counter_result,
    i.LateCounterResult: DecisionModule.handle_late_result,
    i.PeerNote: DecisionModule.handle_peer_note,
    i.PlansChanged: DecisionModule.update_plans,
    i.FirmMoved: DecisionModule.move_firm,
    i.Reserve: DecisionModule.reserve_units,
    i.Settle: DecisionModule.settle_units,
    i.LeaseGranted: DecisionModule.add_leased_units,
    i.IngressCountChanged: DecisionModule.update_ingress_count,
    i.RelayLimitsChanged: DecisionModule.limit_relays,
}
