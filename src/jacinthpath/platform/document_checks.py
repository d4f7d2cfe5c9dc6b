"""Registry of the checks of the operator's configuration, and words they share."""

from __future__ import annotations

__all__ = ["DOCUMENT_CHECKS", "in_entry", "name_of"]

from collections.abc import Callable, Iterator

from ..configuration_findings import Finding
from ..json_documents import describe
from ..registry import Registry
from .raw_tables import RawDocument, Row

DOCUMENT_CHECKS: Registry[Callable[[RawDocument], Iterator[Finding]]] = Registry(
    "configuration check"
)


def in_entry(name: str) -> str:
    """Return the end of a message that names the entry it is about."""
    return f" (in {describe(name)})" if name else ""


def name_of(row: Row) -> str:
    """Return the name of a row for the middle of a message."""
    return f" {describe(row.name)}" if row.name else ""
