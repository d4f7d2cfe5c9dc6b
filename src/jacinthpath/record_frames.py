"""Encoding of the messages about at-most-once records as frames between processes."""

from __future__ import annotations

__all__ = [
    "claim_frame",
    "claim_result_frame",
    "read_claim",
    "read_claim_result",
    "read_page",
    "read_settle",
    "records_frame",
    "settle_frame",
    "transfer_frame",
]

from typing import Any, NamedTuple

from .codec import new_frame
from .record_messages import (
    Claim,
    ClaimResult,
    KeptResponse,
    PeerCompleteness,
    TransferPage,
    TransferredRecord,
)


class SettleMessage(NamedTuple):
    """Content of a ``settle`` frame."""

    claim: Claim
    state: str
    response: KeptResponse | None


def claim_frame(claim: Claim, kind: str = "claim") -> Any:
    """Return the frame of a claim, or of the ``kind`` ``lookup``."""
    frame = new_frame()
    _write_claim(frame.body.init(kind), claim)
    return frame


def read_claim(content: Any) -> Claim:
    """Return the claim in a ``claim`` or ``lookup`` frame."""
    return Claim(
        content.account,
        content.service,
        content.idempotencyKey,
        bytes(content.requestDigest),
        content.entry,
        content.attempt,
        content.deadlineMs / 1000,
        content.rosterVersion,
    )


def claim_result_frame(result: ClaimResult) -> Any:
    """Return the frame with the result of a claim or lookup."""
    frame = new_frame()
    _write_claim_result(frame.body.init("claimed"), result)
    return frame


def read_claim_result(content: Any) -> ClaimResult:
    """Return the result in a ``claimed`` frame."""
    response = None
    if content.status:
        response = _read_response(content)
    return ClaimResult(
        str(content.state),
        content.attempt,
        response,
        content.ageMs / 1000,
        content.reason,
        content.rosterVersion,
    )


def settle_frame(claim: Claim, state: str, response: KeptResponse | None) -> Any:
    """Return the frame that settles or withdraws an attempt."""
    frame = new_frame()
    content = frame.body.init("settle")
    content.account, content.service = claim.account, claim.service
    content.idempotencyKey, content.attempt = claim.idempotency_key, claim.attempt
    content.requestDigest, content.entry = claim.request_digest, claim.entry
    content.state = state
    _write_response(content, response)
    return frame


def read_settle(content: Any) -> SettleMessage:
    """Return the content of a ``settle`` frame."""
    claim = Claim(
        content.account,
        content.service,
        content.idempotencyKey,
        bytes(content.requestDigest),
        content.entry,
        content.attempt,
        0.0,
        0,
    )
    response = _read_response(content) if content.status else None
    return SettleMessage(claim, str(content.state), response)


def transfer_frame(requester: str, cursor: int) -> Any:
    """Return the frame that requests a page of records."""
    frame = new_frame()
    content = frame.body.init("transfer")
    content.requester, content.after = requester, cursor
    return frame


def records_frame(page: TransferPage) -> Any:
    """Return the frame with a page of records."""
    frame = new_frame()
    content = frame.body.init("records")
    content.next = page.next_cursor
    if page.completeness is not None:
        content.rosterVersion, content.base = page.completeness
    entries = content.init("records", len(page.records))
    for entry, record in zip(entries, page.records, strict=True):
        _write_claim(entry.init("claim"), record.claim)
        result = ClaimResult(
            record.state, record.claim.attempt, record.response, record.age_s
        )
        _write_claim_result(entry.init("result"), result)
    return frame


def read_page(content: Any) -> TransferPage:
    """Return the page in a ``records`` frame."""
    records = tuple(_read_record(entry) for entry in content.records)
    completeness = None
    if not content.next:
        completeness = PeerCompleteness(content.rosterVersion, content.base)
    return TransferPage(records, content.next, completeness)


def _read_record(entry: Any) -> TransferredRecord:
    result = read_claim_result(entry.result)
    claim = read_claim(entry.claim)
    return TransferredRecord(claim, result.state, result.response, result.age_s)


def _write_claim(content: Any, claim: Claim) -> None:
    content.account, content.service = claim.account, claim.service
    content.idempotencyKey = claim.idempotency_key
    content.requestDigest = claim.request_digest
    content.entry, content.attempt = claim.entry, claim.attempt
    content.deadlineMs = max(0, int(claim.deadline_s * 1000))
    content.rosterVersion = claim.roster_version


def _write_claim_result(content: Any, result: ClaimResult) -> None:
    content.state, content.attempt = result.state, result.attempt
    content.ageMs = int(result.age_s * 1000)
    content.reason = result.reason
    content.rosterVersion = result.roster_version
    _write_response(content, result.response)


def _write_response(content: Any, response: KeptResponse | None) -> None:
    if response is None:
        return
    content.status = response.status
    content.body, content.bodyKept = response.body, response.body_kept
    headers = content.init("headers", len(response.headers))
    for entry, (name, value) in zip(headers, response.headers, strict=True):
        entry.name, entry.value = name, value


def _read_response(content: Any) -> KeptResponse:
    headers = tuple((entry.name, entry.value) for entry in content.headers)
    return KeptResponse(content.status, headers, bytes(content.body), content.bodyKept)
