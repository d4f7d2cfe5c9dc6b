"""At-most-once records of a holder.

A ledger maps an idempotency key to the attempt that may run it. It is kept in
the memory of a control process only, so a restart loses all records;
:mod:`jacinthpath.record_completeness` decides when an absent record means "new".
"""

from __future__ import annotations

__all__ = ["RecordLedger", "RecordQuorum", "choose_holders"]

import math
import sys
from typing import NamedTuple

from .record_completeness import MAX_CLAIM_S, HolderCompleteness
from .record_messages import (
    CANNOT_TELL,
    MISMATCH,
    NEW,
    RUNNING,
    SETTLED,
    UNKNOWN,
    Claim,
    ClaimResult,
    KeptResponse,
    PeerCompleteness,
    RecordKey,
    TransferPage,
    TransferredRecord,
)
from .record_quorum import RecordQuorum
from .record_roster import choose_holders

# Attempt number of a record that two attempts claim: either may be the one that
# runs, so neither can withdraw it. Also that of a withdrawn record.
CONTESTED = 0

# Withdrawn attempts that a record remembers, so that a delayed claim message does
# not restore one. Forgetting one causes a false "running", never a second run.
MAX_WITHDRAWN = 8
WITHDRAWN_RETENTION_S = 60.0

# Memory of a record without its key and response; measurements are in
# docs/decisions/at-most-once.md.
RECORD_BYTES = 500
RESPONSE_BYTES = 400

# Keys scanned for one page of a transfer. With 500 hosts, scanning 256 blocked the
# event loop for up to 85 ms, close to the 100 ms of the grant timers.
PAGE_SCAN_LIMIT = 64
PAGE_BYTES = 256 * 1024

# A transfer cursor holds the snapshot id in its high bits and a position in that
# snapshot in the low ones, so that the cursor of an abandoned transfer never skips
# records of a later one.
CURSOR_BITS = 32


class _Record:
    __slots__ = (
        "attempt",
        "claimed_at",
        "deadline_at",
        "digest",
        "entry",
        "expires_at",
        "response",
        "size",
        "state",
        "withdrawn",
    )

    def __init__(self, claim: Claim, state: str, now: float) -> None:
        self.attempt = claim.attempt
        self.digest = claim.request_digest
        self.entry = sys.intern(claim.entry)
        self.state = state
        self.claimed_at = now
        self.deadline_at = now + claim.deadline_s
        self.expires_at = 0
        self.response: KeptResponse | None = None
        self.size = 0
        self.withdrawn: tuple[int, ...] = ()

    def state_at(self, now: float) -> str:
        if self.state == RUNNING and now >= self.deadline_at:
            return UNKNOWN
        return self.state


class _Snapshot(NamedTuple):
    snapshot_id: int
    keys: list[RecordKey]
    completeness: PeerCompleteness


