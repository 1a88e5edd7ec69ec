"""The operator's file (TOML), which switches on the optional parts of an ingress; see the examples in deploy/.

Each table of the file has a class of options here. Errors are ConfigError, each one line that names the setting.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .address import Address, ConfigError, parse_address


@dataclass(slots=True, frozen=True)
class AuthzServerOptions:
    """The server of Envoy's external authorisation API ([authz.server])."""

    listen: Address
    endpoint_header: str  # name of the header that gives the chosen server's address
    max_streams: int  # at once on one connection


@dataclass(slots=True, frozen=True)
class AuthzClientOptions:
    """The external authorisation service that is asked about messages ([authz.client])."""

    address: Address
    timeout_seconds: float
    fail_open: bool  # whether messages pass while the service does not answer


@dataclass(slots=True, frozen=True)
class XdsOptions:
    """A file of xDS resources that lists the sim servers in place of discovery ([xds])."""

    path: str
    cluster: str  # name of the cluster whose endpoints are used


@dataclass(slots=True, frozen=True)
class ControlOptions:
    """The control API ([control])."""

    listen: Address | str  # a string is the path of a Unix socket


@dataclass(slots=True, frozen=True)
class PlansOptions:
    """The book of firms' plans ([plans])."""

    snapshot: str  # path of the file that holds the book


@dataclass(slots=True, frozen=True)
class ReservationsOptions:
    """Reservations of units ([reservations])."""

    max_reservations: int  # held at once
    max_lifetime_seconds: float
    grant_lifetime_seconds: float  # for which a grant of the authorisation API holds its units; 0 = it reserves none
    charge_grants: bool  # an expired grant is charged its estimated units; else they are returned


@dataclass(slots=True, frozen=True)
class LeasesOptions:
    """Leases of units from the quota counter ([leases])."""

    prefetch_seconds: float  # of a firm's recent use, leased at a time
    idle_seconds: float  # without use, after which the rest of a lease is returned
    share_on_counter_loss: bool  # without the counter each ingress uses a share of the plan; else only what it holds


@dataclass(slots=True, frozen=True)
class ExportOptions:
    """The upload of ledger entries to a billing service ([ledger.export])."""

    address: Address
    path: str
    batch_size: int  # entries
    timeout_seconds: float
    max_backoff_seconds: float  # between retries


@dataclass(slots=True, frozen=True)
class LedgerOptions:
    """The ledger of use ([ledger])."""

    path: str
    period_seconds: float  # that one entry sums up
    grace_seconds: float  # after a period's end in which late use still counts towards it
    max_store_bytes: int
    sync_interval_seconds: float  # of use that a power failure may lose; 0 = none
    refuse_on_failure: bool  # refuse new messages while the store cannot be written; else count in memory
    max_backlog: int  # unacknowledged entries; each multiple of this many doubles the period
    kept_entries: int  # acknowledged ones, kept for a replay
    export: ExportOptions | None


@dataclass(slots=True, frozen=True)
class MembersOptions:
    """The membership protocol between ingresses ([members])."""

    fleet: str  # members of another fleet are ignored, even with the same key
    listen: Address  # for datagrams and streams
    seeds: tuple[str, ...]  # addresses of members to join through; one that answers is enough
    key_file: str  # one base64 key a line; the first one encrypts
    max_instances: int  # bound on the fleet's size; 0 = unknown
    advertised_address: str = ""  # where other members reach this one, if not at `listen`


@dataclass(slots=True, frozen=True)
class ConsensusOptions:
    """The replicated log ([consensus])."""

    voters: tuple[tuple[str, str], ...]  # name and membership address of each voter of a new log
    directory: str  # of a voter's store; "" = this process is a follower
    seal_path: str  # file beside it, on this host and in no backup; "" = the directory's name with .seal
    max_store_bytes: int


@dataclass(slots=True, frozen=True)
class MaintenanceOptions:
    """The order of machines' maintenance ([maintenance])."""

    max_machines_out: int  # at once
    max_machines_out_per_zone: int
    load_reserve: float  # capacity kept free, as a fraction of the measured load
    attempts_per_server: float  # that a server of size 1 carries at once; 0 = load is no bound
    min_spread: int  # the least number of ingresses that a firm is spread over
    settle_seconds: float  # for which a returning machine must have carried load
    stuck_after_seconds: float  # of draining or returning


