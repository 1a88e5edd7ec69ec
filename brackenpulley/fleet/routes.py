"""Control API of the supervisor, on a Unix socket that only its owner can open.

Decoding, routing and errors are those of the ingress's control API."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec

from ..address import ConfigError
from ..control.api import ApiError, Request, Routes, decode, parse_int

if TYPE_CHECKING:
    from .supervisor import Supervisor

T = TypeVar("T")


class InstancesCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of start and stop."""

    instances: list[int] | None = None  # None = all


class RestartCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of restart: which instances, and how many at once."""

    instances: list[int] | None = None
    at_once: int = msgspec.field(name="atOnce", default=1)


class ScaleCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of scale: the wanted number of instances."""

    instances: int


def convert_errors(operation: Callable[[], T]) -> T:
    """Run `operation` and raise its ConfigError as an ApiError: 409 if one is under way already, otherwise 400."""
    try:
        return operation()
    except ConfigError as error:
        field, _, text = str(error).partition(": ")
        raise ApiError(409 if field in ("restart", "reload") else 400, field, text) from None


def fleet_routes(routes: Routes, supervisor: Supervisor) -> None:
    """Add the paths under /v1/fleet."""

    def start(request: Request) -> Any:
        return {
            "instances": convert_errors(
                lambda: supervisor.start_instances(decode(request.body, InstancesCall).instances)
            )
        }

    def stop(request: Request) -> Any:
        return {
            "instances": convert_errors(
                lambda: supervisor.stop_instances(decode(request.body, InstancesCall).instances)
            )
        }

    def restart(request: Request) -> Any:
        call = decode(request.body, RestartCall)
        if not 1 <= call.at_once <= 1000:
            raise ApiError(400, "atOnce", f"{call.at_once} is no whole number from 1 to 1000")
        return 202, convert_errors(lambda: supervisor.restart_instances(call.instances, call.at_once)).status()

    def scale(request: Request) -> Any:
        call = decode(request.body, ScaleCall)
        convert_errors(lambda: supervisor.scale(call.instances))
        return 202, {"instances": call.instances}

    def reload(request: Request) -> Any:
        reload_run = convert_errors(supervisor.reload)
        return 202, {"asked": sorted(reload_run.pending)}

    def logs(request: Request) -> Any:
        text = request.query.get("instance", "")
        instance = parse_int(request, "instance", 0, 0, 999) if text else None
        limit = parse_int(request, "most", 200, 1, 2000)
        after = request.query.get("after")
        history = supervisor.history
        if after is None:
            lines, missed = history.last_lines(limit, instance), 0
        else:
            lines, missed = history.lines_after(parse_int(request, "after", 0, 0, 1 << 60), limit, instance)
        return {
            "last": lines[-1].serial if lines else history.serial if after is None else int(after),
            "missed": missed,
            "lines": [{"serial": line.serial, "instance": line.instance, "text": line.text} for line in lines],
        }

    def detach(request: Request) -> Any:
        supervisor.detach()
        return 202, {"left": sum(slot.process is not None for slot in supervisor.slots.values())}

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
