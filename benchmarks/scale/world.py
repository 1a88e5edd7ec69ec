"""All processes of a scale run: where each stands, how they are started and asked, and that none of them stays."""

from __future__ import annotations

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import asdict
from datetime import datetime
from pathlib import Path
from typing import Any

from benchmarks.scale.child import ROOT, Child, NullLogger, measure_process
from benchmarks.work_order import free_at
from brackenpulley.fleet.caller import Call
from brackenpulley.metrics import Metrics
from brackenpulley.net import sockets
from brackenpulley.net.loop import Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.clients import Firm as Customer
from brackenpulley.standins.clients import Load
from brackenpulley.standins.hollow import Firm, Place, operator, toml
from brackenpulley.standins.servers import Discovery, SimServer
from brackenpulley.standins.settings import settings

REGIONS, ZONES = 3, 12
SIMS = 24  # that answer; discovery's many names share their addresses
SPREAD, FIRMS = 4, 10  # ingresses of a firm's set; firms that each ingress meets
# s of delay, mean s on top of it, part lost: within a zone, between zones, between regions. Assumed: nobody told them.
NEAR, ZONE, REGION = (0.0002, 0.0002, 0.0), (0.0006, 0.0004, 0.0005), (0.015, 0.002, 0.002)
A_HOST, A_LINK = 150, 100  # hollow ingresses, and relays, of one process
MEMORY, PROCESSES = 12_000, 200  # MB resident of all, and processes
AT_ONCE = 2  # hollow ones of a host that wait for their list
GROUPS = ("hollow", "real", "voter")


def site(number: int) -> str:
    return f"r{number % REGIONS}-z{number % ZONES}"


class Ended(RuntimeError):
    """The run cannot go on; the text says why."""


class Real:
    """A daemon as a process, `kind` real, voter or bare: one with nothing switched on, to compare with."""

    def __init__(self, world: World, kind: str, place: Place) -> None:
        """It listens at a host of its own, so that no connection of others takes its port before it does."""
        self.world, self.kind, self.place = world, kind, place
        host = place.listen.partition(":")[0]
        self.at, self.control = (host, free_at(host, 1)[0]), f"{place.folder}/control.sock"
        self.process: subprocess.Popen[bytes] | None = None
        self.began = self.ready_after = self.whole_after = 0.0
        self.log = Path(place.folder) / "log.txt"
        Path(place.folder).mkdir()

    def start(self) -> None:
        folder, place = Path(self.place.folder), self.place
        config = self.world.config(place, self.kind, f"{self.at[0]}:{self.at[1]}")
        (folder / "config.json").write_text(json.dumps(config))
        tables = {"control": {"listen": f"unix:{self.control}"}}
        if self.kind != "bare":
            tables.update(operator(place, self.world.parts))
        (folder / "operator.toml").write_text(toml(tables))
        env = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "brackenpulley",
                    "serve",
                    "--config",
                    str(folder / "config.json"),
                    "--operator",
                    str(folder / "operator.toml"),
                ],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.began = time.monotonic()
        self._ready()

    def _ready(self) -> None:
        def heard(status: int, body: bytes) -> None:
            if status == 200 and not self.ready_after:
                self.ready_after = time.monotonic() - self.began
            if status == 200 and body and json.loads(body)["servers"] >= self.world.servers * 9 // 10:
                self.whole_after = time.monotonic() - self.began
            else:
                self.world.loop.call_in(0.2, self._ready)

        def ready(status: int, body: bytes) -> None:
            if status == 200:
                Call(self.world.loop, self.control, "GET", "/v1/status", b"", 5.0, heard)
            elif self.world.going:
                self.world.loop.call_in(0.2, self._ready)

        Call(self.world.loop, self.control, "GET", "/v1/ready", b"", 2.0, ready)

    def ask(self, path: str) -> Any:
        """Raises Ended where it does not answer."""
        found: list[Any] = []
        Call(self.world.loop, self.control, "GET", path, b"", 10.0, lambda status, body: found.append((status, body)))
        self.world.until(lambda: bool(found), 12.0, f"{self.place.name} answers {path}")
        status, body = found[0]
        if status != 200:
            raise Ended(f"{self.place.name}: {path}: {status}: {self.log.read_text()[-800:]}")
        return json.loads(body)

    def dead(self, name: str) -> list[float]:
        """When (monotonic) it took that one for dead, by its log."""
        shift, found = time.time() - time.monotonic(), []
        for line in self.log.read_text().splitlines():
            if f"id={name}@" in line and "state=dead" in line:
                stamp = line.partition("timestamp=")[2].partition(" ")[0].rstrip("Z")
                found.append(datetime.fromisoformat(stamp + "+00:00").timestamp() - shift)
        return found


