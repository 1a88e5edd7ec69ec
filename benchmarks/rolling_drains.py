"""Rolls of pooling ingresses whose connections never pass a server's limit: real processes, servers that count.

    python -m benchmarks.rolling_drains [--instances 12] [--rolls 3] [--limit 16] [--seed 1] [--json]
    python -m benchmarks.rolling_drains --schedule       waves against the optimum of an integer programme, no processes

Every ingress is a process; each sim server holds `--limit` connections of all of them together, counts by itself and
refuses what comes beyond. The ingresses are rolled in the waves of `drains/schedule` (SIGTERM, a new process, ready)
under load; from the second roll on with faults between the processes (partitions, a killed ingress, a stopped one).
Exits 1 where a bound is broken:

    connections at a server beyond its limit           0
    messages lost at ingresses that were not killed    0
    served in a roll, of what is served in calm        0.97 at least, 0.9 with faults
    a roll, of the time of one ingress at a time        a third at most, where three or more go together
    waves against the optimum                          1.3 at most"""

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

RATE, MEAN, SERVERS = 60.0, 0.05, 3
CALM, FAULTS, TIME, OPTIMUM = 0.97, 0.9, 1 / 3, 1.3
READY = 25.0  # s


class Bounded:
    """A server's listener: how many connections it holds, the most of them, and what came beyond."""

    def __init__(self, listener: Listener, limit: int) -> None:
        self.listener, self.limit, self.most, self.beyond = listener, limit, 0, 0
        accept = listener._acceptable

        def counted(events: int) -> None:
            for line in list(listener.lines):  # what has ended and was not read yet is held no more
                line._event(1)
            before = set(listener.lines)
            accept(events)
            self.most = max(self.most, len(listener.lines))
            for line in [one for one in listener.lines if one not in before][max(0, limit - len(before)) :]:
                self.beyond += 1
                line.reset()

        listener._acceptable = counted  # type: ignore[method-assign]
        assert listener.sock is not None
        listener.loop.unregister(listener.sock)
        listener.loop.register(listener.sock, 1, counted)


def ready(fleet: Fleet, one: Process) -> bool:
    return bool(one.status.get("ready")) and one.status.get("drains", {}).get("entered", False)


def roll(fleet: Fleet, found: list[list[int]], wrong: list[str]) -> float:
    """Each wave at once; the next begins when all of it are ready. Seconds."""
    begin = time.monotonic()
    for wave in found:
        ones = [fleet.processes[place] for place in wave]
        fleet.wave = set(wave)  # type: ignore[attr-defined]
        for one in ones:
            one.call("POST", "/v1/drain", None, lambda status, body: None, 2.0)
            fleet.load.down.add(one.number)
        fleet.run_for(0.3)
        for one in ones:
            if one.popen is not None and one.popen.poll() is None:
                one.popen.terminate()
        if not fleet.run_until(
            lambda ones=ones: all(  # type: ignore[misc]
                one.popen is not None and one.popen.poll() is not None for one in ones
            ),
            15.0,
        ):
            wrong.append(f"not ended 15 s after SIGTERM: {[one.name for one in ones]}")
        for one in ones:
            one.status = {}
            one.start()
        if not fleet.run_until(lambda ones=ones: all(ready(fleet, one) for one in ones), READY):  # type: ignore[misc]
            wrong.append(f"not ready in {READY:g} s: {[(one.name, one.status.get('drains')) for one in ones]}")
    return time.monotonic() - begin


