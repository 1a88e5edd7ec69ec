"""Reads the inventory from a file of Cluster and ClusterLoadAssignment resources, and again whenever it changes.

The file holds a DiscoveryResponse as JSON. The ingress uses the source in place of the discovery client.
"""

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
from ..policy import interface

POLL_SECONDS = 0.25  # between checks of the file; well below the 1 s that a drain allows
MAX_FILE_CHARACTERS = 16 << 20
Health = health_check_pb2.HealthStatus
STATE_OF_HEALTH = {Health.UNKNOWN: "up", Health.HEALTHY: "up", Health.DEGRADED: "up", Health.DRAINING: "draining"}
CLUSTER_FIELDS = {"name", "type", "edsClusterConfig", "eds_cluster_config", "loadAssignment", "load_assignment"}
METADATA_KEY = "brackenpulley"  # of the endpoint metadata that holds `cell`, `machineType` and `startedAtMs`
Entry = tuple[interface.ServerEntry, Address | None]


class XdsError(ValueError):
    """Raised for resources that cannot be used."""


def parse_resources(text: str) -> tuple[dict[str, Any], dict[str, Any], str]:
    """Return clusters and assignments by name, and the version; ignore other resources. Raises XdsError."""
    clusters, assignments = {}, {}
    try:
        response = json.loads(text)
        for packed in response.get("resources", []):
            kind = str(packed.get("@type", "")).rpartition("/")[2]
            if kind == cluster_pb2.Cluster.DESCRIPTOR.full_name:
                # A cluster may hold extensions of unknown types, so only what locates its endpoints is decoded.
                fields = {k: v for k, v in packed.items() if k in CLUSTER_FIELDS}
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


def list_endpoints(clusters: dict[str, Any], assignments: dict[str, Any], name: str) -> list[Entry]:
    """Return the endpoints of a cluster as entries of the inventory. Raises XdsError."""
    if name not in clusters:
        raise XdsError(f"cluster {name!r}: missing")
    cluster = clusters[name]
    if cluster.WhichOneof("cluster_discovery_type") == "type" and cluster.type == cluster_pb2.Cluster.EDS:
        service_name = cluster.eds_cluster_config.service_name or name
        if service_name not in assignments:
            raise XdsError(f"assignment {service_name!r}: missing")
        assignment = assignments[service_name]
    else:
        assignment = cluster.load_assignment
    entries: dict[str, Entry] = {}
    for locality in assignment.endpoints:
        for endpoint in locality.lb_endpoints:
            entry = _convert_endpoint(locality.locality, endpoint)
            if entry is not None:
                entries[entry[0].server] = entry
    return list(entries.values())


def _convert_endpoint(locality: Any, lb_endpoint: Any) -> Entry | None:
    socket_address = lb_endpoint.endpoint.address.socket_address
    text = f"{socket_address.address}:{socket_address.port_value}"
    state = STATE_OF_HEALTH.get(lb_endpoint.health_status)
    if state is None:  # unhealthy or timed out: not listed
        return None
    try:
        address = parse_address(text, "address")
    except ConfigError as error:
        raise XdsError(str(error)) from None
    metadata = (
        json_format.MessageToDict(lb_endpoint.metadata.filter_metadata[METADATA_KEY])
        if METADATA_KEY in lb_endpoint.metadata.filter_metadata
        else {}
    )
    size = float(lb_endpoint.load_balancing_weight.value) if lb_endpoint.HasField("load_balancing_weight") else 1.0
    try:
        cell, started = int(metadata.get("cell", 0)), float(metadata.get("startedAtMs", 0)) / 1000
    except (TypeError, ValueError):
        raise XdsError(f"{text}: metadata {metadata!r}: cell and startedAtMs must be numbers") from None
    return interface.ServerEntry(
        server=lb_endpoint.endpoint.hostname or text,
        zone=locality.zone,
        cell=cell,
        size=size,
        state=state,
        started=started,
        kind=str(metadata.get("machineType", "")),
    ), address


class FileSource:
    """Polls the file and applies it to the inventory; an unusable file leaves the last valid list in force."""

    def __init__(self, loop: Loop, inventory: Inventory, options: XdsOptions, metrics: Metrics, log: Any) -> None:
        self.loop, self.inventory, self.options, self.metrics, self.log = loop, inventory, options, metrics, log
        self.heard = False
        self.heard_at = 0.0  # when the file was last seen with the contents that are in force
        self._file_identity: tuple[int, int, int] | None = None
        self._last_error = ""
        self._is_stopped = False

    def start(self) -> None:
        """Check the file now, and again in every period until `stop`."""
        if self._is_stopped:
            return
        try:
            stat = os.stat(self.options.path)
            identity = (stat.st_ino, stat.st_size, stat.st_mtime_ns)
            if identity != self._file_identity:
                self._file_identity = identity
                self._read()
            if not self._last_error:
                self.heard_at = self.loop.clock()
        except (OSError, XdsError) as error:
            self.metrics.add("xds_errors")
            if str(error) != self._last_error:
                self._last_error = str(error)
                self.log.error("xds", path=self.options.path, error=self._last_error)
        self.loop.call_in(POLL_SECONDS, self.start)

    def _read(self) -> None:
        with open(self.options.path, encoding="utf-8", errors="replace") as file:
            text = file.read(MAX_FILE_CHARACTERS + 1)
        if len(text) > MAX_FILE_CHARACTERS:
            raise XdsError(f"the file exceeds {MAX_FILE_CHARACTERS} characters")
        clusters, assignments, version = parse_resources(text)
        entries = list_endpoints(clusters, assignments, self.options.cluster)
        number = int(version) if version.isascii() and version.isdigit() else self.inventory.version + 1
        self.inventory.apply("full", entries, number)
        self.heard, self._last_error = True, ""
        self.metrics.add("lists")

    def stop(self) -> None:
        """Stop checking the file."""
        self._is_stopped = True
