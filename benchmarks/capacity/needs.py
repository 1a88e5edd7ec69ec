"""What several rows need, put together from slopes and assumptions. No I/O."""

from __future__ import annotations

from .line import ASSUMED, At

BYTES = 14_000.0  # a second of an ingress: the letter's


def assumed(name: str) -> float:
    return ASSUMED[name][0]


def lists(at: At) -> float:
    return at.slope("list.bytes", at.servers)


def rest(at: At) -> float:
    """Processor time of control at rest of an ingress with everything on, % of a core."""
    return (
        at.slope("supervisor.instance", 8)
        + at.slope("list.rest", at.servers)
        + at.slope("tenants.rest", at.met)
        + at.slope("members.cpu", at.ingresses)
        + at.servers * at.slope("shares.rest", at.ingresses)
    )


def held(at: At) -> float:
    """MB of control that an ingress with everything on holds. `[configuration]` goes with neither `[plans]` nor
    `[leases]`: the larger of the two counts."""
    return (
        at.slope("supervisor.resident", 8)
        - at.slope("process.resident", 60)
        + at.slope("list.memory", at.servers)
        + at.slope("tenants.memory", at.met)
        + at.slope("firms.ledger", at.met)
        + max(at.slope("firms.leases", at.met), at.slope("configuration.memory", at.tenants))
        + at.slope("members.memory", at.ingresses)
        + at.slope("records.memory", at.ingresses)
        + at.slope("log.memory", at.ingresses)
        + at.servers * at.slope("shares.memory", at.ingresses)
    )


def repair(at: At) -> float:
    """Bytes a second of full exchanges, in and out: one begun and one answered each REPAIR s, longer for over 32."""
    every = 20.0 * max(1.0, at.ingresses / 32)
    return 2 * (2 * at.slope("records.digest", at.ingresses) + 2 * at.slope("records.all", at.ingresses)) / every


def spoken(at: At) -> float:
    """Bytes a second in and out at rest: membership, records at their bound, the log, discovery's signs of life."""
    return (
        2 * at.slope("members.bytes", at.ingresses)
        + 2 * 800.0
        + repair(at)
        + at.slope("log.follower", at.ingresses)
        + at.slope("log.heard", at.ingresses)
    )


def per_minute(at: At) -> float:
    """Bytes a second of the minute in which a whole list is told."""
    return lists(at) / assumed("window")


def changed(at: At) -> float:
    """Bytes a second that an ingress hears of changes, at the letter's rate."""
    return at.changes / 86400 * at.slope("configuration.change", at.ingresses)


def turned(at: At) -> float:
    """ms of the longest turn that the agreed configuration takes: a start, the own copy, a voter's snapshot."""
    return max(at.slope(f"configuration.{turn}", at.tenants) for turn in ("begin", "copy", "dump"))


def zone(at: At) -> float:
    return at.servers / at.zones


def release(at: At) -> float:
    """Entries a second while a zone restarts."""
    return zone(at) * assumed("told") / assumed("release")
