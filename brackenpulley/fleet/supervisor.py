"""Runs a fleet on the one loop: processes, their datagrams and pipes, looks at /ready, the control socket.

Owns the lock, the notify socket, the control socket and each instance's pipe and pidfd. What is decided stands in
`instance`, `rolling` and `sharing`; here it is carried out."""

from __future__ import annotations

import json
import os
import random
import resource
import signal
import socket
import time
from typing import Any

from ..address import Address, ConfigError
from ..control.api import Routes
from ..control.server import ControlServer
from ..lock import FileLock
from ..metrics import Metrics
from ..net.loop import READ, Loop
from ..net.pool import Pool
from .caller import Call
from .files import SharedConfig, load_state, save_state
from .instance import ALIVE, CRASHED, DOWN, DUE, READY, STARTING, WAITING, Action, Drain, Instance, Times
from .lines import LineHistory, add_instance_fields
from .notify import CREDENTIALS, MAX_DATAGRAM_BYTES, Notifier, parse_fields, sender_pid, watchdog_timeout
from .process import (
    CLOCK_VARIABLE,
    DIGEST_VARIABLE,
    FLEET_VARIABLE,
    INSTANCE_VARIABLE,
    PLACES_VARIABLE,
    OutputPipe,
    Process,
    find_processes,
    spawn,
)
from .reload import Reload
from .rolling import RollingRestart, space_out
from .routes import fleet_routes
from .sharing import CountUpdate, Sharing
from .spec import Fleet, check_count
from .stream import Stream

SOON, IDLE = 0.05, 0.25  # s between turns of the supervisor: with something under way, and without
LOOK_SOON = 0.2  # s between looks at one that is not ready yet
PATIENCE = 1.0  # s for an instance to answer
DATAGRAMS = 256  # a turn


class Place:
    """An instance with what belongs to it here."""

    def __init__(self, one: Instance, at: Address, output: OutputPipe) -> None:
        self.one, self.at, self.output = one, at, output
        self.process: Process | None = None
        self.health: dict[str, Any] = {}
        self.health_at = 0.0
        self.look_at = 0.0
        self.looking: Call | None = None
        self.words: Call | None = None
        self.last = ""  # line of its log
        self.gone = False  # scaled away: forgotten once it is down


