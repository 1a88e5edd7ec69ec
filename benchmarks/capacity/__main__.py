"""What each part of the fleet costs by its size, and docs/CAPACITY.md made of it.

    python -m benchmarks.capacity                    all kinds measured into benchmarks/capacity.json, then the page
    python -m benchmarks.capacity --only members     one kind, the others kept
    python -m benchmarks.capacity --page             the page alone, from the file
    python -m benchmarks.capacity --walk             where each limit is passed, without the page
    python -m benchmarks.capacity --take FILE        rows of a hollow run as second sources
    python -m benchmarks.capacity --check            exit 1 where page and file differ,
        a row lacks a limit or a mechanism,
                                                     or a fit is stretched over four times without a second source

FILE is what `python -m benchmarks.scale --json` prints: its report, of which `second.hollow` takes some figures, or an
object whose "slopes" are rows `{"key": "members.bytes", "n": 890, "value": 312.5, "how": "..."}`, the key that of a
slope of ours. They replace earlier rows of a hollow run with the same key, size and `how`; runs that differ in `how`
stand beside each other, so that none is chosen by being taken last."""

from __future__ import annotations

import argparse
import json
import sys
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
FILE, PAGE = ROOT / "benchmarks" / "capacity.json", ROOT / "docs" / "CAPACITY.md"


def read(path: Path) -> dict[str, Any]:
    if not path.exists():
        return {"slopes": [], "source2": []}
    found: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    return found


def write(path: Path, raw: dict[str, Any]) -> None:
    """A point a line."""
    text = json.dumps(raw, indent=1)
    for row in raw["slopes"]:
        for point in row["points"]:
            text = text.replace(json.dumps(point, indent=1).replace("\n", "\n    "), json.dumps(point))
    path.write_text(text + "\n", encoding="utf-8")


def yardstick() -> float:
    """ms of a plain loop on this machine now: tells runs apart that found it busy."""
    found = []
    for _ in range(5):
        began, total = time.thread_time(), 0
        for n in range(200_000):
            total += n
        found.append((time.thread_time() - began) * 1000)
    return round(min(found), 2)


def measure(raw: dict[str, Any], kinds: list[str], seed: int, path: Path) -> None:
    """Each kind is written as soon as it is there."""
    from .kinds import KINDS

    for kind in kinds:
        began, stick = time.monotonic(), yardstick()
        new = KINDS[kind](seed)
        print(f"{kind}: {len(new)} slopes, {time.monotonic() - began:.0f} s", file=sys.stderr)
        for row in new:
            row["yardstickMs"] = stick
        names = {row["key"] for row in new}
        raw["slopes"] = [row for row in raw["slopes"] if row["key"] not in names] + new
        order = list(KINDS)
        raw["slopes"].sort(key=lambda row: order.index(row["command"].rpartition(" ")[2]))
        raw["yardstick"] = max(row["yardstickMs"] for row in raw["slopes"])
        write(path, raw)


def main(argv: list[str] | None = None) -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument(
        "--only", default="", metavar="KIND", help="kinds, by commas; `second` for the counted second sources"
    )
    words.add_argument("--page", action="store_true")
    words.add_argument("--check", action="store_true")
    words.add_argument("--walk", action="store_true")
    words.add_argument("--take", default="", metavar="FILE")
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--file", type=Path, default=FILE, help="instead of benchmarks/capacity.json")
    words.add_argument("--out", type=Path, default=PAGE, help="instead of docs/CAPACITY.md")
    told = words.parse_args(argv)
    from .page import faults, text, walked
    from .sheet import ROWS

    raw = read(told.file)
    if told.check:
        found = faults(raw, told.out.read_text(encoding="utf-8") if told.out.exists() else "")
        print("\n".join(found) or "docs/CAPACITY.md is true to benchmarks/capacity.json")
        return int(bool(found))
    if told.walk:
        from .line import Measured

        print("\n".join(walked(Measured(raw), ROWS)))
        return 0
    if told.take:
        from .second import hollow

        new = hollow(json.loads(Path(told.take).read_text(encoding="utf-8")))
        names = {(row["key"], row["n"], row["how"]) for row in new}
        raw["source2"] = [
            row
            for row in raw["source2"]
            if row["source"] != "hollow" or (row["key"], row["n"], row["how"]) not in names
        ] + new
        write(told.file, raw)
    elif not told.page:
        from .kinds import KINDS
        from .second import counted

        kinds = told.only.split(",") if told.only else [*KINDS, "second"]
        if unknown := [kind for kind in kinds if kind not in KINDS and kind != "second"]:
            words.error(f"no kind {', '.join(unknown)}: {', '.join([*KINDS, 'second'])}")
        measure(raw, [kind for kind in kinds if kind in KINDS], told.seed, told.file)
        if "second" in kinds:
            raw["source2"] = [row for row in raw["source2"] if row["source"] == "hollow"] + counted()
        write(told.file, raw)
        if told.only:
            return 0
    told.out.write_text(text(raw), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
