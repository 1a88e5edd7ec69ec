"""The `fleet` commands: run and control the instances of a host group.

Each takes the fleet's description; all but `run`, `check` and `reap` call the control socket of its supervisor."""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import typer

from ..address import ConfigError
from ..control.client import ControlClient, ControlError
from ..fleet.spec import Fleet, load
from .common import JsonOutput, call_control, print_result, report_error

app = typer.Typer(no_args_is_help=True, help="A host group's instances under one supervisor.")
FleetFile = Annotated[str, typer.Argument(help="The fleet's description, TOML; see deploy/fleet-group.toml.")]
InstanceRanges = Annotated[str, typer.Option("--instances", help="Instances, for example 3,5-8; default: all.")]
WaitSeconds = Annotated[float, typer.Option(help="Seconds to wait for completion; 0 = return at once.")]
SETTLED_STATES = ("ready", "down", "crashed")


def _load_fleet(file: str) -> Fleet:
    try:
        return load(file)
    except ConfigError as error:
        raise report_error(str(error)) from None


def _supervisor_control(file: str) -> ControlClient:
    return ControlClient(f"unix:{_load_fleet(file).control}")


def parse_instance_ranges(text: str) -> list[int] | None:
    """Parses '3,5-8' as [3, 5, 6, 7, 8] and an empty text as None. Raises ValueError with the invalid part."""
    if not text:
        return None
    found: list[int] = []
    for part in text.split(","):
        first, dash, last = part.strip().partition("-")
        if not first.isdigit() or dash and not (last.isdigit() and int(first) <= int(last) <= int(first) + 1000):
            raise ValueError(part)
        found += range(int(first), int(last if dash else first) + 1)
    return found


def _instances_body(text: str, **fields: Any) -> dict[str, Any]:
    try:
        return {"instances": parse_instance_ranges(text), **fields}
    except ValueError as error:
        raise report_error(f"--instances: {str(error)!r} is neither a number nor a range such as 5-8") from None


@app.command()
def run(file: FleetFile) -> None:
    """Start the fleet in the foreground; SIGTERM stops it in order, SIGHUP reloads its files.

    A supervisor that was killed leaves its instances serving: the next `run` adopts them."""
    spec = _load_fleet(file)
    from ..fleet.run import supervise

    try:
        code = supervise(file, spec)
    except ConfigError as error:
        raise report_error(str(error)) from None
    raise typer.Exit(code)


@app.command()
def check(file: FleetFile, as_json: JsonOutput = False) -> None:
    """Check that every instance can start with this description and its files."""
    spec = _load_fleet(file)
    from ..fleet.files import SharedConfig

    try:
        SharedConfig.read(spec)
    except ConfigError as error:
        raise report_error(str(error)) from None
    listen_addresses = spec.parse_listen_addresses()
    found = {
        "fleet": spec.fleet.name,
        "instances": spec.fleet.instances,
        "addresses": len(listen_addresses),
        "first": f"{listen_addresses[0][0]}:{listen_addresses[0][1]}",
    }
    print_result(found, as_json, list(found), [list(found.values())])


def _health_cells(row: dict[str, Any]) -> list[Any]:
    health = row["health"]
    if not health:
        return ["", "", "", "", ""]
    return [
        f"{health['lagMs']:g}",
        f"{health['descriptors']}/{health['mostDescriptors']}",
        f"{health['memoryMb']:.0f}/{health['mostMemoryMb']:.0f}",
        "" if health["listSeconds"] is None else f"{health['listSeconds']:.1f}",
        "; ".join(health["troubles"]),
    ]


@app.command()
def status(file: FleetFile, as_json: JsonOutput = False) -> None:
    """Show the state, process, share and health of each instance. Exit code 3 if fewer are ready than wanted."""
    found = call_control(_supervisor_control(file), "GET", "/v1/fleet")
    wanted = sum(row["instance"] not in found["stopped"] for row in found["places"])
    print_result(
        found,
        as_json,
        [
            "n",
            "state",
            "for s",
            "pid",
            "listen",
            "restarts",
            "1 of",
            "lag ms",
            "descriptors",
            "MB",
            "list s",
            "troubles",
            "why",
        ],
        [
            [
                row["instance"],
                row["state"] + (" (old settings)" if row["old"] else ""),
                f"{row['seconds']:.0f}",
                row["pid"],
                row["listen"],
                row["restarts"],
                row["sharing"],
                *_health_cells(row),
                row["why"],
            ]
            for row in found["places"]
        ],
        f"fleet {found['fleet']}: {found['ready']} of {wanted} ready; supervisor {found['pid']}, up "
        f"{found['upSeconds']:.0f} s",
    )
    if found["ready"] < wanted:
        raise typer.Exit(3)


