"""Shares the ids in hand with another process at the same address, for as long as there is one (see `id_claims`)."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from ..address import Address
from ..core.ingress import LEFT_ID_SECONDS, Ingress
from .id_claims import IdClaims
from .loop import Loop, Timer

HEARTBEAT_INTERVAL_SECONDS = 0.25


class IdSharing:
    """Opens the claims of an address in $TMPDIR, and gives them to the core while another process is there."""

    def __init__(self, loop: Loop, ingress: Ingress, log: Any) -> None:
        self.loop, self.ingress, self.log = loop, ingress, log
        self._claims: IdClaims | None = None
        self._timer: Timer | None = None

    def start(self, address: Address) -> None:
        """Begin with heartbeats. Without $TMPDIR, or where the file cannot be used, nothing is shared."""
        folder = os.environ.get("TMPDIR")
        if not folder:
            return
        path = Path(folder) / f"brackenpulley-{address[0].replace(':', '_')}-{address[1]}.ids"
        try:
            self._claims = IdClaims(path, self.loop.clock)
        except (OSError, ValueError) as error:
            self.log.error("ids in hand are not shared", path=str(path), error=str(error))
            return
        self._beat()

    def _beat(self) -> None:
        assert self._claims is not None
        is_shared = self._claims.beat()
        if is_shared and self.ingress.id_claims is None:
            for message_id in self.ingress.exchanges:
                self._claims.claim(message_id)
            for message_id in self.ingress.left_ids:
                self._claims.claim(message_id, LEFT_ID_SECONDS)
        self.ingress.id_claims = self._claims if is_shared else None
        self._timer = self.loop.call_in(HEARTBEAT_INTERVAL_SECONDS, self._beat)

    def stop(self) -> None:
        """End the heartbeats."""
        self.ingress.id_claims = None
        if self._timer is not None:
            self._timer.cancel()
        if self._claims is not None:
            self._claims.close()
            self._claims = None
