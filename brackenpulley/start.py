"""The way in for `serve` as the platform starts it: nothing of the command line is loaded for it.

The command line's libraries cost more CPU to load than all of the daemon, and an ingress that was killed serves nobody
until it is up. Whatever is not plainly `serve` with its two options goes to the command line as before."""

from __future__ import annotations

import contextlib
import os
import sys
from collections.abc import Iterator, Sequence

from .address import ConfigError
from .config import Config, load

OPTIONS = ("--config", "--operator")


def plain(words: Sequence[str]) -> dict[str, str] | None:
    """The options of a plain `serve`; None where the command line has to read these words."""
    if not words or words[0] != "serve":
        return None
    found: dict[str, str] = {}
    rest = list(words[1:])
    while rest:
        name, equals, value = rest.pop(0).partition("=")
        if name not in OPTIONS or name in found or not equals and not rest:
            return None
        found[name] = value if equals else rest.pop(0)
    return found


@contextlib.contextmanager
def without(*names: str) -> Iterator[None]:
    """These libraries are not there for whoever would load them if they were."""
    for name in names:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    try:
        yield
    finally:
        for name in names:
            if sys.modules[name] is None:
                del sys.modules[name]


def configuration(path: str, operator: str) -> Config:
    """`path` and `operator` as the options name them, else the environment. Raises ConfigError."""
    path = path or os.environ.get("BALANCER_CONFIG", "")
    if not path:
        raise ConfigError("BALANCER_CONFIG: not set, and no --config given")
    return load(path, operator or os.environ.get("BALANCER_OPERATOR", ""))


def serve(options: dict[str, str]) -> int:
    """Until SIGTERM; the exit code. What is wrong with the configuration is one line on standard error, and 2."""
    try:
        told = configuration(options.get("--config", ""), options.get("--operator", ""))
        with without("rich"):  # structlog would load it for terminals, which the log is not written to
            from .serve import serve as run
        run(told)
    except ConfigError as error:
        print(f"brackenpulley: {error}", file=sys.stderr)
        return 2
    return 0
