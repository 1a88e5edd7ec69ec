"""The ingress processes of one run, and the signals that they get."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import subprocess
from pathlib import Path
from typing import Any

from benchmarks.daemon_process import find_free_ports, start_daemon
from brackenpulley.standins.settings import build_settings

from .judge import Shutdown
from .proxy import HOST, FaultProxy

LONGEST_DEADLINE_SECONDS = 3.0
KILL_AFTER_TERM_SECONDS = LONGEST_DEADLINE_SECONDS + 0.7  # the earliest (PROTOCOL)
ACCEPT_AFTER_TERM_SECONDS = 0.3  # new connections keep coming for so long
READY_SECONDS = 30.0
CROWD_DESCRIPTORS = 256


def settings_of_run() -> dict[str, Any]:
    """Return settings with a safe, a keyed and an unsafe class and quotas that bind nobody."""
    settings = build_settings(has_counter=False)
    first, _, keyed = settings["Classes"]
    once = {**keyed, "Name": "measure-once", "Idempotency": "single_shot"}
    settings["Classes"] = [{**spec, "GiveUp": LONGEST_DEADLINE_SECONDS} for spec in (first, keyed, once)]
    for plan in settings["TiersOfService"]:
        plan.update(QuotaRate=5000.0, Burst=50000.0)
    return settings


class Node:
    """One ingress and its process."""

    def __init__(self, name: str, folder: Path, proxies: list[FaultProxy]) -> None:
        self.name, self.folder, self.port = name, folder, find_free_ports(1)[0]
        self.process: subprocess.Popen[bytes] | None = None
        self.term_at = 0.0  # 0 while in service
        known = [
            {"instanceId": p.name, "hostPort": f"{HOST}:{p.port}", "zone": "hall-a", "lifecycle": "SERVING"}
            for p in proxies
        ]
        raw = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:1",  # nobody is there: the known list holds
            "known": {"generation": 1, "reset": True, "instances": known},
            "settings": settings_of_run(),
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": CROWD_DESCRIPTORS},
        }
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "config.json").write_text(json.dumps(raw))
        (folder / "operator.toml").write_text("")

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.process = start_daemon(
            self.folder / "config.json", self.folder / "operator.toml", self.folder / "log", TMPDIR=str(self.folder)
        )
        until = asyncio.get_running_loop().time() + READY_SECONDS
        while not await self._is_ready():
            if asyncio.get_running_loop().time() > until or self.process.poll() is not None:
                raise RuntimeError(f"{self.name} is not ready: {(self.folder / 'log').read_text()[-500:]}")
            await asyncio.sleep(0.05)
        self.term_at = 0.0

    async def _is_ready(self) -> bool:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection(HOST, self.port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        return False

    def accepts(self) -> bool:
        """Whether clients still open connections to it."""
        now = asyncio.get_running_loop().time()
        return self.process is not None and (not self.term_at or now < self.term_at + ACCEPT_AFTER_TERM_SECONDS)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def restart(self, rng: random.Random) -> Shutdown:
        """End the process with SIGTERM, more signals behind it, and SIGKILL at the earliest; then start it again."""
        loop = asyncio.get_running_loop()
        self.term_at = term_at = loop.time()
        self.send(signal.SIGTERM)
        while (left := term_at + KILL_AFTER_TERM_SECONDS - loop.time()) > 0:
            await asyncio.sleep(min(left, rng.uniform(0.1, 1.5)))
            self.send(rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGUSR1)))
        self.kill()
        shutdown = Shutdown(self.name, term_at, loop.time())
        await asyncio.sleep(0.05)
        await self.start()
        return shutdown

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None


async def hold_crowd(port: int, count: int, seconds: float) -> None:
    """Hold that many idle connections."""
    writers = []
    for _ in range(count):
        with contextlib.suppress(OSError):
            writers.append((await asyncio.open_connection(HOST, port))[1])
    await asyncio.sleep(seconds)
    for writer in writers:
        writer.close()
