"""Rolling restarts of ingresses with pooled connections, which must stay within each sim server's connection limit.

    python -m benchmarks.rolling_drains [--instances 12] [--rolls 3] [--limit 16] [--seed 1] [--json]
    python -m benchmarks.rolling_drains --schedule       compares waves with an integer program, no processes

Every ingress is a process. Each sim server accepts `--limit` connections from all ingresses together, counts them
itself and resets those beyond. The ingresses are restarted under load in the waves of `drains/schedule` (SIGTERM, a new
process, ready); from the second restart on with faults between the processes (partitions, SIGKILL, SIGSTOP). Exits 1
if a bound is exceeded:

    connections beyond a server's limit                       0
    messages lost at ingresses that were not killed           0
    success ratio in a restart, against that without restart  at least 0.97, 0.9 with faults
    duration, against one ingress at a time                   at most a third, if three or more restart together
    total time of the waves, against the optimum              at most 1.3"""

from __future__ import annotations

import argparse
import json
import random
import signal
import sys
import time
from typing import Any

from benchmarks.work_order import Fleet, Process
from brackenpulley.drains.schedule import Ingress, Rules, plan_waves, total_seconds
from brackenpulley.standins.wire import Listener

MESSAGES_PER_SECOND = 60.0  # over all ingresses
MEAN_SERVICE_SECONDS = 0.05
SERVER_COUNT = 3
# Success ratios of a restart against the ratio before it; duration against one ingress at a time; schedule against the
# optimum.
MIN_SERVED_RATIO, MIN_SERVED_RATIO_WITH_FAULTS, MAX_DURATION_RATIO, MAX_SCHEDULE_RATIO = 0.97, 0.9, 1 / 3, 1.3
READY_TIMEOUT_SECONDS = 25.0


class LimitedListener:
    """Enforces a connection limit on a sim server's listener; counts the peak and the connections beyond the limit."""

    def __init__(self, listener: Listener, limit: int) -> None:
        self.listener, self.limit, self.peak_count, self.excess_count = listener, limit, 0, 0
        accept = listener._accept_connections

        def accept_counted(events: int) -> None:
            for line in list(listener.connections):  # reads pending ends, so that closed connections don't count
                line._handle_events(1)
            before = set(listener.connections)
            accept(events)
            self.peak_count = max(self.peak_count, len(listener.connections))
            for line in [line for line in listener.connections if line not in before][max(0, limit - len(before)) :]:
                self.excess_count += 1
                line.reset()

        listener._accept_connections = accept_counted  # type: ignore[method-assign]
        assert listener.sock is not None
        listener.loop.unregister(listener.sock)
        listener.loop.register(listener.sock, 1, accept_counted)


def is_ready(fleet: Fleet, process: Process) -> bool:
    """Reports whether a process is ready and registered for drains."""
    return bool(process.status.get("ready")) and process.status.get("drains", {}).get("entered", False)


def restart_in_waves(fleet: Fleet, waves: list[list[int]], violations: list[str]) -> float:
    """Restarts the ingresses wave by wave, the next once all of a wave are ready; returns the seconds it took."""
    begin = time.monotonic()
    for wave in waves:
        restarted = [fleet.processes[place] for place in wave]
        fleet.wave = set(wave)  # type: ignore[attr-defined]
        for process in restarted:
            process.call("POST", "/v1/drain", None, lambda status, body: None, 2.0)
            fleet.load.unavailable_ingresses.add(process.number)
        fleet.run_for(0.3)
        for process in restarted:
            if process.popen is not None and process.popen.poll() is None:
                process.popen.terminate()
        if not fleet.run_until(
            lambda restarted=restarted: all(  # type: ignore[misc]
                process.popen is not None and process.popen.poll() is not None for process in restarted
            ),
            15.0,
        ):
            violations.append(f"did not exit within 15 s of SIGTERM: {[process.name for process in restarted]}")
        for process in restarted:
            process.status = {}
            process.start()
        if not fleet.run_until(
            lambda restarted=restarted: all(is_ready(fleet, process) for process in restarted),  # type: ignore[misc]
            READY_TIMEOUT_SECONDS,
        ):
            violations.append(
                f"not ready in {READY_TIMEOUT_SECONDS:g} s: "
                f"{[(process.name, process.status.get('drains')) for process in restarted]}"
            )
    return time.monotonic() - begin


