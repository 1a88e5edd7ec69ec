"""Tests of the fleet counts: the record that an ingress logs per second, and the command that merges many logs."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from brackenpulley.growth.merge import InvalidRecordError, MergedLogs, parse_record
from brackenpulley.serve import make_logger

from .rig import rig


def record_line(time: int, relays: int, server: str = "s-1", prefix: str = "") -> str:
    tally = {
        "counts": {"relays": relays, "messages": relays + 1},
        "servers": {server: {"relays": relays}},
        "now": {"aside": 1, "out": 2},
    }
    return f"{prefix}timestamp=x level=info event=second at={time} tally={json.dumps(json.dumps(tally))}\n"


def test_logs_of_many_ingresses_are_added_by_second() -> None:
    merged = MergedLogs()
    merged.add_log("n0", [record_line(100, 3), record_line(101, 1), "listening\n"])
    merged.add_log("n1", [record_line(101, 4, "s-2", "7.001 "), record_line(102, 2)])
    rows = merged.build_timeline()
    assert [(r["second"], r["relays"], r["ingresses"], r["aside"], r["servers"], r["most"]) for r in rows] == [
        (0, 3, 1, 1, 1, 3),
        (1, 5, 2, 2, 2, 4),
        (2, 2, 1, 1, 1, 2),
    ]
    assert [(r["server"], r["relays"]) for r in merged.build_totals("server")] == [("s-1", 6), ("s-2", 4)]
    assert {r["ingress"]: r["messages"] for r in merged.build_totals("ingress")} == {"n0": 6, "n1": 8}
    assert merged.logs["n0"].other_lines == 1 and merged.build_report()["counters"] == {"relays": 10, "messages": 14}


@pytest.mark.parametrize("cut", range(30, len(record_line(100, 3)) - 3))
def test_a_truncated_line_is_counted_and_reported(cut: int) -> None:
    """A killed process can leave a truncated last line, and the output of the next one may follow on the same line."""
    merged = MergedLogs()
    log = merged.add_log("n0", [record_line(99, 1), record_line(100, 3)[:cut]])
    assert log.records == 1 and log.invalid_lines + log.other_lines == 1
    assert log.invalid_lines == 0 or record_line(100, 3).startswith(log.first_invalid_line)


@pytest.mark.parametrize(
    "tally",
    [
        "",
        "3",
        "[]",
        '{"counts":{}}',
        '{"counts":{"a":"b"},"servers":{},"now":{}}',
        '{"counts":[],"servers":{},"now":{"aside":0,"out":0}}',
        "[" * 100_000,
    ],
)
def test_invalid_records_raise_an_error(tally: str) -> None:
    with pytest.raises(InvalidRecordError):
        parse_record(f"event=second at=5 tally={tally}")


def test_an_ingress_logs_one_record_per_second_with_counts_by_server() -> None:
    lines: list[str] = []

    class Output:
        def write(self, text: str) -> None:
            lines.append(text)

        def flush(self) -> None:
            pass

    with rig(operator={"log": {"seconds": True}}) as r:
        log = make_logger(Output())
        r.daemon.tally.log = log
        r.freeze_clock()  # on a slow machine, another full second could pass and add a record
        client = r.send_request()
        server_name, server = r.accept_relay()
        server.read_http()
        server.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        assert client.read_http()[0] == 200
        r.advance_clock(1.0)
        r.advance_clock(1.0)
    merged = MergedLogs()
    assert merged.add_log("n0", "".join(lines).splitlines()).records == 2
    row = merged.build_totals("server")[0]
    assert (row["server"], row["relays"], row["connects"]) == (server_name, 1, 1)
    assert merged.build_report()["counters"]["served"] == 1


def test_counts_by_server_are_off_by_default() -> None:
    with rig() as r:
        assert r.daemon.metrics.server_counts is None


def test_growth_count_command(tmp_path: Path) -> None:
    (tmp_path / "n0.log").write_text(record_line(100, 3) + record_line(101, 2)[:-20])
    (tmp_path / "n1.log").write_text(record_line(100, 1))

    def run(*words: str) -> subprocess.CompletedProcess[str]:
        return subprocess.run(
            [sys.executable, "-m", "brackenpulley", "growth", *words],
            capture_output=True,
            text=True,
            env={**os.environ, "NO_COLOR": "1"},
            timeout=60,
        )

    result = run("count", str(tmp_path), "--json")
    report: dict[str, Any] = json.loads(result.stdout)
    assert (
        result.returncode == 0 and report["seconds"][0]["relays"] == 4 and "n0: 1 lines are no records" in result.stderr
    )
    assert run("count", str(tmp_path), "--by", "server").stdout.startswith("server\tmessages\trelays")
    for words, text in (
        (["count", str(tmp_path / "none.log")], "none.log: No such file"),
        (["count", str(tmp_path), "--by", "x"], "--by: 'x' is none of"),
    ):
        failure = run(*words)
        assert failure.returncode == 2 and text in failure.stderr and len(failure.stderr.strip().splitlines()) <= 2


def test_log_seconds_must_be_a_boolean() -> None:
    from brackenpulley.address import ConfigError
    from brackenpulley.operator import decode

    with pytest.raises(ConfigError, match=r"^log.seconds: 'yes' is neither true nor false$"):
        decode({"log": {"seconds": "yes"}})
    assert not decode({}).seconds
