"""Logs values of the platform's documents that are ignored."""

from __future__ import annotations

__all__ = ["IgnoredValues"]

from collections.abc import Callable
from typing import Any

from ..json_documents import describe

MAX_REMEMBERED = 1_000


class IgnoredValues:
    """Counts ignored values, and logs each field of each place once.

    :param log: writes an event with its fields.
    :param count: counts in a metric.
    """

    def __init__(
        self,
        log: Callable[..., None] = lambda _event, **_fields: None,
        count: Callable[..., None] = lambda _name, **_labels: None,
    ) -> None:
        self._log = log
        self._count = count
        self._logged: set[tuple[str, str]] = set()

    def record(self, place: str, field: str, value: Any) -> None:
        """Record that a value is ignored."""
        self._count("ignored_values_total", field=field)
        if (place, field) in self._logged:
            return
        if len(self._logged) >= MAX_REMEMBERED:
            self._logged.clear()
        self._logged.add((place, field))
        self._log("value_ignored", place=place, field=field, value=describe(value))
