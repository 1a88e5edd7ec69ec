"""Measures what each part of the fleet costs by its size, and writes docs/CAPACITY.md.

    python -m benchmarks.capacity                    measures all kinds into benchmarks/capacity.json, writes the page
    python -m benchmarks.capacity --only members     measures one kind and keeps the others
    python -m benchmarks.capacity --page             writes the page from the file
    python -m benchmarks.capacity --walk             prints where each limit is exceeded
    python -m benchmarks.capacity --take FILE        reads rows of a hollow run as second sources
    python -m benchmarks.capacity --check            exits 1 if page and file differ, a row lacks a limit or a
                                                     mechanism, or a fit is extrapolated over four times without a
                                                     second source

FILE is the output of `python -m benchmarks.scale --json`: its report, from which `second_sources.read_hollow_run` takes
some figures, or an object whose "slopes" are rows `{"key": "members.bytes", "n": 890, "value": 312.5, "how": "..."}`,
where the key is that of a measured slope. They replace earlier rows of a hollow run with the same key, size and `how`.
Runs that differ in `how` are all kept, so that the order in which runs are read selects none of them."""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
RESULTS_PATH, PAGE_PATH = ROOT / "benchmarks" / "capacity.json", ROOT / "docs" / "CAPACITY.md"


def read_results(path: Path) -> dict[str, Any]:
    """Returns the stored results; without a file, empty ones."""
    if not path.exists():
        return {"slopes": [], "source2": []}
    results: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    return results


def write_results(path: Path, results: dict[str, Any]) -> None:
    """Writes the results with one point per line."""
    text = json.dumps(results, indent=1)
    for row in results["slopes"]:
        for point in row["points"]:
            text = text.replace(json.dumps(point, indent=1).replace("\n", "\n    "), json.dumps(point))
    path.write_text(text + "\n", encoding="utf-8")


def time_reference_loop() -> float:
    """Returns the time of a fixed loop on this machine, in ms. It distinguishes runs on a busy machine from others."""
    times_ms = []
    for _ in range(5):
        started, total = time.thread_time(), 0
        for number in range(200_000):
            total += number
        times_ms.append((time.thread_time() - started) * 1000)
    return round(min(times_ms), 2)


def measure_kinds(results: dict[str, Any], kinds: list[str], seed: int, path: Path) -> None:
    """Measures kinds one after the other and writes the file after each."""
    from .kinds import KINDS

    for kind in kinds:
        started, reference_ms = time.monotonic(), time_reference_loop()
        new_rows = KINDS[kind](seed)
        print(f"{kind}: {len(new_rows)} slopes, {time.monotonic() - started:.0f} s", file=sys.stderr)
        for row in new_rows:
            row["yardstickMs"] = reference_ms
        measured_keys = {row["key"] for row in new_rows}
        results["slopes"] = [row for row in results["slopes"] if row["key"] not in measured_keys] + new_rows
        order = list(KINDS)
        results["slopes"].sort(key=lambda row: order.index(row["command"].rpartition(" ")[2]))
        results["yardstick"] = max(row["yardstickMs"] for row in results["slopes"])
        write_results(path, results)


def main(argv: list[str] | None = None) -> int:
    """Runs the command line; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument(
        "--only", default="", metavar="KIND", help="kinds, by commas; `second` for the counted second sources"
    )
    parser.add_argument("--page", action="store_true")
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--walk", action="store_true")
    parser.add_argument("--take", default="", metavar="FILE")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--file", type=Path, default=RESULTS_PATH, help="instead of benchmarks/capacity.json")
    parser.add_argument("--out", type=Path, default=PAGE_PATH, help="instead of docs/CAPACITY.md")
    arguments = parser.parse_args(argv)
    from .page import find_faults, format_page, format_walk
    from .rows import ROWS

    results = read_results(arguments.file)
    if arguments.check:
        findings = find_faults(results, arguments.out.read_text(encoding="utf-8") if arguments.out.exists() else "")
        print("\n".join(findings) or "docs/CAPACITY.md is true to benchmarks/capacity.json")
        return int(bool(findings))
    if arguments.walk:
        from .load import MeasuredSlopes

        print("\n".join(format_walk(MeasuredSlopes(results), ROWS)))
        return 0
    if arguments.take:
        from .second_sources import read_hollow_run

        new_rows = read_hollow_run(json.loads(Path(arguments.take).read_text(encoding="utf-8")))
        measured_keys = {(row["key"], row["n"], row["how"]) for row in new_rows}
        results["source2"] = [
            row
            for row in results["source2"]
            if row["source"] != "hollow" or (row["key"], row["n"], row["how"]) not in measured_keys
        ] + new_rows
        write_results(arguments.file, results)
    elif not arguments.page:
        from .kinds import KINDS
        from .second_sources import count_second_sources

        kinds = arguments.only.split(",") if arguments.only else [*KINDS, "second"]
        if unknown := [kind for kind in kinds if kind not in KINDS and kind != "second"]:
            parser.error(f"no kind {', '.join(unknown)}: {', '.join([*KINDS, 'second'])}")
        measure_kinds(results, [kind for kind in kinds if kind in KINDS], arguments.seed, arguments.file)
        if "second" in kinds:
            results["source2"] = [
                row for row in results["source2"] if row["source"] == "hollow"
            ] + count_second_sources()
        write_results(arguments.file, results)
        if arguments.only:
            return 0
    arguments.out.write_text(format_page(results), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
