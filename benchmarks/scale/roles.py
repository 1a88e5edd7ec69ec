"""The processes of a scale run that are no daemons: hollow ingresses, links, discovery, counter.

python -m benchmarks.scale.roles KIND FILE          started by `world`, options by the file, asked by lines"""

from __future__ import annotations

import cProfile
import faulthandler
import gc
import json
import random
import signal
import socket
import sys
import time
from collections import Counter as Tally
from collections import deque
from functools import partial
from pathlib import Path
from typing import Any

from benchmarks.scale.child import Role, NullLogger
from brackenpulley.net.http import Payload
from brackenpulley.net.loop import READ
from brackenpulley.simulation.links import Link as Way
from brackenpulley.standins.hollow import Firm, Hollow, Place, operator
from brackenpulley.standins.links import Relays
from brackenpulley.standins.servers import HEARTBEAT, Counter
from brackenpulley.standins.wire import Line, Listener

MOST = 12  # that start at once
LOOK = 0.05  # s between looks at those that are not whole yet
KEPT = 4000  # changes of the list that one who watches again may be options
AWAY = 0.5  # s that a restarted server drains, and again until its next life is listed


class Hollows(Role):
    """`hollows`: their places and configurations."""

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.rng = random.Random(options["seed"])
        self.rows = {row["place"]["name"]: row for row in options["hollows"]}
        self.there: dict[str, Hollow] = {}
        self.gone: Tally[str] = Tally()  # counts of lives that are over
        self.waits: dict[str, float] = {}  # not whole yet: when they were started
        self.took: list[list[float]] = []  # s until ready, until the list is whole
        self.queue: deque[str] = deque()  # to be started
        self.listed_at: dict[str, float] = {}
        self.deaths: dict[str, list[float]] = {}  # by name: when one here took it for dead
        self.applied: dict[int, list[float]] = {}  # by index
        self.agreed: dict[str, Any] = {}
        self.loop.call_in(LOOK, self._look)

    def _make(self, name: str) -> None:
        row = self.rows[name]
        place = Place(
            **{
                **row["place"],
                "seeds": tuple(row["place"]["seeds"]),
                "voters": tuple(tuple(pair) for pair in row["place"]["voters"]),
            }
        )
        one = Hollow(
            self.loop,
            place,
            row["config"],
            operator(place, self.options["parts"]),
            [Firm(**firm) for firm in row["firms"]],
            NullLogger(),
            self.rng.getrandbits(32),
        )
        one.dead, one.applied = self._dead, lambda entry: self._applied(entry.index)
        self.there[name] = one
        self.waits[name] = time.monotonic()
        one.start()

    def _dead(self, ident: str) -> None:
        if (times := self.deaths.get(ident.partition("@")[0])) is not None:
            times.append(time.monotonic())

    def _applied(self, index: int) -> None:
        if self.agreed:
            self.applied.setdefault(index, []).append(time.monotonic())

    def _look(self) -> None:
        now = time.monotonic()
        unlisted = sum(not self._whole(name) for name in self.waits)
        while self.queue and unlisted < self.options["at_once"] and len(self.waits) < MOST:
            self._make(self.queue.popleft())
            unlisted += 1
        for name, since in list(self.waits.items()):
            if self._whole(name):
                self.listed_at.setdefault(name, now)
            if name in self.listed_at and self.there[name].daemon.is_ready():
                self.took.append([now - since, self.listed_at.pop(name) - since])
                del self.waits[name]
        self.loop.call_in(LOOK, self._look)

    def _whole(self, name: str) -> bool:
        """Its list is there, but for servers that are being restarted."""
        return len(self.there[name].daemon.inventory) >= self.options["servers"] * 9 // 10

    def ask_start(self, names: list[str]) -> bool:
        """Few at once: a whole list has to be taken in within seconds (net/watching), and all share a core here."""
        self.queue.extend(names)
        return True

    def ask_settle(self) -> bool:
        """What lives on is not looked at by the collector any more, as in a daemon that serves."""
        gc.collect()
        gc.freeze()
        return True

    def ask_state(self) -> dict[str, Any]:
        members = [one.members for one in self.there.values()] or [0]
        indexes = [one.index for one in self.there.values()] or [0]
        entered = [
            one.daemon.maintenance is None or bool(one.daemon.maintenance.agent.has_entered)
            for one in self.there.values()
        ]
        return {
            "there": len(members),
            "waits": len(self.waits) + len(self.queue),
            "members": [min(members), max(members)],
            "index": [min(indexes), max(indexes)],
            "entered": sum(entered),
            "took": self.took,
        }

    def ask_counts(self) -> dict[str, Any]:
        counts = Tally(self.gone)
        busy = 0.0
        for one in self.there.values():
            counts.update(one.daemon.metrics.counts)
            busy += one.berth.busy
        del counts["longest_turn_us"]
        holds = sorted(one.daemon.metrics.counts.pop("longest_turn_us", 0) for one in self.there.values())
        tries = [
            sum(one.traffic.tries for one in self.there.values()),
            sum(one.traffic.served for one in self.there.values()),
        ]
        return {"counts": counts, "holds": holds, "busy": busy, "tries": tries}

    def ask_traffic(self, on: bool) -> bool:
        for one in self.there.values():
            one.traffic.start() if on else one.traffic.stop()
        return on

    def _bury(self, name: str) -> None:
        one = self.there.pop(name)
        self.gone.update({key: value for key, value in one.daemon.metrics.counts.items() if key != "longest_turn_us"})
        self.waits.pop(name, None)
        self.listed_at.pop(name, None)

    def ask_watch(self, names: list[str]) -> bool:
        self.deaths = {name: [] for name in names}
        return True

    def ask_kill(self, names: list[str], again: bool) -> float:
        now = time.monotonic()
        self.took.clear()
        for name in names:
            self.there[name].kill()
            self._bury(name)
        if again:
            for name in names:
                self._make(name)
        return now

    def ask_restart(self, name: str) -> bool:
        """Ended in order, and started once it is over."""
        one = self.there.get(name)
        if one is None or name in self.waits:
            return False

        def over() -> None:
            self._bury(name)
            self._make(name)
            self.there[name].traffic.start()

        one.ended = over
        one.end()
        return True

    def ask_deaths(self) -> dict[str, list[float]]:
        return self.deaths

    def ask_propose(self) -> bool:
        """One entry that no part takes, by one that is here: it is agreed, options and applied as any other."""
        one = self.rng.choice(list(self.there.values()))
        now = time.monotonic()
        self.agreed = {"asked": now}
        self.applied.clear()

        def done(outcome: Any) -> None:
            self.agreed.update(answered=time.monotonic(), index=outcome.index if outcome is not None else 0)

        agreement = one.daemon.agreement
        agreement.agreement.propose(self.loop.clock(), "scale", b"", 10.0, done)
        agreement.send_pending()
        return True

    def ask_hear(self) -> bool:
        """What is applied from now on is noted."""
        self.agreed = {"asked": 0.0}
        self.applied.clear()
        return True

    def ask_agreed(self, index: int = 0) -> dict[str, Any]:
        index = index or self.agreed.get("index", 0)
        return {**self.agreed, "times": self.applied.get(index, [])}


