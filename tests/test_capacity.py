"""The page of capacity and the file of results agree, and what --check is there to find is found."""

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

from benchmarks.capacity.__main__ import FILE, PAGE, main, read, write
from benchmarks.capacity.fits import fit
from benchmarks.capacity.kinds import configuration, counter, lists
from benchmarks.capacity.line import SIZE, At, Measured, fitted, value
from benchmarks.capacity.page import faults, text
from benchmarks.capacity.second import hollow
from benchmarks.capacity.sheet import CONFIGURATION, FLEET, INGRESS, ROWS, Row
from benchmarks.capacity.walk import deciding, following, passes, walk

SIZES = (50, 100, 200, 400, 800)


@pytest.fixture(scope="module")
def raw() -> dict[str, Any]:
    return read(FILE)


def checked(tmp_path: Path, found: dict[str, Any], page: str) -> int:
    write(tmp_path / "capacity.json", found)
    (tmp_path / "CAPACITY.md").write_text(page, encoding="utf-8")
    return main(["--check", "--file", str(tmp_path / "capacity.json"), "--out", str(tmp_path / "CAPACITY.md")])


def test_the_committed_page_is_true_to_the_committed_file() -> None:
    assert main(["--check"]) == 0


def test_a_page_that_differs_is_found(tmp_path: Path, raw: dict[str, Any]) -> None:
    page = PAGE.read_text(encoding="utf-8")
    assert checked(tmp_path, raw, page) == 0
    assert checked(tmp_path, raw, page.replace("14 KB", "15 KB", 1)) == 1
    assert checked(tmp_path, raw, "") == 1


def test_a_file_that_differs_is_found(tmp_path: Path, raw: dict[str, Any]) -> None:
    other = copy.deepcopy(raw)
    point = next(row for row in other["slopes"] if row["key"] == "list.bytes")["points"][-1]
    point["values"] = [value * 1.3 for value in point["values"]]
    assert checked(tmp_path, other, PAGE.read_text(encoding="utf-8")) == 1


def test_a_slope_that_is_missing_is_found(tmp_path: Path, raw: dict[str, Any]) -> None:
    other = {**raw, "slopes": [row for row in raw["slopes"] if row["key"] != "list.bytes"]}
    assert checked(tmp_path, other, PAGE.read_text(encoding="utf-8")) == 1


def test_a_slope_of_three_sizes_is_found(tmp_path: Path, raw: dict[str, Any]) -> None:
    other = copy.deepcopy(raw)
    row = next(row for row in other["slopes"] if row["key"] == "list.bytes")
    row["points"] = row["points"][:3]
    assert checked(tmp_path, other, PAGE.read_text(encoding="utf-8")) == 1


@pytest.mark.parametrize(
    ("what", "said"),
    [({"limit": None}, "no limit"), ({"says": ""}, "no limit"), ({"mechanism": ""}, "neither a mechanism nor 'none'")],
)
def test_a_row_that_lacks_something_is_found(raw: dict[str, Any], what: dict[str, Any], said: str) -> None:
    rows = [replace(ROWS[0], **what), *ROWS[1:]]
    assert any(said in line for line in faults(raw, text(raw, rows), rows))


def test_a_row_without_a_mechanism_that_says_so_is_none(raw: dict[str, Any]) -> None:
    rows = [replace(ROWS[0], mechanism="none"), *ROWS[1:]]
    assert faults(raw, text(raw, rows), rows) == []


