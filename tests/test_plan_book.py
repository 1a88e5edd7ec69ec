"""The plan book and its snapshot: what holds when, changes that come wrong, a disk that fails."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.plans import snapshot
from brackenpulley.plans.book import Book, Change, Figures, PlanChangeError
from brackenpulley.policy.interface import PlanSpec

NOW = 1_000_000.0
SCHOOL, COUNTY = PlanSpec("school", rate=3.0, burst=8.0), PlanSpec("county", rate=7.0, burst=32.0)


def book() -> Book:
    return Book([SCHOOL, COUNTY])


def move(revision: int, plan: str, since: float, firm: str = "1", at: float = NOW, **more: Any) -> Change:
    return Change(revision, "move", at=at, since=since, plan=plan, firm=firm, **more)


def test_what_holds_is_the_latest_instant_and_at_one_instant_the_later_revision() -> None:
    b = book()
    b.apply(move(1, "county", NOW + 10), NOW)
    b.apply(move(2, "school", NOW + 5), NOW)  # due earlier, decided later
    b.apply(move(3, "school", NOW + 20), NOW)
    b.apply(move(4, "county", NOW + 20), NOW)  # two for one instant
    held = [b.plan_of(1, NOW + t, "county")[0] for t in (0, 5, 9.9, 10, 19, 20, 1000)]
    assert held == ["county", "school", "school", "county", "county", "county", "county"]
    assert b.plan_of(1, NOW + 20, "")[1] == 4
    assert [b.next_due(NOW + t) for t in (0, 5, 10, 20)] == [NOW + 5, NOW + 10, NOW + 20, None]


def test_any_past_moment_can_be_priced() -> None:
    b = book()
    b.apply(Change(1, "set", at=NOW, since=NOW + 5, plan="school", figures=Figures(rate=6.0, burst=8.0)), NOW)
    b.apply(move(2, "county", NOW + 10), NOW)
    priced = [b.find_spec(b.plan_of(1, NOW + t, "school")[0], NOW + t) for t in (0, 6, 11)]
    assert [found and found[1].rate for found in priced] == [3.0, 6.0, 7.0]
    assert b.integrate_rate(1, "school", NOW, NOW + 20) == 5 * 3 + 5 * 6 + 10 * 7
    assert b.integrate_rate(2, "school", NOW, NOW + 20) == 5 * 3 + 15 * 6


def test_a_change_may_come_twice_but_not_differ() -> None:
    b = book()
    assert b.apply(move(1, "county", NOW), NOW) and not b.apply(move(1, "county", NOW), NOW)
    with pytest.raises(PlanChangeError, match="revision: 1 is another change") as error:
        b.apply(move(1, "school", NOW), NOW)
    assert error.value.status == 409 and b.revision == 1


BAD = [
    (move(3, "county", NOW), 409, "revision"),
    (move(0, "county", NOW), 409, "revision"),
    (move(2, "gold", NOW), 409, "plan"),
    (move(2, "", NOW), 400, "plan"),
    (move(2, "county", NOW, firm="xyz"), 400, "firm"),
    (move(2, "county", NOW, firm="ffffffffff"), 400, "firm"),
    (move(2, "county", float("nan")), 400, "since"),
    (move(2, "county", NOW + 4e7), 400, "since"),
    (move(2, "county", NOW, at=NOW + 60), 400, "at"),
    (move(2, "county", NOW, of=1), 400, "of"),
    (move(2, "county", NOW, figures=Figures(1.0, 1.0)), 400, "figures"),
    (Change(2, "set", at=NOW, since=NOW, plan="x"), 400, "figures"),
    (Change(2, "set", at=NOW, since=NOW, plan="x", firm="1", figures=Figures(1.0, 1.0)), 400, "firm"),
    (Change(2, "set", at=NOW, since=NOW, plan="x", figures=Figures(-1.0, 1.0)), 400, "figures.rate"),
    (Change(2, "set", at=NOW, since=NOW, plan="x", figures=Figures(1.0, float("inf"))), 400, "figures.burst"),
    (Change(2, "set", at=NOW, since=NOW, plan="x", figures=Figures(1.0, 0.0)), 400, "figures"),
    (Change(2, "withdraw", at=NOW, of=9), 409, "of"),
    (Change(2, "withdraw", at=NOW + 1, of=1), 409, "of"),
    (Change(2, "withdraw", at=NOW, of=1, plan="x"), 400, "of"),
]


@pytest.mark.parametrize(("change", "status", "field"), BAD)
def test_what_does_not_fit_changes_nothing(change: Change, status: int, field: str) -> None:
    b = book()
    b.apply(move(1, "county", NOW + 1), NOW)
    with pytest.raises(PlanChangeError) as error:
        b.apply(change, NOW)
    assert (error.value.status, error.value.field) == (status, field)
    assert b.revision == 1 and b.plan_of(1, NOW + 2, "school") == ("county", 1)


def test_a_withdrawal_is_as_good_where_it_is_heard_of_late() -> None:
    """Whether it was in time is told by when it was decided, or two ingresses would hold two books."""
    early, late = book(), book()
    for b, now in ((early, NOW), (late, NOW + 60)):
        b.apply(move(1, "county", NOW + 10), now)
        b.apply(Change(2, "withdraw", at=NOW + 9, of=1), now + 9)
        assert b.plan_of(1, NOW + 30, "school")[0] == "school" and b.next_due(NOW) is None
    with pytest.raises(PlanChangeError, match="withdrawn already"):
        early.apply(Change(3, "withdraw", at=NOW + 9, of=1), NOW + 9)


def test_a_new_plan_cannot_be_withdrawn_from_under_a_firm() -> None:
    b = book()
    b.apply(Change(1, "set", at=NOW, since=NOW + 5, plan="gold", figures=Figures(1.0, 1.0)), NOW)
    b.apply(move(2, "gold", NOW + 6), NOW)
    with pytest.raises(PlanChangeError, match="revision 2 moves a firm to that plan"):
        b.apply(Change(3, "withdraw", at=NOW, of=1), NOW)
    b.apply(Change(3, "withdraw", at=NOW, of=2), NOW)
    b.apply(Change(4, "withdraw", at=NOW, of=1), NOW)
    assert b.plans == ["county", "school"] and b.firms == [] and len(b.list_history(plan="gold")) == 4


MOVES = st.lists(st.tuples(st.sampled_from(["school", "county"]), st.integers(-5, 30), st.integers(1, 2)), max_size=12)


@given(MOVES, st.randoms(use_true_random=False))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_books_that_took_the_same_changes_agree_at_every_instant(rows: list[tuple[str, int, int]], rng: Any) -> None:
    """Delivered in any order and repeated: what comes too early is turned away and told again."""
    changes = [move(n + 1, plan, NOW + since, firm=str(firm)) for n, (plan, since, firm) in enumerate(rows)]
    ordered, shuffled = book(), book()
    for change in changes:
        ordered.apply(change, NOW)
    waiting = changes * 2
    while shuffled.revision < len(changes):
        rng.shuffle(waiting)
        for change in list(waiting):
            try:
                shuffled.apply(change, NOW + 3)
                waiting.remove(change)
            except PlanChangeError as error:
                assert error.status == 409
    for firm in (1, 2):
        for t in range(-6, 32):
            assert ordered.plan_of(firm, NOW + t, "x") == shuffled.plan_of(firm, NOW + t, "x")


def saved(tmp_path: Path, count: int = 3) -> tuple[str, list[Change]]:
    path, changes = str(tmp_path / "plans"), [move(n + 1, "county", NOW + n) for n in range(count)]
    for n in range(count):
        snapshot.save(path, changes[: n + 1])
    return path, changes


def test_a_snapshot_is_what_was_saved(tmp_path: Path) -> None:
    path, changes = saved(tmp_path)
    b = book()
    assert snapshot.load(path, b, NOW) == [] and b.changes == changes
    assert snapshot.load(str(tmp_path / "none"), book(), NOW) == []


@pytest.mark.parametrize(
    "damage",
    [
        lambda d: d[:-9],
        lambda d: d.replace(b"county", b"countz"),
        lambda d: b"",
        lambda d: d + b"{}\n",
        lambda d: b"\0" * len(d),
    ],
)
def test_a_damaged_snapshot_is_one_line_and_the_last_good_one_is_used(tmp_path: Path, damage: Any) -> None:
    path, changes = saved(tmp_path)
    Path(path).write_bytes(damage(Path(path).read_bytes()))
    b = book()
    first, second = snapshot.load(path, b, NOW)
    assert first.startswith(path) and second == f"{path}.last: used in its place, 2 changes"
    assert b.changes == changes[:2]
    Path(path + ".last").write_bytes(b"x")
    with pytest.raises(snapshot.SnapshotError, match="plans.last: no snapshot"):
        snapshot.load(path, book(), NOW)


@pytest.mark.parametrize("step", ["open", "fsync", "link", "replace"])
def test_a_disk_that_fails_at_any_step_leaves_a_good_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    path, changes = saved(tmp_path, 2)

    def fails(*args: Any, **more: Any) -> Any:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        if step == "open":
            patch.setattr("builtins.open", fails)
        else:
            patch.setattr(os, step, fails)
        with pytest.raises(OSError):
            snapshot.save(path, [*changes, move(3, "school", NOW)])
    b = book()
    snapshot.load(path, b, NOW)
    assert b.changes[:2] == changes
