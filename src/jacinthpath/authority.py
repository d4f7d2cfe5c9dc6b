"""The coordinator's authority to act: a store lease with vouches, or vouches alone.

Under the store lease, a coordinator also holds vouches in enough data centres
that the others are no majority, so that no other process can collect a majority
of vouches at the same time while only a minority reaches the store. Without the
store, it holds vouches in a majority of data centres.
"""

from __future__ import annotations

__all__ = ["AuthorityTracker", "CoordinatorAuthority", "StoreLease", "VouchLedger"]

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .leases import LeaseCall, LeaseResult, StoreLease
from .quorums import VOUCH_VALID_S, VouchQuorum
from .vouches import (
    VOUCH_MIN_UPTIME_S,
    VouchAnswer,
    VouchLedger,
    VouchRequest,
    generation_of,
    make_epoch,
    round_of,
)

CANDIDACY_TIMEOUT_S = 0.3  # A candidacy that takes longer is restarted.
FIRST_CANDIDACY_TIMEOUT_S = 1.5  # Hosts of a new system appear on the list one by one.
BACKOFF_S = 0.5
# A lease that was not renewed for this long may be replaced by a majority of vouches.
LEASE_OVERDUE_S = 0.2
# After a host has reported that it reaches the store, vouches are requested beside
# the lease, not in its place, for one round of requests.
STORE_REACHED_WINDOW_S = 0.1


class CoordinatorAuthority(NamedTuple):
    """Permission of a coordinator to act.

    :param epoch: fencing epoch of its grants and tables.
    :param end: when the authority ends unless it is extended, on its own clock.
    :param inherited_terms_end: until when terms of a released predecessor may run.
    """

    epoch: int
    end: float
    inherited_terms_end: float


