"""Commands `control status` and `control counters`: the state of running daemons."""

from __future__ import annotations

import json

import typer

from .common import ControlAddresses, JsonOutput, call_control, parse_controls, print_result

app = typer.Typer(no_args_is_help=True, help="A running daemon's status and counters.")


@app.command()
def status(control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Show the state of each daemon and of its optional parts."""
    statuses = [call_control(client, "GET", "/v1/status") for client in parse_controls(control)]
    print_result(
        statuses,
        as_json,
        ["name", "ready", "up s", "held", "clients", "servers", "plans", "reservations", "ledger", "configuration"],
        [
            [
                status_row["name"],
                status_row["ready"],
                status_row["upSeconds"],
                status_row["held"],
                status_row["clients"],
                status_row["servers"],
                *(
                    json.dumps(status_row[part]) if part in status_row else ""
                    for part in ("plans", "reservations", "ledger", "configuration")
                ),
            ]
            for status_row in statuses
        ],
    )


@app.command()
def counters(control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Show the counters of a daemon; docs/operators describes each."""
    counts = call_control(parse_controls(control)[0], "GET", "/v1/counters")
    print_result(counts, as_json, ["counter", "count"], list(counts.items()))
