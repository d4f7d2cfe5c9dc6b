"""Composition root: creates and connects the components of each process."""

from __future__ import annotations

__all__ = ["build_control", "build_entry"]

import secrets
from typing import TYPE_CHECKING

from .keyring import KeyRing
from .logs import configure_logging
from .metrics import Metrics
from .peers import PeerIdentity, PeerPool, PeerServer
from .settings import ControlSettings, EntrySettings
from .tracing import Tracer

if TYPE_CHECKING:
    from .control import ControlService
    from .entry import EntryService


def build_entry(settings: EntrySettings) -> EntryService:
    """Return the service of an entry process, not yet started."""
    from .dispatch import Dispatcher
    from .endpoints import EndpointClient
    from .entry import EntryService
    from .forwarding import Forwarder
    from .load_reports import LoadReporter
    from .record_client import HolderClient
    from .request_reader import RequestReader
    from .routing import RoutingState
    from .sending_leases import SendingLeases
    from .subscription import Subscription

    identity = _make_identity(settings, "entry")
    metrics = Metrics()
    tracer = Tracer(
        f"jacinthpath-entry@{identity.host}",
        settings.observability.otlp_url,
        settings.observability.trace_sample_rate,
    )
    routing = RoutingState(metrics)
    keys = KeyRing(settings.security.cluster_key_files)
    subscription = Subscription(
        identity, settings.control_addresses, keys, routing, metrics
    )
    endpoints = EndpointClient()
    leases = SendingLeases(subscription.pool, routing)
    dispatcher = Dispatcher(routing, identity.data_centre, leases, metrics)
    # Every host runs one control and one entry process, so the number of control
    # addresses is the number of hosts that report.
    reporter = LoadReporter(subscription.pool, routing, len(settings.control_addresses))
    dispatcher.observe_load = reporter.observe
    records = HolderClient(
        subscription.pool,
        lambda: subscription.connected_address or settings.control_addresses[0],
    )
    forwarder = Forwarder(
        RequestReader(routing, settings.limits, tracer),
        dispatcher,
        endpoints,
        records,
        tracer,
        metrics,
        settings.limits.requests_in_flight,
    )
    return EntryService(
        settings,
        routing,
        subscription,
        reporter,
        endpoints,
        leases,
        dispatcher,
        records,
        forwarder,
        metrics,
        tracer,
    )


def build_control(settings: ControlSettings) -> ControlService:
    """Return the service of a control process, not yet started."""
    from .control import ControlService
    from .coordinator_service import CoordinatorService
    from .endpoints import EndpointClient
    from .gossip_service import GossipService
    from .hosts import HttpHostList
    from .record_service import RecordService
    from .store import HttpKeyValueStore

    identity = _make_identity(settings, "control")
    metrics = Metrics()
    keys = KeyRing(settings.security.cluster_key_files)
    store = HttpKeyValueStore(
        settings.platform.store_url, settings.platform.call_timeout_ms / 1000
    )
    host_list = HttpHostList(settings.platform.host_list_url)
    pool = PeerPool(identity, keys, {}, metrics)
    topics = GossipService(store, host_list, pool, metrics, settings.staleness_limit_s)
    endpoints = EndpointClient()
    coordinators = CoordinatorService(
        identity.process_id,
        store,
        topics,
        endpoints,
        host_list,
        pool,
        data_centres=settings.process.data_centres,
        min_uptime_s=settings.vouch_min_uptime_s,
    )
    records = RecordService(store, host_list, topics, pool)
    handlers = {
        **topics.handlers(),
        **coordinators.handlers(),
        **records.handlers(),
    }
    peer_server = PeerServer(
        identity, settings.listen.peer_address, keys, handlers, metrics
    )
    control = ControlService(
        settings,
        store,
        host_list,
        peer_server,
        pool,
        topics,
        coordinators,
        records,
        endpoints,
        metrics,
    )
    handlers.update(control.handlers())
    return control


def _make_identity(
    settings: EntrySettings | ControlSettings, role: str
) -> PeerIdentity:
    process = settings.process
    process_id = f"{process.host}/{secrets.token_hex(8)}"
    configure_logging(
        settings.observability.log_level,
        host=process.host,
        data_centre=process.data_centre,
    )
    return PeerIdentity(process.host, process.data_centre, role, process_id)
