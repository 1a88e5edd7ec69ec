"""Tests that docs/CAPACITY.md matches benchmarks/capacity.json, and that `--check` finds each kind of fault."""

from __future__ import annotations

import copy
import json
import math
import random
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from benchmarks.capacity.__main__ import PAGE_PATH, RESULTS_PATH, main, read_results, write_results
from benchmarks.capacity.crossings import find_crossing, list_crossings, select_deciding, select_next_parts
from benchmarks.capacity.fits import fit
from benchmarks.capacity.kinds import configuration, counter, lists
from benchmarks.capacity.load import TARGET_LOAD, LoadPoint, MeasuredSlopes, fit_row, select_value
from benchmarks.capacity.page import find_faults, format_page
from benchmarks.capacity.rows import CONFIGURATION_PART, FLEET, INGRESS, ROWS, Row
from benchmarks.capacity.second_sources import read_hollow_run

SIZES = (50, 100, 200, 400, 800)


@pytest.fixture(scope="module")
def results() -> dict[str, Any]:
    return read_results(RESULTS_PATH)


def run_check(tmp_path: Path, found: dict[str, Any], page: str) -> int:
    write_results(tmp_path / "capacity.json", found)
    (tmp_path / "CAPACITY.md").write_text(page, encoding="utf-8")
    return main(["--check", "--file", str(tmp_path / "capacity.json"), "--out", str(tmp_path / "CAPACITY.md")])


def test_the_committed_page_is_true_to_the_committed_file() -> None:
    assert main(["--check"]) == 0


def test_a_page_that_differs_is_found(tmp_path: Path, results: dict[str, Any]) -> None:
    page = PAGE_PATH.read_text(encoding="utf-8")
    assert run_check(tmp_path, results, page) == 0
    assert run_check(tmp_path, results, page.replace("14 KB", "15 KB", 1)) == 1
    assert run_check(tmp_path, results, "") == 1


def test_a_file_that_differs_is_found(tmp_path: Path, results: dict[str, Any]) -> None:
    other = copy.deepcopy(results)
    point = next(row for row in other["slopes"] if row["key"] == "list.bytes")["points"][-1]
    point["values"] = [value * 1.3 for value in point["values"]]
    assert run_check(tmp_path, other, PAGE_PATH.read_text(encoding="utf-8")) == 1


def test_a_slope_that_is_missing_is_found(tmp_path: Path, results: dict[str, Any]) -> None:
    other = {**results, "slopes": [row for row in results["slopes"] if row["key"] != "list.bytes"]}
    assert run_check(tmp_path, other, PAGE_PATH.read_text(encoding="utf-8")) == 1


def test_a_slope_of_three_sizes_is_found(tmp_path: Path, results: dict[str, Any]) -> None:
    other = copy.deepcopy(results)
    row = next(row for row in other["slopes"] if row["key"] == "list.bytes")
    row["points"] = row["points"][:3]
    assert run_check(tmp_path, other, PAGE_PATH.read_text(encoding="utf-8")) == 1


@pytest.mark.parametrize(
    ("what", "message"),
    [
        ({"limit": None}, "no limit"),
        ({"limit_text": ""}, "no limit"),
        ({"mechanism": ""}, "neither a mechanism nor 'none'"),
    ],
)
def test_a_row_that_lacks_something_is_found(results: dict[str, Any], what: dict[str, Any], message: str) -> None:
    rows = [replace(ROWS[0], **what), *ROWS[1:]]
    assert any(message in line for line in find_faults(results, format_page(results, rows), rows))


def test_a_row_without_a_mechanism_that_says_so_is_none(results: dict[str, Any]) -> None:
    rows = [replace(ROWS[0], mechanism="none"), *ROWS[1:]]
    assert find_faults(results, format_page(results, rows), rows) == []


def test_a_fit_stretched_too_far_wants_a_second_source(results: dict[str, Any]) -> None:
    other = copy.deepcopy(results)
    row = next(row for row in other["slopes"] if row["key"] == "list.bytes")
    row["points"] = [{"n": n, "values": [180.0 * n] * 3} for n in (100, 400, 1000, 2900)]
    found = find_faults(other, format_page(other))
    assert found and all("list.bytes is stretched 4.1 times, no second source" in line for line in found)
    other["source2"] = [
        *other["source2"],
        {
            "key": "list.bytes",
            "source": "counting",
            "n": TARGET_LOAD["servers"],
            "value": 2e6,
            "how": "an entry has 180 bytes",
        },
    ]
    assert find_faults(other, format_page(other)) == []
    out_of_range = copy.deepcopy(other)
    out_of_range["source2"][-1]["n"] = 2990.0  # extrapolated over four times itself
    assert any("no second source" in line for line in find_faults(out_of_range, format_page(out_of_range)))
    wrong = copy.deepcopy(other)
    wrong["source2"][-1]["wrong"] = True  # a run that went wrong
    assert any("no second source" in line for line in find_faults(wrong, format_page(wrong)))
    assert "**stretched 4.1 times**; second source, counting" in format_page(other)


