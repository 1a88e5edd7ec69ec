"""Settings, events and actions of the decision module. Times are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field, fields
from typing import Any


class SettingsError(ValueError):
    """A setting is missing or makes no sense; the message names the field."""


def _need(ok: bool, name: str, value: Any) -> None:
    if not ok:
        raise SettingsError(f"{name}: {value!r} is not usable")


def _numbers(obj: Any, prefix: str, least: float, names: tuple[str, ...]) -> None:
    for name in names:
        value = getattr(obj, name)
        good = isinstance(value, (int, float)) and not isinstance(value, bool)
        _need(good and value >= least and value == value, f"{prefix}{name}", value)


@dataclass(slots=True)
class ClassSpec:
    name: str
    aim: float
    deadline: float
    worth: float
    effect: str  # "safe" | "keyed" | "unsafe"
    group: str = "all"  # keyed: who drops repeats: "all" | "zone" | "cell"
    window: float = 0.0
    late_worth: float = 0.0
    stream: bool = False
    aim_stretch: float = 0.0

    def __post_init__(self) -> None:
        at = f"classes[{self.name}]."
        _need(isinstance(self.name, str) and bool(self.name), "classes[].name", self.name)
        _numbers(self, at, 0.0, ("aim", "deadline", "worth", "window", "late_worth", "aim_stretch"))
        _need(self.aim > 0, at + "aim", self.aim)
        _need(self.deadline > 0, at + "deadline", self.deadline)
        _need(self.effect in ("safe", "keyed", "unsafe"), at + "effect", self.effect)
        _need(self.group in ("all", "zone", "cell"), at + "group", self.group)


@dataclass(slots=True)
class PlanSpec:
    name: str
    rate: float = 0.0  # units a second for each customer; 0 = no rate
    burst: float = 0.0
    open: int = 0  # most attempts out at once; 0 = no such cap
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0  # 0 = no ceiling
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0

    @property
    def ceiling_capacity(self) -> float:
        """Units below which a ceiling's store is never taken; half of the slack is left for what crosses."""
        return self.ceiling_burst + self.ceiling_slack / 2

    def __post_init__(self) -> None:
        at = f"plans[{self.name}]."
        _need(isinstance(self.name, str) and bool(self.name), "plans[].name", self.name)
        _numbers(self, at, 0.0, tuple(f.name for f in fields(self) if f.name != "name"))
        _need(not self.rate or self.burst > 0, at + "burst", self.burst)
        _need(not self.ceiling_rate or self.ceiling_burst > 0, at + "ceiling_burst", self.ceiling_burst)


