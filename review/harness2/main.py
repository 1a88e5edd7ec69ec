"""Runs a case: its record, its temporary folder, its exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
SECONDS = 110.0  # that a case may take at most
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class NotRunError(Exception):
    """The case could not run; the text says why."""


def run(case: Callable[[Record, Path], Awaitable[list[str]]], file: str) -> None:
    """Run the case beside `file`, which returns what broke the rule, and exit with 1, 0 or 2."""
    record = Record(Path(file).parent / "record.txt")
    code = NOT_RUN
    try:
        with tempfile.TemporaryDirectory(prefix="review-") as folder:
            broken = asyncio.run(_limit(case(record, Path(folder))))
        for text in broken:
            record.say("broken", what=text)
        code = BROKEN if broken else HELD
    except NotRunError as error:
        record.say("not run", why=error)
    except Exception:
        record.say("not run", why=traceback.format_exc())
    record.say("result", trouble=int(TROUBLE), exit=code)
    record.close()
    sys.exit(code)


async def _limit(work: Awaitable[list[str]]) -> list[str]:
    async with asyncio.timeout(SECONDS):
        return await work
