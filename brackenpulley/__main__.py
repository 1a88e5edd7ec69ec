"""Entry point of `python -m brackenpulley`; `serve` skips the command-line libraries."""

import sys

from .start import parse_serve_options, serve

if __name__ == "__main__":
    if (options := parse_serve_options(sys.argv[1:])) is not None:
        raise SystemExit(serve(options))
    from .cli import main

    main()
