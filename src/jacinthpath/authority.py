"""The coordinator's authority to act: a store lease or vouches, or both.

Under the store lease, a coordinator also holds vouches in enough data centres
that the others are no majority, so that nobody can collect a majority of vouches
beside it while the store is reachable for a minority only. Without the store, it
holds vouches in a majority of data centres.
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

INQUIRY_LIMIT_S = 0.3  # An inquiry that takes longer is begun again.
FOUNDING_LIMIT_S = 1.5  # Hosts of a new system appear on the list one by one.
BACKOFF_S = 0.5
# A lease that was not renewed for this long is backed by a majority of vouches.
LEASE_DOUBT_S = 0.2
# After a host has reached the store, one round of vouches beside the lease.
STORE_SEEN_S = 0.1


class CoordinatorAuthority(NamedTuple):
    """What a coordinator may act under.

    :param epoch: fencing epoch of its grants and tables.
    :param end: when the authority ends unless it is extended, on its own clock.
    :param inherited_until: until when terms of a released predecessor may run.
    """

    epoch: int
    end: float
    inherited_until: float


class AuthorityTracker:
    """Coordinator side: obtains, extends and gives up authority for one service.

    :param service: service to coordinate.
    :param process: identity of this process, random at its start.
    :param data_centres: all data centres of the system, from the settings; the
        majority is counted over these and never over those that are reachable.
    :param started: when this process started; a young one is candidate only for
        a service that never had a coordinator, since it may not know hosts that
        left the list lately.
    """

    def __init__(
        self,
        service: str,
        process: str,
        data_centres: Iterable[str],
        started: float,
        *,
        min_uptime_s: float = VOUCH_MIN_UPTIME_S,
    ) -> None:
        self.service = service
        self.lease = StoreLease(process)
        self._process = process
        self._quorum = VouchQuorum(data_centres, min_uptime_s)
        self._min_uptime_s = min_uptime_s
        self._mature_at = started + min_uptime_s
        self._attempt = 0
        self._phase = "idle"
        self._phase_started = -math.inf
        self._retry_at = -math.inf
        self._in_outage = False
        self._contested = False
        self._jitter = 0.0
        self._epoch = 0
        self._outage_epoch = 0
        self._end = -math.inf
        self._inherited_until = -math.inf
        self._known_epoch = 0
        self._founded = -math.inf
        self._store_seen = -math.inf

    @property
    def holder(self) -> str:
        """Identity under which this attempt collects vouches.

        It changes with each attempt, so that a late message of an earlier one
        cannot take back a vouch of this one.
        """
        return f"{self._process}:{self._attempt}"

    def hosts_changed(self, hosts: Mapping[str, str], now: float) -> None:
        """Take over the host list, as host to data centre, with leaving hosts."""
        self._quorum.hosts_changed(hosts, now)

    def epoch_seen(self, epoch: int) -> None:
        """Note an epoch from a table or a server."""
        self._known_epoch = max(self._known_epoch, epoch)

    def authority(self, now: float) -> CoordinatorAuthority | None:
        """Return the authority that is in force, if any."""
        self._evaluate(now)
        if self._phase != "acting":
            return None
        return CoordinatorAuthority(self._epoch, self._end, self._inherited_until)

    def tick(
        self, now: float, jitter: float, *, wanted: bool = True
    ) -> list[VouchRequest | LeaseCall]:
        """Return the requests and store calls that are due.

        :param jitter: random number from 0 to 1, for the backoff of candidates.
        :param wanted: whether this process is to become coordinator.
        """
        self._evaluate(now)
        self._jitter = jitter
        requests: list[VouchRequest | LeaseCall] = []
        if self._phase == "idle" and self.lease.occupied:
            requests += _present(self.lease.release(now, 0))
        involved = wanted or self._phase != "idle"
        call = self.lease.next_call(
            now,
            wanted=involved,
            acquire=self._may_acquire(),
            may_raise=self._phase == "acting" or self._vouched_end() > now,
        )
        requests += _present(call)
        if self._phase == "idle":
            if wanted and self._may_begin(now):
                self._begin(now)
                requests += self._inquiries(now)
            return requests
        if self._phase == "candidate":
            if self._is_hopeless(now):
                return requests + self.release(now, 0.0, BACKOFF_S * (0.1 + jitter))
            requests += self._inquiries(now)
            if not self._may_collect(now):
                return requests
        return requests + self._vouch_requests(now)

    def vouch_answered(
        self, request: VouchRequest, answer: VouchAnswer, now: float
    ) -> None:
        """Take the answer of a host to an inquiry or a request for a vouch."""
        self._evaluate(now)
        self.epoch_seen(answer.highest_epoch)
        if request.holder != self.holder or self._phase == "idle":
            return
        if not answer.granted:
            self._quorum.vouch_refused(request)
            self._refused(answer, now)
            return
        if answer.remaining_ms:
            self._inherit(now + answer.remaining_ms / 1000)
        if request.kind == "inquire":
            self._quorum.inquiry_granted(request.host)
        elif answer.reason != "young" or self._founding(now):
            self._quorum.vouch_granted(request)
        self._evaluate(now)

    def _refused(self, answer: VouchAnswer, now: float) -> None:
        if answer.reason == "store-reachable":
            self._store_seen = now
        elif answer.reason == "other-candidate":
            self._contested = self._in_outage
        elif answer.reason == "other-holder" and self._in_outage:
            # Candidates spread out, since the first to ask excludes the others.
            delay_s = answer.remaining_ms / 1000 + BACKOFF_S * self._jitter
            self._retry_at = max(self._retry_at, now + delay_s)

    def lease_answered(self, call: LeaseCall, result: LeaseResult, now: float) -> None:
        """Take the result of a store call."""
        self._evaluate(now)
        self.lease.answered(call, result, now)
        view = result.view
        if view is not None:
            self.epoch_seen(make_epoch(view.generation))
            if view.term_left_ms and self._phase != "acting":
                self._inherit(now + view.term_left_ms / 1000)
        if self.lease.generation == 1 and self._founded == -math.inf:
            self._founded = now
        self._evaluate(now)

    def release(
        self, now: float, terms_until: float, backoff_s: float = 0.0
    ) -> list[VouchRequest | LeaseCall]:
        """Give up the role or the candidacy.

        :param terms_until: when the last granted term has ended; successors wait
            for it where a server does not answer.
        """
        terms_ms = math.ceil(max(0.0, terms_until - now) * 1000)
        requests = self._requests("release", self._quorum.hosts, 0, now, terms_ms)
        requests += _present(self.lease.release(now, terms_ms))
        self._become_idle(now + backoff_s)
        return requests

    def _requests(
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

    def _may_begin(self, now: float) -> bool:
        if now < self._retry_at or not self.lease.seen_free(now):
            return False
        return now >= self._mature_at or (self.lease.reachable and self.lease.founding)

    def _is_hopeless(self, now: float) -> bool:
        """Whether to begin again, in the way that suits the store's state."""
        limit_s = FOUNDING_LIMIT_S if self._founding(now) else INQUIRY_LIMIT_S
        late = self._contested or now >= self._phase_started + limit_s
        changed = self._in_outage == self.lease.reachable
        return late or changed or self.lease.seen_taken

    def _begin(self, now: float) -> None:
        self._attempt += 1
        self._phase = "candidate"
        self._phase_started = now
        self._in_outage = not self.lease.reachable
        self._contested = False
        self._outage_epoch = 0
        self._quorum.reset()

    def _become_idle(self, retry_at: float) -> None:
        self._phase = "idle"
        self._retry_at = max(self._retry_at, retry_at)
        self._epoch = 0
        self._end = -math.inf

    def _inherit(self, terms_until: float) -> None:
        self._inherited_until = max(self._inherited_until, terms_until)

    def _founding(self, now: float) -> bool:
        if self.lease.next_generation != 1:
            return False
        return (
            now < self._founded + 1.5 * self._min_uptime_s or not self.lease.generation
        )

    def _vouched_end(self) -> float:
        return self._quorum.end(self._quorum.blocking, outage=False)

    def _may_acquire(self) -> bool:
        if self._phase == "acting":
            return True
        return (self._phase == "candidate" and not self._in_outage) and (
            self.lease.founding
            or self._quorum.inquired_count() >= self._quorum.blocking
        )

    def _may_collect(self, now: float) -> bool:
        if not self._in_outage:
            return self.lease.next_generation > 0 and now < self.lease.end
        # Nobody takes over without the store what nobody coordinated before.
        return (
            self._quorum.inquired_count() >= self._quorum.majority
            and self._known_epoch > 0
        )

    def _inquiries(self, now: float) -> list[VouchRequest | LeaseCall]:
        round_ = 1 if self._in_outage else 0
        epoch = make_epoch(generation_of(self._known_epoch), round_)
        return self._requests("inquire", self._quorum.hosts_to_inquire(now), epoch, now)

    def _vouch_requests(self, now: float) -> list[VouchRequest | LeaseCall]:
        epoch = self._requested_epoch(now)
        hosts = self._quorum.hosts_to_ask(epoch, now)
        return self._requests("vouch", hosts, epoch, now)

    def _requested_epoch(self, now: float) -> int:
        doubtful = not self.lease.reachable and self.lease.doubtful(now, LEASE_DOUBT_S)
        if now < self._store_seen + STORE_SEEN_S:
            # Hosts that reach the store still vouch beside the lease.
            doubtful = False
        if now < self.lease.end and self.lease.next_generation and not doubtful:
            return make_epoch(self.lease.next_generation)
        if self._outage_epoch <= self._epoch and not round_of(self._epoch):
            self._outage_epoch = self._next_outage_epoch()
        return self._outage_epoch

    def _next_outage_epoch(self) -> int:
        known = max(self._known_epoch, self._epoch)
        return make_epoch(generation_of(known), round_of(known) + 1)

    def _evaluate(self, now: float) -> None:
        if self._phase == "acting" and now >= self._end:
            self._become_idle(now)
        if self._phase == "candidate" and (now >= self._phase_started + VOUCH_VALID_S):
            self._become_idle(now)
        if self._phase == "idle":
            return
        by_lease = -math.inf
        if self.lease.generation:
            by_lease = min(self.lease.end, self._vouched_end())
        by_vouches = self._quorum.end(self._quorum.majority, outage=True)
        if self._phase == "candidate":
            self._start(now, by_lease, by_vouches)
        elif round_of(self._epoch):
            self._continue_outage(now, by_lease, by_vouches)
        else:
            self._continue_lease(now, by_lease, by_vouches)

    def _start(self, now: float, by_lease: float, by_vouches: float) -> None:
        inquired = self._quorum.inquired_count()
        if by_lease > now and (
            inquired >= self._quorum.blocking or self._founding(now)
        ):
            self._epoch = make_epoch(self.lease.generation)
            self._end = by_lease
        elif self._in_outage and by_vouches > now and inquired >= self._quorum.majority:
            self._epoch = self._outage_epoch
            self._end = by_vouches
        else:
            return
        self._phase = "acting"

    def _continue_lease(self, now: float, by_lease: float, by_vouches: float) -> None:
        doubtful = self.lease.doubtful(now, LEASE_DOUBT_S)
        if doubtful and by_vouches > by_lease and self._outage_epoch > self._epoch:
            self._epoch = self._outage_epoch
        self._end = max(by_lease, by_vouches)

    def _continue_outage(self, now: float, by_lease: float, by_vouches: float) -> None:
        lease_epoch = make_epoch(self.lease.generation)
        if by_lease > now and lease_epoch > max(self._epoch, self._known_epoch - 1):
            self._epoch = lease_epoch
            self._end = max(by_lease, by_vouches)
            return
        if by_lease > now:
            self.lease.abandon_generation()
        if self._known_epoch > self._epoch:
            self._outage_epoch = self._epoch = self._next_outage_epoch()
        self._end = by_vouches


def _present(call: LeaseCall | None) -> list[VouchRequest | LeaseCall]:
    return [] if call is None else [call]
