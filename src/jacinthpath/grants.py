"""Fenced, time-limited ownership grants, for the server and the coordinator side.

A server may serve a key only while a grant for the key's slice is in force. The term
of a grant starts at a timestamp (stamp) of the server's own clock that the grant
echoes, so any delay in transit shortens the remaining term.
"""

from __future__ import annotations

__all__ = [
    "Grant",
    "GrantAnswer",
    "GrantHolder",
    "TermTracker",
    "drift_margin_s",
    "holdings_digest",
]

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from xxhash import xxh3_64_hexdigest

from .hashing import slice_of

TERM_MS = 400
MAX_TERM_MS = 10_000
# Upper bound on the divergence of two clocks over a term; the fixed part covers
# rounding.
DRIFT_RATIO = 0.005
DRIFT_FLOOR_S = 0.005


def drift_margin_s(duration_s: float) -> float:
    """Return the margin to add for clock drift over a duration, in seconds."""
    return duration_s * DRIFT_RATIO + DRIFT_FLOOR_S


class Grant(NamedTuple):
    """Message from a coordinator that grants ownership to a server or renews it.

    A grant with ``slices=None`` and ``term_ms=0`` is an inquiry: it fences lower
    epochs and asks what the server holds, and changes nothing else.

    :param service: service whose keys are granted.
    :param epoch: fencing epoch of the coordinator.
    :param sequence: increases with every grant of the epoch, across all servers.
    :param incarnation: server process that the grant is for; an inquiry may leave
        it empty.
    :param echoed_stamp_ms: newest stamp that the coordinator received from it.
    :param term_ms: validity of the grant, counted from the echoed stamp.
    :param slices: slices owned from now on, or ``None`` for no change.
    :param hot_keys: hashes of keys that are placed individually; true when the
        server owns the key, false when another server owns it. Ignored when
        ``slices`` is ``None``.
    :param slice_count: number of slices in the service's hash space.
    """

    service: str
    epoch: int
    sequence: int
    incarnation: str
    echoed_stamp_ms: int
    term_ms: int
    slices: tuple[int, ...] | None
    hot_keys: Mapping[int, bool] = {}
    slice_count: int = 1024

    @property
    def is_inquiry(self) -> bool:
        """Whether this grant only asks what the server holds."""
        return self.slices is None and self.term_ms == 0


class GrantAnswer(NamedTuple):
    """Answer of a server to a grant, whether accepted or refused.

    :param stamp_ms: the server's clock at the time of the answer.
    :param incarnation: server process that answers.
    :param epoch: highest epoch that it has accepted.
    :param sequence: highest sequence that it has accepted in that epoch.
    :param held_epoch: epoch of the grant that set the held slices.
    :param held_sequence: sequence of the grant that set the held slices.
    :param digest: digest of the held slices and hot keys.
    :param held: held slices in answers to inquiries, otherwise ``None``.
    :param held_hot_keys: held hot keys in answers to inquiries, otherwise empty.
    :param term_left_ms: remaining term of the held slices and hot keys; 0 once it
        has ended.
    :param accepted: whether the grant was accepted.
    :param reason: why it was refused; empty when accepted.
    """

    stamp_ms: int
    incarnation: str
    epoch: int
    sequence: int
    held_epoch: int
    held_sequence: int
    digest: str
    held: tuple[int, ...] | None
    held_hot_keys: Mapping[int, bool]
    term_left_ms: int
    accepted: bool
    reason: str = ""


def holdings_digest(slices: Iterable[int], hot_keys: Mapping[int, bool]) -> str:
    """Return a digest of held slices and hot keys, for comparison by either side."""
    parts = [",".join(map(str, sorted(slices)))]
    parts += [f"{key}:{int(owned)}" for key, owned in sorted(hot_keys.items())]
    return xxh3_64_hexdigest(";".join(parts).encode())


