"""Decides whether the failed tests of a run are all recorded in KNOWN-RED.txt, and prints those entries.

Called by .ci/run after pytest with its exit code: `known_red.py CODE`. Each line of KNOWN-RED.txt that is not empty
and no comment begins with a test's id, then ` | ` and what is known of it. Exits 0 only where pytest ended with failed
tests alone and each of them is recorded; in every other case with pytest's own exit code."""

import json
import pathlib
import sys

TESTS_FAILED = 1  # pytest's exit code
ROOT = pathlib.Path(__file__).resolve().parent.parent
LAST_FAILED = pathlib.Path(".pytest_cache/v/cache/lastfailed")


def read_entries(path: pathlib.Path) -> dict[str, str]:
    """The entries of the file by test id; none where the file does not exist."""
    lines = path.read_text().splitlines() if path.is_file() else []
    entries = [line.strip() for line in lines if line.strip() and not line.startswith("#")]
    return {line.partition(" | ")[0]: line for line in entries}


def main(root: pathlib.Path, exit_code: int) -> int:
    """The exit code of the run; see the module's docstring."""
    if exit_code != TESTS_FAILED or not (root / LAST_FAILED).is_file():
        return exit_code
    failed = set(json.loads((root / LAST_FAILED).read_text()))
    entries = read_entries(root / "KNOWN-RED.txt")
    unknown = sorted(failed - entries.keys())
    for test in sorted(failed & entries.keys()):
        print(f"known red: {entries[test]}")
    for test in unknown:
        print(f"failed and not in KNOWN-RED.txt: {test}")
    return 0 if failed and not unknown else exit_code


if __name__ == "__main__":
    sys.exit(main(ROOT, int(sys.argv[1])))
