"""Tests of the control API over real sockets: invalid calls, and plans, reservations and the ledger end to end."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from brackenpulley.address import ConfigError
from brackenpulley.control.api import PendingReply
from brackenpulley.control.server import IDLE_TIMEOUT_SECONDS
from brackenpulley.ledger.store import LedgerError
from brackenpulley.operator import decode as decode_operator_file

from .rig import RawConnection, Rig, rig

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-True-Cost: 3\r\n\r\nbody"
FIRM = f"{1:016x}"


def operator_options(tmp_path: Path, **more: Any) -> dict[str, Any]:
    return {
        "control": {"listen": f"unix:{tmp_path}/c"},
        "plans": {"snapshot": f"{tmp_path}/plans"},
        "reservations": {"grant_s": 2.0},
        "ledger": {"path": f"{tmp_path}/ledger", "period_s": 1.0, "grace_s": 0.0},
        **more,
    }


def call(r: Rig, folder: Path, method: str, target: str, body: Any = None, raw: bytes | None = None) -> tuple[int, Any]:
    """Makes one call over the Unix socket while the daemon runs in this thread."""
    data = raw if raw is not None else b"" if body is None else json.dumps(body).encode()
    sock = socket.socket(socket.AF_UNIX)
    sock.connect(f"{folder}/c")
    sock.setblocking(False)
    unsent = f"{method} {target} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
    received = b""

    def is_complete() -> bool:
        nonlocal unsent, received
        try:
            if unsent:
                unsent = unsent[sock.send(unsent) :]
        except BlockingIOError:
            pass
        try:
            received += sock.recv(1 << 20)
        except BlockingIOError:
            return False
        head, separator, body_part = received.partition(b"\r\n\r\n")
        if separator and head.startswith(b"HTTP/1.1 204 "):
            assert b"content-length" not in head.lower() and not body_part
            return True
        return bool(separator) and len(body_part) >= int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])

    r.run_until(is_complete)
    sock.close()
    head, _, response_body = received.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1])
    return status, json.loads(response_body) if status != 204 else None


def plan_change(r: Rig, **more: Any) -> dict[str, Any]:
    now = r.daemon.clock()
    return {"revision": 1, "kind": "move", "at": now, "since": now, "plan": "p", "firm": FIRM, **more}


INVALID_CHANGES = [  # body of the call, and the status and field of its error
    (b"", 400, "body"),
    (b"[]", 400, "body"),
    (b"{", 400, "body"),
    (b"\xff", 400, "body"),
    (b"[" * 60_000, 400, "body"),
    (b'{"kind":"move"}', 400, "revision"),
    (b'{"revision":1,"kind":"drop","at":1}', 400, "kind"),
    (b'{"revision":"1","kind":"move","at":1}', 400, "revision"),
    (b'{"revision":1,"kind":"move","at":NaN}', 400, "body"),
    (b'{"revision":1,"kind":"move","at":1,"who":"me"}', 400, "who"),
    (b'{"revision":1,"kind":"set","at":1,"figures":{"rate":"x","burst":1}}', 400, "figures.rate"),
    (b'{"revision":1,"kind":"set","at":1,"figures":{"rate":1}}', 400, "figures.burst"),
    (b'{"revision":1,"kind":"move","at":1e999}', 400, "at"),
    (b"x" * 10_000_000, 413, "body"),
]


@pytest.mark.parametrize(
    ("body", "status", "field"), INVALID_CHANGES, ids=[f"{n}" for n in range(len(INVALID_CHANGES))]
)
def test_invalid_changes_get_a_4xx_that_names_the_field(tmp_path: Path, body: bytes, status: int, field: str) -> None:
    with rig(operator=operator_options(tmp_path)) as r:
        code, content = call(r, tmp_path, "POST", "/v1/changes", raw=body)
        assert (code, content["error"]["field"]) == (status, field)
        assert r.daemon.plans.book.revision == 0 and not (tmp_path / "plans").exists()


@pytest.mark.parametrize(
    ("method", "target", "status", "field"),
    [
        ("GET", "/v1/nothing", 404, "path"),
        ("DELETE", "/v1/plans", 405, "method"),
        ("GET", "/v1/plans/gold", 404, "plan"),
        ("GET", "/v1/firms/zz", 400, "firm"),
        ("GET", "/v1/plans?when=soon", 400, "when"),
        ("GET", "/v1/changes?most=0", 400, "most"),
        ("GET", "/v1/reservations/r", 404, "id"),
        ("POST", "/v1/reservations/r/release", 404, "id"),
        ("GET", "/v1/ledger/entries?from=0", 400, "from"),
    ],
)
def test_unknown_paths_and_invalid_arguments(tmp_path: Path, method: str, target: str, status: int, field: str) -> None:
    with rig(operator=operator_options(tmp_path)) as r:
        code, content = call(r, tmp_path, method, target)
        assert (code, content["error"]["field"]) == (status, field)


def test_drain_tells_the_front_at_once_and_finishes_what_was_accepted(tmp_path: Path) -> None:
    """Guards against a drain call that is never answered, after which /ready still says yes until SIGTERM."""
    with rig(operator=operator_options(tmp_path)) as r:
        idle, busy = r.connect(), r.send_request(1)
        _, server = r.accept_relay()
        server.read_until(b"\r\n\r\n")
        r.freeze_clock()
        assert call(r, tmp_path, "POST", "/v1/drain", {}) == (204, None)
        probe = r.connect().send(b"GET /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        assert probe.read_http()[0] == 503
        status, reply = call(r, tmp_path, "GET", "/v1/ready")
        assert (status, reply["error"]["text"]) == (503, "draining")
        assert not call(r, tmp_path, "GET", "/v1/status")[1]["ready"]
        server.send(OK)
        status, head, _ = busy.read_http()
        assert status == 200 and b"connection: close" in head.lower()
        # A client that has not been told yet uses its connection once more, and is told by the answer.
        for _ in range(4):
            r.advance_clock(0.25)
        r.send_request(2, wire=idle)
        server.read_until(b"\r\n\r\n")
        server.send(OK)
        status, head, _ = idle.read_http()
        assert status == 200 and b"connection: close" in head.lower() and idle.wait_closed()


def test_a_handler_that_raises_gets_an_answer_and_later_calls_are_served(tmp_path: Path) -> None:
    """Guards against a fault in one route that leaves its caller without an answer, as the drain call did."""
    running = Rig(operator=operator_options(tmp_path))
    try:
        running.daemon.control.routes.add("POST", "/v1/fault", lambda request: {}["missing"])
        status, reply = call(running, tmp_path, "POST", "/v1/fault", {})
        assert status == 500 and "internal error" in reply["error"]["text"]
        assert running.count("faults") == 1 and running.count("control_faults") == 1
        assert call(running, tmp_path, "GET", "/v1/ready")[0] == 200
    finally:
        running.close()


def test_an_answer_that_its_caller_reads_slowly_is_not_cut_off(tmp_path: Path) -> None:
    """Guards against a connection that counts as idle while its answer is being read, or is not known yet."""
    late, size = PendingReply(), 4_000_000
    with rig(operator=operator_options(tmp_path)) as r:
        r.daemon.control.routes.add("GET", "/v1/long", lambda request: "x" * size)
        r.daemon.control.routes.add("GET", "/v1/late", lambda request: late)
        sock = socket.socket(socket.AF_UNIX)
        sock.connect(f"{tmp_path}/c")
        caller = RawConnection(r, sock).send(b"GET /v1/long HTTP/1.1\r\nHost: h\r\n\r\n")
        while len(caller.received) < size:
            r.advance_clock(0.5 * IDLE_TIMEOUT_SECONDS)
            assert caller.receive()
        caller.read_http()
        caller.send(b"GET /v1/late HTTP/1.1\r\nHost: h\r\n\r\n")
        r.run_once()
        r.advance_clock(2 * IDLE_TIMEOUT_SECONDS)
        late.answer("late")
        assert caller.read_http()[2] == b'"late"\n'
        r.advance_clock(IDLE_TIMEOUT_SECONDS + 2.0)
        assert caller.wait_closed()


def test_a_change_is_compared_by_revision_saved_and_restored(tmp_path: Path) -> None:
    with rig(operator=operator_options(tmp_path)) as r:
        assert call(r, tmp_path, "POST", "/v1/changes", plan_change(r, revision=2))[0] == 409
        first = plan_change(r)
        assert call(r, tmp_path, "POST", "/v1/changes", first) == (201, {"revision": 1, "taken": "now"})
        assert call(r, tmp_path, "POST", "/v1/changes", first) == (200, {"revision": 1, "taken": "before"})
        code, content = call(r, tmp_path, "POST", "/v1/changes", plan_change(r, note="another operator"))
        assert code == 409 and content["error"]["text"] == "1 is another change; the next is 2"
        figures = {"rate": 5.0, "burst": 5.0}
        assert (
            call(
                r,
                tmp_path,
                "POST",
                "/v1/changes",
                plan_change(r, revision=2, kind="set", firm="", plan="new", figures=figures),
            )[0]
            == 201
        )
        assert r.daemon.ingress.decision_module.plans["new"].rate == 5.0
    with rig(operator=operator_options(tmp_path)) as r:  # after a restart
        assert call(r, tmp_path, "GET", "/v1/plans")[1]["revision"] == 2
        assert r.daemon.ingress.decision_module.plans["new"].rate == 5.0
        assert call(r, tmp_path, "GET", f"/v1/firms/{FIRM}")[1] == {"firm": FIRM, "plan": "p", "revision": 1}


def test_a_change_is_rejected_when_its_snapshot_cannot_be_written(tmp_path: Path) -> None:
    with rig(operator=operator_options(tmp_path)) as r:
        (tmp_path / "plans.new").mkdir()  # blocks the temporary file of the snapshot
        code, content = call(r, tmp_path, "POST", "/v1/changes", plan_change(r))
        assert code == 503 and content["error"]["field"] == "snapshot" and r.daemon.plans.book.revision == 0


def relay_message(r: Rig, number: int, **more: Any) -> int:
    """Sends a message of true cost 3 through the ingress and returns its status."""
    client = r.send_request(number, ident=1000 + number, **more)
    _, server = r.accept_relay()
    server.read_http()
    server.send(OK.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
    return client.read_http()[0]


def test_a_scheduled_change_takes_effect_on_time_and_use_is_counted_under_its_plan(tmp_path: Path) -> None:
    with rig(operator=operator_options(tmp_path)) as r:
        now = r.daemon.clock()
        figures = {"rate": 50.0, "burst": 50.0}
        call(r, tmp_path, "POST", "/v1/changes", plan_change(r, kind="set", firm="", plan="big", figures=figures))
        call(r, tmp_path, "POST", "/v1/changes", plan_change(r, revision=2, plan="big", since=now + 60))
        assert relay_message(r, 1) == 200 and r.daemon.ingress.decision_module.firms[1].plan.name == "p"
        r.advance_clock(61.0)
        assert relay_message(r, 1) == 200 and r.daemon.ingress.decision_module.firms[1].plan.name == "big"
        r.advance_clock(3.0)
        r.run_until(lambda: r.daemon.ledger.tally.state.next_seq == 3)
        rows = [(e.key.plan, e.key.revision, e.units) for e in r.daemon.ledger.store.read_entries()]
        assert rows == [("p", 0, 3_000_000), ("big", 2, 3_000_000)]


def test_a_reservation_pays_for_the_message_that_names_it(tmp_path: Path) -> None:
    with rig(operator=operator_options(tmp_path)) as r:
        reservation = {"id": "r1", "firm": FIRM, "units": 4.0, "lifetime": 30.0, "plan": "p"}
        code, content = call(r, tmp_path, "POST", "/v1/reservations", reservation)
        assert code == 201 and content["state"] == "held"
        assert call(r, tmp_path, "POST", "/v1/reservations", reservation)[1]["state"] == "held"
        level = r.daemon.ingress.decision_module.firms[1].level
        assert relay_message(r, 1, more="X-Reservation: r1\r\nX-Weight: units=4\r\n") == 200
        # The reservation paid, and the true cost was 3 of its 4 units.
        assert r.daemon.ingress.decision_module.firms[1].level >= level
        assert call(r, tmp_path, "GET", "/v1/reservations/r1")[1]["state"] == "used"
        assert r.daemon.ledger.tally.state.counted_micro_units == 3_000_000
        assert call(r, tmp_path, "POST", "/v1/reservations/r1/commit", {"units": 4})[0] == 409


def test_commit_release_and_expiry_of_a_reservation_reach_quota_and_ledger(tmp_path: Path) -> None:
    with rig(operator=operator_options(tmp_path)) as r:
        for n in range(3):
            assert (
                call(
                    r,
                    tmp_path,
                    "POST",
                    "/v1/reservations",
                    {"id": f"r{n}", "firm": FIRM, "units": 2.0, "lifetime": 5.0, "plan": "p"},
                )[0]
                == 201
            )
        level = r.daemon.ingress.decision_module.firms[1].level
        assert call(r, tmp_path, "POST", "/v1/reservations/r0/commit", {"units": 1.0})[1]["charged"] == 1.0
        assert call(r, tmp_path, "POST", "/v1/reservations/r0/commit", {"units": 1.0})[0] == 200
        assert call(r, tmp_path, "POST", "/v1/reservations/r1/release")[1]["state"] == "released"
        assert r.daemon.ingress.decision_module.firms[1].level >= level + 3.0
        r.advance_clock(6.0)
        assert call(r, tmp_path, "POST", "/v1/reservations/r2/commit", {"units": 1.0})[0] == 410
        assert call(r, tmp_path, "GET", "/v1/reservations")[1]["held"] == 0
        assert r.daemon.ledger.tally.state.counted_micro_units == 1_000_000
        code, content = call(
            r,
            tmp_path,
            "POST",
            "/v1/reservations",
            {"id": "x", "firm": FIRM, "units": 9.0, "lifetime": 5.0, "plan": "p"},
        )
        assert code == 400 and content["error"]["field"] == "units"


@pytest.mark.parametrize("mode", ["serve", "refuse"])
def test_a_full_ledger_store_follows_on_failure(tmp_path: Path, mode: str) -> None:
    """The store is really full: 1 MB of LMDB, filled by another table, and a full log."""
    options = operator_options(tmp_path)
    options["ledger"].update(on_failure=mode, size_mb=1)
    with rig(operator=options) as r:
        store = r.daemon.ledger.store
        blocks = 0
        with pytest.raises(Exception, match="MDB_MAP_FULL"):
            while True:
                with store.env.begin(write=True) as txn:
                    txn.put(b"filling %d" % blocks, b"x" * 1500, db=store._meta_db)
                blocks += 1
        for size in (1500, 1):
            with pytest.raises(LedgerError, match="the log is full"):
                while True:
                    store.append(0, [("x" * size, 1, "p", 0, 1.0, 0.0)])
        assert relay_message(r, 1) == 200  # accepted before the failure was noticed
        assert r.count("ledger_failures") >= 1 and r.daemon.ledger.failure
        if mode == "refuse":
            status, head, _ = r.send_request(2, ident=7).read_http()
            assert status == 503 and b"retry-after" in head.lower()
        else:
            assert relay_message(r, 2) == 200
        store.env.set_mapsize(4 << 20)  # the operator enlarges the store
        r.advance_clock(1.1)
        r.run_until(lambda: not r.daemon.ledger.failure)
        assert (
            relay_message(r, 3) == 200
            and r.daemon.ledger.tally.state.counted_micro_units == (6 + 3 * (mode == "serve")) * 1_000_000
        )


def test_a_change_of_another_daemons_book_is_taken_over_however_old_it_is(tmp_path: Path) -> None:
    """Guards against a daemon that cannot be brought into a fleet whose plan book was begun over a year ago."""
    with rig(operator=operator_options(tmp_path)) as r:
        old = r.daemon.clock() - 500 * 86400.0
        change = plan_change(r, at=old, since=old)
        code, content = call(r, tmp_path, "POST", "/v1/changes", change)
        assert (code, content["error"]["field"]) == (400, "at")
        assert call(r, tmp_path, "POST", "/v1/changes?history=1", change) == (201, {"revision": 1, "taken": "now"})
        assert call(r, tmp_path, "GET", f"/v1/firms/{FIRM}")[1]["plan"] == "p"


def test_a_socket_in_use_and_a_file_that_is_no_socket_are_not_removed(tmp_path: Path) -> None:
    with (
        rig(operator=operator_options(tmp_path)),
        pytest.raises(ConfigError, match="another process is listening on this socket"),
    ):
        Rig(operator=operator_options(tmp_path, ledger={"path": f"{tmp_path}/other"}))
    (tmp_path / "c").write_text("no socket")
    with pytest.raises(ConfigError, match="the file exists and is not a socket"):
        Rig(operator=operator_options(tmp_path, ledger={"path": f"{tmp_path}/third"}))


@pytest.mark.parametrize(
    ("table", "setting"),
    [
        ({"control": {"listen": "10.0.0.1:1"}}, "control.listen"),
        ({"control": {"listen": "unix:c"}}, "control.listen"),
        ({"plans": {}}, "plans.snapshot"),
        ({"plans": {"snapshot": "x", "y": 1}}, "plans.y"),
        ({"ledger": {"path": "x", "sync_s": -1}}, "ledger.sync_s"),
        ({"ledger": {"path": "x", "period_s": True}}, "ledger"),
        ({"ledger": {"path": "x", "on_failure": "stop"}}, "ledger.on_failure"),
        ({"ledger": {"path": "x", "export": {"url": "https://1.1.1.1:1/"}}}, "ledger.export.url"),
        ({"reservations": {"most": 0}}, "reservations.most"),
        ({"leases": {"ahead_s": float("nan")}}, "leases.ahead_s"),
    ],
)
def test_invalid_settings_in_the_operators_file_are_rejected(table: dict[str, Any], setting: str) -> None:
    with pytest.raises(ConfigError, match=f"^{setting}"):
        decode_operator_file(table)


def test_the_commands_work_against_a_daemon(tmp_path: Path) -> None:
    def run(r: Rig, *words: str) -> tuple[int, str, str]:
        process = subprocess.Popen(
            [sys.executable, "-m", "brackenpulley", *words, "--control", f"unix:{tmp_path}/c"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        r.run_until(lambda: process.poll() is not None)
        out, err = process.communicate()
        return process.returncode, out, err

    with rig(operator=operator_options(tmp_path)) as r:
        code, out, _ = run(r, "plans", "set", "big", "--rate", "5", "--burst", "9", "--in", "0", "--json")
        assert code == 0 and json.loads(out)["change"]["revision"] == 1
        code, out, _ = run(r, "plans", "move", FIRM, "big", "--in", "0", "--note", "mid-week")
        assert code == 0 and r.daemon.plans.book.plan_of(1, r.daemon.clock())[0] == "big"
        code, _, err = run(r, "plans", "move", FIRM, "gold", "--in", "0")
        assert code == 1 and "plan: no plan 'gold' at that time; there are big, p" in err
        code, out, _ = run(r, "plans", "history", "--firm", FIRM)
        assert code == 0 and "mid-week" in out
        code, out, _ = run(r, "control", "status", "--json")
        assert code == 0 and json.loads(out)[0]["plans"]["revision"] == 2
        code, out, _ = run(r, "ledger", "show", "--json")
        assert code == 0 and json.loads(out)["ingress"] == "n0"
