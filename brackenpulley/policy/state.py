"""Plain records that the decision module keeps and their bookkeeping: nothing is decided here."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from math import exp, inf

from .calls import CounterCall
from .interface import ClassSpec, MessageReceived, PlanSpec, ServerEntry, Settings

NEVER = -1e18


class ClassState:
    """One class: its bucket, and the latencies of its attempts. Times are seconds, `rate` is messages a second."""

    def __init__(self, spec: ClassSpec, now: float, rate: float, keep: int) -> None:
        """At most `keep` latencies are held."""
        self.spec, self.target, self.withheld_share = spec, spec.aim, 0.0  # part of the room that is withheld
        self.relative_duration = (
            1.0  # its attempts' time against the usual one, 1 at most: what is shorter takes less of the room
        )
        self.rate = self.tokens = rate
        self.filled_at = self.last_run_at = now
        self.smoothed_latency = self.admitted_rate = (
            0.0  # smoothed percentile of latencies; smoothed messages let in a second
        )
        self.mean_latency = spec.aim / 8  # latency of the good answers
        self.ineffective_runs = self.new_samples = self.admitted_since_run = (
            0  # runs in vain; samples and messages let in since the last run
        )
        self.is_rise_barred = self.is_busy = False
        self.samples: deque[tuple[float, float]] = deque(maxlen=keep)

    def fill(self, now: float) -> None:
        """The bucket holds what one second gives."""
        self.tokens = min(max(self.rate, 1.0), self.tokens + self.rate * (now - self.filled_at))
        self.filled_at = now

    def begin_run(self, now: float, least: float) -> None:
        """A run begins, at least `least` after the last: what was let in since is counted into `admitted`."""
        dt = max(now - self.last_run_at, least)
        self.admitted_rate += min(1.0, dt / 2) * (self.admitted_since_run / dt - self.admitted_rate)
        self.last_run_at, self.admitted_since_run, self.new_samples = now, 0, 0

    def compute_percentile(self, since: float, more: list[float]) -> float:
        """The 90th percentile of the latencies `since` then and of `more`; 0 with neither."""
        while self.samples and self.samples[0][0] < since:
            self.samples.popleft()
        seen = sorted([s for _, s in self.samples] + more)
        return seen[int(0.9 * (len(seen) - 1))] if seen else 0.0


@dataclass(slots=True)
class Firm:
    key: int
    plan: PlanSpec
    spread: int
    first: int
    burst_share: float  # the burst this gateway may use on its own
    level: float  # units the quota store is held to have
    filled_at: float  # when the level was brought up to date
    created_at: float
    seen_at: float
    next_call_at: float
    granted: float = 0.0  # filled in all
    granted_at_reading: float = 0.0  # of it, up to the last reading
    own_rate: float = 0.0  # recent use here, units a second
    others_rate: float = 0.0  # recent use elsewhere, units a second
    unreported: float = 0.0  # used here, not yet reported
    used: float = 0.0  # used here in all
    last_note: tuple[int, int] = (0, 0)  # used in all and attempts out, as the peers were told last
    reading_at: float = NEVER  # the time that the last reading speaks of
    counter_name: int = -1  # counter name in use
    counter_total: float = 0.0  # last total under that name
    pending_calls: list[CounterCall] = field(
        default_factory=list
    )  # under that name, in their order, without a total so far
    in_flight: int = 0
    peers_in_flight: dict[int, float] = field(default_factory=dict)
    peer_totals: dict[int, int] = field(default_factory=dict)  # peer: its use in all, as told last
    admitted: int = 0
    ceiling_level: float = 0.0
    ceiling_filled_at: float = NEVER
    previous_plan: str = ""  # the plan it was on before
    plan_changed_at: float = NEVER

    def take(self, units: float) -> None:
        self.level, self.used, self.unreported = self.level - units, self.used + units, self.unreported + units

    def fill(self, rate: float, cap: float, dt: float) -> None:
        """The store fills at this rate, up to `cap`, and never loses by it."""
        new = min(cap, self.level + max(0.0, rate) * dt)
        self.level, self.granted = new, self.granted + new - self.level

    def apply_reading(self, at: float, granted: float, used: float, dt: float, told: bool) -> None:
        """The others used this much in `dt` up to `at`: the store is put right, below nothing by own use alone.

        `granted` is what had been filled in all by then: what was granted or used here since is not in question.
        `told`: there was a reading not long before, so that only what was granted since it is in question."""
        least = min(0.0, self.level)
        if told:
            self.level += self.plan.rate * dt - used - (granted - self.granted_at_reading)
        else:
            self.level += self.plan.burst - self.burst_share - max(0.0, used - self.plan.rate * dt)
        self.level, self.granted_at_reading, self.reading_at = min(self.plan.burst, max(least, self.level)), granted, at

    def estimate_total_level(self, now: float, fade: float) -> float:
        """Units that the whole store holds on average, by its use elsewhere as last read; that fades in `fade` s."""
        return self.plan.burst * (1 - self.others_rate / self.plan.rate * exp((self.reading_at - now) / fade))

    def change_plan(self, now: float, plan: PlanSpec, share: float, told: bool, leased: bool) -> None:
        """Another plan, or other figures of the same: what is missing from the full store goes on missing."""
        old, old_share, self.plan, self.burst_share, self.plan_changed_at = (
            self.plan,
            self.burst_share,
            plan,
            share,
            now,
        )
        if not old.rate:  # there was no store that anything could be missing from
            self.level = 0.0 if leased else plan.burst if told else share
        elif not leased:
            self.level += plan.burst - old.burst if told else share - old_share
        if told:  # the next reading fills at the new rate since the last one: before now it was the old rate
            self.granted += (plan.rate - old.rate) * (now - self.reading_at)
            for call in self.pending_calls:  # its total may still come, and speaks of then
                call.granted += (plan.rate - old.rate) * max(0.0, call.sent_at - self.reading_at)
        if old.ceiling_rate and plan.ceiling_rate:
            self.ceiling_level += (plan.ceiling_capacity - old.ceiling_capacity) / self.spread
        else:
            self.ceiling_level, self.ceiling_filled_at = 0.0, now

    def fill_ceiling(self, now: float, born: float) -> float:
        """Units left in this gateway's part of the second store, which fills from `born` on."""
        rate, room = self.plan.ceiling_rate / self.spread, self.plan.ceiling_capacity / self.spread
        self.ceiling_level = min(room, self.ceiling_level + rate * (now - max(self.ceiling_filled_at, born)))
        self.ceiling_filled_at = now
        return self.ceiling_level

    def apply_peer_note(self, peer: int, used: int, out: int) -> float:
        """A peer told its use in all and its attempts out; what is new of the use."""
        last, self.peer_totals[peer] = self.peer_totals.get(peer), used
        self.peers_in_flight[peer] = (self.peers_in_flight.get(peer, out) + out) / 2
        if last is None:  # first told: all of it is new, unless over a burst: that is an older story
            return float(used) if used <= self.plan.burst else 0.0
        return float(used if used < last else used - last)  # less than last: the peer began anew

    def begin_call(self, call: CounterCall, again: float) -> None:
        """What is not reported yet is on its way with this call, and nothing more before `again`."""
        if call.name != self.counter_name:  # totals under the name before are history
            self.counter_name, self.counter_total, self.pending_calls = call.name, 0.0, []
        call.amount, call.granted, self.unreported, self.next_call_at = self.unreported, self.granted, 0.0, again
        self.pending_calls.append(call)

    def apply_total(self, call: CounterCall, total: float) -> float | None:
        """The call's total, in time or late: what others added between the last one and this.

        Answers come in the order of the calls, so a call before it that has no total will never have one, and may have
        been added or not. None where this is no reading: told before, of a name no longer in use, or below what is
        known to have been added, which says that the counter came back empty."""
        if call not in self.pending_calls:
            return None
        at = self.pending_calls.index(call)
        unsure = sum(x.amount for x in self.pending_calls[:at])
        del self.pending_calls[: at + 1]
        others = total - self.counter_total - call.amount
        others -= min(max(0.0, others), unsure)
        self.counter_total = total
        return max(0.0, others) if others > -0.5 else None

    def return_call(self, call: CounterCall) -> None:
        """The call was turned away: its amount is to be told again."""
        if call in self.pending_calls:
            self.pending_calls.remove(call)
            self.unreported += call.amount


