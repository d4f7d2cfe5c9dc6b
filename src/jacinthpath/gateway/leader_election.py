"""Leader election by a leased record in the store."""

from __future__ import annotations

__all__ = ["LeaderElection"]

import asyncio
from collections.abc import Callable
from random import Random

from mode import Service

from ..errors import StoreError, StoreOutcomeUnknown
from .authority import LeaderAuthority
from .clock import boottime_s
from .cluster_view import LEADER_KEY, ClusterView
from .events import EventLog
from .leader_record import encode_leader_record
from .loops import LoopSupervisor
from .reach_monitor import ReachMonitor
from .store import Condition, ConflictingWrite, LeaseEnded, Store, Write
from .waiting import wait_for_event

LEASE_TTL_S = 1.2
RENEWAL_INTERVAL_S = 0.3
MAX_CANDIDACY_DELAY_S = 0.2
"""Candidates wait a random time up to this, so that usually only one of them tries."""

DOUBTFUL_CANDIDACY_DELAY_S = 0.25
WEAK_LINK_CANDIDACY_DELAY_S = 0.2
WEAK_LINK_BYTES_PER_S = 6_250_000
"""A host with a link below 50 Mbit/s leaves the others this much time: the leader sends
documents to all hosts."""

CUT_OFF_CANDIDACY_DELAY_S = 1.0
"""A host that has no path to the servers, or whose assigner keeps failing, leaves the
others this much time: it could grant nothing. It leads if they do not, since a leader
has other duties too."""

MISSED_GRANTS_CANDIDACY_DELAY_S = 0.4
"""After a restore of the store, a host that may have missed grants leaves those that
know all of them this much time: as leader, it would wait until the grants expire."""

ASSIGNER_LOOP = "assigner"

POLL_INTERVAL_S = 0.1
MAX_WAIT_FOR_VACANCY_S = 1.0
"""Longest wait for a change of the leader record before it is looked at again."""