@pytest.mark.parametrize(
    ("form", "shape"),
    [
        ("constant", lambda n: 40.0),
        ("n", lambda n: 3.0 + 0.2 * n),
        ("n squared", lambda n: 5.0 + 0.001 * n * n),
        ("log n", lambda n: 2.0 + 7.0 * math.log(n)),
    ],
)
def test_the_fit_chooses_the_form_of_made_up_figures(form: str, shape: Callable[[float], float]) -> None:
    for seed in range(50):
        rng = random.Random(seed)
        found = fit([(n, shape(n) * rng.uniform(0.98, 1.02)) for n in SIZES], 0.04)
        assert found.form == form, seed
        assert found.evaluate(3200) == pytest.approx(shape(3200), rel=0.12)
        assert abs(found.residual) < 0.04 and found.get_extrapolation(3200) == 4


def test_a_constant_is_not_taken_because_repeats_differ() -> None:
    assert fit([(20, 3.2), (50, 3.9), (100, 17.0), (200, 85.0)], spread=1.4).form == "n squared"
    assert fit([(20, 10.0), (50, 11.5), (100, 9.0), (200, 10.0)], spread=0.3).form == "constant"


def test_a_fit_says_what_it_leaves_over() -> None:
    found = fit([(50, 10.0), (100, 20.0), (200, 40.0), (400, 120.0)])
    assert found.largest_size == 400 and found.residual == pytest.approx((120.0 - found.evaluate(400)) / 120.0)
    with pytest.raises(ValueError, match="four sizes"):
        fit([(50, 10.0), (100, 20.0), (200, 40.0)])


def make_row(
    what: str, need: Callable[[LoadPoint], float] | None, limit: float, source: str = "letter", **more: Any
) -> Row:
    return Row("role", what, "", "", need, limit, "said", source, more.pop("mechanism", "module"), "", **more)


def test_the_walk_is_by_the_fits_and_what_is_missing_from_the_start_comes_first(results: dict[str, Any]) -> None:
    rows = [
        make_row("half way", lambda at: at.ingresses, 465.0),
        make_row("never", lambda at: at.ingresses, 1000.0),
        make_row("services", lambda at: at.services, 1.0, mechanism="none", is_counted=True),
        make_row("missing", None, 14.0, mechanism="none", is_missing_today=True),
        make_row("open", None, 1.0),
        make_row("passed today", lambda at: at.servers, 50.0, "assumption"),
        make_row(
            "by a slope",
            lambda at: at.estimate("list.bytes", at.servers),
            fit_row(next(row for row in results["slopes"] if row["key"] == "list.bytes")).evaluate(6100),
        ),
    ]
    found = list_crossings(rows, MeasuredSlopes(results))
    assert [one.row.what for one in found] == ["missing", "passed today", "services", "half way", "by a slope"]
    assert [one.fraction for one in found] == pytest.approx([0.0, 0.0, 1 / 259, 0.5, 6040 / 11940], abs=1e-6)
    assert [one.row.what for one in select_deciding(found)] == ["missing", "services", "half way", "by a slope"]
    assert (
        find_crossing(rows[1], MeasuredSlopes(results)) is None
        and find_crossing(rows[4], MeasuredSlopes(results)) is None
    )


def test_the_page_names_the_first_and_the_three_next(results: dict[str, Any]) -> None:
    found = select_deciding(list_crossings(ROWS, MeasuredSlopes(results)))
    page = PAGE_PATH.read_text(encoding="utf-8")
    assert f"**First: {found[0].row.what}**" in page
    after = select_next_parts(found, 3)
    assert len({found[0].row.part, *(one.row.part for one in after)}) == 4
    assert all(f"{one.row.part}, {one.row.what} (f = {one.fraction:.4f})" in page for one in after)


def test_configuration_stays_first_on_the_platform_and_has_its_rows_where_it_is_on(results: dict[str, Any]) -> None:
    found = select_deciding(list_crossings(ROWS, MeasuredSlopes(results)))
    assert (found[0].row.role, found[0].row.part, found[0].row.mechanism) == (INGRESS, CONFIGURATION_PART, "none")
    assert "[configuration]" in found[0].row.note and CONFIGURATION_PART not in [
        one.row.part for one in select_next_parts(found, 20)
    ]
    rows = [row for row in ROWS if row.role == FLEET and row.part == CONFIGURATION_PART]
    assert [row.limit for row in rows] == [5.0, 14.0, 14_000.0, 32.0, 14.0, 5.0]
    assert all(row.need is not None and row.mechanism != "none" for row in rows)


def test_a_change_is_counted_on_its_way_to_all() -> None:
    ran = configuration.measure_traffic(12, 1)
    assert ran["rest"] > 0 and 227 < ran["change"] < 1000  # a change of 227 bytes and its envelope
    ran = configuration.measure_delays(12, 1)
    assert 0 < ran["soon"] <= ran["all"] < 14


