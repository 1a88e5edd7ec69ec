"""The supervisor's control API: the daemons' decoding, table and errors, over a Unix socket of the owner alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from ..address import ConfigError
from ..control.api import ApiError, Request, Routes, decode, parse_int

if TYPE_CHECKING:
    from .supervisor import Supervisor

T = TypeVar("T")


class SomeCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    instances: list[int] | None = None  # none named = all


class RestartCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    instances: list[int] | None = None
    at_once: int = msgspec.field(name="atOnce", default=1)


class ScaleCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    instances: int


def guard(call: Callable[[], T]) -> T:
    try:
        return call()
    except ConfigError as error:
        field, _, text = str(error).partition(": ")
        raise ApiError(409 if field in ("restart", "reload") else 400, field, text) from None


def fleet_routes(routes: Routes, supervisor: Supervisor) -> None:
    def start(request: Request) -> Any:
        return {"instances": guard(lambda: supervisor.start_some(decode(request.body, SomeCall).instances))}

    def stop(request: Request) -> Any:
        return {"instances": guard(lambda: supervisor.stop_some(decode(request.body, SomeCall).instances))}

    def restart(request: Request) -> Any:
        told = decode(request.body, RestartCall)
        if not 1 <= told.at_once <= 1000:
            raise ApiError(400, "atOnce", f"{told.at_once} is no whole number from 1 to 1000")
        return 202, guard(lambda: supervisor.restart_some(told.instances, told.at_once)).status()

    def scale(request: Request) -> Any:
        told = decode(request.body, ScaleCall)
        guard(lambda: supervisor.scale(told.instances))
        return 202, {"instances": told.instances}

    def reload(request: Request) -> Any:
        found = guard(supervisor.reload)
        return 202, {"asked": sorted(found.waits)}

    def logs(request: Request) -> Any:
        text = request.query.get("instance", "")
        instance = parse_int(request, "instance", 0, 0, 999) if text else None
        most = parse_int(request, "most", 200, 1, 2000)
        after = request.query.get("after")
        ring = supervisor.ring
        if after is None:
            lines, missed = ring.last(most, instance), 0
        else:
            lines, missed = ring.after(parse_int(request, "after", 0, 0, 1 << 60), most, instance)
        return {
            "last": lines[-1].serial if lines else ring.serial if after is None else int(after),
            "missed": missed,
            "lines": [{"serial": line.serial, "instance": line.instance, "text": line.text} for line in lines],
        }

    def detach(request: Request) -> Any:
        supervisor.detach()
        return 202, {"left": sum(place.process is not None for place in supervisor.places.values())}

    def end(request: Request) -> Any:
        supervisor.end()
        return 202, {"ending": True}

    routes.add("GET", "/v1/fleet", lambda request: supervisor.status())
    routes.add("GET", "/v1/fleet/logs", logs)
    for name, handler in (
        ("start", start),
        ("stop", stop),
        ("restart", restart),
        ("scale", scale),
        ("reload", reload),
        ("detach", detach),
        ("end", end),
    ):
        routes.add("POST", f"/v1/fleet/{name}", handler)
