"""The fleet description: TOML, validated as a whole. Errors are one line that names the field."""

from __future__ import annotations

import hashlib
import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec

from ..address import Address, ConfigError, parse_address
from ..control.api import locate_error
from .backoff import RestartPolicy

MAX_INSTANCES = 1000  # per supervisor
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,39}$")]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_INSTANCES)]
Seconds = Annotated[float, msgspec.Meta(ge=0.05, le=3600)]
Part = Annotated[float, msgspec.Meta(gt=0, le=1)]


class Group(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table [fleet]."""

    name: Name
    run: str  # folder used by this fleet only: sockets, pipes, lock, the instances' files
    config: str  # the instances' configuration for `serve`; name, address and numbers are filled in
    listen: str | list[str]  # "127.0.0.1:9100-9139", or a list of addresses
    instances: Count = 1
    operator: str = ""  # the operator's file; {instance}, {name}, {run}, {member} and {seeds} in it are filled in
    members: str | list[str] = ""  # membership addresses, one per instance
    part: Part = 1.0  # fraction of the whole fleet that this group is


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table [limits]: limits of each instance."""

    sockets: Annotated[int, msgspec.Meta(ge=64, le=1 << 20)] | None = None
    memory_mb: Annotated[int, msgspec.Meta(ge=16, le=1 << 20)] | None = None


class Start(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table [start]."""

    ready_s: Seconds = 15.0  # a process that is not ready by then is killed
    at_once: Count = 8  # concurrent starts


class Restart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table [restart]: see `backoff.RestartPolicy`."""

    first_s: Seconds = 0.2
    longest_s: Seconds = 30.0
    jitter: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.5
    crashes: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 5
    within_s: Seconds = 60.0


class Stop(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table [stop]."""

    deadline_s: Seconds = 15.0  # from SIGTERM to SIGKILL
    notice_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = 1.0  # for the front to notice a change of readiness


class Watch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table [watch]."""

    watchdog_s: Annotated[float, msgspec.Meta(ge=0, le=600)] = (
        5.0  # killed after so long without a notification; 0 = off
    )
    probe_s: Seconds = 1.0  # between probes of /ready


class Share(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table [share]."""

    widen_s: Seconds = 2.0  # for so long an instance is down before the others use its share
    lease_s: Seconds = 10.0  # for so long a larger share may be used without an update


class Log(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The table [log]."""

    path: str = ""  # a file; empty = standard output
    keep: Annotated[int, msgspec.Meta(ge=10, le=1_000_000)] = 2000  # lines kept for `fleet logs`


class Fleet(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole description."""

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
    def restart_policy(self) -> RestartPolicy:
        """The policy of automatic restarts."""
        restart = self.restart
        return RestartPolicy(restart.first_s, restart.longest_s, restart.jitter, restart.crashes, restart.within_s)

    @property
    def run(self) -> Path:
        """The run folder."""
        return Path(self.fleet.run)

    @property
    def control(self) -> str:
        """The path of the supervisor's control socket."""
        return f"{self.fleet.run}/supervisor.sock"

    def parse_listen_addresses(self) -> list[Address]:
        """Return the listen addresses by instance number. Raises ConfigError."""
        return _parse_addresses(self.fleet.listen, "fleet.listen")

    def parse_member_addresses(self) -> list[Address]:
        """Return the membership addresses by instance number, empty without membership. Raises ConfigError."""
        return _parse_addresses(self.fleet.members, "fleet.members") if self.fleet.members else []


def _parse_addresses(value: str | list[str], name: str) -> list[Address]:
    """Parse a list of addresses, or a port range such as '127.0.0.1:9100-9139'. Raises ConfigError."""
    if isinstance(value, list):
        return [parse_address(one, f"{name}[{n}]") for n, one in enumerate(value)]
    head, dash, last = value.rpartition("-")
    if not dash:
        return [parse_address(value, name)]
    first = parse_address(head, name)
    if (
        not last.isdigit()
        or not first[1] <= int(last) <= 65535
        or int(last) - first[1] >= MAX_INSTANCES
        or not first[1]
    ):
        raise ConfigError(f"{name}: {value!r} is no range of at most {MAX_INSTANCES} ports")
    return [(first[0], port) for port in range(first[1], int(last) + 1)]


def decode(raw: dict[str, Any]) -> Fleet:
    """Validate a parsed description. Raises ConfigError."""
    try:
        found = msgspec.convert(raw, Fleet)
    except msgspec.ValidationError as error:
        field, text = locate_error(error)
        raise ConfigError(f"{field}: {text}") from None
    group = found.fleet
    # The path of a Unix socket has at most 107 bytes, and the longest file name in this folder has 24.
    if not group.run.startswith("/") or len(group.run.encode()) > 80:
        raise ConfigError(f"fleet.run: {group.run!r} is no absolute path of at most 80 bytes")
    listen_addresses = found.parse_listen_addresses()
    if len(set(listen_addresses)) != len(listen_addresses):
        raise ConfigError("fleet.listen: an address twice")
    check_count(found, group.instances)
    for name in found.environment:
        if name.startswith(("BALANCER_", "BRACKENPULLEY_", "NOTIFY_", "WATCHDOG_")):
            raise ConfigError(f"environment.{name}: set by the supervisor itself")
    return found


def check_count(spec: Fleet, count: int) -> None:
    """Check that there are addresses for `count` instances. Raises ConfigError."""
    if count < 1 or count > MAX_INSTANCES:
        raise ConfigError(f"fleet.instances: {count} is no whole number from 1 to {MAX_INSTANCES}")
    if count > len(spec.parse_listen_addresses()):
        raise ConfigError(
            f"fleet.instances: {count}, and fleet.listen has {len(spec.parse_listen_addresses())} addresses"
        )
    if spec.fleet.members and count > len(spec.parse_member_addresses()):
        raise ConfigError(
            f"fleet.instances: {count}, and fleet.members has {len(spec.parse_member_addresses())} addresses"
        )


def load(path: str) -> Fleet:
    """Read and validate a description; its relative paths start at its own folder. Raises ConfigError."""
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


def compute_digest(*parts: str) -> str:
    """Return a short digest of what an instance is started with, by which outdated instances are recognised."""
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:16]
