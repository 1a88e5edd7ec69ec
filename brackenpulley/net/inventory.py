"""The inventory of sim servers, and the discovery client that keeps it current.

Discovery sends the whole list first and then a watch of changes. The south side, the decision module and the front for
external authorisation ask the inventory where a server is and whether it may be used."""

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
from ..policy import interface
from . import sockets
from .loop import READ, WRITE, Loop, Timer
from .objects import JsonObjectSplitter
from .pool import Pool
from .watching import WatchSchedule

STATE_BY_LIFECYCLE = {"SERVING": "up", "DRAINING": "draining", "DELETED": "gone"}
MAX_LIST_BYTES = 1 << 22  # of one list or change


class Inventory:
    """The sim servers as last listed by the source, whichever that is. `on_change` receives each change."""

    def __init__(self, on_change: Callable[[interface.ServerList], None]) -> None:
        self._on_change = on_change
        self._addresses: dict[str, Address] = {}
        self._states: dict[str, str] = {}
        self._entries: dict[str, interface.ServerEntry] = {}  # as the source listed them
        self.cordoned: frozenset[str] = frozenset()  # out of use for maintenance, whatever the source says
        self.version = 0

    def is_usable(self, server: str) -> bool:
        """Tell whether new work may be sent to `server`."""
        return self._states.get(server) == "up"

    def find_address(self, server: str) -> Address | None:
        """Return the address of `server`, or None if it is not listed with one."""
        return self._addresses.get(server)

    def __len__(self) -> int:
        return len(self._states)

    def apply(self, how: str, entries: list[tuple[interface.ServerEntry, Address | None]], version: int) -> None:
        """Apply a whole list or, where `how` is `changes`, the entries that changed."""
        self.version = version
        if how != "changes":
            self._addresses.clear()
            self._states.clear()
            self._entries.clear()
        for entry, _ in entries:
            self._entries[entry.server] = entry
        if self.cordoned:
            entries = [(self._effective_entry(entry), server_address) for entry, server_address in entries]
        for entry, server_address in entries:
            if entry.state == "gone":
                self._states.pop(entry.server, None)
                self._addresses.pop(entry.server, None)
                self._entries.pop(entry.server, None)
                continue
            self._states[entry.server] = entry.state
            if server_address is not None:
                self._addresses[entry.server] = server_address
        self._on_change(interface.ServerList(how, [entry for entry, _ in entries], version))

    def set_cordoned(self, servers: frozenset[str]) -> None:
        """Cordon exactly these servers: they get no new work, as if draining, until a call leaves them out."""
        changed = servers ^ self.cordoned
        self.cordoned = servers
        effective_entries = [self._effective_entry(entry) for name, entry in self._entries.items() if name in changed]
        for effective_entry in effective_entries:
            self._states[effective_entry.server] = effective_entry.state
        if effective_entries:
            self._on_change(interface.ServerList("changes", effective_entries, self.version))

    def _effective_entry(self, entry: interface.ServerEntry) -> interface.ServerEntry:
        is_cordoned = entry.server in self.cordoned and entry.state == "up"
        return replace(entry, state="draining") if is_cordoned else entry

    def list_entries(self) -> list[interface.ServerEntry]:
        """Return the entries as the source listed them, without regard to cordons."""
        return list(self._entries.values())

    def apply_object(self, obj: Any, is_stale: bool = False, is_full_list: bool = False) -> int:
        """Apply one object in discovery's form. Raises ValueError if it is no list of servers.

        `is_full_list`: the whole list was requested, so the object is one even without a `reset`.
        Returns the number of unreadable entries. Such a server gets no new work; the other entries are applied."""
        if not isinstance(obj, dict) or not isinstance(obj.get("instances"), list):
            raise ValueError("instances: not a list")
        how = "stale" if is_stale else "full" if is_full_list or obj.get("reset") else "changes"
        entries, unreadable_count = [], 0
        for raw_entry in obj["instances"]:
            if not isinstance(raw_entry, dict) or not isinstance(raw_entry.get("instanceId"), str):
                if how == "changes":  # the changed server is not known: only the whole list can tell
                    raise ValueError("instances: entry without instanceId")
                unreadable_count += 1
                continue
            try:
                entries.append(parse_entry(raw_entry))
            except (ValueError, TypeError, ArithmeticError):
                unreadable_count += 1
                entries.append((interface.ServerEntry(raw_entry["instanceId"], state="draining"), None))
        self.apply(how, entries, int(obj.get("generation", self.version)))
        return unreadable_count


