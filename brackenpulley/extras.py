"""Builders of the optional parts of a daemon, each switched on by its table in the operator's file.

A builder sets the part's attribute on the daemon and imports the part's libraries only where it is on. `OPTIONAL_PARTS`
lists them in the order in which they must run: a part comes after those that it uses.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

from .address import ConfigError

if TYPE_CHECKING:
    from .serve import Daemon


def build_authz_server(daemon: Daemon) -> None:
    """Build the server of Envoy's external authorisation API."""
    if (options := daemon.config.operator.server) is not None:
        from .authz.front import Front

        daemon.authz_front = Front(
            daemon.loop,
            daemon.pool,
            daemon.ingress,
            daemon.inventory,
            daemon.metrics,
            options.endpoint_header,
            options.max_streams,
        )


def build_authz_client(daemon: Daemon) -> None:
    """Build the client that asks an external authorisation service."""
    if (options := daemon.config.operator.client) is not None:
        from .authz.client import AuthorisationClient

        daemon.authoriser = AuthorisationClient(
            daemon.loop, daemon.pool, options.address, options.timeout_seconds, daemon.metrics
        )
        daemon.ingress.authoriser, daemon.ingress.fail_open = daemon.authoriser, options.fail_open


def build_xds_file(daemon: Daemon) -> None:
    """Build the xDS file source, which replaces the discovery client."""
    if (options := daemon.config.operator.xds) is not None:
        from .xds.source import FileSource

        daemon.discovery = FileSource(daemon.loop, daemon.inventory, options, daemon.metrics, daemon.log)


def build_plans(daemon: Daemon) -> None:
    """Build the book of firms' plans. Raises ConfigError where its snapshot cannot be used."""
    if (options := daemon.config.operator.plans) is not None:
        from .plans.service import PlanService
        from .plans.snapshot import SnapshotError

        try:
            daemon.plans = PlanService(
                daemon.loop, daemon.ingress, daemon.config.settings.plans, options.snapshot, daemon.metrics, daemon.log
            )
        except SnapshotError as error:
            raise ConfigError(f"plans.snapshot: {error}") from None
        daemon.ingress.plans = daemon.plans


def build_reservations(daemon: Daemon) -> None:
    """Build the table of reservations."""
    if (options := daemon.config.operator.reservations) is not None:
        from .plans.service import ReservationService

        daemon.reservations = daemon.ingress.reservations = ReservationService(
            daemon.loop, daemon.ingress, options, daemon.metrics
        )


def build_leases(daemon: Daemon) -> None:
    """Build the lease keeper.

    Raises ConfigError without plans or a counter, or where a plan's burst is worth more seconds than an epoch has.
    """
    if (options := daemon.config.operator.leases) is None:
        return
    from .plans.leases import EPOCH_SECONDS
    from .plans.leasing import LeaseService

    if daemon.plans is None or daemon.counter is None:
        raise ConfigError("leases: need [plans] and a counter that the settings allow")
    for plan in daemon.config.settings.plans:
        if plan.rate and plan.burst > EPOCH_SECONDS * plan.rate:
            raise ConfigError(
                f"leases: plan {plan.name}: its burst is worth {plan.burst / plan.rate:.1f} s of its "
                f"rate, {EPOCH_SECONDS:g} s at most"
            )
    daemon.leases = daemon.ingress.leases = LeaseService(
        daemon.loop, daemon.ingress, daemon.counter, daemon.plans.book, options, daemon.metrics, daemon.log
    )


def build_ledger(daemon: Daemon) -> None:
    """Build the ledger of use. Raises ConfigError where its store cannot be opened."""
    if (options := daemon.config.operator.ledger) is not None:
        from .ledger.service import LedgerService
        from .ledger.store import LedgerError

        try:
            daemon.ledger = LedgerService(
                daemon.loop, daemon.pool, options, daemon.config.name, daemon.metrics, daemon.log
            )
        except LedgerError as error:
            raise ConfigError(f"ledger.path: {error}") from None
        daemon.ingress.ledger = daemon.ledger


