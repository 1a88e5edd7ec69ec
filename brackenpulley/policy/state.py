"""Records of the decision module and their bookkeeping. Decisions are made in `brain`. Times are seconds."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from math import exp, inf

from .calls import CounterCall
from .interface import ClassSpec, MessageReceived, PlanSpec, ServerEntry, Settings

NEVER = -1e18  # a time before all others


class ClassState:
    """The token bucket of one class and the latencies of its relays. `rate` is messages a second."""

    def __init__(self, spec: ClassSpec, now: float, rate: float, max_samples: int) -> None:
        """Keeps at most `max_samples` latencies."""
        # withheld_share: part of the in-flight limit that this class may not use
        self.spec, self.target, self.withheld_share = spec, spec.aim, 0.0
        self.relative_duration = 1.0  # mean latency over that of all classes, at most 1: short relays need less room
        self.rate = self.tokens = rate
        self.filled_at = self.last_run_at = now
        self.smoothed_latency = 0.0  # moving average of the latency percentile
        self.admitted_rate = 0.0  # moving average, messages a second
        self.mean_latency = spec.aim / 8  # of successful answers
        self.ineffective_runs = 0  # runs in which no class of lower worth was left to cut
        self.new_samples = 0  # since the last run
        self.admitted_since_run = 0  # messages
        self.is_rise_barred = False
        self.is_busy = False
        self.samples: deque[tuple[float, float]] = deque(maxlen=max_samples)  # (time, latency)

    def fill(self, now: float) -> None:
        """Refills the token bucket, whose capacity is the tokens of one second."""
        self.tokens = min(max(self.rate, 1.0), self.tokens + self.rate * (now - self.filled_at))
        self.filled_at = now

    def begin_run(self, now: float, min_interval: float) -> None:
        """Starts a run: updates `admitted_rate` and resets the counts. Counts as `min_interval` after the last one."""
        dt = max(now - self.last_run_at, min_interval)
        self.admitted_rate += min(1.0, dt / 2) * (self.admitted_since_run / dt - self.admitted_rate)
        self.last_run_at, self.admitted_since_run, self.new_samples = now, 0, 0

    def compute_percentile(self, since: float, more: list[float]) -> float:
        """Returns the 90th percentile of `more` and of the latencies measured from `since` on; 0 without any."""
        while self.samples and self.samples[0][0] < since:
            self.samples.popleft()
        latencies = sorted([latency for _, latency in self.samples] + more)
        return latencies[int(0.9 * (len(latencies) - 1))] if latencies else 0.0


@dataclass(slots=True)
class Firm:
    """The local estimate of a firm's quota, ceiling and use, here and at the other ingresses that serve it."""

    key: int
    plan: PlanSpec
    spread: int  # ingresses that serve this firm
    first: int  # position of the first of them
    burst_share: float  # units of the burst that this ingress may use without a reading
    level: float  # units estimated to be in the quota's token bucket
    filled_at: float  # time of `level`
    created_at: float
    seen_at: float
    next_call_at: float
    granted: float = 0.0  # units filled in all
    granted_at_reading: float = 0.0  # `granted` at the last reading
    own_rate: float = 0.0  # recent use at this ingress, units a second
    others_rate: float = 0.0  # recent use at other ingresses, units a second
    unreported: float = 0.0  # units used here and not yet reported to the counter
    used: float = 0.0  # units used here in all
    last_note: tuple[int, int] = (0, 0)  # units used in all and relays in flight, as last sent to peers
    reading_at: float = NEVER  # the time that the last reading refers to
    counter_name: int = -1  # name of the number in use at the counter
    counter_total: float = 0.0  # last total under that name
    pending_calls: list[CounterCall] = field(default_factory=list)  # under that name, in order, without a total yet
    in_flight: int = 0  # relays
    peers_in_flight: dict[int, float] = field(default_factory=dict)  # relays, smoothed, by peer
    peer_totals: dict[int, int] = field(default_factory=dict)  # units used in all as last reported, by peer
    admitted: int = 0  # messages
    ceiling_level: float = 0.0  # units in this ingress's part of the ceiling's token bucket
    ceiling_filled_at: float = NEVER
    previous_plan: str = ""
    plan_changed_at: float = NEVER

    def take(self, units: float) -> None:
        """Takes units from the quota, if the plan has one; a negative number returns them."""
        self.used += units
        if self.plan.rate:
            self.level, self.unreported = self.level - units, self.unreported + units

    def compute_missing(self, now: float) -> float:
        """Returns the units by which a new record of the firm would be better off, by an even share of its rates."""
        missing = self.burst_share - self.level - self.plan.rate / self.spread * (now - self.filled_at)
        if self.plan.ceiling_rate:
            ceiling_refill = self.plan.ceiling_rate / self.spread * (now - self.ceiling_filled_at)
            missing = max(missing, self.plan.ceiling_burst / self.spread - self.ceiling_level - ceiling_refill)
        return max(0.0, missing)

    def fill(self, rate: float, capacity: float, dt: float) -> None:
        """Refills the quota at `rate` for `dt` s up to `capacity`; a higher level is kept."""
        new = min(capacity, self.level + max(0.0, rate) * dt)
        self.level, self.granted = new, self.granted + new - self.level

    def apply_reading(self, at: float, granted: float, used: float, dt: float, is_current: bool) -> None:
        """Corrects the level: other ingresses used `used` units in the `dt` s up to `at`.

        Only own use takes the level below 0. `granted` is the value of `granted` at that time; what was filled or used
        here since then is left as it is. `is_current`: the reading before it is recent, so only what was filled since
        then needs a correction.
        """
        minimum = min(0.0, self.level)
        if is_current:
            self.level += self.plan.rate * dt - used - (granted - self.granted_at_reading)
        else:
            self.level += self.plan.burst - self.burst_share - max(0.0, used - self.plan.rate * dt)
        self.level, self.granted_at_reading, self.reading_at = (
            min(self.plan.burst, max(minimum, self.level)),
            granted,
            at,
        )

    def estimate_total_level(self, now: float, decay_seconds: float) -> float:
        """Returns the units expected in the firm's whole token bucket, from the other ingresses' use at the last
        reading, which decays with the time constant `decay_seconds`."""
        return self.plan.burst * (1 - self.others_rate / self.plan.rate * exp((self.reading_at - now) / decay_seconds))

    def change_plan(self, now: float, plan: PlanSpec, share: float, is_current: bool, leased: bool) -> None:
        """Applies another plan or new values of the same one. Units missing from the full bucket stay missing.

        Without a quota nothing is missing and nothing is left to be reported.
        """
        old, old_share, self.plan, self.burst_share, self.plan_changed_at = (
            self.plan,
            self.burst_share,
            plan,
            share,
            now,
        )
        if not plan.rate:
            self.level = self.unreported = 0.0
        elif not old.rate:
            self.level = 0.0 if leased else plan.burst if is_current else share
        elif not leased:
            self.level += plan.burst - old.burst if is_current else share - old_share
        if is_current:  # the next reading fills at the new rate from the last one on; until now the old rate held
            self.granted += (plan.rate - old.rate) * (now - self.reading_at)
            for call in self.pending_calls:  # a total may still come and refers to the time of its call
                call.granted += (plan.rate - old.rate) * max(0.0, call.sent_at - self.reading_at)
        if old.ceiling_rate and plan.ceiling_rate:
            self.ceiling_level += (plan.ceiling_capacity - old.ceiling_capacity) / self.spread
        else:
            self.ceiling_level, self.ceiling_filled_at = 0.0, now

    def fill_ceiling(self, now: float, started_at: float) -> float:
        """Refills this ingress's part of the ceiling's bucket, empty at `started_at`, and returns its units."""
        rate, capacity = self.plan.ceiling_rate / self.spread, self.plan.ceiling_capacity / self.spread
        self.ceiling_level = min(capacity, self.ceiling_level + rate * (now - max(self.ceiling_filled_at, started_at)))
        self.ceiling_filled_at = now
        return self.ceiling_level

    def apply_peer_note(self, peer: int, used: int, in_flight: int) -> float:
        """Records a peer's total use and relays in flight; returns the units that are new."""
        last, self.peer_totals[peer] = self.peer_totals.get(peer), used
        self.peers_in_flight[peer] = (self.peers_in_flight.get(peer, in_flight) + in_flight) / 2
        if last is None:  # the peer's first note: more than a burst was not used recently
            return float(used) if used <= self.plan.burst else 0.0
        return float(used if used < last else used - last)  # a lower total: the peer restarted

    def begin_call(self, call: CounterCall, next_call_at: float) -> None:
        """Reports the unreported units with this call."""
        if call.name != self.counter_name:  # totals under the previous name are no longer comparable
            self.counter_name, self.counter_total, self.pending_calls = call.name, 0.0, []
        call.amount, call.granted, self.unreported, self.next_call_at = self.unreported, self.granted, 0.0, next_call_at
        self.pending_calls.append(call)

    def apply_total(self, call: CounterCall, total: float) -> float | None:
        """Records a call's total, in time or late; returns what other ingresses added since the last total.

        Answers come in the order of the calls, so an earlier call without a total will not get one, and may or may not
        have been added. Returns None where the total is no reading: it came before, its name is no longer in use, or it
        is below what is known to have been added, which means that the counter lost its state.
        """
        if call not in self.pending_calls:
            return None
        position = self.pending_calls.index(call)
        uncertain = sum(x.amount for x in self.pending_calls[:position])
        del self.pending_calls[: position + 1]
        others = total - self.counter_total - call.amount
        others -= min(max(0.0, others), uncertain)
        self.counter_total = total
        return max(0.0, others) if others > -0.5 else None

    def return_call(self, call: CounterCall) -> None:
        """Takes back the amount of a call that the counter refused, to be reported again."""
        if call in self.pending_calls:
            self.pending_calls.remove(call)
            self.unreported += call.amount


