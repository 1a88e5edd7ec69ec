"""What a revision is: a change of keyed entries on the revision before, checked whole before any of it holds. No I/O.

    kind       | key                      | value
    -----------+--------------------------+------------------------------------------------------------------
    plans      | its name                 | figures, as those of the plan book
    firms      | a number under 2^33      | the plan that it is on, which the configuration itself has to hold
    addresses  | discovery, counter       | address:port

A value of None takes the entry out: then the file's holds again. These are what a daemon can change in service; all
else needs a new file and a new start. `check` goes by the change and the content before it alone, so it says the same
on every process, whatever its own file says."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..address import ConfigError, parse_address
from ..plans.book import FIRM_LIMIT, Figures, PlanChangeError, build_plan_spec, format_firm

ADDRESSES = ("counter", "discovery")
NAME, NOTE = 64, 200  # characters
FIRM_BYTES, ROW_BYTES = 4, 30  # of a snapshot, at most: a firm, and each of a plan's two rows of them (wire.pack)
# Hard bounds, the same everywhere: the settings may hold less. A process that starts anew hears all of it and of what
# takes the last changes back (`revisions.HISTORY`): 196 KB are 14 s at 14 KB a second.
MOST_ENTRIES, MOST_BYTES, MOST_CHANGE = 100_000, 184_000, 12_000


class ChangeError(ValueError):
    """The change cannot be taken; `field` is the one that is wrong, `text` one line."""

    def __init__(self, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.field, self.text = field, text


class Change(msgspec.Struct, frozen=True, array_like=True):
    """On revision `base`; it becomes `base` + 1."""

    base: int
    by: str
    plans: dict[str, Figures | None] = {}
    firms: dict[int, str | None] = {}
    addresses: dict[str, str | None] = {}
    note: str = ""

    @property
    def entries(self) -> int:
        return len(self.plans) + len(self.firms) + len(self.addresses)


@dataclass(slots=True, frozen=True)
class Limits:
    """Of the settings."""

    entries: int = MOST_ENTRIES
    size: int = MOST_BYTES  # bytes, as `Content.size` counts them
    change: int = MOST_CHANGE  # bytes of one change on the wire


HARD = Limits()
encoded = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class Content:
    """All entries of one revision."""

    plans: dict[str, Figures] = field(default_factory=dict)
    firms: dict[int, str] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    on: Counter[str] = field(default_factory=Counter)  # firms on each plan

    @property
    def entries(self) -> int:
        return len(self.plans) + len(self.firms) + len(self.addresses)

    @property
    def size(self) -> int:
        """Bytes of a snapshot of it, at most."""
        return (
            len(self.firms) * FIRM_BYTES
            + _named(self.plans)
            + _named(self.addresses)
            + sum(2 * (len(name.encode()) + ROW_BYTES) for name in self.plans)
        )

    def apply(self, change: Change) -> None:
        """`check` has passed it."""
        for name, figures in change.plans.items():
            _put(self.plans, name, figures)
        for firm, plan in change.firms.items():
            if (old := self.firms.get(firm)) is not None:
                self.on[old] -= 1
            if plan is not None:
                self.on[plan] += 1
            _put(self.firms, firm, plan)
        for name, at in change.addresses.items():
            _put(self.addresses, name, at)
        self.on += Counter()  # without those that have none

    def undo(self, change: Change) -> Change:
        """What takes the change back, as a change on the revision that it makes."""
        return Change(
            change.base + 1,
            "",
            {name: self.plans.get(name) for name in change.plans},
            {firm: self.firms.get(firm) for firm in change.firms},
            {name: self.addresses.get(name) for name in change.addresses},
        )

    def copy(self) -> Content:
        return Content(dict(self.plans), dict(self.firms), dict(self.addresses), Counter(self.on))

    def count(self) -> None:
        """`on`, of what the firms say."""
        self.on = Counter(self.firms.values())


def _put(table: dict[Any, Any], key: Any, value: Any) -> None:
    if value is None:
        table.pop(key, None)
    else:
        table[key] = value


def _named(table: dict[str, Any]) -> int:
    return sum(len(key.encode()) + len(encoded(value)) + 3 for key, value in table.items())


def check(change: Change, content: Content, limits: Limits = HARD) -> None:
    """Raises ChangeError that names the first field that is wrong; changes nothing."""
    if not 0 < len(change.by) <= NAME:
        raise ChangeError("by", f"who changes it, 1 to {NAME} characters")
    if len(change.note) > NOTE:
        raise ChangeError("note", f"{len(change.note)} characters, {NOTE} at most")
    if not change.entries:
        raise ChangeError("plans", "no change of plans, firms or addresses")
    for size, what in (
        (len(encoded(change)), "the change"),
        (len(encoded(content.undo(change))), "what takes it back"),
    ):
        if size > limits.change:
            raise ChangeError(
                "firms" if change.firms else "plans",
                f"{what} has {size} bytes, {limits.change} at most: make several of it",
            )
    for name, figures in change.plans.items():
        _check_plan(name, figures)
    for name, at in change.addresses.items():
        if name not in ADDRESSES:
            raise ChangeError(f"addresses.{name[:NAME]}", f"no such entry; there are {', '.join(ADDRESSES)}")
        if at is not None:
            _check_address(name, at)
    _check_firms(change, content)
    _check_room(change, content, limits)


def _check_plan(name: str, figures: Figures | None) -> None:
    if not 0 < len(name) <= NAME or not name.isprintable():
        raise ChangeError("plans", f"{name[:NAME]!r} is no plan's name")
    if figures is not None:
        try:
            build_plan_spec(name, figures)
        except PlanChangeError as error:
            raise ChangeError(
                f"plans.{name}.{error.field.removeprefix('figures').lstrip('.') or 'figures'}", error.text
            ) from None


def _check_address(name: str, at: str) -> None:
    try:
        host, port = parse_address(at, f"addresses.{name}")
        if not port or len(at) > NAME:
            raise ConfigError(f"addresses.{name}: {at[:NAME]!r} is no address:port")
    except ConfigError as error:
        raise ChangeError(f"addresses.{name}", str(error).partition(": ")[2]) from None


def _check_firms(change: Change, content: Content) -> None:
    """A firm's plan is there, and a plan that goes has nobody on it."""
    on = Counter[str]()
    for firm, plan in change.firms.items():
        if not 0 <= firm < FIRM_LIMIT:
            raise ChangeError("firms", f"{firm} is no firm: a number under 2^33")
        if (old := content.firms.get(firm)) is not None:
            on[old] -= 1
        if plan is None:
            continue
        on[plan] += 1
        if change.plans.get(plan, content.plans.get(plan)) is None or change.plans.get(plan, "") is None:
            raise ChangeError(f"firms.{format_firm(firm)}", f"no plan {plan[:NAME]!r} in that revision")
    for name, figures in change.plans.items():
        if figures is None and (left := content.on[name] + on[name]) > 0:
            raise ChangeError(f"plans.{name}", f"{left} firms are on it")


def _grown(table: dict[Any, Any], new: dict[Any, Any], each: int = 0, row: int = 0) -> tuple[int, int]:
    """Entries and bytes that a table grows by; `each` where every entry has as many, `row`: rows that go with one."""
    entries = size = 0
    for key, value in new.items():
        for sign, one in ((1, value), (-1, table.get(key))):
            if one is not None:
                entries, size = (
                    entries + sign,
                    size + sign * (each or _named({key: one}) + row * (len(key.encode()) + ROW_BYTES)),
                )
    return entries, size


def _check_room(change: Change, content: Content, limits: Limits) -> None:
    entries, size = content.entries, content.size
    for more, bytes_more in (
        _grown(content.plans, change.plans, row=2),
        _grown(content.firms, change.firms, FIRM_BYTES),
        _grown(content.addresses, change.addresses),
    ):
        entries, size = entries + more, size + bytes_more
    what = "firms" if change.firms else "plans" if change.plans else "addresses"
    if entries > limits.entries and entries > content.entries:
        raise ChangeError(what, f"{entries} entries in that revision, {limits.entries} at most")
    if size > limits.size and size > content.size:
        raise ChangeError(what, f"{size} bytes in that revision, {limits.size} at most")
