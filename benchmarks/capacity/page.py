"""Formats docs/CAPACITY.md from the file of results and the rows, and checks both. Performs no I/O.

The command line in `__main__` uses it."""

from __future__ import annotations

from typing import Any

from .crossings import Crossing, list_crossings, select_deciding, select_next_parts
from .fits import MAX_EXTRAPOLATION
from .load import ASSUMPTIONS, CURRENT_LOAD, TARGET_LOAD, LoadPoint, MeasuredSlopes, compute_spread, select_value
from .needs import MAX_CONTROL_BYTES_PER_S
from .rows import ROLES, ROWS, Row

COLUMNS = (
    "what",
    "grows with",
    "slope measured, at which sizes, by which command",
    "at the size",
    "limit",
    "limit over need",
    "mechanism (module) that carries it",
    "what happens beyond it",
)
NEXT_PARTS_SHOWN = 3  # parts of the program named after the first limit that is exceeded


def format_figure(number: float) -> str:
    """Returns a number with three digits, or with separators of thousands from 1,000 on."""
    if number and not 0.001 <= abs(number) < 1e7:
        return f"{number:.2e}"
    return f"{number:,.0f}" if abs(number) >= 1000 else f"{number:.3g}"


def format_table(head: tuple[str, ...], rows: list[list[str]]) -> list[str]:
    """Returns the lines of a Markdown table; a `|` in a cell becomes `/`."""
    return [
        "| " + " | ".join(head) + " |",
        "| " + " | ".join("---" for _ in head) + " |",
        *("| " + " | ".join(cell.replace("|", "/") for cell in row) + " |" for row in rows),
    ]


def get_kind(row: dict[str, Any]) -> str:
    """Returns the kind of measurement that a slope comes from, as `--only` takes it."""
    return str(row["command"]).rpartition(" ")[2]


def format_slopes(at: LoadPoint, measured: MeasuredSlopes) -> str:
    """Returns the slopes that an estimate used, each with its fit, its sizes and how far it is extrapolated."""
    parts = []
    for key, use in at.used_slopes.items():
        row = measured.rows[key]
        sizes = [p["n"] for p in row["points"]]
        description = (
            f"`{key}` {use.fit.format()} ({get_kind(row)}, {format_figure(min(sizes))} to {format_figure(max(sizes))})"
        )
        if use.is_extrapolated:
            second = measured.find_second_source(key, use.size)
            description += f" **stretched {use.fit.get_extrapolation(use.size):.1f} times**"
            if second is not None:
                description += (
                    f"; second source, {second['source']}: {format_figure(second['value'])} "
                    f"at {format_figure(second['n'])}"
                )
        parts.append(description)
    return "; ".join(parts)


def format_row(row: Row, measured: MeasuredSlopes) -> list[str]:
    """Returns the cells of a row at the target load."""
    limit = row.limit_text + ("" if row.limit_source in ("letter", "issue") else f" ({row.limit_source})")
    if row.need is None:
        return [
            row.what,
            row.grows_with,
            "not measured" if not row.is_missing_today else "nothing to measure: there is none",
            "not measured",
            limit,
            "0: none" if row.is_missing_today else "open",
            row.mechanism,
            row.consequence + (f" ({row.note})" if row.note else ""),
        ]
    at = LoadPoint(measured, 1.0)
    need = row.need(at)
    over = "open" if row.limit is None else format_figure(row.limit / need) if need else "no need"
    return [
        row.what,
        row.grows_with,
        format_slopes(at, measured) or "counting by the code and assumptions",
        f"{format_figure(need)} {row.unit}".strip(),
        limit,
        over,
        row.mechanism,
        row.consequence + (f" ({row.note})" if row.note else ""),
    ]


def list_slopes(measured: MeasuredSlopes) -> list[list[str]]:
    """Returns the cells of each slope: what was measured, its fit, residual and spread."""
    found = []
    for key, row in measured.rows.items():
        slope_fit = measured.fits[key]
        points = ", ".join(
            f"{format_figure(float(p['n']))}: {format_figure(select_value(p, row['take']))}" for p in row["points"]
        )
        found.append(
            [
                f"`{key}`",
                f"{row['what']} ({row['unit']})",
                row["by"],
                points,
                f"{slope_fit.form}: {slope_fit.format()}",
                f"{slope_fit.residual:+.0%}",
                f"{compute_spread(row):.0%}",
                f"{row['source']}, {get_kind(row)}",
            ]
        )
    return found


