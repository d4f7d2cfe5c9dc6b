"""Epochs, and the vouches that control processes give to a coordinator."""

from __future__ import annotations

__all__ = [
    "VouchAnswer",
    "VouchLedger",
    "VouchRequest",
    "generation_of",
    "make_epoch",
    "round_of",
]

import math
from typing import NamedTuple

VOUCH_DURATION_S = 2.0
VOUCH_RENEWAL_INTERVAL_S = 0.5
# Longer than the lag of the host list plus a vouch. Below this uptime a process may
# have lost its vouches in a restart, and candidates may not yet see it listed, so it
# gives none.
VOUCH_MIN_UPTIME_S = 60.0

_ROUND_BITS = 32


def make_epoch(generation: int, round_: int = 0) -> int:
    """Return the epoch of a generation in the store and a round of vouches.

    Round 0 means authority under the store lease.
    """
    return generation << _ROUND_BITS | round_


def generation_of(epoch: int) -> int:
    """Return the generation that an epoch belongs to."""
    return epoch >> _ROUND_BITS


def round_of(epoch: int) -> int:
    """Return the round of an epoch; 0 under the store lease."""
    return epoch & (1 << _ROUND_BITS) - 1


class VouchRequest(NamedTuple):
    """Request of a coordinator or candidate to a control process.

    :param kind: ``inquire``, ``vouch`` or ``release``.
    :param host: host that the request is for.
    :param epoch: epoch of the requester; its round is above 0 when the vouch
        is to replace the store lease.
    :param sent: when the request was made, on the requester's clock.
    :param terms_ms: with ``release``, how long granted terms may still run.
    """

    kind: str
    host: str
    service: str
    holder: str
    epoch: int
    sent: float
    terms_ms: int = 0


class VouchAnswer(NamedTuple):
    """Answer to a request.

    :param granted: whether the request was granted.
    :param reason: ``other-holder``, ``other-candidate``, ``young``,
        ``new-service`` or ``store-reachable``; ``young`` also marks a grant to
        the first coordinator of a service.
    :param remaining_ms: when refused for another holder, how long that lasts;
        when granted, how long terms of a released holder may still run.
    :param highest_epoch: highest epoch that the host has seen.
    :param holder: holder that the host is committed to.
    """

    granted: bool
    reason: str
    remaining_ms: int
    highest_epoch: int
    holder: str


class _Commitment(NamedTuple):
    """Commitment of this process to one holder.

    :param vouched_generation: generation under which it vouched, 0 when it has
        only answered an inquiry.
    """

    until: float
    vouched_generation: int


class _ServiceState:
    def __init__(self, now: float) -> None:
        self.known_since = now
        self.highest_epoch = 0
        self.terms_end = -math.inf
        # Keyed by the holder and whether the vouch is to replace the store lease.
        self.commitments: dict[tuple[str, bool], _Commitment] = {}

    def find_conflict(
        self, holder: str, outage: bool, now: float
    ) -> tuple[str, _Commitment] | None:
        """Return a holder that excludes the request, and the commitment to it."""
        for key, commitment in list(self.commitments.items()):
            other, other_outage = key
            if now >= commitment.until:
                del self.commitments[key]
            elif other != holder and (outage or other_outage):
                return other, commitment
        return None