def _parse_number(value: Any, name: str) -> float:
    number = float(value)
    if not 0 <= number < 1e15:  # also rejects nan
        raise ValueError(f"{name}: {value!r} is not a number from 0 up to 1e15")
    return number


def parse_entry(raw_entry: dict[str, Any]) -> tuple[interface.ServerEntry, Address | None]:
    """Parse one entry of the list. Raises ValueError, TypeError or ArithmeticError if it is unreadable."""
    state = STATE_BY_LIFECYCLE.get(str(raw_entry.get("lifecycle", "SERVING")), "draining")  # unknown: no new work
    try:
        server_address = (
            parse_address(raw_entry["hostPort"], "hostPort") if state != "gone" or "hostPort" in raw_entry else None
        )
    except (KeyError, ConfigError) as error:
        raise ValueError(f"instances: {raw_entry['instanceId']}: {error}") from None
    return interface.ServerEntry(
        server=raw_entry["instanceId"],
        zone=str(raw_entry.get("zone", "")),
        cell=int(raw_entry.get("cell", 0)),
        size=_parse_number(raw_entry.get("weight", 1.0), "weight"),
        state=state,
        started=_parse_number(raw_entry.get("startedAtMs") or 0, "startedAtMs") / 1000,
        kind=str(raw_entry.get("machineType", "")),
    ), server_address


