"""Agreed configuration: rules of a change, revisions in the log, active revision, adoption, a fleet in virtual time."""

from __future__ import annotations

import random
from math import inf
from pathlib import Path
from typing import Any

import pytest

from benchmarks.configuration import draw_change, run_seed
from benchmarks.configuration_sizes import measure_compaction, measure_size
from brackenpulley.configuration import store
from brackenpulley.configuration.active import (
    ROLLBACK_DELAY_SECONDS,
    STARTUP_WAIT_SECONDS,
    ActiveRevision,
    LogState,
)
from brackenpulley.configuration.adoption import RETENTION_SECONDS, AdoptionTracker
from brackenpulley.configuration.adoption import pack as pack_record
from brackenpulley.configuration.revisions import MAX_HISTORY_BYTES, Revisions
from brackenpulley.configuration.rules import Change, ChangeError, Content, Limits, check, encode_msgpack
from brackenpulley.configuration.wire import (
    FORMAT,
    Envelope,
    FirmGroup,
    WireError,
    _decompress_firms,
    digest_of,
    pack,
    pack_change,
    seal,
    unpack,
    unpack_change,
    unseal,
)
from brackenpulley.plans.book import Figures

FIGURES = Figures(10.0, 20.0)


def content() -> Content:
    built = Content()
    built.apply(
        Change(
            0,
            "ann",
            {"county": FIGURES, "school": Figures(1.0, 4.0)},
            {7: "county", 9: "county"},
            {"discovery": "10.0.0.1:80"},
        )
    )
    return built


@pytest.mark.parametrize(
    ("change", "field", "text"),
    [
        (Change(0, "", {"a": FIGURES}), "by", "who"),
        (Change(0, "a", {"a": FIGURES}, note="x" * 201), "note", "201 characters"),
        (Change(0, "a"), "plans", "no change"),
        (Change(0, "a", {"": FIGURES}), "plans", "no plan's name"),
        (Change(0, "a", {"a\nb": FIGURES}), "plans", "no plan's name"),
        (Change(0, "a", {"a": Figures(-1.0, 2.0)}), "plans.a.rate", "-1.0"),
        (Change(0, "a", {"a": Figures(inf, 2.0)}), "plans.a.rate", "inf"),
        (Change(0, "a", {"a": Figures(5.0, 0.0)}), "plans.a.figures", "burst"),
        (Change(0, "a", {"a": Figures(5.0, 1.0, ceiling_rate=2.0)}), "plans.a.figures", "ceiling_burst"),
        (Change(0, "a", {"county": None}), "plans.county", "2 firms are on it"),
        (Change(0, "a", {"county": None}, {7: "school"}), "plans.county", "1 firms are on it"),
        (Change(0, "a", {"school": None}, {7: "school"}), "firms.0000000000000007", "no plan 'school'"),
        (Change(0, "a", {}, {7: "nowhere"}), "firms.0000000000000007", "no plan 'nowhere'"),
        (Change(0, "a", {}, {1 << 33: "county"}), "firms", "no firm"),
        (Change(0, "a", {}, {-1: "county"}), "firms", "no firm"),
        (Change(0, "a", {}, {}, {"billing": "10.0.0.1:80"}), "addresses.billing", "no such entry"),
        (Change(0, "a", {}, {}, {"counter": "here"}), "addresses.counter", "'here' is no address:port"),
        (Change(0, "a", {}, {}, {"counter": "10.0.0.1:0"}), "addresses.counter", "no address:port"),
        (Change(0, "a", {}, {firm: "county" for firm in range(20_000)}), "firms", "make several of it"),
    ],
)
def test_an_invalid_change_gives_a_one_line_error_that_names_the_field(change: Change, field: str, text: str) -> None:
    held = content()
    before = pack(held)
    with pytest.raises(ChangeError) as error:
        check(change, held)
    assert error.value.field == field and text in error.value.text and "\n" not in str(error.value)
    assert pack(held) == before


