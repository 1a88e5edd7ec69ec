"""The `plans` commands: show and change the plan book of the daemons."""

from __future__ import annotations

import datetime
import time
from typing import Annotated, Any

import typer

from ..control.client import ControlClient, ControlError
from .common import ControlAddresses, JsonOutput, call_control, parse_controls, print_result, report_error

app = typer.Typer(no_args_is_help=True, help="The plan book: the figures of each plan, and the plan of each firm.")
DEFAULT_LEAD_SECONDS = 10.0  # delay until a change takes effect, so that it reaches every daemon before
LeadSeconds = Annotated[
    float,
    typer.Option(
        "--in",
        help="Seconds until the change takes effect. All daemons that have received it by then apply it at that time.",
    ),
]
SinceTime = Annotated[
    float, typer.Option("--since", help="Unix time at which the change takes effect, instead of --in.")
]
ChangeNote = Annotated[str, typer.Option("--note", help="Reason, kept in the history.")]


def format_time(unix_time: float) -> str:
    """Formats a Unix time as UTC with milliseconds."""
    return datetime.datetime.fromtimestamp(unix_time, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3] + "Z"


def _submit_change(addresses: list[str], as_json: bool, **change: Any) -> None:
    """Submits one change to every daemon under their common next revision.

    Fails if the daemons hold different revisions, or at the first daemon that does not accept the change."""
    found = parse_controls(addresses)
    revisions = {control.name: int(call_control(control, "GET", "/v1/plans")["revision"]) for control in found}
    if len(set(revisions.values())) > 1:
        raise report_error(
            "daemons hold different revisions ("
            + ", ".join(f"{name}: {revision}" for name, revision in revisions.items())
            + "); run `plans sync` first",
            1,
        )
    now = time.time()
    change = {"revision": max(revisions.values()) + 1, "at": now, **change}
    if change["kind"] != "withdraw":
        lead = change.pop("lead")
        change["since"] = change["since"] or now + lead
    accepted: list[str] = []
    for control in found:
        try:
            control.call("POST", "/v1/changes", change)
        except ControlError as error:
            rest = (
                f"; {', '.join(accepted)} took it: run `plans sync` when {control.name} is back"
                if accepted
                else ("; nothing was changed")
            )
            raise report_error(f"{control.name}: {error}{rest}", 1) from None
        accepted.append(control.name)
    effective_from = format_time(change["since"]) if change.get("since") else ""
    print_result(
        {"change": change, "taken": accepted},
        as_json,
        ["revision", "kind", "holds from", "taken by"],
        [[change["revision"], change["kind"], effective_from, " ".join(accepted)]],
    )


@app.command("list")
def list_plans(control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """List the plans and the figures in effect now."""
    found = call_control(parse_controls(control)[0], "GET", "/v1/plans")
    print_result(
        found,
        as_json,
        ["plan", "units/s", "burst", "open", "price", "since revision"],
        [
            [
                plan["plan"],
                f"{plan['rate']:g}",
                f"{plan['burst']:g}",
                plan["open"] or "",
                f"{plan['price']:g}",
                plan["revision"],
            ]
            for plan in found["plans"]
        ],
        f"book at revision {found['revision']}",
    )


@app.command("show")
def show_one(
    name: Annotated[str, typer.Argument(help="Name of a plan, or a firm (16 hexadecimal digits).")],
    when: Annotated[float, typer.Option("--when", help="Unix time to show; default: now.")] = 0.0,
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """Show the figures of a plan or the plan of a firm, now or at another time."""
    client, query = parse_controls(control)[0], f"?when={when:.6f}" if when else ""
    is_firm = len(name) == 16 and all(c in "0123456789abcdef" for c in name.lower())
    found = call_control(client, "GET", f"/v1/{'firms' if is_firm else 'plans'}/{name}{query}")
    print_result(found, as_json, list(found), [list(found.values())])


@app.command("set")
def set_plan(
    plan: str,
    rate: Annotated[float, typer.Option("--rate", help="Units per second for each firm.")],
    burst: Annotated[float, typer.Option("--burst", help="Units that a firm may use at once.")],
    open_most: Annotated[int, typer.Option("--open", help="Relays in flight at the same time; 0 = no limit.")] = 0,
    price: float = 1.0,
    over_worth: float = 0.0,
    over_cost: float = 0.0,
    ceiling_rate: float = 0.0,
    ceiling_burst: float = 0.0,
    ceiling_slack: float = 0.0,
    lead: LeadSeconds = DEFAULT_LEAD_SECONDS,
    since: SinceTime = 0.0,
    note: ChangeNote = "",
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """Set the figures of a plan, or add a plan."""
    figures = {
        "rate": rate,
        "burst": burst,
        "open": open_most,
        "price": price,
        "over_worth": over_worth,
        "over_cost": over_cost,
        "ceiling_rate": ceiling_rate,
        "ceiling_burst": ceiling_burst,
        "ceiling_slack": ceiling_slack,
    }
    _submit_change(control, as_json, kind="set", plan=plan, figures=figures, lead=lead, since=since, note=note)


@app.command()
def move(
    firm: str,
    plan: str,
    lead: LeadSeconds = DEFAULT_LEAD_SECONDS,
    since: SinceTime = 0.0,
    note: ChangeNote = "",
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """Move a firm to a plan. Units already used stay used: its token bucket is not refilled."""
    _submit_change(control, as_json, kind="move", firm=firm, plan=plan, lead=lead, since=since, note=note)


@app.command()
def withdraw(revision: int, note: ChangeNote = "", control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Withdraw a change that has not taken effect yet."""
    _submit_change(control, as_json, kind="withdraw", of=revision, note=note)


@app.command()
def history(plan: str = "", firm: str = "", control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """List all changes, or those of one plan or firm."""
    found = _fetch_history(parse_controls(control)[0], f"&plan={plan}&firm={firm}")
    withdrawn = set(found["withdrawn"])
    print_result(
        found,
        as_json,
        ["revision", "kind", "of", "holds from", "decided", "note"],
        [
            [
                c["revision"],
                c["kind"] + (" (withdrawn)" if c["revision"] in withdrawn else ""),
                c.get("firm", "") and f"{c['firm']} -> {c['plan']}" or c.get("plan") or f"revision {c.get('of')}",
                format_time(c["since"]) if c.get("since") else "",
                format_time(c["at"]),
                c.get("note", ""),
            ]
            for c in found["changes"]
        ],
    )


def _fetch_history(control: ControlClient, query: str = "", after: int = 0) -> dict[str, Any]:
    """Fetches all pages of the history after a revision."""
    changes: list[Any] = []
    while True:
        found = call_control(control, "GET", f"/v1/changes?after={after}{query}")
        changes += found["changes"]
        if not found["more"]:
            return {**found, "changes": changes}
        after = changes[-1]["revision"]


@app.command()
def sync(
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """Send each daemon the changes that it lacks, taken from the daemon with the highest revision."""
    found = parse_controls(control)
    revisions = {client: int(call_control(client, "GET", "/v1/plans")["revision"]) for client in found}
    source = max(found, key=lambda client: revisions[client])
    sent = {}
    for client in found:
        missed = (
            _fetch_history(source, after=revisions[client])["changes"] if revisions[client] < revisions[source] else []
        )
        for change in missed:
            call_control(client, "POST", "/v1/changes?history=1", change)
        sent[client.name] = len(missed)
    print_result(
        {"revision": revisions[source], "sent": sent},
        as_json,
        ["daemon", "changes sent"],
        list(sent.items()),
        f"book at revision {revisions[source]}",
    )
