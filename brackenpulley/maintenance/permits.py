"""The agreed state of what goes out for work: commands in log order, the same on every process. No I/O.

    state     | command              | becomes
    ----------+----------------------+--------------------------------------------------------------
    (none)    | ask                  | asked
    asked     | step                 | waiting, once the fleet is known
    waiting   | step, bounds allow   | clearing, with a token greater than any before
    clearing  | said by all, or left | clear
    clearing  | override             | clear; who did it is recorded
    clear     | begin, its token     | at work
    at work   | finish, its token    | returning
    returning | step, carried load   | done
    asked, waiting | withdraw        | withdrawn
    clearing, clear | withdraw       | returning: nothing was done, and it has to carry load again
    asked, waiting | step, late      | withdrawn: its deadline has passed
    clearing, returning | step, late | stuck: an operator has to say what holds; override or withdraw
    stuck     | override             | clear where it was clearing, done where it was returning
    stuck     | withdraw             | returning where it was clearing

A command with an older token is turned away and changes nothing. Whatever is not in the table is refused with the
state that it met. Silence frees nothing: an ingress that does not answer holds a machine at clearing until it says
that it has cleared it, a new life of it enters, it leaves by its own word, or an operator overrides it by name. What
depends on time goes by that of a step's entry, the only clock that all agree on."""

from __future__ import annotations

from typing import Any

import msgspec

from .order import Bounds, Facts, Wanted, plan

ASKED, WAITING, CLEARING, CLEAR, WORK, RETURNING, DONE, WITHDRAWN, STUCK = (
    "asked",
    "waiting",
    "clearing",
    "clear",
    "at work",
    "returning",
    "done",
    "withdrawn",
    "stuck",
)
OUT = (CLEARING, CLEAR, WORK, RETURNING, STUCK)
OVER = (DONE, WITHDRAWN)
JOBS, TARGETS, KEPT = 500, 200, 200  # that are not over; servers of one; that are over and remembered
NAME = 100  # characters


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """`servers` for a host of sim servers, `place` and `name` for an ingress's. `deadline`: Unix time, 0 = none."""

    id: str
    by: str
    servers: list[str] = []
    ingress: str = ""
    place: int = -1
    zone: str = ""
    urgency: int = 0
    deadline: float = 0.0


class Withdraw(msgspec.Struct, frozen=True, array_like=True, tag="withdraw"):
    id: str
    by: str