class Links(Role):
    """A share of the relays: `names` by number, with where each listens, its datagrams' socket, and the listener's
    where this process has it. Sites are regions and zones; ways between them as `ways` says."""

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.relays = Handed(self.loop, options["seed"])
        for row in options["relays"]:
            self.relays.take(row["name"], tuple(row["listens"]), row["datagrams"], row["listener"])
        self.relays.links.sites = options["sites"]
        self.usual = {
            (a, b): Way(delay=delay, jitter=spread, loss=loss) for a, b, delay, spread, loss in options["ways"]
        }
        self.relays.links.site_links = dict(self.usual)

    def ask_cut(self, region: str, on: bool) -> bool:
        """Nothing goes between that region and the others."""
        self.relays.links.site_links = {
            (a, b): Way(is_cut=True) if on and (a.startswith(region) != b.startswith(region)) else way
            for (a, b), way in self.usual.items()
        }
        return on

    def ask_counts(self) -> dict[str, int]:
        return {"passed": self.relays.passed, "lost": self.relays.lost}


class Handed(Relays):
    """Relays whose sockets were opened by another process, and are shared by several: each reads some of them."""

    def take(self, name: str, listens: tuple[str, int], datagrams: int, listener: int | None) -> None:
        self.real[name], self._names[listens[0]] = listens, name
        self._sockets[name] = socket.socket(fileno=datagrams)
        if listener is not None:
            self._listeners[name] = socket.socket(fileno=listener)
            self.loop.register(self._listeners[name], READ, lambda events: self._acceptable(name))
            self.loop.register(self._sockets[name], READ, lambda events: self._readable(name))


