"""Parses and formats the values in the platform's documents."""

from __future__ import annotations

__all__ = ["MalformedValue", "format_duration", "parse_duration_s", "parse_version"]

import re
from typing import Any

from ..errors import JacinthpathError
from ..json_documents import describe

_DURATION = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,12})?)(ms|s)")
_VERSION = re.compile(r"r([0-9]{1,15})")


class MalformedValue(JacinthpathError):
    """A value of a platform document cannot be read."""


def parse_duration_s(value: Any) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s``.

    :raises MalformedValue: it is not a duration.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise MalformedValue(
            f"{describe(value)} is not a duration.",
            "Write a number with its unit, ms or s.",
        )
    number = float(match[1])
    return number / 1000 if match[2] == "ms" else number


def format_duration(value_s: float) -> str:
    """Format a duration in whole milliseconds, rounded down."""
    return f"{int(value_s * 1000)}ms"


def parse_version(value: Any) -> int:
    """Parse a configuration version such as ``r12``.

    :raises MalformedValue: it is not a version.
    """
    match = _VERSION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise MalformedValue(
            f"{describe(value)} is not a version.", "Write r and a number."
        )
    return int(match[1])
