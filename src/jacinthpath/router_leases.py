"""Coordinator side of sending leases, for services whose servers check no grants."""

from __future__ import annotations

__all__ = ["RouterLeases"]

import math

from .coordination_events import RouterLease, RouterLeaseRequested
from .grants import DRIFT_FLOOR_S, DRIFT_RATIO, TERM_MS, drift_margin_s
from .slices import NO_OWNER, SliceTable


class RouterLeases:
    """Tracks the table versions by which routers may still send.

    A slice changes its owner in two steps. The first table leaves it without an
    owner; the second names the new owner once every router sends by the first or
    its lease has ended, and the longest deadline in flight has passed as well.

    :param max_deadline_s: longest deadline of a request.
    """

    def __init__(self, max_deadline_s: float) -> None:
        self._max_deadline_s = max_deadline_s
        self._not_before = -math.inf
        self._routers: dict[str, tuple[int, float]] = {}
        self._adopted_version = 0
        self._adopted_at = math.inf

    def begin(self, leases_until: float) -> None:
        """Reset the state at the start of an authority.

        :param leases_until: when all leases of the predecessors have ended.
        """
        self._routers = {}
        self._not_before = leases_until + self._max_deadline_s

    def handle_request(
        self,
        event: RouterLeaseRequested,
        version: int,
        authority_end: float,
        now: float,
    ) -> RouterLease:
        """Answer a router's request; the term runs from the router's own stamp.

        :param version: newest published table version, the only one that is leased.
        :param authority_end: end of the coordinator's authority.
        """
        available_s = (authority_end - now - DRIFT_FLOOR_S) / (1 + DRIFT_RATIO)
        term_ms = max(0, min(TERM_MS, math.floor(available_s * 1000)))
        known_version, latest_end = self._routers.get(event.router, (0, -math.inf))
        granted = event.table_version == version > 0 and term_ms > 0
        if granted:
            term_s = term_ms / 1000
            latest_end = max(latest_end, now + term_s + drift_margin_s(term_s))
        # A late message may name an older version than the router sends by.
        known_version = max(known_version, min(event.table_version, version))
        self._routers[event.router] = known_version, latest_end
        return RouterLease(
            granted, 0, version, event.stamp_ms, term_ms if granted else 0
        )

    def has_drained_before(self, version: int, now: float) -> bool:
        """Whether no request sent by an earlier version can still be running."""
        for router, (known_version, latest_end) in list(self._routers.items()):
            if now >= latest_end:
                del self._routers[router]
            elif known_version < version:
                return False
        if self._adopted_version != version:
            self._adopted_version = version
            self._adopted_at = now
        in_flight_until = self._adopted_at + self._max_deadline_s
        return now >= max(in_flight_until, self._not_before)

    def next_table(
        self, table: SliceTable, planned: SliceTable, now: float
    ) -> SliceTable:
        """Return the next intermediate table between the current and a planned one.

        :param table: newest published table.
        :param planned: table that the planner proposes.
        """
        drained = self.has_drained_before(table.version, now)

        def next_owner(old: str, new: str) -> str:
            if old == new or (old == NO_OWNER and drained):
                return new
            return NO_OWNER

        owners = tuple(map(next_owner, table.owners, planned.owners))
        hot_keys = {}
        for hash_value in {*table.hot_keys, *planned.hot_keys}:
            old, new = table.owner_of(hash_value), planned.owner_of(hash_value)
            if hash_value in planned.hot_keys or old != new:
                hot_keys[hash_value] = next_owner(old, new)
        return planned._replace(owners=owners, hot_keys=hot_keys)

    def latest_end(self) -> float:
        """Return when all leases have ended."""
        return max(
            (latest_end for _, latest_end in self._routers.values()), default=-math.inf
        )