class FirmTable(dict[int, Firm]):
    """The firms by key, and those whose use is due to be reported to the counter."""

    def __init__(self) -> None:
        super().__init__()
        self.due_reports = dict[int, Firm]()
        self.max_count: float = inf  # firms that are held; more are forgotten before their time

    def set_due(self, firm: Firm, is_due: bool) -> None:
        """Sets whether a report is due. Returned units are reported too, after the use of other firms."""
        if firm.unreported <= 0 or not is_due:
            self.due_reports.pop(firm.key, None)
        if is_due:
            self.due_reports[firm.key] = firm

    def list_ready(self, now: float) -> list[Firm]:
        """Returns the firms with a due report whose next call may be made."""
        return [c for c in self.due_reports.values() if now >= c.next_call_at]

    def expire(self, since: float) -> None:
        """Removes the firms that have no relay in flight and were not seen since then."""
        for key in [key for key, c in self.items() if c.seen_at < since and not c.in_flight]:
            self._forget(key)

    def limit_count(self, now: float) -> None:
        """Forgets firms beyond `max_count`, those first that lose least by it, of these the longest idle ones.

        Firms with relays in flight stay.
        """
        if len(self) <= self.max_count:
            return
        excess = len(self) - int(self.max_count)
        idle = [c for c in self.values() if not c.in_flight]
        idle.sort(key=lambda c: (c.compute_missing(now), c.seen_at))
        for firm in idle[:excess]:
            self._forget(firm.key)

    def _forget(self, key: int) -> None:
        del self[key]
        self.due_reports.pop(key, None)

    def make_notes(self) -> list[str]:
        """Returns notes for the peers: the total use and relays in flight of the firms where these changed."""
        changed = [c for c in self.values() if c.spread > 1 and c.last_note != (round(c.used), c.in_flight)]
        for firm in changed:
            firm.last_note = (round(firm.used), firm.in_flight)
        return pack_note((c.key, *c.last_note) for c in changed)

    def apply_note(self, peer: int, note: str) -> dict[int, float]:
        """Records a peer's note; returns the new use of each known firm, units."""
        return {
            key: self[key].apply_peer_note(peer, used, in_flight)
            for key, used, in_flight in unpack_note(note)
            if key in self
        }


