"""Replicated shares of the connection limits: how many connections each process may hold to each server. No I/O.

The shares granted at a server never add up to more than its limit. `Limits` is a part of the state machine in
consensus/machine: commands are applied in log order, with the same result on every process.

    command            | effect
    -------------------+----------------------------------------------------------------------------------------
    enter              | an incarnation starts; an older one at the same address is known to have ended by that, and its
                       | shares are freed
    leave              | an incarnation ends, as announced by itself or by whoever saw it end: its shares are freed
    want n >= share    | the share grows towards n as far as connections are free: the limit less all shares, less the
                       | startup reserve, which only an incarnation without a share at the server may use
    want n < share     | the share shrinks to n at once: the sender holds at most n connections before it sends this
    limit              | limits are set anew; after one falls below the total held, no share grows until enough is
                       | given back; all shares at a removed server are dropped

A timeout frees nothing. A process that was killed keeps its shares until its next incarnation enters or somebody
reports that it ended, because its connections may still be open at the server. Commands may arrive late: a want older
than the last one of its incarnation, and an enter of an incarnation older than the one at its address, change nothing.

The fair share is what each incarnation may have when total demand exceeds the limit; those above it are asked to give
connections back."""

from __future__ import annotations

from typing import Any

import msgspec

MAX_CONNECTIONS = 100_000  # in one share or limit
MAX_SERVERS = 2000  # named in one command


class Enter(msgspec.Struct, frozen=True, array_like=True, tag="enter"):
    """Registers an incarnation of a process."""

    incarnation: str
    address: str  # of its membership listener; two processes cannot use one address at the same time


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    """Removes an incarnation and frees its shares."""

    incarnation: str


