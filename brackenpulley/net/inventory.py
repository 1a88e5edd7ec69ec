"""Discovery's list: taken whole, then watched. Knows where each sim server is and whether it may be used."""

from __future__ import annotations

import json
import random
import socket
from collections.abc import Callable
from typing import Any

import httptools

from ..address import Address, ConfigError, address
from ..metrics import Metrics
from ..policy import interface as i
from . import sockets
from .loop import READ, WRITE, Loop, Timer
from .pool import Pool

STATES = {"SERVING": "up", "DRAINING": "draining", "DELETED": "gone"}
SILENT = 4.5  # s; an empty line comes every 2 s, so a second one is missing
UNLISTED = 1.0  # s for a connection to come up, and for the whole list to come
AGAIN, AGAIN_MOST = 0.1, 2.0  # s before a watch that broke is asked for again: at first, and doubled up to
LINE = 1 << 22  # bytes of one line at most


class Inventory:
    """The endpoints as last told, whatever the source."""

    def __init__(self, tell: Callable[[i.ServerList], None]) -> None:
        self._tell = tell
        self._at: dict[str, Address] = {}
        self._state: dict[str, str] = {}
        self.version = 0

    def usable(self, server: str) -> bool:
        return self._state.get(server) == "up"

    def address(self, server: str) -> Address | None:
        return self._at.get(server)

    def __len__(self) -> int:
        return len(self._state)

    def change(self, how: str, entries: list[tuple[i.ServerEntry, Address | None]], version: int) -> None:
        self.version = version
        if how != "changes":
            self._at.clear()
            self._state.clear()
        for entry, at in entries:
            if entry.state == "gone":
                self._state.pop(entry.server, None)
                self._at.pop(entry.server, None)
                continue
            self._state[entry.server] = entry.state
            if at is not None:
                self._at[entry.server] = at
        self._tell(i.ServerList(how, [entry for entry, _ in entries], version))

    def told(self, obj: Any, stale: bool = False) -> None:
        """One object in discovery's form. Raises ValueError if it is none."""
        if not isinstance(obj, dict) or not isinstance(obj.get("instances"), list):
            raise ValueError("not a list of instances")
        how = "stale" if stale else "full" if obj.get("reset") else "changes"
        self.change(how, [entry(x) for x in obj["instances"]], int(obj.get("generation", self.version)))


def entry(x: Any) -> tuple[i.ServerEntry, Address | None]:
    if not isinstance(x, dict) or not isinstance(x.get("instanceId"), str):
        raise ValueError("instances: an entry without instanceId")
    state = STATES.get(str(x.get("lifecycle", "SERVING")), "draining")  # an unknown state gets nothing new
    try:
        at = address(x["hostPort"], "hostPort") if state != "gone" or "hostPort" in x else None
    except (KeyError, ConfigError) as error:
        raise ValueError(f"instances: {x['instanceId']}: {error}") from None
    return i.ServerEntry(
        server=x["instanceId"], zone=str(x.get("zone", "")), cell=int(x.get("cell", 0)),
        size=float(x.get("weight", 1.0)), state=state, started=float(x.get("startedAtMs") or 0) / 1000,
        kind=str(x.get("machineType", ""))), at


