"""The processes of a scale benchmark: their addresses and files, and how they are started, queried and ended."""

from __future__ import annotations

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections import Counter as Tally
from collections.abc import Callable
from dataclasses import asdict
from datetime import datetime
from pathlib import Path
from typing import Any

from benchmarks.daemon_process import start_daemon
from benchmarks.scale.child import Child, NullLogger, measure_process
from benchmarks.work_order import find_free_ports
from brackenpulley.fleet.caller import Call
from brackenpulley.metrics import Metrics
from brackenpulley.net import sockets
from brackenpulley.net.loop import Loop
from brackenpulley.serve import wall_clock
from brackenpulley.standins.clients import Firm as ClientFirm
from brackenpulley.standins.clients import Load
from brackenpulley.standins.hollow import Firm, ProcessSpec, build_operator_tables, format_toml
from brackenpulley.standins.servers import Discovery, SimServer
from brackenpulley.standins.settings import build_settings

REGION_COUNT = 3
ZONE_COUNT = 12
SIM_SERVER_COUNT = 24  # sim servers that answer; the many names in discovery share their addresses
INGRESSES_PER_FIRM = 4
FIRMS_PER_INGRESS = 10
# Delay in seconds, mean jitter in seconds and fraction lost. The figures are assumptions: no requirement states them.
SAME_ZONE_LINK, SAME_REGION_LINK, CROSS_REGION_LINK = (
    (0.0002, 0.0002, 0.0),
    (0.0006, 0.0004, 0.0005),
    (0.015, 0.002, 0.002),
)
HOLLOW_PER_HOST = 150  # hollow ingresses in one process
RELAYS_PER_PROCESS = 100
MAX_MEMORY_MB = 12_000  # resident, of all processes together
MAX_PROCESSES = 200
MAX_PENDING_LISTS = 2  # hollow ingresses of one process that wait for their list at the same time
GROUPS = ("hollow", "real", "voter")


def make_site(number: int) -> str:
    """Names the region and zone of the ingress with that number."""
    return f"r{number % REGION_COUNT}-z{number % ZONE_COUNT}"


class BenchmarkError(RuntimeError):
    """The benchmark cannot go on, or something did not happen in time."""


class DaemonProcess:
    """A daemon as a child process. Its kind is real, voter or bare: all features off, as the baseline for memory."""

    def __init__(self, world: World, kind: str, place: ProcessSpec) -> None:
        """Creates the folder and picks a port on a loopback host of its own.

        On a shared host, an outgoing connection of another process could take the port before the daemon listens.
        """
        self.world, self.kind, self.place = world, kind, place
        host = place.listen.partition(":")[0]
        self.address, self.control_path = (host, find_free_ports(host, 1)[0]), f"{place.folder}/control.sock"
        self.process: subprocess.Popen[bytes] | None = None
        self.started_at = self.ready_after_s = self.list_complete_after_s = 0.0
        self.log = Path(place.folder) / "log.txt"
        Path(place.folder).mkdir()

    def start(self) -> None:
        """Writes the configuration, starts the daemon and polls it until it is ready and has the list."""
        folder, place = Path(self.place.folder), self.place
        config = self.world.make_config(place, self.kind, f"{self.address[0]}:{self.address[1]}")
        (folder / "config.json").write_text(json.dumps(config))
        tables = {"control": {"listen": f"unix:{self.control_path}"}}
        if self.kind != "bare":
            tables.update(build_operator_tables(place, self.world.parts))
        (folder / "operator.toml").write_text(format_toml(tables))
        self.process = start_daemon(folder / "config.json", folder / "operator.toml", Path(self.log))
        self.started_at = time.monotonic()
        self._poll_ready()

    def _poll_ready(self) -> None:
        def on_status(status: int, body: bytes) -> None:
            if status == 200 and not self.ready_after_s:
                self.ready_after_s = time.monotonic() - self.started_at
            if status == 200 and body and json.loads(body)["servers"] >= self.world.servers * 9 // 10:
                self.list_complete_after_s = time.monotonic() - self.started_at
            else:
                self.world.loop.call_in(0.2, self._poll_ready)

        def on_ready(status: int, body: bytes) -> None:
            if status == 200:
                Call(self.world.loop, self.control_path, "GET", "/v1/status", b"", 5.0, on_status)
            elif self.world.is_running:
                self.world.loop.call_in(0.2, self._poll_ready)

        Call(self.world.loop, self.control_path, "GET", "/v1/ready", b"", 2.0, on_ready)

    def ask(self, path: str) -> Any:
        """Returns the JSON of a GET on the control socket; raises BenchmarkError unless it answers with 200 in time."""
        results: list[Any] = []
        Call(
            self.world.loop,
            self.control_path,
            "GET",
            path,
            b"",
            10.0,
            lambda status, body: results.append((status, body)),
        )
        self.world.wait_until(lambda: bool(results), 12.0, f"{self.place.name} answers {path}")
        status, body = results[0]
        if status != 200:
            raise BenchmarkError(f"{self.place.name}: {path}: {status}: {self.log.read_text()[-800:]}")
        return json.loads(body)

    def find_death_times(self, name: str) -> list[float]:
        """Returns the monotonic times at which this daemon declared the named ingress dead, according to its log."""
        clock_offset, results = time.time() - time.monotonic(), []
        for line in self.log.read_text().splitlines():
            if f"id={name}@" in line and "state=dead" in line:
                timestamp = line.partition("timestamp=")[2].partition(" ")[0].rstrip("Z")
                results.append(datetime.fromisoformat(timestamp + "+00:00").timestamp() - clock_offset)
        return results


