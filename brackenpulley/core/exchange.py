"""Defines the exchange of one message between the north side and the south side.

An exchange holds one message, its relays and its single final answer. `Ingress` owns exchanges. The fronts and the
south side see only the protocols and the result types that are defined here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from .answer_progress import AnswerProgress
from .message import Message


@dataclass(slots=True)
class Answer:
    """The final answer to a client.

    `kind` is "served", "granted" (from a front that names a sim server and relays nothing), "back-off", "failed" or
    "denied".
    """

    kind: str
    status: int
    retry_after: float = 0.0  # seconds, for a back-off answer; 0 sends no Retry-After
    payload: Any = None  # as the south side received it; the core does not inspect it
    server: str = ""
    is_streaming: bool = False  # the body is still being received; whether it is complete is known when the relay ends


@dataclass(slots=True)
class RelayResult:
    """The result of a relay, with a status of `policy.interface.Outcome`.

    Passed to `on_streaming`, it describes the start of a long answer, and its status is "ok".
    """

    status: str
    payload: Any = None
    used: int = 0  # 1 + the percentage of the firm's quota that the sim server reports as used; 0 if it reports none
    cost: float = 0.0  # true cost in units; 0 if the sim server reports none
    load: list[float] = field(default_factory=list)  # reported by the sim server, in the order of the settings' fields
    written_at: float = 0.0  # when the last byte of a long message was written; 0 for a short message
    is_permanent: bool = False  # it failed on a limit of this ingress, so another attempt would fail as well
    reason: str = ""  # why it ended without an answer, for the log
    progress: AnswerProgress = AnswerProgress()  # what had come of the answer when it ended without a whole one


@dataclass(slots=True)
class Verdict:
    """An authoriser's verdict on a message.

    `kind` is "allow", "deny" or "unknown"; the last one when the authoriser stalled, failed or was unreachable.
    """

    kind: str
    status: int = 0
    payload: Any = None  # of a denial
    amend_payload: Callable[[Any], Any] | None = None  # returns the changed payload of an allowed message


class PendingCall(Protocol):
    """A call whose result the core awaits."""

    def drop(self) -> None:
        """Cancels the call. Its callback is not called any more."""


class Authoriser(Protocol):
    """Decides whether a message is allowed."""

    def ask(self, message: Message, timeout: float, on_done: Callable[[Verdict], None]) -> PendingCall:
        """Requests a verdict.

        Calls `on_done` once within `timeout` seconds, unless the call is dropped, and never before this returns.
        """


class Relay(Protocol):
    """A relay in flight."""

    def drop(self) -> bool:
        """Cancels the relay; its result is not reported any more.

        Returns whether the sim server may have run it, which is so if its last byte was written.
        """

    def recall(self) -> bool:
        """Cancels the relay if none of its bytes were sent, and returns whether that was so."""

    def stream_now(self) -> bool:
        """Passes on an answer that has begun and may be a long one, without waiting for more of it.

        Returns False if there is none, or if it does not flow any more. Otherwise `on_streaming` has been called.
        """

    def answer_progress(self) -> AnswerProgress:
        """Returns how far the answer has come."""
        ...


class South(Protocol):
    """Starts relays to sim servers."""

    def start(
        self,
        message: Message,
        server: str,
        timeout: float,
        on_done: Callable[[RelayResult], None],
        on_streaming: Callable[[RelayResult], None],
        on_begun: Callable[[], None],
    ) -> Relay:
        """Starts one relay that may take `timeout` seconds.

        Calls `on_done` once, unless the relay is dropped; the call may happen before this returns. For an answer that
        is long or may be, calls `on_begun` once before that, when its head has been received, and `on_streaming` once
        it is to be passed on while it is received.
        """


class ExchangeError(RuntimeError):
    """A second final answer, or a second relay while one is in flight or after the end of the exchange."""


class Exchange:
    """One message, at most one relay in flight, and at most one final answer."""

    __slots__ = (
        "message",
        "deadline",
        "final_answer",
        "is_client_gone",
        "is_streaming",
        "server",
        "attempt",
        "sent_at",
        "answer_begun_at",
        "timer",
        "pending_call",
        "_reply",
        "_south",
        "_relay",
    )

    def __init__(self, message: Message, deadline: float, reply: Callable[[Answer], None], south: South) -> None:
        self.message, self.deadline = message, deadline
        self.final_answer: Answer | None = None
        self.is_client_gone = False
        self.is_streaming = False  # the final answer is sent to the client while the sim server still sends it
        self.server, self.attempt, self.sent_at = "", -1, 0.0
        self.answer_begun_at = 0.0  # when the head of a long answer to the relay in flight came; 0 before that
        self._reply, self._south = reply, south
        self._relay: Relay | None = None
        self.timer: Any = None
        # Set while an authoriser's verdict or a lease is awaited. The decision module does not know the message yet.
        self.pending_call: PendingCall | None = None

    @property
    def has_relay(self) -> bool:
        """Whether a relay is in flight."""
        return bool(self.server)

    @property
    def is_answer_due(self) -> bool:
        """Whether the client waits for an answer and nothing that could produce one is pending."""
        return self.final_answer is None and not (self.is_client_gone or self.server) and self.pending_call is None

    @property
    def is_finished(self) -> bool:
        """Whether the final answer was sent or the client has disconnected."""
        return self.is_client_gone or self.final_answer is not None

    def relay(
        self,
        server: str,
        now: float,
        timeout: float,
        on_done: Callable[[Exchange, int, RelayResult], None],
        on_streaming: Callable[[Exchange, int, RelayResult], None],
        on_begun: Callable[[Exchange, int], None],
    ) -> None:
        """Starts the next attempt. The callbacks get the exchange, the number of the attempt and the result.

        Raises ExchangeError if the exchange is finished or another relay is in flight.
        """
        if self.is_finished or self.server:
            raise ExchangeError(
                f"message {self.message.id}: cannot start a relay: "
                f"{'the exchange is finished' if self.is_finished else 'another relay is in flight'}"
            )
        self.server, self.attempt, self.sent_at, self.answer_begun_at = server, self.attempt + 1, now, 0.0
        number = self.attempt

        def report_done(result: RelayResult) -> None:
            if self.server and self.attempt == number:  # ignores a result that arrives after the relay was dropped
                self._relay = None
                on_done(self, number, result)

        def report_streaming(result: RelayResult) -> None:
            if self.server and self.attempt == number:
                on_streaming(self, number, result)

        def report_begun() -> None:
            if self.server and self.attempt == number:
                on_begun(self, number)

        relay = self._south.start(self.message, server, timeout, report_done, report_streaming, report_begun)
        if self.server and self.attempt == number:
            self._relay = relay

    def clear_relay(self) -> None:
        """Clears the relay whose result was processed, so that another one may start."""
        self.server, self.is_streaming = "", False

    def answer_progress(self) -> AnswerProgress:
        """Returns how far the answer to the relay in flight has come."""
        return AnswerProgress() if self._relay is None else self._relay.answer_progress()

    def drop(self) -> bool:
        """Cancels the relay in flight and ignores its result. Returns whether the sim server may have run it."""
        relay, self._relay = self._relay, None
        return relay is not None and relay.drop()

    def recall(self) -> bool:
        """Cancels the relay in flight if none of its bytes were sent, for example while it waits for a connection.

        Returns whether the relay was cancelled.
        """
        if self._relay is None or not self._relay.recall():
            return False
        self._relay = None
        return True

    def stream_now(self) -> bool:
        """Starts to pass on a long answer that flows at the end of its time; returns False if there is none."""
        return not self.is_finished and self._relay is not None and self._relay.stream_now()

    def answer(self, answer: Answer) -> None:
        """Sends the final answer, unless the client has disconnected. Raises ExchangeError on a second answer."""
        if self.final_answer is not None:
            raise ExchangeError(f"message {self.message.id}: the final answer was already sent")
        self.final_answer = answer
        if not self.is_client_gone:
            self._reply(answer)
