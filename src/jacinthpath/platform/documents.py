"""Decoders of the operator's configuration and of the servers' entries."""

from __future__ import annotations

__all__ = ["RouteTableDecoder", "decode_backend", "decode_route_table"]

import math
from collections.abc import Collection, Iterator
from typing import Any

from ..gateway.model import (
    Backend,
    CallerLimits,
    Route,
    RouteTable,
    Service,
    WeightedService,
)
from ..json_documents import (
    MAX_DEPTH,
    UNREADABLE,
    check_address,
    check_depth,
    check_integer,
    check_text,
    describe,
    parse_json,
)
from .ignored_values import IgnoredValues
from .values import MalformedValue, parse_duration_s, parse_version

SERVER_STATES = frozenset({"ready", "draining"})
IDEMPOTENT_KINDS = frozenset({"idempotent", "download"})
"""Kinds of requests that may run more than once. A download is an idempotent request
with a large response."""

DEFAULT_TIMEOUT_S = 30.0
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000
MAX_PRIORITY = 1_000
MAX_SERVERS_TRIED = 1_000
MAX_BODY_BYTES = 2**40
MAX_PATH_CHARS = 2_000
MAX_WARMUP_S = 3_600.0
"""A server that says it is slow for longer is taken to be slow for this long."""

MAX_WARMUP_RATE_PER_S = 1e6
"""A higher rate is no bound."""

MAX_STARTED_MS = 2**53

ROW_DEPTH = 3
"""Levels above a row of a table in the configuration."""


class RouteTableDecoder:
    """Decodes versions of the operator's configuration.

    A row that stands in the version before too is checked and decoded only once: most
    versions change few of some thousand routes.

    :param ignored: is told of values that are ignored.
    """

    def __init__(self, ignored: IgnoredValues | None = None) -> None:
        self._ignored = ignored or IgnoredValues()
        self._routes: dict[str, Route] = {}
        self._context = ""

    def decode(self, content: bytes) -> RouteTable:
        """Decode a version.

        :raises MalformedValue: it cannot be decoded.
        """
        try:
            document = parse_json(content, check_depth=False)
            _check_depth_beside_rows(document)
            services = {
                row["name"]: _decode_service(
                    row, describe(document["version"]), self._ignored
                )
                for row in _iter_rows(document["services"])
            }
            return RouteTable(
                parse_version(document["version"]),
                self._decode_routes(document["routes"], services),
                services,
                _decode_limits(document.get("limits") or {}),
            )
        except UNREADABLE as error:
            raise MalformedValue(
                f"The configuration cannot be decoded: {describe(error)}.",
                "Correct the document in the store.",
            ) from error

    def _decode_routes(
        self, table: dict[str, Any], services: Collection[str]
    ) -> tuple[Route, ...]:
        columns = table["columns"]
        # What a row means depends on the columns and the names of the services too.
        context = repr((columns, sorted(services)))
        known = self._routes if context == self._context else {}
        routes: list[Route] = []
        decoded: dict[str, Route] = {}
        for row in table["rows"]:
            # Unlike the values, their text tells 1 from 1.0 and True.
            text = repr(row)
            route = known.get(text)
            if route is None:
                check_depth(row, MAX_DEPTH - ROW_DEPTH)
                route = _decode_route(_name_values(columns, row), services)
            decoded[text] = route
            routes.append(route)
        self._routes, self._context = decoded, context
        return tuple(routes)


def decode_route_table(content: bytes) -> RouteTable:
    """Decode one version of the operator's configuration.

    :raises MalformedValue: it cannot be decoded.
    """
    return RouteTableDecoder().decode(content)


def decode_backend(
    server: str,
    content: bytes,
    revision: int,
    ignored: IgnoredValues | None = None,
) -> Backend:
    """Decode the entry of a server.

    One with a field missing or of another type comes from another writer, and names no
    server to use. A duration that cannot be read is ignored.

    :param ignored: is told of values that are ignored.
    :raises MalformedValue: the entry does not describe a usable server.
    """
    try:
        entry = parse_json(content)
        info = entry["info"]
        status = entry["status"]
        _check_type(info["version"], str)
        _check_type(status["sequence"], int)
        _check_type(status["warmup_left"], str)
        backend = Backend(
            server=check_text(server),
            service=check_text(info["service"]),
            address=check_address(entry["address"]),
            data_centre=check_text(info["zone"]),
            slots=check_integer(info["slots"], 1, MAX_SLOTS),
            draining=_check_state(status["state"]) == "draining",
            warmup_left_s=_read_warmup_s(
                f"server {describe(server)}",
                "warmup_left",
                status["warmup_left"],
                ignored or IgnoredValues(),
            ),
            # "born" is the start time of the server, beside "info" and "status".
            started_ms=check_integer(entry["born"], 0, MAX_STARTED_MS),
            revision=revision,
        )
    except UNREADABLE as error:
        raise MalformedValue(
            f"The entry of server {describe(server)} cannot be decoded: "
            f"{describe(error)}.",
            "Correct the server or other writer of the entry.",
        ) from error
    return backend


