"""The project's own programs as processes: an ingress by the commands of the deploy file, and its other commands."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from pathlib import Path
from typing import Any

from .http import call
from .platform import LOOPBACK, Address
from .record import Record

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))


def free_address() -> Address:
    """Return a loopback address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[:2]


def join(address: Address) -> str:
    """Write an address as the configuration has it."""
    return f"{address[0]}:{address[1]}"


def settings(ingresses: int = 1, number: int = 0, **plans: dict[str, float]) -> dict[str, Any]:
    """Return settings of a small deployment in the platform's form, with the classes of the brief."""

    def priority_class(name: str, give_up: float, effect: str, worth: float) -> dict[str, Any]:
        return {
            "GiveUp": give_up,
            "Group": "cell" if effect == "guarded" else "all",
            "Idempotency": effect,
            "LateWorth": 0.0,
            "Name": name,
            "Objective": 2.0,
            "Streamed": False,
            "Value": worth,
            "Window": 4.0,
        }

    return {
        "Callers": {"MarksRetry": False},
        "Classes": [
            priority_class("load-sim", 4.0, "free", 2.0),
            priority_class("save-progress", 7.5, "free", 2.0),
            priority_class("submit-result", 7.5, "guarded", 6.0),
        ],
        "Dcs": ["hall-a"],
        "Extra": {"CountWait": 0.03, "MayCount": True, "Metering": 2.0, "MostUnits": 8, "Settles": True},
        "HostTypes": ["std-3core"],
        "Invariants": {
            "AnswerSlack": 0.008,
            "AskWithin": 10.0,
            "Cold": 18.0,
            "ColdFrom": 0.17,
            "OverloadFactor": 2.5,
            "StopSendingWithin": 1.0,
            "TipAfter": 3.0,
        },
        "Limits": {
            "AttemptsCap": 6,
            "ConnIdle": 30.0,
            "ConnectTimeout": 0.25,
            "MaxRetryAfter": 2.0,
            "MayCancel": True,
            "Peers": False,
            "Probing": False,
            "RetryAfter": True,
            "SecondCopies": False,
        },
        "MembershipMode": "automatic",
        "MyNumber": number,
        "NInstances": ingresses,
        "Report": {"Fields": ["svc_ms"], "Via": "piggyback"},
        "Resolution": 0.002,
        "TiersOfService": [{"Name": name, "Pays": 1.0, **figures} for name, figures in plans.items()],
        "Zone": "hall-a",
    }


class Ingress:
    """One ingress as a process, started with `run` of the deploy file."""

    def __init__(self, folder: Path, record: Record, name: str, config: dict[str, Any], operator: str = "") -> None:
        """`config` is the configuration without name and addresses of the ingress; `operator` an operator's file."""
        self.folder, self.record, self.name = folder, record, name
        self.listen, self.console = free_address(), free_address()
        self.config_path = folder / f"{name}.json"
        self.config_path.write_text(
            json.dumps({**config, "name": name, "listen": join(self.listen), "console": join(self.console)}),
            encoding="utf-8",
        )
        self.operator_path = folder / f"{name}.toml"
        self.operator_path.write_text(operator, encoding="utf-8")
        self.has_operator = bool(operator)
        self.process: subprocess.Popen[bytes] | None = None

    def environment(self) -> dict[str, str]:
        """Return the environment of the process."""
        env = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        env["BALANCER_CONFIG"] = str(self.config_path)
        if self.has_operator:
            env["BALANCER_OPERATOR"] = str(self.operator_path)
        return env

    def start(self) -> None:
        """Start the process."""
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", DEPLOY["run"]], cwd=ROOT, env=self.environment(), stdout=log, stderr=log
            )
        self.record.note("start", ingress=self.name, pid=self.process.pid)

    @property
    def pid(self) -> int:
        """The process id."""
        assert self.process is not None
        return self.process.pid

    async def wait_ready(self, seconds: float = 15.0) -> bool:
        """Wait until /ready says yes."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            answer = await call(self.listen, "GET", "/ready", timeout=1.0)
            if answer is not None and answer.status == 200:
                self.record.note("ready", ingress=self.name)
                return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.note("signal", ingress=self.name, number=number.name)
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_end(self, seconds: float) -> int | None:
        """Wait for the end of the process and return its exit code, or None if it still runs."""
        assert self.process is not None
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.poll() is not None:
                self.record.note("ended", ingress=self.name, code=self.process.returncode)
                return self.process.returncode
            await asyncio.sleep(0.02)
        return None

    def kill(self) -> None:
        """End the process at once, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def log(self) -> str:
        """Return what the process wrote."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace") if path.exists() else ""


def command(*words: str) -> list[str]:
    """Return the command line of one of the project's commands, as `run` of the deploy file starts `serve`."""
    return [str(ROOT / ".venv/bin/python"), "-m", "brackenpulley", *words]