def test_a_fit_stretched_too_far_wants_a_second_source(raw: dict[str, Any]) -> None:
    other = copy.deepcopy(raw)
    row = next(row for row in other["slopes"] if row["key"] == "list.bytes")
    row["points"] = [{"n": n, "values": [180.0 * n] * 3} for n in (100, 400, 1000, 2900)]
    found = faults(other, text(other))
    assert found and all("list.bytes is stretched 4.1 times, no second source" in line for line in found)
    other["source2"] = [
        *other["source2"],
        {
            "key": "list.bytes",
            "source": "counting",
            "n": SIZE["servers"],
            "value": 2e6,
            "how": "an entry has 180 bytes",
        },
    ]
    assert faults(other, text(other)) == []
    near = copy.deepcopy(other)
    near["source2"][-1]["n"] = 2990.0  # stretched over four times itself
    assert any("no second source" in line for line in faults(near, text(near)))
    ill = copy.deepcopy(other)
    ill["source2"][-1]["wrong"] = True  # a run that went wrong
    assert any("no second source" in line for line in faults(ill, text(ill)))
    assert "**stretched 4.1 times**; second source, counting" in text(other)


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
        assert found.at(3200) == pytest.approx(shape(3200), rel=0.12)
        assert abs(found.over) < 0.04 and found.stretched(3200) == 4


def test_a_constant_is_not_taken_because_repeats_differ() -> None:
    assert fit([(20, 3.2), (50, 3.9), (100, 17.0), (200, 85.0)], spread=1.4).form == "n squared"
    assert fit([(20, 10.0), (50, 11.5), (100, 9.0), (200, 10.0)], spread=0.3).form == "constant"


def test_a_fit_says_what_it_leaves_over() -> None:
    found = fit([(50, 10.0), (100, 20.0), (200, 40.0), (400, 120.0)])
    assert found.largest == 400 and found.over == pytest.approx((120.0 - found.at(400)) / 120.0)
    with pytest.raises(ValueError, match="four sizes"):
        fit([(50, 10.0), (100, 20.0), (200, 40.0)])


def made(what: str, need: Callable[[At], float] | None, limit: float, source: str = "letter", **more: Any) -> Row:
    return Row("role", what, "", "", need, limit, "said", source, more.pop("mechanism", "module"), "", **more)


def test_the_walk_is_by_the_fits_and_what_is_missing_from_the_start_comes_first(raw: dict[str, Any]) -> None:
    rows = [
        made("half way", lambda at: at.ingresses, 465.0),
        made("never", lambda at: at.ingresses, 1000.0),
        made("services", lambda at: at.services, 1.0, mechanism="none", counted=True),
        made("missing", None, 14.0, mechanism="none", start=True),
        made("open", None, 1.0),
        made("passed today", lambda at: at.servers, 50.0, "assumption"),
        made(
            "by a slope",
            lambda at: at.slope("list.bytes", at.servers),
            fitted(next(row for row in raw["slopes"] if row["key"] == "list.bytes")).at(6100),
        ),
    ]
    found = walk(rows, Measured(raw))
    assert [one.row.what for one in found] == ["missing", "passed today", "services", "half way", "by a slope"]
    assert [one.f for one in found] == pytest.approx([0.0, 0.0, 1 / 259, 0.5, 6040 / 11940], abs=1e-6)
    assert [one.row.what for one in deciding(found)] == ["missing", "services", "half way", "by a slope"]
    assert passes(rows[1], Measured(raw)) is None and passes(rows[4], Measured(raw)) is None


def test_the_page_names_the_first_and_the_three_next(raw: dict[str, Any]) -> None:
    found = deciding(walk(ROWS, Measured(raw)))
    page = PAGE.read_text(encoding="utf-8")
    assert f"**First: {found[0].row.what}**" in page
    after = following(found, 3)
    assert len({found[0].row.part, *(one.row.part for one in after)}) == 4
    assert all(f"{one.row.part}, {one.row.what} (f = {one.f:.4f})" in page for one in after)


def test_configuration_stays_first_on_the_platform_and_has_its_rows_where_it_is_on(raw: dict[str, Any]) -> None:
    found = deciding(walk(ROWS, Measured(raw)))
    assert (found[0].row.role, found[0].row.part, found[0].row.mechanism) == (INGRESS, CONFIGURATION, "none")
    assert "[configuration]" in found[0].row.note and CONFIGURATION not in [
        one.row.part for one in following(found, 20)
    ]
    rows = [row for row in ROWS if row.role == FLEET and row.part == CONFIGURATION]
    assert [row.limit for row in rows] == [5.0, 14.0, 14_000.0, 32.0, 14.0, 5.0]
    assert all(row.need is not None and row.mechanism != "none" for row in rows)


