"""The example program runs and reports each decision."""

from examples.embed import main


def test_the_example_tells_its_story() -> None:
    assert main() == [f"r{n} goes to server-1" for n in range(4)] + ["r4 is refused", "r5 is refused"]
