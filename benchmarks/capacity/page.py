"""docs/CAPACITY.md out of the file of results and the rows, and what is wrong with either. No I/O."""

from __future__ import annotations

from typing import Any

from .fits import FAR
from .line import ASSUMED, SIZE, TODAY, At, Measured, spread, value
from .needs import BYTES
from .sheet import ROLES, ROWS, Row
from .walk import Passed, deciding, following, walk

HEAD = (
    "what",
    "grows with",
    "slope measured, at which sizes, by which command",
    "at the size",
    "limit",
    "limit over need",
    "mechanism (module) that carries it",
    "what happens beyond it",
)
NEXT = 3


def figure(number: float) -> str:
    if number and not 0.001 <= abs(number) < 1e7:
        return f"{number:.2e}"
    return f"{number:,.0f}" if abs(number) >= 1000 else f"{number:.3g}"


def table(head: tuple[str, ...], rows: list[list[str]]) -> list[str]:
    return [
        "| " + " | ".join(head) + " |",
        "| " + " | ".join("---" for _ in head) + " |",
        *("| " + " | ".join(cell.replace("|", "/") for cell in row) + " |" for row in rows),
    ]


def only(row: dict[str, Any]) -> str:
    return str(row["command"]).rpartition(" ")[2]


def slopes(at: At, measured: Measured) -> str:
    """What a need has looked at, each with its fit, sizes and stretch."""
    parts = []
    for key, use in at.used.items():
        row = measured.rows[key]
        sizes = [p["n"] for p in row["points"]]
        told = f"`{key}` {use.fit.text()} ({only(row)}, {figure(min(sizes))} to {figure(max(sizes))})"
        if use.far:
            second = measured.second(key, use.size)
            told += f" **stretched {use.fit.stretched(use.size):.1f} times**"
            if second is not None:
                told += f"; second source, {second['source']}: {figure(second['value'])} at {figure(second['n'])}"
        parts.append(told)
    return "; ".join(parts)


def cells(row: Row, measured: Measured) -> list[str]:
    limit = row.says + ("" if row.source in ("letter", "issue") else f" ({row.source})")
    if row.need is None:
        return [
            row.what,
            row.grows,
            "not measured" if not row.start else "nothing to measure: there is none",
            "not measured",
            limit,
            "0: none" if row.start else "open",
            row.mechanism,
            row.beyond + (f" ({row.note})" if row.note else ""),
        ]
    at = At(measured, 1.0)
    need = row.need(at)
    over = "open" if row.limit is None else figure(row.limit / need) if need else "no need"
    return [
        row.what,
        row.grows,
        slopes(at, measured) or "counting by the code and assumptions",
        f"{figure(need)} {row.unit}".strip(),
        limit,
        over,
        row.mechanism,
        row.beyond + (f" ({row.note})" if row.note else ""),
    ]


def measured_rows(measured: Measured) -> list[list[str]]:
    found = []
    for key, row in measured.rows.items():
        fitted = measured.fits[key]
        points = ", ".join(f"{figure(float(p['n']))}: {figure(value(p, row['take']))}" for p in row["points"])
        found.append(
            [
                f"`{key}`",
                f"{row['what']} ({row['unit']})",
                row["by"],
                points,
                f"{fitted.form}: {fitted.text()}",
                f"{fitted.over:+.0%}",
                f"{spread(row):.0%}",
                f"{row['source']}, {only(row)}",
            ]
        )
    return found


def place(one: Passed) -> str:
    at = f"{one.f:.4f}" if one.f < 0.01 else f"{one.f:.3f}"
    ingresses = TODAY["ingresses"] + one.f * (SIZE["ingresses"] - TODAY["ingresses"])
    servers = TODAY["servers"] + one.f * (SIZE["servers"] - TODAY["servers"])
    return f"{at} ({ingresses:.0f}, {servers:.0f})"


