"""Settings, events and actions of the decision module.

The core passes events to `DecisionModule.handle` and carries out the actions that it returns. All times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any


class SettingsError(ValueError):
    """A setting is missing or invalid; the message names the setting."""


def _require(is_valid: bool, name: str, value: Any) -> None:
    if not is_valid:
        raise SettingsError(f"{name}: {value!r} is not usable")


def _require_numbers(obj: Any, prefix: str, minimum: float, names: tuple[str, ...]) -> None:
    for name in names:
        value = getattr(obj, name)
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        _require(is_number and value >= minimum and value == value, f"{prefix}{name}", value)


@dataclass(slots=True)
class ClassSpec:
    """A class of messages: its latency target, deadline, worth and rules for repeats."""

    name: str
    aim: float  # latency target
    deadline: float  # how long a client waits
    worth: float  # value of an answer; classes of lower worth are throttled first
    effect: str  # "safe" (may run twice) | "keyed" (repeats are dropped by key) | "unsafe" (must not run twice)
    group: str = "all"  # keyed: servers that drop each other's repeats: "all" | "zone" | "cell"
    window: float = 0.0  # keyed: how long after the first relay repeats are dropped
    late_worth: float = 0.0
    stream: bool = False
    aim_stretch: float = 0.0  # how many mean latencies are added to the latency target

    def __post_init__(self) -> None:
        prefix = f"classes[{self.name}]."
        _require(isinstance(self.name, str) and bool(self.name), "classes[].name", self.name)
        _require_numbers(self, prefix, 0.0, ("aim", "deadline", "worth", "window", "late_worth", "aim_stretch"))
        _require(self.aim > 0, prefix + "aim", self.aim)
        _require(self.deadline > 0, prefix + "deadline", self.deadline)
        _require(self.effect in ("safe", "keyed", "unsafe"), prefix + "effect", self.effect)
        _require(self.group in ("all", "zone", "cell"), prefix + "group", self.group)


@dataclass(slots=True)
class PlanSpec:
    """A plan: quota, limit on messages in flight, price and ceiling of each firm that is on it."""

    name: str
    rate: float = 0.0  # quota of each firm, units a second; 0 = no quota
    burst: float = 0.0  # capacity of the quota's token bucket, units
    open: int = 0  # most relays of a firm in flight; 0 = no limit
    price: float = 1.0
    over_worth: float = 0.0  # value of a unit beyond the quota
    over_cost: float = 0.0  # cost of a unit beyond the quota
    ceiling_rate: float = 0.0  # units a second; 0 = no ceiling
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units by which a ceiling may be exceeded

    @property
    def ceiling_capacity(self) -> float:
        """Capacity of the ceiling's token bucket, units. Half of the slack is left for messages on their way."""
        return self.ceiling_burst + self.ceiling_slack / 2

    def __post_init__(self) -> None:
        prefix = f"plans[{self.name}]."
        _require(isinstance(self.name, str) and bool(self.name), "plans[].name", self.name)
        _require_numbers(self, prefix, 0.0, tuple(f.name for f in fields(self) if f.name != "name"))
        _require(not self.rate or self.burst > 0, prefix + "burst", self.burst)
        _require(not self.ceiling_rate or self.ceiling_burst > 0, prefix + "ceiling_burst", self.ceiling_burst)


