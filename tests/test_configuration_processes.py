"""Real processes with relays between them: one revision after the other, whatever fails between and in them."""

from __future__ import annotations

from benchmarks.configuration_processes import processes
from benchmarks.configuration_sizes import LATE


def test_one_revision_for_all_while_links_lose_and_processes_die_stand_still_and_are_cut_off() -> None:
    report = processes()
    assert report["wrong"] == []
    assert max(report["inForceS"].values()) < LATE and report["served"] > 100
