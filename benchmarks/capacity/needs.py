"""Estimates of needs that several rows share, from slopes and assumptions. Performs no I/O; `rows` uses them."""

from __future__ import annotations

from .load import ASSUMPTIONS, LoadPoint

MAX_CONTROL_BYTES_PER_S = 14_000.0  # of an ingress, set by the operators


def get_assumption(name: str) -> float:
    """Returns the value of an assumption."""
    return ASSUMPTIONS[name][0]


def estimate_list_bytes(load: LoadPoint) -> float:
    """Returns the bytes of a whole list of servers."""
    return load.estimate("list.bytes", load.servers)


def estimate_idle_cpu(load: LoadPoint) -> float:
    """Returns the processor time of control of an idle ingress with all features on, in % of a core."""
    return (
        load.estimate("supervisor.instance", 8)
        + load.estimate("list.rest", load.servers)
        + load.estimate("tenants.rest", load.firms_met)
        + load.estimate("members.cpu", load.ingresses)
        + load.servers * load.estimate("shares.rest", load.ingresses)
    )


def estimate_memory(load: LoadPoint) -> float:
    """Returns the memory of control of an ingress with all features on, in MB.

    `[configuration]` excludes `[plans]` and `[leases]`, so the larger of the two counts."""
    return (
        load.estimate("supervisor.resident", 8)
        - load.estimate("process.resident", 60)
        + load.estimate("list.memory", load.servers)
        + load.estimate("tenants.memory", load.firms_met)
        + load.estimate("firms.ledger", load.firms_met)
        + max(load.estimate("firms.leases", load.firms_met), load.estimate("configuration.memory", load.tenants))
        + load.estimate("members.memory", load.ingresses)
        + load.estimate("records.memory", load.ingresses)
        + load.estimate("log.memory", load.ingresses)
        + load.servers * load.estimate("shares.memory", load.ingresses)
    )


def estimate_repair_bytes(load: LoadPoint) -> float:
    """Returns the bytes per second of full exchanges of records, in and out.

    One is started and one answered each `REPAIR` s; beyond 32 members the interval grows in proportion."""
    interval = 20.0 * max(1.0, load.ingresses / 32)
    return (
        2
        * (2 * load.estimate("records.digest", load.ingresses) + 2 * load.estimate("records.all", load.ingresses))
        / interval
    )


def estimate_idle_bytes(load: LoadPoint) -> float:
    """Returns the bytes per second in and out of an idle ingress.

    That is membership, records at their rate limit, their repair, and the log."""
    return (
        2 * load.estimate("members.bytes", load.ingresses)
        + 2 * 800.0
        + estimate_repair_bytes(load)
        + load.estimate("log.follower", load.ingresses)
        + load.estimate("log.heard", load.ingresses)
    )


def estimate_list_minute_bytes(load: LoadPoint) -> float:
    """Returns the bytes per second over the minute in which a whole list is sent."""
    return estimate_list_bytes(load) / get_assumption("window")


def estimate_change_bytes(load: LoadPoint) -> float:
    """Returns the bytes per second of configuration changes that an ingress receives."""
    return load.changes / 86400 * load.estimate("configuration.change", load.ingresses)


def estimate_longest_turn(load: LoadPoint) -> float:
    """Returns the longest turn of the loop for the agreed configuration, in ms.

    That is a start, the local copy, or a voter's snapshot."""
    return max(load.estimate(f"configuration.{turn}", load.tenants) for turn in ("begin", "copy", "dump"))


def count_zone_servers(load: LoadPoint) -> float:
    """Returns the number of servers in one zone."""
    return load.servers / load.zones


def estimate_release_updates(load: LoadPoint) -> float:
    """Returns the entries of the list per second while a zone restarts."""
    return count_zone_servers(load) * get_assumption("told") / get_assumption("release")
