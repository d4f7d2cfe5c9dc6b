"""Header fields by which a server says that it leaves or wants fewer requests."""

from __future__ import annotations

__all__ = ["read_notice"]

import math
import re
from collections.abc import Mapping

from multidict import MultiMapping

from ..gateway.exchange import NO_NOTICE, ServerNotice
from .headers import RETRY_AFTER, SERVER_LEAVING, SERVER_LIMIT

MAX_PAUSE_S = 30.0
"""A server that asks for a longer pause is asked again after this time."""

MAX_LIMIT_PER_S = 1_000_000.0
"""A higher limit is taken for this one."""

MAX_NAMED_CHARS = 40
"""Characters of a value that cannot be read which are named in the log."""

_DECIMAL = re.compile(r"\d{1,30}(\.\d{1,30})?")


def read_notice(headers: Mapping[str, str]) -> ServerNotice:
    """Return the notice in a response's header; values that cannot be read are named.

    :data:`RETRY_AFTER` is given in seconds and may include fractions, and
    :data:`SERVER_LIMIT` in requests a second. Of several limits the lowest holds.
    """
    leaving = headers.get(SERVER_LEAVING)
    retry_after = headers.get(RETRY_AFTER)
    limits = _all_values(headers, SERVER_LIMIT)
    if leaving is None and retry_after is None and not limits:
        return NO_NOTICE
    malformed = []
    if leaving not in (None, "1"):
        malformed.append(_name_value(SERVER_LEAVING, leaving))
    pause_s = _parse_seconds(retry_after) if retry_after is not None else 0.0
    if pause_s is None:
        malformed.append(_name_value(RETRY_AFTER, retry_after))
    readable_limits = []
    for value in limits:
        limit_per_s = _parse_limit(value)
        if limit_per_s is None:
            malformed.append(_name_value(SERVER_LIMIT, value))
        else:
            readable_limits.append(limit_per_s)
    return ServerNotice(
        leaving == "1",
        pause_s or 0.0,
        min(readable_limits, default=None),
        ", ".join(malformed),
    )


def _all_values(headers: Mapping[str, str], name: str) -> list[str]:
    if isinstance(headers, MultiMapping):
        return headers.getall(name, [])
    return [headers[name]] if name in headers else []


def _name_value(name: str, value: str) -> str:
    return f"{name}: {value[:MAX_NAMED_CHARS]}"


def _parse_seconds(value: str) -> float | None:
    """Return a pause within the limit, ``None`` if it is not a number of seconds."""
    try:
        pause_s = float(value)
    except ValueError:
        return None
    if not math.isfinite(pause_s) or pause_s < 0:
        return None
    return min(pause_s, MAX_PAUSE_S)


def _parse_limit(value: str) -> float | None:
    """Return a limit in requests a second, ``None`` if it is not a decimal number."""
    if not _DECIMAL.fullmatch(value.strip()):
        return None
    return min(float(value), MAX_LIMIT_PER_S)