class World:
    """Starts all processes of a benchmark and runs the event loop that drives clients and queries."""

    def __init__(
        self,
        hollow_count: int,
        real_count: int,
        seed: int,
        servers: int,
        parts: tuple[str, ...],
        message_rate: float,
        voter_count: int = 3,
        hollow_servers: int = 0,
        profile: str = "",
        hollow_per_host: int = HOLLOW_PER_HOST,
    ) -> None:
        """Creates the folder and starts the child processes, but no daemons.

        `message_rate` is in messages per second at each ingress. Hollow ingresses get the first `hollow_servers` of
        the list, or all if it is 0. `profile` names a file for the profile of the first host of hollow ingresses.
        """
        self.hollow_count, self.seed, self.servers, self.parts, self.message_rate = (
            hollow_count,
            seed,
            servers,
            parts,
            message_rate,
        )
        self.rng, self.is_running, self.profile = random.Random(seed), True, profile
        self.list_lengths = {"hollow": hollow_servers or servers, "real": servers, "voter": servers}
        self.ingress_count = hollow_count + real_count + voter_count
        self.folder = Path(tempfile.mkdtemp(prefix="bracken-scale-"))
        self.loop = Loop(wall_clock(), Metrics(), NullLogger())
        self.children: list[Child] = []
        self.daemons: list[DaemonProcess] = []
        self.peak_memory_mb = 0.0
        (self.folder / "keys").write_text(base64.b64encode(b"s" * 32).decode() + "\n")
        (self.folder / "keys").chmod(0o600)
        self.sim_servers = [SimServer(self.loop, f"sim-{n}", random.Random(seed + n)) for n in range(SIM_SERVER_COUNT)]
        self.bare_discovery = Discovery(self.loop, self.sim_servers)
        self.discovery = self._start_child(
            "discovery",
            "discovery",
            {
                "seed": seed,
                "listed": self.list_lengths,
                "at": [server.listener.address_text for server in self.sim_servers],
                "groups": GROUPS,
                "zones": [make_site(n) for n in range(ZONE_COUNT)],
            },
        )
        self.counter = self._start_child("counter", "counter", {"groups": GROUPS})
        self.discovery_addresses, self.counter_addresses = self.discovery.ask("at"), self.counter.ask("at")
        names = (
            [f"n{n}" for n in range(real_count)]
            + [f"v{n}" for n in range(voter_count)]
            + [f"h{n}" for n in range(hollow_count)]
        )
        self.links = self._start_links(names, max(1, -(-len(names) // RELAYS_PER_PROCESS)))
        voter_addresses = tuple(
            (name, self.advertised_addresses[name]) for name in names[real_count : real_count + voter_count]
        )
        places = [
            ProcessSpec(
                name,
                number,
                str(self.folder / name),
                self.listen_addresses[name],
                self.advertised_addresses[name],
                tuple(at for _, at in voter_addresses),
                str(self.folder / "keys"),
                voter_addresses,
            )
            for number, name in enumerate(names)
        ]
        bare = ProcessSpec("bare", 0, str(self.folder / "bare"), f"127.{self.address_base}.0.1:0", "", (), "", ())
        for kind, place in (
            [("real", p) for p in places[:real_count]]
            + [("voter", p) for p in places[real_count : real_count + voter_count]]
            + [("bare", bare)]
        ):
            self.daemons.append(DaemonProcess(self, kind, place))
        host_count = max(1, -(-hollow_count // hollow_per_host))
        self.hosts: list[Child] = []
        self.names_by_host: dict[str, list[str]] = {}
        for number in range(host_count):
            host_places = places[real_count + voter_count + number :: host_count] if hollow_count else []
            self._start_host(number, host_places)
        self.client_load = Load(
            self.loop,
            [daemon.address for daemon in self.list_daemons()],
            [
                ClientFirm(firm.key, firm.plan, firm.rate * firm.spread, firm.spread, firm.first)
                for firm in self._make_firms(0, real_count)
            ],
            self.rng,
        )
        self.client_load.ingress_count = self.ingress_count

    def _make_firms(self, base: int, count: int) -> list[Firm]:
        """Gives each group of INGRESSES_PER_FIRM adjacent ingresses FIRMS_PER_INGRESS firms of its own."""
        return [
            Firm(
                (base + first) * 1000 + n + 1,
                ("school", "county")[n % 2],
                self.message_rate / FIRMS_PER_INGRESS,
                min(INGRESSES_PER_FIRM, count - first),
                base + first,
            )
            for first in range(0, count, INGRESSES_PER_FIRM)
            for n in range(FIRMS_PER_INGRESS)
        ]

    def _start_child(self, kind: str, name: str, options: dict[str, Any], descriptors: tuple[int, ...] = ()) -> Child:
        child = Child(self.loop, self.folder, kind, name, options, descriptors)
        self.children.append(child)
        return child

    def _start_host(self, number: int, host_places: list[ProcessSpec]) -> None:
        firms = self._make_firms(self.ingress_count - self.hollow_count, self.hollow_count)
        firms_by_name = {
            place.name: [asdict(firm) for firm in firms if firm.first <= place.number < firm.first + firm.spread]
            for place in host_places
        }
        rows = [
            {
                "place": asdict(place),
                "config": self.make_config(place, "hollow", "127.0.0.1:0"),
                "firms": firms_by_name[place.name],
            }
            for place in host_places
        ]
        for place in host_places:
            Path(place.folder).mkdir()
        name = f"host{number}"
        self.names_by_host[name] = [place.name for place in host_places]
        self.hosts.append(
            self._start_child(
                "hollows",
                name,
                {
                    "seed": self.seed * 1000 + number,
                    "hollows": rows,
                    "parts": self.parts,
                    "servers": self.list_lengths["hollow"],
                    "at_once": MAX_PENDING_LISTS,
                    "profile": self.profile if not number else "",
                },
            )
        )

    def make_config(self, place: ProcessSpec, kind: str, listen: str) -> dict[str, Any]:
        """Returns the configuration of an ingress."""
        group = kind if kind in GROUPS else "real"
        return {
            "name": place.name,
            "listen": listen,
            "counter": self.counter_addresses[group],
            "discovery": self.bare_discovery.listener.address_text
            if kind == "bare"
            else self.discovery_addresses[group],
            "seed": f"{self.seed * 10000 + place.number:x}",
            "settings": build_settings(self.ingress_count, place.number),
        }

    def _start_links(self, names: list[str], count: int) -> list[Child]:
        """Starts the relays in front of all ingresses; their sockets are opened here and inherited by the processes."""
        self.listen_addresses: dict[str, str] = {}
        self.advertised_addresses: dict[str, str] = {}
        socket_pairs: list[tuple[socket.socket, socket.socket]] = []
        self.address_base = address_base = 1 + self.rng.randrange(100)
        for number, name in enumerate(names):
            host = f"127.{address_base + 10 + number // 200}.{1 + number % 200}.1"
            self.listen_addresses[name] = f"{host}:{find_free_ports(host, 1)[0]}"
            pair = self._open_socket_pair()
            socket_pairs.append(pair)
            self.advertised_addresses[name] = f"127.0.0.1:{pair[0].getsockname()[1]}"
        sites = {name: make_site(number) for number, name in enumerate(names)}
        site_names = sorted(set(sites.values()))
        site_links = [
            [a, b, *(SAME_ZONE_LINK if a == b else SAME_REGION_LINK if a[:2] == b[:2] else CROSS_REGION_LINK)]
            for a in site_names
            for b in site_names
        ]
        children = []
        for part in range(count):
            rows, descriptors = [], []
            for number, name in enumerate(names):
                listener, datagrams = socket_pairs[number]
                is_owned = number % count == part
                host, _, port = self.listen_addresses[name].partition(":")
                rows.append(
                    {
                        "name": name,
                        "listens": [host, int(port)],
                        "datagrams": datagrams.fileno(),
                        "listener": listener.fileno() if is_owned else None,
                    }
                )
                descriptors += [datagrams.fileno(), *([listener.fileno()] if is_owned else [])]
            children.append(
                self._start_child(
                    "links",
                    f"links{part}",
                    {"seed": self.seed + part, "relays": rows, "sites": sites, "ways": site_links},
                    tuple(descriptors),
                )
            )
        for child in children:
            child.ask("counts")
        for listener, datagrams in socket_pairs:
            listener.close()
            datagrams.close()
        return children

    @staticmethod
    def _open_socket_pair() -> tuple[socket.socket, socket.socket]:
        """Opens a listener and a datagram socket on the same port."""
        for _ in range(50):
            listener = sockets.listen(("127.0.0.1", 0), 64)
            datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            datagrams.setblocking(False)
            try:
                datagrams.bind(listener.getsockname())
                return listener, datagrams
            except OSError:  # the datagram port is in use by another process
                listener.close()
                datagrams.close()
        raise BenchmarkError("no port is free for both streams and datagrams")

    def list_daemons(self, kind: str = "real") -> list[DaemonProcess]:
        """Returns the daemons of a kind."""
        return [daemon for daemon in self.daemons if daemon.kind == kind]

    def run_for(self, seconds: float) -> None:
        """Runs the event loop for that long."""
        deadline = time.monotonic() + seconds
        while (remaining := deadline - time.monotonic()) > 0:
            self.loop.run_once(min(0.05, remaining))

    def wait_until(
        self, condition: Callable[[], bool], timeout_s: float, description: str | Callable[[], str]
    ) -> float:
        """Runs the event loop until the condition holds and returns the seconds; raises BenchmarkError on timeout."""
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() - started_at > timeout_s:
                raise BenchmarkError(
                    f"not within {timeout_s:g} s: {description() if callable(description) else description}"
                )
            self.loop.run_once(0.02)
        return time.monotonic() - started_at

    def check_memory(self) -> None:
        """Raises BenchmarkError if all processes together hold more than MAX_MEMORY_MB."""
        total = sum(measure_process(pid)[1] for pid in self.list_pids()) + measure_process(os.getpid())[1]
        self.peak_memory_mb = max(self.peak_memory_mb, total)
        if total > MAX_MEMORY_MB:
            raise BenchmarkError(f"{total:.0f} MB resident, limit is {MAX_MEMORY_MB}")

    def list_pids(self) -> list[int]:
        """Returns the process ids of all running children."""
        daemons = [
            daemon.process.pid
            for daemon in self.daemons
            if daemon.process is not None and daemon.process.poll() is None
        ]
        return daemons + [child.process.pid for child in self.children if child.process.poll() is None]

    def start(self, timeout_s: float) -> dict[str, float]:
        """Starts voters, then real and bare daemons, then hollow ingresses; returns the seconds that each kind took."""
        if len(self.daemons) + len(self.children) > MAX_PROCESSES:
            raise BenchmarkError("too many processes")
        durations = {}
        for kinds in (("voter",), ("real", "bare")):
            for daemon in self.daemons:
                if daemon.kind in kinds:
                    daemon.start()
            durations[kinds[0]] = self.wait_until(
                lambda kinds=kinds: all(  # type: ignore[misc]
                    daemon.ready_after_s for daemon in self.daemons if daemon.kind in kinds
                ),
                timeout_s,
                f"{kinds} are ready",
            )
        started_at = time.monotonic()
        for host in self.hosts:
            host.ask("start", names=self.names_by_host[host.name])
        last_check = 0.0

        def are_hollow_ready() -> bool:
            nonlocal last_check
            if time.monotonic() - last_check > 1.0:
                last_check = time.monotonic()
                self.check_memory()
            return not any(row["waits"] for row in self.query_states())

        self.wait_until(are_hollow_ready, timeout_s, "hollow ingresses are ready")
        durations["hollow"] = time.monotonic() - started_at
        return durations

    def query_states(self) -> list[dict[str, Any]]:
        """Returns the state of each host of hollow ingresses."""
        if not self.hollow_count:
            return []
        self.run_for(0.1)
        for host in self.hosts:
            host.submit("state")
        return [host.collect("state") for host in self.hosts]

    def describe_incomplete(self) -> str:
        """Describes how far the hosts are, and the CPU time and memory of the link processes."""
        rows = [
            {key: row[key] for key in ("there", "waits", "members", "index", "entered")} for row in self.query_states()
        ]
        links = [[round(figure, 1) for figure in measure_process(child.process.pid)] for child in self.links]
        return f"{rows} of {self.ingress_count}; CPU seconds and MB of each link process: {links}"

    def is_complete(self, missing: int = 0) -> bool:
        """Tells whether all hollow ingresses are ready, see all members and have the log at the same index."""
        rows = self.query_states()
        expected = self.ingress_count - missing
        indexes = {index for row in rows for index in row["index"]}
        return (
            all(
                row["members"] == [expected, expected] and row["entered"] == row["there"] and not row["waits"]
                for row in rows
            )
            and len(indexes) <= 1
        )

    def collect_counts(self) -> dict[str, Any]:
        """Returns by kind the counters, CPU time and memory of each process, summed over the ingresses of a host."""
        results: dict[str, Any] = {"at": time.monotonic(), "daemons": {}, "hosts": {}}
        for daemon in self.daemons:
            assert daemon.process is not None
            results["daemons"][daemon.place.name] = [daemon.ask("/v1/counters"), *measure_process(daemon.process.pid)]
        for host in self.hosts:
            host.submit("counts")
        for host in self.hosts:
            results["hosts"][host.name] = [host.collect("counts"), *measure_process(host.process.pid)]
        for name, children in (("discovery", [self.discovery]), ("counter", [self.counter]), ("links", self.links)):
            sums: Tally[str] = Tally()
            for child in children:
                sums.update(child.ask("counts"))
            figures = [measure_process(child.process.pid) for child in children]
            results[name] = [
                sums,
                sum(row[0] for row in figures),
                sum(row[1] for row in figures),
                max(child.ask("longest") for child in children),
            ]
        self.check_memory()
        return results

    def close(self, keep: bool = False) -> int:
        """Ends all processes; returns how many daemons had to be killed after SIGTERM."""
        self.is_running = False
        self.client_load.stop() if hasattr(self, "client_load") else None
        killed_count = 0
        running = [
            daemon.process for daemon in self.daemons if daemon.process is not None and daemon.process.poll() is None
        ]
        for process in running:
            process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 8.0
        for process in running:
            while process.poll() is None and time.monotonic() < deadline:
                self.loop.run_once(0.02)
            if process.poll() is None:
                killed_count += 1
                process.kill()
                process.wait()
        for child in self.children:
            child.close()
        if hasattr(self, "client_load"):
            self.client_load.close()
        for listener in (self.bare_discovery.listener, *(server.listener for server in self.sim_servers)):
            listener.stop()
        self.loop.close()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)
        return killed_count
