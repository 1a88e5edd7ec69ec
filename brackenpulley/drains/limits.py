"""How many connections each process may hold at each server; the sum never passes the server's limit. No I/O.

A part of consensus/machine: commands in log order, the same on every process.

    command            | does
    -------------------+----------------------------------------------------------------------------------------
    enter              | a life begins; one at the address of an older life proves that one over, whose parts are free
    leave              | a life is over by its own word, or of who saw it end: its parts are free
    want n >= what it  | widened to n as far as there is room: the limit, less what all hold, less the reserve
    holds              | for those that start, which only a life that holds nothing there may use
    want n < what it   | narrowed to n at once: whoever says so holds no more than n from before it says it
    holds              |
    limit              | told anew; lowered below what is held nothing is widened until enough was given back; of a
                       | server that is gone nothing is held any more

Silence frees nothing. A process that is killed keeps its parts until its next life enters or somebody says that it
ended: its connections may still stand at the server. Words may be late: a want older than the last one of its life,
and the entering of a life older than the one at its address, change nothing.

`fair` is what each may have where all want more than there is: those above it are asked to give back."""

from __future__ import annotations

from typing import Any

import msgspec

MOST = 100_000  # connections of one part
SERVERS = 2000  # of one command


class Enter(msgspec.Struct, frozen=True, array_like=True, tag="enter"):
    life: str
    address: str  # where its membership listens: no two processes at once


class Leave(msgspec.Struct, frozen=True, array_like=True, tag="leave"):
    life: str


class Want(msgspec.Struct, frozen=True, array_like=True, tag="want"):
    """`serial` grows with each of a life."""

    life: str
    serial: int
    parts: dict[str, int]


class Limit(msgspec.Struct, frozen=True, array_like=True, tag="limit"):
    """By whoever leads: servers that are new or have another limit, and those that are gone."""

    limits: dict[str, int]
    gone: list[str] = []


Command = Enter | Leave | Want | Limit


class Dumped(msgspec.Struct, array_like=True):
    reserve: float
    limits: dict[str, int] = {}
    lives: dict[str, str] = {}
    parts: dict[str, dict[str, int]] = {}
    short: dict[str, list[str]] = {}
    serials: dict[str, int] = {}


_decode = msgspec.msgpack.Decoder(Command).decode
_encode = msgspec.msgpack.Encoder().encode
_dumped = msgspec.msgpack.Decoder(Dumped)


def age(life: str) -> int:
    """A life's id ends in the ms of its start."""
    digits = life.rpartition("@")[2]
    return int(digits) if digits.isdigit() else 0


def encode(command: Command) -> bytes:
    return _encode(command)


class Limits:
    """`reserve`: part of each limit that is kept for those that start; the same on all processes."""

    def __init__(self, reserve: float = 0.1) -> None:
        self.reserve = reserve
        self.limits: dict[str, int] = {}
        self.lives: dict[str, str] = {}  # life: address
        self.parts: dict[str, dict[str, int]] = {}  # server: life: connections
        self.short: dict[str, set[str]] = {}  # server: lives that wanted more than they got
        self.serials: dict[str, int] = {}  # of the last want of each life

    # What it is.

    def held(self, server: str) -> int:
        return sum(self.parts.get(server, {}).values())

    def part(self, server: str, life: str) -> int:
        return self.parts.get(server, {}).get(life, 0)

    def kept(self, server: str) -> int:
        """For those that start: one connection at least, where the limit is more than one."""
        limit = self.limits.get(server, 0)
        return min(limit - 1, max(1, int(limit * self.reserve))) if limit > 1 else 0

    def fair(self, server: str) -> int:
        """Of each, where all want more than there is."""
        return max(1, (self.limits.get(server, 0) - self.kept(server)) // max(1, len(self.lives)))

    def asked_back(self, server: str, life: str) -> int:
        """To how many this life is asked to narrow; what it holds where nobody is short."""
        part = self.part(server, life)
        over = self.held(server) > self.limits.get(server, 0)
        others = self.short.get(server, set()) - {life}
        return min(part, self.fair(server)) if over or others else part

    # Commands.

    def apply(self, at: float, body: bytes) -> Any:
        """Raises ValueError for what cannot be read."""
        command = _decode(body)
        if isinstance(command, Enter):
            before = [life for life, address in self.lives.items() if address == command.address]
            if any(age(life) > age(command.life) for life in before):
                return {"error": f"{command.life} is over", "field": "life"}
            for life in before:
                if life != command.life:
                    self._over(life)
            self.lives[command.life] = command.address
            return {"entered": command.life}
        if isinstance(command, Leave):
            self._over(command.life)
            return {"left": command.life}
        if isinstance(command, Limit):
            for server in command.gone:
                self.limits.pop(server, None)
                self.parts.pop(server, None)
                self.short.pop(server, None)
            for server, limit in command.limits.items():
                self.limits[server] = max(0, min(MOST, limit))
            return {"servers": len(self.limits)}
        if command.life not in self.lives:
            return {"error": f"{command.life} has not entered", "field": "life"}
        if command.serial <= self.serials.get(command.life, 0):
            return {"error": f"{command.serial}: a later want was heard", "field": "serial"}
        self.serials[command.life] = command.serial
        if len(command.parts) > SERVERS:
            return {"error": f"{SERVERS} servers at most", "field": "parts"}
        return {
            "parts": {
                server: self._want(server, command.life, max(0, min(MOST, want)))
                for server, want in command.parts.items()
                if server in self.limits
            }
        }

    def _want(self, server: str, life: str, want: int) -> int:
        parts = self.parts.setdefault(server, {})
        now, short = parts.get(life, 0), self.short.setdefault(server, set())
        free = self.limits[server] - self.held(server) - (self.kept(server) if now else 0)
        fair = self.fair(server)
        if short - {life} and now >= fair:
            free = 0  # others wait: what comes back is theirs
        got = want if want <= now else max(now, min(want, now + max(0, free)))
        if not now and got > self.kept(server) and short - {life}:
            got = max(1, min(got, fair))
        if got:
            parts[life] = got
        else:
            parts.pop(life, None)
        if got < min(want, fair):
            short.add(life)
        else:
            short.discard(life)
        return got

    def _over(self, life: str) -> None:
        self.lives.pop(life, None)
        self.serials.pop(life, None)
        for server, parts in self.parts.items():
            parts.pop(life, None)
            self.short.get(server, set()).discard(life)

    # Kept in snapshots.

    def dump(self) -> Any:
        short = {server: sorted(lives) for server, lives in self.short.items() if lives}
        return msgspec.msgpack.decode(
            _encode(Dumped(self.reserve, self.limits, self.lives, self.parts, short, self.serials))
        )

    def load(self, dumped: Any) -> None:
        told = _dumped.decode(_encode(dumped)) if dumped else Dumped(self.reserve)
        self.reserve, self.limits, self.lives, self.parts = told.reserve, told.limits, told.lives, told.parts
        self.serials = told.serials
        self.short = {server: set(lives) for server, lives in told.short.items()}
