"""The rows of the page: what each role needs, what it may, and what carries it. Figures come from `line.At` alone.

A row's `source` says who names its limit: the letter (the operators' size), the issue (5 ms for a turn of the loop),
    the
platform (its standing gate), the program (a constant of ours beyond which something is refused or cut), an assumption
(listed on the page)."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .line import ASSUMED, At

BYTES, CORE, MEMORY, TURN, MS = 14_000.0, 2.0, 32.0, 5.0, 1.2  # the letter's; TURN is the issue's
Need = Callable[[At], float]
INGRESS, FLEET, VOTER, SUPERVISOR, OUTSIDE, SERVER, DAYS = (
    "An ingress on the platform", "An ingress of a fleet with everything on", "A voter, and the four control machines",
    "A supervisor", "Discovery and the counter", "A sim server", "The days")
ROLES = (INGRESS, FLEET, VOTER, SUPERVISOR, OUTSIDE, SERVER, DAYS)


@dataclass(slots=True, frozen=True)
class Row:
    role: str
    what: str
    grows: str
    unit: str
    need: Need | None  # None: not measured
    limit: float | None
    says: str  # of the limit, in words
    source: str
    mechanism: str  # what carries it, or "none"
    beyond: str
    counted: bool = False  # a number of things: passed by the first one over the limit
    start: bool = False  # its need is there on today's days already, and nothing carries it
    note: str = ""

    @property
    def part(self) -> str:
        """Of the program: rows of one part would be answered by one mechanism."""
        if self.mechanism == "none":
            return CONFIGURATION if self.start else "routes, services and regions"
        return next((part for part, words in PARTS if any(word in self.mechanism for word in words)),
        "all parts together")


CONFIGURATION = "configuration"
PARTS = (
    (CONFIGURATION, ("configuration/",)), ("drains", ("drains/",)),
    ("list", ("net/inventory", "net/objects", "net/watching", "Servers.told", "Discovery")),
    ("records", ("members/records", "members/station")),
    ("members", ("members/protocol", "protocol.", "members/transport")), ("agreed log", ("consensus/", "machine")),
    ("tenants", ("Customers",)), ("counter", ("plans/leases", "brain.call")),
    ("connections", ("Southside", "brain.best", "net/south")), ("supervisor", ("fleet/supervisor",)),
    ("messages", ("policy/brain", "net/north", "one process")))


def assumed(name: str) -> float:
    return ASSUMED[name][0]


def lists(at: At) -> float:
    return at.slope("list.bytes", at.servers)


def rest(at: At) -> float:
    """Processor time of control at rest of an ingress with everything on, % of a core."""
    return (at.slope("supervisor.instance", 8) + at.slope("list.rest", at.servers) + at.slope("tenants.rest", at.met)
            + at.slope("members.cpu", at.ingresses) + at.servers * at.slope("shares.rest", at.ingresses))


def held(at: At) -> float:
    """MB of control that an ingress with everything on holds. `[configuration]` goes with neither `[plans]` nor
    `[leases]`: the larger of the two counts."""
    return (at.slope("supervisor.resident", 8) - at.slope("process.resident", 60) + at.slope("list.memory", at.servers)
            + at.slope("tenants.memory", at.met) + at.slope("firms.ledger", at.met)
            + max(at.slope("firms.leases", at.met), at.slope("configuration.memory", at.tenants))
            + at.slope("members.memory", at.ingresses)
            + at.slope("records.memory", at.ingresses) + at.slope("log.memory", at.ingresses)
            + at.servers * at.slope("shares.memory", at.ingresses))


def repair(at: At) -> float:
    """Bytes a second of full exchanges, in and out: one begun and one answered each REPAIR s, longer for over 32."""
    every = 20.0 * max(1.0, at.ingresses / 32)
    return 2 * (2 * at.slope("records.digest", at.ingresses) + 2 * at.slope("records.all", at.ingresses)) / every


def spoken(at: At) -> float:
    """Bytes a second in and out at rest: membership, records at their bound, the log, discovery's signs of life."""
    return (2 * at.slope("members.bytes", at.ingresses) + 2 * 800.0 + repair(at)
            + at.slope("log.follower", at.ingresses) + at.slope("log.heard", at.ingresses))


