"""Requests of the control API: typed decoding, one table of routes, errors that name the field. No I/O.

A fault is `{"error": {"field": ..., "text": ...}}` with a 4xx, or a 5xx where the machine is at fault, and then nothing
was changed. Every call may be repeated: what was done already is answered as it was the first time."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from ..address import ConfigError, parse_address

T = TypeVar("T")
At = re.compile(r" - at `\$\.?(.*)`$")


class ApiError(Exception):
    """An answer other than 2xx."""

    def __init__(self, status: int, field: str, text: str, after: float = 0.0) -> None:
        super().__init__(text)
        self.status, self.field, self.text, self.after = status, field, text, after


@dataclass(slots=True)
class Request:
    method: str
    path: str
    query: dict[str, str]
    body: bytes
    parts: tuple[str, ...] = ()  # what stands for the {} of the route


@dataclass(slots=True)
class Reply:
    status: int
    body: bytes
    after: float = 0.0


def fault_of(error: msgspec.ValidationError) -> tuple[str, str]:
    """The field's name and what is wrong with it."""
    text = str(error)
    if found := At.search(text):
        told, at = text[: found.start()], found[1]
        if inner := re.search(r"(?:missing required|contains unknown) field `([^`]+)`", told):
            return f"{at}.{inner[1]}" if at else inner[1], "missing" if "missing" in told else "no such field"
        return at or "body", told
    if found := re.search(r"(?:missing required|contains unknown) field `([^`]+)`", text):
        return found[1], "missing" if "missing" in text else "no such field"
    return "body", text


