"""growth count LOG...: what a whole fleet did, from its ingresses' logs."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator
from typing import Annotated

import typer

from ..growth.merge import Merged
from .common import JsonOutput, print_result, report_error

app = typer.Typer(no_args_is_help=True, help="Counting over a whole fleet.")


@app.callback()
def growth() -> None:
    """Counting over a whole fleet."""


def _files(names: list[str]) -> Iterator[str]:
    for name in names:
        if os.path.isdir(name):
            yield from sorted(os.path.join(name, file) for file in os.listdir(name) if file.endswith(".log"))
        else:
            yield name


@app.command()
def count(
    logs: Annotated[list[str], typer.Argument(help="Logs, a file an ingress, or folders of *.log.")],
    by: Annotated[str, typer.Option(help="second, server or ingress")] = "second",
    as_json: JsonOutput = False,
) -> None:
    """Merge the logs of ingresses that ran with `[log] seconds = true`, and count over all of them."""
    if by not in ("second", "server", "ingress"):
        raise report_error(f"--by: {by!r} is none of second, server, ingress")
    merged = Merged()
    for path in _files(logs):
        try:
            with open(path, encoding="utf-8", errors="replace") as file:
                merged.add(os.path.basename(path).removesuffix(".log"), file)
        except OSError as error:
            raise report_error(f"{path}: {error.strerror}") from None
    for name, log in merged.logs.items():
        if log.bad:
            print(f"brackenpulley: {name}: {log.bad} lines are no records, the first: {log.first_bad}", file=sys.stderr)
    if not any(log.records for log in merged.logs.values()):
        raise report_error("no record in these logs: was [log] seconds set? See deploy/growth.toml", 1)
    rows = merged.table() if by == "second" else merged.by(by)
    print_result(
        merged.whole() if as_json else rows,
        as_json,
        list(rows[0]) if rows else [by],
        (row.values() for row in rows),
        f"by {by}",
    )