def walked(measured: Measured, rows: list[Row]) -> list[str]:
    found = walk(rows, measured)
    decide = deciding(found)
    lines = table(
        ("f (ingresses, servers)", "row", "role", "limit", "named by", "mechanism"),
        [[place(one), one.row.what, one.row.role, one.row.says, one.row.source, one.row.mechanism] for one in found],
    )
    if decide:
        first, after = decide[0], following(decide, NEXT)
        lines += [
            "",
            f"**First: {first.row.what}** (f = {first.f:.4f}, mechanism: {first.row.mechanism}). "
            f"{first.row.note or first.row.beyond}.",
        ]
        lines += [
            "",
            "The three next parts, each by its first row: "
            + "; ".join(f"{one.row.part}, {one.row.what} (f = {one.f:.4f})" for one in after)
            + ".",
        ]
    open_rows = [row for row in rows if row.need is None and not row.start]
    lines += [
        "",
        "Not measured, and so open: " + "; ".join(f"{row.what} ({row.role.lower()})" for row in open_rows) + ".",
    ]
    return lines


HEADING = """# Capacity

Written by `python -m benchmarks.capacity --page` from `benchmarks/capacity.json`; `--check` says where the two differ.
Figures are of the machine that measured them: processor times by the thread's own clock, longest holds the least of
three repeats. The machine was shared with other runs: a loop of 200,000 additions took up to {stick} ms there, and each
slope in the file has that loop's time before its kind (`yardstickMs`), so that runs can be told apart.

The size: 890 ingresses before 12,000 sim servers in 260 services, 130,000 requests a second, 3,500 routes, 44,000
tenants, 3 regions with 12 zones, 2,400 changes of configuration a day in force within 14 s, 1.2 ms added for 99 in 100;
for control 2 % of a core, 32 MB and 14 KB a second of each ingress and four machines; a day has 32 failures and 3,700
restarts. 'Limit over need' under 1 is passed. A slope is read at the size from a fit of what was measured; over
{far:g} times the largest size measured it is marked and has a second source. `(program)`, `(platform)` and
`(assumption)` behind a limit say who names it where neither the letter nor the issue does.
"""
WALK = """## The walk

From today's days (40 ingresses, 60 servers, 500 requests a second) to the size, every quantity in proportion; `f` is
the part of the line at which a row's limit is passed, by the fits alone.
"""
WHY = """Why this one: it was the only need of the letter that today's days have already and that nothing in the program
carried. Since then `configuration/` carries it in a fleet whose file has `[configuration]`
(docs/design/configuration.md; its rows stand with everything on). It is off by default and the platform uses none of
it: the platform's row stays `none`, and first.
Routes and services are what a configuration holds: whoever tells them apart has to be told of them first, so they
follow it; a revision has plans, firms and addresses, and 184 KB, as yet. Everything after these is passed by a figure
and has some mechanism.

What the letter sets no limit for (the counter's calls, a sim server's connections, how old a record may be) stands
above with `assumption` and does not decide. `f` is where the need is over the limit for the first time; a row that
counts things is passed by the first one too many.
"""
SLOPES = """## Slopes

Each from a run here, three repeats; 'over' is what the fit leaves at the largest size, 'spread' what repeats differ by,
the median over sizes. Every repeat, its command and its seed stand in the file, and `take`:
whether the median counts, the least, or the most.
"""
HOLLOW = """Hollow runs: `python -m benchmarks.capacity --take FILE` reads the output of
`python -m benchmarks.scale --json` into the second sources; `python -m benchmarks.capacity --help` has the form."""


