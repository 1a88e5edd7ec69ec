"""The agreed configuration in a daemon: operator settings, control API, effect on messages, copy on disk."""

from __future__ import annotations

import base64
from pathlib import Path
from typing import Any

import pytest

from benchmarks.daemon_process import find_free_ports
from brackenpulley.address import ConfigError
from brackenpulley.consensus.machine import Command, encode
from brackenpulley.operator import decode, load

from .rig import Rig, rig
from .test_control import FIRM, call, relay_message

FIGURES = {"rate": 50.0, "burst": 50.0}
MEMBERS = {"fleet": "f", "listen": "127.0.0.1:9300", "keys": "k"}
AGREED = {"members": MEMBERS, "consensus": {"voters": {"a": "127.0.0.1:9301"}}}


@pytest.mark.parametrize(
    ("raw", "message"),
    [
        ({"configuration": {}}, "configuration: needs [consensus]"),
        ({"members": MEMBERS, "configuration": {}}, "configuration: needs [consensus]"),
        ({**AGREED, "configuration": {}, "plans": {"snapshot": "p"}}, "configuration: not with [plans]"),
        ({**AGREED, "configuration": {"most_entries": 0}}, "configuration.most_entries: 0"),
        ({**AGREED, "configuration": {"most_entries": 100_001}}, "configuration.most_entries: 100001"),
        ({**AGREED, "configuration": {"most_kb": 185}}, "configuration.most_kb: 185"),
        ({**AGREED, "configuration": {"change_kb": 13}}, "configuration.change_kb: 13"),
        ({**AGREED, "configuration": {"most_kb": 8}}, "configuration.change_kb: 12 is over configuration.most_kb, 8"),
        ({**AGREED, "configuration": {"path": ""}}, "configuration.path: ''"),
        ({**AGREED, "configuration": {"snapshot": "x"}}, "configuration.snapshot: no such setting"),
        ({**AGREED, "configuration": 5}, "configuration: not a table"),
    ],
)
def test_a_wrong_setting_gives_a_one_line_error_that_names_the_field(raw: dict[str, Any], message: str) -> None:
    with pytest.raises(ConfigError) as error:
        decode(raw)
    assert str(error.value).startswith(message) and "\n" not in str(error.value)


def test_it_is_off_by_default_and_the_example_with_every_setting_loads() -> None:
    assert decode(AGREED).configuration is None
    options = load(str(Path(__file__).parent.parent / "deploy/together.toml")).configuration
    assert options is not None and (options.max_entries, options.max_snapshot_bytes, options.max_change_bytes) == (
        50_000,
        184_000,
        12_000,
    )


def operator(tmp_path: Path, voter: bool = True, **more: Any) -> dict[str, Any]:
    """Settings of a single voter, or of a follower whose voter does not exist."""
    keys = tmp_path / "keys"
    keys.write_text(base64.b64encode(b"w" * 32).decode())
    keys.chmod(0o600)
    own, other = find_free_ports(2)
    at = f"127.0.0.1:{own}"
    consensus: dict[str, Any] = {"voters": {"n0": at} if voter else {"elsewhere": f"127.0.0.1:{other}"}}
    if voter:
        consensus["path"] = f"{tmp_path}/log"
    return {
        "control": {"listen": f"unix:{tmp_path}/c"},
        "consensus": consensus,
        "members": {"fleet": "f", "listen": at, "keys": str(keys)},
        "configuration": {"path": f"{tmp_path}/copy"},
        **more,
    }


def change(r: Rig, path: Path, base: int, status: int = 200, **more: Any) -> Any:
    code, answer = call(r, path, "POST", "/v1/configuration", {"base": base, "by": "ann", **more})
    assert code == status, answer
    return answer


def wait_until_settled(r: Rig) -> None:
    """Advance the clock past the election, which takes seconds, until the active revision is settled."""

    def known() -> bool:
        r.advance_clock(0.05)
        return bool(r.daemon.configuration.knows())

    r.run_until(known)


