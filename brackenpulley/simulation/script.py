"""Fault schedules, in one text format for simulated and real processes. No I/O.

    # seconds, action, arguments
    0.5   cut     a b            # drops what a sends to b; `part a,b c,d` cuts both directions between two sides
    1     stall   a b 2.0        # holds what a sends to b for 2 s
    1     loss    * 0.1          # on all links; also `slow a b 0.08` (adds s of delay), `double * 0.2` (duplication)
    2     kill    n3             # SIGKILL; later `start n3 kept|lost|old|power`, which names the state of its disk
    2     stop    n2             # SIGSTOP; later `go n2`
    4     full    n1             # its disk rejects writes; later `room n1`
    4     copy    n1             # backs its disk up for a later `start n1 old`
    5     heal                   # repairs all links

Names are those of processes; `leader` is the process that leads when the fault is due."""

from __future__ import annotations

import random
from dataclasses import dataclass

ARGUMENT_COUNTS = {
    "cut": 2,
    "part": 2,
    "stall": 3,
    "loss": 2,
    "double": 2,
    "slow": 3,
    "kill": 1,
    "start": 2,
    "stop": 1,
    "go": 1,
    "full": 1,
    "room": 1,
    "copy": 1,
    "heal": 0,
}
DISK_STATES = ("kept", "lost", "old", "power")  # second argument of `start`


class ScriptError(ValueError):
    """A line of a schedule that cannot be parsed; the text gives its number."""


@dataclass(slots=True, frozen=True)
class Fault:
    """One line of a schedule."""

    at_seconds: float  # since the start
    action: str
    arguments: tuple[str, ...] = ()

    def __str__(self) -> str:
        return f"{self.at_seconds:g} {self.action} {' '.join(self.arguments)}".rstrip()


def parse(text: str) -> list[Fault]:
    """Parses a schedule and returns its faults in order of time. Raises ScriptError."""
    found = []
    for number, row in enumerate(text.splitlines(), 1):
        words = row.partition("#")[0].split()
        if not words:
            continue
        try:
            at_seconds = float(words[0])
        except ValueError:
            raise ScriptError(f"line {number}: {words[0]!r} is no time in s") from None
        if len(words) < 2 or words[1] not in ARGUMENT_COUNTS:
            raise ScriptError(
                f"line {number}: no {' '.join(words[1:2]) or 'action'}; expected one of {', '.join(ARGUMENT_COUNTS)}"
            )
        fault = Fault(at_seconds, words[1], tuple(words[2:]))
        if len(fault.arguments) != ARGUMENT_COUNTS[fault.action]:
            raise ScriptError(f"line {number}: {fault.action} takes {ARGUMENT_COUNTS[fault.action]} arguments")
        if fault.action == "start" and fault.arguments[1] not in DISK_STATES:
            raise ScriptError(f"line {number}: {fault.arguments[1]!r} is none of {', '.join(DISK_STATES)}")
        if fault.action in ("stall", "loss", "double", "slow"):
            try:
                float(fault.arguments[-1])
            except ValueError:
                raise ScriptError(f"line {number}: {fault.arguments[-1]!r} is no number") from None
        found.append(fault)
    return sorted(found, key=lambda fault: fault.at_seconds)


def draw_faults(
    rng: random.Random, names: list[str], seconds: float, mean_interval: float, min_running: int
) -> list[Fault]:
    """Draws a random schedule for the processes `names`, with one fault every `mean_interval` seconds on average.

    At least `min_running` processes run at any time. The last third of the time has no faults, so that proposals can
    complete."""
    faults: list[Fault] = []
    down_until: dict[str, float] = {}
    at_seconds = 0.0
    while (at_seconds := at_seconds + rng.expovariate(1 / mean_interval)) < seconds * 2 / 3:
        running = [name for name in names if down_until.get(name, 0.0) <= at_seconds]
        name, other = rng.sample(names, 2)
        length = min(seconds * 2 / 3 - at_seconds, rng.choice((0.3, 1.0, 3.0, 6.0)) * (0.5 + rng.random()))
        action = rng.choice(("kill", "kill", "stop", "cut", "sever", "part", "stall", "loss", "full", "copy"))
        if action in ("kill", "stop") and (name not in running or len(running) <= min_running):
            continue
        end = at_seconds + length
        if action == "kill":
            disk_state = rng.choice(("kept", "kept", "lost", "old", "power"))
            down_until[name] = end
            faults += [Fault(at_seconds, "kill", (name,)), Fault(end, "start", (name, disk_state))]
        elif action == "stop":
            down_until[name] = end
            faults += [Fault(at_seconds, "stop", (name,)), Fault(end, "go", (name,))]
        elif action == "part":
            side = rng.sample(names, rng.randrange(1, len(names)))
            faults += [
                Fault(at_seconds, "part", (",".join(side), ",".join(n for n in names if n not in side))),
                Fault(end, "heal"),
            ]
        elif action == "sever":
            faults += [Fault(at_seconds, "part", (name, other)), Fault(end, "heal")]
        elif action == "cut":
            faults += [Fault(at_seconds, "cut", (name, other)), Fault(end, "heal")]
        elif action == "stall":
            faults.append(Fault(at_seconds, "stall", (name, other, f"{length:.2f}")))
        elif action == "loss":
            faults += [Fault(at_seconds, "loss", ("*", f"{rng.choice((0.05, 0.2, 0.5))}")), Fault(end, "heal")]
        elif action == "full":
            faults += [Fault(at_seconds, "full", (name,)), Fault(end, "room", (name,))]
        else:
            faults.append(Fault(at_seconds, "copy", (name,)))
    calm_from = seconds * 2 / 3
    faults += [Fault(calm_from, "heal"), *(Fault(calm_from, "room", (name,)) for name in names)]
    return sorted(faults, key=lambda fault: fault.at_seconds)