class AuthorityTracker:
    """Coordinator side: obtains, extends and releases authority for one service.

    :param service: service to coordinate.
    :param process_id: identity of this process, random at its start.
    :param data_centres: all data centres of the system, from the settings; the
        majority is counted over these and never over those that are reachable.
    :param started: when this process started; below the minimum uptime it is a
        candidate only for a service that never had a coordinator, since it may
        not know hosts that recently left the list.
    """

    def __init__(
        self,
        service: str,
        process_id: str,
        data_centres: Iterable[str],
        started: float,
        *,
        min_uptime_s: float = VOUCH_MIN_UPTIME_S,
    ) -> None:
        self.service = service
        self.lease = StoreLease(process_id)
        self._process_id = process_id
        self._quorum = VouchQuorum(data_centres, min_uptime_s)
        self._min_uptime_s = min_uptime_s
        self._eligible_at = started + min_uptime_s
        self._attempt = 0
        self._phase = "idle"
        self._phase_started = -math.inf
        self._retry_at = -math.inf
        self._in_outage = False
        self._other_candidate_seen = False
        self._jitter = 0.0
        self._epoch = 0
        self._outage_epoch = 0
        self._end = -math.inf
        self._inherited_terms_end = -math.inf
        self._highest_known_epoch = 0
        self._first_generation_at = -math.inf
        self._store_reached_at = -math.inf

    @property
    def holder(self) -> str:
        """Identity under which this attempt collects vouches.

        It changes with each attempt, so that a late message of an earlier one
        cannot release a vouch of this one.
        """
        return f"{self._process_id}:{self._attempt}"

    def update_hosts(self, hosts: Mapping[str, str], now: float) -> None:
        """Update the host list, as host to data centre, including leaving hosts."""
        self._quorum.update_hosts(hosts, now)

    def record_epoch(self, epoch: int) -> None:
        """Record an epoch that was seen in a table or in an answer."""
        self._highest_known_epoch = max(self._highest_known_epoch, epoch)

    def authority(self, now: float) -> CoordinatorAuthority | None:
        """Return the authority that is in force, if any."""
        self._evaluate(now)
        if self._phase != "acting":
            return None
        return CoordinatorAuthority(self._epoch, self._end, self._inherited_terms_end)

    def tick(
        self, now: float, jitter: float, *, wanted: bool = True
    ) -> list[VouchRequest | LeaseCall]:
        """Return the requests and store calls that are due.

        :param jitter: random number from 0 to 1, for the backoff of candidates.
        :param wanted: whether this process should become the coordinator.
        """
        self._evaluate(now)
        self._jitter = jitter
        requests: list[VouchRequest | LeaseCall] = []
        if self._phase == "idle" and self.lease.may_be_held:
            requests += _as_list(self.lease.release(now, 0))
        taking_part = wanted or self._phase != "idle"
        call = self.lease.next_call(
            now,
            wanted=taking_part,
            acquire=self._may_acquire(),
            may_raise=self._phase == "acting" or self._vouched_end() > now,
        )
        requests += _as_list(call)
        if self._phase == "idle":
            if wanted and self._may_start_candidacy(now):
                self._start_candidacy(now)
                requests += self._inquiries(now)
            return requests
        if self._phase == "candidate":
            if self._must_restart(now):
                return requests + self.release(now, 0.0, BACKOFF_S * (0.1 + jitter))
            requests += self._inquiries(now)
            if not self._may_request_vouches(now):
                return requests
        return requests + self._vouch_requests(now)

    def handle_vouch_answer(
        self, request: VouchRequest, answer: VouchAnswer, now: float
    ) -> None:
        """Process a host's answer to an inquiry or a request for a vouch."""
        self._evaluate(now)
        self.record_epoch(answer.highest_epoch)
        if request.holder != self.holder or self._phase == "idle":
            return
        if not answer.granted:
            self._quorum.record_refusal(request)
            self._handle_refusal(answer, now)
            return
        if answer.remaining_ms:
            self._extend_inherited_terms(now + answer.remaining_ms / 1000)
        if request.kind == "inquire":
            self._quorum.record_commitment(request.host)
        elif answer.reason != "young" or self._is_first_coordinator(now):
            self._quorum.record_vouch(request)
        self._evaluate(now)

    def _handle_refusal(self, answer: VouchAnswer, now: float) -> None:
        if answer.reason == "store-reachable":
            self._store_reached_at = now
        elif answer.reason == "other-candidate":
            self._other_candidate_seen = self._in_outage
        elif answer.reason == "other-holder" and self._in_outage:
            # Jitter spreads the candidates, since the first one excludes the others.
            delay_s = answer.remaining_ms / 1000 + BACKOFF_S * self._jitter
            self._retry_at = max(self._retry_at, now + delay_s)

    def handle_lease_result(
        self, call: LeaseCall, result: LeaseResult, now: float
    ) -> None:
        """Process the result of a store call."""
        self._evaluate(now)
        self.lease.handle_result(call, result, now)
        view = result.view
        if view is not None:
            self.record_epoch(make_epoch(view.generation))
            if view.term_left_ms and self._phase != "acting":
                self._extend_inherited_terms(now + view.term_left_ms / 1000)
        if self.lease.generation == 1 and self._first_generation_at == -math.inf:
            self._first_generation_at = now
        self._evaluate(now)

    def release(
        self, now: float, terms_end: float, backoff_s: float = 0.0
    ) -> list[VouchRequest | LeaseCall]:
        """Release the role or the candidacy.

        :param terms_end: when the last granted term has ended; successors wait
            for it where a server does not answer.
        """
        terms_ms = math.ceil(max(0.0, terms_end - now) * 1000)
        requests = self._make_requests("release", self._quorum.hosts, 0, now, terms_ms)
        requests += _as_list(self.lease.release(now, terms_ms))
        self._become_idle(now + backoff_s)
        return requests

    def _make_requests(
        self,
        kind: str,
        hosts: Iterable[str],
        epoch: int,
        now: float,
        terms_ms: int = 0,
    ) -> list[VouchRequest | LeaseCall]:
        return [
            VouchRequest(kind, host, self.service, self.holder, epoch, now, terms_ms)
            for host in hosts
        ]

    def _may_start_candidacy(self, now: float) -> bool:
        if now < self._retry_at or not self.lease.may_be_free(now):
            return False
        return now >= self._eligible_at or (
            self.lease.reachable and self.lease.never_coordinated
        )

    def _must_restart(self, now: float) -> bool:
        """Whether to restart the candidacy, with or without the store as it is now."""
        limit_s = (
            FIRST_CANDIDACY_TIMEOUT_S
            if self._is_first_coordinator(now)
            else CANDIDACY_TIMEOUT_S
        )
        failed = self._other_candidate_seen or now >= self._phase_started + limit_s
        store_state_changed = self._in_outage == self.lease.reachable
        return failed or store_state_changed or self.lease.seen_held_by_other

    def _start_candidacy(self, now: float) -> None:
        self._attempt += 1
        self._phase = "candidate"
        self._phase_started = now
        self._in_outage = not self.lease.reachable
        self._other_candidate_seen = False
        self._outage_epoch = 0
        self._quorum.reset()

    def _become_idle(self, retry_at: float) -> None:
        self._phase = "idle"
        self._retry_at = max(self._retry_at, retry_at)
        self._epoch = 0
        self._end = -math.inf

    def _extend_inherited_terms(self, terms_end: float) -> None:
        self._inherited_terms_end = max(self._inherited_terms_end, terms_end)

    def _is_first_coordinator(self, now: float) -> bool:
        if self.lease.next_generation != 1:
            return False
        return (
            now < self._first_generation_at + 1.5 * self._min_uptime_s
            or not self.lease.generation
        )

    def _vouched_end(self) -> float:
        return self._quorum.vouched_until(self._quorum.blocking, outage=False)

    def _may_acquire(self) -> bool:
        if self._phase == "acting":
            return True
        return (self._phase == "candidate" and not self._in_outage) and (
            self.lease.never_coordinated
            or self._quorum.count_committed() >= self._quorum.blocking
        )

    def _may_request_vouches(self, now: float) -> bool:
        if not self._in_outage:
            return self.lease.next_generation > 0 and now < self.lease.end
        # Without the store, only a service that had a coordinator is taken over.
        return (
            self._quorum.count_committed() >= self._quorum.majority
            and self._highest_known_epoch > 0
        )

    def _inquiries(self, now: float) -> list[VouchRequest | LeaseCall]:
        round_ = 1 if self._in_outage else 0
        epoch = make_epoch(generation_of(self._highest_known_epoch), round_)
        return self._make_requests(
            "inquire", self._quorum.hosts_due_for_inquiry(now), epoch, now
        )

    def _vouch_requests(self, now: float) -> list[VouchRequest | LeaseCall]:
        epoch = self._requested_epoch(now)
        hosts = self._quorum.hosts_due_for_vouch(epoch, now)
        return self._make_requests("vouch", hosts, epoch, now)

    def _requested_epoch(self, now: float) -> int:
        lease_failing = not self.lease.reachable and self.lease.is_renewal_overdue(
            now, LEASE_OVERDUE_S
        )
        if now < self._store_reached_at + STORE_REACHED_WINDOW_S:
            # A host that reaches the store vouches only beside the lease.
            lease_failing = False
        if now < self.lease.end and self.lease.next_generation and not lease_failing:
            return make_epoch(self.lease.next_generation)
        if self._outage_epoch <= self._epoch and not round_of(self._epoch):
            self._outage_epoch = self._next_outage_epoch()
        return self._outage_epoch

    def _next_outage_epoch(self) -> int:
        known = max(self._highest_known_epoch, self._epoch)
        return make_epoch(generation_of(known), round_of(known) + 1)

    def _evaluate(self, now: float) -> None:
        if self._phase == "acting" and now >= self._end:
            self._become_idle(now)
        if self._phase == "candidate" and (now >= self._phase_started + VOUCH_VALID_S):
            self._become_idle(now)
        if self._phase == "idle":
            return
        lease_end = -math.inf
        if self.lease.generation:
            lease_end = min(self.lease.end, self._vouched_end())
        vouched_end = self._quorum.vouched_until(self._quorum.majority, outage=True)
        if self._phase == "candidate":
            self._try_activate(now, lease_end, vouched_end)
        elif round_of(self._epoch):
            self._continue_outage(now, lease_end, vouched_end)
        else:
            self._continue_lease(now, lease_end, vouched_end)

    def _try_activate(self, now: float, lease_end: float, vouched_end: float) -> None:
        committed_count = self._quorum.count_committed()
        if lease_end > now and (
            committed_count >= self._quorum.blocking or self._is_first_coordinator(now)
        ):
            self._epoch = make_epoch(self.lease.generation)
            self._end = lease_end
        elif (
            self._in_outage
            and vouched_end > now
            and committed_count >= self._quorum.majority
        ):
            self._epoch = self._outage_epoch
            self._end = vouched_end
        else:
            return
        self._phase = "acting"

    def _continue_lease(self, now: float, lease_end: float, vouched_end: float) -> None:
        overdue = self.lease.is_renewal_overdue(now, LEASE_OVERDUE_S)
        if overdue and vouched_end > lease_end and self._outage_epoch > self._epoch:
            self._epoch = self._outage_epoch
        self._end = max(lease_end, vouched_end)

    def _continue_outage(
        self, now: float, lease_end: float, vouched_end: float
    ) -> None:
        lease_epoch = make_epoch(self.lease.generation)
        if lease_end > now and lease_epoch > max(
            self._epoch, self._highest_known_epoch - 1
        ):
            self._epoch = lease_epoch
            self._end = max(lease_end, vouched_end)
            return
        if lease_end > now:
            self.lease.require_new_generation()
        if self._highest_known_epoch > self._epoch:
            self._outage_epoch = self._epoch = self._next_outage_epoch()
        self._end = vouched_end


def _as_list(call: LeaseCall | None) -> list[VouchRequest | LeaseCall]:
    return [] if call is None else [call]
