"""Configuration files that the supervisor writes for its instances, and the state it saves for its next start."""

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
from .spec import Fleet, compute_digest

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


@dataclass(slots=True)
class SharedConfig:
    """The fleet description and the files it names, from which each instance's configuration is built."""

    spec: Fleet
    raw_config: dict[str, Any]
    operator_template: str  # TOML text with placeholders
    start_digest: str = field(default="")
    listen_addresses: list[Address] = field(init=False)  # parsed once; indexed by instance number
    member_addresses: list[Address] = field(init=False)

    def __post_init__(self) -> None:
        self.listen_addresses, self.member_addresses = (
            self.spec.parse_listen_addresses(),
            self.spec.parse_member_addresses(),
        )

    @classmethod
    def read(cls, spec: Fleet) -> SharedConfig:
        """Read and validate the files that `spec` names. Raises ConfigError naming the file or the field."""
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
            raise ConfigError(f"fleet.config: {spec.fleet.config}: must be a JSON object with an object `settings`")
        shared_config = cls(spec, raw, operator)
        # Keys that SIGHUP applies at run time are left out: a changed discovery does not make an instance outdated.
        compared = {key: value for key, value in raw.items() if key not in ("discovery", "counter", "known")}
        shared_config.start_digest = compute_digest(
            json.dumps(compared, sort_keys=True),
            operator,
            json.dumps(
                msgspec.to_builtins(
                    (spec.limits, spec.environment, spec.fleet.part, spec.watch.watchdog_s, spec.fleet.members)
                )
            ),
        )
        shared_config.validate()
        return shared_config

    def compute_ingress_count(self, count: int) -> int:
        """Return the number of ingresses of the whole fleet, of which this group's `count` are `part`."""
        return math.ceil(count / self.spec.fleet.part)

    def build_config(self, number: int, count: int) -> dict[str, Any]:
        """Return the configuration of instance `number`, started as one of `count`."""
        ingress_count = self.compute_ingress_count(count)
        limits = {
            **self.raw_config.get("limits", {}),
            **{
                name: value
                for name, value in (("sockets", self.spec.limits.sockets), ("memory_mb", self.spec.limits.memory_mb))
                if value is not None
            },
        }
        return {
            **self.raw_config,
            "name": f"{self.spec.fleet.name}-{number}",
            "limits": limits,
            "listen": format_address(self.listen_addresses[number]),
            "settings": {
                **self.raw_config["settings"],
                "NInstances": ingress_count,
                "MyNumber": number % ingress_count,
            },
        }

    def render_operator_file(self, number: int) -> str:
        """Return the operator's file of instance `number`, its placeholders replaced."""
        members = self.member_addresses
        filled = {
            "{instance}": str(number),
            "{name}": f"{self.spec.fleet.name}-{number}",
            "{run}": self.spec.fleet.run,
            "{member}": format_address(members[number]) if members else "",
            "{seeds}": ", ".join(f'"{format_address(at)}"' for at in members[:3]),
        }
        found = self.operator_template
        for name, value in filled.items():
            found = found.replace(name, value)
        return found

    def validate(self) -> None:
        """Decode the configuration of every instance. Raises ConfigError."""
        for number in range(self.spec.fleet.instances):
            self.decode_config(number, self.spec.fleet.instances)

    def decode_config(self, number: int, count: int) -> Config:
        """Decode the configuration of instance `number` as the instance would at its start. Raises ConfigError."""
        return decode(
            self.build_config(number, count),
            {},
            decode_text(self.render_operator_file(number), self.spec.fleet.operator),
        )

    def write_instance_files(self, number: int, count: int) -> None:
        """Write both files of instance `number` into the run folder. Raises OSError."""
        run = self.spec.run
        write_atomically(run / f"{number}.json", json.dumps(self.build_config(number, count)))
        write_atomically(run / f"{number}.toml", self.render_operator_file(number))


def write_atomically(path: Path, data: str) -> None:
    """Replace the file atomically; on failure the old one remains. Raises OSError."""
    temporary = path.with_name(path.name + ".new")
    temporary.write_text(data, encoding="utf-8")
    temporary.chmod(0o600)
    os.replace(temporary, path)


class SavedState(msgspec.Struct, forbid_unknown_fields=True):
    """Contents of `state.json`: changes made at run time, for the next supervisor."""

    described: int  # number of instances in the description when `count` was set
    count: int
    stopped: list[int] = []  # stopped by the operator
    boot: str = ""
    clock: float = 0.0  # offset in seconds from the monotonic clock of this boot to the fleet's time of day


def load_state(run: Path, described: int, now: float, monotonic: float) -> tuple[SavedState, str]:
    """Load the state that the last supervisor saved.

    Returns it with an empty text, or a new state with the error that made the saved one unusable. The fleet's clock is
    set once per boot: if the time of day steps later, instances started after the step must use the same names at the
    counter as those already running."""
    boot = BOOT_ID_PATH.read_text().strip()
    fresh = SavedState(described, described, [], boot, now - monotonic)
    try:
        found = msgspec.json.decode((run / "state.json").read_bytes(), type=SavedState)
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


def save_state(run: Path, state: SavedState) -> None:
    """Write `state.json`. Raises OSError."""
    write_atomically(run / "state.json", msgspec.json.encode(state).decode())