class Supervisor:
    def __init__(
        self, path: str, shared_config: SharedConfig, loop: Loop, log: Any, stream: Stream, history: LineHistory
    ) -> None:
        """Raises ConfigError where another supervisor has the fleet."""
        self.path, self.shared_config, self.loop, self.log, self.stream, self.history = (
            path,
            shared_config,
            loop,
            log,
            stream,
            history,
        )
        self.metrics: Metrics = loop.metrics
        self.run = shared_config.spec.run
        self.run.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock = FileLock(self.run / "lock", f"the supervisor of fleet {shared_config.spec.fleet.name}", ConfigError)
        self.rng = random.Random()
        self.state, said = load_state(self.run, shared_config.spec.fleet.instances, time.time(), time.monotonic())
        if said:
            log.error("state", error=said)
        self.sharing = Sharing(shared_config.spec.share.lease_s, time.monotonic_ns())
        self.places: dict[int, Place] = {}
        self.rolling: RollingRestart | None = None
        self.reloading: Reload | None = None
        self.reload_error = ""  # why the last one failed
        self.ending = False
        self.born = loop.clock()
        self.own = Notifier(os.environ)
        self._own_watchdog = watchdog_timeout(os.environ)
        self._own_sign = 0.0
        self._said_ready = False
        self._notify: socket.socket | None = None
        self.control: ControlServer | None = None
        self._soon = False

    @property
    def spec(self) -> Fleet:
        return self.shared_config.spec

    # Start and end.

    def start(self) -> None:
        self._listen()
        self._fit()
        for found in find_processes(self.run):
            self._adopt(found.pid, found.number, found.start_digest)
        now = self.loop.clock()
        for number, place in self.places.items():
            if place.one.state == DOWN and number not in self.state.stopped and not place.gone:
                place.one.start(now)
        self._keep()
        self.log.info(
            "supervising",
            fleet=self.spec.fleet.name,
            instances=self.state.count,
            adopted=sum(place.process is not None for place in self.places.values()),
        )
        self._turn()

    def _listen(self) -> None:
        path = self.run / "notify.sock"
        path.unlink(missing_ok=True)  # the lock is ours: nobody else's
        self._notify = sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_PASSCRED, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.bind(str(path))
        self.loop.register(sock, READ, self._notified)
        routes = Routes()
        fleet_routes(routes, self)
        self.control = ControlServer(self.loop, Pool(), routes, self.metrics)
        self.control.listen(self.spec.control)

    def end(self) -> None:
        """Stop all in order; asked a second time, without waiting for the front to notice."""
        now = self.loop.clock()
        drain = not self.ending
        if not self.ending:
            self.ending = True
            self.rolling = None
            self.own.notify(STOPPING=1)
            self.log.info("ending", fleet=self.spec.fleet.name)
        for place in self.places.values():
            self._do(place, place.one.stop(now, drain))
        self.soon()

    def detach(self) -> None:
        """End alone: the instances go on, and the next supervisor takes them over."""
        self.log.info("detaching", instances=sum(p.process is not None for p in self.places.values()))
        self.loop.call_in(SOON, self.loop.stop)

    def close(self) -> None:
        for place in self.places.values():
            if place.process is not None:
                place.process.close()
            place.output.read()
            place.output.close()
        if self._notify is not None:
            self.loop.unregister(self._notify)
            self._notify.close()
            (self.run / "notify.sock").unlink(missing_ok=True)
        if self.control is not None:
            self.control.stop()
        self.own.close()
        self.stream.close()
        self.lock.close()
        self.loop.close()

    # Places.

    def _sock(self, number: int) -> str:
        """The path of an instance's control socket."""
        return str(self.run / f"{number}.sock")

    def _fit(self) -> None:
        """As many places as are wanted; those over it are stopped and then forgotten."""
        now = self.loop.clock()
        for number in range(self.state.count):
            if number not in self.places:
                self._place(number)
            self.places[number].gone = False
        for number, place in self.places.items():
            if number >= self.state.count and not place.gone:
                place.gone = True
                self._do(place, place.one.stop(now))

    def _place(self, number: int) -> Place:
        s = self.spec
        times = Times(s.start.ready_s, s.stop.deadline_s, s.stop.notice_s, s.watch.watchdog_s)
        listens = self.shared_config.listen_addresses
        at = listens[number] if number < len(listens) else ("127.0.0.1", 0)
        output = OutputPipe(self.loop, self.run / f"{number}.log", lambda line: self._line(number, line))
        place = self.places[number] = Place(Instance(number, times, s.restart_policy, self.rng), at, output)
        return place

    def _adopt(self, pid: int, number: int, mark: str) -> None:
        now = self.loop.clock()
        place = self.places.get(number) or self._place(number)
        try:
            process = Process(self.loop, pid, mark, None, lambda how: self._ended(number, how))
        except ProcessLookupError:
            return
        if place.process is not None:  # a place has one process: the older one stays
            process.send_signal(signal.SIGKILL)
            process.close()
            return
        place.process = process
        place.one.record_adoption(now, pid)
        self.sharing.record_adoption(number, 1, 1, 0.0)  # until it says what it uses it counts as using the whole
        self.metrics.add("adopted")
        self.log.info("adopted", instance=number, pid=pid)
        self._ask_share(place, pid)
        if number >= self.state.count:
            place.gone = True
            self._do(place, place.one.stop(now))

    def _ask_share(self, place: Place, pid: int) -> None:
        number = place.one.number
        if place.one.pid != pid or place.words is not None:  # it ended, or is being told meanwhile
            return

        def heard(status: int, body: bytes) -> None:
            place.words = None
            if place.process is None or place.one.pid != pid:
                return
            if status != 200:
                self.loop.call_in(LOOK_SOON, lambda: self._ask_share(place, pid))
                return
            told = json.loads(body)
            self.sharing.record_adoption(number, int(told["floor"]), int(told["count"]), float(told["until"]))
            self.soon()

        place.words = Call(
            self.loop,
            self._sock(number),
            "POST",
            "/v1/gateways/fence",
            b'{"serial":%d}' % self.sharing.fence,
            PATIENCE,
            heard,
        )

    # The turn.

    def soon(self) -> None:
        if not self._soon:
            self._soon = True
            self.loop.call_soon(self._once)

    def _once(self) -> None:
        self._soon = False
        self._step()

    def _turn(self) -> None:
        busy = self._step()
        self.loop.call_in(SOON if busy else IDLE, self._turn)

    def _step(self) -> bool:
        """Whether something is under way."""
        now = self.loop.clock()
        for place in list(self.places.values()):
            self._do(place, place.one.tick(now))
            self._look(place, now)
            if place.gone and place.one.state == DOWN:
                place.output.read()
                place.output.close()
                del self.places[place.one.number]
        target = self.target(now)
        for update in self.sharing.prepare_updates(now, target):
            self._tell(update)
        self._start_due(now, target)
        if self.rolling is not None and not self.rolling.is_over:
            for number in self.rolling.step(now, lambda n: self.places[n].one):
                self._do(self.places[number], self.places[number].one.restart(now))
            if self.rolling.is_over:
                self.log.info("rolled", **self.rolling.status())
        if self.reloading is not None and self.reloading.step(now):
            self.reloading = None
            self.soon()
        states = [place.one.state for place in self.places.values()]
        if self.ending and all(state in (DOWN, CRASHED) for state in states):
            self.loop.stop()
        self._say(now, states)
        return (
            self.ending
            or any(state not in (READY, DOWN, CRASHED) for state in states)
            or (self.rolling is not None and not self.rolling.is_over)
        )

    def target(self, now: float) -> int:
        """How many share the whole: those that run, and those that are soon to."""
        count = 0
        for place in self.places.values():
            one = place.one
            count += (
                one.state in ALIVE
                or one.state == DUE
                or (one.state == WAITING and now - one.since < self.spec.share.widen_s)
            )
        return max(1, count)

    def _start_due(self, now: float, target: int) -> None:
        under_way = sum(place.one.is_starting for place in self.places.values())
        for _, place in sorted(self.places.items()):
            if under_way >= self.spec.start.at_once:
                return
            if place.one.state != DUE:
                continue
            if not self.sharing.has_room(now, target):
                self.metrics.add("starts_held_for_shares")
                return
            under_way += 1
            self._spawn(place, now, target)

    def _spawn(self, place: Place, now: float, count: int) -> None:
        number = place.one.number
        env = {
            **os.environ,
            **self.spec.environment,
            "BALANCER_CONFIG": str(self.run / f"{number}.json"),
            "BALANCER_CONTROL": f"unix:{self._sock(number)}",
            "NOTIFY_SOCKET": str(self.run / "notify.sock"),
            FLEET_VARIABLE: str(self.run),
            INSTANCE_VARIABLE: str(number),
            DIGEST_VARIABLE: self.shared_config.start_digest,
            CLOCK_VARIABLE: repr(self.state.clock),
            PLACES_VARIABLE: str(self.shared_config.compute_ingress_count(len(self.shared_config.listen_addresses))),
        }
        for name in (
            "BALANCER_NAME",
            "BALANCER_LISTEN",
            "BALANCER_DISCOVERY",
            "BALANCER_OPERATOR",
            "WATCHDOG_PID",
            "WATCHDOG_USEC",
        ):
            env.pop(name, None)
        if self.spec.fleet.operator:
            env["BALANCER_OPERATOR"] = str(self.run / f"{number}.toml")
        if self.spec.watch.watchdog_s:
            env["WATCHDOG_USEC"] = str(int(self.spec.watch.watchdog_s * 1e6))
        try:
            place.at = self.shared_config.listen_addresses[number]
            self.shared_config.write_instance_files(number, count)
            child = spawn(env, place.output)
            if (sockets := self.spec.limits.sockets) is not None:
                most = resource.prlimit(child.pid, resource.RLIMIT_NOFILE)[1]
                resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (min(sockets, most), most))
            place.process = Process(
                self.loop, child.pid, self.shared_config.start_digest, child, lambda how: self._ended(number, how)
            )
        except (OSError, IndexError) as error:  # no disk, no processes, no descriptors
            self.metrics.add("starts_failed")
            place.one.record_spawn_failure(now, str(error))
            self.log.error("not started", instance=number, error=str(error), state=place.one.state)
            return
        place.health, place.last, place.look_at = {}, "", 0.0
        place.one.record_spawn(now, child.pid)
        self.sharing.record_start(number, count)
        self.metrics.add("starts")
        self.log.info("started", instance=number, pid=child.pid, sharing=count)

    def _ended(self, number: int, how: str) -> None:
        place, now = self.places[number], self.loop.clock()
        place.output.read()
        before, pid = place.one.state, place.one.pid
        self.sharing.record_end(number)
        place.process = None
        if how.startswith("exit") and place.last:
            how = f"{how}: {place.last}"
        place.one.record_end(now, how)
        if place.one.state in (WAITING, CRASHED):
            self.metrics.add("ended_by_themselves")
            self.log.warning("ended", instance=number, pid=pid, why=place.one.reason, state=place.one.state)
        else:
            self.log.info(
                "stopped", instance=number, pid=pid, was=before, state=place.one.state, why=place.one.reason or None
            )
        if place.one.state == CRASHED:
            self.metrics.add("crash_loops")
            self.log.error("crash loop", instance=number, why=place.one.reason, restarts=place.one.restarts)
        self.soon()

    def _do(self, place: Place, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Drain):
                Call(
                    self.loop,
                    self._sock(place.one.number),
                    "POST",
                    "/v1/drain",
                    b"{}",
                    PATIENCE,
                    lambda status, body: None,
                )
            elif place.process is not None:
                if action.number == signal.SIGKILL:
                    self.metrics.add("killed")
                    self.log.error("killing", instance=place.one.number, pid=place.one.pid, why=action.reason)
                place.process.send_signal(action.number)

    def _look(self, place: Place, now: float) -> None:
        one = place.one
        if (
            place.looking is not None
            or one.state not in (STARTING, READY)
            or not one.is_notified_ready
            or now < place.look_at
        ):
            return
        place.look_at = now + (self.spec.watch.probe_s if one.state == READY else LOOK_SOON)
        pid = one.pid

        def heard(status: int, body: bytes) -> None:
            place.looking = None
            if one.pid != pid:
                return
            before = one.state
            one.record_probe(self.loop.clock(), status == 200)
            if before != one.state:
                self.log.info(one.state if one.state == READY else "unready", instance=one.number, pid=pid)
                self.soon()

        host = {"0.0.0.0": "127.0.0.1", "::": "::1"}.get(place.at[0], place.at[0])
        place.looking = Call(
            self.loop, (host, place.at[1]), "GET", "/ready", b"", min(PATIENCE, self.spec.watch.probe_s), heard
        )

    def _tell(self, update: CountUpdate) -> None:
        place = self.places.get(update.number)
        if place is None or place.process is None:
            return
        if place.words is not None:
            place.words.cancel()
        pid = place.one.pid

        def heard(status: int, body: bytes) -> None:
            place.words = None
            if status == 200 and place.one.pid == pid:
                self.sharing.record_acknowledgement(update.number, update.serial)
                self.soon()

        body = json.dumps(
            {"serial": update.serial, "count": update.count, "until": update.until, "part": self.spec.fleet.part}
        )
        place.words = Call(self.loop, self._sock(update.number), "POST", "/v1/gateways", body.encode(), PATIENCE, heard)

    # What comes in.

    def _notified(self, events: int) -> None:
        assert self._notify is not None
        for _ in range(DATAGRAMS):
            try:
                data, ancillary, _, _ = self._notify.recvmsg(MAX_DATAGRAM_BYTES, socket.CMSG_SPACE(CREDENTIALS.size))
            except OSError:
                return
            pid, fields = sender_pid(ancillary), parse_fields(data)
            place = next((p for p in self.places.values() if p.process is not None and p.one.pid == pid), None)
            if place is None:
                self.metrics.add("notices_of_strangers")
                continue
            now, told = self.loop.clock(), place.one.is_notified_ready
            place.one.record_notification(now, fields)
            if "X_HEALTH" in fields:
                try:
                    place.health, place.health_at = json.loads(fields["X_HEALTH"]), now
                except ValueError:
                    self.metrics.add("notices_unreadable")
            if self.reloading is not None and "X_RELOAD" in fields:
                self.reloading.record_result(place.one.number, fields["X_RELOAD"])
            if place.one.is_notified_ready and not told:
                self.soon()

    def _line(self, number: int, line: str) -> None:
        place = self.places.get(number)
        pid = place.one.pid if place is not None else 0
        if place is not None:
            place.last = line[:200]
        self.put(number, add_instance_fields(line, time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()), number, pid))

    def put(self, number: int, text: str) -> None:
        self.history.add(number, text)
        self.stream.put(text)

    # The operator.

    def chosen(self, numbers: list[int] | None) -> list[int]:
        """Raises ConfigError."""
        if numbers is None:
            return sorted(n for n, place in self.places.items() if not place.gone)
        for number in numbers:
            if number not in self.places:
                raise ConfigError(f"instances: {number}: there are 0 to {self.state.count - 1}")
        return numbers

    def start_some(self, numbers: list[int] | None) -> list[int]:
        found = self.chosen(numbers)
        for number in found:
            self.places[number].one.start(self.loop.clock())
        self.state.stopped = sorted(set(self.state.stopped) - set(found))
        self._keep()
        return found

    def stop_some(self, numbers: list[int] | None) -> list[int]:
        found = self.chosen(numbers)
        for number in found:
            self._do(self.places[number], self.places[number].one.stop(self.loop.clock()))
        self.state.stopped = sorted(set(self.state.stopped) | set(found))
        self._keep()
        return found

    def restart_some(self, numbers: list[int] | None, at_once: int) -> RollingRestart:
        found = [n for n in self.chosen(numbers) if n not in self.state.stopped]
        if self.rolling is not None and not self.rolling.is_over:
            raise ConfigError("restart: one is under way already")
        self.rolling = RollingRestart(space_out(found, at_once), at_once, self.spec.stop.notice_s, self.loop.clock())
        self.log.info("rolling", instances=len(found), at_once=at_once)
        self.soon()
        return self.rolling

    def scale(self, count: int) -> None:
        check_count(self.spec, count)
        for number in range(self.state.count, count):
            self.shared_config.decode_config(number, count)
        self.log.info("scaling", was=self.state.count, to=count)
        self.state.count = count
        self._fit()
        now = self.loop.clock()
        for number, place in self.places.items():
            if number < count and number not in self.state.stopped and place.one.state != CRASHED:
                place.one.start(now)  # one that was being scaled away comes back
        self._keep()
        self.soon()

    def reload(self) -> Reload:
        """Take the description and its files anew: all instances, or none. Raises ConfigError."""
        if self.reloading is not None:
            raise ConfigError("reload: one is under way already")
        self.reloading = Reload.begin(self)
        return self.reloading

    def reload_by_signal(self) -> None:
        try:
            self.reload()
        except ConfigError as error:
            self.metrics.add("reloads_failed")
            self.log.error("reload", error=str(error))

    def _keep(self) -> None:
        try:
            save_state(self.run, self.state)
        except OSError as error:
            self.metrics.add("state_unkept")
            self.log.error("state", error=str(error))

    # What it says of itself.

    def _say(self, now: float, states: list[str]) -> None:
        ready = states.count(READY)
        wanted = sum(1 for number in self.places if number not in self.state.stopped)
        settled = ready + states.count(CRASHED) >= wanted and ready > 0
        if settled and not self._said_ready and not self.ending:
            self._said_ready = True
            self.own.notify(READY=1, STATUS=f"{ready} of {wanted} ready")
            self.log.info("fleet ready", ready=ready, instances=wanted, seconds=round(now - self.born, 3))
        if self._own_watchdog and now - self._own_sign >= self._own_watchdog / 3:
            self._own_sign = now
            self.own.notify(WATCHDOG=1, STATUS=f"{ready} of {wanted} ready")

    def status(self) -> dict[str, Any]:
        now = self.loop.clock()
        counts = self.sharing.get_counts(now)
        rows = []
        for number, place in sorted(self.places.items()):
            one = place.one
            rows.append(
                {
                    "instance": number,
                    "state": one.state,
                    "pid": one.pid or None,
                    "listen": f"{place.at[0]}:{place.at[1]}",
                    "seconds": round(now - one.since, 3),
                    "restarts": one.restarts,
                    "life": one.generation,
                    "sharing": counts.get(number),
                    "why": one.reason or None,
                    "said": one.status_text or None,
                    "adopted": place.process is not None and place.process.is_adopted,
                    "old": place.process is not None and place.process.start_digest != self.shared_config.start_digest,
                    "health": place.health or None,
                    "healthSeconds": round(now - place.health_at, 3) if place.health else None,
                }
            )
        return {
            "fleet": self.spec.fleet.name,
            "pid": os.getpid(),
            "upSeconds": round(now - self.born, 3),
            "instances": self.state.count,
            "ready": sum(row["state"] == READY for row in rows),
            "stopped": self.state.stopped,
            "ending": self.ending,
            "places": rows,
            "rolling": self.rolling.status() if self.rolling is not None else None,
            "reloading": self.reloading is not None,
            "reloadFailed": self.reload_error or None,
            "log": self.stream.status(),
            "clockStepSeconds": round(time.time() - time.monotonic() - self.state.clock, 3),
            "counters": self.metrics.as_dict(),
        }
