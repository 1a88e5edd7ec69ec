"""Settings with three classes and two plans, in the form of the platform's configuration.

The figures are not those of the platform. The demo, the benchmarks and the tests configure their ingresses with these
settings."""

from __future__ import annotations

from typing import Any

# Plan name to its quota in units a second and its burst in units.
PLANS: dict[str, dict[str, float]] = {
    "school": {"QuotaRate": 6.0, "Burst": 24.0},
    "county": {"QuotaRate": 18.0, "Burst": 60.0},
}


def build_settings(ingress_count: int = 1, ingress_number: int = 0, has_counter: bool = True) -> dict[str, Any]:
    """Return the settings of ingress `ingress_number` out of `ingress_count`, with or without the quota counter."""

    def build_class(name: str, deadline_s: float, worth: float, effect: str) -> dict[str, Any]:
        return {
            "Name": name,
            "Objective": 2.0,
            "GiveUp": deadline_s,
            "Value": worth,
            "Idempotency": effect,
            "Group": "all",
            "Window": 4.0,
        }

    return {
        "NInstances": ingress_count,
        "MyNumber": ingress_number,
        "Zone": "hall-a",
        "Resolution": 0.001,
        "Classes": [
            build_class("load-sim", 4.0, 2.0, "free"),
            build_class("save-progress", 7.5, 2.0, "free"),
            build_class("submit-result", 7.5, 6.0, "guarded"),
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
        "Extra": {"MayCount": has_counter, "CountWait": 0.03, "Settles": True, "MostUnits": 8},
        "Report": {"Via": "silent", "Fields": []},
    }
