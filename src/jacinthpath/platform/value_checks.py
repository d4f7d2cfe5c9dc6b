"""Checks of the single values of the operator's configuration."""

from __future__ import annotations

__all__ = ["VALUE_CHECKS"]

import difflib
import math
from collections.abc import Callable, Iterator
from functools import partial
from typing import Any

from ..configuration_findings import Finding, Place, error, warning
from ..json_documents import UNREADABLE, check_integer, check_text, describe
from .document_checks import DOCUMENT_CHECKS, in_entry, name_of
from .documents import (
    IDEMPOTENT_KINDS,
    MAX_BODY_BYTES,
    MAX_CONNECTIONS,
    MAX_PATH_CHARS,
    MAX_PRIORITY,
    MAX_SERVERS_TRIED,
)
from .raw_tables import RawDocument
from .values import MalformedValue, parse_duration_s

ValueCheck = Callable[[Any], object]

SIMILARITY = 0.75
"""From this similarity on, an unknown name is taken for a misspelling of a known one.
Other names are the platform's own and not read."""


def _check_rate(value: Any) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{describe(value)} is not a number")
    if not (math.isfinite(value) and value >= 0):
        raise ValueError(f"{describe(value)} is out of range")


def _check_flag(value: Any) -> None:
    # Any text would count as true, "false" too.
    if not isinstance(value, bool):
        raise ValueError(f"{describe(value)} is not true or false")


def _check_path(value: Any) -> None:
    if not check_text(value, MAX_PATH_CHARS).startswith("/"):
        raise ValueError(f"{describe(value)} does not begin with a slash")


def _check_split(value: Any) -> None:
    if not isinstance(value, list):
        raise ValueError(f"{describe(value)} is not a list")
    for part in value:
        check_text(part["service"])
        _check_rate(part["weight"])


def _integer(minimum: int, maximum: int) -> ValueCheck:
    return partial(check_integer, minimum=minimum, maximum=maximum)


VALUE_CHECKS: dict[str, dict[str, ValueCheck]] = {
    "routes": {
        "name": check_text,
        "host": partial(check_text, max_chars=MAX_PATH_CHARS),
        "prefix": partial(check_text, max_chars=MAX_PATH_CHARS),
        "kind": check_text,
        "timeout": parse_duration_s,
        "target_latency": parse_duration_s,
        "priority": _integer(0, MAX_PRIORITY),
        "traffic_split": _check_split,
        "max_attempts": _integer(0, MAX_SERVERS_TRIED),
        "service": check_text,
    },
    "services": {
        "name": check_text,
        "health_path": _check_path,
        "max_connections": _integer(0, MAX_CONNECTIONS),
        "sharded": _check_flag,
        "warm": parse_duration_s,
        "warmup": parse_duration_s,
        "warmup_per_s": _check_rate,
    },
    "limits": {
        "max_header_bytes": _integer(0, MAX_BODY_BYTES),
        "max_body_bytes": _integer(0, MAX_BODY_BYTES),
        "header_timeout": parse_duration_s,
        "idle_timeout": parse_duration_s,
    },
}
REQUIRED_COLUMNS = {"routes": ("name", "host", "prefix", "kind"), "services": ("name",)}


@DOCUMENT_CHECKS.register("invalid-value")
def _check_values(document: RawDocument) -> Iterator[Finding]:
    for row in (*document.routes, *document.services):
        for column, check in VALUE_CHECKS[row.table].items():
            if column in row.values:
                yield from _check_value(
                    row.place(column), check, row.values[column], row.name
                )
    for key, check in VALUE_CHECKS["limits"].items():
        if document.limits.get(key) is not None:
            place = Place(("limits", key))
            yield from _check_value(place, check, document.limits[key])


@DOCUMENT_CHECKS.register("missing-value")
def _check_missing_values(document: RawDocument) -> Iterator[Finding]:
    for row in (*document.routes, *document.services):
        for column in REQUIRED_COLUMNS[row.table]:
            if column not in row.values:
                message = f"{column} is missing{in_entry(row.name)}"
                yield error(row.place(column), message, f"Add a {column}.")
    for row in document.routes:
        if "service" not in row.values and not row.values.get("traffic_split"):
            message = f"the route{name_of(row)} leads to no service"
            remedy = "Add a service or a traffic split."
            yield error(row.place("service"), message, remedy)


@DOCUMENT_CHECKS.register("unknown-name")
def _check_unknown_names(document: RawDocument) -> Iterator[Finding]:
    names = {**document.columns, "limits": [*document.limits]}
    for table, columns in names.items():
        known = [*VALUE_CHECKS[table]]
        for column in dict.fromkeys(columns):
            close = difflib.get_close_matches(column[:100], known, 1, SIMILARITY)
            if column not in known and close:
                place = Place((table, "columns") if table != "limits" else (table,))
                message = f"{describe(column)} is not read"
                yield warning(place, message, f"Did you mean {close[0]}?")


@DOCUMENT_CHECKS.register("unknown-kind")
def _check_unknown_kind(document: RawDocument) -> Iterator[Finding]:
    for row in document.routes:
        kind = row.text("kind")
        close = difflib.get_close_matches((kind or "")[:100], IDEMPOTENT_KINDS, 1)
        if kind is not None and kind not in IDEMPOTENT_KINDS and close:
            entry = in_entry(row.name)
            message = f"requests of kind {describe(kind)} are not repeated{entry}"
            yield warning(row.place("kind"), message, f"Did you mean {close[0]}?")


def _check_value(
    place: Place, check: ValueCheck, value: Any, name: str = ""
) -> Iterator[Finding]:
    try:
        check(value)
    except MalformedValue as fault:
        yield error(place, f"{fault.message.rstrip('.')}{in_entry(name)}", fault.remedy)
    except UNREADABLE as fault:
        message = f"{_describe_fault(fault)}{in_entry(name)}"
        yield error(place, message, "Correct the value.")


def _describe_fault(fault: Exception) -> str:
    if isinstance(fault, KeyError):
        return f"{describe(fault.args[0])} is missing"
    if isinstance(fault, ValueError):
        return str(fault)[:200]
    return describe(fault)
