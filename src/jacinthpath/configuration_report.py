"""Formats the report of ``jacinthpath configuration check``."""

from __future__ import annotations

__all__ = [
    "CheckReport",
    "Comparison",
    "describe_report",
    "escape_unprintable",
    "format_report",
]

import json
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from .configuration_differences import Difference
from .configuration_findings import Finding, Severity

MAX_VALUE_CHARS = 60

TableFormatter = Callable[[Sequence[str], Sequence[Sequence[Any]]], str]


class Comparison(NamedTuple):
    """Result of the comparison with the version in force.

    :param source: file or control process that the version in force is from.
    :param version: number of the version in force, ``None`` if it is not known.
    :param missing_reason: why nothing was compared, or an empty string.
    """

    source: str = ""
    version: int | None = None
    differences: Sequence[Difference] = ()
    missing_reason: str = ""


class CheckReport(NamedTuple):
    """All that is reported about one file."""

    file: str
    format: str
    counts: dict[str, int]
    findings: Sequence[Finding]
    comparison: Comparison

    def count(self, severity: Severity) -> int:
        """Return the number of findings of a severity."""
        return sum(finding.severity is severity for finding in self.findings)


def describe_report(report: CheckReport) -> dict[str, Any]:
    """Return the report as a JSON document."""
    comparison = report.comparison
    return {
        "file": report.file,
        "format": report.format,
        "valid": not report.count(Severity.ERROR),
        "errors": report.count(Severity.ERROR),
        "warnings": report.count(Severity.WARNING),
        "counts": report.counts,
        "findings": [_describe_finding(finding) for finding in report.findings],
        "against": {
            "source": comparison.source,
            "version": comparison.version,
            "missing_reason": comparison.missing_reason,
        },
        "differences": [one._asdict() for one in comparison.differences],
    }


def format_report(report: CheckReport, format_table: TableFormatter) -> str:
    """Return the report as text for a terminal."""
    lines = [_format_finding(report.file, finding) for finding in report.findings]
    lines += [_format_summary(report), *_format_comparison(report, format_table)]
    return escape_unprintable("\n".join(lines))


def escape_unprintable(text: str) -> str:
    """Return a text with escapes in place of characters that do not print.

    A name in a document could otherwise control the terminal, or fail to be encoded.
    """
    return "".join(
        char if char.isprintable() or char == "\n" else ascii(char)[1:-1]
        for char in text
    )


def _describe_finding(finding: Finding) -> dict[str, Any]:
    return {
        "severity": finding.severity.value,
        "check": finding.check,
        "line": finding.place.line,
        "key": finding.place.key,
        "message": finding.message,
        "remedy": finding.remedy,
    }


def _format_finding(file: str, finding: Finding) -> str:
    line = f":{finding.place.line}" if finding.place.line else ""
    return (
        f"{file}{line}: {finding.severity.value}: {finding.place.key}: "
        f"{finding.message}. {finding.remedy}"
    )


def _format_summary(report: CheckReport) -> str:
    errors, warnings = report.count(Severity.ERROR), report.count(Severity.WARNING)
    if errors:
        return f"{report.file} is not valid: {errors} errors, {warnings} warnings."
    counts = [f"{number} {noun}" for noun, number in report.counts.items()]
    if warnings:
        counts.append(f"{warnings} warnings")
    return f"{report.file} is valid: {', '.join(counts)}."


def _format_comparison(report: CheckReport, format_table: TableFormatter) -> list[str]:
    comparison = report.comparison
    if comparison.missing_reason:
        return [f"Not compared with the version in force: {comparison.missing_reason}"]
    name = comparison.source
    if comparison.version is not None:
        name = f"version {comparison.version} ({name})"
    if not comparison.differences:
        return [f"No differences from {name}."]
    rows = [
        (one.change, one.entry, one.field, _shorten(one.old), _shorten(one.new))
        for one in comparison.differences
    ]
    header = ("change", "entry", "field", "old", "new")
    return [f"Differences from {name}:", format_table(header, rows)]


def _shorten(value: Any) -> str:
    if value is None:
        return "-"
    text = json.dumps(value, ensure_ascii=False)
    if len(text) <= MAX_VALUE_CHARS:
        return text
    return text[: MAX_VALUE_CHARS - 3] + "..."
