"""Puts the parts together for one real ingress, and ends it in order."""

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
from .bodies.shares import Shares
from .config import Config, reload
from .core.ingress import Ingress
from .metrics import Metrics, exposition
from .net.console import Console
from .net.counter import CounterClient
from .net.inventory import Discovery, Inventory
from .net.loop import Loop
from .net.north import North
from .net.pool import Pool
from .net.south import Southside
from .operator import Operator
from .policy.brain import Gateway
from .policy.drain import Drain

LINGER = 0.5  # s after SIGTERM in which new connections are still taken
HALVES = 0.2  # s after that in which half a message may become whole: what comes later may not be answered in time
SPARE, SPARE_PART = 64, 8  # descriptors for everything but clients and sim servers: at most, and 1 / part of all
CLIENT_KB, MEMORY_PART = 80, 4  # a client with a whole message in hand; 1 / part of the memory is for them
GIVE_BACK = 0.05  # s at the end for leased units to reach the counter
TEXT, PROMETHEUS = b"text/plain; charset=utf-8", b"text/plain; version=0.0.4; charset=utf-8"
GOODBYE = 1.0  # s at the end for others to agree that this process holds nothing any more
KNOWN_ENOUGH = 1.5  # s after which the list from the configuration must do


def wall_clock() -> Callable[[], float]:
    """Unix time that never jumps: the clock of the module, shared by all ingresses through the counter's names.

    A supervisor tells the offset, so that instances started before and after a step of the time of day agree."""
    told, monotonic = os.environ.get("BRACKENPULLEY_CLOCK"), time.monotonic
    offset = float(told) if told else time.time() - time.monotonic()
    return lambda: monotonic() + offset


class NoCounter:
    def add(self, name: int, amount: float, ttl: float, number: int = 0) -> None:
        raise AssertionError("the settings allow no counting")