def test_a_change_is_counted_on_its_way_to_all() -> None:
    ran = configuration.heard(12, 1)
    assert ran["rest"] > 0 and 227 < ran["change"] < 1000  # a change of 227 bytes with what is around it
    ran = configuration.spread(12, 1)
    assert 0 < ran["soon"] <= ran["all"] < 14


def test_a_time_that_has_to_hold_with_every_seed_is_the_longest() -> None:
    point = {"n": 890, "values": [1.9, 4.8, 2.0]}
    assert [value(point, take) for take in ("least", "median", "most")] == [1.9, 2.0, 4.8]
    with pytest.raises(KeyError):
        value(point, "mean")


def test_a_hollow_run_is_taken_as_second_source(tmp_path: Path, raw: dict[str, Any]) -> None:
    rows = {"slopes": [{"key": "members.bytes", "n": 890, "value": 312.5, "how": "890 hollow"}]}
    assert hollow(rows)[0]["source"] == "hollow"
    write(tmp_path / "capacity.json", raw)
    (tmp_path / "scale.json").write_text(json.dumps(rows))
    for _ in range(2):  # the second time it replaces the first
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
    told = read(tmp_path / "capacity.json")
    assert [row for row in told["source2"] if row["source"] == "hollow" and row["n"] == 890] == hollow(rows)
    assert checked(tmp_path, told, (tmp_path / "CAPACITY.md").read_text(encoding="utf-8")) == 0


def test_hollow_runs_of_one_size_stand_beside_each_other(tmp_path: Path, raw: dict[str, Any]) -> None:
    for start, how in ((3.1, "200 hollow"), (1.3, "400 hollow"), (1.2, "400 hollow")):
        rows = {"slopes": [{"key": "process.start", "n": 12001, "value": start, "how": how}]}
        (tmp_path / "scale.json").write_text(json.dumps(rows))
        if not (tmp_path / "capacity.json").exists():
            write(tmp_path / "capacity.json", raw)
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
    found = [(row["value"], row["how"]) for row in read(tmp_path / "capacity.json")["source2"] if row["n"] == 12001]
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
    rows = {row["key"]: row for row in hollow(report)}
    assert (rows["members.bytes"]["n"], rows["members.bytes"]["value"]) == (107, 325.0)
    assert (rows["log.all"]["n"], rows["log.all"]["value"]) == (104, 1.1)
    assert "members.death" not in rows and rows["control.bytes"]["value"] == 3597.0
    assert not any("wrong" in row or "settled" in row["how"] for row in rows.values())
    ill = hollow({**report, "wrong": ["the start: not in 110 s: [{'there': 149}]"]})
    assert all(row["wrong"] and row["how"].endswith("not a settled fleet: the start: not in 110 s") for row in ill)


def test_a_slope_is_measured() -> None:
    found = counter.measured(1, (0.1, 0.5, 2.0, 8.0))[0]
    assert all(len(point["values"]) == 3 for point in found["points"])
    told = fitted(found)
    assert told.largest == 8.0 and 1.0 < told.at(0.1) < 2.5 and told.at(8.0) < 0.6  # leases cover more tries


def test_the_list_is_told_in_the_form_of_the_protocol() -> None:
    rows = [(n, float(len(lists.whole(lists.entries(n))))) for n in (40, 80, 160, 320)]
    told = fit(rows)
    assert told.form == "n" and told.slope == pytest.approx(164, rel=0.03)
    made = lists.Listed()
    made.told(made.takes(lists.whole(lists.entries(2000))))
    assert len(made.inventory) == 2000 and len(made.gateway.servers.up) == 2000