@dataclass(slots=True)
class Server:
    """A sim server with its relays in flight and its health as measured from this ingress."""

    entry: ServerEntry
    relays: dict[tuple[str, int], float] = field(default_factory=dict)  # in flight: when sent, oldest first
    slowness: float = 1.0  # latency relative to the mean, smoothed
    error_rate: float = 0.0  # moving average of the share of errors
    answered_at: float = NEVER
    queue: float = 0.0  # as last reported
    reported_at: float = NEVER
    is_ejected: bool = False
    is_counted: bool = False  # its relays are in ServerTable.in_flight
    refusals: int = 0  # messages that it refused since it last answered one
    trial_at: float = 0.0  # when an ejected server may get a single relay
    trial_delay: float = 0.0  # until the next trial; 0 = not ejected recently
    tokens: float = 0.0  # budget of relays during cold start
    tokens_filled_at: float = NEVER
    may_be_cold: bool = True
    size_ratio: float = 1.0  # mean size of all servers over its own
    relay_limit: int = -1  # most relays in flight; -1 = no limit

    def get_oldest_sent_at(self) -> float:
        """Returns when the oldest relay in flight was sent."""
        for sent_at in self.relays.values():
            return sent_at
        return inf

    def get_unanswered_since(self) -> float:
        """Returns when the oldest relay in flight was sent, or infinity if the server has answered since: a single
        relay that hangs does not make it unresponsive."""
        for sent_at in self.relays.values():
            return sent_at if sent_at > self.answered_at else inf
        return inf

    def count_not_overdue(self, overdue_before: float) -> int:
        """Returns the number of relays in flight that were sent after `overdue_before`."""
        overdue = 0
        for sent_at in self.relays.values():
            if sent_at > overdue_before:
                break
            overdue += 1
        return len(self.relays) - overdue

    def compute_warmth(self, now: float, settings: Settings) -> float:
        """Returns the least share of its capacity that the server has by now, 1 when its cold start is over."""
        if not self.may_be_cold:
            return 1.0
        age = (now - self.entry.started) / settings.cold_time if self.entry.started and settings.cold_time else 1.0
        self.may_be_cold = age < 1
        return min(1.0, settings.cold_from + (1 - settings.cold_from) * max(0.0, age)) if age < 1 else 1.0

    def fill_budget(self, now: float, rate: float, capacity: float, initial: float) -> float:
        """Refills the budget of relays during cold start at `rate` a second, and returns it."""
        if self.tokens_filled_at == NEVER:
            self.tokens, self.tokens_filled_at = initial, now
        self.tokens = min(capacity, self.tokens + rate * (now - self.tokens_filled_at))
        self.tokens_filled_at = now
        return self.tokens

    def deduplicates_with(self, other: Server, group: str) -> bool:
        """Returns whether the other server drops a repeat of a message that ran on this one."""
        return group == "all" or (
            self.entry.zone == other.entry.zone if group == "zone" else self.entry.cell == other.entry.cell
        )


