"""Shared by the command groups: options, calls of the control API, and the output of results and errors."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Annotated, Any

import typer

from ..control.client import ControlClient, ControlError

ControlAddresses = Annotated[
    list[str],
    typer.Option(
        "--control",
        envvar="BRACKENPULLEY_CONTROL",
        help="Address of a daemon's control API: 127.0.0.1:9393 or unix:/path. May be "
        "repeated, or hold several addresses separated by blanks.",
    ),
]
JsonOutput = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]


def report_error(text: str, code: int = 2) -> typer.Exit:
    """Prints an error to standard error and returns the exception that ends the command with this exit code."""
    print(f"brackenpulley: {text}", file=sys.stderr)
    return typer.Exit(code)


def parse_controls(addresses: list[str]) -> list[ControlClient]:
    """Returns a client for each address. Raises typer.Exit where none is given or one is invalid."""
    names = [name for text in addresses for name in text.split()]
    if not names:
        raise report_error(
            "--control: not given, and BRACKENPULLEY_CONTROL is not set; for example unix:/run/bracken.sock"
        )
    try:
        return [ControlClient(name) for name in names]
    except ControlError as error:
        raise report_error(str(error)) from None


def call_control(control: ControlClient, method: str, path: str, body: Any = None) -> Any:
    """Calls the control API and returns the decoded answer; an error is printed and raised as typer.Exit(1)."""
    try:
        return control.call(method, path, body)
    except ControlError as error:
        raise report_error(str(error), 1) from None


def print_result(
    value: Any, as_json: bool, columns: list[str] | None = None, rows: Iterable[Any] | None = None, title: str = ""
) -> None:
    """Prints a table in a terminal, tab-separated text elsewhere, or JSON.

    Without columns or rows the value is printed as indented JSON."""
    if as_json or columns is None or rows is None:
        print(json.dumps(value, indent=None if as_json else 1))
        return
    cells = [["" if cell is None else str(cell) for cell in row] for row in rows]
    if not sys.stdout.isatty():
        print("\t".join(columns))
        for row in cells:
            print("\t".join(row))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table(*columns, title=title or None)
    for row in cells:
        table.add_row(*row)
    Console().print(table)
