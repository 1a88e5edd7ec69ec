"""Short runs of `python -m benchmarks.plan_changes` and of the demo, with real processes and the same checks."""

from __future__ import annotations

import json
import subprocess
import sys

from benchmarks.plan_changes import run_trial


def test_three_daemons_count_and_export_exactly_the_units_that_ran_while_plans_change() -> None:
    report = run_trial(16.0, seed=11, change_interval_s=3.0, quiet=True)
    assert report["faults"] == [] and report["mostExcess"] <= 0.02
    assert report["ranUnits"] == report["countedUnits"] == report["exportedUnits"] > 500
    assert report["changes"] >= 6 and report["eventsTwice"] > 0 and set(report["killed"]) == {"n1"}


def test_the_demo_serves_counts_and_exports_the_same_units() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "brackenpulley", "demo", "--seconds", "3", "--json"],
        capture_output=True,
        text=True,
        check=False,
    )
    summary = json.loads(process.stdout)
    assert process.returncode == 0 and summary["agree"] and summary["served"] > 10
    assert summary["ranUnits"] == summary["countedUnits"] == summary["exportedUnits"]
