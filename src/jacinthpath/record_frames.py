"""At-most-once records as frames between processes."""

from __future__ import annotations

__all__ = [
    "claim_frame",
    "read_answer",
    "read_claim",
    "read_page",
    "read_settle",
    "settle_frame",
    "transfer_frame",
    "write_answer",
    "write_page",
]

from typing import Any, NamedTuple

from .codec import new_frame
from .record_messages import (
    Answer,
    Claim,
    KeptResponse,
    PeerStanding,
    TransferPage,
    TransferredRecord,
)


class SettleMessage(NamedTuple):
    """Content of a ``settle`` frame."""

    claim: Claim
    state: str
    response: KeptResponse | None


def claim_frame(claim: Claim, kind: str = "claim") -> Any:
    """Return the frame of a claim, or of a ``lookup``."""
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


def write_answer(answer: Answer) -> Any:
    """Return the frame that answers a claim or lookup."""
    frame = new_frame()
    _write_answer(frame.body.init("claimed"), answer)
    return frame


def read_answer(content: Any) -> Answer:
    """Return the answer in a ``claimed`` frame."""
    response = None
    if content.status:
        response = _read_response(content)
    return Answer(
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
    """Return the frame that asks for a page of records."""
    frame = new_frame()
    content = frame.body.init("transfer")
    content.requester, content.after = requester, cursor
    return frame


def write_page(page: TransferPage) -> Any:
    """Return the frame with a page of records."""
    frame = new_frame()
    content = frame.body.init("records")
    content.next = page.following
    if page.standing is not None:
        content.rosterVersion, content.base = page.standing
    entries = content.init("records", len(page.records))
    for entry, record in zip(entries, page.records, strict=True):
        _write_claim(entry.init("claim"), record.claim)
        answer = Answer(
            record.state, record.claim.attempt, record.response, record.age_s
        )
        _write_answer(entry.init("result"), answer)
    return frame


def read_page(content: Any) -> TransferPage:
    """Return the page in a ``records`` frame."""
    records = tuple(_read_record(entry) for entry in content.records)
    standing = None
    if not content.next:
        standing = PeerStanding(content.rosterVersion, content.base)
    return TransferPage(records, content.next, standing)


def _read_record(entry: Any) -> TransferredRecord:
    answer = read_answer(entry.result)
    claim = read_claim(entry.claim)
    return TransferredRecord(claim, answer.state, answer.response, answer.age_s)


def _write_claim(content: Any, claim: Claim) -> None:
    content.account, content.service = claim.account, claim.service
    content.idempotencyKey = claim.idempotency_key
    content.requestDigest = claim.request_digest
    content.entry, content.attempt = claim.entry, claim.attempt
    content.deadlineMs = max(0, int(claim.deadline_s * 1000))
    content.rosterVersion = claim.roster_version


def _write_answer(content: Any, answer: Answer) -> None:
    content.state, content.attempt = answer.state, answer.attempt
    content.ageMs = int(answer.age_s * 1000)
    content.reason = answer.reason
    content.rosterVersion = answer.roster_version
    _write_response(content, answer.response)


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