class FirmTable(dict[int, Firm]):
    """The customers by key, and whose use is to be told to the counter."""

    def __init__(self) -> None:
        super().__init__()
        self.due_reports = dict[int, Firm]()

    def set_due(self, c: Firm, is_so: bool) -> None:
        """Returned units, which are told as well, wait behind the others."""
        if c.unreported <= 0 or not is_so:
            self.due_reports.pop(c.key, None)
        if is_so:
            self.due_reports[c.key] = c

    def ready_to_call(self, now: float) -> list[Firm]:
        """Those due whose last call was long enough ago."""
        return [c for c in self.due_reports.values() if now >= c.next_call_at]

    def expire(self, since: float) -> None:
        """Who was not seen since then, with nothing out, is forgotten."""
        for key in [key for key, c in self.items() if c.seen_at < since and not c.in_flight]:
            del self[key]
            self.due_reports.pop(key, None)

    def make_notes(self) -> list[str]:
        """Use in all and attempts out, where they changed since they were last told, as notes for the peers."""
        rows = [c for c in self.values() if c.spread > 1 and c.last_note != (round(c.used), c.in_flight)]
        for c in rows:
            c.last_note = (round(c.used), c.in_flight)
        return pack_note((c.key, *c.last_note) for c in rows)

    def apply_note(self, peer: int, note: str) -> dict[int, float]:
        """What is new of the customers' use in a peer's note."""
        return {key: self[key].apply_peer_note(peer, used, out) for key, used, out in unpack_note(note) if key in self}


