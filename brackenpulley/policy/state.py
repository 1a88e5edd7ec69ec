"""Plain records that the decision module keeps and their bookkeeping: nothing is decided here."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from math import inf
from typing import TYPE_CHECKING

from .interface import PlanSpec, Request, ServerEntry, Settings

if TYPE_CHECKING:
    from .brain import Loop

NEVER = -1e18


@dataclass(slots=True)
class Customer:
    key: int
    plan: PlanSpec
    spread: int
    first: int
    share: float  # the burst this gateway may use on its own
    level: float  # units the quota store is held to have
    at: float  # when the level was brought up to date
    born: float
    seen_at: float
    next_call: float
    granted: float = 0.0  # filled since the last reading
    own: float = 0.0  # recent use here, units a second
    others: float = 0.0  # recent use elsewhere, units a second
    unsaid: float = 0.0  # used here, not yet reported
    used: float = 0.0  # used here in all
    told: tuple[int, int] = (0, 0)  # used in all and attempts out, as the peers were told last
    read_at: float = NEVER  # last reading
    name: int = -1  # counter name in use
    total: float = 0.0  # last total under that name
    unsure: float = 0.0  # reported without an answer
    calling: float = 0.0  # amount of the call that is out
    open: int = 0
    others_open: dict[int, float] = field(default_factory=dict)
    told_by: dict[int, int] = field(default_factory=dict)  # peer: its use in all, as told last
    tries: int = 0
    ceil: float = 0.0
    ceil_at: float = NEVER
    left: str = ""  # the plan it was on before
    moved_at: float = NEVER

    def take(self, units: float) -> None:
        self.level, self.used, self.unsaid = self.level - units, self.used + units, self.unsaid + units

    def called(self, name: int, again: float) -> None:
        """What is not reported yet is on its way under this name, and nothing more before `again`."""
        if name != self.name:
            self.name, self.total, self.unsure = name, 0.0, 0.0
        self.calling, self.unsaid, self.next_call = self.unsaid, 0.0, again

    def answered(self, total: float) -> float:
        """The call that was out is answered: what others added since the last one."""
        others = total - self.total - self.calling
        others -= min(max(0.0, others), self.unsure)
        self.total, self.unsure, self.calling = total, 0.0, 0.0
        return others

    def unanswered(self, added: bool) -> None:
        """The call that was out failed; it may have been added all the same, or is to be told again."""
        if added:
            self.unsure += self.calling
        else:
            self.unsaid += self.calling
        self.calling = 0.0


@dataclass(slots=True)
class Server:
    e: ServerEntry
    out: dict[tuple[str, int], float] = field(default_factory=dict)  # attempts out, oldest first
    slow: float = 1.0  # latency against the usual one
    err: float = 0.0  # recent share of errors
    answered: float = NEVER
    queue: float = 0.0  # last told
    told_at: float = NEVER
    aside: bool = False
    counted: bool = False  # its attempts out are in Servers.held
    turned: int = 0  # messages turned away since it last answered one
    trial_at: float = 0.0
    wait: float = 0.0  # until the next trial; 0 = not set aside of late
    tokens: float = 0.0  # cold budget
    tokens_at: float = NEVER
    cold: bool = True  # for all that is known
    part: float = 1.0  # the average size over its own

    def oldest(self) -> float:
        """When the oldest attempt that is out was sent."""
        return next(iter(self.out.values()), inf)

    def unheard(self) -> float:
        """The same where nothing has been answered since: one attempt that hangs does not make a server silent."""
        return at if (at := self.oldest()) > self.answered else inf

    def recent(self, late: float) -> int:
        """Attempts out that are not overdue."""
        overdue = 0
        for at in self.out.values():
            if at > late:
                break
            overdue += 1
        return len(self.out) - overdue

    def warmth(self, now: float, settings: Settings) -> float:
        """The least share of its capacity that it has by now."""
        if not self.cold:
            return 1.0
        age = (now - self.e.started) / settings.cold_time if self.e.started and settings.cold_time else 1.0
        self.cold = age < 1
        return min(1.0, settings.cold_from + (1 - settings.cold_from) * max(0.0, age)) if age < 1 else 1.0

    def kept(self, now: float, idle: float) -> bool:
        """A connection to it stands unused, for all that is known here: the last answer left one behind."""
        return now - self.answered < idle and not self.out

    def mate(self, other: Server, group: str) -> bool:
        """The other one drops a repeat of what ran here."""
        return group == "all" or (
            self.e.zone == other.e.zone if group == "zone" else self.e.cell == other.e.cell)


class Servers(dict[str, Server]):
    """The sim servers by name, with what each message would else have to look for in all of them."""

    def __init__(self) -> None:
        super().__init__()
        self.up = list[Server]()  # told as up
        self.sizes = list[float]()  # running sums of their sizes
        self.busy = dict[str, Server]()  # with attempts out
        self.apart = dict[str, Server]()  # set aside
        self.size = 1.0  # of all, on average
        self.in_use = self.held = 0  # servers up, not set aside and heard; their attempts out that are not overdue
        self.late = NEVER  # what was sent by then is overdue
        self.stale = True  # these are to be counted anew

    def told(self, whole: bool, entries: Iterable[ServerEntry]) -> None:
        """The list, `whole` or what changed in it. A server that started anew has a new record and its old attempts."""
        entries = list(entries)
        for name in self.keys() - {x.server for x in entries} if whole else ():
            self[name].e.state = "gone"
        for x in entries:
            old = self.get(x.server)
            if old is None or x.started != old.e.started:
                self[x.server] = Server(x, old.out if old else {})
            self[x.server].e = x
        for name in [name for name, s in self.items() if s.e.state == "gone" and not s.out]:
            del self[name]
        self.up = [s for s in self.values() if s.e.state == "up"]
        self.sizes = list(accumulate(max(s.e.size, 0.01) for s in self.up))
        self.busy = {name: s for name, s in self.items() if s.out}
        self.apart = {name: s for name, s in self.items() if s.aside}
        self.size, self.stale = sum(s.e.size for s in self.values()) / max(1, len(self)), True
        for s in self.values():
            s.part = self.size / max(s.e.size, 0.01)

    def count(self, late: float) -> None:
        """Attempts sent by `late` are overdue, and a server of which nothing has been heard since is not in use."""
        self.late, self.stale, self.held, self.in_use = late, False, 0, len(self.up) - self.aside_up()
        for s in self.busy.values():
            s.counted = False
            if s.e.state == "up" and not s.aside:
                s.counted = s.unheard() > late
                self.in_use -= not s.counted
                self.held += s.recent(late) if s.counted else 0

    def warm_size(self, now: float, settings: Settings) -> float:
        return sum(s.e.size for s in self.up if s.warmth(now, settings) == 1)

    def sent(self, s: Server, attempt: tuple[str, int], now: float) -> None:
        if not s.out:
            self.busy[s.e.server] = s
            s.counted = not s.aside
        s.out[attempt] = now
        self.held += s.counted

    def ended(self, s: Server, attempt: tuple[str, int]) -> None:
        at = s.out.pop(attempt, None)
        if at is not None:
            self.held -= s.counted and at > self.late
            if not s.out:
                del self.busy[s.e.server]

    def aside(self, s: Server, is_so: bool) -> None:
        s.aside, self.stale = is_so, True
        if is_so:
            self.apart[s.e.server] = s
        else:
            del self.apart[s.e.server]

    def aside_up(self) -> int:
        return sum(s.e.state == "up" for s in self.apart.values())


@dataclass(slots=True)
class Held:
    """A request in hand."""

    r: Request
    loop: Loop
    cust: Customer | None
    until: float
    tries: int = 0
    ran: float | None = None  # when the first attempt that may have run was sent
    ran_on: Server | None = None
    server: Server | None = None
    sent: float = 0.0
    out: bool = False
    bound: bool = False  # a stream flows
    ended: bool = False
    first: float = 0.0  # when the first attempt was sent
    reached: bool = False  # an attempt may have reached a server whole: the units are taken
    cost: float = 0.0  # true units, once told
    plan: str = ""  # the customer's when it was let in


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