@dataclass(slots=True, frozen=True)
class DrainsOptions:
    """The shares of servers' connection limits, and rolling restarts of ingresses ([drains])."""

    connection_limit: int  # connections that a sim server accepts, of all processes together
    startup_reserve: float  # fraction of it that is kept for processes that start
    max_ingresses_away: int  # at once in a rolling restart
    min_spread: int  # the least number of ingresses that a firm is spread over


@dataclass(slots=True, frozen=True)
class ConfigurationOptions:
    """Revisions of the configuration that all ingresses agree on ([configuration])."""

    copy_path: str  # of a local copy of the revision in force; "" = none is kept
    max_entries: int  # of one revision
    max_snapshot_bytes: int  # of one revision
    max_change_bytes: int  # of one change


@dataclass(slots=True, frozen=True)
class BodiesOptions:
    """Message bodies of clients ([bodies])."""

    max_body_bytes: int = 32 << 20
    spool_directory: str = ""  # for bodies that are kept for another attempt and exceed memory; "" = they are not kept
    max_spool_bytes: int = 1 << 30  # of all files there


@dataclass(slots=True, frozen=True)
class OperatorOptions:
    """The operator's file; a part that is None is off."""

    server: AuthzServerOptions | None = None
    client: AuthzClientOptions | None = None
    xds: XdsOptions | None = None
    control: ControlOptions | None = None
    plans: PlansOptions | None = None
    reservations: ReservationsOptions | None = None
    leases: LeasesOptions | None = None
    ledger: LedgerOptions | None = None
    members: MembersOptions | None = None
    consensus: ConsensusOptions | None = None
    maintenance: MaintenanceOptions | None = None
    drains: DrainsOptions | None = None
    configuration: ConfigurationOptions | None = None
    seconds: bool = False  # whether each second's counts are logged in one line
    bodies: BodiesOptions = BodiesOptions()


def _table(raw: Any, name: str, known: set[str]) -> dict[str, Any] | None:
    """Return table `name` after checking its keys; None where the file does not have it."""
    if raw is None:
        return None
    if not isinstance(raw, dict):
        raise ConfigError(f"{name}: not a table")
    for key in raw:
        if key not in known:
            raise ConfigError(f"{name}.{key}: no such setting")
    return raw


def _integer(table: dict[str, Any], name: str, key: str, default: int, least: int, most: int) -> int:
    """Return setting `name`.`key`, an integer from `least` to `most`."""
    value = table.get(key, default)
    if not isinstance(value, int) or isinstance(value, bool) or not least <= value <= most:
        raise ConfigError(f"{name}.{key}: {value!r} is not an integer from {least} to {most}")
    return value


def _text(table: dict[str, Any], name: str, key: str, default: str = "") -> str:
    """Return setting `name`.`key`, a string that is not empty."""
    value = table.get(key, default)
    if not isinstance(value, str) or not value:
        raise ConfigError(
            f"{name}.{key}: {value!r} is not a non-empty string" if key in table else f"{name}.{key}: missing"
        )
    return value


