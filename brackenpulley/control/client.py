"""The commands' side of the control API: one blocking call at a time."""

from __future__ import annotations

import http.client
import json
import socket
from typing import Any

from ..address import ConfigError
from ..operator import parse_local_address

TIMEOUT = 5.0  # s


class ControlError(RuntimeError):
    """The daemon said no, or did not answer. `status` 0 where it did not."""

    def __init__(self, status: int, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}" if field else text)
        self.status, self.field, self.text = status, field, text


class _Unix(http.client.HTTPConnection):
    def __init__(self, path: str) -> None:
        super().__init__("localhost", timeout=TIMEOUT)
        self._path = path

    def connect(self) -> None:
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(TIMEOUT)
        self.sock.connect(self._path)


class Control:
    """`at` as in the operator's file: '127.0.0.1:9393' or 'unix:/path'."""

    def __init__(self, at: str) -> None:
        try:
            self.at = parse_local_address(at, "control")
        except ConfigError as error:
            raise ControlError(0, "", str(error)) from None
        self.name = at

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Raises ControlError."""
        conn = _Unix(self.at) if isinstance(self.at, str) else http.client.HTTPConnection(*self.at, timeout=TIMEOUT)
        try:
            conn.request(method, path, None if body is None else json.dumps(body), {"Content-Type": "application/json"})
            answer = conn.getresponse()
            status, data = answer.status, answer.read()
        except (OSError, http.client.HTTPException) as error:
            raise ControlError(0, "control", f"{self.name}: {error or type(error).__name__}") from None
        finally:
            conn.close()
        try:
            found = json.loads(data)
        except ValueError:
            raise ControlError(status, "control", f"{self.name}: answers {status} without JSON") from None
        if status >= 400:
            told = found.get("error", {}) if isinstance(found, dict) else {}
            raise ControlError(status, str(told.get("field", "")), str(told.get("text", status)))
        return found