@dataclass(slots=True)
class Settings:
    """Settings of one decision module. Raises SettingsError if a value is invalid."""

    classes: list[ClassSpec]
    plans: list[PlanSpec]
    me: int = 0  # index of this ingress
    gateways: int = 1  # ingresses among which uncoordinated shares are divided; IngressCountChanged updates it
    places: int = 0  # positions over which the ingresses of each firm are numbered; 0 = `gateways` at the start
    zone: str = ""
    tick: float = 0.001
    max_attempts: int = 1
    cancel: bool = False
    probes: bool = False
    peers: bool = False
    counter: bool = False
    discovery: str = "push"  # "push" | "ask"
    retry_after: bool = False
    max_retry_after: float = 0.0
    drain_grace: float = 0.0
    ask_within: float = 10.0
    cold_from: float = 1.0
    cold_time: float = 0.0
    fall_multiple: float = 1.0
    fall_time: float = 1.0
    counter_timeout: float = 0.05
    meter_period: float = 0.0
    conn_idle: float = 0.0  # servers close a connection that was idle for so long; 0 = unknown
    most_units: float = 1.0  # units of the largest message
    settles: bool = False
    peer_per_s: float = 0.0
    report_fields: list[str] = field(default_factory=list)
    report_via: str = "none"  # "answers" | "probe" | "none"
    charges: bool = False  # report the final use of each message with Charge
    cold_ingresses: int = 0  # ingresses that share the least capacity of a cold server, if more than `gateways`
    leased: bool = False  # only LeaseGranted fills a firm's token bucket

    def __post_init__(self) -> None:
        _require(bool(self.classes), "classes", self.classes)
        _require(len({c.name for c in self.classes}) == len(self.classes), "classes", "a name twice")
        _require(len({p.name for p in self.plans}) == len(self.plans), "plans", "a name twice")
        _require_numbers(
            self,
            "",
            0.0,
            (
                "me",
                "tick",
                "max_retry_after",
                "drain_grace",
                "cold_time",
                "meter_period",
                "most_units",
                "peer_per_s",
                "counter_timeout",
                "ask_within",
                "conn_idle",
            ),
        )
        _require_numbers(self, "", 1.0, ("gateways", "max_attempts"))
        self.places = self.places or self.gateways
        _require(self.me < self.gateways, "me", self.me)
        _require(0 < self.cold_from <= 1, "cold_from", self.cold_from)
        _require(self.fall_multiple > 0, "fall_multiple", self.fall_multiple)
        _require(self.fall_time > 0, "fall_time", self.fall_time)
        _require(self.discovery in ("push", "ask"), "discovery", self.discovery)


@dataclass(slots=True)
class ServerEntry:
    """A sim server as discovery lists it."""

    server: str
    zone: str = ""
    cell: int = 0
    size: float = 1.0  # capacity relative to other servers
    state: str = "up"  # "up" | "draining" | "gone"
    started: float = 0.0  # 0 = long ago
    kind: str = ""


# Events


@dataclass(slots=True)
class ServerList:
    """The inventory, or a change of it."""

    kind: str  # "changes" | "full" | "stale" | "failed"
    entries: list[ServerEntry]
    version: int = 0


@dataclass(slots=True)
class MessageReceived:
    """A message arrived and is to be sent to a server or refused."""

    id: str
    cls: str
    plan: str
    firm: int
    time_left: float  # how long the client still waits
    units: float = 1.0
    spread: int = 1  # ingresses that serve this firm
    first: int = 0  # position of the first of them; the others follow, modulo `places`
    retry: bool = False
    write: bool = False
    reserved_units: float = 0.0  # units that a reservation holds for this message already
    revision: int = 0  # of the plan book; Charge repeats it
    body_pending: bool = False  # a long body is still being received: `time_left` starts at BodyComplete


@dataclass(slots=True)
class BodyComplete:
    """The last byte of a pending body was received."""

    id: str
    elapsed: float = 0.0  # of the client's time, which may have begun before


@dataclass(slots=True)
class Outcome:
    """A relay ended."""

    id: str
    server: str
    attempt: int
    status: str  # ok error full timeout connect_failed reset cancelled moot
    latency: float = 0.0
    closed: bool = False  # the message has its final answer or its client is gone
    quota_used: int = 0  # 1 + per cent of the quota used in the last meter period; 0 = not reported
    cost: float = 0.0  # actual units; 0 = not reported
    load: list[float] = field(default_factory=list)  # values named by `Settings.report_fields`
    settles_later: bool = False  # its units stay taken until Settle: the end of this attempt is not visible here
    no_retry: bool = False  # its body was not kept: it cannot be sent again


@dataclass(slots=True)
class AnswerBegun:
    """The head of a long answer came. The server is not silent, and only the answer's bytes are still to come."""

    id: str
    server: str
    attempt: int


@dataclass(slots=True)
class StreamStarted:
    """The answer has begun to flow: the message stays with this attempt."""

    id: str
    server: str
    attempt: int
    latency: float = 0.0
    work_done: bool = False  # only the answer's bytes are still to come: the server no longer works on it


@dataclass(slots=True)
class ClientGone:
    """The client of a message disconnected or gave up."""

    id: str


@dataclass(slots=True)
class ProbeResult:
    """A probe ended."""

    server: str
    status: str
    latency: float = 0.0
    load: list[float] = field(default_factory=list)  # values named by `Settings.report_fields`


@dataclass(slots=True)
class CounterResult:
    """A counter call ended; the next call may be sent. Reported exactly once for each call.

    `total` is valid with status `ok`. After `timeout` the amount may have been added, and LateCounterResult may follow.
    After `full` and `connect_failed` nothing was added.
    """

    name: int
    status: str  # ok full timeout connect_failed
    total: float = 0.0
    latency: float = 0.0


