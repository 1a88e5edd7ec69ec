"""The files that a supervisor writes for its instances, and the few figures that it keeps for its successor."""

from __future__ import annotations

import json
import math
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from ..address import Address, ConfigError
from ..config import Config, decode
from ..members.transport import format_address
from ..operator import decode_text
from .spec import Fleet, digest

BOOT = Path("/proc/sys/kernel/random/boot_id")


@dataclass(slots=True)
class Base:
    """What all instances share, as read from the description's files."""

    spec: Fleet
    raw: dict[str, Any]
    operator: str  # TOML with its placeholders
    mark: str = field(default="")
    listens: list[Address] = field(init=False)  # read once: each instance looks its own up
    members: list[Address] = field(init=False)

    def __post_init__(self) -> None:
        self.listens, self.members = self.spec.listens(), self.spec.members()

    @classmethod
    def read(cls, spec: Fleet) -> Base:
        """Raises ConfigError that names the file or the field."""
        try:
            raw = json.loads(Path(spec.fleet.config).read_text(encoding="utf-8"))
        except OSError as error:
            raise ConfigError(f"fleet.config: {spec.fleet.config}: {error.strerror}") from None
        except (ValueError, RecursionError) as error:
            raise ConfigError(f"fleet.config: {spec.fleet.config}: not JSON: {error}") from None
        operator = ""
        if spec.fleet.operator:
            try:
                operator = Path(spec.fleet.operator).read_text(encoding="utf-8")
            except OSError as error:
                raise ConfigError(f"fleet.operator: {spec.fleet.operator}: {error.strerror}") from None
            except UnicodeDecodeError as error:
                raise ConfigError(f"fleet.operator: {spec.fleet.operator}: not UTF-8: {error.reason}") from None
        if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
            raise ConfigError(f"fleet.config: {spec.fleet.config}: no configuration with settings")
        base = cls(spec, raw, operator)
        # What SIGHUP takes in service is left out: a new discovery does not make a running instance an old one.
        kept = {key: value for key, value in raw.items() if key not in ("discovery", "counter", "known")}
        base.mark = digest(
            json.dumps(kept, sort_keys=True),
            operator,
            json.dumps(
                msgspec.to_builtins(
                    (spec.limits, spec.environment, spec.fleet.part, spec.watch.watchdog_s, spec.fleet.members)
                )
            ),
        )
        base.check()
        return base

    def gateways(self, count: int) -> int:
        """What the module is told as the number of ingresses, where this group has only a part of the whole."""
        return math.ceil(count / self.spec.fleet.part)

    def config(self, number: int, count: int) -> dict[str, Any]:
        """The configuration of one instance that starts as one of `count`."""
        gateways = self.gateways(count)
        limits = {
            **self.raw.get("limits", {}),
            **{
                name: value
                for name, value in (("sockets", self.spec.limits.sockets), ("memory_mb", self.spec.limits.memory_mb))
                if value is not None
            },
        }
        return {
            **self.raw,
            "name": f"{self.spec.fleet.name}-{number}",
            "limits": limits,
            "listen": format_address(self.listens[number]),
            "settings": {**self.raw["settings"], "NInstances": gateways, "MyNumber": number % gateways},
        }

    def operators(self, number: int) -> str:
        """The operator's file of one instance."""
        members = self.members
        filled = {
            "{instance}": str(number),
            "{name}": f"{self.spec.fleet.name}-{number}",
            "{run}": self.spec.fleet.run,
            "{member}": format_address(members[number]) if members else "",
            "{seeds}": ", ".join(f'"{format_address(at)}"' for at in members[:3]),
        }
        found = self.operator
        for name, value in filled.items():
            found = found.replace(name, value)
        return found

    def check(self) -> None:
        """Whether each instance could start with this. Raises ConfigError."""
        for number in range(self.spec.fleet.instances):
            self.decoded(number, self.spec.fleet.instances)

    def decoded(self, number: int, count: int) -> Config:
        return decode(self.config(number, count), {}, decode_text(self.operators(number), self.spec.fleet.operator))

    def write(self, number: int, count: int) -> None:
        run = self.spec.run
        put(run / f"{number}.json", json.dumps(self.config(number, count)))
        put(run / f"{number}.toml", self.operators(number))


def put(path: Path, data: str) -> None:
    """In its place at once, or not at all. Raises OSError."""
    fresh = path.with_name(path.name + ".new")
    fresh.write_text(data, encoding="utf-8")
    fresh.chmod(0o600)
    os.replace(fresh, path)


class Kept(msgspec.Struct, forbid_unknown_fields=True):
    """`state.json`: what was changed in service, for the next supervisor."""

    described: int  # instances that the description had when `count` was set
    count: int
    stopped: list[int] = []  # stopped by the operator
    boot: str = ""
    clock: float = 0.0  # s from the monotonic clock of this boot to the time of day that the fleet goes by


def kept(run: Path, described: int, now: float, monotonic: float) -> tuple[Kept, str]:
    """What the last supervisor left, and why it was not used if it was there.

    The fleet's clock is set once a boot: a time of day that steps later must not put instances that start after the
    step under other names of the counter than those that run."""
    boot = BOOT.read_text().strip()
    fresh = Kept(described, described, [], boot, now - monotonic)
    try:
        found = msgspec.json.decode((run / "state.json").read_bytes(), type=Kept)
    except FileNotFoundError:
        return fresh, ""
    except (OSError, msgspec.MsgspecError) as error:
        return fresh, f"{run / 'state.json'}: {error}"
    if found.described != described:
        found.described = found.count = described
    if found.boot != boot:
        found.boot, found.clock = boot, fresh.clock
    found.stopped = [number for number in found.stopped if number < found.count]
    return found, ""


def keep(run: Path, state: Kept) -> None:
    """Raises OSError."""
    put(run / "state.json", msgspec.json.encode(state).decode())
