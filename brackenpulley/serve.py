"""The daemon of one ingress: builds its components, runs its event loop and shuts it down in order.

Used by the command line, by the demo and by tests that run an ingress within their own process.
"""

from __future__ import annotations

import contextlib
import gc
import os
import random
import resource
import signal
import sys
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import structlog

from .address import Address, ConfigError
from .bodies.memory import BodyMemory
from .config import Config, reload
from .core.features import disable_probes, list_unsupported
from .core.ingress import Ingress
from .memory_budget import divide, read_resident_bytes
from .metrics import Metrics, render_exposition
from .net.console import Console
from .net.counter import CounterClient
from .net.id_sharing import IdSharing
from .net.input_memory import InputMemory
from .net.inventory import Discovery, Inventory
from .net.loop import Loop
from .net.north import North
from .net.pool import Pool
from .net.south import Southside
from .operator import OperatorOptions
from .policy.brain import DecisionModule
from .policy.drain import DrainState

# Seconds after SIGTERM for which new connections are still accepted.
ACCEPT_AFTER_SIGTERM_SECONDS = 0.5
# Seconds after that for which a partly received message may be completed; a later one may miss its answer.
PARTIAL_MESSAGE_SECONDS = 0.2
# Descriptors kept free for everything but clients and sim servers: at most this many ...
MAX_RESERVED_DESCRIPTORS = 64
# ... and one in this many of all descriptors, but no less than 16.
RESERVED_DESCRIPTORS_DIVISOR = 8
# Seconds at shutdown for returned leased units to reach the counter, also the interval of checks for agreement.
LEASE_RETURN_SECONDS = 0.05
TEXT_CONTENT_TYPE = b"text/plain; charset=utf-8"
PROMETHEUS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
# Seconds at shutdown for the other members to agree that this process holds nothing any more.
RELEASE_AGREEMENT_SECONDS = 1.0
# Seconds after which an ingress serves with the configured server list if discovery has sent none.
DISCOVERY_WAIT_SECONDS = 1.5


def wall_clock() -> Callable[[], float]:
    """Return a clock of Unix time in seconds that never jumps.

    The decision module reads it, and all ingresses must agree on it: the names of quota counters are built from it.
    A supervisor passes the offset from the monotonic clock, so that instances started before and after a step of the
    time of day agree.
    """
    given_offset, monotonic = os.environ.get("BRACKENPULLEY_CLOCK"), time.monotonic
    offset = float(given_offset) if given_offset else time.time() - time.monotonic()
    return lambda: monotonic() + offset


class DisabledCounter:
    """Takes the counter's place where the settings allow no counting."""

    def add(self, name: int, amount: float, ttl: float, number: int = 0) -> None:
        """Raise AssertionError: nothing may count here."""
        raise AssertionError("the settings allow no counting")


