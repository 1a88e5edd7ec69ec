"""Replicated state of machines in maintenance: permits to take them out of service. No I/O.

`Permits` is a part of the state machine in consensus/machine: commands are applied in log order, with the same result
on every process.

    state     | command              | next state
    ----------+----------------------+--------------------------------------------------------------
    (none)    | ask                  | asked
    asked     | step                 | waiting, once the state of the fleet is known
    waiting   | step, bounds allow   | clearing, with a token greater than any before
    clearing  | said by all, or left | clear
    clearing  | override             | clear; the operator's name is recorded
    clear     | begin, its token     | at work
    at work   | finish, its token    | returning
    returning | step, carried load   | done
    asked, waiting | withdraw        | withdrawn
    clearing, clear | withdraw       | returning: no work was done, but it has to carry load again
    asked, waiting | step, late      | withdrawn: its deadline has passed
    clearing, returning | step, late | stuck: an operator has to decide by override or withdraw
    stuck     | override             | clear if it was clearing, done if it was returning
    stuck     | withdraw             | returning if it was clearing

A command with an older token is refused and changes nothing. Any combination that the table does not list is refused
with an error that names the present state. A timeout frees nothing: an ingress that does not answer keeps a machine in
clearing until it confirms that it has cleared the machine, a new incarnation of it enters, it leaves, or an operator
overrides it by name. Whatever depends on time uses the time of the step's log entry, the only clock that all processes
agree on.

Answers and reasons are part of the snapshots of the state machine, so every process must give the same texts."""

from __future__ import annotations

from typing import Any

import msgspec

from .order import Bounds, Candidate, FleetState, plan

ASKED = "asked"
WAITING = "waiting"
CLEARING = "clearing"
CLEAR = "clear"
AT_WORK = "at work"
RETURNING = "returning"
DONE = "done"
WITHDRAWN = "withdrawn"
STUCK = "stuck"
OUT_STATES = (CLEARING, CLEAR, AT_WORK, RETURNING, STUCK)
FINAL_STATES = (DONE, WITHDRAWN)
MAX_JOBS = 500  # that are not in a final state
MAX_SERVERS = 200  # of one job
MAX_FINAL_JOBS = 200  # that are kept in a final state, for queries
MAX_ID_CHARACTERS = 100