class VouchLedger:
    """Host side: the commitments of this process for each service.

    A commitment is made by granting an inquiry or by vouching, and is binding
    until it ends on this process's clock. One that replaces the store lease
    excludes every other holder. Others may coexist, since the store lease itself
    is exclusive.

    :param started: when this process started.
    :param min_uptime_s: uptime below which a process commits to no holder, except
        to vouch for the first coordinator of a service.
    """

    def __init__(
        self, started: float, min_uptime_s: float = VOUCH_MIN_UPTIME_S
    ) -> None:
        self._started = started
        self._min_uptime_s = min_uptime_s
        self._services: dict[str, _ServiceState] = {}

    def answer(
        self, request: VouchRequest, now: float, *, store_reachable: bool
    ) -> VouchAnswer:
        """Answer a request of any kind.

        :param store_reachable: whether this process recently reached the store.
        """
        service = self._service(request.service, now)
        if request.kind == "release":
            return self._release(service, request, now)
        reason = self._refusal_reason(service, request, now, store_reachable)
        first_coordinator = request.kind == "vouch" and request.epoch == make_epoch(1)
        granted = not reason or (reason == "young" and first_coordinator)
        if granted:
            self._commit(service, request, now)
        return self._build_answer(service, request, now, granted, reason)

    def record_epoch(self, service: str, epoch: int, now: float) -> None:
        """Record the epoch of a table that reached this process."""
        entry = self._service(service, now)
        entry.highest_epoch = max(entry.highest_epoch, epoch)

    def may_keep(self, service: str, holder: str, now: float) -> bool:
        """Whether this process may store a copy of a table of this coordinator.

        A process that is committed to a candidate accepts no further table of the
        predecessor: the candidate has already read the tables and would miss it.
        """
        return self._service(service, now).find_conflict(holder, True, now) is None

    def _service(self, name: str, now: float) -> _ServiceState:
        if name not in self._services:
            self._services[name] = _ServiceState(now)
        return self._services[name]

    def _refusal_reason(
        self,
        service: _ServiceState,
        request: VouchRequest,
        now: float,
        store_reachable: bool,
    ) -> str:
        outage = round_of(request.epoch) > 0
        conflict = service.find_conflict(request.holder, outage, now)
        if conflict is not None:
            is_candidate = conflict[1].vouched_generation == 0
            return "other-candidate" if is_candidate else "other-holder"
        if now - self._started < self._min_uptime_s:
            return "young"
        if not outage:
            return ""
        if store_reachable:
            return "store-reachable"
        # Processes below the minimum uptime may vouch for the first coordinator of
        # a service, in generation 1. By this age of the service, as known here, all
        # of those vouches have ended.
        generation = generation_of(max(request.epoch, service.highest_epoch))
        age_s = now - service.known_since
        taking_over = request.kind == "inquire"
        if taking_over and generation <= 1 and age_s < 2 * self._min_uptime_s:
            return "new-service"
        return ""

    def _commit(
        self, service: _ServiceState, request: VouchRequest, now: float
    ) -> None:
        generation = 0
        if request.kind == "vouch":
            generation = generation_of(request.epoch)
            service.highest_epoch = max(service.highest_epoch, request.epoch)
            self._drop_superseded(service, generation)
        key = request.holder, round_of(request.epoch) > 0
        service.commitments[key] = _Commitment(now + VOUCH_DURATION_S, generation)

    def _drop_superseded(self, service: _ServiceState, generation: int) -> None:
        """Drop vouches beside leases of earlier generations."""
        for key, commitment in list(service.commitments.items()):
            outage = key[1]
            if not outage and 0 < commitment.vouched_generation < generation:
                del service.commitments[key]

    def _release(
        self, service: _ServiceState, request: VouchRequest, now: float
    ) -> VouchAnswer:
        for outage in (False, True):
            if service.commitments.pop((request.holder, outage), None) is not None:
                terms_end = now + request.terms_ms / 1000
                service.terms_end = max(service.terms_end, terms_end)
        return self._build_answer(service, request, now, True, "")

    def _build_answer(
        self,
        service: _ServiceState,
        request: VouchRequest,
        now: float,
        granted: bool,
        reason: str,
    ) -> VouchAnswer:
        holder, until = request.holder, service.terms_end
        outage = round_of(request.epoch) > 0
        conflict = service.find_conflict(holder, outage, now)
        if not granted and conflict is not None:
            holder, until = conflict[0], conflict[1].until
        return VouchAnswer(
            granted=granted,
            reason=reason,
            remaining_ms=math.ceil(max(0.0, until - now) * 1000) if now < until else 0,
            highest_epoch=service.highest_epoch,
            holder=holder,
        )
