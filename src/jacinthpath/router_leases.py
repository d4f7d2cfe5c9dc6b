"""Sending leases of routers, for services whose servers check no grants."""

from __future__ import annotations

__all__ = ["RouterLeases"]

import math

from .coordination_events import RouterAsked, RouterLease
from .grants import DRIFT_FLOOR_S, DRIFT_RATIO, TERM_MS, drift_margin_s
from .slices import NO_OWNER, SliceTable


class RouterLeases:
    """Knows by which table versions routers may still send.

    A slice changes its owner in two tables. The first leaves it without owner;
    the second names the new owner once every router sends by the first or its
    lease has ended, and the longest deadline in flight has passed as well.

    :param longest_deadline_s: longest deadline of a request.
    """

    def __init__(self, longest_deadline_s: float) -> None:
        self._longest_deadline_s = longest_deadline_s
        self._not_before = -math.inf
        self._routers: dict[str, tuple[int, float]] = {}
        self._switched_version = 0
        self._switched_at = math.inf

    def begin(self, leases_until: float) -> None:
        """Start anew as coordinator.

        :param leases_until: when all leases of the predecessors have ended.
        """
        self._routers = {}
        self._not_before = leases_until + self._longest_deadline_s

    def ask(
        self, event: RouterAsked, version: int, authority_end: float, now: float
    ) -> RouterLease:
        """Answer a router; its term runs from its own stamp.

        :param version: newest published table version, the only one leased.
        :param authority_end: end of the coordinator's authority.
        """
        available_s = (authority_end - now - DRIFT_FLOOR_S) / (1 + DRIFT_RATIO)
        term_ms = max(0, min(TERM_MS, math.floor(available_s * 1000)))
        known_version, bound = self._routers.get(event.router, (0, -math.inf))
        granted = event.table_version == version > 0 and term_ms > 0
        if granted:
            term_s = term_ms / 1000
            bound = max(bound, now + term_s + drift_margin_s(term_s))
        # A late message may name an older version than the router sends by.
        known_version = max(known_version, min(event.table_version, version))
        self._routers[event.router] = known_version, bound
        return RouterLease(
            granted, 0, version, event.stamp_ms, term_ms if granted else 0
        )

    def cleared(self, version: int, now: float) -> bool:
        """Whether no request sent by an earlier version can still be running."""
        for router, (known_version, bound) in list(self._routers.items()):
            if now >= bound:
                del self._routers[router]
            elif known_version < version:
                return False
        if self._switched_version != version:
            self._switched_version = version
            self._switched_at = now
        done = self._switched_at + self._longest_deadline_s
        return now >= max(done, self._not_before)

    def staged(self, table: SliceTable, planned: SliceTable, now: float) -> SliceTable:
        """Return the next table on the way from one table to a planned one.

        :param table: newest published table.
        :param planned: table that the planner wants.
        """
        cleared = self.cleared(table.version, now)

        def step(old: str, new: str) -> str:
            if old == new or (old == NO_OWNER and cleared):
                return new
            return NO_OWNER

        owners = tuple(map(step, table.owners, planned.owners))
        hot_keys = {}
        for hash_value in {*table.hot_keys, *planned.hot_keys}:
            old, new = table.owner_of(hash_value), planned.owner_of(hash_value)
            if hash_value in planned.hot_keys or old != new:
                hot_keys[hash_value] = step(old, new)
        return planned._replace(owners=owners, hot_keys=hot_keys)

    def bound(self) -> float:
        """Return when all leases have ended."""
        return max((bound for _, bound in self._routers.values()), default=-math.inf)
