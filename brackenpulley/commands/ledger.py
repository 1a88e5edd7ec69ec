"""The `ledger` commands: inspect, verify, export and resend counted use."""

from __future__ import annotations

import json
import sys
from typing import Annotated, Any

import typer

from ..address import ConfigError
from ..ledger.store import LedgerError, Store
from ..ledger.tally import MICRO_UNITS_PER_UNIT
from .common import ControlAddresses, JsonOutput, call_control, parse_controls, print_result, report_error

app = typer.Typer(no_args_is_help=True, help="Counted use and its export to billing.")
LedgerPath = Annotated[str, typer.Option("--path", help="The ledger's folder, as in the operator's file.")]
PROGRESS_INTERVAL = 500  # entries between updates of the progress bar


def _open_store(path: str, write: bool = False) -> Store:
    try:
        if not path:
            raise LedgerError("--path: not given; the ledger's folder, as in the operator's file")
        if write:
            reader = Store(path)
            name = reader.read_state().ingress
            reader.close()
            return Store(path, name)
        return Store(path)
    except LedgerError as error:
        raise report_error(str(error)) from None


def _start_progress(description: str, total: int) -> tuple[Any, Any]:
    from rich.console import Console
    from rich.progress import Progress

    bar = Progress(console=Console(stderr=True), disable=not sys.stderr.isatty())
    return bar, bar.add_task(description, total=max(1, total))


@app.command("show")
def show_state(
    path: LedgerPath = "",
    control: ControlAddresses = [],  # noqa: B006
    as_json: JsonOutput = False,
) -> None:
    """Show the state of the ledger, from a daemon (--control) or from its folder (--path)."""
    if path:
        store = _open_store(path)
        heads = store.read_state()
        sums = store.read_open_sums()
        found = {
            "ingress": heads.ingress,
            "epoch": heads.epoch,
            "countedUnits": heads.counted_micro_units / MICRO_UNITS_PER_UNIT,
            "tries": heads.charge_count,
            "openUnits": sum(open_sum.units for open_sum in sums.values()) / MICRO_UNITS_PER_UNIT,
            "openSums": len(sums),
            "nextEntry": heads.next_seq,
            "acknowledged": heads.acked_seq,
            "backlog": heads.backlog,
            "firstKept": heads.first_seq,
            "bytes": store.used_bytes(),
        }
        store.close()
    else:
        found = call_control(parse_controls(control)[0], "GET", "/v1/ledger")
    print_result(
        found,
        as_json,
        ["", ""],
        [[name, json.dumps(value) if isinstance(value, dict) else value] for name, value in found.items()],
    )


@app.command()
def entries(
    path: LedgerPath = "",
    first: Annotated[int, typer.Option("--from")] = 1,
    most: int = 20,
    as_json: JsonOutput = False,
) -> None:
    """Print entries from a sequence number on."""
    from ..ledger.files import COLUMNS, csv_row
    from ..ledger.upload import build_event

    store = _open_store(path)
    found = list(store.read_entries(first, most))
    store.close()
    print_result([build_event(entry) for entry in found], as_json, list(COLUMNS), [csv_row(entry) for entry in found])


@app.command()
def verify(path: LedgerPath = "", as_json: JsonOutput = False) -> None:
    """Check the whole store for wrong sums, gaps and entries exported twice. Exit code 1 with the first fault."""
    store = _open_store(path)
    seen, fault = 0, ""
    try:
        heads = store.read_state()
        bar, task = _start_progress("verifying", heads.next_seq - heads.first_seq)
        with bar:
            for found, seen in store.verify():
                if found:
                    fault = found
                    break
                if seen % PROGRESS_INTERVAL == 0:
                    bar.update(task, completed=seen)
    except LedgerError as error:
        raise report_error(str(error)) from None
    finally:
        store.close()
    result = {
        "entries": seen,
        "countedUnits": heads.counted_micro_units / MICRO_UNITS_PER_UNIT,
        "good": not fault,
        "fault": fault or None,
    }
    if fault and not as_json:
        raise report_error(f"ledger: {fault}", 1)
    print_result(
        result,
        as_json,
        ["entries", "counted units", "verdict"],
        [[seen, heads.counted_micro_units / MICRO_UNITS_PER_UNIT, "good"]],
    )
    if fault:
        raise typer.Exit(1)


@app.command()
def export(
    out: Annotated[str, typer.Option("--out", help="Output file; an existing one is continued.")],
    path: LedgerPath = "",
    kind: Annotated[str, typer.Option("--format", help="jsonl or csv.")] = "jsonl",
    first: Annotated[int, typer.Option("--from", help="First entry; default: the first that is kept.")] = 0,
    as_json: JsonOutput = False,
) -> None:
    """Write entries to a file. The same command continues an interrupted export."""
    from ..ledger.files import export as write

    if kind not in ("jsonl", "csv"):
        raise report_error(f"--format: {kind!r} is neither jsonl nor csv")
    store = _open_store(path)
    count = 0
    try:
        heads = store.read_state()
        bar, task = _start_progress("exporting", heads.next_seq - heads.first_seq)
        with bar:
            for count in write(store, out, kind, first or heads.first_seq):
                bar.update(task, completed=count)
    except (LedgerError, OSError) as error:
        raise report_error(str(error), 1) from None
    finally:
        store.close()
    print_result({"file": out, "entries": count}, as_json, ["file", "entries"], [[out, count]])


@app.command()
def push(
    url: Annotated[str, typer.Option(help="URL of billing: http://address:port/path")],
    path: LedgerPath = "",
    batch: int = 100,
    patience: Annotated[float, typer.Option(help="Seconds without an accepted entry after which to give up.")] = 30.0,
    as_json: JsonOutput = False,
) -> None:
    """Send the entries of a stopped daemon to billing, under their original ids."""
    from ..ledger.push import push as send
    from ..operator import parse_billing_url

    try:
        address, target = parse_billing_url(url, "--url")
    except ConfigError as error:
        raise report_error(str(error)) from None
    store = _open_store(path, write=True)
    taken = 0
    try:
        heads = store.read_state()
        bar, task = _start_progress("sending", heads.backlog)
        with bar:
            for taken, _ in send(store, address, target, batch, patience):
                bar.update(task, completed=taken)
    except LedgerError as error:
        raise report_error(str(error), 1) from None
    finally:
        store.close()
    print_result({"taken": taken}, as_json, ["entries taken"], [[taken]])


@app.command()
def replay(
    first: Annotated[int, typer.Option("--from", help="First entry that billing lost.")],
    control: ControlAddresses = [],  # noqa: B006
    path: LedgerPath = "",
    as_json: JsonOutput = False,
) -> None:
    """Send entries again under their original ids, for billing restored from an older backup."""
    if path:
        store = _open_store(path, write=True)
        try:
            heads, _, _, _ = store.recover()
            store.replay(heads, first)
        except LedgerError as error:
            raise report_error(str(error), 1) from None
        finally:
            store.close()
        found: Any = {"acknowledged": heads.acked_seq, "backlog": heads.backlog}
    else:
        found = call_control(parse_controls(control)[0], "POST", "/v1/ledger/replay", {"from": first})
    print_result(found, as_json, ["acknowledged", "to send"], [[found["acknowledged"], found["backlog"]]])
