"""Blocking client of the control API, used by the commands: one connection per call."""

from __future__ import annotations

import http.client
import json
import socket
from typing import Any

from ..address import ConfigError
from ..operator import parse_local_address

CALL_TIMEOUT_SECONDS = 5.0


class ControlError(RuntimeError):
    """A control API call that failed or was answered with an error.

    `status` is the HTTP status, or 0 where there was no response. `field` names the wrong field or the part that
    failed, and `text` says what is wrong.
    """

    def __init__(self, status: int, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}" if field else text)
        self.status, self.field, self.text = status, field, text


class _UnixConnection(http.client.HTTPConnection):
    """HTTP connection over a Unix socket."""

    def __init__(self, path: str) -> None:
        super().__init__("localhost", timeout=CALL_TIMEOUT_SECONDS)
        self._path = path

    def connect(self) -> None:
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(CALL_TIMEOUT_SECONDS)
        self.sock.connect(self._path)


class ControlClient:
    """Client of one daemon's control API.

    `address` is written as in the operator's file: '127.0.0.1:9393' or 'unix:/path'. Raises ControlError where it is
    not a valid local address.
    """

    def __init__(self, address: str) -> None:
        try:
            self.address = parse_local_address(address, "control")
        except ConfigError as error:
            raise ControlError(0, "", str(error)) from None
        self.name = address

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Sends one request and returns the decoded JSON response, or None for one without content.

        `body` is sent as JSON unless it is None. Raises ControlError where no response arrives, where it is not JSON,
        and where its status is 400 or higher.
        """
        connection = (
            _UnixConnection(self.address)
            if isinstance(self.address, str)
            else http.client.HTTPConnection(*self.address, timeout=CALL_TIMEOUT_SECONDS)
        )
        try:
            connection.request(
                method, path, None if body is None else json.dumps(body), {"Content-Type": "application/json"}
            )
            response = connection.getresponse()
            status, data = response.status, response.read()
        except (OSError, http.client.HTTPException) as error:
            raise ControlError(0, "control", f"{self.name}: {error or type(error).__name__}") from None
        finally:
            connection.close()
        if status == http.HTTPStatus.NO_CONTENT:
            return None
        try:
            content = json.loads(data)
        except ValueError:
            raise ControlError(
                status, "control", f"{self.name}: the response with status {status} is not valid JSON"
            ) from None
        if status >= 400:
            reported = content.get("error", {}) if isinstance(content, dict) else {}
            raise ControlError(status, str(reported.get("field", "")), str(reported.get("text", status)))
        return content
