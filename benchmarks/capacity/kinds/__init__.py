"""The kinds of measurement by the name that `--only` takes. Each returns slopes built by `measure.make_slope`."""

from __future__ import annotations

from collections.abc import Callable

from ..measure import Slope
from . import (
    agreed_log,
    configuration,
    counter,
    firms,
    lists,
    members,
    partition,
    processes,
    record_age,
    server_connections,
    shares,
    tenants,
)

KINDS: dict[str, Callable[[int], list[Slope]]] = {
    "list": lists.measure_slopes,
    "module": lists.measure_message,
    "tenants": tenants.measure_slopes,
    "firms": firms.measure_slopes,
    "kept": server_connections.measure_slopes,
    "members": members.measure_slopes,
    "records": members.measure_record_slopes,
    "news": record_age.measure_slopes,
    "apart": partition.measure_slopes,
    "log": agreed_log.measure_slopes,
    "configuration": configuration.measure_slopes,
    "shares": shares.measure_slopes,
    "counter": counter.measure_slopes,
    "connections": counter.measure_connections,
    "process": processes.measure_ingress_slopes,
    "supervisor": processes.measure_supervisor_slopes,
}
