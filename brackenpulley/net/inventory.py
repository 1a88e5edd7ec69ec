"""Discovery's list: taken whole, then watched. Knows where each sim server is and whether it may be used."""

from __future__ import annotations

import contextlib
import json
import random
import socket
from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import httptools

from ..address import Address, ConfigError, parse_address
from ..metrics import Metrics
from ..policy import interface as i
from . import sockets
from .loop import READ, WRITE, Loop, Timer
from .objects import Objects
from .pool import Pool
from .watching import Watch

STATES = {"SERVING": "up", "DRAINING": "draining", "DELETED": "gone"}
LONGEST = 1 << 22  # bytes of one list at most


class Inventory:
    """The endpoints as last told, whatever the source."""

    def __init__(self, tell: Callable[[i.ServerList], None]) -> None:
        self._tell = tell
        self._at: dict[str, Address] = {}
        self._state: dict[str, str] = {}
        self._entries: dict[str, i.ServerEntry] = {}  # as the source told them
        self.taken_out: frozenset[str] = frozenset()  # for work, whatever the source says
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
            self._entries.clear()
        for entry, _ in entries:
            self._entries[entry.server] = entry
        if self.taken_out:
            entries = [(self._as_it_is(entry), at) for entry, at in entries]
        for entry, at in entries:
            if entry.state == "gone":
                self._state.pop(entry.server, None)
                self._at.pop(entry.server, None)
                self._entries.pop(entry.server, None)
                continue
            self._state[entry.server] = entry.state
            if at is not None:
                self._at[entry.server] = at
        self._tell(i.ServerList(how, [entry for entry, _ in entries], version))

    def take_out(self, servers: frozenset[str]) -> None:
        """These get no new work, as if they drained, until they are no longer named."""
        changed = servers ^ self.taken_out
        self.taken_out = servers
        rows = [self._as_it_is(entry) for name, entry in self._entries.items() if name in changed]
        for row in rows:
            self._state[row.server] = row.state
        if rows:
            self._tell(i.ServerList("changes", rows, self.version))

    def _as_it_is(self, entry: i.ServerEntry) -> i.ServerEntry:
        out = entry.server in self.taken_out and entry.state == "up"
        return replace(entry, state="draining") if out else entry

    def listed(self) -> list[i.ServerEntry]:
        """As the source tells them."""
        return list(self._entries.values())

    def told(self, obj: Any, stale: bool = False, whole: bool = False) -> int:
        """One object in discovery's form; `whole`: the whole list was asked for. Raises ValueError if it is none.

        Returns how many entries could not be read. Such a server gets nothing new; the others are told as they are."""
        if not isinstance(obj, dict) or not isinstance(obj.get("instances"), list):
            raise ValueError("not a list of instances")
        how = "stale" if stale else "full" if whole or obj.get("reset") else "changes"
        found, unread = [], 0
        for x in obj["instances"]:
            if not isinstance(x, dict) or not isinstance(x.get("instanceId"), str):
                if how == "changes":  # which server has changed is not known: only the whole list tells
                    raise ValueError("instances: an entry without instanceId")
                unread += 1
                continue
            try:
                found.append(entry(x))
            except (ValueError, TypeError, ArithmeticError):
                unread += 1
                found.append((i.ServerEntry(x["instanceId"], state="draining"), None))
        self.change(how, found, int(obj.get("generation", self.version)))
        return unread


def _number(value: Any, name: str) -> float:
    number = float(value)
    if not 0 <= number < 1e15:  # nor one that is none
        raise ValueError(f"{name}: {value!r}")
    return number


def entry(x: dict[str, Any]) -> tuple[i.ServerEntry, Address | None]:
    """Raises ValueError, TypeError or ArithmeticError where it cannot be read."""
    state = STATES.get(str(x.get("lifecycle", "SERVING")), "draining")  # an unknown state gets nothing new
    try:
        at = parse_address(x["hostPort"], "hostPort") if state != "gone" or "hostPort" in x else None
    except (KeyError, ConfigError) as error:
        raise ValueError(f"instances: {x['instanceId']}: {error}") from None
    return i.ServerEntry(
        server=x["instanceId"],
        zone=str(x.get("zone", "")),
        cell=int(x.get("cell", 0)),
        size=_number(x.get("weight", 1.0), "weight"),
        state=state,
        started=_number(x.get("startedAtMs") or 0, "startedAtMs") / 1000,
        kind=str(x.get("machineType", "")),
    ), at