def _seconds(table: dict[str, Any], name: str, key: str, default: float, least: float, most: float) -> float:
    """Return setting `name`.`key`, a number of seconds from `least` to `most`."""
    value = table.get(key, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not least <= value <= most:
        raise ConfigError(f"{name}.{key}: {value!r} is not a number of seconds from {least:g} to {most:g}")
    return float(value)


def _is_first_choice(table: dict[str, Any], name: str, key: str, first: str, second: str) -> bool:
    """Return whether setting `name`.`key` is `first`, which is also the default, rather than `second`."""
    value = table.get(key, first)
    if value not in (first, second):
        raise ConfigError(f"{name}.{key}: {value!r} is neither {first!r} nor {second!r}")
    return bool(value == first)


def parse_local_address(text: str, name: str) -> Address | str:
    """Parse '127.0.0.1:9393' or 'unix:/run/x.sock': a loopback address, or the path of a Unix socket.

    Raises ConfigError, which names the setting `name`, for any other address.
    """
    if text.startswith("unix:"):
        path = text.removeprefix("unix:")
        if not path.startswith("/") or len(path.encode()) > 100:
            raise ConfigError(f"{name}: {text!r} is not an absolute path of at most 100 bytes")
        return path
    address = parse_address(text, name)
    if address[0] != "::1" and not address[0].startswith("127."):
        raise ConfigError(f"{name}: {text!r} is not a loopback address (127.x.x.x, [::1] or unix:/path)")
    return address


def parse_billing_url(url: str, name: str) -> tuple[Address, str]:
    """Split 'http://127.0.0.1:9494/use' into an address and a path; host names are not resolved.

    Raises ConfigError, which names the setting `name`, for any other URL.
    """
    host, slash, path = url.removeprefix("http://").partition("/")
    if not url.startswith("http://"):
        raise ConfigError(f"{name}: {url!r} is not of the form http://address:port/path")
    return parse_address(host, name), slash + path or "/"


def _export(raw: Any) -> ExportOptions | None:
    name = "ledger.export"
    if (table := _table(raw, name, {"url", "batch", "timeout_s", "longest_wait_s"})) is None:
        return None
    address, path = parse_billing_url(_text(table, name, "url"), f"{name}.url")
    return ExportOptions(
        address,
        path,
        _integer(table, name, "batch", 100, 1, 1000),
        _seconds(table, name, "timeout_s", 5.0, 0.1, 60.0),
        _seconds(table, name, "longest_wait_s", 30.0, 0.1, 3600.0),
    )


def _ledger(raw: Any) -> LedgerOptions | None:
    name = "ledger"
    table = _table(
        raw, name, {"path", "period_s", "grace_s", "size_mb", "sync_s", "on_failure", "backlog", "keep", "export"}
    )
    if table is None:
        return None
    return LedgerOptions(
        _text(table, name, "path"),
        _seconds(table, name, "period_s", 60.0, 0.1, 3600.0),
        _seconds(table, name, "grace_s", 10.0, 0.0, 3600.0),
        _integer(table, name, "size_mb", 256, 1, 65536) << 20,
        _seconds(table, name, "sync_s", 1.0, 0.0, 60.0),
        not _is_first_choice(table, name, "on_failure", "serve", "refuse"),
        _integer(table, name, "backlog", 20_000, 10, 10_000_000),
        _integer(table, name, "keep", 1_000_000, 0, 100_000_000),
        _export(table.get("export")),
    )


def _reservations(raw: Any) -> ReservationsOptions | None:
    name = "reservations"
    if (table := _table(raw, name, {"most", "longest_s", "grant_s", "grant_end"})) is None:
        return None
    return ReservationsOptions(
        _integer(table, name, "most", 10_000, 1, 1_000_000),
        _seconds(table, name, "longest_s", 60.0, 0.1, 3600.0),
        _seconds(table, name, "grant_s", 10.0, 0.0, 3600.0),
        _is_first_choice(table, name, "grant_end", "charge", "return"),
    )


def _leases(raw: Any) -> LeasesOptions | None:
    name = "leases"
    if (table := _table(raw, name, {"ahead_s", "idle_s", "on_counter_loss"})) is None:
        return None
    return LeasesOptions(
        _seconds(table, name, "ahead_s", 1.0, 0.05, 10.0),
        _seconds(table, name, "idle_s", 1.0, 0.1, 10.0),
        not _is_first_choice(table, name, "on_counter_loss", "refuse", "share"),
    )


def _members(raw: Any) -> MembersOptions | None:
    name = "members"
    if (table := _table(raw, name, {"fleet", "listen", "seeds", "keys", "most", "advertise"})) is None:
        return None
    seeds = table.get("seeds", [])
    if not isinstance(seeds, list):
        raise ConfigError(f"{name}.seeds: {seeds!r} is not a list of addresses")
    for seed in seeds:
        parse_address(seed, f"{name}.seeds")
    advertise = _text(table, name, "advertise") if "advertise" in table else ""
    if advertise:
        parse_address(advertise, f"{name}.advertise")
    return MembersOptions(
        _text(table, name, "fleet"),
        parse_address(_text(table, name, "listen"), f"{name}.listen"),
        tuple(seeds),
        _text(table, name, "keys"),
        _integer(table, name, "most", 0, 0, 10_000),
        advertise,
    )


def _ratio(table: dict[str, Any], name: str, key: str, default: float, most: float) -> float:
    """Return setting `name`.`key`, a number from 0 to `most`."""
    value = table.get(key, default)
    if not isinstance(value, int | float) or isinstance(value, bool) or not 0 <= value <= most:
        raise ConfigError(f"{name}.{key}: {value!r} is not a number from 0 to {most:g}")
    return float(value)


def _consensus(raw: Any, members: MembersOptions | None) -> ConsensusOptions | None:
    name = "consensus"
    if (table := _table(raw, name, {"voters", "path", "seal", "size_mb"})) is None:
        return None
    if members is None:
        raise ConfigError(f"{name}: needs [members]: voters communicate through it")
    voters = table.get("voters")
    if not isinstance(voters, dict) or not voters:
        raise ConfigError(f"{name}.voters: {voters!r} is no table of names and addresses")
    if len(voters) not in (1, 3, 5):
        raise ConfigError(f"{name}.voters: {len(voters)}; 1, 3 or 5")
    for voter, address in voters.items():
        parse_address(address if isinstance(address, str) else "", f"{name}.voters.{voter}")
    if len(set(voters.values())) < len(voters):
        raise ConfigError(f"{name}.voters: an address twice")
    return ConsensusOptions(
        tuple(sorted(voters.items())),
        _text(table, name, "path") if "path" in table else "",
        _text(table, name, "seal") if "seal" in table else "",
        _integer(table, name, "size_mb", 64, 1, 4096) << 20,
    )


def _maintenance(raw: Any, consensus: ConsensusOptions | None) -> MaintenanceOptions | None:
    name = "maintenance"
    table = _table(raw, name, {"out", "zone", "reserve", "bears", "spread", "settle_s", "late_s"})
    if table is None:
        return None
    if consensus is None:
        raise ConfigError(f"{name}: needs [consensus]: the order of maintenance is agreed there")
    return MaintenanceOptions(
        _integer(table, name, "out", 1, 1, 1000),
        _integer(table, name, "zone", 1, 1, 1000),
        _ratio(table, name, "reserve", 0.25, 10.0),
        _ratio(table, name, "bears", 0.0, 1e6),
        _integer(table, name, "spread", 2, 1, 1000),
        _seconds(table, name, "settle_s", 10.0, 0.0, 3600.0),
        _seconds(table, name, "late_s", 300.0, 0.1, 86400.0),
    )


def _drains(raw: Any, consensus: ConsensusOptions | None) -> DrainsOptions | None:
    name = "drains"
    if (table := _table(raw, name, {"limit", "reserve", "at_once", "spread"})) is None:
        return None
    if consensus is None:
        raise ConfigError(f"{name}: needs [consensus]: the shares of the connection limit are agreed there")
    if "limit" not in table:
        raise ConfigError(f"{name}.limit: missing")
    return DrainsOptions(
        _integer(table, name, "limit", 0, 2, 100_000),
        _ratio(table, name, "reserve", 0.1, 0.5),
        _integer(table, name, "at_once", 1, 1, 1000),
        _integer(table, name, "spread", 2, 1, 1000),
    )


def _configuration(
    raw: Any, consensus: ConsensusOptions | None, plans: PlansOptions | None
) -> ConfigurationOptions | None:
    name = "configuration"
    if (table := _table(raw, name, {"path", "most_entries", "most_kb", "change_kb"})) is None:
        return None
    if consensus is None:
        raise ConfigError(f"{name}: needs [consensus]: revisions are agreed there")
    if plans is not None:
        raise ConfigError(f"{name}: not with [plans]: firms' plans would have two sources")
    # With the entries that revert changes, a snapshot of this size takes 196 KB, which a process that starts
    # receives in 14 s at 14 KB/s.
    max_kb, change_kb = _integer(table, name, "most_kb", 184, 1, 184), _integer(table, name, "change_kb", 12, 1, 12)
    if change_kb > max_kb:
        raise ConfigError(f"{name}.change_kb: {change_kb} is over {name}.most_kb, {max_kb}")
    return ConfigurationOptions(
        _text(table, name, "path") if "path" in table else "",
        _integer(table, name, "most_entries", 50_000, 1, 100_000),
        max_kb * 1000,
        change_kb * 1000,
    )


def _bodies(raw: Any) -> BodiesOptions:
    name = "bodies"
    table = _table(raw, name, {"longest_mb", "spool", "spool_mb"}) or {}
    spool = _text(table, name, "spool") if "spool" in table else ""
    if "spool_mb" in table and not spool:
        raise ConfigError(f"{name}.spool: missing, and {name}.spool_mb is set")
    return BodiesOptions(
        _integer(table, name, "longest_mb", 32, 1, 4096) << 20,
        spool,
        _integer(table, name, "spool_mb", 1024, 1, 1 << 20) << 20,
    )


def decode(raw: dict[str, Any]) -> OperatorOptions:
    """Decode a parsed operator's file. Raises ConfigError where a setting is missing, wrong or unknown."""
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
    if (table := _table(authz.get("server"), name, {"listen", "endpoint_header", "max_streams"})) is not None:
        header = _text(table, name, "endpoint_header", "x-envoy-original-dst-host").lower()
        if not header.replace("-", "").isalnum() or not header.isascii():
            raise ConfigError(f"{name}.endpoint_header: {header!r} is not a header name")
        server = AuthzServerOptions(
            parse_address(_text(table, name, "listen"), f"{name}.listen"),
            header,
            _integer(table, name, "max_streams", 128, 1, 1024),
        )
    name = "authz.client"
    if (table := _table(authz.get("client"), name, {"address", "timeout_ms", "on_failure"})) is not None:
        failure = _text(table, name, "on_failure", "deny")
        if failure not in ("deny", "allow"):
            raise ConfigError(f'{name}.on_failure: {failure!r} is neither "deny" nor "allow"')
        client = AuthzClientOptions(
            parse_address(_text(table, name, "address"), f"{name}.address"),
            _integer(table, name, "timeout_ms", 250, 1, 3_600_000) / 1000,
            failure == "allow",
        )
    if (table := _table(top.get("xds"), "xds", {"path", "cluster"})) is not None:
        xds = XdsOptions(_text(table, "xds", "path"), _text(table, "xds", "cluster"))
    control = plans = None
    if (table := _table(top.get("control"), "control", {"listen"})) is not None:
        control = ControlOptions(parse_local_address(_text(table, "control", "listen"), "control.listen"))
    if (table := _table(top.get("plans"), "plans", {"snapshot"})) is not None:
        plans = PlansOptions(_text(table, "plans", "snapshot"))
    log = _table(top.get("log"), "log", {"seconds"}) or {}
    if not isinstance(seconds := log.get("seconds", False), bool):
        raise ConfigError(f"log.seconds: {seconds!r} is neither true nor false")
    members = _members(top.get("members"))
    consensus = _consensus(top.get("consensus"), members)
    return OperatorOptions(
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


def decode_text(text: str, name: str) -> OperatorOptions:
    """Decode the TOML text of the operator's file called `name`. Raises ConfigError where it cannot be used."""
    import tomllib  # not imported by an ingress without such a file

    try:
        return decode(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise ConfigError(f"BALANCER_OPERATOR: {name}: not TOML: {error}") from None


def load(path: str) -> OperatorOptions:
    """Read the operator's file at `path`. Raises ConfigError where it cannot be read or used."""
    try:
        with open(path, encoding="utf-8") as file:
            return decode_text(file.read(), path)
    except OSError as error:
        raise ConfigError(f"BALANCER_OPERATOR: {path}: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise ConfigError(f"BALANCER_OPERATOR: {path}: not TOML: {error}") from None
