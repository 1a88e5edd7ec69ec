"""A script's lines done to a world."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from .script import Line
from .world import Host, World


class Faults:
    """`leader` tells the name of who leads now, or ""; `spoil` whether a disk may be lost or older now, without more of
    them being so at once than the voters can bear. Else it is kept."""

    def __init__(
        self,
        world: World,
        lines: list[Line],
        leader: Callable[[], str] = lambda: "",
        spoil: Callable[[Host], bool] = lambda host: True,
    ) -> None:
        self.world, self.leader, self.spoil = world, leader, spoil
        self.done: list[Line] = []
        self._usual = world.links.usual
        begin = world.now
        for line in lines:
            world.at(begin + line.at, lambda line=line: self.do(line))  # type: ignore[misc]

    def do(self, line: Line) -> None:
        world, words = self.world, line.words
        self.done.append(line)
        links = world.links
        if line.what == "heal":
            links.heal()
            links.usual = self._usual
        elif line.what in ("loss", "double"):
            part = float(words[1])
            links.usual = replace(links.usual, loss=part) if line.what == "loss" else replace(links.usual, double=part)
        elif line.what == "part":
            one, rest = ({self._host(name).address for name in side.split(",")} for side in words)
            links.part(one, rest)
        elif line.what in ("cut", "stall", "slow"):
            a, b = (self._host(name).address for name in words[:2])
            if line.what == "cut":
                links.change(a, b, cut=True)
            elif line.what == "stall":
                links.change(a, b, held=world.now + float(words[2]))
            else:
                links.change(a, b, delay=links.of(a, b).delay + float(words[2]))
        else:
            self._process(self._host(words[0]), line)

    def _process(self, host: Host, line: Line) -> None:
        world = self.world
        if line.what == "kill" and host.driven is not None:
            world.kill(host)
        elif line.what == "start" and host.driven is None:
            how = line.words[1]
            if how in ("lost", "old") and not self.spoil(host):
                how = "kept"
            if how == "lost":
                host.disk.lose()
            elif how == "old":
                host.disk.older()
            elif how == "power":
                host.disk.power()
            world.start(host)
        elif line.what == "stop":
            world.stop(host)
        elif line.what == "go" and host.stopped:
            world.go_on(host)
        elif line.what in ("full", "room"):
            host.disk.full = line.what == "full"
        elif line.what == "copy":
            host.disk.copy()

    def _host(self, name: str) -> Host:
        if name == "leader":
            name = self.leader() or next(iter(self.world.hosts.values())).name
        return self.world.host(name)
