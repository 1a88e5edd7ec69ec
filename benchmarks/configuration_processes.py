"""Replicated configuration in real processes with network proxies between them, and its cost per process.

Parts of benchmarks/configuration; also used by tests/test_configuration_processes."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from benchmarks.work_order import Fleet as WorkFleet
from brackenpulley.simulation.script import Fault

# Two anti-entropy exchanges of records: only these tell a process that was cut off what it missed.
RECORDS_TIMEOUT_SECONDS = 60.0


class ProcessTrial:
    """Three voters and some followers as processes (benchmarks/work_order), whose status is checked on every poll."""

    def __init__(self, followers: int, seed: int) -> None:
        self.fleet = WorkFleet(3 + followers, seed, 3, operator_extra="[configuration]\n")
        self.violations: list[str] = []
        self.digests: dict[int, str] = {}
        self.latest_revisions: dict[tuple[str, int], int] = {}  # by process and start: its latest revision
        # By process and revision: seconds from commit to in force.
        self.activation_delays: dict[tuple[str, int], float] = {}
        self.step_seconds: dict[str, float] = {}

    def check_status(self) -> None:
        """Checks the latest status: one digest per revision, and revisions that never go back until a restart."""
        for process in self.fleet.processes:
            reported = process.status.get("configuration")
            if not reported or "inLog" not in reported:
                continue
            number, digest = reported["revision"], reported["mark"]
            if self.digests.setdefault(number, digest) != digest:
                self.violations.append(f"{process.name} has another revision {number}")
            if number < self.latest_revisions.get((process.name, process.start_count), 0):
                self.violations.append(
                    f"{process.name} went back from "
                    f"{self.latest_revisions[process.name, process.start_count]} to {number}"
                )
            self.latest_revisions[process.name, process.start_count] = number
            if number:
                self.activation_delays.setdefault((process.name, number), reported["since"] - reported["agreedAt"])

    def run_until(self, step: str, done: Callable[[], bool], timeout: float = 20.0) -> float:
        """Runs the fleet until `done` holds; records and returns the seconds, and a violation on timeout."""
        begin = time.monotonic()

        def check() -> bool:
            self.check_status()
            return done()

        if not self.fleet.run_until(check, timeout):
            rows = [(process.name, process.status.get("configuration", {})) for process in self.fleet.processes]
            self.violations.append(
                f"{step}: not within {timeout:g} s: "
                + str(
                    [(name, row.get("revision"), row.get("byRevision"), row.get("silentNamed")) for name, row in rows]
                )
            )
        self.step_seconds[step] = round(time.monotonic() - begin, 2)
        return self.step_seconds[step]

    def post(self, place: int, path: str, body: Any) -> list[tuple[int, Any]]:
        """Posts to a process; the returned list gets (status, body) once it is answered."""
        responses: list[tuple[int, Any]] = []
        self.fleet.processes[place].call(
            "POST", path, body, lambda status, answer: responses.append((status, answer)), 6.0
        )
        return responses

    def change(self, place: int, base: int, **fields: Any) -> None:
        """Proposes a change as an operator would, again until it is answered with another status than 503."""
        body = {"base": base, "by": "trial", **fields}
        path = "/v1/configuration" if "to" not in fields else "/v1/configuration/revert"
        if "to" in fields:
            del body["base"]
        responses = self.post(place, path, body)

        def taken() -> bool:
            nonlocal responses
            if responses and responses[0][0] in (0, 503):  # not committed in time
                responses = self.post(place, path, body)
            return bool(responses)

        self.run_until(f"revision {base + 1} proposed", taken)
        if responses and responses[0] not in (
            (200, {"revision": base + 1, "taken": "now"}),
            (200, {"revision": base + 1, "taken": "before"}),
        ):
            self.violations.append(f"revision {base + 1}: {responses[0]}")

    def have_revision(self, number: int, places: list[int]) -> bool:
        """Reports whether the named processes all have a revision in force."""
        return all(
            self.fleet.processes[place].status.get("configuration", {}).get("revision") == number for place in places
        )

    def count_served(self, place: int) -> int:
        """Returns the number of messages that a process answered with 200."""
        return sum(message.ingress == place and message.status == 200 for message in self.fleet.load.messages)


def make_plans(rate: float) -> dict[str, Any]:
    """Returns two plans, one with the given rate."""
    return {"new": {"rate": rate, "burst": rate}, "county": {"rate": 1e6, "burst": 1e6}}


def run_processes(followers: int = 2, seed: int = 1) -> dict[str, Any]:
    """Makes changes under packet loss, with a process cut off, one stopped, and a voter and a follower restarted."""
    trial = ProcessTrial(followers, seed)
    fleet, size = trial.fleet, 3 + followers
    everyone, cut_off = list(range(size)), size - 1
    others = everyone[:-1]
    try:
        for process in fleet.processes:
            process.start()
        fleet.start_polling()
        trial.run_until(
            "all ready",
            lambda: all(
                process.status.get("ready") and process.status["configuration"]["from"] == "file"
                for process in fleet.processes
            ),
            40.0,
        )
        if trial.violations:
            return {
                "seed": seed,
                "processes": size,
                "s": trial.step_seconds,
                "inForceS": {},
                "served": 0,
                "wrong": trial.violations,
            }
        fleet.update_front()
        fleet.load.start()
        fleet.inject(Fault(0.0, "loss", ("*", "0.2")))
        trial.change(3, 0, plans=make_plans(1.0))
        trial.run_until("revision 1 everywhere, a fifth of the packets lost", lambda: trial.have_revision(1, everyone))
        fleet.inject(Fault(0.0, "heal"))
        fleet.inject(Fault(0.0, "part", (f"n{cut_off}", ",".join(f"n{n}" for n in others))))
        before = trial.count_served(cut_off)
        trial.change(0, 1, plans=make_plans(2.0), firms={f"{7:016x}": "new"})
        trial.run_until("revision 2 at reachable processes", lambda: trial.have_revision(2, others))
        trial.run_until(
            "process cut off reports the silence of the log and serves",
            lambda: (
                trial.have_revision(1, [cut_off])
                and fleet.processes[cut_off].status["configuration"]["logSilentS"] > 2.0
                and trial.count_served(cut_off) > before
            ),
        )
        fleet.inject(Fault(0.0, "stop", ("n3",)))
        running = [place for place in others if place != 3]
        trial.change(0, 2, plans=make_plans(3.0))
        trial.run_until("revision 3 at running processes", lambda: trial.have_revision(3, running))
        if not trial.have_revision(2, [3]):
            trial.violations.append("n3 was stopped and has revision 3")
        fleet.inject(Fault(0.0, "go", ("n3",)))
        trial.run_until("revision 3 at the resumed process", lambda: trial.have_revision(3, others))
        leader = fleet.find_process("leader").number if fleet.leader else 0
        fleet.inject(Fault(0.0, "kill", (f"n{leader}",)))
        fleet.inject(Fault(0.0, "kill", ("n3",)))
        running = [place for place in others if place not in (3, leader)]
        trial.change(running[0], 3, plans=make_plans(4.0), firms={f"{9:016x}": "new"})
        trial.run_until("revision 4 after the leader's death", lambda: trial.have_revision(4, running))
        fleet.inject(Fault(0.0, "start", (f"n{leader}", "kept")))
        fleet.inject(Fault(0.0, "start", ("n3", "kept")))
        trial.run_until("revision 4 at restarted processes", lambda: trial.have_revision(4, others), 30.0)
        fleet.inject(Fault(0.0, "heal"))
        trial.run_until("revision 4 at the process that was cut off", lambda: trial.have_revision(4, everyone))
        responses = [
            trial.post(place, "/v1/configuration", {"base": 4, "by": f"n{place}", "plans": make_plans(5.0 + place)})
            for place in (0, cut_off)
        ]
        trial.run_until("two concurrent changes are answered", lambda: all(responses))
        if sorted(received[0][0] for received in responses) != [200, 409]:
            trial.violations.append(f"two concurrent changes: {responses}")
        trial.run_until("revision 5 everywhere", lambda: trial.have_revision(5, everyone))
        trial.change(1, 5, to=2)
        trial.run_until("revision 2 restored as 6 everywhere", lambda: trial.have_revision(6, everyone))
        contents: list[Any] = []
        for process in fleet.processes:
            process.call(
                "GET",
                "/v1/configuration",
                None,
                lambda status, body: contents.append((body["plans"]["new"]["rate"], body["firms"])),
            )
        trial.run_until("contents read", lambda: len(contents) == size)
        if set(contents) != {(2.0, 1)}:
            trial.violations.append(f"revision 6 does not restore 2: {contents}")
        trial.run_until(
            "revisions of all processes known",
            lambda: all(process.status["configuration"]["byRevision"] == {"6": size} for process in fleet.processes),
            RECORDS_TIMEOUT_SECONDS,
        )
        fleet.load.stop()
        fleet.run_until(lambda: not fleet.load.in_flight, 12.0)
        killed = {number for _, number in fleet.killed}
        lost = [
            message
            for message in fleet.load.messages
            if not message.status and message.is_written and message.ingress not in killed
        ]
        if lost:
            trial.violations.append(f"{len(lost)} messages lost at ingresses that were not killed")
        return {
            "seed": seed,
            "processes": size,
            "s": trial.step_seconds,
            "inForceS": {
                str(number): round(max(s for (_, n), s in trial.activation_delays.items() if n == number), 2)
                for number in sorted(trial.digests)
                if number
            },
            "tries": len(fleet.load.messages),
            "served": sum(message.status == 200 for message in fleet.load.messages),
            "wrong": trial.violations + fleet.violations,
        }
    finally:
        fleet.close(keep=bool(trial.violations))


def measure_cost(seconds: float, changes: int = 40) -> dict[str, Any]:
    """Measures CPU and memory of idle real processes.

    With consensus and maintenance, with the configuration too, and with changes to it."""
    result: dict[str, Any] = {}
    for name, operator_extra in (("agreed", ""), ("configuration", "[configuration]\n")):
        fleet = WorkFleet(5, 1, 3, operator_extra=operator_extra)
        try:
            for process in fleet.processes:
                process.start()
            fleet.start_polling()
            fleet.run_until(fleet.have_all_entered, 40.0)
            fleet.is_polling = False  # stops the polling
            fleet.run_for(3.0)
            phases = [("", 0)] if not operator_extra else [("", 0), ("Changes", changes)]
            for phase, count in phases:
                before = [process.read_usage() for process in fleet.processes]
                answers: list[int] = []
                for number in range(count):
                    fleet.loop.call_in(
                        seconds * number / count,
                        lambda number=number,
                        process=fleet.processes[3],  # type: ignore
                        answers=answers: process.call(
                            "POST",
                            "/v1/configuration",
                            {"base": number, "by": "t", "plans": {"new": {"rate": number + 1.0, "burst": 9.0}}},
                            lambda status, body: answers.append(status),
                        ),
                    )
                fleet.run_for(seconds)
                after = [process.read_usage() for process in fleet.processes]
                cpu = [(end[0] - start[0]) / seconds * 100 for start, end in zip(before, after, strict=True)]
                result[name + phase] = {
                    "voters": round(sum(cpu[:3]) / 3, 2),
                    "followers": round(sum(cpu[3:]) / 2, 2),
                    "residentMb": round(sum(end[1] for end in after) / 5 / 1024, 1),
                    "taken": answers.count(200),
                }
        finally:
            fleet.close()
    return result