def _wait_until(
    control: ControlClient, wait: float, is_finished: Callable[[dict[str, Any]], bool], action: str
) -> dict[str, Any]:
    """Polls the supervisor until the action is finished, with a progress bar in a terminal.

    Returns the last status; raises typer.Exit(1) after `wait` seconds."""
    from rich.console import Console
    from rich.progress import Progress

    end = time.monotonic() + wait
    with Progress(console=Console(stderr=True), disable=not sys.stderr.isatty()) as progress:
        task = progress.add_task(action, total=None)
        while True:
            found: dict[str, Any] = call_control(control, "GET", "/v1/fleet")
            roll = found["rolling"]
            done, total = found["ready"], found["instances"]
            if roll and not roll["over"]:
                done = len(roll["done"])
                total = done + len(roll["left"]) + len(roll["underWay"])
            progress.update(task, completed=done, total=total)
            if is_finished(found):
                return found
            if time.monotonic() > end:
                raise report_error(f"{action}: not finished after {wait:g} s; see `fleet status`", 1)
            time.sleep(0.1)


def _is_settled(found: dict[str, Any]) -> bool:
    return all(row["state"] in SETTLED_STATES for row in found["places"])


def _print_summary(
    control: ControlClient, wait: float, is_finished: Callable[[dict[str, Any]], bool], action: str, as_json: bool
) -> None:
    """Prints the state of the fleet after the action, or the current one if `wait` is 0."""
    found = _wait_until(control, wait, is_finished, action) if wait else call_control(control, "GET", "/v1/fleet")
    rows = {
        "ready": found["ready"],
        "instances": found["instances"],
        "stopped": found["stopped"],
        "crashed": [row["instance"] for row in found["places"] if row["state"] == "crashed"],
    }
    print_result(rows, as_json, list(rows), [list(rows.values())])
    if rows["crashed"]:
        raise typer.Exit(1)


@app.command()
def start(
    file: FleetFile, instances: InstanceRanges = "", wait: WaitSeconds = 60.0, as_json: JsonOutput = False
) -> None:
    """Start instances that are stopped or were given up after a crash loop."""
    control = _supervisor_control(file)
    call_control(control, "POST", "/v1/fleet/start", _instances_body(instances))
    _print_summary(control, wait, _is_settled, "start", as_json)


@app.command()
def stop(
    file: FleetFile,
    instances: InstanceRanges = "",
    everything: Annotated[
        bool, typer.Option("--supervisor", help="Stop the supervisor too, once all instances are down.")
    ] = False,
    wait: WaitSeconds = 60.0,
    as_json: JsonOutput = False,
) -> None:
    """Stop in order: /ready reports not ready, then SIGTERM, and SIGKILL after the deadline."""
    control = _supervisor_control(file)
    if everything:
        found = call_control(control, "POST", "/v1/fleet/end", {})
        end = time.monotonic() + wait
        while time.monotonic() < end:
            try:
                control.call("GET", "/v1/fleet")
            except ControlError as error:
                if error.status == 0:
                    break
            time.sleep(0.1)
        print_result(found, as_json)
        return
    call_control(control, "POST", "/v1/fleet/stop", _instances_body(instances))
    _print_summary(control, wait, _is_settled, "stop", as_json)


@app.command()
def restart(
    file: FleetFile,
    instances: InstanceRanges = "",
    at_once: Annotated[int, typer.Option(help="Instances restarted at the same time.")] = 1,
    wait: WaitSeconds = 600.0,
    as_json: JsonOutput = False,
) -> None:
    """Restart in turns; each instance is ready, and known to the load balancer in front, before the next one starts.

    Stops at an instance that does not become ready: the rest runs as before, and the exit code is 1."""
    control = _supervisor_control(file)
    call_control(control, "POST", "/v1/fleet/restart", _instances_body(instances, atOnce=at_once))
    if not wait:
        return
    found = _wait_until(control, wait, lambda found: bool(found["rolling"]["over"]), "restart")["rolling"]
    print_result(
        found,
        as_json,
        ["restarted", "left as they were", "failed"],
        [[len(found["done"]), ", ".join(map(str, found["left"])), found["failed"]]],
    )
    if found["failed"]:
        raise typer.Exit(1)


