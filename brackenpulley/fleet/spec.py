"""A fleet's description: TOML, validated whole. What is wrong with it is one line that names the field."""

from __future__ import annotations

import hashlib
import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec

from ..address import Address, ConfigError, parse_address
from ..control.api import locate_error
from .backoff import Pace

MOST = 1000  # instances of one supervisor
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,39}$")]
Whole = Annotated[int, msgspec.Meta(ge=1, le=MOST)]
Seconds = Annotated[float, msgspec.Meta(ge=0.05, le=3600)]
Part = Annotated[float, msgspec.Meta(gt=0, le=1)]


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table [fleet]."""

    name: Name
    run: str  # a folder of its own: sockets, pipes, lock, the files written for the instances
    config: str  # the instances' configuration, as `serve` takes it; name, address and numbers are put in here
    listen: str | list[str]  # "127.0.0.1:9100-9139", or a list of addresses
    instances: Whole = 1
    operator: str = ""  # the operator's file; {instance}, {name}, {run}, {member} and {seeds} in it are filled in
    members: str | list[str] = ""  # addresses for membership, as many
    part: Part = 1.0  # of the whole that this group's instances have together


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    sockets: Annotated[int, msgspec.Meta(ge=64, le=1 << 20)] | None = None
    memory_mb: Annotated[int, msgspec.Meta(ge=16, le=1 << 20)] | None = None


class Start(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    ready_s: Seconds = 15.0  # a start that is not ready by then has failed
    at_once: Whole = 8  # starts under way at the same time


class Restart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    first_s: Seconds = 0.2
    longest_s: Seconds = 30.0
    jitter: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5
    crashes: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 5
    within_s: Seconds = 60.0


class Stop(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    deadline_s: Seconds = 15.0  # then SIGKILL
    notice_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 1.0  # for the front to notice that one is (not) ready


class Watch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    watchdog_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 5.0  # without a life sign: ended; 0 = off
    probe_s: Seconds = 1.0  # between looks at /ready


class Share(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    widen_s: Seconds = 2.0  # that an instance is down before the others take its part
    lease_s: Seconds = 10.0  # for which a wider part may be used without the supervisor's word


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    path: str = ""  # a file; empty = standard output
    keep: Annotated[int, msgspec.Meta(ge=10, le=1_000_000)] = 2000  # lines that `fleet logs` can look back on


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    fleet: Group
    limits: Limits = Limits()
    start: Start = Start()
    restart: Restart = Restart()
    stop: Stop = Stop()
    watch: Watch = Watch()
    share: Share = Share()
    log: Log = Log()
    environment: dict[str, str] = {}

    @property
    def pace(self) -> Pace:
        r = self.restart
        return Pace(r.first_s, r.longest_s, r.jitter, r.crashes, r.within_s)

    @property
    def run(self) -> Path:
        return Path(self.fleet.run)

    @property
    def control(self) -> str:
        return f"{self.fleet.run}/supervisor.sock"

    def listens(self) -> list[Address]:
        return _addresses(self.fleet.listen, "fleet.listen")

    def members(self) -> list[Address]:
        return _addresses(self.fleet.members, "fleet.members") if self.fleet.members else []


def _addresses(told: str | list[str], name: str) -> list[Address]:
    """'127.0.0.1:9100-9139' as forty addresses, or each of a list."""
    if isinstance(told, list):
        return [parse_address(one, f"{name}[{n}]") for n, one in enumerate(told)]
    head, dash, last = told.rpartition("-")
    if not dash:
        return [parse_address(told, name)]
    first = parse_address(head, name)
    if not last.isdigit() or not first[1] <= int(last) <= 65535 or int(last) - first[1] >= MOST or not first[1]:
        raise ConfigError(f"{name}: {told!r} is no range of at most {MOST} ports")
    return [(first[0], port) for port in range(first[1], int(last) + 1)]


def decode(raw: dict[str, Any]) -> Fleet:
    """Raises ConfigError."""
    try:
        found = msgspec.convert(raw, Fleet)
    except msgspec.ValidationError as error:
        field, text = locate_error(error)
        raise ConfigError(f"{field}: {text}") from None
    group = found.fleet
    # A Unix socket's path is at most 107 bytes, and the longest name in this folder has 24.
    if not group.run.startswith("/") or len(group.run.encode()) > 80:
        raise ConfigError(f"fleet.run: {group.run!r} is no absolute path of at most 80 bytes")
    places = found.listens()
    if len(set(places)) != len(places):
        raise ConfigError("fleet.listen: an address twice")
    check_count(found, group.instances)
    for name in found.environment:
        if name.startswith(("BALANCER_", "BRACKENPULLEY_", "NOTIFY_", "WATCHDOG_")):
            raise ConfigError(f"environment.{name}: set by the supervisor itself")
    return found


def check_count(spec: Fleet, count: int) -> None:
    """Whether there are addresses for so many. Raises ConfigError."""
    if count < 1 or count > MOST:
        raise ConfigError(f"fleet.instances: {count} is no whole number from 1 to {MOST}")
    if count > len(spec.listens()):
        raise ConfigError(f"fleet.instances: {count}, and fleet.listen has {len(spec.listens())} addresses")
    if spec.fleet.members and count > len(spec.members()):
        raise ConfigError(f"fleet.instances: {count}, and fleet.members has {len(spec.members())} addresses")


def load(path: str) -> Fleet:
    """Paths in it are taken from where the file stands. Raises ConfigError."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"{path}: not TOML: {error}") from None
    spec = decode(raw)
    here = Path(path).resolve().parent
    group = msgspec.structs.replace(
        spec.fleet,
        config=str(here / spec.fleet.config),
        operator=str(here / spec.fleet.operator) if spec.fleet.operator else "",
    )
    return msgspec.structs.replace(spec, fleet=group)


def digest(*parts: str) -> str:
    """A short mark of what an instance was started with, so that an old one is known as such."""
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:16]
