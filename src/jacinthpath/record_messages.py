"""Messages about at-most-once records, as plain types."""

from __future__ import annotations

__all__ = [
    "CANNOT_TELL",
    "MISMATCH",
    "NEW",
    "RUNNING",
    "SETTLED",
    "UNKNOWN",
    "Answer",
    "Claim",
    "KeptResponse",
    "PeerStanding",
    "RecordKey",
    "TransferPage",
    "TransferredRecord",
]

from typing import NamedTuple

# Account, service and idempotency key.
RecordKey = tuple[str, str, str]

# The states have the names of RecordState in peer.capnp.
NEW = "new"
RUNNING = "running"
SETTLED = "settled"
UNKNOWN = "unknown"
CANNOT_TELL = "cannotTell"
MISMATCH = "mismatch"


class PeerStanding(NamedTuple):
    """What a holder tells with a completed transfer.

    :param version: its roster version when the transfer started; 0 when it was
        no member.
    :param base: version up to which its memory was complete for all its keys; 0
        when there was none.
    """

    version: int
    base: int


class Claim(NamedTuple):
    """Request of an entry process to run an idempotency key.

    :param entry: process identity of the entry process.
    :param attempt: random identity of the claim, not 0, never used again after
        it was withdrawn.
    :param deadline_s: time until the request ends, from the claim on.
    :param roster_version: version that the holders were chosen by.
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
    """The one response to an idempotency key.

    ``body_kept`` is false when the body was too large for the holder.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    body_kept: bool = True


class Answer(NamedTuple):
    """Answer of a holder to a claim or lookup.

    :param state: :data:`NEW` accepts the claim of ``attempt``.
    :param attempt: attempt that holds the record.
    :param reason: why a holder cannot tell.
    :param roster_version: version of the holder.
    """

    state: str
    attempt: int = 0
    response: KeptResponse | None = None
    age_s: float = 0.0
    reason: str = ""
    roster_version: int = 0


class TransferredRecord(NamedTuple):
    """One record on its way to another holder."""

    claim: Claim
    state: str
    response: KeptResponse | None
    age_s: float


class TransferPage(NamedTuple):
    """A page of records; ``following`` is the next cursor, 0 at the end.

    Only the last page carries the standing of the sender.
    """

    records: tuple[TransferredRecord, ...]
    following: int
    standing: PeerStanding | None
