"""What this process knows of the restores of the store from older copies.

After a restore, nothing that is missing in the store proves that it was never written:
it may be one of the writes that were lost.
"""

from __future__ import annotations

__all__ = ["EarlierGrants", "StoreEras"]

from collections.abc import Callable

from .assignment import Assignment
from .authority import last_expiry_if_running_s
from .clock import boottime_s

FIRST_GRANT_DELAY_S = 1.5
"""When the whole system starts for the first time, no host grants keys sooner: the set
of servers has to be unchanged for as long before a service gets its initial owners."""

MAX_OUT_OF_TOUCH_S = 10.0
"""Outages of the store last up to nine seconds. A host whose list of servers was older
when it heard of a restore may have missed servers and leaders."""

RECENT_S = 2.0
"""A host whose list of servers was not older when it heard of a restore has been told
of all servers that could hold keys."""


class StoreEras:
    """The eras of the store from which this process has had responses.

    :param is_first_start: whether the whole system starts for the first time.
    :ivar newest: the newest one, 0 before the first response and if the store names
        none.
    :ivar since_s: when this process first heard of the newest one.
    """

    def __init__(
        self, is_first_start: bool, clock: Callable[[], float] = boottime_s
    ) -> None:
        self.newest = 0
        self.since_s = clock()
        self._is_first_start = is_first_start
        self._clock = clock
        self._started_s = self.since_s
        self._first: int | None = None

    def record(self, era: int) -> None:
        """Record the era of a response."""
        if self._first is None:
            self._first = era
            if self._clock() - self._started_s >= FIRST_GRANT_DELAY_S:
                self._is_first_start = False
        if era > self.newest:
            self.newest = era
            self.since_s = self._clock()

    def may_have_lost_writes(self) -> bool:
        """Return whether the store may have lost writes of the gateways.

        It cannot have lost any in its first era, nor in the era in which the whole
        system started for the first time.
        """
        if self._is_first_start and self.newest == self._first:
            return False
        return self.newest > 0

    def lost_grants_expiry_s(
        self, stored: Assignment | None, era: int, ttl_s: float
    ) -> float:
        """Return from when on no grant can be valid whose record may be lost.

        Leaders of earlier eras had confirmed their leases before this process heard of
        the new one.

        :param stored: the stored assignment, ``None`` if there is none.
        :param era: era in which this host became leader.
        :param ttl_s: time to live of a leader's lease.
        """
        if stored is None:
            is_settled = not self.may_have_lost_writes()
        else:
            is_settled = stored.settled_era == era
        if is_settled:
            return float("-inf")
        return last_expiry_if_running_s(self.since_s, ttl_s)


class EarlierGrants:
    """Whether this host knows all that was granted before the newest restore.

    A leader that does can have the servers release the keys that are not theirs. One
    that does not waits until all grants have expired, since a server that it has never
    seen may hold keys.
    """

    def __init__(self) -> None:
        self._era = 0
        self._known_since_era: int | None = None
        self._age_at_restore_s = 0.0

    def record_servers(self, era: int, age_s: float) -> None:
        """Record a list of servers.

        :param age_s: age of the list that was in force before.
        """
        if self._known_since_era is None:
            self._known_since_era = self._era = era
        if era <= self._era:
            return
        self._era = era
        self._age_at_restore_s = age_s
        if age_s > MAX_OUT_OF_TOUCH_S:
            self._known_since_era = era

    def were_servers_recent(self) -> bool:
        """Return whether the list of servers was recent at the newest restore.

        Otherwise servers may have got keys that register again only later.
        """
        return self._age_at_restore_s <= RECENT_S

    def are_known(self, assignment: Assignment | None) -> bool:
        """Return whether they are, by the newest assignment that this host knows.

        It names all servers that held keys when it was confirmed, and those that got
        any later were in the lists of this host.
        """
        known_since_era = self._known_since_era
        if assignment is None or known_since_era is None:
            return False
        return known_since_era < self._era and (
            known_since_era <= assignment.confirmed_era
        )
