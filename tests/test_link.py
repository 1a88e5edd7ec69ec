"""The simulator's adapter as a process on its standard streams."""

import json
import os
import subprocess
import sys
from typing import Any

SETTINGS = {
    "Classes": [{"Name": "a", "Objective": 1.0, "GiveUp": 3.0, "Value": 1.0, "Idempotency": "free", "New": 1}],
    "TiersOfService": [{"Name": "p", "QuotaRate": 5.0, "Burst": 10.0}],
    "Extra": {"MayCount": True},
    "Report": {"Via": "silent", "Fields": []},
    "Limits": {"AttemptsCap": 2},
    "Invariants": {"StopSendingWithin": 1.0, "ColdFrom": 0.2, "Cold": 5.0, "OverloadFactor": 3.0, "TipAfter": 2.0},
    "MyNumber": 0,
    "NInstances": 1,
    "Resolution": 0.004,
    "MembershipMode": "automatic",
    "Zone": "z",
}


def provision(number: int, settings: Any = SETTINGS) -> list[Any]:
    lines = [{"Worker": f"10.0.0.{serial}:1", "Az": "z", "Units": 1, "StageState": "healthy"} for serial in range(3)]
    return [
        {"Provision": {"Who": number, "Prng": 5, "Settings": settings}},
        {"Membership": {"Who": number, "How": "stale_copy", "SeqNo": 1, "Lines": lines}},
    ]


def work_item(number: int, serial: int) -> dict[str, Any]:
    return {
        "WorkItem": {
            "Who": number,
            "Ref": f"{number:08x}{serial:08x}",
            "Category": "a",
            "Package": "p",
            "Caller": serial % 5,
            "Grace": 3.0,
            "CostUnits": 1,
            "EntryPoints": 1,
            "Base": 0,
            "Unknown": [1],
        }
    }


def run_adapter(batches: list[Any], seed: str = "0") -> tuple[list[Any], int, str]:
    text = "".join(b if isinstance(b, str) else json.dumps(b) + "\n" for b in batches)
    done = subprocess.run(
        [sys.executable, "-m", "brackenpulley.adapter"],
        input=text,
        capture_output=True,
        text=True,
        env={**os.environ, "PYTHONHASHSEED": seed},
        timeout=60,
    )
    return [json.loads(x) for x in done.stdout.splitlines()], done.returncode, done.stderr


def make_batches() -> list[Any]:
    return [
        {"AtTime": 1.0, "in": []},
        {"AtTime": 1.0, "in": provision(0) + provision(1)},
        {"AtTime": 1.1, "in": [work_item(serial % 2, serial) for serial in range(200)]},
        {"AtTime": 1.2, "in": [{"Halt": {"Who": 1}}, *provision(1), work_item(1, 999)]},
        {"AtTime": 1.3, "in": [{"Mystery": {"Who": 0}}, {"Alarm": {"Who": 1, "Tag": 77}}]},
    ]


def test_batches_restart_and_end_of_input() -> None:
    replies, code, errors = run_adapter(make_batches())
    assert code == 0 and not errors and len(replies) == 5
    assert replies[0] == {"steps": []}
    answered = {
        row["Ref"] for step in replies[2]["steps"] for name, row in step.items() if name in ("HandOff", "OverloadReply")
    }
    assert len(answered) == 200
    assert [name for step in replies[3]["steps"] for name in step if name == "HandOff"] == ["HandOff"]
    assert replies[4] == {"steps": []}


def test_same_replies_under_any_hash_seed() -> None:
    assert run_adapter(make_batches(), "1") == run_adapter(make_batches(), "4242")


def test_a_line_that_is_not_a_batch_ends_the_adapter_with_a_message() -> None:
    for invalid in ("nonsense\n", "[]\n", '{"in": 3}\n'):
        replies, code, errors = run_adapter([{"AtTime": 1.0, "in": []}, invalid])
        assert code == 1 and len(replies) == 1 and errors.startswith("adapter: ") and "Traceback" not in errors


def test_missing_setting_is_named() -> None:
    _, code, errors = run_adapter(
        [{"AtTime": 1.0, "in": provision(0, {k: v for k, v in SETTINGS.items() if k != "Limits"})}]
    )
    assert code == 1 and "Limits" in errors