def decode(body: bytes, kind: type[T]) -> T:
    """Raises ApiError that names the field."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as error:
        field, told = fault_of(error)
        raise ApiError(400, field, told) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ApiError(400, "body", f"not JSON: {error}") from None


class Later:
    """What a handler returns where the answer comes later; whoever serves the call says where it is to go."""

    def __init__(self) -> None:
        self.reply: Reply | None = None
        self.heard: Callable[[Reply], None] = lambda reply: None

    def answer(self, body: Any, status: int = 200) -> None:
        self._over(Reply(status, msgspec.json.encode(body) + b"\n"))

    def fail(self, error: ApiError) -> None:
        self._over(fault(error))

    def _over(self, reply: Reply) -> None:
        self.reply = reply
        self.heard(reply)


def fault(error: ApiError) -> Reply:
    shown = {"error": {"field": error.field, "text": error.text}}
    return Reply(error.status, msgspec.json.encode(shown) + b"\n", error.after)


Handler = Callable[[Request], Any]


@dataclass(slots=True)
class Routes:
    """Paths with `{}` for one part each. Each optional part of the daemon adds its own rows."""

    rows: dict[str, dict[str, Handler]] = field(default_factory=dict)

    def add(self, method: str, path: str, handler: Handler) -> None:
        self.rows.setdefault(path, {})[method] = handler

    def answer(self, method: str, target: str, body: bytes) -> Reply | Later:
        path, _, query = target.partition("?")
        try:
            found = self._find(path)
            if found is None:
                raise ApiError(404, "path", f"no {path[:100]}; there are {', '.join(sorted(self.rows))}")
            methods, parts = found
            if method not in methods:
                raise ApiError(405, "method", f"{method[:20]}: {path[:100]} takes {', '.join(sorted(methods))}")
            told = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
            answer = methods[method](Request(method, path, told, body, parts))
            if isinstance(answer, Later):
                return answer if answer.reply is None else answer.reply
            status, found_body = answer if isinstance(answer, tuple) else (200, answer)
            return Reply(status, msgspec.json.encode(found_body) + b"\n")
        except ApiError as error:
            return fault(error)

    def _find(self, path: str) -> tuple[dict[str, Handler], tuple[str, ...]] | None:
        if path in self.rows:
            return self.rows[path], ()
        parts = path.split("/")
        for pattern, methods in self.rows.items():
            wanted = pattern.split("/")
            if (
                "{}" in wanted
                and len(wanted) == len(parts)
                and all(w in ("{}", p) for w, p in zip(wanted, parts, strict=True))
            ):
                return methods, tuple(p for w, p in zip(wanted, parts, strict=True) if w == "{}")
        return None


class ReserveCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    id: str
    firm: str
    units: float
    lifetime: float  # s
    plan: str = ""  # where the book does not know the firm
    spread: int = 1
    first: int = 0


class CommitCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    units: float


class ReplayCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    seq: int = msgspec.field(name="from")


def whole(request: Request, name: str, default: int, least: int, most: int) -> int:
    text = request.query.get(name, str(default))
    if not (text.isascii() and text.isdigit() and least <= int(text[:12]) <= most):
        raise ApiError(400, name, f"{text[:40]!r} is no whole number from {least} to {most}")
    return int(text)


def plan_routes(routes: Routes, service: Any) -> None:
    """`service` is a plans.service.PlanService."""
    from ..plans.book import Change, PlanChangeError, format_firm, parse_firm

    def shown(plan: str, when: float) -> dict[str, Any] | None:
        held = service.book.find_spec(plan, when)
        if held is None:
            return None
        spec = held[1]
        return {
            "plan": plan,
            "revision": held[0],
            "rate": spec.rate,
            "burst": spec.burst,
            "open": spec.open,
            "price": spec.price,
            "over_worth": spec.over_worth,
            "over_cost": spec.over_cost,
            "ceiling_rate": spec.ceiling_rate,
            "ceiling_burst": spec.ceiling_burst,
            "ceiling_slack": spec.ceiling_slack,
        }

    def moment(request: Request) -> float:
        text = request.query.get("when", "")
        try:
            return float(text) if text else float(service.loop.clock())
        except ValueError:
            raise ApiError(400, "when", f"{text[:40]!r} is no Unix time") from None

    def plans(request: Request) -> Any:
        when = moment(request)
        return {
            "revision": service.book.revision,
            "when": when,
            "plans": [row for plan in service.book.plans if (row := shown(plan, when))],
            "firms": len(service.book.firms),
        }

    def plan(request: Request) -> Any:
        row = shown(request.parts[0], moment(request))
        if row is None:
            raise ApiError(404, "plan", f"no plan {request.parts[0][:40]!r}; there are {', '.join(service.book.plans)}")
        return row

    def firm(request: Request) -> Any:
        try:
            number = parse_firm(request.parts[0])
        except PlanChangeError as error:
            raise ApiError(error.status, error.field, error.text) from None
        name, revision = service.book.plan_of(number, moment(request))
        return {"firm": format_firm(number), "plan": name or None, "revision": revision}

    def history(request: Request) -> Any:
        try:
            changes = service.book.list_history(request.query.get("plan", ""), request.query.get("firm", ""))
        except PlanChangeError as error:
            raise ApiError(error.status, error.field, error.text) from None
        after, most = whole(request, "after", 0, 0, 1 << 40), whole(request, "most", 200, 1, 1000)
        rows = [change for change in changes if change.revision > after]
        return {
            "revision": service.book.revision,
            "withdrawn": sorted(service.book.withdrawn),
            "changes": rows[:most],
            "more": len(rows) > most,
        }

    def change(request: Request) -> Any:
        told = decode(request.body, Change)
        try:
            fresh = service.change(told)
        except PlanChangeError as error:
            raise ApiError(error.status, error.field, error.text) from None
        return 201 if fresh else 200, {"revision": told.revision, "taken": "now" if fresh else "before"}

    routes.add("GET", "/v1/plans", plans)
    routes.add("GET", "/v1/plans/{}", plan)
    routes.add("GET", "/v1/firms/{}", firm)
    routes.add("GET", "/v1/changes", history)
    routes.add("POST", "/v1/changes", change)


def reservation_routes(routes: Routes, service: Any) -> None:
    """`service` is a plans.service.ReservationService."""
    from ..plans.book import PlanChangeError, parse_firm
    from ..plans.reservations import ReservationError
    from ..plans.service import describe_reservation

    def guard(call: Callable[[], T]) -> T:
        try:
            return call()
        except (ReservationError, PlanChangeError) as error:
            raise ApiError(error.status, error.field, error.text) from None

    def listed(request: Request) -> Any:
        now = service.loop.clock()
        most = whole(request, "most", 200, 1, 10_000)
        held = service.table.list_held()
        return {
            "held": len(held),
            "units": service.table.sum_held_units(),
            "reservations": [describe_reservation(one, now) for one in held[:most]],
        }

    def reserve(request: Request) -> Any:
        told = decode(request.body, ReserveCall)
        one, after = guard(
            lambda: service.reserve(
                told.id, parse_firm(told.firm), told.plan, told.units, told.lifetime, told.spread, told.first
            )
        )
        if one is None:
            raise ApiError(429, "units", f"not within the firm's allowance now; come back in {after:.3f} s", after)
        return 201, describe_reservation(one, service.loop.clock())

    def known(request: Request) -> Any:
        one = service.table.find(request.parts[0])
        if one is None:
            raise ApiError(404, "id", f"no reservation {request.parts[0][:70]}")
        return describe_reservation(one, service.loop.clock())

    def commit(request: Request) -> Any:
        told = decode(request.body, CommitCall)
        return describe_reservation(guard(lambda: service.commit(request.parts[0], told.units)), service.loop.clock())

    def release(request: Request) -> Any:
        return describe_reservation(guard(lambda: service.release(request.parts[0])), service.loop.clock())

    routes.add("GET", "/v1/reservations", listed)
    routes.add("POST", "/v1/reservations", reserve)
    routes.add("GET", "/v1/reservations/{}", known)
    routes.add("POST", "/v1/reservations/{}/commit", commit)
    routes.add("POST", "/v1/reservations/{}/release", release)


def ledger_routes(routes: Routes, service: Any) -> None:
    """`service` is a ledger.service.LedgerService."""
    from ..ledger.store import LedgerError
    from ..ledger.upload import build_event

    def entries(request: Request) -> Any:
        first = whole(request, "from", 1, 1, 1 << 60)
        most = whole(request, "most", 100, 1, 1000)
        return {"entries": [build_event(one) for one in service.store.read_entries(first, most)]}

    def replay(request: Request) -> Any:
        told = decode(request.body, ReplayCall)
        try:
            service.replay(told.seq)
        except LedgerError as error:
            field, _, text = str(error).partition(": ")
            raise ApiError(409, field if field == "from" else "ledger", text) from None
        return service.status()

    routes.add("GET", "/v1/ledger", lambda request: service.status())
    routes.add("GET", "/v1/ledger/entries", entries)
    routes.add("POST", "/v1/ledger/replay", replay)


class GatewaysCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    serial: Annotated[int, msgspec.Meta(ge=1)]
    count: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    until: float  # s of the host's monotonic clock; the end of a count below the one it was started with
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0


class FenceCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    serial: Annotated[int, msgspec.Meta(ge=0)]


class KeyCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    step: Literal["add", "use", "remove"]
    key: str = ""  # add: base64
    mark: str = ""  # use, remove: as `status` names it


def gateway_routes(routes: Routes, service: Any) -> None:
    """`service` is a fleet.gateways.GatewaysService."""

    def hear(request: Request) -> Any:
        told = decode(request.body, GatewaysCall)
        if not service.receive_count(told.serial, told.count, told.until, told.part):
            raise ApiError(409, "serial", f"{told.serial}: a newer word was heard, {service.count_lease.serial}")
        return service.status()

    routes.add("GET", "/v1/gateways", lambda request: service.status())
    routes.add("POST", "/v1/gateways/fence", lambda request: service.fence(decode(request.body, FenceCall).serial))
    routes.add("POST", "/v1/gateways", hear)


def member_routes(routes: Routes, service: Any) -> None:
    """`service` is a members.service.DaemonMembers."""
    from ..members.keys import RingError

    def key(request: Request) -> Any:
        told = decode(request.body, KeyCall)
        try:
            return service.change_keys(told.step, told.key, told.mark)
        except RingError as error:
            raise ApiError(
                409 if told.step != "add" else 400, "mark" if told.step != "add" else "key", str(error)
            ) from None

    routes.add("GET", "/v1/members", lambda request: service.status())
    routes.add("POST", "/v1/members/keys", key)


class VoterCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    name: str
    address: str = ""  # where its membership listens; "" = it goes


def agreement_routes(routes: Routes, service: Any) -> None:
    """`service` is a consensus.service.AgreementService."""

    def change(request: Request) -> Any:
        told = decode(request.body, VoterCall)
        if told.address:
            try:
                parse_address(told.address, "address")
            except ConfigError as error:
                raise ApiError(400, "address", str(error)) from None
        if said := service.change_voter(told.name, told.address):
            raise ApiError(409, "name", said)
        return 202, service.status()

    def trust(request: Request) -> Any:
        if not service.trust_store():
            raise ApiError(409, "voter", "no voter that is unsure of its disk")
        return service.status()

    routes.add("GET", "/v1/agreement", lambda request: service.status())
    routes.add("POST", "/v1/agreement/voters", change)
    routes.add("POST", "/v1/agreement/trust", trust)


class WorkCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Servers by name, or all of a zone or a cell (`whole` = "zone:hall-a", "cell:3") as they are listed here now; or
    an ingress and its place."""

    id: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    by: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    servers: list[str] = []
    whole: Annotated[str, msgspec.Meta(pattern=r"^((zone|cell):.+)?$")] = ""
    ingress: str = ""
    place: Annotated[int, msgspec.Meta(ge=-1, le=10_000)] = -1
    zone: str = ""
    urgency: Annotated[int, msgspec.Meta(ge=0, le=9)] = 0
    deadline: float = 0.0  # Unix time; 0 = none


class ByCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    by: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]


class TokenCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    token: int


class EndedCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A process that somebody saw end, by the life that the status names."""

    life: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    name: str = ""


PATIENCE = 4.0  # s for something to be agreed: under what `control/client` waits


def once_agreed(propose: Callable[[Callable[[Any], None]], None]) -> Later:
    """What changes something agreed is answered when it is; `propose` is handed who wants the answer."""
    later = Later()

    def done(answer: Any) -> None:
        if answer is None:
            later.fail(
                ApiError(503, "agreement", f"nothing was agreed within {PATIENCE:g} s; it may be later: ask again", 1.0)
            )
        elif "error" in answer:
            later.fail(
                ApiError(404 if answer["error"].startswith("no machine") else 409, answer["field"], answer["error"])
            )
        else:
            later.answer(answer)

    propose(done)
    return later


def work_routes(routes: Routes, service: Any) -> None:
    """`service` is a maintenance.service.MaintenanceService. What changes something is answered once it is agreed."""
    from ..maintenance.permits import Ask, Begin, Command, Finish, Override, Withdraw

    def agreed(command: Command) -> Any:
        return once_agreed(lambda done: service.propose(command, done, PATIENCE))

    def ask(request: Request) -> Any:
        told = decode(request.body, WorkCall)
        if bool(told.servers) + bool(told.whole) + bool(told.ingress) != 1 or bool(told.ingress) == (told.place < 0):
            raise ApiError(400, "servers", "either servers, a whole zone or cell, or an ingress and its place")
        servers = told.servers or (service.adapter.list_group(told.whole) if told.whole else [])
        if told.whole and not servers:
            raise ApiError(404, "whole", f"no server of {told.whole} is listed here")
        return agreed(Ask(told.id, told.by, servers, told.ingress, told.place, told.zone, told.urgency, told.deadline))

    def one(request: Request) -> Any:
        job = service.permits.jobs.get(request.parts[0])
        if job is None:
            raise ApiError(404, "id", f"no machine {request.parts[0][:100]}")
        return service.permits.describe(job)

    routes.add(
        "GET",
        "/v1/work",
        lambda request: {
            "machines": [service.permits.describe(job) for job in service.permits.jobs.values()],
            "ingresses": service.permits.incarnations,
            "index": service.index,
        },
    )

    def ended(request: Request) -> Any:
        told = decode(request.body, EndedCall)
        return once_agreed(lambda done: service.remove_ended(told.name, told.life, done, PATIENCE))

    routes.add("POST", "/v1/work-ingresses/ended", ended)
    routes.add("GET", "/v1/work-plan", lambda request: {"plan": service.plan()})
    routes.add("POST", "/v1/work", ask)
    routes.add("GET", "/v1/work/{}", one)
    routes.add(
        "POST",
        "/v1/work/{}/begin",
        lambda request: agreed(Begin(request.parts[0], decode(request.body, TokenCall).token)),
    )
    routes.add(
        "POST",
        "/v1/work/{}/finish",
        lambda request: agreed(Finish(request.parts[0], decode(request.body, TokenCall).token)),
    )
    routes.add(
        "POST",
        "/v1/work/{}/withdraw",
        lambda request: agreed(Withdraw(request.parts[0], decode(request.body, ByCall).by)),
    )
    routes.add(
        "POST",
        "/v1/work/{}/override",
        lambda request: agreed(Override(request.parts[0], decode(request.body, ByCall).by)),
    )


def limit_routes(routes: Routes, service: Any) -> None:
    """`service` is a drains.service.DrainsService."""

    def ended(request: Request) -> Any:
        life = decode(request.body, EndedCall).life
        return once_agreed(lambda done: service.remove_ended(life, done, PATIENCE))

    routes.add("POST", "/v1/limits/ended", ended)
    routes.add("GET", "/v1/limits", lambda request: service.status())
    routes.add("GET", "/v1/limits/waves", lambda request: service.plan_rolling_restart())


class ConfigurationCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """On revision `base`. null takes an entry out: the file's holds again."""

    base: Annotated[int, msgspec.Meta(ge=0)]
    by: str
    plans: dict[str, Any] = {}
    firms: dict[str, str | None] = {}
    addresses: dict[str, str | None] = {}
    note: str = ""


class RevertCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    to: Annotated[int, msgspec.Meta(ge=0)]
    by: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


def configuration_routes(routes: Routes, service: Any) -> None:
    """`service` is a configuration.service.ConfigurationService. A change is answered once it holds here."""
    from ..configuration.rules import Change, ChangeError
    from ..plans.book import Figures, PlanChangeError, parse_firm

    def figures(name: str, told: Any) -> Figures | None:
        try:
            return msgspec.convert(told, Figures | None)
        except msgspec.ValidationError as error:
            field, text = fault_of(error)
            raise ApiError(400, f"plans.{name[:64]}" + ("" if field == "body" else f".{field}"), text) from None

    def agreed(call: Callable[[Callable[[Any], None]], None]) -> Later:
        try:
            return once_agreed(call)
        except ChangeError as error:
            raise ApiError(409 if error.field == "base" else 400, error.field, error.text) from None

    def change(request: Request) -> Any:
        told = decode(request.body, ConfigurationCall)
        try:
            firms = {parse_firm(firm, f"firms.{firm[:20]}"): plan for firm, plan in told.firms.items()}
        except PlanChangeError as error:
            raise ApiError(error.status, error.field, error.text) from None
        if len(firms) < len(told.firms):
            raise ApiError(400, "firms", "a firm twice")
        one = Change(
            told.base,
            told.by,
            {name: figures(name, row) for name, row in told.plans.items()},
            firms,
            told.addresses,
            told.note,
        )
        return agreed(lambda done: service.propose(one, done, PATIENCE))

    def revert(request: Request) -> Any:
        told = decode(request.body, RevertCall)
        return agreed(lambda done: service.revert(told.to, told.by, done, PATIENCE))

    def firm(request: Request) -> Any:
        try:
            return service.firm_status(request.parts[0])
        except PlanChangeError as error:
            raise ApiError(error.status, error.field, error.text) from None

    routes.add("GET", "/v1/configuration", lambda request: service.describe())
    routes.add("GET", "/v1/configuration/history", lambda request: {"revisions": service.history()})
    routes.add("GET", "/v1/configuration/firms/{}", firm)
    routes.add("POST", "/v1/configuration", change)
    routes.add("POST", "/v1/configuration/revert", revert)


