"""The command line, built with Typer. Groups of commands are in `commands`, each loaded only when it is called."""

from __future__ import annotations

import importlib
import sys
from typing import Annotated

import typer

from . import __version__, start
from .address import ConfigError
from .config import Config

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="An ingress that enforces firms' quotas in front of a shared fleet of sim servers.",
)
ConfigPath = Annotated[
    str, typer.Option("--config", help="The configuration; else the file that BALANCER_CONFIG names.")
]
OperatorPath = Annotated[
    str,
    typer.Option(
        "--operator", envvar="BALANCER_OPERATOR", help="The operator's file, which switches on optional parts."
    ),
]


def _load(path: str, operator: str) -> Config:
    try:
        return start.load_configuration(path, operator)
    except ConfigError as error:
        raise _fail(error) from None


def _fail(error: ConfigError) -> typer.Exit:
    print(f"brackenpulley: {error}", file=sys.stderr)
    return typer.Exit(2)


@app.command()
def serve(config: ConfigPath = "", operator: OperatorPath = "") -> None:
    """Serve in the foreground until SIGTERM."""
    raise typer.Exit(start.serve({"--config": config, "--operator": operator}))


@app.command("check-config")
def check_config(config: ConfigPath = "", operator: OperatorPath = "") -> None:
    """Read the configuration and check whether it can be used."""
    loaded = _load(config, operator)
    print(
        f"{loaded.name}: {len(loaded.settings.classes)} classes, {len(loaded.settings.plans)} plans, "
        f"listens at {loaded.listen[0]}:{loaded.listen[1]}"
    )


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(help="Seconds for which traffic is served.")] = 60.0,
    seed: Annotated[int, typer.Option(help="Seed of the random traffic.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="Print the summary as JSON.")] = False,
) -> None:
    """Run one ingress among simulated clients and servers: traffic, a plan change, an export; exits 0 if all agree."""
    try:
        from .commands.demo import run
    except ImportError as error:
        raise _fail(ConfigError(f"demo: {error.name} is not installed; see requirements-fleet.txt")) from None
    raise typer.Exit(run(seconds, seed, as_json))


# Groups of commands: each one is a module of `commands`.
COMMAND_GROUPS = ("control", "fleet", "growth", "ledger", "members", "plans", "reservations")


def main() -> None:
    """Run the command line. Only the group that is called is loaded, or all of them for the help text."""
    called = [word for word in sys.argv[1:2] if word in COMMAND_GROUPS]
    for name in called or (COMMAND_GROUPS if len(sys.argv) < 2 or sys.argv[1] == "--help" else ()):
        try:
            app.add_typer(importlib.import_module(f".commands.{name}", __package__).app, name=name)
        except ImportError as error:
            if called:
                raise SystemExit(
                    f"brackenpulley: {name}: {error.name} is not installed; see requirements-fleet.txt"
                ) from None
    app(prog_name="brackenpulley")


@app.command()
def version() -> None:
    """Print the version, and those of the libraries it runs on."""
    from importlib import metadata  # slow to import, and no other command needs it

    print(f"brackenpulley {__version__}")
    for name in ("httptools", "structlog", "typer"):
        print(f"{name} {metadata.version(name)}")
