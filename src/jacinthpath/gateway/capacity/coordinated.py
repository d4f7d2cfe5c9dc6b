"""Tells which services have their slots lent by coordinators."""

from __future__ import annotations

__all__ = ["coordinated_services"]

from collections import defaultdict

from ..model import RouteTable


def coordinated_services(table: RouteTable) -> frozenset[str]:
    """Return the services whose slots all hosts share.

    These are the services that bound the rate of cold servers, which holds for all
    hosts together, and those that routes of different priorities compete for. A route
    without a latency objective below its timeout does not compete: it gains nothing
    from going before others.
    """
    priorities: dict[str, set[int]] = defaultdict(set)
    for route in table.routes:
        if route.target_latency_s >= route.timeout_s:
            continue
        for target in route.weighted_services:
            if target.weight > 0:
                priorities[target.service].add(route.priority)
    return frozenset(
        name
        for name, service in table.services.items()
        if service.warmup_rate_per_s > 0 or len(priorities[name]) > 1
    )
