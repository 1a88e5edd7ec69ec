"""Child processes of the scale benchmark that are not daemons: hollow ingresses, links, discovery and counter.

    python -m benchmarks.scale.roles KIND FILE

`world` starts them; FILE holds the options as JSON, and requests come as lines on standard input.
"""

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

from benchmarks.scale.child import NullLogger, Role
from brackenpulley.net.http import Payload
from brackenpulley.net.loop import READ
from brackenpulley.simulation.links import Link
from brackenpulley.standins.hollow import Firm, HollowIngress, ProcessSpec, build_operator_tables
from brackenpulley.standins.links import LinkProxies
from brackenpulley.standins.servers import HEARTBEAT_SECONDS, Counter
from brackenpulley.standins.wire import Connection, Listener

MAX_STARTING = 12  # ingresses of this process that start at the same time
POLL_INTERVAL_S = 0.05  # between checks of the ingresses that are starting
MAX_KEPT_CHANGES = 4000  # list changes kept for watchers that reconnect
RESTART_STEP_S = 0.5  # a restarted server drains this long and is then unlisted this long


class HollowRole(Role):
    """Runs hollow ingresses in one event loop. The option `hollows` lists their places and configurations."""

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.rng = random.Random(options["seed"])
        self.rows = {row["place"]["name"]: row for row in options["hollows"]}
        self.ingresses: dict[str, HollowIngress] = {}
        self.finished_counts: Tally[str] = Tally()  # counters of ingresses that have ended
        self.started_at: dict[str, float] = {}  # start times of the ingresses that are not ready yet
        self.start_times: list[list[float]] = []  # seconds until ready, and until the list is complete
        self.start_queue: deque[str] = deque()  # names of ingresses to start
        self.listed_at: dict[str, float] = {}
        self.death_times: dict[str, list[float]] = {}  # by name, when an ingress of this process declared it dead
        self.applied_times: dict[int, list[float]] = {}  # by log index
        self.proposal: dict[str, Any] = {}
        self.loop.call_in(POLL_INTERVAL_S, self._poll)

    def _start_ingress(self, name: str) -> None:
        row = self.rows[name]
        place = ProcessSpec(
            **{
                **row["place"],
                "seeds": tuple(row["place"]["seeds"]),
                "voters": tuple(tuple(pair) for pair in row["place"]["voters"]),
            }
        )
        ingress = HollowIngress(
            self.loop,
            place,
            row["config"],
            build_operator_tables(place, self.options["parts"]),
            [Firm(**firm) for firm in row["firms"]],
            NullLogger(),
            self.rng.getrandbits(32),
        )
        ingress.on_member_dead, ingress.on_applied = self._on_death, lambda entry: self._on_applied(entry.index)
        self.ingresses[name] = ingress
        self.started_at[name] = time.monotonic()
        ingress.start()

    def _on_death(self, ingress_id: str) -> None:
        if (times := self.death_times.get(ingress_id.partition("@")[0])) is not None:
            times.append(time.monotonic())

    def _on_applied(self, index: int) -> None:
        if self.proposal:
            self.applied_times.setdefault(index, []).append(time.monotonic())

    def _poll(self) -> None:
        now = time.monotonic()
        unlisted = sum(not self._has_complete_list(name) for name in self.started_at)
        while self.start_queue and unlisted < self.options["at_once"] and len(self.started_at) < MAX_STARTING:
            self._start_ingress(self.start_queue.popleft())
            unlisted += 1
        for name, since in list(self.started_at.items()):
            if self._has_complete_list(name):
                self.listed_at.setdefault(name, now)
            if name in self.listed_at and self.ingresses[name].daemon.is_ready():
                self.start_times.append([now - since, self.listed_at.pop(name) - since])
                del self.started_at[name]
        self.loop.call_in(POLL_INTERVAL_S, self._poll)

    def _has_complete_list(self, name: str) -> bool:
        """Tells whether the ingress has the list, apart from servers that are restarting."""
        return len(self.ingresses[name].daemon.inventory) >= self.options["servers"] * 9 // 10

    def ask_start(self, names: list[str]) -> bool:
        """Queues the ingresses for start.

        Only a few start at a time: a complete list has to be processed within seconds (net/watching), and all
        ingresses of this process share one core.
        """
        self.start_queue.extend(names)
        return True

    def ask_settle(self) -> bool:
        """Exempts the objects that exist now from garbage collection, as a serving daemon does."""
        gc.collect()
        gc.freeze()
        return True

    def ask_state(self) -> dict[str, Any]:
        """Returns the number of ingresses, how many are starting, and the ranges of members and log indexes."""
        members = [ingress.member_count for ingress in self.ingresses.values()] or [0]
        indexes = [ingress.applied_index for ingress in self.ingresses.values()] or [0]
        entered = [
            ingress.daemon.maintenance is None or bool(ingress.daemon.maintenance.agent.has_entered)
            for ingress in self.ingresses.values()
        ]
        return {
            "there": len(members),
            "waits": len(self.started_at) + len(self.start_queue),
            "members": [min(members), max(members)],
            "index": [min(indexes), max(indexes)],
            "entered": sum(entered),
            "took": self.start_times,
        }

    def ask_counts(self) -> dict[str, Any]:
        """Returns the summed counters, the longest turn of each ingress since the last call, and the CPU seconds."""
        counts = Tally(self.finished_counts)
        busy = 0.0
        for ingress in self.ingresses.values():
            counts.update(ingress.daemon.metrics.counts)
            busy += ingress.ingress_loop.busy_seconds
        del counts["longest_turn_us"]
        longest_turns = sorted(
            ingress.daemon.metrics.counts.pop("longest_turn_us", 0) for ingress in self.ingresses.values()
        )
        message_counts = [
            sum(ingress.traffic.message_count for ingress in self.ingresses.values()),
            sum(ingress.traffic.served_count for ingress in self.ingresses.values()),
        ]
        return {"counts": counts, "holds": longest_turns, "busy": busy, "tries": message_counts}

    def ask_traffic(self, on: bool) -> bool:
        """Starts or stops the generated traffic of all ingresses."""
        for ingress in self.ingresses.values():
            ingress.traffic.start() if on else ingress.traffic.stop()
        return on

    def _remove(self, name: str) -> None:
        ingress = self.ingresses.pop(name)
        self.finished_counts.update(
            {key: value for key, value in ingress.daemon.metrics.counts.items() if key != "longest_turn_us"}
        )
        self.started_at.pop(name, None)
        self.listed_at.pop(name, None)

    def ask_watch(self, names: list[str]) -> bool:
        """Records from now on when the named ingresses are declared dead."""
        self.death_times = {name: [] for name in names}
        return True

    def ask_kill(self, names: list[str], again: bool) -> float:
        """Kills the ingresses without a graceful end, starts them anew if `again`, and returns the monotonic time."""
        now = time.monotonic()
        self.start_times.clear()
        for name in names:
            self.ingresses[name].kill()
            self._remove(name)
        if again:
            for name in names:
                self._start_ingress(name)
        return now

    def ask_restart(self, name: str) -> bool:
        """Ends an ingress gracefully and starts it anew afterwards; returns whether it was running and ready."""
        ingress = self.ingresses.get(name)
        if ingress is None or name in self.started_at:
            return False

        def restart() -> None:
            self._remove(name)
            self._start_ingress(name)
            self.ingresses[name].traffic.start()

        ingress.on_end = restart
        ingress.shut_down()
        return True

    def ask_deaths(self) -> dict[str, list[float]]:
        """Returns the recorded times of death declarations by name."""
        return self.death_times

    def ask_propose(self) -> bool:
        """Proposes a log entry through one ingress.

        No component handles an entry of this kind, but it is agreed, distributed and applied like any other.
        """
        ingress = self.rng.choice(list(self.ingresses.values()))
        now = time.monotonic()
        self.proposal = {"asked": now}
        self.applied_times.clear()

        def on_outcome(outcome: Any) -> None:
            self.proposal.update(answered=time.monotonic(), index=outcome.index if outcome is not None else 0)

        agreement = ingress.daemon.agreement
        agreement.agreement.propose(self.loop.clock(), "scale", b"", 10.0, on_outcome)
        agreement.send_pending()
        return True

    def ask_hear(self) -> bool:
        """Records from now on when log entries are applied."""
        self.proposal = {"asked": 0.0}
        self.applied_times.clear()
        return True

    def ask_agreed(self, index: int = 0) -> dict[str, Any]:
        """Returns the state of the proposal and the times at which the entry at `index` was applied here."""
        index = index or self.proposal.get("index", 0)
        return {**self.proposal, "times": self.applied_times.get(index, [])}


