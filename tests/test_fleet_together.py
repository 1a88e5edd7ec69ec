"""End-to-end tests of the supervisor with real processes: crashes, reloads, adoption, blocked logs and clock steps."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from benchmarks.daemon_process import ROOT
from benchmarks.fleet import Trial, run_cold_start, run_trial
from brackenpulley.control.client import ControlClient, ControlError
from brackenpulley.fleet.caller import Call
from brackenpulley.fleet.files import load_state
from brackenpulley.fleet.notify import parse_fields
from brackenpulley.fleet.process import find_processes
from brackenpulley.serve import wall_clock
from brackenpulley.standins.clients import Firm

NOTICE_SECONDS = 1.0  # stop.notice_s of the trial's fleet file


@pytest.fixture
def make_trial() -> Iterator[Callable[..., Trial]]:
    trials: list[Trial] = []

    def make(instances: int = 2, **more: Any) -> Trial:
        fleet = Trial(2 * instances, 1, 0.0, 40.0, **more)
        trials.append(fleet)
        return fleet

    yield make
    for fleet in trials:
        fleet.close()


def command(fleet: Trial, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a `fleet` command and keep the stand-ins running meanwhile."""
    arguments = (arguments[0], str(fleet.fleet_file), *arguments[1:])
    process = subprocess.Popen(
        [sys.executable, "-m", "brackenpulley", "fleet", *arguments],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    while process.poll() is None:
        fleet.run_for(0.02)
    out, err = process.communicate()
    return subprocess.CompletedProcess(arguments, process.returncode, out, err)


def replace_in_description(fleet: Trial, old: str, new: str) -> None:
    text = fleet.fleet_file.read_text()
    assert old in text
    fleet.fleet_file.write_text(text.replace(old, new))


def test_a_whole_day_of_eight_instances() -> None:
    report = run_trial(8, pause=1.0, quiet=True, at_once=4)
    assert report["faults"] == []
    assert report["served"] > 500
    assert [cold["fell"] for cold in report["cold"]] == [False] * 3
    assert sum(cold["arrivals"] for cold in report["cold"]) > 0


def test_twenty_at_once_do_not_overload_a_small_cold_server() -> None:
    report = run_cold_start(20, 5, seconds=6.0)
    assert report["fell"] == 0 and report["worst"][0] < 1
    assert report["refused"] > 50  # the server was in demand: alone it can't serve a tenth of the load


def test_a_port_in_use_is_a_crash_loop_of_one_instance_and_the_others_serve(make_trial: Callable[..., Trial]) -> None:
    fleet = make_trial(3)
    replace_in_description(fleet, "crashes = 10", "crashes = 3\nfirst_s = 0.05")
    listener = socket.create_server(fleet.addresses[1])
    fleet.start_supervisor()
    last_status = {}

    def has_crashed(status: dict[str, Any]) -> bool:
        last_status.update(status)
        return [row["state"] for row in status["places"]] == ["ready", "crashed", "ready"]

    fleet.wait_until(has_crashed, 30, "crash loop")
    row = last_status["places"][1]
    assert row["restarts"] == 3 and "Address already in use" in row["why"]
    # its share goes to the others, and returns before it starts again
    fleet.wait_until(lambda s: [r["sharing"] for r in s["places"]] == [2, None, 2], 30, "shares widened")
    assert command(fleet, "status", "--json").returncode == 3
    listener.close()
    done = command(fleet, "start", "--instances", "1", "--json")
    assert done.returncode == 0 and json.loads(done.stdout)["ready"] == 3
    fleet.wait_until(lambda s: [r["sharing"] for r in s["places"]] == [3, 3, 3], 30, "shares narrowed")


@pytest.mark.parametrize("how", ["restart", "stop"])
def test_a_front_has_its_notice_before_an_instance_takes_no_more(make_trial: Callable[..., Trial], how: str) -> None:
    """Guards against an instance whose /ready says yes until SIGTERM: its front has 0.5 s instead of the notice."""
    fleet = make_trial(2)
    fleet.start_supervisor()
    fleet.wait_all_ready(2, 30, "start")
    answers: list[tuple[float, int]] = []  # time, and status of /ready; 0 where nothing answers

    def record(status: int, body: bytes) -> None:
        answers.append((time.monotonic(), status))

    def probe() -> None:
        Call(fleet.loop, fleet.addresses[1], "GET", "/ready", b"", 0.5, record)
        fleet.loop.call_in(0.05, probe)

    probe()
    assert command(fleet, how, "--instances", "1").returncode == 0
    first_no = next(at for at, status in answers if status == 503)
    gone = next(at for at, status in answers if status == 0)
    # The notice, and the 0.5 s for which new connections are accepted after SIGTERM; two probes of slack.
    assert gone - first_no >= NOTICE_SECONDS + 0.5 - 0.1
    assert all(status == 503 for at, status in answers if first_no < at < gone)


def test_an_invalid_file_changes_no_instance_and_a_valid_one_changes_all(make_trial: Callable[..., Trial]) -> None:
    fleet = make_trial(2, watchdog=30.0)  # longer than the reload timeout
    fleet.start_supervisor()
    fleet.wait_all_ready(2, 30, "start")
    before = [(r["pid"], r["life"]) for r in fleet.read_status()["places"]]
    config = fleet.folder / "ingress.json"
    valid_config = config.read_text()
    config.write_text(valid_config.replace('"Resolution": 0.001', '"Resolution": "often"'))
    done = command(fleet, "reload")
    assert done.returncode == 1
    assert done.stderr == "brackenpulley: settings.tick: 'often' is not usable\n"
    assert json.loads((fleet.folder / "run" / "0.json").read_text())["settings"]["Resolution"] == 0.001
    config.write_text(valid_config[:50])
    done = command(fleet, "reload")
    assert done.returncode == 1 and done.stderr.startswith("brackenpulley: fleet.config: ")
    config.write_text(valid_config.replace('"Resolution": 0.001', '"Resolution": 0.002'))
    replace_in_description(fleet, "instances = 2", "instances = 3")
    done = command(fleet, "reload", "--json")
    assert json.loads(done.stdout)["oldUntilRestarted"] == [0, 1]
    fleet.wait_all_ready(3, 30, "one more")
    assert [(r["pid"], r["life"]) for r in fleet.read_status()["places"]][:2] == before
    # If one instance does not answer, all return to the old files.
    os.kill(before[1][0], signal.SIGSTOP)
    config.write_text(valid_config.replace('"Resolution": 0.001', '"Resolution": 0.004'))
    fleet.call_supervisor("POST", "/v1/fleet/reload", {})
    fleet.wait_until(lambda s: not s["reloading"], 20, "reload given up")
    os.kill(before[1][0], signal.SIGCONT)
    assert fleet.read_status()["reloadFailed"] == "instance 1: did not answer within 5 s"
    assert json.loads((fleet.folder / "run" / "0.json").read_text())["settings"]["Resolution"] == 0.002


def test_a_fleet_has_one_supervisor_and_a_host_may_have_two_fleets(make_trial: Callable[..., Trial]) -> None:
    first, second = make_trial(1), make_trial(1)
    first.start_supervisor()
    second.start_supervisor()
    first.wait_all_ready(1, 30, "first")
    second.wait_all_ready(1, 30, "second")
    assert first.supervisor is not None
    second_run = command(first, "run")
    assert second_run.returncode == 2
    assert f"held by the supervisor of fleet trial, process {first.supervisor.pid}" in second_run.stderr
    assert command(first, "stop", "--supervisor").returncode == 0
    assert first.supervisor.wait(20) == 0
    assert find_processes(first.folder / "run") == []
    assert second.read_status()["ready"] == 1


def test_instances_of_a_killed_supervisor_serve_and_are_reaped_or_adopted(make_trial: Callable[..., Trial]) -> None:
    fleet = make_trial(2)
    fleet.start_supervisor()
    fleet.wait_all_ready(2, 30, "start")
    fleet.call_supervisor("POST", "/v1/fleet/scale", {"instances": 3})
    fleet.wait_all_ready(3, 30, "scale")
    pids = [row["pid"] for row in fleet.read_status()["places"]]
    assert fleet.supervisor is not None
    fleet.supervisor.kill()
    fleet.supervisor.wait()
    os.kill(pids[2], signal.SIGKILL)  # ends while no supervisor runs
    assert sorted(f.pid for f in find_processes(fleet.folder / "run") if f.number < 2) == sorted(pids[:2])
    fleet.start_supervisor()
    fleet.wait_all_ready(3, 30, "adopted, at the count it was scaled to")
    status = fleet.read_status()
    assert [row["pid"] for row in status["places"]][:2] == pids[:2]
    assert [row["adopted"] for row in status["places"]] == [True, True, False]
    text = command(fleet, "logs", "--lines", "2000").stdout
    assert f"event=adopted instance=0 pid={pids[0]}" in text
    os.kill(pids[0], signal.SIGUSR1)  # the output of an adopted instance still arrives
    fleet.wait_until(
        lambda s: "event=counters" in command(fleet, "logs", "--instance", "0").stdout,
        20,
        "log of the adopted instance",
    )
    os.kill(pids[0], signal.SIGKILL)  # its end is detected although it is no child of this supervisor
    fleet.wait_until(lambda s: s["ready"] == 3 and s["places"][0]["pid"] != pids[0], 30, "replaced")
    assert fleet.supervisor is not None
    fleet.supervisor.kill()
    fleet.supervisor.wait()
    done = command(fleet, "reap", "--json")
    assert len(json.loads(done.stdout)) == 3 and find_processes(fleet.folder / "run") == []


@pytest.mark.parametrize("target", ["a full disk", "a reader that does not read"])
def test_a_blocked_log_stops_no_instance(make_trial: Callable[..., Trial], target: str) -> None:
    fleet = make_trial(1)
    if "disk" in target:
        replace_in_description(fleet, "[restart]", '[log]\npath = "/dev/full"\n[restart]')
    read, write = os.pipe()
    fleet.supervisor = subprocess.Popen(
        [sys.executable, "-m", "brackenpulley", "fleet", "run", str(fleet.fleet_file)],
        cwd=ROOT,
        stdout=write,
        stderr=subprocess.DEVNULL,
    )
    os.close(write)
    fleet.wait_all_ready(1, 30, "start")
    pid = fleet.read_status()["places"][0]["pid"]

    def is_log_blocked(status: dict[str, Any]) -> bool:
        for _ in range(50):
            os.kill(pid, signal.SIGUSR1)
            fleet.run_for(0.002)
        log = status["log"]
        return bool(log["failing"] == "No space left on device" if "disk" in target else log["waiting"] > 100_000)

    fleet.wait_until(is_log_blocked, 60, target)
    fleet.wait_until(lambda s: s["ready"] == 1 and s["places"][0]["healthSeconds"] < 3, 10, "still ready")
    assert fleet.read_status()["places"][0]["life"] == 1
    os.close(read)


def test_the_supervisor_notifies_its_own_supervisor(
    make_trial: Callable[..., Trial], monkeypatch: pytest.MonkeyPatch
) -> None:
    fleet = make_trial(1)
    outer_socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    outer_socket.bind(str(fleet.folder / "above"))
    outer_socket.settimeout(20)
    monkeypatch.setenv("NOTIFY_SOCKET", str(fleet.folder / "above"))
    monkeypatch.setenv("WATCHDOG_USEC", "900000")
    fleet.start_supervisor()
    seen: list[dict[str, str]] = []
    end = time.monotonic() + 20
    outer_socket.setblocking(False)
    while not any("READY" in fields for fields in seen) and time.monotonic() < end:
        fleet.run_for(0.02)
        try:
            seen.append(parse_fields(outer_socket.recv(4096)))
        except BlockingIOError:
            pass
    assert any(fields.get("READY") == "1" for fields in seen)
    assert any(fields.get("WATCHDOG") == "1" for fields in seen)
    assert fleet.supervisor is not None
    fleet.supervisor.terminate()
    fleet.wait_until(lambda s: fleet.supervisor is not None and fleet.supervisor.poll() is not None, 20, "end")
    while True:
        try:
            seen.append(parse_fields(outer_socket.recv(4096)))
        except BlockingIOError:
            break
    assert any(fields.get("STOPPING") == "1" for fields in seen)
    outer_socket.close()


def test_members_find_each_other_though_a_seed_is_down_at_the_start(make_trial: Callable[..., Trial]) -> None:
    fleet = make_trial(3, members=True)
    fleet.start_supervisor()
    fleet.wait_all_ready(3, 30, "start")
    control = ControlClient(f"unix:{fleet.folder}/run/1.sock")

    def has_members(count: int) -> Callable[[dict[str, Any]], bool]:
        def has_count(status: dict[str, Any]) -> bool:
            try:
                return bool(control.call("GET", "/v1/members")["members"] == count)
            except ControlError:
                return False

        return has_count

    fleet.wait_until(has_members(3), 30, "joined")
    fleet.call_supervisor("POST", "/v1/fleet/stop", {"instances": [0, 2]})
    fleet.wait_until(has_members(1), 30, "left")
    fleet.call_supervisor(
        "POST", "/v1/fleet/restart", {"instances": [1]}
    )  # its seeds, 0 and 2, are down while it starts
    fleet.wait_until(lambda s: bool(s["rolling"]["over"]) and s["ready"] == 1, 30, "alone")
    fleet.call_supervisor("POST", "/v1/fleet/start", {"instances": [0, 2]})
    fleet.wait_until(has_members(3), 30, "together again")
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "brackenpulley",
            "members",
            "status",
            "--json",
            "--control",
            f"unix:{fleet.folder}/run/0.sock",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert len(json.loads(done.stdout)[0]["keys"]) == 1


def test_instances_started_after_a_clock_step_of_an_hour_use_the_same_counter_names(
    make_trial: Callable[..., Trial],
) -> None:
    fleet = make_trial(1)
    config = json.loads((fleet.folder / "ingress.json").read_text())
    for plan in config["settings"]["TiersOfService"]:
        plan.update(QuotaRate=6.0, Burst=24.0)
    (fleet.folder / "ingress.json").write_text(json.dumps(config))
    fleet.load.firms = [Firm(7, "county", 30.0, 2, 0)]
    fleet.start_supervisor()
    fleet.wait_all_ready(1, 30, "start")
    fleet.load.start()
    fleet.wait_until(lambda s: fleet.counter.calls > 3, 30, "counting")
    # Processes started from here on have a time of day that is an hour ahead.
    (fleet.folder / "sitecustomize.py").write_text("import time\nreal = time.time\ntime.time = lambda: real() + 3600\n")
    fleet.fleet_file.write_text(fleet.fleet_file.read_text() + f'[environment]\nPYTHONPATH = "{fleet.folder}"\n')
    replace_in_description(fleet, "instances = 1", "instances = 2")
    fleet.call_supervisor("POST", "/v1/fleet/reload", {})
    fleet.wait_all_ready(2, 30, "instance after the clock step")
    pid = fleet.read_status()["places"][1]["pid"]
    assert str(fleet.folder).encode() in Path(f"/proc/{pid}/environ").read_bytes()
    second_control = ControlClient(f"unix:{fleet.folder}/run/1.sock")
    fleet.wait_until(
        lambda s: second_control.call("GET", "/v1/counters").get("counts", 0) > 3, 30, "second instance counts"
    )
    period = int(fleet.clock() // 30)
    assert {int(name) >> 33 for name in fleet.counter.totals} <= {period - 2, period - 1, period}
    fleet.load.stop()


def test_a_clock_step_does_not_change_the_clock_of_a_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The counter's names derive from the fleet's clock: an instance started after a step must use the same names."""
    from brackenpulley.fleet.files import save_state

    first, _ = load_state(tmp_path, 3, 1_000_000.0, 50.0)
    save_state(tmp_path, first)
    later, _ = load_state(tmp_path, 3, 1_000_000.0 + 3600 + 10, 60.0)
    assert later.clock == first.clock == 999_950.0
    monkeypatch.setenv("BRACKENPULLEY_CLOCK", repr(later.clock))
    real_time = time.time
    before = wall_clock()()
    monkeypatch.setattr(time, "time", lambda: real_time() + 3600)
    assert abs(wall_clock()() - before) < 1.0
    first.boot = "another"
    save_state(tmp_path, first)
    assert load_state(tmp_path, 3, 1_000_000.0 + 3610, 60.0)[0].clock == 1_003_550.0
