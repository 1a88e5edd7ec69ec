"""What a firm costs beside the module: its lease, its sum in the ledger; and a timer of the loop."""

from __future__ import annotations

import structlog

from brackenpulley.ledger.tally import LedgerState, Tally
from brackenpulley.metrics import Metrics
from brackenpulley.net.counter import encode_add
from brackenpulley.net.loop import Loop
from brackenpulley.plans.leases import COUNTER_TTL_SECONDS, LeaseManager, build_counter_name

from ..measure import REPEATS, Slope, cpu, memory, slope

SIZES, TIMERS = (1000, 4000, 11000, 44000), (100, 1000, 10000, 40000)


def keeper(firms: int) -> LeaseManager:
    made = LeaseManager(
        lambda firm, told, since, until: 60.0 * (until - since), lambda firm, told, when: 120.0, 1.0, 5.0
    )
    for firm in range(1, firms + 1):
        made.request(1000.0, firm, "county", 1.0, 3, 0, 0.0)
        made.handle_reply(1000.01, made.firms[firm].call_name, "ok", 0.0)
    return made


def leased(firms: int) -> list[dict[str, float]]:
    kept, _, made = memory(lambda: keeper(firms))
    return [
        {"memory": kept / 1e6, "sweep": cpu(lambda: made.sweep(1000.5, lambda firm: 0.0)) * 1000}
        for _ in range(REPEATS)
    ]


def charged(firms: int) -> Tally:
    """A period in which each firm is charged once."""
    made = Tally(LedgerState("ingress-1", "e"), 60_000, 500, 100_000)
    for firm in range(1, firms + 1):
        made.charge(firm, "county", 1, 1.0, 1020.0)
    return made


def closed(firms: int) -> list[dict[str, float]]:
    kept = memory(lambda: charged(firms))[0]
    found = []
    for _ in range(REPEATS):
        made = charged(firms)
        found.append({"memory": kept / 1e6, "close": cpu(lambda made=made: made.close(2000.0)) * 1000})  # type: ignore[misc]
    return found


def timer(count: int) -> float:
    """us to set one and to run it, with so many waiting."""
    loop = Loop(lambda: 0.0, Metrics(), structlog.get_logger())
    for n in range(count):
        loop.call_at(1e6 + n % 97, lambda: None)

    def each() -> None:
        for _ in range(100):
            loop.call_at(-1.0, lambda: None)
        loop.run_once(0.0)

    spent = cpu(each, 20) / 100 * 1e6
    loop.close()
    return spent


def measured(seed: int, sizes: tuple[int, ...] = SIZES, timers: tuple[int, ...] = TIMERS) -> list[Slope]:
    found = {n: leased(n) for n in sizes}
    ledger = {n: closed(n) for n in sizes}
    size = len(encode_add(build_counter_name("debt", 12345, 1 << 32), 12.345678, COUNTER_TTL_SECONDS)) + len(
        b"$9\r\n123.45678\r\n"
    )
    return [
        slope(
            "firms.leases",
            "a lease each of so many firms",
            "firms held",
            "MB",
            [(n, [one["memory"] for one in some]) for n, some in found.items()],
            seed=seed,
        ),
        slope(
            "firms.sweep",
            "the turn that looks for unused leases",
            "firms held",
            "ms",
            [(n, [one["sweep"] for one in some]) for n, some in found.items()],
            "least",
            seed=seed,
        ),
        slope(
            "firms.ledger",
            "the open sums of so many firms that were charged",
            "firms held",
            "MB",
            [(n, [one["memory"] for one in some]) for n, some in ledger.items()],
            seed=seed,
        ),
        slope(
            "firms.close",
            "the turn that closes their period",
            "firms held",
            "ms",
            [(n, [one["close"] for one in some]) for n, some in ledger.items()],
            "least",
            seed=seed,
        ),
        slope(
            "firms.call",
            "bytes of a call to the counter and its answer",
            "firms held",
            "bytes",
            [(n, [float(size)] * REPEATS) for n in sizes],
            source="counting",
            seed=seed,
        ),
        slope(
            "firms.timer",
            "processor time of a timer set and run",
            "timers that wait",
            "us",
            [(n, [timer(n) for _ in range(REPEATS)]) for n in timers],
            "least",
            seed=seed,
        ),
    ]
