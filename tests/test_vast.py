"""Short run of benchmarks/vast: many decision modules in virtual time, while sim servers are replaced or lost."""

from __future__ import annotations

import pytest

from benchmarks.vast import World


@pytest.mark.parametrize("trouble", ["join", "zone"])
def test_modules_answer_every_message_and_use_new_servers(trouble: str) -> None:
    world = World(5, gateways=12, servers=18, load=0.4, seconds=22.0, trouble=trouble)
    world.run()
    count = world.report()["counts"]
    assert not any(world.held) and not world.out  # each message ended once, and no relay is in flight
    assert count["tries"] == count["ok"] + count["refused"] + count.get("failed", 0)
    started = [server for server in world.servers.values() if server.started]  # new or restarted, hence cold
    assert len(started) in (10, 6) and all(server.conns for server in started)  # each of them got connections
    assert world.report()["whole"] > 0.6


def test_same_seed_gives_same_report() -> None:
    first, second = (World(7, gateways=6, servers=9, seconds=5.0, trouble="") for _ in range(2))
    first.run()
    second.run()
    assert first.report() == second.report() != {}
