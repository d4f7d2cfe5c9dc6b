"""Header fields by which a server says how busy or cold it is, or that it leaves."""

from __future__ import annotations

__all__ = ["read_notice"]

import math
import re
from collections.abc import Callable, Mapping
from typing import TypeVar

from multidict import MultiMapping

from ..gateway.exchange import NO_NOTICE, ServerLoad, ServerNotice
from .headers import RETRY_AFTER, SERVER_LEAVING, SERVER_LIMIT, SERVER_LOAD, WARMUP_MS

MAX_PAUSE_S = 30.0
"""A server that asks for a longer pause is asked again after this time."""

MAX_LIMIT_PER_S = 1_000_000.0
"""A higher limit is taken for this one."""

MAX_LOAD_COUNT = 100_000
"""No server has as many requests or slots; a load with a higher figure is ignored."""

MIN_SLOWNESS_PERCENT = 10
MAX_SLOWNESS_PERCENT = 100_000
"""Work that takes a thousand times as long; a load with a higher figure is ignored."""

MAX_WARMUP_MS = 600_000
"""Servers are cold for seconds; a longer time is ignored."""

MAX_FIGURE_CHARS = 9
"""Digits of an integer that is read at all."""

MAX_NAMED_CHARS = 40
"""Characters of a value that cannot be read which are named in the log."""

_T = TypeVar("_T")

_DECIMAL = re.compile(r"\d{1,30}(\.\d{1,30})?")


def read_notice(headers: Mapping[str, str]) -> ServerNotice:
    """Return the notice in a response's header; values that cannot be read are named.

    :data:`RETRY_AFTER` is given in seconds and may include fractions, and
    :data:`SERVER_LIMIT` in requests a second. Of several limits the lowest holds.
    """
    leaving = headers.get(SERVER_LEAVING)
    retry_after = headers.get(RETRY_AFTER)
    limits = _all_values(headers, SERVER_LIMIT)
    loads = _all_values(headers, SERVER_LOAD)
    warmups = _all_values(headers, WARMUP_MS)
    if leaving is None and retry_after is None and not (limits or loads or warmups):
        return NO_NOTICE
    malformed: list[str] = []
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
        leaving=leaving == "1",
        pause_s=pause_s or 0.0,
        limit_per_s=min(readable_limits, default=None),
        load=_read_only_value(SERVER_LOAD, loads, _parse_load, malformed),
        warmup_left_s=_read_only_value(WARMUP_MS, warmups, _parse_warmup_s, malformed),
        malformed=", ".join(malformed),
        limit_unreadable=len(readable_limits) < len(limits),
    )


def _read_only_value(
    name: str,
    values: list[str],
    parse: Callable[[str], _T | None],
    malformed: list[str],
) -> _T | None:
    """Return the value of a field that a response has at most once.

    :param malformed: the field is appended if it cannot be read.
    """
    if not values:
        return None
    parsed = parse(values[0]) if len(values) == 1 else None
    if parsed is None:
        malformed.append(_name_value(name, ", ".join(values[:2])))
    return parsed


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


def _parse_load(value: str) -> ServerLoad | None:
    """Return a load, ``None`` if a figure is missing, no integer or out of range."""
    figures = [_parse_integer(figure) for figure in value.split(",", 4)]
    if len(figures) not in (3, 4) or None in figures:
        return None
    running, waiting, slots, *slowness = figures
    if max(running, waiting, slots) > MAX_LOAD_COUNT or slots == 0:
        return None
    if not slowness:
        return ServerLoad(running, waiting, slots)
    if not MIN_SLOWNESS_PERCENT <= slowness[0] <= MAX_SLOWNESS_PERCENT:
        return None
    return ServerLoad(running, waiting, slots, slowness[0] / 100)


def _parse_warmup_s(value: str) -> float | None:
    """Return a time in seconds, ``None`` if it is not an integer or out of range."""
    warmup_ms = _parse_integer(value)
    if warmup_ms is None or warmup_ms > MAX_WARMUP_MS:
        return None
    return warmup_ms / 1000


def _parse_integer(value: str) -> int | None:
    """Return an integer without a sign."""
    digits = value.strip(" \t")
    if len(digits) > MAX_FIGURE_CHARS or not (digits.isascii() and digits.isdigit()):
        return None
    return int(digits)