def inject_faults(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Injects random faults one after another during a restart: partition, one-way cut, SIGSTOP or SIGKILL."""

    def inject_next() -> None:
        if not fleet.is_restarting:  # type: ignore[attr-defined]
            fleet.relays.links.heal()
            return
        names = [process.name for process in fleet.processes]
        kind = rng.choice(("part", "cut", "stop", "kill"))
        chosen = rng.sample(names, max(1, len(names) // 4))
        if kind == "part":
            fleet.relays.links.partition(set(chosen), set(names) - set(chosen))
        elif kind == "cut":
            fleet.relays.links.override(*rng.sample(names, 2), is_cut=True)
        else:
            process = fleet.find_process(chosen[0])
            is_in_wave = process.number in fleet.wave  # type: ignore[attr-defined]
            if (
                process.popen is not None
                and process.popen.poll() is None
                and is_ready(fleet, process)
                and not is_in_wave
            ):
                if kind == "kill":
                    process.kill()
                    fleet.load.unavailable_ingresses.add(process.number)
                    fleet.loop.call_in(1.0, process.start)
                else:
                    process.signal(signal.SIGSTOP)
                    fleet.loop.call_in(1.5, lambda: process.signal(signal.SIGCONT))
        fleet.loop.call_in(1.5, fleet.relays.links.heal)
        fleet.loop.call_in(2.0 + rng.random(), inject_next)

    fleet.loop.call_in(0.5, inject_next)


def run_trial(
    size: int,
    restart_count: int,
    limit: int,
    seed: int,
    baseline_seconds: float = 5.0,
    min_served_ratio: float = MIN_SERVED_RATIO,
) -> dict[str, Any]:
    """Runs one trial and returns its report.

    `min_served_ratio` is the success ratio that the first restart needs, against the ratio before it; short runs need
    a lower one, as the ratio scatters over few messages."""
    at_once = max(1, size // 3)
    fleet = Fleet(
        size,
        seed,
        SERVER_COUNT,
        operator_extra=f"[drains]\nlimit = {limit}\nat_once = {at_once}\nspread = 2\n",
        rate=MESSAGES_PER_SECOND,
        mean_service_seconds=MEAN_SERVICE_SECONDS,
    )
    violations, rng = fleet.violations, random.Random(seed)
    listeners = [LimitedListener(server.listener, limit) for server in fleet.servers]
    fleet.is_restarting, fleet.wave = False, set()  # type: ignore[attr-defined]

    def served_ratio(since: int) -> float:
        """Returns the success ratio of the messages that ended, from a given number on."""
        ended = [message for message in fleet.load.messages[since:] if message.ended_at]
        return sum(message.status == 200 for message in ended) / max(1, len(ended))

    try:
        for process in fleet.processes:
            process.start()
        fleet.start_polling()
        if not fleet.run_until(lambda: all(is_ready(fleet, process) for process in fleet.processes), 40.0):
            violations.append(
                f"not all processes ready in 40 s: {[process.status.get('drains') for process in fleet.processes]}"
            )
        fleet.update_front()
        fleet.load.start()
        fleet.run_for(2.0)
        since = len(fleet.load.messages)
        fleet.run_for(baseline_seconds)
        baseline = served_ratio(since)
        rules = Rules(at_once, at_once, 2, size)
        waves = [[ingress.place for ingress in wave] for wave in plan_waves([Ingress(n) for n in range(size)], rules)]
        durations: list[float] = []
        served_ratios: list[float] = []
        for number in range(restart_count):
            if number:
                fleet.is_restarting = True  # type: ignore[attr-defined]
                inject_faults(fleet, rng, 60.0)
            since = len(fleet.load.messages)
            durations.append(restart_in_waves(fleet, waves, violations))
            fleet.is_restarting = False  # type: ignore[attr-defined]
            served_ratios.append(served_ratio(since))
            fleet.relays.links.heal()
            if not fleet.run_until(
                lambda: all(is_ready(fleet, process) for process in fleet.processes), READY_TIMEOUT_SECONDS
            ):
                violations.append("not all processes ready after a restart")
            fleet.run_for(1.0)
        one_by_one_seconds = restart_in_waves(fleet, [[0]], violations) * size if restart_count else 0.0
        fleet.load.stop()
        fleet.run_until(lambda: not fleet.load.in_flight, 12.0)
        killed = {number for _, number in fleet.killed}
        lost = [
            message
            for message in fleet.load.messages
            if not message.status and message.is_written and message.ingress not in killed
        ]
        if lost:
            violations.append(f"{len(lost)} messages lost at ingresses that were not killed")
        if excess := sum(listener.excess_count for listener in listeners):
            violations.append(f"{excess} connections beyond the server limit")
        for number, ratio in enumerate(served_ratios):
            if (
                ratio
                < (min_served_ratio if not number else min(min_served_ratio, MIN_SERVED_RATIO_WITH_FAULTS)) * baseline
            ):
                violations.append(f"restart {number} served {ratio:.3f}, {baseline:.3f} before it")
        if at_once >= 3 and durations and durations[0] > MAX_DURATION_RATIO * one_by_one_seconds:
            violations.append(f"a restart took {durations[0]:.1f} s, one ingress at a time {one_by_one_seconds:.1f} s")
        return {
            "seed": seed,
            "instances": size,
            "limit": limit,
            "waves": len(waves),
            "rollsS": [round(value, 1) for value in durations],
            "oneAtATimeS": round(one_by_one_seconds, 1),
            "servedCalm": round(baseline, 3),
            "servedInRolls": [round(value, 3) for value in served_ratios],
            "mostAtAServer": [listener.peak_count for listener in listeners],
            "beyond": sum(listener.excess_count for listener in listeners),
            "killed": len(fleet.killed),
            "tries": len(fleet.load.messages),
            "lost": len(lost),
            "wrong": violations,
        }
    finally:
        fleet.close(keep=bool(violations))


def find_optimum(ingresses: list[Ingress], rules: Rules) -> float:
    """Returns the least total time over all divisions into waves, by an integer program.

    Variables: x[i, w] is 1 if ingress i is in wave w, y[w] is the duration of w."""
    import numpy as np
    from scipy.optimize import Bounds, LinearConstraint, milp

    count = len(ingresses)
    size = count * count + count  # x by row and wave, then y
    cost = np.zeros(size)
    cost[count * count :] = 1.0
    matrix, lower, upper = [], [], []

    def add_constraint(terms: dict[int, float], low: float, high: float) -> None:
        row = np.zeros(size)
        for column, factor in terms.items():
            row[column] = factor
        matrix.append(row)
        lower.append(low)
        upper.append(high)

    for n in range(count):
        add_constraint({n * count + w: 1.0 for w in range(count)}, 1.0, 1.0)
        for w in range(count):
            add_constraint({count * count + w: 1.0, n * count + w: -ingresses[n].duration}, 0.0, np.inf)
    spread = min(rules.set_size, rules.place_count)
    for w in range(count):
        add_constraint({n * count + w: 1.0 for n in range(count)}, 0.0, rules.max_away)
        for zone in {ingress.zone for ingress in ingresses}:
            add_constraint(
                {n * count + w: 1.0 for n in range(count) if ingresses[n].zone == zone}, 0.0, rules.max_away_in_zone
            )
        for first in range(rules.place_count):
            firm_places = {(first + offset) % rules.place_count for offset in range(spread)}
            firm_ingresses = [n for n in range(count) if ingresses[n].place in firm_places]
            if len(firm_ingresses) == spread:
                add_constraint({n * count + w: 1.0 for n in firm_ingresses}, 0.0, spread - 1)
    integrality = np.ones(size)
    integrality[count * count :] = 0
    variable_upper = np.ones(size)
    variable_upper[count * count :] = max(ingress.duration for ingress in ingresses)
    solution = milp(
        cost,
        constraints=LinearConstraint(np.array(matrix), lower, upper),
        integrality=integrality,
        bounds=Bounds(np.zeros(size), variable_upper),
        options={"time_limit": 10.0},
    )
    return float(solution.fun)


def compare_schedules(cases: int, seed: int) -> dict[str, Any]:
    """Compares planned waves with the optimum for random small fleets."""
    rng, ratios = random.Random(seed), list[float]()
    for _ in range(cases):
        count = rng.randrange(4, 8)
        ingresses = [Ingress(n, rng.choice("abc"), rng.choice((1.0, 1.0, 2.0, 5.0))) for n in range(count)]
        rules = Rules(rng.randrange(1, 4), rng.randrange(1, 3), rng.randrange(2, 4), count)
        ratios.append(total_seconds(plan_waves(ingresses, rules)) / find_optimum(ingresses, rules))
    return {
        "cases": cases,
        "optimal": sum(ratio < 1.001 for ratio in ratios),
        "mean": round(sum(ratios) / cases, 3),
        "worst": round(max(ratios), 3),
    }


def main() -> int:
    """Runs a trial or the comparison with the optimum and prints its report; returns the exit status."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--instances", type=int, default=12)
    parser.add_argument("--rolls", type=int, default=3)
    parser.add_argument("--limit", type=int, default=16)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--schedule", action="store_true")
    parser.add_argument("--cases", type=int, default=60)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    if options.schedule:
        result = compare_schedules(options.cases, options.seed)
        print(json.dumps(result, indent=None if options.json else 1))
        return int(result["worst"] > MAX_SCHEDULE_RATIO)
    report = run_trial(options.instances, options.rolls, options.limit, options.seed)
    print(json.dumps(report, indent=None if options.json else 1))
    return int(bool(report["wrong"]))


if __name__ == "__main__":
    sys.exit(main())