def _check_depth_beside_rows(document: dict[str, Any]) -> None:
    """Check the depth of a configuration, but for the rows of its routes."""
    check_depth({**document, "routes": {**document["routes"], "rows": None}})


def _iter_rows(table: dict[str, Any]) -> Iterator[dict[str, Any]]:
    """Yield each row as a dictionary by column name."""
    columns = table["columns"]
    for row in table["rows"]:
        yield _name_values(columns, row)


def _name_values(columns: list[str], row: list[Any]) -> dict[str, Any]:
    """Return the values of a row by column name; nulls are left out."""
    pairs = zip(columns, row, strict=True)
    return {name: value for name, value in pairs if value is not None}


def _decode_service(
    row: dict[str, Any], version: str, ignored: IgnoredValues
) -> Service:
    name = check_text(row["name"])
    place = f"service {describe(name)} of configuration {version}"
    return Service(
        name=name,
        # "sharded" means that each key of the service is owned by one server.
        keyed=bool(row.get("sharded", False)),
        max_connections=check_integer(
            row.get("max_connections", 100), 0, MAX_CONNECTIONS
        ),
        health_path=check_text(row.get("health_path", "/health"), MAX_PATH_CHARS),
        key_warmup_s=parse_duration_s(row.get("warm", "0s")),
        warmup_s=_read_warmup_s(place, "warmup", row.get("warmup"), ignored),
        warmup_rate_per_s=_read_warmup_rate(place, row.get("warmup_per_s"), ignored),
    )


def _decode_route(row: dict[str, Any], services: Collection[str]) -> Route:
    traffic_split = row.get("traffic_split")
    if traffic_split:
        weighted_services = _decode_split(traffic_split, services)
    else:
        weighted_services = (WeightedService(check_text(row["service"]), 1.0),)
    timeout_s = (
        parse_duration_s(row["timeout"]) if "timeout" in row else DEFAULT_TIMEOUT_S
    )
    target_latency = row.get("target_latency")
    return Route(
        name=check_text(row["name"]),
        host=check_text(row["host"], MAX_PATH_CHARS),
        prefix=check_text(row["prefix"], MAX_PATH_CHARS),
        idempotent=row["kind"] in IDEMPOTENT_KINDS,
        timeout_s=timeout_s,
        target_latency_s=parse_duration_s(target_latency)
        if target_latency
        else timeout_s,
        priority=check_integer(row.get("priority", 0), 0, MAX_PRIORITY),
        max_servers=max(
            1, check_integer(row.get("max_attempts", 1), 0, MAX_SERVERS_TRIED)
        ),
        weighted_services=weighted_services,
    )


def _decode_split(
    parts: list[dict[str, Any]], services: Collection[str]
) -> tuple[WeightedService, ...]:
    """Return the services of a split; a weight of 0 takes one out of it."""
    split = tuple(WeightedService(p["service"], float(p["weight"])) for p in parts)
    for service, weight in split:
        if service not in services:
            raise ValueError(
                f"the traffic split names the unknown service {describe(service)}"
            )
        if not (math.isfinite(weight) and weight >= 0):
            raise ValueError(
                f"the weight of {describe(service)} in a split is {weight}"
            )
    if not any(weight for _, weight in split):
        raise ValueError("all weights of a traffic split are 0")
    return split


def _decode_limits(limits: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    header_timeout, idle_timeout = (
        limits.get("header_timeout"),
        limits.get("idle_timeout"),
    )
    return CallerLimits(
        max_header_bytes=check_integer(
            limits.get("max_header_bytes", default.max_header_bytes), 0, MAX_BODY_BYTES
        ),
        max_body_bytes=check_integer(
            limits.get("max_body_bytes", default.max_body_bytes), 0, MAX_BODY_BYTES
        ),
        header_timeout_s=parse_duration_s(header_timeout)
        if header_timeout
        else default.header_timeout_s,
        idle_timeout_s=parse_duration_s(idle_timeout)
        if idle_timeout
        else default.idle_timeout_s,
    )


def _read_warmup_s(place: str, field: str, value: Any, ignored: IgnoredValues) -> float:
    """Return a duration, 0 if it is missing or can't be read."""
    if not value:
        return 0.0
    try:
        warmup_s = parse_duration_s(value)
    except MalformedValue:
        ignored.record(place, field, value)
        return 0.0
    if warmup_s > MAX_WARMUP_S:
        ignored.record(place, field, value)
    return min(MAX_WARMUP_S, warmup_s)


def _read_warmup_rate(place: str, value: Any, ignored: IgnoredValues) -> float:
    """Return the bound at a cold server, 0 if it is missing or can't be used."""
    if value is None:
        return 0.0
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_WARMUP_RATE_PER_S:
        ignored.record(place, "warmup_per_s", value)
        return 0.0
    return float(value)


def _check_type(value: Any, expected: type) -> None:
    """Check the type of a field of which nothing else matters."""
    if not isinstance(value, expected) or isinstance(value, bool):
        raise ValueError(f"{describe(value)} is not of type {expected.__name__}")


def _check_state(value: Any) -> str:
    if not isinstance(value, str) or value not in SERVER_STATES:
        raise ValueError(f"{describe(value)} is not a server state")
    return value
