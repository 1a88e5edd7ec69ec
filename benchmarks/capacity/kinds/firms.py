"""Measures the cost of a firm outside the decision module, its lease and its ledger sum, and of a timer of the loop."""

from __future__ import annotations

import structlog

from brackenpulley.ledger.tally import LedgerState, Tally
from brackenpulley.metrics import Metrics
from brackenpulley.net.counter import encode_add
from brackenpulley.net.loop import Loop
from brackenpulley.plans.leases import COUNTER_TTL_SECONDS, LeaseManager, build_counter_name

from ..measure import REPEATS, Slope, make_slope, measure_cpu, measure_memory

SIZES, TIMERS = (1000, 4000, 11000, 44000), (100, 1000, 10000, 40000)  # firms; pending timers


def make_leases(firms: int) -> LeaseManager:
    """Returns leases of so many firms, each with one grant."""
    leases = LeaseManager(
        lambda firm, plan, since, until: 60.0 * (until - since), lambda firm, plan, when: 120.0, 1.0, 5.0
    )
    for firm in range(1, firms + 1):
        leases.request(1000.0, firm, "county", 1.0, 3, 0, 0.0)
        leases.handle_reply(1000.01, leases.firms[firm].call_name, "ok", 0.0)
    return leases


def measure_leases(firms: int) -> list[dict[str, float]]:
    """Measures the memory of leases, and the sweep for unused ones."""
    retained, _, leases = measure_memory(lambda: make_leases(firms))
    return [
        {"memory": retained / 1e6, "sweep": measure_cpu(lambda: leases.sweep(1000.5, lambda firm: 0.0)) * 1000}
        for _ in range(REPEATS)
    ]


def make_charged_tally(firms: int) -> Tally:
    """Returns a tally with one period in which each firm is charged once."""
    tally = Tally(LedgerState("ingress-1", "e"), 60_000, 500, 100_000)
    for firm in range(1, firms + 1):
        tally.charge(firm, "county", 1, 1.0, 1020.0)
    return tally


def measure_tally(firms: int) -> list[dict[str, float]]:
    """Measures the memory of a period, and closing it."""
    retained = measure_memory(lambda: make_charged_tally(firms))[0]
    measurements = []
    for _ in range(REPEATS):
        tally = make_charged_tally(firms)
        measurements.append(
            {
                "memory": retained / 1e6,
                "close": measure_cpu(lambda tally=tally: tally.close(2000.0)) * 1000,  # type: ignore[misc]
            }
        )
    return measurements


def measure_timer(count: int) -> float:
    """Returns the processor time of setting and running one timer, in us, with so many pending."""
    loop = Loop(lambda: 0.0, Metrics(), structlog.get_logger())
    for n in range(count):
        loop.call_at(1e6 + n % 97, lambda: None)

    def set_and_run_timers() -> None:
        for _ in range(100):
            loop.call_at(-1.0, lambda: None)
        loop.run_once(0.0)

    spent = measure_cpu(set_and_run_timers, 20) / 100 * 1e6
    loop.close()
    return spent


def measure_slopes(seed: int, sizes: tuple[int, ...] = SIZES, timers: tuple[int, ...] = TIMERS) -> list[Slope]:
    """Measures each size and returns the slopes of this kind."""
    measurements = {n: measure_leases(n) for n in sizes}
    ledger = {n: measure_tally(n) for n in sizes}
    call_bytes = len(encode_add(build_counter_name("debt", 12345, 1 << 32), 12.345678, COUNTER_TTL_SECONDS)) + len(
        b"$9\r\n123.45678\r\n"
    )
    return [
        make_slope(
            "firms.leases",
            "a lease each of so many firms",
            "firms held",
            "MB",
            [(n, [repeat["memory"] for repeat in repeats]) for n, repeats in measurements.items()],
            seed=seed,
        ),
        make_slope(
            "firms.sweep",
            "the turn that looks for unused leases",
            "firms held",
            "ms",
            [(n, [repeat["sweep"] for repeat in repeats]) for n, repeats in measurements.items()],
            "least",
            seed=seed,
        ),
        make_slope(
            "firms.ledger",
            "the open sums of so many firms that were charged",
            "firms held",
            "MB",
            [(n, [repeat["memory"] for repeat in repeats]) for n, repeats in ledger.items()],
            seed=seed,
        ),
        make_slope(
            "firms.close",
            "the turn that closes their period",
            "firms held",
            "ms",
            [(n, [repeat["close"] for repeat in repeats]) for n, repeats in ledger.items()],
            "least",
            seed=seed,
        ),
        make_slope(
            "firms.call",
            "bytes of a call to the counter and its answer",
            "firms held",
            "bytes",
            [(n, [float(call_bytes)] * REPEATS) for n in sizes],
            source="counting",
            seed=seed,
        ),
        make_slope(
            "firms.timer",
            "processor time of a timer set and run",
            "timers that wait",
            "us",
            [(n, [measure_timer(n) for _ in range(REPEATS)]) for n in timers],
            "least",
            seed=seed,
        ),
    ]
