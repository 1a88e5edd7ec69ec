"""One ingress as a process of its own: its ports, its start, and what it has used."""

from __future__ import annotations

import os
import socket
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def start_daemon(config: Path, operator: Path, log: Path, **environment: str) -> subprocess.Popen[bytes]:
    """Start `serve` with these files; its output is appended to `log`.

    It gets this process's environment without the program's own variables, and `environment` on top.
    """
    inherited = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
    command = [sys.executable, "-m", "brackenpulley", "serve", "--config", str(config), "--operator", str(operator)]
    with open(log, "ab") as output:
        return subprocess.Popen(command, cwd=ROOT, env={**inherited, **environment}, stdout=output, stderr=output)


def read_cpu_seconds(pid: int) -> float:
    """Return the CPU seconds that a process has used so far, user and system. Raises OSError once it has ended."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_resident_kb(pid: int) -> int:
    """Return the resident memory of a process in KB; 0 once it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(line.split()[1]) for line in lines if line.startswith("VmRSS")), 0)


def find_free_ports(count: int) -> list[int]:
    """Return that many loopback ports that were free a moment ago."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports
