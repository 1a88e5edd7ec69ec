"""The optional parts, a row each: what the operator's file switches on is built here and given to the daemon.

A part imports its libraries only where it is on. The order matters: the plan book stands before what asks it."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

from .address import ConfigError

if TYPE_CHECKING:
    from .serve import Daemon


def authz_server(d: Daemon) -> None:
    if (told := d.config.operator.server) is not None:
        from .authz.front import Front

        d.front = Front(d.loop, d.pool, d.ingress, d.inventory, d.metrics, told.header, told.streams)


def authz_client(d: Daemon) -> None:
    if (told := d.config.operator.client) is not None:
        from .authz.client import AuthorisationClient

        d.authoriser = AuthorisationClient(d.loop, d.pool, told.at, told.timeout, d.metrics)
        d.ingress.authoriser, d.ingress.fail_open = d.authoriser, told.fail_open


def xds_file(d: Daemon) -> None:
    if (told := d.config.operator.xds) is not None:
        from .xds.source import FileSource

        d.discovery = FileSource(d.loop, d.inventory, told, d.metrics, d.log)


def plans(d: Daemon) -> None:
    if (told := d.config.operator.plans) is not None:
        from .plans.service import PlanService
        from .plans.snapshot import SnapshotError

        try:
            d.plans = PlanService(d.loop, d.ingress, d.config.settings.plans, told.snapshot, d.metrics, d.log)
        except SnapshotError as error:
            raise ConfigError(f"plans.snapshot: {error}") from None
        d.ingress.plans = d.plans


def reservations(d: Daemon) -> None:
    if (told := d.config.operator.reservations) is not None:
        from .plans.service import ReservationService

        d.reservations = d.ingress.reservations = ReservationService(d.loop, d.ingress, told, d.metrics)


def leases(d: Daemon) -> None:
    if (told := d.config.operator.leases) is None:
        return
    from .plans.leases import EPOCH
    from .plans.leasing import LeaseService

    if d.plans is None or d.counter is None:
        raise ConfigError("leases: need [plans] and a counter that the settings allow")
    for plan in d.config.settings.plans:
        if plan.rate and plan.burst > EPOCH * plan.rate:
            raise ConfigError(
                f"leases: plan {plan.name}: its burst is worth {plan.burst / plan.rate:.1f} s of its "
                f"rate, {EPOCH:g} s at most"
            )
    d.leases = d.ingress.leases = LeaseService(d.loop, d.ingress, d.counter, d.plans.book, told, d.metrics, d.log)


def ledger(d: Daemon) -> None:
    if (told := d.config.operator.ledger) is not None:
        from .ledger.service import LedgerService
        from .ledger.store import LedgerError

        try:
            d.ledger = LedgerService(d.loop, d.pool, told, d.config.name, d.metrics, d.log)
        except LedgerError as error:
            raise ConfigError(f"ledger.path: {error}") from None
        d.ingress.ledger = d.ledger


def seconds(d: Daemon) -> None:
    if d.config.operator.seconds:
        from .growth.tally import Tally

        d.tally = Tally(d.loop, d.metrics, d.ingress.decision_module, d.log)


def health(d: Daemon) -> None:
    if d.config.operator.control is not None or os.environ.get("NOTIFY_SOCKET"):
        from .health.service import HealthService

        d.health = HealthService(d)


def gateways(d: Daemon) -> None:
    if d.config.operator.control is not None or d.config.operator.members is not None:
        from .fleet.gateways import GatewaysService

        settings, part = d.config.settings, d.config.operator.members
        # Firms' sets are numbered over all places, whoever runs now.
        settings.places = max(settings.places, int(os.environ.get("BRACKENPULLEY_PLACES", "0")))
        d.gateways = GatewaysService(d.loop, d.ingress, settings.gateways, part.most if part else 0, d.metrics)


def members(d: Daemon) -> None:
    if (told := d.config.operator.members) is not None:
        from .members.service import DaemonMembers

        d.members = DaemonMembers(d.loop, told, d.config.name, d.gateways, d.metrics, d.log)


def agreement(d: Daemon) -> None:
    if (told := d.config.operator.consensus) is not None:
        from .consensus.service import AgreementService

        d.agreement = AgreementService(d.loop, told, d.config.name, d.members, d.metrics, d.log)


def maintenance(d: Daemon) -> None:
    if (told := d.config.operator.maintenance) is not None:
        from .maintenance.service import MaintenanceService

        d.maintenance = MaintenanceService(d, told, d.agreement)


def drains(d: Daemon) -> None:
    if (told := d.config.operator.drains) is not None:
        from .drains.service import DrainsService

        d.drains = DrainsService(d, told, d.agreement)


def configuration(d: Daemon) -> None:
    if (told := d.config.operator.configuration) is not None:
        from .configuration.service import ConfigurationService

        d.configuration = d.ingress.plans = ConfigurationService(d, told, d.agreement)


def control(d: Daemon) -> None:
    if d.config.operator.control is None:
        return
    from .control import api
    from .control.server import ControlServer

    routes = api.Routes()
    rows: list[tuple[Any, Any]] = [
        (d, api.common_routes),
        (d.plans, api.plan_routes),
        (d.reservations, api.reservation_routes),
        (d.ledger, api.ledger_routes),
        (d.gateways, api.gateway_routes),
        (d.members, api.member_routes),
        (d.agreement, api.agreement_routes),
        (d.maintenance, api.work_routes),
        (d.drains, api.limit_routes),
        (d.configuration, api.configuration_routes),
    ]
    for part, add in rows:
        if part is not None:
            add(routes, part)
    d.control = ControlServer(d.loop, d.pool, routes, d.metrics)


EXTRAS = (
    authz_server,
    authz_client,
    xds_file,
    plans,
    reservations,
    leases,
    ledger,
    seconds,
    health,
    gateways,
    members,
    agreement,
    maintenance,
    drains,
    configuration,
    control,
)
