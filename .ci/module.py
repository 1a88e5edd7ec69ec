"""The operators' limits on the decision module, over all files that `policy` in the deploy file names."""

import pathlib
import sys
import tomllib

MOST, WIDEST = 500, 110  # non-blank lines in all files together; columns of a line


def main(deploy: pathlib.Path) -> str:
    """What is wrong, or nothing."""
    files = tomllib.loads(deploy.read_text())["policy"]
    root = deploy.resolve().parent.parent
    lines = [(name, number, line) for name in files
             for number, line in enumerate((root / name).read_text().splitlines(), 1) if line.strip()]
    wide = [f"{name}:{number}: over {WIDEST} columns" for name, number, line in lines if len(line) > WIDEST]
    if len(lines) > MOST:
        wide.append(f"{', '.join(files)}: {len(lines)} non-blank lines together, {MOST} at most")
    return "\n".join(wide)


if __name__ == "__main__":
    sys.exit(main(pathlib.Path(sys.argv[1])) or 0)