class ServerTable(dict[str, Server]):
    """The sim servers by name, with indexes and sums that spare each message a scan of all of them."""

    def __init__(self) -> None:
        super().__init__()
        self.up = list[Server]()  # listed as up
        self.cumulative_sizes = list[float]()  # of `up`
        self.with_relays = dict[str, Server]()  # with relays in flight
        self.ejected = dict[str, Server]()
        self.mean_size = 1.0
        self.in_use = 0  # servers that are up, not ejected and responsive
        self.in_flight = 0  # relays at these that are not overdue
        self.overdue_before = NEVER  # relays sent until then are overdue
        self.is_stale = True  # `in_use` and `in_flight` must be counted again
        self.mean_queue = 0.0  # moving average over the reports of all servers
        self.warm_sent = 0  # relays sent to warm servers since `warm_since`
        self.warm_rate = 0.0  # relays to warm servers, per second and unit of size
        self.warm_since = NEVER
        self.relay_limits = dict[str, int]()  # most relays in flight, by server

    def update_entries(self, is_full: bool, entries: Iterable[ServerEntry]) -> None:
        """Applies the inventory or a change of it. A restarted server gets a new record that keeps its relays."""
        entries = list(entries)
        for name in self.keys() - {x.server for x in entries} if is_full else ():
            self[name].entry.state = "gone"
        for entry in entries:
            old = self.get(entry.server)
            if old is None or entry.started != old.entry.started:
                self[entry.server] = Server(
                    entry, old.relays if old else {}, relay_limit=self.relay_limits.get(entry.server, -1)
                )
            self[entry.server].entry = entry
        for name in [name for name, s in self.items() if s.entry.state == "gone" and not s.relays]:
            del self[name]
        self.up = [s for s in self.values() if s.entry.state == "up"]
        self.cumulative_sizes = list(accumulate(max(s.entry.size, 0.01) for s in self.up))
        self.with_relays = {name: s for name, s in self.items() if s.relays}
        self.ejected = {name: s for name, s in self.items() if s.is_ejected}
        self.mean_size, self.is_stale = sum(s.entry.size for s in self.values()) / max(1, len(self)), True
        for server in self.values():
            server.size_ratio = self.mean_size / max(server.entry.size, 0.01)

    def set_relay_limits(self, limits: dict[str, int]) -> None:
        """Sets the most relays in flight by server; servers that are not named have no limit."""
        self.relay_limits = limits
        for name, server in self.items():
            server.relay_limit = limits.get(name, -1)

    def recount(self, overdue_before: float) -> None:
        """Counts `in_use` and `in_flight` again. Relays sent until `overdue_before` are overdue, and a server that has
        answered nothing since the oldest of them is not in use."""
        self.overdue_before, self.is_stale, self.in_flight, self.in_use = (
            overdue_before,
            False,
            0,
            len(self.up) - self.count_ejected_up(),
        )
        for server in self.with_relays.values():
            server.is_counted = False
            if server.entry.state == "up" and not server.is_ejected:
                server.is_counted = server.get_unanswered_since() > overdue_before
                self.in_use -= not server.is_counted
                self.in_flight += server.count_not_overdue(overdue_before) if server.is_counted else 0

    def update_warm_rate(self, now: float, settings: Settings, gain: float) -> None:
        """Updates `warm_rate` with weight `gain` and restarts the measurement; it stays while no server is warm."""
        if size := sum(s.entry.size for s in self.up if s.compute_warmth(now, settings) == 1):
            self.warm_rate += gain * (self.warm_sent / size / (now - self.warm_since) - self.warm_rate)
        self.warm_sent, self.warm_since = 0, now

    def record_report(
        self, server: Server, now: float, fields: Iterable[str], values: list[float], queue: float = -1.0
    ) -> None:
        """Records the queue in a load report. Without one `queue` is taken instead, unless it is negative."""
        for name, value in zip(fields, values, strict=False):
            if name in ("queue", "inflight"):
                queue = value
        if queue >= 0:  # no report does not mean an idle server
            server.queue, server.reported_at = queue, now
            self.mean_queue += 0.1 * (queue - self.mean_queue)

    def record_sent(self, server: Server, attempt: tuple[str, int], now: float, is_warm: bool) -> None:
        """Records that a relay was sent."""
        self.warm_sent += is_warm
        if not server.relays:
            self.with_relays[server.entry.server] = server
            server.is_counted = not server.is_ejected
        server.relays[attempt] = now
        self.in_flight += server.is_counted

    def record_ended(self, server: Server, attempt: tuple[str, int]) -> None:
        """Records that a relay ended; an unknown one is ignored."""
        sent_at = server.relays.pop(attempt, None)
        if sent_at is not None:
            self.in_flight -= server.is_counted and sent_at > self.overdue_before
            if not server.relays:
                del self.with_relays[server.entry.server]

    def set_ejected(self, server: Server, is_ejected: bool) -> None:
        """Ejects a server or takes it back."""
        server.is_ejected, self.is_stale = is_ejected, True
        if is_ejected:
            self.ejected[server.entry.server] = server
        else:
            del self.ejected[server.entry.server]

    def count_ejected_up(self) -> int:
        """Returns the number of ejected servers that are listed as up."""
        return sum(s.entry.state == "up" for s in self.ejected.values())


