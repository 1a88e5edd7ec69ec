"""Decides which machine may be taken out of service next, and why the others wait. No I/O.

`permits` checks these bounds when a command in the log grants a permit: the number of machines out at once, in all and
in each zone; the rest must carry the measured load with a reserve; never the last server of a machine type; never all
ingresses of a firm's set; no new permit while a zone is lost or servers are missing. Machines are taken by urgency,
then by age. Others may pass one that a bound holds back `MAX_TIMES_PASSED` times, after which all wait for it."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

MAX_TIMES_PASSED = 5  # keeps a machine that a bound holds back from waiting for ever


class Bounds(msgspec.Struct, frozen=True, array_like=True):
    """Bounds from the settings, the same on all processes; those of the leader apply."""

    max_out: int = 1  # machines at once
    max_out_in_zone: int = 1  # machines of one zone at once
    load_reserve: float = 0.25  # part of the measured load that the rest must carry in addition to it
    relays_per_size: float = 0.0  # relays that a server of size 1 carries at once; 0 = unknown, load is not checked


class Server(msgspec.Struct, frozen=True, array_like=True):
    """A sim server as the leader sees it."""

    zone: str
    machine_type: str
    size: float
    is_up: bool


class FleetState(msgspec.Struct, frozen=True, array_like=True):
    """The fleet as the leader sees it."""

    servers: dict[str, Server] = {}
    load: float = 0.0  # relays in flight over all ingresses
    serving: list[bool] = []  # by place of the ingress: whether it serves
    set_size: int = 1  # least number of ingresses in a firm's set
    lost_zones: list[str] = []  # zones of which most servers are down
    missing_servers: int = 0  # servers that are down without a permit


@dataclass(slots=True, frozen=True)
class Candidate:
    """A machine that waits for a permit or has one: servers, or the ingress at a place."""

    id: str
    servers: frozenset[str]
    place: int  # -1 = no ingress
    zone: str
    urgency: int
    requested_at: float
    times_passed: int = 0


def sort_by_priority(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return the candidates by urgency, then by age."""
    return sorted(candidates, key=lambda candidate: (-candidate.urgency, candidate.requested_at, candidate.id))


def find_obstacle(candidate: Candidate, out: Sequence[Candidate], fleet: FleetState, bounds: Bounds) -> str:
    """Return the reason why the machine may not be taken out now, or "" if it may."""
    if fleet.lost_zones:
        return f"zone {', '.join(sorted(fleet.lost_zones))} is lost"
    if fleet.missing_servers:
        return f"{fleet.missing_servers} servers are missing"
    if len(out) >= bounds.max_out:
        return f"{len(out)} machines are out, {bounds.max_out} at most"
    same_zone = sum(other.zone == candidate.zone for other in out)
    if same_zone >= bounds.max_out_in_zone:
        return f"{same_zone} machines of zone {candidate.zone or '-'} are out, {bounds.max_out_in_zone} at most"
    return (
        _check_servers(candidate, out, fleet, bounds) if candidate.place < 0 else _check_ingress(candidate, out, fleet)
    )


def _check_servers(candidate: Candidate, out: Sequence[Candidate], fleet: FleetState, bounds: Bounds) -> str:
    unknown = sorted(candidate.servers - fleet.servers.keys())
    if unknown:
        return f"server {unknown[0]} is not known"
    removed = candidate.servers.union(*(other.servers for other in out))
    remaining = [server for name, server in fleet.servers.items() if server.is_up and name not in removed]
    for name in sorted(candidate.servers):
        machine_type = fleet.servers[name].machine_type
        if not any(server.machine_type == machine_type for server in remaining):
            return f"{name} is of the last of machine type {machine_type or '-'}"
    if bounds.relays_per_size:
        capacity = sum(server.size for server in remaining) * bounds.relays_per_size
        needed = fleet.load * (1 + bounds.load_reserve)
        if capacity < needed:
            return f"what is left carries {capacity:.0f} attempts, {needed:.0f} are needed"
    return ""


def _check_ingress(candidate: Candidate, out: Sequence[Candidate], fleet: FleetState) -> str:
    count = len(fleet.serving)
    if candidate.place >= count:
        return f"ingress {candidate.place} is not known"
    removed = {candidate.place, *(other.place for other in out if other.place >= 0)}
    serves = [is_serving and place not in removed for place, is_serving in enumerate(fleet.serving)]
    for first in range(count):
        firm_set = [(first + step) % count for step in range(min(fleet.set_size, count))]
        if candidate.place in firm_set and not any(serves[place] for place in firm_set):
            return f"all ingresses of a set from {first} would be away"
    return ""


def plan(
    candidates: Iterable[Candidate], out: Sequence[Candidate], fleet: FleetState, bounds: Bounds
) -> list[tuple[Candidate, str]]:
    """Return the candidates in the order in which they would be taken out.

    Each comes with the reason why it has to wait, which is "" for those that may be taken out at once."""
    away, planned, blocked = list(out), list[tuple[Candidate, str]](), ""
    for candidate in sort_by_priority(candidates):
        reason = blocked or find_obstacle(candidate, away, fleet, bounds)
        if not reason:
            away.append(candidate)
        elif candidate.times_passed >= MAX_TIMES_PASSED and not blocked:
            blocked = f"{candidate.id} was passed over {candidate.times_passed} times and goes first"
        planned.append((candidate, reason))
    return planned