class Daemon:
    """One ingress: its event loop, listeners, core and whatever optional parts are configured.

    Parts that the operator's file leaves off are None.
    """

    def __init__(
        self, config: Config, log: Any, clock: Callable[[], float] | None = None, loop: Loop | None = None
    ) -> None:
        """Build every part; `loop` is one that the caller runs and closes, instead of a new one."""
        self.config, self.log, self.metrics = config, log, Metrics()
        self.clock = clock or wall_clock()
        self.loop = loop or Loop(self.clock, self.metrics, log)
        self.pool = Pool()
        self.started_at = self.clock()
        options = config.operator
        if options.ledger is not None or options.leases is not None:
            config.settings = replace(
                config.settings, charges=options.ledger is not None, leased=options.leases is not None
            )
        if unsupported := list_unsupported(config.settings):
            log.info("allowed and not used", settings=unsupported)
            config.settings = disable_probes(config.settings)
        decision_module = DecisionModule(config.settings, config.seed, self.started_at)
        self.counter: CounterClient | None = None
        if config.counter is not None and config.settings.counter:
            self.counter = CounterClient(
                self.loop,
                self.pool,
                config.counter,
                config.settings.counter_timeout,
                self.metrics,
                lambda event: self.ingress.handle_counter_answer(event),
            )
        self.ingress = Ingress(
            decision_module, self.clock, self.loop, self.counter or DisabledCounter(), self.metrics, log
        )
        self.inventory = Inventory(self.ingress.update_servers)
        sockets = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        sockets -= min(MAX_RESERVED_DESCRIPTORS, max(16, sockets // RESERVED_DESCRIPTORS_DIVISOR))
        memory = divide(config.memory_mb << 20, read_resident_bytes())
        clients = min(sockets * 3 // 5, memory.connections)
        decision_module.firms.max_count = memory.firms
        folder = None
        if options.bodies.spool_directory:
            from .bodies.spool import SpoolFolder

            folder = SpoolFolder(
                options.bodies.spool_directory,
                options.bodies.max_spool_bytes,
                lambda error: log.error("spool", error=error),
            )
        self.shares = BodyMemory(memory.body_bytes, folder)
        self.south = Southside(
            self.loop,
            self.pool,
            self.inventory,
            self.metrics,
            sockets * 2 // 5,
            config.transport.idle_seconds,
            config.transport.connect_seconds,
            config.transport.load_fields,
            self.shares,
        )
        self.drain = DrainState()
        self._partial_messages_until = 0.0  # set once new connections are refused
        self.north = North(
            self.loop,
            self.pool,
            self.ingress,
            self.south,
            self.metrics,
            log,
            clients,
            self.is_ready,
            self.drain,
            self.shares,
            InputMemory(memory.input_bytes),
            options.bodies.max_body_bytes,
        )
        self.id_sharing = IdSharing(self.loop, self.ingress, log)
        self.console: Console | None = None
        self.discovery: Any = None
        self.authz_front: Any = None
        self.authoriser: Any = None
        self.plans: Any = None
        self.reservations: Any = None
        self.leases: Any = None
        self.ledger: Any = None
        self.control: Any = None
        self.health: Any = None
        self.ingress_count: Any = None
        self.members: Any = None
        self.agreement: Any = None
        self.maintenance: Any = None
        self.drains: Any = None
        self.configuration: Any = None
        self.tally: Any = None
        self._build_optional_parts()

    @property
    def is_ending(self) -> bool:
        """Whether shutdown has begun."""
        return self.drain.is_ending

    def _build_optional_parts(self) -> None:
        """Build what the operator's file switches on; without one no module of it is imported."""
        if self.config.operator != OperatorOptions() or os.environ.get("NOTIFY_SOCKET"):
            from .extras import OPTIONAL_PARTS

            for build in OPTIONAL_PARTS:
                build(self)
        if self.discovery is None and self.config.discovery is not None:
            self.discovery = Discovery(
                self.loop,
                self.pool,
                self.inventory,
                self.config.discovery,
                self.metrics,
                self.log,
                random.Random(self.config.seed),
            )

    def is_ready(self) -> bool:
        """Whether a list of servers and all agreed state that serving needs are known."""
        is_informed = (
            self.discovery is None or self.discovery.heard or self.clock() - self.started_at > DISCOVERY_WAIT_SECONDS
        )
        # These know which servers are out for maintenance, how many connections this ingress may open, and the revision
        # in force.
        is_informed = is_informed and all(
            part is None or part.knows() for part in (self.maintenance, self.drains, self.configuration)
        )
        return is_informed and self.ingress.has_server_list and len(self.inventory) > 0

    def start(self, signals: bool = True) -> None:
        """Open the listeners and start all parts. Raises ConfigError where an address cannot be bound.

        `signals` is False where the caller handles signals itself.
        """
        if self.config.initial_servers:
            try:
                self.inventory.apply_object(self.config.initial_servers, is_stale=True)
            except (ValueError, TypeError) as error:  # discovery replaces this list, so serving can go on without it
                self.log.error("initial server list rejected", error=str(error))
        for part in (self.ledger, self.plans, self.leases, self.discovery):
            if part is not None:
                part.start()
        if signals:
            self.loop.add_signal_handler(signal.SIGTERM, self.begin_shutdown)
            self.loop.add_signal_handler(signal.SIGINT, self.begin_shutdown)
            self.loop.add_signal_handler(signal.SIGUSR1, self.log_counters)
            self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        bound = self._listen("listen", self.north, self.config.listen)
        self.id_sharing.start(bound)
        if self.authz_front is not None and self.config.operator.server is not None:
            checks_address = self._listen("authz.server.listen", self.authz_front, self.config.operator.server.listen)
            self.log.info("answering checks", address=f"{checks_address[0]}:{checks_address[1]}")
        if self.control is not None and self.config.operator.control is not None:
            requested = self.config.operator.control.listen
            try:
                self.log.info("control", address=self.control.listen(requested))
            except OSError as error:
                raise ConfigError(f"control.listen: {requested}: {error.strerror}") from None
        if self.config.console is not None:
            self.console = Console(self.loop, self._build_console_routes(), self.log)
            console_address = self._listen("console", self.console, self.config.console)
            self.log.info("console", address=f"{console_address[0]}:{console_address[1]}")
        self.log.info("listening", name=self.config.name, address=f"{bound[0]}:{bound[1]}")
        # The listeners are open, so other processes may now learn of this one.
        for part in (
            self.ingress_count,
            self.members,
            self.agreement,
            self.maintenance,
            self.drains,
            self.configuration,
            self.health,
        ):
            if part is not None:
                part.start()

    def _listen(self, name: str, listener: Any, address: Address) -> Address:
        """Bind `listener` to `address`, the value of setting `name`, and return the address that it is bound to."""
        try:
            bound: Address = listener.listen(address)
        except OSError as error:
            raise ConfigError(f"{name}: {address[0]}:{address[1]}: {error.strerror}") from None
        return bound

    def _build_console_routes(self) -> dict[bytes, dict[bytes, Any]]:
        """Return the handlers of the console by path and method; each one answers synchronously."""

        def report_readiness() -> tuple[int, bytes, bytes]:
            is_ready = self.drain.is_ready(self.is_ready())
            return (200, b"ready\n", TEXT_CONTENT_TYPE) if is_ready else (503, b"not ready\n", TEXT_CONTENT_TYPE)

        def report_counters() -> tuple[int, bytes, bytes]:
            return 200, render_exposition(self.metrics, self.collect_gauges()), PROMETHEUS_CONTENT_TYPE

        def leave_service() -> tuple[int, bytes, bytes]:
            self.leave_service()
            return 200, b"out of service\n", TEXT_CONTENT_TYPE

        def enter_service() -> tuple[int, bytes, bytes]:
            self.drain.out_of_service = False
            self.log.info("in service")
            return 200, b"in service\n", TEXT_CONTENT_TYPE

        return {
            b"/control/ready": {b"GET": report_readiness},
            b"/control/counters": {b"GET": report_counters},
            b"/control/out-of-service": {b"PUT": leave_service},
            b"/control/in-service": {b"PUT": enter_service},
        }

    def leave_service(self) -> None:
        """Report not ready from now on and close idle connections; what was accepted is still served."""
        self.drain.out_of_service = True
        self.north.close_idle()
        self.log.info("out of service")

    def announce_stop(self) -> None:
        """Report not ready from now on, so that the load balancer in front notices before SIGTERM comes."""
        self.drain.stop_announced = True
        self.log.info("stop announced")

    def collect_gauges(self) -> dict[str, int]:
        """Return the gauges that the console exposes beside the counters."""
        ejected = self.ingress.decision_module.servers.ejected
        waiting = sum(not exchange.is_finished for exchange in self.ingress.exchanges.values())
        return {
            "active": waiting + self.north.streaming_responses,
            "pool_size": len(self.inventory),
            "pool_ejected": sum(self.inventory.find_address(name) is not None for name in ejected),
        }

    def log_counters(self) -> None:
        """Log all counters in one line."""
        self.log.info("counters", **self.metrics.as_dict())

    def reload(self) -> None:
        """Read the configuration file again and move to its discovery and counter addresses.

        All other settings keep the values they had at the start. A file that cannot be used is logged and ignored.
        """
        try:
            new_config = reload(self.config.path, self.config.operator)
        except ConfigError as error:
            self.metrics.add("reloads_failed")
            self.log.error("reload", error=str(error))
            if self.health is not None:
                self.health.notify_reloaded(str(error))
            return
        self.metrics.add("reloads")
        discovery, counter = new_config.discovery, new_config.counter
        if self.configuration is not None:  # the agreed revision overrides this host's file
            discovery, counter = self.configuration.resolve_addresses(discovery, counter)
        if discovery is not None and isinstance(self.discovery, Discovery):
            self.discovery.move(discovery)
        if counter is not None and self.counter is not None:
            self.counter.move(counter)
        self.log.info("reloaded", discovery=discovery, counter=counter)
        if self.health is not None:
            self.health.notify_reloaded("ok")

    def begin_shutdown(self) -> None:
        """Accept new connections for a short while, finish all messages in flight, then stop the loop.

        Further calls have no effect.
        """
        if not self.is_ending:
            self.drain.is_ending = True
            self.log.info("ending")
            if self.health is not None:
                self.health.notify_stopping()
            if self.agreement is not None:
                self.agreement.hand_over()
            self.loop.call_in(ACCEPT_AFTER_SIGTERM_SECONDS, self._stop_accepting)

    def _stop_accepting(self) -> None:
        if self.members is not None:
            self.members.leave()
        self.north.stop_listening()
        if self.authz_front is not None:
            self.authz_front.drain()
        self._partial_messages_until = self.clock() + PARTIAL_MESSAGE_SECONDS
        self._await_in_flight()

    def _await_in_flight(self) -> None:
        self.north.close_idle()
        if self.clock() >= self._partial_messages_until:
            self.north.reject_partial_requests()
        if (
            self.north.clients
            or self.ingress.exchanges
            or self.authz_front is not None
            and self.authz_front.connections
        ):
            self.loop.call_in(0.02, self._await_in_flight)
        else:
            if self.leases is not None:
                self.leases.return_all_leases()
            for part in (self.maintenance, self.drains):
                if part is not None:
                    part.leave()
            self._await_release_agreement(self.clock() + RELEASE_AGREEMENT_SECONDS)

    def _await_release_agreement(self, deadline: float) -> None:
        """Stop the loop once the other members have agreed that this process holds nothing, or at `deadline`.

        Without that agreement they would wait until a next process of this name reports.
        """
        is_waiting = any(part is not None and not part.has_left() for part in (self.maintenance, self.drains))
        if is_waiting and self.clock() < deadline:
            self.loop.call_in(LEASE_RETURN_SECONDS, lambda: self._await_release_agreement(deadline))
        elif self.leases is not None:
            self.loop.call_in(LEASE_RETURN_SECONDS, self.loop.stop)
        else:
            self.loop.stop()

    def run(self) -> None:
        """Run the loop until it is stopped, then log the counters and close every part."""
        gc.collect()
        gc.freeze()  # excludes long-lived objects from garbage collection, so that collections stay short
        try:
            self.loop.run()
        finally:
            self.log_counters()
            self.close()

    def close(self) -> None:
        """Close every part, the loop last."""
        self.north.stop()
        self.id_sharing.stop()
        if self.console is not None:
            self.console.stop()
        if self.authz_front is not None:
            self.authz_front.stop()
        if self.authoriser is not None:
            self.authoriser.stop()
        self.south.stop()
        if self.counter is not None:
            self.counter.stop()
        if self.discovery is not None:
            self.discovery.stop()
        if self.control is not None:
            self.control.stop()
        if self.ledger is not None:
            self.ledger.stop()
        for part in (self.configuration, self.drains, self.maintenance, self.agreement, self.members, self.health):
            if part is not None:
                part.stop()
        self.loop.close()


class StandardOutput:
    """Standard output as the log's sink: write errors are ignored, so that a closed reader cannot end the ingress."""

    def write(self, text: str) -> None:
        """Write `text`."""
        with contextlib.suppress(OSError, ValueError):
            sys.stdout.write(text)

    def flush(self) -> None:
        """Flush what has been written."""
        with contextlib.suppress(OSError, ValueError):
            sys.stdout.flush()


def make_logger(output: Any = None) -> Any:
    """Return a logfmt logger that writes to `output` (an object with write and flush), else to standard output."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], bool_as_flag=False),
        ],
        logger_factory=structlog.PrintLoggerFactory(output or StandardOutput()),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()


def serve(config: Config) -> None:
    """Run an ingress until it is told to stop. Raises ConfigError where an address or a library is not available."""
    try:
        daemon = Daemon(config, make_logger())
        daemon.start()
    except ImportError as error:
        raise ConfigError(
            f"operator: {error.name} is not installed; see requirements-authz.txt and requirements-fleet.txt"
        ) from None
    daemon.run()