class Demand(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """Asks for shares of the given sizes. `serial` grows with each demand of an incarnation."""

    incarnation: str
    serial: int
    shares: dict[str, int]


class SetLimits(msgspec.Struct, frozen=True, array_like=True, tag="limit"):
    """Sent by the leader: limits of servers that are new or changed, and servers that were removed."""

    limits: dict[str, int]
    removed: list[str] = []


Command = Enter | Leave | Demand | SetLimits


class LimitsSnapshot(msgspec.Struct, array_like=True):
    """The state of `Limits` as stored in snapshots."""

    reserve: float
    limits: dict[str, int] = {}
    addresses: dict[str, str] = {}
    shares: dict[str, dict[str, int]] = {}
    short: dict[str, list[str]] = {}
    serials: dict[str, int] = {}


_decode = msgspec.msgpack.Decoder(Command).decode
_encode = msgspec.msgpack.Encoder().encode
_snapshot_decoder = msgspec.msgpack.Decoder(LimitsSnapshot)


def parse_start_ms(incarnation: str) -> int:
    """Return the start time in milliseconds at the end of an incarnation's id, or 0 if there is none."""
    digits = incarnation.rpartition("@")[2]
    return int(digits) if digits.isdigit() else 0


def encode(command: Command) -> bytes:
    """Encode a command for the log."""
    return _encode(command)


class Limits:
    """Connection limits and shares. `reserve` is the part of each limit kept for processes that start.

    `reserve` must be the same on all processes."""

    def __init__(self, reserve: float = 0.1) -> None:
        self.reserve = reserve
        self.limits: dict[str, int] = {}
        self.addresses: dict[str, str] = {}  # incarnation: address
        self.shares: dict[str, dict[str, int]] = {}  # server: incarnation: connections
        self.short: dict[str, set[str]] = {}  # server: incarnations that got less than they asked for
        self.serials: dict[str, int] = {}  # incarnation: serial of its last demand

    # Queries.

    def count_held(self, server: str) -> int:
        """Return the total of all shares at a server."""
        return sum(self.shares.get(server, {}).values())

    def get_share(self, server: str, incarnation: str) -> int:
        """Return the share of an incarnation at a server."""
        return self.shares.get(server, {}).get(incarnation, 0)

    def startup_reserve(self, server: str) -> int:
        """Return the connections kept for processes that start: at least one where the limit is more than one."""
        limit = self.limits.get(server, 0)
        return min(limit - 1, max(1, int(limit * self.reserve))) if limit > 1 else 0

    def fair_share(self, server: str) -> int:
        """Return the share of each incarnation when total demand exceeds the limit."""
        return max(1, (self.limits.get(server, 0) - self.startup_reserve(server)) // max(1, len(self.addresses)))

    def target_share(self, server: str, incarnation: str) -> int:
        """Return the share to which an incarnation is asked to shrink; its present one where no other is short."""
        share = self.get_share(server, incarnation)
        is_over_limit = self.count_held(server) > self.limits.get(server, 0)
        others = self.short.get(server, set()) - {incarnation}
        return min(share, self.fair_share(server)) if is_over_limit or others else share

    # Commands.

    def apply(self, at: float, body: bytes) -> Any:
        """Apply an encoded command and return its answer. Raises ValueError if the command cannot be decoded.

        Answers are part of the snapshots of the state machine, so every process must give the same text."""
        command = _decode(body)
        if isinstance(command, Enter):
            before = [incarnation for incarnation, address in self.addresses.items() if address == command.address]
            if any(parse_start_ms(incarnation) > parse_start_ms(command.incarnation) for incarnation in before):
                return {"error": f"{command.incarnation} is over", "field": "life"}
            for incarnation in before:
                if incarnation != command.incarnation:
                    self._remove(incarnation)
            self.addresses[command.incarnation] = command.address
            return {"entered": command.incarnation}
        if isinstance(command, Leave):
            self._remove(command.incarnation)
            return {"left": command.incarnation}
        if isinstance(command, SetLimits):
            for server in command.removed:
                self.limits.pop(server, None)
                self.shares.pop(server, None)
                self.short.pop(server, None)
            for server, limit in command.limits.items():
                self.limits[server] = max(0, min(MAX_CONNECTIONS, limit))
            return {"servers": len(self.limits)}
        if command.incarnation not in self.addresses:
            return {"error": f"{command.incarnation} has not entered", "field": "life"}
        if command.serial <= self.serials.get(command.incarnation, 0):
            return {"error": f"{command.serial}: a later want was heard", "field": "serial"}
        self.serials[command.incarnation] = command.serial
        if len(command.shares) > MAX_SERVERS:
            return {"error": f"{MAX_SERVERS} servers at most", "field": "parts"}
        return {
            "parts": {
                server: self._set_share(server, command.incarnation, max(0, min(MAX_CONNECTIONS, demand)))
                for server, demand in command.shares.items()
                if server in self.limits
            }
        }

    def _set_share(self, server: str, incarnation: str, demand: int) -> int:
        shares = self.shares.setdefault(server, {})
        current, short = shares.get(incarnation, 0), self.short.setdefault(server, set())
        free = self.limits[server] - self.count_held(server) - (self.startup_reserve(server) if current else 0)
        fair = self.fair_share(server)
        if short - {incarnation} and current >= fair:
            free = 0  # connections given back go to those that are short
        granted = demand if demand <= current else max(current, min(demand, current + max(0, free)))
        if not current and granted > self.startup_reserve(server) and short - {incarnation}:
            granted = max(1, min(granted, fair))
        if granted:
            shares[incarnation] = granted
        else:
            shares.pop(incarnation, None)
        if granted < min(demand, fair):
            short.add(incarnation)
        else:
            short.discard(incarnation)
        return granted

    def _remove(self, incarnation: str) -> None:
        self.addresses.pop(incarnation, None)
        self.serials.pop(incarnation, None)
        for server, shares in self.shares.items():
            shares.pop(incarnation, None)
            self.short.get(server, set()).discard(incarnation)

    # Snapshots.

    def dump(self) -> Any:
        """Return the state as plain values for a snapshot."""
        short = {server: sorted(incarnations) for server, incarnations in self.short.items() if incarnations}
        return msgspec.msgpack.decode(
            _encode(LimitsSnapshot(self.reserve, self.limits, self.addresses, self.shares, short, self.serials))
        )

    def load(self, dumped: Any) -> None:
        """Replace the state by that of a snapshot; by an empty state if `dumped` is empty."""
        snapshot = _snapshot_decoder.decode(_encode(dumped)) if dumped else LimitsSnapshot(self.reserve)
        self.reserve, self.limits, self.addresses, self.shares = (
            snapshot.reserve,
            snapshot.limits,
            snapshot.addresses,
            snapshot.shares,
        )
        self.serials = snapshot.serials
        self.short = {server: set(incarnations) for server, incarnations in snapshot.short.items()}
