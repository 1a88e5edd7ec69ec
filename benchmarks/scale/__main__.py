"""A fleet at size on this machine: hollow ingresses beside real ones, with what each kind of process costs.

    python -m benchmarks.scale --hollow 890 --real 8 --seconds 120 --seed 1 [--json]
    python -m benchmarks.scale --compare                      12 hollow against 12 real, by kind of message
    python -m benchmarks.scale --hollow 890 --real 8 --seconds 120 --seed 1 --trouble

Hollow ingresses (standins/hollow) are many to a process; real ones and voters are `serve`. Membership of each goes
through a relay of its own (standins/links): three regions, twelve zones, delay and loss by pair of zones. Discovery has
12,000 servers that restart one after the other, 3,700 a day over servers and ingresses together, times `--factor`.
Phases: all start and are whole; a third of the time without clients (`calm`: what is used then is control's); the rest
with clients at real ones and drawn tries at hollow ones (`loaded`), with changes agreed and ingresses killed in it.

Exits 1 where a real ingress passes 2 % of a core (calm), 32 MB (over a daemon with nothing on) or 14,000 bytes a second
for control, where something did not come in its time, or with `--compare` where a kind is not within 10 %.

JSON: as asked `hollow`, `real`, `voters`, `servers`, `hollowServers` (of the list, told to hollow ones), `seed`,
`parts`, `factor`, `tries` (a second at each ingress); `wrong` and `limits` (texts; empty is well); `machine` (cores,
load before and after); `startS` by kind; `times` in s, each with least, median, most99, most and `of`: `readyHollow`,
`listWholeHollow`, `readyReal`, `listWholeReal`, `membersWhole` (of the
start), `agreedToAll` (a row a change: from the proposal to applied by each hollow one), `deathKnown` (a row a death:
from the kill to each hollow one, and `real` each real one). `calm` and `loaded`: `seconds`, and by kind of process
(hollow, real, voter, bare, discovery, counter, links) what one costs: `members`, `discovery`, `counter` by kind with
messages and bytes a second (out and in; discovery and counter as those counted it), `controlBytesASecond`,
`cpuPercent`, `residentMb`, `longestHoldMs`. A hollow one's CPU and memory are its host's divided by its number;
`ownCallsPercent` is the time its own calls took. `trouble`: what the cut and the kill of a tenth cost. `mostMb` of
all processes together, `processes`. Bytes are those of messages as sealed or framed, without IP, UDP and TCP."""

from __future__ import annotations

import argparse
import json
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

from benchmarks.scale.report import compare_hollow_with_real, find_exceeded_limits, summarize, summarize_window
from benchmarks.scale.world import Ended, World
from brackenpulley.standins.hollow import PARTS, USUAL

A_DAY, MACHINES = 3700, 12_890  # restarts, and the servers and ingresses over which they are spread evenly
START, SOON = 600.0, 60.0  # s until all are up, until something asked for has come
KNOWN = 14.0  # s until a change is in force everywhere


