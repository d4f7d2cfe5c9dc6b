"""Message types of the at-most-once records, independent of their encoding."""

from __future__ import annotations

__all__ = [
    "CANNOT_TELL",
    "MISMATCH",
    "NEW",
    "RUNNING",
    "SETTLED",
    "UNKNOWN",
    "Claim",
    "ClaimResult",
    "KeptResponse",
    "PeerCompleteness",
    "RecordKey",
    "TransferPage",
    "TransferredRecord",
]

from typing import NamedTuple

# Account, service and idempotency key.
RecordKey = tuple[str, str, str]

# The states of RecordState in peer.capnp, under the same names.
NEW = "new"
RUNNING = "running"
SETTLED = "settled"
UNKNOWN = "unknown"
CANNOT_TELL = "cannotTell"
MISMATCH = "mismatch"


class PeerCompleteness(NamedTuple):
    """How complete the records of a holder are, sent at the end of a transfer.

    :param version: its roster version when the transfer started; 0 when it was
        not a member.
    :param complete_up_to: roster version up to which its memory was complete for
        all its keys; 0 when there was none.
    """

    version: int
    complete_up_to: int


class Claim(NamedTuple):
    """Claim of an entry process to run the request of an idempotency key.

    :param entry: process id of the entry process.
    :param attempt: random id of the claim, not 0, never used again after it was
        withdrawn.
    :param deadline_s: time from the claim until the request ends.
    :param roster_version: version of the roster that the holders were chosen from.
    """

    account: str
    service: str
    idempotency_key: str
    request_digest: bytes
    entry: str
    attempt: int
    deadline_s: float
    roster_version: int

    @property
    def key(self) -> RecordKey:
        """Return account, service and idempotency key."""
        return (self.account, self.service, self.idempotency_key)


class KeptResponse(NamedTuple):
    """The stored response to the request of an idempotency key.

    ``body_kept`` is false when the body was too large to be kept.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    body_kept: bool = True


class ClaimResult(NamedTuple):
    """Result of a claim or lookup at one holder.

    :param state: :data:`NEW` in response to a claim means that the holder accepted
        ``attempt``.
    :param attempt: attempt that has claimed the key.
    :param reason: why the holder returns :data:`CANNOT_TELL`.
    :param roster_version: roster version of the holder.
    """

    state: str
    attempt: int = 0
    response: KeptResponse | None = None
    age_s: float = 0.0
    reason: str = ""
    roster_version: int = 0


class TransferredRecord(NamedTuple):
    """One record that is transferred to another holder."""

    claim: Claim
    state: str
    response: KeptResponse | None
    age_s: float


class TransferPage(NamedTuple):
    """A page of records; ``next_cursor`` is 0 on the last page.

    Only the last page carries the completeness of the sender.
    """

    records: tuple[TransferredRecord, ...]
    next_cursor: int
    completeness: PeerCompleteness | None