class LinkRole(Role):
    """Runs a share of the membership relays, with delay and loss between sites.

    The option `relays` lists each relay with the address of its ingress, the descriptor of its datagram socket and,
    if it belongs to this process, that of its listener. `sites` maps names to region and zone; `ways` holds delay,
    jitter and loss of each pair of sites.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.relays = SharedRelays(self.loop, options["seed"])
        for row in options["relays"]:
            self.relays.adopt_sockets(row["name"], tuple(row["listens"]), row["datagrams"], row["listener"])
        self.relays.links.sites = options["sites"]
        self.initial_links = {
            (a, b): Link(delay=delay, jitter=jitter, loss=loss) for a, b, delay, jitter, loss in options["ways"]
        }
        self.relays.links.site_links = dict(self.initial_links)

    def ask_cut(self, region: str, on: bool) -> bool:
        """Cuts all links between a region and the others, or restores them."""
        self.relays.links.site_links = {
            (a, b): Link(is_cut=True) if on and (a.startswith(region) != b.startswith(region)) else link
            for (a, b), link in self.initial_links.items()
        }
        return on

    def ask_counts(self) -> dict[str, int]:
        """Returns how many packets were forwarded and lost."""
        return {"passed": self.relays.forwarded_datagrams, "lost": self.relays.lost_datagrams}


class SharedRelays(LinkProxies):
    """Relays on sockets inherited from the parent and shared by several processes, each of which reads some."""

    def adopt_sockets(self, name: str, address: tuple[str, int], datagrams: int, listener: int | None) -> None:
        """Adds a relay; without a listener, another process reads its sockets."""
        self.process_addresses[name], self._names_by_host[address[0]] = address, name
        self._datagram_sockets[name] = socket.socket(fileno=datagrams)
        if listener is not None:
            self._listeners[name] = socket.socket(fileno=listener)
            self.loop.register(self._listeners[name], READ, lambda events: self._accept_connection(name))
            self.loop.register(self._datagram_sockets[name], READ, lambda events: self._receive_datagrams(name))


class DiscoveryRole(Role):
    """Discovery service with many servers and one listener per group of clients, whose costs are counted separately.

    Servers restart one after the other: a server is draining, then absent, then listed again as just started.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.rng = random.Random(options["seed"])
        self.generation, self.rate = 1, 0.0
        self.rows: dict[str, dict[str, Any]] = {}
        for number in range(max(options["listed"].values())):
            address = options["at"][number % len(options["at"])]
            zone = options["zones"][number % len(options["zones"])]
            name = f"sim-{number:05d}"
            self.rows[name] = {
                "instanceId": name,
                "hostPort": address,
                "zone": zone,
                "cell": number // 48,
                "weight": 1.0,
                "lifecycle": "SERVING",
                "startedAtMs": 1764000000000 + number,
            }
        self.names = list(self.rows)
        self.encoded = {name: json.dumps(row) for name, row in self.rows.items()}
        self.encoded_lists: dict[int, tuple[int, bytes]] = {}  # by list length: generation and body
        self.changes: deque[tuple[int, bytes]] = deque(maxlen=MAX_KEPT_CHANGES)
        self.watchers: dict[str, list[Connection]] = {group: [] for group in options["groups"]}
        self.counts: Tally[str] = Tally()
        self.listeners = {group: Listener(self.loop, partial(self._heard, group)) for group in options["groups"]}
        self.loop.call_in(HEARTBEAT_SECONDS, self._send_heartbeats)

    def ask_at(self) -> dict[str, str]:
        """Returns the address of the listener of each group."""
        return {group: listener.address_text for group, listener in self.listeners.items()}

    def _list(self, group: str) -> bytes:
        """Encodes the start of the list, of the length configured for the group."""
        list_size = self.options["listed"][group]
        if self.encoded_lists.get(list_size, (0,))[0] != self.generation:
            rows = ",".join(self.encoded[name] for name in self.names[:list_size] if name in self.encoded)
            self.encoded_lists[list_size] = (
                self.generation,
                (f'{{"generation": {self.generation}, "reset": true, "instances": [{rows}]}}').encode(),
            )
        return self.encoded_lists[list_size][1]

    def _count(self, group: str, kind: str, size: int) -> None:
        self.counts[f"{group} {kind}"] += 1
        self.counts[f"{group} {kind}_bytes"] += size

    def _heard(self, group: str, line: Connection, payload: Payload) -> None:
        if b"watch=1" not in payload.target:
            data = self._list(group)
            self._count(group, "whole", len(data))
            line.answer(200, data)
            return
        line.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        since = int(payload.target.partition(b"from=")[2] or 0)
        self.watchers[group].append(line)
        if self.changes and since + 1 < self.changes[0][0]:
            self._send_chunk(group, "whole", line, self._list(group))
            return
        for generation, data in self.changes:
            if generation > since and self._is_in_list(group, data):
                self._send_chunk(group, "change", line, data)

    def _send_chunk(self, group: str, kind: str, line: Connection, data: bytes) -> None:
        framed = b"%x\r\n%b\n\r\n" % (len(data) + 1, data)
        self._count(group, kind, len(framed))
        line.send(framed)

    def _send_heartbeats(self) -> None:
        for group, lines in self.watchers.items():
            lines[:] = [line for line in lines if line.is_open]
            for line in lines:
                self._send_chunk(group, "beat", line, b"")
        self.loop.call_in(HEARTBEAT_SECONDS, self._send_heartbeats)

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
            for line in lines if self._is_in_list(group, data) else ():
                if line.is_open:
                    self._send_chunk(group, "change", line, data)

    def _is_in_list(self, group: str, data: bytes) -> bool:
        return int(data.partition(b'"sim-')[2][:5]) < self.options["listed"][group]

    def ask_churn(self, rate: float) -> float:
        """Sets how many servers restart per second and returns that rate."""
        previous_rate, self.rate = self.rate, rate
        if rate and not previous_rate:
            self.loop.call_in(self.rng.expovariate(rate), self._restart)
        return rate

    def _restart(self) -> None:
        if not self.rate:
            return
        name = self.rng.choice(self.names)
        if self.rows[name]["lifecycle"] == "SERVING":
            self._change(name, "DRAINING")
            self.counts["restarts"] += 1
            self.loop.call_in(RESTART_STEP_S, lambda: self._change(name, "DELETED"))
            self.loop.call_in(2 * RESTART_STEP_S, lambda: self._finish_restart(name))
        self.loop.call_in(self.rng.expovariate(self.rate), self._restart)

    def _finish_restart(self, name: str) -> None:
        self.rows[name]["startedAtMs"] = int(time.time() * 1000)
        self._change(name, "SERVING")

    def ask_counts(self) -> dict[str, int]:
        """Returns responses and bytes by group and kind, and the number of restarts."""
        return self.counts


