"""Decodes settings as they stand in an ingress's configuration and on the simulator's wire."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from .policy import interface

EFFECTS = {"free": "safe", "guarded": "keyed", "single_shot": "unsafe"}
REPORT_CHANNELS = {"piggyback": "answers", "pull": "probe", "silent": "none"}
REPORT_FIELDS = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "util",
    "svc_ms": "latency_ms",
    "served_ps": "qps",
    "failed_ps": "eps",
}
JSON = dict[str, Any]


def require(obj: JSON, key: str, prefix: str = "") -> Any:
    """Returns the value of a key; raises SettingsError if it is missing."""
    if key not in obj:
        raise interface.SettingsError(f"{prefix}{key}: missing")
    return obj[key]


def _require_type(value: Any, kind: type, name: str) -> Any:
    """Raises SettingsError instead of a later TypeError if the value is of another type."""
    if not isinstance(value, kind):
        raise interface.SettingsError(f"{name}: {value!r:.40} is no {'list' if kind is list else 'object'}")
    return value


def _read_rows(raw: JSON, key: str) -> list[tuple[str, JSON]]:
    """Returns the objects of a list, each with the prefix that error messages need."""
    named = ((f"{key}[{n}]", row) for n, row in enumerate(_require_type(raw[key], list, key)))
    return [(f"{name}.", _require_type(row, dict, name)) for name, row in named]


def decode_settings(raw: JSON) -> interface.Settings:
    """Returns the decision module's settings. Raises SettingsError."""
    require(raw, "Classes")
    classes = [
        interface.ClassSpec(
            name=require(row, "Name", prefix),
            aim=require(row, "Objective", prefix),
            deadline=require(row, "GiveUp", prefix),
            worth=require(row, "Value", prefix),
            effect=EFFECTS.get(str(require(row, "Idempotency", prefix)), str(row["Idempotency"])),
            group=row.get("Group", "all"),
            window=row.get("Window", 0.0),
            late_worth=row.get("LateWorth", 0.0),
            stream=row.get("Streamed", False),
            aim_stretch=row.get("AimStretch", 0.0),
        )
        for prefix, row in _read_rows(raw, "Classes")
    ]
    plans = [
        interface.PlanSpec(
            name=require(row, "Name", prefix),
            rate=row.get("QuotaRate", 0.0),
            burst=row.get("Burst", 0.0),
            open=row.get("MaxOut", 0),
            price=row.get("Pays", 1.0),
            over_worth=row.get("ExtraWorth", 0.0),
            over_cost=row.get("OverCost", 0.0),
            ceiling_rate=row.get("HardRate", 0.0),
            ceiling_burst=row.get("CeilingBurst", 0.0),
            ceiling_slack=row.get("CeilingSlack", 0.0),
        )
        for prefix, row in _read_rows({"TiersOfService": [], **raw}, "TiersOfService")
    ]
    limits, invariants, extra, report = (
        _require_type(require(raw, key), dict, key) for key in ("Limits", "Invariants", "Extra", "Report")
    )
    _require_type(report.get("Fields") or [], list, "Report.Fields")
    return interface.Settings(
        classes=classes,
        plans=plans,
        me=require(raw, "MyNumber"),
        gateways=require(raw, "NInstances"),
        zone=raw.get("Zone", ""),
        tick=require(raw, "Resolution"),
        max_attempts=require(limits, "AttemptsCap"),
        cancel=limits.get("MayCancel", False),
        probes=limits.get("Probing", False),
        peers=limits.get("Peers", False),
        counter=extra.get("MayCount", False),
        discovery="ask" if raw.get("MembershipMode") == "subscribe" else "push",
        retry_after=limits.get("RetryAfter", False),
        max_retry_after=limits.get("MaxRetryAfter", 0.0),
        drain_grace=require(invariants, "StopSendingWithin"),
        ask_within=invariants.get("AskWithin", 10.0),
        cold_from=require(invariants, "ColdFrom"),
        cold_time=require(invariants, "Cold"),
        fall_multiple=require(invariants, "OverloadFactor"),
        fall_time=require(invariants, "TipAfter"),
        counter_timeout=extra.get("CountWait", 0.0),
        meter_period=extra.get("Metering", 0.0),
        conn_idle=float(limits.get("ConnIdle") or 0.0),
        most_units=extra.get("MostUnits", 1),
        settles=extra.get("Settles", False),
        peer_per_s=extra.get("MailPerS", 0.0),
        report_via=REPORT_CHANNELS.get(report.get("Via", "silent"), "none"),
        report_fields=[REPORT_FIELDS.get(f, f) for f in report.get("Fields") or []],
    )


@dataclass(slots=True, frozen=True)
class Transport:
    """Settings of connections, which the decision module does not use."""

    idle_seconds: float = 30.0  # idle timeout
    connect_seconds: float = 0.25  # connect timeout
    longest_deadline: float = 10.0  # longest time that a client waits, s
    load_fields: tuple[str, ...] = ()  # of a load report, as the settings name them


def decode_transport(raw: JSON) -> Transport:
    """Returns the transport settings; `raw` must have passed `decode_settings`. Raises SettingsError."""
    limits = raw.get("Limits", {})
    for name in ("ConnIdle", "ConnectTimeout"):
        value = limits.get(name)
        if value is not None and not (isinstance(value, int | float) and 0 <= value < inf):
            raise interface.SettingsError(f"Limits.{name}: {value!r} is not usable")
    longest_deadline = max((float(row.get("GiveUp", 0.0)) for row in raw.get("Classes", [])), default=0.0)
    return Transport(
        float(limits.get("ConnIdle") or 30.0),
        float(limits.get("ConnectTimeout") or 0.25),
        longest_deadline,
        tuple(raw.get("Report", {}).get("Fields") or ()),
    )
