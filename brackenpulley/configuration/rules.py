"""Changes to the agreed configuration: keyed entries on top of the previous revision, checked as a whole. No I/O.

    kind       | key                      | value
    -----------+--------------------------+------------------------------------------------------------------
    plans      | the plan's name          | figures, as in the plan book
    firms      | a number under 2^33      | the firm's plan, which the agreed configuration itself must hold
    addresses  | discovery, counter       | address:port

A value of None removes the entry, so that the file's setting applies again. Only these settings can change while a
daemon runs; all others need a new file and a restart. `check` depends only on the change and the previous content, so
it decides alike on every process, whatever the process's own file says.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..address import ConfigError, parse_address
from ..plans.book import FIRM_LIMIT, Figures, PlanChangeError, build_plan_spec, format_firm

ADDRESS_NAMES = ("counter", "discovery")
MAX_NAME_CHARS = 64
MAX_NOTE_CHARS = 200
FIRM_BYTES = 4  # upper bound of one firm in a snapshot (wire.pack)
GROUP_BYTES = 30  # upper bound, beyond the plan's name, of one group of firms in a snapshot; a plan has up to two
# Hard limits, the same on every process; the settings may set lower ones. A starting process receives the whole content
# and the undo history (`revisions.MAX_HISTORY_BYTES`): 196 KB take 14 s at 14 KB/s.
MAX_ENTRIES = 100_000
MAX_SNAPSHOT_BYTES = 184_000
MAX_CHANGE_BYTES = 12_000


class ChangeError(ValueError):
    """The change is rejected; `field` names the wrong field and `text` says in one line what is wrong."""

    def __init__(self, field: str, text: str) -> None:
        super().__init__(f"{field}: {text}")
        self.field, self.text = field, text


class Change(msgspec.Struct, frozen=True, array_like=True):
    """A change on top of revision `base`, which becomes revision `base` + 1."""

    base: int
    by: str
    plans: dict[str, Figures | None] = {}
    firms: dict[int, str | None] = {}
    addresses: dict[str, str | None] = {}
    note: str = ""

    @property
    def entry_count(self) -> int:
        """Number of entries that the change sets or removes."""
        return len(self.plans) + len(self.firms) + len(self.addresses)


@dataclass(slots=True, frozen=True)
class Limits:
    """Limits on a revision; the settings may lower them."""

    max_entries: int = MAX_ENTRIES
    max_snapshot_bytes: int = MAX_SNAPSHOT_BYTES  # as `Content.size_bytes` counts them
    max_change_bytes: int = MAX_CHANGE_BYTES  # of one encoded change


HARD_LIMITS = Limits()
encode_msgpack = msgspec.msgpack.Encoder().encode


@dataclass(slots=True)
class Content:
    """All entries of one revision."""

    plans: dict[str, Figures] = field(default_factory=dict)
    firms: dict[int, str] = field(default_factory=dict)
    addresses: dict[str, str] = field(default_factory=dict)
    firm_counts: Counter[str] = field(default_factory=Counter)  # number of firms by plan

    @property
    def entry_count(self) -> int:
        """Number of entries."""
        return len(self.plans) + len(self.firms) + len(self.addresses)

    @property
    def size_bytes(self) -> int:
        """Upper bound of the encoded size in a snapshot."""
        return (
            len(self.firms) * FIRM_BYTES
            + _encoded_bytes(self.plans)
            + _encoded_bytes(self.addresses)
            + sum(2 * (len(name.encode()) + GROUP_BYTES) for name in self.plans)
        )

    def apply(self, change: Change) -> None:
        """Apply a change that `check` has passed."""
        for name, figures in change.plans.items():
            _set_or_remove(self.plans, name, figures)
        for firm, plan in change.firms.items():
            if (old := self.firms.get(firm)) is not None:
                self.firm_counts[old] -= 1
            if plan is not None:
                self.firm_counts[plan] += 1
            _set_or_remove(self.firms, firm, plan)
        for name, address in change.addresses.items():
            _set_or_remove(self.addresses, name, address)
        self.firm_counts += Counter()  # drops the plans that no firm is on

    def undo(self, change: Change) -> Change:
        """Return the change that undoes `change`, based on the revision that `change` makes."""
        return Change(
            change.base + 1,
            "",
            {name: self.plans.get(name) for name in change.plans},
            {firm: self.firms.get(firm) for firm in change.firms},
            {name: self.addresses.get(name) for name in change.addresses},
        )

    def copy(self) -> Content:
        """Return a copy whose tables are independent of this one."""
        return Content(dict(self.plans), dict(self.firms), dict(self.addresses), Counter(self.firm_counts))

    def recount_firms(self) -> None:
        """Recompute `firm_counts` from `firms`."""
        self.firm_counts = Counter(self.firms.values())


def _set_or_remove(table: dict[Any, Any], key: Any, value: Any) -> None:
    if value is None:
        table.pop(key, None)
    else:
        table[key] = value


def _encoded_bytes(table: dict[str, Any]) -> int:
    return sum(len(key.encode()) + len(encode_msgpack(value)) + 3 for key, value in table.items())


def check(change: Change, content: Content, limits: Limits = HARD_LIMITS) -> None:
    """Check a change against the content before it. Raises ChangeError that names the first wrong field."""
    if not 0 < len(change.by) <= MAX_NAME_CHARS:
        raise ChangeError("by", f"who changes it, 1 to {MAX_NAME_CHARS} characters")
    if len(change.note) > MAX_NOTE_CHARS:
        raise ChangeError("note", f"{len(change.note)} characters, {MAX_NOTE_CHARS} at most")
    if not change.entry_count:
        raise ChangeError("plans", "no change of plans, firms or addresses")
    for size, what in (
        (len(encode_msgpack(change)), "the change"),
        (len(encode_msgpack(content.undo(change))), "what takes it back"),  # else the revision could not be reverted
    ):
        if size > limits.max_change_bytes:
            raise ChangeError(
                "firms" if change.firms else "plans",
                f"{what} has {size} bytes, {limits.max_change_bytes} at most: make several of it",
            )
    for name, figures in change.plans.items():
        _check_plan(name, figures)
    for name, address in change.addresses.items():
        if name not in ADDRESS_NAMES:
            raise ChangeError(
                f"addresses.{name[:MAX_NAME_CHARS]}", f"no such entry; there are {', '.join(ADDRESS_NAMES)}"
            )
        if address is not None:
            _check_address(name, address)
    _check_firms(change, content)
    _check_limits(change, content, limits)


def _check_plan(name: str, figures: Figures | None) -> None:
    if not 0 < len(name) <= MAX_NAME_CHARS or not name.isprintable():
        raise ChangeError("plans", f"{name[:MAX_NAME_CHARS]!r} is no plan's name")
    if figures is not None:
        try:
            build_plan_spec(name, figures)
        except PlanChangeError as error:
            raise ChangeError(
                f"plans.{name}.{error.field.removeprefix('figures').lstrip('.') or 'figures'}", error.text
            ) from None


def _check_address(name: str, address: str) -> None:
    try:
        host, port = parse_address(address, f"addresses.{name}")
        if not port or len(address) > MAX_NAME_CHARS:
            raise ConfigError(f"addresses.{name}: {address[:MAX_NAME_CHARS]!r} is no address:port")
    except ConfigError as error:
        raise ChangeError(f"addresses.{name}", str(error).partition(": ")[2]) from None


def _check_firms(change: Change, content: Content) -> None:
    """Check that each firm's plan exists and that no firm is on a plan that is removed."""
    count_changes = Counter[str]()
    for firm, plan in change.firms.items():
        if not 0 <= firm < FIRM_LIMIT:
            raise ChangeError("firms", f"{firm} is no firm: a number under 2^33")
        if (old := content.firms.get(firm)) is not None:
            count_changes[old] -= 1
        if plan is None:
            continue
        count_changes[plan] += 1
        if change.plans.get(plan, content.plans.get(plan)) is None or change.plans.get(plan, "") is None:
            raise ChangeError(f"firms.{format_firm(firm)}", f"no plan {plan[:MAX_NAME_CHARS]!r} in that revision")
    for name, figures in change.plans.items():
        if figures is None and (left := content.firm_counts[name] + count_changes[name]) > 0:
            raise ChangeError(f"plans.{name}", f"{left} firms are on it")


