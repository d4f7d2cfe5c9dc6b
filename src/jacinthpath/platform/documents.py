"""Decoders of the operator's configuration and of the servers' entries."""

from __future__ import annotations

__all__ = ["decode_backend", "decode_route_table"]

import json
from collections.abc import Iterator
from typing import Any

from ..gateway.model import (
    Backend,
    CallerLimits,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from .values import MalformedValue, duration_s, version_number

SERVER_STATES = frozenset({"ready", "draining"})
DEFAULT_TIMEOUT_S = 30.0
MAX_SLOTS = 10_000


def decode_route_table(content: bytes) -> RouteTable:
    """Decode the operator's configuration.

    :raises MalformedValue: it cannot be read.
    """
    try:
        document = json.loads(content)
        services = {
            row["name"]: _decode_service(row) for row in _rows(document["services"])
        }
        routes = tuple(_decode_route(row) for row in _rows(document["routes"]))
        return RouteTable(
            version_number(document["version"]),
            routes,
            services,
            _decode_limits(document.get("limits") or {}),
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedValue(
            f"The configuration cannot be read: {error!r}.",
            "Correct the document in the store.",
        ) from error


def decode_backend(server: str, content: bytes, revision: int) -> Backend:
    """Decode the entry of a server.

    :raises MalformedValue: the entry names no server to use.
    """
    try:
        entry = json.loads(content)
        info = entry["info"]
        status = entry["status"]
        backend = Backend(
            server=server,
            service=_text(info["service"]),
            address=_address(entry["address"]),
            zone=_text(info["zone"]),
            slots=_whole(info["slots"], 1, MAX_SLOTS),
            draining=_state(status["state"]) == "draining",
            warmup_left_s=duration_s(status.get("warmup_left") or "0ms"),
            # The start of the server; the entry has it beside info and status.
            started_ms=_whole(entry.get("born", 0), 0, 2**53),
            revision=revision,
        )
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise MalformedValue(
            f"The entry of server {server!r} cannot be read: {error!r}.",
            "The server or another writer has to correct it.",
        ) from error
    return backend


def _rows(table: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield each row by column names; null stands for a value left out."""
    columns = table["columns"]
    for row in table["rows"]:
        pairs = zip(columns, row, strict=True)
        yield {name: value for name, value in pairs if value is not None}


def _decode_service(row: dict[str, Any]) -> Service:
    return Service(
        name=row["name"],
        # "sharded" says that the keys of the service are owned one by one.
        keyed=bool(row.get("sharded", False)),
        max_connections=int(row.get("max_connections", 100)),
        health_path=row.get("health_path", "/health"),
        key_warmup_s=duration_s(row.get("warm", "0s")),
    )


def _decode_route(row: dict[str, Any]) -> Route:
    split = row.get("traffic_split")
    if split:
        shares = tuple(WeightedService(p["service"], float(p["weight"])) for p in split)
    else:
        shares = (WeightedService(row["service"], 1.0),)
    timeout_s = duration_s(row["timeout"]) if "timeout" in row else DEFAULT_TIMEOUT_S
    objective = row.get("target_latency")
    return Route(
        name=row["name"],
        host=row["host"],
        prefix=row["prefix"],
        idempotent=row["kind"] == "idempotent",
        timeout_s=timeout_s,
        target_latency_s=duration_s(objective) if objective else timeout_s,
        priority=int(row.get("priority", 0)),
        max_servers=max(1, int(row.get("max_attempts", 1))),
        weighted_services=shares,
    )


def _decode_limits(limits: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    header_s, idle_s = limits.get("header_timeout"), limits.get("idle_timeout")
    return CallerLimits(
        max_header_bytes=int(limits.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=int(limits.get("max_body_bytes", default.max_body_bytes)),
        header_timeout_s=duration_s(header_s) if header_s else default.header_timeout_s,
        idle_timeout_s=duration_s(idle_s) if idle_s else default.idle_timeout_s,
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is no name")
    return value


def _address(value: Any) -> str:
    host, _, port = _text(value).rpartition(":")
    if not host or not 0 < int(port) < 65_536:
        raise ValueError(f"{value!r} is no address")
    return value


def _whole(value: Any, least: int, most: int) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is no whole number")
    if not least <= value <= most:
        raise ValueError(f"{value!r} is out of range")
    return value


def _state(value: Any) -> str:
    if value not in SERVER_STATES:
        raise ValueError(f"{value!r} is no state")
    return value
