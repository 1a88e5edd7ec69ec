"""Entry point of `serve` that does without the command-line libraries.

Loading them takes more CPU time than loading all of the daemon, and an ingress that is restarted after a crash serves
nobody until it is up. Any command line that is not just `serve` with its two options is left to the `cli` module.
"""

from __future__ import annotations

import contextlib
import os
import sys
from collections.abc import Iterator, Sequence

from .address import ConfigError
from .config import Config, load

SERVE_OPTIONS = ("--config", "--operator")


def parse_serve_options(words: Sequence[str]) -> dict[str, str] | None:
    """Return the options of a `serve` command line by name, or None where the `cli` module has to parse it."""
    if not words or words[0] != "serve":
        return None
    found: dict[str, str] = {}
    rest = list(words[1:])
    while rest:
        name, equals, value = rest.pop(0).partition("=")
        if name not in SERVE_OPTIONS or name in found or not equals and not rest:
            return None
        found[name] = value if equals else rest.pop(0)
    return found


@contextlib.contextmanager
def hide_modules(*names: str) -> Iterator[None]:
    """Make importing these modules raise ImportError within the block, unless they are loaded already.

    Libraries with optional dependencies then go without them.
    """
    for name in names:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    try:
        yield
    finally:
        for name in names:
            if sys.modules[name] is None:
                del sys.modules[name]


def load_configuration(path: str, operator: str) -> Config:
    """Load the files at `path` and `operator`; an empty one is taken from the environment.

    Raises ConfigError where no configuration is named or a file cannot be used.
    """
    path = path or os.environ.get("BALANCER_CONFIG", "")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set, and no --config given")
    return load(path, operator or os.environ.get("BALANCER_OPERATOR", ""))


def serve(options: dict[str, str]) -> int:
    """Run an ingress until SIGTERM and return the exit code.

    An unusable configuration is reported as one line on standard error, with exit code 2.
    """
    try:
        config = load_configuration(options.get("--config", ""), options.get("--operator", ""))
        with hide_modules("rich"):  # structlog loads it for output to terminals, which the log never goes to
            from .serve import serve as run
        run(config)
    except ConfigError as error:
        print(f"brackenpulley: {error}", file=sys.stderr)
        return 2
    return 0