def format_crossing(one: Crossing) -> str:
    """Returns the fraction of the way to the target load, with the ingresses and servers there."""
    at = f"{one.fraction:.4f}" if one.fraction < 0.01 else f"{one.fraction:.3f}"
    ingresses = CURRENT_LOAD["ingresses"] + one.fraction * (TARGET_LOAD["ingresses"] - CURRENT_LOAD["ingresses"])
    servers = CURRENT_LOAD["servers"] + one.fraction * (TARGET_LOAD["servers"] - CURRENT_LOAD["servers"])
    return f"{at} ({ingresses:.0f}, {servers:.0f})"


def format_walk(measured: MeasuredSlopes, rows: list[Row]) -> list[str]:
    """Returns the lines that say where each limit is exceeded, in order, and what is not measured."""
    found = list_crossings(rows, measured)
    decide = select_deciding(found)
    lines = format_table(
        ("f (ingresses, servers)", "row", "role", "limit", "named by", "mechanism"),
        [
            [
                format_crossing(one),
                one.row.what,
                one.row.role,
                one.row.limit_text,
                one.row.limit_source,
                one.row.mechanism,
            ]
            for one in found
        ],
    )
    if decide:
        first, after = decide[0], select_next_parts(decide, NEXT_PARTS_SHOWN)
        lines += [
            "",
            f"**First: {first.row.what}** (f = {first.fraction:.4f}, mechanism: {first.row.mechanism}). "
            f"{first.row.note or first.row.consequence}.",
        ]
        lines += [
            "",
            "The three next parts, each by its first row: "
            + "; ".join(f"{one.row.part}, {one.row.what} (f = {one.fraction:.4f})" for one in after)
            + ".",
        ]
    open_rows = [row for row in rows if row.need is None and not row.is_missing_today]
    lines += [
        "",
        "Not measured, and so open: " + "; ".join(f"{row.what} ({row.role.lower()})" for row in open_rows) + ".",
    ]
    return lines


HEADING_TEXT = """# Capacity

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
LIMITS_TEXT = """## The walk

From today's days (40 ingresses, 60 servers, 500 requests a second) to the size, every quantity in proportion; `f` is
the part of the line at which a row's limit is passed, by the fits alone.
"""
WHY_TEXT = """\
Why this one: it was the only need of the letter that today's days have already and that nothing in the program
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
SLOPES_TEXT = """## Slopes

Each from a run here, three repeats; 'over' is what the fit leaves at the largest size, 'spread' what repeats differ by,
the median over sizes. Every repeat, its command and its seed stand in the file, and `take`:
whether the median counts, the least, or the most.
"""
HOLLOW_TEXT = """Hollow runs: `python -m benchmarks.capacity --take FILE` reads the output of
`python -m benchmarks.scale --json` into the second sources; `python -m benchmarks.capacity --help` has the form."""


def compare_known(measured: MeasuredSlopes) -> list[list[str]]:
    """Returns figures that were known before this page beside the same as measured here."""

    def at(key: str, size: float) -> float:
        points = {float(p["n"]): select_value(p, measured.rows[key]["take"]) for p in measured.rows[key]["points"]}
        return points[size] if size in points else measured.fits[key].evaluate(size)

    size = TARGET_LOAD["servers"]
    whole = at("list.bytes", size)
    calls = [select_value(p, "median") for p in measured.rows["counter.leased"]["points"]]
    trial = measured.fits["members.trial"]
    return [
        ["bytes of discovery's entry", "172", format_figure(whole / size)],
        ["a whole list of 12,000, MB", "2.06", format_figure(whole / 1e6)],
        ["the same in s of 14 KB a second", "147", format_figure(whole / MAX_CONTROL_BYTES_PER_S)],
        ["the same as part of `MAX_LIST_BYTES`", "half", format_figure(whole / (1 << 22))],
        ["the turn that takes it, ms", "some 64", format_figure(at("list.hold", size))],
        [
            "what is held for it, MB",
            "5.8",
            f"{format_figure(at('list.memory', size))} with the module's records, "
            f"{format_figure(at('list.highest', size))} at the highest point",
        ],
        [
            "a message in the module at 1,000 and at 12,000, us",
            "34, 88",
            f"{format_figure(at('module.message', 1000.0))}, {format_figure(at('module.message', size))}",
        ],
        ["44,000 firms met once, MB", "28", format_figure(at("tenants.memory", TARGET_LOAD["tenants"]))],
        [
            "counter calls a try of leased firms",
            "1.2 to 1.5",
            f"{format_figure(min(calls))} to {format_figure(max(calls))}, by tries a second",
        ],
        [
            "`benchmarks.membership --sizes 890`",
            "does not end in four minutes",
            f"joining alone takes {format_figure(trial.evaluate(TARGET_LOAD['ingresses']))} s of processor time by the "
            f"fit ({trial.format()}, "
            f"which leaves {trial.residual:+.0%} over: it grows faster) and is done three times; `Protocol._is_alive` "
            "compares each new member with all that are known; `TransmitQueue.take` sorts nothing any more, it walks "
            "the order that is kept and puts back what has to be told again (still the first two of a profile of 200 "
            "that join)",
        ],
        [
            "what carries a changed configuration to all",
            "nothing",
            "`configuration/`, where `[configuration]` is on; on the platform nothing",
        ],
        ["what knows a service, a route or a region", "nothing", "nothing"],
    ]


