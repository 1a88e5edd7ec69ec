"""Reads Cluster and ClusterLoadAssignment from a file in the form of a DiscoveryResponse, and again when it changes."""

from __future__ import annotations

import json
import os
from typing import Any

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from google.protobuf import json_format

from ..address import Address, ConfigError, parse_address
from ..metrics import Metrics
from ..net.inventory import Inventory
from ..net.loop import Loop
from ..operator import XdsOptions
from ..policy import interface as i

PERIOD = 0.25  # s between looks at the file: well within the second that a drain allows
LARGEST = 16 << 20  # bytes
Health = health_check_pb2.HealthStatus
STATES = {Health.UNKNOWN: "up", Health.HEALTHY: "up", Health.DEGRADED: "up", Health.DRAINING: "draining"}
READ = {"name", "type", "edsClusterConfig", "eds_cluster_config", "loadAssignment", "load_assignment"}
OURS = "brackenpulley"  # the metadata under which an endpoint tells its cell, its kind and when it started
Row = tuple[i.ServerEntry, Address | None]


class XdsError(ValueError):
    """The resources cannot be used; the text names what is wrong with them."""


def resources(text: str) -> tuple[dict[str, Any], dict[str, Any], str]:
    """Clusters and assignments by name, and the version. Other resources are passed over."""
    clusters, assignments = {}, {}
    try:
        response = json.loads(text)
        for packed in response.get("resources", []):
            kind = str(packed.get("@type", "")).rpartition("/")[2]
            if kind == cluster_pb2.Cluster.DESCRIPTOR.full_name:
                # A cluster may hold extensions of any kind; only what says where its endpoints are is read.
                fields = {k: v for k, v in packed.items() if k in READ}
                cluster = json_format.ParseDict(fields, cluster_pb2.Cluster(), ignore_unknown_fields=True)
                clusters[cluster.name] = cluster
            elif kind == endpoint_pb2.ClusterLoadAssignment.DESCRIPTOR.full_name:
                fields = {k: v for k, v in packed.items() if k != "@type"}
                assignment = json_format.ParseDict(
                    fields, endpoint_pb2.ClusterLoadAssignment(), ignore_unknown_fields=True
                )
                assignments[assignment.cluster_name] = assignment
        return clusters, assignments, str(response.get("versionInfo", response.get("version_info", "")))
    except (ValueError, AttributeError, TypeError, json_format.ParseError) as error:
        raise XdsError(f"not a DiscoveryResponse: {error}") from None


def rows(clusters: dict[str, Any], assignments: dict[str, Any], name: str) -> list[Row]:
    """The endpoints of one cluster in the inventory's form."""
    if name not in clusters:
        raise XdsError(f"cluster {name!r}: missing")
    cluster = clusters[name]
    if cluster.WhichOneof("cluster_discovery_type") == "type" and cluster.type == cluster_pb2.Cluster.EDS:
        wanted = cluster.eds_cluster_config.service_name or name
        if wanted not in assignments:
            raise XdsError(f"assignment {wanted!r}: missing")
        assignment = assignments[wanted]
    else:
        assignment = cluster.load_assignment
    found: dict[str, Row] = {}
    for locality in assignment.endpoints:
        for endpoint in locality.lb_endpoints:
            row = _row(locality.locality, endpoint)
            if row is not None:
                found[row[0].server] = row
    return list(found.values())


def _row(locality: Any, lb: Any) -> Row | None:
    socket_address = lb.endpoint.address.socket_address
    text = f"{socket_address.address}:{socket_address.port_value}"
    state = STATES.get(lb.health_status)
    if state is None:  # unhealthy or timed out: as good as not there
        return None
    try:
        at = parse_address(text, "address")
    except ConfigError as error:
        raise XdsError(str(error)) from None
    told = json_format.MessageToDict(lb.metadata.filter_metadata[OURS]) if OURS in lb.metadata.filter_metadata else {}
    size = float(lb.load_balancing_weight.value) if lb.HasField("load_balancing_weight") else 1.0
    try:
        cell, started = int(told.get("cell", 0)), float(told.get("startedAtMs", 0)) / 1000
    except (TypeError, ValueError):
        raise XdsError(f"{text}: metadata {told!r}") from None
    return i.ServerEntry(
        server=lb.endpoint.hostname or text,
        zone=locality.zone,
        cell=cell,
        size=size,
        state=state,
        started=started,
        kind=str(told.get("machineType", "")),
    ), at


class FileSource:
    """Looks at the file's identity now and then; what cannot be used leaves the last good list in force."""

    def __init__(self, loop: Loop, inventory: Inventory, part: XdsOptions, metrics: Metrics, log: Any) -> None:
        self.loop, self.inventory, self.part, self.metrics, self.log = loop, inventory, part, metrics, log
        self.heard = False
        self.heard_at = 0.0  # when the file was last there as it was last taken
        self._seen: tuple[int, int, int] | None = None
        self._said = ""
        self._stopped = False

    def start(self) -> None:
        if self._stopped:
            return
        try:
            stat = os.stat(self.part.path)
            identity = (stat.st_ino, stat.st_size, stat.st_mtime_ns)
            if identity != self._seen:
                self._seen = identity
                self._read()
            if not self._said:
                self.heard_at = self.loop.clock()
        except (OSError, XdsError) as error:
            self.metrics.add("xds_errors")
            if str(error) != self._said:
                self._said = str(error)
                self.log.error("xds", path=self.part.path, error=self._said)
        self.loop.call_in(PERIOD, self.start)

    def _read(self) -> None:
        with open(self.part.path, encoding="utf-8", errors="replace") as file:
            text = file.read(LARGEST + 1)
        if len(text) > LARGEST:
            raise XdsError(f"over {LARGEST} bytes")
        clusters, assignments, version = resources(text)
        found = rows(clusters, assignments, self.part.cluster)
        number = int(version) if version.isascii() and version.isdigit() else self.inventory.version + 1
        self.inventory.apply("full", found, number)
        self.heard, self._said = True, ""
        self.metrics.add("lists")

    def stop(self) -> None:
        self._stopped = True
