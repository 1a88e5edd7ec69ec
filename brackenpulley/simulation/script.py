"""Faults by schedule, in one format for processes in virtual time and real ones. No I/O.

    # seconds, what, whom
    0.5   cut     a b            # nothing from a to b; `part a,b c,d` cuts both ways between two sides
    1     stall   a b 2.0        # what a sends to b waits so many s
    1     loss    * 0.1          # on all ways; also `slow a b 0.08` (s more), `double * 0.2`
    2     kill    n3             # SIGKILL; `start n3 kept|lost|old|power` afterwards
    2     stop    n2             # SIGSTOP; `go n2`
    4     full    n1             # its disk takes nothing; `room n1`
    4     copy    n1             # of its disk, for a later `start n1 old`
    5     heal                   # all ways are good again

A name is a process's; `leader` is whoever leads when the line is due."""

from __future__ import annotations

import random
from dataclasses import dataclass

WORDS = {
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
STARTS = ("kept", "lost", "old", "power")


class ScriptError(ValueError):
    """A line that can't be read; the text names it."""


@dataclass(slots=True, frozen=True)
class Line:
    at: float  # s from the start
    what: str
    words: tuple[str, ...] = ()

    def __str__(self) -> str:
        return f"{self.at:g} {self.what} {' '.join(self.words)}".rstrip()


def parse(text: str) -> list[Line]:
    """In the order of their times. Raises ScriptError."""
    found = []
    for number, row in enumerate(text.splitlines(), 1):
        words = row.partition("#")[0].split()
        if not words:
            continue
        try:
            at = float(words[0])
        except ValueError:
            raise ScriptError(f"line {number}: {words[0]!r} is no time in s") from None
        if len(words) < 2 or words[1] not in WORDS:
            raise ScriptError(f"line {number}: no {' '.join(words[1:2]) or 'word'}; there are {', '.join(WORDS)}")
        line = Line(at, words[1], tuple(words[2:]))
        if len(line.words) != WORDS[line.what]:
            raise ScriptError(f"line {number}: {line.what} takes {WORDS[line.what]} words")
        if line.what == "start" and line.words[1] not in STARTS:
            raise ScriptError(f"line {number}: {line.words[1]!r} is none of {', '.join(STARTS)}")
        if line.what in ("stall", "loss", "double", "slow"):
            try:
                float(line.words[-1])
            except ValueError:
                raise ScriptError(f"line {number}: {line.words[-1]!r} is no number") from None
        found.append(line)
    return sorted(found, key=lambda line: line.at)


def drawn(rng: random.Random, names: list[str], seconds: float, every: float, least: int) -> list[Line]:
    """Faults at random; `least` processes are there at any time. The last third of the time is calm, so that what was
    asked for can be done."""
    lines: list[Line] = []
    away: dict[str, float] = {}  # until when
    at = 0.0
    while (at := at + rng.expovariate(1 / every)) < seconds * 2 / 3:
        there = [name for name in names if away.get(name, 0.0) <= at]
        name, other = rng.sample(names, 2)
        length = min(seconds * 2 / 3 - at, rng.choice((0.3, 1.0, 3.0, 6.0)) * (0.5 + rng.random()))
        what = rng.choice(("kill", "kill", "stop", "cut", "sever", "part", "stall", "loss", "full", "copy"))
        if what in ("kill", "stop") and (name not in there or len(there) <= least):
            continue
        end = at + length
        if what == "kill":
            how = rng.choice(("kept", "kept", "lost", "old", "power"))
            away[name] = end
            lines += [Line(at, "kill", (name,)), Line(end, "start", (name, how))]
        elif what == "stop":
            away[name] = end
            lines += [Line(at, "stop", (name,)), Line(end, "go", (name,))]
        elif what == "part":
            side = rng.sample(names, rng.randrange(1, len(names)))
            lines += [
                Line(at, "part", (",".join(side), ",".join(n for n in names if n not in side))),
                Line(end, "heal"),
            ]
        elif what == "sever":
            lines += [Line(at, "part", (name, other)), Line(end, "heal")]
        elif what == "cut":
            lines += [Line(at, "cut", (name, other)), Line(end, "heal")]
        elif what == "stall":
            lines.append(Line(at, "stall", (name, other, f"{length:.2f}")))
        elif what == "loss":
            lines += [Line(at, "loss", ("*", f"{rng.choice((0.05, 0.2, 0.5))}")), Line(end, "heal")]
        elif what == "full":
            lines += [Line(at, "full", (name,)), Line(end, "room", (name,))]
        else:
            lines.append(Line(at, "copy", (name,)))
    calm = seconds * 2 / 3
    lines += [Line(calm, "heal"), *(Line(calm, "room", (name,)) for name in names)]
    return sorted(lines, key=lambda line: line.at)
