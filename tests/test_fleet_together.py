"""Real supervisors with real daemons: what is killed, stopped, taken, filled up or misread, and what becomes of it."""

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

from benchmarks.fleet import Trial, run_cold_start, run_trial
from benchmarks.plan_changes import ROOT
from brackenpulley.control.client import Control, ControlError
from brackenpulley.fleet.files import kept
from brackenpulley.fleet.notify import parse
from brackenpulley.fleet.process import search
from brackenpulley.serve import wall_clock
from brackenpulley.standins.clients import Firm


@pytest.fixture
def made() -> Iterator[Callable[..., Trial]]:
    trials: list[Trial] = []

    def make(instances: int = 2, **more: Any) -> Trial:
        one = Trial(2 * instances, 1, 0.0, 40.0, **more)
        trials.append(one)
        return one

    yield make
    for one in trials:
        one.close()


def command(one: Trial, *words: str) -> subprocess.CompletedProcess[str]:
    """A `fleet` command, beside which the stand-ins go on."""
    words = (words[0], str(one.fleet_file), *words[1:])
    process = subprocess.Popen(
        [sys.executable, "-m", "brackenpulley", "fleet", *words],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    while process.poll() is None:
        one.run_for(0.02)
    out, err = process.communicate()
    return subprocess.CompletedProcess(words, process.returncode, out, err)


def change(one: Trial, old: str, new: str) -> None:
    text = one.fleet_file.read_text()
    assert old in text
    one.fleet_file.write_text(text.replace(old, new))


def test_a_whole_day_of_eight_instances() -> None:
    report = run_trial(8, pause=1.0, quiet=True, at_once=4)
    assert report["faults"] == []
    assert report["served"] > 500
    assert [cold["fell"] for cold in report["cold"]] == [False] * 3
    assert sum(cold["arrivals"] for cold in report["cold"]) > 0


def test_twenty_at_once_do_not_fell_a_small_cold_server() -> None:
    report = run_cold_start(20, 5, seconds=6.0)
    assert report["fell"] == 0 and report["worst"][0] < 1
    assert report["refused"] > 50  # it was wanted: alone it can't do a tenth of the load


def test_a_taken_port_is_a_crash_loop_of_one_and_the_rest_serve(made: Callable[..., Trial]) -> None:
    one = made(3)
    change(one, "crashes = 10", "crashes = 3\nfirst_s = 0.05")
    taken = socket.create_server(one.addresses[1])
    one.start_supervisor()
    found = {}

    def given_up(status: dict[str, Any]) -> bool:
        found.update(status)
        return [row["state"] for row in status["places"]] == ["ready", "crashed", "ready"]

    one.wait_until(given_up, 30, "crash loop")
    row = found["places"][1]
    assert row["restarts"] == 3 and "Address already in use" in row["why"]
    # its part goes to the others, and comes back before it starts again
    one.wait_until(lambda s: [r["sharing"] for r in s["places"]] == [2, None, 2], 30, "shares widened")
    assert command(one, "status", "--json").returncode == 3
    taken.close()
    done = command(one, "start", "--instances", "1", "--json")
    assert done.returncode == 0 and json.loads(done.stdout)["ready"] == 3
    one.wait_until(lambda s: [r["sharing"] for r in s["places"]] == [3, 3, 3], 30, "shares narrowed")


def test_a_bad_file_changes_nobody_and_a_good_one_all(made: Callable[..., Trial]) -> None:
    one = made(2, watchdog=30.0)  # longer than a reload waits
    one.start_supervisor()
    one.wait_all_ready(2, 30, "start")
    before = [(r["pid"], r["life"]) for r in one.read_status()["places"]]
    config = one.folder / "ingress.json"
    good = config.read_text()
    config.write_text(good.replace('"Resolution": 0.001', '"Resolution": "often"'))
    done = command(one, "reload")
    assert done.returncode == 1
    assert done.stderr == "brackenpulley: settings.tick: 'often' is not usable\n"
    assert json.loads((one.folder / "run" / "0.json").read_text())["settings"]["Resolution"] == 0.001
    config.write_text(good[:50])
    done = command(one, "reload")
    assert done.returncode == 1 and done.stderr.startswith("brackenpulley: fleet.config: ")
    config.write_text(good.replace('"Resolution": 0.001', '"Resolution": 0.002'))
    change(one, "instances = 2", "instances = 3")
    done = command(one, "reload", "--json")
    assert json.loads(done.stdout)["oldUntilRestarted"] == [0, 1]
    one.wait_all_ready(3, 30, "one more")
    assert [(r["pid"], r["life"]) for r in one.read_status()["places"]][:2] == before
    # One that cannot answer takes the others back with it.
    os.kill(before[1][0], signal.SIGSTOP)
    config.write_text(good.replace('"Resolution": 0.001', '"Resolution": 0.004'))
    one.call_supervisor("POST", "/v1/fleet/reload", {})
    one.wait_until(lambda s: not s["reloading"], 20, "reload given up")
    os.kill(before[1][0], signal.SIGCONT)
    assert one.read_status()["reloadFailed"] == "instance 1: did not answer within 5 s"
    assert json.loads((one.folder / "run" / "0.json").read_text())["settings"]["Resolution"] == 0.002


def test_one_supervisor_a_fleet_and_two_fleets_a_host(made: Callable[..., Trial]) -> None:
    first, second = made(1), made(1)
    first.start_supervisor()
    second.start_supervisor()
    first.wait_all_ready(1, 30, "first")
    second.wait_all_ready(1, 30, "second")
    assert first.supervisor is not None
    again = command(first, "run")
    assert again.returncode == 2
    assert f"held by the supervisor of fleet trial, process {first.supervisor.pid}" in again.stderr
    assert command(first, "stop", "--supervisor").returncode == 0
    assert first.supervisor.wait(20) == 0
    assert search(first.folder / "run") == []
    assert second.read_status()["ready"] == 1


def test_a_killed_supervisors_instances_serve_and_are_reaped_or_taken_over(made: Callable[..., Trial]) -> None:
    one = made(2)
    one.start_supervisor()
    one.wait_all_ready(2, 30, "start")
    one.call_supervisor("POST", "/v1/fleet/scale", {"instances": 3})
    one.wait_all_ready(3, 30, "scale")
    pids = [row["pid"] for row in one.read_status()["places"]]
    assert one.supervisor is not None
    one.supervisor.kill()
    one.supervisor.wait()
    os.kill(pids[2], signal.SIGKILL)  # one ends while nobody looks
    assert sorted(f.pid for f in search(one.folder / "run") if f.place < 2) == sorted(pids[:2])
    one.start_supervisor()
    one.wait_all_ready(3, 30, "taken over, at the size it was scaled to")
    status = one.read_status()
    assert [row["pid"] for row in status["places"]][:2] == pids[:2]
    assert [row["adopted"] for row in status["places"]] == [True, True, False]
    text = command(one, "logs", "--lines", "2000").stdout
    assert f"event=adopted instance=0 pid={pids[0]}" in text
    os.kill(pids[0], signal.SIGUSR1)  # what an adopted one writes arrives as before
    one.wait_until(lambda s: "event=counters" in command(one, "logs", "--instance", "0").stdout, 20, "its log")
    os.kill(pids[0], signal.SIGKILL)  # and its end is seen, though it is no child of this supervisor
    one.wait_until(lambda s: s["ready"] == 3 and s["places"][0]["pid"] != pids[0], 30, "replaced")
    assert one.supervisor is not None
    one.supervisor.kill()
    one.supervisor.wait()
    done = command(one, "reap", "--json")
    assert len(json.loads(done.stdout)) == 3 and search(one.folder / "run") == []


@pytest.mark.parametrize("target", ["a full disk", "a reader that does not read"])
def test_the_log_stops_nobody(made: Callable[..., Trial], target: str) -> None:
    one = made(1)
    if "disk" in target:
        change(one, "[restart]", '[log]\npath = "/dev/full"\n[restart]')
    read, write = os.pipe()
    one.supervisor = subprocess.Popen(
        [sys.executable, "-m", "brackenpulley", "fleet", "run", str(one.fleet_file)],
        cwd=ROOT,
        stdout=write,
        stderr=subprocess.DEVNULL,
    )
    os.close(write)
    one.wait_all_ready(1, 30, "start")
    pid = one.read_status()["places"][0]["pid"]

    def filled(status: dict[str, Any]) -> bool:
        for _ in range(50):
            os.kill(pid, signal.SIGUSR1)
            one.run_for(0.002)
        log = status["log"]
        return bool(log["failing"] == "No space left on device" if "disk" in target else log["waiting"] > 100_000)

    one.wait_until(filled, 60, target)
    one.wait_until(lambda s: s["ready"] == 1 and s["places"][0]["healthSeconds"] < 3, 10, "still there")
    assert one.read_status()["places"][0]["life"] == 1
    os.close(read)


def test_it_tells_its_own_supervisor(made: Callable[..., Trial], monkeypatch: pytest.MonkeyPatch) -> None:
    one = made(1)
    above = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    above.bind(str(one.folder / "above"))
    above.settimeout(20)
    monkeypatch.setenv("NOTIFY_SOCKET", str(one.folder / "above"))
    monkeypatch.setenv("WATCHDOG_USEC", "900000")
    one.start_supervisor()
    seen: list[dict[str, str]] = []
    end = time.monotonic() + 20
    above.setblocking(False)
    while not any("READY" in fields for fields in seen) and time.monotonic() < end:
        one.run_for(0.02)
        try:
            seen.append(parse(above.recv(4096)))
        except BlockingIOError:
            pass
    assert any(fields.get("READY") == "1" for fields in seen)
    assert any(fields.get("WATCHDOG") == "1" for fields in seen)
    assert one.supervisor is not None
    one.supervisor.terminate()
    one.wait_until(lambda s: one.supervisor is not None and one.supervisor.poll() is not None, 20, "end")
    while True:
        try:
            seen.append(parse(above.recv(4096)))
        except BlockingIOError:
            break
    assert any(fields.get("STOPPING") == "1" for fields in seen)
    above.close()


def test_members_find_each_other_though_a_seed_is_down_at_the_start(made: Callable[..., Trial]) -> None:
    one = made(3, members=True)
    one.start_supervisor()
    one.wait_all_ready(3, 30, "start")
    control = Control(f"unix:{one.folder}/run/1.sock")

    def members(count: int) -> Callable[[dict[str, Any]], bool]:
        def there(status: dict[str, Any]) -> bool:
            try:
                return bool(control.call("GET", "/v1/members")["members"] == count)
            except ControlError:
                return False

        return there

    one.wait_until(members(3), 30, "joined")
    one.call_supervisor("POST", "/v1/fleet/stop", {"instances": [0, 2]})
    one.wait_until(members(1), 30, "left")
    one.call_supervisor("POST", "/v1/fleet/restart", {"instances": [1]})  # its seeds, 0 and 2, are down while it starts
    one.wait_until(lambda s: bool(s["rolling"]["over"]) and s["ready"] == 1, 30, "alone")
    one.call_supervisor("POST", "/v1/fleet/start", {"instances": [0, 2]})
    one.wait_until(members(3), 30, "together again")
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "brackenpulley",
            "members",
            "status",
            "--json",
            "--control",
            f"unix:{one.folder}/run/0.sock",
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert len(json.loads(done.stdout)[0]["keys"]) == 1


def test_instances_started_after_a_step_of_an_hour_count_under_the_names_of_those_before(
    made: Callable[..., Trial],
) -> None:
    one = made(1)
    config = json.loads((one.folder / "ingress.json").read_text())
    for plan in config["settings"]["TiersOfService"]:
        plan.update(QuotaRate=6.0, Burst=24.0)
    (one.folder / "ingress.json").write_text(json.dumps(config))
    one.load.firms = [Firm(7, "county", 30.0, 2, 0)]
    one.start_supervisor()
    one.wait_all_ready(1, 30, "start")
    one.load.start()
    one.wait_until(lambda s: one.counter.calls > 3, 30, "counting")
    # From here on whatever starts believes that it is an hour later.
    (one.folder / "sitecustomize.py").write_text("import time\nreal = time.time\ntime.time = lambda: real() + 3600\n")
    one.fleet_file.write_text(one.fleet_file.read_text() + f'[environment]\nPYTHONPATH = "{one.folder}"\n')
    change(one, "instances = 1", "instances = 2")
    one.call_supervisor("POST", "/v1/fleet/reload", {})
    one.wait_all_ready(2, 30, "one after the step")
    pid = one.read_status()["places"][1]["pid"]
    assert str(one.folder).encode() in Path(f"/proc/{pid}/environ").read_bytes()
    told = Control(f"unix:{one.folder}/run/1.sock")
    one.wait_until(lambda s: told.call("GET", "/v1/counters").get("counts", 0) > 3, 30, "the second one counts")
    here = int(one.clock() // 30)
    assert {int(name) >> 33 for name in one.counter.numbers} <= {here - 2, here - 1, here}
    one.load.stop()


def test_a_step_of_the_time_of_day_does_not_divide_a_fleet(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Names of the counter go by the fleet's clock: whoever starts after the step must use those of before."""
    from brackenpulley.fleet.files import keep

    first, _ = kept(tmp_path, 3, 1_000_000.0, 50.0)
    keep(tmp_path, first)
    later, _ = kept(tmp_path, 3, 1_000_000.0 + 3600 + 10, 60.0)
    assert later.clock == first.clock == 999_950.0
    monkeypatch.setenv("BRACKENPULLEY_CLOCK", repr(later.clock))
    real = time.time
    before = wall_clock()()
    monkeypatch.setattr(time, "time", lambda: real() + 3600)
    assert abs(wall_clock()() - before) < 1.0
    first.boot = "another"
    keep(tmp_path, first)
    assert kept(tmp_path, 3, 1_000_000.0 + 3610, 60.0)[0].clock == 1_003_550.0
