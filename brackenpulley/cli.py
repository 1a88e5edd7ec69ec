"""The command line."""

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
    help="An ingress that holds customers to their quotas before a shared fleet of sim servers.",
)
Path = Annotated[str, typer.Option("--config", help="The configuration; else the file that BALANCER_CONFIG names.")]


Extra = Annotated[
    str, typer.Option("--operator", envvar="BALANCER_OPERATOR", help="The operator's file, for what is off by default.")
]


def _load(path: str, operator: str) -> Config:
    try:
        return start.configuration(path, operator)
    except ConfigError as error:
        raise _fail(error) from None


def _fail(error: ConfigError) -> typer.Exit:
    print(f"brackenpulley: {error}", file=sys.stderr)
    return typer.Exit(2)


@app.command()
def serve(config: Path = "", operator: Extra = "") -> None:
    """Serve in the foreground until SIGTERM."""
    raise typer.Exit(start.serve({"--config": config, "--operator": operator}))


@app.command("check-config")
def check_config(config: Path = "", operator: Extra = "") -> None:
    """Read the configuration and say whether it can be used."""
    told = _load(config, operator)
    print(
        f"{told.name}: {len(told.settings.classes)} classes, {len(told.settings.plans)} plans, "
        f"listens at {told.listen[0]}:{told.listen[1]}"
    )


@app.command()
def demo(
    seconds: Annotated[float, typer.Option(help="How long traffic is served.")] = 60.0,
    seed: Annotated[int, typer.Option(help="Of the traffic.")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="The summary as JSON.")] = False,
) -> None:
    """One daemon among stand-ins, with no file: traffic, a change of plan, export; exit code 0 if all agree."""
    try:
        from .commands.demo import run
    except ImportError as error:
        raise _fail(ConfigError(f"demo: {error.name} is not installed; see requirements-fleet.txt")) from None
    raise typer.Exit(run(seconds, seed, as_json))


# Of commands, in brackenpulley.commands.
GROUPS = ("control", "fleet", "growth", "ledger", "members", "plans", "reservations")


def main() -> None:
    """Loads the group that is called, or all where only help is wanted: `serve` pays for none of them."""
    called = [word for word in sys.argv[1:2] if word in GROUPS]
    for name in called or (GROUPS if len(sys.argv) < 2 or sys.argv[1] == "--help" else ()):
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
    from importlib import metadata  # costly to load, and no other command has a use for it

    print(f"brackenpulley {__version__}")
    for name in ("httptools", "structlog", "typer"):
        print(f"{name} {metadata.version(name)}")
