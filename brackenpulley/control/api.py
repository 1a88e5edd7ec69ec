"""Requests of the control API: typed decoding, a table of routes, and errors that name the field. No I/O.

An error is `{"error": {"field": ..., "text": ...}}` with a 4xx status, or a 5xx where the host or the daemon is the
cause; then nothing was changed. Every call is idempotent: a repeated one gets the reply of the first."""

from __future__ import annotations

import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from ..address import ConfigError, parse_address

T = TypeVar("T")
ERROR_LOCATION = re.compile(r" - at `\$\.?(.*)`$")


class ApiError(Exception):
    """An error reply: its status, the field at fault, a text, and the seconds for Retry-After (0 = no header)."""

    def __init__(self, status: int, field: str, text: str, after: float = 0.0) -> None:
        super().__init__(text)
        self.status, self.field, self.text, self.after = status, field, text, after


NO_CONTENT = 204  # status of a reply without a body


@dataclass(slots=True)
class Request:
    """A request to a route: method, path, query parameters and undecoded body."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    parts: tuple[str, ...] = ()  # path segments that matched a {} of the route


@dataclass(slots=True)
class Reply:
    """An encoded reply. `after` is the Retry-After time in seconds, 0 for none."""

    status: int
    body: bytes
    after: float = 0.0


def locate_error(error: msgspec.ValidationError) -> tuple[str, str]:
    """Returns the name of the invalid field and what is wrong with it."""
    text = str(error)
    if found := ERROR_LOCATION.search(text):
        message, location = text[: found.start()], found[1]
        if inner := re.search(r"(?:missing required|contains unknown) field `([^`]+)`", message):
            return f"{location}.{inner[1]}" if location else inner[
                1
            ], "missing" if "missing" in message else "no such field"
        return location or "body", message
    if found := re.search(r"(?:missing required|contains unknown) field `([^`]+)`", text):
        return found[1], "missing" if "missing" in text else "no such field"
    return "body", text


def decode(body: bytes, kind: type[T]) -> T:
    """Decodes a JSON body as this type. Raises ApiError with the name of the invalid field."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as error:
        field, message = locate_error(error)
        raise ApiError(400, field, message) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ApiError(400, "body", f"not JSON: {error}") from None


class PendingReply:
    """A reply that is not known yet: a handler returns it, and the server sets `on_reply` as its callback."""

    def __init__(self) -> None:
        self.reply: Reply | None = None
        self.on_reply: Callable[[Reply], None] = lambda reply: None

    def answer(self, body: Any, status: int = 200) -> None:
        """Completes it with a JSON body."""
        self._complete(Reply(status, msgspec.json.encode(body) + b"\n"))

    def fail(self, error: ApiError) -> None:
        """Completes it with an error."""
        self._complete(error_reply(error))

    def _complete(self, reply: Reply) -> None:
        self.reply = reply
        self.on_reply(reply)


def error_reply(error: ApiError) -> Reply:
    """Encodes an error as a reply."""
    content = {"error": {"field": error.field, "text": error.text}}
    return Reply(error.status, msgspec.json.encode(content) + b"\n", error.after)


Handler = Callable[[Request], Any]


@dataclass(slots=True)
class Routes:
    """Handlers by path and method; `{}` in a path matches one segment. Optional parts of the daemon add theirs."""

    rows: dict[str, dict[str, Handler]] = field(default_factory=dict)

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Registers the handler of a method and path."""
        self.rows.setdefault(path, {})[method] = handler

    def answer(self, method: str, target: str, body: bytes) -> Reply | PendingReply:
        """Calls the handler of a request; an ApiError, also for an unknown path or method, becomes an error reply."""
        path, _, query = target.partition("?")
        try:
            found = self._find(path)
            if found is None:
                raise ApiError(404, "path", f"no {path[:100]}; there are {', '.join(sorted(self.rows))}")
            methods, parts = found
            if method not in methods:
                raise ApiError(405, "method", f"{method[:20]}: {path[:100]} takes {', '.join(sorted(methods))}")
            parameters = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
            answer = methods[method](Request(method, path, parameters, body, parts))
            if isinstance(answer, PendingReply):
                return answer if answer.reply is None else answer.reply
            status, content = answer if isinstance(answer, tuple) else (200, answer)
            if status == NO_CONTENT:
                return Reply(status, b"")
            return Reply(status, msgspec.json.encode(content) + b"\n")
        except ApiError as error:
            return error_reply(error)

    def _find(self, path: str) -> tuple[dict[str, Handler], tuple[str, ...]] | None:
        if path in self.rows:
            return self.rows[path], ()
        parts = path.split("/")
        for pattern, methods in self.rows.items():
            segments = pattern.split("/")
            if (
                "{}" in segments
                and len(segments) == len(parts)
                and all(w in ("{}", p) for w, p in zip(segments, parts, strict=True))
            ):
                return methods, tuple(p for w, p in zip(segments, parts, strict=True) if w == "{}")
        return None


class ReserveCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /v1/reservations."""

    id: str
    firm: str
    units: float
    lifetime: float  # s
    plan: str = ""  # plan of the firm if the plan book does not list it
    spread: int = 1
    first: int = 0


class CommitCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /v1/reservations/{}/commit."""

    units: float


class ReplayCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /v1/ledger/replay."""

    seq: int = msgspec.field(name="from")


def parse_int(request: Request, name: str, default: int, least: int, most: int) -> int:
    """Returns a whole number from the query. Raises ApiError unless it is from `least` to `most`."""
    text = request.query.get(name, str(default))
    if not (text.isascii() and text.isdigit() and least <= int(text[:12]) <= most):
        raise ApiError(400, name, f"{text[:40]!r} is not a whole number from {least} to {most}")
    return int(text)


def plan_routes(routes: Routes, service: Any) -> None:
    """Adds the routes of the plan book. `service` is a plans.service.PlanService."""
    from ..plans.book import Change, PlanChangeError, format_firm, parse_firm

    def plan_row(plan: str, when: float) -> dict[str, Any] | None:
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

    def parse_when(request: Request) -> float:
        text = request.query.get("when", "")
        try:
            return float(text) if text else float(service.loop.clock())
        except ValueError:
            raise ApiError(400, "when", f"{text[:40]!r} is not a Unix time") from None

    def list_plans(request: Request) -> Any:
        when = parse_when(request)
        return {
            "revision": service.book.revision,
            "when": when,
            "plans": [row for plan in service.book.plans if (row := plan_row(plan, when))],
            "firms": len(service.book.firms),
        }

    def show_plan(request: Request) -> Any:
        row = plan_row(request.parts[0], parse_when(request))
        if row is None:
            raise ApiError(404, "plan", f"no plan {request.parts[0][:40]!r}; there are {', '.join(service.book.plans)}")
        return row

    def show_firm(request: Request) -> Any:
        try:
            number = parse_firm(request.parts[0])
        except PlanChangeError as error:
            raise ApiError(error.status, error.field, error.text) from None
        name, revision = service.book.plan_of(number, parse_when(request))
        return {"firm": format_firm(number), "plan": name or None, "revision": revision}

    def list_changes(request: Request) -> Any:
        try:
            changes = service.book.list_history(request.query.get("plan", ""), request.query.get("firm", ""))
        except PlanChangeError as error:
            raise ApiError(error.status, error.field, error.text) from None
        after, most = parse_int(request, "after", 0, 0, 1 << 40), parse_int(request, "most", 200, 1, 1000)
        rows = [change for change in changes if change.revision > after]
        return {
            "revision": service.book.revision,
            "withdrawn": sorted(service.book.withdrawn),
            "changes": rows[:most],
            "more": len(rows) > most,
        }

    def change(request: Request) -> Any:
        call = decode(request.body, Change)
        try:
            is_new = service.change(call, is_history=request.query.get("history") == "1")
        except PlanChangeError as error:
            raise ApiError(error.status, error.field, error.text) from None
        return 201 if is_new else 200, {"revision": call.revision, "taken": "now" if is_new else "before"}

    routes.add("GET", "/v1/plans", list_plans)
    routes.add("GET", "/v1/plans/{}", show_plan)
    routes.add("GET", "/v1/firms/{}", show_firm)
    routes.add("GET", "/v1/changes", list_changes)
    routes.add("POST", "/v1/changes", change)


