"""Inspects the operator's configuration before it is sent."""

from __future__ import annotations

__all__ = ["check_version_order", "inspect_document"]

from collections.abc import Iterator

from ..configuration_findings import (
    Finding,
    Place,
    Severity,
    error,
    run_checks,
    warning,
)
from . import bound_checks, match_checks, value_checks  # noqa: F401 (they register)
from .document_checks import DOCUMENT_CHECKS
from .documents import decode_route_table
from .raw_tables import RawDocument, list_entries, read_raw_document
from .values import MalformedValue


def inspect_document(
    content: bytes,
) -> tuple[list[Finding], RawDocument | None]:
    """Return the findings of a configuration, and what can be read of it.

    The hosts' decoder has the last word: what it refuses has at least one error.
    """
    document, findings = read_raw_document(content)
    if document is None:
        return findings, None
    findings += run_checks(DOCUMENT_CHECKS, document)
    if not any(finding.severity is Severity.ERROR for finding in findings):
        findings += _check_with_decoder(content)
    return findings, document


def check_version_order(
    document: RawDocument, in_force: RawDocument
) -> Iterator[Finding]:
    """Report a configuration that hosts do not take because of its version."""
    new, old = document.version, in_force.version
    if new is None or old is None or list_entries(document) == list_entries(in_force):
        return
    remedy = f"Write a version above r{old}."
    place = Place(("version",))
    if new < old:
        message = f"hosts ignore r{new}, which is older than r{old} in force"
        yield error(place, message, remedy, "version-order")
    elif new == old:
        message = f"r{new} is in force with another content"
        yield warning(place, message, remedy, "version-order")


def _check_with_decoder(content: bytes) -> Iterator[Finding]:
    try:
        decode_route_table(content)
    except MalformedValue as fault:
        message = fault.message.rstrip(".")
        yield error(Place(()), message, fault.remedy, "refused-by-hosts")