@dataclass(slots=True)
class Settings:
    classes: list[ClassSpec]
    plans: list[PlanSpec]
    me: int = 0
    gateways: int = 1  # that share what no gateway asks the others for; changes in service where Gateways comes
    places: int = 0  # over which customers' sets are numbered; 0 = as many as `gateways` at the start
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
    conn_idle: float = 0.0  # a connection unused for so long is closed by its server; 0 = not told
    most_units: float = 1.0
    settles: bool = False
    peer_per_s: float = 0.0
    report_fields: list[str] = field(default_factory=list)
    report_via: str = "none"  # "answers" | "probe" | "none"
    charges: bool = False  # tell by Charge what each try used in the end
    cold_ingresses: int = 0  # that may share a cold server's least, where more than `gateways`
    leased: bool = False  # a customer's store is filled by Allow alone

    def __post_init__(self) -> None:
        _need(bool(self.classes), "classes", self.classes)
        _need(len({c.name for c in self.classes}) == len(self.classes), "classes", "a name twice")
        _need(len({p.name for p in self.plans}) == len(self.plans), "plans", "a name twice")
        _numbers(
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
        _numbers(self, "", 1.0, ("gateways", "max_attempts"))
        self.places = self.places or self.gateways
        _need(self.me < self.gateways, "me", self.me)
        _need(0 < self.cold_from <= 1, "cold_from", self.cold_from)
        _need(self.fall_multiple > 0, "fall_multiple", self.fall_multiple)
        _need(self.fall_time > 0, "fall_time", self.fall_time)
        _need(self.discovery in ("push", "ask"), "discovery", self.discovery)


@dataclass(slots=True)
class ServerEntry:
    server: str
    zone: str = ""
    cell: int = 0
    size: float = 1.0
    state: str = "up"  # "up" | "draining" | "gone"
    started: float = 0.0  # 0 = long ago
    kind: str = ""


# Events


@dataclass(slots=True)
class ServerList:
    kind: str  # "changes" | "full" | "stale" | "failed"
    entries: list[ServerEntry]
    version: int = 0


@dataclass(slots=True)
class MessageReceived:
    id: str
    cls: str
    plan: str
    firm: int
    time_left: float  # the client waits this long
    units: float = 1.0
    spread: int = 1  # gateways that serve this customer
    first: int = 0  # the first of them; the rest count round
    retry: bool = False
    write: bool = False
    reserved_units: float = 0.0  # units that a reservation holds for it already
    revision: int = 0  # of the plan book, for Charge
    body_pending: bool = False  # its body is long and still comes: its time begins with Whole


@dataclass(slots=True)
class BodyComplete:
    """The last byte of a body that was still coming is there."""

    id: str


@dataclass(slots=True)
class Outcome:
    id: str
    server: str
    attempt: int
    status: str  # ok error full timeout connect_failed reset cancelled moot
    latency: float = 0.0
    closed: bool = False
    quota_used: int = 0
    cost: float = 0.0
    load: list[float] = field(default_factory=list)
    settles_later: bool = False  # its units stay held until Settle: the end of this attempt is not seen here
    no_retry: bool = False  # its body is not kept: no further attempt is possible


@dataclass(slots=True)
class StreamStarted:
    """A stream flows: the request is bound to this attempt."""

    id: str
    server: str
    attempt: int
    latency: float = 0.0
    work_done: bool = False  # only bytes of the answer still come: it is no work out at the server any more


@dataclass(slots=True)
class ClientGone:
    id: str


@dataclass(slots=True)
class ProbeResult:
    server: str
    status: str
    latency: float = 0.0
    load: list[float] = field(default_factory=list)


@dataclass(slots=True)
class CounterResult:
    """A call's end, told once for each: the next call may go. Its total comes with `ok`; after `timeout`, where it
    may have been added, an answer can still come as Total; `full` and `connect_failed`: nothing was added."""

    name: int
    status: str  # ok full timeout connect_failed
    total: float = 0.0
    latency: float = 0.0


@dataclass(slots=True)
class LateCounterResult:
    """The late answer to a call that ended with `timeout`: at most one for each, in the order of the calls.

    It ends nothing. The total speaks of an instant between the call's sending and now."""

    call: int  # the number that its Count had
    status: str  # ok; full: nothing was added
    total: float = 0.0
    latency: float = 0.0


@dataclass(slots=True)
class PeerNote:
    peer: int
    data: str


@dataclass(slots=True)
class TimerFired:
    token: int


@dataclass(slots=True)
class PlansChanged:
    """From now on these plans have these figures."""

    plans: list[PlanSpec]


@dataclass(slots=True)
class FirmMoved:
    """From now on the customer is on this plan."""

    firm: int
    plan: str


@dataclass(slots=True)
class Reserve:
    """Hold units for a request to come: answered by Reserved or Refuse."""

    id: str
    firm: int
    plan: str
    units: float
    spread: int = 1
    first: int = 0
    retry: bool = False


@dataclass(slots=True)
class Settle:
    """Units held since `since` turned out to be these; 0 = it never ran, all is returned."""

    id: str
    firm: int
    plan: str
    revision: int
    held: float
    units: float
    since: float


@dataclass(slots=True)
class LeaseGranted:
    """Units leased for a customer (or, below 0, given up) where `leased` is set."""

    firm: int
    plan: str
    units: float
    spread: int = 1
    first: int = 0
    retry: bool = True  # as with a retry, the plan it names never moves the customer: it may be an older one


@dataclass(slots=True)
class IngressCountChanged:
    """From now on this gateway's part of what is shared without telling each other is one of so many."""

    count: int
    cold_count: int = 0  # of a cold server's least, where that is more


@dataclass(slots=True)
class RelayLimitsChanged:
    """From now on at most so many attempts of this gateway are out at each server; one not named has no bound."""

    limits: dict[str, int]


Event = (
    ServerList
    | MessageReceived
    | BodyComplete
    | Outcome
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
    id: str
    server: str
    timeout: float = 0.0  # 0 = until the client gives up
    not_after: float = 0.0  # it may not reach a server after that: repeats are dropped only so long; 0 = whenever


@dataclass(slots=True)
class Refuse:
    id: str
    retry_after: float = 0.0  # advice; 0 = none
    reason: str = ""  # quota, rate, haste, room, servers, unknown; "" = not told


@dataclass(slots=True)
class Fail:
    id: str


@dataclass(slots=True)
class Cancel:
    id: str
    attempt: int


@dataclass(slots=True)
class Probe:
    server: str


@dataclass(slots=True)
class AddToCounter:
    name: int
    amount: float
    ttl: float
    call: int = 0  # its number at this gateway, for Total


@dataclass(slots=True)
class SendPeerNote:
    peer: int  # -1 = all
    data: str


@dataclass(slots=True)
class SetTimer:
    token: int
    delay: float


@dataclass(slots=True)
class Watch:
    enabled: bool = True


@dataclass(slots=True)
class Fetch:
    pass


@dataclass(slots=True)
class Log:
    text: str


@dataclass(slots=True)
class Reserved:
    id: str


@dataclass(slots=True)
class Charge:
    """What a try, or a reservation, used in the end; once for each, and never for what reached no server whole."""

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