def _growth(table: dict[Any, Any], new: dict[Any, Any], fixed_bytes: int = 0, group_count: int = 0) -> tuple[int, int]:
    """Return by how many entries and bytes a table grows.

    `fixed_bytes` is the size of every entry where all have the same one; `group_count` is the number of groups of firms
    that go with an entry.
    """
    entries = size = 0
    for key, value in new.items():
        for sign, one in ((1, value), (-1, table.get(key))):
            if one is not None:
                entries, size = (
                    entries + sign,
                    size
                    + sign
                    * (fixed_bytes or _encoded_bytes({key: one}) + group_count * (len(key.encode()) + GROUP_BYTES)),
                )
    return entries, size


def _check_limits(change: Change, content: Content, limits: Limits) -> None:
    """Check the limits on entries and bytes; a change that does not grow the content always passes."""
    entries, size = content.entry_count, content.size_bytes
    for more_entries, more_bytes in (
        _growth(content.plans, change.plans, group_count=2),
        _growth(content.firms, change.firms, FIRM_BYTES),
        _growth(content.addresses, change.addresses),
    ):
        entries, size = entries + more_entries, size + more_bytes
    field_name = "firms" if change.firms else "plans" if change.plans else "addresses"
    if entries > limits.max_entries and entries > content.entry_count:
        raise ChangeError(field_name, f"{entries} entries in that revision, {limits.max_entries} at most")
    if size > limits.max_snapshot_bytes and size > content.size_bytes:
        raise ChangeError(field_name, f"{size} bytes in that revision, {limits.max_snapshot_bytes} at most")