def build_tally(daemon: Daemon) -> None:
    """Build the tally that logs one line a second."""
    if daemon.config.operator.seconds:
        from .growth.tally import TallyLogger

        daemon.tally = TallyLogger(daemon.loop, daemon.metrics, daemon.ingress.decision_module, daemon.log)


def build_health(daemon: Daemon) -> None:
    """Build the health service, for the control API or for a supervisor that is notified."""
    if daemon.config.operator.control is not None or os.environ.get("NOTIFY_SOCKET"):
        from .health.service import HealthService

        daemon.health = HealthService(daemon)


def build_ingress_count(daemon: Daemon) -> None:
    """Build the count of ingresses, which the supervisor and the membership feed."""
    if daemon.config.operator.control is not None or daemon.config.operator.members is not None:
        from .fleet.gateways import GatewaysService

        settings, members = daemon.config.settings, daemon.config.operator.members
        # Firms are assigned to ingresses over all places of the fleet, whether or not a process runs there now.
        settings.places = max(settings.places, int(os.environ.get("BRACKENPULLEY_PLACES", "0")))
        daemon.ingress_count = GatewaysService(
            daemon.loop, daemon.ingress, settings.gateways, members.max_instances if members else 0, daemon.metrics
        )


def build_members(daemon: Daemon) -> None:
    """Build the membership service."""
    if (options := daemon.config.operator.members) is not None:
        from .members.service import DaemonMembers

        daemon.members = DaemonMembers(
            daemon.loop, options, daemon.config.name, daemon.ingress_count, daemon.metrics, daemon.log
        )


def build_agreement(daemon: Daemon) -> None:
    """Build the service that agrees on a replicated log."""
    if (options := daemon.config.operator.consensus) is not None:
        from .consensus.service import AgreementService

        daemon.agreement = AgreementService(
            daemon.loop, options, daemon.config.name, daemon.members, daemon.metrics, daemon.log
        )


def build_maintenance(daemon: Daemon) -> None:
    """Build the service that orders servers' maintenance."""
    if (options := daemon.config.operator.maintenance) is not None:
        from .maintenance.service import MaintenanceService

        daemon.maintenance = MaintenanceService(daemon, options, daemon.agreement)


def build_drains(daemon: Daemon) -> None:
    """Build the service that shares out the connections that servers allow."""
    if (options := daemon.config.operator.drains) is not None:
        from .drains.service import DrainsService

        daemon.drains = DrainsService(daemon, options, daemon.agreement)


def build_configuration(daemon: Daemon) -> None:
    """Build the service of configuration revisions."""
    if (options := daemon.config.operator.configuration) is not None:
        from .configuration.service import ConfigurationService

        daemon.configuration = daemon.ingress.plans = ConfigurationService(daemon, options, daemon.agreement)


def build_control(daemon: Daemon) -> None:
    """Build the control API with the routes of all parts that are on."""
    if daemon.config.operator.control is None:
        return
    from .control import api
    from .control.server import ControlServer

    routes = api.Routes()
    parts_and_routes: list[tuple[Any, Any]] = [
        (daemon, api.common_routes),
        (daemon.plans, api.plan_routes),
        (daemon.reservations, api.reservation_routes),
        (daemon.ledger, api.ledger_routes),
        (daemon.ingress_count, api.gateway_routes),
        (daemon.members, api.member_routes),
        (daemon.agreement, api.agreement_routes),
        (daemon.maintenance, api.work_routes),
        (daemon.drains, api.limit_routes),
        (daemon.configuration, api.configuration_routes),
    ]
    for part, add_routes in parts_and_routes:
        if part is not None:
            add_routes(routes, part)
    daemon.control = ControlServer(daemon.loop, daemon.pool, routes, daemon.metrics)


OPTIONAL_PARTS = (
    build_authz_server,
    build_authz_client,
    build_xds_file,
    build_plans,
    build_reservations,
    build_leases,
    build_ledger,
    build_tally,
    build_health,
    build_ingress_count,
    build_members,
    build_agreement,
    build_maintenance,
    build_drains,
    build_configuration,
    build_control,
)
