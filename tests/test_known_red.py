"""CI passes over failed tests only where each of them is recorded in KNOWN-RED.txt."""

from __future__ import annotations

import importlib.util
import json
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent
KNOWN = "tests/test_a.py::test_one[x]"


@pytest.fixture
def known_red() -> ModuleType:
    spec = importlib.util.spec_from_file_location("known_red", ROOT / ".ci" / "known_red.py")
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize(
    ("failed", "exit_code", "expected"),
    [
        ([KNOWN], 1, 0),
        ([KNOWN, "tests/test_a.py::test_two"], 1, 1),
        (["tests/test_a.py::test_one[y]"], 1, 1),
        (["tests/test_a.py"], 1, 1),
        ([], 1, 1),
        ([KNOWN], 2, 2),
        ([KNOWN], 5, 5),
        ([KNOWN], 0, 0),
    ],
)
def test_only_recorded_failures_are_passed_over(
    known_red: ModuleType, tmp_path: Path, failed: list[str], exit_code: int, expected: int
) -> None:
    (tmp_path / "KNOWN-RED.txt").write_text(f"# test | issue | seen\n\n{KNOWN} | issue 1 | seed 2: once\n")
    cache = tmp_path / ".pytest_cache/v/cache/lastfailed"
    cache.parent.mkdir(parents=True)
    cache.write_text(json.dumps(dict.fromkeys(failed, True)))
    assert known_red.main(tmp_path, exit_code) == expected


def test_nothing_is_passed_over_without_a_record_or_a_cache(known_red: ModuleType, tmp_path: Path) -> None:
    assert known_red.main(tmp_path, 1) == 1
    (tmp_path / "KNOWN-RED.txt").write_text(f"{KNOWN} | issue 1 | once\n")
    assert known_red.main(tmp_path, 1) == 1


def test_the_recorded_tests_exist(known_red: ModuleType) -> None:
    for test in known_red.read_entries(ROOT / "KNOWN-RED.txt"):
        path, _, name = test.partition("::")
        assert f"def {name.partition('[')[0]}(" in (ROOT / path).read_text()