INVALID_CHANGES: list[tuple[dict[str, Any], str]] = [
    ({}, "by"),
    ({"by": "ann"}, "plans"),
    ({"by": "ann", "who": "x"}, "who"),
    ({"by": "ann", "plans": {"p": {"rate": 1.0}}}, "plans.p.burst"),
    ({"by": "ann", "plans": {"p": {"rate": "x", "burst": 1.0}}}, "plans.p.rate"),
    ({"by": "ann", "plans": {"p": {"rate": -1.0, "burst": 1.0}}}, "plans.p.rate"),
    ({"by": "ann", "plans": {"p": {"rate": 1.0, "burst": 1.0, "colour": 1}}}, "plans.p.colour"),
    ({"by": "ann", "firms": {"zz": "p"}}, "firms.zz"),
    ({"by": "ann", "firms": {"7": "p", "007": "p"}}, "firms"),
    ({"by": "ann", "firms": {"7": "p"}}, "firms.0000000000000007"),  # plan of the file, not of the agreed configuration
    ({"by": "ann", "addresses": {"discovery": "10.0.0.1:80"}}, "addresses.discovery"),  # the rig has no discovery
    ({"by": "ann", "addresses": {"billing": "10.0.0.1:80"}}, "addresses.billing"),
]


def test_an_invalid_change_is_rejected_before_it_is_proposed(tmp_path: Path) -> None:
    with rig(operator=operator(tmp_path)) as r:
        wait_until_settled(r)
        for fields, field in INVALID_CHANGES:
            code, answer = call(r, tmp_path, "POST", "/v1/configuration", {"base": 0, **fields})
            assert (code, answer["error"]["field"]) == (400, field), answer
        code, answer = call(r, tmp_path, "POST", "/v1/configuration", {"base": 4, "by": "a", "plans": {"p": FIGURES}})
        assert (code, answer["error"]["field"]) == (409, "base")
        assert call(r, tmp_path, "GET", "/v1/configuration")[1]["inLog"] == 0


def test_limits_of_the_settings_are_enforced(tmp_path: Path) -> None:
    with rig(operator=operator(tmp_path, configuration={"most_entries": 1, "most_kb": 1, "change_kb": 1})) as r:
        wait_until_settled(r)
        answer = change(r, tmp_path, 0, 400, plans={"a": FIGURES, "b": FIGURES})
        assert answer["error"] == {"field": "plans", "text": "2 entries in that revision, 1 at most"}
        assert change(r, tmp_path, 0, plans={"a": FIGURES})["revision"] == 1


def test_a_change_applies_can_be_reverted_and_survives_a_restart(tmp_path: Path) -> None:
    settings = operator(tmp_path)
    with rig(operator=settings) as r:
        wait_until_settled(r)
        assert relay_message(r, 1) == 200 and r.daemon.ingress.decision_module.firms[1].plan.name == "p"
        first: dict[str, Any] = {"plans": {"big": FIGURES, "p": {"rate": 7.0, "burst": 9.0}}, "firms": {FIRM: "big"}}
        assert change(r, tmp_path, 0, **first) == {"revision": 1, "taken": "now"}
        decision_module = r.daemon.ingress.decision_module
        assert decision_module.firms[1].plan.name == "big" and decision_module.plans["p"].rate == 7.0
        assert change(r, tmp_path, 0, **first) == {"revision": 1, "taken": "before"}
        assert change(r, tmp_path, 0, 409, plans={"big": FIGURES})["error"]["field"] == "base"
        assert change(r, tmp_path, 1, 400, plans={"big": None})["error"] == {
            "field": "plans.big",
            "text": "1 firms are on it",
        }
        assert call(r, tmp_path, "GET", f"/v1/configuration/firms/{FIRM}")[1] == {
            "firm": FIRM,
            "plan": "big",
            "revision": 1,
        }
        shown = call(r, tmp_path, "GET", "/v1/status")[1]["configuration"]
        assert (shown["revision"], shown["inLog"], shown["from"], shown["firms"]) == (1, 1, "log", 1)
        r.run_until(lambda: r.daemon.configuration.status()["byRevision"] == {"1": 1})
        code, answer = call(r, tmp_path, "POST", "/v1/configuration/revert", {"to": 3, "by": "bob"})
        assert (code, answer["error"]["field"]) == (400, "to")
        for taken in ("now", "before"):  # asked twice
            assert call(r, tmp_path, "POST", "/v1/configuration/revert", {"to": 0, "by": "bob"}) == (
                200,
                {"revision": 2, "taken": taken},
            )
        assert decision_module.plans["p"].rate == 5.0  # the file's setting applies again
        assert r.daemon.configuration.plan_of(1, "big") == ("", 2)  # a removed plan is no plan
        rows = call(r, tmp_path, "GET", "/v1/configuration/history")[1]["revisions"]
        assert [(row["revision"], row["by"], row["note"]) for row in rows] == [
            (1, "ann", ""),
            (2, "bob", "back to revision 0"),
        ]
        assert change(r, tmp_path, 2, firms={FIRM: "big"}, plans={"big": FIGURES})["revision"] == 3
    with rig(operator=settings) as r:  # restarted: the copy on disk applies before the log is heard
        assert r.daemon.configuration.active.number == 3 and r.daemon.configuration.active.source == "copy"
        assert r.daemon.ingress.decision_module.plans["big"].rate == 50.0
        wait_until_settled(r)
        assert relay_message(r, 1) == 200 and r.daemon.ingress.decision_module.firms[1].plan.name == "big"
        assert call(r, tmp_path, "GET", "/v1/configuration")[1]["from"] == "log"


