"""Lowers the speeds of servers that have named a limit, so that they get fewer keys."""

from __future__ import annotations

__all__ = ["cap_speeds"]

from collections.abc import Mapping

USABLE_SHARE = 0.7
"""A server gets keys with this share of the requests that it takes: requests come at
random, and those beyond the limit are refused."""

MIN_SPEED = 1e-3
"""Speeds stay positive, since loads are divided by them."""


def cap_speeds(
    speeds: Mapping[str, float], limits: Mapping[str, float], rate_per_s: float
) -> dict[str, float]:
    """Return speeds in proportion to which load can be shared within the limits.

    :param speeds: speeds of a service's servers, relative to their mean.
    :param limits: requests a second that servers take, for those that name a limit.
    :param rate_per_s: requests a second for the service.
    """
    caps = {
        server: max(USABLE_SHARE * limits[server], MIN_SPEED)
        for server in speeds
        if server in limits
    }
    capped: set[str] = set()
    load_per_speed = 0.0
    while len(capped) < len(speeds):
        free_speed = sum(speeds[server] for server in speeds if server not in capped)
        free_rate_per_s = rate_per_s - sum(caps[server] for server in capped)
        load_per_speed = free_rate_per_s / free_speed
        exceeding = {
            server
            for server in caps.keys() - capped
            if speeds[server] * load_per_speed > caps[server]
        }
        if not exceeding:
            break
        capped |= exceeding
    if not capped:
        return dict(speeds)
    if len(capped) == len(speeds):
        load_per_speed = sum(caps.values()) / len(caps)
    return {
        server: max(MIN_SPEED, caps[server] / load_per_speed)
        if server in capped
        else speed
        for server, speed in speeds.items()
    }
