"""Composition root of the gateway: the only module that wires its components."""

from __future__ import annotations

__all__ = ["build_gateway"]

import secrets
from functools import partial
from random import Random

from .gateway.assigner import Assigner
from .gateway.assignment import LeaderProcess
from .gateway.body_memory import BodyMemory
from .gateway.capacity.appointer import CoordinatorAppointer
from .gateway.capacity.coordinators import Candidate
from .gateway.capacity.slot_client import SlotClient
from .gateway.capacity.slot_service import SlotService
from .gateway.cluster_view import ClusterView
from .gateway.cold_limiter import ColdLimiter
from .gateway.crash_detector import CrashDetector
from .gateway.crash_ledger import CrashLedger
from .gateway.events import EventLog
from .gateway.forwarder import Forwarder
from .gateway.host_reports import HostReporter
from .gateway.leader_election import LeaderElection
from .gateway.link_budget import LinkBudget
from .gateway.loads import LoadAggregator, LoadRecorder
from .gateway.loops import LoopSupervisor
from .gateway.model import CallerLimits, Timing
from .gateway.owner_lookup import OwnerLookup
from .gateway.peering import Peering
from .gateway.permit_exchange import PermitExchange
from .gateway.pool import ServerPool
from .gateway.rate_limiter import RateLimiter
from .gateway.reach_monitor import ReachMonitor
from .gateway.relay_client import RelayClient
from .gateway.relay_server import RelayServer
from .gateway.request_dependencies import RequestDependencies
from .gateway.service import GatewayService
from .gateway.shutdown_window import ShutdownWindow
from .gateway.store_eras import StoreEras
from .gateway.store_watcher import StoreWatcher, WatchedKeys
from .keyring import SharedKey
from .metrics import Metrics
from .peers import PeerIdentity, PeerPool
from .platform import (
    WATCHED_KEYS,
    CommandClient,
    IgnoredValues,
    PlatformStore,
    RouteTableDecoder,
    decode_backend,
    load_settings,
)
from .platform.callers import CallerServer
from .platform.servers import ServerClient


