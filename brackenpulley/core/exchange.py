"""The only place where the north side and the south side meet: one message, its relays, its one final answer."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from .message import Message


@dataclass(slots=True)
class Answer:
    """What the client is told. `kind`: served, granted (a front that relays nothing), back-off, failed or denied."""

    kind: str
    status: int
    after: float = 0.0  # s to stay away, with a back-off answer; 0 = no advice
    payload: Any = None  # a served answer as the south side took it in; the core does not look inside
    server: str = ""
    flows: bool = False  # its body still comes: whether it was served whole is known at the relay's end


@dataclass(slots=True)
class RelayEnd:
    """How a relay ended, in the module's words for outcomes; or, with `ok`, how a long answer began."""

    status: str
    payload: Any = None
    used: int = 0
    cost: float = 0.0
    load: list[float] = field(default_factory=list)
    since: float = 0.0  # when the last byte of a long message was written; 0 = it was not long
    last: bool = False  # it failed by our own limits, and would do so again


@dataclass(slots=True)
class Verdict:
    """What an authoriser says of a message: allow, deny, or unknown (it stalled, broke or could not be reached)."""

    kind: str
    status: int = 0
    payload: Any = None  # of a denial
    amend: Callable[[Any], Any] | None = None  # what an allowed message's payload becomes


class Asking(Protocol):
    def drop(self) -> None:
        """Give up: no verdict is reported any more."""


class Authoriser(Protocol):
    def ask(self, message: Message, left: float, done: Callable[[Verdict], None]) -> Asking:
        """`done` is called once, within `left`, unless it is dropped; never before this returns."""


class Relay(Protocol):
    def drop(self) -> bool:
        """Give up: no end is reported any more. Tells whether it may have run: its last byte was written."""

    def recall(self) -> bool:
        """Give up, as long as not a byte of it has gone out. Tells whether that was so."""


class South(Protocol):
    def start(
        self,
        message: Message,
        server: str,
        left: float,
        done: Callable[[RelayEnd], None],
        began: Callable[[RelayEnd], None],
    ) -> Relay:
        """Begin one relay. `done` is called once, unless it is dropped; it may be called before this returns.

        Where the answer is long, `began` is called once before that, when the first of it is there."""


class ExchangeError(RuntimeError):
    """A second final answer or a second relay: the rules forbid both."""


class Exchange:
    __slots__ = (
        "message",
        "until",
        "final",
        "gone",
        "flowing",
        "server",
        "attempt",
        "sent",
        "timer",
        "asking",
        "_reply",
        "_south",
        "_relay",
    )

    def __init__(self, message: Message, until: float, reply: Callable[[Answer], None], south: South) -> None:
        self.message, self.until = message, until
        self.final: Answer | None = None
        self.gone = False
        self.flowing = False  # the final answer goes out while it still comes
        self.server, self.attempt, self.sent = "", -1, 0.0
        self._reply, self._south = reply, south
        self._relay: Relay | None = None
        self.timer: Any = None
        self.asking: Asking | None = None  # the authoriser's verdict is awaited; the module knows nothing of it yet

    @property
    def out(self) -> bool:
        return bool(self.server)

    @property
    def owed(self) -> bool:
        return self.final is None and not (self.gone or self.server) and self.asking is None

    @property
    def over(self) -> bool:
        return self.gone or self.final is not None

    def relay(
        self,
        server: str,
        now: float,
        left: float,
        done: Callable[[Exchange, int, RelayEnd], None],
        began: Callable[[Exchange, int, RelayEnd], None],
    ) -> None:
        if self.over or self.server:
            raise ExchangeError(f"{self.message.id}: a relay while {'over' if self.over else 'another is out'}")
        self.server, self.attempt, self.sent = server, self.attempt + 1, now
        number = self.attempt

        def ended(end: RelayEnd) -> None:
            if self.server and self.attempt == number:  # guards against an end that comes after giving up
                self._relay = None
                done(self, number, end)

        def begun(end: RelayEnd) -> None:
            if self.server and self.attempt == number:
                began(self, number, end)

        relay = self._south.start(self.message, server, left, ended, begun)
        if self.server and self.attempt == number:
            self._relay = relay

    def settle(self) -> None:
        """The relay's end has been taken in; another may go out."""
        self.server, self.flowing = "", False

    def drop(self) -> bool:
        """Give up the relay that is out: its connection is closed and its end is no longer heard."""
        relay, self._relay = self._relay, None
        return relay is not None and relay.drop()

    def recall(self) -> bool:
        """The same, if nothing of it has gone out yet: an attempt that waits for its connection is none."""
        if self._relay is None or not self._relay.recall():
            return False
        self._relay = None
        return True

    def answer(self, answer: Answer) -> None:
        if self.final is not None:
            raise ExchangeError(f"{self.message.id}: a second final answer")
        self.final = answer
        if not self.gone:
            self._reply(answer)
