"""Construction and lifetime of a node."""

import random
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import statsd

from lentilsill.membership import NodeRecord
from lentilsill.platform import HttpObjectApi
from lentilsill.settings import NodeSettings
from lentilsill.status.aggregate import VersionedDocuments
from lentilsill.versioning import EMPTY_SNAPSHOT
from lentilsill.wire import PeerLinks
from lentilsill.wire.features import ORGANISATIONS
from lentilsill.wire.links import Identity

from .admin_server import AdminServer
from .blackboard import Blackboard
from .caller_server import CallerServer
from .connection_log import ConnectionLog
from .context import Context
from .controllers.bundle import BundleController
from .controllers.claims import ClaimsController
from .controllers.destination import DestinationController
from .controllers.directory import DirectoryController
from .controllers.discovery import UpstreamDiscovery
from .controllers.distribution import DistributionController
from .controllers.documents import DocumentsController
from .controllers.entry import EntryController
from .controllers.load_report import LoadReportController
from .controllers.membership import MembershipController
from .controllers.platform_watch import PlatformWatchController
from .controllers.quarantine import QuarantineController
from .controllers.quotas import QuotaController
from .controllers.readiness import ReadinessController
from .controllers.rollout_store import RolloutStoreController
from .controllers.rollouts import FEATURE as ROLLOUTS_FEATURE, RolloutsController
from .controllers.status import StatusController
from .controllers.upstream_check import UpstreamCheck
from .integration import DEFAULT_INTEGRATION, Integration

__all__ = ["make_context", "running_node"]

# Longest time for which a peer that does not read delays the exit.
FLUSH_TIMEOUT_S = 1.0
# First-ranked nodes that exchange summaries with other domains.
GATEWAYS = 2


def make_context(cfg: NodeSettings) -> Context:
    """Create the context that the node's controllers share."""
    advertised_address = cfg.advertise_address or cfg.peer_address
    identity = Identity(cfg.node, secrets.token_hex(8), cfg.domain, advertised_address)
    statsd_client = None
    if cfg.statsd is not None:
        host, _, port = cfg.statsd.address.rpartition(":")
        statsd_client = statsd.StatsClient(host, int(port), prefix=cfg.statsd.prefix)
    links = PeerLinks(identity, cfg.bind_ip)
    if cfg.organisations:
        links.features += (ORGANISATIONS,)
    return Context(
        cfg=cfg,
        board=Blackboard(EMPTY_SNAPSHOT),
        links=links,
        statsd_client=statsd_client,
        rng=random.Random(),
    )


@asynccontextmanager
async def running_node(
    cfg: NodeSettings, integration: Integration = DEFAULT_INTEGRATION
) -> AsyncIterator[Context]:
    """Run a node's controllers and servers until the context manager exits."""
    ctx = make_context(cfg)
    versioned = integration.parse_versioned_announcement
    if cfg.rollouts is not None and versioned is not None:
        integration = replace(integration, parse_announcement=versioned)
    api = HttpObjectApi.from_config(cfg.platform, integration.decoders)
    membership = _start_control_plane(ctx, api, integration)
    entry, destination, claims = _start_call_path(ctx, api, membership, integration)
    ctx.in_flight = lambda: (
        entry.in_flight
        + entry.admission.waiting_count
        + destination.in_flight_total
        + claims.count_unfinished()
    )
    _start_rollouts(ctx, api, membership, entry, destination)
    load_report = LoadReportController(ctx, destination)
    load_report.start()
    caller_server = CallerServer(
        entry,
        cfg.calls.max_body_bytes,
        claims.issue_keys,
        integration,
        cfg.host_service,
        lambda: ctx.board.snapshot.caller_limits,
        load_report.record_held_answer,
        ConnectionLog(ctx).record,
        ctx.answer_bytes,
    )
    admin_server = AdminServer(
        ctx, destination.on_upstream_crash, destination.in_flight, integration
    )
    destination.drop_upstream = admin_server.announcements.drop
    destination.mark_leaving = admin_server.announcements.mark_leaving
    admin_server.announcements.on_upstream_return = destination.on_upstream_return
    check = UpstreamCheck(ctx, integration)
    if check.is_possible:
        admin_server.announcements.check_upstream = check.ask
    UpstreamDiscovery(ctx, admin_server.announcements, check).start()
    ctx.links.listen(cfg.peer_address)
    caller_server.listen(cfg.caller_address)
    admin_server.start()
    try:
        yield ctx
        await caller_server.close()
        membership.leave()
        await ctx.links.flush(FLUSH_TIMEOUT_S)
    finally:
        admin_server.stop()
        for task in list(ctx.tasks):
            task.cancel()
        ctx.links.close()
        api.close()


def _start_control_plane(
    ctx: Context, api: HttpObjectApi, integration: Integration
) -> MembershipController:
    documents: DocumentsController | BundleController
    if ctx.cfg.documents == "bundle":
        documents = BundleController(ctx)
    else:
        documents = DocumentsController(ctx)
    membership = MembershipController.from_context(ctx, documents)
    distribution = DistributionController.from_context(ctx, documents, membership)
    platform_watch = PlatformWatchController.from_context(
        ctx,
        api,
        documents,
        membership,
        distribution,
        integration.documents_kind,
        integration.documents_name,
    )
    readiness = ReadinessController.from_context(ctx, distribution, platform_watch)

    def ranked_members() -> list[NodeRecord]:
        members = ctx.board.members
        return [members[name] for name in membership.ranked() if name in members]

    for controller in (membership, distribution, platform_watch, readiness):
        controller.start()
    if isinstance(documents, DocumentsController):
        versions: VersionedDocuments = documents.store
    else:
        versions = documents
    StatusController(ctx, versions, api, ranked_members).start()
    if ctx.cfg.directory:
        DirectoryController(ctx, api, membership).start()
    return membership


def _start_rollouts(
    ctx: Context,
    api: HttpObjectApi,
    membership: MembershipController,
    entry: EntryController,
    destination: DestinationController,
) -> None:
    if ctx.cfg.rollouts is None:
        return
    ctx.links.features += (ROLLOUTS_FEATURE,)
    rollouts = RolloutsController(
        ctx, ctx.cfg.rollouts, membership, entry.rollouts, destination
    )
    rollouts.start()
    RolloutStoreController(ctx, api, rollouts).start()


def _start_call_path(
    ctx: Context,
    api: HttpObjectApi,
    membership: MembershipController,
    integration: Integration,
) -> tuple[EntryController, DestinationController, ClaimsController]:
    quarantine = QuarantineController(
        ctx, membership.push_to_children, membership.random_peer_addresses
    )
    claims = ClaimsController(ctx, api, lambda: membership.is_among_first_ranked(1))
    destination = DestinationController(
        ctx, quarantine, claims.store_orphaned_result, integration
    )
    entry = EntryController(ctx, destination, claims, quarantine)
    if ctx.cfg.quotas is not None:
        quotas = QuotaController(
            ctx, ctx.cfg.quotas, lambda: membership.ranked()[:GATEWAYS]
        )
        quotas.start()
        entry.admission.quotas = quotas
    for controller in (quarantine, claims, destination, entry):
        controller.start()
    return entry, destination, claims
