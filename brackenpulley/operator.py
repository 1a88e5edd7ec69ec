"""The operator's file: what an installation switches on beside the platform's protocol. TOML; see deploy/."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .address import Address, ConfigError, address


@dataclass(slots=True, frozen=True)
class ServerPart:
    listen: Address
    header: str
    streams: int


@dataclass(slots=True, frozen=True)
class ClientPart:
    at: Address
    timeout: float
    fail_open: bool


@dataclass(slots=True, frozen=True)
class XdsPart:
    path: str
    cluster: str


@dataclass(slots=True, frozen=True)
class ControlPart:
    listen: Address | str  # a string is the path of a Unix socket


@dataclass(slots=True, frozen=True)
class PlansPart:
    snapshot: str


@dataclass(slots=True, frozen=True)
class ReservationsPart:
    most: int
    longest: float  # s
    grant: float  # s that a grant of the second front holds its units; 0 = grants are no reservations
    charge_grants: bool  # at its end a grant is charged as guessed; else its units are returned


@dataclass(slots=True, frozen=True)
class LeasePart:
    ahead: float  # s of a firm's recent use that is leased at a time
    idle: float  # s without use after which what is left is given back
    share_when_lost: bool  # without the counter a part of the plan for each ingress; else only what is held


@dataclass(slots=True, frozen=True)
class ExportPart:
    at: Address
    path: str
    batch: int
    timeout: float
    longest: float  # s between repeats at most


@dataclass(slots=True, frozen=True)
class LedgerPart:
    path: str
    period: float
    grace: float
    size: int  # bytes of the file at most
    sync: float  # s of use that a loss of power may cost; 0 = none
    refuse: bool  # while the store takes nothing new messages are turned away; else counted in memory
    backlog: int
    keep: int  # acknowledged entries that are kept for a replay
    export: ExportPart | None


@dataclass(slots=True, frozen=True)
class MembersPart:
    fleet: str  # members of another one are strangers, whatever their key
    listen: Address  # datagrams and streams
    seeds: tuple[str, ...]  # addresses; one of them is enough to join
    keys: str  # file: a key a line, base64, the one in use first
    most: int  # instances that there may be in all; 0 = not told
    advertise: str = ""  # where others reach it, if not at `listen`


@dataclass(slots=True, frozen=True)
class ConsensusPart:
    voters: tuple[tuple[str, str], ...]  # name and address of membership of each: those that begin the log
    path: str  # a voter's folder; "" = this process follows
    seal: str  # file beside it, on this host and in no backup; "" = as the folder, with .seal
    size: int  # bytes of the store at most


@dataclass(slots=True, frozen=True)
class MaintenancePart:
    out: int  # machines at once
    zone: int  # of one zone
    reserve: float  # of the measured load, on top of it
    bears: float  # attempts that a server of size 1 carries at once; 0 = load is no bound
    spread: int  # the least number of ingresses of a firm's set
    settle: float  # s for which one that returns must have carried load
    late: float  # s after which clearing and returning are stuck


@dataclass(slots=True, frozen=True)
class DrainsPart:
    limit: int  # connections that a sim server holds, of all processes together
    reserve: float  # part of it that is kept for processes that start
    at_once: int  # ingresses of a roll away together
    spread: int  # the least number of ingresses of a firm's set


@dataclass(slots=True, frozen=True)
class ConfigurationPart:
    path: str  # a copy of the revision in force on the own disk; "" = none is kept
    entries: int  # of one revision
    size: int  # bytes of a snapshot of one, at most
    change: int  # bytes of one change


@dataclass(slots=True, frozen=True)
class BodiesPart:
    longest: int = 32 << 20  # bytes of a client's body
    spool: str = ""  # a folder for what is kept for another attempt and has no room in memory; "" = it is not kept
    spool_size: int = 1 << 30  # bytes of all files there


@dataclass(slots=True, frozen=True)
class Operator:
    server: ServerPart | None = None
    client: ClientPart | None = None
    xds: XdsPart | None = None
    control: ControlPart | None = None
    plans: PlansPart | None = None
    reservations: ReservationsPart | None = None
    leases: LeasePart | None = None
    ledger: LedgerPart | None = None
    members: MembersPart | None = None
    consensus: ConsensusPart | None = None
    maintenance: MaintenancePart | None = None
    drains: DrainsPart | None = None
    configuration: ConfigurationPart | None = None
    seconds: bool = False  # one line of the log a second: what was counted in it
    bodies: BodiesPart = BodiesPart()


def _table(raw: Any, name: str, known: set[str]) -> dict[str, Any] | None:
    if raw is None:
        return None
    if not isinstance(raw, dict):
        raise ConfigError(f"{name}: not a table")
    for key in raw:
        if key not in known:
            raise ConfigError(f"{name}.{key}: no such setting")
    return raw


def _whole(table: dict[str, Any], name: str, key: str, default: int, least: int, most: int) -> int:
    value = table.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
        raise ConfigError(f"{name}.{key}: {value!r} is no whole number from {least} to {most}")
    return value


def _text(table: dict[str, Any], name: str, key: str, default: str = "") -> str:
    value = table.get(key, default)
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{name}.{key}: {value!r} is no text" if key in table else f"{name}.{key}: missing")
    return value


def _seconds(table: dict[str, Any], name: str, key: str, default: float, least: float, most: float) -> float:
    value = table.get(key, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not least <= value <= most:
        raise ConfigError(f"{name}.{key}: {value!r} is no number of seconds from {least:g} to {most:g}")
    return float(value)


def _choice(table: dict[str, Any], name: str, key: str, first: str, second: str) -> bool:
    """Whether it is the first one, which is also the default."""
    value = table.get(key, first)
    if value not in (first, second):
        raise ConfigError(f"{name}.{key}: {value!r} is neither {first!r} nor {second!r}")
    return bool(value == first)


def local(text: str, name: str) -> Address | str:
    """'127.0.0.1:9393' or 'unix:/run/x.sock': an address on this machine alone, or the path of a Unix socket."""
    if text.startswith("unix:"):
        path = text.removeprefix("unix:")
        if not path.startswith("/") or len(path.encode()) > 100:
            raise ConfigError(f"{name}: {text!r} is no absolute path of at most 100 bytes")
        return path
    at = address(text, name)
    if at[0] != "::1" and not at[0].startswith("127."):
        raise ConfigError(f"{name}: {text!r} is not an address of this machine alone (127.x.x.x, [::1] or unix:/path)")
    return at


def billing_address(url: str, name: str) -> tuple[Address, str]:
    """'http://127.0.0.1:9494/use' as an address and a path; names are not looked up."""
    host, slash, path = url.removeprefix("http://").partition("/")
    if not url.startswith("http://"):
        raise ConfigError(f"{name}: {url!r} is no http://address:port/path")
    return address(host, name), slash + path or "/"


def _export(raw: Any) -> ExportPart | None:
    name = "ledger.export"
    if (part := _table(raw, name, {"url", "batch", "timeout_s", "longest_wait_s"})) is None:
        return None
    at, path = billing_address(_text(part, name, "url"), f"{name}.url")
    return ExportPart(
        at,
        path,
        _whole(part, name, "batch", 100, 1, 1000),
        _seconds(part, name, "timeout_s", 5.0, 0.1, 60.0),
        _seconds(part, name, "longest_wait_s", 30.0, 0.1, 3600.0),
    )


def _ledger(raw: Any) -> LedgerPart | None:
    name = "ledger"
    part = _table(
        raw, name, {"path", "period_s", "grace_s", "size_mb", "sync_s", "on_failure", "backlog", "keep", "export"}
    )
    if part is None:
        return None
    return LedgerPart(
        _text(part, name, "path"),
        _seconds(part, name, "period_s", 60.0, 0.1, 3600.0),
        _seconds(part, name, "grace_s", 10.0, 0.0, 3600.0),
        _whole(part, name, "size_mb", 256, 1, 65536) << 20,
        _seconds(part, name, "sync_s", 1.0, 0.0, 60.0),
        not _choice(part, name, "on_failure", "serve", "refuse"),
        _whole(part, name, "backlog", 20_000, 10, 10_000_000),
        _whole(part, name, "keep", 1_000_000, 0, 100_000_000),
        _export(part.get("export")),
    )


def _reservations(raw: Any) -> ReservationsPart | None:
    name = "reservations"
    if (part := _table(raw, name, {"most", "longest_s", "grant_s", "grant_end"})) is None:
        return None
    return ReservationsPart(
        _whole(part, name, "most", 10_000, 1, 1_000_000),
        _seconds(part, name, "longest_s", 60.0, 0.1, 3600.0),
        _seconds(part, name, "grant_s", 10.0, 0.0, 3600.0),
        _choice(part, name, "grant_end", "charge", "return"),
    )


def _leases(raw: Any) -> LeasePart | None:
    name = "leases"
    if (part := _table(raw, name, {"ahead_s", "idle_s", "on_counter_loss"})) is None:
        return None
    return LeasePart(
        _seconds(part, name, "ahead_s", 1.0, 0.05, 10.0),
        _seconds(part, name, "idle_s", 1.0, 0.1, 10.0),
        not _choice(part, name, "on_counter_loss", "refuse", "share"),
    )


def _members(raw: Any) -> MembersPart | None:
    name = "members"
    if (part := _table(raw, name, {"fleet", "listen", "seeds", "keys", "most", "advertise"})) is None:
        return None
    seeds = part.get("seeds", [])
    if not isinstance(seeds, list):
        raise ConfigError(f"{name}.seeds: {seeds!r} is no list of addresses")
    for seed in seeds:
        address(seed, f"{name}.seeds")
    advertise = _text(part, name, "advertise") if "advertise" in part else ""
    if advertise:
        address(advertise, f"{name}.advertise")
    return MembersPart(
        _text(part, name, "fleet"),
        address(_text(part, name, "listen"), f"{name}.listen"),
        tuple(seeds),
        _text(part, name, "keys"),
        _whole(part, name, "most", 0, 0, 10_000),
        advertise,
    )


def _share(table: dict[str, Any], name: str, key: str, default: float, most: float) -> float:
    value = table.get(key, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= most:
        raise ConfigError(f"{name}.{key}: {value!r} is no number from 0 to {most:g}")
    return float(value)


def _consensus(raw: Any, members: MembersPart | None) -> ConsensusPart | None:
    name = "consensus"
    if (part := _table(raw, name, {"voters", "path", "seal", "size_mb"})) is None:
        return None
    if members is None:
        raise ConfigError(f"{name}: needs [members]: what voters say goes through it")
    voters = part.get("voters")
    if not isinstance(voters, dict) or not voters:
        raise ConfigError(f"{name}.voters: {voters!r} is no table of names and addresses")
    if len(voters) not in (1, 3, 5):
        raise ConfigError(f"{name}.voters: {len(voters)}; 1, 3 or 5")
    for voter, at in voters.items():
        address(at if isinstance(at, str) else "", f"{name}.voters.{voter}")
    if len(set(voters.values())) < len(voters):
        raise ConfigError(f"{name}.voters: an address twice")
    return ConsensusPart(
        tuple(sorted(voters.items())),
        _text(part, name, "path") if "path" in part else "",
        _text(part, name, "seal") if "seal" in part else "",
        _whole(part, name, "size_mb", 64, 1, 4096) << 20,
    )


def _maintenance(raw: Any, consensus: ConsensusPart | None) -> MaintenancePart | None:
    name = "maintenance"
    part = _table(raw, name, {"out", "zone", "reserve", "bears", "spread", "settle_s", "late_s"})
    if part is None:
        return None
    if consensus is None:
        raise ConfigError(f"{name}: needs [consensus]: the order is agreed there")
    return MaintenancePart(
        _whole(part, name, "out", 1, 1, 1000),
        _whole(part, name, "zone", 1, 1, 1000),
        _share(part, name, "reserve", 0.25, 10.0),
        _share(part, name, "bears", 0.0, 1e6),
        _whole(part, name, "spread", 2, 1, 1000),
        _seconds(part, name, "settle_s", 10.0, 0.0, 3600.0),
        _seconds(part, name, "late_s", 300.0, 0.1, 86400.0),
    )


def _drains(raw: Any, consensus: ConsensusPart | None) -> DrainsPart | None:
    name = "drains"
    if (part := _table(raw, name, {"limit", "reserve", "at_once", "spread"})) is None:
        return None
    if consensus is None:
        raise ConfigError(f"{name}: needs [consensus]: the shares of a limit are agreed there")
    if "limit" not in part:
        raise ConfigError(f"{name}.limit: missing")
    return DrainsPart(
        _whole(part, name, "limit", 0, 2, 100_000),
        _share(part, name, "reserve", 0.1, 0.5),
        _whole(part, name, "at_once", 1, 1, 1000),
        _whole(part, name, "spread", 2, 1, 1000),
    )


def _configuration(raw: Any, consensus: ConsensusPart | None, plans: PlansPart | None) -> ConfigurationPart | None:
    name = "configuration"
    if (part := _table(raw, name, {"path", "most_entries", "most_kb", "change_kb"})) is None:
        return None
    if consensus is None:
        raise ConfigError(f"{name}: needs [consensus]: revisions are agreed there")
    if plans is not None:
        raise ConfigError(f"{name}: not with [plans]: which plan a firm is on would have two books")
    # With what takes changes back, 196 KB: what a process that starts anew can be told in 14 s at 14 KB a second.
    size, change = _whole(part, name, "most_kb", 184, 1, 184), _whole(part, name, "change_kb", 12, 1, 12)
    if change > size:
        raise ConfigError(f"{name}.change_kb: {change} is over {name}.most_kb, {size}")
    return ConfigurationPart(
        _text(part, name, "path") if "path" in part else "",
        _whole(part, name, "most_entries", 50_000, 1, 100_000),
        size * 1000,
        change * 1000,
    )


def _bodies(raw: Any) -> BodiesPart:
    name = "bodies"
    part = _table(raw, name, {"longest_mb", "spool", "spool_mb"}) or {}
    spool = _text(part, name, "spool") if "spool" in part else ""
    if "spool_mb" in part and not spool:
        raise ConfigError(f"{name}.spool: missing, and {name}.spool_mb is set")
    return BodiesPart(
        _whole(part, name, "longest_mb", 32, 1, 4096) << 20,
        spool,
        _whole(part, name, "spool_mb", 1024, 1, 1 << 20) << 20,
    )


def decode(raw: dict[str, Any]) -> Operator:
    top = (
        _table(
            raw,
            "operator",
            {
                "authz",
                "xds",
                "control",
                "plans",
                "reservations",
                "leases",
                "ledger",
                "members",
                "log",
                "bodies",
                "consensus",
                "maintenance",
                "drains",
                "configuration",
            },
        )
        or {}
    )
    authz = _table(top.get("authz"), "authz", {"server", "client"}) or {}
    server = client = xds = None
    name = "authz.server"
    if (part := _table(authz.get("server"), name, {"listen", "endpoint_header", "max_streams"})) is not None:
        header = _text(part, name, "endpoint_header", "x-envoy-original-dst-host").lower()
        if not header.replace("-", "").isalnum() or not header.isascii():
            raise ConfigError(f"{name}.endpoint_header: {header!r} is no header's name")
        server = ServerPart(
            address(_text(part, name, "listen"), f"{name}.listen"),
            header,
            _whole(part, name, "max_streams", 128, 1, 1024),
        )
    name = "authz.client"
    if (part := _table(authz.get("client"), name, {"address", "timeout_ms", "on_failure"})) is not None:
        failure = _text(part, name, "on_failure", "deny")
        if failure not in ("deny", "allow"):
            raise ConfigError(f'{name}.on_failure: {failure!r} is neither "deny" nor "allow"')
        client = ClientPart(
            address(_text(part, name, "address"), f"{name}.address"),
            _whole(part, name, "timeout_ms", 250, 1, 3_600_000) / 1000,
            failure == "allow",
        )
    if (part := _table(top.get("xds"), "xds", {"path", "cluster"})) is not None:
        xds = XdsPart(_text(part, "xds", "path"), _text(part, "xds", "cluster"))
    control = plans = None
    if (part := _table(top.get("control"), "control", {"listen"})) is not None:
        control = ControlPart(local(_text(part, "control", "listen"), "control.listen"))
    if (part := _table(top.get("plans"), "plans", {"snapshot"})) is not None:
        plans = PlansPart(_text(part, "plans", "snapshot"))
    log = _table(top.get("log"), "log", {"seconds"}) or {}
    if not isinstance(seconds := log.get("seconds", False), bool):
        raise ConfigError(f"log.seconds: {seconds!r} is neither true nor false")
    members = _members(top.get("members"))
    consensus = _consensus(top.get("consensus"), members)
    return Operator(
        server,
        client,
        xds,
        control,
        plans,
        _reservations(top.get("reservations")),
        _leases(top.get("leases")),
        _ledger(top.get("ledger")),
        members,
        consensus,
        _maintenance(top.get("maintenance"), consensus),
        _drains(top.get("drains"), consensus),
        _configuration(top.get("configuration"), consensus, plans),
        seconds,
        _bodies(top.get("bodies")),
    )


def decode_text(text: str, name: str) -> Operator:
    """TOML; `name` is the file that it is from."""
    import tomllib  # an ingress with no such file has no use for it

    try:
        return decode(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"BALANCER_OPERATOR: {name}: not TOML: {error}") from None


def load(path: str) -> Operator:
    try:
        with open(path, encoding="utf-8") as file:
            return decode_text(file.read(), path)
    except OSError as error:
        raise ConfigError(f"BALANCER_OPERATOR: {path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigError(f"BALANCER_OPERATOR: {path}: not TOML: {error}") from None
