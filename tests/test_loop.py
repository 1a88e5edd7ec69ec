"""The latency control loop of one class, against values calculated by hand."""

import pytest

from brackenpulley.policy.interface import ClassSpec
from brackenpulley.policy.rate_control import RATE_MAX, RATE_MIN, RateController


def make_loop(rate: float = 50.0, aim: float = 1.0) -> RateController:
    loop = RateController(ClassSpec("c", aim=aim, deadline=5.0, worth=1.0, effect="safe"), 0.0)
    loop.rate = rate
    return loop


def run_loop(loop: RateController, now: float, latencies: list[float] = (), busy: bool = True) -> None:  # type: ignore[assignment]
    loop.samples.clear()
    loop.samples.extend((now, latency) for latency in latencies)
    loop.is_busy = busy
    loop.run(now, [])


def test_latency_is_smoothed_and_the_rate_cut() -> None:
    loop = make_loop()
    loop.admitted_rate, loop.admitted_since_run = 60.0, 60
    run_loop(loop, 1.0, [5.0] * 10)
    assert loop.smoothed_latency == pytest.approx(1.5)  # 0.7 x 0 + 0.3 x 5
    assert loop.rate == pytest.approx(50.0 / 1.2)


def test_a_rise_is_proportional_to_the_error() -> None:
    loop = make_loop()
    run_loop(loop, 1.0, [0.5])
    assert loop.smoothed_latency == pytest.approx(0.15)
    assert loop.rate == pytest.approx(50.0 + (0.85 - 0.1) * 2.0)


def test_the_rate_is_unchanged_within_the_dead_zone() -> None:
    loop = make_loop()
    loop.smoothed_latency = 0.8
    run_loop(loop, 1.0, [0.8])
    assert loop.rate == 50.0


def test_rates_stay_between_their_bounds() -> None:
    low, high = make_loop(RATE_MIN), make_loop(RATE_MAX)
    low.smoothed_latency = 100.0
    run_loop(low, 1.0, [5.0])
    run_loop(high, 1.0, [0.1])
    assert (low.rate, high.rate) == (RATE_MIN, RATE_MAX)


def test_a_class_of_lower_worth_is_cut_first_and_the_own_rate_only_after_20_ticks() -> None:
    top, low = make_loop(), make_loop()
    top.lower_worth = [low]
    top.smoothed_latency, low.admitted_rate, top.admitted_rate, top.admitted_since_run = 100.0, 50.0, 1000.0, 1000
    run_loop(top, 1.0, [5.0])
    assert (top.rate, low.rate) == (50.0, 5.0)
    run_loop(low, 1.0, [0.1])
    assert low.rate == 5.0  # a cut class may not rise in its next tick
    run_loop(low, 2.0, [0.1])
    assert low.rate > 5.0
    low.rate = RATE_MIN
    for tick in range(2, 21):
        top.smoothed_latency = 100.0
        run_loop(top, float(tick), [5.0])
    assert top.rate == 50.0
    top.smoothed_latency = 100.0
    run_loop(top, 21.0, [5.0])
    assert top.rate < 50.0


def test_a_cut_starts_from_the_admitted_rate() -> None:
    """Guards against cutting the configured rate: from thousands a second, dozens of cuts refused nothing."""
    loop = make_loop(RATE_MAX)
    loop.admitted_rate, loop.admitted_since_run = 10.0, 10
    run_loop(loop, 1.0, [9.0])
    assert loop.rate < 10.0


def test_the_rate_is_not_cut_while_little_is_in_flight() -> None:
    """Guards against a few slow servers holding every class at the minimum rate while the fleet is idle."""
    loop = make_loop()
    loop.smoothed_latency = 5.0
    run_loop(loop, 1.0, [9.0], busy=False)
    assert loop.rate > 50.0


def test_the_percentile_of_few_samples_is_not_their_maximum() -> None:
    loop = make_loop()
    run_loop(loop, 1.0, [0.1, 0.1, 0.1, 9.0])
    assert loop.smoothed_latency == pytest.approx(0.03)


def test_a_stretched_aim_widens_the_target() -> None:
    loop, plain = make_loop(), make_loop()
    loop.spec.aim_stretch, loop.mean_latency = 2.0, 1.0
    for each in (loop, plain):
        each.admitted_rate, each.admitted_since_run = 60.0, 60
        run_loop(each, 1.0, [5.0] * 10)
    assert loop.rate >= 50.0 > plain.rate
