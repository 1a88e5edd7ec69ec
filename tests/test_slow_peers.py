"""The soak of benchmarks/slow_peers, short and with fixed seeds."""

from __future__ import annotations

import pytest

from benchmarks.slow_peers.__main__ import play_here

SECONDS = 8.0
CROWDED_SEED, PLAIN_SEED = 1, 5


@pytest.mark.parametrize("seed", [CROWDED_SEED, PLAIN_SEED])
def test_slow_servers_signals_and_crowds_break_no_rule(seed: int) -> None:
    """Guards against sound answers that are cut off, held back, late or lost by real processes under faults."""
    report = play_here(seed, SECONDS)
    report.print()
    assert report.breaks == []
    assert report.statuses[200] > sum(report.statuses.values()) / 2
    assert report.has_crowd is (seed == CROWDED_SEED)
