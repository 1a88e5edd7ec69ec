"""Explicit reservations: the table of states, repeats, ends."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.plans.reservations import RETENTION_SECONDS, Reservation, ReservationError, ReservationTable


def table(state: str = "held") -> ReservationTable:
    t = ReservationTable(3, 60.0)
    assert t.check_new("r", 1, 4.0, 10.0, 0.0) is None
    t.add(Reservation("r", 1, "school", 0, 4.0, 0.0, 10.0))
    {
        "held": lambda: None,
        "committed": lambda: t.commit("r", 3.0, 1.0),
        "released": lambda: t.release("r", 1.0),
        "expired": lambda: t.expire_due(10.0),
        "used": lambda: t.mark_used("r", 1.0),
    }[state]()
    return t


@pytest.mark.parametrize(
    ("state", "call", "answer"),
    [
        ("held", "commit", "settled"),
        ("held", "release", "settled"),
        ("committed", "commit", "again"),
        ("released", "release", "again"),
        ("committed", "release", 409),
        ("released", "commit", 409),
        ("expired", "commit", 410),
        ("expired", "release", 410),
        ("used", "commit", 409),
        ("used", "release", 409),
    ],
)
def test_every_call_in_every_state_has_a_stated_answer(state: str, call: str, answer: object) -> None:
    t = table(state)

    def go() -> Reservation | None:
        return t.commit("r", 3.0, 11.0 if state == "expired" else 2.0) if call == "commit" else t.release("r", 2.0)

    if isinstance(answer, int):
        with pytest.raises(ReservationError) as error:
            go()
        assert error.value.status == answer
    else:
        assert (go() is not None) is (answer == "settled")


def test_a_second_commit_with_other_units_is_refused_and_a_repeat_of_the_reserve_is_answered_alike() -> None:
    t = table("committed")
    with pytest.raises(ReservationError, match="committed with 3 units"):
        t.commit("r", 2.0, 2.0)
    old = t.check_new("r", 1, 4.0, 10.0, 2.0)
    assert old is not None and old.state == "committed"
    with pytest.raises(ReservationError, match="of other units or another firm"):
        t.check_new("r", 2, 4.0, 10.0, 2.0)


def test_commit_after_its_end_is_late_even_before_the_end_is_swept() -> None:
    t = table()
    with pytest.raises(ReservationError) as error:
        t.commit("r", 3.0, 10.5)
    assert error.value.status == 410 and [one.id for one in t.expire_due(10.5)] == ["r"] and not t.expire_due(11.0)


def test_what_is_over_is_remembered_for_a_while() -> None:
    t = table("released")
    t.expire_due(1.0 + RETENTION_SECONDS)
    with pytest.raises(ReservationError) as error:
        t.release("r", 2.0 + RETENTION_SECONDS)
    assert error.value.status == 404


@pytest.mark.parametrize(
    ("ident", "units", "life", "field"),
    [
        ("", 1.0, 1.0, "id"),
        ("a b", 1.0, 1.0, "id"),
        ("a/b", 1.0, 1.0, "id"),
        ("x" * 65, 1.0, 1.0, "id"),
        ("a", 0.0, 1.0, "units"),
        ("a", float("nan"), 1.0, "units"),
        ("a", 1.0, 0.0, "lifetime"),
        ("a", 1.0, 61.0, "lifetime"),
        ("a", 1.0, float("inf"), "lifetime"),
    ],
)
def test_a_wrong_argument_is_named(ident: str, units: float, life: float, field: str) -> None:
    with pytest.raises(ReservationError) as error:
        table().check_new(ident, 1, units, life, 0.0)
    assert error.value.field == field and error.value.status == 400


def test_at_most_so_many_are_held() -> None:
    t = table()
    for n in range(2):
        t.add(Reservation(f"x{n}", 1, "school", 0, 1.0, 0.0, 10.0))
    with pytest.raises(ReservationError) as error:
        t.check_new("one more", 1, 1.0, 1.0, 0.0)
    assert error.value.field == "id"
    with pytest.raises(ReservationError) as error:
        t.check_new("more", 1, 1.0, 1.0, 0.0)
    assert error.value.status == 503


@given(
    st.lists(
        st.tuples(st.sampled_from(["hold", "commit", "release", "use", "due"]), st.integers(0, 3), st.integers(0, 8)),
        max_size=60,
    )
)
@settings(derandomize=True, deadline=None, max_examples=80)
def test_each_reservation_ends_once(steps: list[tuple[str, int, int]]) -> None:
    t, now, ended = ReservationTable(10, 60.0), 0.0, []
    for kind, which, number in steps:
        now += number / 4
        ident = f"r{which}"
        try:
            if kind == "hold":
                if t.check_new(ident, which, 2.0, 1.0 + number, now) is None:
                    t.add(Reservation(ident, which, "p", 0, 2.0, now, now + 1.0 + number))
            elif kind == "due":
                ended += [one.id for one in t.expire_due(now)]
            elif kind == "use":
                if t.find_usable(ident, which, now):
                    t.mark_used(ident, now)
                    ended.append(ident)
            elif (one := t.commit(ident, 1.0, now) if kind == "commit" else t.release(ident, now)) is not None:
                ended.append(one.id)
        except ReservationError as error:
            assert error.status in (404, 409, 410)
    ended += [one.id for one in t.expire_due(now + 100)]
    assert len(ended) == len(set(ended)) and len(t) == 0
