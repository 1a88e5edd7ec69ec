"""Membership as a part of a daemon: its key file, its id, and the number of members, which the ingress count uses."""

from __future__ import annotations

import base64
import binascii
import os
import time
from pathlib import Path
from typing import Any

from ..address import ConfigError
from ..fleet.gateways import GatewaysService
from ..metrics import Metrics
from ..net.loop import Loop
from ..operator import MembersOptions
from .keys import KeyRing, RingError
from .protocol import Changed
from .station import Part
from .transport import MemberService

SEEK = 3.0  # s between attempts to join through a seed that is not a member


def decode_key(text: str) -> bytes:
    """Return the key of a line in base64. Raises RingError where it is not base64."""
    try:
        return base64.b64decode(text.strip(), validate=True)
    except (binascii.Error, ValueError):
        raise RingError("the key is not valid base64") from None


def read_key_ring(fleet: str, path: str) -> KeyRing:
    """Return the ring of the keys in a file, one in base64 a line, the first one in use.

    Raises ConfigError where the file is unreadable, readable by others, empty or invalid."""
    try:
        if os.stat(path).st_mode & 0o077:
            raise ConfigError(f"members.keys: {path}: readable by group or others; run chmod 600")
        lines = Path(path).read_text(encoding="ascii").split()
        if not lines:
            raise ConfigError(f"members.keys: {path}: the file has no key")
        ring = KeyRing(fleet, decode_key(lines[0]))
        for line in lines[1:]:
            ring.add(decode_key(line))
    except OSError as error:
        raise ConfigError(f"members.keys: {path}: {error.strerror}") from None
    except (RingError, UnicodeDecodeError) as error:
        raise ConfigError(f"members.keys: {path}: {error}") from None
    return ring


class DaemonMembers:
    """Membership of a daemon, under a new id with each start: the name, and the start time in ms.

    The key file is read only at the start: a key that is changed in service has to be changed in the file as well."""

    def __init__(
        self, loop: Loop, options: MembersOptions, name: str, ingress_count: GatewaysService, metrics: Metrics, log: Any
    ) -> None:
        """Raises ConfigError."""
        self.loop, self.options, self.ingress_count = loop, options, ingress_count
        self._seed_attempts = 0
        generation = time.time_ns() // 1_000_000
        self.service = MemberService(
            loop,
            read_key_ring(options.fleet, options.key_file),
            f"{name}@{generation}",
            generation,
            list(options.seeds),
            metrics,
            log,
            self._handle_change,
        )

    def start(self) -> None:
        """Listen and join the fleet. Raises ConfigError where the address is not available."""
        try:
            self.service.listen(self.options.listen, self.options.advertised_address)
        except OSError as error:
            address = self.options.listen
            raise ConfigError(f"members.listen: {address[0]}:{address[1]}: {error.strerror}") from None
        self.loop.call_in(SEEK, self._retry_seeds)

    def attach(self, kind: str, part: Part) -> None:
        """Add a part to the station; to be called after `start`."""
        assert self.service.station is not None
        self.service.station.parts[kind] = part
        self.service.send_pending()

    def _retry_seeds(self) -> None:
        """Join again through seeds that are not members.

        One may have been down at the start, or a partition has outlasted the retention of dead members."""
        if self.service.protocol is None:
            return
        known = {member.address for member in self.service.protocol.alive_members()}
        missing = [seed for seed in self.options.seeds if seed not in known and seed != self.service.protocol.address]
        if missing and not self.service.protocol.is_leaving:
            self._seed_attempts += 1
            self.service.join([missing[self._seed_attempts % len(missing)]])
        self.loop.call_in(SEEK, self._retry_seeds)

    def _handle_change(self, change: Changed) -> None:
        if self.service.protocol is not None:
            self.ingress_count.set_live_members(self.service.protocol.size)

    def change_keys(self, step: str, key: str, mark: str) -> dict[str, Any]:
        """Carry out one step of a key rotation, `add`, `use` or `remove`, and return the marks of all keys.

        Raises RingError where the key or the mark is not valid or the ring does not allow the step."""
        ring = self.service.ring
        if step == "add":
            ring.add(decode_key(key))
        else:
            try:
                decoded_mark = bytes.fromhex(mark)
            except ValueError:
                raise RingError(f"mark {mark!r} is not a hexadecimal mark of a key") from None
            ring.use(decoded_mark) if step == "use" else ring.remove(decoded_mark)
        return {"keys": ring.marks}

    def status(self) -> dict[str, Any]:
        """Return the state of membership for the control API."""
        return self.service.status()

    def leave(self) -> None:
        """Announce to the other members that this one leaves."""
        self.service.leave()

    def stop(self) -> None:
        """Close all sockets."""
        self.service.stop()