def test_a_time_that_has_to_hold_with_every_seed_is_the_longest() -> None:
    point = {"n": 890, "values": [1.9, 4.8, 2.0]}
    assert [select_value(point, take) for take in ("least", "median", "most")] == [1.9, 2.0, 4.8]
    with pytest.raises(KeyError):
        select_value(point, "mean")


def test_a_hollow_run_is_taken_as_second_source(tmp_path: Path, results: dict[str, Any]) -> None:
    rows = {"slopes": [{"key": "members.bytes", "n": 890, "value": 312.5, "how": "890 hollow"}]}
    assert read_hollow_run(rows)[0]["source"] == "hollow"
    write_results(tmp_path / "capacity.json", results)
    (tmp_path / "scale.json").write_text(json.dumps(rows))
    for _ in range(2):  # the second run replaces the rows of the first
        assert (
            main(
                [
                    "--take",
                    str(tmp_path / "scale.json"),
                    "--file",
                    str(tmp_path / "capacity.json"),
                    "--out",
                    str(tmp_path / "CAPACITY.md"),
                ]
            )
            == 0
        )
    stored = read_results(tmp_path / "capacity.json")
    assert [row for row in stored["source2"] if row["source"] == "hollow" and row["n"] == 890] == read_hollow_run(rows)
    assert run_check(tmp_path, stored, (tmp_path / "CAPACITY.md").read_text(encoding="utf-8")) == 0


def test_hollow_runs_of_one_size_stand_beside_each_other(tmp_path: Path, results: dict[str, Any]) -> None:
    for start, how in ((3.1, "200 hollow"), (1.3, "400 hollow"), (1.2, "400 hollow")):
        rows = {"slopes": [{"key": "process.start", "n": 12001, "value": start, "how": how}]}
        (tmp_path / "scale.json").write_text(json.dumps(rows))
        if not (tmp_path / "capacity.json").exists():
            write_results(tmp_path / "capacity.json", results)
        assert (
            main(
                [
                    "--take",
                    str(tmp_path / "scale.json"),
                    "--file",
                    str(tmp_path / "capacity.json"),
                    "--out",
                    str(tmp_path / "CAPACITY.md"),
                ]
            )
            == 0
        )
    found = [
        (row["value"], row["how"]) for row in read_results(tmp_path / "capacity.json")["source2"] if row["n"] == 12001
    ]
    assert found == [(3.1, "200 hollow"), (1.2, "400 hollow")]


def test_the_report_of_a_hollow_run_is_read() -> None:
    sent = {
        "ping": {"outMessages": 1.0, "outBytes": 85.0},
        "sync": {"outMessages": 0.1, "outBytes": 240.0},
        "carry_agree": {"outMessages": 1.0, "outBytes": 115.0},
        "records": {"outMessages": 5.0, "outBytes": 1100.0},
    }
    real = {
        "members": sent,
        "controlBytesASecond": 3597.1,
        "cpuPercent": {"median": 1.7},
        "residentMb": {"median": 58.0},
        "longestHoldMs": {"least": 248.0},
    }
    report = {
        "hollow": 100,
        "real": 4,
        "voters": 3,
        "servers": 12000,
        "seed": 1,
        "calm": {"hollow": {"members": sent}, "real": real, "voter": {"members": sent}},
        "times": {"agreedToAll": [{"most": 0.2}, {"most": 1.1}], "deathKnown": [], "readyReal": {"most": 1.8}},
    }
    rows = {row["key"]: row for row in read_hollow_run(report)}
    assert (rows["members.bytes"]["n"], rows["members.bytes"]["value"]) == (107, 325.0)
    assert (rows["log.all"]["n"], rows["log.all"]["value"]) == (104, 1.1)
    assert "members.death" not in rows and rows["control.bytes"]["value"] == 3597.0
    assert not any("wrong" in row or "settled" in row["how"] for row in rows.values())
    wrong = read_hollow_run({**report, "wrong": ["the start: not in 110 s: [{'there': 149}]"]})
    assert all(row["wrong"] and row["how"].endswith("not a settled fleet: the start: not in 110 s") for row in wrong)


def test_a_slope_is_measured() -> None:
    found = counter.measure_slopes(1, (0.1, 0.5, 2.0, 8.0))[0]
    assert all(len(point["values"]) == 3 for point in found["points"])
    slope_fit = fit_row(found)
    assert (
        slope_fit.largest_size == 8.0 and 1.0 < slope_fit.evaluate(0.1) < 2.5 and slope_fit.evaluate(8.0) < 0.6
    )  # leases cover more requests


def test_the_list_is_told_in_the_form_of_the_protocol() -> None:
    rows = [(n, float(len(lists.encode_list(lists.make_entries(n))))) for n in (40, 80, 160, 320)]
    slope_fit = fit(rows)
    assert slope_fit.form == "n" and slope_fit.slope == pytest.approx(164, rel=0.03)
    module = lists.ModuleWithInventory()
    module.feed_last_part(module.feed_leading_parts(lists.encode_list(lists.make_entries(2000))))
    assert len(module.inventory) == 2000 and len(module.decision_module.servers.up) == 2000
