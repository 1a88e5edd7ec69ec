"""Drives the decision module: passes events to it, carries out its actions and runs its timers.

`Ingress` owns every exchange. The clock, the timers and all services that it calls are passed in, so that it runs
without sockets. `serve.Daemon` builds it; the fronts, the inventory and the services for plans, leases, reservations
and the fleet call it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from math import inf
from typing import Any, Protocol

from ..metrics import OUTCOME_COUNTERS, Metrics
from ..policy import interface
from ..policy.brain import DecisionModule
from .answer_progress import AnswerProgress
from .attempt_log import AttemptLog
from .exchange import Answer, Authoriser, Exchange, PendingCall, RelayResult, South, Verdict
from .message import Message, check_message

UNSTORED_RETRY_AFTER_SECONDS = 1.0  # for a message refused because the ledger cannot store its charge
# For which an id is remembered whose client left while its message may have run, and how many at most.
LEFT_ID_SECONDS = 60.0
MAX_LEFT_IDS = 4096
NOT_READY_RETRY_AFTER_SECONDS = 0.5  # for a message refused because the ingress cannot serve yet


class Timers(Protocol):
    """Timers on the clock of the ingress."""

    def call_at(self, when: float, callback: Callable[[], None]) -> Any:
        """Calls `callback` at the time `when` and returns a handle with `cancel()`."""


class Counter(Protocol):
    """Client of the shared quota counter service."""

    def add(self, name: int, amount: float, ttl: float, number: int = 0) -> None:
        """Adds `amount` to the counter `name`, which expires after `ttl` seconds.

        `number` identifies the call; it is returned with a Total.
        """


class Plans(Protocol):
    """The plan book."""

    def plan_of(self, firm: int, requested_plan: str) -> tuple[str, int]:
        """Returns the current plan of a firm, and the revision of the book that set it.

        `requested_plan` is the plan that the client named.
        """


class Ledger(Protocol):
    """The ledger of charges."""

    @property
    def refuses(self) -> bool:
        """Whether messages must be refused: nothing can be stored, and the operator configured to refuse then."""

    def charge(self, action: interface.Charge) -> None:
        """Records the units that a message or a reservation used."""
        ...

    def answer(self, reply: Callable[[Answer], None], answer: Answer) -> None:
        """Calls `reply` with the answer in this turn of the loop, after the charges of the turn are stored."""


class Reservations(Protocol):
    """Reservations that firms made for later messages."""

    def pays(self, message: Message) -> float:
        """Returns the units that the message's reservation holds for it, or 0."""

    def used(self, message: Message) -> None:
        """Marks the message's reservation as used: the message was relayed and takes over its units."""

    def granted(self, message: Message) -> bool:
        """Holds the units of a message that runs where this ingress does not see its end.

        Returns False if the units cannot be held.
        """


class Leases(Protocol):
    """Leases of quota from the shared counter."""

    def ask(self, message: Message, on_done: Callable[[], None]) -> PendingCall | None:
        """Makes sure that the firm of the message has a lease.

        Returns None if the decision module can decide now. Otherwise `on_done` is called once, unless the returned
        call is dropped.
        """

    def counted(self, event: interface.CounterResult) -> None:
        """Processes an answer of the counter."""
        ...

    def settled(self, firm: int) -> None:
        """Processes a true cost of a firm, after which its token bucket may be negative."""

    def moved(self, firms: Iterable[int]) -> None:
        """Processes a change of the plans of firms, or of the figures of their plans."""


class IdClaims(Protocol):
    """The ids that the processes of an upgrade have in hand."""

    def claim(self, message_id: str, seconds: float = ...) -> bool:
        """Claims an id; returns False where another process has it."""
        ...

    def release(self, message_id: str) -> None:
        """Gives up the claim of an id."""


class LoadObserver(Protocol):
    """Receives the load that sim servers report."""

    def reported(self, server: str, load: list[float]) -> None:
        """Processes the load that a sim server reported with an answer."""


class Log(Protocol):
    """A structured logger."""

    def info(self, event: str, **more: Any) -> Any:
        """Logs an event."""
        ...

    def exception(self, event: str, **more: Any) -> Any:
        """Logs an event with the exception that is being handled."""
        ...


