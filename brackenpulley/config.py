"""The configuration of one real ingress. What is wrong with it is told in one line that names the field."""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from .address import Address, ConfigError, address
from .operator import ControlPart, Operator, local
from .operator import load as load_operator
from .policy import interface as i
from .settings import JSON, Transport, decode_settings, decode_transport


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address | None
    counter: Address | None
    seed: int
    sockets: int
    memory_mb: int
    known: JSON
    settings: i.Settings
    transport: Transport
    operator: Operator
    path: str = ""  # the file it was read from
    console: Address | None = None  # the operators' console


def _object(value: Any, name: str) -> JSON:
    if not isinstance(value, dict):
        raise ConfigError(f"{name}: not an object")
    return value


def decode(raw: Any, env: Mapping[str, str], operator: Operator | None = None) -> Config:
    raw = _object(raw, "configuration")

    def told(variable: str, key: str) -> Any:
        value = env.get(variable) or raw.get(key)
        if not value:
            raise ConfigError(f"{key}: missing")
        return value

    given, limits = _object(raw.get("settings"), "settings"), _object(raw.get("limits", {}), "limits")
    try:
        rules, conns = decode_settings(given), decode_transport(given)
    except i.SettingsError as error:
        raise ConfigError(f"settings.{error}") from None
    except (TypeError, ValueError, AttributeError, KeyError) as error:
        raise ConfigError(f"settings: {type(error).__name__}: {error}") from None

    def limit(key: str, default: int, least: int) -> int:
        value = limits.get(key, default)
        if not isinstance(value, int) or isinstance(value, bool) or value < least:
            raise ConfigError(f"limits.{key}: {value!r} is not a whole number from {least}")
        return value

    sockets, memory_mb = limit("sockets", 1024, 64), limit("memory_mb", 2048, 16)
    try:
        seed = int(str(raw.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed: {raw['seed']!r} is not hexadecimal") from None
    if rules.counter and not raw.get("counter"):
        raise ConfigError("counter: missing, and the settings allow counting")
    console = env.get("BALANCER_CONSOLE") or raw.get("console")
    operator = operator or Operator()
    if env.get("BALANCER_CONTROL"):  # a supervisor's word goes before the file's
        operator = replace(operator, control=ControlPart(local(env["BALANCER_CONTROL"], "BALANCER_CONTROL")))
    return Config(
        name=str(told("BALANCER_NAME", "name")),
        listen=address(told("BALANCER_LISTEN", "listen"), "listen"),
        discovery=None if operator.xds else address(told("BALANCER_DISCOVERY", "discovery"), "discovery"),
        counter=address(raw["counter"], "counter") if raw.get("counter") else None,
        seed=seed,
        sockets=sockets,
        memory_mb=memory_mb,
        known=_object(raw.get("known", {}), "known"),
        settings=rules,
        transport=conns,
        operator=operator,
        console=address(console, "console") if console else None,
    )


def _read(path: str, env: Mapping[str, str], operator: Operator | None) -> Config:
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
    return _read(path, os.environ if env is None else env, load_operator(operator) if operator else None)


def reload(path: str, operator: Operator) -> Config:
    """The file that took the old one's place. Its addresses hold, not the variables told at the start."""
    env = {k: v for k, v in os.environ.items() if k not in ("BALANCER_DISCOVERY", "BALANCER_LISTEN")}
    return _read(path, env, operator)
