"""Findings of the checks of a configuration, and the registries of those checks."""

from __future__ import annotations

__all__ = [
    "EXIT_ERRORS",
    "EXIT_WARNINGS",
    "Finding",
    "Place",
    "Severity",
    "error",
    "exit_status",
    "run_checks",
    "sort_findings",
    "warning",
]

import enum
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple, TypeVar

from .configuration_lines import Path
from .registry import Registry

EXIT_ERRORS = 1
EXIT_WARNINGS = 3

Checked = TypeVar("Checked")


class Severity(enum.Enum):
    """Severity of a finding."""

    ERROR = "error"
    """Hosts refuse the document, or requests that it describes cannot succeed."""
    WARNING = "warning"
    """An entry has no effect, or two values contradict each other."""


class Place(NamedTuple):
    """Where a finding is in a document.

    :param path: names of the tables and keys; a number counts from 0.
    :param line: starts at 1; 0 if the line is not known.
    """

    path: Path
    line: int = 0

    @property
    def key(self) -> str:
        """Dotted name, or ``document`` for the document as a whole."""
        return ".".join(str(part) for part in self.path)[:200] or "document"


class Finding(NamedTuple):
    """One finding.

    :param message: what was found, without a full stop.
    :param remedy: what to do about it, in whole sentences.
    :param check: registered name of the check, which :func:`run_checks` sets.
    """

    severity: Severity
    place: Place
    message: str
    remedy: str
    check: str = ""


def error(place: Place, message: str, remedy: str, check: str = "") -> Finding:
    """Return an error."""
    return Finding(Severity.ERROR, place, message, remedy, check)


def warning(place: Place, message: str, remedy: str, check: str = "") -> Finding:
    """Return a warning."""
    return Finding(Severity.WARNING, place, message, remedy, check)


def run_checks(
    checks: Registry[Callable[[Checked], Iterator[Finding]]], checked: Checked
) -> list[Finding]:
    """Run all checks of a registry and return their findings under their names."""
    return [
        finding._replace(check=name)
        for name in checks
        for finding in checks.get(name)(checked)
    ]


def sort_findings(findings: Iterable[Finding]) -> list[Finding]:
    """Return the distinct findings in document order."""
    return sorted(dict.fromkeys(findings), key=_sort_key)


def exit_status(findings: Iterable[Finding], strict: bool) -> int:
    """Return the exit status for scripts.

    :param strict: whether warnings alone are a failure.
    """
    severities = {finding.severity for finding in findings}
    if Severity.ERROR in severities:
        return EXIT_ERRORS
    return EXIT_WARNINGS if severities and strict else 0


def _sort_key(finding: Finding) -> tuple:
    # Numbers and names are not comparable; numbers go first.
    path = tuple(
        (0, part, "") if isinstance(part, int) else (1, 0, part)
        for part in finding.place.path
    )
    return (finding.place.line, path, finding.check, finding.message)