class Ingress:
    """Owns each exchange from `accept` until it is finished and has no relay in flight."""

    def __init__(
        self,
        decision_module: DecisionModule,
        clock: Callable[[], float],
        timers: Timers,
        counter: Counter,
        metrics: Metrics,
        log: Log,
    ) -> None:
        self.decision_module, self.clock, self.timers, self.counter = decision_module, clock, timers, counter
        self.metrics, self.log = metrics, log
        self._attempt_log = AttemptLog(log, metrics, clock)
        self.exchanges: dict[str, Exchange] = {}
        self.left_ids: dict[str, float] = {}  # when the client left of a message that may have run; oldest first
        self.has_server_list = False
        self.authoriser: Authoriser | None = None
        self.fail_open = False  # whether a message without a verdict is allowed; otherwise it gets a 503
        self.plans: Plans | None = None
        self.ledger: Ledger | None = None
        self.reservations: Reservations | None = None
        self.leases: Leases | None = None
        self.load_observer: LoadObserver | None = None
        self.id_claims: IdClaims | None = None  # while another process serves at the same address
        # The decision module's answer to the reservation that `reserve` is requesting.
        self._reservation_result: interface.Reserved | interface.Refuse | None = None
        # Requests the list of sim servers. Does nothing where discovery pushes changes.
        self.watch_inventory: Callable[[], None] = lambda: None
        self._events: deque[interface.Event] = deque()
        self._is_handling = False
        # One for each member of `interface.Action`.
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            interface.Send: self._handle_send,
            interface.Refuse: self._handle_refuse,
            interface.Fail: self._handle_fail,
            interface.Cancel: self._handle_cancel,
            interface.AddToCounter: self._handle_count,
            interface.SetTimer: self._handle_set_timer,
            interface.Watch: lambda action: self.watch_inventory(),
            interface.Fetch: lambda action: self.watch_inventory(),
            interface.Log: lambda action: self.log.info("module", text=action.text),
            interface.Charge: self._handle_charge,
            interface.Reserved: self._handle_reserved,
            interface.Probe: self._skip_unsupported,
            interface.SendPeerNote: self._skip_unsupported,
        }

    def accept(
        self, message: Message, reply: Callable[[Answer], None], south: South, is_serving: bool = True
    ) -> Exchange | None:
        """Starts the exchange of a message; `reply` gets its final answer. Raises MessageError.

        Returns None, and never calls `reply`, if a message with the same id is in progress, here or at another process
        of an upgrade, or may have run although its client left without an answer. A message that arrives while
        `is_serving` is false is refused at once (see policy/drain).
        """
        if self.plans is not None:
            message.plan, message.revision = self.plans.plan_of(message.firm, message.requested_plan)
        check_message(message, self.decision_module.settings, self.decision_module.plans)
        if message.id in self.exchanges or self.left_ids and self._has_left(message.id):
            return None
        if self.id_claims is not None and not self.id_claims.claim(message.id):
            return None
        self.metrics.add("messages")
        metrics, priority_class = self.metrics, message.priority_class

        # Counts the final answer once; `_count_streamed` counts a streamed one when it ends.
        def reply_counted(answer: Answer) -> None:
            if not answer.is_streaming:
                metrics.add_for_class(OUTCOME_COUNTERS[answer.kind], priority_class)
            reply(answer)

        send_answer = reply_counted
        if (ledger := self.ledger) is not None:

            def reply_stored(answer: Answer) -> None:
                ledger.answer(reply_counted, answer)

            send_answer = reply_stored

        exchange = Exchange(
            message, inf if message.is_body_pending else self.clock() + message.timeout, send_answer, south
        )
        self.exchanges[message.id] = exchange
        if not is_serving:
            self.metrics.add("refused_unopened")
            self._finish(
                exchange,
                Answer(
                    "back-off", 429, NOT_READY_RETRY_AFTER_SECONDS if self.decision_module.settings.retry_after else 0.0
                ),
            )
        elif ledger is not None and ledger.refuses:
            self.metrics.add("refused_unstored")
            self._finish(
                exchange,
                Answer(
                    "back-off", 503, UNSTORED_RETRY_AFTER_SECONDS if self.decision_module.settings.retry_after else 0.0
                ),
            )
        elif self.authoriser is None:
            self._admit(exchange)
        else:
            exchange.pending_call = self.authoriser.ask(
                message, message.timeout, lambda verdict: self._handle_verdict(exchange, verdict)
            )
        return exchange

    def _admit(self, exchange: Exchange) -> None:
        """Has the decision module decide; where quota is leased, after the firm has a lease."""
        if self.leases is not None:
            exchange.pending_call = self.leases.ask(exchange.message, lambda: self._decide(exchange))
            if exchange.pending_call is not None:
                return
        self._decide(exchange)

    def _decide(self, exchange: Exchange) -> None:
        exchange.pending_call = None
        message = exchange.message
        timeout = message.timeout if exchange.deadline == inf else max(0.0, exchange.deadline - self.clock())
        event = interface.MessageReceived(
            message.id,
            message.priority_class,
            message.plan,
            message.firm,
            timeout,
            message.units,
            message.spread,
            message.first,
            message.is_retry,
        )
        event.body_pending = exchange.deadline == inf
        if self.plans is not None:  # the plan may have changed while the message waited for a verdict
            event.plan, event.revision = message.plan, message.revision = self.plans.plan_of(
                message.firm, message.requested_plan
            )
        if self.reservations is not None and message.reservation:
            event.reserved_units = self.reservations.pays(message)
        self._enqueue(event)

    def _handle_verdict(self, exchange: Exchange, verdict: Verdict) -> None:
        exchange.pending_call = None
        self.metrics.add("verdict_" + verdict.kind)
        if verdict.kind == "deny":  # final and free of charge: the decision module never sees the message
            self._finish(exchange, Answer("denied", verdict.status, 0.0, verdict.payload))
        elif verdict.kind == "allow" or self.fail_open:
            if verdict.amend_payload is not None:
                exchange.message.payload = verdict.amend_payload(exchange.message.payload)
            self._admit(exchange)
        else:
            self._finish(exchange, Answer("failed", 503))

    def complete_body(self, exchange: Exchange, sent_since: float = 0.0) -> None:
        """Processes the end of a message's long body. The message's timeout starts now.

        It has started at `sent_since`, if that is not 0: the client may have sent the last byte then.
        """
        if exchange.is_finished:
            return
        now = self.clock()
        elapsed = now - sent_since if sent_since else 0.0
        exchange.deadline = now - elapsed + exchange.message.timeout
        if exchange.has_relay:
            exchange.timer = self.timers.call_at(exchange.deadline, lambda: self._handle_timeout(exchange))
        self._enqueue(interface.BodyComplete(exchange.message.id, elapsed))

    def expire_body(self, exchange: Exchange) -> None:
        """Ends the relay of a message whose long body its server does not take within the message's time.

        The server has not run it. There is no time left to send it to another one.
        """
        if exchange.has_relay and not exchange.is_finished:
            progress = exchange.answer_progress()
            exchange.drop()
            result = RelayResult("connect_failed", is_permanent=True, reason="body not taken", progress=progress)
            self._handle_result(exchange, exchange.attempt, result)

    def disconnect(self, exchange: Exchange) -> None:
        """Ends the exchange of a client that has disconnected."""
        if exchange.is_streaming:  # the rest of the answer has no reader; this is no failure of the sim server
            progress = exchange.answer_progress()
            exchange.drop()
            exchange.is_client_gone = True
            result = RelayResult("cancelled", reason="client left", progress=progress)
            self._handle_result(exchange, exchange.attempt, result)
        if exchange.is_finished:
            return
        self.metrics.add("gone")
        exchange.is_client_gone = True
        if exchange.pending_call is not None:
            exchange.pending_call.drop()
            exchange.pending_call = None
            self._release(exchange)
            return
        if exchange.attempt >= 0:
            self._remember_left(exchange.message.id)
        self._enqueue(interface.ClientGone(exchange.message.id))
        if exchange.has_relay and exchange.recall():  # even where attempts must not be cancelled: this one was not sent
            self._handle_result(exchange, exchange.attempt, RelayResult("moot", reason="client left"))
        self._release(exchange)

    def _remember_left(self, message_id: str) -> None:
        """Remembers an id that must not run again: its message was sent to a server, and its client has left."""
        oldest = self.clock() - LEFT_ID_SECONDS
        while self.left_ids:
            first, left_at = next(iter(self.left_ids.items()))
            if left_at >= oldest and len(self.left_ids) < MAX_LEFT_IDS:
                break
            del self.left_ids[first]
        self.left_ids[message_id] = self.clock()
        if self.id_claims is not None:
            self.id_claims.claim(message_id, LEFT_ID_SECONDS)

    def _has_left(self, message_id: str) -> bool:
        """Returns whether the client of a message with this id has left while it may have run."""
        return self.left_ids.get(message_id, -inf) >= self.clock() - LEFT_ID_SECONDS

    def update_servers(self, change: interface.ServerList) -> None:
        """Passes a new or changed list of sim servers to the decision module."""
        self.has_server_list = self.has_server_list or bool(change.entries)
        self._enqueue(change)

    def handle_counter_answer(self, event: interface.CounterResult | interface.LateCounterResult) -> None:
        """Passes an answer of the counter to the leases, or to the decision module where quota is not leased."""
        if self.leases is None:
            self._enqueue(event)
        elif isinstance(event, interface.CounterResult):  # not a late Total: a lease call that timed out stays failed
            self.leases.counted(event)

    def notify(
        self,
        event: interface.PlansChanged
        | interface.FirmMoved
        | interface.Settle
        | interface.LeaseGranted
        | interface.IngressCountChanged
        | interface.RelayLimitsChanged,
    ) -> None:
        """Passes an event of the plan book, a reservation, a lease or the fleet to the decision module."""
        self._enqueue(event)

    def reserve(self, event: interface.Reserve) -> interface.Reserved | interface.Refuse:
        """Requests the decision module to hold units.

        Must not be called while an action of the decision module is carried out.
        """
        self._reservation_result = None
        self._enqueue(event)
        return self._reservation_result or interface.Refuse(event.id)

    def _handle_reserved(self, action: interface.Reserved) -> None:
        self._reservation_result = action

    def _handle_charge(self, action: interface.Charge) -> None:
        if self.ledger is not None:
            self.ledger.charge(action)

    def _enqueue(self, event: interface.Event) -> None:
        """Passes an event to the decision module, after the actions of the event being handled."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle_event(self, event: interface.Event) -> None:
        try:
            actions = self.decision_module.handle(self.clock(), event)
        except Exception:  # one faulty event must not end the ingress; its message still gets an answer
            self._report_fault(event)
            actions = []
        for action in actions:
            try:
                self._action_handlers[type(action)](action)
            except Exception:  # one faulty action must not take the others with it
                self._report_fault(event, action)
        if isinstance(event, interface.MessageReceived | interface.Outcome) and not self._events:
            exchange = self.exchanges.get(event.id)
            if exchange and exchange.is_answer_due:  # the decision module left the message without an answer or a relay
                self.metrics.add("undecided")
                self._finish(exchange, Answer("failed", 500))

    def _report_fault(self, event: interface.Event, action: interface.Action | None = None) -> None:
        """Counts and logs the exception that is being handled."""
        self.metrics.add("faults")
        self.log.exception("fault", during=type(event).__name__, action="" if action is None else type(action).__name__)

    def _skip_unsupported(self, action: interface.Probe | interface.SendPeerNote) -> None:
        """Counts an action for which this driver has no part (see `features`); nothing waits for its result."""
        self.metrics.add("actions_unsupported")

    def _handle_send(self, action: interface.Send) -> None:
        exchange = self.exchanges[action.id]
        now = self.clock()
        deadline = min(exchange.deadline, now + action.timeout) if action.timeout > 0 else exchange.deadline
        timeout, exchange.message.write_deadline = exchange.message.timeout, action.not_after or inf
        if deadline < inf:
            timeout = deadline - now
            exchange.timer = self.timers.call_at(deadline, lambda: self._handle_timeout(exchange))
        self.metrics.add_for_server("relays", action.server)
        if exchange.attempt >= 0:
            self._attempt_log.retry_started(exchange, action.server)
        if self.reservations is not None and exchange.attempt < 0 and exchange.message.reservation:
            self.reservations.used(exchange.message)
        exchange.relay(
            action.server, now, timeout, self._handle_result, self._start_streaming, self._handle_answer_begun
        )

    def _handle_answer_begun(self, exchange: Exchange, attempt: int) -> None:
        """Tells the decision module that a server has begun a long answer, so that it is not taken for a silent one."""
        exchange.answer_begun_at = self.clock()
        if not exchange.is_finished:
            self._enqueue(interface.AnswerBegun(exchange.message.id, exchange.server, attempt))

    def _start_streaming(self, exchange: Exchange, attempt: int, result: RelayResult) -> None:
        """Starts to stream a long answer. It is the final answer, and no timeout ends it any more."""
        if exchange.timer is not None:
            exchange.timer.cancel()
        if exchange.is_finished:
            exchange.drop()
            self._handle_result(exchange, attempt, RelayResult("cancelled"))
            return
        self.metrics.add("served")
        self.metrics.add("flowed")
        exchange.is_streaming = True
        exchange.answer(Answer("served", 200, 0.0, result.payload, exchange.server, is_streaming=True))
        self._enqueue(
            interface.StreamStarted(
                exchange.message.id,
                exchange.server,
                attempt,
                (exchange.answer_begun_at or self.clock()) - (result.written_at or exchange.sent_at),
                work_done=True,
            )
        )

    def _count_streamed(self, exchange: Exchange, status: str) -> None:
        if not exchange.is_client_gone:
            self.metrics.add_for_class("ok" if status == "ok" else "errors", exchange.message.priority_class)
        if status != "ok":
            self.metrics.add("cut_off")

    def _handle_result(self, exchange: Exchange, attempt: int, result: RelayResult) -> None:
        """Ends a relay: sends a served answer to the client and reports the outcome to the decision module."""
        now, message = self.clock(), exchange.message
        if exchange.timer is not None:
            exchange.timer.cancel()
            exchange.timer = None
        self.metrics.add_for_server("relay_" + result.status, exchange.server)
        if result.status not in ("ok", "granted"):
            self._attempt_log.attempt_ended(exchange, result)
        last = result.is_permanent or result.status != "ok" and not message.can_resend()
        event = interface.Outcome(
            message.id,
            exchange.server,
            attempt,
            result.status,
            now - (result.written_at or exchange.sent_at),
            exchange.is_finished,
            result.used,
            result.cost,
            result.load,
            no_retry=last,
        )
        if exchange.is_streaming:
            self._count_streamed(exchange, result.status)
        if result.status == "ok" and not exchange.is_finished:
            event.closed = True
            self.metrics.add("served")
            exchange.answer(Answer("served", 200, 0.0, result.payload, exchange.server))
        elif result.status == "granted":
            # The attempt runs where this ingress cannot see it. "cancelled" is the one outcome for which the decision
            # module neither judges the sim server nor learns a latency. The units stay charged as estimated.
            event.status, event.closed = "cancelled", True
            event.settles_later = self.reservations is not None and self.reservations.granted(message)
            if not exchange.is_finished:
                self.metrics.add("granted")
                exchange.answer(Answer("granted", 200, server=exchange.server))
        exchange.clear_relay()
        self._release(exchange)
        if self.load_observer is not None and result.load:
            self.load_observer.reported(exchange.server, result.load)
        self._enqueue(event)
        if self.leases is not None and result.cost:
            self.leases.settled(message.firm)

    def _handle_timeout(self, exchange: Exchange) -> None:
        progress = exchange.answer_progress()
        if progress.is_underway and self._let_go_on(exchange, progress):
            return
        reason = "time over" if self.clock() >= exchange.deadline else "attempt timed out"
        # The sim server cannot have run an attempt that was not completely written to a connection.
        status = "timeout" if exchange.drop() else "connect_failed"
        self._handle_result(exchange, exchange.attempt, RelayResult(status, reason=reason, progress=progress))

    def _let_go_on(self, exchange: Exchange, progress: AnswerProgress) -> bool:
        """Lets an answer go on whose attempt or message has timed out; returns False if it must not."""
        now, until = self.clock(), exchange.deadline
        if now >= until:
            until += progress.grace_seconds
        if now < until:
            exchange.timer = self.timers.call_at(until, lambda: self._handle_timeout(exchange))
            return True
        return exchange.stream_now()

    def _handle_cancel(self, action: interface.Cancel) -> None:
        exchange = self.exchanges.get(action.id)
        if exchange and exchange.has_relay and exchange.attempt == action.attempt:
            progress = exchange.answer_progress()
            if progress.is_underway and not exchange.is_client_gone:
                return
            reason = "client left" if exchange.is_client_gone else "server silent"
            status = "cancelled" if exchange.drop() else "moot"
            self._handle_result(exchange, action.attempt, RelayResult(status, reason=reason, progress=progress))

    def _handle_refuse(self, action: interface.Refuse) -> None:
        if exchange := self.exchanges.get(action.id):
            if action.reason:
                self.metrics.add("refused_" + action.reason)
            answer = Answer("back-off", 503 if exchange.attempt >= 0 else 429, action.retry_after)
            self._finish(exchange, answer, action.reason)
        else:
            self._reservation_result = action

    def _handle_fail(self, action: interface.Fail) -> None:
        if exchange := self.exchanges.get(action.id):
            self._finish(exchange, Answer("failed", 502))

    def _finish(self, exchange: Exchange, answer: Answer, reason: str = "") -> None:
        if not exchange.is_finished:
            self.metrics.add(answer.kind)
            if exchange.attempt >= 0:
                self._attempt_log.message_ended(exchange, answer, reason)
            exchange.answer(answer)
        self._release(exchange)

    def _release(self, exchange: Exchange) -> None:
        if exchange.is_finished and not exchange.has_relay:
            self.exchanges.pop(exchange.message.id, None)
            if self.id_claims is not None and exchange.message.id not in self.left_ids:
                self.id_claims.release(exchange.message.id)

    def _handle_count(self, action: interface.AddToCounter) -> None:
        self.metrics.add("counts")
        self.counter.add(action.name, action.amount, action.ttl, action.call)

    def _handle_set_timer(self, action: interface.SetTimer) -> None:
        self.timers.call_at(self.clock() + action.delay, lambda: self._enqueue(interface.TimerFired(action.token)))
