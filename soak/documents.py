"""What the operator writes: settings of gateways and configurations."""

from __future__ import annotations

__all__ = ["ROUTES_KEY", "VERSION_PREFIX", "configuration", "settings"]

import json
from typing import Any

ROUTES_KEY = "op/config"
VERSION_PREFIX = "/version-"
HOST = "soak.example"

_SETTINGS = """
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

_COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout",
    "target_latency",
    "priority",
    "max_attempts",
    "service",
]


def settings(gateway: Any) -> str:
    """Return the settings file of a gateway."""
    return _SETTINGS.format(
        name=gateway.name,
        ip=gateway.ip,
        front_port=gateway.front_port,
        ready_port=gateway.ready_port,
        peer_port=gateway.peer_port,
        store=gateway.to_store.address,
    )


def configuration(version: int) -> bytes:
    """Return a configuration; the route of each version so far is in it."""
    rows = [
        _route("read", "/read/", "idempotent", "plain"),
        _route("order", "/order/", "non_idempotent", "plain"),
        _route("keyed", "/keyed/", "idempotent", "keys"),
        *(
            _route(f"v{number}", f"{VERSION_PREFIX}{number}/", "idempotent", "plain")
            for number in range(2, version + 1)
        ),
    ]
    document = {
        "version": f"r{version}",
        "routes": {"columns": _COLUMNS, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_connections", "sharded"],
            "rows": [["plain", "/health", 200, None], ["keys", "/health", 200, True]],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
    return json.dumps(document).encode()


def _route(name: str, prefix: str, kind: str, service: str) -> list[Any]:
    return [name, HOST, prefix, kind, "1500ms", "300ms", 1, 2, service]