def build_gateway(path: str) -> GatewayService:
    """Return a gateway for the settings file at ``path``."""
    settings = load_settings(path)
    random = Random()
    process_id = secrets.token_hex(8)
    metrics = Metrics()
    events = EventLog(settings.host, count=metrics.count)
    events.capture_library_logs()
    loops = LoopSupervisor(metrics, events, random)
    eras = StoreEras(settings.first_start)
    store = PlatformStore(settings.store_address, eras)
    commands = CommandClient()
    memory = BodyMemory(settings.memory_bytes)
    shutdown_window = ShutdownWindow()
    servers = ServerClient(memory)
    keys = SharedKey()
    ignored = IgnoredValues(events.log_state_change, metrics.count)
    view = ClusterView(
        events,
        RouteTableDecoder(ignored).decode,
        partial(decode_backend, ignored=ignored),
        loops.record_error,
        settings.timing.evacuation_s,
    )
    load_recorder = LoadRecorder()
    load_aggregator = LoadAggregator(view.directory.slots_of)
    pool = ServerPool(settings.data_centre, random)
    reach = ReachMonitor(view, pool, servers, metrics, events, random, loops)
    identity = PeerIdentity(settings.host, settings.data_centre, "gateway", process_id)
    peer_pool = PeerPool(identity, keys, {}, metrics, random)
    crash_ledger = CrashLedger()
    crash_detector = CrashDetector(view, crash_ledger, servers, reach, metrics, events)
    permits = PermitExchange(settings.host, settings.peer_address, peer_pool, view)
    reporter = HostReporter(
        settings.host,
        settings.peer_address,
        peer_pool,
        view,
        load_recorder,
        load_aggregator,
        crash_detector,
        events,
        random,
        loops,
    )
    slot_service = SlotService(settings.peer_address, view, metrics, events, random)
    slots = SlotClient(
        process_id,
        settings.peer_address,
        peer_pool,
        view,
        slot_service,
        metrics,
        events,
    )
    appointer = CoordinatorAppointer(
        Candidate(
            settings.host,
            settings.peer_address,
            settings.data_centre,
            settings.cores,
        ),
        view,
        events,
        loops,
    )
    owner_lookup = OwnerLookup(view, pool, settings.timing.drain_s)
    dependencies = RequestDependencies(
        settings.data_centre,
        view,
        pool,
        reach,
        owner_lookup,
        RateLimiter(view, permits, metrics, random),
        slots,
        ColdLimiter(settings.host, view, metrics, random),
        crash_ledger,
        crash_detector,
        servers,
        RelayClient(settings.peer_address, peer_pool, view, random),
        load_recorder,
        events,
        metrics,
        random,
        shutdown_window,
    )
    relay_server = RelayServer(dependencies, settings.timing.drain_s, memory)
    peering = Peering(
        identity,
        settings.peer_address,
        settings.seeds,
        keys,
        view,
        peer_pool,
        permits,
        appointer,
        crash_ledger,
        reach,
        LinkBudget(settings.link_bytes_per_s),
        {
            "hostReport": reporter.handle_report,
            "permitWanted": permits.handle_permit_wanted,
            "relayWanted": relay_server.handle_relay_wanted,
            "relayPartWanted": relay_server.handle_part_wanted,
            "relayEnded": relay_server.handle_relay_ended,
            "slotWanted": slot_service.handle_slot_wanted,
            "slotReturned": slot_service.handle_slot_returned,
        },
        metrics,
        events,
        random,
        loops,
    )
    watcher = StoreWatcher(
        store,
        _watched_keys(settings.timing),
        view,
        peering,
        events,
        random,
        settings.first_start,
        settings.heartbeat_s,
        loops,
    )
    election = LeaderElection(
        store,
        view,
        reach,
        events,
        random,
        settings.host,
        settings.peer_address,
        process_id,
        settings.lease_min_s,
        settings.link_bytes_per_s,
        loops,
    )
    election.knows_better_host = peering.knows_host_with_path
    peering.store_fails = watcher.store_fails
    crash_detector.is_following = peering.is_following
    peering.authority = permits.authority = lambda: election.authority
    peering.is_stopping = appointer.is_stopping = lambda: shutdown_window.is_open
    appointer.term = lambda: (
        election.record_revision if permits.is_confirmed() else None
    )
    assigner = Assigner(
        store,
        view,
        election,
        commands,
        load_aggregator,
        reach,
        settings.timing,
        events,
        metrics,
        LeaderProcess(process_id, settings.peer_address),
        peering.has_stopped_leading,
        eras,
        loops,
    )
    election.may_have_missed_grants = assigner.may_have_missed_grants
    forwarder = Forwarder(dependencies, settings.timing)
    gateway = GatewayService(
        settings,
        store,
        keys,
        view,
        watcher,
        election,
        assigner,
        appointer,
        peering,
        reporter,
        crash_detector,
        reach,
        relay_server,
        slot_service,
        forwarder,
        (store, commands, servers),
        metrics,
        events,
        lambda: load_settings(path),
        random,
        loops,
        shutdown_window,
    )
    relay_server.draining = lambda: shutdown_window.is_open
    gateway.listener = CallerServer(
        settings.callers_address,
        settings.ready_address,
        forwarder.handle,
        gateway.unready_reason,
        lambda: _limits(view),
        shutdown_window,
        memory,
        metrics,
    )
    return gateway


def _watched_keys(timing: Timing) -> WatchedKeys:
    """Return the keys to watch; without evacuations the store gets no call for them."""
    if timing.evacuation_s:
        return WATCHED_KEYS
    return WATCHED_KEYS._replace(evacuations_prefix="")


def _limits(view: ClusterView) -> CallerLimits:
    return view.routes.table.limits if view.routes else CallerLimits()
