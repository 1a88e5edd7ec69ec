"""Drives the decision module: events in, actions out, timers. Clock and ports are passed in."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from math import inf
from typing import Any, Protocol

from ..metrics import OUTCOME_COUNTERS, Metrics
from ..policy import interface as i
from ..policy.brain import Gateway
from .exchange import Answer, Asking, Authoriser, Exchange, RelayEnd, South, Verdict
from .message import Message, check

UNSTORED = 1.0  # s to stay away while use cannot be stored
UNOPENED = 0.5  # s to stay away from a process that cannot serve yet


class Timers(Protocol):
    def call_at(self, when: float, call: Callable[[], None]) -> Any:
        """A handle with cancel()."""


class Counter(Protocol):
    def add(self, name: int, amount: float, ttl: float, number: int = 0) -> None:
        """`number` is told again with a Total."""


class Plans(Protocol):
    def plan_of(self, customer: int, told: str) -> tuple[str, int]:
        """The plan that the book has a customer on now, and the book's revision that says so."""


class Ledger(Protocol):
    @property
    def refuses(self) -> bool:
        """Nothing can be stored, and the operator wants nothing served then."""

    def charge(self, a: i.Charge) -> None: ...

    def answer(self, reply: Callable[[Answer], None], answer: Answer) -> None:
        """`reply` is called with the answer in this turn, once the use of the turn is stored."""


class Holds(Protocol):
    """Explicit reservations."""

    def pays(self, message: Message) -> float:
        """Units that the reservation it names holds for this message; 0 = none."""

    def used(self, message: Message) -> None:
        """The message was sent on and takes the reservation's units over."""

    def granted(self, message: Message) -> bool:
        """The message runs where its end is not seen; False where its units are not held from here on."""


class Leases(Protocol):
    def ask(self, message: Message, done: Callable[[], None]) -> Asking | None:
        """None where the module can decide now; else `done` is called once, unless it is dropped."""

    def counted(self, event: i.Counted) -> None: ...

    def settled(self, customer: int) -> None:
        """True costs are in: the customer's store may be below nothing."""

    def moved(self, customers: Iterable[int]) -> None:
        """Their plans, or the figures of these, have changed."""


class Crowd(Protocol):
    def reported(self, server: str, load: list[float]) -> None:
        """What a server said of itself with an answer."""


class Log(Protocol):
    def info(self, event: str, **more: Any) -> Any: ...
    def exception(self, event: str, **more: Any) -> Any: ...


