"""members status|keys: the membership of each daemon, and the three steps of a new key."""

from __future__ import annotations

import base64
import secrets
from typing import Annotated, Any

import typer

from .common import ControlAddresses, JsonOutput, call_control, parse_controls, print_result, report_error

app = typer.Typer(no_args_is_help=True, help="Membership between instances, and its keys.")
keys = typer.Typer(no_args_is_help=True, help="A new key: add it on all members, use it on all, remove the old one.")
app.add_typer(keys, name="keys")


@app.command()
def status(control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Each daemon's view of the others."""
    found = [call_control(one, "GET", "/v1/members") for one in parse_controls(control)]
    print_result(
        found,
        as_json,
        ["id", "address", "members", "score", "dead", "key in use"],
        [
            [
                one["id"],
                one.get("address"),
                one["members"],
                one.get("score"),
                ", ".join(n for n, state in one.get("others", {}).items() if state == "dead"),
                one.get("keys", [""])[0],
            ]
            for one in found
        ],
    )


def _all(control: list[str], body: dict[str, Any], as_json: bool) -> None:
    """On every daemon named, or a word on which are left: a step is done when all have it."""
    found = []
    named = parse_controls(control)
    for done, one in enumerate(named):
        try:
            found.append({"control": one.name, **call_control(one, "POST", "/v1/members/keys", body)})
        except typer.Exit:
            left = " ".join(other.name for other in named[done:])
            raise report_error(f"keys {body['step']}: done on {done} of {len(named)}; left: {left}", 1) from None
    print_result(
        found,
        as_json,
        ["control", "keys, the one in use first"],
        [[row["control"], ", ".join(row["keys"])] for row in found],
    )


@keys.command()
def make() -> None:
    """A new key of 32 bytes, as a line of a key file."""
    print(base64.b64encode(secrets.token_bytes(32)).decode())


@keys.command()
def add(
    file: Annotated[str, typer.Argument(help="File with the key, base64.")],
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """Step 1: all members can read what is sealed under it."""
    try:
        with open(file, encoding="ascii") as opened:
            key = opened.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        raise report_error(f"file: {file}: {error}") from None
    _all(control, {"step": "add", "key": key}, as_json)


@keys.command()
def use(mark: str, control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Step 2: all members seal under it."""
    _all(control, {"step": "use", "mark": mark}, as_json)


@keys.command()
def remove(mark: str, control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Step 3: nobody reads what is sealed under the old one."""
    _all(control, {"step": "remove", "mark": mark}, as_json)
