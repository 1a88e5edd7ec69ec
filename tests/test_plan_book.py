"""The plan book and its snapshot: effective entries, rejected changes and disk failures."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.plans import snapshot
from brackenpulley.plans.book import (
    MAX_AGE_SECONDS,
    MAX_LEAD_SECONDS,
    Book,
    Change,
    Figures,
    PlanChangeError,
)
from brackenpulley.policy.interface import PlanSpec

NOW = 1_000_000.0
SCHOOL, COUNTY = PlanSpec("school", rate=3.0, burst=8.0), PlanSpec("county", rate=7.0, burst=32.0)


def make_book() -> Book:
    return Book([SCHOOL, COUNTY])


def move(revision: int, plan: str, since: float, firm: str = "1", at: float = NOW, **kwargs: Any) -> Change:
    return Change(revision, "move", at=at, since=since, plan=plan, firm=firm, **kwargs)


def test_latest_since_is_effective_and_at_equal_since_the_higher_revision() -> None:
    book = make_book()
    book.apply(move(1, "county", NOW + 10), NOW)
    book.apply(move(2, "school", NOW + 5), NOW)  # effective earlier, decided later
    book.apply(move(3, "school", NOW + 20), NOW)
    book.apply(move(4, "county", NOW + 20), NOW)  # two changes effective at the same time
    held = [book.plan_of(1, NOW + offset, "county")[0] for offset in (0, 5, 9.9, 10, 19, 20, 1000)]
    assert held == ["county", "school", "school", "county", "county", "county", "county"]
    assert book.plan_of(1, NOW + 20, "")[1] == 4
    assert [book.next_due(NOW + offset) for offset in (0, 5, 10, 20)] == [NOW + 5, NOW + 10, NOW + 20, None]


def test_past_use_can_be_priced() -> None:
    book = make_book()
    book.apply(Change(1, "set", at=NOW, since=NOW + 5, plan="school", figures=Figures(rate=6.0, burst=8.0)), NOW)
    book.apply(move(2, "county", NOW + 10), NOW)
    priced = [book.find_spec(book.plan_of(1, NOW + offset, "school")[0], NOW + offset) for offset in (0, 6, 11)]
    assert [found and found[1].rate for found in priced] == [3.0, 6.0, 7.0]
    assert book.integrate_rate(1, "school", NOW, NOW + 20) == 5 * 3 + 5 * 6 + 10 * 7
    assert book.integrate_rate(2, "school", NOW, NOW + 20) == 5 * 3 + 15 * 6


def test_repeated_change_is_accepted_and_a_different_one_rejected() -> None:
    book = make_book()
    assert book.apply(move(1, "county", NOW), NOW) and not book.apply(move(1, "county", NOW), NOW)
    with pytest.raises(PlanChangeError, match="revision: 1 is another change") as error:
        book.apply(move(1, "school", NOW), NOW)
    assert error.value.status == 409 and book.revision == 1


INVALID_CHANGES = [
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


@pytest.mark.parametrize(("change", "status", "field"), INVALID_CHANGES)
def test_rejected_change_leaves_the_book_unchanged(change: Change, status: int, field: str) -> None:
    book = make_book()
    book.apply(move(1, "county", NOW + 1), NOW)
    with pytest.raises(PlanChangeError) as error:
        book.apply(change, NOW)
    assert (error.value.status, error.value.field) == (status, field)
    assert book.revision == 1 and book.plan_of(1, NOW + 2, "school") == ("county", 1)


def test_withdrawal_received_late_is_valid_if_decided_in_time() -> None:
    """Guards against books that differ between ingresses: the time of decision counts, not the time of arrival."""
    punctual, delayed = make_book(), make_book()
    for book, now in ((punctual, NOW), (delayed, NOW + 60)):
        book.apply(move(1, "county", NOW + 10), now)
        book.apply(Change(2, "withdraw", at=NOW + 9, of=1), now + 9)
        assert book.plan_of(1, NOW + 30, "school")[0] == "school" and book.next_due(NOW) is None
    with pytest.raises(PlanChangeError, match="withdrawn already"):
        punctual.apply(Change(3, "withdraw", at=NOW + 9, of=1), NOW + 9)


def test_plan_with_an_assigned_firm_cannot_be_withdrawn() -> None:
    book = make_book()
    book.apply(Change(1, "set", at=NOW, since=NOW + 5, plan="gold", figures=Figures(1.0, 1.0)), NOW)
    book.apply(move(2, "gold", NOW + 6), NOW)
    with pytest.raises(PlanChangeError, match="revision 2 moves a firm to that plan"):
        book.apply(Change(3, "withdraw", at=NOW, of=1), NOW)
    book.apply(Change(3, "withdraw", at=NOW, of=2), NOW)
    book.apply(Change(4, "withdraw", at=NOW, of=1), NOW)
    assert book.plans == ["county", "school"] and book.firms == [] and len(book.list_history(plan="gold")) == 4


MOVES = st.lists(st.tuples(st.sampled_from(["school", "county"]), st.integers(-5, 30), st.integers(1, 2)), max_size=12)


@given(MOVES, st.randoms(use_true_random=False))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_books_with_the_same_changes_agree_at_all_times(moves: list[tuple[str, int, int]], rng: Any) -> None:
    """Changes arrive repeated and in any order; one that arrives before its predecessors is rejected and sent again."""
    changes = [move(n + 1, plan, NOW + since, firm=str(firm)) for n, (plan, since, firm) in enumerate(moves)]
    ordered, shuffled = make_book(), make_book()
    for change in changes:
        ordered.apply(change, NOW)
    undelivered = changes * 2
    while shuffled.revision < len(changes):
        rng.shuffle(undelivered)
        for change in list(undelivered):
            try:
                shuffled.apply(change, NOW + 3)
                undelivered.remove(change)
            except PlanChangeError as error:
                assert error.status == 409
    for firm in (1, 2):
        for offset in range(-6, 32):
            assert ordered.plan_of(firm, NOW + offset, "x") == shuffled.plan_of(firm, NOW + offset, "x")


def save_revisions(tmp_path: Path, count: int = 3) -> tuple[str, list[Change]]:
    path, changes = str(tmp_path / "plans"), [move(n + 1, "county", NOW + n) for n in range(count)]
    for n in range(count):
        snapshot.save(path, changes[: n + 1])
    return path, changes


def test_snapshot_loads_what_was_saved(tmp_path: Path) -> None:
    path, changes = save_revisions(tmp_path)
    book = make_book()
    assert snapshot.load(path, book) == [] and book.changes == changes
    assert snapshot.load(str(tmp_path / "none"), make_book()) == []


def test_a_snapshot_is_loaded_however_old_its_changes_have_become(tmp_path: Path) -> None:
    """Guards against review case 8: the bounds for submitted changes kept a book of over a year from being loaded."""
    path, early = str(tmp_path / "plans"), NOW - 3 * MAX_AGE_SECONDS
    changes = [
        move(1, "county", early, at=early),
        move(2, "school", early + MAX_LEAD_SECONDS, firm="2", at=early + 1),
        # Taken over late: it took effect more than a year after it had been decided.
        move(3, "county", NOW + MAX_LEAD_SECONDS, firm="3", at=early + 2),
        Change(4, "withdraw", at=early + 3, of=2),
    ]
    snapshot.save(path, changes)
    book = make_book()
    assert snapshot.load(path, book) == [] and book.changes == changes
    assert [book.plan_of(firm, NOW, "school")[0] for firm in (1, 2, 3)] == ["county", "school", "school"]


def test_a_submitted_change_is_still_held_against_the_clock_behind_an_old_book() -> None:
    book = make_book()
    early = NOW - 2 * MAX_AGE_SECONDS
    assert book.apply(move(1, "county", early, at=early), None)
    for change in (
        move(2, "county", NOW, at=early),
        move(2, "county", early, at=NOW),
        move(2, "county", NOW + 2 * MAX_LEAD_SECONDS),
    ):
        with pytest.raises(PlanChangeError) as error:
            book.apply(change, NOW)
        assert error.value.status == 400 and book.revision == 1
    for when in (float("nan"), float("inf")):
        with pytest.raises(PlanChangeError, match="is no time"):
            book.apply(move(2, "county", when), None)


@pytest.mark.parametrize(
    "damage",
    [
        lambda data: data[:-9],
        lambda data: data.replace(b"county", b"countz"),
        lambda data: b"",
        lambda data: data + b"{}\n",
        lambda data: b"\0" * len(data),
    ],
)
def test_damaged_snapshot_is_reported_and_the_previous_one_used(tmp_path: Path, damage: Any) -> None:
    path, changes = save_revisions(tmp_path)
    Path(path).write_bytes(damage(Path(path).read_bytes()))
    book = make_book()
    first, second = snapshot.load(path, book)
    assert first.startswith(path) and second == f"{path}.last: used in its place, 2 changes"
    assert book.changes == changes[:2]
    Path(path + ".last").write_bytes(b"x")
    with pytest.raises(snapshot.SnapshotError, match="plans.last: no snapshot"):
        snapshot.load(path, make_book())


@pytest.mark.parametrize("step", ["open", "fsync", "link", "replace"])
def test_disk_failure_at_any_step_leaves_a_valid_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, step: str
) -> None:
    path, changes = save_revisions(tmp_path, 2)

    def raise_disk_full(*args: Any, **kwargs: Any) -> Any:
        raise OSError(28, "No space left on device")

    with monkeypatch.context() as patch:
        if step == "open":
            patch.setattr("builtins.open", raise_disk_full)
        else:
            patch.setattr(os, step, raise_disk_full)
        with pytest.raises(OSError):
            snapshot.save(path, [*changes, move(3, "school", NOW)])
    book = make_book()
    snapshot.load(path, book)
    assert book.changes[:2] == changes
