"""Runs a large fleet on this machine, hollow ingresses beside real ones, and measures the cost of each kind of process.

    python -m benchmarks.scale --hollow 890 --real 8 --seconds 120 --seed 1 [--json]
    python -m benchmarks.scale --compare                      12 hollow and 12 real, compared by kind of message
    python -m benchmarks.scale --hollow 890 --real 8 --seconds 120 --seed 1 --trouble

Many hollow ingresses (standins/hollow) share one process; real ingresses and voters run `serve`. The membership traffic
of each passes through a relay of its own (standins/links), which adds the delay and loss between twelve zones in three
regions. Discovery lists 12,000 servers that restart one after the other, 3,700 restarts a day over servers and
ingresses together, times `--factor`. Phases: all processes start and become complete; for a third of the time there are
no clients (`calm`, where all cost is control traffic); for the rest, real ingresses have clients and hollow ones
simulated messages (`loaded`), while changes are agreed and ingresses killed.

Exits with 1 if control traffic of a real ingress exceeds 2 % of a core (calm), 32 MB (above a daemon with all features
off) or 14,000 bytes per second, if something did not happen in time, or with `--compare` if a kind of message differs
by more than 10 %.

JSON: the options `hollow`, `real`, `voters`, `servers`, `hollowServers` (the part of the list that hollow ingresses
get), `seed`, `parts`, `factor` and `tries` (messages per second at each ingress); `wrong` and `limits` (texts, empty on
success); `machine` (cores, load average before and after); `startS` by kind; `times` in seconds, each with least,
median, most99, most and `of` (number of values): `readyHollow`, `listWholeHollow`, `readyReal`, `listWholeReal`,
`membersWhole` (of the start), `agreedToAll` (a row per change: from the proposal until applied by each hollow ingress),
`deathKnown` (a row per death: from the kill until known to each hollow ingress, and in `real` to each real one). `calm`
and `loaded` have `seconds` and, by kind of process (hollow, real, voter, bare, discovery, counter, links), the cost of
one process: `members`, `discovery` and `counter` by kind with messages and bytes per second (sent and received;
discovery and counter as counted by those services), `controlBytesASecond`, `cpuPercent`, `residentMb` and
`longestHoldMs`. CPU and memory of a hollow ingress are those of its host divided by the number of ingresses on it;
`ownCallsPercent` is the time spent in its own calls. `trouble` is the cost of cutting off a region and of killing a
tenth of the hollow ingresses; `mostMb` is the memory of all processes together; `processes` is their number. Bytes are
those of messages as encrypted or framed, without IP, UDP and TCP headers.
"""

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
from benchmarks.scale.world import BenchmarkError, World
from brackenpulley.standins.hollow import DEFAULT_SECTIONS, OPERATOR_SECTIONS

RESTARTS_PER_DAY = 3700
MACHINE_COUNT = 12_890  # servers and ingresses, over which the restarts are spread evenly
START_TIMEOUT_S = 600.0  # until all processes are up
RESPONSE_TIMEOUT_S = 60.0
CHANGE_TIMEOUT_S = 14.0  # until a change is in force everywhere