def faults(fleet: Fleet, rng: random.Random, seconds: float) -> None:
    """Between the processes, while they are rolled: a partition of a few, a killed one, a stopped one, in turn."""

    def one_more() -> None:
        if not fleet.rolling:  # type: ignore[attr-defined]
            fleet.relays.links.heal()
            return
        names = [one.name for one in fleet.processes]
        what = rng.choice(("part", "cut", "stop", "kill"))
        away = rng.sample(names, max(1, len(names) // 4))
        if what == "part":
            fleet.relays.links.partition(set(away), set(names) - set(away))
        elif what == "cut":
            fleet.relays.links.override(*rng.sample(names, 2), is_cut=True)
        else:
            one = fleet.find_process(away[0])
            rolled = one.number in fleet.wave  # type: ignore[attr-defined]
            if one.popen is not None and one.popen.poll() is None and ready(fleet, one) and not rolled:
                if what == "kill":
                    one.kill()
                    fleet.load.down.add(one.number)
                    fleet.loop.call_in(1.0, one.start)
                else:
                    one.signal(signal.SIGSTOP)
                    fleet.loop.call_in(1.5, lambda: one.signal(signal.SIGCONT))
        fleet.loop.call_in(1.5, fleet.relays.links.heal)
        fleet.loop.call_in(2.0 + rng.random(), one_more)

    fleet.loop.call_in(0.5, one_more)


def run_trial(size: int, rolls: int, limit: int, seed: int, calm: float = 5.0, least: float = CALM) -> dict[str, Any]:
    """`least`: part of what is served in calm that the first roll has to serve; a short run's few tries scatter."""
    at_once = max(1, size // 3)
    fleet = Fleet(
        size,
        seed,
        SERVERS,
        operator_extra=f"[drains]\nlimit = {limit}\nat_once = {at_once}\nspread = 2\n",
        rate=RATE,
        mean_service_seconds=MEAN,
    )
    wrong, rng = fleet.violations, random.Random(seed)
    bounded = [Bounded(server.listener, limit) for server in fleet.servers]
    fleet.rolling, fleet.wave = False, set()  # type: ignore[attr-defined]

    def share(since: int) -> float:
        """Served, of the tries that ended since."""
        ended = [one for one in fleet.load.tries[since:] if one.ended]
        return sum(one.status == 200 for one in ended) / max(1, len(ended))

    try:
        for one in fleet.processes:
            one.start()
        fleet.start_polling()
        if not fleet.run_until(lambda: all(ready(fleet, one) for one in fleet.processes), 40.0):
            wrong.append(f"not all ready in 40 s: {[one.status.get('drains') for one in fleet.processes]}")
        fleet.update_front()
        fleet.load.start()
        fleet.run_for(2.0)
        since = len(fleet.load.tries)
        fleet.run_for(calm)
        served = share(since)
        rules = Rules(at_once, at_once, 2, size)
        found = [[one.place for one in wave] for wave in plan_waves([Ingress(n) for n in range(size)], rules)]
        took: list[float] = []
        shares: list[float] = []
        for number in range(rolls):
            if number:
                fleet.rolling = True  # type: ignore[attr-defined]
                faults(fleet, rng, 60.0)
            since = len(fleet.load.tries)
            took.append(roll(fleet, found, wrong))
            fleet.rolling = False  # type: ignore[attr-defined]
            shares.append(share(since))
            fleet.relays.links.heal()
            if not fleet.run_until(lambda: all(ready(fleet, one) for one in fleet.processes), READY):
                wrong.append("not all ready after a roll")
            fleet.run_for(1.0)
        alone = roll(fleet, [[0]], wrong) * size if rolls else 0.0
        fleet.load.stop()
        fleet.run_until(lambda: not fleet.load.out, 12.0)
        killed = {number for _, number in fleet.killed}
        lost = [one for one in fleet.load.tries if not one.status and one.taken and one.ingress not in killed]
        if lost:
            wrong.append(f"{len(lost)} messages lost at ingresses that were not killed")
        if beyond := sum(one.beyond for one in bounded):
            wrong.append(f"{beyond} connections beyond a limit")
        for number, part in enumerate(shares):
            if part < (least if not number else min(least, FAULTS)) * served:
                wrong.append(f"roll {number} served {part:.3f}, in calm {served:.3f}")
        if at_once >= 3 and took and took[0] > TIME * alone:
            wrong.append(f"a roll took {took[0]:.1f} s, one at a time {alone:.1f}")
        return {
            "seed": seed,
            "instances": size,
            "limit": limit,
            "waves": len(found),
            "rollsS": [round(one, 1) for one in took],
            "oneAtATimeS": round(alone, 1),
            "servedCalm": round(served, 3),
            "servedInRolls": [round(one, 3) for one in shares],
            "mostAtAServer": [one.most for one in bounded],
            "beyond": sum(one.beyond for one in bounded),
            "killed": len(fleet.killed),
            "tries": len(fleet.load.tries),
            "lost": len(lost),
            "wrong": wrong,
        }
    finally:
        fleet.close(keep=bool(wrong))


def optimum(rows: list[Ingress], rules: Rules) -> float:
    """Least time over all divisions into waves, as an integer programme: x[i, w] one goes in w, y[w] how long w is."""
    import numpy as np
    from scipy.optimize import Bounds, LinearConstraint, milp

    count = len(rows)
    size = count * count + count  # x by row and wave, then y
    cost = np.zeros(size)
    cost[count * count :] = 1.0
    parts, least, most = [], [], []

    def add(terms: dict[int, float], low: float, high: float) -> None:
        row = np.zeros(size)
        for at, factor in terms.items():
            row[at] = factor
        parts.append(row)
        least.append(low)
        most.append(high)

    for n in range(count):
        add({n * count + w: 1.0 for w in range(count)}, 1.0, 1.0)
        for w in range(count):
            add({count * count + w: 1.0, n * count + w: -rows[n].duration}, 0.0, np.inf)
    spread = min(rules.set_size, rules.place_count)
    for w in range(count):
        add({n * count + w: 1.0 for n in range(count)}, 0.0, rules.max_away)
        for zone in {one.zone for one in rows}:
            add({n * count + w: 1.0 for n in range(count) if rows[n].zone == zone}, 0.0, rules.max_away_in_zone)
        for first in range(rules.place_count):
            firm = {(first + step) % rules.place_count for step in range(spread)}
            members = [n for n in range(count) if rows[n].place in firm]
            if len(members) == spread:
                add({n * count + w: 1.0 for n in members}, 0.0, spread - 1)
    whole = np.ones(size)
    whole[count * count :] = 0
    upper = np.ones(size)
    upper[count * count :] = max(one.duration for one in rows)
    found = milp(
        cost,
        constraints=LinearConstraint(np.array(parts), least, most),
        integrality=whole,
        bounds=Bounds(np.zeros(size), upper),
        options={"time_limit": 10.0},
    )
    return float(found.fun)


def schedule(cases: int, seed: int) -> dict[str, Any]:
    rng, ratios = random.Random(seed), list[float]()
    for _ in range(cases):
        count = rng.randrange(4, 8)
        rows = [Ingress(n, rng.choice("abc"), rng.choice((1.0, 1.0, 2.0, 5.0))) for n in range(count)]
        rules = Rules(rng.randrange(1, 4), rng.randrange(1, 3), rng.randrange(2, 4), count)
        ratios.append(total_seconds(plan_waves(rows, rules)) / optimum(rows, rules))
    return {
        "cases": cases,
        "optimal": sum(ratio < 1.001 for ratio in ratios),
        "mean": round(sum(ratios) / cases, 3),
        "worst": round(max(ratios), 3),
    }


def main() -> int:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--instances", type=int, default=12)
    words.add_argument("--rolls", type=int, default=3)
    words.add_argument("--limit", type=int, default=16)
    words.add_argument("--seed", type=int, default=1)
    words.add_argument("--schedule", action="store_true")
    words.add_argument("--cases", type=int, default=60)
    words.add_argument("--json", action="store_true")
    told = words.parse_args()
    if told.schedule:
        found = schedule(told.cases, told.seed)
        print(json.dumps(found, indent=None if told.json else 1))
        return int(found["worst"] > OPTIMUM)
    report = run_trial(told.instances, told.rolls, told.limit, told.seed)
    print(json.dumps(report, indent=None if told.json else 1))
    return int(bool(report["wrong"]))


if __name__ == "__main__":
    sys.exit(main())
