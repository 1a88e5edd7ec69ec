"""The agreed configuration in real processes with relays between them, and what it costs one; see configuration.py."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from benchmarks.work_order import Fleet as WorkFleet
from brackenpulley.simulation.script import Fault

KNOWN = 60.0  # s: two exchanges of records, which alone tell one that was cut off what the others said meanwhile


class Trial:
    """Three voters and followers as processes (benchmarks/work_order); every answer of theirs is looked at."""

    def __init__(self, followers: int, seed: int) -> None:
        self.fleet = WorkFleet(3 + followers, seed, 3, operator_extra="[configuration]\n")
        self.wrong: list[str] = []
        self.marks: dict[int, str] = {}
        self.seen: dict[tuple[str, int], int] = {}  # process and life: its revision
        self.since: dict[tuple[str, int], float] = {}  # process and revision: s from agreed to in force there
        self.told: dict[str, float] = {}

    def look(self) -> None:
        """Called again and again: one order, one content a number, never back within a life."""
        for one in self.fleet.processes:
            shown = one.status.get("configuration")
            if not shown or "inLog" not in shown:
                continue
            number, mark = shown["revision"], shown["mark"]
            if self.marks.setdefault(number, mark) != mark:
                self.wrong.append(f"{one.name} has another revision {number}")
            if number < self.seen.get((one.name, one.start_count), 0):
                self.wrong.append(f"{one.name} went back from {self.seen[one.name, one.start_count]} to {number}")
            self.seen[one.name, one.start_count] = number
            if number:
                self.since.setdefault((one.name, number), shown["since"] - shown["agreedAt"])

    def until(self, what: str, done: Callable[[], bool], patience: float = 20.0) -> float:
        """s until it was so."""
        begin = time.monotonic()

        def looked() -> bool:
            self.look()
            return done()

        if not self.fleet.run_until(looked, patience):
            rows = [(one.name, one.status.get("configuration", {})) for one in self.fleet.processes]
            self.wrong.append(
                f"{what}: not within {patience:g} s: "
                + str(
                    [(name, row.get("revision"), row.get("byRevision"), row.get("silentNamed")) for name, row in rows]
                )
            )
        self.told[what] = round(time.monotonic() - begin, 2)
        return self.told[what]

    def post(self, which: int, path: str, body: Any) -> list[tuple[int, Any]]:
        """What came of it: filled when it is answered."""
        found: list[tuple[int, Any]] = []
        self.fleet.processes[which].call("POST", path, body, lambda status, answer: found.append((status, answer)), 6.0)
        return found

    def change(self, which: int, base: int, **more: Any) -> None:
        """Proposed again until it is taken, as an operator would."""
        body = {"base": base, "by": "trial", **more}
        path = "/v1/configuration" if "to" not in more else "/v1/configuration/revert"
        if "to" in more:
            del body["base"]
        out = self.post(which, path, body)

        def taken() -> bool:
            nonlocal out
            if out and out[0][0] in (0, 503):  # nothing was agreed in its time
                out = self.post(which, path, body)
            return bool(out)

        self.until(f"revision {base + 1} proposed", taken)
        if out and out[0] not in (
            (200, {"revision": base + 1, "taken": "now"}),
            (200, {"revision": base + 1, "taken": "before"}),
        ):
            self.wrong.append(f"revision {base + 1}: {out[0]}")

    def has(self, number: int, names: list[int]) -> bool:
        return all(
            self.fleet.processes[which].status.get("configuration", {}).get("revision") == number for which in names
        )

    def served(self, which: int) -> int:
        return sum(one.ingress == which and one.status == 200 for one in self.fleet.load.tries)


def figures(rate: float) -> dict[str, Any]:
    return {"new": {"rate": rate, "burst": rate}, "county": {"rate": 1e6, "burst": 1e6}}


def processes(followers: int = 2, seed: int = 1) -> dict[str, Any]:
    """Changes while links lose, a process is cut off, one stands still, a voter and a follower die and come back."""
    trial = Trial(followers, seed)
    fleet, size = trial.fleet, 3 + followers
    everyone, cut = list(range(size)), size - 1
    others = everyone[:-1]
    try:
        for one in fleet.processes:
            one.start()
        fleet.start_polling()
        trial.until(
            "all ready",
            lambda: all(
                one.status.get("ready") and one.status["configuration"]["from"] == "file" for one in fleet.processes
            ),
            40.0,
        )
        if trial.wrong:
            return {"seed": seed, "processes": size, "s": trial.told, "inForceS": {}, "served": 0, "wrong": trial.wrong}
        fleet.update_front()
        fleet.load.start()
        fleet.inject(Fault(0.0, "loss", ("*", "0.2")))
        trial.change(3, 0, plans=figures(1.0))
        trial.until("1 everywhere, a fifth of the words lost", lambda: trial.has(1, everyone))
        fleet.inject(Fault(0.0, "heal"))
        fleet.inject(Fault(0.0, "part", (f"n{cut}", ",".join(f"n{n}" for n in others))))
        before = trial.served(cut)
        trial.change(0, 1, plans=figures(2.0), firms={f"{7:016x}": "new"})
        trial.until("2 where it can be reached", lambda: trial.has(2, others))
        trial.until(
            "the one cut off says how old it is and serves",
            lambda: (
                trial.has(1, [cut])
                and fleet.processes[cut].status["configuration"]["logSilentS"] > 2.0
                and trial.served(cut) > before
            ),
        )
        fleet.inject(Fault(0.0, "stop", ("n3",)))
        running = [which for which in others if which != 3]
        trial.change(0, 2, plans=figures(3.0))
        trial.until("3 where nobody stands still", lambda: trial.has(3, running))
        if not trial.has(2, [3]):
            trial.wrong.append("n3 stood still and has 3")
        fleet.inject(Fault(0.0, "go", ("n3",)))
        trial.until("3 where one stood still", lambda: trial.has(3, others))
        leader = fleet.find_process("leader").number if fleet.leader else 0
        fleet.inject(Fault(0.0, "kill", (f"n{leader}",)))
        fleet.inject(Fault(0.0, "kill", ("n3",)))
        running = [which for which in others if which not in (3, leader)]
        trial.change(running[0], 3, plans=figures(4.0), firms={f"{9:016x}": "new"})
        trial.until("4 after the leader's death", lambda: trial.has(4, running))
        fleet.inject(Fault(0.0, "start", (f"n{leader}", "kept")))
        fleet.inject(Fault(0.0, "start", ("n3", "kept")))
        trial.until("4 at those that start anew", lambda: trial.has(4, others), 30.0)
        fleet.inject(Fault(0.0, "heal"))
        trial.until("4 at the one that was cut off", lambda: trial.has(4, everyone))
        out = [
            trial.post(which, "/v1/configuration", {"base": 4, "by": f"n{which}", "plans": figures(5.0 + which)})
            for which in (0, cut)
        ]
        trial.until("two at once are answered", lambda: all(out))
        if sorted(found[0][0] for found in out) != [200, 409]:
            trial.wrong.append(f"two at once: {out}")
        trial.until("5 everywhere", lambda: trial.has(5, everyone))
        trial.change(1, 5, to=2)
        trial.until("2 again as 6, everywhere", lambda: trial.has(6, everyone))
        shown: list[Any] = []
        for one in fleet.processes:
            one.call(
                "GET",
                "/v1/configuration",
                None,
                lambda status, body: shown.append((body["plans"]["new"]["rate"], body["firms"])),
            )
        trial.until("contents are told", lambda: len(shown) == size)
        if set(shown) != {(2.0, 1)}:
            trial.wrong.append(f"6 is not 2 again: {shown}")
        trial.until(
            "who has which is known",
            lambda: all(one.status["configuration"]["byRevision"] == {"6": size} for one in fleet.processes),
            KNOWN,
        )
        fleet.load.stop()
        fleet.run_until(lambda: not fleet.load.out, 12.0)
        killed = {number for _, number in fleet.killed}
        lost = [one for one in fleet.load.tries if not one.status and one.taken and one.ingress not in killed]
        if lost:
            trial.wrong.append(f"{len(lost)} messages lost at ingresses that were not killed")
        return {
            "seed": seed,
            "processes": size,
            "s": trial.told,
            "inForceS": {
                str(number): round(max(s for (_, n), s in trial.since.items() if n == number), 2)
                for number in sorted(trial.marks)
                if number
            },
            "tries": len(fleet.load.tries),
            "served": sum(one.status == 200 for one in fleet.load.tries),
            "wrong": trial.wrong + fleet.violations,
        }
    finally:
        fleet.close(keep=bool(trial.wrong))


def cost(seconds: float, changes: int = 40) -> dict[str, Any]:
    """CPU and memory of a real process without load: with the log and the work on, with the configuration too, and
    with that and changes."""
    found: dict[str, Any] = {}
    for name, more in (("agreed", ""), ("configuration", "[configuration]\n")):
        fleet = WorkFleet(5, 1, 3, operator_extra=more)
        try:
            for one in fleet.processes:
                one.start()
            fleet.start_polling()
            fleet.run_until(fleet.have_all_entered, 40.0)
            fleet.is_polling = False  # nobody asks any more
            fleet.run_for(3.0)
            rows = [("", 0)] if not more else [("", 0), ("Changes", changes)]
            for what, count in rows:
                before = [one.read_usage() for one in fleet.processes]
                answers: list[int] = []
                for number in range(count):
                    fleet.loop.call_in(
                        seconds * number / count,
                        lambda number=number,
                        one=fleet.processes[3],  # type: ignore
                        answers=answers: one.call(
                            "POST",
                            "/v1/configuration",
                            {"base": number, "by": "t", "plans": {"new": {"rate": number + 1.0, "burst": 9.0}}},
                            lambda status, body: answers.append(status),
                        ),
                    )
                fleet.run_for(seconds)
                after = [one.read_usage() for one in fleet.processes]
                cpu = [(b[0] - a[0]) / seconds * 100 for a, b in zip(before, after, strict=True)]
                found[name + what] = {
                    "voters": round(sum(cpu[:3]) / 3, 2),
                    "followers": round(sum(cpu[3:]) / 2, 2),
                    "residentMb": round(sum(b[1] for b in after) / 5 / 1024, 1),
                    "taken": answers.count(200),
                }
        finally:
            fleet.close()
    return found
