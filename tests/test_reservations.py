"""Explicit reservations: state transitions, repeated calls and expiry."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brackenpulley.plans.reservations import RETENTION_SECONDS, Reservation, ReservationError, ReservationTable


def make_table(state: str = "held") -> ReservationTable:
    table = ReservationTable(3, 60.0)
    assert table.check_new("r", 1, 4.0, 10.0, 0.0) is None
    table.add(Reservation("r", 1, "school", 0, 4.0, 0.0, 10.0))
    {
        "held": lambda: None,
        "committed": lambda: table.commit("r", 3.0, 1.0),
        "released": lambda: table.release("r", 1.0),
        "expired": lambda: table.expire_due(10.0),
        "used": lambda: table.mark_used("r", 1.0),
    }[state]()
    return table


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
def test_result_of_each_call_in_each_state(state: str, call: str, answer: object) -> None:
    table = make_table(state)

    def make_call() -> Reservation | None:
        return (
            table.commit("r", 3.0, 11.0 if state == "expired" else 2.0) if call == "commit" else table.release("r", 2.0)
        )

    if isinstance(answer, int):
        with pytest.raises(ReservationError) as error:
            make_call()
        assert error.value.status == answer
    else:
        assert (make_call() is not None) is (answer == "settled")


def test_second_commit_with_other_units_is_rejected_and_repeated_reserve_returns_the_existing_one() -> None:
    table = make_table("committed")
    with pytest.raises(ReservationError, match="committed with 3 units"):
        table.commit("r", 2.0, 2.0)
    existing = table.check_new("r", 1, 4.0, 10.0, 2.0)
    assert existing is not None and existing.state == "committed"
    with pytest.raises(ReservationError, match="of other units or another firm"):
        table.check_new("r", 2, 4.0, 10.0, 2.0)


def test_commit_after_expiry_fails_before_the_expiry_is_processed() -> None:
    table = make_table()
    with pytest.raises(ReservationError) as error:
        table.commit("r", 3.0, 10.5)
    assert (
        error.value.status == 410
        and [reservation.id for reservation in table.expire_due(10.5)] == ["r"]
        and not table.expire_due(11.0)
    )


def test_ended_reservation_is_forgotten_after_the_retention() -> None:
    table = make_table("released")
    table.expire_due(1.0 + RETENTION_SECONDS)
    with pytest.raises(ReservationError) as error:
        table.release("r", 2.0 + RETENTION_SECONDS)
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
def test_invalid_argument_is_named(ident: str, units: float, life: float, field: str) -> None:
    with pytest.raises(ReservationError) as error:
        make_table().check_new(ident, 1, units, life, 0.0)
    assert error.value.field == field and error.value.status == 400


def test_number_of_held_reservations_is_limited() -> None:
    table = make_table()
    for n in range(2):
        table.add(Reservation(f"x{n}", 1, "school", 0, 1.0, 0.0, 10.0))
    with pytest.raises(ReservationError) as error:
        table.check_new("one more", 1, 1.0, 1.0, 0.0)
    assert error.value.field == "id"
    with pytest.raises(ReservationError) as error:
        table.check_new("more", 1, 1.0, 1.0, 0.0)
    assert error.value.status == 503


@given(
    st.lists(
        st.tuples(st.sampled_from(["hold", "commit", "release", "use", "due"]), st.integers(0, 3), st.integers(0, 8)),
        max_size=60,
    )
)
@settings(derandomize=True, deadline=None, max_examples=80)
def test_each_reservation_ends_once(steps: list[tuple[str, int, int]]) -> None:
    table, now, ended = ReservationTable(10, 60.0), 0.0, []
    for step, firm, number in steps:
        now += number / 4
        ident = f"r{firm}"
        try:
            if step == "hold":
                if table.check_new(ident, firm, 2.0, 1.0 + number, now) is None:
                    table.add(Reservation(ident, firm, "p", 0, 2.0, now, now + 1.0 + number))
            elif step == "due":
                ended += [reservation.id for reservation in table.expire_due(now)]
            elif step == "use":
                if table.find_usable(ident, firm, now):
                    table.mark_used(ident, now)
                    ended.append(ident)
            elif (
                reservation := table.commit(ident, 1.0, now) if step == "commit" else table.release(ident, now)
            ) is not None:
                ended.append(reservation.id)
        except ReservationError as error:
            assert error.status in (404, 409, 410)
    ended += [reservation.id for reservation in table.expire_due(now + 100)]
    assert len(ended) == len(set(ended)) and len(table) == 0
