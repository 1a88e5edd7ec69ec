"""Real processes with faulty links between them: revisions apply in one order, whatever links or processes fail."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from benchmarks.configuration_processes import run_processes
from benchmarks.configuration_sizes import MAX_ACTIVATION_SECONDS
from benchmarks.work_order import Fleet


def test_all_processes_agree_on_revisions_despite_loss_crashes_stalls_and_partitions() -> None:
    report = run_processes()
    assert report["wrong"] == []
    assert max(report["inForceS"].values()) < MAX_ACTIVATION_SECONDS and report["served"] > 100


class RestartedProcess:
    """A process of the trial that answers a poll only after it was started anew."""

    def __init__(self) -> None:
        self.start_count = 1
        self.status: dict[str, Any] = {}
        self.callbacks: list[Callable[[int, Any], None]] = []

    def call(self, method: str, path: str, body: Any, on_response: Callable[[int, Any], None], *timeout: float) -> None:
        self.callbacks.append(on_response)


def test_a_status_of_the_life_before_does_not_count_for_the_next_one() -> None:
    """Guards against a trial that reports 'went back from 3 to 0': an answer still in the socket outlived the kill."""
    fleet, process = Fleet.__new__(Fleet), RestartedProcess()
    fleet.is_polling = True
    fleet._poll(process)  # type: ignore[arg-type]
    process.start_count += 1
    process.callbacks.pop()(200, {"configuration": {"revision": 3, "inLog": 3}})
    assert process.status == {} and len(process.callbacks) == 1  # asked anew
    process.callbacks.pop()(200, {"configuration": {"revision": 0, "inLog": 0}})
    assert process.status["configuration"]["revision"] == 0
