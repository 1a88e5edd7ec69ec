"""reservations list|reserve|commit|release"""

from __future__ import annotations

import secrets
from typing import Annotated, Any

import typer

from .common import ControlAddresses, JsonOutput, call_control, parse_controls, print_result

app = typer.Typer(no_args_is_help=True, help="Units held for requests to come.")
COLUMNS = ["id", "firm", "plan", "units", "state", "kind", "charged", "endsIn"]


def _show(found: Any, as_json: bool) -> None:
    print_result(found, as_json, COLUMNS, [[found[name] for name in COLUMNS]])


@app.command("list")
def list_held(control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """What is held now, the one that ends first at the top."""
    found = call_control(parse_controls(control)[0], "GET", "/v1/reservations")
    print_result(
        found,
        as_json,
        COLUMNS,
        [[one[name] for name in COLUMNS] for one in found["reservations"]],
        f"{found['held']} held, {found['units']:g} units",
    )


@app.command()
def reserve(
    firm: str,
    units: float,
    lifetime: Annotated[float, typer.Option(help="Seconds until it ends.")] = 10.0,
    ident: Annotated[str, typer.Option("--id", help="Made up where not given; the same one may be sent again.")] = "",
    plan: Annotated[str, typer.Option(help="Where the book does not know the firm.")] = "",
    spread: int = 1,
    first: int = 0,
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """Hold units for a firm; a message names them with X-Reservation."""
    body = {
        "id": ident or secrets.token_hex(8),
        "firm": firm,
        "units": units,
        "lifetime": lifetime,
        "plan": plan,
        "spread": spread,
        "first": first,
    }
    _show(call_control(parse_controls(control)[0], "POST", "/v1/reservations", body), as_json)


@app.command()
def commit(ident: str, units: float, control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """What it was held for has run, and used these units."""
    _show(
        call_control(parse_controls(control)[0], "POST", f"/v1/reservations/{ident}/commit", {"units": units}), as_json
    )


@app.command()
def release(ident: str, control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """It will not run: all is returned."""
    _show(call_control(parse_controls(control)[0], "POST", f"/v1/reservations/{ident}/release"), as_json)