class LeaderElection(Service):
    """Campaigns for the leadership, and renews the lease while this host leads.

    :param address: where peers reach this host.
    :param process_id: random identity of this process.
    :param reach: knows whether this host reaches the servers.
    :param link_bytes_per_s: what the link of this host carries.
    :ivar knows_better_host: returns whether another host has lately reached servers.
    :ivar may_have_missed_grants: returns whether this host, as leader, would have to
        wait for grants that the store may have lost.
    :ivar gained: set when this host becomes leader, and then replaced.
    """

    def __init__(
        self,
        store: Store,
        view: ClusterView,
        reach: ReachMonitor,
        events: EventLog,
        random: Random,
        host: str,
        address: str,
        process_id: str,
        min_lease_s: float,
        link_bytes_per_s: float,
        loops: LoopSupervisor,
    ) -> None:
        super().__init__()
        self.authority: LeaderAuthority | None = None
        self.record_revision = 0
        self.knows_better_host: Callable[[], bool] = lambda: False
        self.may_have_missed_grants: Callable[[], bool] = lambda: False
        self.gained = asyncio.Event()
        self._store = store
        self._view = view
        self._reach = reach
        self._events = events
        self._random = random
        self._loops = loops
        self._host = host
        self._address = address
        self._process_id = process_id
        self._ttl_s = max(LEASE_TTL_S, min_lease_s)
        self._has_weak_link = link_bytes_per_s < WEAK_LINK_BYTES_PER_S
        self._lease_id = 0
        self._resigning = False
        self._lease_revoked = False
        self._record_seen = False

    async def on_start(self) -> None:
        """Start to take part in the election."""
        self.add_future(self._loops.run("leader-election", self._run))

    async def resign(self) -> None:
        """Revoke the lease, so that a successor need not wait for its end.

        This host goes on renewing its grants until a successor is known: while the
        store is down none can be elected, and requests for the keys would be refused
        for the rest of the outage.
        """
        self._resigning = True
        if self.authority is not None:
            self.authority.resigning = True
            await self._revoke_lease()

    def has_unrevoked_lease(self) -> bool:
        """Return whether this host resigns and has not revoked its lease yet.

        Until then, no successor can be elected.
        """
        return (
            self.authority is not None and self._resigning and not self._lease_revoked
        )

    def step_down(self, reason: str) -> None:
        """Stop leading without revoking the lease, since another host leads."""
        if self.authority is not None:
            self._stop_leading(reason)

    async def _run(self) -> None:
        while not self.should_stop:
            if self.authority is not None and self._resigning:
                await self._run_resignation()
            elif self.authority is not None and self._cannot_grant():
                await self._step_aside()
            elif self.authority is not None:
                await self._renew()
            elif self._resigning:
                await asyncio.sleep(POLL_INTERVAL_S)
            elif self._owns_record():
                await self._recover_claim()
            elif self._is_vacant():
                await self._campaign()
            else:
                await self._wait_for_leader_change()

    async def _wait_for_leader_change(self) -> None:
        """Wait for the leader record to change, or for the first list of servers."""
        servers_known = self._view.servers_known
        wait_s = MAX_WAIT_FOR_VACANCY_S if servers_known else POLL_INTERVAL_S
        await wait_for_event(self._view.leader_changed, wait_s)

    def _cannot_grant(self) -> bool:
        """Return whether another host could grant keys and this one cannot."""
        if self._loops.is_failing(ASSIGNER_LOOP):
            return True
        return self._reach.is_cut_off() and self.knows_better_host()

    async def _step_aside(self) -> None:
        """Leave the leadership to a host that can grant keys."""
        lease_id = self._lease_id
        try:
            await self._store.revoke_lease(lease_id)
        except LeaseEnded:
            pass
        except StoreError as error:
            self._events.log_process_event("lease_not_ended", error=str(error))
            await self._renew()
            return
        if self.authority is not None and self._lease_id == lease_id:
            self._stop_leading("this host cannot grant keys")

    def _owns_record(self) -> bool:
        """Return whether a claim whose response was lost has taken effect."""
        leader = self._view.leader
        return bool(
            self._lease_id
            and leader is not None
            and leader.process_id == self._process_id
        )

    async def _recover_claim(self) -> None:
        """Become leader by a record whose write had no response."""
        sent_s = boottime_s()
        try:
            await self._store.renew_lease(self._lease_id)
        except StoreError as error:
            self._events.log_process_event("candidacy_failed", error=str(error))
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            return
        if self._owns_record():
            self.record_revision = self._view.leader.revision
            self._become_leader(self._ttl_s, sent_s)

    def _is_vacant(self) -> bool:
        return self._view.leader is None and self._view.servers_known

    async def _campaign(self) -> None:
        await asyncio.sleep(self._candidacy_delay_s())
        if not self._is_vacant() or self._resigning:
            return
        sent_s = boottime_s()
        try:
            lease = await self._store.create_lease(self._ttl_s)
            self._lease_id = lease.lease_id
            await self._claim_leadership(lease.lease_id)
        except ConflictingWrite:
            self._lease_id = 0
            # The store watch reports the winner.
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            return
        except StoreOutcomeUnknown as error:
            self._events.log_process_event("candidacy_uncertain", error=str(error))
            await asyncio.sleep(RENEWAL_INTERVAL_S)
            return
        except StoreError as error:
            self._events.log_process_event("candidacy_failed", error=str(error))
            await asyncio.sleep(RENEWAL_INTERVAL_S * (1 + self._random.random()))
            return
        self._become_leader(min(self._ttl_s, lease.ttl_s), sent_s)

    def _candidacy_delay_s(self) -> float:
        delay_s = MAX_CANDIDACY_DELAY_S * self._random.random()
        if self._has_weak_link:
            delay_s += WEAK_LINK_CANDIDACY_DELAY_S
        if self.may_have_missed_grants():
            delay_s += MISSED_GRANTS_CANDIDACY_DELAY_S
        if self._reach.is_cut_off() or self._loops.is_failing(ASSIGNER_LOOP):
            return delay_s + CUT_OFF_CANDIDACY_DELAY_S
        if self._reach.has_failures():
            return delay_s + DOUBTFUL_CANDIDACY_DELAY_S
        return delay_s

    def _become_leader(self, ttl_s: float, sent_s: float) -> None:
        self._record_seen = False
        self.authority = LeaderAuthority(ttl_s, sent_s)
        self._events.log_state_change(
            "leadership_gained", revision=self.record_revision, lease=self._lease_id
        )
        self.gained.set()
        self.gained = asyncio.Event()

    async def _claim_leadership(self, lease_id: int) -> None:
        record = encode_leader_record(self._host, self._address, self._process_id)
        self.record_revision = await self._store.write(
            (Condition(LEADER_KEY, 0),), (Write(LEADER_KEY, record, lease_id),)
        )

    async def _renew(self) -> None:
        """Renew the lease once and wait until the next renewal is due."""
        sent_s = boottime_s()
        try:
            await self._store.renew_lease(self._lease_id)
            self._view.record_store_contact()
            if self.authority is not None:
                self.authority.record_lease_renewal(sent_s)
        except LeaseEnded:
            self._stop_leading("lease ended")
            return
        except StoreError as error:
            self._events.log_process_event("leadership_doubted", error=str(error))
        if self.authority is None:
            return
        if self._is_superseded():
            self._stop_leading("the leader record is gone or another host's")
            return
        if not self.authority.may_renew_grants(boottime_s()):
            self._stop_leading("lease unconfirmed for too long")
            return
        await self._wait_for_renewal(sent_s)

    async def _wait_for_renewal(self, sent_s: float) -> None:
        """Wait until the next renewal is due, or until the path is lost or back."""
        wait_s = max(0.05, RENEWAL_INTERVAL_S - (boottime_s() - sent_s))
        await wait_for_event(self._reach.changed, wait_s)

    async def _run_resignation(self) -> None:
        """Run one step from the resignation until this host stops leading."""
        # A pending candidacy may have succeeded after this host resigned.
        self.authority.resigning = True
        leader = self._view.leader
        if leader is not None and leader.revision > self.record_revision:
            self._stop_leading("resigned")
            return
        if not self.authority.may_renew_grants(boottime_s()):
            self._stop_leading("resigned, no successor for too long")
            return
        if not self._lease_revoked:
            await self._revoke_lease()
        await asyncio.sleep(POLL_INTERVAL_S)

    async def _revoke_lease(self) -> None:
        try:
            await self._store.revoke_lease(self._lease_id)
        except LeaseEnded:
            pass
        except StoreError as error:
            self._events.log_process_event("lease_not_ended", error=str(error))
            return
        self._lease_revoked = True

    def _is_superseded(self) -> bool:
        """Return whether the own record was seen and has been removed or replaced."""
        leader = self._view.leader
        if leader is not None and leader.process_id == self._process_id:
            self._record_seen = True
            return False
        if leader is None:
            return self._record_seen
        return leader.revision > self.record_revision

    def _stop_leading(self, reason: str) -> None:
        self.authority = None
        self._lease_id = 0
        self._events.log_state_change("leadership_lost", reason=reason)
