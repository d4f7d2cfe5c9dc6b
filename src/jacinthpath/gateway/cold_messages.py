"""Encodes and decodes cold servers in peer frames."""

from __future__ import annotations

__all__ = ["has_other_cold_servers", "read_cold_servers", "write_cold_servers"]

from typing import Any

from .clock import boottime_s
from .cluster_view import ClusterView
from .cold_servers import MAX_COLD_S, ColdPeriod


def has_other_cold_servers(view: ClusterView, wanted: Any) -> bool:
    """Return whether the requester of documents knows other cold servers.

    They are sent only if a service bounds the rate at its cold servers. A requester of
    an earlier build takes none. An empty set can't be told from none in a message.
    """
    if not wanted.takesColdServers or not view.bounds_cold_servers():
        return False
    digest = view.cold_servers.digest()
    return digest != 0 and digest != wanted.coldDigest


def write_cold_servers(content: Any, periods: tuple[ColdPeriod, ...]) -> None:
    """Write the field ``coldServers``; the end of a period becomes the time left."""
    now_s = boottime_s()
    entries = content.init("coldServers", len(periods))
    for entry, period in zip(entries, periods, strict=True):
        entry.server, entry.bornMs = period.server, period.started_ms
        entry.order = period.order
        left_s = min(MAX_COLD_S, max(0.0, period.until_s - now_s))
        entry.remainingMs = int(1000 * left_s)


def read_cold_servers(content: Any) -> tuple[ColdPeriod, ...]:
    """Return the cold servers in a message."""
    now_s = boottime_s()
    return tuple(
        ColdPeriod(
            entry.server,
            entry.bornMs,
            now_s + min(MAX_COLD_S, entry.remainingMs / 1000),
            entry.order,
        )
        for entry in content.coldServers
    )