def per_minute(at: At) -> float:
    """Bytes a second of the minute in which a whole list is told."""
    return lists(at) / assumed("window")


def changed(at: At) -> float:
    """Bytes a second that an ingress hears of changes, at the letter's rate."""
    return at.changes / 86400 * at.slope("configuration.change", at.ingresses)


def turned(at: At) -> float:
    """ms of the longest turn that the agreed configuration takes: a start, the own copy, a voter's snapshot."""
    return max(at.slope(f"configuration.{turn}", at.tenants) for turn in ("begin", "copy", "dump"))


def zone(at: At) -> float:
    return at.servers / at.zones


def release(at: At) -> float:
    """Entries a second while a zone restarts."""
    return zone(at) * assumed("told") / assumed("release")


ROWS: list[Row] = [
    # An ingress on the platform.
    Row(INGRESS, "servers: memory of the list and its records", "servers", "MB",
        lambda at: at.slope("list.memory", at.servers), MEMORY, "32 MB of control", "letter",
        "`net/inventory`, `policy/state.Servers`", "the kernel's limit of the process; nothing is let go"),
    Row(INGRESS, "the same while a list is taken", "servers", "MB", lambda at: at.slope("list.highest", at.servers),
        MEMORY,
        "32 MB of control", "letter", "`net/objects`, `net/inventory`", "as above"),
    Row(INGRESS, "a whole list in one object", "servers", "bytes", lists, float(1 << 22), "`LONGEST`, 4 MiB", "program",
        "`net/objects`", "the list is refused, the old one stays, the whole is asked for again for ever"),
    Row(INGRESS, "whole list, s at 14 KB a second", "servers", "s", lambda at: lists(at) / BYTES, 3.0,
        "`WHOLE`, 3 s from asking for it to its last byte", "program", "`net/watching`",
        "given up before its end and asked for again: at 14 KB a second it never comes whole",
        note="only where the 14 KB are a bound at each moment; over a minute the next row counts"),
    Row(INGRESS, "bytes in, the minute of a whole list", "servers", "bytes/s", per_minute, BYTES, "14 KB a second",
        "letter",
        "`net/inventory.Discovery`: whole lists, then changes", "the budget is passed; requests share the link"),
    Row(INGRESS, "longest hold: the turn that ends a whole list", "servers", "ms",
        lambda at: at.slope("list.hold", at.servers), TURN, "5 ms a turn", "issue",
        "`Discovery._told`, `Inventory.told`, `Servers.told`, in one turn", "every request waits as long"),
    Row(INGRESS, "longest hold: one change", "servers", "ms", lambda at: at.slope("list.change", at.servers), TURN,
        "5 ms a turn", "issue", "`Servers.told`: all servers counted again for each change",
        "every request waits as long"),
    Row(INGRESS, "tenants: memory of the firms met within a minute", "firms held", "MB",
        lambda at: at.slope("tenants.memory", at.met), MEMORY, "32 MB of control", "letter",
        "`policy/state.Customers.age`", "grows with the firms of a minute"),
    Row(INGRESS, "tenants: all firms met within one minute (the worst)", "tenants", "MB",
        lambda at: at.slope("tenants.memory", at.tenants), MEMORY, "32 MB of control", "letter",
        "`policy/state.Customers.age`", "as above"),
    Row(INGRESS, "longest hold: old firms let go", "firms held", "ms", lambda at: at.slope("tenants.hold", at.met),
        TURN,
        "5 ms a turn", "issue", "`Customers.age`, each second", "every request waits as long"),
    Row(INGRESS, "services that it tells apart", "services", "services", lambda at: at.services, 1.0,
        "260 services", "letter", "none", "all servers count as one pool", counted=True),
    Row(INGRESS, "routes that it tells apart", "routes", "routes", lambda at: at.routes, 1.0, "3,500 routes", "letter",
        "none",
        "a message's class stands in its header; no rule leads from a path to a service", counted=True),
    Row(INGRESS, "regions that it tells apart", "regions", "regions", lambda at: at.regions, 1.0, "3 regions", "letter",
        "none", "a zone of another region counts as any other zone", counted=True),
    Row(INGRESS, "a change of configuration in force everywhere", "changes", "s", None, 14.0, "14 s", "letter", "none",
        "a file on each host and a signal for each process; `fleet reload` reaches one host group, of the file only "
        "`discovery` and `counter` take effect without a restart", start=True,
        note="today's days have a new configuration already (`herd`), and nothing here says which ingress has which. "
        "`configuration/` carries it in a fleet whose file has `[configuration]`: its rows stand with everything on; "
        "it is off by default and the platform uses none of it"),
    Row(INGRESS, "memory of all routes, were they held", "routes", "MB", lambda at: at.routes * assumed("route") / 1e6,
        MEMORY,
        "32 MB of control", "letter", "none", "by assumption; nothing holds a route"),
    Row(INGRESS, "processor time at rest: module's timers", "servers, firms held", "% of a core",
        lambda at: at.slope("list.rest", at.servers) + at.slope("tenants.rest", at.met), CORE, "2 % of a core",
        "letter",
        "`policy/brain.beat`", "control takes more; requests wait"),
    Row(INGRESS, "processor time of a message in the module", "servers", "ms",
        lambda at: at.slope("module.message", at.servers) / 1000, MS, "1.2 ms for 99 in 100", "letter",
        "`policy/brain`: 15 servers drawn", "added to each request"),
    Row(INGRESS, "processor time of a message, all", "constant", "ms",
        lambda at: at.slope("process.message", at.servers) / 1000, MS, "1.2 ms for 99 in 100", "letter",
        "`net/north`, `core`, `policy`, `net/south`", "added to each request",
        note="processor time, not the time that a client sees under load: that is not measured here"),
    Row(INGRESS, "core that its requests take", "requests", "% of a core",
        lambda at: at.each * at.slope("process.message", at.servers) / 1e6 * 100, 100.0, "one core", "program",
        "one process, one loop", "requests queue"),
    Row(INGRESS, "ready after a start", "servers", "s", lambda at: at.slope("process.start", at.servers), 10.0,
        "10 s for nine in ten restarted", "platform", "`net/inventory.Discovery`, `serve.ready`",
        "it serves nobody until then"),
    Row(INGRESS, "connections to sim servers", "servers, requests", "connections",
        lambda at: at.slope("kept.held", at.servers), 384.0, "two fifths of 960 descriptors (`limits.sockets` 1024)",
        "program",
        "`net/south`; `brain.best` prefers kept ones", "the longest unused is closed: more handshakes"),
    Row(INGRESS, "clients' connections with a message in hand", "requests", "connections",
        lambda at: at.each * assumed("hand"), 576.0, "three fifths of 960 descriptors", "program", "`net/north`",
        "the longest unused is closed, then accepting pauses"),
    Row(INGRESS, "processor time of timers, four a message", "requests", "% of a core",
        lambda at: at.each * 4 * at.slope("firms.timer", 4 * at.each * assumed("hand")) / 1e4, CORE, "2 % of a core",
        "letter",
        "`net/loop`", "requests wait"),
    Row(INGRESS, "processor time of a whole list, over its minute", "servers", "% of a core",
        lambda at: at.slope("list.cpu", at.servers) / assumed("window") * 100, CORE, "2 % of a core", "letter",
        "`net/inventory`", "requests wait"),
    Row(INGRESS, "bytes of calls to the counter, quotas by shares", "constant", "bytes/s",
        lambda at: at.slope("firms.call", at.met) / 0.03, BYTES, "14 KB a second", "letter",
        "`policy/brain.call`: one at a time, 0.03 s apart at least (`PACE_MIN`)", "the budget is passed"),
    # With everything on.
    Row(FLEET, "processor time of control at rest, all parts", "servers, ingresses, firms held", "% of a core", rest,
        CORE,
        "2 % of a core", "letter", "all parts", "requests wait"),
    Row(FLEET, "memory of control, all parts", "servers, ingresses, firms held", "MB", held, MEMORY, "32 MB", "letter",
        "all parts", "the process's own limit"),
    Row(FLEET, "bytes a second in and out at rest, all parts", "ingresses", "bytes/s", spoken, BYTES, "14 KB a second",
        "letter", "`members`, `consensus/feed`", "the budget is passed"),
    Row(FLEET, "members: bytes a second sent", "members", "bytes/s", lambda at: at.slope("members.bytes",
        at.ingresses), BYTES,
        "14 KB a second", "letter", "`members/protocol`, `gossip`", "the budget is passed"),
    Row(FLEET, "members: messages a second sent", "members", "/s", lambda at: at.slope("members.messages",
        at.ingresses),
        BYTES / 1400, "14 KB a second of the largest datagrams", "letter", "`members/protocol`",
        "the budget is passed"),
    Row(FLEET, "members: state", "members", "MB", lambda at: at.slope("members.memory", at.ingresses), MEMORY, "32 MB",
        "letter", "`members/protocol`", "grows"),
    Row(FLEET, "longest hold: one that joins takes all members", "members", "ms",
        lambda at: at.slope("members.hold", at.ingresses), TURN, "5 ms a turn", "issue",
        "`protocol._is_alive`: each new member is compared with all known", "the loop stands still at the start"),
    Row(FLEET, "a whole exchange of members, one way", "members", "bytes",
        lambda at: at.slope("members.exchange", at.ingresses), float(1 << 20), "`STREAM`, 1 MiB", "program",
        "`members/transport`", "dropped as too long"),
    Row(FLEET, "records: state, one each", "members", "MB", lambda at: at.slope("records.memory", at.ingresses),
        MEMORY, "32 MB",
        "letter", "`members/records`", "grows"),
    Row(FLEET, "records: bytes a second of repair", "members", "bytes/s", repair, BYTES, "14 KB a second", "letter",
        "`members/station`", "the budget is passed"),
    Row(FLEET, "records: age of what a member tells anew each 2 s", "members", "s",
        lambda at: at.slope("news.late", at.ingresses), assumed("fresh"), "10 s", "assumption",
        "`members/records`: 800 bytes a second of each", "work is weighed by old figures"),
    Row(FLEET, "longest hold: all records taken", "members", "ms", lambda at: at.slope("records.take", at.ingresses),
        TURN,
        "5 ms a turn", "issue", "`members/records`", "the loop stands still"),
    Row(FLEET, "agreed log: state", "members", "MB", lambda at: at.slope("log.memory", at.ingresses), MEMORY, "32 MB",
        "letter",
        "`consensus/machine`", "askers are forgotten from 2,000 on"),
    Row(FLEET, "longest hold: a snapshot of the log is taken", "members", "ms",
        lambda at: at.slope("log.restore", at.ingresses), TURN, "5 ms a turn", "issue", "`machine.restore`",
        "the loop stands still"),
    Row(FLEET, "agreed log: bytes a second heard, 2 entries of 200 bytes a second", "members", "bytes/s",
        lambda at: at.slope("log.heard", at.ingresses), BYTES, "14 KB a second", "letter", "`consensus/feed`",
        "the budget is passed"),
    Row(FLEET, "drains: parts of all at all servers", "ingresses x servers", "MB",
        lambda at: at.servers * at.slope("shares.memory", at.ingresses), MEMORY, "32 MB", "letter", "`drains/limits`",
        "grows with ingresses times servers"),
    Row(FLEET, "drains: processor time of the looks", "ingresses x servers", "% of a core",
        lambda at: at.servers * at.slope("shares.rest", at.ingresses), CORE, "2 % of a core", "letter",
        "`drains/holder.tick`, four a second",
        "requests wait"),
    Row(FLEET, "longest hold: one look of the holder", "ingresses x servers", "ms",
        lambda at: at.servers * at.slope("shares.look", at.ingresses), TURN, "5 ms a turn", "issue",
        "`drains/holder.tick`",
        "the loop stands still four times a second"),
    Row(FLEET, "drains: a snapshot that a follower takes", "ingresses x servers", "bytes",
        lambda at: at.servers * at.slope("shares.bytes", at.ingresses) + at.slope("log.snapshot", at.ingresses),
        float(1 << 20),
        "`STREAM`, 1 MiB", "program", "`drains/limits`, `members/transport`",
        "dropped as too long: who starts never follows the log, may hold nothing, and serves nobody"),
    Row(FLEET, "longest hold: a snapshot of drains' parts is taken", "ingresses x servers", "ms",
        lambda at: at.servers * at.slope("shares.load", at.ingresses), TURN, "5 ms a turn", "issue",
        "`drains/limits.load`",
        "the loop stands still"),
    Row(FLEET, "drains: servers in one word of what it wants", "servers", "servers", lambda at: at.servers, 2000.0,
        "`SERVERS`, 2,000", "program", "`drains/limits`", "the command is refused: nothing may be opened",
        counted=True),
    Row(FLEET, "leases: memory of the firms held", "firms held", "MB", lambda at: at.slope("firms.leases", at.met),
        MEMORY, "32 MB",
        "letter", "`plans/leases`", "grows with the firms of the last 30 s"),
    Row(FLEET, "longest hold: the look for unused leases", "firms held", "ms", lambda at: at.slope("firms.sweep",
        at.met), TURN,
        "5 ms a turn", "issue", "`plans/leases.sweep`, four a second", "the loop stands still"),
    Row(FLEET, "leases: bytes a second of calls to the counter, in and out", "requests", "bytes/s",
        lambda at: at.each * at.slope("counter.leased", at.pace) * at.slope("firms.call", at.met), BYTES,
        "14 KB a second",
        "letter", "`plans/leases`: a call for each firm by itself", "the budget is passed"),
    Row(FLEET, "ledger: memory of a minute's open sums", "firms held", "MB", lambda at: at.slope("firms.ledger",
        at.met), MEMORY,
        "32 MB", "letter", "`ledger/tally`", "periods of a firm that is charged"),
    Row(FLEET, "longest hold: a period of the ledger is closed", "firms held", "ms",
        lambda at: at.slope("firms.close", at.met), TURN, "5 ms a turn", "issue", "`ledger/tally.close`",
        "the loop stands still"),
    Row(FLEET, "plans and reservations: state a firm", "firms in the book", "MB", None, MEMORY, "32 MB", "letter",
        "`plans/book`, `plans/reservations`", "not measured"),
    Row(FLEET, "configuration: a change in force at 99 in 100", "followers", "s",
        lambda at: at.slope("configuration.soon", at.ingresses), 5.0, "5 s", "issue",
        "`configuration/force`, `consensus/feed`", "a change is late",
        note="the slowest of three seeds, in which a hundredth restarts with each change and a region is away; slow "
        "where the log's leader is cut off with its region. The measured 890 stand among the slopes"),
    Row(FLEET, "configuration: a change in force everywhere", "followers", "s",
        lambda at: at.slope("configuration.all", at.ingresses), 14.0, "14 s", "letter",
        "`configuration/force`, `consensus/feed`", "a change is late",
        note="at all that can be reached, restarted ones too; the slowest of three seeds"),
    Row(FLEET, "configuration: bytes a second of changes, and of the log at rest", "changes", "bytes/s",
        lambda at: at.slope("configuration.rest", at.ingresses) + changed(at), BYTES, "14 KB a second", "letter",
        "`configuration/wire`, `consensus/feed`", "the budget is passed",
        note="changes of a plan and five firms; one may have 12 KB. The log at rest is the same without it"),
    Row(FLEET, "configuration: state, all tenants on plans", "tenants", "MB",
        lambda at: at.slope("configuration.memory", at.tenants), MEMORY, "32 MB", "letter",
        "`configuration/revisions`, `configuration/force`", "`most_entries` and `most_kb`: a change is refused"),
    Row(FLEET, "configuration: a start is told all tenants, s at 14 KB a second", "tenants", "s",
        lambda at: at.slope("configuration.start", at.tenants) / BYTES, 14.0, "14 s", "letter",
        "`configuration/wire`, `consensus/feed`",
        "the start is late, or goes on after 8 s with its own copy or the file", note="the log does not pace it: all "
        "comes at once, and that second is over 14 KB"),
    Row(FLEET, "longest hold: the configuration of all tenants", "tenants", "ms", turned, TURN, "5 ms a turn", "issue",
        "`configuration/force`, `configuration/wire`, `configuration/revisions`",
        "the loop stands still: once at a start before it serves, for the own copy (`path`, may be left out), and at "
        "a voter that makes a snapshot", note="passed: wall time of the longest of the three"),
    # Voters.
    Row(VOTER, "bytes a second sent at rest, by a third of the followers", "followers", "bytes/s",
        lambda at: at.slope("log.rest", at.ingresses), assumed("link"), "a gigabit", "assumption",
        "`consensus/feed.Source`",
        "followers hear late"),
    Row(VOTER, "bytes a second sent at 2 entries of 200 bytes a second", "followers", "bytes/s",
        lambda at: at.slope("log.busy", at.ingresses), assumed("link"), "a gigabit", "assumption",
        "`consensus/feed.Source`",
        "followers hear late"),
    Row(VOTER, "four control machines: bytes a second, all followers, changes of configuration", "changes", "bytes/s",
        lambda at: changed(at) * at.ingresses, assumed("link"), "a gigabit", "assumption",
        "`consensus/feed.Source`: a change is an entry", "followers hear late"),
    Row(VOTER, "a command applied by all", "followers", "s", lambda at: at.slope("log.all", at.ingresses), 14.0,
        "14 s for a change", "letter", "`consensus/raft`, `feed`", "a change is late"),
    Row(VOTER, "longest hold: a snapshot is made", "members", "ms",
        lambda at: at.slope("log.dump", at.ingresses) + at.servers * at.slope("shares.dump", at.ingresses), 1000.0,
        "an election's shortest wait, 1 s", "program", "`machine.dump`", "others begin an election",
        note="the parts of `drains` included"),
    Row(VOTER, "memory: the machine, drains included", "ingresses x servers", "MB",
        lambda at: at.slope("log.memory", at.ingresses) + at.servers * at.slope("shares.memory", at.ingresses), 4000.0,
        "4 GB of a control machine", "assumption", "`consensus/machine`", "grows"),
    Row(VOTER, "processor time of a voter with sockets and seals", "followers", "% of a core", None, 100.0, "one core",
        "program", "`consensus/service`", "not measured"),
    # Supervisors.
    Row(SUPERVISOR, "processor time at rest", "instances", "% of a core", lambda at: at.slope("supervisor.rest",
        assumed("group")),
        CORE, "2 % of a core", "letter", "`fleet/supervisor`", "one a host group: it does not grow with the fleet"),
    Row(SUPERVISOR, "memory", "instances", "MB", lambda at: at.slope("supervisor.memory", assumed("group")), 256.0,
        "`limits.memory_mb` of an instance", "program", "`fleet/supervisor`", "the host's"),
    Row(SUPERVISOR, "a killed instance, to all ready again", "instances", "s",
        lambda at: at.slope("supervisor.again", assumed("group")), 10.0, "10 s for nine in ten restarted", "platform",
        "`fleet/supervisor`",
        "its part is widened after 2 s"),
    # What they ask of others.
    Row(OUTSIDE, "discovery: open watches", "ingresses", "connections", lambda at: at.ingresses, 4096.0, "not named",
        "assumption", "one connection each, `net/inventory.Discovery`", "not known"),
    Row(OUTSIDE, "discovery: bytes a second, all lists again in one minute", "ingresses x servers", "bytes/s",
        lambda at: at.ingresses * lists(at) / assumed("window"), assumed("link"), "a gigabit", "assumption",
        "`net/watching`: waits that double", "lists come late; what is held serves on"),
    Row(OUTSIDE, "counter: calls a second of all, quotas by shares", "ingresses", "calls/s",
        lambda at: max(at.slope("connections.calls", at.ingresses), at.ingresses / 0.6), assumed("calls"),
        "450 calls a second", "assumption", "`policy/brain.call`: its pace, not slower than one in 0.6 s (`PACE_MAX`)",
        "answers are late, quotas held by shares alone"),
    Row(OUTSIDE, "counter: calls a second of all, leases on", "requests", "calls/s",
        lambda at: at.requests * at.slope("counter.leased", at.pace), assumed("calls"), "450 calls a second",
        "assumption",
        "`plans/leases`", "leases fail, allowance is refused or held by shares"),
    # Sim servers.
    Row(SERVER, "connections that our fleet keeps there", "ingresses, requests", "connections",
        lambda at: at.slope("kept.held", at.servers) * at.ingresses / at.servers, assumed("server"),
        "1,000 connections",
        "assumption", "`Southside`, `drains/limits`", "new ones are refused"),
    Row(SERVER, "ingresses that a server hears from in 10 s, a cold start", "ingresses", "connections",
        lambda at: at.slope("connections.server", at.ingresses), assumed("server"), "1,000 connections", "assumption",
        "`Southside`, `drains/limits`", "new ones are refused"),
    Row(SERVER, "handshakes a second", "requests, servers", "/s",
        lambda at: at.requests / at.servers * min(1.0, at.slope("kept.new", at.servers)), 1.1,
        "one for each of ten attempts: 1.1 a second", "assumption", "`brain.best` prefers kept connections",
        "they cost it work"),
    Row(SERVER, "probes a second of our fleet", "ingresses", "/s", None, 10.0, "not named", "assumption",
        "`policy/brain.probed`", "not measured: the platform's servers tell by themselves"),
    # Days.
    Row(DAYS, "a calm hour at the peak: bytes of control of an ingress", "ingresses", "bytes",
        lambda at: spoken(at) * 3600,
        BYTES * 3600, "14 KB a second", "letter", "all parts", "the budget is passed"),
    Row(DAYS, "3,700 restarts: bytes a second of the list's changes", "restarts", "bytes/s",
        lambda at: at.restarted * assumed("told") / 86400 * at.slope("list.change_bytes", at.servers), BYTES,
        "14 KB a second", "letter", "`net/inventory`: changes", "the budget is passed"),
    Row(DAYS, "3,700 restarts: core that the list's changes take", "restarts, servers", "% of a core",
        lambda at: at.restarted * assumed("told") / 86400 * at.slope("list.change", at.servers) / 10, CORE,
        "2 % of a core",
        "letter", "`Servers.told`", "requests wait"),
    Row(DAYS, "a release restarts a zone: bytes a second", "servers", "bytes/s",
        lambda at: release(at) * at.slope("list.change_bytes", at.servers), BYTES, "14 KB a second", "letter",
        "`net/inventory`: changes", "the budget is passed"),
    Row(DAYS, "a release restarts a zone: core that the list's changes take", "servers squared", "% of a core",
        lambda at: release(at) * at.slope("list.change", at.servers) / 10, CORE, "2 % of a core", "letter",
        "`Servers.told`: all servers counted again for each change", "requests wait for a minute on end"),
    Row(DAYS, "a rack: entries told, in bytes", "constant", "bytes",
        lambda at: assumed("rack") * at.slope("list.change_bytes", at.servers), BYTES * assumed("window"),
        "14 KB a second for a minute",
        "letter", "`net/inventory`: changes", "told later"),
    Row(DAYS, "a zone cut off and back: whole lists of its ingresses, s at 14 KB a second", "servers", "s",
        lambda at: lists(at) / BYTES, assumed("back"), "300 s", "assumption", "`net/inventory.Discovery`",
        "an old list serves on"),
    Row(DAYS, "a region cut off for an hour: entries of the log missed, bytes", "changes", "bytes",
        lambda at: changed(at) * 3600, BYTES * assumed("back"), "14 KB a second for 300 s", "assumption",
        "`consensus/feed`: a change is an entry", "a snapshot instead, from 1,000 entries on: the start's row above"),
    Row(DAYS, "a region's return: s until all members know each other again", "members squared", "s",
        lambda at: at.slope("apart.took", at.ingresses), assumed("back"), "300 s", "assumption",
        "`members/service._seek`, `protocol`: exchanges, gossip", "parts are shared by too few"),
    Row(DAYS, "a region's return: s until 99 in 100 pairs do", "members", "s",
        lambda at: at.slope("apart.most", at.ingresses), assumed("back"), "300 s", "assumption",
        "`members/service._seek`, `protocol`", "as above"),
    Row(DAYS, "a region's return: bytes that a seed sends", "members", "bytes",
        lambda at: at.slope("apart.bytes", at.ingresses), BYTES * assumed("back"), "14 KB a second for 300 s",
        "assumption",
        "`members/protocol`: whole exchanges", "the budget is passed"),
    Row(DAYS, "32 failures: a death known to all", "members", "s", lambda at: at.slope("members.death", at.ingresses),
        assumed("known"), "30 s", "assumption", "`members/protocol`, `suspicion`", "others count it as there")]