class GroupCounter(Counter):
    """Counter service for one group of clients, which shares its entries with the other groups' instances."""

    def __init__(self, role: Role, group: str, numbers: dict[bytes, tuple[float, float]], counts: Tally[str]) -> None:
        super().__init__(role.loop)
        self.group, self.totals, self.counts = group, numbers, counts

    def _handle_data(self, line: Connection, data: bytes) -> None:
        self.counts[f"{self.group} asked_bytes"] += len(data)
        super()._handle_data(line, data)

    def _add(self, parts: list[bytes]) -> bytes:
        answer = super()._add(parts)
        self.counts[f"{self.group} calls"] += 1
        self.counts[f"{self.group} answered_bytes"] += len(answer)
        return answer


class CounterRole(Role):
    """Counter service with one listener per group of clients, whose costs are counted separately."""

    def __init__(self, options: dict[str, Any]) -> None:
        super().__init__(options)
        self.counts: Tally[str] = Tally()
        numbers: dict[bytes, tuple[float, float]] = {}
        self.counters = {group: GroupCounter(self, group, numbers, self.counts) for group in options["groups"]}

    def ask_at(self) -> dict[str, str]:
        """Returns the address of the listener of each group."""
        return {group: counter.listener.address_text for group, counter in self.counters.items()}

    def ask_counts(self) -> dict[str, int]:
        """Returns calls and bytes by group."""
        return self.counts


ROLES: dict[str, type[Role]] = {
    "hollows": HollowRole,
    "links": LinkRole,
    "discovery": DiscoveryRole,
    "counter": CounterRole,
}

if __name__ == "__main__":
    kind, options_path = sys.argv[1:]
    faulthandler.register(signal.SIGUSR1)  # SIGUSR1 writes a traceback to standard error
    options = json.loads(Path(options_path).read_text())
    role = ROLES[kind](options)
    if options.get("profile"):
        profile = cProfile.Profile()
        profile.runcall(role.run)
        profile.dump_stats(options["profile"])
    else:
        role.run()
