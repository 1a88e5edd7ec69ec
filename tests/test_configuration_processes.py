"""Real processes with faulty links between them: revisions apply in one order, whatever links or processes fail."""

from __future__ import annotations

from benchmarks.configuration_processes import run_processes
from benchmarks.configuration_sizes import MAX_ACTIVATION_SECONDS


def test_all_processes_agree_on_revisions_despite_loss_crashes_stalls_and_partitions() -> None:
    report = run_processes()
    assert report["wrong"] == []
    assert max(report["inForceS"].values()) < MAX_ACTIVATION_SECONDS and report["served"] > 100
