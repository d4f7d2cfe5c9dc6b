"""Inspects a configuration of either format, and compares it with another one."""

from __future__ import annotations

__all__ = [
    "MAX_FILE_BYTES",
    "PLATFORM",
    "TEMPLATES",
    "Inspection",
    "compare_with",
    "inspect_configuration",
]

from collections.abc import Callable
from typing import Any, NamedTuple

from .configuration import check_document, read_document
from .configuration_differences import (
    Difference,
    Entries,
    compare_entries,
    split_entries,
)
from .configuration_findings import (
    Finding,
    Place,
    error,
    run_checks,
    sort_findings,
)
from .errors import ConfigurationError
from .platform.inspection import check_version_order, inspect_document
from .platform.raw_tables import list_entries
from .registry import Registry
from .template_checks import TEMPLATE_CHECKS

PLATFORM = "platform"
"""The platform's configuration: a JSON document with routes and services."""

TEMPLATES = "templates"
"""Routing templates and accounts: a TOML document."""

MAX_FILE_BYTES = 64 * 1024 * 1024
"""No configuration that hosts accept is as large."""


class Inspection(NamedTuple):
    """What is found in one document.

    :param format: name of the document's format.
    :param counts: number of entries of each kind.
    :param entries: fields by entry; ``None`` if the document cannot be read.
    :param version: number of the document, ``None`` if it does not name one.
    :param content: the document as its format reads it.
    """

    format: str
    findings: list[Finding]
    counts: dict[str, int]
    entries: Entries | None
    version: int | None = None
    content: Any = None


_inspectors: Registry[Callable[[bytes], Inspection]] = Registry("document format")


def inspect_configuration(content: bytes) -> Inspection:
    """Return what is found in a document; a JSON object is the platform's format."""
    if len(content) > MAX_FILE_BYTES:
        message = f"the document has more than {MAX_FILE_BYTES} bytes"
        finding = error(Place(()), message, "Shorten it.", "structure")
        return Inspection(TEMPLATES, [finding], {}, None)
    is_object = content.lstrip().startswith(b"{")
    inspection = _inspectors.get(PLATFORM if is_object else TEMPLATES)(content)
    return inspection._replace(findings=sort_findings(inspection.findings))


def compare_with(
    inspection: Inspection, in_force: Inspection
) -> tuple[list[Difference], list[Finding]]:
    """Return the differences from the version in force, and what they make wrong.

    Both must have the same format and be readable.
    """
    differences = compare_entries(in_force.entries or {}, inspection.entries or {})
    findings: list[Finding] = []
    if inspection.format == PLATFORM:
        findings += check_version_order(inspection.content, in_force.content)
    return differences, findings


@_inspectors.register(PLATFORM)
def _inspect_platform(content: bytes) -> Inspection:
    findings, document = inspect_document(content)
    if document is None:
        return Inspection(PLATFORM, findings, {}, None)
    counts = {"routes": len(document.routes), "services": len(document.services)}
    entries = list_entries(document)
    return Inspection(PLATFORM, findings, counts, entries, document.version, document)


@_inspectors.register(TEMPLATES)
def _inspect_templates(content: bytes) -> Inspection:
    try:
        text = content.decode()
    except UnicodeDecodeError as fault:
        line = content.count(b"\n", 0, fault.start) + 1
        message = f"byte {fault.start} is not UTF-8"
        finding = error(Place((), line), message, "Encode it in UTF-8.", "structure")
        return Inspection(TEMPLATES, [finding], {}, None)
    try:
        document, index = read_document(text)
    except ConfigurationError as fault:
        return Inspection(TEMPLATES, _list_problems(fault), {}, None)
    entries = split_entries(document)
    try:
        checked = check_document(document, index)
    except ConfigurationError as fault:
        return Inspection(TEMPLATES, _list_problems(fault), {}, entries)
    configuration = checked.configuration
    counts = {
        "accounts": len({account for account, _ in configuration.policies}),
        "services": len(configuration.services()),
    }
    findings = run_checks(TEMPLATE_CHECKS, checked)
    return Inspection(TEMPLATES, findings, counts, entries, content=checked)


def _list_problems(fault: ConfigurationError) -> list[Finding]:
    return [
        error(Place((key,), line), found, remedy, "schema")
        for line, key, found, remedy in fault.problems
    ]