class Run:
    """One run through all phases, which collects times and failures."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.rate = RESTARTS_PER_DAY / 86400 * options.factor / MACHINE_COUNT  # restarts per second of one machine
        self.failures: list[str] = []
        self.times: dict[str, Any] = {"agreedToAll": [], "deathKnown": []}
        self.world = World(
            options.hollow,
            options.real,
            options.seed,
            options.servers,
            tuple(options.parts.split(",")),
            options.tries,
            options.voters,
            options.hollow_servers,
            options.profile,
        )
        self.restart_count, self.is_restarting = 0, False

    def run_step(self, description: str, action: Callable[[], Any]) -> Any:
        """Runs a step and returns its result; a failure is recorded and the run continues with the next step."""
        try:
            return action()
        except BenchmarkError as error:
            self.failures.append(f"{description}: {error}")
            self.print_progress(self.failures[-1])
            return None

    def print_progress(self, text: str) -> None:
        """Prints a line to standard error with the seconds since the start."""
        print(f"{time.monotonic() - self.started_at:7.1f} s  {text}", file=sys.stderr, flush=True)

    def execute(self) -> dict[str, Any]:
        """Runs all phases and returns the report."""
        options, world = self.options, self.world
        self.started_at = time.monotonic()
        load_average = os.getloadavg()[0]
        start_durations = world.start(min(START_TIMEOUT_S, 2 * options.patience))
        self.print_progress(f"started: {start_durations}")
        complete_after_s = self.run_step(
            "start", lambda: world.wait_until(world.is_complete, options.patience, world.describe_incomplete)
        )
        self.print_progress(f"complete after {complete_after_s}")
        reals = world.list_daemons()
        start_times = [row for state in world.query_states() for row in state["took"]]
        self.run_step(
            "lists",
            lambda: world.wait_until(
                lambda: all(daemon.list_complete_after_s for daemon in reals),
                RESPONSE_TIMEOUT_S,
                "lists of real ingresses are complete",
            ),
        )
        self.times.update(
            readyHollow=summarize(row[0] for row in start_times),
            listWholeHollow=summarize(row[1] for row in start_times),
            readyReal=summarize(daemon.ready_after_s for daemon in reals),
            listWholeReal=summarize(daemon.list_complete_after_s for daemon in reals),
            membersWhole=complete_after_s,
        )
        for host in world.hosts:
            host.ask("settle")
        world.run_for(options.rest)  # lets the messages that the start caused settle
        world.discovery.ask("churn", rate=self.rate * options.servers)
        names_by_kind = {
            kind: [daemon.place.name for daemon in world.list_daemons(kind)] for kind in ("real", "voter", "bare")
        }
        start_counts = world.collect_counts()
        world.run_for(options.seconds / 3)
        calm_counts = world.collect_counts()
        self.print_progress("calm phase ended")
        for host in world.hosts:
            host.ask("traffic", on=True)
        world.client_load.start()
        self._run_loaded_phase(options.seconds * 2 / 3)
        loaded_counts = world.collect_counts()
        calm, loaded = (
            summarize_window(a, b, names_by_kind, options.hollow)
            for a, b in ((start_counts, calm_counts), (calm_counts, loaded_counts))
        )
        self.print_progress("loaded phase ended")
        self.is_restarting = False
        trouble = self._measure_trouble() if options.trouble else None
        for host in world.hosts:
            host.ask("traffic", on=False)
        world.client_load.stop()
        self.run_step(
            "clients",
            lambda: world.wait_until(lambda: not world.client_load.in_flight, 12.0, "clients have their responses"),
        )
        messages = world.client_load.messages
        served = sum(message.status == 200 for message in messages)
        return {
            "hollow": options.hollow,
            "real": options.real,
            "voters": options.voters,
            "servers": options.servers,
            "hollowServers": options.hollow_servers or options.servers,
            "seed": options.seed,
            "parts": options.parts,
            "factor": options.factor,
            "tries": options.tries,
            "machine": {
                "cores": os.cpu_count(),
                "loadBefore": round(load_average, 2),
                "loadAfter": round(os.getloadavg()[0], 2),
            },
            "startS": {name: round(value, 2) for name, value in start_durations.items()},
            "times": self.times,
            "calm": calm,
            "loaded": loaded,
            "trouble": trouble,
            "restartsOfIngresses": self.restart_count,
            "clients": {"tries": len(messages), "served": served},
            "limits": find_exceeded_limits(calm, loaded, calm["bare"]) if options.real else [],
            "folder": str(world.folder),
            "processes": len(world.list_pids()) + 1,
            "mostMb": round(world.peak_memory_mb),
            "wrong": self.failures,
        }

    def _run_loaded_phase(self, seconds: float) -> None:
        """Measures changes and deaths one after the other, under traffic and while ingresses restart."""
        world, deadline = self.world, time.monotonic() + seconds
        self.is_restarting = True
        self._schedule_restart()
        for _ in range(self.options.changes):
            if world.hosts:
                self.run_step("agreement on a change", self._measure_agreement)
        for _ in range(self.options.deaths if world.hosts else 0):
            self.run_step("detection of a death", self._measure_death)
        if (remaining := deadline - time.monotonic()) > 0:
            world.run_for(remaining)

    def _schedule_restart(self) -> None:
        """Schedules the next graceful restart of a hollow ingress; discovery restarts its servers itself."""
        if self.world.hosts and self.rate > 0:
            self.world.loop.call_in(self.world.rng.expovariate(self.rate * self.options.hollow), self._restart_one)

    def _restart_one(self) -> None:
        if self.is_restarting:
            host = self.world.rng.choice(self.world.hosts)
            host.notify("restart", name=self.world.rng.choice(self.world.names_by_host[host.name]))
            self.restart_count += 1
        self._schedule_restart()

    def _measure_agreement(self) -> None:
        world = self.world
        for host in world.hosts:
            host.ask("hear")
        proposer = world.hosts[0]
        proposer.ask("propose")
        results: dict[str, Any] = {}

        def is_known() -> bool:
            world.run_for(0.1)
            results.update(proposer.ask("agreed"))
            if not results.get("index"):
                return False
            results["all"] = [
                when for host in world.hosts for when in host.ask("agreed", index=results["index"])["times"]
            ]
            return len(results["all"]) >= self.options.hollow

        try:
            world.wait_until(is_known, CHANGE_TIMEOUT_S, "a change applied by all hollow ingresses")
        finally:
            if results.get("all"):
                row = summarize(when - results["asked"] for when in results["all"])
                self.times["agreedToAll"].append(row)

    def _measure_death(self, timeout_s: float = RESPONSE_TIMEOUT_S) -> None:
        world = self.world
        name = world.names_by_host[world.hosts[-1].name][-1]
        self.is_restarting = False  # an ingress that restarts now never knew the one that is killed
        for host in world.hosts:
            host.ask("watch", names=[name])
        killed = world.hosts[-1].ask("kill", names=[name], again=False)
        results: list[float] = []

        def is_known() -> bool:
            world.run_for(0.1)
            results[:] = [when for host in world.hosts for when in host.ask("deaths")[name] if when >= killed]
            return len(results) >= self.options.hollow - 1

        try:
            world.wait_until(is_known, timeout_s, f"the death of {name} known to all hollow ingresses")
            world.wait_until(
                lambda: all(daemon.find_death_times(name) for daemon in world.list_daemons()),
                5.0,
                "the death known to all real ingresses",
            )
        finally:
            self.times["deathKnown"].append(
                {
                    **summarize(when - killed for when in results),
                    "real": summarize(
                        when - killed
                        for daemon in world.list_daemons()
                        for when in daemon.find_death_times(name)[-1:]
                        if when >= killed
                    ),
                }
            )
            world.hosts[-1].ask("start", names=[name])
            world.hosts[-1].ask("traffic", on=True)
            self.is_restarting = True

    def _measure_trouble(self) -> dict[str, Any]:
        """Cuts off a region and restores it, then kills a tenth of the hollow ingresses and restarts them at once."""
        world, options = self.world, self.options
        names_by_kind = {
            kind: [daemon.place.name for daemon in world.list_daemons(kind)] for kind in ("real", "voter", "bare")
        }
        results: dict[str, Any] = {}
        self.is_restarting = False
        start_counts = world.collect_counts()
        for link in world.links:
            link.ask("cut", region="r2", on=True)
        world.run_for(options.cut)
        cut_counts = world.collect_counts()
        for link in world.links:
            link.ask("cut", region="r2", on=False)
        recovered_after_s = self.run_step(
            "recovery of a region",
            lambda: world.wait_until(world.is_complete, options.patience, world.describe_incomplete),
        )
        healed_counts = world.collect_counts()
        results["cut"] = {
            "seconds": options.cut,
            "wholeAfterS": recovered_after_s,
            "during": summarize_window(start_counts, cut_counts, names_by_kind, options.hollow),
            "after": summarize_window(cut_counts, healed_counts, names_by_kind, options.hollow),
        }
        self.print_progress(f"region recovered after {recovered_after_s}")
        killed_names = {host: world.names_by_host[host.name][::10] for host in world.hosts}
        for host, names in killed_names.items():
            host.submit("kill", names=names, again=True)
        for host in killed_names:
            host.collect("kill", RESPONSE_TIMEOUT_S)
        ready_after_s = self.run_step(
            "readiness of a tenth",
            lambda: world.wait_until(
                lambda: not any(row["waits"] for row in world.query_states()),
                options.patience,
                "the restarted tenth is ready",
            ),
        )
        start_times = [row for state in world.query_states() for row in state["took"]]
        tenth_recovered_after_s = self.run_step(
            "recovery of a tenth",
            lambda: world.wait_until(world.is_complete, options.patience, world.describe_incomplete),
        )
        final_counts = world.collect_counts()
        results["tenth"] = {
            "killed": sum(len(names) for names in killed_names.values()),
            "readyS": ready_after_s,
            "wholeAfterS": tenth_recovered_after_s,
            "ready": summarize(row[0] for row in start_times),
            "listWhole": summarize(row[1] for row in start_times),
            "after": summarize_window(healed_counts, final_counts, names_by_kind, options.hollow),
        }
        self.print_progress(f"tenth recovered after {tenth_recovered_after_s}")
        return results


def format_report(report: dict[str, Any]) -> str:
    """Formats the report as text."""
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


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--hollow", type=int, default=60)
    parser.add_argument("--real", type=int, default=3)
    parser.add_argument("--voters", type=int, default=3, choices=(1, 3, 5))
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--servers", type=int, default=12_000)
    parser.add_argument(
        "--hollow-servers", type=int, default=0, help="servers of the list that hollow ingresses get; 0 = all"
    )
    parser.add_argument("--profile", default="", help="file for a cProfile of the first host of hollow ingresses")
    parser.add_argument("--factor", type=float, default=1.0, help="multiplier of the 3,700 restarts a day")
    parser.add_argument("--tries", type=float, default=2.0, help="messages per second at each ingress, hollow or real")
    parser.add_argument(
        "--parts",
        default=",".join(DEFAULT_SECTIONS),
        help=f"comma-separated features out of {', '.join(OPERATOR_SECTIONS)}",
    )
    parser.add_argument("--changes", type=int, default=3)
    parser.add_argument("--deaths", type=int, default=1)
    parser.add_argument(
        "--rest", type=float, default=10.0, help="seconds between completion of the start and the first window"
    )
    parser.add_argument("--patience", type=float, default=240.0, help="seconds until all processes are complete")
    parser.add_argument("--compare", action="store_true")
    parser.add_argument("--trouble", action="store_true")
    parser.add_argument("--cut", type=float, default=30.0, help="seconds that the region is cut off")
    parser.add_argument("--json", action="store_true")
    return parser


def run_benchmark(options: argparse.Namespace) -> dict[str, Any]:
    """Runs the benchmark and returns the report; all processes have ended afterwards."""
    if options.compare:
        options.hollow = options.real = 12
        options.deaths = 0
    run = Run(options)
    report: dict[str, Any] = {}
    try:
        report = run.execute()
    except (BenchmarkError, RuntimeError) as error:
        run.failures.append(str(error))
        raise
    finally:
        killed_count = run.world.close(keep=bool(run.failures))
        if killed_count:
            run.failures.append(f"{killed_count} processes had to be killed after SIGTERM")
    if options.compare:
        report["compared"] = compare_hollow_with_real(report["loaded"])
        report["wrong"] += [
            f"hollow differs from real: {row['kind']} {row['what']}: {row['ratio']}"
            for row in report["compared"]
            if row["near"] is False
        ]
    return report


def main() -> int:
    """Runs the command line and returns the exit code."""
    options = build_parser().parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    report = run_benchmark(options)
    print(json.dumps(report) if options.json else format_report(report))
    return int(bool(report["wrong"] or report["limits"]))


if __name__ == "__main__":
    sys.exit(main())
