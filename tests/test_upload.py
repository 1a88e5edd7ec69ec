"""Uploads to billing: events, handling of responses, and the uploader on real sockets against a failing stand-in."""

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
from brackenpulley.ledger.tally import Entry, UsageKey
from brackenpulley.ledger.upload import OVERSIZED_RETRY_DELAY_SECONDS, UploadPolicy, build_event, encode_batch
from brackenpulley.standins.billing import Billing

from .rig import Rig, rig
from .test_ledger import fill_store, find_faults


def entry(seq: int) -> Entry:
    return Entry(
        seq, f"n0/e/{seq}", UsageKey("use", 1_700_000_000_000, 1_700_000_060_000, 0xB4D65521, "school", 7), 1_500_000, 2
    )


def test_an_event_is_cloudevents_1_0() -> None:
    assert build_event(entry(3)) == {
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
    ("status", "after", "body", "acked", "delay"),
    [
        (200, 0, b"", 20, False),
        (202, 0, b"{}", 20, False),
        (204, 0, b"", 20, False),
        (200, 0, b"no json", 20, False),
        (200, 0, b'{"acked": 15}', 15, False),
        (200, 0, b'{"acked": 10}', 10, True),
        (200, 0, b'{"acked": true}', 20, False),
        (200, 0, b'{"acked": 9}', 10, True),
        (200, 0, b'{"acked": 21}', 10, True),  # beyond what was sent
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
def test_responses_set_the_acknowledged_entry_and_the_delay(
    status: int, after: float, body: bytes, acked: int, delay: Any
) -> None:
    outcome = UploadPolicy(10, 30.0, random.Random(1)).handle_response(11, 20, status, after, body)
    assert outcome.acked_seq == acked
    assert outcome.delay_seconds == delay if isinstance(delay, float) else (outcome.delay_seconds > 0) is delay
    assert bool(outcome.error) is (acked == 10)


def test_a_batch_that_is_too_large_is_halved_and_a_single_entry_waits() -> None:
    policy = UploadPolicy(8, 30.0, random.Random(1))
    sizes = []
    for last in (8, 4, 2):
        policy.handle_response(1, last, 413, 0, b"")
        sizes.append(policy.batch_size)
    assert (
        sizes == [4, 2, 1] and policy.handle_response(1, 1, 413, 0, b"").delay_seconds == OVERSIZED_RETRY_DELAY_SECONDS
    )
    policy.handle_response(1, 1, 200, 0, b"")
    assert policy.batch_size == 2


def test_retries_back_off_up_to_the_maximum_delay() -> None:
    policy = UploadPolicy(8, 5.0, random.Random(1))
    delays = [policy.handle_response(1, 8, 500, 0, b"").delay_seconds for _ in range(40)]
    assert delays[0] < 0.3 and max(delays) <= 5.0 and min(delays[10:]) >= 2.5


@given(
    st.lists(st.sampled_from(["take", "lose", "part", "none", "large", "busy", "error"]), max_size=40),
    st.integers(1, 60),
)
@settings(derandomize=True, deadline=None, max_examples=60)
def test_each_entry_counts_once_whatever_billing_does(script: list[str], count: int) -> None:
    """Models a receiver that drops known ids. No entry is skipped, and one that is sent twice has the same content."""
    policy, acked, received = UploadPolicy(10, 5.0, random.Random(1)), 0, dict[str, bytes]()
    rng = random.Random(len(script))
    while acked < count:
        behaviour = script.pop() if script else "take"
        sent_entries = [entry(n) for n in range(acked + 1, min(count, acked + policy.batch_size) + 1)]
        taken = (
            sent_entries
            if behaviour in ("take", "lose")
            else sent_entries[: rng.randint(0, len(sent_entries))]
            if behaviour == "part"
            else []
        )
        for one in taken:
            assert received.setdefault(one.id, encode_batch([one])) == encode_batch([one])
        status = {"take": 200, "part": 200, "large": 413, "busy": 429, "error": 500}.get(behaviour, 0)
        body = b'{"acked": %d}' % (sent_entries[0].seq - 1 + len(taken)) if behaviour == "part" else b""
        acked = policy.handle_response(sent_entries[0].seq, sent_entries[-1].seq, status, 1, body).acked_seq
        assert len(received) >= acked
    assert len(received) == count


def export_rig(tmp_path: Path, port: str, **options: Any) -> Any:
    ledger = {
        "path": str(tmp_path),
        "period_s": 60.0,
        "grace_s": 0.0,
        "export": {"url": f"http://{port}/use", "batch": 5, "longest_wait_s": 0.5, "timeout_s": 0.5},
        **options,
    }
    return rig(operator={"ledger": ledger})


def billed(r: Rig, billing: Billing, count: int) -> bool:
    billing.loop.run_once(0.001)
    return len(billing.events) >= count and r.daemon.ledger.tally.state.backlog == 0


@pytest.mark.parametrize(
    "modes",
    [
        ["takes"],
        ["lost", "lost", "takes"],
        ["part", "409", "500", "413", "takes"],
        ["429", "silent", "part", "lost", "413", "takes"],
    ],
)
def test_a_failing_billing_service_gets_all_entries_once(tmp_path: Path, modes: list[str]) -> None:
    store, tally = fill_store(tmp_path)
    store.close()
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
        assert sum(billing.sum_micro_units().values()) == 12 * 1_500_000 and find_faults(r.daemon.ledger.store) == []
        # Billing is restored from a backup: the entries that it lost are sent again, under the same ids.
        before = dict(billing.events)
        billing.restore(7)
        r.daemon.ledger.replay(8)
        r.run_until(lambda: billed(r, billing, 12))
        assert billing.events == before and find_faults(r.daemon.ledger.store) == []
    billing.listener.stop()
    outside.close()


def test_a_second_exporter_reports_the_holder_of_the_lock(tmp_path: Path) -> None:
    store, tally = fill_store(tmp_path)
    store.close()
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
    Store(str(tmp_path)).close()