class Discovery:
    """Client of the platform's discovery service. Owns its one connection, which is closed in `_close` alone."""

    def __init__(
        self, loop: Loop, pool: Pool, inventory: Inventory, at: Address, metrics: Metrics, log: Any, rng: random.Random
    ) -> None:
        self.loop, self.pool, self.inventory, self.at = loop, pool, inventory, at
        self.metrics, self.log = metrics, log
        self._schedule = WatchSchedule(rng)
        self.heard = False  # a list was received since the start
        self._sock: socket.socket | None = None
        self._parser: Any = None
        self._splitter = JsonObjectSplitter(MAX_LIST_BYTES)
        self._has_full_list = False  # so a watch from its version is enough
        self._is_connected = False
        self._has_received_list = False  # over the current connection
        self.heard_at = 0.0  # when the last byte came, heartbeats included
        self._deadline_timer: Timer | None = None
        self._retry_timer: Timer | None = None
        self._is_stopped = False

    def start(self) -> None:
        """Request the whole list and then watch it, reconnecting on failures.

        A list from the configuration is enough to start with a watch: discovery first sends what changed since, or
        else the whole list."""
        self._has_full_list = self.inventory.version > 0
        self._connect()

    def _connect(self) -> None:
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self._sock is not None or self._is_stopped:
            return
        self._schedule.start_call(self.loop.clock(), not self._has_full_list)
        self._splitter, self._is_connected, self._has_received_list = JsonObjectSplitter(MAX_LIST_BYTES), False, False
        self._parser = httptools.HttpResponseParser(self)
        try:
            self._sock = sock = sockets.connect(self.at)
        except OSError:
            self._retry_timer = self.loop.call_in(self._schedule.record_failure(self.loop.clock()), self._connect)
            return
        self.loop.register(sock, WRITE, self._handle_event, urgent=True)
        self._arm_deadline()

    def move(self, at: Address) -> None:
        """Switch to discovery at another address and request the whole list there at once."""
        if at == self.at or self._is_stopped:
            return
        self.at, self._has_full_list = at, False
        self._schedule.reset()
        self._close()
        self._connect()

    def _arm_deadline(self) -> None:
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        self._deadline_timer = self.loop.call_at(self._schedule.next_deadline(), self._check_deadline)

    def _check_deadline(self) -> None:
        if self.loop.clock() >= self._schedule.next_deadline():
            self._fail("silent")
        else:
            self._arm_deadline()

    def _handle_event(self, events: int) -> None:
        assert self._sock is not None
        try:
            if not self._is_connected:
                if error := sockets.connect_error(self._sock):
                    raise OSError(error, "connect")
                self._is_connected = True
                self._schedule.set_connected()
                target = (
                    f"/v1/endpoints?watch=1&from={self.inventory.version}" if self._has_full_list else "/v1/endpoints"
                )
                self._sock.send(f"GET {target} HTTP/1.1\r\nHost: {self.at[0]}:{self.at[1]}\r\n\r\n".encode())
                self.loop.set_interest(self._sock, READ, self._handle_event)
                return
            buffer = self.pool.acquire()
            try:
                count = self._sock.recv_into(buffer)
                if not count:
                    raise OSError("ended")
                self.heard_at = self.loop.clock()
                self._schedule.record_byte(self.heard_at)
                self._parser.feed_data(memoryview(buffer)[:count])
            finally:
                self.pool.release(buffer)
            self._arm_deadline()
        except BlockingIOError:
            return
        except (OSError, httptools.HttpParserError) as error:
            if self._sock is not None:
                self._fail(str(error))

    def on_body(self, part: bytes) -> None:
        """Apply the objects that end in this part of the body (callback of the HTTP parser)."""
        if self._parser.get_status_code() == 200:
            with self._invalidate_on_error():
                for data in self._splitter.feed(part):
                    self._apply_object(data)
            self._schedule.set_object_open(self._splitter.is_open, self.heard_at)

    def on_headers_complete(self) -> None:
        """Fail the call on a status other than 200 at once: its body is no list and may never end."""
        status = self._parser.get_status_code()
        if status >= 200 and status != 200:
            # From 429 on the call was only refused, so the list that is held stays valid.
            self._has_full_list = self._has_full_list and status >= 429
            self._call_soon(lambda: self._fail(f"answered {status}"))

    def on_message_complete(self) -> None:
        """Start a watch after the whole list; a watch that ends has failed."""
        if self._parser.get_status_code() != 200:
            return
        with self._invalidate_on_error():
            self._splitter.finish()
        if self._has_full_list or not self._has_received_list:
            self._call_soon(lambda: self._fail("ended" if self._has_full_list else "ended without a list"))
        else:
            self._has_full_list = True
            self._call_soon(self._reconnect)

    def _call_soon(self, call: Callable[[], None]) -> None:
        """Call in the next turn, unless a new configuration has replaced the connection in between."""
        sock = self._sock
        self.loop.call_soon(lambda: call() if self._sock is sock else None)

    def _apply_object(self, data: bytes) -> None:
        if unreadable_count := self.inventory.apply_object(json.loads(data), is_full_list=not self._has_full_list):
            self.metrics.add("list_entries_unread", unreadable_count)
            self.log.error("discovery", error=f"{unreadable_count} entries cannot be read")
        self.heard = self._has_received_list = True
        self._schedule.record_list()
        self.metrics.add("lists")

    @contextlib.contextmanager
    def _invalidate_on_error(self) -> Iterator[None]:
        """Request the whole list again after unreadable data, which may have been a change that is now missing."""
        try:
            yield
        except (ValueError, TypeError, ArithmeticError, RecursionError) as error:
            self.log.error("discovery", error=str(error))
            self._has_full_list = False
            raise

    def _reconnect(self) -> None:
        self._close()
        self._connect()

    def _fail(self, why: str) -> None:
        if self._sock is None:
            return
        self.metrics.add("watch_breaks")
        self.log.info("discovery call failed", why=why)
        self._close()
        self._retry_timer = self.loop.call_in(self._schedule.record_failure(self.loop.clock()), self._connect)

    def _close(self) -> None:
        if self._sock is not None:
            self.loop.unregister(self._sock)
            self._sock.close()
            self._sock = None
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()

    def stop(self) -> None:
        """Close the connection and cancel reconnects."""
        self._is_stopped = True
        self._close()
        if self._retry_timer is not None:
            self._retry_timer.cancel()