def test_limits_apply_to_growth_and_never_to_shrinking() -> None:
    held = content()
    with pytest.raises(ChangeError, match="firms: 6 entries in that revision, 5 at most"):
        check(Change(0, "a", {}, {8: "county"}), held, Limits(max_entries=5))
    with pytest.raises(ChangeError, match=f"plans: .* bytes in that revision, {held.size_bytes} at most"):
        check(Change(0, "a", {"new": FIGURES}), held, Limits(max_snapshot_bytes=held.size_bytes))
    check(Change(0, "a", {}, {7: None}), held, Limits(max_entries=1, max_snapshot_bytes=1))
    # As many entries and bytes as before.
    check(Change(0, "a", {}, {7: "school"}), held, Limits(max_entries=5, max_snapshot_bytes=held.size_bytes))
    check(Change(0, "a", {"county": None}, {7: "school", 9: None}), held)


def test_the_undo_change_must_fit_the_size_limit_too() -> None:
    """Otherwise a revision could not be reverted."""
    held = Content()
    held.apply(Change(0, "a", {"p" * 64: FIGURES}, {firm: "p" * 64 for firm in range(2000)}))
    change = Change(0, "a", {}, {firm: None for firm in range(2000)})
    assert len(encode_msgpack(change)) < 12_000
    with pytest.raises(ChangeError, match="firms: what takes it back has"):
        check(change, held)


def test_size_bytes_is_an_upper_bound_of_the_snapshot() -> None:
    rng = random.Random(1)
    for many, plans in ((0, 1), (1, 1), (10, 1), (5000, 1), (1000, 40), (40, 40)):
        held = content()
        held.plans.update({f"plan-{n}": FIGURES for n in range(plans)})
        held.firms.update({rng.randrange(1 << 33): f"plan-{n % plans}" for n in range(many)})
        held.recount_firms()
        assert len(pack(held)) <= held.size_bytes + 20
        again = unpack(pack(held))
        assert again == held


def propose(log: Revisions, change: Change, at: float = 5.0) -> Any:
    return log.apply(at, pack_change(change, log.fleet))


def test_each_revision_is_based_on_the_previous_one_and_the_first_proposal_wins() -> None:
    log = Revisions("f")
    one, two = Change(0, "ann", {"a": FIGURES}), Change(0, "bob", {"b": FIGURES})
    assert propose(log, one) == {"revision": 1, "taken": "now"}
    assert propose(log, two) == {"error": "0 is not the revision in force, 1", "field": "base"}
    assert propose(log, one) == {"revision": 1, "taken": "before"}
    assert log.number == 1 and set(log.content.plans) == {"a"}
    assert propose(log, Change(1, "bob", {"b": FIGURES}), 7.0) == {"revision": 2, "taken": "now"}
    assert (
        propose(log, Change(5, "bob", {"c": FIGURES}))["field"] == "base"
    )  # a base after the latest revision is a conflict too
    assert (log.number, log.agreed_at) == (2, 7.0)
    assert log.counts == {"conflict": 2, "repeated": 1}


def test_torn_oversized_and_foreign_changes_are_counted_and_the_last_good_revision_stays() -> None:
    log = Revisions("f")
    propose(log, Change(0, "ann", {"a": FIGURES}))
    before = log.dump()
    change = Change(1, "ann", {"a": Figures(1.0, 1.0)})
    good = pack_change(change, "f")
    older = encode_msgpack(Envelope(FORMAT - 1, "f", digest_of(b"f", encode_msgpack(change)), encode_msgpack(change)))
    for data, cause in (
        (good[:-1], "torn"),
        (good[:-9] + bytes((good[-9] ^ 1,)) + good[-8:], "torn"),
        (b"", "torn"),
        (seal(b"\xc1", "f"), "torn"),
        (good + b"x" * 60_000, "oversized"),
        (pack_change(change, "g"), "other_fleet"),
        (older, "other_format"),
        (pack_change(Change(1, "a", {}, {1: "x"}), "f"), "unfit"),
    ):
        counted = log.counts.get(cause, 0)
        assert "error" in log.apply(9.0, data)
        assert log.counts[cause] == counted + 1 and log.dump() == before
    assert propose(log, change)["revision"] == 2


