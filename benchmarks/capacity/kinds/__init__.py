"""What can be measured, by the name that `--only` takes. Each gives slopes as `measure.slope` makes them."""

from __future__ import annotations

from collections.abc import Callable

from ..measure import Slope
from . import agreed, apart, configuration, counter, firms, kept, lists, members, news, processes, shares, tenants

KINDS: dict[str, Callable[[int], list[Slope]]] = {
    "list": lists.measured,
    "module": lists.message,
    "tenants": tenants.measured,
    "firms": firms.measured,
    "kept": kept.measured,
    "members": members.measured,
    "records": members.records,
    "news": news.measured,
    "apart": apart.measured,
    "log": agreed.measured,
    "configuration": configuration.measured,
    "shares": shares.measured,
    "counter": counter.measured,
    "connections": counter.connections,
    "process": processes.ingress,
    "supervisor": processes.supervisor,
}