def common_routes(routes: Routes, daemon: Any) -> None:
    began = time.monotonic()

    def status(request: Request) -> Any:
        parts = {
            "plans": daemon.plans,
            "reservations": daemon.reservations,
            "leases": daemon.leases,
            "ledger": daemon.ledger,
            "health": daemon.health,
            "gateways": daemon.ingress_count,
            "members": daemon.members,
            "agreement": daemon.agreement,
            "maintenance": daemon.maintenance,
            "drains": daemon.drains,
            "configuration": daemon.configuration,
        }
        return {
            "name": daemon.config.name,
            "upSeconds": round(time.monotonic() - began, 3),
            "ready": daemon.drain.is_ready(daemon.is_ready()),
            "ending": daemon.is_ending,
            "held": len(daemon.ingress.exchanges),
            "clients": len(daemon.north.clients),
            "servers": len(daemon.inventory),
            **{name: part.status() for name, part in parts.items() if part is not None},
        }

    def ready(request: Request) -> Any:
        if not daemon.is_ready() or daemon.north.is_draining:
            raise ApiError(503, "ready", "draining" if daemon.north.is_draining else "no list of servers")
        return {"ready": True}

    def drain(request: Request) -> Any:
        """/ready says no from now on; what still comes is served, until SIGTERM."""
        daemon.north.is_draining = True
        return {"draining": True, "held": len(daemon.ingress.exchanges)}

    routes.add("GET", "/v1/live", lambda request: daemon.health.status() if daemon.health is not None else {})
    routes.add("GET", "/v1/ready", ready)
    routes.add("POST", "/v1/drain", drain)
    routes.add("GET", "/v1/status", status)
    routes.add("GET", "/v1/counters", lambda request: daemon.metrics.as_dict())
