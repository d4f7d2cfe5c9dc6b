"""Header fields by which a server says that it leaves or wants no requests."""

from __future__ import annotations

__all__ = ["read_notice"]

import math
from collections.abc import Mapping

from ..gateway.exchange import NO_NOTICE, ServerNotice
from .headers import RETRY_AFTER, SERVER_LEAVING

MAX_PAUSE_S = 30.0
"""A server that asks for a longer pause is asked again after this time."""


def read_notice(headers: Mapping[str, str]) -> ServerNotice:
    """Return the notice in a response's header; values that cannot be read are named.

    :data:`RETRY_AFTER` is given in seconds and may include fractions.
    """
    leaving = headers.get(SERVER_LEAVING)
    retry_after = headers.get(RETRY_AFTER)
    if leaving is None and retry_after is None:
        return NO_NOTICE
    malformed = []
    if leaving not in (None, "1"):
        malformed.append(f"{SERVER_LEAVING}: {leaving[:40]}")
    pause_s = _parse_seconds(retry_after) if retry_after is not None else 0.0
    if pause_s is None:
        malformed.append(f"{RETRY_AFTER}: {retry_after[:40]}")
    return ServerNotice(leaving == "1", pause_s or 0.0, ", ".join(malformed))


def _parse_seconds(value: str) -> float | None:
    """Return a pause within the limit, ``None`` if it is not a number of seconds."""
    try:
        pause_s = float(value)
    except ValueError:
        return None
    if not math.isfinite(pause_s) or pause_s < 0:
        return None
    return min(pause_s, MAX_PAUSE_S)