class Begin(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    id: str
    token: int


class Finish(msgspec.Struct, frozen=True, array_like=True, tag="finish"):
    id: str
    token: int


class Override(msgspec.Struct, frozen=True, array_like=True, tag="override"):
    id: str
    by: str


class Enter(msgspec.Struct, frozen=True, array_like=True, tag="enter"):
    """An ingress serves from now on, and says so when it has cleared something. `life` is its member id."""

    name: str
    life: str


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """Its process ends: its own word, or an operator's who saw it end."""

    name: str
    life: str


class Said(msgspec.Struct, frozen=True, array_like=True, tag="said"):
    """This life gives the machine no work any more and holds none of it."""

    id: str
    token: int
    name: str
    life: str


class Step(msgspec.Struct, frozen=True, array_like=True, tag="step"):
    """Whoever leads: the fleet as it is, and the bounds."""

    facts: Facts
    bounds: Bounds
    settle: float  # s for which one that returns must have carried load
    late: float  # s after which clearing and returning are stuck
    carried: list[str] = []  # machines of those that return, that carry load


Command = Ask | Withdraw | Begin | Finish | Override | Enter | Leave | Said | Step


class Job(msgspec.Struct, array_like=True):
    id: str
    by: str
    servers: list[str]
    ingress: str
    place: int
    zone: str
    urgency: int
    deadline: float
    asked: float
    state: str = ASKED
    since: float = 0.0  # of this state
    token: int = 0
    said: list[str] = []  # lives that have cleared it
    why: str = ""  # it waits, or is stuck
    passed: int = 0
    was: str = ""  # what it was when it got stuck
    overrides: list[str] = []  # who did, and what was missing then

    def wanted(self) -> Wanted:
        return Wanted(self.id, frozenset(self.servers), self.place, self.zone, self.urgency, self.asked, self.passed)


class Dumped(msgspec.Struct, array_like=True):
    token: int = 0
    jobs: list[Job] = []
    roster: dict[str, str] = {}


_decode = msgspec.msgpack.Decoder(Command).decode
_encode = msgspec.msgpack.Encoder().encode
_dumped = msgspec.msgpack.Decoder(Dumped)


def encode(command: Command) -> bytes:
    return _encode(command)


class Permits:
    """A part of consensus/machine. Answers are {"state": ..., "token": ...} or {"error": ..., "field": ...}."""

    def __init__(self) -> None:
        self.token = 0
        self.jobs: dict[str, Job] = {}  # in the order asked
        self.roster: dict[str, str] = {}  # name of an ingress: its life

    # What it is.

    def out(self) -> list[Job]:
        return [job for job in self.jobs.values() if job.state in OUT]

    def away(self) -> dict[str, int]:
        """Servers that get no new work, and the token under which. One that returns gets work again."""
        return {
            name: job.token
            for job in self.out()
            if job.state != RETURNING and job.was != RETURNING
            for name in job.servers
        }

    def missing(self, job: Job) -> list[str]:
        """Ingresses that have not said that it is clear."""
        if job.state not in (CLEARING, STUCK) or job.was == RETURNING:
            return []
        who = (
            {job.ingress: self.roster[job.ingress]}
            if job.ingress in self.roster
            else ({} if job.ingress else self.roster)
        )
        return sorted(name for name, life in who.items() if life not in job.said)

    def row(self, job: Job) -> dict[str, Any]:
        return {
            "id": job.id,
            "state": job.state,
            "token": job.token,
            "by": job.by,
            "servers": job.servers,
            "ingress": job.ingress,
            "zone": job.zone,
            "urgency": job.urgency,
            "asked": job.asked,
            "since": job.since,
            "deadline": job.deadline,
            "why": job.why,
            "missing": self.missing(job),
            "overrides": job.overrides,
        }

    # Commands.

    def apply(self, at: float, body: bytes) -> Any:
        """Raises ValueError for what cannot be read."""
        command = _decode(body)
        if isinstance(command, Ask):
            return self._ask(at, command)
        if isinstance(command, Enter):
            return self._enter(at, command)
        if isinstance(command, Leave):
            if self.roster.get(command.name) == command.life:
                del self.roster[command.name]
                self._look(at)
            return {"left": command.name}
        if isinstance(command, Step):
            return self._step(at, command)
        job = self.jobs.get(command.id)
        if job is None:
            return {"error": f"no machine {command.id}", "field": "id"}
        if isinstance(command, Begin | Finish | Said) and command.token != job.token:
            return {"error": f"{command.token} is not the token of {job.id}, {job.token}", "field": "token"}
        if isinstance(command, Begin):
            return self._move(at, job, (CLEAR,), WORK)
        if isinstance(command, Finish):
            return self._move(at, job, (WORK,), RETURNING)
        if isinstance(command, Said):
            if self.roster.get(command.name) == command.life and command.life not in job.said:
                job.said.append(command.life)
                self._look(at)
            return self._answer(job)
        if isinstance(command, Withdraw):
            return self._withdraw(at, job)
        return self._override(at, job, command.by)

    def _ask(self, at: float, command: Ask) -> Any:
        if (old := self.jobs.get(command.id)) is not None and old.state not in OVER:
            same = (old.servers, old.ingress) == (sorted(set(command.servers)), command.ingress)
            return self._answer(old) if same else {"error": f"{command.id} is another machine", "field": "id"}
        if not 0 < len(command.id) <= NAME or bool(command.servers) == bool(command.ingress):
            return {"error": "an id, and either servers or an ingress", "field": "id"}
        if len(command.servers) > TARGETS:
            return {"error": f"{TARGETS} servers at most", "field": "servers"}
        held = {name: job.id for job in self.jobs.values() if job.state not in OVER for name in job.servers}
        if taken := next((name for name in command.servers if name in held), ""):
            return {"error": f"{taken} is of {held[taken]} already", "field": "servers"}
        if sum(job.state not in OVER for job in self.jobs.values()) >= JOBS:
            return {"error": f"{JOBS} machines at most", "field": "id"}
        self.jobs.pop(command.id, None)
        self.jobs[command.id] = job = Job(
            command.id,
            command.by,
            sorted(set(command.servers)),
            command.ingress,
            command.place,
            command.zone,
            command.urgency,
            command.deadline,
            at,
            since=at,
        )
        return self._answer(job)

    def _enter(self, at: float, command: Enter) -> Any:
        """A new life under the name holds the address of the old one, which is over: it clears for itself."""
        if self.roster.get(command.name) != command.life:
            self.roster[command.name] = command.life
            self._look(at)
        return {"entered": command.name}

    def _withdraw(self, at: float, job: Job) -> Any:
        if job.state in (ASKED, WAITING):
            return self._to(at, job, WITHDRAWN)
        if job.state == STUCK and job.was == CLEARING:
            return self._to(at, job, RETURNING)
        return self._move(at, job, (CLEARING, CLEAR), RETURNING)

    def _override(self, at: float, job: Job, by: str) -> Any:
        if job.state != CLEARING and job.state != STUCK:
            return {"error": f"{job.id} is {job.state}", "field": "state"}
        job.overrides.append(f"{by} at {at:.3f}: {', '.join(self.missing(job)) or job.was or job.state}")
        return self._to(at, job, DONE if job.was == RETURNING else CLEAR)

    def _step(self, at: float, command: Step) -> Any:
        for job in list(self.jobs.values()):
            late = at - job.since > command.late
            if job.state in (ASKED, WAITING) and 0 < job.deadline < at:
                self._to(at, job, WITHDRAWN)
                job.why = "its deadline has passed"
            elif job.state == ASKED and (command.facts.servers or job.ingress):
                self._to(at, job, WAITING)
            elif job.state == RETURNING and job.id in command.carried and at - job.since >= command.settle:
                self._to(at, job, DONE)
            elif job.state in (CLEARING, RETURNING) and late:
                job.was, missing = job.state, self.missing(job)
                self._to(at, job, STUCK)
                job.why = f"no word of {', '.join(missing)}" if missing else "it does not carry load"
        waiting = [job for job in self.jobs.values() if job.state == WAITING]
        out = [job.wanted() for job in self.out()]
        granted = []
        rows = plan([job.wanted() for job in waiting], out, command.facts, command.bounds)
        for one, why in rows:
            job = self.jobs[one.id]
            job.why = why
            if not why:
                self.token += 1
                job.token, job.said = self.token, []
                granted.append(job.id)
                self._to(at, job, CLEARING)
        for at_row, (one, why) in enumerate(rows):
            if why and any(not later for _, later in rows[at_row + 1 :]):
                self.jobs[one.id].passed += 1
        self._look(at)
        self._forget()
        return {"granted": granted}

    def _look(self, at: float) -> None:
        """What all have said is clear, is."""
        for job in self.jobs.values():
            if (job.state == CLEARING or job.state == STUCK and job.was == CLEARING) and not self.missing(job):
                self._to(at, job, CLEAR)

    def _forget(self) -> None:
        over = [job for job in self.jobs.values() if job.state in OVER]
        for job in sorted(over, key=lambda job: job.since)[:-KEPT]:
            del self.jobs[job.id]

    def _move(self, at: float, job: Job, before: tuple[str, ...], after: str) -> Any:
        if job.state == after:
            return self._answer(job)  # asked twice
        if job.state not in before:
            return {"error": f"{job.id} is {job.state}", "field": "state"}
        return self._to(at, job, after)

    def _to(self, at: float, job: Job, state: str) -> Any:
        job.state, job.since, job.why = state, at, ""
        if state != STUCK:
            job.was = ""
        return self._answer(job)

    def _answer(self, job: Job) -> dict[str, Any]:
        return {"state": job.state, "token": job.token}

    # Kept in snapshots.

    def dump(self) -> Any:
        return msgspec.msgpack.decode(_encode(Dumped(self.token, list(self.jobs.values()), self.roster)))

    def load(self, dumped: Any) -> None:
        told = _dumped.decode(_encode(dumped)) if dumped else Dumped()
        self.token, self.roster = told.token, dict(told.roster)
        self.jobs = {job.id: job for job in told.jobs}
