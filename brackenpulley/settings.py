"""Decoding of the settings, the same object on the simulator's wire and in a real ingress's configuration."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import Any

from .policy import interface as i

EFFECT = {"free": "safe", "guarded": "keyed", "single_shot": "unsafe"}
VIA = {"piggyback": "answers", "pull": "probe", "silent": "none"}
FIELD = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "util",
    "svc_ms": "latency_ms",
    "served_ps": "qps",
    "failed_ps": "eps",
}
JSON = dict[str, Any]


def require(obj: JSON, key: str, at: str = "") -> Any:
    if key not in obj:
        raise i.SettingsError(f"{at}{key}: missing")
    return obj[key]


def _shape(value: Any, kind: type, name: str) -> Any:
    """Guards against a traceback where a field is there and of another kind."""
    if not isinstance(value, kind):
        raise i.SettingsError(f"{name}: {value!r:.40} is no {'list' if kind is list else 'object'}")
    return value


def _rows(s: JSON, key: str) -> list[tuple[str, JSON]]:
    """What each is called where it is wrong, and the object."""
    named = ((f"{key}[{n}]", row) for n, row in enumerate(_shape(s[key], list, key)))
    return [(f"{name}.", _shape(row, dict, name)) for name, row in named]


def decode_settings(s: JSON) -> i.Settings:
    require(s, "Classes")
    classes = [
        i.ClassSpec(
            name=require(c, "Name", at),
            aim=require(c, "Objective", at),
            deadline=require(c, "GiveUp", at),
            worth=require(c, "Value", at),
            effect=EFFECT.get(str(require(c, "Idempotency", at)), str(c["Idempotency"])),
            group=c.get("Group", "all"),
            window=c.get("Window", 0.0),
            late_worth=c.get("LateWorth", 0.0),
            stream=c.get("Streamed", False),
            aim_stretch=c.get("AimStretch", 0.0),
        )
        for at, c in _rows(s, "Classes")
    ]
    plans = [
        i.PlanSpec(
            name=require(p, "Name", at),
            rate=p.get("QuotaRate", 0.0),
            burst=p.get("Burst", 0.0),
            open=p.get("MaxOut", 0),
            price=p.get("Pays", 1.0),
            over_worth=p.get("ExtraWorth", 0.0),
            over_cost=p.get("OverCost", 0.0),
            ceiling_rate=p.get("HardRate", 0.0),
            ceiling_burst=p.get("CeilingBurst", 0.0),
            ceiling_slack=p.get("CeilingSlack", 0.0),
        )
        for at, p in _rows({"TiersOfService": [], **s}, "TiersOfService")
    ]
    lim, inv, ext, rep = (_shape(require(s, k), dict, k) for k in ("Limits", "Invariants", "Extra", "Report"))
    _shape(rep.get("Fields") or [], list, "Report.Fields")
    return i.Settings(
        classes=classes,
        plans=plans,
        me=require(s, "MyNumber"),
        gateways=require(s, "NInstances"),
        zone=s.get("Zone", ""),
        tick=require(s, "Resolution"),
        max_attempts=require(lim, "AttemptsCap"),
        cancel=lim.get("MayCancel", False),
        probes=lim.get("Probing", False),
        peers=lim.get("Peers", False),
        counter=ext.get("MayCount", False),
        discovery="ask" if s.get("MembershipMode") == "subscribe" else "push",
        retry_after=lim.get("RetryAfter", False),
        max_retry_after=lim.get("MaxRetryAfter", 0.0),
        drain_grace=require(inv, "StopSendingWithin"),
        ask_within=inv.get("AskWithin", 10.0),
        cold_from=require(inv, "ColdFrom"),
        cold_time=require(inv, "Cold"),
        fall_multiple=require(inv, "OverloadFactor"),
        fall_time=require(inv, "TipAfter"),
        counter_timeout=ext.get("CountWait", 0.0),
        meter_period=ext.get("Metering", 0.0),
        conn_idle=float(lim.get("ConnIdle") or 0.0),
        most_units=ext.get("MostUnits", 1),
        settles=ext.get("Settles", False),
        peer_per_s=ext.get("MailPerS", 0.0),
        report_via=VIA.get(rep.get("Via", "silent"), "none"),
        report_fields=[FIELD.get(f, f) for f in rep.get("Fields") or []],
    )


@dataclass(slots=True, frozen=True)
class Transport:
    """What the settings say of connections; the module has no use for it."""

    idle_seconds: float = 30.0
    connect_seconds: float = 0.25
    longest_deadline: float = 10.0  # the longest time that a client waits
    load_fields: tuple[str, ...] = ()  # of a load report, under the names that the settings give them


def decode_transport(s: JSON) -> Transport:
    """Of settings that have been decoded."""
    limits = s.get("Limits", {})
    for name in ("ConnIdle", "ConnectTimeout"):
        value = limits.get(name)
        if value is not None and not (isinstance(value, int | float) and 0 <= value < inf):
            raise i.SettingsError(f"Limits.{name}: {value!r} is not usable")
    longest = max((float(c.get("GiveUp", 0.0)) for c in s.get("Classes", [])), default=0.0)
    return Transport(
        float(limits.get("ConnIdle") or 30.0),
        float(limits.get("ConnectTimeout") or 0.25),
        longest,
        tuple(s.get("Report", {}).get("Fields") or ()),
    )
