"""What the commands share: where the daemons are, how results and faults are shown."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Annotated, Any

import typer

from ..control.client import Control, ControlError

Where = Annotated[
    list[str],
    typer.Option(
        "--control",
        envvar="BRACKENPULLEY_CONTROL",
        help="A daemon's control API: 127.0.0.1:9393 or unix:/path. May stand "
        "several times, or hold several with blanks between.",
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="The result as JSON.")]


def fail(text: str, code: int = 2) -> typer.Exit:
    print(f"brackenpulley: {text}", file=sys.stderr)
    return typer.Exit(code)


def controls(told: list[str]) -> list[Control]:
    names = [name for text in told for name in text.split()]
    if not names:
        raise fail("--control: not given, and BRACKENPULLEY_CONTROL is not set; for example unix:/run/bracken.sock")
    try:
        return [Control(name) for name in names]
    except ControlError as error:
        raise fail(str(error)) from None


def call(control: Control, method: str, path: str, body: Any = None) -> Any:
    try:
        return control.call(method, path, body)
    except ControlError as error:
        raise fail(str(error), 1) from None


def show(
    value: Any, as_json: bool, columns: list[str] | None = None, rows: Iterable[Any] | None = None, title: str = ""
) -> None:
    """A table in a terminal, tab-separated text elsewhere, or JSON."""
    if as_json or columns is None or rows is None:
        print(json.dumps(value, indent=None if as_json else 1))
        return
    found = [["" if cell is None else str(cell) for cell in row] for row in rows]
    if not sys.stdout.isatty():
        print("\t".join(columns))
        for row in found:
            print("\t".join(row))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table(*columns, title=title or None)
    for row in found:
        table.add_row(*row)
    Console().print(table)