@dataclass(slots=True)
class Server:
    entry: ServerEntry
    relays: dict[tuple[str, int], float] = field(default_factory=dict)  # attempts out, oldest first
    slowness: float = 1.0  # latency against the usual one
    error_rate: float = 0.0  # recent share of errors
    answered_at: float = NEVER
    queue: float = 0.0  # last told
    reported_at: float = NEVER
    is_ejected: bool = False
    is_counted: bool = False  # its attempts out are in Servers.held
    refusals: int = 0  # messages turned away since it last answered one
    trial_at: float = 0.0
    trial_delay: float = 0.0  # until the next trial; 0 = not set aside of late
    tokens: float = 0.0  # cold budget
    tokens_filled_at: float = NEVER
    may_be_cold: bool = True  # for all that is known
    size_ratio: float = 1.0  # the average size over its own
    relay_limit: int = -1  # attempts out that there may be; -1 = no bound

    def get_oldest_sent_at(self) -> float:
        """When the oldest attempt that is out was sent."""
        for at in self.relays.values():
            return at
        return inf

    def get_unanswered_since(self) -> float:
        """The same where nothing has been answered since: one attempt that hangs does not make a server silent."""
        for at in self.relays.values():
            return at if at > self.answered_at else inf
        return inf

    def count_not_overdue(self, late: float) -> int:
        """Attempts out that are not overdue."""
        overdue = 0
        for at in self.relays.values():
            if at > late:
                break
            overdue += 1
        return len(self.relays) - overdue

    def compute_warmth(self, now: float, settings: Settings) -> float:
        """The least share of its capacity that it has by now."""
        if not self.may_be_cold:
            return 1.0
        age = (now - self.entry.started) / settings.cold_time if self.entry.started and settings.cold_time else 1.0
        self.may_be_cold = age < 1
        return min(1.0, settings.cold_from + (1 - settings.cold_from) * max(0.0, age)) if age < 1 else 1.0

    def fill_budget(self, now: float, rate: float, most: float, first: float) -> float:
        """Attempts that a cold server may get now, at `rate` a second up to `most`, beginning with `first`."""
        if self.tokens_filled_at == NEVER:
            self.tokens, self.tokens_filled_at = first, now
        self.tokens = min(most, self.tokens + rate * (now - self.tokens_filled_at))
        self.tokens_filled_at = now
        return self.tokens

    def deduplicates_with(self, other: Server, group: str) -> bool:
        """The other one drops a repeat of what ran here."""
        return group == "all" or (
            self.entry.zone == other.entry.zone if group == "zone" else self.entry.cell == other.entry.cell
        )


