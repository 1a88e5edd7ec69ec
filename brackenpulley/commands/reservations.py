"""The `reservations` commands: hold, commit and release units of a firm."""

from __future__ import annotations

import secrets
from typing import Annotated, Any

import typer

from .common import ControlAddresses, JsonOutput, call_control, parse_controls, print_result

app = typer.Typer(no_args_is_help=True, help="Units held for later messages.")
COLUMNS = ["id", "firm", "plan", "units", "state", "kind", "charged", "endsIn"]


def _print_reservation(found: Any, as_json: bool) -> None:
    print_result(found, as_json, COLUMNS, [[found[name] for name in COLUMNS]])


@app.command("list")
def list_held(control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """List the reservations held now, the earliest to expire first."""
    found = call_control(parse_controls(control)[0], "GET", "/v1/reservations")
    print_result(
        found,
        as_json,
        COLUMNS,
        [[reservation[name] for name in COLUMNS] for reservation in found["reservations"]],
        f"{found['held']} held, {found['units']:g} units",
    )


@app.command()
def reserve(
    firm: str,
    units: float,
    lifetime: Annotated[float, typer.Option(help="Seconds until the reservation expires.")] = 10.0,
    ident: Annotated[
        str,
        typer.Option("--id", help="Id of the reservation; default: random. A call may be repeated with the same id."),
    ] = "",
    plan: Annotated[str, typer.Option(help="Plan of the firm, if the plan book does not list it.")] = "",
    spread: int = 1,
    first: int = 0,
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """Hold units for a firm; a message refers to them with the header X-Reservation."""
    body = {
        "id": ident or secrets.token_hex(8),
        "firm": firm,
        "units": units,
        "lifetime": lifetime,
        "plan": plan,
        "spread": spread,
        "first": first,
    }
    _print_reservation(call_control(parse_controls(control)[0], "POST", "/v1/reservations", body), as_json)


@app.command()
def commit(ident: str, units: float, control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Commit a reservation with the units that were used."""
    _print_reservation(
        call_control(parse_controls(control)[0], "POST", f"/v1/reservations/{ident}/commit", {"units": units}), as_json
    )


@app.command()
def release(ident: str, control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Release a reservation and return all its units."""
    _print_reservation(call_control(parse_controls(control)[0], "POST", f"/v1/reservations/{ident}/release"), as_json)
