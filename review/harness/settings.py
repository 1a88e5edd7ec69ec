"""Settings of a small deployment, in the form of the platform's configuration."""

from __future__ import annotations

from typing import Any


def _build_class(name: str, deadline: float, worth: float, effect: str) -> dict[str, Any]:
    return {
        "Name": name,
        "Objective": 2.0,
        "GiveUp": deadline,
        "Value": worth,
        "Idempotency": effect,
        "Group": "cell" if effect == "guarded" else "all",
        "Window": 4.0,
        "Streamed": False,
        "LateWorth": 0.0,
    }


def _build_plan(
    name: str, rate: float, burst: float, over_cost: float, pays: float, max_out: int = 0
) -> dict[str, Any]:
    return {
        "Name": name,
        "QuotaRate": rate,
        "Burst": burst,
        "MaxOut": max_out,
        "OverCost": over_cost,
        "ExtraWorth": 0.0,
        "Pays": pays,
        "HardRate": 0.0,
        "CeilingBurst": 0.0,
        "CeilingSlack": 0.0,
    }


# A plan without a quota on the rate: only the attempts out at once are limited.
PLAN_WITHOUT_RATE = _build_plan("campus", 0.0, 0.0, 0.6, 1.3, max_out=12)


def build_register_settings(ingresses: int, number: int) -> dict[str, Any]:
    """Return the settings of a second deployment.

    It has a read and a submit that must never run twice, a tariff with a cap on attempts alone and one with a ceiling.
    Probes, notes between ingresses and second copies are allowed.
    """
    settings = build_settings(ingresses, number)
    read, submit = (
        _build_class("standings-read", 3.0, 1.0, "free"),
        _build_class("result-submit", 3.0, 3.0, "single_shot"),
    )
    read["Objective"], submit["Objective"] = 1.2, 0.8
    league = _build_plan("league-full", 20.0, 50.0, 1.2, 1.6)
    settings["Classes"] = [read, submit]
    settings["TiersOfService"] = [
        _build_plan("club-basic", 0.0, 0.0, 0.6, 1.3, max_out=8),
        {**league, "HardRate": 38.0, "CeilingBurst": 90.0, "CeilingSlack": 9.0},
    ]
    settings["Limits"].update(AttemptsCap=3, MaxRetryAfter=1.0, Peers=True, Probing=True, SecondCopies=True)
    settings["Invariants"].update(Cold=15.0, OverloadFactor=4.0)
    settings["Extra"].update(MailPerS=100.0, MostUnits=6)
    settings["Report"] = {"Fields": ["pending", "served_ps", "busy_reqs"], "Via": "pull"}
    return settings


def build_settings(ingresses: int = 1, number: int = 0) -> dict[str, Any]:
    """Return the settings of ingress `number`: three classes, four plans with quotas, and the quota counter."""
    return {
        "NInstances": ingresses,
        "MyNumber": number,
        "Zone": "hall-a",
        "Dcs": ["hall-a"],
        "Resolution": 0.002,
        "Family": "gate",
        "MembershipMode": "automatic",
        "Callers": {"MarksRetry": False},
        "HostTypes": ["std-3core"],
        "Weights": "nominal",
        "Classes": [
            _build_class("load-sim", 4.0, 2.0, "free"),
            _build_class("save-progress", 7.5, 2.0, "free"),
            _build_class("submit-result", 7.5, 6.0, "guarded"),
        ],
        "TiersOfService": [
            _build_plan("starter", 2.0, 10.0, 0.6, 0.5),
            _build_plan("school", 3.0, 16.0, 1.2, 0.8),
            _build_plan("county", 8.0, 32.0, 0.5, 1.2),
            _build_plan("national", 20.0, 40.0, 0.0, 1.6),
        ],
        "Limits": {
            "AttemptsCap": 6,
            "ConnIdle": 30.0,
            "ConnectTimeout": 0.25,
            "MayCancel": True,
            "MaxRetryAfter": 2.0,
            "Peers": False,
            "Probing": False,
            "RetryAfter": True,
            "SecondCopies": False,
        },
        "Invariants": {
            "AnswerSlack": 0.008,
            "AskWithin": 10.0,
            "Cold": 18.0,
            "ColdFrom": 0.17,
            "OverloadFactor": 2.5,
            "StopSendingWithin": 1.0,
            "TipAfter": 3.0,
        },
        "Extra": {"MayCount": True, "CountWait": 0.03, "Metering": 0.0, "MostUnits": 8, "Settles": False},
        "Report": {"Fields": ["svc_ms"], "Via": "piggyback"},
    }
