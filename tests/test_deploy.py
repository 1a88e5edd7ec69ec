"""Checks of the deploy file: `run` is one dynamically linked process that forks nothing and opens only IPv4 sockets.

An audit hook in the running program records its sockets, forks and threads, since reading the code alone would not
show what libraries do. Further tests check the decision module that the file names and what the serving path loads.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from brackenpulley.start import parse_serve_options

from .test_link import SETTINGS

ROOT = Path(__file__).parent.parent
AUDITED_SERVE = """
import json, os, sys
out, seen = sys.argv[1], []
REFUSED = {"os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.spawn", "os.system", "subprocess.Popen",
           "pty.spawn", "_thread.start_new_thread", "ctypes.dlopen"}
def hook(event, args):
    if event == "socket.__new__":
        seen.append([event, int(args[1])])
    elif event in REFUSED:
        seen.append([event, 0])
sys.addaudithook(hook)
sys.argv = ["brackenpulley", "serve", "--config", sys.argv[2]]
from brackenpulley.cli import main
try:
    main()
finally:
    with open(out, "w") as file:
        json.dump(seen, file)
"""


def test_run_executes_one_program_without_optional_parts() -> None:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    words = deploy["run"].split()
    assert words[:4] == ["exec", ".venv/bin/python", "-m", "brackenpulley"] and words[4:] == ["serve"]
    assert not set(deploy["run"]) & set(";&|$`()<>")
    assert not any(
        name.startswith(("brackenpulley/fleet", "brackenpulley/authz", "brackenpulley/growth"))
        for name in deploy["node"]
    )


def test_the_interpreter_is_linked_dynamically() -> None:
    """A library can only be preloaded into a process whose executable is an ELF file with a dynamic loader."""
    header = Path(os.path.realpath(sys.executable)).read_bytes()[: 1 << 16]
    assert header[:4] == b"\x7fELF" and b"ld-linux" in header


def test_serve_forks_nothing_and_opens_ipv4_sockets_only(tmp_path: Path) -> None:
    config, events_file = tmp_path / "config.json", tmp_path / "seen.json"
    with socket.create_server(("127.0.0.1", 0)) as discovery, socket.create_server(("127.0.0.1", 0)) as server:
        known = {
            "generation": 1,
            "reset": True,
            "instances": [
                {"instanceId": "s-1", "hostPort": f"127.0.0.1:{server.getsockname()[1]}", "lifecycle": "SERVING"}
            ],
        }
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "discovery": f"127.0.0.1:{discovery.getsockname()[1]}",
                    "counter": "127.0.0.1:1",
                    "known": known,
                    "settings": SETTINGS,
                }
            )
        )
        child = subprocess.Popen(
            [sys.executable, "-c", AUDITED_SERVE, str(events_file), str(config)],
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
            env={name: value for name, value in os.environ.items() if name != "BALANCER_OPERATOR"},
        )
        assert child.stdout is not None
        port = int(next(line for line in child.stdout if "event=listening" in line).strip().rsplit(":", 1)[1])
        discovery.settimeout(30)
        server.settimeout(30)
        discovery_connection = discovery.accept()[0]
        while True:  # a process that was never ready refuses messages at once, so wait for readiness
            with socket.create_connection(("127.0.0.1", port)) as probe:
                probe.sendall(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
                probe.settimeout(30)
                if probe.recv(4096).startswith(b"HTTP/1.1 200"):
                    break
        with socket.create_connection(("127.0.0.1", port)) as client:
            client.sendall(
                b"GET /a/0000000000000001 HTTP/1.1\r\nX-Request-ID: 1\r\nX-Priority-Class: a\r\n"
                b"X-Tariff: p\r\nX-Timeout: 20000m\r\n\r\n"
            )
            relay = server.accept()[0]
            assert relay.recv(4096).startswith(b"GET /a/")
            relay.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            client.settimeout(30)
            assert client.recv(4096).startswith(b"HTTP/1.1 200")
            threads = len(os.listdir(f"/proc/{child.pid}/task"))
        child.send_signal(signal.SIGTERM)
        child.stdout.read()
        assert child.wait(30) == 0
        discovery_connection.close()
        relay.close()
    events = json.loads(events_file.read_text())
    assert {family for event, family in events if event == "socket.__new__"} == {int(socket.AF_INET)}
    assert [event for event, _ in events if event != "socket.__new__"] == [] and threads == 1


def policy_problems(deploy: Path) -> str:
    """Return what `.ci/policy_check.py` reports on the decision module of a deploy file; empty where it passes."""
    child = subprocess.run(
        [sys.executable, str(ROOT / ".ci" / "policy_check.py"), str(deploy)], capture_output=True, text=True
    )
    assert (child.returncode == 0) is (child.stderr == "")
    return child.stderr


def test_the_decision_module_is_loaded_by_both_programs_and_does_no_io() -> None:
    assert policy_problems(ROOT / "deploy" / "balancer.toml") == ""


@pytest.fixture
def small_deploy(tmp_path: Path) -> Path:
    """Write a deploy file and a package of two programs that load the same decision module."""
    (tmp_path / "deploy").mkdir()
    (tmp_path / "app" / "policy").mkdir(parents=True)
    for name in ("app/__init__.py", "app/policy/__init__.py", "app/policy/helper.py"):
        (tmp_path / name).write_text("")
    (tmp_path / "app/policy/brain.py").write_text("import random\n\nrng = random.Random(5)\n")
    for name in ("serve", "adapter"):
        (tmp_path / f"app/{name}.py").write_text("from .policy import brain\n")
    deploy = tmp_path / "deploy" / "balancer.toml"
    deploy.write_text(
        'run = "exec .venv/bin/python -m app serve"\nsim = "exec .venv/bin/python -m app.adapter"\n'
        'policy = ["app/policy/brain.py"]\n'
    )
    assert policy_problems(deploy) == ""
    return deploy


def test_a_policy_file_that_does_not_exist_is_named(small_deploy: Path) -> None:
    small_deploy.write_text(small_deploy.read_text().replace("brain.py", "gone.py"))
    assert "policy: app/policy/gone.py does not exist" in policy_problems(small_deploy)


@pytest.mark.parametrize(("program", "command"), [("serve", "run"), ("adapter", "sim")])
def test_a_policy_file_that_one_program_does_not_load_is_named(small_deploy: Path, program: str, command: str) -> None:
    (small_deploy.parent.parent / f"app/{program}.py").write_text("")
    assert policy_problems(small_deploy) == f"policy: app/policy/brain.py is not loaded by `{command}`\n"


@pytest.mark.parametrize(
    ("source", "problem"),
    [
        ("import socket", "imports socket"),
        ("import os.path", "imports os.path"),
        ("from pathlib import Path", "imports from pathlib"),
        ("from time import monotonic", "imports from time"),
        ("import datetime", "imports datetime"),
        ("def f(): return open('x')", "calls open()"),
        ("print('x')", "calls print()"),
        ("import random as r\nr.random()", "uses random.random"),
        ("from random import choice", "imports random.choice"),
        ("import random\nrandom.Random()", "makes a random generator without a seed"),
        ("from random import Random as R\nR(None)", "makes a random generator without a seed"),
    ],
)
def test_io_in_the_folder_of_the_decision_module_is_named(small_deploy: Path, source: str, problem: str) -> None:
    """The named files import their neighbours, so I/O in these is reported as well."""
    (small_deploy.parent.parent / "app/policy/helper.py").write_text(source + "\n")
    found = policy_problems(small_deploy)
    assert found.startswith("app/policy/helper.py:") and problem in found


MODULES_NOT_USED_BY_SERVE = (
    "typer",
    "click",
    "rich.console",
    "pydantic",
    "prometheus_client",
    "tomllib",
    "email",
    "http",
    "lmdb",
    "h2",
    "grpc",
    "msgspec",
    "brackenpulley.cli",
    "brackenpulley.extras",
    "brackenpulley.commands",
    "brackenpulley.fleet",
    "brackenpulley.control",
    "brackenpulley.ledger",
    "brackenpulley.members",
)


def test_the_serving_path_loads_no_module_that_it_does_not_use(tmp_path: Path) -> None:
    """Guards against slow restarts: loading the command line took half of the CPU time from the start to readiness."""
    config = tmp_path / "config.json"
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "counter": "127.0.0.1:1",
                "settings": SETTINGS,
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-X", "importtime", "-m", "brackenpulley", "serve", "--config", str(config)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    assert process.stdout is not None
    assert any("event=listening" in line for line in process.stdout)
    process.send_signal(signal.SIGTERM)
    _, trace = process.communicate(timeout=10)
    loaded = {line.rpartition("|")[2].strip() for line in trace.splitlines() if line.startswith("import time:")}
    assert process.returncode == 0 and "brackenpulley.serve" in loaded and "structlog" in loaded
    assert not [
        name for name in loaded for other in MODULES_NOT_USED_BY_SERVE if name == other or name.startswith(other + ".")
    ]


@pytest.mark.parametrize(
    ("words", "options"),
    [
        ("serve", {}),
        ("serve --config a --operator=b", {"--config": "a", "--operator": "b"}),
        ("serve --help", None),
        ("serve --config", None),
        ("serve --config a --config b", None),
        ("check-config", None),
        ("", None),
        ("serve x", None),
    ],
)
def test_other_command_lines_are_left_to_the_command_line_module(words: str, options: dict[str, str] | None) -> None:
    assert parse_serve_options(words.split()) == options