@dataclass(slots=True)
class LateCounterResult:
    """The answer to a call that had ended with `timeout`; at most one for each, in the order of the calls.

    It does not end the current call. The total is as of some instant between the call's sending and now.
    """

    call: int  # the number in its AddToCounter
    status: str  # ok; full: nothing was added
    total: float = 0.0
    latency: float = 0.0


@dataclass(slots=True)
class PeerNote:
    """A note from another ingress."""

    peer: int
    data: str


@dataclass(slots=True)
class TimerFired:
    """A timer set with SetTimer expired."""

    token: int


@dataclass(slots=True)
class PlansChanged:
    """New values of these plans are in force."""

    plans: list[PlanSpec]


@dataclass(slots=True)
class FirmMoved:
    """The firm is on this plan from now on."""

    firm: int
    plan: str


@dataclass(slots=True)
class Reserve:
    """Take units for a message to come. The answer is Reserved or Refuse."""

    id: str
    firm: int
    plan: str
    units: float
    spread: int = 1
    first: int = 0
    retry: bool = False


@dataclass(slots=True)
class Settle:
    """The actual use of units that were held since `since` is known; 0 = the message never ran, all are returned."""

    id: str
    firm: int
    plan: str
    revision: int
    held: float
    units: float
    since: float


@dataclass(slots=True)
class LeaseGranted:
    """Units were leased for a firm or, if negative, given up. Only with `Settings.leased`."""

    firm: int
    plan: str
    units: float
    spread: int = 1
    first: int = 0
    retry: bool = True  # the plan may be outdated, as with a retry, and never moves the firm


@dataclass(slots=True)
class IngressCountChanged:
    """The number of ingresses among which uncoordinated shares are divided changed."""

    count: int
    cold_count: int = 0  # the same for the least capacity of a cold server, if more


@dataclass(slots=True)
class RelayLimitsChanged:
    """Limits on the relays of this ingress in flight, by server; a server that is not named has no limit."""

    limits: dict[str, int]


Event = (
    ServerList
    | MessageReceived
    | BodyComplete
    | Outcome
    | AnswerBegun
    | StreamStarted
    | ClientGone
    | ProbeResult
    | CounterResult
    | LateCounterResult
    | PeerNote
    | TimerFired
    | PlansChanged
    | FirmMoved
    | Reserve
    | Settle
    | LeaseGranted
    | IngressCountChanged
    | RelayLimitsChanged
)


# Actions


@dataclass(slots=True)
class Send:
    """Relay the message to this server."""

    id: str
    server: str
    timeout: float = 0.0  # 0 = until the client gives up
    not_after: float = 0.0  # latest time to reach the server, as repeats are dropped only so long; 0 = no limit


@dataclass(slots=True)
class Refuse:
    """Give the message, or the reservation, a back-off answer."""

    id: str
    retry_after: float = 0.0  # 0 = no advice
    reason: str = ""  # quota, rate, haste, room, servers, unknown; "" = not given


@dataclass(slots=True)
class Fail:
    """Answer the message with an error: it may have run and must not be sent again."""

    id: str


@dataclass(slots=True)
class Cancel:
    """Cancel this attempt; an Outcome follows."""

    id: str
    attempt: int


@dataclass(slots=True)
class Probe:
    """Probe this server; a ProbeResult follows."""

    server: str


@dataclass(slots=True)
class AddToCounter:
    """Add to a number at the quota counter; a CounterResult follows."""

    name: int
    amount: float
    ttl: float
    call: int = 0  # sequence number at this ingress; LateCounterResult repeats it


@dataclass(slots=True)
class SendPeerNote:
    """Send a note to another ingress."""

    peer: int  # -1 = all
    data: str


@dataclass(slots=True)
class SetTimer:
    """Report TimerFired with this token after `delay`."""

    token: int
    delay: float


@dataclass(slots=True)
class Watch:
    """Start or stop watching the inventory."""

    enabled: bool = True


@dataclass(slots=True)
class Fetch:
    """Read the whole inventory."""

    pass


@dataclass(slots=True)
class Log:
    """Write a log line."""

    text: str


@dataclass(slots=True)
class Reserved:
    """The units that Reserve asked for are taken."""

    id: str


@dataclass(slots=True)
class Charge:
    """Final use of a message or a reservation: once for each, never for one that reached no server whole."""

    id: str
    firm: int
    plan: str
    revision: int
    units: float
    since: float  # when the units were first taken


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | Probe
    | AddToCounter
    | SendPeerNote
    | SetTimer
    | Watch
    | Fetch
    | Log
    | Reserved
    | Charge
)