class World:
    def __init__(
        self,
        hollow: int,
        real: int,
        seed: int,
        servers: int,
        parts: tuple[str, ...],
        rate: float,
        voters: int = 3,
        hollow_servers: int = 0,
        profile: str = "",
        a_host: int = A_HOST,
    ) -> None:
        """`rate`: tries a second at each ingress; `hollow_servers`: so many of the list are told to hollow ones, 0 =
        all; `profile`: a file for what the first host of hollow ones spends its time with."""
        self.hollow, self.seed, self.servers, self.parts, self.rate = hollow, seed, servers, parts, rate
        self.rng, self.going, self.profile = random.Random(seed), True, profile
        self.listed = {"hollow": hollow_servers or servers, "real": servers, "voter": servers}
        self.total = hollow + real + voters
        self.folder = Path(tempfile.mkdtemp(prefix="bracken-scale-"))
        self.loop = Loop(wall_clock(), Metrics(), NullLogger())
        self.children: list[Child] = []
        self.daemons: list[Real] = []
        self.most_mb = 0.0
        (self.folder / "keys").write_text(base64.b64encode(b"s" * 32).decode() + "\n")
        (self.folder / "keys").chmod(0o600)
        self.sims = [SimServer(self.loop, f"sim-{n}", random.Random(seed + n)) for n in range(SIMS)]
        self.alone = Discovery(self.loop, self.sims)
        self.discovery = self._child(
            "discovery",
            "discovery",
            {
                "seed": seed,
                "listed": self.listed,
                "at": [sim.listener.text for sim in self.sims],
                "groups": GROUPS,
                "zones": [site(n) for n in range(ZONES)],
            },
        )
        self.counter = self._child("counter", "counter", {"groups": GROUPS})
        self.lists, self.adds = self.discovery.ask("at"), self.counter.ask("at")
        names = [f"n{n}" for n in range(real)] + [f"v{n}" for n in range(voters)] + [f"h{n}" for n in range(hollow)]
        self.links = self._links(names, max(1, -(-len(names) // A_LINK)))
        chosen = tuple((name, self.advertised[name]) for name in names[real : real + voters])
        places = [
            Place(
                name,
                number,
                str(self.folder / name),
                self.listens[name],
                self.advertised[name],
                tuple(at for _, at in chosen),
                str(self.folder / "keys"),
                chosen,
            )
            for number, name in enumerate(names)
        ]
        bare = Place("bare", 0, str(self.folder / "bare"), f"127.{self.first}.0.1:0", "", (), "", ())
        for kind, place in (
            [("real", p) for p in places[:real]]
            + [("voter", p) for p in places[real : real + voters]]
            + [("bare", bare)]
        ):
            self.daemons.append(Real(self, kind, place))
        hosts = max(1, -(-hollow // a_host))
        self.hosts: list[Child] = []
        self.names: dict[str, list[str]] = {}
        for number in range(hosts):
            here = places[real + voters + number :: hosts] if hollow else []
            self._host(number, here)
        self.load = Load(
            self.loop,
            [one.at for one in self.reals()],
            [
                Customer(firm.key, firm.plan, firm.rate * firm.spread, firm.spread, firm.first)
                for firm in self._firms(0, real)
            ],
            self.rng,
        )
        self.load.numbers = self.total

    # Where all stand.

    def _firms(self, base: int, count: int) -> list[Firm]:
        """Sets of SPREAD ingresses side by side, FIRMS firms each."""
        return [
            Firm(
                (base + first) * 1000 + n + 1,
                ("school", "county")[n % 2],
                self.rate / FIRMS,
                min(SPREAD, count - first),
                base + first,
            )
            for first in range(0, count, SPREAD)
            for n in range(FIRMS)
        ]

    def _child(self, kind: str, name: str, told: dict[str, Any], descriptors: tuple[int, ...] = ()) -> Child:
        child = Child(self.loop, self.folder, kind, name, told, descriptors)
        self.children.append(child)
        return child

    def _host(self, number: int, here: list[Place]) -> None:
        firms = self._firms(self.total - self.hollow, self.hollow)
        sets = {
            place.name: [asdict(firm) for firm in firms if firm.first <= place.number < firm.first + firm.spread]
            for place in here
        }
        rows = [
            {"place": asdict(place), "config": self.config(place, "hollow", "127.0.0.1:0"), "firms": sets[place.name]}
            for place in here
        ]
        for place in here:
            Path(place.folder).mkdir()
        name = f"host{number}"
        self.names[name] = [place.name for place in here]
        self.hosts.append(
            self._child(
                "hollows",
                name,
                {
                    "seed": self.seed * 1000 + number,
                    "hollows": rows,
                    "parts": self.parts,
                    "servers": self.listed["hollow"],
                    "at_once": AT_ONCE,
                    "profile": self.profile if not number else "",
                },
            )
        )

    def config(self, place: Place, kind: str, listen: str) -> dict[str, Any]:
        group = kind if kind in GROUPS else "real"
        return {
            "name": place.name,
            "listen": listen,
            "counter": self.adds[group],
            "discovery": self.alone.listener.text if kind == "bare" else self.lists[group],
            "seed": f"{self.seed * 10000 + place.number:x}",
            "settings": settings(self.total, place.number),
        }

    def _links(self, names: list[str], count: int) -> list[Child]:
        """Relays before all of them, whose sockets are opened here and handed on."""
        self.listens: dict[str, str] = {}
        self.advertised: dict[str, str] = {}
        made: list[tuple[socket.socket, socket.socket]] = []
        self.first = first = 1 + self.rng.randrange(100)
        for number, name in enumerate(names):
            host = f"127.{first + 10 + number // 200}.{1 + number % 200}.1"
            self.listens[name] = f"{host}:{free_at(host, 1)[0]}"
            pair = self._pair()
            made.append(pair)
            self.advertised[name] = f"127.0.0.1:{pair[0].getsockname()[1]}"
        sites = {name: site(number) for number, name in enumerate(names)}
        known = sorted(set(sites.values()))
        ways = [[a, b, *(NEAR if a == b else ZONE if a[:2] == b[:2] else REGION)] for a in known for b in known]
        children = []
        for part in range(count):
            rows, handed = [], []
            for number, name in enumerate(names):
                listener, datagrams = made[number]
                mine = number % count == part
                host, _, port = self.listens[name].partition(":")
                rows.append(
                    {
                        "name": name,
                        "listens": [host, int(port)],
                        "datagrams": datagrams.fileno(),
                        "listener": listener.fileno() if mine else None,
                    }
                )
                handed += [datagrams.fileno(), *([listener.fileno()] if mine else [])]
            children.append(
                self._child(
                    "links",
                    f"links{part}",
                    {"seed": self.seed + part, "relays": rows, "sites": sites, "ways": ways},
                    tuple(handed),
                )
            )
        for child in children:
            child.ask("counts")
        for listener, datagrams in made:
            listener.close()
            datagrams.close()
        return children

    @staticmethod
    def _pair() -> tuple[socket.socket, socket.socket]:
        """A listener and a datagram socket at one port."""
        for _ in range(50):
            listener = sockets.listen(("127.0.0.1", 0), 64)
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            datagrams.setblocking(False)
            try:
                datagrams.bind(listener.getsockname())
                return listener, datagrams
            except OSError:  # another one's datagrams stand at that port
                listener.close()
                datagrams.close()
        raise Ended("no port that is free for streams and datagrams")

    def reals(self, kind: str = "real") -> list[Real]:
        return [one for one in self.daemons if one.kind == kind]

    # Time goes on.

    def turn(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            self.loop.run_once(min(0.05, left))

    def until(self, done: Callable[[], bool], patience: float, what: str | Callable[[], str]) -> float:
        """s that it took. Raises Ended where it does not come."""
        began = time.monotonic()
        while not done():
            if time.monotonic() - began > patience:
                raise Ended(f"not in {patience:g} s: {what() if callable(what) else what}")
            self.loop.run_once(0.02)
        return time.monotonic() - began

    def watch_memory(self) -> None:
        """Raises Ended above the bound."""
        total = sum(measure_process(pid)[1] for pid in self.pids()) + measure_process(os.getpid())[1]
        self.most_mb = max(self.most_mb, total)
        if total > MEMORY:
            raise Ended(f"{total:.0f} MB resident, {MEMORY} at most")

    def pids(self) -> list[int]:
        daemons = [one.process.pid for one in self.daemons if one.process is not None and one.process.poll() is None]
        return daemons + [child.process.pid for child in self.children if child.process.poll() is None]

    def start(self, patience: float) -> dict[str, float]:
        """Voters, then real ones, then the hollow ones. s that each kind took."""
        if len(self.daemons) + len(self.children) > PROCESSES:
            raise Ended("too many processes")
        took = {}
        for kinds in (("voter",), ("real", "bare")):
            for one in self.daemons:
                if one.kind in kinds:
                    one.start()
            took[kinds[0]] = self.until(
                lambda kinds=kinds: all(  # type: ignore[misc]
                    one.ready_after for one in self.daemons if one.kind in kinds
                ),
                patience,
                f"{kinds} are ready",
            )
        began = time.monotonic()
        for host in self.hosts:
            host.ask("start", names=self.names[host.name])
        looked = 0.0

        def ready() -> bool:
            nonlocal looked
            if time.monotonic() - looked > 1.0:
                looked = time.monotonic()
                self.watch_memory()
            return not any(row["waits"] for row in self.states())

        self.until(ready, patience, "hollow ones are ready")
        took["hollow"] = time.monotonic() - began
        return took

    def states(self) -> list[dict[str, Any]]:
        if not self.hollow:
            return []
        self.turn(0.1)
        for host in self.hosts:
            host.submit("state")
        return [host.collect("state") for host in self.hosts]

    def far(self) -> str:
        """What is not whole, and how busy the links are."""
        rows = [{key: row[key] for key in ("there", "waits", "members", "index", "entered")} for row in self.states()]
        links = [[round(figure, 1) for figure in measure_process(child.process.pid)] for child in self.links]
        return f"{rows} of {self.total}; s and MB of each link: {links}"

    def whole(self, missing: int = 0) -> bool:
        """All hollow ones see all members, and the log of all stands at one index."""
        rows = self.states()
        there = self.total - missing
        indexes = {index for row in rows for index in row["index"]}
        return (
            all(
                row["members"] == [there, there] and row["entered"] == row["there"] and not row["waits"] for row in rows
            )
            and len(indexes) <= 1
        )

    # What was counted.

    def counts(self) -> dict[str, Any]:
        """By kind, each process's counters, CPU and memory; the sum over the hollow ones of a host."""
        found: dict[str, Any] = {"at": time.monotonic(), "daemons": {}, "hosts": {}}
        for one in self.daemons:
            assert one.process is not None
            found["daemons"][one.place.name] = [one.ask("/v1/counters"), *measure_process(one.process.pid)]
        for host in self.hosts:
            host.submit("counts")
        for host in self.hosts:
            found["hosts"][host.name] = [host.collect("counts"), *measure_process(host.process.pid)]
        for name, children in (("discovery", [self.discovery]), ("counter", [self.counter]), ("links", self.links)):
            sums: Tally[str] = Tally()
            for child in children:
                sums.update(child.ask("counts"))
            figures = [measure_process(child.process.pid) for child in children]
            found[name] = [
                sums,
                sum(row[0] for row in figures),
                sum(row[1] for row in figures),
                max(child.ask("longest") for child in children),
            ]
        self.watch_memory()
        return found

    def close(self, keep: bool = False) -> int:
        """Ends all that was started; how many had to be killed after SIGTERM."""
        self.going = False
        self.load.stop() if hasattr(self, "load") else None
        late = 0
        running = [one.process for one in self.daemons if one.process is not None and one.process.poll() is None]
        for process in running:
            process.send_signal(signal.SIGTERM)
        until = time.monotonic() + 8.0
        for process in running:
            while process.poll() is None and time.monotonic() < until:
                self.loop.run_once(0.02)
            if process.poll() is None:
                late += 1
                process.kill()
                process.wait()
        for child in self.children:
            child.close()
        if hasattr(self, "load"):
            self.load.close()
        for listener in (self.alone.listener, *(sim.listener for sim in self.sims)):
            listener.stop()
        self.loop.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        return late
