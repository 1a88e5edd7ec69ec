"""The latency loop against numbers worked by hand."""

import pytest

from brackenpulley.policy.brain import RATE_MAX, RATE_MIN, RateController
from brackenpulley.policy.interface import ClassSpec


def loop(rate: float = 50.0, aim: float = 1.0) -> RateController:
    made = RateController(ClassSpec("c", aim=aim, deadline=5.0, worth=1.0, effect="safe"), 0.0)
    made.rate = rate
    return made


def run(x: RateController, now: float, latencies: list[float] = (), busy: bool = True) -> None:  # type: ignore[assignment]
    x.samples.clear()
    x.samples.extend((now, v) for v in latencies)
    x.is_busy = busy
    x.run(now, [])


def test_smoothing_and_cut() -> None:
    x = loop()
    x.admitted_rate, x.admitted_since_run = 60.0, 60
    run(x, 1.0, [5.0] * 10)
    assert x.smoothed_latency == pytest.approx(1.5)  # 0.7 x 0 + 0.3 x 5
    assert x.rate == pytest.approx(50.0 / 1.2)


def test_rise_is_in_proportion_to_the_error() -> None:
    x = loop()
    run(x, 1.0, [0.5])
    assert x.smoothed_latency == pytest.approx(0.15)
    assert x.rate == pytest.approx(50.0 + (0.85 - 0.1) * 2.0)


def test_dead_zone_moves_nothing() -> None:
    x = loop()
    x.smoothed_latency = 0.8
    run(x, 1.0, [0.8])
    assert x.rate == 50.0


def test_rates_stay_between_their_bounds() -> None:
    low, high = loop(RATE_MIN), loop(RATE_MAX)
    low.smoothed_latency = 100.0
    run(low, 1.0, [5.0])
    run(high, 1.0, [0.1])
    assert (low.rate, high.rate) == (RATE_MIN, RATE_MAX)


def test_lower_worth_yields_first_and_its_rise_is_barred_then_own_after_twenty() -> None:
    top, low = loop(), loop()
    top.lower_worth = [low]
    top.smoothed_latency, low.admitted_rate, top.admitted_rate, top.admitted_since_run = 100.0, 50.0, 1000.0, 1000
    run(top, 1.0, [5.0])
    assert (top.rate, low.rate) == (50.0, 5.0)
    run(low, 1.0, [0.1])
    assert low.rate == 5.0  # barred once
    run(low, 2.0, [0.1])
    assert low.rate > 5.0
    low.rate = RATE_MIN
    for n in range(2, 21):
        top.smoothed_latency = 100.0
        run(top, float(n), [5.0])
    assert top.rate == 50.0
    top.smoothed_latency = 100.0
    run(top, 21.0, [5.0])
    assert top.rate < 50.0


def test_cut_bites_from_what_is_admitted() -> None:
    """A starting rate of thousands took dozens of cuts before a single request was refused."""
    x = loop(RATE_MAX)
    x.admitted_rate, x.admitted_since_run = 10.0, 10
    run(x, 1.0, [9.0])
    assert x.rate < 10.0


def test_little_out_is_no_ground_for_a_cut() -> None:
    """Samples of a few sick servers pinned every class at the floor while the fleet idled."""
    x = loop()
    x.smoothed_latency = 5.0
    run(x, 1.0, [9.0], busy=False)
    assert x.rate > 50.0


def test_percentile_of_few_samples_is_not_their_maximum() -> None:
    x = loop()
    run(x, 1.0, [0.1, 0.1, 0.1, 9.0])
    assert x.smoothed_latency == pytest.approx(0.03)


def test_a_stretched_aim_widens_the_target() -> None:
    x, plain = loop(), loop()
    x.spec.aim_stretch, x.mean_latency = 2.0, 1.0
    for each in (x, plain):
        each.admitted_rate, each.admitted_since_run = 60.0, 60
        run(each, 1.0, [5.0] * 10)
    assert x.rate >= 50.0 > plain.rate
