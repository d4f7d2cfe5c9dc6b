"""What a gateway believes about routes, services and servers."""

from __future__ import annotations

__all__ = [
    "Backend",
    "CallerLimits",
    "Documents",
    "GatewaySettings",
    "Route",
    "RouteTable",
    "Service",
    "Timing",
    "WeightedService",
]

from typing import NamedTuple

KEY_COUNT = 65_536
"""Keys of a keyed service are numbers from 0 to 65535."""


class WeightedService(NamedTuple):
    """A service that serves a route, with its weight among the others."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route of the configuration.

    :param idempotent: whether a request may run more than once.
    :param timeout_s: longest time that a caller is kept waiting.
    :param target_latency_s: time within which an answer has its full value.
    :param priority: 0 is the most urgent.
    :param max_servers: servers that one request may be sent to.
    :param weighted_services: services that serve the route; one unless it is split.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    max_servers: int
    weighted_services: tuple[WeightedService, ...]


class Service(NamedTuple):
    """One service of the configuration.

    :param keyed: whether each key is owned by one server.
    :param max_connections: connections that a server accepts from all callers.
    :param key_warmup_s: how long keys that arrive without a hand-over are slow.
    """

    name: str
    keyed: bool
    max_connections: int
    health_path: str
    key_warmup_s: float


class CallerLimits(NamedTuple):
    """What a caller may send and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class RouteTable(NamedTuple):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits


class Backend(NamedTuple):
    """A server as its own entry describes it.

    :param server: identity of the server.
    :param address: ``IP:port``.
    :param started_ms: Unix time of its start; another value is another life.
    :param warmup_left_s: how much longer it is slow after its start.
    :param revision: revision of the entry in the store.
    """

    server: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool
    warmup_left_s: float
    started_ms: int
    revision: int


class Documents(NamedTuple):
    """The newest documents that a host knows, as they lie in the store.

    :param configuration: the operator's document, with its revision.
    :param assignment_revision: revision of the owners of keys.
    """

    configuration: bytes
    configuration_revision: int
    assignment_revision: int


class Timing(NamedTuple):
    """Bounds that the deployment sets, in seconds."""

    drain_s: float
    grace_s: float
    max_hold_s: float
    retry_window_s: float
    retry_budget_ratio: float
    retry_budget_slack: float


class GatewaySettings(NamedTuple):
    """Settings of one gateway process.

    :param seeds: addresses of peers to ask when the store does not answer.
    :param first_start: whether the whole system starts for the first time.
    """

    host: str
    data_centre: str
    callers_address: str
    ready_address: str
    peer_address: str
    store_address: str
    seeds: tuple[str, ...]
    timing: Timing
    lease_min_s: float
    metrics_address: str
    first_start: bool