def reservation_routes(routes: Routes, service: Any) -> None:
    """Adds the routes of the reservations. `service` is a plans.service.ReservationService."""
    from ..plans.book import PlanChangeError, parse_firm
    from ..plans.reservations import ReservationError
    from ..plans.service import describe_reservation

    def guard(call: Callable[[], T]) -> T:
        try:
            return call()
        except (ReservationError, PlanChangeError) as error:
            raise ApiError(error.status, error.field, error.text) from None

    def list_held(request: Request) -> Any:
        now = service.loop.clock()
        most = parse_int(request, "most", 200, 1, 10_000)
        held = service.table.list_held()
        return {
            "held": len(held),
            "units": service.table.sum_held_units(),
            "reservations": [describe_reservation(reservation, now) for reservation in held[:most]],
        }

    def reserve(request: Request) -> Any:
        call = decode(request.body, ReserveCall)
        reservation, after = guard(
            lambda: service.reserve(
                call.id, parse_firm(call.firm), call.plan, call.units, call.lifetime, call.spread, call.first
            )
        )
        if reservation is None:
            raise ApiError(429, "units", f"not within the firm's allowance now; retry in {after:.3f} s", after)
        return 201, describe_reservation(reservation, service.loop.clock())

    def show_reservation(request: Request) -> Any:
        reservation = service.table.find(request.parts[0])
        if reservation is None:
            raise ApiError(404, "id", f"no reservation {request.parts[0][:70]}")
        return describe_reservation(reservation, service.loop.clock())

    def commit(request: Request) -> Any:
        call = decode(request.body, CommitCall)
        return describe_reservation(guard(lambda: service.commit(request.parts[0], call.units)), service.loop.clock())

    def release(request: Request) -> Any:
        return describe_reservation(guard(lambda: service.release(request.parts[0])), service.loop.clock())

    routes.add("GET", "/v1/reservations", list_held)
    routes.add("POST", "/v1/reservations", reserve)
    routes.add("GET", "/v1/reservations/{}", show_reservation)
    routes.add("POST", "/v1/reservations/{}/commit", commit)
    routes.add("POST", "/v1/reservations/{}/release", release)


def ledger_routes(routes: Routes, service: Any) -> None:
    """Adds the routes of the ledger. `service` is a ledger.service.LedgerService."""
    from ..ledger.store import LedgerError
    from ..ledger.upload import build_event

    def list_entries(request: Request) -> Any:
        first = parse_int(request, "from", 1, 1, 1 << 60)
        most = parse_int(request, "most", 100, 1, 1000)
        return {"entries": [build_event(entry) for entry in service.store.read_entries(first, most)]}

    def replay(request: Request) -> Any:
        call = decode(request.body, ReplayCall)
        try:
            service.replay(call.seq)
        except LedgerError as error:
            field, _, text = str(error).partition(": ")
            raise ApiError(409, field if field == "from" else "ledger", text) from None
        return service.status()

    routes.add("GET", "/v1/ledger", lambda request: service.status())
    routes.add("GET", "/v1/ledger/entries", list_entries)
    routes.add("POST", "/v1/ledger/replay", replay)


class GatewaysCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /v1/gateways: the number of ingresses that share the quotas."""

    serial: Annotated[int, msgspec.Meta(ge=1)]
    count: Annotated[int, msgspec.Meta(ge=1, le=100_000)]
    until: float  # s of the host's monotonic clock until which a count below the initial one is valid
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0


class FenceCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /v1/gateways/fence."""

    serial: Annotated[int, msgspec.Meta(ge=0)]


class KeyCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /v1/members/keys: one step of a key rotation."""

    step: Literal["add", "use", "remove"]
    key: str = ""  # add: base64
    mark: str = ""  # use, remove: as `status` names it


def gateway_routes(routes: Routes, service: Any) -> None:
    """Adds the routes of the ingress count. `service` is a fleet.gateways.GatewaysService."""

    def set_count(request: Request) -> Any:
        call = decode(request.body, GatewaysCall)
        if not service.receive_count(call.serial, call.count, call.until, call.part):
            raise ApiError(
                409, "serial", f"{call.serial}: a newer count was received, serial {service.count_lease.serial}"
            )
        return service.status()

    routes.add("GET", "/v1/gateways", lambda request: service.status())
    routes.add("POST", "/v1/gateways/fence", lambda request: service.fence(decode(request.body, FenceCall).serial))
    routes.add("POST", "/v1/gateways", set_count)


def member_routes(routes: Routes, service: Any) -> None:
    """Adds the routes of the membership. `service` is a members.service.DaemonMembers."""
    from ..members.keys import RingError

    def rotate_key(request: Request) -> Any:
        call = decode(request.body, KeyCall)
        try:
            return service.change_keys(call.step, call.key, call.mark)
        except RingError as error:
            raise ApiError(
                409 if call.step != "add" else 400, "mark" if call.step != "add" else "key", str(error)
            ) from None

    routes.add("GET", "/v1/members", lambda request: service.status())
    routes.add("POST", "/v1/members/keys", rotate_key)


class VoterCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /v1/agreement/voters."""

    name: str
    address: str = ""  # where its membership listens; "" removes the voter


