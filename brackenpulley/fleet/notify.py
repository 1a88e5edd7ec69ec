"""Readiness and life signs between a process and who watches it: sd_notify(3), one datagram of NAME=VALUE lines."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Mapping

LARGEST = 4096  # bytes of a datagram
CREDENTIALS = struct.Struct("3i")  # process, user, group: struct ucred of unix(7)


def parse(data: bytes) -> dict[str, str]:
    """Lines without '=' are passed over, as systemd does; of a name told twice the last counts."""
    text = data.decode("utf-8", "replace")
    return {
        name: value
        for line in text.split("\n")
        if (parts := line.partition("="))[1]
        for name, value in [(parts[0], parts[2])]
    }


def sender(ancillary: list[tuple[int, int, bytes]]) -> int:
    """The process that sent a datagram, as the kernel says; 0 where it does not."""
    for level, kind, data in ancillary:
        if level == socket.SOL_SOCKET and kind == socket.SCM_CREDENTIALS and len(data) >= CREDENTIALS.size:
            return int(CREDENTIALS.unpack(data[: CREDENTIALS.size])[0])
    return 0


def watchdog(env: Mapping[str, str]) -> float:
    """s between life signs that the watcher expects at most; 0 = none. WATCHDOG_PID must be ours where it is told."""
    text, pid = env.get("WATCHDOG_USEC", ""), env.get("WATCHDOG_PID", "")
    if not text.isdigit() or pid and pid != str(os.getpid()):
        return 0.0
    return int(text) / 1e6


class Notifier:
    """Owns its socket. Without NOTIFY_SOCKET, or with nobody there, nothing is sent and nothing fails."""

    def __init__(self, env: Mapping[str, str]) -> None:
        name = env.get("NOTIFY_SOCKET", "")
        self.at = "\0" + name[1:] if name.startswith("@") else name
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) if self.at[:1] in ("/", "\0") else None
        if self._sock is not None:
            self._sock.setblocking(False)
        self.unheard = 0  # datagrams that could not be sent

    @property
    def on(self) -> bool:
        return self._sock is not None

    def say(self, **fields: str | int) -> None:
        """For example say(READY=1, STATUS="serving"). A full or missing socket never holds the caller up."""
        if self._sock is None:
            return
        text = "\n".join(f"{name}={str(value).replace(chr(10), ' ')}" for name, value in fields.items())
        try:
            self._sock.sendto(text.encode()[:LARGEST], self.at)
        except OSError:
            self.unheard += 1

    def close(self) -> None:
        if self._sock is not None:
            self._sock.close()
            self._sock = None
