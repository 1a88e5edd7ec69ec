"""The operator's file: what an installation switches on beside the platform's protocol. TOML; see deploy/."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from typing import Any

from .address import Address, ConfigError, address


@dataclass(slots=True, frozen=True)
class ServerPart:
    listen: Address
    header: str
    streams: int


@dataclass(slots=True, frozen=True)
class ClientPart:
    at: Address
    timeout: float
    fail_open: bool


@dataclass(slots=True, frozen=True)
class XdsPart:
    path: str
    cluster: str


@dataclass(slots=True, frozen=True)
class Operator:
    server: ServerPart | None = None
    client: ClientPart | None = None
    xds: XdsPart | None = None


def _table(raw: Any, name: str, known: set[str]) -> dict[str, Any] | None:
    if raw is None:
        return None
    if not isinstance(raw, dict):
        raise ConfigError(f"{name}: not a table")
    for key in raw:
        if key not in known:
            raise ConfigError(f"{name}.{key}: no such setting")
    return raw


def _whole(table: dict[str, Any], name: str, key: str, default: int, least: int, most: int) -> int:
    value = table.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
        raise ConfigError(f"{name}.{key}: {value!r} is no whole number from {least} to {most}")
    return value


def _text(table: dict[str, Any], name: str, key: str, default: str = "") -> str:
    value = table.get(key, default)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{name}.{key}: {value!r} is no text" if key in table else f"{name}.{key}: missing")
    return value


def decode(raw: dict[str, Any]) -> Operator:
    top = _table(raw, "operator", {"authz", "xds"}) or {}
    authz = _table(top.get("authz"), "authz", {"server", "client"}) or {}
    server = client = xds = None
    name = "authz.server"
    if (part := _table(authz.get("server"), name, {"listen", "endpoint_header", "max_streams"})) is not None:
        header = _text(part, name, "endpoint_header", "x-envoy-original-dst-host").lower()
        if not header.replace("-", "").isalnum() or not header.isascii():
            raise ConfigError(f"{name}.endpoint_header: {header!r} is no header's name")
        server = ServerPart(address(_text(part, name, "listen"), f"{name}.listen"), header,
                            _whole(part, name, "max_streams", 128, 1, 1024))
    name = "authz.client"
    if (part := _table(authz.get("client"), name, {"address", "timeout_ms", "on_failure"})) is not None:
        failure = _text(part, name, "on_failure", "deny")
        if failure not in ("deny", "allow"):
            raise ConfigError(f"{name}.on_failure: {failure!r} is neither \"deny\" nor \"allow\"")
        client = ClientPart(address(_text(part, name, "address"), f"{name}.address"),
                            _whole(part, name, "timeout_ms", 250, 1, 3_600_000) / 1000, failure == "allow")
    if (part := _table(top.get("xds"), "xds", {"path", "cluster"})) is not None:
        xds = XdsPart(_text(part, "xds", "path"), _text(part, "xds", "cluster"))
    return Operator(server, client, xds)


def load(path: str) -> Operator:
    try:
        with open(path, "rb") as file:
            return decode(tomllib.load(file))
    except OSError as error:
        raise ConfigError(f"BALANCER_OPERATOR: {path}: {error.strerror}") from None
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"BALANCER_OPERATOR: {path}: not TOML: {error}") from None