class Run:
    def __init__(self, told: argparse.Namespace) -> None:
        self.told = told
        self.rate = A_DAY / 86400 * told.factor / MACHINES  # restarts of one machine a second
        self.wrong: list[str] = []
        self.times: dict[str, Any] = {"agreedToAll": [], "deathKnown": []}
        self.world = World(
            told.hollow,
            told.real,
            told.seed,
            told.servers,
            tuple(told.parts.split(",")),
            told.tries,
            told.voters,
            told.hollow_servers,
            told.profile,
        )
        self.restarts, self.restarting = 0, False

    def step(self, what: str, call: Callable[[], Any]) -> Any:
        """What does not come in its time is wrong, and the rest of the run is played all the same."""
        try:
            return call()
        except Ended as error:
            self.wrong.append(f"{what}: {error}")
            self.say(self.wrong[-1])
            return None

    def say(self, text: str) -> None:
        print(f"{time.monotonic() - self.began:7.1f} s  {text}", file=sys.stderr, flush=True)

    def play(self) -> dict[str, Any]:
        told, world = self.told, self.world
        self.began = time.monotonic()
        load = os.getloadavg()[0]
        started = world.start(min(START, 2 * told.patience))
        self.say(f"started: {started}")
        whole = self.step("the start", lambda: world.until(world.whole, told.patience, world.far))
        self.say(f"whole after {whole}")
        reals = world.reals()
        took = [row for state in world.states() for row in state["took"]]
        self.step("lists", lambda: world.until(lambda: all(one.whole_after for one in reals), SOON, "real lists"))
        self.times.update(
            readyHollow=summarize(row[0] for row in took),
            listWholeHollow=summarize(row[1] for row in took),
            readyReal=summarize(one.ready_after for one in reals),
            listWholeReal=summarize(one.whole_after for one in reals),
            membersWhole=whole,
        )
        for host in world.hosts:
            host.ask("settle")
        world.turn(told.rest)  # what the start left to be told
        world.discovery.ask("churn", rate=self.rate * told.servers)
        kinds = {kind: [one.place.name for one in world.reals(kind)] for kind in ("real", "voter", "bare")}
        first = world.counts()
        world.turn(told.seconds / 3)
        second = world.counts()
        self.say("calm is over")
        for host in world.hosts:
            host.ask("traffic", on=True)
        world.load.start()
        self._loaded(told.seconds * 2 / 3)
        third = world.counts()
        calm, loaded = (summarize_window(a, b, kinds, told.hollow) for a, b in ((first, second), (second, third)))
        self.say("loaded is over")
        self.restarting = False
        trouble = self._trouble() if told.trouble else None
        for host in world.hosts:
            host.ask("traffic", on=False)
        world.load.stop()
        self.step("clients", lambda: world.until(lambda: not world.load.out, 12.0, "clients have their answers"))
        tries = world.load.tries
        served = sum(one.status == 200 for one in tries)
        return {
            "hollow": told.hollow,
            "real": told.real,
            "voters": told.voters,
            "servers": told.servers,
            "hollowServers": told.hollow_servers or told.servers,
            "seed": told.seed,
            "parts": told.parts,
            "factor": told.factor,
            "tries": told.tries,
            "machine": {
                "cores": os.cpu_count(),
                "loadBefore": round(load, 2),
                "loadAfter": round(os.getloadavg()[0], 2),
            },
            "startS": {name: round(value, 2) for name, value in started.items()},
            "times": self.times,
            "calm": calm,
            "loaded": loaded,
            "trouble": trouble,
            "restartsOfIngresses": self.restarts,
            "clients": {"tries": len(tries), "served": served},
            "limits": find_exceeded_limits(calm, loaded, calm["bare"]) if told.real else [],
            "folder": str(world.folder),
            "processes": len(world.pids()) + 1,
            "mostMb": round(world.most_mb),
            "wrong": self.wrong,
        }

    def _loaded(self, seconds: float) -> None:
        """Traffic, and in it a change agreed and a death, one after the other, and ingresses that restart."""
        world, until = self.world, time.monotonic() + seconds
        self.restarting = True
        self._restart()
        for _ in range(self.told.changes):
            if world.hosts:
                self.step("a change agreed", self._agree)
        for _ in range(self.told.deaths if world.hosts else 0):
            self.step("a death known", self._death)
        if (left := until - time.monotonic()) > 0:
            world.turn(left)

    def _restart(self) -> None:
        """One hollow ingress now and then, in order; discovery's servers restart by themselves."""
        if self.world.hosts and self.rate > 0:
            self.world.loop.call_in(self.world.rng.expovariate(self.rate * self.told.hollow), self._due)

    def _due(self) -> None:
        if self.restarting:
            host = self.world.rng.choice(self.world.hosts)
            host.notify("restart", name=self.world.rng.choice(self.world.names[host.name]))
            self.restarts += 1
        self._restart()

    def _agree(self) -> None:
        world = self.world
        for host in world.hosts:
            host.ask("hear")
        asked = world.hosts[0]
        asked.ask("propose")
        found: dict[str, Any] = {}

        def known() -> bool:
            world.turn(0.1)
            found.update(asked.ask("agreed"))
            if not found.get("index"):
                return False
            found["all"] = [when for host in world.hosts for when in host.ask("agreed", index=found["index"])["times"]]
            return len(found["all"]) >= self.told.hollow

        try:
            world.until(known, KNOWN, "a change at all hollow ones")
        finally:
            if found.get("all"):
                row = summarize(when - found["asked"] for when in found["all"])
                self.times["agreedToAll"].append(row)

    def _death(self, patience: float = SOON) -> None:
        world = self.world
        name = world.names[world.hosts[-1].name][-1]
        self.restarting = False  # a new life never knew the one that dies
        for host in world.hosts:
            host.ask("watch", names=[name])
        killed = world.hosts[-1].ask("kill", names=[name], again=False)
        found: list[float] = []

        def known() -> bool:
            world.turn(0.1)
            found[:] = [when for host in world.hosts for when in host.ask("deaths")[name] if when >= killed]
            return len(found) >= self.told.hollow - 1

        try:
            world.until(known, patience, f"the death of {name} at all hollow ones")
            world.until(lambda: all(one.dead(name) for one in world.reals()), 5.0, "and at real ones")
        finally:
            self.times["deathKnown"].append(
                {
                    **summarize(when - killed for when in found),
                    "real": summarize(
                        when - killed for one in world.reals() for when in one.dead(name)[-1:] if when >= killed
                    ),
                }
            )
            world.hosts[-1].ask("start", names=[name])
            world.hosts[-1].ask("traffic", on=True)
            self.restarting = True

    def _trouble(self) -> dict[str, Any]:
        """A region cut off and back; then a tenth of the hollow ones killed and started anew at once."""
        world, told = self.world, self.told
        kinds = {kind: [one.place.name for one in world.reals(kind)] for kind in ("real", "voter", "bare")}
        found: dict[str, Any] = {}
        self.restarting = False
        first = world.counts()
        for link in world.links:
            link.ask("cut", region="r2", on=True)
        world.turn(told.cut)
        cut = world.counts()
        for link in world.links:
            link.ask("cut", region="r2", on=False)
        back = self.step("a region back", lambda: world.until(world.whole, told.patience, world.far))
        healed = world.counts()
        found["cut"] = {
            "seconds": told.cut,
            "wholeAfterS": back,
            "during": summarize_window(first, cut, kinds, told.hollow),
            "after": summarize_window(cut, healed, kinds, told.hollow),
        }
        self.say(f"the region is back after {back}")
        tenth = {host: world.names[host.name][::10] for host in world.hosts}
        for host, names in tenth.items():
            host.submit("kill", names=names, again=True)
        for host in tenth:
            host.collect("kill", SOON)
        ready = self.step(
            "a tenth ready",
            lambda: world.until(
                lambda: not any(row["waits"] for row in world.states()), told.patience, "a tenth is ready"
            ),
        )
        took = [row for state in world.states() for row in state["took"]]
        again = self.step("a tenth back", lambda: world.until(world.whole, told.patience, world.far))
        last = world.counts()
        found["tenth"] = {
            "killed": sum(len(names) for names in tenth.values()),
            "readyS": ready,
            "wholeAfterS": again,
            "ready": summarize(row[0] for row in took),
            "listWhole": summarize(row[1] for row in took),
            "after": summarize_window(healed, last, kinds, told.hollow),
        }
        self.say(f"the tenth is back after {again}")
        return found