@dataclass(slots=True)
class PendingMessage:
    """A message that was admitted and has not ended."""

    message: MessageReceived
    rate_controller: ClassState
    firm: Firm | None
    deadline: float
    attempts: int = 0
    first_run_at: float | None = None  # when the first relay that may have run was sent
    first_run_server: Server | None = None
    broken_servers: tuple[str, ...] = ()  # where a connection broke under it: another process may be there now
    server: Server | None = None  # of the last relay
    sent_at: float = 0.0  # when the last relay was sent
    is_in_flight: bool = False
    has_answer_begun: bool = False  # the head of a long answer to the last relay came
    is_streaming: bool = False
    client_gone: bool = False
    first_sent_at: float = 0.0
    reached_server: bool = False  # a relay may have reached a server whole: the units are used
    cost: float = 0.0  # actual units, once known
    plan: str = ""  # the firm's plan at admission

    @property
    def body_pending(self) -> bool:
        """The body is still being received: the deadline is unknown and no server works on the message yet."""
        return self.deadline == inf

    def record_sent(self, server: Server, now: float) -> None:
        """Records that a relay was sent."""
        self.first_sent_at = self.first_sent_at or now
        self.server, self.sent_at, self.is_in_flight = server, inf if self.body_pending else now, True
        self.has_answer_begun = False
        self.attempts += 1
        if self.firm:
            self.firm.in_flight += 1

    def record_ended(self, has_reached_server: bool, may_have_run: bool) -> None:
        """Records that the relay ended."""
        self.is_in_flight = False
        self.reached_server = self.reached_server or has_reached_server
        if may_have_run and self.first_run_at is None:
            self.first_run_at, self.first_run_server = self.sent_at, self.server


def pack_note(rows: Iterable[tuple[int, int, int]]) -> list[str]:
    """Encodes firm key, total use and relays in flight as notes of at most 256 bytes; returns at least one."""
    notes = ["n"]
    for key, used, in_flight in rows:
        item = f",{key:x}:{used}:{in_flight}"
        if len(notes[-1]) + len(item) > 256:
            notes.append("n")
        notes[-1] += item
    return notes


def unpack_note(data: str) -> Iterator[tuple[int, int, int]]:
    """Yields firm key, total use and relays in flight; skips malformed items."""
    for item in data.split(",")[1:]:
        try:
            key, used, in_flight = item.split(":")
            row = int(key, 16), int(used), int(in_flight)
        except ValueError:
            continue
        yield row
