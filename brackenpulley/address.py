"""Addresses of sockets, and the error that names a field of a configuration."""

from __future__ import annotations

import ipaddress
from typing import Any

Address = tuple[str, int]


class ConfigError(ValueError):
    """The message starts with the field's name."""


def address(text: Any, name: str) -> Address:
    """'127.0.0.4:8000' or '[::1]:8000'; names are not looked up."""
    host, _, port = str(text).rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 0 <= int(port) <= 65535:
            raise ValueError
    except ValueError:
        raise ConfigError(f"{name}: {text!r} is no address:port") from None
    return host.strip("[]"), int(port)
