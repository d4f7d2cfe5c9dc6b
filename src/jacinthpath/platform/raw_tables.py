"""Reads the operator's configuration leniently, so that all its faults can be listed.

:mod:`jacinthpath.platform.documents` decodes a configuration strictly and stops at the
first fault.
"""

from __future__ import annotations

__all__ = [
    "RawDocument",
    "Row",
    "list_entries",
    "read_raw_document",
]

import math
from collections.abc import Iterator
from typing import Any, NamedTuple

from ..configuration_differences import unique_name
from ..configuration_findings import Finding, Place, error
from ..json_documents import UNREADABLE, MalformedDocument, describe, parse_json
from .values import MalformedValue, parse_duration_s, parse_version

TABLES = ("routes", "services")


class Row(NamedTuple):
    """One row of a table.

    :param table: name of the table.
    :param index: its place in the table, from 0.
    :param values: by column; nulls are left out.
    """

    table: str
    index: int
    values: dict[str, Any]

    @property
    def name(self) -> str:
        """Name of the route or service, empty if it has no readable one."""
        return self.text("name") or ""

    def place(self, column: str = "") -> Place:
        """Return the place of the row, or of one of its values."""
        path = (self.table, "rows", self.index)
        return Place((*path, column) if column else path)

    def text(self, column: str) -> str | None:
        """Return a value that is text."""
        value = self.values.get(column)
        return value if isinstance(value, str) else None

    def number(self, column: str) -> float | None:
        """Return a value that is a finite number."""
        return _read_number(self.values.get(column))

    def duration_s(self, column: str) -> float | None:
        """Return a value that is a duration."""
        return _read_duration_s(self.values.get(column))

    def split(self) -> list[tuple[str, float]]:
        """Return the readable parts of the traffic split: service and weight."""
        parts = self.values.get("traffic_split")
        if not isinstance(parts, list):
            return []
        pairs = [
            (part.get("service"), _read_number(part.get("weight")))
            for part in parts
            if isinstance(part, dict)
        ]
        return [
            (service, weight)
            for service, weight in pairs
            if isinstance(service, str) and weight is not None
        ]

    def services(self) -> list[str]:
        """Return the names of the services that a route leads to."""
        if self.values.get("traffic_split"):
            return [service for service, _ in self.split()]
        service = self.text("service")
        return [] if service is None else [service]


class RawDocument(NamedTuple):
    """What can be read of a configuration.

    :param version: the operator's number of it, ``None`` if it cannot be read.
    :param columns: columns of each table that has them.
    """

    version: int | None
    columns: dict[str, list[str]]
    routes: list[Row]
    services: list[Row]
    limits: dict[str, Any]

    def limit(self, key: str) -> float | None:
        """Return a limit that is a number."""
        return _read_number(self.limits.get(key))

    def limit_s(self, key: str) -> float | None:
        """Return a limit that is a duration."""
        return _read_duration_s(self.limits.get(key))

    def service_names(self) -> set[str]:
        """Return the names of all services."""
        return {row.name for row in self.services if row.name}


def read_raw_document(content: bytes) -> tuple[RawDocument | None, list[Finding]]:
    """Return what can be read of a configuration, and the faults of its structure.

    :return: ``None`` in place of a document that is not a JSON object.
    """
    try:
        document = parse_json(content)
    except MalformedDocument as fault:
        place = Place((), _line_of(fault))
        return None, [error(place, str(fault), "Correct the JSON.", "structure")]
    if not isinstance(document, dict):
        remedy = "Write an object with version, routes, services and limits."
        message = f"found {describe(document)}"
        return None, [error(Place(()), message, remedy, "structure")]
    findings: list[Finding] = []
    columns: dict[str, list[str]] = {}
    rows: dict[str, list[Row]] = {}
    for name in TABLES:
        columns[name], rows[name] = _read_table(name, document.get(name), findings)
    limits = document.get("limits") or {}
    if not isinstance(limits, dict):
        findings.append(_structure_error(("limits",), limits, "Write an object."))
        limits = {}
    version = _read_version(document.get("version"), findings)
    raw = RawDocument(version, columns, rows["routes"], rows["services"], limits)
    return raw, findings


def list_entries(document: RawDocument) -> dict[str, dict[str, Any]]:
    """Return the entries of a configuration by name, to compare two of them."""
    entries: dict[str, dict[str, Any]] = {"limits": document.limits}
    if document.version is not None:
        entries["document"] = {"version": f"r{document.version}"}
    for row in (*document.routes, *document.services):
        name = f"{row.table}.{row.name or row.index}"
        entries[unique_name(name, entries)] = row.values
    return entries


def _read_table(
    name: str, table: Any, findings: list[Finding]
) -> tuple[list[str], list[Row]]:
    remedy = "Write an object with the lists columns and rows."
    if not isinstance(table, dict):
        findings.append(_structure_error((name,), table, remedy))
        return [], []
    columns, rows = table.get("columns"), table.get("rows")
    if not isinstance(columns, list) or not all(
        isinstance(column, str) for column in columns
    ):
        remedy = "Write a list of column names."
        findings.append(_structure_error((name, "columns"), columns, remedy))
        return [], []
    for column in sorted({column for column in columns if columns.count(column) > 1}):
        place = Place((name, "columns"))
        message = f"column {describe(column)} is listed more than once"
        findings.append(error(place, message, "Remove the duplicates.", "structure"))
    if not isinstance(rows, list):
        remedy = "Write a list of rows."
        findings.append(_structure_error((name, "rows"), rows, remedy))
        return columns, []
    return columns, [*_iter_rows(name, columns, rows, findings)]


def _iter_rows(
    name: str, columns: list[str], rows: list[Any], findings: list[Finding]
) -> Iterator[Row]:
    for index, row in enumerate(rows):
        path = (name, "rows", index)
        if not isinstance(row, list):
            remedy = "Write a list with a value for each column."
            findings.append(_structure_error(path, row, remedy))
        elif len(row) != len(columns):
            message = f"{len(row)} values for {len(columns)} columns"
            remedy = "Write a value for each column, null for none."
            findings.append(error(Place(path), message, remedy, "structure"))
        else:
            pairs = zip(columns, row, strict=True)
            values = {column: value for column, value in pairs if value is not None}
            yield Row(name, index, values)


def _read_version(value: Any, findings: list[Finding]) -> int | None:
    try:
        return parse_version(value)
    except MalformedValue as fault:
        place = Place(("version",))
        message = fault.message.rstrip(".")
        findings.append(error(place, message, fault.remedy, "structure"))
        return None


def _structure_error(path: tuple[str | int, ...], value: Any, remedy: str) -> Finding:
    found = "it is missing" if value is None else f"found {describe(value)}"
    return error(Place(path), found, remedy, "structure")


def _line_of(fault: MalformedDocument) -> int:
    """Return the line that the JSON parser gave, 0 if it gave none."""
    return getattr(fault.__cause__, "lineno", 0)


def _read_number(value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return None
    try:
        number = float(value)
    except OverflowError:
        return None
    return number if math.isfinite(number) else None


def _read_duration_s(value: Any) -> float | None:
    try:
        return parse_duration_s(value)
    except (MalformedValue, *UNREADABLE):
        return None
