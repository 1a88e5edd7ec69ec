"""The `members` commands: each daemon's membership, and the three steps of a key rotation."""

from __future__ import annotations

import base64
import secrets
from typing import Annotated, Any

import typer

from .common import ControlAddresses, JsonOutput, call_control, parse_controls, print_result, report_error

app = typer.Typer(no_args_is_help=True, help="Membership between instances and its keys.")
keys = typer.Typer(
    no_args_is_help=True, help="Key rotation: add a key on all members, use it on all, remove the old one."
)
app.add_typer(keys, name="keys")


@app.command()
def status(control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Show each daemon's view of the other members."""
    found = [call_control(client, "GET", "/v1/members") for client in parse_controls(control)]
    print_result(
        found,
        as_json,
        ["id", "address", "members", "score", "dead", "key in use"],
        [
            [
                member["id"],
                member.get("address"),
                member["members"],
                member.get("score"),
                ", ".join(name for name, state in member.get("others", {}).items() if state == "dead"),
                member.get("keys", [""])[0],
            ]
            for member in found
        ],
    )


def _call_each(control: list[str], body: dict[str, Any], as_json: bool) -> None:
    """Applies one step on every daemon; an error lists those that are left.

    The next step may only start once all daemons have done this one."""
    found = []
    clients = parse_controls(control)
    for done, client in enumerate(clients):
        try:
            found.append({"control": client.name, **call_control(client, "POST", "/v1/members/keys", body)})
        except typer.Exit:
            left = " ".join(other.name for other in clients[done:])
            raise report_error(f"keys {body['step']}: done on {done} of {len(clients)}; left: {left}", 1) from None
    print_result(
        found,
        as_json,
        ["control", "keys, the one in use first"],
        [[row["control"], ", ".join(row["keys"])] for row in found],
    )


@keys.command()
def make() -> None:
    """Print a new random key of 32 bytes as a line of a key file."""
    print(base64.b64encode(secrets.token_bytes(32)).decode())


@keys.command()
def add(
    file: Annotated[str, typer.Argument(help="File with the key in base64.")],
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """Step 1: all members can decrypt with the key."""
    try:
        with open(file, encoding="ascii") as opened:
            key = opened.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise report_error(f"file: {file}: {error}") from None
    _call_each(control, {"step": "add", "key": key}, as_json)


@keys.command()
def use(mark: str, control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Step 2: all members encrypt with the key."""
    _call_each(control, {"step": "use", "mark": mark}, as_json)


@keys.command()
def remove(mark: str, control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Step 3: no member accepts the old key any more."""
    _call_each(control, {"step": "remove", "mark": mark}, as_json)
