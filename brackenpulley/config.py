"""The configuration file of one ingress (JSON), with overrides from the environment.

Errors are ConfigError, each one line that names the setting.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from .address import Address, ConfigError, parse_address
from .operator import ControlOptions, OperatorOptions, parse_local_address
from .operator import load as load_operator
from .policy import interface
from .settings import JSON, Transport, decode_settings, decode_transport


@dataclass(slots=True)
class Config:
    """The configuration of one ingress, with its operator's file."""

    name: str
    listen: Address
    discovery: Address | None
    counter: Address | None
    seed: int
    sockets: int  # descriptors that the process may use
    memory_mb: int
    initial_servers: JSON  # a list of servers to start with, in discovery's format
    settings: interface.Settings
    transport: Transport
    operator: OperatorOptions
    path: str = ""  # the file that it was read from
    console: Address | None = None  # address of the operators' console


def _object(value: Any, name: str) -> JSON:
    if not isinstance(value, dict):
        raise ConfigError(f"{name}: not an object")
    return value


def decode(raw: Any, env: Mapping[str, str], operator: OperatorOptions | None = None) -> Config:
    """Decode a parsed configuration file; variables in `env` override its names and addresses.

    Raises ConfigError where a setting is missing or wrong.
    """
    raw = _object(raw, "configuration")

    def require(variable: str, key: str) -> Any:
        value = env.get(variable) or raw.get(key)
        if not value:
            raise ConfigError(f"{key}: missing")
        return value

    raw_settings, limits = _object(raw.get("settings"), "settings"), _object(raw.get("limits", {}), "limits")
    try:
        rules, transport_rules = decode_settings(raw_settings), decode_transport(raw_settings)
    except interface.SettingsError as error:
        raise ConfigError(f"settings.{error}") from None
    except (TypeError, ValueError, AttributeError, KeyError) as error:
        raise ConfigError(f"settings: {type(error).__name__}: {error}") from None

    def limit(key: str, default: int, least: int) -> int:
        value = limits.get(key, default)
        if not isinstance(value, int) or isinstance(value, bool) or value < least:
            raise ConfigError(f"limits.{key}: {value!r} is not an integer of at least {least}")
        return value

    sockets, memory_mb = limit("sockets", 1024, 64), limit("memory_mb", 2048, 16)
    try:
        seed = int(str(raw.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: {raw['seed']!r} is not hexadecimal") from None
    if rules.counter and not raw.get("counter"):
        raise ConfigError("counter: missing, and the settings allow counting")
    console = env.get("BALANCER_CONSOLE") or raw.get("console")
    operator = operator or OperatorOptions()
    if env.get("BALANCER_CONTROL"):  # the supervisor's address overrides the file's
        operator = replace(
            operator, control=ControlOptions(parse_local_address(env["BALANCER_CONTROL"], "BALANCER_CONTROL"))
        )
    return Config(
        name=str(require("BALANCER_NAME", "name")),
        listen=parse_address(require("BALANCER_LISTEN", "listen"), "listen"),
        discovery=None if operator.xds else parse_address(require("BALANCER_DISCOVERY", "discovery"), "discovery"),
        counter=parse_address(raw["counter"], "counter") if raw.get("counter") else None,
        seed=seed,
        sockets=sockets,
        memory_mb=memory_mb,
        initial_servers=_object(raw.get("known", {}), "known"),
        settings=rules,
        transport=transport_rules,
        operator=operator,
        console=parse_address(console, "console") if console else None,
    )


def _read(path: str, env: Mapping[str, str], operator: OperatorOptions | None) -> Config:
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigError(f"BALANCER_CONFIG: {path}: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"BALANCER_CONFIG: {path}: not JSON: {error}") from None
    config = decode(raw, env, operator)
    config.path = path
    return config


def load(path: str, operator: str = "", env: Mapping[str, str] | None = None) -> Config:
    """Read the configuration at `path` and the operator's file at `operator`, if one is named.

    `env` replaces the process's environment. Raises ConfigError where a file cannot be read or used.
    """
    return _read(path, os.environ if env is None else env, load_operator(operator) if operator else None)


def reload(path: str, operator: OperatorOptions) -> Config:
    """Read the file at `path` again. Its addresses are used, not those that the environment gave at the start.

    Raises ConfigError where the file cannot be read or used.
    """
    env = {name: value for name, value in os.environ.items() if name not in ("BALANCER_DISCOVERY", "BALANCER_LISTEN")}
    return _read(path, env, operator)
