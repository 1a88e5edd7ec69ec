"""Runs one case: the limit on its time, its record and its exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
MAX_SECONDS = 115.0


class NotRunError(Exception):
    """The case could not run; the text says why."""


def has_trouble() -> bool:
    """Return whether the disruption is wanted: TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(folder: Path, scenario: Callable[[Record], Awaitable[str]]) -> None:
    """Run a scenario, which returns what broke the rule or an empty text, and exit with its code."""
    record = Record(folder / "record.txt")
    record.write("case", f"trouble {'on' if has_trouble() else 'off'}")
    code, text = NOT_RUN, ""
    try:
        fault = asyncio.run(_run_limited(record, scenario))
        code, text = (BROKEN, f"rule broken: {fault}") if fault else (HELD, "rule held")
    except NotRunError as error:
        text = f"could not run: {error}"
    except Exception as error:
        text = f"could not run: {type(error).__name__}: {error}"
        record.write("case", traceback.format_exc())
    record.write("case", f"{text}; exit code {code}")
    record.close()
    print(text)
    sys.exit(code)


async def _run_limited(record: Record, scenario: Callable[[Record], Awaitable[str]]) -> str:
    try:
        return await asyncio.wait_for(_as_coroutine(scenario(record)), MAX_SECONDS)
    except TimeoutError:
        raise NotRunError(f"not over within {MAX_SECONDS:g} s") from None


async def _as_coroutine(awaitable: Awaitable[str]) -> str:
    return await awaitable