@app.command()
def reload(file: FleetFile, wait: WaitSeconds = 10.0, as_json: JsonOutput = False) -> None:
    """Reload the description and its files, on all instances or on none; an error names the reason."""
    control = _supervisor_control(file)
    call_control(control, "POST", "/v1/fleet/reload", {})
    found = _wait_until(control, wait, lambda found: not found["reloading"], "reload")
    if found["reloadFailed"]:
        raise report_error(f"reload: {found['reloadFailed']}; no instance was changed", 1)
    old = [row["instance"] for row in found["places"] if row["old"]]
    print_result(
        {"reloaded": True, "oldUntilRestarted": old},
        as_json,
        ["reloaded", "old until restarted"],
        [["yes", ", ".join(map(str, old))]],
    )


@app.command()
def scale(file: FleetFile, instances: int, wait: WaitSeconds = 120.0, as_json: JsonOutput = False) -> None:
    """Set the number of instances, also for later supervisors; the highest numbers are removed first."""
    control = _supervisor_control(file)
    call_control(control, "POST", "/v1/fleet/scale", {"instances": instances})

    def is_finished(found: dict[str, Any]) -> bool:
        return _is_settled(found) and len(found["places"]) == instances

    _print_summary(control, wait, is_finished, "scale", as_json)


@app.command()
def logs(
    file: FleetFile,
    instance: Annotated[int, typer.Option(help="Only lines of this instance.")] = -1,
    follow: Annotated[bool, typer.Option("--follow", "-f", help="Keep printing new lines.")] = False,
    lines: Annotated[int, typer.Option(help="Number of recent lines to print first.")] = 50,
    as_json: JsonOutput = False,
) -> None:
    """Print the log lines of all instances as one stream, each with its instance and process."""
    import json

    control = _supervisor_control(file)
    which = f"&instance={instance}" if instance >= 0 else ""
    path = f"/v1/fleet/logs?most={lines}{which}"
    while True:
        found = call_control(control, "GET", path)
        if found["missed"]:
            print(f"brackenpulley: {found['missed']} lines were dropped before they were read", file=sys.stderr)
        for line in found["lines"]:
            print(json.dumps(line) if as_json else line["text"], flush=True)
        if not follow:
            return
        path = f"/v1/fleet/logs?most=2000&after={found['last']}{which}"
        if not found["lines"]:
            time.sleep(0.25)


@app.command()
def detach(file: FleetFile, as_json: JsonOutput = False) -> None:
    """Stop only the supervisor, for instance to upgrade it; the next `fleet run` adopts the running instances."""
    print_result(call_control(_supervisor_control(file), "POST", "/v1/fleet/detach", {}), as_json)


@app.command()
def reap(
    file: FleetFile,
    deadline: Annotated[float, typer.Option(help="Seconds until SIGKILL.")] = 15.0,
    as_json: JsonOutput = False,
) -> None:
    """Stop the instances that a dead supervisor left running. Fails while a supervisor runs."""
    spec = _load_fleet(file)
    from ..fleet.process import find_processes
    from ..lock import FileLock

    try:
        lock = FileLock(Path(spec.fleet.run) / "lock", "fleet reap", ConfigError)
    except ConfigError as error:
        raise report_error(str(error), 1) from None
    except FileNotFoundError:
        raise report_error(f"fleet.run: {spec.fleet.run}: no fleet has run there", 1) from None
    found = find_processes(Path(spec.fleet.run))
    for signal_number in (signal.SIGTERM, signal.SIGKILL):
        for process in find_processes(Path(spec.fleet.run)):
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal_number)
        end = time.monotonic() + deadline
        while find_processes(Path(spec.fleet.run)) and time.monotonic() < end:
            time.sleep(0.05)
    lock.close()
    rows = [{"instance": process.number, "pid": process.pid} for process in found]
    print_result(rows, as_json, ["ended instance", "pid"], [[row["instance"], row["pid"]] for row in rows])
