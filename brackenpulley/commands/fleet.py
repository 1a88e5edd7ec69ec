"""fleet run|check|status|start|stop|restart|reload|scale|logs|detach|reap: a host group's instances.

Each takes the fleet's description; all but `run`, `check` and `reap` speak with its supervisor's control socket."""

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
from ..control.client import Control, ControlError
from ..fleet.spec import Fleet, load
from .common import JsonOutput, call_control, print_result, report_error

app = typer.Typer(no_args_is_help=True, help="A host group's instances under one supervisor.")
File = Annotated[str, typer.Argument(help="The fleet's description, TOML; see deploy/fleet-group.toml.")]
Some = Annotated[str, typer.Option("--instances", help="For example 3,5-8; all where it is not given.")]
Wait = Annotated[float, typer.Option(help="s to wait for the end; 0 = not at all.")]
SETTLED = ("ready", "down", "crashed")


def _spec(file: str) -> Fleet:
    try:
        return load(file)
    except ConfigError as error:
        raise report_error(str(error)) from None


def _control(file: str) -> Control:
    return Control(f"unix:{_spec(file).control}")


def numbers(text: str) -> list[int] | None:
    """'3,5-8' as [3, 5, 6, 7, 8]; none for nothing. Raises ValueError."""
    if not text:
        return None
    found: list[int] = []
    for part in text.split(","):
        first, dash, last = part.strip().partition("-")
        if not first.isdigit() or dash and not (last.isdigit() and int(first) <= int(last) <= int(first) + 1000):
            raise ValueError(part)
        found += range(int(first), int(last if dash else first) + 1)
    return found


def _body(text: str, **more: Any) -> dict[str, Any]:
    try:
        return {"instances": numbers(text), **more}
    except ValueError as error:
        raise report_error(f"--instances: {str(error)!r} is no number and no range") from None


@app.command()
def run(file: File) -> None:
    """Start the fleet and stay in the foreground; SIGTERM stops it in order, SIGHUP takes its files anew.

    A supervisor that was killed leaves its instances serving: the next `run` takes them over."""
    spec = _spec(file)
    from ..fleet.run import supervise

    try:
        code = supervise(file, spec)
    except ConfigError as error:
        raise report_error(str(error)) from None
    raise typer.Exit(code)


@app.command()
def check(file: File, as_json: JsonOutput = False) -> None:
    """Whether each instance could start with this description and its files."""
    spec = _spec(file)
    from ..fleet.files import Base

    try:
        Base.read(spec)
    except ConfigError as error:
        raise report_error(str(error)) from None
    at = spec.listens()
    found = {
        "fleet": spec.fleet.name,
        "instances": spec.fleet.instances,
        "addresses": len(at),
        "first": f"{at[0][0]}:{at[0][1]}",
    }
    print_result(found, as_json, list(found), [list(found.values())])


def _health(row: dict[str, Any]) -> list[Any]:
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
def status(file: File, as_json: JsonOutput = False) -> None:
    """Each instance: its state, process, part and health. Exit code 3 where fewer are ready than wanted."""
    found = call_control(_control(file), "GET", "/v1/fleet")
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
                *_health(row),
                row["why"],
            ]
            for row in found["places"]
        ],
        f"fleet {found['fleet']}: {found['ready']} of {wanted} ready; supervisor {found['pid']}, up "
        f"{found['upSeconds']:.0f} s",
    )
    if found["ready"] < wanted:
        raise typer.Exit(3)


def _wait(control: Control, wait: float, over: Callable[[dict[str, Any]], bool], what: str) -> dict[str, Any]:
    """Until it is over, with a bar in a terminal. Exit 1 where the time is."""
    from rich.console import Console
    from rich.progress import Progress

    end = time.monotonic() + wait
    with Progress(console=Console(stderr=True), disable=not sys.stderr.isatty()) as progress:
        task = progress.add_task(what, total=None)
        while True:
            found: dict[str, Any] = call_control(control, "GET", "/v1/fleet")
            rolling = found["rolling"]
            done, total = found["ready"], found["instances"]
            if rolling and not rolling["over"]:
                done = len(rolling["done"])
                total = done + len(rolling["left"]) + len(rolling["underWay"])
            progress.update(task, completed=done, total=total)
            if over(found):
                return found
            if time.monotonic() > end:
                raise report_error(f"{what}: not over after {wait:g} s; see `fleet status`", 1)
            time.sleep(0.1)


def _settled(found: dict[str, Any]) -> bool:
    return all(row["state"] in SETTLED for row in found["places"])


def _brief(control: Control, wait: float, over: Callable[[dict[str, Any]], bool], what: str, as_json: bool) -> None:
    """How the fleet stands once that is over, or now where nobody waits."""
    found = _wait(control, wait, over, what) if wait else call_control(control, "GET", "/v1/fleet")
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
def start(file: File, instances: Some = "", wait: Wait = 60.0, as_json: JsonOutput = False) -> None:
    """Start what is stopped, or was given up as a crash loop."""
    control = _control(file)
    call_control(control, "POST", "/v1/fleet/start", _body(instances))
    _brief(control, wait, _settled, "start", as_json)