class Servers(Role):
    """Discovery with many servers, and a listener for each kind of asker, so that what each costs is counted apart.

    Servers restart one after the other: draining, gone, and there again as of now."""

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.rng = random.Random(options["seed"])
        self.generation, self.rate = 1, 0.0
        self.rows: dict[str, dict[str, Any]] = {}
        for number in range(max(options["listed"].values())):
            at = options["at"][number % len(options["at"])]
            zone = options["zones"][number % len(options["zones"])]
            name = f"sim-{number:05d}"
            self.rows[name] = {
                "instanceId": name,
                "hostPort": at,
                "zone": zone,
                "cell": number // 48,
                "weight": 1.0,
                "lifecycle": "SERVING",
                "startedAtMs": 1764000000000 + number,
            }
        self.up = list(self.rows)
        self.encoded = {name: json.dumps(row) for name, row in self.rows.items()}
        self.whole: dict[int, tuple[int, bytes]] = {}  # by how many are listed
        self.changes: deque[tuple[int, bytes]] = deque(maxlen=KEPT)
        self.watchers: dict[str, list[Line]] = {group: [] for group in options["groups"]}
        self.counts: Tally[str] = Tally()
        self.listeners = {group: Listener(self.loop, partial(self._heard, group)) for group in options["groups"]}
        self.loop.call_in(HEARTBEAT, self._beat)

    def ask_at(self) -> dict[str, str]:
        return {group: listener.text for group, listener in self.listeners.items()}

    def _list(self, group: str) -> bytes:
        """The first of the list, as many as that group is options."""
        most = self.options["listed"][group]
        if self.whole.get(most, (0,))[0] != self.generation:
            rows = ",".join(self.encoded[name] for name in self.up[:most] if name in self.encoded)
            self.whole[most] = (
                self.generation,
                (f'{{"generation": {self.generation}, "reset": true, "instances": [{rows}]}}').encode(),
            )
        return self.whole[most][1]

    def _count(self, group: str, kind: str, size: int) -> None:
        self.counts[f"{group} {kind}"] += 1
        self.counts[f"{group} {kind}_bytes"] += size

    def _heard(self, group: str, line: Line, payload: Payload) -> None:
        if b"watch=1" not in payload.target:
            data = self._list(group)
            self._count(group, "whole", len(data))
            line.answer(200, data)
            return
        line.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        since = int(payload.target.partition(b"from=")[2] or 0)
        self.watchers[group].append(line)
        if self.changes and since + 1 < self.changes[0][0]:
            self._tell(group, "whole", line, self._list(group))
            return
        for generation, data in self.changes:
            if generation > since and self._told_to(group, data):
                self._tell(group, "change", line, data)

    def _tell(self, group: str, kind: str, line: Line, data: bytes) -> None:
        framed = b"%x\r\n%b\n\r\n" % (len(data) + 1, data)
        self._count(group, kind, len(framed))
        line.send(framed)

    def _beat(self) -> None:
        for group, lines in self.watchers.items():
            lines[:] = [line for line in lines if line.open]
            for line in lines:
                self._tell(group, "beat", line, b"")
        self.loop.call_in(HEARTBEAT, self._beat)

    def _change(self, name: str, state: str) -> None:
        self.generation += 1
        row = self.rows[name]
        row["lifecycle"] = state
        if state == "DELETED":
            self.encoded.pop(name, None)
        else:
            self.encoded[name] = json.dumps(row)
        data = json.dumps({"generation": self.generation, "reset": False, "instances": [row]}).encode()
        self.changes.append((self.generation, data))
        for group, lines in self.watchers.items():
            for line in lines if self._told_to(group, data) else ():
                if line.open:
                    self._tell(group, "change", line, data)

    def _told_to(self, group: str, data: bytes) -> bool:
        return int(data.partition(b'"sim-')[2][:5]) < self.options["listed"][group]

    def ask_churn(self, rate: float) -> float:
        """Servers a second that are restarted from now on."""
        before, self.rate = self.rate, rate
        if rate and not before:
            self.loop.call_in(self.rng.expovariate(rate), self._restart)
        return rate

    def _restart(self) -> None:
        if not self.rate:
            return
        name = self.rng.choice(self.up)
        if self.rows[name]["lifecycle"] == "SERVING":
            self._change(name, "DRAINING")
            self.counts["restarts"] += 1
            self.loop.call_in(AWAY, lambda: self._change(name, "DELETED"))
            self.loop.call_in(2 * AWAY, lambda: self._again(name))
        self.loop.call_in(self.rng.expovariate(self.rate), self._restart)

    def _again(self, name: str) -> None:
        self.rows[name]["startedAtMs"] = int(time.time() * 1000)
        self._change(name, "SERVING")

    def ask_counts(self) -> dict[str, int]:
        return self.counts


class Adds(Counter):
    """A counter for one kind of asker, with the others' numbers."""

    def __init__(self, role: Role, group: str, numbers: dict[bytes, tuple[float, float]], counts: Tally[str]) -> None:
        super().__init__(role.loop)
        self.group, self.numbers, self.counts = group, numbers, counts

    def _feed(self, line: Line, data: bytes) -> None:
        self.counts[f"{self.group} asked_bytes"] += len(data)
        super()._feed(line, data)

    def _add(self, parts: list[bytes]) -> bytes:
        answer = super()._add(parts)
        self.counts[f"{self.group} calls"] += 1
        self.counts[f"{self.group} answered_bytes"] += len(answer)
        return answer


class Adder(Role):
    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.counts: Tally[str] = Tally()
        numbers: dict[bytes, tuple[float, float]] = {}
        self.parts = {group: Adds(self, group, numbers, self.counts) for group in options["groups"]}

    def ask_at(self) -> dict[str, str]:
        return {group: part.listener.text for group, part in self.parts.items()}

    def ask_counts(self) -> dict[str, int]:
        return self.counts


ROLES: dict[str, type[Role]] = {"hollows": Hollows, "links": Links, "discovery": Servers, "counter": Adder}

if __name__ == "__main__":
    kind, file = sys.argv[1:]
    faulthandler.register(signal.SIGUSR1)  # where it is, to its errors' file
    options = json.loads(Path(file).read_text())
    role = ROLES[kind](options)
    if options.get("profile"):
        profile = cProfile.Profile()
        profile.runcall(role.run)
        profile.dump_stats(options["profile"])
    else:
        role.run()
