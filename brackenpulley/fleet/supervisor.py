"""The supervisor: runs the instances of a fleet on one event loop. Used by `run`, `routes` and `reload`.

Owns the lock of the run directory, the notification socket, the control socket, and the process, output pipe and pidfd
of each instance. `instance`, `rolling` and `sharing` decide what is to be done; this module carries it out."""

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

BUSY_STEP_SECONDS = 0.05  # between steps of the supervisor while a start, a stop or a restart is under way
IDLE_STEP_SECONDS = 0.25  # between steps otherwise
RETRY_SECONDS = 0.2  # between probes of an instance that is not ready yet, and between requests for its share
CALL_TIMEOUT_SECONDS = 1.0  # of a request to an instance
MAX_DATAGRAMS = 256  # read in one event of the notification socket


class Slot:
    """An instance number of the fleet with its state machine, process, output and pending requests."""

    def __init__(self, instance: Instance, address: Address, output: OutputPipe) -> None:
        self.instance = instance
        self.address = address
        self.output = output
        self.process: Process | None = None
        self.health: dict[str, Any] = {}
        self.health_received_at = 0.0
        self.next_probe_at = 0.0
        self.probe_call: Call | None = None
        self.count_call: Call | None = None
        self.last_line = ""  # last line of its output
        self.is_removed = False  # whether it was scaled away; the slot is deleted once the instance is down


