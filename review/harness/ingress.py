"""Starts the project's ingress with the `run` command of the deploy file, as a process of its own."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from .http import read_response
from .platform import Counter, Discovery
from .record import Record

ROOT = Path(__file__).resolve().parents[2]


PORT_RANGE = range(12000, 31000)  # below the ports that the system gives to outgoing connections
_used_ports: set[int] = set()


def free_port() -> int:
    """Return a loopback port that is free now, and that this function has not returned before."""
    for port in random.sample(PORT_RANGE, 1000):
        if port in _used_ports:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            _used_ports.add(port)
            return port
    raise OSError("no free port")


class IngressProcess:
    """One ingress process with its configuration in a temporary folder."""

    def __init__(self, record: Record, name: str, settings: dict[str, Any], discovery: Discovery, counter: Counter):
        self.record, self.name = record, name
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.address = ("127.0.0.1", free_port())
        self.console = ("127.0.0.1", free_port())
        self.environment: dict[str, str] = {}
        self.config: dict[str, Any] = {
            "name": name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "discovery": f"{discovery.address[0]}:{discovery.address[1]}",
            "console": f"{self.console[0]}:{self.console[1]}",
            "counter": f"{counter.address[0]}:{counter.address[1]}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.whole(),
            "settings": settings,
        }
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        (self.folder / "tmp").mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        variables = {"BALANCER_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp"), **self.environment}
        with (self.folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, **variables},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(self.name, f"started, process {self._process.pid}")

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self._process is not None
        self.record.write(self.name, f"gets {number.name}")
        self._process.send_signal(number)

    async def call(self, address: tuple[str, int], method: str, path: str) -> int:
        """Make one HTTP call and return its status, or 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: review\r\nContent-Length: 0\r\n\r\n".encode())
                return (await asyncio.wait_for(read_response(reader), 2.0)).status
            finally:
                writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0

    async def wait_ready(self, seconds: float = 30.0) -> bool:
        """Wait until the process takes clients."""
        for _ in range(int(seconds * 10)):
            if await self.call(self.address, "GET", "/ready") == 200:
                self.record.write(self.name, "is ready")
                return True
            if not self.is_running:
                return False
            await asyncio.sleep(0.1)
        return False

    async def wait_end(self, seconds: float) -> bool:
        """Wait until the process has ended."""
        for _ in range(int(seconds * 20)):
            if not self.is_running:
                return True
            await asyncio.sleep(0.05)
        return False

    def end(self) -> None:
        """End the process if it still runs, put its log into the record, and remove its folder."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
        with contextlib.suppress(OSError):
            for line in (self.folder / "log").read_text(encoding="utf-8", errors="replace").splitlines():
                self.record.write(self.name + ".log", line)
        shutil.rmtree(self.folder, ignore_errors=True)
