"""What goes to billing and what its answers mean; then the uploader on real sockets against a failing stand-in."""

from __future__ import annotations

import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.ledger.store import Store
from brackenpulley.ledger.tally import Entry, Key
from brackenpulley.ledger.upload import LATER, Rules, batch, event
from brackenpulley.standins.billing import Billing

from .rig import Rig, rig
from .test_ledger import faults, filled


def entry(seq: int) -> Entry:
    return Entry(
        seq, f"n0/e/{seq}", Key("use", 1_700_000_000_000, 1_700_000_060_000, 0xB4D65521, "school", 7), 1_500_000, 2
    )


def test_an_event_is_cloudevents_1_0() -> None:
    assert event(entry(3)) == {
        "specversion": "1.0",
        "id": "n0/e/3",
        "source": "/brackenpulley/n0/e",
        "type": "org.brackenpulley.use.v1",
        "subject": "00000000b4d65521",
        "time": "2023-11-14T22:14:20.000Z",
        "datacontenttype": "application/json",
        "data": {
            "seq": 3,
            "kind": "use",
            "firm": "00000000b4d65521",
            "plan": "school",
            "planRevision": 7,
            "from": "2023-11-14T22:13:20.000Z",
            "to": "2023-11-14T22:14:20.000Z",
            "units": "1.500000",
            "tries": 2,
        },
    }


@pytest.mark.parametrize(
    ("status", "after", "body", "acked", "waits"),
    [
        (200, 0, b"", 20, False),
        (202, 0, b"{}", 20, False),
        (204, 0, b"", 20, False),
        (200, 0, b"no json", 20, False),
        (200, 0, b'{"acked": 15}', 15, False),
        (200, 0, b'{"acked": 10}', 10, True),
        (200, 0, b'{"acked": true}', 20, False),
        (200, 0, b'{"acked": 9}', 10, True),
        (200, 0, b'{"acked": 21}', 10, True),  # not ours to believe
        (409, 0, b"", 20, False),
        (409, 0, b'{"acked": 12}', 12, False),
        (413, 0, b"", 10, False),
        (429, 7, b"", 10, 7.0),
        (503, 3, b"", 10, 3.0),
        (429, 0, b"", 10, True),
        (500, 9, b"", 10, True),
        (404, 0, b"", 10, True),
        (301, 0, b"", 10, True),
        (0, 0, b"", 10, True),
    ],
)
def test_what_an_answer_means(status: int, after: float, body: bytes, acked: int, waits: Any) -> None:
    ruling = Rules(10, 30.0, random.Random(1)).answered(11, 20, status, after, body)
    assert ruling.acked == acked
    assert ruling.wait == waits if isinstance(waits, float) else (ruling.wait > 0) is waits
    assert bool(ruling.fault) is (acked == 10)


def test_too_large_is_halved_down_to_one_and_that_one_waits() -> None:
    rules = Rules(8, 30.0, random.Random(1))
    sizes = []
    for last in (8, 4, 2):
        rules.answered(1, last, 413, 0, b"")
        sizes.append(rules.size)
    assert sizes == [4, 2, 1] and rules.answered(1, 1, 413, 0, b"").wait == LATER
    rules.answered(1, 1, 200, 0, b"")
    assert rules.size == 2


def test_repeats_wait_longer_each_time_up_to_the_longest() -> None:
    rules = Rules(8, 5.0, random.Random(1))
    waits = [rules.answered(1, 8, 500, 0, b"").wait for _ in range(40)]
    assert waits[0] < 0.3 and max(waits) <= 5.0 and min(waits[10:]) >= 2.5


@given(
    st.lists(st.sampled_from(["take", "lose", "part", "none", "large", "busy", "error"]), max_size=40),
    st.integers(1, 60),
)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_each_entry_counts_once_whatever_billing_does(script: list[str], count: int) -> None:
    """A model of the receiver: it drops ids that it has. Nothing is skipped, and what came twice is the same."""
    rules, acked, had = Rules(10, 5.0, random.Random(1)), 0, dict[str, bytes]()
    rng = random.Random(len(script))
    while acked < count:
        what = script.pop() if script else "take"
        sent = [entry(n) for n in range(acked + 1, min(count, acked + rules.size) + 1)]
        taken = sent if what in ("take", "lose") else sent[: rng.randint(0, len(sent))] if what == "part" else []
        for one in taken:
            assert had.setdefault(one.id, batch([one])) == batch([one])
        status = {"take": 200, "part": 200, "large": 413, "busy": 429, "error": 500}.get(what, 0)
        body = b'{"acked": %d}' % (sent[0].seq - 1 + len(taken)) if what == "part" else b""
        acked = rules.answered(sent[0].seq, sent[-1].seq, status, 1, body).acked
        assert len(had) >= acked
    assert len(had) == count


def export_rig(tmp_path: Path, port: str, **more: Any) -> Any:
    ledger = {
        "path": str(tmp_path),
        "period_s": 60.0,
        "grace_s": 0.0,
        "export": {"url": f"http://{port}/use", "batch": 5, "longest_wait_s": 0.5, "timeout_s": 0.5},
        **more,
    }
    return rig(operator={"ledger": ledger})


def billed(r: Rig, billing: Billing, count: int) -> bool:
    billing.loop.run_once(0.001)
    return len(billing.events) >= count and r.daemon.ledger.tally.heads.backlog == 0


@pytest.mark.parametrize(
    "modes",
    [
        ["takes"],
        ["lost", "lost", "takes"],
        ["part", "409", "500", "413", "takes"],
        ["429", "silent", "part", "lost", "413", "takes"],
    ],
)
def test_all_reaches_a_failing_billing_once(tmp_path: Path, modes: list[str]) -> None:
    store, t = filled(tmp_path)
    store.end()
    import time as clock

    from brackenpulley.metrics import Metrics
    from brackenpulley.net.loop import Loop

    outside = Loop(clock.time, Metrics(), None)
    billing = Billing(outside, max_events=3)
    billing.mode = modes[0]
    with export_rig(tmp_path, billing.listener.address_text) as r:
        for mode in modes:
            sends = r.count("export_sends")
            billing.mode = mode

            def tried(sends: int = sends) -> bool:
                return billed(r, billing, 12) or r.count("export_sends") > sends + 1

            r.run_until(tried)
            r.advance_clock(2.0)
        billing.mode = "takes"
        r.run_until(lambda: billed(r, billing, 12))
        assert len(billing.events) == 12 and billing.faults == []
        assert sum(billing.sum_micro_units().values()) == 12 * 1_500_000 and faults(r.daemon.ledger.store) == []
        # Billing is restored from a backup: what it lost goes again, under the ids that it had.
        before = dict(billing.events)
        billing.restore(7)
        r.daemon.ledger.replay(8)
        r.run_until(lambda: billed(r, billing, 12))
        assert billing.events == before and faults(r.daemon.ledger.store) == []
    billing.listener.stop()
    outside.close()


def test_two_exports_at_once_the_second_says_who_holds_it(tmp_path: Path) -> None:
    store, t = filled(tmp_path)
    store.end()
    with export_rig(tmp_path, "127.0.0.1:1"):
        run = subprocess.run(
            [
                sys.executable,
                "-m",
                "brackenpulley",
                "ledger",
                "push",
                "--path",
                str(tmp_path),
                "--url",
                "http://127.0.0.1:1/use",
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        assert run.returncode == 2 and "held by ingress n0, process" in run.stderr
    Store(str(tmp_path)).end()