def format_page(results: dict[str, Any], rows: list[Row] = ROWS) -> str:
    """Returns the text of docs/CAPACITY.md."""
    measured = MeasuredSlopes(results)
    lines = [HEADING_TEXT.format(stick=format_figure(results.get("yardstick", 0.0)), far=MAX_EXTRAPOLATION)]
    for role in ROLES:
        lines += [
            f"## {role}",
            "",
            *format_table(COLUMNS, [format_row(row, measured) for row in rows if row.role == role]),
            "",
        ]
    lines += [LIMITS_TEXT, *format_walk(measured, rows), "", WHY_TEXT, SLOPES_TEXT]
    lines += [
        *format_table(
            ("slope", "what", "by", "measured", "fit", "over", "spread", "source, kind"), list_slopes(measured)
        ),
        "",
    ]
    second = results.get("source2", [])
    if second:
        lines += [
            "## Second sources",
            "",
            *format_table(
                ("slope", "source", "at", "value", "by the fit", "how"),
                [
                    [
                        f"`{row['key']}`",
                        row["source"],
                        format_figure(row["n"]),
                        format_figure(row["value"]),
                        format_figure(measured.fits[row["key"]].evaluate(row["n"]))
                        if row["key"] in measured.fits
                        else "",
                        row["how"],
                    ]
                    for row in second
                ],
            ),
            "",
        ]
    lines += [
        "## Known before, measured again",
        "",
        *format_table(("what", "known", "here"), compare_known(measured)),
        "",
    ]
    lines += [
        "## Assumptions",
        "",
        *format_table(
            ("figure", "what", "why"),
            [[format_figure(number), what, reason] for number, what, reason in ASSUMPTIONS.values()],
        ),
        "",
        HOLLOW_TEXT,
        "",
    ]
    return "\n".join(lines)


def find_faults(results: dict[str, Any], page: str, rows: list[Row] = ROWS) -> list[str]:
    """Returns the faults that `--check` reports, one line each.

    These are a row without a limit or mechanism, an extrapolated fit without a second source, a page that differs from
    the file, and a file that cannot be read as results."""
    found = []
    for row in rows:
        if not row.limit_text or row.limit is None:
            found.append(f"{row.role}: {row.what}: no limit")
        if not row.mechanism:
            found.append(f"{row.role}: {row.what}: neither a mechanism nor 'none'")
    try:
        measured = MeasuredSlopes(results)
        for row in rows:
            if row.need is None:
                continue
            at = LoadPoint(measured, 1.0)
            row.need(at)
            for key, use in at.used_slopes.items():
                if use.is_extrapolated and measured.find_second_source(key, use.size) is None:
                    times = use.fit.get_extrapolation(use.size)
                    found.append(f"{row.role}: {row.what}: {key} is stretched {times:.1f} times, no second source")
        if format_page(results, rows) != page:
            found.append("docs/CAPACITY.md and benchmarks/capacity.json differ: python -m benchmarks.capacity --page")
    except (KeyError, ValueError, TypeError) as error:
        found.append(f"benchmarks/capacity.json: {type(error).__name__}: {error}")
    return found


__all__ = ["find_faults", "format_page", "format_walk"]
