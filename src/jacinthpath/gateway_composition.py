"""Composition root of the gateway: the only place that wires its parts."""

from __future__ import annotations

__all__ = ["build_gateway"]

import secrets
from random import Random

from .gateway.assigner import Assigner
from .gateway.assignment import FormerLeader
from .gateway.beliefs import Beliefs
from .gateway.events import EventLog
from .gateway.forwarder import Forwarder
from .gateway.leadership import Leadership
from .gateway.loads import KeyCounter, LoadBoard
from .gateway.model import CallerLimits
from .gateway.owner_lookup import OwnerLookup
from .gateway.peering import Peering
from .gateway.pool import ServerPool
from .gateway.request_run import RequestParts
from .gateway.service import GatewayService
from .gateway.watching import StoreWatcher
from .keyring import SharedKey
from .metrics import Metrics
from .peers import PeerIdentity
from .platform import (
    WATCHED_KEYS,
    OrderClient,
    PlatformStore,
    decode_backend,
    decode_route_table,
    load_settings,
)
from .platform.callers import CallerServer
from .platform.servers import ServerClient


def build_gateway(path: str) -> GatewayService:
    """Return a gateway for the settings file at ``path``."""
    settings = load_settings(path)
    random = Random()
    process = secrets.token_hex(8)
    metrics = Metrics()
    events = EventLog(settings.host, count=metrics.count)
    events.attach_library_logs()
    store = PlatformStore(settings.store_address)
    orders = OrderClient()
    servers = ServerClient()
    keys = SharedKey()
    beliefs = Beliefs(events, decode_route_table, decode_backend)
    counter = KeyCounter()
    board = LoadBoard(beliefs.directory.slots_of)
    pool = ServerPool(settings.data_centre, random)
    peering = Peering(
        PeerIdentity(settings.host, settings.data_centre, "gateway", process),
        settings.peer_address,
        settings.seeds,
        keys,
        beliefs,
        counter,
        board,
        metrics,
        events,
        random,
    )
    watcher = StoreWatcher(
        store,
        WATCHED_KEYS,
        beliefs,
        peering,
        events,
        random,
        settings.first_start,
    )
    leadership = Leadership(
        store,
        beliefs,
        events,
        random,
        settings.host,
        settings.peer_address,
        process,
        settings.lease_min_s,
    )
    peering.is_leading = lambda: leadership.authority is not None
    assigner = Assigner(
        store,
        beliefs,
        leadership,
        orders,
        board,
        settings.timing,
        events,
        metrics,
        FormerLeader(process, settings.peer_address),
        peering.has_ended,
    )
    owners = OwnerLookup(beliefs, pool, settings.timing.drain_s)
    parts = RequestParts(
        beliefs, pool, owners, servers, counter, events, metrics, random
    )
    forwarder = Forwarder(parts, settings.timing)
    gateway = GatewayService(
        settings,
        store,
        keys,
        beliefs,
        watcher,
        leadership,
        assigner,
        peering,
        forwarder,
        (store, orders, servers),
        metrics,
        events,
        lambda: load_settings(path),
    )
    gateway.listener = CallerServer(
        settings.callers_address,
        settings.ready_address,
        forwarder.handle,
        gateway.unready_reason,
        lambda: _limits(beliefs),
        lambda: gateway.leaving,
    )
    return gateway


def _limits(beliefs: Beliefs) -> CallerLimits:
    return beliefs.routes.table.limits if beliefs.routes else CallerLimits()
