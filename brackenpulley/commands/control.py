"""control status|counters: a running daemon as it sees itself."""

from __future__ import annotations

import json

import typer

from .common import AsJson, Where, call, controls, show

app = typer.Typer(no_args_is_help=True, help="A running daemon's status and counters.")


@app.command()
def status(control: Where = [], as_json: AsJson = False) -> None:  # noqa: B006
    """What each daemon holds, and how its parts stand."""
    found = [call(one, "GET", "/v1/status") for one in controls(control)]
    show(
        found,
        as_json,
        ["name", "ready", "up s", "held", "clients", "servers", "plans", "reservations", "ledger", "configuration"],
        [
            [
                one["name"],
                one["ready"],
                one["upSeconds"],
                one["held"],
                one["clients"],
                one["servers"],
                *(
                    json.dumps(one[part]) if part in one else ""
                    for part in ("plans", "reservations", "ledger", "configuration")
                ),
            ]
            for one in found
        ],
    )


@app.command()
def counters(control: Where = [], as_json: AsJson = False) -> None:  # noqa: B006
    """Its counters; docs/operators has what each counts."""
    found = call(controls(control)[0], "GET", "/v1/counters")
    show(found, as_json, ["counter", "count"], list(found.items()))
