"""The sd_notify(3) protocol: a process reports readiness and status in datagrams of NAME=VALUE lines.

The supervisor receives them from its instances and sends its own to systemd; instances send them from `health`."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Mapping

MAX_DATAGRAM_BYTES = 4096
CREDENTIALS = struct.Struct("3i")  # process, user, group: struct ucred of unix(7)


def parse_fields(data: bytes) -> dict[str, str]:
    """Parse a datagram. As in systemd, lines without '=' are ignored and the last value of a repeated name counts."""
    text = data.decode("utf-8", "replace")
    return {
        name: value
        for line in text.split("\n")
        if (parts := line.partition("="))[1]
        for name, value in [(parts[0], parts[2])]
    }


def sender_pid(ancillary: list[tuple[int, int, bytes]]) -> int:
    """Return the pid of a datagram's sender from the credentials that the kernel attached; 0 if there are none."""
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == socket.SCM_CREDENTIALS and len(data) >= CREDENTIALS.size:
            return int(CREDENTIALS.unpack(data[: CREDENTIALS.size])[0])
    return 0


def watchdog_timeout(env: Mapping[str, str]) -> float:
    """Return the watchdog timeout in seconds; 0 if there is none, or if WATCHDOG_PID names another process."""
    text, pid = env.get("WATCHDOG_USEC", ""), env.get("WATCHDOG_PID", "")
    if not text.isdigit() or pid and pid != str(os.getpid()):
        return 0.0
    return int(text) / 1e6


class Notifier:
    """Sends notifications to NOTIFY_SOCKET. Without that variable, or without a receiver, nothing is sent or raised."""

    def __init__(self, env: Mapping[str, str]) -> None:
        name = env.get("NOTIFY_SOCKET", "")
        self.address = "\0" + name[1:] if name.startswith("@") else name
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) if self.address[:1] in ("/", "\0") else None
        if self._sock is not None:
            self._sock.setblocking(False)
        self.unsent = 0  # datagrams that could not be sent

    @property
    def is_enabled(self) -> bool:
        """Whether NOTIFY_SOCKET names a socket."""
        return self._sock is not None

    def notify(self, **fields: str | int) -> None:
        """Send fields, such as notify(READY=1, STATUS="serving"). Never blocks, even on a full socket."""
        if self._sock is None:
            return
        text = "\n".join(f"{name}={str(value).replace(chr(10), ' ')}" for name, value in fields.items())
        try:
            self._sock.sendto(text.encode()[:MAX_DATAGRAM_BYTES], self.address)
        except OSError:
            self.unsent += 1

    def close(self) -> None:
        """Close the socket; later notifications are not sent."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None
