"""Runs the example program."""

from examples.embed import main


def test_the_example_reports_each_decision() -> None:
    assert main() == [f"r{n} goes to server-1" for n in range(4)] + ["r4 is refused", "r5 is refused"]