class ServerTable(dict[str, Server]):
    """The sim servers by name, with what each message would else have to look for in all of them."""

    def __init__(self) -> None:
        super().__init__()
        self.up = list[Server]()  # told as up
        self.cumulative_sizes = list[float]()  # running sums of their sizes
        self.with_relays = dict[str, Server]()  # with attempts out
        self.ejected = dict[str, Server]()  # set aside
        self.mean_size = 1.0  # of all, on average
        self.in_use = self.in_flight = 0  # servers up, not set aside and heard; their attempts out that are not overdue
        self.overdue_before = NEVER  # what was sent by then is overdue
        self.is_stale = True  # these are to be counted anew
        self.mean_queue = 0.0  # as servers told it, smoothed over all
        self.warm_sent, self.warm_rate, self.warm_since = 0, 0.0, NEVER  # to warm ones; a second and size; since when
        self.relay_limits = dict[str, int]()  # attempts out at each, where they are bounded

    def update_entries(self, whole: bool, entries: Iterable[ServerEntry]) -> None:
        """The list, `whole` or what changed in it. A server that started anew has a new record and its old attempts."""
        entries = list(entries)
        for name in self.keys() - {x.server for x in entries} if whole else ():
            self[name].entry.state = "gone"
        for x in entries:
            old = self.get(x.server)
            if old is None or x.started != old.entry.started:
                self[x.server] = Server(x, old.relays if old else {}, relay_limit=self.relay_limits.get(x.server, -1))
            self[x.server].entry = x
        for name in [name for name, s in self.items() if s.entry.state == "gone" and not s.relays]:
            del self[name]
        self.up = [s for s in self.values() if s.entry.state == "up"]
        self.cumulative_sizes = list(accumulate(max(s.entry.size, 0.01) for s in self.up))
        self.with_relays = {name: s for name, s in self.items() if s.relays}
        self.ejected = {name: s for name, s in self.items() if s.is_ejected}
        self.mean_size, self.is_stale = sum(s.entry.size for s in self.values()) / max(1, len(self)), True
        for s in self.values():
            s.size_ratio = self.mean_size / max(s.entry.size, 0.01)

    def set_relay_limits(self, most: dict[str, int]) -> None:
        self.relay_limits = most
        for name, s in self.items():
            s.relay_limit = most.get(name, -1)

    def recount(self, late: float) -> None:
        """Attempts sent by `late` are overdue, and a server of which nothing has been heard since is not in use."""
        self.overdue_before, self.is_stale, self.in_flight, self.in_use = (
            late,
            False,
            0,
            len(self.up) - self.count_ejected_up(),
        )
        for s in self.with_relays.values():
            s.is_counted = False
            if s.entry.state == "up" and not s.is_ejected:
                s.is_counted = s.get_unanswered_since() > late
                self.in_use -= not s.is_counted
                self.in_flight += s.count_not_overdue(late) if s.is_counted else 0

    def update_warm_rate(self, now: float, settings: Settings, gain: float) -> None:
        """What warm servers get a second and size, taken in with weight `gain`; unchanged where none is warm."""
        if size := sum(s.entry.size for s in self.up if s.compute_warmth(now, settings) == 1):
            self.warm_rate += gain * (self.warm_sent / size / (now - self.warm_since) - self.warm_rate)
        self.warm_sent, self.warm_since = 0, now

    def record_report(
        self, s: Server, now: float, fields: Iterable[str], values: list[float], queue: float = -1.0
    ) -> None:
        """What a server said of its queue; without a word on it `queue` counts, and where that is below 0 nothing."""
        for name, value in zip(fields, values, strict=False):
            if name in ("queue", "inflight"):
                queue = value
        if queue >= 0:  # none told is not idle
            s.queue, s.reported_at = queue, now
            self.mean_queue += 0.1 * (queue - self.mean_queue)

    def record_sent(self, s: Server, attempt: tuple[str, int], now: float, warm: bool) -> None:
        self.warm_sent += warm
        if not s.relays:
            self.with_relays[s.entry.server] = s
            s.is_counted = not s.is_ejected
        s.relays[attempt] = now
        self.in_flight += s.is_counted

    def record_ended(self, s: Server, attempt: tuple[str, int]) -> None:
        at = s.relays.pop(attempt, None)
        if at is not None:
            self.in_flight -= s.is_counted and at > self.overdue_before
            if not s.relays:
                del self.with_relays[s.entry.server]

    def set_ejected(self, s: Server, is_so: bool) -> None:
        s.is_ejected, self.is_stale = is_so, True
        if is_so:
            self.ejected[s.entry.server] = s
        else:
            del self.ejected[s.entry.server]

    def count_ejected_up(self) -> int:
        return sum(s.entry.state == "up" for s in self.ejected.values())


@dataclass(slots=True)
class PendingMessage:
    """A request in hand."""

    message: MessageReceived
    rate_controller: ClassState
    firm: Firm | None
    deadline: float
    attempts: int = 0
    first_run_at: float | None = None  # when the first attempt that may have run was sent
    first_run_server: Server | None = None
    server: Server | None = None
    sent_at: float = 0.0
    is_in_flight: bool = False
    is_streaming: bool = False  # a stream flows
    client_gone: bool = False
    first_sent_at: float = 0.0  # when the first attempt was sent
    reached_server: bool = False  # an attempt may have reached a server whole: the units are taken
    cost: float = 0.0  # true units, once told
    plan: str = ""  # the customer's when it was let in

    @property
    def body_pending(self) -> bool:
        """Its body is not whole: `until` is not known yet, and nothing of it is work at a server."""
        return self.deadline == inf

    def record_sent(self, s: Server, now: float) -> None:
        """An attempt goes out."""
        self.first_sent_at = self.first_sent_at or now
        self.server, self.sent_at, self.is_in_flight = s, inf if self.body_pending else now, True
        self.attempts += 1
        if self.firm:
            self.firm.in_flight += 1

    def record_ended(self, reached: bool, ran: bool) -> None:
        """It is over: whether it reached a server whole, and whether it may have run."""
        self.is_in_flight = False
        self.reached_server = self.reached_server or reached
        if ran and self.first_run_at is None:
            self.first_run_at, self.first_run_server = self.sent_at, self.server


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
