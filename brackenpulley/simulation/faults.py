"""Applies a fault schedule to a simulated world."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from .script import Fault
from .world import Host, World


class FaultInjector:
    """Schedules faults from the current time on, and records those applied.

    `find_leader` returns the name of the current leader, or "". `may_damage_disk` returns whether the disk of a host
    may be wiped or rolled back now without exceeding the number of damaged disks that the voters tolerate; if not,
    the disk is kept."""

    def __init__(
        self,
        world: World,
        faults: list[Fault],
        find_leader: Callable[[], str] = lambda: "",
        may_damage_disk: Callable[[Host], bool] = lambda host: True,
    ) -> None:
        self.world, self.find_leader, self.may_damage_disk = world, find_leader, may_damage_disk
        self.applied: list[Fault] = []
        self._default_link = world.links.default
        begin = world.now
        for fault in faults:
            world.schedule(begin + fault.at_seconds, lambda fault=fault: self.apply(fault))  # type: ignore[misc]

    def apply(self, fault: Fault) -> None:
        """Applies one fault now."""
        world, arguments = self.world, fault.arguments
        self.applied.append(fault)
        links = world.links
        if fault.action == "heal":
            links.heal()
            links.default = self._default_link
        elif fault.action in ("loss", "double"):
            probability = float(arguments[1])
            links.default = (
                replace(links.default, loss=probability)
                if fault.action == "loss"
                else replace(links.default, duplication=probability)
            )
        elif fault.action == "part":
            side, rest = ({self._find_host(name).address for name in names.split(",")} for names in arguments)
            links.partition(side, rest)
        elif fault.action in ("cut", "stall", "slow"):
            source, destination = (self._find_host(name).address for name in arguments[:2])
            if fault.action == "cut":
                links.override(source, destination, is_cut=True)
            elif fault.action == "stall":
                links.override(source, destination, stalled_until=world.now + float(arguments[2]))
            else:
                links.override(source, destination, delay=links.find(source, destination).delay + float(arguments[2]))
        else:
            self._apply_to_host(self._find_host(arguments[0]), fault)

    def _apply_to_host(self, host: Host, fault: Fault) -> None:
        world = self.world
        if fault.action == "kill" and host.process is not None:
            world.kill(host)
        elif fault.action == "start" and host.process is None:
            disk_state = fault.arguments[1]
            if disk_state in ("lost", "old") and not self.may_damage_disk(host):
                disk_state = "kept"
            if disk_state == "lost":
                host.disk.wipe()
            elif disk_state == "old":
                host.disk.restore_backup()
            elif disk_state == "power":
                host.disk.lose_power()
            world.start(host)
        elif fault.action == "stop":
            world.suspend(host)
        elif fault.action == "go" and host.is_suspended:
            world.resume(host)
        elif fault.action in ("full", "room"):
            host.disk.is_full = fault.action == "full"
        elif fault.action == "copy":
            host.disk.back_up()

    def _find_host(self, name: str) -> Host:
        if name == "leader":
            name = self.find_leader() or next(iter(self.world.hosts.values())).name
        return self.world.find_host(name)