class GrantHolder:
    """Server side: accepts or refuses grants and tells which keys are owned.

    Each process creates one holder at startup. The clock must be monotonic and
    must keep advancing while the process or its host is suspended
    (``CLOCK_BOOTTIME`` on Linux).

    :param service: service that the server belongs to.
    :param incarnation: random identifier of this process, new at each start.
    """

    def __init__(self, service: str, incarnation: str) -> None:
        self.service = service
        self.incarnation = incarnation
        self.epoch = 0
        self.sequence = 0
        self._held_epoch = 0
        self._held_sequence = 0
        self._slices: frozenset[int] = frozenset()
        self._hot_keys: Mapping[int, bool] = {}
        self._slice_count = 1
        self._term_end_ms = 0
        self._digest = holdings_digest((), {})

    def receive(self, grant: Grant, now_ms: int) -> GrantAnswer:
        """Accept or refuse a grant.

        :param now_ms: the server's clock at the time the grant is handled.
        """
        reason = self._refusal_reason(grant, now_ms)
        if not reason:
            self._accept(grant)
        return self._answer(grant, now_ms, reason)

    def owns(self, hash_value: int, now_ms: int) -> bool:
        """Whether this process may serve the key with this hash at ``now_ms``."""
        if now_ms >= self._term_end_ms:
            return False
        owned = self._hot_keys.get(hash_value)
        if owned is not None:
            return owned
        return slice_of(hash_value, self._slice_count) in self._slices

    def owned_slices(self, now_ms: int) -> frozenset[int]:
        """Return the slices that this process may serve at ``now_ms``."""
        return self._slices if now_ms < self._term_end_ms else frozenset()

    def _refusal_reason(self, grant: Grant, now_ms: int) -> str:
        if grant.service != self.service:
            return "other-service"
        if grant.incarnation != self.incarnation and (
            grant.incarnation or not grant.is_inquiry
        ):
            return "other-incarnation"
        if grant.epoch < self.epoch:
            return "stale-epoch"
        if grant.epoch == self.epoch and grant.sequence <= self.sequence:
            return "stale-sequence"
        if grant.echoed_stamp_ms > now_ms:
            return "stamp-in-future"
        if grant.slices is None and grant.term_ms and grant.epoch != self._held_epoch:
            # A renewal only refers to slices that the same epoch granted.
            return "nothing-to-renew"
        return ""

    def _accept(self, grant: Grant) -> None:
        self.epoch = grant.epoch
        self.sequence = grant.sequence
        if grant.is_inquiry:
            return
        self._term_end_ms = grant.echoed_stamp_ms + grant.term_ms
        if grant.slices is None:
            return
        self._held_epoch = grant.epoch
        self._held_sequence = grant.sequence
        self._slices = frozenset(grant.slices)
        self._hot_keys = dict(grant.hot_keys)
        self._slice_count = grant.slice_count
        self._digest = holdings_digest(self._slices, self._hot_keys)

    def _answer(self, grant: Grant, now_ms: int, reason: str) -> GrantAnswer:
        is_inquiry = grant.is_inquiry
        return GrantAnswer(
            stamp_ms=now_ms,
            incarnation=self.incarnation,
            epoch=self.epoch,
            sequence=self.sequence,
            held_epoch=self._held_epoch,
            held_sequence=self._held_sequence,
            digest=self._digest,
            held=tuple(sorted(self._slices)) if is_inquiry else None,
            held_hot_keys=self._hot_keys if is_inquiry else {},
            term_left_ms=max(0, self._term_end_ms - now_ms),
            accepted=not reason,
            reason=reason,
        )


class _Stamp(NamedTuple):
    incarnation: str
    stamp_ms: int
    arrival_s: float


class TermTracker:
    """Coordinator side: upper bounds on the end of servers' terms, on its own clock.

    A stamp was read no later than it arrived here, so a term that starts at it has
    ended by ``arrival + term`` plus a margin for clock drift.
    """

    def __init__(self) -> None:
        self._stamps: dict[str, _Stamp] = {}
        self._latest_ends: dict[str, dict[str, float]] = {}

    def record_stamp(
        self, server: str, incarnation: str, stamp_ms: int, now: float
    ) -> None:
        """Record a stamp unless a newer one of the same incarnation is known."""
        known = self._stamps.get(server)
        if (
            known is None
            or known.incarnation != incarnation
            or stamp_ms > known.stamp_ms
        ):
            self._stamps[server] = _Stamp(incarnation, stamp_ms, now)

    def incarnation(self, server: str) -> str:
        """Return the incarnation of the newest stamp, or an empty string."""
        known = self._stamps.get(server)
        return known.incarnation if known else ""

    def next_term(
        self, server: str, authority_end: float, term_ms: int = TERM_MS
    ) -> tuple[int, int]:
        """Return the stamp to echo and the term to grant, in milliseconds.

        ``term_ms`` is shortened so that the upper bound of its end is at most the
        end of the coordinator's authority. It is 0 when no term is left to grant.
        """
        known = self._stamps[server]
        available_s = authority_end - known.arrival_s - DRIFT_FLOOR_S
        capped_ms = math.floor(available_s / (1 + DRIFT_RATIO) * 1000)
        return known.stamp_ms, max(0, min(term_ms, capped_ms))

    def record_grant(self, server: str, term_ms: int) -> None:
        """Record that a grant with this term from the newest stamp is being sent."""
        known = self._stamps[server]
        term_s = term_ms / 1000
        end = known.arrival_s + term_s + drift_margin_s(term_s)
        ends = self._latest_ends.setdefault(server, {})
        ends[known.incarnation] = max(end, ends.get(known.incarnation, end))

    def latest_end(self, server: str, *, excluding: str = "") -> float:
        """Return when all terms of a server have ended, ``-inf`` if it has none.

        :param excluding: incarnation whose own terms are ignored.
        """
        ends = self._latest_ends.get(server, {})
        counted = [end for name, end in ends.items() if name != excluding]
        return max(counted, default=-math.inf)

    def record_inherited(
        self, server: str, incarnation: str, term_left_ms: int, now: float
    ) -> None:
        """Record a term that a predecessor granted and the server reported."""
        term_s = term_left_ms / 1000
        ends = self._latest_ends.setdefault(server, {})
        end = now + term_s + drift_margin_s(term_s)
        ends[incarnation] = max(end, ends.get(incarnation, end))

    def has_incarnation_lapsed(self, server: str, incarnation: str, now: float) -> bool:
        """Whether every term of one incarnation of a server has provably ended."""
        ends = self._latest_ends.get(server, {})
        return now >= ends.get(incarnation, -math.inf)

    def forget_incarnation(self, server: str, incarnation: str) -> None:
        """Drop the record of an incarnation whose terms have ended."""
        self._latest_ends.get(server, {}).pop(incarnation, None)

    def has_lapsed(self, server: str, now: float, *, excluding: str = "") -> bool:
        """Whether every term of a server has provably ended.

        The terms of earlier processes count as well: a new process at the same
        address does not prove that the old one has stopped.
        """
        return now >= self.latest_end(server, excluding=excluding)