def test_a_revert_is_a_new_revision_with_the_old_content() -> None:
    rng = random.Random(4)
    for _ in range(30):
        log = Revisions("f")
        contents = [pack(log.content)]
        while log.number < 12:
            change = draw_change(rng, log.number, log.content, "ann")
            if "revision" in propose(log, change):
                contents.append(pack(log.content))
        to = rng.randrange(12)
        change = log.revert_change(to, "bob")
        if not change.entry_count:
            assert contents[to] == contents[12]
            continue
        assert propose(log, change)["revision"] == 13
        assert pack(log.content) == contents[to]
        assert log.history[-1].note == f"back to revision {to}"
    with pytest.raises(ChangeError, match="to: no way back to revision 13; 0 to 12 can be gone back to"):
        log.revert_change(13, "bob")
    with pytest.raises(ChangeError, match="there is none"):
        Revisions("f").revert_change(0, "bob")


def test_the_undo_history_is_bounded() -> None:
    log = Revisions("f")
    propose(log, Change(0, "a", {"p" * 20: FIGURES}))
    for number in range(1, 40):
        firms = {(1 << 20) + 800 * number + firm: "p" * 20 for firm in range(450)}
        assert "revision" in propose(log, Change(number, "a", {}, dict(firms)))
    assert log.number == 40
    assert sum(row.undo_bytes for row in log.history) <= MAX_HISTORY_BYTES
    oldest = log.history[0].number - 1
    assert 0 < oldest < 39
    with pytest.raises(ChangeError, match=f"to: no way back to revision {oldest - 1}; {oldest} to 39"):
        log.revert_change(oldest - 1, "a")


def test_a_snapshot_holds_all_state_and_an_unreadable_one_changes_nothing() -> None:
    log, other = Revisions("f"), Revisions("f")
    propose(log, Change(0, "ann", {"a": FIGURES}, {1 << 32: "a", 5: "a", (1 << 33) - 1: "a"}))
    propose(log, Change(1, "ann", {}, {5: None}))
    other.load(log.dump())
    assert other.dump() == log.dump() and other.content == log.content
    torn = log.dump()[:-3]
    other.load(torn)
    assert other.is_unreadable and other.number == 2 and other.dump() == torn and other.counts == {"torn": 1}
    assert propose(other, Change(2, "ann", {"b": FIGURES}))["error"].startswith("the snapshot before it")
    other.load(log.dump())
    assert not other.is_unreadable and propose(other, Change(2, "ann", {"b": FIGURES}))["revision"] == 3
    other.load(None)
    assert other.number == 0 and other.content == Content()


def test_firms_that_decompress_to_more_than_announced_are_rejected() -> None:
    import zlib

    bomb = zlib.compress(b"\0" * 40_000_000)
    for count in (3, 1 << 40, -1):
        with pytest.raises(ValueError):
            _decompress_firms(FirmGroup("a", 0, count, bomb))
    with pytest.raises(WireError) as error:
        unseal(seal(b"x", "f"), "g")
    assert error.value.cause == "other_fleet"
    assert unpack_change(pack_change(Change(3, "a"), "f"), "f") == Change(3, "a")


def test_the_active_revision_follows_the_log_and_survives_its_silence() -> None:
    log, active = Revisions("f"), ActiveRevision(100.0)
    propose(log, Change(0, "ann", {"a": FIGURES}, {7: "a"}))
    assert active.update(101.0, log, LogState(False)) is None  # not caught up
    assert not active.is_settled(101.0) and active.is_settled(100.0 + STARTUP_WAIT_SECONDS)
    assert (active.number, active.source) == (0, "file")
    changed = active.update(102.0, log, LogState(True, 102.0, True))
    assert changed is not None and (changed.plans, changed.firms) == (["a"], [7])
    assert (active.number, active.source, active.since) == (1, "log", 102.0) and active.is_settled(102.0)
    propose(log, Change(1, "ann", {}, {7: None}))
    assert active.content.firms == {7: "a"}  # a later entry of the log does not show through before update()
    assert active.update(103.0, log, LogState(True, 103.0, True)) is not None and active.content.firms == {}
    assert active.update(500.0, log, LogState(False)) is None and active.number == 2 and active.silence(500.0) == 397.0


