"""python -m brackenpulley"""

import sys

from .start import plain, serve

if __name__ == "__main__":
    if (options := plain(sys.argv[1:])) is not None:
        raise SystemExit(serve(options))
    from .cli import main

    main()