def agreement_routes(routes: Routes, service: Any) -> None:
    """Adds the routes of the consensus group. `service` is a consensus.service.AgreementService."""

    def change(request: Request) -> Any:
        call = decode(request.body, VoterCall)
        if call.address:
            try:
                parse_address(call.address, "address")
            except ConfigError as error:
                raise ApiError(400, "address", str(error)) from None
        if reason := service.change_voter(call.name, call.address):
            raise ApiError(409, "name", reason)
        return 202, service.status()

    def trust(request: Request) -> Any:
        if not service.trust_store():
            raise ApiError(409, "voter", "no voter waits for its disk to be trusted")
        return service.status()

    routes.add("GET", "/v1/agreement", lambda request: service.status())
    routes.add("POST", "/v1/agreement/voters", change)
    routes.add("POST", "/v1/agreement/trust", trust)


class WorkCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /v1/work: servers by name, all listed servers of a zone or cell (`whole` = "zone:hall-a", "cell:3"),
    or an ingress and its place."""

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
    """Body of the calls that withdraw or override a work item: who asks for it."""

    by: Annotated[str, msgspec.Meta(min_length=1, max_length=100)]


class TokenCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the calls that begin or finish a work item: its token."""

    token: int


class EndedCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the calls that report an ended process, by its `life` from the status."""

    life: Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    name: str = ""


AGREEMENT_TIMEOUT_SECONDS = 4.0  # below the timeout of `control.client`, so that the caller gets a reply


def once_agreed(propose: Callable[[Callable[[Any], None]], None]) -> PendingReply:
    """Calls `propose` with a callback and returns a reply that is completed by it, or by its timeout."""
    pending = PendingReply()

    def done(answer: Any) -> None:
        if answer is None:
            pending.fail(
                ApiError(
                    503,
                    "agreement",
                    f"nothing was agreed within {AGREEMENT_TIMEOUT_SECONDS:g} s; it may be later: ask again",
                    1.0,
                )
            )
        elif "error" in answer:
            pending.fail(
                ApiError(404 if answer["error"].startswith("no machine") else 409, answer["field"], answer["error"])
            )
        else:
            pending.answer(answer)

    propose(done)
    return pending


def work_routes(routes: Routes, service: Any) -> None:
    """Adds the routes of maintenance work. `service` is a maintenance.service.MaintenanceService.

    A call that changes something is answered once the change is agreed."""
    from ..maintenance.permits import Ask, Begin, Command, Finish, Override, Withdraw

    def agreed(command: Command) -> Any:
        return once_agreed(lambda done: service.propose(command, done, AGREEMENT_TIMEOUT_SECONDS))

    def request_work(request: Request) -> Any:
        call = decode(request.body, WorkCall)
        if bool(call.servers) + bool(call.whole) + bool(call.ingress) != 1 or bool(call.ingress) == (call.place < 0):
            raise ApiError(400, "servers", "either servers, a whole zone or cell, or an ingress and its place")
        servers = call.servers or (service.adapter.list_group(call.whole) if call.whole else [])
        if call.whole and not servers:
            raise ApiError(404, "whole", f"no server of {call.whole} is listed here")
        return agreed(Ask(call.id, call.by, servers, call.ingress, call.place, call.zone, call.urgency, call.deadline))

    def show_work(request: Request) -> Any:
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

    def report_ended(request: Request) -> Any:
        call = decode(request.body, EndedCall)
        return once_agreed(lambda done: service.remove_ended(call.name, call.life, done, AGREEMENT_TIMEOUT_SECONDS))

    routes.add("POST", "/v1/work-ingresses/ended", report_ended)
    routes.add("GET", "/v1/work-plan", lambda request: {"plan": service.plan()})
    routes.add("POST", "/v1/work", request_work)
    routes.add("GET", "/v1/work/{}", show_work)
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
    """Adds the routes of the connection limits. `service` is a drains.service.DrainsService."""

    def report_ended(request: Request) -> Any:
        life = decode(request.body, EndedCall).life
        return once_agreed(lambda done: service.remove_ended(life, done, AGREEMENT_TIMEOUT_SECONDS))

    routes.add("POST", "/v1/limits/ended", report_ended)
    routes.add("GET", "/v1/limits", lambda request: service.status())
    routes.add("GET", "/v1/limits/waves", lambda request: service.plan_rolling_restart())


class ConfigurationCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /v1/configuration: a change on top of revision `base`.

    A null removes an entry, so that the value from the file is in effect again."""

    base: Annotated[int, msgspec.Meta(ge=0)]
    by: str
    plans: dict[str, Any] = {}
    firms: dict[str, str | None] = {}
    addresses: dict[str, str | None] = {}
    note: str = ""


class RevertCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of POST /v1/configuration/revert."""

    to: Annotated[int, msgspec.Meta(ge=0)]
    by: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


def configuration_routes(routes: Routes, service: Any) -> None:
    """Adds the routes of the configuration. `service` is a configuration.service.ConfigurationService.

    A change is answered once it is in effect on this ingress."""
    from ..configuration.rules import Change, ChangeError
    from ..plans.book import Figures, PlanChangeError, parse_firm

    def figures(name: str, values: Any) -> Figures | None:
        try:
            return msgspec.convert(values, Figures | None)
        except msgspec.ValidationError as error:
            field, text = locate_error(error)
            raise ApiError(400, f"plans.{name[:64]}" + ("" if field == "body" else f".{field}"), text) from None

    def agreed(call: Callable[[Callable[[Any], None]], None]) -> PendingReply:
        try:
            return once_agreed(call)
        except ChangeError as error:
            raise ApiError(409 if error.field == "base" else 400, error.field, error.text) from None

    def change(request: Request) -> Any:
        call = decode(request.body, ConfigurationCall)
        try:
            firms = {parse_firm(firm, f"firms.{firm[:20]}"): plan for firm, plan in call.firms.items()}
        except PlanChangeError as error:
            raise ApiError(error.status, error.field, error.text) from None
        if len(firms) < len(call.firms):
            raise ApiError(400, "firms", "a firm is given twice")
        proposed = Change(
            call.base,
            call.by,
            {name: figures(name, row) for name, row in call.plans.items()},
            firms,
            call.addresses,
            call.note,
        )
        return agreed(lambda done: service.propose(proposed, done, AGREEMENT_TIMEOUT_SECONDS))

    def revert(request: Request) -> Any:
        call = decode(request.body, RevertCall)
        return agreed(lambda done: service.revert(call.to, call.by, done, AGREEMENT_TIMEOUT_SECONDS))

    def show_firm(request: Request) -> Any:
        try:
            return service.firm_status(request.parts[0])
        except PlanChangeError as error:
            raise ApiError(error.status, error.field, error.text) from None

    routes.add("GET", "/v1/configuration", lambda request: service.describe())
    routes.add("GET", "/v1/configuration/history", lambda request: {"revisions": service.history()})
    routes.add("GET", "/v1/configuration/firms/{}", show_firm)
    routes.add("POST", "/v1/configuration", change)
    routes.add("POST", "/v1/configuration/revert", revert)


def common_routes(routes: Routes, daemon: Any) -> None:
    """Adds the routes that every daemon has: liveness, readiness, draining, status and counters."""
    started_at = time.monotonic()

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
            "upSeconds": round(time.monotonic() - started_at, 3),
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
        """Announces SIGTERM: not ready from now on; messages are still served."""
        daemon.announce_stop()
        return NO_CONTENT, None

    routes.add("GET", "/v1/live", lambda request: daemon.health.status() if daemon.health is not None else {})
    routes.add("GET", "/v1/ready", ready)
    routes.add("POST", "/v1/drain", drain)
    routes.add("GET", "/v1/status", status)
    routes.add("GET", "/v1/counters", lambda request: daemon.metrics.as_dict())
