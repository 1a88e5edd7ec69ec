"""The decisions of one ingress: which messages to admit, where to send them, and which to refuse at once.

A message passes the firm's quota and ceiling, its class's rate, the limit on relays in flight and the choice of a
server. `DecisionModule` has no I/O and no clock: it takes events and returns actions (see `interface`).
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from . import interface
from .calls import CounterCall, CounterCalls
from .rate_control import RUN_SAMPLES, RUN_SECONDS, RateController
from .state import NEVER, Firm, FirmTable, PendingMessage, Server, ServerTable

TARGET_SHARE_LOWEST = 0.5  # target latency over `aim`, for the class of lowest worth
TARGET_SHARE_HIGHEST = 0.8  # the same for the class of highest worth
IN_FLIGHT_SHARE_LOWEST = 0.55  # part of the in-flight limit that the class of lowest worth may use
TICK_SECONDS = 0.1  # mean time between health checks, counter calls and notes
READING_VALID_SECONDS = 3.0  # how long a reading of the other ingresses' use counts

COUNTER_NAME_SECONDS = 30.0  # a counter name is used this long; it, and an idle firm's record, live twice as long
FIRM_CALL_INTERVAL_SECONDS = 0.12  # least time between counter calls for one firm
NOTE_INTERVAL_MIN_SECONDS = 0.2  # least time between notes to peers
CALL_INTERVAL_MIN_SECONDS = 0.03  # least time between counter calls of this ingress
CALL_INTERVAL_MAX_SECONDS = 0.6
SLOW_CALL_SHARE = 0.8  # a call is slow when it waits longer than this part of the timeout
INITIAL_CALLS_PER_SECOND = 250.0  # of all ingresses together, until answers adjust the interval
INTERVAL_FACTOR_FAST = 0.85  # changes the call interval after a fast answer...
INTERVAL_FACTOR_SLOW = 1.15  # ...a slow one...
INTERVAL_FACTOR_LOST = 1.5  # ...and a call without an answer
REPORT_BURST_SHARE = 0.45  # report when all ingresses may have so much of the burst unreported...
REPORT_LEVEL_SHARE = 0.75  # ...or the level is below this part of the burst

MIN_TIME_LEFT_LATENCIES = 3.0  # mean latencies a client must still wait: work for one that gives up is wasted
OVER_QUOTA_SHARE = 0.6  # share beyond quotas of messages admitted without a reading (196 ingresses, calm days)
COLLECTIVE_BURSTS = 4.0  # bursts that a firm's ingresses may admit together without a reading
RESERVE_LOSS_FACTOR = 6.0  # with more, the bucket must hold this many times the possible loss...
RESERVE_BURST_SHARE = 0.75  # ...or this part of the burst, if that is less
SAVED_MESSAGES = 2.0  # largest messages for which an ingress may save up its even share

SERVER_GAIN = 0.2  # weight of a new latency or error in a server's averages
DECAY_SECONDS = 5.0  # time constant with which a server's slowness and a firm's use elsewhere decay
EJECTION_ERROR_RATE = 0.35  # ejects a server
EJECTION_MAX_SHARE = 0.5  # of the servers that are up
EJECTION_REFUSALS = 2  # in a row, without an answer: the server drains, whatever discovery says
TRIAL_DELAY_MIN_SECONDS = 1.0  # until an ejected server gets a trial relay; doubled after each failure
TRIAL_DELAY_MAX_SECONDS = 8.0
SILENCE_LATENCIES = 4.0  # mean latencies without an answer that make a server silent; twice that in sum of its relays
CANDIDATES = 10.0  # servers compared for a message, in addition to 3 times the servers for each ingress
CANDIDATES_WITH_PROBES = 2.0  # the same with probes
CANDIDATES_MAX = 24
SERVER_CONCURRENCY = 3.0  # messages that a server works on at a time
HANDSHAKE_PENALTY = 1.6  # factor on the wait at a server without an idle connection: a handshake costs it work
CROSS_ZONE_PENALTY = 1.1  # factor on the wait at a server in another zone
COLD_BUDGET_SHARE = 0.6  # part used of the rate at which a cold server fails
MIN_RELAYS_PER_SERVER = 6.0  # in flight from all ingresses, allowed at any answer rate
QUEUE_TARGET_SHARE = 0.3  # of the shortest latency target, for queueing: a longer queue makes servers less efficient
ANSWER_RATE_SECONDS = 2.0  # time constant of the rate of successful answers...
ANSWER_RATE_ANSWERS = 8.0  # ...or this many answers, if they take longer

NOT_RUN_STATUSES = ("full", "connect_failed", "moot")  # prove that the attempt did not run
NOT_REACHED_STATUSES = ("connect_failed", "moot")  # prove that no server received it whole: it uses no units


class DecisionModule:
    """Decides for one ingress. Deterministic: the same seed, settings and events give the same actions."""

    def __init__(self, settings: interface.Settings, seed: int, now: float) -> None:
        self.settings, self.rng, self.started_at = settings, random.Random(seed), now
        self.rate_controllers = {spec.name: RateController(spec, now) for spec in settings.classes}
        worths = sorted({spec.worth for spec in settings.classes})
        for controller in self.rate_controllers.values():
            controller.lower_worth = [y for y in self.rate_controllers.values() if y.spec.worth < controller.spec.worth]
            rank = worths.index(controller.spec.worth) / (len(worths) - 1) if len(worths) > 1 else 1.0
            aim = min(y.spec.aim for y in self.rate_controllers.values() if y.spec.worth >= controller.spec.worth)
            controller.target, controller.withheld_share = (
                aim * (TARGET_SHARE_LOWEST + (TARGET_SHARE_HIGHEST - TARGET_SHARE_LOWEST) * rank),
                (1 - IN_FLIGHT_SHARE_LOWEST) * (1 - rank),
            )
        self.shortest_aim = min(spec.aim for spec in settings.classes)
        self.longest_deadline = max(spec.deadline for spec in settings.classes)
        self.trial_effect = "safe" if any(spec.effect == "safe" for spec in settings.classes) else ""
        self.plans = {plan.name: plan for plan in settings.plans}
        self.firms, self.servers, self.messages = FirmTable(), ServerTable(), dict[str, PendingMessage]()
        self.note_interval = max(
            NOTE_INTERVAL_MIN_SECONDS, 1.5 * (settings.gateways - 1) / max(settings.peer_per_s, 1.0)
        )
        self.last_note_at = self.servers.warm_since = now
        # Notes replace the counter only if they are frequent enough to catch a burst.
        self.uses_peer_notes = settings.peers and self.note_interval <= READING_VALID_SECONDS / 5
        self.answer_rate = 0.0  # successful answers a second
        self.good_answers = 0.0  # successful answers since the last tick
        self.smoothed_in_flight = 0.0
        self.recently_probed: deque[str] = deque(maxlen=3)  # by name, as a restarted server gets a new record
        self.timer_token, self.is_watching, self.watch_requested_at = 0, False, NEVER
        self.counter_calls = CounterCalls(
            now,
            min(
                CALL_INTERVAL_MAX_SECONDS,
                max(FIRM_CALL_INTERVAL_SECONDS / 2, settings.gateways / INITIAL_CALLS_PER_SECOND),
            ),
        )
        self.actions: list[interface.Action] = []

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Takes an event at time `now` and returns the actions to carry out, in order."""
        self.actions = []
        if not self.timer_token:
            self.handle_tick(now, interface.TimerFired(0))
        HANDLERS[type(event)](self, now, event)
        return self.actions

    def admit_message(self, now: float, message: interface.MessageReceived) -> None:
        """Sends a new message to a server or refuses it."""
        controller, firm = self.rate_controllers.get(message.cls), self.find_firm(now, message)
        if controller is None or firm is None and self.plans:  # class or plan unknown
            return self.refuse(message.id, 0.0, "unknown")
        controller.fill(now)
        quota_delay = (
            self.compute_quota_delay(now, firm, message.units - message.reserved_units, message.retry)
            if firm and message.units > message.reserved_units
            else 0.0
        )
        reason = (
            "quota"
            if quota_delay > 0
            else "rate"
            if controller.tokens < 1
            else "haste"
            if message.time_left < MIN_TIME_LEFT_LATENCIES * controller.mean_latency
            else "room"
            if self.is_overloaded(now, controller)
            else ""
        )
        if reason or not self.send_relay(
            now,
            pending := PendingMessage(
                message, controller, firm, math.inf if message.body_pending else now + message.time_left
            ),
        ):
            return self.refuse(
                message.id,
                max(quota_delay, (1 - controller.tokens) / controller.rate, controller.mean_latency),
                reason or "servers",
            )
        controller.tokens, controller.admitted_since_run, self.messages[message.id] = (
            controller.tokens - 1,
            controller.admitted_since_run + 1,
            pending,
        )
        if firm:
            firm.admitted, pending.plan = firm.admitted + 1, firm.plan.name
            self.take_units(now, firm, message.units - message.reserved_units)
            self.call_counter(now)

    def is_overloaded(self, now: float, controller: RateController) -> bool:
        """Returns whether the relays in flight exceed what servers answer within the latency target.

        Their number shows a queue before latencies do. It is smoothed where it is small, as it varies by chance then.
        """
        in_use, in_flight = self.count_active(now)
        min_in_flight, smoothed = MIN_RELAYS_PER_SERVER * in_use / self.settings.gateways, self.smoothed_in_flight
        smoothed += min(1.0, max(self.answer_rate, in_flight) * TICK_SECONDS) * (in_flight - smoothed)
        controller.is_busy = controller.is_busy or smoothed >= min_in_flight / 2
        return smoothed >= (1 - controller.withheld_share * controller.relative_duration) * max(
            min_in_flight, self.answer_rate * self.shortest_aim * QUEUE_TARGET_SHARE
        )

    def refuse(self, message_id: str, retry_after: float, reason: str) -> None:
        """Gives a back-off answer."""
        self.actions.append(
            interface.Refuse(
                message_id, min(retry_after, self.settings.max_retry_after) * self.settings.retry_after, reason
            )
        )

    def send_relay(self, now: float, pending: PendingMessage) -> bool:
        """Sends the message to a server; returns False if it must not be sent or no server is available."""
        spec, first_server, not_after = pending.rate_controller.spec, None, 0.0
        if pending.first_run_at is not None and spec.effect != "safe":
            # It may have run: an unsafe message is not repeated, a keyed one only where and while repeats are dropped.
            if spec.effect == "unsafe" or now >= pending.first_run_at + spec.window - self.settings.tick:
                return False
            first_server, not_after = pending.first_run_server, pending.first_run_at + spec.window - self.settings.tick
        is_exhausted = pending.attempts >= self.settings.max_attempts or now >= pending.deadline - self.settings.tick
        if is_exhausted or not (server := self.choose_server(now, pending, first_server)):
            return False
        server.tokens -= 1
        if not (body_pending := pending.body_pending):
            self.servers.record_sent(
                server, (pending.message.id, pending.attempts), now, server.compute_warmth(now, self.settings) == 1
            )
        pending.record_sent(server, now)
        silence_seconds = max(spec.aim / 2, SILENCE_LATENCIES * pending.rate_controller.mean_latency)
        has_timeout = not (self.settings.cancel or spec.stream or body_pending) and self.may_retry(
            now + silence_seconds, pending, server
        )
        self.actions.append(
            interface.Send(pending.message.id, server.entry.server, silence_seconds * has_timeout, not_after)
        )
        return True

    def complete_body(self, now: float, event: interface.BodyComplete) -> None:
        """Starts the deadline of a message whose body is complete and counts its relay as in flight."""
        if (pending := self.messages.get(event.id)) and pending.body_pending:
            pending.deadline, pending.sent_at = now - event.elapsed + pending.message.time_left, now
            if pending.is_in_flight and pending.server:
                self.servers.record_sent(
                    pending.server,
                    (event.id, pending.attempts - 1),
                    now,
                    pending.server.compute_warmth(now, self.settings) == 1,
                )

    def handle_outcome(self, now: float, outcome: interface.Outcome) -> None:
        """Records the end of a relay, then finishes, repeats, refuses or fails the message."""
        pending, server = self.messages.get(outcome.id), self.servers.get(outcome.server)
        if server:
            self.servers.record_report(server, now, self.settings.report_fields, outcome.load)
            self.servers.record_ended(server, (outcome.id, outcome.attempt))
        if pending is None or not pending.is_in_flight or outcome.attempt != pending.attempts - 1:
            return
        effect = pending.rate_controller.spec.effect
        pending.record_ended(outcome.status not in NOT_REACHED_STATUSES, outcome.status not in NOT_RUN_STATUSES)
        if outcome.status == "reset":
            pending.broken_servers += (outcome.server,)
        if firm := pending.firm:
            firm.in_flight -= 1
            if outcome.cost and self.settings.settles:
                pending.cost = outcome.cost
                firm.take(outcome.cost - pending.message.units)
                self.schedule_report(now, firm)
            if (
                outcome.quota_used > 0
                and self.settings.meter_period
                and firm.plan.rate
                and not (self.settings.counter or self.uses_peer_notes)
            ):
                dt = min(now - firm.reading_at, READING_VALID_SECONDS)
                self.apply_reading(
                    now, firm, max(0.0, (outcome.quota_used - 1) / 100 * firm.plan.rate - firm.own_rate) * dt, now - dt
                )
        if server:
            self.record_outcome(now, pending, server, outcome)
        if outcome.closed or pending.client_gone or outcome.status == "ok":
            self.finish_message(now, pending, outcome.settles_later)
        elif outcome.no_retry or not self.send_relay(now, pending):
            self.finish_message(now, pending, False)
            # A refusal invites the client to repeat: if the message may have run, its class must allow that.
            if (
                pending.first_run_at is None
                or effect == "safe"
                or effect == "keyed"
                and pending.rate_controller.spec.group == "all"
            ):
                self.refuse(outcome.id, pending.rate_controller.mean_latency, "servers")
            else:
                self.actions.append(interface.Fail(outcome.id))

    def finish_message(self, now: float, pending: PendingMessage, settles_later: bool) -> None:
        """Removes the message. Units of one that reached no server whole are returned, others are charged."""
        del self.messages[pending.message.id]
        if not (firm := pending.firm) or settles_later:
            return
        if not pending.reached_server:
            self.take_units(now, firm, -pending.message.units)
        elif self.settings.charges:
            self.actions.append(
                interface.Charge(
                    pending.message.id,
                    firm.key,
                    pending.plan,
                    pending.message.revision,
                    pending.cost or pending.message.units,
                    pending.first_sent_at,
                )
            )

    def begin_answer(self, now: float, event: interface.AnswerBegun) -> None:
        """Records that a server gives a long answer, however slowly: it is not silent, and works on it no more."""
        pending = self.messages.get(event.id)
        if pending and pending.server and pending.is_in_flight and event.attempt == pending.attempts - 1:
            pending.has_answer_begun, pending.server.answered_at = True, now
            self.servers.record_ended(pending.server, (event.id, event.attempt))

    def start_stream(self, now: float, event: interface.StreamStarted) -> None:
        """Binds a message whose answer flows to this attempt, and records its latency."""
        pending = self.messages.get(event.id)
        if (
            pending
            and pending.server
            and pending.is_in_flight
            and not pending.is_streaming
            and event.attempt == pending.attempts - 1
        ):
            pending.is_streaming = True
            self.record_answer(now, pending, pending.server, event.latency)
            if event.work_done:
                self.servers.record_ended(pending.server, (event.id, event.attempt))

    def handle_client_gone(self, now: float, event: interface.ClientGone) -> None:
        """Cancels the relay of a message whose client is gone, if that is allowed."""
        if (pending := self.messages.get(event.id)) and not pending.client_gone:
            pending.client_gone = True
            self.actions += (
                [interface.Cancel(event.id, pending.attempts - 1)]
                if self.settings.cancel and not pending.is_streaming
                else []
            )

    def find_firm(
        self, now: float, event: interface.MessageReceived | interface.Reserve | interface.LeaseGranted
    ) -> Firm | None:
        """Returns the firm's record, new or updated to the plan that the event names; None if the plan is unknown."""
        firm, plan = self.firms.get(event.firm), self.plans.get(event.plan)
        if plan is None or firm and firm.plan is plan:
            return firm
        if firm is None:
            spread = max(1, event.spread)
            # Without a reading the first message is granted, and more as far as messages beyond the quota cost less
            # than those within it earn. Each ingress of the firm grants this, which with many of them makes up most
            # of the use beyond quotas.
            net_loss = (plan.over_cost - plan.over_worth) * OVER_QUOTA_SHARE / (1 - OVER_QUOTA_SHARE)
            grant = max(event.units, self.settings.most_units * (1 - net_loss), COLLECTIVE_BURSTS * plan.burst / spread)
            level = (
                0.0
                if self.settings.leased
                else self.compute_burst_share(plan, spread, min(self.settings.most_units, grant))
            )
            burst_share = self.compute_burst_share(plan, spread, self.settings.most_units * SAVED_MESSAGES)
            self.firms[event.firm] = firm = Firm(
                event.firm, plan, spread, event.first, burst_share, level, now, now, now, now
            )
        elif not event.retry and (
            plan.name != firm.previous_plan or now >= firm.plan_changed_at + self.longest_deadline
        ):
            # A retry may still name the plan of the first attempt, and not all retries are marked.
            self.change_plan(now, firm, plan, firm.plan.name)
        return firm

    def compute_burst_share(self, plan: interface.PlanSpec, spread: int, minimum: float) -> float:
        """Returns the units that this ingress may use without a reading: an even share, but at least `minimum`."""
        return min(plan.burst, max(plan.burst / spread, minimum))

    def change_plan(self, now: float, firm: Firm, plan: interface.PlanSpec, previous_plan: str = "") -> None:
        """Puts a firm on another plan or on new values of the same one."""
        self.fill_bucket(now, firm)
        firm.previous_plan = previous_plan  # empty if new values replaced the old plan: no client names those
        burst_share = self.compute_burst_share(plan, firm.spread, self.settings.most_units * SAVED_MESSAGES)
        firm.change_plan(now, plan, burst_share, self.has_recent_reading(now, firm), self.settings.leased)
        if not plan.rate:
            self.firms.set_due(firm, False)

    def update_plans(self, now: float, event: interface.PlansChanged) -> None:
        """Applies new values of plans to all firms on them."""
        self.plans.update({plan.name: plan for plan in event.plans})
        for firm in self.firms.values():
            if (plan := self.plans[firm.plan.name]) is not firm.plan:
                self.change_plan(now, firm, plan)

    def move_firm(self, now: float, event: interface.FirmMoved) -> None:
        """Puts a firm on another plan."""
        firm, plan = self.firms.get(event.firm), self.plans.get(event.plan)
        if firm and plan and plan is not firm.plan:
            self.change_plan(now, firm, plan)

    def reserve_units(self, now: float, event: interface.Reserve) -> None:
        """Takes units for a message to come as if it were sent now, or refuses."""
        firm = self.find_firm(now, event)
        quota_delay = self.compute_quota_delay(now, firm, event.units) if firm else 0.0
        if firm is None and self.plans or quota_delay > 0:
            return self.refuse(event.id, quota_delay, "quota")
        if firm:
            self.take_units(now, firm, event.units)
        self.actions.append(interface.Reserved(event.id))

    def take_units(self, now: float, firm: Firm, units: float) -> None:
        """Takes units from the quota and the ceiling; a negative number returns units to the quota alone."""
        firm.ceiling_level, firm.own_rate, firm.seen_at = (
            firm.ceiling_level - max(0.0, units),
            max(0.0, firm.own_rate + units),
            now,
        )
        firm.take(units)
        self.schedule_report(now, firm)

    def settle_units(self, now: float, event: interface.Settle) -> None:
        """Takes or returns the difference between held and actual units."""
        if firm := self.firms.get(event.firm):
            self.fill_bucket(now, firm)
            firm.take(event.units - event.held)
            self.schedule_report(now, firm)
        if event.units and self.settings.charges:
            self.actions.append(
                interface.Charge(event.id, event.firm, event.plan, event.revision, event.units, event.since)
            )

    def add_leased_units(self, now: float, event: interface.LeaseGranted) -> None:
        """Adds leased units; with leases nothing else fills the bucket."""
        if firm := self.find_firm(now, event):
            firm.level += event.units

    def has_recent_reading(self, now: float, firm: Firm) -> bool:
        """Returns whether the use at the firm's other ingresses is known."""
        return now - firm.reading_at <= READING_VALID_SECONDS

    def fill_bucket(self, now: float, firm: Firm) -> None:
        """Refills the firm's bucket.

        The rate is this ingress's recent use plus an even part of what the last reading leaves; without a recent
        reading it is an even share of the plan's rate.
        """
        dt, firm.filled_at, firm.reading_at = now - firm.filled_at, now, now if firm.spread == 1 else firm.reading_at
        firm.own_rate *= math.exp(-dt)
        if self.settings.leased:
            return
        if self.has_recent_reading(now, firm):
            firm.fill(
                firm.own_rate + (firm.plan.rate - firm.own_rate - firm.others_rate) / firm.spread, firm.plan.burst, dt
            )
        else:
            firm.fill(firm.plan.rate / firm.spread, firm.burst_share, dt)

    def apply_reading(self, now: float, firm: Firm, used: float, since: float, call: CounterCall | None = None) -> None:
        """Corrects the bucket: other ingresses used `used` units from `since` until `call` was sent, or until now."""
        self.fill_bucket(now, firm)
        at, granted = (call.sent_at, call.granted) if call else (now, firm.granted)
        firm.apply_reading(at, granted, used, dt := max(0.0, at - since), self.has_recent_reading(now, firm))
        firm.others_rate += dt / (dt + 1.0) * (used / max(dt, TICK_SECONDS) - firm.others_rate)

    def compute_quota_delay(self, now: float, firm: Firm, units: float, is_retry: bool = False) -> float:
        """Returns how long the firm must wait for the units, s; 0 = it may use them now."""
        plan, net_loss = firm.plan, units * (firm.plan.over_cost - firm.plan.over_worth)
        self.fill_bucket(now, firm)
        # A previous process may have used up the ceiling: after a restart this ingress's part starts empty.
        if plan.ceiling_rate and (available := firm.fill_ceiling(now, self.started_at)) < units:
            return (units - available) * firm.spread / plan.ceiling_rate
        if plan.open:
            is_informed = self.has_recent_reading(now, firm) and (self.uses_peer_notes or firm.spread == 1)
            others = sum(firm.peers_in_flight.values())  # as last reported; one more for those sent since
            limit = plan.open - others - min(1.0, others) if is_informed else math.ceil(plan.open / firm.spread)
            if firm.in_flight >= limit:
                return TICK_SECONDS
        # Many ingresses may each admit a message: then a retry, which was refused elsewhere, and a firm whose bucket is
        # probably empty must wait.
        if (
            plan.rate
            and net_loss > 0
            and COLLECTIVE_BURSTS * plan.burst < units * firm.spread
            and (
                is_retry
                and not self.has_recent_reading(now, firm)
                or firm.estimate_total_level(now, DECAY_SECONDS)
                < min(RESERVE_BURST_SHARE * plan.burst, RESERVE_LOSS_FACTOR * net_loss)
            )
        ):
            return units * firm.spread / plan.rate
        return (units - firm.level) * firm.spread / plan.rate if plan.rate and firm.level < units else 0.0

    def schedule_report(self, now: float, firm: Firm) -> None:
        """Marks the firm's use to be reported to the counter if it may be near its quota. No message waits for that."""
        if (
            not self.settings.counter
            or self.uses_peer_notes
            or self.settings.leased
            or firm.spread == 1
            or not firm.plan.rate
        ):
            return
        if firm.unreported <= 0:
            return self.firms.set_due(firm, firm.unreported <= -1)  # returned units that were reported before
        is_low = firm.admitted > 1 and firm.level < REPORT_LEVEL_SHARE * (
            firm.plan.burst if self.has_recent_reading(now, firm) else firm.burst_share
        )
        if is_low or firm.unreported >= REPORT_BURST_SHARE * firm.plan.burst / firm.spread:
            self.firms.set_due(firm, True)

    def call_counter(self, now: float) -> None:
        """Reports the firm with most unreported use. Only one call at a time, as many at once would time out."""
        if now < self.counter_calls.next_at or not (ready := self.firms.list_ready(now)):
            return
        self.firms.set_due(firm := max(ready, key=lambda firm: abs(firm.unreported) / firm.plan.burst), False)
        self.fill_bucket(now, firm)  # the total will refer to now or later, so `granted` must be up to date
        timeout = max(self.counter_calls.interval, 2 * self.settings.counter_timeout)
        firm.begin_call(
            call := self.counter_calls.begin(now, int(now // COUNTER_NAME_SECONDS), firm.key, timeout),
            now + FIRM_CALL_INTERVAL_SECONDS,
        )
        self.actions.append(interface.AddToCounter(call.name, call.amount, 2 * COUNTER_NAME_SECONDS, call.serial))

    def handle_counter_result(self, now: float, event: interface.CounterResult) -> None:
        """Ends the current counter call."""
        if call := self.counter_calls.end(event.name, event.status == "timeout"):
            self.adjust_call_interval(now, event, 1.0)
            self.apply_counter_result(now, call, event)

    def handle_late_result(self, now: float, event: interface.LateCounterResult) -> None:
        """Applies the answer to a call that had timed out."""
        if call := self.counter_calls.take_late(event.call):
            # The call was not lost: its factor is reverted before the one for the answer is applied.
            self.adjust_call_interval(now, event, INTERVAL_FACTOR_LOST)
            self.apply_counter_result(now, call, event)

    def adjust_call_interval(
        self, now: float, event: interface.CounterResult | interface.LateCounterResult, revert_factor: float
    ) -> None:
        """Adapts the call interval to the time queued at the counter; the round trip says nothing about its load."""
        relative_wait = (
            self.counter_calls.compute_wait(now, event.latency) / self.settings.counter_timeout
            if event.status == "ok"
            else math.inf
        )
        factor = (
            INTERVAL_FACTOR_LOST
            if relative_wait > 1
            else INTERVAL_FACTOR_SLOW
            if relative_wait > SLOW_CALL_SHARE
            else INTERVAL_FACTOR_FAST
        ) / revert_factor
        self.counter_calls.interval = interval = min(
            CALL_INTERVAL_MAX_SECONDS, max(CALL_INTERVAL_MIN_SECONDS, self.counter_calls.interval * factor)
        )
        if not self.counter_calls.current:
            # Jitter keeps the ingresses from calling at the same time.
            self.counter_calls.next_at = self.counter_calls.sent_at + interval * (0.5 + self.rng.random())

    def apply_counter_result(
        self, now: float, call: CounterCall, event: interface.CounterResult | interface.LateCounterResult
    ) -> None:
        """Applies the total of a call, or takes back what was not added, and starts the next call."""
        if firm := self.firms.get(call.key):
            if event.status == "ok" and (used := firm.apply_total(call, event.total)) is not None:
                self.apply_reading(
                    now,
                    firm,
                    used,
                    max(
                        call.sent_at - call.sent_at % COUNTER_NAME_SECONDS,
                        firm.created_at - COUNTER_NAME_SECONDS,
                        firm.reading_at,
                    ),
                    call,
                )
            elif event.status not in ("ok", "timeout"):
                firm.return_call(call)
            self.schedule_report(now, firm)
        self.call_counter(now)

    def handle_peer_note(self, now: float, event: interface.PeerNote) -> None:
        """Applies a peer's use to the firms that it serves too."""
        new_use = self.firms.apply_note(event.peer, event.data)
        for firm in self.firms.values():
            if firm.spread > 1 and (event.peer - firm.first) % self.settings.places < firm.spread:
                self.apply_reading(
                    now,
                    firm,
                    new_use.get(firm.key, 0.0),
                    max(firm.reading_at, firm.created_at, now - READING_VALID_SECONDS),
                )

    def update_servers(self, now: float, event: interface.ServerList) -> None:
        """Applies the inventory or a change of it."""
        self.is_watching = event.kind != "failed" and (self.is_watching or event.kind != "stale")
        self.servers.update_entries(event.kind in ("full", "stale"), event.entries)

    def update_ingress_count(self, now: float, event: interface.IngressCountChanged) -> None:
        """Sets the number of ingresses that share the load."""
        self.settings.gateways, self.settings.cold_ingresses = event.count, event.cold_count

    def limit_relays(self, now: float, event: interface.RelayLimitsChanged) -> None:
        """Sets the limits on relays in flight at each server."""
        self.servers.set_relay_limits(event.limits)

    def count_active(self, now: float) -> tuple[int, int]:
        """Returns the number of servers in use and of relays in flight at them that are not overdue."""
        if self.servers.is_stale:  # recounted at each tick and when servers change, updated in between
            self.servers.recount(
                now - SILENCE_LATENCIES * max(controller.mean_latency for controller in self.rate_controllers.values())
            )
        return self.servers.in_use, self.servers.in_flight

    def handle_probe_result(self, now: float, event: interface.ProbeResult) -> None:
        """Records the queue at a probed server."""
        if server := self.servers.get(event.server):
            self.recently_probed.append(event.server)  # without a load report the probe's latency stands for the queue
            relative_wait = (
                event.latency / max(controller.mean_latency for controller in self.rate_controllers.values())
                if event.status == "ok"
                else TRIAL_DELAY_MAX_SECONDS
            )
            self.servers.record_report(
                server, now, self.settings.report_fields, event.load, SERVER_CONCURRENCY * relative_wait
            )

    def has_cold_budget(self, now: float, server: Server, warmth: float) -> bool:
        """Returns whether a cold server may get a relay: a burst would make it fail, so each ingress has a budget."""
        failing_rate = self.settings.fall_multiple * warmth * self.servers.warm_rate * server.entry.size
        rate = max(
            COLD_BUDGET_SHARE * failing_rate,
            1.0 / self.settings.fall_time / max(self.settings.gateways, self.settings.cold_ingresses),
        )
        # Random, so that the ingresses do not all send their first relay at the same time.
        initial = self.rng.random() if server.tokens_filled_at == NEVER else 0.0
        return server.fill_budget(now, rate, max(1.0, rate * min(1.0, self.settings.fall_time)), initial) >= 1

    def choose_server(self, now: float, pending: PendingMessage, first_server: Server | None) -> Server | None:
        """Returns the best of a few servers drawn by size: the best of all would be the same for every ingress.

        `first_server`: the server on which the message may have run, if only some servers drop its repeats.
        """
        up, candidates = self.servers.up, list[Server]()
        base_count = CANDIDATES_WITH_PROBES if self.settings.probes else CANDIDATES
        if (count := min(CANDIDATES_MAX, math.ceil(base_count + len(up) * 3 / self.settings.gateways))) < len(up):
            candidates = self.rng.choices(up, cum_weights=self.servers.cumulative_sizes, k=count)
            if self.settings.probes:  # too many to know from own relays: prefer those just probed
                probed = (self.servers.get(name) for name in dict.fromkeys(self.recently_probed))
                candidates = [server for server in probed if server and server.entry.state == "up"] + candidates[:1]
                self.actions.append(interface.Probe(self.rng.choice(up).entry.server))
        return (
            candidates
            and self.pick_best(now, pending, first_server, candidates, HANDSHAKE_PENALTY)
            or self.pick_best(now, pending, first_server, up, 1.0)
        )

    def pick_best(
        self,
        now: float,
        pending: PendingMessage,
        first_server: Server | None,
        candidates: list[Server],
        handshake_penalty: float,
    ) -> Server | None:
        """Returns the candidate with the shortest estimated wait, or an ejected one that is due for a trial."""
        spec, best, lowest, has_alternatives = pending.rate_controller.spec, None, math.inf, len(self.servers) > 1
        reported_since, mean_queue = now - READING_VALID_SECONDS, self.servers.mean_queue
        idle_since, silence_seconds = (
            now - self.settings.conn_idle / 2,
            SILENCE_LATENCIES * pending.rate_controller.mean_latency,
        )
        for server in candidates:
            warmth = server.compute_warmth(now, self.settings) if server.may_be_cold else 1.0
            is_excluded = (
                not first_server.deduplicates_with(server, spec.group)
                # Until the list tells more, a new process of another group may have taken the server's address.
                or spec.group != "all"
                and server.entry.server in pending.broken_servers
                if first_server
                else server is pending.server and has_alternatives
            )
            is_excluded = is_excluded or server.relay_limit >= 0 and len(server.relays) >= server.relay_limit
            if is_excluded or warmth < 1 and not self.has_cold_budget(now, server, warmth):
                continue
            if server.is_ejected:
                if self.trial_effect in ("", spec.effect) and now >= server.trial_at and not server.relays:
                    server.trial_at = now + server.trial_delay
                    return server
                continue
            queue = (server.queue if server.reported_at > reported_since else mean_queue) / SERVER_CONCURRENCY
            wait = 1 + (len(server.relays) + queue) * server.size_ratio  # the budget covers a cold start
            slowness = 1 + (server.slowness - 1) * math.exp(
                (server.answered_at - now) / DECAY_SECONDS if server.answered_at < now else 0.0
            )
            if server.relays and (unanswered := (now - server.get_unanswered_since()) / silence_seconds) > slowness:
                slowness = unanswered
            wait *= slowness / (1 - server.error_rate) ** 2
            if server.relays or server.answered_at <= idle_since:  # otherwise a connection is idle
                wait *= handshake_penalty
            wait *= (1.0 if server.entry.zone == self.settings.zone else CROSS_ZONE_PENALTY) * (
                1 + 0.05 * self.rng.random()
            )
            if wait < lowest:
                best, lowest = server, wait
        return best

    def record_answer(self, now: float, pending: PendingMessage, server: Server, latency: float) -> None:
        """Records the latency of a successful answer; takes an ejected server back after several."""
        controller, server.answered_at, server.error_rate = (
            pending.rate_controller,
            now,
            server.error_rate * (1 - SERVER_GAIN),
        )
        # A server that answers again was full, not draining: its refusals count as the longest latencies.
        controller.samples += [(now, controller.spec.deadline)] * server.refusals + [(now, latency)]
        server.refusals, controller.new_samples, self.good_answers = (
            0,
            controller.new_samples + 1,
            self.good_answers + 1,
        )
        controller.mean_latency += 0.05 * (latency - controller.mean_latency)
        server.slowness += SERVER_GAIN * (min(10.0, latency / max(controller.mean_latency, 1e-3)) - server.slowness)
        server.trial_at = now  # the next trial may follow at once
        if server.is_ejected and server.error_rate < EJECTION_ERROR_RATE / 2:
            server.trial_delay, self.actions = (
                0.0,
                [*self.actions, interface.Log(f"server back: {server.entry.server}")],
            )
            self.servers.set_ejected(server, False)

    def record_outcome(self, now: float, pending: PendingMessage, server: Server, outcome: interface.Outcome) -> None:
        """Updates a server's averages with the end of a relay and ejects the server if they are bad."""
        if outcome.status == "ok" and not pending.is_streaming:
            self.record_answer(now, pending, server, outcome.latency)
        if outcome.status == "timeout" and not server.is_ejected:
            pending.rate_controller.samples.append((now, pending.rate_controller.spec.deadline))
        if outcome.status == "full":
            server.slowness, server.refusals = min(10.0, server.slowness * 1.5), server.refusals + 1
        elif outcome.status in ("error", "timeout", "connect_failed", "reset"):
            server.error_rate += SERVER_GAIN * (1 - server.error_rate)
        if outcome.status != "ok" and server.error_rate > EJECTION_ERROR_RATE or server.refusals >= EJECTION_REFUSALS:
            self.eject(now, server)

    def eject(self, now: float, server: Server) -> None:
        """Ejects the server, which then gets trial relays only, or prolongs its ejection.

        At most half of the servers are ejected: if most look bad, the cause is shared.
        """
        if server.is_ejected or self.servers.count_ejected_up() < EJECTION_MAX_SHARE * len(self.servers.up):
            self.actions += [] if server.is_ejected else [interface.Log(f"server set aside: {server.entry.server}")]
            self.servers.set_ejected(server, True)
            server.trial_delay = min(TRIAL_DELAY_MAX_SECONDS, max(TRIAL_DELAY_MIN_SECONDS, 2 * server.trial_delay))
            server.trial_at = now + server.trial_delay

    def eject_silent(self, now: float) -> None:
        """Ejects servers that accept relays and answer none, and cancels the relays there that may be retried.

        A single slow message does not make a server silent.
        """
        usual_latency = max(controller.mean_latency for controller in self.rate_controllers.values())
        for server in self.servers.with_relays.values():
            oldest = server.get_oldest_sent_at()
            if (
                not server.is_ejected
                and now - oldest > SILENCE_LATENCIES * usual_latency
                and server.answered_at < oldest
                and sum(now - at for at in server.relays.values()) > 2 * SILENCE_LATENCIES * usual_latency
            ):
                self.eject(now, server)
            for (message_id, attempt), sent_at in (
                server.relays.items() if server.is_ejected and self.settings.cancel else ()
            ):
                pending = self.messages.get(message_id)
                if (
                    pending
                    and pending.is_in_flight
                    and not pending.client_gone
                    and not pending.is_streaming
                    and attempt == pending.attempts - 1
                    and server.answered_at < sent_at
                    and now - sent_at > SILENCE_LATENCIES * pending.rate_controller.mean_latency
                    and self.may_retry(now, pending, server)
                ):
                    self.actions.append(interface.Cancel(message_id, attempt))

    def may_retry(self, now: float, pending: PendingMessage, server: Server) -> bool:
        """Returns whether the relay at this server may be cancelled at `now` and sent elsewhere in time."""
        controller = pending.rate_controller
        if (
            pending.attempts >= self.settings.max_attempts
            or controller.spec.effect == "unsafe"
            or pending.deadline - now < 2 * controller.mean_latency
        ):
            return False
        first_sent_at = pending.sent_at if pending.first_run_at is None else pending.first_run_at
        return (
            controller.spec.effect == "safe"
            or now < first_sent_at + controller.spec.window - self.settings.tick
            and any(
                other is not server and not other.is_ejected and server.deduplicates_with(other, controller.spec.group)
                for other in self.servers.up
            )
        )

    def handle_tick(self, now: float, event: interface.TimerFired) -> None:
        """Does the periodic work and sets the timer for the next tick; an outdated timer is ignored."""
        if event.token != self.timer_token:
            return
        self.timer_token += 1
        # Jitter keeps the ingresses from ticking at the same time.
        self.actions.append(interface.SetTimer(self.timer_token, TICK_SECONDS * (0.5 + self.rng.random())))
        if (
            self.settings.discovery == "ask"
            and not self.is_watching
            and now - self.watch_requested_at > self.settings.ask_within / 10
        ):
            self.watch_requested_at, self.actions = now, [*self.actions, interface.Watch(True)]
        self.servers.is_stale = True
        in_flight, good_answers, self.good_answers = self.count_active(now)[1], self.good_answers, 0
        self.answer_rate += min(
            TICK_SECONDS / ANSWER_RATE_SECONDS, max(self.answer_rate * TICK_SECONDS / ANSWER_RATE_ANSWERS, 0.01)
        ) * (good_answers / TICK_SECONDS - self.answer_rate)
        # At least 1 a second, so that the average follows even without answers.
        self.smoothed_in_flight += min(1.0, max(self.answer_rate, 1.0) * TICK_SECONDS) * (
            in_flight - self.smoothed_in_flight
        )
        self.eject_silent(now)
        for controller in self.rate_controllers.values():
            if now - controller.last_run_at >= RUN_SECONDS or controller.new_samples >= RUN_SAMPLES:
                usual_latency = sum(y.mean_latency for y in self.rate_controllers.values()) / len(self.rate_controllers)
                controller.relative_duration = (
                    min(1.0, controller.mean_latency / usual_latency) if controller.samples else 1.0
                )
                controller.run(
                    now,
                    [
                        now - pending.sent_at
                        for pending in self.messages.values()
                        if pending.rate_controller is controller
                        and pending.is_in_flight
                        and not (pending.has_answer_begun or pending.is_streaming)
                        and now - pending.sent_at > controller.target
                        and pending.server
                        and not pending.server.is_ejected
                    ],
                )
        if now - self.servers.warm_since >= RUN_SECONDS:
            self.servers.update_warm_rate(now, self.settings, SERVER_GAIN)
            self.firms.expire(now - 2 * COUNTER_NAME_SECONDS)
            self.firms.limit_count(now)
        self.call_counter(now)
        if self.uses_peer_notes and now - self.last_note_at >= self.note_interval:
            self.last_note_at = now
            self.actions += [interface.SendPeerNote(-1, note) for note in self.firms.make_notes()]


HANDLERS: dict[type, Callable[[DecisionModule, float, Any], None]] = {
    interface.MessageReceived: DecisionModule.admit_message,
    interface.BodyComplete: DecisionModule.complete_body,
    interface.Outcome: DecisionModule.handle_outcome,
    interface.ClientGone: DecisionModule.handle_client_gone,
    interface.AnswerBegun: DecisionModule.begin_answer,
    interface.StreamStarted: DecisionModule.start_stream,
    interface.ServerList: DecisionModule.update_servers,
    interface.ProbeResult: DecisionModule.handle_probe_result,
    interface.TimerFired: DecisionModule.handle_tick,
    interface.CounterResult: DecisionModule.handle_counter_result,
    interface.LateCounterResult: DecisionModule.handle_late_result,
    interface.PeerNote: DecisionModule.handle_peer_note,
    interface.PlansChanged: DecisionModule.update_plans,
    interface.FirmMoved: DecisionModule.move_firm,
    interface.Reserve: DecisionModule.reserve_units,
    interface.Settle: DecisionModule.settle_units,
    interface.LeaseGranted: DecisionModule.add_leased_units,
    interface.IngressCountChanged: DecisionModule.update_ingress_count,
    interface.RelayLimitsChanged: DecisionModule.limit_relays,
}