@app.command()
def stop(
    file: File,
    instances: Some = "",
    everything: Annotated[bool, typer.Option("--supervisor", help="The supervisor too, once all are down.")] = False,
    wait: Wait = 60.0,
    as_json: JsonOutput = False,
) -> None:
    """Stop in order: /ready says no, SIGTERM, and SIGKILL after the deadline."""
    control = _control(file)
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
    call_control(control, "POST", "/v1/fleet/stop", _body(instances))
    _brief(control, wait, _settled, "stop", as_json)


@app.command()
def restart(
    file: File,
    instances: Some = "",
    at_once: Annotated[int, typer.Option(help="Instances that are away at the same time.")] = 1,
    wait: Wait = 600.0,
    as_json: JsonOutput = False,
) -> None:
    """A few at a time, each back and noticed by the front before the next goes. Stops where one does not come back:
    what is left runs as before, and exit code 1 says so."""
    control = _control(file)
    call_control(control, "POST", "/v1/fleet/restart", _body(instances, atOnce=at_once))
    if not wait:
        return
    found = _wait(control, wait, lambda found: bool(found["rolling"]["over"]), "restart")["rolling"]
    print_result(
        found,
        as_json,
        ["restarted", "left as they were", "failed"],
        [[len(found["done"]), ", ".join(map(str, found["left"])), found["failed"]]],
    )
    if found["failed"]:
        raise typer.Exit(1)


@app.command()
def reload(file: File, wait: Wait = 10.0, as_json: JsonOutput = False) -> None:
    """Take the description and its files anew. All instances do, or none, and one line says why."""
    control = _control(file)
    call_control(control, "POST", "/v1/fleet/reload", {})
    found = _wait(control, wait, lambda found: not found["reloading"], "reload")
    if found["reloadFailed"]:
        raise report_error(f"reload: {found['reloadFailed']}; nobody has changed", 1)
    old = [row["instance"] for row in found["places"] if row["old"]]
    print_result(
        {"reloaded": True, "oldUntilRestarted": old},
        as_json,
        ["reloaded", "old until restarted"],
        [["yes", ", ".join(map(str, old))]],
    )


@app.command()
def scale(file: File, instances: int, wait: Wait = 120.0, as_json: JsonOutput = False) -> None:
    """So many instances from now on, kept for the next supervisor; the highest numbers go first."""
    control = _control(file)
    call_control(control, "POST", "/v1/fleet/scale", {"instances": instances})

    def over(found: dict[str, Any]) -> bool:
        return _settled(found) and len(found["places"]) == instances

    _brief(control, wait, over, "scale", as_json)


@app.command()
def logs(
    file: File,
    instance: Annotated[int, typer.Option(help="Of this one alone.")] = -1,
    follow: Annotated[bool, typer.Option("--follow", "-f", help="Go on with what comes.")] = False,
    lines: Annotated[int, typer.Option(help="To look back on.")] = 50,
    as_json: JsonOutput = False,
) -> None:
    """The instances' lines in one stream, each with its instance and process."""
    import json

    control = _control(file)
    which = f"&instance={instance}" if instance >= 0 else ""
    path = f"/v1/fleet/logs?most={lines}{which}"
    while True:
        found = call_control(control, "GET", path)
        if found["missed"]:
            print(f"brackenpulley: {found['missed']} lines were let go before they were read", file=sys.stderr)
        for line in found["lines"]:
            print(json.dumps(line) if as_json else line["text"], flush=True)
        if not follow:
            return
        path = f"/v1/fleet/logs?most=2000&after={found['last']}{which}"
        if not found["lines"]:
            time.sleep(0.25)


@app.command()
def detach(file: File, as_json: JsonOutput = False) -> None:
    """End the supervisor alone, for a new version of it: the instances go on, and the next `fleet run` has them."""
    print_result(call_control(_control(file), "POST", "/v1/fleet/detach", {}), as_json)


@app.command()
def reap(
    file: File, deadline: Annotated[float, typer.Option(help="s until SIGKILL.")] = 15.0, as_json: JsonOutput = False
) -> None:
    """End what a supervisor that is gone left behind. Not while one runs."""
    spec = _spec(file)
    from ..fleet.process import search
    from ..lock import FileLock

    try:
        lock = FileLock(Path(spec.fleet.run) / "lock", "fleet reap", ConfigError)
    except ConfigError as error:
        raise report_error(str(error), 1) from None
    except FileNotFoundError:
        raise report_error(f"fleet.run: {spec.fleet.run}: no fleet has run there", 1) from None
    found = search(Path(spec.fleet.run))
    for number in (signal.SIGTERM, signal.SIGKILL):
        for one in search(Path(spec.fleet.run)):
            with contextlib.suppress(ProcessLookupError):
                os.kill(one.pid, number)
        end = time.monotonic() + deadline
        while search(Path(spec.fleet.run)) and time.monotonic() < end:
            time.sleep(0.05)
    lock.close()
    rows = [{"instance": one.place, "pid": one.pid} for one in found]
    print_result(rows, as_json, ["ended instance", "pid"], [[row["instance"], row["pid"]] for row in rows])
