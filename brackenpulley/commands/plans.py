"""plans list|show|set|move|withdraw|history|sync"""

from __future__ import annotations

import datetime
import time
from typing import Annotated, Any

import typer

from ..control.client import Control, ControlError
from .common import ControlAddresses, JsonOutput, call_control, parse_controls, print_result, report_error

app = typer.Typer(no_args_is_help=True, help="The plan book: figures of each plan, and which firm is on which plan.")
LEAD = 10.0  # s until a change takes effect, so that every daemon has heard of it by then
Lead = Annotated[
    float,
    typer.Option(
        "--in",
        help="Seconds until it takes effect. All daemons apply it at that instant, if they have heard of it by then.",
    ),
]
Since = Annotated[float, typer.Option("--since", help="Or the Unix time from which it holds.")]
Note = Annotated[str, typer.Option("--note", help="Why, for the history.")]


def moment(at: float) -> str:
    return datetime.datetime.fromtimestamp(at, datetime.UTC).strftime("%Y-%m-%d %H:%M:%S.%f")[:-3] + "Z"


def _decide(told: list[str], as_json: bool, **change: Any) -> None:
    """The same change for each daemon, under the revision that is next in all of them."""
    found = parse_controls(told)
    revisions = {control.name: int(call_control(control, "GET", "/v1/plans")["revision"]) for control in found}
    if len(set(revisions.values())) > 1:
        raise report_error(
            "daemons hold different revisions ("
            + ", ".join(f"{name}: {revision}" for name, revision in revisions.items())
            + "); run `plans sync` first",
            1,
        )
    at = time.time()
    change = {"revision": max(revisions.values()) + 1, "at": at, **change}
    if change["kind"] != "withdraw":
        lead = change.pop("lead")
        change["since"] = change["since"] or at + lead
    taken: list[str] = []
    for control in found:
        try:
            control.call("POST", "/v1/changes", change)
        except ControlError as error:
            rest = (
                f"; {', '.join(taken)} took it: run `plans sync` when {control.name} is back"
                if taken
                else ("; nothing was changed")
            )
            raise report_error(f"{control.name}: {error}{rest}", 1) from None
        taken.append(control.name)
    holds = moment(change["since"]) if change.get("since") else ""
    print_result(
        {"change": change, "taken": taken},
        as_json,
        ["revision", "kind", "holds from", "taken by"],
        [[change["revision"], change["kind"], holds, " ".join(taken)]],
    )


@app.command("list")
def list_plans(control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Plans and their figures as they hold now."""
    found = call_control(parse_controls(control)[0], "GET", "/v1/plans")
    print_result(
        found,
        as_json,
        ["plan", "units/s", "burst", "open", "price", "since revision"],
        [
            [p["plan"], f"{p['rate']:g}", f"{p['burst']:g}", p["open"] or "", f"{p['price']:g}", p["revision"]]
            for p in found["plans"]
        ],
        f"book at revision {found['revision']}",
    )


@app.command("show")
def show_one(
    name: Annotated[str, typer.Argument(help="A plan's name, or a firm (16 hexadecimal digits).")],
    when: Annotated[float, typer.Option("--when", help="As of this Unix time.")] = 0.0,
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """A plan's figures or a firm's plan, now or at any past moment."""
    one, query = parse_controls(control)[0], f"?when={when:.6f}" if when else ""
    firm = len(name) == 16 and all(c in "0123456789abcdef" for c in name.lower())
    found = call_control(one, "GET", f"/v1/{'firms' if firm else 'plans'}/{name}{query}")
    print_result(found, as_json, list(found), [list(found.values())])


@app.command("set")
def set_plan(
    plan: str,
    rate: Annotated[float, typer.Option("--rate", help="Units a second for each firm.")],
    burst: Annotated[float, typer.Option("--burst", help="Units that may be used at once.")],
    open_most: Annotated[int, typer.Option("--open", help="Attempts out at once; 0 = no cap.")] = 0,
    price: float = 1.0,
    over_worth: float = 0.0,
    over_cost: float = 0.0,
    ceiling_rate: float = 0.0,
    ceiling_burst: float = 0.0,
    ceiling_slack: float = 0.0,
    lead: Lead = LEAD,
    since: Since = 0.0,
    note: Note = "",
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """New figures for a plan, or a new plan."""
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
    _decide(control, as_json, kind="set", plan=plan, figures=figures, lead=lead, since=since, note=note)


@app.command()
def move(
    firm: str,
    plan: str,
    lead: Lead = LEAD,
    since: Since = 0.0,
    note: Note = "",
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """Put a firm on a plan. What is missing from its store goes on missing."""
    _decide(control, as_json, kind="move", firm=firm, plan=plan, lead=lead, since=since, note=note)


@app.command()
def withdraw(revision: int, note: Note = "", control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Take back a change that has not taken effect yet."""
    _decide(control, as_json, kind="withdraw", of=revision, note=note)


@app.command()
def history(plan: str = "", firm: str = "", control: ControlAddresses = [], as_json: JsonOutput = False) -> None:  # noqa: B006
    """Every change, or those of one plan or firm."""
    found = _history(parse_controls(control)[0], f"&plan={plan}&firm={firm}")
    gone = set(found["withdrawn"])
    print_result(
        found,
        as_json,
        ["revision", "kind", "of", "holds from", "decided", "note"],
        [
            [
                c["revision"],
                c["kind"] + (" (withdrawn)" if c["revision"] in gone else ""),
                c.get("firm", "") and f"{c['firm']} -> {c['plan']}" or c.get("plan") or f"revision {c.get('of')}",
                moment(c["since"]) if c.get("since") else "",
                moment(c["at"]),
                c.get("note", ""),
            ]
            for c in found["changes"]
        ],
    )


def _history(control: Control, query: str = "", after: int = 0) -> dict[str, Any]:
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
    """Tell each daemon the changes that it has missed, from the one that has most."""
    found = parse_controls(control)
    revisions = {one: int(call_control(one, "GET", "/v1/plans")["revision"]) for one in found}
    source = max(found, key=lambda one: revisions[one])
    sent = {}
    for one in found:
        missed = _history(source, after=revisions[one])["changes"] if revisions[one] < revisions[source] else []
        for change in missed:
            call_control(one, "POST", "/v1/changes", change)
        sent[one.name] = len(missed)
    print_result(
        {"revision": revisions[source], "sent": sent},
        as_json,
        ["daemon", "changes sent"],
        list(sent.items()),
        f"book at revision {revisions[source]}",
    )
