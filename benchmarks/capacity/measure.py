"""How a figure is taken: processor time of this thread, memory by the allocator's own count, a slope's row."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterable
from typing import Any

REPEATS = 3
Slope = dict[str, Any]


def cpu(call: Callable[[], Any], times: int = 1) -> float:
    """s of processor time of this thread for one call, with the collector as the daemon has it: out of the way."""
    gc.collect()
    gc.freeze()
    began = time.thread_time()
    for _ in range(times):
        call()
    spent = time.thread_time() - began
    gc.unfreeze()
    return spent / times


def memory(make: Callable[[], Any]) -> tuple[float, float, Any]:
    """Bytes that stay, bytes at the highest point, and what was made."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        highest = tracemalloc.get_traced_memory()[1] - before
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before, highest, made
    finally:
        tracemalloc.stop()


def slope(
    key: str,
    what: str,
    by: str,
    unit: str,
    rows: Iterable[tuple[float, list[float]]],
    take: str = "median",
    source: str = "run",
    seed: int = 1,
) -> Slope:
    """`rows`: size and the figures of its repeats. `take`: which of them counts, `median`, `least`, or `most` for a
    time that has to hold with every seed."""
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
