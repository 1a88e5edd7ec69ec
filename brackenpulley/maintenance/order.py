"""Who may go next, and why the others wait. No I/O: facts and what is out come in.

Bounds, all checked where the permit is granted (`permits`, in the log): so many machines out at once, in all and in
each zone; what is left carries the measured load with a reserve; never the last server of a machine type; never all
ingresses of a firm's set; nothing new while a zone is lost or servers are missing. The first in line by urgency,
then age, goes first; others may pass one that its bounds hold back `PASSES` times, then all wait for it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

PASSES = 5


class Bounds(msgspec.Struct, frozen=True, array_like=True):
    """Of the settings, the same on all processes; whoever leads tells those that it has."""

    out: int = 1  # machines at once
    zone: int = 1  # of one zone
    reserve: float = 0.25  # of the measured load, that what is left carries on top of it
    bears: float = 0.0  # attempts that a server of size 1 carries at once; 0 = not told, and load is no bound


class Server(msgspec.Struct, frozen=True, array_like=True):
    zone: str
    kind: str
    size: float
    up: bool


class Facts(msgspec.Struct, frozen=True, array_like=True):
    """The fleet as whoever leads sees it."""

    servers: dict[str, Server] = {}
    load: float = 0.0  # attempts out over all ingresses
    places: list[bool] = []  # by number of the ingress: whether it serves
    spread: int = 1  # the least number of ingresses of a firm's set
    lost: list[str] = []  # zones of which most servers are gone
    missing: int = 0  # servers that went without a word of ours


@dataclass(slots=True, frozen=True)
class Wanted:
    """A machine that would go, or that is out: servers, or the place of an ingress."""

    id: str
    servers: frozenset[str]
    place: int  # -1 = none
    zone: str
    urgency: int
    asked: float
    passed: int = 0


def line(wanted: Iterable[Wanted]) -> list[Wanted]:
    return sorted(wanted, key=lambda one: (-one.urgency, one.asked, one.id))


def why_not(one: Wanted, out: Sequence[Wanted], facts: Facts, bounds: Bounds) -> str:
    """What holds it back; "" where it may go."""
    if facts.lost:
        return f"zone {', '.join(sorted(facts.lost))} is lost"
    if facts.missing:
        return f"{facts.missing} servers are missing"
    if len(out) >= bounds.out:
        return f"{len(out)} machines are out, {bounds.out} at most"
    same = sum(other.zone == one.zone for other in out)
    if same >= bounds.zone:
        return f"{same} machines of zone {one.zone or '-'} are out, {bounds.zone} at most"
    return _servers(one, out, facts, bounds) if one.place < 0 else _ingress(one, out, facts)


def _servers(one: Wanted, out: Sequence[Wanted], facts: Facts, bounds: Bounds) -> str:
    unknown = sorted(one.servers - facts.servers.keys())
    if unknown:
        return f"server {unknown[0]} is not known"
    gone = one.servers.union(*(other.servers for other in out))
    left = [server for name, server in facts.servers.items() if server.up and name not in gone]
    for name in sorted(one.servers):
        kind = facts.servers[name].kind
        if not any(server.kind == kind for server in left):
            return f"{name} is of the last of machine type {kind or '-'}"
    if bounds.bears:
        carried = sum(server.size for server in left) * bounds.bears
        needed = facts.load * (1 + bounds.reserve)
        if carried < needed:
            return f"what is left carries {carried:.0f} attempts, {needed:.0f} are needed"
    return ""


def _ingress(one: Wanted, out: Sequence[Wanted], facts: Facts) -> str:
    count = len(facts.places)
    if one.place >= count:
        return f"ingress {one.place} is not known"
    gone = {one.place, *(other.place for other in out if other.place >= 0)}
    serves = [up and place not in gone for place, up in enumerate(facts.places)]
    for first in range(count):
        firm = [(first + step) % count for step in range(min(facts.spread, count))]
        if one.place in firm and not any(serves[place] for place in firm):
            return f"all ingresses of a set from {first} would be away"
    return ""


def plan(wanted: Iterable[Wanted], out: Sequence[Wanted], facts: Facts, bounds: Bounds) -> list[tuple[Wanted, str]]:
    """In the order in which they would go, each with what holds it back now: "" for those that may go at once."""
    away, found, blocked = list(out), list[tuple[Wanted, str]](), ""
    for one in line(wanted):
        why = blocked or why_not(one, away, facts, bounds)
        if not why:
            away.append(one)
        elif one.passed >= PASSES and not blocked:
            blocked = f"{one.id} was passed over {one.passed} times and goes first"
        found.append((one, why))
    return found
