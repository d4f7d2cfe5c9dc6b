"""Encodes and decodes crashes of servers and blocked requests in peer frames."""

from __future__ import annotations

__all__ = [
    "has_other_blocked",
    "read_answered",
    "read_blocked",
    "read_crash_reports",
    "write_blocked",
    "write_crash_evidence",
]

from typing import Any

from .clock import boottime_s
from .crash_detector import CrashEvidence
from .crash_ledger import (
    EVIDENCE_S,
    AnsweredRequest,
    BlockedRequest,
    CrashLedger,
    CrashReport,
)


def has_other_blocked(ledger: CrashLedger, wanted: Any) -> bool:
    """Return whether the requester of documents knows other blocked requests.

    A requester of an earlier build takes none.
    """
    return wanted.takesBlocked and ledger.digest(boottime_s()) != wanted.blockedDigest


def write_blocked(content: Any, ledger: CrashLedger) -> None:
    """Write all blocked requests; the ends of their blocks become remaining times."""
    now_s = boottime_s()
    blocked = ledger.blocked(now_s)
    entries = content.init("blocked", len(blocked))
    for entry, one in zip(entries, blocked, strict=True):
        entry.fingerprint, entry.times = one.fingerprint, one.times
        entry.remainingMs = int(1000 * (one.until_s - now_s))


def read_blocked(content: Any) -> list[BlockedRequest]:
    """Return the blocked requests in a frame."""
    now_s = boottime_s()
    return [
        BlockedRequest(entry.fingerprint, now_s + entry.remainingMs / 1000, entry.times)
        for entry in content.blocked
    ]


def write_crash_evidence(content: Any, evidence: CrashEvidence) -> None:
    """Write what a host reports of crashes; times become ages."""
    now_s = boottime_s()
    entries = content.init("crashes", len(evidence.crashes))
    for entry, report in zip(entries, evidence.crashes, strict=True):
        entry.fingerprint = report.fingerprint
        entry.server, entry.bornMs = report.server, report.started_ms
        entry.ageMs = _age_ms(report.observed_s, now_s)
    entries = content.init("answered", len(evidence.answered))
    for entry, answered in zip(entries, evidence.answered, strict=True):
        entry.fingerprint = answered.fingerprint
        entry.ageMs = _age_ms(answered.observed_s, now_s)


def read_answered(content: Any) -> list[AnsweredRequest]:
    """Return the requests in a frame that a server has responded to."""
    now_s = boottime_s()
    return [
        AnsweredRequest(entry.fingerprint, now_s - entry.ageMs / 1000)
        for entry in content.answered
    ]


def read_crash_reports(content: Any) -> list[CrashReport]:
    """Return the reports in a frame."""
    now_s = boottime_s()
    return [
        CrashReport(
            entry.fingerprint, entry.server, entry.bornMs, now_s - entry.ageMs / 1000
        )
        for entry in content.crashes
    ]


def _age_ms(observed_s: float, now_s: float) -> int:
    return int(1000 * min(EVIDENCE_S, max(0.0, now_s - observed_s)))
