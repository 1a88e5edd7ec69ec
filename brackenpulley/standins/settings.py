"""Settings for trials: three classes and two plans in the form of the platform's configuration. Figures of our own."""

from __future__ import annotations

from typing import Any

PLANS: dict[str, dict[str, float]] = {
    "school": {"QuotaRate": 6.0, "Burst": 24.0},
    "county": {"QuotaRate": 18.0, "Burst": 60.0},
}


def settings(gateways: int = 1, me: int = 0, counter: bool = True) -> dict[str, Any]:
    def kind(name: str, give_up: float, worth: float, effect: str) -> dict[str, Any]:
        return {
            "Name": name,
            "Objective": 2.0,
            "GiveUp": give_up,
            "Value": worth,
            "Idempotency": effect,
            "Group": "all",
            "Window": 4.0,
        }

    return {
        "NInstances": gateways,
        "MyNumber": me,
        "Zone": "hall-a",
        "Resolution": 0.001,
        "Classes": [
            kind("load-sim", 4.0, 2.0, "free"),
            kind("save-progress", 7.5, 2.0, "free"),
            kind("submit-result", 7.5, 6.0, "guarded"),
        ],
        "TiersOfService": [{"Name": name, "Pays": 1.0, **figures} for name, figures in PLANS.items()],
        "Limits": {
            "AttemptsCap": 4,
            "MayCancel": True,
            "RetryAfter": True,
            "MaxRetryAfter": 2.0,
            "ConnIdle": 30.0,
            "ConnectTimeout": 0.25,
        },
        "Invariants": {"StopSendingWithin": 1.0, "ColdFrom": 0.2, "Cold": 10.0, "OverloadFactor": 2.5, "TipAfter": 3.0},
        "Extra": {"MayCount": counter, "CountWait": 0.03, "Settles": True, "MostUnits": 8},
        "Report": {"Via": "silent", "Fields": []},
    }