def table(report: dict[str, Any]) -> str:
    lines = [
        f"{report['hollow']} hollow, {report['real']} real, {report['voters']} voters, {report['servers']} "
        f"servers, seed {report['seed']}; {report['processes']} processes, {report['mostMb']} MB at most"
    ]
    for phase in ("calm", "loaded"):
        part = report[phase]
        lines.append(f"\n{phase}, {part['seconds']} s          CPU %   MB      hold ms   control bytes/s")
        for kind in ("hollow", "real", "voter", "bare"):
            if kind in part:
                row = part[kind]
                lines.append(
                    f"  {kind:12} x {row['processes']:4}   {row['cpuPercent']['median']:8.2f} "
                    f"{row['residentMb']['median']:7.1f} {row['longestHoldMs']['most']:9.1f} "
                    f"{row['controlBytesASecond']:12.0f}"
                )
                for where in ("members", "discovery", "counter"):
                    for name, figures in row[where].items():
                        lines.append(
                            f"      {where:9} {name:14} "
                            + "  ".join(f"{key} {value:g}" for key, value in sorted(figures.items()))
                        )
        for kind in ("discovery", "counter", "links"):
            row = part[kind]
            lines.append(
                f"  {kind:12}          {row['cpuPercent']:8.2f} {row['residentMb']:7.1f} "
                f"{row['longestHoldMs']:9.1f}   {row['aSecond']}"
            )
    lines.append(f"\ntimes, s: {json.dumps(report['times'])}")
    if report.get("trouble"):
        lines.append(f"trouble: {json.dumps(report['trouble'])[:400]}")
    for row in report.get("compared", []):
        lines.append(
            f"  {row['kind']:24} {row['what']:12} real {row['real']:10g} hollow {row['hollow']:10g} "
            f"ratio {row['ratio']} {'' if row['near'] else 'few' if row['near'] is None else 'FAR'}"
        )
    lines += [f"LIMIT: {text}" for text in report["limits"]] + [f"WRONG: {text}" for text in report["wrong"]]
    return "\n".join(lines)


