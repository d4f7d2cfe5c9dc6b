"""Values of the platform's documents."""

from __future__ import annotations

__all__ = ["MalformedValue", "duration_s", "duration_text", "version_number"]

import re
from typing import Any

from ..errors import JacinthpathError

_DURATION = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_VERSION = re.compile(r"r(\d+)")


class MalformedValue(JacinthpathError):
    """A value of a platform document cannot be read."""


def duration_s(value: Any) -> float:
    """Read a duration such as ``1500ms`` or ``2.5s``.

    :raises MalformedValue: it is none.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise MalformedValue(
            f"{value!r} is no duration.", "Write a number with its unit, ms or s."
        )
    number = float(match[1])
    return number / 1000 if match[2] == "ms" else number


def duration_text(value_s: float) -> str:
    """Write a duration in whole milliseconds."""
    return f"{int(value_s * 1000)}ms"


def version_number(value: Any) -> int:
    """Read a configuration version such as ``r12``.

    :raises MalformedValue: it is none.
    """
    match = _VERSION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise MalformedValue(f"{value!r} is no version.", "Write r and a number.")
    return int(match[1])
