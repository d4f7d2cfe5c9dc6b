"""Data types of the gateway: routes, services, servers and settings."""

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
"""Keys of a keyed service are integers from 0 to 65535."""


class WeightedService(NamedTuple):
    """A service of a route, with its weight relative to the route's other services."""

    service: str
    weight: float


class Route(NamedTuple):
    """One route of the configuration.

    :param idempotent: whether a request may run more than once.
    :param timeout_s: longest time that a caller waits for the response.
    :param target_latency_s: latency objective; a later response is worth less to the
        caller.
    :param priority: 0 is the most urgent.
    :param max_servers: number of servers that one request may be sent to.
    :param weighted_services: one service, or several if the traffic is split.
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
    :param max_connections: connections that a server accepts from all its clients.
    :param key_warmup_s: how long requests for a key are slow after a move without
        handover.
    :param warmup_s: how long a server is cold after its start.
    :param warmup_rate_per_s: requests a second that a cold server takes from all hosts
        together; 0 for no bound.
    """

    name: str
    keyed: bool
    max_connections: int
    health_path: str
    key_warmup_s: float
    warmup_s: float = 0.0
    warmup_rate_per_s: float = 0.0


class CallerLimits(NamedTuple):
    """Size limits and timeouts for callers' requests."""

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
    """A server as described by its entry in the store.

    :param server: identity of the server.
    :param address: ``IP:port``.
    :param started_ms: Unix time of its start; identifies its incarnation.
    :param warmup_left_s: remaining time for which it is slow after its start.
    :param revision: revision of the entry in the store.
    """

    server: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    warmup_left_s: float
    started_ms: int
    revision: int


class Documents(NamedTuple):
    """The newest documents that a host knows.

    :param configuration: the operator's document as stored, with its revision.
    :param configuration_version: the operator's number of it, 0 if there is none.
    :param configuration_digest: names its content, 0 if there is none.
    :param assignment_revision: revision of the assignment of keys to servers.
    :param assignment_fence: its highest fencing token.
    """

    configuration: bytes
    configuration_revision: int
    configuration_version: int
    configuration_digest: int
    assignment_revision: int
    assignment_fence: int


class Timing(NamedTuple):
    """Time bounds in seconds, and the retry budget, set by the deployment.

    :param drain_s: time for which a draining server still accepts requests.
    :param grace_s: time that a gateway has to end after it was asked to stop.
    :param max_hold_s: longest hold time that a leader may grant.
    :param retry_window_s: sliding window in which requests and retries are counted.
    :param retry_budget_ratio: retries allowed for each request in the window.
    :param retry_budget_slack: further retries allowed to all hosts together.
    :param evacuation_s: time for which servers of an evacuated data centre may still
        receive requests; 0 if data centres are not evacuated.
    """

    drain_s: float
    grace_s: float
    max_hold_s: float
    retry_window_s: float
    retry_budget_ratio: float
    retry_budget_slack: float
    evacuation_s: float = 0.0


class GatewaySettings(NamedTuple):
    """Settings of one gateway process.

    :param seeds: addresses of peers to ask while the store is unavailable.
    :param first_start: whether the whole system starts for the first time.
    :param link_bytes_per_s: what the link of the host carries.
    :param heartbeat_s: interval at which a server writes its entry to the store.
    :param cores: processor cores that the process may use.
    :param memory_bytes: memory of the host, 0 if it is not known.
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
    link_bytes_per_s: float
    heartbeat_s: float
    cores: float = 1.0
    memory_bytes: int = 0