class Ask(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Asks for a permit, for the `servers` of a machine or for the `ingress` at a `place`.

    `deadline` is a Unix time in seconds, 0 = none."""

    id: str
    by: str
    servers: list[str] = []
    ingress: str = ""
    place: int = -1
    zone: str = ""
    urgency: int = 0
    deadline: float = 0.0


class Withdraw(msgspec.Struct, frozen=True, array_like=True, tag="withdraw"):
    """Withdraws a job, or cancels its permit before work has begun."""

    id: str
    by: str


class Begin(msgspec.Struct, frozen=True, array_like=True, tag="begin"):
    """Reports that work on the machine begins."""

    id: str
    token: int


class Finish(msgspec.Struct, frozen=True, array_like=True, tag="finish"):
    """Reports that work on the machine is finished."""

    id: str
    token: int


class Override(msgspec.Struct, frozen=True, array_like=True, tag="override"):
    """Declares on an operator's word that a machine is clear or has returned."""

    id: str
    by: str


class Enter(msgspec.Struct, frozen=True, array_like=True, tag="enter"):
    """Registers an ingress that serves, which from now on must confirm that it has cleared a machine.

    `incarnation` is its member id."""

    name: str
    incarnation: str


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """Removes an ingress whose process ends; sent by itself, or for an operator who saw it end."""

    name: str
    incarnation: str


class Cleared(msgspec.Struct, frozen=True, array_like=True, tag="said"):
    """Confirms that an ingress gives the machine no more work and has none in flight there."""

    id: str
    token: int
    name: str
    incarnation: str


class Step(msgspec.Struct, frozen=True, array_like=True, tag="step"):
    """Sent by the leader: grants permits and moves jobs on, given the state of the fleet and the bounds."""

    fleet: FleetState
    bounds: Bounds
    settle_seconds: float  # time in state returning before a machine that carries load is done
    stuck_after_seconds: float  # time in clearing or returning after which a job is stuck
    carrying_load: list[str] = []  # ids of returning jobs whose machine carries load


Command = Ask | Withdraw | Begin | Finish | Override | Enter | Leave | Cleared | Step


class Job(msgspec.Struct, array_like=True):
    """A machine that is to be taken out of service, and how far that is."""

    id: str
    by: str
    servers: list[str]
    ingress: str
    place: int
    zone: str
    urgency: int
    deadline: float
    requested_at: float
    state: str = ASKED
    state_since: float = 0.0
    token: int = 0
    cleared_by: list[str] = []  # incarnations that have cleared it
    reason: str = ""  # why it waits, is stuck or was withdrawn
    times_passed: int = 0  # in the order of permits
    stuck_from: str = ""  # state in which it got stuck
    overrides: list[str] = []  # operator, time, and which ingresses had not confirmed

    def to_candidate(self) -> Candidate:
        """Return what the order of permits depends on."""
        return Candidate(
            self.id, frozenset(self.servers), self.place, self.zone, self.urgency, self.requested_at, self.times_passed
        )


class PermitsSnapshot(msgspec.Struct, array_like=True):
    """The state of `Permits` as stored in snapshots."""

    token: int = 0
    jobs: list[Job] = []
    incarnations: dict[str, str] = {}


_decode = msgspec.msgpack.Decoder(Command).decode
_encode = msgspec.msgpack.Encoder().encode
_snapshot_decoder = msgspec.msgpack.Decoder(PermitsSnapshot)


def encode(command: Command) -> bytes:
    """Encode a command for the log."""
    return _encode(command)


class Permits:
    """Jobs and permits, and the ingresses that must confirm each permit.

    Answers to commands are {"state": ..., "token": ...} or {"error": ..., "field": ...}."""

    def __init__(self) -> None:
        self.token = 0
        self.jobs: dict[str, Job] = {}  # by id, in the order requested
        self.incarnations: dict[str, str] = {}  # name of an ingress: its incarnation

    # Queries.

    def list_out(self) -> list[Job]:
        """Return the jobs whose machine is out of service or about to be."""
        return [job for job in self.jobs.values() if job.state in OUT_STATES]

    def list_cordoned(self) -> dict[str, int]:
        """Return the servers that get no new work, with the token of their job. Returning ones get work again."""
        return {
            name: job.token
            for job in self.list_out()
            if job.state != RETURNING and job.stuck_from != RETURNING
            for name in job.servers
        }

    def list_unconfirmed(self, job: Job) -> list[str]:
        """Return the names of the ingresses that have not confirmed that they have cleared the machine."""
        if job.state not in (CLEARING, STUCK) or job.stuck_from == RETURNING:
            return []
        required = (
            {job.ingress: self.incarnations[job.ingress]}
            if job.ingress in self.incarnations
            else ({} if job.ingress else self.incarnations)
        )
        return sorted(name for name, incarnation in required.items() if incarnation not in job.cleared_by)

    def describe(self, job: Job) -> dict[str, Any]:
        """Return a job as shown by the control API."""
        return {
            "id": job.id,
            "state": job.state,
            "token": job.token,
            "by": job.by,
            "servers": job.servers,
            "ingress": job.ingress,
            "zone": job.zone,
            "urgency": job.urgency,
            "asked": job.requested_at,
            "since": job.state_since,
            "deadline": job.deadline,
            "why": job.reason,
            "missing": self.list_unconfirmed(job),
            "overrides": job.overrides,
        }

    # Commands.

    def apply(self, at: float, body: bytes) -> Any:
        """Apply an encoded command and return its answer. Raises ValueError if the command cannot be decoded."""
        command = _decode(body)
        if isinstance(command, Ask):
            return self._ask(at, command)
        if isinstance(command, Enter):
            return self._enter(at, command)
        if isinstance(command, Leave):
            if self.incarnations.get(command.name) == command.incarnation:
                del self.incarnations[command.name]
                self._clear_confirmed(at)
            return {"left": command.name}
        if isinstance(command, Step):
            return self._step(at, command)
        job = self.jobs.get(command.id)
        if job is None:
            return {"error": f"no machine {command.id}", "field": "id"}
        if isinstance(command, Begin | Finish | Cleared) and command.token != job.token:
            return {"error": f"{command.token} is not the token of {job.id}, {job.token}", "field": "token"}
        if isinstance(command, Begin):
            return self._transition(at, job, (CLEAR,), AT_WORK)
        if isinstance(command, Finish):
            return self._transition(at, job, (AT_WORK,), RETURNING)
        if isinstance(command, Cleared):
            if self.incarnations.get(command.name) == command.incarnation and command.incarnation not in job.cleared_by:
                job.cleared_by.append(command.incarnation)
                self._clear_confirmed(at)
            return self._make_answer(job)
        if isinstance(command, Withdraw):
            return self._withdraw(at, job)
        return self._override(at, job, command.by)

    def _ask(self, at: float, command: Ask) -> Any:
        if (existing := self.jobs.get(command.id)) is not None and existing.state not in FINAL_STATES:
            is_same = (existing.servers, existing.ingress) == (sorted(set(command.servers)), command.ingress)
            return (
                self._make_answer(existing) if is_same else {"error": f"{command.id} is another machine", "field": "id"}
            )
        if not 0 < len(command.id) <= MAX_ID_CHARACTERS or bool(command.servers) == bool(command.ingress):
            return {"error": "an id, and either servers or an ingress", "field": "id"}
        if len(command.servers) > MAX_SERVERS:
            return {"error": f"{MAX_SERVERS} servers at most", "field": "servers"}
        owners = {name: job.id for job in self.jobs.values() if job.state not in FINAL_STATES for name in job.servers}
        if taken := next((name for name in command.servers if name in owners), ""):
            return {"error": f"{taken} is of {owners[taken]} already", "field": "servers"}
        if sum(job.state not in FINAL_STATES for job in self.jobs.values()) >= MAX_JOBS:
            return {"error": f"{MAX_JOBS} machines at most", "field": "id"}
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
            state_since=at,
        )
        return self._make_answer(job)

    def _enter(self, at: float, command: Enter) -> Any:
        """Replace the incarnation of an ingress; the old one has ended, as the new one has its address."""
        if self.incarnations.get(command.name) != command.incarnation:
            self.incarnations[command.name] = command.incarnation
            self._clear_confirmed(at)
        return {"entered": command.name}

    def _withdraw(self, at: float, job: Job) -> Any:
        if job.state in (ASKED, WAITING):
            return self._set_state(at, job, WITHDRAWN)
        if job.state == STUCK and job.stuck_from == CLEARING:
            return self._set_state(at, job, RETURNING)
        return self._transition(at, job, (CLEARING, CLEAR), RETURNING)

    def _override(self, at: float, job: Job, by: str) -> Any:
        if job.state != CLEARING and job.state != STUCK:
            return {"error": f"{job.id} is {job.state}", "field": "state"}
        job.overrides.append(
            f"{by} at {at:.3f}: {', '.join(self.list_unconfirmed(job)) or job.stuck_from or job.state}"
        )
        return self._set_state(at, job, DONE if job.stuck_from == RETURNING else CLEAR)

    def _step(self, at: float, command: Step) -> Any:
        for job in list(self.jobs.values()):
            is_late = at - job.state_since > command.stuck_after_seconds
            if job.state in (ASKED, WAITING) and 0 < job.deadline < at:
                self._set_state(at, job, WITHDRAWN)
                job.reason = "its deadline has passed"
            elif job.state == ASKED and (command.fleet.servers or job.ingress):
                self._set_state(at, job, WAITING)
            elif (
                job.state == RETURNING
                and job.id in command.carrying_load
                and at - job.state_since >= command.settle_seconds
            ):
                self._set_state(at, job, DONE)
            elif job.state in (CLEARING, RETURNING) and is_late:
                job.stuck_from, unconfirmed = job.state, self.list_unconfirmed(job)
                self._set_state(at, job, STUCK)
                job.reason = f"no word of {', '.join(unconfirmed)}" if unconfirmed else "it does not carry load"
        waiting = [job for job in self.jobs.values() if job.state == WAITING]
        out = [job.to_candidate() for job in self.list_out()]
        granted = []
        planned = plan([job.to_candidate() for job in waiting], out, command.fleet, command.bounds)
        for candidate, reason in planned:
            job = self.jobs[candidate.id]
            job.reason = reason
            if not reason:
                self.token += 1
                job.token, job.cleared_by = self.token, []
                granted.append(job.id)
                self._set_state(at, job, CLEARING)
        for index, (candidate, reason) in enumerate(planned):
            if reason and any(not later for _, later in planned[index + 1 :]):
                self.jobs[candidate.id].times_passed += 1
        self._clear_confirmed(at)
        self._drop_old_jobs()
        return {"granted": granted}

    def _clear_confirmed(self, at: float) -> None:
        """Move jobs that every ingress has confirmed from clearing to clear."""
        for job in self.jobs.values():
            if (
                job.state == CLEARING or job.state == STUCK and job.stuck_from == CLEARING
            ) and not self.list_unconfirmed(job):
                self._set_state(at, job, CLEAR)

    def _drop_old_jobs(self) -> None:
        final = [job for job in self.jobs.values() if job.state in FINAL_STATES]
        for job in sorted(final, key=lambda job: job.state_since)[:-MAX_FINAL_JOBS]:
            del self.jobs[job.id]

    def _transition(self, at: float, job: Job, before: tuple[str, ...], after: str) -> Any:
        if job.state == after:
            return self._make_answer(job)  # the same command sent twice
        if job.state not in before:
            return {"error": f"{job.id} is {job.state}", "field": "state"}
        return self._set_state(at, job, after)

    def _set_state(self, at: float, job: Job, state: str) -> Any:
        job.state, job.state_since, job.reason = state, at, ""
        if state != STUCK:
            job.stuck_from = ""
        return self._make_answer(job)

    def _make_answer(self, job: Job) -> dict[str, Any]:
        return {"state": job.state, "token": job.token}

    # Snapshots.

    def dump(self) -> Any:
        """Return the state as plain values for a snapshot."""
        return msgspec.msgpack.decode(_encode(PermitsSnapshot(self.token, list(self.jobs.values()), self.incarnations)))

    def load(self, dumped: Any) -> None:
        """Replace the state by that of a snapshot; by an empty state if `dumped` is empty."""
        snapshot = _snapshot_decoder.decode(_encode(dumped)) if dumped else PermitsSnapshot()
        self.token, self.incarnations = snapshot.token, dict(snapshot.incarnations)
        self.jobs = {job.id: job for job in snapshot.jobs}