class Discovery:
    """The source that the platform has. Owns its one connection, closed in `_close` alone."""

    def __init__(self, loop: Loop, pool: Pool, inventory: Inventory, at: Address, metrics: Metrics, log: Any,
                 rng: random.Random) -> None:
        self.loop, self.pool, self.inventory, self.at = loop, pool, inventory, at
        self.metrics, self.log, self.rng = metrics, log, rng
        self._wait = AGAIN
        self.heard = False  # discovery has answered since the start
        self._sock: socket.socket | None = None
        self._parser: Any = None
        self._line = b""
        self._listed = False
        self._up = False
        self._began = self._last = 0.0
        self.heard_at = 0.0  # when the source last said anything, a sign of life too
        self._silence: Timer | None = None
        self._stopped = False

    def start(self) -> None:
        """A watch from the version that is held, or the whole list first; again when one breaks.

        A list from the configuration is enough to watch from: what changed since is told first, or else the whole."""
        if self._sock is not None or self._stopped:
            return
        if not self.heard and self.inventory.version > 0:
            self._listed = True
        self._began = self._last = self.loop.clock()
        self._line, self._up = b"", False
        self._parser = httptools.HttpResponseParser(self)
        try:
            self._sock = sock = sockets.connect(self.at)
        except OSError:
            self._later()
            return
        self.loop.register(sock, WRITE, self._event, urgent=True)
        self._watch_silence()

    def move(self, at: Address) -> None:
        """From now on the list is told elsewhere: all of it is asked for there, at once."""
        if at == self.at or self._stopped:
            return
        self.at, self._listed = at, False
        self._close()
        self.start()

    def _watch_silence(self) -> None:
        self._silence = self.loop.call_at(self._last + self._patience(), self._silent)

    def _patience(self) -> float:
        return SILENT if self._up and self._listed else UNLISTED

    def _silent(self) -> None:
        if self.loop.clock() - self._last >= self._patience():
            self._broken("silent")
        else:
            self._watch_silence()

    def _event(self, events: int) -> None:
        assert self._sock is not None
        try:
            if not self._up:
                if error := sockets.failed(self._sock):
                    raise OSError(error, "connect")
                self._up = True
                target = f"/v1/endpoints?watch=1&from={self.inventory.version}" if self._listed else "/v1/endpoints"
                self._sock.send(f"GET {target} HTTP/1.1\r\nHost: {self.at[0]}:{self.at[1]}\r\n\r\n".encode())
                self.loop.want(self._sock, READ, self._event)
                return
            buffer = self.pool.take()
            try:
                count = self._sock.recv_into(buffer)
                if not count:
                    raise OSError("ended")
                self._last = self.heard_at = self.loop.clock()
                self._parser.feed_data(memoryview(buffer)[:count])
            finally:
                self.pool.give(buffer)
        except BlockingIOError:
            return
        except (OSError, httptools.HttpParserError) as error:
            if self._sock is not None:
                self._broken(str(error))

    def on_body(self, part: bytes) -> None:
        *lines, self._line = (self._line + part).split(b"\n")
        for line in lines:
            self._told(line)
        if len(self._line) > LINE:
            raise ValueError("a line too long")

    def on_message_complete(self) -> None:
        """The list is whole, or the watch has ended."""
        status = self._parser.get_status_code()
        good = status == 200
        line, self._line = self._line, b""
        if good and line.strip():
            self._told(line)
        if good and not self._listed:
            self._listed = True
            self.loop.call_soon(self._again)
        else:
            self._listed = self._listed and (good or status >= 429)  # turned away: what is held is still good
            self.loop.call_soon(lambda: self._broken(f"ended with {status}"))

    def _told(self, line: bytes) -> None:
        if not line.strip() or self._parser.get_status_code() != 200:
            return
        try:
            self.inventory.told(json.loads(line))
        except (ValueError, TypeError) as error:
            self.log.error("discovery", error=str(error))
            self._listed = False
            raise
        self.heard, self._wait = True, AGAIN
        self.metrics.add("lists")

    def _again(self) -> None:
        self._close()
        self.start()

    def _broken(self, why: str) -> None:
        if self._sock is None:
            return
        self.metrics.add("watch_breaks")
        self.log.info("watch broken", why=why)
        self._close()
        self._later()

    def _later(self) -> None:
        """With full jitter: many ingresses that ask again in step keep a crowded discovery crowded."""
        self.loop.call_in(self.rng.uniform(0.0, self._wait), self.start)
        self._wait = min(AGAIN_MOST, 2 * self._wait)

    def _close(self) -> None:
        if self._sock is not None:
            self.loop.forget(self._sock)
            self._sock.close()
            self._sock = None
        if self._silence is not None:
            self._silence.cancel()

    def stop(self) -> None:
        self._stopped = True
        self._close()
