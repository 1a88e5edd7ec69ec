"""The short form of benchmarks/vast: many modules together, in virtual time, while servers are replaced or lost."""

from __future__ import annotations

import pytest

from benchmarks.vast import World


@pytest.mark.parametrize("trouble", ["join", "zone"])
def test_many_modules_answer_all_they_took_and_use_what_comes_back(trouble: str) -> None:
    world = World(5, gateways=12, servers=18, load=0.4, seconds=22.0, trouble=trouble)
    world.run()
    count = world.report()["counts"]
    assert not any(world.held) and not world.out  # each message has its one end, and no attempt is out
    assert count["tries"] == count["ok"] + count["refused"] + count.get("failed", 0)
    late = [s for s in world.servers.values() if s.started]  # new, or back and cold
    assert len(late) in (10, 6) and all(s.conns for s in late)  # none of them is shunned
    assert world.report()["whole"] > 0.6


def test_the_same_seed_is_the_same_day() -> None:
    first, second = (World(7, gateways=6, servers=9, seconds=5.0, trouble="") for _ in range(2))
    first.run()
    second.run()
    assert first.report() == second.report() != {}
