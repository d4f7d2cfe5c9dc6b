"""Documents that the platform's operator writes: host settings, configurations."""

from __future__ import annotations

__all__ = ["CONFIGURATION_KEY", "HOST", "SETTINGS", "configuration", "route"]

import json
from collections.abc import Collection, Sequence
from typing import Any

CONFIGURATION_KEY = "op/config"
HOST = "h.example"

SETTINGS = """
node_name = "{name}"
ip = "{ip}"
zone = "a"
internal_port_range = [{peer_port}, {peer_port}]
seeds = []
heartbeat = "500ms"
[listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[bounds]
contact = "3000ms"
drain = "2000ms"
grace = "6s"
retry_budget_ratio = 0.2
retry_window = "10s"
retry_budget_slack = 58
hold_max = "10000ms"
[provider]
address = "{store}"
ttl_min = "1000ms"
"""

ROUTE_COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout",
    "target_latency",
    "priority",
    "traffic_split",
    "max_attempts",
    "service",
]


def route(
    name: str,
    prefix: str,
    service: str,
    kind: str = "idempotent",
    timeout: str = "800ms",
    split: list[Any] | None = None,
    target_latency: str = "300ms",
    priority: int = 1,
) -> list[Any]:
    """Return a row of the routes table of a configuration."""
    service_cell = None if split else service
    return [
        name,
        HOST,
        prefix,
        kind,
        timeout,
        target_latency,
        priority,
        split,
        2,
        service_cell,
    ]


def configuration(
    version: int,
    routes: Sequence[list[Any]],
    keyed: Collection[str] = ("keys",),
    services: Sequence[str] = ("plain", "keys"),
    max_connections: int = 110,
    warmup: tuple[str, Any] | None = None,
) -> bytes:
    """Return a configuration as it is encoded in the store.

    :param warmup: how long all servers are cold, and the rate that they take then.
    """
    service_columns = ["name", "health_path", "max_connections", "sharded"]
    if warmup is not None:
        service_columns += ["warmup", "warmup_per_s"]
    document = {
        "version": f"r{version}",
        "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
        "services": {
            "columns": service_columns,
            "rows": [
                [
                    name,
                    "/health",
                    max_connections,
                    True if name in keyed else None,
                    *(warmup or ()),
                ]
                for name in services
            ],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
    return json.dumps(document).encode()
