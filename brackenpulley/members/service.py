"""Membership as a part of a daemon: its key file, its id, and the count that it tells on."""

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

SEEK = 3.0  # s between tries to reach a seed that is no member


def key_of(text: str) -> bytes:
    """Base64 of 16, 24 or 32 bytes. Raises RingError."""
    try:
        return base64.b64decode(text.strip(), validate=True)
    except (binascii.Error, ValueError):
        raise RingError("no base64") from None


def read_ring(fleet: str, path: str) -> KeyRing:
    """Raises ConfigError."""
    try:
        if os.stat(path).st_mode & 0o077:
            raise ConfigError(f"members.keys: {path}: others may read it; chmod 600")
        lines = Path(path).read_text(encoding="ascii").split()
        if not lines:
            raise ConfigError(f"members.keys: {path}: empty")
        ring = KeyRing(fleet, key_of(lines[0]))
        for line in lines[1:]:
            ring.add(key_of(line))
    except OSError as error:
        raise ConfigError(f"members.keys: {path}: {error.strerror}") from None
    except (RingError, UnicodeDecodeError) as error:
        raise ConfigError(f"members.keys: {path}: {error}") from None
    return ring


class DaemonMembers:
    """A new id each start: the name, and the ms of the start. The file is read at the start; what commands change in
    service is theirs to write into it."""

    def __init__(
        self, loop: Loop, part: MembersOptions, name: str, gateways: GatewaysService, metrics: Metrics, log: Any
    ) -> None:
        """Raises ConfigError."""
        self.loop, self.part, self.gateways = loop, part, gateways
        self._sought = 0
        life = time.time_ns() // 1_000_000
        self.service = MemberService(
            loop,
            read_ring(part.fleet, part.key_file),
            f"{name}@{life}",
            life,
            list(part.seeds),
            metrics,
            log,
            self._changed,
        )

    def start(self) -> None:
        try:
            self.service.listen(self.part.listen, self.part.advertised_address)
        except OSError as error:
            at = self.part.listen
            raise ConfigError(f"members.listen: {at[0]}:{at[1]}: {error.strerror}") from None
        self.loop.call_in(SEEK, self._seek)

    def attach(self, kind: str, part: Part) -> None:
        """One more part of the station; membership listens by now."""
        assert self.service.station is not None
        self.service.station.parts[kind] = part
        self.service.said()

    def _seek(self) -> None:
        """Seeds that are no members now are asked again: one was down at the start, or a partition outlasted what is
        remembered of the dead."""
        if self.service.protocol is None:
            return
        known = {member.address for member in self.service.protocol.alive()}
        missing = [seed for seed in self.part.seeds if seed not in known and seed != self.service.protocol.address]
        if missing and not self.service.protocol.leaving:
            self._sought += 1
            self.service.join([missing[self._sought % len(missing)]])
        self.loop.call_in(SEEK, self._seek)

    def _changed(self, change: Changed) -> None:
        if self.service.protocol is not None:
            self.gateways.set_live_members(self.service.protocol.size)

    def key(self, step: str, key: str, mark: str) -> dict[str, Any]:
        """One of the three steps of a change of keys. Raises RingError."""
        ring = self.service.ring
        if step == "add":
            ring.add(key_of(key))
        else:
            try:
                named = bytes.fromhex(mark)
            except ValueError:
                raise RingError(f"{mark!r} is no mark of a key") from None
            ring.use(named) if step == "use" else ring.remove(named)
        return {"keys": ring.marks}

    def status(self) -> dict[str, Any]:
        return self.service.status()

    def leave(self) -> None:
        self.service.leave()

    def stop(self) -> None:
        self.service.stop()
