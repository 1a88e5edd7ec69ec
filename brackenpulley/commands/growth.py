"""The `growth count` command: counts over a whole fleet, from the logs of its ingresses."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from typing import Annotated

import typer

from ..growth.merge import MergedLogs
from .common import JsonOutput, print_result, report_error

app = typer.Typer(no_args_is_help=True, help="Counts over a whole fleet.")


@app.callback()
def growth() -> None:
    """Counts over a whole fleet."""


def _log_files(names: list[str]) -> Iterator[str]:
    for name in names:
        if os.path.isdir(name):
            yield from sorted(os.path.join(name, file) for file in os.listdir(name) if file.endswith(".log"))
        else:
            yield name


@app.command()
def count(
    logs: Annotated[list[str], typer.Argument(help="Log files, one per ingress, or folders of *.log files.")],
    by: Annotated[str, typer.Option(help="Group by second, server or ingress.")] = "second",
    as_json: JsonOutput = False,
) -> None:
    """Merge the logs of ingresses that ran with `[log] seconds = true` and print their total counts."""
    if by not in ("second", "server", "ingress"):
        raise report_error(f"--by: {by!r} is none of second, server, ingress")
    merged_logs = MergedLogs()
    for path in _log_files(logs):
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                merged_logs.add_log(os.path.basename(path).removesuffix(".log"), file)
        except OSError as error:
            raise report_error(f"{path}: {error.strerror}") from None
    for name, log in merged_logs.logs.items():
        if log.invalid_lines:
            print(
                f"brackenpulley: {name}: {log.invalid_lines} lines are no records, the first: {log.first_invalid_line}",
                file=sys.stderr,
            )
    if not any(log.records for log in merged_logs.logs.values()):
        raise report_error("no record in these logs: was [log] seconds set? See deploy/growth.toml", 1)
    rows = merged_logs.build_timeline() if by == "second" else merged_logs.build_totals(by)
    print_result(
        merged_logs.build_report() if as_json else rows,
        as_json,
        list(rows[0]) if rows else [by],
        (row.values() for row in rows),
        f"by {by}",
    )