class Discovery:
    """The source that the platform has. Owns its one connection, closed in `_close` alone."""

    def __init__(
        self, loop: Loop, pool: Pool, inventory: Inventory, at: Address, metrics: Metrics, log: Any, rng: random.Random
    ) -> None:
        self.loop, self.pool, self.inventory, self.at = loop, pool, inventory, at
        self.metrics, self.log = metrics, log
        self._watch = Watch(rng)
        self.heard = False  # discovery has answered since the start
        self._sock: socket.socket | None = None
        self._parser: Any = None
        self._objects = Objects(LONGEST)
        self._listed = False
        self._up = self._whole = False  # the connection is; a list came over it
        self.heard_at = 0.0  # when the source last said anything, a sign of life too
        self._silence: Timer | None = None
        self._wait: Timer | None = None  # until the next call
        self._stopped = False

    def start(self) -> None:
        """A watch from the version that is held, or the whole list first; again when one breaks.

        A list from the configuration is enough to watch from: what changed since is told first, or else the whole."""
        self._listed = self.inventory.version > 0
        self._ask()

    def _ask(self) -> None:
        if self._wait is not None:
            self._wait.cancel()
            self._wait = None
        if self._sock is not None or self._stopped:
            return
        self._watch.asking(self.loop.clock(), not self._listed)
        self._objects, self._up, self._whole = Objects(LONGEST), False, False
        self._parser = httptools.HttpResponseParser(self)
        try:
            self._sock = sock = sockets.connect(self.at)
        except OSError:
            self._wait = self.loop.call_in(self._watch.broken(self.loop.clock()), self._ask)
            return
        self.loop.register(sock, WRITE, self._event, urgent=True)
        self._watch_silence()

    def move(self, at: Address) -> None:
        """From now on the list is told elsewhere: all of it is asked for there, at once."""
        if at == self.at or self._stopped:
            return
        self.at, self._listed = at, False
        self._watch.moved()
        self._close()
        self._ask()

    def _watch_silence(self) -> None:
        if self._silence is not None:
            self._silence.cancel()
        self._silence = self.loop.call_at(self._watch.due(), self._silent)

    def _silent(self) -> None:
        if self.loop.clock() >= self._watch.due():
            self._broken("silent")
        else:
            self._watch_silence()

    def _event(self, events: int) -> None:
        assert self._sock is not None
        try:
            if not self._up:
                if error := sockets.connect_error(self._sock):
                    raise OSError(error, "connect")
                self._up = True
                self._watch.connected()
                target = f"/v1/endpoints?watch=1&from={self.inventory.version}" if self._listed else "/v1/endpoints"
                self._sock.send(f"GET {target} HTTP/1.1\r\nHost: {self.at[0]}:{self.at[1]}\r\n\r\n".encode())
                self.loop.set_interest(self._sock, READ, self._event)
                return
            buffer = self.pool.acquire()
            try:
                count = self._sock.recv_into(buffer)
                if not count:
                    raise OSError("ended")
                self.heard_at = self.loop.clock()
                self._watch.heard(self.heard_at)
                self._parser.feed_data(memoryview(buffer)[:count])
            finally:
                self.pool.release(buffer)
            self._watch_silence()
        except BlockingIOError:
            return
        except (OSError, httptools.HttpParserError) as error:
            if self._sock is not None:
                self._broken(str(error))

    def on_body(self, part: bytes) -> None:
        if self._parser.get_status_code() == 200:
            with self._refused():
                for data in self._objects.feed(part):
                    self._told(data)
            self._watch.holds(self._objects.open, self.heard_at)

    def on_headers_complete(self) -> None:
        """What is said with another status is no list, and may never end."""
        status = self._parser.get_status_code()
        if status >= 200 and status != 200:
            self._listed = self._listed and status >= 429  # turned away: what is held is still good
            self._soon(lambda: self._broken(f"answered {status}"))

    def on_message_complete(self) -> None:
        """The list is whole, or the watch has ended."""
        if self._parser.get_status_code() != 200:
            return
        with self._refused():
            self._objects.end()
        if self._listed or not self._whole:
            self._soon(lambda: self._broken("ended" if self._listed else "ended without a list"))
        else:
            self._listed = True
            self._soon(self._again)

    def _soon(self, call: Callable[[], None]) -> None:
        """In the next turn, if this connection is still the one: a new configuration may come in between."""
        sock = self._sock
        self.loop.call_soon(lambda: call() if self._sock is sock else None)

    def _told(self, data: bytes) -> None:
        if unread := self.inventory.told(json.loads(data), whole=not self._listed):
            self.metrics.add("list_entries_unread", unread)
            self.log.error("discovery", error=f"{unread} entries cannot be read")
        self.heard = self._whole = True
        self._watch.told()
        self.metrics.add("lists")

    @contextlib.contextmanager
    def _refused(self) -> Iterator[None]:
        """What cannot be read may have been a change that is missing from now on: the whole list is asked for."""
        try:
            yield
        except (ValueError, TypeError, ArithmeticError, RecursionError) as error:
            self.log.error("discovery", error=str(error))
            self._listed = False
            raise

    def _again(self) -> None:
        self._close()
        self._ask()

    def _broken(self, why: str) -> None:
        if self._sock is None:
            return
        self.metrics.add("watch_breaks")
        self.log.info("watch broken", why=why)
        self._close()
        self._wait = self.loop.call_in(self._watch.broken(self.loop.clock()), self._ask)

    def _close(self) -> None:
        if self._sock is not None:
            self.loop.unregister(self._sock)
            self._sock.close()
            self._sock = None
        if self._silence is not None:
            self._silence.cancel()

    def stop(self) -> None:
        self._stopped = True
        self._close()
        if self._wait is not None:
            self._wait.cancel()
