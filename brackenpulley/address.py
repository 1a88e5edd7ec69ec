"""Socket addresses, and the error that all readers of settings raise."""

from __future__ import annotations

import ipaddress
from typing import Any

Address = tuple[str, int]


class ConfigError(ValueError):
    """A wrong or missing setting; the message starts with the name of the setting."""


def parse_address(text: Any, name: str) -> Address:
    """Parse '127.0.0.4:8000' or '[::1]:8000'; host names are not resolved.

    Raises ConfigError, which names the setting `name`, for anything else.
    """
    host, _, port = str(text).rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        if not 0 <= int(port) <= 65535:
            raise ValueError
    except ValueError:
        raise ConfigError(f"{name}: {text!r} is no address:port") from None
    return host.strip("[]"), int(port)