class Ingress:
    """Owns every exchange from `take` until it is over and no relay of it is out."""

    def __init__(
        self, gateway: Gateway, clock: Callable[[], float], timers: Timers, counter: Counter, metrics: Metrics, log: Log
    ) -> None:
        self.gateway, self.clock, self.timers, self.counter = gateway, clock, timers, counter
        self.metrics, self.log = metrics, log
        self.held: dict[str, Exchange] = {}
        self.listed = False
        self.authoriser: Authoriser | None = None
        self.fail_open = False  # without a verdict the module decides; else the message is turned away
        self.plans: Plans | None = None
        self.ledger: Ledger | None = None
        self.holds: Holds | None = None
        self.leases: Leases | None = None
        self.crowd: Crowd | None = None
        self._reserving: i.Reserved | i.Refuse | None = None  # what the module says to the reservation just asked for
        self.watch: Callable[[], None] = lambda: None  # the inventory watches by itself where changes are pushed
        self._events: deque[i.Event] = deque()
        self._busy = False
        self._does: dict[type, Callable[[Any], None]] = {
            i.Send: self._send,
            i.Refuse: self._refuse,
            i.Fail: self._fail,
            i.Cancel: self._cancel,
            i.Count: self._count,
            i.SetTimer: self._timer,
            i.Watch: lambda a: self.watch(),
            i.Fetch: lambda a: self.watch(),
            i.Log: lambda a: self.log.info("module", text=a.text),
            i.Charge: self._charge,
            i.Reserved: self._reserved,
        }

    def take(
        self, message: Message, reply: Callable[[Answer], None], south: South, opened: bool = True
    ) -> Exchange | None:
        """A message was taken in; None (and nothing owed) if its id is in hand already. Raises MessageError.

        `opened`: whether it is tried; else it is refused at once (see policy/drain)."""
        if self.plans is not None:
            message.plan, message.revision = self.plans.plan_of(message.customer, message.told)
        check(message, self.gateway.s, self.gateway.plans)
        if message.id in self.held:
            return None
        self.metrics.add("messages")
        metrics, cls = self.metrics, message.cls

        def counted(answer: Answer) -> None:  # the final answer, counted once, here or where it stops flowing
            if not answer.flows:
                metrics.add_for_class(OUTCOME_COUNTERS[answer.kind], cls)
            reply(answer)

        final = counted
        if (ledger := self.ledger) is not None:

            def stored(answer: Answer) -> None:
                ledger.answer(counted, answer)

            final = stored

        exchange = Exchange(message, inf if message.coming else self.clock() + message.left, final, south)
        self.held[message.id] = exchange
        if not opened:
            self.metrics.add("refused_unopened")
            self._finish(exchange, Answer("back-off", 429, UNOPENED if self.gateway.s.retry_after else 0.0))
        elif ledger is not None and ledger.refuses:
            self.metrics.add("refused_unstored")
            self._finish(exchange, Answer("back-off", 503, UNSTORED if self.gateway.s.retry_after else 0.0))
        elif self.authoriser is None:
            self._admit(exchange)
        else:
            exchange.asking = self.authoriser.ask(message, message.left, lambda verdict: self._heard(exchange, verdict))
        return exchange

    def _admit(self, exchange: Exchange) -> None:
        """The module decides, with the time that remains; where allowance is leased, once some is there."""
        if self.leases is not None:
            exchange.asking = self.leases.ask(exchange.message, lambda: self._decide(exchange))
            if exchange.asking is not None:
                return
        self._decide(exchange)

    def _decide(self, exchange: Exchange) -> None:
        exchange.asking = None
        m = exchange.message
        left = m.left if exchange.until == inf else max(0.0, exchange.until - self.clock())
        event = i.Request(m.id, m.cls, m.plan, m.customer, left, m.units, m.spread, m.first, m.retry)
        event.coming = exchange.until == inf
        if self.plans is not None:  # it may have waited for a verdict over the instant of a change
            event.plan, event.revision = m.plan, m.revision = self.plans.plan_of(m.customer, m.told)
        if self.holds is not None and m.reservation:
            event.held = self.holds.pays(m)
        self._put(event)

    def _heard(self, exchange: Exchange, verdict: Verdict) -> None:
        exchange.asking = None
        self.metrics.add("verdict_" + verdict.kind)
        if verdict.kind == "deny":  # final, and it takes no quota: the module never hears of the message
            self._finish(exchange, Answer("denied", verdict.status, 0.0, verdict.payload))
        elif verdict.kind == "allow" or self.fail_open:
            if verdict.amend is not None:
                exchange.message.payload = verdict.amend(exchange.message.payload)
            self._admit(exchange)
        else:
            self._finish(exchange, Answer("failed", 503))

    def whole(self, exchange: Exchange) -> None:
        """The last byte of its long body came: from here on its time runs."""
        if exchange.over:
            return
        exchange.until = self.clock() + exchange.message.left
        if exchange.out:
            exchange.timer = self.timers.call_at(exchange.until, lambda: self._expired(exchange))
        self._put(i.Whole(exchange.message.id))

    def leave(self, exchange: Exchange) -> None:
        """The client is gone."""
        if exchange.flowing:  # nobody takes the rest: that speaks against no server
            exchange.drop()
            exchange.gone = True
            self._ended(exchange, exchange.attempt, RelayEnd("cancelled"))
        if exchange.over:
            return
        self.metrics.add("gone")
        exchange.gone = True
        if exchange.asking is not None:
            exchange.asking.drop()
            exchange.asking = None
            self._release(exchange)
            return
        self._put(i.Gone(exchange.message.id))
        if exchange.out and exchange.recall():  # where attempts may not be cancelled: this one has not begun
            self._ended(exchange, exchange.attempt, RelayEnd("moot"))
        self._release(exchange)

    def members(self, change: i.ServerList) -> None:
        self.listed = self.listed or bool(change.entries)
        self._put(change)

    def counted(self, event: i.Counted | i.Total) -> None:
        if self.leases is None:
            self._put(event)
        elif isinstance(event, i.Counted):  # a lease that was given up on stays so, whatever is heard of it later
            self.leases.counted(event)

    def tell(self, event: i.PlanFigures | i.Moved | i.Settle | i.Allow | i.Gateways | i.Shares) -> None:
        """What the plan book, a reservation's end, a lease or the fleet has for the module."""
        self._put(event)

    def reserve(self, event: i.Reserve) -> i.Reserved | i.Refuse:
        """Ask the module to hold units. Never called from within the module's actions."""
        self._reserving = None
        self._put(event)
        return self._reserving or i.Refuse(event.id)

    def _reserved(self, a: i.Reserved) -> None:
        self._reserving = a

    def _charge(self, a: i.Charge) -> None:
        if self.ledger is not None:
            self.ledger.charge(a)

    def _put(self, event: i.Event) -> None:
        """Events that arise while the module's actions are carried out wait until these are done."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def _step(self, event: i.Event) -> None:
        try:
            for action in self.gateway.handle(self.clock(), event):
                self._does[type(action)](action)
        except Exception:  # one bad event must not end the ingress; what it concerned is still answered
            self.metrics.add("faults")
            self.log.exception("fault", during=type(event).__name__)
        if isinstance(event, i.Request | i.Outcome) and not self._events:
            exchange = self.held.get(event.id)
            if exchange and exchange.owed:  # nothing was decided: the answer is owed now
                self.metrics.add("undecided")
                self._finish(exchange, Answer("failed", 500))

    def _send(self, a: i.Send) -> None:
        exchange = self.held[a.id]
        now = self.clock()
        until = min(exchange.until, now + a.timeout) if a.timeout > 0 else exchange.until
        left, exchange.message.before = exchange.message.left, a.before or inf
        if until < inf:
            left = until - now
            exchange.timer = self.timers.call_at(until, lambda: self._expired(exchange))
        self.metrics.add_for_server("relays", a.server)
        if self.holds is not None and exchange.attempt < 0 and exchange.message.reservation:
            self.holds.used(exchange.message)
        exchange.relay(a.server, now, left, self._ended, self._began)

    def _began(self, exchange: Exchange, attempt: int, end: RelayEnd) -> None:
        """A long answer begins to flow: it is the final one from here on, and no time-out ends it any more."""
        if exchange.timer is not None:
            exchange.timer.cancel()
        if exchange.over:
            exchange.drop()
            self._ended(exchange, attempt, RelayEnd("cancelled"))
            return
        self.metrics.add("served")
        self.metrics.add("flowed")
        exchange.flowing = True
        exchange.answer(Answer("served", 200, 0.0, end.payload, exchange.server, flows=True))
        self._put(
            i.Started(
                exchange.message.id,
                exchange.server,
                attempt,
                self.clock() - (end.since or exchange.sent),
                work_done=True,
            )
        )

    def _flowed(self, exchange: Exchange, status: str) -> None:
        if not exchange.gone:
            self.metrics.add_for_class("ok" if status == "ok" else "errors", exchange.message.cls)
        if status != "ok":
            self.metrics.add("cut_off")

    def _ended(self, exchange: Exchange, attempt: int, end: RelayEnd) -> None:
        """A relay is over: a served one goes to the client by itself, and the module hears of each."""
        now, m = self.clock(), exchange.message
        if exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = None
        self.metrics.add_for_server("relay_" + end.status, exchange.server)
        last = end.last or end.status != "ok" and not m.again()
        event = i.Outcome(
            m.id,
            exchange.server,
            attempt,
            end.status,
            now - (end.since or exchange.sent),
            exchange.over,
            end.used,
            end.cost,
            end.load,
            last=last,
        )
        if exchange.flowing:
            self._flowed(exchange, end.status)
        if end.status == "ok" and not exchange.over:
            event.closed = True
            self.metrics.add("served")
            exchange.answer(Answer("served", 200, 0.0, end.payload, exchange.server))
        elif end.status == "granted":
            # The attempt runs where this ingress cannot see it. "cancelled" is the one outcome that the module takes
            # without judging the server or learning a latency; the units stay taken as guessed.
            event.status, event.closed = "cancelled", True
            event.pending = self.holds is not None and self.holds.granted(m)
            if not exchange.over:
                self.metrics.add("granted")
                exchange.answer(Answer("granted", 200, server=exchange.server))
        exchange.settle()
        self._release(exchange)
        if self.crowd is not None and end.load:
            self.crowd.reported(exchange.server, end.load)
        self._put(event)
        if self.leases is not None and end.cost:
            self.leases.settled(m.customer)

    def _expired(self, exchange: Exchange) -> None:
        # A connection that never came up, or took only a part, proves that the attempt never ran.
        status = "timeout" if exchange.drop() else "connect_failed"
        self._ended(exchange, exchange.attempt, RelayEnd(status))

    def _cancel(self, a: i.Cancel) -> None:
        exchange = self.held.get(a.id)
        if exchange and exchange.out and exchange.attempt == a.attempt:
            status = "cancelled" if exchange.drop() else "moot"
            self._ended(exchange, a.attempt, RelayEnd(status))

    def _refuse(self, a: i.Refuse) -> None:
        if exchange := self.held.get(a.id):
            if a.why:
                self.metrics.add("refused_" + a.why)
            self._finish(exchange, Answer("back-off", 503 if exchange.attempt >= 0 else 429, a.after))
        else:
            self._reserving = a

    def _fail(self, a: i.Fail) -> None:
        if exchange := self.held.get(a.id):
            self._finish(exchange, Answer("failed", 502))

    def _finish(self, exchange: Exchange, answer: Answer) -> None:
        if not exchange.over:
            self.metrics.add(answer.kind)
            exchange.answer(answer)
        self._release(exchange)

    def _release(self, exchange: Exchange) -> None:
        if exchange.over and not exchange.out:
            self.held.pop(exchange.message.id, None)

    def _count(self, a: i.Count) -> None:
        self.metrics.add("counts")
        self.counter.add(a.name, a.amount, a.ttl, a.call)

    def _timer(self, a: i.SetTimer) -> None:
        self.timers.call_at(self.clock() + a.delay, lambda: self._put(i.Timer(a.token)))
