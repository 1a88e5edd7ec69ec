"""The module's cost by the number of servers, and the indexes that keep it flat against what a scan finds."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.module_cost import MOST, lines
from brackenpulley.policy.interface import ServerEntry
from brackenpulley.policy.state import ServerTable


def test_a_message_costs_the_same_among_a_thousand_servers_as_among_ten() -> None:
    few, many = lines(10, 200), lines(1000, 200)
    assert 100 < few < many < MOST * few


def scan(servers: ServerTable, late: float) -> tuple[int, int]:
    """In use and held, as they were found before there were indexes: by a look at each server and attempt."""
    up = [s for s in servers.values() if s.entry.state == "up" and not s.is_ejected and s.get_unanswered_since() > late]
    return len(up), sum(s.count_not_overdue(late) for s in up)


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
    """At each count; where nothing is ever overdue, between counts as well."""
    servers, rng, now, serial = ServerTable(), random.Random(1), 100.0, 0
    out: list[tuple[str, tuple[str, int]]] = []
    for what, n in steps:
        now += 0.1
        name = f"s{n}"
        if what in ("list", "whole"):
            states = ("up", "up", "draining", "gone") if what == "list" else ("up", "draining")
            servers.update_entries(
                what == "whole",
                [
                    ServerEntry(f"s{m}", state=rng.choice(states), size=1.0 + m, started=float(rng.randrange(2)))
                    for m in range(n + 1)
                ],
            )
        elif what == "end" and out:
            name, attempt = out.pop(rng.randrange(len(out)))
            if name in servers:
                servers.record_ended(servers[name], attempt)
        elif name in servers:
            s = servers[name]
            if what == "send" and s.entry.state == "up":
                serial += 1
                servers.record_sent(s, (f"r{serial}", 0), now, True)
                out.append((name, (f"r{serial}", 0)))
            elif what == "answer":
                s.answered_at = now
                servers.is_stale = True  # a beat follows within 0.1 s
            elif what == "aside" and s.entry.state == "up":
                servers.set_ejected(s, True)
            elif what == "back" and s.is_ejected:
                servers.set_ejected(s, False)
        if anew := what == "count" or servers.is_stale:
            servers.recount(now - patience)
        if anew or patience > 1e6:
            assert (servers.in_use, servers.in_flight) == scan(servers, servers.overdue_before)
        assert servers.up == [s for s in servers.values() if s.entry.state == "up"]
        assert servers.with_relays == {k: s for k, s in servers.items() if s.relays}
        assert servers.ejected == {k: s for k, s in servers.items() if s.is_ejected}
        assert len(servers.cumulative_sizes) == len(servers.up)