class Daemon:
    def __init__(
        self, config: Config, log: Any, clock: Callable[[], float] | None = None, loop: Loop | None = None
    ) -> None:
        """`loop`: one that this daemon is run on by its caller, who closes it."""
        self.config, self.log, self.metrics = config, log, Metrics()
        self.clock = clock or wall_clock()
        self.loop = loop or Loop(self.clock, self.metrics, log)
        self.pool = Pool()
        self.born = self.clock()
        told = config.operator
        if told.ledger is not None or told.leases is not None:
            config.settings = replace(config.settings, charges=told.ledger is not None, leased=told.leases is not None)
        gateway = Gateway(config.settings, config.seed, self.born)
        self.counter: CounterClient | None = None
        if config.counter is not None and config.settings.counter:
            self.counter = CounterClient(
                self.loop,
                self.pool,
                config.counter,
                config.settings.counter_timeout,
                self.metrics,
                lambda event: self.ingress.counted(event),
            )
        self.ingress = Ingress(gateway, self.clock, self.loop, self.counter or NoCounter(), self.metrics, log)
        self.inventory = Inventory(self.ingress.members)
        sockets = min(config.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        sockets -= min(SPARE, max(16, sockets // SPARE_PART))
        clients = min(sockets * 3 // 5, config.memory_mb * 1024 // MEMORY_PART // CLIENT_KB)
        folder = None
        if told.bodies.spool:
            from .bodies.spool import Folder

            folder = Folder(told.bodies.spool, told.bodies.spool_size, lambda error: log.error("spool", error=error))
        self.shares = Shares((config.memory_mb << 20) // MEMORY_PART, folder)
        self.south = Southside(
            self.loop,
            self.pool,
            self.inventory,
            self.metrics,
            sockets * 2 // 5,
            config.transport.idle,
            config.transport.connect,
            config.transport.fields,
            self.shares,
        )
        self.drain = Drain()
        self._halves_until = 0.0  # half a message may become whole; set once the doors are closed
        self.north = North(
            self.loop,
            self.pool,
            self.ingress,
            self.south,
            self.metrics,
            log,
            clients,
            self.ready,
            self.drain,
            self.shares,
            told.bodies.longest,
        )
        self.console: Console | None = None
        self.discovery: Any = None
        self.front: Any = None
        self.authoriser: Any = None
        self.plans: Any = None
        self.reservations: Any = None
        self.leases: Any = None
        self.ledger: Any = None
        self.control: Any = None
        self.health: Any = None
        self.gateways: Any = None
        self.members: Any = None
        self.agreement: Any = None
        self.maintenance: Any = None
        self.drains: Any = None
        self.configuration: Any = None
        self.tally: Any = None
        self._extras()

    @property
    def ending(self) -> bool:
        """SIGTERM came: the drain holds it."""
        return self.drain.ending

    def _extras(self) -> None:
        """What the operator's file switches on; without it nothing of it is loaded."""
        if self.config.operator != Operator() or os.environ.get("NOTIFY_SOCKET"):
            from .extras import EXTRAS

            for extra in EXTRAS:
                extra(self)
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

    def ready(self) -> bool:
        told = self.discovery is None or self.discovery.heard or self.clock() - self.born > KNOWN_ENOUGH
        # What is away for work, where it may open a connection, and which revision holds.
        told = told and all(
            part is None or part.knows() for part in (self.maintenance, self.drains, self.configuration)
        )
        return told and self.ingress.listed and len(self.inventory) > 0

    def start(self, signals: bool = True) -> None:
        if self.config.known:
            try:
                self.inventory.apply_object(self.config.known, is_stale=True)
            except (ValueError, TypeError) as error:  # an old list is a help, not a need
                self.log.error("known", error=str(error))
        for part in (self.ledger, self.plans, self.leases, self.discovery):
            if part is not None:
                part.start()
        if signals:
            self.loop.on_signal(signal.SIGTERM, self.end)
            self.loop.on_signal(signal.SIGINT, self.end)
            self.loop.on_signal(signal.SIGUSR1, self.report)
            self.loop.on_signal(signal.SIGHUP, self.reload)
        at = self._listen("listen", self.north, self.config.listen)
        if self.front is not None and self.config.operator.server is not None:
            checks = self._listen("authz.server.listen", self.front, self.config.operator.server.listen)
            self.log.info("answering checks", address=f"{checks[0]}:{checks[1]}")
        if self.control is not None and self.config.operator.control is not None:
            where = self.config.operator.control.listen
            try:
                self.log.info("control", address=self.control.listen(where))
            except OSError as error:
                raise ConfigError(f"control.listen: {where}: {error.strerror}") from None
        if self.config.console is not None:
            self.console = Console(self.loop, self._calls(), self.log)
            where = self._listen("console", self.console, self.config.console)
            self.log.info("console", address=f"{where[0]}:{where[1]}")
        self.log.info("listening", name=self.config.name, address=f"{at[0]}:{at[1]}")
        # From here on others may know of it.
        for part in (
            self.gateways,
            self.members,
            self.agreement,
            self.maintenance,
            self.drains,
            self.configuration,
            self.health,
        ):
            if part is not None:
                part.start()

    def _listen(self, name: str, front: Any, at: Address) -> Address:
        try:
            bound: Address = front.listen(at)
        except OSError as error:
            raise ConfigError(f"{name}: {at[0]}:{at[1]}: {error.strerror}") from None
        return bound

    def _calls(self) -> dict[bytes, dict[bytes, Any]]:
        """The operators' calls: each reads what is held and answers in the same turn."""

        def ready() -> tuple[int, bytes, bytes]:
            yes = self.drain.ready(self.ready())
            return (200, b"ready\n", TEXT) if yes else (503, b"not ready\n", TEXT)

        def counters() -> tuple[int, bytes, bytes]:
            return 200, exposition(self.metrics, self.gauges()), PROMETHEUS

        def out() -> tuple[int, bytes, bytes]:
            self.drain.out = True
            self.north.close_unused()
            self.log.info("out of service")
            return 200, b"out of service\n", TEXT

        def back() -> tuple[int, bytes, bytes]:
            self.drain.out = False
            self.log.info("in service")
            return 200, b"in service\n", TEXT

        return {
            b"/control/ready": {b"GET": ready},
            b"/control/counters": {b"GET": counters},
            b"/control/out-of-service": {b"PUT": out},
            b"/control/in-service": {b"PUT": back},
        }

    def gauges(self) -> dict[str, int]:
        apart = self.ingress.gateway.servers.apart
        asked = sum(not exchange.over for exchange in self.ingress.held.values())
        return {
            "active": asked + self.north.flowing,
            "pool_size": len(self.inventory),
            "pool_ejected": sum(self.inventory.find_address(name) is not None for name in apart),
        }

    def report(self) -> None:
        self.log.info("counters", **self.metrics.table())

    def reload(self) -> None:
        """The file has been replaced: discovery and the counter may be elsewhere. All else stays as it is."""
        try:
            new = reload(self.config.path, self.config.operator)
        except ConfigError as error:
            self.metrics.add("reloads_failed")
            self.log.error("reload", error=str(error))
            if self.health is not None:
                self.health.reloaded(str(error))
            return
        self.metrics.add("reloads")
        discovery, counter = new.discovery, new.counter
        if self.configuration is not None:  # what all have agreed goes before one host's file
            discovery, counter = self.configuration.addresses(discovery, counter)
        if discovery is not None and isinstance(self.discovery, Discovery):
            self.discovery.move(discovery)
        if counter is not None and self.counter is not None:
            self.counter.move(counter)
        self.log.info("reloaded", discovery=discovery, counter=counter)
        if self.health is not None:
            self.health.reloaded("ok")

    def end(self) -> None:
        """Take what still arrives for a while, finish all that is held, then stop."""
        if not self.ending:
            self.drain.ending = True
            self.log.info("ending")
            if self.health is not None:
                self.health.ending()
            if self.agreement is not None:
                self.agreement.ending()
            self.loop.call_in(LINGER, self._close_doors)

    def _close_doors(self) -> None:
        if self.members is not None:
            self.members.leave()
        self.north.stop_listening()
        if self.front is not None:
            self.front.drain()
        self._halves_until = self.clock() + HALVES
        self._finish()

    def _finish(self) -> None:
        self.north.close_unused()
        if self.clock() >= self._halves_until:
            self.north.give_up_halves()
        if self.north.clients or self.ingress.held or self.front is not None and self.front.peers:
            self.loop.call_in(0.02, self._finish)
        else:
            if self.leases is not None:
                self.leases.give_back()
            for part in (self.maintenance, self.drains):
                if part is not None:
                    part.closed()
            self._say_goodbye(self.clock() + GOODBYE)

    def _say_goodbye(self, until: float) -> None:
        """Nothing is held any more. Word of that is worth a moment: without it, others wait for the next life's."""
        waits = any(part is not None and not part.gone() for part in (self.maintenance, self.drains))
        if waits and self.clock() < until:
            self.loop.call_in(GIVE_BACK, lambda: self._say_goodbye(until))
        elif self.leases is not None:
            self.loop.call_in(GIVE_BACK, self.loop.stop)
        else:
            self.loop.stop()

    def run(self) -> None:
        gc.collect()
        gc.freeze()  # what lives for ever is never looked at again, so that collections stay short
        try:
            self.loop.run()
        finally:
            self.report()
            self.close()

    def close(self) -> None:
        """Give everything back: each part closes what it owns, the loop last."""
        self.north.stop()
        if self.console is not None:
            self.console.stop()
        if self.front is not None:
            self.front.stop()
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


class Output:
    """Standard output for the log. A reader that is gone must not take the ingress with it."""

    def write(self, text: str) -> None:
        with contextlib.suppress(OSError, ValueError):
            sys.stdout.write(text)

    def flush(self) -> None:
        with contextlib.suppress(OSError, ValueError):
            sys.stdout.flush()


def make_log(output: Any = None) -> Any:
    """`output` has write and flush; standard output where it is not given."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], bool_as_flag=False),
        ],
        logger_factory=structlog.PrintLoggerFactory(output or Output()),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    return structlog.get_logger()


def serve(config: Config) -> None:
    """Raises ConfigError where the configuration asks for what this machine does not have."""
    try:
        daemon = Daemon(config, make_log())
        daemon.start()
    except ImportError as error:
        raise ConfigError(
            f"operator: {error.name} is not installed; see requirements-authz.txt and requirements-fleet.txt"
        ) from None
    daemon.run()