def test_a_restarted_process_skips_intermediate_revisions_and_waits_for_a_log_that_is_behind() -> None:
    log, active = Revisions("f"), ActiveRevision(100.0)
    propose(log, Change(0, "ann", {"a": FIGURES}))
    behind = log.dump()
    propose(log, Change(1, "ann", {"a": Figures(3.0, 3.0)}))
    active.start(log.number, log.agreed_at, log.digest, log.content.copy())
    assert (active.number, active.source) == (2, "copy")
    log.load(behind)  # a voter's disk, before it hears the commit index from the others
    assert active.update(101.0, log, LogState(True, 101.0, True)) is None and active.number == 2
    propose(log, Change(1, "ann", {"a": Figures(3.0, 3.0)}))
    assert active.update(102.0, log, LogState(True, 102.0, True)) is None and active.source == "log"
    log.load(behind)  # a log that stays behind is another log
    assert active.update(110.0, log, LogState(True, 110.0, True)) is None
    assert active.update(109.9 + ROLLBACK_DELAY_SECONDS, log, LogState(True, 110.0, True)) is None
    changed = active.update(110.0 + ROLLBACK_DELAY_SECONDS, log, LogState(True, 110.0, True))
    assert changed is not None and active.number == 1 and active.content.plans == {"a": FIGURES}


def test_a_partition_without_a_leader_adopts_committed_revisions_and_never_rolls_back() -> None:
    """A process restarted there asks a voter that is cut off too: what it reports is committed, but may be old."""
    log, active = Revisions("f"), ActiveRevision(100.0)
    propose(log, Change(0, "ann", {"a": FIGURES}))
    assert active.update(101.0, log, LogState(True)) is not None and active.number == 1
    assert (
        not active.is_settled(101.0)
        and active.is_settled(100.0 + STARTUP_WAIT_SECONDS)
        and active.silence(150.0) == 50.0
    )
    active = ActiveRevision(100.0)
    active.start(5, 50.0, b"five", content())
    for now in (101.0, 101.0 + ROLLBACK_DELAY_SECONDS, 101.0 + 50 * ROLLBACK_DELAY_SECONDS):
        assert active.update(now, log, LogState(True)) is None and active.number == 5
    assert active.update(900.0, log, LogState(True, 900.0, True)) is None
    assert active.update(905.0, log, LogState(True, 900.0)) is None  # leader lost: the delay starts over
    assert (
        active.update(900.1 + ROLLBACK_DELAY_SECONDS, log, LogState(True, 910.0, True)) is None and active.number == 5
    )


def test_the_copy_on_disk_is_read_back_and_faults_in_it_are_told_apart(tmp_path: Path) -> None:
    path = str(tmp_path / "copy")
    assert store.load(path, "f") is None
    store.save(path, "f", 3, 5.0, b"12345678", content())
    found = store.load(path, "f")
    assert found is not None and (found[0].number, found[0].agreed_at) == (3, 5.0) and found[1] == content()
    with pytest.raises(WireError) as error:
        store.load(path, "g")
    assert error.value.cause == "other_fleet"
    data = Path(path).read_bytes()
    for spoilt, cause in ((data[:50], "torn"), (b"", "torn"), (data + b"x" * 400_000, "oversized")):
        Path(path).write_bytes(spoilt)
        with pytest.raises(WireError) as error:
            store.load(path, "f")
        assert error.value.cause == cause
    with pytest.raises(OSError):
        store.save(str(tmp_path / "none" / "copy"), "f", 3, 5.0, b"", content())