def words() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    made.add_argument("--hollow", type=int, default=60)
    made.add_argument("--real", type=int, default=3)
    made.add_argument("--voters", type=int, default=3, choices=(1, 3, 5))
    made.add_argument("--seconds", type=float, default=60.0)
    made.add_argument("--seed", type=int, default=1)
    made.add_argument("--servers", type=int, default=12_000)
    made.add_argument("--hollow-servers", type=int, default=0, help="of the list, told to hollow ones; 0 = all")
    made.add_argument("--profile", default="", help="a file: what the first host of hollow ones does, for pstats")
    made.add_argument("--factor", type=float, default=1.0, help="times the letter's 3,700 restarts a day")
    made.add_argument("--tries", type=float, default=2.0, help="a second at each ingress, hollow or real")
    made.add_argument("--parts", default=",".join(USUAL), help=f"of {', '.join(PARTS)}")
    made.add_argument("--changes", type=int, default=3)
    made.add_argument("--deaths", type=int, default=1)
    made.add_argument("--rest", type=float, default=10.0, help="s between whole and the first window")
    made.add_argument("--patience", type=float, default=240.0, help="s until all are whole")
    made.add_argument("--compare", action="store_true")
    made.add_argument("--trouble", action="store_true")
    made.add_argument("--cut", type=float, default=30.0, help="s that the region is away")
    made.add_argument("--json", action="store_true")
    return made


def play(told: argparse.Namespace) -> dict[str, Any]:
    if told.compare:
        told.hollow = told.real = 12
        told.deaths = 0
    run = Run(told)
    report: dict[str, Any] = {}
    try:
        report = run.play()
    except (Ended, RuntimeError) as error:
        run.wrong.append(str(error))
        raise
    finally:
        late = run.world.close(keep=bool(run.wrong))
        if late:
            run.wrong.append(f"{late} processes had to be killed after SIGTERM")
    if told.compare:
        report["compared"] = compare_hollow_with_real(report["loaded"])
        report["wrong"] += [
            f"hollow is unlike real: {row['kind']} {row['what']}: {row['ratio']}"
            for row in report["compared"]
            if row["near"] is False
        ]
    return report


def main() -> int:
    told = words().parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    report = play(told)
    print(json.dumps(report) if told.json else table(report))
    return int(bool(report["wrong"] or report["limits"]))


if __name__ == "__main__":
    sys.exit(main())