def test_a_torn_copy_and_torn_revisions_are_counted_and_survived(tmp_path: Path) -> None:
    settings = operator(tmp_path)
    (tmp_path / "copy").write_bytes(b"torn")
    with rig(operator=settings) as r:
        assert r.count("configuration_copy_torn") == 1 and r.daemon.configuration.active.number == 0
        wait_until_settled(r)
        change(r, tmp_path, 0, plans={"big": FIGURES})
        agreement = r.daemon.agreement.agreement
        assert agreement is not None and agreement.node is not None
        for number, body in enumerate((b"torn", b"x" * 40_000)):
            agreement._run_effects(
                agreement.node.propose(r.daemon.clock(), encode(Command("another", number + 1, "configuration", body)))[
                    1
                ]
            )
        r.run_until(lambda: r.count("configuration_oversized") == 1)
        assert r.count("configuration_torn") == 1 and r.daemon.configuration.active.number == 1


def test_a_follower_without_contact_serves_its_last_revision_and_reports_the_silence(tmp_path: Path) -> None:
    settings = operator(tmp_path, voter=False)
    with rig(operator=settings) as r:
        assert not r.daemon.is_ready() and r.daemon.configuration.status()["from"] == "file"
        r.advance_clock(8.5)
        assert r.daemon.is_ready() and relay_message(r, 1) == 200
        status = r.daemon.configuration.status()
        assert status["revision"] == 0 and status["logSilentS"] >= 8.5
        later = r.daemon.control.routes.answer(
            "POST", "/v1/configuration", b'{"base":0,"by":"a","plans":{"p":{"rate":1,"burst":1}}}'
        )
        r.advance_clock(4.1)
        r.run_until(lambda: later.reply is not None)
        assert later.reply.status == 503 and r.daemon.configuration.active.number == 0


def test_a_message_never_sees_two_revisions(tmp_path: Path) -> None:
    """Usage is charged to the plan and revision at the decision, even if another revision follows while it runs."""
    settings = operator(tmp_path, ledger={"path": f"{tmp_path}/ledger", "period_s": 1.0, "grace_s": 0.0})
    ok = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-True-Cost: 3\r\nConnection: close\r\n\r\nbody"
    with rig(operator=settings) as r:
        wait_until_settled(r)
        change(r, tmp_path, 0, plans={"big": FIGURES, "small": {"rate": 1.0, "burst": 4.0}}, firms={FIRM: "big"})
        client = r.send_request(1, ident=50)
        _, server = r.accept_relay()
        server.read_http()
        change(r, tmp_path, 1, firms={FIRM: "small"}, plans={"big": {"rate": 2.0, "burst": 2.0}})
        message = next(iter(r.daemon.ingress.exchanges.values())).message
        assert (message.plan, message.revision) == ("big", 1)
        server.send(ok)
        assert client.read_http()[0] == 200
        assert relay_message(r, 1) == 200
        r.advance_clock(3.0)
        r.run_until(lambda: r.daemon.ledger.tally.state.next_seq == 3)
        rows = [(e.key.plan, e.key.revision) for e in r.daemon.ledger.store.read_entries()]
        assert rows == [("big", 1), ("small", 2)]


def test_changed_addresses_survive_a_reload_of_the_file(tmp_path: Path) -> None:
    moved: list[Any] = []
    with rig(counter=True, operator=operator(tmp_path)) as r:
        wait_until_settled(r)
        assert r.daemon.counter is not None
        file = r.daemon.counter.address
        r.daemon.configuration.daemon.counter.move = moved.append
        change(r, tmp_path, 0, addresses={"counter": "127.0.0.1:7777"})
        assert moved == [("127.0.0.1", 7777)]
        assert r.daemon.configuration.resolve_addresses(None, ("127.0.0.1", 9)) == (None, ("127.0.0.1", 7777))
        assert call(r, tmp_path, "POST", "/v1/configuration/revert", {"to": 0, "by": "bob"})[0] == 200
        assert moved[1:] == [("127.0.0.1", 9)] and file != ("127.0.0.1", 9)
