"""Measures processor time and memory, and builds the rows of benchmarks/capacity.json. Every kind uses it."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any

REPEATS = 3  # of each measurement
Slope = dict[str, Any]


def measure_cpu(function: Callable[[], Any], times: int = 1) -> float:
    """Returns the processor time of this thread for one call, in s.

    Existing objects are frozen, as in the daemon, so that garbage collection does not scan them."""
    gc.collect()
    gc.freeze()
    started = time.thread_time()
    for _ in range(times):
        function()
    spent = time.thread_time() - started
    gc.unfreeze()
    return spent / times


def measure_memory(make: Callable[[], Any]) -> tuple[float, float, Any]:
    """Returns the bytes that the made object retains, the peak while it was made, and the object."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        result = make()
        peak = tracemalloc.get_traced_memory()[1] - before
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before, peak, result
    finally:
        tracemalloc.stop()


def make_slope(
    key: str,
    what: str,
    by: str,
    unit: str,
    rows: Iterable[tuple[float, list[float]]],
    take: str = "median",
    source: str = "run",
    seed: int = 1,
) -> Slope:
    """Builds a row of the results from sizes and the figures of their repeats.

    `take` selects the figure that counts: `median`, `least`, or `most` for a time that has to hold with every seed."""
    kind = key.partition(".")[0]
    return {
        "key": key,
        "what": what,
        "by": by,
        "unit": unit,
        "take": take,
        "source": source,
        "seed": seed,
        "command": f"python -m benchmarks.capacity --only {kind}",
        "points": [{"n": n, "values": [float(f"{v:.5g}") for v in values]} for n, values in rows],
    }
