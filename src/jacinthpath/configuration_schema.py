"""Schema of the configuration format: types, units, ranges and remedies."""

from __future__ import annotations

__all__ = [
    "ACCOUNT_SERVICE_FIELDS",
    "ENDPOINT_FIELDS",
    "ENDPOINT_OVERRIDE_FIELDS",
    "RULE_FIELDS",
    "SERVICE_FIELDS",
    "SHARED_FIELDS",
    "Field",
    "check_fields",
    "check_value",
    "unknown_key_remedy",
]

import difflib
import ipaddress
import math
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from .registry import Registry

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,99}")
PARAMETER_PATTERN = re.compile(r"\$\{([A-Za-z][A-Za-z0-9_]{0,63})\}")
METHODS = ("*", "DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
UNITS = ("ms", "s", "bytes", "ratio")
MAX_PATTERN_CHARACTERS = 200

ProblemReporter = Callable[[str, str, str], None]

_value_checks: Registry[Callable[[Field, Any], tuple[str, str] | None]] = Registry(
    "field kind"
)


class Field(NamedTuple):
    """The values that a key accepts.

    :param kind: ``bool``, ``int``, ``float``, ``choice``, ``name``, ``address``
        or ``pattern``.
    :param minimum: smallest number, inclusive.
    :param maximum: largest number, inclusive.
    :param choices: accepted strings.
    :param default: value of an absent key, where the check needs it.
    """

    kind: str
    minimum: float = 0
    maximum: float = 0
    choices: tuple[str, ...] = ()
    default: Any = None


_PRIORITY = Field("choice", choices=("first", "normal", "deferrable"))
_STATE = Field("choice", choices=("active", "draining"))
_DEADLINE_MS = Field("int", 1, 3_600_000)
_DEFER_LIMIT_S = Field("float", 0, 86_400)
_WEIGHT = Field("float", 0.01, 1_000)

# Properties of the service itself, so they cannot differ between accounts.
SHARED_FIELDS: Mapping[str, Field] = {
    "keyed": Field("bool", default=False),
    "fencing": Field("choice", choices=("server", "router"), default="server"),
    "slots_per_server": Field("int", 1, 10_000, default=3),
    "connections_per_server": Field("int", 1, 100_000, default=100),
    "slice_count": Field("int", 1, 65_535, default=1024),
}
ACCOUNT_SERVICE_FIELDS: Mapping[str, Field] = {
    "idempotent": Field("bool"),
    "priority": _PRIORITY,
    "deadline_ms": _DEADLINE_MS,
    "defer_limit_s": _DEFER_LIMIT_S,
    "retry_budget_ratio": Field("float", 0, 1),
    "account_weight": _WEIGHT,
    "retention_s": Field("float", 1, 3_600),
}
SERVICE_FIELDS: Mapping[str, Field] = {**SHARED_FIELDS, **ACCOUNT_SERVICE_FIELDS}
RULE_FIELDS: Mapping[str, Field] = {
    "method": Field("choice", choices=METHODS),
    "path": Field("pattern"),
    "idempotent": Field("bool"),
    "priority": _PRIORITY,
    "deadline_ms": _DEADLINE_MS,
    "defer_limit_s": _DEFER_LIMIT_S,
}
ENDPOINT_FIELDS: Mapping[str, Field] = {
    "server": Field("name"),
    "address": Field("address"),
    "data_centre": Field("name"),
    "state": _STATE,
    "weight": _WEIGHT,
}
ENDPOINT_OVERRIDE_FIELDS: Mapping[str, Field] = {"state": _STATE, "weight": _WEIGHT}


def check_fields(
    table: Mapping[str, Any],
    fields: Mapping[str, Field],
    report: ProblemReporter,
    ignored_keys: Iterable[str] = (),
) -> dict[str, Any]:
    """Return the values of a table, ``None`` for each that was reported.

    A reference to a parameter is accepted unchecked; its value is checked when
    the account is resolved.

    :param report: called with the key, the problem and the remedy.
    :param ignored_keys: keys that the caller checks itself.
    """
    known = [*fields, *ignored_keys]
    accepted = {}
    for key, value in table.items():
        if key in ignored_keys:
            continue
        if key not in fields:
            report(key, "unknown key", unknown_key_remedy(key, known))
        elif isinstance(value, str) and PARAMETER_PATTERN.fullmatch(value):
            accepted[key] = value
        elif (fault := check_value(fields[key], value)) is not None:
            report(key, *fault)
            accepted[key] = None
        else:
            accepted[key] = value
    return accepted


def unknown_key_remedy(key: str, known: Iterable[str]) -> str:
    """Return the remedy for a key that the format does not have."""
    names = list(known)
    stem, _, unit = key.rpartition("_")
    stems = {key, stem} if unit in UNITS else {key}
    for candidate in names:
        candidate_stem, _, candidate_unit = candidate.rpartition("_")
        if candidate_unit in UNITS and candidate_stem in stems:
            return f"Write {candidate}; the unit is part of the name."
    close = difflib.get_close_matches(key[:100], names, 1)
    if close:
        return f"Did you mean {close[0]}?"
    return f"Use one of: {', '.join(sorted(names))}."


def check_value(field: Field, value: Any) -> tuple[str, str] | None:
    """Return the problem of a value and its remedy, or ``None``."""
    return _value_checks.get(field.kind)(field, value)


def shorten(value: Any) -> str:
    """Return a value for a message, truncated to a readable length."""
    text = repr(value) if not isinstance(value, dict | list) else type(value).__name__
    return text if len(text) <= 60 else text[:57] + "..."


@_value_checks.register("bool")
def _check_bool(_field: Field, value: Any) -> tuple[str, str] | None:
    if isinstance(value, bool):
        return None
    return f"found {shorten(value)}, expected true or false", "Write true or false."


@_value_checks.register("int")
@_value_checks.register("float")
def _check_number(field: Field, value: Any) -> tuple[str, str] | None:
    accepted = int if field.kind == "int" else (int, float)
    noun = "a whole number" if field.kind == "int" else "a number"
    if isinstance(value, bool) or not isinstance(value, accepted):
        remedy = f"Write {noun} without quotes or unit."
        return f"found {shorten(value)}, expected {noun}", remedy
    if not math.isfinite(value) or not field.minimum <= value <= field.maximum:
        remedy = f"Use a value from {field.minimum:g} to {field.maximum:,}."
        return f"{shorten(value)} is out of range", remedy
    return None


@_value_checks.register("choice")
def _check_choice(field: Field, value: Any) -> tuple[str, str] | None:
    if isinstance(value, str) and value in field.choices:
        return None
    return f"found {shorten(value)}", f"Use one of: {', '.join(field.choices)}."


@_value_checks.register("name")
def _check_name(_field: Field, value: Any) -> tuple[str, str] | None:
    if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
        return None
    remedy = (
        "Use up to 100 letters, digits, '.', '_' or '-', "
        "starting with a letter or digit."
    )
    return f"{shorten(value)} is not a valid name", remedy


@_value_checks.register("address")
def _check_address(_field: Field, value: Any) -> tuple[str, str] | None:
    remedy = 'Write an IP address and a port, such as "10.0.0.1:8080".'
    if not isinstance(value, str):
        return f"found {shorten(value)}, expected a string", remedy
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        valid = port.isascii() and port.isdigit() and 0 < int(port[:6]) <= 65_535
    except ValueError:
        valid = False
    return None if valid else (f"{shorten(value)} is not an IP:port address", remedy)


@_value_checks.register("pattern")
def _check_pattern(_field: Field, value: Any) -> tuple[str, str] | None:
    if isinstance(value, str) and len(value) <= MAX_PATTERN_CHARACTERS:
        if value.startswith(("/", "*")):
            return None
    remedy = 'Write a path such as "/publish/*"; * matches any characters.'
    return f"{shorten(value)} is not a path pattern", remedy