def known(measured: Measured) -> list[list[str]]:
    """What was known before the page, beside the same measured here."""

    def at(key: str, size: float) -> float:
        points = {float(p["n"]): value(p, measured.rows[key]["take"]) for p in measured.rows[key]["points"]}
        return points[size] if size in points else measured.fits[key].at(size)

    size = SIZE["servers"]
    whole = at("list.bytes", size)
    calls = [value(p, "median") for p in measured.rows["counter.leased"]["points"]]
    trial = measured.fits["members.trial"]
    return [
        ["bytes of discovery's entry", "172", figure(whole / size)],
        ["a whole list of 12,000, MB", "2.06", figure(whole / 1e6)],
        ["the same in s of 14 KB a second", "147", figure(whole / BYTES)],
        ["the same as part of `MAX_LIST_BYTES`", "half", figure(whole / (1 << 22))],
        ["the turn that takes it, ms", "some 64", figure(at("list.hold", size))],
        [
            "what is held for it, MB",
            "5.8",
            f"{figure(at('list.memory', size))} with the module's records, "
            f"{figure(at('list.highest', size))} at the highest point",
        ],
        [
            "a message in the module at 1,000 and at 12,000, us",
            "34, 88",
            f"{figure(at('module.message', 1000.0))}, {figure(at('module.message', size))}",
        ],
        ["44,000 firms met once, MB", "28", figure(at("tenants.memory", SIZE["tenants"]))],
        [
            "counter calls a try of leased firms",
            "1.2 to 1.5",
            f"{figure(min(calls))} to {figure(max(calls))}, by tries a second",
        ],
        [
            "`benchmarks.membership --sizes 890`",
            "does not end in four minutes",
            f"joining alone takes {figure(trial.at(SIZE['ingresses']))} s of processor time by the fit "
            f"({trial.text()}, "
            f"which leaves {trial.over:+.0%} over: it grows faster) and is done three times; `Protocol._is_alive` "
            "compares each new member with all that are known; `TransmitQueue.take` sorts nothing any more, it walks the "
            "order that is kept and puts back what has to be told again (still the first two of a profile of 200 that "
            "join)",
        ],
        [
            "what carries a changed configuration to all",
            "nothing",
            "`configuration/`, where `[configuration]` is on; on the platform nothing",
        ],
        ["what knows a service, a route or a region", "nothing", "nothing"],
    ]


def text(raw: dict[str, Any], rows: list[Row] = ROWS) -> str:
    measured = Measured(raw)
    lines = [HEADING.format(stick=figure(raw.get("yardstick", 0.0)), far=FAR)]
    for role in ROLES:
        lines += [f"## {role}", "", *table(HEAD, [cells(row, measured) for row in rows if row.role == role]), ""]
    lines += [WALK, *walked(measured, rows), "", WHY, SLOPES]
    lines += [
        *table(("slope", "what", "by", "measured", "fit", "over", "spread", "source, kind"), measured_rows(measured)),
        "",
    ]
    second = raw.get("source2", [])
    if second:
        lines += [
            "## Second sources",
            "",
            *table(
                ("slope", "source", "at", "value", "by the fit", "how"),
                [
                    [
                        f"`{row['key']}`",
                        row["source"],
                        figure(row["n"]),
                        figure(row["value"]),
                        figure(measured.fits[row["key"]].at(row["n"])) if row["key"] in measured.fits else "",
                        row["how"],
                    ]
                    for row in second
                ],
            ),
            "",
        ]
    lines += ["## Known before, measured again", "", *table(("what", "known", "here"), known(measured)), ""]
    lines += [
        "## Assumptions",
        "",
        *table(
            ("figure", "what", "why"), [[figure(number), what, reason] for number, what, reason in ASSUMED.values()]
        ),
        "",
        HOLLOW,
        "",
    ]
    return "\n".join(lines)


def faults(raw: dict[str, Any], page: str, rows: list[Row] = ROWS) -> list[str]:
    """What `--check` finds, a line each."""
    found = []
    for row in rows:
        if not row.says or row.limit is None:
            found.append(f"{row.role}: {row.what}: no limit")
        if not row.mechanism:
            found.append(f"{row.role}: {row.what}: neither a mechanism nor 'none'")
    try:
        measured = Measured(raw)
        for row in rows:
            if row.need is None:
                continue
            at = At(measured, 1.0)
            row.need(at)
            for key, use in at.used.items():
                if use.far and measured.second(key, use.size) is None:
                    times = use.fit.stretched(use.size)
                    found.append(f"{row.role}: {row.what}: {key} is stretched {times:.1f} times, no second source")
        if text(raw, rows) != page:
            found.append("docs/CAPACITY.md and benchmarks/capacity.json differ: python -m benchmarks.capacity --page")
    except (KeyError, ValueError, TypeError) as error:
        found.append(f"benchmarks/capacity.json: {type(error).__name__}: {error}")
    return found


__all__ = ["faults", "text", "walked"]
