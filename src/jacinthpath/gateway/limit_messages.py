"""Encodes and decodes the limits of servers, and permits, in peer frames."""

from __future__ import annotations

__all__ = [
    "has_other_limits",
    "read_limit",
    "read_permit",
    "write_limit",
    "write_limits",
    "write_permit",
]

import math
from typing import Any

from ..errors import FrameError, PeerUnavailable
from .clock import boottime_s
from .limit_permits import Permit
from .server_limits import LimitObservation, ServerLimits

MAX_AGE_S = 4_000_000.0
"""Largest age of a limit that fits into a message."""


def has_other_limits(limits: ServerLimits, wanted: Any) -> bool:
    """Return whether the requester of documents knows other limits than this host.

    A requester of an earlier build takes none.
    """
    return wanted.takesLimits and limits.digest(boottime_s()) != wanted.limitsDigest


def write_limits(content: Any, limits: tuple[LimitObservation, ...]) -> None:
    """Write the field ``limits`` of a message."""
    entries = content.init("limits", len(limits))
    for entry, limit in zip(entries, limits, strict=True):
        write_limit(entry, limit)


def write_limit(entry: Any, limit: LimitObservation) -> None:
    """Write what a host learned about a server's limit; its time becomes an age."""
    entry.server, entry.bornMs = limit.server, limit.started_ms
    entry.named = limit.limit_per_s is not None
    entry.perSecond = limit.limit_per_s or 0.0
    age_s = min(MAX_AGE_S, max(0.0, boottime_s() - limit.observed_s))
    entry.ageMs = int(1000 * age_s)


def read_limit(entry: Any) -> LimitObservation:
    """Return what a peer has learned about a server's limit.

    :raises FrameError: the limit is negative or not finite.
    """
    limit_per_s = entry.perSecond if entry.named else None
    if limit_per_s is not None and not 0 <= limit_per_s < math.inf:
        raise FrameError("A server's limit is not a rate.", "Check the sender.")
    observed_s = boottime_s() - entry.ageMs / 1000
    return LimitObservation(entry.server, entry.bornMs, limit_per_s, observed_s)


def write_permit(content: Any, permit: Permit | None) -> None:
    """Write a permit; ``None`` if this host may issue none."""
    if permit is None:
        return
    content.confirmed = True
    content.granted = permit.granted
    content.retryMs = math.ceil(1000 * permit.retry_s)
    content.nextMs = math.ceil(1000 * permit.next_s)


def read_permit(content: Any) -> Permit:
    """Return the permit in a frame.

    :raises PeerUnavailable: the sender may issue none.
    """
    if not content.confirmed:
        raise PeerUnavailable("The leader's lease is not confirmed.", "Wait.")
    return Permit(content.granted, content.retryMs / 1000, content.nextMs / 1000)