class Supervisor:
    """Starts, probes, restarts and stops the instances of one fleet, and serves its control API.

    The path is that of the fleet description, which is read again at a reload."""

    def __init__(
        self, path: str, shared_config: SharedConfig, loop: Loop, log: Any, stream: Stream, history: LineHistory
    ) -> None:
        """Take the lock of the fleet. Raises ConfigError if another supervisor holds it."""
        self.path = path
        self.shared_config = shared_config
        self.loop = loop
        self.log = log
        self.stream = stream
        self.history = history
        self.metrics: Metrics = loop.metrics
        self.run_directory = shared_config.spec.run
        self.run_directory.mkdir(mode=0o700, parents=True, exist_ok=True)
        self.lock = FileLock(
            self.run_directory / "lock", f"the supervisor of fleet {shared_config.spec.fleet.name}", ConfigError
        )
        self.rng = random.Random()
        self.saved_state, load_error = load_state(
            self.run_directory, shared_config.spec.fleet.instances, time.time(), time.monotonic()
        )
        if load_error:
            log.error("state", error=load_error)
        self.sharing = Sharing(shared_config.spec.share.lease_s, time.monotonic_ns())
        self.slots: dict[int, Slot] = {}
        self.rolling_restart: RollingRestart | None = None
        self.active_reload: Reload | None = None
        self.reload_error = ""  # why the last reload failed
        self.is_ending = False
        self.started_at = loop.clock()
        self.notifier = Notifier(os.environ)
        self._watchdog_timeout = watchdog_timeout(os.environ)
        self._watchdog_notified_at = 0.0
        self._is_ready_reported = False
        self._notify_socket: socket.socket | None = None
        self.control: ControlServer | None = None
        self._is_step_scheduled = False

    @property
    def spec(self) -> Fleet:
        """The fleet description in force."""
        return self.shared_config.spec

    # Start and shutdown.

    def start(self) -> None:
        """Open the sockets, adopt the instances that an earlier supervisor left, and start the others.

        Instances that the operator stopped stay down."""
        self._open_sockets()
        self._apply_count()
        for process in find_processes(self.run_directory):
            self._adopt(process.pid, process.number, process.start_digest)
        now = self.loop.clock()
        for number, slot in self.slots.items():
            if slot.instance.state == DOWN and number not in self.saved_state.stopped and not slot.is_removed:
                slot.instance.start(now)
        self._save_state()
        self.log.info(
            "supervising",
            fleet=self.spec.fleet.name,
            instances=self.saved_state.count,
            adopted=sum(slot.process is not None for slot in self.slots.values()),
        )
        self._run_periodic_step()

    def _open_sockets(self) -> None:
        path = self.run_directory / "notify.sock"
        path.unlink(missing_ok=True)  # left by an earlier supervisor: this one holds the lock
        self._notify_socket = sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_PASSCRED, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.bind(str(path))
        self.loop.register(sock, READ, self._handle_notifications)
        routes = Routes()
        fleet_routes(routes, self)
        self.control = ControlServer(self.loop, Pool(), routes, self.metrics)
        self.control.listen(self.spec.control)

    def end(self) -> None:
        """Stop all instances and then the supervisor. A second call skips the drain."""
        now = self.loop.clock()
        drain = not self.is_ending
        if not self.is_ending:
            self.is_ending = True
            self.rolling_restart = None
            self.notifier.notify(STOPPING=1)
            self.log.info("ending", fleet=self.spec.fleet.name)
        for slot in self.slots.values():
            self._perform(slot, slot.instance.stop(now, drain))
        self.schedule_step()

    def detach(self) -> None:
        """Stop the supervisor only: the instances keep running, and the next supervisor adopts them."""
        self.log.info("detaching", instances=sum(slot.process is not None for slot in self.slots.values()))
        self.loop.call_in(BUSY_STEP_SECONDS, self.loop.stop)

    def close(self) -> None:
        """Release all processes, sockets and files without a signal to any instance."""
        for slot in self.slots.values():
            if slot.process is not None:
                slot.process.close()
            slot.output.read()
            slot.output.close()
        if self._notify_socket is not None:
            self.loop.unregister(self._notify_socket)
            self._notify_socket.close()
            (self.run_directory / "notify.sock").unlink(missing_ok=True)
        if self.control is not None:
            self.control.stop()
        self.notifier.close()
        self.stream.close()
        self.lock.close()
        self.loop.close()

    # Slots.

    def _control_socket_path(self, number: int) -> str:
        """Return the path of an instance's control socket."""
        return str(self.run_directory / f"{number}.sock")

    def _apply_count(self) -> None:
        """Add slots up to the wanted count and stop the instances above it.

        The slots of those are deleted once they are down."""
        now = self.loop.clock()
        for number in range(self.saved_state.count):
            if number not in self.slots:
                self._add_slot(number)
            self.slots[number].is_removed = False
        for number, slot in self.slots.items():
            if number >= self.saved_state.count and not slot.is_removed:
                slot.is_removed = True
                self._perform(slot, slot.instance.stop(now))

    def _add_slot(self, number: int) -> Slot:
        spec = self.spec
        times = Times(spec.start.ready_s, spec.stop.deadline_s, spec.stop.notice_s, spec.watch.watchdog_s)
        addresses = self.shared_config.listen_addresses
        address = addresses[number] if number < len(addresses) else ("127.0.0.1", 0)
        output = OutputPipe(
            self.loop, self.run_directory / f"{number}.log", lambda line: self._handle_line(number, line)
        )
        slot = self.slots[number] = Slot(Instance(number, times, spec.restart_policy, self.rng), address, output)
        return slot

    def _adopt(self, pid: int, number: int, start_digest: str) -> None:
        now = self.loop.clock()
        slot = self.slots.get(number) or self._add_slot(number)
        try:
            process = Process(
                self.loop, pid, start_digest, None, lambda description: self._handle_end(number, description)
            )
        except ProcessLookupError:
            return
        if slot.process is not None:  # a slot has one process: the older one stays
            process.send_signal(signal.SIGKILL)
            process.close()
            return
        slot.process = process
        slot.instance.record_adoption(now, pid)
        self.sharing.record_adoption(number, 1, 1, 0.0)  # assumed to use the whole quota until it reports its share
        self.metrics.add("adopted")
        self.log.info("adopted", instance=number, pid=pid)
        self._request_share(slot, pid)
        if number >= self.saved_state.count:
            slot.is_removed = True
            self._perform(slot, slot.instance.stop(now))

    def _request_share(self, slot: Slot, pid: int) -> None:
        number = slot.instance.number
        if slot.instance.pid != pid or slot.count_call is not None:  # it has ended, or a request is pending already
            return

        def on_response(status: int, body: bytes) -> None:
            slot.count_call = None
            if slot.process is None or slot.instance.pid != pid:
                return
            if status != 200:
                self.loop.call_in(RETRY_SECONDS, lambda: self._request_share(slot, pid))
                return
            answer = json.loads(body)
            self.sharing.record_adoption(number, int(answer["floor"]), int(answer["count"]), float(answer["until"]))
            self.schedule_step()

        slot.count_call = Call(
            self.loop,
            self._control_socket_path(number),
            "POST",
            "/v1/gateways/fence",
            b'{"serial":%d}' % self.sharing.fence,
            CALL_TIMEOUT_SECONDS,
            on_response,
        )

    # Steps.

    def schedule_step(self) -> None:
        """Run a step in the next turn of the event loop; further calls until then have no effect."""
        if not self._is_step_scheduled:
            self._is_step_scheduled = True
            self.loop.call_soon(self._run_scheduled_step)

    def _run_scheduled_step(self) -> None:
        self._is_step_scheduled = False
        self._step()

    def _run_periodic_step(self) -> None:
        is_busy = self._step()
        self.loop.call_in(BUSY_STEP_SECONDS if is_busy else IDLE_STEP_SECONDS, self._run_periodic_step)

    def _step(self) -> bool:
        """Advance all instances, restarts and reloads. Returns whether any of them is under way."""
        now = self.loop.clock()
        for slot in list(self.slots.values()):
            self._perform(slot, slot.instance.tick(now))
            self._probe(slot, now)
            if slot.is_removed and slot.instance.state == DOWN:
                slot.output.read()
                slot.output.close()
                del self.slots[slot.instance.number]
        target = self.compute_target(now)
        for update in self.sharing.prepare_updates(now, target):
            self._send_update(update)
        self._start_due(now, target)
        if self.rolling_restart is not None and not self.rolling_restart.is_over:
            for number in self.rolling_restart.step(now, lambda slot_number: self.slots[slot_number].instance):
                self._perform(self.slots[number], self.slots[number].instance.restart(now))
            if self.rolling_restart.is_over:
                self.log.info("rolled", **self.rolling_restart.status())
        if self.active_reload is not None and self.active_reload.step(now):
            self.active_reload = None
            self.schedule_step()
        states = [slot.instance.state for slot in self.slots.values()]
        if self.is_ending and all(state in (DOWN, CRASHED) for state in states):
            self.loop.stop()
        self._report_status(now, states)
        return (
            self.is_ending
            or any(state not in (READY, DOWN, CRASHED) for state in states)
            or (self.rolling_restart is not None and not self.rolling_restart.is_over)
        )

    def compute_target(self, now: float) -> int:
        """Return the number of instances to divide the quotas by, at least 1.

        Counts those that run, those due to start, and those that have been in back-off for less than `widen_s`: their
        shares are not given to the others for a short outage."""
        count = 0
        for slot in self.slots.values():
            instance = slot.instance
            count += (
                instance.state in ALIVE
                or instance.state == DUE
                or (instance.state == WAITING and now - instance.since < self.spec.share.widen_s)
            )
        return max(1, count)

    def _start_due(self, now: float, target: int) -> None:
        starting_count = sum(slot.instance.is_starting for slot in self.slots.values())
        for _, slot in sorted(self.slots.items()):
            if starting_count >= self.spec.start.at_once:
                return
            if slot.instance.state != DUE:
                continue
            if not self.sharing.has_room(now, target):
                self.metrics.add("starts_held_for_shares")
                return
            starting_count += 1
            self._spawn(slot, now, target)

    def _spawn(self, slot: Slot, now: float, count: int) -> None:
        number = slot.instance.number
        env = {
            **os.environ,
            **self.spec.environment,
            "BALANCER_CONFIG": str(self.run_directory / f"{number}.json"),
            "BALANCER_CONTROL": f"unix:{self._control_socket_path(number)}",
            "NOTIFY_SOCKET": str(self.run_directory / "notify.sock"),
            FLEET_VARIABLE: str(self.run_directory),
            INSTANCE_VARIABLE: str(number),
            DIGEST_VARIABLE: self.shared_config.start_digest,
            CLOCK_VARIABLE: repr(self.saved_state.clock),
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
            env["BALANCER_OPERATOR"] = str(self.run_directory / f"{number}.toml")
        if self.spec.watch.watchdog_s:
            env["WATCHDOG_USEC"] = str(int(self.spec.watch.watchdog_s * 1e6))
        try:
            slot.address = self.shared_config.listen_addresses[number]
            self.shared_config.write_instance_files(number, count)
            child = spawn(env, slot.output)
            if (sockets := self.spec.limits.sockets) is not None:
                hard_limit = resource.prlimit(child.pid, resource.RLIMIT_NOFILE)[1]
                resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (min(sockets, hard_limit), hard_limit))
            slot.process = Process(
                self.loop,
                child.pid,
                self.shared_config.start_digest,
                child,
                lambda description: self._handle_end(number, description),
            )
        except (OSError, IndexError) as error:  # disk full, process or descriptor limit reached, no address
            self.metrics.add("starts_failed")
            slot.instance.record_spawn_failure(now, str(error))
            self.log.error("not started", instance=number, error=str(error), state=slot.instance.state)
            return
        slot.health, slot.last_line, slot.next_probe_at = {}, "", 0.0
        slot.instance.record_spawn(now, child.pid)
        self.sharing.record_start(number, count)
        self.metrics.add("starts")
        self.log.info("started", instance=number, pid=child.pid, sharing=count)

    def _handle_end(self, number: int, description: str) -> None:
        slot, now = self.slots[number], self.loop.clock()
        slot.output.read()
        previous_state, pid = slot.instance.state, slot.instance.pid
        self.sharing.record_end(number)
        slot.process = None
        if description.startswith("exit") and slot.last_line:
            description = f"{description}: {slot.last_line}"
        slot.instance.record_end(now, description)
        if slot.instance.state in (WAITING, CRASHED):
            self.metrics.add("ended_by_themselves")
            self.log.warning("ended", instance=number, pid=pid, why=slot.instance.reason, state=slot.instance.state)
        else:
            self.log.info(
                "stopped",
                instance=number,
                pid=pid,
                was=previous_state,
                state=slot.instance.state,
                why=slot.instance.reason or None,
            )
        if slot.instance.state == CRASHED:
            self.metrics.add("crash_loops")
            self.log.error("crash loop", instance=number, why=slot.instance.reason, restarts=slot.instance.restarts)
        self.schedule_step()

    def _perform(self, slot: Slot, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Drain):
                Call(
                    self.loop,
                    self._control_socket_path(slot.instance.number),
                    "POST",
                    "/v1/drain",
                    b"{}",
                    CALL_TIMEOUT_SECONDS,
                    lambda status, body: None,
                )
            elif slot.process is not None:
                if action.number == signal.SIGKILL:
                    self.metrics.add("killed")
                    self.log.error("killing", instance=slot.instance.number, pid=slot.instance.pid, why=action.reason)
                slot.process.send_signal(action.number)

    def _probe(self, slot: Slot, now: float) -> None:
        instance = slot.instance
        if (
            slot.probe_call is not None
            or instance.state not in (STARTING, READY)
            or not instance.is_notified_ready
            or now < slot.next_probe_at
        ):
            return
        slot.next_probe_at = now + (self.spec.watch.probe_s if instance.state == READY else RETRY_SECONDS)
        pid = instance.pid

        def on_response(status: int, body: bytes) -> None:
            slot.probe_call = None
            if instance.pid != pid:
                return
            previous_state = instance.state
            instance.record_probe(self.loop.clock(), status == 200)
            if previous_state != instance.state:
                self.log.info(
                    instance.state if instance.state == READY else "unready", instance=instance.number, pid=pid
                )
                self.schedule_step()

        host = {"0.0.0.0": "127.0.0.1", "::": "::1"}.get(slot.address[0], slot.address[0])
        slot.probe_call = Call(
            self.loop,
            (host, slot.address[1]),
            "GET",
            "/ready",
            b"",
            min(CALL_TIMEOUT_SECONDS, self.spec.watch.probe_s),
            on_response,
        )

    def _send_update(self, update: CountUpdate) -> None:
        slot = self.slots.get(update.number)
        if slot is None or slot.process is None:
            return
        if slot.count_call is not None:
            slot.count_call.cancel()
        pid = slot.instance.pid

        def on_response(status: int, body: bytes) -> None:
            slot.count_call = None
            if status == 200 and slot.instance.pid == pid:
                self.sharing.record_acknowledgement(update.number, update.serial)
                self.schedule_step()

        body = json.dumps(
            {"serial": update.serial, "count": update.count, "until": update.until, "part": self.spec.fleet.part}
        )
        slot.count_call = Call(
            self.loop,
            self._control_socket_path(update.number),
            "POST",
            "/v1/gateways",
            body.encode(),
            CALL_TIMEOUT_SECONDS,
            on_response,
        )

    # Notifications and log lines of the instances.

    def _handle_notifications(self, events: int) -> None:
        assert self._notify_socket is not None
        for _ in range(MAX_DATAGRAMS):
            try:
                data, ancillary, _, _ = self._notify_socket.recvmsg(
                    MAX_DATAGRAM_BYTES, socket.CMSG_SPACE(CREDENTIALS.size)
                )
            except OSError:
                return
            pid, fields = sender_pid(ancillary), parse_fields(data)
            slot = next(
                (
                    candidate
                    for candidate in self.slots.values()
                    if candidate.process is not None and candidate.instance.pid == pid
                ),
                None,
            )
            if slot is None:
                self.metrics.add("notices_of_strangers")
                continue
            now, was_notified_ready = self.loop.clock(), slot.instance.is_notified_ready
            slot.instance.record_notification(now, fields)
            if "X_HEALTH" in fields:
                try:
                    slot.health, slot.health_received_at = json.loads(fields["X_HEALTH"]), now
                except ValueError:
                    self.metrics.add("notices_unreadable")
            if self.active_reload is not None and "X_RELOAD" in fields:
                self.active_reload.record_result(slot.instance.number, fields["X_RELOAD"])
            if slot.instance.is_notified_ready and not was_notified_ready:
                self.schedule_step()

    def _handle_line(self, number: int, line: str) -> None:
        slot = self.slots.get(number)
        pid = slot.instance.pid if slot is not None else 0
        if slot is not None:
            slot.last_line = line[:200]
        self.put_line(
            number, add_instance_fields(line, time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()), number, pid)
        )

    def put_line(self, number: int, text: str) -> None:
        """Add a log line of instance `number` to the history and the log stream."""
        self.history.add(number, text)
        self.stream.put(text)

    # Operations of the control API.

    def select_numbers(self, numbers: list[int] | None) -> list[int]:
        """Return the given instance numbers, or all for None.

        Raises ConfigError if one does not exist."""
        if numbers is None:
            return sorted(n for n, slot in self.slots.items() if not slot.is_removed)
        for number in numbers:
            if number not in self.slots:
                raise ConfigError(
                    f"instances: {number}: no such instance; the numbers are 0 to {self.saved_state.count - 1}"
                )
        return numbers

    def start_instances(self, numbers: list[int] | None) -> list[int]:
        """Start instances, all for None, and return their numbers.

        Raises ConfigError if one does not exist."""
        selected = self.select_numbers(numbers)
        for number in selected:
            self.slots[number].instance.start(self.loop.clock())
        self.saved_state.stopped = sorted(set(self.saved_state.stopped) - set(selected))
        self._save_state()
        return selected

    def stop_instances(self, numbers: list[int] | None) -> list[int]:
        """Stop instances, all for None, and return their numbers. They stay stopped until the operator starts them.

        Raises ConfigError if one does not exist."""
        selected = self.select_numbers(numbers)
        for number in selected:
            self._perform(self.slots[number], self.slots[number].instance.stop(self.loop.clock()))
        self.saved_state.stopped = sorted(set(self.saved_state.stopped) | set(selected))
        self._save_state()
        return selected

    def restart_instances(self, numbers: list[int] | None, at_once: int) -> RollingRestart:
        """Begin a rolling restart of instances, all for None, `at_once` at a time; stopped ones are left out.

        Raises ConfigError if one does not exist or another rolling restart is under way."""
        selected = [n for n in self.select_numbers(numbers) if n not in self.saved_state.stopped]
        if self.rolling_restart is not None and not self.rolling_restart.is_over:
            raise ConfigError("restart: one is under way already")
        self.rolling_restart = RollingRestart(
            space_out(selected, at_once), at_once, self.spec.stop.notice_s, self.loop.clock()
        )
        self.log.info("rolling", instances=len(selected), at_once=at_once)
        self.schedule_step()
        return self.rolling_restart

    def scale(self, count: int) -> None:
        """Change the number of instances: start the added ones and stop those with the highest numbers.

        Raises ConfigError if the description or a configuration does not allow the count; nothing has changed then."""
        check_count(self.spec, count)
        for number in range(self.saved_state.count, count):
            self.shared_config.decode_config(number, count)
        self.log.info("scaling", was=self.saved_state.count, to=count)
        self.saved_state.count = count
        self._apply_count()
        now = self.loop.clock()
        for number, slot in self.slots.items():
            if number < count and number not in self.saved_state.stopped and slot.instance.state != CRASHED:
                slot.instance.start(now)  # also one whose stop after an earlier scaling is still under way
        self._save_state()
        self.schedule_step()

    def reload(self) -> Reload:
        """Begin to apply the description and its files again, in all instances or in none.

        Raises ConfigError if they are invalid or another reload is under way."""
        if self.active_reload is not None:
            raise ConfigError("reload: one is under way already")
        self.active_reload = Reload.begin(self)
        return self.active_reload

    def reload_by_signal(self) -> None:
        """Reload on SIGHUP; errors are logged."""
        try:
            self.reload()
        except ConfigError as error:
            self.metrics.add("reloads_failed")
            self.log.error("reload", error=str(error))

    def _save_state(self) -> None:
        try:
            save_state(self.run_directory, self.saved_state)
        except OSError as error:
            self.metrics.add("state_unkept")
            self.log.error("state", error=str(error))

    # Status of the supervisor.

    def _report_status(self, now: float, states: list[str]) -> None:
        ready = states.count(READY)
        wanted_count = sum(1 for number in self.slots if number not in self.saved_state.stopped)
        is_settled = ready + states.count(CRASHED) >= wanted_count and ready > 0
        if is_settled and not self._is_ready_reported and not self.is_ending:
            self._is_ready_reported = True
            self.notifier.notify(READY=1, STATUS=f"{ready} of {wanted_count} ready")
            self.log.info("fleet ready", ready=ready, instances=wanted_count, seconds=round(now - self.started_at, 3))
        if self._watchdog_timeout and now - self._watchdog_notified_at >= self._watchdog_timeout / 3:
            self._watchdog_notified_at = now
            self.notifier.notify(WATCHDOG=1, STATUS=f"{ready} of {wanted_count} ready")

    def status(self) -> dict[str, Any]:
        """Return the state of the fleet and of each instance, for the control API."""
        now = self.loop.clock()
        counts = self.sharing.get_counts(now)
        rows = []
        for number, slot in sorted(self.slots.items()):
            instance = slot.instance
            rows.append(
                {
                    "instance": number,
                    "state": instance.state,
                    "pid": instance.pid or None,
                    "listen": f"{slot.address[0]}:{slot.address[1]}",
                    "seconds": round(now - instance.since, 3),
                    "restarts": instance.restarts,
                    "life": instance.generation,
                    "sharing": counts.get(number),
                    "why": instance.reason or None,
                    "said": instance.status_text or None,
                    "adopted": slot.process is not None and slot.process.is_adopted,
                    "old": slot.process is not None and slot.process.start_digest != self.shared_config.start_digest,
                    "health": slot.health or None,
                    "healthSeconds": round(now - slot.health_received_at, 3) if slot.health else None,
                }
            )
        return {
            "fleet": self.spec.fleet.name,
            "pid": os.getpid(),
            "upSeconds": round(now - self.started_at, 3),
            "instances": self.saved_state.count,
            "ready": sum(row["state"] == READY for row in rows),
            "stopped": self.saved_state.stopped,
            "ending": self.is_ending,
            "places": rows,
            "rolling": self.rolling_restart.status() if self.rolling_restart is not None else None,
            "reloading": self.active_reload is not None,
            "reloadFailed": self.reload_error or None,
            "log": self.stream.status(),
            "clockStepSeconds": round(time.time() - time.monotonic() - self.saved_state.clock, 3),
            "counters": self.metrics.as_dict(),
        }