class RecordLedger:
    """Records of the keys that one control process holds.

    A full ledger refuses new claims; it never drops a record before it expires.

    :param completeness: decides whether an absent record means "new".
    :param retention_s: how long a record is available after its request was sent.
        It is kept from its claim on, which is up to ``MAX_CLAIM_S`` earlier.
    :param max_records: maximum number of records.
    :param max_bytes: maximum of their estimated memory.
    :param max_body_bytes: longest response body that is kept.
    """

    def __init__(
        self,
        completeness: HolderCompleteness,
        retention_s: float = 600.0,
        max_records: int = 20_000,
        max_bytes: int = 12 * 1024 * 1024,
        max_body_bytes: int = 16 * 1024,
    ) -> None:
        self.completeness = completeness
        self._record_retention_s = retention_s + MAX_CLAIM_S
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.max_body_bytes = max_body_bytes
        self.bytes_used = 0
        self._records: dict[RecordKey, _Record] = {}
        self._keys_by_expiry: dict[int, list[RecordKey]] = {}
        self._expired_until = 0
        self._snapshots: dict[str, _Snapshot] = {}
        self._last_snapshot_id = 0

    def __len__(self) -> int:
        return len(self._records)

    def claim(self, claim: Claim, now: float) -> ClaimResult:
        """Accept a claim, or return the state of its key."""
        refusal_reason = self.completeness.refusal_reason(
            claim.key, claim.roster_version, now
        )
        record = self._find_record(claim.key, now)
        if record is not None and claim.attempt in record.withdrawn:
            return self._make_result(CANNOT_TELL, reason="withdrawn")
        if record is not None and record.state != NEW:
            return self._claim_known_key(record, claim, refusal_reason, now)
        if refusal_reason:
            return self._make_result(CANNOT_TELL, reason=refusal_reason)
        if record is None and not self._has_room(claim.key, None):
            return self._make_result(CANNOT_TELL, reason="full")
        self._store(claim, RUNNING, None, now)
        return self._make_result(NEW, claim.attempt)

    def lookup(self, claim: Claim, now: float) -> ClaimResult:
        """Return the state of a key without claiming it."""
        record = self._find_record(claim.key, now)
        if record is not None and record.state != NEW:
            return self._describe(record, claim, now)
        refusal_reason = self.completeness.refusal_reason(
            claim.key, claim.roster_version, now
        )
        return self._make_result(
            CANNOT_TELL if refusal_reason else NEW, reason=refusal_reason
        )

    def settle(
        self, claim: Claim, state: str, response: KeptResponse | None, now: float
    ) -> None:
        """Record the outcome of an attempt.

        :param state: :data:`SETTLED` or :data:`UNKNOWN` for an attempt that two
            holders accepted and that was sent, or :data:`NEW` to withdraw a
            claim that was certainly not run.
        """
        if state == NEW:
            self._withdraw(claim, now)
            return
        record = self._find_record(claim.key, now)
        if record is not None and record.state == SETTLED:
            return
        if record is None and not self._has_room(claim.key, None):
            return
        self._store(claim, state, response, now)

    def export_page(self, requester: str, cursor: int, now: float) -> TransferPage:
        """Return a page of the records that another host should hold.

        Claims that are accepted after the first page need not be transferred: they
        are of this version, at which the requester does not answer claims yet.

        :param requester: host that pulls, a member of this holder's roster.
        :param cursor: 0 to start, else ``next_cursor`` of the previous page.
        """
        if cursor == 0:
            cursor = self._create_snapshot(requester, now)
        snapshot = self._snapshots.get(requester)
        if snapshot is None or snapshot.snapshot_id != cursor >> CURSOR_BITS:
            return TransferPage((), 0, PeerCompleteness(0, 0))
        position = cursor & (1 << CURSOR_BITS) - 1
        records, position = self._scan_page(snapshot.keys, position, requester, now)
        if position < len(snapshot.keys):
            next_cursor = snapshot.snapshot_id << CURSOR_BITS | position
            return TransferPage(records, next_cursor, None)
        del self._snapshots[requester]
        is_same_version = snapshot.completeness.version == self._roster_version()
        completeness = (
            snapshot.completeness if is_same_version else PeerCompleteness(0, 0)
        )
        return TransferPage(records, 0, completeness)

    def import_page(self, page: TransferPage, host: str, now: float) -> bool:
        """Merge a page that was pulled from ``host``.

        :return: whether there was room for all its records; if not, the transfer
            must not be continued, as this holder would not be complete.
        """
        for transferred in page.records:
            if not self._merge(transferred, now):
                return False
        if page.completeness is not None:
            self.completeness.record_transfer(host, page.completeness, now)
        return True

    def _make_result(
        self, state: str, attempt: int = 0, reason: str = ""
    ) -> ClaimResult:
        return ClaimResult(
            state, attempt, reason=reason, roster_version=self._roster_version()
        )

    def _claim_known_key(
        self, record: _Record, claim: Claim, refusal_reason: str, now: float
    ) -> ClaimResult:
        is_own = record.attempt == claim.attempt and record.state == RUNNING
        if not is_own:
            return self._describe(record, claim, now)
        if refusal_reason:
            return self._make_result(CANNOT_TELL, reason=refusal_reason)
        return self._make_result(NEW, claim.attempt)

    def _describe(self, record: _Record, claim: Claim, now: float) -> ClaimResult:
        state = record.state_at(now)
        if record.digest != claim.request_digest:
            return self._make_result(MISMATCH, record.attempt)
        result = self._make_result(state, record.attempt)
        return result._replace(
            response=record.response, age_s=max(0.0, now - record.claimed_at)
        )

    def _withdraw(self, claim: Claim, now: float) -> None:
        record = self._find_record(claim.key, now)
        if record is None:
            if not self._has_room(claim.key, None):
                return
            record = self._store(claim, NEW, None, now)
        elif record.state == RUNNING and record.attempt == claim.attempt:
            record.state = NEW
        record.withdrawn = (*record.withdrawn, claim.attempt)[-MAX_WITHDRAWN:]
        if record.state == NEW:
            record.attempt = CONTESTED
            self._schedule_expiry(claim.key, record, now + WITHDRAWN_RETENTION_S)

    def _merge(self, transferred: TransferredRecord, now: float) -> bool:
        claim, state, response, age_s = transferred
        if age_s >= self._record_retention_s:
            return True
        record = self._find_record(claim.key, now)
        if record is None or record.state == NEW:
            if record is not None and claim.attempt in record.withdrawn:
                return True
            if record is None and not self._has_room(claim.key, response):
                return False
            self._store(claim, state, response, now - age_s)
        elif state == SETTLED and record.state != SETTLED:
            self._store(claim, state, response, now - age_s)
        elif record.state != SETTLED and record.attempt != claim.attempt:
            record.attempt = CONTESTED
            record.claimed_at = max(record.claimed_at, now - age_s)
            self._schedule_expiry(
                claim.key, record, record.claimed_at + self._record_retention_s
            )
        return True

    def _create_snapshot(self, requester: str, now: float) -> int:
        self._expire(now)
        self._last_snapshot_id += 1
        self._snapshots[requester] = _Snapshot(
            self._last_snapshot_id, list(self._records), self.completeness.report()
        )
        return self._last_snapshot_id << CURSOR_BITS

    def _scan_page(
        self, keys: list[RecordKey], position: int, requester: str, now: float
    ) -> tuple[tuple[TransferredRecord, ...], int]:
        """Return the records of one page and the position after it."""
        roster = self.completeness.roster
        hosts = roster.hosts() if roster is not None else {}
        records: list[TransferredRecord] = []
        size = 0
        end = min(position + PAGE_SCAN_LIMIT, len(keys))
        while position < end and size < PAGE_BYTES:
            key = keys[position]
            position += 1
            record = self._find_record(key, now)
            if record is None or record.state == NEW:
                continue
            if requester in choose_holders(*key, hosts):
                records.append(self._make_transferred(key, record, now))
                size += record.size
        return tuple(records), position

    def _roster_version(self) -> int:
        return self.completeness.report().version

    def _make_transferred(
        self, key: RecordKey, record: _Record, now: float
    ) -> TransferredRecord:
        remaining_s = record.deadline_at - now
        claim = Claim(*key, record.digest, record.entry, record.attempt, remaining_s, 0)
        age_s = max(0.0, now - record.claimed_at)
        return TransferredRecord(claim, record.state, record.response, age_s)

    def _find_record(self, key: RecordKey, now: float) -> _Record | None:
        self._expire(now)
        return self._records.get(key)

    def _has_room(self, key: RecordKey, response: KeptResponse | None) -> bool:
        return (
            len(self._records) < self.max_records
            and self.bytes_used + _estimate_bytes(key, response) <= self.max_bytes
        )

    def _store(
        self, claim: Claim, state: str, response: KeptResponse | None, claimed_at: float
    ) -> _Record:
        key = (sys.intern(claim.account), sys.intern(claim.service), claim[2])
        previous = self._records.pop(key, None)
        record = _Record(claim, state, claimed_at)
        if previous is not None:
            record.withdrawn = previous.withdrawn
            self.bytes_used -= previous.size
            if previous.state != NEW and previous.attempt == claim.attempt:
                record.claimed_at = min(claimed_at, previous.claimed_at)
        record.response = self._fit_response(key, response)
        record.size = _estimate_bytes(key, record.response)
        self.bytes_used += record.size
        self._records[key] = record
        self._schedule_expiry(key, record, record.claimed_at + self._record_retention_s)
        return record

    def _fit_response(
        self, key: RecordKey, response: KeptResponse | None
    ) -> KeptResponse | None:
        if response is None or not response.body:
            return response
        too_long = len(response.body) > self.max_body_bytes
        if (
            too_long
            or self.bytes_used + _estimate_bytes(key, response) > self.max_bytes
        ):
            return response._replace(body=b"", body_kept=False)
        return response

    def _schedule_expiry(
        self, key: RecordKey, record: _Record, expires_at: float
    ) -> None:
        record.expires_at = math.ceil(expires_at)
        self._keys_by_expiry.setdefault(record.expires_at, []).append(key)

    def _expire(self, now: float) -> None:
        if int(now) <= self._expired_until:
            return
        self._expired_until = int(now)
        for second in [each for each in self._keys_by_expiry if each <= now]:
            for key in self._keys_by_expiry.pop(second):
                record = self._records.get(key)
                if record is not None and record.expires_at <= now:
                    del self._records[key]
                    self.bytes_used -= record.size


def _estimate_bytes(key: RecordKey, response: KeptResponse | None) -> int:
    size = RECORD_BYTES + len(key[2])
    if response is not None:
        headers = sum(len(name) + len(value) + 160 for name, value in response.headers)
        size += RESPONSE_BYTES + len(response.body) + headers
    return size