def test_processes_are_counted_by_revision_and_silent_ones_are_named() -> None:
    adoption = AdoptionTracker()
    for name, number in (("n0", 4), ("n1", 4), ("n2", 3)):
        adoption.update(f"{name}@1", pack_record(name, number, b"abcdefgh", 50.0))
    assert adoption.status(60.0) == {"byRevision": {"3": 1, "4": 2}, "silent": 0, "silentNamed": []}
    adoption.remove(70.0, "n2@1", has_left=False)
    adoption.remove(70.0, "n1@1", has_left=True)
    assert adoption.status(90.0) == {
        "byRevision": {"4": 1},
        "silent": 1,
        "silentNamed": [{"name": "n2", "revision": 3, "silentS": 20.0, "revisionAgeS": 40.0}],
    }
    adoption.update("n2@2", pack_record("n2", 4, b"abcdefgh", 95.0, 94.0))  # after a restart
    adoption.update("n2@1", pack_record("n2", 3, b"abcdefgh", 50.0, 49.0))  # late record from before the restart
    adoption.remove(96.0, "n2@1", has_left=False)  # a late removal of the old one does not affect the new one
    assert adoption.status(99.0)["byRevision"] == {"4": 2}
    adoption.remove(100.0, "n2@2", has_left=False)
    adoption.update("n3@1", b"\xc1")
    assert adoption.unreadable == 1 and adoption.status(100.0 + RETENTION_SECONDS + 1)["silent"] == 0


@pytest.mark.parametrize("seed", range(20))
def test_a_fleet_with_faults_keeps_one_order_of_revisions(seed: int) -> None:
    """More seeds: python -m benchmarks.configuration --seeds 200."""
    report = run_seed(seed)
    assert report["broken"] == "", report["lines"]
    assert report["revisions"] > 0


def test_a_change_is_active_in_time_during_restarts_and_a_region_outage() -> None:
    """A short run of --only sizes; processes that were cut off receive only the changes that they missed."""
    report = measure_size(60)
    assert report["wrong"] == [] and report["cutOff"] == 21 and report["cutOffHave"] == [3]
    assert report["returnBytesEach"] < 10 * report["changeBytes"] * report["changes"]


def test_a_region_that_returns_after_log_compaction_receives_the_whole_snapshot() -> None:
    report = measure_compaction(18, 1600)
    assert report["wrong"] == [] and report["snapshotsWhileFollowing"] == 0 and report["snapshotsAtReturn"] >= 6


INJECTED_FAULTS: dict[str, tuple[Any, str]] = {
    "a change is applied whatever its base": (Revisions, "apply"),
    "a revert leaves out the oldest change": (Revisions, "revert_change"),
    "the active content is not a copy": (ActiveRevision, "_adopt"),
    "changed entries leave out firms": (Revisions, "changed_since"),
    "a snapshot does not replace the content": (Revisions, "load"),
}


@pytest.mark.parametrize("name", list(INJECTED_FAULTS))
def test_an_injected_fault_is_found(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    owner, member = INJECTED_FAULTS[name]
    before = getattr(owner, member)

    def apply(self: Revisions, at: float, body: bytes) -> Any:
        try:
            change = unpack_change(body, self.fleet)
        except WireError:
            return before(self, at, body)
        return before(
            self,
            at,
            pack_change(
                Change(self.number, change.by, change.plans, change.firms, change.addresses, change.note), self.fleet
            ),
        )

    def revert_change(self: Revisions, number: int, by: str) -> Change:
        if number + 2 > self.number:
            return before(self, number, by)  # type: ignore[no-any-return]
        return before(self, number + 1, by)  # type: ignore[no-any-return]

    def adopt(self: ActiveRevision, now: float, log: Revisions) -> Any:
        changed = before(self, now, log)
        self.content = log.content
        return changed

    def changed_since(self: Revisions, digest: bytes) -> Change | None:
        changes = before(self, digest)
        return None if changes is None else Change(changes.base, "", changes.plans, {}, changes.addresses)

    def load(self: Revisions, dumped: Any) -> None:
        held = self.content
        before(self, dumped)
        if dumped:
            self.content = held

    faulty = {
        "apply": apply,
        "revert_change": revert_change,
        "_adopt": adopt,
        "changed_since": changed_since,
        "load": load,
    }
    monkeypatch.setattr(owner, member, faulty[member])
    assert any(run_seed(seed)["broken"] for seed in range(12))
