"""Which host leads: a leased record in the store."""

from __future__ import annotations

__all__ = ["LeaderElection"]

import asyncio
import json
from random import Random

from mode import Service

from ..errors import StoreError, StoreOutcomeUnknown
from .authority import LeaderAuthority
from .clock import boottime_s
from .cluster_view import LEADER_KEY, ClusterView
from .events import EventLog
from .store import Condition, ConflictingWrite, LeaseEnded, Store, Write

LEASE_S = 1.2
RENEWAL_S = 0.3
CANDIDACY_DELAY_S = 0.2
"""Candidates wait a random part of this, so that mostly one of them tries."""

POLL_S = 0.1


class LeaderElection(Service):
    """Keeps or seeks the leadership.

    :param address: where peers reach this host.
    :param process: random identity of this process.
    """

    def __init__(
        self,
        store: Store,
        view: ClusterView,
        events: EventLog,
        random: Random,
        host: str,
        address: str,
        process: str,
        min_lease_s: float,
    ) -> None:
        super().__init__()
        self.authority: LeaderAuthority | None = None
        self.record_revision = 0
        self._store = store
        self._view = view
        self._events = events
        self._random = random
        self._host = host
        self._address = address
        self._process = process
        self._ttl_s = max(LEASE_S, min_lease_s)
        self._lease = 0
        self._leaving = False
        self._lease_ended = False
        self._seen = False

    async def on_start(self) -> None:
        """Begin to follow the leader's record."""
        self.add_future(self._run())

    async def resign(self) -> None:
        """Give the leadership up, so that a successor need not wait.

        The grants in force are repeated until a successor is known: while the store
        is away there can be none, and the keys would be refused for the rest of the
        outage.
        """
        self._leaving = True
        if self.authority is not None:
            self.authority.resigning = True
            await self._end_lease()

    def has_unrevoked_lease(self) -> bool:
        """Return whether this host resigns and no successor can be elected yet."""
        return self.authority is not None and self._leaving and not self._lease_ended

    def step_down(self, reason: str) -> None:
        """Stop leading without a word to the store, since another host leads."""
        if self.authority is not None:
            self._lose(reason)

    async def _run(self) -> None:
        while not self.should_stop:
            if self.authority is not None and self._leaving:
                await self._leave()
            elif self.authority is not None:
                await self._keep()
            elif self._leaving:
                await asyncio.sleep(POLL_S)
            elif self._own_record():
                await self._recover()
            elif self._vacant():
                await self._seek()
            else:
                await asyncio.sleep(POLL_S)

    def _own_record(self) -> bool:
        """Return whether a claim whose answer was lost was done after all."""
        leader = self._view.leader
        return bool(
            self._lease and leader is not None and leader.process_id == self._process
        )

    async def _recover(self) -> None:
        """Lead on a record whose write was not answered."""
        sent_s = boottime_s()
        try:
            await self._store.renew_lease(self._lease)
        except StoreError as error:
            self._events.process("candidacy_failed", error=str(error))
            await asyncio.sleep(RENEWAL_S)
            return
        if self._own_record():
            self.record_revision = self._view.leader.revision
            self._gain(self._ttl_s, sent_s)

    def _vacant(self) -> bool:
        return self._view.leader is None and self._view.servers_known

    async def _seek(self) -> None:
        await asyncio.sleep(CANDIDACY_DELAY_S * self._random.random())
        if not self._vacant() or self._leaving:
            return
        sent_s = boottime_s()
        try:
            lease = await self._store.create_lease(self._ttl_s)
            self._lease = lease.lease_id
            await self._claim(lease.lease_id)
        except ConflictingWrite:
            self._lease = 0
            # The watch shows the winner.
            await asyncio.sleep(RENEWAL_S)
            return
        except StoreOutcomeUnknown as error:
            self._events.process("candidacy_uncertain", error=str(error))
            await asyncio.sleep(RENEWAL_S)
            return
        except StoreError as error:
            self._events.process("candidacy_failed", error=str(error))
            await asyncio.sleep(RENEWAL_S * (1 + self._random.random()))
            return
        self._gain(min(self._ttl_s, lease.ttl_s), sent_s)

    def _gain(self, ttl_s: float, sent_s: float) -> None:
        self._seen = False
        self.authority = LeaderAuthority(ttl_s, sent_s)
        self._events.state_change(
            "leadership_gained", revision=self.record_revision, lease=self._lease
        )

    async def _claim(self, lease: int) -> None:
        record = json.dumps(
            {"host": self._host, "address": self._address, "process": self._process}
        )
        self.record_revision = await self._store.write(
            (Condition(LEADER_KEY, 0),), (Write(LEADER_KEY, record.encode(), lease),)
        )

    async def _keep(self) -> None:
        """Renew the lease once and wait until the next renewal is due."""
        sent_s = boottime_s()
        try:
            await self._store.renew_lease(self._lease)
            self._view.record_store_contact()
            if self.authority is not None:
                self.authority.confirm(sent_s)
        except LeaseEnded:
            self._lose("lease ended")
            return
        except StoreError as error:
            self._events.process("leadership_doubted", error=str(error))
        if self.authority is None:
            return
        if self._superseded():
            self._lose("the record is gone or another host's")
            return
        if not self.authority.may_renew(boottime_s()):
            self._lose("unconfirmed for too long")
            return
        await asyncio.sleep(max(0.05, RENEWAL_S - (boottime_s() - sent_s)))

    async def _leave(self) -> None:
        """Take one step from resigning to the end of this leadership."""
        # A candidacy that was under way may have been won after this host resigned.
        self.authority.resigning = True
        leader = self._view.leader
        if leader is not None and leader.revision > self.record_revision:
            self._lose("resigned")
            return
        if not self.authority.may_renew(boottime_s()):
            self._lose("resigned, without a successor for too long")
            return
        if not self._lease_ended:
            await self._end_lease()
        await asyncio.sleep(POLL_S)

    async def _end_lease(self) -> None:
        try:
            await self._store.revoke_lease(self._lease)
        except LeaseEnded:
            pass
        except StoreError as error:
            self._events.process("lease_not_ended", error=str(error))
            return
        self._lease_ended = True

    def _superseded(self) -> bool:
        """Return whether the own record was seen and is there no more."""
        leader = self._view.leader
        if leader is not None and leader.process_id == self._process:
            self._seen = True
            return False
        if leader is None:
            return self._seen
        return leader.revision > self.record_revision

    def _lose(self, reason: str) -> None:
        self.authority = None
        self._lease = 0
        self._events.state_change("leadership_lost", reason=reason)
