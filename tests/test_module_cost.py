"""The cost of a message does not grow with the number of servers, and the indexes behind that match a full scan."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.module_cost import MOST, lines
from brackenpulley.policy.interface import ServerEntry
from brackenpulley.policy.state import ServerTable


def test_a_message_costs_the_same_among_a_thousand_servers_as_among_ten() -> None:
    cost_of_ten, cost_of_thousand = lines(10, 200), lines(1000, 200)
    assert 100 < cost_of_ten < cost_of_thousand < MOST * cost_of_ten


def count_by_scan(servers: ServerTable, overdue_before: float) -> tuple[int, int]:
    """Servers in use and their relays in flight, found by a scan of all servers and relays."""
    up = [
        server
        for server in servers.values()
        if server.entry.state == "up" and not server.is_ejected and server.get_unanswered_since() > overdue_before
    ]
    return len(up), sum(server.count_not_overdue(overdue_before) for server in up)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["list", "whole", "send", "send", "send", "end", "end", "answer", "aside", "back", "count"]),
        st.integers(0, 9),
    ),
    min_size=20,
    max_size=120,
)


@given(STEPS, st.sampled_from([1.0, 1e9]))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_indexes_agree_with_a_scan(steps: list[tuple[str, int]], patience: float) -> None:
    """Compared at each recount and, where no relay ever is overdue, between recounts too."""
    servers, rng, now, serial = ServerTable(), random.Random(1), 100.0, 0
    in_flight: list[tuple[str, tuple[str, int]]] = []
    for kind, number in steps:
        now += 0.1
        name = f"s{number}"
        if kind in ("list", "whole"):
            states = ("up", "up", "draining", "gone") if kind == "list" else ("up", "draining")
            servers.update_entries(
                kind == "whole",
                [
                    ServerEntry(
                        f"s{other}", state=rng.choice(states), size=1.0 + other, started=float(rng.randrange(2))
                    )
                    for other in range(number + 1)
                ],
            )
        elif kind == "end" and in_flight:
            name, attempt = in_flight.pop(rng.randrange(len(in_flight)))
            if name in servers:
                servers.record_ended(servers[name], attempt)
        elif name in servers:
            server = servers[name]
            if kind == "send" and server.entry.state == "up":
                serial += 1
                servers.record_sent(server, (f"r{serial}", 0), now, True)
                in_flight.append((name, (f"r{serial}", 0)))
            elif kind == "answer":
                server.answered_at = now
                servers.is_stale = True  # the next tick recounts within 0.1 s
            elif kind == "aside" and server.entry.state == "up":
                servers.set_ejected(server, True)
            elif kind == "back" and server.is_ejected:
                servers.set_ejected(server, False)
        if is_recounted := kind == "count" or servers.is_stale:
            servers.recount(now - patience)
        if is_recounted or patience > 1e6:
            assert (servers.in_use, servers.in_flight) == count_by_scan(servers, servers.overdue_before)
        assert servers.up == [server for server in servers.values() if server.entry.state == "up"]
        assert servers.with_relays == {k: server for k, server in servers.items() if server.relays}
        assert servers.ejected == {k: server for k, server in servers.items() if server.is_ejected}
        assert len(servers.cumulative_sizes) == len(servers.up)
